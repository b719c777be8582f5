#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin/ws_standin.h"
#include "standin/ws_shttp.h"
#include "standin/ws_starget.h"
#include "standin/ws_standin_target.h"

#define EXIT_CRASHED 3
/* Period in which a running request looks whether its caller has gone. */
#define CANCEL_CHECK (20 * WS_MS)

enum step {
	STEP_ARRIVED = 0,
	STEP_RUNNING,
	STEP_HELD, /* never answered */
};

/* ===== Reading requests ===== */

static void copy_text(char *out, size_t size, const char *text)
{
	snprintf(out, size, "%s", text ? text : "");
}

static uint64_t hex_header(const struct ws_shttp_call *call, const char *name)
{
	const char *text = ws_shttp_request_header(call, name);

	return text ? strtoull(text, NULL, 16) : 0;
}

static int64_t int_header(const struct ws_shttp_call *call, const char *name,
			  int64_t fallback)
{
	const char *text = ws_shttp_request_header(call, name);

	return text ? strtoll(text, NULL, 10) : fallback;
}

/* The key of a sharded service is the first segment of the path. */
static void read_key(const struct ws_starget *t, const char *path,
		     struct ws_starget_req *req)
{
	size_t len;

	if (!t->conf.sharded || path[0] != '/')
		return;
	len = strcspn(path + 1, "/");
	if (len >= sizeof(req->key))
		len = sizeof(req->key) - 1;
	snprintf(req->key, sizeof(req->key), "%.*s", (int)len, path + 1);
}

static void read_deadline(const struct ws_shttp_call *call,
			  struct ws_starget_req *req)
{
	int64_t ms = int_header(call, "X-Wagtailshift-Deadline-Ms", -1);

	if (ms < 0)
		return;
	req->deadline = ms ? ms * WS_MS : 1;
}

static void read_request(const struct ws_starget *t,
			 const struct ws_shttp_call *call,
			 struct ws_starget_req *req)
{
	copy_text(req->request, sizeof(req->request),
		  ws_shttp_request_header(call, "X-Wagtailshift-Request-Id"));
	copy_text(req->idempotency_key, sizeof(req->idempotency_key),
		  ws_shttp_request_header(call, "Idempotency-Key"));
	copy_text(req->customer, sizeof(req->customer),
		  ws_shttp_request_header(call, "X-Wagtailshift-Customer"));
	copy_text(req->method, sizeof(req->method), call->method);
	copy_text(req->path, sizeof(req->path), call->path);
	read_key(t, call->path, req);
	req->body_hash = ws_codec_hash(call->body, call->body_len);
	req->for_incarnation = hex_header(call, "X-Wagtailshift-Incarnation");
	req->start_by = int_header(call, "X-Wagtailshift-Start-By-Us", 0);
	req->fence = (uint64_t)int_header(call, "X-Wagtailshift-Fence", 0);
	req->shard = int_header(call, "X-Wagtailshift-Shard", -1);
	req->has_hot_key =
		ws_shttp_request_header(call, "X-Wagtailshift-Hot-Key") != NULL;
	req->hot_key = hex_header(call, "X-Wagtailshift-Hot-Key");
	req->has_authorization =
		ws_shttp_request_header(call, "Authorization") != NULL;
	read_deadline(call, req);
}

/* ===== Answering requests ===== */

