#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"
#include "wire/ws_wire.h"

#define NOW (5 * WS_SECOND)
#define LATER (90 * WS_SECOND)
#define TABLE_BYTES ((size_t)64 * 1024 * 1024)

static struct ws_payloads *table;
static struct ws_wire_buf buf;

static void setup(void)
{
	table = ws_payloads_new(TABLE_BYTES);
}

static void teardown(void)
{
	ck_assert_uint_eq(ws_payload_count(table), 0);
	ck_assert_uint_eq(ws_payload_bytes(table), 0);
	ws_payloads_free(table);
	free(buf.data);
	memset(&buf, 0, sizeof(buf));
}

static ws_payload add_payload(size_t len)
{
	static const char headers[] = "Content-Type: text/plain\0X-A: \0";
	char *data = calloc(1, len + 1);
	struct ws_body b = {
		.method = "POST",
		.path = "/k/1?x=%20",
		.status = 201,
		.headers = headers,
		.headers_len = sizeof(headers) - 1,
		.data = data,
		.data_len = len,
	};
	ws_payload h;

	memset(data, 0xa5, len);
	h = ws_payload_add(table, &b);
	free(data);
	return h;
}

/* Encodes and decodes; the caller owns the result. */
static void encode_and_decode(const struct ws_msg *in, struct ws_msg *out)
{
	ck_assert_int_eq(ws_wire_encode(&buf, table, in, NOW), 0);
	ck_assert_int_eq(ws_wire_decode(buf.data, buf.len, table, out, LATER),
			 0);
	ck_assert_uint_eq(out->kind, in->kind);
}

static void fill_forward(struct ws_msg *m, size_t body)
{
	m->kind = WS_MSG_FORWARD;
	m->u.forward.ref = 0xfedcba9876543210;
	m->u.forward.stage = WS_STAGE_DISPATCH;
	m->u.forward.target = 11;
	m->u.forward.incarnation = 12;
	m->u.forward.fence = 13;
	m->u.forward.call.service = 14;
	m->u.forward.call.customer = 15;
	m->u.forward.call.key = 16;
	m->u.forward.call.request_id[0] = 17;
	m->u.forward.call.request_id[1] = 18;
	m->u.forward.call.fingerprint = 19;
	m->u.forward.call.idempotent = true;
	m->u.forward.call.deadline = NOW + 700 * WS_MS;
	m->u.forward.call.payload = add_payload(body);
}

/* Clocks of instances differ, so a deadline is sent as the time left. */
START_TEST(forward_keeps_call_and_bytes_and_moves_its_deadline)
{
	struct ws_msg in = { .kind = 0 };
	struct ws_msg out;
	const struct ws_body *b;

	fill_forward(&in, 100000);
	encode_and_decode(&in, &out);
	ck_assert_uint_eq(out.u.forward.ref, in.u.forward.ref);
	ck_assert_uint_eq(out.u.forward.stage, WS_STAGE_DISPATCH);
	ck_assert_uint_eq(out.u.forward.target, 11);
	ck_assert_uint_eq(out.u.forward.incarnation, 12);
	ck_assert_uint_eq(out.u.forward.fence, 13);
	ck_assert_int_eq(out.u.forward.call.deadline, LATER + 700 * WS_MS);
	ck_assert(out.u.forward.call.payload != in.u.forward.call.payload);
	out.u.forward.call.deadline = in.u.forward.call.deadline;
	b = ws_payload_get(table, out.u.forward.call.payload);
	ck_assert_str_eq(b->method, "POST");
	ck_assert_str_eq(b->path, "/k/1?x=%20");
	ck_assert_str_eq(ws_body_header(b, "content-type"), "text/plain");
	ck_assert_str_eq(ws_body_header(b, "x-a"), "");
	ck_assert_uint_eq(b->data_len, 100000);
	ck_assert_int_eq(((const uint8_t *)b->data)[99999], 0xa5);
	ws_wire_release_payloads(table, &out);
	out.u.forward.call.payload = 0;
	in.u.forward.call.payload = 0;
	ck_assert_mem_eq(&out.u.forward.call, &in.u.forward.call,
			 sizeof(struct ws_call));
	ws_payload_unref(table, 1);
}
END_TEST

START_TEST(answer_keeps_outcome_status_and_load)
{
	struct ws_msg in = { .kind = WS_MSG_ANSWER };
	struct ws_msg out;

	in.u.answer.ref = 3;
	in.u.answer.answer.outcome = WS_OUT_DONE;
	in.u.answer.answer.status = 201;
	in.u.answer.answer.retry_after = 5;
	in.u.answer.answer.payload = add_payload(10);
	in.u.answer.load.target = 9;
	in.u.answer.load.limit = 4;
	in.u.answer.load.latency = 1234;
	encode_and_decode(&in, &out);
	ck_assert_uint_eq(out.u.answer.ref, 3);
	ck_assert_uint_eq(out.u.answer.answer.status, 201);
	ck_assert_int_eq(out.u.answer.answer.retry_after, 5);
	ck_assert_uint_eq(out.u.answer.load.limit, 4);
	ck_assert_int_eq(out.u.answer.load.latency, 1234);
	ws_wire_release_payloads(table, &out);
	in.u.answer.answer.outcome = WS_OUT_UNKNOWN;
	in.u.answer.answer.error = WS_ERR_DEADLINE;
	ws_wire_release_payloads(table, &in);
	encode_and_decode(&in, &out);
	ck_assert_int_eq(out.u.answer.answer.error, WS_ERR_DEADLINE);
	ck_assert_uint_eq(out.u.answer.answer.payload, 0);
}
END_TEST

