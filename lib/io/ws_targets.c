#include "io/ws_targets.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"
#include "io/ws_attempt.h"

#define ANSWER_MAX ((size_t)4 * 1024 * 1024)
#define CONTROL_ANSWER_MAX ((size_t)64 * 1024)
/* Below the 400 ms within which the core expects the result of a grant. */
#define CONTROL_TIMEOUT (380 * WS_MS)
#define URL_MAX 8448

struct attempt {
	struct ws_targets *owner;
	struct attempt *next_free;
	struct ws_http_call *call;
	uint64_t id;
	ws_id target;
	ws_us started;
	ws_payload payload;
	struct ws_attempt_head head;
};

/* A health probe or a grant. */
struct control_call {
	struct ws_targets *owner;
	struct ws_http_call *call;
	ws_id target;
	ws_us started;
	ws_offset as_of; /* grants */
	bool grant;
	char *text; /* body of a grant */
};

struct ws_targets {
	struct ws_shell *sh;
	GHashTable *attempts; /* id -> struct attempt */
	GHashTable *control_calls; /* set of struct control_call */
	GHashTable *open_per_target; /* target id -> number of open attempts */
	struct attempt *free_attempts;
	struct curl_slist *json_headers;
};

/* ===== Connection limit of each target ===== */

static unsigned open_attempts(struct ws_targets *t, ws_id target)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(t->open_per_target, &target));
}

static void add_open(struct ws_targets *t, ws_id target, int change)
{
	unsigned n = open_attempts(t, target) + (unsigned)change;

	if (!n) {
		g_hash_table_remove(t->open_per_target, &target);
		return;
	}
	g_hash_table_insert(t->open_per_target,
			    g_memdup2(&target, sizeof(target)),
			    GUINT_TO_POINTER(n));
}

/*
 * Limits the connections to a target by limiting its open attempts: libcurl
 * only opens a connection if no idle one can be reused.
 */
static bool is_full(struct ws_targets *t, const struct ws_target *target)
{
	const struct ws_service *svc = ws_bundle_service(
		ws_core_view(t->sh->core)->bundle, target->service);

	return svc && open_attempts(t, target->id) >= svc->connections;
}

static const struct ws_target *find_target(struct ws_targets *t, ws_id id)
{
	return ws_view_target(ws_core_view(t->sh->core), id);
}

/* ===== Attempts ===== */

static struct attempt *alloc_attempt(struct ws_targets *t)
{
	struct attempt *a = t->free_attempts;

	if (a)
		t->free_attempts = a->next_free;
	else
		a = ws_alloc(1, sizeof(*a));
	a->owner = t;
	return a;
}

static void release_attempt(struct attempt *a)
{
	struct ws_targets *t = a->owner;

	g_hash_table_remove(t->attempts, &a->id);
	add_open(t, a->target, -1);
	ws_payload_unref(t->sh->payloads, a->payload);
	a->next_free = t->free_attempts;
	t->free_attempts = a;
}

static void on_attempt_done(void *arg, const struct ws_http_result *res)
{
	struct attempt *a = arg;
	struct ws_shell *sh = a->owner->sh;
	struct ws_event ev = { .kind = WS_EV_ATTEMPT_DONE };

	ev.u.attempt.attempt = a->id;
	ev.u.attempt.result.latency = ws_shell_now() - a->started;
	if (!ws_attempt_read_result(sh->payloads, &a->head, res,
				    &ev.u.attempt.result))
		ws_http_disconnect(a->call);
	release_attempt(a);
	ws_shell_handle_event(sh, &ev);
}

/* Reports an attempt that was not sent. */
static void fail_attempt(struct ws_targets *t, uint64_t attempt, int error)
{
	struct ws_event ev = { .kind = WS_EV_ATTEMPT_DONE };

	ev.u.attempt.attempt = attempt;
	ev.u.attempt.result.outcome = WS_OUT_NOT_RUN;
	ev.u.attempt.result.error = error;
	ws_shell_post_event(t->sh, &ev);
}

