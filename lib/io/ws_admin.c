#include "io/ws_admin.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "codec/ws_codec.h"
#include "config/ws_secret.h"
#include "io/ws_answer.h"
#include "io/ws_audit.h"
#include "io/ws_logline.h"
#include "io/ws_metrics.h"
#include "io/ws_mhd.h"
#include "io/ws_status.h"

#define CONNECTIONS_MAX 64
#define PUBLISH_TIMEOUT (8 * WS_SECOND)
#define PREFIX "/admin/v1"

struct request {
	struct ws_admin *owner;
	struct MHD_Connection *con;
	bool headers_seen; /* the handler was called with the headers */
	bool suspended;
	uint64_t ref; /* of a submitted record without a result; 0: none */
	ws_us submitted_at;
	GString *body;
	struct MHD_Response *response;
	unsigned status;
};

struct ws_admin {
	struct ws_shell *sh;
	struct ws_mhd *mhd;
	struct ws_audit *audit;
	GHashTable *pending; /* ref -> struct request */
	uint64_t next_ref;
	int timer;
	uint8_t token[crypto_generichash_BYTES];
};

/* ===== Answers ===== */

static void set_json(struct request *r, unsigned status, json_t *o)
{
	char *text = json_dumps(o, JSON_INDENT(1));

	WS_INVARIANT(text);
	json_decref(o);
	r->status = status;
	r->response = ws_answer_text(text, "application/json");
}

static void set_text(struct request *r, unsigned status, char *text)
{
	r->status = status;
	r->response = ws_answer_text(text, "text/plain; version=0.0.4");
}

static void set_error(struct request *r, int error, const char *detail)
{
	set_json(r, (unsigned)ws_error_http_status(error),
		 json_pack("{s:s, s:s, s:s, s:s}", "error",
			   ws_error_name(error), "message",
			   ws_error_message(error), "detail", detail, "remedy",
			   ws_error_remedy(error)));
}

/* An error that only this listener returns, with its own remedy. */
static void set_refusal(struct request *r, unsigned status, const char *error,
			const char *message, const char *remedy)
{
	set_json(r, status,
		 json_pack("{s:s, s:s, s:s}", "error", error, "message",
			   message, "remedy", remedy));
}

static void set_no_such_page(struct request *r)
{
	set_refusal(r, 404, "no_such_page", "this listener has no such page",
		    "use a page of docs/ADMIN-API.md with its method");
}

static enum MHD_Result queue_response(struct request *r)
{
	enum MHD_Result res =
		MHD_queue_response(r->con, r->status, r->response);

	MHD_destroy_response(r->response);
	r->response = NULL;
	return res;
}

/* ===== Access ===== */

/*
 * Compares hashes in constant time, so that the time that it takes reveals
 * nothing about the token.
 */
