#include "edge/ws_ed_explain.h"

#include <stdlib.h>
#include <string.h>

#include "edge/ws_ed_admit.h"
#include "edge/ws_edge_int.h"

#define RANDOM_STEPS 1000

/* What a decision needs that must not be changed: copies. */
struct draft {
	const struct ws_edge *edge;
	ws_us now;
	struct ws_ed_pool pool; /* servers and work_stats are copies */
	struct ws_rand rand;
	uint32_t work_stats;
	ws_us time_left;
	ws_us objective;
	int32_t preferred; /* handle; -1: none */
	struct ws_ed_explanation *x;
};

const char *ws_ed_explain_decision_name(enum ws_ed_explain_decision d)
{
	static const char *const names[] = {
		[WS_EDX_SEND] = "send",
		[WS_EDX_WAIT] = "wait",
		[WS_EDX_REFUSE] = "refuse",
	};

	return names[d];
}

const char *ws_ed_left_out_name(enum ws_ed_left_out reason)
{
	static const char *const names[] = {
		[WS_EDX_CHOSEN] = "chosen",
		[WS_EDX_NOT_OWNER] = "not_owner",
		[WS_EDX_ZONE_OUT] = "zone_out",
		[WS_EDX_LEAVING] = "leaving",
		[WS_EDX_NOT_LISTED] = "not_listed",
		[WS_EDX_CLOSED] = "closed",
		[WS_EDX_RATE_USED] = "rate_used",
		[WS_EDX_BACKOFF] = "backoff",
		[WS_EDX_NOT_PREFERRED] = "not_preferred",
		[WS_EDX_UNFIT] = "preferred_but_not_sent",
	};

	return names[reason];
}

/* ===== Copies ===== */

static void *copy_array(const void *from, size_t n, size_t size)
{
	void *to = ws_alloc(n + 1, size);

	if (n)
		memcpy(to, from, n * size);
	return to;
}

static void copy_state(struct draft *d)
{
	const struct ws_edge *e = d->edge;

#ifdef WS_MUTANT_EXPLAIN_DRAWS
	ws_rand_next(&((struct ws_edge *)e)->pool.rand);
#endif
	d->rand = e->rand;
	d->pool = e->pool;
	d->pool.servers = copy_array(e->pool.servers, e->pool.n,
				     sizeof(*e->pool.servers));
	d->pool.cap = e->pool.n + 1;
	d->pool.work_stats = copy_array(e->pool.work_stats,
					e->pool.n_work_stats,
					sizeof(*e->pool.work_stats));
	d->pool.cap_work_stats = e->pool.n_work_stats + 1;
}

static void free_copies(struct draft *d)
{
	free(d->pool.servers);
	free(d->pool.work_stats);
}

static double random_fraction(struct draft *d)
{
	return (double)ws_rand_below(&d->rand, RANDOM_STEPS) / RANDOM_STEPS;
}

/* ===== Decisions ===== */

static void refuse(struct draft *d, int status, enum ws_ed_reason reason,
		   ws_us retry_after)
{
	d->x->decision = WS_EDX_REFUSE;
	d->x->status = status;
	d->x->reason = reason;
	d->x->retry_after = retry_after;
}

static void wait_here(struct draft *d, enum ws_ed_reason reason)
{
	d->x->decision = WS_EDX_WAIT;
	d->x->reason = reason;
}

static void no_server(struct draft *d, bool temporary, enum ws_ed_reason reason)
{
	double jitter;

	if (temporary && d->objective > 0) {
		wait_here(d, reason);
		return;
	}
	jitter = random_fraction(d) * (double)NO_SERVER_RETRY_AFTER;
	refuse(d, 503, reason, NO_SERVER_RETRY_AFTER + (ws_us)jitter);
}

static double overload_of(const struct ws_edge *e, ws_id service)
{
	size_t i;

	for (i = 0; i < e->n_budgets; i++)
		if (e->budgets[i].service == service)
			return e->budgets[i].overload;
	return 0.0;
}

static void on_throttled(struct draft *d, const struct ws_ed_choice *at)
{
	const struct ws_ed_server *s = &d->pool.servers[at->throttled];
	enum ws_ed_reason reason = ws_ed_stated_closed_for(&s->stated, d->now) ?
					   WS_EDR_SERVER_CLOSED :
					   WS_EDR_SERVER_LIMIT;

	if (at->throttled_for <=
	    (ws_us)(THROTTLE_WAIT_FRACTION * (double)d->objective))
		wait_here(d, reason);
	else
		refuse(d, 503, reason,
		       ws_ed_pool_retry_after(&d->pool, d->now,
					      (uint32_t)at->throttled));
}

