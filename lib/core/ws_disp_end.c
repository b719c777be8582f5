#include "core/ws_disp_int.h"

#include <string.h>

#include "common/ws_events.h"

/* ===== Results ===== */

static void emit_release(struct ws_fx *fx, ws_payload payload)
{
	struct ws_effect *e;

	if (!payload)
		return;
	e = ws_fx_add(fx, WS_FX_RELEASE);
	e->u.release.payload = payload;
}

/*
 * The strike id depends on the crash and the request only, so all instances
 * that learn of the same crash name it alike and it counts once.
 */
static void emit_strike(struct ws_fx *fx, const struct ws_disp_entry *e,
			const struct ws_disp_target *t)
{
	struct ws_effect *s = ws_fx_add(fx, WS_FX_STRIKE);
	uint64_t crash = ws_mix(t->id, e->incarnation);

	s->u.strike.fingerprint = e->call.fingerprint;
	s->u.strike.strike_id = ws_mix(crash, e->call.fingerprint);
	s->u.strike.target = t->id;
	ws_fx_log(fx, WS_LOG_TARGET_CRASHED, t->id, 0, 0);
}

/* A 409 is about grants or the incarnation, not about load. */
static bool is_load_shed(const struct ws_attempt_result *r)
{
	return r->shed && r->status != 409;
}

static struct ws_answer to_answer(const struct ws_disp_target *t,
				  const struct ws_attempt_result *r)
{
	struct ws_answer a;

#ifdef WS_MUTANT_NOT_RUN_IN_FLIGHT
	if (r->crashed)
		return ws_disp_make_not_run(t, WS_ERR_TARGET_FAILED);
#endif
	if (r->crashed)
		return ws_disp_make_unknown(WS_ERR_UNKNOWN_OUTCOME);
	if (is_load_shed(r))
		return ws_disp_make_not_run(t, WS_ERR_OVERLOAD);
	if (r->shed)
		return ws_disp_make_not_run(t, WS_ERR_NOT_HOLDER);
	if (r->outcome == WS_OUT_NOT_RUN)
		return ws_disp_make_not_run(t, r->error ? r->error :
							  WS_ERR_TARGET_FAILED);
	if (r->outcome != WS_OUT_DONE)
		return ws_disp_make_unknown(r->error);
	memset(&a, 0, sizeof(a));
	a.outcome = WS_OUT_DONE;
	a.status = r->status;
	a.payload = r->payload;
	return a;
}

/* What the end of an attempt says about its target. */
static void learn(struct ws_fx *fx, ws_us now, struct ws_disp_target *t,
		  const struct ws_disp_entry *e,
		  const struct ws_attempt_result *r)
{
	ws_disp_update_incarnation(fx, t, r->incarnation);
	if (r->crashed) {
		emit_strike(fx, e, t);
		ws_disp_mark_cold(fx, t);
		return;
	}
	if (is_load_shed(r)) {
		ws_fx_log(fx, WS_LOG_TARGET_SHED, t->id, t->in_flight.n, 0);
		ws_limit_on_shed(&t->limit, now);
		ws_disp_mark_cold(fx, t);
		return;
	}
	if (r->outcome == WS_OUT_NOT_RUN && r->error == WS_ERR_TARGET_FAILED)
		ws_disp_mark_cold(fx, t);
	if (r->outcome == WS_OUT_NOT_RUN || r->shed)
		return;
	/* A cancelled attempt tells how long it took at least. */
	if (e->cancelled && !ws_limit_is_slow(&t->limit, now - e->sent))
		return;
	ws_disp_add_latency_sample(fx, now, t, now - e->sent);
	if (r->outcome == WS_OUT_DONE && r->status < 500 && !e->cancelled)
		ws_limit_on_success(&t->limit, e->epoch);
}

static bool is_out(const struct ws_disp_entry *e)
{
	return e->state == WS_ENTRY_IN_FLIGHT || e->state == WS_ENTRY_ANSWERED;
}

/* The exchange is over, but the target may not have noticed yet. */
static bool may_run_on(const struct ws_disp_entry *e,
		       const struct ws_attempt_result *r)
{
	return e->state == WS_ENTRY_ANSWERED && r->outcome == WS_OUT_UNKNOWN &&
	       !r->crashed && !r->shed;
}

