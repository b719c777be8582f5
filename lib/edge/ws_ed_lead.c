#include "edge/ws_ed_lead.h"

#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_lead_int.h"

/* Fencing tokens of one epoch; epochs stay below 2^33 in JSON's integers. */
#define COUNTER_BITS 20
/* Heartbeats of all living members have arrived after this time. */
#define SETTLE (700 * WS_MS)
/* Candidates claim one after the other, in order of their ids. */
#define CLAIM_STEP (250 * WS_MS)
#define CLAIM_RETRY (1 * WS_SECOND)
#define APPEND_RETRY (150 * WS_MS)
/* Changes come in bunches; each append has a price and is told to all. */
#define APPEND_REST (200 * WS_MS)
/* Evidence this recent shows that the store is reachable. */
#define STORE_SOUND (3 * WS_SECOND)

void ws_ed_lead_free(struct ws_ed_lead *l)
{
	size_t i;

	ws_ed_map_free(&l->map);
	ws_ed_map_free(&l->proposal);
	for (i = 0; i < WS_ED_DELTAS_KEPT; i++)
		ws_ed_map_free(&l->deltas[i].changes);
	free(l->ranges);
	l->ranges = NULL;
	l->n_ranges = 0;
	l->cap_ranges = 0;
}

uint64_t ws_ed_lead_next_fence(struct ws_ed_lead *l)
{
	return (l->epoch << COUNTER_BITS) + ++l->counter;
}

uint64_t ws_ed_lead_epoch(const struct ws_ed_lead *l)
{
	uint64_t epoch = l->epoch > l->map.epoch ? l->epoch : l->map.epoch;
	size_t i;

	for (i = 0; i < l->peers->n; i++)
		if (l->peers->members[i].epoch > epoch)
			epoch = l->peers->members[i].epoch;
	return epoch;
}

bool ws_ed_lead_valid(const struct ws_ed_lead *l, ws_us now)
{
	return l->role == WS_EDL_LEADER && now < l->valid_until;
}

bool ws_ed_lead_may_move(const struct ws_ed_lead *l, ws_us now)
{
	return l->confirmed_at && now >= l->confirmed_at + WS_ED_LEADER_LEASE;
}

/* ===== Election ===== */

static void step_down(struct ws_ed_lead *l, struct ws_ed_fx *fx)
{
	if (l->role == WS_EDL_LEADER)
		ws_ed_fx_log(fx, WS_LOG_LEADER_LOST, l->self, (int64_t)l->epoch,
			     "another instance leads");
	l->role = WS_EDL_FOLLOWER;
	l->n_ranges = 0;
	l->appending = false;
	l->confirmed_at = 0;
	l->valid_until = 0;
}

static void take_over(struct ws_ed_lead *l, ws_us now, ws_us started,
		      struct ws_ed_fx *fx)
{
	size_t i;

	l->role = WS_EDL_LEADER;
	l->claimed_at = now;
	l->confirmed_at = 0;
	l->read_evidence = started;
	l->valid_until = started + WS_ED_LEADER_LEASE;
	l->counter = 0;
	l->n_ranges = 0;
	for (i = 0; i < l->map.n; i++) {
		const struct ws_ed_map_entry *e = &l->map.entries[i];
		struct ws_ed_range *h = ws_ed_range_add(l);
		int32_t s = ws_ed_pool_find(l->pool, e->server);

		h->service = e->service;
		h->from = e->from;
		h->to = e->to;
		h->server = e->server;
		h->state = WS_EDR_OWNED;
		h->inherited = true;
		h->changed_at = now;
		h->fence = ws_ed_lead_next_fence(l);
		if (s >= 0)
			ws_ed_range_set_server(h, &l->pool->servers[s]);
	}
	ws_ed_fx_log(fx, WS_LOG_LEADER, l->self, (int64_t)l->epoch,
		     "leads the servers' keys");
}

static bool serves_keys(const struct ws_ed_lead *l)
{
	size_t i;

	for (i = 0; l->conf && i < l->conf->n_services; i++)
		if (l->conf->services[i].sharded)
			return true;
	return false;
}

bool ws_ed_lead_store_reachable(const struct ws_ed_lead *l, ws_us now)
{
	return l->known && now - l->store_reached_at < STORE_SOUND;
}

/* Through relays the leader is heard in some of the heartbeats only. */
static ws_us silence_max(const struct ws_ed_lead *l)
{
	ws_us briefly = WS_ED_BRIEF_EVERY_ROUNDS *
			ws_ed_peers_period(l->peers) * WS_ED_ALIVE_PERIODS;

	return l->peers->uses_relays && briefly > WS_ED_ALIVE_TIMEOUT ?
		       briefly :
		       WS_ED_ALIVE_TIMEOUT;
}

