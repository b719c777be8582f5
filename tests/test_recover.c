#include <check.h>
#include <stdlib.h>

#include "fake.h"

/* Recovery from the loss of most instances by a statement of an operator. */

#define N_INSTANCES 10
#define N_KILLED 7
#define N_CALLS 40

static struct fake *new_fake(void)
{
	struct fake_conf conf = {
		.seed = 3,
		.zones = 3,
		.instances = N_INSTANCES,
		.targets = 4,
		.partitions = 12,
		.shards = 16,
		.rate = 1000,
		.burst = 1000,
	};

	return fake_new(&conf);
}

/* Sends requests to both services; returns how many were answered. */
static int count_served(struct fake *f)
{
	int calls[N_CALLS];
	int n = 0;
	int i;

	for (i = 0; i < N_CALLS; i++) {
		calls[i] = fake_call(f, i % 2 ? FAKE_ORDERS : FAKE_CALIBRATION,
				     1 + (uint64_t)i, 0, i % N_INSTANCES);
		fake_run(f, fake_now(f) + 50 * WS_MS);
	}
	fake_run(f, fake_now(f) + 3 * WS_SECOND);
	for (i = 0; i < N_CALLS; i++)
		n += fake_outcome(f, calls[i], NULL) == WS_OUT_DONE;
	return n;
}

static bool last_instance_ready(struct fake *f)
{
	return ws_core_ready(fake_core(f, N_INSTANCES - 1),
			     fake_local_now(f, N_INSTANCES - 1));
}

static void replace_most_instances(struct fake *f)
{
	int i;

	for (i = 0; i < N_KILLED; i++)
		fake_kill_instance(f, i);
	for (i = 0; i < N_KILLED; i++)
		fake_start_instance(f, i);
	fake_run(f, fake_now(f) + 10 * WS_SECOND);
}

/*
 * Instances that do not answer may be partitioned rather than lost, so what a
 * lost majority held must not be taken over until an operator declares it gone.
 */
START_TEST(statement_restores_service_after_loss_of_majority)
{
	struct fake *f = new_fake();
	int served_before;

	fake_run(f, fake_now(f) + 8 * WS_SECOND);
	ck_assert_int_eq(count_served(f), N_CALLS);
	replace_most_instances(f);
	served_before = count_served(f);
	ck_assert_int_lt(served_before, N_CALLS / 2);
	ck_assert(!last_instance_ready(f));
	fake_recover(f, N_INSTANCES - 1);
	fake_run(f, fake_now(f) + 8 * WS_SECOND);
	ck_assert_int_eq(count_served(f), N_CALLS);
	ck_assert(last_instance_ready(f));
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

	tcase_add_test(tc, statement_restores_service_after_loss_of_majority);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
