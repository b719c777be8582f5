#include "cli/ws_cli_int.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* The statement that instances are gone, as a log record or submitted. */

#define ID_DIGITS 16

static int64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Reads "ID,ID,..." of 16 hexadecimal digits each. */
static int read_ids(const char *text, GArray *ids, struct ws_codec_error *why)
{
	char **words = g_strsplit(text, ",", -1);
	int res = words[0] ? 0 : WS_ERR_SYNTAX;
	size_t i;

	for (i = 0; words[i] && !res; i++) {
		ws_id id = strtoull(words[i], NULL, 16);

		if (strlen(words[i]) != ID_DIGITS || !id ||
		    strspn(words[i], "0123456789abcdef") != ID_DIGITS)
			res = WS_ERR_SYNTAX;
		g_array_append_val(ids, id);
	}
	g_strfreev(words);
	if (res)
		snprintf(why->text, sizeof(why->text),
			 "'%.60s' is no list of instance ids; give 16 "
			 "hexadecimal digits each, separated by commas, as "
			 "HOLDER of 'owners' shows them",
			 text);
	return res;
}

/* Signs the statement; rec->bundle_text receives the envelope. */
static int sign_statement(const char *ids, const uint8_t public_key[32],
			  const uint8_t secret_key[64], struct ws_record *rec,
			  struct ws_codec_error *why)
{
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(ws_id));
	int res = read_ids(ids, gone, why);

	rec->kind = WS_REC_RECOVER;
	rec->wall_ms = wall_ms();
	randombytes_buf(&rec->uid, sizeof(rec->uid));
	rec->gone = (ws_id *)(void *)gone->data;
	rec->n_gone = gone->len;
	if (!res)
		res = ws_codec_recover_sign(rec, public_key, secret_key, why);
	rec->gone = NULL;
	rec->n_gone = 0;
	g_array_free(gone, TRUE);
	return res;
}

int ws_cli_recover_record(const char *ids, const uint8_t public_key[32],
			  const uint8_t secret_key[64], char **text,
			  struct ws_codec_error *why)
{
	struct ws_record rec = { .bundle_text = NULL };
	int res = sign_statement(ids, public_key, secret_key, &rec, why);

	if (!res)
		res = ws_codec_record_write(&rec, text);
	ws_record_clear(&rec);
	return res;
}

static int send_statement(const struct ws_cli *cli, const char *envelope)
{
	struct ws_cli_reply reply;
	int code = ws_cli_request(cli, "/recover", envelope, &reply);

	if (code)
		return code;
	if (reply.status / 100 != 2)
		code = ws_cli_print_error(&reply);
	else
		printf("the statement is in the log\n");
	ws_cli_reply_clear(&reply);
	return code;
}

static int submit(const struct ws_cli *cli, const struct ws_cli_key *key)
{
	struct ws_record rec = { .bundle_text = NULL };
	struct ws_codec_error why = { "" };
	int code;

	if (sign_statement(cli->args[0], key->public_key, key->secret_key, &rec,
			   &why))
		code = ws_cli_fail(WS_CLI_REFUSED, "%s", why.text);
	else
		code = send_statement(cli, rec.bundle_text);
	ws_record_clear(&rec);
	return code;
}

static int write_record(const struct ws_cli *cli, const struct ws_cli_key *key)
{
	struct ws_codec_error why = { "" };
	char *text = NULL;
	int code;

	if (ws_cli_recover_record(cli->args[0], key->public_key,
				  key->secret_key, &text, &why))
		return ws_cli_fail(WS_CLI_REFUSED, "%s", why.text);
	code = ws_cli_write(cli->out, text);
	free(text);
	return code;
}

int ws_cli_recover(const struct ws_cli *cli)
{
	struct ws_cli_key key;

	if (!ws_cli_read_key(cli->key, &key))
		return WS_CLI_USAGE;
	return cli->out ? write_record(cli, &key) : submit(cli, &key);
}