/* Nobody leads, or the one who does can change nothing. */
static bool leader_missing(const struct ws_ed_lead *l, ws_us now)
{
	const struct ws_ed_member *m;

	if (!l->map.epoch || l->map.leader == l->self)
		return true;
	m = ws_ed_peers_find(l->peers, l->map.leader);
	if (!m || !m->heard_at || now - m->heard_at > silence_max(l))
		return true;
	return m->leaving || !m->store_sound;
}

static void build_proposal(struct ws_ed_lead *l)
{
	size_t i;

	l->proposal.n = 0;
	l->proposal.epoch = l->epoch;
	l->proposal.leader = l->self;
	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *h = &l->ranges[i];
		struct ws_ed_map_entry e = {
			.service = h->service,
			.from = h->from,
			.to = h->to,
			.server = h->server,
		};

		if (h->state != WS_EDR_FREE)
			ws_ed_map_add(&l->proposal, &e);
	}
	ws_ed_map_sort(&l->proposal);
}

static void append(struct ws_ed_lead *l, struct ws_ed_fx *fx)
{
	l->appending = true;
	l->append_offset = l->map_end;
	ws_ed_fx_add(fx, WS_EDFX_APPEND)->u.append.at = l->map_end;
}

static void claim(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	l->role = WS_EDL_CLAIMING;
	l->epoch = l->map_end + 1;
	l->next_claim = now + CLAIM_RETRY;
	ws_ed_map_copy(&l->proposal, &l->map);
	l->proposal.epoch = l->epoch;
	l->proposal.leader = l->self;
	append(l, fx);
}

/* Candidates take turns, so that one append suffices. */
static bool is_turn(const struct ws_ed_lead *l, ws_us now)
{
	ws_us from = l->started + SETTLE;

	if (l->leaderless_since > from)
		from = l->leaderless_since;
	/* Nobody else will claim while the former life of this one led. */
	if (l->map.leader == l->self)
		return now >= l->started + SETTLE;
	return now - from >=
	       (ws_us)ws_ed_peers_rank(l->peers, now) * CLAIM_STEP;
}

static void consider_claim(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	if (!leader_missing(l, now)) {
		l->leaderless_since = 0;
		return;
	}
	if (!l->leaderless_since)
		l->leaderless_since = now;
	if (!l->leaving && serves_keys(l) &&
	    ws_ed_lead_store_reachable(l, now) && now >= l->next_claim &&
	    is_turn(l, now))
		claim(l, now, fx);
}

/* ===== The store's answers ===== */

static void settle_chosen(struct ws_ed_lead *l, ws_us now,
			  const struct ws_ed_map *map)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *h = &l->ranges[i];

		if (h->state != WS_EDR_PROPOSED ||
		    ws_ed_map_owner(map, h->service, h->from) != h->server ||
		    ws_ed_map_owner(map, h->service, h->to) != h->server)
			continue;
		h->state = WS_EDR_OWNED;
		h->changed_at = now;
		h->fence = ws_ed_lead_next_fence(l);
		h->next_call = now;
		h->failures = 0;
	}
}

/* ===== Versions of the map ===== */

/* Takes over a version of the map; NULL: the topic's end has moved only. */
static void advance(struct ws_ed_lead *l, const struct ws_ed_map *map,
		    uint64_t end)
{
	struct ws_ed_map_delta *s;

	if (end > l->map_end) {
		s = &l->deltas[l->n_deltas++ % WS_ED_DELTAS_KEPT];
		s->from = l->map_end;
		s->to = end;
		ws_ed_map_diff(&l->map, map ? map : &l->map, &s->changes);
		l->map_end = end;
	}
	if (map)
		ws_ed_map_copy(&l->map, map);
}

bool ws_ed_lead_changes_since(const struct ws_ed_lead *l, uint64_t from,
			      struct ws_ed_map *changes, size_t max)
{
	uint64_t first = l->n_deltas > WS_ED_DELTAS_KEPT ?
				 l->n_deltas - WS_ED_DELTAS_KEPT :
				 0;
	uint64_t i = first;
	size_t j;

	/* Steps may be applied again; the end may lie within one of them. */
	while (i < l->n_deltas && l->deltas[i % WS_ED_DELTAS_KEPT].to <= from)
		i++;
	if (i == l->n_deltas || l->deltas[i % WS_ED_DELTAS_KEPT].from > from)
		return false;
	changes->n = 0;
	changes->epoch = l->map.epoch;
	changes->leader = l->map.leader;
	for (; i < l->n_deltas; i++) {
		const struct ws_ed_map *c =
			&l->deltas[i % WS_ED_DELTAS_KEPT].changes;

		if (changes->n + c->n > max)
			return false;
		for (j = 0; j < c->n; j++)
			ws_ed_map_add(changes, &c->entries[j]);
	}
	return true;
}

