#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
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
 * A graceful shutdown, seen by callers that keep their connections: requests at
 * servers that are slow, bodies that are still arriving, requests that arrive
 * late. The process is a ws_eio in this one; its store is down, and the test
 * provides configuration and list.
 */

#define IP "127.19.26.1"
#define CALLERS_PORT 7100
#define SERVER_ADDRESS IP ":7200"
#define GRACE (2 * WS_SECOND)
#define CALLERS 10
#define ANSWER_MAX 4096

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"open\"}],"
	"\"tenants\":[],\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":0.3,\"service\":\"open\",\"max_attempts\":2},"
	"{\"name\":\"order\",\"path_prefix\":\"/o/\","
	"\"kind\":\"non_idempotent\",\"target_latency_s\":0.3,"
	"\"service\":\"open\",\"max_attempts\":2}]}]}";

struct caller {
	int fd;
	char text[ANSWER_MAX]; /* received so far */
	size_t len;
	bool ended; /* the instance has closed its sending side */
	bool reset;
};

static struct ev_loop *loop;
static struct ws_timers *timers;
static struct ws_server *server; /* of the service */
static ws_us service_time; /* 0: it doesn't answer */
static struct ws_eio *io;
static struct caller callers[CALLERS];
static struct held_request {
	struct ws_server_request *req;
	ws_us due_at;
} held[CALLERS];
static unsigned n_received;
static ws_us term_at;

/* ===== The server ===== */

static void on_call(void *arg, struct ws_server_request *req)
{
	(void)arg;
	ck_assert_uint_lt(n_received, CALLERS);
	held[n_received++] = (struct held_request){
		.req = req,
		.due_at = ws_eio_now() + service_time,
	};
}

static void on_gone(void *arg, struct ws_server_request *req)
{
	unsigned i;

	(void)arg;
	for (i = 0; i < n_received; i++)
		if (held[i].req == req)
			held[i].req = NULL;
}

static void answer_calls(void)
{
	unsigned i;

	for (i = 0; i < n_received; i++) {
		static const char seal[] = "Wagtailshift-Server-Seal: s";
		struct ws_server_request *r = held[i].req;
		struct ws_server_answer a = { .status = 200,
					      .data = "done",
					      .data_len = 4 };
		char headers[128];
		const char *p;

		if (!r || !service_time || ws_eio_now() < held[i].due_at)
			continue;
		held[i].req = NULL;
		memcpy(headers, seal, sizeof(seal));
		a.headers = headers;
		a.headers_len = sizeof(seal);
		/* The answer echoes the request's id. */
		for (p = r->headers.text; p < r->headers.text + r->headers.len;
		     p += strlen(p) + 1)
			if (strstr(p, "Request-Id"))
				a.headers_len +=
					1 + (size_t)snprintf(
						    headers + a.headers_len, 64,
						    "%s", p);
		ws_server_answer(r, &a);
	}
}

/* ===== The instance ===== */

static void deliver(struct ws_ed_event *ev)
{
	ws_eio_handle_event(io, ev);
}

static void provide_config(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct ws_ed_event list = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id("open"),
		.zone = ws_ed_id("z"),
		.slots = 100,
	};

	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	deliver(&ev);
	snprintf(l.name, sizeof(l.name), "s");
	snprintf(l.address, sizeof(l.address), SERVER_ADDRESS);
	list.u.listing = &l;
	deliver(&list);
}

static void start(ws_us server_time)
{
	static const struct ws_server_ops ops = {
		.on_request = on_call,
		.on_disconnect = on_gone,
	};
	struct ws_server_conf conf = {
		.ops = &ops,
		.address = SERVER_ADDRESS,
		.max_connections = 100,
		.max_receiving = 10000,
		.now = ws_eio_now,
	};
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
		.grace_period = GRACE,
	};
	struct wp_error err = { "" };

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	timers = ws_timer_new();
	conf.timers = timers;
	service_time = server_time;
	n_received = 0;
	server = ws_server_new(loop, &conf);
	ck_assert_ptr_nonnull(server);
	io = ws_eio_new(loop, &set, &err);
	ck_assert_msg(io != NULL, "%s", err.text);
	provide_config();
}

/* ===== Callers ===== */

