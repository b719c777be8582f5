#ifndef WS_ADMIN_H
#define WS_ADMIN_H

#include "io/ws_shell.h"

/* Listener for administration, health and metrics. */

struct ws_admin;

/* @return NULL with the reason filled in */
struct ws_admin *ws_admin_new(struct ws_shell *sh, struct ws_config_error *why);
void ws_admin_free(struct ws_admin *a);

/* The result of a bundle that was submitted here. */
void ws_admin_on_published(struct ws_admin *a, uint64_t ref, int error,
			   uint64_t version);

/* Records of the log were read; kept for /audit. */
void ws_admin_add_records(struct ws_admin *a, const struct ws_record *records,
			  size_t n);

#endif