static void linger(struct ws_disp_entry *e, const struct ws_disp_target *t,
		   ws_us now)
{
	e->state = WS_ENTRY_LINGERING;
	e->linger_until = e->sent + t->limit.latency * WS_DISP_LINGER_LATENCIES;
	if (e->linger_until > now + WS_DISP_LINGER_MAX)
		e->linger_until = now + WS_DISP_LINGER_MAX;
	if (e->linger_until < now + WS_DISP_LINGER_MIN)
		e->linger_until = now + WS_DISP_LINGER_MIN;
}

void ws_disp_attempt_done(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  uint64_t attempt,
			  const struct ws_attempt_result *result)
{
	uint32_t slot = ws_handles_find(&d->slots, attempt);
	struct ws_disp_target *t;
	struct ws_answer a;

	d->now = now;
	if (slot == WS_SLOT_NONE || !is_out(&d->entries[slot])) {
		emit_release(fx, result->payload);
		return;
	}
	t = &d->targets[d->entries[slot].target];
	learn(fx, now, t, &d->entries[slot], result);
	if (may_run_on(&d->entries[slot], result)) {
		linger(&d->entries[slot], t, now);
		return;
	}
	ws_disp_list_remove(d, &t->in_flight, slot);
	a = to_answer(t, result);
	if (a.payload != result->payload ||
	    d->entries[slot].state == WS_ENTRY_ANSWERED)
		emit_release(fx, result->payload);
	if (d->entries[slot].state != WS_ENTRY_ANSWERED)
		ws_disp_answer_entry(d, fx, now, slot, &a);
	ws_handles_release(&d->slots, slot);
	ws_disp_send_queued(d, fx, now, t);
}

/* ===== Deadlines ===== */

/* Ends an attempt at its deadline; its slot stays counted until it is over. */
static void expire_attempt(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			   uint32_t slot)
{
	struct ws_disp_target *t = &d->targets[d->entries[slot].target];
	struct ws_answer a = ws_disp_make_unknown(0);

	ws_disp_add_latency_sample(fx, now, t, now - d->entries[slot].sent);
	ws_disp_answer_entry(d, fx, now, slot, &a);
	ws_disp_emit_cancel(d, fx, now, slot);
}

static void check_in_flight(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			    struct ws_disp_target *t)
{
	uint32_t slot = t->in_flight.head;
	uint32_t next;

	for (; slot != WS_SLOT_NONE; slot = next) {
		struct ws_disp_entry *e = &d->entries[slot];

		next = e->next;
		if (e->state == WS_ENTRY_IN_FLIGHT && now >= e->call.deadline)
			expire_attempt(d, fx, now, slot);
		if (e->state == WS_ENTRY_LINGERING && now >= e->linger_until) {
			ws_disp_list_remove(d, &t->in_flight, slot);
			ws_handles_release(&d->slots, slot);
			continue;
		}
		if (!e->cancelled || now < e->cancelled + WS_DISP_CANCEL_GRACE)
			continue;
		ws_disp_list_remove(d, &t->in_flight, slot);
		ws_handles_release(&d->slots, slot);
		ws_disp_mark_cold(fx, t);
	}
}

/* Refuses what can no longer be answered in time. */
static void check_lane(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		       struct ws_disp_target *t, struct ws_disp_flow *lane)
{
	uint32_t slot = lane->list.head;
	uint32_t left = lane->list.n;
	uint32_t next;

	/* The lane may be gone after its last entry, so count them. */
	for (; left; left--, slot = next) {
		next = d->entries[slot].next;
		if (now + t->limit.latency < d->entries[slot].call.deadline)
			continue;
		ws_disp_reject_queued(d, fx, now, slot, WS_ERR_DEADLINE);
	}
}

static void check_queue(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			struct ws_disp_target *t)
{
	size_t i;

	for (i = t->n_flows; i > 0; i--)
		check_lane(d, fx, now, t, &t->flows[i - 1]);
}

void ws_disp_tick(struct ws_disp *d, struct ws_fx *fx, ws_us now)
{
	size_t i;

	d->now = now;
	for (i = 0; i < d->n_targets; i++) {
		struct ws_disp_target *t = &d->targets[i];

		check_in_flight(d, fx, now, t);
		check_queue(d, fx, now, t);
		ws_disp_send_queued(d, fx, now, t);
	}
}
