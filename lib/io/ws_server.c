#define _GNU_SOURCE /* accept4(), POLLRDHUP */
#include "io/ws_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "config/ws_config.h"
#include "io/ws_server_int.h"

#define BACKLOG 1024
/* Connections accepted, and reads of one connection, per event. */
#define ACCEPTS_PER_EVENT 64
#define READS_PER_EVENT 4
/*
 * Bytes that are read ahead when WS_SERVER_PIPELINE_MAX is reached: only
 * reading detects that the caller disconnects.
 */
#define UNREAD_MAX ((size_t)64 * 1024)
#define TIMEOUT_CHECK_PERIOD (250 * WS_MS)
/* Longest time without progress while a response is sent. */
#define WRITE_TIMEOUT (10 * WS_SECOND)
/*
 * Time for which input is read and discarded after a response that closes the
 * connection. Closing with unread input would reset the connection, and the
 * caller could lose the response.
 */
#define LINGER_TIME (1500 * WS_MS)
/* Limits until ws_server_set_limits() is called. */
#define DEFAULT_MAX_HEADER ((size_t)32 * 1024)
#define DEFAULT_MAX_BODY ((size_t)64 * 1024 * 1024)
#define DEFAULT_HEADER_TIMEOUT (10 * WS_SECOND)
#define DEFAULT_IDLE_TIMEOUT (75 * WS_SECOND)
/* Time for which it is taken as known that a caller has not left. */
#define CHECK_VALIDITY (10 * WS_MS)
/* Estimated size of the status line and the added headers. */
#define HEAD_RESERVE 128

/* ===== Connections ===== */

static bool is_idle(const struct ws_server_con *c)
{
	return !c->first && !c->partial && c->out_pos == c->out_len;
}

static void discard_partial(struct ws_server_con *c)
{
	struct ws_server_request *r = c->partial;

	if (!r)
		return;
	c->partial = NULL;
	ws_server_release_request(c->server, r);
}

/* Closes a connection and ends its open requests. */
static void close_connection(struct ws_server_con *c)
{
	struct ws_server *s = c->server;
	struct ws_server_request *r;

	WS_INVARIANT(!c->parsing);
	ev_io_stop(s->loop, &c->io);
	close(c->io.fd);
	if (s->cons == c)
		s->cons = c->next;
	else
		c->prev->next = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (--s->n_cons <= s->conf.max_connections && !s->finished)
		ev_io_start(s->loop, &s->listener);
	discard_partial(c);
	while ((r = c->first)) {
		c->first = r->next;
		if (!r->answered)
			s->conf.ops->on_disconnect(s->conf.arg, r);
		ws_server_release_request(s, r);
	}
	ws_server_free_held(s, &c->out, &c->out_cap);
	ws_server_free_held(s, &c->unread, &c->unread_cap);
	free(c);
}

static void set_events(struct ws_server_con *c, int events)
{
	if (c->io.events == events && ev_is_active(&c->io))
		return;
	ev_io_stop(c->server->loop, &c->io);
	ev_io_set(&c->io, c->io.fd, events);
	ev_io_start(c->server->loop, &c->io);
}

/* ===== Writing ===== */

static void buffer_output(struct ws_server_con *c, const void *data, size_t len)
{
	if (!data || !len)
		return;
	ws_server_grow_held(c->server, &c->out, &c->out_cap, c->out_len + len);
	memcpy(c->out + c->out_len, data, len);
	c->out_len += len;
}

void ws_server_write(struct ws_server_con *c, const void *head, size_t head_len,
		     const void *body, size_t body_len)
{
	struct iovec parts[2] = {
		{ .iov_base = (void *)(uintptr_t)head, .iov_len = head_len },
		{ .iov_base = (void *)(uintptr_t)body, .iov_len = body_len },
	};
	size_t done = 0;
	ssize_t n;

	if (c->broken)
		return;
	c->last_activity = c->server->conf.now();
	if (c->out_pos == c->out_len) {
		struct msghdr msg = {
			.msg_iov = parts,
			.msg_iovlen = body_len ? 2 : 1,
		};

		n = sendmsg(c->io.fd, &msg, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN && errno != EINTR) {
			c->broken = true;
			return;
		}
		done = n > 0 ? (size_t)n : 0;
	}
	if (done == head_len + body_len)
		return;
	if (done < head_len) {
		buffer_output(c, (const char *)head + done, head_len - done);
		buffer_output(c, body, body_len);
	} else {
		done -= head_len;
		buffer_output(c, (const char *)body + done, body_len - done);
	}
	set_events(c, EV_READ | EV_WRITE);
}

