#include "edgeio/ws_eio_front.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/ws_hist.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_metrics.h"
#include "edgeio/ws_eio_targets.h"
#include "io/ws_hangup.h"
#include "io/ws_headers.h"
#include "io/ws_mhd.h"
#include "platform/wp_wire.h"

/* How often callers that wait are checked for having gone away. */
#define GONE_PERIOD (100 * WS_MS)
/* Part of the memory that bodies may take while they arrive. */
#define ARRIVING_SHARE 4
/* Header fields of a request and of its answer. */
#define CONNECTION_MEMORY ((size_t)36 * 1024)
#define MAX_CONNECTIONS_SHARE 2
#define CROWDED_PART 6
/* Idle time of callers' connections beyond what the configuration says. */
#define IDLE_RESERVE (1 * WS_SECOND)
#define URI_MAX ((size_t)16 * 1024)
/* One in this many plain answers is logged. */
#define LOG_EACH 64

enum stage {
	STAGE_NEW = 0, /* headers not looked at yet */
	STAGE_BODY, /* body arriving */
	STAGE_WAITING, /* given to the reducer */
	STAGE_ANSWERED, /* the response is known */
	STAGE_GONE, /* the caller has closed the connection */
};

struct caller {
	struct caller *next_free;
	struct ws_eio_front *front;
	struct MHD_Connection *con;
	enum stage stage;
	bool suspended;
	bool no_room; /* the bound of arriving bodies was reached */
	uint64_t id;
	ws_us started;
	char *uri;
	char *body;
	size_t body_len;
	size_t body_cap;
	char method[16];
	char request_id[WS_ED_NAME_MAX];
	char host[256];
	struct ws_headers headers; /* that go on to the server */
	unsigned sendings;
	char server[WS_ED_NAME_MAX]; /* last sent to */
	unsigned status;
	struct MHD_Response *response;
};

struct ws_eio_front {
	struct ws_eio *io;
	struct ws_mhd *callers;
	struct ws_mhd *readiness;
	GHashTable *waiting; /* id -> struct caller */
	struct caller *free_callers;
	uint64_t next_id;
	uint64_t passed;
	unsigned crowded; /* connections above which answers close theirs */
	size_t arriving; /* bytes of bodies not yet given to the reducer */
	int timer;
	struct ws_hangup hangup; /* work space of find_gone() */
};

/* ===== Records of callers ===== */

static void drop_body(struct caller *r)
{
	r->front->arriving -= r->body_cap;
	free(r->body);
	r->body = NULL;
	r->body_len = 0;
	r->body_cap = 0;
}

static struct caller *take_caller(struct ws_eio_front *f)
{
	struct caller *r = f->free_callers;

	if (r)
		f->free_callers = r->next_free;
	else
		r = ws_alloc(1, sizeof(*r));
	r->front = f;
	return r;
}

static void give_caller(struct caller *r)
{
	if (r->response)
		MHD_destroy_response(r->response);
	r->response = NULL;
	drop_body(r);
	free(r->uri);
	r->uri = NULL;
	r->next_free = r->front->free_callers;
	r->front->free_callers = r;
}

static void set_idle_timeout(struct ws_eio_front *f, struct MHD_Connection *con)
{
	const struct ws_ed_conf *conf = ws_edge_conf(f->io->edge);

	if (conf && conf->limits.idle_timeout)
		MHD_set_connection_option(
			con, MHD_CONNECTION_OPTION_TIMEOUT,
			(unsigned)((conf->limits.idle_timeout + IDLE_RESERVE) /
				   WS_SECOND));
}

static void *on_begin(void *arg, const char *uri, struct MHD_Connection *con)
{
	struct ws_eio_front *f = arg;
	struct caller *r = take_caller(f);

	r->con = con;
	r->stage = STAGE_NEW;
	r->suspended = false;
	r->no_room = false;
	r->started = ws_eio_now();
	r->uri = strlen(uri) < URI_MAX ? g_strdup(uri) : NULL;
	r->request_id[0] = '\0';
	r->server[0] = '\0';
	r->sendings = 0;
	r->status = 0;
	ws_headers_reset(&r->headers);
	set_idle_timeout(f, con);
	return r;
}

