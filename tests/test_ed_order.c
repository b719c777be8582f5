#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_edge.h"
#include "platform/wp_decode.h"
#include "seed_range.h"

/*
 * Guards against decisions that depend on the order in which an instance has
 * read the store and heard from others, as in FAILBACK: a server that was
 * listed before the configuration was read got requests without a limit. The
 * same reads in a random order, some of them late, twice, missing (if a newer
 * one replaces them) or from a restored store, must end in the same decisions,
 * and in no wider ones before.
 */

#define SEEDS 200
#define SELF 0x100
#define PEERS 4
#define ZONE_HOME 1
#define ZONE_RETURNED 2
#define STEP (5 * WS_MS)
/* An instance that starts uses no share of a server's rate before. */
#define SHARES_FROM WS_ED_FULL_MESH_TIME
#define WARM_UP "30"
#define COLD_FOR (20 * WS_SECOND)
#define LIMIT 2.0F
#define EVENTS_MAX 64
#define PENDING_MAX 256

#define ROUTES                                                             \
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["              \
	"{\"name\":\"o\",\"path_prefix\":\"/o/\",\"kind\":\"idempotent\"," \
	"\"timeout_s\":1,\"target_latency_s\":0.3,\"service\":\"open\","   \
	"\"max_attempts\":2},"                                             \
	"{\"name\":\"a\",\"path_prefix\":\"/a/\",\"kind\":\"idempotent\"," \
	"\"timeout_s\":1,\"target_latency_s\":0.3,\"service\":\"added\","  \
	"\"max_attempts\":2}]}]}"
#define CUSTOMERS                                                         \
	"\"tenants\":[{\"name\":\"free\",\"api_keys\":[\"free\"]},"       \
	"{\"name\":\"small\",\"api_keys\":[\"small\"],\"rate_per_s\":10," \
	"\"burst\":10}],"
/* With one that only the newer configuration has */
#define MORE_CUSTOMERS                                                    \
	"\"tenants\":[{\"name\":\"free\",\"api_keys\":[\"free\"]},"       \
	"{\"name\":\"small\",\"api_keys\":[\"small\"],\"rate_per_s\":10," \
	"\"burst\":10},"                                                  \
	"{\"name\":\"late\",\"api_keys\":[\"late\"],\"rate_per_s\":50,"   \
	"\"burst\":50}],"

static const char older_config[] =
	"{\"version\":\"00000001\",\"services\":["
	"{\"name\":\"open\",\"max_connections\":100,\"warmup_s\":" WARM_UP
	",\"warmup_per_s\":40}]," CUSTOMERS ROUTES;

/* Adds a service and a customer, and lowers the rate of the other one's cold
 * servers. */
static const char newer_config[] =
	"{\"version\":\"00000007\",\"services\":["
	"{\"name\":\"open\",\"max_connections\":100,\"warmup_s\":" WARM_UP
	",\"warmup_per_s\":4},"
	"{\"name\":\"added\",\"max_connections\":50,\"warmup_s\":" WARM_UP
	",\"warmup_per_s\":6}]," MORE_CUSTOMERS ROUTES;

/* ===== What there is to read ===== */

enum read_kind {
	READ_CONFIG = 0,
	READ_ENTRY,
	READ_ZONE,
	READ_MEMBERS,
	READ_BEAT,
};

struct read {
	enum read_kind kind;
	const char *text; /* CONFIG */
	const char *server; /* ENTRY */
	const char *service;
	ws_id zone; /* ENTRY, ZONE */
	ws_us cold_for;
	int64_t sequence;
	bool out; /* ZONE */
	int peer; /* BEAT */
	bool partial; /* MEMBERS: before this instance had registered */
	bool replaced; /* a newer read says all that it says */
};

/* In the order in which they came about. */
static const struct read reads[] = {
	{ .kind = READ_CONFIG, .text = older_config, .replaced = true },
	{ .kind = READ_CONFIG, .text = newer_config },
	{ .kind = READ_MEMBERS, .partial = true, .replaced = true },
	{ .kind = READ_MEMBERS },
	{ .kind = READ_ZONE, .zone = ZONE_RETURNED, .out = true },
	{ .kind = READ_ZONE, .zone = ZONE_RETURNED, .out = false },
	{ .kind = READ_ENTRY,
	  .server = "warm",
	  .service = "open",
	  .zone = ZONE_HOME,
	  .sequence = 5 },
	{ .kind = READ_ENTRY,
	  .server = "cold",
	  .service = "open",
	  .zone = ZONE_HOME,
	  .sequence = 5,
	  .cold_for = COLD_FOR,
	  .replaced = true },
	{ .kind = READ_ENTRY,
	  .server = "cold",
	  .service = "open",
	  .zone = ZONE_HOME,
	  .sequence = 6,
	  .cold_for = COLD_FOR },
	{ .kind = READ_ENTRY,
	  .server = "returned",
	  .service = "open",
	  .zone = ZONE_RETURNED,
	  .sequence = 5 },
	{ .kind = READ_ENTRY,
	  .server = "added",
	  .service = "added",
	  .zone = ZONE_HOME,
	  .sequence = 5,
	  .cold_for = COLD_FOR },
	{ .kind = READ_BEAT, .peer = 0, .replaced = true },
	{ .kind = READ_BEAT, .peer = 0 },
	{ .kind = READ_BEAT, .peer = 1 },
	{ .kind = READ_BEAT, .peer = 2 },
	{ .kind = READ_BEAT, .peer = 3 },
};

#define READS (sizeof(reads) / sizeof(reads[0]))

static struct ws_edge *edge;
static struct ws_ed_fx fx;
static ws_us started;
static ws_us now;
static uint64_t next_id;
/* Since the start */
static int sent_to_cold;
/* When the newest entry of the server "cold" was first read; 0: not yet */
static ws_us cold_entry_at;
static bool any_member; /* the list or a heartbeat named one */
static bool members_read; /* the whole list */
static bool zone_is_back; /* as read so far */
static int admitted; /* requests of the customer with a small rate */

/* Sends whose answer is due */
static struct {
	uint64_t request;
	uint8_t lane;
} pending[PENDING_MAX];
static size_t n_pending;

/* Whether a server that this instance knows is cold, by what it has read. */
static bool is_cold_server(uint32_t handle)
{
	const char *name = ws_edge_pool(edge)->servers[handle].name;

	if (!strcmp(name, "returned"))
		return zone_is_back;
	return !strcmp(name, "cold") || !strcmp(name, "added");
}

static void step(struct ws_ed_event *ev)
{
	size_t i;

	ev->now = now;
	fx.n = 0;
	ws_edge_step(edge, ev, &fx);
	for (i = 0; i < fx.n; i++) {
		const struct ws_ed_effect *x = &fx.items[i];

		if (x->kind != WS_EDFX_SEND)
			continue;
		sent_to_cold += is_cold_server(x->u.send.server);
		ck_assert_uint_lt(n_pending, PENDING_MAX);
		pending[n_pending].request = x->u.send.request;
		pending[n_pending++].lane = x->u.send.lane;
	}
}

/* ===== Reads ===== */

static ws_id peer_id(int i)
{
	return 0x200 + (ws_id)i;
}

static void read_config(const char *text)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };

	ev.u.config = wp_decode_config(text, strlen(text), NULL);
	ck_assert_ptr_nonnull(ev.u.config);
	step(&ev);
}

