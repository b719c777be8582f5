#ifndef WS_JCHECK_PARTS_H
#define WS_JCHECK_PARTS_H

#include <glib.h>

#include "standin/ws_jcheck.h"

/* Internals shared by the reader and the rules of the journal check. */

#define WS_JCHECK_TEXTS_MAX 200

/* One execution of a request. Without an end, it may have run. */
struct ws_jcheck_execution {
	char *source;
	char *owner; /* target/incarnation */
	char *resource; /* service and shard or hot key; NULL: not sharded */
	char *key; /* service and key; NULL: none */
	char *id; /* service, customer and request id */
	char *body; /* service, customer and body */
	bool has_id;
	bool idempotent;
	bool ended;
	bool frozen;
	int64_t fence;
	ws_us start;
	ws_us end;
};

struct ws_jcheck {
	bool unique_bodies;
	char *watched; /* key of an execution; NULL: none */
	struct ws_jcheck_counts counts;
	uint64_t violations[WS_JCHECK_KINDS];
	GPtrArray *texts; /* char * */
	GPtrArray *runs; /* struct ws_jcheck_execution * */
	GHashTable *zones_out; /* by target: when its zone left service */
	GHashTable *unfinished; /* executions without an end so far */
};

/*
 * Counts a violation and keeps its description, for the first
 * WS_JCHECK_TEXTS_MAX violations.
 */
void ws_jcheck_add_violation(struct ws_jcheck *c, unsigned kind,
			     const char *fmt, ...) G_GNUC_PRINTF(3, 4);

/*
 * Rules over all executions: at most one run of each request id, and one owner
 * at a time of each shard, hot key and key.
 */
void ws_jcheck_check_request_ids(struct ws_jcheck *c);
void ws_jcheck_check_ownership(struct ws_jcheck *c);

#endif
