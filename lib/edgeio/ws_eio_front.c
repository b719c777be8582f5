#include "edgeio/ws_eio_front.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_metrics.h"
#include "edgeio/ws_eio_targets.h"
#include "io/ws_server.h"
#include "platform/wp_wire.h"

/*
 * Bodies of open requests may take this fraction (1/N) of the memory, which
 * leaves half of the account to answers.
 */
#define RECEIVING_MEMORY_DIVISOR 5
/* File descriptors reserved for each connection of a caller. */
#define FDS_PER_CONNECTION 2
/*
 * Above this fraction (1/N) of its maximum of connections, an instance closes
 * each connection after the answer. Callers then reconnect, possibly to another
 * instance.
 */
#define CROWDED_DIVISOR 6
/* Callers' connections stay open this much longer than configured. */
#define IDLE_TIMEOUT_MARGIN (1 * WS_SECOND)
/* One in this many answers forwarded at the first attempt is logged. */
#define FORWARDED_PER_LOG_LINE 64
#define READINESS_CONNECTIONS 16
/* Retry-After of requests that are refused before the reducer sees them. */
#define INSTANCE_FULL_RETRY_AFTER (500 * WS_MS)

/* A caller's request that has not been answered yet. */
struct pending_request {
	struct pending_request *next_free;
	struct ws_eio_front *front;
	struct ws_server_request *req;
	uint64_t id;
	uint64_t fingerprint; /* 0: not computed */
	int32_t shard_key; /* -1: none or not valid */
	/* Point into the request's headers; "" if there is no such field */
	const char *request_id;
	const char *host;
	const char *target; /* path and query, to route and to forward */
	char *authority; /* owned, with the target; NULL: in the headers */
	struct ws_headers headers; /* headers to forward to the server */
	unsigned attempts;
	char server[WS_ED_NAME_MAX]; /* server of the last attempt */
	ws_us input_age; /* longest time for which it waited to be read */
	struct ws_eio_sending_log sending; /* the last one */
};

struct ws_eio_front {
	struct ws_eio *io;
	struct ws_server *callers;
	struct ws_server *readiness;
	GHashTable *pending; /* id -> struct pending_request */
	struct pending_request *free_requests;
	uint64_t next_id;
	uint64_t forwarded;
	/* With more connections than this, answers close their connection. */
	unsigned crowded_connections;
	struct ws_headers answer; /* scratch space */
};

/* ===== Pool of struct pending_request ===== */

static struct pending_request *acquire_request(struct ws_eio_front *f,
					       struct ws_server_request *req)
{
	struct pending_request *r = f->free_requests;

	if (r)
		f->free_requests = r->next_free;
	else
		r = ws_alloc(1, sizeof(*r));
	r->front = f;
	r->req = req;
	r->request_id = "";
	r->fingerprint = 0;
	r->shard_key = -1;
	r->host = "";
	r->target = "";
	r->server[0] = '\0';
	r->attempts = 0;
	r->input_age = ws_eio_turn_input_age(&f->io->turn, ws_eio_now());
	r->sending = (struct ws_eio_sending_log){ .after = -1 };
	ws_headers_reset(&r->headers);
	req->user_data = r;
	return r;
}

static void release_request(struct pending_request *r)
{
	g_free(r->authority);
	r->authority = NULL;
	r->next_free = r->front->free_requests;
	r->front->free_requests = r;
}

/* ===== Log ===== */

static void log_outcome(const struct pending_request *r, unsigned status,
			const char *customer, enum ws_ed_reason reason,
			ws_us retry_after)
{
	struct ws_eio *io = r->front->io;
	const struct ws_ed_conf *conf = ws_edge_conf(io->edge);
	ws_us now = ws_eio_now();
	struct ws_eio_request_log line = {
		.request_id = r->request_id,
		.customer = customer,
		.method = r->req->method,
		.host = r->host,
		.path = r->target,
		.shard_key = r->shard_key,
		.server = r->server,
		.status = (int)status,
		.reason = reason,
		.elapsed = now - r->req->started_at,
		.input_age = r->input_age,
		.sending = r->sending,
		.retry_after = retry_after,
		.evidence_age = ws_edge_evidence_age(io->edge, now),
		.config_version = conf ? conf->version : 0,
		.attempts = r->attempts,
		.fingerprint = r->fingerprint,
		.waiting = ws_edge_waiting(io->edge),
	};

	ws_eio_log_request(&line);
}

