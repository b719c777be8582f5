#ifndef WS_PAYLOAD_H
#define WS_PAYLOAD_H

#include "common/ws_common.h"

/*
 * Table of immutable requests and answers with reference counts. The core
 * moves handles only; a handle is an index with a generation, so that a stale
 * one is noticed.
 */

struct ws_payloads;

/* Bytes of one request or answer. */
struct ws_body {
	const char *method; /* requests; "" for answers */
	const char *path; /* requests: path and query, starting with '/' */
	uint16_t status; /* answers */
	const char *headers; /* "Name: value" strings, each ended by a NUL */
	size_t headers_len; /* all of them, NULs included */
	const void *data;
	size_t data_len;
};

/* @param max_bytes bound of all payloads together */
struct ws_payloads *ws_payloads_new(size_t max_bytes);
void ws_payloads_free(struct ws_payloads *t);

/*
 * Copies a body into the table.
 * @return a handle with one reference, or 0 when the bound is reached
 */
ws_payload ws_payload_add(struct ws_payloads *t, const struct ws_body *b);

/* The bytes behind a handle, or NULL when it is 0 or stale. */
const struct ws_body *ws_payload_get(const struct ws_payloads *t, ws_payload h);

/* Takes or gives back a reference; a stale handle is a broken invariant. */
void ws_payload_ref(struct ws_payloads *t, ws_payload h);
void ws_payload_unref(struct ws_payloads *t, ws_payload h);

size_t ws_payload_bytes(const struct ws_payloads *t);
size_t ws_payload_count(const struct ws_payloads *t);

/* Value of a header by name without regard to case, or NULL. */
const char *ws_body_header(const struct ws_body *b, const char *name);

#endif
