#include "adm_sim.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_TIME (300 * WS_MS)

static bool is_silent(const struct adm_sim *s, const struct adm_sim_node *n)
{
	return s->now < n->paused_until || s->now < n->cut_until;
}

static ws_us local_time(const struct adm_sim *s, const struct adm_sim_node *n)
{
	return s->now + n->skew;
}

/* ===== Network ===== */

static void send_packet(struct adm_sim *s, ws_id from, ws_id to,
			const struct ws_msg *msg)
{
	ws_us delay = 300 + (ws_us)ws_rand_below(&s->r, 1500);

	if (rand_percent(&s->r, s->faults / 2)) {
		delay += (ws_us)ws_rand_below(&s->r, 400 * WS_MS);
		s->stats->late++;
	}
	ck_assert(s->n_packets < ADM_SIM_MAX_MSGS);
	s->packet[s->n_packets++] =
		(struct adm_sim_packet){ s->now + delay, from, to, *msg };
}

static void send_with_faults(struct adm_sim *s, struct adm_sim_node *n,
			     const struct ws_effect *e)
{
	if (s->now < n->cut_until || rand_percent(&s->r, s->faults / 2)) {
		s->stats->lost++;
		return;
	}
	send_packet(s, n->id, e->u.send.to, &e->u.send.msg);
	if (rand_percent(&s->r, s->faults / 2)) {
		s->stats->duplicated++;
		send_packet(s, n->id, e->u.send.to, &e->u.send.msg);
	}
}

/* ===== Effects ===== */

static bool global_admits(struct adm_sim *s, size_t c)
{
	const struct ws_customer *k =
		&s->version[s->n_versions - 1].customers[c];
	struct adm_sim_global *g = &s->global[c];

	g->level += (s->now - g->at) * k->rate;
	g->at = s->now;
	if (g->level > (int64_t)k->burst * 1000000)
		g->level = (int64_t)k->burst * 1000000;
	return g->level >= 1000000;
}

static void process_effects(struct adm_sim *s, struct adm_sim_node *n,
			    struct ws_fx *fx)
{
	size_t c;
	size_t i;

