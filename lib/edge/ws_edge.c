#include "edge/ws_edge.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_throttle.h"
#include "edge/ws_edge_int.h"

#define SLOW_TICK (50 * WS_MS)
/* Time after a failure of the store in which list entries may be missing. */
#define STORE_FAILURE_RECENT (6 * WS_SECOND)
/*
 * An outage of at least this time may make list entries expire: they do so
 * after three missed heartbeats of their server, at intervals of 0.8 s or more.
 */
#define OUTAGE_MIN (2500 * WS_MS)
/* With older evidence it is not ready: other instances serve callers better. */
#define READY_EVIDENCE_MAX (3 * WS_SECOND)
/*
 * Fraction of the time until all requests are answered in which new ones are
 * accepted; the remainder is for completing them.
 */
#define DRAIN_ACCEPT_FRACTION 0.5
/*
 * A blocking read may miss a record. If peers have been ahead in a topic for
 * this time, it is read again.
 */
#define BEHIND_MAX (80 * WS_MS)
/* The map arrives in heartbeats; it is read only if a slice was lost. */
#define MAP_BEHIND_MIN (700 * WS_MS)
/*
 * If the evidence reported by peers is older than this, the store is read. A
 * blocking read proves that a topic was current when the read began, so that
 * reported evidence may be as old as two such reads take.
 */
#define PEER_EVIDENCE_MAX (2600 * WS_MS)
/* Time until the list of instances is expected if it has not been read yet. */
#define MEMBERS_DELAY (300 * WS_MS)
/* Heartbeats in which a demand usually reaches another zone. */
#define RELAY_HOPS 2
/* Time after the start until relays have exchanged and forwarded demands. */
#define RELAY_START_TIME (1200 * WS_MS)

/* ===== Creation ===== */

/* Elsewhere customers' rates keep the load below what links carry. */
static double link_rate(const struct ws_ed_bounds *bounds)
{
	return bounds->unmetered ? bounds->link_rate : 0.0;
}

struct ws_edge *ws_edge_new(const struct ws_ed_settings *set)
{
	struct ws_edge *e = ws_alloc(1, sizeof(*e));

	e->set = *set;
	e->now = set->now;
	e->peers.self = set->self;
	e->peers.zone = set->zone;
	e->peers.capacity = set->capacity;
	e->peers.full_mesh_until = set->now + WS_ED_FULL_MESH_TIME;
	e->pool.instances = 1;
	e->pool.drain_time = set->bounds.drain_time;
	e->pool.unmetered = set->bounds.unmetered;
	e->link.rate = link_rate(&set->bounds);
	e->pool.group.self = set->self;
	e->pool.group.settled_at = e->peers.full_mesh_until;
	e->quota.slack = set->bounds.rate_slack;
	e->quota.restarted = set->restarted;
	e->quota.started = set->now;
	ws_ed_suspects_init(&e->suspects);
	ws_rand_seed(&e->rand, set->seed);
	ws_rand_seed(&e->pool.rand, set->seed ^ set->self);
	e->lead.self = set->self;
	e->lead.started = set->now;
	e->lead.restarted = set->restarted;
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
	free(e->group_ids);
	free(e->budgets);
	free(e);
}

/* ===== Records of the store ===== */

/* Time until a demand reaches all instances; longer with relays. */
static ws_us demand_report_period(const struct ws_edge *e)
{
	ws_us period = ws_ed_peers_period(&e->peers);

	return e->peers.uses_relays ? RELAY_HOPS * period : period;
}

static void apply_config(struct ws_edge *e, struct ws_ed_conf *conf,
			 struct ws_ed_fx *fx)
{
	char detail[64];

	e->config_unreadable = !conf;
	if (!conf)
		return;
	if (e->conf && conf->version <= e->conf->version) {
		ws_ed_conf_free(conf);
		return;
	}
	ws_ed_pool_configure(&e->pool, e->now, conf);
	ws_ed_conf_free(e->conf);
	e->conf = conf;
	e->lead.conf = conf;
	ws_ed_quota_configure(&e->quota, e->now, conf);
	ws_ed_quota_tick(&e->quota, e->now, ws_ed_peers_known(&e->peers),
			 demand_report_period(e));
	snprintf(detail, sizeof(detail), "%zu routes, %zu services, %zu keys",
		 conf->n_routes, conf->n_services, conf->n_keys);
	ws_ed_fx_log(fx, WS_LOG_BUNDLE_IN_FORCE, 0, (int64_t)conf->version,
		     detail);
}

