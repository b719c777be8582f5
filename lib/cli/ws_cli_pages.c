#include "cli/ws_cli_int.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* ===== Commands that print a table ===== */

/* Fetches an object and prints it as JSON, or one array of it as a table. */
static int print_list(const struct ws_cli *cli, const char *path,
		      const char *array, const struct ws_cli_column *columns)
{
	int code;
	json_t *o = ws_cli_fetch(cli, path, &code);

	if (!o)
		return code;
	if (cli->json)
		ws_cli_print_json(o);
	else
		ws_cli_table(json_object_get(o, array), columns);
	json_decref(o);
	return WS_CLI_OK;
}

int ws_cli_owners(const struct ws_cli *cli)
{
	static const struct ws_cli_column columns[] = {
		{ "KIND", "kind" },
		{ "SERVICE", "service" },
		{ "ITEM", "item" },
		{ "HOLDER", "holder" },
		{ "FENCE", "fence" },
		{ "ACTIVE", "active" },
		{ "INCARNATION", "incarnation" },
		{ NULL, NULL }
	};

	return print_list(cli, "/owners", "owners", columns);
}

int ws_cli_shares(const struct ws_cli *cli)
{
	static const struct ws_cli_column columns[] = {
		{ "CUSTOMER", "customer" },
		{ "RATE", "rate" },
		{ "BURST", "burst" },
		{ "WEIGHT", "weight" },
		{ "TOKENS/1000", "balance_milli" },
		{ "SPENT", "spent" },
		{ NULL, NULL }
	};

	return print_list(cli, "/shares", "shares", columns);
}

int ws_cli_targets(const struct ws_cli *cli)
{
	static const struct ws_cli_column columns[] = {
		{ "NAME", "name" },	  { "SERVICE", "service" },
		{ "ZONE", "zone" },	  { "STATE", "state" },
		{ "USABLE", "usable" },	  { "HERE", "dispatched_here" },
		{ "LIMIT", "limit" },	  { "IN FLIGHT", "in_flight" },
		{ "QUEUED", "queued" },	  { "LATENCY US", "latency_us" },
		{ "ADDRESS", "address" }, { NULL, NULL }
	};

	return print_list(cli, "/targets", "targets", columns);
}

/* Adds the time in ISO 8601 format to each row. */
static void add_times(json_t *rows)
{
	char text[40];
	struct tm tm;
	json_t *row;
	time_t t;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		t = json_integer_value(json_object_get(row, "wall_ms")) / 1000;
		gmtime_r(&t, &tm);
		strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
		json_object_set_new(row, "time", json_string(text));
	}
}

static int print_records(const struct ws_cli *cli, const char *path,
			 const char *array)
{
	static const struct ws_cli_column columns[] = {
		{ "TIME", "time" },	  { "WHAT", "what" },
		{ "OFFSET", "offset" },	  { "WRITER", "writer" },
		{ "VERSION", "version" }, { "ITEMS", "items" },
		{ "RESULT", "error" },	  { NULL, NULL }
	};
	int code;
	json_t *o = ws_cli_fetch(cli, path, &code);
	json_t *rows = json_object_get(o, array);

	if (!o)
		return code;
	add_times(rows);
	if (cli->json)
		ws_cli_print_json(o);
	else
		ws_cli_table(rows, columns);
	json_decref(o);
	return WS_CLI_OK;
}

int ws_cli_audit(const struct ws_cli *cli)
{
	return print_records(cli, "/audit", "audit");
}

int ws_cli_bundle_history(const struct ws_cli *cli)
{
	return print_records(cli, "/history", "history");
}

/* ===== Status ===== */

static void print_status(const json_t *o)
{
	static const struct ws_cli_column fields[] = {
		{ "instance", "name" },
		{ "id", "id" },
		{ "zone", "zone" },
		{ "ready", "ready" },
		{ "draining", "draining" },
		{ "bundle version", "bundle_version" },
		{ "log applied to", "applied" },
		{ "evidence left ms", "fresh_for_ms" },
		{ "uptime ms", "uptime_ms" },
		{ NULL, NULL }
	};
	static const struct ws_cli_column columns[] = {
		{ "NAME", "name" },
		{ "ZONE", "zone" },
		{ "ALIVE", "alive" },
		{ "READY", "ready" },
		{ "LEAVING", "leaving" },
		{ "APPLIED", "applied" },
		{ "BUNDLE", "bundle_version" },
		{ "CLOCK MS", "clock_offset_ms" },
		{ "ADDRESS", "address" },
		{ NULL, NULL }
	};

	ws_cli_fields(o, fields);
	printf("\n");
	ws_cli_table(json_object_get(o, "instances"), columns);
}

static int print_status_once(const struct ws_cli *cli)
{
	int code;
	json_t *o = ws_cli_fetch(cli, "/status", &code);

	if (!o)
		return code;
	if (cli->json)
		ws_cli_print_json(o);
	else
		print_status(o);
	fflush(stdout);
	json_decref(o);
	return WS_CLI_OK;
}

/* With --watch, only a failure of the first request ends the command. */
int ws_cli_status(const struct ws_cli *cli)
{
	int code = print_status_once(cli);
	int n = 1;

	if (!cli->watch || code != WS_CLI_OK)
		return code;
	while (!cli->count || n < cli->count) {
		sleep((unsigned)cli->interval);
		printf("\n");
		code = print_status_once(cli);
		n++;
	}
	return code;
}

