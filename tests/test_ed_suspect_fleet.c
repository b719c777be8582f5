#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_fleet.h"
#include "ed_suite.h"
#include "seed_range.h"

/*
 * Requests that crash the servers that run them, at many instances, and
 * requests that were only at servers that crashed.
 */

/* The platform's bounds: time after a disruption, retries after that time. */
#define CONTACT (3 * WS_SECOND)
#define RETRIES_MAX 3
#define CRASHES_ALLOWED 3
#define CRASHING 4711
#define FIRST_REFUSED 100000
/* The list drops a crashed server after up to three of its heartbeats. */
#define LIST_DELAY_MAX (5300 * WS_MS)

/* ===== What a new process knows ===== */

static void refuse_everywhere(int n)
{
	int i;
	int k;

	for (i = 0; i < fleet.n; i++)
		for (k = 0; k < n; k++)
			fleet_report_strikes(i, i ? 0 : 1,
					     FIRST_REFUSED + (uint64_t)k);
}

static int count_sent(int i, int n)
{
	int sent = 0;
	int k;

	for (k = 0; k < n; k++) {
		size_t id = fleet_submit_as(i, FIRST_REFUSED + (uint64_t)k);

		sent += fleet.requests[id].reason != WS_EDR_QUARANTINED;
	}
	return sent;
}

static const int fleet_sizes[] = { 2, 5, 10, 85, 295 };
#define FLEET_SIZES 5
#define MANY_REFUSED 300

/*
 * Guards against a process that crashes servers again after its restart,
 * because it learns of one refused request in each heartbeat only (BUDGET).
 */
START_TEST(restarted_instance_knows_refused_requests)
{
	int n = fleet_sizes[_i];
	int sent;

	fleet_start(n, false);
	fleet_run(5 * WS_SECOND, 0.0);
	refuse_everywhere(MANY_REFUSED);
	fleet_run(WS_SECOND, 0.0);
	fleet_stop(n - 1, WS_SECOND);
	fleet_run(WS_SECOND + CONTACT, 0.0);
	sent = count_sent(n - 1, MANY_REFUSED);
	ck_assert_msg(!sent, "%d of %d sent, %d instances", sent, MANY_REFUSED,
		      n);
}
END_TEST

/* The same for an instance that was cut off while they became refused. */
START_TEST(instance_knows_refused_requests_after_a_cut)
{
	int n = fleet_sizes[_i];
	int sent;
	int i;
	int k;

	fleet_start(n, false);
	fleet_run(5 * WS_SECOND, 0.0);
	fleet.nodes[n - 1].cut_until = fleet.now + 5 * WS_SECOND;
	for (i = 0; i < n - 1; i++)
		for (k = 0; k < MANY_REFUSED; k++)
			fleet_report_strikes(i, n - 1,
					     FIRST_REFUSED + (uint64_t)k);
	fleet_run(5 * WS_SECOND + CONTACT, 0.0);
	sent = count_sent(n - 1, MANY_REFUSED);
	ck_assert_msg(!sent, "%d of %d sent, %d instances", sent, MANY_REFUSED,
		      n);
}
END_TEST

/* ===== Requests that become refused while they are here ===== */

#define SUBMITTED 8

/*
 * Guards against a request that has been refused meanwhile and is sent from the
 * queue, as this was checked on arrival and after a lost connection only.
 */
START_TEST(request_that_becomes_refused_is_not_sent_again)
{
	size_t ids[SUBMITTED];
	int k;

	fleet_start(2, false);
	fleet_run(5 * WS_SECOND, 20.0);
	/* Most connections are refused, so that requests go to the queue. */
	for (k = 0; k < FLEET_SERVERS - 1; k++)
		fleet_crash_server(k);
	for (k = 0; k < SUBMITTED; k++) {
		ids[k] = fleet_submit_as(0, FIRST_REFUSED + (uint64_t)k);
		ck_assert(fleet.requests[ids[k]].sent);
		fleet_report_strikes(0, 1, FIRST_REFUSED + (uint64_t)k);
	}
	fleet_run(WS_SECOND, 0.0);
	for (k = 0; k < SUBMITTED; k++)
		ck_assert_int_eq(fleet.requests[ids[k]].sends, 1);
}
END_TEST

/* The server of a request takes longer than usual. */
static void delay_answer(size_t id, ws_us time)
{
	size_t k;

	for (k = 0; k < FLEET_PENDING_MAX; k++)
		if (fleet.pending[k].at && fleet.pending[k].request == id)
			fleet.pending[k].at += time;
}

