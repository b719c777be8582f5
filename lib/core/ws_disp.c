#include "core/ws_disp_int.h"

#include <stdlib.h>
#include <string.h>

/* ===== Life ===== */

struct ws_disp *ws_disp_new(const struct ws_disp_conf *conf)
{
	struct ws_disp *d = ws_alloc(1, sizeof(*d));

	d->conf = *conf;
	if (!d->conf.max_queued)
		d->conf.max_queued = 1;
	ws_handles_init(&d->slots);
	return d;
}

void ws_disp_free(struct ws_disp *d)
{
	size_t i;

	if (!d)
		return;
	for (i = 0; i < d->n_targets; i++)
		free(d->targets[i].flows);
	free(d->targets);
	free(d->entries);
	ws_handles_free(&d->slots);
	ws_index_free(&d->by_ref);
	ws_index_free(&d->by_target);
	free(d);
}

/* ===== Tables ===== */

uint64_t ws_disp_ref_key(ws_id origin, uint64_t ref)
{
	uint64_t key = ws_mix(origin, ref);

	return key ? key : 1;
}

static uint32_t find_entry(const struct ws_disp *d, ws_id origin, uint64_t ref)
{
	return ws_index_get(&d->by_ref, ws_disp_ref_key(origin, ref));
}

struct ws_disp_target *ws_disp_find(const struct ws_disp *d, ws_id target)
{
	uint32_t at = ws_index_get(&d->by_target, target);

	return at == WS_SLOT_NONE ? NULL : &d->targets[at];
}

struct ws_disp_target *ws_disp_find_open(const struct ws_disp *d, ws_id target)
{
	struct ws_disp_target *t = ws_disp_find(d, target);

	return t && t->open ? t : NULL;
}

static struct ws_disp_target *add_target(struct ws_disp *d, ws_id target)
{
	struct ws_disp_target *t;

	ws_grow(&d->targets, &d->cap_targets, d->n_targets + 1,
		sizeof(*d->targets));
	t = &d->targets[d->n_targets];
	memset(t, 0, sizeof(*t));
	t->id = target;
	t->ready = true;
	ws_disp_list_init(&t->in_flight);
	ws_index_put(&d->by_target, target, (uint32_t)d->n_targets);
	d->n_targets++;
	return t;
}

/* ===== Opening and closing ===== */

void ws_disp_open(struct ws_disp *d, ws_us now, ws_id target, bool warm,
		  const struct ws_service *svc)
{
	struct ws_disp_target *t = ws_disp_find(d, target);

	d->now = now;
	if (!t)
		t = add_target(d, target);
	ws_limit_set_bounds(&t->limit, svc);
	if (t->open)
		return;
	t->open = true;
	t->ready = true;
	t->reported_load = 0;
	ws_limit_set_cold(&t->limit);
	if (warm)
		ws_limit_set_warm(&t->limit);
}

void ws_disp_close(struct ws_disp *d, struct ws_fx *fx, ws_us now, ws_id target)
{
	struct ws_disp_target *t = ws_disp_find_open(d, target);

	if (!t)
		return;
	d->now = now;
	t->open = false;
	while (t->n_flows)
		ws_disp_reject_queued(d, fx, now, t->flows[0].list.head,
				      WS_ERR_NOT_HOLDER);
	t->incarnation = 0;
	t->limit.latency = 0;
	t->limit.answered = 0;
	t->limit.backoff = 0;
	t->limit.backoff_until = 0;
	t->limit.cap = 0;
}

bool ws_disp_is_open(const struct ws_disp *d, ws_id target)
{
	return ws_disp_find_open(d, target) != NULL;
}

/* ===== Submission ===== */

/* Time until a new request of the customer would be sent, as estimated. */
static ws_us expected_wait(const struct ws_disp *d,
			   const struct ws_disp_target *t, ws_us now,
			   ws_id customer, uint16_t weight)
{
	uint32_t ahead = ws_queue_requests_ahead(t, customer, weight);
	uint16_t limit = ws_limit_current(&t->limit);
	ws_us wait = 0;

	if (now < t->limit.backoff_until)
		wait = t->limit.backoff_until - now;
	if (!ahead && t->in_flight.n < limit)
		return wait;
	return wait + (ahead + 1) * ws_disp_latency(d, t, now) / limit;
}