static void start_attempt(struct ws_targets *t, const struct ws_effect *e,
			  const struct ws_target *target, ws_us now)
{
	const struct ws_call *call = &e->u.attempt.call;
	const struct ws_body *body =
		ws_payload_get(t->sh->payloads, call->payload);
	struct attempt *a = alloc_attempt(t);
	char url[URL_MAX];

	WS_INVARIANT(body);
	a->id = e->u.attempt.attempt;
	a->target = target->id;
	a->started = now;
	a->payload = call->payload;
	ws_payload_ref(t->sh->payloads, a->payload);
	ws_attempt_head_build(&a->head, t->sh, e, body, call->deadline - now);
	snprintf(url, sizeof(url), "http://%s%s", target->address.text,
		 body->path);
	add_open(t, a->target, 1);
	g_hash_table_insert(t->attempts, &a->id, a);
	a->call = ws_http_start(t->sh->http,
				&(struct ws_http_request){
					.url = url,
					.method = body->method,
					.headers = a->head.nodes,
					.data = body->data,
					.data_len = body->data_len,
					.timeout = call->deadline - now,
					.max_answer = ANSWER_MAX,
					.done = on_attempt_done,
					.arg = a,
				});
}

void ws_targets_attempt(struct ws_targets *t, const struct ws_effect *e)
{
	const struct ws_target *target = find_target(t, e->u.attempt.target);
	ws_us now = ws_shell_now();

	if (!target)
		fail_attempt(t, e->u.attempt.attempt, WS_ERR_NO_TARGET);
	else if (e->u.attempt.call.deadline <= now)
		fail_attempt(t, e->u.attempt.attempt, WS_ERR_DEADLINE);
	else if (is_full(t, target))
		fail_attempt(t, e->u.attempt.attempt, WS_ERR_OVERLOAD);
	else
		start_attempt(t, e, target, now);
}

void ws_targets_cancel(struct ws_targets *t, uint64_t attempt)
{
	struct attempt *a = g_hash_table_lookup(t->attempts, &attempt);
	struct ws_event ev = { .kind = WS_EV_ATTEMPT_DONE };

	if (!a)
		return;
	ev.u.attempt.attempt = attempt;
	ev.u.attempt.result.outcome = WS_OUT_UNKNOWN;
	ev.u.attempt.result.error = WS_ERR_UNKNOWN_OUTCOME;
	ev.u.attempt.result.latency = ws_shell_now() - a->started;
	ws_http_cancel(a->call);
	release_attempt(a);
	ws_shell_post_event(t->sh, &ev);
}

/* ===== Probes and grants ===== */

static void free_control_call(struct control_call *c)
{
	g_hash_table_remove(c->owner->control_calls, c);
	free(c->text);
	free(c);
}

static bool parse_health(const struct ws_http_result *res, struct ws_health *h)
{
	char *text;
	int err;

	if (res->outcome != WS_HTTP_DONE)
		return false;
	text = g_strndup(res->answer.data, res->answer.data_len);
	err = ws_codec_health_parse(text, h);
	g_free(text);
	return !ws_is_error(err);
}

static void report_probe(struct control_call *c,
			 const struct ws_http_result *res)
{
	struct ws_health h = { 0 };
	struct ws_event ev = { .kind = WS_EV_PROBED };

	ev.u.probed.target = c->target;
	ev.u.probed.sent = c->started;
	if (parse_health(res, &h) && res->answer.status == 200) {
		ev.u.probed.ok = true;
		ev.u.probed.incarnation = h.incarnation;
		ev.u.probed.target_us = h.now_us;
		ev.u.probed.leaving = h.leaving;
		ev.u.probed.ready = h.ready;
		ev.u.probed.load = h.load;
	}
	ws_shell_handle_event(c->owner->sh, &ev);
}

static void report_grant(struct control_call *c,
			 const struct ws_http_result *res)
{
	struct ws_health h = { 0 };
	struct ws_event ev = { .kind = WS_EV_GRANTED };

	ev.u.granted.target = c->target;
	ev.u.granted.as_of = c->as_of;
	if (parse_health(res, &h)) {
		ev.u.granted.ok = res->answer.status == 200;
		ev.u.granted.incarnation = h.incarnation;
		ev.u.granted.target_us = h.now_us;
	}
	ws_shell_handle_event(c->owner->sh, &ev);
}

