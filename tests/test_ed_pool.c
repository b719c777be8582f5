#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_pool.h"

/* Load balancing: one test for each case that ws_ed_pool.h lists, and more. */

#define SERVICE 5
#define OWN_ZONE 1
#define OTHER_ZONE 2
#define INSTANCES 11
#define GROWN 85 /* instances of a larger deployment */

static const struct ws_ed_service service = {
	.id = SERVICE,
	.max_connections = 120,
	.warmup = 3 * WS_SECOND,
	.warmup_per_s = 9.3,
};

static const struct ws_ed_conf conf = {
	.services = (struct ws_ed_service *)(uintptr_t)&service,
	.n_services = 1,
};

static struct ws_ed_pool pool;
static uint32_t work;

static uint32_t list(const char *name, ws_id zone, int64_t born,
		     int64_t sequence, bool draining, ws_us cold_for, ws_us now)
{
	struct ws_ed_listing l = {
		.service = SERVICE,
		.zone = zone,
		.slots = 4,
		.draining = draining,
		.cold_for = cold_for,
		.started_ms = born,
		.sequence = sequence,
	};

	snprintf(l.name, sizeof(l.name), "%s", name);
	snprintf(l.address, sizeof(l.address), "10.0.0.1:80");
	return (uint32_t)ws_ed_pool_listed(&pool, now, &l);
}

static void setup(size_t instances)
{
	ws_ed_pool_free(&pool);
	memset(&pool, 0, sizeof(pool));
	ws_rand_seed(&pool.rand, 4);
	pool.instances = instances;
	ws_ed_pool_configure(&pool, 0, &conf);
	work = ws_ed_pool_work_stats(&pool, 1, SERVICE);
}

/* Sets up the pool of one of several instances. */
static void setup_instance(size_t instances, int number)
{
	ws_id others[GROWN];
	size_t n = 0;
	size_t i;

	setup(instances);
	ws_rand_seed(&pool.rand, 100 + (uint64_t)number);
	for (i = 0; i < instances; i++)
		if (i != (size_t)number)
			others[n++] = 1000 + i;
	pool.group.self = 1000 + (ws_id)number;
	ws_ed_group_set(&pool.group, others, n);
}

static int32_t choose(ws_us now)
{
	struct ws_ed_choose_input need = { .service = SERVICE,
					   .work_stats = work,
					   .zone = OWN_ZONE };
	struct ws_ed_choice at;

	ws_ed_pool_choose(&pool, now, &need, &at);
	return at.server;
}

static void answer(uint32_t server, ws_us now, enum ws_ed_end end, double pace,
		   uint32_t running)
{
	const struct ws_ed_sending x = {
		.server = server,
		.started_ms = pool.servers[server].started_ms,
		.work_stats = work,
		.sent_at = now - 80 * WS_MS,
		.load = 0.25,
	};
	struct ws_ed_report r = {
		.from_server = true,
		.known = true,
		.running = running,
		.slots = 4,
		.pace = pace,
	};

	ws_ed_pool_sent(&pool, now, server);
	ws_ed_pool_ended(&pool, now, &x, end, 80 * WS_MS, &r);
}

/* Guards against unnecessary traffic between zones. */
START_TEST(own_zone_is_preferred_while_it_is_as_good)
{
	uint32_t own;
	int i;

	setup(INSTANCES);
	own = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	list("b", OTHER_ZONE, 1, 1, false, 0, 0);
	for (i = 0; i < 50; i++)
		ck_assert_int_eq(choose(WS_SECOND), (int32_t)own);
	/* All four of its slots are busy and requests are queued. */
	for (i = 0; i < 8; i++)
		ws_ed_pool_sent(&pool, WS_SECOND, own);
	ck_assert_int_ne(choose(WS_SECOND), (int32_t)own);
}
END_TEST

