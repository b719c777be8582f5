#include "capacity/ws_cap_cost.h"

#include <math.h>

/*
 * Costs of planned mechanisms that are not implemented yet, from the same
 * fitted lines. Constants that describe a planned layout state their reason.
 */

/*
 * Seconds between full states. They only repair the loss of messages; changes,
 * 48 bytes each, are forwarded at once.
 */
#define FULL_STATE_PERIOD_SECONDS 8.0
/* Per second: three attempts within a lease of 1,200 ms. */
#define VOTE_ROUNDS_PER_SECOND 2.5
/*
 * The period must be shorter than the 200 ms after which the pulled tokens
 * expire.
 */
#define BATCHES_PER_SECOND PER_SECOND(150 * WS_MS)
/* Bytes of customer, tokens and balance in a token message of ws_peer.x. */
#define BATCH_ITEM_BYTES 16.0
/*
 * Bytes of an entry whose answer is not kept: id of 16 bytes, time and state.
 * Entries are stored in blocks by time, so memory need not double.
 */
#define SHORT_ID_BYTES 24.0
#define FULL_ID_SECONDS 30.0
/* Caller keys in an ordinary change of a bundle; assumed. */
#define CHANGED_KEYS 10.0

#define SHARDS_PER_REGION ((double)CAP_SHARDS / CAP_REGIONS)
#define ZONES_PER_REGION ((double)CAP_ZONES / CAP_REGIONS)
/* Members that join and leave on an ordinary day. */
#define LIST_CHANGES_PER_DAY (2 * (CAP_RESTARTS_PER_DAY + CAP_FAILURES_PER_DAY))

/* Microseconds to send and receive the smallest message. */
static double small_message_us(const struct ws_cap_results *r)
{
	return r->series[WS_CAP_HEARTBEAT_SEND].fit.intercept +
	       r->series[WS_CAP_HEARTBEAT_RECEIVE].fit.intercept;
}

/*
 * Inbound: the relay's heartbeats, the state of the zone and one summary per
 * second of each other zone. Inbound messages are forwarded once on average,
 * because each instance is an inner node of only one tree.
 */
static struct ws_cap_cost relayed_heartbeats(const struct ws_cap_results *r)
{
	double empty = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, 0);
	double state =
		ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, TARGETS_PER_ZONE);
	double own =
		ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, TARGETS_PER_INSTANCE);
	double small_messages = HEARTBEATS_PER_SECOND + CAP_ZONES - 1;
	double in = small_messages * empty + state / FULL_STATE_PERIOD_SECONDS;
	double us =
		ws_cap_cost_at(r, WS_CAP_HEARTBEAT_SEND, TARGETS_PER_ZONE) +
		ws_cap_cost_at(r, WS_CAP_HEARTBEAT_RECEIVE, TARGETS_PER_ZONE);

	return (struct ws_cap_cost){
		.messages =
			2 * (small_messages + 1 / FULL_STATE_PERIOD_SECONDS) +
			HEARTBEATS_PER_SECOND,
		.net = 2 * in + HEARTBEATS_PER_SECOND * own,
		.cpu = ((small_messages + HEARTBEATS_PER_SECOND) *
				small_message_us(r) +
			us / FULL_STATE_PERIOD_SECONDS) /
		       1e6,
	};
}

/* One list reader per zone sends the changes to the others. */
static struct ws_cap_cost list_changes(const struct ws_cap_results *r)
{
	double bytes = r->series[WS_CAP_LIST_BYTES].fit.slope;
	double us = r->series[WS_CAP_LIST_PARSE].fit.slope;

	return (struct ws_cap_cost){
		.messages = 2 * LIST_CHANGES_PER_DAY / CAP_DAY_SECONDS,
		.net = 2 * LIST_CHANGES_PER_DAY * bytes / CAP_DAY_SECONDS,
		.cpu = LIST_CHANGES_PER_DAY * us / 1e6 / CAP_DAY_SECONDS,
	};
}

static struct ws_cap_cost list_reader(const struct ws_cap_results *r)
{
	double nodes = (double)CAP_NODES / CAP_REGIONS;
	double reads = LIST_CHANGES_PER_DAY / CAP_REGIONS / CAP_DAY_SECONDS;
	double us = ws_cap_cost_at(r, WS_CAP_LIST_PARSE, nodes);

	return (struct ws_cap_cost){
		.messages = LIST_READS_PER_SECOND,
		.net = reads * ws_cap_cost_at(r, WS_CAP_LIST_BYTES, nodes),
		.cpu = reads * us / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_LIST_BYTES, nodes),
	};
}

static struct ws_cap_cost region_assignments(const struct ws_cap_results *r)
{
	double us =
		ws_cap_cost_at(r, WS_CAP_OWN_TICK_SHARDS, SHARDS_PER_REGION);

	return (struct ws_cap_cost){
		.cpu = TICKS_PER_SECOND * us / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_OWN_MEM, SHARDS_PER_REGION),
	};
}

static struct ws_cap_cost region_plan(const struct ws_cap_results *r)
{
	double us = ws_cap_cost_at(r, WS_CAP_OWN_PLAN, SHARDS_PER_REGION);
	double plans = ws_cap_plans_per_day(r) / CAP_REGIONS;

