#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/ws_ed_admit.h"
#include "edge/ws_edge_int.h"

/*
 * Requests at this instance, from arrival to response.
 */

/* Longest wait for the owner of a key, as a fraction of the objective. */
#define OWNER_WAIT_FRACTION 0.5
#define OWNER_WAIT_MAX (600 * WS_MS)
/* Delay of the next lookup of a key whose server rejected it as not its own. */
#define NOT_OWNER_PAUSE (100 * WS_MS)
/* Delay of the next send for a key whose server refused the connection. */
#define NOT_SENT_PAUSE (60 * WS_MS)
/* Time for which a peer's report that the map is current counts. */
#define MAP_CONFIRMED_TIME (1 * WS_SECOND)
/* Evidence of the store older than this shows that keys can't be moved. */
#define STORE_EVIDENCE_MAX (1500 * WS_MS)
/* Least time left until the end of a request for another send. */
#define SEND_TIME_MIN (10 * WS_MS)
/* How often requests at servers are checked for hedging. */
#define HEDGE_PERIOD (20 * WS_MS)
/* A full server has a free slot again within a fraction of a service time. */
#define SHED_RETRY_AFTER (30 * WS_MS)

/* ===== Replies ===== */

void ws_ed_call_reply(struct ws_edge *e, uint64_t id, const char *customer,
		      int status, ws_us retry_after, enum ws_ed_reason reason,
		      struct ws_ed_fx *fx)
{
	struct ws_ed_effect *x = ws_ed_fx_add(fx, WS_EDFX_REPLY);

	x->u.reply.request = id;
	x->u.reply.status = status;
	x->u.reply.retry_after = retry_after;
	x->u.reply.reason = reason;
	snprintf(x->u.reply.customer, sizeof(x->u.reply.customer), "%s",
		 customer);
	if (status == 502 || status == 504)
		e->counters.lost++;
	else
		e->counters.refused[reason]++;
}

/* Ends a call that has certainly not run and will not. */
static void refuse_call(struct ws_edge *e, struct ed_call *c, ws_us retry_after,
			enum ws_ed_reason reason, struct ws_ed_fx *fx)
{
	WS_INVARIANT(!c->may_have_run);
	ws_ed_call_reply(e, c->id, c->customer, 503, retry_after, reason, fx);
	ws_ed_call_remove(e, c);
}

/* Ends a call that may have run. */
static void fail_call(struct ws_edge *e, struct ed_call *c, int status,
		      enum ws_ed_reason reason, struct ws_ed_fx *fx)
{
	ws_ed_call_reply(e, c->id, c->customer, status, 0, reason, fx);
	ws_ed_call_remove(e, c);
}

/* Ends a call that can't be sent any more. */
static void give_up(struct ws_edge *e, struct ed_call *c, ws_us retry_after,
		    enum ws_ed_reason reason, struct ws_ed_fx *fx)
{
	if (c->may_have_run)
		fail_call(e, c, 502, reason, fx);
	else
		refuse_call(e, c, retry_after, reason, fx);
}

/* ===== Placement ===== */

static bool may_resend(struct ws_edge *e, const struct ed_call *c)
{
	if (ws_ed_call_is_quarantined(e, c))
		return false;
	return c->sends < SENDS_MAX && c->attempts < c->max_attempts &&
	       e->now + SEND_TIME_MIN < c->end_at &&
	       ws_ed_budget_of(e, c->service)->tokens >= 1.0;
}

static void set_waiting(struct ws_edge *e, struct ed_call *c, ws_us not_before)
{
	if (c->state == CALL_SENT)
		e->n_waiting++;
	c->state = CALL_WAITING;
	c->not_before = not_before;
	if (!c->waiting_since)
		c->waiting_since = e->now;
}

static uint8_t free_lane(const struct ed_call *c)
{
	return c->lanes[0].active ? 1 : 0;
}

static bool has_active_lane(const struct ed_call *c)
{
	return c->lanes[0].active || c->lanes[1].active;
}

/*
 * Compares addresses, as kept connections belong to them: a server may be
 * listed again under another id or handle.
 */
