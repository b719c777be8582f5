#include "io/ws_list_client.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"
#include "io/ws_http.h"
#include "io/ws_logline.h"

#define READ_PERIOD (500 * WS_MS)
#define REGISTER_PERIOD (1 * WS_SECOND)
/* Three periods, so that an entry survives two lost registrations. */
#define REGISTER_TTL_MS 3000
#define LIST_TIMEOUT (2 * WS_SECOND)
#define LIST_MAX ((size_t)4 * 1024 * 1024)

struct ws_list_client {
	struct ws_shell *sh;
	struct ws_http_call *reading;
	struct ws_http_call *registering;
	bool repeat; /* register again after the current request */
	bool read_failed; /* the last read failed */
	bool registration_failed; /* the last one */
	char *text; /* body of the current registration */
	char url[WS_CONFIG_TEXT_MAX + 8];
	struct curl_slist *headers;
	int timers[2];
};

/* ===== Reading ===== */

/* Logs the first of several failures in a row. */
static void log_failure_once(bool *failed_before, bool failed, int error,
			     const char *detail)
{
	if (failed && !*failed_before)
		ws_logline(WS_LOG_LIST_DOWN, 0, 0, error, detail);
	*failed_before = failed;
}

static void parse_list(struct ws_list_client *c, const char *text)
{
	struct ws_event ev = { .kind = WS_EV_LIST };
	struct ws_codec_error why = { "" };
	int res = ws_codec_list_parse(text, &ev.u.list.entries,
				      &ev.u.list.n_entries, &why);

	log_failure_once(&c->read_failed, ws_is_error(res), res, why.text);
	if (ws_is_error(res))
		return;
	ws_shell_handle_event(c->sh, &ev);
	free(ev.u.list.entries);
}

static void on_read(void *arg, const struct ws_http_result *res)
{
	struct ws_list_client *c = arg;
	char *text;

	c->reading = NULL;
	if (res->outcome != WS_HTTP_DONE || res->answer.status != 200) {
		log_failure_once(&c->read_failed, true, WS_ERR_DEADLINE,
				 "no answer");
		return;
	}
	text = g_strndup(res->answer.data, res->answer.data_len);
	parse_list(c, text);
	g_free(text);
}

static void read_list(void *arg, ws_us now)
{
	struct ws_list_client *c = arg;

	(void)now;
	if (c->reading)
		return;
	c->reading = ws_http_start(c->sh->http, &(struct ws_http_request){
							.url = c->url,
							.method = "GET",
							.headers = c->headers,
							.timeout = LIST_TIMEOUT,
							.max_answer = LIST_MAX,
							.done = on_read,
							.arg = c,
						});
}

/* ===== Registration ===== */

static char *make_registration(const struct ws_shell *sh)
{
	char id[17];
	json_t *o;
	char *text;

	ws_codec_hex(sh->self, id);
	o = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:i}", "role", "instance",
		      "name", sh->conf->name, "id", id, "zone", sh->conf->zone,
		      "address", sh->conf->peers, "state",
		      sh->draining ? "leaving" : "live", "ttl_ms",
		      REGISTER_TTL_MS);
	WS_INVARIANT(o);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static void on_registered(void *arg, const struct ws_http_result *res)
{
	struct ws_list_client *c = arg;

	c->registering = NULL;
	log_failure_once(&c->registration_failed,
			 res->outcome != WS_HTTP_DONE ||
				 res->answer.status >= 300,
			 WS_ERR_PEER, "registration failed");
	if (!c->repeat)
		return;
	c->repeat = false;
	ws_list_client_register(c);
}

void ws_list_client_register(struct ws_list_client *c)
{
	if (c->registering) {
		c->repeat = true;
		return;
	}
	free(c->text);
	c->text = make_registration(c->sh);
	c->registering =
		ws_http_start(c->sh->http, &(struct ws_http_request){
						   .url = c->url,
						   .method = "POST",
						   .headers = c->headers,
						   .data = c->text,
						   .data_len = strlen(c->text),
						   .timeout = LIST_TIMEOUT,
						   .max_answer = LIST_MAX,
						   .done = on_registered,
						   .arg = c,
					   });
}

static void register_again(void *arg, ws_us now)
{
	struct ws_list_client *c = arg;

	(void)now;
	if (!c->registering)
		ws_list_client_register(c);
}

/* ===== Lifecycle ===== */

struct ws_list_client *ws_list_client_new(struct ws_shell *sh)
{
	struct ws_list_client *c = ws_alloc(1, sizeof(*c));
	ws_us now = ws_shell_now();

	c->sh = sh;
	snprintf(c->url, sizeof(c->url), "%s/list", sh->conf->list);
	c->headers = curl_slist_append(NULL, "Content-Type: application/json");
	c->timers[0] =
		ws_timer_every(sh->timers, now, READ_PERIOD, read_list, c);
	c->timers[1] = ws_timer_every(sh->timers, now, REGISTER_PERIOD,
				      register_again, c);
	ws_list_client_register(c);
	read_list(c, now);
	return c;
}

void ws_list_client_free(struct ws_list_client *c)
{
	if (!c)
		return;
	ws_timer_cancel(c->sh->timers, c->timers[0]);
	ws_timer_cancel(c->sh->timers, c->timers[1]);
	if (c->reading)
		ws_http_cancel(c->reading);
	if (c->registering)
		ws_http_cancel(c->registering);
	curl_slist_free_all(c->headers);
	free(c->text);
	free(c);
}
