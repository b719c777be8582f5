#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"

#define HASH_A \
	"0000000000000001000000000000000200000000000000030000000000000004"
#define OPERATOR \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static const char good[] =
	"{\"version\":3,\"base\":2,\"settings\":{\"partitions\":12,"
	"\"key_max_age_ms\":9000,\"outage_limit_ms\":5000},"
	"\"services\":[{\"name\":\"workshop\",\"access\":\"public\","
	"\"sharded\":true,\"shards\":64,\"idempotent\":false,"
	"\"checks_fences\":true,\"slots\":6,\"cold_limit\":2,"
	"\"connections\":60,\"deadline_ms\":1500}],"
	"\"customers\":[{\"name\":\"acme\",\"rate\":100,\"burst\":50,"
	"\"weight\":2}],"
	"\"keys\":[{\"customer\":\"acme\",\"hash\":\"" HASH_A "\"}],"
	"\"zones\":[{\"name\":\"z1\",\"in_service\":true}],"
	"\"operators\":[\"" OPERATOR "\"]}";

/* Copy of the good bundle with one part replaced; malloc'ed. */
static char *altered(const char *part, const char *with)
{
	const char *at = strstr(good, part);
	size_t size = sizeof(good) + strlen(with);
	char *out = malloc(size);

	ck_assert_ptr_nonnull(at);
	snprintf(out, size, "%.*s%s%s", (int)(at - good), good, with,
		 at + strlen(part));
	return out;
}

/* A field lost in parsing would silently change what operators signed. */
START_TEST(bundle_fields_are_all_read)
{
	struct ws_bundle *b;
	struct ws_codec_error why;
	const uint64_t hash[4] = { 1, 2, 3, 4 };
	const struct ws_service *svc;

	ck_assert_int_eq(ws_codec_bundle_parse(good, &b, &why), 0);
	svc = ws_bundle_service(b, ws_codec_id("workshop"));
	ck_assert_ptr_nonnull(svc);
	ck_assert(svc->sharded && !svc->idempotent && svc->checks_fences);
	ck_assert_uint_eq(svc->access, WS_ACCESS_PUBLIC);
	ck_assert_uint_eq(svc->shards, 64);
	ck_assert_uint_eq(svc->slots * 100 + svc->cold_limit, 602);
	ck_assert_uint_eq(svc->connections, 60);
	ck_assert_int_eq(svc->deadline, 1500 * WS_MS);
	ck_assert_uint_eq(b->version, 3);
	ck_assert_uint_eq(b->partitions, 12);
	ck_assert_int_eq(b->key_max_age, 9 * WS_SECOND);
	ck_assert_int_eq(b->outage_limit, 5 * WS_SECOND);
	ck_assert_uint_eq(b->customers[0].rate, 100);
	ck_assert_uint_eq(b->customers[0].weight, 2);
	ck_assert(b->zones[0].in_service);
	ck_assert_uint_eq(ws_bundle_key_customer(b, hash), ws_codec_id("acme"));
	ck_assert_uint_eq(b->operators[0][15], 0xff);
	ck_assert_str_eq(b->text, good);
	ws_bundle_unref(b);
}
END_TEST