/*
 * After the last response: closes the sending side, then waits until the caller
 * closes the connection.
 */
static void start_lingering(struct ws_server_con *c)
{
	if (c->lingering || !c->closing || c->first || c->broken ||
	    c->out_pos < c->out_len)
		return;
	c->lingering = true;
	c->last_activity = c->server->conf.now();
	shutdown(c->io.fd, SHUT_WR);
}

static void flush_output(struct ws_server_con *c)
{
	ssize_t n = send(c->io.fd, c->out + c->out_pos, c->out_len - c->out_pos,
			 MSG_NOSIGNAL | MSG_DONTWAIT);

	if (n < 0) {
		c->broken = errno != EAGAIN && errno != EINTR;
		return;
	}
	c->last_activity = c->server->conf.now();
	c->out_pos += (size_t)n;
	if (c->out_pos < c->out_len)
		return;
	ws_server_free_held(c->server, &c->out, &c->out_cap);
	c->out_len = 0;
	c->out_pos = 0;
	set_events(c, EV_READ);
	start_lingering(c);
}

/* ===== Answers ===== */

/* A response without a body has no Content-Length either. */
static bool has_body(const struct ws_server_request *r, unsigned status)
{
	return status >= 200 && status != 204 && status != 304 &&
	       strcmp(r->method, "HEAD") != 0;
}

/*
 * Returns the status line and headers, which the caller frees.
 * @param end the response closes the connection
 */
static GString *build_head(const struct ws_server_request *r,
			   const struct ws_server_answer *a, bool end)
{
	GString *head = g_string_sized_new(a->headers_len + HEAD_RESERVE);
	const char *p = a->headers;

	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n", a->status,
			       http_status_str((enum http_status)a->status));
	for (; p < a->headers + a->headers_len; p += strlen(p) + 1) {
		g_string_append(head, p);
		g_string_append(head, "\r\n");
	}
	if (has_body(r, a->status))
		g_string_append_printf(head, "Content-Length: %zu\r\n",
				       a->data_len);
	if (end)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	return head;
}

static void remove_first(struct ws_server_con *c)
{
	struct ws_server_request *r = c->first;

	c->first = r->next;
	if (!c->first)
		c->last = NULL;
	c->n_open--;
	ws_server_release_request(c->server, r);
}

/* Sends the responses that waited for earlier ones. */
static void flush_answers(struct ws_server_con *c)
{
	while (c->first && c->first->answered) {
		struct ws_server_request *r = c->first;

		ws_server_write(c, r->queued_answer->str, r->queued_answer->len,
				NULL, 0);
		remove_first(c);
	}
	start_lingering(c);
}

/*
 * Schedules what can't be done within a callback: parsing of unread bytes after
 * a response has made room for further requests, and closing of connections
 * that have ended.
 */
static void schedule_resume(struct ws_server *s)
{
	if (ev_is_active(&s->resume))
		return;
	ev_timer_set(&s->resume, 0., 0.);
	ev_timer_start(s->loop, &s->resume);
}

static void resume_later(struct ws_server_con *c)
{
	if (c->unread_len && !c->closing)
		schedule_resume(c->server);
}

static void resume_parsing(struct ws_server_con *c)
{
	char *data = c->unread;
	size_t len = c->unread_len;
	size_t cap = c->unread_cap;

	if (!len || c->n_open >= WS_SERVER_PIPELINE_MAX || c->closing)
		return;
	c->unread = NULL;
	c->unread_len = 0;
	c->unread_cap = 0;
	http_parser_pause(&c->parser, 0);
	ws_server_parse(c, data, len);
	ws_server_free_held(c->server, &data, &cap);
}

