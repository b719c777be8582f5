#include "edge/ws_ed_conf.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define FNV_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL
/* Longest host name (RFC 1035), with its dot at the end, and the NUL. */
#define HOST_SIZE 256

/* ===== Hashes ===== */

uint64_t ws_ed_hash(uint64_t seed, const void *data, size_t len)
{
	const unsigned char *p = data;
	uint64_t h = FNV_BASIS ^ seed;
	size_t i;

	for (i = 0; i < len; i++)
		h = (h ^ p[i]) * FNV_PRIME;
	return ws_mix(h, len);
}

ws_id ws_ed_id(const char *name)
{
	uint64_t h = ws_ed_hash(0, name, strlen(name));

	return h ? h : 1;
}

static uint64_t route_hash(const char *host, size_t host_len,
			   const char *prefix, size_t len)
{
	return ws_ed_hash(ws_ed_hash(0, host, host_len), prefix, len);
}

/* ===== Hosts ===== */

/*
 * Copies the name in a Host field in its normal form: in lower case, without a
 * port and a final dot (RFC 3986, 3.2.2 and 6.2.2.1).
 * @return its length; 0 if it is empty or too long
 */
static size_t normalize_host(const char *host, char *to, size_t size)
{
	size_t len = *host == '[' ? strcspn(host, "]") + 1 : strcspn(host, ":");
	size_t i;

	if (len && host[len - 1] == '.')
		len--;
	if (!len || len >= size || len > strlen(host))
		return 0;
	for (i = 0; i < len; i++)
		to[i] = (char)tolower((unsigned char)host[i]);
	to[len] = '\0';
	return len;
}

/* ===== Indexes ===== */

static size_t table_size(size_t n)
{
	size_t cap = 8;

	while (cap < 2 * n + 1)
		cap *= 2;
	return cap;
}

static void insert_slot(uint32_t *slots, size_t cap, uint64_t hash,
			size_t index)
{
	size_t i = hash & (cap - 1);

	while (slots[i])
		i = (i + 1) & (cap - 1);
	slots[i] = (uint32_t)index + 1;
}

static void find_sharded(const struct ws_ed_conf *c, struct ws_ed_route *r)
{
	const struct ws_ed_service *s;
	size_t i;

	for (i = 0; i < r->n_destinations; i++) {
		s = ws_ed_conf_service(c, r->destinations[i].service);
		r->destinations[i].sharded = s && s->sharded;
	}
}

void ws_ed_conf_index(struct ws_ed_conf *c)
{
	size_t i;

	c->n_route_slots = table_size(c->n_routes);
	c->route_slots = ws_alloc(c->n_route_slots, sizeof(*c->route_slots));
	for (i = 0; i < c->n_routes; i++) {
		struct ws_ed_route *r = &c->routes[i];

		normalize_host(r->host, r->host, strlen(r->host) + 1);
		find_sharded(c, r);
		insert_slot(c->route_slots, c->n_route_slots,
			    route_hash(r->host, strlen(r->host), r->prefix,
				       strlen(r->prefix)),
			    i);
	}
	c->n_key_slots = table_size(c->n_keys);
	c->key_slots = ws_alloc(c->n_key_slots, sizeof(*c->key_slots));
	for (i = 0; i < c->n_keys; i++)
		insert_slot(c->key_slots, c->n_key_slots,
			    ws_ed_id(c->keys[i].text), i);
}

void ws_ed_conf_free(struct ws_ed_conf *c)
{
	size_t i;

	if (!c)
		return;
	for (i = 0; i < c->n_services; i++) {
		free(c->services[i].name);
		free(c->services[i].health_path);
	}
	for (i = 0; i < c->n_routes; i++) {
		free(c->routes[i].name);
		free(c->routes[i].host);
		free(c->routes[i].prefix);
	}
	for (i = 0; i < c->n_customers; i++)
		free(c->customers[i].name);
	for (i = 0; i < c->n_keys; i++)
		free(c->keys[i].text);
	free(c->services);
	free(c->routes);
	free(c->customers);
	free(c->keys);
	free(c->route_slots);
	free(c->key_slots);
	free(c);
}

/* ===== Look-ups ===== */

static struct ws_ed_route *find_route(const struct ws_ed_conf *c,
				      const char *host, size_t host_len,
				      const char *path, size_t len)
{
	size_t mask = c->n_route_slots - 1;
	size_t i = route_hash(host, host_len, path, len) & mask;

	for (; c->route_slots[i]; i = (i + 1) & mask) {
		struct ws_ed_route *r = &c->routes[c->route_slots[i] - 1];

		if (strlen(r->prefix) == len && !memcmp(r->prefix, path, len) &&
		    strlen(r->host) == host_len &&
		    !memcmp(r->host, host, host_len))
			return r;
	}
	return NULL;
}

struct ws_ed_route *ws_ed_conf_route(const struct ws_ed_conf *c,
				     const char *host, const char *path)
{
	char name[HOST_SIZE];
	size_t host_len = normalize_host(host, name, sizeof(name));
	size_t len = strcspn(path, "?#");
	struct ws_ed_route *r;

	while (host_len && len) {
		if (path[len - 1] == '/') {
			r = find_route(c, name, host_len, path, len);
			if (r)
				return r;
		}
		len--;
	}
	return NULL;
}

const struct ws_ed_customer *ws_ed_conf_customer(const struct ws_ed_conf *c,
						 const char *key)
{
	size_t mask = c->n_key_slots - 1;
	size_t i = ws_ed_id(key) & mask;

	for (; c->key_slots[i]; i = (i + 1) & mask) {
		const struct ws_ed_caller_key *k =
			&c->keys[c->key_slots[i] - 1];

		if (!strcmp(k->text, key))
			return &c->customers[k->customer];
	}
	return NULL;
}

const struct ws_ed_service *ws_ed_conf_service(const struct ws_ed_conf *c,
					       ws_id id)
{
	size_t i;

	for (i = 0; c && i < c->n_services; i++)
		if (c->services[i].id == id)
			return &c->services[i];
	return NULL;
}

ws_id ws_ed_route_next_service(struct ws_ed_route *r, bool has_key)
{
	struct ws_ed_destination *best = NULL;
	int64_t total = 0;
	size_t i;

	for (i = 0; i < r->n_destinations; i++) {
		struct ws_ed_destination *d = &r->destinations[i];

		if (d->sharded && !has_key)
			continue;
		d->credit += d->weight;
		total += d->weight;
		if (!best || d->credit > best->credit)
			best = d;
	}
	if (!best)
		return 0;
	best->credit -= total;
	return best->service;
}

bool ws_ed_route_needs_key(const struct ws_ed_route *r)
{
	size_t i;

	for (i = 0; i < r->n_destinations; i++)
		if (!r->destinations[i].sharded)
			return false;
	return r->n_destinations > 0;
}
