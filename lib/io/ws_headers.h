#ifndef WS_HEADERS_H
#define WS_HEADERS_H

#include "common/ws_common.h"

/* Header rules of docs/design.md, section 7, and blocks of headers. */

/* A growing block of "Name: value" strings, each ended by a NUL. */
struct ws_headers {
	char *text;
	size_t len;
	size_t cap;
};

void ws_headers_add(struct ws_headers *h, const char *name, size_t name_len,
		    const char *value, size_t value_len);

/* Empties the block; keeps its capacity. */
void ws_headers_reset(struct ws_headers *h);
void ws_headers_free(struct ws_headers *h);

/*
 * Headers of a caller's request that the rules look at; filled by
 * ws_headers_scan() one header at a time.
 */
struct ws_header_scan {
	unsigned n_lengths; /* Content-Length headers */
	unsigned n_encodings; /* Transfer-Encoding headers */
	unsigned n_hosts;
	bool invalid; /* a header that callers may not send, or malformed */
	bool chunked;
	uint64_t content_length;
	const char *authorization; /* last value seen */
	unsigned n_authorizations;
	const char *request_id; /* Idempotency-Key */
	unsigned n_request_ids;
	const char *deadline; /* X-Wagtailshift-Deadline-Ms */
	const char *connection; /* names further hop-by-hop headers */
};

void ws_headers_scan(struct ws_header_scan *s, const char *name,
		     const char *value);

/* @return 0, WS_ERR_BAD_REQUEST or WS_ERR_TOO_LARGE */
int ws_headers_check(const struct ws_header_scan *s, uint64_t max_body);

/*
 * Tells whether a header concerns more than one connection.
 * @param connection value of the Connection header, or NULL
 */
bool ws_headers_is_end_to_end(const char *name, size_t len,
			      const char *connection);

/* Tells whether a caller's header is passed on to the target. */
bool ws_headers_is_for_target(const struct ws_header_scan *s, const char *name);

/* Tells whether a target's header is passed on to the caller. */
bool ws_headers_is_for_caller(const char *name, size_t len,
			      const char *connection);

#endif