static bool may_have_been_sent_to(const struct ed_call *c, uint64_t address)
{
	uint32_t i;

#ifdef WS_MUTANT_RESENT_ON_KEPT_CONNECTION
	return false;
#endif
	for (i = 0; i < c->sends; i++)
		if (c->sent_to[i] == address)
			return true;
	return false;
}

static void send(struct ws_edge *e, struct ed_call *c,
		 const struct ws_ed_choice *at, struct ws_ed_fx *fx)
{
	const char *to = e->pool.servers[at->server].address;
	uint64_t address = ws_ed_hash(0, to, strlen(to));
	struct ws_ed_effect *x = ws_ed_fx_add(fx, WS_EDFX_SEND);
	uint8_t lane = free_lane(c);

	WS_INVARIANT(c->sends < SENDS_MAX);
	x->u.send.request = c->id;
	x->u.send.lane = lane;
	x->u.send.server = (uint32_t)at->server;
	x->u.send.deadline = c->end_at;
	x->u.send.resent = may_have_been_sent_to(c, address);
#ifdef WS_MUTANT_RESENT_BY_SERVER
	x->u.send.resent = false;
	for (size_t i = 0; i < c->n_excluded; i++)
		x->u.send.resent |= c->excluded[i] == (uint32_t)at->server;
#endif
	if (c->sends_received || has_active_lane(c)) {
		ws_ed_budget_of(e, c->service)->tokens -= 1.0;
		e->counters.repeats++;
	}
	c->sent_to[c->sends++] = address;
	c->lanes[lane] = (struct ed_lane){
		.active = true,
		.server = (uint32_t)at->server,
		.started_ms = e->pool.servers[at->server].started_ms,
		.load = at->load,
		.sent_at = e->now,
		.expected_latency = at->expected_latency,
	};
	c->waiting_since = 0;
	ws_ed_link_count(&e->link, e->now, WS_ED_LINK_OUT, c->body_len);
	if (c->on_trial)
		ws_ed_call_start_trial(e, c, fx);
	if (c->state == CALL_WAITING)
		e->n_waiting--;
	c->state = CALL_SENT;
	e->counters.sent++;
	e->counters.sent_limited +=
		e->pool.servers[at->server].stated.limit.named;
	ws_ed_pool_sent(&e->pool, e->now, (uint32_t)at->server);
}

static double random_fraction(struct ws_edge *e)
{
	return (double)ws_rand_below(&e->rand, 1000) / 1000.0;
}

static void fill_admit_input(struct ws_edge *e, const struct ed_call *c,
			     const struct ws_ed_choice *at,
			     struct ws_ed_admit_input *in)
{
	*in = (struct ws_ed_admit_input){
		.time_left = c->end_at - e->now,
		.objective_left = c->objective_at - e->now,
		.objective = c->objective,
		.waited = c->waiting_since ? e->now - c->waiting_since : 0,
		.expected_latency = at->expected_latency,
		.load = at->load,
		.overload = ws_ed_budget_of(e, c->service)->overload,
		.random = random_fraction(e),
		.is_retry = c->is_retry,
	};
}

/*
 * Queues or ends a request for which no server may be used now.
 * @param temporary whether one is expected to be usable soon
 */
static void no_server(struct ws_edge *e, struct ed_call *c, bool temporary,
		      enum ws_ed_reason reason, struct ws_ed_fx *fx)
{
	double wait_max = OWNER_WAIT_FRACTION * (double)c->objective;
	ws_us waited = c->waiting_since ? e->now - c->waiting_since : 0;

	if (temporary && (double)waited < wait_max && waited < OWNER_WAIT_MAX) {
		set_waiting(e, c, e->now);
		return;
	}
	give_up(e, c,
		NO_SERVER_RETRY_AFTER + (ws_us)(random_fraction(e) *
						(double)NO_SERVER_RETRY_AFTER),
		reason, fx);
}

/*
 * Queues or ends a request because the servers that it may go to have used up
 * their rates. It is queued only if one of them may be used shortly.
 */
