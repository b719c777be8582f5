#include <arpa/inet.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ed_suite.h"
#include "io/ws_mhd.h"

/*
 * Guards against a crash when a handler asks for the number of open
 * connections: that query makes libmicrohttpd free closed connections, also
 * those that it is about to access.
 */

#define CLIENTS 40
#define ROUNDS 60
#define PORT 18473

static struct ws_mhd *mhd;
static unsigned n_nonzero_counts;

static enum MHD_Result on_access(void *arg, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **cls)
{
	struct MHD_Response *response;
	enum MHD_Result res;

	(void)arg;
	(void)url;
	(void)method;
	(void)version;
	(void)data;
	(void)cls;
	*len = 0;
	n_nonzero_counts += ws_mhd_connections(mhd) > 0;
	response = MHD_create_response_from_buffer(0, (void *)(uintptr_t) "",
						   MHD_RESPMEM_PERSISTENT);
	res = MHD_queue_response(con, 200, response);
	MHD_destroy_response(response);
	return res;
}

static void *on_begin(void *arg, const char *uri, struct MHD_Connection *con)
{
	(void)arg;
	(void)uri;
	/* Puts the connection on libmicrohttpd's list of timeouts. */
	MHD_set_connection_option(con, MHD_CONNECTION_OPTION_TIMEOUT, 16U);
	return NULL;
}

static void on_completed(void *arg, struct MHD_Connection *con, void **cls,
			 enum MHD_RequestTerminationCode code)
{
	(void)arg;
	(void)con;
	(void)cls;
	(void)code;
}

static int connect_client(void)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(PORT) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	ck_assert_int_eq((int)send(fd, text, strlen(text), MSG_NOSIGNAL),
			 (int)strlen(text));
}

static void run_loop(struct ev_loop *loop)
{
	int i;

	for (i = 0; i < 4; i++)
		ev_run(loop, EVRUN_NOWAIT);
}

START_TEST(handler_may_count_connections)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	struct ev_loop *loop = ev_loop_new(0);
	const struct ws_mhd_conf conf = {
		.address = "127.0.0.1:18473",
		.max_connections = 200,
		.handler = on_access,
		.begin = on_begin,
		.completed = on_completed,
	};
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	int fds[CLIENTS];
	int round;
	int i;

	mhd = ws_mhd_new(loop, &conf);
	ck_assert_ptr_nonnull(mhd);
	for (round = 0; round < ROUNDS; round++) {
		for (i = 0; i < CLIENTS; i++)
			fds[i] = connect_client();
		run_loop(loop);
		for (i = 0; i < CLIENTS; i++)
			send_text(fds[i], request);
		run_loop(loop);
		/* Some clients close while others send, in one iteration. */
		for (i = 0; i < CLIENTS; i++) {
			if (i % 3 == 0) {
				send_text(fds[i], request);
				continue;
			}
			if (i % 3 == 1)
				setsockopt(fds[i], SOL_SOCKET, SO_LINGER,
					   &reset, sizeof(reset));
			close(fds[i]);
		}
		run_loop(loop);
		for (i = 0; i < CLIENTS; i += 3)
			close(fds[i]);
		run_loop(loop);
	}
	ck_assert_uint_gt(n_nonzero_counts, CLIENTS);
	ck_assert_uint_eq(ws_mhd_connections(mhd), 0);
	ws_mhd_free(mhd);
	ev_loop_destroy(loop);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = { handler_may_count_connections };

	return ed_suite_run("mhd", tests, 1);
}
