#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "own_sim.h"

/*
 * Runs many instances under random faults. WS_SEEDS=a..b chooses the seeds;
 * each failure names the seed that reproduces it.
 */

#define LOSS_GAP_MAX (3 * WS_SECOND)
#define MOVE_GAP_MAX (250 * WS_MS)
#define RECOVERY_TIME_MAX (8 * WS_SECOND)

struct totals {
	uint64_t events;
	uint64_t faults[SIM_FAULTS];
	uint64_t runs;
	uint64_t recoveries;
	ws_us loss;
	ws_us zone;
	ws_us move;
	ws_us settle;
};

static struct totals totals;

static void update_max(ws_us *max, ws_us value)
{
	if (value > *max)
		*max = value;
}

static void expect_ok(struct sim *s, uint64_t seed)
{
	ck_assert_msg(!*sim_violation(s), "seed %llu: %s",
		      (unsigned long long)seed, sim_violation(s));
}

static ws_us expect_served(struct sim *s, uint64_t seed, const char *after,
			   ws_us max)
{
	ws_us took = sim_run_until_served(s, max);

	expect_ok(s, seed);
	ck_assert_msg(took >= 0, "seed %llu: not served %lld ms after %s",
		      (unsigned long long)seed, (long long)(max / WS_MS),
		      after);
	return took;
}

/* Ends all faults and runs until everything is served and no move is left. */
static void settle(struct sim *s, uint64_t seed)
{
	bool alive = sim_majority_alive(s);
	ws_us took;

	sim_end_faults(s);
	took = sim_run_until_served(s, RECOVERY_TIME_MAX);
	/* Records in flight may have made instances voters that have ended. */
	if (took < 0 && !(alive && sim_majority_alive(s))) {
		/*
		 * A majority ended at once, so an operator has to declare it
		 * gone.
		 */
		totals.recoveries++;
		sim_recover(s);
		took = expect_served(s, seed, "recovery", RECOVERY_TIME_MAX);
	}
	expect_ok(s, seed);
	ck_assert_msg(took >= 0, "seed %llu: not served after faults ended",
		      (unsigned long long)seed);
	update_max(&totals.settle, took);
	sim_run(s, 5 * WS_SECOND, 0);
	expect_served(s, seed, "moves", WS_SECOND);
	sim_longest_gap(s);
}

static void expect_gap(struct sim *s, uint64_t seed, const char *after,
		       ws_us max, ws_us *worst)
{
	ws_us gap = sim_longest_gap(s);

	expect_ok(s, seed);
	update_max(worst, gap);
	ck_assert_msg(gap <= max, "seed %llu: gap of %lld ms after %s",
		      (unsigned long long)seed, (long long)(gap / WS_MS),
		      after);
}

static void lose_one(struct sim *s, uint64_t seed, bool node, bool target)
{
	settle(s, seed);
	if (node)
		sim_kill_node(s, (int)sim_random(s, 6));
	if (target)
		sim_kill_target(s, (int)sim_random(s, 10));
	sim_run(s, 4 * WS_SECOND, 0);
	expect_served(s, seed, "loss", 10 * WS_MS);
	expect_gap(s, seed, "loss", LOSS_GAP_MAX, &totals.loss);
}

static void move_planned(struct sim *s, uint64_t seed)
{
	int node = (int)sim_random(s, 6);

	settle(s, seed);
	sim_drain_node(s, node);
	sim_leave_target(s, (int)sim_random(s, 10), true);
	sim_run(s, 3 * WS_SECOND, 0);
	expect_served(s, seed, "planned moves", 10 * WS_MS);
	ck_assert_msg(sim_drained(s, node), "seed %llu: not drained",
		      (unsigned long long)seed);
	expect_gap(s, seed, "planned move", MOVE_GAP_MAX, &totals.move);
	sim_kill_node(s, node);
}

static void add_totals(const struct sim *s)
{
	int f;

	totals.runs++;
	totals.events += sim_events(s);
	for (f = 0; f < SIM_FAULTS; f++)
		totals.faults[f] += sim_faults(s, f);
}

