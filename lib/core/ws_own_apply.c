#include "core/ws_own_internal.h"

#include <stdlib.h>
#include <string.h>

/* Applies records to the table. Every instance gets the same result. */

/* ===== Records that wait for activation ===== */

static struct own_pending *pending_find(const struct ws_own *o, ws_offset off)
{
	size_t i;

	for (i = 0; i < o->n_pending; i++)
		if (o->pending[i].offset == off)
			return &o->pending[i];
	return NULL;
}

static void pending_remove(struct ws_own *o, struct own_pending *p)
{
	free(p->res);
	*p = o->pending[--o->n_pending];
}

void own_pending_free(struct ws_own *o)
{
	while (o->n_pending)
		pending_remove(o, &o->pending[o->n_pending - 1]);
}

static void pending_add(struct ws_own *o, ws_us now, ws_offset off,
			ws_id writer, const struct ws_res *res)
{
	struct own_pending *p = pending_find(o, off);

	if (!p) {
		ws_grow(&o->pending, &o->cap_pending, o->n_pending + 1,
			sizeof(*o->pending));
		p = &o->pending[o->n_pending++];
		memset(p, 0, sizeof(*p));
		p->offset = off;
		p->writer = writer;
		p->applied_at = now;
	}
	ws_grow(&p->res, &p->cap, p->n + 1, sizeof(*p->res));
	p->res[p->n++] = *res;
	p->n_inactive++;
}

/* An inactive assignment was replaced by a later one. */
static void pending_superseded(struct ws_own *o, ws_offset off)
{
	struct own_pending *p = pending_find(o, off);

	if (p && !--p->n_inactive)
		pending_remove(o, p);
}

void own_pending_rebuild(struct ws_own *o, ws_us now)
{
	size_t i;

	own_pending_free(o);
	for (i = 0; i < o->n_entries; i++) {
		const struct ws_assignment *a = &o->entries[i].a;

		if (!a->active)
			pending_add(o, now, a->fence, 0, &a->res);
	}
}

/* ===== ASSIGN ===== */

/* State carried from item to item while a record is applied. */
struct apply_state {
	const struct ws_record *rec;
	bool creating; /* no partition existed before this record */
	ws_id guarded_target; /* target whose dispatch fence a guard has
				 confirmed */
	const struct ws_assign_item *shard; /* last valid shard item */
	size_t n_valid;
};

/*
 * A guard is an item that names the dispatch of a target with its current fence
 * and holder, and changes nothing. A release of the target's shards is valid
 * only after a guard: the release may be delayed in the log until the same
 * dispatcher holds the dispatch under a later fence, when the shard may have
 * been granted again.
 */
static bool is_guard(const struct apply_state *f,
		     const struct ws_assign_item *it, const struct own_entry *e)
{
	return f->rec->released && e && it->res.kind == WS_RES_DISPATCH &&
	       e->a.active && e->a.fence == it->expected_fence &&
	       e->a.holder.id == f->rec->writer &&
	       ws_holder_equal(&it->holder, &e->a.holder);
}

static bool may_release(const struct apply_state *f, const struct own_entry *e)
{
	if (!e->a.active)
		return false;
	if (e->a.res.kind == WS_RES_PARTITION ||
	    e->a.res.kind == WS_RES_DISPATCH)
		return e->a.holder.id == f->rec->writer;
#ifdef WS_MUTANT_TENURE_NOT_CHECKED
	return true;
#endif
	return f->guarded_target && f->guarded_target == e->a.holder.id;
}

/*
 * A key may leave or rejoin its shard only if the preceding item gives the
 * shard a new fence. Otherwise requests under the old fence could reach a
 * second owner.
 */
static bool follows_shard_of(const struct apply_state *f,
			     const struct ws_assign_item *it,
			     const struct ws_holder *holder)
{
	return f->shard && f->shard + 1 == it &&
	       f->shard->res.scope == it->res.scope &&
	       ws_holder_equal(&f->shard->holder, holder);
}

static bool valid_first_assignment(const struct apply_state *f,
				   const struct ws_assign_item *it)
{
	if (!it->holder.id)
		return false;
	if (it->res.kind == WS_RES_PARTITION)
		return f->creating;
	if (it->res.kind == WS_RES_HOT_KEY)
		return f->rec->released && follows_shard_of(f, it, &it->holder);
	return true;
}

