#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "edgeio/ws_eio.h"
#include "io/ws_server.h"
#include "platform/wp_decode.h"

/*
 * What servers state of themselves in their answers, from the bytes of an
 * answer to where the next requests go. The process is a ws_eio in this one;
 * its store is down, and the test provides configuration and list.
 */

#define IP "127.19.26.2"
#define CALLERS_PORT 7100
#define SERVERS 2
#define PERIOD (10 * WS_MS)

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"open\"}],"
	"\"tenants\":[],\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":0.3,\"service\":\"open\",\"max_attempts\":2}]}]}";

/* A server, and what it answers. */
struct target {
	struct ws_server *http;
	const char *header; /* "Name: value" in all its answers, or "" */
	unsigned status;
	bool echoes_wrong_id;
	unsigned n_received;
};

static struct ev_loop *loop;
static struct ws_timers *timers;
static struct target targets[SERVERS];
static struct ws_eio *io;
static int caller = -1;
static unsigned n_sent;
static unsigned n_answered; /* with 200 */
static unsigned n_refused; /* with 503 */
static char received[8192];

/* ===== Servers ===== */

static void on_call(void *arg, struct ws_server_request *req)
{
	struct target *t = arg;
	struct ws_headers h = { NULL, 0, 0 };
	struct ws_server_answer a = { .status = t->status,
				      .data = "done",
				      .data_len = 4 };
	const struct ws_body b = { .headers = req->headers.text,
				   .headers_len = req->headers.len };
	const char *id = ws_body_header(&b, "Wagtailshift-Request-Id");
	const char *value = strchr(t->header, ':');

	t->n_received++;
	if (t->echoes_wrong_id)
		id = "other";
	ws_headers_add(&h, "Wagtailshift-Request-Id", 23, id, strlen(id));
	ws_headers_add(&h, "Wagtailshift-Server-Seal", 24, "s", 1);
	if (t->status == 503 || t->status == 421)
		ws_headers_add(&h, "Wagtailshift-Not-Executed", 25, "1", 1);
	if (value)
		ws_headers_add(&h, t->header, (size_t)(value - t->header),
			       value + 2, strlen(value + 2));
	a.headers = h.text;
	a.headers_len = h.len;
	ws_server_answer(req, &a);
	ws_headers_free(&h);
}

static void on_gone(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static void server_address(int i, char *to, size_t size)
{
	snprintf(to, size, IP ":%d", 7200 + i);
}

static void start_server(int i)
{
	static const struct ws_server_ops ops = {
		.on_request = on_call,
		.on_disconnect = on_gone,
	};
	char address[32];
	struct ws_server_conf conf = {
		.ops = &ops,
		.arg = &targets[i],
		.address = address,
		.max_connections = 100,
		.max_receiving = 10000,
		.now = ws_eio_now,
		.timers = timers,
	};

	server_address(i, address, sizeof(address));
	targets[i] = (struct target){ .header = "", .status = 200 };
	targets[i].http = ws_server_new(loop, &conf);
	ck_assert_ptr_nonnull(targets[i].http);
}

/* ===== The instance ===== */

static void list_server(int i, int64_t started_ms)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id("open"),
		/* The first one is preferred, as it is in the own zone. */
		.zone = ws_ed_id(i ? "y" : "z"),
		.slots = 100,
		.started_ms = started_ms,
	};

	snprintf(l.name, sizeof(l.name), "s%d", i);
	server_address(i, l.address, sizeof(l.address));
	ev.u.listing = &l;
	ws_eio_handle_event(io, &ev);
}

static void unlist_server(int i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };
	char name[16];

	snprintf(name, sizeof(name), "s%d", i);
	ev.u.unlisted = ws_ed_id(name);
	ws_eio_handle_event(io, &ev);
}

static void connect_caller(void)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(CALLERS_PORT),
		.sin_addr.s_addr = inet_addr(IP),
	};

	caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(connect(caller, (struct sockaddr *)&to, sizeof(to)),
			 0);
	fcntl(caller, F_SETFL, O_NONBLOCK);
}

