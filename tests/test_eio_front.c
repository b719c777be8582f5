#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "edgeio/ws_eio.h"
#include "io/ws_server.h"
#include "platform/wp_decode.h"

/*
 * Requests from the bytes that a caller sends to those that a server receives.
 * The process is a ws_eio in this one; its store is down, and the test provides
 * configuration and list.
 */

#define IP "127.19.29.2"
#define CALLERS_PORT 7100
#define SERVER_ADDRESS IP ":7200"
#define DEADLINE_MS 900
/* From this length on libcurl would wait for the server by default. */
#define LONG_BODY ((size_t)1536 * 1024)
#define TIME_MAX (5 * WS_SECOND)

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"open\"}],"
	"\"tenants\":[{\"name\":\"lab\",\"api_keys\":[\"k1\"]}],"
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":0.8,\"service\":\"open\",\"auth_exempt\":true},"
	"{\"name\":\"order\",\"path_prefix\":\"/o/\","
	"\"kind\":\"non_idempotent\",\"target_latency_s\":0.8,"
	"\"auth_exempt\":true,\"service\":\"open\"}]}]}";

/* The request that the server has received last. */
struct received {
	unsigned n;
	unsigned n_gone; /* whose connection was closed */
	char method[16];
	char uri[64];
	char body[64];
	char target[32];
	char id[32];
	char customer[32];
	bool has_caller_key;
	bool has_expect;
	size_t body_len;
	long deadline_ms;
};

static struct ev_loop *loop;
static struct ws_timers *timers;
static struct ws_server *server;
static struct ws_eio *io;
static int caller = -1;
static bool is_silent; /* the server answers nothing */
static struct received received;

/* ===== Server ===== */

static void copy_header(const struct ws_body *b, const char *name, char *to,
			size_t size)
{
	const char *value = ws_body_header(b, name);

	snprintf(to, size, "%s", value ? value : "");
}

static void on_call(void *arg, struct ws_server_request *req)
{
	const struct ws_body b = { .headers = req->headers.text,
				   .headers_len = req->headers.len };
	struct ws_headers h = { NULL, 0, 0 };
	struct ws_server_answer a = { .status = 200 };
	struct received *r = arg;
	char deadline[32];

	r->n++;
	snprintf(r->method, sizeof(r->method), "%s", req->method);
	snprintf(r->uri, sizeof(r->uri), "%s", req->uri);
	snprintf(r->body, sizeof(r->body), "%.*s", (int)req->body_len,
		 req->body ? (const char *)req->body : "");
	copy_header(&b, "Wagtailshift-Target-Instance", r->target,
		    sizeof(r->target));
	copy_header(&b, "Wagtailshift-Request-Id", r->id, sizeof(r->id));
	copy_header(&b, "Wagtailshift-Tenant", r->customer,
		    sizeof(r->customer));
	copy_header(&b, "Wagtailshift-Deadline-Ms", deadline, sizeof(deadline));
	r->deadline_ms = strtol(deadline, NULL, 10);
	r->has_caller_key = ws_body_header(&b, "Api-Key") != NULL;
	r->has_expect = ws_body_header(&b, "Expect") != NULL;
	r->body_len = req->body_len;
	if (is_silent)
		return;
	ws_headers_add(&h, "Wagtailshift-Request-Id", 23, r->id, strlen(r->id));
	ws_headers_add(&h, "Wagtailshift-Server-Seal", 24, "s", 1);
	a.headers = h.text;
	a.headers_len = h.len;
	ws_server_answer(req, &a);
	ws_headers_free(&h);
}

static void on_gone(void *arg, struct ws_server_request *req)
{
	struct received *r = arg;

	(void)req;
	r->n_gone++;
}

/* ===== The instance ===== */

static void start(void)
{
	static const struct ws_server_ops ops = {
		.on_request = on_call,
		.on_disconnect = on_gone,
	};
	struct ws_server_conf conf = {
		.ops = &ops,
		.arg = &received,
		.address = SERVER_ADDRESS,
		.max_connections = 100,
		.max_receiving = 2 * LONG_BODY,
		.now = ws_eio_now,
	};
	const struct wp_settings set = {
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
	const struct ws_ed_listing listing = {
		.name = "s0",
		.address = SERVER_ADDRESS,
		.service = ws_ed_id("open"),
		.zone = ws_ed_id("z"),
		.slots = 100,
		.started_ms = 1,
	};
	const struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(CALLERS_PORT),
		.sin_addr.s_addr = inet_addr(IP),
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct wp_error err = { "" };

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	timers = ws_timer_new();
	conf.timers = timers;
	memset(&received, 0, sizeof(received));
	is_silent = false;
	server = ws_server_new(loop, &conf);
	ck_assert_ptr_nonnull(server);
	io = ws_eio_new(loop, &set, &err);
	ck_assert_msg(io != NULL, "%s", err.text);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	ws_eio_handle_event(io, &ev);
	ev.kind = WS_EDEV_LISTED;
	ev.u.listing = &listing;
	ws_eio_handle_event(io, &ev);
	caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
		connect(caller, (const struct sockaddr *)&to, sizeof(to)), 0);
}

