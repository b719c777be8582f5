#define _GNU_SOURCE /* strcasestr */
#include <check.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define MIB ((size_t)1024 * 1024)

static const char *const with_key[] = {
	"Authorization: Bearer " RIG_CALLER_KEY,
	NULL,
};

static struct rig rig;

static void setup(void)
{
	rig_start(&rig, 1000);
}

/* Targets are slow, so that a request is still running at the shutdown. */
static void setup_slow(void)
{
	rig_start(&rig, 400000);
}

static void teardown(void)
{
	rig_stop(&rig);
}

START_TEST(request_reaches_the_owner_and_its_answer_returns)
{
	struct rig_answer a;

	rig_http(rig.callers_port, "GET", "/s/workshop/key%2D1/x?q=1", with_key,
		 NULL, 0, &a);
	ck_assert_int_eq(a.status, 200);
	ck_assert_ptr_nonnull(strstr(a.body, "\"target\":\"t1\""));
	ck_assert_ptr_nonnull(strstr(a.body, "\"customer\":\"acme\""));
	ck_assert_ptr_null(strcasestr(a.headers, "x-wagtailshift"));
}
END_TEST

/* Guarantee 5; the error says that the request did not run, and a remedy. */
START_TEST(request_without_valid_key_is_refused)
{
	const char *const wrong[] = { "Authorization: Bearer nothing", NULL };
	const char *const basic[] = { "Authorization: Basic eDp5", NULL };
	const char *const *cases[] = { NULL, wrong, basic };
	struct rig_answer a;

	rig_http(rig.callers_port, "GET", "/s/workshop/k", cases[_i], NULL, 0,
		 &a);
	ck_assert_msg(a.status == 401 || a.status == 403, "%ld", a.status);
	ck_assert_ptr_nonnull(
		strstr(a.headers, "X-Wagtailshift-Outcome: not-run"));
	ck_assert_ptr_nonnull(strstr(a.body, "\"error\":"));
	ck_assert_ptr_nonnull(strstr(a.body, "\"remedy\":"));
}
END_TEST

START_TEST(internal_service_is_served_on_its_listener_only)
{
	struct rig_answer a;

	rig_http(rig.internal_port, "GET", "/s/pages/a", NULL, NULL, 0, &a);
	ck_assert_int_eq(a.status, 200);
	rig_http(rig.callers_port, "GET", "/s/pages/a", with_key, NULL, 0, &a);
	ck_assert_int_ge(a.status, 400);
	ck_assert_ptr_null(strstr(a.body, "\"target\""));
}
END_TEST

/* Guards against a limit that only checks Content-Length. */
START_TEST(body_above_one_mebibyte_is_refused)
{
	const char *const chunked[] = {
		"Authorization: Bearer " RIG_CALLER_KEY,
		"Transfer-Encoding: chunked",
		NULL,
	};
	char *data = calloc(1, MIB + 1);
	struct rig_answer a;

	rig_http(rig.internal_port, "POST", "/s/pages/a", NULL, data, MIB, &a);
	ck_assert_int_eq(a.status, 200);
	rig_http(rig.internal_port, "POST", "/s/pages/a", NULL, data, MIB + 1,
		 &a);
	ck_assert_int_eq(a.status, 413);
	rig_http(rig.internal_port, "POST", "/s/pages/a", chunked, data,
		 MIB + 1, &a);
	ck_assert_int_eq(a.status, 413);
	ck_assert_ptr_nonnull(
		strstr(a.headers, "X-Wagtailshift-Outcome: not-run"));
	free(data);
}
END_TEST

static const char *const smuggled[] = {
	"Content-Length: 3\r\nContent-Length: 3",
	"Content-Length: 3\r\nContent-Length: 4",
	"Content-Length: 3\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: chunked\r\nContent-Length: 3",
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: gzip, chunked",
	"Content-Length: +3",
	"Content-Length: 3, 3",
	"Content-Length: 3\r\nX-Wagtailshift-Customer: other",
	"Content-Length: 3\r\nx-wagtailshift-fence: 9",
	"Content-Length: 3\r\nHost: second",
};

/* Guards against a target that parses another request than the checked one. */
START_TEST(smuggled_header_is_refused)
{
	char request[512];
	char answer[2048];
	int fd;

	snprintf(request, sizeof(request),
		 "POST /s/pages/a HTTP/1.1\r\nHost: a\r\n%s\r\n\r\nabc",
		 smuggled[_i]);
	fd = rig_connect_and_send(rig.internal_port, request);
	rig_read(fd, answer, sizeof(answer), 300);
	close(fd);
	ck_assert_msg(!strncmp(answer, "HTTP/1.1 400", 12), "%s", answer);
	ck_assert_ptr_null(strstr(answer, "\"target\""));
}
END_TEST

