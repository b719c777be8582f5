#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/ws_jcheck.h"
#include "standin/ws_slist.h"
#include "standin/ws_slog.h"
#include "standin/ws_starget.h"

/* ===== Log ===== */

/* A log that renumbers or forgets within its retention misleads readers. */
START_TEST(log_keeps_offsets_when_old_records_expire)
{
	struct ws_slog *l = ws_slog_new();
	struct ws_codec_error why = { "" };
	char *text;

	ck_assert_uint_eq(ws_slog_append(l, "a", 1), 1);
	ck_assert_uint_eq(ws_slog_append(l, "b", 1), 2);
	ck_assert_uint_eq(ws_slog_append(l, "c", 1), 3);
	ck_assert_int_eq(ws_slog_set_faults(l, 0, "{\"retain\":2}", &why), 0);
	text = ws_slog_read(l, 1, 1);
	ck_assert_str_eq(text, "{\"oldest\":2,\"head\":4,\"records\":["
			       "{\"offset\":2,\"data\":\"b\"}]}");
	free(text);
	ck_assert_uint_eq(ws_slog_append(l, "d", 1), 4);
	text = ws_slog_read(l, 4, 10);
	ck_assert_str_eq(text, "{\"oldest\":3,\"head\":5,\"records\":["
			       "{\"offset\":4,\"data\":\"d\"}]}");
	free(text);
	ws_slog_free(l);
}
END_TEST

/* A mistyped fault that is ignored would make a test check nothing. */
START_TEST(unknown_faults_are_refused)
{
	struct ws_slog *l = ws_slog_new();
	struct ws_codec_error why = { "" };

	ck_assert_int_eq(ws_slog_set_faults(l, 0, "{\"dwon_ms\":1}", &why),
			 WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(why.text, "dwon_ms"));
	ck_assert_int_eq(ws_slog_set_faults(l, 50, "{\"down_ms\":2}", &why), 0);
	ck_assert_int_eq(l->down_until, 2050);
	ck_assert_int_eq(ws_slog_set_faults(l, 50, "{\"down_ms\":-1}", &why),
			 0);
	ck_assert_int_eq(l->down_until, WS_SLOG_FOREVER);
	ws_slog_free(l);
}
END_TEST

/* ===== List ===== */

#define TARGET(name)                                                 \
	"{\"role\":\"target\",\"name\":\"" name "\",\"zone\":\"z\"," \
	"\"address\":\"127.0.0.1:1\",\"service\":\"s\",\"state\":"   \
	"\"live\"}"
#define INSTANCE(id, ttl)                                          \
	"{\"role\":\"instance\",\"name\":\"i\",\"id\":\"" id       \
	"\",\"zone\":\"z\",\"address\":\"127.0.0.1:2\",\"state\":" \
	"\"live\",\"ttl_ms\":" ttl "}"

START_TEST(list_answers_old_copies_when_lagging_or_stuck)
{
	struct ws_slist *l = ws_slist_new();
	struct ws_codec_error why = { "" };

	ck_assert_int_eq(ws_slist_post(l, 1000,
				       "{\"entries\":[" TARGET("t1") "]}",
				       &why),
			 0);
	ck_assert_int_eq(ws_slist_set_faults(l, 1000, "{\"lag_ms\":10}", &why),
			 0);
	ck_assert_str_eq(ws_slist_response(l, 10999), "{\"entries\":[]}");
	ck_assert_ptr_nonnull(strstr(ws_slist_response(l, 11000), "t1"));
	ck_assert_int_eq(
		ws_slist_set_faults(l, 20000, "{\"stuck\":true}", &why), 0);
	ck_assert_int_eq(ws_slist_post(l, 21000, "{\"entries\":[]}", &why), 0);
	ck_assert_ptr_nonnull(strstr(ws_slist_response(l, 900000), "t1"));
	ck_assert_int_eq(
		ws_slist_set_faults(l, 30000, "{\"stuck\":false}", &why), 0);
	ck_assert_str_eq(ws_slist_response(l, 900000), "{\"entries\":[]}");
	ws_slist_free(l);
}
END_TEST

