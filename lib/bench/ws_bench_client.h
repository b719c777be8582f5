#ifndef WS_BENCH_CLIENT_H
#define WS_BENCH_CLIENT_H

#include <curl/curl.h>
#include <ev.h>

#include "bench/ws_bench.h"

/* HTTP exchanges by libcurl multi on the libev loop. */

struct ws_bclient;

/* One exchange; the user fills in the first part before sending. */
struct ws_bexchange {
	const char *method;
	char *url; /* from malloc, freed by the client */
	struct curl_slist *headers;
	bool owns_headers; /* the client frees them */
	const char *body;
	size_t body_len;
	size_t customer;
	ws_us scheduled_at;
	ws_us sent_at;
	bool counted;
	/* Filled in by the client */
	long status;
	enum ws_bench_outcome outcome;
	CURLcode error; /* CURLE_OK: a whole answer */
	CURL *easy;
	struct ws_bexchange *next_free;
};

/* Called at the end of each exchange; the exchange is reused after it. */
typedef void (*ws_bclient_exchange_done_fn)(void *arg, struct ws_bexchange *x);

struct ws_bclient *ws_bclient_new(struct ev_loop *loop,
				  const struct ws_bench_conf *conf,
				  ws_bclient_exchange_done_fn done, void *arg);
void ws_bclient_free(struct ws_bclient *c);

/* An exchange to fill in, or NULL when as many as allowed are out. */
struct ws_bexchange *ws_bclient_acquire_exchange(struct ws_bclient *c);
void ws_bclient_send(struct ws_bclient *c, struct ws_bexchange *x);
size_t ws_bclient_in_flight(const struct ws_bclient *c);

#endif