/* Guards against requests to a machine that is slow at the moment. */
START_TEST(slow_machine_is_avoided_until_its_report_is_old)
{
	uint32_t slow;
	uint32_t other;

	setup(INSTANCES);
	slow = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	other = list("b", OWN_ZONE, 1, 1, false, 0, 0);
	answer(slow, WS_SECOND, WS_ED_END_OK, 3.0, 0);
	answer(other, WS_SECOND, WS_ED_END_OK, 1.0, 0);
	ck_assert_int_eq(choose(WS_SECOND), (int32_t)other);
	/* Reports passed on by other instances count like direct ones. */
	ws_ed_pool_peer_report(&pool, WS_SECOND + 100 * WS_MS,
			       ws_ed_short_id(ws_ed_id("b")),
			       &(struct ws_ed_report){ .known = true,
						       .running = 9,
						       .waiting = 9,
						       .pace = 3.0 },
			       0);
	ck_assert_int_eq(choose(WS_SECOND + 100 * WS_MS), (int32_t)slow);
}
END_TEST

/* Guards against a server that fails quickly and therefore looks idle. */
START_TEST(failing_server_loses_its_share)
{
	uint32_t failing;
	int i;

	setup(INSTANCES);
	failing = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	list("b", OWN_ZONE, 1, 1, false, 0, 0);
	for (i = 0; i < 6; i++)
		answer(failing, WS_SECOND, WS_ED_END_SHED, 1.0, 0);
	for (i = 0; i < 20; i++)
		ck_assert_int_ne(choose(WS_SECOND), (int32_t)failing);
}
END_TEST

/* Guards against a cold server that all instances together overload. */
START_TEST(cold_server_is_throttled_over_all_instances)
{
	int sent[400] = { 0 };
	int max_per_second = 0;
	int i;
	int step;

	for (i = 0; i < INSTANCES; i++) {
		setup_instance(INSTANCES, i);
		list("a", OWN_ZONE, 1, 1, false, 4 * WS_SECOND, 0);
		for (step = 0; step < 400; step++) {
			ws_us now = (ws_us)step * 10 * WS_MS;
			int32_t at = choose(now);

			if (at < 0)
				continue;
			ws_ed_pool_sent(&pool, now, (uint32_t)at);
			sent[step]++;
		}
	}
	for (step = 0; step < 300; step++) {
		int sum = 0;

		for (i = step; i < step + 100; i++)
			sum += sent[i];
		if (sum > max_per_second)
			max_per_second = sum;
	}
	/* The platform allows 9.3 * 1.5 + 5 requests in a second. */
	ck_assert_int_le(max_per_second, 18);
	ck_assert_int_gt(max_per_second, 4);
}
END_TEST

/*
 * Guards against a cold server that gets a request from each of many instances
 * at once: they got none for it since it started.
 */
START_TEST(cold_server_gets_no_burst_after_silence)
{
	int sent = 0;
	int i;

	for (i = 0; i < GROWN; i++) {
		setup_instance(GROWN, i);
		list("a", OWN_ZONE, 1, 1, false, 4 * WS_SECOND, 0);
		sent += choose(3900 * WS_MS) >= 0;
	}
	/* The platform allows 9.3 * 1.5 + 8 requests in a second there. */
	ck_assert_int_le(sent, 21);
	ck_assert_int_gt(sent, 4);
}
END_TEST

/*
 * Guards against a cold server without a limit: it was listed before the
 * configuration was read (FAILBACK).
 */
START_TEST(cold_server_gets_nothing_before_its_service_is_known)
{
	setup_instance(INSTANCES, 0);
	ws_ed_pool_configure(&pool, 0, NULL);
	list("a", OWN_ZONE, 1, 1, false, 4 * WS_SECOND, 0);
	ck_assert_int_eq(choose(WS_SECOND), -1);
	ws_ed_pool_configure(&pool, WS_SECOND, &conf);
	ck_assert(pool.servers[0].cold_share.per_s > 0.0);
	ck_assert_int_ge(choose(3 * WS_SECOND), 0);
	ws_ed_pool_sent(&pool, 3 * WS_SECOND, 0);
	ck_assert_int_eq(choose(3 * WS_SECOND), -1);
}
END_TEST

/* Guards against a late entry that overwrites a newer one. */
START_TEST(older_entries_are_ignored)
{
	uint32_t s;

	setup(INSTANCES);
	s = list("a", OWN_ZONE, 10, 8, true, 0, 0);
	list("a", OWN_ZONE, 10, 7, false, 0, 0);
	ck_assert(!ws_ed_pool_usable(&pool, 1, s));
	list("a", OWN_ZONE, 9, 99, false, 0, 0);
	ck_assert(!ws_ed_pool_usable(&pool, 1, s));
	/* A new incarnation starts with a new sequence. */
	list("a", OWN_ZONE, 11, 1, false, 0, 0);
	ck_assert(ws_ed_pool_usable(&pool, 1, s));
}
END_TEST

