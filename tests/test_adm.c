#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_adm.h"
#include "seed_range.h"

/*
 * Several instances over a fake network that loses, delays and duplicates,
 * with joins, kills, pauses, cuts and partitions that change holder. Every
 * spent token is recorded with the true time.
 */

#define NODES 10
#define PARTITIONS 24
#define CUSTOMERS 2
#define LEASE (300 * WS_MS)
#define MAX_SPENT 40000
#define MAX_MSGS 4096
#define MAX_VERSIONS 32

struct node {
	struct ws_adm *adm;
	ws_id id;
	ws_us skew; /* its clock minus the true time */
	ws_us paused_until;
	ws_us cut_until;
	ws_us fresh_until;
	ws_us next_tick;
	ws_us next_renewal;
	ws_us adopts_at;
	struct ws_view view;
};

struct part {
	int holder; /* -1: nobody */
	ws_offset fence;
	ws_us free_at; /* a new holder may be named */
};

struct packet {
	ws_us at;
	ws_id from;
	ws_id to;
	struct ws_msg msg;
};

/* A bundle, and the time in which any instance used it. */
struct version {
	struct ws_bundle bundle;
	struct ws_customer customers[CUSTOMERS];
	ws_us first;
	ws_us last;
};

/* One bucket for all, as the customer would expect it. */
struct global {
	int64_t level; /* 1/1,000,000 tokens */
	ws_us at;
};

struct stats {
	uint64_t events, spent, lost, duplicated, late, pauses, cuts, kills;
	uint64_t moves, versions, refused, wrongful;
};

struct sim {
	uint64_t seed;
	struct ws_rand r;
	ws_us now;
	size_t n_nodes;
	struct node node[NODES];
	struct ws_instance inst[NODES];
	struct part part[PARTITIONS];
	struct version version[MAX_VERSIONS];
	size_t n_versions;
	struct packet packet[MAX_MSGS];
	size_t n_packets;
	ws_us spent[CUSTOMERS][MAX_SPENT];
	size_t n_spent[CUSTOMERS];
	struct global global[CUSTOMERS];
	bool tell_holders;
	unsigned faults; /* percent */
	uint64_t next_id;
	uint64_t open; /* requests without a result */
	struct stats *stats;
};

static bool silent(const struct sim *s, const struct node *n)
{
	return s->now < n->paused_until || s->now < n->cut_until;
}

static ws_us local(const struct sim *s, const struct node *n)
{
	return s->now + n->skew;
}

/* ===== Network ===== */

static void post(struct sim *s, ws_id from, ws_id to, const struct ws_msg *msg)
{
	ws_us delay = 300 + (ws_us)ws_rand_below(&s->r, 1500);

	if (rand_percent(&s->r, s->faults / 2)) {
		delay += (ws_us)ws_rand_below(&s->r, 400 * WS_MS);
		s->stats->late++;
	}
	ck_assert(s->n_packets < MAX_MSGS);
	s->packet[s->n_packets++] =
		(struct packet){ s->now + delay, from, to, *msg };
}

static void post_unreliably(struct sim *s, struct node *n,
			    const struct ws_effect *e)
{
	if (s->now < n->cut_until || rand_percent(&s->r, s->faults / 2)) {
		s->stats->lost++;
		return;
	}
	post(s, n->id, e->u.send.to, &e->u.send.msg);
	if (rand_percent(&s->r, s->faults / 2)) {
		s->stats->duplicated++;
		post(s, n->id, e->u.send.to, &e->u.send.msg);
	}
}

/* ===== Effects ===== */

static bool global_admits(struct sim *s, size_t c)
{
	const struct ws_customer *k =
		&s->version[s->n_versions - 1].customers[c];
	struct global *g = &s->global[c];

	g->level += (s->now - g->at) * k->rate;
	g->at = s->now;
	if (g->level > (int64_t)k->burst * 1000000)
		g->level = (int64_t)k->burst * 1000000;
	return g->level >= 1000000;
}

static void take_effects(struct sim *s, struct node *n, struct ws_fx *fx)
{
	size_t c;
	size_t i;

	for (i = 0; i < fx->n; i++) {
		const struct ws_effect *e = &fx->items[i];

		if (e->kind == WS_FX_SEND) {
			post_unreliably(s, n, e);
		} else if (e->kind == WS_FX_ADMITTED) {
			c = (size_t)e->u.call.call.customer - 1;
			ck_assert(s->n_spent[c] < MAX_SPENT);
			s->spent[c][s->n_spent[c]++] = s->now;
			global_admits(s, c);
			s->global[c].level -= 1000000;
			s->open--;
		} else if (e->kind == WS_FX_ADMIT_REFUSED) {
			c = e->u.reply.id & 1;
			s->stats->refused++;
			s->stats->wrongful += global_admits(s, c);
			s->open--;
		}
	}
	ws_fx_free(fx);
}

