#include <arpa/inet.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "copying_server.h"
#include "ed_suite.h"
#include "edgeio/ws_eio.h"
#include "platform/wp_decode.h"
#include "seed_range.h"

/*
 * Servers that send copies of their answers, rejections among them, at random
 * moments: no request that is answered with a status that promises that it has
 * not run may have run, or run later. Instances, servers and callers are in
 * this process; the instances' store is down.
 */

#define IP "127.19.26.3"
#define INSTANCES 2
#define OPEN_SERVERS 3
#define KEYED_SERVERS 2
#define SERVERS (OPEN_SERVERS + KEYED_SERVERS)
#define CALLERS 24
#define REQUESTS_MAX 20000
#define LOAD_TIME (2500 * WS_MS)
/* When one of the instances begins to end. */
#define DRAIN_AFTER (1500 * WS_MS)
#define RELIST_PERIOD_S 0.06
#define PAUSE_MAX_MS 6
#define BODY_MAX 30000
#define SEEDS 4

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"open\"},"
	"{\"name\":\"keyed\",\"sharded\":true}],"
	"\"tenants\":[],\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":0.5,\"service\":\"open\",\"max_attempts\":3},"
	"{\"name\":\"order\",\"path_prefix\":\"/o/\","
	"\"kind\":\"non_idempotent\",\"target_latency_s\":0.5,"
	"\"service\":\"open\",\"max_attempts\":3},"
	"{\"name\":\"change\",\"path_prefix\":\"/k/\","
	"\"kind\":\"non_idempotent\",\"target_latency_s\":0.5,"
	"\"service\":\"keyed\",\"max_attempts\":3}]}]}";

enum request_kind {
	REQUEST_READ = 0,
	REQUEST_ORDER,
	REQUEST_CHANGE,
};

/* A request of a caller. */
struct request {
	enum request_kind kind;
	unsigned status; /* 0: no answer */
};

struct caller {
	ev_io io;
	ev_timer pause;
	int instance;
	int fd; /* -1: not connected */
	size_t request; /* that is open */
	char received[8192];
	size_t len;
};

static struct ev_loop *loop;
static struct ws_rand rng;
static struct copying_server *servers[SERVERS];
static unsigned n_listed; /* entries of the list so far */
static char names[SERVERS][32]; /* newest name of each server */
static struct ws_eio *instances[INSTANCES];
static struct caller callers[CALLERS];
static struct request requests[REQUESTS_MAX];
static struct copying_request seen[REQUESTS_MAX]; /* at the servers */
static size_t n_requests;
static unsigned n_copies;
static bool stopping;

/* ===== List and map ===== */

static bool is_keyed(int server)
{
	return server >= OPEN_SERVERS;
}

static void tell_all(struct ws_ed_event *ev)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		ws_eio_handle_event(instances[i], ev);
}

static void list_server(int server, const char *name)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id(is_keyed(server) ? "keyed" : "open"),
		.zone = ws_ed_id("z"),
		.slots = 100,
		.started_ms = 1,
	};

	snprintf(l.name, sizeof(l.name), "%s", name);
	snprintf(l.address, sizeof(l.address), IP ":%d", 7200 + server);
	ev.u.listing = &l;
	tell_all(&ev);
}

static void give_keys(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };
	struct ws_ed_map map = { .epoch = n_listed + 1, .leader = 2 };
	uint32_t part = WS_ED_KEYS / KEYED_SERVERS;
	int i;

	for (i = 0; i < KEYED_SERVERS; i++) {
		const struct ws_ed_map_entry e = {
			.service = ws_ed_id("keyed"),
			.from = (uint32_t)i * part,
			.to = (uint32_t)(i + 1) * part - 1,
			.server = ws_ed_id(names[OPEN_SERVERS + i]),
		};

		ws_ed_map_add(&map, &e);
	}
	ev.u.map.map = &map;
	ev.u.map.started = ws_eio_now();
	ev.u.map.end = n_listed + 1;
	tell_all(&ev);
	ws_ed_map_free(&map);
}

/* Lists a server anew, under another id at the same address. */
static void relist(int server)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };

	if (names[server][0]) {
		ev.u.unlisted = ws_ed_id(names[server]);
		tell_all(&ev);
	}
	snprintf(names[server], sizeof(names[server]), "s%u", ++n_listed);
	list_server(server, names[server]);
	if (is_keyed(server) && names[SERVERS - 1][0])
		give_keys();
}

static void on_relist(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	relist((int)ws_rand_below(&rng, SERVERS));
}

/* ===== Callers ===== */

static void disconnect(struct caller *c)
{
	if (c->fd < 0)
		return;
	ev_io_stop(loop, &c->io);
	close(c->fd);
	c->fd = -1;
}

