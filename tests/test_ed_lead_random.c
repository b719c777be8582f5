#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_lead.h"
#include "edge/ws_ed_lead_int.h"
#include "edge/ws_ed_position.h"
#include "seed_range.h"

/*
 * Randomized simulation of several instances, a store and servers with faults.
 * Guards against two servers owning a key at the same time, against a server
 * that gets a key with a fencing token not above all earlier ones, and against
 * keys without an owner after the faults have ended. Servers that state that
 * they leave have to lose their keys in time, but not while nobody else can get
 * them.
 */

#define NODES 5
#define SERVERS 5
#define POINTS 64 /* sampled keys */
#define POINT_KEYS (WS_ED_KEYS / POINTS)
#define STEP (10 * WS_MS)
/* Length of a run, and the time in it at which faults end. */
#define RUN (60 * WS_SECOND)
#define CALM (35 * WS_SECOND)
/* The same with long cuts; voters lost for good delay a takeover. */
#define LONG_RUN (170 * WS_SECOND)
#define LONG_CALM (110 * WS_SECOND)
#define LONG_SEEDS 4 /* unless WS_SEEDS names others */
#define LONG_CUT_MAX (60 * WS_SECOND)
/* Copies from which the store is restored are not older in long runs. */
#define COPY_AGE_MAX (15 * WS_SECOND)
#define FIRST_ID 100
#define LOG_MAX 8192
#define MEMBERS_MAX 256 /* instances that have ever been started */
#define MESSAGES_MAX 4096
#define GRANT_TIMEOUT (700 * WS_MS)
#define RELEASE_TIMEOUT (3 * WS_SECOND)
#define UNLISTED_AFTER (2600 * WS_MS)
#define SERVICE 77
/* A planned move leaves a key without an owner for less than this. */
#define MOVE_MAX WS_SECOND
/* How long a server that states that it leaves goes on */
#define DRAIN_TIME (2 * WS_SECOND)
#define DRAIN_LONGER_MAX (3 * WS_SECOND)
/* Servers leave one or two at a time after the faults, from then on. */
#define CALM_LEAVES (CALM + 12 * WS_SECOND)
#define CALM_LEAVE_PERIOD (4 * WS_SECOND)
#define LAPSE_MAX (1500 * WS_MS)
/* A server's clock runs 2 % slow. */
#define SERVER_CLOCK_PERCENT 102

/* Each test runs with both policies of placement. */
static bool unmetered;

struct server {
	ws_id id;
	char name[WS_ED_NAME_MAX];
	bool up;
	bool listed;
	int64_t born;
	ws_us down_since;
	ws_us back_at;
	ws_us leaving_at; /* it states since then that it leaves; 0: not */
	ws_us end_at; /* of its process, if it leaves */
	ws_us relisted_at; /* its entry has lapsed until then; 0: it has not */
	uint64_t fence[POINTS];
	ws_us until[POINTS];
};

enum kind {
	MSG_FREE = 0,
	MSG_BEAT,
	MSG_READ, /* result of a read */
	MSG_APPEND, /* on its way to the store */
	MSG_APPENDED,
	MSG_CALL, /* on its way to a server */
	MSG_CALLED,
};

struct message {
	uint8_t kind;
	ws_us at;
	size_t node; /* destination or, for calls, origin */
	uint64_t incarnation; /* of the node */
	uint64_t from_incarnation; /* of the sending node */
	uint64_t echo_incarnation; /* of the node whose timestamp is echoed */
	bool lost; /* no answer arrives */
	/* Heartbeats */
	ws_id from;
	uint64_t epoch;
	bool store_reachable;
	ws_us timestamp;
	ws_us echo;
	struct ws_ed_statement stated[SERVERS]; /* with ages for times */
	size_t n_stated;
	/* Store */
	ws_us started;
	uint64_t end;
	struct ws_ed_map map;
	bool has_map;
	enum ws_ed_append_result result;
	/* Calls */
	bool grant;
	struct ws_ed_key_call call;
	ws_us arrival;
	int64_t born; /* incarnation of the server it was sent to */
	enum ws_ed_call_result call_end;
	bool leaving; /* the answer states that the server leaves */
};

struct node {
	struct ws_ed_lead lead;
	struct ws_ed_peers peers;
	struct ws_ed_pool pool;
	struct ws_ed_heat heat;
	ws_id id;
	ws_us clock; /* offset of its clock, other after a reboot */
	uint64_t incarnation;
	/* Processes of the other nodes that it has heard, by id */
	uint64_t heard_incarnation[MEMBERS_MAX];
	ws_us frozen_until;
	bool no_store;
	ws_us store_lost_at; /* it has not reached the store since; 0: it can */
	bool partitioned; /* from the other nodes */
	ws_us next_read;
	ws_us next_beat;
	uint64_t read_end;
};

enum fault_set {
	FAULTS_SHORT = 0,
	FAULTS_RESTORES, /* the store is restored as well */
	/* Also cuts of any length, lost machines and clocks that go back */
	FAULTS_LONG,
	FAULTS_LEAVING, /* short ones, and servers leave */
};

