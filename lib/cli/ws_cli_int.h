#ifndef WS_CLI_INT_H
#define WS_CLI_INT_H

#include <glib.h>
#include <jansson.h>

#include "cli/ws_cli.h"

/* Shared by the files of the command-line tool. */

/* Options that a command takes. */
enum ws_cli_option {
	WS_CLI_ADMIN = 1 << 0, /* --admin, --token-file */
	WS_CLI_JSON = 1 << 1,
	WS_CLI_KEY = 1 << 2,
	WS_CLI_OUT = 1 << 3,
	WS_CLI_RAW = 1 << 4,
	WS_CLI_WATCH = 1 << 5, /* --watch, --interval, --count */
	WS_CLI_EDGE = 1 << 6, /* --edge */
};

struct ws_cli {
	char *admin;
	char *token_file;
	char *edge;
	char *key;
	char *out;
	gboolean json;
	gboolean raw;
	gboolean watch;
	int interval;
	int count;
	char **args; /* arguments after the name of the command */
};

struct ws_cli_command {
	const char *name; /* one word or two */
	const char *args; /* for the usage line */
	int n_args;
	unsigned options;
	const char *summary; /* one line */
	const char *help;
	int (*run)(const struct ws_cli *cli);
};

/* ===== Commands ===== */

int ws_cli_keygen(const struct ws_cli *cli);
int ws_cli_caller_key(const struct ws_cli *cli);
int ws_cli_bundle_check(const struct ws_cli *cli);
int ws_cli_bundle_sign(const struct ws_cli *cli);
int ws_cli_bundle_publish(const struct ws_cli *cli);
int ws_cli_bundle_show(const struct ws_cli *cli);
int ws_cli_bundle_history(const struct ws_cli *cli);
int ws_cli_status(const struct ws_cli *cli);
int ws_cli_owners(const struct ws_cli *cli);
int ws_cli_shares(const struct ws_cli *cli);
int ws_cli_targets(const struct ws_cli *cli);
int ws_cli_explain(const struct ws_cli *cli);
int ws_cli_explain_request(const struct ws_cli *cli);
int ws_cli_audit(const struct ws_cli *cli);
int ws_cli_drain(const struct ws_cli *cli);
int ws_cli_zone_out(const struct ws_cli *cli);
int ws_cli_zone_in(const struct ws_cli *cli);
int ws_cli_recover(const struct ws_cli *cli);

/* ===== Errors ===== */

/* Prints "wagtailshift: <text>" on stderr and returns the code. */
int ws_cli_fail(int code, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* ===== Administration interface ===== */

struct ws_cli_reply {
	long status;
	GString *body;
};

/*
 * Sends one request to the instance.
 * @param path path and query after /admin/v1
 * @param body sent by POST; NULL: GET
 * @return WS_CLI_OK for a response with any status; else prints an error and
 *         returns the exit code
 */
int ws_cli_request(const struct ws_cli *cli, const char *path, const char *body,
		   struct ws_cli_reply *reply);
void ws_cli_reply_clear(struct ws_cli_reply *reply);

/* Prints the error of a response other than 2xx; returns the exit code. */
int ws_cli_print_error(const struct ws_cli_reply *reply);

/* Fetches a JSON object; on failure prints an error, returns NULL. */
json_t *ws_cli_fetch(const struct ws_cli *cli, const char *path, int *code);

/* The same from the metrics listener of wagtailshift-edge (--edge). */
json_t *ws_cli_fetch_edge(const struct ws_cli *cli, const char *path,
			  int *code);

/* ===== Files ===== */

/* Reads a file, or stdin for "-"; on failure prints an error, returns NULL. */
char *ws_cli_read(const char *path, size_t max);

/* Writes a text to a file, or stdout when path is NULL. */
int ws_cli_write(const char *path, const char *text);

/* ===== Tables ===== */

struct ws_cli_column {
	const char *title;
	const char *field;
};

/* Prints an array of objects as a table; columns end with a NULL title. */
void ws_cli_table(const json_t *rows, const struct ws_cli_column *columns);

/* Prints "title: value" lines of one object. */
void ws_cli_fields(const json_t *o, const struct ws_cli_column *columns);

/* Prints a JSON document. */
void ws_cli_print_json(const json_t *o);

#endif
