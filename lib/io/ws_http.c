#include "io/ws_http.h"

#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "io/ws_http_int.h"

#define CONNECT_TIMEOUT_MS 1000L
/* Older idle connections are not reused: the target may be closing them. */
#define IDLE_MAX_S 15L
#define IDLE_CONNECTIONS_MAX 4096L
/* TCP_USER_TIMEOUT: unacknowledged data ends a connection after this time. */
#define USER_TIMEOUT_MS 3000
/* TCP keep-alive probes detect peers that went silent. */
#define KEEPALIVE_S 1L
#define KEEPALIVE_PROBES 3
#define FREE_CALLS_MAX 128
/* Bytes of status lines and headers of a response, 1xx responses included. */
#define HEAD_MAX ((size_t)128 * 1024)
#define HEAD_LINES_MAX 2000
/* Status codes (RFC 9110, section 15); final ones are no 1xx. */
#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101
/* Larger buffers are freed with their call instead of being kept for reuse. */
#define KEPT_BUFFER_MAX ((size_t)16 * 1024)
/* libcurl keeps a head with its handle, which is freed after a larger one. */
#define KEPT_HEAD_MAX ((size_t)8 * 1024)
/*
 * A body in more pieces than this is ended if they are smaller on average:
 * handling them takes so long that other calls wait.
 */
#define PIECES_MAX 16384
#define PIECE_BYTES_MIN 64
/* What libcurl allocates for an open call, and for each header besides. */
#define CALL_BYTES ((size_t)24 * 1024)
#define HEADER_BYTES ((size_t)96)

struct socket_watcher {
	ev_io io;
	struct ws_http *http;
	struct ws_http_call *call; /* that uses the socket; NULL: unknown */
	struct socket_watcher *next;
};

/* ===== Answers ===== */

static size_t receive_data(char *data, size_t size, size_t n, void *arg)
{
	struct ws_http_call *c = arg;
	size_t len = size * n;

	c->received = true;
	/* Aborts the response, as a target may send data without end. */
	if (c->given_up || len > c->max_answer - c->data_len)
		return 0;
	if (++c->n_pieces > PIECES_MAX &&
	    c->data_len / c->n_pieces < PIECE_BYTES_MIN)
		return 0;
	if (!ws_http_grow(c, &c->data, &c->data_cap, c->data_len + len))
		return 0;
	memcpy(c->data + c->data_len, data, len);
	c->data_len += len;
	return len;
}

/*
 * Whether what follows the version in a status line is a space, the code, and
 * an end or a reason. A line without a reason may lack the space before it.
 */
static bool has_code_alone(const char *p, size_t len)
{
	size_t i;

	if (len <= STATUS_DIGITS + 1 || p[0] != ' ')
		return false;
	for (i = 1; i <= STATUS_DIGITS; i++)
		if (p[i] < '0' || p[i] > '9')
			return false;
	return p[i] == ' ' || p[i] == '\r' || p[i] == '\n';
}

/*
 * Reads the code of a status line (RFC 9112, section 4). libcurl accepts more:
 * codes above 599, text behind the code, other versions.
 * @return 0 if it is none from 100 to 599
 */
static uint16_t parse_status(const char *line, size_t len)
{
	static const char version[] = "HTTP/1.";
	size_t prefix = sizeof(version) - 1;
	const char *code;
	int status;

	if (len <= prefix || memcmp(line, version, prefix) != 0 ||
	    (line[prefix] != '0' && line[prefix] != '1') ||
	    !has_code_alone(line + prefix + 1, len - prefix - 1))
		return 0;
	code = line + prefix + 2;
	status = (code[0] - '0') * 100 + (code[1] - '0') * 10 + code[2] - '0';
	return status >= STATUS_MIN && status <= STATUS_MAX ? (uint16_t)status :
							      0;
}

/*
 * Starts the set of headers of a status line, the first or one after a 1xx.
 * @return false if it is none; a 101 is none either, as no upgrade is asked for
 */
