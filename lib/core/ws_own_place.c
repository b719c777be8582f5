#include "core/ws_own_internal.h"

#include <stdlib.h>

/* Plans: where the resources of a group would best be. */

/* ===== Bins ===== */

static void bins_add(struct own_bins *b, ws_id id, uint64_t incarnation)
{
	size_t cap = b->cap;

	ws_grow(&b->bins, &cap, b->n + 1, sizeof(*b->bins));
	ws_grow(&b->holders, &b->cap, b->n + 1, sizeof(*b->holders));
	b->bins[b->n] = (struct ws_place_bin){ .id = id };
	b->holders[b->n++] =
		(struct ws_holder){ .id = id, .incarnation = incarnation };
}

/* A target without a live dispatcher may be lost together with it. */
static bool dispatched(const struct ws_own *o, const struct ws_view *view,
		       ws_id target)
{
	const struct own_entry *d = own_find_dispatch(o, target);

	return d && d->a.active && !own_instance_lost(view, d->a.holder.id);
}

static void bins_targets(struct own_bins *b, const struct ws_own *o, ws_us now,
			 const struct ws_view *view, ws_id service, bool all)
{
	size_t i;

	for (i = 0; i < view->n_targets; i++) {
		const struct ws_target *t = &view->targets[i];
		struct ws_holder h = { .id = t->id,
				       .incarnation = t->incarnation };

		if (t->service != service || !t->incarnation ||
		    !ws_view_usable(view, t) ||
		    own_target_lost(o, now, view, &h))
			continue;
		if (all || dispatched(o, view, t->id))
			bins_add(b, h.id, h.incarnation);
	}
}

/* Eligible instances of a zone, or of all zones if zone is 0. */
static void bins_instances(struct own_bins *b, const struct ws_own *o,
			   const struct ws_view *view, ws_id zone)
{
	size_t i;

	for (i = 0; i < view->n_instances; i++) {
		const struct ws_instance *x = &view->instances[i];

		if (x->id == o->self && o->draining)
			continue;
		if (ws_view_eligible(view, x) && (!zone || x->zone == zone))
			bins_add(b, x->id, 0);
	}
}

uint32_t own_bins_find(const struct own_bins *b, const struct ws_holder *h)
{
	size_t lo = 0;
	size_t hi = b->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (b->holders[mid].id < h->id)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo < b->n && ws_holder_equal(&b->holders[lo], h))
		return (uint32_t)lo;
	return WS_PLACE_NONE;
}

/* ===== Plans ===== */

static void plan_free(struct own_plan *p)
{
	free(p->bins.bins);
	free(p->bins.holders);
	free(p->items);
	free(p->res);
	free(p->status);
}

static enum own_holder_status status_of(const struct ws_own *o, ws_us now,
					const struct ws_view *view,
					const struct own_entry *e, uint32_t bin)
{
	bool instance;
	bool lost;

	if (!e)
		return OWN_UNASSIGNED;
	instance = e->a.res.kind == WS_RES_PARTITION ||
		   e->a.res.kind == WS_RES_DISPATCH;
	lost = instance ? own_instance_lost(view, e->a.holder.id) :
			  own_target_lost(o, now, view, &e->a.holder);
	if (lost)
		return OWN_LOST;
	if (bin == WS_PLACE_NONE || own_relinquished(e))
		return OWN_DISPLACED;
	return OWN_KEPT;
}

static void plan_add(struct own_plan *p, const struct ws_own *o, ws_us now,
		     const struct ws_view *view, const struct ws_res *res,
		     bool moves)
{
	const struct own_entry *e = own_find_entry(o, res);
	uint32_t bin = WS_PLACE_NONE;
	enum own_holder_status status;
	size_t cap = p->cap;
	size_t cap2 = p->cap;

	if (e)
		bin = own_bins_find(&p->bins, &e->a.holder);
	status = status_of(o, now, view, e, bin);
	p->incomplete = p->incomplete || status != OWN_KEPT;
	if (status == OWN_DISPLACED && !moves)
		return;
	/* Hot keys move by their load, not to even out numbers. */
	if (status == OWN_KEPT && res->kind == WS_RES_HOT_KEY)
		return;
	ws_grow(&p->items, &cap, p->n + 1, sizeof(*p->items));
	ws_grow(&p->res, &cap2, p->n + 1, sizeof(*p->res));
	ws_grow(&p->status, &p->cap, p->n + 1, sizeof(*p->status));
	p->items[p->n] = (struct ws_place_item){
		.id = ws_res_hash(res),
		.weight = 1,
		.from = status == OWN_KEPT ? bin : WS_PLACE_NONE,
	};
	p->res[p->n] = *res;
	p->status[p->n++] = (uint8_t)status;
}

/* ===== Groups ===== */

