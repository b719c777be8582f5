#include "edge/ws_edge.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_edge_int.h"

#define SLOW_TICK (50 * WS_MS)
/* A failure of the store this long ago may still explain lost entries. */
#define STORE_LOST_RECENT (6 * WS_SECOND)
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
/*
 * Evidence older than this is not waited for; the store is read instead. A
 * leaving server must get nothing after 2 s, although one read may be lost.
 */
#define CONFIG_TOLD (1900 * WS_MS)
#define SERVERS_TOLD (1 * WS_SECOND)
/* Demands below this are not worth telling. */
#define DEMAND_MIN 0.05
/* Entries of the map in one heartbeat. */
#define MAP_SLICE 45
/* Reports of servers older than this are of no use to others. */
#define LOAD_AGE_MAX (500 * WS_MS)

/* ===== Life ===== */

struct ws_edge *ws_edge_new(const struct ws_ed_settings *set)
{
	struct ws_edge *e = ws_alloc(1, sizeof(*e));

	e->set = *set;
	e->now = set->now;
	e->peers.self = set->self;
	e->pool.instances = 1;
	e->quota.slack = set->bounds.rate_slack;
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
	ws_ed_map_free(&e->told_map);
	free(e->calls);
	free(e->order);
	free(e->budgets);
	free(e);
}

/* ===== What the store says ===== */

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
	ws_ed_quota_tick(&e->quota, e->now, ws_ed_peers_count(&e->peers),
			 ws_ed_peers_period(&e->peers));
	snprintf(detail, sizeof(detail), "%zu routes, %zu services, %zu keys",
		 conf->n_routes, conf->n_services, conf->n_keys);
	ws_ed_fx_note(fx, WS_LOG_BUNDLE_IN_FORCE, 0, (int64_t)conf->version,
		      detail);
}

static void take_listing(struct ws_edge *e, const struct ws_ed_listing *l)
{
	ws_ed_pool_listed(&e->pool, e->now, l,
			  ws_ed_conf_service(e->conf, l->service));
}

/* Entries may lapse because the store was away; they come back soon then. */
static void take_unlisted(struct ws_edge *e, ws_id id)
{
	bool excused = e->store_lost &&
		       e->now - e->store_lost < STORE_LOST_RECENT;

	ws_ed_pool_unlisted(&e->pool, e->now, id,
			    excused ? e->set.bounds.linger : 0);
}

/* ===== Other instances ===== */

/*
 * The sender has read a topic after it received this instance's stamp. If
 * nothing is missing here, that read is evidence here as well, as old as the
 * stamp.
 */
static void take_evidence(struct ws_edge *e, const struct ws_ed_beat *b,
			  ws_us stamp, int topic)
{
	ws_us *evidence = &e->evidence[topic];

	if (*evidence && stamp > *evidence && stamp <= e->now &&
	    e->ends[topic] >= b->ends[topic])
		*evidence = stamp;
}

static void take_echo(struct ws_edge *e, struct ws_ed_member *m,
		      const struct ws_ed_beat *b)
{
	int i;

	if (b->echo.stamp > m->echoed && b->echo.stamp <= e->now)
		m->echoed = b->echo.stamp;
	for (i = 0; i < WS_ED_TOLD_TOPICS; i++)
		take_evidence(e, b, b->echo.read_stamps[i], i);
}

static void take_load(struct ws_edge *e, const struct ws_ed_told_load *l)
{
	const struct ws_ed_report r = {
		.known = true,
		.running = l->running,
		.waiting = l->waiting,
		.pace = (double)l->pace_percent / 100.0,
	};

	ws_ed_pool_told(&e->pool, e->now - (ws_us)l->age_ms * WS_MS, l->server,
			&r);
}

/* Slices come in order; after a gap the leader's next telling starts anew. */
static void take_map(struct ws_edge *e, const struct ws_ed_beat *b,
		     struct ws_ed_fx *fx)
{
	uint64_t end = b->ends[WS_EDT_MAP];
	size_t i;