START_TEST(registered_instance_expires_and_survives_a_new_list)
{
	struct ws_slist *l = ws_slist_new();
	struct ws_codec_error why = { "" };

	ck_assert_int_eq(ws_slist_post(l, 0, INSTANCE("00000000000000aa", "5"),
				       &why),
			 0);
	ck_assert_int_eq(ws_slist_post(l, 1000,
				       "{\"entries\":[" TARGET("t1") "]}",
				       &why),
			 0);
	ck_assert_ptr_nonnull(strstr(ws_slist_response(l, 4999), "aa"));
	ck_assert_int_eq(ws_slist_post(l, 4000,
				       INSTANCE("00000000000000aa", "5"), &why),
			 0);
	ck_assert_ptr_nonnull(strstr(ws_slist_response(l, 8999), "aa"));
	ck_assert_ptr_null(strstr(ws_slist_response(l, 9000), "aa"));
	ck_assert_ptr_nonnull(strstr(ws_slist_response(l, 9000), "t1"));
	ck_assert_int_eq(ws_slist_post(l, 9000, INSTANCE("zz", "5"), &why),
			 WS_ERR_SYNTAX);
	ws_slist_free(l);
}
END_TEST

/* ===== Target ===== */

static unsigned n_lines;
static char last_line[2048];

static void keep_line(void *arg, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);

	(void)arg;
	snprintf(last_line, sizeof(last_line), "%s", text);
	free(text);
	json_decref(line);
	n_lines++;
}

static struct ws_starget *new_target(bool sharded)
{
	const struct ws_starget_conf conf = { .name = { "t1" },
					      .service = { "workshop" },
					      .zone = { "z1" },
					      .sharded = sharded,
					      .slots = 4,
					      .cold_limit = 1,
					      .warm_step = 2,
					      .service_time = 1000,
					      .collapse_time = 5000,
					      .clock_offset = 100 };

	return ws_starget_new(&conf, 7, 1000, keep_line, NULL);
}

static unsigned grant(struct ws_starget *t, uint64_t incarnation, int as_of,
		      int not_after, const char *items)
{
	char text[512];
	char hex[17];
	char *answer;
	unsigned status;

	ws_codec_hex(incarnation, hex);
	snprintf(text, sizeof(text),
		 "{\"incarnation\":\"%s\",\"as_of\":%d,\"not_after_us\":%d,"
		 "\"items\":[%s]}",
		 hex, as_of, not_after, items);
	status = ws_starget_handle_grant(t, 1000, text, &answer);
	free(answer);
	return status;
}

#define SHARD(n, fence) \
	"{\"service\":\"workshop\",\"shard\":" #n ",\"fence\":" #fence "}"

static struct ws_starget_req request(int64_t shard, uint64_t fence)
{
	struct ws_starget_req req = { .request = "r1",
				      .method = "POST",
				      .shard = shard,
				      .fence = fence };

	return req;
}

static const char *lease_error(const struct ws_starget *t, ws_us now,
			       int64_t shard, uint64_t fence)
{
	const struct ws_starget_req req = request(shard, fence);
	const char *error = ws_starget_lease_error(t, now, &req);

	return error ? error : "none";
}

/* A stand-in that grants too much would hide faults of the router. */
START_TEST(target_honours_leases_as_designed)
{
	struct ws_starget *t = new_target(true);
	uint64_t self = t->incarnation;

	ck_assert_str_eq(lease_error(t, 1000, 1, 5), "lease_expired");
	ck_assert_uint_eq(grant(t, self, 9, 5000, SHARD(1, 5) "," SHARD(2, 6)),
			  200);
	ck_assert_str_eq(lease_error(t, 4899, 1, 5), "none");
	ck_assert_str_eq(lease_error(t, 4900, 1, 5), "lease_expired");
	ck_assert_str_eq(lease_error(t, 2000, 1, 4), "other_fence");
	ck_assert_str_eq(lease_error(t, 2000, 3, 5), "not_granted");
	ck_assert_str_eq(lease_error(t, 2000, -1, 5), "no_fence");
	ck_assert_uint_eq(grant(t, self, 8, 9000, SHARD(1, 5)), 409);
	ck_assert_uint_eq(grant(t, self + 1, 10, 9000, SHARD(1, 5)), 409);
	ck_assert_uint_eq(grant(t, self, 10, 9000, SHARD(2, 6)), 200);
	ck_assert_str_eq(lease_error(t, 2000, 1, 5), "not_granted");
	ck_assert_uint_eq(grant(t, self, 11, 9000, "{\"service\":\"other\"}"),
			  400);
	ws_starget_crash(t, 2000, 0);
	ck_assert_str_eq(lease_error(t, 2000, 2, 6), "lease_expired");
	ws_starget_free(t);
}
END_TEST

