#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_explain.h"
#include "edge/ws_edge_int.h"
#include "platform/wp_decode.h"

/*
 * Explanations against what the reducer then does with the same request, and
 * that they leave no trace in it.
 */

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":["
	"{\"name\":\"open\"},{\"name\":\"other\"},"
	"{\"name\":\"keyed\",\"sharded\":true}],"
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":0.3,\"service\":\"open\","
	"\"max_attempts\":2},"
	"{\"name\":\"keyed\",\"path_prefix\":\"/k/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":0.3,\"service\":\"keyed\","
	"\"max_attempts\":2}]}]}";

#define SELF 0x100
#define KEY 7
#define REQUESTS 400
#define INSTANCES 40
#define OVERLOAD 2.0

static struct ws_edge *edge;
static struct ws_ed_fx fx;
static struct ws_ed_explanation x;
static ws_us now;
static uint64_t next_id;

static void step(struct ws_ed_event *ev)
{
	ev->now = now;
	fx.n = 0;
	ws_edge_step(edge, ev, &fx);
}

static void list(const char *name, const char *svc, bool draining)
{
	static int64_t sequence;
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id(svc),
		.zone = 1,
		.slots = 4,
		.draining = draining,
		.sequence = ++sequence,
	};

	snprintf(l.name, sizeof(l.name), "%s", name);
	snprintf(l.address, sizeof(l.address), "10.0.0.1:80");
	ev.u.listing = &l;
	step(&ev);
}

static void own_key(const char *server)
{
	const struct ws_ed_map_entry entry = {
		.service = ws_ed_id("keyed"),
		.from = 0,
		.to = 99,
		.server = ws_ed_id(server),
	};

	edge->lead.map.epoch = 3;
	ws_ed_map_add(&edge->lead.map, &entry);
	ws_ed_map_sort(&edge->lead.map);
}

static void setup(void)
{
	const struct ws_ed_settings set = {
		.self = SELF,
		.incarnation = 1,
		.zone = 1,
		.seed = 1,
		.now = WS_SECOND,
		.max_calls = REQUESTS,
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .config_delay_max = 2500 * WS_MS,
			    .retry_ratio = 0.2,
			    .linger = 1700 * WS_MS,
			    .retry_slack = 60.0,
			    .rate_slack = 20.0,
			    .drain_time = 2 * WS_SECOND },
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };

	ws_edge_free(edge);
	now = WS_SECOND;
	next_id = 0;
	edge = ws_edge_new(&set);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	step(&ev);
	/* So many that each request considers a random part of the servers. */
	edge->pool.instances = INSTANCES;
	list("a", "open", false);
	list("b", "open", false);
	list("c", "open", false);
	list("k1", "keyed", false);
	list("k2", "keyed", false);
}

/* As if the demand of all instances exceeded the capacity by so much. */
static void set_overload(double overload)
{
	size_t i;

	for (i = 0; i < edge->n_budgets; i++)
		edge->budgets[i].overload = overload;
}

static void explain(const char *path, int32_t key)
{
	const struct ws_ed_explain_query q = { .host = "h",
					       .path = path,
					       .key = key };

	ws_ed_explanation_free(&x);
	ws_ed_explain(edge, now, &q, &x);
}

static const struct ws_ed_effect *find(uint8_t kind)
{
	size_t i;

	for (i = 0; i < fx.n; i++)
		if (fx.items[i].kind == kind)
			return &fx.items[i];
	return NULL;
}

static void arrive(const char *path, int32_t key)
{
	const struct ws_ed_arrival a = {
		.id = ++next_id,
		.host = "h",
		.path = path,
		.deadline = 2 * WS_SECOND,
		.key = key,
		.started = now,
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };

	ev.u.arrival = &a;
	step(&ev);
}

static enum ws_ed_left_out state_of(const char *name)
{
	size_t i;

	for (i = 0; i < x.n_servers; i++)
		if (!strcmp(x.servers[i].server->name, name))
			return x.servers[i].left_out;
	ck_abort_msg("%s is not named", name);
	return WS_EDX_CHOSEN;
}

