#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_position.h"
#include "edge/ws_edge_int.h"

/* Heartbeats: building those of this instance, processing received ones. */

/* Smallest demand that is sent, in requests/s. */
#define DEMAND_SEND_MIN 0.05
/* Minimum time between two transfers of the whole map to a member. */
#define MAP_TRANSFER_INTERVAL (500 * WS_MS)
/* Load reports of servers older than this are not sent. */
#define LOAD_REPORT_AGE_MAX (500 * WS_MS)

/* ===== Receiving ===== */

/*
 * The sender read the topic after it had received this timestamp. If this
 * instance lacks none of the sender's records, that read is evidence for it as
 * well, dated by the timestamp.
 */
static void apply_read_evidence(struct ws_edge *e, const struct ws_ed_beat *b,
				ws_us timestamp, int topic)
{
	uint64_t own = e->topic_ends[topic];
	uint64_t end = b->topic_ends[topic];

	/* A read of the store before its restore proves nothing after it. */
	if (e->evidence[topic] && timestamp <= e->now && own >= end &&
	    ws_ed_position_era(own) == ws_ed_position_era(end))
		ws_ed_evidence_update(e, topic, timestamp);
}

static void process_echo(struct ws_edge *e, struct ws_ed_member *m,
			 const struct ws_ed_beat *b)
{
	int i;

	if (b->echo.timestamp > m->echoed_timestamp &&
	    b->echo.timestamp <= e->now)
		m->echoed_timestamp = b->echo.timestamp;
	for (i = 0; i < WS_ED_EVIDENCE_TOPICS; i++)
		apply_read_evidence(e, b, b->echo.read_timestamps[i], i);
}

/*
 * Receivers to forward a received load report to. A relay forwards reports from
 * its zone to its zone and the other relays, and all others to its zone.
 */
static uint8_t forward_mask(const struct ws_edge *e, bool same_zone)
{
	if (!e->peers.is_relay)
		return 0;
	return same_zone ? WS_ED_PENDING_ZONE | WS_ED_PENDING_RELAYS :
			   WS_ED_PENDING_ZONE;
}

