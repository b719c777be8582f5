#ifndef WS_EIO_TARGETS_H
#define WS_EIO_TARGETS_H

#include "edgeio/ws_eio.h"

/* HTTP client for servers: forwarded requests, key grants and key releases. */

/* Whether a request still has to go out when its connection is open. */
enum ws_eio_send {
	WS_EIO_SEND = 1,
	/* The end of the request is reported, that of the attempt is not */
	WS_EIO_SEND_CALLER_LEFT,
	WS_EIO_SEND_SERVER_LEFT, /* the attempt ends as withdrawn */
};

/* The first bytes of a request go out to a server next. */
typedef enum ws_eio_send (*ws_eio_send_fn)(struct ws_eio *io, uint64_t request,
					   uint32_t server);

/* A caller's request as it is forwarded; pointers are borrowed. */
struct ws_eio_request {
	uint64_t id;
	uint8_t lane;
	bool resent; /* its address may have been sent it before */
	const char *request_id;
	const char *method;
	const char *uri;
	const char *host;
	const char *headers; /* "Name: value" strings, each ended by a NUL */
	size_t headers_len;
	const void *body;
	size_t body_len;
	ws_eio_send_fn before_send; /* NULL: none */
};

struct ws_eio_targets *ws_eio_targets_new(struct ws_eio *io);
void ws_eio_targets_free(struct ws_eio_targets *t);

/* How a send ends by the server's response to the request with this id. */
enum ws_ed_end ws_eio_targets_end(const char *request_id,
				  const struct ws_http_result *res);

/* Starts an attempt; the pointers in r must stay valid until it ends. */
void ws_eio_targets_send(struct ws_eio_targets *t,
			 const struct ws_eio_request *r, uint32_t server,
			 ws_us deadline);

/* Cancels an attempt. */
void ws_eio_targets_cancel(struct ws_eio_targets *t, uint64_t request,
			   uint8_t lane);

/* Sends a grant (grant is true) or a release of keys to a server. */
void ws_eio_targets_start_key_call(struct ws_eio_targets *t,
				   const struct ws_ed_key_call *call,
				   bool grant);

/*
 * The server's answer that the current event reports; NULL outside of
 * ws_eio_handle_event().
 */
const struct ws_body *ws_eio_targets_answer(const struct ws_eio_targets *t);

/* Number of attempts in progress. */
size_t ws_eio_targets_open_attempts(const struct ws_eio_targets *t);

#endif
