#include "codec/ws_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ===== Bounds ===== */

#define SERVICES_MAX 256
#define CUSTOMERS_MAX 4096
#define KEYS_MAX 16384
#define ZONES_MAX 64
#define OPERATORS_MAX 64
#define PARTITIONS_MAX 4096
#define SHARDS_MAX 65536
#define RATE_MAX 10000000
#define BURST_MAX 100000000
#define DEADLINE_MS_MAX 600000
/* Caller keys must close within a time that operators can wait for. */
#define KEY_AGE_MS_MIN 100
#define KEY_AGE_MS_MAX 60000
#define OUTAGE_MS_MIN 1000
#define OUTAGE_MS_MAX 86400000

#define PARTITIONS_DEFAULT 24
#define KEY_AGE_MS_DEFAULT 10000
#define OUTAGE_MS_DEFAULT 600000

/* ===== Optional numbers ===== */

static int uint_or(const struct ws_json *j, const char *field,
		   uint64_t fallback, uint64_t min, uint64_t max, uint64_t *out)
{
	*out = fallback;
	if (!ws_json_has(j, field))
		return 0;
	return ws_json_uint(j, field, min, max, out);
}

static int bool_or(const struct ws_json *j, const char *field, bool fallback,
		   bool *out)
{
	*out = fallback;
	if (!ws_json_has(j, field))
		return 0;
	return ws_json_bool(j, field, out);
}

/* ===== Names ===== */

/* Reads a name that no earlier element of the list may have. */
static int read_name(const struct ws_json *j, struct ws_name *name, ws_id *id)
{
	int res = ws_json_name(j, "name", name);

	if (!ws_is_error(res))
		*id = ws_codec_id(name->text);
	return res;
}

static int refuse_twin(const struct ws_json *j, const struct ws_name *name)
{
	return ws_json_error(j, "name", "'%s' is listed twice; remove one",
			     name->text);
}

/* ===== Settings ===== */

static int read_settings(const struct ws_json *root, struct ws_bundle *b)
{
	static const char *const fields[] = { "partitions", "key_max_age_ms",
					      "outage_limit_ms", NULL };
	uint64_t partitions = PARTITIONS_DEFAULT;
	uint64_t key_age = KEY_AGE_MS_DEFAULT;
	uint64_t outage = OUTAGE_MS_DEFAULT;
	struct ws_json s;

	if (ws_json_has(root, "settings")) {
		if (ws_json_object(root, "settings", &s) ||
		    ws_json_check_fields(&s, fields) ||
		    uint_or(&s, "partitions", PARTITIONS_DEFAULT, 1,
			    PARTITIONS_MAX, &partitions) ||
		    uint_or(&s, "key_max_age_ms", KEY_AGE_MS_DEFAULT,
			    KEY_AGE_MS_MIN, KEY_AGE_MS_MAX, &key_age) ||
		    uint_or(&s, "outage_limit_ms", OUTAGE_MS_DEFAULT,
			    OUTAGE_MS_MIN, OUTAGE_MS_MAX, &outage))
			return WS_ERR_SYNTAX;
	}
	b->partitions = (uint32_t)partitions;
	b->key_max_age = (ws_us)key_age * WS_MS;
	b->outage_limit = (ws_us)outage * WS_MS;
	return 0;
}

static int read_version(const struct ws_json *root, struct ws_bundle *b)
{
	if (ws_json_uint(root, "version", 1, INT64_MAX, &b->version) ||
	    ws_json_uint(root, "base", 0, INT64_MAX, &b->base))
		return WS_ERR_SYNTAX;
	if (b->base + 1 != b->version)
		return ws_json_error(root, "base",
				     "expected %llu, one below the version; "
				     "set it to the version in force",
				     (unsigned long long)b->version - 1);
	return 0;
}

/* ===== Services ===== */

static int read_shards(const struct ws_json *j, struct ws_service *svc)
{
	uint64_t shards = 0;
	int res;

	if (svc->sharded)
		res = ws_json_uint(j, "shards", 1, SHARDS_MAX, &shards);
	else
		res = uint_or(j, "shards", 0, 0, 0, &shards);
	svc->shards = (uint32_t)shards;
	return res;
}

static int read_capacity(const struct ws_json *j, struct ws_service *svc)
{
	uint64_t slots;
	uint64_t cold;
	uint64_t connections;
	uint64_t deadline;

	if (ws_json_uint(j, "slots", 1, 10000, &slots) ||
	    uint_or(j, "cold_limit", 1, 1, slots, &cold) ||
	    uint_or(j, "connections", 120, 1, UINT16_MAX, &connections) ||
	    uint_or(j, "deadline_ms", 2000, 1, DEADLINE_MS_MAX, &deadline))
		return WS_ERR_SYNTAX;
	svc->slots = (uint16_t)slots;
	svc->cold_limit = (uint16_t)cold;
	svc->connections = (uint16_t)connections;
	svc->deadline = (ws_us)deadline * WS_MS;
	return 0;
}