struct world {
	struct ws_rand rand;
	enum fault_set faults;
	ws_us now;
	ws_us cut_until; /* end of the long cut */
	uint32_t cut; /* mask of the nodes that are cut from the others */
	uint32_t n_ids; /* of instances that have ever been started */
	ws_us log_times[LOG_MAX]; /* of its records */
	struct node nodes[NODES];
	struct server servers[SERVERS];
	struct message *messages;
	struct ws_ed_map *log;
	size_t n_log;
	size_t cap_log;
	bool store_down;
	uint64_t era; /* rises when the store is restored from a copy */
	uint64_t restores;
	bool calm; /* faults have ended */
	uint64_t newest_fence[POINTS];
	size_t newest_server[POINTS];
	ws_us owned_at[POINTS]; /* when it last had an owner */
	struct ws_ed_conf conf;
	struct ws_ed_service service;
	uint64_t grants;
	uint64_t moves;
	/* Checks of a leader that has to leave keys where they are */
	uint64_t kept_checks;
};

static bool chance(struct world *w, uint64_t in_thousand)
{
	return ws_rand_below(&w->rand, 1000) < in_thousand;
}

static ws_us random_between(struct world *w, ws_us low, ws_us high)
{
	return low + (ws_us)ws_rand_below(&w->rand, (uint64_t)(high - low + 1));
}

static struct message *post(struct world *w, uint8_t kind, ws_us delay)
{
	size_t i;

	for (i = 0; i < MESSAGES_MAX; i++) {
		struct message *m = &w->messages[i];

		if (m->kind != MSG_FREE)
			continue;
		ws_ed_map_free(&m->map);
		memset(m, 0, sizeof(*m));
		m->kind = kind;
		m->at = w->now + delay;
		return m;
	}
	ck_abort_msg("too many messages");
	return NULL;
}

static ws_us clock_of(const struct world *w, size_t n)
{
	return w->now + w->nodes[n].clock;
}

/* Whether the long cut separates two nodes. */
static bool is_cut(const struct world *w, size_t a, size_t b)
{
	return ((w->cut >> a) & 1) != ((w->cut >> b) & 1);
}

/* ===== Effects ===== */

static void send_append(struct world *w, size_t n, uint64_t at)
{
	struct node *nd = &w->nodes[n];
	bool late = !w->calm && chance(w, 30);
	struct message *m =
		post(w, MSG_APPEND,
		     late ? random_between(w, WS_SECOND, 6 * WS_SECOND) :
			    random_between(w, 2 * WS_MS, 20 * WS_MS));

	m->node = n;
	m->incarnation = nd->incarnation;
	m->started = clock_of(w, n);
	m->end = at;
	m->lost = late || (!w->calm && chance(w, 30));
	ws_ed_map_copy(&m->map, ws_ed_lead_proposal(&nd->lead));
	if (nd->no_store || w->store_down) {
		m->kind = MSG_APPENDED;
		m->result = WS_EDA_FAILED;
		m->at = w->now + WS_SECOND;
		return;
	}
	if (m->lost) {
		struct message *f = post(w, MSG_APPENDED, WS_SECOND);

		f->node = n;
		f->incarnation = nd->incarnation;
		f->started = clock_of(w, n);
		f->end = at;
		f->result = WS_EDA_FAILED;
	}
}

static size_t find_server(const struct world *w, const char *name)
{
	size_t i;

	for (i = 0; i < SERVERS; i++)
		if (!strcmp(w->servers[i].name, name))
			return i;
	ck_abort_msg("no server %s", name);
	return 0;
}

static void send_call(struct world *w, size_t n, const struct ws_ed_effect *x)
{
	struct message *m =
		post(w, MSG_CALL, random_between(w, WS_MS, 8 * WS_MS));
	bool grant = x->kind == WS_EDFX_GRANT;

	m->node = n;
	m->incarnation = w->nodes[n].incarnation;
	m->grant = grant;
	m->call = x->u.call;
	m->arrival = m->at;
	m->born = w->servers[find_server(w, m->call.name)].born;
	/* A call without an answer may still be executed seconds later. */
	m->lost = !w->calm && chance(w, 40);
	if (m->lost && grant && chance(w, 500))
		m->at += random_between(w, WS_SECOND, 10 * WS_SECOND);
	if (m->lost) {
		struct message *f = post(
			w, MSG_CALLED, grant ? GRANT_TIMEOUT : RELEASE_TIMEOUT);

		f->node = n;
		f->incarnation = w->nodes[n].incarnation;
		f->call = x->u.call;
		f->call_end = WS_EDC_FAILED;
	}
}

static void run_effects(struct world *w, size_t n, struct ws_ed_fx *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++) {
		const struct ws_ed_effect *x = &fx->items[i];

		if (x->kind == WS_EDFX_APPEND)
			send_append(w, n, x->u.append.at);
		else if (x->kind == WS_EDFX_GRANT || x->kind == WS_EDFX_RELEASE)
			send_call(w, n, x);
		else if (x->kind == WS_EDFX_READ)
			w->nodes[n].next_read = w->now;
	}
	fx->n = 0;
}

/* ===== Servers ===== */