static void read_entry(const struct read *r, bool from_snapshot)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id(r->service),
		.zone = r->zone,
		.slots = 100,
		.started_ms = 1,
		.sequence = r->sequence,
		.cold_for = r->cold_for,
		.from_snapshot = from_snapshot,
	};

	snprintf(l.name, sizeof(l.name), "%s", r->server);
	snprintf(l.address, sizeof(l.address), "10.0.0.1:80");
	ev.u.listing = &l;
	step(&ev);
	if (!cold_entry_at && !strcmp(r->server, "cold") && !r->replaced)
		cold_entry_at = now;
}

static void read_zone(const struct read *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ZONE };

	ev.u.zone.zone = r->zone;
	ev.u.zone.out = r->out;
	step(&ev);
	zone_is_back = !r->out;
}

static void read_member(ws_id id)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };

	ev.u.member = (struct ws_ed_member_entry){
		.id = id,
		.zone = ZONE_HOME,
		.address = "10.0.0.9:7",
	};
	step(&ev);
	any_member = true;
}

static void read_members(const struct read *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBERS_READ };
	int n = r->partial ? 1 : PEERS;
	int i;

	for (i = 0; i < n; i++)
		read_member(peer_id(i));
	if (!r->partial) {
		read_member(SELF);
		members_read = true;
	}
	step(&ev);
}