/* Guards against requests to a zone that is out of service. */
START_TEST(zone_out_gets_no_requests_and_returns_cold)
{
	uint32_t s;

	setup(INSTANCES);
	s = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	ws_ed_pool_set_zone(&pool, WS_SECOND, OWN_ZONE, true);
	ck_assert_int_eq(choose(WS_SECOND), -1);
	ws_ed_pool_set_zone(&pool, 2 * WS_SECOND, OWN_ZONE, false);
	ck_assert(ws_ed_pool_usable(&pool, 2 * WS_SECOND, s));
	ck_assert_int_gt(pool.servers[s].cold_until, 2 * WS_SECOND);
}
END_TEST

START_TEST(unlisted_server_is_used_for_the_linger_time)
{
	uint32_t s;

	setup(INSTANCES);
	s = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	ws_ed_pool_unlisted(&pool, WS_SECOND, ws_ed_id("a"), WS_SECOND);
	ck_assert(ws_ed_pool_usable(&pool, WS_SECOND + 900 * WS_MS, s));
	ck_assert(!ws_ed_pool_usable(&pool, 2 * WS_SECOND, s));
	ws_ed_pool_tick(&pool, 3 * WS_SECOND);
	ck_assert_int_eq(ws_ed_pool_find(&pool, ws_ed_id("a")), -1);
}
END_TEST

static void list_from_copy(const char *name, int64_t sequence)
{
	struct ws_ed_listing l = {
		.service = SERVICE,
		.zone = OWN_ZONE,
		.slots = 4,
		.started_ms = 1,
		.sequence = sequence,
		.from_snapshot = true,
	};

	snprintf(l.name, sizeof(l.name), "%s", name);
	ws_ed_pool_listed(&pool, 4 * WS_SECOND, &l);
}

/*
 * Guards against a server that has left and is used again, as the list was
 * restored from a copy that still names it.
 */
START_TEST(server_that_left_is_not_taken_from_an_old_copy)
{
	setup(INSTANCES);
	list("a", OWN_ZONE, 1, 9, false, 0, 0);
	ws_ed_pool_unlisted(&pool, WS_SECOND, ws_ed_id("a"), 0);
	list_from_copy("a", 9);
	ck_assert_int_eq(choose(4 * WS_SECOND), -1);
	ws_ed_pool_tick(&pool, 3 * WS_SECOND);
	list_from_copy("a", 7);
	ck_assert_int_eq(choose(4 * WS_SECOND), -1);
	/* A newer entry shows that it is there. */
	list_from_copy("a", 10);
	ck_assert_int_ge(choose(4 * WS_SECOND), 0);
}
END_TEST

/* ===== Hundreds of instances ===== */

#define MANY 295
#define LATER (100 * WS_SECOND) /* no server counts as new any more */

static void report_load(const char *name, ws_us at, uint32_t running)
{
	const struct ws_ed_report r = {
		.known = true, .running = running, .slots = 4, .pace = 1.0
	};

	ws_ed_pool_peer_report(&pool, at, ws_ed_short_id(ws_ed_id(name)), &r,
			       0);
}

/* Fraction of 1,000 choices, each by another instance, that a server gets. */
static double share_of(size_t instances, uint32_t wanted)
{
	int n = 0;
	int i;

	pool.instances = instances;
	for (i = 0; i < 1000; i++)
		n += choose(LATER + 10 * WS_MS) == (int32_t)wanted;
	return (double)n / 1000.0;
}

/*
 * Guards against a thundering herd: all instances receive the report of a free
 * server at the same time (large deployment, trouble-3, seconds 0 to 2).
 */
START_TEST(one_report_does_not_attract_all_instances)
{
	char name[16];
	uint32_t free_one = 0;
	int i;

	setup(MANY);
	for (i = 0; i < 20; i++) {
		uint32_t h;

		snprintf(name, sizeof(name), "s%d", i);
		h = list(name, OWN_ZONE, 1, 1, false, 0, 0);
		if (!i)
			free_one = h;
		report_load(name, LATER, i ? 6 : 0);
	}
	/* Few instances follow the report; of many only a fraction does. */
	ck_assert_double_gt(share_of(INSTANCES, free_one), 0.95);
	ck_assert_double_lt(share_of(MANY, free_one), 0.25);
}
END_TEST

