#include "core/ws_idem_priv.h"

#include <stdlib.h>

#include "common/ws_events.h"

/* Each tick checks SWEEP_MIN slots and 1/SWEEP_PARTS of the table. */
#define SWEEP_PARTS 128
#define SWEEP_MIN 32

/* ===== Lifecycle ===== */

struct ws_idem *ws_idem_new(size_t max_entries, size_t max_waiters)
{
	struct ws_idem *d = ws_alloc(1, sizeof(*d));

	d->max_items = max_entries;
	d->max_waiters = max_waiters;
	ws_slots_init(&d->item_index);
	ws_slots_init(&d->waiter_index);
	return d;
}

void ws_idem_free(struct ws_idem *d)
{
	size_t i;

	if (!d)
		return;
	for (i = 0; i < d->homes_cap; i++)
		free(d->homes[i].received_seen);
	free(d->homes);
	free(d->moves);
	free(d->items);
	free(d->waiters);
	ws_slots_free(&d->item_index);
	ws_slots_free(&d->waiter_index);
	free(d);
}

size_t ws_idem_count(const struct ws_idem *d)
{
	return d->item_index.count;
}

/* ===== Request ids ===== */

static uint64_t hash_id(ws_id customer, const uint64_t request_id[2])
{
	return ws_mix(customer, ws_mix(request_id[0], request_id[1]));
}

uint32_t ws_idem_partition(ws_id customer, const uint64_t request_id[2],
			   uint32_t partitions)
{
	WS_INVARIANT(partitions > 0);
	return (uint32_t)(hash_id(customer, request_id) % partitions);
}

static bool is_uuid7(const uint64_t request_id[2])
{
	return ((request_id[0] >> 12) & 15) == 7 && request_id[1] >> 62 == 2;
}

/* ===== Wall clock ===== */

void ws_idem_observe_wall(struct ws_idem *d, int64_t wall_ms)
{
	int64_t horizon = wall_ms - WS_IDEM_RETENTION_MS;

	if (wall_ms > d->wall_ms)
		d->wall_ms = wall_ms;
	if (horizon > d->horizon_ms)
		d->horizon_ms = horizon;
}

/* ===== Items ===== */

void ws_idem_release(struct ws_fx *fx, ws_payload payload)
{
	if (payload)
		ws_fx_add(fx, WS_FX_RELEASE)->u.release.payload = payload;
}

uint32_t ws_idem_find(const struct ws_idem *d, ws_id customer,
		      const uint64_t request_id[2])
{
	uint32_t s =
		ws_slots_first(&d->item_index, hash_id(customer, request_id));
	const struct ws_idem_item *it;

	for (; s != WS_SLOT_NONE; s = ws_slots_next(&d->item_index, s)) {
		it = &d->items[s];
		if (it->customer == customer &&
		    it->request_id[0] == request_id[0] &&
		    it->request_id[1] == request_id[1])
			break;
	}
	return s;
}

uint32_t ws_idem_add(struct ws_idem *d, ws_id customer,
		     const uint64_t request_id[2], uint64_t fingerprint,
		     uint8_t state)
{
	uint32_t s;

	if (d->item_index.count >= d->max_items)
		return WS_SLOT_NONE;
	s = ws_slots_alloc(&d->item_index, hash_id(customer, request_id));
	ws_grow(&d->items, &d->items_cap, d->item_index.cap, sizeof(*d->items));
	d->items[s] = (struct ws_idem_item){
		.request_id = { request_id[0], request_id[1] },
		.customer = customer,
		.fingerprint = fingerprint,
		.waiters = WS_SLOT_NONE,
		.state = state,
	};
	return s;
}

void ws_idem_remove(struct ws_idem *d, struct ws_fx *fx, uint32_t item)
{
	WS_INVARIANT(d->items[item].waiters == WS_SLOT_NONE);
	ws_idem_release(fx, d->items[item].answer.payload);
	ws_slots_release(&d->item_index, item);
}

/* ===== Waiters ===== */

static uint32_t find_waiter(const struct ws_idem *d, uint64_t id)
{
	uint32_t s = ws_slots_first(&d->waiter_index, ws_mix(id, 0));

	while (s != WS_SLOT_NONE && d->waiters[s].id != id)
		s = ws_slots_next(&d->waiter_index, s);
	return s;
}

static bool has_waiter_room(const struct ws_idem *d)
{
	return d->waiter_index.count < d->max_waiters;
}