/* ===== Instances ===== */

static void tell_node(struct sim *s, struct node *n)
{
	uint32_t index[PARTITIONS];
	ws_offset fence[PARTITIONS];
	ws_id holder[PARTITIONS];
	size_t count = 0;
	uint32_t p;

	for (p = 0; p < PARTITIONS; p++) {
		holder[p] = s->part[p].holder < 0 ?
				    0 :
				    s->node[s->part[p].holder].id;
		if (holder[p] != n->id)
			continue;
		index[count] = p;
		fence[count++] = s->part[p].fence;
	}
	ws_adm_set_partitions(n->adm, local(s, n), index, fence, count,
			      n->fresh_until + n->skew);
	if (s->tell_holders)
		ws_adm_set_holders(n->adm, holder, PARTITIONS);
}

static void start_node(struct sim *s, size_t i)
{
	struct node *n = &s->node[i];

	memset(n, 0, sizeof(*n));
	n->id = (ws_id)(i + 1) | ws_rand_next(&s->r) << 8;
	n->adm = ws_adm_new(n->id, s->seed);
	n->skew = (ws_us)ws_rand_below(&s->r, 1000 * WS_SECOND);
	n->view.bundle = &s->version[s->n_versions - 1].bundle;
	n->view.instances = s->inst;
	n->next_tick = s->now + (ws_us)ws_rand_below(&s->r, 10 * WS_MS);
}

static int by_id(const void *a, const void *b)
{
	ws_id x = ((const struct ws_instance *)a)->id;
	ws_id y = ((const struct ws_instance *)b)->id;

	return (x > y) - (x < y);
}

static void build_view(struct sim *s)
{
	size_t i;

	for (i = 0; i < s->n_nodes; i++)
		s->inst[i] = (struct ws_instance){ .id = s->node[i].id,
						   .alive = true };
	qsort(s->inst, s->n_nodes, sizeof(s->inst[0]), by_id);
	for (i = 0; i < s->n_nodes; i++)
		s->node[i].view.n_instances = s->n_nodes;
}

static void renew(struct sim *s, struct node *n)
{
	if (s->now < n->next_renewal || silent(s, n))
		return;
	n->next_renewal = s->now + 50 * WS_MS;
	n->fresh_until = s->now + LEASE;
	tell_node(s, n);
}

static void tick(struct sim *s, struct node *n)
{
	struct ws_fx fx = { 0 };

	if (s->now < n->next_tick || s->now < n->paused_until)
		return;
	n->next_tick = s->now + 10 * WS_MS;
	ws_adm_tick(n->adm, &fx, local(s, n), &n->view);
	take_effects(s, n, &fx);
}

static void deliver(struct sim *s)
{
	struct packet p;
	struct ws_fx fx = { 0 };
	size_t i = 0;
	size_t k;

	while (i < s->n_packets) {
		p = s->packet[i];
		for (k = 0; k < s->n_nodes && s->node[k].id != p.to;)
			k++;
		if (p.at > s->now ||
		    (k < s->n_nodes && s->now < s->node[k].paused_until)) {
			i++;
			continue;
		}
		s->packet[i] = s->packet[--s->n_packets];
		if (k == s->n_nodes || s->now < s->node[k].cut_until)
			continue;
		ws_adm_msg(s->node[k].adm, &fx, local(s, &s->node[k]), p.from,
			   &p.msg, &s->node[k].view);
		take_effects(s, &s->node[k], &fx);
	}
}

/* ===== Partitions ===== */

static void assign_free(struct sim *s)
{
	struct node *n;
	size_t i;
	uint32_t p;

	for (p = 0; p < PARTITIONS; p++) {
		struct part *q = &s->part[p];

		if (q->holder >= 0) {
			n = &s->node[q->holder];
			if (!silent(s, n) || s->now < n->fresh_until)
				continue;
		} else if (s->now < q->free_at) {
			continue;
		}
		i = (p + ws_rand_below(&s->r, 2)) % s->n_nodes;
		if (silent(s, &s->node[i]) || (int)i == q->holder)
			continue;
		q->holder = (int)i;
		q->fence++;
		s->stats->moves++;
		s->node[i].fresh_until = s->now + LEASE;
		tell_node(s, &s->node[i]);
	}
}

