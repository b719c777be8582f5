#include "io/ws_stream.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK ((size_t)64 * 1024)
#define RECORD_MARK_LEN 4
/* Flag of the last fragment in a record mark; all records have one fragment. */
#define LAST_FRAGMENT 0x80000000U

/* ===== Receiving ===== */

/* Moves unread bytes to the front of the buffer before it grows. */
static void reserve_input(struct ws_stream *s)
{
	if (s->in_pos) {
		memmove(s->in, s->in + s->in_pos, s->in_len - s->in_pos);
		s->in_len -= s->in_pos;
		s->in_pos = 0;
	}
	ws_grow(&s->in, &s->in_cap, s->in_len + READ_CHUNK, 1);
}

static void read_once(struct ws_stream *s)
{
	ssize_t n;

	reserve_input(s);
	n = recv(s->fd, s->in + s->in_len, s->in_cap - s->in_len, 0);
	if (n > 0) {
		s->in_len += (size_t)n;
		s->bytes_in += (uint64_t)n;
		return;
	}
	if (!n || (errno != EAGAIN && errno != EINTR))
		s->broken = true;
}

static void on_readable(EV_P_ ev_io *w, int revents)
{
	struct ws_stream *s = w->data;

	(void)loop;
	(void)revents;
	read_once(s);
	if (s->in_len > s->in_pos)
		s->on_data(s->arg);
	if (s->fd >= 0 && s->broken)
		s->on_broken(s->arg);
}

/* ===== Sending ===== */

static void watch_writable(struct ws_stream *s, bool on)
{
	if (on && !ev_is_active(&s->write_io))
		ev_io_start(s->loop, &s->write_io);
	else if (!on)
		ev_io_stop(s->loop, &s->write_io);
}

static bool finish_connect(struct ws_stream *s)
{
	int error = 0;
	socklen_t len = sizeof(error);

	s->connecting = false;
	getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	return !error;
}

static void on_writable(EV_P_ ev_io *w, int revents)
{
	struct ws_stream *s = w->data;

	(void)loop;
	(void)revents;
	if (s->connecting && !finish_connect(s))
		s->broken = true;
	if (!s->broken)
		ws_stream_flush(s);
	if (s->broken)
		s->on_broken(s->arg);
}

void ws_stream_flush(struct ws_stream *s)
{
	ssize_t n;

	while (!s->connecting && !s->broken && s->out_pos < s->out_len) {
		n = send(s->fd, s->out + s->out_pos, s->out_len - s->out_pos,
			 MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			s->broken = true;
			break;
		}
		s->out_pos += (size_t)n;
		s->bytes_out += (uint64_t)n;
	}
	if (s->out_pos == s->out_len) {
		s->out_pos = 0;
		s->out_len = 0;
	}
	/* A broken stream is reported from the loop, by on_writable(). */
	watch_writable(s, s->connecting || s->broken || s->out_len);
}

static uint8_t *reserve_output(struct ws_stream *s, size_t len)
{
	if (s->out_len - s->out_pos + len > WS_STREAM_OUT_MAX) {
		s->broken = true;
		return NULL;
	}
	ws_grow(&s->out, &s->out_cap, s->out_len + len, 1);
	s->out_len += len;
	return s->out + s->out_len - len;
}

void ws_stream_write(struct ws_stream *s, const void *data, size_t len)
{
	uint8_t *to = reserve_output(s, len);

	if (to)
		memcpy(to, data, len);
}

void ws_stream_write_record(struct ws_stream *s, struct ws_seal *seal,
			    const void *data, size_t len)
{
	size_t sealed = len + WS_SEAL_OVERHEAD;
	uint32_t mark = LAST_FRAGMENT | (uint32_t)sealed;
	uint8_t *to = reserve_output(s, RECORD_MARK_LEN + sealed);

	if (!to)
		return;
	to[0] = (uint8_t)(mark >> 24);
	to[1] = (uint8_t)(mark >> 16);
	to[2] = (uint8_t)(mark >> 8);
	to[3] = (uint8_t)mark;
	ws_seal_encrypt(seal, data, len, to + RECORD_MARK_LEN);
}

/* ===== Records ===== */

bool ws_stream_read_exact(struct ws_stream *s, void *to, size_t len)
{
	if (s->in_len - s->in_pos < len)
		return false;
	memcpy(to, s->in + s->in_pos, len);
	s->in_pos += len;
	return true;
}

int ws_stream_read_record(struct ws_stream *s, struct ws_seal *seal, void *to,
			  size_t max)
{
	const uint8_t *p = s->in + s->in_pos;
	size_t have = s->in_len - s->in_pos;
	uint32_t mark;
	size_t len;

	if (have < RECORD_MARK_LEN)
		return 0;
	mark = (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | p[3];
	len = mark & ~LAST_FRAGMENT;
	if (!(mark & LAST_FRAGMENT) || len <= WS_SEAL_OVERHEAD ||
	    len - WS_SEAL_OVERHEAD > max)
		return WS_ERR_PEER;
	if (have < RECORD_MARK_LEN + len)
		return 0;
	s->in_pos += RECORD_MARK_LEN + len;
	if (ws_seal_decrypt(seal, p + RECORD_MARK_LEN, len, to))
		return WS_ERR_PEER;
	return (int)(len - WS_SEAL_OVERHEAD);
}

/* ===== Lifecycle ===== */

void ws_stream_start(struct ws_stream *s, struct ev_loop *loop, int fd,
		     bool connecting)
{
	s->loop = loop;
	s->fd = fd;
	s->connecting = connecting;
	s->broken = false;
	ev_io_init(&s->read_io, on_readable, fd, EV_READ);
	ev_io_init(&s->write_io, on_writable, fd, EV_WRITE);
	s->read_io.data = s;
	s->write_io.data = s;
	ev_io_start(loop, &s->read_io);
	watch_writable(s, connecting);
}

void ws_stream_stop(struct ws_stream *s)
{
	if (s->fd < 0)
		return;
	ev_io_stop(s->loop, &s->read_io);
	ev_io_stop(s->loop, &s->write_io);
	close(s->fd);
	s->fd = -1;
	s->in_pos = 0;
	s->in_len = 0;
	s->out_pos = 0;
	s->out_len = 0;
}

void ws_stream_free(struct ws_stream *s)
{
	free(s->in);
	free(s->out);
	s->in = NULL;
	s->out = NULL;
}
