#ifndef WS_CONFIG_H
#define WS_CONFIG_H

#include <netinet/in.h>
#include <stdio.h>

#include "common/ws_common.h"

/*
 * Settings of one instance, read from an INI file at start. Every setting is
 * checked before the process opens a socket. docs/CONFIG.md lists them.
 */

#define WS_CONFIG_TEXT_MAX 256

enum ws_setting_type {
	WS_SET_NAME, /* lower-case letters, digits and '-' */
	WS_SET_ADDRESS, /* ip:port */
	WS_SET_URL, /* http://ip:port */
	WS_SET_FILE, /* absolute path */
	WS_SET_PUBLIC_KEY, /* Ed25519 public key */
	WS_SET_COUNT, /* whole number */
	WS_SET_SIZE, /* number with KiB or MiB */
	WS_SET_TIME, /* number with ms or s */
	WS_SET_CHOICE, /* one of a list of words */
};

struct ws_setting {
	const char *section;
	const char *key;
	enum ws_setting_type type;
	const char *default_value; /* value when absent; NULL: must be set */
	int64_t min; /* COUNT, SIZE (bytes), TIME (ms) */
	int64_t max;
	const char *choices; /* CHOICE: words separated by '|' */
	const char *help;
	size_t offset; /* of the field in struct ws_config */
};

struct ws_config {
	/* [instance] */
	char name[WS_CONFIG_TEXT_MAX];
	char zone[WS_CONFIG_TEXT_MAX];
	char seed_operator_key[WS_CONFIG_TEXT_MAX];
	/* [listen] */
	char callers[WS_CONFIG_TEXT_MAX];
	char internal[WS_CONFIG_TEXT_MAX]; /* empty: no such listener */
	char peers[WS_CONFIG_TEXT_MAX];
	char admin[WS_CONFIG_TEXT_MAX];
	/* [platform] */
	char log[WS_CONFIG_TEXT_MAX];
	char list[WS_CONFIG_TEXT_MAX];
	/* [cluster], [admin] */
	char secret_file[WS_CONFIG_TEXT_MAX];
	char token_file[WS_CONFIG_TEXT_MAX];
	/* [limits] */
	int64_t max_calls;
	int64_t max_request_ids;
	int64_t max_queued;
	int64_t max_connections;
	int64_t max_memory; /* bytes of payloads */
	int64_t shutdown_time; /* ms */
	/* [routing] */
	char pick[WS_CONFIG_TEXT_MAX];
	char hedge[WS_CONFIG_TEXT_MAX];
	/* [log] */
	char level[WS_CONFIG_TEXT_MAX];

	/* Derived from seed_operator_key */
	uint8_t seed_key[32];
};

/* What was refused, where, what was expected and how to mend it. */
struct ws_config_error {
	char text[1024];
};

/*
 * Reads and checks a settings file.
 * @return 0, or WS_ERR_CONFIG with the error filled in
 */
int ws_config_load(const char *path, struct ws_config *out,
		   struct ws_config_error *why);

/* The same for an open stream; name stands for the file in messages. */
int ws_config_read(FILE *in, const char *name, struct ws_config *out,
		   struct ws_config_error *why);

/* Parses ip:port, where an IPv6 address stands in brackets. */
int ws_config_address(const char *text, struct sockaddr_storage *addr,
		      socklen_t *len);

/* All settings; returns how many there are. */
size_t ws_config_settings(const struct ws_setting **rows);

/* Writes a setting's row of the table in docs/CONFIG.md. */
void ws_config_doc_row(const struct ws_setting *s, char *buf, size_t size);

#endif
