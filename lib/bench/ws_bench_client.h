#ifndef WS_BENCH_CLIENT_H
#define WS_BENCH_CLIENT_H

#include <curl/curl.h>
#include <ev.h>

#include "bench/ws_bench.h"

/* Concurrent HTTP exchanges, with libcurl's multi interface on a libev loop. */

struct ws_bclient;

/*
 * An HTTP request and its response. The user sets the first part before
 * sending.
 */
struct ws_bexchange {
	const char *method;
	char *url; /* from malloc; freed by the client */
	struct curl_slist *headers;
	bool owns_headers; /* the client frees them */
	const char *body;
	size_t body_len;
	size_t customer;
	ws_us scheduled_at;
	ws_us sent_at;
	bool counted;
	/* Set by the client */
	long status;
	enum ws_bench_outcome outcome;
	CURLcode error; /* CURLE_OK: a complete response */
	CURL *easy;
	struct ws_bexchange *next_free;
};

/* Called at the end of each exchange, which is reused afterwards. */
typedef void (*ws_bclient_exchange_done_fn)(void *arg, struct ws_bexchange *x);

struct ws_bclient *ws_bclient_new(struct ev_loop *loop,
				  const struct ws_bench_conf *conf,
				  ws_bclient_exchange_done_fn done, void *arg);
void ws_bclient_free(struct ws_bclient *c);

/* An unused exchange, or NULL if the maximum is in flight. */
struct ws_bexchange *ws_bclient_acquire_exchange(struct ws_bclient *c);
void ws_bclient_send(struct ws_bclient *c, struct ws_bexchange *x);
size_t ws_bclient_in_flight(const struct ws_bclient *c);

#endif
