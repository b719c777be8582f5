#ifndef WS_LINK_H
#define WS_LINK_H

#include "io/ws_stream.h"

/*
 * The outgoing connection to one instance. It carries messages; the other side
 * only acknowledges them. A connection that leaves messages unacknowledged for
 * WS_LINK_ACK_TIMEOUT is closed and reopened.
 */

#define WS_LINK_ACK_TIMEOUT (1 * WS_SECOND)

/* Length of the first record, which proves the sender and is not counted. */
#define WS_LINK_PROOF_LEN 1

struct ws_peers;

struct ws_link {
	struct ws_peers *owner;
	ws_id peer;
	char address[64];
	bool wanted; /* the instance is still listed or alive */
	enum {
		WS_LINK_DOWN = 0,
		WS_LINK_HELLO, /* connecting, or waiting for the reply */
		WS_LINK_UP,
	} state;
	struct ws_stream stream;
	struct ws_seal seal;
	bool authenticated; /* the other side has sent a record that opens */
	uint64_t sent;
	uint64_t acked;
	ws_us unacked_since; /* first unacknowledged send; 0: none */
	ws_us opened_at;
	ws_us retry_at;
	ws_us backoff;
	bool dirty; /* has bytes to flush */
	uint8_t *pending; /* messages before the handshake: length, bytes */
	size_t pending_len;
	size_t pending_cap;
};

struct ws_link *ws_link_new(struct ws_peers *owner, ws_id peer,
			    const char *address);
void ws_link_free(struct ws_link *l);

/* Sends an encoded message, or keeps it until the handshake is done. */
void ws_link_send(struct ws_link *l, const void *data, size_t len, ws_us now);

/* Connects when due, closes a silent connection. */
void ws_link_tick(struct ws_link *l, ws_us now);

#endif