static bool covers_point(const struct message *m, uint32_t point)
{
	uint32_t key = point * POINT_KEYS;

	return key >= m->call.from && key <= m->call.to;
}

static enum ws_ed_call_result apply_grant(struct world *w, size_t s,
					  const struct message *m)
{
	struct server *sv = &w->servers[s];
	ws_us until;
	uint32_t p;

	/* The lease starts at the arrival, so a late grant may have expired. */
	until = m->arrival +
		m->call.lease_duration * SERVER_CLOCK_PERCENT / 100;
	if (until <= w->now)
		return WS_EDC_DONE;
	for (p = 0; p < POINTS; p++)
		if (covers_point(m, p) && sv->fence[p] > m->call.fence)
			return WS_EDC_FENCED;
	for (p = 0; p < POINTS; p++) {
		if (!covers_point(m, p))
			continue;
		if (w->newest_server[p] != s) {
			ck_assert_uint_gt(m->call.fence, w->newest_fence[p]);
			w->moves++;
		}
		if (m->call.fence > w->newest_fence[p])
			w->newest_fence[p] = m->call.fence;
		w->newest_server[p] = s;
		/* A late renewal does not shorten the lease. */
		if (until > sv->until[p] || m->call.fence > sv->fence[p])
			sv->until[p] = until;
		sv->fence[p] = m->call.fence;
	}
	w->grants++;
	return WS_EDC_DONE;
}

static void apply_release(struct server *sv, const struct message *m)
{
	uint32_t p;

	for (p = 0; p < POINTS; p++)
		if (covers_point(m, p))
			sv->until[p] = 0;
}

static void deliver_call(struct world *w, struct message *m)
{
	size_t s = find_server(w, m->call.name);
	struct server *sv = &w->servers[s];
	struct message answer = *m;
	struct message *a;
	ws_us delay = random_between(w, WS_MS, 8 * WS_MS);

	m->kind = MSG_FREE;
	answer.call_end = WS_EDC_NOT_SENT;
	if (sv->up && sv->born != answer.born) {
		answer.lost = true;
	} else if (sv->up && answer.grant) {
		answer.call_end = apply_grant(w, s, &answer);
	} else if (sv->up) {
		apply_release(sv, &answer);
		answer.call_end = WS_EDC_DONE;
		/* A release waits for running requests on the keys. */
		delay += random_between(w, 0, 400 * WS_MS);
	}
	if (answer.lost)
		return;
	a = post(w, MSG_CALLED, delay);
	a->node = answer.node;
	a->incarnation = answer.incarnation;
	a->call = answer.call;
	a->call_end = answer.call_end;
	a->leaving = answer.call_end != WS_EDC_NOT_SENT && sv->leaving_at;
}

static void publish_listing_to(struct world *w, size_t n, size_t s)
{
	struct server *sv = &w->servers[s];
	struct ws_ed_listing l = {
		.service = SERVICE,
		.zone = 1,
		.slots = 4,
		.started_ms = sv->born,
	};
	ws_us now = clock_of(w, n);

	memcpy(l.name, sv->name, sizeof(l.name));
	memcpy(l.address, sv->name, sizeof(l.address));
	if (sv->listed)
		ws_ed_pool_listed(&w->nodes[n].pool, now, &l);
	else
		ws_ed_pool_unlisted(&w->nodes[n].pool, now, sv->id, 0);
}

static void publish_listing(struct world *w, size_t s)
{
	size_t n;

	for (n = 0; n < NODES; n++)
		publish_listing_to(w, n, s);
}

static void step_server(struct world *w, size_t s, bool calm)
{
	struct server *sv = &w->servers[s];

	if (sv->up) {
		/*
		 * Crashes are needed to move the keys, since random load does
		 * not rebalance them.
		 */
		if (!calm && chance(w, 2)) {
			sv->up = false;
			sv->down_since = w->now;
			sv->back_at = w->now + random_between(w, 500 * WS_MS,
							      14 * WS_SECOND);
		}
		return;
	}
	if (sv->listed && w->now - sv->down_since > UNLISTED_AFTER) {
		sv->listed = false;
		publish_listing(w, s);
	}
	if (w->now < sv->back_at)
		return;
	sv->up = true;
	sv->listed = true;
	sv->leaving_at = 0;
	sv->relisted_at = 0;
	sv->born++;
	memset(sv->fence, 0, sizeof(sv->fence));
	memset(sv->until, 0, sizeof(sv->until));
	publish_listing(w, s);
}

/* ===== Servers that leave ===== */

static void start_leaving(struct world *w, size_t s)
{
	struct server *sv = &w->servers[s];

	sv->leaving_at = w->now;
	sv->end_at = w->now + DRAIN_TIME +
		     random_between(w, 100 * WS_MS, DRAIN_LONGER_MAX);
}

/* Its entry lapses, and returns under the same start. */
static void step_lapse(struct world *w, size_t s, bool calm)
{
	struct server *sv = &w->servers[s];

	if (sv->listed && !calm && chance(w, 3)) {
		sv->listed = false;
		sv->relisted_at =
			w->now + random_between(w, 100 * WS_MS, LAPSE_MAX);
		publish_listing(w, s);
	} else if (sv->relisted_at && w->now >= sv->relisted_at) {
		sv->listed = true;
		sv->relisted_at = 0;
		publish_listing(w, s);
	}
}

