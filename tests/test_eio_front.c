#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "edgeio/ws_eio.h"
#include "edgeio/ws_eio_front.h"
#include "io/ws_server.h"
#include "platform/wp_decode.h"

/*
 * Requests from the bytes that a caller sends to those that a server receives.
 * The process is a ws_eio in this one; its store is down, and the test provides
 * configuration and list.
 */

#define IP "127.19.29.2"
#define CALLERS_PORT 7100
#define READINESS_PORT 7101
#define SERVER_PORT 7200
#define SERVER_ADDRESS IP ":7200"
#define CHECK "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n"
#define DEADLINE_MS 900
/* From this length on libcurl would wait for the server by default. */
#define LONG_BODY ((size_t)1536 * 1024)
#define LONG_PATH ((size_t)20 * 1000)
#define TIME_MAX (5 * WS_SECOND)

static const char config_text[] =
	"{\"version\":\"00000001\",\"limits\":{\"max_header_bytes\":60000},"
	"\"services\":[{\"name\":\"open\"}],"
	"\"tenants\":[{\"name\":\"lab\",\"api_keys\":[\"k1\"]}],"
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":0.8,\"service\":\"open\",\"auth_exempt\":true},"
	"{\"name\":\"keys\",\"path_prefix\":\"/k/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":0.8,\"service\":\"open\"},"
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
	char id[512];
	char host[512];
	char customer[32];
	bool has_caller_key;
	bool has_expect;
	size_t body_len;
	size_t uri_len;
	long deadline_ms;
};

static struct ev_loop *loop;
static struct ws_timers *timers;
static struct ws_server *server;
static struct ws_eio *io;
static int caller = -1;
static bool is_silent; /* the server answers nothing */
static unsigned status; /* of its answers */
static bool sends_hop_headers;
static char answered[2048]; /* to the caller */
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
	struct ws_server_answer a = { .status = status };
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
	copy_header(&b, "Host", r->host, sizeof(r->host));
	copy_header(&b, "Wagtailshift-Tenant", r->customer,
		    sizeof(r->customer));
	copy_header(&b, "Wagtailshift-Deadline-Ms", deadline, sizeof(deadline));
	r->deadline_ms = strtol(deadline, NULL, 10);
	r->has_caller_key = ws_body_header(&b, "Api-Key") != NULL;
	r->has_expect = ws_body_header(&b, "Expect") != NULL;
	r->body_len = req->body_len;
	r->uri_len = req->uri_len;
	if (is_silent)
		return;
	ws_headers_add(&h, "Wagtailshift-Request-Id", 23, r->id, strlen(r->id));
	ws_headers_add(&h, "Wagtailshift-Server-Seal", 24, "s", 1);
	if (sends_hop_headers) {
		ws_headers_add(&h, "Connection", 10, "X-Hop", 5);
		ws_headers_add(&h, "X-Hop", 5, "1", 1);
	}
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

static int connect_to(uint16_t port)
{
	const struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(IP),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (const struct sockaddr *)&to, sizeof(to)),
			 0);
	return fd;
}

static void list_server(bool draining)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	const struct ws_ed_listing listing = {
		.name = "s0",
		.address = SERVER_ADDRESS,
		.service = ws_ed_id("open"),
		.zone = ws_ed_id("z"),
		.slots = 100,
		.started_ms = 1,
		.sequence = draining,
		.draining = draining,
	};

	ev.u.listing = &listing;
	ws_eio_handle_event(io, &ev);
}

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
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .config_delay_max = 2500 * WS_MS },
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct ws_server_limits limits;
	struct wp_error err = { "" };

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	timers = ws_timer_new();
	conf.timers = timers;
	memset(&received, 0, sizeof(received));
	is_silent = false;
	status = 200;
	sends_hop_headers = false;
	server = ws_server_new(loop, &conf);
	ck_assert_ptr_nonnull(server);
	limits = *ws_server_limits(server);
	limits.max_header = (size_t)64 * 1024;
	ws_server_set_limits(server, &limits);
	io = ws_eio_new(loop, &set, &err);
	ck_assert_msg(io != NULL, "%s", err.text);
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	ws_eio_handle_event(io, &ev);
	list_server(false);
	caller = connect_to(CALLERS_PORT);
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

/*
 * Guards against UNASKED: the HTTP library encodes bytes of a path that are no
 * ASCII characters, and leaves out what follows a number sign.
 */