static void process_loads(struct ws_edge *e, const struct ws_ed_beat *b)
{
	uint8_t next = forward_mask(e, b->zone == e->peers.zone);
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

static void process_learned(struct ws_edge *e, const struct ws_ed_beat *b)
{
	uint8_t next = forward_mask(e, b->zone == e->peers.zone);
	uint32_t i;

	for (i = 0; i < b->n_learned; i++) {
		const struct ws_ed_beat_learned *l = &b->learned[i];
		const struct ws_ed_peer_learned t = {
			.server = l->server,
			.started = l->started,
			.speed = l->speed,
			.limit = l->limit,
			.age = (ws_us)l->age * WS_ED_AGE_STEP,
		};

		ws_ed_pool_peer_learned(&e->pool, e->now, &t, next);
	}
}

static void process_statements(struct ws_edge *e, const struct ws_ed_beat *b,
			       struct ws_ed_fx *fx)
{
	uint32_t i;

	for (i = 0; i < b->n_statements; i++) {
		const struct ws_ed_beat_statement *s = &b->statements[i];
		ws_us as_of = e->now - (ws_us)s->age_ms * WS_MS;
		const struct ws_ed_statement t = {
			.server = s->server,
			.started = s->started,
			.kind = (enum ws_ed_statement_kind)s->kind,
			.as_of = as_of > 0 ? as_of : 1,
			.per_s = (double)s->per_s,
		};
		unsigned changed;
		int32_t h =
			ws_ed_pool_peer_stated(&e->pool, e->now, &t, &changed);

		if (h >= 0)
			ws_ed_pool_log_stated(&e->pool, e->now, (uint32_t)h,
					      changed,
					      "reported by another instance",
					      fx);
	}
}

static void apply_map_changes(struct ws_edge *e, const struct ws_ed_beat *b,
			      struct ws_ed_fx *fx)
{
	struct ws_ed_map *m = &e->received_map;

	/*
	 * This instance may have a newer map than the sender knows of.
	 * The changes are ordered and may be applied again. If it may have
	 * another map than the sender assumes, it reads the topic; see
	 * check_behind().
	 */
	if (e->lead.map_end < b->map_base || !e->lead.known ||
	    e->lead.map_off_record)
		return;
	ws_ed_map_copy(m, &e->lead.map);
	ws_ed_map_apply(m, &b->map);
	e->received_map_end = 0;
	ws_ed_lead_on_map(&e->lead, e->now, m, b->topic_ends[WS_EDT_MAP], fx);
}

/* Slices must arrive in order; after a gap the next full transfer is used. */
static void apply_map_slice(struct ws_edge *e, const struct ws_ed_beat *b,
			    struct ws_ed_fx *fx)
{
	uint64_t end = b->topic_ends[WS_EDT_MAP];
	size_t i;

	if (!b->map_first) {
		e->received_map.n = 0;
		ws_ed_map_copy_head(&e->received_map, &b->map);
		e->received_map_end = end;
	}
	if (e->received_map_end != end || e->received_map.n != b->map_first)
		return;
	for (i = 0; i < b->map.n; i++)
		ws_ed_map_add(&e->received_map, &b->map.entries[i]);
	if (e->received_map.n == b->map_total)
		ws_ed_lead_on_map(&e->lead, e->now, &e->received_map, end, fx);
}

static void process_map(struct ws_edge *e, const struct ws_ed_beat *b,
			struct ws_ed_fx *fx)
{
	if (b->topic_ends[WS_EDT_MAP] <= e->lead.map_end)
		return;
	if (b->map_part == WS_ED_MAP_PART_CHANGES)
		apply_map_changes(e, b, fx);
	else
		apply_map_slice(e, b, fx);
	if (e->lead.map_end == e->topic_ends[WS_EDT_MAP])
		return;
	e->topic_ends[WS_EDT_MAP] = e->lead.map_end;
	/* Forwards the map to its zone without delay. */
	if (e->peers.uses_relays && e->peers.is_relay)
		ws_ed_fx_add(fx, WS_EDFX_HEARTBEAT);
}

static void process_members(struct ws_edge *e, const struct ws_ed_beat *b)
{
	uint32_t i;

	for (i = 0; i < b->n_members; i++) {
		const struct ws_ed_beat_member *m = &b->members[i];
		const struct ws_ed_member_entry entry = {
			.id = m->id,
			.zone = m->zone,
			.capacity = m->capacity,
			.address = m->address,
		};

		ws_ed_peers_on_report(&e->peers, e->now, &entry,
				      e->now - (ws_us)m->age_ms * WS_MS);
	}
}

/* Records which customers a member serves, to choose the demands sent to it. */
static void record_customers(struct ws_ed_member *m, const struct ws_ed_beat *b)
{
	uint32_t i;

	m->n_customers = b->n_demands < WS_ED_MEMBER_CUSTOMERS_MAX ?
				 b->n_demands :
				 WS_ED_MEMBER_CUSTOMERS_MAX;
	for (i = 0; i < m->n_customers; i++)
		m->customers[i] = b->demands[i].customer;
}

static void process_demands(struct ws_edge *e, const struct ws_ed_beat *b)
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

static void process_strikes(struct ws_edge *e, const struct ws_ed_beat *b,
			    struct ws_ed_fx *fx)
{
	uint32_t i;

	for (i = 0; i < b->n_strikes; i++)
		if (ws_ed_suspects_on_strike(&e->suspects, e->now,
					     &b->strikes[i], e->peers.is_relay))
			ws_ed_log_request(fx, WS_LOG_QUARANTINE, b->from,
					  b->strikes[i].request,
					  "reported by another instance");
}

/* Processes the parts that only a full heartbeat contains. */
static void process_full_part(struct ws_edge *e, const struct ws_ed_beat *b,
			      struct ws_ed_fx *fx)
{
	process_strikes(e, b, fx);
	process_demands(e, b);
	process_members(e, b);
	process_loads(e, b);
	process_learned(e, b);
	process_statements(e, b, fx);
	/* One that can't reach the store doesn't know who leaves either. */
	if (b->store_reachable && !b->isolated)
		e->statements_heard_at = e->now;
}

static void reset_member(struct ws_ed_member *m, const struct ws_ed_beat *b,
			 struct ws_ed_fx *fx)
{
	m->incarnation = b->incarnation;
	m->echoed_timestamp = 0;
	m->timestamp = 0;
	memset(m->timestamp_at_read_start, 0,
	       sizeof(m->timestamp_at_read_start));
	memset(m->timestamp_at_read, 0, sizeof(m->timestamp_at_read));
	ws_ed_fx_log(fx, WS_LOG_INSTANCE_SEEN, b->from, 0, b->address);
}

static void process_header(struct ws_edge *e, struct ws_ed_member *m,
			   const struct ws_ed_beat *b)
{
	int i;

	m->timestamp = b->timestamp;
	m->heard_at = e->now;
	m->leaving = b->leaving;
	m->is_leader = b->is_leader;
	m->isolated = b->isolated;
	m->store_reachable = b->store_reachable;
	if (b->epoch > m->epoch)
		m->epoch = b->epoch;
	ws_ed_lead_on_epoch(&e->lead, b->epoch);
	for (i = 0; i < WS_EDT_COUNT; i++) {
		m->topic_ends[i] = b->topic_ends[i];
		if (b->topic_ends[i] <= e->peer_topic_ends[i])
			continue;
		e->peer_topic_ends[i] = b->topic_ends[i];
		e->peer_ends_heard_at[i] = e->now;
	}
	if (b->topic_ends[WS_EDT_MAP] &&
	    b->topic_ends[WS_EDT_MAP] <= e->lead.map_end)
		e->map_confirmed_at = e->now;
	if (b->echo.peer == e->set.self &&
	    b->echo.incarnation == e->set.incarnation)
		process_echo(e, m, b);
}

void ws_ed_beat_receive(struct ws_edge *e, const struct ws_ed_beat *b,
			struct ws_ed_fx *fx)
{
	const struct ws_ed_member_entry entry = {
		.id = b->from,
		.zone = b->zone,
		.capacity = b->capacity,
		.address = b->address,
	};
	struct ws_ed_member *m = ws_ed_peers_add(&e->peers, e->now, &entry);
	uint32_t i;

	if (!m)
		return;
	if (m->incarnation != b->incarnation)
		reset_member(m, b, fx);
	/* Drops a heartbeat that a newer one has overtaken. */
	if (b->map_part || b->continuation ? b->timestamp < m->timestamp :
					     b->timestamp <= m->timestamp)
		return;
	if (b->continuation) {
		process_demands(e, b);
		process_loads(e, b);
		process_learned(e, b);
		return;
	}
	process_header(e, m, b);
	if (b->map_part) {
		process_map(e, b, fx);
		return;
	}
	for (i = 0; i < b->n_counts; i++)
		ws_ed_heat_add_remote(&e->heat, &b->counts[i]);
	if (b->scope != WS_ED_SCOPE_FULL)
		return;
	record_customers(m, b);
	process_full_part(e, b, fx);
}

/* ===== Sending ===== */

static uint8_t clamp_to_byte(double value)
{
	return value < 255.0 ? (uint8_t)value : 255;
}

/* Adds load reports that were not yet sent to receivers, round robin. */
static void add_loads(struct ws_edge *e, ws_us now, uint8_t receivers,
		      uint32_t max, struct ws_ed_beat *b)
{
	size_t i;

	b->n_loads = 0;
	for (i = 0; i < e->pool.n && b->n_loads < max; i++) {
		struct ws_ed_server *s =
			&e->pool.servers[(e->next_load + i) % e->pool.n];
		ws_us age = now - s->stated.load_at;

		if (!(s->stated.load_pending & receivers))
			continue;
		s->stated.load_pending &= (uint8_t)~receivers;
		if (age > LOAD_REPORT_AGE_MAX)
			continue;
		b->loads[b->n_loads++] = (struct ws_ed_beat_load){
			.server = ws_ed_short_id(s->id),
			.running =
				clamp_to_byte((double)s->stated.load.running),
			.waiting =
				clamp_to_byte((double)s->stated.load.waiting),
			.pace = clamp_to_byte(s->stated.load.pace /
					      WS_ED_PACE_STEP),
			.age = clamp_to_byte((double)age /
					     (double)WS_ED_AGE_STEP),
		};
	}
	e->next_load += i;
}

/* Adds what was learned and not yet sent to receivers, round robin. */
static void add_learned(struct ws_edge *e, ws_us now, uint8_t receivers,
			uint32_t max, struct ws_ed_beat *b)
{
	struct ws_ed_pool *p = &e->pool;
	size_t i = e->next_learned < p->n ? e->next_learned : 0;
	struct ws_ed_peer_learned t;

	b->n_learned = 0;
	while (b->n_learned < max &&
	       (i = ws_ed_pool_next_learned(p, now, i, receivers, &t)) < p->n) {
		b->learned[b->n_learned++] = (struct ws_ed_beat_learned){
			.server = t.server,
			.started = t.started,
			.speed = t.speed,
			.limit = t.limit,
			.age = clamp_to_byte((double)t.age /
					     (double)WS_ED_AGE_STEP),
		};
		i++;
	}
	e->next_learned = i < p->n ? i : 0;
}

/* Load reports whose place the learned capacities take. */
static uint32_t loads_displaced_by_learned(const struct ws_ed_beat *b)
{
	return b->n_learned ? b->n_learned + 1 : 0;
}

static void add_statement(const struct ws_ed_server *s, ws_us now,
			  enum ws_ed_statement_kind kind, struct ws_ed_beat *b)
{
	const struct ws_ed_limit *l = &s->stated.limit;
	bool is_limit = kind == WS_ED_STATEMENT_LIMIT;
	ws_us age = now - (is_limit ? l->as_of : s->stated.leaving_since);

	age /= WS_MS;
	b->statements[b->n_statements++] = (struct ws_ed_beat_statement){
		.server = ws_ed_short_id(s->id),
		.started = (uint32_t)s->started_ms,
		.per_s = is_limit && l->named ? (float)l->per_s : -1.0F,
		.kind = (uint8_t)kind,
		.age_ms = age < WS_ED_STATEMENT_AGE_MAX ?
				  (uint32_t)age :
				  WS_ED_STATEMENT_AGE_MAX,
	};
}

/* Heartbeats that still send a statement of a server as news. */
static unsigned *rounds_of(struct ws_ed_server *s,
			   enum ws_ed_statement_kind kind)
{
	return kind == WS_ED_STATEMENT_LEAVING ? &s->stated.leaving_rounds :
						 &s->stated.limit.rounds_left;
}

/* Adds news of one kind that has been sent equally often. */
static void add_news(struct ws_edge *e, ws_us now, uint32_t max,
		     enum ws_ed_statement_kind kind, unsigned rounds,
		     unsigned **sent, struct ws_ed_beat *b)
{
	size_t i;

	for (i = 0; i < e->pool.n && b->n_statements < max; i++) {
		struct ws_ed_server *s = &e->pool.servers[i];

		if (!s->id || *rounds_of(s, kind) != rounds)
			continue;
		sent[b->n_statements] = rounds_of(s, kind);
		add_statement(s, now, kind, b);
	}
}

/* Adds news: what was sent least often so far first. */
static void add_all_news(struct ws_edge *e, ws_us now, uint32_t max,
			 struct ws_ed_beat *b)
{
	unsigned *sent[WS_ED_STATEMENTS_OF_RELAY];
	unsigned rounds;
	uint32_t i;

	for (rounds = WS_ED_NEWS_ROUNDS; rounds > 0; rounds--) {
		add_news(e, now, max, WS_ED_STATEMENT_LEAVING, rounds, sent, b);
		add_news(e, now, max, WS_ED_STATEMENT_LIMIT, rounds, sent, b);
	}
	for (i = 0; i < b->n_statements; i++)
		--*sent[i];
}

/* Adds what servers have stated: first what is new, then all in turn. */
static void add_statements(struct ws_edge *e, ws_us now, uint32_t displaced,
			   struct ws_ed_beat *b)
{
	uint32_t room = WS_ED_STATEMENTS_OF_RELAY - displaced;
	uint32_t max = e->peers.is_relay || room < WS_ED_STATEMENTS_MAX ?
			       room :
			       WS_ED_STATEMENTS_MAX;
	size_t n = e->pool.n;
	size_t i;

	b->n_statements = 0;
#ifdef WS_MUTANT_STATEMENTS_NOT_SENT
	return;
#endif
	add_all_news(e, now, max, b);
	for (i = 0;
	     i < n && b->n_statements + WS_ED_STATEMENT_KINDS_TOLD <= max;
	     i++) {
		const struct ws_ed_server *s =
			&e->pool.servers[(e->next_statement + i) % n];

		if (s->id && s->stated.leaving_since)
			add_statement(s, now, WS_ED_STATEMENT_LEAVING, b);
		if (s->id && ws_ed_limit_is_sent(&s->stated.limit, now))
			add_statement(s, now, WS_ED_STATEMENT_LIMIT, b);
	}
	e->next_statement += i;
}

/* Chooses customers with a demand to send, a part of them in each round. */
static void choose_demands(struct ws_edge *e, ws_us now, struct ws_ed_beat *b)
{
	size_t i;

	b->n_demands = 0;
	for (i = 0; i < e->quota.n && b->n_demands < WS_ED_DEMANDS_MAX; i++) {
		const struct ws_ed_bucket *q =
			&e->quota.buckets[(e->next_demand + i) % e->quota.n];

		if ((q->rate > 0.0 || q->tracked) &&
		    (ws_ed_quota_own_demand(q, now) > DEMAND_SEND_MIN ||
		     q->global_demand > DEMAND_SEND_MIN))
			b->demands[b->n_demands++].customer = q->customer;
	}
	e->next_demand += i;
}

/* Adds key counts, which only the key leader needs, in brief rounds. */
static void add_counts(struct ws_edge *e, struct ws_ed_beat *b)
{
	e->round.sends_brief = !e->peers.uses_relays ||
			       e->round.number++ % WS_ED_BRIEF_EVERY_ROUNDS ==
				       0;
	b->n_counts = 0;
	if (!e->round.sends_brief)
		return;
	b->n_counts = (uint32_t)e->heat.n_unsent;
	memcpy(b->counts, e->heat.unsent,
	       e->heat.n_unsent * sizeof(e->heat.unsent[0]));
	e->heat.n_unsent = 0;
}

/* Strikes that take the place of a statement, which is as long, or of loads. */
static uint32_t strikes_that_displace(const struct ws_ed_beat *b)
{
	return b->n_strikes > WS_ED_STRIKES_BESIDE_ALL ?
		       b->n_strikes - WS_ED_STRIKES_BESIDE_ALL :
		       0;
}

/* @param n_statements whose place loads can't take */
static void add_own_loads(struct ws_edge *e, ws_us now, uint32_t n_statements,
			  struct ws_ed_beat *b)
{
	const uint8_t all = WS_ED_PENDING_ZONE | WS_ED_PENDING_RELAYS;
	uint32_t room =
		WS_ED_LOADS_MAX - WS_ED_LOADS_PER_STATEMENT * n_statements;

	add_learned(e, now, all,
		    room > WS_ED_LEARNED_MAX ? WS_ED_LEARNED_MAX : 0, b);
	add_loads(e, now, all, room - loads_displaced_by_learned(b), b);
}

void ws_edge_beat(struct ws_edge *e, ws_us now, struct ws_ed_beat *b)
{
	uint32_t displaced;

	b->from = e->set.self;
	b->zone = e->set.zone;
	b->capacity = e->set.capacity;
	b->incarnation = e->set.incarnation;
	b->timestamp = now;
	b->epoch = ws_ed_lead_epoch(&e->lead);
	memcpy(b->topic_ends, e->topic_ends, sizeof(b->topic_ends));
	if (e->lead.map_end > b->topic_ends[WS_EDT_MAP])
		b->topic_ends[WS_EDT_MAP] = e->lead.map_end;
	b->leaving = e->draining;
	b->is_leader = e->lead.role == WS_EDL_LEADER;
	b->isolated = e->peers.isolated;
	b->store_reachable = ws_ed_lead_store_reachable(&e->lead, now);
	b->map_part = WS_ED_MAP_PART_NONE;
	b->continuation = false;
	b->n_strikes =
		ws_ed_suspects_next_strikes(&e->suspects, now, b->strikes);
	displaced = strikes_that_displace(b);
	add_statements(e, now, displaced, b);
	/*
	 * A relay sends loads in ws_edge_beat_continue() instead, since these
	 * are the same for many receivers.
	 */
	if (e->peers.is_relay) {
		b->n_loads = 0;
		b->n_learned = 0;
	} else {
		add_own_loads(e, now, b->n_statements + displaced, b);
	}
	choose_demands(e, now, b);
	add_counts(e, b);
	e->round.n_strikes = b->n_strikes;
	e->round.n_loads = b->n_loads;
	e->round.n_learned = b->n_learned;
	e->round.n_statements = b->n_statements;
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
	b->echo = (struct ws_ed_echo){ .peer = m->id,
				       .incarnation = m->incarnation };
	if (!ws_ed_lead_may_echo(&e->lead, b->timestamp) ||
	    !ws_ed_member_alive(&e->peers, m, b->timestamp))
		return;
	b->echo.timestamp = m->timestamp;
	memcpy(b->echo.read_timestamps, m->timestamp_at_read,
	       sizeof(b->echo.read_timestamps));
}

/* Source of the demands for a member: those it does not receive itself. */
static enum ws_ed_demand_source demands_for(const struct ws_edge *e,
					    const struct ws_ed_member *m)
{
	if (!e->peers.is_relay)
		return WS_EDD_INSTANCE;
	return m->zone == e->peers.zone ? WS_EDD_OTHERS : WS_EDD_ZONE;
}

/* Whether the demands of all customers exceed one heartbeat. */
static bool has_many_customers(const struct ws_edge *e)
{
	return e->quota.n > WS_ED_DEMANDS_MAX;
}

static void fill_demands(const struct ws_edge *e, const struct ws_ed_member *m,
			 struct ws_ed_beat *b)
{
	uint32_t i;

	b->demands_of = demands_for(e, m);
	/* With many customers, a member gets the demands of those it serves. */
	if (b->demands_of == WS_EDD_OTHERS && has_many_customers(e)) {
		b->n_demands = m->n_customers;
		for (i = 0; i < b->n_demands; i++)
			b->demands[i].customer = m->customers[i];
	}
	for (i = 0; i < b->n_demands; i++)
		b->demands[i].per_s = (float)ws_ed_quota_demand_for_peer(
			&e->quota, b->timestamp, b->demands[i].customer,
			(enum ws_ed_demand_source)b->demands_of, m->id,
			e->peers.zone);
}

/* A relay reports all members to its zone, and its zone to other relays. */
static void fill_members(const struct ws_edge *e, const struct ws_ed_member *to,
			 struct ws_ed_beat *b)
{
	const struct ws_ed_peers *p = &e->peers;
	bool same_zone = to->zone == p->zone;
	size_t i;

	for (i = 0; p->is_relay && i < p->n && b->n_members < WS_ED_MEMBERS_MAX;
	     i++) {
		const struct ws_ed_member *m =
			&p->members[(e->next_member + i) % p->n];
		struct ws_ed_beat_member *t = &b->members[b->n_members];
		ws_us last_heard = m->heard_at > m->relayed_at ? m->heard_at :
								 m->relayed_at;

		if (m == to || !last_heard || m->leaving ||
		    (!same_zone && m->zone != p->zone))
			continue;
		t->id = m->id;
		t->zone = m->zone;
		t->capacity = m->capacity;
		t->age_ms = (uint32_t)((b->timestamp - last_heard) / WS_MS);
		memcpy(t->address, m->address, sizeof(t->address));
		b->n_members++;
	}
}

bool ws_edge_beat_for(const struct ws_edge *e, const struct ws_ed_member *m,
		      struct ws_ed_beat *b)
{
	enum ws_ed_beat_scope scope = ws_ed_peers_scope(&e->peers, m);
	bool is_full = scope == WS_ED_SCOPE_FULL;
	bool same_zone = !e->peers.uses_relays || m->zone == e->peers.zone;

	if (!is_full &&
	    !(e->round.sends_brief && (m->is_leader || b->is_leader)))
		return false;
	b->scope = is_full ? WS_ED_SCOPE_FULL : WS_ED_SCOPE_BRIEF;
	b->map_part = WS_ED_MAP_PART_NONE;
	b->n_counts = e->round.n_counts;
	b->n_loads = is_full && same_zone ? e->round.n_loads : 0;
	b->n_learned = is_full && same_zone ? e->round.n_learned : 0;
	b->n_statements = is_full ? e->round.n_statements : 0;
	b->n_demands = is_full ? e->round.n_demands : 0;
	if (b->n_demands)
		memcpy(b->demands, e->round.demands,
		       b->n_demands * sizeof(b->demands[0]));
	b->n_strikes = is_full ? e->round.n_strikes : 0;
	b->n_members = 0;
	fill_echo(e, m, b);
	fill_demands(e, m, b);
	if (is_full)
		fill_members(e, m, b);
	return true;
}

/* ===== Continuation heartbeats of relays ===== */

bool ws_edge_is_receiver(const struct ws_edge *e, const struct ws_ed_member *m,
			 enum ws_ed_receiver_group to)
{
	bool same_zone = m->zone == e->peers.zone;

	return to == WS_ED_TO_ZONE ? same_zone : !same_zone && m->is_relay;
}

/* Adds the demand of the own zone for all customers that have one. */
static void add_zone_demands(struct ws_edge *e, struct ws_ed_beat *b)
{
	const struct ws_ed_quota *q = &e->quota;
	size_t i;

	b->demands_of = WS_EDD_ZONE;
	b->n_demands = 0;
	for (i = e->round.next_more;
	     i < q->n && b->n_demands < WS_ED_DEMANDS_CONTINUED; i++) {
		const struct ws_ed_bucket *c = &q->buckets[i];
		double per_s = ws_ed_quota_demand_for_peer(q, b->timestamp,
							   c->customer,
							   WS_EDD_ZONE, 0,
							   e->peers.zone);

		if ((c->rate > 0.0 || c->tracked) && per_s > DEMAND_SEND_MIN)
			b->demands[b->n_demands++] = (struct ws_ed_beat_demand){
				.customer = c->customer,
				.per_s = (float)per_s,
			};
	}
	e->round.next_more = i;
}

bool ws_edge_beat_continue(struct ws_edge *e, enum ws_ed_receiver_group to,
			   struct ws_ed_beat *b)
{
	const uint8_t receivers = to == WS_ED_TO_RELAYS ? WS_ED_PENDING_RELAYS :
							  WS_ED_PENDING_ZONE;

	if (!e->peers.uses_relays || !e->peers.is_relay)
		return false;
	b->continuation = true;
	b->map_part = WS_ED_MAP_PART_NONE;
	b->echo = (struct ws_ed_echo){ .peer = 0 };
	b->scope = WS_ED_SCOPE_BRIEF;
	b->n_counts = 0;
	b->n_strikes = 0;
	b->n_members = 0;
	b->n_loads = 0;
	b->n_learned = 0;
	b->n_statements = 0;
	b->n_demands = 0;
	if (to == WS_ED_TO_RELAYS && has_many_customers(e))
		add_zone_demands(e, b);
	if (!b->n_demands) {
		add_learned(e, b->timestamp, receivers, WS_ED_LEARNED_CONTINUED,
			    b);
		add_loads(e, b->timestamp, receivers,
			  WS_ED_LOADS_CONTINUED - loads_displaced_by_learned(b),
			  b);
	}
	return b->n_demands || b->n_loads || b->n_learned;
}

/* ===== The map of keys ===== */

static bool has_changes(const struct ws_edge *e, const struct ws_ed_member *m,
			struct ws_ed_map *changes)
{
	return ws_ed_lead_changes_since(&e->lead, m->topic_ends[WS_EDT_MAP],
					changes, WS_ED_MAP_PART_ENTRIES);
}

bool ws_edge_should_send_map(const struct ws_edge *e, ws_us now,
			     const struct ws_ed_member *m)
{
	const struct ws_ed_peers *p = &e->peers;

	if (!ws_ed_member_alive(p, m, now) ||
	    m->topic_ends[WS_EDT_MAP] >= e->lead.map_end)
		return false;
	if (p->uses_relays && !(m->zone == p->zone || m->is_relay))
		return false;
	/* A relay forwards the map of the leader to its zone. */
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
	ws_ed_map_copy_head(&b->map, map);
	b->map.n = 0;
	for (i = first; i < map->n && b->map.n < WS_ED_MAP_PART_ENTRIES; i++)
		ws_ed_map_add(&b->map, &map->entries[i]);
	ws_ed_peers_find(&e->peers, m->id)->map_sent_at = b->timestamp;
	return i < map->n ? i : 0;
}

uint32_t ws_edge_beat_map(struct ws_edge *e, const struct ws_ed_member *m,
			  uint32_t first, struct ws_ed_beat *b)
{
	b->n_demands = 0;
	b->n_counts = 0;
	b->n_loads = 0;
	b->n_learned = 0;
	b->n_statements = 0;
	b->n_strikes = 0;
	b->n_members = 0;
	if (!first && has_changes(e, m, &b->map)) {
		b->map_part = WS_ED_MAP_PART_CHANGES;
		b->map_base = m->topic_ends[WS_EDT_MAP];
		return 0;
	}
	/* The whole map in every heartbeat would saturate a network link. */
	if (!first && b->timestamp - m->map_sent_at < MAP_TRANSFER_INTERVAL) {
		b->map_part = WS_ED_MAP_PART_NONE;
		return 0;
	}
	return fill_slice(e, m, first, b);
}
