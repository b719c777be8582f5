#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/ws_payload.h"
#include "io/ws_server_int.h"

/*
 * Requests: what they hold in memory, and their parsing up to the last byte of
 * the body.
 */

/* A request with larger buffers is freed instead of being kept for reuse. */
#define KEPT_BUFFER_MAX ((size_t)8 * 1024)
#define FREE_REQUESTS_MAX 256

/* ===== The account of memory ===== */

/* @return false if there is no room for what the request's buffers have grown
 */
static bool hold(struct ws_server *s, struct ws_server_request *r)
{
	size_t n = r->uri_cap + r->headers.cap + r->body_cap;

	if (n > r->held && !ws_memory_take(s->memory, n - r->held))
		return false;
	if (n < r->held)
		ws_memory_give(s->memory, r->held - n);
	r->held = n;
	return true;
}

void ws_server_grow_held(struct ws_server *s, char **buf, size_t *cap,
			 size_t need)
{
	size_t before = *cap;

	ws_grow(buf, cap, need, 1);
	ws_memory_force(s->memory, *cap - before);
}

void ws_server_free_held(struct ws_server *s, char **buf, size_t *cap)
{
	free(*buf);
	*buf = NULL;
	ws_memory_give(s->memory, *cap);
	*cap = 0;
}

/* ===== Requests ===== */

static struct ws_server_request *alloc_request(struct ws_server_con *c)
{
	struct ws_server *s = c->server;
	struct ws_server_request *r = s->free_requests;

	if (r) {
		s->free_requests = r->next;
		s->n_free--;
	} else {
		r = ws_alloc(1, sizeof(*r));
	}
	r->con = c;
	r->next = NULL;
	r->started_at = s->conf.now();
	r->uri_len = 0;
	r->body_len = 0;
	r->body_dropped = false;
	r->close = false;
	r->answered = false;
	r->user_data = NULL;
	ws_headers_reset(&r->headers);
	return r;
}

static void free_body(struct ws_server_request *r)
{
	free(r->body);
	r->body = NULL;
	r->body_len = 0;
	r->body_cap = 0;
}

void ws_server_destroy_request(struct ws_server *s, struct ws_server_request *r)
{
	ws_memory_give(s->memory, r->held);
	free(r->uri);
	ws_headers_free(&r->headers);
	free(r->body);
	free(r);
}

static void drop_body(struct ws_server *s, struct ws_server_request *r)
{
	s->receiving_bytes -= r->body_len;
	free_body(r);
	/* Cannot fail, as the request's buffers have shrunk. */
	hold(s, r);
}

void ws_server_release_request(struct ws_server *s, struct ws_server_request *r)
{
	if (r->queued_answer) {
		ws_memory_give(s->memory, r->queued_answer->len);
		g_string_free(r->queued_answer, TRUE);
	}
	r->queued_answer = NULL;
	drop_body(s, r);
	if (s->n_free >= FREE_REQUESTS_MAX ||
	    r->headers.cap > KEPT_BUFFER_MAX || r->uri_cap > KEPT_BUFFER_MAX) {
		ws_server_destroy_request(s, r);
		return;
	}
	r->next = s->free_requests;
	s->free_requests = r;
	s->n_free++;
}

/* ===== Parsing ===== */

static struct ws_server_con *connection_of(const http_parser *p)
{
	return p->data;
}

/* Makes the parser stop; the request is answered with the status. */
static int reject(struct ws_server_con *c, unsigned status)
{
	if (!c->reject)
		c->reject = status;
	return -1;
}

/* The limit may be larger by now, and callers do not retry a 413 or 431. */
static unsigned size_status(const struct ws_server_con *c, unsigned status)
{
	const struct ws_server_conf *conf = &c->server->conf;

	return conf->ops->are_limits_current &&
			       !conf->ops->are_limits_current(conf->arg) ?
		       503 :
		       status;
}

