#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_disp.h"

#define TARGET 77
#define ORIGIN 5

static const struct ws_service stock = {
	.id = 3,
	.slots = 4,
	.cold_limit = 1,
	.deadline = 2 * WS_SECOND,
};

static struct ws_fx fx;

/* ===== Helpers ===== */

static struct ws_disp *new_disp(size_t max_queued, bool warm)
{
	struct ws_disp_conf conf = { .self = 1, .max_queued = max_queued };
	struct ws_disp *d = ws_disp_new(&conf);

	ws_disp_open(d, 0, TARGET, warm, &stock);
	ws_fx_clear(&fx);
	return d;
}

static void submit(struct ws_disp *d, ws_us now, uint64_t ref, ws_id customer,
		   ws_us deadline)
{
	struct ws_call call = {
		.service = stock.id,
		.customer = customer,
		.fingerprint = 1000 + ref,
		.deadline = deadline,
		.idempotent = ref % 2 == 0,
		.payload = (ws_payload)ref,
	};

	ws_disp_submit(d, &fx, now, ORIGIN, ref, TARGET, 0, 0,
		       customer == 2 ? 3 : 1, &call);
}

static size_t count(uint8_t kind)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < fx.n; i++)
		n += fx.items[i].kind == kind;
	return n;
}

/* Returns the last effect of a kind; fails the test if there is none. */
static const struct ws_effect *last(uint8_t kind)
{
	size_t i;

	for (i = fx.n; i > 0; i--)
		if (fx.items[i - 1].kind == kind)
			return &fx.items[i - 1];
	ck_abort_msg("no effect of kind %u", kind);
	return NULL;
}

static void end_attempt(struct ws_disp *d, ws_us now, uint64_t attempt,
			uint16_t status)
{
	struct ws_attempt_result r = {
		.outcome = status == 503 ? WS_OUT_NOT_RUN : WS_OUT_DONE,
		.status = status,
		.incarnation = 9,
		.shed = status == 503,
	};

	ws_disp_attempt_done(d, &fx, now, attempt, &r);
}

/* Submits and completes n requests in sequence. */
static void serve(struct ws_disp *d, ws_us now, uint64_t ref, int n)
{
	for (; n; n--, ref++) {
		submit(d, now, ref, 1, now + WS_SECOND);
		end_attempt(d, now + WS_MS,
			    last(WS_FX_DISP_SEND)->u.attempt.attempt, 200);
	}
	ws_fx_clear(&fx);
}

/* Submits ten requests and returns how many are sent immediately. */
static size_t burst(struct ws_disp *d, ws_us now, uint64_t ref)
{
	int i;

	ws_fx_clear(&fx);
	for (i = 0; i < 10; i++)
		submit(d, now, ref + i, 1, now + WS_SECOND);
	return count(WS_FX_DISP_SEND);
}

/* ===== Limits ===== */

/* A cold target collapses under the load of a warm one. */
START_TEST(cold_target_gets_the_cold_limit_and_grows_with_successes)
{
	struct ws_disp *d = new_disp(100, false);

	ck_assert_uint_eq(burst(d, 0, 1), 1);
	ws_disp_free(d);
	d = new_disp(100, false);
	serve(d, 0, 1, 4 * 1);
	ck_assert_uint_eq(burst(d, 0, 100), 2);
	ws_disp_free(d);
}
END_TEST

/* Growth past the slots would overload even a warm target. */
START_TEST(limit_never_exceeds_the_slots)
{
	struct ws_disp *d = new_disp(100, true);

	serve(d, 0, 1, 200);
	ck_assert_uint_eq(burst(d, 0, 1000), 4);
	ws_disp_free(d);
}
END_TEST

