#ifndef WS_IDEM_H
#define WS_IDEM_H

#include "core/ws_member.h"

/*
 * At most once: the home of a range of request ids remembers each id before
 * its request is dispatched. See docs/design.md, section 4.3.
 */

#define WS_IDEM_RETENTION_MS 600000
#define WS_IDEM_FUTURE_MAX_MS 2000
#define WS_IDEM_TAKEOVER_MS 4000

/*
 * Entries outlive the retention by this much, because a new home whose clock
 * is behind by the permitted 500 ms (twice: both may differ from the median)
 * must still find them.
 */
#define WS_IDEM_CLOCK_MARGIN_MS 2000

/* Entries in one HANDOVER message, besides the counting entry. */
#define WS_IDEM_CHUNK_ENTRIES 256

/* Fence of a predecessor that is not known. */
#define WS_IDEM_FORMER_UNKNOWN UINT64_MAX

/* State of struct ws_idem_entry. */
enum ws_idem_state {
	WS_IDEM_RUNNING = 1, /* dispatched by this instance */
	WS_IDEM_DONE = 2, /* the answer is kept */
	WS_IDEM_UNKNOWN = 3, /* dispatched, outcome unknown */
	WS_IDEM_FORMER_HOME = 4, /* dispatched by a former home */
	WS_IDEM_NOT_RUN = 5, /* in a message: proved, forget the id */
	/*
	 * First entry of each HANDOVER message: request_id is {index of the
	 * message, number of messages}; ids stamped before stamp_ms may have
	 * been dispatched although they are not listed. A number of messages
	 * of 0 marks the result of a request that ran during the handover.
	 */
	WS_IDEM_CHUNK = 255,
};

/*
 * Payload handles. A function that gets a handle takes it over, always:
 * begin() that of the call, finish() that of the answer, msg() those of all
 * entries. They leave with HOME_RUN (the call), HOME_DONE (one reference for
 * each asker, made by WS_FX_RETAIN) and the entries of a HANDOVER sent by
 * handover(); one sent by finish() borrows its handle. What is not passed on
 * is given back by WS_FX_RELEASE; a kept answer holds one reference until it
 * is forgotten. ws_idem_free() releases nothing.
 */

struct ws_idem;

/*
 * @param max_entries ids remembered; at the bound new ids are refused as not
 *	run with WS_ERR_LIMIT
 * @param max_waiters waiters whose HOME_DONE is due, those of running requests
 *	included
 */
struct ws_idem *ws_idem_new(size_t max_entries, size_t max_waiters);
void ws_idem_free(struct ws_idem *d);

/* Partition that is the home of a request id. */
uint32_t ws_idem_partition(ws_id customer, const uint64_t request_id[2],
			   uint32_t partitions);

/*
 * Tells of a folded ASSIGN item that makes this instance the holder of a
 * partition. The core calls it for every such item, valid or not, before the
 * partition is used.
 * @param wall_ms the wall clock now
 * @param fence offset of the record
 * @param former_fence the item's expected fence; 0: never assigned before;
 *	WS_IDEM_FORMER_UNKNOWN: learned from a snapshot
 *
 * Without a call for the fence of a partition, or without the whole handover
 * of the holder under former_fence, the outcome of ids stamped up to
 * WS_IDEM_TAKEOVER_MS after the first use of the fence is "unknown".
 */
void ws_idem_assigned(struct ws_idem *d, int64_t wall_ms, uint32_t partition,
		      ws_offset fence, ws_offset former_fence);

/* A home whose handover is late waits for it this long. */
#define WS_IDEM_HANDOVER_WAIT_MS 1000

/*
 * Is the table of the former holder still on its way? Requests had better wait
 * meanwhile, since older ids would be answered "unknown".
 */
bool ws_idem_awaits_handover(struct ws_idem *d,
			     const struct ws_assignment *part, int64_t wall_ms);

/*
 * A request reaches its home. Emits WS_FX_HOME_RUN when it must be routed now,
 * or WS_FX_HOME_DONE with an answer. While the request runs, further requests
 * with the same id and fingerprint wait for its answer.
 * @param id names this request in HOME_RUN and HOME_DONE
 * @param part the active assignment of the partition to this instance
 *
 * Errors in HOME_DONE, with the outcome:
 * WS_ERR_REQUEST_ID not run: no UUID version 7 or stamped in the future;
 *	unknown: older than the retention, so nothing is remembered of it
 * WS_ERR_ID_REUSED not run; unknown if it was dispatched by a former home
 * WS_ERR_LIMIT not run
 * WS_ERR_NOT_HOLDER unknown: handed over; nothing was sent for this asker, so
 *	the frontend may ask the present home
 * WS_ERR_IN_PROGRESS unknown: runs, and nobody else may wait for it
 * WS_ERR_UNKNOWN_OUTCOME unknown
 */
void ws_idem_begin(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		   int64_t wall_ms, uint64_t id, const struct ws_call *call,
		   const struct ws_assignment *part);

/*
 * The routed call has ended; emits HOME_DONE for all that wait. An outcome of
 * NOT_RUN forgets the id, so that a resend may run.
 * @param id that of HOME_RUN; others are ignored
 */
void ws_idem_finish(struct ws_idem *d, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_answer *answer);

/* The asker is gone. The request runs on; its answer is kept. */
void ws_idem_cancel(struct ws_idem *d, uint64_t id);

/* Messages of kind HANDOVER. */
void ws_idem_msg(struct ws_idem *d, struct ws_fx *fx, ws_us now, ws_id from,
		 const struct ws_msg *msg);

/*
 * Sends the table of a partition to its next holder. From here on begin()
 * starts nothing under this fence; requests that run are finished here, and
 * finish() tells the next holder, which answers "in progress" until then.
 */
void ws_idem_handover(struct ws_idem *d, struct ws_fx *fx, int64_t wall_ms,
		      uint32_t partition, uint32_t partitions, ws_offset fence,
		      ws_id to);

/* Forgets entries older than the retention, a part of the table each time. */
void ws_idem_tick(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		  int64_t wall_ms);

size_t ws_idem_count(const struct ws_idem *d);

#endif
