#include "codec/ws_codec_record.h"

#include <stdlib.h>
#include <string.h>

const char *const ws_codec_record_kinds[] = { "assign",	  "activate", "bundle",
					      "snapshot", "recover",  NULL };
const char *const ws_codec_res_kinds[] = { "partition", "dispatch", "shard",
					   "hot_key", NULL };

#define FIELDS_COMMON "kind", "uid", "writer", "wall_ms"

uint64_t ws_codec_state_hash(const json_t *state)
{
	char *text = json_dumps(state, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t hash;

	WS_INVARIANT(text);
	hash = ws_codec_hash(text, strlen(text));
	free(text);
	return hash;
}

/* ===== Parts ===== */

static int read_res(const struct ws_json *j, struct ws_res *res)
{
	size_t kind;

	if (ws_json_choice(j, "kind", ws_codec_res_kinds, &kind) ||
	    ws_json_hex(j, "scope", &res->scope) ||
	    ws_json_hex(j, "item", &res->item))
		return WS_ERR_SYNTAX;
	res->kind = (uint8_t)(kind + 1);
	return 0;
}

static int read_holder(const struct ws_json *j, struct ws_holder *h)
{
	if (ws_json_hex(j, "holder", &h->id) ||
	    ws_json_hex(j, "incarnation", &h->incarnation))
		return WS_ERR_SYNTAX;
	return 0;
}

static int read_item(const struct ws_json *j, struct ws_assign_item *item)
{
	static const char *const fields[] = { "kind",	"scope",
					      "item",	"expected",
					      "holder", "incarnation",
					      NULL };

	if (ws_json_check_fields(j, fields) || read_res(j, &item->res) ||
	    ws_json_uint(j, "expected", 0, INT64_MAX, &item->expected_fence) ||
	    read_holder(j, &item->holder))
		return WS_ERR_SYNTAX;
	return 0;
}

static int read_assignment(const struct ws_json *j, struct ws_assignment *a)
{
	static const char *const fields[] = { "kind",	"scope",       "item",
					      "holder", "incarnation", "fence",
					      "active", "takeover_ms", NULL };
	uint64_t takeover;

	if (ws_json_check_fields(j, fields) || read_res(j, &a->res) ||
	    read_holder(j, &a->holder) ||
	    ws_json_uint(j, "fence", 1, INT64_MAX, &a->fence) ||
	    ws_json_bool(j, "active", &a->active) ||
	    ws_json_uint(j, "takeover_ms", 0, INT64_MAX, &takeover))
		return WS_ERR_SYNTAX;
	a->takeover_wall_ms = (int64_t)takeover;
	return 0;
}

static int read_envelope(const struct ws_json *j, struct ws_record *rec)
{
	struct ws_json env;

	if (ws_json_object(j, "envelope", &env))
		return WS_ERR_SYNTAX;
	rec->bundle_text = json_dumps(env.node, JSON_COMPACT);
	WS_INVARIANT(rec->bundle_text);
	return 0;
}

/* ===== Kinds ===== */

static int read_assign(const struct ws_json *j, struct ws_record *rec)
{
	static const char *const fields[] = { FIELDS_COMMON, "released",
					      "items", NULL };
	struct ws_json e;
	size_t n;
	size_t i;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_bool(j, "released", &rec->released) ||
	    ws_json_array(j, "items", WS_RECORD_ITEMS_MAX, &n))
		return WS_ERR_SYNTAX;
	rec->items = ws_alloc(n + 1, sizeof(*rec->items));
	for (i = 0; i < n; i++)
		if (ws_json_elem(j, "items", i, &e) ||
		    read_item(&e, &rec->items[i]))
			return WS_ERR_SYNTAX;
	rec->n_items = n;
	return 0;
}

static int read_activate(const struct ws_json *j, struct ws_record *rec)
{
	static const char *const fields[] = { FIELDS_COMMON, "assign", NULL };

	if (ws_json_check_fields(j, fields) ||
	    ws_json_uint(j, "assign", 1, INT64_MAX, &rec->target_offset))
		return WS_ERR_SYNTAX;
	return 0;
}