/* Each sign of a cold start must reset the limit to the cold limit. */
START_TEST(new_incarnation_shed_answer_and_latency_jump_turn_cold)
{
	struct ws_disp *d = new_disp(100, true);

	ws_disp_probe_result(d, &fx, 0, TARGET, true, 9, true, 0);
	ws_disp_probe_result(d, &fx, 0, TARGET, true, 10, true, 0);
	ck_assert_uint_eq(count(WS_FX_TARGET_COLD), 1);
	ck_assert_uint_eq(burst(d, 0, 1), 1);
	ws_disp_free(d);

	d = new_disp(100, true);
	submit(d, 0, 1, 1, WS_SECOND);
	end_attempt(d, 1, last(WS_FX_DISP_SEND)->u.attempt.attempt, 503);
	ck_assert_int_eq(last(WS_FX_DISP_DONE)->u.disp_done.answer.outcome,
			 WS_OUT_NOT_RUN);
	ck_assert_uint_eq(burst(d, 2 * WS_SECOND, 10), 1);
	ws_disp_free(d);

	d = new_disp(100, true);
	serve(d, 0, 1, 20);
	ck_assert_uint_eq(burst(d, WS_SECOND, 100), 4);
	end_attempt(d, WS_SECOND + 50 * WS_MS, fx.items[0].u.attempt.attempt,
		    200);
	end_attempt(d, WS_SECOND + 51 * WS_MS, fx.items[1].u.attempt.attempt,
		    200);
	ck_assert_uint_eq(count(WS_FX_TARGET_COLD), 0);
	end_attempt(d, WS_SECOND + 52 * WS_MS, fx.items[2].u.attempt.attempt,
		    200);
	ck_assert_uint_eq(count(WS_FX_TARGET_COLD), 1);
	ws_disp_free(d);
}
END_TEST

/* A slow answer right after the slow start must not become the baseline. */
START_TEST(slow_answer_right_after_the_slow_start_is_noticed)
{
	struct ws_disp *d = new_disp(100, false);

	serve(d, 0, 1, 24);
	submit(d, WS_SECOND, 50, 1, 9 * WS_SECOND);
	end_attempt(d, WS_SECOND + 70 * WS_MS,
		    last(WS_FX_DISP_SEND)->u.attempt.attempt, 200);
	ck_assert_uint_eq(burst(d, 2 * WS_SECOND, 100), 1);
	ws_disp_free(d);
}
END_TEST

/* Guards against exceeding the limit while a cancelled request still runs. */
START_TEST(cancelled_attempt_keeps_its_slot_for_a_time)
{
	struct ws_attempt_result r = { .outcome = WS_OUT_UNKNOWN };
	struct ws_disp *d = new_disp(100, false);
	uint64_t attempt;

	submit(d, 0, 2, 1, WS_SECOND);
	attempt = last(WS_FX_DISP_SEND)->u.attempt.attempt;
	submit(d, 0, 3, 1, WS_SECOND);
	ws_disp_cancel(d, &fx, WS_MS, ORIGIN, 2);
	ws_disp_attempt_done(d, &fx, WS_MS, attempt, &r);
	ck_assert_uint_eq(count(WS_FX_DISP_SEND), 1);
	ws_disp_tick(d, &fx, 10 * WS_MS);
	ck_assert_uint_eq(count(WS_FX_DISP_SEND), 2);
	ws_disp_free(d);
}
END_TEST

/* Requests sent before a cold start must keep their slots in use. */
START_TEST(in_flight_requests_count_after_a_cold_start)
{
	struct ws_disp *d = new_disp(100, true);

	ck_assert_uint_eq(burst(d, 0, 1), 4);
	ws_disp_slow_start(d, 0, TARGET);
	end_attempt(d, 1, fx.items[0].u.attempt.attempt, 200);
	ck_assert_uint_eq(count(WS_FX_DISP_SEND), 4);
	ws_disp_free(d);
}
END_TEST

/* ===== Queue ===== */

/* A customer that floods the queue must not delay the others. */
START_TEST(queue_serves_customers_by_weight)
{
	struct ws_disp *d = new_disp(100, false);
	unsigned served[3] = { 0 };
	uint64_t attempt;
	int i;

	submit(d, 0, 1, 1, WS_SECOND);
	for (i = 0; i < 30; i++)
		submit(d, 0, 10 + i, 1, 9 * WS_SECOND);
	for (i = 0; i < 15; i++)
		submit(d, 0, 100 + i, 2, 9 * WS_SECOND);
	for (i = 0; i < 16; i++) {
		attempt = last(WS_FX_DISP_SEND)->u.attempt.attempt;
		served[last(WS_FX_DISP_SEND)->u.attempt.call.customer]++;
		ws_disp_slow_start(d, 1, TARGET);
		end_attempt(d, 1, attempt, 200);
	}
	ck_assert_uint_ge(served[2], 11);
	ck_assert_uint_ge(served[1], 4);
	ws_disp_free(d);
}
END_TEST

