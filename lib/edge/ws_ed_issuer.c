#include "edge/ws_ed_issuer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Permitted requests above the limit: one waits at the server, so that it does
 * not idle for the time of a round trip.
 */
#define AHEAD 1.0
/* An answer is in time if expected within this fraction of what is left. */
#define IN_TIME_FRACTION 0.9
/* The same for a priority below the highest one that asks. */
#define IN_TIME_FRACTION_LOWER 0.6
/* Grants of the highest priority after which a lower one is its equal. */
#define GRANTS_BEFORE_LOWER 6
/* Time without a request after which a priority no longer counts. */
#define PRIORITY_TIME (1 * WS_SECOND)
/* Callers wait for at most this fraction (1/N) of the time they have left. */
#define RETURN_TIME_DIVISOR 3
#define RETRY_AFTER_MIN (40 * WS_MS)
/*
 * A permit whose end is not told counts for this multiple of the expected time;
 * after that the server's reports tell whether it is still there.
 */
#define PERMIT_FACTOR 4.0
#define PERMIT_TIME_MIN (250 * WS_MS)
/* A report counts for this time. */
#define REPORT_TIME (150 * WS_MS)
/* What was permitted this shortly before a report may not be in it. */
#define REPORT_DELAY (20 * WS_MS)
/* A server that nobody asks for is forgotten after this time. */
#define IDLE_TIME (10 * WS_SECOND)

/* Permits of a server, open and queued, that are kept at most. */
#define PERMITS_MAX 512
/* Time constant of the demand on a server. */
#define DEMAND_TAU (500.0 * (double)WS_MS)

/* Time for which the present pace of a machine is expected to last. */
#define PACE_TIME (200.0 * (double)WS_MS)

enum permit_state {
	PERMIT_FREE = 0,
	PERMIT_WAITS,
	PERMIT_OPEN,
};

struct permit {
	struct ws_ed_permit_ref ref;
	uint8_t state;
	bool booked; /* its caller returned when told */
	uint32_t priority;
	uint64_t fingerprint;
	double work;
	ws_us objective_at;
	ws_us end_at;
	ws_us hold_until; /* if it is late */
	ws_us granted_at;
	ws_us expires_at; /* OPEN */
};

struct ws_ed_issuer {
	ws_id server;
	struct permit *items;
	size_t n;
	size_t cap;
	ws_us used_at;
	uint32_t reported; /* requests at the server by its last report */
	ws_us reported_at; /* 0: never */
	uint32_t top_priority; /* the highest that asked lately */
	ws_us top_at;
	unsigned top_grants; /* since the last one of a lower priority */
	double demand; /* of requests that can be in time, slots */
	ws_us demand_at;
	struct ws_ed_calendar calendar;
};

/* ===== Tables ===== */

void ws_ed_issuers_free(struct ws_ed_issuers *is)
{
	size_t i;

	for (i = 0; i < is->n; i++)
		free(is->items[i].items);
	free(is->items);
	memset(is, 0, sizeof(*is));
}

void ws_ed_permit_answers_free(struct ws_ed_permit_answers *a)
{
	free(a->items);
	memset(a, 0, sizeof(*a));
}

static struct ws_ed_issuer *find_issuer(const struct ws_ed_issuers *is,
					ws_id server)
{
	size_t i;

	for (i = 0; i < is->n; i++)
		if (is->items[i].server == server)
			return &is->items[i];
	return NULL;
}

static struct ws_ed_issuer *get_issuer(struct ws_ed_issuers *is, ws_id server)
{
	struct ws_ed_issuer *r = find_issuer(is, server);

	if (r)
		return r;
	ws_grow(&is->items, &is->cap, is->n + 1, sizeof(*is->items));
	r = &is->items[is->n++];
	memset(r, 0, sizeof(*r));
	r->server = server;
	return r;
}

ws_id ws_ed_issuers_server(const struct ws_ed_issuers *is, size_t i)
{
	return is->items[i].server;
}

static void remove_issuer(struct ws_ed_issuers *is, struct ws_ed_issuer *r)
{
	free(r->items);
	*r = is->items[--is->n];
}

void ws_ed_issuer_forget(struct ws_ed_issuers *is, ws_id server)
{
	struct ws_ed_issuer *r = find_issuer(is, server);

	if (r)
		remove_issuer(is, r);
}

static struct permit *find_permit(const struct ws_ed_issuer *r,
				  const struct ws_ed_permit_ref *ref)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (r->items[i].ref.asker == ref->asker &&
		    r->items[i].ref.call == ref->call)
			return &r->items[i];
	return NULL;
}

static void drop_permit(struct ws_ed_issuer *r, struct permit *p)
{
	*p = r->items[--r->n];
}

