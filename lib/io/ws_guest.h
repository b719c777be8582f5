#ifndef WS_GUEST_H
#define WS_GUEST_H

#include "io/ws_stream.h"

/*
 * A connection that another instance has opened. Messages arrive on it; the
 * number of those received is sent back as the acknowledgement.
 */

struct ws_peers;

struct ws_inbound {
	struct ws_peers *owner;
	ws_id peer; /* set once it is proved */
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
	bool closed; /* to be freed by the next tick */
	ws_us last_received;
};

struct ws_inbound *ws_inbound_new(struct ws_peers *owner, int fd, ws_us now);
void ws_inbound_free(struct ws_inbound *g);

/* Closes the connection; it is freed by the owner's next tick. */
void ws_inbound_close(struct ws_inbound *g, int error);

/* Sends a due acknowledgement, closes a silent connection. */
void ws_inbound_tick(struct ws_inbound *g, ws_us now);

#endif