static void pause_caller(struct caller *c)
{
	uint64_t ms = ws_rand_below(&rng, PAUSE_MAX_MS + 1);

	ev_timer_stop(loop, &c->pause);
	ev_timer_set(&c->pause, (double)ms / 1e3, 0.);
	if (!stopping)
		ev_timer_start(loop, &c->pause);
}

static void on_answer(EV_P_ ev_io *w, int revents)
{
	struct caller *c = w->data;
	const char *end;
	const char *length;
	size_t body;
	ssize_t n = recv(c->fd, c->received + c->len,
			 sizeof(c->received) - 1 - c->len, 0);

	(void)loop;
	(void)revents;
	if (n <= 0) {
		disconnect(c);
		pause_caller(c);
		return;
	}
	c->len += (size_t)n;
	c->received[c->len] = '\0';
	end = strstr(c->received, "\r\n\r\n");
	length = strstr(c->received, "Content-Length: ");
	if (!end)
		return;
	body = length ? (size_t)strtoull(length + 16, NULL, 10) : 0;
	if (c->len < (size_t)(end + 4 - c->received) + body)
		return;
	requests[c->request].status =
		(unsigned)strtoul(c->received + 9, NULL, 10);
	c->len = 0;
	if (strstr(c->received, "Connection: close"))
		disconnect(c);
	pause_caller(c);
}

static void connect_caller(struct caller *c)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(7100 + 20 * c->instance)),
		.sin_addr.s_addr = inet_addr(IP),
	};

	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(connect(c->fd, (struct sockaddr *)&to, sizeof(to)), 0);
	c->len = 0;
	ev_io_init(&c->io, on_answer, c->fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

static void send_request(EV_P_ ev_timer *w, int revents)
{
	static const char *const paths[] = { "GET /r", "POST /o", "POST /k" };
	static char text[BODY_MAX + 1024];
	struct caller *c = w->data;
	struct request *r = &requests[n_requests + 1];
	size_t body = 0;
	int n;

	(void)loop;
	(void)revents;
	if (n_requests + 1 == REQUESTS_MAX)
		return;
	if (c->fd < 0)
		connect_caller(c);
	r->kind = (enum request_kind)ws_rand_below(&rng, 3);
	if (r->kind != REQUEST_READ)
		body = ws_rand_below(&rng,
				     rand_percent(&rng, 10) ? BODY_MAX : 100);
	c->request = ++n_requests;
	n = snprintf(text, 1024,
		     "%s/%zu HTTP/1.1\r\nHost: h\r\n"
		     "Wagtailshift-Request-Id: r%zu\r\n"
		     "Wagtailshift-Deadline-Ms: %" PRIu64 "\r\n"
		     "Wagtailshift-Shard-Key: %" PRIu64 "\r\n"
		     "Content-Length: %zu\r\n\r\n",
		     paths[r->kind], c->request, c->request,
		     100 + ws_rand_below(&rng, 600),
		     ws_rand_below(&rng, WS_ED_KEYS), body);
	memset(text + n, 'x', body);
	if (send(c->fd, text, (size_t)n + body, MSG_NOSIGNAL) < 0) {
		disconnect(c);
		pause_caller(c);
	}
}

/* ===== Instances ===== */

static void start_instance(int i)
{
	struct wp_settings set = {
		.zone = "z",
		.ip = IP,
		.store_address = IP ":7000",
		.memory_max = (size_t)260 * 1024 * 1024,
		.max_fds = 1000,
		.cores = 0.2,
		.grace_period = 2 * WS_SECOND,
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .retry_ratio = 2.0,
			    .retry_slack = 1000.0,
			    .rate_slack = 20.0 },
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct wp_error err = { "" };
	int port = 7100 + 20 * i;

	snprintf(set.name, sizeof(set.name), "n%d", i);
	snprintf(set.callers_address, sizeof(set.callers_address), IP ":%d",
		 port);
	snprintf(set.readiness_address, sizeof(set.readiness_address), IP ":%d",
		 port + 1);
	snprintf(set.heartbeat_address, sizeof(set.heartbeat_address), IP ":%d",
		 port + 2);
	snprintf(set.records_address, sizeof(set.records_address), IP ":%d",
		 port + 3);
	instances[i] = ws_eio_new(loop, &set, &err);
	ck_assert_msg(instances[i] != NULL, "%s", err.text);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	ws_eio_handle_event(instances[i], &ev);
}

static void start(uint64_t seed)
{
	struct copying_server_conf conf = {
		.ip = IP,
		.rand = &rng,
		.requests = seen,
		.n_requests = REQUESTS_MAX,
		.n_copies = &n_copies,
	};
	int i;

	curl_global_init(CURL_GLOBAL_NOTHING);
	ws_rand_seed(&rng, seed);
	loop = ev_loop_new(0);
	conf.loop = loop;
	for (i = 0; i < SERVERS; i++) {
		conf.port = 7200 + i;
		servers[i] = copying_server_new(&conf);
	}
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	for (i = 0; i < SERVERS; i++)
		relist(i);
	/* A second id at the same address. */
	for (i = 0; i < OPEN_SERVERS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "t%d", i);
		list_server(i, name);
	}
	for (i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		*c = (struct caller){ .instance = i % INSTANCES, .fd = -1 };
		ev_timer_init(&c->pause, send_request, 0., 0.);
		c->pause.data = c;
		pause_caller(c);
	}
}