static void step_leaving(struct world *w, size_t s, bool calm)
{
	struct server *sv = &w->servers[s];

	if (!sv->up)
		return;
	if (!sv->leaving_at) {
		if (!calm && chance(w, 2))
			start_leaving(w, s);
		return;
	}
	if (w->now < sv->end_at) {
		step_lapse(w, s, calm);
		return;
	}
	sv->up = false;
	sv->down_since = w->now;
	sv->back_at = w->now + random_between(w, 500 * WS_MS, 4 * WS_SECOND);
}

/* One or two servers leave. */
static void leave_in_calm(struct world *w)
{
	size_t n = 1 + ws_rand_below(&w->rand, 2);
	size_t s;

	if (w->now < CALM_LEAVES || (w->now - CALM_LEAVES) % CALM_LEAVE_PERIOD)
		return;
	for (s = 0; s < SERVERS && n; s++)
		if (w->servers[s].up && !w->servers[s].leaving_at &&
		    chance(w, 500)) {
			start_leaving(w, s);
			n--;
		}
}

/* The instance gets answers to callers' requests. */
static void receive_answers(struct world *w, size_t n)
{
	size_t s;

	for (s = 0; s < SERVERS; s++) {
		const struct server *sv = &w->servers[s];

		if (sv->up && sv->leaving_at && chance(w, 50))
			ws_ed_pool_key_answer_leaving(&w->nodes[n].pool,
						      clock_of(w, n), sv->id,
						      sv->born);
	}
}

/* Adds what an instance knows of servers that leave, with ages for times. */
static void add_statements(const struct node *nd, ws_us now, struct message *m)
{
	size_t i;

	for (i = 0; i < nd->pool.n && m->n_stated < SERVERS; i++) {
		const struct ws_ed_server *s = &nd->pool.servers[i];

		if (s->id && s->stated.leaving_since)
			m->stated[m->n_stated++] = (struct ws_ed_statement){
				.server = ws_ed_short_id(s->id),
				.started = (uint32_t)s->started_ms,
				.kind = WS_ED_STATEMENT_LEAVING,
				.as_of = now - s->stated.leaving_since,
			};
	}
}

static void receive_statements(struct node *nd, const struct message *m,
			       ws_us now)
{
	unsigned changed;
	size_t i;

	for (i = 0; i < m->n_stated; i++) {
		struct ws_ed_statement t = m->stated[i];

		/* As for those of a machine that has run for longer. */
		t.as_of = t.as_of < now ? now - t.as_of : 1;
		ws_ed_pool_peer_stated(&nd->pool, now, &t, &changed);
	}
}

/* ===== Store ===== */

static void deliver_append(struct world *w, struct message *m)
{
	/* The store compares offsets only, whatever era they are from. */
	bool fits = ws_ed_position_offset(m->end) == w->n_log;
	bool same_era = ws_ed_position_era(m->end) == w->era;
	struct message sent = *m;
	struct message *a;

	if (fits) {
		ws_grow(&w->log, &w->cap_log, w->n_log + 1, sizeof(*w->log));
		memset(&w->log[w->n_log], 0, sizeof(*w->log));
		ck_assert_uint_lt(w->n_log, LOG_MAX);
		w->log_times[w->n_log] = w->now;
		ws_ed_map_copy(&w->log[w->n_log++], &m->map);
	}
	m->kind = MSG_FREE;
	if (sent.lost)
		return;
	a = post(w, MSG_APPENDED, random_between(w, WS_MS, 10 * WS_MS));
	a->node = sent.node;
	a->incarnation = sent.incarnation;
	a->started = sent.started;
	a->end = sent.end;
	a->result = fits && same_era ? WS_EDA_DONE : WS_EDA_CONFLICT;
}

static void read_store(struct world *w, size_t n)
{
	struct node *nd = &w->nodes[n];
	struct message *m;

	if (w->now < nd->next_read)
		return;
	nd->next_read = w->now + random_between(w, 150 * WS_MS, 400 * WS_MS);
	if (nd->no_store || w->store_down)
		return;
	m = post(w, MSG_READ, random_between(w, 2 * WS_MS, 12 * WS_MS));
	m->node = n;
	m->incarnation = nd->incarnation;
	m->started = clock_of(w, n);
	m->end = ws_ed_position(w->era, w->n_log);
	m->has_map = w->n_log && m->end > nd->read_end;
	if (m->has_map)
		ws_ed_map_copy(&m->map, &w->log[w->n_log - 1]);
}

/*
 * The store comes back from a copy: the records since then are lost. A few are
 * lost without a gap in which it is away, as seen by the instances.
 */
static void restore_store(struct world *w)
{
	size_t lost = ws_rand_below(&w->rand, 12);

	while (lost-- && w->n_log &&
	       (w->faults != FAULTS_LONG ||
		w->now - w->log_times[w->n_log - 1] < COPY_AGE_MAX))
		ws_ed_map_free(&w->log[--w->n_log]);
	w->era++;
	w->restores++;
}

