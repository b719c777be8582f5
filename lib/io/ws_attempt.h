#ifndef WS_ATTEMPT_H
#define WS_ATTEMPT_H

#include <curl/curl.h>

#include "io/ws_http.h"
#include "io/ws_shell.h"

/* The HTTP form of a request to a target, and the reading of its answer. */

#define WS_ATTEMPT_ADDED_HEADERS 9
#define WS_ATTEMPT_LINE_MAX 128

/* Headers of one request; nodes point into lines and the payload. */
struct ws_attempt_head {
	struct curl_slist *nodes;
	size_t n_nodes;
	size_t cap_nodes;
	char lines[WS_ATTEMPT_ADDED_HEADERS][WS_ATTEMPT_LINE_MAX];
	unsigned n_lines;
	char request_id[40];
};

void ws_attempt_head_build(struct ws_attempt_head *h, struct ws_shell *sh,
			   const struct ws_effect *e,
			   const struct ws_body *body, ws_us left);
void ws_attempt_head_free(struct ws_attempt_head *h);

/*
 * Judges how an exchange ended. The payload of a whole answer is added to the
 * table.
 * @return false when the connection must be closed, because the answer does
 *         not belong to the request
 */
bool ws_attempt_read_result(struct ws_payloads *table, const char *request_id,
			    const struct ws_http_result *res,
			    struct ws_attempt_result *out);

#endif
