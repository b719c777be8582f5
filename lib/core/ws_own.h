#ifndef WS_OWN_H
#define WS_OWN_H

#include "core/ws_member.h"

/*
 * Ownership of resources (partitions, dispatch of targets, shards, hot keys):
 * applies assignment records from the log, tracks how fresh the applied state
 * is, proposes reassignments, activates them once that is safe, and renews the
 * leases of targets. See docs/design.md, section 4.1.
 */

#define WS_LEASE_DURATION (1200 * WS_MS)
/* Clock drift allowed for over the duration of one lease. */
#define WS_DRIFT_MARGIN (50 * WS_MS)

struct ws_own;

struct ws_own *ws_own_new(ws_id self, uint64_t seed);
void ws_own_free(struct ws_own *o);

/* ===== Inputs ===== */

/*
 * Applies one record, from the log or copied in a TAIL message. Its offset must
 * not be above ws_own_next_offset(); a record below that offset is ignored. The
 * core passes each record of a log read and of a TAIL to both this module and
 * the bundle module. A TAIL that begins with a SNAPSHOT record replaces all
 * records below the snapshot's target_offset and goes to
 * ws_own_load_snapshot().
 */
void ws_own_apply_record(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 const struct ws_record *rec);

/*
 * Replaces the table by a snapshot if the snapshot covers more than has been
 * applied. The next record to apply is then the one at target_offset.
 */
void ws_own_load_snapshot(struct ws_own *o, struct ws_fx *fx, ws_us now,
			  const struct ws_record *rec);

/*
 * Reports a log read, started at started, after which all records below next
 * are applied.
 */
void ws_own_log_read_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
			  ws_us started, ws_offset next);

/* Reports the result of an append that this module requested. */
void ws_own_append_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
			uint64_t uid, int error, bool unknown);

/*
 * Handles FRESH_ASK, FRESH_ANSWER and TAIL_ASK. The core handles TAIL itself
 * and applies its records with ws_own_apply_record().
 */
void ws_own_handle_message(struct ws_own *o, struct ws_fx *fx, ws_us now,
			   ws_id from, const struct ws_msg *msg,
			   const struct ws_view *view);

/*
 * Reports the result of a grant that this module requested. Each WS_FX_GRANT
 * needs exactly one result within about 400 ms, also if the target did not
 * answer. At most one grant per target is in flight.
 */
void ws_own_grant_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       ws_id target, ws_offset as_of, bool ok);

/*
 * Does the periodic work: freshness rounds, proposals, activations, grants.
 * Call it at least every 50 ms and after each change of the view.
 */
void ws_own_tick(struct ws_own *o, struct ws_fx *fx, ws_us now, int64_t wall_ms,
		 const struct ws_view *view);

/*
 * Adds service time spent on a key. It feeds the weights of shards and the
 * choice of hot keys.
 */
void ws_own_add_work(struct ws_own *o, ws_id service, uint64_t key,
		     uint32_t shard, ws_us work);

/*
 * Requests a SNAPSHOT record, appended at the next tick at which the log is
 * reachable.
 */
void ws_own_request_snapshot(struct ws_own *o);

/* Starts to release everything that this instance holds. */
void ws_own_start_drain(struct ws_own *o);

/* ===== Queries ===== */

/*
 * Returns the offset of the next record to apply; all records below it are
 * applied.
 */
ws_offset ws_own_next_offset(const struct ws_own *o);

/* Returns the assignment of a resource, or NULL. */
const struct ws_assignment *ws_own_find(const struct ws_own *o,
					const struct ws_res *res);

/*
 * Returns the owner of a key: its HOT_KEY assignment if there is one, else that
 * of its shard.
 */
const struct ws_assignment *ws_own_find_key_owner(const struct ws_own *o,
						  const struct ws_service *svc,
						  uint64_t key);

/*
 * Returns the time until which this instance may act on the records that it has
 * applied.
 */
ws_us ws_own_fresh_until(const struct ws_own *o);

/*
 * Returns the start of the latest successful log read or quorum round; used for
 * the age of caller keys.
 */
ws_us ws_own_evidence_time(const struct ws_own *o);

/* Returns whether this instance actively holds res and its state is fresh. */
bool ws_own_holds(const struct ws_own *o, ws_us now, const struct ws_res *res);

/*
 * Returns whether a request may be sent to a target. Must be called right
 * before each sending.
 * @param fence fence of the assignment under which the request was routed;
 *          ignored for services without shards
 */
bool ws_own_may_send(const struct ws_own *o, ws_us now,
		     const struct ws_view *view, ws_id target,
		     uint64_t incarnation, ws_id service, uint64_t key,
		     ws_offset fence);

/*
 * Returns the number of partitions actively held, whether or not the state is
 * fresh, and writes up to max of their indices.
 */
size_t ws_own_held_partitions(const struct ws_own *o, uint32_t *index,
			      size_t max);

/*
 * Iterate over all assignments in a stable order, for status, snapshots and
 * tests.
 */
size_t ws_own_count(const struct ws_own *o);
const struct ws_assignment *ws_own_at(const struct ws_own *o, size_t i);

/* Returns whether a drain has handed over everything. */
bool ws_own_drained(const struct ws_own *o);

#endif
