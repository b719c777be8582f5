#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"
#include "standin/ws_standin.h"
#include "standin/ws_shttp.h"
#include "standin/ws_sopts.h"
#include "standin/ws_slog.h"

#define READ_MAX 1000
#define WAIT_MS_MAX 60000

/* ===== Handlers ===== */

static enum ws_shttp_action on_append(struct ws_slog *l,
				      struct ws_shttp_call *call)
{
	json_t *text = json_stringn(call->body, call->body_len);
	char reply[64];
	ws_offset offset;

	if (!text || strlen(call->body) != call->body_len) {
		json_decref(text);
		return ws_shttp_error(call, 400, "the body must be UTF-8 text");
	}
	json_decref(text);
	if (ws_standin_consume_fault(&l->refuse_appends))
		return ws_shttp_error(call, 503, "refused on request");
	offset = ws_slog_append(l, call->body, call->body_len);
	ws_shttp_resume_all(call->server);
	if (ws_standin_consume_fault(&l->lose_replies))
		return WS_SHTTP_CLOSE;
	snprintf(reply, sizeof(reply), "{\"offset\":%llu}",
		 (unsigned long long)offset);
	return ws_shttp_reply(call, 200, strdup(reply));
}

/* Number of the query between bounds; a missing one has a default. */
static bool read_number(const struct ws_shttp_call *call, const char *name,
			unsigned long long fallback, unsigned long long max,
			unsigned long long *out)
{
	const char *text = ws_shttp_query_param(call, name);
	char *end;

	*out = fallback;
	if (!text)
		return true;
	if (*text < '0' || *text > '9')
		return false;
	*out = strtoull(text, &end, 10);
	return *end == '\0' && *out <= max;
}

/* Long poll: waits until there is a record from the offset on. */
static enum ws_shttp_action on_read(struct ws_slog *l,
				    struct ws_shttp_call *call, ws_us now)
{
	unsigned long long from;
	unsigned long long max;
	unsigned long long wait;
	ws_us *until = call->handler_data;

	if (!read_number(call, "from", 1, INT64_MAX, &from) ||
	    !read_number(call, "max", READ_MAX, INT32_MAX, &max) ||
	    !read_number(call, "wait_ms", 0, WAIT_MS_MAX, &wait))
		return ws_shttp_error(call, 400,
				      "expected numbers from, max, wait_ms");
	if (!until) {
		until = ws_alloc(1, sizeof(*until));
		*until = now + (ws_us)wait * WS_MS;
		call->handler_data = until;
	}
	if (from >= ws_slog_head(l) && now < *until) {
		call->resume_at = *until;
		return WS_SHTTP_SUSPEND;
	}
	if (max > READ_MAX)
		max = READ_MAX;
	return ws_shttp_reply(call, 200, ws_slog_read(l, from, max));
}

static enum ws_shttp_action on_fault(struct ws_slog *l,
				     struct ws_shttp_call *call, ws_us now)
{
	struct ws_codec_error why = { "" };

	if (ws_slog_set_faults(l, now, call->body, &why))
		return ws_shttp_error(call, 400, why.text);
	ws_shttp_resume_all(call->server);
	return ws_shttp_reply(call, 200, strdup("{}"));
}

static void free_wait(struct ws_shttp_call *call)
{
	free(call->handler_data);
}

/* Faults of the service as a whole come before the request itself. */
static enum ws_shttp_action on_call(void *arg, struct ws_shttp_call *call,
				    ws_us now)
{
	struct ws_slog *l = arg;

	call->free_handler_data = free_wait;
	if (ws_shttp_matches(call, "POST", "/fault"))
		return on_fault(l, call, now);
	if (now < l->down_until)
		return WS_SHTTP_CLOSE;
	if (now < l->silent_until) {
		call->resume_at = l->silent_until;
		return WS_SHTTP_SUSPEND;
	}
	if (ws_shttp_delay(call, now, l->response_delay))
		return WS_SHTTP_SUSPEND;
	if (ws_shttp_matches(call, "POST", "/log/append"))
		return on_append(l, call);
	if (ws_shttp_matches(call, "GET", "/log/read"))
		return on_read(l, call, now);
	return ws_shttp_error(call, 404, "not found");
}

/* ===== Command ===== */

static int set_fault(void *server, ws_us now, const char *text,
		     struct ws_codec_error *why)
{
	return ws_slog_set_faults(server, now, text, why);
}

int ws_standin_log(int argc, char **argv)
{
	struct ws_sopts o = { NULL, NULL };
	struct ws_slog *l;
	int code = WS_STANDIN_USAGE;

	if (!ws_sopts_parse(&o, &argc, &argv, "log",
			    "Serves the platform's log from memory.", NULL))
		return WS_STANDIN_USAGE;
	l = ws_slog_new();
	if (ws_sopts_apply_faults(&o, "log", ws_shttp_now(), set_fault, l))
		code = ws_shttp_serve(o.listen, on_call, l);
	ws_slog_free(l);
	g_strfreev(o.faults);
	g_free(o.listen);
	return code;
}
