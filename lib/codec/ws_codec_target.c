#include "codec/ws_json.h"

#include <stdlib.h>
#include <string.h>

#define HEALTH_TEXT_MAX 4096

/* ===== Grants ===== */

static json_t *write_item(const struct ws_grant_item *item,
			  const struct ws_service *svc)
{
	json_t *o = json_object();

	json_object_set_new(o, "service", json_string(svc->name.text));
	if (item->res.kind == WS_RES_HOT_KEY)
		ws_json_set_hex(o, "hot_key", item->res.item);
	else
		json_object_set_new(o, "shard",
				    json_integer((json_int_t)item->res.item));
	json_object_set_new(o, "fence", json_integer((json_int_t)item->fence));
	return o;
}

static int write_items(json_t *list, const struct ws_effect *grant,
		       const struct ws_bundle *bundle)
{
	const struct ws_grant_item *item;
	const struct ws_service *svc;
	size_t i;

	for (i = 0; i < grant->u.grant.n_items; i++) {
		item = &grant->u.grant.items[i];
		WS_INVARIANT(item->res.kind == WS_RES_SHARD ||
			     item->res.kind == WS_RES_HOT_KEY);
		svc = ws_bundle_service(bundle, item->res.scope);
		if (!svc)
			return WS_ERR_NO_SERVICE;
		json_array_append_new(list, write_item(item, svc));
	}
	return 0;
}

int ws_codec_grant_write(const struct ws_effect *grant,
			 const struct ws_bundle *bundle, char **text)
{
	json_t *o = json_object();
	json_t *items = json_array();
	int res;

	WS_INVARIANT(grant->kind == WS_FX_GRANT);
	ws_json_set_hex(o, "incarnation", grant->u.grant.incarnation);
	json_object_set_new(o, "as_of",
			    json_integer((json_int_t)grant->u.grant.as_of));
	json_object_set_new(o, "not_after_us",
			    json_integer(grant->u.grant.not_after_us));
	json_object_set_new(o, "items", items);
	res = write_items(items, grant, bundle);
	if (!ws_is_error(res)) {
		*text = json_dumps(o, JSON_COMPACT);
		WS_INVARIANT(*text);
	}
	json_decref(o);
	return res;
}

/* ===== Health ===== */

static int read_optional(const struct ws_json *j, struct ws_health *out)
{
	uint64_t load = 0;

	if (ws_json_has(j, "ready") && ws_json_bool(j, "ready", &out->ready))
		return WS_ERR_SYNTAX;
	if (ws_json_has(j, "leaving") &&
	    ws_json_bool(j, "leaving", &out->leaving))
		return WS_ERR_SYNTAX;
	if (ws_json_has(j, "load") &&
	    ws_json_uint(j, "load", 0, UINT32_MAX, &load))
		return WS_ERR_SYNTAX;
	out->load = (uint32_t)load;
	return 0;
}

static int read_health(const struct ws_json *j, struct ws_health *out)
{
	static const char *const fields[] = { "incarnation", "now_us", "ready",
					      "leaving",     "load",   "error",
					      NULL };
	uint64_t now;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_hex(j, "incarnation", &out->incarnation) ||
	    ws_json_uint(j, "now_us", 0, INT64_MAX, &now))
		return WS_ERR_SYNTAX;
	out->now_us = (int64_t)now;
	if (!out->incarnation)
		return WS_ERR_SYNTAX;
	return read_optional(j, out);
}

int ws_codec_health_parse(const char *text, struct ws_health *out)
{
	struct ws_json root;
	int res;

	memset(out, 0, sizeof(*out));
	res = ws_json_open(text, HEALTH_TEXT_MAX, "health", &root, NULL);
	if (ws_is_error(res))
		return res;
	res = read_health(&root, out);
	ws_json_close(&root);
	return res;
}
