#include "core/ws_own_internal.h"

#include <stdlib.h>
#include <string.h>

/* Grants to the targets that this instance dispatches. */

/* ===== Table of leases ===== */

static size_t lease_slot(const struct ws_own *o, ws_id target)
{
	size_t lo = 0;
	size_t hi = o->n_leases;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (o->leases[mid].target < target)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct own_target_lease *own_lease_find(const struct ws_own *o, ws_id target)
{
	size_t i = lease_slot(o, target);

	if (i < o->n_leases && o->leases[i].target == target)
		return &o->leases[i];
	return NULL;
}

static struct own_target_lease *lease_add(struct ws_own *o, ws_id target)
{
	size_t i = lease_slot(o, target);

	ws_grow(&o->leases, &o->cap_leases, o->n_leases + 1,
		sizeof(*o->leases));
	memmove(&o->leases[i + 1], &o->leases[i],
		(o->n_leases - i) * sizeof(*o->leases));
	o->n_leases++;
	memset(&o->leases[i], 0, sizeof(*o->leases));
	o->leases[i].target = target;
	return &o->leases[i];
}

static void lease_remove(struct ws_own *o, size_t i)
{
	free(o->leases[i].items);
	memmove(&o->leases[i], &o->leases[i + 1],
		(o->n_leases - i - 1) * sizeof(*o->leases));
	o->n_leases--;
}

void own_lease_free(struct ws_own *o)
{
	while (o->n_leases)
		lease_remove(o, o->n_leases - 1);
	free(o->leases);
}

/* ===== Following the table ===== */

/*
 * Grants of an earlier tenure, by whomever, may run until its evidence ends.
 * The number of the last grant goes on, so that old answers do not count.
 */
static void start_tenure(struct own_target_lease *l, ws_us now, ws_offset fence)
{
	l->dispatch_fence = fence;
	l->in_flight = false;
	l->acked_seq = 0;
	l->granted_until = now + WS_LEASE_DURATION + WS_DRIFT_MARGIN;
	l->dirty = true;
}

static void sync_target(struct ws_own *o, ws_us now, const struct ws_view *view,
			const struct ws_target *t)
{
	const struct ws_service *svc =
		ws_bundle_service(view->bundle, t->service);
	const struct own_entry *d = own_find_dispatch(o, t->id);
	struct own_target_lease *l;

	if (!svc || !svc->sharded || !d || !d->a.active ||
	    own_relinquished(d) || d->a.holder.id != o->self)
		return;
	l = own_lease_find(o, t->id);
	if (!l)
		l = lease_add(o, t->id);
	if (l->dispatch_fence != d->a.fence)
		start_tenure(l, now, d->a.fence);
	l->verifies_grants = svc->checks_fences;
	l->seen = true;
	if (t->clock_incarnation == l->incarnation)
		return;
	l->incarnation = t->clock_incarnation;
	l->acked_seq = 0;
	l->dirty = true;
}

static void list_item(struct own_target_lease *l, const struct ws_assignment *a)
{
	struct ws_grant_item item = { .res = a->res, .fence = a->fence };
	size_t i = l->n_new_items++;

	ws_grow(&l->items, &l->cap_items, l->n_new_items, sizeof(*l->items));
	if (i < l->n_items && ws_res_equal(&l->items[i].res, &item.res) &&
	    l->items[i].fence == item.fence)
		return;
	l->items[i] = item;
	l->dirty = true;
}

static void sync_items(struct ws_own *o)
{
	size_t i;

	for (i = 0; i < o->n_entries; i++) {
		const struct own_entry *e = &o->entries[i];
		struct own_target_lease *l;

		if (e->a.res.kind < WS_RES_SHARD || !e->a.active)
			continue;
#ifndef WS_MUTANT_RELEASED_REGRANTED
		if (own_relinquished(e))
			continue;
#endif
		l = own_lease_find(o, e->a.holder.id);
		if (l && l->incarnation == e->a.holder.incarnation)
			list_item(l, &e->a);
	}
}

static void sync(struct ws_own *o, ws_us now, const struct ws_view *view)
{
	size_t i;

	if (o->leases_table_version == o->table_version &&
	    o->leases_view_hash == o->view_hash)
		return;
	o->leases_table_version = o->table_version;
	o->leases_view_hash = o->view_hash;
	for (i = 0; i < o->n_leases; i++) {
		o->leases[i].seen = false;
		o->leases[i].n_new_items = 0;
	}
	for (i = 0; i < view->n_targets; i++)
		sync_target(o, now, view, &view->targets[i]);
	for (i = o->n_leases; i-- > 0;)
		if (!o->leases[i].seen)
			lease_remove(o, i);
	sync_items(o);
	for (i = 0; i < o->n_leases; i++) {
		struct own_target_lease *l = &o->leases[i];

		l->dirty = l->dirty || l->n_items != l->n_new_items;
		l->n_items = l->n_new_items;
	}
}

/* ===== Dropping ===== */

void own_lease_drop(const struct ws_own *o, struct own_entry *e)
{
	struct own_target_lease *l = own_lease_find(o, e->a.holder.id);

	e->drop_dispatch_fence = 0;
	if (!l)
		return;
	e->drop_dispatch_fence = l->dispatch_fence;
	e->drop_grant_seq = l->seq + 1;
	e->drop_expiry = l->granted_until + WS_DRIFT_MARGIN;
	l->dirty = true;
}

bool own_lease_dropped(const struct ws_own *o, ws_us now, struct own_entry *e)
{
	const struct own_target_lease *l = own_lease_find(o, e->a.holder.id);

	if (!l)
		return false;
	if (!l->verifies_grants)
		return true;
	if (e->drop_dispatch_fence != l->dispatch_fence) {
		own_lease_drop(o, e);
		return false;
	}
#ifdef WS_MUTANT_RELEASE_NOT_AWAITED
	return true;
#endif
	if (now > e->drop_expiry)
		return true;
	return l->incarnation == e->a.holder.incarnation &&
	       l->acked_seq >= e->drop_grant_seq && now > l->unconfirmed_until;
}

/* ===== Granting ===== */

static bool grant_due(const struct own_target_lease *l, ws_us now)
{
	if (l->in_flight || !l->verifies_grants)
		return false;
	if (l->dirty)
		return now >= l->retry_at;
	return l->n_items && now - l->sent_at >= OWN_GRANT_PERIOD;
}

static bool sample_usable(const struct own_target_lease *l, ws_us now,
			  const struct ws_target *t)
{
	return t && l->incarnation && t->clock_incarnation == l->incarnation &&
	       now - t->clock_local <= OWN_CLOCK_SAMPLE_MAX_AGE;
}

/*
 * The sample was taken before it arrived, so the target's clock reads at least
 * clock_target_us + d at clock_local + d, and reaches not_after in time.
 */
static int64_t not_after(const struct ws_target *t, ws_us end)
{
	return t->clock_target_us + (end - t->clock_local) - WS_DRIFT_MARGIN;
}

static void grant(struct ws_own *o, struct ws_fx *fx, ws_us now,
		  struct own_target_lease *l, const struct ws_target *t)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_GRANT);
	ws_us end = ws_own_fresh_until(o);

