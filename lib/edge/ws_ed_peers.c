#include "edge/ws_ed_peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ws_ed_peers_free(struct ws_ed_peers *p)
{
	free(p->members);
	memset(p, 0, sizeof(*p));
}

struct ws_ed_member *ws_ed_peers_find(const struct ws_ed_peers *p, ws_id id)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		if (p->members[i].id == id)
			return &p->members[i];
	return NULL;
}

struct ws_ed_member *ws_ed_peers_add(struct ws_ed_peers *p, ws_us now,
				     const struct ws_ed_member_entry *e)
{
	struct ws_ed_member *m;

	if (e->id == p->self)
		return NULL;
	m = ws_ed_peers_find(p, e->id);
	if (!m) {
		ws_grow(&p->members, &p->cap, p->n + 1, sizeof(*p->members));
		m = &p->members[p->n++];
		memset(m, 0, sizeof(*m));
		m->id = e->id;
		m->listed_at = now;
	}
	if (e->zone)
		m->zone = e->zone;
	m->capacity = e->capacity;
	snprintf(m->address, sizeof(m->address), "%s", e->address);
	return m;
}

void ws_ed_peers_on_report(struct ws_ed_peers *p, ws_us now,
			   const struct ws_ed_member_entry *e, ws_us heard)
{
	struct ws_ed_member *m = ws_ed_peers_find(p, e->id);

	if (e->id == p->self || now - heard > WS_ED_MEMBER_TIMEOUT)
		return;
	/* An entry from a newer heartbeat of the member itself is kept. */
	if (!m || heard > m->heard_at)
		m = ws_ed_peers_add(p, now, e);
	if (heard > m->relayed_at)
		m->relayed_at = heard;
}

/* Receivers of the heartbeats of a relay, or of any instance without relays. */
static size_t receivers(const struct ws_ed_peers *p)
{
	size_t n = 0;
	size_t i;

	if (!p->uses_relays)
		return p->n;
	for (i = 0; i < p->n; i++)
		n += p->members[i].zone == p->zone || p->members[i].is_relay;
	return n;
}

static ws_us period_for_receivers(size_t n)
{
	if (n <= WS_ED_HEARTBEAT_RECEIVERS)
		return WS_ED_HEARTBEAT_PERIOD;
	return WS_ED_HEARTBEAT_PERIOD * (ws_us)n / WS_ED_HEARTBEAT_RECEIVERS;
}

ws_us ws_ed_peers_period(const struct ws_ed_peers *p)
{
	return p->period ? p->period : period_for_receivers(p->n);
}

bool ws_ed_member_alive(const struct ws_ed_peers *p,
			const struct ws_ed_member *m, ws_us now)
{
	ws_us timeout = WS_ED_ALIVE_PERIODS * ws_ed_peers_period(p);

	return m->heard_at &&
	       now - m->heard_at < (timeout > WS_ED_ALIVE_TIMEOUT ?
					    timeout :
					    WS_ED_ALIVE_TIMEOUT);
}

bool ws_ed_member_reported_alive(const struct ws_ed_peers *p,
				 const struct ws_ed_member *m, ws_us now)
{
	return (m->relayed_at &&
		now - m->relayed_at < WS_ED_RELAYED_ALIVE_TIMEOUT) ||
	       ws_ed_member_alive(p, m, now);
}

size_t ws_ed_peers_known(const struct ws_ed_peers *p)
{
	return p->n + 1;
}

size_t ws_ed_peers_alive(const struct ws_ed_peers *p, ws_us now)
{
	size_t n = 1;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		n += !m->leaving && ws_ed_member_reported_alive(p, m, now);
	}
	return n;
}

/* Order in which instances take over roles: by capacity, then lowest id. */
static bool is_before(uint32_t capacity, ws_id id, uint32_t other_capacity,
		      ws_id other)
{
	if (capacity != other_capacity)
		return capacity > other_capacity;
	return id < other;
}

static bool is_before_self(const struct ws_ed_peers *p,
			   const struct ws_ed_member *m)
{
	return is_before(m->capacity, m->id, p->capacity, p->self);
}

