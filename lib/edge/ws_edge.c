#include "edge/ws_edge.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_edge_int.h"

#define SLOW_TICK (50 * WS_MS)
/* A failure of the store this long ago may still explain lost entries. */
#define STORE_LOST_RECENT (6 * WS_SECOND)
/* An entry lapses after three heartbeats of its server, of 0.8 s and more. */
#define OUTAGE_MIN (2500 * WS_MS)
/* Without evidence for this time callers are better served elsewhere. */
#define READY_EVIDENCE (3 * WS_SECOND)
/*
 * Part of the time until the process ends in which requests are still taken;
 * the rest is for their answers.
 */
#define DRAIN_ACCEPT_PART 0.5
/*
 * A read that waits may miss a record. When others have read further than this
 * instance for this time, it reads anew.
 */
#define BEHIND_MAX (80 * WS_MS)
/* The map is told; it is asked for only when a slice was lost. */
#define MAP_BEHIND_MIN (700 * WS_MS)
/*
 * Evidence older than this is not waited for; the store is read instead. A
 * read that waits for news is evidence of its start, so that what is told ages
 * up to twice such a wait.
 */
#define EVIDENCE_TOLD (2600 * WS_MS)
/* Heartbeats until an instance's demand is known in another zone, mostly. */
#define RELAY_HOPS 2
/* Relays have told each other and their zones so long after the start. */
#define RELAYS_TELL (1200 * WS_MS)
/* The leader reads the map when nothing else showed that it still leads. */
#define LEADER_EVIDENCE (1 * WS_SECOND)
/* Others lead when the leader has not reached the store for some time. */
#define LEADER_STORE (1500 * WS_MS)

/* ===== Life ===== */

struct ws_edge *ws_edge_new(const struct ws_ed_settings *set)
{
	struct ws_edge *e = ws_alloc(1, sizeof(*e));

	e->set = *set;
	e->now = set->now;
	e->peers.self = set->self;
	e->peers.zone = set->zone;
	e->peers.strength = set->strength;
	e->peers.full_mesh_until = set->now + WS_ED_FULL_MESH_TIME;
	e->pool.instances = 1;
	e->quota.slack = set->bounds.rate_slack;
	e->quota.restarted = set->restarted;
	ws_ed_suspects_init(&e->suspects);
	ws_rand_seed(&e->rand, set->seed);
	ws_rand_seed(&e->pool.rand, set->seed ^ set->self);
	e->lead.self = set->self;
	e->lead.started = set->now;
	e->lead.peers = &e->peers;
	e->lead.pool = &e->pool;
	e->lead.heat = &e->heat;
	e->cap_calls = 64;
	while (e->cap_calls < 2 * set->max_calls)
		e->cap_calls *= 2;
	e->calls = ws_alloc(e->cap_calls, sizeof(*e->calls));
	return e;
}

void ws_edge_free(struct ws_edge *e)
{
	if (!e)
		return;
	ws_ed_conf_free(e->conf);
	ws_ed_pool_free(&e->pool);
	ws_ed_peers_free(&e->peers);
	ws_ed_heat_free(&e->heat);
	ws_ed_quota_free(&e->quota);
	ws_ed_lead_free(&e->lead);
	ws_ed_suspects_free(&e->suspects);
	ws_ed_map_free(&e->received_map);
	free(e->calls);
	free(e->order);
	free(e->budgets);
	free(e);
}

/* ===== What the store says ===== */

/* Through relays a demand is known after some more heartbeats. */
static ws_us demands_told_every(const struct ws_edge *e)
{
	ws_us period = ws_ed_peers_period(&e->peers);

	return e->peers.uses_relays ? RELAY_HOPS * period : period;
}

static void take_config(struct ws_edge *e, struct ws_ed_conf *conf,
			struct ws_ed_fx *fx)
{
	char detail[64];

	if (e->conf && conf->version <= e->conf->version) {
		ws_ed_conf_free(conf);
		return;
	}
	ws_ed_conf_free(e->conf);
	e->conf = conf;
	e->lead.conf = conf;
	ws_ed_pool_configure(&e->pool, conf);
	ws_ed_quota_configure(&e->quota, e->now, conf);
	ws_ed_quota_tick(&e->quota, e->now, ws_ed_peers_known(&e->peers),
			 demands_told_every(e));
	snprintf(detail, sizeof(detail), "%zu routes, %zu services, %zu keys",
		 conf->n_routes, conf->n_services, conf->n_keys);
	ws_ed_fx_log(fx, WS_LOG_BUNDLE_IN_FORCE, 0, (int64_t)conf->version,
		     detail);
}