/* ===== Explanation of a key ===== */

static void print_section(const json_t *o, const char *field, const char *title,
			  const struct ws_cli_column *fields)
{
	const json_t *v = json_object_get(o, field);

	if (!v)
		return;
	printf("\n%s\n", title);
	if (json_is_object(v))
		ws_cli_fields(v, fields);
	else
		printf("none\n");
}

static void print_explanation(const json_t *o)
{
	static const struct ws_cli_column key[] = {
		{ "service", "service" }, { "key", "key" },
		{ "sharded", "sharded" }, { "key hash", "key_hash" },
		{ "shard", "shard" },	  { NULL, NULL }
	};
	static const struct ws_cli_column owner[] = {
		{ "kind", "kind" },
		{ "holder", "holder" },
		{ "fence", "fence" },
		{ "active", "active" },
		{ "incarnation", "incarnation" },
		{ NULL, NULL }
	};
	static const struct ws_cli_column target[] = {
		{ "name", "name" },	      { "zone", "zone" },
		{ "address", "address" },     { "state", "state" },
		{ "usable", "usable" },	      { "limit", "limit" },
		{ "in flight", "in_flight" }, { NULL, NULL }
	};

	ws_cli_fields(o, key);
	if (json_is_false(json_object_get(o, "sharded")))
		printf("\nany target of the service may serve the request\n");
	print_section(o, "owner", "owner", owner);
	print_section(o, "target", "target", target);
	print_section(o, "dispatcher", "dispatching instance", owner);
}

int ws_cli_explain(const struct ws_cli *cli)
{
	char *service = g_uri_escape_string(cli->args[0], NULL, FALSE);
	char *key = g_uri_escape_string(cli->args[1], NULL, FALSE);
	char *path =
		g_strdup_printf("/explain?service=%s&key=%s", service, key);
	int code;
	json_t *o = ws_cli_fetch(cli, path, &code);

	if (o && cli->json)
		ws_cli_print_json(o);
	else if (o)
		print_explanation(o);
	json_decref(o);
	g_free(path);
	g_free(key);
	g_free(service);
	return code;
}

static const struct ws_cli_column request_columns[] = {
	{ "route", "route" },
	{ "service", "service" },
	{ "needs API key", "needs_api_key" },
	{ "decision", "decision" },
	{ "server", "server" },
	{ "reason", "reason" },
	{ "status", "status" },
	{ "retry after (s)", "retry_after_s" },
	{ "open requests", "open_requests" },
	{ "waiting requests", "waiting_requests" },
	{ NULL, NULL }
};
static const struct ws_cli_column range_columns[] = {
	{ "key", "key" },
	{ "from", "from" },
	{ "to", "to" },
	{ "owner", "owner" },
	{ "epoch", "epoch" },
	{ "moving", "moving" },
	{ "paused (s)", "paused_s" },
	{ "in progress", "in_progress" },
	{ NULL, NULL }
};
static const struct ws_cli_column server_columns[] = {
	{ "SERVER", "name" },	    { "ADDRESS", "address" },
	{ "OWN ZONE", "own_zone" }, { "EXPECTED S", "expected_latency_s" },
	{ "LOAD", "load" },	    { "IN PROGRESS", "in_progress" },
	{ "STATE", "state" },	    { NULL, NULL }
};

static void print_request(const json_t *o)
{
	ws_cli_fields(o, request_columns);
	if (json_object_get(o, "range"))
		print_section(o, "range", "key range", range_columns);
	putchar('\n');
	ws_cli_table(json_object_get(o, "servers"), server_columns);
}

int ws_cli_explain_request(const struct ws_cli *cli)
{
	char *method = g_uri_escape_string(cli->args[0], NULL, FALSE);
	char *host = g_uri_escape_string(cli->args[1], NULL, FALSE);
	char *path = g_uri_escape_string(cli->args[2], NULL, FALSE);
	char *key = g_uri_escape_string(cli->args[3], NULL, FALSE);
	bool has_key = strcmp(cli->args[3], "-") != 0;
	char *page = g_strdup_printf("/explain?method=%s&host=%s&path=%s%s%s",
				     method, host, path, has_key ? "&key=" : "",
				     has_key ? key : "");
	int code;
	json_t *o = ws_cli_fetch_edge(cli, page, &code);

	if (o && cli->json)
		ws_cli_print_json(o);
	else if (o)
		print_request(o);
	json_decref(o);
	g_free(page);
	g_free(key);
	g_free(path);
	g_free(host);
	g_free(method);
	return code;
}

/* ===== Drain ===== */

int ws_cli_drain(const struct ws_cli *cli)
{
	struct ws_cli_reply reply;
	int code = ws_cli_request(cli, "/drain", "{}", &reply);

	if (code != WS_CLI_OK)
		return code;
	if (reply.status / 100 != 2)
		code = ws_cli_print_error(&reply);
	else if (cli->json)
		puts(reply.body->str);
	else
		printf("the instance hands over and exits\n");
	ws_cli_reply_clear(&reply);
	return code;
}
