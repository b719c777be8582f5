#include "io/ws_inbound.h"

#include <stdlib.h>

#include "io/ws_logline.h"
#include "io/ws_peers_impl.h"

/* Heartbeats come every 250 ms; a connection silent for this long is dead. */
#define IDLE_TIMEOUT (3 * WS_SECOND)
#define HANDSHAKE_TIMEOUT (1 * WS_SECOND)
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
	/* Messages in transit, such as answers, are lost. */
	if (g->authenticated && error)
		ws_peers_report_down(g->owner, g->peer);
}

static void on_broken(void *arg)
{
	ws_inbound_close(arg, WS_ERR_PEER);
}

/* ===== Receiving ===== */

static int read_hello(struct ws_inbound *g)
{
	uint8_t hello[WS_SEAL_HELLO];
	uint8_t reply[WS_SEAL_REPLY];

	if (!ws_stream_read_exact(&g->stream, hello, sizeof(hello)))
		return 0;
	if (ws_seal_accept(&g->seal, ws_peers_secrets(g->owner),
			   ws_peers_self(g->owner), hello, reply))
		return WS_ERR_PEER;
	ws_stream_write(&g->stream, reply, sizeof(reply));
	g->state = WS_INBOUND_HEADER;
	return 0;
}

static int read_header(struct ws_inbound *g)
{
	uint8_t header[WS_SEAL_HEADER];

	if (!ws_stream_read_exact(&g->stream, header, sizeof(header)))
		return 0;
	if (ws_seal_begin(&g->seal, header))
		return WS_ERR_PEER;
	g->state = WS_INBOUND_UP;
	g->ack_due = true;
	return 0;
}

/*
 * A first record that decrypts proves that the peer has the secret. Until then
 * longer records are rejected, so that an unauthenticated sender can't make
 * this instance buffer them.
 */
static int read_proof(struct ws_inbound *g)
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

static int read_messages(struct ws_inbound *g)
{
	size_t max;
	void *buf = ws_peers_receive_buffer(g->owner, &max);
	int len;

	while ((len = ws_stream_read_record(&g->stream, &g->seal, buf, max)) >
	       0) {
		g->received++;
		g->ack_due = true;
		ws_peers_receive(g->owner, g->peer, buf, (size_t)len);
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
		res = read_hello(g);
	if (!res && g->state == WS_INBOUND_HEADER)
		res = read_header(g);
	if (!res && g->state == WS_INBOUND_UP && !g->authenticated)
		res = read_proof(g);
	if (!res && g->authenticated)
		res = read_messages(g);
	if (g->closed)
		return;
	if (res)
		ws_inbound_close(g, res);
	else
		ws_stream_flush(&g->stream);
}

/* ===== Periodic work ===== */

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
	ws_us timeout = g->state == WS_INBOUND_UP ? IDLE_TIMEOUT :
						    HANDSHAKE_TIMEOUT;

	if (g->closed)
		return;
	if (now - g->last_received > timeout)
		ws_inbound_close(g, WS_ERR_DEADLINE);
	else if (g->ack_due && g->state == WS_INBOUND_UP)
		send_ack(g);
}

/* ===== Lifecycle ===== */

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
