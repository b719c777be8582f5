#include <stdio.h>
#include <stdlib.h>

#include "ed_fleet.h"
#include "ed_suite.h"

/*
 * Requests that crash the servers that run them, at many instances, and
 * requests that were only at servers that crashed.
 */

/* The platform's bounds: time after a disruption, retries after that time. */
#define CONTACT (3 * WS_SECOND)
#define RETRIES_MAX 3
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

/* ===== Trials ===== */

#define SERVED_AGAIN (35 * WS_SECOND)
#define TRIED_CASES 12

/*
 * Guards against a request of few callers that is refused for minutes because
 * it was at two servers that crashed for another reason.
 */
START_TEST(rare_request_is_served_again_soon)
{
	static const int instances[] = { 2, 10, 85 };
	size_t id;
	int i;

	fleet_start(instances[_i], false);
	fleet_run(5 * WS_SECOND, 20.0);
	for (i = 0; i < fleet.n; i++)
		fleet_report_strikes(i, i ? 0 : 1, FIRST_REFUSED);
	fleet_run(WS_SECOND, 20.0);
	id = fleet_submit_as(0, FIRST_REFUSED);
	ck_assert_int_eq(fleet.requests[id].reason, WS_EDR_QUARANTINED);
	fleet_run(SERVED_AGAIN, 20.0);
	/* The caller's next attempt arrives at another instance. */
	fleet_submit_as(1, FIRST_REFUSED);
	fleet_run(CONTACT, 20.0);
	for (i = 0; i < fleet.n; i++) {
		id = fleet_submit_as(i, FIRST_REFUSED);
		ck_assert_msg(fleet.requests[id].sent, "instance %d refuses it",
			      i);
	}
}
END_TEST

/*
 * Guards against trials at several instances: a request that crashes servers
 * may reach them in few retries only, however often it arrives.
 */
START_TEST(crashing_request_is_tried_rarely)
{
	static const struct {
		int instances;
		int rate; /* requests/s */
	} cases[TRIED_CASES] = {
		{ 3, 1 },   { 3, 5 },	{ 3, 40 },   { 10, 1 },
		{ 10, 5 },  { 10, 40 }, { 10, 200 }, { 85, 1 },
		{ 85, 10 }, { 85, 40 }, { 85, 200 }, { 295, 40 },
	};
	int rate = cases[_i].rate;
	ws_us since;
	int owed = 0;
	int i;

	fleet.n_servers = 24;
	fleet_start(cases[_i].instances, false);
	fleet.list_delay = LIST_DELAY_MAX;
	fleet.crashing = CRASHING;
	fleet_run(5 * WS_SECOND, 0.0);
	for (i = 0; i < fleet.n; i++)
		fleet_report_strikes(i, i ? 0 : 1, CRASHING);
	since = fleet.now;
	while (fleet.now < since + 60 * WS_SECOND) {
		for (owed += rate; owed >= 100; owed -= 100)
			fleet_submit_as((int)ws_rand_below(&fleet.rand,
							   (uint64_t)fleet.n),
					CRASHING);
		fleet_run(FLEET_STEP, 0.0);
	}
	ck_assert_msg(fleet.n_crash_sends <= RETRIES_MAX,
		      "%zu sends, %d instances, %d/s", fleet.n_crash_sends,
		      fleet.n, rate);
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
	const TTest *const rare[] = {
		rare_request_is_served_again_soon,
	};
	const TTest *const tried[] = {
		crashing_request_is_tried_rarely,
	};
	const TTest *const tests[] = {
		request_that_becomes_refused_is_not_sent_again,
		late_request_that_becomes_refused_is_not_hedged,
	};
	int failed =
		ed_suite_run_each("ed_suspect_fleet", each, 2, FLEET_SIZES);

	failed |= ed_suite_run_each("ed_suspect_answers", answers, 1, 2);
	failed |= ed_suite_run_each("ed_suspect_frequent", frequent, 1, 3);
	failed |= ed_suite_run_each("ed_suspect_rare", rare, 1, 3);
	failed |= ed_suite_run_each("ed_suspect_tried", tried, 1, TRIED_CASES);
	return ed_suite_run("ed_suspect_sends", tests, 2) || failed;
}
