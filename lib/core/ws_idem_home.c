#include "core/ws_idem_priv.h"

#include <stdlib.h>
#include <string.h>

/* ===== Homes ===== */

struct ws_idem_home *ws_idem_home(struct ws_idem *d, uint32_t partition)
{
	WS_INVARIANT(partition < WS_IDEM_MAX_PARTITIONS);
	ws_grow(&d->homes, &d->homes_cap, (size_t)partition + 1,
		sizeof(*d->homes));
	return &d->homes[partition];
}

void ws_idem_assigned(struct ws_idem *d, int64_t wall_ms, uint32_t partition,
		      ws_offset fence, ws_offset former_fence)
{
	struct ws_idem_home *h = ws_idem_home(d, partition);

	ws_idem_observe_wall(d, wall_ms);
	if (fence <= h->fence)
		return;
	h->fence = fence;
	h->former_fence = former_fence;
	h->learned_ms = wall_ms;
	h->takeover_logged = false;
}

static bool handover_complete(const struct ws_idem_home *h)
{
	return h->received_fence == h->former_fence && h->received_total &&
	       h->received_count == h->received_total;
}

bool ws_idem_awaits_handover(struct ws_idem *d,
			     const struct ws_assignment *part, int64_t wall_ms)
{
	const struct ws_idem_home *h =
		ws_idem_home(d, (uint32_t)part->res.item);

	if (part->takeover_wall_ms || h->fence != part->fence)
		return false;
	if (!h->former_fence || h->former_fence == WS_IDEM_FORMER_UNKNOWN ||
	    handover_complete(h))
		return false;
	return wall_ms < h->learned_ms + WS_IDEM_HANDOVER_WAIT_MS;
}

/*
 * Derives the bound for ids that are not listed from the table of the former
 * holder, or from the fact that there was none. Returns false if neither is
 * known.
 */
static bool bound_from_former_holder(const struct ws_idem_home *h,
				     ws_offset fence, int64_t *bound_ms)
{
	if (h->fence != fence)
		return false;
	if (!h->former_fence) {
		*bound_ms = 0;
		return true;
	}
	if (!handover_complete(h))
		return false;
	*bound_ms = h->received_bound_ms;
	return true;
}

int64_t ws_idem_bound(struct ws_idem *d, const struct ws_assignment *part)
{
	uint32_t partition = (uint32_t)part->res.item;
	struct ws_idem_home *h = ws_idem_home(d, partition);
	int64_t bound_ms;

	if (h->fence < part->fence)
		ws_idem_assigned(d, d->wall_ms, partition, part->fence,
				 WS_IDEM_FORMER_UNKNOWN);
	if (!bound_from_former_holder(h, part->fence, &bound_ms)) {
		bound_ms = h->learned_ms + WS_IDEM_TAKEOVER_MS;
		if (part->takeover_wall_ms)
			bound_ms = part->takeover_wall_ms + WS_IDEM_TAKEOVER_MS;
	}
#ifdef WS_MUTANT_DISPATCH_BEFORE_TAKEOVER
	bound_ms = 0;
#endif
	h->bound_fence = part->fence;
	h->bound_ms = bound_ms;
	return bound_ms;
}

/* Returns the bound that the next holder must apply. */
static int64_t bound_to_hand_over(const struct ws_idem_home *h, ws_offset fence,
				  int64_t wall_ms)
{
	int64_t bound_ms;

	if (bound_from_former_holder(h, fence, &bound_ms))
		return bound_ms;
	if (h->bound_fence == fence)
		return h->bound_ms;
	return wall_ms + WS_IDEM_TAKEOVER_MS;
}

/* ===== Receiving a handover ===== */

/*
 * Returns true if a received entry replaces the local item of the same id.
 * Answers and unknown outcomes are final. A dispatch by a later home outdates
 * that by an earlier one, whose late result must not make the id run again.
 */
