#ifndef WS_AUDIT_H
#define WS_AUDIT_H

#include <jansson.h>

#include "core/ws_types.h"

/*
 * The most recent changes that this instance knows, in memory: log records and
 * administration requests to this instance. The log is the permanent audit
 * trail.
 */

#define WS_AUDIT_MAX 1000

struct ws_audit;

struct ws_audit *ws_audit_new(void);
void ws_audit_free(struct ws_audit *a);

/* Adds a log record; one that was added before is ignored. */
void ws_audit_add_record(struct ws_audit *a, const struct ws_record *rec);

/* Adds an administration request and its result. */
void ws_audit_add_request(struct ws_audit *a, int64_t wall_ms, const char *what,
			  int error);

/* Returns the entries as an array, oldest first. */
json_t *ws_audit_json(const struct ws_audit *a);

#endif
