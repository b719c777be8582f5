#ifndef WS_SERVER_H
#define WS_SERVER_H

#include <ev.h>
#include <glib.h>

#include "common/ws_timer.h"
#include "io/ws_headers.h"
#include "io/ws_memory.h"

/*
 * HTTP/1.1 server on a libev loop; http_parser parses the messages. It supports
 * pipelining: each request is delivered as soon as it was read, also while
 * earlier ones are open, and the responses are sent in the order of the
 * requests.
 */

struct ws_server;
struct ws_server_con;
struct ws_server_rejection;

/* A complete request. */
struct ws_server_request {
	struct ws_server_con *con;
	struct ws_server_request *next; /* next one on its connection */
	ws_us started_at; /* time of its first byte */
	char method[16];
	char *uri; /* path and query, as sent */
	size_t uri_len;
	size_t uri_cap;
	struct ws_headers headers; /* all headers, as sent; no trailers */
	char *body;
	size_t body_len;
	size_t body_cap;
	bool body_dropped; /* there was no room; no body is kept */
	size_t held; /* bytes of its buffers in the account */
	bool close; /* the connection closes after the response */
	bool answered;
	GString *queued_answer; /* response that waits for earlier ones */
	void *user_data; /* for the user of the server */
};

struct ws_server_ops {
	/* A request is complete; it must be answered, now or later. */
	void (*on_request)(void *arg, struct ws_server_request *r);
	/* The caller has disconnected; the request is freed after this call. */
	void (*on_disconnect)(void *arg, struct ws_server_request *r);
	/*
	 * Whether the limits on sizes are those in force; optional. While they
	 * are not, what exceeds them is answered 503 instead of 413 or 431.
	 */
	bool (*are_limits_current)(void *arg);
	/*
	 * A request that is not complete is answered with a status of the
	 * server's own; optional. What was read of it may lack any part.
	 */
	void (*on_reject)(void *arg, const struct ws_server_request *r,
			  const struct ws_server_rejection *rejection);
};

/* Why ws_server has answered a request itself. */
struct ws_server_rejection {
	unsigned status; /* 400, 408, 413, 431 or 503 */
	const char *error; /* name of the parser's error; "" if none */
	unsigned n_open; /* earlier requests of the connection still open */
	size_t head_len; /* bytes read of URI and headers */
	size_t body_len; /* bytes read of the body */
};

struct ws_server_limits {
	size_t max_header; /* bytes of URI and headers; of the trailers */
	size_t max_body;
	ws_us header_timeout; /* from the first byte to the end of the headers,
				 and between two reads of a body */
	ws_us idle_timeout; /* of a connection without open requests */
};

struct ws_server_conf {
	const struct ws_server_ops *ops;
	void *arg;
	const char *address; /* ip:port */
	unsigned max_connections;
	/* Bytes of the bodies of all requests that are not answered yet */
	size_t max_receiving;
	/*
	 * Account of memory for heads, bodies and output, which must outlive
	 * the server; NULL: none. Without room in it, heads are rejected with
	 * 503 and bodies are dropped.
	 */
	struct ws_memory *memory;
	struct ws_timers *timers;
	ws_us (*now)(void);
};

/* A response; its strings may be freed after ws_server_answer(). */
struct ws_server_answer {
	unsigned status;
	const char *headers; /* "Name: value" strings, each ended by a NUL */
	size_t headers_len;
	const void *data;
	size_t data_len;
	bool close; /* close the connection after this response */
};

/* @return NULL if it can't listen on the address; errno is set */
struct ws_server *ws_server_new(struct ev_loop *loop,
				const struct ws_server_conf *conf);

/* Closes all connections; calls on_disconnect for unanswered requests. */
void ws_server_free(struct ws_server *s);

const struct ws_server_limits *ws_server_limits(const struct ws_server *s);

/* The new limits apply to open connections too. */
void ws_server_set_limits(struct ws_server *s,
			  const struct ws_server_limits *limits);

/*
 * Sends or queues the response to a request, which must not be used afterwards.
 * May be called by on_request. Content-Length and Connection: close are added
 * to the headers where needed.
 */
void ws_server_answer(struct ws_server_request *r,
		      const struct ws_server_answer *a);

/*
 * Whether the caller of an open request has closed the connection or reset it,
 * though that may not have been read yet. May be called by on_request. If so,
 * on_disconnect follows for all open requests of the connection.
 */
bool ws_server_caller_left(struct ws_server_request *r);

unsigned ws_server_connections(const struct ws_server *s);

/*
 * Takes no more requests. Requests that are not complete are answered with 503;
 * each connection is closed after the responses to complete ones, by its caller
 * or when the server is freed.
 */
void ws_server_finish(struct ws_server *s);

#endif