static void hear_beat(int peer, bool states_limit)
{
	static struct ws_ed_beat b;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT, .u.beat = &b };

	memset(&b, 0, sizeof(b));
	b.from = peer_id(peer);
	b.zone = ZONE_HOME;
	b.incarnation = 1;
	b.timestamp = now;
	b.scope = WS_ED_SCOPE_FULL;
	snprintf(b.address, sizeof(b.address), "10.0.0.9:7");
	b.n_statements = states_limit;
	b.statements[0] = (struct ws_ed_beat_statement){
		.server = ws_ed_short_id(ws_ed_id("warm")),
		.started = 1,
		.per_s = LIMIT,
		.age_ms = 10,
	};
	b.n_demands = 1;
	b.demands[0] = (struct ws_ed_beat_demand){
		.customer = ws_ed_id("small"),
		.per_s = 2.0F,
	};
	step(&ev);
	any_member = true;
}

static void deliver(const struct read *r, bool from_snapshot)
{
	switch (r->kind) {
	case READ_CONFIG:
		read_config(r->text);
		break;
	case READ_ENTRY:
		read_entry(r, from_snapshot);
		break;
	case READ_ZONE:
		read_zone(r);
		break;
	case READ_MEMBERS:
		read_members(r);
		break;
	default:
		hear_beat(r->peer, true);
		break;
	}
}

/* ===== Requests ===== */

static void end_sends(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_REQUEST_ENDED };

	while (n_pending) {
		n_pending--;
		ev.u.ending = (struct ws_ed_ending){
			.request = pending[n_pending].request,
			.lane = pending[n_pending].lane,
			.end = WS_ED_END_OK,
			.latency = STEP,
			/* Neither states nor lifts a limit */
			.report.limit.kind = WS_ED_LIMIT_UNKNOWN,
		};
		step(&ev);
	}
}

static bool submit(const char *path, const char *key)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };
	struct ws_ed_arrival a = {
		.id = ++next_id,
		.host = "h",
		.path = path,
		.caller_key = key,
		.fingerprint = next_id,
		.deadline = WS_SECOND,
		.key = -1,
		.started = now,
	};
	bool refused = false;
	size_t i;

	ev.u.arrival = &a;
	step(&ev);
	for (i = 0; i < fx.n; i++) {
		const struct ws_ed_effect *x = &fx.items[i];

		refused |= x->kind == WS_EDFX_REPLY &&
			   x->u.reply.request == a.id &&
			   (x->u.reply.status == 429 ||
			    x->u.reply.reason == WS_EDR_NO_CONFIG ||
			    x->u.reply.reason == WS_EDR_STORE_UNREACHABLE);
	}
	return !refused;
}

static void record_reads(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	ev.u.sync.started = now;
	ev.u.sync.topic = WS_EDT_CONFIG;
	step(&ev);
	ev.u.sync.topic = WS_EDT_SERVERS;
	step(&ev);
}

static void pass_time(ws_us time)
{
	ws_us until = now + time;

	while (now < until) {
		struct ws_ed_event tick = { .kind = WS_EDEV_TICK };

		now += STEP;
		step(&tick);
		end_sends();
		record_reads();
		submit("/o/1", "free");
		submit("/a/1", "free");
		admitted += submit("/o/1", "small");
	}
}

/* ===== A run ===== */

