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
	m->strength = e->strength;
	snprintf(m->address, sizeof(m->address), "%s", e->address);
	return m;
}

void ws_ed_peers_on_report(struct ws_ed_peers *p, ws_us now,
			   const struct ws_ed_member_entry *e, ws_us heard)
{
	struct ws_ed_member *m = ws_ed_peers_find(p, e->id);

	if (e->id == p->self || now - heard > WS_ED_MEMBER_TIMEOUT)
		return;
	/* What was heard from the member itself is newer. */
	if (!m || heard > m->heard_at)
		m = ws_ed_peers_add(p, now, e);
	if (heard > m->relayed_at)
		m->relayed_at = heard;
}

/* Receivers of the busiest heartbeats: those of a relay, or everybody. */
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

static ws_us period_for(size_t n)
{
	if (n <= WS_ED_HEARTBEAT_RECEIVERS)
		return WS_ED_HEARTBEAT_PERIOD;
	return WS_ED_HEARTBEAT_PERIOD * (ws_us)n / WS_ED_HEARTBEAT_RECEIVERS;
}

ws_us ws_ed_peers_period(const struct ws_ed_peers *p)
{
	return p->period ? p->period : period_for(p->n);
}

bool ws_ed_member_alive(const struct ws_ed_peers *p,
			const struct ws_ed_member *m, ws_us now)
{
	ws_us most = WS_ED_ALIVE_PERIODS * ws_ed_peers_period(p);

	return m->heard_at && now - m->heard_at < (most > WS_ED_ALIVE_TIMEOUT ?
							   most :
							   WS_ED_ALIVE_TIMEOUT);
}

/* Heard lately, by this instance or by a relay. */
static bool is_present(const struct ws_ed_peers *p,
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

		n += !m->leaving && is_present(p, m, now);
	}
	return n;
}

/* The order in which instances take over duties: stronger ones first. */
static bool is_before(uint32_t strength, ws_id id, uint32_t other_strength,
		      ws_id other)
{
	if (strength != other_strength)
		return strength > other_strength;
	return id < other;
}

static bool is_before_self(const struct ws_ed_peers *p,
			   const struct ws_ed_member *m)
{
	return is_before(m->strength, m->id, p->strength, p->self);
}

size_t ws_ed_peers_rank(const struct ws_ed_peers *p, ws_us now)
{
	bool behind = p->uses_relays && !p->is_relay;
	size_t rank = behind ? WS_ED_RELAY_RANKS : 0;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		rank += is_before_self(p, m) && !m->leaving && m->store_sound &&
			(!p->uses_relays || p->is_relay == m->is_relay) &&
			ws_ed_member_alive(p, m, now);
	}
	return rank;
}

enum ws_ed_beat_scope ws_ed_peers_scope(const struct ws_ed_peers *p,
					const struct ws_ed_member *m)
{
	bool near = m->zone == p->zone;

	if (!p->uses_relays && p->n <= WS_ED_FULL_MESH_MEMBERS_MAX)
		return WS_ED_SCOPE_FULL;
	if (!p->uses_relays)
		return near || m->is_relay ? WS_ED_SCOPE_FULL :
					     WS_ED_SCOPE_NONE;
	if (p->is_relay)
		return near || m->is_relay ? WS_ED_SCOPE_FULL :
					     WS_ED_SCOPE_NONE;
	return near && m->is_relay ? WS_ED_SCOPE_FULL : WS_ED_SCOPE_NONE;
}

bool ws_ed_peers_reads_store(const struct ws_ed_peers *p, ws_us now)
{
	if (p->uses_relays)
		return p->reads_store;
	/* Who is there is not known yet; each has just read the store. */
	if (now < p->full_mesh_until)
		return false;
	return ws_ed_peers_rank(p, now) < WS_ED_STORE_READERS;
}

static int by_time_down(const void *a, const void *b)
{
	ws_us x = *(const ws_us *)a;
	ws_us y = *(const ws_us *)b;

	return (x < y) - (x > y);
}

ws_us ws_ed_peers_quorum_time(const struct ws_ed_peers *p, ws_us now,
			      uint64_t epoch)
{
	ws_us *at = ws_alloc(p->n + 1, sizeof(*at));
	ws_us res;
	size_t i;

	at[0] = now;
	for (i = 0; i < p->n; i++)
		at[i + 1] = p->members[i].epoch > epoch ?
				    0 :
				    p->members[i].echoed_stamp;
	qsort(at, p->n + 1, sizeof(*at), by_time_down);
	res = at[(p->n + 1) / 2];
	free(at);
	return res;
}

/* ===== Relays ===== */

