#ifndef WS_BENCH_H
#define WS_BENCH_H

#include <stdio.h>

#include "common/ws_hist.h"

/* Parts of the load and experiment tool; see docs/BENCH.md. */

/* Bounds of one run, so that a typing error cannot flood the machine. */
#define WS_BENCH_RATE_MAX 200000.0
#define WS_BENCH_DURATION_SECONDS_MAX 3600.0
#define WS_BENCH_REQUESTS_MAX 100000000ULL
#define WS_BENCH_IN_FLIGHT_MAX 20000
#define WS_BENCH_KEYS_MAX 10000000

/* Slices of the run for the plot of latency over time. */
#define WS_BENCH_SLICES 60

#define WS_BENCH_STATUS_MAX 600

enum ws_bench_outcome {
	WS_BENCH_OUTCOME_NONE = 0, /* no outcome header */
	WS_BENCH_OUTCOME_NOT_RUN,
	WS_BENCH_OUTCOME_UNKNOWN,
	WS_BENCH_OUTCOME_OTHER,
	WS_BENCH_N_OUTCOMES,
};

/* A value that gets a share of the requests. */
struct ws_bench_share {
	char *text;
	double share;
};

struct ws_bench_shares {
	struct ws_bench_share *items;
	size_t n;
	double total;
};

struct ws_bench_stats {
	uint64_t scheduled; /* arrivals scheduled */
	uint64_t sent;
	uint64_t unsent; /* due, but never sent: bounds or end of the run */
	uint64_t failed; /* no whole answer */
	uint64_t status[WS_BENCH_STATUS_MAX];
	uint64_t outcome[WS_BENCH_N_OUTCOMES];
	struct ws_hist served_latency; /* latency of answers with status 2xx */
	struct ws_hist response_latency; /* latency of all answers */
};

struct ws_bench_customer {
	char *name;
	double rate; /* requests a second */
	char *key; /* caller key; NULL: none */
	struct ws_bench_stats stats;
};

struct ws_bench_conf {
	struct ws_bench_customer *customers;
	size_t n_customers;
	struct ws_bench_shares urls;
	struct ws_bench_shares methods;
	char *path; /* "{key}" stands for the key */
	unsigned n_keys;
	double zipf_exponent; /* exponent; 0: uniform */
	bool even_arrivals; /* evenly spaced arrivals instead of Poisson */
	double duration_seconds;
	double warmup_seconds; /* seconds at the start that are not counted */
	int deadline_ms; /* 0: no deadline header */
	int timeout_ms;
	int body_size;
	int max_connections; /* per URL; 0: no bound */
	int max_in_flight;
	uint64_t max_requests;
	uint64_t seed;
	char *csv_file;
	char *json_file;
	char *svg_file;
	bool quiet;
};

struct ws_bench_slice {
	struct ws_hist served_latency;
	uint64_t not_served; /* answers other than 2xx, and failures */
};

struct ws_bench_result {
	double elapsed_seconds; /* seconds, until the last answer */
	double counted_seconds; /* seconds of arrivals that are counted */
	struct ws_hist send_lag; /* sending time minus scheduled time */
	struct ws_bench_slice slices[WS_BENCH_SLICES];
	struct _GHashTable *errors; /* text -> count, of failed requests */
};

/* ===== Options ===== */

/* Parses the options of "run"; on failure prints why and returns false. */
bool ws_bench_parse_options(int argc, char **argv, struct ws_bench_conf *conf);
void ws_bench_conf_clear(struct ws_bench_conf *conf);

/* True for an http URL whose host is a loopback address. */
bool ws_bench_url_is_loopback(const char *url);

/* ===== Choices ===== */

/* Uniform in [0, 1). */
double ws_bench_random(struct ws_rand *rand);

/* Exponentially distributed with mean 1. */
double ws_bench_exponential(struct ws_rand *rand);
const char *ws_bench_pick_weighted(const struct ws_bench_shares *s,
				   struct ws_rand *rand);

/* Number of a key below n by a cumulative table, see ws_bench_zipf_table(). */
unsigned ws_bench_pick_key(const double *table, unsigned n,
			   struct ws_rand *rand);

/* Cumulative weights 1/k^exponent; NULL for exponent 0 (uniform). */
double *ws_bench_zipf_table(unsigned n, double exponent);

/* Formats a UUID version 7 for a wall-clock time; out has 37 bytes. */
void ws_bench_uuid7(struct ws_rand *rand, int64_t wall_ms, char *out);

/* ===== Running ===== */

/* Sends the load; returns false when it could not start. */
bool ws_bench_run_load(struct ws_bench_conf *conf, struct ws_bench_result *res);

void ws_bench_result_free(struct ws_bench_result *res);

/* ===== Reports ===== */

void ws_bench_total_stats(const struct ws_bench_conf *conf,
			  struct ws_bench_stats *total);
void ws_bench_print_report(FILE *to, const struct ws_bench_conf *conf,
			   const struct ws_bench_result *res);

/* These return false and print why when the file cannot be written. */
bool ws_bench_write_csv(const struct ws_bench_conf *conf);
bool ws_bench_write_json(const struct ws_bench_conf *conf,
			 const struct ws_bench_result *res);
bool ws_bench_write_svg(const struct ws_bench_conf *conf,
			const struct ws_bench_result *res);

#endif
