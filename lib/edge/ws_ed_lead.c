#include "edge/ws_ed_lead.h"

#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_lead_int.h"
#include "edge/ws_ed_position.h"

/* Bits for tokens of one epoch; JSON's 53-bit integers leave 33 for epochs. */
#define FENCE_COUNTER_BITS 20
/* A leader claims a new epoch before its tokens are used up. */
#define FENCE_COUNTER_MAX ((UINT64_C(1) << FENCE_COUNTER_BITS) - 65536)
/* Bits for claims in one era; 10 of an epoch remain for the era. */
#define EPOCH_CLAIM_BITS 23
/* Time after a restore of the store in which only the last leader claims. */
#define RECLAIM_TIME (1500 * WS_MS)
/* Time after the start by which all live members have been heard. */
#define SETTLE_TIME (700 * WS_MS)
/* Delay between the claims of candidates, in order of their rank. */
#define CLAIM_RANK_DELAY (250 * WS_MS)
#define CLAIM_RETRY (1 * WS_SECOND)
#define APPEND_RETRY (150 * WS_MS)
/* Batches changes: each append costs money and is sent to all instances. */
#define APPEND_MIN_INTERVAL (200 * WS_MS)
/*
 * The leader reads the map when its evidence is older, or that from the store,
 * or when others might take over as it cannot reach the store.
 */
#define LEADER_EVIDENCE_MAX (1 * WS_SECOND)
#define LEADER_READ_MAX (3 * WS_SECOND)
#define LEADER_STORE_MAX (1500 * WS_MS)
/* The store counts as reachable this long after a successful call. */
#define STORE_REACHABLE_TIME (3 * WS_SECOND)

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
	return (l->epoch << FENCE_COUNTER_BITS) + ++l->counter;
}

uint64_t ws_ed_lead_epoch(const struct ws_ed_lead *l)
{
	uint64_t epoch = l->peer_epoch;

	if (l->map.epoch > epoch && !l->map_from_copy)
		epoch = l->map.epoch;

	/* A claim that is not acknowledged may never take effect. */
	if (l->role == WS_EDL_LEADER && l->epoch > epoch)
		epoch = l->epoch;
	return epoch;
}

void ws_ed_lead_on_epoch(struct ws_ed_lead *l, uint64_t epoch)
{
	if (epoch > l->peer_epoch)
		l->peer_epoch = epoch;
}

bool ws_ed_lead_valid(const struct ws_ed_lead *l, ws_us now)
{
	return l->role == WS_EDL_LEADER && now < l->valid_until;
}

bool ws_ed_lead_may_move(const struct ws_ed_lead *l, ws_us now)
{
	return l->confirmed_at && now >= l->confirmed_at + WS_ED_LEADER_LEASE;
}

/* ===== Eras of the store ===== */

/* Epochs that are claimed in the era of a position are above this. */
static uint64_t epoch_floor(uint64_t position)
{
	return ws_ed_position_era(position) << EPOCH_CLAIM_BITS;
}

/*
 * Whether the known map was written before the store was restored, or there is
 * none; later records may have been lost.
 */
static bool map_may_be_outdated(const struct ws_ed_lead *l)
{
	uint64_t floor = epoch_floor(l->map_end);

	return l->map.epoch < floor &&
	       (l->map.epoch || l->restarted ||
		(l->peer_epoch && l->peer_epoch < floor));
}

/* ===== Election ===== */

static void step_down(struct ws_ed_lead *l, const char *reason,
		      struct ws_ed_fx *fx)
{
	if (l->role == WS_EDL_LEADER)
		ws_ed_fx_log(fx, WS_LOG_LEADER_LOST, l->self, (int64_t)l->epoch,
			     reason);
	l->role = WS_EDL_FOLLOWER;
	l->reclaims = false;
	l->n_ranges = 0;
	l->appending = false;
	l->confirmed_at = 0;
	l->valid_until = 0;
}

bool ws_ed_lead_may_echo(const struct ws_ed_lead *l, ws_us now)
{
	bool older_than_restore = l->map.epoch < epoch_floor(l->map_end);

	return l->known && (!older_than_restore ||
			    now - l->started >= WS_ED_FORGOTTEN_TIME);
}

static bool is_new_era(const struct ws_ed_lead *l, uint64_t position)
{
	return ws_ed_position_era(position) > ws_ed_position_era(l->map_end);
}

