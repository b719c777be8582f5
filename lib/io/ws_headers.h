#ifndef WS_HEADERS_H
#define WS_HEADERS_H

#include "common/ws_common.h"

/* Header rules of docs/design.md, section 7, and lists of headers. */

/* A growing list of "Name: value" strings, each terminated by a NUL. */
struct ws_headers {
	char *text;
	size_t len;
	size_t cap;
};

void ws_headers_add(struct ws_headers *h, const char *name, size_t name_len,
		    const char *value, size_t value_len);

/* Empties the list; keeps its capacity. */
void ws_headers_reset(struct ws_headers *h);
void ws_headers_free(struct ws_headers *h);

/*
 * The headers of a caller's request that matter for the rules. Filled by
 * ws_headers_scan(), one header at a time; strings are borrowed.
 */
struct ws_header_scan {
	unsigned n_lengths; /* Content-Length headers */
	unsigned n_encodings; /* Transfer-Encoding headers */
	unsigned n_hosts;
	bool invalid; /* has a malformed header, or one that callers must not
			 send */
	bool chunked;
	uint64_t content_length;
	const char *authorization; /* last value */
	unsigned n_authorizations;
	const char *request_id; /* Idempotency-Key */
	unsigned n_request_ids;
	const char *deadline; /* X-Wagtailshift-Deadline-Ms */
	const char *connection; /* lists further hop-by-hop headers */
};

void ws_headers_scan(struct ws_header_scan *s, const char *name,
		     const char *value);

/*
 * The same for the fields that tell where a message ends, and no others.
 * @return false if it is none of them
 */
bool ws_headers_scan_framing(struct ws_header_scan *s, const char *name,
			     size_t len, const char *value);

/*
 * Whether the end of the message is known: there is one length, which is a
 * number, or the coding "chunked" alone, or neither. Lists of equal lengths
 * count as malformed (RFC 9110, section 8.6, allows that).
 */
bool ws_headers_framing_is_valid(const struct ws_header_scan *s);

/* Whether it is a token, as names of fields are (RFC 9110, section 5.6.2). */
bool ws_headers_is_token(const char *name, size_t len);

/* @return 0, WS_ERR_BAD_REQUEST or WS_ERR_TOO_LARGE */
int ws_headers_check(const struct ws_header_scan *s, uint64_t max_body);

/*
 * Tells whether a header is end-to-end, as opposed to hop-by-hop.
 * @param connection value of the Connection header, or NULL
 */
bool ws_headers_is_end_to_end(const char *name, size_t len,
			      const char *connection);

/* Tells whether a caller's header is forwarded to the target. */
bool ws_headers_is_for_target(const struct ws_header_scan *s, const char *name);

/* Tells whether a target's header is forwarded to the caller. */
bool ws_headers_is_for_caller(const char *name, size_t len,
			      const char *connection);

#endif