void ws_ed_server_crashed(struct ws_edge *e, ws_id server, struct ws_ed_fx *fx)
{
	size_t n = ws_ed_suspects_on_crash(&e->suspects, e->now, server);

	if (n)
		ws_ed_fx_log(fx, WS_LOG_QUARANTINE, server, (int64_t)n,
			     "was at servers that crashed");
}

static void take_listing(struct ws_edge *e, const struct ws_ed_listing *l,
			 struct ws_ed_fx *fx)
{
	ws_id id = ws_ed_id(l->name);
	int32_t h = ws_ed_pool_find(&e->pool, id);

	if (h >= 0 && e->pool.servers[h].born_ms < l->born_ms)
		ws_ed_server_crashed(e, id, fx);
	ws_ed_pool_listed(&e->pool, e->now, l,
			  ws_ed_conf_service(e->conf, l->service));
}

/* The store tells something again after a time without any evidence. */
static void note_outage(struct ws_edge *e)
{
	ws_us evidence = e->evidence[WS_EDT_SERVERS];

	if (evidence && e->now - evidence > OUTAGE_MIN)
		e->store_recovered_at = e->now;
}

/*
 * Entries may lapse because the store was away for the servers; those come
 * back soon after it. A call that failed here only, while others read the
 * store, is no such outage.
 */
static void take_unlisted(struct ws_edge *e, ws_id id)
{
	ws_us linger = 0;

	/* What a read brings is taken before the read counts as evidence. */
	note_outage(e);
	if (e->store_failed_at &&
	    e->now - e->store_failed_at < STORE_LOST_RECENT &&
	    e->store_recovered_at)
		linger = e->store_recovered_at + e->set.bounds.linger - e->now;
	ws_ed_pool_unlisted(&e->pool, e->now, id, linger > 0 ? linger : 0);
}

void ws_ed_evidence_update(struct ws_edge *e, int topic, ws_us at)
{
	if (at <= e->evidence[topic])
		return;
	if (topic == WS_EDT_SERVERS)
		note_outage(e);
	e->evidence[topic] = at;
}

/* ===== Time ===== */

/* The map is told again with the next heartbeats if a slice was lost. */
static ws_us behind_max(const struct ws_edge *e, int topic)
{
	ws_us told = 2 * ws_ed_peers_period(&e->peers);

	if (topic == WS_EDT_MAP)
		return told > MAP_BEHIND_MIN ? told : MAP_BEHIND_MIN;
	/* Asking another instance costs nothing. */
	if (ws_edge_topic_source(e, e->now, (enum ws_ed_topic)topic))
		return 0;
	return BEHIND_MAX;
}

static void check_behind(struct ws_edge *e, struct ws_ed_fx *fx)
{
	int i;

	for (i = 0; i < WS_EDT_COUNT; i++) {
		if (e->ends[i] >= e->peer_ends[i] ||
		    e->ends[i] > e->behind_at[i]) {
			e->behind_since[i] = 0;
			e->behind_at[i] = e->ends[i];
		}
		if (e->ends[i] >= e->peer_ends[i])
			continue;
		if (!e->behind_since[i])
			e->behind_since[i] = e->now;
		if (e->now - e->behind_since[i] >= behind_max(e, i)) {
			e->behind_since[i] = 0;
			ws_ed_fx_read(fx, (enum ws_ed_topic)i);
		}
	}
}

static void take_reading(struct ws_edge *e, enum ws_ed_topic topic)
{
	size_t i;

	if (topic >= WS_ED_EVIDENCE_TOPICS)
		return;
	for (i = 0; i < e->peers.n; i++)
		e->peers.members[i].stamp_at_start[topic] =
			e->peers.members[i].stamp;
}

static void note_read_stamps(struct ws_edge *e, enum ws_ed_topic topic)
{
	size_t i;

	if (topic >= WS_ED_EVIDENCE_TOPICS)
		return;
	for (i = 0; i < e->peers.n; i++)
		e->peers.members[i].stamp_at_read[topic] =
			e->peers.members[i].stamp_at_start[topic];
}

static void take_sync(struct ws_edge *e, enum ws_ed_topic topic, ws_us started,
		      uint64_t end, struct ws_ed_fx *fx)
{
	ws_ed_evidence_update(e, (int)topic, started);
	if (started)
		note_read_stamps(e, topic);
	if (started > e->lead.store_reached_at)
		e->lead.store_reached_at = started;
	if (end <= e->ends[topic])
		return;
	e->ends[topic] = end;
	/* Its zone waits for the news. */
	if (started && e->peers.uses_relays && e->peers.is_relay)
		ws_ed_fx_add(fx, WS_EDFX_HEARTBEAT);
}

