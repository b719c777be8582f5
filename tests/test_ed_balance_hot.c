#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ed_suite.h"
#include "edge/ws_ed_lead.h"
#include "edge/ws_ed_lead_int.h"

/*
 * Replays surges on adjacent keys through the leader, with servers that answer
 * its calls, beside the policy for metered customers.
 */

#define SELF 101
#define SERVICE 77
#define ROUTE 78
#define SERVERS_MAX 500
#define SLOTS 3
#define SERVICE_TIME (100 * WS_MS)
#define STEP (10 * WS_MS)
/* Requests are served in the order of arrival, so a release takes a while. */
#define RELEASE_TIME (400 * WS_MS)
#define GRANT_TIME (10 * WS_MS)
/* Requests arrive from this time on. */
#define QUIET (7 * WS_SECOND)
#define WARM_UP (15 * WS_SECOND)
#define SURGE (5 * WS_SECOND)
#define SAMPLE (100 * WS_MS)
/* Time in which a surge is to be spread over servers with room. */
#define SPREAD_TIME (1 * WS_SECOND)
#define CALLS_MAX 8192
/* Load above which a server cannot serve its keys in time. */
#define ROOM_FACTOR 1.3

struct call {
	uint64_t ref;
	ws_us at;
	bool is_grant;
};

struct surge {
	const char *name;
	uint32_t first;
	uint32_t keys;
	double share;
};

struct result {
	ws_us time; /* until the busiest server has room; SURGE: never */
	double beyond; /* requests beyond what their servers can serve */
	uint32_t moves;
	uint32_t moves_back; /* to the server before, within 5 s */
};

static struct ws_ed_lead lead;
static struct ws_ed_peers peers;
static struct ws_ed_pool pool;
static struct ws_ed_heat heat;
static struct ws_ed_service service = { .id = SERVICE, .sharded = true };
static struct ws_ed_conf conf = { .services = &service, .n_services = 1 };
static struct ws_ed_fx fx;
static struct call calls[CALLS_MAX];
static size_t n_calls;
static ws_us now;
static struct ws_rand rnd;
static size_t n_servers;
static double rate; /* requests/s */
static ws_id owners[WS_ED_KEYS];
static ws_id owners_before[WS_ED_KEYS];
static ws_us moved_at[WS_ED_KEYS];
static struct result res;

static void add_server(size_t i)
{
	struct ws_ed_listing l = {
		.service = SERVICE,
		.slots = SLOTS,
		.started_ms = 1,
	};

	snprintf(l.name, sizeof(l.name), "s%zu", i);
	snprintf(l.address, sizeof(l.address), "s%zu", i);
	ws_ed_pool_listed(&pool, now, &l);
}

/* One instance that leads, with half of the slots of its servers in use. */
static void setup(size_t servers, double utilisation, bool unmetered)
{
	struct ws_ed_work_stats *w;
	size_t i;

	ws_ed_lead_free(&lead);
	ws_ed_pool_free(&pool);
	ws_ed_heat_free(&heat);
	memset(&lead, 0, sizeof(lead));
	memset(&pool, 0, sizeof(pool));
	memset(&res, 0, sizeof(res));
	memset(owners, 0, sizeof(owners));
	memset(owners_before, 0, sizeof(owners_before));
	now = 100 * WS_SECOND;
	n_calls = 0;
	n_servers = servers;
	ws_rand_seed(&rnd, 7);
	pool.instances = 1;
	pool.unmetered = unmetered;
	peers.self = SELF;
	lead = (struct ws_ed_lead){ .self = SELF,
				    .started = now,
				    .peers = &peers,
				    .pool = &pool,
				    .heat = &heat,
				    .conf = &conf };
	for (i = 0; i < servers; i++)
		add_server(i);
	i = ws_ed_pool_work_stats(&pool, ROUTE, SERVICE);
	w = &pool.work_stats[i];
	w->service_time = (double)SERVICE_TIME;
	w->n_samples = 1000;
	rate = utilisation * (double)(servers * SLOTS) * (double)WS_SECOND /
	       (double)SERVICE_TIME;
}

static void note_moves(void)
{
	uint32_t k;

	for (k = 0; k < WS_ED_KEYS; k++) {
		ws_id o = ws_ed_map_owner(&lead.map, SERVICE, k);

		if (!o || o == owners[k])
			continue;
		if (owners[k]) {
			res.moves++;
			res.moves_back += o == owners_before[k] &&
					  now - moved_at[k] < 5 * WS_SECOND;
			moved_at[k] = now;
		}
		owners_before[k] = owners[k];
		owners[k] = o;
	}
}

