#ifndef WS_CLI_H
#define WS_CLI_H

#include "codec/ws_codec.h"

/* The command-line tool; docs/CLI.md describes its commands. */

enum ws_cli_exit {
	WS_CLI_OK = 0,
	WS_CLI_REFUSED = 1, /* by an instance, or the input is invalid */
	WS_CLI_USAGE = 2,
	WS_CLI_UNREACHABLE = 3,
};

/* Runs the tool; returns its exit code. */
int ws_cli_main(int argc, char **argv);

/* ===== Operator keys ===== */

struct ws_cli_key {
	uint8_t public_key[32];
	uint8_t secret_key[64];
};

/* Reads a secret key as written by keygen; false after a message. */
bool ws_cli_read_key(const char *path, struct ws_cli_key *key);

/* Makes and writes FILE and FILE.pub; never overwrites. */
int ws_cli_write_key(const char *path, char public_hex[65]);

/* ===== Bundles ===== */

/*
 * Changes one zone in a bundle's text and raises its version.
 * @return 0 with a malloc'ed text, 1 if nothing would change, WS_ERR_SYNTAX
 */
int ws_cli_change_zone(const char *text, const char *zone, bool in_service,
		       char **changed, struct ws_codec_error *why);

/*
 * Log record that states that instances are gone; the text is malloc'ed.
 * @param ids their ids as 16 hexadecimal digits each, separated by commas
 * @return 0, WS_ERR_SYNTAX, WS_ERR_SIGNATURE or WS_ERR_TOO_LARGE
 */
int ws_cli_recover_record(const char *ids, const uint8_t public_key[32],
			  const uint8_t secret_key[64], char **text,
			  struct ws_codec_error *why);

#endif