static void add_waiter(struct ws_idem *d, uint32_t item, uint64_t id,
		       bool routed)
{
	uint32_t s = ws_slots_alloc(&d->waiter_index, ws_mix(id, 0));

	ws_grow(&d->waiters, &d->waiters_cap, d->waiter_index.cap,
		sizeof(*d->waiters));
	d->waiters[s] = (struct ws_idem_waiter){
		.id = id,
		.item = item,
		.next = d->items[item].waiters,
		.routed = routed,
	};
	d->items[item].waiters = s;
}

static void remove_waiter(struct ws_idem *d, uint32_t waiter)
{
	uint32_t *p = &d->items[d->waiters[waiter].item].waiters;

	while (*p != waiter)
		p = &d->waiters[*p].next;
	*p = d->waiters[waiter].next;
	ws_slots_release(&d->waiter_index, waiter);
}

void ws_idem_cancel(struct ws_idem *d, uint64_t id)
{
	uint32_t s = find_waiter(d, id);

	if (s == WS_SLOT_NONE)
		return;
	if (d->waiters[s].routed)
		d->waiters[s].gone = true;
	else
		remove_waiter(d, s);
}

/* ===== Answers ===== */

static void refuse(struct ws_fx *fx, uint64_t id, uint8_t outcome, int error)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_HOME_DONE);

	e->u.reply.id = id;
	e->u.reply.answer.outcome = outcome;
	e->u.reply.answer.error = error;
}

/* Emits the answer for one waiter, with its own reference to the payload. */
static void reply(struct ws_fx *fx, uint64_t id, const struct ws_answer *answer)
{
	struct ws_effect *e;

	if (answer->payload) {
		e = ws_fx_add(fx, WS_FX_RETAIN);
		e->u.release.payload = answer->payload;
	}
	e = ws_fx_add(fx, WS_FX_HOME_DONE);
	e->u.reply.id = id;
	e->u.reply.answer = *answer;
}

static void reply_all(struct ws_idem *d, struct ws_fx *fx, uint32_t item,
		      const struct ws_answer *answer)
{
	uint32_t s;

	while ((s = d->items[item].waiters) != WS_SLOT_NONE) {
		if (!d->waiters[s].gone)
			reply(fx, d->waiters[s].id, answer);
		remove_waiter(d, s);
	}
}

void ws_idem_finish(struct ws_idem *d, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_answer *answer)
{
	uint32_t s = find_waiter(d, id);
	bool forget = answer->outcome == WS_OUT_NOT_RUN;
	struct ws_idem_item *it;
	uint32_t item;

	(void)now;
	if (s == WS_SLOT_NONE || !d->waiters[s].routed) {
		ws_idem_release(fx, answer->payload);
		return;
	}
#ifdef WS_MUTANT_FORGET_UNKNOWN
	forget = answer->outcome != WS_OUT_DONE;
#endif
	item = d->waiters[s].item;
	it = &d->items[item];
	WS_INVARIANT(it->state == WS_IDEM_RUNNING);
	it->answer = *answer;
	it->state = answer->outcome == WS_OUT_DONE ? WS_IDEM_DONE :
						     WS_IDEM_UNKNOWN;
	reply_all(d, fx, item, answer);
	ws_idem_send_result(d, fx, item, answer);
	if (forget)
		ws_idem_remove(d, fx, item);
}

/* ===== Requests ===== */

static void start_run(struct ws_idem *d, struct ws_fx *fx, uint64_t id,
		      const struct ws_call *call, uint32_t item)
{
	struct ws_effect *e;

	add_waiter(d, item, id, true);
	d->items[item].state = WS_IDEM_RUNNING;
	e = ws_fx_add(fx, WS_FX_HOME_RUN);
	e->u.call.id = id;
	e->u.call.call = *call;
}

/* Answers a request whose id is in the table. Returns false if it must run. */
static bool begin_known(struct ws_idem *d, struct ws_fx *fx, uint64_t id,
			const struct ws_call *call, uint32_t item)
{
	struct ws_idem_item *it = &d->items[item];
	uint8_t outcome = WS_OUT_NOT_RUN;

	/*
	 * The former home may have proven "not run", and the id may have run
	 * since.
	 */
	if (it->state == WS_IDEM_FORMER_HOME)
		outcome = WS_OUT_UNKNOWN;
#ifdef WS_MUTANT_ID_REUSE_UNCHECKED
	it->fingerprint = call->fingerprint;
#endif
	if (it->fingerprint != call->fingerprint) {
		refuse(fx, id, outcome, WS_ERR_ID_REUSED);
		return true;
	}
#ifdef WS_MUTANT_RERUN_UNKNOWN
	if (it->state == WS_IDEM_UNKNOWN)
		return false;
#endif
	if (it->state == WS_IDEM_DONE || it->state == WS_IDEM_UNKNOWN)
		reply(fx, id, &it->answer);
	else if (it->state == WS_IDEM_RUNNING && has_waiter_room(d))
		add_waiter(d, item, id, false);
	else
		refuse(fx, id, WS_OUT_UNKNOWN, WS_ERR_IN_PROGRESS);
	return true;
}