START_TEST(hot_key_and_shard_of_one_number_differ)
{
	struct ws_starget *t = new_target(true);
	struct ws_starget_req req = request(-1, 5);

	req.has_hot_key = true;
	req.hot_key = 1;
	ck_assert_uint_eq(grant(t, t->incarnation, 9, 5000, SHARD(1, 5)), 200);
	ck_assert_str_eq(ws_starget_lease_error(t, 2000, &req), "not_granted");
	ck_assert_uint_eq(grant(t, t->incarnation, 9, 5000,
				"{\"service\":\"workshop\",\"hot_key\":"
				"\"0000000000000001\",\"fence\":5}"),
			  200);
	ck_assert_ptr_null(ws_starget_lease_error(t, 2000, &req));
	ws_starget_free(t);
}
END_TEST

/* An effect after the end of the lease would be one at a former owner. */
START_TEST(request_without_lease_at_its_end_has_no_effect)
{
	struct ws_starget *t = new_target(true);
	struct ws_starget_req req = request(1, 5);
	struct ws_starget_response a;

	grant(t, t->incarnation, 9, 5000, SHARD(1, 5));
	ck_assert(ws_starget_begin(t, 2000, &req, "", &a));
	ck_assert_int_eq(req.due, 3000);
	ws_starget_end(t, 5000, &req, &a);
	ck_assert_uint_eq(a.status, 409);
	ck_assert(a.not_run);
	ck_assert_ptr_nonnull(strstr(last_line, "\"event\":\"abort\""));
	ws_starget_free(t);
}
END_TEST

/* A request that waited in a frozen target belongs to a former fence. */
START_TEST(request_delivered_late_is_not_started)
{
	struct ws_starget *t = new_target(false);
	struct ws_starget_req req = request(-1, 0);
	struct ws_starget_response a;

	req.start_by = 2100;
	ck_assert(!ws_starget_begin(t, 2001, &req, "", &a));
	ck_assert_str_eq(a.error, "start_by_passed");
	ck_assert(a.not_run);
	ck_assert(ws_starget_begin(t, 2000, &req, "", &a));
	ws_starget_free(t);
}
END_TEST

static bool begin(struct ws_starget *t, ws_us now, struct ws_starget_req *req,
		  struct ws_starget_response *a)
{
	*req = request(-1, 0);
	return ws_starget_begin(t, now, req, "", a);
}

START_TEST(cold_target_collapses_above_its_limit_and_journals_it)
{
	struct ws_starget *t = new_target(false);
	struct ws_starget_req one;
	struct ws_starget_req two;
	struct ws_starget_response a;

	ck_assert_int_eq(
		ws_starget_set_faults(t, 2000, "{\"cold\":true}", NULL), 0);
	ck_assert(begin(t, 2000, &one, &a));
	ck_assert(!begin(t, 2001, &two, &a));
	ck_assert_str_eq(a.error, "collapsed");
	ck_assert(!a.not_run);
	ck_assert_uint_eq(t->collapses, 1);
	ws_starget_end(t, 3000, &one, &a);
	ck_assert_uint_eq(a.status, 500);
	ck_assert(!begin(t, 6000, &two, &a));
	ck_assert(begin(t, 7002, &two, &a));
	ws_starget_free(t);
}
END_TEST

START_TEST(cold_target_warms_up_with_successes_and_sheds_while_it_warns)
{
	struct ws_starget *t = new_target(false);
	struct ws_starget_req req[3];
	struct ws_starget_response a;
	int i;

	ws_starget_set_faults(t, 2000, "{\"cold\":true,\"warning_ms\":10}",
			      NULL);
	ck_assert(begin(t, 2000, &req[0], &a));
	ck_assert(!begin(t, 2001, &req[1], &a));
	ck_assert(a.not_run && t->collapses == 0);
	ws_starget_end(t, 3000, &req[0], &a);
	for (i = 0; i < 5; i++) {
		ck_assert_uint_eq(ws_starget_capacity(t),
				  1 + (unsigned)(i + 1) / 2);
		ck_assert(begin(t, 4000 + i * 2000, &req[0], &a));
		ws_starget_end(t, 5000 + i * 2000, &req[0], &a);
	}
	ck_assert_uint_eq(ws_starget_capacity(t), 4);
	ck_assert(!t->cold);
	ws_starget_free(t);
}
END_TEST

