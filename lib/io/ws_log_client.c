#include "io/ws_log_client.h"

#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"
#include "io/ws_admin.h"
#include "io/ws_http.h"
#include "io/ws_logline.h"
#include "io/ws_trust.h"

/* A connection to the log that is silent this long is closed and replaced. */
#define LOG_TIMEOUT (2 * WS_SECOND)
#define LONG_POLL_MS 200
#define PAGE_RECORDS_MAX 200
#define PAGE_BYTES_MAX ((size_t)16 * 1024 * 1024)
#define URL_MAX 384

struct exchange {
	struct ws_log_client *owner;
	struct ws_http_call *call;
	ws_us started;
	ws_offset from; /* reads */
	uint64_t uid; /* appends */
	char *text; /* appends */
};

struct ws_log_client {
	struct ws_shell *sh;
	GHashTable *exchanges; /* open ones; set of struct exchange */
	struct curl_slist *headers;
	bool down; /* the last read failed */
};

/* ===== Exchanges ===== */

static void end_exchange(struct exchange *x)
{
	g_hash_table_remove(x->owner->exchanges, x);
	free(x->text);
	free(x);
}

static struct exchange *add_exchange(struct ws_log_client *c)
{
	struct exchange *x = ws_alloc(1, sizeof(*x));

	x->owner = c;
	x->started = ws_shell_now();
	g_hash_table_add(c->exchanges, x);
	return x;
}

static void start_exchange(struct exchange *x, const char *url,
			   const char *method, ws_http_done_fn done)
{
	x->call =
		ws_http_start(x->owner->sh->http,
			      &(struct ws_http_request){
				      .url = url,
				      .method = method,
				      .headers = x->owner->headers,
				      .data = x->text,
				      .data_len = x->text ? strlen(x->text) : 0,
				      .timeout = LOG_TIMEOUT,
				      .max_answer = PAGE_BYTES_MAX,
				      .done = done,
				      .arg = x,
			      });
}

static bool is_ok(const struct ws_http_result *res)
{
	return res->outcome == WS_HTTP_DONE && res->answer.status == 200;
}

/* ===== Appends ===== */

static ws_offset parse_offset(const struct ws_http_result *res)
{
	json_t *o = json_loadb(res->answer.data, res->answer.data_len, 0, NULL);
	json_int_t v = json_integer_value(json_object_get(o, "offset"));

	json_decref(o);
	return v > 0 ? (ws_offset)v : 0;
}

/*
 * A record is certain to be absent from the log only if its request was never
 * sent, or if the log rejected it with a 4xx status.
 */
static bool may_have_been_appended(const struct ws_http_result *res)
{
	if (res->outcome == WS_HTTP_NOT_SENT)
		return false;
	return res->outcome != WS_HTTP_DONE || res->answer.status < 400 ||
	       res->answer.status >= 500;
}

static void on_appended(void *arg, const struct ws_http_result *res)
{
	struct exchange *x = arg;
	struct ws_shell *sh = x->owner->sh;
	struct ws_event ev = { .kind = WS_EV_APPENDED };
	ws_offset offset = is_ok(res) ? parse_offset(res) : 0;

	if (offset) {
		ev.u.appended.uid = x->uid;
		ev.u.appended.offset = offset;
	} else {
		ev.kind = WS_EV_APPEND_FAILED;
		ev.u.append_failed.uid = x->uid;
		ev.u.append_failed.unknown = may_have_been_appended(res);
	}
	end_exchange(x);
	ws_shell_handle_event(sh, &ev);
}

static void fail_append(struct ws_log_client *c, const struct ws_record *rec,
			int error)
{
	struct ws_event ev = { .kind = WS_EV_APPEND_FAILED };

	ws_logline(WS_LOG_BAD_RECORD, c->sh->self, rec->kind, error,
		   "record of this instance could not be encoded");
	ev.u.append_failed.uid = rec->uid;
	ws_shell_post_event(c->sh, &ev);
}

