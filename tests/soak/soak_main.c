#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "soak.h"

/* Schedule of a run: a series of overlapping faults, then time without any. */

#define WARM_UP (4 * WS_SECOND)
/*
 * Callers must be served again: RECOVER of the platform's rules, with a higher
 * share of requests. A shorter time holds for requests that need no owner, and
 * for all if neither a majority of the processes nor records were lost.
 */
#define RECOVER_TIME (15 * WS_SECOND)
#define SERVED_MIN_PERCENT 95
#define ACTIVE_FAULTS_MAX 3
/* A pause of this process that may hold up requests and answers. */
#define HELD_UP_MIN (200 * WS_MS)
/* One that is a fault of the run, such as a rename that waits for the disk. */
#define HELD_UP_FAULT (1 * WS_SECOND)

struct soak soak;

struct fault {
	const char *name;
	void (*begin)(struct fault *f);
	void (*end)(struct fault *f);
	int instance;
	int server;
	ws_us until; /* 0: not active */
	ws_us scheduled; /* soak_schedule_fault(); 0: not */
};

ws_us soak_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (ws_us)ts.tv_sec * WS_SECOND + ts.tv_nsec / 1000;
}

ws_us soak_elapsed(void)
{
	return soak_now() - soak.started;
}

ws_us soak_random_between(ws_us low, ws_us high)
{
	return low +
	       (ws_us)ws_rand_below(&soak.rand, (uint64_t)(high - low + 1));
}

bool soak_chance(unsigned percent)
{
	return ws_rand_below(&soak.rand, 100) < percent;
}

bool soak_is_quiet(ws_us time)
{
	return !soak.active_faults &&
	       soak_now() - soak.last_fault > SOAK_QUIET_TIME + time;
}

static void print_line(const char *format, va_list args)
{
	printf("%8.3f ", (double)soak_elapsed() / 1e6);
	vprintf(format, args);
	putchar('\n');
	fflush(stdout);
}

void soak_log(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	print_line(format, args);
	va_end(args);
}

void soak_violation(const char *guarantee, const char *format, ...)
{
	va_list args;

	soak.failed = true;
	printf("VIOLATION %s ", guarantee);
	va_start(args, format);
	print_line(format, args);
	va_end(args);
}

/* ===== Configuration ===== */

static int version = 1;
static bool key_revoked[4];

static void write_config(void)
{
	GString *s = g_string_new(NULL);
	int i;

	g_string_printf(
		s,
		"{\"version\":\"%08x\",\"services\":[{\"name\":\"stock\","
		"\"max_connections\":200},{\"name\":\"cal\","
		"\"max_connections\":200,\"sharded\":true}],\"limits\":{"
		"\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
		"\"header_timeout_s\":3,\"idle_timeout_s\":15},\"tenants\":[",
		version);
	version += 1 + (int)ws_rand_below(&soak.rand, 5);
	for (i = 0; i < 4; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"c%d\",\"rate_per_s\":2000,"
			"\"burst\":2000,\"api_keys\":[%s%d%s]}",
			i ? "," : "", i,
			key_revoked[i] ? "\"other-" : "\"key-c", i, "\"");
	g_string_append(s, "],\"virtual_hosts\":[");
	/* Callers send the instance's address as the host. */
	for (i = 0; i < soak.opt.instances; i++)
		g_string_append_printf(
			s,
			"%s{\"host\":\"%s.%d\",\"path_rules\":["
			"{\"name\":\"stock\",\"path_prefix\":\"/stock/\","
			"\"kind\":\"idempotent\",\"timeout_s\":2,"
			"\"target_latency_s\":0.5,\"service\":\"stock\","
			"\"max_attempts\":2},{\"name\":\"order\","
			"\"path_prefix\":\"/order/\",\"kind\":"
			"\"non_idempotent\",\"timeout_s\":2,"
			"\"target_latency_s\":0.5,\"service\":\"stock\","
			"\"max_attempts\":2},{\"name\":\"cal\","
			"\"path_prefix\":\"/cal/\",\"kind\":\"idempotent\","
			"\"timeout_s\":2,\"target_latency_s\":0.5,"
			"\"service\":\"cal\",\"max_attempts\":2},{"
			"\"name\":\"long\",\"path_prefix\":\"" SOAK_LONG_PATH
			"\",\"kind\":\"idempotent\",\"timeout_s\":9,"
			"\"target_latency_s\":9,\"service\":\"stock\","
			"\"max_attempts\":2}]}",
			i ? "," : "", soak.net, 10 + i);
	g_string_append(s, "]}");
	soak_store_write("keyed.op", "config", s->str);
	g_string_free(s, TRUE);
}

/* ===== Faults ===== */

static void begin_kill(struct fault *f)
{
	soak_process_kill(f->instance, f->until - soak_now());
}