static void connect_caller(int i)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(CALLERS_PORT),
		.sin_addr.s_addr = inet_addr(IP),
	};

	callers[i] = (struct caller){ .fd = socket(AF_INET, SOCK_STREAM, 0) };
	ck_assert_int_eq(
		connect(callers[i].fd, (struct sockaddr *)&to, sizeof(to)), 0);
	fcntl(callers[i].fd, F_SETFL, O_NONBLOCK);
}

static void send_text(int i, const char *text)
{
	ssize_t n = send(callers[i].fd, text, strlen(text), MSG_NOSIGNAL);

	ck_assert_int_eq((int)n, (int)strlen(text));
}

static void send_request(int i, const char *method, const char *path,
			 int deadline_ms)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: h\r\nWagtailshift-Request-Id: r%d\r\n"
		 "Wagtailshift-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		 method, path, i, deadline_ms);
	send_text(i, text);
}

static void receive(struct caller *c)
{
	ssize_t n = recv(c->fd, c->text + c->len, ANSWER_MAX - 1 - c->len, 0);

	if (n > 0) {
		c->len += (size_t)n;
		c->text[c->len] = '\0';
	} else if (!n) {
		/* A caller closes when the instance has. */
		c->ended = true;
		shutdown(c->fd, SHUT_WR);
	} else if (errno != EAGAIN) {
		c->reset = true;
	}
}

static void on_wake(EV_P_ ev_timer *w, int revents)
{
	int i;

	(void)loop;
	(void)w;
	(void)revents;
	answer_calls();
	for (i = 0; i < CALLERS; i++)
		if (callers[i].fd && !callers[i].reset)
			receive(&callers[i]);
}

/* @return true if the instance has ended */
static bool run_for(ws_us time)
{
	ev_timer wake;
	ws_us end = ws_eio_now() + time;
	bool ended = false;

	ev_timer_init(&wake, on_wake, 0., 0.005);
	ev_timer_start(loop, &wake);
	while (!ended && ws_eio_now() < end) {
		ev_run(loop, EVRUN_ONCE);
		ended = ws_eio_stopped(io);
	}
	ev_timer_stop(loop, &wake);
	return ended;
}

static void term(void)
{
	term_at = ws_eio_now();
	ws_eio_drain(io);
}

/* Runs until the instance has ended, which it must do before it is killed. */
static void run_to_end(void)
{
	int i;

	ck_assert(run_for(GRACE));
	ck_assert_int_lt(ws_eio_now() - term_at, GRACE);
	ws_eio_free(io);
	for (i = 0; i < CALLERS; i++)
		if (callers[i].fd && !callers[i].reset)
			receive(&callers[i]);
}

static void stop(void)
{
	int i;

	for (i = 0; i < CALLERS; i++)
		if (callers[i].fd)
			close(callers[i].fd);
	memset(callers, 0, sizeof(callers));
	ws_server_free(server);
	ws_timer_free(timers);
	ev_loop_destroy(loop);
}

static int status_of(int i)
{
	int status = 0;

	ck_assert_msg(!callers[i].reset, "connection %d was reset", i);
	sscanf(callers[i].text, "HTTP/1.1 %d", &status);
	return status;
}

static int count_answers(int i)
{
	const char *p = callers[i].text;
	int n = 0;

	for (; (p = strstr(p, "HTTP/1.1 ")); p++)
		n++;
	return n;
}

/* ===== Tests ===== */

/*
 * Guards against requests that are cut off without an answer at the end of the
 * grace period, as their servers take long (LOST).
 */
START_TEST(requests_at_slow_servers_get_an_answer)
{
	start(0);
	connect_caller(0);
	connect_caller(1);
	connect_caller(2);
	send_request(0, "GET", "/r/1", 10000);
	send_request(1, "POST", "/o/1", 10000);
	run_for(200 * WS_MS);
	ck_assert_uint_eq(n_received, 2);
	term();
	send_request(2, "GET", "/r/2", 10000);
	run_to_end();
	ck_assert_int_eq(status_of(0), 504);
	ck_assert_int_eq(status_of(1), 504);
	ck_assert_int_eq(status_of(2), 504);
	stop();
}
END_TEST

