#include "core/ws_disp_int.h"

#include "common/ws_events.h"

/* ===== Load ===== */

static uint16_t saturated(uint32_t n)
{
	return n > UINT16_MAX ? UINT16_MAX : (uint16_t)n;
}

static ws_us oldest_age(const struct ws_disp *d, const struct ws_disp_target *t,
			ws_us now)
{
	if (t->in_flight.head == WS_SLOT_NONE)
		return 0;
	return now - d->entries[t->in_flight.head].sent;
}

/* Smoothed latency, or the age of a request that takes longer. */
ws_us ws_disp_latency(const struct ws_disp *d, const struct ws_disp_target *t,
		      ws_us now)
{
	ws_us age = oldest_age(d, t, now);

	return age > t->limit.latency ? age : t->limit.latency;
}

/* True when our own recent answers say more than the target's reports. */
bool ws_disp_has_recent_answers(const struct ws_disp_target *t, ws_us now)
{
	return t->limit.answered &&
	       now - t->limit.answered < WS_DISP_ANSWER_MAX_AGE;
}

static void fill_load(const struct ws_disp *d, const struct ws_disp_target *t,
		      ws_us now, struct ws_load *load)
{
	uint32_t reported;

	load->target = t->id;
	load->limit = ws_limit_current(&t->limit);
	load->in_flight = saturated(t->in_flight.n);
	load->queued = saturated(t->n_queued);
	load->latency = ws_disp_latency(d, t, now);
	if (ws_disp_has_recent_answers(t, now))
		return;
	reported = t->reported_load * load->limit / 1000;
	if (reported > load->in_flight)
		load->in_flight = saturated(reported);
}

bool ws_disp_get_load(const struct ws_disp *d, ws_id target,
		      struct ws_load *load)
{
	const struct ws_disp_target *t = ws_disp_find_open(d, target);

	if (!t)
		return false;
	fill_load(d, t, d->now, load);
	return true;
}

size_t ws_disp_count(const struct ws_disp *d)
{
	return d->slots.n_used;
}

bool ws_disp_is_warm(const struct ws_disp *d, ws_us now, ws_id target)
{
	const struct ws_disp_target *t = ws_disp_find_open(d, target);

	return t && t->limit.limit >= t->limit.slots && !t->limit.slow_streak &&
	       t->limit.answered &&
	       now - t->limit.answered <= WS_DISP_WARM_MAX_AGE;
}

size_t ws_disp_in_flight(const struct ws_disp *d, ws_id target)
{
	const struct ws_disp_target *t = ws_disp_find(d, target);

	return t ? t->in_flight.n : 0;
}

/* ===== Answers ===== */

void ws_disp_emit_done(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		       ws_id origin, uint64_t ref,
		       const struct ws_disp_target *t,
		       const struct ws_answer *answer)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_DISP_DONE);

	e->u.disp_done.origin = origin;
	e->u.disp_done.ref = ref;
	e->u.disp_done.answer = *answer;
	if (t)
		fill_load(d, t, now, &e->u.disp_done.load);
}

/* Answers whoever asked for an entry; the entry itself may live on. */
void ws_disp_answer_entry(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  uint32_t slot, const struct ws_answer *answer)
{
	struct ws_disp_entry *e = &d->entries[slot];
	const struct ws_disp_target *t = &d->targets[e->target];

	WS_INVARIANT(e->state != WS_ENTRY_ANSWERED);
	e->state = WS_ENTRY_ANSWERED;
	ws_index_del(&d->by_ref, ws_disp_ref_key(e->origin, e->ref));
	ws_disp_emit_done(d, fx, now, e->origin, e->ref, t, answer);
}

static ws_us retry_after(const struct ws_disp_target *t)
{
	ws_us wait;

	if (!t || !t->limit.latency)
		return WS_DISP_RETRY_AFTER_DEFAULT;
	wait = (ws_us)(t->n_queued + 1) * t->limit.latency;
	return wait / ws_limit_current(&t->limit) + WS_MS;
}

struct ws_answer ws_disp_make_not_run(const struct ws_disp_target *t, int error)
{
	struct ws_answer a = {
		.outcome = WS_OUT_NOT_RUN,
		.error = error,
		.retry_after = retry_after(t),
	};

