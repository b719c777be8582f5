#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_lead.h"
#include "edge/ws_ed_position.h"
#include "edge/ws_edge.h"
#include "platform/wp_decode.h"

/* The edge's reducer: requests from arrival to response. */

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":["
	"{\"name\":\"open\",\"max_connections\":120,\"warmup_s\":3,"
	"\"warmup_per_s\":9},"
	"{\"name\":\"keyed\",\"sharded\":true}],"
	"\"tenants\":[{\"name\":\"lab\",\"api_keys\":[\"k1\"]},"
	"{\"name\":\"few\",\"api_keys\":[\"k3\"],\"rate_per_s\":2,"
	"\"burst\":2},"
	"{\"name\":\"vip\",\"api_keys\":[\"kv\"],\"priority\":0},"
	"{\"name\":\"slow\",\"api_keys\":[\"ks\"],\"rate_per_s\":1,"
	"\"burst\":1}],"
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":0.3,\"service\":\"open\","
	"\"max_attempts\":2},"
	"{\"name\":\"order\",\"path_prefix\":\"/o/\","
	"\"kind\":\"non_idempotent\",\"timeout_s\":1.2,"
	"\"target_latency_s\":0.3,\"service\":\"open\",\"max_attempts\":2},"
	"{\"name\":\"single\",\"path_prefix\":\"/s/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":0.3,\"service\":\"open\","
	"\"max_attempts\":1},"
	"{\"name\":\"exempt\",\"path_prefix\":\"/e/\",\"kind\":\"idempotent\","
	"\"auth_exempt\":true,\"service\":\"open\",\"max_attempts\":2},"
	"{\"name\":\"keyed\",\"path_prefix\":\"/k/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":0.3,\"service\":\"keyed\","
	"\"max_attempts\":2,\"priority\":3},"
	"{\"name\":\"urgent\",\"path_prefix\":\"/u/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":0.3,\"service\":\"keyed\","
	"\"max_attempts\":2,\"priority\":1}]}]}";

#define SELF 0x100
#define INCARNATION 1

static struct ws_edge *edge;
static struct ws_ed_fx fx;
static ws_us now;
static uint64_t next_id;

static void step(struct ws_ed_event *ev)
{
	ev->now = now;
	fx.n = 0;
	ws_edge_step(edge, ev, &fx);
}

static void tick(ws_us elapsed)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_TICK };

	now += elapsed;
	step(&ev);
}

static void sync_topics(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	ev.u.sync.started = now;
	ev.u.sync.topic = WS_EDT_CONFIG;
	step(&ev);
	ev.u.sync.topic = WS_EDT_SERVERS;
	step(&ev);
}

static void list_at(const char *name, const char *svc, const char *address)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id(svc),
		.zone = 1,
		.slots = 4,
	};

	snprintf(l.name, sizeof(l.name), "%s", name);
	snprintf(l.address, sizeof(l.address), "%s", address);
	ev.u.listing = &l;
	step(&ev);
}

static void list(const char *name, const char *svc)
{
	list_at(name, svc, "10.0.0.1:80");
}

static void setup(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct ws_ed_event member = { .kind = WS_EDEV_MEMBER };
	struct ws_ed_settings set = {
		.self = SELF,
		.incarnation = INCARNATION,
		.zone = 1,
		.seed = 1,
		.now = WS_SECOND,
		.max_calls = 100,
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .config_delay_max = 2500 * WS_MS,
			    .retry_ratio = 0.2,
			    .linger = 1700 * WS_MS,
			    .retry_slack = 60.0,
			    .rate_slack = 20.0,
			    .drain_time = 2 * WS_SECOND },
	};

	ws_edge_free(edge);
	now = WS_SECOND;
	edge = ws_edge_new(&set);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	step(&ev);
	list("a", "open");
	list("b", "open");
	sync_topics();
	/* This instance is the only one in the list. */
	member.u.member = (struct ws_ed_member_entry){
		.id = SELF,
		.zone = 1,
		.address = "10.0.0.9:7",
	};
	step(&member);
	member.kind = WS_EDEV_MEMBERS_READ;
	step(&member);
}

static struct ws_ed_arrival arrival_of(const char *path, const char *key)
{
	return (struct ws_ed_arrival){
		.id = ++next_id,
		.host = "h",
		.path = path,
		.fingerprint = ws_ed_id(path),
		.caller_key = key,
		.deadline = 1200 * WS_MS,
		.key = 7,
		.started = now,
	};
}

static uint64_t deliver(const struct ws_ed_arrival *a)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };

	ev.u.arrival = a;
	step(&ev);
	return a->id;
}

static uint64_t arrive(const char *path, const char *key)
{
	const struct ws_ed_arrival a = arrival_of(path, key);

	return deliver(&a);
}

static uint64_t arrive_with_deadline(const char *path, const char *key,
				     ws_us deadline)
{
	struct ws_ed_arrival a = arrival_of(path, key);

	a.deadline = deadline;
	return deliver(&a);
}

static void end(uint64_t id, uint8_t lane, enum ws_ed_end outcome)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_REQUEST_ENDED };

	ev.u.ending = (struct ws_ed_ending){
		.request = id,
		.lane = lane,
		.end = outcome,
		.latency = 50 * WS_MS,
	};
	step(&ev);
}

static const struct ws_ed_effect *find(uint8_t kind)
{
	size_t i;

	for (i = 0; i < fx.n; i++)
		if (fx.items[i].kind == kind)
			return &fx.items[i];
	return NULL;
}

static void expect_reply(int status, enum ws_ed_reason reason)
{
	const struct ws_ed_effect *x = find(WS_EDFX_REPLY);

	ck_assert_ptr_nonnull(x);
	ck_assert_int_eq(x->u.reply.status, status);
	ck_assert_int_eq(x->u.reply.reason, reason);
}

static void unlist(const char *name)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };

	ev.u.unlisted = ws_ed_id(name);
	step(&ev);
}