static void on_disconnect(void *arg, struct ws_server_request *req)
{
	struct ws_eio_front *f = arg;
	struct pending_request *r = req->user_data;
	struct ws_ed_event ev = { .kind = WS_EDEV_CALLER_GONE };

	if (!r)
		return;
	g_hash_table_remove(f->pending, &r->id);
	log_outcome(r, 0, ws_edge_customer(f->io->edge, r->id),
		    WS_EDR_CALLER_GONE, 0);
	ev.u.gone = r->id;
	ws_eio_handle_event(f->io, &ev);
	release_request(r);
}

/* ===== Answers ===== */

static void answer(struct pending_request *r, struct ws_server_answer *a)
{
	struct ws_eio_front *f = r->front;

	ws_eio_metrics_answer(a->status, ws_eio_now() - r->req->started_at);
	a->close = f->io->drain_started_at ||
		   ws_server_connections(f->callers) > f->crowded_connections ||
		   ws_edge_sheds_connection(f->io->edge, ws_eio_now());
	ws_server_answer(r->req, a);
	g_hash_table_remove(f->pending, &r->id);
	release_request(r);
}

static void answer_with_reason(struct pending_request *r, unsigned status,
			       ws_us retry_after, enum ws_ed_reason reason)
{
	struct ws_headers *h = &r->front->answer;
	char text[128];
	char after[24];
	struct ws_server_answer a = {
		.status = status,
		.data = text,
		.data_len = (size_t)snprintf(text, sizeof(text),
					     "{\"error\":\"%s\"}\n",
					     ws_ed_reason_name(reason)),
	};

	ws_headers_reset(h);
	ws_headers_add(h, "Content-Type", 12, "application/json", 16);
	if (retry_after) {
		int n = snprintf(after, sizeof(after), "%.3f",
				 (double)retry_after / (double)WS_SECOND);

		ws_headers_add(h, "Retry-After", 11, after, (size_t)n);
	}
	a.headers = h->text;
	a.headers_len = h->len;
	answer(r, &a);
}

void ws_eio_front_reply(struct ws_eio_front *f, uint64_t id,
			const char *customer, int status, ws_us retry_after,
			enum ws_ed_reason reason)
{
	struct pending_request *r = g_hash_table_lookup(f->pending, &id);

	if (!r)
		return;
	log_outcome(r, (unsigned)status, customer, reason, retry_after);
	answer_with_reason(r, (unsigned)status, retry_after, reason);
}

/* Drops hop-by-hop fields and Content-Length, which ws_server sets itself. */
static void copy_answer_header(struct ws_headers *h, const char *header,
			       const char *connection)
{
	const char *colon = strchr(header, ':');
	size_t len = (size_t)(colon - header);

	if (!ws_headers_is_end_to_end(header, len, connection) ||
	    (len == 14 && !strncasecmp(header, "Content-Length", len)))
		return;
	ws_headers_add(h, header, len, colon + 2, strlen(colon + 2));
}

/* Callers do not try again after these. */
static bool is_final_refusal(unsigned status)
{
	return status >= 300 && status < 500;
}

void ws_eio_front_forward(struct ws_eio_front *f, uint64_t id,
			  const char *customer)
{
	struct pending_request *r = g_hash_table_lookup(f->pending, &id);
	const struct ws_body *b = ws_eio_targets_answer(f->io->targets);
	struct ws_server_answer a;
	const char *connection;
	const char *p;

	if (!r)
		return;
	WS_INVARIANT(b);
	connection = ws_body_header(b, "Connection");
	ws_headers_reset(&f->answer);
	for (p = b->headers; p < b->headers + b->headers_len;
	     p += strlen(p) + 1)
		copy_answer_header(&f->answer, p, connection);
	a = (struct ws_server_answer){
		.status = b->status,
		.headers = f->answer.text,
		.headers_len = f->answer.len,
		.data = b->data,
		.data_len = b->data_len,
	};
	ws_eio_metrics_forwarded(b->status);
	if (r->attempts > 1 || is_final_refusal(b->status) ||
	    f->forwarded++ % FORWARDED_PER_LOG_LINE == 0)
		log_outcome(r, b->status, customer, WS_EDR_NONE, 0);
	answer(r, &a);
}