	if (end <= e->lead.end)
		return;
	if (!b->map_first) {
		e->told_map.n = 0;
		e->told_map.epoch = b->map.epoch;
		e->told_map.leader = b->map.leader;
		e->told_map_end = end;
	}
	if (e->told_map_end != end || e->told_map.n != b->map_first)
		return;
	for (i = 0; i < b->map.n; i++)
		ws_ed_map_add(&e->told_map, &b->map.entries[i]);
	if (e->told_map.n != b->map_total)
		return;
	ws_ed_lead_told(&e->lead, e->now, &e->told_map, end, fx);
	e->ends[WS_EDT_MAP] = e->lead.end;
}

static void take_beat(struct ws_edge *e, const struct ws_ed_beat *b,
		      struct ws_ed_fx *fx)
{
	struct ws_ed_member *m =
		ws_ed_peers_add(&e->peers, e->now, b->from, b->address);
	uint32_t i;

	if (!m)
		return;
	if (m->incarnation != b->incarnation) {
		m->incarnation = b->incarnation;
		m->echoed = 0;
		m->stamp = 0;
		memset(m->stamp_at_start, 0, sizeof(m->stamp_at_start));
		memset(m->stamp_at_read, 0, sizeof(m->stamp_at_read));
		ws_ed_fx_note(fx, WS_LOG_INSTANCE_SEEN, b->from, 0, b->address);
	}
	/* Datagrams may overtake each other. */
	if (b->has_map ? b->stamp < m->stamp : b->stamp <= m->stamp)
		return;
	m->stamp = b->stamp;
	m->heard = e->now;
	m->leaving = b->leaving;
	m->store_sound = b->store_sound;
	m->map_end = b->ends[WS_EDT_MAP];
	if (b->epoch > m->epoch)
		m->epoch = b->epoch;
	if (b->echo.peer == e->set.self)
		take_echo(e, m, b);
	if (b->has_map) {
		take_map(e, b, fx);
		return;
	}
	for (i = 0; i < b->n_demands; i++)
		ws_ed_quota_told(&e->quota, e->now, b->from,
				 b->demands[i].customer,
				 (double)b->demands[i].per_s);
	ws_ed_quota_heard(&e->quota, e->now, b->from);
	for (i = 0; i < b->n_counts; i++)
		ws_ed_heat_told(&e->heat, &b->counts[i]);
	for (i = 0; i < b->n_loads; i++)
		take_load(e, &b->loads[i]);
	for (i = 0; i < WS_EDT_COUNT; i++)
		if (b->ends[i] > e->told_ends[i])
			e->told_ends[i] = b->ends[i];
}

static void tell_loads(struct ws_edge *e, ws_us now, struct ws_ed_beat *b)
{
	size_t i;

	b->n_loads = 0;
	for (i = 0; i < e->pool.n && b->n_loads < WS_ED_LOADS_MAX; i++) {
		struct ws_ed_server *s = &e->pool.servers[i];

		if (!s->untold)
			continue;
		s->untold = false;
		if (now - s->reported > LOAD_AGE_MAX)
			continue;
		b->loads[b->n_loads++] = (struct ws_ed_told_load){
			.server = s->id,
			.running = (uint16_t)s->report.running,
			.waiting = (uint16_t)s->report.waiting,
			.pace_percent = (uint16_t)(s->report.pace * 100.0),
			.age_ms = (uint16_t)((now - s->reported) / WS_MS),
		};
	}
}

static void tell_demands(struct ws_edge *e, ws_us now, struct ws_ed_beat *b)
{
	size_t i;

	for (i = 0; i < e->quota.n && b->n_demands < WS_ED_DEMANDS_MAX; i++) {
		const struct ws_ed_bucket *q =
			&e->quota.buckets[(e->next_demand + i) % e->quota.n];
		double per_s = ws_ed_quota_demand(q, now);

		if (q->rate > 0.0 && per_s > DEMAND_MIN)
			b->demands[b->n_demands++] = (struct ws_ed_told_demand){
				.customer = q->customer,
				.per_s = (float)per_s,
			};
	}
	e->next_demand += i;
}