START_TEST(crash_word_begins_a_new_incarnation)
{
	struct ws_starget *t = new_target(false);
	uint64_t before = t->incarnation;
	struct ws_starget_req req = request(-1, 0);
	struct ws_starget_response a;

	ws_starget_set_faults(t, 2000, "{\"crash_word\":\"boom\"}", NULL);
	ck_assert(!ws_starget_begin(t, 2000, &req, "a boom", &a));
	ck_assert_uint_eq(a.status, 0);
	ck_assert_uint_ne(t->incarnation, before);
	ck_assert(ws_starget_incarnation_ended(t, &req));
	req = request(-1, 0);
	req.for_incarnation = before;
	ck_assert(!ws_starget_begin(t, 3000, &req, "", &a));
	ck_assert_str_eq(a.error, "other_incarnation");
	ck_assert(a.not_run);
	ws_starget_free(t);
}
END_TEST

/* ===== Journals ===== */

/* Adds begin and end of one execution. */
static void add_run(struct ws_jcheck *c, const char *event, const char *target,
		    const char *id, const char *more, int fence, int start,
		    int end)
{
	char line[512];
	const char *const events[] = { "begin", event };
	size_t i;

	for (i = 0; i < 2 && events[i]; i++) {
		snprintf(line, sizeof(line),
			 "{\"event\":\"%s\",\"target\":\"%s\",\"service\":"
			 "\"w\",\"incarnation\":\"1\",\"request\":\"%s\","
			 "\"customer\":\"c\",\"body\":\"%s\",\"concurrency\":1,"
			 "\"limit\":1,\"fence\":%d,\"start_us\":%d,"
			 "\"end_us\":%d%s%s}",
			 events[i], target, id, id, fence, start, end,
			 more[0] ? "," : "", more);
		ws_jcheck_add_line(c, "j:1", line, true);
	}
}

#define ON_SHARD "\"shard\":1,\"key\":\"k\""

START_TEST(good_journal_has_no_violation)
{
	struct ws_jcheck *c = ws_jcheck_new(true);

	add_run(c, "run", "t1", "a", ON_SHARD, 5, 100, 200);
	add_run(c, "abort", "t1", "b", ON_SHARD, 5, 150, 900);
	add_run(c, "run", "t2", "b", ON_SHARD, 6, 300, 400);
	add_run(c, "run", "t2", "g", ON_SHARD ",\"idempotent\":true", 6, 350,
		390);
	add_run(c, "run", "t2", "g", ON_SHARD ",\"idempotent\":true", 6, 400,
		500);
	ws_jcheck_add_line(c, "j:9", "{\"event\":\"be", false);
	ws_jcheck_watch_key(c, "w", "k");
	ws_jcheck_finish(c);
	ck_assert_msg(!ws_jcheck_violations_total(c), "%s",
		      ws_jcheck_violation_text(c, 0));
	ck_assert_uint_eq(ws_jcheck_counts(c)->ran, 4);
	ck_assert_uint_eq(ws_jcheck_counts(c)->aborted, 1);
	ck_assert_uint_eq(ws_jcheck_counts(c)->truncated_lines, 1);
	ck_assert_uint_eq(ws_jcheck_counts(c)->owner_changes, 1);
	ck_assert_int_eq(ws_jcheck_counts(c)->longest_pause, 100);
	ck_assert_uint_eq(ws_jcheck_counts(c)->watched_changes, 1);
	ck_assert_int_eq(ws_jcheck_counts(c)->watched_pause, 100);
	ws_jcheck_free(c);
}
END_TEST

struct bad_journal {
	unsigned kind;
	struct {
		const char *event;
		const char *target;
		const char *id;
		const char *more;
		int fence;
		int start;
		int end;
	} runs[3];
};

