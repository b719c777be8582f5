#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ed_suite.h"
#include "edge/ws_ed_lead.h"
#include "edge/ws_ed_position.h"
#include "edge/ws_edge.h"
#include "platform/wp_decode.h"

/*
 * Processor time of the leader of the key map, which also serves callers: with
 * many ranges it renews hundreds of leases a second.
 */

#define SELF 0x100
#define N_SERVERS 200
#define N_RANGES ((size_t)800)
#define TICK (20 * WS_MS)
#define READ_PERIOD (200 * WS_MS)
/* Share of a core that control may take on each node (docs/CAPACITY.md). */
#define CONTROL_SHARE 0.014
/* Keys are served again within 3 s of a loss, half of it to find a leader. */
#define GRANTED_WITHIN (1500 * WS_MS)
/* Part (1/N) of the ranges that may be granted in one turn of the loop. */
#define TURN_DIVISOR 16

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"keyed\","
	"\"sharded\":true}],\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":"
	"[{\"name\":\"k\",\"path_prefix\":\"/\",\"kind\":\"idempotent\","
	"\"auth_exempt\":true,\"service\":\"keyed\"}]}]}";

static struct ws_edge *edge;
static struct ws_ed_fx fx;
static ws_us now;
static uint64_t grants[N_RANGES];
static size_t n_grants; /* not answered yet */
static size_t n_granted;
static size_t most_granted; /* by one event */

/* Keeps the grants that an event has caused. */
static void step(struct ws_ed_event *ev)
{
	size_t before = n_granted;
	size_t i;

	ev->now = now;
	fx.n = 0;
	ws_edge_step(edge, ev, &fx);
	for (i = 0; i < fx.n; i++) {
		if (fx.items[i].kind != WS_EDFX_GRANT)
			continue;
		ck_assert_uint_lt(n_grants, N_RANGES);
		grants[n_grants++] = fx.items[i].u.call.ref;
		n_granted++;
	}
	if (n_granted - before > most_granted)
		most_granted = n_granted - before;
}

static void name_server(char *buf, size_t size, size_t i)
{
	snprintf(buf, size, "s%zu", i % N_SERVERS);
}

static void list_servers(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id("keyed"),
		.slots = 4,
		.started_ms = 1,
	};
	size_t i;

	ev.u.listing = &l;
	for (i = 0; i < N_SERVERS; i++) {
		name_server(l.name, sizeof(l.name), i);
		name_server(l.address, sizeof(l.address), i);
		step(&ev);
	}
}

static void read_map(const struct ws_ed_map *map)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };

	ev.u.map.map = map;
	ev.u.map.started = now;
	ev.u.map.end = ws_ed_position(0, 5);
	step(&ev);
}

/* The map names this instance as the last leader, so it claims first. */
static void read_first_map(void)
{
	struct ws_ed_map m = {
		.epoch = 1,
		.leader = SELF,
		.voters = { .n = 1, .ids = { SELF } },
	};
	const uint32_t width = WS_ED_KEYS / N_RANGES;
	char name[16];
	size_t i;

	for (i = 0; i < N_RANGES; i++) {
		struct ws_ed_map_entry e = {
			.service = ws_ed_id("keyed"),
			.from = (uint32_t)i * width,
			.to = i + 1 < N_RANGES ? (uint32_t)(i + 1) * width - 1 :
						 WS_ED_KEYS - 1,
		};

		name_server(name, sizeof(name), i);
		e.server = ws_ed_id(name);
		ws_ed_map_add(&m, &e);
	}
	read_map(&m);
	ws_ed_map_free(&m);
}

/* The store accepts the claim. */
static void become_leader(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_TICK };
	size_t i;

	for (;;) {
		now += TICK;
		ck_assert_int_lt(now, 200 * WS_SECOND);
		step(&ev);
		for (i = 0; i < fx.n; i++)
			if (fx.items[i].kind == WS_EDFX_APPEND)
				break;
		if (i < fx.n)
			break;
	}
	ev.kind = WS_EDEV_APPENDED;
	ev.u.appended.at = fx.items[i].u.append.at;
	ev.u.appended.started = now;
	ev.u.appended.end = WS_EDA_DONE;
	step(&ev);
	ck_assert(ws_ed_lead_valid(ws_edge_lead(edge), now));
}

static void start(void)
{
	const struct ws_ed_settings set = {
		.self = SELF,
		.incarnation = 1,
		.zone = 1,
		.capacity = 1,
		.seed = 1,
		.now = 100 * WS_SECOND,
		.max_calls = 100,
		.bounds = { .drain_time = 2 * WS_SECOND, .unmetered = true },
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };

	now = set.now;
	n_grants = 0;
	n_granted = 0;
	most_granted = 0;
	edge = ws_edge_new(&set);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	step(&ev);
	list_servers();
	read_first_map();
	become_leader();
}

static void stop(void)
{
	ws_edge_free(edge);
	ws_ed_fx_free(&fx);
}

/* All servers take the grants that were sent to them. */
static void answer_grants(void)
{
	size_t n = n_grants;
	size_t i;

	for (i = 0; i < n; i++) {
		struct ws_ed_event ev = { .kind = WS_EDEV_KEY_CALLED };

		ev.u.key_called.ref = grants[i];
		ev.u.key_called.end = WS_EDC_DONE;
		ev.u.key_called.handover = "";
		step(&ev);
	}
	memmove(grants, grants + n, (n_grants - n) * sizeof(*grants));
	n_grants -= n;
}

static void run(ws_us time)
{
	ws_us end = now + time;
	ws_us next_read = now;

	while (now < end) {
		struct ws_ed_event ev = { .kind = WS_EDEV_TICK };

		now += TICK;
		if (now >= next_read) {
			read_map(NULL);
			next_read = now + READ_PERIOD;
		}
		answer_grants();
		step(&ev);
	}
}

static double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/*
 * Guards against GONE and late renewals: a leader that examines all ranges for
 * each answer of a server was behind its input by half a second and more.
 */
START_TEST(renewals_take_a_small_part_of_a_core)
{
	const int seconds = 4;
	double spent;

	start();
	run(3 * WS_SECOND);
	n_granted = 0;
	spent = cpu_seconds();
	run(seconds * WS_SECOND);
	spent = (cpu_seconds() - spent) / seconds;
	ck_assert_uint_ge(n_granted, 2 * N_RANGES);
	ck_assert_msg(spent < CONTROL_SHARE, "%.4f of a core for %zu grants",
		      spent, n_granted);
	stop();
}
END_TEST

/*
 * Guards against GONE: a new leader sent hundreds of grants in one turn of its
 * loop, again with each renewal, and looked for no input for up to a second.
 */
START_TEST(grants_of_a_new_leader_are_spread)
{
	start();
	run(GRANTED_WITHIN);
	ck_assert_uint_ge(n_granted, N_RANGES);
	run(4 * WS_SECOND);
	ck_assert_uint_le(most_granted, N_RANGES / TURN_DIVISOR);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		renewals_take_a_small_part_of_a_core,
		grants_of_a_new_leader_are_spread,
	};

	return ed_suite_run("ed_lead_cost", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
