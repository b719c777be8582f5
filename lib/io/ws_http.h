#ifndef WS_HTTP_H
#define WS_HTTP_H

#include <ev.h>

#include "common/ws_common.h"
#include "io/ws_payload.h"

/*
 * HTTP client: libcurl's multi socket interface on a libev loop. It never
 * sends a request twice: libcurl resends on a fresh connection when a reused
 * one turns out closed, and the second sending is aborted here.
 */

struct ws_http;
struct ws_http_call;

enum ws_http_outcome {
	WS_HTTP_DONE = 1, /* a whole answer */
	WS_HTTP_NOT_SENT, /* no byte of the request left this process */
	WS_HTTP_TIMEOUT, /* sent, no whole answer in time */
	WS_HTTP_BROKEN, /* sent, connection closed or answer malformed */
};

struct ws_http_result {
	enum ws_http_outcome outcome;
	bool timed_out; /* also set for NOT_SENT */
	struct ws_body answer; /* DONE only; borrowed */
};

typedef void (*ws_http_done_fn)(void *arg, const struct ws_http_result *res);

/* Strings, header entries and data must stay valid until done is called. */
struct ws_http_request {
	const char *url;
	const char *method;
	struct curl_slist *headers; /* stays the caller's */
	const void *data;
	size_t data_len;
	ws_us timeout;
	size_t max_answer; /* bytes of the answer's body */
	ws_us max_idle_time; /* older idle connections are not used; 0: standard
			      */
	bool new_connection; /* open a new connection */
	bool allow_unframed; /* the answer may end with its connection */
	ws_http_done_fn done;
	void *arg;
};

struct ws_http *ws_http_new(struct ev_loop *loop);
void ws_http_free(struct ws_http *h);

/*
 * Bounds the bytes of all answers that are being read; an answer that goes
 * beyond is broken off. 0: no bound.
 */
void ws_http_set_receive_limit(struct ws_http *h, size_t max_gathered);

/* Starts a request; done is called later, never from within this call. */
struct ws_http_call *ws_http_start(struct ws_http *h,
				   const struct ws_http_request *req);

/* Ends a call without calling done; an open exchange is disconnected. */
void ws_http_cancel(struct ws_http_call *c);

/* Closes the connection of a finished call; only from within done. */
void ws_http_disconnect(struct ws_http_call *c);

/* Connections opened since the start. */
uint64_t ws_http_connections_opened(const struct ws_http *h);

#endif
