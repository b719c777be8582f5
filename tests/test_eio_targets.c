#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "ed_suite.h"
#include "edgeio/ws_eio_targets.h"
#include "io/ws_server.h"
#include "platform/wp_wire.h"

/* Requests, key grants and releases sent to a server on loopback. */

#define ADDRESS "127.19.22.1:7000"

static struct ev_loop *loop;
static struct ws_timers *timers;
static struct ws_server *server;
static struct ws_eio io;
static unsigned status = 200; /* of its answers */
static unsigned arrived;
static unsigned connections; /* open ones when the last call arrived */
static char target[32]; /* that the last call was meant for */

static void on_call(void *arg, struct ws_server_request *req)
{
	static const char headers[] = WP_HEADER_REQUEST_ID
		": r1\0Wagtailshift-Server-Seal: s";
	const struct ws_server_answer a = {
		.status = status,
		.headers = headers,
		.headers_len = strcmp(req->method, "POST") ? sizeof(headers) :
							     0,
	};

	const struct ws_body b = { .headers = req->headers.text,
				   .headers_len = req->headers.len };
	const char *name = ws_body_header(&b, WP_HEADER_TARGET);

	(void)arg;
	snprintf(target, sizeof(target), "%s", name ? name : "");
	arrived++;
	connections = ws_server_connections(server);
	ws_server_answer(req, &a);
}

