#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_edge_int.h"

/* Heartbeats: what an instance tells, and what it takes from others. */

/* Demands below this are not worth telling. */
#define DEMAND_MIN 0.05
/* Entries of the map in one heartbeat. */
#define MAP_SLICE 45
/* Time between two tellings of the whole map to a member. */
#define MAP_REPEAT (500 * WS_MS)
/* Reports of servers older than this are of no use to others. */
#define LOAD_AGE_MAX (500 * WS_MS)

/* ===== Taking ===== */

/*
 * The sender has read a topic after it received this instance's stamp. If
 * nothing is missing here, that read is evidence here as well, as old as the
 * stamp.
 */
static void take_evidence(struct ws_edge *e, const struct ws_ed_beat *b,
			  ws_us stamp, int topic)
{
	if (e->evidence[topic] && stamp <= e->now &&
	    e->ends[topic] >= b->ends[topic])
		ws_ed_evidence_update(e, topic, stamp);
}

static void take_echo(struct ws_edge *e, struct ws_ed_member *m,
		      const struct ws_ed_beat *b)
{
	int i;

	if (b->echo.stamp > m->echoed_stamp && b->echo.stamp <= e->now)
		m->echoed_stamp = b->echo.stamp;
	for (i = 0; i < WS_ED_EVIDENCE_TOPICS; i++)
		take_evidence(e, b, b->echo.read_stamps[i], i);
}

/*
 * A relay hands on to the other relays what its zone tells, and to its zone
 * what it hears from anybody.
 */
static uint8_t hand_on(const struct ws_edge *e, bool near)
{
	if (!e->peers.is_relay)
		return 0;
	return near ? WS_ED_PENDING_ZONE | WS_ED_PENDING_RELAYS :
		      WS_ED_PENDING_ZONE;
}

static void take_loads(struct ws_edge *e, const struct ws_ed_beat *b)
{
	uint8_t next = hand_on(e, b->zone == e->peers.zone);
	uint32_t i;

	for (i = 0; i < b->n_loads; i++) {
		const struct ws_ed_beat_load *l = &b->loads[i];
		const struct ws_ed_report r = {
			.known = true,
			.running = l->running,
			.waiting = l->waiting,
			.pace = (double)l->pace * WS_ED_PACE_STEP,
		};

		ws_ed_pool_peer_report(&e->pool,
				       e->now - (ws_us)l->age * WS_ED_AGE_STEP,
				       l->server, &r, next);
	}
}

static void take_changes(struct ws_edge *e, const struct ws_ed_beat *b,
			 struct ws_ed_fx *fx)
{
	struct ws_ed_map *m = &e->received_map;

	/*
	 * The receiver may have come further since the sender last heard it:
	 * the changes are steps in their order, which may be applied again.
	 */
	if (e->lead.map_end < b->map_base || !e->lead.known)
		return;
	ws_ed_map_copy(m, &e->lead.map);
	ws_ed_map_apply(m, &b->map);
	e->received_map_end = 0;
	ws_ed_lead_on_map(&e->lead, e->now, m, b->ends[WS_EDT_MAP], fx);
}

/* Slices come in order; after a gap the next telling starts anew. */
static void take_slice(struct ws_edge *e, const struct ws_ed_beat *b,
		       struct ws_ed_fx *fx)
{
	uint64_t end = b->ends[WS_EDT_MAP];
	size_t i;

	if (!b->map_first) {
		e->received_map.n = 0;
		e->received_map.epoch = b->map.epoch;
		e->received_map.leader = b->map.leader;
		e->received_map_end = end;
	}
	if (e->received_map_end != end || e->received_map.n != b->map_first)
		return;
	for (i = 0; i < b->map.n; i++)
		ws_ed_map_add(&e->received_map, &b->map.entries[i]);
	if (e->received_map.n == b->map_total)
		ws_ed_lead_on_map(&e->lead, e->now, &e->received_map, end, fx);
}

static void take_map(struct ws_edge *e, const struct ws_ed_beat *b,
		     struct ws_ed_fx *fx)
{
	if (b->ends[WS_EDT_MAP] <= e->lead.map_end)
		return;
	if (b->map_part == WS_ED_MAP_PART_CHANGES)
		take_changes(e, b, fx);
	else
		take_slice(e, b, fx);
	if (e->lead.map_end == e->ends[WS_EDT_MAP])
		return;
	e->ends[WS_EDT_MAP] = e->lead.map_end;
	/* Its zone waits for the news. */
	if (e->peers.uses_relays && e->peers.is_relay)
		ws_ed_fx_add(fx, WS_EDFX_HEARTBEAT);
}