/*
 * Guards against an order that is taken after the signal though it may take
 * longer than the process still runs: its outcome would be unknown, whereas
 * another instance can run it.
 */
START_TEST(order_that_may_not_end_in_time_is_refused)
{
	start(50 * WS_MS);
	connect_caller(0);
	connect_caller(1);
	run_for(50 * WS_MS);
	term();
	send_request(0, "POST", "/o/1", 10000);
	send_request(1, "POST", "/o/2", 500);
	run_to_end();
	ck_assert_int_eq(status_of(0), 503);
	ck_assert_int_eq(status_of(1), 200);
	ck_assert_uint_eq(n_received, 1);
	stop();
}
END_TEST

/*
 * Guards against a caller that can't tell whether its request was read: a body
 * that is incomplete at the end is refused, not cut off.
 */
START_TEST(incomplete_body_is_refused_at_the_end)
{
	static const char head[] =
		"POST /o/1 HTTP/1.1\r\nHost: h\r\n"
		"Wagtailshift-Request-Id: r0\r\nContent-Length: 100\r\n\r\nabc";

	start(50 * WS_MS);
	connect_caller(0);
	send_text(0, head);
	run_for(50 * WS_MS);
	term();
	run_to_end();
	ck_assert_int_eq(status_of(0), 503);
	ck_assert_uint_eq(n_received, 0);
	stop();
}
END_TEST

/* Guards against a body that ends late and is passed on without time left. */
START_TEST(late_body_is_refused_at_once)
{
	static const char head[] =
		"POST /o/1 HTTP/1.1\r\nHost: h\r\n"
		"Wagtailshift-Request-Id: r0\r\nContent-Length: 3\r\n\r\nab";

	start(50 * WS_MS);
	connect_caller(0);
	send_text(0, head);
	term();
	run_for(900 * WS_MS);
	send_text(0, "c");
	run_for(100 * WS_MS);
	ck_assert_int_eq(status_of(0), 503);
	run_to_end();
	ck_assert_uint_eq(n_received, 0);
	stop();
}
END_TEST

/*
 * Guards against kept connections that are reset: the caller may lose an answer
 * that it has not read yet.
 */
START_TEST(kept_connections_are_not_reset)
{
	start(50 * WS_MS);
	connect_caller(0);
	connect_caller(1);
	send_request(0, "GET", "/r/1", 1000);
	run_for(200 * WS_MS);
	ck_assert_int_eq(status_of(0), 200);
	term();
	run_for(1100 * WS_MS);
	/* Crosses the end of the connection. */
	send_request(1, "GET", "/r/2", 1000);
	run_to_end();
	ck_assert(!callers[0].reset && callers[0].ended);
	ck_assert(!callers[1].reset && callers[1].ended);
	stop();
}
END_TEST

/* Guards against changed settings that end the process with open requests. */
START_TEST(reload_does_not_shorten_a_shutdown)
{
	struct wp_settings set = { .grace_period = WS_SECOND };

	start(700 * WS_MS);
	connect_caller(0);
	send_request(0, "GET", "/r/1", 10000);
	run_for(100 * WS_MS);
	term();
	ws_eio_reload(io, &set);
	run_to_end();
	ck_assert_int_eq(status_of(0), 200);
	stop();
}
END_TEST

/* Guards against pipelined requests of which only the first are answered. */
START_TEST(pipelined_requests_are_all_answered)
{
	start(0);
	connect_caller(0);
	send_request(0, "GET", "/r/1", 10000);
	send_request(0, "GET", "/r/2", 10000);
	run_for(100 * WS_MS);
	term();
	send_request(0, "GET", "/r/3", 10000);
	run_for(900 * WS_MS);
	send_request(0, "GET", "/r/4", 10000);
	run_to_end();
	ck_assert_int_eq(count_answers(0), 4);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		requests_at_slow_servers_get_an_answer,
		order_that_may_not_end_in_time_is_refused,
		incomplete_body_is_refused_at_the_end,
		late_body_is_refused_at_once,
		kept_connections_are_not_reset,
		pipelined_requests_are_all_answered,
		reload_does_not_shorten_a_shutdown,
	};

	return ed_suite_run("eio_drain", tests, 7);
}
