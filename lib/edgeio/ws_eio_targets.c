#include "edgeio/ws_eio_targets.h"

#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "io/ws_headers.h"
#include "platform/wp_wire.h"

/*
 * An answer is buffered completely before it is forwarded. A single one may
 * take this fraction (1/N) of the memory; see ws_eio.memory for all together.
 */
#define ANSWER_MEMORY_DIVISOR 16
/* A grant without an answer within this time is retried. */
#define GRANT_TIMEOUT (700 * WS_MS)
/* Longer, as a release waits for requests that run on the keys. */
#define RELEASE_TIMEOUT (3 * WS_SECOND)
/* Key calls reuse connections that have been idle for at most this time. */
#define KEY_CALL_IDLE_MAX (4 * WS_SECOND)
#define KEY_ANSWER_MAX ((size_t)64 * 1024)
#define KEY_BODY_MAX 256

struct attempt {
	struct ws_eio_targets *targets;
	struct ws_http_call *http;
	uint64_t request;
	uint8_t lane;
	uint32_t server; /* handle in the pool */
	uint64_t key; /* in ws_eio_targets.attempts */
	char *request_id;
	struct curl_slist *headers;
	char *url;
	ws_eio_send_fn before_send;
	enum ws_eio_send send;
	ws_us started;
};

struct key_call {
	struct ws_eio_targets *targets;
	struct ws_http_call *http;
	struct curl_slist *headers;
	uint64_t ref;
	bool grant;
	ws_id server;
	int64_t started_ms;
	char url[2 * WS_ED_NAME_MAX];
	char body[KEY_BODY_MAX];
};

struct ws_eio_targets {
	struct ws_eio *io;
	GHashTable *attempts; /* attempt_key() -> struct attempt */
	GHashTable *key_calls; /* set of struct key_call */
	const struct ws_body *answer;
};

/* ===== Requests ===== */

static void add_header(struct curl_slist **list, const char *name,
		       const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	*list = curl_slist_append(*list, line);
	WS_INVARIANT(*list);
	g_free(line);
}

/* For a header without a value libcurl requires "Name;". */
static void add_caller_headers(struct curl_slist **list,
			       const struct ws_eio_request *r, bool *accept,
			       bool *type)
{
	const char *p = r->headers;
	const char *end = p + r->headers_len;

	for (; p < end; p += strlen(p) + 1) {
		const char *colon = strchr(p, ':');
		size_t len = (size_t)(colon - p);

		*accept |= len == 6 && !strncasecmp(p, "Accept", len);
		*type |= len == 12 && !strncasecmp(p, "Content-Type", len);
		if (colon[2]) {
			*list = curl_slist_append(*list, p);
		} else {
			char *line = g_strdup_printf("%.*s;", (int)len, p);

			*list = curl_slist_append(*list, line);
			g_free(line);
		}
		WS_INVARIANT(*list);
	}
}

static struct curl_slist *build_headers(struct ws_eio_targets *t,
					const struct ws_eio_request *r,
					const char *server, ws_us left)
{
	const char *customer = ws_edge_customer(t->io->edge, r->id);
	struct curl_slist *list = NULL;
	bool accept = false;
	bool type = false;
	char ms[24];

	add_header(&list, "Host", r->host);
	add_caller_headers(&list, r, &accept, &type);
	/* "Name:" suppresses a header that libcurl adds by default. */
	if (!accept)
		list = curl_slist_append(list, "Accept:");
	if (!type)
		list = curl_slist_append(list, "Content-Type:");
	list = curl_slist_append(list, "Expect:");
	WS_INVARIANT(list);
	snprintf(ms, sizeof(ms), "%" PRId64, left / WS_MS);
	add_header(&list, WP_HEADER_REQUEST_ID, r->request_id);
	add_header(&list, WP_HEADER_DEADLINE, ms);
	add_header(&list, WP_HEADER_TARGET, server);
	if (*customer)
		add_header(&list, WP_HEADER_CUSTOMER, customer);
	return list;
}

static uint64_t attempt_key(uint64_t request, uint8_t lane)
{
	return request << 1 | lane;
}

static void free_attempt(struct attempt *a)
{
	curl_slist_free_all(a->headers);
	g_free(a->url);
	g_free(a->request_id);
	free(a);
}

