#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "edgeio/ws_eio.h"
#include "edgeio/ws_eio_front.h"
#include "io/ws_server.h"
#include "platform/wp_decode.h"

/*
 * What a server receives of a caller's request, and the caller of its answer.
 * The process is a ws_eio in this one; its store is down, and the test provides
 * configuration and list.
 */

#define IP "127.19.43.1"
#define CALLERS_PORT 7100
#define READINESS_PORT 7101
#define SERVER_ADDRESS IP ":7200"
#define WAIT (2 * WS_SECOND)

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"open\"}],"
	"\"limits\":{\"max_header_bytes\":1000},"
	"\"tenants\":[{\"name\":\"lab\",\"api_keys\":[\"k1\"]}],"
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"order\",\"path_prefix\":\"/o/\","
	"\"kind\":\"non_idempotent\",\"target_latency_s\":0.3,"
	"\"service\":\"open\",\"max_attempts\":1}]}]}";

static struct ev_loop *loop;
static struct ws_timers *timers;
static struct ws_server *server;
static struct ws_eio *io;
static int caller;

/* What the server has received. */
static struct ws_headers headers;
static char method[16];
static char uri[64];
static char body[64];
static unsigned n_calls;

static void on_call(void *arg, struct ws_server_request *req)
{
	static const char text[] = "Wagtailshift-Request-Id: q1\0"
				   "Wagtailshift-Server-Seal: 3e1b.07\0"
				   "X-Kept: a\0X-Hop: b\0Connection: X-Hop\0"
				   "Keep-Alive: timeout=3";
	const struct ws_server_answer a = {
		.status = 201,
		.headers = text,
		.headers_len = sizeof(text),
		.data = "done",
		.data_len = 4,
	};

	(void)arg;
	n_calls++;
	ws_headers_reset(&headers);
	ws_grow(&headers.text, &headers.cap, req->headers.len, 1);
	memcpy(headers.text, req->headers.text, req->headers.len);
	headers.len = req->headers.len;
	snprintf(method, sizeof(method), "%s", req->method);
	snprintf(uri, sizeof(uri), "%s", req->uri);
	snprintf(body, sizeof(body), "%.*s", (int)req->body_len,
		 req->body ? req->body : "");
	ws_server_answer(req, &a);
}

static void on_gone(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static void provide_config(void)
{
	struct ws_ed_event config = { .kind = WS_EDEV_CONFIG };
	struct ws_ed_event list = { .kind = WS_EDEV_LISTED };
	struct ws_ed_event read = { .kind = WS_EDEV_READ_DONE };
	struct ws_ed_listing l = {
		.name = "s0",
		.address = SERVER_ADDRESS,
		.service = ws_ed_id("open"),
		.zone = ws_ed_id("z"),
		.slots = 100,
	};

	config.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	ws_eio_handle_event(io, &config);
	list.u.listing = &l;
	ws_eio_handle_event(io, &list);
	/* Keys are accepted. */
	read.u.sync.topic = WS_EDT_CONFIG;
	read.u.sync.started = ws_eio_now();
	ws_eio_handle_event(io, &read);
}

static void connect_to(uint16_t port)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(IP),
	};

	caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(connect(caller, (struct sockaddr *)&to, sizeof(to)),
			 0);
	fcntl(caller, F_SETFL, O_NONBLOCK);
}

static void start(void)
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
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .config_delay_max = 2500 * WS_MS },
	};
	struct wp_error err = { "" };

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	timers = ws_timer_new();
	conf.timers = timers;
	n_calls = 0;
	server = ws_server_new(loop, &conf);
	ck_assert_ptr_nonnull(server);
	io = ws_eio_new(loop, &set, &err);
	ck_assert_msg(io != NULL, "%s", err.text);
	provide_config();
	connect_to(CALLERS_PORT);
}

static void stop(void)
{
	close(caller);
	ws_eio_free(io);
	ws_server_free(server);
	ws_timer_free(timers);
	ws_headers_free(&headers);
	ev_loop_destroy(loop);
}

static void on_wake(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
}

/* Sends a request; returns the answer. */
static const char *exchange(const char *text)
{
	static char answer[4096];
	ws_us end = ws_eio_now() + WAIT;
	ssize_t n = send(caller, text, strlen(text), MSG_NOSIGNAL);
	ev_timer wake;

	ck_assert_int_eq((int)n, (int)strlen(text));
	ev_timer_init(&wake, on_wake, 0., 0.01);
	ev_timer_start(loop, &wake);
	n = -1;
	while (n < 0 && ws_eio_now() < end) {
		ev_run(loop, EVRUN_ONCE);
		n = recv(caller, answer, sizeof(answer) - 1, 0);
	}
	ev_timer_stop(loop, &wake);
	ck_assert_int_gt((int)n, 0);
	answer[n] = '\0';
	return answer;
}

/* The value that the server has received, or NULL. */
static const char *header(const char *name)
{
	const struct ws_body b = { .headers = headers.text,
				   .headers_len = headers.len };

	return ws_body_header(&b, name);
}

#define REQUEST                                                                 \
	"POST /o/a%2Fb/./c?x=1 HTTP/1.1\r\nHost: h\r\n"                         \
	"Wagtailshift-Request-Id: q1\r\nWagtailshift-Deadline-Ms: 1000\r\n"     \
	"Wagtailshift-Tenant: other\r\nWagtailshift-Target-Instance: other\r\n" \
	"Wagtailshift-Shard-Key: 7\r\nX-Kept: v\r\nX-Hop: 1\r\n"                \
	"Connection: X-Hop\r\nKeep-Alive: timeout=5\r\n"