static void on_wake(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
}

static void run_for(ws_us time)
{
	ws_us end = ws_eio_now() + time;
	ev_timer wake;

	ev_timer_init(&wake, on_wake, 0., 0.01);
	ev_timer_start(loop, &wake);
	while (ws_eio_now() < end)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
}

/* Ends the load, and waits until nothing can run any more. */
static void finish(void)
{
	bool pending = true;
	int i;

	stopping = true;
	for (i = 0; i < CALLERS; i++)
		ev_timer_stop(loop, &callers[i].pause);
	run_for(800 * WS_MS);
	for (i = 0; i < CALLERS; i++)
		disconnect(&callers[i]);
	for (i = 0; i < INSTANCES; i++)
		ws_eio_free(instances[i]);
	while (pending) {
		run_for(50 * WS_MS);
		pending = false;
		for (i = 0; i < SERVERS; i++)
			pending |= copying_server_pending(servers[i]) > 0;
	}
	for (i = 0; i < SERVERS; i++)
		copying_server_free(servers[i]);
	ev_loop_destroy(loop);
}

static bool is_promise(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Guards against REFUSED and TWICE. */
START_TEST(request_answered_with_a_promise_does_not_run)
{
	struct seed_range range = seed_range_get(SEEDS);
	uint64_t seed = range.first + (uint64_t)_i;
	unsigned n_promised = 0;
	unsigned n_repeated = 0;
	unsigned n_broken = 0;
	unsigned n_twice = 0;
	unsigned n_ok = 0;
	unsigned n_lost = 0;
	ev_timer relisting;
	size_t i;

	start(seed);
	ev_timer_init(&relisting, on_relist, RELIST_PERIOD_S, RELIST_PERIOD_S);
	ev_timer_start(loop, &relisting);
	run_for(DRAIN_AFTER);
	ws_eio_drain(instances[0]);
	run_for(LOAD_TIME - DRAIN_AFTER);
	ev_timer_stop(loop, &relisting);
	finish();
	for (i = 1; i <= n_requests; i++) {
		const struct request *r = &requests[i];
		const struct copying_request *at = &seen[i];

		n_ok += r->status == 200;
		n_lost += r->status == 502;
		n_repeated += at->n_rejected && at->n_received > 1;
		n_promised += is_promise(r->status) && at->n_received;
		n_broken += is_promise(r->status) && at->n_runs;
		n_twice += r->kind != REQUEST_READ && at->n_runs > 1;
		if ((is_promise(r->status) && at->n_runs) ||
		    (r->kind != REQUEST_READ && at->n_runs > 1))
			fprintf(stderr, "r%zu, kind %d, answered %u:%s\n", i,
				(int)r->kind, r->status, at->trace);
	}
	fprintf(stderr,
		"seed %" PRIu64 ": %zu requests, %u answered 200, %u lost, "
		"%u copies, %u sent again after a rejection, %u promised after "
		"a send, %u of them run, %u run twice\n",
		seed, n_requests, n_ok, n_lost, n_copies, n_repeated,
		n_promised, n_broken, n_twice);
	ck_assert_uint_eq(n_broken, 0);
	ck_assert_uint_eq(n_twice, 0);
	/* The faults that the test is about have happened. */
	ck_assert_uint_gt(n_promised, 10);
	ck_assert_uint_gt(n_repeated, 100);
	ck_assert_uint_gt(n_copies, 50);
	ck_assert_uint_gt(n_ok, 100);
}
END_TEST

/* Waits for other runs of this program, which use the same addresses. */
static void wait_for_addresses(void)
{
	const struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(7099),
		.sin_addr.s_addr = inet_addr(IP),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	while (bind(fd, (const struct sockaddr *)&at, sizeof(at)) < 0)
		usleep(100000);
}

int main(void)
{
	const TTest *const tests[] = {
		request_answered_with_a_promise_does_not_run,
	};
	struct seed_range range = seed_range_get(SEEDS);

	wait_for_addresses();
	return ed_suite_run_each("eio_copies", tests,
				 (int)(sizeof(tests) / sizeof(tests[0])),
				 (int)(range.last - range.first + 1));
}