/* ===== Log ===== */

static void log_end(struct caller *r, const char *customer,
		    enum ws_ed_reason reason, ws_us retry_after)
{
	struct ws_eio *io = r->front->io;
	const struct ws_ed_conf *conf = ws_edge_conf(io->edge);
	ws_us now = ws_eio_now();
	struct ws_eio_request_line line = {
		.request_id = r->request_id,
		.customer = customer,
		.path = r->uri ? r->uri : "",
		.server = r->server,
		.status = (int)r->status,
		.reason = reason,
		.spent = now - r->started,
		.retry_after = retry_after,
		.evidence_age = ws_edge_evidence_age(io->edge, now),
		.version = conf ? conf->version : 0,
		.sendings = r->sendings,
		.waiting = ws_edge_waiting(io->edge),
	};

	ws_eio_log_request(&line);
}

static void report_gone(struct ws_eio_front *f, struct caller *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_GONE, .u.gone = r->id };

	g_hash_table_remove(f->waiting, &r->id);
	r->stage = STAGE_GONE;
	log_end(r, ws_edge_customer(f->io->edge, r->id), WS_EDR_CALLER_GONE, 0);
	ws_eio_feed(f->io, &ev);
}

static void on_completed(void *arg, struct MHD_Connection *con, void **cls,
			 enum MHD_RequestTerminationCode code)
{
	struct ws_eio_front *f = arg;
	struct caller *r = *cls;

	(void)con;
	(void)code;
	if (!r)
		return;
	if (r->stage == STAGE_WAITING)
		report_gone(f, r);
	if (r->status)
		ws_eio_metrics_answer(r->status, ws_eio_now() - r->started);
	give_caller(r);
	*cls = NULL;
}

/* ===== Answers ===== */

static enum MHD_Result queue_response(struct caller *r)
{
	enum MHD_Result res;

	/* A closed connection is opened anew, maybe at another instance. */
	if (r->front->io->drain_started ||
	    ws_mhd_connections(r->front->callers) > r->front->crowded)
		MHD_add_response_header(r->response, "Connection", "close");
	res = MHD_queue_response(r->con, r->status, r->response);
	MHD_destroy_response(r->response);
	r->response = NULL;
	return res;
}

/* The response of a request that was given to the reducer is known. */
static void finish(struct ws_eio_front *f, struct caller *r)
{
	g_hash_table_remove(f->waiting, &r->id);
	r->stage = STAGE_ANSWERED;
	if (r->suspended)
		ws_mhd_resume(f->callers, r->con);
	r->suspended = false;
}

static void build_reply(struct caller *r, int status, ws_us retry_after,
			enum ws_ed_reason reason)
{
	char text[128];
	char after[24];

	snprintf(text, sizeof(text), "{\"error\":\"%s\"}\n",
		 ws_ed_reason_name(reason));
	r->status = (unsigned)status;
	r->response = MHD_create_response_from_buffer(strlen(text), text,
						      MHD_RESPMEM_MUST_COPY);
	WS_INVARIANT(r->response);
	MHD_add_response_header(r->response, "Content-Type",
				"application/json");
	if (!retry_after)
		return;
	snprintf(after, sizeof(after), "%.3f",
		 (double)retry_after / (double)WS_SECOND);
	MHD_add_response_header(r->response, "Retry-After", after);
}

void ws_eio_front_reply(struct ws_eio_front *f, uint64_t id,
			const char *customer, int status, ws_us retry_after,
			enum ws_ed_reason reason)
{
	struct caller *r = g_hash_table_lookup(f->waiting, &id);

	if (!r)
		return;
	build_reply(r, status, retry_after, reason);
	log_end(r, customer, reason, retry_after);
	finish(f, r);
}

