#include <stdio.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_lead_int.h"

/*
 * Leases of key ranges to servers: grants, renewals and releases.
 */

#define RENEW_PERIOD (800 * WS_MS)
/*
 * Renewal period with many ranges, so that a small instance can be the leader;
 * it leaves two attempts per lease.
 */
#define RENEW_PERIOD_MANY (1300 * WS_MS)
#define MANY_RANGES 40
#define CALL_RETRY (200 * WS_MS)
/*
 * Ticks over which the renewals of all ranges are spread. A new leader grants
 * all ranges at once, and would renew them at once from then on: it would look
 * for no input while it sends hundreds of calls.
 */
#define RENEWAL_TICKS 32
#define CALLS_PER_TICK_MIN 24
/* A server whose lease expired gets no keys for this time. */
#define KEYS_REFUSED_TIME (2 * WS_SECOND)
/* Consecutive failed grants after which an expired lease counts as lost. */
#define FAILURES_MAX 2
/* Evidence of the store older than this may be from before an outage. */
#define STORE_REACHED_MAX (500 * WS_MS)
/* Adjacent ranges of one server are merged when both are this old. */
#define MERGE_AGE (4 * WS_SECOND)
/* Ranges per tick for which the following one is looked for. */
#define MERGE_TRIES 16

struct ws_ed_range *ws_ed_range_add(struct ws_ed_lead *l)
{
	struct ws_ed_range *r;

	ws_grow(&l->ranges, &l->cap_ranges, l->n_ranges + 1,
		sizeof(*l->ranges));
	r = &l->ranges[l->n_ranges++];
	memset(r, 0, sizeof(*r));
	return r;
}

void ws_ed_range_set_server(struct ws_ed_range *r, const struct ws_ed_server *s)
{
	r->server = s->id;
	r->started_ms = s->started_ms;
	memcpy(r->name, s->name, sizeof(r->name));
	memcpy(r->address, s->address, sizeof(r->address));
}

void ws_ed_range_split(struct ws_ed_lead *l, size_t index, uint32_t last)
{
	struct ws_ed_range *second = ws_ed_range_add(l);
	struct ws_ed_range *first = &l->ranges[index];

	WS_INVARIANT(first->from <= last && last < first->to);
	*second = *first;
	second->from = last + 1;
	first->to = last;
	/* The result of a call in progress counts for the first part only. */
	if (second->ref && second->call_is_grant)
		second->unconfirmed_until = second->lease_end;
	second->ref = 0;
	if (first->state == WS_ED_RANGE_OWNED) {
		first->fence = ws_ed_lead_next_fence(l);
		second->fence = ws_ed_lead_next_fence(l);
		first->next_call = 0;
		second->next_call = 0;
	}
}

void ws_ed_range_start_release(struct ws_ed_range *r, ws_us now)
{
	r->state = WS_ED_RANGE_RELEASING;
	r->changed_at = now;
	r->next_call = now;
	r->failures = 0;
}

/* Time from which the server can no longer own the keys. */
static ws_us ownership_end(const struct ws_ed_lead *l,
			   const struct ws_ed_range *r)
{
	ws_us end;

	if (!r->former_leases)
		return r->lease_end;
	if (!l->confirmed_at)
		return INT64_MAX;
	end = l->confirmed_at + WS_ED_LEADER_LEASE + WS_ED_KEY_LEASE_BOUND;
	return end > r->lease_end ? end : r->lease_end;
}

/*
 * Renewals don't use up the calls of keys that are being moved, whose requests
 * wait.
 * @return false if the call has to wait for the next tick
 */
static bool may_call(struct ws_ed_lead *l, const struct ws_ed_range *r,
		     ws_us now)
{
	bool renews = r->state == WS_ED_RANGE_OWNED &&
		      (r->inherited || now < r->lease_end);
	size_t *left = renews ? &l->renewals_left : &l->moves_left;

	if (*left) {
		--*left;
		return true;
	}
	if (!l->calls_deferred)
		l->first_call = (size_t)(r - l->ranges);
	l->calls_deferred = true;
	return false;
}

static void send_call(struct ws_ed_lead *l, struct ws_ed_range *r, uint8_t kind,
		      struct ws_ed_fx *fx)
{
	struct ws_ed_key_call *c = &ws_ed_fx_add(fx, kind)->u.call;

	r->ref = ++l->next_ref;
	r->call_is_grant = kind == WS_EDFX_GRANT;
	c->ref = r->ref;
	c->server = r->server;
	c->started_ms = r->started_ms;
	memcpy(c->name, r->name, sizeof(c->name));
	memcpy(c->address, r->address, sizeof(c->address));
	c->from = r->from;
	c->to = r->to;
	c->fence = r->fence;
	if (!r->call_is_grant)
		return;
	c->lease_duration = WS_ED_KEY_LEASE;
	memcpy(c->handover, r->handover, sizeof(c->handover));
}