	return (struct ws_cap_cost){ .cpu = plans * us / 1e6 /
					    CAP_DAY_SECONDS };
}

/* Bundle changes instead of whole bundles, and the records of the region. */
static struct ws_cap_cost region_log(const struct ws_cap_results *r)
{
	double whole = ws_cap_cost_at(r, WS_CAP_BUNDLE_BYTES, CAP_CALLER_KEYS);
	double delta = ws_cap_cost_at(r, WS_CAP_BUNDLE_BYTES, CHANGED_KEYS);
	double us = ws_cap_cost_at(r, WS_CAP_BUNDLE_OPEN, CHANGED_KEYS);
	double other_bytes =
		ws_cap_log_bytes_per_day(r) - CAP_BUNDLES_PER_DAY * whole;

	return (struct ws_cap_cost){
		.messages = LOG_READS_PER_SECOND,
		.net = (CAP_BUNDLES_PER_DAY * delta +
			other_bytes / CAP_REGIONS) /
		       CAP_DAY_SECONDS,
		.cpu = CAP_BUNDLES_PER_DAY * us / 1e6 / CAP_DAY_SECONDS,
	};
}

/*
 * One message to the zone's token holder asks for all customers. The CPU time
 * is that of single pulls among the instances of a zone, requests included;
 * batches would need less.
 */
static struct ws_cap_cost batched_pulls(const struct ws_cap_results *r)
{
	double bytes = (double)r->token_message_bytes - BATCH_ITEM_BYTES +
		       CAP_FRONTEND_CUSTOMERS * BATCH_ITEM_BYTES;
	double us = ws_cap_cost_at(r, WS_CAP_ADM_CPU_BY_INSTANCES,
				   INSTANCES_PER_ZONE);

	return (struct ws_cap_cost){
		.messages = 2 * BATCHES_PER_SECOND,
		.net = 2 * BATCHES_PER_SECOND * bytes,
		.cpu = us / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_ADM_MEM, INSTANCES_PER_ZONE),
	};
}

static struct ws_cap_cost short_ids(const struct ws_cap_results *r)
{
	double seconds = (WS_IDEM_RETENTION_MS + WS_IDEM_CLOCK_MARGIN_MS) / 1e3;
	double full = ws_cap_ids_retained() * FULL_ID_SECONDS / seconds;

	return (struct ws_cap_cost){
		.mem = ws_cap_cost_at(r, WS_CAP_IDEM_MEM,
				      ws_cap_doubled_capacity(full)) +
		       (ws_cap_ids_retained() - full) * SHORT_ID_BYTES,
	};
}

/*
 * A grant refers to the list that the target already has by as_of and a hash.
 */
static struct ws_cap_cost digest_grants(const struct ws_cap_results *r)
{
	double grant = ws_cap_cost_at(r, WS_CAP_GRANT_BYTES, 1);
	double answer = (double)r->health_response_bytes;

	return (struct ws_cap_cost){
		.messages = 2 * TARGETS_PER_INSTANCE *
			    (PROBES_PER_SECOND + GRANTS_PER_SECOND),
		.net = TARGETS_PER_INSTANCE *
		       (PROBES_PER_SECOND * answer +
			GRANTS_PER_SECOND * (grant + answer)),
	};
}

/* Within one region, relays answer with the votes of their zone. */
static struct ws_cap_cost zone_votes(const struct ws_cap_results *r)
{
	double messages = VOTE_ROUNDS_PER_SECOND * 4 * ZONES_PER_REGION;

	return (struct ws_cap_cost){
		.messages = messages,
		.net = messages * (double)r->fresh_message_bytes,
		.cpu = messages / 2 * small_message_us(r) / 1e6,
	};
}

/* ===== Relays ===== */

static double zone_report_bytes(const struct ws_cap_results *r)
{
	return INSTANCES_PER_ZONE * HEARTBEATS_PER_SECOND *
	       ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, TARGETS_PER_INSTANCE);
}

/*
 * A relay can use for reports the part of the network limit that its other
 * roles leave.
 */
static void relay_row(const struct ws_cap_results *r, struct ws_cap_text *out,
		      const struct ws_cap_cost *sum)
{
	double left = CAP_LIMIT_NET_BYTES_PER_SECOND - sum->net;
	double n = left > 0 ? ceil(zone_report_bytes(r) / left) :
			      INSTANCES_PER_ZONE;
	double reports = INSTANCES_PER_ZONE * HEARTBEATS_PER_SECOND / n;
	double us = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_RECEIVE,
				   TARGETS_PER_INSTANCE);
	struct ws_cap_text what = { .data = NULL };
	struct ws_cap_cost c = *sum;

	c.messages += reports;
	c.net += zone_report_bytes(r) / n;
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
		relayed_heartbeats(r),
		list_changes(r),
		ws_cap_cost_member_table(r),
		region_assignments(r),
		region_plan(r),
		region_log(r),
		batched_pulls(r),
		short_ids(r),
		digest_grants(r),
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