/*
 * After the start of many, only the own zone is heard until relays have told
 * each other: shares by what is known would give each zone the whole rate.
 */
static double demand_coverage(const struct ws_edge *e)
{
	const struct ws_ed_peers *p = &e->peers;
	size_t heard = 1;
	size_t i;

	if (p->n <= WS_ED_FULL_MESH_MEMBERS_MAX ||
	    e->now >= p->full_mesh_until + RELAYS_TELL)
		return 1.0;
	for (i = 0; i < p->n; i++)
		heard += ws_ed_member_alive(p, &p->members[i], e->now);
	return (double)heard / (double)ws_ed_peers_known(p);
}

static void slow_tick(struct ws_edge *e, struct ws_ed_fx *fx)
{
	e->peers.leaving = e->draining;
	e->peers.store_sound = ws_ed_lead_store_reachable(&e->lead, e->now);
	ws_ed_peers_tick(&e->peers, e->now);
	e->pool.instances = ws_ed_peers_known(&e->peers);
	ws_ed_pool_tick(&e->pool, e->now);
	ws_ed_heat_tick(&e->heat, e->now);
	ws_ed_suspects_tick(&e->suspects, e->now);
	e->quota.coverage = demand_coverage(e);
	ws_ed_quota_tick(&e->quota, e->now, e->pool.instances,
			 demands_told_every(e));
	ws_ed_budget_update_overload(e);
	ws_ed_lead_tick(&e->lead, e->now, fx);
	check_behind(e, fx);
}

static void tick(struct ws_edge *e, struct ws_ed_fx *fx)
{
	if (e->now >= e->next_slow_tick) {
		e->next_slow_tick = e->now + SLOW_TICK;
		slow_tick(e, fx);
	}
	ws_ed_call_tick(e, fx);
}

/* ===== Step ===== */

void ws_edge_step(struct ws_edge *e, const struct ws_ed_event *ev,
		  struct ws_ed_fx *fx)
{
	e->now = ev->now;
	switch (ev->kind) {
	case WS_EDEV_TICK:
		tick(e, fx);
		break;
	case WS_EDEV_CONFIG:
		take_config(e, ev->u.config, fx);
		break;
	case WS_EDEV_LISTED:
		take_listing(e, ev->u.listing, fx);
		break;
	case WS_EDEV_UNLISTED:
		take_unlisted(e, ev->u.unlisted);
		ws_ed_server_crashed(e, ev->u.unlisted, fx);
		break;
	case WS_EDEV_ZONE:
		ws_ed_pool_set_zone(&e->pool, e->now, ev->u.zone.zone,
				    ev->u.zone.out, e->conf);
		break;
	case WS_EDEV_READ_STARTED:
		take_reading(e, ev->u.reading);
		break;
	case WS_EDEV_READ_DONE:
		take_sync(e, ev->u.sync.topic, ev->u.sync.started,
			  ev->u.sync.end, fx);
		break;
	case WS_EDEV_STORE_FAILED:
		e->store_failed_at = e->now;
		break;
	case WS_EDEV_MAP_READ_DONE:
		take_sync(e, WS_EDT_MAP, ev->u.map.started, ev->u.map.end, fx);
		ws_ed_lead_on_read(&e->lead, e->now, ev->u.map.started,
				   ev->u.map.map, ev->u.map.end, fx);
		break;
	case WS_EDEV_APPENDED:
		ws_ed_lead_on_append(&e->lead, e->now, ev->u.appended.at,
				     ev->u.appended.started, ev->u.appended.end,
				     fx);
		if (e->lead.map_end > e->ends[WS_EDT_MAP])
			e->ends[WS_EDT_MAP] = e->lead.map_end;
		break;
	case WS_EDEV_MEMBER:
		e->members_known = true;
		ws_ed_peers_add(&e->peers, e->now, &ev->u.member);
		break;
	case WS_EDEV_HEARTBEAT:
		e->members_known = true;
		ws_ed_beat_receive(e, ev->u.beat, fx);
		break;
	case WS_EDEV_ARRIVAL:
		ws_ed_call_arrive(e, ev->u.arrival, fx);
		break;
	case WS_EDEV_CALLER_GONE:
		ws_ed_call_gone(e, ev->u.gone, fx);
		break;
	case WS_EDEV_REQUEST_ENDED:
		ws_ed_call_ended(e, &ev->u.ending, fx);
		break;
	case WS_EDEV_KEY_CALLED:
		ws_ed_lead_on_call_result(&e->lead, e->now,
					  ev->u.key_called.ref,
					  ev->u.key_called.end,
					  ev->u.key_called.handover, fx);
		ws_ed_lead_tick(&e->lead, e->now, fx);
		break;
	case WS_EDEV_DRAIN:
		e->draining = true;
		e->refuse_from = e->now + (ws_us)(DRAIN_ACCEPT_PART *
						  (double)ev->u.drain_time);
		e->lead.leaving = true;
		break;
	default:
		WS_INVARIANT(false);
	}
}

