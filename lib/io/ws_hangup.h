#ifndef WS_HANGUP_H
#define WS_HANGUP_H

#include <microhttpd.h>
#include <poll.h>

#include "common/ws_common.h"

/*
 * Finds callers that have closed their connection while it is suspended, as
 * libmicrohttpd does not watch it then. A caller that shuts down its sending
 * side only is taken for gone as well.
 */
struct ws_hangup {
	void **owners; /* owners of the connections */
	struct pollfd *fds;
	size_t n;
	size_t cap_owners;
	size_t cap_fds;
};

void ws_hangup_reset(struct ws_hangup *h);
void ws_hangup_add(struct ws_hangup *h, struct MHD_Connection *con, void *item);

/* Looks at all connections added; returns whether any was closed. */
bool ws_hangup_poll(struct ws_hangup *h);

/* Owner of the i-th connection if that was closed, else NULL. */
void *ws_hangup_closed_owner(const struct ws_hangup *h, size_t i);

void ws_hangup_free(struct ws_hangup *h);

#endif
