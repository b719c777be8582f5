#ifndef WS_ED_CONF_H
#define WS_ED_CONF_H

#include "common/ws_common.h"

/*
 * The operator's configuration in the form that the edge uses: services, routes
 * by host and longest path prefix, customers and their caller keys. Immutable
 * once indexed, except for the credits of weighted splits and the longest
 * deadline of each route.
 */

struct ws_ed_service {
	char *name;
	ws_id id;
	char *health_path;
	uint32_t max_connections; /* per server, all instances; 0: unlimited */
	bool sharded; /* its servers own ranges of keys */
	ws_us warmup; /* time for which a server is cold after its start */
	double warmup_per_s; /* requests/s of a cold server; 0: unlimited */
};

/* One destination of a route; most routes have one. */
struct ws_ed_destination {
	ws_id service;
	bool sharded; /* requests without a shard key can't go there */
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
	ws_us timeout; /* of a request in total; 0: none */
	ws_us objective; /* latency objective; 0: none */
	uint32_t priority; /* 0 is the highest */
	uint32_t max_attempts; /* servers that one request may be sent to */
	size_t n_destinations;
	struct ws_ed_destination destinations[WS_ED_DESTINATIONS_MAX];
	ws_us longest_deadline; /* longest seen; that of first attempts */
};

struct ws_ed_customer {
	char *name;
	ws_id id;
	int32_t priority; /* -1: the priority of the route applies */
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
	/* Hash tables with open addressing; entry: index + 1, 0: free */
	uint32_t *route_slots;
	uint32_t *key_slots;
	size_t n_route_slots; /* power of two */
	size_t n_key_slots;
};

/* Hash of the name of a service, zone, customer or server; never 0. */
ws_id ws_ed_id(const char *name);

/* Hash of bytes, for fingerprints. */
uint64_t ws_ed_hash(uint64_t seed, const void *data, size_t len);

/* Fills in what is derived from the arrays; call it once they are filled. */
void ws_ed_conf_index(struct ws_ed_conf *c);

void ws_ed_conf_free(struct ws_ed_conf *c);

/*
 * Finds the route with the longest matching prefix; a query is ignored.
 * @param host as in the Host field: its case, a port and a dot at the end do
 *   not matter
 * @return NULL if no route matches
 */
struct ws_ed_route *ws_ed_conf_route(const struct ws_ed_conf *c,
				     const char *host, const char *path);

/* Customer of a caller key, or NULL. */
const struct ws_ed_customer *ws_ed_conf_customer(const struct ws_ed_conf *c,
						 const char *key);

const struct ws_ed_service *ws_ed_conf_service(const struct ws_ed_conf *c,
					       ws_id id);

/*
 * Chooses the service of the next request by smooth weighted round robin.
 * @param has_key whether the request has a shard key; one without it can only
 *   go to a service that is not sharded
 * @return 0 if the route has no such service
 */
ws_id ws_ed_route_next_service(struct ws_ed_route *r, bool has_key);

/* Whether a request without a shard key has no service to go to. */
bool ws_ed_route_needs_key(const struct ws_ed_route *r);

#endif
