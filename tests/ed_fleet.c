#include "ed_fleet.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/ws_ed_codec.h"
#include "platform/wp_decode.h"

#define PER_ZONE_MAX 50
#define NETWORK_LATENCY (1 * WS_MS)
#define SERVICE_TIME (80 * WS_MS)
#define OBJECTIVE_TEXT "0.3"
#define DEADLINE (1200 * WS_MS)
#define LIST_SENDS_MAX 1024

struct fleet fleet;

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":["
	"{\"name\":\"open\",\"max_connections\":1800},"
	"{\"name\":\"keyed\",\"max_connections\":1800,\"sharded\":true}],"
	"%s\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"o\",\"path_prefix\":\"/o/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":" OBJECTIVE_TEXT
	",\"service\":\"open\",\"max_attempts\":2},"
	"{\"name\":\"k\",\"path_prefix\":\"/k/\",\"kind\":\"idempotent\","
	"\"timeout_s\":1.2,\"target_latency_s\":" OBJECTIVE_TEXT
	",\"service\":\"keyed\",\"max_attempts\":2}]}]}";

/* Without customers, requests need no key. */
static const char customers_text[] =
	"\"tenants\":[{\"name\":\"c\",\"api_keys\":[\"c\"],"
	"\"rate_per_s\":10,\"burst\":10}],";

static struct ws_ed_fx fx;
static struct ws_ed_beat beat;
static struct ws_ed_beat decoded;
static struct ws_ed_refused_list list;
/* Lists that are to be sent, by WS_EDFX_REFUSED. */
static struct list_send {
	int from;
	ws_id to;
} list_sends[LIST_SENDS_MAX];
static size_t n_list_sends;
static unsigned char buf[WS_ED_BEAT_BYTES];

static ws_id instance_id(int i)
{
	char name[32];

	snprintf(name, sizeof(name), "n%d", i);
	return ws_ed_id(name);
}

static ws_id zone_id(int i)
{
	return 500 + (ws_id)(i % fleet.zones);
}

static const char *service_name(void)
{
	return fleet.sharded ? "keyed" : "open";
}

/* ===== Effects ===== */

static int server_of(int i, uint32_t handle)
{
	return fleet.nodes[i].edge ? atoi(ws_edge_pool(fleet.nodes[i].edge)
						  ->servers[handle]
						  .name +
					  1) :
				     -1;
}

static struct fleet_request *request_of(const struct fleet_pending *p)
{
	return &fleet.requests[p->request];
}

static bool states_limit(const struct fleet_server *s)
{
	return s->limit >= 0.0 && fleet.now >= FLEET_LIMITED_FROM &&
	       fleet.now < s->limited_until;
}

static void note_crash_send(int i)
{
	ck_assert_uint_lt(fleet.n_crash_sends, FLEET_CRASH_SENDS_MAX);
	fleet.crash_sends[fleet.n_crash_sends++] =
		(struct fleet_crash_send){ .at = fleet.now, .instance = i };
}

static void send(int i, const struct ws_ed_effect *x)
{
	int to = server_of(i, x->u.send.server);
	struct fleet_server *s = &fleet.servers[to];
	struct fleet_request *r = &fleet.requests[x->u.send.request];
	size_t k;

	ck_assert_uint_lt(s->n_arrivals, FLEET_ARRIVALS_MAX);
	s->arrivals[s->n_arrivals++] =
		(struct fleet_arrival){ .at = fleet.now, .instance = i };
	r->sent = true;
	r->sends++;
	if (fleet.crashing && r->fingerprint == fleet.crashing &&
	    !s->down_until)
		note_crash_send(i);
	for (k = 0; k < FLEET_PENDING_MAX && fleet.pending[k].at; k++)
		;
	ck_assert_uint_lt(k, FLEET_PENDING_MAX);
	fleet.pending[k] = (struct fleet_pending){
		.at = fleet.now + 2 * NETWORK_LATENCY +
		      (s->down_until ? 0 : SERVICE_TIME),
		.end = s->down_until ? WS_ED_END_NOT_SENT : WS_ED_END_OK,
		.sent = fleet.now,
		.instance = i,
		.starts = fleet.nodes[i].starts,
		.request = x->u.send.request,
		.lane = x->u.send.lane,
		.server = to,
	};
}

