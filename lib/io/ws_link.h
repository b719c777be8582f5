#ifndef WS_LINK_H
#define WS_LINK_H

#include "io/ws_stream.h"

/*
 * The outbound connection to another instance. It carries messages; the other
 * side only sends acknowledgements. It is closed and reopened when messages
 * remain unacknowledged for WS_LINK_ACK_TIMEOUT.
 */

#define WS_LINK_ACK_TIMEOUT (1 * WS_SECOND)

/*
 * Length of the first record. It only proves that the sender has the secret and
 * is not counted as a message.
 */
#define WS_LINK_PROOF_LEN 1

struct ws_peers;

struct ws_link {
	struct ws_peers *owner;
	ws_id peer;
	char address[64];
	bool wanted; /* the instance is listed or alive */
	enum {
		WS_LINK_DOWN = 0,
		WS_LINK_HELLO, /* connecting, or waiting for the reply */
		WS_LINK_UP,
	} state;
	struct ws_stream stream;
	struct ws_seal seal;
	bool authenticated; /* a record of the other side could be decrypted */
	uint64_t sent;
	uint64_t acked;
	ws_us unacked_since; /* last progress while messages are unacknowledged;
				0: none are */
	ws_us opened_at;
	ws_us retry_at;
	ws_us backoff;
	bool dirty; /* queued for a flush */
	uint8_t *pending; /* messages sent before the handshake is done, each
				as length and bytes */
	size_t pending_len;
	size_t pending_cap;
};

struct ws_link *ws_link_new(struct ws_peers *owner, ws_id peer,
			    const char *address);
void ws_link_free(struct ws_link *l);

/* Sends an encoded message, or queues it until the handshake is done. */
void ws_link_send(struct ws_link *l, const void *data, size_t len, ws_us now);

/* Connects when due; closes a connection that timed out. */
void ws_link_tick(struct ws_link *l, ws_us now);

#endif