/* Each row: part of the good bundle, its replacement, place in the reason. */
static const char *const bad_bundles[][3] = {
	{ "\"base\":2", "\"base\":1", "base: expected 2" },
	{ "\"version\":3", "\"version\":\"3\"",
	  "version: expected an integer" },
	{ "\"version\":3", "\"version\":3,\"version\":4", "duplicate" },
	{ "\"version\":3,", "\"versoin\":3,", "unknown field 'versoin'" },
	{ "\"partitions\":12", "\"partitions\":0", "settings.partitions: " },
	{ "\"slots\":6", "\"slots\":0", "services[0].slots: " },
	{ "\"slots\":6,", "", "services[0].slots: missing" },
	{ "\"slots\":6", "\"slots\":6.0", "services[0].slots: " },
	{ "\"cold_limit\":2", "\"cold_limit\":7", "services[0].cold_limit: " },
	{ "\"public\"", "\"open\"", "services[0].access: expected one of" },
	{ "\"sharded\":true", "\"sharded\":false", "services[0].shards: " },
	{ "\"sharded\":true", "\"sharded\":1", "services[0].sharded: " },
	{ "\"name\":\"workshop\"", "\"name\":\"a b\"", "services[0].name: " },
	{ "{\"customer\":\"acme\"", "{\"customer\":\"other\"",
	  "keys[0].customer: no customer is named 'other'" },
	{ "\"keys\":[",
	  "\"keys\":[{\"customer\":\"acme\",\"hash\":\"" HASH_A "\"},",
	  "keys: hash" },
	{ "\"zones\":[", "\"zones\":[{\"name\":\"z1\",\"in_service\":true},",
	  "zones[1].name: 'z1' is listed twice" },
	{ "[\"" OPERATOR "\"]", "[]", "operators: expected at least one" },
	{ "[\"" OPERATOR "\"]", "[\"00\"]", "operators: element 0" },
	{ "\"zones\":[", "\"zones\":[7,", "zones[0]: expected an object" },
	{ "\"settings\":{", "\"settings\":{\"x\":[[[[[[[[[[[[[1]]]]]]]]]]]]],",
	  "nested deeper" },
};

/* A lenient parser would let a mistyped bundle go into force. */
START_TEST(bad_bundle_is_refused_with_its_place)
{
	const char *const *row = bad_bundles[_i];
	char *text = altered(row[0], row[1]);
	struct ws_bundle *b = NULL;
	struct ws_codec_error why = { "" };

	ck_assert_int_eq(ws_codec_bundle_parse(text, &b, &why), WS_ERR_SYNTAX);
	ck_assert_ptr_null(b);
	ck_assert_msg(strstr(why.text, row[2]) != NULL, "%s", why.text);
	free(text);
}
END_TEST

/* An unbounded text could exhaust an instance's memory. */
START_TEST(oversized_bundle_is_refused)
{
	char *text = malloc(WS_BUNDLE_TEXT_MAX + 2);
	struct ws_bundle *b;
	struct ws_codec_error why;

	memset(text, ' ', WS_BUNDLE_TEXT_MAX + 1);
	text[WS_BUNDLE_TEXT_MAX + 1] = '\0';
	ck_assert_int_eq(ws_codec_bundle_parse(text, &b, &why), WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(why.text, "longer than"));
	free(text);
}
END_TEST

struct keys {
	uint8_t public[1][32];
	uint8_t secret[64];
};

static char *sign_good(struct keys *k)
{
	struct ws_codec_error why;
	char *env;

	crypto_sign_keypair(k->public[0], k -> secret);
	ck_assert_int_eq(ws_codec_envelope_sign(good, k->public[0], k -> secret,
						&env, &why),
			 0);
	return env;
}

/* An unverified signature would let anybody configure the fleet. */
START_TEST(envelope_opens_only_with_trusted_key_and_whole_text)
{
	struct keys k;
	struct keys other;
	char *env = sign_good(&k);
	char *second = sign_good(&other);
	struct ws_bundle *b;
	struct ws_codec_error why;
	char *at;

	ck_assert_int_eq(ws_codec_envelope_open(env, k.public, 1, &b, &why), 0);
	ck_assert_str_eq(b->text, env);
	ws_bundle_unref(b);
	ck_assert_int_eq(ws_codec_envelope_open(second, k.public, 1, &b, &why),
			 WS_ERR_SIGNATURE);
	at = strstr(env, "100");
	ck_assert_ptr_nonnull(at);
	*at = '9';
	ck_assert_int_eq(ws_codec_envelope_open(env, k.public, 1, &b, &why),
			 WS_ERR_SIGNATURE);
	ck_assert_ptr_nonnull(strstr(why.text, "signature: does not match"));
	free(env);
	free(second);
}
END_TEST

