#ifndef WS_IDEM_PRIV_H
#define WS_IDEM_PRIV_H

#include "core/ws_idem.h"
#include "core/ws_slots.h"

/*
 * Internals of ws_idem: requests (ws_idem.c), homes and handover
 * (ws_idem_home.c).
 */

/* Larger partition numbers from peers are rejected. */
#define WS_IDEM_MAX_PARTITIONS 65536

/* Most messages of one handover; enough for 16 million entries. */
#define WS_IDEM_MAX_CHUNKS 65536

/* One remembered request id. */
struct ws_idem_item {
	uint64_t request_id[2];
	ws_id customer;
	uint64_t fingerprint;
	struct ws_answer answer; /* DONE and UNKNOWN */
	ws_offset source_fence; /* FORMER_HOME: fence of the sender */
	uint32_t waiters; /* first in the list of waiters */
	uint8_t state;
};

/* A request that waits for HOME_DONE. */
struct ws_idem_waiter {
	uint64_t id;
	uint32_t item;
	uint32_t next;
	bool routed; /* its id is that of HOME_RUN */
	bool gone;
};

/* A request that still runs here after its partition was handed over. */
struct ws_idem_move {
	uint32_t item;
	uint32_t partition;
	ws_offset fence;
	ws_id to;
};

/* State of one partition. */
struct ws_idem_home {
	ws_offset fence; /* of the latest assignment to this instance */
	ws_offset former_fence; /* fence of the former holder */
	int64_t learned_ms; /* wall clock when the assignment was applied */
	ws_offset handed_over; /* highest fence handed over */
	ws_offset bound_fence; /* fence for which bound_ms was computed */
	int64_t bound_ms;
	bool takeover_logged; /* the takeover rule was applied and logged */
	/* Handover that is being received or is complete */
	ws_offset received_fence;
	uint32_t received_total;
	uint32_t received_count;
	uint8_t *received_seen; /* one byte per message */
	int64_t received_bound_ms;
};

struct ws_idem {
	size_t max_items;
	size_t max_waiters;
	struct ws_slots item_index;
	struct ws_idem_item *items;
	size_t items_cap;
	struct ws_slots waiter_index;
	struct ws_idem_waiter *waiters;
	size_t waiters_cap;
	struct ws_idem_move *moves;
	size_t n_moves;
	size_t moves_cap;
	struct ws_idem_home *homes;
	size_t homes_cap;
	int64_t wall_ms; /* latest wall clock observed */
	int64_t horizon_ms; /* ids created earlier may have been removed */
	uint32_t next_sweep; /* next slot that ws_idem_tick() checks */
	bool full_logged;
};

/* Creation time in a UUID version 7. */
static inline int64_t ws_idem_created_ms(const uint64_t request_id[2])
{
	return (int64_t)(request_id[0] >> 16);
}

void ws_idem_observe_wall(struct ws_idem *d, int64_t wall_ms);
void ws_idem_release(struct ws_fx *fx, ws_payload payload);

/* ===== Items (ws_idem.c) ===== */

uint32_t ws_idem_find(const struct ws_idem *d, ws_id customer,
		      const uint64_t request_id[2]);

/* Adds an item without waiters; returns WS_SLOT_NONE if the table is full. */
uint32_t ws_idem_add(struct ws_idem *d, ws_id customer,
		     const uint64_t request_id[2], uint64_t fingerprint,
		     uint8_t state);

/* Removes an item and releases its answer. */
void ws_idem_remove(struct ws_idem *d, struct ws_fx *fx, uint32_t item);

/* ===== Homes (ws_idem_home.c) ===== */

struct ws_idem_home *ws_idem_home(struct ws_idem *d, uint32_t partition);

/*
 * Returns a bound on creation times: ids created before it may have been
 * dispatched by a former holder without being in the table.
 */
int64_t ws_idem_bound(struct ws_idem *d, const struct ws_assignment *part);

/* Sends the next holder the result of a request that ran during a handover. */
void ws_idem_send_result(struct ws_idem *d, struct ws_fx *fx, uint32_t item,
			 const struct ws_answer *answer);

#endif
