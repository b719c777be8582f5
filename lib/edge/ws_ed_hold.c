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

struct ws_ed_range *ws_ed_range_add(struct ws_ed_lead *l)
{
	struct ws_ed_range *h;

	ws_grow(&l->ranges, &l->cap_ranges, l->n_ranges + 1,
		sizeof(*l->ranges));
	h = &l->ranges[l->n_ranges++];
	memset(h, 0, sizeof(*h));
	return h;
}

void ws_ed_range_set_server(struct ws_ed_range *h, const struct ws_ed_server *s)
{
	h->server = s->id;
	h->born_ms = s->born_ms;
	memcpy(h->name, s->name, sizeof(h->name));
	memcpy(h->address, s->address, sizeof(h->address));
}

void ws_ed_range_split(struct ws_ed_lead *l, size_t index, uint32_t last)
{
	struct ws_ed_range *second = ws_ed_range_add(l);
	struct ws_ed_range *first = &l->ranges[index];

	WS_INVARIANT(first->from <= last && last < first->to);
	*second = *first;
	second->from = last + 1;
	first->to = last;
	/* An answer to a call for the whole range counts for the first part. */
	if (second->ref && second->call_is_grant)
		second->unconfirmed_until = second->lease_end;
	second->ref = 0;
	if (first->state == WS_EDR_OWNED) {
		first->fence = ws_ed_lead_next_fence(l);
		second->fence = ws_ed_lead_next_fence(l);
		first->next_call = 0;
		second->next_call = 0;
	}
}

void ws_ed_range_start_release(struct ws_ed_range *h, ws_us now)
{
	h->state = WS_EDR_RELEASING;
	h->changed_at = now;
	h->next_call = now;
	h->failures = 0;
}

/* Time from which the server can no longer hold the keys. */
static ws_us end_of(const struct ws_ed_lead *l, const struct ws_ed_range *h)
{
	ws_us end;

	if (!h->inherited)
		return h->lease_end;
	if (!l->confirmed_at)
		return INT64_MAX;
	end = l->confirmed_at + WS_ED_LEADER_LEASE + WS_ED_KEY_LEASE_BOUND;
	return end > h->lease_end ? end : h->lease_end;
}

static void call(struct ws_ed_lead *l, struct ws_ed_range *h, uint8_t kind,
		 struct ws_ed_fx *fx)
{
	struct ws_ed_key_call *c = &ws_ed_fx_add(fx, kind)->u.call;

	h->ref = ++l->next_ref;
	h->call_is_grant = kind == WS_EDFX_GRANT;
	c->ref = h->ref;
	memcpy(c->name, h->name, sizeof(c->name));
	memcpy(c->address, h->address, sizeof(c->address));
	c->from = h->from;
	c->to = h->to;
	c->fence = h->fence;
	if (!h->call_is_grant)
		return;
	c->hold = WS_ED_KEY_LEASE;
	memcpy(c->handover, h->handover, sizeof(c->handover));
}

static void grant(struct ws_ed_lead *l, struct ws_ed_range *h, ws_us now,
		  struct ws_ed_fx *fx)
{
	ws_us end = now + WS_ED_KEY_LEASE_BOUND;

	call(l, h, WS_EDFX_GRANT, fx);
	h->next_call = now + (l->n_ranges > RANGES_MANY ? RENEW_PERIOD_MANY :
							  RENEW_PERIOD);
	if (end > h->lease_end)
		h->lease_end = end;
}

static void set_free(struct ws_ed_lead *l, struct ws_ed_range *h, ws_us now)
{
	h->state = WS_EDR_FREE;
	h->changed_at = now;
	h->ref = 0;
	h->inherited = false;
	l->next_balance = 0;
}

static void lose(struct ws_ed_lead *l, struct ws_ed_range *h, ws_us now,
		 struct ws_ed_fx *fx)
{
	int32_t s = ws_ed_pool_find(l->pool, h->server);

	if (s >= 0)
		l->pool->servers[s].keys_refused_until = now + KEYS_REFUSED;
	ws_ed_fx_log(fx, WS_LOG_KEYS_LOST, h->server, h->from, h->name);
	h->handover[0] = '\0';
	set_free(l, h, now);
}