static int on_begin(http_parser *p)
{
	struct ws_server_con *c = connection_of(p);

	c->partial = alloc_request(c);
	c->headers_done = false;
	c->in_value = false;
	c->trailer_len = 0;
	c->awaits_continue = false;
	return 0;
}

static size_t head_bytes(const struct ws_server_request *r)
{
	return r->uri_len + r->headers.len;
}

static int check_head(struct ws_server_con *c, size_t more)
{
	if (head_bytes(c->partial) + more > c->server->limits.max_header)
		return reject(c, size_status(c, 431));
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct ws_server_con *c = connection_of(p);
	struct ws_server_request *r = c->partial;

	if (check_head(c, len))
		return -1;
	ws_grow(&r->uri, &r->uri_cap, r->uri_len + len + 1, 1);
	memcpy(r->uri + r->uri_len, at, len);
	r->uri_len += len;
	r->uri[r->uri_len] = '\0';
	return hold(c->server, r) ? 0 : reject(c, 503);
}

static void append_text(struct ws_headers *h, const char *at, size_t len)
{
	ws_grow(&h->text, &h->cap, h->len + len + 3, 1);
	memcpy(h->text + h->len, at, len);
	h->len += len;
}

/* Trailing white space isn't part of a header value. */
static void end_header(struct ws_server_con *c)
{
	struct ws_headers *h = &c->partial->headers;

	if (!c->in_value)
		return;
	while (h->len > c->value_start &&
	       (h->text[h->len - 1] == ' ' || h->text[h->len - 1] == '\t'))
		h->len--;
	append_text(h, "", 1);
	c->in_value = false;
}

/*
 * Trailer fields of a body in chunks are discarded: merged into the headers
 * they could change the route or the id of the request (RFC 9110, 6.5.1).
 */
static int skip_trailer(struct ws_server_con *c, size_t len)
{
	c->trailer_len += len;
	return c->trailer_len > c->server->limits.max_header ?
		       reject(c, size_status(c, 431)) :
		       0;
}

static int on_header_field(http_parser *p, const char *at, size_t len)
{
	struct ws_server_con *c = connection_of(p);

	if (c->headers_done)
		return skip_trailer(c, len);
	end_header(c);
	if (check_head(c, len))
		return -1;
	/* No blanks in names, nor before the colon (RFC 9112, 5.1) */
	if (memchr(at, ' ', len))
		return reject(c, 400);
	append_text(&c->partial->headers, at, len);
	return hold(c->server, c->partial) ? 0 : reject(c, 503);
}

static int on_header_value(http_parser *p, const char *at, size_t len)
{
	struct ws_server_con *c = connection_of(p);
	struct ws_headers *h = &c->partial->headers;

	if (c->headers_done)
		return skip_trailer(c, len);
	if (check_head(c, len) || memchr(at, '\0', len))
		return reject(c, 400);
	if (!c->in_value) {
		append_text(h, ": ", 2);
		c->value_start = h->len;
	}
	c->in_value = true;
	append_text(h, at, len);
	return hold(c->server, c->partial) ? 0 : reject(c, 503);
}

static bool expects_continue(const struct ws_server_request *r)
{
	const struct ws_body b = {
		.headers = r->headers.text,
		.headers_len = r->headers.len,
	};

	return ws_body_header(&b, "Expect");
}

void ws_server_continue(struct ws_server_con *c)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (!c->awaits_continue || c->first || c->closing)
		return;
	c->awaits_continue = false;
	ws_server_write(c, text, sizeof(text) - 1, NULL, 0);
}

