#include "copying_server.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "seed_range.h"

#define HEAD_BYTES 4096
#define ANSWER_BYTES 512
#define START_DELAY_MAX_MS 60
#define WORK_MAX_MS 20
#define COPY_DELAY_MAX_MS 150
/* Shares of the requests, in percent. */
#define REJECTED 50
#define STATUS_ONLY 6 /* run, and answered 503 without a statement */
#define RUN_AND_RESET 3
#define RESET_UNREAD 1
#define FAILED 3 /* run, and answered 500 */
/* Shares of the answers, in percent. */
#define COPIED 45
#define COPIED_AT_ONCE 20 /* of the copies */

struct con {
	ev_io io;
	struct con *next;
	struct copying_server *server;
	unsigned number; /* of the connection at its server */
	unsigned n_requests;
	int fd; /* -1: closed */
	char head[HEAD_BYTES];
	size_t head_len;
	size_t body_left; /* of the request that is being received */
};

enum action_kind {
	ACTION_RUN = 1, /* then answers with status, or resets if it is 0 */
	ACTION_WRITE,
	ACTION_RESET,
};

/* Something that is to be done later. */
struct action {
	ev_timer timer;
	enum action_kind kind;
	struct con *con;
	unsigned status;
	size_t request;
	bool is_copy;
	bool runs_without_con; /* also when its connection has closed */
	char text[ANSWER_BYTES];
	size_t len;
};

struct copying_server {
	struct copying_server_conf conf;
	ev_io listener;
	struct con *cons;
	unsigned n_cons; /* accepted so far */
	unsigned n_pending;
};

/* ===== Connections ===== */

static void close_con(struct con *c, bool reset)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	if (c->fd < 0)
		return;
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	ev_io_stop(c->server->conf.loop, &c->io);
	close(c->fd);
	c->fd = -1;
}

static bool draw(struct copying_server *s, unsigned percent)
{
	return rand_percent(s->conf.rand, percent);
}

static void trace(const struct con *c, size_t request, const char *what,
		  unsigned status)
{
	struct copying_request *r = &c->server->conf.requests[request];
	size_t len = strlen(r->trace);

	snprintf(r->trace + len, sizeof(r->trace) - len,
		 " %.1f:%d/%u#%u-%s%u%s",
		 ev_now(c->server->conf.loop) * 1e3 -
			 1e6 * (double)(uint64_t)(ev_now(c->server->conf.loop) /
						  1e3),
		 c->server->conf.port, c->number, c->n_requests, what, status,
		 c->fd < 0 ? "(closed)" : "");
}

/* ===== Actions ===== */

static void do_action(EV_P_ ev_timer *w, int revents);

static struct action *new_action(struct con *c, enum action_kind kind,
				 size_t request)
{
	struct action *a = ws_alloc(1, sizeof(*a));

	a->kind = kind;
	a->con = c;
	a->request = request;
	return a;
}

static void do_later(struct action *a, unsigned max_ms)
{
	struct copying_server *s = a->con->server;
	uint64_t us = ws_rand_below(s->conf.rand, max_ms * 1000 + 1);

	s->n_pending++;
	ev_timer_init(&a->timer, do_action, (double)us / 1e6, 0.);
	a->timer.data = a;
	ev_timer_start(s->conf.loop, &a->timer);
}

static void write_text(struct con *c, const char *text, size_t len)
{
	if (c->fd >= 0 && send(c->fd, text, len, MSG_NOSIGNAL) != (ssize_t)len)
		close_con(c, true);
}

/*
 * Sends an answer, and in some cases a copy of it.
 * @param stated whether it says that the request has not run
 */
static void send_answer(struct con *c, size_t request, unsigned status,
			bool stated)
{
	struct copying_server *s = c->server;
	struct action *copy;
	char text[2 * ANSWER_BYTES];
	size_t len = (size_t)snprintf(
		text, ANSWER_BYTES,
		"HTTP/1.1 %u -\r\nWagtailshift-Request-Id: r%zu\r\n"
		"Wagtailshift-Server-Seal: s\r\n%sContent-Length: 4\r\n\r\n"
		"done",
		status, request,
		stated ? "Wagtailshift-Not-Executed: 1\r\n" : "");

	trace(c, request, "answer", status);
	if (!draw(s, COPIED)) {
		write_text(c, text, len);
		return;
	}
	if (draw(s, COPIED_AT_ONCE)) {
		trace(c, request, "copied-at-once", 0);
		memcpy(text + len, text, len);
		write_text(c, text, 2 * len);
		return;
	}
	write_text(c, text, len);
	copy = new_action(c, ACTION_WRITE, request);
	copy->is_copy = true;
	memcpy(copy->text, text, len);
	copy->len = len;
	do_later(copy, COPY_DELAY_MAX_MS);
}

static void run_request(struct action *a)
{
	struct con *c = a->con;
	struct copying_server *s = c->server;
	struct action *next;

	if (c->fd < 0 && !a->runs_without_con)
		return;
	s->conf.requests[a->request].n_runs++;
	trace(c, a->request, "run", a->status);
	next = new_action(c, a->status ? ACTION_WRITE : ACTION_RESET,
			  a->request);
	next->status = a->status;
	do_later(next, WORK_MAX_MS);
}

