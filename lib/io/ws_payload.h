#ifndef WS_PAYLOAD_H
#define WS_PAYLOAD_H

#include "common/ws_common.h"

/*
 * Table of immutable requests and answers with reference counts. The core only
 * handles ws_payload handles. A handle combines an index and a generation, so
 * that the use of a stale one is detected.
 */

struct ws_payloads;

/* Content of a request or an answer. */
struct ws_body {
	const char *method; /* requests; "" for answers */
	const char *path; /* requests: path and query, starting with '/' */
	uint16_t status; /* answers */
	const char *headers; /* "Name: value" strings, each ended by a NUL */
	size_t headers_len; /* of all, with the NULs */
	const void *data;
	size_t data_len;
};

/* @param max_bytes limit for all payloads together */
struct ws_payloads *ws_payloads_new(size_t max_bytes);
void ws_payloads_free(struct ws_payloads *t);

/*
 * Copies a body into the table.
 * @return a handle with one reference, or 0 if the table is full
 */
ws_payload ws_payload_add(struct ws_payloads *t, const struct ws_body *b);

/* Returns the content of a handle, or NULL if it is 0 or stale. */
const struct ws_body *ws_payload_get(const struct ws_payloads *t, ws_payload h);

/* Adds or releases a reference; aborts the process if the handle is stale. */
void ws_payload_ref(struct ws_payloads *t, ws_payload h);
void ws_payload_unref(struct ws_payloads *t, ws_payload h);

size_t ws_payload_bytes(const struct ws_payloads *t);
size_t ws_payload_count(const struct ws_payloads *t);

/* Returns the value of a header, or NULL; the name is case-insensitive. */
const char *ws_body_header(const struct ws_body *b, const char *name);

#endif
