#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "edgeio/ws_eio_checks.h"

/* Checks of servers on loopback. */

#define ADDRESS "127.19.24.1:7000"
#define RUN_TIME 0.2

static struct ev_loop *loop;
static struct ws_eio io;
static int listener = -1;

static void stop(EV_P_ ev_timer *w, int revents)
{
	(void)w;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void run(void)
{
	ev_timer timer;

	ev_timer_init(&timer, stop, RUN_TIME, 0.);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

static int open_listener(void)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(7000),
		.sin_addr.s_addr = htonl(0x7f131801),
	};
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	return fd;
}

static void setup(void)
{
	const struct ws_ed_settings set = { .self = 1, .max_calls = 10 };
	struct ws_ed_listing l = {
		.service = ws_ed_id("open"),
		.zone = 1,
		.slots = 4,
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };

	loop = ev_loop_new(0);
	io.loop = loop;
	io.edge = ws_edge_new(&set);
	io.checks = ws_eio_checks_new(&io);
	snprintf(l.name, sizeof(l.name), "s");
	snprintf(l.address, sizeof(l.address), ADDRESS);
	ev.u.listing = &l;
	ws_eio_handle_event(&io, &ev);
}

static void teardown(void)
{
	ws_eio_checks_free(io.checks);
	ws_edge_free(io.edge);
	ws_ed_fx_free(&io.fx);
	if (listener >= 0)
		close(listener);
	ev_loop_destroy(loop);
}

static uint32_t backoffs(void)
{
	return ws_edge_pool(io.edge)->servers[0].n_backoffs;
}

/* Guards against a crash that is noticed late or never. */
START_TEST(refused_connection_is_reported)
{
	setup();
	ws_eio_checks_start(io.checks, 0);
	run();
	ck_assert_uint_eq(backoffs(), 1);
	teardown();
}
END_TEST

/* Guards against strikes for connections that only were reset. */
START_TEST(accepted_connection_is_no_crash)
{
	setup();
	listener = open_listener();
	ws_eio_checks_start(io.checks, 0);
	run();
	ck_assert_uint_eq(backoffs(), 0);
	teardown();
}
END_TEST

/* Guards against a result that arrives for a later process of the server. */
START_TEST(refusal_of_a_former_process_is_ignored)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CHECK_REFUSED };

	setup();
	ev.u.check_refused.server = ws_ed_id("s");
	ev.u.check_refused.started_ms = 1;
	ws_eio_handle_event(&io, &ev);
	ck_assert_uint_eq(backoffs(), 0);
	teardown();
}
END_TEST

/* Guards against sockets that stay open. */
START_TEST(open_checks_end_with_the_process)
{
	setup();
	listener = open_listener();
	ws_eio_checks_start(io.checks, 0);
	ws_eio_checks_start(io.checks, 0);
	teardown();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		refused_connection_is_reported,
		accepted_connection_is_no_crash,
		refusal_of_a_former_process_is_ignored,
		open_checks_end_with_the_process,
	};

	return ed_suite_run("eio_checks", tests, 4);
}