static void release_one(struct sim *s)
{
	struct part *q = &s->part[ws_rand_below(&s->r, PARTITIONS)];
	struct node *n;

	if (q->holder < 0 || silent(s, &s->node[q->holder]))
		return;
	n = &s->node[q->holder];
	q->holder = -1;
	q->free_at = s->now + 1 + (ws_us)ws_rand_below(&s->r, 20 * WS_MS);
	tell_node(s, n);
}

/* ===== Faults ===== */

static void kill_node(struct sim *s, size_t i)
{
	uint32_t p;

	for (p = 0; p < PARTITIONS; p++)
		if (s->part[p].holder == (int)i) {
			s->part[p].holder = -1;
			s->part[p].free_at = s->node[i].fresh_until;
		}
	s->open -= ws_adm_stats(s->node[i].adm)->requests -
		   ws_adm_stats(s->node[i].adm)->admitted -
		   ws_adm_stats(s->node[i].adm)->refused;
	ws_adm_free(s->node[i].adm);
	start_node(s, i);
	build_view(s);
}

static void new_version(struct sim *s, uint32_t rate, uint32_t burst)
{
	struct version *v = &s->version[s->n_versions];
	size_t c;
	size_t i;

	for (i = 0; i < s->n_nodes; i++)
		if (s->n_versions && s->node[i].adopts_at)
			return;
	if (s->n_versions == MAX_VERSIONS)
		return;
	s->n_versions++;
	v->bundle.version = s->n_versions;
	v->bundle.partitions = PARTITIONS;
	v->bundle.n_customers = CUSTOMERS;
	v->bundle.customers = v->customers;
	v->first = s->now;
	v->last = INT64_MAX;
	for (c = 0; c < CUSTOMERS; c++)
		v->customers[c] = (struct ws_customer){ .id = c + 1,
							.rate = rate,
							.burst = burst };
	for (i = 0; i < s->n_nodes; i++)
		s->node[i].adopts_at =
			s->now + 1 + (ws_us)ws_rand_below(&s->r, 300 * WS_MS);
}

static void adopt(struct sim *s)
{
	bool all = true;
	size_t i;

	for (i = 0; i < s->n_nodes; i++) {
		if (s->node[i].adopts_at > s->now) {
			all = false;
			continue;
		}
		s->node[i].adopts_at = 0;
		s->node[i].view.bundle = &s->version[s->n_versions - 1].bundle;
	}
	for (i = 0; all && i + 1 < s->n_versions; i++)
		if (s->version[i].last == INT64_MAX)
			s->version[i].last = s->now;
}

static void fault(struct sim *s)
{
	size_t i = ws_rand_below(&s->r, s->n_nodes);
	ws_us time = (ws_us)ws_rand_below(&s->r, 600 * WS_MS);

	switch (ws_rand_below(&s->r, 8)) {
	case 0:
		s->stats->kills++;
		kill_node(s, i);
		break;
	case 1:
		s->stats->pauses++;
		s->node[i].paused_until = s->now + time;
		break;
	case 2:
		s->stats->cuts++;
		s->node[i].cut_until = s->now + time;
		break;
	case 3:
		s->stats->versions++;
		new_version(s, 1 + (uint32_t)ws_rand_below(&s->r, 400),
			    (uint32_t)ws_rand_below(&s->r, 100));
		break;
	default:
		release_one(s);
	}
}

/* ===== Running ===== */

static void arrive(struct sim *s, size_t node, size_t c)
{
	struct node *n = &s->node[node];
	struct ws_call call = { .customer = c + 1 };
	struct ws_fx fx = { 0 };

	if (s->now < n->paused_until)
		return;
	s->open++;
	s->next_id += 2;
	ws_adm_request(n->adm, &fx, local(s, n), s->next_id | c, &call,
		       &n->view);
	take_effects(s, n, &fx);
}

/* One step of time with its arrivals; load in percent of the rate. */
static void step(struct sim *s, unsigned load, unsigned hot)
{
	ws_us dt = 1 + (ws_us)ws_rand_below(&s->r, 200);
	uint64_t per_second;
	size_t node;
	size_t i;
	size_t c;

	s->now += dt;
	s->stats->events++;
	for (i = 0; i < s->n_nodes; i++)
		renew(s, &s->node[i]);
	assign_free(s);
	adopt(s);
	deliver(s);
	for (c = 0; c < CUSTOMERS; c++) {
		per_second = s->version[s->n_versions - 1].customers[c].rate;
		per_second = per_second * load / 100;
		if (ws_rand_below(&s->r, 1000000) >= per_second * (uint64_t)dt)
			continue;
		node = rand_percent(&s->r, hot) ?
			       0 :
			       ws_rand_below(&s->r, s->n_nodes);
		arrive(s, node, c);
	}
	for (i = 0; i < s->n_nodes; i++)
		tick(s, &s->node[i]);
}

