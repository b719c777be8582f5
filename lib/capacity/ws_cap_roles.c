#include "capacity/ws_cap_cost.h"

#include <math.h>

/* Cost of each role at the size to design for, from the fitted lines. */

/* ===== Rows of every instance ===== */

static struct ws_cap_cost heartbeats(const struct ws_cap_results *r)
{
	double told = OWN_TARGETS;
	double us = ws_cap_cost_at(r, WS_CAP_HEARTBEAT_SEND, told) +
		    ws_cap_cost_at(r, WS_CAP_HEARTBEAT_RECEIVE, told) +
		    ws_cap_cost_at(r, WS_CAP_MEMBER_HEARTBEAT, CAP_NODES);

	return (struct ws_cap_cost){
		.messages = 2 * HEARTBEATS * PEERS,
		.net = 2 * HEARTBEATS * PEERS *
		       ws_cap_cost_at(r, WS_CAP_HEARTBEAT_BYTES, told),
		.cpu = HEARTBEATS * PEERS * us / 1e6,
	};
}

struct ws_cap_cost ws_cap_cost_member_table(const struct ws_cap_results *r)
{
	return (struct ws_cap_cost){
		.cpu = TICKS *
		       ws_cap_cost_at(r, WS_CAP_MEMBER_TICK, CAP_NODES) / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_MEMBER_MEM, CAP_NODES),
	};
}

static struct ws_cap_cost list_reads(const struct ws_cap_results *r)
{
	return (struct ws_cap_cost){
		.messages = LIST_READS,
		.net = LIST_READS *
		       ws_cap_cost_at(r, WS_CAP_LIST_BYTES, CAP_NODES),
		.cpu = LIST_READS *
		       ws_cap_cost_at(r, WS_CAP_LIST_PARSE, CAP_NODES) / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_LIST_BYTES, CAP_NODES),
	};
}

static struct ws_cap_cost own_table(const struct ws_cap_results *r)
{
	return (struct ws_cap_cost){
		.cpu = TICKS *
		       ws_cap_cost_at(r, WS_CAP_OWN_TICK_SHARDS, CAP_SHARDS) /
		       1e6,
		.mem = ws_cap_cost_at_largest(r, WS_CAP_OWN_MEM),
	};
}

/* Each record that assigns, each bundle and each change of a member's state. */
double ws_cap_plans_per_day(const struct ws_cap_results *r)
{
	double members = 2 * (CAP_RESTARTS_PER_DAY + CAP_FAILURES_PER_DAY);

	return ws_cap_log_records_per_day(r) + members;
}

static struct ws_cap_cost plans(const struct ws_cap_results *r)
{
	double us = ws_cap_cost_at(r, WS_CAP_OWN_PLAN, CAP_SHARDS);

	return (struct ws_cap_cost){ .cpu = ws_cap_plans_per_day(r) * us / 1e6 /
					    CAP_DAY_SECONDS };
}

static struct ws_cap_cost log_reader(const struct ws_cap_results *r)
{
	double opened =
		ws_cap_cost_at(r, WS_CAP_BUNDLE_OPEN, CAP_CALLER_KEYS) / 1e6;

	return (struct ws_cap_cost){
		.messages = LOG_READS,
		.net = ws_cap_log_bytes_per_day(r) / CAP_DAY_SECONDS,
		.cpu = CAP_BUNDLES_PER_DAY * opened / CAP_DAY_SECONDS,
	};
}

/* ===== Rows of single roles ===== */

static double pulls(const struct ws_cap_results *r, double customers)
{
	double asks = ws_cap_cost_at(r, WS_CAP_ADM_PULLS, customers);

	return fmin(asks, WS_ADM_ASKS_PER_SECOND);
}

/* Only the part that grows with the customers, not that of the requests. */
static struct ws_cap_cost frontend(const struct ws_cap_results *r)
{
	double messages = 2 * pulls(r, CAP_CUSTOMERS);

	return (struct ws_cap_cost){
		.messages = messages,
		.net = messages * (double)r->token_message_bytes,
		.cpu = r->series[WS_CAP_ADM_CPU_BY_CUSTOMERS].fit.slope *
		       CAP_CUSTOMERS / 1e6,
		.mem = ws_cap_cost_at(r, WS_CAP_ADM_MEM, CAP_INSTANCES),
	};
}

double ws_cap_ids_retained(void)
{
	return CAP_REQUESTS_PER_SECOND / CAP_INSTANCES *
	       CAP_NON_IDEMPOTENT_SHARE *
	       (WS_IDEM_RETENTION_MS + WS_IDEM_CLOCK_MARGIN_MS) / 1e3;
}

static struct ws_cap_cost home(const struct ws_cap_results *r)
{
	double slots = ws_cap_doubled_capacity(ws_cap_ids_retained());

