#include "cli/ws_cli_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Publishing again after an operator who was faster. */
#define CHANGE_TRIES 3
#define STATUS_CONFLICT 409

/* ===== Checking and signing ===== */

static json_t *summary(const struct ws_bundle *b)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "version",
			 (json_int_t)b->version, "base", (json_int_t)b->base,
			 "services", (json_int_t)b->n_services, "customers",
			 (json_int_t)b->n_customers, "keys",
			 (json_int_t)b->n_keys, "zones", (json_int_t)b->n_zones,
			 "operators", (json_int_t)b->n_operators);
}

static void print_summary(const struct ws_cli *cli, const struct ws_bundle *b)
{
	static const struct ws_cli_column fields[] = {
		{ "version", "version" },     { "base", "base" },
		{ "services", "services" },   { "customers", "customers" },
		{ "caller keys", "keys" },    { "zones", "zones" },
		{ "operators", "operators" }, { NULL, NULL }
	};
	json_t *o = summary(b);

	if (cli->json)
		ws_cli_print_json(o);
	else
		ws_cli_fields(o, fields);
	json_decref(o);
}

int ws_cli_bundle_check(const struct ws_cli *cli)
{
	char *text = ws_cli_read(cli->args[0], WS_BUNDLE_TEXT_MAX);
	struct ws_codec_error why = { "" };
	struct ws_bundle *b;
	int res;

	if (!text)
		return WS_CLI_USAGE;
	res = ws_codec_bundle_parse(text, &b, &why);
	g_free(text);
	if (ws_is_error(res))
		return ws_cli_fail(WS_CLI_REFUSED, "%s: %s", cli->args[0],
				   why.text);
	print_summary(cli, b);
	ws_bundle_unref(b);
	return WS_CLI_OK;
}

int ws_cli_bundle_sign(const struct ws_cli *cli)
{
	char *text = ws_cli_read(cli->args[0], WS_BUNDLE_TEXT_MAX);
	struct ws_codec_error why = { "" };
	struct ws_cli_key key;
	char *envelope;
	int code;

	if (!text || !ws_cli_read_key(cli->key, &key)) {
		g_free(text);
		return WS_CLI_USAGE;
	}
	if (ws_codec_envelope_sign(text, key.public_key, key.secret_key,
				   &envelope, &why)) {
		g_free(text);
		return ws_cli_fail(WS_CLI_REFUSED, "%s: %s", cli->args[0],
				   why.text);
	}
	g_free(text);
	code = ws_cli_write(cli->out, envelope);
	free(envelope);
	return code;
}

/* ===== Publishing ===== */

/* Sends an envelope; conflict tells that another bundle was first. */
static int publish(const struct ws_cli *cli, const char *envelope,
		   bool *conflict)
{
	struct ws_cli_reply reply;
	int code = ws_cli_request(cli, "/bundle", envelope, &reply);

	*conflict = false;
	if (code != WS_CLI_OK)
		return code;
	*conflict = reply.status == STATUS_CONFLICT;
	if (reply.status / 100 != 2)
		code = ws_cli_print_error(&reply);
	else if (cli->json)
		puts(reply.body->str);
	else
		printf("the bundle is in force\n");
	ws_cli_reply_clear(&reply);
	return code;
}

int ws_cli_bundle_publish(const struct ws_cli *cli)
{
	char *envelope = ws_cli_read(cli->args[0], WS_RECORD_TEXT_MAX);
	bool conflict;
	int code;

	if (!envelope)
		return WS_CLI_USAGE;
	code = publish(cli, envelope, &conflict);
	g_free(envelope);
	return code;
}

/* ===== Bundle in force ===== */

/* Fetches the envelope in force; NULL after a message. */
static char *fetch_envelope(const struct ws_cli *cli, int *code)
{
	struct ws_cli_reply reply;
	char *text = NULL;

	*code = ws_cli_request(cli, "/bundle", NULL, &reply);
	if (*code != WS_CLI_OK)
		return NULL;
	if (reply.status / 100 == 2)
		text = g_strdup(reply.body->str);
	else
		*code = ws_cli_print_error(&reply);
	ws_cli_reply_clear(&reply);
	return text;
}

/* Text of the bundle in force; NULL after a message. */
static char *fetch_bundle(const struct ws_cli *cli, int *code)
{
	char *envelope = fetch_envelope(cli, code);
	struct ws_codec_error why = { "" };
	char *text = NULL;

	if (!envelope)
		return NULL;
	if (ws_codec_envelope_text(envelope, &text, &why))
		*code = ws_cli_fail(WS_CLI_REFUSED, "the instance's answer: %s",
				    why.text);
	g_free(envelope);
	return text;
}

