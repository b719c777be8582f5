#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "edgeio/ws_eio_daemon.h"

/* Signals to the program wagtailshift-edge. */

static const char settings[] =
	"{\"local_node\":{\"node\":\"n1\",\"ip\":\"127.19.23.1\",\"zone\":\"z\","
	"\"limits\":{\"memory_mb\":260,\"max_fds\":4100}},"
	"\"network\":{\"listen\":{\"front\":\"127.19.23.1:7100\","
	"\"ready\":\"127.19.23.1:7101\"},\"internal_ports\":[7110,7120]},"
	"\"platform\":{\"platform\":{\"address\":\"127.19.23.1:7000\"}},"
	"\"terms\":{\"bounds\":{\"revoke_s\":5,\"grace_s\":2,"
	"\"budget_ratio\":0.2,\"budget_slack\":60,\"quota_slack\":20}}}";

static char dir[] = "/tmp/wagtailshift-test-XXXXXX";
static char fifo[64];
static char file[64];
static pid_t pid;

static void write_settings(int fd)
{
	ssize_t len = (ssize_t)strlen(settings);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq((int)write(fd, settings, (size_t)len), (int)len);
}

/*
 * Starts a process that waits for its settings, which are to come from a FIFO.
 * @return the FIFO
 */
static int start_process(void)
{
	char program[] = "wagtailshift-edge";
	char option[] = "--settings";
	char *argv[] = { program, option, fifo, NULL };

	pid = fork();
	ck_assert_int_ge(pid, 0);
	if (!pid)
		_exit(ws_eio_daemon_main(3, argv));
	return open(fifo, O_WRONLY);
}

static void setup(void)
{
	ck_assert_ptr_nonnull(mkdtemp(dir));
	snprintf(fifo, sizeof(fifo), "%s/fifo", dir);
	snprintf(file, sizeof(file), "%s/file", dir);
	ck_assert_int_eq(mkfifo(fifo, 0600), 0);
}

static void teardown(void)
{
	unlink(fifo);
	unlink(file);
	rmdir(dir);
}

/* Guards against a signal that ends a process before its handlers are set. */
START_TEST(signals_during_start_are_handled)
{
	int fd = start_process();
	int status;
	int copy = open(file, O_WRONLY | O_CREAT, 0600);

	kill(pid, SIGHUP);
	kill(pid, SIGTERM);
	write_settings(copy);
	close(copy);
	/* For SIGHUP, which makes the process read its settings again. */
	ck_assert_int_eq(rename(file, fifo), 0);
	write_settings(fd);
	close(fd);
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	ck_assert_msg(WIFEXITED(status) && !WEXITSTATUS(status),
		      "wait status %d", status);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("eio_daemon");
	TCase *c = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, signals_during_start_are_handled);
	tcase_set_timeout(c, 20);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