void ws_server_answer(struct ws_server_request *r,
		      const struct ws_server_answer *a)
{
	struct ws_server_con *c = r->con;
	/*
	 * Later requests of this connection may be running already, so that
	 * only the response to the last one may close it.
	 */
	bool end = !r->next && (r->close || a->close || c->closing);
	size_t body_len = has_body(r, a->status) ? a->data_len : 0;
	GString *head = build_head(r, a, end);

	WS_INVARIANT(!r->answered);
	r->answered = true;
	if (end)
		c->closing = true;
	if (c->first == r) {
		ws_server_write(c, head->str, head->len, a->data, body_len);
		g_string_free(head, TRUE);
		remove_first(c);
		flush_answers(c);
		ws_server_continue(c);
		resume_later(c);
		return;
	}
	g_string_append_len(head, a->data, (gssize)body_len);
	ws_memory_force(c->server->memory, head->len);
	r->queued_answer = head;
}

/* ===== Callers that leave ===== */

/*
 * The end of a connection comes behind all that was sent on it, so it may be
 * there while earlier bytes are still unread.
 */
static bool has_ended(const struct ws_server_con *c)
{
	struct pollfd p = { .fd = c->io.fd, .events = POLLRDHUP };

	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

bool ws_server_caller_left(struct ws_server_request *r)
{
	struct ws_server_con *c = r->con;
	ws_us now = c->server->conf.now();

	if (!c->broken &&
	    (!c->checked_at || now - c->checked_at >= CHECK_VALIDITY)) {
		c->checked_at = now;
		c->broken = has_ended(c);
	}
	if (c->broken)
		schedule_resume(c->server);
	return c->broken;
}

/* ===== Events ===== */

/* @return false if the caller closed the connection or it failed */
static bool read_some(struct ws_server_con *c)
{
	struct ws_server *s = c->server;
	int i;

	for (i = 0; i < READS_PER_EVENT; i++) {
		ssize_t n =
			recv(c->io.fd, s->buf, sizeof(s->buf), MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (n <= 0)
			return false;
		if (!c->closing) {
			c->last_activity = s->conf.now();
			if (c->n_open >= WS_SERVER_PIPELINE_MAX ||
			    c->unread_len)
				ws_server_buffer_unread(c, s->buf, (size_t)n);
			else
				ws_server_parse(c, s->buf, (size_t)n);
		}
		if (c->unread_len > UNREAD_MAX)
			set_events(c, c->io.events & ~EV_READ);
		if ((size_t)n < sizeof(s->buf))
			return true;
	}
	return true;
}

static void on_event(EV_P_ ev_io *w, int revents)
{
	struct ws_server_con *c = w->data;

	(void)loop;
	if ((revents & EV_WRITE) && c->out_pos < c->out_len)
		flush_output(c);
	if (((revents & EV_READ) && !read_some(c)) || c->broken)
		close_connection(c);
}

/* ===== Accepting ===== */

/* Makes room by closing the connection that has been idle longest. */
static void close_longest_idle(struct ws_server *s)
{
	struct ws_server_con *c;
	struct ws_server_con *longest_idle = NULL;

	/* Skips the first connection, which has just been accepted. */
	for (c = s->cons->next; c; c = c->next)
		if (is_idle(c) &&
		    (!longest_idle ||
		     c->last_activity <= longest_idle->last_activity))
			longest_idle = c;
	if (longest_idle)
		close_connection(longest_idle);
}

static void add_connection(struct ws_server *s, int fd)
{
	struct ws_server_con *c = ws_alloc(1, sizeof(*c));
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->server = s;
	c->last_activity = s->conf.now();
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	c->next = s->cons;
	if (c->next)
		c->next->prev = c;
	s->cons = c;
	s->n_cons++;
	ev_io_init(&c->io, on_event, fd, EV_READ);
	c->io.data = c;
	ev_io_start(s->loop, &c->io);
}

static void on_accept(EV_P_ ev_io *w, int revents)
{
	struct ws_server *s = w->data;
	int i;

	(void)loop;
	(void)revents;
	for (i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int fd = accept4(w->fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		add_connection(s, fd);
		if (s->n_cons > s->conf.max_connections)
			close_longest_idle(s);
		if (s->n_cons > s->conf.max_connections) {
			ev_io_stop(s->loop, &s->listener);
			return;
		}
	}
}

static void on_resume(EV_P_ ev_timer *w, int revents)
{
	struct ws_server *s = w->data;
	struct ws_server_con *c;
	struct ws_server_con *next;

	(void)loop;
	(void)revents;
	for (c = s->cons; c; c = next) {
		next = c->next;
		if (!c->broken)
			resume_parsing(c);
		if (c->broken)
			close_connection(c);
	}
}

/* ===== Timeouts ===== */

/*
 * Answers a request that isn't received in time with 408.
 * @return true if the connection must be closed
 */
static bool check_timeout(struct ws_server_con *c, ws_us now)
{
	const struct ws_server_limits *l = &c->server->limits;
	ws_us idle = now - c->last_activity;

	if (c->broken)
		return true;
	if (c->lingering)
		return idle > LINGER_TIME;
	if (c->out_pos < c->out_len)
		return idle > WRITE_TIMEOUT;
	if (is_idle(c))
		return idle > l->idle_timeout;
	if (c->partial && !c->first &&
	    (c->headers_done ? idle : now - c->partial->started_at) >
		    l->header_timeout)
		ws_server_reject(c, 408);
	return false;
}

static void check_timeouts(void *arg, ws_us now)
{
	struct ws_server *s = arg;
	struct ws_server_con *c = s->cons;

	while (c) {
		struct ws_server_con *next = c->next;

		if (check_timeout(c, now))
			close_connection(c);
		else if (c->unread_len <= UNREAD_MAX)
			set_events(c, c->io.events | EV_READ);
		c = next;
	}
}

/* ===== Lifecycle ===== */

static int listen_on(const char *address)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int on = 1;
	int fd;

	if (ws_config_address(address, &addr, &len)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(addr.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (struct sockaddr *)&addr, len) && !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

struct ws_server *ws_server_new(struct ev_loop *loop,
				const struct ws_server_conf *conf)
{
	int fd = listen_on(conf->address);
	struct ws_server *s;

	if (fd < 0)
		return NULL;
	s = ws_alloc(1, sizeof(*s));
	s->conf = *conf;
	s->memory = conf->memory ? conf->memory : &s->own_memory;
	s->limits = (struct ws_server_limits){
		.max_header = DEFAULT_MAX_HEADER,
		.max_body = DEFAULT_MAX_BODY,
		.header_timeout = DEFAULT_HEADER_TIMEOUT,
		.idle_timeout = DEFAULT_IDLE_TIMEOUT,
	};
	s->loop = loop;
	ev_io_init(&s->listener, on_accept, fd, EV_READ);
	s->listener.data = s;
	ev_io_start(loop, &s->listener);
	ev_timer_init(&s->resume, on_resume, 0., 0.);
	s->resume.data = s;
	s->timer = ws_timer_every(conf->timers, conf->now(),
				  TIMEOUT_CHECK_PERIOD, check_timeouts, s);
	return s;
}

void ws_server_free(struct ws_server *s)
{
	struct ws_server_con *c;
	struct ws_server_con *next;
	struct ws_server_request *r;

	if (!s)
		return;
	ws_timer_cancel(s->conf.timers, s->timer);
	for (c = s->cons; c; c = next) {
		next = c->next;
		close_connection(c);
	}
	ev_timer_stop(s->loop, &s->resume);
	ev_io_stop(s->loop, &s->listener);
	close(s->listener.fd);
	while ((r = s->free_requests)) {
		s->free_requests = r->next;
		ws_server_destroy_request(s, r);
	}
	free(s);
}

const struct ws_server_limits *ws_server_limits(const struct ws_server *s)
{
	return &s->limits;
}

/*
 * The parser's own limit, one for the process, must not be reached first. It
 * counts the trailers of a request with the head of the next one.
 */
static void raise_parser_limit(size_t max_header)
{
	static uint32_t max = HTTP_MAX_HEADER_SIZE;

	if (2 * max_header <= max)
		return;
	max = (uint32_t)MIN(2 * max_header, UINT32_MAX);
	http_parser_set_max_header_size(max);
}

void ws_server_set_limits(struct ws_server *s,
			  const struct ws_server_limits *limits)
{
	s->limits = *limits;
	raise_parser_limit(limits->max_header);
}

static void finish_connection(struct ws_server_con *c)
{
	if (c->closing || c->broken)
		return;
	if (c->partial)
		ws_server_reject(c, 503);
	c->closing = true;
	start_lingering(c);
}

void ws_server_finish(struct ws_server *s)
{
	struct ws_server_con *c;

	s->finished = true;
	ev_io_stop(s->loop, &s->listener);
	for (c = s->cons; c; c = c->next)
		finish_connection(c);
}

unsigned ws_server_connections(const struct ws_server *s)
{
	return s->n_cons;
}
