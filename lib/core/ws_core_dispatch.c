#include "core/ws_core_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Attempts: forwarding from ws_route to the dispatcher of the target, on this
 * or another instance, the last checks before a request is sent, and the
 * answers.
 */

/* ===== Tables of forwarded calls and attempts ===== */

static void add_remote_attempt(struct ws_core *c, uint64_t ref, ws_id to)
{
	ws_grow(&c->remote_attempts, &c->cap_remote_attempts,
		c->n_remote_attempts + 1, sizeof(*c->remote_attempts));
	c->remote_attempts[c->n_remote_attempts].ref = ref;
	c->remote_attempts[c->n_remote_attempts].to = to;
	c->n_remote_attempts++;
}

/* Returns the instance that the attempt was forwarded to, or 0. */
static ws_id remove_remote_attempt(struct ws_core *c, uint64_t ref)
{
	size_t i;
	ws_id to;

	for (i = 0; i < c->n_remote_attempts; i++)
		if (c->remote_attempts[i].ref == ref)
			break;
	if (i == c->n_remote_attempts)
		return 0;
	to = c->remote_attempts[i].to;
	c->remote_attempts[i] = c->remote_attempts[--c->n_remote_attempts];
	return to;
}

static void add_forward(struct ws_core *c, ws_id origin, uint64_t ref,
			ws_payload payload)
{
	ws_grow(&c->forwards, &c->cap_forwards, c->n_forwards + 1,
		sizeof(*c->forwards));
	c->forwards[c->n_forwards].origin = origin;
	c->forwards[c->n_forwards].ref = ref;
	c->forwards[c->n_forwards].payload = payload;
	c->n_forwards++;
}

static void release_forward(struct ws_core *c, ws_id origin, uint64_t ref)
{
	size_t i;

	for (i = 0; i < c->n_forwards; i++)
		if (c->forwards[i].ref == ref &&
		    c->forwards[i].origin == origin)
			break;
	if (i == c->n_forwards)
		return;
	ws_core_release(c, c->forwards[i].payload);
	c->forwards[i] = c->forwards[--c->n_forwards];
}

/*
 * Reports to ws_route on the next tick that an attempt could not start. If it
 * were reported in the same step, ws_route could retry endlessly.
 */
static void defer_not_run(struct ws_core *c, uint64_t ref, int error)
{
	struct core_deferred *d;

	ws_grow(&c->deferred, &c->cap_deferred, c->n_deferred + 1,
		sizeof(*c->deferred));
	d = &c->deferred[c->n_deferred++];
	memset(d, 0, sizeof(*d));
	d->ref = ref;
	d->answer.outcome = WS_OUT_NOT_RUN;
	d->answer.error = error;
	d->answer.retry_after = WS_SECOND;
}

/* ===== Permission ===== */

static struct ws_res dispatch_resource(ws_id target)
{
	struct ws_res res = { .kind = WS_RES_DISPATCH, .item = target };

	return res;
}

/*
 * An isolated instance, whose lease has expired, still serves what needs no
 * lease: idempotent requests of internal open services, through the dispatcher
 * last known.
 */
static bool isolated_may_serve(struct ws_core *c, const struct ws_res *res,
			       const struct ws_service *svc, bool idempotent)
{
	const struct ws_assignment *a = ws_own_find(c->own, res);

	if (!a || !a->active || a->holder.id != c->conf.self)
		return false;
	/* Two dispatchers must not warm up the same target. */
	if (!ws_disp_is_warm(c->disp, c->now, res->item))
		return false;
	return idempotent && !svc->sharded && svc->access == WS_ACCESS_INTERNAL;
}

/* Checks whether this instance may send the call to the target now. */
static int check_permission(struct ws_core *c, ws_id target,
			    uint64_t incarnation, ws_offset fence,
			    const struct ws_call *call)
{
	const struct ws_target *t =
		ws_view_target(ws_core_member_view(c), target);
	const struct ws_service *svc =
		ws_bundle_service(c->bundle, call->service);
	struct ws_res res = dispatch_resource(target);

	if (!t || !svc)
		return WS_ERR_NO_SERVICE;
	if (!ws_view_usable(ws_core_member_view(c), t))
		return WS_ERR_NO_TARGET;
	if (ws_own_may_send(c->own, c->now, ws_core_member_view(c), target,
			    incarnation, call->service, call->key, fence))
		return WS_OK;
	if (!ws_core_is_fresh(c) &&
	    isolated_may_serve(c, &res, svc, call->idempotent))
		return WS_OK;
	return WS_ERR_NOT_HOLDER;
}

