#include "cli/ws_cli_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"

/* The command that states that instances are gone. */

#define ID_DIGITS 16

/* Reads ids of 16 hexadecimal digits separated by commas. */
static bool read_ids(const char *text, struct ws_record *rec)
{
	char **words = g_strsplit(text, ",", -1);
	size_t n = g_strv_length(words);
	char *end;
	size_t i;

	rec->gone = ws_alloc(n, sizeof(*rec->gone));
	for (i = 0; i < n; i++) {
		rec->gone[i] = strtoull(words[i], &end, 16);
		if (strlen(words[i]) != ID_DIGITS || *end || !rec->gone[i])
			break;
	}
	rec->n_gone = i;
	g_strfreev(words);
	return n && i == n;
}

static int send_statement(const struct ws_cli *cli, const char *envelope)
{
	struct ws_cli_reply reply;
	int code = ws_cli_exchange(cli, "/recover", envelope, &reply);

	if (code)
		return code;
	if (reply.status / 100 != 2)
		code = ws_cli_refused(&reply);
	else
		printf("the statement is in the log\n");
	ws_cli_reply_clear(&reply);
	return code;
}

int ws_cli_recover(const struct ws_cli *cli)
{
	struct ws_record rec = { .kind = WS_REC_RECOVER };
	struct ws_reason why = { "" };
	struct ws_cli_key key;
	int code;

	if (!ws_cli_read_key(cli->key, &key))
		return WS_CLI_USAGE;
	if (!read_ids(cli->args[0], &rec)) {
		free(rec.gone);
		return ws_cli_fail(WS_CLI_USAGE,
				   "'%s' is no list of instance ids; give 16 "
				   "hexadecimal digits each, separated by "
				   "commas, as `wagtailshift status` shows",
				   cli->args[0]);
	}
	if (ws_codec_recover_sign(&rec, key.public_key, key.secret_key, &why))
		code = ws_cli_fail(WS_CLI_REFUSED, "%s", why.text);
	else
		code = send_statement(cli, rec.bundle_text);
	ws_record_clear(&rec);
	return code;
}