START_TEST(path_is_sent_as_the_caller_wrote_it)
{
	start();
	send_text("GET /r/\xc3\xa9?x=\xff#y HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	wait_for(&received.n);
	ck_assert_str_eq(received.uri, "/r/\xc3\xa9?x=\xff#y");
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

/* Replaces the server by a listener that the test reads itself. */
static int listen_as_server(void)
{
	const struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(SERVER_PORT),
		.sin_addr.s_addr = inet_addr(IP),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	ws_server_free(server);
	server = NULL;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (const struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(listen(fd, 10), 0);
	return fd;
}

/* Whether a request has reached the listener, on any connection. */
static bool has_reached(int listener, int *connection)
{
	char byte;

	if (*connection < 0)
		*connection = accept(listener, NULL, NULL);
	return *connection >= 0 &&
	       recv(*connection, &byte, 1, MSG_DONTWAIT | MSG_PEEK) > 0;
}

/* For which the process doesn't get the processor. */
#define HELD_UP_US 20000

static void run_for(ws_us time)
{
	ws_us end = ws_eio_now() + time;

	while (ws_eio_now() < end)
		ev_run(loop, EVRUN_ONCE);
}

/* The caller leaves; runs the loop until its connection has ended here. */
static void leave(void)
{
	ws_us end = ws_eio_now() + TIME_MAX;

	close(caller);
	caller = -1;
	usleep(HELD_UP_US);
	do
		ev_run(loop, EVRUN_ONCE);
	while (ws_eio_front_connections(io->front) && ws_eio_now() < end);
	ck_assert_uint_eq(ws_eio_front_connections(io->front), 0);
	ck_assert_uint_eq(ws_edge_open(io->edge), 0);
	run_for(50 * WS_MS);
}

#define LEFT_REQUEST "GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n"
/* Turns of the loop within which a request has gone out to its server. */
#define TURNS_TO_SEND 8
static void check_left_unread(const char *text, bool kept_connection)
{
	unsigned before;

	start();
	if (kept_connection) {
		send_text(LEFT_REQUEST);
		wait_for(&received.n);
		run_for(50 * WS_MS);
	}
	before = received.n;
	send_text(text);
	leave();
	ck_assert_uint_eq(received.n, before);
	stop();
}

/*
 * Guards against GONE: a process that is behind finds a request together with
 * the end of its connection, and must not send it on.
 */
START_TEST(request_read_after_its_caller_has_left_is_not_sent)
{
	check_left_unread(LEFT_REQUEST, false);
	check_left_unread(LEFT_REQUEST, true);
	check_left_unread(LEFT_REQUEST LEFT_REQUEST, false);
	check_left_unread(LEFT_REQUEST LEFT_REQUEST, true);
}
END_TEST

/* @param turns of the loop between the request and the end of its connection */
static void check_left_before_sending(int turns)
{
	int connection = -1;
	int listener;

	start();
	listener = listen_as_server();
	run_for(50 * WS_MS);
	send_text(LEFT_REQUEST);
	while (turns--)
		ev_run(loop, EVRUN_NOWAIT);
	if (!has_reached(listener, &connection)) {
		leave();
		ck_assert(!has_reached(listener, &connection));
	}
	close(connection);
	close(listener);
	stop();
}

/*
 * Guards against GONE: a request that waits for a connection to its server when
 * its caller leaves, while the process looks for no input.
 */
START_TEST(request_whose_caller_leaves_before_it_is_sent_is_not_sent)
{
	int turns;

	for (turns = 0; turns < TURNS_TO_SEND; turns++)
		check_left_before_sending(turns);
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

/*
 * Runs the loop until a socket has received something.
 * @return whether it has
 */
static bool receive_on(int fd, ws_us time)
{
	ws_us end = ws_eio_now() + time;
	ssize_t n = -1;

	while (n <= 0 && ws_eio_now() < end) {
		ev_run(loop, EVRUN_ONCE);
		n = recv(fd, answered, sizeof(answered) - 1, MSG_DONTWAIT);
	}
	answered[n > 0 ? n : 0] = '\0';
	return n > 0;
}

static bool has_status(const char *text)
{
	static const char version[] = "HTTP/1.1 ";

	return !strncmp(answered, version, sizeof(version) - 1) &&
	       !strncmp(answered + sizeof(version) - 1, text, strlen(text));
}

/* @param turns of the loop between the request and the news of the server */
static void check_server_leaves_before_sending(int turns)
{
	int connection = -1;
	int listener;

	start();
	listener = listen_as_server();
	run_for(50 * WS_MS);
	send_text(LEFT_REQUEST);
	while (turns--)
		ev_run(loop, EVRUN_NOWAIT);
	if (!has_reached(listener, &connection)) {
		list_server(true);
		ck_assert(receive_on(caller, TIME_MAX));
		ck_assert(has_status("503"));
		ck_assert(!has_reached(listener, &connection));
	}
	close(connection);
	close(listener);
	stop();
}

/*
 * Guards against DRAIN: a request that was sent to a server before it was known
 * to leave, and goes out when the connection is open.
 */
START_TEST(request_is_not_sent_to_a_server_that_leaves_meanwhile)
{
	int turns;

	for (turns = 0; turns < TURNS_TO_SEND; turns++)
		check_server_leaves_before_sending(turns);
}
END_TEST

/* Provides what a process learns from the store. */
static void read_topics(void)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };

	ev.u.member.id = ws_ed_id("n1");
	ev.u.member.zone = ws_ed_id("z");
	ws_eio_handle_event(io, &ev);
	memset(&ev, 0, sizeof(ev));
	ev.kind = WS_EDEV_READ_DONE;
	ev.u.sync.started = ws_eio_now();
	ev.u.sync.topic = WS_EDT_CONFIG;
	ws_eio_handle_event(io, &ev);
	ev.u.sync.topic = WS_EDT_SERVERS;
	ws_eio_handle_event(io, &ev);
}

/* Guards against requests without an answer at their time limit (CONFIG). */
START_TEST(silent_server_ends_at_the_deadline)
{
	start();
	is_silent = true;
	send_text("GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	ck_assert(receive_on(caller, (DEADLINE_MS + 400) * WS_MS));
	ck_assert(has_status("504"));
	stop();
}
END_TEST

/* Guards against DENIED: a request whose target is an absolute URI. */
START_TEST(absolute_uri_is_served_as_path_and_host)
{
	static const struct {
		const char *target;
		const char *path;
	} cases[] = {
		{ "http://h/r/1?a=http://x/", "/r/1?a=http://x/" },
		{ "HTTP://H:7100/r/2", "/r/2" },
	};
	char text[256];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		start();
		snprintf(text, sizeof(text),
			 "GET %s HTTP/1.1\r\nHost: other\r\n"
			 "Wagtailshift-Request-Id: r17\r\n\r\n",
			 cases[i].target);
		send_text(text);
		wait_for(&received.n);
		ck_assert_str_eq(received.uri, cases[i].path);
		ck_assert_int_eq(strncasecmp(received.host, "h", 1), 0);
		stop();
	}
}
END_TEST

/* Guards against a target without a host or path that reaches a server. */
START_TEST(absolute_uri_without_host_or_route_is_refused)
{
	static const struct {
		const char *target;
		const char *status;
	} cases[] = {
		{ "http:///r/1", "400" }, { "http://u@h/r/1", "400" },
		{ "http://h", "404" },	  { "http://h?/r/1", "404" },
		{ "ftp://h/r/1", "404" },
	};
	char text[256];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		start();
		read_topics();
		snprintf(text, sizeof(text),
			 "GET %s HTTP/1.1\r\n" OWN_HEADERS "\r\n",
			 cases[i].target);
		send_text(text);
		ck_assert(receive_on(caller, TIME_MAX));
		ck_assert_msg(has_status(cases[i].status), "%s: %s",
			      cases[i].target, answered);
		ck_assert_uint_eq(received.n, 0);
		stop();
	}
}
END_TEST

/*
 * Guards against DENIED: a request within max_header_bytes that is refused for
 * the length of its path.
 */
START_TEST(long_path_within_the_limit_is_served)
{
	static char text[LONG_PATH + 256];
	static char path[LONG_PATH + 1];

	memset(path, 'p', sizeof(path) - 1);
	path[0] = '/';
	path[1] = 'r';
	path[2] = '/';
	snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\n" OWN_HEADERS "\r\n",
		 path);
	start();
	send_text(text);
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("200"));
	ck_assert_uint_eq(received.uri_len, LONG_PATH);
	stop();
}
END_TEST

