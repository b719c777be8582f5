#include "io/ws_guest.h"

#include <stdlib.h>

#include "io/ws_logline.h"
#include "io/ws_peers_impl.h"

/* Heartbeats come each 250 ms; a connection without them is dead. */
#define IDLE_MAX (3 * WS_SECOND)
#define HANDSHAKE_MAX (1 * WS_SECOND)
#define ACK_LEN 8

/* ===== Closing ===== */

void ws_inbound_close(struct ws_inbound *g, int error)
{
	if (g->closed)
		return;
	g->closed = true;
	ws_peers_count_bytes(g->owner, &g->stream);
	ws_stream_stop(&g->stream);
	if (error && g->state != WS_INBOUND_UP)
		ws_logline(WS_LOG_PEER_REJECTED, g->seal.peer, 0, error, NULL);
	/* Answers that were on their way here are lost. */
	if (g->authenticated && error)
		ws_peers_report_down(g->owner, g->peer);
}

static void on_broken(void *arg)
{
	ws_inbound_close(arg, WS_ERR_PEER);
}

/* ===== Receiving ===== */

static int take_hello(struct ws_inbound *g)
{
	uint8_t hello[WS_SEAL_HELLO_LEN];
	uint8_t reply[WS_SEAL_REPLY_LEN];

	if (!ws_stream_read_exact(&g->stream, hello, sizeof(hello)))
		return 0;
	if (ws_seal_acceptor_start(&g->seal, ws_peers_secrets(g->owner),
				   ws_peers_self(g->owner), hello, reply))
		return WS_ERR_PEER;
	ws_stream_write(&g->stream, reply, sizeof(reply));
	g->state = WS_INBOUND_HEADER;
	return 0;
}

static int take_header(struct ws_inbound *g)
{
	uint8_t header[WS_SEAL_HEADER_LEN];

	if (!ws_stream_read_exact(&g->stream, header, sizeof(header)))
		return 0;
	if (ws_seal_acceptor_finish(&g->seal, header))
		return WS_ERR_PEER;
	g->state = WS_INBOUND_UP;
	g->ack_due = true;
	return 0;
}

/*
 * The first record that opens proves that the peer has the secret. Until then
 * nothing long is buffered.
 */
static int take_proof(struct ws_inbound *g)
{
	uint8_t proof[WS_LINK_PROOF_LEN];
	int len = ws_stream_read_record(&g->stream, &g->seal, proof,
					sizeof(proof));

	if (len <= 0)
		return len;
	g->authenticated = true;
	g->peer = g->seal.peer;
	ws_peers_close_older_inbound(g->owner, g);
	return 0;
}

static int take_messages(struct ws_inbound *g)
{
	size_t max;
	void *room = ws_peers_receive_buffer(g->owner, &max);
	int len;

	while ((len = ws_stream_read_record(&g->stream, &g->seal, room, max)) >
	       0) {
		g->received++;
		g->ack_due = true;
		ws_peers_receive(g->owner, g->peer, room, (size_t)len);
		if (g->closed)
			return 0;
	}
	return len;
}

static void on_data(void *arg)
{
	struct ws_inbound *g = arg;
	int res = 0;

	g->last_received = ws_shell_now();
	if (g->state == WS_INBOUND_HELLO)
		res = take_hello(g);
	if (!res && g->state == WS_INBOUND_HEADER)
		res = take_header(g);
	if (!res && g->state == WS_INBOUND_UP && !g->authenticated)
		res = take_proof(g);
	if (!res && g->authenticated)
		res = take_messages(g);
	if (g->closed)
		return;
	if (res)
		ws_inbound_close(g, res);
	else
		ws_stream_flush(&g->stream);
}

/* ===== Time ===== */

static void send_ack(struct ws_inbound *g)
{
	uint8_t ack[ACK_LEN];
	int i;

	for (i = 0; i < ACK_LEN; i++)
		ack[i] = (uint8_t)(g->received >> (56 - 8 * i));
	g->ack_due = false;
	ws_stream_write_record(&g->stream, &g->seal, ack, ACK_LEN);
	ws_stream_flush(&g->stream);
}

void ws_inbound_tick(struct ws_inbound *g, ws_us now)
{
	ws_us most = g->state == WS_INBOUND_UP ? IDLE_MAX : HANDSHAKE_MAX;

	if (g->closed)
		return;
	if (now - g->last_received > most)
		ws_inbound_close(g, WS_ERR_DEADLINE);
	else if (g->ack_due && g->state == WS_INBOUND_UP)
		send_ack(g);
}

/* ===== Life ===== */

struct ws_inbound *ws_inbound_new(struct ws_peers *owner, int fd, ws_us now)
{
	struct ws_inbound *g = ws_alloc(1, sizeof(*g));

	g->owner = owner;
	g->last_received = now;
	g->stream.on_data = on_data;
	g->stream.on_broken = on_broken;
	g->stream.arg = g;
	ws_stream_start(&g->stream, ws_peers_loop(owner), fd, false);
	return g;
}

void ws_inbound_free(struct ws_inbound *g)
{
	ws_stream_stop(&g->stream);
	ws_stream_free(&g->stream);
	free(g);
}