static void tick_owned(struct ws_ed_lead *l, struct ws_ed_range *h, ws_us now,
		       struct ws_ed_fx *fx)
{
	int32_t s = ws_ed_pool_find(l->pool, h->server);
	bool usable = s >= 0 && ws_ed_pool_usable(l->pool, now, (uint32_t)s);

	if (s >= 0 && l->pool->servers[s].born_ms != h->born_ms) {
		/* A new life of the server, which holds nothing. */
		ws_ed_range_set_server(h, &l->pool->servers[s]);
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
		ws_ed_range_start_release(h, now);
		return;
	}
	if (!h->ref && now >= h->next_call && h->address[0])
		grant(l, h, now, fx);
}

static void tick_releasing(struct ws_ed_lead *l, struct ws_ed_range *h,
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
	struct ws_ed_range *a = &l->ranges[i];
	size_t j;

	if (a->state != WS_EDR_OWNED || a->ref || a->inherited ||
	    now - a->changed_at < JOIN_AGE)
		return false;
	for (j = 0; j < l->n_ranges; j++) {
		struct ws_ed_range *b = &l->ranges[j];

		if (b->from != a->to + 1 || b->service != a->service ||
		    b->server != a->server || b->state != WS_EDR_OWNED ||
		    b->ref || b->inherited || now - b->changed_at < JOIN_AGE)
			continue;
		a->to = b->to;
		if (b->lease_end > a->lease_end)
			a->lease_end = b->lease_end;
		if (b->unconfirmed_until > a->unconfirmed_until)
			a->unconfirmed_until = b->unconfirmed_until;
		a->fence = ws_ed_lead_next_fence(l);
		a->next_call = now;
		l->ranges[j] = l->ranges[--l->n_ranges];
		return true;
	}
	return false;
}

void ws_ed_ranges_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *h = &l->ranges[i];

		if (h->state == WS_EDR_OWNED)
			tick_owned(l, h, now, fx);
		else if (h->state == WS_EDR_RELEASING)
			tick_releasing(l, h, now, fx);
	}
	/* One join a tick suffices, and keeps the indexes simple. */
	for (i = 0; i < l->n_ranges; i++)
		if (join_next(l, i, now))
			break;
}

/* ===== Answers ===== */

static void granted(struct ws_ed_lead *l, struct ws_ed_range *h, ws_us now,
		    enum ws_ed_call_result end)
{
	switch (end) {
	case WS_EDC_DONE:
		h->lease_end = now + WS_ED_KEY_LEASE_BOUND;
		h->failures = 0;
		h->inherited = false;
		h->handover[0] = '\0';
		return;
	case WS_EDC_FENCED:
		h->fence = ws_ed_lead_next_fence(l);
		break;
	case WS_EDC_FAILED:
		/* The server may still carry it out. */
		h->unconfirmed_until = now + WS_ED_KEY_LEASE_BOUND;
		if (h->unconfirmed_until > h->lease_end)
			h->lease_end = h->unconfirmed_until;
		break;
	default:
		break;
	}
	h->failures++;
	h->next_call = now + CALL_RETRY;
}

static void released(struct ws_ed_lead *l, struct ws_ed_range *h, ws_us now,
		     enum ws_ed_call_result end, const char *handover)
{
	if (end != WS_EDC_DONE) {
		h->failures++;
		return;
	}
	snprintf(h->handover, sizeof(h->handover), "%s", handover);
	h->lease_end = h->unconfirmed_until;
	h->inherited = false;
	h->next_call = INT64_MAX;
	if (now >= h->lease_end)
		set_free(l, h, now);
}

void ws_ed_lead_on_call_result(struct ws_ed_lead *l, ws_us now, uint64_t ref,
			       enum ws_ed_call_result end, const char *handover,
			       struct ws_ed_fx *fx)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *h = &l->ranges[i];

		if (h->ref != ref)
			continue;
		h->ref = 0;
		if (h->call_is_grant)
			granted(l, h, now, end);
		else
			released(l, h, now, end, handover);
		if (end == WS_EDC_FENCED)
			ws_ed_fx_log(fx, WS_LOG_GRANT_REFUSED, h->server,
				     h->from, h->name);
		return;
	}
}
