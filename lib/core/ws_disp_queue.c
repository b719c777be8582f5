#include "core/ws_disp_int.h"

#include <string.h>

/* ===== Lists ===== */

void ws_disp_list_init(struct ws_disp_entry_list *list)
{
	list->head = WS_SLOT_NONE;
	list->tail = WS_SLOT_NONE;
	list->n = 0;
}

void ws_disp_list_append(struct ws_disp *d, struct ws_disp_entry_list *list,
			 uint32_t slot)
{
	struct ws_disp_entry *e = &d->entries[slot];

	e->prev = list->tail;
	e->next = WS_SLOT_NONE;
	if (list->tail == WS_SLOT_NONE)
		list->head = slot;
	else
		d->entries[list->tail].next = slot;
	list->tail = slot;
	list->n++;
}

void ws_disp_list_remove(struct ws_disp *d, struct ws_disp_entry_list *list,
			 uint32_t slot)
{
	struct ws_disp_entry *e = &d->entries[slot];

	WS_INVARIANT(list->n > 0);
	if (e->prev == WS_SLOT_NONE)
		list->head = e->next;
	else
		d->entries[e->prev].next = e->next;
	if (e->next == WS_SLOT_NONE)
		list->tail = e->prev;
	else
		d->entries[e->next].prev = e->prev;
	list->n--;
}

/* ===== Lanes ===== */

static struct ws_disp_flow *find_lane(const struct ws_disp_target *t,
				      ws_id customer)
{
	size_t i;

	for (i = 0; i < t->n_flows; i++)
		if (t->flows[i].customer == customer)
			return &t->flows[i];
	return NULL;
}

static struct ws_disp_flow *add_lane(struct ws_disp_target *t, ws_id customer,
				     uint32_t weight)
{
	struct ws_disp_flow *lane;

	ws_grow(&t->flows, &t->cap_flows, t->n_flows + 1, sizeof(*t->flows));
	lane = &t->flows[t->n_flows++];
	memset(lane, 0, sizeof(*lane));
	lane->customer = customer;
	lane->weight = weight;
	ws_disp_list_init(&lane->list);
	t->total_weight += weight;
	return lane;
}

static void drop_lane(struct ws_disp_target *t, struct ws_disp_flow *lane)
{
	size_t at = (size_t)(lane - t->flows);

	t->total_weight -= lane->weight;
	t->n_flows--;
	memmove(lane, lane + 1, (t->n_flows - at) * sizeof(*lane));
	if (t->next_flow > at)
		t->next_flow--;
	if (t->next_flow >= t->n_flows)
		t->next_flow = 0;
}

void ws_queue_push(struct ws_disp *d, struct ws_disp_target *t, uint32_t slot)
{
	struct ws_disp_entry *e = &d->entries[slot];
	struct ws_disp_flow *lane = find_lane(t, e->call.customer);

	if (!lane)
		lane = add_lane(t, e->call.customer, e->weight);
	ws_disp_list_append(d, &lane->list, slot);
	t->n_queued++;
}

void ws_queue_remove(struct ws_disp *d, struct ws_disp_target *t, uint32_t slot)
{
	struct ws_disp_flow *lane =
		find_lane(t, d->entries[slot].call.customer);

	WS_INVARIANT(lane && t->n_queued > 0);
	ws_disp_list_remove(d, &lane->list, slot);
	t->n_queued--;
	if (!lane->list.n)
		drop_lane(t, lane);
}

uint32_t ws_queue_pop(struct ws_disp *d, struct ws_disp_target *t)
{
	struct ws_disp_flow *lane;
	uint32_t slot;

	if (!t->n_flows)
		return WS_SLOT_NONE;
	lane = &t->flows[t->next_flow];
	if (!lane->deficit)
		lane->deficit = lane->weight;
	lane->deficit--;
	slot = lane->list.head;
	if (!lane->deficit && lane->list.n > 1)
		t->next_flow = (t->next_flow + 1) % t->n_flows;
	ws_queue_remove(d, t, slot);
	return slot;
}

/* ===== Estimates ===== */

uint32_t ws_queue_requests_ahead(const struct ws_disp_target *t, ws_id customer,
				 uint32_t weight)
{
	const struct ws_disp_flow *lane = find_lane(t, customer);
	uint64_t own = lane ? lane->list.n : 0;
	uint64_t total = t->total_weight + (lane ? 0 : weight);
	uint64_t ahead = own * total / weight;

	/* Others get at least one turn before this customer's next one. */
	if (!lane && t->n_flows)
		ahead = t->total_weight;
	return ahead < t->n_queued ? (uint32_t)ahead : t->n_queued;
}

uint32_t ws_queue_find_victim(const struct ws_disp_target *t, ws_id customer,
			      uint32_t weight)
{
	const struct ws_disp_flow *own = find_lane(t, customer);
	const struct ws_disp_flow *worst = NULL;
	uint64_t own_n = own ? own->list.n : 0;
	size_t i;

	for (i = 0; i < t->n_flows; i++) {
		const struct ws_disp_flow *l = &t->flows[i];

		if (!worst || (uint64_t)l->list.n * worst->weight >
				      (uint64_t)worst->list.n * l->weight)
			worst = l;
	}
	if (!worst || worst == own)
		return WS_SLOT_NONE;
	if ((uint64_t)worst->list.n * weight <= (own_n + 1) * worst->weight)
		return WS_SLOT_NONE;
	return worst->list.tail;
}
