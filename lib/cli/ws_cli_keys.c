#include "cli/ws_cli_int.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* 32 random bytes; nobody can guess such a key. */
#define CALLER_KEY_BYTES 32

int ws_cli_keygen(const struct ws_cli *cli)
{
	char public_hex[65];
	int code = ws_cli_write_key(cli->args[0], public_hex);

	if (code == WS_CLI_OK)
		puts(public_hex);
	return code;
}

static void hash_text(const char *key, char out[65])
{
	uint64_t words[4];
	size_t i;

	ws_codec_caller_key_hash(key, words);
	for (i = 0; i < 4; i++)
		ws_codec_hex(words[i], out + 16 * i);
}

int ws_cli_caller_key(const struct ws_cli *cli)
{
	uint8_t random[CALLER_KEY_BYTES];
	char key[2 * CALLER_KEY_BYTES + 1];
	char hash[65];
	json_t *o;

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(key, sizeof(key), random, sizeof(random));
	hash_text(key, hash);
	if (!cli->json) {
		printf("key   %s\nhash  %s\n", key, hash);
		return WS_CLI_OK;
	}
	o = json_pack("{s:s, s:s}", "key", key, "hash", hash);
	ws_cli_print_json(o);
	json_decref(o);
	return WS_CLI_OK;
}
