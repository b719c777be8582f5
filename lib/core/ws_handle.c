#include "core/ws_handle.h"

#include <stdlib.h>
#include <string.h>

/* ===== Slots ===== */

void ws_handles_init(struct ws_handles *s)
{
	memset(s, 0, sizeof(*s));
	s->first_free = WS_SLOT_NONE;
}

void ws_handles_free(struct ws_handles *s)
{
	free(s->handle);
	free(s->next_free);
	ws_handles_init(s);
}

static uint32_t new_slot(struct ws_handles *s)
{
	uint32_t slot = s->n++;

	WS_INVARIANT(slot < (1U << WS_SLOT_BITS));
	ws_grow(&s->handle, &s->cap, s->n, sizeof(*s->handle));
	ws_grow(&s->next_free, &s->cap_free, s->n, sizeof(*s->next_free));
	return slot;
}

uint32_t ws_handles_alloc(struct ws_handles *s)
{
	uint32_t slot = s->first_free;

	if (slot == WS_SLOT_NONE)
		slot = new_slot(s);
	else
		s->first_free = s->next_free[slot];
	s->seq++;
	s->handle[slot] = (s->seq << WS_SLOT_BITS) | slot;
	s->n_used++;
	return slot;
}

void ws_handles_release(struct ws_handles *s, uint32_t slot)
{
	WS_INVARIANT(slot < s->n && s->handle[slot] != 0);
	s->handle[slot] = 0;
	s->next_free[slot] = s->first_free;
	s->first_free = slot;
	s->n_used--;
}

uint32_t ws_handles_find(const struct ws_handles *s, uint64_t handle)
{
	uint32_t slot = (uint32_t)(handle & ((1U << WS_SLOT_BITS) - 1));

	if (!handle || slot >= s->n || s->handle[slot] != handle)
		return WS_SLOT_NONE;
	return slot;
}

/* ===== Index ===== */

static size_t home_of(const struct ws_index *x, uint64_t key)
{
	return (size_t)ws_mix(key, 0) & (x->size - 1);
}

/* Position of the key, or of the empty place where it belongs. */
static size_t place_of(const struct ws_index *x, uint64_t key)
{
	size_t i = home_of(x, key);

	while (x->key[i] && x->key[i] != key)
		i = (i + 1) & (x->size - 1);
	return i;
}

static void resize(struct ws_index *x, size_t size)
{
	struct ws_index old = *x;
	size_t i;
	size_t at;

	x->size = size;
	x->key = ws_alloc(size, sizeof(*x->key));
	x->slot = ws_alloc(size, sizeof(*x->slot));
	for (i = 0; i < old.size; i++) {
		if (!old.key[i])
			continue;
		at = place_of(x, old.key[i]);
		x->key[at] = old.key[i];
		x->slot[at] = old.slot[i];
	}
	free(old.key);
	free(old.slot);
}

void ws_index_free(struct ws_index *x)
{
	free(x->key);
	free(x->slot);
	memset(x, 0, sizeof(*x));
}

void ws_index_put(struct ws_index *x, uint64_t key, uint32_t slot)
{
	size_t at;

	WS_INVARIANT(key != 0);
	if (x->n * 2 >= x->size)
		resize(x, x->size ? x->size * 2 : 16);
	at = place_of(x, key);
	if (!x->key[at])
		x->n++;
	x->key[at] = key;
	x->slot[at] = slot;
}

uint32_t ws_index_get(const struct ws_index *x, uint64_t key)
{
	size_t at;

	if (!x->n || !key)
		return WS_SLOT_NONE;
	at = place_of(x, key);
	return x->key[at] ? x->slot[at] : WS_SLOT_NONE;
}

void ws_index_del(struct ws_index *x, uint64_t key)
{
	size_t hole;
	size_t i;
	size_t dist;

	if (!x->n || !key)
		return;
	hole = place_of(x, key);
	if (!x->key[hole])
		return;
	x->n--;
	/* Moves back the entries that were displaced past the hole. */
	for (i = (hole + 1) & (x->size - 1); x->key[i];
	     i = (i + 1) & (x->size - 1)) {
		dist = (i - home_of(x, x->key[i])) & (x->size - 1);
		if (dist < ((i - hole) & (x->size - 1)))
			continue;
		x->key[hole] = x->key[i];
		x->slot[hole] = x->slot[i];
		hole = i;
	}
	x->key[hole] = 0;
}