/* A member is the better relay: a sound way to the store comes first. */
static bool is_better(const struct ws_ed_member *a,
		      const struct ws_ed_member *b)
{
	if (a->store_sound != b->store_sound)
		return a->store_sound;
	return is_before(a->strength, a->id, b->strength, b->id);
}

/* This instance is a better relay than a member. */
static bool is_self_better(const struct ws_ed_peers *p,
			   const struct ws_ed_member *m)
{
	const struct ws_ed_member self = {
		.id = p->self,
		.strength = p->strength,
		.store_sound = p->store_sound,
	};

	return is_better(&self, m);
}

/* The living member of a zone that goes before all others, or NULL. */
static struct ws_ed_member *best_heard(const struct ws_ed_peers *p, ws_us now,
				       ws_id zone)
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

static struct ws_ed_member *likely_relay(const struct ws_ed_peers *p,
					 ws_id zone)
{
	struct ws_ed_member *best = NULL;
	size_t i;

	for (i = 0; i < p->n; i++) {
		struct ws_ed_member *m = &p->members[i];

		if (m->zone == zone && !m->leaving && !m->is_relay &&
		    (!best ||
		     is_before(m->strength, m->id, best->strength, best->id)))
			best = m;
	}
	return best;
}

/* Others of the zone that may become its relay before this instance does. */
static size_t ahead_in_zone(const struct ws_ed_peers *p, ws_us now)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		/* One that was heard and is no more is not waited for. */
		n += m->zone == p->zone && is_before_self(p, m) &&
		     !m->leaving && is_present(p, m, now) &&
		     (!m->heard_at ||
		      m->relayed_at > m->heard_at + WS_ED_ALIVE_TIMEOUT);
	}
	return n;
}

static void find_own_relay(struct ws_ed_peers *p, ws_us now)
{
	struct ws_ed_member *best = best_heard(p, now, p->zone);
	bool fit = !p->leaving && (!best || is_self_better(p, best));

	if (!fit)
		p->best_since = 0;
	else if (!p->best_since)
		p->best_since = now;
	p->is_relay = fit &&
		      now - p->best_since >= (ws_us)ahead_in_zone(p, now) *
						     WS_ED_RELAY_TAKEOVER_STEP;
	if (!p->is_relay && best)
		best->is_relay = true;
}

/* Other zones' relays are heard, which read for this zone as well. */
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

/* Beside a relay that is alone, the lowest other id of its zone reads. */
static bool is_second_reader(const struct ws_ed_peers *p, ws_us now)
{
	bool alone = false;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];

		if (m->zone != p->zone || m->leaving)
			continue;
		if (m->is_relay)
			alone = m->alone;
		else if (is_before_self(p, m) && is_present(p, m, now))
			return false;
	}
	return alone && !p->leaving;
}

/* Which member is another zone's relay is guessed until one was heard. */
static void find_relay(struct ws_ed_peers *p, ws_us now, ws_id zone)
{
	struct ws_ed_member *best = best_heard(p, now, zone);
	int i;

	if (best) {
		best->is_relay = true;
		return;
	}
	for (i = 0; i < WS_ED_RELAY_CANDIDATES; i++) {
		best = likely_relay(p, zone);
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

static void find_relays(struct ws_ed_peers *p, ws_us now)
{
	size_t i;

	p->uses_relays = p->zone && now >= p->full_mesh_until &&
			 p->n >= WS_ED_RELAY_MEMBERS_MIN;
	p->is_relay = false;
	p->alone = false;
	p->reads_store = false;
	for (i = 0; i < p->n; i++)
		p->members[i].is_relay = false;
	if (p->uses_relays)
		find_own_relay(p, now);
	for (i = 0; i < p->n; i++) {
		ws_id zone = p->members[i].zone;

		if (zone && zone != p->zone && !zone_has_relay(p, zone))
			find_relay(p, now, zone);
	}
	if (!p->uses_relays)
		return;
	p->alone = p->is_relay && !hears_relays(p, now);
	p->reads_store = p->is_relay || is_second_reader(p, now);
}

/* ===== Time ===== */

static ws_us last_news(const struct ws_ed_member *m)
{
	ws_us last = m->heard_at > m->listed_at ? m->heard_at : m->listed_at;

	return m->relayed_at > last ? m->relayed_at : last;
}

void ws_ed_peers_tick(struct ws_ed_peers *p, ws_us now)
{
	size_t i = 0;

	while (i < p->n) {
		if (now - last_news(&p->members[i]) > WS_ED_MEMBER_TIMEOUT)
			p->members[i] = p->members[--p->n];
		else
			i++;
	}
	find_relays(p, now);
	p->period = period_for(receivers(p));
}
