#ifndef WS_IDEM_H
#define WS_IDEM_H

#include "core/ws_member.h"

/*
 * At-most-once execution: the home instance of a range of request ids records
 * each id before its request is dispatched. See docs/design.md, section 4.3.
 */

#define WS_IDEM_RETENTION_MS 600000
#define WS_IDEM_FUTURE_MAX_MS 2000
#define WS_IDEM_TAKEOVER_MS 4000

/*
 * Entries are kept for this time beyond the retention, because a new home whose
 * clock is behind by the permitted 500 ms (twice: both may differ from the
 * median) must still find them.
 */
#define WS_IDEM_CLOCK_MARGIN_MS 2000

/* Most entries in one HANDOVER message, besides the WS_IDEM_CHUNK entry. */
#define WS_IDEM_CHUNK_ENTRIES 256

/* Fence of an unknown former holder. */
#define WS_IDEM_FORMER_UNKNOWN UINT64_MAX

/* States of struct ws_idem_entry. */
enum ws_idem_state {
	WS_IDEM_RUNNING = 1, /* dispatched by this instance */
	WS_IDEM_DONE = 2, /* executed, the answer is stored */
	WS_IDEM_UNKNOWN = 3, /* dispatched, outcome unknown */
	WS_IDEM_FORMER_HOME = 4, /* dispatched by a former home */
	WS_IDEM_NOT_RUN = 5, /* in messages: proven, removes the id */
	/*
	 * First entry of each HANDOVER message. request_id is {index of the
	 * message, number of messages}; ids created before stamp_ms may have
	 * been dispatched although they are not listed. 0 as number of messages
	 * marks the result of a request that ran during the handover.
	 */
	WS_IDEM_CHUNK = 255,
};

/*
 * Payload handles. Every function that receives a handle takes ownership of it:
 * ws_idem_begin() of the call's, ws_idem_finish() of the answer's,
 * ws_idem_msg() of those of all entries. Handles are passed on with HOME_RUN
 * (the call), HOME_DONE (one reference for each waiter, made by WS_FX_RETAIN)
 * and the entries of a HANDOVER sent by ws_idem_handover(); a HANDOVER sent by
 * ws_idem_finish() borrows its handle. Other handles are returned with
 * WS_FX_RELEASE. A stored answer holds one reference until it is removed.
 * ws_idem_free() releases nothing.
 */

struct ws_idem;

/*
 * @param max_entries most ids remembered; beyond it new ids are refused as not
 *	run with WS_ERR_LIMIT
 * @param max_waiters most waiters for HOME_DONE, including those whose request
 *	is running
 */
struct ws_idem *ws_idem_new(size_t max_entries, size_t max_waiters);
void ws_idem_free(struct ws_idem *d);

/*
 * Returns the partition of a request id; its holder is the home of the request.
 */
uint32_t ws_idem_partition(ws_id customer, const uint64_t request_id[2],
			   uint32_t partitions);

/*
 * Reports an applied ASSIGN item that makes this instance the holder of a
 * partition. The core calls it for every such item, valid or not, before the
 * partition is used.
 * @param wall_ms the wall clock now
 * @param fence offset of the record
 * @param former_fence the item's expected fence; 0: never assigned before;
 *	WS_IDEM_FORMER_UNKNOWN: learned from a snapshot
 *
 * Without this call for the fence of a partition, or without the complete
 * handover of the holder under former_fence, the outcome of ids created up to
 * WS_IDEM_TAKEOVER_MS after the first use of the fence is "unknown".
 */
void ws_idem_assigned(struct ws_idem *d, int64_t wall_ms, uint32_t partition,
		      ws_offset fence, ws_offset former_fence);

/* Longest time that a new home waits for the handover. */
#define WS_IDEM_HANDOVER_WAIT_MS 1000

/*
 * Returns true while the handover of the former holder is expected. Requests
 * should wait meanwhile, since older ids would be answered "unknown".
 */
bool ws_idem_awaits_handover(struct ws_idem *d,
			     const struct ws_assignment *part, int64_t wall_ms);

/*
 * Handles a request at its home. Emits WS_FX_HOME_RUN if it must be routed now,
 * otherwise WS_FX_HOME_DONE with an answer. While the request runs, further
 * requests with the same id and fingerprint wait for its answer.
 * @param id identifies this request in HOME_RUN and HOME_DONE
 * @param part the active assignment of the partition to this instance
 *
 * Errors in HOME_DONE, with the outcome:
 * WS_ERR_REQUEST_ID not run: not a UUID version 7 or created in the future;
 *	unknown: older than the retention, so that no record of it is left
 * WS_ERR_ID_REUSED not run; unknown if it was dispatched by a former home
 * WS_ERR_LIMIT not run
 * WS_ERR_NOT_HOLDER unknown: handed over; nothing was sent for this request,
 *	so the frontend may ask the current home
 * WS_ERR_IN_PROGRESS unknown: running, and no further request may wait for it
 * WS_ERR_UNKNOWN_OUTCOME unknown
 */
void ws_idem_begin(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		   int64_t wall_ms, uint64_t id, const struct ws_call *call,
		   const struct ws_assignment *part);

/*
 * Handles the end of a routed call; emits HOME_DONE for all waiters. The
 * outcome NOT_RUN removes the id, so that a retry may run.
 * @param id that of HOME_RUN; others are ignored
 */
void ws_idem_finish(struct ws_idem *d, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_answer *answer);

/*
 * Removes a waiter whose caller is gone. The request continues; its answer is
 * stored.
 */
void ws_idem_cancel(struct ws_idem *d, uint64_t id);

/* Handles HANDOVER messages. */
void ws_idem_msg(struct ws_idem *d, struct ws_fx *fx, ws_us now, ws_id from,
		 const struct ws_msg *msg);

/*
 * Sends the entries of a partition to its next holder. From then on
 * ws_idem_begin() starts nothing under this fence. Running requests finish
 * here, and ws_idem_finish() sends their result to the next holder, which
 * answers "in progress" until then.
 */
void ws_idem_handover(struct ws_idem *d, struct ws_fx *fx, int64_t wall_ms,
		      uint32_t partition, uint32_t partitions, ws_offset fence,
		      ws_id to);

/*
 * Removes entries older than the retention; each call scans a part of the
 * table.
 */
void ws_idem_tick(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		  int64_t wall_ms);

size_t ws_idem_count(const struct ws_idem *d);

#endif
