#include "io/ws_front.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "codec/ws_codec.h"
#include "io/ws_answer.h"
#include "io/ws_hangup.h"
#include "io/ws_headers.h"
#include "io/ws_metrics.h"
#include "io/ws_mhd.h"
#include "io/ws_target_uri.h"

/*
 * A body above the limit is read and discarded up to this size, so that the
 * caller can receive the error response.
 */
#define DISCARD_MAX ((size_t)4 * 1024 * 1024)
/* Bodies that are being received may use a quarter of max_memory. */
#define RECEIVING_MEMORY_DIVISOR 4
#define DEADLINE_DEFAULT (2 * WS_SECOND)
#define DEADLINE_DIGITS_MAX 9
/* How often waiting callers are checked for closed connections. */
#define DISCONNECT_CHECK_PERIOD (50 * WS_MS)

enum stage {
	STAGE_NEW = 0, /* headers not checked yet */
	STAGE_BODY, /* receiving the body */
	STAGE_WAITING, /* submitted to the core */
	STAGE_ANSWERED, /* the response is ready */
	STAGE_DISCONNECTED, /* the caller has disconnected */
};

struct listener {
	struct ws_front *front;
	struct ws_mhd *mhd;
	bool internal;
};

struct request {
	struct request *next_free;
	struct listener *listener;
	struct MHD_Connection *con;
	enum stage stage;
	bool suspended;
	uint64_t id;
	ws_us started_at;
	char uri[WS_URI_MAX];
	size_t uri_len;
	char *body;
	size_t body_len;
	size_t body_cap;
	size_t received;
	bool body_dropped; /* the limit of receiving_bytes was reached */
	unsigned status;
	struct MHD_Response *response;
};

struct ws_front {
	struct ws_shell *sh;
	struct listener listeners[2];
	GHashTable *waiting; /* id -> struct request */
	struct request *free_requests;
	struct ws_headers headers; /* scratch space */
	uint64_t next_id;
	size_t n_open;
	size_t receiving_bytes; /* capacity of all body buffers */
	int timer;
	struct ws_hangup hangup; /* scratch space of find_disconnected() */
};

/* ===== Requests ===== */

static struct request *alloc_request(struct ws_front *f)
{
	struct request *r = f->free_requests;

	if (r)
		f->free_requests = r->next_free;
	else
		r = ws_alloc(1, sizeof(*r));
	f->n_open++;
	return r;
}

static void free_body(struct ws_front *f, struct request *r)
{
	f->receiving_bytes -= r->body_cap;
	free(r->body);
	r->body = NULL;
	r->body_len = 0;
	r->body_cap = 0;
}

static void release_request(struct ws_front *f, struct request *r)
{
	if (r->response)
		MHD_destroy_response(r->response);
	r->response = NULL;
	free_body(f, r);
	r->next_free = f->free_requests;
	f->free_requests = r;
	f->n_open--;
}

static void *on_begin(void *arg, const char *uri, struct MHD_Connection *con)
{
	struct listener *l = arg;
	struct request *r = alloc_request(l->front);

	r->listener = l;
	r->con = con;
	r->stage = STAGE_NEW;
	r->suspended = false;
	r->started_at = ws_shell_now();
	r->uri_len = strnlen(uri, WS_URI_MAX);
	if (r->uri_len == WS_URI_MAX)
		r->uri_len = 0;
	memcpy(r->uri, uri, r->uri_len);
	r->uri[r->uri_len] = '\0';
	r->received = 0;
	r->body_dropped = false;
	return r;
}

static void report_disconnect(struct ws_front *f, struct request *r)
{
	struct ws_event ev = { .kind = WS_EV_REQUEST_GONE };

	g_hash_table_remove(f->waiting, &r->id);
	r->stage = STAGE_DISCONNECTED;
	ev.u.request.id = r->id;
	ws_shell_handle_event(f->sh, &ev);
}

static void on_completed(void *arg, struct MHD_Connection *con, void **cls,
			 enum MHD_RequestTerminationCode code)
{
	struct listener *l = arg;
	struct request *r = *cls;

	(void)con;
	(void)code;
	if (!r)
		return;
	if (r->stage == STAGE_WAITING)
		report_disconnect(l->front, r);
	ws_metrics_request(l->front->sh->metrics, r->status,
			   ws_shell_now() - r->started_at);
	release_request(l->front, r);
	*cls = NULL;
}

