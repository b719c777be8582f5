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
#include "edgeio/ws_eio_targets.h"
#include "platform/wp_decode.h"
#include "platform/wp_store.h"

/*
 * What an answer whose status line is none does, from end to end: a caller, a
 * ws_eio in this process, and a server on loopback that writes the text of a
 * case. The same texts answer a grant of keys and calls to the store.
 */

#define IP "127.19.44.1"
#define CALLERS_PORT 7100
#define SERVER_PORT 7200
#define SERVER_ADDRESS IP ":7200"
#define WAIT (3 * WS_SECOND)
/* Nothing tells when the answer to a grant was handled. */
#define GRANT_WAIT (100 * WS_MS)
#define REST_DELAY_S 0.03
#define CONNECTIONS_MAX 16

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"open\"}],"
	"\"tenants\":[{\"name\":\"lab\",\"api_keys\":[\"k1\"]}],"
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"order\",\"path_prefix\":\"/o/\","
	"\"kind\":\"non_idempotent\",\"target_latency_s\":0.3,"
	"\"service\":\"open\",\"max_attempts\":1}]}]}";

#define PROOF                             \
	"Wagtailshift-Request-Id: q1\r\n" \
	"Wagtailshift-Server-Seal: s\r\nServer-Leaving: 1\r\n"
/* What grants and the store's answers carry: no id. */
#define FIELDS "Server-Leaving: 1\r\nStore-Era: 7\r\n"
#define BODY "Content-Length: 2\r\n\r\nok"
#define REST PROOF BODY
#define ERA 7
#define NO_ANSWER 502 /* what the caller gets in place of one */
#define INTERIM(status) "HTTP/1.1 " status " -\r\nX-A: 1\r\n\r\n"

struct status_case {
	const char *line; /* what comes before the rest */
	const char *rest; /* NULL: fields and BODY */
	int expected; /* status that the caller gets */
	bool open; /* the server leaves its connection open */
	size_t first; /* bytes of the first packet; 0: all */
};

static const struct status_case cases[] = {
	{ "HTTP/1.1 200 OK\r\n", NULL, 200, true, 0 },
	{ "HTTP/1.0 200 OK\r\n", NULL, 200, false, 0 },
	{ "HTTP/1.1 200 \r\n", NULL, 200, true, 0 },
	{ "HTTP/1.1 200\r\n", NULL, 200, true, 0 },
	{ "HTTP/1.1 200\n", NULL, 200, true, 0 },
	{ "HTTP/1.1 599 -\r\n", NULL, 599, true, 0 },
	{ "HTTP/1.1 299 -\r\n", NULL, 299, true, 0 },
	{ "HTTP/1.1 200 OK\r\n", NULL, 200, true, 4 },
	{ "HTTP/1.1 200 OK\r\n", NULL, 200, true, 10 },
	{ INTERIM("103") "HTTP/1.1 200 OK\r\n", NULL, 200, true, 0 },
	{ INTERIM("199") "HTTP/1.1 200 OK\r\n", NULL, 200, true, 0 },
	{ "HTTP/1.1 000 Zero\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 000 Zero\r\n", NULL, NO_ANSWER, false, 0 },
	{ "HTTP/1.1 000 Zero\r\n", PROOF "\r\nok", NO_ANSWER, false, 0 },
	{ "HTTP/1.1 000 Zero\r\n", PROOF "Wagtailshift-Not-Executed: 1\r\n\r\n",
	  NO_ANSWER, false, 0 },
	{ "HTTP/1.1 000\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 000 Zero\r\n", NULL, NO_ANSWER, true, 10 },
	{ "HTTP/1.1 0 Zero\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 00 Zero\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 20 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 099 -\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 600 -\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 600 -\r\n", PROOF "\r\nok", NO_ANSWER, false, 0 },
	{ "HTTP/1.1 999 -\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 2000 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 0200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 -20 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 +20 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1  200\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1\t200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 2x0 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 200x\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 \r\n", NULL, NO_ANSWER, true, 0 },
	{ " HTTP/1.1 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "http/1.1 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/2 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/2.0 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/3 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.12 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/0.9 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "", "hello", NO_ANSWER, false, 0 },
	{ "\r\n", "HTTP/1.1 200 OK\r\n" REST, NO_ANSWER, false, 0 },
	{ "HTTP/1.1 100 -\r\n", NULL, NO_ANSWER, false, 0 },
	{ "HTTP/1.1 101 -\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 101 -\r\n", NULL, NO_ANSWER, false, 0 },
	{ INTERIM("101") "HTTP/1.1 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 199 -\r\n", NULL, NO_ANSWER, false, 0 },
	{ INTERIM("100") "HTTP/1.1 000 Zero\r\n", NULL, NO_ANSWER, true, 0 },
	{ INTERIM("100") "HTTP/1.1 2000 OK\r\n", NULL, NO_ANSWER, true, 0 },
	{ INTERIM("099") "HTTP/1.1 200 OK\r\n", NULL, NO_ANSWER, true, 0 },
	/* A status line where a field belongs. */
	{ "HTTP/1.1 500 -\r\nX-A: 1\r\nHTTP/1.1 200 OK\r\n", NULL, NO_ANSWER,
	  true, 0 },
	/* A folded field; it would be forwarded in part. */
	{ "HTTP/1.1 200 -\r\n x: 1\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 200 -\r\nX-A: 1\r\n\tx\r\n", NULL, NO_ANSWER, true, 0 },
	{ "HTTP/1.1 200 -\r\nHTTP/1.1 200 OK: 1\r\n", NULL, NO_ANSWER, true,
	  0 },
};

