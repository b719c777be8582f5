#include "edgeio/ws_eio_beats.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/ws_config.h"
#include "edge/ws_ed_codec.h"

/* Maximum of datagrams read per iteration of the event loop. */
#define DATAGRAMS_PER_TURN 64

struct ws_eio_beats {
	struct ws_eio *io;
	ev_io watcher;
	int fd;
	int timer;
	ws_us next;
	struct ws_ed_beat beat; /* scratch space for sending */
	struct ws_ed_beat received; /* scratch space for receiving */
	struct ws_ed_refused_list list; /* scratch space */
	struct ws_ed_permit_message permit; /* scratch space */
	unsigned char buf[WS_ED_BEAT_BYTES];
	unsigned char in[WS_ED_BEAT_BYTES];
};

static void send_bytes(struct ws_eio_beats *b, const struct ws_ed_member *m,
		       int len)
{
	struct sockaddr_storage to;
	socklen_t to_len;

	WS_INVARIANT(len > 0);
	if (ws_config_address(m->address, &to, &to_len))
		return;
	/* A failure is ignored: the next heartbeat replaces a lost one. */
	(void)!sendto(b->fd, b->buf, (size_t)len, MSG_DONTWAIT,
		      (struct sockaddr *)&to, to_len);
}

static void send_to(struct ws_eio_beats *b, const struct ws_ed_member *m)
{
	send_bytes(b, m, ws_ed_beat_encode(&b->beat, b->buf, sizeof(b->buf)));
}

/* Encodes a message with many receivers only once. */
static void send_continued(struct ws_eio_beats *b,
			   const struct ws_ed_peers *peers,
			   enum ws_ed_receiver_group to)
{
	while (ws_edge_beat_continue(b->io->edge, to, &b->beat)) {
		int len = ws_ed_beat_encode(&b->beat, b->buf, sizeof(b->buf));
		size_t i;

		for (i = 0; i < peers->n; i++)
			if (ws_edge_is_receiver(b->io->edge, &peers->members[i],
						to))
				send_bytes(b, &peers->members[i], len);
	}
}

static void send_list(struct ws_eio_beats *b, const struct ws_ed_member *m)
{
	send_bytes(b, m,
		   ws_ed_refused_encode(&b->list, b->buf, sizeof(b->buf)));
}

static void send_refused_digest(struct ws_eio_beats *b, ws_us now)
{
	const struct ws_ed_peers *peers = ws_edge_peers(b->io->edge);
	size_t i;

	if (!ws_edge_refused_digest(b->io->edge, now, &b->list))
		return;
	for (i = 0; i < peers->n; i++)
		if (ws_edge_gets_digest(b->io->edge, &peers->members[i]))
			send_list(b, &peers->members[i]);
}

void ws_eio_beats_send_refused(struct ws_eio_beats *b, ws_id member)
{
	const struct ws_ed_member *m =
		ws_ed_peers_find(ws_edge_peers(b->io->edge), member);
	ws_us now = ws_eio_now();
	uint32_t next = 0;

	if (!m)
		return;
	do {
		next = ws_edge_refused_list(b->io->edge, now, next, &b->list);
		send_list(b, m);
	} while (next);
}

void ws_eio_beats_send_permit(struct ws_eio_beats *b, ws_id member,
			      const struct ws_ed_permit_message *p)
{
	const struct ws_ed_member *m =
		ws_ed_peers_find(ws_edge_peers(b->io->edge), member);

	if (m)
		send_bytes(b, m,
			   ws_ed_permit_encode(p, b->buf, sizeof(b->buf)));
}

static void send_map(struct ws_eio_beats *b, const struct ws_ed_member *m)
{
	uint32_t next = 0;

	do {
		next = ws_edge_beat_map(b->io->edge, m, next, &b->beat);
		if (b->beat.map_part)
			send_to(b, m);
	} while (next);
}

void ws_eio_beats_send(struct ws_eio_beats *b)
{
	const struct ws_ed_peers *peers = ws_edge_peers(b->io->edge);
	ws_us now = ws_eio_now();
	size_t i;

	b->next = now + ws_ed_peers_period(peers);
	ws_edge_beat(b->io->edge, now, &b->beat);
	snprintf(b->beat.address, sizeof(b->beat.address), "%s",
		 b->io->settings.heartbeat_address);
	for (i = 0; i < peers->n; i++) {
		const struct ws_ed_member *m = &peers->members[i];

		if (!ws_edge_beat_for(b->io->edge, m, &b->beat))
			continue;
		send_to(b, m);
		if (ws_edge_should_send_map(b->io->edge, now, m))
			send_map(b, m);
	}
	for (i = 0; i < WS_ED_RECEIVER_GROUPS; i++)
		send_continued(b, peers, (enum ws_ed_receiver_group)i);
	send_refused_digest(b, now);
}

static void on_timer(void *arg, ws_us now)
{
	struct ws_eio_beats *b = arg;

	if (now >= b->next)
		ws_eio_beats_send(b);
}

/* Ignores what it can't decode, such as messages of a later version. */
static void receive(struct ws_eio_beats *b, size_t len)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };

	if (!ws_ed_beat_decode(&b->received, b->in, len)) {
		ev.u.beat = &b->received;
	} else if (!ws_ed_refused_decode(&b->list, b->in, len)) {
		ev.kind = WS_EDEV_REFUSED_LIST;
		ev.u.refused_list = &b->list;
	} else if (!ws_ed_permit_decode(&b->permit, b->in, len)) {
		ev.kind = WS_EDEV_PERMIT;
		ev.u.permit = &b->permit;
	} else {
		return;
	}
	ws_eio_handle_event(b->io, &ev);
}

static void on_datagram(EV_P_ ev_io *w, int revents)
{
	struct ws_eio_beats *b = w->data;
	int i;

	(void)loop;
	(void)revents;
	for (i = 0; i < DATAGRAMS_PER_TURN; i++) {
		ssize_t n = recv(b->fd, b->in, sizeof(b->in), MSG_DONTWAIT);

		if (n < 0)
			return;
		receive(b, (size_t)n);
	}
}

static int open_socket(const char *address)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int fd;

	if (ws_config_address(address, &addr, &len))
		return -1;
	fd = socket(addr.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	if (!bind(fd, (struct sockaddr *)&addr, len))
		return fd;
	close(fd);
	return -1;
}

struct ws_eio_beats *ws_eio_beats_new(struct ws_eio *io, struct wp_error *err)
{
	struct ws_eio_beats *b;
	int fd = open_socket(io->settings.heartbeat_address);

	if (fd < 0) {
		snprintf(err->text, sizeof(err->text),
			 "cannot receive heartbeats on %s (%s); choose a free "
			 "address of this machine",
			 io->settings.heartbeat_address, strerror(errno));
		return NULL;
	}
	b = ws_alloc(1, sizeof(*b));
	b->io = io;
	b->fd = fd;
	ev_io_init(&b->watcher, on_datagram, fd, EV_READ);
	b->watcher.data = b;
	ev_io_start(io->loop, &b->watcher);
	b->timer = ws_timer_every(io->timers, ws_eio_now(),
				  WS_ED_HEARTBEAT_PERIOD / 5, on_timer, b);
	return b;
}

void ws_eio_beats_free(struct ws_eio_beats *b)
{
	if (!b)
		return;
	ev_io_stop(b->io->loop, &b->watcher);
	ws_timer_cancel(b->io->timers, b->timer);
	close(b->fd);
	ws_ed_map_free(&b->beat.map);
	ws_ed_map_free(&b->received.map);
	free(b);
}