static void take_members(struct ws_edge *e, const struct ws_ed_beat *b)
{
	uint32_t i;

	for (i = 0; i < b->n_members; i++) {
		const struct ws_ed_beat_member *m = &b->members[i];
		const struct ws_ed_member_entry entry = {
			.id = m->id,
			.zone = m->zone,
			.strength = m->strength,
			.address = m->address,
		};

		ws_ed_peers_on_report(&e->peers, e->now, &entry,
				      e->now - (ws_us)m->age_ms * WS_MS);
	}
}

/* A member's customers are those whose rates it must share out. */
static void note_customers(struct ws_ed_member *m, const struct ws_ed_beat *b)
{
	uint32_t i;

	m->n_customers = b->n_demands < WS_ED_MEMBER_CUSTOMERS_MAX ?
				 b->n_demands :
				 WS_ED_MEMBER_CUSTOMERS_MAX;
	for (i = 0; i < m->n_customers; i++)
		m->customers[i] = b->demands[i].customer;
}

static void take_demands(struct ws_edge *e, const struct ws_ed_beat *b)
{
	const struct ws_ed_demand_reporter t = {
		.source = (enum ws_ed_demand_source)b->demands_of,
		.instance = b->from,
		.zone = b->zone,
	};
	uint32_t i;

	for (i = 0; i < b->n_demands; i++)
		ws_ed_quota_peer_demand(&e->quota, e->now, &t,
					b->demands[i].customer,
					(double)b->demands[i].per_s);
	ws_ed_quota_peer_heard(&e->quota, e->now, &t,
			       ws_ed_peers_period(&e->peers));
}

static void take_strikes(struct ws_edge *e, const struct ws_ed_beat *b,
			 struct ws_ed_fx *fx)
{
	uint32_t i;

	for (i = 0; i < b->n_strikes; i++)
		if (ws_ed_suspects_on_strike(&e->suspects, e->now,
					     &b->strikes[i]))
			ws_ed_fx_log(fx, WS_LOG_QUARANTINE, b->from, 1,
				     "another instance tells of it");
}

/* What only a whole heartbeat tells. */
static void take_all(struct ws_edge *e, const struct ws_ed_beat *b,
		     struct ws_ed_fx *fx)
{
	take_strikes(e, b, fx);
	take_demands(e, b);
	take_members(e, b);
	take_loads(e, b);
}

static void greet(struct ws_ed_member *m, const struct ws_ed_beat *b,
		  struct ws_ed_fx *fx)
{
	m->incarnation = b->incarnation;
	m->echoed_stamp = 0;
	m->stamp = 0;
	memset(m->stamp_at_start, 0, sizeof(m->stamp_at_start));
	memset(m->stamp_at_read, 0, sizeof(m->stamp_at_read));
	ws_ed_fx_log(fx, WS_LOG_INSTANCE_SEEN, b->from, 0, b->address);
}

static void take_head(struct ws_edge *e, struct ws_ed_member *m,
		      const struct ws_ed_beat *b)
{
	int i;

	m->stamp = b->stamp;
	m->heard_at = e->now;
	m->leaving = b->leaving;
	m->leads = b->leads;
	m->alone = b->alone;
	m->store_sound = b->store_sound;
	if (b->epoch > m->epoch)
		m->epoch = b->epoch;
	for (i = 0; i < WS_EDT_COUNT; i++) {
		m->ends[i] = b->ends[i];
		if (b->ends[i] > e->peer_ends[i])
			e->peer_ends[i] = b->ends[i];
	}
	if (b->ends[WS_EDT_MAP] && b->ends[WS_EDT_MAP] <= e->lead.map_end)
		e->map_confirmed_at = e->now;
	if (b->echo.peer == e->set.self)
		take_echo(e, m, b);
}

void ws_ed_beat_receive(struct ws_edge *e, const struct ws_ed_beat *b,
			struct ws_ed_fx *fx)
{
	const struct ws_ed_member_entry entry = {
		.id = b->from,
		.zone = b->zone,
		.strength = b->strength,
		.address = b->address,
	};
	struct ws_ed_member *m = ws_ed_peers_add(&e->peers, e->now, &entry);
	uint32_t i;