START_TEST(response_is_forwarded)
{
	uint64_t id;

	setup();
	id = arrive("/r/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_str_eq(ws_edge_customer(edge, id), "lab");
	end(id, 0, WS_ED_END_OK);
	ck_assert_ptr_nonnull(find(WS_EDFX_FORWARD));
	ck_assert_uint_eq(ws_edge_open(edge), 0);
}
END_TEST

/*
 * Guards against a server that is taken for crashed, or a request that is lost,
 * as it turned out before the request went out that the server leaves (DRAIN).
 */
START_TEST(withdrawn_request_goes_to_another_server)
{
	const struct ws_ed_effect *x;
	uint32_t first;
	uint64_t id;
	size_t i;

	setup();
	id = arrive("/o/1", "k1");
	x = find(WS_EDFX_SEND);
	ck_assert_ptr_nonnull(x);
	first = x->u.send.server;
	end(id, 0, WS_ED_END_WITHDRAWN);
	x = find(WS_EDFX_SEND);
	ck_assert_ptr_nonnull(x);
	ck_assert_uint_ne(x->u.send.server, first);
	for (i = 0; i < fx.n; i++)
		ck_assert(fx.items[i].kind != WS_EDFX_LOG);
	ck_assert_int_eq(ws_edge_pool(edge)->servers[first].backoff_until, 0);
	ck_assert_uint_eq(ws_edge_counters(edge)->repeats, 0);
}
END_TEST

START_TEST(callers_are_checked)
{
	setup();
	arrive("/x/1", "k1");
	expect_reply(404, WS_EDR_NO_ROUTE);
	arrive("/r/1", "k2");
	expect_reply(401, WS_EDR_BAD_CALLER_KEY);
	arrive("/r/1", NULL);
	expect_reply(401, WS_EDR_BAD_CALLER_KEY);
}
END_TEST

/* Guards against DENIED: an instance that knows no route yet. */
START_TEST(request_before_the_first_configuration_is_refused)
{
	const struct ws_ed_settings set = {
		.self = SELF,
		.incarnation = INCARNATION,
		.now = WS_SECOND,
		.max_calls = 100,
	};

	ws_edge_free(edge);
	now = WS_SECOND;
	edge = ws_edge_new(&set);
	arrive("/r/1", "k1");
	expect_reply(503, WS_EDR_NO_CONFIG);
}
END_TEST

START_TEST(exempt_route_needs_no_key)
{
	uint64_t id;

	setup();
	id = arrive("/e/1", NULL);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_str_eq(ws_edge_customer(edge, id), "");
	arrive("/e/1", "unknown");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
}
END_TEST

START_TEST(configuration_without_customers_needs_no_key)
{
	static const char text[] =
		"{\"version\":\"00000002\",\"services\":[{\"name\":\"open\"}],"
		"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
		"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":"
		"\"idempotent\",\"service\":\"open\"}]}]}";
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };

	setup();
	ev.u.config = wp_decode_config(text, sizeof(text) - 1, NULL);
	step(&ev);
	arrive("/r/1", NULL);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
}
END_TEST

/* Guards against QUOTA: a rate that is divided but not applied. */
START_TEST(requests_beyond_the_rate_are_refused)
{
	int refused = 0;
	int i;

	setup();
	for (i = 0; i < 60; i++) {
		arrive("/r/1", "ks");
		if (!find(WS_EDFX_REPLY))
			continue;
		expect_reply(429, WS_EDR_RATE_EXCEEDED);
		ck_assert_int_gt(find(WS_EDFX_REPLY)->u.reply.retry_after, 0);
		refused++;
	}
	ck_assert_int_ge(refused, 35);
}
END_TEST

START_TEST(incomplete_requests_are_refused)
{
	struct ws_ed_arrival a;

	setup();
	a = arrival_of("/r/1", "k1");
	a.malformed = true;
	deliver(&a);
	expect_reply(400, WS_EDR_BAD_REQUEST);
	a = arrival_of("/k/1", "k1");
	a.key = -1;
	deliver(&a);
	expect_reply(400, WS_EDR_BAD_REQUEST);
}
END_TEST

/* Guards against BUDGET: servers that are given more time than is left. */
START_TEST(time_of_a_request_is_bounded)
{
	struct ws_ed_arrival a;

	setup();
	a = arrival_of("/r/1", "k1");
	a.deadline = 300 * WS_MS;
	deliver(&a);
	ck_assert_int_eq(find(WS_EDFX_SEND)->u.send.deadline,
			 now + 300 * WS_MS);
	/* The route's timeout is shorter. */
	a = arrival_of("/r/1", "k1");
	a.deadline = 9 * WS_SECOND;
	deliver(&a);
	ck_assert_int_eq(find(WS_EDFX_SEND)->u.send.deadline,
			 now + 1200 * WS_MS);
}
END_TEST

/* Guards against BUDGET: more attempts than the route allows. */
START_TEST(attempts_of_a_route_are_limited)
{
	uint64_t id;

	setup();
	list("c", "open");
	id = arrive("/r/1", "k1");
	end(id, 0, WS_ED_END_FAILED);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	end(id, 0, WS_ED_END_FAILED);
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	ck_assert_ptr_nonnull(find(WS_EDFX_FORWARD));
}
END_TEST

/* Guards against TWICE: a failure of a server counts as run. */
START_TEST(failed_order_is_not_sent_again)
{
	uint64_t id;

	setup();
	id = arrive("/o/1", "k1");
	end(id, 0, WS_ED_END_FAILED);
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	ck_assert_ptr_nonnull(find(WS_EDFX_FORWARD));
}
END_TEST

/* Guards against BUDGET: each rejection was answered with another send. */
START_TEST(repeated_sends_have_a_budget)
{
	int repeated = 0;
	int i;

	setup();
	for (i = 0; i < 200; i++) {
		uint64_t id = arrive("/r/1", "k1");

		if (!find(WS_EDFX_SEND))
			continue;
		end(id, 0, WS_ED_END_SHED);
		if (!find(WS_EDFX_SEND))
			continue;
		repeated++;
		end(id, 0, WS_ED_END_OK);
	}
	ck_assert_int_gt(repeated, 20);
	ck_assert_int_le(repeated, 100);
}
END_TEST

