#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* Checks the guarantees by what callers and servers observe. */

/* Time limits of the platform, and a margin for a slow test machine. */
#define DRAIN_MAX (2 * WS_SECOND)
#define EVACUATE_MAX (5 * WS_SECOND)
#define REVOKE_MAX (5 * WS_SECOND)
#define SCHEDULING_MARGIN (500 * WS_MS)
/* Time for which two servers may hold the same key. */
#define OVERLAP_MAX (500 * WS_MS)

struct request {
	char id[40];
	char customer[16];
	int instance;
	ws_us sent; /* 0: not by a caller */
	int runs;
	int not_run_status; /* of the answer that it did not run; 0: none */
};

struct leaving {
	char name[32];
	ws_us since; /* 0: the server is in service */
};

static GHashTable *requests; /* id -> struct request */
static GHashTable *revoked; /* customer -> time, as a pointer to ws_us */
static struct leaving leaving[SOAK_SERVERS_MAX];
static char zone_out[8];
static ws_us zone_out_since;
static bool held_keys[SOAK_SERVERS_MAX][SOAK_WATCHED_KEYS];
static ws_us overlap_since[SOAK_WATCHED_KEYS]; /* 0: one owner at most */
static uint64_t runs;
static uint64_t not_run_answers;
static uint64_t at_most_once_runs;

static struct request *find_request(const char *id)
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

void soak_check_sent(const char *id, const char *customer, int instance)
{
	struct request *r = find_request(id);

	g_strlcpy(r->customer, customer, sizeof(r->customer));
	r->instance = instance;
	r->sent = soak_now();
}

bool soak_check_find_sent(const char *id, int *instance, ws_us *sent)
{
	const struct request *r = find_request(id);

	*instance = r->instance;
	*sent = r->sent;
	return r->sent != 0;
}

static void check_key(const struct request *r, const char *server)
{
	const ws_us *since =
		revoked ? g_hash_table_lookup(revoked, r->customer) : NULL;

	if (since && soak_now() - *since > REVOKE_MAX + SCHEDULING_MARGIN)
		soak_violation("CONFIG",
			       "%s runs %s for %s, whose key was revoked "
			       "%.1f s ago",
			       server, r->id, r->customer,
			       (double)(soak_now() - *since) / 1e6);
}

void soak_check_run(const char *id, const char *server, bool at_most_once,
		    const char *customer, const char *path)
{
	struct request *r = find_request(id);

	(void)path;
	runs++;
	at_most_once_runs += at_most_once;
	if (!r->customer[0] || strcmp(r->customer, customer) != 0)
		soak_violation("UNASKED", "%s runs %s for \"%s\", not \"%s\"",
			       server, id, customer, r->customer);
	if (r->runs++ && at_most_once)
		soak_violation("TWICE", "%s runs %s again", server, id);
	if (r->not_run_status)
		soak_violation("REFUSED", "%s runs %s after it was answered %d",
			       server, id, r->not_run_status);
	check_key(r, server);
}

void soak_check_not_run(const char *id, int status)
{
	struct request *r = find_request(id);

	not_run_answers++;
	r->not_run_status = status;
	/* Repeatable requests may run before or after such an answer. */
	if (r->runs && id[0] == 'o')
		soak_violation("REFUSED", "%s was answered %d but has run", id,
			       status);
	if (id[0] != 'o')
		r->not_run_status = 0;
}

bool soak_check_has_run(const char *id)
{
	return find_request(id)->runs > 0;
}

/* ===== Servers ===== */

static struct leaving *find_leaving(const char *name)
{
	int i = atoi(name + 1);

	g_strlcpy(leaving[i].name, name, sizeof(leaving[i].name));
	return &leaving[i];
}

void soak_check_server_leaving(const char *server)
{
	struct leaving *l = find_leaving(server);

	if (!l->since)
		l->since = soak_now();
}

void soak_check_server_up(const char *server)
{
	find_leaving(server)->since = 0;
}

void soak_check_zone_out(const char *zone)
{
	g_strlcpy(zone_out, zone, sizeof(zone_out));
	zone_out_since = soak_now();
}

