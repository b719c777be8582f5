#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/ws_ed_lead_int.h"

/*
 * Placement of keys: which server gets which range. Work on pure numbers: the
 * heat of ranges and the capacity of servers.
 */

#define BALANCE_PERIOD (300 * WS_MS)
/* A server this much above its share gives, one this much below it takes. */
#define OVER 1.3
#define UNDER 0.9
/* Deviations of a count that are taken for chance. */
#define CHANCE 2.5
/* Ranges on the move at the same time, of one service: a few, and a part of
 * the servers. */
#define MOVES_MIN 3
#define MOVES_PART 8
/* The first placement waits until the servers have listed themselves. */
#define FIRST_WAIT (2500 * WS_MS)
/* Parts smaller than this share of a server's load are not worth a move. */
#define PART_MIN 0.1
/* A range is left alone for this time after it has changed hands. */
#define MOVE_AGE (1 * WS_SECOND)

/* A server that may be given keys, with what it has. */
struct site {
	uint32_t handle;
	ws_id id;
	double capacity;
	double heat;
	double target; /* its part of all heat */
	bool settled; /* nothing of it can be moved now */
};

struct plan {
	struct site *sites;
	size_t n;
	double total;
	double capacity;
	size_t moving;
};

/* ===== Survey ===== */

static bool may_take_keys(const struct ws_ed_pool *p, ws_us now, uint32_t h)
{
	const struct ws_ed_server *s = &p->servers[h];

	return ws_ed_pool_usable(p, now, h) && s->listed &&
	       now >= s->keys_refused_until;
}

static void add_site(struct plan *pl, const struct ws_ed_server *s, uint32_t h)
{
	struct site *site = &pl->sites[pl->n++];

	*site = (struct site){
		.handle = h,
		.id = s->id,
		.capacity = (double)s->slots / (s->speed * s->pace_mean),
	};
	pl->capacity += site->capacity;
}

/* Cold servers are left out unless there are no others. */
static void collect_sites(const struct ws_ed_lead *l, ws_us now, ws_id service,
			  struct plan *pl, bool cold)
{
	size_t i;

	pl->n = 0;
	pl->capacity = 0.0;
	for (i = 0; i < l->pool->n; i++) {
		const struct ws_ed_server *s = &l->pool->servers[i];

		if (s->service == service &&
		    may_take_keys(l->pool, now, (uint32_t)i) &&
		    (cold || now >= s->cold_until))
			add_site(pl, s, (uint32_t)i);
	}
}

static struct site *find_site(const struct plan *pl, ws_id server)
{
	size_t i;

	for (i = 0; i < pl->n; i++)
		if (pl->sites[i].id == server)
			return &pl->sites[i];
	return NULL;
}

static double heat_of(const struct ws_ed_lead *l, const struct ws_ed_range *h)
{
	return ws_ed_heat_range(l->heat, h->service, h->from, h->to);
}

static void survey(const struct ws_ed_lead *l, ws_us now, ws_id service,
		   struct plan *pl)
{
	size_t i;

	collect_sites(l, now, service, pl, false);
	if (!pl->n)
		collect_sites(l, now, service, pl, true);
	pl->total = 0.0;
	pl->moving = 0;
	for (i = 0; i < l->n_ranges; i++) {
		const struct ws_ed_range *h = &l->ranges[i];
		struct site *site;
		double heat;

		if (h->service != service)
			continue;
		heat = heat_of(l, h);
		pl->total += heat;
		pl->moving += h->state != WS_EDR_OWNED;
		site = find_site(pl, h->server);
		if (site && h->state != WS_EDR_FREE)
			site->heat += heat;
	}
	for (i = 0; i < pl->n; i++)
		pl->sites[i].target =
			pl->total * pl->sites[i].capacity / pl->capacity;
}

/* ===== Coverage ===== */

