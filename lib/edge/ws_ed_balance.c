#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/ws_ed_lead_int.h"

/*
 * Placement of key ranges on servers, computed from the heat of the ranges and
 * the capacity of the servers.
 */

#define BALANCE_PERIOD (300 * WS_MS)
/*
 * Keys move from a server at or above OVERLOAD_RATIO times its share of the
 * load to one at or below UNDERLOAD_RATIO times its share.
 */
#define OVERLOAD_RATIO 1.3
#define UNDERLOAD_RATIO 0.9
/* Standard deviations of a request count that are attributed to chance. */
#define CHANCE_DEVIATIONS 2.5
/*
 * Limit of concurrent moves of a service: MOVES_MIN plus one for every
 * MOVES_PART servers.
 */
#define MOVES_MIN 3
#define MOVES_PART 8
/* Delay of the first placement, in which the servers register in the store. */
#define FIRST_PLACEMENT_DELAY (2500 * WS_MS)
/* Smallest move worth its cost, as a part of a server's share. */
#define MOVE_HEAT_MIN 0.1
/* A range is not moved again for this time after its state changed. */
#define MOVE_MIN_AGE (1 * WS_SECOND)

/* Without metered customers only: */

/* The first placement waits until no server has registered for this time. */
#define SETTLED_TIME (800 * WS_MS)
#define FIRST_PLACEMENT_MAX (6 * WS_SECOND)
/* Requests counted from which on it waits no longer. */
#define FIRST_REQUESTS 20.0

/* A server that may own keys, with its current load. */
struct candidate {
	uint32_t handle;
	ws_id id;
	double capacity;
	double heat;
	double target; /* its share of all heat, by capacity */
	bool skipped; /* no useful move from it is possible now */
};

struct plan {
	struct candidate *candidates;
	size_t n;
	double total;
	double capacity;
	size_t moving;
};

/* ===== Survey ===== */

static bool may_take_keys(const struct ws_ed_pool *p, ws_us now,
			  uint32_t handle)
{
	const struct ws_ed_server *s = &p->servers[handle];

	return ws_ed_pool_usable(p, now, handle) && s->listed &&
	       now >= s->keys_refused_until;
}

static void add_candidate(struct plan *pl, const struct ws_ed_server *s,
			  uint32_t handle)
{
	struct candidate *candidate = &pl->candidates[pl->n++];

	*candidate = (struct candidate){
		.handle = handle,
		.id = s->id,
		.capacity = (double)s->slots /
			    (s->service_time_factor * s->pace_mean),
	};
	pl->capacity += candidate->capacity;
}

/* Collects the servers that may own keys; cold ones only if cold is set. */
static void collect_candidates(const struct ws_ed_lead *l, ws_us now,
			       ws_id service, struct plan *pl, bool cold)
{
	size_t i;

	pl->n = 0;
	pl->capacity = 0.0;
	for (i = 0; i < l->pool->n; i++) {
		const struct ws_ed_server *s = &l->pool->servers[i];

		if (s->service == service &&
		    may_take_keys(l->pool, now, (uint32_t)i) &&
		    (cold || now >= s->cold_until))
			add_candidate(pl, s, (uint32_t)i);
	}
}

static struct candidate *find_candidate(const struct plan *pl, ws_id server)
{
	size_t i;

	for (i = 0; i < pl->n; i++)
		if (pl->candidates[i].id == server)
			return &pl->candidates[i];
	return NULL;
}

static double heat_of(const struct ws_ed_lead *l, const struct ws_ed_range *r)
{
	return ws_ed_heat_range(l->heat, r->service, r->from, r->to);
}

static void survey(const struct ws_ed_lead *l, ws_us now, ws_id service,
		   struct plan *pl)
{
	size_t i;

	collect_candidates(l, now, service, pl, false);
	if (!pl->n)
		collect_candidates(l, now, service, pl, true);
	pl->total = 0.0;
	pl->moving = 0;
	for (i = 0; i < l->n_ranges; i++) {
		const struct ws_ed_range *r = &l->ranges[i];
		struct candidate *candidate;
		double heat;

		if (r->service != service)
			continue;
		heat = heat_of(l, r);
		pl->total += heat;
		pl->moving += r->state != WS_ED_RANGE_OWNED;
		candidate = find_candidate(pl, r->server);
		if (candidate && r->state != WS_ED_RANGE_FREE)
			candidate->heat += heat;
	}
	for (i = 0; i < pl->n; i++)
		pl->candidates[i].target =
			pl->total * pl->candidates[i].capacity / pl->capacity;
}

bool ws_ed_balance_has_candidate(const struct ws_ed_lead *l, ws_us now,
				 ws_id service)
{
	size_t i;

	for (i = 0; i < l->pool->n; i++)
		if (l->pool->servers[i].service == service &&
		    may_take_keys(l->pool, now, (uint32_t)i))
			return true;
	return false;
}

/* ===== Coverage ===== */

static int compare_ranges(const void *a, const void *b)
{
	const struct ws_ed_range *x = a;
	const struct ws_ed_range *y = b;

	if (x->service != y->service)
		return x->service < y->service ? -1 : 1;
	return (x->from > y->from) - (x->from < y->from);
}