/* ===== Instances ===== */

/* The clock starts anew with the machine, and the pool with the process. */
static void reboot(struct world *w, size_t n)
{
	struct node *nd = &w->nodes[n];
	size_t s;

	nd->clock = random_between(w, WS_SECOND, 200 * WS_SECOND) - w->now;
	ws_ed_pool_free(&nd->pool);
	memset(&nd->pool, 0, sizeof(nd->pool));
	nd->pool.drain_time = DRAIN_TIME;
	nd->pool.unmetered = unmetered;
	ws_ed_heat_free(&nd->heat);
	memset(&nd->heat, 0, sizeof(nd->heat));
	for (s = 0; s < SERVERS; s++)
		if (w->servers[s].listed)
			publish_listing_to(w, n, s);
}

static void start_node(struct world *w, size_t n)
{
	struct node *nd = &w->nodes[n];
	ws_us now = clock_of(w, n);
	size_t i;

	ws_ed_lead_free(&nd->lead);
	memset(&nd->lead, 0, sizeof(nd->lead));
	ws_ed_peers_free(&nd->peers);
	nd->incarnation++;
	nd->read_end = 0;
	nd->next_read = 0;
	nd->next_beat = 0;
	memset(nd->heard_incarnation, 0, sizeof(nd->heard_incarnation));
	if (!nd->id)
		nd->id = FIRST_ID + w->n_ids++;
	ck_assert_uint_lt(w->n_ids, MEMBERS_MAX);
	nd->peers.self = nd->id;
	nd->lead.self = nd->id;
	nd->lead.started = now;
	nd->lead.restarted = nd->incarnation > 1;
	nd->lead.peers = &nd->peers;
	nd->lead.pool = &nd->pool;
	nd->lead.heat = &nd->heat;
	nd->lead.conf = &w->conf;
	nd->pool.instances = NODES;
	nd->pool.drain_time = DRAIN_TIME;
	nd->pool.unmetered = unmetered;
	/* The store lists lost instances as well. */
	for (i = 0; i < w->n_ids || i < NODES; i++)
		ws_ed_peers_add(&nd->peers, now,
				&(struct ws_ed_member_entry){
					.id = FIRST_ID + i,
					.address = "x",
				});
}

static void send_beats(struct world *w, size_t n)
{
	struct node *nd = &w->nodes[n];
	ws_us now = clock_of(w, n);
	size_t i;

	if (w->now < nd->next_beat)
		return;
	nd->next_beat = w->now + WS_ED_HEARTBEAT_PERIOD;
	for (i = 0; i < NODES; i++) {
		const struct ws_ed_member *p;
		struct message *m;

		if (i == n || nd->partitioned || w->nodes[i].partitioned ||
		    is_cut(w, n, i) || chance(w, 20))
			continue;
		m = post(w, MSG_BEAT, random_between(w, WS_MS, 10 * WS_MS));
		/* A datagram may be held up on its way. */
		if (w->faults == FAULTS_LONG && !w->calm && chance(w, 5))
			m->at += random_between(w, 0, 8 * WS_SECOND);
		m->node = i;
		m->incarnation = w->nodes[i].incarnation;
		m->from = nd->id;
		m->from_incarnation = nd->incarnation;
		m->epoch = ws_ed_lead_epoch(&nd->lead);
		m->store_reachable = ws_ed_lead_store_reachable(&nd->lead, now);
		m->timestamp = now;
		add_statements(nd, now, m);
		p = ws_ed_peers_find(&nd->peers, w->nodes[i].id);
		if (!p || !ws_ed_lead_may_echo(&nd->lead, now) ||
		    !ws_ed_member_alive(&nd->peers, p, now))
			continue;
		m->echo = p->timestamp;
		m->echo_incarnation =
			nd->heard_incarnation[w->nodes[i].id - FIRST_ID];
	}
}

static void receive_beat(struct node *nd, const struct message *m, ws_us now)
{
	uint64_t *heard = &nd->heard_incarnation[m->from - FIRST_ID];
	/* Added again if it was removed after a long silence. */
	struct ws_ed_member *p = ws_ed_peers_add(&nd->peers, now,
						 &(struct ws_ed_member_entry){
							 .id = m->from,
							 .address = "x",
						 });

	if (*heard != m->from_incarnation) {
		*heard = m->from_incarnation;
		p->timestamp = 0;
		p->echoed_timestamp = 0;
	}
	if (m->timestamp <= p->timestamp)
		return;
	p->timestamp = m->timestamp;
	p->heard_at = now;
	p->store_reachable = m->store_reachable;
	if (m->epoch > p->epoch)
		p->epoch = m->epoch;
	ws_ed_lead_on_epoch(&nd->lead, m->epoch);
	receive_statements(nd, m, now);
	if (m->echo > p->echoed_timestamp && m->echo <= now &&
	    m->echo_incarnation == nd->incarnation)
		p->echoed_timestamp = m->echo;
}