void ws_ed_log_request(struct ws_ed_fx *fx, uint16_t number, ws_id subject,
		       uint64_t request, const char *detail)
{
	char text[96];

	snprintf(text, sizeof(text), "%s, fingerprint %016" PRIx64, detail,
		 request);
	ws_ed_fx_log(fx, number, subject, 1, text);
}

void ws_ed_server_crashed(struct ws_edge *e, ws_id server, struct ws_ed_fx *fx)
{
	struct ws_ed_crash crash;
	size_t i;

	ws_ed_suspects_on_crash(&e->suspects, e->now, server, &crash);
	if (crash.n_struck)
		ws_ed_fx_log(fx, WS_LOG_TARGET_CRASHED, server,
			     (int64_t)crash.n_struck,
			     "requests that were at it get a strike");
	for (i = 0; i < crash.n_refused; i++)
		ws_ed_log_request(fx, WS_LOG_QUARANTINE, server,
				  crash.refused[i],
				  "was at servers that crashed");
}

/* Checks servers whose connections broke. */
static void check_servers(struct ws_edge *e, struct ws_ed_fx *fx)
{
	ws_id server;
	int64_t started_ms;

	while (ws_ed_suspects_next_check(&e->suspects, e->now, &server,
					 &started_ms)) {
		int32_t h = ws_ed_pool_find(&e->pool, server);

		if (h >= 0 && e->pool.servers[h].started_ms == started_ms)
			ws_ed_fx_add(fx, WS_EDFX_CHECK)->u.check = (uint32_t)h;
	}
}

/* A server has refused a connection that was opened to check it. */
static void on_check_refused(struct ws_edge *e, ws_id server,
			     int64_t started_ms, struct ws_ed_fx *fx)
{
	int32_t h = ws_ed_pool_find(&e->pool, server);

	if (h < 0 || e->pool.servers[h].started_ms != started_ms)
		return;
	ws_ed_pool_refused(&e->pool, e->now, (uint32_t)h);
	ws_ed_server_crashed(e, server, fx);
}

static void expire_suspects(struct ws_edge *e, struct ws_ed_fx *fx)
{
	struct ws_ed_suspect dropped;

	while (ws_ed_suspects_expire(&e->suspects, e->now, &dropped))
		ws_ed_log_request(fx, WS_LOG_SUSPECT_DROPPED, dropped.server,
				  dropped.request, "no crash is known");
}

/* Logs what was known of a server before it was listed. */
static void log_kept(const struct ws_edge *e, uint32_t server,
		     struct ws_ed_fx *fx)
{
	const struct ws_ed_stated *s = &e->pool.servers[server].stated;
	unsigned known = 0;

	if (s->leaving_since)
		known |= WS_ED_STATED_LEAVING;
	if (ws_ed_stated_closed_for(s, e->now))
		known |= WS_ED_STATED_CLOSED;
	if (s->limit.named)
		known |= WS_ED_STATED_LIMIT;
	ws_ed_pool_log_stated(&e->pool, e->now, server, known,
			      "known before it was listed", fx);
}

static void on_key_called(struct ws_edge *e, const struct ws_ed_event *ev,
			  struct ws_ed_fx *fx)
{
	ws_id server = ev->u.key_called.server;
	unsigned stated = 0;

	if (ev->u.key_called.leaving)
		stated = ws_ed_pool_key_answer_leaving(
			&e->pool, e->now, server, ev->u.key_called.started_ms);
	if (stated)
		ws_ed_pool_log_stated(
			&e->pool, e->now,
			(uint32_t)ws_ed_pool_find(&e->pool, server), stated,
			"stated in an answer to a key call", fx);
	ws_ed_lead_on_call_result(&e->lead, e->now, ev->u.key_called.ref,
				  ev->u.key_called.end,
				  ev->u.key_called.handover, fx);
	e->lead_due = true;
}

static void apply_listing(struct ws_edge *e, const struct ws_ed_listing *l,
			  struct ws_ed_fx *fx)
{
	ws_id id = ws_ed_id(l->name);
	int32_t h = ws_ed_pool_find(&e->pool, id);
	bool is_new = h < 0 || e->pool.servers[h].started_ms < l->started_ms;

