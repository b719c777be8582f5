#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* What was promised, and what callers and servers have seen. */

/* The platform's bounds, and what this machine's own pace may add. */
#define DRAIN_MAX (2 * WS_SECOND)
#define EVACUATE_MAX (5 * WS_SECOND)
#define REVOKE_MAX (5 * WS_SECOND)
#define PACE_MARGIN (500 * WS_MS)
/* Two servers may hold a key for this long. */
#define OVERLAP_MAX (500 * WS_MS)

struct request {
	char id[40];
	char customer[16];
	int runs;
	int promised; /* status; 0: none */
};

struct leaving {
	char name[32];
	ws_us since; /* 0: it is not */
};

static GHashTable *requests; /* id -> struct request */
static GHashTable *withdrawn; /* customer -> time, as a pointer to ws_us */
static struct leaving leaving[SOAK_SERVERS_MAX];
static char zone_out[8];
static ws_us zone_since;
static bool held[SOAK_SERVERS_MAX][SOAK_WATCHED_KEYS];
static ws_us overlap[SOAK_WATCHED_KEYS]; /* since when; 0: there is none */
static uint64_t runs;
static uint64_t promises;
static uint64_t once_runs;

static struct request *find(const char *id)
{
	struct request *r;

	if (!requests)
		requests = g_hash_table_new(g_str_hash, g_str_equal);
	r = g_hash_table_lookup(requests, id);
	if (r)
		return r;
	r = calloc(1, sizeof(*r));
	g_strlcpy(r->id, id, sizeof(r->id));
	g_hash_table_insert(requests, r->id, r);
	return r;
}

void soak_check_sent(const char *id, const char *customer, const char *path)
{
	(void)path;
	g_strlcpy(find(id)->customer, customer, sizeof(find(id)->customer));
}

static void check_key(const struct request *r, const char *server)
{
	const ws_us *since =
		withdrawn ? g_hash_table_lookup(withdrawn, r->customer) : NULL;

	if (since && soak_now() - *since > REVOKE_MAX + PACE_MARGIN)
		soak_violation("CONFIG",
			       "%s runs %s for %s, whose key was withdrawn "
			       "%.1f s ago",
			       server, r->id, r->customer,
			       (double)(soak_now() - *since) / 1e6);
}

void soak_check_run(const char *id, const char *server, bool once,
		    const char *customer, const char *path)
{
	struct request *r = find(id);

	(void)path;
	runs++;
	once_runs += once;
	if (!r->customer[0] || strcmp(r->customer, customer) != 0)
		soak_violation("UNASKED", "%s runs %s for \"%s\", not \"%s\"",
			       server, id, customer, r->customer);
	if (r->runs++ && once)
		soak_violation("TWICE", "%s runs %s once more", server, id);
	if (r->promised)
		soak_violation("REFUSED", "%s runs %s after it was answered %d",
			       server, id, r->promised);
	check_key(r, server);
}

void soak_check_not_run(const char *id, int status)
{
	struct request *r = find(id);

	promises++;
	r->promised = status;
	/* Reads may run more than once; for orders the promise is strict. */
	if (r->runs && id[0] == 'o')
		soak_violation("REFUSED", "%s was answered %d and has run", id,
			       status);
	if (id[0] != 'o')
		r->promised = 0;
}

bool soak_check_has_run(const char *id)
{
	return find(id)->runs > 0;
}

/* ===== Servers ===== */

static struct leaving *find_server(const char *name)
{
	int i = atoi(name + 1);

	g_strlcpy(leaving[i].name, name, sizeof(leaving[i].name));
	return &leaving[i];
}

void soak_check_server_leaving(const char *server)
{
	struct leaving *l = find_server(server);

	if (!l->since)
		l->since = soak_now();
}

void soak_check_server_up(const char *server)
{
	find_server(server)->since = 0;
}

void soak_check_zone_out(const char *zone)
{
	g_strlcpy(zone_out, zone, sizeof(zone_out));
	zone_since = soak_now();
}

/* Bounds in time hold for instances in touch, so only in calm times here. */
void soak_check_request_arrived(const char *server, const char *zone)
{
	const struct leaving *l = find_server(server);
	ws_us now = soak_now();

	if (l->since && now - l->since > DRAIN_MAX + PACE_MARGIN &&
	    soak_is_quiet(now - l->since))
		soak_violation("DRAIN", "%s got a request %.1f s after it left",
			       server, (double)(now - l->since) / 1e6);
	if (!strcmp(zone, zone_out) &&
	    now - zone_since > EVACUATE_MAX + PACE_MARGIN &&
	    soak_is_quiet(now - zone_since))
		soak_violation("EVAC",
			       "%s of %s got a request %.1f s after its zone "
			       "was emptied",
			       server, zone, (double)(now - zone_since) / 1e6);
}

/* ===== Keys ===== */

void soak_check_key_revoked(const char *customer, bool gone)
{
	ws_us *since;

	if (!withdrawn)
		withdrawn = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free);
	if (!gone) {
		g_hash_table_remove(withdrawn, customer);
		return;
	}
	since = g_new(ws_us, 1);
	*since = soak_now();
	g_hash_table_insert(withdrawn, g_strdup(customer), since);
}

void soak_check_held_keys(int server, const bool *points)
{
	ws_us now = soak_now();
	int p;
	int s;

	memcpy(held[server], points, sizeof(held[server]));
	for (p = 0; p < SOAK_WATCHED_KEYS; p++) {
		int owners = 0;

		for (s = 0; s < soak.opt.servers; s++)
			owners += held[s][p];
		if (owners < 2)
			overlap[p] = 0;
		else if (!overlap[p])
			overlap[p] = now;
		else if (now - overlap[p] > OVERLAP_MAX) {
			soak_violation(
				"OWNER", "%d servers hold key %d", owners,
				p * (SOAK_KEY_SPACE / SOAK_WATCHED_KEYS));
			overlap[p] = now + 3600 * WS_SECOND;
		}
	}
}

void soak_check_print(void)
{
	printf("%" G_GUINT64_FORMAT " runs (%" G_GUINT64_FORMAT
	       " once only), %" G_GUINT64_FORMAT " promises of not run\n",
	       runs, once_runs, promises);
}