/* The same for a second send while the first one takes long. */
START_TEST(late_request_that_becomes_refused_is_not_hedged)
{
	size_t id[2];
	int i;

	fleet_start(2, false);
	fleet_run(5 * WS_SECOND, 100.0);
	for (i = 0; i < 2; i++) {
		id[i] = fleet_submit_as(0, FIRST_REFUSED + (uint64_t)i);
		ck_assert(fleet.requests[id[i]].sent);
		delay_answer(id[i], 600 * WS_MS);
	}
	fleet_report_strikes(0, 1, FIRST_REFUSED);
	fleet_run(400 * WS_MS, 20.0);
	ck_assert_int_eq(fleet.requests[id[0]].sends, 1);
	ck_assert_int_eq(fleet.requests[id[1]].sends, 2);
}
END_TEST

/* ===== Answers ===== */

/* The answer of a request at its server becomes another one. */
static void set_end(size_t id, enum ws_ed_end end)
{
	size_t k;

	for (k = 0; k < FLEET_PENDING_MAX; k++)
		if (fleet.pending[k].at && fleet.pending[k].request == id)
			fleet.pending[k].end = end;
}

/*
 * Guards against a request that goes on crashing servers because one of them
 * failed it without running it, or at its deadline.
 */
START_TEST(failure_does_not_clear_a_request)
{
	static const enum ws_ed_end ends[] = { WS_ED_END_FAILED, WS_ED_END_OK };
	size_t id;

	fleet_start(2, false);
	fleet_run(5 * WS_SECOND, 20.0);
	id = fleet_submit_as(0, FIRST_REFUSED);
	set_end(id, ends[_i]);
	fleet_report_strikes(0, 1, FIRST_REFUSED);
	fleet_run(WS_SECOND, 0.0);
	id = fleet_submit_as(0, FIRST_REFUSED);
	ck_assert_int_eq(fleet.requests[id].sent, ends[_i] == WS_ED_END_OK);
}
END_TEST

#define FREQUENT 4712
#define FREQUENT_PERIOD (20 * WS_MS)
/* Of a part of the servers at once, as in the loss of a zone */
#define CRASHED 6
#define SERVED_WITHIN (3 * WS_SECOND)

/*
 * Guards against a request of many callers that is refused for minutes since it
 * was at several of the servers that crashed together, although others answer
 * it: the answers counted at the instances that got them only, and the others
 * reported the strikes again.
 */
START_TEST(frequent_request_is_served_after_unrelated_crashes)
{
	static const int instances[] = { 3, 10, 85 };
	int owed = 0;
	int served = 0;
	ws_us since;
	size_t first = 0;
	size_t k;
	int i;

	fleet.n_servers = 24;
	fleet_start(instances[_i], false);
	fleet.list_delay = LIST_DELAY_MAX;
	fleet_run(5 * WS_SECOND, 50.0);
	since = fleet.now;
	while (fleet.now < since + WS_SECOND + SERVED_WITHIN + 2 * WS_SECOND) {
		if (fleet.now == since + WS_SECOND)
			for (i = 0; i < CRASHED; i++)
				fleet_crash_server(i);
		if (fleet.now == since + WS_SECOND + SERVED_WITHIN)
			first = fleet.n_requests + 1;
		if ((fleet.now - since) % FREQUENT_PERIOD == 0)
			fleet_submit_as((int)ws_rand_below(&fleet.rand,
							   (uint64_t)fleet.n),
					FREQUENT);
		fleet_run(FLEET_STEP, 50.0);
	}
	fleet_run(WS_SECOND, 0.0);
	for (k = first; k <= fleet.n_requests; k++) {
		if (fleet.requests[k].fingerprint != FREQUENT)
			continue;
		owed++;
		served += fleet.requests[k].answered;
	}
	ck_assert_msg(served * 100 >= owed * 95,
		      "%d of %d served, %d instances", served, owed, fleet.n);
}
END_TEST

/* ===== A request that crashes servers, among troubles ===== */

#define DAY_TIME (20 * WS_SECOND)
#define TROUBLES_MAX 6
#define SEEDS 120

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

int main(void)
{
	const TTest *const each[] = {
		restarted_instance_knows_refused_requests,
		instance_knows_refused_requests_after_a_cut,
	};
	const TTest *const answers[] = {
		failure_does_not_clear_a_request,
	};
	const TTest *const frequent[] = {
		frequent_request_is_served_after_unrelated_crashes,
	};
	const TTest *const tests[] = {
		request_that_becomes_refused_is_not_sent_again,
		late_request_that_becomes_refused_is_not_hedged,
		crashing_request_ends_few_servers,
	};
	int failed =
		ed_suite_run_each("ed_suspect_fleet", each, 2, FLEET_SIZES);

	failed |= ed_suite_run_each("ed_suspect_answers", answers, 1, 2);
	failed |= ed_suite_run_each("ed_suspect_frequent", frequent, 1, 3);
	return ed_suite_run("ed_suspect_days", tests, 3) || failed;
}
