#ifndef WS_SERVER_INT_H
#define WS_SERVER_INT_H

#include <http_parser.h>

#include "io/ws_server.h"

/* Private to ws_server.c and ws_server_request.c. */

#define WS_SERVER_READ_BUFFER ((size_t)32 * 1024)
/* Most open requests of a connection. */
#define WS_SERVER_PIPELINE_MAX 16

struct ws_server_con {
	ev_io io;
	struct ws_server *server;
	struct ws_server_con *prev;
	struct ws_server_con *next;
	http_parser parser;
	struct ws_server_request *first; /* open requests, oldest first */
	struct ws_server_request *last;
	unsigned n_open;
	struct ws_server_request *partial; /* request being received */
	bool headers_done; /* of the partial request */
	bool awaits_continue; /* its caller waits for 100 Continue */
	bool in_value; /* the parser is in a header value */
	size_t value_start; /* offset of that value in the headers */
	size_t trailer_len; /* bytes read of the partial request's trailers */
	bool parsing; /* inside http_parser_execute() */
	bool closing; /* further input is discarded */
	bool lingering; /* all is sent; waiting for the caller to close */
	bool broken; /* sending failed, or the caller has left */
	unsigned reject; /* error status for a request that is rejected */
	char *out; /* response bytes that the socket didn't accept yet */
	size_t out_len;
	size_t out_cap;
	size_t out_pos;
	char *unread; /* bytes not yet parsed */
	size_t unread_len;
	size_t unread_cap;
	ws_us last_activity; /* time of the last read or write */
	ws_us checked_at; /* when its caller was last known to be there */
};

struct ws_server {
	struct ws_server_conf conf;
	struct ws_server_limits limits;
	struct ev_loop *loop;
	ev_io listener;
	ev_timer resume; /* parses unread bytes */
	struct ws_server_con *cons; /* newest first */
	unsigned n_cons;
	struct ws_server_request *free_requests;
	size_t n_free;
	size_t receiving_bytes; /* of bodies of requests that are open */
	struct ws_memory *memory; /* the account; own_memory if none is set */
	struct ws_memory own_memory;
	bool finished; /* takes no more requests */
	int timer;
	char buf[WS_SERVER_READ_BUFFER];
};

/* ===== ws_server.c ===== */

/* Sends two buffers; what the socket doesn't accept is kept for later. */
void ws_server_write(struct ws_server_con *c, const void *head, size_t head_len,
		     const void *body, size_t body_len);

/* ===== ws_server_request.c ===== */

/* Grows a buffer of bytes that are kept in any case. */
void ws_server_grow_held(struct ws_server *s, char **buf, size_t *cap,
			 size_t need);
void ws_server_free_held(struct ws_server *s, char **buf, size_t *cap);

/* Ends a request; its memory may be used for another one. */
void ws_server_release_request(struct ws_server *s,
			       struct ws_server_request *r);
void ws_server_destroy_request(struct ws_server *s,
			       struct ws_server_request *r);

/* Answers a request that cannot be read, after those of earlier ones. */
void ws_server_reject(struct ws_server_con *c, unsigned status);

/*
 * Sends 100 Continue to a caller that waits for it before it sends the body,
 * once all earlier requests are answered.
 */
void ws_server_continue(struct ws_server_con *c);

/* Keeps bytes that are parsed later. */
void ws_server_buffer_unread(struct ws_server_con *c, const char *data,
			     size_t len);

/*
 * Parses received bytes: calls on_request for each complete request, and
 * answers one that is malformed or has no room.
 */
void ws_server_parse(struct ws_server_con *c, const char *data, size_t len);

#endif