static int by_from(const void *a, const void *b)
{
	const struct ws_ed_range *x = a;
	const struct ws_ed_range *y = b;

	if (x->service != y->service)
		return x->service < y->service ? -1 : 1;
	return (x->from > y->from) - (x->from < y->from);
}

static void add_free(struct ws_ed_lead *l, ws_us now, ws_id service,
		     uint32_t from, uint32_t to)
{
	struct ws_ed_range *h = ws_ed_range_add(l);

	h->service = service;
	h->from = from;
	h->to = to;
	h->state = WS_EDR_FREE;
	h->changed_at = now;
}

/* Adds free holds for the keys of a service that nobody has yet. */
static void cover(struct ws_ed_lead *l, ws_us now, ws_id service)
{
	uint32_t next = 0;
	size_t n = l->n_ranges;
	size_t i;

	if (n)
		qsort(l->ranges, n, sizeof(*l->ranges), by_from);
	for (i = 0; i < n; i++) {
		const struct ws_ed_range *h = &l->ranges[i];
		uint32_t from = h->from;
		uint32_t to = h->to;

		if (h->service != service)
			continue;
		if (from > next)
			add_free(l, now, service, next, from - 1);
		next = to + 1;
	}
	if (next < WS_ED_KEYS)
		add_free(l, now, service, next, WS_ED_KEYS - 1);
}

static void drop_unsharded(struct ws_ed_lead *l)
{
	size_t i = 0;

	while (i < l->n_ranges) {
		const struct ws_ed_service *s =
			ws_ed_conf_service(l->conf, l->ranges[i].service);

		if (s && s->sharded)
			i++;
		else
			l->ranges[i] = l->ranges[--l->n_ranges];
	}
}

/* ===== Free ranges ===== */

static struct site *least_loaded(const struct plan *pl)
{
	struct site *best = NULL;
	size_t i;

	for (i = 0; i < pl->n; i++) {
		struct site *s = &pl->sites[i];

		if (!best ||
		    s->heat / s->capacity < best->heat / best->capacity)
			best = s;
	}
	return best;
}

static void choose(struct ws_ed_lead *l, struct ws_ed_range *h,
		   struct site *site, ws_us now)
{
	ws_ed_range_set_server(h, &l->pool->servers[site->handle]);
	h->state = WS_EDR_PROPOSED;
	h->changed_at = now;
	h->failures = 0;
	h->lease_end = 0;
	h->unconfirmed_until = 0;
	site->heat += heat_of(l, h);
	l->moves++;
}

/* Gives a free range away, cut in parts if it is too much for one server. */
static void place_free(struct ws_ed_lead *l, size_t index, struct plan *pl,
		       ws_us now)
{
	struct site *site = least_loaded(pl);
	struct ws_ed_range *h = &l->ranges[index];
	double heat = heat_of(l, h);
	double room;

	if (!site)
		return;
	room = site->target - site->heat;
	if (room < PART_MIN * site->target)
		room = PART_MIN * site->target;
	if (heat > room * 1.2 && h->from < h->to) {
		ws_ed_range_split(l, index,
				  ws_ed_heat_split(l->heat, h->service, h->from,
						   h->to, room));
		h = &l->ranges[index];
	}
	choose(l, h, site, now);
}

static void place_all_free(struct ws_ed_lead *l, ws_id service, struct plan *pl,
			   ws_us now)
{
	size_t i;

	/* Splitting appends, so that the parts are reached as well. */
	for (i = 0; i < l->n_ranges; i++)
		if (l->ranges[i].service == service &&
		    l->ranges[i].state == WS_EDR_FREE)
			place_free(l, i, pl, now);
}

/* ===== Evening out ===== */

static double ratio_of(const struct site *s)
{
	return s->target > 0.0 ? s->heat / s->target : 0.0;
}

/* Beyond its share by more than chance: heat is a count of requests. */
static bool is_over(const struct site *s)
{
	return ratio_of(s) >= OVER &&
	       s->heat - s->target > CHANCE * sqrt(s->target);
}

