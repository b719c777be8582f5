#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_route.h"

#define N_TARGETS 10
#define OPEN_SERVICE 3
#define SHARDED_SERVICE 4
#define DEADLINE (10 * WS_SECOND)

static struct ws_service services[2] = {
	{ .id = OPEN_SERVICE, .slots = 4, .cold_limit = 1 },
	{ .id = SHARDED_SERVICE, .slots = 4, .cold_limit = 1, .sharded = true },
};
static struct ws_zone zones[2];
static struct ws_bundle bundle;
static struct ws_target targets[N_TARGETS + 1];
static struct ws_view view;
static struct ws_fx fx;
static struct ws_route *r;

/* ===== Helpers ===== */

/* Targets 1 to 10 are open, odd ones in zone 1; target 11 is sharded. */
static void setup(void)
{
	size_t i;

	memset(targets, 0, sizeof(targets));
	for (i = 0; i <= N_TARGETS; i++) {
		targets[i].id = i + 1;
		targets[i].service = OPEN_SERVICE;
		targets[i].zone = i % 2 + 1;
		targets[i].state = WS_STATE_LIVE;
	}
	targets[N_TARGETS].service = SHARDED_SERVICE;
	zones[0] = (struct ws_zone){ .id = 1, .in_service = true };
	zones[1] = (struct ws_zone){ .id = 2, .in_service = true };
	bundle.services = services;
	bundle.n_services = 2;
	bundle.zones = zones;
	bundle.n_zones = 2;
	view = (struct ws_view){ .self_zone = 3,
				 .bundle = &bundle,
				 .n_targets = N_TARGETS + 1,
				 .targets = targets };
	r = NULL;
}

static void new_route(bool hedge)
{
	struct ws_route_conf conf = {
		.self = 1, .seed = 7, .hedge = hedge, .max_calls = 10000
	};

	ws_route_free(r);
	r = ws_route_new(&conf);
	ws_fx_clear(&fx);
}

static void teardown(void)
{
	ws_route_free(r);
	ws_fx_free(&fx);
}

static void start_call(ws_us now, uint64_t id, bool idempotent)
{
	struct ws_call call = { .service = OPEN_SERVICE,
				.idempotent = idempotent,
				.deadline = now + DEADLINE };

	ws_route_start(r, &fx, now, id, &call, 0, &view);
}

static size_t count(uint8_t kind)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < fx.n; i++)
		n += fx.items[i].kind == kind;
	return n;
}

static const struct ws_effect *last(uint8_t kind)
{
	size_t i;

	for (i = fx.n; i > 0; i--)
		if (fx.items[i - 1].kind == kind)
			return &fx.items[i - 1];
	ck_abort_msg("no effect of kind %u", kind);
	return NULL;
}

static void answer(ws_us now, uint64_t ref, uint8_t outcome, int error)
{
	struct ws_answer a = {
		.outcome = outcome, .error = error, .status = 200, .payload = 99
	};

	ws_route_answer(r, &fx, now, ref, &a, NULL, &view);
}

/* Answers the last attempt. */
static void answer_last(ws_us now, uint8_t outcome, int error)
{
	answer(now, last(WS_FX_ROUTE_SEND)->u.route_send.ref, outcome, error);
}

static uint8_t outcome(void)
{
	return last(WS_FX_ROUTE_DONE)->u.reply.answer.outcome;
}

/*
 * Runs n calls in sequence, 5 ms each, and counts them by target. If
 * by_target[0] is set, calls take 50 ms at targets 1 and 2.
 */
static void run_calls(ws_us *now, uint64_t *id, int n, unsigned *by_target)
{
	ws_id target;

	for (; n; n--) {
		ws_fx_clear(&fx);
		start_call(*now, ++*id, true);
		target = last(WS_FX_ROUTE_SEND)->u.route_send.target;
		by_target[target]++;
		*now += target <= 2 && by_target[0] ? 50 * WS_MS : 5 * WS_MS;
		answer_last(*now, WS_OUT_DONE, 0);
		ws_route_tick(r, &fx, *now, &view);
	}
}

