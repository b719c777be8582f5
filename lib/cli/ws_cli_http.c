#include "cli/ws_cli_int.h"

#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#define RESPONSE_MAX ((size_t)64 * 1024 * 1024)
#define TOKEN_TEXT_MAX 4096
#define CONNECT_TIMEOUT_MS 2000L
/* Longer than the 8 s within which an instance decides on a bundle. */
#define TIMEOUT_MS 12000L

/* ===== Requests ===== */

static size_t append_data(char *data, size_t size, size_t n, void *arg)
{
	GString *body = arg;

	if (body->len + n > RESPONSE_MAX)
		return 0;
	g_string_append_len(body, data, (gssize)(size * n));
	return size * n;
}

/* Headers with the token; on failure prints an error, returns NULL. */
static struct curl_slist *make_headers(const struct ws_cli *cli)
{
	char *token = ws_cli_read(cli->token_file, TOKEN_TEXT_MAX);
	struct curl_slist *list = NULL;
	char *line;

	if (!token)
		return NULL;
	token[strcspn(token, "\r\n")] = '\0';
	line = g_strdup_printf("Authorization: Bearer %s", token);
	list = curl_slist_append(NULL, line);
	list = curl_slist_append(list, "Content-Type: application/json");
	sodium_memzero(token, strlen(token));
	sodium_memzero(line, strlen(line));
	g_free(line);
	g_free(token);
	return list;
}

static void set_options(CURL *curl, const char *url, struct curl_slist *headers,
			const char *body, GString *response)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
}

/* @param option that names the address */
static int perform(const char *address, const char *option, CURL *curl,
		   struct ws_cli_reply *reply)
{
	CURLcode res = curl_easy_perform(curl);

	if (res != CURLE_OK)
		return ws_cli_fail(WS_CLI_UNREACHABLE,
				   "%s does not answer (%s); check --%s and "
				   "that the instance runs",
				   address, curl_easy_strerror(res), option);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
	return WS_CLI_OK;
}

int ws_cli_request(const struct ws_cli *cli, const char *path, const char *body,
		   struct ws_cli_reply *reply)
{
	struct curl_slist *headers = make_headers(cli);
	char *url;
	CURL *curl;
	int code;

	memset(reply, 0, sizeof(*reply));
	if (!headers)
		return WS_CLI_USAGE;
	reply->body = g_string_new(NULL);
	url = g_strdup_printf("%s/admin/v1%s", cli->admin, path);
	curl = curl_easy_init();
	WS_INVARIANT(curl);
	set_options(curl, url, headers, body, reply->body);
	code = perform(cli->admin, "admin", curl, reply);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
	if (code != WS_CLI_OK)
		ws_cli_reply_clear(reply);
	return code;
}

void ws_cli_reply_clear(struct ws_cli_reply *reply)
{
	if (reply->body)
		g_string_free(reply->body, TRUE);
	reply->body = NULL;
}

/* ===== Responses ===== */

static const char *string_field(const json_t *o, const char *field)
{
	const char *text = json_string_value(json_object_get(o, field));

	return text ? text : "";
}

/* A response without a JSON error may come from another kind of listener. */
static int unexpected_status(long status)
{
	return ws_cli_fail(
		WS_CLI_REFUSED,
		"the instance answered with status %ld; check that "
		"--admin names an administration listener, or --edge "
		"the metrics listener of wagtailshift-edge",
		status);
}

int ws_cli_print_error(const struct ws_cli_reply *reply)
{
	json_t *o = json_loadb(reply->body->str, reply->body->len, 0, NULL);
	json_t *version = json_object_get(o, "version_in_force");
	const char *detail = string_field(o, "detail");

	if (!json_object_get(o, "error")) {
		json_decref(o);
		return unexpected_status(reply->status);
	}
	ws_cli_fail(0, "%s: %s%s%s; %s", string_field(o, "error"),
		    string_field(o, "message"), detail[0] ? ": " : "", detail,
		    string_field(o, "remedy"));
	if (json_is_integer(version) && json_integer_value(version))
		ws_cli_fail(0, "version in force: %lld",
			    (long long)json_integer_value(version));
	json_decref(o);
	return WS_CLI_REFUSED;
}

/* Takes the object out of a reply, which is cleared. */
static json_t *take_object(struct ws_cli_reply *reply, int *code)
{
	json_t *o = NULL;

	if (reply->status / 100 == 2)
		o = json_loadb(reply->body->str, reply->body->len, 0, NULL);
	if (reply->status / 100 != 2)
		*code = ws_cli_print_error(reply);
	else if (!json_is_object(o))
		*code = unexpected_status(reply->status);
	ws_cli_reply_clear(reply);
	if (*code == WS_CLI_OK)
		return o;
	json_decref(o);
	return NULL;
}

json_t *ws_cli_fetch(const struct ws_cli *cli, const char *path, int *code)
{
	struct ws_cli_reply reply;

	*code = ws_cli_request(cli, path, NULL, &reply);
	return *code == WS_CLI_OK ? take_object(&reply, code) : NULL;
}

json_t *ws_cli_fetch_edge(const struct ws_cli *cli, const char *path, int *code)
{
	struct ws_cli_reply reply = { .body = g_string_new(NULL) };
	char *url = g_strdup_printf("%s%s", cli->edge, path);
	CURL *curl = curl_easy_init();

	WS_INVARIANT(curl);
	set_options(curl, url, NULL, NULL, reply.body);
	*code = perform(cli->edge, "edge", curl, &reply);
	curl_easy_cleanup(curl);
	g_free(url);
	if (*code == WS_CLI_OK)
		return take_object(&reply, code);
	ws_cli_reply_clear(&reply);
	return NULL;
}