	return (struct ws_cap_cost){
		.mem = ws_cap_cost_at(r, WS_CAP_IDEM_MEM, slots),
	};
}

static struct ws_cap_cost dispatcher(const struct ws_cap_results *r)
{
	double grant = ws_cap_cost_at(r, WS_CAP_GRANT_BYTES, TARGET_SHARDS);
	double answer = (double)r->health_response_bytes;

	return (struct ws_cap_cost){
		.messages = 2 * OWN_TARGETS * (PROBES + GRANTS),
		.net = OWN_TARGETS *
		       (PROBES * answer + GRANTS * (grant + answer)),
	};
}

/* An ask to all, answers of all holders, asks of all, answers to all. */
static struct ws_cap_cost partition_holder(const struct ws_cap_results *r)
{
	double out = ROUNDS * 2 * PEERS;
	double in = ROUNDS * (CAP_PARTITIONS + PEERS);
	double round = ws_cap_cost_at_largest(r, WS_CAP_FRESHNESS_ROUND);

	return (struct ws_cap_cost){
		.messages = out + in,
		.net = (out + in) * (double)r->fresh_message_bytes,
		.cpu = (out * r->series[WS_CAP_HEARTBEAT_SEND].fit.intercept +
			in * r->series[WS_CAP_HEARTBEAT_RECEIVE].fit.intercept +
			ROUNDS * round) /
		       1e6,
	};
}

static struct ws_cap_cost operator_line(const struct ws_cap_results *r)
{
	return (struct ws_cap_cost){
		.messages = CAP_BUNDLES_PER_DAY / CAP_DAY_SECONDS,
		.net = CAP_BUNDLES_PER_DAY / CAP_DAY_SECONDS *
		       ws_cap_cost_at(r, WS_CAP_BUNDLE_BYTES, CAP_CALLER_KEYS),
	};
}

static void every_instance(const struct ws_cap_results *r,
			   struct ws_cap_text *out, struct ws_cap_cost *sum)
{
	static const char *const text[][2] = {
		{ "heartbeats to and from all", "full mesh, ws_member" },
		{ "platform list read in full each 500 ms", "lib/io" },
		{ "table of members, tick", "ws_member" },
		{ "table of all assignments, idle tick", "ws_own" },
		{ "plan after each change, average of a day", "ws_own" },
		{ "log records and bundles, average of a day",
		  "one log, long poll" },
	};
	struct ws_cap_cost c[] = {
		heartbeats(r), list_reads(r), ws_cap_cost_member_table(r),
		own_table(r),  plans(r),      log_reader(r)
	};
	size_t i;

	for (i = 0; i < sizeof(c) / sizeof(c[0]); i++) {
		ws_cap_cost_table_row(out, "every instance", text[i][0],
				      text[i][1], &c[i]);
		ws_cap_cost_add(sum, &c[i]);
	}
}

/* Instances at which full-mesh heartbeats alone reach a limit. */
static void mesh_limit(const struct ws_cap_results *r, struct ws_cap_text *out)
{
	struct ws_cap_cost c = heartbeats(r);

	ws_cap_printf(out,
		      "\nFull-mesh heartbeats alone reach 17 KB/s at %.0f "
		      "instances and 1.4 %% of a core at %.0f.\n",
		      1 + PEERS * CAP_LIMIT_NET_BYTES_PER_SECOND / c.net,
		      1 + PEERS * CAP_LIMIT_CPU_CORES / c.cpu);
}

void ws_cap_write_roles(const struct ws_cap_results *r, struct ws_cap_text *out)
{
	struct ws_cap_cost sum = { .messages = 0 };
	struct ws_cap_cost f = frontend(r);
	struct ws_cap_cost h = home(r);
	struct ws_cap_cost d = dispatcher(r);
	struct ws_cap_cost p = partition_holder(r);
	struct ws_cap_cost o = operator_line(r);

	ws_cap_cost_table_header(out);
	every_instance(r, out, &sum);
	ws_cap_cost_table_row(out, "frontend",
			      "token pulls for 64 customers, known balances",
			      "pulls, ws_adm", &f);
	ws_cap_cost_table_row(out, "home",
			      "request ids of 602 s, without answers",
			      "ws_idem", &h);
	ws_cap_cost_table_row(out, "dispatcher",
			      "probes and grants of its targets",
			      "ws_member, ws_own", &d);
	ws_cap_cost_add(&sum, &f);
	ws_cap_cost_add(&sum, &h);
	ws_cap_cost_add(&sum, &d);
	ws_cap_cost_table_row(out, "one instance in all roles",
			      "sum of the rows above", "", &sum);
	ws_cap_cost_table_row(out, "partition holder, log down",
			      "freshness rounds of all", "full mesh, ws_own",
			      &p);
	ws_cap_cost_table_row(out, "operator",
			      "bundles as sent to one instance", "wagtailshift",
			      &o);
	mesh_limit(r, out);
}