static void begin_kill_most(struct fault *f)
{
	int i;

	soak.keys_stopped = true;
	for (i = 0; i < soak.opt.instances; i++)
		if (soak_chance(70))
			soak_process_kill(i, f->until - soak_now());
}

static void begin_terminate(struct fault *f)
{
	soak_process_terminate(f->instance);
}

static void begin_pause(struct fault *f)
{
	soak_process_pause(f->instance, f->until - soak_now());
}

static void begin_reload(struct fault *f)
{
	soak_process_reload(f->instance);
}

static void begin_store_fault(struct fault *f)
{
	(void)f;
	soak_store_fault((enum soak_store_fault)soak_random_between(
		SOAK_STORE_DOWN, SOAK_STORE_DROPS_REPLIES));
}

static void end_store_fault(struct fault *f)
{
	(void)f;
	soak_store_fault(SOAK_STORE_HEALTHY);
}

static void begin_restore(struct fault *f)
{
	(void)f;
	soak_store_fault(SOAK_STORE_DOWN);
}

static void end_restore(struct fault *f)
{
	(void)f;
	soak.keys_stopped = true;
	soak_store_restore(soak_random_between(500 * WS_MS, 12 * WS_SECOND));
	soak_store_fault(SOAK_STORE_HEALTHY);
}

static void begin_limit(struct fault *f)
{
	soak_server_limit(f->server, (double)soak_random_between(1, 12));
}

static void end_limit(struct fault *f)
{
	soak_server_limit(f->server, -1.0);
}

static void begin_truncate(struct fault *f)
{
	(void)f;
	soak_store_truncate();
}

static enum soak_proxy_mode random_proxy_mode(void)
{
	return (enum soak_proxy_mode)soak_random_between(SOAK_PROXY_DELAY,
							 SOAK_PROXY_RESET);
}

static void begin_store_proxy(struct fault *f)
{
	soak_proxy_set(soak_process_store_proxy(f->instance),
		       random_proxy_mode(),
		       soak_random_between(10 * WS_MS, 300 * WS_MS));
}

static void end_store_proxy(struct fault *f)
{
	soak_proxy_set(soak_process_store_proxy(f->instance), SOAK_PROXY_PASS,
		       0);
}

static void begin_server_proxy(struct fault *f)
{
	soak_proxy_set(soak_server_proxy(f->server), random_proxy_mode(),
		       soak_random_between(10 * WS_MS, 300 * WS_MS));
	soak_stated_way_disturbed(f->server, true);
}

static void end_server_proxy(struct fault *f)
{
	soak_stated_way_disturbed(f->server, false);
	soak_proxy_set(soak_server_proxy(f->server), SOAK_PROXY_PASS, 0);
}

static void begin_stall(struct fault *f)
{
	soak_proxy_stall_open(soak_process_store_proxy(f->instance));
	soak_proxy_stall_open(soak_server_proxy(f->server));
	soak_stated_way_disturbed(f->server, false);
}

static void begin_crash(struct fault *f)
{
	soak_server_crash(f->server, f->until - soak_now());
}

static void begin_drain(struct fault *f)
{
	soak_server_drain(f->server, f->until - soak_now());
}

static void begin_shed(struct fault *f)
{
	soak_server_shed(f->server, true);
}

static void end_shed(struct fault *f)
{
	soak_server_shed(f->server, false);
}

static void begin_slow(struct fault *f)
{
	soak_server_slow(f->server, 8);
}

static void end_slow(struct fault *f)
{
	soak_server_slow(f->server, 0);
}

static void begin_zone_out(struct fault *f)
{
	char zone[8];
	char key[24];

	snprintf(zone, sizeof(zone), "z%d", f->instance % 3);
	snprintf(key, sizeof(key), "evacuate/%s", zone);
	soak_store_write("keyed.op", key, "{}");
	soak_check_zone_out(zone);
}

static void end_zone_out(struct fault *f)
{
	char key[24];

	snprintf(key, sizeof(key), "evacuate/z%d", f->instance % 3);
	soak_check_zone_out("");
	soak_store_write("keyed.op", key, "");
}

static void begin_revoke(struct fault *f)
{
	char customer[8];

	snprintf(customer, sizeof(customer), "c%d", f->server % 3);
	key_revoked[f->server % 3] = true;
	write_config();
	soak_check_key_revoked(customer, true);
}

static void end_revoke(struct fault *f)
{
	char customer[8];

	snprintf(customer, sizeof(customer), "c%d", f->server % 3);
	soak_check_key_revoked(customer, false);
	key_revoked[f->server % 3] = false;
	write_config();
}