static void handle_effects(void)
{
	size_t n = fx.n;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct ws_ed_effect *x = &fx.items[i];
		bool is_grant = x->kind == WS_EDFX_GRANT;

		if (x->kind == WS_EDFX_APPEND) {
			ws_ed_lead_on_append(&lead, now, lead.append_position,
					     now, WS_EDA_DONE, &fx);
			note_moves();
		} else if (is_grant || x->kind == WS_EDFX_RELEASE) {
			ck_assert_uint_lt(n_calls, CALLS_MAX);
			calls[n_calls++] = (struct call){
				.ref = x->u.call.ref,
				.at = now +
				      (is_grant ? GRANT_TIME : RELEASE_TIME),
				.is_grant = is_grant,
			};
		}
	}
	fx.n = 0;
}

static void answer_calls(void)
{
	size_t i = 0;

	while (i < n_calls) {
		struct call c = calls[i];

		if (c.at > now) {
			i++;
			continue;
		}
		calls[i] = calls[--n_calls];
		ws_ed_lead_on_call_result(&lead, now, c.ref, WS_EDC_DONE,
					  c.is_grant ? "" : "h", &fx);
	}
}

static void arrive(const struct surge *s)
{
	double due = rate * (double)STEP / (double)WS_SECOND;
	uint32_t n = (uint32_t)due;

	n += (double)ws_rand_below(&rnd, 1000) / 1000.0 < due - (double)n;
	while (n--) {
		uint32_t key = (uint32_t)ws_rand_below(&rnd, WS_ED_KEYS);

		if (s && (double)ws_rand_below(&rnd, 1000) < 1000.0 * s->share)
			key = s->first + (uint32_t)ws_rand_below(&rnd, s->keys);
		ws_ed_heat_count(&heat, SERVICE, key);
	}
}

static void run(ws_us time, const struct surge *s)
{
	ws_us end = now + time;

	for (; now < end; now += STEP) {
		lead.store_reached_at = now;
		if (s || now > lead.started + QUIET)
			arrive(s);
		ws_ed_heat_tick(&heat, now);
		ws_ed_lead_on_read(&lead, now, now, NULL, lead.map_end, &fx);
		ws_ed_lead_tick(&lead, now, &fx);
		answer_calls();
		handle_effects();
	}
}

/*
 * Expected load of the busiest server, relative to what it can serve.
 * @param beyond gets the rate of requests beyond what their servers can serve
 */
static double busiest(const struct surge *s, double *beyond)
{
	const double per_server =
		(double)(SLOTS * WS_SECOND) / (double)SERVICE_TIME;
	double most = 0.0;
	double *loads = ws_alloc(pool.n, sizeof(*loads));
	uint32_t k;
	size_t i;

	for (k = 0; k < WS_ED_KEYS; k++) {
		int32_t h = ws_ed_pool_find(&pool, owners[k]);
		double load = rate * (1.0 - s->share) / WS_ED_KEYS;

		if (k >= s->first && k < s->first + s->keys)
			load += rate * s->share / s->keys;
		if (h >= 0)
			loads[h] += load / per_server;
	}
	*beyond = 0.0;
	for (i = 0; i < pool.n; i++) {
		if (loads[i] > most)
			most = loads[i];
		if (loads[i] > 1.0)
			*beyond += (loads[i] - 1.0) * per_server;
	}
	free(loads);
	return most;
}

/* Load of one of the hot keys alone; its owner can't have less. */
static double least_possible(const struct surge *s)
{
	return rate * s->share / s->keys * (double)SERVICE_TIME /
	       (double)(SLOTS * WS_SECOND);
}

static void replay(const struct surge *s)
{
	double room = ROOM_FACTOR * least_possible(s);
	ws_us begin = now;
	double beyond;

	if (room < ROOM_FACTOR)
		room = ROOM_FACTOR;
	res = (struct result){ .time = SURGE };
	while (now < begin + SURGE) {
		run(SAMPLE, s);
		if (busiest(s, &beyond) <= room && res.time == SURGE)
			res.time = now - begin;
		res.beyond += beyond * (double)SAMPLE / (double)WS_SECOND;
	}
}