static void check(int i, const struct ws_ed_effect *x)
{
	int to = server_of(i, x->u.check);
	size_t k;

	for (k = 0; k < FLEET_CHECKS_MAX && fleet.checks[k].at; k++)
		;
	ck_assert_uint_lt(k, FLEET_CHECKS_MAX);
	fleet.checks[k] = (struct fleet_check){
		.at = fleet.now + 2 * NETWORK_LATENCY,
		.instance = i,
		.starts = fleet.nodes[i].starts,
		.server = to,
		.started_ms = fleet.servers[to].started_ms,
	};
}

static void cancel(int i, const struct ws_ed_effect *x)
{
	size_t k;

	for (k = 0; k < FLEET_PENDING_MAX; k++)
		if (fleet.pending[k].at && fleet.pending[k].instance == i &&
		    fleet.pending[k].request == x->u.send.request &&
		    fleet.pending[k].lane == x->u.send.lane)
			fleet.pending[k].at = 0;
}

static void step(int i, struct ws_ed_event *ev)
{
	size_t j;

	ev->now = fleet.now;
	fx.n = 0;
	ws_edge_step(fleet.nodes[i].edge, ev, &fx);
	for (j = 0; j < fx.n; j++) {
		const struct ws_ed_effect *x = &fx.items[j];
		struct fleet_request *r;

		switch (x->kind) {
		case WS_EDFX_SEND:
			send(i, x);
			break;
		case WS_EDFX_CANCEL:
			cancel(i, x);
			break;
		case WS_EDFX_CHECK:
			check(i, x);
			break;
		case WS_EDFX_REFUSED:
			ck_assert_uint_lt(n_list_sends, LIST_SENDS_MAX);
			list_sends[n_list_sends++] = (struct list_send){
				.from = i,
				.to = x->u.member,
			};
			break;
		case WS_EDFX_REPLY:
			r = &fleet.requests[x->u.reply.request];
			/* 1 us stands for "at once". */
			r->refused_after = fleet.now - r->arrived + 1;
			r->retry_after = x->u.reply.retry_after;
			r->reason = x->u.reply.reason;
			break;
		case WS_EDFX_FORWARD:
			fleet.requests[x->u.reply.request].answered = true;
			break;
		default:
			break;
		}
	}
}

void fleet_crash_server(int server)
{
	struct fleet_server *s = &fleet.servers[server];
	size_t k;

	if (s->down_until)
		return;
	s->down_until = fleet.now + FLEET_DOWN_TIME;
	s->unlisted_at = fleet.now + fleet.list_delay;
	for (k = 0; k < FLEET_PENDING_MAX; k++) {
		struct fleet_pending *p = &fleet.pending[k];

		if (!p->at || p->server != server)
			continue;
		p->end = WS_ED_END_CONNECTION_LOST;
		p->at = fleet.now;
	}
}

static void note_first(ws_us *told_at)
{
	if (!*told_at)
		*told_at = fleet.now;
}

static void add_statements(struct fleet_server *s,
			   const struct fleet_pending *p,
			   struct ws_ed_ending *end)
{
	if (s->leaving_at && fleet.now >= s->leaving_at &&
	    end->report.from_server) {
		end->report.leaving = true;
		note_first(&s->told_leaving_at[p->instance]);
	}
	if (end->end == WS_ED_END_OK && s->released_at &&
	    p->sent >= s->released_at) {
		end->end = WS_ED_END_SHED;
		end->not_owner = true;
		end->report.from_server = false;
		note_first(&s->told_released_at[p->instance]);
	}
	if (end->end == WS_ED_END_OK && fleet.now < s->closed_until) {
		end->end = WS_ED_END_SHED;
		end->status = 503;
		end->report.retry_after = s->closed_until - fleet.now;
		note_first(&s->told_closed_at[p->instance]);
	}
}

