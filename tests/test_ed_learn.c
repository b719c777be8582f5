#include <math.h>
#include <stdio.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_pool.h"

/*
 * Learned capacity: load patterns of ws_ed_learn.h replayed beside the factor
 * of service time that is used if customers have rates. Bounds are those of the
 * operators: a change is followed within two seconds.
 */

#define SLOTS 3
#define WORK_US 100000.0
#define SIGMA 0.8 /* of log(service time) */
#define FOLLOW_TIME (2 * WS_SECOND)
#define SEEDS 5
#define INSTANCES 26
#define SERVERS 8 /* server 0 differs */
#define ROUND (100 * WS_MS) /* of heartbeats; one answer of each server */
#define LINK_INSTANCE 3 /* behind a slow link */

static struct ws_rand rnd;
static struct ws_ed_pool pools[INSTANCES];
static ws_us now;
static ws_us slow_link;

static double uniform(void)
{
	return ((double)ws_rand_below(&rnd, 1000000) + 0.5) / 1e6;
}

/* Lognormal with a mean of 1. */
static double draw_work(void)
{
	double n = sqrt(-2.0 * log(uniform())) * cos(2.0 * M_PI * uniform());

	return exp(SIGMA * n - SIGMA * SIGMA / 2.0);
}

/* ===== One server ===== */

static void answer(struct ws_ed_learned *l, double slowness, double load)
{
	const struct ws_ed_learn_sample s = {
		.now = now,
		.latency = (ws_us)(WORK_US * slowness * draw_work()),
		.work = WORK_US,
		.load = load,
		.ok = true,
	};

	ws_ed_learn_sample(l, &s);
}

static void answers(struct ws_ed_learned *l, int n, ws_us gap, double slowness)
{
	for (; n > 0; n--, now += gap)
		answer(l, slowness, 1.0);
}

/* One request, or all of a tenth of a second, take 10 times as long. */
START_TEST(short_slowness_is_no_change)
{
	struct ws_ed_learned l;
	double before;

	ws_rand_seed(&rnd, 2);
	ws_ed_learn_reset(&l, SLOTS);
	answers(&l, 100, ROUND, 1.0);
	before = l.time;
	answers(&l, 1, ROUND, 10.0);
	ck_assert_double_lt(l.time, 1.5 * before);
	answers(&l, 30, ROUND, 1.0);
	before = l.time;
	answers(&l, 20, 5 * WS_MS, 10.0);
	printf("slow tenth of a second: %.2f times\n", l.time / before);
	ck_assert_double_lt(l.time, 1.5 * before);
}
END_TEST

/* Rejects a part of n requests; returns the limit then. */
static double reject(struct ws_ed_learned *l, int n, double part,
		     uint32_t running)
{
	for (; n > 0; n--, now += ROUND) {
		const struct ws_ed_learn_sample s = {
			.now = now,
			.load = (double)running + 1.0,
			.rejected = true,
			.has_report = true,
			.running = running,
		};

		if (uniform() < part)
			ws_ed_learn_sample(l, &s);
		else
			answer(l, 1.0, 1.0);
	}
	return ws_ed_learn_limit(l, now);
}

START_TEST(only_rejections_of_a_busy_server_lower_the_limit)
{
	struct ws_ed_learned l;
	double idle;
	double any;
	double full;

	ws_rand_seed(&rnd, 3);
	ws_ed_learn_reset(&l, SLOTS);
	idle = reject(&l, 200, 0.55, 0);
	any = reject(&l, 5, 0.55, SLOTS);
	ws_ed_learn_reset(&l, SLOTS);
	full = reject(&l, 60, 0.9, SLOTS);
	printf("limit by rejections: idle %.2f, any %.2f, full %.2f of %d\n",
	       idle, any, full, SLOTS);
	ck_assert_double_ge(idle, SLOTS);
	ck_assert_double_ge(any, SLOTS);
	ck_assert_double_lt(full, SLOTS - 1.0);
	ck_assert(ws_ed_learn_has_crossed(&l, now));
	ck_assert(!ws_ed_learn_has_crossed(&l, now));
	answers(&l, 50, ROUND, 1.0);
	ck_assert_double_ge(ws_ed_learn_limit(&l, now), SLOTS);
	ck_assert(!ws_ed_learn_has_crossed(&l, now));
	answers(&l, 100, ROUND, 1.0);
	ck_assert(ws_ed_learn_has_crossed(&l, now));
}
END_TEST