static void stop(void)
{
	close(caller);
	ws_eio_free(io);
	ws_server_free(server);
	ws_timer_free(timers);
	ev_loop_destroy(loop);
}

static void send_text(const char *text)
{
	size_t len = strlen(text);

	ck_assert_int_eq((int)send(caller, text, len, MSG_NOSIGNAL), (int)len);
}

/* Runs the loop until a counter is above zero. */
static void wait_for(const unsigned *counter)
{
	ws_us end = ws_eio_now() + TIME_MAX;

	while (!*counter && ws_eio_now() < end)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_uint_gt(*counter, 0);
}

#define OWN_HEADERS                        \
	"Host: h\r\n"                      \
	"Wagtailshift-Request-Id: r17\r\n" \
	"Wagtailshift-Deadline-Ms: 900\r\n"

/*
 * Guards against servers that work without a deadline or beyond the caller's
 * (BUDGET), or for a server that had their address before (ROUTE).
 */
START_TEST(server_is_told_its_name_and_the_deadline)
{
	start();
	send_text("GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	wait_for(&received.n);
	ck_assert_str_eq(received.target, "s0");
	ck_assert_str_eq(received.id, "r17");
	ck_assert_int_gt(received.deadline_ms, 0);
	ck_assert_int_le(received.deadline_ms, DEADLINE_MS);
	stop();
}
END_TEST

/* Guards against UNASKED: a changed request, or a customer made up. */
START_TEST(request_is_forwarded_unchanged_without_secrets)
{
	start();
	send_text("PUT /o/a/../b?x=1&y=%20 HTTP/1.1\r\n" OWN_HEADERS
		  "Api-Key: k1\r\nWagtailshift-Tenant: other\r\n"
		  "Content-Length: 7\r\n\r\npayload");
	wait_for(&received.n);
	ck_assert_str_eq(received.method, "PUT");
	ck_assert_str_eq(received.uri, "/o/a/../b?x=1&y=%20");
	ck_assert_str_eq(received.body, "payload");
	ck_assert_str_eq(received.customer, "");
	ck_assert(!received.has_caller_key);
	stop();
}
END_TEST

/* Guards against GONE: a server at work for a caller that has left. */
START_TEST(server_sees_that_the_caller_has_left)
{
	ws_us closed;

	start();
	is_silent = true;
	send_text("GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	wait_for(&received.n);
	shutdown(caller, SHUT_RDWR);
	close(caller);
	caller = -1;
	closed = ws_eio_now();
	wait_for(&received.n_gone);
	ck_assert_int_lt(ws_eio_now() - closed, 300 * WS_MS);
	stop();
}
END_TEST

/*
 * Guards against a body that waits for the server: an answer that comes at once
 * would leave the body out, and the server would take the next request on the
 * connection for it (UNASKED).
 */
START_TEST(long_body_does_not_wait_for_the_server)
{
	char head[256];
	char *body = malloc(LONG_BODY + 1);
	ev_tstamp end = ev_time() + 5.;
	size_t sent = 0;

	ck_assert_ptr_nonnull(body);
	memset(body, 'x', LONG_BODY);
	start();
	snprintf(head, sizeof(head),
		 "POST /o/1 HTTP/1.1\r\n" OWN_HEADERS
		 "Content-Length: %zu\r\n\r\n",
		 LONG_BODY);
	send_text(head);
	while (sent < LONG_BODY && ev_time() < end) {
		ssize_t n = send(caller, body + sent, LONG_BODY - sent,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n > 0)
			sent += (size_t)n;
		ev_run(loop, EVRUN_NOWAIT);
	}
	wait_for(&received.n);
	ck_assert_uint_eq(received.body_len, LONG_BODY);
	ck_assert(!received.has_expect);
	stop();
	free(body);
}
END_TEST

/* Guards against requests without an answer at their time limit (CONFIG). */
START_TEST(silent_server_ends_at_the_deadline)
{
	ws_us end;
	char answer[512];
	ssize_t n = -1;

	start();
	is_silent = true;
	send_text("GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	end = ws_eio_now() + (DEADLINE_MS + 400) * WS_MS;
	while (n <= 0 && ws_eio_now() < end) {
		ev_run(loop, EVRUN_ONCE);
		n = recv(caller, answer, sizeof(answer), MSG_DONTWAIT);
	}
	ck_assert_int_gt((int)n, 12);
	ck_assert_int_eq(memcmp(answer, "HTTP/1.1 504", 12), 0);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		server_is_told_its_name_and_the_deadline,
		request_is_forwarded_unchanged_without_secrets,
		server_sees_that_the_caller_has_left,
		long_body_does_not_wait_for_the_server,
		silent_server_ends_at_the_deadline,
	};

	return ed_suite_run("eio_front", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
