#ifndef WS_SERVER_H
#define WS_SERVER_H

#include <ev.h>
#include <glib.h>

#include "common/ws_timer.h"
#include "io/ws_headers.h"

/*
 * HTTP/1.1 server on a libev loop; messages are parsed by http_parser.
 * Requests that a caller sends behind each other on one connection are handed
 * out as soon as they were read, and their answers are written in the order of
 * the requests.
 */

struct ws_server;
struct ws_server_con;

/* A request as it was read. */
struct ws_server_request {
	struct ws_server_con *con;
	struct ws_server_request *next; /* behind it on its connection */
	ws_us started_at; /* when its first byte was read */
	char method[16];
	char *uri; /* path and query, as sent */
	size_t uri_len;
	size_t uri_cap;
	struct ws_headers headers; /* all of them, as sent */
	char *body;
	size_t body_len;
	size_t body_cap;
	bool body_dropped; /* the body was dropped: too many bytes are arriving
			    */
	bool close; /* the caller closes the connection after the answer */
	bool answered;
	GString *queued_answer; /* answer that waits for those before it */
	void *user_data; /* of the receiver */
};

struct ws_server_ops {
	/* A request was read whole; it must be answered, now or later. */
	void (*on_request)(void *arg, struct ws_server_request *r);
	/* The caller has left; the request ends with this call. */
	void (*on_disconnect)(void *arg, struct ws_server_request *r);
};

struct ws_server_limits {
	size_t max_header; /* bytes of path and headers */
	size_t max_body;
	ws_us header_timeout; /* from the first byte to the end of the headers,
				 and between parts of a body */
	ws_us idle_timeout; /* of a connection without requests */
};

struct ws_server_conf {
	const struct ws_server_ops *ops;
	void *arg;
	const char *address; /* ip:port */
	unsigned max_connections;
	size_t max_receiving; /* bytes of bodies that are being read */
	struct ws_timers *timers;
	ws_us (*now)(void);
};

/* An answer; strings are copied or written before the call returns. */
struct ws_server_answer {
	unsigned status;
	const char *headers; /* "Name: value" strings, each ended by a NUL */
	size_t headers_len;
	const void *data;
	size_t data_len;
	bool close; /* the connection ends with this answer */
};

/* @return NULL when the address can't be listened on; errno tells */
struct ws_server *ws_server_new(struct ev_loop *loop,
				const struct ws_server_conf *conf);

/* Closes all connections; gone is called for requests without an answer. */
void ws_server_free(struct ws_server *s);

const struct ws_server_limits *ws_server_limits(const struct ws_server *s);

/* Changed limits count from the next byte or check on. */
void ws_server_set_limits(struct ws_server *s,
			  const struct ws_server_limits *limits);

/*
 * Answers a request, which ends with this call. May be called from within
 * arrived. Length and, where asked for, closing are added to the headers.
 */
void ws_server_answer(struct ws_server_request *r,
		      const struct ws_server_answer *a);

unsigned ws_server_connections(const struct ws_server *s);

#endif
