#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "ed_suite.h"
#include "edge/ws_ed_admit.h"
#include "edge/ws_ed_issuer.h"

/*
 * Permits: single decisions, and replays of a server that many instances send
 * to, beside instances that decide alone by reports.
 */

#define SERVER 9
#define SLOTS 3
#define QUEUE 12
#define WORK (94 * WS_MS)
#define OBJECTIVE (500 * WS_MS)
#define DEADLINE (3 * WS_SECOND)
#define RETRIES 2
#define ONE_WAY (2 * WS_MS)
#define REPORT_AGE (150 * WS_MS)
#define ASKERS 26
#define STEP WS_MS
#define TICK (20 * WS_MS)
#define SEEDS 8
#define DECISIONS 100000
/* 1,500 decisions a second take at most 1.5 % of a core. */
#define DECISION_NS_MAX 10000.0
#define LOAD_FROM (2 * WS_SECOND)
#define END (15 * WS_SECOND)
#define REQUESTS_MAX 2048
#define USUAL_LOAD 0.5
#define LATE_SCORE 0.3
/* Without overload, permits may cost this much: they take a round trip. */
#define LEAST_OF_BASELINE 0.98
/* At most this fraction (1/N) of the callers with a booking is refused. */
#define REFUSED_AGAIN_DIVISOR 50

enum progress {
	RETURNS = 0, /* arrives, or is tried again, at its time */
	WAITS,
	TRAVELS,
	AT_SERVER, /* in the server's queue */
	RUNS,
	OVER,
};

struct request {
	enum progress state;
	ws_us at;
	ws_us arrived;
	ws_us waits_since;
	int tries;
	int asker;
};

struct replay {
	bool permits; /* false: each instance decides alone */
	double hot; /* load over what the server bears, while it is hot */
	ws_us hot_for;
	double slow; /* the server's slowness after LOAD_FROM */
	ws_us slow_for;
	ws_us dies_at; /* the first asker, with its permits; 0: never */
	/* Results */
	int in_time, late, refused, returned, again;
	uint64_t kept, broken; /* bookings */
	/* State */
	struct request items[REQUESTS_MAX];
	size_t n;
	int running, queued;
	unsigned reports[REPORT_AGE / STEP]; /* requests at the server */
	struct ws_rand arrivals;
	struct ws_rand rand;
	struct ws_ed_issuers issuers;
	struct ws_ed_permit_answers answers;
};

static const struct ws_ed_issuer_server usual = {
	.slots = SLOTS,
	.limit = SLOTS,
	.speed = 1.0,
	.pace = 1.0,
	.mean_pace = 1.0,
};

static double random_fraction(struct ws_rand *r)
{
	return (double)ws_rand_below(r, 1000) / 1000.0;
}

static double slowness(const struct replay *r, ws_us now)
{
	bool slow = now >= LOAD_FROM && now < LOAD_FROM + r->slow_for;

	return slow ? r->slow : 1.0;
}

static bool is_dead(const struct replay *r, int asker, ws_us now)
{
	return r->dies_at && now >= r->dies_at && asker == 0;
}

static struct ws_ed_issuer_server view(const struct replay *r, ws_us now)
{
	struct ws_ed_issuer_server s = usual;

	s.pace = slowness(r, now);
	return s;
}

static void refuse(struct replay *r, struct request *q, ws_us now, ws_us after)
{
	ws_us left = q->arrived + DEADLINE - now;

	r->again += q->tries > 0;
	q->state = OVER;
	if (q->tries++ == RETRIES || left <= WORK) {
		r->refused++;
		return;
	}
	r->returned++;
	q->state = RETURNS;
	q->at = now + (after < left / 3 ? after : left / 3);
}

static void go(struct request *q, ws_us now)
{
	q->state = TRAVELS;
	q->at = now + 2 * ONE_WAY;
}

static void apply_answers(struct replay *r, ws_us now)
{
	size_t i;

	for (i = 0; i < r->answers.n; i++) {
		struct ws_ed_permit_answer *a = &r->answers.items[i];
		struct request *q = &r->items[a->ref.call];

		if (a->verdict == WS_ED_PERMIT_GRANTED)
			go(q, now);
		else if (a->verdict == WS_ED_PERMIT_REFUSED)
			refuse(r, q, now, a->retry_after);
		else
			q->state = WAITS;
	}
	r->answers.n = 0;
}

