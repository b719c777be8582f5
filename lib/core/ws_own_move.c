#include "core/ws_own_internal.h"

#include <stdlib.h>

/* Planned moves: the present holder gives up first, then the next one gets. */

/* ===== Choosing ===== */

/* This instance decides over what it holds and over its targets' shards. */
static bool mine(const struct ws_own *o, ws_us now, const struct own_entry *e)
{
	struct ws_res d = { .kind = WS_RES_DISPATCH, .item = e->a.holder.id };

	if (!e->a.active)
		return false;
	if (e->a.res.kind == WS_RES_PARTITION ||
	    e->a.res.kind == WS_RES_DISPATCH)
		return e->a.holder.id == o->self;
	return ws_own_holds(o, now, &d);
}

void own_start_move(struct ws_own *o, struct own_entry *e,
		    const struct ws_holder *to)
{
	e->move_to = *to;
	e->unassign = false;
	if (own_relinquished(e))
		return;
	own_relinquish(o, e);
	if (e->a.res.kind >= WS_RES_SHARD)
		own_lease_drop(o, e);
}

static void choose(struct ws_own *o, struct ws_fx *fx, ws_us now,
		   const struct ws_view *view, struct own_plan *p,
		   uint64_t topic)
{
	size_t i;

	(void)fx;
	(void)view;
	(void)topic;
	for (i = 0; i < p->n; i++) {
		struct own_entry *e = own_find_entry(o, &p->res[i]);

		if (!e || p->items[i].to == p->items[i].from ||
		    p->status[i] == OWN_LOST || !mine(o, now, e))
			continue;
		/* What was given up for a reason of load keeps its aim. */
		if (own_relinquished(e) &&
		    own_bins_find(&p->bins, &e->move_to) != WS_PLACE_NONE)
			continue;
		own_start_move(o, e, &p->bins.holders[p->items[i].to]);
	}
}

/* ===== Forgetting ===== */

static bool owns_shards(const struct ws_own *o, ws_id target)
{
	size_t i;

	for (i = 0; i < o->n_entries; i++)
		if (o->entries[i].a.res.kind >= WS_RES_SHARD &&
		    o->entries[i].a.holder.id == target)
			return true;
	return false;
}

/* The dispatch of a target that no longer exists is given back to nobody. */
static void forget_targets(struct ws_own *o, ws_us now,
			   const struct ws_view *view)
{
	size_t i;

	for (i = 0; i < o->n_entries; i++) {
		struct own_entry *e = &o->entries[i];
		const struct ws_target *t;

		if (e->a.res.kind != WS_RES_DISPATCH || own_relinquished(e) ||
		    !mine(o, now, e))
			continue;
		t = ws_view_target(view, e->a.res.item);
		if ((t && t->listed) || owns_shards(o, e->a.res.item))
			continue;
		e->unassign = true;
		e->move_to = (struct ws_holder){ 0 };
		own_relinquish(o, e);
	}
}

/* ===== Planning ===== */

/*
 * Load is evened out when neither view nor table has changed for a while: the
 * other instances may know of a leaving member that this one has not heard of.
 */
static bool stable(const struct ws_own *o, ws_us now)
{
	return now - o->view_changed_at >= OWN_STABLE_TIME &&
	       now - o->last_assign_at >= OWN_STABLE_TIME && !o->n_pending;
}

static void plan_moves(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       const struct ws_view *view)
{
	bool level = stable(o, now);
	bool same = o->moves_table_version == o->table_version &&
		    o->moves_view_hash == o->view_hash &&
		    o->moves_rebalanced == level;

	if (same && (now - o->moves_planned_at < own_replan_period(o) ||
		     !(o->releases_left || o->proposals_left)))
		return;
	o->moves_planned_at = now;
	o->moves_view_hash = o->view_hash;
	o->moves_rebalanced = level;
	own_plan_all(o, fx, now, view, true, level, choose);
	if (view->n_targets)
		forget_targets(o, now, view);
	o->moves_table_version = o->table_version;
}

/* ===== Releasing ===== */

static bool needs_guard(const struct own_entry *e)
{
	return e->a.res.kind == WS_RES_SHARD || e->a.res.kind == WS_RES_HOT_KEY;
}

