#include "codec/ws_json.h"

#include <stdlib.h>
#include <string.h>

#define PAGE_TEXT_MAX ((size_t)16 * 1024 * 1024)
#define PAGE_RECORDS_MAX 16384

static int read_entry(const struct ws_json *j, struct ws_record *rec)
{
	static const char *const fields[] = { "offset", "data", NULL };
	uint64_t offset;
	const char *data;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_uint(j, "offset", 1, INT64_MAX, &offset) ||
	    ws_json_string(j, "data", PAGE_TEXT_MAX, &data))
		return WS_ERR_SYNTAX;
	/* Every reader must skip an invalid entry, so it keeps kind 0. */
	ws_codec_record_parse(data, rec, NULL);
	rec->offset = offset;
	return 0;
}

/* Offsets grow from entry to entry and lie between oldest and head. */
static int check_offset(const struct ws_json *j, const struct ws_log_page *page,
			size_t i)
{
	const struct ws_record *rec = &page->records[i];

	if (rec->offset < page->oldest || rec->offset >= page->head ||
	    (i && rec->offset <= rec[-1].offset))
		return ws_json_error(j, "offset",
				     "%llu is out of order or outside the "
				     "page; read the page again",
				     (unsigned long long)rec->offset);
	return 0;
}

static int read_records(const struct ws_json *root, struct ws_log_page *page)
{
	struct ws_json j;
	size_t n;
	size_t i;

	if (ws_json_array(root, "records", PAGE_RECORDS_MAX, &n))
		return WS_ERR_SYNTAX;
	page->records = ws_alloc(n + 1, sizeof(*page->records));
	for (i = 0; i < n; i++) {
		page->n_records = i + 1;
		if (ws_json_elem(root, "records", i, &j) ||
		    read_entry(&j, &page->records[i]) ||
		    check_offset(&j, page, i))
			return WS_ERR_SYNTAX;
	}
	return 0;
}

static int read_page(const struct ws_json *root, struct ws_log_page *page)
{
	static const char *const fields[] = { "oldest", "head", "records",
					      NULL };

	if (ws_json_check_fields(root, fields) ||
	    ws_json_uint(root, "head", 1, INT64_MAX, &page->head) ||
	    ws_json_uint(root, "oldest", 1, page->head, &page->oldest))
		return WS_ERR_SYNTAX;
	return read_records(root, page);
}

int ws_codec_log_page_parse(const char *text, struct ws_log_page *page,
			    struct ws_codec_error *why)
{
	struct ws_json root;
	int res;

	memset(page, 0, sizeof(*page));
	res = ws_json_open(text, PAGE_TEXT_MAX, "log page", &root, why);
	if (ws_is_error(res))
		return res;
	res = read_page(&root, page);
	ws_json_close(&root);
	if (ws_is_error(res))
		ws_codec_log_page_clear(page);
	return res;
}

void ws_codec_log_page_clear(struct ws_log_page *page)
{
	size_t i;

	for (i = 0; i < page->n_records; i++)
		ws_record_clear(&page->records[i]);
	free(page->records);
	memset(page, 0, sizeof(*page));
}