/* ===== Answers ===== */

static enum MHD_Result queue_response(struct request *r)
{
	enum MHD_Result res;

	if (r->listener->front->sh->draining)
		MHD_add_response_header(r->response, "Connection", "close");
	res = MHD_queue_response(r->con, r->status, r->response);
	MHD_destroy_response(r->response);
	r->response = NULL;
	return res;
}

static void set_refusal(struct request *r, int error, uint8_t outcome,
			ws_us retry_after)
{
	r->status = (unsigned)ws_error_http_status(error);
	r->response = ws_answer_refusal(error, outcome, retry_after);
	r->stage = STAGE_ANSWERED;
	ws_metrics_refusal(r->listener->front->sh->metrics, error);
}

/* Refuses a request that was not submitted to the core. */
static enum MHD_Result refuse(struct request *r, int error)
{
	set_refusal(r, error, WS_OUT_NOT_RUN, 0);
	return queue_response(r);
}

void ws_front_reply(struct ws_front *f, uint64_t id, const struct ws_answer *a)
{
	struct request *r = g_hash_table_lookup(f->waiting, &id);

	if (!r)
		return;
	g_hash_table_remove(f->waiting, &id);
	if (a->outcome == WS_OUT_DONE) {
		r->status = a->status;
		r->response = ws_answer_payload(f->sh->payloads, a->payload);
		r->stage = STAGE_ANSWERED;
	} else {
		set_refusal(r, a->error, a->outcome, a->retry_after);
	}
	if (r->suspended)
		ws_mhd_resume(r->listener->mhd, r->con);
	r->suspended = false;
}

/* ===== Parsing ===== */

struct header_reader {
	struct ws_header_scan scan;
	struct ws_headers *forwarded;
};

static enum MHD_Result scan_header(void *arg, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct header_reader *rd = arg;

	(void)kind;
	ws_headers_scan(&rd->scan, name, value ? value : "");
	return MHD_YES;
}

/*
 * Second pass over the headers: which ones are forwarded depends on the
 * Connection header.
 */
static enum MHD_Result forward_header(void *arg, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	struct header_reader *rd = arg;

	(void)kind;
	if (value && *value && ws_headers_is_for_target(&rd->scan, name))
		ws_headers_add(rd->forwarded, name, strlen(name), value,
			       strlen(value));
	return MHD_YES;
}

static ws_us parse_deadline(const struct ws_header_scan *scan,
			    const struct ws_service *svc)
{
	ws_us limit = svc ? svc->deadline : DEADLINE_DEFAULT;
	size_t digits;
	ws_us requested;

	if (!scan->deadline)
		return limit;
	digits = strspn(scan->deadline, "0123456789");
	if (!digits || digits > DEADLINE_DIGITS_MAX || scan->deadline[digits])
		return WS_ERR_BAD_REQUEST;
	requested = strtoll(scan->deadline, NULL, 10) * WS_MS;
	return requested < limit ? requested : limit;
}

static int hash_caller_key(const struct ws_header_scan *scan, uint64_t hash[4])
{
	static const char scheme[] = "Bearer ";
	const char *key = scan->authorization;

	if (!key)
		return 0;
	if (strncasecmp(key, scheme, sizeof(scheme) - 1) != 0)
		return WS_ERR_BAD_KEY;
	key += sizeof(scheme) - 1;
	key += strspn(key, " ");
	ws_codec_caller_key_hash(key, hash);
	return 0;
}

/* The core adds the customer, which it looks up by the caller key. */
static uint64_t fingerprint(const struct ws_body *b, ws_id service)
{
	uint64_t h =
		ws_mix(service, ws_codec_hash(b->method, strlen(b->method)));

	h = ws_mix(h, ws_codec_hash(b->path, strlen(b->path)));
	return ws_mix(h, ws_codec_hash(b->data, b->data_len));
}

static int fill_call(struct ws_call *call, const struct ws_header_scan *scan,
		     const struct ws_target_uri *uri, const struct ws_body *b,
		     const struct ws_bundle *bundle, ws_us now)
{
	const struct ws_service *svc;
	ws_us left;

	call->service = ws_codec_id(uri->service);
	svc = ws_bundle_service(bundle, call->service);
	left = parse_deadline(scan, svc);
	if (left < 0)
		return (int)left;
	call->deadline = now + left;
	if (svc && svc->sharded)
		call->key = ws_codec_hash(uri->key, uri->key_len);
	call->idempotent = !strcmp(b->method, "GET") ||
			   !strcmp(b->method, "HEAD") ||
			   (svc && svc->idempotent);
	if (scan->request_id && !call->idempotent &&
	    !ws_uuid7_parse(scan->request_id, call->request_id))
		return WS_ERR_REQUEST_ID;
	call->fingerprint = fingerprint(b, call->service);
	return 0;
}

