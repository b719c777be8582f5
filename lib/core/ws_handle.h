#ifndef WS_HANDLE_H
#define WS_HANDLE_H

#include "common/ws_common.h"

/*
 * Small building blocks for tables: handles that outlive the reuse of a slot,
 * and an index from a 64-bit key to a slot.
 */

#define WS_SLOT_BITS 24
#define WS_SLOT_NONE UINT32_MAX

/*
 * Slots of a table. A handle holds the slot and a sequence number, so that a
 * late message about a former user of the slot is recognised. 0 is no handle.
 */
struct ws_handles {
	uint64_t *handle; /* 0: free */
	uint32_t *next_free;
	size_t cap;
	size_t cap_free;
	uint32_t first_free;
	uint32_t n; /* slots ever used */
	uint32_t n_used;
	uint64_t seq;
};

void ws_handles_init(struct ws_handles *s);
void ws_handles_free(struct ws_handles *s);

/* Takes a slot; its handle is never used again. Returns the slot. */
uint32_t ws_handles_alloc(struct ws_handles *s);
void ws_handles_release(struct ws_handles *s, uint32_t slot);

/* Slot of a handle, or WS_SLOT_NONE when it is no longer in use. */
uint32_t ws_handles_find(const struct ws_handles *s, uint64_t handle);

static inline bool ws_handles_used(const struct ws_handles *s, uint32_t slot)
{
	return s->handle[slot] != 0;
}

/* Open-addressing hash table from nonzero keys to slots. */
struct ws_index {
	uint64_t *key; /* 0: empty */
	uint32_t *slot;
	size_t size; /* power of two, or 0 */
	size_t n;
};

void ws_index_free(struct ws_index *x);

/* Adds or replaces the slot of a key. */
void ws_index_put(struct ws_index *x, uint64_t key, uint32_t slot);

/* Slot of a key, or WS_SLOT_NONE. */
uint32_t ws_index_get(const struct ws_index *x, uint64_t key);
void ws_index_del(struct ws_index *x, uint64_t key);

#endif
