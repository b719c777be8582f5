#include "core/ws_own_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Work of shards and keys, hot keys, and moves that even out the load. Work
 * is known for the targets that this instance dispatches; the load of others
 * comes with heartbeats.
 */

/* ===== Counting work ===== */

/*
 * Keys with the most work. The entry with the least work is taken over with
 * its count (space-saving sketch), so that a rising key is not missed.
 */
static void note_key(struct ws_own *o, ws_id service, uint64_t key, ws_us work)
{
	struct own_key_work *least = &o->key_work[0];
	size_t i;

	for (i = 0; i < OWN_HOT_KEY_CANDIDATES; i++) {
		struct own_key_work *w = &o->key_work[i];

		if (w->service == service && w->key == key) {
			w->work += (uint64_t)work;
			return;
		}
		if (w->work < least->work)
			least = w;
	}
	least->service = service;
	least->key = key;
	least->overestimate = least->work;
	least->work += (uint64_t)work;
}

void ws_own_add_work(struct ws_own *o, ws_id service, uint64_t key,
		     uint32_t shard, ws_us work)
{
	struct ws_res res = { .kind = WS_RES_HOT_KEY,
			      .scope = service,
			      .item = key };
	struct own_entry *e = own_find_entry(o, &res);

	if (work <= 0)
		return;
	if (e) {
		e->work += (uint64_t)work;
		return;
	}
	res.kind = WS_RES_SHARD;
	res.item = shard;
	e = own_find_entry(o, &res);
	if (e)
		e->work += (uint64_t)work;
	note_key(o, service, key, work);
}

/* Sums halve once a second, so they stand at twice the work of a second. */
static void decay(struct ws_own *o)
{
	size_t i;

	for (i = 0; i < o->n_entries; i++)
		o->entries[i].work /= 2;
	for (i = 0; i < OWN_HOT_KEY_CANDIDATES; i++) {
		o->key_work[i].work /= 2;
		o->key_work[i].overestimate /= 2;
	}
}

/* ===== Load of targets ===== */

static struct own_target_load *load_find(const struct ws_own *o, ws_id target)
{
	size_t lo = 0;
	size_t hi = o->n_loads;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (o->loads[mid].target < target)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < o->n_loads && o->loads[lo].target == target ?
		       &o->loads[lo] :
		       NULL;
}

/* Follows the targets of the view, which are sorted by id. */
static void loads_follow(struct ws_own *o, const struct ws_view *view)
{
	struct own_target_load *old = o->loads;
	struct ws_own before = { .loads = old, .n_loads = o->n_loads };
	size_t i;

	o->loads = ws_alloc(view->n_targets, sizeof(*o->loads));
	o->n_loads = view->n_targets;
	for (i = 0; i < view->n_targets; i++) {
		struct own_target_load *l =
			load_find(&before, view->targets[i].id);

		o->loads[i].target = view->targets[i].id;
		if (l)
			o->loads[i] = *l;
	}
	free(old);
}

/* Requests in flight, smoothed over about two seconds, in 1/1000. */
static void loads_sample(struct ws_own *o, const struct ws_view *view)
{
	size_t i;

	if (o->n_loads != view->n_targets || o->loads_view_hash != o->view_hash)
		loads_follow(o, view);
	o->loads_view_hash = o->view_hash;
	for (i = 0; i < o->n_loads; i++) {
		const struct ws_load *l = &view->targets[i].load;
		int64_t now = ((int64_t)l->in_flight + l->queued) * 1000;

		o->loads[i].in_flight_milli +=
			(now - o->loads[i].in_flight_milli) / 8;
		o->loads[i].work = 0;
		o->loads[i].n_shards = 0;
	}
}

static void loads_count(struct ws_own *o)
{
	size_t i;

	for (i = 0; i < o->n_entries; i++) {
		const struct own_entry *e = &o->entries[i];
		struct own_target_load *l;

		if (e->a.res.kind < WS_RES_SHARD)
			continue;
		l = load_find(o, e->a.holder.id);
		if (!l)
			continue;
		l->work += e->work;
		l->n_shards += e->a.res.kind == WS_RES_SHARD;
	}
}

