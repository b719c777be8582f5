#include "capacity/ws_cap_cost.h"

#include <math.h>

/*
 * What mechanisms that are not built yet would cost, from the same lines. A
 * size that stands for a layout to come is given with its reason.
 */

/*
 * Full states only repair what a lost message left behind; changes, 48 bytes
 * each, are passed on at once.
 */
#define STATE_PERIOD 8.0
/* Three attempts in a lease of 1,200 ms. */
#define VOTE_ROUNDS 2.5
/* A pull must reach the next one before its tokens end after 200 ms. */
#define BATCHES PER_SECOND(150 * WS_MS)
/* Customer, tokens and balance of a token message in ws_peer.x. */
#define BATCH_ITEM 16.0
/*
 * Id of 16 bytes, time and state of an id whose answer is not kept; in blocks
 * by time, which need not double.
 */
#define SHORT_ID 24.0
#define FULL_ID_SECONDS 30.0
/* Entries that an ordinary change of a bundle touches: an assumption. */
#define CHANGED_KEYS 10.0

#define REGION_SHARDS ((double)CAP_SHARDS / CAP_REGIONS)
#define REGION_ZONES ((double)CAP_ZONES / CAP_REGIONS)
/* Joined and gone members of an ordinary day. */
#define LIST_CHANGES (2 * (CAP_RESTARTS_PER_DAY + CAP_FAILURES_PER_DAY))

/* Sending and receiving of the smallest message, microseconds. */
static double small_message(const struct ws_cap_results *r)
{
	return r->series[WS_CAP_HEARTBEAT_SEND].fit.intercept +
	       r->series[WS_CAP_HEARTBEAT_RECEIVE].fit.intercept;
}

/*
 * In: the relay's own heartbeats, the state of the zone, one summary of each
 * other zone a second. What comes in is passed on once on average, since each
 * instance is an inner node of one tree only.
 */
static struct ws_cap_cost leaf(const struct ws_cap_results *r)
{
	double bare = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, 0);
	double state = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, ZONE_TARGETS);
	double own = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, OWN_TARGETS);
	double small = HEARTBEATS + CAP_ZONES - 1;
	double in = small * bare + state / STATE_PERIOD;
	double us = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_SEND, ZONE_TARGETS) +
		    ws_cap_cost_at(r, WS_CAP_HEARTBEAT_RECEIVE, ZONE_TARGETS);

	return (struct ws_cap_cost){
		.messages = 2 * (small + 1 / STATE_PERIOD) + HEARTBEATS,
		.net = 2 * in + HEARTBEATS * own,
		.cpu = ((small + HEARTBEATS) * small_message(r) +
			us / STATE_PERIOD) /
		       1e6,
	};
}

/* One reader in a zone tells the others what has changed. */
static struct ws_cap_cost list_changes(const struct ws_cap_results *r)
{
	double bytes = r->series[WS_CAP_LIST_BYTES].fit.slope;
	double us = r->series[WS_CAP_LIST_PARSE].fit.slope;

	return (struct ws_cap_cost){
		.messages = 2 * LIST_CHANGES / CAP_DAY_SECONDS,
		.net = 2 * LIST_CHANGES * bytes / CAP_DAY_SECONDS,
		.cpu = LIST_CHANGES * us / 1e6 / CAP_DAY_SECONDS,
	};
}

static struct ws_cap_cost list_reader(const struct ws_cap_results *r)
{
	double nodes = (double)CAP_NODES / CAP_REGIONS;
	double reads = LIST_CHANGES / CAP_REGIONS / CAP_DAY_SECONDS;
	double us = ws_cap_cost_at(r, WS_CAP_LIST_PARSE, nodes);

	return (struct ws_cap_cost){
		.messages = LIST_READS,
		.net = reads * ws_cap_cost_at(r, WS_CAP_LIST_BYTES, nodes),
		.cpu = reads * us / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_LIST_BYTES, nodes),
	};
}

static struct ws_cap_cost region_table(const struct ws_cap_results *r)
{
	double us = ws_cap_cost_at(r, WS_CAP_OWN_TICK_SHARDS, REGION_SHARDS);

	return (struct ws_cap_cost){
		.cpu = TICKS * us / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_OWN_MEM, REGION_SHARDS),
	};
}

static struct ws_cap_cost region_plan(const struct ws_cap_results *r)
{
	double us = ws_cap_cost_at(r, WS_CAP_OWN_PLAN, REGION_SHARDS);
	double plans = ws_cap_plans_per_day(r) / CAP_REGIONS;

	return (struct ws_cap_cost){ .cpu = plans * us / 1e6 /
					    CAP_DAY_SECONDS };
}

/* Changes of bundles instead of whole ones, and the region's records. */
static struct ws_cap_cost region_log(const struct ws_cap_results *r)
{
	double whole = ws_cap_cost_at(r, WS_CAP_BUNDLE_BYTES, CAP_CALLER_KEYS);
	double delta = ws_cap_cost_at(r, WS_CAP_BUNDLE_BYTES, CHANGED_KEYS);
	double us = ws_cap_cost_at(r, WS_CAP_BUNDLE_OPEN, CHANGED_KEYS);
	double others =
		ws_cap_log_bytes_per_day(r) - CAP_BUNDLES_PER_DAY * whole;

	return (struct ws_cap_cost){
		.messages = LOG_READS,
		.net = (CAP_BUNDLES_PER_DAY * delta + others / CAP_REGIONS) /
		       CAP_DAY_SECONDS,
		.cpu = CAP_BUNDLES_PER_DAY * us / 1e6 / CAP_DAY_SECONDS,
	};
}

/*
 * One message to the zone's holder of tokens asks for all customers. The
 * processor time is that of single pulls among the instances of a zone, the
 * requests included; batches would need less.
 */
