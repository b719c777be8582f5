#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_hist.h"

static struct ws_hist h;

static int compare(const void *a, const void *b)
{
	ws_us x = *(const ws_us *)a;
	ws_us y = *(const ws_us *)b;

	return (x > y) - (x < y);
}

/* Quantiles may exceed the exact value by the width of a bucket at most. */
START_TEST(quantiles_match_sorted_values)
{
	static const double qs[] = { 0.01, 0.5, 0.9, 0.99, 0.999, 1.0 };
	static ws_us v[20000];
	struct ws_rand rand;
	size_t i;

	memset(&h, 0, sizeof(h));
	ws_rand_seed(&rand, 1);
	for (i = 0; i < 20000; i++) {
		v[i] = (ws_us)(ws_rand_next(&rand) >> (24 + i % 40));
		ws_hist_add(&h, v[i]);
	}
	qsort(v, 20000, sizeof(*v), compare);
	for (i = 0; i < sizeof(qs) / sizeof(*qs); i++) {
		ws_us exact = v[(size_t)(qs[i] * 20000 + 0.5) - 1];
		ws_us got = ws_hist_quantile(&h, qs[i]);

		ck_assert_int_ge(got, exact);
		if (exact < (ws_us)1 << WS_HIST_MAX_BITS)
			ck_assert_int_le(got, exact + exact / 32 + 1);
		else
			ck_assert_int_eq(got, v[19999]);
	}
}
END_TEST

/* Values at the bounds of buckets and of the whole range must be counted. */
START_TEST(borders_are_counted)
{
	ws_us v;

	memset(&h, 0, sizeof(h));
	ck_assert_int_eq(ws_hist_quantile(&h, 0.5), 0);
	ws_hist_add(&h, -5);
	for (v = 1; v > 0 && v < INT64_MAX / 2; v *= 2) {
		ws_hist_add(&h, v);
		ws_hist_add(&h, v - 1);
	}
	ck_assert_int_eq(ws_hist_quantile(&h, 0), 0);
	ck_assert_int_eq(ws_hist_quantile(&h, 1), h.max);
	ck_assert_uint_eq(ws_hist_at_most(&h, 31), 12);
}
END_TEST

/* A merged histogram must equal one that counted all values itself. */
START_TEST(merging_adds_counts)
{
	static struct ws_hist other;

	memset(&h, 0, sizeof(h));
	ws_hist_add(&h, 10);
	ws_hist_add(&other, 30);
	ws_hist_merge(&h, &other);
	ck_assert_uint_eq(h.count, 2);
	ck_assert_int_eq(ws_hist_mean(&h), 20);
	ck_assert_int_eq(ws_hist_quantile(&h, 1), 30);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("hist");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, quantiles_match_sorted_values);
	tcase_add_test(tc, borders_are_counted);
	tcase_add_test(tc, merging_adds_counts);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