/*
 * A server with 12 slots slows down from 4 requests on, so that each further
 * one lowers its throughput. As many are sent to it as its limit allows.
 */
START_TEST(early_slowing_lowers_the_limit)
{
	struct ws_ed_learned l;
	double per_s[2] = { 0.0, 0.0 };
	int use;
	int i;

	for (use = 0; use < 2; use++) {
		ws_rand_seed(&rnd, 4);
		ws_ed_learn_reset(&l, 12);
		for (i = 0; i < 2000; i++, now += 20 * WS_MS) {
			double max = use ? ws_ed_learn_limit(&l, now) : 12.0;
			double load = fmax(1.0, max * uniform());
			double slow = load > 4.0 ? pow(load / 4.0, 2.0) : 1.0;

			answer(&l, slow, load);
			per_s[use] += load / (slow * WORK_US / 1e6) / 2000;
		}
	}
	printf("early slowing: limit %.2f, %.1f requests/s, baseline %.1f\n",
	       l.limit, per_s[1], per_s[0]);
	ck_assert_double_lt(l.limit, 9.0);
	ck_assert_double_gt(l.limit, 3.0);
	ck_assert_double_gt(per_s[1], per_s[0]);
}
END_TEST

/* What others say is bounded, ages, and is forgotten in silence. */
START_TEST(peers_are_followed_in_bounded_steps)
{
	struct ws_ed_learned l;
	int i;

	ws_ed_learn_reset(&l, SLOTS);
	ws_ed_learn_peer(&l, now, 0, 0.01, 0.1);
	ck_assert_double_gt(l.speed, 0.5);
	for (i = 0; i < 8; i++, now += ROUND)
		ws_ed_learn_peer(&l, now, 0, 0.2, 1.0);
	ws_ed_learn_peer(&l, now, 10 * WS_SECOND, 4.0, 3.0);
	ck_assert_double_eq_tol(l.speed, 0.2, 0.05);
	ck_assert_double_lt(l.limit, 1.5);
	now += 20 * WS_SECOND;
	ck_assert_double_gt(ws_ed_learn_speed(&l, now), 0.9);
	ck_assert_double_gt(ws_ed_learn_limit(&l, now), 2.9);
}
END_TEST

/* ===== A fleet that shares the answers of some servers ===== */

static void list(struct ws_ed_pool *p, int server, int64_t born)
{
	struct ws_ed_listing l = { .service = 5, .slots = SLOTS };

	snprintf(l.name, sizeof(l.name), "s%d", server);
	l.started_ms = born;
	ws_ed_pool_listed(p, now, &l);
}

static void start_fleet(uint64_t seed, bool unmetered)
{
	int i;
	int k;

	slow_link = 0;
	ws_rand_seed(&rnd, seed);
	for (i = 0; i < INSTANCES; i++) {
		ws_ed_pool_free(&pools[i]);
		pools[i].unmetered = unmetered;
		pools[i].instances = INSTANCES;
		ws_ed_pool_work_stats(&pools[i], 1, 5);
		for (k = 0; k < SERVERS; k++)
			list(&pools[i], k, 1);
	}
}

/* A fifth of the time the machine is 3 times slower for 400 ms. */
static double pace_of(uint32_t server)
{
	return (now / (400 * WS_MS) + server) % 5 ? 1.0 : 3.0;
}