static int read_service(const struct ws_json *j, struct ws_service *svc)
{
	static const char *const fields[] = {
		"name",	       "access",	"sharded", "shards",
		"idempotent",  "checks_fences", "slots",   "cold_limit",
		"connections", "deadline_ms",	NULL
	};
	static const char *const accesses[] = { "public", "internal", NULL };
	size_t access = 0;

	if (ws_json_check_fields(j, fields) ||
	    read_name(j, &svc->name, &svc->id) ||
	    ws_json_choice(j, "access", accesses, &access) ||
	    ws_json_bool(j, "sharded", &svc->sharded) ||
	    ws_json_bool(j, "idempotent", &svc->idempotent) ||
	    bool_or(j, "checks_fences", false, &svc->checks_fences) ||
	    read_shards(j, svc) || read_capacity(j, svc))
		return WS_ERR_SYNTAX;
	svc->access = access == 0 ? WS_ACCESS_PUBLIC : WS_ACCESS_INTERNAL;
	return 0;
}

static int read_services(const struct ws_json *root, struct ws_bundle *b)
{
	struct ws_service *svc;
	struct ws_json j;
	size_t n;
	size_t i;

	if (ws_json_array(root, "services", SERVICES_MAX, &n))
		return WS_ERR_SYNTAX;
	b->services = ws_alloc(n + 1, sizeof(*b->services));
	for (i = 0; i < n; i++) {
		svc = &b->services[i];
		if (ws_json_elem(root, "services", i, &j) ||
		    read_service(&j, svc))
			return WS_ERR_SYNTAX;
		if (ws_bundle_service(b, svc->id))
			return refuse_twin(&j, &svc->name);
		b->n_services++;
	}
	return 0;
}

/* ===== Customers ===== */

static int read_customer(const struct ws_json *j, struct ws_customer *c)
{
	static const char *const fields[] = { "name", "rate", "burst", "weight",
					      NULL };
	uint64_t rate;
	uint64_t burst;
	uint64_t weight;

	if (ws_json_check_fields(j, fields) || read_name(j, &c->name, &c->id) ||
	    ws_json_uint(j, "rate", 1, RATE_MAX, &rate) ||
	    ws_json_uint(j, "burst", 1, BURST_MAX, &burst) ||
	    uint_or(j, "weight", 1, 1, 1000, &weight))
		return WS_ERR_SYNTAX;
	c->rate = (uint32_t)rate;
	c->burst = (uint32_t)burst;
	c->weight = (uint16_t)weight;
	return 0;
}

static int read_customers(const struct ws_json *root, struct ws_bundle *b)
{
	struct ws_customer *c;
	struct ws_json j;
	size_t n;
	size_t i;

	if (ws_json_array(root, "customers", CUSTOMERS_MAX, &n))
		return WS_ERR_SYNTAX;
	b->customers = ws_alloc(n + 1, sizeof(*b->customers));
	for (i = 0; i < n; i++) {
		c = &b->customers[i];
		if (ws_json_elem(root, "customers", i, &j) ||
		    read_customer(&j, c))
			return WS_ERR_SYNTAX;
		if (ws_bundle_customer(b, c->id))
			return refuse_twin(&j, &c->name);
		b->n_customers++;
	}
	return 0;
}

/* ===== Caller keys ===== */

static int compare_keys(const void *a, const void *b)
{
	const struct ws_caller_key *x = a;
	const struct ws_caller_key *y = b;
	size_t i;

	for (i = 0; i < 4; i++)
		if (x->hash[i] != y->hash[i])
			return x->hash[i] < y->hash[i] ? -1 : 1;
	return 0;
}

static int read_key(const struct ws_json *j, const struct ws_bundle *b,
		    struct ws_caller_key *k)
{
	static const char *const fields[] = { "customer", "hash", NULL };
	struct ws_name customer;
	uint8_t hash[32];

	if (ws_json_check_fields(j, fields) ||
	    ws_json_name(j, "customer", &customer) ||
	    ws_json_bytes(j, "hash", hash, sizeof(hash)))
		return WS_ERR_SYNTAX;
	k->customer = ws_codec_id(customer.text);
	ws_codec_bytes_to_words(hash, k->hash);
	if (!ws_bundle_customer(b, k->customer))
		return ws_json_error(j, "customer",
				     "no customer is named '%s'; add the "
				     "customer or correct the name",
				     customer.text);
	return 0;
}