/* Guards against a revoked key that a partitioned instance still accepts. */
START_TEST(keys_need_recent_evidence)
{
	setup();
	now += 4700 * WS_MS;
	arrive("/r/1", "k1");
	expect_reply(503, WS_EDR_STORE_UNREACHABLE);
	ck_assert(!ws_edge_ready(edge, now));
	sync_topics();
	arrive("/r/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert(ws_edge_ready(edge, now));
}
END_TEST

/*
 * Guards against a non-idempotent request that is executed twice, and against
 * a 503, which means "not run", for one that may have run.
 */
START_TEST(lost_order_is_not_sent_again)
{
	uint64_t id;

	setup();
	id = arrive("/o/1", "k1");
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	expect_reply(502, WS_EDR_CONNECTION_LOST);
	id = arrive("/o/1", "k1");
	end(id, 0, WS_ED_END_TIMEOUT);
	expect_reply(504, WS_EDR_TIMEOUT);
}
END_TEST

/* Guards against failing non-idempotent requests that did not run. */
START_TEST(shed_order_goes_to_another_server)
{
	const struct ws_ed_effect *x;
	uint32_t first;
	uint64_t id;

	setup();
	id = arrive("/o/1", "k1");
	first = find(WS_EDFX_SEND)->u.send.server;
	end(id, 0, WS_ED_END_SHED);
	x = find(WS_EDFX_SEND);
	ck_assert_ptr_nonnull(x);
	ck_assert_uint_ne(x->u.send.server, first);
	end(id, 0, WS_ED_END_SHED);
	expect_reply(503, WS_EDR_NO_SERVER);
}
END_TEST

START_TEST(lost_read_is_sent_again)
{
	uint64_t id;

	setup();
	id = arrive("/r/1", "k1");
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	end(id, 0, WS_ED_END_OK);
	ck_assert_ptr_nonnull(find(WS_EDFX_FORWARD));
}
END_TEST

/* Guards against a hedge whose slower send goes on or is answered as well. */
START_TEST(late_read_is_hedged_and_the_slower_send_cancelled)
{
	const struct ws_ed_effect *x;
	uint64_t id;

	setup();
	id = arrive("/r/1", "k1");
	ck_assert_uint_eq(find(WS_EDFX_SEND)->u.send.lane, 0);
	tick(190 * WS_MS);
	x = find(WS_EDFX_SEND);
	ck_assert_ptr_nonnull(x);
	ck_assert_uint_eq(x->u.send.lane, 1);
	end(id, 1, WS_ED_END_OK);
	ck_assert_ptr_nonnull(find(WS_EDFX_FORWARD));
	x = find(WS_EDFX_CANCEL);
	ck_assert_ptr_nonnull(x);
	ck_assert_uint_eq(x->u.send.lane, 0);
	/* A late response to the cancelled send is ignored. */
	end(id, 0, WS_ED_END_OK);
	ck_assert_ptr_null(find(WS_EDFX_FORWARD));
}
END_TEST

/*
 * Guards against an extra send to a server that leaves, which only requests
 * that no other server can take are to reach.
 */
START_TEST(late_read_is_not_hedged_to_a_server_that_leaves)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_REQUEST_ENDED };
	uint32_t leaving;
	uint64_t id;

	setup();
	id = arrive("/r/1", "k1");
	leaving = find(WS_EDFX_SEND)->u.send.server;
	ev.u.ending = (struct ws_ed_ending){
		.request = id,
		.end = WS_ED_END_OK,
		.latency = 50 * WS_MS,
		.report = { .from_server = true, .leaving = true },
	};
	step(&ev);
	id = arrive("/r/1", "k1");
	ck_assert_uint_ne(find(WS_EDFX_SEND)->u.send.server, leaving);
	tick(190 * WS_MS);
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	/* The only other server has failed it. */
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	ck_assert_uint_eq(find(WS_EDFX_SEND)->u.send.server, leaving);
}
END_TEST

START_TEST(orders_are_never_hedged)
{
	int i;

	setup();
	arrive("/o/1", "k1");
	for (i = 0; i < 40; i++) {
		tick(10 * WS_MS);
		ck_assert_ptr_null(find(WS_EDFX_SEND));
	}
}
END_TEST

/* Guards against BUDGET: a hedge is an attempt as well. */
START_TEST(single_attempt_is_not_hedged)
{
	int i;

	setup();
	arrive("/s/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	for (i = 0; i < 40; i++) {
		tick(10 * WS_MS);
		ck_assert_ptr_null(find(WS_EDFX_SEND));
	}
}
END_TEST

/* Guards against work for a caller that has disconnected. */
START_TEST(request_of_disconnected_caller_is_cancelled)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CALLER_GONE };

	setup();
	ev.u.gone = arrive("/r/1", "k1");
	step(&ev);
	ck_assert_ptr_nonnull(find(WS_EDFX_CANCEL));
	ck_assert_uint_eq(ws_edge_open(edge), 0);
	ck_assert_uint_eq(ws_edge_pool(edge)->servers[0].in_flight, 0);
	ck_assert_uint_eq(ws_edge_pool(edge)->servers[1].in_flight, 0);
}
END_TEST

/*
 * Returns how an arrival ends when the list of servers is old and a large body
 * has just come; NULL: it is sent to a server.
 */
static const struct ws_ed_effect *arrive_behind_body(size_t body_len,
						     double link_rate)
{
	struct ws_ed_bounds bounds = {
		.key_evidence_max = 4600 * WS_MS,
		.linger = 1700 * WS_MS,
		.drain_time = 2 * WS_SECOND,
		.unmetered = true,
		.link_rate = link_rate,
	};
	struct ws_ed_arrival a;

	setup();
	ws_edge_set_bounds(edge, &bounds);
	tick(1900 * WS_MS);
	a = arrival_of("/r/1", "k1");
	a.body_len = body_len;
	deliver(&a);
	arrive("/r/2", "k1");
	return find(WS_EDFX_REPLY);
}

/*
 * Guards against DRAIN: requests to a server that has left while the news of it
 * waits in the link behind bodies.
 */