enum ws_ed_end ws_eio_targets_end(const char *request_id,
				  const struct ws_http_result *res)
{
	switch (res->outcome) {
	case WS_HTTP_NOT_SENT:
		return WS_ED_END_NOT_SENT;
	case WS_HTTP_WITHDRAWN:
		return WS_ED_END_WITHDRAWN;
	case WS_HTTP_TIMEOUT:
		return WS_ED_END_TIMEOUT;
	case WS_HTTP_BROKEN:
#ifdef WS_MUTANT_LOST_IS_NOT_SENT
		return WS_ED_END_NOT_SENT;
#endif
		return WS_ED_END_CONNECTION_LOST;
	default:
		break;
	}
#ifndef WS_MUTANT_ANSWER_WITHOUT_ID
	if (!wp_wire_answers_request(&res->answer, request_id))
		return WS_ED_END_CONNECTION_LOST;
#endif
	if (wp_wire_not_run(&res->answer))
		return WS_ED_END_SHED;
#ifdef WS_MUTANT_STATUS_WITHOUT_STATEMENT
	if (wp_wire_promises_not_run(res->answer.status))
		return WS_ED_END_SHED;
#endif
	/* The caller would take the status for a statement that it lacks. */
	if (wp_wire_promises_not_run(res->answer.status))
		return WS_ED_END_CONNECTION_LOST;
	return res->answer.status >= 500 ? WS_ED_END_FAILED : WS_ED_END_OK;
}

static bool before_send(void *arg)
{
	struct attempt *a = arg;

	if (a->before_send)
		a->send = a->before_send(a->targets->io, a->request, a->server);
	return a->send == WS_EIO_SEND;
}

static void on_attempt_done(void *arg, const struct ws_http_result *res)
{
	struct attempt *a = arg;
	struct ws_eio_targets *t = a->targets;
	struct ws_ed_event ev = { .kind = WS_EDEV_REQUEST_ENDED };

	g_hash_table_steal(t->attempts, &a->key);
	if (a->send == WS_EIO_SEND_CALLER_LEFT) {
		free_attempt(a);
		return;
	}
	ev.u.ending.request = a->request;
	ev.u.ending.lane = a->lane;
	ev.u.ending.end = ws_eio_targets_end(a->request_id, res);
	ev.u.ending.latency = ws_eio_now() - a->started;
	if (res->outcome == WS_HTTP_DONE) {
		ev.u.ending.status = res->answer.status;
		ev.u.ending.answer_len = res->answer.data_len;
		ev.u.ending.not_owner = wp_wire_misdirected(&res->answer);
		wp_wire_parse_report(&res->answer, a->request_id,
				     &ev.u.ending.report);
		if (ev.u.ending.end == WS_ED_END_CONNECTION_LOST)
			ws_http_disconnect(a->http);
	}
	t->answer = res->outcome == WS_HTTP_DONE ? &res->answer : NULL;
	ws_eio_handle_event(t->io, &ev);
	t->answer = NULL;
	free_attempt(a);
}

void ws_eio_targets_send(struct ws_eio_targets *t,
			 const struct ws_eio_request *r, uint32_t server,
			 ws_us deadline)
{
	const struct ws_ed_server *to =
		&ws_edge_pool(t->io->edge)->servers[server];
	struct attempt *a = ws_alloc(1, sizeof(*a));
	ws_us now = ws_eio_now();
	ws_us left = deadline - now;
	struct ws_http_request req = {
		.method = r->method,
		.data = r->body,
		.data_len = r->body_len,
		.timeout = left > WS_MS ? left : WS_MS,
		.max_answer =
			t->io->settings.memory_max / ANSWER_MEMORY_DIVISOR,
		.max_idle_time = ws_ed_pool_idle_limit(to),
		/* A kept one may carry the answer to the earlier send again. */
		.new_connection = r->resent,
		.allow_unframed = true,
		.before_send = before_send,
		.done = on_attempt_done,
		.arg = a,
	};

	a->targets = t;
	a->request = r->id;
	a->lane = r->lane;
	a->server = server;
	a->before_send = r->before_send;
	a->send = WS_EIO_SEND;
	a->key = attempt_key(r->id, r->lane);
	a->started = now;
	a->request_id = g_strdup(r->request_id);
	a->url = g_strdup_printf("http://%s/", to->address);
	a->headers = build_headers(t, r, to->name, req.timeout);
	req.url = a->url;
	req.target = r->uri;
	req.headers = a->headers;
	a->http = ws_http_start(t->io->http, &req);
	g_hash_table_insert(t->attempts, &a->key, a);
}

void ws_eio_targets_cancel(struct ws_eio_targets *t, uint64_t request,
			   uint8_t lane)
{
	uint64_t key = attempt_key(request, lane);
	struct attempt *a = g_hash_table_lookup(t->attempts, &key);

	if (!a)
		return;
	g_hash_table_steal(t->attempts, &key);
	ws_http_cancel(a->http);
	free_attempt(a);
}

/* ===== Keys ===== */

/*
 * Answers to key calls echo no id. A connection is closed after any other
 * answer than 200, so that on a kept one only a 200 can be a late duplicate.
 */