static const struct bad_journal bad_journals[] = {
	{ WS_JCHECK_RAN_TWICE,
	  { { "run", "t1", "a", "", 0, 1, 2 },
	    { "run", "t2", "a", "", 0, 5, 6 } } },
	/* What a crash interrupted may have run. */
	{ WS_JCHECK_RAN_TWICE,
	  { { NULL, "t1", "a", "", 0, 1, 0 },
	    { "run", "t2", "a", "", 0, 5, 6 } } },
	{ WS_JCHECK_RAN_TWICE,
	  { { "run", "t1", "a", "\"idempotency_key\":\"u\"", 0, 1, 2 },
	    { "run", "t2", "b", "\"idempotency_key\":\"u\"", 0, 5, 6 } } },
	{ WS_JCHECK_NO_ID, { { "run", "t1", "", "", 0, 1, 2 } } },
	{ WS_JCHECK_FENCE_DECREASED,
	  { { "run", "t1", "a", ON_SHARD, 6, 1, 2 },
	    { "run", "t2", "b", ON_SHARD, 5, 5, 6 } } },
	{ WS_JCHECK_TWO_OWNERS,
	  { { "run", "t1", "a", "\"shard\":1", 5, 1, 9 },
	    { "run", "t2", "b", "\"shard\":1", 6, 5, 6 } } },
	/* The one that overlaps is not the one that ended last. */
	{ WS_JCHECK_TWO_OWNERS,
	  { { "run", "t1", "a", "\"shard\":1", 5, 1, 9 },
	    { "run", "t2", "b", "\"shard\":1", 5, 9, 20 },
	    { "run", "t2", "c", "\"shard\":1", 5, 8, 10 } } },
	/* One key under its shard at one target and on its own at another. */
	{ WS_JCHECK_TWO_OWNERS,
	  { { "run", "t1", "a", ON_SHARD, 5, 1, 9 },
	    { "run", "t2", "b", "\"hot_key\":\"ff\",\"key\":\"k\"", 6, 5,
	      6 } } },
	{ WS_JCHECK_CALLER_KEY_SEEN,
	  { { "run", "t1", "a", "\"authorization\":true", 0, 1, 2 } } },
	{ WS_JCHECK_WORK_WHILE_LEAVING,
	  { { "run", "t1", "a", "\"leaving_us\":3000001", 0, 1, 2 } } },
};

START_TEST(bad_journal_is_found)
{
	const struct bad_journal *j = &bad_journals[_i];
	struct ws_jcheck *c = ws_jcheck_new(false);
	size_t i;

	for (i = 0; i < 3 && j->runs[i].target; i++)
		add_run(c, j->runs[i].event, j->runs[i].target, j->runs[i].id,
			j->runs[i].more, j->runs[i].fence, j->runs[i].start,
			j->runs[i].end);
	ws_jcheck_finish(c);
	ck_assert_uint_eq(ws_jcheck_violations(c, j->kind), 1);
	ck_assert_uint_eq(ws_jcheck_violations_total(c), 1);
	ws_jcheck_free(c);
}
END_TEST

/* No lease stops a frozen target that does not check; others still count. */
START_TEST(overlap_after_a_freeze_is_counted_apart)
{
	struct ws_jcheck *c = ws_jcheck_new(false);

	add_run(c, "run", "t1", "a", "\"shard\":1,\"frozen\":true", 5, 1, 9);
	add_run(c, "run", "t2", "b", "\"shard\":1", 6, 5, 6);
	ws_jcheck_finish(c);
	ck_assert_uint_eq(ws_jcheck_counts(c)->frozen_overlaps, 1);
	ck_assert_uint_eq(ws_jcheck_violations_total(c), 0);
	ws_jcheck_free(c);
}
END_TEST

START_TEST(overload_and_unreadable_lines_are_found)
{
	struct ws_jcheck *c = ws_jcheck_new(true);

	ws_jcheck_add_line(c, "j:1", "{\"event\":\"collapse\"}", true);
	ws_jcheck_add_line(
		c, "j:2",
		"{\"event\":\"begin\",\"request\":\"a\",\"body\":\"x\","
		"\"concurrency\":3,\"limit\":2}",
		true);
	ws_jcheck_add_line(
		c, "j:3",
		"{\"event\":\"begin\",\"request\":\"b\",\"body\":\"x\","
		"\"concurrency\":1,\"limit\":2}",
		true);
	ws_jcheck_add_line(c, "j:4", "nonsense", true);
	ws_jcheck_finish(c);
	ck_assert_uint_eq(ws_jcheck_violations(c, WS_JCHECK_COLLAPSE), 1);
	ck_assert_uint_eq(ws_jcheck_violations(c, WS_JCHECK_ABOVE_LIMIT), 1);
	ck_assert_uint_eq(ws_jcheck_violations(c, WS_JCHECK_BODY_RAN_TWICE), 1);
	ck_assert_uint_eq(ws_jcheck_violations(c, WS_JCHECK_UNREADABLE), 1);
	ws_jcheck_free(c);
}
END_TEST

