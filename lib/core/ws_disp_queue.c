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

/* ===== Flows ===== */

static struct ws_disp_flow *find_flow(const struct ws_disp_target *t,
				      ws_id customer)
{
	size_t i;

	for (i = 0; i < t->n_flows; i++)
		if (t->flows[i].customer == customer)
			return &t->flows[i];
	return NULL;
}

static struct ws_disp_flow *add_flow(struct ws_disp_target *t, ws_id customer,
				     uint32_t weight)
{
	struct ws_disp_flow *flow;

	ws_grow(&t->flows, &t->cap_flows, t->n_flows + 1, sizeof(*t->flows));
	flow = &t->flows[t->n_flows++];
	memset(flow, 0, sizeof(*flow));
	flow->customer = customer;
	flow->weight = weight;
	ws_disp_list_init(&flow->list);
	t->total_weight += weight;
	return flow;
}

static void remove_flow(struct ws_disp_target *t, struct ws_disp_flow *flow)
{
	size_t at = (size_t)(flow - t->flows);

	t->total_weight -= flow->weight;
	t->n_flows--;
	memmove(flow, flow + 1, (t->n_flows - at) * sizeof(*flow));
	if (t->next_flow > at)
		t->next_flow--;
	if (t->next_flow >= t->n_flows)
		t->next_flow = 0;
}

void ws_queue_push(struct ws_disp *d, struct ws_disp_target *t, uint32_t slot)
{
	struct ws_disp_entry *e = &d->entries[slot];
	struct ws_disp_flow *flow = find_flow(t, e->call.customer);

	if (!flow)
		flow = add_flow(t, e->call.customer, e->weight);
	ws_disp_list_append(d, &flow->list, slot);
	t->n_queued++;
}

void ws_queue_remove(struct ws_disp *d, struct ws_disp_target *t, uint32_t slot)
{
	struct ws_disp_flow *flow =
		find_flow(t, d->entries[slot].call.customer);

	WS_INVARIANT(flow && t->n_queued > 0);
	ws_disp_list_remove(d, &flow->list, slot);
	t->n_queued--;
	if (!flow->list.n)
		remove_flow(t, flow);
}

uint32_t ws_queue_pop(struct ws_disp *d, struct ws_disp_target *t)
{
	struct ws_disp_flow *flow;
	uint32_t slot;

	if (!t->n_flows)
		return WS_SLOT_NONE;
	flow = &t->flows[t->next_flow];
	if (!flow->deficit)
		flow->deficit = flow->weight;
	flow->deficit--;
	slot = flow->list.head;
	if (!flow->deficit && flow->list.n > 1)
		t->next_flow = (t->next_flow + 1) % t->n_flows;
	ws_queue_remove(d, t, slot);
	return slot;
}

/* ===== Estimates ===== */

uint32_t ws_queue_requests_ahead(const struct ws_disp_target *t, ws_id customer,
				 uint32_t weight)
{
	const struct ws_disp_flow *flow = find_flow(t, customer);
	uint64_t own = flow ? flow->list.n : 0;
	uint64_t total = t->total_weight + (flow ? 0 : weight);
	uint64_t ahead = own * total / weight;

	/* Every other flow sends up to its weight before a new flow does. */
	if (!flow && t->n_flows)
		ahead = t->total_weight;
	return ahead < t->n_queued ? (uint32_t)ahead : t->n_queued;
}

uint32_t ws_queue_find_victim(const struct ws_disp_target *t, ws_id customer,
			      uint32_t weight)
{
	const struct ws_disp_flow *own = find_flow(t, customer);
	const struct ws_disp_flow *longest = NULL;
	uint64_t own_n = own ? own->list.n : 0;
	size_t i;

	for (i = 0; i < t->n_flows; i++) {
		const struct ws_disp_flow *l = &t->flows[i];

		if (!longest || (uint64_t)l->list.n * longest->weight >
					(uint64_t)longest->list.n * l->weight)
			longest = l;
	}
	if (!longest || longest == own)
		return WS_SLOT_NONE;
	if ((uint64_t)longest->list.n * weight <= (own_n + 1) * longest->weight)
		return WS_SLOT_NONE;
	return longest->list.tail;
}
