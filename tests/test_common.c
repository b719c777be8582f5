#include <check.h>
#include <stdlib.h>

#include "common/ws_common.h"
#include "common/ws_events.h"
#include "common/ws_timer.h"

/* Guards against error codes that were added without an entry in the table. */
START_TEST(every_error_names_its_remedy)
{
	int e;

	for (e = 0; e >= WS_ERROR_LAST; e--) {
		ck_assert_str_ne(ws_error_name(e), "unknown_error");
		ck_assert_ptr_nonnull(ws_error_name(e));
		ck_assert_ptr_nonnull(ws_error_message(e));
		ck_assert_ptr_nonnull(ws_error_remedy(e));
		ck_assert_int_ge(ws_error_http_status(e), 200);
	}
	ck_assert_str_eq(ws_error_name(WS_ERROR_LAST - 1), "unknown_error");
}
END_TEST

static void count_call(void *arg, ws_us now)
{
	(void)now;
	(*(int *)arg)++;
}

/*
 * Guards against a burst of calls after a pause of the process: all missed
 * periods together must cause one call.
 */
START_TEST(timer_does_not_make_up_for_a_pause)
{
	struct ws_timers *t = ws_timer_new();
	int calls = 0;
	int h = ws_timer_every(t, 0, 10, count_call, &calls);

	ck_assert_int_eq(ws_timer_run(t, 9), 10);
	ck_assert_int_eq(calls, 0);
	ck_assert_int_eq(ws_timer_run(t, 1000), 1010);
	ck_assert_int_eq(calls, 1);
	ws_timer_cancel(t, h);
	ws_timer_run(t, 5000);
	ck_assert_int_eq(calls, 1);
	ws_timer_free(t);
}
END_TEST

/* Guards against two log events with the same number. */
START_TEST(log_numbers_are_unique_and_ordered)
{
	const struct ws_log_entry *rows;
	size_t n = ws_log_all(&rows);
	size_t i;

	for (i = 1; i < n; i++)
		ck_assert_int_lt(rows[i - 1].number, rows[i].number);
	ck_assert_ptr_null(ws_log_find(1));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("common");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, every_error_names_its_remedy);
	tcase_add_test(tc, timer_does_not_make_up_for_a_pause);
	tcase_add_test(tc, log_numbers_are_unique_and_ordered);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