size_t ws_ed_peers_rank(const struct ws_ed_peers *p, ws_us now)
{
	bool not_relay = p->uses_relays && !p->is_relay;
	size_t rank = not_relay ? WS_ED_RELAY_RANKS : 0;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		rank += is_before_self(p, m) && !m->leaving &&
			m->store_reachable &&
			(!p->uses_relays || p->is_relay == m->is_relay) &&
			ws_ed_member_alive(p, m, now);
	}
	return rank;
}

enum ws_ed_beat_scope ws_ed_peers_scope(const struct ws_ed_peers *p,
					const struct ws_ed_member *m)
{
	bool same_zone = m->zone == p->zone;

	if (!p->uses_relays && p->n <= WS_ED_FULL_MESH_MEMBERS_MAX)
		return WS_ED_SCOPE_FULL;
	if (!p->uses_relays)
		return same_zone || m->is_relay ? WS_ED_SCOPE_FULL :
						  WS_ED_SCOPE_NONE;
	if (p->is_relay)
		return same_zone || m->is_relay ? WS_ED_SCOPE_FULL :
						  WS_ED_SCOPE_NONE;
	return same_zone && m->is_relay ? WS_ED_SCOPE_FULL : WS_ED_SCOPE_NONE;
}

bool ws_ed_peers_reads_store(const struct ws_ed_peers *p, ws_us now)
{
	if (p->uses_relays)
		return p->reads_store;
	/* Members are not known yet; each instance has just read the store. */
	if (now < p->full_mesh_until)
		return false;
	return ws_ed_peers_rank(p, now) < WS_ED_STORE_READERS;
}

bool ws_ed_peers_is_assigned(const struct ws_ed_peers *p, ws_us now,
			     uint64_t item)
{
	uint64_t own = ws_mix(item, p->self);
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		if (ws_mix(item, m->id) < own && !m->leaving &&
		    ws_ed_member_reported_alive(p, m, now))
			return false;
	}
	return true;
}

static int compare_times_descending(const void *a, const void *b)
{
	ws_us x = *(const ws_us *)a;
	ws_us y = *(const ws_us *)b;

	return (x < y) - (x > y);
}

static ws_us echoed_time(const struct ws_ed_peers *p, ws_us now, uint64_t epoch,
			 ws_id voter)
{
	const struct ws_ed_member *m;

	if (voter == p->self)
		return now;
	m = ws_ed_peers_find(p, voter);
	return m && m->epoch <= epoch ? m->echoed_timestamp : 0;
}

ws_us ws_ed_peers_quorum_time(const struct ws_ed_peers *p, ws_us now,
			      uint64_t epoch, const struct ws_ed_voters *voters)
{
	ws_us at[WS_ED_VOTERS_MAX];
	uint32_t i;

	if (!voters->n)
		return 0;
	for (i = 0; i < voters->n; i++)
		at[i] = echoed_time(p, now, epoch, voters->ids[i]);
	qsort(at, voters->n, sizeof(*at), compare_times_descending);
	return at[voters->n / 2];
}

/* ===== Relays ===== */

/* Whether a is the better relay: one that can reach the store comes first. */
static bool is_better(const struct ws_ed_member *a,
		      const struct ws_ed_member *b)
{
	if (a->store_reachable != b->store_reachable)
		return a->store_reachable;
	return is_before(a->capacity, a->id, b->capacity, b->id);
}

/* Whether this instance is a better relay than a member. */
static bool is_self_better(const struct ws_ed_peers *p,
			   const struct ws_ed_member *m)
{
	const struct ws_ed_member self = {
		.id = p->self,
		.capacity = p->capacity,
		.store_reachable = p->store_reachable,
	};

	return is_better(&self, m);
}

/* The best relay among the live members of a zone, or NULL. */
static struct ws_ed_member *best_live_member(const struct ws_ed_peers *p,
					     ws_us now, ws_id zone)
{
	struct ws_ed_member *best = NULL;
	size_t i;

	for (i = 0; i < p->n; i++) {
		struct ws_ed_member *m = &p->members[i];

		if (m->zone != zone || m->leaving ||
		    !ws_ed_member_alive(p, m, now))
			continue;
		if (!best || is_better(m, best))
			best = m;
	}
	return best;
}

static struct ws_ed_member *best_unmarked_member(const struct ws_ed_peers *p,
						 ws_id zone)
{
	struct ws_ed_member *best = NULL;
	size_t i;

	for (i = 0; i < p->n; i++) {
		struct ws_ed_member *m = &p->members[i];

		if (m->zone == zone && !m->leaving && !m->is_relay &&
		    (!best ||
		     is_before(m->capacity, m->id, best->capacity, best->id)))
			best = m;
	}
	return best;
}

