#ifndef WS_SECRET_H
#define WS_SECRET_H

#include "config/ws_config.h"

/* Reads the files that hold the cluster secret or the administration token. */

#define WS_SECRET_LINES_MAX 2
#define WS_SECRET_LEN_MIN 32
#define WS_SECRET_LEN_MAX 256

struct ws_secret_lines {
	char line[WS_SECRET_LINES_MAX][WS_SECRET_LEN_MAX + 1];
	size_t n;
};

/*
 * Reads the lines of a secret file.
 * @param max_n maximum number of lines, at most WS_SECRET_LINES_MAX
 * @return 0, or WS_ERR_CONFIG with err filled in
 */
int ws_secret_read(const char *path, size_t max_n, struct ws_secret_lines *out,
		   struct ws_config_error *err);

#endif