static struct sim *new_sim(uint64_t seed, struct stats *stats, size_t nodes,
			   uint32_t rate, uint32_t burst)
{
	struct sim *s = ws_alloc(1, sizeof(*s));
	size_t i;

	s->seed = seed;
	s->stats = stats;
	s->n_nodes = nodes;
	s->tell_holders = seed % 3 != 0;
	ws_rand_seed(&s->r, seed);
	new_version(s, rate, burst);
	for (i = 0; i < nodes; i++)
		start_node(s, i);
	build_view(s);
	for (i = 0; i < PARTITIONS; i++)
		s->part[i].holder = -1;
	return s;
}

static void free_sim(struct sim *s)
{
	size_t i;

	s->stats->spent += s->n_spent[0] + s->n_spent[1];
	for (i = 0; i < s->n_nodes; i++)
		ws_adm_free(s->node[i].adm);
	free(s);
}

/* ===== The bound over every window ===== */

/* Largest rate and burst of the versions that can matter to a window. */
static struct ws_customer limits(const struct sim *s, size_t c, ws_us from,
				 ws_us to)
{
	struct ws_customer k = { .rate = 0 };
	size_t i;

	for (i = 0; i < s->n_versions; i++) {
		const struct version *v = &s->version[i];

		if (v->first > to || v->last < from - WS_TOKEN_AGE)
			continue;
		if (v->customers[c].rate > k.rate)
			k.rate = v->customers[c].rate;
		if (v->customers[c].burst > k.burst)
			k.burst = v->customers[c].burst;
	}
	return k;
}

static void check_windows(const struct sim *s, size_t c)
{
	const ws_us *t = s->spent[c];
	struct ws_customer k;
	size_t i;
	size_t j;

	for (i = 0; i < s->n_spent[c]; i++)
		for (j = i; j < s->n_spent[c]; j++) {
			k = limits(s, c, t[i], t[j]);
			ck_assert_msg((int64_t)(j - i + 1) * 1000000 <=
					      (int64_t)k.burst * 1000000 +
						      k.rate * (t[j] - t[i]),
				      "seed %" PRIu64 ": %zu tokens in %" PRId64
				      " us, rate %" PRIu32 ", burst %" PRIu32,
				      s->seed, j - i + 1, t[j] - t[i], k.rate,
				      k.burst);
		}
}

static void run_seed(uint64_t seed, struct stats *stats)
{
	struct sim *s;
	struct ws_rand r;
	unsigned load;
	size_t c;

	ws_rand_seed(&r, seed);
	s = new_sim(seed, stats, 2 + ws_rand_below(&r, 5),
		    10 + (uint32_t)ws_rand_below(&r, 300),
		    (uint32_t)ws_rand_below(&r, 80));
	s->faults = (unsigned)ws_rand_below(&r, 30);
	load = 50 + (unsigned)ws_rand_below(&r, 400);
	while (s->now < 3 * WS_SECOND) {
		if (ws_rand_below(&s->r, 40000) < s->faults)
			fault(s);
		step(s, load, (unsigned)(seed % 5) * 20);
	}
	for (c = 0; c < CUSTOMERS; c++)
		check_windows(s, c);
	s->faults = 0;
	while (s->now < 5 * WS_SECOND)
		step(s, 0, 0);
	ck_assert_msg(!s->open, "seed %" PRIu64 ": %" PRIu64 " unanswered",
		      seed, s->open);
	free_sim(s);
}

/* Guards against tokens made by any loss, delay, duplicate, pause or move. */
START_TEST(rate_and_burst_hold_in_every_window)
{
	struct seed_range range = seed_range_get(60);
	struct stats st = { 0 };
	uint64_t seed;

	for (seed = range.first; seed <= range.last; seed++)
		run_seed(seed, &st);
	printf("admission: seeds %" PRIu64 "..%" PRIu64 ", %" PRIu64
	       " events, %" PRIu64 " tokens, messages lost %" PRIu64
	       " duplicated %" PRIu64 " late %" PRIu64 ", pauses %" PRIu64
	       ", cuts %" PRIu64 ", kills %" PRIu64 ", moves %" PRIu64
	       ", rates %" PRIu64 ", 0 violations\n",
	       range.first, range.last, st.events, st.spent, st.lost,
	       st.duplicated, st.late, st.pauses, st.cuts, st.kills, st.moves,
	       st.versions);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("adm");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, rate_and_burst_hold_in_every_window);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