static void add_answers_header(struct caller *r, const char *header,
			       const char *connection)
{
	const char *colon = strchr(header, ':');
	size_t len = (size_t)(colon - header);
	char name[256];

	if (len >= sizeof(name) || !colon[2] ||
	    !ws_headers_end_to_end(header, len, connection))
		return;
	memcpy(name, header, len);
	name[len] = '\0';
	if (!strcasecmp(name, "Content-Length") || !strcasecmp(name, "Date"))
		return;
	MHD_add_response_header(r->response, name, colon + 2);
}

void ws_eio_front_pass(struct ws_eio_front *f, uint64_t id,
		       const char *customer)
{
	struct caller *r = g_hash_table_lookup(f->waiting, &id);
	const struct ws_body *b = ws_eio_targets_answer(f->io->targets);
	const char *connection;
	const char *p;

	if (!r)
		return;
	WS_INVARIANT(b);
	r->status = b->status;
	r->response = MHD_create_response_from_buffer(
		b->data_len, (void *)(uintptr_t)b->data, MHD_RESPMEM_MUST_COPY);
	WS_INVARIANT(r->response);
	connection = ws_body_header(b, "Connection");
	for (p = b->headers; p < b->headers + b->headers_len;
	     p += strlen(p) + 1)
		add_answers_header(r, p, connection);
	if (r->sendings > 1 || f->passed++ % LOG_EACH == 0)
		log_end(r, customer, WS_EDR_NONE, 0);
	finish(f, r);
}

/* Refuses before anything was given to the reducer. */
static enum MHD_Result refuse(struct caller *r, int status,
			      enum ws_ed_reason reason)
{
	build_reply(r, status, status == 503 ? WS_SECOND / 2 : 0, reason);
	log_end(r, "", reason, 0);
	r->stage = STAGE_ANSWERED;
	return queue_response(r);
}

/* ===== Requests ===== */

struct reading {
	struct caller *caller;
	const char *connection;
	const char *caller_key;
	const char *request_id;
	const char *deadline;
	const char *shard_key;
	const char *host;
	unsigned lengths;
	unsigned encodings;
};

static enum MHD_Result scan_header(void *arg, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct reading *rd = arg;

	(void)kind;
	if (!value)
		value = "";
	if (!strcasecmp(name, "Connection"))
		rd->connection = value;
	else if (!strcasecmp(name, "Host"))
		rd->host = value;
	else if (!strcasecmp(name, "Content-Length"))
		rd->lengths++;
	else if (!strcasecmp(name, "Transfer-Encoding"))
		rd->encodings++;
	else if (!strcasecmp(name, WP_CALLER_KEY))
		rd->caller_key = value;
	else if (!strcasecmp(name, WP_REQUEST_ID))
		rd->request_id = value;
	else if (!strcasecmp(name, WP_DEADLINE))
		rd->deadline = value;
	else if (!strcasecmp(name, WP_SHARD_KEY))
		rd->shard_key = value;
	return MHD_YES;
}

/* Second pass: which headers go on depends on the Connection header. */
static enum MHD_Result keep_header(void *arg, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct reading *rd = arg;
	size_t len = strlen(name);

	(void)kind;
	if (!strcasecmp(name, "Host") || !strcasecmp(name, "Content-Length") ||
	    !strcasecmp(name, "Expect") || wp_wire_is_own(name) ||
	    !ws_headers_end_to_end(name, len, rd->connection))
		return MHD_YES;
	ws_headers_add(&rd->caller->headers, name, len, value ? value : "",
		       value ? strlen(value) : 0);
	return MHD_YES;
}

static void read_caller(struct caller *r, struct reading *rd)
{
	MHD_get_connection_values(r->con, MHD_HEADER_KIND, scan_header, rd);
	MHD_get_connection_values(r->con, MHD_HEADER_KIND, keep_header, rd);
	snprintf(r->request_id, sizeof(r->request_id), "%s",
		 rd->request_id ? rd->request_id : "");
	snprintf(r->host, sizeof(r->host), "%s", rd->host ? rd->host : "");
}