/* ===== Frontend or home to dispatcher ===== */

/* Finds the fence and the incarnation to send with an attempt. */
static int find_fence(struct ws_core *c, const struct ws_effect *e,
		      uint64_t *incarnation, ws_offset *fence)
{
	const struct ws_call *call = &e->u.route_send.call;
	const struct ws_service *svc =
		ws_bundle_service(c->bundle, call->service);
	const struct ws_assignment *a;
	const struct ws_target *t;

	if (!svc)
		return WS_ERR_NO_SERVICE;
	*fence = 0;
	if (!svc->sharded) {
		t = ws_view_target(ws_core_member_view(c),
				   e->u.route_send.target);
		*incarnation = t ? t->incarnation : 0;
		return t ? WS_OK : WS_ERR_NO_TARGET;
	}
	a = ws_own_find_key_owner(c->own, svc, call->key);
	if (!a || !a->active || a->holder.id != e->u.route_send.target)
		return WS_ERR_NOT_HOLDER;
	*fence = a->fence;
	*incarnation = a->holder.incarnation;
	return WS_OK;
}

/* A home that lost its partition must not send its calls any more. */
static bool home_still_held(struct ws_core *c, const struct ws_call *call)
{
	struct ws_res res = { .kind = WS_RES_PARTITION };

	if (call->idempotent)
		return true;
	res.item = ws_idem_partition(call->customer, call->request_id,
				     c->bundle->partitions);
	return ws_own_holds(c->own, c->now, &res);
}

static uint16_t weight_of(struct ws_core *c, ws_id customer)
{
	const struct ws_customer *cu = ws_bundle_customer(c->bundle, customer);

	return cu && cu->weight ? cu->weight : 1;
}

static void submit(struct ws_core *c, ws_id origin, uint64_t ref, ws_id target,
		   uint64_t incarnation, ws_offset fence,
		   const struct ws_call *call)
{
	ws_disp_submit(c->disp, ws_core_fx(c), c->now, origin, ref, target,
		       incarnation, fence, weight_of(c, call->customer), call);
}

static void send_forward(struct ws_core *c, ws_id to, const struct ws_effect *e,
			 uint64_t incarnation, ws_offset fence)
{
	struct ws_msg *msg = ws_core_send(c, to, WS_MSG_FORWARD);

	msg->u.forward.ref = e->u.route_send.ref;
	msg->u.forward.stage = WS_STAGE_DISPATCH;
	msg->u.forward.target = e->u.route_send.target;
	msg->u.forward.incarnation = incarnation;
	msg->u.forward.fence = fence;
	msg->u.forward.call = e->u.route_send.call;
	add_remote_attempt(c, e->u.route_send.ref, to);
}

void ws_core_route_send(struct ws_core *c, const struct ws_effect *e)
{
	struct ws_res res = dispatch_resource(e->u.route_send.target);
	const struct ws_assignment *a = ws_own_find(c->own, &res);
	const struct ws_instance *i;
	uint64_t incarnation;
	ws_offset fence;
	int err = find_fence(c, e, &incarnation, &fence);

	c->counters.attempts++;
	if (!err && !home_still_held(c, &e->u.route_send.call))
		err = WS_ERR_NOT_HOLDER;
	if (ws_quar_is_quarantined(c->quar, c->now,
				   e->u.route_send.call.fingerprint))
		err = WS_ERR_QUARANTINED;
	if (!err && (!a || !a->active))
		err = WS_ERR_NOT_HOLDER;
	if (err) {
		defer_not_run(c, e->u.route_send.ref, err);
		return;
	}
	if (a->holder.id == c->conf.self) {
		if (!ws_disp_is_open(c->disp, e->u.route_send.target))
			defer_not_run(c, e->u.route_send.ref,
				      WS_ERR_NOT_HOLDER);
		else
			submit(c, c->conf.self, e->u.route_send.ref,
			       e->u.route_send.target, incarnation, fence,
			       &e->u.route_send.call);
		return;
	}
	i = ws_view_instance(ws_core_member_view(c), a->holder.id);
	if (i && i->reachable)
		send_forward(c, a->holder.id, e, incarnation, fence);
	else
		defer_not_run(c, e->u.route_send.ref, WS_ERR_NOT_HOLDER);
}