static bool supersedes(const struct ws_idem_item *it,
		       const struct ws_idem_entry *e, uint8_t state,
		       ws_offset fence)
{
	if (it->state == WS_IDEM_FORMER_HOME)
		return state != WS_IDEM_FORMER_HOME || fence > it->source_fence;
	return it->state == WS_IDEM_UNKNOWN && state == WS_IDEM_DONE &&
	       it->fingerprint == e->fingerprint;
}

/* Fills in an item from a received entry and takes ownership of its payload. */
static void set_from_entry(struct ws_idem_item *it,
			   const struct ws_idem_entry *e, uint8_t state,
			   ws_offset fence)
{
	bool done = state == WS_IDEM_DONE;

	it->state = state;
	it->fingerprint = e->fingerprint;
	it->source_fence = fence;
	it->answer = (struct ws_answer){
		.outcome = done ? WS_OUT_DONE : WS_OUT_UNKNOWN,
		.error = done ? 0 : WS_ERR_UNKNOWN_OUTCOME,
		.status = e->status,
		.payload = e->payload,
	};
}

static void merge_entry(struct ws_idem *d, struct ws_fx *fx, uint32_t item,
			const struct ws_idem_entry *e, uint8_t state,
			ws_offset fence)
{
	struct ws_idem_item *it = &d->items[item];

	if (!supersedes(it, e, state, fence)) {
		ws_idem_release(fx, e->payload);
		return;
	}
	ws_idem_release(fx, it->answer.payload);
	set_from_entry(it, e, state, fence);
}

static uint8_t imported_state(uint8_t sent_state)
{
	if (sent_state == WS_IDEM_DONE || sent_state == WS_IDEM_UNKNOWN)
		return sent_state;
	return WS_IDEM_FORMER_HOME;
}

/* Stores a received entry. Returns false if the table is full. */
static bool import_entry(struct ws_idem *d, struct ws_fx *fx,
			 const struct ws_idem_entry *e, ws_offset fence)
{
	uint8_t state = imported_state(e->state);
	uint32_t item = ws_idem_find(d, e->customer, e->request_id);

	if (item != WS_SLOT_NONE) {
		merge_entry(d, fx, item, e, state, fence);
		return true;
	}
	item = ws_idem_add(d, e->customer, e->request_id, e->fingerprint,
			   state);
	if (item == WS_SLOT_NONE) {
		ws_idem_release(fx, e->payload);
		return false;
	}
	set_from_entry(&d->items[item], e, state, fence);
	return true;
}

static void start_receiving(struct ws_idem_home *h, ws_offset fence,
			    uint32_t total)
{
	free(h->received_seen);
	h->received_seen = ws_alloc(total, 1);
	h->received_fence = fence;
	h->received_total = total;
	h->received_count = 0;
	h->received_bound_ms = 0;
}

static void record_chunk(struct ws_idem *d, uint32_t partition, ws_offset fence,
			 const struct ws_idem_entry *chunk)
{
	struct ws_idem_home *h = ws_idem_home(d, partition);
	uint64_t index = chunk->request_id[0];
	uint64_t total = chunk->request_id[1];

	if (index >= total || total > WS_IDEM_MAX_CHUNKS ||
	    fence < h->received_fence)
		return;
	if (fence > h->received_fence)
		start_receiving(h, fence, (uint32_t)total);
	if (total != h->received_total || h->received_seen[index])
		return;
	h->received_seen[index] = 1;
	h->received_count++;
	if (chunk->stamp_ms > h->received_bound_ms)
		h->received_bound_ms = chunk->stamp_ms;
}

/*
 * Applies the result of a request that ran at the former home during the
 * handover. It counts only for the run that was handed over, because an id that
 * was proven not to have run may have run again since.
 */