static const char *const bad_paths[] = {
	"/s/workshop/../pages/a", "/s/workshop/%2e%2e/a", "/s/workshop/a%",
	"/s/workshop/a%00b",	  "/s/workshop/a%2Fb",	  "/s/workshop",
};

/* Guards against a target that normalises a path and serves another key. */
START_TEST(ambiguous_path_is_refused)
{
	struct rig_answer a;

	rig_http(rig.callers_port, "GET", bad_paths[_i], with_key, NULL, 0, &a);
	ck_assert_int_eq(a.status, 400);
}
END_TEST

/* Writes an Idempotency-Key header with a UUID version 7 of this moment. */
static void make_request_id(char *line, size_t size)
{
	struct timespec ts;
	uint64_t ms;
	uint32_t r[3];

	clock_gettime(CLOCK_REALTIME, &ts);
	ms = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	randombytes_buf(r, sizeof(r));
	snprintf(line, size, "Idempotency-Key: %08x-%04x-7%03x-8%03x-%04x%08x",
		 (unsigned)(ms >> 16), (unsigned)(ms & 0xffff), r[0] & 0xfff,
		 r[0] >> 20, r[1] & 0xffff, r[2]);
}

/* Guarantee 9; a repeated request doesn't run again or crash the daemon. */
START_TEST(resent_request_gets_the_first_answer)
{
	char id[80];
	const char *const headers[] = { with_key[0], id, NULL };
	struct rig_answer first;
	struct rig_answer again;

	make_request_id(id, sizeof(id));
	rig_http(rig.callers_port, "POST", "/s/workshop/k", headers, "a", 1,
		 &first);
	ck_assert_int_eq(first.status, 200);
	rig_http(rig.callers_port, "POST", "/s/workshop/k", headers, "a", 1,
		 &again);
	ck_assert_int_eq(again.status, 200);
	ck_assert_str_eq(first.body, again.body);
	rig_http(rig.callers_port, "POST", "/s/workshop/k", headers, "b", 1,
		 &again);
	ck_assert_int_eq(again.status, 422);
}
END_TEST

/* Counts the executions of a path by the target of the sharded service. */
static int count_executions(const char *path)
{
	char line[2048];
	int n = 0;
	FILE *in = fopen(rig.journal, "re");

	ck_assert_ptr_nonnull(in);
	while (fgets(line, sizeof(line), in))
		n += strstr(line, "\"run\"") && strstr(line, path);
	fclose(in);
	return n;
}

/*
 * Guards against a request that runs twice: libcurl sends a request again by
 * default when a reused connection closes without a response.
 */
START_TEST(request_with_lost_response_is_not_sent_again)
{
	char id[80];
	const char *const headers[] = { with_key[0], id, NULL };
	static const char fault[] = "{\"lose_replies\":1}";
	struct rig_answer a;

	rig_http(rig.callers_port, "GET", "/s/workshop/warm", with_key, NULL, 0,
		 &a);
	ck_assert_int_eq(a.status, 200);
	rig_http(rig.target_port, "POST", "/fault", NULL, fault, strlen(fault),
		 &a);
	ck_assert_int_eq(a.status, 200);
	make_request_id(id, sizeof(id));
	rig_http(rig.callers_port, "POST", "/s/workshop/lost", headers, "a", 1,
		 &a);
	ck_assert_int_ge(a.status, 500);
	ck_assert_ptr_nonnull(
		strstr(a.headers, "X-Wagtailshift-Outcome: unknown"));
	ck_assert_int_eq(count_executions("lost"), 1);
}
END_TEST

/* Guarantee 6; a burst of 1 divided by 24 partitions is less than a token. */
START_TEST(request_above_the_rate_is_refused_with_retry_after)
{
	const char *const key[] = {
		"Authorization: Bearer " RIG_CALLER_KEY "-2",
		NULL,
	};
	struct rig_answer a;
	int i;

	for (i = 0; i < 3; i++)
		rig_http(rig.callers_port, "GET", "/s/workshop/k", key, NULL, 0,
			 &a);
	ck_assert_int_eq(a.status, 429);
	ck_assert_ptr_nonnull(strstr(a.headers, "Retry-After: "));
	ck_assert_ptr_nonnull(
		strstr(a.headers, "X-Wagtailshift-Outcome: not-run"));
}
END_TEST