#define N_CASES ((int)(sizeof(cases) / sizeof(cases[0])))

static struct ev_loop *loop;
static struct ws_eio *io;
static const struct status_case *current;
static ev_io acceptor;
static ev_io con;
static ev_timer rest_timer;
static char text[512]; /* of the answer */
static unsigned n_received;
static bool con_closed; /* by the client */

/* ===== The server ===== */

static void close_con(void)
{
	ev_io_stop(loop, &con);
	ev_timer_stop(loop, &rest_timer);
	close(con.fd);
	con.fd = -1;
}

static void write_rest(size_t from)
{
	send(con.fd, text + from, strlen(text + from), MSG_NOSIGNAL);
	if (!current->open)
		close_con();
}

static void on_rest(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	write_rest(current->first);
}

static void on_con(EV_P_ ev_io *w, int revents)
{
	char buf[4096];
	ssize_t n = recv(w->fd, buf, sizeof(buf), 0);

	(void)loop;
	(void)revents;
	if (n <= 0) {
		con_closed = true;
		close_con();
		return;
	}
	n_received++;
	if (!current->first) {
		write_rest(0);
		return;
	}
	send(w->fd, text, current->first, MSG_NOSIGNAL);
	ev_timer_start(loop, &rest_timer);
}

static void on_accept(EV_P_ ev_io *w, int revents)
{
	int fd = accept(w->fd, NULL, NULL);

	(void)revents;
	ck_assert_int_lt(con.fd, 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	ev_io_init(&con, on_con, fd, EV_READ);
	ev_io_start(loop, &con);
}

static void start_server(void)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(SERVER_PORT),
		.sin_addr.s_addr = inet_addr(IP),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(listen(fd, CONNECTIONS_MAX), 0);
	ev_io_init(&acceptor, on_accept, fd, EV_READ);
	ev_io_start(loop, &acceptor);
	ev_timer_init(&rest_timer, on_rest, REST_DELAY_S, 0.);
	con.fd = -1;
}

/* ===== The edge ===== */

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

/* @param fields of the answer, if the case has no rest of its own */
static void start(const struct status_case *sc, const char *fields)
{
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
		.bounds = { .key_evidence_max = 4600 * WS_MS },
	};
	struct wp_error err = { "" };

	current = sc;
	snprintf(text, sizeof(text), "%s%s%s", sc->line,
		 sc->rest ? sc->rest : fields, sc->rest ? "" : BODY);
	n_received = 0;
	con_closed = false;
	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	start_server();
	io = ws_eio_new(loop, &set, &err);
	ck_assert_msg(io != NULL, "%s", err.text);
	provide_config();
}