START_TEST(arrivals_are_refused_while_news_waits_in_the_link)
{
	static struct ws_ed_beat b;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	const struct ws_ed_effect *x = arrive_behind_body(500000, 1.5e6);

	ck_assert_ptr_nonnull(x);
	expect_reply(503, WS_EDR_LINK_FULL);
	ck_assert_int_gt(x->u.reply.retry_after, 0);
	ck_assert(ws_edge_sheds_connection(edge, now));
	/* The link empties, or the news comes. */
	tick(WS_SECOND);
	arrive("/r/3", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	arrive_behind_body(500000, 1.5e6);
	sync_topics();
	arrive("/r/3", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	/* Heartbeats tell of leaving servers, but brief ones don't. */
	arrive_behind_body(500000, 1.5e6);
	b.from = 2;
	b.timestamp = 5;
	b.scope = WS_ED_SCOPE_BRIEF;
	ev.u.beat = &b;
	step(&ev);
	arrive("/r/3", "k1");
	expect_reply(503, WS_EDR_LINK_FULL);
	b.timestamp++;
	b.scope = WS_ED_SCOPE_FULL;
	step(&ev);
	arrive("/r/3", "k1");
	expect_reply(503, WS_EDR_LINK_FULL);
	/* The sender has to reach the store. */
	b.timestamp++;
	b.store_reachable = true;
	step(&ev);
	arrive("/r/3", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	/* Without the store, or if the link isn't known, servers are used. */
	ck_assert_ptr_null(arrive_behind_body(1000, 1.5e6));
	ck_assert_ptr_null(arrive_behind_body(500000, 0.0));
}
END_TEST

/* Guards against requests that are accepted and then aborted by the exit. */
START_TEST(draining_instance_refuses_in_its_second_half)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_DRAIN };

	setup();
	ev.u.drain_time = 5600 * WS_MS;
	step(&ev);
	ck_assert(!ws_edge_ready(edge, now));
	now += 2700 * WS_MS;
	sync_topics();
	arrive("/r/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	now += 200 * WS_MS;
	arrive("/r/1", "k1");
	expect_reply(503, WS_EDR_DRAINING);
}
END_TEST

/* Guards against requests for a key without owner that wait until timeout. */
START_TEST(key_without_owner_is_refused_soon)
{
	int ticks = 0;

	setup();
	arrive("/k/1", "k1");
	while (!find(WS_EDFX_REPLY) && ticks++ < 40)
		tick(20 * WS_MS);
	expect_reply(503, WS_EDR_NO_OWNER);
	ck_assert_int_lt(ticks, 10);
}
END_TEST

static void assign_keys(const char *server)
{
	const struct ws_ed_map_entry all = { .service = ws_ed_id("keyed"),
					     .to = WS_ED_KEYS - 1,
					     .server = ws_ed_id(server) };
	struct ws_ed_map map = { .epoch = 1, .leader = 2 };
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };

	ws_ed_map_add(&map, &all);
	ev.u.map.map = &map;
	ev.u.map.started = now;
	ev.u.map.end = 1;
	step(&ev);
	ws_ed_map_free(&map);
}

/*
 * Guards against a less urgent request that is sent first, and a priority of
 * the customer that is ignored.
 */
START_TEST(more_urgent_request_is_sent_first)
{
	uint64_t first;

	setup();
	list("c", "keyed");
	arrive("/k/1", "k1");
	first = arrive(_i ? "/k/2" : "/u/2", _i ? "kv" : "k1");
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	assign_keys("c");
	tick(20 * WS_MS);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_uint_eq(find(WS_EDFX_SEND)->u.send.request, first);
}
END_TEST

/* Guards against work that is run again when its lease has ended. */
START_TEST(keyed_request_that_fails_is_not_sent_again)
{
	uint64_t id;

	setup();
	list("c", "keyed");
	assign_keys("c");
	id = arrive("/k/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	end(id, 0, WS_ED_END_FAILED);
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	ck_assert_ptr_nonnull(find(WS_EDFX_FORWARD));
}
END_TEST

/* Guards against a key that is sent to a server which has just rejected it. */
START_TEST(key_that_its_server_rejected_waits)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_REQUEST_ENDED };

	setup();
	list("c", "keyed");
	assign_keys("c");
	ev.u.ending = (struct ws_ed_ending){
		.request = arrive("/k/1", "k1"),
		.end = WS_ED_END_SHED,
		.not_owner = true,
		.latency = 5 * WS_MS,
	};
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	step(&ev);
	arrive("/k/2", "k1");
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	tick(120 * WS_MS);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
}
END_TEST

/*
 * Guards against a rejection that a server sends once more, late, and that is
 * taken for its answer to the next send of the same request (review case 2):
 * that send must go on a connection that has not carried the request.
 */
START_TEST(request_sent_to_a_server_again_is_marked)
{
	struct ws_ed_map_entry all = { .service = ws_ed_id("keyed"),
				       .to = WS_ED_KEYS - 1,
				       .server = ws_ed_id("c") };
	struct ws_ed_map map = { .epoch = 1, .leader = 2 };
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };
	uint64_t id;

	setup();
	list("c", "keyed");
	ws_ed_map_add(&map, &all);
	ev.u.map.map = &map;
	ev.u.map.started = now;
	ev.u.map.end = 1;
	step(&ev);
	id = arrive("/k/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert(!find(WS_EDFX_SEND)->u.send.resent);
	end(id, 0, WS_ED_END_SHED);
	tick(120 * WS_MS);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert(find(WS_EDFX_SEND)->u.send.resent);
	ws_ed_map_free(&map);
}
END_TEST

static uint64_t send_order(void)
{
	uint64_t id = arrive("/o/1", "k1");

	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert(!find(WS_EDFX_SEND)->u.send.resent);
	return id;
}

/*
 * Guards against the same with a server that is listed under another id at the
 * address of the first one: kept connections belong to addresses.
 */
