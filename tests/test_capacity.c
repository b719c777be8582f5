#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "capacity/ws_cap_cost.h"
#include "common/ws_common.h"

/* The line fitting, the rows of the tables and the writing of the page. */

/* A wrong slope would make every figure of the page wrong. */
START_TEST(points_on_a_line_give_its_slope_and_base)
{
	const struct ws_cap_point p[] = { { 2, 165 },
					  { 8, 453 },
					  { 32, 1605 } };
	struct ws_cap_fit fit;

	ck_assert_int_eq(ws_cap_fit(p, 3, &fit), 0);
	ck_assert_double_eq_tol(fit.slope, 48, 1e-6);
	ck_assert_double_eq_tol(fit.intercept, 69, 1e-6);
	ck_assert_double_eq_tol(fit.max_deviation, 0, 1e-9);
}
END_TEST

/* A curve must show up as a deviation, not pass as a line. */
START_TEST(points_off_the_line_show_as_deviation)
{
	const struct ws_cap_point p[] = { { 10, 100 },
					  { 20, 400 },
					  { 40, 1600 } };
	struct ws_cap_fit fit;

	ck_assert_int_eq(ws_cap_fit(p, 3, &fit), 0);
	ck_assert_double_gt(fit.max_deviation, 0.1);
}
END_TEST

/* Two sizes always lie on a line, so they prove nothing. */
START_TEST(fewer_than_three_sizes_are_refused)
{
	const struct ws_cap_point p[] = { { 1, 1 }, { 1, 2 }, { 2, 3 } };
	struct ws_cap_fit fit;

	ck_assert_int_eq(ws_cap_fit(p, 3, &fit), WS_ERR_LIMIT);
	ck_assert_int_eq(ws_cap_fit(p, 0, &fit), WS_ERR_LIMIT);
}
END_TEST

/* One interrupted repeat must not shift a point, but must show as spread. */
START_TEST(a_point_is_the_median_of_its_repeats)
{
	double samples[] = { 10, 90, 11, 9, 10 };
	struct ws_cap_series s = { .n = 0 };

	ws_cap_add_point(&s, 5, samples, 5);
	ck_assert_uint_eq(s.n, 1);
	ck_assert_double_eq_tol(s.points[0].y, 10, 1e-9);
	ck_assert_double_eq_tol(s.spread, 8.1, 1e-9);
}
END_TEST

/* Renewing the tables must keep the text around them, as often as it is run. */
START_TEST(only_the_text_between_the_markers_is_replaced)
{
	struct ws_cap_text first = { .data = NULL };
	struct ws_cap_text second = { .data = NULL };

	ck_assert_int_eq(ws_cap_replace_tables("a 100 %s\n" WS_CAP_MARKER_BEGIN
					       "old\n" WS_CAP_MARKER_END "b\n",
					       "new 5 %\n", &first),
			 0);
	ck_assert_str_eq(first.data, "a 100 %s\n" WS_CAP_MARKER_BEGIN
				     "new 5 %\n" WS_CAP_MARKER_END "b\n");
	ck_assert_int_eq(
		ws_cap_replace_tables(first.data, "new 5 %\n", &second), 0);
	ck_assert_str_eq(first.data, second.data);
	ws_cap_text_free(&first);
	ws_cap_text_free(&second);
}
END_TEST

/* A page without both markers, once each and in order, must stay as it is. */
START_TEST(a_page_with_wrong_markers_is_refused)
{
	const char *const pages[] = {
		"no markers\n",
		WS_CAP_MARKER_BEGIN "x\n",
		WS_CAP_MARKER_END WS_CAP_MARKER_BEGIN,
		WS_CAP_MARKER_BEGIN WS_CAP_MARKER_BEGIN WS_CAP_MARKER_END,
	};
	struct ws_cap_text out = { .data = NULL };

	ck_assert_int_eq(ws_cap_replace_tables(pages[_i], "x\n", &out),
			 WS_ERR_SYNTAX);
	ck_assert_uint_eq(out.len, 0);
}
END_TEST

