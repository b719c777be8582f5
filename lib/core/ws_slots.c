#include "core/ws_slots.h"

#include <stdlib.h>
#include <string.h>

#define MIN_SLOTS 16

/* ===== Life ===== */

void ws_slots_init(struct ws_slots *s)
{
	memset(s, 0, sizeof(*s));
	s->free = WS_SLOT_NONE;
}

void ws_slots_free(struct ws_slots *s)
{
	free(s->slot);
	free(s->head);
	ws_slots_init(s);
}

/* ===== Growth ===== */

static void link_slot(struct ws_slots *s, uint32_t slot)
{
	uint32_t *head = &s->head[s->slot[slot].hash & (s->n_heads - 1)];

	s->slot[slot].next = *head;
	*head = slot;
}

static void rehash(struct ws_slots *s, size_t n_heads)
{
	size_t i;

	free(s->head);
	s->head = ws_alloc(n_heads, sizeof(*s->head));
	s->n_heads = n_heads;
	for (i = 0; i < n_heads; i++)
		s->head[i] = WS_SLOT_NONE;
	for (i = 0; i < s->cap; i++)
		if (s->slot[i].used)
			link_slot(s, (uint32_t)i);
}

static void grow(struct ws_slots *s)
{
	size_t old = s->cap;
	size_t i;

	ws_grow(&s->slot, &s->cap, old ? old * 2 : MIN_SLOTS, sizeof(*s->slot));
	WS_INVARIANT(s->cap < WS_SLOT_NONE);
	for (i = s->cap; i > old; i--) {
		s->slot[i - 1].next = s->free;
		s->free = (uint32_t)(i - 1);
	}
	rehash(s, s->cap);
}

/* ===== Use ===== */

uint32_t ws_slots_alloc(struct ws_slots *s, uint64_t hash)
{
	uint32_t slot;

	if (s->free == WS_SLOT_NONE)
		grow(s);
	slot = s->free;
	s->free = s->slot[slot].next;
	s->slot[slot].hash = hash;
	s->slot[slot].used = true;
	link_slot(s, slot);
	s->count++;
	return slot;
}

void ws_slots_release(struct ws_slots *s, uint32_t slot)
{
	uint32_t *p = &s->head[s->slot[slot].hash & (s->n_heads - 1)];

	WS_INVARIANT(s->slot[slot].used);
	while (*p != slot)
		p = &s->slot[*p].next;
	*p = s->slot[slot].next;
	s->slot[slot].used = false;
	s->slot[slot].next = s->free;
	s->free = slot;
	s->count--;
}

static uint32_t skip_others(const struct ws_slots *s, uint32_t slot,
			    uint64_t hash)
{
	while (slot != WS_SLOT_NONE && s->slot[slot].hash != hash)
		slot = s->slot[slot].next;
	return slot;
}

uint32_t ws_slots_first(const struct ws_slots *s, uint64_t hash)
{
	if (!s->n_heads)
		return WS_SLOT_NONE;
	return skip_others(s, s->head[hash & (s->n_heads - 1)], hash);
}

uint32_t ws_slots_next(const struct ws_slots *s, uint32_t slot)
{
	return skip_others(s, s->slot[slot].next, s->slot[slot].hash);
}