struct group {
	struct ws_own *o;
	struct ws_fx *fx;
	ws_us now;
	const struct ws_view *view;
	bool moves;
	bool level;
	own_plan_fn fn;
};

/*
 * Load is evened out only when a bin is far below the mean, as one that has
 * just joined. Smaller differences in number may be wanted, see ws_own_hot.c.
 */
static bool uneven(const struct own_plan *p)
{
	size_t *count = ws_alloc(p->bins.n, sizeof(*count));
	size_t least = p->n;
	size_t i;

	for (i = 0; i < p->n; i++)
		if (p->items[i].from != WS_PLACE_NONE)
			count[p->items[i].from]++;
	for (i = 0; i < p->bins.n; i++)
		if (count[i] < least)
			least = count[i];
	free(count);
	return least * p->bins.n * 100 < p->n * OWN_UNEVEN_PERCENT;
}

static void group_run(const struct group *g, struct own_plan *p, uint64_t topic)
{
	if (p->bins.n) {
		ws_place(p->items, p->n, p->bins.bins, p->bins.n,
			 g->level && uneven(p));
		g->fn(g->o, g->fx, g->now, g->view, p, topic);
	}
	if (p->incomplete)
		g->o->proposals_left = true;
	plan_free(p);
}

static void group_add(const struct group *g, struct own_plan *p,
		      const struct ws_res *res)
{
	plan_add(p, g->o, g->now, g->view, res, g->moves);
}

/* The number of partitions is fixed when they are first assigned. */
static void plan_partitions(const struct group *g)
{
	struct own_plan p = { .n = 0 };
	size_t n = g->o->n_partitions;
	size_t i;

	if (!n)
		n = g->view->bundle->partitions;
	bins_instances(&p.bins, g->o, g->view, 0);
	for (i = 0; i < n; i++) {
		struct ws_res res = { .kind = WS_RES_PARTITION, .item = i };

		group_add(g, &p, &res);
	}
	group_run(g, &p, OWN_TASK_PARTITIONS);
}

static void plan_zone(const struct group *g, ws_id zone)
{
	struct own_plan p = { .n = 0 };
	size_t i;

	bins_instances(&p.bins, g->o, g->view, zone);
	if (!p.bins.n)
		bins_instances(&p.bins, g->o, g->view, 0);
	for (i = 0; i < g->view->n_targets; i++) {
		const struct ws_target *t = &g->view->targets[i];
		struct ws_res res = { .kind = WS_RES_DISPATCH, .item = t->id };

		if (t->zone == zone && t->listed)
			group_add(g, &p, &res);
	}
	group_run(g, &p, ws_mix(OWN_TASK_DISPATCH, zone));
}

static void plan_zones(const struct group *g)
{
	ws_id *zones = NULL;
	size_t n = 0;
	size_t cap = 0;
	size_t i;
	size_t j;

	for (i = 0; i < g->view->n_targets; i++) {
		ws_id zone = g->view->targets[i].zone;

		for (j = 0; j < n && zones[j] != zone; j++)
			;
		if (j < n)
			continue;
		ws_grow(&zones, &cap, n + 1, sizeof(*zones));
		zones[n++] = zone;
	}
	for (i = 0; i < n; i++)
		plan_zone(g, zones[i]);
	free(zones);
}

static void add_hot_keys(const struct group *g, struct own_plan *p, ws_id svc)
{
	size_t i;

	for (i = 0; g->o->n_hot_keys && i < g->o->n_entries; i++) {
		const struct ws_res *res = &g->o->entries[i].a.res;

		if (res->kind == WS_RES_HOT_KEY && res->scope == svc)
			group_add(g, p, res);
	}
}

static void plan_service(const struct group *g, const struct ws_service *svc)
{
	struct own_plan p = { .n = 0 };
	uint32_t i;

	bins_targets(&p.bins, g->o, g->now, g->view, svc->id, false);
	if (!p.bins.n)
		bins_targets(&p.bins, g->o, g->now, g->view, svc->id, true);
	for (i = 0; i < svc->shards; i++) {
		struct ws_res res = { .kind = WS_RES_SHARD,
				      .scope = svc->id,
				      .item = i };

		group_add(g, &p, &res);
	}
	add_hot_keys(g, &p, svc->id);
	group_run(g, &p, svc->id);
}

void own_plan_all(struct ws_own *o, struct ws_fx *fx, ws_us now,
		  const struct ws_view *view, bool moves, bool level,
		  own_plan_fn fn)
{
	struct group g = { .o = o,
			   .fx = fx,
			   .now = now,
			   .view = view,
			   .moves = moves,
			   .level = level,
			   .fn = fn };
	size_t i;

	plan_partitions(&g);
	plan_zones(&g);
	for (i = 0; i < view->bundle->n_services; i++)
		if (view->bundle->services[i].sharded)
			plan_service(&g, &view->bundle->services[i]);
}
