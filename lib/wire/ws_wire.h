#ifndef WS_WIRE_H
#define WS_WIRE_H

#include "core/ws_types.h"
#include "io/ws_payload.h"

/*
 * Messages between instances as bytes. The layout is generated from ws_peer.x;
 * this module converts between it and struct ws_msg. Payloads travel as their
 * bytes and log records as the text of the log.
 */

/* Longest encoded message: an answer of 4 MiB with its headers. */
#define WS_WIRE_MAX ((size_t)6 * 1024 * 1024)

/* A buffer that is reused from message to message. */
struct ws_wire_buf {
	char *data;
	size_t len;
	size_t cap;
};

/*
 * Encodes a message.
 * @param now deadlines are written as the time left from now on
 * @return 0, or WS_ERR_TOO_LARGE when a bound of ws_peer.x is exceeded
 */
int ws_wire_encode(struct ws_wire_buf *buf, const struct ws_payloads *table,
		   const struct ws_msg *msg, ws_us now);

/*
 * Decodes a message; payloads are added to the table.
 * @param msg to be given back with ws_msg_clear(); after WS_ERR_LIMIT it holds
 *        the kind and, for FORWARD, the reference
 * @return 0, WS_ERR_SYNTAX, or WS_ERR_LIMIT when the table is full
 */
int ws_wire_decode(const char *data, size_t len, struct ws_payloads *table,
		   struct ws_msg *msg, ws_us now);

/* Gives back the payloads of a decoded message that nobody took over. */
void ws_wire_release_payloads(struct ws_payloads *table, struct ws_msg *msg);

#endif