void ws_core_route_cancel(struct ws_core *c, const struct ws_effect *e)
{
	uint64_t ref = e->u.route_send.ref;
	ws_id to = remove_remote_attempt(c, ref);
	struct ws_msg *msg;

	if (!to) {
		ws_disp_cancel(c->disp, ws_core_fx(c), c->now, c->conf.self,
			       ref);
		return;
	}
	msg = ws_core_send(c, to, WS_MSG_CANCEL);
	msg->u.cancel.ref = ref;
}

/* ===== At the dispatcher ===== */

void ws_core_forward_dispatch(struct ws_core *c, ws_id from,
			      const struct ws_msg *msg)
{
	const struct ws_call *call = &msg->u.forward.call;
	ws_id target = msg->u.forward.target;
	struct ws_msg *reply;
	int err = WS_ERR_NO_BUNDLE;

	if (c->bundle)
		err = check_permission(c, target, msg->u.forward.incarnation,
				       msg->u.forward.fence, call);
	if (!err && !ws_disp_is_open(c->disp, target))
		err = WS_ERR_NOT_HOLDER;
	if (ws_quar_is_quarantined(c->quar, c->now, call->fingerprint))
		err = WS_ERR_QUARANTINED;
	if (!err) {
		add_forward(c, from, msg->u.forward.ref, call->payload);
		submit(c, from, msg->u.forward.ref, target,
		       msg->u.forward.incarnation, msg->u.forward.fence, call);
		return;
	}
	reply = ws_core_send(c, from, WS_MSG_ANSWER);
	reply->u.answer.ref = msg->u.forward.ref;
	reply->u.answer.answer.outcome = WS_OUT_NOT_RUN;
	reply->u.answer.answer.error = err;
	reply->u.answer.answer.retry_after = WS_SECOND;
	ws_core_release(c, call->payload);
}

/*
 * Latest time, on the clock of the target, at which it may start the request:
 * the end of this instance's lease. Returns 0 if there is no such bound.
 */
static int64_t start_by(struct ws_core *c, const struct ws_effect *e)
{
	const struct ws_target *t =
		ws_view_target(ws_core_member_view(c), e->u.attempt.target);
	const struct ws_service *svc =
		ws_bundle_service(c->bundle, e->u.attempt.call.service);

#if defined(WS_MUTANT_NO_START_BY) || defined(WS_MUTANT_SEND_UNCHECKED)
	return 0;
#endif
	if (!t || !svc || !svc->sharded ||
	    t->clock_incarnation != e->u.attempt.incarnation)
		return 0;
	return t->clock_target_us +
	       (ws_own_fresh_until(c->own) - t->clock_local) - WS_DRIFT_MARGIN;
}

/* Counts work for a key, estimated by the latency of its target. */
static void count_work(struct ws_core *c, const struct ws_effect *e)
{
	const struct ws_call *call = &e->u.attempt.call;
	const struct ws_service *svc =
		ws_bundle_service(c->bundle, call->service);
	struct ws_load load = { .latency = 0 };

	if (!svc || !svc->sharded)
		return;
	ws_disp_get_load(c->disp, e->u.attempt.target, &load);
	ws_own_add_work(c->own, svc->id, call->key,
			ws_bundle_shard(svc, call->key),
			load.latency > 0 ? load.latency : WS_MS);
}

void ws_core_disp_send(struct ws_core *c, const struct ws_effect *e)
{
	struct ws_attempt_result res = { .outcome = WS_OUT_NOT_RUN };
	struct ws_effect *out;

	res.error = check_permission(c, e->u.attempt.target,
				     e->u.attempt.incarnation,
				     e->u.attempt.fence, &e->u.attempt.call);
#ifdef WS_MUTANT_SEND_UNCHECKED
	res.error = WS_OK;
#endif
	if (res.error) {
		ws_disp_attempt_done(c->disp, ws_core_fx(c), c->now,
				     e->u.attempt.attempt, &res);
		return;
	}
	count_work(c, e);
	out = ws_fx_add(c->out, WS_FX_ATTEMPT);
	out->u.attempt = e->u.attempt;
	out->u.attempt.start_by_us = start_by(c, e);
}

