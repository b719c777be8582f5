#include <stdio.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_lead_int.h"

/*
 * Ranges of keys at servers: grants, renewals, releases.
 */

#define RENEW_PERIOD (800 * WS_MS)
/* With many ranges, so that a small instance can lead; two tries a lease. */
#define RENEW_PERIOD_MANY (1300 * WS_MS)
#define RANGES_MANY 40
#define CALL_RETRY (200 * WS_MS)
/* A server that lets its lease run out gets no keys for this time. */
#define KEYS_REFUSED (2 * WS_SECOND)
/* Failed grants in a row after which a lapsed lease counts as lost. */
#define FAILURES_MAX 2
/* Neighbouring ranges of one server are joined when both are this old. */
#define JOIN_AGE (4 * WS_SECOND)

struct ws_ed_hold *ws_ed_hold_add(struct ws_ed_lead *l)
{
	struct ws_ed_hold *h;

	ws_grow(&l->holds, &l->cap_holds, l->n_holds + 1, sizeof(*l->holds));
	h = &l->holds[l->n_holds++];
	memset(h, 0, sizeof(*h));
	return h;
}

void ws_ed_hold_set_server(struct ws_ed_hold *h, const struct ws_ed_server *s)
{
	h->server = s->id;
	h->born_ms = s->born_ms;
	memcpy(h->name, s->name, sizeof(h->name));
	memcpy(h->address, s->address, sizeof(h->address));
}

void ws_ed_hold_split(struct ws_ed_lead *l, size_t index, uint32_t last)
{
	struct ws_ed_hold *second = ws_ed_hold_add(l);
	struct ws_ed_hold *first = &l->holds[index];

	WS_INVARIANT(first->from <= last && last < first->to);
	*second = *first;
	second->from = last + 1;
	first->to = last;
	/* An answer to a call for the whole range counts for the first part. */
	if (second->ref && second->granting)
		second->unanswered_until = second->held_until;
	second->ref = 0;
	if (first->state == WS_EDH_OWNED) {
		first->fence = ws_ed_lead_next_fence(l);
		second->fence = ws_ed_lead_next_fence(l);
		first->next_call = 0;
		second->next_call = 0;
	}
}

void ws_ed_hold_give_up(struct ws_ed_hold *h, ws_us now)
{
	h->state = WS_EDH_RELEASING;
	h->changed = now;
	h->next_call = now;
	h->failures = 0;
}

/* Time from which the server can no longer hold the keys. */
static ws_us end_of(const struct ws_ed_lead *l, const struct ws_ed_hold *h)
{
	ws_us end;

	if (!h->inherited)
		return h->held_until;
	if (!l->confirmed)
		return INT64_MAX;
	end = l->confirmed + WS_ED_LEASE + WS_EDH_HOLD_END;
	return end > h->held_until ? end : h->held_until;
}

static void call(struct ws_ed_lead *l, struct ws_ed_hold *h, uint8_t kind,
		 struct ws_ed_fx *fx)
{
	struct ws_ed_key_call *c = &ws_ed_fx_add(fx, kind)->u.call;

	h->ref = ++l->next_ref;
	h->granting = kind == WS_EDFX_GRANT;
	c->ref = h->ref;
	memcpy(c->name, h->name, sizeof(c->name));
	memcpy(c->address, h->address, sizeof(c->address));
	c->from = h->from;
	c->to = h->to;
	c->fence = h->fence;
	if (!h->granting)
		return;
	c->hold = WS_EDH_HOLD;
	memcpy(c->handover, h->handover, sizeof(c->handover));
}

static void grant(struct ws_ed_lead *l, struct ws_ed_hold *h, ws_us now,
		  struct ws_ed_fx *fx)
{
	ws_us end = now + WS_EDH_HOLD_END;

	call(l, h, WS_EDFX_GRANT, fx);
	h->next_call = now + (l->n_holds > RANGES_MANY ? RENEW_PERIOD_MANY :
							 RENEW_PERIOD);
	if (end > h->held_until)
		h->held_until = end;
}

static void set_free(struct ws_ed_lead *l, struct ws_ed_hold *h, ws_us now)
{
	h->state = WS_EDH_FREE;
	h->changed = now;
	h->ref = 0;
	h->inherited = false;
	l->next_balance = 0;
}

static void lose(struct ws_ed_lead *l, struct ws_ed_hold *h, ws_us now,
		 struct ws_ed_fx *fx)
{
	int32_t s = ws_ed_pool_find(l->pool, h->server);

	if (s >= 0)
		l->pool->servers[s].keys_refused_until = now + KEYS_REFUSED;
	ws_ed_fx_log(fx, WS_LOG_KEYS_LOST, h->server, h->from, h->name);
	h->handover[0] = '\0';
	set_free(l, h, now);
}

static void tick_owned(struct ws_ed_lead *l, struct ws_ed_hold *h, ws_us now,
		       struct ws_ed_fx *fx)
{
	int32_t s = ws_ed_pool_find(l->pool, h->server);
	bool usable = s >= 0 && ws_ed_pool_usable(l->pool, now, (uint32_t)s);