/* ===== Questions ===== */

bool ws_edge_ready(const struct ws_edge *e, ws_us now)
{
	/* Shares of rates and of cold servers go by the number of members. */
	return e->conf && e->members_known && !e->draining &&
	       e->evidence[WS_EDT_CONFIG] && e->evidence[WS_EDT_SERVERS] &&
	       now - e->evidence[WS_EDT_CONFIG] < READY_EVIDENCE;
}

/* Told evidence is older where heartbeats are rare. */
static ws_us evidence_wanted(const struct ws_edge *e)
{
	ws_us age = EVIDENCE_TOLD + 2 * ws_ed_peers_period(&e->peers);

	return age < READY_EVIDENCE ? age : READY_EVIDENCE;
}

bool ws_edge_should_read(const struct ws_edge *e, ws_us now,
			 enum ws_ed_topic topic)
{
	if (topic == WS_EDT_MAP)
		return e->lead.role == WS_EDL_LEADER &&
		       (now - ws_ed_lead_evidence_time(&e->lead) >
				LEADER_EVIDENCE ||
			now - e->lead.store_reached_at > LEADER_STORE);
	if (!e->evidence[topic] || ws_ed_peers_reads_store(&e->peers, now))
		return true;
	return now - e->evidence[topic] > evidence_wanted(e);
}

const struct ws_ed_member *
ws_edge_topic_source(const struct ws_edge *e, ws_us now, enum ws_ed_topic topic)
{
	const struct ws_ed_member *best = NULL;
	size_t i;

	for (i = 0; i < e->peers.n; i++) {
		const struct ws_ed_member *m = &e->peers.members[i];
		bool near = m->zone == e->peers.zone;

		if (m->leaving || m->ends[topic] <= e->ends[topic] ||
		    !ws_ed_member_alive(&e->peers, m, now))
			continue;
		if (!best || (near && best->zone != e->peers.zone))
			best = m;
	}
	return best;
}

uint64_t ws_edge_topic_end(const struct ws_edge *e, enum ws_ed_topic topic)
{
	return e->ends[topic];
}

_Static_assert(WS_ED_TOPICS == (int)WS_EDT_COUNT, "one end for each topic");

ws_us ws_edge_topic_age(const struct ws_edge *e, ws_us now,
			enum ws_ed_topic topic)
{
	return now - e->evidence[topic];
}

ws_us ws_edge_evidence_age(const struct ws_edge *e, ws_us now)
{
	return now - e->evidence[WS_EDT_CONFIG];
}

void ws_edge_set_bounds(struct ws_edge *e, const struct ws_ed_bounds *bounds)
{
	e->set.bounds = *bounds;
	e->quota.slack = bounds->rate_slack;
}

const struct ws_ed_conf *ws_edge_conf(const struct ws_edge *e)
{
	return e->conf;
}

const struct ws_ed_pool *ws_edge_pool(const struct ws_edge *e)
{
	return &e->pool;
}

const struct ws_ed_peers *ws_edge_peers(const struct ws_edge *e)
{
	return &e->peers;
}

const struct ws_ed_quota *ws_edge_quota(const struct ws_edge *e)
{
	return &e->quota;
}

const struct ws_ed_lead *ws_edge_lead(const struct ws_edge *e)
{
	return &e->lead;
}

const char *ws_edge_customer(const struct ws_edge *e, uint64_t request)
{
	const struct ed_call *c = ws_ed_call_find(e, request);

	return c ? c->customer : "";
}

const struct ws_ed_counters *ws_edge_counters(const struct ws_edge *e)
{
	return &e->counters;
}

size_t ws_edge_open(const struct ws_edge *e)
{
	return e->n_calls;
}

size_t ws_edge_waiting(const struct ws_edge *e)
{
	return e->n_waiting;
}