/* Handles the first position in another era than before. */
static void enter_era(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	l->era_since = now;
	l->restarted |= l->known;
	if (l->role == WS_EDL_LEADER && ws_ed_lead_valid(l, now)) {
		l->reclaims = true;
		l->appending = false;
		l->next_append = now;
	} else if (l->role != WS_EDL_FOLLOWER) {
		step_down(l, "the store was restored", fx);
	}
}

static void take_over(struct ws_ed_lead *l, ws_us now, ws_us started,
		      struct ws_ed_fx *fx)
{
	size_t i;

	l->role = WS_EDL_LEADER;
	l->claimed_at = now;
	l->confirmed_at = 0;
	l->next_voter_change = now + WS_ED_VOTER_CHANGE_INTERVAL;
	l->read_evidence = started;
	l->valid_until = started + WS_ED_LEADER_LEASE;
	l->counter = 0;
	l->n_ranges = 0;
	for (i = 0; i < l->map.n; i++) {
		const struct ws_ed_map_entry *e = &l->map.entries[i];
		struct ws_ed_range *r = ws_ed_range_add(l);
		int32_t s = ws_ed_pool_find(l->pool, e->server);

		r->service = e->service;
		r->from = e->from;
		r->to = e->to;
		r->server = e->server;
		r->state = WS_ED_RANGE_OWNED;
		r->inherited = true;
		r->former_leases = true;
		r->changed_at = now;
		r->fence = ws_ed_lead_next_fence(l);
		if (s >= 0)
			ws_ed_range_set_server(r, &l->pool->servers[s]);
	}
	ws_ed_fx_log(fx, WS_LOG_LEADER, l->self, (int64_t)l->epoch,
		     "leads the servers' keys");
}

static bool has_sharded_service(const struct ws_ed_lead *l)
{
	size_t i;

	for (i = 0; l->conf && i < l->conf->n_services; i++)
		if (l->conf->services[i].sharded)
			return true;
	return false;
}

bool ws_ed_lead_store_reachable(const struct ws_ed_lead *l, ws_us now)
{
	return l->known && now - l->store_reached_at < STORE_REACHABLE_TIME;
}

/* Timeout of the leader; with relays it is heard only in brief heartbeats. */
static ws_us leader_timeout(const struct ws_ed_lead *l)
{
	ws_us brief_timeout = WS_ED_BRIEF_EVERY_ROUNDS *
			      ws_ed_peers_period(l->peers) *
			      WS_ED_ALIVE_PERIODS;

	return l->peers->uses_relays && brief_timeout > WS_ED_ALIVE_TIMEOUT ?
		       brief_timeout :
		       WS_ED_ALIVE_TIMEOUT;
}

/* Whether there is no leader, or it is leaving or cannot reach the store. */
static bool leader_missing(const struct ws_ed_lead *l, ws_us now)
{
	const struct ws_ed_member *m;

	if (!l->map.epoch || l->map.leader == l->self)
		return true;
	/* After a restore of the store, instances may know different leaders.
	 */
	if (map_may_be_outdated(l))
		return true;
	m = ws_ed_peers_find(l->peers, l->map.leader);
	if (!m || !m->heard_at || now - m->heard_at > leader_timeout(l))
		return true;
	return m->leaving || !m->store_reachable;
}

static ws_us quorum_time(const struct ws_ed_lead *l, ws_us now)
{
	return ws_ed_peers_quorum_time(l->peers, now, l->epoch, &l->map.voters);
}

/* Whether the next record may and should name other voters. */
static bool may_change_voters(const struct ws_ed_lead *l, ws_us now)
{
	struct ws_ed_voters v = l->map.voters;

	return l->confirmed_at && !l->reclaims && !l->map_unverified &&
	       (!v.n || now >= l->next_voter_change) &&
	       ws_ed_voters_change(&v, l->peers, now);
}

static void build_proposal(struct ws_ed_lead *l, ws_us now)
{
	size_t i;

	l->proposal.n = 0;
	l->proposal.epoch = l->epoch;
	l->proposal.leader = l->self;
	l->proposal.unverified = l->map_unverified;
	l->proposal.voters = l->map.voters;
	if (may_change_voters(l, now)) {
		ws_ed_voters_change(&l->proposal.voters, l->peers, now);
		l->next_voter_change = now + WS_ED_VOTER_CHANGE_INTERVAL;
	}
	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *r = &l->ranges[i];
		struct ws_ed_map_entry e = {
			.service = r->service,
			.from = r->from,
			.to = r->to,
			.server = r->server,
		};

		if (r->state != WS_ED_RANGE_FREE)
			ws_ed_map_add(&l->proposal, &e);
	}
	ws_ed_map_sort(&l->proposal);
}