static void grant(struct ws_ed_lead *l, struct ws_ed_range *r, ws_us now,
		  struct ws_ed_fx *fx)
{
	ws_us end = now + WS_ED_KEY_LEASE_BOUND;

	send_call(l, r, WS_EDFX_GRANT, fx);
	r->lease_end_before = r->lease_end;
	r->next_call = now + (l->n_ranges > MANY_RANGES ? RENEW_PERIOD_MANY :
							  RENEW_PERIOD);
	if (end > r->lease_end)
		r->lease_end = end;
}

static void set_free(struct ws_ed_lead *l, struct ws_ed_range *r, ws_us now)
{
	r->state = WS_ED_RANGE_FREE;
	r->changed_at = now;
	r->ref = 0;
	r->inherited = false;
	r->former_leases = false;
	l->next_balance = 0;
}

static void mark_lost(struct ws_ed_lead *l, struct ws_ed_range *r, ws_us now,
		      struct ws_ed_fx *fx)
{
	int32_t s = ws_ed_pool_find(l->pool, r->server);

	if (s >= 0)
		l->pool->servers[s].keys_refused_until =
			now + KEYS_REFUSED_TIME;
	ws_ed_fx_log(fx, WS_LOG_KEYS_LOST, r->server, r->from, r->name);
	r->handover[0] = '\0';
	set_free(l, r, now);
}

/*
 * Whether the store has been reached since a server stated that it leaves. It
 * may be away though it was reached shortly before, so it is asked.
 */
static bool is_store_there(struct ws_ed_lead *l, ws_us now,
			   const struct ws_ed_server *s, struct ws_ed_fx *fx)
{
#ifdef WS_MUTANT_STORE_REACHED_BEFORE
	return ws_ed_lead_store_reachable(l, now);
#endif
	if (l->store_reached_at >= s->stated.leaving_since &&
	    now - l->store_reached_at < STORE_REACHED_MAX)
		return true;
	if (now >= l->next_store_check) {
		l->next_store_check = now + CALL_RETRY;
		ws_ed_fx_read(fx, WS_EDT_MAP);
	}
	return false;
}

/*
 * Whether a server that owns keys has to release them. One that only states
 * that it leaves keeps them while they can't get another owner, as its requests
 * are still served for a while.
 */
static bool must_release(struct ws_ed_lead *l, ws_us now, int32_t server,
			 struct ws_ed_fx *fx)
{
	const struct ws_ed_server *s;

	if (server < 0)
		return true;
	if (ws_ed_pool_usable(l->pool, now, (uint32_t)server))
		return false;
	if (!ws_ed_pool_usable_last(l->pool, now, (uint32_t)server))
		return true;
#ifdef WS_MUTANT_RELEASE_WITHOUT_STORE
	return true;
#endif
	s = &l->pool->servers[server];
	return ws_ed_balance_has_candidate(l, now, s->service) &&
	       is_store_there(l, now, s, fx);
}

/*
 * Whether an inherited range is not granted any more, so that its lease ends: a
 * server that is gone may still take a grant without answering, and each such
 * grant would postpone the end.
 */
static bool awaits_lease_end(const struct ws_ed_lead *l,
			     const struct ws_ed_range *r, ws_us now,
			     int32_t server)
{
#ifdef WS_MUTANT_GONE_SERVER_IS_GRANTED
	return false;
#endif
	/* One that leaves or whose zone is out may still serve its keys. */
	return r->inherited && r->failures >= FAILURES_MAX &&
	       (server < 0 ||
		(!l->pool->servers[server].listed &&
		 !ws_ed_pool_usable(l->pool, now, (uint32_t)server)));
}

static void tick_owned(struct ws_ed_lead *l, struct ws_ed_range *r, ws_us now,
		       struct ws_ed_fx *fx)
{
	int32_t s = ws_ed_pool_find_again(l->pool, r->server, &r->handle);

	if (s >= 0 && l->pool->servers[s].started_ms != r->started_ms) {
		/* The server has restarted and owns no keys. */
		ws_ed_range_set_server(r, &l->pool->servers[s]);
		r->fence = ws_ed_lead_next_fence(l);
		r->next_call = now;
	}
	if (ws_ed_lead_may_move(l, now) && now >= ownership_end(l, r) &&
	    (!r->address[0] || r->failures >= FAILURES_MAX)) {
		mark_lost(l, r, now, fx);
		return;
	}
	/*
	 * An inherited range is granted first: the newer token keeps a previous
	 * leader from renewing it.
	 */
	if (!r->inherited && ws_ed_lead_may_move(l, now) &&
	    must_release(l, now, s, fx)) {
		ws_ed_range_start_release(r, now);
		return;
	}
	if (!r->ref && now >= r->next_call && r->address[0] &&
	    !awaits_lease_end(l, r, now, s) && may_call(l, r, now))
		grant(l, r, now, fx);
}