/* An unbounded queue would exhaust memory; a full one must stay fair. */
START_TEST(full_queue_refuses_the_largest_user)
{
	struct ws_disp *d = new_disp(5, false);
	uint64_t i;

	for (i = 1; i <= 6; i++)
		submit(d, 0, i, 1, WS_SECOND);
	ck_assert_uint_eq(count(WS_FX_DISP_DONE), 0);
	submit(d, 0, 7, 1, WS_SECOND);
	ck_assert_uint_eq(last(WS_FX_DISP_DONE)->u.disp_done.ref, 7);
	ck_assert_int_eq(last(WS_FX_DISP_DONE)->u.disp_done.answer.error,
			 WS_ERR_OVERLOAD);
	ck_assert_int_gt(last(WS_FX_DISP_DONE)->u.disp_done.answer.retry_after,
			 0);
	submit(d, 0, 8, 2, WS_SECOND);
	ck_assert_uint_eq(last(WS_FX_DISP_DONE)->u.disp_done.ref, 6);
	ck_assert_uint_eq(count(WS_FX_DISP_DONE), 2);
	ws_disp_free(d);
}
END_TEST

/* A request that cannot meet its deadline only takes up queue space. */
START_TEST(deadline_that_cannot_be_met_is_refused_early)
{
	struct ws_disp *d = new_disp(100, false);
	const struct ws_effect *e;

	submit(d, 0, 1, 1, WS_SECOND);
	end_attempt(d, 50 * WS_MS, last(WS_FX_DISP_SEND)->u.attempt.attempt,
		    200);
	submit(d, WS_SECOND, 2, 1, 9 * WS_SECOND);
	submit(d, WS_SECOND, 3, 1, WS_SECOND + 60 * WS_MS);
	e = last(WS_FX_DISP_DONE);
	ck_assert_uint_eq(e->u.disp_done.ref, 3);
	ck_assert_int_eq(e->u.disp_done.answer.outcome, WS_OUT_NOT_RUN);
	ck_assert_int_eq(e->u.disp_done.answer.error, WS_ERR_DEADLINE);
	ws_disp_free(d);
}
END_TEST

/* ===== Results and cancellation ===== */

/* A crash leaves the outcome unknown; the same crash is one strike. */
START_TEST(closed_connection_is_unknown_and_a_strike)
{
	struct ws_attempt_result r = { .crashed = true,
				       .outcome = WS_OUT_UNKNOWN };
	uint64_t ids[2];
	int i;

	for (i = 0; i < 2; i++) {
		struct ws_disp *d = new_disp(100, true);

		ws_disp_probe_result(d, &fx, 0, TARGET, true, 9, true, 0);
		submit(d, 0, 4, 1, WS_SECOND);
		ws_disp_attempt_done(d, &fx, 1 + i,
				     last(WS_FX_DISP_SEND)->u.attempt.attempt,
				     &r);
		ck_assert_int_eq(
			last(WS_FX_DISP_DONE)->u.disp_done.answer.outcome,
			WS_OUT_UNKNOWN);
		ck_assert_uint_eq(last(WS_FX_STRIKE)->u.strike.fingerprint,
				  1004);
		ids[i] = last(WS_FX_STRIKE)->u.strike.strike_id;
		ws_disp_free(d);
	}
	ck_assert_uint_eq(ids[0], ids[1]);
}
END_TEST

