#include "cli/ws_cli_int.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "codec/ws_json.h"

#define KEY_TEXT_MAX 4096

/* ===== Texts ===== */

static char *read_stream(FILE *f, const char *path, size_t max)
{
	char *text = g_malloc(max + 1);
	size_t n = fread(text, 1, max + 1, f);

	if (ferror(f) || n > max) {
		ws_cli_fail(0, "%s: %s", path,
			    n > max ? "too large; give a smaller file" :
				      "cannot be read; check the file");
		g_free(text);
		return NULL;
	}
	text[n] = '\0';
	return text;
}

char *ws_cli_read(const char *path, size_t max)
{
	FILE *f;
	char *text;

	if (strcmp(path, "-") == 0)
		return read_stream(stdin, "standard input", max);
	f = fopen(path, "re");
	if (!f) {
		ws_cli_fail(0, "%s: %s; name a file that can be read", path,
			    g_strerror(errno));
		return NULL;
	}
	text = read_stream(f, path, max);
	fclose(f);
	return text;
}

/* Writes a line to an open file and closes it; f may be NULL. */
static int write_line(FILE *f, const char *path, const char *text)
{
	if (!f)
		return ws_cli_fail(WS_CLI_REFUSED,
				   "%s: %s; choose another file", path,
				   g_strerror(errno));
	fputs(text, f);
	fputc('\n', f);
	if (fclose(f))
		return ws_cli_fail(WS_CLI_REFUSED,
				   "%s: %s; check the file system", path,
				   g_strerror(errno));
	return WS_CLI_OK;
}

/* Writes a new file with the given rights; never overwrites. */
static int write_new(const char *path, const char *text, mode_t mode)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);

	return write_line(fd < 0 ? NULL : fdopen(fd, "w"), path, text);
}

int ws_cli_write(const char *path, const char *text)
{
	if (path)
		return write_line(fopen(path, "we"), path, text);
	puts(text);
	return WS_CLI_OK;
}

/* ===== Operator keys ===== */

bool ws_cli_read_key(const char *path, struct ws_cli_key *key)
{
	char *text = ws_cli_read(path, KEY_TEXT_MAX);
	bool ok;

	if (!text)
		return false;
	text[strcspn(text, "\r\n")] = '\0';
	ok = ws_json_decode_hex(text, key->secret_key, sizeof(key->secret_key));
	sodium_memzero(text, strlen(text));
	g_free(text);
	if (!ok) {
		ws_cli_fail(0,
			    "%s: expected the 128 hexadecimal digits of a "
			    "secret key; 'wagtailshift keygen' makes one",
			    path);
		return false;
	}
	crypto_sign_ed25519_sk_to_pk(key->public_key, key->secret_key);
	return true;
}

int ws_cli_write_key(const char *path, char public_hex[65])
{
	char *public_path = g_strdup_printf("%s.pub", path);
	char secret_hex[129];
	struct ws_cli_key key;
	int code;

	crypto_sign_keypair(key.public_key, key.secret_key);
	sodium_bin2hex(public_hex, 65, key.public_key, sizeof(key.public_key));
	sodium_bin2hex(secret_hex, sizeof(secret_hex), key.secret_key,
		       sizeof(key.secret_key));
	code = write_new(path, secret_hex, 0600);
	if (code == WS_CLI_OK)
		code = write_new(public_path, public_hex, 0644);
	sodium_memzero(&key, sizeof(key));
	sodium_memzero(secret_hex, sizeof(secret_hex));
	g_free(public_path);
	return code;
}