/*
 * Guards against UNASKED: an id that was cut on its way, so that it is that of
 * another request.
 */
START_TEST(long_id_reaches_the_server)
{
	char text[1024];
	char id[401];

	memset(id, 'i', sizeof(id) - 1);
	id[sizeof(id) - 1] = '\0';
	snprintf(text, sizeof(text),
		 "GET /r/1 HTTP/1.1\r\nHost: h\r\n"
		 "Wagtailshift-Request-Id: %s\r\n\r\n",
		 id);
	start();
	send_text(text);
	wait_for(&received.n);
	ck_assert_str_eq(received.id, id);
	ck_assert_str_eq(received.host, "h");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("200"));
	stop();
}
END_TEST

/* Guards against a server that works for the wrong customer (UNASKED). */
START_TEST(server_is_told_the_customer_of_the_key)
{
	start();
	read_topics();
	send_text("GET /k/1 HTTP/1.1\r\n" OWN_HEADERS "Api-Key: k1\r\n\r\n");
	wait_for(&received.n);
	ck_assert_str_eq(received.customer, "lab");
	ck_assert(!received.has_caller_key);
	stop();
}
END_TEST

/* Guards against another status under a server's seal (MIXED). */
START_TEST(failure_keeps_its_status_and_seal)
{
	start();
	status = 500;
	send_text("PUT /o/1 HTTP/1.1\r\n" OWN_HEADERS
		  "Content-Length: 0\r\n\r\n");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("500"));
	ck_assert_ptr_nonnull(
		strstr(answered, "Wagtailshift-Server-Seal: s\r\n"));
	stop();
}
END_TEST