	if (!m)
		return;
	if (m->incarnation != b->incarnation)
		greet(m, b, fx);
	/* Datagrams may overtake each other. */
	if (b->map_part || b->continuation ? b->stamp < m->stamp :
					     b->stamp <= m->stamp)
		return;
	if (b->continuation) {
		take_demands(e, b);
		take_loads(e, b);
		return;
	}
	take_head(e, m, b);
	if (b->map_part) {
		take_map(e, b, fx);
		return;
	}
	for (i = 0; i < b->n_counts; i++)
		ws_ed_heat_add_remote(&e->heat, &b->counts[i]);
	if (b->told != WS_ED_SCOPE_FULL)
		return;
	note_customers(m, b);
	take_all(e, b, fx);
}

/* ===== Telling ===== */

static uint8_t at_most(double value)
{
	return value < 255.0 ? (uint8_t)value : 255;
}

/* Adds reports of servers that were not told yet, in turn. */
static void tell_loads(struct ws_edge *e, ws_us now, uint8_t who, uint32_t max,
		       struct ws_ed_beat *b)
{
	size_t i;

	b->n_loads = 0;
	for (i = 0; i < e->pool.n && b->n_loads < max; i++) {
		struct ws_ed_server *s =
			&e->pool.servers[(e->next_load + i) % e->pool.n];
		ws_us age = now - s->reported_at;

		if (!(s->report_pending & who))
			continue;
		s->report_pending &= (uint8_t)~who;
		if (age > LOAD_AGE_MAX)
			continue;
		b->loads[b->n_loads++] = (struct ws_ed_beat_load){
			.server = ws_ed_short_id(s->id),
			.running = at_most((double)s->report.running),
			.waiting = at_most((double)s->report.waiting),
			.pace = at_most(s->report.pace / WS_ED_PACE_STEP),
			.age = at_most((double)age / (double)WS_ED_AGE_STEP),
		};
	}
	e->next_load += i;
}

/* Customers with a demand worth telling, some of them in each round. */
static void choose_demands(struct ws_edge *e, ws_us now, struct ws_ed_beat *b)
{
	size_t i;

	b->n_demands = 0;
	for (i = 0; i < e->quota.n && b->n_demands < WS_ED_DEMANDS_MAX; i++) {
		const struct ws_ed_bucket *q =
			&e->quota.buckets[(e->next_demand + i) % e->quota.n];

		if ((q->rate > 0.0 || q->tracked) &&
		    (ws_ed_quota_own_demand(q, now) > DEMAND_MIN ||
		     q->global_demand > DEMAND_MIN))
			b->demands[b->n_demands++].customer = q->customer;
	}
	e->next_demand += i;
}

/* Counts are for the leader, who is told in some of the rounds only. */
static void tell_counts(struct ws_edge *e, struct ws_ed_beat *b)
{
	e->round.brief = !e->peers.uses_relays ||
			 e->round.number++ % WS_ED_BRIEF_EVERY_ROUNDS == 0;
	b->n_counts = 0;
	if (!e->round.brief)
		return;
	b->n_counts = (uint32_t)e->heat.n_unsent;
	memcpy(b->counts, e->heat.unsent,
	       e->heat.n_unsent * sizeof(e->heat.unsent[0]));
	e->heat.n_unsent = 0;
}

void ws_edge_beat(struct ws_edge *e, ws_us now, struct ws_ed_beat *b)
{
	b->from = e->set.self;
	b->zone = e->set.zone;
	b->strength = e->set.strength;
	b->incarnation = e->set.incarnation;
	b->stamp = now;
	b->epoch = ws_ed_lead_epoch(&e->lead);
	memcpy(b->ends, e->ends, sizeof(b->ends));
	if (e->lead.map_end > b->ends[WS_EDT_MAP])
		b->ends[WS_EDT_MAP] = e->lead.map_end;
	b->leaving = e->draining;
	b->leads = e->lead.role == WS_EDL_LEADER;
	b->alone = e->peers.alone;
	b->store_sound = ws_ed_lead_store_reachable(&e->lead, now);
	b->map_part = WS_ED_MAP_PART_NONE;
	b->continuation = false;
	/* A relay goes on with loads, which are the same for many. */
	if (e->peers.is_relay)
		b->n_loads = 0;
	else
		tell_loads(e, now, WS_ED_PENDING_ZONE | WS_ED_PENDING_RELAYS,
			   WS_ED_LOADS_MAX, b);
	choose_demands(e, now, b);
	tell_counts(e, b);
	b->n_strikes = ws_ed_suspects_next_strikes(&e->suspects, b->strikes);
	e->round.n_strikes = b->n_strikes;
	e->round.n_loads = b->n_loads;
	e->round.n_demands = b->n_demands;
	memcpy(e->round.demands, b->demands,
	       b->n_demands * sizeof(b->demands[0]));
	e->round.n_counts = b->n_counts;
	e->round.next_more = 0;
	e->next_member += WS_ED_MEMBERS_MAX;
}