static void place_at(struct draft *d, const struct ws_ed_choice *at)
{
	const struct ws_ed_admit_input in = {
		.time_left = d->time_left,
		.objective_left = d->objective,
		.objective = d->objective,
		.expected_latency = at->expected_latency,
		.load = at->load,
		.overload = overload_of(d->edge, d->x->service->id),
		.random = random_fraction(d),
	};

	d->preferred = at->server;
	switch (ws_ed_admit(&in)) {
	case WS_ED_ADMIT_SEND:
		d->x->decision = WS_EDX_SEND;
		d->x->chosen = &d->edge->pool.servers[at->server];
		break;
	case WS_ED_ADMIT_WAIT:
		wait_here(d, WS_EDR_OVERLOAD);
		break;
	default:
		refuse(d, 503, WS_EDR_OVERLOAD,
		       ws_ed_admit_retry_after(&in, random_fraction(d)));
		break;
	}
}

static void place_open(struct draft *d)
{
	const struct ws_ed_choose_input in = {
		.service = d->x->service->id,
		.work_stats = d->work_stats,
		.zone = d->edge->set.zone,
	};
	struct ws_ed_choice at;

	ws_ed_pool_choose(&d->pool, d->now, &in, &at);
	if (at.server < 0 && at.throttled >= 0)
		on_throttled(d, &at);
	else if (at.server < 0)
		no_server(d, false, WS_EDR_NO_SERVER);
	else
		place_at(d, &at);
}

static void place_sharded(struct draft *d)
{
	int32_t h = ws_ed_pool_find(&d->edge->pool, d->x->key.owner);
	struct ws_ed_choice at;

	if (d->x->key.paused_for || d->x->key.moving) {
		no_server(d, true, WS_EDR_NO_OWNER);
		return;
	}
	if (h < 0 || !ws_ed_call_may_serve_keys(d->edge, (uint32_t)h)) {
		no_server(d,
			  h < 0 || ws_ed_call_may_keys_move(d->edge,
							    (uint32_t)h),
			  WS_EDR_NO_OWNER);
		return;
	}
	ws_ed_pool_expect(&d->pool, d->now, (uint32_t)h, d->work_stats, &at);
	if (at.throttled >= 0)
		on_throttled(d, &at);
	else
		place_at(d, &at);
}

/* ===== Arrival ===== */

/* Denies what the configuration does not allow if it is known to be current. */
static void deny(struct draft *d, int status, enum ws_ed_reason reason)
{
	ws_us retry_after = ws_ed_call_config_retry_after(d->edge, d->now);

	if (retry_after)
		refuse(d, 503, WS_EDR_OLD_CONFIG, retry_after);
	else
		refuse(d, status, reason, 0);
}

/* @return false if the request is refused without looking at servers */
static bool check_arrival(struct draft *d, const struct ws_ed_explain_query *q)
{
	const struct ws_edge *e = d->edge;
	struct ws_ed_explanation *x = d->x;

	if (x->needs_caller_key && d->now - e->evidence[WS_EDT_CONFIG] >=
					   e->set.bounds.key_evidence_max)
		refuse(d, 503, WS_EDR_STORE_UNREACHABLE, STORE_RETRY_AFTER);
	else if (ws_ed_call_is_news_late(e, d->now))
		refuse(d, 503, WS_EDR_LINK_FULL, LINK_RETRY_AFTER);
	else if (q->key < 0 && ws_ed_route_needs_key(x->route))
		deny(d, 400, WS_EDR_BAD_REQUEST);
	else if (!x->service)
		refuse(d, 503, WS_EDR_NO_SERVER, NO_SERVER_RETRY_AFTER);
	else if (e->n_calls >= e->set.max_calls)
		refuse(d, 503, WS_EDR_INSTANCE_FULL, NO_SERVER_RETRY_AFTER);
	else
		return true;
	return false;
}

/* Sets the limits of a first try that states the route's usual deadline. */
static bool set_times(struct draft *d)
{
	const struct ws_edge *e = d->edge;
	const struct ws_ed_route *r = d->x->route;
	ws_us deadline = r->longest_deadline ? r->longest_deadline :
					       DEADLINE_DEFAULT;

	d->time_left = r->timeout && r->timeout < deadline ? r->timeout :
							     deadline;
	d->objective = r->objective ? r->objective : deadline;
	if (!e->draining)
		return true;
	if (d->now >= e->refuse_from ||
	    (!r->idempotent && d->now + d->time_left > e->drained_at)) {
		refuse(d, 503, WS_EDR_DRAINING, DRAINING_RETRY_AFTER);
		return false;
	}
	if (d->now + d->time_left > e->drained_at)
		d->time_left = e->drained_at - d->now;
	return true;
}

static const struct ws_ed_service *
next_service(const struct ws_edge *e, const struct ws_ed_route *r, bool has_key)
{
	/* Drawing from a copy leaves the credits of a split as they are. */
	struct ws_ed_route copy = *r;

	return ws_ed_conf_service(e->conf,
				  ws_ed_route_next_service(&copy, has_key));
}

