#include <stdio.h>

#include "edge/ws_edge_int.h"

/* Requests that arrive: which are refused at once, and the limits of time. */

/*
 * Longest time that a request takes to a server through a full link, and that
 * the instance which tells of a leaving server takes to learn of it.
 */
#define LINK_MARGIN (1 * WS_SECOND)
/*
 * A request whose deadline is shorter than the longest one of its route by more
 * than this is taken for a caller's retry.
 */
#define RETRY_DEADLINE_GAP (30 * WS_MS)

/*
 * Time until the latency objective. It counts from the caller's first try: a
 * retry arrives with a deadline that is shorter by the time passed since then.
 */
static ws_us objective_left(struct ws_ed_route *r, ws_us deadline)
{
	ws_us passed;

	if (deadline > r->longest_deadline)
		r->longest_deadline = deadline;
	passed = r->longest_deadline - deadline;
	return (r->objective ? r->objective : deadline) - passed;
}

static ws_us deadline_of(const struct ws_ed_arrival *a)
{
	return a->deadline ? a->deadline : DEADLINE_DEFAULT;
}

/* The deadline or the route's timeout, if earlier. */
static ws_us time_limit(const struct ws_ed_arrival *a,
			const struct ws_ed_route *r)
{
	ws_us deadline = deadline_of(a);

	return r->timeout && r->timeout < deadline ? r->timeout : deadline;
}

static void fill_call(struct ws_edge *e, struct ed_call *c,
		      const struct ws_ed_arrival *a, struct ws_ed_route *r,
		      const struct ws_ed_customer *customer,
		      const struct ws_ed_service *svc)
{
	ws_us deadline = deadline_of(a);
	c->route = ws_ed_id(r->name);
	c->service = svc->id;
	c->work_stats = ws_ed_pool_work_stats(&e->pool, c->route, svc->id);
	c->sharded = svc->sharded;
	c->idempotent = r->idempotent;
	c->priority = r->priority;
	c->max_attempts = r->max_attempts ? r->max_attempts : 1;
	c->key = a->key >= 0 ? (uint32_t)a->key : 0;
	c->fingerprint = a->fingerprint;
	c->body_len = a->body_len;
	c->end_at = a->started + time_limit(a, r);
	if (e->draining && c->end_at > e->drained_at)
		c->end_at = e->drained_at;
	c->objective = objective_left(r, deadline);
	c->is_retry = deadline < r->longest_deadline - RETRY_DEADLINE_GAP;
	c->objective_at = a->started + c->objective;
	if (c->objective < 0)
		c->objective = 0;
	if (!customer)
		return;
	snprintf(c->customer, sizeof(c->customer), "%s", customer->name);
	if (customer->priority >= 0)
		c->priority = (uint32_t)customer->priority;
}

static bool has_fresh_caller_keys(const struct ws_edge *e)
{
	return e->now - e->evidence[WS_EDT_CONFIG] <
	       e->set.bounds.key_evidence_max;
}

/* A read of the store that began after the peer's report would refute it. */
static bool is_peer_ahead(const struct ws_edge *e)
{
	return e->topic_ends[WS_EDT_CONFIG] <
		       e->peer_topic_ends[WS_EDT_CONFIG] &&
	       e->peer_ends_heard_at[WS_EDT_CONFIG] >=
		       e->evidence[WS_EDT_CONFIG];
}

ws_us ws_ed_call_config_retry_after(const struct ws_edge *e, ws_us now)
{
	if (is_peer_ahead(e))
		return OLD_CONFIG_RETRY_AFTER;
	if (e->config_unreadable ||
	    now - e->evidence[WS_EDT_CONFIG] >= e->set.bounds.config_delay_max)
		return STORE_RETRY_AFTER;
	return 0;
}

/*
 * Authenticates the caller and applies its rate limit.
 * @return 0, or the status to refuse the request with
 */
static int check_caller(struct ws_edge *e, const struct ws_ed_arrival *a,
			const struct ws_ed_route *r,
			const struct ws_ed_customer **customer,
			ws_us *retry_after, enum ws_ed_reason *reason)
{
	*customer = NULL;
	if (r->auth_exempt || !e->conf->n_customers)
		return 0;
	*customer = a->caller_key ?
			    ws_ed_conf_customer(e->conf, a->caller_key) :
			    NULL;
	/* The key may have been revoked or issued since the last read. */
	if (!has_fresh_caller_keys(e)) {
		*reason = WS_EDR_STORE_UNREACHABLE;
		*retry_after = STORE_RETRY_AFTER;
		return 503;
	}
	*retry_after = *customer ? 0 : ws_ed_call_config_retry_after(e, e->now);
	if (*retry_after) {
		*reason = WS_EDR_OLD_CONFIG;
		return 503;
	}
	if (!*customer) {
		*reason = WS_EDR_BAD_CALLER_KEY;
		return 401;
	}
	/* The instances that divide the rate are not known. */
	if ((*customer)->rate > 0.0 && !e->members_known) {
		*reason = WS_EDR_STORE_UNREACHABLE;
		*retry_after = STORE_RETRY_AFTER;
		return 503;
	}
	*retry_after = ws_ed_quota_take(&e->quota, e->now, (*customer)->id);
	*reason = WS_EDR_RATE_EXCEEDED;
	return *retry_after ? 429 : 0;
}