static void add_line(struct ws_jcheck *c, const char *event, const char *target,
		     int start)
{
	char line[200];

	snprintf(line, sizeof(line),
		 "{\"event\":\"%s\",\"target\":\"%s\",\"request\":\"%d\","
		 "\"start_us\":%d}",
		 event, target, start, start);
	ws_jcheck_add_line(c, "j:1", line, true);
}

/* Work in a zone out of service is the fault that operators fear most. */
START_TEST(work_out_of_service_is_found_after_3_s_and_until_return)
{
	struct ws_jcheck *c = ws_jcheck_new(false);

	add_line(c, "zone_out", "t1", 1000000);
	add_line(c, "begin", "t1", 4000000);
	add_line(c, "begin", "t2", 9000000);
	ck_assert_uint_eq(ws_jcheck_violations_total(c), 0);
	add_line(c, "begin", "t1", 4000001);
	ck_assert_uint_eq(
		ws_jcheck_violations(c, WS_JCHECK_WORK_OUT_OF_SERVICE), 1);
	add_line(c, "zone_in", "t1", 5000000);
	add_line(c, "begin", "t1", 5000001);
	ck_assert_uint_eq(ws_jcheck_violations_total(c), 1);
	ws_jcheck_free(c);
}
END_TEST

/* What targets write must be what the checker reads. */
static void feed_checker(void *arg, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);

	ws_jcheck_add_line(arg, "j:1", text, true);
	free(text);
	json_decref(line);
}

START_TEST(checker_reads_what_a_target_writes)
{
	struct ws_jcheck *c = ws_jcheck_new(false);
	struct ws_starget *t = new_target(true);
	struct ws_starget_req req = request(1, 5);
	struct ws_starget_response a;

	t->journal = feed_checker;
	t->journal_arg = c;
	grant(t, t->incarnation, 9, 50000, SHARD(1, 5));
	ck_assert(ws_starget_begin(t, 2000, &req, "", &a));
	ws_starget_end(t, 3000, &req, &a);
	req = request(1, 5);
	req.has_authorization = true;
	ck_assert(ws_starget_begin(t, 4000, &req, "", &a));
	ws_starget_end(t, 5000, &req, &a);
	ws_jcheck_finish(c);
	ck_assert_uint_eq(ws_jcheck_counts(c)->non_idempotent, 2);
	ck_assert_uint_eq(ws_jcheck_counts(c)->resources, 1);
	ck_assert_uint_eq(ws_jcheck_violations(c, WS_JCHECK_RAN_TWICE), 1);
	ck_assert_uint_eq(ws_jcheck_violations(c, WS_JCHECK_CALLER_KEY_SEEN),
			  1);
	ck_assert_uint_eq(ws_jcheck_violations_total(c), 2);
	ws_starget_free(t);
	ws_jcheck_free(c);
}
END_TEST

int main(void)
{
	const int n_bad = sizeof(bad_journals) / sizeof(bad_journals[0]);
	Suite *s = suite_create("standin");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, log_keeps_offsets_when_old_records_expire);
	tcase_add_test(tc, unknown_faults_are_refused);
	tcase_add_test(tc, list_answers_old_copies_when_lagging_or_stuck);
	tcase_add_test(tc, registered_instance_expires_and_survives_a_new_list);
	tcase_add_test(tc, target_honours_leases_as_designed);
	tcase_add_test(tc, hot_key_and_shard_of_one_number_differ);
	tcase_add_test(tc, request_without_lease_at_its_end_has_no_effect);
	tcase_add_test(tc, request_delivered_late_is_not_started);
	tcase_add_test(tc,
		       cold_target_collapses_above_its_limit_and_journals_it);
	tcase_add_test(
		tc,
		cold_target_warms_up_with_successes_and_sheds_while_it_warns);
	tcase_add_test(tc, crash_word_begins_a_new_incarnation);
	tcase_add_test(tc, good_journal_has_no_violation);
	tcase_add_loop_test(tc, bad_journal_is_found, 0, n_bad);
	tcase_add_test(tc, overlap_after_a_freeze_is_counted_apart);
	tcase_add_test(tc, overload_and_unreadable_lines_are_found);
	tcase_add_test(tc,
		       work_out_of_service_is_found_after_3_s_and_until_return);
	tcase_add_test(tc, checker_reads_what_a_target_writes);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
