#include "config/ws_secret.h"

#include <errno.h>
#include <string.h>

static int refuse(struct ws_config_error *why, const char *path, size_t line,
		  const char *text)
{
	snprintf(why->text, sizeof(why->text), "%s:%zu: %s", path, line, text);
	return WS_ERR_CONFIG;
}

static int read_lines(FILE *in, const char *path, size_t most,
		      struct ws_secret_lines *out, struct ws_config_error *why)
{
	char buf[WS_SECRET_LEN_MAX + 3];
	size_t len;

	out->n = 0;
	while (fgets(buf, sizeof(buf), in)) {
		len = strcspn(buf, "\r\n");
		if (out->n == most)
			return refuse(why, path, out->n + 1,
				      "too many lines; remove those that are "
				      "no longer used");
		if (len < WS_SECRET_LEN_MIN || len > WS_SECRET_LEN_MAX)
			return refuse(why, path, out->n + 1,
				      "expected 32 to 256 characters; write a "
				      "random text, such as 64 hexadecimal "
				      "digits");
		buf[len] = '\0';
		memcpy(out->line[out->n++], buf, len + 1);
	}
	if (!out->n)
		return refuse(why, path, 0,
			      "the file is empty; write a random text of at "
			      "least 32 characters");
	return 0;
}

int ws_secret_read(const char *path, size_t most, struct ws_secret_lines *out,
		   struct ws_config_error *why)
{
	FILE *in = fopen(path, "re");
	int res;

	WS_INVARIANT(most <= WS_SECRET_LINES_MAX);
	if (!in) {
		snprintf(why->text, sizeof(why->text),
			 "%s: %s; write a random text of at least 32 "
			 "characters to this file, or correct secret_file or "
			 "token_file in the settings",
			 path, strerror(errno));
		return WS_ERR_CONFIG;
	}
	res = read_lines(in, path, most, out, why);
	fclose(in);
	return res;
}