/* A hung target must neither block callers nor get more than its slots. */
START_TEST(silent_attempt_ends_at_its_deadline_but_keeps_its_slot)
{
	struct ws_attempt_result late = { .outcome = WS_OUT_DONE,
					  .status = 200,
					  .payload = 55 };
	struct ws_disp *d = new_disp(100, false);
	uint64_t attempt;

	submit(d, 0, 1, 1, 100 * WS_MS);
	attempt = last(WS_FX_DISP_SEND)->u.attempt.attempt;
	submit(d, 0, 2, 1, 9 * WS_SECOND);
	ws_disp_tick(d, &fx, 100 * WS_MS);
	ck_assert_uint_eq(last(WS_FX_DISP_DONE)->u.disp_done.ref, 1);
	ck_assert_int_eq(last(WS_FX_DISP_DONE)->u.disp_done.answer.outcome,
			 WS_OUT_UNKNOWN);
	ck_assert_uint_eq(last(WS_FX_ATTEMPT_CANCEL)->u.attempt.attempt,
			  attempt);
	ck_assert_uint_eq(count(WS_FX_DISP_SEND), 1);
	ws_disp_attempt_done(d, &fx, 150 * WS_MS, attempt, &late);
	ck_assert_uint_eq(count(WS_FX_DISP_DONE), 1);
	ck_assert_uint_eq(last(WS_FX_RELEASE)->u.release.payload, 55);
	ck_assert_uint_eq(count(WS_FX_DISP_SEND), 2);
	ws_disp_free(d);
}
END_TEST

/* Guards against requests lost in a graceful handover, queued or sent. */
START_TEST(close_refuses_the_queue_and_lets_attempts_finish)
{
	struct ws_disp *d = new_disp(100, false);

	submit(d, 0, 1, 1, WS_SECOND);
	submit(d, 0, 2, 1, WS_SECOND);
	ws_disp_close(d, &fx, 1, TARGET);
	ck_assert_uint_eq(count(WS_FX_DISP_DONE), 1);
	ck_assert_int_eq(last(WS_FX_DISP_DONE)->u.disp_done.answer.outcome,
			 WS_OUT_NOT_RUN);
	ck_assert_uint_eq(ws_disp_in_flight(d, TARGET), 1);
	end_attempt(d, 2, last(WS_FX_DISP_SEND)->u.attempt.attempt, 200);
	ck_assert_int_eq(last(WS_FX_DISP_DONE)->u.disp_done.answer.outcome,
			 WS_OUT_DONE);
	ck_assert_uint_eq(ws_disp_count(d), 0);
	ws_disp_free(d);
}
END_TEST

/* Requests of a disconnected caller must not delay others. */
START_TEST(cancel_drops_what_is_queued_and_what_is_idempotent)
{
	struct ws_disp *d = new_disp(100, false);

	submit(d, 0, 2, 1, WS_SECOND);
	submit(d, 0, 3, 1, WS_SECOND);
	ws_disp_cancel(d, &fx, 1, ORIGIN, 3);
	ck_assert_int_eq(last(WS_FX_DISP_DONE)->u.disp_done.answer.outcome,
			 WS_OUT_NOT_RUN);
	ws_disp_cancel(d, &fx, 1, ORIGIN, 2);
	ck_assert_int_eq(last(WS_FX_DISP_DONE)->u.disp_done.answer.outcome,
			 WS_OUT_UNKNOWN);
	ck_assert_uint_eq(count(WS_FX_ATTEMPT_CANCEL), 1);
	ws_disp_free(d);
	d = new_disp(100, false);
	submit(d, 0, 3, 1, WS_SECOND);
	ws_disp_cancel(d, &fx, 1, ORIGIN, 3);
	ck_assert_uint_eq(count(WS_FX_DISP_DONE), 0);
	ws_disp_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("disp");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(
		tc, cold_target_gets_the_cold_limit_and_grows_with_successes);
	tcase_add_test(tc, limit_never_exceeds_the_slots);
	tcase_add_test(tc,
		       new_incarnation_shed_answer_and_latency_jump_turn_cold);
	tcase_add_test(tc, slow_answer_right_after_the_slow_start_is_noticed);
	tcase_add_test(tc, cancelled_attempt_keeps_its_slot_for_a_time);
	tcase_add_test(tc, in_flight_requests_count_after_a_cold_start);
	tcase_add_test(tc, queue_serves_customers_by_weight);
	tcase_add_test(tc, full_queue_refuses_the_largest_user);
	tcase_add_test(tc, deadline_that_cannot_be_met_is_refused_early);
	tcase_add_test(tc, closed_connection_is_unknown_and_a_strike);
	tcase_add_test(tc,
		       silent_attempt_ends_at_its_deadline_but_keeps_its_slot);
	tcase_add_test(tc, close_refuses_the_queue_and_lets_attempts_finish);
	tcase_add_test(tc, cancel_drops_what_is_queued_and_what_is_idempotent);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