/* Refuses a request that has not been passed to the reducer. */
static void refuse(struct pending_request *r, unsigned status,
		   ws_us retry_after, enum ws_ed_reason reason)
{
	log_outcome(r, status, "", reason, retry_after);
	answer_with_reason(r, status, retry_after, reason);
}

/* ===== Requests ===== */

struct request_headers {
	const char *connection;
	const char *caller_key;
	const char *deadline;
	const char *shard_key;
};

static bool name_equals(const char *header, size_t len, const char *name)
{
	return strlen(name) == len && !strncasecmp(header, name, len);
}

static void scan_header(struct pending_request *r,
			struct request_headers *fields, const char *header,
			size_t len, const char *value)
{
	if (name_equals(header, len, "Connection"))
		fields->connection = value;
	else if (name_equals(header, len, "Host"))
		r->host = value;
	else if (name_equals(header, len, WP_HEADER_CALLER_KEY))
		fields->caller_key = value;
	else if (name_equals(header, len, WP_HEADER_REQUEST_ID))
		r->request_id = value;
	else if (name_equals(header, len, WP_HEADER_DEADLINE))
		fields->deadline = value;
	else if (name_equals(header, len, WP_HEADER_SHARD_KEY))
		fields->shard_key = value;
}

/* Second pass: which headers are forwarded depends on the Connection header. */
static void copy_request_header(struct pending_request *r,
				const char *connection, const char *header,
				size_t len, const char *value)
{
	if (name_equals(header, len, "Host") ||
	    name_equals(header, len, "Expect") ||
	    name_equals(header, len, "Content-Length") ||
	    wp_wire_is_reserved_header(header, len) ||
	    !ws_headers_is_end_to_end(header, len, connection))
		return;
	ws_headers_add(&r->headers, header, len, value, strlen(value));
}

static void read_headers(struct pending_request *r,
			 struct request_headers *fields)
{
	const struct ws_headers *h = &r->req->headers;
	const char *end = h->text + h->len;
	const char *p;

	for (p = h->text; p < end; p += strlen(p) + 1) {
		const char *colon = strchr(p, ':');

		scan_header(r, fields, p, (size_t)(colon - p), colon + 2);
	}
	if (fields->shard_key)
		r->shard_key = wp_wire_parse_shard_key(fields->shard_key);
	for (p = h->text; p < end; p += strlen(p) + 1) {
		const char *colon = strchr(p, ':');

		copy_request_header(r, fields->connection, p,
				    (size_t)(colon - p), colon + 2);
	}
}

/*
 * Reads the request target. An absolute URI is split; its authority goes before
 * the Host field (RFC 9112, 3.2.2).
 * @return false if the URI has no host, or user information
 */
static bool read_target(struct pending_request *r)
{
	static const char scheme[] = "http://";
	const char *uri = r->req->uri;
	const char *authority = uri + sizeof(scheme) - 1;
	size_t len;

	r->target = uri;
	if (strncasecmp(uri, scheme, sizeof(scheme) - 1) != 0)
		return true;
	len = strcspn(authority, "/?#");
	/* An empty path stands for "/". */
	r->authority = g_strdup_printf("%.*s%c%s%s", (int)len, authority, '\0',
				       authority[len] == '/' ? "" : "/",
				       authority + len);
	r->host = r->authority;
	r->target = r->authority + len + 1;
	return len && !memchr(authority, '@', len);
}

/* Hash that is the same for a repeated request at every instance. */
static uint64_t fingerprint(const struct pending_request *r,
			    const struct request_headers *fields)
{
	const struct ws_server_request *q = r->req;
	uint64_t h = ws_ed_hash(0, q->method, strlen(q->method) + 1);

	h = ws_ed_hash(h, r->target, strlen(r->target) + 1);
	if (fields->caller_key)
		h = ws_ed_hash(h, fields->caller_key,
			       strlen(fields->caller_key) + 1);
	return q->body_len ? ws_ed_hash(h, q->body, q->body_len) : h;
}