/* A key pair of two files that don't match would sign useless envelopes. */
START_TEST(signing_refuses_bad_text_and_foreign_secret)
{
	struct keys k;
	struct keys other;
	struct ws_codec_error why;
	char *env = sign_good(&k);

	free(env);
	free(sign_good(&other));
	ck_assert_int_eq(ws_codec_envelope_sign(good, k.public[0], other.secret,
						&env, &why),
			 WS_ERR_SIGNATURE);
	ck_assert_int_eq(ws_codec_envelope_sign("{}", k.public[0], k.secret,
						&env, &why),
			 WS_ERR_SYNTAX);
}
END_TEST

/* Writes and reads a record, and checks that writing it again is the same. */
static void round_trip(const struct ws_record *rec, struct ws_record *back)
{
	struct ws_codec_error why = { "" };
	char *first;
	char *second;

	ck_assert_int_eq(ws_codec_record_write(rec, &first), 0);
	ck_assert_msg(!ws_codec_record_parse(first, back, &why), "%s",
		      why.text);
	ck_assert_int_eq(ws_codec_record_write(back, &second), 0);
	ck_assert_str_eq(first, second);
	ck_assert_uint_eq(back->kind, rec->kind);
	ck_assert_uint_eq(back->uid, rec->uid);
	ck_assert_uint_eq(back->writer, rec->writer);
	ck_assert_int_eq(back->wall_ms, rec->wall_ms);
	free(first);
	free(second);
}

/* A field lost between instances would make them fold different states. */
START_TEST(assign_and_activate_round_trip)
{
	struct ws_assign_item items[2] = {
		{ .res = { WS_RES_SHARD, 7, 9 },
		  .expected_fence = 41,
		  .holder = { UINT64_MAX, 5 } },
		{ .res = { WS_RES_HOT_KEY, 1, UINT64_MAX } },
	};
	struct ws_record rec = { .kind = WS_REC_ASSIGN,
				 .uid = UINT64_MAX,
				 .writer = 3,
				 .wall_ms = 99,
				 .released = true,
				 .n_items = 2,
				 .items = items };
	struct ws_record back;

	round_trip(&rec, &back);
	ck_assert(back.released);
	ck_assert_uint_eq(back.n_items, 2);
	ck_assert(ws_res_equal(&back.items[0].res, &items[0].res));
	ck_assert(ws_res_equal(&back.items[1].res, &items[1].res));
	ck_assert(ws_holder_equal(&back.items[0].holder, &items[0].holder));
	ck_assert_uint_eq(back.items[0].expected_fence, 41);
	ws_record_clear(&back);
	rec = (struct ws_record){ .kind = WS_REC_ACTIVATE,
				  .target_offset = 41 };
	round_trip(&rec, &back);
	ck_assert_uint_eq(back.target_offset, 41);
}
END_TEST

START_TEST(bundle_and_snapshot_round_trip_with_their_envelope)
{
	struct keys k;
	struct ws_assignment a = { .res = { WS_RES_PARTITION, 0, 3 },
				   .holder = { 8, 0 },
				   .fence = 17,
				   .active = true,
				   .takeover_wall_ms = 1234 };
	struct ws_record rec = { .kind = WS_REC_BUNDLE,
				 .bundle_version = 3,
				 .bundle_base = 2 };
	struct ws_record back;
	struct ws_bundle *b;
	struct ws_codec_error why;

	rec.bundle_text = sign_good(&k);
	round_trip(&rec, &back);
	ck_assert_uint_eq(back.bundle_base, 2);
	ck_assert_int_eq(ws_codec_envelope_open(back.bundle_text, k.public, 1,
						&b, &why),
			 0);
	ws_record_clear(&back);
	rec.kind = WS_REC_SNAPSHOT;
	rec.target_offset = 20;
	rec.n_assignments = 1;
	rec.assignments = &a;
	free(rec.bundle_text);
	rec.bundle_text = NULL;
	rec.bundle = b;
	round_trip(&rec, &back);
	ck_assert_uint_eq(back.target_offset, 20);
	ck_assert_uint_eq(back.bundle_version, 3);
	ck_assert_str_eq(back.bundle_text, b->text);
	ck_assert_uint_eq(back.assignments[0].fence, 17);
	ck_assert_int_eq(back.assignments[0].takeover_wall_ms, 1234);
	ck_assert(back.assignments[0].active);
	ws_record_clear(&back);
	ws_bundle_unref(b);
}
END_TEST