static struct fault faults[] = {
	{ .name = "kill", .begin = begin_kill },
	{ .name = "kill-most", .begin = begin_kill_most },
	{ .name = "terminate", .begin = begin_terminate },
	{ .name = "pause", .begin = begin_pause },
	{ .name = "reload", .begin = begin_reload },
	{ .name = "store", .begin = begin_store_fault, .end = end_store_fault },
	{ .name = "restore", .begin = begin_restore, .end = end_restore },
	{ .name = "limit", .begin = begin_limit, .end = end_limit },
	{ .name = "forget", .begin = begin_truncate },
	{ .name = "cut", .begin = begin_store_proxy, .end = end_store_proxy },
	{ .name = "way", .begin = begin_server_proxy, .end = end_server_proxy },
	{ .name = "strand", .begin = begin_stall },
	{ .name = "crash", .begin = begin_crash },
	{ .name = "drain", .begin = begin_drain },
	{ .name = "shed", .begin = begin_shed, .end = end_shed },
	{ .name = "slow", .begin = begin_slow, .end = end_slow },
	{ .name = "zone", .begin = begin_zone_out, .end = end_zone_out },
	{ .name = "withdraw", .begin = begin_revoke, .end = end_revoke },
};

/* Planned operations: strict checks apply during them, unlike during faults. */
static bool is_planned(const struct fault *f)
{
	return f->begin == begin_drain || f->begin == begin_limit ||
	       f->begin == begin_reload || f->begin == begin_zone_out ||
	       f->begin == begin_revoke;
}

static void begin(struct fault *f, ws_us now)
{
	f->instance =
		(int)ws_rand_below(&soak.rand, (uint64_t)soak.opt.instances);
	f->server = (int)ws_rand_below(&soak.rand, (uint64_t)soak.opt.servers);
	f->until = now + soak_random_between(500 * WS_MS, 7 * WS_SECOND);
	soak_log("%s: instance %d, server %d, for %.1f s", f->name, f->instance,
		 f->server, (double)(f->until - now) / 1e6);
	soak.active_faults += !is_planned(f);
	f->begin(f);
}

static void end(struct fault *f, ws_us now)
{
	if (f->end)
		f->end(f);
	f->until = 0;
	if (is_planned(f))
		return;
	soak.active_faults--;
	soak.last_fault = now;
}

void soak_schedule_fault(const char *name, ws_us at)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++)
		if (!strcmp(faults[i].name, name) && !soak.opt.only[0])
			faults[i].scheduled = at;
}

static void begin_scheduled(struct fault *f, ws_us now)
{
	if (!f->scheduled || now < f->scheduled)
		return;
	f->scheduled = 0;
	if (!f->until)
		begin(f, now);
}

static void inject_faults(void *arg, ws_us now)
{
	static ws_us next;
	size_t n = G_N_ELEMENTS(faults);
	struct fault *f = &faults[ws_rand_below(&soak.rand, n)];
	ws_us time = now - soak.started;
	ws_us last = (ws_us)soak.opt.seconds * WS_SECOND;
	size_t i;
	size_t open = 0;

	(void)arg;
	for (i = 0; i < n; i++) {
		if (faults[i].until && now >= faults[i].until)
			end(&faults[i], now);
		begin_scheduled(&faults[i], now);
		open += faults[i].until || faults[i].scheduled;
	}
	soak_stated_inject(now, time >= WARM_UP && time <= last);
	if (open || !soak_processes_all_run() || !soak_stated_is_calm())
		soak.calm_since = now;
	if (time < WARM_UP || time > last || now < next || f->until ||
	    open >= ACTIVE_FAULTS_MAX ||
	    (soak.opt.only[0] && strcmp(soak.opt.only, f->name) != 0))
		return;
	begin(f, now);
	/* Faults may overlap; now and then there is a longer pause. */
	next = now + (soak_chance(15) ?
			      9 * WS_SECOND :
			      soak_random_between(100 * WS_MS, 3 * WS_SECOND));
}

/* ===== Run ===== */

/* Callers and servers do nothing in a pause, so no time of it is judged. */
static void notice_pause(void)
{
	static ws_us last;
	ws_us now = soak_now();
	ws_us time = last ? now - last : 0;

	last = now;
	if (time < HELD_UP_MIN)
		return;
	soak_log("this process was held up for %.3f s", (double)time / 1e6);
	soak.held_up = now;
	if (time < HELD_UP_FAULT)
		return;
	soak.last_fault = now;
	soak.calm_since = now;
}

static void on_tick(EV_P_ ev_timer *w, int revents)
{
	(void)w;
	(void)revents;
	ws_timer_run(soak.timers, soak_now());
	notice_pause();
	if (soak_elapsed() > (ws_us)soak.opt.seconds * WS_SECOND &&
	    soak_now() - soak.calm_since >
		    RECOVER_TIME + (SOAK_JUDGED_SECONDS + 1) * WS_SECOND +
			    SOAK_PENDING_MAX)
		ev_break(EV_A_ EVBREAK_ALL);
}