static void fleet_answer(uint32_t server, double slowness)
{
	uint64_t i = ws_rand_below(&rnd, INSTANCES);
	double time = slowness * draw_work() * pace_of(server);
	ws_us latency = (ws_us)(WORK_US * time);
	const struct ws_ed_sending x = {
		.server = server,
		.started_ms = 1,
		.sent_at = now,
		.load = 1.0 / SLOTS,
	};
	const struct ws_ed_report r = {
		.from_server = true,
		.known = true,
		.pace = pace_of(server),
	};

	if (i == LINK_INSTANCE)
		latency += slow_link;
	ws_ed_pool_sent(&pools[i], now, server);
	ws_ed_pool_ended(&pools[i], now, &x, WS_ED_END_OK, latency, &r);
}

static void tell_all(struct ws_ed_pool *from)
{
	struct ws_ed_peer_learned t;
	size_t h = 0;
	int i;

	while ((h = ws_ed_pool_next_learned(from, now, h, WS_ED_PENDING_ZONE,
					    &t)) < from->n) {
		for (i = 0; i < INSTANCES; i++)
			if (&pools[i] != from)
				ws_ed_pool_peer_learned(&pools[i], now, &t, 0);
		h++;
	}
}

static void run_fleet(ws_us time, double slowness)
{
	ws_us end = now + time;
	uint32_t k;
	int i;

	while (now < end) {
		now += ROUND;
		for (k = 0; k < SERVERS; k++)
			fleet_answer(k, k ? 1.0 : slowness);
		for (i = 0; i < INSTANCES; i++)
			tell_all(&pools[i]);
	}
}

/* How far off expected latencies are: mean over instances, in log units. */
static double off_by(double slowness)
{
	double sum = 0.0;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		struct ws_ed_choice at;

		/* When reports of the pace have decayed */
		ws_ed_pool_expect(&pools[i], now + WS_SECOND, 0, 0, &at);
		sum += fabs(log((double)at.expected_latency /
				(WORK_US * slowness)));
	}
	return sum / INSTANCES;
}

/* A server is 8 times slower for 6 s. */
START_TEST(slowing_and_recovery_are_followed)
{
	double slow[2] = { 0.0, 0.0 };
	double back[2] = { 0.0, 0.0 };
	uint64_t seed;
	int i;

	for (i = 0; i < 2; i++)
		for (seed = 1; seed <= SEEDS; seed++) {
			start_fleet(seed, i);
			run_fleet(20 * WS_SECOND, 1.0);
			run_fleet(FOLLOW_TIME, 8.0);
			slow[i] += off_by(8.0) / SEEDS;
			run_fleet(4 * WS_SECOND, 8.0);
			run_fleet(FOLLOW_TIME, 1.0);
			back[i] += off_by(1.0) / SEEDS;
		}
	printf("off by a factor of, 2 s after: slowing %.2f, baseline %.2f; "
	       "recovery %.2f, baseline %.2f\n",
	       exp(slow[1]), exp(slow[0]), exp(back[1]), exp(back[0]));
	ck_assert_double_lt(slow[1], log(2.0));
	ck_assert_double_lt(slow[1], slow[0]);
	ck_assert_double_lt(back[1], log(2.0));
	ck_assert_double_lt(back[1], back[0]);
}
END_TEST

/* One instance has a slow link to all servers. A new start is unknown. */
START_TEST(slow_link_is_not_a_slow_server)
{
	const struct ws_ed_server *s;

	start_fleet(1, true);
	run_fleet(20 * WS_SECOND, 1.0);
	slow_link = 400 * WS_MS;
	run_fleet(10 * WS_SECOND, 1.0);
	printf("slow link: off by a factor of %.2f\n", exp(off_by(1.0)));
	ck_assert_double_lt(off_by(1.0), log(1.6));
	run_fleet(3 * WS_SECOND, 8.0);
	s = &pools[0].servers[0];
	ck_assert_double_lt(s->learned.speed, 0.5);
	list(&pools[0], 0, 2);
	ck_assert_double_eq(s->learned.speed, 1.0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		short_slowness_is_no_change,
		only_rejections_of_a_busy_server_lower_the_limit,
		early_slowing_lowers_the_limit,
		peers_are_followed_in_bounded_steps,
		slowing_and_recovery_are_followed,
		slow_link_is_not_a_slow_server,
	};

	return ed_suite_run("ed_learn", tests, 6);
}