static void deliver_answers(void)
{
	size_t k;

	for (k = 0; k < FLEET_PENDING_MAX; k++) {
		struct fleet_pending *p = &fleet.pending[k];
		struct ws_ed_event ev = { .kind = WS_EDEV_REQUEST_ENDED };
		struct fleet_server *s;
		struct fleet_instance *n;

		if (!p->at || fleet.now < p->at)
			continue;
		n = &fleet.nodes[p->instance];
		if (n->frozen_until > fleet.now)
			continue;
		s = &fleet.servers[p->server];
		if (p->end == WS_ED_END_OK && fleet.crashing &&
		    request_of(p)->fingerprint == fleet.crashing) {
			fleet.crashed_at[fleet.n_crashes++] = fleet.now;
			fleet_crash_server(p->server);
		}
		p->at = 0;
		if (!n->edge || n->starts != p->starts)
			continue;
		ev.u.ending = (struct ws_ed_ending){
			.request = p->request,
			.lane = p->lane,
			.end = p->end,
			.status = 200,
			.latency = fleet.now - p->sent,
		};
		if (p->end == WS_ED_END_OK)
			ev.u.ending.report =
				(struct ws_ed_report){ .from_server = true,
						       .known = true,
						       .running = 1,
						       .slots = 4 };
		if (p->end == WS_ED_END_OK && states_limit(s)) {
			ev.u.ending.report.limit = (struct ws_ed_limit_news){
				.kind = WS_ED_LIMIT_NAMED, .per_s = s->limit
			};
			if (!s->told_at[p->instance])
				s->told_at[p->instance] = fleet.now;
		}
		add_statements(s, p, &ev.u.ending);
		step(p->instance, &ev);
	}
}

static void end_checks(void)
{
	size_t k;

	for (k = 0; k < FLEET_CHECKS_MAX; k++) {
		struct fleet_check *c = &fleet.checks[k];
		struct ws_ed_event ev = { .kind = WS_EDEV_CHECK_REFUSED };
		const struct fleet_instance *n = &fleet.nodes[c->instance];
		char name[16];

		if (!c->at || fleet.now < c->at || n->frozen_until > fleet.now)
			continue;
		c->at = 0;
		if (!n->edge || n->starts != c->starts ||
		    !fleet.servers[c->server].down_until)
			continue;
		snprintf(name, sizeof(name), "s%d", c->server);
		ev.u.check_refused.server = ws_ed_id(name);
		ev.u.check_refused.started_ms = c->started_ms;
		step(c->instance, &ev);
	}
}

/* ===== Instances ===== */

void fleet_add_members(int i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };
	char address[32];
	int j;

	for (j = 0; j < fleet.n; j++) {
		if (!fleet.nodes[j].starts)
			continue;
		snprintf(address, sizeof(address), "%d", j);
		ev.u.member = (struct ws_ed_member_entry){
			.id = instance_id(j),
			.zone = zone_id(j),
			.capacity = 1 + (uint32_t)(j % 3),
			.address = address,
		};
		step(i, &ev);
	}
	ev.kind = WS_EDEV_MEMBERS_READ;
	step(i, &ev);
}

static bool is_running(int i)
{
	return fleet.nodes[i].edge && fleet.now >= fleet.nodes[i].frozen_until;
}

static void list_server(int i, int j, bool draining)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id(service_name()),
		.zone = zone_id(j),
		.slots = 4,
		.started_ms = fleet.servers[j].started_ms,
		.draining = draining,
		.sequence = draining,
	};

	snprintf(l.name, sizeof(l.name), "s%d", j);
	snprintf(l.address, sizeof(l.address), "10.0.0.%d:1", j);
	ev.u.listing = &l;
	step(i, &ev);
}