static void on_gone(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static void start(void)
{
	static const struct ws_server_ops ops = {
		.on_request = on_call,
		.on_disconnect = on_gone,
	};
	const struct ws_server_conf conf = {
		.ops = &ops,
		.address = ADDRESS,
		.max_connections = 10,
		.max_receiving = 10000,
		.now = ws_eio_now,
	};
	const struct ws_ed_settings set = { .self = 1, .max_calls = 10 };
	struct ws_server_conf c = conf;

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	timers = ws_timer_new();
	c.timers = timers;
	server = ws_server_new(loop, &c);
	ck_assert_ptr_nonnull(server);
	memset(&io, 0, sizeof(io));
	io.loop = loop;
	io.settings.memory_max = (size_t)160 * 1024 * 1024;
	io.http = ws_http_new(loop);
	io.edge = ws_edge_new(&set);
	io.targets = ws_eio_targets_new(&io);
	arrived = 0;
}

static void stop(void)
{
	ws_eio_targets_free(io.targets);
	ws_edge_free(io.edge);
	ws_http_free(io.http);
	ws_ed_fx_free(&io.fx);
	ws_server_free(server);
	ws_timer_free(timers);
	ev_loop_destroy(loop);
}

static void on_wake(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
}

/* Runs the loop for some time. */
static void run_loop(void)
{
	ev_timer wake;
	int i;

	ev_timer_init(&wake, on_wake, 0., 0.005);
	ev_timer_start(loop, &wake);
	for (i = 0; i < 100; i++)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
}

static void call(bool grant)
{
	struct ws_ed_key_call c = { .ref = 1,
				    .to = 9,
				    .lease_duration = WS_SECOND };
	unsigned before = arrived;

	snprintf(c.name, sizeof(c.name), "s1");
	snprintf(c.address, sizeof(c.address), ADDRESS);
	ws_eio_targets_start_key_call(io.targets, &c, grant);
	run_loop();
	ck_assert_uint_eq(arrived, before + 1);
}

/*
 * Guards against a late duplicate of an earlier answer on a reused connection
 * that is taken for the answer to a release: the keys moved to another server
 * while their holder worked on them (OWNER in scale-1 of leiedal-vijver with
 * "extra late" answers).
 */
START_TEST(release_uses_a_connection_of_its_own)
{
	start();
	call(true);
	ck_assert_uint_eq(connections, 1);
	call(true);
	ck_assert_uint_eq(connections, 1);
	call(false);
	ck_assert_uint_eq(connections, 2);
	call(false);
	ck_assert_uint_ge(connections, 3);
	stop();
}
END_TEST

/* Guards against OWNER: another server, which now has the address, takes keys.
 */
START_TEST(calls_about_keys_name_their_server)
{
	start();
	call(true);
	ck_assert_str_eq(target, "s1");
	call(false);
	ck_assert_str_eq(target, "s1");
	stop();
}
END_TEST

/*
 * Guards against a late duplicate of a 421 or 409 that is taken for the answer
 * to a later grant: the leader would conclude that it was not executed.
 */
START_TEST(refused_grant_closes_its_connection)
{
	static const unsigned refusals[] = { 421, 409, 503 };
	size_t i;

	start();
	for (i = 0; i < 3; i++) {
		status = refusals[i];
		call(true);
		ck_assert_uint_eq(ws_server_connections(server), 0);
	}
	status = 200;
	call(true);
	ck_assert_uint_eq(ws_server_connections(server), 1);
	stop();
}
END_TEST

static const char *request_id = "r1"; /* the server always answers "r1" */

static void send_request(bool resent)
{
	const struct ws_eio_request r = {
		.id = 1,
		.resent = resent,
		.request_id = request_id,
		.method = "DELETE",
		.uri = "/k",
		.host = "h",
	};
	unsigned before = arrived;
	struct ws_ed_listing l = {
		.name = "s1", .address = ADDRESS, .service = 1, .slots = 4
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };

	ev.u.listing = &l;
	ev.now = ws_eio_now();
	ws_edge_step(io.edge, &ev, &io.fx);
	io.fx.n = 0;
	ws_eio_targets_send(io.targets, &r, 0, ws_eio_now() + WS_SECOND);
	run_loop();
	ck_assert_uint_eq(arrived, before + 1);
}

/*
 * Guards against a late second copy of a rejection that is taken for the answer
 * to the next send of the same request, while the server runs it (review case
 * 2). Other requests share connections.
 */
START_TEST(resent_request_uses_another_connection)
{
	start();
	send_request(false);
	ck_assert_uint_eq(connections, 1);
	send_request(false);
	ck_assert_uint_eq(connections, 1);
	send_request(true);
	ck_assert_uint_eq(connections, 2);
	stop();
}
END_TEST

/*
 * Guards against MIXED: a connection that is used again after an answer to
 * another request, so that each answer comes one request late.
 */
START_TEST(answer_to_another_request_closes_its_connection)
{
	start();
	request_id = "r2";
	send_request(false);
	ck_assert_uint_eq(ws_server_connections(server), 0);
	request_id = "r1";
	send_request(false);
	ck_assert_uint_eq(ws_server_connections(server), 1);
	stop();
}
END_TEST

/*
 * Guards against a 503 that is passed on although nothing shows that the
 * request has not run: callers take that status for a promise.
 */
START_TEST(status_that_promises_needs_the_statement)
{
	static const char sealed[] = WP_HEADER_REQUEST_ID
		": r1\0Wagtailshift-Server-Seal: s";
	static const char stated[] = WP_HEADER_REQUEST_ID
		": r1\0Wagtailshift-Not-Executed: full";
	static const uint16_t promises[] = { 408, 429, 503 };
	struct ws_http_result res = { .outcome = WS_HTTP_DONE };
	size_t i;

	for (i = 0; i < 3; i++) {
		res.answer = (struct ws_body){ .status = promises[i],
					       .headers = sealed,
					       .headers_len = sizeof(sealed) };
		ck_assert_int_eq(ws_eio_targets_end("r1", &res),
				 WS_ED_END_CONNECTION_LOST);
		res.answer.headers = stated;
		res.answer.headers_len = sizeof(stated);
		ck_assert_int_eq(ws_eio_targets_end("r1", &res),
				 WS_ED_END_SHED);
		ck_assert_int_eq(ws_eio_targets_end("r2", &res),
				 WS_ED_END_CONNECTION_LOST);
	}
	res.answer.status = 500;
	res.answer.headers = sealed;
	res.answer.headers_len = sizeof(sealed);
	ck_assert_int_eq(ws_eio_targets_end("r1", &res), WS_ED_END_FAILED);
}
END_TEST

/*
 * Guards against a redirection or refusal that is forwarded, clears strikes and
 * ends a hedge although no server has proved to be its own (DENIED). One that
 * states that the request has not run is a rejection, whatever its status.
 */
START_TEST(refusal_needs_the_seal)
{
	static const char unsealed[] = WP_HEADER_REQUEST_ID
		": r1\0Content-Type: text/html";
	static const char sealed[] = WP_HEADER_REQUEST_ID
		": r1\0Wagtailshift-Server-Seal: s";
	static const char stated[] = WP_HEADER_REQUEST_ID
		": r1\0Wagtailshift-Not-Executed: no id";
	static const uint16_t final[] = { 301, 304, 400, 401, 404, 413, 431 };
	struct ws_http_result res = { .outcome = WS_HTTP_DONE };
	size_t i;

	for (i = 0; i < sizeof(final) / sizeof(final[0]); i++) {
		res.answer =
			(struct ws_body){ .status = final[i],
					  .headers = unsealed,
					  .headers_len = sizeof(unsealed) };
		ck_assert_int_eq(ws_eio_targets_end("r1", &res),
				 WS_ED_END_CONNECTION_LOST);
		res.answer.headers = sealed;
		res.answer.headers_len = sizeof(sealed);
		ck_assert_int_eq(ws_eio_targets_end("r1", &res), WS_ED_END_OK);
		ck_assert_int_eq(ws_eio_targets_end("r2", &res),
				 WS_ED_END_CONNECTION_LOST);
		res.answer.headers = stated;
		res.answer.headers_len = sizeof(stated);
		ck_assert_int_eq(ws_eio_targets_end("r1", &res),
				 WS_ED_END_SHED);
	}
	res.answer = (struct ws_body){ .status = 421,
				       .headers = unsealed,
				       .headers_len = sizeof(unsealed) };
	ck_assert_int_eq(ws_eio_targets_end("r1", &res), WS_ED_END_SHED);
	res.answer.status = 500;
	ck_assert_int_eq(ws_eio_targets_end("r1", &res), WS_ED_END_FAILED);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		release_uses_a_connection_of_its_own,
		calls_about_keys_name_their_server,
		refused_grant_closes_its_connection,
		resent_request_uses_another_connection,
		answer_to_another_request_closes_its_connection,
		status_that_promises_needs_the_statement,
		refusal_needs_the_seal,
	};

	return ed_suite_run("eio_targets", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