static void append(struct ws_ed_lead *l, struct ws_ed_fx *fx)
{
	l->appending = true;
	l->append_position = l->map_end;
	ws_ed_fx_add(fx, WS_EDFX_APPEND)->u.append.at = l->map_end;
}

/* Above all epochs that instances know, and all of earlier eras. */
static uint64_t next_epoch(const struct ws_ed_lead *l)
{
	uint64_t known = ws_ed_lead_epoch(l);
	uint64_t floor = epoch_floor(l->map_end);

	return (known > floor ? known : floor) + 1;
}

static void claim(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	l->role = WS_EDL_CLAIMING;
	l->epoch = next_epoch(l);
	l->map_unverified = l->map.unverified || map_may_be_outdated(l);
	l->next_claim = now + CLAIM_RETRY;
	ws_ed_map_copy(&l->proposal, &l->map);
	l->proposal.epoch = l->epoch;
	l->proposal.leader = l->self;
	l->proposal.unverified = l->map_unverified;
	/* Otherwise the voters of a former leader may be unknown. */
	if (!l->map.epoch && !map_may_be_outdated(l))
		ws_ed_voters_init(&l->proposal.voters, l->peers, now);
	append(l, fx);
}

/* Candidates claim in turn, so that usually one append is enough. */
static bool may_claim_now(const struct ws_ed_lead *l, ws_us now)
{
	bool is_last = l->map.leader == l->self;
	ws_us from = l->started + SETTLE_TIME;

	if (map_may_be_outdated(l)) {
		/* A restarted instance may not be the last leader any more. */
		is_last = false;
		if (l->era_since + RECLAIM_TIME > from)
			from = l->era_since + RECLAIM_TIME;
		/* Others may know the map. */
		if (!l->map.epoch)
			from += RECLAIM_TIME;
	}
	/* Others do not claim while the map names this restarted instance. */
	if (is_last)
		return now >= from;
	if (l->leaderless_since > from)
		from = l->leaderless_since;
	return now - from >=
	       (ws_us)ws_ed_peers_rank(l->peers, now) * CLAIM_RANK_DELAY;
}

static void consider_claim(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	if (!leader_missing(l, now)) {
		l->leaderless_since = 0;
		return;
	}
	if (!l->leaderless_since)
		l->leaderless_since = now;
	if (!l->leaving && has_sharded_service(l) &&
	    ws_ed_lead_store_reachable(l, now) && now >= l->next_claim &&
	    may_claim_now(l, now))
		claim(l, now, fx);
}

/* ===== Store results ===== */

static void commit_proposed(struct ws_ed_lead *l, ws_us now,
			    const struct ws_ed_map *map)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		struct ws_ed_range *r = &l->ranges[i];

		if (r->state != WS_ED_RANGE_PROPOSED ||
		    ws_ed_map_owner(map, r->service, r->from) != r->server ||
		    ws_ed_map_owner(map, r->service, r->to) != r->server)
			continue;
		r->state = WS_ED_RANGE_OWNED;
		r->changed_at = now;
		r->fence = ws_ed_lead_next_fence(l);
		r->next_call = now;
		r->failures = 0;
	}
}

/* ===== Versions of the map ===== */

/*
 * Keeps the changes from the known map to a newer one. An instance that states
 * the position of the former must have had the same map there, so changes don't
 * reach back over a restore or a position without a map: an instance that has
 * started since has none.
 */
static void add_delta(struct ws_ed_lead *l, const struct ws_ed_map *map,
		      uint64_t end)
{
	struct ws_ed_map_delta *s;

	if (!map || l->map_off_record ||
	    ws_ed_position_era(end) != ws_ed_position_era(l->map_end)) {
		l->n_deltas = 0;
		return;
	}
	s = &l->deltas[l->n_deltas++ % WS_ED_DELTAS_KEPT];
	s->from = l->map_end;
	s->to = end;
	ws_ed_map_diff(&l->map, map, &s->changes);
}