static void start(uint64_t seed)
{
	struct ws_ed_settings set = {
		.self = SELF,
		.incarnation = 1,
		.zone = ZONE_HOME,
		.seed = seed,
		.now = started,
		.max_calls = 100,
		.restarted = true,
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .retry_ratio = 0.2,
			    .retry_slack = 60.0,
			    .rate_slack = 20.0 },
	};

	ws_edge_free(edge);
	now = started;
	n_pending = 0;
	sent_to_cold = 0;
	zone_is_back = false;
	members_read = false;
	any_member = false;
	cold_entry_at = 0;
	admitted = 0;
	edge = ws_edge_new(&set);
}

/* Other instances divide the rates as well, so this one gets a part. */
static void expect_narrow(uint64_t seed)
{
	if (now < started + SHARES_FROM || !members_read)
		ck_assert_msg(!sent_to_cold,
			      "seed %d: %d requests to cold servers before the "
			      "others were known",
			      (int)seed, sent_to_cold);
}

static void expect_no_tokens(uint64_t seed)
{
	if (!any_member)
		ck_assert_msg(!admitted,
			      "seed %d: %d requests of a customer with a rate "
			      "before any instance was known",
			      (int)seed, admitted);
}

static void shuffle(size_t *order, size_t n, struct ws_rand *rand)
{
	size_t i;

	for (i = n; i > 1; i--) {
		size_t j = (size_t)ws_rand_below(rand, i);
		size_t other = order[i - 1];

		order[i - 1] = order[j];
		order[j] = other;
	}
}

/* Records of one topic about one zone are read in their order. */
static void sort_zones(size_t *order, size_t n)
{
	size_t *first = NULL;
	size_t i;

	for (i = 0; i < n; i++) {
		size_t index = order[i];

		if (reads[index].kind != READ_ZONE)
			continue;
		if (!first) {
			first = &order[i];
		} else if (*first > index) {
			order[i] = *first;
			*first = index;
		}
	}
}

/* A random order of the reads, some missing and some twice. */
static size_t choose_order(size_t *order, struct ws_rand *rand)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < READS; i++) {
		if (reads[i].replaced && rand_percent(rand, 40))
			continue;
		order[n++] = i;
		if (reads[i].kind != READ_ZONE && rand_percent(rand, 20))
			order[n++] = i;
	}
	shuffle(order, n, rand);
	sort_zones(order, n);
	return n;
}

static void settle(void)
{
	int i;

	for (i = 0; i < 40; i++) {
		pass_time(100 * WS_MS);
		hear_beat(i % PEERS, false);
	}
}

static void run_in_order(void)
{
	size_t i;

	start(1);
	for (i = 0; i < READS; i++)
		deliver(&reads[i], false);
	settle();
}

static void run_shuffled(uint64_t seed)
{
	size_t order[EVENTS_MAX];
	struct ws_rand rand;
	size_t n;
	size_t i;

	ws_rand_seed(&rand, seed);
	start(seed);
	n = choose_order(order, &rand);
	for (i = 0; i < n; i++) {
		expect_narrow(seed);
		expect_no_tokens(seed);
		deliver(&reads[order[i]], rand_percent(&rand, 30));
		/* One read in a few is late, some by more than the start. */
		if (rand_percent(&rand, 30))
			pass_time((ws_us)ws_rand_below(&rand, 150) * WS_MS);
		if (rand_percent(&rand, 5))
			pass_time(SHARES_FROM + WS_SECOND);
	}
	settle();
}

/* ===== Decisions ===== */

static const struct ws_ed_server *server(const char *name)
{
	int32_t h = ws_ed_pool_find(ws_edge_pool(edge), ws_ed_id(name));

	ck_assert_int_ge(h, 0);
	return &ws_edge_pool(edge)->servers[h];
}

struct decision {
	bool usable;
	bool cold;
	enum ws_ed_cold_rate cold_rate;
	double cold_per_s;
	size_t cold_holders;
	bool holds_cold;
	uint32_t connections;
	bool limited;
	bool holds_limit;
};