static bool has_valid_token(struct request *r)
{
	static const char scheme[] = "Bearer ";
	const char *value = MHD_lookup_connection_value(
		r->con, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
	uint8_t hash[crypto_generichash_BYTES];

	if (!value || strncasecmp(value, scheme, sizeof(scheme) - 1) != 0)
		return false;
	value += sizeof(scheme) - 1;
	crypto_generichash(hash, sizeof(hash), (const uint8_t *)value,
			   strlen(value), NULL, 0);
	return !sodium_memcmp(hash, r->owner->token, sizeof(hash));
}

/* ===== Pages without token ===== */

static void serve_ready(struct request *r)
{
	bool ready = ws_core_ready(r->owner->sh->core, ws_shell_now());

	set_text(r, ready ? 200 : 503,
		 strdup(ready ? "ready\n" : "not ready\n"));
}

static bool serve_public(struct request *r, const char *url)
{
	if (!strcmp(url, "/healthz"))
		set_text(r, 200, strdup("ok\n"));
	else if (!strcmp(url, "/readyz"))
		serve_ready(r);
	else if (!strcmp(url, "/metrics"))
		set_text(r, 200, ws_metrics_text(r->owner->sh));
	else
		return false;
	return true;
}

/* ===== Pages with token ===== */

static void serve_explain(struct request *r)
{
	const char *service = MHD_lookup_connection_value(
		r->con, MHD_GET_ARGUMENT_KIND, "service");
	const char *key = MHD_lookup_connection_value(
		r->con, MHD_GET_ARGUMENT_KIND, "key");
	json_t *o;

	if (!service || !key) {
		set_refusal(r, 400, "bad_request",
			    "the page needs a service and a key",
			    "ask for /admin/v1/explain?service=NAME&key=KEY");
		return;
	}
	o = ws_status_explain(r->owner->sh, service, key);
	if (o)
		set_json(r, 200, o);
	else
		set_error(r, WS_ERR_NO_SERVICE, service);
}

static void serve_bundle(struct request *r)
{
	const struct ws_bundle *b = ws_core_view(r->owner->sh->core)->bundle;

	if (!b) {
		set_error(r, WS_ERR_NO_BUNDLE, "");
		return;
	}
	r->status = 200;
	r->response = ws_answer_text(strdup(b->text), "application/json");
}

static void serve_page(struct request *r, const char *page)
{
	struct ws_admin *a = r->owner;

	if (!strcmp(page, "/status"))
		set_json(r, 200, ws_status_page(a->sh));
	else if (!strcmp(page, "/owners"))
		set_json(r, 200, ws_status_owners(a->sh));
	else if (!strcmp(page, "/shares"))
		set_json(r, 200, ws_status_shares(a->sh));
	else if (!strcmp(page, "/targets"))
		set_json(r, 200, ws_status_targets(a->sh));
	else if (!strcmp(page, "/bundle"))
		serve_bundle(r);
	else if (!strcmp(page, "/history"))
		set_json(r, 200, ws_status_history(a->sh));
	else if (!strcmp(page, "/audit"))
		set_json(r, 200,
			 json_pack("{s:o}", "audit", ws_audit_json(a->audit)));
	else if (!strcmp(page, "/explain"))
		serve_explain(r);
	else
		set_no_such_page(r);
}

/* ===== Changes ===== */

static void finish_publish(struct request *r, int error, uint64_t version)
{
	struct ws_admin *a = r->owner;

	ws_audit_add_request(a->audit, ws_shell_wall_ms(), "publish", error);
	if (error == WS_ERR_UNKNOWN_OUTCOME)
		set_refusal(
			r, 504, ws_error_name(error),
			"the log did not answer; the bundle may come into force",
			"wait until the log answers, then read the bundle in "
			"force before publishing again");
	else if (error)
		set_json(r, (unsigned)ws_error_http_status(error),
			 json_pack("{s:s, s:s, s:s, s:I}", "error",
				   ws_error_name(error), "message",
				   ws_error_message(error), "remedy",
				   ws_error_remedy(error), "version_in_force",
				   (json_int_t)version));
	else
		set_json(r, 200,
			 json_pack("{s:I}", "version_in_force",
				   (json_int_t)version));
	r->ref = 0;
	if (r->suspended)
		ws_mhd_resume(a->mhd, r->con);
	r->suspended = false;
}

void ws_admin_on_published(struct ws_admin *a, uint64_t ref, int error,
			   uint64_t version)
{
	struct request *r = g_hash_table_lookup(a->pending, &ref);

	if (!r)
		return;
	g_hash_table_remove(a->pending, &ref);
	finish_publish(r, error, version);
}

/* Submits a signed record to the core; its result ends the request. */
static void submit_record(struct request *r, struct ws_record *rec)
{
	struct ws_admin *a = r->owner;
	struct ws_event ev = { .kind = WS_EV_PUBLISH };

	randombytes_buf(&rec->uid, sizeof(rec->uid));
	rec->writer = a->sh->self;
	rec->wall_ms = ws_shell_wall_ms();
	rec->bundle_text = r->body->str;
	r->ref = ++a->next_ref;
	r->submitted_at = ws_shell_now();
	g_hash_table_insert(a->pending, &r->ref, r);
	ev.u.publish.ref = r->ref;
	ev.u.publish.record = rec;
	ws_shell_handle_event(a->sh, &ev);
}

static void submit_bundle(struct request *r, struct ws_bundle *b)
{
	struct ws_record rec = {
		.kind = WS_REC_BUNDLE,
		.bundle = b,
		.bundle_version = b->version,
		.bundle_base = b->base,
	};

	submit_record(r, &rec);
}

/* Submits a signed record which states that instances are permanently lost. */
static void recover(struct request *r)
{
	struct ws_record rec = { .kind = WS_REC_RECOVER };
	struct ws_codec_error why = { "" };
	int res;

	rec.bundle_text = r->body->str;
	res = ws_codec_recover_open(&rec, NULL, 0, &why);
	ws_audit_add_request(r->owner->audit, ws_shell_wall_ms(), "recover",
			     res);
	if (ws_is_error(res))
		set_error(r, res, why.text);
	else
		submit_record(r, &rec);
	free(rec.gone);
}

static void publish(struct request *r)
{
	struct ws_bundle *b = NULL;
	struct ws_codec_error why = { "" };
	int res = ws_codec_envelope_open(r->body->str, NULL, 0, &b, &why);

	if (ws_is_error(res)) {
		ws_audit_add_request(r->owner->audit, ws_shell_wall_ms(),
				     "publish", res);
		set_error(r, res, why.text);
		return;
	}
	submit_bundle(r, b);
	ws_bundle_unref(b);
}

static void serve_change(struct request *r, const char *page)
{
	struct ws_admin *a = r->owner;

	if (!strcmp(page, "/bundle")) {
		publish(r);
	} else if (!strcmp(page, "/recover")) {
		recover(r);
	} else if (!strcmp(page, "/drain")) {
		ws_audit_add_request(a->audit, ws_shell_wall_ms(), "drain", 0);
		ws_shell_drain(a->sh);
		set_json(r, 202, json_pack("{s:b}", "draining", 1));
	} else {
		set_no_such_page(r);
	}
}

/* ===== Requests ===== */

/* Some load balancers send their health checks with HEAD. */
static bool is_get_or_head(const char *method)
{
	return !strcmp(method, "GET") || !strcmp(method, "HEAD");
}

static void serve(struct request *r, const char *url, const char *method)
{
	if (is_get_or_head(method) && serve_public(r, url))
		return;
	if (!has_valid_token(r)) {
		ws_logline(WS_LOG_ADMIN_DENIED, 0, 0, WS_ERR_NO_KEY, url);
		set_refusal(r, 401, "bad_admin_token",
			    "the administration token is missing or wrong",
			    "send Authorization: Bearer with the line of the "
			    "instance's token_file");
		return;
	}
	if (strncmp(url, PREFIX "/", sizeof(PREFIX)) != 0) {
		set_no_such_page(r);
		return;
	}
	if (!strcmp(method, "GET"))
		serve_page(r, url + sizeof(PREFIX) - 1);
	else if (!strcmp(method, "POST"))
		serve_change(r, url + sizeof(PREFIX) - 1);
	else
		set_no_such_page(r);
}

static enum MHD_Result finish_request(struct request *r, const char *url,
				      const char *method)
{
	if (r->body->len > WS_RECORD_TEXT_MAX)
		set_error(r, WS_ERR_TOO_LARGE, "");
	else
		serve(r, url, method);
	if (r->response)
		return queue_response(r);
	r->suspended = true;
	MHD_suspend_connection(r->con);
	return MHD_YES;
}

static enum MHD_Result on_access(void *arg, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **cls)
{
	struct request *r = *cls;

	(void)arg;
	(void)con;
	(void)version;
	if (r->response)
		return queue_response(r);
	if (!r->headers_seen) {
		r->headers_seen = true;
		return MHD_YES;
	}
	if (!*len)
		return finish_request(r, url, method);
	/* Stops after the limit is exceeded; finish_request() checks that. */
	if (r->body->len <= WS_RECORD_TEXT_MAX)
		g_string_append_len(r->body, data, (gssize)*len);
	*len = 0;
	return MHD_YES;
}

static void *on_begin(void *arg, const char *uri, struct MHD_Connection *con)
{
	struct request *r = ws_alloc(1, sizeof(*r));

	(void)uri;
	r->owner = arg;
	r->con = con;
	r->body = g_string_new(NULL);
	return r;
}

static void on_completed(void *arg, struct MHD_Connection *con, void **cls,
			 enum MHD_RequestTerminationCode code)
{
	struct request *r = *cls;

	(void)arg;
	(void)con;
	(void)code;
	if (!r)
		return;
	if (r->ref)
		g_hash_table_remove(r->owner->pending, &r->ref);
	if (r->response)
		MHD_destroy_response(r->response);
	g_string_free(r->body, TRUE);
	free(r);
	*cls = NULL;
}

/*
 * Ends requests that got no result in time, so that an operator doesn't wait
 * forever while the log is down.
 */
static void expire_pending(void *arg, ws_us now)
{
	struct ws_admin *a = arg;
	GList *all = g_hash_table_get_values(a->pending);
	GList *i;

	for (i = all; i; i = i->next) {
		struct request *r = i->data;

		if (now - r->submitted_at > PUBLISH_TIMEOUT)
			ws_admin_on_published(a, r->ref, WS_ERR_UNKNOWN_OUTCOME,
					      0);
	}
	g_list_free(all);
}

void ws_admin_add_records(struct ws_admin *a, const struct ws_record *records,
			  size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		ws_audit_add_record(a->audit, &records[i]);
}

/* ===== Lifecycle ===== */

static int load_token(struct ws_admin *a, struct ws_config_error *why)
{
	struct ws_secret_lines lines;

	if (ws_secret_read(a->sh->conf->token_file, 1, &lines, why))
		return WS_ERR_CONFIG;
	crypto_generichash(a->token, sizeof(a->token),
			   (const uint8_t *)lines.line[0],
			   strlen(lines.line[0]), NULL, 0);
	sodium_memzero(&lines, sizeof(lines));
	return 0;
}

static int open_listener(struct ws_admin *a, struct ws_config_error *why)
{
	struct ws_mhd_conf conf = {
		.address = a->sh->conf->admin,
		.max_connections = CONNECTIONS_MAX,
		.handler = on_access,
		.begin = on_begin,
		.completed = on_completed,
		.arg = a,
	};

	a->mhd = ws_mhd_new(a->sh->loop, &conf);
	if (a->mhd)
		return 0;
	snprintf(why->text, sizeof(why->text),
		 "cannot listen on %s for administration (%s); choose a free "
		 "address of this machine",
		 conf.address, strerror(errno));
	return WS_ERR_CONFIG;
}

struct ws_admin *ws_admin_new(struct ws_shell *sh, struct ws_config_error *why)
{
	struct ws_admin *a = ws_alloc(1, sizeof(*a));

	a->sh = sh;
	a->audit = ws_audit_new();
	a->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
	a->timer = ws_timer_every(sh->timers, ws_shell_now(), WS_SECOND,
				  expire_pending, a);
	if (!load_token(a, why) && !open_listener(a, why))
		return a;
	ws_admin_free(a);
	return NULL;
}

void ws_admin_free(struct ws_admin *a)
{
	GHashTableIter it;
	gpointer value;

	if (!a)
		return;
	g_hash_table_iter_init(&it, a->pending);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct request *r = value;

		r->ref = 0;
		set_error(r, WS_ERR_SHUTDOWN, "");
		if (r->suspended)
			MHD_resume_connection(r->con);
	}
	g_hash_table_remove_all(a->pending);
	ws_mhd_free(a->mhd);
	ws_timer_cancel(a->sh->timers, a->timer);
	g_hash_table_destroy(a->pending);
	ws_audit_free(a->audit);
	free(a);
}