/* ===== Facts ===== */

static void add_key(struct draft *d, uint32_t key)
{
	const struct ws_edge *e = d->edge;
	const struct ws_ed_map *m = &e->lead.map;
	struct ws_ed_explanation *x = d->x;
	ws_us pause_end = e->key_pause[KEY_PAUSE_BUCKET(key)];
	int32_t h;
	size_t i;

	for (i = 0; i < m->n; i++) {
		const struct ws_ed_map_entry *r = &m->entries[i];

		if (r->service != x->service->id || key < r->from ||
		    key > r->to)
			continue;
		x->key.owned = true;
		x->key.from = r->from;
		x->key.to = r->to;
		x->key.owner = r->server;
	}
	h = ws_ed_pool_find(&e->pool, x->key.owner);
	x->key.server = x->key.owned && h >= 0 ? &e->pool.servers[h] : NULL;
	x->key.epoch = m->epoch;
	x->key.moving = ws_ed_lead_moving(&e->lead, x->service->id, key);
	x->key.paused_for = pause_end > d->now ? pause_end - d->now : 0;
	for (i = 0; i < e->cap_calls; i++)
		x->key.open += e->calls[i].state != CALL_FREE &&
			       e->calls[i].sharded && e->calls[i].key == key &&
			       e->calls[i].service == x->service->id;
}

static enum ws_ed_left_out left_out(const struct draft *d, uint32_t h,
				    const struct ws_ed_choice *at)
{
	const struct ws_ed_server *s = &d->pool.servers[h];

	if ((int32_t)h == d->preferred)
		return d->x->decision == WS_EDX_SEND ? WS_EDX_CHOSEN :
						       WS_EDX_UNFIT;
	if (d->x->service->sharded && s->id != d->x->key.owner)
		return WS_EDX_NOT_OWNER;
	if (ws_ed_pool_zone_out(&d->pool, s->zone))
		return WS_EDX_ZONE_OUT;
	if (s->draining || s->stated.leaving_since)
		return WS_EDX_LEAVING;
	if (!ws_ed_pool_usable(&d->pool, d->now, h))
		return WS_EDX_NOT_LISTED;
	if (ws_ed_stated_closed_for(&s->stated, d->now))
		return WS_EDX_CLOSED;
	if (at->throttled >= 0)
		return WS_EDX_RATE_USED;
	return d->now < s->backoff_until ? WS_EDX_BACKOFF :
					   WS_EDX_NOT_PREFERRED;
}

static void add_servers(struct draft *d)
{
	const struct ws_ed_pool *p = &d->edge->pool;
	struct ws_ed_explanation *x = d->x;
	struct ws_ed_choice at;
	uint32_t h;

	x->servers = ws_alloc(p->n + 1, sizeof(*x->servers));
	for (h = 0; h < p->n; h++) {
		struct ws_ed_explained_server *s = &x->servers[x->n_servers];

		if (!p->servers[h].id ||
		    p->servers[h].service != x->service->id)
			continue;
		ws_ed_pool_expect(&d->pool, d->now, h, d->work_stats, &at);
		s->server = &p->servers[h];
		s->expected_latency = at.expected_latency;
		s->load = at.load;
		s->left_out = left_out(d, h, &at);
		x->n_servers++;
	}
}

/* ===== Interface ===== */

static void place(struct draft *d, const struct ws_ed_explain_query *q)
{
	struct ws_ed_explanation *x = d->x;

	d->work_stats = ws_ed_pool_work_stats(
		&d->pool, ws_ed_id(x->route->name), x->service->id);
	if (x->service->sharded) {
		add_key(d, (uint32_t)q->key);
		place_sharded(d);
	} else {
		place_open(d);
	}
	add_servers(d);
}

void ws_ed_explain(const struct ws_edge *e, ws_us now,
		   const struct ws_ed_explain_query *q,
		   struct ws_ed_explanation *x)
{
	struct draft d = { .edge = e, .now = now, .preferred = -1, .x = x };

	*x = (struct ws_ed_explanation){ .open = e->n_calls,
					 .waiting = e->n_waiting };
	if (!e->conf) {
		refuse(&d, 503, WS_EDR_NO_CONFIG, NO_CONFIG_RETRY_AFTER);
		return;
	}
	x->route = ws_ed_conf_route(e->conf, q->host, q->path);
	if (!x->route) {
		deny(&d, 404, WS_EDR_NO_ROUTE);
		return;
	}
	x->needs_caller_key = !x->route->auth_exempt && e->conf->n_customers;
	x->service = next_service(e, x->route, q->key >= 0);
	if (!set_times(&d) || !check_arrival(&d, q))
		return;
	copy_state(&d);
	place(&d, q);
	free_copies(&d);
}

void ws_ed_explanation_free(struct ws_ed_explanation *x)
{
	free(x->servers);
	x->servers = NULL;
	x->n_servers = 0;
}
