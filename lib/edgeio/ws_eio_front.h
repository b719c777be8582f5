#ifndef WS_EIO_FRONT_H
#define WS_EIO_FRONT_H

#include "edgeio/ws_eio.h"

/* HTTP listeners for callers and for the platform's readiness checks. */

struct ws_eio_front *ws_eio_front_new(struct ws_eio *io, struct wp_error *err);
void ws_eio_front_free(struct ws_eio_front *f);

/* Sends a caller's request to a server. */
void ws_eio_front_send(struct ws_eio_front *f, const struct ws_ed_effect *x);

/* Forwards the server's answer to the caller. */
void ws_eio_front_forward(struct ws_eio_front *f, uint64_t id,
			  const char *customer);

/* Sends an answer that this instance generates, with the reason as its body. */
void ws_eio_front_reply(struct ws_eio_front *f, uint64_t id,
			const char *customer, int status, ws_us retry_after,
			enum ws_ed_reason reason);

/* Number of open connections of callers. */
size_t ws_eio_front_connections(const struct ws_eio_front *f);

/* Takes no more requests; see ws_server_finish(). */
void ws_eio_front_finish(struct ws_eio_front *f);

/* Applies the limits of the current configuration to callers' connections. */
void ws_eio_front_apply_config(struct ws_eio_front *f);

#endif