static void receive_read(struct node *nd, struct message *m, ws_us now,
			 struct ws_ed_fx *fx)
{
	if (m->started > nd->lead.store_reached_at)
		nd->lead.store_reached_at = m->started;
	if (m->end > nd->read_end)
		nd->read_end = m->end;
	ws_ed_lead_on_read(&nd->lead, now, m->started,
			   m->has_map ? &m->map : NULL, m->end, fx);
}

static void receive_call_result(struct node *nd, const struct message *m,
				ws_us now, struct ws_ed_fx *fx)
{
	if (m->leaving)
		ws_ed_pool_key_answer_leaving(&nd->pool, now, m->call.server,
					      m->call.started_ms);
	ws_ed_lead_on_call_result(&nd->lead, now, m->call.ref, m->call_end, "t",
				  fx);
}

static void deliver(struct world *w, struct message *m, struct ws_ed_fx *fx)
{
	struct node *nd = &w->nodes[m->node];
	size_t n = m->node;
	ws_us now;

	if (m->kind == MSG_CALL) {
		deliver_call(w, m);
		return;
	}
	if (m->kind == MSG_APPEND) {
		deliver_append(w, m);
		return;
	}
	now = clock_of(w, n);
	if (w->now < nd->frozen_until) {
		/* A frozen process receives the message when it resumes. */
		m->at = nd->frozen_until;
		return;
	}
	if (m->incarnation == nd->incarnation) {
		if (m->kind == MSG_BEAT)
			receive_beat(nd, m, now);
		else if (m->kind == MSG_READ)
			receive_read(nd, m, now, fx);
		else if (m->kind == MSG_APPENDED)
			ws_ed_lead_on_append(&nd->lead, now, m->end, m->started,
					     m->result, fx);
		else
			receive_call_result(nd, m, now, fx);
	}
	m->kind = MSG_FREE;
	run_effects(w, n, fx);
}

/* The machine is rebooted, or another one takes its place. */
static void lose_machine(struct world *w, size_t n)
{
	if (chance(w, 150) && w->n_ids < MEMBERS_MAX - 1)
		w->nodes[n].id = 0;
	reboot(w, n);
	start_node(w, n);
}

static void inject_faults(struct world *w, size_t n, bool calm)
{
	struct node *nd = &w->nodes[n];

	if (calm) {
		nd->no_store = false;
		nd->partitioned = false;
		return;
	}
	/* Less often, so that processes live as long as cuts last. */
	if (w->faults == FAULTS_LONG && !chance(w, 80))
		return;
	if (chance(w, 1))
		nd->frozen_until =
			w->now + random_between(w, WS_SECOND, 6 * WS_SECOND);
	if (chance(w, 2) && !w->cut)
		nd->no_store = !nd->no_store;
	if (chance(w, 2) && w->faults != FAULTS_LONG)
		nd->partitioned = !nd->partitioned;
	if (chance(w, 1))
		start_node(w, n);
	if (w->faults == FAULTS_LONG && chance(w, 4))
		lose_machine(w, n);
}

static void inject_store_faults(struct world *w, bool calm)
{
	bool rare = w->faults == FAULTS_LONG && !chance(w, 150);

	if (calm)
		w->store_down = false;
	else if (w->faults == FAULTS_LEAVING)
		/* Short outages, as a leader soon leaves without the store. */
		w->store_down ^= chance(w, w->store_down ? 6 : 3);
	else if (chance(w, 1) && (!rare || w->store_down))
		w->store_down = !w->store_down;
	if (!calm &&
	    (w->faults == FAULTS_RESTORES || w->faults == FAULTS_LONG) &&
	    chance(w, 1) && !rare)
		restore_store(w);
}

/* Mask of nodes to cut off: any, but mostly a leader with at most one other. */
static uint32_t choose_cut(struct world *w)
{
	uint32_t any = 1 + (uint32_t)ws_rand_below(&w->rand, (1U << NODES) - 2);
	uint32_t other = 1U << ws_rand_below(&w->rand, NODES);
	size_t n;

	for (n = 0; n < NODES; n++)
		if (ws_ed_lead_valid(&w->nodes[n].lead, clock_of(w, n)) &&
		    chance(w, 700))
			return 1U << n | other;
	return any;
}

/* Cuts nodes off from the others for any time, mostly from the store as well.
 */
static void inject_long_cut(struct world *w, bool calm)
{
	size_t n;

	if (w->cut && (calm || w->now >= w->cut_until)) {
		for (n = 0; n < NODES; n++)
			w->nodes[n].no_store = false;
		w->cut = 0;
	}
	/* The leader of the other side is lost during the cut. */
	for (n = 0; n < NODES; n++)
		if (w->cut && chance(w, 2) && !((w->cut >> n) & 1) &&
		    ws_ed_lead_valid(&w->nodes[n].lead, clock_of(w, n)))
			start_node(w, n);
	if (calm || w->cut || !chance(w, 2))
		return;
	w->cut = choose_cut(w);
	w->cut_until = w->now + random_between(w, WS_SECOND, LONG_CUT_MAX);
	if (chance(w, 200))
		return;
	for (n = 0; n < NODES; n++)
		w->nodes[n].no_store = (w->cut >> n) & 1;
}

