#include "core/ws_route_int.h"

#include <stdlib.h>
#include <string.h>

/* ===== Life ===== */

struct ws_route *ws_route_new(const struct ws_route_conf *conf)
{
	struct ws_route *r = ws_alloc(1, sizeof(*r));

	r->conf = *conf;
	r->picker = ws_picker_new(conf->pick, conf->seed);
	r->budget = WS_ROUTE_BUDGET_RETRY_RESERVE;
	ws_ests_init(&r->ests);
	ws_handles_init(&r->slots);
	ws_handles_init(&r->attempt_slots);
	return r;
}

void ws_route_free(struct ws_route *r)
{
	if (!r)
		return;
	r->picker->ops->free(r->picker);
	ws_ests_free(&r->ests);
	ws_handles_free(&r->slots);
	ws_handles_free(&r->attempt_slots);
	ws_index_free(&r->by_id);
	free(r->calls);
	free(r->attempts);
	free(r->candidates);
	free(r->candidate_ests);
	free(r);
}

size_t ws_route_count(const struct ws_route *r)
{
	return r->slots.n_used;
}

const struct ws_route_stats *ws_route_stats(const struct ws_route *r)
{
	return &r->stats;
}

void ws_route_update_load(struct ws_route *r, ws_us now,
			  const struct ws_load *load)
{
	r->now = now;
	ws_ests_note_load(&r->ests, now, load);
}

/* ===== Starting ===== */

static void emit_done(struct ws_fx *fx, uint64_t id,
		      const struct ws_answer *answer)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_ROUTE_DONE);

	e->u.reply.id = id;
	e->u.reply.answer = *answer;
}

static bool is_sharded(const struct ws_view *view, const struct ws_call *call)
{
	const struct ws_service *svc =
		ws_bundle_service(view->bundle, call->service);

	return svc ? svc->sharded : call->key != 0;
}

static void earn(struct ws_route *r, ws_id service)
{
	struct ws_svc_est *s = ws_ests_service(&r->ests, service);

	r->budget += WS_ROUTE_BUDGET_PER_CALL;
	if (r->budget > WS_ROUTE_BUDGET_MAX)
		r->budget = WS_ROUTE_BUDGET_MAX;
	if (s->probe_credit < 2 * WS_EST_PROBE_CALLS)
		s->probe_credit++;
}

static uint32_t add_call(struct ws_route *r, uint64_t id,
			 const struct ws_call *call, ws_id owner, bool sharded)
{
	uint32_t slot = ws_handles_alloc(&r->slots);
	struct ws_route_call *c;

	ws_grow(&r->calls, &r->cap_calls, r->slots.n, sizeof(*r->calls));
	c = &r->calls[slot];
	memset(c, 0, sizeof(*c));
	c->state = WS_ROUTE_WAITING;
	c->sharded = sharded;
	c->id = id;
	c->owner = owner;
	c->call = *call;
	ws_index_put(&r->by_id, id, slot);
	return slot;
}

void ws_route_start(struct ws_route *r, struct ws_fx *fx, ws_us now,
		    uint64_t id, const struct ws_call *call, ws_id owner,
		    const struct ws_view *view)
{
	struct ws_answer full = {
		.outcome = WS_OUT_NOT_RUN,
		.error = WS_ERR_LIMIT,
		.retry_after = WS_SECOND,
	};
	uint32_t slot;

	r->now = now;
	WS_INVARIANT(ws_index_get(&r->by_id, id) == WS_SLOT_NONE);
	if (r->slots.n_used >= r->conf.max_calls) {
		emit_done(fx, id, &full);
		return;
	}
	r->stats.calls++;
	earn(r, call->service);
	slot = add_call(r, id, call, owner, is_sharded(view, call));
	ws_route_send_or_wait(r, fx, slot, view);
}

/* ===== Ending ===== */