void ws_edge_beat(struct ws_edge *e, ws_us now, struct ws_ed_beat *b)
{

	b->from = e->set.self;
	b->incarnation = e->set.incarnation;
	b->stamp = now;
	b->epoch = ws_ed_lead_epoch(&e->lead);
	memcpy(b->ends, e->ends, sizeof(b->ends));
	if (e->lead.end > b->ends[WS_EDT_MAP])
		b->ends[WS_EDT_MAP] = e->lead.end;
	tell_loads(e, now, b);
	b->leaving = e->draining;
	b->store_sound = ws_ed_lead_store_sound(&e->lead, now);
	b->n_demands = 0;
	b->has_map = false;
	tell_demands(e, now, b);
	b->n_counts = (uint32_t)e->heat.n_fresh;
	memcpy(b->counts, e->heat.fresh,
	       e->heat.n_fresh * sizeof(e->heat.fresh[0]));
	e->heat.n_fresh = 0;
}

void ws_edge_beat_for(const struct ws_edge *e, const struct ws_ed_member *m,
		      struct ws_ed_beat *b)
{
	b->echo = (struct ws_ed_echo){ .peer = m->id };
	/* Before it knows the map, an instance may support an old leader. */
	if (!e->lead.known || !ws_ed_member_alive(&e->peers, m, b->stamp))
		return;
	b->echo.stamp = m->stamp;
	memcpy(b->echo.read_stamps, m->stamp_at_read,
	       sizeof(b->echo.read_stamps));
}

bool ws_edge_tells_map(const struct ws_edge *e, ws_us now,
		       const struct ws_ed_member *m)
{
	return ws_ed_lead_tells(&e->lead, now, m);
}

uint32_t ws_edge_beat_map(const struct ws_edge *e, uint32_t first,
			  struct ws_ed_beat *b)
{
	const struct ws_ed_map *m = &e->lead.map;
	uint32_t i;

	b->has_map = true;
	b->n_demands = 0;
	b->n_counts = 0;
	b->n_loads = 0;
	b->map_total = (uint32_t)m->n;
	b->map_first = first;
	b->map.epoch = m->epoch;
	b->map.leader = m->leader;
	b->map.n = 0;
	for (i = first; i < m->n && b->map.n < MAP_SLICE; i++)
		ws_ed_map_add(&b->map, &m->entries[i]);
	return i < m->n ? i : 0;
}

/* ===== Time ===== */

/* The map is told again with the next heartbeats if a slice was lost. */
static ws_us behind_max(const struct ws_edge *e, int topic)
{
	if (topic != WS_EDT_MAP ||
	    ws_ed_peers_period(&e->peers) == WS_ED_BEAT_PERIOD)
		return BEHIND_MAX;
	return 2 * ws_ed_peers_period(&e->peers);
}

static void check_behind(struct ws_edge *e, struct ws_ed_fx *fx)
{
	int i;

	for (i = 0; i < WS_EDT_COUNT; i++) {
		if (e->ends[i] >= e->told_ends[i]) {
			e->behind_since[i] = 0;
		} else if (!e->behind_since[i]) {
			e->behind_since[i] = e->now;
		} else if (e->now - e->behind_since[i] >= behind_max(e, i)) {
			e->behind_since[i] = 0;
			ws_ed_fx_read(fx, (enum ws_ed_topic)i);
		}
	}
}

static void take_reading(struct ws_edge *e, enum ws_ed_topic topic)
{
	size_t i;

	if (topic >= WS_ED_TOLD_TOPICS)
		return;
	for (i = 0; i < e->peers.n; i++)
		e->peers.members[i].stamp_at_start[topic] =
			e->peers.members[i].stamp;
}

static void note_read_stamps(struct ws_edge *e, enum ws_ed_topic topic)
{
	size_t i;

	if (topic >= WS_ED_TOLD_TOPICS)
		return;
	for (i = 0; i < e->peers.n; i++)
		e->peers.members[i].stamp_at_read[topic] =
			e->peers.members[i].stamp_at_start[topic];
}