static enum MHD_Result submit(struct caller *r, const char *method)
{
	struct ws_eio_front *f = r->front;
	struct reading rd = { .caller = r };
	struct ws_ed_arrival a = { .key = -1 };
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };

	snprintf(r->method, sizeof(r->method), "%s", method);
	read_caller(r, &rd);
	r->id = ++f->next_id;
	a.id = r->id;
	a.host = r->host;
	a.path = r->uri;
	a.caller_key = rd.caller_key;
	a.deadline = rd.deadline ? wp_wire_deadline(rd.deadline) : 0;
	a.key = rd.shard_key ? wp_wire_shard_key(rd.shard_key) : -1;
	a.bad = !r->request_id[0];
	a.started = r->started;
	r->stage = STAGE_WAITING;
	g_hash_table_insert(f->waiting, &r->id, r);
	ev.u.arrival = &a;
	ws_eio_feed(f->io, &ev);
	if (r->stage == STAGE_ANSWERED)
		return queue_response(r);
	r->suspended = true;
	MHD_suspend_connection(r->con);
	return MHD_YES;
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
		.method = r->method,
		.uri = r->uri,
		.host = r->host,
		.headers = r->headers.text,
		.headers_len = r->headers.len,
		.body = r->body,
		.body_len = r->body_len,
	};
	ws_eio_targets_send(f->io->targets, &req, server, deadline);
}

/* ===== Arrival ===== */

static enum MHD_Result check_headers(struct caller *r)
{
	struct reading rd = { .caller = r };

	r->stage = STAGE_BODY;
	if (!r->uri)
		return refuse(r, 400, WS_EDR_BAD_REQUEST);
	MHD_get_connection_values(r->con, MHD_HEADER_KIND, scan_header, &rd);
	/* Ambiguous lengths are how a request is smuggled in another one. */
	if (rd.lengths > 1 || rd.encodings > 1 || (rd.lengths && rd.encodings))
		return refuse(r, 400, WS_EDR_BAD_REQUEST);
	return MHD_YES;
}

static enum MHD_Result take_body(struct caller *r, const char *data,
				 size_t *len)
{
	struct ws_eio_front *f = r->front;
	size_t before = r->body_cap;

	if (!r->no_room &&
	    f->arriving + *len > f->io->set.memory / ARRIVING_SHARE) {
		r->no_room = true;
		drop_body(r);
	}
	if (!r->no_room) {
		ws_grow(&r->body, &r->body_cap, r->body_len + *len, 1);
		memcpy(r->body + r->body_len, data, *len);
		r->body_len += *len;
		f->arriving += r->body_cap - before;
	}
	*len = 0;
	return MHD_YES;
}

static enum MHD_Result on_access(void *arg, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **cls)
{
	struct caller *r = *cls;

	(void)arg;
	(void)con;
	(void)url;
	(void)version;
	switch (r->stage) {
	case STAGE_NEW:
		return check_headers(r);
	case STAGE_BODY:
		if (*len)
			return take_body(r, data, len);
		if (r->no_room)
			return refuse(r, 503, WS_EDR_LIMIT);
		return submit(r, method);
	case STAGE_ANSWERED:
		return queue_response(r);
	default:
		return MHD_NO;
	}
}

/* ===== Callers that go away ===== */

/* Requests that have waited for long. */
static void collect_waiting(struct ws_eio_front *f, ws_us now)
{
	GHashTableIter it;
	gpointer value;

	ws_hangup_reset(&f->hangup);
	g_hash_table_iter_init(&it, f->waiting);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct caller *r = value;

		if (now - r->started >= GONE_PERIOD)
			ws_hangup_add(&f->hangup, r->con, r);
	}
}

static void find_gone(void *arg, ws_us now)
{
	struct ws_eio_front *f = arg;
	size_t i;

	collect_waiting(f, now);
	if (!ws_hangup_poll(&f->hangup))
		return;
	for (i = 0; i < f->hangup.n; i++) {
		struct caller *r = ws_hangup_item(&f->hangup, i);

		/* Ending one request may have answered another one. */
		if (!r || r->stage != STAGE_WAITING)
			continue;
		report_gone(f, r);
		r->suspended = false;
		ws_mhd_resume(f->callers, r->con);
	}
}

