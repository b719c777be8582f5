#include <stdio.h>
#include <stdlib.h>

#include "ed_fleet.h"
#include "ed_suite.h"

/* The rate of a small customer at many instances. */

#define WINDOW (5 * WS_SECOND)
#define RATE_SLACK 20.0
#define RATE_FACTOR 1.1
#define ARRIVALS_MAX (FLEET_SERVERS * FLEET_ARRIVALS_MAX)

static ws_us arrivals[ARRIVALS_MAX];

static int compare_times(const void *a, const void *b)
{
	const ws_us *x = a;
	const ws_us *y = b;

	return (*x > *y) - (*x < *y);
}

static size_t collect_arrivals(void)
{
	size_t n = 0;
	size_t k;
	int i;

	for (i = 0; i < FLEET_SERVERS; i++)
		for (k = 0; k < fleet.servers[i].n_arrivals; k++)
			arrivals[n++] = fleet.servers[i].arrivals[k].at;
	qsort(arrivals, n, sizeof(arrivals[0]), compare_times);
	return n;
}

static size_t most_in_window(void)
{
	size_t n = collect_arrivals();
	size_t first = 0;
	size_t most = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		while (arrivals[first] <= arrivals[i] - WINDOW)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

/*
 * Guards against a customer whose burst is smaller than the number of
 * instances, each of which saves one request for it.
 */
START_TEST(customer_gets_no_more_than_its_rate_after_silence)
{
	static const int instances[] = { 10, 85, 295 };
	double bound =
		(FLEET_CUSTOMER_RATE * 5 + FLEET_CUSTOMER_BURST) * RATE_FACTOR +
		RATE_SLACK;
	size_t most;

	fleet.caller_key = "c";
	fleet_start(instances[_i], false);
	fleet_run(4 * WS_SECOND, 20.0);
	fleet_run(8 * WS_SECOND, 0.0);
	fleet_run(6 * WS_SECOND, 400.0);
	most = most_in_window();
	ck_assert_msg((double)most <= bound,
		      "%zu requests in a window at %d instances, allowed %.0f",
		      most, instances[_i], bound);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		customer_gets_no_more_than_its_rate_after_silence,
	};

	return ed_suite_run_each("ed_quota_fleet", tests, 1, 3);
}