	if (h >= 0 && is_new)
		ws_ed_server_crashed(e, id, fx);
	h = ws_ed_pool_listed(&e->pool, e->now, l);
	if (h >= 0 && is_new)
		log_kept(e, (uint32_t)h, fx);
}

/* Records the end of an outage if there was no evidence for some time. */
static void record_outage_end(struct ws_edge *e)
{
	ws_us evidence = e->evidence[WS_EDT_SERVERS];

	if (evidence && e->now - evidence > OUTAGE_MIN)
		e->store_recovered_at = e->now;
}

/*
 * Entries may expire because the servers could not reach the store either.
 * They return soon after an outage, so the servers are used for a little
 * longer. A call that failed at this instance while others could read the
 * store is no such outage.
 */
static void apply_unlisted(struct ws_edge *e, ws_id id)
{
	ws_us linger = 0;

	/* The records of a read are processed before it counts as evidence. */
	record_outage_end(e);
	if (e->store_failed_at &&
	    e->now - e->store_failed_at < STORE_FAILURE_RECENT &&
	    e->store_recovered_at)
		linger = e->store_recovered_at + e->set.bounds.linger - e->now;
	ws_ed_pool_unlisted(&e->pool, e->now, id, linger > 0 ? linger : 0);
}

void ws_ed_evidence_update(struct ws_edge *e, int topic, ws_us at)
{
	if (at <= e->evidence[topic])
		return;
	if (topic == WS_EDT_SERVERS)
		record_outage_end(e);
	e->evidence[topic] = at;
}

/* ===== Time ===== */

/* Time behind peers after which a topic is read again. */
static ws_us behind_max(const struct ws_edge *e, int topic)
{
	ws_us map_delay = 2 * ws_ed_peers_period(&e->peers);

	if (topic == WS_EDT_MAP)
		return map_delay > MAP_BEHIND_MIN ? map_delay : MAP_BEHIND_MIN;
	/* Fetching the records from a peer is cheap. */
	if (ws_edge_topic_source(e, e->now, (enum ws_ed_topic)topic))
		return 0;
	return BEHIND_MAX;
}

static void check_behind(struct ws_edge *e, struct ws_ed_fx *fx)
{
	int i;

	for (i = 0; i < WS_EDT_COUNT; i++) {
		if (e->topic_ends[i] >= e->peer_topic_ends[i] ||
		    e->topic_ends[i] > e->behind_at[i]) {
			e->behind_since[i] = 0;
			e->behind_at[i] = e->topic_ends[i];
		}
		if (e->topic_ends[i] >= e->peer_topic_ends[i])
			continue;
		if (!e->behind_since[i])
			e->behind_since[i] = e->now;
		if (e->now - e->behind_since[i] >= behind_max(e, i)) {
			e->behind_since[i] = 0;
			ws_ed_fx_read(fx, (enum ws_ed_topic)i);
		}
	}
}

static void save_read_start_timestamps(struct ws_edge *e,
				       enum ws_ed_topic topic)
{
	size_t i;

	if (topic >= WS_ED_EVIDENCE_TOPICS)
		return;
	for (i = 0; i < e->peers.n; i++)
		e->peers.members[i].timestamp_at_read_start[topic] =
			e->peers.members[i].timestamp;
}

static void save_read_timestamps(struct ws_edge *e, enum ws_ed_topic topic)
{
	size_t i;

	if (topic >= WS_ED_EVIDENCE_TOPICS)
		return;
	for (i = 0; i < e->peers.n; i++)
		e->peers.members[i].timestamp_at_read[topic] =
			e->peers.members[i].timestamp_at_read_start[topic];
}

static void apply_read(struct ws_edge *e, enum ws_ed_topic topic, ws_us started,
		       uint64_t end, struct ws_ed_fx *fx)
{
	ws_ed_evidence_update(e, (int)topic, started);
	if (started)
		save_read_timestamps(e, topic);
	if (started > e->lead.store_reached_at)
		e->lead.store_reached_at = started;
	if (end <= e->topic_ends[topic])
		return;
	e->topic_ends[topic] = end;
	/* The instances of its zone learn of new records from this relay. */
	if (started && e->peers.uses_relays && e->peers.is_relay)
		ws_ed_fx_add(fx, WS_EDFX_HEARTBEAT);
}

/*
 * Fraction of the instances whose demand is known. When many instances start,
 * only this zone's demand is known until relays have exchanged theirs. Shares
 * computed from that alone would give each zone the whole rate.
 */
