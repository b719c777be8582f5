#include <stdio.h>

#include "ed_suite.h"
#include "load_sim.h"

/*
 * Replays of the load patterns at which requests wait, are refused and are
 * placed. What callers get must be better by a margin than from the baseline,
 * which sends each request to any server at once, or than from the earlier
 * version, whose worth stands beside the test. Several seeds are averaged, so
 * that one unlucky draw decides nothing.
 */

#define SEEDS 3

/* 72 in 100 slots are busy; callers want an answer within 200 ms. */
static const struct load_sim open_service = {
	.slots = 6,
	.per_s = 800.0,
	.work_ms = 65.0,
	.work_sigma = 0.5,
	.objective = 200 * WS_MS,
	.deadline = 1200 * WS_MS,
	.retries = 2,
	.length = 14 * WS_SECOND,
	.from = 6 * WS_SECOND,
	.to = 12 * WS_SECOND,
};

static const struct load_sim keyed_service = {
	.sharded = true,
	.slots = 6,
	.per_s = 280.0,
	.work_ms = 160.0,
	.work_sigma = 0.8,
	.objective = 500 * WS_MS,
	.deadline = 3 * WS_SECOND,
	.retries = 2,
	.length = 14 * WS_SECOND,
	.from = 6 * WS_SECOND,
	.to = 12 * WS_SECOND,
};

static struct load_result mean_of(const char *name, struct load_sim l)
{
	struct load_result sum = { .requests = 0 };

	for (l.seed = 1; l.seed <= SEEDS; l.seed++) {
		struct load_result r = load_sim_run(&l);

		sum.requests += r.requests;
		sum.in_time += r.in_time;
		sum.late += r.late;
		sum.refused += r.refused;
		sum.failed += r.failed;
		sum.shed += r.shed;
		sum.server_arrivals += r.server_arrivals;
		sum.score += r.score / SEEDS;
		sum.refused_wait_ms += r.refused_wait_ms / SEEDS;
	}
	load_sim_print(name, &sum);
	return sum;
}

/* The worth must be above the baseline's by this part of what that lost. */
static void expect_better(struct load_sim l, const struct load_result *r,
			  double part)
{
	struct load_result naive;

	l.baseline = true;
	naive = mean_of("  baseline", l);
	ck_assert_double_gt(r->score, naive.score + part * (1.0 - naive.score));
}

/* Guards against refusals while servers are free. */
START_TEST(usual_load_is_served_in_time)
{
	struct load_result r = mean_of("usual load", open_service);

	ck_assert_uint_eq(r.refused, 0);
	expect_better(open_service, &r, 0.9);
}
END_TEST

/* 1.6 times the usual arrivals, somewhat above what fits. */
START_TEST(surge_is_served_as_far_as_it_fits)
{
	struct load_sim l = open_service;
	struct load_result r;

	l.surge_factor = 1.6;
	r = mean_of("surge of 1.6", l);
	expect_better(l, &r, 0.5);
	/* A refusal comes soon: a quarter of the objective at most. */
	ck_assert_double_lt(r.refused_wait_ms, 50.0);
}
END_TEST

/* Guards against a queue of late requests that delays all others as well. */
START_TEST(heavy_surge_keeps_what_fits_in_time)
{
	struct load_sim l = open_service;
	struct load_result r;

	l.surge_factor = 2.5;
	r = mean_of("surge of 2.5", l);
	expect_better(l, &r, 0.25);
	ck_assert_uint_gt(r.in_time, r.late);
}
END_TEST

/* Servers reject half of all, idle or not; before, 0.63. */
START_TEST(shed_requests_come_back_in_time)
{
	struct load_sim l = open_service;
	struct load_result r;

	l.shed_share = 0.55;
	r = mean_of("servers shed 0.55", l);
	ck_assert_double_gt(r.score, 0.8);
	expect_better(l, &r, 0.3);
}
END_TEST

/* A quarter of the servers takes five times as long. */
START_TEST(slow_servers_are_avoided)
{
	struct load_sim l = open_service;
	struct load_result r;

	l.n_slow = 3;
	l.slow_factor = 5.0;
	r = mean_of("three slow servers", l);
	expect_better(l, &r, 0.7);
}
END_TEST

/* Machines differ by four in pace; shares by slots alone leave 0.921. */
START_TEST(keys_are_shared_by_pace)
{
	struct load_result r = mean_of("keyed", keyed_service);

	ck_assert_double_gt(r.score, 0.95);
}
END_TEST

/* Neighbouring keys get a third of the traffic at once; before, 0.901. */
START_TEST(hot_keys_spread)
{
	struct load_sim l = keyed_service;
	struct load_result r;

	l.hot_share = 0.35;
	r = mean_of("keyed, hot keys", l);
	ck_assert_double_gt(r.score, 0.87);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		usual_load_is_served_in_time,
		surge_is_served_as_far_as_it_fits,
		heavy_surge_keeps_what_fits_in_time,
		shed_requests_come_back_in_time,
		slow_servers_are_avoided,
		keys_are_shared_by_pace,
		hot_keys_spread,
	};

	return ed_suite_run("ed_load", tests, 7);
}
