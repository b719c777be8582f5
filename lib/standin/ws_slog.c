#include "standin/ws_slog.h"

#include <stdlib.h>
#include <string.h>

#define FAULT_TEXT_MAX ((size_t)64 * 1024)

struct ws_slog *ws_slog_new(void)
{
	struct ws_slog *l = ws_alloc(1, sizeof(*l));

	l->oldest_offset = 1;
	return l;
}

void ws_slog_free(struct ws_slog *l)
{
	size_t i;

	for (i = 0; i < l->n_records; i++)
		free(l->records[i].data);
	free(l->records);
	free(l);
}

/* ===== Records ===== */

/* Drops the oldest records beyond the retention. */
static void expire(struct ws_slog *l)
{
	size_t drop;
	size_t i;

	if (!l->retain || l->n_records <= l->retain)
		return;
	drop = l->n_records - l->retain;
	for (i = 0; i < drop; i++)
		free(l->records[i].data);
	l->n_records -= drop;
	memmove(l->records, l->records + drop,
		l->n_records * sizeof(*l->records));
	l->oldest_offset += drop;
}

ws_offset ws_slog_head(const struct ws_slog *l)
{
	return l->oldest_offset + l->n_records;
}

ws_offset ws_slog_append(struct ws_slog *l, const char *data, size_t len)
{
	struct ws_slog_record *e;
	ws_offset offset = ws_slog_head(l);

	ws_grow(&l->records, &l->cap, l->n_records + 1, sizeof(*l->records));
	e = &l->records[l->n_records++];
	e->data = ws_alloc(len + 1, 1);
	memcpy(e->data, data, len);
	e->len = len;
	expire(l);
	return offset;
}

char *ws_slog_read(const struct ws_slog *l, ws_offset from, size_t max)
{
	json_t *records = json_array();
	json_t *page;
	char *text;
	size_t i = from > l->oldest_offset ? from - l->oldest_offset : 0;
	size_t end = i < l->n_records && l->n_records - i > max ? i + max :
								  l->n_records;

	for (; i < end; i++) {
		json_array_append_new(
			records,
			json_pack("{s:I, s:s%}", "offset",
				  (json_int_t)l->oldest_offset + (json_int_t)i,
				  "data", l->records[i].data,
				  l->records[i].len));
	}
	page = json_pack("{s:I, s:I, s:o}", "oldest",
			 (json_int_t)l->oldest_offset, "head",
			 (json_int_t)ws_slog_head(l), "records", records);
	text = json_dumps(page, JSON_COMPACT);
	json_decref(page);
	return text;
}

/* ===== Faults ===== */

bool ws_standin_consume_fault(uint32_t *count)
{
	if (!*count)
		return false;
	(*count)--;
	return true;
}

int ws_standin_read_end_time(const struct ws_json *j, const char *field,
			     ws_us now, ws_us *out)
{
	json_t *v = json_object_get(j->node, field);
	json_int_t ms = json_integer_value(v);

	if (!v)
		return 0;
	if (!json_is_integer(v) || ms > INT32_MAX)
		return ws_json_error(j, field,
				     "expected milliseconds, 0 to end it or "
				     "-1 for ever; correct the value");
	*out = ms < 0 ? WS_SLOG_FOREVER : now + ms * WS_MS;
	return 0;
}

int ws_standin_read_count(const struct ws_json *j, const char *field,
			  uint32_t *out)
{
	uint64_t n;

	if (!ws_json_has(j, field))
		return 0;
	if (ws_json_uint(j, field, 0, UINT32_MAX, &n))
		return WS_ERR_SYNTAX;
	*out = (uint32_t)n;
	return 0;
}

static int read_faults(const struct ws_json *j, struct ws_slog *l, ws_us now)
{
	static const char *const fields[] = {
		"down_ms",	  "silent_ms", "slow_ms", "lose_replies",
		"refuse_appends", "retain",    NULL
	};
	uint32_t retain = (uint32_t)l->retain;
	uint32_t slow = (uint32_t)(l->response_delay / WS_MS);

	if (ws_json_check_fields(j, fields) ||
	    ws_standin_read_end_time(j, "down_ms", now, &l->down_until) ||
	    ws_standin_read_end_time(j, "silent_ms", now, &l->silent_until) ||
	    ws_standin_read_count(j, "slow_ms", &slow) ||
	    ws_standin_read_count(j, "lose_replies", &l->lose_replies) ||
	    ws_standin_read_count(j, "refuse_appends", &l->refuse_appends) ||
	    ws_standin_read_count(j, "retain", &retain))
		return WS_ERR_SYNTAX;
	l->response_delay = slow * WS_MS;
	l->retain = retain;
	expire(l);
	return 0;
}

int ws_slog_set_faults(struct ws_slog *l, ws_us now, const char *text,
		       struct ws_codec_error *why)
{
	struct ws_json root;
	int res = ws_json_open(text, FAULT_TEXT_MAX, "fault", &root, why);

	if (ws_is_error(res))
		return res;
	res = read_faults(&root, l, now);
	ws_json_close(&root);
	return res;
}