/*
 * The time limits hold for instances that are connected to the platform, so
 * they are checked only if no fault was active.
 */
void soak_check_request_arrived(const char *server, const char *zone)
{
	const struct leaving *l = find_leaving(server);
	ws_us now = soak_now();

	if (l->since && now - l->since > DRAIN_MAX + SCHEDULING_MARGIN &&
	    soak_is_quiet(now - l->since))
		soak_violation("DRAIN", "%s got a request %.1f s after it left",
			       server, (double)(now - l->since) / 1e6);
	if (!strcmp(zone, zone_out) &&
	    now - zone_out_since > EVACUATE_MAX + SCHEDULING_MARGIN &&
	    soak_is_quiet(now - zone_out_since))
		soak_violation("EVAC",
			       "%s of %s got a request %.1f s after its zone "
			       "was taken out of service",
			       server, zone,
			       (double)(now - zone_out_since) / 1e6);
}

/* ===== Limits ===== */

#define LIMIT_WINDOW (4 * WS_SECOND)
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5.0
/* From the first statement on until it binds, and a margin. */
#define LIMIT_BINDS_AFTER (3 * WS_SECOND + SCHEDULING_MARGIN)
#define LIMITED_MAX 1024

struct limited {
	double per_s; /* < 0: none */
	ws_us since;
	ws_us arrivals[LIMITED_MAX]; /* ring buffer */
	unsigned n;
};

static struct limited limited[SOAK_SERVERS_MAX];

void soak_check_limit(int server, double per_s)
{
	limited[server].per_s = per_s;
	limited[server].since = soak_now();
	limited[server].n = 0;
}

/* A disturbed instance is excused, so the limit is checked in quiet times. */
void soak_check_limited_request(int server)
{
	struct limited *l = &limited[server];
	ws_us now = soak_now();
	unsigned in_window = 1;
	unsigned i;

	if (now - l->since < LIMIT_BINDS_AFTER)
		return;
	l->arrivals[l->n++ % LIMITED_MAX] = now;
	for (i = 1; i < l->n && i < LIMITED_MAX; i++, in_window++)
		if (l->arrivals[(l->n - 1 - i) % LIMITED_MAX] <=
		    now - LIMIT_WINDOW)
			break;
	if ((double)in_window >
		    LIMIT_FACTOR * l->per_s * (double)LIMIT_WINDOW / 1e6 +
			    LIMIT_SLACK &&
	    soak_is_quiet(LIMIT_WINDOW))
		soak_violation("LIMIT",
			       "s%d got %u requests in 4 s with a limit of "
			       "%.1f/s",
			       server, in_window, l->per_s);
}

/* ===== Keys ===== */

void soak_check_key_revoked(const char *customer, bool is_revoked)
{
	ws_us *since;

	if (!revoked)
		revoked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
	if (!is_revoked) {
		g_hash_table_remove(revoked, customer);
		return;
	}
	since = g_new(ws_us, 1);
	*since = soak_now();
	g_hash_table_insert(revoked, g_strdup(customer), since);
}

void soak_check_held_keys(int server, const bool *keys)
{
	ws_us now = soak_now();
	int p;
	int s;

	memcpy(held_keys[server], keys, sizeof(held_keys[server]));
	for (p = 0; p < SOAK_WATCHED_KEYS; p++) {
		int owners = 0;

		for (s = 0; s < soak.opt.servers; s++)
			owners += held_keys[s][p];
		if (owners < 2)
			overlap_since[p] = 0;
		else if (!overlap_since[p])
			overlap_since[p] = now;
		else if (now - overlap_since[p] > OVERLAP_MAX) {
			soak_violation(
				"OWNER", "%d servers hold key %d", owners,
				p * (SOAK_KEY_SPACE / SOAK_WATCHED_KEYS));
			overlap_since[p] = now + 3600 * WS_SECOND;
		}
	}
}

void soak_check_print(void)
{
	printf("%" G_GUINT64_FORMAT " runs (%" G_GUINT64_FORMAT
	       " at most once), %" G_GUINT64_FORMAT
	       " answers that mean not run\n",
	       runs, at_most_once_runs, not_run_answers);
}