#define BODY "Content-Length: 4\r\n\r\nbody"

/* Guards against UNASKED: a request that reaches its server changed. */
START_TEST(request_is_forwarded_unchanged)
{
	start();
	exchange(REQUEST "Api-Key: k1\r\n" BODY);
	ck_assert_uint_eq(n_calls, 1);
	ck_assert_str_eq(method, "POST");
	ck_assert_str_eq(uri, "/o/a%2Fb/./c?x=1");
	ck_assert_str_eq(body, "body");
	ck_assert_str_eq(header("Host"), "h");
	ck_assert_str_eq(header("Wagtailshift-Request-Id"), "q1");
	ck_assert_str_eq(header("Wagtailshift-Shard-Key"), "7");
	ck_assert_str_eq(header("X-Kept"), "v");
	ck_assert_ptr_null(header("X-Hop"));
	ck_assert_ptr_null(header("Keep-Alive"));
	stop();
}
END_TEST

/* Guards against a server that trusts what only the caller has said. */
START_TEST(headers_of_the_system_are_set)
{
	start();
	exchange(REQUEST "Api-Key: k1\r\n" BODY);
	ck_assert_ptr_null(header("Api-Key"));
	ck_assert_str_eq(header("Wagtailshift-Tenant"), "lab");
	ck_assert_str_eq(header("Wagtailshift-Target-Instance"), "s0");
	ck_assert_int_le(atoi(header("Wagtailshift-Deadline-Ms")), 1000);
	ck_assert_int_gt(atoi(header("Wagtailshift-Deadline-Ms")), 500);
	stop();
}
END_TEST

START_TEST(answer_is_forwarded_unchanged)
{
	const char *text;

	start();
	text = exchange(REQUEST "Api-Key: k1\r\n" BODY);
	ck_assert_ptr_eq(strstr(text, "HTTP/1.1 201 "), text);
	ck_assert_ptr_nonnull(
		strstr(text, "\r\nWagtailshift-Server-Seal: 3e1b.07\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "\r\nX-Kept: a\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "\r\nContent-Length: 4\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "\r\n\r\ndone"));
	ck_assert_ptr_null(strstr(text, "X-Hop"));
	ck_assert_ptr_null(strstr(text, "Keep-Alive"));
	stop();
}
END_TEST

/* Guards against ROUTE: a request that runs without a key. */
START_TEST(request_without_its_key_is_refused)
{
	start();
	ck_assert_ptr_nonnull(strstr(exchange(REQUEST BODY), " 401 "));
	ck_assert_uint_eq(n_calls, 0);
	stop();
}
END_TEST

/* Guards against callers that are sent to an instance which is going to stop.
 */
START_TEST(readiness_is_told)
{
	static const char check[] =
		"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n";

	struct ws_ed_event read = { .kind = WS_EDEV_READ_DONE };
	struct ws_ed_event member = { .kind = WS_EDEV_MEMBER };

	start();
	close(caller);
	connect_to(READINESS_PORT);
	ck_assert_ptr_nonnull(strstr(exchange(check), " 503 "));
	read.u.sync.topic = WS_EDT_SERVERS;
	read.u.sync.started = ws_eio_now();
	ws_eio_handle_event(io, &read);
	member.u.member = (struct ws_ed_member_entry){
		.id = ws_ed_id("n1"),
		.zone = ws_ed_id("z"),
		.address = IP ":7110",
	};
	ws_eio_handle_event(io, &member);
	ck_assert_ptr_nonnull(strstr(exchange(check), " 200 "));
	ws_eio_drain(io);
	ck_assert_ptr_nonnull(strstr(exchange(check), " 503 "));
	stop();
}
END_TEST

START_TEST(limits_of_the_configuration_are_applied)
{
	static const char head[] = "GET /o/ HTTP/1.1\r\nX-Long: ";
	char text[1200];
	size_t n = sizeof(head) - 1;

	start();
	ws_eio_front_apply_config(io->front);
	memcpy(text, head, n);
	memset(text + n, 'x', 1100);
	text[n + 1100] = '\0';
	ck_assert_ptr_nonnull(strstr(exchange(text), " 431 "));
	stop();
}
END_TEST

/* Guards against a refusal that does not tell when to come back. */
START_TEST(refusal_names_its_time_in_fractions)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };
	const char *text;
	const char *value;

	start();
	ev.u.unlisted = ws_ed_id("s0");
	ws_eio_handle_event(io, &ev);
	text = exchange(REQUEST "Api-Key: k1\r\n" BODY);
	ck_assert_ptr_nonnull(strstr(text, " 503 "));
	value = strstr(text, "\r\nRetry-After: 0.");
	ck_assert_ptr_nonnull(value);
	ck_assert_double_gt(atof(value + 15), 0.2);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		request_is_forwarded_unchanged,
		headers_of_the_system_are_set,
		answer_is_forwarded_unchanged,
		request_without_its_key_is_refused,
		readiness_is_told,
		limits_of_the_configuration_are_applied,
		refusal_names_its_time_in_fractions,
	};

	return ed_suite_run("eio_forward", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
