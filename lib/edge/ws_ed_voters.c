#include "edge/ws_ed_voters.h"

static bool is_voter(const struct ws_ed_voters *v, ws_id id)
{
	uint32_t i;

	for (i = 0; i < v->n; i++)
		if (v->ids[i] == id)
			return true;
	return false;
}

static size_t voters_in_zone(const struct ws_ed_voters *v,
			     const struct ws_ed_peers *p, ws_id zone)
{
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		const struct ws_ed_member *m = ws_ed_peers_find(p, v->ids[i]);

		n += v->ids[i] == p->self ? p->zone == zone :
					    m && m->zone == zone;
	}
	return n;
}

/* The best candidate is in the zone with the fewest voters. */
static const struct ws_ed_member *best_candidate(const struct ws_ed_voters *v,
						 const struct ws_ed_peers *p,
						 ws_us now)
{
	const struct ws_ed_member *best = NULL;
	size_t fewest = 0;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];
		size_t n;

		if (m->leaving || !ws_ed_member_alive(p, m, now) ||
		    is_voter(v, m->id))
			continue;
		n = voters_in_zone(v, p, m->zone);
		if (best && (n > fewest || (n == fewest && m->id > best->id)))
			continue;
		best = m;
		fewest = n;
	}
	return best;
}

/* @return false when there is no room or no candidate */
static bool add_voter(struct ws_ed_voters *v, const struct ws_ed_peers *p,
		      ws_us now)
{
	const struct ws_ed_member *m;

	if (v->n == WS_ED_VOTERS_MAX)
		return false;
	if (!is_voter(v, p->self)) {
		v->ids[v->n++] = p->self;
		return true;
	}
	m = best_candidate(v, p, now);
	if (!m)
		return false;
	v->ids[v->n++] = m->id;
	return true;
}

/* Silent members are removed from the members after WS_ED_MEMBER_TIMEOUT. */
static bool is_lost(const struct ws_ed_peers *p, ws_id id)
{
	const struct ws_ed_member *m = ws_ed_peers_find(p, id);

	return id != p->self && (!m || m->leaving);
}

void ws_ed_voters_init(struct ws_ed_voters *v, const struct ws_ed_peers *p,
		       ws_us now)
{
	v->n = 0;
	while (add_voter(v, p, now))
		;
}

bool ws_ed_voters_change(struct ws_ed_voters *v, const struct ws_ed_peers *p,
			 ws_us now)
{
	uint32_t i;

	if (!v->n) {
		ws_ed_voters_init(v, p, now);
		return true;
	}
	for (i = 0; i < v->n; i++) {
		if (v->n > 1 && is_lost(p, v->ids[i])) {
			v->ids[i] = v->ids[--v->n];
			return true;
		}
	}
	return add_voter(v, p, now);
}