static void step_node(struct world *w, size_t n, bool calm, struct ws_ed_fx *fx)
{
	struct node *nd = &w->nodes[n];
	ws_us now;

	inject_faults(w, n, calm);
	if (!nd->no_store && !w->store_down)
		nd->store_lost_at = 0;
	else if (!nd->store_lost_at)
		nd->store_lost_at = w->now;
	if (w->now < nd->frozen_until)
		return;
	now = clock_of(w, n);
	if (w->faults == FAULTS_LEAVING) {
		receive_answers(w, n);
		ws_ed_pool_tick(&nd->pool, now);
	}
	if (chance(w, 300))
		ws_ed_heat_count(&nd->heat, SERVICE,
				 (uint32_t)ws_rand_below(&w->rand, 3000));
	ws_ed_heat_tick(&nd->heat, now);
	ws_ed_peers_tick(&nd->peers, now);
	read_store(w, n);
	send_beats(w, n);
	ws_ed_lead_tick(&nd->lead, now, fx);
	run_effects(w, n, fx);
}

/* ===== Checks ===== */

static void check_owners(struct world *w)
{
	size_t p;
	size_t s;

	for (p = 0; p < POINTS; p++) {
		size_t owners = 0;

		for (s = 0; s < SERVERS; s++)
			owners += w->servers[s].up &&
				  w->servers[s].until[p] > w->now;
		ck_assert_msg(owners <= 1, "%zu owners of point %zu at %ld ms",
			      owners, p, (long)(w->now / WS_MS));
		if (owners)
			w->owned_at[p] = w->now;
	}
}

/* Once a leader may move keys, no leader with a lower epoch may grant any. */
static void check_leaders(const struct world *w)
{
	size_t a;
	size_t b;

	for (b = 0; b < NODES; b++) {
		const struct ws_ed_lead *newer = &w->nodes[b].lead;

		if (!ws_ed_lead_valid(newer, clock_of(w, b)) ||
		    !ws_ed_lead_may_move(newer, clock_of(w, b)))
			continue;
		for (a = 0; a < NODES; a++)
			ck_assert_msg(
				w->nodes[a].lead.epoch >= newer->epoch ||
					!ws_ed_lead_valid(&w->nodes[a].lead,
							  clock_of(w, a)),
				"leaders %zu and %zu at %ld ms", a, b,
				(long)(w->now / WS_MS));
	}
}

/*
 * A range that a leader has just released, or given to a server. A server that
 * only states that it leaves keeps its keys while the leader can't reach the
 * store, and gets none.
 */
static void check_range(struct world *w, size_t n, const struct ws_ed_range *r)
{
	const struct node *nd = &w->nodes[n];
	ws_us now = clock_of(w, n);
	int32_t h = ws_ed_pool_find(&nd->pool, r->server);
	const struct ws_ed_stated *stated;

	if (h < 0 || nd->pool.servers[h].started_ms != r->started_ms)
		return;
	stated = &nd->pool.servers[h].stated;
	if (!stated->leaving_since)
		return;
	ck_assert_msg(r->state != WS_ED_RANGE_PROPOSED || r->changed_at != now,
		      "keys for a server that leaves at %ld ms",
		      (long)(w->now / WS_MS));
	if (!nd->store_lost_at ||
	    nd->store_lost_at + nd->clock >= stated->leaving_since ||
	    !ws_ed_pool_usable_last(&nd->pool, now, (uint32_t)h))
		return;
	w->kept_checks++;
	ck_assert_msg(r->state != WS_ED_RANGE_RELEASING || r->changed_at != now,
		      "release without the store at %ld ms",
		      (long)(w->now / WS_MS));
}

static void check_ranges(struct world *w)
{
	size_t n;
	size_t i;

	for (n = 0; n < NODES; n++)
		for (i = 0; i < w->nodes[n].lead.n_ranges; i++)
			check_range(w, n, &w->nodes[n].lead.ranges[i]);
}

/*
 * After the faults, keys have another owner within the time for which a server
 * goes on that leaves.
 */
static void check_left(const struct world *w)
{
	size_t s;
	size_t p;

	for (s = 0; s < SERVERS; s++) {
		const struct server *sv = &w->servers[s];

		if (!sv->up || sv->leaving_at < CALM_LEAVES ||
		    w->now != sv->leaving_at + DRAIN_TIME)
			continue;
		for (p = 0; p < POINTS; p++)
			ck_assert_msg(sv->until[p] <= w->now &&
					      w->now - w->owned_at[p] <
						      MOVE_MAX,
				      "point %zu stays with server %zu", p, s);
	}
}

/* Checks that no key has been without an owner for MOVE_MAX or longer. */
static void check_all_owned(const struct world *w)
{
	size_t p;

	for (p = 0; p < POINTS; p++)
		ck_assert_msg(w->now - w->owned_at[p] < MOVE_MAX,
			      "point %zu has no owner", p);
}

