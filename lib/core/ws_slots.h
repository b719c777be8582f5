#ifndef WS_SLOTS_H
#define WS_SLOTS_H

#include "common/ws_common.h"

/*
 * Hash index over slot numbers. It hands out small slot numbers, reuses freed
 * ones, and finds the slots of a hash; the entries themselves are in an array
 * of the owner, indexed by slot.
 */

#define WS_SLOT_NONE UINT32_MAX

struct ws_slot {
	uint64_t hash;
	uint32_t next; /* in the chain of a head, or in the free list */
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
 * Takes a slot for a hash. The owner must then make its array s->cap long.
 * @return the slot
 */
uint32_t ws_slots_alloc(struct ws_slots *s, uint64_t hash);

/* Gives a slot back. */
void ws_slots_release(struct ws_slots *s, uint32_t slot);

/* Slots of a hash, WS_SLOT_NONE at the end. Equal hashes need a comparison. */
uint32_t ws_slots_first(const struct ws_slots *s, uint64_t hash);
uint32_t ws_slots_next(const struct ws_slots *s, uint32_t slot);

#endif
