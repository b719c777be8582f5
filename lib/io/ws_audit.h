#ifndef WS_AUDIT_H
#define WS_AUDIT_H

#include <jansson.h>

#include "core/ws_types.h"

/*
 * The last changes that this instance has seen: records of the log, which is
 * the lasting audit trail, and administration requests made here.
 */

#define WS_AUDIT_MAX 1000

struct ws_audit;

struct ws_audit *ws_audit_new(void);
void ws_audit_free(struct ws_audit *a);

/* Notes a record of the log; one that was noted before is ignored. */
void ws_audit_add_record(struct ws_audit *a, const struct ws_record *rec);

/* Notes an administration request and its result. */
void ws_audit_add_request(struct ws_audit *a, int64_t wall_ms, const char *what,
			  int error);

/* Array of entries, oldest first. */
json_t *ws_audit_json(const struct ws_audit *a);

#endif
