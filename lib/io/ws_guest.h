#ifndef WS_GUEST_H
#define WS_GUEST_H

#include "io/ws_stream.h"

/*
 * A connection that another instance has opened. Messages arrive on it; the
 * number of those received is sent back as the acknowledgement.
 */

struct ws_peers;

struct ws_guest {
	struct ws_peers *owner;
	ws_id peer; /* set once it is proved */
	enum {
		WS_GUEST_HELLO = 0,
		WS_GUEST_HEADER,
		WS_GUEST_UP,
	} state;
	struct ws_stream stream;
	struct ws_seal seal;
	uint64_t received;
	bool proved;
	bool ack_due;
	bool closed; /* to be freed by the next tick */
	ws_us heard;
};

struct ws_guest *ws_guest_new(struct ws_peers *owner, int fd, ws_us now);
void ws_guest_free(struct ws_guest *g);

/* Closes the connection; it is freed by the owner's next tick. */
void ws_guest_close(struct ws_guest *g, int error);

/* Sends a due acknowledgement, closes a silent connection. */
void ws_guest_tick(struct ws_guest *g, ws_us now);

#endif