static void adopt(struct ws_ed_lead *l, ws_us now, const struct ws_ed_map *map,
		  uint64_t end, struct ws_ed_fx *fx)
{
	/* An older leader's map is no longer in force. */
	if (map->epoch < l->map.epoch) {
		advance(l, NULL, end);
		return;
	}
	advance(l, map, end);
	if (l->role == WS_EDL_FOLLOWER)
		return;
	if (map->epoch > l->epoch ||
	    (map->epoch == l->epoch && map->leader != l->self))
		step_down(l, fx);
	else if (l->role == WS_EDL_LEADER && map->epoch == l->epoch)
		settle_chosen(l, now, map);
}

void ws_ed_lead_on_read(struct ws_ed_lead *l, ws_us now, ws_us started,
			const struct ws_ed_map *map, uint64_t end,
			struct ws_ed_fx *fx)
{
	l->known = true;
	if (map)
		adopt(l, now, map, end, fx);
	else
		advance(l, NULL, end);
	if (started > l->read_evidence)
		l->read_evidence = started;
}

void ws_ed_lead_on_map(struct ws_ed_lead *l, ws_us now,
		       const struct ws_ed_map *map, uint64_t end,
		       struct ws_ed_fx *fx)
{
	if (l->known && end > l->map_end)
		adopt(l, now, map, end, fx);
}

bool ws_ed_lead_sends_map(const struct ws_ed_lead *l, ws_us now)
{
	return ws_ed_lead_valid(l, now) && l->map.epoch == l->epoch;
}

ws_us ws_ed_lead_evidence_time(const struct ws_ed_lead *l)
{
	return l->valid_until - WS_ED_LEADER_LEASE;
}

const struct ws_ed_map *ws_ed_lead_proposal(const struct ws_ed_lead *l)
{
	return &l->proposal;
}

void ws_ed_lead_on_append(struct ws_ed_lead *l, ws_us now, uint64_t at,
			  ws_us started, enum ws_ed_append_result end,
			  struct ws_ed_fx *fx)
{
	/* The answer may belong to an append of before a step down. */
	if (!l->appending || at != l->append_offset ||
	    l->role == WS_EDL_FOLLOWER)
		return;
	l->appending = false;
	if (end != WS_EDA_DONE) {
		ws_ed_fx_read(fx, WS_EDT_MAP);
		l->next_append = now + APPEND_RETRY;
		if (l->role == WS_EDL_CLAIMING)
			l->role = WS_EDL_FOLLOWER;
		return;
	}
	/* Nobody else had written until the append was carried out. */
	if (started > l->read_evidence)
		l->read_evidence = started;
	if (started > l->store_reached_at)
		l->store_reached_at = started;
	l->next_append = now + APPEND_REST;
	advance(l, &l->proposal, at + 1);
	ws_ed_fx_add(fx, WS_EDFX_HEARTBEAT);
	if (l->role == WS_EDL_CLAIMING)
		take_over(l, now, started, fx);
	else
		settle_chosen(l, now, &l->proposal);
}

/* ===== Time ===== */

static void check_evidence(struct ws_ed_lead *l, ws_us now)
{
	ws_us quorum = ws_ed_peers_quorum_time(l->peers, now, l->epoch);
	ws_us best = quorum > l->read_evidence ? quorum : l->read_evidence;

	l->valid_until = best + WS_ED_LEADER_LEASE;
	if (!l->confirmed_at && quorum >= l->claimed_at)
		l->confirmed_at = now;
}

static bool known_deposed(const struct ws_ed_lead *l)
{
	return ws_ed_lead_epoch(l) > l->epoch;
}

static bool wants_append(const struct ws_ed_lead *l)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++)
		if (l->ranges[i].state == WS_EDR_PROPOSED)
			return true;
	return false;
}

void ws_ed_lead_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	if (l->role == WS_EDL_FOLLOWER) {
		if (l->known)
			consider_claim(l, now, fx);
		return;
	}
	if (l->role == WS_EDL_CLAIMING)
		return;
	if (known_deposed(l)) {
		step_down(l, fx);
		ws_ed_fx_read(fx, WS_EDT_MAP);
		return;
	}
	check_evidence(l, now);
	if (!ws_ed_lead_valid(l, now))
		return;
	ws_ed_balance_tick(l, now, fx);
	ws_ed_ranges_tick(l, now, fx);
	if (!l->appending && now >= l->next_append && wants_append(l)) {
		build_proposal(l);
		append(l, fx);
	}
}

bool ws_ed_lead_moving(const struct ws_ed_lead *l, ws_id service, uint32_t key)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		const struct ws_ed_range *h = &l->ranges[i];

		if (h->service == service && h->from <= key && key <= h->to)
			return h->state != WS_EDR_OWNED;
	}
	return false;
}
