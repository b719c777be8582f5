#include "io/ws_attempt.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/ws_headers.h"

/* ===== Requests ===== */

static void add_node(struct ws_attempt_head *h, const char *line)
{
	ws_grow(&h->nodes, &h->cap_nodes, h->n_nodes + 1, sizeof(*h->nodes));
	/* The cast is safe: libcurl doesn't change the lines. */
	h->nodes[h->n_nodes++].data = (char *)(uintptr_t)line;
}

static void add_line(struct ws_attempt_head *h, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void add_line(struct ws_attempt_head *h, const char *fmt, ...)
{
	char *line = h->lines[h->n_lines];
	va_list ap;

	WS_INVARIANT(h->n_lines < WS_ATTEMPT_ADDED_HEADERS);
	va_start(ap, fmt);
	vsnprintf(line, WS_ATTEMPT_LINE_MAX, fmt, ap);
	va_end(ap);
	h->n_lines++;
	add_node(h, line);
}

/*
 * libcurl adds these three headers by default. A line without a value removes
 * one, unless the caller has sent it.
 */
static void suppress_defaults(struct ws_attempt_head *h,
			      const struct ws_body *body)
{
	if (!ws_body_header(body, "Accept"))
		add_node(h, "Accept:");
	if (!ws_body_header(body, "Content-Type"))
		add_node(h, "Content-Type:");
	add_node(h, "Expect:");
}

static void add_caller_headers(struct ws_attempt_head *h,
			       const struct ws_body *body)
{
	const char *p = body->headers;
	const char *end = p + body->headers_len;

	for (; p < end; p += strlen(p) + 1)
		add_node(h, p);
}

/*
 * The target echoes the id, which ties a response to its attempt. So each
 * attempt of an idempotent call needs an id of its own. Other calls use the id
 * of the caller if there is one.
 */
static void write_request_id(struct ws_attempt_head *h, ws_id self,
			     const struct ws_effect *e)
{
	const uint64_t *id = e->u.attempt.call.request_id;

	h->own_id = e->u.attempt.call.idempotent || (!id[0] && !id[1]);
	if (h->own_id) {
		snprintf(h->request_id, sizeof(h->request_id),
			 "%016" PRIx64 "-%016" PRIx64, self,
			 e->u.attempt.attempt);
		return;
	}
	snprintf(h->request_id, sizeof(h->request_id),
		 "%08" PRIx64 "-%04" PRIx64 "-%04" PRIx64 "-%04" PRIx64
		 "-%012" PRIx64,
		 id[0] >> 32, id[0] >> 16 & 0xffff, id[0] & 0xffff, id[1] >> 48,
		 id[1] & 0xffffffffffff);
}

static void add_owner_headers(struct ws_attempt_head *h, struct ws_shell *sh,
			      const struct ws_effect *e,
			      const struct ws_service *svc)
{
	const struct ws_call *call = &e->u.attempt.call;
	const struct ws_assignment *a;

	if (!svc || !svc->sharded)
		return;
	add_line(h, "X-Wagtailshift-Fence: %" PRIu64, e->u.attempt.fence);
	if (e->u.attempt.start_by_us)
		add_line(h, "X-Wagtailshift-Start-By-Us: %" PRId64,
			 e->u.attempt.start_by_us);
	a = ws_own_find_key_owner(ws_core_own(sh->core), svc, call->key);
	if (a && a->res.kind == WS_RES_HOT_KEY &&
	    a->fence == e->u.attempt.fence)
		add_line(h, "X-Wagtailshift-Hot-Key: %016" PRIx64, call->key);
	else
		add_line(h, "X-Wagtailshift-Shard: %" PRIu32,
			 ws_bundle_shard(svc, call->key));
}

static void link_nodes(struct ws_attempt_head *h)
{
	size_t i;

	for (i = 0; i + 1 < h->n_nodes; i++)
		h->nodes[i].next = &h->nodes[i + 1];
	h->nodes[h->n_nodes - 1].next = NULL;
}

void ws_attempt_head_build(struct ws_attempt_head *h, struct ws_shell *sh,
			   const struct ws_effect *e,
			   const struct ws_body *body, ws_us time_left)
{
	const struct ws_bundle *b = ws_core_view(sh->core)->bundle;
	const struct ws_call *call = &e->u.attempt.call;
	const struct ws_service *svc = ws_bundle_service(b, call->service);
	const struct ws_customer *customer =
		ws_bundle_customer(b, call->customer);

	h->n_nodes = 0;
	h->n_lines = 0;
	write_request_id(h, sh->self, e);
	add_caller_headers(h, body);
	suppress_defaults(h, body);
	add_line(h, "X-Wagtailshift-Request-Id: %s", h->request_id);
	add_line(h, "X-Wagtailshift-Deadline-Ms: %" PRId64, time_left / WS_MS);
	add_line(h, "X-Wagtailshift-Incarnation: %016" PRIx64,
		 e->u.attempt.incarnation);
	if (customer)
		add_line(h, "X-Wagtailshift-Customer: %s", customer->name.text);
	add_owner_headers(h, sh, e, svc);
	link_nodes(h);
}

void ws_attempt_head_free(struct ws_attempt_head *h)
{
	free(h->nodes);
}

/* ===== Answers ===== */

static void read_failure(const struct ws_http_result *res,
			 struct ws_attempt_result *out)
{
	out->outcome = res->outcome == WS_HTTP_NOT_SENT ? WS_OUT_NOT_RUN :
							  WS_OUT_UNKNOWN;
	out->error = res->timed_out ? WS_ERR_DEADLINE : WS_ERR_TARGET_FAILED;
	out->crashed = res->outcome == WS_HTTP_BROKEN;
}

static ws_payload store_answer(struct ws_payloads *table,
			       const struct ws_body *answer)
{
	struct ws_body stored = *answer;
	struct ws_headers headers = { NULL, 0, 0 };
	const char *connection = ws_body_header(answer, "Connection");
	const char *p = answer->headers;
	const char *end = p + answer->headers_len;
	ws_payload h;

	for (; p < end; p += strlen(p) + 1) {
		const char *colon = strchr(p, ':');
		size_t len = (size_t)(colon - p);

		if (ws_headers_is_for_caller(p, len, connection))
			ws_headers_add(&headers, p, len, colon + 2,
				       strlen(colon + 2));
	}
	stored.headers = headers.text;
	stored.headers_len = headers.len;
	h = ws_payload_add(table, &stored);
	ws_headers_free(&headers);
	return h;
}

static void read_answer(struct ws_payloads *table,
			const struct ws_http_result *res,
			struct ws_attempt_result *out)
{
	const char *not_run =
		ws_body_header(&res->answer, "X-Wagtailshift-Not-Run");

	out->status = res->answer.status;
	if (not_run && !strcmp(not_run, "1")) {
		out->outcome = WS_OUT_NOT_RUN;
		out->error = WS_ERR_OVERLOAD;
		out->shed = true;
		return;
	}
	out->payload = store_answer(table, &res->answer);
	out->outcome = out->payload ? WS_OUT_DONE : WS_OUT_UNKNOWN;
	out->error = out->payload ? 0 : WS_ERR_NO_MEMORY;
}

bool ws_attempt_read_result(struct ws_payloads *table,
			    const struct ws_attempt_head *head,
			    const struct ws_http_result *res,
			    struct ws_attempt_result *out)
{
	const char *echo;
	const char *incarnation;

	if (res->outcome != WS_HTTP_DONE) {
		read_failure(res, out);
		return true;
	}
	echo = ws_body_header(&res->answer, "X-Wagtailshift-Request-Id");
	incarnation =
		ws_body_header(&res->answer, "X-Wagtailshift-Incarnation");
	if (!echo || strcmp(echo, head->request_id) != 0 || !incarnation) {
		out->outcome = WS_OUT_UNKNOWN;
		out->error = WS_ERR_TARGET_FAILED;
		return false;
	}
	out->incarnation = strtoull(incarnation, NULL, 16);
	read_answer(table, res, out);
	return head->own_id || out->outcome != WS_OUT_NOT_RUN;
}