static void emit_cancel(struct ws_route *r, struct ws_fx *fx, uint32_t attempt)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_ROUTE_CANCEL);
	struct ws_route_attempt *a = &r->attempts[attempt];

	e->u.route_send.ref = r->attempt_slots.handle[attempt];
	e->u.route_send.target = a->target;
	ws_ests_add_lower_bound(&r->ests, r->now, a->est, r->now - a->sent);
}

/* Takes an attempt out of its call and of the estimates. */
void ws_route_remove_attempt(struct ws_route *r, uint32_t attempt)
{
	struct ws_route_attempt *a = &r->attempts[attempt];
	struct ws_route_call *c = &r->calls[a->call];
	struct ws_est *t = &r->ests.targets[a->est];
	uint8_t i = 0;

	WS_INVARIANT(t->in_flight > 0 && c->n_attempts > 0);
	t->in_flight--;
	while (c->attempts[i] != attempt)
		i++;
	WS_INVARIANT(i < c->n_attempts);
	c->attempts[i] = c->attempts[c->n_attempts - 1];
	c->n_attempts--;
	ws_handles_release(&r->attempt_slots, attempt);
}

static void drop_attempts(struct ws_route *r, struct ws_fx *fx,
			  struct ws_route_call *c)
{
	while (c->n_attempts) {
		if (c->call.idempotent)
			emit_cancel(r, fx, c->attempts[0]);
		ws_route_remove_attempt(r, c->attempts[0]);
	}
}

void ws_route_finish(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		     const struct ws_answer *answer)
{
	struct ws_route_call *c = &r->calls[slot];
	struct ws_answer a = *answer;

	/* Another attempt may have run although this one did not. */
	if (a.outcome == WS_OUT_NOT_RUN && (c->may_have_run || c->n_attempts)) {
		a.outcome = WS_OUT_UNKNOWN;
		a.error = WS_ERR_UNKNOWN_OUTCOME;
	}
	drop_attempts(r, fx, c);
	emit_done(fx, c->id, &a);
#ifdef WS_MUTANT_ANSWER_TWICE
	if (c->may_have_run)
		emit_done(fx, c->id, &a);
#endif
	ws_index_del(&r->by_id, c->id);
	ws_handles_release(&r->slots, slot);
}

void ws_route_fail(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		   int error)
{
	const struct ws_route_call *c = &r->calls[slot];
	struct ws_answer a = {
		.outcome = WS_OUT_NOT_RUN,
		.error = error,
		.retry_after = WS_SECOND,
	};

	if (c->n_attempts || c->may_have_run) {
		a.outcome = WS_OUT_UNKNOWN;
		a.retry_after = 0;
		if (!c->call.idempotent)
			a.error = WS_ERR_UNKNOWN_OUTCOME;
	}
	ws_route_finish(r, fx, slot, &a);
}

void ws_route_cancel(struct ws_route *r, struct ws_fx *fx, uint64_t id)
{
	uint32_t slot = ws_index_get(&r->by_id, id);

	if (slot == WS_SLOT_NONE)
		return;
	if (!r->calls[slot].call.idempotent && r->calls[slot].n_attempts)
		return;
	ws_route_fail(r, fx, slot, WS_ERR_SHUTDOWN);
}

/* ===== Owners ===== */

void ws_route_set_owner(struct ws_route *r, uint64_t id, ws_id owner)
{
	uint32_t slot = ws_index_get(&r->by_id, id);

	if (slot != WS_SLOT_NONE)
		r->calls[slot].owner = owner;
}

size_t ws_route_calls_without_owner(const struct ws_route *r, uint64_t *ids,
				    struct ws_call *calls, size_t max)
{
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < r->slots.n && n < max; i++) {
		const struct ws_route_call *c = &r->calls[i];

		if (!ws_handles_used(&r->slots, i) || !c->sharded ||
		    c->state != WS_ROUTE_WAITING)
			continue;
		ids[n] = c->id;
		calls[n] = c->call;
		n++;
	}
	return n;
}