/* Guards against refusing what the configuration allows (DENIED). */
START_TEST(limits_of_the_configuration_apply)
{
	enum { FILLER = 40000 };
	char *text = malloc(FILLER + 512);
	size_t n;

	ck_assert_ptr_nonnull(text);
	start();
	n = (size_t)sprintf(text,
			    "GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "X-Filler: ");
	memset(text + n, 'x', FILLER);
	strcpy(text + n + FILLER, "\r\n\r\n");
	ws_eio_front_apply_config(io->front);
	send_text(text);
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("200"));
	stop();
	free(text);
}
END_TEST

/* Guards against callers that an instance gets while it can't serve them. */
START_TEST(readiness_is_told)
{
	int fd;

	start();
	fd = connect_to(READINESS_PORT);
	ck_assert_int_gt(send(fd, CHECK, strlen(CHECK), MSG_NOSIGNAL), 0);
	ck_assert(receive_on(fd, TIME_MAX));
	ck_assert(has_status("503"));
	read_topics();
	ck_assert_int_gt(send(fd, CHECK, strlen(CHECK), MSG_NOSIGNAL), 0);
	ck_assert(receive_on(fd, TIME_MAX));
	ck_assert(has_status("200"));
	ws_eio_drain(io);
	ck_assert_int_gt(send(fd, CHECK, strlen(CHECK), MSG_NOSIGNAL), 0);
	ck_assert(receive_on(fd, TIME_MAX));
	ck_assert(has_status("503"));
	close(fd);
	stop();
}
END_TEST

/* Guards against kept connections that end without a word at a stop (LOST). */
START_TEST(answers_close_their_connection_at_a_stop)
{
	start();
	send_text("GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert_ptr_null(strstr(answered, "Connection: close"));
	ws_eio_drain(io);
	send_text("GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("200"));
	ck_assert_ptr_nonnull(strstr(answered, "Connection: close"));
	stop();
}
END_TEST

/* Guards against headers that concern the server's connection only (MIXED). */
START_TEST(headers_of_one_connection_are_not_forwarded)
{
	start();
	sends_hop_headers = true;
	send_text("GET /r/1 HTTP/1.1\r\n" OWN_HEADERS "\r\n");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("200"));
	ck_assert_ptr_null(strstr(answered, "X-Hop"));
	stop();
}
END_TEST

/* Guards against bounds that stay as they were at the start of the process. */
START_TEST(bounds_of_changed_settings_apply)
{
	const struct wp_settings changed = {
		.grace_period = 2 * WS_SECOND,
		.bounds = { .key_evidence_max = 1 },
	};

	start();
	read_topics();
	send_text("GET /k/1 HTTP/1.1\r\n" OWN_HEADERS "Api-Key: k1\r\n\r\n");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("200"));
	ws_eio_reload(io, &changed);
	send_text("GET /k/1 HTTP/1.1\r\n" OWN_HEADERS "Api-Key: k1\r\n\r\n");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("503"));
	stop();
}
END_TEST

/* Guards against callers that return all at once, or too late. */
START_TEST(refusal_states_when_to_return)
{
	const char *after;

	start();
	send_text("GET /k/1 HTTP/1.1\r\n" OWN_HEADERS "Api-Key: k1\r\n\r\n");
	ck_assert(receive_on(caller, TIME_MAX));
	ck_assert(has_status("503"));
	after = strstr(answered, "Retry-After: ");
	ck_assert_ptr_nonnull(after);
	ck_assert(strtod(after + strlen("Retry-After: "), NULL) > 0.0);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		server_is_told_its_name_and_the_deadline,
		request_is_forwarded_unchanged_without_secrets,
		path_is_sent_as_the_caller_wrote_it,
		long_id_reaches_the_server,
		absolute_uri_is_served_as_path_and_host,
		absolute_uri_without_host_or_route_is_refused,
		long_path_within_the_limit_is_served,
		server_sees_that_the_caller_has_left,
		request_read_after_its_caller_has_left_is_not_sent,
		request_whose_caller_leaves_before_it_is_sent_is_not_sent,
		request_is_not_sent_to_a_server_that_leaves_meanwhile,
		long_body_does_not_wait_for_the_server,
		silent_server_ends_at_the_deadline,
		server_is_told_the_customer_of_the_key,
		failure_keeps_its_status_and_seal,
		limits_of_the_configuration_apply,
		readiness_is_told,
		answers_close_their_connection_at_a_stop,
		headers_of_one_connection_are_not_forwarded,
		bounds_of_changed_settings_apply,
		refusal_states_when_to_return,
	};

	return ed_suite_run("eio_front", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