static void on_throttled(struct ws_edge *e, struct ed_call *c,
			 const struct ws_ed_choice *at, struct ws_ed_fx *fx)
{
	ws_us waited = c->waiting_since ? e->now - c->waiting_since : 0;
	ws_us wait_max =
		(ws_us)(THROTTLE_WAIT_FRACTION * (double)c->objective) - waited;
	const struct ws_ed_server *s;

	if (at->throttled_for <= wait_max) {
		set_waiting(e, c, e->now + at->throttled_for);
		return;
	}
	s = &e->pool.servers[at->throttled];
	give_up(e, c,
		ws_ed_pool_retry_after(&e->pool, e->now,
				       (uint32_t)at->throttled),
		ws_ed_stated_closed_for(&s->stated, e->now) ?
			WS_EDR_SERVER_CLOSED :
			WS_EDR_SERVER_LIMIT,
		fx);
}

static void place_at(struct ws_edge *e, struct ed_call *c,
		     const struct ws_ed_choice *at, struct ws_ed_fx *fx)
{
	struct ws_ed_admit_input in;

	fill_admit_input(e, c, at, &in);
	switch (ws_ed_admit(&in)) {
	case WS_ED_ADMIT_SEND:
		send(e, c, at, fx);
		break;
	case WS_ED_ADMIT_WAIT:
		set_waiting(e, c, e->now);
		break;
	default:
		give_up(e, c, ws_ed_admit_retry_after(&in, random_fraction(e)),
			WS_EDR_OVERLOAD, fx);
		break;
	}
}

static ws_us *key_pause(struct ws_edge *e, uint32_t key)
{
	return &e->key_pause[KEY_PAUSE_BUCKET(key)];
}

bool ws_ed_call_may_serve_keys(const struct ws_edge *e, uint32_t server)
{
	return ws_ed_pool_usable(&e->pool, e->now, server) ||
	       (ws_ed_pool_usable_last(&e->pool, e->now, server) &&
		e->now >= e->pool.servers[server].stated.gives_up_keys_until);
}

bool ws_ed_call_may_keys_move(const struct ws_edge *e, uint32_t server)
{
	return !e->pool.servers[server].stated.leaving_since ||
	       e->now - e->evidence[WS_EDT_SERVERS] < STORE_EVIDENCE_MAX;
}

static void place_sharded(struct ws_edge *e, struct ed_call *c,
			  struct ws_ed_fx *fx)
{
	ws_id owner = ws_ed_map_owner(&e->lead.map, c->service, c->key);
	int32_t h = ws_ed_pool_find(&e->pool, owner);
	struct ws_ed_choice at;

	if (e->now < *key_pause(e, c->key) ||
	    ws_ed_lead_moving(&e->lead, c->service, c->key)) {
		no_server(e, c, true, WS_EDR_NO_OWNER, fx);
		return;
	}
	if (h < 0 || !ws_ed_call_may_serve_keys(e, (uint32_t)h)) {
		no_server(e, c,
			  h < 0 || ws_ed_call_may_keys_move(e, (uint32_t)h),
			  WS_EDR_NO_OWNER, fx);
		return;
	}
	ws_ed_pool_expect(&e->pool, e->now, (uint32_t)h, c->work_stats, &at);
	if (at.throttled >= 0) {
		on_throttled(e, c, &at, fx);
		return;
	}
	place_at(e, c, &at, fx);
}

static void fill_choose_input(const struct ws_edge *e, const struct ed_call *c,
			      struct ws_ed_choose_input *in)
{
	*in = (struct ws_ed_choose_input){
		.service = c->service,
		.work_stats = c->work_stats,
		.zone = e->set.zone,
		.n_excluded = c->n_excluded,
	};
	memcpy(in->excluded, c->excluded, sizeof(in->excluded));
}

static void place_open(struct ws_edge *e, struct ed_call *c,
		       struct ws_ed_fx *fx)
{
	struct ws_ed_choose_input in;
	struct ws_ed_choice at;