	if (s >= 0 && l->pool->servers[s].born_ms != h->born_ms) {
		/* A new life of the server, which holds nothing. */
		ws_ed_hold_set_server(h, &l->pool->servers[s]);
		h->fence = ws_ed_lead_next_fence(l);
		h->next_call = now;
	}
	if (ws_ed_lead_may_move(l, now) && now >= end_of(l, h) &&
	    (!h->address[0] || h->failures >= FAILURES_MAX)) {
		lose(l, h, now, fx);
		return;
	}
	/* A grant with the own token keeps a former leader from renewing. */
	if (!usable && !h->inherited && ws_ed_lead_may_move(l, now)) {
		ws_ed_hold_give_up(h, now);
		return;
	}
	if (!h->ref && now >= h->next_call && h->address[0])
		grant(l, h, now, fx);
}

static void tick_releasing(struct ws_ed_lead *l, struct ws_ed_hold *h,
			   ws_us now, struct ws_ed_fx *fx)
{
	if (now >= end_of(l, h)) {
		set_free(l, h, now);
		return;
	}
	if (!h->ref && now >= h->next_call) {
		call(l, h, WS_EDFX_RELEASE, fx);
		h->next_call = now + CALL_RETRY;
	}
}

/* Joins a hold with its neighbour behind it, if both are quiet. */
static bool join_next(struct ws_ed_lead *l, size_t i, ws_us now)
{
	struct ws_ed_hold *a = &l->holds[i];
	size_t j;

	if (a->state != WS_EDH_OWNED || a->ref || a->inherited ||
	    now - a->changed < JOIN_AGE)
		return false;
	for (j = 0; j < l->n_holds; j++) {
		struct ws_ed_hold *b = &l->holds[j];

		if (b->from != a->to + 1 || b->service != a->service ||
		    b->server != a->server || b->state != WS_EDH_OWNED ||
		    b->ref || b->inherited || now - b->changed < JOIN_AGE)
			continue;
		a->to = b->to;
		if (b->held_until > a->held_until)
			a->held_until = b->held_until;
		if (b->unanswered_until > a->unanswered_until)
			a->unanswered_until = b->unanswered_until;
		a->fence = ws_ed_lead_next_fence(l);
		a->next_call = now;
		l->holds[j] = l->holds[--l->n_holds];
		return true;
	}
	return false;
}

void ws_ed_holds_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	size_t i;

	for (i = 0; i < l->n_holds; i++) {
		struct ws_ed_hold *h = &l->holds[i];

		if (h->state == WS_EDH_OWNED)
			tick_owned(l, h, now, fx);
		else if (h->state == WS_EDH_RELEASING)
			tick_releasing(l, h, now, fx);
	}
	/* One join a tick suffices, and keeps the indexes simple. */
	for (i = 0; i < l->n_holds; i++)
		if (join_next(l, i, now))
			break;
}

/* ===== Answers ===== */

static void granted(struct ws_ed_lead *l, struct ws_ed_hold *h, ws_us now,
		    enum ws_ed_call_end end)
{
	switch (end) {
	case WS_EDC_DONE:
		h->held_until = now + WS_EDH_HOLD_END;
		h->failures = 0;
		h->inherited = false;
		h->handover[0] = '\0';
		return;
	case WS_EDC_FENCED:
		h->fence = ws_ed_lead_next_fence(l);
		break;
	case WS_EDC_FAILED:
		/* The server may still carry it out. */
		h->unanswered_until = now + WS_EDH_HOLD_END;
		if (h->unanswered_until > h->held_until)
			h->held_until = h->unanswered_until;
		break;
	default:
		break;
	}
	h->failures++;
	h->next_call = now + CALL_RETRY;
}

static void released(struct ws_ed_lead *l, struct ws_ed_hold *h, ws_us now,
		     enum ws_ed_call_end end, const char *handover)
{
	if (end != WS_EDC_DONE) {
		h->failures++;
		return;
	}
	snprintf(h->handover, sizeof(h->handover), "%s", handover);
	h->held_until = h->unanswered_until;
	h->inherited = false;
	h->next_call = INT64_MAX;
	if (now >= h->held_until)
		set_free(l, h, now);
}

void ws_ed_lead_called(struct ws_ed_lead *l, ws_us now, uint64_t ref,
		       enum ws_ed_call_end end, const char *handover,
		       struct ws_ed_fx *fx)
{
	size_t i;

	for (i = 0; i < l->n_holds; i++) {
		struct ws_ed_hold *h = &l->holds[i];

		if (h->ref != ref)
			continue;
		h->ref = 0;
		if (h->granting)
			granted(l, h, now, end);
		else
			released(l, h, now, end, handover);
		if (end == WS_EDC_FENCED)
			ws_ed_fx_log(fx, WS_LOG_GRANT_REFUSED, h->server,
				     h->from, h->name);
		return;
	}
}