/* ===== Readiness and metrics ===== */

static enum MHD_Result on_check(void *arg, struct MHD_Connection *con,
				const char *url, const char *method,
				const char *version, const char *data,
				size_t *len, void **cls)
{
	struct ws_eio_front *f = arg;
	bool ready = ws_edge_ready(f->io->edge, ws_eio_now());
	struct MHD_Response *response;
	enum MHD_Result res;

	(void)url;
	(void)method;
	(void)version;
	(void)data;
	(void)cls;
	*len = 0;
	response =
		MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
	res = MHD_queue_response(con, ready ? 200 : 503, response);
	MHD_destroy_response(response);
	return res;
}

static void *no_begin(void *arg, const char *uri, struct MHD_Connection *con)
{
	(void)arg;
	(void)uri;
	(void)con;
	return NULL;
}

static void no_completed(void *arg, struct MHD_Connection *con, void **cls,
			 enum MHD_RequestTerminationCode code)
{
	(void)arg;
	(void)con;
	(void)cls;
	(void)code;
}

/* ===== Life ===== */

static struct ws_mhd *listen_on(struct ws_eio *io, const struct ws_mhd_conf *c,
				struct wp_error *why)
{
	struct ws_mhd *m = ws_mhd_new(io->loop, c);

	if (!m)
		snprintf(why->text, sizeof(why->text),
			 "cannot listen on %s (%s); choose a free address of "
			 "this machine",
			 c->address, strerror(errno));
	return m;
}

struct ws_eio_front *ws_eio_front_new(struct ws_eio *io, struct wp_error *why)
{
	struct ws_eio_front *f = ws_alloc(1, sizeof(*f));
	const struct ws_mhd_conf callers = {
		.address = io->set.callers,
		.max_connections =
			(unsigned)io->set.max_fds / MAX_CONNECTIONS_SHARE,
		.connection_memory = CONNECTION_MEMORY,
		.handler = on_access,
		.begin = on_begin,
		.completed = on_completed,
		.arg = f,
	};
	const struct ws_mhd_conf readiness = {
		.address = io->set.readiness,
		.max_connections = 16,
		.handler = on_check,
		.begin = no_begin,
		.completed = no_completed,
		.arg = f,
	};

	f->io = io;
	f->crowded = callers.max_connections / CROWDED_PART;
	f->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->timer = ws_timer_every(io->timers, ws_eio_now(), GONE_PERIOD,
				  find_gone, f);
	f->callers = listen_on(io, &callers, why);
	if (f->callers)
		f->readiness = listen_on(io, &readiness, why);
	if (f->readiness)
		return f;
	ws_eio_front_free(f);
	return NULL;
}

static void resume_all(struct ws_eio_front *f)
{
	GList *all = g_hash_table_get_values(f->waiting);
	GList *i;

	for (i = all; i; i = i->next) {
		struct caller *r = i->data;

		r->stage = STAGE_GONE;
		if (r->suspended)
			MHD_resume_connection(r->con);
	}
	g_list_free(all);
	g_hash_table_remove_all(f->waiting);
}

void ws_eio_front_free(struct ws_eio_front *f)
{
	struct caller *r;

	if (!f)
		return;
	ws_timer_cancel(f->io->timers, f->timer);
	resume_all(f);
	ws_mhd_free(f->callers);
	ws_mhd_free(f->readiness);
	while ((r = f->free_callers)) {
		f->free_callers = r->next_free;
		ws_headers_free(&r->headers);
		free(r);
	}
	g_hash_table_destroy(f->waiting);
	ws_hangup_free(&f->hangup);
	free(f);
}

size_t ws_eio_front_connections(const struct ws_eio_front *f)
{
	return ws_mhd_connections(f->callers);
}

void ws_eio_front_quiesce(struct ws_eio_front *f)
{
	ws_mhd_quiesce(f->callers);
}