/*
 * Whether an arrival is refused since the process is going to end. A request
 * that must not be repeated is taken only if it certainly ends before: if it
 * were cut off its outcome would be unknown, and another instance can run it.
 */
static bool is_too_late(const struct ws_edge *e, const struct ws_ed_arrival *a,
			const struct ws_ed_route *r)
{
	if (!e->draining)
		return false;
	return e->now >= e->refuse_from ||
	       (!r->idempotent &&
		a->started + time_limit(a, r) > e->drained_at);
}

bool ws_ed_call_is_news_late(const struct ws_edge *e, ws_us now)
{
	ws_us known = e->evidence[WS_EDT_SERVERS];

	if (e->statements_heard_at > known)
		known = e->statements_heard_at;
	return ws_ed_link_is_full(&e->link, now) &&
	       now - known >= e->set.bounds.drain_time - LINK_MARGIN;
}

static void refuse_arrival(struct ws_edge *e, const struct ws_ed_arrival *a,
			   int status, ws_us retry_after,
			   enum ws_ed_reason reason, struct ws_ed_fx *fx)
{
	const struct ws_ed_customer *customer = NULL;

	if (e->conf && a->caller_key)
		customer = ws_ed_conf_customer(e->conf, a->caller_key);
	ws_ed_call_reply(e, a->id, customer ? customer->name : "", status,
			 retry_after, reason, fx);
}

/* Denies what the configuration does not allow if it is known to be current. */
static void deny_arrival(struct ws_edge *e, const struct ws_ed_arrival *a,
			 int status, enum ws_ed_reason reason,
			 struct ws_ed_fx *fx)
{
	ws_us retry_after = ws_ed_call_config_retry_after(e, e->now);

	if (retry_after)
		refuse_arrival(e, a, 503, retry_after, WS_EDR_OLD_CONFIG, fx);
	else
		refuse_arrival(e, a, status, 0, reason, fx);
}

void ws_ed_call_arrive(struct ws_edge *e, const struct ws_ed_arrival *a,
		       struct ws_ed_fx *fx)
{
	const struct ws_ed_customer *customer;
	const struct ws_ed_service *svc;
	enum ws_ed_reason reason = WS_EDR_NONE;
	ws_us retry_after = 0;
	struct ws_ed_route *r;
	struct ed_call *c;
	bool on_trial = false;
	int status;

	e->counters.arrivals++;
	ws_ed_link_count(&e->link, e->now, WS_ED_LINK_IN, a->body_len);
	if (!e->conf) {
		refuse_arrival(e, a, 503, NO_CONFIG_RETRY_AFTER,
			       WS_EDR_NO_CONFIG, fx);
		return;
	}
	if (a->malformed) {
		refuse_arrival(e, a, 400, 0, WS_EDR_BAD_REQUEST, fx);
		return;
	}
	r = ws_ed_conf_route(e->conf, a->host, a->path);
	if (!r) {
		deny_arrival(e, a, 404, WS_EDR_NO_ROUTE, fx);
		return;
	}
	if (is_too_late(e, a, r)) {
		refuse_arrival(e, a, 503, DRAINING_RETRY_AFTER, WS_EDR_DRAINING,
			       fx);
		return;
	}
	status = check_caller(e, a, r, &customer, &retry_after, &reason);
	if (status) {
		refuse_arrival(e, a, status, retry_after, reason, fx);
		return;
	}
	if (ws_ed_call_is_news_late(e, e->now)) {
		e->link.refused++;
		refuse_arrival(e, a, 503, LINK_RETRY_AFTER, WS_EDR_LINK_FULL,
			       fx);
		return;
	}
	if (ws_ed_suspects_refuses(&e->suspects, e->now, a->fingerprint)) {
		on_trial = ws_ed_call_may_try(e, a->fingerprint);
		if (!on_trial) {
			refuse_arrival(e, a, 503, 0, WS_EDR_QUARANTINED, fx);
			return;
		}
	}
	if (a->key < 0 && ws_ed_route_needs_key(r)) {
		deny_arrival(e, a, 400, WS_EDR_BAD_REQUEST, fx);
		return;
	}
	svc = ws_ed_conf_service(e->conf,
				 ws_ed_route_next_service(r, a->key >= 0));
	if (!svc || e->n_calls >= e->set.max_calls) {
		refuse_arrival(e, a, 503, NO_SERVER_RETRY_AFTER,
			       svc ? WS_EDR_INSTANCE_FULL : WS_EDR_NO_SERVER,
			       fx);
		return;
	}
	ws_ed_budget_count_arrival(e, svc->id);
	if (svc->sharded)
		ws_ed_heat_count(&e->heat, svc->id, (uint32_t)a->key);
	c = ws_ed_call_add(e, a->id);
	fill_call(e, c, a, r, customer, svc);
	c->on_trial = on_trial;
	ws_ed_budget_learn_work(e, svc->id, &e->pool.work_stats[c->work_stats]);
	ws_ed_call_place(e, c, fx);
}