	fill_choose_input(e, c, &in);
	ws_ed_pool_choose(&e->pool, e->now, &in, &at);
	if (at.server < 0 && at.throttled >= 0)
		on_throttled(e, c, &at, fx);
	else if (at.server < 0)
		no_server(e, c, false, WS_EDR_NO_SERVER, fx);
	else
		place_at(e, c, &at, fx);
}

void ws_ed_call_place(struct ws_edge *e, struct ed_call *c, struct ws_ed_fx *fx)
{
	if (e->now < c->not_before)
		return;
	if (ws_ed_call_is_quarantined(e, c)) {
		give_up(e, c, 0, WS_EDR_QUARANTINED, fx);
		return;
	}
	if (e->now + SEND_TIME_MIN >= c->end_at) {
		give_up(e, c, NO_SERVER_RETRY_AFTER, WS_EDR_TIMEOUT, fx);
		return;
	}
	if (c->sharded)
		place_sharded(e, c, fx);
	else
		place_open(e, c, fx);
}

/* ===== Sends that end ===== */

/* @return enum ws_ed_stated_change */
static unsigned lane_ended(struct ws_edge *e, const struct ed_call *c,
			   const struct ed_lane *l, enum ws_ed_end end,
			   ws_us latency, const struct ws_ed_report *report)
{
	const struct ws_ed_sending sending = {
		.server = l->server,
		.started_ms = l->started_ms,
		.work_stats = c->work_stats,
		.sent_at = l->sent_at,
		.load = l->load,
	};

	return ws_ed_pool_ended(&e->pool, e->now, &sending, end, latency,
				report);
}

/* Cancels all sends of a call. */
static void cancel_lanes(struct ws_edge *e, struct ed_call *c,
			 struct ws_ed_fx *fx)
{
	uint8_t i;

	for (i = 0; i < LANES; i++) {
		struct ed_lane *l = &c->lanes[i];
		struct ws_ed_effect *x;

		if (!l->active)
			continue;
		l->active = false;
		x = ws_ed_fx_add(fx, WS_EDFX_CANCEL);
		x->u.send.request = c->id;
		x->u.send.lane = i;
		lane_ended(e, c, l, WS_ED_END_CANCELLED, e->now - l->sent_at,
			   NULL);
	}
}

void ws_ed_call_gone(struct ws_edge *e, uint64_t id, struct ws_ed_fx *fx)
{
	struct ed_call *c = ws_ed_call_find(e, id);

	if (!c)
		return;
	e->counters.gone++;
	cancel_lanes(e, c, fx);
	ws_ed_call_remove(e, c);
}

/* ===== Responses of servers ===== */

static void exclude(struct ed_call *c, uint32_t server)
{
	if (c->n_excluded < WS_ED_EXCLUDED_MAX)
		c->excluded[c->n_excluded++] = server;
}

static void forward_response(struct ws_edge *e, struct ed_call *c,
			     struct ws_ed_fx *fx)
{
	struct ws_ed_effect *x = ws_ed_fx_add(fx, WS_EDFX_FORWARD);

	x->u.reply.request = c->id;
	memcpy(x->u.reply.customer, c->customer, sizeof(c->customer));
	e->counters.forwarded++;
	ws_ed_link_count(&e->link, e->now, WS_ED_LINK_OUT, c->answer_len);
	cancel_lanes(e, c, fx);
	ws_ed_call_remove(e, c);
}

static void resend(struct ws_edge *e, struct ed_call *c, ws_us pause,
		   struct ws_ed_fx *fx)
{
	set_waiting(e, c, e->now + pause);
	ws_ed_call_place(e, c, fx);
}

/* The server rejected the request without executing it. */
static void on_shed(struct ws_edge *e, struct ed_call *c, uint32_t server,
		    bool not_owner, struct ws_ed_fx *fx)
{
	struct ws_ed_stated *stated = &e->pool.servers[server].stated;

	if (not_owner && c->sharded) {
#ifndef WS_MUTANT_KEYS_NOT_GIVEN_UP
		/* A late lease or an old map may be the reason as well. */
		if (stated->leaving_since)
			stated->gives_up_keys_until = e->now + OWNER_WAIT_MAX;
#endif
		/* Skipped if a peer has lately confirmed the map as current. */
		if (e->now - e->map_confirmed_at > MAP_CONFIRMED_TIME)
			ws_ed_fx_read(fx, WS_EDT_MAP);
		*key_pause(e, c->key) = e->now + NOT_OWNER_PAUSE;
	}
	if (!may_resend(e, c)) {
		give_up(e, c,
			SHED_RETRY_AFTER + (ws_us)(random_fraction(e) *
						   (double)SHED_RETRY_AFTER),
			WS_EDR_SERVER_SHED, fx);
		return;
	}
	resend(e, c, c->sharded ? NOT_OWNER_PAUSE : 0, fx);
}