static void start_world(struct world *w, uint64_t seed, enum fault_set faults)
{
	size_t i;

	memset(w, 0, sizeof(*w));
	w->faults = faults;
	ws_rand_seed(&w->rand, ws_mix(seed, 9));
	w->messages = ws_alloc(MESSAGES_MAX, sizeof(*w->messages));
	w->now = WS_SECOND;
	w->service = (struct ws_ed_service){ .id = SERVICE, .sharded = true };
	w->conf.services = &w->service;
	w->conf.n_services = 1;
	for (i = 0; i < NODES; i++)
		start_node(w, i);
	for (i = 0; i < SERVERS; i++) {
		struct server *sv = &w->servers[i];

		snprintf(sv->name, sizeof(sv->name), "s%zu", i);
		sv->id = ws_ed_id(sv->name);
		sv->up = true;
		sv->listed = true;
		sv->born = 1;
		publish_listing(w, i);
	}
}

static void end_world(struct world *w)
{
	size_t i;

	for (i = 0; i < NODES; i++) {
		ws_ed_lead_free(&w->nodes[i].lead);
		ws_ed_peers_free(&w->nodes[i].peers);
		ws_ed_pool_free(&w->nodes[i].pool);
		ws_ed_heat_free(&w->nodes[i].heat);
	}
	for (i = 0; i < MESSAGES_MAX; i++)
		ws_ed_map_free(&w->messages[i].map);
	for (i = 0; i < w->n_log; i++)
		ws_ed_map_free(&w->log[i]);
	free(w->log);
	free(w->messages);
}

/* @return number of times that a sampled key moved to another server */
static uint64_t run_seed(uint64_t seed, enum fault_set faults)
{
	ws_us run_end = faults == FAULTS_LONG ? LONG_RUN : RUN;
	ws_us calm_from = faults == FAULTS_LONG ? LONG_CALM : CALM;
	uint64_t moves;
	struct ws_ed_fx fx = { NULL, 0, 0 };
	struct world w;
	size_t i;

	start_world(&w, seed, faults);
	while (w.now < run_end) {
		bool calm = w.now > calm_from;

		w.now += STEP;
		w.calm = calm;
		inject_store_faults(&w, calm);
		if (faults == FAULTS_LONG)
			inject_long_cut(&w, calm);
		for (i = 0; i < MESSAGES_MAX; i++)
			if (w.messages[i].kind && w.messages[i].at <= w.now)
				deliver(&w, &w.messages[i], &fx);
		for (i = 0; i < SERVERS; i++)
			step_server(&w, i, calm);
		if (faults == FAULTS_LEAVING) {
			for (i = 0; i < SERVERS; i++)
				step_leaving(&w, i, calm);
			leave_in_calm(&w);
		}
		for (i = 0; i < NODES; i++)
			step_node(&w, i, calm, &fx);
		check_owners(&w);
		check_leaders(&w);
		check_ranges(&w);
		check_left(&w);
	}
	check_all_owned(&w);
	moves = w.moves;
	if (faults == FAULTS_LEAVING)
		printf("%llu checks of kept ranges\n",
		       (unsigned long long)w.kept_checks);
	end_world(&w);
	ws_ed_fx_free(&fx);
	return moves;
}

/* @return mean moves of a key */
static double run_seeds(enum fault_set faults)
{
	struct seed_range range =
		seed_range_get(faults == FAULTS_LONG ? LONG_SEEDS : 12);
	uint64_t moves = 0;
	uint64_t n = range.last - range.first + 1;
	uint64_t seed;

	for (seed = range.first; seed <= range.last; seed++) {
		printf("seed %llu\n", (unsigned long long)seed);
		fflush(stdout);
		moves += run_seed(seed, faults);
	}
	printf("%llu moves in %llu runs\n", (unsigned long long)moves,
	       (unsigned long long)n);
	return (double)moves / (double)(n * POINTS);
}

START_TEST(one_owner_under_faults)
{
	unmetered = _i;
	/* The faults must move each key once in an average run. */
	ck_assert_double_gt(run_seeds(FAULTS_SHORT), 1.0);
}
END_TEST

/*
 * Guards against two owners of a key, a token that is not above all earlier
 * ones, and keys that stay without an owner, after the store has lost records
 * of the map and given out their offsets again.
 */
START_TEST(one_owner_when_the_store_is_restored)
{
	unmetered = _i;
	ck_assert_double_gt(run_seeds(FAULTS_RESTORES), 1.0);
}
END_TEST

/*
 * Guards against two leaders, one of them cut off for so long that it no longer
 * counts the instances of the other side (review case 1), with machines that
 * are lost for good or rebooted with another clock, and restores of the store.
 */
START_TEST(one_owner_after_long_cuts)
{
	unmetered = _i;
	ck_assert_double_gt(run_seeds(FAULTS_LONG), 1.0);
}
END_TEST

/*
 * Guards against two owners of a key, a token that is not above all earlier
 * ones, and keys that stay with a server which leaves, or are taken from it
 * while no other one can get them.
 */
START_TEST(one_owner_when_servers_leave)
{
	unmetered = _i;
	ck_assert_double_gt(run_seeds(FAULTS_LEAVING), 1.0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		one_owner_under_faults,
		one_owner_when_the_store_is_restored,
		one_owner_after_long_cuts,
		one_owner_when_servers_leave,
	};

	return ed_suite_run_each("ed_lead_random", tests,
				 (int)(sizeof(tests) / sizeof(tests[0])), 2);
}