static void decide_alone(struct replay *r, struct request *q, ws_us now)
{
	double at = r->reports[now / STEP % (REPORT_AGE / STEP)];
	double load = (at + 1.0) / SLOTS;
	struct ws_ed_admit_input in = {
		.time_left = q->arrived + DEADLINE - now,
		.objective_left = q->arrived + OBJECTIVE - now,
		.objective = OBJECTIVE,
		.waited = now - q->waits_since,
		.expected_latency = (ws_us)((load > 1.0 ? load : 1.0) *
					    (double)WORK * slowness(r, now)),
		.load = load,
		.random = random_fraction(&r->rand),
		.is_retry = q->tries > 0,
	};

	switch (ws_ed_admit(&in)) {
	case WS_ED_ADMIT_SEND:
		go(q, now);
		break;
	case WS_ED_ADMIT_WAIT:
		q->state = WAITS;
		break;
	default:
		refuse(r, q, now,
		       ws_ed_admit_retry_after(&in, random_fraction(&r->rand)));
		break;
	}
}

static void ask(struct replay *r, size_t i, ws_us now)
{
	const struct request *q = &r->items[i];
	const struct ws_ed_issuer_server s = view(r, now);
	const struct ws_ed_ask a = {
		.ref = { .asker = (ws_id)q->asker + 1, .call = i },
		.fingerprint = i / 2 + 1, /* two callers share one */
		.work = (double)WORK,
		.objective = OBJECTIVE,
		.objective_left = q->arrived + OBJECTIVE - now,
		.time_left = q->arrived + DEADLINE - now,
		.is_retry = q->tries > 0,
	};

	ws_ed_issuer_ask(&r->issuers, now, SERVER, &s, &a, &r->answers);
	apply_answers(r, now);
}

static void tell_end(struct replay *r, size_t i, ws_us now, bool served)
{
	const struct ws_ed_issuer_server s = view(r, now);
	const struct ws_ed_permit_end end = {
		.ref = { .asker = (ws_id)r->items[i].asker + 1, .call = i },
		.sent = true,
		.served = served,
		.has_report = served,
		.running = (uint32_t)(r->running + served),
		.waiting = (uint32_t)r->queued,
	};

	if (!r->permits || is_dead(r, r->items[i].asker, now))
		return;
	ws_ed_issuer_ended(&r->issuers, now, SERVER, &s, &end, &r->answers);
	apply_answers(r, now);
}

static void move_on(struct replay *r, size_t i, ws_us now)
{
	struct request *q = &r->items[i];

	if (q->state == RETURNS && q->at <= now) {
		q->waits_since = now;
		if (r->permits)
			ask(r, i, now);
		else
			decide_alone(r, q, now);
	} else if (q->state == WAITS && !r->permits) {
		decide_alone(r, q, now);
	} else if (q->state == TRAVELS && q->at <= now) {
		if (r->running + r->queued == SLOTS + QUEUE) {
			tell_end(r, i, now, false);
			refuse(r, q, now, WORK);
			return;
		}
		q->state = AT_SERVER;
		r->queued++;
	} else if (q->state == RUNS && q->at <= now) {
		r->running--;
		q->state = OVER;
		*(q->at - q->arrived <= OBJECTIVE ? &r->in_time : &r->late) +=
			1;
		tell_end(r, i, now, true);
	}
	if (q->state == AT_SERVER && r->running < SLOTS) {
		q->state = RUNS;
		q->at = now + (ws_us)((0.5 + random_fraction(&r->rand)) *
				      (double)WORK * slowness(r, now));
		r->running++;
		r->queued--;
	}
}

static void arrive(struct replay *r, ws_us now)
{
	bool hot = now >= LOAD_FROM && now < LOAD_FROM + r->hot_for;
	double load = hot ? r->hot : USUAL_LOAD;

	if (now > END - DEADLINE || r->n == REQUESTS_MAX ||
	    random_fraction(&r->arrivals) >=
		    load * SLOTS * (double)STEP / (double)WORK)
		return;
	r->items[r->n++] = (struct request){
		.at = now,
		.arrived = now,
		.asker = (int)ws_rand_below(&r->arrivals, ASKERS),
	};
	/* Callers of the one that has died go elsewhere. */
	if (is_dead(r, r->items[r->n - 1].asker, now))
		r->items[r->n - 1].asker++;
}

static void add_results(struct replay *total, const struct replay *r)
{
	total->n += r->n;
	total->in_time += r->in_time;
	total->late += r->late;
	total->refused += r->refused;
	total->returned += r->returned;
	total->again += r->again;
	total->kept += r->issuers.kept;
	total->broken += r->issuers.broken;
}

static void print(const struct replay *r, const char *load, const char *policy)
{
	printf("%s, %s: of %zu in time %d, late %d, refused %d; returned %d, "
	       "refused again %d, with a booking %" PRIu64 " of %" PRIu64 "\n",
	       load, policy, r->n, r->in_time, r->late, r->refused, r->returned,
	       r->again, r->broken, r->broken + r->kept);
	fflush(stdout);
}

