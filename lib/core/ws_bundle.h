#ifndef WS_BUNDLE_H
#define WS_BUNDLE_H

#include "core/ws_types.h"

/*
 * The configuration bundle: services, customers, caller keys, zones and
 * operators. lib/codec parses and verifies the signed text. The result is
 * immutable and reference-counted.
 */

/* Largest number of partitions in a bundle. */
#define WS_PARTITIONS_MAX 1024

enum ws_access {
	WS_ACCESS_PUBLIC = 1, /* a caller key is required */
	WS_ACCESS_INTERNAL = 2, /* only on the internal listener, no key */
};

struct ws_service {
	ws_id id;
	struct ws_name name;
	uint8_t access;
	bool sharded; /* keys are owned by single targets */
	bool idempotent; /* POST requests need no Idempotency-Key */
	bool checks_fences; /* its targets verify grants and fences */
	uint32_t shards; /* sharded services only */
	uint16_t slots; /* concurrent requests of a warm target */
	uint16_t cold_limit; /* concurrent requests of a cold target; >= 1 */
	uint16_t connections; /* most connections to one target */
	ws_us deadline; /* default and largest deadline of a request */
};

struct ws_customer {
	ws_id id;
	struct ws_name name;
	uint32_t rate; /* requests per second */
	uint32_t burst; /* requests */
	uint16_t weight; /* in fair queues; >= 1 */
};

struct ws_caller_key {
	uint64_t hash[4]; /* BLAKE2b-256 of the caller key */
	ws_id customer;
};

struct ws_zone {
	ws_id id;
	struct ws_name name;
	bool in_service;
};

struct ws_bundle {
	unsigned refs;
	uint64_t version;
	uint64_t base; /* version it builds on; 0 for the first */
	uint32_t partitions;
	ws_us key_max_age; /* public routes close without newer evidence */
	ws_us outage_limit; /* longest time on quorum evidence alone */
	size_t n_services;
	struct ws_service *services;
	size_t n_customers;
	struct ws_customer *customers;
	size_t n_keys;
	struct ws_caller_key *keys; /* sorted by hash */
	size_t n_zones;
	struct ws_zone *zones;
	size_t n_operators;
	uint8_t (*operators)[32]; /* Ed25519 public keys */
	uint8_t signer[32]; /* public key whose signature was verified */
	char *text; /* the signed text as published */
};

struct ws_bundle *ws_bundle_new(void);
struct ws_bundle *ws_bundle_ref(struct ws_bundle *b);
void ws_bundle_unref(struct ws_bundle *b);

/* Lookups; return NULL if there is no such entry. b may be NULL. */
const struct ws_service *ws_bundle_service(const struct ws_bundle *b, ws_id id);
const struct ws_customer *ws_bundle_customer(const struct ws_bundle *b,
					     ws_id id);
const struct ws_zone *ws_bundle_zone(const struct ws_bundle *b, ws_id id);

/*
 * Finds the customer of a caller key by its hash. The comparison takes the same
 * time whichever hash matches.
 * @return the customer's id, or 0 if the bundle does not list the key
 */
ws_id ws_bundle_key_customer(const struct ws_bundle *b, const uint64_t hash[4]);

/* Returns the shard of a key in a sharded service. */
uint32_t ws_bundle_shard(const struct ws_service *svc, uint64_t key);

#endif