static void on_loss(struct ws_edge *e, struct ed_call *c, bool timeout,
		    struct ws_ed_fx *fx)
{
#ifndef WS_MUTANT_LOSS_FORGOTTEN
	c->may_have_run = true;
#endif
	c->attempts++;
	if (c->idempotent && !timeout && may_resend(e, c))
		resend(e, c, 0, fx);
	else
		fail_call(e, c, timeout ? 504 : 502,
			  timeout ? WS_EDR_TIMEOUT : WS_EDR_CONNECTION_LOST,
			  fx);
}

static void on_failure(struct ws_edge *e, struct ed_call *c,
		       struct ws_ed_fx *fx)
{
	c->attempts++;
	if (c->idempotent && !c->sharded && may_resend(e, c)) {
		c->may_have_run = true;
		resend(e, c, 0, fx);
		return;
	}
	forward_response(e, c, fx);
}

static bool is_unsent(enum ws_ed_end end)
{
	return end == WS_ED_END_NOT_SENT || end == WS_ED_END_WITHDRAWN;
}

/* Whether the other send of a hedged request decides its result. */
static bool awaits_other_lane(struct ed_call *c, enum ws_ed_end end)
{
	if (end == WS_ED_END_OK || !has_active_lane(c))
		return false;
	if (end != WS_ED_END_SHED && !is_unsent(end)) {
		c->may_have_run = true;
		c->attempts++;
	}
	return true;
}

void ws_ed_call_ended(struct ws_edge *e, const struct ws_ed_ending *end,
		      struct ws_ed_fx *fx)
{
	struct ed_call *c = ws_ed_call_find(e, end->request);
	struct ed_lane *l;
	unsigned stated;

	if (!c || c->state != CALL_SENT || !c->lanes[end->lane].active)
		return;
	l = &c->lanes[end->lane];
	l->active = false;
	stated = lane_ended(e, c, l, end->end, end->latency, &end->report);
	ws_ed_pool_log_stated(&e->pool, e->now, l->server, stated,
			      "stated in its answer", fx);
	ws_ed_link_count(&e->link, e->now, WS_ED_LINK_IN, end->answer_len);
	c->answer_len = end->answer_len;
	c->sends_received += !is_unsent(end->end);
	ws_ed_call_update_suspects(e, c, l->server, end->end, fx);
	exclude(c, l->server);
	if (awaits_other_lane(c, end->end))
		return;
	switch (end->end) {
	case WS_ED_END_OK:
		forward_response(e, c, fx);
		break;
	case WS_ED_END_FAILED:
		on_failure(e, c, fx);
		break;
	case WS_ED_END_SHED:
		on_shed(e, c, l->server, end->not_owner, fx);
		break;
	case WS_ED_END_NOT_SENT:
	case WS_ED_END_WITHDRAWN:
		if (c->sends >= SENDS_MAX)
			give_up(e, c, NO_SERVER_RETRY_AFTER,
				WS_EDR_CONNECTION_LOST, fx);
		else
			resend(e, c, c->sharded ? NOT_SENT_PAUSE : 0, fx);
		break;
	default:
		on_loss(e, c, end->end == WS_ED_END_TIMEOUT, fx);
		break;
	}
}

/* ===== Hedges ===== */