void ws_core_disp_done(struct ws_core *c, const struct ws_effect *e)
{
	struct ws_msg *msg;

	ws_member_set_load(c->member, &e->u.disp_done.load);
	if (e->u.disp_done.origin == c->conf.self) {
		ws_route_answer(c->route, ws_core_fx(c), c->now,
				e->u.disp_done.ref, &e->u.disp_done.answer,
				&e->u.disp_done.load, ws_core_member_view(c));
		return;
	}
	release_forward(c, e->u.disp_done.origin, e->u.disp_done.ref);
	msg = ws_core_send(c, e->u.disp_done.origin, WS_MSG_ANSWER);
	msg->u.answer.ref = e->u.disp_done.ref;
	msg->u.answer.answer = e->u.disp_done.answer;
	msg->u.answer.load = e->u.disp_done.load;
	ws_core_release(c, e->u.disp_done.answer.payload);
}

void ws_core_answer(struct ws_core *c, const struct ws_msg *msg)
{
	if (msg->u.answer.ref & HOME_REF_FLAG) {
		ws_core_home_answer(c, msg->u.answer.ref,
				    &msg->u.answer.answer);
		return;
	}
	if (!remove_remote_attempt(c, msg->u.answer.ref)) {
		ws_core_release(c, msg->u.answer.answer.payload);
		return;
	}
	ws_route_answer(c->route, ws_core_fx(c), c->now, msg->u.answer.ref,
			&msg->u.answer.answer, &msg->u.answer.load,
			ws_core_member_view(c));
}

/* ===== Periodic work ===== */

static void report_deferred(struct ws_core *c)
{
	struct core_deferred *list = c->deferred;
	size_t n = c->n_deferred;
	size_t i;

	/* Answers may defer further ones, which wait for the next tick. */
	c->deferred = NULL;
	c->n_deferred = 0;
	c->cap_deferred = 0;
	for (i = 0; i < n; i++)
		ws_route_answer(c->route, ws_core_fx(c), c->now, list[i].ref,
				&list[i].answer, NULL, ws_core_member_view(c));
	free(list);
}

/* Calls without an owner that are updated on each tick. */
#define CALLS_WITHOUT_OWNER_MAX 64

/* Sets the current owner of calls that wait for one. */
static void update_owners(struct ws_core *c)
{
	uint64_t ids[CALLS_WITHOUT_OWNER_MAX];
	struct ws_call calls[CALLS_WITHOUT_OWNER_MAX];
	size_t n = ws_route_calls_without_owner(c->route, ids, calls,
						CALLS_WITHOUT_OWNER_MAX);
	const struct ws_service *svc;
	const struct ws_assignment *a;
	size_t i;

	for (i = 0; i < n; i++) {
		svc = ws_bundle_service(c->bundle, calls[i].service);
		if (!svc || !svc->sharded)
			continue;
		a = ws_own_find_key_owner(c->own, svc, calls[i].key);
		if (a && a->active)
			ws_route_set_owner(c->route, ids[i], a->holder.id);
	}
}

void ws_core_dispatch_tick(struct ws_core *c)
{
	report_deferred(c);
	update_owners(c);
	ws_route_tick(c->route, ws_core_fx(c), c->now, ws_core_member_view(c));
	ws_disp_tick(c->disp, ws_core_fx(c), c->now);
}

void ws_core_dispatch_peer_down(struct ws_core *c, ws_id peer)
{
	struct ws_answer answer = {
		.outcome = WS_OUT_UNKNOWN,
		.error = WS_ERR_PEER,
	};
	size_t i = 0;

	while (i < c->n_remote_attempts) {
		uint64_t ref = c->remote_attempts[i].ref;

		if (c->remote_attempts[i].to != peer) {
			i++;
			continue;
		}
		c->remote_attempts[i] =
			c->remote_attempts[--c->n_remote_attempts];
		ws_route_answer(c->route, ws_core_fx(c), c->now, ref, &answer,
				NULL, ws_core_member_view(c));
	}
}

/* ===== Targets that this instance dispatches ===== */

