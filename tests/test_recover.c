#include <check.h>
#include <stdlib.h>

#include "fake.h"

/* Loss of most instances at once, and the operator's statement about it. */

#define INSTANCES 10
#define KILLED 7
#define TRIES 40

static struct fake *new_fake(void)
{
	struct fake_conf conf = {
		.seed = 3,
		.zones = 3,
		.instances = INSTANCES,
		.targets = 4,
		.partitions = 12,
		.shards = 16,
		.rate = 1000,
		.burst = 1000,
	};

	return fake_new(&conf);
}

/* Sends orders and keyed requests; returns how many were answered. */
static int count_served(struct fake *f)
{
	int calls[TRIES];
	int n = 0;
	int i;

	for (i = 0; i < TRIES; i++) {
		calls[i] = fake_call(f, i % 2 ? FAKE_ORDERS : FAKE_CALIBRATION,
				     1 + (uint64_t)i, 0, i % INSTANCES);
		fake_run(f, fake_now(f) + 50 * WS_MS);
	}
	fake_run(f, fake_now(f) + 3 * WS_SECOND);
	for (i = 0; i < TRIES; i++)
		n += fake_outcome(f, calls[i], NULL) == WS_OUT_DONE;
	return n;
}

static bool ready(struct fake *f)
{
	return ws_core_ready(fake_core(f, INSTANCES - 1),
			     fake_local_now(f, INSTANCES - 1));
}

static void replace_most(struct fake *f)
{
	int i;

	for (i = 0; i < KILLED; i++)
		fake_kill_instance(f, i);
	for (i = 0; i < KILLED; i++)
		fake_start_instance(f, i);
	fake_run(f, fake_now(f) + 10 * WS_SECOND);
}

/*
 * Nobody may take over what a lost majority held, because it may be cut off
 * rather than lost; the operator's statement is what settles it.
 */
START_TEST(statement_brings_service_back_after_a_lost_majority)
{
	struct fake *f = new_fake();
	int before;

	fake_run(f, fake_now(f) + 8 * WS_SECOND);
	ck_assert_int_eq(count_served(f), TRIES);
	replace_most(f);
	before = count_served(f);
	ck_assert_int_lt(before, TRIES / 2);
	ck_assert(!ready(f));
	fake_recover(f, INSTANCES - 1);
	fake_run(f, fake_now(f) + 8 * WS_SECOND);
	ck_assert_int_eq(count_served(f), TRIES);
	ck_assert(ready(f));
	ck_assert_uint_eq(fake_report(f)->violations, 0);
	fake_free(f);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("recover");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, statement_brings_service_back_after_a_lost_majority);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