/* A damaged snapshot would replace the folded state of a new instance. */
START_TEST(altered_snapshot_is_refused)
{
	struct ws_record rec = { .kind = WS_REC_SNAPSHOT, .target_offset = 4 };
	struct ws_record back;
	struct ws_codec_error why;
	char *text;
	char *at;

	ck_assert_int_eq(ws_codec_record_write(&rec, &text), 0);
	at = strstr(text, "\"assignments\":[]");
	ck_assert_ptr_nonnull(at);
	at[1] = 'b';
	ck_assert_int_eq(ws_codec_record_parse(text, &back, &why),
			 WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(why.text, "hash: does not match"));
	free(text);
}
END_TEST

/* An unsigned statement could declare live instances gone. */
START_TEST(recover_names_instances_only_after_verification)
{
	struct keys k;
	struct keys other;
	ws_id gone[2] = { 5, UINT64_MAX };
	struct ws_record rec = { .kind = WS_REC_RECOVER,
				 .n_gone = 2,
				 .gone = gone };
	struct ws_record back;
	struct ws_codec_error why;
	char *text;

	free(sign_good(&other));
	free(sign_good(&k));
	ck_assert_int_eq(ws_codec_record_write(&rec, &text), WS_ERR_SYNTAX);
	ck_assert_int_eq(
		ws_codec_recover_sign(&rec, k.public[0], k.secret, &why), 0);
	round_trip(&rec, &back);
	ck_assert_uint_eq(back.n_gone, 0);
	ck_assert_int_eq(ws_codec_recover_open(&back, other.public, 1, &why),
			 WS_ERR_SIGNATURE);
	ck_assert_int_eq(ws_codec_recover_open(&back, k.public, 1, &why), 0);
	ck_assert_uint_eq(back.n_gone, 2);
	ck_assert_uint_eq(back.gone[1], UINT64_MAX);
	ws_record_clear(&back);
	free(rec.bundle_text);
}
END_TEST

static const char *const bad_records[][2] = {
	{ "[]", "record: expected an object" },
	{ "{\"kind\":\"assing\"}", "kind: expected one of assign, activate" },
	{ "{\"kind\":\"activate\",\"uid\":\"1\"}", "uid: expected 16" },
	{ "{\"kind\":\"activate\",\"uid\":\"0000000000000001\","
	  "\"writer\":\"0000000000000001\",\"wall_ms\":1,\"assign\":0}",
	  "assign: expected an integer from 1" },
	{ "{\"kind\":\"activate\",\"uid\":\"0000000000000001\","
	  "\"writer\":\"0000000000000001\",\"wall_ms\":1,\"assign\":1,"
	  "\"released\":true}",
	  "unknown field 'released'" },
	{ "{\"kind\":\"assign\",\"uid\":\"0000000000000001\","
	  "\"writer\":\"0000000000000001\",\"wall_ms\":1,\"released\":true,"
	  "\"items\":[{\"kind\":\"lease\"}]}",
	  "items[0].kind: expected one of partition" },
};

START_TEST(bad_record_is_refused_with_its_place)
{
	struct ws_record rec;
	struct ws_codec_error why = { "" };

	ck_assert_int_eq(ws_codec_record_parse(bad_records[_i][0], &rec, &why),
			 WS_ERR_SYNTAX);
	ck_assert_msg(strstr(why.text, bad_records[_i][1]) != NULL, "%s",
		      why.text);
}
END_TEST

