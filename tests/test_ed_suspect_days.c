#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_fleet.h"
#include "ed_suite.h"
#include "seed_range.h"

/*
 * A request that crashes the servers that run it, among kills, cuts, freezes of
 * instances and outages of the store.
 */

/* The platform's bounds: time after a disruption, retries after that time. */
#define CONTACT (3 * WS_SECOND)
#define RETRIES_MAX 3
#define CRASHES_ALLOWED 3
#define CRASHING 4711
/* The list drops a crashed server after up to three of its heartbeats. */
#define LIST_DELAY_MAX (5300 * WS_MS)

#define DAY_TIME (20 * WS_SECOND)
#define TROUBLES_MAX 6
#define SEEDS 60

enum trouble {
	TROUBLE_KILL,
	TROUBLE_CUT,
	TROUBLE_FREEZE,
	TROUBLE_STORE_DOWN,
	TROUBLE_COUNT,
};

struct day {
	int n;
	double per_s; /* of all requests */
	double crashing_per_s;
	struct {
		enum trouble kind;
		ws_us at;
		ws_us time;
	} troubles[TROUBLES_MAX];
	int n_troubles;
};

/* Until when an instance is excused, as it was disrupted. */
static ws_us excused_until[FLEET_INSTANCES_MAX];

static ws_us random_time(struct ws_rand *r, int from_ms, int to_ms)
{
	return (from_ms +
		(ws_us)ws_rand_below(r, (uint64_t)(to_ms - from_ms))) *
	       WS_MS;
}

static void draw_day(struct ws_rand *r, struct day *d)
{
	static const int instances[] = { 3, 10, 18, 40, 85 };
	static const double rates[] = { 0.5, 4.0, 20.0 };
	int i;

	memset(d, 0, sizeof(*d));
	d->n = instances[ws_rand_below(r, 5)];
	d->per_s = d->n * rates[ws_rand_below(r, 3)];
	if (d->per_s > 600.0)
		d->per_s = 600.0;
	d->crashing_per_s = 1.0 + (double)ws_rand_below(r, 9);
	d->n_troubles = (int)ws_rand_below(r, TROUBLES_MAX + 1);
	for (i = 0; i < d->n_troubles; i++) {
		d->troubles[i].kind =
			(enum trouble)ws_rand_below(r, TROUBLE_COUNT);
		d->troubles[i].at = random_time(r, 0, 14000);
		d->troubles[i].time = random_time(r, 500, 5000);
	}
}

static void excuse(int i, ws_us until)
{
	if (excused_until[i] < until)
		excused_until[i] = until;
}

static void begin_trouble(struct ws_rand *r, enum trouble kind, ws_us time)
{
	int count = 1 + (int)ws_rand_below(r, (uint64_t)(fleet.n + 1) / 2);
	ws_us end = fleet.now + time;

	if (kind == TROUBLE_STORE_DOWN) {
		fleet.store_down = true;
		return;
	}
	while (count--) {
		int i = (int)ws_rand_below(r, (uint64_t)fleet.n);

		if (!fleet.nodes[i].edge)
			continue;
		excuse(i, end + CONTACT);
		if (kind == TROUBLE_KILL)
			fleet_stop(i, time);
		else if (kind == TROUBLE_CUT)
			fleet.nodes[i].cut_until = end;
		else
			fleet.nodes[i].frozen_until = end;
	}
}

static void run_troubles(struct ws_rand *r, const struct day *d, ws_us since)
{
	ws_us passed = fleet.now - since;
	int i;

	fleet.store_down = false;
	for (i = 0; i < d->n_troubles; i++) {
		ws_us begun = passed - d->troubles[i].at;

		if (begun >= 0 && begun < FLEET_STEP)
			begin_trouble(r, d->troubles[i].kind,
				      d->troubles[i].time);
		if (d->troubles[i].kind == TROUBLE_STORE_DOWN && begun >= 0 &&
		    begun < d->troubles[i].time)
			fleet.store_down = true;
	}
}

/*
 * Sends by instances in touch, later than CONTACT after it has crashed as many
 * servers as it may.
 */
static int count_retries(void)
{
	ws_us from = FLEET_START + 3600 * WS_SECOND;
	size_t k;
	int n = 0;

	if (fleet.n_crashes >= CRASHES_ALLOWED)
		from = fleet.crashed_at[CRASHES_ALLOWED - 1] + CONTACT;
	for (k = 0; k < fleet.n_crash_sends; k++)
		n += fleet.crash_sends[k].at > from &&
		     fleet.crash_sends[k].in_touch;
	return n;
}

static void mark_in_touch(size_t first)
{
	size_t k;

	for (k = first; k < fleet.n_crash_sends; k++)
		fleet.crash_sends[k].in_touch =
			fleet.now >
			excused_until[fleet.crash_sends[k].instance];
}

static void submit_crashing(struct ws_rand *r)
{
	int i = (int)ws_rand_below(r, (uint64_t)fleet.n);

	if (fleet.nodes[i].edge && fleet.now >= fleet.nodes[i].frozen_until)
		fleet_submit_as(i, CRASHING);
}

static void play_day(uint64_t seed)
{
	struct ws_rand r;
	struct day d;
	ws_us since;
	double owed = 0.0;
	int retries;

	ws_rand_seed(&r, seed);
	draw_day(&r, &d);
	memset(excused_until, 0, sizeof(excused_until));
	fleet.n_servers = 24;
	fleet_start(d.n, false);
	fleet.list_delay = random_time(&r, 1700, LIST_DELAY_MAX / WS_MS);
	fleet_run(5 * WS_SECOND, d.per_s);
	fleet.crashing = CRASHING;
	since = fleet.now;
	while (fleet.now < since + DAY_TIME) {
		size_t sends = fleet.n_crash_sends;

		run_troubles(&r, &d, since);
		owed += d.crashing_per_s * (double)FLEET_STEP /
			(double)WS_SECOND;
		for (; owed >= 1.0; owed -= 1.0)
			submit_crashing(&r);
		fleet_run(FLEET_STEP, d.per_s);
		mark_in_touch(sends);
	}
	retries = count_retries();
	ck_assert_msg(retries <= RETRIES_MAX,
		      "seed %" PRIu64 ": %d retries, %zu crashes, "
		      "%d instances, %.0f requests/s, crashing %.0f/s",
		      seed, retries, fleet.n_crashes, d.n, d.per_s,
		      d.crashing_per_s);
}

/* Guards against a request that goes on crashing servers (BUDGET). */
START_TEST(crashing_request_ends_few_servers)
{
	struct seed_range s = seed_range_get(SEEDS);
	uint64_t seed;

	for (seed = s.first; seed <= s.last; seed++)
		play_day(seed);
}
END_TEST

/*
 * Crashes were not noticed: the list showed them too late, and no other request
 * of the instance went to the server. Seed 22 failed as well.
 */
START_TEST(crashes_are_noticed_without_other_traffic)
{
	static const uint64_t seeds[] = { 91, 117 };

	play_day(seeds[_i]);
}
END_TEST

int main(void)
{
	const TTest *const random[] = { crashing_request_ends_few_servers };
	const TTest *const known[] = {
		crashes_are_noticed_without_other_traffic
	};
	int failed = ed_suite_run_each("ed_suspect_days", known, 1, 2);

	return ed_suite_run("ed_suspect_days", random, 1) || failed;
}
