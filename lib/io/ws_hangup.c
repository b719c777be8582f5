#define _GNU_SOURCE /* POLLRDHUP */
#include "io/ws_hangup.h"

#include <stdlib.h>
#include <string.h>

void ws_hangup_reset(struct ws_hangup *h)
{
	h->n = 0;
}

void ws_hangup_add(struct ws_hangup *h, struct MHD_Connection *con, void *item)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD);

	ws_grow(&h->owners, &h->cap_owners, h->n + 1, sizeof(void *));
	ws_grow(&h->fds, &h->cap_fds, h->n + 1, sizeof(*h->fds));
	h->owners[h->n] = item;
	h->fds[h->n++] = (struct pollfd){
		.fd = info->connect_fd,
		.events = POLLRDHUP,
	};
}

bool ws_hangup_poll(struct ws_hangup *h)
{
	return h->n && poll(h->fds, h->n, 0) > 0;
}

void *ws_hangup_closed_owner(const struct ws_hangup *h, size_t i)
{
	return h->fds[i].revents ? h->owners[i] : NULL;
}

void ws_hangup_free(struct ws_hangup *h)
{
	free(h->owners);
	free(h->fds);
	memset(h, 0, sizeof(*h));
}