static void collect_headers(struct request *r, struct header_reader *rd)
{
	ws_headers_reset(rd->forwarded);
	MHD_get_connection_values(r->con, MHD_HEADER_KIND, scan_header, rd);
	MHD_get_connection_values(r->con, MHD_HEADER_KIND, forward_header, rd);
}

static int read_request(struct request *r, const char *method,
			struct ws_event *ev)
{
	struct ws_front *f = r->listener->front;
	struct header_reader rd = { .forwarded = &f->headers };
	const struct ws_bundle *bundle = ws_core_view(f->sh->core)->bundle;
	struct ws_target_uri uri;
	struct ws_body body = { .method = method };
	int res;

	res = ws_target_uri_parse(r->uri, &uri);
	if (ws_is_error(res))
		return res;
	collect_headers(r, &rd);
	body.path = uri.path;
	body.headers = f->headers.text;
	body.headers_len = f->headers.len;
	body.data = r->body;
	body.data_len = r->body_len;
	res = hash_caller_key(&rd.scan, ev->u.request.caller_key);
	if (ws_is_error(res))
		return res;
	res = fill_call(&ev->u.request.call, &rd.scan, &uri, &body, bundle,
			r->started_at);
	if (ws_is_error(res))
		return res;
	ev->u.request.call.payload = ws_payload_add(f->sh->payloads, &body);
	return ev->u.request.call.payload ? 0 : WS_ERR_LIMIT;
}

static enum MHD_Result submit(struct request *r, const char *method)
{
	struct ws_front *f = r->listener->front;
	struct ws_event ev = { .kind = WS_EV_REQUEST };
	int res = read_request(r, method, &ev);

	if (ws_is_error(res))
		return refuse(r, res);
	r->id = ++f->next_id;
	r->stage = STAGE_WAITING;
	g_hash_table_insert(f->waiting, &r->id, r);
	ev.u.request.id = r->id;
	ev.u.request.internal = r->listener->internal;
	ws_shell_handle_event(f->sh, &ev);
	if (r->stage == STAGE_ANSWERED)
		return queue_response(r);
	r->suspended = true;
	MHD_suspend_connection(r->con);
	return MHD_YES;
}

/* ===== Receiving ===== */

static enum MHD_Result check_headers(struct request *r)
{
	struct header_reader rd = { .forwarded = &r->listener->front->headers };
	int res;

	r->stage = STAGE_BODY;
	if (!r->uri_len)
		return refuse(r, WS_ERR_BAD_REQUEST);
	MHD_get_connection_values(r->con, MHD_HEADER_KIND, scan_header, &rd);
	res = ws_headers_check(&rd.scan, WS_REQUEST_BODY_MAX);
	if (ws_is_error(res))
		return refuse(r, res);
	return MHD_YES;
}

static void buffer_body(struct ws_front *f, struct request *r, const char *data,
			size_t len)
{
	size_t before = r->body_cap;

	if (f->receiving_bytes + len >
	    (size_t)f->sh->conf->max_memory / RECEIVING_MEMORY_DIVISOR) {
		r->body_dropped = true;
		free_body(f, r);
		return;
	}
	ws_grow(&r->body, &r->body_cap, r->body_len + len, 1);
	memcpy(r->body + r->body_len, data, len);
	r->body_len += len;
	f->receiving_bytes += r->body_cap - before;
}

static enum MHD_Result receive_body(struct request *r, const char *data,
				    size_t *len)
{
	r->received += *len;
	if (r->received > DISCARD_MAX)
		return MHD_NO;
	if (r->received <= WS_REQUEST_BODY_MAX && !r->body_dropped)
		buffer_body(r->listener->front, r, data, *len);
	*len = 0;
	return MHD_YES;
}

static enum MHD_Result on_access(void *arg, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **cls)
{
	struct request *r = *cls;

