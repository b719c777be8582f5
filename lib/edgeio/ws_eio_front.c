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

/* Part of the memory that bodies may take while they arrive. */
#define ARRIVING_SHARE 4
#define MAX_CONNECTIONS_SHARE 2
/*
 * Above this part of its connections an instance closes them with its answers:
 * a closed connection is opened anew, maybe at another instance.
 */
#define CROWDED_PART 6
/* Idle time of callers' connections beyond what the configuration says. */
#define IDLE_RESERVE (1 * WS_SECOND)
#define URI_MAX ((size_t)16 * 1024)
/* One in this many plain answers is logged. */
#define LOG_EACH 64
#define READINESS_CONNECTIONS 16
/* Refused before the reducer has seen the request. */
#define LIMIT_RETRY (500 * WS_MS)

/* A request that the reducer decides on. */
struct caller {
	struct caller *next_free;
	struct ws_eio_front *front;
	struct ws_server_request *req; /* NULL: the caller has left */
	uint64_t id;
	char request_id[WS_ED_NAME_MAX];
	const char *host; /* in the request's headers */
	struct ws_headers headers; /* that go on to the server */
	unsigned sendings;
	char server[WS_ED_NAME_MAX]; /* last sent to */
};

struct ws_eio_front {
	struct ws_eio *io;
	struct ws_server *callers;
	struct ws_server *readiness;
	GHashTable *waiting; /* id -> struct caller */
	struct caller *free_callers;
	uint64_t next_id;
	uint64_t passed;
	unsigned crowded; /* connections above which answers close theirs */
	struct ws_headers answer; /* work space */
};

/* ===== Records of callers ===== */

static struct caller *take_caller(struct ws_eio_front *f,
				  struct ws_server_request *req)
{
	struct caller *r = f->free_callers;

	if (r)
		f->free_callers = r->next_free;
	else
		r = ws_alloc(1, sizeof(*r));
	r->front = f;
	r->req = req;
	r->request_id[0] = '\0';
	r->host = "";
	r->server[0] = '\0';
	r->sendings = 0;
	ws_headers_reset(&r->headers);
	req->user_data = r;
	return r;
}

static void give_caller(struct caller *r)
{
	r->next_free = r->front->free_callers;
	r->front->free_callers = r;
}

/* ===== Log ===== */

static void log_end(const struct caller *r, unsigned status,
		    const char *customer, enum ws_ed_reason reason,
		    ws_us retry_after)
{
	struct ws_eio *io = r->front->io;
	const struct ws_ed_conf *conf = ws_edge_conf(io->edge);
	ws_us now = ws_eio_now();
	struct ws_eio_request_log line = {
		.request_id = r->request_id,
		.customer = customer,
		.path = r->req->uri ? r->req->uri : "",
		.server = r->server,
		.status = (int)status,
		.reason = reason,
		.elapsed = now - r->req->started_at,
		.retry_after = retry_after,
		.evidence_age = ws_edge_evidence_age(io->edge, now),
		.config_version = conf ? conf->config_version : 0,
		.attempts = r->attempts,
		.waiting = ws_edge_waiting(io->edge),
	};

	ws_eio_log_request(&line);
}

static void on_gone(void *arg, struct ws_server_request *req)
{
	struct ws_eio_front *f = arg;
	struct caller *r = req->user_data;
	struct ws_ed_event ev = { .kind = WS_EDEV_CALLER_GONE };

	if (!r)
		return;
	g_hash_table_remove(f->waiting, &r->id);
	log_end(r, 0, ws_edge_customer(f->io->edge, r->id), WS_EDR_CALLER_GONE,
		0);
	ev.u.gone = r->id;
	ws_eio_handle_event(f->io, &ev);
	give_caller(r);
}

/* ===== Answers ===== */

static void answer(struct caller *r, struct ws_server_answer *a)
{
	struct ws_eio_front *f = r->front;

	ws_eio_metrics_answer(a->status, ws_eio_now() - r->req->started_at);
	a->close = f->io->drain_started_at ||
		   ws_server_connections(f->callers) > f->crowded;
	ws_server_answer(r->req, a);
	g_hash_table_remove(f->waiting, &r->id);
	give_caller(r);
}

static void answer_ourselves(struct caller *r, unsigned status,
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
	struct caller *r = g_hash_table_lookup(f->waiting, &id);

	if (!r)
		return;
	log_end(r, (unsigned)status, customer, reason, retry_after);
	answer_ourselves(r, (unsigned)status, retry_after, reason);
}

