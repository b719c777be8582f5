#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "io/ws_http.h"

/*
 * The HTTP client against targets in trouble: a late second copy of an answer
 * on a connection in use again, and bytes without end in a head or a body.
 * The target is a raw socket server on loopback that plays one script.
 */

#define HOST "127.19.21.1"
#define PORT 7000
#define URL "http://127.19.21.1:7000/"
#define CONS_MAX 16
#define ANSWER_MAX ((size_t)1024 * 1024)
#define GATHERED_MAX ((size_t)1536 * 1024)
/* Beyond what is gathered, sockets hold some more. */
#define SENT_MAX ((size_t)24 * 1024 * 1024)
#define GIVE_UP (10 * WS_SECOND)

enum script {
	LATE_COPY, /* before its second answer a connection repeats the first */
	ENDLESS_HEAD,
	ENDLESS_INFORMATIONAL, /* 1xx after 1xx */
	ENDLESS_CHUNKS,
	ENDLESS_BODY, /* no length, ends with the connection */
	SCRIPTS,
};

static const char *const flood[SCRIPTS] = {
	[ENDLESS_HEAD] = "X-Filler: 0123456789012345678901234567890123456\r\n",
	[ENDLESS_INFORMATIONAL] = "HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n",
	[ENDLESS_CHUNKS] = "20\r\n01234567890123456789012345678901\r\n",
	[ENDLESS_BODY] = "01234567890123456789012345678901",
};

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const char *const opening[SCRIPTS] = {
	[ENDLESS_HEAD] = "HTTP/1.1 200 OK\r\n",
	[ENDLESS_INFORMATIONAL] = "",
	[ENDLESS_CHUNKS] = CHUNKED_HEAD,
	[ENDLESS_BODY] = "HTTP/1.1 200 OK\r\n\r\n",
};

struct con {
	ev_io io;
	enum script script;
	int requests;
};

struct outcome {
	bool ended;
	enum ws_http_outcome end;
	char body[16];
};

static struct ev_loop *loop;
static struct ws_http *http;
static enum script script;
static ev_io acceptor;
static struct con cons[CONS_MAX];
static int n_cons;
static size_t sent; /* by the target, without what it answers with an end */

static void put(struct con *c, const char *text)
{
	ssize_t n = send(c->io.fd, text, strlen(text), MSG_NOSIGNAL);

	if (n > 0)
		sent += (size_t)n;
}

static void answer(struct con *c, int number)
{
	char text[128];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na%d", number);
	put(c, text);
}

static void on_con(EV_P_ ev_io *w, int revents)
{
	struct con *c = (struct con *)w;
	char buf[4096];
	ssize_t n;

	if (revents & EV_WRITE) {
		char block[8192];
		size_t len = strlen(flood[c->script]);
		size_t i;

		for (i = 0; i + len < sizeof(block); i += len)
			memcpy(block + i, flood[c->script], len);
		block[i] = '\0';
		put(c, block);
	}
	if (!(revents & EV_READ))
		return;
	n = recv(w->fd, buf, sizeof(buf), 0);
	if (n <= 0) {
		ev_io_stop(loop, w);
		close(w->fd);
		return;
	}
	c->requests++;
	if (c->script == LATE_COPY) {
		if (c->requests > 1)
			answer(c, c->requests - 1);
		answer(c, c->requests);
		return;
	}
	put(c, opening[c->script]);
	ev_io_stop(loop, w);
	ev_io_set(w, w->fd, EV_READ | EV_WRITE);
	ev_io_start(loop, w);
}

static void on_accept(EV_P_ ev_io *w, int revents)
{
	int fd = accept(w->fd, NULL, NULL);

	(void)revents;
	ck_assert_int_lt(n_cons, CONS_MAX);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	ev_io_init(&cons[n_cons].io, on_con, fd, EV_READ);
	cons[n_cons].script = script;
	cons[n_cons].requests = 0;
	ev_io_start(loop, &cons[n_cons++].io);
}

static void start(enum script s)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(PORT) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	script = s;
	n_cons = 0;
	sent = 0;
	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	inet_pton(AF_INET, HOST, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	ck_assert_int_eq(listen(fd, CONS_MAX), 0);
	ev_io_init(&acceptor, on_accept, fd, EV_READ);
	ev_io_start(loop, &acceptor);
	http = ws_http_new(loop);
	ws_http_set_receive_limit(http, GATHERED_MAX);
}

static void stop(void)
{
	ws_http_free(http);
	close(acceptor.fd);
	ev_loop_destroy(loop);
}

static void on_done(void *arg, const struct ws_http_result *res)
{
	struct outcome *o = arg;

	o->ended = true;
	o->outcome = res->outcome;
	if (res->outcome == WS_HTTP_DONE &&
	    res->answer.data_len < sizeof(o->body))
		memcpy(o->body, res->answer.data, res->answer.data_len);
}

static void begin(struct outcome *o, bool fresh)
{
	const struct ws_http_request req = {
		.url = URL,
		.method = "GET",
		.timeout = GIVE_UP,
		.max_answer = ANSWER_MAX,
		.new_connection = fresh,
		.allow_unframed = true,
		.done = on_done,
		.arg = o,
	};

	memset(o, 0, sizeof(*o));
	ws_http_start(http, &req);
}

static void await(const struct outcome *o)
{
	ev_tstamp end = ev_time() + (double)GIVE_UP / (double)WS_SECOND;

	while (!o->ended && ev_time() < end)
		ev_run(loop, EVRUN_ONCE);
	ck_assert(o->ended);
}

/*
 * Guards against a release that is taken as done because a late second copy of
 * another answer came on a kept connection (leiedal-vijver scale-1: OWNER).
 */
START_TEST(fresh_call_meets_no_late_copy)
{
	struct outcome o;

	start(LATE_COPY);
	begin(&o, false);
	await(&o);
	ck_assert_str_eq(o.body, "a1");
	begin(&o, true);
	await(&o);
	ck_assert_int_eq(n_cons, 2);
	ck_assert_int_eq(cons[1].requests, 1);
	ck_assert_str_eq(o.body, "a1");
	stop();
}
END_TEST

/* Guards against a target that fills the memory until the caller closes. */
START_TEST(bytes_without_end_are_broken_off)
{
	struct outcome o;

	start((enum script)(ENDLESS_HEAD + _i));
	begin(&o, false);
	await(&o);
	ck_assert_int_eq(o.end, WS_HTTP_BROKEN);
	ck_assert_uint_lt(sent, SENT_MAX);
	/* What broke one call off leaves room for the next. */
	script = LATE_COPY;
	begin(&o, false);
	await(&o);
	ck_assert_int_eq(o.end, WS_HTTP_DONE);
	stop();
}
END_TEST

/* Guards against answers that are each small enough, but not all together. */
START_TEST(all_answers_together_are_bounded)
{
	struct outcome o[3];
	int i;

	start(ENDLESS_CHUNKS);
	for (i = 0; i < 3; i++)
		begin(&o[i], false);
	for (i = 0; i < 3; i++) {
		await(&o[i]);
		ck_assert_int_eq(o[i].end, WS_HTTP_BROKEN);
	}
	ck_assert_uint_lt(sent, SENT_MAX);
	stop();
}
END_TEST

int main(void)
{
	const TTest *const floods[] = { bytes_without_end_are_broken_off };
	const TTest *const tests[] = {
		fresh_call_meets_no_late_copy,
		all_answers_together_are_bounded,
	};
	int res = ed_suite_run_each("http", floods, 1, SCRIPTS - ENDLESS_HEAD);

	return ed_suite_run("http", tests, 2) || res;
}
