#include "core/ws_route_int.h"

#include <string.h>

/*
 * The own zone is left when its load per limit is above factor * mean + slack
 * (1/1000), so that preferring it does not unbalance the targets by more than
 * the 10 % that the design page allows.
 */
#define ZONE_LOADED_FACTOR_PERMILLE 1050
#define ZONE_LOADED_SLACK 5

struct zone_load {
	uint64_t own_util;
	uint64_t all_util;
	size_t n_own;
	size_t n_all;
	size_t n_own_good;
};

bool ws_route_is_usable(const struct ws_view *view, ws_id target)
{
	const struct ws_target *t = ws_view_target(view, target);

#ifdef WS_MUTANT_CHOOSE_LEAVING
	return t != NULL;
#endif
	return t && ws_view_usable(view, t);
}

static bool tried(const struct ws_route_call *c, ws_id target)
{
	size_t i;

	for (i = 0; i < c->n_tried; i++)
		if (c->tried[i] == target)
			return true;
	return false;
}

static bool is_candidate(const struct ws_route_call *c,
			 const struct ws_view *view, const struct ws_target *t)
{
	if (t->service != c->call.service || tried(c, t->id))
		return false;
#ifdef WS_MUTANT_CHOOSE_LEAVING
	return true;
#endif
	return ws_view_usable(view, t);
}

static uint16_t slots_of(const struct ws_view *view, ws_id service)
{
	const struct ws_service *svc = ws_bundle_service(view->bundle, service);

	return svc ? svc->slots : 1;
}

static void add_candidate(struct ws_route *r, size_t n, uint32_t est,
			  const struct ws_svc_est *s, uint16_t slots)
{
	const struct ws_est *t = &r->ests.targets[est];
	struct ws_candidate *c;

	ws_grow(&r->candidates, &r->cap_candidates, n + 1,
		sizeof(*r->candidates));
	ws_grow(&r->candidate_ests, &r->cap_candidate_ests, n + 1,
		sizeof(*r->candidate_ests));
	c = &r->candidates[n];
	c->target = t->target;
	c->cost = ws_ests_cost(t, s, r->now, slots);
	c->in_flight = ws_ests_load(t, r->now);
	c->last_pick = t->last_pick;
	c->slow = ws_ests_slow(t, s, r->now);
	c->full = c->in_flight >= ws_ests_limit(t, r->now, slots);
	r->candidate_ests[n] = est;
}

static void count_zone(struct zone_load *z, const struct ws_est *t,
		       bool own_zone, bool slow)
{
	z->n_all++;
	z->all_util += t->utilization;
	if (!own_zone)
		return;
	z->n_own++;
	z->own_util += t->utilization;
	z->n_own_good += !slow;
}

/* Lists the candidates, those of the own zone first. */
static size_t list_candidates(struct ws_route *r, const struct ws_route_call *c,
			      const struct ws_view *view, struct zone_load *z)
{
	struct ws_svc_est *s = ws_ests_service(&r->ests, c->call.service);
	uint16_t slots = slots_of(view, c->call.service);
	size_t n = 0;
	size_t i;
	int pass;

	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < view->n_targets; i++) {
			const struct ws_target *t = &view->targets[i];
			bool own = t->zone == view->self_zone;
			uint32_t est;

			if (own != (pass == 0) || !is_candidate(c, view, t))
				continue;
			est = ws_ests_target(&r->ests, t->id, t->service);
			add_candidate(r, n, est, s, slots);
			count_zone(z, &r->ests.targets[est], own,
				   r->candidates[n].slow);
			n++;
		}
	}
	return n;
}

static bool zone_loaded(const struct zone_load *z)
{
	uint64_t own;
	uint64_t all;

	if (!z->n_own_good)
		return true;
	own = z->own_util / z->n_own;
	all = z->all_util / z->n_all;
	return own >
	       all * ZONE_LOADED_FACTOR_PERMILLE / 1000 + ZONE_LOADED_SLACK;
}

/* A slow candidate that should be tried again now, or n. */
static size_t find_probe(struct ws_route *r, const struct ws_route_call *c,
			 size_t n)
{
	struct ws_svc_est *s = ws_ests_service(&r->ests, c->call.service);
	/* Calls that cannot be hedged leave the first chance to others. */
	uint32_t need = WS_EST_PROBE_CALLS * (c->call.idempotent ? 1 : 2);
	size_t i;

	if (s->probe_credit < need || c->n_tried)
		return n;
	for (i = 0; i < n; i++) {
		const struct ws_est *t = &r->ests.targets[r->candidate_ests[i]];

		if (!ws_ests_probe_due(t, s, r->now))
			continue;
		s->probe_credit -= WS_EST_PROBE_CALLS;
		return i;
	}
	return n;
}

/* The policy's choice among the first n candidates. */
static size_t pick(struct ws_route *r, size_t n)
{
	return r->picker->ops->choose(r->picker, r->candidates, n);
}

/*
 * The own zone first; the others when it is loaded in the mean, or when the
 * target chosen in it has no free slot now.
 */
static size_t pick_by_zone(struct ws_route *r, const struct zone_load *z,
			   size_t n)
{
	size_t at;

	if (zone_loaded(z))
		return pick(r, n);
	at = pick(r, z->n_own);
	if (!r->candidates[at].full || z->n_own == n)
		return at;
	return pick(r, n);
}

ws_id ws_route_choose(struct ws_route *r, const struct ws_route_call *c,
		      const struct ws_view *view)
{
	struct zone_load z = { .n_all = 0 };
	size_t n = list_candidates(r, c, view, &z);
	size_t at;

	if (!n)
		return 0;
	at = find_probe(r, c, n);
	if (at == n)
		at = pick_by_zone(r, &z, n);
	r->ests.targets[r->candidate_ests[at]].last_pick = ++r->ests.n_picks;
	return r->candidates[at].target;
}
