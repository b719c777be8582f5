#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/ws_standin.h"
#include "standin/ws_shttp.h"
#include "standin/ws_sopts.h"
#include "standin/ws_slist.h"

/* ===== Handlers ===== */

typedef int (*post_fn)(struct ws_slist *l, ws_us now, const char *text,
		       struct ws_codec_error *why);

static enum ws_shttp_action
on_post(struct ws_slist *l, struct ws_shttp_call *call, ws_us now, post_fn fn)
{
	struct ws_codec_error why = { "" };

	if (fn(l, now, call->body, &why))
		return ws_shttp_error(call, 400, why.text);
	ws_shttp_resume_all(call->server);
	return ws_shttp_reply(call, 200, strdup("{}"));
}

static enum ws_shttp_action on_call(void *arg, struct ws_shttp_call *call,
				    ws_us now)
{
	struct ws_slist *l = arg;

	if (ws_shttp_matches(call, "POST", "/fault"))
		return on_post(l, call, now, ws_slist_set_faults);
	if (now < l->down_until)
		return WS_SHTTP_CLOSE;
	if (now < l->silent_until) {
		call->resume_at = l->silent_until;
		return WS_SHTTP_SUSPEND;
	}
	if (ws_shttp_delay(call, now, l->response_delay))
		return WS_SHTTP_SUSPEND;
	if (ws_shttp_matches(call, "POST", "/list"))
		return on_post(l, call, now, ws_slist_post);
	if (ws_shttp_matches(call, "GET", "/list"))
		return ws_shttp_reply(call, 200,
				      strdup(ws_slist_response(l, now)));
	return ws_shttp_error(call, 404, "not found");
}

/* ===== Command ===== */

static int set_fault(void *server, ws_us now, const char *text,
		     struct ws_codec_error *why)
{
	return ws_slist_set_faults(server, now, text, why);
}

int ws_standin_list(int argc, char **argv)
{
	struct ws_sopts o = { NULL, NULL };
	struct ws_slist *l;
	int code = WS_STANDIN_USAGE;

	if (!ws_sopts_parse(&o, &argc, &argv, "list",
			    "Serves the platform's list of instances and "
			    "targets.",
			    NULL))
		return WS_STANDIN_USAGE;
	l = ws_slist_new();
	if (ws_sopts_apply_faults(&o, "list", ws_shttp_now(), set_fault, l))
		code = ws_shttp_serve(o.listen, on_call, l);
	ws_slist_free(l);
	g_strfreev(o.faults);
	g_free(o.listen);
	return code;
}