static void on_control_done(void *arg, const struct ws_http_result *res)
{
	struct control_call *c = arg;

	if (c->grant)
		report_grant(c, res);
	else
		report_probe(c, res);
	free_control_call(c);
}

static void start_control_call(struct control_call *c,
			       const struct ws_target *target, const char *path)
{
	struct ws_targets *t = c->owner;
	char url[256];

	snprintf(url, sizeof(url), "http://%s%s", target->address.text, path);
	g_hash_table_add(t->control_calls, c);
	c->call = ws_http_start(
		t->sh->http, &(struct ws_http_request){
				     .url = url,
				     .method = c->grant ? "POST" : "GET",
				     .headers = t->json_headers,
				     .data = c->text,
				     .data_len = c->text ? strlen(c->text) : 0,
				     .timeout = CONTROL_TIMEOUT,
				     .max_answer = CONTROL_ANSWER_MAX,
				     /* The answer to a grant has no id. */
				     .new_connection = c->grant,
				     .done = on_control_done,
				     .arg = c,
			     });
}

static struct control_call *new_control_call(struct ws_targets *t, ws_id target)
{
	struct control_call *c = ws_alloc(1, sizeof(*c));

	c->owner = t;
	c->target = target;
	c->started = ws_shell_now();
	return c;
}

void ws_targets_probe(struct ws_targets *t, ws_id target)
{
	const struct ws_target *found = find_target(t, target);
	struct ws_event ev = { .kind = WS_EV_PROBED };

	if (found) {
		start_control_call(new_control_call(t, target), found,
				   "/wagtailshift/health");
		return;
	}
	ev.u.probed.target = target;
	ev.u.probed.sent = ws_shell_now();
	ws_shell_post_event(t->sh, &ev);
}

static void fail_grant(struct ws_targets *t, const struct ws_effect *e)
{
	struct ws_event ev = { .kind = WS_EV_GRANTED };

	ev.u.granted.target = e->u.grant.target;
	ev.u.granted.as_of = e->u.grant.as_of;
	ws_shell_post_event(t->sh, &ev);
}

void ws_targets_grant(struct ws_targets *t, const struct ws_effect *e)
{
	const struct ws_target *target = find_target(t, e->u.grant.target);
	const struct ws_bundle *b = ws_core_view(t->sh->core)->bundle;
	struct control_call *c;
	char *text = NULL;

	if (!target || ws_is_error(ws_codec_grant_write(e, b, &text))) {
		fail_grant(t, e);
		return;
	}
	c = new_control_call(t, target->id);
	c->grant = true;
	c->text = text;
	c->as_of = e->u.grant.as_of;
	start_control_call(c, target, "/wagtailshift/grant");
}

/* ===== Lifecycle ===== */

struct ws_targets *ws_targets_new(struct ws_shell *sh)
{
	struct ws_targets *t = ws_alloc(1, sizeof(*t));

	t->sh = sh;
	t->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->control_calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	t->open_per_target = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	t->json_headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	return t;
}

static void cancel_all(struct ws_targets *t)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->control_calls);
	while (g_hash_table_iter_next(&it, &value, NULL)) {
		struct control_call *c = value;

		ws_http_cancel(c->call);
		free(c->text);
		free(c);
	}
	g_hash_table_iter_init(&it, t->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct attempt *a = value;

		ws_http_cancel(a->call);
		ws_attempt_head_free(&a->head);
		free(a);
	}
}

void ws_targets_free(struct ws_targets *t)
{
	struct attempt *a;

	if (!t)
		return;
	cancel_all(t);
	while ((a = t->free_attempts)) {
		t->free_attempts = a->next_free;
		ws_attempt_head_free(&a->head);
		free(a);
	}
	g_hash_table_destroy(t->attempts);
	g_hash_table_destroy(t->control_calls);
	g_hash_table_destroy(t->open_per_target);
	curl_slist_free_all(t->json_headers);
	free(t);
}

size_t ws_targets_open_attempts(const struct ws_targets *t)
{
	return g_hash_table_size(t->attempts);
}
