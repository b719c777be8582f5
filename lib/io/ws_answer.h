#ifndef WS_ANSWER_H
#define WS_ANSWER_H

#include <microhttpd.h>

#include "core/ws_types.h"
#include "io/ws_payload.h"

/* Builds HTTP responses for libmicrohttpd. */

/*
 * An error response with the outcome header and a JSON body. It has a
 * Retry-After header if retry_after is positive, and always for status 429.
 */
struct MHD_Response *ws_answer_refusal(int error, uint8_t outcome,
				       ws_us retry_after);

/* A target's response; it holds a reference to the payload. */
struct MHD_Response *ws_answer_payload(struct ws_payloads *table, ws_payload p);

/* Takes ownership of text, which must have been allocated with malloc(). */
struct MHD_Response *ws_answer_text(char *text, const char *type);

#endif
