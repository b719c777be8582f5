#ifndef WS_JCHECK_PARTS_H
#define WS_JCHECK_PARTS_H

#include <glib.h>

#include "standin/ws_jcheck.h"

/* What the reader and the rules of the journal check share. */

#define WS_JCHECK_TEXTS_MAX 200

/* One execution: an ended run, or a begin without an end. */
struct ws_jcheck_execution {
	char *source;
	char *owner; /* target and incarnation */
	char *resource; /* service and shard or hot key; NULL: none */
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
	char *watched; /* as in struct ws_jcheck_execution; NULL: none */
	struct ws_jcheck_counts counts;
	uint64_t violations[WS_JCHECK_KINDS];
	GPtrArray *texts; /* char * */
	GPtrArray *runs; /* struct ws_jcheck_execution * */
	GHashTable *zones_out; /* target -> time when its zone left service */
	GHashTable *unfinished; /* begin without end: char * -> struct
				   ws_jcheck_execution * */
};

/* Counts a violation and keeps its description, up to WS_JCHECK_TEXTS_MAX. */
void ws_jcheck_add_violation(struct ws_jcheck *c, unsigned kind,
			     const char *fmt, ...) G_GNUC_PRINTF(3, 4);

/* The rules over all executions; texts are named by the field they group. */
void ws_jcheck_check_request_ids(struct ws_jcheck *c);
void ws_jcheck_check_ownership(struct ws_jcheck *c);

#endif