/* Members of the zone that may become its relay before this instance. */
static size_t candidates_before_self(const struct ws_ed_peers *p, ws_us now)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		/*
		 * Does not wait for a member that was heard before and has
		 * gone silent.
		 */
		n += m->zone == p->zone && is_before_self(p, m) &&
		     !m->leaving && ws_ed_member_reported_alive(p, m, now) &&
		     (!m->heard_at ||
		      m->relayed_at > m->heard_at + WS_ED_ALIVE_TIMEOUT);
	}
	return n;
}

static void update_own_relay(struct ws_ed_peers *p, ws_us now)
{
	struct ws_ed_member *best = best_live_member(p, now, p->zone);
	bool is_best = !p->leaving && (!best || is_self_better(p, best));

	if (!is_best)
		p->best_since = 0;
	else if (!p->best_since)
		p->best_since = now;
	p->is_relay = is_best && now - p->best_since >=
					 (ws_us)candidates_before_self(p, now) *
						 WS_ED_RELAY_TAKEOVER_STEP;
	if (!p->is_relay && best)
		best->is_relay = true;
}

/* Whether a relay of another zone, which also reads the store, is heard. */
static bool hears_relays(const struct ws_ed_peers *p, ws_us now)
{
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		if (m->is_relay && m->zone != p->zone &&
		    ws_ed_member_alive(p, m, now))
			return true;
	}
	return false;
}

/*
 * Whether this instance also reads the store because the relay of its zone
 * hears no other relay. This is the first member of the zone after the relay.
 */
static bool is_second_reader(const struct ws_ed_peers *p, ws_us now)
{
	bool alone = false;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		if (m->zone != p->zone || m->leaving)
			continue;
		if (m->is_relay)
			alone = m->isolated;
		else if (is_before_self(p, m) &&
			 ws_ed_member_reported_alive(p, m, now))
			return false;
	}
	return alone && !p->leaving;
}

/*
 * Marks the relay of another zone. While no member of that zone is heard, the
 * most likely candidates are marked.
 */
static void update_zone_relay(struct ws_ed_peers *p, ws_us now, ws_id zone)
{
	struct ws_ed_member *best = best_live_member(p, now, zone);
	int i;

	if (best) {
		best->is_relay = true;
		return;
	}
	for (i = 0; i < WS_ED_RELAY_CANDIDATES; i++) {
		best = best_unmarked_member(p, zone);
		if (best)
			best->is_relay = true;
	}
}

static bool zone_has_relay(const struct ws_ed_peers *p, ws_id zone)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		if (p->members[i].zone == zone && p->members[i].is_relay)
			return true;
	return false;
}

static void update_relays(struct ws_ed_peers *p, ws_us now)
{
	size_t i;

	p->uses_relays = p->zone && now >= p->full_mesh_until &&
			 p->n >= WS_ED_RELAY_MEMBERS_MIN;
	p->is_relay = false;
	p->isolated = false;
	p->reads_store = false;
	for (i = 0; i < p->n; i++)
		p->members[i].is_relay = false;
	if (p->uses_relays)
		update_own_relay(p, now);
	for (i = 0; i < p->n; i++) {
		ws_id zone = p->members[i].zone;

		if (zone && zone != p->zone && !zone_has_relay(p, zone))
			update_zone_relay(p, now, zone);
	}
	if (!p->uses_relays)
		return;
	p->isolated = p->is_relay && !hears_relays(p, now);
	p->reads_store = p->is_relay || is_second_reader(p, now);
}

/* ===== Time ===== */

static ws_us last_update(const struct ws_ed_member *m)
{
	ws_us last = m->heard_at > m->listed_at ? m->heard_at : m->listed_at;

	return m->relayed_at > last ? m->relayed_at : last;
}

void ws_ed_peers_tick(struct ws_ed_peers *p, ws_us now)
{
	size_t i = 0;

	while (i < p->n) {
		if (now - last_update(&p->members[i]) > WS_ED_MEMBER_TIMEOUT)
			p->members[i] = p->members[--p->n];
		else
			i++;
	}
	update_relays(p, now);
	p->period = period_for_receivers(receivers(p));
}