/* Readers that stop at an invalid entry would never get past it. */
START_TEST(log_page_keeps_invalid_entry_as_kind_0)
{
	struct ws_log_page page;
	struct ws_codec_error why = { "" };
	const char *text =
		"{\"oldest\":4,\"head\":9,\"records\":["
		"{\"offset\":5,\"data\":\"nonsense\"},"
		"{\"offset\":6,\"data\":\"{\\\"kind\\\":\\\"activate\\\","
		"\\\"uid\\\":\\\"0000000000000001\\\","
		"\\\"writer\\\":\\\"0000000000000002\\\","
		"\\\"wall_ms\\\":1,\\\"assign\\\":5}\"}]}";

	ck_assert_msg(!ws_codec_log_page_parse(text, &page, &why), "%s",
		      why.text);
	ck_assert_uint_eq(page.n_records, 2);
	ck_assert_uint_eq(page.records[0].kind, 0);
	ck_assert_uint_eq(page.records[0].offset, 5);
	ck_assert_uint_eq(page.records[1].target_offset, 5);
	ck_assert_uint_eq(page.records[1].offset, 6);
	ws_codec_log_page_clear(&page);
	text = "{\"oldest\":1,\"head\":9,\"records\":[{\"offset\":5,"
	       "\"data\":\"\"},{\"offset\":5,\"data\":\"\"}]}";
	ck_assert_int_eq(ws_codec_log_page_parse(text, &page, &why),
			 WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(why.text, "records[1].offset: 5"));
}
END_TEST

#define LIST_TARGET                                                      \
	"{\"role\":\"target\",\"name\":\"t1\",\"zone\":\"z1\","          \
	"\"address\":\"127.0.0.1:80\",\"service\":\"orders\",\"state\":" \
	"\"leaving\"}"

START_TEST(list_is_read_and_checked)
{
	struct ws_list_entry *e;
	struct ws_codec_error why = { "" };
	size_t n;

	ck_assert_int_eq(
		ws_codec_list_parse(
			"{\"entries\":[" LIST_TARGET
			",{\"role\":\"instance\",\"name\":\"i1\",\"zone\":"
			"\"z1\",\"id\":\"00000000000000ff\",\"address\":"
			"\"[::1]:9\",\"state\":\"live\"}]}",
			&e, &n, &why),
		0);
	ck_assert_uint_eq(n, 2);
	ck_assert(e[0].is_target && e[0].leaving && !e[1].is_target);
	ck_assert_uint_eq(e[0].id, ws_codec_id("t1"));
	ck_assert_uint_eq(e[0].service, ws_codec_id("orders"));
	ck_assert_uint_eq(e[1].id, 255);
	free(e);
	ck_assert_int_eq(ws_codec_list_parse("{\"entries\":[" LIST_TARGET
					     "," LIST_TARGET "]}",
					     &e, &n, &why),
			 WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(why.text, "'t1' is listed twice"));
	ck_assert_int_eq(
		ws_codec_list_parse("{\"entries\":[{\"role\":\"target\","
				    "\"name\":\"t\",\"zone\":\"z\",\"address\":"
				    "\"host:80\",\"service\":\"s\",\"state\":"
				    "\"live\"}]}",
				    &e, &n, &why),
		WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(why.text, "address: expected ip:port"));
}
END_TEST