static double demand_coverage(const struct ws_edge *e)
{
	const struct ws_ed_peers *p = &e->peers;
	size_t n_alive = 1;
	size_t i;

	if (p->n <= WS_ED_FULL_MESH_MEMBERS_MAX ||
	    e->now >= p->full_mesh_until + RELAY_START_TIME)
		return 1.0;
	for (i = 0; i < p->n; i++)
		n_alive += ws_ed_member_alive(p, &p->members[i], e->now);
	return (double)n_alive / (double)ws_ed_peers_known(p);
}

/* The members, among which request rates of servers are divided. */
static void update_group(struct ws_edge *e)
{
	size_t i;

	ws_grow(&e->group_ids, &e->cap_group_ids, e->peers.n,
		sizeof(*e->group_ids));
	for (i = 0; i < e->peers.n; i++)
		e->group_ids[i] = e->peers.members[i].id;
	ws_ed_group_set(&e->pool.group, e->group_ids, e->peers.n);
}

static void add_member(struct ws_edge *e, const struct ws_ed_member_entry *m)
{
	e->members_known = true;
	e->self_named |= m->id == e->set.self;
	ws_ed_peers_add(&e->peers, e->now, m);
}

/*
 * Instances that register later than this one read its entry, and it hears of
 * them; those that are in the list before it are read with it. So a list that
 * names this instance completes the members, one without it may lack some.
 */
static void on_members_read(struct ws_edge *e)
{
	e->members_complete |= e->self_named;
}

/* No share of a rate is used while members may be missing. */
static void delay_shares(struct ws_edge *e)
{
	ws_us at = e->now + MEMBERS_DELAY;

#ifdef WS_MUTANT_PARTIAL_MEMBERS
	return;
#endif
	if (e->members_complete || e->now - e->set.now >= WS_ED_MEMBER_TIMEOUT)
		return;
	if (e->pool.group.settled_at < at)
		e->pool.group.settled_at = at;
}

static void tick_lead(struct ws_edge *e, struct ws_ed_fx *fx)
{
	ws_ed_lead_tick(&e->lead, e->now, fx);
	e->lead_due = e->lead.calls_deferred;
}

static void slow_tick(struct ws_edge *e, struct ws_ed_fx *fx)
{
	e->peers.leaving = e->draining;
	e->peers.store_reachable = ws_ed_lead_store_reachable(&e->lead, e->now);
	ws_ed_peers_tick(&e->peers, e->now);
	e->pool.instances = ws_ed_peers_known(&e->peers);
	update_group(e);
	delay_shares(e);
	ws_ed_pool_tick(&e->pool, e->now);
	ws_ed_heat_tick(&e->heat, e->now);
	expire_suspects(e, fx);
	e->quota.coverage = demand_coverage(e);
	ws_ed_quota_tick(&e->quota, e->now, e->pool.instances,
			 demand_report_period(e));
	ws_ed_budget_update_overload(e);
	tick_lead(e, fx);
	check_behind(e, fx);
}