START_TEST(request_sent_to_an_address_again_is_marked)
{
	uint64_t id;

	setup();
	unlist("b");
	id = send_order();
	unlist("a");
	list("a2", "open");
	end(id, 0, WS_ED_END_SHED);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_str_eq(ws_edge_pool(edge)
				 ->servers[find(WS_EDFX_SEND)->u.send.server]
				 .name,
			 "a2");
	ck_assert(find(WS_EDFX_SEND)->u.send.resent);
}
END_TEST

/* Guards against the same after a send to another address. */
START_TEST(address_of_an_earlier_send_is_not_forgotten)
{
	uint64_t id;

	setup();
	unlist("b");
	id = send_order();
	list_at("a2", "open", "10.0.0.2:80");
	end(id, 0, WS_ED_END_SHED);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert(!find(WS_EDFX_SEND)->u.send.resent);
	/* The first one is back at the address, under an id of its own. */
	unlist("a");
	unlist("a2");
	list("a3", "open");
	end(id, 0, WS_ED_END_SHED);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert(find(WS_EDFX_SEND)->u.send.resent);
}
END_TEST

/*
 * Guards against a map of the changed ranges only, with which this instance
 * refuses all other keys and, as a leader, would take them for free (soak seed
 * 32001).
 */
START_TEST(changes_of_a_map_that_is_not_known_are_not_applied)
{
	static struct ws_ed_beat b;
	struct ws_ed_event read = { .kind = WS_EDEV_MAP_READ_DONE };
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	const struct ws_ed_map_entry changed = { .service = ws_ed_id("keyed"),
						 .to = 9,
						 .server = ws_ed_id("c") };
	int ticks = 0;

	setup();
	read.u.map.started = now;
	read.u.map.end = ws_ed_position(2, 0);
	step(&read);
	b.from = 2;
	b.timestamp = 5;
	b.topic_ends[WS_EDT_MAP] = ws_ed_position(2, 1);
	b.map_part = WS_ED_MAP_PART_CHANGES;
	b.map_base = ws_ed_position(2, 0);
	b.map.epoch = (UINT64_C(2) << 23) + 1;
	ws_ed_map_add(&b.map, &changed);
	ev.u.beat = &b;
	step(&ev);
	ck_assert_uint_eq(ws_edge_lead(edge)->map.n, 0);
	/* It reads the topic instead. */
	for (tick(0);
	     ticks < 100 &&
	     !(find(WS_EDFX_READ) && find(WS_EDFX_READ)->u.topic == WS_EDT_MAP);
	     ticks++)
		tick(20 * WS_MS);
	ck_assert_int_lt(ticks, 100);
	ws_ed_map_free(&b.map);
}
END_TEST

/*
 * Guards against a record that a blocking read misses, as nine of eleven reads
 * did: an instance that is behind its peers must read again.
 */
START_TEST(instance_behind_peers_reads_again)
{
	static struct ws_ed_beat b;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	const struct ws_ed_effect *x = NULL;
	int i;

	setup();
	b.from = 2;
	b.timestamp = 5;
	b.topic_ends[WS_EDT_SERVERS] = 9;
	ev.u.beat = &b;
	step(&ev);
	for (i = 0; i < 6 && !x; i++) {
		tick(50 * WS_MS);
		x = find(WS_EDFX_READ);
	}
	ck_assert_ptr_nonnull(x);
	ck_assert_int_eq(x->u.topic, WS_EDT_SERVERS);
}
END_TEST

/*
 * Guards against an instance that relies on readers among its peers for too
 * long: without recent evidence from them it must read the store itself. That
 * records arrive in time although a reader fails is checked by test_ed_beat.
 */
START_TEST(store_is_read_without_evidence_from_peers)
{
	static struct ws_ed_beat b;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	ws_us bound = 3 * WS_SECOND;
	ws_id id;

	setup();
	/* Two peers with lower ids are the readers. */
	for (id = 0x10; id < 0x12; id++) {
		b.from = id;
		b.timestamp = 5;
		b.store_reachable = true;
		ev.u.beat = &b;
		step(&ev);
	}
	ck_assert(!ws_edge_should_read(edge, now, WS_EDT_MAP));
	ck_assert(!ws_edge_should_read(edge, now, WS_EDT_SERVERS));
	now += 1100 * WS_MS;
	sync_topics();
	/* The peer began its last read after it received this timestamp. */
	b.timestamp = 6;
	b.echo.peer = SELF;
	b.echo.incarnation = INCARNATION;
	b.echo.read_timestamps[WS_EDT_SERVERS] = now + 500 * WS_MS;
	now += 900 * WS_MS;
	for (id = 0x10; id < 0x12; id++) {
		b.from = id;
		step(&ev);
	}
	ck_assert(!ws_edge_should_read(edge, now, WS_EDT_SERVERS));
	b.echo.peer = 0;
	b.timestamp = 7;
	now += bound - 400 * WS_MS;
	for (id = 0x10; id < 0x12; id++) {
		b.from = id;
		step(&ev);
	}
	/* The reported evidence is as old as the echoed timestamp. */
	ck_assert(ws_edge_should_read(edge, now, WS_EDT_SERVERS));
	ck_assert(ws_edge_should_read(edge, now, WS_EDT_CONFIG));
}
END_TEST

/*
 * Guards against evidence from an echo of a timestamp of this machine's former
 * process, which may have been taken from a clock that has started anew.
 */
START_TEST(echo_of_a_former_process_is_no_evidence)
{
	static struct ws_ed_beat b;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	int known;

	for (known = 0; known < 2; known++) {
		setup();
		now += 2500 * WS_MS;
		b.from = 0x10;
		b.timestamp = 5;
		b.echo.peer = SELF;
		b.echo.incarnation = known ? INCARNATION : INCARNATION + 1;
		b.echo.read_timestamps[WS_EDT_CONFIG] = now - 100 * WS_MS;
		ev.u.beat = &b;
		step(&ev);
		ck_assert((ws_edge_evidence_age(edge, now) < WS_SECOND) ==
			  known);
	}
}
END_TEST

static void fail_store_call(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_STORE_FAILED };

	step(&ev);
}

/* Tells whether requests may be sent to a server. */
static bool is_usable(const char *name)
{
	const struct ws_ed_pool *pool = ws_edge_pool(edge);
	int32_t h = ws_ed_pool_find(pool, ws_ed_id(name));

	return h >= 0 && ws_ed_pool_usable(pool, now, (uint32_t)h);
}