static void submit(struct pending_request *r,
		   const struct request_headers *fields, bool malformed)
{
	struct ws_eio_front *f = r->front;
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };
	struct ws_ed_arrival a = {
		.id = r->id,
		.host = r->host,
		.path = r->target,
		.caller_key = fields->caller_key,
		.deadline = fields->deadline ?
				    wp_wire_parse_deadline(fields->deadline) :
				    0,
		.key = r->shard_key,
		.malformed = malformed || !r->request_id[0],
		.started = r->req->started_at,
		.body_len = r->req->body_len,
	};

	r->fingerprint = fingerprint(r, fields);
	a.fingerprint = r->fingerprint;
	ev.u.arrival = &a;
	ws_eio_handle_event(f->io, &ev);
}

/* Ends a request whose caller has left before it was read. */
static void drop_unread(struct pending_request *r)
{
	log_outcome(r, 0, "", WS_EDR_CALLER_GONE, 0);
	ws_eio_metrics_caller_gone_unread();
	g_hash_table_remove(r->front->pending, &r->id);
	r->req->user_data = NULL;
	release_request(r);
}

static void on_request(void *arg, struct ws_server_request *req)
{
	struct ws_eio_front *f = arg;
	struct pending_request *r = acquire_request(f, req);
	struct request_headers fields = { NULL };
	bool malformed;

	r->id = ++f->next_id;
	g_hash_table_insert(f->pending, &r->id, r);
	read_headers(r, &fields);
	malformed = !read_target(r);
	if (ws_server_caller_left(req))
		drop_unread(r);
	else if (req->body_dropped)
		refuse(r, 503, INSTANCE_FULL_RETRY_AFTER, WS_EDR_INSTANCE_FULL);
	else
		submit(r, &fields, malformed);
}

/*
 * Decides again on what has changed while the request waited for a connection,
 * or for the client's turn.
 */
static enum ws_eio_send before_send(struct ws_eio *io, uint64_t id,
				    uint32_t server)
{
	struct pending_request *r =
		g_hash_table_lookup(io->front->pending, &id);
	const struct ws_edge *edge = io->edge;
	ws_us now = ws_eio_now();

	if (!r || ws_server_caller_left(r->req))
		return WS_EIO_SEND_CALLER_LEFT;
	if (!ws_ed_pool_may_send(ws_edge_pool(edge), now, server))
		return WS_EIO_SEND_SERVER_LEFT;
	r->sending = (struct ws_eio_sending_log){
		.after = now - r->req->started_at,
		.servers_age = ws_edge_topic_age(edge, now, WS_EDT_SERVERS),
		.leaving_for =
			ws_ed_pool_leaving_for(ws_edge_pool(edge), now, server),
	};
	return WS_EIO_SEND;
}

void ws_eio_front_send(struct ws_eio_front *f, const struct ws_ed_effect *x)
{
	struct pending_request *r =
		g_hash_table_lookup(f->pending, &x->u.send.request);
	const struct ws_ed_pool *pool = ws_edge_pool(f->io->edge);
	uint32_t server = x->u.send.server;
	struct ws_eio_request req;

	WS_INVARIANT(r);
	r->attempts++;
	memcpy(r->server, pool->servers[server].name, sizeof(r->server));
	req = (struct ws_eio_request){
		.id = x->u.send.request,
		.lane = x->u.send.lane,
		.resent = x->u.send.resent,
		.request_id = r->request_id,
		.method = r->req->method,
		.uri = r->target,
		.host = r->host,
		.headers = r->headers.text,
		.headers_len = r->headers.len,
		.body = r->req->body,
		.body_len = r->req->body_len,
		.before_send = before_send,
	};
	ws_eio_targets_send(f->io->targets, &req, server, x->u.send.deadline);
}

/* The reducer does not see these requests. */
static void on_reject(void *arg, const struct ws_server_request *req,
		      const struct ws_server_rejection *rejection)
{
	char detail[160];

	(void)arg;
	snprintf(detail, sizeof(detail),
		 "%s,open=%u,head=%zu,body=%zu,path=%.64s", rejection->error,
		 rejection->n_open, rejection->head_len, rejection->body_len,
		 req->uri_len ? req->uri : "");
	ws_eio_log(WS_LOG_REQUEST_REJECTED, 0, rejection->status, detail);
	ws_eio_metrics_rejection(rejection->status);
}

