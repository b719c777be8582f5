#ifndef WS_SLOTS_H
#define WS_SLOTS_H

#include "common/ws_common.h"

/*
 * Hash index over slot numbers. It allocates small slot numbers, reuses freed
 * ones and finds the slots of a hash. The owner keeps the entries themselves in
 * an array indexed by slot.
 */

#define WS_SLOT_NONE UINT32_MAX

struct ws_slot {
	uint64_t hash;
	uint32_t next; /* next in the hash chain or in the free list */
	bool used;
};

struct ws_slots {
	struct ws_slot *slot;
	size_t cap; /* slots that exist, used or free */
	size_t count; /* slots in use */
	uint32_t *head;
	size_t n_heads; /* power of two */
	uint32_t free;
};

void ws_slots_init(struct ws_slots *s);
void ws_slots_free(struct ws_slots *s);

/*
 * Allocates a slot for a hash. The owner must then grow its array to s->cap.
 * @return the slot
 */
uint32_t ws_slots_alloc(struct ws_slots *s, uint64_t hash);

void ws_slots_release(struct ws_slots *s, uint32_t slot);

/*
 * Iterate over the slots of a hash, WS_SLOT_NONE at the end. The caller
 * compares the keys, since different keys may have the same hash.
 */
uint32_t ws_slots_first(const struct ws_slots *s, uint64_t hash);
uint32_t ws_slots_next(const struct ws_slots *s, uint32_t slot);

#endif