/* ===== Target selection ===== */

/* Guarantees 4 and 10: no calls for leaving targets or closed zones. */
START_TEST(leaving_targets_and_closed_zones_are_never_chosen)
{
	uint64_t id;

	new_route(false);
	zones[1].in_service = false;
	targets[0].leaving = true;
	for (id = 1; id <= 200; id++) {
		ws_id t;

		start_call(0, id, true);
		t = last(WS_FX_ROUTE_SEND)->u.route_send.target;
		ck_assert(t % 2 == 1 && t != 1);
	}
}
END_TEST

/* Guards against calls that cross zones needlessly and add latency. */
START_TEST(own_zone_is_preferred_unless_loaded)
{
	struct ws_load load = { .limit = 4, .in_flight = 4, .latency = 100 };
	uint64_t id;
	size_t away = 0;

	new_route(false);
	view.self_zone = 1;
	for (id = 1; id <= 50; id++) {
		start_call(0, id, true);
		ck_assert_uint_eq(
			last(WS_FX_ROUTE_SEND)->u.route_send.target % 2, 1);
		answer_last(0, WS_OUT_DONE, 0);
	}
	for (load.target = 1; load.target <= 9; load.target += 2)
		ws_route_update_load(r, 0, &load);
	for (; id <= 100; id++) {
		start_call(0, id, true);
		away += last(WS_FX_ROUTE_SEND)->u.route_send.target % 2 == 0;
		answer_last(0, WS_OUT_DONE, 0);
	}
	ck_assert_uint_gt(away, 10);
}
END_TEST

/* Guards against waiting in the own zone while other zones have free slots. */
START_TEST(own_zone_is_left_when_its_targets_are_full)
{
	struct ws_load load = { .limit = 4, .latency = 100 };
	uint64_t id;

	new_route(false);
	view.self_zone = 1;
	for (load.target = 1; load.target <= 10; load.target++) {
		load.in_flight = load.target % 2 ? 0 : 2;
		ws_route_update_load(r, 1, &load);
	}
	start_call(1, 1, true);
	ck_assert_uint_eq(last(WS_FX_ROUTE_SEND)->u.route_send.target % 2, 1);
	load.in_flight = 4;
	for (load.target = 1; load.target <= 9; load.target += 2)
		ws_route_update_load(r, 1, &load);
	for (id = 2; id < 20; id++) {
		start_call(1, id, true);
		if (last(WS_FX_ROUTE_SEND)->u.route_send.target % 2 == 0)
			return;
	}
	ck_abort_msg("all calls wait in the own zone");
}
END_TEST

/*
 * Guards against a slowed target that gets a tenth of all calls because the
 * load reports do not show that it is slow.
 */
START_TEST(slowed_target_is_found_soon_and_probed_sparingly)
{
	unsigned before[N_TARGETS + 2] = { 0 };
	unsigned slow[N_TARGETS + 2] = { 1 };
	unsigned after[N_TARGETS + 2] = { 0 };
	ws_us now = 0;
	uint64_t id = 0;

	new_route(false);
	run_calls(&now, &id, 400, before);
	ck_assert_uint_gt(before[1] + before[2], 20);
	run_calls(&now, &id, 2000, slow);
	ck_assert_uint_lt(slow[1] + slow[2], 20);
	ck_assert_uint_ge(slow[1], 2);
	ck_assert_uint_ge(slow[2], 2);
	run_calls(&now, &id, 4000, after);
	ck_assert_uint_gt(after[1] + after[2], 200);
}
END_TEST

/* ===== Retries and hedges ===== */