static bool releasable(struct ws_own *o, ws_us now, struct own_entry *e)
{
	if (!own_relinquished(e) || !(e->move_to.id || e->unassign) ||
	    !mine(o, now, e))
		return false;
	if (e->release_appended_at &&
	    now - e->release_appended_at < OWN_APPEND_TIMEOUT)
		return false;
	return !needs_guard(e) || own_lease_dropped(o, now, e);
}

/* Behind a guard stand the shards of its target, so entries sort by holder. */
struct release {
	struct own_entry *entry;
	bool guard;
	ws_id holder;
};

static int by_holder(const void *a, const void *b)
{
	const struct release *x = a;
	const struct release *y = b;

	if (x->guard != y->guard)
		return x->guard ? 1 : -1;
	if (x->holder != y->holder)
		return x->holder < y->holder ? -1 : 1;
	return x->entry->a.res.kind - y->entry->a.res.kind;
}

static void add_guard(const struct ws_own *o, struct ws_record *rec,
		      ws_id target)
{
	const struct own_entry *d = own_find_dispatch(o, target);

	rec->items[rec->n_items++] = (struct ws_assign_item){
		.res = d->a.res,
		.expected_fence = d->a.fence,
		.holder = d->a.holder,
	};
}

static void add_release(ws_us now, struct ws_record *rec, struct own_entry *e)
{
	e->release_appended_at = now;
	rec->items[rec->n_items++] = (struct ws_assign_item){
		.res = e->a.res,
		.expected_fence = e->a.fence,
		.holder = e->move_to,
	};
}

/*
 * One record for each holder and sort of resource, since the core delays the
 * release of a target until its requests in flight have ended.
 */
static bool same_record(const struct release *a, const struct release *b)
{
	uint8_t kind = a->entry->a.res.kind;

	if (a->guard != b->guard || a->holder != b->holder)
		return false;
	return a->guard ||
	       (kind == WS_RES_PARTITION && b->entry->a.res.kind == kind);
}

static size_t send_release(struct ws_own *o, struct ws_fx *fx, ws_us now,
			   const struct release *list, size_t n)
{
	struct ws_record rec = { .kind = WS_REC_ASSIGN, .released = true };
	size_t m = 1;
	size_t i;

	while (m < n && m < OWN_RECORD_ITEMS_MAX && same_record(list, &list[m]))
		m++;
	rec.items = ws_alloc(m + 1, sizeof(*rec.items));
	if (list->guard)
		add_guard(o, &rec, list->holder);
	for (i = 0; i < m; i++)
		add_release(now, &rec, list[i].entry);
	own_append(o, fx, &rec);
	return m;
}

static void release_all(struct ws_own *o, struct ws_fx *fx, ws_us now)
{
	struct release *list = NULL;
	size_t n = 0;
	size_t cap = 0;
	size_t i;

	if (!o->releases_left)
		return;
	o->releases_left = false;
	for (i = 0; i < o->n_entries; i++) {
		struct own_entry *e = &o->entries[i];

		o->releases_left = o->releases_left || own_relinquished(e);
		if (!releasable(o, now, e))
			continue;
		ws_grow(&list, &cap, n + 1, sizeof(*list));
		list[n++] = (struct release){ .entry = e,
					      .guard = needs_guard(e),
					      .holder = e->a.holder.id };
	}
	if (n) {
		qsort(list, n, sizeof(*list), by_holder);
		for (i = 0; i < n;)
			i += send_release(o, fx, now, &list[i], n - i);
	}
	free(list);
}

/* ===== Tick ===== */

bool own_may_plan(const struct ws_own *o, ws_us now, const struct ws_view *view)
{
	return own_fresh(o, now) && own_log_recent(o, now) && view->bundle &&
	       now - o->resumed_at >= OWN_STARTUP_DELAY;
}

void own_move_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		   const struct ws_view *view)
{
	if (!own_may_plan(o, now, view))
		return;
	plan_moves(o, fx, now, view);
	release_all(o, fx, now);
}

void ws_own_start_drain(struct ws_own *o)
{
	o->draining = true;
	o->table_version++;
}

bool ws_own_drained(const struct ws_own *o)
{
	size_t i;

	for (i = 0; i < o->n_entries; i++)
		if (o->entries[i].a.holder.id == o->self &&
		    !o->entries[i].a.holder.incarnation)
			return false;
	return true;
}