/* Stores a newer map and its delta; NULL: only the end offset advanced. */
static void store_version(struct ws_ed_lead *l, const struct ws_ed_map *map,
			  uint64_t end)
{
	if (end > l->map_end) {
		add_delta(l, map, end);
		l->map_end = end;
		l->map_off_record = true;
	}
	if (!map)
		return;
	ws_ed_map_copy(&l->map, map);
	l->map_off_record = false;
}

bool ws_ed_lead_changes_since(const struct ws_ed_lead *l, uint64_t from,
			      struct ws_ed_map *changes, size_t max)
{
	uint64_t first = l->n_deltas > WS_ED_DELTAS_KEPT ?
				 l->n_deltas - WS_ED_DELTAS_KEPT :
				 0;
	uint64_t i = first;
	size_t j;

	/*
	 * The offset may lie within a delta; that delta is sent as a whole,
	 * since changes may be applied again.
	 */
	while (i < l->n_deltas && l->deltas[i % WS_ED_DELTAS_KEPT].to <= from)
		i++;
	if (i == l->n_deltas || l->deltas[i % WS_ED_DELTAS_KEPT].from > from)
		return false;
	changes->n = 0;
	ws_ed_map_copy_head(changes, &l->map);
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

/* Continues as the leader with the epoch that was written. */
static void begin_epoch(struct ws_ed_lead *l, struct ws_ed_fx *fx)
{
	l->reclaims = false;
	l->epoch = l->proposal.epoch;
	l->counter = 0;
	ws_ed_fx_log(fx, WS_LOG_LEADER, l->self, (int64_t)l->epoch,
		     "leads on after a restore of the store");
}

static void adopt(struct ws_ed_lead *l, ws_us now, const struct ws_ed_map *map,
		  uint64_t end, struct ws_ed_fx *fx)
{
	/*
	 * Ignores the map of an earlier leader. One of an earlier era is used
	 * only if no other is known: it is older than what was lost, or a late
	 * append of an instance that had not noticed the restore.
	 */
	if (map->epoch < l->map.epoch ||
	    (l->map.epoch && map->epoch < epoch_floor(end))) {
		l->rewrites |= l->role == WS_EDL_LEADER && end > l->map_end;
		store_version(l, NULL, end);
		return;
	}
	store_version(l, map, end);
	l->map_from_copy = map->epoch < epoch_floor(end);
	if (l->role == WS_EDL_FOLLOWER)
		return;
	/* Its claim after a restore is read before the answer to it arrives. */
	if (l->reclaims && map->leader == l->self &&
	    map->epoch == l->proposal.epoch)
		begin_epoch(l, fx);
	if (map->epoch > l->epoch ||
	    (map->epoch == l->epoch && map->leader != l->self))
		step_down(l, "another instance leads", fx);
	else if (l->role == WS_EDL_LEADER && map->epoch == l->epoch)
		commit_proposed(l, now, map);
}

void ws_ed_lead_on_read(struct ws_ed_lead *l, ws_us now, ws_us started,
			const struct ws_ed_map *map, uint64_t end,
			struct ws_ed_fx *fx)
{
	if (is_new_era(l, end))
		enter_era(l, now, fx);
	l->known = true;
	if (map)
		adopt(l, now, map, end, fx);
	else
		store_version(l, NULL, end);
	/* After a restore, the claim of another leader may have been lost. */
	if (started > l->read_evidence && !l->reclaims)
		l->read_evidence = started;
}

void ws_ed_lead_on_map(struct ws_ed_lead *l, ws_us now,
		       const struct ws_ed_map *map, uint64_t end,
		       struct ws_ed_fx *fx)
{
	if (!l->known || end <= l->map_end)
		return;
	if (is_new_era(l, end))
		enter_era(l, now, fx);
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
	/* The result may belong to an append from before stepping down. */
	if (!l->appending || at != l->append_position ||
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
	/* Success shows that there was no other writer up to the append. */
	if (started > l->read_evidence)
		l->read_evidence = started;
	if (started > l->store_reached_at)
		l->store_reached_at = started;
	l->next_append = now + APPEND_MIN_INTERVAL;
	store_version(l, &l->proposal, at + 1);
	ws_ed_fx_add(fx, WS_EDFX_HEARTBEAT);
	l->rewrites = false;
	if (l->role == WS_EDL_CLAIMING) {
		take_over(l, now, started, fx);
		return;
	}
	if (l->reclaims)
		begin_epoch(l, fx);
	commit_proposed(l, now, &l->proposal);
}

/* ===== Time ===== */

/*
 * Whether a majority of the voters has shown that no former leader can extend
 * its lease any more. The echoes must be close together, see
 * WS_ED_FORGOTTEN_TIME.
 */
static bool is_confirmed_by_voters(const struct ws_ed_lead *l, ws_us now,
				   ws_us quorum)
{
	return quorum >= l->claimed_at && now - quorum <= WS_ED_LEADER_LEASE;
}

/* May be true one lease early, as keys are moved one lease later. */
static bool is_confirmed_by_time(const struct ws_ed_lead *l, ws_us now)
{
	return now - l->claimed_at >= WS_ED_STORELESS_MAX - WS_ED_LEADER_LEASE;
}

static void update_confirmation(struct ws_ed_lead *l, ws_us now, ws_us quorum,
				struct ws_ed_fx *fx)
{
	bool by_voters = is_confirmed_by_voters(l, now, quorum);

