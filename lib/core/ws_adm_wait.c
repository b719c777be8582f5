#include "core/ws_adm_priv.h"

/* ===== Results ===== */

void ws_adm_admit(struct ws_adm *a, struct ws_fx *fx, uint64_t id,
		  const struct ws_call *call)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_ADMITTED);

	e->u.call.id = id;
	e->u.call.call = *call;
	a->stats.admitted++;
}

void ws_adm_refuse(struct ws_adm *a, struct ws_fx *fx, uint64_t id,
		   const struct ws_call *call, int error, ws_us retry_after)
{
	struct ws_effect *e;

	if (call->payload) {
		e = ws_fx_add(fx, WS_FX_RELEASE);
		e->u.release.payload = call->payload;
	}
	e = ws_fx_add(fx, WS_FX_ADMIT_REFUSED);
	e->u.reply.id = id;
	e->u.reply.answer.outcome = WS_OUT_NOT_RUN;
	e->u.reply.answer.error = error;
	e->u.reply.answer.retry_after = retry_after;
	a->stats.refused++;
}

ws_us ws_adm_retry_after(const struct ws_adm_customer *c)
{
	if (!c->rate || !c->burst)
		return WS_ADM_NO_RATE_RETRY_AFTER;
	return ((ws_us)c->n_wait + 1) * WS_SECOND / c->rate + 1;
}

/* ===== Queue ===== */

static uint64_t hash_of(uint64_t id)
{
	return ws_mix(id, 2);
}

/* More than what is minted during the wait and what there may be now. */
static bool too_many_wait(const struct ws_adm *a,
			  const struct ws_adm_customer *c, ws_us now)
{
	uint64_t minted = (uint64_t)c->rate * WS_TOKEN_WAIT_MAX / WS_SECOND + 1;

	if (a->wait_index.count >= WS_ADM_MAX_WAITING)
		return true;
	if (c->n_wait < minted)
		return false;
	return (c->n_wait - minted) * WS_ADM_MILLI >=
	       (uint64_t)ws_adm_max_reachable(a, c, now);
}

static ws_us wait_until(const struct ws_call *call, ws_us now)
{
	ws_us until = now + WS_TOKEN_WAIT_MAX;

	if (call->deadline && call->deadline < until)
		until = call->deadline;
	return until;
}

bool ws_adm_wait(struct ws_adm *a, uint32_t customer, uint64_t id,
		 const struct ws_call *call, ws_us now)
{
	struct ws_adm_customer *c = &a->customers[customer];
	uint32_t s;

	if (too_many_wait(a, c, now))
		return false;
	s = ws_slots_alloc(&a->wait_index, hash_of(id));
	ws_grow(&a->waits, &a->waits_cap, a->wait_index.cap, sizeof(*a->waits));
	a->waits[s] = (struct ws_adm_wait){
		.id = id,
		.call = *call,
		.until = wait_until(call, now),
		.customer = customer,
		.next = WS_SLOT_NONE,
		.prev = c->last_wait,
	};
	if (c->last_wait == WS_SLOT_NONE)
		c->first_wait = s;
	else
		a->waits[c->last_wait].next = s;
	c->last_wait = s;
	c->n_wait++;
	return true;
}

static void unlink_wait(struct ws_adm *a, uint32_t s)
{
	struct ws_adm_wait *w = &a->waits[s];
	struct ws_adm_customer *c = &a->customers[w->customer];

	if (w->prev == WS_SLOT_NONE)
		c->first_wait = w->next;
	else
		a->waits[w->prev].next = w->next;
	if (w->next == WS_SLOT_NONE)
		c->last_wait = w->prev;
	else
		a->waits[w->next].prev = w->prev;
	c->n_wait--;
	ws_slots_release(&a->wait_index, s);
}

void ws_adm_cancel(struct ws_adm *a, uint64_t id)
{
	uint32_t s = ws_slots_first(&a->wait_index, hash_of(id));

	while (s != WS_SLOT_NONE && a->waits[s].id != id)
		s = ws_slots_next(&a->wait_index, s);
	if (s == WS_SLOT_NONE)
		return;
	ws_grow(&a->to_release, &a->cap_to_release, a->n_to_release + 1,
		sizeof(*a->to_release));
	a->to_release[a->n_to_release++] = a->waits[s].call.payload;
	unlink_wait(a, s);
}

/* ===== Serving ===== */

void ws_adm_serve(struct ws_adm *a, struct ws_fx *fx, struct ws_adm_customer *c,
		  ws_us now)
{
	struct ws_adm_wait w;
	uint32_t s;

	while ((s = c->first_wait) != WS_SLOT_NONE) {
		w = a->waits[s];
		if (now >= w.until || !ws_adm_spend(a, c, now))
			return;
		unlink_wait(a, s);
		ws_adm_admit(a, fx, w.id, &w.call);
	}
}

static void refuse_late(struct ws_adm *a, struct ws_fx *fx,
			struct ws_adm_customer *c, uint32_t s, ws_us now)
{
	struct ws_adm_wait w = a->waits[s];
	bool deadline = w.call.deadline && now >= w.call.deadline;

	unlink_wait(a, s);
	if (deadline)
		ws_adm_refuse(a, fx, w.id, &w.call, WS_ERR_DEADLINE, 0);
	else
		ws_adm_refuse(a, fx, w.id, &w.call, WS_ERR_RATE,
			      ws_adm_retry_after(c));
}

void ws_adm_expire_waits(struct ws_adm *a, struct ws_fx *fx,
			 struct ws_adm_customer *c, ws_us now)
{
	uint32_t s = c->first_wait;
	uint32_t next;

	for (; s != WS_SLOT_NONE; s = next) {
		next = a->waits[s].next;
		if (now >= a->waits[s].until)
			refuse_late(a, fx, c, s, now);
	}
}

void ws_adm_refuse_all(struct ws_adm *a, struct ws_fx *fx,
		       struct ws_adm_customer *c)
{
	struct ws_adm_wait w;
	uint32_t s;

	while ((s = c->first_wait) != WS_SLOT_NONE) {
		w = a->waits[s];
		unlink_wait(a, s);
		ws_adm_refuse(a, fx, w.id, &w.call, WS_ERR_BAD_KEY,
			      WS_ADM_NO_RATE_RETRY_AFTER);
	}
}