START_TEST(administration_needs_the_token)
{
	const char *const good[] = { "Authorization: Bearer " RIG_TOKEN, NULL };
	const char *const bad[] = { "Authorization: Bearer " RIG_TOKEN "x",
				    NULL };
	static const char *const pages[] = { "/status",	 "/owners", "/shares",
					     "/targets", "/bundle", "/history",
					     "/audit" };
	char path[64];
	struct rig_answer a;
	size_t i;

	for (i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		snprintf(path, sizeof(path), "/admin/v1%s", pages[i]);
		rig_http(rig.admin_port, "GET", path, bad, NULL, 0, &a);
		ck_assert_int_eq(a.status, 401);
		rig_http(rig.admin_port, "GET", path, NULL, NULL, 0, &a);
		ck_assert_int_eq(a.status, 401);
		rig_http(rig.admin_port, "GET", path, good, NULL, 0, &a);
		ck_assert_int_eq(a.status, 200);
		ck_assert_int_eq(a.body[0], '{');
	}
	rig_http(rig.admin_port, "GET", "/readyz", NULL, NULL, 0, &a);
	ck_assert_int_eq(a.status, 200);
	rig_http(rig.admin_port, "GET", "/metrics", NULL, NULL, 0, &a);
	ck_assert_ptr_nonnull(
		strstr(a.body, "wagtailshift_request_seconds_bucket{le="));
}
END_TEST

/* Guards against errors whose remedy misleads the operator. */
START_TEST(administration_refusals_name_their_own_remedy)
{
	const char *const good[] = { "Authorization: Bearer " RIG_TOKEN, NULL };
	struct rig_answer a;

	rig_http(rig.admin_port, "GET", "/admin/v1/status", NULL, NULL, 0, &a);
	ck_assert_ptr_nonnull(strstr(a.body, "token_file"));
	rig_http(rig.admin_port, "GET", "/admin/v1/nothing", good, NULL, 0, &a);
	ck_assert_int_eq(a.status, 404);
	ck_assert_ptr_nonnull(strstr(a.body, "no_such_page"));
	rig_http(rig.admin_port, "GET", "/admin/v1/explain", good, NULL, 0, &a);
	ck_assert_int_eq(a.status, 400);
	ck_assert_ptr_nonnull(strstr(a.body, "service=NAME&key=KEY"));
}
END_TEST

/*
 * Guards against zeros in the instance's own entry, which look like a fault to
 * an operator.
 */
START_TEST(status_shows_own_state_among_the_instances)
{
	const char *const good[] = { "Authorization: Bearer " RIG_TOKEN, NULL };
	struct rig_answer a;
	const char *row;

	rig_http(rig.admin_port, "GET", "/admin/v1/status", good, NULL, 0, &a);
	row = strstr(a.body, "\"instances\"");
	ck_assert_ptr_nonnull(row);
	ck_assert_ptr_nonnull(strstr(row, "\"ready\": true"));
	ck_assert_ptr_nonnull(strstr(row, "\"bundle_version\": 1"));
}
END_TEST

/*
 * Guards against load balancers that send health checks with HEAD and consider
 * every instance unhealthy.
 */
START_TEST(public_pages_support_head)
{
	char buf[512] = "";
	int fd = rig_connect_and_send(rig.admin_port,
				      "HEAD /readyz HTTP/1.1\r\nHost: x\r\n"
				      "Connection: close\r\n\r\n");

	rig_read(fd, buf, sizeof(buf) - 1, 2000);
	close(fd);
	ck_assert_ptr_nonnull(strstr(buf, " 200 OK"));
}
END_TEST

static bool daemon_logged(const char *symbol)
{
	static char text[1 << 20];
	char path[128];
	FILE *f;
	size_t n;

	snprintf(path, sizeof(path), "%s/daemon.out", rig.dir);
	f = fopen(path, "r");
	ck_assert_ptr_nonnull(f);
	n = fread(text, 1, sizeof(text) - 1, f);
	fclose(f);
	text[n] = '\0';
	return strstr(text, symbol) != NULL;
}

static bool logged_within(const char *symbol, int ms)
{
	for (; ms > 0; ms -= 50) {
		if (daemon_logged(symbol))
			return true;
		usleep(50000);
	}
	return false;
}

/* Guards against events 504 and 505 not being logged. */
START_TEST(log_outage_and_recovery_are_logged)
{
	static const char fault[] = "{\"down_ms\":1000}";
	struct rig_answer a;

	ck_assert(!daemon_logged("\"LOG_DOWN\""));
	rig_http(rig.log_port, "POST", "/fault", NULL, fault, sizeof(fault) - 1,
		 &a);
	ck_assert_int_eq(a.status, 200);
	ck_assert(logged_within("\"LOG_DOWN\"", 3000));
	ck_assert(logged_within("\"LOG_UP\"", 5000));
}
END_TEST

/* Returns the value of a metric; name is a whole line up to its value. */
static long metric(const char *name)
{
	struct rig_answer a;
	const char *p;

	rig_http(rig.admin_port, "GET", "/metrics", NULL, NULL, 0, &a);
	p = strstr(a.body, name);
	ck_assert_ptr_nonnull(p);
	return strtol(p + strlen(name), NULL, 10);
}