void fleet_list_draining(int instance, int server)
{
	list_server(instance, server, true);
}

static void unlist_server(int i, int j)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };
	char name[16];

	snprintf(name, sizeof(name), "s%d", j);
	ev.u.unlisted = ws_ed_id(name);
	step(i, &ev);
}

void fleet_unlist_server(int server)
{
	int i;

	for (i = 0; i < fleet.n; i++)
		unlist_server(i, server);
}

void fleet_list_server(int server)
{
	int i;

	for (i = 0; i < fleet.n; i++)
		list_server(i, server, false);
}

/* Servers that are down stay listed until the list drops them. */
static void list_servers(int i)
{
	int j;

	for (j = 0; j < fleet.n_servers; j++)
		if (!fleet.servers[j].down_until ||
		    fleet.servers[j].unlisted_at)
			list_server(i, j, false);
}

/* Starts crashed servers again and updates the list. */
static void update_servers(void)
{
	int i;
	int j;

	for (j = 0; j < fleet.n_servers; j++) {
		struct fleet_server *s = &fleet.servers[j];

		if (!s->down_until || fleet.store_down)
			continue;
		if (s->unlisted_at && fleet.now >= s->unlisted_at) {
			s->unlisted_at = 0;
			for (i = 0; i < fleet.n; i++)
				if (is_running(i))
					unlist_server(i, j);
		}
		if (fleet.now < s->down_until)
			continue;
		s->down_until = 0;
		s->unlisted_at = 0;
		s->started_ms++;
		for (i = 0; i < fleet.n; i++)
			if (is_running(i))
				list_server(i, j, false);
	}
}

/* All keys belong to the first server. */
static void read_map(int i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };
	struct ws_ed_map map = { .epoch = 1, .leader = 1 };
	const struct ws_ed_map_entry all = {
		.service = ws_ed_id("keyed"),
		.from = 0,
		.to = WS_ED_KEYS - 1,
		.server = ws_ed_id("s0"),
	};

	ws_ed_map_add(&map, &all);
	ev.u.map.started = fleet.now;
	ev.u.map.map = &map;
	ev.u.map.end = 1;
	step(i, &ev);
	ws_ed_map_free(&map);
}

static void read_store(int i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	ev.u.sync.started = fleet.now;
	ev.u.sync.end = 1;
	ev.u.sync.topic = WS_EDT_CONFIG;
	step(i, &ev);
	ev.u.sync.topic = WS_EDT_SERVERS;
	step(i, &ev);
}

void fleet_start_instance(int i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	char config[1024];
	int len;
	struct fleet_instance *n = &fleet.nodes[i];
	struct ws_ed_settings set = {
		.self = instance_id(i),
		.incarnation = (uint64_t)fleet.now + (uint64_t)i,
		.zone = zone_id(i),
		.capacity = 1 + (uint32_t)(i % 3),
		.seed = (uint64_t)i + 1,
		.now = fleet.now,
		.max_calls = 500,
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .retry_ratio = 0.2,
			    .retry_slack = 60.0,
			    .rate_slack = 20.0,
			    .drain_time = FLEET_DRAIN_TIME,
			    .unmetered = fleet.unmetered },
	};

	n->edge = ws_edge_new(&set);
	n->incarnation = set.incarnation;
	n->starts++;
	n->next_beat = fleet.now + (i * 7) % 100 * WS_MS;
	len = snprintf(config, sizeof(config), config_text,
		       fleet.caller_key ? customers_text : "");
	ev.u.config = wp_decode_config(config, (size_t)len, NULL);
	step(i, &ev);
	read_map(i);
	read_store(i);
	list_servers(i);
}

void fleet_stop(int i, ws_us time)
{
	ws_edge_free(fleet.nodes[i].edge);
	fleet.nodes[i].edge = NULL;
	fleet.nodes[i].up_at = fleet.now + time;
}