static bool is_quiet(const struct ws_ed_range *h, ws_us now)
{
	return h->state == WS_EDR_OWNED && !h->ref && !h->inherited &&
	       h->lease_end > now && now - h->changed_at >= MOVE_AGE;
}

/* The hottest range of a server that may be moved; n_holds if there is none. */
static size_t hottest(const struct ws_ed_lead *l, ws_id service, ws_id server,
		      ws_us now)
{
	size_t best = l->n_ranges;
	double best_heat = 0.0;
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		const struct ws_ed_range *h = &l->ranges[i];
		double heat;

		if (h->service != service || h->server != server ||
		    !is_quiet(h, now))
			continue;
		heat = heat_of(l, h);
		if (heat > best_heat) {
			best_heat = heat;
			best = i;
		}
	}
	return best;
}

/* Takes a part of about the wanted heat from an overloaded server. */
static bool take_part(struct ws_ed_lead *l, ws_id service, struct site *over,
		      double wanted, ws_us now)
{
	size_t i = hottest(l, service, over->id, now);
	struct ws_ed_range *h;
	uint32_t last;

	if (i == l->n_ranges)
		return false;
	h = &l->ranges[i];
	if (heat_of(l, h) > wanted * 1.3 && h->from < h->to) {
		last = ws_ed_heat_split(l->heat, service, h->from, h->to,
					wanted);
		/* One key that is hotter than the part wanted gains nothing. */
		if (ws_ed_heat_range(l->heat, service, h->from, last) >
		    2.0 * wanted)
			return false;
		ws_ed_range_split(l, i, last);
		h = &l->ranges[i];
	}
	over->heat -= heat_of(l, h);
	ws_ed_range_start_release(h, now);
	return true;
}

/* The server furthest beyond its share from which keys may be taken. */
static struct site *most_loaded(const struct plan *pl)
{
	struct site *best = NULL;
	size_t i;

	for (i = 0; i < pl->n; i++) {
		struct site *s = &pl->sites[i];

		if (!s->settled && is_over(s) &&
		    (!best || ratio_of(s) > ratio_of(best)))
			best = s;
	}
	return best;
}

/*
 * Hot keys that lie close together load some servers at once. One whose keys
 * can't be taken at this moment must not hold up the others.
 */
static void even_out(struct ws_ed_lead *l, ws_id service, struct plan *pl,
		     ws_us now)
{
	while (ws_ed_lead_may_move(l, now) &&
	       pl->moving < MOVES_MIN + pl->n / MOVES_PART && pl->n > 1) {
		struct site *over = most_loaded(pl);
		struct site *under = least_loaded(pl);
		double excess;
		double room;
		double wanted;

		if (!over || ratio_of(under) > UNDER)
			return;
		excess = over->heat - over->target;
		room = under->target - under->heat;
		wanted = excess < room ? excess : room;
		if (wanted < PART_MIN * over->target ||
		    !take_part(l, service, over, wanted, now)) {
			over->settled = true;
			continue;
		}
		under->heat += wanted;
		pl->moving++;
	}
}

void ws_ed_balance_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	struct plan pl = { NULL, 0, 0.0, 0.0, 0 };
	size_t i;

	(void)fx;
	if (!l->conf || now < l->next_balance)
		return;
	if (!l->map.n && now < l->started + FIRST_WAIT)
		return;
	l->next_balance = now + BALANCE_PERIOD;
	drop_unsharded(l);
	pl.sites = ws_alloc(l->pool->n + 1, sizeof(*pl.sites));
	for (i = 0; i < l->conf->n_services; i++) {
		const struct ws_ed_service *s = &l->conf->services[i];

		if (!s->sharded)
			continue;
		cover(l, now, s->id);
		survey(l, now, s->id, &pl);
		if (!pl.n)
			continue;
		place_all_free(l, s->id, &pl, now);
		even_out(l, s->id, &pl, now);
	}
	free(pl.sites);
}
