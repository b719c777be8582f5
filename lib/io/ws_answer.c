#include "io/ws_answer.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct MHD_Response *ws_answer_text(char *text, const char *type)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);

	WS_INVARIANT(r);
	MHD_add_response_header(r, "Content-Type", type);
	return r;
}

static char *refusal_json(int error)
{
	json_t *o = json_pack("{s:s, s:s, s:s}", "error", ws_error_name(error),
			      "message", ws_error_message(error), "remedy",
			      ws_error_remedy(error));
	char *text;

	WS_INVARIANT(o);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

struct MHD_Response *ws_answer_refusal(int error, uint8_t outcome,
				       ws_us retry_after)
{
	struct MHD_Response *r =
		ws_answer_text(refusal_json(error), "application/json");
	char seconds[24];

	MHD_add_response_header(r, "X-Wagtailshift-Outcome",
				outcome == WS_OUT_NOT_RUN ? "not-run" :
							    "unknown");
	if (retry_after <= 0 && ws_error_http_status(error) == 429)
		retry_after = WS_SECOND;
	if (retry_after > 0) {
		snprintf(
			seconds, sizeof(seconds), "%lld",
			(long long)((retry_after + WS_SECOND - 1) / WS_SECOND));
		MHD_add_response_header(r, "Retry-After", seconds);
	}
	return r;
}

/* The payload that is released when its response is destroyed. */
struct payload_ref {
	struct ws_payloads *table;
	ws_payload payload;
};

static void release_payload(void *arg)
{
	struct payload_ref *h = arg;

	ws_payload_unref(h->table, h->payload);
	free(h);
}

static void add_headers(struct MHD_Response *r, const struct ws_body *body)
{
	const char *p = body->headers;
	const char *end = p + body->headers_len;
	char name[256];

	for (; p < end; p += strlen(p) + 1) {
		const char *colon = strchr(p, ':');
		size_t len = (size_t)(colon - p);

		if (len >= sizeof(name))
			continue;
		memcpy(name, p, len);
		name[len] = '\0';
		MHD_add_response_header(r, name, colon + 2);
	}
}

struct MHD_Response *ws_answer_payload(struct ws_payloads *table, ws_payload p)
{
	const struct ws_body *body = ws_payload_get(table, p);
	struct payload_ref *h = ws_alloc(1, sizeof(*h));
	struct MHD_Response *r;

	WS_INVARIANT(body);
	ws_payload_ref(table, p);
	*h = (struct payload_ref){ .table = table, .payload = p };
	r = MHD_create_response_from_buffer_with_free_callback_cls(
		body->data_len, (void *)(uintptr_t)body->data, release_payload,
		h);
	WS_INVARIANT(r);
	add_headers(r, body);
	return r;
}
