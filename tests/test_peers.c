#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"
#include "wire/ws_seal.h"

#define SECRET "0123456789abcdef0123456789abcdef"
#define PEER_ID 0x1122334455667788
#define PEER_ID_TEXT "1122334455667788"

/* The test plays the peer itself, with this listener and these secrets. */
static struct rig rig;
static struct ws_secrets secrets;
static int listener;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int open_listener(void)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t len = sizeof(a);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&a, len), 0);
	ck_assert_int_eq(listen(listener, 8), 0);
	getsockname(listener, (struct sockaddr *)&a, &len);
	return ntohs(a.sin_port);
}

static void setup(void)
{
	char entry[256];
	struct rig_answer answer;

	rig_start(&rig, 1000);
	snprintf(entry, sizeof(entry),
		 "{\"role\":\"instance\",\"name\":\"r2\",\"id\":\"" PEER_ID_TEXT
		 "\",\"zone\":\"z1\",\"address\":\"127.0.0.1:%d\","
		 "\"state\":\"live\",\"ttl_ms\":60000}",
		 open_listener());
	rig_http(rig.list_port, "POST", "/list", NULL, entry, strlen(entry),
		 &answer);
	ck_assert_int_eq(answer.status, 200);
	secrets.n = 0;
	ws_secrets_add(&secrets, SECRET);
}

static void teardown(void)
{
	close(listener);
	rig_stop(&rig);
}

static bool wait_readable(int fd, int timeout_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };

	return poll(&p, 1, timeout_ms) > 0;
}

static int accept_link(void)
{
	ck_assert_msg(wait_readable(listener, 4000),
		      "no connection was opened");
	return accept(listener, NULL, NULL);
}

static void read_exactly(int fd, void *to, size_t len)
{
	ck_assert_int_eq(recv(fd, to, len, MSG_WAITALL), (ssize_t)len);
}

/*
 * Reads and discards until the other side closes. Returns the milliseconds, or
 * -1 if it sends nothing for 4 s.
 */
static int64_t time_to_close(int fd)
{
	int64_t start = now_ms();
	char buf[4096];

	while (wait_readable(fd, 4000))
		if (recv(fd, buf, sizeof(buf), 0) <= 0)
			return now_ms() - start;
	return -1;
}

/* Accepts the handshake of an outbound link. */
static void complete_handshake(int fd, struct ws_seal *seal)
{
	uint8_t hello[WS_SEAL_HELLO_LEN];
	uint8_t reply[WS_SEAL_REPLY_LEN];
	uint8_t header[WS_SEAL_HEADER_LEN];

	read_exactly(fd, hello, sizeof(hello));
	ck_assert_int_eq(ws_seal_acceptor_start(seal, &secrets, PEER_ID, hello,
						reply),
			 0);
	ck_assert_int_eq(send(fd, reply, sizeof(reply), MSG_NOSIGNAL),
			 (ssize_t)sizeof(reply));
	read_exactly(fd, header, sizeof(header));
	ck_assert_int_eq(ws_seal_acceptor_finish(seal, header), 0);
}

/* Guards against waiting forever for a peer that sends nothing. */
START_TEST(connection_without_acknowledgements_is_reopened)
{
	struct ws_seal seal;
	int fd = accept_link();
	int64_t closed;

	complete_handshake(fd, &seal);
	closed = time_to_close(fd);
	ck_assert_msg(closed >= 900 && closed < 1600, "%d ms", (int)closed);
	close(fd);
	close(accept_link());
}
END_TEST

START_TEST(connection_without_handshake_reply_is_reopened)
{
	int fd = accept_link();
	int64_t closed = time_to_close(fd);

	ck_assert_msg(closed >= 0 && closed < 1600, "%d ms", (int)closed);
	close(fd);
	close(accept_link());
}
END_TEST

/*
 * Guards against messages that reach another instance which now listens on the
 * address of the intended one.
 */
START_TEST(reply_of_another_instance_is_rejected)
{
	uint8_t hello[WS_SEAL_HELLO_LEN];
	uint8_t reply[WS_SEAL_REPLY_LEN];
	struct ws_seal seal;
	int fd = accept_link();

	read_exactly(fd, hello, sizeof(hello));
	ck_assert_int_eq(ws_seal_acceptor_start(&seal, &secrets, PEER_ID + 1,
						hello, reply),
			 0);
	send(fd, reply, sizeof(reply), MSG_NOSIGNAL);
	ck_assert_int_lt(time_to_close(fd), 500);
	close(fd);
}
END_TEST

static int connect_peer(void)
{
	return rig_connect_and_send(rig.peers_port, "");
}

START_TEST(hello_under_another_secret_is_rejected)
{
	struct ws_secrets other = { .n = 0 };
	uint8_t hello[WS_SEAL_HELLO_LEN];
	struct ws_seal seal;
	int fd = connect_peer();
	char byte;

	ws_secrets_add(&other, "ffffffffffffffffffffffffffffffff");
	ws_seal_initiator_start(&seal, &other, PEER_ID, hello);
	send(fd, hello, sizeof(hello), MSG_NOSIGNAL);
	ck_assert(wait_readable(fd, 500));
	ck_assert_int_le(recv(fd, &byte, 1, 0), 0);
	close(fd);
}
END_TEST

/*
 * Guards against a receiver that waits or allocates memory for a record of
 * invalid length, in particular before the sender is authenticated.
 */
START_TEST(record_of_invalid_length_closes_the_connection)
{
	static const uint8_t marks[][4] = {
		{ 0xff, 0xff, 0xff, 0xff }, /* too long */
		{ 0x80, 0x00, 0x00, 0x40 }, /* longer than a proof record */
		{ 0x80, 0x00, 0x00, 0x01 }, /* shorter than WS_SEAL_OVERHEAD */
		{ 0x00, 0x00, 0x00, 0x40 }, /* not the last fragment */
	};
	uint8_t hello[WS_SEAL_HELLO_LEN];
	uint8_t reply[WS_SEAL_REPLY_LEN];
	uint8_t header[WS_SEAL_HEADER_LEN];
	struct ws_seal seal;
	int fd = connect_peer();

	ws_seal_initiator_start(&seal, &secrets, PEER_ID, hello);
	send(fd, hello, sizeof(hello), MSG_NOSIGNAL);
	read_exactly(fd, reply, sizeof(reply));
	ck_assert_int_eq(
		ws_seal_initiator_finish(&seal, &secrets, reply, header), 0);
	send(fd, header, sizeof(header), MSG_NOSIGNAL);
	send(fd, marks[_i], 4, MSG_NOSIGNAL);
	ck_assert_int_lt(time_to_close(fd), 500);
	close(fd);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *s = suite_create("peers");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	(void)argc;
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	rig_set_program_dir(argv[0]);
	tcase_add_unchecked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, connection_without_acknowledgements_is_reopened);
	tcase_add_test(tc, connection_without_handshake_reply_is_reopened);
	tcase_add_test(tc, reply_of_another_instance_is_rejected);
	tcase_add_test(tc, hello_under_another_secret_is_rejected);
	tcase_add_loop_test(tc, record_of_invalid_length_closes_the_connection,
			    0, 4);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