void ws_log_client_append(struct ws_log_client *c, const struct ws_record *rec)
{
	char url[URL_MAX];
	char *text = NULL;
	struct exchange *x;
	int res = ws_codec_record_write(rec, &text);

	if (ws_is_error(res)) {
		fail_append(c, rec, res);
		return;
	}
	x = add_exchange(c);
	x->uid = rec->uid;
	x->text = text;
	snprintf(url, sizeof(url), "%s/log/append", c->sh->conf->log);
	start_exchange(x, url, "POST", on_appended);
}

/* ===== Reads ===== */

static bool parse_page(const struct ws_http_result *res,
		       struct ws_log_page *page)
{
	struct ws_codec_error why;
	char *text;
	int err;

	if (!is_ok(res))
		return false;
	text = g_strndup(res->answer.data, res->answer.data_len);
	err = ws_codec_log_page_parse(text, page, &why);
	g_free(text);
	if (ws_is_error(err))
		ws_logline(WS_LOG_BAD_RECORD, 0, 0, err, why.text);
	return !ws_is_error(err);
}

static void submit_page(struct exchange *x, struct ws_log_page *page)
{
	struct ws_shell *sh = x->owner->sh;
	struct ws_event ev = { .kind = WS_EV_LOG_READ };

	ws_trust_verify_records(page->records, page->n_records);
	ws_admin_add_records(sh->admin, page->records, page->n_records);
	ev.u.log_read.started = x->started;
	ev.u.log_read.from = x->from;
	ev.u.log_read.oldest = page->oldest;
	ev.u.log_read.head = page->head;
	ev.u.log_read.n_records = page->n_records;
	ev.u.log_read.records = page->records;
	ws_shell_handle_event(sh, &ev);
}

static void log_state_change(struct ws_log_client *c, bool down)
{
	if (down != c->down)
		ws_logline(down ? WS_LOG_LOG_DOWN : WS_LOG_LOG_UP, 0, 0,
			   down ? WS_ERR_LOG : 0, c->sh->conf->log);
	c->down = down;
}

static void on_read(void *arg, const struct ws_http_result *res)
{
	struct exchange *x = arg;
	struct ws_event failed = { .kind = WS_EV_LOG_FAILED };
	struct ws_log_page page;

	if (parse_page(res, &page)) {
		log_state_change(x->owner, false);
		submit_page(x, &page);
		ws_codec_log_page_clear(&page);
	} else {
		log_state_change(x->owner, true);
		ws_shell_handle_event(x->owner->sh, &failed);
	}
	end_exchange(x);
}

void ws_log_client_read(struct ws_log_client *c, ws_offset from)
{
	struct exchange *x = add_exchange(c);
	char url[URL_MAX];

	x->from = from;
	snprintf(url, sizeof(url),
		 "%s/log/read?from=%" PRIu64 "&max=%d&wait_ms=%d",
		 c->sh->conf->log, from, PAGE_RECORDS_MAX, LONG_POLL_MS);
	start_exchange(x, url, "GET", on_read);
}

/* ===== Lifecycle ===== */

struct ws_log_client *ws_log_client_new(struct ws_shell *sh)
{
	struct ws_log_client *c = ws_alloc(1, sizeof(*c));

	c->sh = sh;
	c->exchanges = g_hash_table_new(g_direct_hash, g_direct_equal);
	c->headers = curl_slist_append(NULL, "Content-Type: application/json");
	return c;
}

void ws_log_client_free(struct ws_log_client *c)
{
	GHashTableIter it;
	gpointer key;

	if (!c)
		return;
	g_hash_table_iter_init(&it, c->exchanges);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct exchange *x = key;

		ws_http_cancel(x->call);
		free(x->text);
		free(x);
	}
	g_hash_table_destroy(c->exchanges);
	curl_slist_free_all(c->headers);
	free(c);
}
