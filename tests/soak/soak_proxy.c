#define _GNU_SOURCE /* accept4() */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/ws_config.h"
#include "soak.h"

/* A TCP proxy on loopback whose connections can be made to misbehave. */

#define CHUNK 16384
#define QUEUED_MAX (256 * 1024)
#define FLUSH_PERIOD 0.005

/* Bytes on their way in one direction. */
struct chunk {
	ws_us due;
	size_t len;
	size_t pos;
	char data[CHUNK];
};

struct side {
	ev_io in;
	struct link *link;
	GQueue *out; /* of struct chunk, to the other side */
	size_t queued;
	bool ended; /* no more comes from here */
};

struct link {
	struct soak_proxy *proxy;
	struct link *next;
	struct side caller;
	struct side server;
	bool stranded;
	bool dead;
};

struct soak_proxy {
	ev_io listener;
	ev_timer flush;
	char to[64];
	enum soak_proxy_mode way;
	ws_us delay;
	struct link *links;
};

static void reset_socket(int fd)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

static void free_side(struct side *s)
{
	ev_io_stop(soak.loop, &s->in);
	g_queue_free_full(s->out, free);
}

static void free_link(struct link *l, bool reset)
{
	free_side(&l->caller);
	free_side(&l->server);
	if (reset) {
		reset_socket(l->caller.in.fd);
		reset_socket(l->server.in.fd);
	} else {
		close(l->caller.in.fd);
		close(l->server.in.fd);
	}
	free(l);
}

static bool holds_back(const struct link *l)
{
	return l->stranded || l->proxy->way == SOAK_PROXY_BLACKHOLE;
}

/* ===== Bytes ===== */

static void write_out(struct link *l, struct side *from, struct side *to,
		      ws_us now)
{
	struct chunk *c;

	while ((c = g_queue_peek_head(from->out)) && c->due <= now) {
		ssize_t n = send(to->in.fd, c->data + c->pos, c->len - c->pos,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0) {
			l->dead |= errno != EAGAIN;
			return;
		}
		from->queued -= (size_t)n;
		c->pos += (size_t)n;
		if (c->pos < c->len)
			return;
		free(g_queue_pop_head(from->out));
	}
	if (!c && from->ended)
		shutdown(to->in.fd, SHUT_WR);
}

static void flush_link(struct link *l, ws_us now)
{
	if (holds_back(l))
		return;
	write_out(l, &l->caller, &l->server, now);
	write_out(l, &l->server, &l->caller, now);
	if (l->caller.ended && l->server.ended && !l->caller.queued &&
	    !l->server.queued)
		l->dead = true;
}

static void on_bytes(EV_P_ ev_io *w, int revents)
{
	struct side *s = w->data;
	struct link *l = s->link;
	struct chunk *c = malloc(sizeof(*c));
	ssize_t n = recv(w->fd, c->data, CHUNK, MSG_DONTWAIT);

	(void)loop;
	(void)revents;
	if (n <= 0) {
		free(c);
		if (n < 0 && errno == EAGAIN)
			return;
		s->ended = true;
		l->dead |= n < 0;
		ev_io_stop(soak.loop, w);
		return;
	}
	if (l->proxy->way == SOAK_PROXY_DROP_ANSWERS && s == &l->server) {
		free(c);
		return;
	}
	c->len = (size_t)n;
	c->pos = 0;
	c->due = soak_now() +
		 (l->proxy->way == SOAK_PROXY_DELAY ? l->proxy->delay : 0);
	g_queue_push_tail(s->out, c);
	s->queued += c->len;
	flush_link(l, soak_now());
}

/* Ended links are freed here, outside their events. */
static void on_flush(EV_P_ ev_timer *w, int revents)
{
	struct soak_proxy *p = w->data;
	struct link **at = &p->links;
	ws_us now = soak_now();

	(void)loop;
	(void)revents;
	while (*at) {
		struct link *l = *at;

		flush_link(l, now);
		if (l->dead) {
			*at = l->next;
			free_link(l, false);
			continue;
		}
		at = &l->next;
	}
}

/* ===== Connections ===== */

static void init_side(struct side *s, struct link *l, int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	s->link = l;
	s->out = g_queue_new();
	ev_io_init(&s->in, on_bytes, fd, EV_READ);
	s->in.data = s;
	ev_io_start(soak.loop, &s->in);
}

static void on_accept(EV_P_ ev_io *w, int revents)
{
	struct soak_proxy *p = w->data;
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct sockaddr_storage addr;
	socklen_t len;
	struct link *l;
	int to;

	(void)loop;
	(void)revents;
	if (fd < 0)
		return;
	to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	/* On loopback a connection is refused or made at once. */
	if (p->way == SOAK_PROXY_RESET || to < 0 ||
	    ws_config_address(p->to, &addr, &len) ||
	    connect(to, (struct sockaddr *)&addr, len)) {
		reset_socket(fd);
		close(to);
		return;
	}
	l = calloc(1, sizeof(*l));
	l->proxy = p;
	l->next = p->links;
	p->links = l;
	init_side(&l->caller, l, fd);
	init_side(&l->server, l, to);
}

void soak_proxy_set(struct soak_proxy *p, enum soak_proxy_mode way, ws_us delay)
{
	p->way = way;
	p->delay = delay;
	while (way == SOAK_PROXY_RESET && p->links) {
		struct link *l = p->links;

		p->links = l->next;
		free_link(l, true);
	}
}

void soak_proxy_stall_open(struct soak_proxy *p)
{
	struct link *l;

	for (l = p->links; l; l = l->next)
		l->stranded = true;
}

struct soak_proxy *soak_proxy_new(const char *listen_on, const char *to)
{
	struct soak_proxy *p = calloc(1, sizeof(*p));
	struct sockaddr_storage addr;
	socklen_t len;
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	g_strlcpy(p->to, to, sizeof(p->to));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (ws_config_address(listen_on, &addr, &len) ||
	    bind(fd, (struct sockaddr *)&addr, len) || listen(fd, 256)) {
		fprintf(stderr, "soak: cannot listen on %s\n", listen_on);
		exit(2);
	}
	ev_io_init(&p->listener, on_accept, fd, EV_READ);
	ev_timer_init(&p->flush, on_flush, 0., FLUSH_PERIOD);
	p->listener.data = p;
	p->flush.data = p;
	ev_io_start(soak.loop, &p->listener);
	ev_timer_start(soak.loop, &p->flush);
	return p;
}

void soak_proxy_free(struct soak_proxy *p)
{
	if (!p)
		return;
	soak_proxy_set(p, SOAK_PROXY_RESET, 0);
	ev_io_stop(soak.loop, &p->listener);
	ev_timer_stop(soak.loop, &p->flush);
	close(p->listener.fd);
	free(p);
}
