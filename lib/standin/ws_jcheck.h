#ifndef WS_JCHECK_H
#define WS_JCHECK_H

#include <jansson.h>

#include "common/ws_common.h"

/*
 * Checks the journals of stand-in targets: whether each non-idempotent request
 * ran at most once, whether each shard and key had one owner at a time, and
 * whether targets were overloaded or received a caller key.
 */

/*
 * Time for which a target may still receive new requests after it, or its zone,
 * has left service.
 */
#define WS_JCHECK_LEAVING_GRACE (3 * WS_SECOND)

struct ws_jcheck_counts {
	uint64_t lines;
	uint64_t truncated_lines; /* incomplete last lines, left by a crash */
	uint64_t incarnations;
	uint64_t crashes;
	uint64_t started;
	uint64_t ran;
	uint64_t aborted; /* ended without effect */
	uint64_t interrupted; /* started without an end: may have run */
	uint64_t rejected;
	uint64_t non_idempotent; /* that ran */
	uint64_t resources; /* shards and hot keys with requests */
	uint64_t owner_changes; /* of resources */
	ws_us longest_pause; /* of any key between owners, with idle time */
	uint64_t watched_changes; /* changes of the watched key's owner */
	ws_us watched_pause; /* longest pause at such a change */
	uint64_t frozen_overlaps; /* overlaps that no lease prevents: the target
				     froze during a run */
};

enum ws_jcheck_kind {
	WS_JCHECK_UNREADABLE,
	WS_JCHECK_RAN_TWICE,
	WS_JCHECK_NO_ID,
	WS_JCHECK_BODY_RAN_TWICE,
	WS_JCHECK_FENCE_DECREASED,
	WS_JCHECK_TWO_OWNERS,
	WS_JCHECK_CALLER_KEY_SEEN,
	WS_JCHECK_ABOVE_LIMIT,
	WS_JCHECK_COLLAPSE,
	WS_JCHECK_WORK_WHILE_LEAVING,
	WS_JCHECK_WORK_OUT_OF_SERVICE,
	WS_JCHECK_KINDS,
};

/* Name of a kind of violation in reports. */
const char *ws_jcheck_kind_name(unsigned kind);

struct ws_jcheck;

/*
 * @param unique_bodies also report two non-idempotent requests that ran with
 *        the same body, whatever their ids
 */
struct ws_jcheck *ws_jcheck_new(bool unique_bodies);
void ws_jcheck_free(struct ws_jcheck *c);

/*
 * Adds a line of a journal.
 * @param source location named in violations, such as file:line
 * @param whole false for a last line without a newline
 */
void ws_jcheck_add_line(struct ws_jcheck *c, const char *source,
			const char *line, bool whole);

/* Selects a key whose changes of owner are counted separately. */
void ws_jcheck_watch_key(struct ws_jcheck *c, const char *service,
			 const char *key);

/*
 * Checks the rules that span several lines. Call it once, after the last line.
 */
void ws_jcheck_finish(struct ws_jcheck *c);

const struct ws_jcheck_counts *ws_jcheck_counts(const struct ws_jcheck *c);

/* Number of violations of one kind, and of all kinds. */
uint64_t ws_jcheck_violations(const struct ws_jcheck *c, unsigned kind);
uint64_t ws_jcheck_violations_total(const struct ws_jcheck *c);

/* Description of violation i; NULL after the last one kept. */
const char *ws_jcheck_violation_text(const struct ws_jcheck *c, size_t i);

/* Counts and violations as JSON; the caller owns the reference. */
json_t *ws_jcheck_report(const struct ws_jcheck *c);

#endif