static bool is_dispatcher(struct ws_core *c, const struct ws_assignment *a)
{
	return a && a->holder.id == c->conf.self;
}

static void watch_target(struct ws_core *c, const struct ws_target *t)
{
	size_t i;

	for (i = 0; i < c->n_watched; i++)
		if (c->watched[i] == t->id)
			return;
	ws_grow(&c->watched, &c->cap_watched, c->n_watched + 1,
		sizeof(*c->watched));
	c->watched[c->n_watched++] = t->id;
	ws_member_watch(c->member, c->now, t->id);
}

static void unwatch_target(struct ws_core *c, ws_id target)
{
	size_t i;

	for (i = 0; i < c->n_watched; i++)
		if (c->watched[i] == target)
			c->watched[i--] = c->watched[--c->n_watched];
}

/*
 * While this instance is isolated, another one may already dispatch the target,
 * so each of them uses at most half of its slots.
 */
static void update_cap(struct ws_core *c, const struct ws_target *t,
		       const struct ws_service *svc)
{
	uint16_t half = svc->slots / 2 ? svc->slots / 2 : 1;

	ws_disp_set_limit_cap(c->disp, t->id, ws_core_is_fresh(c) ? 0 : half);
}

/*
 * Delay before a target that was taken over is opened. Requests of the former
 * dispatcher may still wait at the target until their deadlines. Requests of
 * sharded services need no delay: their start-by time has passed.
 */
static ws_us takeover_delay(const struct ws_service *svc)
{
	ws_us delay = svc->deadline - WS_LEASE_DURATION - WS_DRIFT_MARGIN;

	if (svc->sharded || delay < 0)
		return 0;
	return delay;
}

/* Finds or adds the entry of a target that is dispatched here. */
static struct core_takeover *get_takeover(struct ws_core *c, ws_id target)
{
	struct core_takeover *o;
	size_t i;

	for (i = 0; i < c->n_takeovers; i++)
		if (c->takeovers[i].target == target)
			return &c->takeovers[i];
	ws_grow(&c->takeovers, &c->cap_takeovers, c->n_takeovers + 1,
		sizeof(*c->takeovers));
	o = &c->takeovers[c->n_takeovers++];
	o->target = target;
	return o;
}

/*
 * Records a new assignment. Another instance may have dispatched the target in
 * between, with both assignments applied in one step, so the state known of the
 * target is outdated and it starts slowly.
 */
static struct core_takeover *record_takeover(struct ws_core *c,
					     const struct ws_assignment *a,
					     const struct ws_service *svc)
{
	struct core_takeover *o = get_takeover(c, a->res.item);

	if (o->fence == a->fence)
		return o;
	o->fence = a->fence;
	o->at = a->takeover_wall_ms ? c->now + takeover_delay(svc) : c->now;
	if (ws_disp_is_open(c->disp, o->target))
		ws_disp_slow_start(c->disp, c->now, o->target);
	return o;
}

static void update_target(struct ws_core *c, const struct ws_target *t)
{
	struct ws_res res = dispatch_resource(t->id);
	const struct ws_assignment *a = ws_own_find(c->own, &res);
	const struct ws_service *svc = ws_bundle_service(c->bundle, t->service);
	bool open = ws_disp_is_open(c->disp, t->id);
	bool mine = is_dispatcher(c, a) && svc;

	if (mine)
		watch_target(c, t);
	else
		unwatch_target(c, t->id);
	/* Starts cold: state known from an earlier dispatch may be outdated. */
	if (mine && a->active && c->now >= record_takeover(c, a, svc)->at &&
	    !open)
		ws_disp_open(c->disp, c->now, t->id, false, svc);
	else if (open && !(mine && a->active))
		ws_disp_close(c->disp, ws_core_fx(c), c->now, t->id);
	if (mine && a->active)
		update_cap(c, t, svc);
}

void ws_core_update_dispatched(struct ws_core *c)
{
	const struct ws_view *v = ws_core_member_view(c);
	struct ws_load load;
	size_t i;

	for (i = 0; i < v->n_targets; i++)
		update_target(c, &v->targets[i]);
	for (i = 0; i < c->n_watched; i++)
		if (ws_disp_get_load(c->disp, c->watched[i], &load))
			ws_member_set_load(c->member, &load);
}
