#include "core/ws_route_int.h"

#include <string.h>

/* ===== Budget ===== */

bool ws_route_spend_budget(struct ws_route *r, uint32_t reserve)
{
	if (r->budget < reserve + 1000)
		return false;
	r->budget -= 1000;
	return true;
}

/* ===== Sending ===== */

static void plan_hedge(struct ws_route *r, struct ws_route_call *c)
{
	struct ws_svc_est *s = ws_ests_service(&r->ests, c->call.service);
	ws_us age = s->tail;

	c->hedge_at = 0;
	if (!r->conf.hedge || !c->call.idempotent || c->sharded || !age)
		return;
	/* After a crash one retry is all that a call gets. */
	if (c->may_have_run)
		return;
	if (age < WS_ROUTE_HEDGE_MIN)
		age = WS_ROUTE_HEDGE_MIN;
	c->hedge_at = r->now + age;
}

static void remember_tried(struct ws_route_call *c, ws_id target)
{
	if (c->n_tried < WS_ROUTE_TRIED_MAX)
		c->tried[c->n_tried++] = target;
}

static void emit_send(struct ws_route *r, struct ws_fx *fx, uint32_t attempt,
		      const struct ws_route_call *c)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_ROUTE_SEND);

	e->u.route_send.ref = r->attempt_slots.handle[attempt];
	e->u.route_send.target = r->attempts[attempt].target;
	e->u.route_send.call = c->call;
}

void ws_route_send(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		   ws_id target)
{
	struct ws_route_call *c = &r->calls[slot];
	uint32_t attempt = ws_handles_alloc(&r->attempt_slots);
	struct ws_route_attempt *a;

	WS_INVARIANT(c->n_attempts < WS_ROUTE_ATTEMPTS_MAX);
	/* Guarantee 9: nothing is out or unproved when it is sent again. */
#ifndef WS_MUTANT_RETRY_AFTER_DISPATCH
	WS_INVARIANT(c->call.idempotent ||
		     (!c->n_attempts && !c->may_have_run));
#endif
	ws_grow(&r->attempts, &r->cap_attempts, r->attempt_slots.n,
		sizeof(*r->attempts));
	a = &r->attempts[attempt];
	a->call = slot;
	a->target = target;
	a->sent = r->now;
	a->est = ws_ests_target(&r->ests, target, c->call.service);
	r->ests.targets[a->est].in_flight++;
	c->attempts[c->n_attempts++] = attempt;
	c->state = WS_ROUTE_RUNNING;
	remember_tried(c, target);
	r->stats.sends++;
	emit_send(r, fx, attempt, c);
}

void ws_route_schedule_retry(struct ws_route *r, uint32_t slot)
{
	struct ws_route_call *c = &r->calls[slot];

	c->state = WS_ROUTE_WAITING;
	c->hedge_at = 0;
	c->n_tried = 0;
	if (!c->wait_until)
		c->wait_until = r->now + WS_ROUTE_WAIT_MAX;
	if (c->wait_until > c->call.deadline)
		c->wait_until = c->call.deadline;
	c->backoff = c->backoff ? c->backoff * 2 : WS_ROUTE_BACKOFF_MIN;
	if (c->backoff > WS_ROUTE_BACKOFF_MAX)
		c->backoff = WS_ROUTE_BACKOFF_MAX;
	c->retry_at = r->now + c->backoff;
}

static ws_id find_target(struct ws_route *r, const struct ws_route_call *c,
			 const struct ws_view *view)
{
	if (!c->sharded)
		return ws_route_choose(r, c, view);
	return ws_route_is_usable(view, c->owner) ? c->owner : 0;
}

void ws_route_send_or_wait(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
			   const struct ws_view *view)
{
	struct ws_route_call *c = &r->calls[slot];
	ws_id target;

	WS_INVARIANT(!c->n_attempts);
	if (r->now >= c->call.deadline) {
		ws_route_fail(r, fx, slot, WS_ERR_DEADLINE);
		return;
	}
	target = find_target(r, c, view);
	if (!target) {
		ws_route_schedule_retry(r, slot);
		return;
	}
	ws_route_send(r, fx, slot, target);
	plan_hedge(r, c);
}

/* ===== Answers ===== */

void ws_route_release(struct ws_fx *fx, ws_payload payload)
{
	struct ws_effect *e;

	if (!payload)
		return;
	e = ws_fx_add(fx, WS_FX_RELEASE);
	e->u.release.payload = payload;
}