static struct ws_cap_cost batched_pulls(const struct ws_cap_results *r)
{
	double bytes = (double)r->token_message_bytes - BATCH_ITEM +
		       CAP_FRONTEND_CUSTOMERS * BATCH_ITEM;
	double us =
		ws_cap_cost_at(r, WS_CAP_ADM_CPU_BY_INSTANCES, ZONE_INSTANCES);

	return (struct ws_cap_cost){
		.messages = 2 * BATCHES,
		.net = 2 * BATCHES * bytes,
		.cpu = us / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_ADM_MEM, ZONE_INSTANCES),
	};
}

static struct ws_cap_cost short_ids(const struct ws_cap_results *r)
{
	double seconds = (WS_IDEM_RETENTION_MS + WS_IDEM_CLOCK_MARGIN_MS) / 1e3;
	double full = ws_cap_ids_retained() * FULL_ID_SECONDS / seconds;

	return (struct ws_cap_cost){
		.mem = ws_cap_cost_at(r, WS_CAP_IDEM_MEM,
				      ws_cap_doubled_capacity(full)) +
		       (ws_cap_ids_retained() - full) * SHORT_ID,
	};
}

/* A grant names the list that the target already has by as_of and a hash. */
static struct ws_cap_cost digest_grants(const struct ws_cap_results *r)
{
	double grant = ws_cap_cost_at(r, WS_CAP_GRANT_BYTES, 1);
	double answer = (double)r->health_response_bytes;

	return (struct ws_cap_cost){
		.messages = 2 * OWN_TARGETS * (PROBES + GRANTS),
		.net = OWN_TARGETS *
		       (PROBES * answer + GRANTS * (grant + answer)),
	};
}

/* Relays answer with the votes of their zone, in one region. */
static struct ws_cap_cost zone_votes(const struct ws_cap_results *r)
{
	double messages = VOTE_ROUNDS * 4 * REGION_ZONES;

	return (struct ws_cap_cost){
		.messages = messages,
		.net = messages * (double)r->fresh_message_bytes,
		.cpu = messages / 2 * small_message(r) / 1e6,
	};
}

/* ===== Relays ===== */

static double zone_reports(const struct ws_cap_results *r)
{
	return ZONE_INSTANCES * HEARTBEATS *
	       ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, OWN_TARGETS);
}

/* A relay has for reports what its other roles leave of the limit. */
static void relay_row(const struct ws_cap_results *r, struct ws_cap_text *out,
		      const struct ws_cap_cost *sum)
{
	double left = CAP_LIMIT_NET_BYTES_PER_SECOND - sum->net;
	double n = left > 0 ? ceil(zone_reports(r) / left) : ZONE_INSTANCES;
	double reports = ZONE_INSTANCES * HEARTBEATS / n;
	double us = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_RECEIVE, OWN_TARGETS);
	struct ws_cap_text what = { .data = NULL };
	struct ws_cap_cost c = *sum;

	c.messages += reports;
	c.net += zone_reports(r) / n;
	c.cpu += reports * us / 1e6;
	ws_cap_printf(&what,
		      "the sum, and heartbeats of a part of its zone; "
		      "%.0f relays in a zone",
		      n);
	ws_cap_cost_table_row(out, "zone relay", what.data, "rendezvous hash",
			      &c);
	ws_cap_text_free(&what);
}

static const char *const rows[][3] = {
	{ "every instance", "heartbeats by relays, zone state each 8 s",
	  "zone relays, trees of fan-out 1 on average" },
	{ "every instance", "changes of the list",
	  "one list reader in a zone" },
	{ "every instance", "table of members, tick", "ws_member as today" },
	{ "every instance", "assignments of the own region",
	  "per-region logs, partial tables" },
	{ "every instance", "plans of the own region, average of a day",
	  "per-region logs" },
	{ "every instance", "records of the region, changes of bundles",
	  "per-region logs, bundle changes" },
	{ "frontend", "one pull for 21 customers each 150 ms",
	  "batched pulls from a holder in the zone" },
	{ "home", "ids older than 30 s by 24 bytes", "short entries" },
	{ "dispatcher", "probes, grants by digest", "digests in grants" },
};

#define N_ROWS (sizeof(rows) / sizeof(rows[0]))

void ws_cap_write_remedies(const struct ws_cap_results *r,
			   struct ws_cap_text *out)
{
	struct ws_cap_cost c[N_ROWS] = {
		leaf(r),	  list_changes(r), ws_cap_cost_member_table(r),
		region_table(r),  region_plan(r),  region_log(r),
		batched_pulls(r), short_ids(r),	   digest_grants(r),
	};
	struct ws_cap_cost sum = { .messages = 0 };
	struct ws_cap_cost votes = zone_votes(r);
	struct ws_cap_cost reader = list_reader(r);
	size_t i;

	ws_cap_cost_table_header(out);
	for (i = 0; i < N_ROWS; i++) {
		ws_cap_cost_table_row(out, rows[i][0], rows[i][1], rows[i][2],
				      &c[i]);
		ws_cap_cost_add(&sum, &c[i]);
	}
	ws_cap_cost_table_row(out, "one instance in all roles",
			      "sum of the rows above", "", &sum);
	relay_row(r, out, &sum);
	ws_cap_cost_add(&reader, &sum);
	ws_cap_cost_table_row(
		out, "list reader of a zone",
		"the sum, and the region's list when it has changed",
		"list by region, conditional read", &reader);
	ws_cap_cost_add(&votes, &sum);
	ws_cap_cost_table_row(out, "partition holder, log down",
			      "the sum, and rounds of the region",
			      "relays answer with the votes of their zone",
			      &votes);
}
