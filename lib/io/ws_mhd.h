#ifndef WS_MHD_H
#define WS_MHD_H

#include <ev.h>
#include <microhttpd.h>

#include "common/ws_common.h"

/* An HTTP listener: libmicrohttpd, run by a libev loop. */

struct ws_mhd;

struct ws_mhd_conf {
	const char *address; /* ip:port */
	unsigned max_connections;
	size_t connection_memory; /* bytes for headers; 0: default */
	MHD_AccessHandlerCallback handler;
	/* Called first, with the raw URI; the result becomes *req_cls. */
	void *(*begin)(void *arg, const char *uri, struct MHD_Connection *con);
	MHD_RequestCompletedCallback completed;
	void *arg;
};

/* @return NULL when the address cannot be listened on */
struct ws_mhd *ws_mhd_new(struct ev_loop *loop, const struct ws_mhd_conf *conf);

/* No request may be suspended at this time. */
void ws_mhd_free(struct ws_mhd *m);

/* Stops accepting connections; open ones continue. */
void ws_mhd_quiesce(struct ws_mhd *m);

/* Resumes a suspended connection in the next iteration of the loop. */
void ws_mhd_resume(struct ws_mhd *m, struct MHD_Connection *con);

/*
 * Number of open connections. Within a handler, the number when the handler's
 * batch of events began.
 */
unsigned ws_mhd_connections(const struct ws_mhd *m);

#endif