static struct decision decide(const char *name)
{
	const struct ws_ed_server *s = server(name);
	struct decision d = {
		.usable = ws_ed_pool_usable(
			ws_edge_pool(edge), now,
			(uint32_t)(s - ws_edge_pool(edge)->servers)),
		.cold = now < s->cold_until,
		.connections =
			ws_ed_pool_connection_share(ws_edge_pool(edge), s),
	};

	d.limited = s->stated.limit.named &&
		    s->stated.limit.per_s == (double)LIMIT;
	d.holds_limit = d.limited && s->limit_share.is_holder;
	if (d.cold) {
		d.cold_rate = s->cold_rate;
		d.cold_per_s = s->cold_share.per_s;
		d.cold_holders = s->cold_share.holders;
		d.holds_cold = s->cold_share.is_holder;
	}
	return d;
}

static void expect_same(const char *name, const struct decision *want,
			uint64_t seed)
{
	struct decision got = decide(name);

	ck_assert_msg(
		got.usable == want->usable && got.cold == want->cold &&
			got.cold_rate == want->cold_rate &&
			got.cold_per_s == want->cold_per_s &&
			got.cold_holders == want->cold_holders &&
			got.holds_cold == want->holds_cold &&
			got.connections == want->connections &&
			got.limited == want->limited &&
			got.holds_limit == want->holds_limit,
		"seed %d, server %s: usable %d cold %d rate %d %.1f/s "
		"among %zu, %u connections, limited %d; in order: %d %d %d "
		"%.1f/s among %zu, %u, %d",
		(int)seed, name, got.usable, got.cold, got.cold_rate,
		got.cold_per_s, got.cold_holders, got.connections, got.limited,
		want->usable, want->cold, want->cold_rate, want->cold_per_s,
		want->cold_holders, want->connections, want->limited);
}

static const struct ws_ed_bucket *bucket(const char *name)
{
	const struct ws_ed_quota *q = ws_edge_quota(edge);
	size_t i;

	for (i = 0; i < q->n; i++)
		if (q->buckets[i].customer == ws_ed_id(name))
			return &q->buckets[i];
	ck_abort_msg("no such customer");
	return NULL;
}

/*
 * An instance that starts again does not know what was spent before, whichever
 * configuration named the customer first.
 */
static void expect_spent_bursts(uint64_t seed)
{
	ck_assert_msg(bucket("small")->restarted && bucket("late")->restarted,
		      "seed %d: a whole burst after a restart", (int)seed);
}

/* Reading an entry once more does not extend the warm-up that it states. */
static void expect_warm_up_of_first_read(uint64_t seed)
{
	ws_us extra = server("cold")->warm_at - cold_entry_at - COLD_FOR;

	ck_assert_msg(extra >= 0 && extra < 250 * WS_MS,
		      "seed %d: the warm-up ends %d ms late", (int)seed,
		      (int)(extra / WS_MS));
}

static const char *const names[] = { "warm", "cold", "returned", "added" };

#define NAMES (sizeof(names) / sizeof(names[0]))

START_TEST(order_of_reads_does_not_change_decisions)
{
	struct seed_range seeds = seed_range_get(SEEDS);
	struct decision want[NAMES];
	uint64_t seed;
	size_t i;

	started = 1000 * WS_SECOND;
	run_in_order();
	for (i = 0; i < NAMES; i++)
		want[i] = decide(names[i]);
	ck_assert(want[0].limited);
	ck_assert_uint_eq(want[0].connections, 100 / (PEERS + 1));
	ck_assert(!want[0].cold && want[1].cold && want[2].cold &&
		  want[3].cold);
	for (seed = seeds.first; seed <= seeds.last; seed++) {
		run_shuffled(seed);
		for (i = 0; i < NAMES; i++)
			expect_same(names[i], &want[i], seed);
		expect_warm_up_of_first_read(seed);
		expect_spent_bursts(seed);
	}
	ws_edge_free(edge);
	edge = NULL;
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		order_of_reads_does_not_change_decisions,
	};

	return ed_suite_run("order of reads", tests, 1);
}