static void take_sync(struct ws_edge *e, enum ws_ed_topic topic, ws_us started,
		      uint64_t end)
{
	if (started > e->evidence[topic])
		e->evidence[topic] = started;
	if (started)
		note_read_stamps(e, topic);
	if (started > e->lead.store_seen)
		e->lead.store_seen = started;
	if (end > e->ends[topic])
		e->ends[topic] = end;
}

static void slow_tick(struct ws_edge *e, struct ws_ed_fx *fx)
{
	ws_ed_peers_tick(&e->peers, e->now);
	e->pool.instances = ws_ed_peers_count(&e->peers);
	ws_ed_pool_tick(&e->pool, e->now);
	ws_ed_heat_tick(&e->heat, e->now);
	ws_ed_quota_tick(&e->quota, e->now, e->pool.instances,
			 ws_ed_peers_period(&e->peers));
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
		take_listing(e, ev->u.listing);
		break;
	case WS_EDEV_UNLISTED:
		take_unlisted(e, ev->u.unlisted);
		break;
	case WS_EDEV_ZONE:
		ws_ed_pool_zone(&e->pool, e->now, ev->u.zone.zone,
				ev->u.zone.out, e->conf);
		break;
	case WS_EDEV_READING:
		take_reading(e, ev->u.reading);
		break;
	case WS_EDEV_SYNC:
		take_sync(e, ev->u.sync.topic, ev->u.sync.started,
			  ev->u.sync.end);
		break;
	case WS_EDEV_STORE_LOST:
		e->store_lost = e->now;
		break;
	case WS_EDEV_MAP:
		take_sync(e, WS_EDT_MAP, ev->u.map.started, ev->u.map.end);
		ws_ed_lead_read(&e->lead, e->now, ev->u.map.started,
				ev->u.map.map, ev->u.map.end, fx);
		break;
	case WS_EDEV_APPENDED:
		ws_ed_lead_appended(&e->lead, e->now, ev->u.appended.at,
				    ev->u.appended.started, ev->u.appended.end,
				    fx);
		break;
	case WS_EDEV_MEMBER:
		ws_ed_peers_add(&e->peers, e->now, ev->u.member.id,
				ev->u.member.address);
		break;
	case WS_EDEV_BEAT:
		take_beat(e, ev->u.beat, fx);
		break;
	case WS_EDEV_ARRIVAL:
		ws_ed_call_arrive(e, ev->u.arrival, fx);
		break;
	case WS_EDEV_GONE:
		ws_ed_call_gone(e, ev->u.gone, fx);
		break;
	case WS_EDEV_ENDED:
		ws_ed_call_ended(e, &ev->u.ending, fx);
		break;
	case WS_EDEV_KEY_CALLED:
		ws_ed_lead_called(&e->lead, e->now, ev->u.key_called.ref,
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
	return e->conf && !e->draining && e->evidence[WS_EDT_CONFIG] &&
	       e->evidence[WS_EDT_SERVERS] &&
	       now - e->evidence[WS_EDT_CONFIG] < READY_EVIDENCE;
}

/* Told evidence is older where heartbeats are rare. */
static ws_us evidence_wanted(const struct ws_edge *e, enum ws_ed_topic topic)
{
	ws_us told = topic == WS_EDT_CONFIG ? CONFIG_TOLD : SERVERS_TOLD;
	ws_us age = told + 2 * ws_ed_peers_period(&e->peers);

	return age < READY_EVIDENCE ? age : READY_EVIDENCE;
}

bool ws_edge_should_read(const struct ws_edge *e, ws_us now,
			 enum ws_ed_topic topic)
{
	if (topic == WS_EDT_MAP)
		return e->lead.role == WS_EDL_LEADER;
	if (!e->evidence[topic] || ws_ed_peers_reader(&e->peers, now))
		return true;
	return now - e->evidence[topic] > evidence_wanted(e, topic);
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