static uint64_t run_seed(uint64_t seed)
{
	struct sim *s = sim_new(seed, 6, 10);
	uint64_t hash;

	settle(s, seed);
	sim_run(s, 20 * WS_SECOND, 1 + (unsigned)(seed % 4));
	expect_ok(s, seed);
	lose_one(s, seed, seed % 2, !(seed % 2) || seed % 3 == 0);
	sim_run(s, 10 * WS_SECOND, 3);
	expect_ok(s, seed);
	move_planned(s, seed);
	hash = ws_mix(sim_hash(s), sim_events(s));
	add_totals(s);
	sim_free(s);
	return hash;
}

/* ===== Tests ===== */

static void seed_range(uint64_t *from, uint64_t *to)
{
	const char *text = getenv("WS_SEEDS");
	unsigned long long a = 1;
	unsigned long long b = 6;

	if (text && sscanf(text, "%llu..%llu", &a, &b) == 1)
		b = a;
	*from = a;
	*to = b;
}

/*
 * Guards against two owners of anything, a lost assignment, and a resource that
 * is not served again after a loss.
 */
START_TEST(random_faults_never_give_two_owners)
{
	uint64_t seed;
	uint64_t to;
	int f;

	seed_range(&seed, &to);
	for (; seed <= to; seed++)
		run_seed(seed);
	printf("seeds %llu, events %llu; worst ms: loss %lld, planned move "
	       "%lld, settling %lld; recoveries by "
	       "an operator %llu\n",
	       (unsigned long long)totals.runs,
	       (unsigned long long)totals.events,
	       (long long)(totals.loss / WS_MS),
	       (long long)(totals.move / WS_MS),
	       (long long)(totals.settle / WS_MS),
	       (unsigned long long)totals.recoveries);
	for (f = 0; f < SIM_FAULTS; f++)
		printf("%s: %llu\n", sim_fault_names[f],
		       (unsigned long long)totals.faults[f]);
}
END_TEST

/* A failing seed is of use only if it gives the same run again. */
START_TEST(same_seed_gives_the_same_run)
{
	ck_assert_uint_eq(run_seed(3), run_seed(3));
}
END_TEST

/* During a log outage nothing moves and everything stays served. */
START_TEST(log_outage_stops_nothing)
{
	struct sim *s = sim_new(5, 6, 10);

	settle(s, 5);
	sim_log_down(s, true);
	sim_run(s, 60 * WS_SECOND, 0);
	expect_gap(s, 5, "log outage", WS_MS, &totals.move);
	sim_free(s);
}
END_TEST

/*
 * Loses a zone at once, that is instances along with targets that only they had
 * probed.
 */
START_TEST(lost_zone_is_served_again)
{
	struct sim *s = sim_new(6, 6, 10);

	settle(s, 6);
	sim_kill_zone(s, 1);
	sim_run(s, 5 * WS_SECOND, 0);
	expect_served(s, 6, "loss of a zone", 10 * WS_MS);
	printf("zone lost: %lld ms\n", (long long)(sim_longest_gap(s) / WS_MS));
	sim_free(s);
}
END_TEST

/* Updating the router must not change the targets of keys. */
START_TEST(rolling_restart_of_instances_moves_no_shard)
{
	struct sim *s = sim_new(8, 6, 10);
	size_t before;
	int i;

	settle(s, 8);
	before = sim_shard_moves(s);
	for (i = 0; i < 6; i++) {
		sim_drain_node(s, i);
		sim_run(s, 2 * WS_SECOND, 0);
		ck_assert(sim_drained(s, i));
		sim_kill_node(s, i);
		sim_start_node(s, i);
		sim_run(s, 4 * WS_SECOND, 0);
	}
	expect_gap(s, 8, "rolling restart", MOVE_GAP_MAX, &totals.move);
	ck_assert_uint_eq(sim_shard_moves(s), before);
	printf("rolling restart: longest gap %lld ms\n",
	       (long long)(totals.move / WS_MS));
	sim_free(s);
}
END_TEST