/* Guards against running a request twice, e.g. shipping an order twice. */
START_TEST(non_idempotent_call_is_resent_only_when_not_run)
{
	new_route(true);
	start_call(0, 1, false);
	answer_last(1, WS_OUT_UNKNOWN, WS_ERR_UNKNOWN_OUTCOME);
	ck_assert_uint_eq(count(WS_FX_ROUTE_SEND), 1);
	ck_assert_uint_eq(outcome(), WS_OUT_UNKNOWN);

	new_route(true);
	start_call(0, 1, false);
	answer_last(1, WS_OUT_NOT_RUN, WS_ERR_TARGET_FAILED);
	ck_assert_uint_eq(count(WS_FX_ROUTE_SEND), 2);
	ck_assert_uint_ne(fx.items[0].u.route_send.target,
			  last(WS_FX_ROUTE_SEND)->u.route_send.target);
	ck_assert_uint_eq(last(WS_FX_RELEASE)->u.release.payload, 99);
	answer_last(2, WS_OUT_DONE, 0);
	ck_assert_uint_eq(outcome(), WS_OUT_DONE);
}
END_TEST

/* Guards against retries of a call that crashes one target after the other. */
START_TEST(idempotent_call_is_retried_once_after_a_crash)
{
	new_route(true);
	start_call(0, 1, true);
	answer_last(1, WS_OUT_UNKNOWN, WS_ERR_UNKNOWN_OUTCOME);
	ck_assert_uint_eq(count(WS_FX_ROUTE_SEND), 2);
	answer_last(2, WS_OUT_UNKNOWN, WS_ERR_UNKNOWN_OUTCOME);
	ck_assert_uint_eq(count(WS_FX_ROUTE_SEND), 2);
	ck_assert_uint_eq(outcome(), WS_OUT_UNKNOWN);
}
END_TEST

/* NOT_RUN would be false if an earlier attempt has an unknown outcome. */
START_TEST(not_run_is_not_reported_when_an_earlier_attempt_may_have_run)
{
	int i;

	new_route(false);
	start_call(0, 1, true);
	answer_last(1, WS_OUT_UNKNOWN, WS_ERR_UNKNOWN_OUTCOME);
	for (i = 2; i < 10 && ws_route_count(r); i++)
		answer_last(i, WS_OUT_NOT_RUN, WS_ERR_OVERLOAD);
	ck_assert_uint_eq(outcome(), WS_OUT_UNKNOWN);
	ck_assert_uint_eq(count(WS_FX_ROUTE_DONE), 1);
}
END_TEST

/* Without a bound, hedges double the load when all targets are slow. */
START_TEST(hedges_stay_within_five_percent)
{
	struct ws_call call = { .service = OPEN_SERVICE, .idempotent = true };
	ws_us now = 0;
	uint64_t id;
	size_t sends;

	new_route(true);
	for (id = 1; id <= 2000; id++) {
		call.deadline = now + DEADLINE;
		ws_route_start(r, &fx, now, id, &call, 0, &view);
		now += id < 50 ? 5 * WS_MS : 100 * WS_MS;
		ws_route_tick(r, &fx, now, &view);
		answer_last(now, WS_OUT_DONE, 0);
	}
	sends = count(WS_FX_ROUTE_SEND);
	ck_assert_uint_gt(sends, 2050);
	ck_assert_uint_le(sends, 2100);
	ck_assert_uint_eq(count(WS_FX_ROUTE_DONE), 2000);
	ck_assert_uint_eq(count(WS_FX_ROUTE_CANCEL), sends - 2000);
}
END_TEST

/* ===== Answers and deadlines ===== */

/* A second answer for a call could reach another caller. */
START_TEST(late_and_duplicated_answers_are_ignored)
{
	uint64_t ref;

	new_route(false);
	start_call(0, 1, true);
	ref = last(WS_FX_ROUTE_SEND)->u.route_send.ref;
	answer(1, ref, WS_OUT_DONE, 0);
	start_call(1, 2, true);
	answer(2, ref, WS_OUT_DONE, 0);
	ck_assert_uint_eq(count(WS_FX_ROUTE_DONE), 1);
	ck_assert_uint_eq(count(WS_FX_RELEASE), 1);
	ck_assert_uint_eq(ws_route_count(r), 1);
}
END_TEST