/*
 * Guards against a server that is used 2 s after its entry was removed. A call
 * to the store had failed at this instance only; peers could read the store,
 * so that no entry can have expired (hunt-5182-23 of sietmeistars-gw).
 */
START_TEST(failed_call_of_one_instance_is_no_outage)
{
	int i;

	setup();
	for (i = 0; i < 8; i++) {
		now += 500 * WS_MS;
		fail_store_call();
		sync_topics();
	}
	unlist("a");
	ck_assert(!is_usable("a"));
	ck_assert(is_usable("b"));
}
END_TEST

/* Guards against an outage of the store that leaves a service no servers. */
START_TEST(servers_stay_usable_after_an_outage_of_the_store)
{
	setup();
	now += 4 * WS_SECOND;
	fail_store_call();
	now += 100 * WS_MS;
	/* The records of a read arrive before it counts as evidence. */
	unlist("a");
	sync_topics();
	ck_assert(is_usable("a"));
	now += 1500 * WS_MS;
	ck_assert(is_usable("a"));
	now += 400 * WS_MS;
	ck_assert(!is_usable("a"));
	/* Entries removed later are no consequence of the outage. */
	unlist("b");
	ck_assert(!is_usable("b"));
}
END_TEST

/* Guards against one request that crashes server after server. */
START_TEST(request_that_crashes_servers_is_refused)
{
	uint64_t id;

	setup();
	list("c", "open");
	list("d", "open");
	id = arrive("/r/bad", "k1");
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	/* It was sent to a second server, which crashes as well. */
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	expect_reply(502, WS_EDR_CONNECTION_LOST);
	/* The list shows that both servers are gone. */
	unlist("a");
	unlist("b");
	unlist("c");
	unlist("d");
	list("e", "open");
	arrive("/r/bad", "k1");
	expect_reply(503, WS_EDR_QUARANTINED);
	arrive("/r/good", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
}
END_TEST

/* Guards against a frequent request that is blamed for unrelated crashes. */
START_TEST(answered_request_is_no_suspect)
{
	uint64_t id;

	setup();
	id = arrive("/r/hot", "k1");
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	end(id, 0, WS_ED_END_OK);
	unlist("a");
	unlist("b");
	list("c", "open");
	arrive("/r/hot", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
}
END_TEST

/* Guards against lost connections that count as crashes. */
START_TEST(lost_connection_of_live_server_is_no_strike)
{
	int i;

	setup();
	for (i = 0; i < 4; i++) {
		uint64_t id = arrive("/o/again", "k1");

		end(id, 0, WS_ED_END_CONNECTION_LOST);
		tick(4 * WS_SECOND);
		sync_topics();
	}
	unlist("a");
	unlist("b");
	list("c", "open");
	arrive("/o/again", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
}
END_TEST

/* Guards against a request that has to crash servers of each instance anew. */
START_TEST(strikes_are_sent_to_peers)
{
	static struct ws_ed_beat b;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };

	setup();
	b.from = 2;
	b.timestamp = 5;
	b.scope = WS_ED_SCOPE_FULL;
	b.n_strikes = 2;
	b.strikes[0].request = ws_ed_id("/r/bad");
	b.strikes[0].crash = 1;
	b.strikes[1].request = ws_ed_id("/r/bad");
	b.strikes[1].crash = 2;
	ev.u.beat = &b;
	step(&ev);
	arrive("/r/bad", "k1");
	expect_reply(503, WS_EDR_QUARANTINED);
	/* Strikes are passed on, as relays do. */
	memset(&b, 0, sizeof(b));
	ws_edge_beat(edge, now, &b);
	ck_assert_uint_eq(b.n_strikes, 2);
}
END_TEST

/* Guards against memory that grows with requests beyond the bound. */
START_TEST(requests_beyond_the_bound_are_refused)
{
	int i;

	setup();
	for (i = 0; i < 300; i++)
		arrive("/o/1", "k1");
	ck_assert_uint_le(ws_edge_open(edge), 100);
}
END_TEST

/*
 * Guards against a process that knows no configuration yet and denies requests
 * that are allowed (DENIED).
 */
START_TEST(process_without_configuration_denies_nothing)
{
	const struct ws_ed_settings set = {
		.self = SELF,
		.incarnation = INCARNATION,
		.zone = 1,
		.now = WS_SECOND,
		.max_calls = 100,
	};
	struct ws_ed_event member = { .kind = WS_EDEV_MEMBER };

	ws_edge_free(edge);
	now = WS_SECOND;
	edge = ws_edge_new(&set);
	member.u.member.id = SELF;
	member.u.member.zone = 1;
	step(&member);
	sync_topics();
	arrive("/r/1", "k1");
	expect_reply(503, WS_EDR_NO_CONFIG);
	ck_assert(!ws_edge_ready(edge, now));
}
END_TEST

/* Lets a peer report how far it has read the operator's topic. */
static void report_config_end(uint64_t end)
{
	static struct ws_ed_beat b;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };

	b.from = 2;
	b.timestamp++;
	b.topic_ends[WS_EDT_CONFIG] = end;
	ev.u.beat = &b;
	step(&ev);
}

/* What only a newer configuration can decide is refused as not run. */
static void expect_no_final_refusals(void)
{
	arrive("/x/1", "k1");
	expect_reply(503, WS_EDR_OLD_CONFIG);
	ck_assert_int_gt(find(WS_EDFX_REPLY)->u.reply.retry_after, 0);
	arrive("/r/1", "k2");
	expect_reply(503, WS_EDR_OLD_CONFIG);
	arrive("/r/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
}

/*
 * Guards against a 404 or 401, after which callers do not try again, by a
 * configuration that is known to be replaced (CONFIG, where reads of the store
 * wait in a full link).
 */
START_TEST(replaced_configuration_refuses_nothing_for_good)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	setup();
	report_config_end(9);
	expect_no_final_refusals();
	ev.u.sync.topic = WS_EDT_CONFIG;
	ev.u.sync.end = 9;
	step(&ev);
	arrive("/x/1", "k1");
	expect_reply(404, WS_EDR_NO_ROUTE);
	arrive("/r/1", "k2");
	expect_reply(401, WS_EDR_BAD_CALLER_KEY);
}
END_TEST

/* The same where no instance that has a newer one is heard. */
START_TEST(old_configuration_refuses_nothing_for_good)
{
	setup();
	tick(2400 * WS_MS);
	arrive("/x/1", "k1");
	expect_reply(404, WS_EDR_NO_ROUTE);
	tick(200 * WS_MS);
	expect_no_final_refusals();
	sync_topics();
	arrive("/x/1", "k1");
	expect_reply(404, WS_EDR_NO_ROUTE);
}
END_TEST

/* Guards against a peer whose wrong position keeps routes undecided. */
START_TEST(newer_read_refutes_the_position_of_a_peer)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	setup();
	report_config_end(9);
	tick(100 * WS_MS);
	ev.u.sync.topic = WS_EDT_CONFIG;
	ev.u.sync.started = now;
	ev.u.sync.end = 5;
	step(&ev);
	report_config_end(9);
	arrive("/x/1", "k1");
	expect_reply(404, WS_EDR_NO_ROUTE);
	report_config_end(10);
	expect_no_final_refusals();
}
END_TEST