START_TEST(heartbeat_keeps_the_health_of_targets)
{
	struct ws_target_health health[2] = {
		{ .target = 1, .incarnation = 2, .state = WS_STATE_LEAVING },
		{ .target = 3, .load = { .target = 3, .queued = 65535 } },
	};
	struct ws_msg in = { .kind = WS_MSG_HEARTBEAT };
	struct ws_msg out;

	in.u.heartbeat.zone = 7;
	in.u.heartbeat.next_offset = UINT64_MAX;
	in.u.heartbeat.wall_ms = -1;
	in.u.heartbeat.leaving = true;
	in.u.heartbeat.n_health = 2;
	in.u.heartbeat.health = health;
	encode_and_decode(&in, &out);
	ck_assert_uint_eq(out.u.heartbeat.next_offset, UINT64_MAX);
	ck_assert_int_eq(out.u.heartbeat.wall_ms, -1);
	ck_assert(out.u.heartbeat.leaving && !out.u.heartbeat.ready);
	ck_assert_uint_eq(out.u.heartbeat.n_health, 2);
	ck_assert_uint_eq(out.u.heartbeat.health[0].state, WS_STATE_LEAVING);
	ck_assert_uint_eq(out.u.heartbeat.health[1].load.queued, 65535);
	ws_msg_clear(&out);
}
END_TEST

/* Instances must skip an unreadable record at the same offset. */
START_TEST(tail_keeps_records_and_unreadable_ones)
{
	struct ws_assign_item item = {
		.res = { .kind = WS_RES_PARTITION, .item = 5 },
		.holder = { .id = 77 },
	};
	struct ws_record recs[2] = {
		{ .kind = WS_REC_ASSIGN,
		  .offset = 41,
		  .uid = 6,
		  .writer = 77,
		  .wall_ms = 1000,
		  .n_items = 1,
		  .items = &item },
		{ .kind = 0, .offset = 42 },
	};
	struct ws_msg in = { .kind = WS_MSG_TAIL };
	struct ws_msg out;

	in.u.tail.from = 41;
	in.u.tail.n_records = 2;
	in.u.tail.records = recs;
	encode_and_decode(&in, &out);
	ck_assert_uint_eq(out.u.tail.from, 41);
	ck_assert_uint_eq(out.u.tail.n_records, 2);
	ck_assert_uint_eq(out.u.tail.records[0].offset, 41);
	ck_assert_uint_eq(out.u.tail.records[0].uid, 6);
	ck_assert(ws_res_equal(&out.u.tail.records[0].items[0].res, &item.res));
	ck_assert_uint_eq(out.u.tail.records[1].kind, 0);
	ck_assert_uint_eq(out.u.tail.records[1].offset, 42);
	ws_msg_clear(&out);
}
END_TEST

START_TEST(handover_keeps_entries_with_and_without_answer)
{
	struct ws_idem_entry entries[2] = {
		{ .request_id = { 1, 2 },
		  .state = 2,
		  .stamp_ms = 99,
		  .status = 201,
		  .payload = add_payload(3) },
		{ .request_id = { 3, 4 }, .fingerprint = 8 },
	};
	struct ws_msg in = { .kind = WS_MSG_HANDOVER };
	struct ws_msg out;

	in.u.handover.partition = 23;
	in.u.handover.fence = 500;
	in.u.handover.last = true;
	in.u.handover.n_entries = 2;
	in.u.handover.entries = entries;
	encode_and_decode(&in, &out);
	ck_assert_uint_eq(out.u.handover.fence, 500);
	ck_assert(out.u.handover.last);
	ck_assert_uint_eq(out.u.handover.entries[0].stamp_ms, 99);
	ck_assert_uint_ne(out.u.handover.entries[0].payload, 0);
	ck_assert_uint_eq(out.u.handover.entries[1].payload, 0);
	ck_assert_uint_eq(out.u.handover.entries[1].fingerprint, 8);
	ws_wire_release_payloads(table, &out);
	ws_wire_release_payloads(table, &in);
	ws_msg_clear(&out);
}
END_TEST

