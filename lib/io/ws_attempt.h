#ifndef WS_ATTEMPT_H
#define WS_ATTEMPT_H

#include <curl/curl.h>

#include "io/ws_http.h"
#include "io/ws_shell.h"

/* Builds the HTTP headers of a request to a target and reads the response. */

#define WS_ATTEMPT_ADDED_HEADERS 9
#define WS_ATTEMPT_LINE_MAX 128

/* Headers of one request; nodes point to lines and into the payload. */
struct ws_attempt_head {
	struct curl_slist *nodes;
	size_t n_nodes;
	size_t cap_nodes;
	char lines[WS_ATTEMPT_ADDED_HEADERS][WS_ATTEMPT_LINE_MAX];
	unsigned n_lines;
	char request_id[40];
	bool own_id; /* no other attempt uses request_id */
};

void ws_attempt_head_build(struct ws_attempt_head *h, struct ws_shell *sh,
			   const struct ws_effect *e,
			   const struct ws_body *body, ws_us time_left);
void ws_attempt_head_free(struct ws_attempt_head *h);

/*
 * Derives the result of an attempt from the HTTP result. A complete response is
 * added to the table.
 * @return false when the connection must be closed: the response doesn't belong
 *         to the request, or it is a rejection that could be taken for one of a
 *         later attempt with the same id if the target sent it once more
 */
bool ws_attempt_read_result(struct ws_payloads *table,
			    const struct ws_attempt_head *head,
			    const struct ws_http_result *res,
			    struct ws_attempt_result *out);

#endif