	for (i = 0; i < fx->n; i++) {
		const struct ws_effect *e = &fx->items[i];

		if (e->kind == WS_FX_SEND) {
			send_with_faults(s, n, e);
		} else if (e->kind == WS_FX_ADMITTED) {
			c = (size_t)e->u.call.call.customer - 1;
			ck_assert(s->n_spent[c] < ADM_SIM_MAX_SPENT);
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

static void update_node(struct adm_sim *s, struct adm_sim_node *n)
{
	uint32_t index[ADM_SIM_PARTITIONS];
	ws_offset fence[ADM_SIM_PARTITIONS];
	ws_id holder[ADM_SIM_PARTITIONS];
	size_t count = 0;
	uint32_t p;

	for (p = 0; p < ADM_SIM_PARTITIONS; p++) {
		holder[p] = s->part[p].holder < 0 ?
				    0 :
				    s->node[s->part[p].holder].id;
		if (holder[p] != n->id)
			continue;
		index[count] = p;
		fence[count++] = s->part[p].fence;
	}
	ws_adm_set_partitions(n->adm, local_time(s, n), index, fence, count,
			      n->fresh_until + n->skew);
	if (s->tell_holders)
		ws_adm_set_holders(n->adm, holder, ADM_SIM_PARTITIONS);
}

static void start_node(struct adm_sim *s, size_t i)
{
	struct adm_sim_node *n = &s->node[i];

	memset(n, 0, sizeof(*n));
	n->id = (ws_id)(i + 1) | ws_rand_next(&s->r) << 8;
	n->adm = ws_adm_new(n->id, s->seed);
	n->skew = (ws_us)ws_rand_below(&s->r, 1000 * WS_SECOND);
	n->view.bundle = &s->version[s->n_versions - 1].bundle;
	n->view.instances = s->inst;
	n->next_tick = s->now + (ws_us)ws_rand_below(&s->r, 10 * WS_MS);
}

static int compare_id(const void *a, const void *b)
{
	ws_id x = ((const struct ws_instance *)a)->id;
	ws_id y = ((const struct ws_instance *)b)->id;

	return (x > y) - (x < y);
}

static void build_view(struct adm_sim *s)
{
	size_t i;

	for (i = 0; i < s->n_nodes; i++)
		s->inst[i] = (struct ws_instance){ .id = s->node[i].id,
						   .alive = true };
	qsort(s->inst, s->n_nodes, sizeof(s->inst[0]), compare_id);
	for (i = 0; i < s->n_nodes; i++)
		s->node[i].view.n_instances = s->n_nodes;
}

static void renew(struct adm_sim *s, struct adm_sim_node *n)
{
	if (s->now < n->next_renewal || is_silent(s, n))
		return;
	n->next_renewal = s->now + 50 * WS_MS;
	n->fresh_until = s->now + LEASE_TIME;
	update_node(s, n);
}

static void tick(struct adm_sim *s, struct adm_sim_node *n)
{
	struct ws_fx fx = { 0 };

	if (s->now < n->next_tick || s->now < n->paused_until)
		return;
	n->next_tick = s->now + 10 * WS_MS;
	ws_adm_tick(n->adm, &fx, local_time(s, n), &n->view);
	process_effects(s, n, &fx);
}

static void deliver(struct adm_sim *s)
{
	struct adm_sim_packet p;
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
		ws_adm_msg(s->node[k].adm, &fx, local_time(s, &s->node[k]),
			   p.from, &p.msg, &s->node[k].view);
		process_effects(s, &s->node[k], &fx);
	}
}

/* ===== Partitions ===== */

static void assign_free_partitions(struct adm_sim *s)
{
	struct adm_sim_node *n;
	size_t i;
	uint32_t p;

	for (p = 0; p < ADM_SIM_PARTITIONS; p++) {
		struct adm_sim_part *q = &s->part[p];

		if (q->holder >= 0) {
			n = &s->node[q->holder];
			if (!is_silent(s, n) || s->now < n->fresh_until)
				continue;
		} else if (s->now < q->free_at) {
			continue;
		}
		i = (p + ws_rand_below(&s->r, 2)) % s->n_nodes;
		if (is_silent(s, &s->node[i]) || (int)i == q->holder)
			continue;
		q->holder = (int)i;
		q->fence++;
		s->stats->moves++;
		s->node[i].fresh_until = s->now + LEASE_TIME;
		update_node(s, &s->node[i]);
	}
}

static void release_random_partition(struct adm_sim *s)
{
	struct adm_sim_part *q =
		&s->part[ws_rand_below(&s->r, ADM_SIM_PARTITIONS)];
	struct adm_sim_node *n;

	if (q->holder < 0 || is_silent(s, &s->node[q->holder]))
		return;
	n = &s->node[q->holder];
	q->holder = -1;
	q->free_at = s->now + 1 + (ws_us)ws_rand_below(&s->r, 20 * WS_MS);
	update_node(s, n);
}

/* ===== Faults ===== */

static void kill_node(struct adm_sim *s, size_t i)
{
	uint32_t p;

	for (p = 0; p < ADM_SIM_PARTITIONS; p++)
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

static void new_version(struct adm_sim *s, uint32_t rate, uint32_t burst)
{
	struct adm_sim_version *v = &s->version[s->n_versions];
	size_t c;
	size_t i;

	for (i = 0; i < s->n_nodes; i++)
		if (s->n_versions && s->node[i].adopts_at)
			return;
	if (s->n_versions == ADM_SIM_MAX_VERSIONS)
		return;
	s->n_versions++;
	v->bundle.version = s->n_versions;
	v->bundle.partitions = ADM_SIM_PARTITIONS;
	v->bundle.n_customers = ADM_SIM_CUSTOMERS;
	v->bundle.customers = v->customers;
	v->first = s->now;
	v->last = INT64_MAX;
	for (c = 0; c < ADM_SIM_CUSTOMERS; c++)
		v->customers[c] = (struct ws_customer){ .id = c + 1,
							.rate = rate,
							.burst = burst };
	for (i = 0; i < s->n_nodes; i++)
		s->node[i].adopts_at =
			s->now + 1 + (ws_us)ws_rand_below(&s->r, 300 * WS_MS);
}

static void adopt(struct adm_sim *s)
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

void adm_sim_fault(struct adm_sim *s)
{
	size_t i = ws_rand_below(&s->r, s->n_nodes);
	ws_us time = (ws_us)ws_rand_below(&s->r, 1500 * WS_MS);

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
		release_random_partition(s);
	}
}

/* ===== Running ===== */

static void arrive(struct adm_sim *s, size_t node, size_t c)
{
	struct adm_sim_node *n = &s->node[node];
	struct ws_call call = { .customer = c + 1 };
	struct ws_fx fx = { 0 };

	if (s->now < n->paused_until)
		return;
	s->open++;
	s->next_id += 2;
	ws_adm_request(n->adm, &fx, local_time(s, n), s->next_id | c, &call,
		       &n->view);
	process_effects(s, n, &fx);
}

void adm_sim_step(struct adm_sim *s, unsigned load, unsigned hot)
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
	assign_free_partitions(s);
	adopt(s);
	deliver(s);
	for (c = 0; c < ADM_SIM_CUSTOMERS; c++) {
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

struct adm_sim *adm_sim_new(uint64_t seed, struct adm_sim_stats *stats,
			    size_t nodes, uint32_t rate, uint32_t burst)
{
	struct adm_sim *s = ws_alloc(1, sizeof(*s));
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
	for (i = 0; i < ADM_SIM_PARTITIONS; i++)
		s->part[i].holder = -1;
	return s;
}

void adm_sim_free(struct adm_sim *s)
{
	size_t i;

	s->stats->spent += s->n_spent[0] + s->n_spent[1];
	for (i = 0; i < s->n_nodes; i++)
		ws_adm_free(s->node[i].adm);
	free(s);
}
