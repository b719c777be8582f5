#ifndef WS_ED_CONF_H
#define WS_ED_CONF_H

#include "common/ws_common.h"

/*
 * The operator's configuration as the edge uses it: services, routes by host
 * and longest path prefix, customers and their caller keys. Immutable once it
 * is indexed, but for the credits of weighted splits.
 */

struct ws_ed_service {
	char *name;
	ws_id id;
	char *health_path;
	uint32_t max_connections; /* of all callers together; 0: no bound */
	bool sharded; /* divided by key */
	ws_us warmup; /* time for which a started server stays cold */
	double warmup_per_s; /* requests/s that a cold server bears; 0: any */
};

/* One destination of a route; most routes have one. */
struct ws_ed_destination {
	ws_id service;
	uint32_t weight;
	int64_t credit; /* smooth weighted round robin */
};

#define WS_ED_DESTINATIONS_MAX 8

struct ws_ed_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	bool idempotent;
	bool auth_exempt;
	ws_us timeout; /* longest time that a request may be kept; 0: none */
	ws_us objective; /* latency objective; 0: none */
	uint32_t priority; /* 0 is the highest */
	uint32_t max_attempts; /* servers one request may be sent to */
	size_t n_destinations;
	struct ws_ed_destination destinations[WS_ED_DESTINATIONS_MAX];
	ws_us longest_deadline; /* seen so far; the deadline of first tries */
};

struct ws_ed_customer {
	char *name;
	ws_id id;
	int32_t priority; /* -1: the route's counts */
	double rate; /* requests/s; 0: no limit */
	double burst;
};

struct ws_ed_caller_key {
	char *text;
	size_t customer; /* index */
};

struct ws_ed_limits {
	uint64_t max_header;
	uint64_t max_body;
	ws_us header_timeout;
	ws_us idle_timeout;
};

struct ws_ed_conf {
	uint64_t version;
	struct ws_ed_service *services;
	size_t n_services;
	struct ws_ed_route *routes;
	size_t n_routes;
	struct ws_ed_customer *customers;
	size_t n_customers;
	struct ws_ed_caller_key *keys;
	size_t n_keys;
	struct ws_ed_limits limits;
	/* Open addressing; entries are index + 1, 0 is free */
	uint32_t *route_slots;
	uint32_t *key_slots;
	size_t n_route_slots; /* powers of two */
	size_t n_key_slots;
};

/* Identifies names of services, zones, customers and servers; never 0. */
ws_id ws_ed_id(const char *name);

/* Hash of bytes, for fingerprints. */
uint64_t ws_ed_hash(uint64_t seed, const void *data, size_t len);

/* Builds the indexes after the arrays were filled. */
void ws_ed_conf_index(struct ws_ed_conf *c);

void ws_ed_conf_free(struct ws_ed_conf *c);

/*
 * Route of a host and a path (a query is ignored): the longest prefix wins.
 * @return NULL when none matches
 */
struct ws_ed_route *ws_ed_conf_route(const struct ws_ed_conf *c,
				     const char *host, const char *path);

/* Customer of a caller key, or NULL. */
const struct ws_ed_customer *ws_ed_conf_customer(const struct ws_ed_conf *c,
						 const char *key);

const struct ws_ed_service *ws_ed_conf_service(const struct ws_ed_conf *c,
					       ws_id id);

/* Service for the next request of a route, in proportion to the weights. */
ws_id ws_ed_route_next_service(struct ws_ed_route *r);

#endif
