#include "edgeio/ws_eio_checks.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/ws_config.h"

/* A server that runs on a reachable machine answers much sooner. */
#define CHECK_TIMEOUT (1 * WS_SECOND)

struct check {
	ev_io io;
	ev_timer timeout;
	struct ws_eio_checks *owner;
	struct check *prev;
	struct check *next;
	ws_id server;
	int64_t started_ms;
};

struct ws_eio_checks {
	struct ws_eio *io;
	struct check *first;
};

static void end_check(struct check *k)
{
	struct ws_eio_checks *c = k->owner;

	ev_io_stop(c->io->loop, &k->io);
	ev_timer_stop(c->io->loop, &k->timeout);
	close(k->io.fd);
	if (k->prev)
		k->prev->next = k->next;
	else
		c->first = k->next;
	if (k->next)
		k->next->prev = k->prev;
	free(k);
}

static void report_refused(const struct check *k)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CHECK_REFUSED };

	ev.u.check_refused.server = k->server;
	ev.u.check_refused.started_ms = k->started_ms;
	ws_eio_handle_event(k->owner->io, &ev);
}

static void on_connected(EV_P_ ev_io *w, int revents)
{
	struct check *k = w->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)loop;
	(void)revents;
	if (!getsockopt(w->fd, SOL_SOCKET, SO_ERROR, &error, &len) &&
	    error == ECONNREFUSED)
		report_refused(k);
	end_check(k);
}

static void on_timeout(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	end_check(w->data);
}

static int start_connecting(const char *address)
{
	struct sockaddr_storage to;
	socklen_t len;
	int fd;

	if (ws_config_address(address, &to, &len))
		return -1;
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	/* An error shows when the socket becomes writable, or by the timeout.
	 */
	(void)!connect(fd, (struct sockaddr *)&to, len);
	return fd;
}

void ws_eio_checks_start(struct ws_eio_checks *c, uint32_t server)
{
	const struct ws_ed_server *s =
		&ws_edge_pool(c->io->edge)->servers[server];
	int fd = start_connecting(s->address);
	struct check *k;

	if (fd < 0)
		return;
	k = ws_alloc(1, sizeof(*k));
	k->owner = c;
	k->server = s->id;
	k->started_ms = s->started_ms;
	k->next = c->first;
	if (k->next)
		k->next->prev = k;
	c->first = k;
	ev_io_init(&k->io, on_connected, fd, EV_WRITE);
	k->io.data = k;
	ev_io_start(c->io->loop, &k->io);
	ev_timer_init(&k->timeout, on_timeout,
		      (double)CHECK_TIMEOUT / (double)WS_SECOND, 0.);
	k->timeout.data = k;
	ev_timer_start(c->io->loop, &k->timeout);
}

struct ws_eio_checks *ws_eio_checks_new(struct ws_eio *io)
{
	struct ws_eio_checks *c = ws_alloc(1, sizeof(*c));

	c->io = io;
	return c;
}

void ws_eio_checks_free(struct ws_eio_checks *c)
{
	struct check *k;
	struct check *next;

	if (!c)
		return;
	for (k = c->first; k; k = next) {
		next = k->next;
		end_check(k);
	}
	free(c);
}