	(void)arg;
	(void)con;
	(void)url;
	(void)version;
	switch (r->stage) {
	case STAGE_NEW:
		return check_headers(r);
	case STAGE_BODY:
		if (*len)
			return receive_body(r, data, len);
		if (r->received > WS_REQUEST_BODY_MAX)
			return refuse(r, WS_ERR_TOO_LARGE);
		if (r->body_dropped)
			return refuse(r, WS_ERR_LIMIT);
		return submit(r, method);
	case STAGE_ANSWERED:
		return queue_response(r);
	default:
		return MHD_NO;
	}
}

/* ===== Disconnected callers ===== */

/* Skips requests that have only just been submitted. */
static void collect_waiting(struct ws_front *f, ws_us now)
{
	GHashTableIter it;
	gpointer value;

	ws_hangup_reset(&f->hangup);
	g_hash_table_iter_init(&it, f->waiting);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct request *r = value;

		if (now - r->started_at >= DISCONNECT_CHECK_PERIOD)
			ws_hangup_add(&f->hangup, r->con, r);
	}
}

static void find_disconnected(void *arg, ws_us now)
{
	struct ws_front *f = arg;
	size_t i;

	collect_waiting(f, now);
	if (!ws_hangup_poll(&f->hangup))
		return;
	for (i = 0; i < f->hangup.n; i++) {
		struct request *r = ws_hangup_closed_owner(&f->hangup, i);

		/* Reporting a disconnect may answer another request. */
		if (!r || r->stage != STAGE_WAITING)
			continue;
		report_disconnect(f, r);
		r->suspended = false;
		ws_mhd_resume(r->listener->mhd, r->con);
	}
}

/* ===== Lifecycle ===== */

static int open_listener(struct ws_front *f, struct listener *l,
			 const char *address, bool internal,
			 struct ws_config_error *why)
{
	struct ws_mhd_conf conf = {
		.address = address,
		.max_connections = (unsigned)f->sh->conf->max_connections,
		.handler = on_access,
		.begin = on_begin,
		.completed = on_completed,
		.arg = l,
	};

	l->front = f;
	l->internal = internal;
	l->mhd = ws_mhd_new(f->sh->loop, &conf);
	if (l->mhd)
		return 0;
	snprintf(why->text, sizeof(why->text),
		 "cannot listen on %s for callers (%s); choose a free address "
		 "of this machine",
		 address, strerror(errno));
	return WS_ERR_CONFIG;
}

struct ws_front *ws_front_new(struct ws_shell *sh, struct ws_config_error *why)
{
	struct ws_front *f = ws_alloc(1, sizeof(*f));
	int res;

	f->sh = sh;
	f->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->timer = ws_timer_every(sh->timers, ws_shell_now(),
				  DISCONNECT_CHECK_PERIOD, find_disconnected,
				  f);
	res = open_listener(f, &f->listeners[0], sh->conf->callers, false, why);
	if (!res && *sh->conf->internal)
		res = open_listener(f, &f->listeners[1], sh->conf->internal,
				    true, why);
	if (!res)
		return f;
	ws_front_free(f);
	return NULL;
}

static void resume_all(struct ws_front *f)
{
	GList *all = g_hash_table_get_values(f->waiting);
	GList *i;

	for (i = all; i; i = i->next) {
		struct request *r = i->data;

		r->stage = STAGE_DISCONNECTED;
		if (r->suspended)
			MHD_resume_connection(r->con);
	}
	g_list_free(all);
	g_hash_table_remove_all(f->waiting);
}

void ws_front_free(struct ws_front *f)
{
	struct request *r;

	if (!f)
		return;
	ws_timer_cancel(f->sh->timers, f->timer);
	resume_all(f);
	ws_mhd_free(f->listeners[0].mhd);
	ws_mhd_free(f->listeners[1].mhd);
	while ((r = f->free_requests)) {
		f->free_requests = r->next_free;
		free(r);
	}
	g_hash_table_destroy(f->waiting);
	ws_headers_free(&f->headers);
	ws_hangup_free(&f->hangup);
	free(f);
}

size_t ws_front_open_requests(const struct ws_front *f)
{
	return f->n_open;
}

size_t ws_front_connections(const struct ws_front *f)
{
	size_t n = ws_mhd_connections(f->listeners[0].mhd);

	if (f->listeners[1].mhd)
		n += ws_mhd_connections(f->listeners[1].mhd);
	return n;
}