static void add_free_range(struct ws_ed_lead *l, ws_us now, ws_id service,
			   uint32_t from, uint32_t to)
{
	struct ws_ed_range *r = ws_ed_range_add(l);

	r->service = service;
	r->from = from;
	r->to = to;
	r->state = WS_ED_RANGE_FREE;
	r->changed_at = now;
}

/* Adds free ranges for the keys of a service that are in no range. */
static void add_uncovered(struct ws_ed_lead *l, ws_us now, ws_id service)
{
	uint32_t next = 0;
	size_t n = l->n_ranges;
	size_t i;

	if (n)
		qsort(l->ranges, n, sizeof(*l->ranges), compare_ranges);
	for (i = 0; i < n; i++) {
		const struct ws_ed_range *r = &l->ranges[i];
		uint32_t from = r->from;
		uint32_t to = r->to;

		if (r->service != service)
			continue;
		if (from > next)
			add_free_range(l, now, service, next, from - 1);
		next = to + 1;
	}
	if (next < WS_ED_KEYS)
		add_free_range(l, now, service, next, WS_ED_KEYS - 1);
}

/* Whether a server may hold the keys of a range. */
static bool may_be_held(const struct ws_ed_range *r)
{
	return r->state == WS_ED_RANGE_OWNED ||
	       r->state == WS_ED_RANGE_RELEASING;
}

/*
 * Drops ranges of services that are not sharded. Keys that a server may hold
 * are released first. A service that is not configured may be one of a newer
 * configuration, so its leases go on as long as its servers are listed.
 */
static void drop_unsharded(struct ws_ed_lead *l, ws_us now)
{
	size_t i = 0;

	while (i < l->n_ranges) {
		struct ws_ed_range *r = &l->ranges[i];
		const struct ws_ed_service *s =
			ws_ed_conf_service(l->conf, r->service);

		if (!(s && s->sharded) && !may_be_held(r)) {
			*r = l->ranges[--l->n_ranges];
			continue;
		}
		if (s && !s->sharded && r->state == WS_ED_RANGE_OWNED &&
		    !r->inherited && ws_ed_lead_may_move(l, now))
			ws_ed_range_start_release(r, now);
		i++;
	}
}

/* ===== Free ranges ===== */

static struct candidate *least_loaded(const struct plan *pl)
{
	struct candidate *best = NULL;
	size_t i;

	for (i = 0; i < pl->n; i++) {
		struct candidate *s = &pl->candidates[i];

		if (!best ||
		    s->heat / s->capacity < best->heat / best->capacity)
			best = s;
	}
	return best;
}

static void assign(struct ws_ed_lead *l, struct ws_ed_range *r,
		   struct candidate *candidate, ws_us now)
{
	ws_ed_range_set_server(r, &l->pool->servers[candidate->handle]);
	r->state = WS_ED_RANGE_PROPOSED;
	r->changed_at = now;
	r->failures = 0;
	r->lease_end = 0;
	r->unconfirmed_until = 0;
	candidate->heat += heat_of(l, r);
	l->moves++;
}

/* Assigns a free range to the least loaded server; splits it if too hot. */
static void place_free(struct ws_ed_lead *l, size_t index, struct plan *pl,
		       ws_us now)
{
	struct candidate *candidate = least_loaded(pl);
	struct ws_ed_range *r = &l->ranges[index];
	double heat = heat_of(l, r);
	double room;

	if (!candidate)
		return;
	room = candidate->target - candidate->heat;
	if (room < MOVE_HEAT_MIN * candidate->target)
		room = MOVE_HEAT_MIN * candidate->target;
	if (heat > room * 1.2 && r->from < r->to) {
		ws_ed_range_split(l, index,
				  ws_ed_heat_split(l->heat, r->service, r->from,
						   r->to, room));
		r = &l->ranges[index];
	}
	assign(l, r, candidate, now);
}

static void place_all_free(struct ws_ed_lead *l, ws_id service, struct plan *pl,
			   ws_us now)
{
	size_t i;

	/* A split appends its second part, so the loop reaches it as well. */
	for (i = 0; i < l->n_ranges; i++)
		if (l->ranges[i].service == service &&
		    l->ranges[i].state == WS_ED_RANGE_FREE)
			place_free(l, i, pl, now);
}

/* ===== Rebalancing ===== */

static double ratio_of(const struct candidate *s)
{
	return s->target > 0.0 ? s->heat / s->target : 0.0;
}

/* Above its share by more than chance; heat is a decayed request count. */
static bool is_over(const struct candidate *s)
{
	return ratio_of(s) >= OVERLOAD_RATIO &&
	       s->heat - s->target > CHANCE_DEVIATIONS * sqrt(s->target);
}

static bool is_movable(const struct ws_ed_range *r, ws_us now)
{
	return r->state == WS_ED_RANGE_OWNED && !r->ref && !r->inherited &&
	       r->lease_end > now && now - r->changed_at >= MOVE_MIN_AGE;
}

