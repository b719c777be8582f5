#include "own_sim_internal.h"

#include <stdlib.h>
#include <string.h>

/* ===== Checks from the outside ===== */

struct actor {
	ws_id id;
	uint64_t incarnation;
};

static void claim(struct sim *s, struct actor *a, const char *what,
		  uint64_t item, ws_id id, uint64_t incarnation)
{
	if (a->id && (a->id != id || a->incarnation != incarnation))
		sim_report_violation(s, what, item, id);
	a->id = id;
	a->incarnation = incarnation;
}

static void mark_served(struct sim *s, size_t slot, bool served)
{
	if (served) {
		if (s->now - s->served_at[slot] > s->gap)
			s->gap = s->now - s->served_at[slot];
		s->served_at[slot] = s->now;
	}
	s->served += served;
}

static void check_instances(struct sim *s, uint8_t kind, uint64_t item,
			    size_t slot)
{
	struct ws_res res = { .kind = kind, .item = item };
	struct actor a = { 0 };
	int i;

	for (i = 0; i < s->n_nodes; i++) {
		struct node *n = &s->nodes[i];

		if (sim_node_running(s, n) &&
		    ws_own_holds(n->own, sim_node_clock(s, n), &res))
			claim(s, &a, "two instances hold", item, n->id, 0);
	}
	mark_served(s, slot, a.id);
}

static const struct ws_grant_item *
granted(const struct sim *s, const struct target *t, const struct ws_res *res)
{
	size_t i;

	if (!sim_target_running(s, t) || sim_target_clock(s, t) >= t->not_after)
		return NULL;
	for (i = 0; i < t->n_items; i++)
		if (ws_res_equal(&t->items[i].res, res))
			return &t->items[i];
	return NULL;
}

/* Does a dispatcher send requests for key to the target under the fence? */
bool sim_may_send(struct sim *s, struct node *n, int svc, uint64_t key,
		  const struct target *t, ws_offset fence)
{
	return sim_node_running(s, n) &&
	       ws_own_may_send(n->own, sim_node_clock(s, n),
			       ws_member_view(n->member), t->id, t->incarnation,
			       s->services[svc].id, key, fence);
}

/* Targets that accept requests for a key or a shard. */
static bool check_granted(struct sim *s, uint64_t key, struct ws_res *res,
			  struct actor *a)
{
	bool served = false;
	int i;
	int k;

	for (i = 0; i < s->n_targets; i++) {
		struct target *t = &s->targets[i];
		const struct ws_grant_item *it = granted(s, t, res);

		if (!it)
			continue;
		claim(s, a, "two targets accept", key, t->id, t->incarnation);
		for (k = 0; k < s->n_nodes && !served; k++)
			served = sim_may_send(s, &s->nodes[k], 0, key, t,
					      it->fence);
	}
	return served;
}

/* Targets that get requests, for services that do not check. */
static bool check_sent(struct sim *s, int svc, uint64_t key, struct actor *a)
{
	int i;

	for (i = 0; i < s->n_nodes; i++) {
		struct node *n = &s->nodes[i];
		const struct ws_assignment *x;
		struct target *t;

		if (!sim_node_running(s, n))
			continue;
		x = ws_own_find_key_owner(n->own, &s->services[svc], key);
		t = x ? sim_find_target(s, x->holder.id) : NULL;
		if (!t || t->incarnation != x->holder.incarnation ||
		    !sim_may_send(s, n, svc, key, t, x->fence))
			continue;
		claim(s, a, "two targets are sent", key, t->id, t->incarnation);
	}
	return a->id && sim_target_running(s, sim_find_target(s, a->id));
}

static void check_shard(struct sim *s, int svc, uint32_t shard, size_t slot)
{
	struct ws_res res = { .kind = WS_RES_SHARD,
			      .scope = s->services[svc].id,
			      .item = shard };
	uint64_t key = s->shard_key[svc][shard];
	struct actor a = { 0 };

	mark_served(s, slot,
		    svc ? check_sent(s, svc, key, &a) :
			  check_granted(s, key, &res, &a));
}

/* An old grant of the shard still admits a key that has left it. */
static void check_hot_key(struct sim *s, const struct sim_hot *hot)
{
	uint64_t key = hot->key;
	struct ws_res res = { .kind = WS_RES_HOT_KEY,
			      .scope = s->services[0].id,
			      .item = key };
	struct ws_res shard = { .kind = WS_RES_SHARD, .scope = res.scope };
	struct actor a = { 0 };
	int i;

	check_granted(s, key, &res, &a);
	shard.item = ws_bundle_shard(&s->services[0], key);
	for (i = 0; a.id && i < s->n_targets; i++) {
		const struct ws_grant_item *it =
			granted(s, &s->targets[i], &shard);

		if (it && it->fence < hot->since && s->targets[i].id != a.id)
			sim_report_violation(s, "shard grant admits a hot key",
					     key, s->targets[i].id);
	}
}

void sim_check_all(struct sim *s)
{
	size_t slot = 0;
	size_t i;

	s->served = 0;
	for (i = 0; i < PARTITIONS; i++)
		check_instances(s, WS_RES_PARTITION, i, slot++);
	for (i = 0; i < (size_t)s->n_targets; i++)
		check_instances(s, WS_RES_DISPATCH, s->targets[i].id, slot++);
	for (i = 0; i < SIM_ALL_SHARDS; i++)
		check_shard(s, i >= SIM_SHARDS, i % SIM_SHARDS, slot++);
	for (i = 0; i < s->n_hot; i++)
		check_hot_key(s, &s->hot[i]);
}
