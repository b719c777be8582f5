#ifndef WS_IDEM_H
#define WS_IDEM_H

#include "core/ws_member.h"

/*
 * At most once: the home of a range of request ids remembers each id before
 * its request is dispatched. See docs/design.md, section 4.3.
 */

#define WS_IDEM_RETENTION_MS 600000
#define WS_IDEM_FUTURE_MS 2000
#define WS_IDEM_TAKEOVER_MS 4000

struct ws_idem;

struct ws_idem *ws_idem_new(size_t max_entries, size_t max_waiters);
void ws_idem_free(struct ws_idem *d);

/* Partition that is the home of a request id. */
uint32_t ws_idem_partition(ws_id customer, const uint64_t request_id[2],
			   uint32_t partitions);

/*
 * A request reaches its home. Emits WS_FX_HOME_RUN when it must be routed now,
 * or WS_FX_HOME_DONE with an answer. While the request runs, further requests
 * with the same id and fingerprint wait for its answer.
 * @param id names this request in HOME_RUN and HOME_DONE
 * @param part the active assignment of the partition to this instance
 */
void ws_idem_begin(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		   int64_t wall_ms, uint64_t id, const struct ws_call *call,
		   const struct ws_assignment *part);

/*
 * The routed call has ended; emits HOME_DONE for all that wait. An outcome of
 * NOT_RUN forgets the id, so that a resend may run.
 */
void ws_idem_finish(struct ws_idem *d, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_answer *answer);

/* The asker is gone. The request runs on; its answer is kept. */
void ws_idem_cancel(struct ws_idem *d, uint64_t id);

/* Messages of kind HANDOVER, and sending them when a partition moves. */
void ws_idem_msg(struct ws_idem *d, struct ws_fx *fx, ws_us now, ws_id from,
		 const struct ws_msg *msg);
void ws_idem_handover(struct ws_idem *d, struct ws_fx *fx, uint32_t partition,
		      uint32_t partitions, ws_offset fence, ws_id to);

/* Forgets entries older than the retention. */
void ws_idem_tick(struct ws_idem *d, struct ws_fx *fx, ws_us now,
		  int64_t wall_ms);

size_t ws_idem_count(const struct ws_idem *d);

#endif
