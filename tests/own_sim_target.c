#include "own_sim_internal.h"

#include <stdlib.h>
#include <string.h>

/* ===== Events at the log and at targets ===== */

static void log_read(struct sim *s, struct ev *e)
{
	int zone = s->nodes[e->node].zone;
	struct ev *r;

	if (sim_log_reachable(s, zone) && e->lo >= s->head &&
	    s->now < e->give_up) {
		sim_repush(s, e, s->now + 2 * WS_MS);
		return;
	}
	r = sim_push_from(s, &s->nodes[e->node], EV_LOG_PAGE,
			  sim_message_delay(s));
	r->node_id = e->node_id;
	r->ok = sim_log_reachable(s, zone);
	if (!r->ok)
		r->at += 100 * WS_MS;
	r->started = e->started;
	r->oldest = s->oldest;
	r->lo = e->lo < s->oldest ? s->oldest : e->lo;
	r->hi = s->head;
	if (e->lo >= s->oldest && r->hi > r->lo + PAGE)
		r->hi = r->lo + PAGE;
	r->unknown = r->hi == s->head; /* the page reaches the head */
	sim_event_free(e);
}

static struct ev *target_answer(struct sim *s, struct ev *e, uint8_t kind)
{
	struct ev *r = sim_push_from(s, &s->nodes[e->node], kind,
				     sim_message_delay(s));

	r->node_id = e->node_id;
	r->target = e->target;
	if (sim_chance(s, 15) || r->at > e->give_up ||
	    !sim_zones_connected(s, s->nodes[e->node].zone,
				 s->targets[e->target].zone)) {
		r->at = r->at > e->give_up ? r->at : e->give_up;
		r->ok = false;
		return r;
	}
	r->ok = true;
	r->incarnation = s->targets[e->target].incarnation;
	r->clock = sim_target_clock(s, &s->targets[e->target]);
	return r;
}

static bool reachable(struct sim *s, const struct ev *e)
{
	return s->targets[e->target].up &&
	       sim_zones_connected(s, s->nodes[e->node].zone,
				   s->targets[e->target].zone);
}

static void target_grant(struct sim *s, struct ev *e)
{
	struct target *t = &s->targets[e->target];
	bool ok = reachable(s, e);
	struct ev *r;

	if (ok && (e->grant.u.grant.incarnation != t->incarnation ||
		   e->grant.u.grant.as_of < t->as_of))
		ok = false;
	if (ok) {
		WS_INVARIANT(e->grant.u.grant.n_items <= LEASE_ITEMS);
		t->as_of = e->grant.u.grant.as_of;
		t->not_after = e->grant.u.grant.not_after_us;
		t->n_items = e->grant.u.grant.n_items;
		memcpy(t->items, e->grant.u.grant.items,
		       t->n_items * sizeof(*t->items));
	}
	r = target_answer(s, e, EV_GRANTED);
	r->ok = r->ok && ok;
	r->hi = e->grant.u.grant.as_of;
	sim_event_free(e);
}

static void target_probe(struct sim *s, struct ev *e)
{
	struct ev *r = target_answer(s, e, EV_PROBED);

	r->ok = r->ok && reachable(s, e);
	sim_event_free(e);
}

void sim_run_event(struct sim *s, struct ev *e)
{
	struct target *t = &s->targets[e->target];
	struct node *n = &s->nodes[e->node];

	if (e->kind == EV_APPEND) {
		if (s->now < s->log_down_until) {
			sim_repush(s, e, s->log_down_until);
			return;
		}
		sim_log_append(s, e->rec);
		sim_event_free(e);
	} else if (e->kind == EV_LOG_READ) {
		log_read(s, e);
	} else if (e->kind == EV_GRANT || e->kind == EV_PROBE) {
		/* A frozen target handles what it received on resuming. */
		if (t->up && s->now < t->frozen_until)
			sim_repush(s, e, t->frozen_until);
		else if (e->kind == EV_GRANT)
			target_grant(s, e);
		else
			target_probe(s, e);
	} else if (!n->up || n->id != e->node_id) {
		sim_event_free(e);
	} else if (s->now < n->paused_until) {
		sim_repush(s, e, n->paused_until);
	} else {
		sim_node_event(s, e);
		sim_event_free(e);
	}
}
