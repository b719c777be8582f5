#ifndef WS_LOG_CLIENT_H
#define WS_LOG_CLIENT_H

#include "io/ws_shell.h"

/* Client of the platform's append-only log. */

struct ws_log_client;

struct ws_log_client *ws_log_client_new(struct ws_shell *sh);
void ws_log_client_free(struct ws_log_client *c);

/* Appends a record; results in WS_EV_APPENDED or WS_EV_APPEND_FAILED. */
void ws_log_client_append(struct ws_log_client *c, const struct ws_record *rec);

/* Long poll from an offset; results in WS_EV_LOG_READ or WS_EV_LOG_FAILED. */
void ws_log_client_read(struct ws_log_client *c, ws_offset from);

#endif