int ws_cli_bundle_show(const struct ws_cli *cli)
{
	int code;
	char *text = cli->raw ? fetch_envelope(cli, &code) :
				fetch_bundle(cli, &code);
	json_t *o = text ? json_loads(text, 0, NULL) : NULL;

	if (o && !cli->raw)
		ws_cli_print_json(o);
	else if (text)
		puts(text);
	json_decref(o);
	free(text);
	return code;
}

/* ===== Zones ===== */

static json_t *find_zone(json_t *bundle, const char *name)
{
	json_t *zone;
	size_t i;

	json_array_foreach(
		json_object_get(bundle, "zones"), i,
		zone) if (g_strcmp0(json_string_value(json_object_get(zone,
								      "name")),
				    name) == 0) return zone;
	return NULL;
}

static int refuse_zone(json_t *bundle, const char *name,
		       struct ws_codec_error *why)
{
	GString *names = g_string_new(NULL);
	json_t *zone;
	size_t i;

	json_array_foreach(json_object_get(bundle, "zones"), i, zone)
		g_string_append_printf(
			names, "%s%s", i ? ", " : "",
			json_string_value(json_object_get(zone, "name")));
	snprintf(why->text, sizeof(why->text),
		 "the bundle has no zone '%.63s'; name one of %.120s", name,
		 names->str);
	g_string_free(names, TRUE);
	return WS_ERR_SYNTAX;
}

static int change_zone(json_t *bundle, const char *name, bool in_service,
		       struct ws_codec_error *why)
{
	json_t *zone = find_zone(bundle, name);
	json_int_t version =
		json_integer_value(json_object_get(bundle, "version"));

	if (!zone)
		return refuse_zone(bundle, name, why);
	if (json_is_true(json_object_get(zone, "in_service")) == in_service)
		return 1;
	json_object_set_new(zone, "in_service", json_boolean(in_service));
	json_object_set_new(bundle, "base", json_integer(version));
	json_object_set_new(bundle, "version", json_integer(version + 1));
	return 0;
}

int ws_cli_change_zone(const char *text, const char *zone, bool in_service,
		       char **changed, struct ws_codec_error *why)
{
	struct ws_bundle *b;
	json_t *bundle;
	int res = ws_codec_bundle_parse(text, &b, why);

	if (ws_is_error(res))
		return res;
	ws_bundle_unref(b);
	bundle = json_loads(text, 0, NULL);
	res = change_zone(bundle, zone, in_service, why);
	if (res == 0)
		*changed = json_dumps(bundle, JSON_INDENT(2));
	json_decref(bundle);
	return res;
}

/* One try: fetch, change, sign, publish. */
static int try_zone(const struct ws_cli *cli, const struct ws_cli_key *key,
		    bool in_service, bool *conflict)
{
	struct ws_codec_error why = { "" };
	char *changed = NULL;
	char *envelope = NULL;
	int code;
	char *text = fetch_bundle(cli, &code);
	int res;

	*conflict = false;
	if (!text)
		return code;
	res = ws_cli_change_zone(text, cli->args[0], in_service, &changed,
				 &why);
	free(text);
	if (res > 0) {
		printf("the zone is %s service already; nothing was changed\n",
		       in_service ? "in" : "out of");
		return WS_CLI_OK;
	}
	if (!res)
		res = ws_codec_envelope_sign(changed, key->public_key,
					     key->secret_key, &envelope, &why);
	free(changed);
	if (ws_is_error(res))
		return ws_cli_fail(WS_CLI_REFUSED, "%s", why.text);
	code = publish(cli, envelope, conflict);
	free(envelope);
	return code;
}

static int run_zone(const struct ws_cli *cli, bool in_service)
{
	struct ws_cli_key key;
	bool conflict = true;
	int code = WS_CLI_USAGE;
	int i;

	if (!ws_cli_read_key(cli->key, &key))
		return WS_CLI_USAGE;
	for (i = 0; i < CHANGE_TRIES && conflict; i++)
		code = try_zone(cli, &key, in_service, &conflict);
	return code;
}

int ws_cli_zone_out(const struct ws_cli *cli)
{
	return run_zone(cli, false);
}

int ws_cli_zone_in(const struct ws_cli *cli)
{
	return run_zone(cli, true);
}
