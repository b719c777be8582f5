#include "io/ws_link.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/ws_config.h"
#include "io/ws_logline.h"
#include "io/ws_peers_impl.h"

#define BACKOFF_MIN (50 * WS_MS)
#define BACKOFF_MAX (2 * WS_SECOND)
#define HANDSHAKE_TIMEOUT (1 * WS_SECOND)
#define PENDING_MAX ((size_t)8 * 1024 * 1024)
#define ACK_LEN 8

/* ===== Closing ===== */

static void close_link(struct ws_link *l, int error)
{
	bool lost = l->state == WS_LINK_UP || l->pending_len;
	ws_us now = ws_shell_now();

	ws_peers_count_bytes(l->owner, &l->stream);
	ws_stream_stop(&l->stream);
	if (l->authenticated)
		ws_logline(WS_LOG_PEER_DOWN, l->peer, 0, error, l->address);
	l->state = WS_LINK_DOWN;
	l->pending_len = 0;
	l->unacked_since = 0;
	l->retry_at = now + l->backoff;
	l->backoff *= 2;
	if (l->backoff > BACKOFF_MAX)
		l->backoff = BACKOFF_MAX;
	if (lost)
		ws_peers_report_down(l->owner, l->peer);
}

static void on_broken(void *arg)
{
	close_link(arg, WS_ERR_PEER);
}

/* ===== Receiving: the handshake reply, then acknowledgements ===== */

static void send_pending(struct ws_link *l)
{
	ws_us now = ws_shell_now();
	size_t pos = 0;
	size_t len;

	while (pos < l->pending_len) {
		memcpy(&len, l->pending + pos, sizeof(len));
		pos += sizeof(len);
		ws_link_send(l, l->pending + pos, len, now);
		pos += len;
	}
	l->pending_len = 0;
	ws_stream_flush(&l->stream);
}

/* The other side rejects longer records before it knows the sender. */
static void send_proof(struct ws_link *l)
{
	static const uint8_t proof[WS_LINK_PROOF_LEN];

	ws_stream_write_record(&l->stream, &l->seal, proof, sizeof(proof));
}

static int read_reply(struct ws_link *l)
{
	const struct ws_secrets *secrets = ws_peers_secrets(l->owner);
	uint8_t reply[WS_SEAL_REPLY_LEN];
	uint8_t header[WS_SEAL_HEADER_LEN];

	if (!ws_stream_read_exact(&l->stream, reply, sizeof(reply)))
		return 0;
	if (ws_seal_initiator_finish(&l->seal, secrets, reply, header))
		return WS_ERR_PEER;
	/* Another instance may listen on the address now. */
	if (l->seal.peer != l->peer)
		return WS_ERR_PEER;
	ws_stream_write(&l->stream, header, sizeof(header));
	send_proof(l);
	l->state = WS_LINK_UP;
	l->unacked_since = ws_shell_now();
	send_pending(l);
	return 0;
}

static void on_ack(struct ws_link *l, uint64_t count)
{
	if (!l->authenticated)
		ws_logline(WS_LOG_PEER_UP, l->peer, 0, 0, l->address);
	l->authenticated = true;
	l->backoff = BACKOFF_MIN;
	l->acked = count;
	l->unacked_since = count < l->sent ? ws_shell_now() : 0;
}

static int read_acks(struct ws_link *l)
{
	uint8_t ack[ACK_LEN];
	uint64_t count;
	int res;
	int i;

	while ((res = ws_stream_read_record(&l->stream, &l->seal, ack,
					    ACK_LEN)) > 0) {
		if (res != ACK_LEN)
			return WS_ERR_PEER;
		count = 0;
		for (i = 0; i < ACK_LEN; i++)
			count = count << 8 | ack[i];
		if (count > l->sent)
			return WS_ERR_PEER;
		on_ack(l, count);
	}
	return res;
}

static void on_data(void *arg)
{
	struct ws_link *l = arg;
	int res = 0;

	if (l->state == WS_LINK_HELLO)
		res = read_reply(l);
	if (!res && l->state == WS_LINK_UP)
		res = read_acks(l);
	if (!res)
		return;
	ws_logline(WS_LOG_PEER_REJECTED, l->peer, 0, res, l->address);
	close_link(l, res);
}

/* ===== Opening ===== */

static int open_socket(const char *address, bool *connecting)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int one = 1;
	int fd;

	if (ws_config_address(address, &addr, &len))
		return -1;
	fd = socket(addr.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&addr, len)) {
		*connecting = false;
		return fd;
	}
	*connecting = errno == EINPROGRESS;
	if (*connecting)
		return fd;
	close(fd);
	return -1;
}

static void open_link(struct ws_link *l, ws_us now)
{
	uint8_t hello[WS_SEAL_HELLO_LEN];
	bool connecting = false;
	int fd = open_socket(l->address, &connecting);

	if (fd < 0) {
		l->retry_at = now + l->backoff;
		return;
	}
	l->state = WS_LINK_HELLO;
	l->authenticated = false;
	l->sent = 0;
	l->acked = 0;
	l->opened_at = now;
	ws_stream_start(&l->stream, ws_peers_loop(l->owner), fd, connecting);
	ws_seal_initiator_start(&l->seal, ws_peers_secrets(l->owner),
				ws_peers_self(l->owner), hello);
	ws_stream_write(&l->stream, hello, sizeof(hello));
	ws_stream_flush(&l->stream);
}

/* ===== Sending ===== */

static void queue_pending(struct ws_link *l, const void *data, size_t len)
{
	size_t need = l->pending_len + sizeof(len) + len;

	if (need > PENDING_MAX)
		return;
	ws_grow(&l->pending, &l->pending_cap, need, 1);
	memcpy(l->pending + l->pending_len, &len, sizeof(len));
	memcpy(l->pending + l->pending_len + sizeof(len), data, len);
	l->pending_len = need;
}

void ws_link_send(struct ws_link *l, const void *data, size_t len, ws_us now)
{
	if (l->state != WS_LINK_UP) {
		queue_pending(l, data, len);
		return;
	}
	ws_stream_write_record(&l->stream, &l->seal, data, len);
	l->sent++;
	if (!l->unacked_since)
		l->unacked_since = now;
	ws_peers_mark_dirty(l->owner, l);
}

void ws_link_tick(struct ws_link *l, ws_us now)
{
	bool handshake_late;
	bool ack_late;

	if (l->state == WS_LINK_DOWN) {
		if (now >= l->retry_at)
			open_link(l, now);
		return;
	}
	handshake_late = l->state == WS_LINK_HELLO &&
			 now - l->opened_at > HANDSHAKE_TIMEOUT;
	ack_late = l->unacked_since &&
		   now - l->unacked_since > WS_LINK_ACK_TIMEOUT;
	if (handshake_late || ack_late)
		close_link(l, WS_ERR_DEADLINE);
}

/* ===== Lifecycle ===== */

struct ws_link *ws_link_new(struct ws_peers *owner, ws_id peer,
			    const char *address)
{
	struct ws_link *l = ws_alloc(1, sizeof(*l));

	l->owner = owner;
	l->peer = peer;
	snprintf(l->address, sizeof(l->address), "%s", address);
	l->backoff = BACKOFF_MIN;
	l->stream.fd = -1;
	l->stream.on_data = on_data;
	l->stream.on_broken = on_broken;
	l->stream.arg = l;
	return l;
}

void ws_link_free(struct ws_link *l)
{
	ws_stream_stop(&l->stream);
	ws_stream_free(&l->stream);
	free(l->pending);
	free(l);
}