#ifdef WS_MUTANT_LEASE_NOT_BOUNDED
	end = now + WS_LEASE_DURATION;
#endif
	e->u.grant.target = l->target;
	e->u.grant.incarnation = l->incarnation;
	e->u.grant.as_of = o->next_offset;
	e->u.grant.not_after_us = not_after(t, end);
	e->u.grant.n_items = l->n_items;
	e->u.grant.items = ws_alloc(l->n_items, sizeof(*l->items));
	if (l->n_items)
		memcpy(e->u.grant.items, l->items,
		       l->n_items * sizeof(*l->items));
	l->seq++;
	l->in_flight = true;
	l->dirty = false;
	l->sent_as_of = o->next_offset;
	l->sent_at = now;
	l->in_flight_until = end;
	l->sent_incarnation = l->incarnation;
	if (end > l->granted_until)
		l->granted_until = end;
}

void own_lease_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		    const struct ws_view *view)
{
	size_t i;

	if (!own_fresh(o, now))
		return;
	sync(o, now, view);
	for (i = 0; i < o->n_leases; i++) {
		struct own_target_lease *l = &o->leases[i];
		const struct ws_target *t;

		if (!grant_due(l, now))
			continue;
		t = ws_view_target(view, l->target);
		if (sample_usable(l, now, t))
			grant(o, fx, now, l, t);
	}
}

void ws_own_grant_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       ws_id target, ws_offset as_of, bool ok)
{
	struct own_target_lease *l = own_lease_find(o, target);

	if (!l || !l->in_flight || as_of != l->sent_as_of)
		return;
	l->in_flight = false;
	if (ok && l->sent_incarnation == l->incarnation) {
		l->acked_seq = l->seq;
		return;
	}
	if (l->in_flight_until > l->unconfirmed_until)
		l->unconfirmed_until = l->in_flight_until + WS_DRIFT_MARGIN;
	l->dirty = true;
	l->retry_at = now + OWN_GRANT_RETRY_DELAY;
	ws_fx_log(fx, WS_LOG_GRANT_REFUSED, target, (int64_t)as_of, 0);
}