static bool are_limits_current(void *arg)
{
	const struct ws_eio_front *f = arg;

	return ws_edge_config_is_current(f->io->edge, ws_eio_now());
}

static const struct ws_server_ops caller_ops = {
	.on_request = on_request,
	.on_disconnect = on_disconnect,
	.are_limits_current = are_limits_current,
	.on_reject = on_reject,
};

void ws_eio_front_apply_config(struct ws_eio_front *f)
{
	const struct ws_ed_conf *conf = ws_edge_conf(f->io->edge);
	struct ws_server_limits l;

	if (!conf)
		return;
	l = *ws_server_limits(f->callers);
	if (conf->limits.max_header)
		l.max_header = conf->limits.max_header;
	if (conf->limits.max_body)
		l.max_body = conf->limits.max_body;
	if (conf->limits.header_timeout)
		l.header_timeout = conf->limits.header_timeout;
	if (conf->limits.idle_timeout)
		l.idle_timeout =
			conf->limits.idle_timeout + IDLE_TIMEOUT_MARGIN;
	ws_server_set_limits(f->callers, &l);
}

/* ===== Readiness ===== */

static void on_readiness_check(void *arg, struct ws_server_request *req)
{
	struct ws_eio_front *f = arg;
	struct ws_server_answer a = {
		.status = ws_edge_ready(f->io->edge, ws_eio_now()) ? 200 : 503,
	};

	ws_server_answer(req, &a);
}

static void on_check_disconnect(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static const struct ws_server_ops readiness_ops = {
	.on_request = on_readiness_check,
	.on_disconnect = on_check_disconnect,
};

/* ===== Lifecycle ===== */

static struct ws_server *listen_on(struct ws_eio *io,
				   const struct ws_server_conf *c,
				   struct wp_error *err)
{
	struct ws_server *s = ws_server_new(io->loop, c);

	if (!s)
		snprintf(err->text, sizeof(err->text),
			 "cannot listen on %s (%s); choose a free address of "
			 "this machine",
			 c->address, strerror(errno));
	return s;
}

struct ws_eio_front *ws_eio_front_new(struct ws_eio *io, struct wp_error *err)
{
	struct ws_eio_front *f = ws_alloc(1, sizeof(*f));
	const struct ws_server_conf callers = {
		.ops = &caller_ops,
		.arg = f,
		.address = io->settings.callers_address,
		.max_connections =
			(unsigned)io->settings.max_fds / FDS_PER_CONNECTION,
		.max_receiving =
			io->settings.memory_max / RECEIVING_MEMORY_DIVISOR,
		.memory = &io->memory,
		.timers = io->timers,
		.now = ws_eio_now,
	};
	const struct ws_server_conf readiness = {
		.ops = &readiness_ops,
		.arg = f,
		.address = io->settings.readiness_address,
		.max_connections = READINESS_CONNECTIONS,
		.memory = &io->memory,
		.timers = io->timers,
		.now = ws_eio_now,
	};

	f->io = io;
	f->crowded_connections = callers.max_connections / CROWDED_DIVISOR;
	f->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->callers = listen_on(io, &callers, err);
	if (f->callers)
		f->readiness = listen_on(io, &readiness, err);
	if (f->readiness)
		return f;
	ws_eio_front_free(f);
	return NULL;
}

void ws_eio_front_free(struct ws_eio_front *f)
{
	struct pending_request *r;

	if (!f)
		return;
	ws_server_free(f->callers);
	ws_server_free(f->readiness);
	while ((r = f->free_requests)) {
		f->free_requests = r->next_free;
		ws_headers_free(&r->headers);
		free(r);
	}
	g_hash_table_destroy(f->pending);
	ws_headers_free(&f->answer);
	free(f);
}

size_t ws_eio_front_connections(const struct ws_eio_front *f)
{
	return ws_server_connections(f->callers);
}

void ws_eio_front_finish(struct ws_eio_front *f)
{
	ws_server_finish(f->callers);
}