static bool start_head(struct ws_http_call *c, const char *line, size_t len)
{
	uint16_t status = parse_status(line, len);

#ifdef WS_MUTANT_ANY_STATUS
	status = status ? status : 200;
#endif
	ws_headers_reset(&c->headers);
	memset(&c->framing, 0, sizeof(c->framing));
	c->status = status;
	c->is_1_0 = len >= strlen("HTTP/1.0") && line[strlen("HTTP/1.")] == '0';
	c->in_head = true;
	return status && status != STATUS_SWITCHING_PROTOCOLS;
}

static bool is_blank(char ch)
{
	return ch == ' ' || ch == '\t';
}

/*
 * Whether the end of a response is certain (RFC 9112, section 6). libcurl takes
 * the digits at the start of a length and the last one of several, and applies
 * the fields of a 1xx response to the final one.
 */
static bool end_head(struct ws_http_call *c)
{
	const struct ws_header_scan *f = &c->framing;

	c->in_head = false;
	if (c->status < STATUS_FINAL_MIN)
		return !f->n_lengths && !f->n_encodings;
	c->head_ended = true;
	return ws_headers_framing_is_valid(f) && !(c->is_1_0 && f->n_encodings);
}

/* Controls would end a field, or the copy of it, before its end. */
static bool has_control(const char *value, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		if (g_ascii_iscntrl(value[i]) && value[i] != '\t')
			return true;
	return false;
}

/* @return false if the line, without its end, is no field */
static bool add_field(struct ws_http_call *c, const char *line, size_t end)
{
	const char *colon = memchr(line, ':', end);
	size_t at = c->headers.len;
	size_t len;
	size_t skip;

	/* A name with a blank behind it is another one to libcurl. */
	if (!colon || !ws_headers_is_token(line, (size_t)(colon - line)))
		return false;
	len = (size_t)(colon - line);
	skip = len + 1;
	while (skip < end && is_blank(line[skip]))
		skip++;
	while (end > skip && is_blank(line[end - 1]))
		end--;
	if (has_control(line + skip, end - skip))
		return false;
	ws_headers_add(&c->headers, line, len, line + skip, end - skip);
	ws_headers_scan_framing(&c->framing, line, len,
				c->headers.text + at + len + 2);
	return true;
}

static size_t receive_header(char *line, size_t size, size_t n, void *arg)
{
	struct ws_http_call *c = arg;
	size_t len = size * n;
	size_t end = len;

	c->received = true;
	ws_http_release(c, c->line_held);
	c->line_held = 0;
	c->head_len += len;
	if (c->head_len > HEAD_MAX || ++c->n_head_lines > HEAD_LINES_MAX)
		return 0;
	/* This copy in the headers, and that of libcurl. */
	if (!ws_http_hold(c, len + HEADER_BYTES) ||
	    !ws_http_grow(c, &c->headers.text, &c->headers.cap,
			  c->headers.len + len + 3))
		return 0;
	/* Trailers may not replace or add to the fields of the head. */
	if (c->head_ended)
		return len;
	if (!c->in_head)
		return start_head(c, line, len) ? len : 0;
	/*
	 * A status line in place of a field, or a field named like one; or a
	 * folded field, which would be forwarded in part (RFC 9112, 5.2).
	 */
	if (is_blank(line[0]) || (len > 5 && !memcmp(line, "HTTP/", 5)))
		return 0;
	if (end && line[end - 1] == '\n')
		end--;
	if (end && line[end - 1] == '\r')
		end--;
	return (end ? add_field(c, line, end) : end_head(c)) ? len : 0;
}

/* libcurl calls this before it sends, also on a reused connection. */
static int before_send(void *arg, char *remote, char *local, int remote_port,
		       int local_port)
{
	struct ws_http_call *c = arg;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
#ifndef WS_MUTANT_LIBRARY_RESENDS
	if (c->n_sends)
		return CURL_PREREQFUNC_ABORT;
#endif
	c->withdrawn = c->before_send && !c->before_send(c->arg);
	if (c->withdrawn)
		return CURL_PREREQFUNC_ABORT;
	c->n_sends++;
	return CURL_PREREQFUNC_OK;
}

