#include "edge/ws_ed_suspect.h"

#include <string.h>

#include "edge/ws_ed_refused.h"

/* A crash is detected within this time, by a check or by the list. */
#define CRASH_DETECTION_TIME (3 * WS_SECOND)
/* A process that ends may close its connections before its listening socket. */
#define CHECK_DELAY (50 * WS_MS)

void ws_ed_suspects_init(struct ws_ed_suspects *s)
{
	memset(s, 0, sizeof(*s));
	ws_ed_struck_init(&s->struck, WS_ED_STRUCK_REQUESTS_MAX);
}

void ws_ed_suspects_free(struct ws_ed_suspects *s)
{
	ws_ed_struck_free(&s->struck);
	memset(s, 0, sizeof(*s));
}

static void remove_suspect(struct ws_ed_suspects *s, size_t i)
{
	s->n--;
	memmove(&s->items[i], &s->items[i + 1],
		(s->n - i) * sizeof(s->items[0]));
}

static void schedule_check(struct ws_ed_suspects *s, ws_us now, ws_id server,
			   int64_t started_ms)
{
	size_t i;

	for (i = 0; i < s->n_checks; i++)
		if (s->checks[i].server == server)
			return;
	if (s->n_checks == WS_ED_CHECKS_MAX)
		return;
	s->checks[s->n_checks++] = (struct ws_ed_check){
		.server = server,
		.started_ms = started_ms,
		.due_at = now + CHECK_DELAY,
	};
}

bool ws_ed_suspects_next_check(struct ws_ed_suspects *s, ws_us now,
			       ws_id *server, int64_t *started_ms)
{
	if (!s->n_checks || now < s->checks[0].due_at)
		return false;
	*server = s->checks[0].server;
	*started_ms = s->checks[0].started_ms;
	s->n_checks--;
	memmove(s->checks, s->checks + 1, s->n_checks * sizeof(s->checks[0]));
	return true;
}

void ws_ed_suspects_add(struct ws_ed_suspects *s, ws_us now, uint64_t request,
			ws_id server, int64_t started_ms)
{
	if (s->n == WS_ED_SUSPECTS_MAX)
		remove_suspect(s, 0);
	s->items[s->n++] = (struct ws_ed_suspect){
		.request = request,
		.server = server,
		.started_ms = started_ms,
		.broken_at = now,
	};
	schedule_check(s, now, server, started_ms);
}

static bool is_queued(const struct ws_ed_strike_queue *q,
		      const struct ws_ed_strike *k)
{
	size_t i;

	for (i = 0; i < q->n; i++)
		if (q->items[i].strike.request == k->request &&
		    q->items[i].strike.crash == k->crash)
			return true;
	return false;
}

static void enqueue(struct ws_ed_strike_queue *q, const struct ws_ed_strike *k)
{
	if (is_queued(q, k))
		return;
	if (q->n == WS_ED_STRIKE_QUEUE_MAX) {
		q->n--;
		memmove(q->items, q->items + 1, q->n * sizeof(q->items[0]));
	}
	q->items[q->n++] = (struct ws_ed_queued_strike){
		.strike = *k,
		.rounds_left = WS_ED_STRIKE_ROUNDS,
	};
}

/* Moves on by one heartbeat with room for max; @return the new n. */
static uint32_t dequeue(struct ws_ed_strike_queue *q, uint32_t n, uint32_t max,
			struct ws_ed_strike *strikes)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < q->n; i++) {
		struct ws_ed_queued_strike *k = &q->items[i];

		if (n < max) {
			strikes[n++] = k->strike;
			k->rounds_left--;
		}
		if (k->rounds_left)
			q->items[kept++] = *k;
	}
	q->n = kept;
	return n;
}

/* @return true if the request is refused from now on */
static bool add_strike(struct ws_ed_suspects *s, ws_us now,
		       const struct ws_ed_strike *k, ws_us expires_in,
		       bool sends)
{
	bool was_refused = ws_ed_suspects_refuses(s, now, k->request);

	switch (ws_ed_struck_add(&s->struck, now, k, expires_in)) {
	case WS_ED_STRIKE_ADDED:
		if (sends)
			enqueue(&s->strikes, k);
		return !was_refused &&
		       ws_ed_suspects_refuses(s, now, k->request);
	case WS_ED_STRIKE_CLEARED:
		/* Whoever has sent it lacks the clearance. */
		enqueue(&s->clearances, k);
		return false;
	default:
		return false;
	}
}

void ws_ed_suspects_on_crash(struct ws_ed_suspects *s, ws_us now, ws_id server,
			     struct ws_ed_crash *out)
{
	size_t i = 0;

	out->n_struck = 0;
	out->n_refused = 0;
	while (i < s->n) {
		const struct ws_ed_suspect *item = &s->items[i];
		struct ws_ed_strike k = {
			.request = item->request,
			.crash = ws_mix(item->server,
					(uint64_t)item->started_ms),
		};

		if (item->server != server) {
			i++;
			continue;
		}
		remove_suspect(s, i);
		out->n_struck++;
		if (add_strike(s, now, &k, WS_ED_REFUSED_TIME, true))
			out->refused[out->n_refused++] = k.request;
	}
}