/* Guards against callers that wait forever for a dispatcher's answer. */
START_TEST(silent_dispatcher_ends_at_the_deadline)
{
	new_route(false);
	start_call(0, 1, false);
	start_call(0, 2, true);
	ws_route_tick(r, &fx, DEADLINE - 1, &view);
	ck_assert_uint_eq(count(WS_FX_ROUTE_DONE), 0);
	ws_route_tick(r, &fx, DEADLINE + 50 * WS_MS, &view);
	ck_assert_uint_eq(count(WS_FX_ROUTE_DONE), 2);
	ck_assert_uint_eq(outcome(), WS_OUT_UNKNOWN);
	ck_assert_uint_eq(count(WS_FX_ROUTE_CANCEL), 1);
	ck_assert_uint_eq(ws_route_count(r), 0);
}
END_TEST

/* Guards against calls that fail while their key moves to another owner. */
START_TEST(sharded_call_waits_for_its_owner)
{
	struct ws_call call = { .service = SHARDED_SERVICE,
				.key = 8,
				.deadline = DEADLINE };
	struct ws_call waiting;
	uint64_t id = 0;

	new_route(false);
	ws_route_start(r, &fx, 0, 1, &call, 0, &view);
	ck_assert_uint_eq(count(WS_FX_ROUTE_SEND), 0);
	ck_assert_uint_eq(ws_route_calls_without_owner(r, &id, &waiting, 1), 1);
	ck_assert_uint_eq(id, 1);
	ws_route_set_owner(r, 1, N_TARGETS + 1);
	ws_route_tick(r, &fx, 20 * WS_MS, &view);
	ck_assert_uint_eq(last(WS_FX_ROUTE_SEND)->u.route_send.target,
			  N_TARGETS + 1);
	answer_last(21 * WS_MS, WS_OUT_NOT_RUN, WS_ERR_NOT_HOLDER);
	ck_assert_uint_eq(ws_route_calls_without_owner(r, &id, &waiting, 1), 1);
	ws_route_tick(r, &fx, 4 * WS_SECOND, &view);
	ck_assert_uint_eq(outcome(), WS_OUT_NOT_RUN);
	ck_assert_uint_eq(ws_route_count(r), 0);
}
END_TEST

/* Unbounded tables would exhaust memory. */
START_TEST(calls_above_the_bound_are_refused_as_not_run)
{
	uint64_t id;

	new_route(false);
	for (id = 1; id <= 10001; id++)
		start_call(0, id, true);
	ck_assert_uint_eq(count(WS_FX_ROUTE_DONE), 1);
	ck_assert_uint_eq(outcome(), WS_OUT_NOT_RUN);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("route");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, leaving_targets_and_closed_zones_are_never_chosen);
	tcase_add_test(tc, own_zone_is_preferred_unless_loaded);
	tcase_add_test(tc, own_zone_is_left_when_its_targets_are_full);
	tcase_add_test(tc, slowed_target_is_found_soon_and_probed_sparingly);
	tcase_add_test(tc, non_idempotent_call_is_resent_only_when_not_run);
	tcase_add_test(tc, idempotent_call_is_retried_once_after_a_crash);
	tcase_add_test(
		tc,
		not_run_is_not_reported_when_an_earlier_attempt_may_have_run);
	tcase_add_test(tc, hedges_stay_within_five_percent);
	tcase_add_test(tc, late_and_duplicated_answers_are_ignored);
	tcase_add_test(tc, silent_dispatcher_ends_at_the_deadline);
	tcase_add_test(tc, sharded_call_waits_for_its_owner);
	tcase_add_test(tc, calls_above_the_bound_are_refused_as_not_run);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
