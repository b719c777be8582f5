#include "core/ws_own_internal.h"

#include <stdlib.h>
#include <string.h>

/* ===== Hash index ===== */

static size_t slot_of(const struct ws_own *o, const struct ws_res *res)
{
	size_t mask = o->n_slots - 1;
	size_t i = ws_res_hash(res) & mask;

	while (o->slots[i] &&
	       !ws_res_equal(&o->entries[o->slots[i] - 1].a.res, res))
		i = (i + 1) & mask;
	return i;
}

static void index_rebuild(struct ws_own *o, size_t n_slots)
{
	size_t i;

	free(o->slots);
	o->slots = ws_alloc(n_slots, sizeof(*o->slots));
	o->n_slots = n_slots;
	for (i = 0; i < o->n_entries; i++)
		o->slots[slot_of(o, &o->entries[i].a.res)] = (uint32_t)i + 1;
}

struct own_entry *own_find_entry(const struct ws_own *o,
				 const struct ws_res *res)
{
	size_t i;

	if (!o->n_slots)
		return NULL;
	i = slot_of(o, res);
	return o->slots[i] ? &o->entries[o->slots[i] - 1] : NULL;
}

/* ===== Changes ===== */

static void note_partition(struct ws_own *o, uint32_t entry)
{
	ws_grow(&o->partitions, &o->cap_partitions, o->n_partitions + 1,
		sizeof(*o->partitions));
	o->partitions[o->n_partitions++] = entry;
}

struct own_entry *own_add_entry(struct ws_own *o, const struct ws_res *res)
{
	struct own_entry *e;

	if ((o->n_entries + 1) * 2 > o->n_slots)
		index_rebuild(o, o->n_slots ? o->n_slots * 2 : 64);
	ws_grow(&o->entries, &o->cap_entries, o->n_entries + 1,
		sizeof(*o->entries));
	e = &o->entries[o->n_entries++];
	memset(e, 0, sizeof(*e));
	e->a.res = *res;
	o->slots[slot_of(o, res)] = (uint32_t)o->n_entries;
	if (res->kind == WS_RES_PARTITION)
		note_partition(o, (uint32_t)o->n_entries - 1);
	o->n_hot_keys += res->kind == WS_RES_HOT_KEY;
	return e;
}

/* Rare, so that rebuilding the index is cheaper than keeping it deletable. */
void own_delete_entry(struct ws_own *o, struct own_entry *e)
{
	size_t at = (size_t)(e - o->entries);
	size_t i;

	WS_INVARIANT(e->a.res.kind != WS_RES_PARTITION);
	o->n_hot_keys -= e->a.res.kind == WS_RES_HOT_KEY;
	o->n_entries--;
	*e = o->entries[o->n_entries];
	for (i = 0; i < o->n_partitions; i++)
		if (o->partitions[i] == o->n_entries)
			o->partitions[i] = (uint32_t)at;
	index_rebuild(o, o->n_slots);
}

static void remember_given(struct ws_own *o)
{
	size_t i;

	o->n_relinquished = 0;
	for (i = 0; i < o->n_entries; i++) {
		if (!own_relinquished(&o->entries[i]))
			continue;
		ws_grow(&o->relinquished, &o->cap_relinquished,
			o->n_relinquished + 1, sizeof(*o->relinquished));
		o->relinquished[o->n_relinquished].res = o->entries[i].a.res;
		o->relinquished[o->n_relinquished++].fence =
			o->entries[i].relinquished_fence;
	}
}

void own_clear_table(struct ws_own *o)
{
	if (o->n_entries)
		remember_given(o);
	o->n_entries = 0;
	o->n_partitions = 0;
	o->n_hot_keys = 0;
	if (o->n_slots)
		memset(o->slots, 0, o->n_slots * sizeof(*o->slots));
	own_pending_free(o);
	o->table_version++;
}

void own_relinquish(struct ws_own *o, struct own_entry *e)
{
	e->relinquished_fence = e->a.fence;
	o->releases_left = true;
	o->table_version++;
}

bool own_relinquished(const struct own_entry *e)
{
	return e->relinquished_fence && e->relinquished_fence == e->a.fence;
}

const struct own_entry *own_find_dispatch(const struct ws_own *o, ws_id target)
{
	struct ws_res res = { .kind = WS_RES_DISPATCH, .item = target };

	return own_find_entry(o, &res);
}

/* ===== Questions ===== */

const struct ws_assignment *ws_own_find(const struct ws_own *o,
					const struct ws_res *res)
{
	const struct own_entry *e = own_find_entry(o, res);

	return e ? &e->a : NULL;
}

static const struct own_entry *
find_key(const struct ws_own *o, const struct ws_service *svc, uint64_t key)
{
	struct ws_res res = { .kind = WS_RES_HOT_KEY,
			      .scope = svc->id,
			      .item = key };
	const struct own_entry *e = own_find_entry(o, &res);

	if (e)
		return e;
	res.kind = WS_RES_SHARD;
	res.item = ws_bundle_shard(svc, key);
	return own_find_entry(o, &res);
}

const struct ws_assignment *ws_own_find_key_owner(const struct ws_own *o,
						  const struct ws_service *svc,
						  uint64_t key)
{
	const struct own_entry *e = find_key(o, svc, key);

	return e ? &e->a : NULL;
}

static bool holds(const struct ws_own *o, const struct own_entry *e)
{
	return e && e->a.active && e->a.holder.id == o->self &&
	       !e->a.holder.incarnation && !own_relinquished(e);
}

bool ws_own_holds(const struct ws_own *o, ws_us now, const struct ws_res *res)
{
	return holds(o, own_find_entry(o, res)) && own_fresh(o, now);
}

bool ws_own_may_send(const struct ws_own *o, ws_us now,
		     const struct ws_view *view, ws_id target,
		     uint64_t incarnation, ws_id service, uint64_t key,
		     ws_offset fence)
{
	const struct ws_service *svc = ws_bundle_service(view->bundle, service);
	struct ws_holder h = { .id = target, .incarnation = incarnation };
	const struct own_entry *e;

	if (!svc || !own_fresh(o, now) ||
	    !holds(o, own_find_dispatch(o, target)))
		return false;
	if (!svc->sharded)
		return true;
	e = find_key(o, svc, key);
	return e && e->a.active && e->a.fence == fence &&
	       !own_relinquished(e) && ws_holder_equal(&e->a.holder, &h);
}

size_t ws_own_held_partitions(const struct ws_own *o, uint32_t *index,
			      size_t max)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < o->n_partitions; i++) {
		const struct own_entry *e = &o->entries[o->partitions[i]];

		if (!holds(o, e))
			continue;
		if (n < max)
			index[n] = (uint32_t)e->a.res.item;
		n++;
	}
	return n;
}

size_t ws_own_count(const struct ws_own *o)
{
	return o->n_entries;
}

const struct ws_assignment *ws_own_at(const struct ws_own *o, size_t i)
{
	WS_INVARIANT(i < o->n_entries);
	return &o->entries[i].a;
}

ws_offset ws_own_next_offset(const struct ws_own *o)
{
	return o->next_offset;
}
