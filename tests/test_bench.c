#include <check.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bench/ws_bench.h"
#include "bench/ws_bench_cmd.h"
#include "bench/ws_bench_policy.h"

/* ===== A responder ===== */

static struct {
	unsigned requests;
	unsigned with_key;
	unsigned with_id;
	unsigned with_deadline;
	char last_id[64];
} seen;

static const char *header(struct MHD_Connection *c, const char *name)
{
	return MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);
}

static void note(struct MHD_Connection *c)
{
	const char *key = header(c, "Authorization");
	const char *id = header(c, "Idempotency-Key");

	seen.requests++;
	seen.with_key += key && strcmp(key, "Bearer sesame") == 0;
	seen.with_id += id != NULL;
	seen.with_deadline += header(c, "X-Wagtailshift-Deadline-Ms") != NULL;
	if (id)
		snprintf(seen.last_id, sizeof(seen.last_id), "%s", id);
}

/* Refuses every fourth request as not run. */
static enum MHD_Result reply(struct MHD_Connection *c)
{
	bool refuse = seen.requests % 4 == 0;
	struct MHD_Response *r = MHD_create_response_from_buffer(
		2, (void *)"ok", MHD_RESPMEM_PERSISTENT);
	enum MHD_Result res;

	if (refuse)
		MHD_add_response_header(r, "X-Wagtailshift-Outcome", "not-run");
	res = MHD_queue_response(c, refuse ? 503 : 200, r);
	MHD_destroy_response(r);
	return res;
}

static enum MHD_Result respond(void *arg, struct MHD_Connection *c,
			       const char *url, const char *method,
			       const char *version, const char *data,
			       size_t *size, void **state)
{
	static int started;

	(void)arg;
	(void)url;
	(void)method;
	(void)version;
	(void)data;
	if (!*state) {
		*state = &started;
		note(c);
		return MHD_YES;
	}
	if (*size) {
		*size = 0;
		return MHD_YES;
	}
	return reply(c);
}

static struct MHD_Daemon *start_responder(char *url, size_t size)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct MHD_Daemon *d;

	memset(&seen, 0, sizeof(seen));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	d = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
			     respond, NULL, MHD_OPTION_SOCK_ADDR, &addr,
			     MHD_OPTION_END);
	ck_assert_ptr_nonnull(d);
	snprintf(url, size, "http://127.0.0.1:%u",
		 MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port);
	return d;
}

/* Runs the tool with options that blanks separate. */
static int run(char *line)
{
	char *argv[64] = { (char *)"run" };
	int argc = 1;
	char *word;

	for (word = strtok(line, " "); word; word = strtok(NULL, " "))
		argv[argc++] = word;
	return ws_bench_run(argc, argv);
}

/* ===== Load ===== */

static json_int_t number(json_t *o, const char *a, const char *b)
{
	return json_integer_value(json_object_get(json_object_get(o, a), b));
}

/* A report that loses requests or mixes outcomes hides faults. */
START_TEST(load_is_sent_and_every_answer_is_counted)
{
	char dir[] = "/tmp/ws_bench_XXXXXX";
	char url[64];
	struct MHD_Daemon *d = start_responder(url, sizeof(url));
	char line[512];
	char json[64];
	char svg[64];
	json_t *top;
	json_t *row;

	ck_assert_ptr_nonnull(mkdtemp(dir));
	snprintf(json, sizeof(json), "%s/out.json", dir);
	snprintf(svg, sizeof(svg), "%s/out.svg", dir);
	snprintf(line, sizeof(line),
		 "-u %s -c big:300:sesame -c small:100 "
		 "-m GET -m POST -d 1 --deadline-ms 500 -q "
		 "--json %s --svg %s",
		 url, json, svg);
	ck_assert_int_eq(run(line), EXIT_SUCCESS);
	MHD_stop_daemon(d);
	top = json_load_file(json, 0, NULL);
	row = json_array_get(json_object_get(top, "customers"), 2);
	ck_assert_int_eq(json_integer_value(json_object_get(row, "due")),
			 seen.requests);
	ck_assert_int_eq(number(row, "status", "503"), seen.requests / 4);
	ck_assert_int_eq(number(row, "outcome", "not-run"), seen.requests / 4);
	ck_assert_int_eq(number(row, "served", "count"),
			 seen.requests - seen.requests / 4);
	ck_assert_int_eq(json_integer_value(json_object_get(row, "failed")), 0);
	json_decref(top);
	ck_assert_uint_gt(seen.requests, 300);
	ck_assert_uint_eq(seen.with_deadline, seen.requests);
	ck_assert_uint_gt(seen.with_key, seen.requests / 2);
	ck_assert_uint_lt(seen.with_key, seen.requests);
	ck_assert_uint_gt(seen.with_id, seen.requests / 4);
	ck_assert_int_eq(seen.last_id[14], '7');
	remove(json);
	ck_assert_int_eq(remove(svg), 0);
	remove(dir);
}
END_TEST

