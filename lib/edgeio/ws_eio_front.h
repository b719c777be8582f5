#ifndef WS_EIO_FRONT_H
#define WS_EIO_FRONT_H

#include "edgeio/ws_eio.h"

/* Callers' connections and readiness checks. */

struct ws_eio_front *ws_eio_front_new(struct ws_eio *io, struct wp_error *why);
void ws_eio_front_free(struct ws_eio_front *f);

/* Sends a caller's request to a server. */
void ws_eio_front_send(struct ws_eio_front *f, uint64_t id, uint8_t lane,
		       uint32_t server, ws_us deadline);

/* Hands the server's answer to the caller. */
void ws_eio_front_forward(struct ws_eio_front *f, uint64_t id,
			  const char *customer);

/* Answers the caller ourselves. */
void ws_eio_front_reply(struct ws_eio_front *f, uint64_t id,
			const char *customer, int status, ws_us retry_after,
			enum ws_ed_reason reason);

/* Callers' connections that are open. */
size_t ws_eio_front_connections(const struct ws_eio_front *f);

/* A configuration has come into force; its limits count from now on. */
void ws_eio_front_apply_config(struct ws_eio_front *f);

#endif