static void stop(void)
{
	ws_eio_free(io);
	if (con.fd >= 0)
		close_con();
	ev_io_stop(loop, &acceptor);
	close(acceptor.fd);
	ev_loop_destroy(loop);
}

/* ===== The caller ===== */

static void on_wake(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
}

/* Runs the loop until done is set, and so long that a close is noticed. */
static void run_until(const bool *done, ws_us max)
{
	ws_us end = ws_eio_now() + max;
	ev_timer wake;
	int i;

	ev_timer_init(&wake, on_wake, 0., 0.01);
	ev_timer_start(loop, &wake);
	while (!*done && ws_eio_now() < end)
		ev_run(loop, EVRUN_ONCE);
	for (i = 0; i < 3; i++)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
}

static int caller;
static ev_io caller_io;
static char answer[4096];
static bool answered;

static void on_answer(EV_P_ ev_io *w, int revents)
{
	ssize_t n = recv(w->fd, answer, sizeof(answer) - 1, 0);

	(void)revents;
	ck_assert_int_gt((int)n, 0);
	answer[n] = '\0';
	answered = true;
	ev_io_stop(loop, w);
}

/* Sends a request; the answer is then in "answer". */
static void exchange(void)
{
	static const char request[] =
		"POST /o/a HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
		"Wagtailshift-Request-Id: q1\r\n"
		"Wagtailshift-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n";
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(CALLERS_PORT),
		.sin_addr.s_addr = inet_addr(IP),
	};

	caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(connect(caller, (struct sockaddr *)&to, sizeof(to)),
			 0);
	send(caller, request, sizeof(request) - 1, MSG_NOSIGNAL);
	answered = false;
	ev_io_init(&caller_io, on_answer, caller, EV_READ);
	ev_io_start(loop, &caller_io);
	run_until(&answered, WAIT);
	close(caller);
	ck_assert(answered);
}

static bool is_good(const struct status_case *sc)
{
	return sc->expected != NO_ANSWER;
}

static bool leaving_is_believed(void)
{
	return ws_edge_pool(io->edge)->servers[0].stated.leaving_since != 0;
}

/*
 * Guards against MIXED: bytes that are no answer in the protocol, such as a
 * status 600 or text behind the code, passed on with the server's seal.
 */
START_TEST(only_a_status_is_an_answer)
{
	const struct status_case *sc = &cases[_i];

	start(sc, PROOF);
	exchange();
	ck_assert_uint_eq(n_received, 1);
	ck_assert_msg(atoi(answer + strlen("HTTP/1.1 ")) == sc->expected,
		      "for \"%s\": %s", sc->line, answer);
	ck_assert_int_eq(strstr(answer, "Wagtailshift-Server-Seal") != NULL,
			 is_good(sc));
	ck_assert_int_eq(leaving_is_believed(), is_good(sc));
	ck_assert(!sc->open || con_closed == !is_good(sc));
	stop();
}
END_TEST

#define N_REFUSALS 8
#define UNPROVED "Wagtailshift-Request-Id: q1\r\nServer-Leaving: 1\r\n" BODY

/*
 * Guards against DENIED: a refusal that no server has proved to be its own,
 * such as that of another program at its address, passed on as the last word.
 */
