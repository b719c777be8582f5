#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "io/ws_attempt.h"

/*
 * Attempts at a target that sends a rejection once more, where the next answer
 * on its connection is due.
 */

#define HOST "127.19.25.1"
#define PORT 7000
#define ID "00000000-0000-0000-0000-000000000007"
#define CONNECTIONS_MAX 4
#define CALL_TIMEOUT (10 * WS_SECOND)
#define HEAD \
	"X-Wagtailshift-Request-Id: " ID "\r\nX-Wagtailshift-Incarnation: 1\r\n"
#define REJECTION                                   \
	"HTTP/1.1 503 Service Unavailable\r\n" HEAD \
	"X-Wagtailshift-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define ANSWER "HTTP/1.1 200 OK\r\n" HEAD "Content-Length: 2\r\n\r\nok"

struct con {
	ev_io io;
	bool rejected;
};

struct attempt {
	struct ws_http_call *call;
	struct ws_attempt_head head;
	struct ws_attempt_result result;
	bool ended;
};

static struct ev_loop *loop;
static struct ws_http *http;
static struct ws_payloads *payloads;
static ev_io acceptor;
static struct con cons[CONNECTIONS_MAX];
static int n_cons;
static int runs;

/* The first request is rejected; a later one runs. */
static void on_con(EV_P_ ev_io *w, int revents)
{
	struct con *c = (struct con *)w;
	const char *text = c->rejected || n_cons > 1 ? ANSWER : REJECTION;
	char buf[4096];

	(void)revents;
	if (recv(w->fd, buf, sizeof(buf), 0) <= 0) {
		ev_io_stop(loop, w);
		close(w->fd);
		return;
	}
	if (c->rejected)
		send(w->fd, REJECTION, strlen(REJECTION), MSG_NOSIGNAL);
	runs += c->rejected || n_cons > 1;
	c->rejected = true;
	send(w->fd, text, strlen(text), MSG_NOSIGNAL);
}

static void on_accept(EV_P_ ev_io *w, int revents)
{
	int fd = accept(w->fd, NULL, NULL);

	(void)revents;
	ck_assert_int_lt(n_cons, CONNECTIONS_MAX);
	ev_io_init(&cons[n_cons].io, on_con, fd, EV_READ);
	ev_io_start(loop, &cons[n_cons++].io);
}

static void start(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(PORT) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	inet_pton(AF_INET, HOST, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	ck_assert_int_eq(listen(fd, CONNECTIONS_MAX), 0);
	ev_io_init(&acceptor, on_accept, fd, EV_READ);
	ev_io_start(loop, &acceptor);
	http = ws_http_new(loop);
	payloads = ws_payloads_new(65536);
}

static void stop(void)
{
	ws_http_free(http);
	ws_payloads_free(payloads);
	close(acceptor.fd);
	ev_loop_destroy(loop);
}

static void on_done(void *arg, const struct ws_http_result *res)
{
	struct attempt *a = arg;

	a->ended = true;
	if (!ws_attempt_read_result(payloads, &a->head, res, &a->result))
		ws_http_disconnect(a->call);
}

static void send_attempt(struct attempt *a, bool own_id)
{
	memset(a, 0, sizeof(*a));
	snprintf(a->head.request_id, sizeof(a->head.request_id), "%s", ID);
	a->head.own_id = own_id;
	a->call = ws_http_start(http, &(struct ws_http_request){
					      .url = "http://" HOST ":7000/",
					      .method = "GET",
					      .timeout = CALL_TIMEOUT,
					      .max_answer = 4096,
					      .done = on_done,
					      .arg = a,
				      });
	while (!a->ended)
		ev_run(loop, EVRUN_ONCE);
}

/* Guards against "not run" for a request that is running (review case 2). */
START_TEST(second_copy_of_a_rejection_is_not_believed)
{
	struct attempt a;

	start();
	send_attempt(&a, false);
	ck_assert_int_eq(a.result.outcome, WS_OUT_NOT_RUN);
	send_attempt(&a, false);
	ck_assert_int_eq(runs, 1);
	ck_assert_int_eq(a.result.outcome, WS_OUT_DONE);
	ws_payload_unref(payloads, a.result.payload);
	stop();
}
END_TEST

/* An id that no other attempt uses tells copies apart. */
START_TEST(rejection_under_an_own_id_keeps_its_connection)
{
	struct attempt a;

	start();
	send_attempt(&a, true);
	ck_assert_int_eq(a.result.outcome, WS_OUT_NOT_RUN);
	send_attempt(&a, true);
	ck_assert_int_eq(n_cons, 1);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		second_copy_of_a_rejection_is_not_believed,
		rejection_under_an_own_id_keeps_its_connection,
	};

	return ed_suite_run("attempt", tests, 2);
}