static char *write_body(const struct ws_standin_target *st,
			const struct ws_starget_req *req,
			const struct ws_starget_response *a)
{
	json_t *o = json_object();
	char *text;

	if (a->error)
		json_object_set_new(o, "error", json_string(a->error));
	json_object_set_new(o, "target", json_string(st->t->conf.name.text));
	json_object_set_new(o, "request", json_string(req->request));
	json_object_set_new(o, "customer", json_string(req->customer));
	json_object_set_new(o, "key", json_string(req->key));
	ws_json_set_hex(o, "body", req->body_hash);
	if (st->padding)
		json_object_set_new(o, "padding", json_string(st->padding));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static enum ws_shttp_action answer(struct ws_standin_target *st,
				   struct ws_shttp_call *call,
				   const struct ws_starget_response *a)
{
	struct ws_starget_req *req = call->handler_data;
	char incarnation[17];
	bool wrong_id = ws_standin_consume_fault(&st->t->wrong_id);

	ws_codec_hex(req->incarnation, incarnation);
	ws_shttp_add_header(call, "X-Wagtailshift-Request-Id",
			    wrong_id ? "ffffffffffffffff" : req->request);
	ws_shttp_add_header(call, "X-Wagtailshift-Incarnation", incarnation);
	if (a->not_run)
		ws_shttp_add_header(call, "X-Wagtailshift-Not-Run", "1");
	call->truncate = ws_standin_consume_fault(&st->t->truncate);
	return ws_shttp_reply(call, a->status, write_body(st, req, a));
}

/* ===== Running requests ===== */

static void exit_if_wanted(const struct ws_starget *t)
{
	if (t->exit_requested)
		_exit(EXIT_CRASHED);
}

static enum ws_shttp_action start(struct ws_standin_target *st,
				  struct ws_shttp_call *call, ws_us now)
{
	struct ws_starget_req *req = ws_alloc(1, sizeof(*req));
	struct ws_starget_response a;

	call->handler_data = req;
	read_request(st->t, call, req);
	if (ws_standin_consume_fault(&st->t->silent)) {
		call->step = STEP_HELD;
		call->resume_at = WS_SHTTP_FOREVER;
		return WS_SHTTP_SUSPEND;
	}
	if (ws_starget_begin(st->t, now, req, call->body, &a)) {
		call->step = STEP_RUNNING;
		call->resume_at = now;
		return WS_SHTTP_SUSPEND;
	}
	exit_if_wanted(st->t);
	if (!a.status) {
		ws_shttp_resume_all(call->server);
		return WS_SHTTP_CLOSE;
	}
	return answer(st, call, &a);
}

static enum ws_shttp_action finish(struct ws_standin_target *st,
				   struct ws_shttp_call *call, ws_us now)
{
	struct ws_starget_req *req = call->handler_data;
	struct ws_starget_response a;

	ws_starget_end(st->t, now, req, &a);
	call->step = STEP_HELD;
	if (!a.error && ws_standin_consume_fault(&st->t->lose_replies))
		return WS_SHTTP_CLOSE;
	return answer(st, call, &a);
}

static enum ws_shttp_action go_on(struct ws_standin_target *st,
				  struct ws_shttp_call *call, ws_us now)
{
	struct ws_starget_req *req = call->handler_data;

	if (ws_starget_incarnation_ended(st->t, req))
		return WS_SHTTP_CLOSE;
	if (now >= req->due)
		return finish(st, call, now);
	if (ws_shttp_client_disconnected(call)) {
		ws_starget_cancel(st->t, now, req);
		call->step = STEP_HELD;
		return WS_SHTTP_CLOSE;
	}
	call->resume_at = now + CANCEL_CHECK < req->resume_at ?
				  now + CANCEL_CHECK :
				  req->due;
	return WS_SHTTP_SUSPEND;
}

/* A connection that ends under a running request cancels it. */
static void end_call(struct ws_shttp_call *call)
{
	struct ws_standin_target *st = call->server_arg;
	struct ws_starget_req *req = call->handler_data;

	if (req && call->step == STEP_RUNNING &&
	    !ws_starget_incarnation_ended(st->t, req))
		ws_starget_cancel(st->t, ws_shttp_now(), req);
	free(req);
}

/* ===== Control ===== */

static enum ws_shttp_action on_fault(struct ws_starget *t,
				     struct ws_shttp_call *call, ws_us now)
{
	struct ws_codec_error why = { "" };

	if (ws_starget_set_faults(t, now, call->body, &why))
		return ws_shttp_error(call, 400, why.text);
	exit_if_wanted(t);
	ws_shttp_resume_all(call->server);
	return ws_shttp_reply(call, 200, strdup("{}"));
}

static enum ws_shttp_action on_grant(struct ws_starget *t,
				     struct ws_shttp_call *call, ws_us now)
{
	char *text;
	unsigned status = ws_starget_handle_grant(t, now, call->body, &text);

	return ws_shttp_reply(call, status, text);
}

/* Faults of the target as a whole come before the request itself. */
enum ws_shttp_action
ws_standin_target_call(void *arg, struct ws_shttp_call *call, ws_us now)
{
	struct ws_standin_target *st = arg;
	struct ws_starget *t = st->t;

	call->server_arg = st;
	call->free_handler_data = end_call;
	if (ws_shttp_matches(call, "POST", "/fault"))
		return on_fault(t, call, now);
	if (now < t->down_until)
		return WS_SHTTP_CLOSE;
	if (call->step == STEP_HELD || call->connected < t->silent_before) {
		call->resume_at = WS_SHTTP_FOREVER;
		return WS_SHTTP_SUSPEND;
	}
	if (now < t->frozen_until) {
		call->resume_at = t->frozen_until;
		return WS_SHTTP_SUSPEND;
	}
	if (call->step == STEP_RUNNING)
		return go_on(st, call, now);
	if (ws_shttp_matches(call, "GET", "/wagtailshift/health"))
		return ws_shttp_reply(call, 200, ws_starget_health(t, now));
	if (ws_shttp_matches(call, "POST", "/wagtailshift/grant"))
		return on_grant(t, call, now);
	return start(st, call, now);
}