/* Length and connection are the server's here, so those fields are dropped. */
static void add_answers_header(struct ws_headers *h, const char *header,
			       const char *connection)
{
	const char *colon = strchr(header, ':');
	size_t len = (size_t)(colon - header);

	if (!ws_headers_is_end_to_end(header, len, connection) ||
	    (len == 14 && !strncasecmp(header, "Content-Length", len)))
		return;
	ws_headers_add(h, header, len, colon + 2, strlen(colon + 2));
}

void ws_eio_front_forward(struct ws_eio_front *f, uint64_t id,
			  const char *customer)
{
	struct caller *r = g_hash_table_lookup(f->waiting, &id);
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
		add_answers_header(&f->answer, p, connection);
	a = (struct ws_server_answer){
		.status = b->status,
		.headers = f->answer.text,
		.headers_len = f->answer.len,
		.data = b->data,
		.data_len = b->data_len,
	};
	if (r->sendings > 1 || f->passed++ % LOG_EACH == 0)
		log_end(r, b->status, customer, WS_EDR_NONE, 0);
	answer(r, &a);
}

/* Refuses before anything was given to the reducer. */
static void refuse(struct caller *r, unsigned status, ws_us retry_after,
		   enum ws_ed_reason reason)
{
	log_end(r, status, "", reason, retry_after);
	answer_ourselves(r, status, retry_after, reason);
}

/* ===== Requests ===== */

struct reading {
	const char *connection;
	const char *caller_key;
	const char *request_id;
	const char *deadline;
	const char *shard_key;
};

static bool is_named(const char *header, size_t len, const char *name)
{
	return strlen(name) == len && !strncasecmp(header, name, len);
}

static void scan_header(struct caller *r, struct reading *rd,
			const char *header, size_t len, const char *value)
{
	if (is_named(header, len, "Connection"))
		rd->connection = value;
	else if (is_named(header, len, "Host"))
		r->host = value;
	else if (is_named(header, len, WP_HEADER_CALLER_KEY))
		rd->caller_key = value;
	else if (is_named(header, len, WP_HEADER_REQUEST_ID))
		rd->request_id = value;
	else if (is_named(header, len, WP_HEADER_DEADLINE))
		rd->deadline = value;
	else if (is_named(header, len, WP_HEADER_SHARD_KEY))
		rd->shard_key = value;
}

/* Second pass: which headers go on depends on the Connection header. */
static void keep_header(struct caller *r, const char *connection,
			const char *header, size_t len, const char *value)
{
	if (is_named(header, len, "Host") || is_named(header, len, "Expect") ||
	    is_named(header, len, "Content-Length") ||
	    wp_wire_is_reserved_header(header, len) ||
	    !ws_headers_is_end_to_end(header, len, connection))
		return;
	ws_headers_add(&r->headers, header, len, value, strlen(value));
}

static void read_headers(struct caller *r, struct reading *rd)
{
	const struct ws_headers *h = &r->req->headers;
	const char *end = h->text + h->len;
	const char *p;

	for (p = h->text; p < end; p += strlen(p) + 1) {
		const char *colon = strchr(p, ':');

		scan_header(r, rd, p, (size_t)(colon - p), colon + 2);
	}
	for (p = h->text; p < end; p += strlen(p) + 1) {
		const char *colon = strchr(p, ':');

		keep_header(r, rd->connection, p, (size_t)(colon - p),
			    colon + 2);
	}
	snprintf(r->request_id, sizeof(r->request_id), "%s",
		 rd->request_id ? rd->request_id : "");
}

/* Names a request that comes again, through any instance. */
static uint64_t fingerprint(const struct caller *r, const struct reading *rd)
{
	const struct ws_server_request *q = r->req;
	uint64_t h = ws_ed_hash(0, q->method, strlen(q->method) + 1);

	h = ws_ed_hash(h, q->uri, q->uri_len + 1);
	if (rd->caller_key)
		h = ws_ed_hash(h, rd->caller_key, strlen(rd->caller_key) + 1);
	return q->body_len ? ws_ed_hash(h, q->body, q->body_len) : h;
}

static void submit(struct caller *r, const struct reading *rd)
{
	struct ws_eio_front *f = r->front;
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };
	const struct ws_ed_arrival a = {
		.id = r->id,
		.host = r->host,
		.path = r->req->uri,
		.caller_key = rd->caller_key,
		.deadline =
			rd->deadline ? wp_wire_parse_deadline(rd->deadline) : 0,
		.key = rd->shard_key ? wp_wire_parse_shard_key(rd->shard_key) :
				       -1,
		.fingerprint = fingerprint(r, rd),
		.malformed = !r->request_id[0],
		.started = r->req->started_at,
	};

	ev.u.arrival = &a;
	ws_eio_handle_event(f->io, &ev);
}