static int on_headers_complete(http_parser *p)
{
	struct ws_server_con *c = connection_of(p);
	struct ws_server_request *r = c->partial;

	end_header(c);
	c->headers_done = true;
	snprintf(r->method, sizeof(r->method), "%s",
		 http_method_str((enum http_method)p->method));
	r->close = !http_should_keep_alive(p);
	/* Upgrades are not supported, and CONNECT has no path to route. */
	if (p->method == HTTP_CONNECT)
		return reject(c, 400);
	p->upgrade = 0;
	if ((p->flags & F_CONTENTLENGTH) &&
	    p->content_length > c->server->limits.max_body)
		return reject(c, size_status(c, 413));
	c->awaits_continue = (p->flags & (F_CHUNKED | F_CONTENTLENGTH)) &&
			     expects_continue(r);
	ws_server_continue(c);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct ws_server_con *c = connection_of(p);
	struct ws_server_request *r = c->partial;
	struct ws_server *s = c->server;

	c->awaits_continue = false;
	if (r->body_dropped)
		return 0;
	if (r->body_len + len > s->limits.max_body)
		return reject(c, size_status(c, 413));
	if (s->receiving_bytes + len <= s->conf.max_receiving) {
		ws_grow(&r->body, &r->body_cap, r->body_len + len, 1);
		memcpy(r->body + r->body_len, at, len);
		r->body_len += len;
		s->receiving_bytes += len;
		if (hold(s, r))
			return 0;
	}
	r->body_dropped = true;
	drop_body(s, r);
	return 0;
}

static void enqueue(struct ws_server_con *c, struct ws_server_request *r)
{
	if (c->last)
		c->last->next = r;
	else
		c->first = r;
	c->last = r;
	c->n_open++;
}

static int on_complete(http_parser *p)
{
	struct ws_server_con *c = connection_of(p);
	struct ws_server *s = c->server;
	struct ws_server_request *r = c->partial;

	c->partial = NULL;
	c->awaits_continue = false;
	enqueue(c, r);
	if (r->close)
		c->closing = true;
	s->conf.ops->on_request(s->conf.arg, r);
	if (c->closing || c->broken || c->n_open >= WS_SERVER_PIPELINE_MAX)
		http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void report_rejection(struct ws_server_con *c,
			     const struct ws_server_request *r, unsigned status)
{
	const struct ws_server_conf *conf = &c->server->conf;
	enum http_errno err = HTTP_PARSER_ERRNO(&c->parser);
	const struct ws_server_rejection rejection = {
		.status = status,
		.error = err == HPE_OK ? "" : http_errno_name(err),
		.n_open = c->n_open,
		.head_len = head_bytes(r),
		.body_len = r->body_len,
	};

	if (conf->ops->on_reject)
		conf->ops->on_reject(conf->arg, r, &rejection);
}

void ws_server_reject(struct ws_server_con *c, unsigned status)
{
	static const char type[] = "Content-Type: text/plain";
	struct ws_server_request *r = c->partial;
	struct ws_server_answer a = {
		.status = status,
		.headers = type,
		.headers_len = sizeof(type),
		.data = "the request can not be read\n",
		.data_len = 28,
		.close = true,
	};

	if (!r)
		r = alloc_request(c);
	c->partial = NULL;
	c->awaits_continue = false;
	report_rejection(c, r, status);
	r->method[0] = '\0';
	enqueue(c, r);
	ws_server_answer(r, &a);
}

void ws_server_buffer_unread(struct ws_server_con *c, const char *data,
			     size_t len)
{
	ws_server_grow_held(c->server, &c->unread, &c->unread_cap,
			    c->unread_len + len);
	memcpy(c->unread + c->unread_len, data, len);
	c->unread_len += len;
}

void ws_server_parse(struct ws_server_con *c, const char *data, size_t len)
{
	size_t n;

	c->parsing = true;
	n = http_parser_execute(&c->parser, &callbacks, data, len);
	c->parsing = false;
	switch (HTTP_PARSER_ERRNO(&c->parser)) {
	case HPE_OK:
		return;
	case HPE_PAUSED:
		if (!c->closing && n < len)
			ws_server_buffer_unread(c, data + n, len - n);
		else if (!c->closing)
			http_parser_pause(&c->parser, 0);
		return;
	default:
		break;
	}
	if (c->closing)
		return;
	if (!c->reject)
		c->reject = HTTP_PARSER_ERRNO(&c->parser) ==
					    HPE_HEADER_OVERFLOW ?
				    431 :
				    400;
	ws_server_reject(c, c->reject);
}
