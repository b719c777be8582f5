#include "io/ws_inbound.h"

#include <stdlib.h>

#include "io/ws_logline.h"
#include "io/ws_peers_impl.h"

/* Heartbeats come every 250 ms; a connection silent for this long is dead. */
#define IDLE_TIMEOUT (3 * WS_SECOND)
#define HANDSHAKE_TIMEOUT (1 * WS_SECOND)
#define ACK_LEN 8

/* ===== Closing ===== */

void ws_inbound_close(struct ws_inbound *in, int error)
{
	if (in->closed)
		return;
	in->closed = true;
	ws_peers_count_bytes(in->owner, &in->stream);
	ws_stream_stop(&in->stream);
	if (error && in->state != WS_INBOUND_UP)
		ws_logline(WS_LOG_PEER_REJECTED, in->seal.peer, 0, error, NULL);
	/* Messages in transit, such as answers, are lost. */
	if (in->authenticated && error)
		ws_peers_report_down(in->owner, in->peer);
}

static void on_broken(void *arg)
{
	ws_inbound_close(arg, WS_ERR_PEER);
}

/* ===== Receiving ===== */

static int read_hello(struct ws_inbound *in)
{
	uint8_t hello[WS_SEAL_HELLO_LEN];
	uint8_t reply[WS_SEAL_REPLY_LEN];

	if (!ws_stream_read_exact(&in->stream, hello, sizeof(hello)))
		return 0;
	if (ws_seal_acceptor_start(&in->seal, ws_peers_secrets(in->owner),
				   ws_peers_self(in->owner), hello, reply))
		return WS_ERR_PEER;
	ws_stream_write(&in->stream, reply, sizeof(reply));
	in->state = WS_INBOUND_HEADER;
	return 0;
}

static int read_header(struct ws_inbound *in)
{
	uint8_t header[WS_SEAL_HEADER_LEN];

	if (!ws_stream_read_exact(&in->stream, header, sizeof(header)))
		return 0;
	if (ws_seal_acceptor_finish(&in->seal, header))
		return WS_ERR_PEER;
	in->state = WS_INBOUND_UP;
	in->ack_due = true;
	return 0;
}

/*
 * A first record that decrypts proves that the peer has the secret. Until then
 * longer records are rejected, so that an unauthenticated sender can't make
 * this instance buffer them.
 */
static int read_proof(struct ws_inbound *in)
{
	uint8_t proof[WS_LINK_PROOF_LEN];
	int len = ws_stream_read_record(&in->stream, &in->seal, proof,
					sizeof(proof));

	if (len <= 0)
		return len;
	in->authenticated = true;
	in->peer = in->seal.peer;
	ws_peers_close_older_inbound(in->owner, in);
	return 0;
}

static int read_messages(struct ws_inbound *in)
{
	size_t max;
	void *buf = ws_peers_receive_buffer(in->owner, &max);
	int len;

	while ((len = ws_stream_read_record(&in->stream, &in->seal, buf, max)) >
	       0) {
		in->received++;
		in->ack_due = true;
		ws_peers_receive(in->owner, in->peer, buf, (size_t)len);
		if (in->closed)
			return 0;
	}
	return len;
}

static void on_data(void *arg)
{
	struct ws_inbound *in = arg;
	int res = 0;

	in->last_received = ws_shell_now();
	if (in->state == WS_INBOUND_HELLO)
		res = read_hello(in);
	if (!res && in->state == WS_INBOUND_HEADER)
		res = read_header(in);
	if (!res && in->state == WS_INBOUND_UP && !in->authenticated)
		res = read_proof(in);
	if (!res && in->authenticated)
		res = read_messages(in);
	if (in->closed)
		return;
	if (res)
		ws_inbound_close(in, res);
	else
		ws_stream_flush(&in->stream);
}

/* ===== Periodic work ===== */

static void send_ack(struct ws_inbound *in)
{
	uint8_t ack[ACK_LEN];
	int i;

	for (i = 0; i < ACK_LEN; i++)
		ack[i] = (uint8_t)(in->received >> (56 - 8 * i));
	in->ack_due = false;
	ws_stream_write_record(&in->stream, &in->seal, ack, ACK_LEN);
	ws_stream_flush(&in->stream);
}

void ws_inbound_tick(struct ws_inbound *in, ws_us now)
{
	ws_us timeout = in->state == WS_INBOUND_UP ? IDLE_TIMEOUT :
						     HANDSHAKE_TIMEOUT;

	if (in->closed)
		return;
	if (now - in->last_received > timeout)
		ws_inbound_close(in, WS_ERR_DEADLINE);
	else if (in->ack_due && in->state == WS_INBOUND_UP)
		send_ack(in);
}

/* ===== Lifecycle ===== */

struct ws_inbound *ws_inbound_new(struct ws_peers *owner, int fd, ws_us now)
{
	struct ws_inbound *in = ws_alloc(1, sizeof(*in));

	in->owner = owner;
	in->last_received = now;
	in->stream.on_data = on_data;
	in->stream.on_broken = on_broken;
	in->stream.arg = in;
	ws_stream_start(&in->stream, ws_peers_loop(owner), fd, false);
	return in;
}

void ws_inbound_free(struct ws_inbound *in)
{
	ws_stream_stop(&in->stream);
	ws_stream_free(&in->stream);
	free(in);
}