static long payload_bytes(void)
{
	return metric("\nwagtailshift_payload_bytes ");
}

/*
 * Guards against a key with two owners: a target answers a grant, without an
 * id, and a late copy of that answer is taken for the one to the grant that
 * takes a key away.
 */
START_TEST(grant_uses_a_connection_of_its_own)
{
	static const char opened[] = "\nwagtailshift_target_connections_total ";
	long before = metric(opened);

	/* Each grant is renewed every 0.3 s. */
	sleep(2);
	ck_assert_int_ge(metric(opened) - before, 4);
}
END_TEST

/* Guards against payloads that are never released and fill the memory. */
START_TEST(payloads_are_released_after_the_responses)
{
	struct rig_answer a;
	long before = payload_bytes();
	int i;

	for (i = 0; i < 50; i++) {
		rig_http(rig.callers_port, "GET", "/s/workshop/k", with_key,
			 NULL, 0, &a);
		ck_assert_int_eq(a.status, 200);
	}
	ck_assert_int_eq(payload_bytes(), before);
}
END_TEST

static bool metrics_contain(const char *word)
{
	char page[16384];
	int fd = rig_connect_and_send(
		rig.admin_port, "GET /metrics HTTP/1.0\r\nHost: a\r\n\r\n");

	rig_read(fd, page, sizeof(page), 500);
	close(fd);
	return strstr(page, word) != NULL;
}

/* Guards against targets that keep working for disconnected callers. */
START_TEST(disconnect_of_the_caller_cancels_its_request)
{
	int fd = rig_connect_and_send(
		rig.callers_port,
		"GET /s/workshop/k HTTP/1.1\r\nHost: a\r\n"
		"Authorization: Bearer " RIG_CALLER_KEY "\r\n\r\n");

	usleep(100000);
	ck_assert(metrics_contain("\nwagtailshift_attempts_open 1\n"));
	close(fd);
	usleep(150000);
	ck_assert(metrics_contain("\nwagtailshift_attempts_open 0\n"));
}
END_TEST

/* Guarantee 11; open requests get their response. */
START_TEST(shutdown_lets_open_requests_finish)
{
	char answer[4096];
	int fd = rig_connect_and_send(
		rig.callers_port,
		"GET /s/workshop/k HTTP/1.1\r\nHost: a\r\n"
		"Authorization: Bearer " RIG_CALLER_KEY "\r\n\r\n");

	usleep(100000);
	kill(rig.daemon, SIGTERM);
	rig_read(fd, answer, sizeof(answer), 3000);
	close(fd);
	ck_assert_msg(!strncmp(answer, "HTTP/1.1 200", 12), "%s", answer);
	ck_assert_ptr_nonnull(strstr(answer, "\"target\":\"t1\""));
	ck_assert_int_eq(rig_wait_daemon(&rig, 15000), 0);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *s = suite_create("daemon");
	TCase *tc = tcase_create("serving");
	TCase *stop = tcase_create("stopping");
	SRunner *sr;
	int failed;

	(void)argc;
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	rig_set_program_dir(argv[0]);
	tcase_add_unchecked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, request_reaches_the_owner_and_its_answer_returns);
	tcase_add_loop_test(tc, request_without_valid_key_is_refused, 0, 3);
	tcase_add_test(tc, internal_service_is_served_on_its_listener_only);
	tcase_add_test(tc, body_above_one_mebibyte_is_refused);
	tcase_add_loop_test(tc, smuggled_header_is_refused, 0,
			    sizeof(smuggled) / sizeof(smuggled[0]));
	tcase_add_loop_test(tc, ambiguous_path_is_refused, 0,
			    sizeof(bad_paths) / sizeof(bad_paths[0]));
	tcase_add_test(tc, resent_request_gets_the_first_answer);
	tcase_add_test(tc, request_with_lost_response_is_not_sent_again);
	tcase_add_test(tc, request_above_the_rate_is_refused_with_retry_after);
	tcase_add_test(tc, administration_needs_the_token);
	tcase_add_test(tc, administration_refusals_name_their_own_remedy);
	tcase_add_test(tc, public_pages_support_head);
	tcase_add_test(tc, log_outage_and_recovery_are_logged);
	tcase_add_test(tc, status_shows_own_state_among_the_instances);
	tcase_add_test(tc, payloads_are_released_after_the_responses);
	tcase_add_test(tc, grant_uses_a_connection_of_its_own);
	/* Only the process that started the daemon can wait for its exit. */
	tcase_add_checked_fixture(stop, setup_slow, teardown);
	tcase_set_timeout(stop, 60);
	tcase_add_test(stop, disconnect_of_the_caller_cancels_its_request);
	tcase_add_test(stop, shutdown_lets_open_requests_finish);
	suite_add_tcase(s, tc);
	suite_add_tcase(s, stop);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
