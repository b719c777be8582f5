#include <string.h>

#include "edge/ws_edge_int.h"

/*
 * Hash table of calls by id: open addressing with linear probing. Removal
 * shifts later entries back, so that no tombstones are needed.
 */

static size_t slot_of(const struct ws_edge *e, uint64_t id)
{
	return ws_mix(id, 0) & (e->cap_calls - 1);
}

struct ed_call *ws_ed_call_find(const struct ws_edge *e, uint64_t id)
{
	size_t i = slot_of(e, id);

	for (; e->calls[i].state; i = (i + 1) & (e->cap_calls - 1))
		if (e->calls[i].id == id)
			return &e->calls[i];
	return NULL;
}

struct ed_call *ws_ed_call_add(struct ws_edge *e, uint64_t id)
{
	size_t i = slot_of(e, id);

	while (e->calls[i].state)
		i = (i + 1) & (e->cap_calls - 1);
	memset(&e->calls[i], 0, sizeof(e->calls[i]));
	e->calls[i].id = id;
	e->calls[i].state = CALL_WAITING;
	e->n_calls++;
	e->n_waiting++;
	return &e->calls[i];
}

void ws_ed_call_remove(struct ws_edge *e, struct ed_call *c)
{
	size_t mask = e->cap_calls - 1;
	size_t hole = (size_t)(c - e->calls);
	size_t i = hole;

	e->n_calls--;
	if (c->state == CALL_WAITING)
		e->n_waiting--;
	c->state = CALL_FREE;
	for (;;) {
		size_t home;

		i = (i + 1) & mask;
		if (!e->calls[i].state)
			return;
		home = slot_of(e, e->calls[i].id);
		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		e->calls[hole] = e->calls[i];
		e->calls[i].state = CALL_FREE;
		hole = i;
	}
}