static struct ws_ed_permit_answer *
add_answer(struct ws_ed_permit_answers *out, const struct ws_ed_issuer *r,
	   const struct ws_ed_permit_ref *ref)
{
	ws_grow(&out->items, &out->cap, out->n + 1, sizeof(*out->items));
	out->items[out->n] = (struct ws_ed_permit_answer){
		.ref = *ref,
		.server = r->server,
	};
	return &out->items[out->n++];
}

/* ===== Estimates ===== */

/* A machine that is slow now is expected to be so for some time only. */
static double time_of(const struct ws_ed_issuer_server *s, double work)
{
	double usual = work / s->speed;
	double done = PACE_TIME / s->pace;

	if (usual <= done)
		return usual * s->pace;
	return PACE_TIME + (usual - done) * s->mean_pace;
}

static bool has_report(const struct ws_ed_issuer *r, ws_us now)
{
	return r->reported_at && now - r->reported_at <= REPORT_TIME;
}

/*
 * Requests at the server. Permits that were granted long enough before the last
 * report are in it; if it counts fewer, the others have ended, and if it counts
 * more than all permits, these were sent without one.
 */
static double busy_of(const struct ws_ed_issuer *r, ws_us now)
{
	size_t before = 0;
	size_t about = 0; /* may be in the report */
	size_t after = 0;
	size_t unexpired = 0;
	size_t i;

	for (i = 0; i < r->n; i++) {
		const struct permit *p = &r->items[i];

		if (p->state != PERMIT_OPEN)
			continue;
		unexpired += p->expires_at > now;
		if (p->granted_at > r->reported_at)
			after++;
		else if (p->granted_at > r->reported_at - REPORT_DELAY)
			about++;
		else
			before++;
	}
	if (!has_report(r, now))
		return (double)unexpired;
	if (before > r->reported)
		return (double)(r->reported + about + after);
	if (before + about > r->reported)
		return (double)(before + about + after);
	return (double)(r->reported + after);
}

double ws_ed_issuer_busy(const struct ws_ed_issuers *is, ws_us now,
			 ws_id server)
{
	const struct ws_ed_issuer *r = find_issuer(is, server);

	return r ? busy_of(r, now) : 0.0;
}

static double slots_of(const struct ws_ed_issuer_server *s)
{
	return s->limit < (double)s->slots ? s->limit : (double)s->slots;
}

static bool is_late(const struct ws_ed_issuer_server *s, ws_us now,
		    const struct permit *p)
{
	return now + (ws_us)time_of(s, p->work) > p->objective_at;
}

/*
 * Whether a request may be at the server now. One that is late anyway does not
 * wait there in front of others.
 */
static bool has_room(const struct ws_ed_issuer *r, ws_us now,
		     const struct ws_ed_issuer_server *s,
		     const struct permit *p)
{
	return busy_of(r, now) < s->limit + (is_late(s, now, p) ? 0.0 : AHEAD);
}

/* Slots that new requests leave free, on average. */
static double free_slots(const struct ws_ed_issuer *r, ws_us now,
			 const struct ws_ed_issuer_server *s)
{
	double age = (double)(now - r->demand_at) / DEMAND_TAU;

	return slots_of(s) - r->demand * exp(-age);
}

static void note_demand(struct ws_ed_issuer *r, ws_us now,
			const struct ws_ed_issuer_server *s,
			const struct ws_ed_ask *ask)
{
	double time = time_of(s, ask->work);
	double age = (double)(now - r->demand_at) / DEMAND_TAU;

	if (time > (double)ask->objective_left)
		return;
	r->demand = r->demand * exp(-age) + time / DEMAND_TAU;
	r->demand_at = now;
}

/* Whether a queued permit goes before another one. */
static bool goes_before(const struct ws_ed_issuer_server *s, ws_us now,
			const struct permit *a, const struct permit *b)
{
	bool a_late = is_late(s, now, a);
	bool b_late = is_late(s, now, b);

	if (a->booked != b->booked)
		return a->booked;
	if (a_late != b_late)
		return b_late;
	return a->objective_at < b->objective_at;
}

/* Work of one slot until a permit that is queued, or about to be, may begin. */
static double work_before(const struct ws_ed_issuer *r, ws_us now,
			  const struct ws_ed_issuer_server *s,
			  const struct permit *p)
{
	double slots = slots_of(s);
	double ahead = busy_of(r, now) - slots + 1.0;
	double work = ahead > 0.0 ? ahead * p->work : 0.0;
	size_t i;

	for (i = 0; i < r->n; i++) {
		const struct permit *q = &r->items[i];

		if (q->state == PERMIT_WAITS && q != p &&
		    goes_before(s, now, q, p))
			work += q->work;
	}
	if (!p->booked)
		work += s->speed *
			ws_ed_calendar_booked(
				&r->calendar, now,
				now + (ws_us)time_of(s, work / slots));
	return work / slots;
}