/* 0, or the reason why the call is refused at once. */
static int check_submit(const struct ws_disp *d, const struct ws_disp_target *t,
			ws_us now, uint64_t incarnation, ws_offset fence,
			uint16_t weight, const struct ws_call *call)
{
	ws_us wait;

	if (!t)
		return WS_ERR_NOT_HOLDER;
	if (fence && incarnation && t->incarnation &&
	    incarnation != t->incarnation)
		return WS_ERR_NOT_HOLDER;
	if (now >= call->deadline)
		return WS_ERR_DEADLINE;
	wait = expected_wait(d, t, now, call->customer, weight);
	/* An idle target is always tried, or its estimate could never fall. */
	if (wait && now + wait + t->limit.latency > call->deadline)
		return WS_ERR_DEADLINE;
	return 0;
}

/* Makes room in a full queue; false when the new call has to go. */
static bool make_room(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		      struct ws_disp_target *t, ws_id customer, uint16_t weight)
{
	uint32_t victim;

	if (t->n_queued < d->conf.max_queued)
		return true;
	victim = ws_queue_find_victim(t, customer, weight);
	if (victim == WS_SLOT_NONE)
		return false;
	ws_disp_reject_queued(d, fx, now, victim, WS_ERR_OVERLOAD);
	return true;
}

static uint32_t add_entry(struct ws_disp *d, const struct ws_disp_entry *from)
{
	uint32_t slot = ws_handles_alloc(&d->slots);

	ws_grow(&d->entries, &d->cap_entries, d->slots.n, sizeof(*d->entries));
	d->entries[slot] = *from;
	ws_index_put(&d->by_ref, ws_disp_ref_key(from->origin, from->ref),
		     slot);
	return slot;
}

void ws_disp_submit(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		    ws_id origin, uint64_t ref, ws_id target,
		    uint64_t incarnation, ws_offset fence, uint16_t weight,
		    const struct ws_call *call)
{
	struct ws_disp_target *t = ws_disp_find_open(d, target);
	struct ws_disp_entry e = {
		.state = WS_ENTRY_QUEUED,
		.weight = weight ? weight : 1,
		.origin = origin,
		.ref = ref,
		.incarnation = incarnation,
		.fence = fence,
		.call = *call,
	};
	struct ws_answer a;
	int err;

	d->now = now;
	if (find_entry(d, origin, ref) != WS_SLOT_NONE)
		return;
	err = check_submit(d, t, now, incarnation, fence, e.weight, call);
	if (!err && !make_room(d, fx, now, t, call->customer, e.weight))
		err = WS_ERR_OVERLOAD;
	if (err) {
		a = ws_disp_make_not_run(t, err);
		ws_disp_emit_done(d, fx, now, origin, ref, t, &a);
		return;
	}
	e.target = (uint32_t)(t - d->targets);
	ws_queue_push(d, t, add_entry(d, &e));
	ws_disp_send_queued(d, fx, now, t);
}

/* ===== Cancelling ===== */

void ws_disp_cancel(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		    ws_id origin, uint64_t ref)
{
	uint32_t slot = find_entry(d, origin, ref);
	struct ws_answer a = ws_disp_make_unknown(0);

	d->now = now;
	if (slot == WS_SLOT_NONE)
		return;
	if (d->entries[slot].state == WS_ENTRY_QUEUED) {
		ws_disp_reject_queued(d, fx, now, slot, WS_ERR_SHUTDOWN);
		return;
	}
	if (!d->entries[slot].call.idempotent)
		return;
	ws_disp_answer_entry(d, fx, now, slot, &a);
	ws_disp_emit_cancel(d, fx, now, slot);
}

/* ===== Probes ===== */

void ws_disp_probe_result(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  ws_id target, bool ok, uint64_t incarnation,
			  bool ready, uint32_t load)
{
	struct ws_disp_target *t = ws_disp_find_open(d, target);

	d->now = now;
	if (!t || !ok)
		return;
	ws_disp_update_incarnation(fx, t, incarnation);
	t->reported_load = load;
	/* Health may lag or mislead; own recent answers say more. */
	if (!ready && t->ready && !ws_disp_has_recent_answers(t, now))
		ws_disp_mark_cold(fx, t);
	t->ready = ready;
	ws_disp_send_queued(d, fx, now, t);
}

void ws_disp_slow_start(struct ws_disp *d, ws_us now, ws_id target)
{
	struct ws_disp_target *t = ws_disp_find_open(d, target);

	d->now = now;
	if (t)
		ws_limit_set_cold(&t->limit);
}

void ws_disp_set_limit_cap(struct ws_disp *d, ws_id target, uint16_t cap)
{
	struct ws_disp_target *t = ws_disp_find_open(d, target);

	if (t)
		t->limit.cap = cap;
}
