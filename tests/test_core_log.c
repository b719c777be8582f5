#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_core.h"

/* Tests how the core applies records of the log and of peers. */

#define PEER 77
#define OLDEST 44 /* oldest offset that the log still has */
#define HEAD 84
#define TAIL_LAST 64 /* last offset that the peer sends */

static struct ws_core *new_core(void)
{
	struct ws_core_conf conf = {
		.self = 1,
		.zone = 2,
		.max_calls = 16,
		.max_idem = 16,
		.max_queued = 16,
	};

	return ws_core_new(&conf);
}

/* Records of no kind, which modules ignore; only their offsets matter. */
static struct ws_record *records(ws_offset from, ws_offset to)
{
	struct ws_record *r = ws_alloc(to - from + 1, sizeof(*r));
	ws_offset i;

	for (i = from; i <= to; i++)
		r[i - from].offset = i;
	return r;
}

static void step(struct ws_core *c, struct ws_event *ev)
{
	struct ws_fx fx = { 0 };

	ev->now = WS_SECOND;
	ws_core_step(c, ev, &fx);
	ws_fx_free(&fx);
}

static void read_log(struct ws_core *c, ws_offset from)
{
	struct ws_event ev = { .kind = WS_EV_LOG_READ };

	ev.u.log_read.from = from;
	ev.u.log_read.oldest = OLDEST;
	ev.u.log_read.head = HEAD;
	ev.u.log_read.n_records = HEAD - from;
	ev.u.log_read.records = records(from, HEAD - 1);
	step(c, &ev);
	free(ev.u.log_read.records);
}

static void receive_tail(struct ws_core *c, ws_offset from, ws_offset to)
{
	struct ws_event ev = { .kind = WS_EV_PEER_MSG };
	struct ws_msg msg = { .kind = WS_MSG_TAIL };

	msg.u.tail.from = from;
	msg.u.tail.n_records = to - from + 1;
	msg.u.tail.records = records(from, to);
	ev.u.peer.from = PEER;
	ev.u.peer.msg = &msg;
	step(c, &ev);
	ws_msg_clear(&msg);
}

/*
 * Guards against an instance that never leaves the gap of expired records. It
 * keeps the records that the log still has and gets earlier ones from a peer.
 * If those overlap with the kept ones, it must not wait for a snapshot.
 */
START_TEST(peer_records_fill_the_gap_before_the_log)
{
	struct ws_core *c = new_core();

	read_log(c, OLDEST);
	ck_assert_uint_eq(ws_own_next_offset(ws_core_own(c)), 1);
	receive_tail(c, 1, TAIL_LAST);
	ck_assert_uint_eq(ws_own_next_offset(ws_core_own(c)), HEAD);
	ws_core_free(c);
}
END_TEST

/* A record must not be applied twice. */
START_TEST(duplicate_records_are_ignored)
{
	struct ws_core *c = new_core();

	receive_tail(c, 1, OLDEST - 1);
	receive_tail(c, 1, OLDEST - 1);
	ck_assert_uint_eq(ws_own_next_offset(ws_core_own(c)), OLDEST);
	read_log(c, OLDEST);
	read_log(c, OLDEST);
	ck_assert_uint_eq(ws_own_next_offset(ws_core_own(c)), HEAD);
	ws_core_free(c);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("core_log");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, peer_records_fill_the_gap_before_the_log);
	tcase_add_test(tc, duplicate_records_are_ignored);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
