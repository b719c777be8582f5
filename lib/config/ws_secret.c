#include "config/ws_secret.h"

#include <errno.h>
#include <string.h>

static int line_error(struct ws_config_error *err, const char *path,
		      size_t line, const char *text)
{
	snprintf(err->text, sizeof(err->text), "%s:%zu: %s", path, line, text);
	return WS_ERR_CONFIG;
}

static int read_lines(FILE *in, const char *path, size_t max_n,
		      struct ws_secret_lines *out, struct ws_config_error *err)
{
	char buf[WS_SECRET_LEN_MAX + 3];
	size_t len;

	out->n = 0;
	while (fgets(buf, sizeof(buf), in)) {
		len = strcspn(buf, "\r\n");
		if (out->n == max_n)
			return line_error(
				err, path, out->n + 1,
				"too many lines; remove those that are "
				"no longer used");
		if (len < WS_SECRET_LEN_MIN || len > WS_SECRET_LEN_MAX)
			return line_error(
				err, path, out->n + 1,
				"expected 32 to 256 characters; write a "
				"random text, such as 64 hexadecimal "
				"digits");
		buf[len] = '\0';
		memcpy(out->line[out->n++], buf, len + 1);
	}
	if (!out->n)
		return line_error(
			err, path, 0,
			"the file is empty; write a random text of at "
			"least 32 characters");
	return 0;
}

int ws_secret_read(const char *path, size_t max_n, struct ws_secret_lines *out,
		   struct ws_config_error *err)
{
	FILE *in = fopen(path, "re");
	int res;

	WS_INVARIANT(max_n <= WS_SECRET_LINES_MAX);
	if (!in) {
		snprintf(err->text, sizeof(err->text),
			 "%s: %s; write a random text of at least 32 "
			 "characters to this file, or correct secret_file or "
			 "token_file in the settings",
			 path, strerror(errno));
		return WS_ERR_CONFIG;
	}
	res = read_lines(in, path, max_n, out, err);
	fclose(in);
	return res;
}