/* Makes the kernel detect connections whose other end no longer responds. */
static int prepare_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	/* Closing resets the connection, so that nothing arrives later. */
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	int timeout = USER_TIMEOUT_MS;
	int probes = KEEPALIVE_PROBES;

	(void)arg;
	if (purpose != CURLSOCKTYPE_IPCXN)
		return CURL_SOCKOPT_OK;
	/* Failures are harmless: the default timeouts stay in place. */
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return CURL_SOCKOPT_OK;
}

/* ===== Calls ===== */

static void set_common(struct ws_http_call *c)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_PRIVATE, c);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_NOPROGRESS, 1L);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, prepare_socket);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, receive_data);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, receive_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
}

static struct ws_http_call *alloc_call(struct ws_http *h)
{
	struct ws_http_call *c = h->free_calls;

	if (c) {
		h->free_calls = c->next;
		h->n_free--;
		return c;
	}
	c = ws_alloc(1, sizeof(*c));
	c->http = h;
	ws_memory_force(h->memory, CALL_BYTES);
	c->held = CALL_BYTES;
	return c;
}

/*
 * Each call has a handle of its own: a used one keeps a pointer to a field of
 * its former response, which it has freed (libcurl 7.88.1). It would follow it
 * for a response whose first field begins with a blank. Connections belong to
 * the multi handle and are kept.
 */
static void open_handle(struct ws_http_call *c)
{
#ifdef WS_MUTANT_HANDLE_REUSED
	if (c->easy)
		return;
#endif
	curl_easy_cleanup(c->easy);
	c->easy = curl_easy_init();
	WS_INVARIANT(c->easy);
	set_common(c);
}

static void destroy_call(struct ws_http_call *c)
{
	if (!c->given_up)
		ws_memory_give(c->http->memory, c->held);
	curl_easy_cleanup(c->easy);
	ws_headers_free(&c->headers);
	free(c->data);
	free(c);
}

static bool is_worth_keeping(const struct ws_http_call *c)
{
	return c->http->n_free < FREE_CALLS_MAX && !c->given_up &&
	       c->data_cap <= KEPT_BUFFER_MAX &&
	       c->headers.cap <= KEPT_BUFFER_MAX &&
	       c->head_len <= KEPT_HEAD_MAX;
}

static void release_call(struct ws_http_call *c)
{
	struct ws_http *h = c->http;

	c->active = false;
	ws_http_unlink(c);
	if (!is_worth_keeping(c)) {
		destroy_call(c);
		return;
	}
	/* Its buffers and its handle stay in the account. */
	ws_http_release(c, c->held - c->data_cap - c->headers.cap - CALL_BYTES);
	c->next = h->free_calls;
	h->free_calls = c;
	h->n_free++;
}

/* The order matters, as some libcurl options change the method. */
static void set_method(CURL *e, const struct ws_http_request *req)
{
	bool get = !strcmp(req->method, "GET");
	bool post = !strcmp(req->method, "POST");

	curl_easy_setopt(e, CURLOPT_NOBODY, 0L);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, NULL);
	if (!strcmp(req->method, "HEAD")) {
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
		return;
	}
	if (!get || req->data_len) {
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS,
				 req->data_len ? req->data : "");
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)req->data_len);
	} else {
		curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
	}
	if (!post && (!get || req->data_len))
		curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, req->method);
}