/*
 * Several dispatchers move shards to a target that joins; together they must
 * not move more than its share.
 */
START_TEST(target_that_joins_gets_its_share_only)
{
	size_t share = (SIM_SHARDS + 4) / 5;
	struct sim *s = sim_new(9, 6, 10);
	size_t before;

	settle(s, 9);
	sim_kill_target(s, 4);
	sim_run(s, 5 * WS_SECOND, 0);
	before = sim_shard_moves(s);
	settle(s, 9);
	sim_run(s, 10 * WS_SECOND, 0);
	printf("target joined: %zu shards moved\n",
	       sim_shard_moves(s) - before);
	ck_assert_uint_ge(sim_shard_moves(s) - before, share - 1);
	ck_assert_uint_le(sim_shard_moves(s) - before, share);
	sim_free(s);
}
END_TEST

/*
 * A zone loses the other zones first, and the log at the moment when its
 * targets are taken over. Its last log read is then as late as possible, so its
 * leases end as late as possible.
 */
START_TEST(zone_partitioned_in_steps_keeps_one_owner)
{
	ws_us wait;

	for (wait = 500; wait <= 900; wait += 50) {
		struct sim *s = sim_new(11, 6, 10);

		settle(s, 11);
		sim_cut_zones(s, 1, 0);
		sim_cut_zones(s, 1, 2);
		sim_cut_zones(s, 0, 1);
		sim_cut_zones(s, 2, 1);
		sim_run(s, wait * WS_MS, 0);
		sim_cut_platform(s, 1);
		sim_run(s, 4 * WS_SECOND, 0);
		expect_ok(s, 11);
		sim_free(s);
	}
}
END_TEST

/*
 * Zone 0 has the log and gets heartbeats from zone 1, but reaches neither zone
 * 1 nor zone 2, which keep each other's state fresh. Only missing answers, not
 * heartbeats, can stop zone 0 from a takeover.
 */
START_TEST(takeover_needs_answers_not_only_heartbeats)
{
	struct sim *s = sim_new(12, 6, 10);

	settle(s, 12);
	sim_cut_platform(s, 1);
	sim_cut_platform(s, 2);
	sim_cut_zones(s, 0, 1);
	sim_cut_zones(s, 0, 2);
	sim_cut_zones(s, 2, 0);
	sim_run(s, 10 * WS_SECOND, 0);
	expect_ok(s, 12);
	sim_free(s);
}
END_TEST

/* Two hot keys of one shard must end up with different owners. */
START_TEST(hot_key_moves_alone)
{
	struct sim *s = sim_new(7, 6, 10);

	settle(s, 7);
	sim_load_hot_keys(s, true);
	sim_run(s, 30 * WS_SECOND, 0);
	expect_ok(s, 7);
	ck_assert_uint_eq(sim_hot_keys(s), 2);
	ck_assert_uint_ne(sim_loaded_key_owner(s, 0),
			  sim_loaded_key_owner(s, 1));
	sim_run(s, 20 * WS_SECOND, 2);
	expect_ok(s, 7);
	sim_load_hot_keys(s, false);
	settle(s, 7);
	sim_run(s, 90 * WS_SECOND, 0);
	expect_ok(s, 7);
	ck_assert_uint_eq(sim_hot_keys(s), 0);
	sim_free(s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("own_random");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, random_faults_never_give_two_owners);
	tcase_add_test(tc, same_seed_gives_the_same_run);
	tcase_add_test(tc, log_outage_stops_nothing);
	tcase_add_test(tc, lost_zone_is_served_again);
	tcase_add_test(tc, rolling_restart_of_instances_moves_no_shard);
	tcase_add_test(tc, target_that_joins_gets_its_share_only);
	tcase_add_test(tc, zone_partitioned_in_steps_keeps_one_owner);
	tcase_add_test(tc, takeover_needs_answers_not_only_heartbeats);
	tcase_add_test(tc, hot_key_moves_alone);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