static int read_bundle(const struct ws_json *j, struct ws_record *rec)
{
	static const char *const fields[] = { FIELDS_COMMON, "version", "base",
					      "envelope", NULL };

	if (ws_json_check_fields(j, fields) ||
	    ws_json_uint(j, "version", 1, INT64_MAX, &rec->bundle_version) ||
	    ws_json_uint(j, "base", 0, INT64_MAX, &rec->bundle_base))
		return WS_ERR_SYNTAX;
	return read_envelope(j, rec);
}

static int read_assignments(const struct ws_json *state, struct ws_record *rec)
{
	struct ws_json e;
	size_t n;
	size_t i;

	if (ws_json_array(state, "assignments", WS_RECORD_ITEMS_MAX, &n))
		return WS_ERR_SYNTAX;
	rec->assignments = ws_alloc(n + 1, sizeof(*rec->assignments));
	for (i = 0; i < n; i++)
		if (ws_json_elem(state, "assignments", i, &e) ||
		    read_assignment(&e, &rec->assignments[i]))
			return WS_ERR_SYNTAX;
	rec->n_assignments = n;
	return 0;
}

static int read_state(const struct ws_json *state, struct ws_record *rec)
{
	static const char *const fields[] = { "assignments", "bundle_version",
					      "envelope", NULL };

	if (ws_json_check_fields(state, fields) ||
	    ws_json_uint(state, "bundle_version", 0, INT64_MAX,
			 &rec->bundle_version) ||
	    read_assignments(state, rec))
		return WS_ERR_SYNTAX;
	if (!rec->bundle_version && !ws_json_has(state, "envelope"))
		return 0;
	return read_envelope(state, rec);
}

static int read_snapshot(const struct ws_json *j, struct ws_record *rec)
{
	static const char *const fields[] = { FIELDS_COMMON, "covered", "hash",
					      "state", NULL };
	struct ws_json state;
	uint64_t hash;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_uint(j, "covered", 0, INT64_MAX, &rec->target_offset) ||
	    ws_json_hex(j, "hash", &hash) || ws_json_object(j, "state", &state))
		return WS_ERR_SYNTAX;
	if (ws_codec_state_hash(state.node) != hash)
		return ws_json_error(j, "hash",
				     "does not match the state; use an older "
				     "snapshot");
	return read_state(&state, rec);
}

static int read_recover(const struct ws_json *j, struct ws_record *rec)
{
	static const char *const fields[] = { FIELDS_COMMON, "envelope", NULL };

	if (ws_json_check_fields(j, fields))
		return WS_ERR_SYNTAX;
	return read_envelope(j, rec);
}

/* ===== Records ===== */

static int read_kind(const struct ws_json *j, struct ws_record *rec)
{
	switch (rec->kind) {
	case WS_REC_ASSIGN:
		return read_assign(j, rec);
	case WS_REC_ACTIVATE:
		return read_activate(j, rec);
	case WS_REC_BUNDLE:
		return read_bundle(j, rec);
	case WS_REC_SNAPSHOT:
		return read_snapshot(j, rec);
	default:
		return read_recover(j, rec);
	}
}

static int read_record(const struct ws_json *j, struct ws_record *rec)
{
	uint64_t wall;
	size_t kind;

	if (ws_json_choice(j, "kind", ws_codec_record_kinds, &kind) ||
	    ws_json_hex(j, "uid", &rec->uid) ||
	    ws_json_hex(j, "writer", &rec->writer) ||
	    ws_json_uint(j, "wall_ms", 0, INT64_MAX, &wall))
		return WS_ERR_SYNTAX;
	rec->kind = (uint8_t)(kind + 1);
	rec->wall_ms = (int64_t)wall;
	return read_kind(j, rec);
}

int ws_codec_record_parse(const char *text, struct ws_record *out,
			  struct ws_codec_error *why)
{
	struct ws_json root;
	int res;

	memset(out, 0, sizeof(*out));
	res = ws_json_open(text, WS_RECORD_TEXT_MAX, "record", &root, why);
	if (ws_is_error(res))
		return res;
	res = read_record(&root, out);
	ws_json_close(&root);
	if (ws_is_error(res))
		ws_record_clear(out);
	return res;
}
