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
	for (i = 0; i < o->n; i++)
		o->slots[slot_of(o, &o->entries[i].a.res)] = (uint32_t)i + 1;
}

struct own_entry *own_get(const struct ws_own *o, const struct ws_res *res)
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

struct own_entry *own_add(struct ws_own *o, const struct ws_res *res)
{
	struct own_entry *e;

	if ((o->n + 1) * 2 > o->n_slots)
		index_rebuild(o, o->n_slots ? o->n_slots * 2 : 64);
	ws_grow(&o->entries, &o->cap, o->n + 1, sizeof(*o->entries));
	e = &o->entries[o->n++];
	memset(e, 0, sizeof(*e));
	e->a.res = *res;
	o->slots[slot_of(o, res)] = (uint32_t)o->n;
	if (res->kind == WS_RES_PARTITION)
		note_partition(o, (uint32_t)o->n - 1);
	o->n_hot += res->kind == WS_RES_HOT_KEY;
	return e;
}

/* Rare, so that rebuilding the index is cheaper than keeping it deletable. */
void own_delete(struct ws_own *o, struct own_entry *e)
{
	size_t at = (size_t)(e - o->entries);
	size_t i;

	WS_INVARIANT(e->a.res.kind != WS_RES_PARTITION);
	o->n_hot -= e->a.res.kind == WS_RES_HOT_KEY;
	o->n--;
	*e = o->entries[o->n];
	for (i = 0; i < o->n_partitions; i++)
		if (o->partitions[i] == o->n)
			o->partitions[i] = (uint32_t)at;
	index_rebuild(o, o->n_slots);
}

static void remember_given(struct ws_own *o)
{
	size_t i;

	o->n_given = 0;
	for (i = 0; i < o->n; i++) {
		if (!own_given_up(&o->entries[i]))
			continue;
		ws_grow(&o->given, &o->cap_given, o->n_given + 1,
			sizeof(*o->given));
		o->given[o->n_given].res = o->entries[i].a.res;
		o->given[o->n_given++].fence = o->entries[i].given_up;
	}
}

void own_clear(struct ws_own *o)
{
	if (o->n)
		remember_given(o);
	o->n = 0;
	o->n_partitions = 0;
	o->n_hot = 0;
	if (o->n_slots)
		memset(o->slots, 0, o->n_slots * sizeof(*o->slots));
	own_pending_free(o);
	o->version++;
}

void own_give_up(struct ws_own *o, struct own_entry *e)
{
	e->given_up = e->a.fence;
	o->moves_left = true;
	o->version++;
}

bool own_given_up(const struct own_entry *e)
{
	return e->given_up && e->given_up == e->a.fence;
}

const struct own_entry *own_dispatch(const struct ws_own *o, ws_id target)
{
	struct ws_res res = { .kind = WS_RES_DISPATCH, .item = target };

	return own_get(o, &res);
}

/* ===== Questions ===== */

const struct ws_assignment *ws_own_find(const struct ws_own *o,
					const struct ws_res *res)
{
	const struct own_entry *e = own_get(o, res);

	return e ? &e->a : NULL;
}

static const struct own_entry *
find_key(const struct ws_own *o, const struct ws_service *svc, uint64_t key)
{
	struct ws_res res = { .kind = WS_RES_HOT_KEY,
			      .scope = svc->id,
			      .item = key };
	const struct own_entry *e = own_get(o, &res);

	if (e)
		return e;
	res.kind = WS_RES_SHARD;
	res.item = ws_bundle_shard(svc, key);
	return own_get(o, &res);
}

const struct ws_assignment *
ws_own_key(const struct ws_own *o, const struct ws_service *svc, uint64_t key)
{
	const struct own_entry *e = find_key(o, svc, key);

	return e ? &e->a : NULL;
}

static bool holds(const struct ws_own *o, const struct own_entry *e)
{
	return e && e->a.active && e->a.holder.id == o->self &&
	       !e->a.holder.incarnation && !own_given_up(e);
}

bool ws_own_holds(const struct ws_own *o, ws_us now, const struct ws_res *res)
{
	return holds(o, own_get(o, res)) && own_fresh(o, now);
}

bool ws_own_may_send(const struct ws_own *o, ws_us now,
		     const struct ws_view *view, ws_id target,
		     uint64_t incarnation, ws_id service, uint64_t key,
		     ws_offset fence)
{
	const struct ws_service *svc = ws_bundle_service(view->bundle, service);
	struct ws_holder h = { .id = target, .incarnation = incarnation };
	const struct own_entry *e;

	if (!svc || !own_fresh(o, now) || !holds(o, own_dispatch(o, target)))
		return false;
	if (!svc->sharded)
		return true;
	e = find_key(o, svc, key);
	return e && e->a.active && e->a.fence == fence && !own_given_up(e) &&
	       ws_holder_equal(&e->a.holder, &h);
}

size_t ws_own_partitions(const struct ws_own *o, uint32_t *index, size_t max)
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
	return o->n;
}

const struct ws_assignment *ws_own_at(const struct ws_own *o, size_t i)
{
	WS_INVARIANT(i < o->n);
	return &o->entries[i].a;
}

ws_offset ws_own_folded(const struct ws_own *o)
{
	return o->next;
}