START_TEST(refusal_is_passed_on_with_the_seal_only)
{
	static const struct status_case refusals[N_REFUSALS] = {
		{ "HTTP/1.1 301 -\r\n", UNPROVED, NO_ANSWER, true, 0 },
		{ "HTTP/1.1 400 -\r\n", UNPROVED, NO_ANSWER, true, 0 },
		{ "HTTP/1.1 404 -\r\n", UNPROVED, NO_ANSWER, true, 0 },
		{ "HTTP/1.1 413 -\r\n", UNPROVED, NO_ANSWER, true, 0 },
		{ "HTTP/1.1 301 -\r\n", REST, 301, true, 0 },
		{ "HTTP/1.1 400 -\r\n", REST, 400, true, 0 },
		{ "HTTP/1.1 404 -\r\n", REST, 404, true, 0 },
		{ "HTTP/1.1 413 -\r\n", REST, 413, true, 0 },
	};
	const struct status_case *sc = &refusals[_i];

	start(sc, "");
	exchange();
	ck_assert_uint_eq(n_received, 1);
	ck_assert_msg(atoi(answer + strlen("HTTP/1.1 ")) == sc->expected,
		      "for \"%s\": %s", sc->line, answer);
	ck_assert_int_eq(strstr(answer, "Wagtailshift-Server-Seal") != NULL,
			 is_good(sc));
	ck_assert_int_eq(leaving_is_believed(), is_good(sc));
	ck_assert_int_eq(con_closed, !is_good(sc));
	stop();
}
END_TEST

/* The same for the answer to a grant of keys. */
START_TEST(grant_believes_only_an_answer)
{
	const struct status_case *sc = &cases[_i];
	const struct ws_ed_server *s;
	struct ws_ed_key_call c = { .ref = 1,
				    .to = 9,
				    .lease_duration = WS_SECOND };
	bool ended = false;

	start(sc, FIELDS);
	s = &ws_edge_pool(io->edge)->servers[0];
	c.server = s->id;
	c.started_ms = s->started_ms;
	snprintf(c.name, sizeof(c.name), "s0");
	snprintf(c.address, sizeof(c.address), SERVER_ADDRESS);
	ws_eio_targets_start_key_call(io->targets, &c, true);
	run_until(&ended, GRANT_WAIT);
	ck_assert_uint_eq(n_received, 1);
	ck_assert_int_eq(leaving_is_believed(), is_good(sc));
	stop();
}
END_TEST

static struct wp_reply store_reply;
static bool store_replied;

static void on_store_done(void *arg, const struct wp_reply *r)
{
	(void)arg;
	store_reply = *r;
	store_replied = true;
}

static void on_record(void *arg, const struct wp_record *r)
{
	(void)arg;
	(void)r;
	ck_abort_msg("a record");
}

/* The same for the store, and for records read from another instance. */
static void check_store(const struct status_case *sc, bool append)
{
	static const struct wp_store_callbacks callbacks = {
		.on_record = on_record, .on_done = on_store_done
	};
	struct ws_http *http;
	struct wp_store *store;

	start(sc, FIELDS);
	http = ws_http_new(loop);
	store = wp_store_new(http, SERVER_ADDRESS, ws_eio_now);
	store_replied = false;
	if (append)
		wp_store_append(store, WP_TOPIC_MAP, "map", "v", 1, 0,
				&callbacks);
	else
		wp_store_read(store, SERVER_ADDRESS, WP_TOPIC_OPERATOR, 0, 0,
			      &callbacks);
	run_until(&store_replied, WAIT);
	ck_assert(store_replied);
	ck_assert_uint_eq(n_received, 1);
	ck_assert_uint_eq(store_reply.era, is_good(sc) ? ERA : 0);
	ck_assert(is_good(sc) || store_reply.outcome == WP_FAILED);
	wp_store_free(store);
	ws_http_free(http);
	stop();
}

START_TEST(append_believes_only_an_answer)
{
	check_store(&cases[_i], true);
}
END_TEST

START_TEST(read_believes_only_an_answer)
{
	check_store(&cases[_i], false);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		only_a_status_is_an_answer,
		grant_believes_only_an_answer,
		append_believes_only_an_answer,
		read_believes_only_an_answer,
	};

	const TTest *const refusal_tests[] = {
		refusal_is_passed_on_with_the_seal_only
	};
	int res = ed_suite_run_each("eio_status", tests,
				    (int)(sizeof(tests) / sizeof(tests[0])),
				    N_CASES);

	return ed_suite_run_each("eio_status", refusal_tests, 1, N_REFUSALS) ||
	       res;
}
