#ifndef WS_OWN_H
#define WS_OWN_H

#include "core/ws_member.h"

/*
 * Ownership: folds assignment records, keeps evidence of freshness, proposes
 * reassignments, activates them when that is safe, and renews the leases of
 * targets. See docs/design.md, section 4.1.
 */

#define WS_LEASE_DURATION (1200 * WS_MS)
#define WS_DRIFT_MARGIN (50 * WS_MS)

struct ws_own;

struct ws_own *ws_own_new(ws_id self, uint64_t seed);
void ws_own_free(struct ws_own *o);

/* ===== Inputs ===== */

/*
 * Folds one record, from the log or copied in a TAIL message. Its offset must
 * not be above ws_own_next_offset(); one below that is ignored. The core hands
 * each record of a log read and of a TAIL to this module and to the bundle
 * module alike. A TAIL that begins with a SNAPSHOT record stands for all
 * records below the snapshot's target_offset and goes to
 * ws_own_load_snapshot().
 */
void ws_own_apply_record(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 const struct ws_record *rec);

/*
 * Replaces the table by a snapshot that covers more than has been folded.
 * Folding goes on at the snapshot's target_offset.
 */
void ws_own_load_snapshot(struct ws_own *o, struct ws_fx *fx, ws_us now,
			  const struct ws_record *rec);

/* Everything below next is folded, as of a log read started at started. */
void ws_own_log_read_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
			  ws_us started, ws_offset next);

/* Result of an append that this module asked for. */
void ws_own_append_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
			uint64_t uid, int error, bool unknown);

/*
 * FRESH_ASK, FRESH_ANSWER and TAIL_ASK. TAIL is left to the core, which folds
 * its records with ws_own_apply_record().
 */
void ws_own_handle_message(struct ws_own *o, struct ws_fx *fx, ws_us now,
			   ws_id from, const struct ws_msg *msg,
			   const struct ws_view *view);

/*
 * Result of a grant that this module asked for. Each WS_FX_GRANT needs exactly
 * one result within about 400 ms, also when the target did not answer; there
 * is never more than one grant to a target under way.
 */
void ws_own_grant_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       ws_id target, ws_offset as_of, bool ok);

/*
 * Periodic work: freshness rounds, proposals, activations, grants.
 * Called at least every 50 ms and after each change of the view.
 */
void ws_own_tick(struct ws_own *o, struct ws_fx *fx, ws_us now, int64_t wall_ms,
		 const struct ws_view *view);

/* Work done for a key; feeds shard weights and the choice of hot keys. */
void ws_own_add_work(struct ws_own *o, ws_id service, uint64_t key,
		     uint32_t shard, ws_us work);

/* Makes the next tick append a SNAPSHOT record if the log is reachable. */
void ws_own_request_snapshot(struct ws_own *o);

/* Starts giving up all that this instance holds. */
void ws_own_start_drain(struct ws_own *o);

/* ===== Questions ===== */

/* Offset below which all records are folded. */
ws_offset ws_own_next_offset(const struct ws_own *o);

/* The assignment of a resource, or NULL. */
const struct ws_assignment *ws_own_find(const struct ws_own *o,
					const struct ws_res *res);

/* Owner of a key: its HOT_KEY assignment if there is one, else its shard's. */
const struct ws_assignment *ws_own_find_key_owner(const struct ws_own *o,
						  const struct ws_service *svc,
						  uint64_t key);

/* Time until which this instance may act on what it has folded. */
ws_us ws_own_fresh_until(const struct ws_own *o);

/* Start of the latest evidence of any kind; for the age of caller keys. */
ws_us ws_own_evidence_time(const struct ws_own *o);

/* Tells whether this instance actively holds res and is fresh. */
bool ws_own_holds(const struct ws_own *o, ws_us now, const struct ws_res *res);

/*
 * Permission to send a request to a target, asked right before each sending.
 * @param fence of the assignment under which the request was routed; ignored
 *              for open services
 */
bool ws_own_may_send(const struct ws_own *o, ws_us now,
		     const struct ws_view *view, ws_id target,
		     uint64_t incarnation, ws_id service, uint64_t key,
		     ws_offset fence);

/* Number of partitions actively held (fresh or not); fills indices up to max */
size_t ws_own_held_partitions(const struct ws_own *o, uint32_t *index,
			      size_t max);

/* All assignments in a stable order, for status, snapshots and tests. */
size_t ws_own_count(const struct ws_own *o);
const struct ws_assignment *ws_own_at(const struct ws_own *o, size_t i);

/* True when a drain has handed over everything. */
bool ws_own_drained(const struct ws_own *o);

#endif
