#ifndef WS_INBOUND_H
#define WS_INBOUND_H

#include "io/ws_stream.h"

/*
 * An inbound connection, opened by another instance. It receives messages and
 * acknowledges them by sending back the number of messages received so far.
 */

struct ws_peers;

struct ws_inbound {
	struct ws_peers *owner;
	ws_id peer; /* set once authenticated */
	enum {
		WS_INBOUND_HELLO = 0,
		WS_INBOUND_HEADER,
		WS_INBOUND_UP,
	} state;
	struct ws_stream stream;
	struct ws_seal seal;
	uint64_t received;
	bool authenticated;
	bool ack_due;
	bool closed; /* freed by the next tick */
	ws_us last_received;
};

struct ws_inbound *ws_inbound_new(struct ws_peers *owner, int fd, ws_us now);
void ws_inbound_free(struct ws_inbound *in);

/*
 * Closes the connection; the owner frees it on its next tick.
 * @param error reason, or 0 when a newer connection of the peer replaces this
 *        one
 */
void ws_inbound_close(struct ws_inbound *in, int error);

/* Sends a due acknowledgement; closes the connection if it timed out. */
void ws_inbound_tick(struct ws_inbound *in, ws_us now);

#endif