static void fill_echo(const struct ws_edge *e, const struct ws_ed_member *m,
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

/* Whose demand a member is told of: what it does not hear by itself. */
static enum ws_ed_demand_source demands_for(const struct ws_edge *e,
					    const struct ws_ed_member *m)
{
	if (!e->peers.is_relay)
		return WS_EDD_INSTANCE;
	return m->zone == e->peers.zone ? WS_EDD_OTHERS : WS_EDD_ZONE;
}

/* More than a heartbeat tells at a time. */
static bool has_many_customers(const struct ws_edge *e)
{
	return e->quota.n > WS_ED_DEMANDS_MAX;
}

static void fill_demands(const struct ws_edge *e, const struct ws_ed_member *m,
			 struct ws_ed_beat *b)
{
	uint32_t i;

	b->demands_of = demands_for(e, m);
	/* Of many customers a member wants to hear of those that it serves. */
	if (b->demands_of == WS_EDD_OTHERS && has_many_customers(e)) {
		b->n_demands = m->n_customers;
		for (i = 0; i < b->n_demands; i++)
			b->demands[i].customer = m->customers[i];
	}
	for (i = 0; i < b->n_demands; i++)
		b->demands[i].per_s = (float)ws_ed_quota_demand_for_peer(
			&e->quota, b->stamp, b->demands[i].customer,
			(enum ws_ed_demand_source)b->demands_of, m->id,
			e->peers.zone);
}

/* A relay names all members to its zone, and its zone to other relays. */
static void fill_members(const struct ws_edge *e, const struct ws_ed_member *to,
			 struct ws_ed_beat *b)
{
	const struct ws_ed_peers *p = &e->peers;
	bool near = to->zone == p->zone;
	size_t i;

	for (i = 0; p->is_relay && i < p->n && b->n_members < WS_ED_MEMBERS_MAX;
	     i++) {
		const struct ws_ed_member *m =
			&p->members[(e->next_member + i) % p->n];
		struct ws_ed_beat_member *t = &b->members[b->n_members];
		ws_us heard = m->heard_at > m->relayed_at ? m->heard_at :
							    m->relayed_at;

		if (m == to || !heard || m->leaving ||
		    (!near && m->zone != p->zone))
			continue;
		t->id = m->id;
		t->zone = m->zone;
		t->strength = m->strength;
		t->age_ms = (uint32_t)((b->stamp - heard) / WS_MS);
		memcpy(t->address, m->address, sizeof(t->address));
		b->n_members++;
	}
}

bool ws_edge_beat_for(const struct ws_edge *e, const struct ws_ed_member *m,
		      struct ws_ed_beat *b)
{
	enum ws_ed_beat_scope tell = ws_ed_peers_scope(&e->peers, m);
	bool all = tell == WS_ED_SCOPE_FULL;
	bool near = !e->peers.uses_relays || m->zone == e->peers.zone;

	if (!all && !(e->round.brief && (m->leads || b->leads)))
		return false;
	b->told = all ? WS_ED_SCOPE_FULL : WS_ED_SCOPE_BRIEF;
	b->map_part = WS_ED_MAP_PART_NONE;
	b->n_counts = e->round.n_counts;
	b->n_loads = all && near ? e->round.n_loads : 0;
	b->n_demands = all ? e->round.n_demands : 0;
	if (b->n_demands)
		memcpy(b->demands, e->round.demands,
		       b->n_demands * sizeof(b->demands[0]));
	b->n_strikes = all ? e->round.n_strikes : 0;
	b->n_members = 0;
	fill_echo(e, m, b);
	fill_demands(e, m, b);
	if (all)
		fill_members(e, m, b);
	return true;
}

/* ===== Going on ===== */

bool ws_edge_in_audience(const struct ws_edge *e, const struct ws_ed_member *m,
			 enum ws_ed_audience to)
{
	bool near = m->zone == e->peers.zone;

	return to == WS_ED_TO_ZONE ? near : !near && m->is_relay;
}

/* Demand of the own zone, of all customers that have some. */
static void tell_zone_demands(struct ws_edge *e, struct ws_ed_beat *b)
{
	const struct ws_ed_quota *q = &e->quota;
	size_t i;

	b->demands_of = WS_EDD_ZONE;
	b->n_demands = 0;
	for (i = e->round.next_more;
	     i < q->n && b->n_demands < WS_ED_DEMANDS_CONTINUED; i++) {
		const struct ws_ed_bucket *c = &q->buckets[i];
		double per_s = ws_ed_quota_demand_for_peer(q, b->stamp,
							   c->customer,
							   WS_EDD_ZONE, 0,
							   e->peers.zone);

		if ((c->rate > 0.0 || c->tracked) && per_s > DEMAND_MIN)
			b->demands[b->n_demands++] = (struct ws_ed_beat_demand){
				.customer = c->customer,
				.per_s = (float)per_s,
			};
	}
	e->round.next_more = i;
}

bool ws_edge_beat_continue(struct ws_edge *e, enum ws_ed_audience to,
			   struct ws_ed_beat *b)
{
	if (!e->peers.uses_relays || !e->peers.is_relay)
		return false;
	b->continuation = true;
	b->map_part = WS_ED_MAP_PART_NONE;
	b->echo = (struct ws_ed_echo){ .peer = 0 };
	b->told = WS_ED_SCOPE_BRIEF;
	b->n_counts = 0;
	b->n_strikes = 0;
	b->n_members = 0;
	b->n_loads = 0;
	b->n_demands = 0;
	if (to == WS_ED_TO_RELAYS && has_many_customers(e))
		tell_zone_demands(e, b);
	if (!b->n_demands)
		tell_loads(e, b->stamp,
			   to == WS_ED_TO_RELAYS ? WS_ED_PENDING_RELAYS :
						   WS_ED_PENDING_ZONE,
			   WS_ED_LOADS_CONTINUED, b);
	return b->n_demands || b->n_loads;
}

/* ===== The map of keys ===== */

static bool has_changes(const struct ws_edge *e, const struct ws_ed_member *m,
			struct ws_ed_map *changes)
{
	return ws_ed_lead_changes_since(&e->lead, m->ends[WS_EDT_MAP], changes,
					MAP_SLICE);
}

bool ws_edge_tells_map(const struct ws_edge *e, ws_us now,
		       const struct ws_ed_member *m)
{
	const struct ws_ed_peers *p = &e->peers;

	if (!ws_ed_member_alive(p, m, now) ||
	    m->ends[WS_EDT_MAP] >= e->lead.map_end)
		return false;
	if (p->uses_relays && !(m->zone == p->zone || m->is_relay))
		return false;
	/* A relay hands on to its zone what the leader told it. */
	return ws_ed_lead_sends_map(&e->lead, now) ||
	       (p->uses_relays && p->is_relay && m->zone == p->zone &&
		e->lead.map.epoch);
}

static uint32_t fill_slice(struct ws_edge *e, const struct ws_ed_member *m,
			   uint32_t first, struct ws_ed_beat *b)
{
	const struct ws_ed_map *map = &e->lead.map;
	uint32_t i;

	b->map_part = WS_ED_MAP_PART_SLICE;
	b->map_total = (uint32_t)map->n;
	b->map_first = first;
	b->map.epoch = map->epoch;
	b->map.leader = map->leader;
	b->map.n = 0;
	for (i = first; i < map->n && b->map.n < MAP_SLICE; i++)
		ws_ed_map_add(&b->map, &map->entries[i]);
	ws_ed_peers_find(&e->peers, m->id)->map_sent_at = b->stamp;
	return i < map->n ? i : 0;
}

uint32_t ws_edge_beat_map(struct ws_edge *e, const struct ws_ed_member *m,
			  uint32_t first, struct ws_ed_beat *b)
{
	b->n_demands = 0;
	b->n_counts = 0;
	b->n_loads = 0;
	b->n_strikes = 0;
	b->n_members = 0;
	if (!first && has_changes(e, m, &b->map)) {
		b->map_part = WS_ED_MAP_PART_CHANGES;
		b->map_base = m->ends[WS_EDT_MAP];
		return 0;
	}
	/* The whole map fills a link when it is told with each heartbeat. */
	if (!first && b->stamp - m->map_sent_at < MAP_REPEAT) {
		b->map_part = WS_ED_MAP_PART_NONE;
		return 0;
	}
	return fill_slice(e, m, first, b);
}