/* Each caller's last answer falls into exactly one of the results. */
static void play(struct replay *total, const struct replay *load, bool permits,
		 uint64_t seed)
{
	static struct replay r;
	ws_us now;
	size_t i;

	r = *load;
	r.permits = permits;
	ws_rand_seed(&r.rand, seed);
	ws_rand_seed(&r.arrivals, seed + SEEDS);
	for (now = STEP; now < END; now += STEP) {
		const struct ws_ed_issuer_server s = view(&r, now);

		arrive(&r, now);
		for (i = 0; i < r.n; i++)
			move_on(&r, i, now);
		r.reports[now / STEP % (REPORT_AGE / STEP)] =
			(unsigned)(r.running + r.queued);
		if (r.permits && now % TICK == 0) {
			ws_ed_issuer_tick(&r.issuers, now, SERVER, &s,
					  &r.answers);
			apply_answers(&r, now);
		}
	}
	ck_assert_int_eq(r.in_time + r.late + r.refused, (int)r.n);
	ck_assert_double_lt(ws_ed_issuer_busy(&r.issuers, END, SERVER), 1.0);
	add_results(total, &r);
	ws_ed_issuers_free(&r.issuers);
	ws_ed_permit_answers_free(&r.answers);
}

/* Plays a load with both policies; the results are totals of all seeds. */
static void compare(struct replay *permits, struct replay *alone,
		    const struct replay *load, const char *name)
{
	uint64_t seed;

	memset(permits, 0, sizeof(*permits));
	memset(alone, 0, sizeof(*alone));
	for (seed = 1; seed <= SEEDS; seed++) {
		play(permits, load, true, seed);
		play(alone, load, false, seed);
	}
	print(permits, name, "permits");
	print(alone, name, "alone");
}

static struct replay with_permits;
static struct replay alone_by_reports;

static double score(const struct replay *r)
{
	return (double)r->in_time + LATE_SCORE * (double)r->late;
}

/* Guards against a queue at the owner of a hot key in which all are late. */
START_TEST(hot_key_is_answered_in_time)
{
	const struct replay load = { .hot = 3.0, .hot_for = 5 * WS_SECOND };

	compare(&with_permits, &alone_by_reports, &load, "hot key");
	ck_assert_int_gt(with_permits.in_time, alone_by_reports.in_time);
	ck_assert_uint_le(with_permits.broken * REFUSED_AGAIN_DIVISOR,
			  with_permits.kept);
}
END_TEST

START_TEST(slow_server_is_not_flooded)
{
	const struct replay load = { .hot = 0.9,
				     .hot_for = 5 * WS_SECOND,
				     .slow = 3.0,
				     .slow_for = 400 * WS_MS };

	compare(&with_permits, &alone_by_reports, &load, "slow server");
	ck_assert_double_ge(score(&with_permits),
			    LEAST_OF_BASELINE * score(&alone_by_reports));
}
END_TEST

/* Guards against permits that stay open after their holder has died. */
START_TEST(permits_of_dead_asker_return)
{
	const struct replay load = { .hot = 0.9,
				     .hot_for = 5 * WS_SECOND,
				     .dies_at = 4 * WS_SECOND };

	compare(&with_permits, &alone_by_reports, &load, "dead asker");
	ck_assert_double_ge(score(&with_permits),
			    LEAST_OF_BASELINE * score(&alone_by_reports));
}
END_TEST

/* Guards against a decision whose cost grows with the askers or servers. */
START_TEST(cost_of_decision_is_bounded)
{
	static const struct {
		int askers;
		int servers;
	} sizes[] = {
		{ 26, 20 }, { 58, 20 }, { 300, 20 }, { 300, 200 }, { 300, 500 }
	};
	struct ws_ed_permit_answers out = { NULL, 0, 0 };
	size_t k;

	for (k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		struct ws_ed_issuers is = { .n = 0 };
		clock_t start = clock();
		uint64_t i;
		double ns;

		for (i = 0; i < DECISIONS; i++) {
			struct ws_ed_ask a = {
				.work = (double)WORK,
				.objective = OBJECTIVE,
				.objective_left = OBJECTIVE,
				.time_left = DEADLINE,
				.fingerprint = i + 1,
			};
			ws_us t = STEP + (ws_us)i * 100 / sizes[k].servers;

			a.ref.asker = i % (uint64_t)sizes[k].askers + 1;
			a.ref.call = i;
			ws_ed_issuer_ask(&is, t,
					 i % (uint64_t)sizes[k].servers + 1,
					 &usual, &a, &out);
			out.n = 0;
		}
		ns = (double)(clock() - start) / CLOCKS_PER_SEC * 1e9 /
		     DECISIONS;
		printf("%d askers, %d servers: %.0f ns a decision\n",
		       sizes[k].askers, sizes[k].servers, ns);
		fflush(stdout);
		ck_assert_double_lt(ns, DECISION_NS_MAX);
		ws_ed_issuers_free(&is);
	}
	ws_ed_permit_answers_free(&out);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		hot_key_is_answered_in_time,
		slow_server_is_not_flooded,
		permits_of_dead_asker_return,
		cost_of_decision_is_bounded,
	};

	return ed_suite_run("ed_issuer", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