/*
 * Guards against a server that all instances avoid for ever: it reports its
 * load in responses only, so that the last high load would stay valid.
 */
START_TEST(load_of_silent_server_decays)
{
	struct ws_ed_choice at;
	uint32_t h;

	setup(INSTANCES);
	h = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	report_load("a", LATER - 100 * WS_MS, 16);
	report_load("a", LATER, 16);
	ws_ed_pool_expect(&pool, LATER, h, work, &at);
	ck_assert_double_gt(at.load, 3.0);
	ws_ed_pool_expect(&pool, LATER + 4 * WS_SECOND, h, work, &at);
	ck_assert_double_lt(at.load, 0.5);
}
END_TEST

/* Guards against a new connection for each request if servers are many. */
START_TEST(open_connection_is_preferred)
{
	uint32_t open;
	int i;

	setup(INSTANCES);
	open = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	list("b", OWN_ZONE, 1, 1, false, 0, 0);
	answer(open, LATER, WS_ED_END_OK, 1.0, 0);
	for (i = 0; i < 50; i++)
		ck_assert_int_eq(choose(LATER + WS_SECOND), (int32_t)open);
	/* A server that has just joined must get its share. */
	list("c", OWN_ZONE, 1, 1, false, 0, LATER);
	for (i = 0; i < 50; i++)
		if (choose(LATER + WS_SECOND) != (int32_t)open)
			break;
	ck_assert_int_lt(i, 50);
}
END_TEST

/* Guards against a request on a connection that its server is closing. */
START_TEST(idle_time_of_a_connection_is_bounded)
{
	struct ws_ed_server s = { .id = 1 };

	ck_assert_int_le(ws_ed_pool_idle_limit(&s), 4 * WS_SECOND);
	s.stated.idle_timeout = 10 * WS_SECOND;
	ck_assert_int_lt(ws_ed_pool_idle_limit(&s), 10 * WS_SECOND);
	ck_assert_int_gt(ws_ed_pool_idle_limit(&s), 5 * WS_SECOND);
	s.stated.idle_timeout = 2 * WS_SECOND;
	ck_assert_int_lt(ws_ed_pool_idle_limit(&s), 2 * WS_SECOND);
}
END_TEST

/* Guards against more connections to a server than it accepts. */
START_TEST(server_gets_no_more_than_its_share_of_connections)
{
	struct ws_ed_service limited = service;
	const struct ws_ed_conf c = { .services = &limited, .n_services = 1 };
	uint32_t own;
	uint32_t other;
	int i;

	limited.max_connections = 6;
	setup(3);
	ws_ed_pool_configure(&pool, 0, &c);
	own = list("a", OWN_ZONE, 1, 1, false, 0, 0);
	other = list("b", OTHER_ZONE, 1, 1, false, 0, 0);
	pool.servers[own].slots = 100;
	for (i = 0; i < 2; i++) {
		ck_assert_int_eq(choose(WS_SECOND), (int32_t)own);
		ws_ed_pool_sent(&pool, WS_SECOND, own);
	}
	ck_assert_int_eq(choose(WS_SECOND), (int32_t)other);
	ws_ed_pool_configure(&pool, 0, &conf);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		own_zone_is_preferred_while_it_is_as_good,
		slow_machine_is_avoided_until_its_report_is_old,
		failing_server_loses_its_share,
		cold_server_is_throttled_over_all_instances,
		cold_server_gets_no_burst_after_silence,
		cold_server_gets_nothing_before_its_service_is_known,
		older_entries_are_ignored,
		zone_out_gets_no_requests_and_returns_cold,
		unlisted_server_is_used_for_the_linger_time,
		server_that_left_is_not_taken_from_an_old_copy,
		one_report_does_not_attract_all_instances,
		load_of_silent_server_decays,
		open_connection_is_preferred,
		idle_time_of_a_connection_is_bounded,
		server_gets_no_more_than_its_share_of_connections,
	};

	return ed_suite_run("ed_pool", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