static bool refuse_if_full(struct ws_idem *d, struct ws_fx *fx, uint64_t id)
{
	if (d->item_index.count < d->max_items && has_waiter_room(d))
		return false;
	if (!d->full_logged)
		ws_fx_log(fx, WS_LOG_ID_TABLE_FULL, 0,
			  (int64_t)d->item_index.count, WS_ERR_LIMIT);
	d->full_logged = true;
	refuse(fx, id, WS_OUT_NOT_RUN, WS_ERR_LIMIT);
	return true;
}

/*
 * Refuses a request whose id is not in the table. Returns false if it must run.
 */
static bool refuse_new_id(struct ws_idem *d, struct ws_fx *fx, int64_t wall_ms,
			  uint64_t id, const struct ws_call *call,
			  const struct ws_assignment *part)
{
	struct ws_idem_home *h = ws_idem_home(d, (uint32_t)part->res.item);
	int64_t created_ms = ws_idem_created_ms(call->request_id);

	if (part->fence <= h->handed_over) {
		refuse(fx, id, WS_OUT_UNKNOWN, WS_ERR_NOT_HOLDER);
		return true;
	}
	if (created_ms < d->horizon_ms) {
		refuse(fx, id, WS_OUT_UNKNOWN, WS_ERR_REQUEST_ID);
		return true;
	}
	if (created_ms < ws_idem_bound(d, part)) {
		if (!h->takeover_logged)
			ws_fx_log(fx, WS_LOG_ID_TAKEOVER, part->res.item,
				  created_ms, WS_ERR_UNKNOWN_OUTCOME);
		h->takeover_logged = true;
		refuse(fx, id, WS_OUT_UNKNOWN, WS_ERR_UNKNOWN_OUTCOME);
		return true;
	}
	if (created_ms > wall_ms + WS_IDEM_FUTURE_MAX_MS) {
		refuse(fx, id, WS_OUT_NOT_RUN, WS_ERR_REQUEST_ID);
		return true;
	}
	return refuse_if_full(d, fx, id);
}

static bool begin_refused(struct ws_idem *d, struct ws_fx *fx, int64_t wall_ms,
			  uint64_t id, const struct ws_call *call,
			  const struct ws_assignment *part, uint32_t *item)
{
	if (!is_uuid7(call->request_id)) {
		refuse(fx, id, WS_OUT_NOT_RUN, WS_ERR_REQUEST_ID);
		return true;
	}
	*item = ws_idem_find(d, call->customer, call->request_id);
	if (*item != WS_SLOT_NONE)
		return begin_known(d, fx, id, call, *item);
	if (refuse_new_id(d, fx, wall_ms, id, call, part))
		return true;
	*item = ws_idem_add(d, call->customer, call->request_id,
			    call->fingerprint, WS_IDEM_RUNNING);
	return false;
}

void ws_idem_begin(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		   int64_t wall_ms, uint64_t id, const struct ws_call *call,
		   const struct ws_assignment *part)
{
	uint32_t item = WS_SLOT_NONE;

	(void)now;
	WS_INVARIANT(part->res.kind == WS_RES_PARTITION);
	ws_idem_observe_wall(d, wall_ms);
	if (begin_refused(d, fx, wall_ms, id, call, part, &item))
		ws_idem_release(fx, call->payload);
	else
		start_run(d, fx, id, call, item);
}

/* ===== Forgetting ===== */

static bool expired(const struct ws_idem *d, uint32_t s)
{
	const struct ws_idem_item *it = &d->items[s];

	return d->item_index.slot[s].used && it->state != WS_IDEM_RUNNING &&
	       ws_idem_created_ms(it->request_id) <
		       d->horizon_ms - WS_IDEM_CLOCK_MARGIN_MS;
}

void ws_idem_tick(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		  int64_t wall_ms)
{
	size_t n = d->item_index.cap / SWEEP_PARTS + SWEEP_MIN;

	(void)now;
	ws_idem_observe_wall(d, wall_ms);
	d->full_logged = d->item_index.count >= d->max_items;
	if (n > d->item_index.cap)
		n = d->item_index.cap;
	while (n--) {
		if (d->next_sweep >= d->item_index.cap)
			d->next_sweep = 0;
		if (expired(d, d->next_sweep))
			ws_idem_remove(d, fx, d->next_sweep);
		d->next_sweep++;
	}
}