static void do_action(EV_P_ ev_timer *w, int revents)
{
	struct action *a = w->data;
	struct con *c = a->con;

	(void)loop;
	(void)revents;
	if (a->kind == ACTION_RUN) {
		run_request(a);
	} else if (a->kind == ACTION_RESET) {
		close_con(c, true);
	} else if (a->is_copy) {
		*c->server->conf.n_copies += c->fd >= 0;
		trace(c, a->request, "copy", 0);
		write_text(c, a->text, a->len);
	} else {
		send_answer(c, a->request, a->status, false);
	}
	c->server->n_pending--;
	free(a);
}

/* ===== Requests ===== */

static void reject(struct con *c, size_t request)
{
	static const unsigned statuses[] = { 503, 503, 429, 421 };
	struct copying_server *s = c->server;
	unsigned status = statuses[ws_rand_below(s->conf.rand, 4)];

	s->conf.requests[request].n_rejected++;
	send_answer(c, request, status, true);
}

static void on_request(struct con *c, size_t request)
{
	struct copying_server *s = c->server;
	unsigned drawn = (unsigned)ws_rand_below(s->conf.rand, 100);
	struct action *a;

	s->conf.requests[request].n_received++;
	c->n_requests++;
	trace(c, request, "received", 0);
	if (drawn < REJECTED) {
		reject(c, request);
		return;
	}
	drawn -= REJECTED;
	if (drawn < RESET_UNREAD) {
		trace(c, request, "reset", 0);
		close_con(c, true);
		return;
	}
	drawn -= RESET_UNREAD;
	a = new_action(c, ACTION_RUN, request);
	a->runs_without_con = draw(s, 50);
	a->status = 200;
	if (drawn < RUN_AND_RESET)
		a->status = 0;
	else if (drawn < RUN_AND_RESET + STATUS_ONLY)
		a->status = 503;
	else if (drawn < RUN_AND_RESET + STATUS_ONLY + FAILED)
		a->status = 500;
	do_later(a, START_DELAY_MAX_MS);
}

static size_t number_after(const char *head, const char *name)
{
	const char *p = strstr(head, name);

	return p ? (size_t)strtoull(p + strlen(name), NULL, 10) : 0;
}

/*
 * Handles a request when its head is complete, before its body has been read.
 * Bytes of the body that came with the head are discarded with the rest.
 */
static void parse_head(struct con *c)
{
	struct copying_server *s = c->server;
	char *end;
	size_t used;
	size_t request;

	while (c->fd >= 0 && !c->body_left) {
		c->head[c->head_len] = '\0';
		end = strstr(c->head, "\r\n\r\n");
		if (!end)
			return;
		used = (size_t)(end + 4 - c->head);
		/* Another request may be behind it, before the client closes */
		end[2] = '\0';
		request = number_after(c->head, "Request-Id: r");
		ck_assert_msg(request, "no id: %s", c->head);
		ck_assert_uint_lt(request, s->conf.n_requests);
		c->body_left = number_after(c->head, "Content-Length: ");
		c->head_len -= used;
		memmove(c->head, c->head + used, c->head_len);
		used = c->head_len < c->body_left ? c->head_len : c->body_left;
		c->body_left -= used;
		c->head_len -= used;
		memmove(c->head, c->head + used, c->head_len);
		on_request(c, request);
	}
}

static void on_readable(EV_P_ ev_io *w, int revents)
{
	struct con *c = w->data;
	char discarded[16384];
	ssize_t n;

	(void)loop;
	(void)revents;
	if (c->body_left) {
		size_t max = c->body_left < sizeof(discarded) ?
				     c->body_left :
				     sizeof(discarded);

		n = recv(c->fd, discarded, max, 0);
		if (n > 0)
			c->body_left -= (size_t)n;
	} else {
		n = recv(c->fd, c->head + c->head_len,
			 sizeof(c->head) - 1 - c->head_len, 0);
		if (n > 0)
			c->head_len += (size_t)n;
	}
	if (n <= 0)
		close_con(c, false);
	else
		parse_head(c);
}

static void on_accept(EV_P_ ev_io *w, int revents)
{
	struct copying_server *s = w->data;
	int fd = accept(w->fd, NULL, NULL);
	int on = 1;
	struct con *c;

	(void)revents;
	if (fd < 0)
		return;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c = ws_alloc(1, sizeof(*c));
	c->server = s;
	c->fd = fd;
	c->next = s->cons;
	c->number = ++s->n_cons;
	s->cons = c;
	ev_io_init(&c->io, on_readable, fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

/* ===== Lifecycle ===== */

struct copying_server *
copying_server_new(const struct copying_server_conf *conf)
{
	struct copying_server *s = ws_alloc(1, sizeof(*s));
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)conf->port),
		.sin_addr.s_addr = inet_addr(conf->ip),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	s->conf = *conf;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(listen(fd, 512), 0);
	ev_io_init(&s->listener, on_accept, fd, EV_READ);
	s->listener.data = s;
	ev_io_start(conf->loop, &s->listener);
	return s;
}

unsigned copying_server_pending(const struct copying_server *s)
{
	return s->n_pending;
}

void copying_server_free(struct copying_server *s)
{
	struct con *c;

	ck_assert_uint_eq(s->n_pending, 0);
	while ((c = s->cons)) {
		s->cons = c->next;
		close_con(c, false);
		free(c);
	}
	ev_io_stop(s->conf.loop, &s->listener);
	close(s->listener.fd);
	free(s);
}