/* Time until it may begin. */
static double wait_of(const struct ws_ed_issuer *r, ws_us now,
		      const struct ws_ed_issuer_server *s,
		      const struct permit *p)
{
	return time_of(s, work_before(r, now, s, p));
}

/* Time until it is answered. */
static double expected_of(const struct ws_ed_issuer *r, ws_us now,
			  const struct ws_ed_issuer_server *s,
			  const struct permit *p)
{
	return time_of(s, work_before(r, now, s, p) + p->work);
}

static bool is_lower(const struct ws_ed_issuer *r, const struct permit *p)
{
	return p->priority > r->top_priority &&
	       r->top_grants < GRANTS_BEFORE_LOWER;
}

/*
 * Whether a request is worth queueing. A late one is if it is answered before
 * its caller would return.
 */
static bool may_wait(const struct ws_ed_issuer *r, ws_us now,
		     const struct ws_ed_issuer_server *s,
		     const struct permit *p, double expected)
{
	double part = is_lower(r, p) ? IN_TIME_FRACTION_LOWER :
				       IN_TIME_FRACTION;

	if (is_late(s, now, p))
		return expected <= (double)(p->hold_until - now);
	return expected <= part * (double)(p->objective_at - now);
}

/* ===== Decisions ===== */

static void grant(struct ws_ed_issuers *is, struct ws_ed_issuer *r, ws_us now,
		  const struct ws_ed_issuer_server *s, struct permit *p,
		  struct ws_ed_permit_answers *out)
{
	struct ws_ed_permit_answer *a = add_answer(out, r, &p->ref);
	ws_us time = (ws_us)(PERMIT_FACTOR * time_of(s, p->work));

	if (time < PERMIT_TIME_MIN)
		time = PERMIT_TIME_MIN;
	p->state = PERMIT_OPEN;
	p->granted_at = now;
	p->expires_at = now + time;
	if (p->priority <= r->top_priority)
		r->top_grants++;
	else
		r->top_grants = 0;
	is->granted++;
	is->kept += p->booked;
	a->verdict = WS_ED_PERMIT_GRANTED;
	a->expected = (ws_us)time_of(s, p->work);
}

/* Refuses a request and drops it. */
static void refuse(struct ws_ed_issuers *is, struct ws_ed_issuer *r, ws_us now,
		   const struct ws_ed_issuer_server *s, struct permit *p,
		   struct ws_ed_permit_answers *out)
{
	struct ws_ed_permit_answer *a = add_answer(out, r, &p->ref);
	ws_us wait = (ws_us)wait_of(r, now, s, p);
	ws_us latest = now + (p->end_at - now) / RETURN_TIME_DIVISOR;
	ws_us at = ws_ed_calendar_book(&r->calendar, now, now + wait,
				       time_of(s, p->work),
				       free_slots(r, now, s), latest,
				       p->fingerprint);

	is->broken += p->booked;
	a->booked = at != 0;
	if (!at)
		at = latest;
	if (at < now + RETRY_AFTER_MIN)
		at = now + RETRY_AFTER_MIN;
	is->refused++;
	a->verdict = WS_ED_PERMIT_REFUSED;
	a->retry_after = at - now;
	drop_permit(r, p);
}

static struct permit *next_waiting(struct ws_ed_issuer *r, ws_us now,
				   const struct ws_ed_issuer_server *s)
{
	struct permit *best = NULL;
	size_t i;

	for (i = 0; i < r->n; i++)
		if (r->items[i].state == PERMIT_WAITS &&
		    (!best || goes_before(s, now, &r->items[i], best)))
			best = &r->items[i];
	return best;
}

/* Refuses what can't be answered any more, or has been late for too long. */
static void refuse_late(struct ws_ed_issuers *is, struct ws_ed_issuer *r,
			ws_us now, const struct ws_ed_issuer_server *s,
			struct ws_ed_permit_answers *out)
{
	size_t i = 0;

	while (i < r->n) {
		struct permit *p = &r->items[i];
		ws_us done_at = now + (ws_us)time_of(s, p->work);

		if (p->state == PERMIT_WAITS &&
		    (done_at > p->end_at ||
		     (now >= p->hold_until && is_late(s, now, p))))
			refuse(is, r, now, s, p, out);
		else
			i++;
	}
}

static void grant_waiting(struct ws_ed_issuers *is, struct ws_ed_issuer *r,
			  ws_us now, const struct ws_ed_issuer_server *s,
			  struct ws_ed_permit_answers *out)
{
	struct permit *p;

	refuse_late(is, r, now, s, out);
	while ((p = next_waiting(r, now, s)) && has_room(r, now, s, p))
		grant(is, r, now, s, p, out);
}