/*
 * Requests that are lost if the keys move within the time that is aimed at; one
 * key that no server can serve alone stays where it is.
 */
static double beyond_max(const struct surge *s)
{
	double per_key = rate * s->share / s->keys;
	double capacity = (double)(SLOTS * WS_SECOND) / (double)SERVICE_TIME;
	double lost = per_key > capacity ? (per_key - capacity) * s->keys : 0.0;

	return lost * (double)SURGE / (double)WS_SECOND +
	       rate * s->share * (double)SPREAD_TIME / (double)WS_SECOND;
}

static void become_leader(void)
{
	struct ws_ed_map m = { .epoch = 0 };

	ws_ed_lead_on_read(&lead, now, now, &m, 0, &fx);
	ws_ed_map_free(&m);
	run(WARM_UP, NULL);
	ck_assert(ws_ed_lead_valid(&lead, now));
}

static const struct surge surges[] = {
	{ "200 keys, 40 %", 20000, 200, 0.40 },
	{ "60 keys, 39 %", 40000, 60, 0.39 },
	{ "one key, 16 %", 51001, 1, 0.16 },
	{ "60 keys elsewhere", 9000, 60, 0.39 },
};

#define N_SURGES (sizeof(surges) / sizeof(surges[0]))

/*
 * Guards against surges that outlast the placement by more requests than those
 * of the time aimed at, and against keys that go back and forth.
 */
START_TEST(surge_is_spread_within_a_second)
{
	struct result out[N_SURGES][2];
	size_t i;
	int p;

	for (p = 0; p < 2; p++) {
		setup(156, 0.45, p);
		become_leader();
		for (i = 0; i < N_SURGES; i++) {
			replay(&surges[i]);
			out[i][p] = res;
			run(2 * WS_SECOND, NULL);
		}
	}
	for (i = 0; i < N_SURGES; i++)
		for (p = 0; p < 2; p++)
			printf("%s, %s: %.0f requests beyond capacity of at most %.0f, %lld ms, %u keys moved, %u back\n",
			       surges[i].name, p ? "unmetered" : "metered",
			       out[i][p].beyond, beyond_max(&surges[i]),
			       (long long)(out[i][p].time / WS_MS),
			       out[i][p].moves, out[i][p].moves_back);
	fflush(stdout);
	for (i = 0; i < N_SURGES; i++) {
		ck_assert_double_le(out[i][1].beyond, beyond_max(&surges[i]));
		ck_assert_uint_eq(out[i][1].moves_back, 0);
	}
}
END_TEST

/* Guards against servers that own nothing when the first requests arrive. */
START_TEST(first_placement_waits_for_servers_that_register)
{
	size_t i;

	setup(79, 0.45, true);
	ws_ed_lead_on_read(&lead, now, now, &(struct ws_ed_map){ .epoch = 0 },
			   0, &fx);
	run(2400 * WS_MS, NULL);
	for (i = 79; i < 145; i++) {
		add_server(i);
		run(30 * WS_MS, NULL);
	}
	run(1500 * WS_MS, NULL);
	for (i = 0; i < pool.n; i++) {
		size_t r;
		bool owns = false;

		for (r = 0; r < lead.n_ranges; r++)
			owns |= lead.ranges[r].server == pool.servers[i].id;
		ck_assert(owns);
	}
}
END_TEST

static void time_of_tick(size_t servers)
{
	struct timespec a;
	struct timespec b;
	double ms;
	int i;

	setup(servers, 0.45, true);
	become_leader();
	run(WS_SECOND, &surges[0]);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &a);
	for (i = 0; i < 20; i++) {
		lead.next_balance = 0;
		ws_ed_balance_tick(&lead, now, &fx);
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &b);
	ms = (double)(b.tv_sec - a.tv_sec) * 1e3 +
	     (double)(b.tv_nsec - a.tv_nsec) / 1e6;
	printf("%zu servers, %zu ranges: %.2f ms a tick\n", servers,
	       lead.n_ranges, ms / 20.0);
	fx.n = 0;
}

START_TEST(tick_takes_little_time)
{
	time_of_tick(200);
	time_of_tick(SERVERS_MAX);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		surge_is_spread_within_a_second,
		first_placement_waits_for_servers_that_register,
		tick_takes_little_time,
	};

	return ed_suite_run("ed_balance_hot", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