/* An attempt ended without proof of what happened. */
static void end_unknown(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
			const struct ws_answer *answer,
			const struct ws_view *view)
{
	struct ws_route_call *c = &r->calls[slot];
	struct ws_answer plain = *answer;
	bool may_repeat = c->call.idempotent;

#ifdef WS_MUTANT_RETRY_AFTER_DISPATCH
	may_repeat = true;
#endif
	ws_route_release(fx, answer->payload);
	plain.payload = 0;
	c->may_have_run = true;
	c->last_error = answer->error;
	if (c->n_attempts) {
		/* The other attempt counts as the retry. */
		c->n_unknown_retries++;
		return;
	}
	if (!may_repeat || c->n_unknown_retries >= WS_ROUTE_CRASH_RETRIES ||
	    !ws_route_spend_budget(r, 0)) {
		ws_route_finish(r, fx, slot, &plain);
		return;
	}
	c->n_unknown_retries++;
	r->stats.retries++;
	if (c->sharded) {
		c->owner = 0;
		ws_route_schedule_retry(r, slot);
		return;
	}
	ws_route_send_or_wait(r, fx, slot, view);
}

/* How a proved NOT_RUN is dealt with, by its reason. */
enum reaction {
	REACT_ANSWER, /* another target would say the same */
	REACT_OTHER, /* loaded: some others are asked, then it is told */
	REACT_WAIT, /* others are asked, then it waits for a change */
};

static enum reaction reaction_to(int error)
{
	switch (error) {
	case WS_ERR_OVERLOAD:
	case WS_ERR_DEADLINE:
		return REACT_OTHER;
	case WS_ERR_QUARANTINED:
	case WS_ERR_BAD_REQUEST:
	case WS_ERR_TOO_LARGE:
	case WS_ERR_NO_SERVICE:
	case WS_ERR_REQUEST_ID:
	case WS_ERR_ID_REUSED:
		return REACT_ANSWER;
	default:
		return REACT_WAIT;
	}
}

static void try_other(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		      const struct ws_answer *answer,
		      const struct ws_view *view)
{
	struct ws_route_call *c = &r->calls[slot];
	ws_id target;

	c->n_refusals++;
	if (c->sharded || c->n_refusals >= WS_ROUTE_REFUSALS_MAX ||
	    r->now >= c->call.deadline) {
		ws_route_finish(r, fx, slot, answer);
		return;
	}
	target = ws_route_choose(r, c, view);
	if (!target) {
		ws_route_finish(r, fx, slot, answer);
		return;
	}
	r->stats.resends++;
	ws_route_send(r, fx, slot, target);
	plan_hedge(r, c);
}

/* An attempt is proved not to have run; it may be sent again freely. */
static void end_not_run(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
			const struct ws_answer *answer,
			const struct ws_view *view)
{
	struct ws_route_call *c = &r->calls[slot];
	struct ws_answer plain = *answer;

	ws_route_release(fx, answer->payload);
	plain.payload = 0;
	c->last_error = answer->error;
	if (c->n_attempts)
		return;
	switch (reaction_to(answer->error)) {
	case REACT_ANSWER:
		ws_route_finish(r, fx, slot, &plain);
		return;
	case REACT_OTHER:
		try_other(r, fx, slot, &plain, view);
		return;
	case REACT_WAIT:
		break;
	}
	r->stats.resends++;
	if (!c->sharded && c->n_tried < WS_ROUTE_TRIED_MAX) {
		ws_route_send_or_wait(r, fx, slot, view);
		return;
	}
	c->owner = 0;
	ws_route_schedule_retry(r, slot);
}

/* What the end of an attempt says about the speed of its target. */
static void learn(struct ws_route *r, const struct ws_route_attempt *a,
		  const struct ws_answer *answer)
{
	ws_us age = r->now - a->sent;

	if (answer->outcome == WS_OUT_DONE)
		ws_ests_add_sample(&r->ests, r->now, a->est, age);
	else if (answer->outcome == WS_OUT_UNKNOWN)
		ws_ests_add_lower_bound(&r->ests, r->now, a->est, age);
}

void ws_route_answer(struct ws_route *r, struct ws_fx *fx, ws_us now,
		     uint64_t ref, const struct ws_answer *answer,
		     const struct ws_load *load, const struct ws_view *view)
{
	uint32_t attempt = ws_handles_find(&r->attempt_slots, ref);
	uint32_t slot;

	r->now = now;
	if (load)
		ws_ests_note_load(&r->ests, now, load);
	if (attempt == WS_SLOT_NONE) {
		ws_route_release(fx, answer->payload);
		return;
	}
	slot = r->attempts[attempt].call;
	learn(r, &r->attempts[attempt], answer);
	ws_route_remove_attempt(r, attempt);
	if (answer->outcome == WS_OUT_DONE)
		ws_route_finish(r, fx, slot, answer);
	else if (answer->outcome == WS_OUT_NOT_RUN)
		end_not_run(r, fx, slot, answer, view);
	else
		end_unknown(r, fx, slot, answer, view);
}