struct ws_http_call *ws_http_start(struct ws_http *h,
				   const struct ws_http_request *req)
{
	struct ws_http_call *c = alloc_call(h);
	long ms = (long)((req->timeout + WS_MS - 1) / WS_MS);

	open_handle(c);
	c->before_send = req->before_send;
	c->done = req->done;
	c->arg = req->arg;
	c->n_sends = 0;
	c->withdrawn = false;
	c->head_len = 0;
	c->n_head_lines = 0;
	c->n_pieces = 0;
	c->line_held = 0;
	c->essential = req->essential;
	c->status = 0;
	c->in_head = false;
	c->head_ended = false;
	c->is_head = !strcmp(req->method, "HEAD");
	c->data_len = 0;
	c->max_answer = req->max_answer;
	c->allow_unframed = req->allow_unframed;
	ws_headers_reset(&c->headers);
	curl_easy_setopt(c->easy, CURLOPT_URL, req->url);
	/* libcurl would encode some bytes of a path and drop a fragment. */
	curl_easy_setopt(c->easy, CURLOPT_REQUEST_TARGET, req->target);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, req->headers);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, ms > 0 ? ms : 1L);
	curl_easy_setopt(c->easy, CURLOPT_MAXAGE_CONN,
			 req->max_idle_time ?
				 (long)(req->max_idle_time / WS_SECOND) :
				 IDLE_MAX_S);
	curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT,
			 req->new_connection ? 1L : 0L);
	set_method(c->easy, req);
	c->active = true;
	ws_http_link(c);
	curl_multi_add_handle(h->multi, c->easy);
	return c;
}

void ws_http_cancel(struct ws_http_call *c)
{
	WS_INVARIANT(c->active);
	curl_multi_remove_handle(c->http->multi, c->easy);
	release_call(c);
}

void ws_http_disconnect(struct ws_http_call *c)
{
	curl_socket_t fd;

	if (curl_easy_getinfo(c->easy, CURLINFO_ACTIVESOCKET, &fd) == CURLE_OK)
		shutdown(fd, SHUT_RDWR);
}

/*
 * A response with neither a length nor chunks ends with its connection, so that
 * a truncated one would look complete.
 */
static bool is_framed(const struct ws_http_call *c, const struct ws_body *b)
{
	if (c->is_head || c->allow_unframed || b->status == 204 ||
	    b->status == 304)
		return true;
	return ws_body_header(b, "Content-Length") ||
	       ws_body_header(b, "Transfer-Encoding");
}

static void fill_result(struct ws_http_call *c, CURLcode code,
			struct ws_http_result *res)
{
	res->timed_out = code == CURLE_OPERATION_TIMEDOUT;
	res->answer = (struct ws_body){
		.method = "",
		.path = "",
		.status = c->status,
		.headers = c->headers.text,
		.headers_len = c->headers.len,
		.data = c->data,
		.data_len = c->data_len,
	};
	/*
	 * libcurl also reports success when the connection is closed inside the
	 * head, and then the fields of that head are missing.
	 */
	if (code == CURLE_OK && c->head_ended && is_framed(c, &res->answer))
		res->outcome = WS_HTTP_DONE;
	else if (c->withdrawn)
		res->outcome = WS_HTTP_WITHDRAWN;
	else if (!c->n_sends)
		res->outcome = WS_HTTP_NOT_SENT;
	else if (res->timed_out)
		res->outcome = WS_HTTP_TIMEOUT;
	else
		res->outcome = WS_HTTP_BROKEN;
}

static void finish_call(struct ws_http_call *c, CURLcode code)
{
	struct ws_http_result res;
	long opened = 0;

	curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &opened);
	c->http->connections += (uint64_t)opened;
	fill_result(c, code, &res);
	c->done(c->arg, &res);
	curl_multi_remove_handle(c->http->multi, c->easy);
	release_call(c);
}

static void finish_calls(struct ws_http *h)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(h->multi, &left))) {
		struct ws_http_call *c = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
		finish_call(c, msg->data.result);
	}
}

/* Ends the calls that were given up, as if their connections had broken. */
static void end_given_up(struct ws_http *h)
{
	struct ws_http_call *c;

	while ((c = h->given_up_calls)) {
		h->given_up_calls = c->next;
		if (c->next)
			c->next->prev = NULL;
		c->listed = false;
		finish_call(c, CURLE_WRITE_ERROR);
	}
}