bool ws_ed_suspects_on_strike(struct ws_ed_suspects *s, ws_us now,
			      const struct ws_ed_strike *k, bool forwards)
{
	return add_strike(s, now, k, WS_ED_REFUSED_TIME, forwards);
}

bool ws_ed_suspects_on_refused(struct ws_ed_suspects *s, ws_us now,
			       const struct ws_ed_refused_item *item)
{
	bool refused = false;
	uint32_t i;

	for (i = 0; i < item->n; i++) {
		const struct ws_ed_strike k = {
			.request = item->request,
			.crash = item->crashes[i],
		};

		refused |= add_strike(
			s, now, &k, (ws_us)item->expires_in * WS_SECOND, false);
	}
	return refused;
}

static void clear_strikes(struct ws_ed_suspects *s, ws_us now,
			  const struct ws_ed_struck *struck)
{
	const struct ws_ed_struck all = *struck;
	uint32_t i;

	for (i = 0; i < all.n; i++) {
		const struct ws_ed_strike k = {
			.request = all.request,
			.crash = all.crashes[i],
		};

		if (ws_ed_struck_clear(&s->struck, now, &k))
			enqueue(&s->clearances, &k);
	}
}

unsigned ws_ed_suspects_clear(struct ws_ed_suspects *s, ws_us now,
			      uint64_t request)
{
	const struct ws_ed_struck *struck =
		ws_ed_struck_find(&s->struck, now, request);
	unsigned strikes = struck ? struck->n : 0;
	size_t i = 0;

	while (i < s->n)
		if (s->items[i].request == request)
			remove_suspect(s, i);
		else
			i++;
	if (strikes)
		clear_strikes(s, now, struck);
	return strikes;
}

bool ws_ed_suspects_on_clearance(struct ws_ed_suspects *s, ws_us now,
				 const struct ws_ed_strike *k, bool forwards)
{
	bool was_refused = ws_ed_suspects_refuses(s, now, k->request);

	if (!ws_ed_struck_clear(&s->struck, now, k))
		return false;
	if (forwards)
		enqueue(&s->clearances, k);
	return was_refused && !ws_ed_suspects_refuses(s, now, k->request);
}

bool ws_ed_suspects_refuses(const struct ws_ed_suspects *s, ws_us now,
			    uint64_t request)
{
	return ws_ed_struck_refused(
		ws_ed_struck_find(&s->struck, now, request));
}

uint32_t ws_ed_suspects_strikes(const struct ws_ed_suspects *s, ws_us now,
				uint64_t request)
{
	const struct ws_ed_struck *r =
		ws_ed_struck_find(&s->struck, now, request);

	return r ? r->n : 0;
}

/* ===== Trials ===== */

bool ws_ed_suspects_may_try(struct ws_ed_suspects *s, ws_us now,
			    uint64_t request, bool preferred)
{
	struct ws_ed_struck *r = ws_ed_struck_find(&s->struck, now, request);
	bool is_first;

	if (!ws_ed_struck_refused(r))
		return false;
	is_first = !r->asked_for;
	r->asked_for = true;
	return r->n == WS_ED_STRIKES_TO_REFUSE &&
	       now - r->refused_since >= WS_ED_TRIAL_AFTER &&
	       (is_first || preferred);
}

void ws_ed_suspects_try(struct ws_ed_suspects *s, ws_us now,
			const struct ws_ed_strike *trial)
{
	add_strike(s, now, trial, WS_ED_REFUSED_TIME, true);
}

void ws_ed_suspects_undo_trial(struct ws_ed_suspects *s, ws_us now,
			       const struct ws_ed_strike *trial)
{
	if (ws_ed_struck_clear(&s->struck, now, trial))
		enqueue(&s->clearances, trial);
}

/* ===== Sending ===== */

/* Adds the strikes against the next request that is refused. */
static uint32_t add_refused(struct ws_ed_suspects *s, ws_us now,
			    struct ws_ed_strike *strikes)
{
	uint32_t slot = ws_ed_struck_next(&s->struck, now, s->next_refused);
	const struct ws_ed_struck *r;
	uint32_t i;

	if (slot == WS_SLOT_NONE)
		slot = ws_ed_struck_next(&s->struck, now, 0);
	if (slot == WS_SLOT_NONE)
		return 0;
	s->next_refused = slot + 1;
	r = &s->struck.items[slot];
	for (i = 0; i < WS_ED_STRIKES_TO_REFUSE; i++)
		strikes[i] = (struct ws_ed_strike){
			.request = r->request,
			.crash = r->crashes[i],
		};
	return i;
}

uint32_t ws_ed_suspects_next_strikes(struct ws_ed_suspects *s, ws_us now,
				     struct ws_ed_strike *strikes)
{
	return dequeue(&s->strikes, add_refused(s, now, strikes),
		       WS_ED_STRIKES_MAX, strikes);
}

uint32_t ws_ed_suspects_next_clearances(struct ws_ed_suspects *s, uint32_t max,
					struct ws_ed_strike *strikes)
{
	return dequeue(&s->clearances, 0, max, strikes);
}

bool ws_ed_suspects_expire(struct ws_ed_suspects *s, ws_us now,
			   struct ws_ed_suspect *dropped)
{
	if (!s->n || now - s->items[0].broken_at <= CRASH_DETECTION_TIME)
		return false;
	*dropped = s->items[0];
	remove_suspect(s, 0);
	return true;
}
