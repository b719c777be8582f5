#include "io/ws_audit.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec/ws_codec.h"
#include "core/ws_bundle.h"

struct entry {
	int64_t wall_ms;
	uint8_t kind; /* enum ws_record_kind; 0: administration request */
	ws_offset offset;
	ws_id writer;
	uint64_t version;
	size_t n_items;
	int error;
	char what[32];
};

struct ws_audit {
	struct entry entries[WS_AUDIT_MAX];
	size_t count; /* ever noted */
	ws_offset last;
};

struct ws_audit *ws_audit_new(void)
{
	return ws_alloc(1, sizeof(struct ws_audit));
}

void ws_audit_free(struct ws_audit *a)
{
	free(a);
}

static struct entry *next_entry(struct ws_audit *a)
{
	struct entry *e = &a->entries[a->count++ % WS_AUDIT_MAX];

	*e = (struct entry){ .kind = 0 };
	return e;
}

static const char *kind_name(uint8_t kind)
{
	static const char *const names[] = {
		"invalid", "assign",   "activate",
		"bundle",  "snapshot", "recover",
	};

	return kind < sizeof(names) / sizeof(names[0]) ? names[kind] :
							 "invalid";
}

static uint64_t record_version(const struct ws_record *rec)
{
	if (rec->bundle)
		return rec->bundle->version;
	return rec->bundle_version;
}

void ws_audit_add_record(struct ws_audit *a, const struct ws_record *rec)
{
	struct entry *e;

	if (rec->offset <= a->last)
		return;
	a->last = rec->offset;
	e = next_entry(a);
	e->wall_ms = rec->wall_ms;
	e->kind = rec->kind;
	e->offset = rec->offset;
	e->writer = rec->writer;
	e->version = record_version(rec);
	e->n_items = rec->n_items + rec->n_gone;
	if (rec->kind == WS_REC_BUNDLE && !rec->bundle)
		e->error = WS_ERR_SIGNATURE;
	snprintf(e->what, sizeof(e->what), "%s", kind_name(rec->kind));
}

void ws_audit_add_request(struct ws_audit *a, int64_t wall_ms, const char *what,
			  int error)
{
	struct entry *e = next_entry(a);

	e->wall_ms = wall_ms;
	e->error = error;
	snprintf(e->what, sizeof(e->what), "%s", what);
}

static json_t *entry_json(const struct entry *e)
{
	char writer[17];

	ws_codec_hex(e->writer, writer);
	return json_pack("{s:s, s:I, s:I, s:s, s:I, s:I, s:s}", "what", e->what,
			 "wall_ms", (json_int_t)e->wall_ms, "offset",
			 (json_int_t)e->offset, "writer", writer, "version",
			 (json_int_t)e->version, "items",
			 (json_int_t)e->n_items, "error",
			 ws_error_name(e->error));
}

json_t *ws_audit_json(const struct ws_audit *a)
{
	json_t *list = json_array();
	size_t i = a->count > WS_AUDIT_MAX ? a->count - WS_AUDIT_MAX : 0;

	for (; i < a->count; i++)
		json_array_append_new(
			list, entry_json(&a->entries[i % WS_AUDIT_MAX]));
	return list;
}