	if (l->confirmed_at || (!by_voters && !is_confirmed_by_time(l, now)))
		return;
	l->confirmed_at = now;
	ws_ed_fx_log(fx, WS_LOG_LEADER_CONFIRMED, l->self,
		     (int64_t)l->map.voters.n,
		     by_voters ? "by a majority of voters" : "by time");
}

static void update_lease(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx)
{
	ws_us quorum = quorum_time(l, now);
	ws_us best = quorum > l->read_evidence ? quorum : l->read_evidence;
	ws_us end = best + WS_ED_LEADER_LEASE;
	ws_us storeless_end = l->read_evidence + WS_ED_STORELESS_MAX;

	l->valid_until = end < storeless_end ? end : storeless_end;
	update_confirmation(l, now, quorum, fx);
}

bool ws_ed_lead_needs_read(const struct ws_ed_lead *l, ws_us now)
{
	return l->role == WS_EDL_LEADER &&
	       (now - ws_ed_lead_evidence_time(l) > LEADER_EVIDENCE_MAX ||
		now - l->store_reached_at > LEADER_STORE_MAX ||
		now - l->read_evidence > LEADER_READ_MAX);
}

static bool has_newer_leader(const struct ws_ed_lead *l)
{
	return ws_ed_lead_epoch(l) > l->epoch;
}

/*
 * Whether servers may have leases from former leaders that the map does not
 * name. When these have expired, a verified map is written.
 */
static bool must_wait_for_leases(struct ws_ed_lead *l, ws_us now)
{
	if (!l->map_unverified)
		return false;
	if (!l->confirmed_at ||
	    now < l->confirmed_at + WS_ED_LEADER_LEASE + WS_ED_KEY_LEASE_BOUND)
		return true;
	l->map_unverified = false;
	l->rewrites = true;
	return false;
}

static bool has_proposed(const struct ws_ed_lead *l)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++)
		if (l->ranges[i].state == WS_ED_RANGE_PROPOSED)
			return true;
	return false;
}

static bool has_to_write(const struct ws_ed_lead *l, ws_us now)
{
	if (l->reclaims)
		return quorum_time(l, now) >= l->era_since;
	return l->rewrites || has_proposed(l) || may_change_voters(l, now);
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
	if (has_newer_leader(l)) {
		step_down(l, "another instance leads", fx);
		ws_ed_fx_read(fx, WS_EDT_MAP);
		return;
	}
	update_lease(l, now, fx);
	if (!ws_ed_lead_valid(l, now)) {
		step_down(l, "its lease has expired", fx);
		ws_ed_fx_read(fx, WS_EDT_MAP);
		return;
	}
	if (must_wait_for_leases(l, now))
		return;
	if (l->counter >= FENCE_COUNTER_MAX) {
		step_down(l, "tokens are used up", fx);
		l->next_claim = now;
		return;
	}
	if (!l->reclaims)
		ws_ed_balance_tick(l, now, fx);
	ws_ed_ranges_tick(l, now, fx);
	if (!l->appending && now >= l->next_append && has_to_write(l, now)) {
		build_proposal(l, now);
		if (l->reclaims)
			l->proposal.epoch = next_epoch(l);
		append(l, fx);
	}
}

bool ws_ed_lead_moving(const struct ws_ed_lead *l, ws_id service, uint32_t key)
{
	size_t i;

	for (i = 0; i < l->n_ranges; i++) {
		const struct ws_ed_range *r = &l->ranges[i];

		if (r->service == service && r->from <= key && key <= r->to)
			return r->state != WS_ED_RANGE_OWNED;
	}
	return false;
}