/* A closed port must end as counted failures, not as a hang. */
START_TEST(failures_are_counted_and_the_run_ends)
{
	char url[64];
	struct ws_bench_conf conf = { .n_customers = 0 };
	struct ws_bench_result *res = ws_alloc(1, sizeof(*res));
	char *argv[] = {
		(char *)"run",	(char *)"-u", url,	     (char *)"-c",
		(char *)"a:50", (char *)"-d", (char *)"0.5", NULL
	};

	MHD_stop_daemon(start_responder(url, sizeof(url)));
	ck_assert(ws_bench_parse_options(7, argv, &conf));
	ck_assert(ws_bench_run_load(&conf, res));
	ck_assert_uint_gt(conf.customers[0].stats.failed, 5);
	ck_assert_uint_eq(conf.customers[0].stats.failed,
			  conf.customers[0].stats.scheduled);
	ws_bench_conf_clear(&conf);
	ws_bench_result_free(res);
}
END_TEST

/* Load sent to another machine could hit somebody else's service. */
START_TEST(only_loopback_urls_are_accepted)
{
	char other[] = "-u http://10.0.0.1 -c a:1 -d 1";

	ck_assert(ws_bench_url_is_loopback("http://127.0.0.1:80"));
	ck_assert(ws_bench_url_is_loopback("http://127.9.0.1:80/x"));
	ck_assert(ws_bench_url_is_loopback("http://[::1]:80"));
	ck_assert(!ws_bench_url_is_loopback("http://10.0.0.1:80"));
	ck_assert(!ws_bench_url_is_loopback("http://localhost:80"));
	ck_assert(!ws_bench_url_is_loopback("https://127.0.0.1:80"));
	ck_assert(!ws_bench_url_is_loopback("http://127.0.0.1.example:80"));
	ck_assert(!ws_bench_url_is_loopback("http://127.0.0.1@10.0.0.1/"));
	ck_assert_int_ne(run(other), 0);
}
END_TEST

/* ===== Choices ===== */

/* A skew that is not there would make the share figures meaningless. */
START_TEST(shares_and_keys_follow_their_distribution)
{
	struct ws_bench_share items[] = { { (char *)"a", 80 },
					  { (char *)"b", 20 } };
	struct ws_bench_shares s = { .items = items, .n = 2, .total = 100 };
	double *table = ws_bench_zipf_table(100, 1.0);
	unsigned keys[100] = { 0 };
	unsigned a = 0;
	struct ws_rand rand;
	int i;

	ws_rand_seed(&rand, 3);
	for (i = 0; i < 10000; i++) {
		a += *ws_bench_pick_weighted(&s, &rand) == 'a';
		keys[ws_bench_pick_key(table, 100, &rand)]++;
	}
	ck_assert_uint_gt(a, 7800);
	ck_assert_uint_lt(a, 8200);
	/* 1 / (sum of 1/k for k up to 100) is 0.193. */
	ck_assert_uint_gt(keys[0], 1800);
	ck_assert_uint_lt(keys[0], 2060);
	ck_assert_uint_gt(keys[1], 850);
	ck_assert_uint_lt(keys[1], 1080);
	free(table);
}
END_TEST

/* ===== Policies ===== */

/* Guards the design figure: two of ten targets slowed tenfold. */
START_TEST(two_choices_hide_slowed_targets)
{
	struct ws_bpolicy_conf conf = { .targets = 10,
					.frontends = 10,
					.slots = 4,
					.slowdown_factor = 10,
					.rate = 1000,
					.counted_seconds = 10,
					.warmup_seconds = 2,
					.service_ms = 4,
					.idempotent_share = 1,
					.tick_us = 10000,
					.seed = 1,
					.hedge = true };
	static struct ws_bpolicy_result plain;
	static struct ws_bpolicy_result slowed;
	ws_us bound;

	ws_bpolicy_run(&conf, &plain);
	conf.slowed_targets = 2;
	ws_bpolicy_run(&conf, &slowed);
	bound = ws_hist_quantile(&plain.latency, 0.99) * 3 / 2;
	ck_assert_int_le(ws_hist_quantile(&slowed.latency, 0.99), bound);
	ck_assert_uint_le(slowed.extra_attempts * 20, slowed.requests);
	/* Probed, but not forgotten because hedges cut its answers off. */
	ck_assert_uint_gt(slowed.attempts_by_target[0], 5);
	ck_assert_uint_lt(
		(slowed.attempts_by_target[0] + slowed.attempts_by_target[1]) *
			80,
		slowed.attempts);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("bench");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, load_is_sent_and_every_answer_is_counted);
	tcase_add_test(tc, failures_are_counted_and_the_run_ends);
	tcase_add_test(tc, only_loopback_urls_are_accepted);
	tcase_add_test(tc, shares_and_keys_follow_their_distribution);
	tcase_add_test(tc, two_choices_hide_slowed_targets);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