static bool may_hedge(const struct ws_edge *e, const struct ed_call *c)
{
	return c->state == CALL_SENT && c->idempotent && !c->sharded &&
	       c->lanes[0].active && !c->lanes[1].active &&
	       c->attempts + 1 < c->max_attempts && c->sends < SENDS_MAX &&
	       c->n_excluded < WS_ED_EXCLUDED_MAX &&
	       e->now + SEND_TIME_MIN < c->end_at &&
	       !ws_ed_call_is_quarantined(e, c);
}

static void consider_hedge(struct ws_edge *e, struct ed_call *c,
			   struct ws_ed_fx *fx)
{
	const struct ed_lane *first = &c->lanes[0];
	struct ws_ed_hedge h = {
		.elapsed = e->now - first->sent_at,
		.first_expected = first->expected_latency,
		.objective_left = c->objective_at - e->now,
		.time_left = c->end_at - e->now,
		.budget = ws_ed_budget_of(e, c->service)->tokens,
	};
	struct ws_ed_choose_input in;
	struct ws_ed_choice at;

	/* Choosing a server is expensive and most requests are not late. */
	if (!ws_ed_hedge(&h))
		return;
	fill_choose_input(e, c, &in);
	in.excluded[in.n_excluded++] = first->server;
	ws_ed_pool_choose(&e->pool, e->now, &in, &at);
	if (at.server < 0 ||
	    !ws_ed_pool_usable(&e->pool, e->now, (uint32_t)at.server))
		return;
	h.expected_latency = at.expected_latency;
	h.load = at.load;
	if (!ws_ed_hedge(&h))
		return;
	e->counters.hedges++;
	send(e, c, &at, fx);
}

static void send_hedges(struct ws_edge *e, struct ws_ed_fx *fx)
{
	size_t i;

	if (e->n_calls == e->n_waiting || e->now < e->next_hedge_check)
		return;
	e->next_hedge_check = e->now + HEDGE_PERIOD;
	for (i = 0; i < e->cap_calls; i++)
		if (may_hedge(e, &e->calls[i]))
			consider_hedge(e, &e->calls[i], fx);
}

/* ===== Queue ===== */

static int compare_urgency(const void *a, const void *b)
{
	const struct ed_wait_entry *x = a;
	const struct ed_wait_entry *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	return (x->objective_at > y->objective_at) -
	       (x->objective_at < y->objective_at);
}

void ws_ed_call_drain(struct ws_edge *e)
{
	size_t i;

	for (i = 0; i < e->cap_calls; i++)
		if (e->calls[i].state && e->calls[i].end_at > e->drained_at)
			e->calls[i].end_at = e->drained_at;
}

/*
 * Answers all calls as the process is about to end. Those at servers may have
 * been sent with a later deadline.
 */
static void end_calls(struct ws_edge *e, struct ws_ed_fx *fx)
{
	size_t i = 0;

	while (i < e->cap_calls) {
		struct ed_call *c = &e->calls[i];

		/* After the end of a call another one may be in its place. */
		if (c->state == CALL_SENT) {
			cancel_lanes(e, c, fx);
			fail_call(e, c, 504, WS_EDR_DRAINING, fx);
		} else if (c->state == CALL_WAITING) {
			give_up(e, c, DRAINING_RETRY_AFTER, WS_EDR_DRAINING,
				fx);
		} else {
			i++;
		}
	}
}

void ws_ed_call_tick(struct ws_edge *e, struct ws_ed_fx *fx)
{
	size_t n = 0;
	size_t i;

	if (e->draining && e->now >= e->drained_at)
		end_calls(e, fx);
	send_hedges(e, fx);
	if (!e->n_waiting)
		return;
	ws_grow(&e->order, &e->cap_order, e->n_waiting, sizeof(*e->order));
	for (i = 0; i < e->cap_calls && n < e->n_waiting; i++)
		if (e->calls[i].state == CALL_WAITING)
			e->order[n++] = (struct ed_wait_entry){
				.id = e->calls[i].id,
				.priority = e->calls[i].priority,
				.objective_at = e->calls[i].objective_at,
			};
	qsort(e->order, n, sizeof(*e->order), compare_urgency);
	for (i = 0; i < n; i++)
		ws_ed_call_place(e, ws_ed_call_find(e, e->order[i].id), fx);
}
