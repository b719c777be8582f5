#include "codec/ws_codec_record.h"

#include <stdlib.h>
#include <string.h>

/* ===== Nested objects ===== */

static void write_res(json_t *o, const struct ws_res *res)
{
	WS_INVARIANT(res->kind >= WS_RES_PARTITION &&
		     res->kind <= WS_RES_HOT_KEY);
	json_object_set_new(o, "kind",
			    json_string(ws_codec_res_kinds[res->kind - 1]));
	ws_json_set_hex(o, "scope", res->scope);
	ws_json_set_hex(o, "item", res->item);
}

static void write_holder(json_t *o, const struct ws_holder *h)
{
	ws_json_set_hex(o, "holder", h->id);
	ws_json_set_hex(o, "incarnation", h->incarnation);
}

static void set_uint(json_t *o, const char *field, uint64_t value)
{
	json_object_set_new(o, field, json_integer((json_int_t)value));
}

/* Embeds the envelope of a record; fails if it has none. */
static int write_envelope(json_t *o, const struct ws_record *rec)
{
	const char *text = rec->bundle_text;
	json_t *env;

	if (!text && rec->bundle)
		text = rec->bundle->text;
	if (!text)
		return WS_ERR_SYNTAX;
	env = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(env) || !json_object_get(env, "signature")) {
		json_decref(env);
		return WS_ERR_SYNTAX;
	}
	json_object_set_new(o, "envelope", env);
	return 0;
}

/* ===== Fields by kind of record ===== */

static int write_assign(json_t *o, const struct ws_record *rec)
{
	json_t *items = json_array();
	json_t *e;
	size_t i;

	for (i = 0; i < rec->n_items; i++) {
		e = json_object();
		write_res(e, &rec->items[i].res);
		set_uint(e, "expected", rec->items[i].expected_fence);
		write_holder(e, &rec->items[i].holder);
		json_array_append_new(items, e);
	}
	json_object_set_new(o, "released", json_boolean(rec->released));
	json_object_set_new(o, "items", items);
	return rec->n_items > WS_RECORD_ITEMS_MAX ? WS_ERR_TOO_LARGE : 0;
}

static json_t *write_assignments(const struct ws_record *rec)
{
	json_t *list = json_array();
	const struct ws_assignment *a;
	json_t *e;
	size_t i;

	for (i = 0; i < rec->n_assignments; i++) {
		a = &rec->assignments[i];
		e = json_object();
		write_res(e, &a->res);
		write_holder(e, &a->holder);
		set_uint(e, "fence", a->fence);
		json_object_set_new(e, "active", json_boolean(a->active));
		set_uint(e, "takeover_ms", (uint64_t)a->takeover_wall_ms);
		json_array_append_new(list, e);
	}
	return list;
}

static int write_snapshot(json_t *o, const struct ws_record *rec)
{
	json_t *state = json_object();
	int res = 0;

	set_uint(state, "bundle_version", rec->bundle_version);
	json_object_set_new(state, "assignments", write_assignments(rec));
	if (rec->bundle_version)
		res = write_envelope(state, rec);
	set_uint(o, "covered", rec->target_offset);
	ws_json_set_hex(o, "hash", ws_codec_state_hash(state));
	json_object_set_new(o, "state", state);
	if (rec->n_assignments > WS_RECORD_ITEMS_MAX)
		return WS_ERR_TOO_LARGE;
	return res;
}

static int write_kind(json_t *o, const struct ws_record *rec)
{
	switch (rec->kind) {
	case WS_REC_ASSIGN:
		return write_assign(o, rec);
	case WS_REC_ACTIVATE:
		set_uint(o, "assign", rec->target_offset);
		return 0;
	case WS_REC_BUNDLE:
		set_uint(o, "version", rec->bundle_version);
		set_uint(o, "base", rec->bundle_base);
		return write_envelope(o, rec);
	case WS_REC_SNAPSHOT:
		return write_snapshot(o, rec);
	case WS_REC_RECOVER:
		return write_envelope(o, rec);
	default:
		return WS_ERR_SYNTAX;
	}
}

/* ===== Records ===== */

static int dump(const json_t *o, char **text)
{
	char *out = json_dumps(o, JSON_COMPACT);

	WS_INVARIANT(out);
	if (strlen(out) > WS_RECORD_TEXT_MAX) {
		free(out);
		return WS_ERR_TOO_LARGE;
	}
	*text = out;
	return 0;
}

int ws_codec_record_write(const struct ws_record *rec, char **text)
{
	json_t *o;
	int res;

	if (rec->kind < WS_REC_ASSIGN || rec->kind > WS_REC_RECOVER)
		return WS_ERR_SYNTAX;
	o = json_object();
	json_object_set_new(o, "kind",
			    json_string(ws_codec_record_kinds[rec->kind - 1]));
	ws_json_set_hex(o, "uid", rec->uid);
	ws_json_set_hex(o, "writer", rec->writer);
	set_uint(o, "wall_ms", (uint64_t)rec->wall_ms);
	res = write_kind(o, rec);
	if (!ws_is_error(res))
		res = dump(o, text);
	json_decref(o);
	return res;
}