	return a;
}

struct ws_answer ws_disp_make_unknown(int error)
{
	struct ws_answer a = {
		.outcome = WS_OUT_UNKNOWN,
		.error = error ? error : WS_ERR_UNKNOWN_OUTCOME,
	};

	return a;
}

/* Answers a queued entry as not run and forgets it. */
void ws_disp_reject_queued(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			   uint32_t slot, int error)
{
	struct ws_disp_target *t = &d->targets[d->entries[slot].target];
	struct ws_answer a = ws_disp_make_not_run(t, error);

	WS_INVARIANT(d->entries[slot].state == WS_ENTRY_QUEUED);
	ws_queue_remove(d, t, slot);
	ws_disp_answer_entry(d, fx, now, slot, &a);
	ws_handles_release(&d->slots, slot);
}

/* ===== Sending ===== */

static void send_entry(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		       struct ws_disp_target *t, uint32_t slot)
{
	struct ws_disp_entry *e = &d->entries[slot];
	struct ws_effect *s = ws_fx_add(fx, WS_FX_DISP_SEND);

	WS_INVARIANT(e->state == WS_ENTRY_QUEUED);
	e->state = WS_ENTRY_IN_FLIGHT;
	e->sent = now;
	e->epoch = t->limit.epoch;
	/* Any incarnation may serve an open service; the one known here is. */
	if (t->incarnation && (!e->incarnation || !e->fence))
		e->incarnation = t->incarnation;
	ws_disp_list_append(d, &t->in_flight, slot);
	s->u.attempt.attempt = d->slots.handle[slot];
	s->u.attempt.target = t->id;
	s->u.attempt.incarnation = e->incarnation;
	s->u.attempt.fence = e->fence;
	s->u.attempt.call = e->call;
#ifndef WS_MUTANT_LIMIT_ABOVE_SLOTS
	WS_INVARIANT(t->in_flight.n <= t->limit.slots);
#endif
}

/* Sends queued entries as far as the limit allows. */
void ws_disp_send_queued(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			 struct ws_disp_target *t)
{
	struct ws_answer late;
	uint32_t slot;

	if (!t->open || now < t->limit.backoff_until)
		return;
	while (t->in_flight.n < ws_limit_current(&t->limit)) {
		slot = ws_queue_pop(d, t);
		if (slot == WS_SLOT_NONE)
			return;
		if (now < d->entries[slot].call.deadline) {
			send_entry(d, fx, now, t, slot);
			continue;
		}
		late = ws_disp_make_not_run(t, WS_ERR_DEADLINE);
		ws_disp_answer_entry(d, fx, now, slot, &late);
		ws_handles_release(&d->slots, slot);
	}
}

void ws_disp_emit_cancel(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			 uint32_t slot)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_ATTEMPT_CANCEL);

	e->u.attempt.attempt = d->slots.handle[slot];
	d->entries[slot].cancelled = now;
}

/* ===== Cold starts ===== */

void ws_disp_mark_cold(struct ws_fx *fx, struct ws_disp_target *t)
{
	struct ws_effect *e;

	ws_limit_set_cold(&t->limit);
	e = ws_fx_add(fx, WS_FX_TARGET_COLD);
	e->u.probe.target = t->id;
	ws_fx_log(fx, WS_LOG_TARGET_COLD, t->id, t->limit.limit, 0);
}

/* A new incarnation is a cold start; the first one seen is not news. */
void ws_disp_update_incarnation(struct ws_fx *fx, struct ws_disp_target *t,
				uint64_t incarnation)
{
	bool changed = t->incarnation && t->incarnation != incarnation;

	if (!incarnation || t->incarnation == incarnation)
		return;
	t->incarnation = incarnation;
	t->limit.latency = 0;
	t->limit.answered = 0;
	if (changed)
		ws_disp_mark_cold(fx, t);
}

void ws_disp_add_latency_sample(struct ws_fx *fx, ws_us now,
				struct ws_disp_target *t, ws_us latency)
{
	if (ws_limit_add_sample(&t->limit, now, latency))
		ws_disp_mark_cold(fx, t);
}