static int read_keys(const struct ws_json *root, struct ws_bundle *b)
{
	struct ws_json j;
	size_t n;
	size_t i;

	if (ws_json_array(root, "keys", KEYS_MAX, &n))
		return WS_ERR_SYNTAX;
	b->keys = ws_alloc(n + 1, sizeof(*b->keys));
	for (i = 0; i < n; i++)
		if (ws_json_elem(root, "keys", i, &j) ||
		    read_key(&j, b, &b->keys[i]))
			return WS_ERR_SYNTAX;
	b->n_keys = n;
	qsort(b->keys, n, sizeof(*b->keys), compare_keys);
	for (i = 1; i < n; i++)
		if (compare_keys(&b->keys[i - 1], &b->keys[i]) == 0)
			return ws_json_error(
				root, "keys",
				"hash %016llx... is listed twice; "
				"remove one",
				(unsigned long long)b->keys[i].hash[0]);
	return 0;
}

/* ===== Zones and operators ===== */

static int read_zones(const struct ws_json *root, struct ws_bundle *b)
{
	static const char *const fields[] = { "name", "in_service", NULL };
	struct ws_zone *z;
	struct ws_json j;
	size_t n;
	size_t i;

	if (ws_json_array(root, "zones", ZONES_MAX, &n))
		return WS_ERR_SYNTAX;
	b->zones = ws_alloc(n + 1, sizeof(*b->zones));
	for (i = 0; i < n; i++) {
		z = &b->zones[i];
		if (ws_json_elem(root, "zones", i, &j) ||
		    ws_json_check_fields(&j, fields) ||
		    read_name(&j, &z->name, &z->id) ||
		    ws_json_bool(&j, "in_service", &z->in_service))
			return WS_ERR_SYNTAX;
		if (ws_bundle_zone(b, z->id))
			return refuse_twin(&j, &z->name);
		b->n_zones++;
	}
	return 0;
}

static int read_operator(const struct ws_json *root, size_t i, uint8_t key[32])
{
	json_t *v = json_array_get(json_object_get(root->node, "operators"), i);

	if (!json_is_string(v) ||
	    !ws_json_decode_hex(json_string_value(v), key, 32))
		return ws_json_error(root, "operators",
				     "element %zu: expected the 64 hexadecimal "
				     "digits of a public key; run "
				     "'wagtailshift keygen'",
				     i);
	return 0;
}

static int read_operators(const struct ws_json *root, struct ws_bundle *b)
{
	size_t n;
	size_t i;
	size_t k;

	if (ws_json_array(root, "operators", OPERATORS_MAX, &n))
		return WS_ERR_SYNTAX;
	if (!n)
		return ws_json_error(
			root, "operators",
			"expected at least one public key; without "
			"one no later bundle could be signed");
	b->operators = ws_alloc(n, sizeof(*b->operators));
	for (i = 0; i < n; i++) {
		if (read_operator(root, i, b->operators[i]))
			return WS_ERR_SYNTAX;
		for (k = 0; k < i; k++)
			if (!memcmp(b->operators[k], b->operators[i], 32))
				return ws_json_error(root, "operators",
						     "element %zu is listed "
						     "twice; remove one",
						     i);
	}
	b->n_operators = n;
	return 0;
}

/* ===== Bundle ===== */

static int read_bundle(const struct ws_json *root, struct ws_bundle *b)
{
	static const char *const fields[] = {
		"version", "base",  "settings",	 "services", "customers",
		"keys",	   "zones", "operators", NULL
	};

	if (ws_json_check_fields(root, fields) || read_version(root, b) ||
	    read_settings(root, b) || read_services(root, b) ||
	    read_customers(root, b) || read_keys(root, b) ||
	    read_zones(root, b) || read_operators(root, b))
		return WS_ERR_SYNTAX;
	return 0;
}

int ws_codec_bundle_parse(const char *text, struct ws_bundle **out,
			  struct ws_codec_error *why)
{
	struct ws_bundle *b;
	struct ws_json root;
	int res;

	res = ws_json_open(text, WS_BUNDLE_TEXT_MAX, "bundle", &root, why);
	if (ws_is_error(res))
		return res;
	b = ws_bundle_new();
	res = read_bundle(&root, b);
	ws_json_close(&root);
	if (ws_is_error(res)) {
		ws_bundle_unref(b);
		return res;
	}
	b->text = strdup(text);
	WS_INVARIANT(b->text);
	*out = b;
	return 0;
}
