#include "core/ws_own_internal.h"

#include <stdlib.h>

/* Proposals for what has no holder or a lost one, and their activation. */

/* ===== Loss ===== */

bool own_instance_lost(const struct ws_view *view, ws_id id)
{
	const struct ws_instance *x = ws_view_instance(view, id);

	return !x || !x->alive;
}

/*
 * A target's silence counts only after a live dispatcher has had the time to
 * probe it; the silence may be that of its former dispatcher.
 */
static bool silence_counts(const struct ws_own *o, ws_us now,
			   const struct ws_view *view, ws_id target)
{
	const struct own_entry *d = own_find_dispatch(o, target);

	return d && !own_instance_lost(view, d->a.holder.id) &&
	       now - d->applied_at >= OWN_PROBE_GRACE;
}

/*
 * A new dispatcher that took over and has had no answer from the target since
 * then does not wait for the full time that counts as loss: it would come on
 * top of the time in which the former dispatcher was found to be lost.
 */
static bool no_answer_yet(const struct ws_own *o, ws_us now,
			  const struct ws_target *t)
{
	const struct own_entry *d = own_find_dispatch(o, t->id);

	if (!d || d->a.holder.id != o->self)
		return false;
	if (d->a.active && !d->a.takeover_wall_ms)
		return false;
	return now - d->applied_at >= OWN_FIRST_PROBE_TIMEOUT &&
	       t->clock_local < d->applied_at;
}

bool own_target_lost(const struct ws_own *o, ws_us now,
		     const struct ws_view *view, const struct ws_holder *h)
{
	const struct ws_target *t = ws_view_target(view, h->id);

	if (!t)
		return true;
	if (t->incarnation && t->incarnation != h->incarnation)
		return true;
	if (no_answer_yet(o, now, t))
		return true;
	return t->state == WS_STATE_LOST && silence_counts(o, now, view, h->id);
}

/* ===== Permission to propose ===== */

/*
 * An instance that is cut off from the others, but not from the log, would
 * take everything away from them. So it must hear holders of a majority of
 * partitions, unless that has been impossible for the outage limit.
 */
static bool majority_alive(const struct ws_own *o, const struct ws_view *view)
{
	size_t votes = 0;
	size_t i;

	for (i = 0; i < o->n_partitions; i++) {
		ws_id id = own_voter_of(&o->entries[o->partitions[i]]);

		if (own_is_gone(o, id) || !own_instance_lost(view, id))
			votes++;
	}
	return !o->n_partitions || votes * 2 > o->n_partitions;
}

static bool may_take_over(struct ws_own *o, ws_us now,
			  const struct ws_view *view)
{
	if (majority_alive(o, view)) {
		o->no_majority_since = 0;
		return true;
	}
	if (!o->no_majority_since)
		o->no_majority_since = now;
	return now - o->no_majority_since >= OWN_OUTAGE_LIMIT;
}

static bool self_eligible(const struct ws_own *o, const struct ws_view *view)
{
	const struct ws_instance *x = ws_view_instance(view, o->self);

	return x && ws_view_eligible(view, x) && !o->draining;
}

/* ===== Proposals ===== */

static bool my_turn(struct ws_own *o, ws_us now, const struct ws_view *view,
		    uint64_t topic, bool work)
{
	struct own_task *t = own_task(o, topic);

	if (!work) {
		t->needed_since = 0;
		return false;
	}
	if (!t->needed_since)
		t->needed_since = now;
	return now - t->needed_since >=
	       own_task_rank(o, view, topic) * OWN_RANK_DELAY;
}

/* The dispatcher of a lost target knows first and need not wait its turn. */
static bool by_dispatcher(const struct ws_own *o, const struct ws_assignment *a)
{
	const struct own_entry *d;

	if (!a || a->res.kind < WS_RES_SHARD)
		return false;
	d = own_find_dispatch(o, a->holder.id);
	return d && d->a.holder.id == o->self;
}

/*
 * A takeover under way gets the time to be activated, else two instances that
 * do not see the same members could take it from each other for ever.
 */
static bool wanted(const struct ws_own *o, ws_us now, const struct own_plan *p,
		   size_t i)
{
	const struct own_entry *e = own_find_entry(o, &p->res[i]);

	if (!e)
		return true;
	if (p->status[i] != OWN_LOST || !o->takeover_allowed)
		return false;
	return e->a.active || now - e->applied_at >= OWN_TAKEOVER_RETRY_DELAY;
}

