#ifndef WS_MHD_H
#define WS_MHD_H

#include <ev.h>
#include <microhttpd.h>

#include "common/ws_common.h"

/* An HTTP listener: libmicrohttpd with its epoll set on a libev loop. */

struct ws_mhd;

struct ws_mhd_conf {
	const char *address; /* ip:port */
	unsigned max_connections;
	size_t connection_memory; /* for header fields; 0: standard */
	MHD_AccessHandlerCallback handler;
	/* Called with the raw URI first; its result starts as *req_cls. */
	void *(*begin)(void *arg, const char *uri, struct MHD_Connection *con);
	MHD_RequestCompletedCallback completed;
	void *arg;
};

/* @return NULL when the address cannot be listened on */
struct ws_mhd *ws_mhd_new(struct ev_loop *loop, const struct ws_mhd_conf *conf);

/* No request may be suspended any more. */
void ws_mhd_free(struct ws_mhd *m);

/* Stops accepting connections; those that are open go on. */
void ws_mhd_quiesce(struct ws_mhd *m);

/* Resumes a suspended connection in the next turn of the loop. */
void ws_mhd_resume(struct ws_mhd *m, struct MHD_Connection *con);

/* Open connections; may be asked by a handler, who gets the last count. */
unsigned ws_mhd_connections(const struct ws_mhd *m);

#endif