static void on_arrived(void *arg, struct ws_server_request *req)
{
	struct ws_eio_front *f = arg;
	struct caller *r = take_caller(f, req);
	struct reading rd = { NULL };

	r->id = ++f->next_id;
	g_hash_table_insert(f->waiting, &r->id, r);
	read_headers(r, &rd);
	if (req->body_dropped)
		refuse(r, 503, LIMIT_RETRY, WS_EDR_INSTANCE_FULL);
	else if (req->uri_len > URI_MAX)
		refuse(r, 400, 0, WS_EDR_BAD_REQUEST);
	else
		submit(r, &rd);
}

void ws_eio_front_send(struct ws_eio_front *f, uint64_t id, uint8_t lane,
		       uint32_t server, ws_us deadline)
{
	struct caller *r = g_hash_table_lookup(f->waiting, &id);
	const struct ws_ed_pool *pool = ws_edge_pool(f->io->edge);
	struct ws_eio_request req;

	WS_INVARIANT(r);
	r->sendings++;
	memcpy(r->server, pool->servers[server].name, sizeof(r->server));
	req = (struct ws_eio_request){
		.id = id,
		.lane = lane,
		.request_id = r->request_id,
		.method = r->req->method,
		.uri = r->req->uri,
		.host = r->host,
		.headers = r->headers.text,
		.headers_len = r->headers.len,
		.body = r->req->body,
		.body_len = r->req->body_len,
	};
	ws_eio_targets_send(f->io->targets, &req, server, deadline);
}

static const struct ws_server_ops caller_ops = {
	.on_request = on_arrived,
	.on_disconnect = on_gone,
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
		l.idle_timeout = conf->limits.idle_timeout + IDLE_RESERVE;
	ws_server_set_limits(f->callers, &l);
}

/* ===== Readiness ===== */

static void on_check(void *arg, struct ws_server_request *req)
{
	struct ws_eio_front *f = arg;
	struct ws_server_answer a = {
		.status = ws_edge_ready(f->io->edge, ws_eio_now()) ? 200 : 503,
	};

	ws_server_answer(req, &a);
}

static void on_checker_gone(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static const struct ws_server_ops check_ops = {
	.on_request = on_check,
	.on_disconnect = on_checker_gone,
};

/* ===== Life ===== */

static struct ws_server *listen_on(struct ws_eio *io,
				   const struct ws_server_conf *c,
				   struct wp_error *why)
{
	struct ws_server *s = ws_server_new(io->loop, c);

	if (!s)
		snprintf(why->text, sizeof(why->text),
			 "cannot listen on %s (%s); choose a free address of "
			 "this machine",
			 c->address, strerror(errno));
	return s;
}

struct ws_eio_front *ws_eio_front_new(struct ws_eio *io, struct wp_error *why)
{
	struct ws_eio_front *f = ws_alloc(1, sizeof(*f));
	const struct ws_server_conf callers = {
		.ops = &caller_ops,
		.arg = f,
		.address = io->settings.callers_address,
		.max_connections =
			(unsigned)io->settings.max_fds / MAX_CONNECTIONS_SHARE,
		.max_receiving = io->settings.memory_max / ARRIVING_SHARE,
		.timers = io->timers,
		.now = ws_eio_now,
	};
	const struct ws_server_conf readiness = {
		.ops = &check_ops,
		.arg = f,
		.address = io->settings.readiness_address,
		.max_connections = READINESS_CONNECTIONS,
		.timers = io->timers,
		.now = ws_eio_now,
	};

	f->io = io;
	f->crowded = callers.max_connections / CROWDED_PART;
	f->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->callers = listen_on(io, &callers, why);
	if (f->callers)
		f->readiness = listen_on(io, &readiness, why);
	if (f->readiness)
		return f;
	ws_eio_front_free(f);
	return NULL;
}

void ws_eio_front_free(struct ws_eio_front *f)
{
	struct caller *r;

	if (!f)
		return;
	ws_server_free(f->callers);
	ws_server_free(f->readiness);
	while ((r = f->free_callers)) {
		f->free_callers = r->next_free;
		ws_headers_free(&r->headers);
		free(r);
	}
	g_hash_table_destroy(f->waiting);
	ws_headers_free(&f->answer);
	free(f);
}

size_t ws_eio_front_connections(const struct ws_eio_front *f)
{
	return ws_server_connections(f->callers);
}
