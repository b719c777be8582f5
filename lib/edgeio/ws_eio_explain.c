#include "edgeio/ws_eio_explain.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "edge/ws_ed_explain.h"
#include "platform/wp_wire.h"

#define PAGE "/explain"
#define JSON_FLAGS (JSON_COMPACT | JSON_REAL_PRECISION(6))
#define METHOD_CHARS "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

struct query {
	char *method;
	char *host;
	char *path;
	char *key; /* NULL: none */
};

bool ws_eio_explain_is_asked(const char *uri)
{
	size_t len = sizeof(PAGE) - 1;

	return !strncmp(uri, PAGE, len) && (!uri[len] || uri[len] == '?');
}

/* ===== Query ===== */

static void set_field(struct query *q, const char *name, const char *text)
{
	char **field = !strcmp(name, "method") ? &q->method :
		       !strcmp(name, "host")   ? &q->host :
		       !strcmp(name, "path")   ? &q->path :
		       !strcmp(name, "key")    ? &q->key :
						 NULL;

	if (!field)
		return;
	g_free(*field);
	*field = g_uri_unescape_string(text, NULL);
	/* The empty text is refused for each field; JSON needs UTF-8. */
	if (!*field || !g_utf8_validate(*field, -1, NULL)) {
		g_free(*field);
		*field = g_strdup("");
	}
}

static void parse_query(const char *uri, struct query *q)
{
	const char *start = strchr(uri, '?');
	char **parts = g_strsplit(start ? start + 1 : "", "&", 0);
	char **p;

	for (p = parts; *p; p++) {
		char *equals = strchr(*p, '=');

		if (!equals)
			continue;
		*equals = '\0';
		set_field(q, *p, equals + 1);
	}
	g_strfreev(parts);
}

static void free_query(struct query *q)
{
	g_free(q->method);
	g_free(q->host);
	g_free(q->path);
	g_free(q->key);
}

struct problem {
	const char *message; /* NULL: none */
	const char *remedy;
};

static struct problem check_query(const struct query *q)
{
	if (!q->method || !*q->method ||
	    q->method[strspn(q->method, METHOD_CHARS)])
		return (struct problem){ "method is missing or malformed",
					 "give one such as GET or POST" };
	if (!q->host || !*q->host)
		return (struct problem){
			"host is missing",
			"give the Host of the request, as in the configuration"
		};
	if (!q->path || q->path[0] != '/')
		return (struct problem){
			"path is missing or malformed",
			"give one in UTF-8 that begins with a slash"
		};
	if (q->key && wp_wire_parse_shard_key(q->key) < 0)
		return (struct problem){ "key is malformed",
					 "give a number from 0 to 65535" };
	return (struct problem){ NULL, NULL };
}

/* ===== Text ===== */

static double seconds(ws_us t)
{
	return (double)t / (double)WS_SECOND;
}

static json_t *key_json(const struct ws_ed_explanation *x, int32_t key)
{
	json_t *o = json_pack("{s:i, s:b, s:b, s:f, s:I}", "key", (int)key,
			      "owned", (int)x->key.owned, "moving",
			      (int)x->key.moving, "paused_s",
			      seconds(x->key.paused_for), "in_progress",
			      (json_int_t)x->key.open);

	WS_INVARIANT(o);
	json_object_set_new(o, "epoch", json_integer((json_int_t)x->key.epoch));
	if (!x->key.owned)
		return o;
	json_object_set_new(o, "from", json_integer(x->key.from));
	json_object_set_new(o, "to", json_integer(x->key.to));
	json_object_set_new(o, "owner",
			    json_string(x->key.server ? x->key.server->name :
							"not listed"));
	return o;
}

static json_t *servers_json(const struct ws_eio *io,
			    const struct ws_ed_explanation *x)
{
	ws_id zone = ws_ed_id(io->settings.zone);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < x->n_servers; i++) {
		const struct ws_ed_explained_server *s = &x->servers[i];

		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:s, s:b, s:f, s:f, s:I, s:s}", "name",
				s->server->name, "address", s->server->address,
				"own_zone", (int)(s->server->zone == zone),
				"expected_latency_s",
				seconds(s->expected_latency), "load", s->load,
				"in_progress", (json_int_t)s->server->in_flight,
				"state", ws_ed_left_out_name(s->left_out)));
	}
	return list;
}

static json_t *explanation_json(const struct ws_eio *io, const struct query *q,
				const struct ws_ed_explanation *x, int32_t key)
{
	json_t *o = json_pack("{s:s, s:s, s:s, s:s?, s:s?, s:s}", "method",
			      q->method, "host", q->host, "path", q->path,
			      "route", x->route ? x->route->name : NULL,
			      "service", x->service ? x->service->name : NULL,
			      "decision",
			      ws_ed_explain_decision_name(x->decision));

	WS_INVARIANT(o);
	if (x->decision == WS_EDX_SEND)
		json_object_set_new(o, "server", json_string(x->chosen->name));
	else
		json_object_set_new(o, "reason",
				    json_string(ws_ed_reason_name(x->reason)));
	if (x->decision == WS_EDX_REFUSE) {
		json_object_set_new(o, "status", json_integer(x->status));
		json_object_set_new(o, "retry_after_s",
				    json_real(seconds(x->retry_after)));
	}
	json_object_set_new(o, "needs_api_key",
			    json_boolean(x->needs_caller_key));
	json_object_set_new(o, "open_requests",
			    json_integer((json_int_t)x->open));
	json_object_set_new(o, "waiting_requests",
			    json_integer((json_int_t)x->waiting));
	if (x->service && x->service->sharded && key >= 0)
		json_object_set_new(o, "range", key_json(x, key));
	json_object_set_new(o, "servers", servers_json(io, x));
	return o;
}

char *ws_eio_explain(const struct ws_eio *io, const char *uri, unsigned *status)
{
	struct ws_ed_explanation x;
	struct query q = { NULL, NULL, NULL, NULL };
	struct problem wrong;
	json_t *o;
	char *text;

	parse_query(uri, &q);
	wrong = check_query(&q);
	if (wrong.message) {
		o = json_pack("{s:s, s:s, s:s}", "error", "bad_query",
			      "message", wrong.message, "remedy", wrong.remedy);
		*status = 400;
	} else {
		const struct ws_ed_explain_query query = {
			.host = q.host,
			.path = q.path,
			.key = q.key ? wp_wire_parse_shard_key(q.key) : -1,
		};

		ws_ed_explain(io->edge, ws_eio_now(), &query, &x);
		o = explanation_json(io, &q, &x, query.key);
		ws_ed_explanation_free(&x);
		*status = 200;
	}
	text = json_dumps(o, JSON_FLAGS);
	WS_INVARIANT(text);
	json_decref(o);
	free_query(&q);
	return text;
}
