#ifndef WS_HANGUP_H
#define WS_HANGUP_H

#include <microhttpd.h>
#include <poll.h>

#include "common/ws_common.h"

/*
 * Detects that callers have closed their connections while these are suspended:
 * libmicrohttpd doesn't watch suspended connections. A caller that only shuts
 * down its sending side counts as disconnected too.
 */
struct ws_hangup {
	void **owners; /* one for each connection */
	struct pollfd *fds;
	size_t n;
	size_t cap_owners;
	size_t cap_fds;
};

void ws_hangup_reset(struct ws_hangup *h);
void ws_hangup_add(struct ws_hangup *h, struct MHD_Connection *con,
		   void *owner);

/* Polls all added connections; returns whether any was closed. */
bool ws_hangup_poll(struct ws_hangup *h);

/* Returns the owner of the i-th connection if that was closed, else NULL. */
void *ws_hangup_closed_owner(const struct ws_hangup *h, size_t i);

void ws_hangup_free(struct ws_hangup *h);

#endif