static void flush(struct ws_own *o, struct ws_fx *fx, ws_us now, uint64_t topic,
		  struct ws_record *rec)
{
	if (!rec->n_items)
		return;
	ws_fx_log(fx, WS_LOG_ASSIGN_PROPOSED, o->self, (int64_t)rec->n_items,
		  0);
	own_append_for_task(o, fx, now, own_task(o, topic), rec);
	*rec = (struct ws_record){ .kind = WS_REC_ASSIGN };
}

static void propose_plan(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 const struct ws_view *view, struct own_plan *p,
			 uint64_t topic)
{
	struct ws_record rec = { .kind = WS_REC_ASSIGN };
	size_t cap = 0;
	size_t n = 0;
	size_t i;
	bool turn;

	for (i = 0; i < p->n; i++)
		n += wanted(o, now, p, i);
	turn = my_turn(o, now, view, topic, n);
	if (!n || own_task(o, topic)->appends_in_flight)
		return;
	for (i = 0; i < p->n; i++) {
		const struct ws_assignment *a = ws_own_find(o, &p->res[i]);

		if (!wanted(o, now, p, i) || !(turn || by_dispatcher(o, a)))
			continue;
		ws_grow(&rec.items, &cap, rec.n_items + 1, sizeof(*rec.items));
		rec.items[rec.n_items++] = (struct ws_assign_item){
			.res = p->res[i],
			.expected_fence = a ? a->fence : 0,
			.holder = p->bins.holders[p->items[i].to],
		};
		if (rec.n_items < OWN_RECORD_ITEMS_MAX ||
		    p->res[i].kind == WS_RES_PARTITION)
			continue;
		flush(o, fx, now, topic, &rec);
		cap = 0;
	}
	flush(o, fx, now, topic, &rec);
}

ws_us own_replan_period(const struct ws_own *o)
{
	return OWN_REPLAN_PERIOD +
	       (ws_us)o->n_entries * OWN_REPLAN_PERIOD_PER_ENTRY;
}

static bool scan_due(const struct ws_own *o, ws_us now)
{
	if (o->table_version != o->planned_table_version ||
	    o->view_hash != o->planned_view_hash)
		return true;
	return (o->proposals_left || o->n_pending) &&
	       now - o->planned_at >= own_replan_period(o);
}

void own_propose_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		      const struct ws_view *view)
{
	if (!own_may_plan(o, now, view) || !self_eligible(o, view))
		return;
	o->takeover_allowed = may_take_over(o, now, view);
	if (!scan_due(o, now))
		return;
	o->planned_table_version = o->table_version;
	o->planned_view_hash = o->view_hash;
	o->planned_at = now;
	o->proposals_left = false;
	own_plan_all(o, fx, now, view, false, false, propose_plan);
}

/* ===== Activation ===== */

static unsigned activation_rank(const struct ws_own *o,
				const struct ws_view *view,
				const struct own_pending *p)
{
	const struct ws_instance *w = ws_view_instance(view, p->writer);

	if (p->writer == o->self)
		return 0;
	return own_task_rank(o, view, p->offset) + (w && w->alive);
}

static bool may_activate(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 struct own_pending *p)
{
	if (now - p->folded_at >= OWN_OUTAGE_LIMIT + OWN_OUTAGE_DRIFT +
					  WS_LEASE_DURATION + WS_DRIFT_MARGIN)
		return true;
	if (!p->majority_applied_at) {
		if (!own_majority_applied(o, p->offset)) {
			own_start_round(o, fx, now,
					OWN_ACTIVATION_ROUND_PERIOD);
			return false;
		}
		p->majority_applied_at = now;
	}
#ifdef WS_MUTANT_LEASE_WAIT_SKIPPED
	return true;
#endif
	return now - p->majority_applied_at >=
	       WS_LEASE_DURATION + WS_DRIFT_MARGIN;
}

static void activate(struct ws_own *o, struct ws_fx *fx, ws_us now,
		     struct own_pending *p)
{
	struct ws_record rec = { .kind = WS_REC_ACTIVATE,
				 .target_offset = p->offset };

	p->appended_at = now;
	own_append(o, fx, &rec);
}

void own_activate_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       const struct ws_view *view)
{
	size_t i;

	for (i = 0; i < o->n_pending; i++) {
		struct own_pending *p = &o->pending[i];

		if (now - p->folded_at <
		    activation_rank(o, view, p) * OWN_RANK_DELAY)
			continue;
		if (!may_activate(o, fx, now, p))
			continue;
		if (!p->appended_at ||
		    now - p->appended_at >= OWN_APPEND_TIMEOUT)
			activate(o, fx, now, p);
	}
}