static int check_recovery(bool keyed, ws_us time)
{
	int served = soak_callers_served(keyed, soak.calm_since + time);

	if (served < SERVED_MIN_PERCENT)
		soak_violation("RECOVER",
			       "%d %% served of the requests with%s key later "
			       "than %d s after the last fault",
			       served, keyed ? " a" : "out a",
			       (int)(time / WS_SECOND));
	return served;
}

static int run(void)
{
	ev_timer tick;
	int served;
	int served_keyed;

	soak_store_start();
	write_config();
	soak_servers_start();
	soak_processes_start();
	ws_timer_every(soak.timers, soak_now(), 50 * WS_MS, inject_faults,
		       NULL);
	ev_timer_init(&tick, on_tick, 0., 0.002);
	ev_timer_start(soak.loop, &tick);
	/* Start callers after the instances. */
	while (soak_elapsed() < 2 * WS_SECOND)
		ev_run(soak.loop, EVRUN_ONCE);
	soak_callers_start();
	ev_run(soak.loop, 0);
	served = check_recovery(false, SOAK_QUIET_TIME);
	served_keyed = check_recovery(
		true, soak.keys_stopped ? RECOVER_TIME : SOAK_QUIET_TIME);
	soak_stated_check_used();
	soak_callers_print();
	soak_check_print();
	soak_stated_print();
	printf("after the last fault: served in %d s, with a key in %d s\n",
	       soak_callers_recovery(false, soak.calm_since),
	       soak_callers_recovery(true, soak.calm_since));
	printf("store: %" G_GUINT64_FORMAT " calls\n", soak_store_calls());
	soak_callers_stop();
	soak_processes_stop();
	soak_servers_stop();
	soak_store_stop();
	printf("seed %" G_GUINT64_FORMAT
	       ": %s, %d %% served at the end, %d %% with a key\n",
	       soak.opt.seed, soak.failed ? "FAILED" : "passed", served,
	       served_keyed);
	return soak.failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

static bool read_options(int argc, char **argv)
{
	gint64 seed = 1;
	gchar *edge = NULL;
	gchar *dir = NULL;
	gchar *only = NULL;
	GOptionEntry entries[] = {
		{ "seed", 's', 0, G_OPTION_ARG_INT64, &seed, "random seed",
		  "N" },
		{ "instances", 'i', 0, G_OPTION_ARG_INT, &soak.opt.instances,
		  "edge processes", "N" },
		{ "servers", 't', 0, G_OPTION_ARG_INT, &soak.opt.servers,
		  "servers", "N" },
		{ "seconds", 'n', 0, G_OPTION_ARG_INT, &soak.opt.seconds,
		  "time in which faults begin", "N" },
		{ "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &soak.opt.requests_per_s,
		  "requests a second", "N" },
		{ "edge", 'e', 0, G_OPTION_ARG_FILENAME, &edge, "edge program",
		  "FILE" },
		{ "dir", 'd', 0, G_OPTION_ARG_FILENAME, &dir,
		  "folder of logs and settings", "DIR" },
		{ "only", 'o', 0, G_OPTION_ARG_STRING, &only,
		  "kind of fault to inject", "NAME" },
		{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &soak.opt.verbose,
		  "print each request that was not served", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx = g_option_context_new("- soak test of the edge");
	GError *error = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) || !edge ||
	    !dir || soak.opt.instances > SOAK_INSTANCES_MAX ||
	    soak.opt.servers > SOAK_SERVERS_MAX) {
		fprintf(stderr, "soak: %s; use --help\n",
			error ? error->message : "--edge and --dir are needed");
		return false;
	}
	soak.opt.seed = (uint64_t)seed;
	g_strlcpy(soak.opt.edge, edge, sizeof(soak.opt.edge));
	g_strlcpy(soak.opt.dir, dir, sizeof(soak.opt.dir));
	g_strlcpy(soak.opt.only, only ? only : "", sizeof(soak.opt.only));
	g_option_context_free(ctx);
	return true;
}

int main(int argc, char **argv)
{
	soak.opt = (struct soak_options){
		.instances = 6,
		.servers = 12,
		.seconds = 28,
		.requests_per_s = 120.0,
	};
	if (!read_options(argc, argv))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_NOTHING);
	mkdir(soak.opt.dir, 0700);
	ws_rand_seed(&soak.rand, ws_mix(soak.opt.seed, 77));
	snprintf(soak.net, sizeof(soak.net), "127.%d.%d",
		 (int)(getpid() / 250 % 250 + 1), (int)(getpid() % 250 + 1));
	/* libev's default loop would reap the child processes itself. */
	soak.loop = ev_loop_new(0);
	soak.timers = ws_timer_new();
	soak.http = ws_http_new(soak.loop);
	soak.started = soak_now();
	soak.last_fault = soak.started;
	soak.calm_since = soak.started;
	return run();
}
