#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_member.h"

/*
 * Tests of the membership table: failure detection, leaving members and clock
 * errors.
 */

#define SELF 1
#define PEER 2
#define OTHER 3
#define TARGET 10
#define ZONE 20
#define SERVICE 30

static struct ws_member *m;
static struct ws_fx fx;

static void setup(void)
{
	struct ws_name none = { "" };

	m = ws_member_new(SELF, ZONE, &none, &none);
}

static void teardown(void)
{
	ws_member_free(m);
	ws_fx_free(&fx);
}

/* Delivers a heartbeat; heard is an instance that the sender hears, or 0. */
static void heartbeat(ws_us now, ws_id from, int64_t wall_ms, ws_id heard,
		      uint32_t age_ms)
{
	struct ws_msg msg = { .kind = WS_MSG_HEARTBEAT };
	struct ws_heard h = { .id = heard, .age_ms = age_ms };

	msg.u.heartbeat.wall_ms = wall_ms;
	msg.u.heartbeat.zone = ZONE;
	msg.u.heartbeat.n_heard = heard ? 1 : 0;
	msg.u.heartbeat.heard = &h;
	ws_member_on_heartbeat(m, &fx, now, 1000, from, &msg);
}

static const struct ws_instance *instance(ws_id id)
{
	return ws_view_instance(ws_member_view(m), id);
}

static const struct ws_target *target(void)
{
	return ws_view_target(ws_member_view(m), TARGET);
}

static void list_target(ws_us now)
{
	struct ws_list_entry e = {
		.is_target = true,
		.id = TARGET,
		.zone = ZONE,
		.service = SERVICE,
	};

	ws_member_update_list(m, &fx, now, &e, 1);
}

static void probe(ws_us now, bool leaving)
{
	struct ws_event ev = { .kind = WS_EV_PROBED };

	ev.u.probed.target = TARGET;
	ev.u.probed.ok = true;
	ev.u.probed.incarnation = 5;
	ev.u.probed.leaving = leaving;
	ws_member_on_probe(m, &fx, now, &ev);
}

/*
 * Detection counts towards the 3 s within which a lost key must be served
 * again.
 */
START_TEST(silent_instance_is_suspected_after_800_ms)
{
	heartbeat(0, PEER, 1000, 0, 0);
	ws_member_tick(m, &fx, WS_INSTANCE_SUSPECT_AFTER, NULL, 0);
	ck_assert(instance(PEER)->alive);
	ws_member_tick(m, &fx, WS_INSTANCE_SUSPECT_AFTER + 1, NULL, 0);
	ck_assert(!instance(PEER)->alive);
}
END_TEST

/*
 * Instances of zones that are cut off from each other must not be considered
 * lost while a third instance hears them.
 */
START_TEST(instance_heard_by_a_peer_is_alive_but_not_reachable)
{
	ws_us now = 2 * WS_SECOND;

	heartbeat(0, OTHER, 1000, 0, 0);
	heartbeat(now, PEER, 1000, OTHER, 100);
	ws_member_tick(m, &fx, now, NULL, 0);
	ck_assert(instance(OTHER)->alive);
	ck_assert(!instance(OTHER)->reachable);
	/* The age that the peer reports counts. */
	ws_member_tick(m, &fx, now + WS_INSTANCE_SUSPECT_AFTER - 99 * WS_MS,
		       NULL, 0);
	ck_assert(!instance(OTHER)->alive);
}
END_TEST

/* An outdated list must not override what a target reports about itself. */
START_TEST(target_that_reports_leaving_stays_so_while_the_list_lags)
{
	list_target(0);
	probe(0, true);
	ck_assert(target()->leaving);
	list_target(1);
	ck_assert(target()->leaving);
}
END_TEST

/* The platform may remove a leaving target from its list immediately. */
START_TEST(target_that_is_no_longer_listed_gets_no_new_work)
{
	list_target(0);
	probe(0, false);
	ck_assert(!target()->leaving);
	ws_member_update_list(m, &fx, 1, NULL, 0);
	ck_assert(target()->leaving);
}
END_TEST

/* The shards of a target can only move once it is considered lost. */
START_TEST(watched_target_without_a_good_probe_is_lost_after_800_ms)
{
	ws_id watched = TARGET;

	list_target(0);
	probe(0, false);
	ws_member_tick(m, &fx, WS_TARGET_SUSPECT_AFTER, &watched, 1);
	ck_assert_int_eq(target()->state, WS_STATE_LIVE);
	ws_member_tick(m, &fx, WS_TARGET_SUSPECT_AFTER + 1, &watched, 1);
	ck_assert_int_eq(target()->state, WS_STATE_LOST);
}
END_TEST

/* A home with a wrong clock would miscalculate the age of request ids. */
START_TEST(clock_error_is_the_difference_to_the_median)
{
	heartbeat(0, PEER, 11000, 0, 0);
	heartbeat(0, OTHER, 11000, 0, 0);
	ck_assert_int_eq(ws_member_clock_error_ms(m), -10000);
	heartbeat(0, OTHER, 1000, 0, 0);
	ck_assert_int_eq(ws_member_clock_error_ms(m), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("member");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, silent_instance_is_suspected_after_800_ms);
	tcase_add_test(tc, instance_heard_by_a_peer_is_alive_but_not_reachable);
	tcase_add_test(
		tc, target_that_reports_leaving_stays_so_while_the_list_lags);
	tcase_add_test(tc, target_that_is_no_longer_listed_gets_no_new_work);
	tcase_add_test(
		tc, watched_target_without_a_good_probe_is_lost_after_800_ms);
	tcase_add_test(tc, clock_error_is_the_difference_to_the_median);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