static void tick(struct ws_edge *e, struct ws_ed_fx *fx)
{
	if (e->now >= e->next_slow_tick) {
		e->next_slow_tick = e->now + SLOW_TICK;
		slow_tick(e, fx);
	} else if (e->lead_due) {
		tick_lead(e, fx);
	}
	check_servers(e, fx);
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
		apply_config(e, ev->u.config, fx);
		break;
	case WS_EDEV_LISTED:
		apply_listing(e, ev->u.listing, fx);
		break;
	case WS_EDEV_UNLISTED:
		apply_unlisted(e, ev->u.unlisted);
		ws_ed_server_crashed(e, ev->u.unlisted, fx);
		break;
	case WS_EDEV_ZONE:
		ws_ed_pool_set_zone(&e->pool, e->now, ev->u.zone.zone,
				    ev->u.zone.out);
		break;
	case WS_EDEV_READ_STARTED:
		save_read_start_timestamps(e, ev->u.reading);
		break;
	case WS_EDEV_READ_DONE:
		apply_read(e, ev->u.sync.topic, ev->u.sync.started,
			   ev->u.sync.end, fx);
		break;
	case WS_EDEV_STORE_FAILED:
		e->store_failed_at = e->now;
		break;
	case WS_EDEV_MAP_READ_DONE:
		apply_read(e, WS_EDT_MAP, ev->u.map.started, ev->u.map.end, fx);
		ws_ed_lead_on_read(&e->lead, e->now, ev->u.map.started,
				   ev->u.map.map, ev->u.map.end, fx);
		break;
	case WS_EDEV_APPENDED:
		ws_ed_lead_on_append(&e->lead, e->now, ev->u.appended.at,
				     ev->u.appended.started, ev->u.appended.end,
				     fx);
		if (e->lead.map_end > e->topic_ends[WS_EDT_MAP])
			e->topic_ends[WS_EDT_MAP] = e->lead.map_end;
		break;
	case WS_EDEV_MEMBER:
		add_member(e, &ev->u.member);
		break;
	case WS_EDEV_MEMBERS_READ:
		on_members_read(e);
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
		on_key_called(e, ev, fx);
		break;
	case WS_EDEV_CHECK_REFUSED:
		on_check_refused(e, ev->u.check_refused.server,
				 ev->u.check_refused.started_ms, fx);
		break;
	case WS_EDEV_REFUSED_LIST:
		ws_ed_refused_receive(e, ev->u.refused_list, fx);
		break;
	case WS_EDEV_DRAIN:
		e->draining = true;
		e->refuse_from = e->now + (ws_us)(DRAIN_ACCEPT_FRACTION *
						  (double)ev->u.drain_time);
		e->drained_at = e->now + ev->u.drain_time;
		e->lead.leaving = true;
		ws_ed_call_drain(e);
		break;
	default:
		WS_INVARIANT(false);
	}
	ws_ed_throttle_log(&e->pool, e->now, fx);
}

/* ===== Queries ===== */

bool ws_edge_ready(const struct ws_edge *e, ws_us now)
{
	/* Shares of rates and of cold servers depend on the member count. */
	return e->conf && e->members_known && !e->draining &&
	       e->evidence[WS_EDT_CONFIG] && e->evidence[WS_EDT_SERVERS] &&
	       now - e->evidence[WS_EDT_CONFIG] < READY_EVIDENCE_MAX;
}

/* Evidence of peers is older if heartbeats are less frequent. */
static ws_us peer_evidence_max(const struct ws_edge *e)
{
	ws_us age = PEER_EVIDENCE_MAX + 2 * ws_ed_peers_period(&e->peers);

	return age < READY_EVIDENCE_MAX ? age : READY_EVIDENCE_MAX;
}

bool ws_edge_should_read(const struct ws_edge *e, ws_us now,
			 enum ws_ed_topic topic)
{
	if (topic == WS_EDT_MAP)
		return ws_ed_lead_needs_read(&e->lead, now);
	if (!e->evidence[topic] || ws_ed_peers_reads_store(&e->peers, now))
		return true;
	return now - e->evidence[topic] > peer_evidence_max(e);
}

const struct ws_ed_member *
ws_edge_topic_source(const struct ws_edge *e, ws_us now, enum ws_ed_topic topic)
{
	const struct ws_ed_member *best = NULL;
	size_t i;

	for (i = 0; i < e->peers.n; i++) {
		const struct ws_ed_member *m = &e->peers.members[i];
		bool own_zone = m->zone == e->peers.zone;

		if (m->leaving ||
		    m->topic_ends[topic] <= e->topic_ends[topic] ||
		    !ws_ed_member_alive(&e->peers, m, now))
			continue;
		if (!best || (own_zone && best->zone != e->peers.zone))
			best = m;
	}
	return best;
}

uint64_t ws_edge_topic_end(const struct ws_edge *e, enum ws_ed_topic topic)
{
	return e->topic_ends[topic];
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

bool ws_edge_config_is_current(const struct ws_edge *e, ws_us now)
{
	return e->conf && !ws_ed_call_config_retry_after(e, now);
}

void ws_edge_set_bounds(struct ws_edge *e, const struct ws_ed_bounds *bounds)
{
	e->set.bounds = *bounds;
	e->pool.drain_time = bounds->drain_time;
	e->pool.unmetered = bounds->unmetered;
	e->link.rate = link_rate(bounds);
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

bool ws_edge_sheds_connection(struct ws_edge *e, ws_us now)
{
	return ws_ed_link_sheds(&e->link, now);
}

const struct ws_ed_link *ws_edge_link(const struct ws_edge *e)
{
	return &e->link;
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
