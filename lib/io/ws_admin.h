#ifndef WS_ADMIN_H
#define WS_ADMIN_H

#include "io/ws_shell.h"

/* HTTP listener for administration, health checks and metrics. */

struct ws_admin;

/* @return NULL with the reason filled in */
struct ws_admin *ws_admin_new(struct ws_shell *sh, struct ws_config_error *why);
void ws_admin_free(struct ws_admin *a);

/*
 * Delivers the result of the bundle or recover record that was submitted under
 * ref; an unknown ref is ignored.
 */
void ws_admin_on_published(struct ws_admin *a, uint64_t ref, int error,
			   uint64_t version);

/* Adds records that were read from the log to the entries of /audit. */
void ws_admin_add_records(struct ws_admin *a, const struct ws_record *records,
			  size_t n);

#endif