static bool valid_item(const struct apply_state *f,
		       const struct ws_assign_item *it,
		       const struct own_entry *e)
{
#ifndef WS_MUTANT_VOID_ITEM_FOLDED
	if ((e ? e->a.fence : 0) != it->expected_fence)
		return false;
#endif
	if (!e)
		return valid_first_assignment(f, it);
	if (f->rec->released && !may_release(f, e))
		return false;
	if (it->holder.id)
		return true;
	if (!f->rec->released || it->res.kind == WS_RES_PARTITION)
		return false;
	return it->res.kind != WS_RES_HOT_KEY ||
	       follows_shard_of(f, it, &e->a.holder);
}

static void update_entry(struct ws_own *o, ws_us now,
			 const struct ws_record *rec,
			 const struct ws_assign_item *it, struct own_entry *e)
{
	bool active = !e || rec->released;

	if (e && !e->a.active)
		pending_superseded(o, e->a.fence);
	if (!it->holder.id) {
		own_delete_entry(o, e);
		return;
	}
	if (!e)
		e = own_add_entry(o, &it->res);
	WS_INVARIANT(e->a.fence < rec->offset);
	if (e->a.active)
		e->last_active_holder = e->a.holder.id;
	e->a.holder = it->holder;
	e->a.fence = rec->offset;
	e->a.active = active;
	e->a.takeover_wall_ms = 0;
	e->applied_at = now;
	e->relinquished_fence = 0;
	e->release_appended_at = 0;
	e->unassign = false;
	if (!active)
		pending_add(o, now, rec->offset, rec->writer, &it->res);
}

static void apply_item(struct ws_own *o, ws_us now, struct apply_state *f,
		       const struct ws_assign_item *it)
{
	struct own_entry *e = own_find_entry(o, &it->res);

	if (is_guard(f, it, e)) {
		f->guarded_target = it->res.item;
		f->n_valid++;
		return;
	}
	if (it->res.kind < WS_RES_PARTITION || it->res.kind > WS_RES_HOT_KEY ||
	    !valid_item(f, it, e))
		return;
	if (it->res.kind == WS_RES_SHARD)
		f->shard = it;
	f->n_valid++;
	update_entry(o, now, f->rec, it, e);
}

static void apply_assign(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 const struct ws_record *rec)
{
	struct apply_state f = { .rec = rec, .creating = !o->n_partitions };
	uint16_t event = WS_LOG_ASSIGN_WON;
	size_t i;

	for (i = 0; i < rec->n_items; i++)
		apply_item(o, now, &f, &rec->items[i]);
	if (rec->writer != o->self)
		return;
	if (f.n_valid < rec->n_items)
		event = WS_LOG_ASSIGN_LOST;
	ws_fx_log(fx, event, o->self, (int64_t)rec->offset, 0);
}

/* ===== Other records ===== */

static void apply_activate(struct ws_own *o, struct ws_fx *fx,
			   const struct ws_record *rec)
{
	struct own_pending *p = pending_find(o, rec->target_offset);
	size_t i;

	if (!p)
		return;
	for (i = 0; i < p->n; i++) {
		struct own_entry *e = own_find_entry(o, &p->res[i]);

		if (!e || e->a.fence != p->offset)
			continue;
		e->a.active = true;
		e->a.takeover_wall_ms = rec->wall_ms;
	}
	ws_fx_log(fx, WS_LOG_ACTIVATED, rec->writer, (int64_t)p->offset, 0);
	pending_remove(o, p);
}

static void apply_recover(struct ws_own *o, ws_us now,
			  const struct ws_record *rec)
{
	size_t i;

	o->gone_at = now;
	for (i = 0; i < rec->n_gone; i++) {
		if (own_is_gone(o, rec->gone[i]))
			continue;
		ws_grow(&o->gone, &o->cap_gone, o->n_gone + 1,
			sizeof(*o->gone));
		o->gone[o->n_gone++] = rec->gone[i];
	}
}

void own_apply(struct ws_own *o, struct ws_fx *fx, ws_us now,
	       const struct ws_record *rec)
{
	switch (rec->kind) {
	case WS_REC_ASSIGN:
		apply_assign(o, fx, now, rec);
		o->last_assign_at = now;
		o->table_version++;
		break;
	case WS_REC_ACTIVATE:
		apply_activate(o, fx, rec);
		o->table_version++;
		break;
	case WS_REC_RECOVER:
		apply_recover(o, now, rec);
		break;
	case WS_REC_SNAPSHOT:
		o->snapshot_next = rec->target_offset;
		o->snapshot_at = now;
		break;
	default:
		break;
	}
}

void ws_own_apply_record(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 const struct ws_record *rec)
{
	WS_INVARIANT(rec->offset <= o->next_offset);
	if (rec->offset < o->next_offset)
		return;
	own_append_applied(o, rec->uid);
	own_tail_add(o, rec);
	o->next_offset = rec->offset + 1;
	own_apply(o, fx, now, rec);
}