/* The decision is that of the reducer, whatever the request gets. */
static void compare(const char *path, int32_t key)
{
	const struct ws_ed_effect *sent;
	const struct ws_ed_effect *reply;

	explain(path, key);
	arrive(path, key);
	sent = find(WS_EDFX_SEND);
	reply = find(WS_EDFX_REPLY);
	ck_assert_int_eq(x.decision == WS_EDX_SEND, sent != NULL);
	ck_assert_int_eq(x.decision == WS_EDX_REFUSE, reply != NULL);
	if (sent)
		ck_assert_ptr_eq(x.chosen,
				 &edge->pool.servers[sent->u.send.server]);
	if (!reply)
		return;
	ck_assert_int_eq(x.status, reply->u.reply.status);
	ck_assert_int_eq(x.reason, reply->u.reply.reason);
	ck_assert_int_eq(x.retry_after, reply->u.reply.retry_after);
}

/* Requests until all servers are full: sent, queued and refused ones. */
START_TEST(decision_is_that_of_the_next_request)
{
	unsigned seen[WS_EDX_REFUSE + 1] = { 0 };
	int i;

	setup();
	own_key("k1");
	for (i = 0; i < REQUESTS; i++) {
		now += WS_MS;
		if (i == REQUESTS / 4)
			set_overload(OVERLOAD);
		compare(i % 3 ? "/r/1" : "/k/1", KEY);
		seen[x.decision]++;
	}
	ck_assert_uint_gt(seen[WS_EDX_SEND], 0);
	ck_assert_uint_gt(seen[WS_EDX_WAIT], 0);
	ck_assert_uint_gt(seen[WS_EDX_REFUSE], 0);
}
END_TEST

START_TEST(refusals_are_those_of_the_reducer)
{
	setup();
	compare("/none/", KEY);
	ck_assert_int_eq(x.status, 404);
	compare("/k/1", -1);
	ck_assert_int_eq(x.status, 400);
	compare("/k/1", KEY);
	ck_assert_int_eq(x.decision, WS_EDX_WAIT);
	ck_assert_int_eq(x.reason, WS_EDR_NO_OWNER);
	list("a", "open", true);
	list("b", "open", true);
	list("c", "open", true);
	compare("/r/1", KEY);
	ck_assert_int_eq(x.status, 503);
	ck_assert_int_eq(x.reason, WS_EDR_NO_SERVER);
	ck_assert_int_gt(x.retry_after, 0);
}
END_TEST

START_TEST(owner_and_servers_left_out_are_named)
{
	setup();
	own_key("k1");
	list("a", "open", true);
	arrive("/k/1", KEY);
	explain("/k/1", KEY);
	ck_assert_str_eq(x.key.server->name, "k1");
	ck_assert_uint_eq(x.key.from, 0);
	ck_assert_uint_eq(x.key.to, 99);
	ck_assert_uint_eq(x.key.epoch, 3);
	ck_assert_uint_eq(x.key.open, 1);
	ck_assert_uint_eq(x.n_servers, 2);
	ck_assert_int_eq(state_of("k1"), WS_EDX_CHOSEN);
	ck_assert_int_eq(state_of("k2"), WS_EDX_NOT_OWNER);
	explain("/r/1", -1);
	ck_assert_uint_eq(x.n_servers, 3);
	ck_assert_int_eq(state_of("a"), WS_EDX_LEAVING);
	ck_assert_ptr_nonnull(x.chosen);
}
END_TEST

/* Server of the send, or Retry-After of the refusal, of the last request. */
static int64_t outcome(void)
{
	const struct ws_ed_effect *sent = find(WS_EDFX_SEND);
	const struct ws_ed_effect *reply = find(WS_EDFX_REPLY);

	return sent  ? (int64_t)sent->u.send.server :
	       reply ? reply->u.reply.retry_after :
		       -1;
}

/* Guards against a query that changes where later requests go. */
START_TEST(explanation_leaves_no_trace)
{
	int64_t outcomes[REQUESTS];
	int round;
	int i;

	for (round = 0; round < 2; round++) {
		setup();
		own_key("k1");
		for (i = 0; i < REQUESTS; i++) {
			now += WS_MS;
			if (i == REQUESTS / 4)
				set_overload(OVERLOAD);
			if (round)
				explain(i % 2 ? "/r/1" : "/k/1", KEY);
			arrive(i % 3 ? "/r/1" : "/k/1", KEY);
			if (round)
				ck_assert_int_eq(outcomes[i], outcome());
			outcomes[i] = outcome();
		}
	}
	ck_assert_uint_eq(edge->counters.arrivals, REQUESTS);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		decision_is_that_of_the_next_request,
		refusals_are_those_of_the_reducer,
		owner_and_servers_left_out_are_named,
		explanation_leaves_no_trace,
	};

	return ed_suite_run("ed_explain", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