/* Guards against DENIED: a newest configuration that can't be decoded. */
START_TEST(unreadable_configuration_refuses_nothing_for_good)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };

	setup();
	step(&ev);
	expect_no_final_refusals();
	ev.u.config = wp_decode_config(config_text, strlen(config_text), NULL);
	step(&ev);
	arrive("/x/1", "k1");
	expect_reply(404, WS_EDR_NO_ROUTE);
}
END_TEST

/* Guards against a 400 by a replaced configuration. */
START_TEST(replaced_configuration_requires_no_shard_key)
{
	struct ws_ed_arrival a;

	setup();
	a = arrival_of("/k/1", "k1");
	a.key = -1;
	deliver(&a);
	expect_reply(400, WS_EDR_BAD_REQUEST);
	report_config_end(9);
	a.id = ++next_id;
	deliver(&a);
	expect_reply(503, WS_EDR_OLD_CONFIG);
}
END_TEST

/* Guards against a version that is replaced by an older one (CONFIG). */
START_TEST(older_configuration_is_ignored)
{
	static const char newer_text[] =
		"{\"version\":\"00000010\",\"services\":[],"
		"\"virtual_hosts\":[]}";
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };

	setup();
	ev.u.config =
		wp_decode_config(newer_text, sizeof(newer_text) - 1, NULL);
	step(&ev);
	ck_assert_uint_eq(ws_edge_conf(edge)->version, 0x10);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	step(&ev);
	ck_assert_uint_eq(ws_edge_conf(edge)->version, 0x10);
	arrive("/r/1", "k1");
	expect_reply(404, WS_EDR_NO_ROUTE);
}
END_TEST

/* Guards against servers that work on after the caller's time (BUDGET). */
START_TEST(deadline_of_a_resent_request_is_that_of_its_arrival)
{
	ws_us started;
	uint64_t id;

	setup();
	started = now;
	id = arrive_with_deadline("/r/1", "k1", 800 * WS_MS);
	ck_assert_int_eq(find(WS_EDFX_SEND)->u.send.deadline,
			 started + 800 * WS_MS);
	now += 600 * WS_MS;
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_int_eq(find(WS_EDFX_SEND)->u.send.deadline,
			 started + 800 * WS_MS);
}
END_TEST

/* Guards against requests that outlast the time of their route (CONFIG). */
START_TEST(deadline_is_at_most_the_timeout_of_the_route)
{
	setup();
	arrive_with_deadline("/o/1", "k1", 5 * WS_SECOND);
	ck_assert_int_eq(find(WS_EDFX_SEND)->u.send.deadline,
			 now + 1200 * WS_MS);
}
END_TEST

/*
 * Guards against more sends than the ratio and the slack allow when servers
 * reject much (BUDGET).
 */
START_TEST(rejected_requests_are_resent_within_the_budget)
{
	const unsigned n = 600;
	unsigned resent = 0;
	unsigned i;

	setup();
	for (i = 0; i < n; i++) {
		uint64_t id = arrive("/r/1", "k1");

		ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
		end(id, 0, WS_ED_END_SHED);
		if (find(WS_EDFX_SEND)) {
			resent++;
			end(id, 0, WS_ED_END_OK);
		}
		tick(10 * WS_MS);
		sync_topics();
	}
	/* retry_ratio and retry_slack of setup() */
	ck_assert_uint_le(resent, n / 5 + 60);
	ck_assert_uint_gt(resent, 20);
}
END_TEST

/* Guards against more requests of a customer than its rate allows (QUOTA). */
START_TEST(customer_gets_no_more_than_its_rate)
{
	unsigned sent = 0;
	unsigned i;

	setup();
	for (i = 0; i < 100; i++) {
		uint64_t id = arrive("/r/1", "k3");

		if (find(WS_EDFX_SEND)) {
			sent++;
			end(id, 0, WS_ED_END_OK);
		} else {
			expect_reply(429, WS_EDR_RATE_EXCEEDED);
		}
		tick(10 * WS_MS);
		sync_topics();
	}
	/* A second of the rate, the burst and rate_slack of setup() */
	ck_assert_uint_le(sent, 2 + 2 + 20);
	ck_assert_uint_gt(sent, 1);
}
END_TEST

/* Guards against more servers than the route's max_attempts (BUDGET). */
START_TEST(hedge_counts_as_an_attempt)
{
	uint64_t id;

	setup();
	list("c", "open");
	id = arrive("/r/1", "k1");
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	tick(190 * WS_MS);
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	ck_assert_uint_eq(ws_edge_open(edge), 1);
}
END_TEST