static void import_result(struct ws_idem *d, struct ws_fx *fx,
			  const struct ws_idem_entry *e, ws_offset fence)
{
	uint32_t item = ws_idem_find(d, e->customer, e->request_id);
	struct ws_idem_item *it = NULL;

	if (item != WS_SLOT_NONE)
		it = &d->items[item];
#ifdef WS_MUTANT_RESULT_OF_ANY_RUN
	fence = it ? it->source_fence : 0;
#endif
	if (!it || it->state != WS_IDEM_FORMER_HOME ||
	    it->source_fence != fence) {
		ws_idem_release(fx, e->payload);
		return;
	}
	if (e->state == WS_IDEM_NOT_RUN) {
		ws_idem_release(fx, e->payload);
		ws_idem_remove(d, fx, item);
		return;
	}
	merge_entry(d, fx, item, e, imported_state(e->state), fence);
}

static bool is_result(const struct ws_idem_entry *first)
{
	return first->state == WS_IDEM_CHUNK && !first->request_id[1];
}

void ws_idem_msg(struct ws_idem *d, struct ws_fx *fx, ws_us now, ws_id from,
		 const struct ws_msg *msg)
{
	const struct ws_idem_entry *e = msg->u.handover.entries;
	size_t n = msg->u.handover.n_entries;
	ws_offset fence = msg->u.handover.fence;
	bool all_stored = true;
	size_t i;

	(void)now;
	(void)from;
	if (msg->kind != WS_MSG_HANDOVER || !n)
		return;
	for (i = 1; i < n; i++) {
		if (is_result(&e[0]))
			import_result(d, fx, &e[i], fence);
		else
			all_stored = import_entry(d, fx, &e[i], fence) &&
				     all_stored;
	}
	if (all_stored && e[0].state == WS_IDEM_CHUNK &&
	    msg->u.handover.partition < WS_IDEM_MAX_PARTITIONS)
		record_chunk(d, msg->u.handover.partition, fence, &e[0]);
}

/* ===== Sending a handover ===== */

/* List of entries to send in chunks. */
struct export
{
	struct ws_idem_entry *entries;
	size_t n;
	size_t cap;
};

/*
 * Adds an item to the list. Moves its answer there and removes the item, unless
 * the request is still running here.
 */
static void export_item(struct ws_idem *d, struct ws_fx *fx, struct export *x,
			uint32_t item)
{
	struct ws_idem_item *it = &d->items[item];
	struct ws_idem_entry *e;

	ws_grow(&x->entries, &x->cap, x->n + 1, sizeof(*x->entries));
	e = &x->entries[x->n++];
	e->request_id[0] = it->request_id[0];
	e->request_id[1] = it->request_id[1];
	e->customer = it->customer;
	e->fingerprint = it->fingerprint;
	e->state = it->state;
	e->stamp_ms = ws_idem_created_ms(it->request_id);
	if (it->state == WS_IDEM_RUNNING)
		return;
	e->status = it->answer.status;
	e->payload = it->answer.payload;
	it->answer.payload = 0;
	ws_idem_remove(d, fx, item);
}

static void add_move(struct ws_idem *d, uint32_t item,
		     const struct ws_idem_move *where)
{
	struct ws_idem_move *m;

	ws_grow(&d->moves, &d->moves_cap, d->n_moves + 1, sizeof(*d->moves));
	m = &d->moves[d->n_moves++];
	*m = *where;
	m->item = item;
}

static void export_partition(struct ws_idem *d, struct ws_fx *fx,
			     struct export *x, uint32_t partitions,
			     const struct ws_idem_move *where)
{
	const struct ws_idem_item *it;
	uint32_t s;

	for (s = 0; s < d->item_index.cap; s++) {
		it = &d->items[s];
		if (!d->item_index.slot[s].used ||
		    ws_idem_partition(it->customer, it->request_id,
				      partitions) != where->partition)
			continue;
		if (it->state == WS_IDEM_RUNNING)
			add_move(d, s, where);
		export_item(d, fx, x, s);
	}
}