/* ===== Tables ===== */

/* Results in which each series is the line y = x + 1. */
static struct ws_cap_results made_up_results(void)
{
	struct ws_cap_results r = { .fresh_message_bytes = 41,
				    .token_message_bytes = 49 };
	size_t i;
	size_t k;

	for (i = 0; i < WS_CAP_N_SERIES; i++) {
		struct ws_cap_series *s = &r.series[i];

		*s = (struct ws_cap_series){ "name", "x", "y", .n = 3 };
		for (k = 0; k < 3; k++)
			s->points[k] = (struct ws_cap_point){ (double)k + 1,
							      (double)k + 2 };
		ck_assert_int_eq(ws_cap_fit(s->points, s->n, &s->fit), 0);
	}
	for (i = 0; i < WS_CAP_N_LOSSES; i++)
		r.losses[i].name = "loss";
	return r;
}

static size_t count_bars(const char *line, size_t len)
{
	size_t n = 0;

	while (len--)
		n += line[len] == '|';
	return n;
}

/* A row with a cell too many or too few breaks the page's table. */
START_TEST(rows_have_as_many_cells_as_their_head)
{
	struct ws_cap_results r = made_up_results();
	struct ws_cap_text out = { .data = NULL };
	size_t bars = 0;
	size_t rows = 0;
	char *line;

	ws_cap_write_tables(&r, &out);
	for (line = out.data; *line; line += strcspn(line, "\n") + 1) {
		size_t n = count_bars(line, strcspn(line, "\n"));

		if (*line == '|' && bars)
			ck_assert_uint_eq(n, bars);
		rows += *line == '|';
		bars = *line == '|' ? n : 0;
	}
	ck_assert_uint_gt(rows, WS_CAP_N_SERIES + WS_CAP_N_LOSSES);
	ck_assert_ptr_null(strstr(out.data, "nan"));
	ws_cap_text_free(&out);
}
END_TEST

/* A row that exceeds one limit only must not pass for one that is carried. */
START_TEST(a_row_names_the_limit_that_is_missed_most)
{
	struct ws_cap_cost c = { .net = 1e3, .cpu = 0.028, .mem = 1e6 };
	struct ws_cap_text out = { .data = NULL };

	ws_cap_cost_table_row(&out, "a", "b", "c", &c);
	ck_assert_ptr_nonnull(strstr(out.data, "| misses by 2.0 |"));
	ws_cap_text_free(&out);
	c.cpu = 0.007;
	ws_cap_cost_table_row(&out, "a", "b", "c", &c);
	ck_assert_ptr_nonnull(strstr(out.data, "| 0.50 of the limit |"));
	ws_cap_text_free(&out);
}
END_TEST

/* Memory of a doubled array counted by its elements would be too small. */
START_TEST(arrays_count_with_the_size_they_have_grown_to)
{
	ck_assert_double_eq(ws_cap_doubled_capacity(3), 8);
	ck_assert_double_eq(ws_cap_doubled_capacity(1024), 1024);
	ck_assert_double_eq(ws_cap_doubled_capacity(602000), 1048576);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("capacity");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, points_on_a_line_give_its_slope_and_base);
	tcase_add_test(tc, points_off_the_line_show_as_deviation);
	tcase_add_test(tc, fewer_than_three_sizes_are_refused);
	tcase_add_test(tc, a_point_is_the_median_of_its_repeats);
	tcase_add_test(tc, only_the_text_between_the_markers_is_replaced);
	tcase_add_loop_test(tc, a_page_with_wrong_markers_is_refused, 0, 4);
	tcase_add_test(tc, rows_have_as_many_cells_as_their_head);
	tcase_add_test(tc, a_row_names_the_limit_that_is_missed_most);
	tcase_add_test(tc, arrays_count_with_the_size_they_have_grown_to);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
