#ifndef WS_FRONT_H
#define WS_FRONT_H

#include "io/ws_shell.h"

/* HTTP listeners for callers. */

struct ws_front;

#define WS_REQUEST_BODY_MAX ((size_t)1024 * 1024)

/* @return NULL with the reason filled in when a listener cannot be opened */
struct ws_front *ws_front_new(struct ws_shell *sh, struct ws_config_error *why);
void ws_front_free(struct ws_front *f);

/* Answers a request; nothing happens when its caller is gone. */
void ws_front_reply(struct ws_front *f, uint64_t id,
		    const struct ws_answer *answer);

/* Requests without a whole answer, and open connections. */
size_t ws_front_open_requests(const struct ws_front *f);
size_t ws_front_connections(const struct ws_front *f);

#endif