static enum ws_ed_call_result key_call_result(const struct ws_http_result *res)
{
	if (res->outcome == WS_HTTP_NOT_SENT)
		return WS_EDC_NOT_SENT;
	if (res->outcome != WS_HTTP_DONE ||
	    !wp_wire_is_key_answer(&res->answer))
		return WS_EDC_FAILED;
	if (res->answer.status == 200)
		return WS_EDC_DONE;
	if (wp_wire_misdirected(&res->answer))
		return WS_EDC_MISDIRECTED;
	return res->answer.status == 409 ? WS_EDC_FENCED : WS_EDC_FAILED;
}

static void free_key_call(struct key_call *c)
{
	g_hash_table_remove(c->targets->key_calls, c);
	curl_slist_free_all(c->headers);
	free(c);
}

static void on_key_call_done(void *arg, const struct ws_http_result *res)
{
	struct key_call *c = arg;
	struct ws_ed_event ev = { .kind = WS_EDEV_KEY_CALLED };

	ev.u.key_called.ref = c->ref;
	ev.u.key_called.end = key_call_result(res);
	ev.u.key_called.handover = "";
	ev.u.key_called.server = c->server;
	ev.u.key_called.started_ms = c->started_ms;
	/* True also of a late duplicate: a server that leaves does not stay. */
	ev.u.key_called.leaving = res->outcome == WS_HTTP_DONE &&
				  wp_wire_is_key_answer(&res->answer) &&
				  wp_wire_states_leaving(&res->answer);
	if (res->outcome == WS_HTTP_DONE && ev.u.key_called.end != WS_EDC_DONE)
		ws_http_disconnect(c->http);
	if (ev.u.key_called.end == WS_EDC_DONE && !c->grant)
		ev.u.key_called.handover = wp_wire_handover_token(&res->answer);
	ws_eio_handle_event(c->targets->io, &ev);
	free_key_call(c);
}

void ws_eio_targets_start_key_call(struct ws_eio_targets *t,
				   const struct ws_ed_key_call *call,
				   bool grant)
{
	struct key_call *c = ws_alloc(1, sizeof(*c));
	struct ws_http_request req = {
		.url = c->url,
		.method = "POST",
		.data = c->body,
		.timeout = grant ? GRANT_TIMEOUT : RELEASE_TIMEOUT,
		.max_answer = KEY_ANSWER_MAX,
		.max_idle_time = KEY_CALL_IDLE_MAX,
		/*
		 * A late duplicate of the answer to a grant must not be taken
		 * for the answer to a release: the keys would move to another
		 * server while their holder works on them.
		 */
		.new_connection = !grant,
		.allow_unframed = true,
		.done = on_key_call_done,
		.arg = c,
	};

	c->targets = t;
	c->ref = call->ref;
	c->grant = grant;
	c->server = call->server;
	c->started_ms = call->started_ms;
	snprintf(c->url, sizeof(c->url), "http://%s%s", call->address,
		 grant ? wp_wire_grant_path() : wp_wire_release_path());
	if (grant)
		wp_wire_grant_body(call, c->body, sizeof(c->body));
	else
		wp_wire_release_body(call, c->body, sizeof(c->body));
	req.data_len = strlen(c->body);
	/* Another server that now has this address must refuse the call. */
	add_header(&c->headers, WP_HEADER_TARGET, call->name);
	add_header(&c->headers, "Content-Type", "application/json");
	req.headers = c->headers;
	g_hash_table_add(t->key_calls, c);
	c->http = ws_http_start(t->io->http, &req);
}

/* ===== Lifecycle ===== */

struct ws_eio_targets *ws_eio_targets_new(struct ws_eio *io)
{
	struct ws_eio_targets *t = ws_alloc(1, sizeof(*t));

	t->io = io;
	t->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->key_calls = g_hash_table_new(NULL, NULL);
	return t;
}

void ws_eio_targets_free(struct ws_eio_targets *t)
{
	GList *all;
	GList *i;

	if (!t)
		return;
	all = g_hash_table_get_values(t->attempts);
	for (i = all; i; i = i->next) {
		struct attempt *a = i->data;

		ws_http_cancel(a->http);
		free_attempt(a);
	}
	g_list_free(all);
	all = g_hash_table_get_keys(t->key_calls);
	for (i = all; i; i = i->next) {
		ws_http_cancel(((struct key_call *)i->data)->http);
		free_key_call(i->data);
	}
	g_list_free(all);
	g_hash_table_destroy(t->key_calls);
	g_hash_table_destroy(t->attempts);
	free(t);
}

const struct ws_body *ws_eio_targets_answer(const struct ws_eio_targets *t)
{
	return t->answer;
}

size_t ws_eio_targets_open_attempts(const struct ws_eio_targets *t)
{
	return g_hash_table_size(t->attempts);
}