START_TEST(grant_names_services_and_refuses_unknown_ones)
{
	struct ws_grant_item items[2] = {
		{ .res = { WS_RES_SHARD, ws_codec_id("workshop"), 7 },
		  .fence = 11 },
		{ .res = { WS_RES_HOT_KEY, ws_codec_id("workshop"), 255 },
		  .fence = 12 },
	};
	struct ws_effect fx = { .kind = WS_FX_GRANT };
	struct ws_bundle *b;
	char *text;

	ck_assert_int_eq(ws_codec_bundle_parse(good, &b, NULL), 0);
	fx.u.grant.incarnation = 1;
	fx.u.grant.as_of = 20;
	fx.u.grant.not_after_us = 3000;
	fx.u.grant.n_items = 2;
	fx.u.grant.items = items;
	ck_assert_int_eq(ws_codec_grant_write(&fx, b, &text), 0);
	ck_assert_str_eq(
		text,
		"{\"incarnation\":\"0000000000000001\",\"as_of\":20,"
		"\"not_after_us\":3000,\"items\":[{\"service\":\"workshop\","
		"\"shard\":7,\"fence\":11},{\"service\":\"workshop\","
		"\"hot_key\":\"00000000000000ff\",\"fence\":12}]}");
	free(text);
	items[1].res.scope = 1;
	ck_assert_int_eq(ws_codec_grant_write(&fx, b, &text),
			 WS_ERR_NO_SERVICE);
	ws_bundle_unref(b);
}
END_TEST

START_TEST(health_is_read_and_checked)
{
	struct ws_health h;

	ck_assert_int_eq(
		ws_codec_health_parse("{\"incarnation\":\"00000000000000aa\","
				      "\"now_us\":5,\"ready\":true,"
				      "\"leaving\":false,\"load\":250}",
				      &h),
		0);
	ck_assert_uint_eq(h.incarnation, 0xaa);
	ck_assert(h.ready && !h.leaving && h.load == 250 && h.now_us == 5);
	ck_assert_int_eq(ws_codec_health_parse("{\"incarnation\":\"aa\","
					       "\"now_us\":5}",
					       &h),
			 WS_ERR_SYNTAX);
	ck_assert_int_eq(
		ws_codec_health_parse("{\"incarnation\":\"00000000000000aa\","
				      "\"now_us\":-5}",
				      &h),
		WS_ERR_SYNTAX);
}
END_TEST

/* Hashes must not depend on the machine; other programs compute them too. */
START_TEST(hashes_have_fixed_values)
{
	uint64_t hash[4];
	char hex[17];

	ws_codec_hex(ws_codec_id("orders"), hex);
	ck_assert_uint_eq(ws_codec_id("orders"), ws_codec_hash("orders", 6));
	ck_assert_uint_eq(ws_codec_hash("", 0), 0xef46db3751d8e999ULL);
	ws_codec_caller_key_hash("", hash);
	ck_assert_uint_eq(hash[0], 0x0e5751c026e543b2ULL);
}
END_TEST

int main(void)
{
	const int n_bundles = sizeof(bad_bundles) / sizeof(bad_bundles[0]);
	const int n_records = sizeof(bad_records) / sizeof(bad_records[0]);
	Suite *s = suite_create("codec");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_test(tc, bundle_fields_are_all_read);
	tcase_add_loop_test(tc, bad_bundle_is_refused_with_its_place, 0,
			    n_bundles);
	tcase_add_test(tc, oversized_bundle_is_refused);
	tcase_add_test(tc, envelope_opens_only_with_trusted_key_and_whole_text);
	tcase_add_test(tc, signing_refuses_bad_text_and_foreign_secret);
	tcase_add_test(tc, assign_and_activate_round_trip);
	tcase_add_test(tc, bundle_and_snapshot_round_trip_with_their_envelope);
	tcase_add_test(tc, altered_snapshot_is_refused);
	tcase_add_test(tc, recover_names_instances_only_after_verification);
	tcase_add_loop_test(tc, bad_record_is_refused_with_its_place, 0,
			    n_records);
	tcase_add_test(tc, log_page_keeps_invalid_entry_as_kind_0);
	tcase_add_test(tc, list_is_read_and_checked);
	tcase_add_test(tc, grant_names_services_and_refuses_unknown_ones);
	tcase_add_test(tc, health_is_read_and_checked);
	tcase_add_test(tc, hashes_have_fixed_values);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