static void send_chunk(struct ws_fx *fx, ws_id to, uint32_t partition,
		       ws_offset fence, const struct export *x, uint64_t index,
		       uint64_t total, int64_t bound_ms)
{
	size_t first = (size_t)index * WS_IDEM_CHUNK_ENTRIES;
	size_t n = x->n - first;
	struct ws_effect *e = ws_fx_add(fx, WS_FX_SEND);
	struct ws_idem_entry *entries;

	if (n > WS_IDEM_CHUNK_ENTRIES)
		n = WS_IDEM_CHUNK_ENTRIES;
	entries = ws_alloc(n + 1, sizeof(*entries));
	entries[0].state = WS_IDEM_CHUNK;
	entries[0].request_id[0] = index;
	entries[0].request_id[1] = total;
	entries[0].stamp_ms = bound_ms;
	if (n)
		memcpy(entries + 1, x->entries + first, n * sizeof(*entries));
	e->u.send.to = to;
	e->u.send.msg.kind = WS_MSG_HANDOVER;
	e->u.send.msg.u.handover.partition = partition;
	e->u.send.msg.u.handover.fence = fence;
	e->u.send.msg.u.handover.last = index + 1 == total;
	e->u.send.msg.u.handover.n_entries = n + 1;
	e->u.send.msg.u.handover.entries = entries;
}

void ws_idem_handover(struct ws_idem *d, struct ws_fx *fx, int64_t wall_ms,
		      uint32_t partition, uint32_t partitions, ws_offset fence,
		      ws_id to)
{
	struct ws_idem_home *h = ws_idem_home(d, partition);
	struct ws_idem_move where = { .partition = partition,
				      .fence = fence,
				      .to = to };
	struct export x = { 0 };
	int64_t bound_ms = bound_to_hand_over(h, fence, wall_ms);
	uint64_t total;
	uint64_t i;

	if (fence <= h->handed_over)
		return;
	h->handed_over = fence;
	export_partition(d, fx, &x, partitions, &where);
	total = x.n ? (x.n + WS_IDEM_CHUNK_ENTRIES - 1) /
				WS_IDEM_CHUNK_ENTRIES :
		      1;
	for (i = 0; i < total; i++)
		send_chunk(fx, to, partition, fence, &x, i, total, bound_ms);
	free(x.entries);
}

/* ===== Results after a handover ===== */

/* The message borrows the payload; the item owns it and releases it later. */
static void send_result(struct ws_fx *fx, const struct ws_idem_move *m,
			const struct ws_idem_item *it,
			const struct ws_answer *answer)
{
	struct ws_idem_entry *entries = ws_alloc(2, sizeof(*entries));
	struct ws_effect *e;

	entries[0].state = WS_IDEM_CHUNK;
	entries[1].request_id[0] = it->request_id[0];
	entries[1].request_id[1] = it->request_id[1];
	entries[1].customer = it->customer;
	entries[1].fingerprint = it->fingerprint;
	entries[1].stamp_ms = ws_idem_created_ms(it->request_id);
	entries[1].state = answer->outcome == WS_OUT_NOT_RUN ? WS_IDEM_NOT_RUN :
							       it->state;
	entries[1].status = answer->status;
	entries[1].payload = answer->payload;
	e = ws_fx_add(fx, WS_FX_SEND);
	e->u.send.to = m->to;
	e->u.send.msg.kind = WS_MSG_HANDOVER;
	e->u.send.msg.u.handover.partition = m->partition;
	e->u.send.msg.u.handover.fence = m->fence;
	e->u.send.msg.u.handover.last = true;
	e->u.send.msg.u.handover.n_entries = 2;
	e->u.send.msg.u.handover.entries = entries;
}

void ws_idem_send_result(struct ws_idem *d, struct ws_fx *fx, uint32_t item,
			 const struct ws_answer *answer)
{
	size_t i = 0;

	while (i < d->n_moves) {
		if (d->moves[i].item != item) {
			i++;
			continue;
		}
		send_result(fx, &d->moves[i], &d->items[item], answer);
		d->moves[i] = d->moves[--d->n_moves];
	}
}
