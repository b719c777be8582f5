#include "cli/ws_cli_int.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADMIN_OPTIONS (WS_CLI_ADMIN | WS_CLI_JSON)

static const struct ws_cli_command commands[] = {
	{ "keygen", "FILE", 1, 0, "make an operator's key pair",
	  "Writes the secret key to FILE (readable by the owner only) and the "
	  "public key to\nFILE.pub, and prints the public key, which goes into "
	  "\"operators\" of the bundle or\ninto seed_operator_key of the "
	  "settings.",
	  ws_cli_keygen },
	{ "caller-key", "", 0, WS_CLI_JSON, "make a caller key and its hash",
	  "Prints a new caller key, which the customer keeps, and its hash, "
	  "which goes into\n\"keys\" of the bundle. The key is stored nowhere.",
	  ws_cli_caller_key },
	{ "bundle check", "BUNDLE", 1, WS_CLI_JSON, "check a bundle's text",
	  "Parses the file with the rules of the router and says what it "
	  "would refuse.",
	  ws_cli_bundle_check },
	{ "bundle sign", "BUNDLE", 1, WS_CLI_KEY | WS_CLI_OUT,
	  "sign a bundle's text",
	  "Checks the file, signs it with the key of --key and writes the "
	  "envelope to --out\nor to standard output.",
	  ws_cli_bundle_sign },
	{ "bundle publish", "ENVELOPE", 1, ADMIN_OPTIONS,
	  "submit a signed bundle",
	  "Sends the envelope to an instance and waits for the decision of the "
	  "log. When\nanother bundle was first, its version is named and the "
	  "exit code is 1.",
	  ws_cli_bundle_publish },
	{ "bundle show", "", 0, ADMIN_OPTIONS | WS_CLI_RAW,
	  "print the bundle in force",
	  "Prints the text of the bundle that the instance has in force.",
	  ws_cli_bundle_show },
	{ "bundle history", "", 0, ADMIN_OPTIONS, "list the bundles of the log",
	  "Lists the bundle records that the instance has read, refused ones "
	  "included.",
	  ws_cli_bundle_history },
	{ "status", "", 0, ADMIN_OPTIONS | WS_CLI_WATCH, "state of an instance",
	  "Prints the state of the instance and of the instances that it sees.",
	  ws_cli_status },
	{ "owners", "", 0, ADMIN_OPTIONS,
	  "who owns shards, keys and partitions",
	  "Lists every resource with its holder and fence.", ws_cli_owners },
	{ "shares", "", 0, ADMIN_OPTIONS, "rates of customers",
	  "Lists customers with rate, burst, and the tokens at this instance.",
	  ws_cli_shares },
	{ "targets", "", 0, ADMIN_OPTIONS, "targets and their load",
	  "Lists targets with state, concurrency limit, load and latency.",
	  ws_cli_targets },
	{ "explain request", "METHOD HOST PATH KEY", 4,
	  WS_CLI_EDGE | WS_CLI_JSON, "where a request would go now",
	  "Asks an instance of wagtailshift-edge where it would send the "
	  "request if it arrived\nnow, and why, without sending it: route, "
	  "service, the owner of the key, the servers\nwith their expected "
	  "latency and load, the decision and its Retry-After. KEY is the\n"
	  "shard key, a number, or - for none. The caller's key is taken for "
	  "valid and its\nrate for not used up.",
	  ws_cli_explain_request },
	{ "explain", "SERVICE KEY", 2, ADMIN_OPTIONS, "where a key is served",
	  "Tells which target owns the key, under which fence, and which "
	  "instance dispatches\nto it.",
	  ws_cli_explain },
	{ "audit", "", 0, ADMIN_OPTIONS, "what was changed, when and by whom",
	  "Lists the records of the log that the instance has read and the "
	  "administration\nrequests that it has served.",
	  ws_cli_audit },
	{ "drain", "", 0, ADMIN_OPTIONS, "start a graceful shutdown",
	  "The instance hands over what it holds, finishes its requests and "
	  "exits.",
	  ws_cli_drain },
	{ "recover", "IDS", 1, ADMIN_OPTIONS | WS_CLI_KEY | WS_CLI_OUT,
	  "state that instances are gone for good",
	  "Submits a statement, signed with the key of --key, that the "
	  "processes with these\nids (16 hexadecimal digits each, separated "
	  "by commas) have ended and never come\nback. With --out the log "
	  "record is written instead, to be appended with\nPOST /log/append. "
	  "Only for the loss of a majority of instances: naming a process\n"
	  "that still runs lets keys have two owners.",
	  ws_cli_recover },
	{ "zone out", "ZONE", 1, ADMIN_OPTIONS | WS_CLI_KEY,
	  "take a zone out of service",
	  "Fetches the bundle in force, marks the zone as out of service, "
	  "raises the version,\nsigns with the key of --key and publishes.",
	  ws_cli_zone_out },
	{ "zone in", "ZONE", 1, ADMIN_OPTIONS | WS_CLI_KEY,
	  "put a zone into service",
	  "Fetches the bundle in force, marks the zone as in service, raises "
	  "the version,\nsigns with the key of --key and publishes.",
	  ws_cli_zone_in },
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

/* ===== Errors ===== */

int ws_cli_fail(int code, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	fprintf(stderr, "wagtailshift: %s\n", text);
	g_free(text);
	return code;
}

/* ===== Help ===== */

static void print_commands(FILE *to)
{
	size_t i;

	fprintf(to, "Usage: wagtailshift COMMAND [OPTION...]\n\n"
		    "Administers instances of the router.\n\nCommands:\n");
	for (i = 0; i < N_COMMANDS; i++)
		fprintf(to, "  %-15s %-12s %s\n", commands[i].name,
			commands[i].args, commands[i].summary);
	fprintf(to, "\n'wagtailshift COMMAND --help' describes a command.\n"
		    "Exit codes: 0 done, 1 refused, 2 usage, 3 not reachable.\n"
		    "Environment: WAGTAILSHIFT_ADMIN, "
		    "WAGTAILSHIFT_TOKEN_FILE and WAGTAILSHIFT_EDGE replace "
		    "--admin,\n--token-file and --edge.\n");
}

/* ===== Options ===== */

static void add_options(GOptionContext *context, struct ws_cli *cli,
			unsigned options)
{
	const struct {
		unsigned option;
		GOptionEntry entry;
	} all[] = {
		{ WS_CLI_ADMIN,
		  { "admin", 'a', 0, G_OPTION_ARG_STRING, &cli->admin,
		    "Administration listener of an instance",
		    "http://IP:PORT" } },
		{ WS_CLI_ADMIN,
		  { "token-file", 't', 0, G_OPTION_ARG_FILENAME,
		    &cli->token_file, "File with the administration token",
		    "FILE" } },
		{ WS_CLI_EDGE,
		  { "edge", 'e', 0, G_OPTION_ARG_STRING, &cli->edge,
		    "Metrics listener of an instance of wagtailshift-edge",
		    "http://IP:9180" } },
		{ WS_CLI_JSON,
		  { "json", 'j', 0, G_OPTION_ARG_NONE, &cli->json, "Print JSON",
		    NULL } },
		{ WS_CLI_KEY,
		  { "key", 'k', 0, G_OPTION_ARG_FILENAME, &cli->key,
		    "Operator's secret key, as written by keygen", "FILE" } },
		{ WS_CLI_OUT,
		  { "out", 'o', 0, G_OPTION_ARG_FILENAME, &cli->out,
		    "File to write instead of standard output", "FILE" } },
		{ WS_CLI_RAW,
		  { "raw", 'r', 0, G_OPTION_ARG_NONE, &cli->raw,
		    "Print the signed envelope", NULL } },
		{ WS_CLI_WATCH,
		  { "watch", 'w', 0, G_OPTION_ARG_NONE, &cli->watch,
		    "Print again until interrupted", NULL } },
		{ WS_CLI_WATCH,
		  { "interval", 'i', 0, G_OPTION_ARG_INT, &cli->interval,
		    "Seconds between two prints (1)", "N" } },
		{ WS_CLI_WATCH,
		  { "count", 'c', 0, G_OPTION_ARG_INT, &cli->count,
		    "Stop after so many prints (0: never)", "N" } },
	};
	GOptionEntry entries[2] = { 0 };
	size_t i;

	for (i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
		if (!(options & all[i].option))
			continue;
		entries[0] = all[i].entry;
		g_option_context_add_main_entries(context, entries, NULL);
	}
}

static bool check_options(const struct ws_cli *cli,
			  const struct ws_cli_command *c, int n_args)
{
	if (n_args != c->n_args) {
		ws_cli_fail(0, "%s takes %d argument%s (%s); see --help",
			    c->name, c->n_args, c->n_args == 1 ? "" : "s",
			    c->n_args ? c->args : "none");
		return false;
	}
	if ((c->options & WS_CLI_ADMIN) && (!cli->admin || !cli->token_file)) {
		ws_cli_fail(0,
			    "%s needs --admin http://ip:port and "
			    "--token-file FILE, or the variables "
			    "WAGTAILSHIFT_ADMIN and WAGTAILSHIFT_TOKEN_FILE",
			    c->name);
		return false;
	}
	if ((c->options & WS_CLI_EDGE) && !cli->edge) {
		ws_cli_fail(0,
			    "%s needs --edge http://ip:9180, the metrics "
			    "listener of an instance, or the variable "
			    "WAGTAILSHIFT_EDGE",
			    c->name);
		return false;
	}
	if ((c->options & WS_CLI_KEY) && !cli->key) {
		ws_cli_fail(0,
			    "%s needs --key FILE; 'wagtailshift keygen FILE' "
			    "makes one",
			    c->name);
		return false;
	}
	if (cli->interval < 1 || cli->count < 0) {
		ws_cli_fail(0, "--interval is at least 1 and --count at least "
			       "0; correct the value");
		return false;
	}
	return true;
}

static bool parse_options(struct ws_cli *cli, const struct ws_cli_command *c,
			  int *argc, char ***argv)
{
	GOptionContext *context = g_option_context_new(c->args);
	char *name = g_strdup_printf("wagtailshift %s", c->name);
	GError *error = NULL;
	bool ok;

	g_set_prgname(name);
	g_option_context_set_summary(context, c->help);
	g_option_context_set_description(
		context,
		"Exit codes: 0 done, 1 refused, 2 usage, 3 not reachable.");
	add_options(context, cli, c->options);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		ws_cli_fail(0, "%s; see --help", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	g_free(name);
	return ok;
}

/* ===== Commands ===== */

/* Finds the command that starts at argv[1]; its name has 1 or 2 words. */
static const struct ws_cli_command *find_command(int argc, char **argv,
						 int *n_words)
{
	const char *second_word = argc > 2 ? argv[2] : "";
	char *two_words = g_strdup_printf("%s %s", argv[1], second_word);
	const struct ws_cli_command *found = NULL;
	size_t i;

	for (i = 0; i < N_COMMANDS && !found; i++) {
		*n_words = strchr(commands[i].name, ' ') ? 2 : 1;
		if (strcmp(commands[i].name,
			   *n_words == 2 ? two_words : argv[1]) == 0)
			found = &commands[i];
	}
	g_free(two_words);
	return found;
}

static int run(const struct ws_cli_command *c, int argc, char **argv)
{
	struct ws_cli cli = { .interval = 1 };
	int code = WS_CLI_USAGE;

	cli.admin = g_strdup(g_getenv("WAGTAILSHIFT_ADMIN"));
	cli.token_file = g_strdup(g_getenv("WAGTAILSHIFT_TOKEN_FILE"));
	cli.edge = g_strdup(g_getenv("WAGTAILSHIFT_EDGE"));
	if (parse_options(&cli, c, &argc, &argv) &&
	    check_options(&cli, c, argc - 1)) {
		cli.args = argv + 1;
		code = c->run(&cli);
	}
	g_free(cli.admin);
	g_free(cli.token_file);
	g_free(cli.edge);
	g_free(cli.key);
	g_free(cli.out);
	return code;
}

int ws_cli_main(int argc, char **argv)
{
	const struct ws_cli_command *c;
	int n_words;
	int code;

	if (argc > 1 && strcmp(argv[1], "--help") == 0) {
		print_commands(stdout);
		return WS_CLI_OK;
	}
	c = argc > 1 ? find_command(argc, argv, &n_words) : NULL;
	if (!c) {
		print_commands(stderr);
		return WS_CLI_USAGE;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return ws_cli_fail(WS_CLI_USAGE, "initialization failed; "
						 "reinstall libsodium and "
						 "libcurl");
	code = run(c, argc - n_words, argv + n_words);
	curl_global_cleanup();
	return code;
}