START_TEST(small_messages_keep_their_numbers)
{
	struct ws_msg in = { .kind = WS_MSG_TOKEN_GIVE };
	struct ws_msg out;

	in.u.token.ref = 1;
	in.u.token.customer = 2;
	in.u.token.tokens = 3;
	in.u.token.balance = UINT32_MAX;
	encode_and_decode(&in, &out);
	ck_assert_mem_eq(&out.u.token, &in.u.token, sizeof(in.u.token));
	in = (struct ws_msg){ .kind = WS_MSG_FRESH_ANSWER };
	in.u.fresh.round = 4;
	in.u.fresh.next_offset = 5;
	encode_and_decode(&in, &out);
	ck_assert_mem_eq(&out.u.fresh, &in.u.fresh, sizeof(in.u.fresh));
	in = (struct ws_msg){ .kind = WS_MSG_STRIKE };
	in.u.strike.fingerprint = 6;
	in.u.strike.strike_id = 7;
	encode_and_decode(&in, &out);
	ck_assert_mem_eq(&out.u.strike, &in.u.strike, sizeof(in.u.strike));
	in = (struct ws_msg){ .kind = WS_MSG_CANCEL };
	in.u.cancel.ref = 8;
	encode_and_decode(&in, &out);
	ck_assert_uint_eq(out.u.cancel.ref, 8);
	in = (struct ws_msg){ .kind = WS_MSG_TAIL_ASK };
	in.u.tail.from = 9;
	encode_and_decode(&in, &out);
	ck_assert_uint_eq(out.u.tail.from, 9);
}
END_TEST

/* Truncated and altered bytes must neither crash the decoder nor leak. */
START_TEST(corrupted_bytes_never_crash_or_leak)
{
	struct ws_msg in = { .kind = 0 };
	struct ws_msg out;
	struct ws_rand r;
	char copy[512];
	size_t len;
	int round;

	fill_forward(&in, 64);
	ck_assert_int_eq(ws_wire_encode(&buf, table, &in, NOW), 0);
	ws_wire_release_payloads(table, &in);
	ck_assert_uint_lt(buf.len, sizeof(copy));
	ws_rand_seed(&r, 20261204);
	for (round = 0; round < 100000; round++) {
		memcpy(copy, buf.data, buf.len);
		copy[ws_rand_below(&r, buf.len)] = (char)ws_rand_next(&r);
		copy[ws_rand_below(&r, buf.len)] ^= 1 << ws_rand_below(&r, 8);
		len = ws_rand_below(&r, 4) ? buf.len :
					     ws_rand_below(&r, buf.len);
		if (!ws_wire_decode(copy, len, table, &out, LATER))
			ws_wire_release_payloads(table, &out);
		ws_msg_clear(&out);
		ck_assert_uint_eq(ws_payload_count(table), 0);
	}
	for (len = 0; len < buf.len; len++)
		ck_assert_int_eq(ws_wire_decode(buf.data, len, table, &out,
						LATER),
				 WS_ERR_SYNTAX);
}
END_TEST

/* If memory for payloads is used up, the request can be rejected by its ref. */
START_TEST(full_table_refuses_a_forward_by_reference)
{
	struct ws_payloads *small = ws_payloads_new(16);
	struct ws_msg in = { .kind = 0 };
	struct ws_msg out;

	fill_forward(&in, 64);
	ck_assert_int_eq(ws_wire_encode(&buf, table, &in, NOW), 0);
	ck_assert_int_eq(ws_wire_decode(buf.data, buf.len, small, &out, LATER),
			 WS_ERR_LIMIT);
	ck_assert_uint_eq(out.kind, WS_MSG_FORWARD);
	ck_assert_uint_eq(out.u.forward.ref, in.u.forward.ref);
	ws_wire_release_payloads(table, &in);
	ws_payloads_free(small);
}
END_TEST

START_TEST(message_beyond_its_bound_is_not_written)
{
	struct ws_msg in = { .kind = 0 };

	fill_forward(&in, (size_t)5 * 1024 * 1024);
	ck_assert_int_eq(ws_wire_encode(&buf, table, &in, NOW),
			 WS_ERR_TOO_LARGE);
	ws_wire_release_payloads(table, &in);
}
END_TEST

/* A handle used after its release must not return another caller's payload. */
START_TEST(stale_handle_finds_nothing)
{
	ws_payload old = add_payload(1);
	ws_payload new;

	ws_payload_unref(table, old);
	new = add_payload(1);
	ck_assert_uint_ne(old, new);
	ck_assert_ptr_null(ws_payload_get(table, old));
	ck_assert_ptr_null(ws_payload_get(table, 0));
	ck_assert_ptr_nonnull(ws_payload_get(table, new));
	ws_payload_unref(table, new);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("wire");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, forward_keeps_call_and_bytes_and_moves_its_deadline);
	tcase_add_test(tc, answer_keeps_outcome_status_and_load);
	tcase_add_test(tc, heartbeat_keeps_the_health_of_targets);
	tcase_add_test(tc, tail_keeps_records_and_unreadable_ones);
	tcase_add_test(tc, handover_keeps_entries_with_and_without_answer);
	tcase_add_test(tc, small_messages_keep_their_numbers);
	tcase_add_test(tc, corrupted_bytes_never_crash_or_leak);
	tcase_add_test(tc, full_table_refuses_a_forward_by_reference);
	tcase_add_test(tc, message_beyond_its_bound_is_not_written);
	tcase_add_test(tc, stale_handle_finds_nothing);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