static bool is_cut(int i)
{
	return fleet.now < fleet.nodes[i].cut_until;
}

static void deliver_beat(int from, const struct ws_ed_member *to)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	int i = atoi(to->address);
	int len = ws_ed_beat_encode(&beat, buf, sizeof(buf));

	ck_assert_int_gt(len, 0);
	if (!is_running(i) || is_cut(i) || is_cut(from))
		return;
	ck_assert_int_eq(ws_ed_beat_decode(&decoded, buf, (size_t)len), 0);
	ev.u.beat = &decoded;
	step(i, &ev);
}

static void deliver_list(int from, const struct ws_ed_member *to)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_REFUSED_LIST };
	struct ws_ed_refused_list copy;
	int i = atoi(to->address);
	int len = ws_ed_refused_encode(&list, buf, sizeof(buf));

	ck_assert_int_gt(len, 0);
	if (!is_running(i) || is_cut(i) || is_cut(from))
		return;
	ck_assert_int_eq(ws_ed_refused_decode(&copy, buf, (size_t)len), 0);
	ev.u.refused_list = &copy;
	step(i, &ev);
}

/* Sends the lists that instances were to send in this step. */
static void send_lists(void)
{
	while (n_list_sends) {
		struct list_send s = list_sends[--n_list_sends];
		struct ws_edge *e = fleet.nodes[s.from].edge;
		const struct ws_ed_member *to =
			e ? ws_ed_peers_find(ws_edge_peers(e), s.to) : NULL;
		uint32_t next = 0;

		if (!to)
			continue;
		do {
			next = ws_edge_refused_list(e, fleet.now, next, &list);
			deliver_list(s.from, to);
		} while (next);
	}
}

static void send_digest(int i)
{
	const struct ws_ed_peers *p = ws_edge_peers(fleet.nodes[i].edge);
	size_t j;

	if (!ws_edge_refused_digest(fleet.nodes[i].edge, fleet.now, &list))
		return;
	for (j = 0; j < p->n; j++)
		if (ws_edge_gets_digest(fleet.nodes[i].edge, &p->members[j]))
			deliver_list(i, &p->members[j]);
}

static void send_beats(int i)
{
	struct fleet_instance *n = &fleet.nodes[i];
	const struct ws_ed_peers *p = ws_edge_peers(n->edge);
	int group;
	size_t j;

	if (fleet.now < n->next_beat)
		return;
	n->next_beat = fleet.now + ws_ed_peers_period(p);
	ws_edge_beat(n->edge, fleet.now, &beat);
	snprintf(beat.address, sizeof(beat.address), "%d", i);
	for (j = 0; j < p->n; j++)
		if (ws_edge_beat_for(n->edge, &p->members[j], &beat))
			deliver_beat(i, &p->members[j]);
	for (group = 0; group < WS_ED_RECEIVER_GROUPS; group++)
		while (ws_edge_beat_continue(
			n->edge, (enum ws_ed_receiver_group)group, &beat))
			for (j = 0; j < p->n; j++)
				if (ws_edge_is_receiver(
					    n->edge, &p->members[j],
					    (enum ws_ed_receiver_group)group))
					deliver_beat(i, &p->members[j]);
	send_digest(i);
}

/* ===== Callers ===== */

size_t fleet_submit_as(int i, uint64_t fingerprint)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };
	size_t id = ++fleet.n_requests;
	const struct ws_ed_arrival a = {
		.id = id,
		.host = "h",
		.path = fleet.sharded ? "/k/1" : "/o/1",
		.caller_key = fleet.caller_key,
		.deadline = DEADLINE,
		.fingerprint = fingerprint,
		.key = (int32_t)ws_rand_below(&fleet.rand, WS_ED_KEYS),
		.started = fleet.now,
	};

	ck_assert_uint_lt(id, FLEET_REQUESTS_MAX);
	fleet.requests[id] = (struct fleet_request){
		.arrived = fleet.now,
		.fingerprint = fingerprint,
	};
	ev.u.arrival = &a;
	step(i, &ev);
	return id;
}

