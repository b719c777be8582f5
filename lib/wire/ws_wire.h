#ifndef WS_WIRE_H
#define WS_WIRE_H

#include "core/ws_types.h"
#include "io/ws_payload.h"

/*
 * Encoding and decoding of messages between instances. The XDR types and
 * functions are generated from ws_peer.x; this module converts between them and
 * struct ws_msg. Payloads are sent as bytes, log records as their JSON text.
 */

/* Maximum size of an encoded message; fits an answer of 4 MiB and headers. */
#define WS_WIRE_MAX ((size_t)6 * 1024 * 1024)

/* Output buffer, reused for successive messages; initially all zeros. */
struct ws_wire_buf {
	char *data;
	size_t len;
	size_t cap;
};

/*
 * Encodes a message.
 * @param now local time; a deadline is encoded as the time left from now
 * @return 0, or WS_ERR_TOO_LARGE if a limit of ws_peer.x is exceeded
 */
int ws_wire_encode(struct ws_wire_buf *buf, const struct ws_payloads *table,
		   const struct ws_msg *msg, ws_us now);

/*
 * Decodes a message and adds its payloads to the table.
 * @param msg to be freed with ws_msg_clear(); after WS_ERR_LIMIT it holds the
 *        kind and, for FORWARD, the ref, so that the sender can be answered
 * @return 0, WS_ERR_SYNTAX, or WS_ERR_LIMIT if the table is full
 */
int ws_wire_decode(const char *data, size_t len, struct ws_payloads *table,
		   struct ws_msg *msg, ws_us now);

/* Releases the payloads of a decoded message that has no other owner. */
void ws_wire_release_payloads(struct ws_payloads *table, struct ws_msg *msg);

#endif
