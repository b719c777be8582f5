#ifndef WS_HANDLE_H
#define WS_HANDLE_H

#include "common/ws_common.h"

/*
 * Building blocks for tables: handles that stay unique when a slot is reused,
 * and an index from 64-bit keys to slots.
 */

#define WS_SLOT_BITS 24
#define WS_SLOT_NONE UINT32_MAX

/*
 * Allocator for the slots of a table. A handle combines the slot with a
 * sequence number, so that a late message about a former user of the slot is
 * recognised. 0 is not a valid handle.
 */
struct ws_handles {
	uint64_t *handle; /* 0: free */
	uint32_t *next_free;
	size_t cap;
	size_t cap_free;
	uint32_t first_free;
	uint32_t n; /* slots that were ever in use */
	uint32_t n_used;
	uint64_t seq;
};

void ws_handles_init(struct ws_handles *s);
void ws_handles_free(struct ws_handles *s);

/* Allocates a slot with a handle that is never reused. Returns the slot. */
uint32_t ws_handles_alloc(struct ws_handles *s);
void ws_handles_release(struct ws_handles *s, uint32_t slot);

/* Returns the slot of a handle, or WS_SLOT_NONE if it is no longer in use. */
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

/* Returns the slot of a key, or WS_SLOT_NONE. */
uint32_t ws_index_get(const struct ws_index *x, uint64_t key);
void ws_index_del(struct ws_index *x, uint64_t key);

#endif