size_t fleet_submit(int i)
{
	return fleet_submit_as(i, ws_mix(fleet.n_requests + 1, 1));
}

static void submit_arrivals(double per_s)
{
	fleet.owed += per_s * (double)FLEET_STEP / (double)WS_SECOND;
	while (fleet.owed >= 1.0) {
		int i = (int)ws_rand_below(&fleet.rand, (uint64_t)fleet.n);

		fleet.owed -= 1.0;
		if (is_running(i))
			fleet_submit(i);
	}
}

/* ===== Strikes ===== */

void fleet_report_strikes(int i, int j, uint64_t request)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	uint32_t k;

	memset(&beat, 0, sizeof(beat));
	beat.from = instance_id(j);
	beat.zone = zone_id(j);
	beat.incarnation = fleet.nodes[j].incarnation;
	snprintf(beat.address, sizeof(beat.address), "%d", j);
	/* Later than its last heartbeat, earlier than the next one. */
	beat.timestamp = fleet.now + ++fleet.n_reports;
	beat.scope = WS_ED_SCOPE_FULL;
	for (k = 0; k < 2; k++)
		beat.strikes[beat.n_strikes++] = (struct ws_ed_strike){
			.request = request,
			.crash = ws_mix(request, k),
		};
	ev.u.beat = &beat;
	step(i, &ev);
}

/* ===== Run ===== */

void fleet_run(ws_us time, double per_s)
{
	struct ws_ed_event tick = { .kind = WS_EDEV_TICK };
	ws_us end = fleet.now + time;
	int i;

	while (fleet.now < end) {
		fleet.now += FLEET_STEP;
		fleet.n_reports = 0;
		deliver_answers();
		end_checks();
		update_servers();
		submit_arrivals(per_s);
		for (i = 0; i < fleet.n; i++) {
			struct fleet_instance *n = &fleet.nodes[i];

			if (!n->edge && n->up_at && fleet.now >= n->up_at) {
				fleet_start_instance(i);
				fleet_add_members(i);
			}
			if (!is_running(i))
				continue;
			step(i, &tick);
			if (fleet.now / FLEET_STEP % 100 == 0 &&
			    !fleet.store_down)
				read_store(i);
			send_beats(i);
		}
		send_lists();
	}
}

void fleet_start(int n, bool sharded)
{
	const char *caller_key = fleet.caller_key;
	int n_servers = fleet.n_servers ? fleet.n_servers : FLEET_SERVERS;
	bool unmetered = fleet.unmetered;
	int i;

	for (i = 0; i < FLEET_INSTANCES_MAX; i++)
		ws_edge_free(fleet.nodes[i].edge);
	memset(&fleet, 0, sizeof(fleet));
	fleet.caller_key = caller_key;
	fleet.n_servers = n_servers;
	fleet.unmetered = unmetered;
	ws_rand_seed(&fleet.rand, 11);
	fleet.n = n;
	fleet.zones = 1 + n / PER_ZONE_MAX;
	fleet.sharded = sharded;
	fleet.now = FLEET_START;
	for (i = 0; i < n_servers; i++) {
		fleet.servers[i].limit = -1.0;
		fleet.servers[i].started_ms = 1;
	}
	for (i = 0; i < n; i++)
		fleet.nodes[i].starts = 1;
	for (i = 0; i < n; i++) {
		fleet.nodes[i].starts = 0;
		fleet_start_instance(i);
	}
	for (i = 0; i < n; i++)
		fleet_add_members(i);
}

void fleet_limit_servers(int n, double limit)
{
	int i;

	for (i = 0; i < n; i++) {
		fleet.servers[i].limit = limit;
		fleet.servers[i].limited_until = FLEET_START + 3600 * WS_SECOND;
	}
}