static void repeat_answer(const struct ws_ed_issuer *r, ws_us now,
			  const struct ws_ed_issuer_server *s,
			  const struct permit *p,
			  struct ws_ed_permit_answers *out)
{
	struct ws_ed_permit_answer *a = add_answer(out, r, &p->ref);

	a->verdict = p->state == PERMIT_OPEN ? WS_ED_PERMIT_GRANTED :
					       WS_ED_PERMIT_QUEUED;
	a->expected = (ws_us)(p->state == PERMIT_WAITS ?
				      expected_of(r, now, s, p) :
				      time_of(s, p->work));
}

static struct permit *add_permit(struct ws_ed_issuer *r, ws_us now,
				 const struct ws_ed_ask *ask)
{
	ws_grow(&r->items, &r->cap, r->n + 1, sizeof(*r->items));
	r->items[r->n] = (struct permit){
		.ref = ask->ref,
		.state = PERMIT_FREE,
		.booked = ws_ed_calendar_take(&r->calendar, now,
					      ask->fingerprint),
		.priority = ask->priority,
		.fingerprint = ask->fingerprint,
		.work = ask->work,
		.objective_at = now + ask->objective_left,
		.end_at = now + ask->time_left,
		.hold_until = now + ask->time_left / RETURN_TIME_DIVISOR,
	};
	if (ask->priority <= r->top_priority ||
	    now - r->top_at > PRIORITY_TIME || !r->top_at) {
		r->top_priority = ask->priority;
		r->top_at = now;
	}
	return &r->items[r->n++];
}

void ws_ed_issuer_ask(struct ws_ed_issuers *is, ws_us now, ws_id server,
		      const struct ws_ed_issuer_server *s,
		      const struct ws_ed_ask *ask,
		      struct ws_ed_permit_answers *out)
{
	struct ws_ed_issuer *r = get_issuer(is, server);
	struct permit *p = find_permit(r, &ask->ref);
	double expected;

	r->used_at = now;
	if (p) {
		repeat_answer(r, now, s, p, out);
		return;
	}
	ws_ed_calendar_tick(&r->calendar, now);
	grant_waiting(is, r, now, s, out);
	note_demand(r, now, s, ask);
	p = add_permit(r, now, ask);
	if (has_room(r, now, s, p)) {
		grant(is, r, now, s, p, out);
		return;
	}
	expected = expected_of(r, now, s, p);
	if (expected > IN_TIME_FRACTION * (double)ask->time_left ||
	    r->n > PERMITS_MAX ||
	    (!p->booked && !may_wait(r, now, s, p, expected))) {
		refuse(is, r, now, s, p, out);
		return;
	}
	p->state = PERMIT_WAITS;
	is->queued++;
	repeat_answer(r, now, s, p, out);
}

void ws_ed_issuer_ended(struct ws_ed_issuers *is, ws_us now, ws_id server,
			const struct ws_ed_issuer_server *s,
			const struct ws_ed_permit_end *end,
			struct ws_ed_permit_answers *out)
{
	struct ws_ed_issuer *r = find_issuer(is, server);
	struct permit *p;

	if (!r)
		return;
	p = find_permit(r, &end->ref);
	if (p)
		drop_permit(r, p);
	if (p && end->sent && !end->has_report && r->reported)
		r->reported--;
	if (end->has_report) {
		r->reported = end->running + end->waiting;
		if (end->served && r->reported)
			r->reported--;
		r->reported_at = now;
	}
	grant_waiting(is, r, now, s, out);
}

void ws_ed_issuer_tick(struct ws_ed_issuers *is, ws_us now, ws_id server,
		       const struct ws_ed_issuer_server *s,
		       struct ws_ed_permit_answers *out)
{
	struct ws_ed_issuer *r = find_issuer(is, server);
	size_t i = 0;

	if (!r)
		return;
	while (i < r->n) {
		struct permit *p = &r->items[i];

		if (p->state == PERMIT_OPEN && now >= p->end_at) {
			is->expired++;
			drop_permit(r, p);
		} else {
			i++;
		}
	}
	ws_ed_calendar_tick(&r->calendar, now);
	grant_waiting(is, r, now, s, out);
	if (r->n || now - r->used_at < IDLE_TIME)
		return;
	remove_issuer(is, r);
}

void ws_ed_issuer_asker_lost(struct ws_ed_issuers *is, ws_us now, ws_id asker)
{
	size_t i;
	size_t j;

	(void)now;
	for (i = 0; i < is->n; i++) {
		struct ws_ed_issuer *r = &is->items[i];

		for (j = 0; j < r->n;) {
			if (r->items[j].ref.asker == asker)
				drop_permit(r, &r->items[j]);
			else
				j++;
		}
	}
}
