#ifndef WS_ANSWER_H
#define WS_ANSWER_H

#include <microhttpd.h>

#include "core/ws_types.h"
#include "io/ws_payload.h"

/* HTTP responses to callers. */

/* A refusal with outcome, JSON body and, where useful, Retry-After. */
struct MHD_Response *ws_answer_refusal(int error, uint8_t outcome,
				       ws_us retry_after);

/* A target's answer; the response holds a reference to the payload. */
struct MHD_Response *ws_answer_payload(struct ws_payloads *table, ws_payload p);

/* A body of our own; text must have been malloc'ed and passes over. */
struct MHD_Response *ws_answer_text(char *text, const char *type);

#endif
