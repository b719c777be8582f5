#ifndef WS_HTTP_H
#define WS_HTTP_H

#include <ev.h>

#include "common/ws_common.h"
#include "io/ws_memory.h"
#include "io/ws_payload.h"

/*
 * HTTP client: libcurl's multi socket interface on a libev loop. It sends a
 * request at most once. libcurl alone would send it again on a new connection
 * when a reused one turns out to be closed; that second attempt is aborted
 * here.
 */

/*
 * What a response proves. A status line other than of HTTP/1.x with three
 * digits from 100 to 599 is no response: the call ends as WS_HTTP_BROKEN, and
 * its connection is closed. WS_HTTP_DONE says that the status is a final one,
 * from 200 to 599, and that head and body are complete, but not that they
 * belong to the request: a faulty target may send a response once more, late,
 * where the next one on a kept connection is due. A response is attributed to a
 * request by an id that it echoes and that its connection has not carried
 * before, or by being the first on a new connection. Therefore a request must
 * be sent with new_connection
 * - if one with the same id may have been sent to the same target before, or
 * - if responses echo no id and the caller relies on what the response says.
 * A response that can't be attributed proves nothing: the request may have run,
 * and its connection must not be used again (ws_http_disconnect()).
 */

struct ws_http;
struct ws_http_call;

enum ws_http_outcome {
	WS_HTTP_DONE = 1, /* a complete response */
	WS_HTTP_NOT_SENT, /* no byte of the request was sent */
	WS_HTTP_TIMEOUT, /* sent, no complete response in time */
	WS_HTTP_BROKEN, /* sent, connection closed or response malformed */
	WS_HTTP_WITHDRAWN, /* no byte was sent, as before_send forbade it */
};

struct ws_http_result {
	enum ws_http_outcome outcome;
	bool timed_out; /* may also be set for NOT_SENT */
	struct ws_body answer; /* DONE only; borrowed */
};

typedef void (*ws_http_done_fn)(void *arg, const struct ws_http_result *res);
/*
 * The connection is open, and the request's first bytes are sent next.
 * @return false to end the call as WS_HTTP_WITHDRAWN
 */
typedef bool (*ws_http_send_fn)(void *arg);

/* Strings, headers and data must stay valid until done is called. */
struct ws_http_request {
	const char *url;
	/* Sent as it is in place of the path of the URL; NULL: that path */
	const char *target;
	const char *method;
	struct curl_slist *headers; /* borrowed */
	const void *data;
	size_t data_len;
	ws_us timeout;
	size_t max_answer; /* bytes of the response body */
	ws_us max_idle_time; /* of a reused connection; 0: default */
	bool new_connection; /* don't reuse a connection */
	bool essential; /* it is never given up to make room for others */
	bool allow_unframed; /* the response may end with its connection */
	ws_http_send_fn before_send; /* NULL: none */
	ws_http_done_fn done;
	void *arg;
};

struct ws_http *ws_http_new(struct ev_loop *loop);
void ws_http_free(struct ws_http *h);

/*
 * Sets the account of memory for heads, bodies and kept buffers; it must
 * outlive the client. To be called before the first call. Without room in it,
 * the calls that hold most end as WS_HTTP_BROKEN, those marked essential
 * excepted.
 */
void ws_http_set_memory(struct ws_http *h, struct ws_memory *memory);

/* Starts a request; done is called later, never from within this function. */
struct ws_http_call *ws_http_start(struct ws_http *h,
				   const struct ws_http_request *req);

/* Ends a call without calling done; its connection is closed. */
void ws_http_cancel(struct ws_http_call *c);

/* Closes the connection of a finished call; may only be called by done. */
void ws_http_disconnect(struct ws_http_call *c);

/* Number of connections opened since the start. */
uint64_t ws_http_connections_opened(const struct ws_http *h);

#endif