/* Index of the hottest movable range of a server; n_ranges if there is none. */
static size_t hottest_movable(const struct ws_ed_lead *l, ws_id service,
			      ws_id server, ws_us now)
{
	size_t best = l->n_ranges;
	double best_heat = 0.0;
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		const struct ws_ed_range *r = &l->ranges[i];
		double heat;

		if (r->service != service || r->server != server ||
		    !is_movable(r, now))
			continue;
		heat = heat_of(l, r);
		if (heat > best_heat) {
			best_heat = heat;
			best = i;
		}
	}
	return best;
}

/* Starts the move of about the wanted heat from an overloaded server. */
static bool move_part(struct ws_ed_lead *l, ws_id service,
		      struct candidate *over, double wanted, ws_us now)
{
	size_t i = hottest_movable(l, service, over->id, now);
	struct ws_ed_range *r;
	uint32_t last;

	if (i == l->n_ranges)
		return false;
	r = &l->ranges[i];
	if (heat_of(l, r) > wanted * 1.3 && r->from < r->to) {
		last = ws_ed_heat_split(l->heat, service, r->from, r->to,
					wanted);
		/* Moving one key much hotter than wanted would not help. */
		if (ws_ed_heat_range(l->heat, service, r->from, last) >
		    2.0 * wanted)
			return false;
		ws_ed_range_split(l, i, last);
		r = &l->ranges[i];
	}
	over->heat -= heat_of(l, r);
	ws_ed_range_start_release(r, now);
	return true;
}

/* The server furthest above its share that still has movable ranges. */
static struct candidate *most_loaded(const struct plan *pl)
{
	struct candidate *best = NULL;
	size_t i;

	for (i = 0; i < pl->n; i++) {
		struct candidate *s = &pl->candidates[i];

		if (!s->skipped && is_over(s) &&
		    (!best || ratio_of(s) > ratio_of(best)))
			best = s;
	}
	return best;
}

/*
 * Adjacent hot keys may overload several servers at once. A server whose keys
 * cannot be moved now is skipped, so that it does not delay the others.
 */
static void rebalance(struct ws_ed_lead *l, ws_id service, struct plan *pl,
		      ws_us now)
{
	while (ws_ed_lead_may_move(l, now) &&
	       pl->moving < MOVES_MIN + pl->n / MOVES_PART && pl->n > 1) {
		struct candidate *over = most_loaded(pl);
		struct candidate *under = least_loaded(pl);
		double excess;
		double room;
		double wanted;

		if (!over || ratio_of(under) > UNDERLOAD_RATIO)
			return;
		excess = over->heat - over->target;
		room = under->target - under->heat;
		wanted = excess < room ? excess : room;
		if (wanted < MOVE_HEAT_MIN * over->target ||
		    !move_part(l, service, over, wanted, now)) {
			over->skipped = true;
			continue;
		}
		under->heat += wanted;
		pl->moving++;
	}
}

/* Whether servers still register, and no requests have arrived yet. */
static bool is_filling(const struct ws_ed_lead *l, ws_us now, ws_id service)
{
	const uint32_t buckets = WS_ED_BUCKETS;
	double idle = buckets * WS_ED_HEAT_FLOOR;
	size_t i;

	if (now >= l->started + FIRST_PLACEMENT_MAX ||
	    ws_ed_heat_range(l->heat, service, 0, WS_ED_KEYS - 1) >
		    idle + FIRST_REQUESTS)
		return false;
	for (i = 0; i < l->pool->n; i++) {
		const struct ws_ed_server *s = &l->pool->servers[i];

		if (s->service == service && s->listed &&
		    now - s->known_since < SETTLED_TIME)
			return true;
	}
	return false;
}

/*
 * Keys that were placed on the servers known so far would have to be moved to
 * the others under load.
 */
static bool is_first_placement_early(const struct ws_ed_lead *l, ws_us now)
{
	size_t i;

	if (l->map.n)
		return false;
	if (now < l->started + FIRST_PLACEMENT_DELAY)
		return true;
	for (i = 0; l->pool->unmetered && i < l->conf->n_services; i++)
		if (l->conf->services[i].sharded &&
		    is_filling(l, now, l->conf->services[i].id))
			return true;
	return false;
}

void ws_ed_balance_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	struct plan pl = { NULL, 0, 0.0, 0.0, 0 };
	size_t i;

	(void)fx;
	if (!l->conf || now < l->next_balance)
		return;
	if (is_first_placement_early(l, now))
		return;
	l->next_balance = now + BALANCE_PERIOD;
	drop_unsharded(l, now);
	pl.candidates = ws_alloc(l->pool->n + 1, sizeof(*pl.candidates));
	for (i = 0; i < l->conf->n_services; i++) {
		const struct ws_ed_service *s = &l->conf->services[i];

		if (!s->sharded)
			continue;
		add_uncovered(l, now, s->id);
		survey(l, now, s->id, &pl);
		if (!pl.n)
			continue;
		place_all_free(l, s->id, &pl, now);
		rebalance(l, s->id, &pl, now);
	}
	free(pl.candidates);
}
