#ifndef WS_JCHECK_H
#define WS_JCHECK_H

#include <jansson.h>

#include "common/ws_common.h"

/*
 * Decides from the journals of stand-in targets whether each non-idempotent
 * request ran at most once, whether each shard and key had one owner at a
 * time, and whether targets were overloaded or saw a caller key.
 */

/* New work may come for so long after a target or its zone leaves service. */
#define WS_JCHECK_LEAVING_GRACE (3 * WS_SECOND)

struct ws_jcheck_counts {
	uint64_t lines;
	uint64_t truncated_lines; /* last line of a file, cut off by the end of
				     a process */
	uint64_t incarnations;
	uint64_t crashes;
	uint64_t started;
	uint64_t ran;
	uint64_t aborted; /* ended without effect */
	uint64_t interrupted; /* begun without an end: may have run */
	uint64_t rejected;
	uint64_t non_idempotent; /* ran */
	uint64_t resources; /* shards and hot keys that were used */
	uint64_t owner_changes; /* of them */
	ws_us longest_pause; /* of any key, idle time included */
	uint64_t watched_changes; /* owners of the watched key, minus one */
	ws_us watched_pause; /* longest between its runs at two owners */
	uint64_t frozen_overlaps; /* run while frozen; no lease can stop it */
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

/* Name of a kind of violation, as in reports. */
const char *ws_jcheck_kind_name(unsigned kind);

struct ws_jcheck;

/*
 * @param unique_bodies also requires that no two non-idempotent requests that
 *        ran had the same body, whatever their ids
 */
struct ws_jcheck *ws_jcheck_new(bool unique_bodies);
void ws_jcheck_free(struct ws_jcheck *c);

/*
 * Adds a line of a journal.
 * @param source place named in violations, such as file:line
 * @param whole false for a last line without its end
 */
void ws_jcheck_add_line(struct ws_jcheck *c, const char *source,
			const char *line, bool whole);

/* Names a key whose changes of owner are counted separately. */
void ws_jcheck_watch_key(struct ws_jcheck *c, const char *service,
			 const char *key);

/* Draws the conclusions; to be called once after the last line. */
void ws_jcheck_finish(struct ws_jcheck *c);

const struct ws_jcheck_counts *ws_jcheck_counts(const struct ws_jcheck *c);

/* Violations of a kind, and of all kinds. */
uint64_t ws_jcheck_violations(const struct ws_jcheck *c, unsigned kind);
uint64_t ws_jcheck_violations_total(const struct ws_jcheck *c);

/* Description of violation i; NULL behind the last one that was kept. */
const char *ws_jcheck_violation_text(const struct ws_jcheck *c, size_t i);

/* Counts and violations as a new JSON object. */
json_t *ws_jcheck_report(const struct ws_jcheck *c);

#endif