/* ===== Event loop ===== */

static void on_socket(EV_P_ ev_io *w, int revents)
{
	struct socket_watcher *sw = (struct socket_watcher *)w;
	struct ws_http *h = sw->http;
	struct ws_http_call *c = revents & EV_READ ? sw->call : NULL;
	int bits = 0;
	int running;

	(void)loop;
	if (revents & EV_READ)
		bits |= CURL_CSELECT_IN;
	if (revents & EV_WRITE)
		bits |= CURL_CSELECT_OUT;
	if (c)
		c->received = false;
	curl_multi_socket_action(h->multi, w->fd, bits, &running);
	/* The call has not ended if libcurl still watches its socket. */
	if (c && sw->call == c)
		ws_http_note_read(c);
	end_given_up(h);
	finish_calls(h);
}

static void on_timer(EV_P_ ev_timer *w, int revents)
{
	struct ws_http *h = w->data;
	int running;

	(void)loop;
	(void)revents;
	curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	end_given_up(h);
	finish_calls(h);
}

static struct socket_watcher *alloc_watcher(struct ws_http *h)
{
	struct socket_watcher *w = h->free_watchers;

	if (w)
		h->free_watchers = w->next;
	else
		w = ws_alloc(1, sizeof(*w));
	w->http = h;
	return w;
}

static void release_watcher(struct ws_http *h, struct socket_watcher *w)
{
	ev_io_stop(h->loop, &w->io);
	w->call = NULL;
	w->next = h->free_watchers;
	h->free_watchers = w;
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
			void *socket_arg)
{
	struct ws_http *h = arg;
	struct socket_watcher *w = socket_arg;
	struct ws_http_call *c = NULL;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (w)
			release_watcher(h, w);
		curl_multi_assign(h->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	if (!w) {
		w = alloc_watcher(h);
		ev_io_init(&w->io, on_socket, fd, events);
		curl_multi_assign(h->multi, fd, w);
	} else {
		ev_io_stop(h->loop, &w->io);
		ev_io_set(&w->io, fd, events);
	}
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
	w->call = c;
	ev_io_start(h->loop, &w->io);
	return 0;
}

static int set_timer(CURLM *multi, long ms, void *arg)
{
	struct ws_http *h = arg;

	(void)multi;
	ev_timer_stop(h->loop, &h->timer);
	if (ms < 0)
		return 0;
	ev_timer_set(&h->timer, (double)ms / 1000.0, 0.);
	ev_timer_start(h->loop, &h->timer);
	return 0;
}

/* ===== Lifecycle ===== */

struct ws_http *ws_http_new(struct ev_loop *loop)
{
	struct ws_http *h = ws_alloc(1, sizeof(*h));

	h->loop = loop;
	h->multi = curl_multi_init();
	WS_INVARIANT(h->multi);
	ev_timer_init(&h->timer, on_timer, 0., 0.);
	h->timer.data = h;
	h->memory = &h->own_memory;
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
	return h;
}

/* All open calls must have been cancelled. */
void ws_http_free(struct ws_http *h)
{
	struct ws_http_call *c;
	struct socket_watcher *w;

	if (!h)
		return;
	while ((c = h->free_calls)) {
		h->free_calls = c->next;
		destroy_call(c);
	}
	curl_multi_cleanup(h->multi);
	ev_timer_stop(h->loop, &h->timer);
	while ((w = h->free_watchers)) {
		h->free_watchers = w->next;
		free(w);
	}
	free(h);
}

void ws_http_set_memory(struct ws_http *h, struct ws_memory *memory)
{
	WS_INVARIANT(!h->active_calls && !h->free_calls);
	h->memory = memory;
}

uint64_t ws_http_connections_opened(const struct ws_http *h)
{
	return h->connections;
}