/* ===== Records ===== */

static void append_pair(struct ws_own *o, struct ws_fx *fx,
			const struct own_entry *d, const struct own_entry *s,
			const struct ws_assign_item *hot)
{
	struct ws_record rec = { .kind = WS_REC_ASSIGN, .released = true };

	rec.n_items = 3;
	rec.items = ws_alloc(3, sizeof(*rec.items));
	rec.items[0] = (struct ws_assign_item){ .res = d->a.res,
						.expected_fence = d->a.fence,
						.holder = d->a.holder };
	rec.items[1] = (struct ws_assign_item){ .res = s->a.res,
						.expected_fence = s->a.fence,
						.holder = s->a.holder };
	rec.items[2] = *hot;
	own_append(o, fx, &rec);
	ws_fx_log(fx, WS_LOG_HOT_KEY, s->a.holder.id, (int64_t)hot->res.item,
		  0);
}

static struct own_entry *shard_of(const struct ws_own *o,
				  const struct ws_service *svc, uint64_t key)
{
	struct ws_res res = { .kind = WS_RES_SHARD, .scope = svc->id };

	res.item = ws_bundle_shard(svc, key);
	return own_find_entry(o, &res);
}

/* ===== Hot keys ===== */

/* The dispatch of a target if this instance may decide over its shards. */
static const struct own_entry *my_dispatch(const struct ws_own *o, ws_us now,
					   const struct own_entry *e)
{
	const struct own_entry *d;

	if (!e || !e->a.active || own_relinquished(e))
		return NULL;
	d = own_find_dispatch(o, e->a.holder.id);
	return d && ws_own_holds(o, now, &d->a.res) ? d : NULL;
}

static void check_key(struct ws_own *o, struct ws_fx *fx, ws_us now,
		      const struct ws_view *view, const struct own_key_work *w)
{
	const struct ws_service *svc =
		ws_bundle_service(view->bundle, w->service);
	struct ws_assign_item hot = { .res = { .kind = WS_RES_HOT_KEY,
					       .scope = w->service,
					       .item = w->key } };
	const struct own_entry *d;
	const struct own_entry *s;
	const struct own_target_load *l;
	uint64_t sure = w->work - w->overestimate;

	if (sure < OWN_HOT_KEY_MIN_WORK || !svc ||
	    own_find_entry(o, &hot.res) || o->n_hot_keys >= OWN_HOT_KEYS_MAX)
		return;
	s = shard_of(o, svc, w->key);
	d = my_dispatch(o, now, s);
	l = d ? load_find(o, s->a.holder.id) : NULL;
	if (!l || sure * 100 < l->work * OWN_HOT_KEY_PERCENT)
		return;
	hot.holder = s->a.holder;
	append_pair(o, fx, d, s, &hot);
}

/* A key that has cooled down goes back to its shard. */
static void check_cool(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       const struct ws_view *view, struct own_entry *e)
{
	const struct ws_service *svc =
		ws_bundle_service(view->bundle, e->a.res.scope);
	const struct own_entry *d = my_dispatch(o, now, e);
	const struct own_entry *s;
	struct ws_assign_item hot = { .res = e->a.res,
				      .expected_fence = e->a.fence };

	if (!d || !svc || e->work >= OWN_HOT_KEY_MIN_WORK / 8) {
		e->low_work_since = 0;
		return;
	}
	if (!e->low_work_since)
		e->low_work_since = now;
	s = shard_of(o, svc, e->a.res.item);
	if (now - e->low_work_since < OWN_HOT_KEY_COOLDOWN || !s ||
	    !s->a.active || own_relinquished(s))
		return;
	if (ws_holder_equal(&s->a.holder, &e->a.holder))
		append_pair(o, fx, d, s, &hot);
	else
		own_start_move(o, e, &s->a.holder);
}

