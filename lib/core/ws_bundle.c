#include "core/ws_bundle.h"

#include <stdlib.h>
#include <string.h>

/* ===== Lifecycle ===== */

struct ws_bundle *ws_bundle_new(void)
{
	struct ws_bundle *b = ws_alloc(1, sizeof(*b));

	b->refs = 1;
	return b;
}

struct ws_bundle *ws_bundle_ref(struct ws_bundle *b)
{
	if (b)
		b->refs++;
	return b;
}

void ws_bundle_unref(struct ws_bundle *b)
{
	if (!b)
		return;
	WS_INVARIANT(b->refs > 0);
	if (--b->refs)
		return;
	free(b->services);
	free(b->customers);
	free(b->keys);
	free(b->zones);
	free(b->operators);
	free(b->text);
	free(b);
}

/* ===== Lookups ===== */

const struct ws_service *ws_bundle_service(const struct ws_bundle *b, ws_id id)
{
	size_t i;

	for (i = 0; b && i < b->n_services; i++)
		if (b->services[i].id == id)
			return &b->services[i];
	return NULL;
}

const struct ws_customer *ws_bundle_customer(const struct ws_bundle *b,
					     ws_id id)
{
	size_t i;

	for (i = 0; b && i < b->n_customers; i++)
		if (b->customers[i].id == id)
			return &b->customers[i];
	return NULL;
}

const struct ws_zone *ws_bundle_zone(const struct ws_bundle *b, ws_id id)
{
	size_t i;

	for (i = 0; b && i < b->n_zones; i++)
		if (b->zones[i].id == id)
			return &b->zones[i];
	return NULL;
}

ws_id ws_bundle_key_customer(const struct ws_bundle *b, const uint64_t hash[4])
{
	ws_id customer = 0;
	uint64_t diff;
	uint64_t mask;
	size_t i;

	for (i = 0; b && i < b->n_keys; i++) {
		const struct ws_caller_key *k = &b->keys[i];

		diff = (k->hash[0] ^ hash[0]) | (k->hash[1] ^ hash[1]) |
		       (k->hash[2] ^ hash[2]) | (k->hash[3] ^ hash[3]);
		mask = ((diff | (0 - diff)) >> 63) - 1;
		customer |= k->customer & mask;
	}
	return customer;
}

uint32_t ws_bundle_shard(const struct ws_service *svc, uint64_t key)
{
	WS_INVARIANT(svc->shards > 0);
	return (uint32_t)(ws_mix(svc->id, key) % svc->shards);
}
