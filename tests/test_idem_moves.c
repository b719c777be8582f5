#include <check.h>
#include <stdlib.h>

#include "core/ws_idem.h"

/*
 * Tests duplicated handover messages that arrive after the partition has moved
 * again.
 */

/* Three homes between which a partition moves; all messages are kept in fx. */
struct moves {
	struct ws_idem *home[3];
	struct ws_fx fx;
	struct ws_call call;
	uint64_t last_id;
};

static const struct ws_effect *last(const struct moves *m)
{
	ck_assert_ptr_nonnull(m->fx.items);
	ck_assert_uint_gt(m->fx.n, 0);
	return &m->fx.items[m->fx.n - 1];
}

/*
 * Sends the request to a home under a fence; returns the kind of the last
 * effect.
 */
static int send_request(struct moves *m, int home, ws_offset fence)
{
	struct ws_assignment part = { .res = { .kind = WS_RES_PARTITION },
				      .fence = fence };

	ws_idem_begin(m->home[home], &m->fx, 0, 1000000, ++m->last_id, &m->call,
		      &part);
	return last(m)->kind;
}

static void finish(struct moves *m, int home, uint8_t outcome)
{
	struct ws_answer ans = { .outcome = outcome };

	ws_idem_finish(m->home[home], &m->fx, 0, m->last_id, &ans);
}

/*
 * Hands the partition over; returns the index of the effect that sends its
 * table.
 */
static size_t move(struct moves *m, int from, int to, ws_offset fence)
{
	ws_idem_handover(m->home[from], &m->fx, 1000000, 0, 1, fence,
			 (ws_id)to + 1);
	ws_idem_assigned(m->home[to], 1000000, 0, fence + 1, fence);
	return m->fx.n - 1;
}

static void deliver(struct moves *m, size_t effect)
{
	struct ws_msg msg = m->fx.items[effect].u.send.msg;
	int to = (int)m->fx.items[effect].u.send.to - 1;

	ws_idem_msg(m->home[to], &m->fx, 0, 99, &msg);
}

/*
 * Home 0 proves that it did not run the id, home 1 hands the partition over and
 * home 2 runs the id (outcome 0: it is still running) and hands the partition
 * back. A duplicate of what home 0 sent reaches home 1 late: the table while
 * home 2 holds the partition, the result afterwards.
 * Returns the outcome of a retry at home 1, or -1 if it runs.
 */
static int run_then_repeat_first_messages(struct moves *m, uint8_t outcome,
					  uint64_t second_fingerprint)
{
	size_t table;
	size_t result;
	size_t i;

	for (i = 0; i < 3; i++)
		m->home[i] = ws_idem_new(10, 10);
	m->call.customer = 1;
	m->call.fingerprint = 5;
	m->call.request_id[0] = (uint64_t)1000000 << 16 | 0x7000;
	m->call.request_id[1] = 2ULL << 62;
	ws_idem_assigned(m->home[0], 1000000, 0, 1, 0);
	ck_assert_int_eq(send_request(m, 0, 1), WS_FX_HOME_RUN);
	table = move(m, 0, 1, 1);
	deliver(m, table);
	finish(m, 0, WS_OUT_NOT_RUN);
	result = m->fx.n - 1;
	deliver(m, result);
	deliver(m, move(m, 1, 2, 2));
	m->call.fingerprint = second_fingerprint;
	ck_assert_int_eq(send_request(m, 2, 3), WS_FX_HOME_RUN);
	if (outcome)
		finish(m, 2, outcome);
	deliver(m, table);
	deliver(m, move(m, 2, 1, 3));
	deliver(m, result);
	if (send_request(m, 1, 4) == WS_FX_HOME_RUN)
		return -1;
	return last(m)->u.reply.answer.outcome;
}

static void end_moves(struct moves *m)
{
	int i;

	ws_fx_free(&m->fx);
	for (i = 0; i < 3; i++)
		ws_idem_free(m->home[i]);
}

/* An id with an unknown outcome must not run again (seed 6563). */
START_TEST(late_result_of_an_earlier_run_does_not_undo_an_unknown_outcome)
{
	struct moves m = { 0 };

	ck_assert_int_eq(run_then_repeat_first_messages(&m, WS_OUT_UNKNOWN, 5),
			 WS_OUT_UNKNOWN);
	end_moves(&m);
}
END_TEST

/* An id that is still running at the former home must not run again. */
START_TEST(late_result_of_an_earlier_run_does_not_undo_a_present_run)
{
	struct moves m = { 0 };

	ck_assert_int_eq(run_then_repeat_first_messages(&m, 0, 5),
			 WS_OUT_UNKNOWN);
	end_moves(&m);
}
END_TEST

/* The request body that ran counts, not that of the earlier dispatch. */
START_TEST(late_result_of_an_earlier_body_does_not_undo_an_answer)
{
	struct moves m = { 0 };

	ck_assert_int_eq(run_then_repeat_first_messages(&m, WS_OUT_DONE, 6),
			 WS_OUT_DONE);
	end_moves(&m);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("idem_moves");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(
		tc,
		late_result_of_an_earlier_run_does_not_undo_an_unknown_outcome);
	tcase_add_test(
		tc, late_result_of_an_earlier_run_does_not_undo_a_present_run);
	tcase_add_test(tc,
		       late_result_of_an_earlier_body_does_not_undo_an_answer);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