static void check_hot_keys(struct ws_own *o, struct ws_fx *fx, ws_us now,
			   const struct ws_view *view)
{
	size_t i;

	for (i = 0; i < OWN_HOT_KEY_CANDIDATES; i++)
		check_key(o, fx, now, view, &o->key_work[i]);
	for (i = 0; o->n_hot_keys && i < o->n_entries; i++)
		if (o->entries[i].a.res.kind == WS_RES_HOT_KEY)
			check_cool(o, fx, now, view, &o->entries[i]);
}

/* ===== Evening out ===== */

struct balance {
	const struct ws_target *least;
	int64_t least_milli;
	int64_t sum;
	int64_t n;
	size_t items;
};

static void survey(const struct ws_own *o, const struct ws_view *view,
		   ws_id service, struct balance *b)
{
	size_t i;

	memset(b, 0, sizeof(*b));
	for (i = 0; i < view->n_targets; i++) {
		const struct ws_target *t = &view->targets[i];
		const struct own_target_load *l = &o->loads[i];

		if (t->service != service || !t->incarnation ||
		    !ws_view_usable(view, t))
			continue;
		b->sum += l->in_flight_milli;
		b->n++;
		b->n_shards += l->n_shards;
		if (b->least && l->in_flight_milli >= b->least_milli)
			continue;
		b->least = t;
		b->least_milli = l->in_flight_milli;
	}
}

/*
 * The heaviest item that is no more than half of the difference. A shard
 * stays if its target would fall below the mean number of shards so far that
 * it would be filled up again.
 */
static struct own_entry *pick(struct ws_own *o, ws_us now,
			      const struct own_target_load *l, int64_t limit,
			      bool shards)
{
	struct own_entry *best = NULL;
	size_t i;

	for (i = 0; i < o->n_entries; i++) {
		struct own_entry *e = &o->entries[i];
		int64_t share;

		if (e->a.holder.id != l->target || !e->work ||
		    e->a.res.kind < WS_RES_SHARD)
			continue;
		if (e->a.res.kind == WS_RES_SHARD && !shards)
			continue;
		share = l->in_flight_milli * (int64_t)e->work /
			(int64_t)l->work;
		if (share > limit || !my_dispatch(o, now, e))
			continue;
		if (!best || e->work > best->work)
			best = e;
	}
	return best;
}

static void balance_target(struct ws_own *o, ws_us now, const struct balance *b,
			   struct own_target_load *l)
{
	struct ws_holder to = { .id = b->least->id,
				.incarnation = b->least->incarnation };
	int64_t gap = l->in_flight_milli - b->least_milli;
	bool shards = (l->n_shards - 1) * (size_t)b->n * 100 >=
		      b->items * OWN_UNEVEN_PERCENT;
	struct own_entry *e;

	if (!l->work || !l->n_shards || gap < OWN_BALANCE_MIN_GAP_MILLI ||
	    l->in_flight_milli * b->n * 100 <= b->sum * OWN_BALANCE_PERCENT ||
	    now - l->moved_at < OWN_BALANCE_MOVE_INTERVAL)
		return;
	e = pick(o, now, l, gap / 2, shards);
	if (!e)
		return;
	l->moved_at = now;
	own_start_move(o, e, &to);
}

static void balance_service(struct ws_own *o, ws_us now,
			    const struct ws_view *view, ws_id service)
{
	struct balance b;
	size_t i;

	survey(o, view, service, &b);
	if (b.n < 2)
		return;
	for (i = 0; i < view->n_targets; i++)
		if (view->targets[i].service == service)
			balance_target(o, now, &b, &o->loads[i]);
}

/* ===== Tick ===== */

void own_hot_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		  const struct ws_view *view)
{
	size_t i;

	if (now - o->loads_sampled_at < OWN_LOAD_SAMPLE_PERIOD)
		return;
	o->loads_sampled_at = now;
	loads_sample(o, view);
	if (now - o->decayed_at < WS_SECOND)
		return;
	o->decayed_at = now;
	loads_count(o);
	if (own_may_plan(o, now, view) && !o->draining && !o->n_pending) {
		check_hot_keys(o, fx, now, view);
		for (i = 0; i < view->bundle->n_services; i++)
			if (view->bundle->services[i].sharded)
				balance_service(o, now, view,
						view->bundle->services[i].id);
	}
	decay(o);
}
