#include "core/ws_route_int.h"

/* ===== Estimates ===== */

static void find_oldest(struct ws_route *r)
{
	struct ws_est *t;
	uint32_t i;

	for (i = 0; i < r->ests.slots.n; i++)
		r->ests.targets[i].oldest = 0;
	for (i = 0; i < r->attempt_slots.n; i++) {
		if (!ws_handles_used(&r->attempt_slots, i))
			continue;
		t = &r->ests.targets[r->attempts[i].est];
		if (!t->oldest || r->attempts[i].sent < t->oldest)
			t->oldest = r->attempts[i].sent;
	}
}

/* ===== Calls ===== */

static void check_waiting(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
			  const struct ws_view *view)
{
	struct ws_route_call *c = &r->calls[slot];
	int error = c->last_error ? c->last_error : WS_ERR_NO_TARGET;

	if (r->now >= c->wait_until) {
		ws_route_fail(r, fx, slot, error);
		return;
	}
	if (r->now >= c->retry_at)
		ws_route_send_or_wait(r, fx, slot, view);
}

static void hedge(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		  const struct ws_view *view)
{
	struct ws_route_call *c = &r->calls[slot];
	ws_id target;

	if (c->n_attempts >= WS_ROUTE_ATTEMPTS_MAX)
		return;
	if (!ws_route_spend_budget(r, WS_ROUTE_BUDGET_RETRY_RESERVE))
		return;
	c->hedge_at = 0;
	target = ws_route_choose(r, c, view);
	if (!target)
		return;
	r->stats.hedges++;
	ws_route_send(r, fx, slot, target);
}

static void check_running(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
			  const struct ws_view *view)
{
	const struct ws_route_call *c = &r->calls[slot];

	if (r->now >= c->call.deadline + WS_ROUTE_ANSWER_GRACE) {
		ws_route_fail(r, fx, slot, WS_ERR_DEADLINE);
		return;
	}
	if (c->hedge_at && r->now >= c->hedge_at && r->now < c->call.deadline)
		hedge(r, fx, slot, view);
}

void ws_route_tick(struct ws_route *r, struct ws_fx *fx, ws_us now,
		   const struct ws_view *view)
{
	uint32_t i;

	r->now = now;
	find_oldest(r);
	ws_ests_tick(&r->ests, now, view);
	for (i = 0; i < r->slots.n; i++) {
		if (!ws_handles_used(&r->slots, i))
			continue;
		if (r->calls[i].state == WS_ROUTE_WAITING)
			check_waiting(r, fx, i, view);
		else
			check_running(r, fx, i, view);
	}
}