static void start(void)
{
	struct wp_settings set = {
		.name = "n1",
		.zone = "z",
		.ip = IP,
		.callers_address = IP ":7100",
		.readiness_address = IP ":7101",
		.heartbeat_address = IP ":7110",
		.records_address = IP ":7111",
		.store_address = IP ":7000",
		.memory_max = (size_t)260 * 1024 * 1024,
		.max_fds = 1000,
		.cores = 0.2,
		.grace_period = 2 * WS_SECOND,
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct wp_error err = { "" };
	int i;

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	timers = ws_timer_new();
	for (i = 0; i < SERVERS; i++)
		start_server(i);
	io = ws_eio_new(loop, &set, &err);
	ck_assert_msg(io != NULL, "%s", err.text);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	ws_eio_handle_event(io, &ev);
	for (i = 0; i < SERVERS; i++)
		list_server(i, 1);
	connect_caller();
}

static void stop(void)
{
	int i;

	close(caller);
	ws_eio_free(io);
	for (i = 0; i < SERVERS; i++)
		ws_server_free(targets[i].http);
	ws_timer_free(timers);
	ev_loop_destroy(loop);
}

/* ===== The caller ===== */

static void send_request(void)
{
	char text[256];
	int n = snprintf(text, sizeof(text),
			 "GET /r/1 HTTP/1.1\r\nHost: h\r\n"
			 "Wagtailshift-Request-Id: r%u\r\n"
			 "Wagtailshift-Deadline-Ms: 1000\r\n"
			 "Content-Length: 0\r\n\r\n",
			 ++n_sent);

	ck_assert_int_eq((int)send(caller, text, (size_t)n, MSG_NOSIGNAL), n);
}

/* Counts the whole answers that have been received. */
static void receive(void)
{
	static const char line[] = "HTTP/1.1 ";
	const char *p = received;
	ssize_t n = recv(caller, received, sizeof(received) - 1, 0);

	if (n <= 0)
		return;
	received[n] = '\0';
	while ((p = strstr(p, line))) {
		p += sizeof(line) - 1;
		n_answered += !strncmp(p, "200", 3);
		n_refused += !strncmp(p, "503", 3);
	}
}

static void on_wake(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	receive();
	send_request();
}

/* Sends a request each PERIOD. */
static void run_for(ws_us time)
{
	ws_us end = ws_eio_now() + time;
	ev_timer wake;

	n_sent = 0;
	n_answered = 0;
	n_refused = 0;
	targets[0].n_received = 0;
	targets[1].n_received = 0;
	ev_timer_init(&wake, on_wake, 0., (double)PERIOD / 1e6);
	ev_timer_start(loop, &wake);
	while (ws_eio_now() < end)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
}

/* Guards against DRAIN: requests to a server whose answers say that it leaves.
 */
START_TEST(server_that_says_that_it_leaves_gets_no_requests)
{
	start();
	/* Blanks behind a value are not part of it. */
	targets[0].header = _i ? "Server-Leaving: 1 \t" : "Server-Leaving: 1";
	run_for(500 * WS_MS);
	run_for(500 * WS_MS);
	ck_assert_uint_eq(targets[0].n_received, 0);
	ck_assert_uint_ge(n_answered, n_sent - 2);
	/* It has started again, and is the only one left. */
	targets[0].header = "";
	list_server(0, 2);
	unlist_server(1);
	run_for(500 * WS_MS);
	ck_assert_uint_ge(n_answered, n_sent - 2);
	stop();
}
END_TEST

/* Guards against BUDGET: requests within the time of a rejection. */
START_TEST(server_that_rejects_for_a_time_gets_no_requests)
{
	start();
	targets[0].header = _i ? "Retry-After: 2 \t" : "Retry-After: 2";
	targets[0].status = 503;
	targets[1].header = targets[0].header;
	targets[1].status = 503;
	run_for(500 * WS_MS);
	targets[0].status = 200;
	targets[1].status = 200;
	run_for(1300 * WS_MS);
	ck_assert_uint_eq(targets[0].n_received + targets[1].n_received, 0);
	ck_assert_uint_ge(n_refused, n_sent - 2);
	run_for(1 * WS_SECOND);
	ck_assert_uint_gt(targets[0].n_received + targets[1].n_received, 50);
	stop();
}
END_TEST

/*
 * Guards against statements that are not the server's: another server has its
 * address (421), or the answer belongs to another request.
 */
START_TEST(answer_of_another_server_states_nothing)
{
	start();
	unlist_server(1);
	targets[0].header = "Server-Leaving: 1";
	targets[0].status = _i ? 200 : 421;
	targets[0].echoes_wrong_id = _i;
	run_for(300 * WS_MS);
	targets[0].header = "";
	targets[0].status = 200;
	targets[0].echoes_wrong_id = false;
	run_for(500 * WS_MS);
	ck_assert_uint_ge(n_answered, n_sent - 2);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		server_that_says_that_it_leaves_gets_no_requests,
		server_that_rejects_for_a_time_gets_no_requests,
		answer_of_another_server_states_nothing,
	};

	return ed_suite_run_each("eio_stated", tests,
				 (int)(sizeof(tests) / sizeof(tests[0])), 2);
}