static void tick_releasing(struct ws_ed_lead *l, struct ws_ed_range *r,
			   ws_us now, struct ws_ed_fx *fx)
{
	if (now >= ownership_end(l, r)) {
		set_free(l, r, now);
		return;
	}
	if (!r->ref && now >= r->next_call && may_call(l, r, now)) {
		send_call(l, r, WS_EDFX_RELEASE, fx);
		r->next_call = now + CALL_RETRY;
	}
}

/* Merges a range with the following one of its server if both are stable. */
static bool merge_next(struct ws_ed_lead *l, size_t i, ws_us now)
{
	struct ws_ed_range *a = &l->ranges[i];
	size_t j;

	if (a->state != WS_ED_RANGE_OWNED || a->ref || a->inherited ||
	    now - a->changed_at < MERGE_AGE)
		return false;
	for (j = 0; j < l->n_ranges; j++) {
		struct ws_ed_range *b = &l->ranges[j];

		if (b->from != a->to + 1 || b->service != a->service ||
		    b->server != a->server || b->state != WS_ED_RANGE_OWNED ||
		    b->ref || b->inherited || now - b->changed_at < MERGE_AGE)
			continue;
		a->to = b->to;
		a->former_leases |= b->former_leases;
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

/*
 * Tries some ranges in turn, as each is compared with all others. Merges one
 * pair per tick, as a merge changes the indexes.
 */
static void merge_some(struct ws_ed_lead *l, ws_us now)
{
	size_t tries = l->n_ranges < MERGE_TRIES ? l->n_ranges : MERGE_TRIES;

	while (tries--) {
		if (l->next_merge >= l->n_ranges)
			l->next_merge = 0;
		if (merge_next(l, l->next_merge++, now))
			return;
	}
}

static size_t calls_per_tick(const struct ws_ed_lead *l)
{
	size_t n = l->n_ranges / RENEWAL_TICKS;

	return n > CALLS_PER_TICK_MIN ? n : CALLS_PER_TICK_MIN;
}

void ws_ed_ranges_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	size_t first = l->first_call;
	size_t i;

	l->renewals_left = calls_per_tick(l);
	l->moves_left = l->renewals_left;
	l->calls_deferred = false;
	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *r = &l->ranges[(first + i) % l->n_ranges];

		if (r->state == WS_ED_RANGE_OWNED)
			tick_owned(l, r, now, fx);
		else if (r->state == WS_ED_RANGE_RELEASING)
			tick_releasing(l, r, now, fx);
	}
	merge_some(l, now);
}

/* ===== Call results ===== */

static void handle_grant_result(struct ws_ed_lead *l, struct ws_ed_range *r,
				ws_us now, enum ws_ed_call_result end)
{
	switch (end) {
	case WS_EDC_DONE:
		r->lease_end = now + WS_ED_KEY_LEASE_BOUND;
		r->failures = 0;
		r->inherited = false;
		r->handover[0] = '\0';
		return;
	case WS_EDC_FENCED:
		r->fence = ws_ed_lead_next_fence(l);
		break;
	case WS_EDC_NOT_SENT:
	case WS_EDC_MISDIRECTED:
		r->lease_end = r->lease_end_before;
		break;
	case WS_EDC_FAILED:
		/* The server may still execute the grant. */
		r->unconfirmed_until = now + WS_ED_KEY_LEASE_BOUND;
		if (r->unconfirmed_until > r->lease_end)
			r->lease_end = r->unconfirmed_until;
		break;
	default:
		break;
	}
	r->failures++;
	r->next_call = now + CALL_RETRY;
}

static void handle_release_result(struct ws_ed_lead *l, struct ws_ed_range *r,
				  ws_us now, enum ws_ed_call_result end,
				  const char *handover)
{
	if (end != WS_EDC_DONE) {
		r->failures++;
		return;
	}
	snprintf(r->handover, sizeof(r->handover), "%s", handover);
	r->lease_end = r->unconfirmed_until;
	r->inherited = false;
	r->former_leases = false;
	r->next_call = INT64_MAX;
	if (now >= r->lease_end)
		set_free(l, r, now);
}

void ws_ed_lead_on_call_result(struct ws_ed_lead *l, ws_us now, uint64_t ref,
			       enum ws_ed_call_result end, const char *handover,
			       struct ws_ed_fx *fx)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *r = &l->ranges[i];

		if (r->ref != ref)
			continue;
		r->ref = 0;
		if (r->call_is_grant)
			handle_grant_result(l, r, now, end);
		else
			handle_release_result(l, r, now, end, handover);
		if (end == WS_EDC_FENCED)
			ws_ed_fx_log(fx, WS_LOG_GRANT_REFUSED, r->server,
				     r->from, r->name);
		return;
	}
}