/* Guards against a budget that each instance uses in full (BUDGET). */
START_TEST(budget_is_divided_among_the_instances)
{
	const unsigned n = 100;
	const unsigned peers = 9;
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };
	unsigned resent = 0;
	unsigned i;

	setup();
	for (i = 1; i <= peers; i++) {
		ev.u.member = (struct ws_ed_member_entry){
			.id = SELF + i,
			.zone = 1,
			.address = "10.0.0.9:7",
		};
		step(&ev);
	}
	tick(100 * WS_MS);
	sync_topics();
	for (i = 0; i < n; i++) {
		uint64_t id = arrive("/r/1", "k1");

		ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
		end(id, 0, WS_ED_END_SHED);
		if (find(WS_EDFX_SEND)) {
			resent++;
			end(id, 0, WS_ED_END_OK);
		}
		tick(10 * WS_MS);
		sync_topics();
	}
	ck_assert_uint_le(resent, n / 5 + 60 / (peers + 1));
}
END_TEST

/* Guards against requests that wait longer than their callers (CONFIG). */
START_TEST(request_waits_no_longer_than_its_deadline)
{
	ws_us started;

	setup();
	started = now;
	arrive_with_deadline("/k/1", "k1", 100 * WS_MS);
	while (!find(WS_EDFX_REPLY) && now - started < WS_SECOND)
		tick(10 * WS_MS);
	expect_reply(503, WS_EDR_TIMEOUT);
	ck_assert_int_le(now - started, 100 * WS_MS);
}
END_TEST

/* Guards against servers at work when the process has ended (LOST). */
START_TEST(deadlines_end_before_the_process)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_DRAIN };
	uint64_t id;
	ws_us end_at;

	setup();
	id = arrive("/r/1", "k1");
	ev.u.drain_time = 800 * WS_MS;
	end_at = now + ev.u.drain_time;
	step(&ev);
	end(id, 0, WS_ED_END_CONNECTION_LOST);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_int_eq(find(WS_EDFX_SEND)->u.send.deadline, end_at);
	arrive("/r/1", "k1");
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_int_eq(find(WS_EDFX_SEND)->u.send.deadline, end_at);
}
END_TEST

/* Guards against urgent requests that wait behind others. */
START_TEST(waiting_requests_are_sent_by_priority)
{
	struct ws_ed_map_entry all = { .service = ws_ed_id("keyed"),
				       .to = WS_ED_KEYS - 1,
				       .server = ws_ed_id("c") };
	struct ws_ed_map map = { .epoch = 1, .leader = 2 };
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };
	uint64_t urgent;
	uint64_t other;

	setup();
	list("c", "keyed");
	other = arrive("/k/1", "k1");
	urgent = arrive("/u/1", "k1");
	ck_assert_ptr_null(find(WS_EDFX_SEND));
	ws_ed_map_add(&map, &all);
	ev.u.map.map = &map;
	ev.u.map.started = now;
	ev.u.map.end = 1;
	step(&ev);
	tick(20 * WS_MS);
	ck_assert_ptr_nonnull(find(WS_EDFX_SEND));
	ck_assert_uint_eq(find(WS_EDFX_SEND)->u.send.request, urgent);
	end(urgent, 0, WS_ED_END_OK);
	end(other, 0, WS_ED_END_OK);
	ck_assert_uint_eq(ws_edge_open(edge), 0);
	ws_ed_map_free(&map);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		response_is_forwarded,
		withdrawn_request_goes_to_another_server,
		callers_are_checked,
		request_before_the_first_configuration_is_refused,
		exempt_route_needs_no_key,
		configuration_without_customers_needs_no_key,
		requests_beyond_the_rate_are_refused,
		incomplete_requests_are_refused,
		time_of_a_request_is_bounded,
		attempts_of_a_route_are_limited,
		failed_order_is_not_sent_again,
		repeated_sends_have_a_budget,
		keys_need_recent_evidence,
		lost_order_is_not_sent_again,
		shed_order_goes_to_another_server,
		lost_read_is_sent_again,
		late_read_is_hedged_and_the_slower_send_cancelled,
		late_read_is_not_hedged_to_a_server_that_leaves,
		orders_are_never_hedged,
		single_attempt_is_not_hedged,
		request_of_disconnected_caller_is_cancelled,
		arrivals_are_refused_while_news_waits_in_the_link,
		draining_instance_refuses_in_its_second_half,
		key_without_owner_is_refused_soon,
		key_that_its_server_rejected_waits,
		keyed_request_that_fails_is_not_sent_again,
		request_sent_to_a_server_again_is_marked,
		request_sent_to_an_address_again_is_marked,
		address_of_an_earlier_send_is_not_forgotten,
		changes_of_a_map_that_is_not_known_are_not_applied,
		instance_behind_peers_reads_again,
		requests_beyond_the_bound_are_refused,
		store_is_read_without_evidence_from_peers,
		echo_of_a_former_process_is_no_evidence,
		failed_call_of_one_instance_is_no_outage,
		servers_stay_usable_after_an_outage_of_the_store,
		request_that_crashes_servers_is_refused,
		answered_request_is_no_suspect,
		lost_connection_of_live_server_is_no_strike,
		strikes_are_sent_to_peers,
		process_without_configuration_denies_nothing,
		older_configuration_is_ignored,
		replaced_configuration_refuses_nothing_for_good,
		old_configuration_refuses_nothing_for_good,
		newer_read_refutes_the_position_of_a_peer,
		unreadable_configuration_refuses_nothing_for_good,
		replaced_configuration_requires_no_shard_key,
		deadline_of_a_resent_request_is_that_of_its_arrival,
		deadline_is_at_most_the_timeout_of_the_route,
		rejected_requests_are_resent_within_the_budget,
		customer_gets_no_more_than_its_rate,
		hedge_counts_as_an_attempt,
		budget_is_divided_among_the_instances,
		request_waits_no_longer_than_its_deadline,
		deadlines_end_before_the_process,
		waiting_requests_are_sent_by_priority,
	};
	const TTest *const order_tests[] = {
		more_urgent_request_is_sent_first,
	};
	int res = ed_suite_run_each("edge_order", order_tests, 1, 2);

	return ed_suite_run("edge", tests,
			    (int)(sizeof(tests) / sizeof(tests[0]))) ||
	       res;
}
