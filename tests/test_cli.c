#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/ws_cli.h"

#define OPERATOR \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static const char text[] =
	"{\"version\":7,\"base\":6,\"services\":[],\"customers\":[],"
	"\"keys\":[],\"zones\":[{\"name\":\"z1\",\"in_service\":true},"
	"{\"name\":\"z2\",\"in_service\":false}],"
	"\"operators\":[\"" OPERATOR "\"]}";

/* A change that keeps the version would be refused as a replay. */
START_TEST(zone_change_builds_on_the_bundle_in_force)
{
	struct ws_codec_error why = { "" };
	struct ws_bundle *b;
	char *changed;

	ck_assert_int_eq(ws_cli_change_zone(text, "z1", false, &changed, &why),
			 0);
	ck_assert_int_eq(ws_codec_bundle_parse(changed, &b, &why), 0);
	ck_assert_uint_eq(b->version, 8);
	ck_assert_uint_eq(b->base, 7);
	ck_assert(!b->zones[0].in_service);
	ck_assert(!b->zones[1].in_service);
	ck_assert_uint_eq(b->n_operators, 1);
	ws_bundle_unref(b);
	free(changed);
}
END_TEST

/* A mistyped zone must not look like one taken out of service. */
START_TEST(zone_change_refuses_unknown_zone_and_skips_no_change)
{
	struct ws_codec_error why = { "" };
	char *changed;

	ck_assert_int_eq(ws_cli_change_zone(text, "z3", false, &changed, &why),
			 WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(why.text, "z1, z2"));
	ck_assert_int_eq(ws_cli_change_zone(text, "z2", false, &changed, &why),
			 1);
}
END_TEST

/* A key file that others can read, or that is overwritten, is lost. */
START_TEST(key_file_is_private_and_never_overwritten)
{
	char folder[] = "ws_cli_XXXXXX";
	char path[64];
	char pub[64];
	char hex[65];
	char again[65];
	struct ws_cli_key key;

	ck_assert_ptr_nonnull(mkdtemp(folder));
	snprintf(path, sizeof(path), "%s/key", folder);
	snprintf(pub, sizeof(pub), "%s/key.pub", folder);
	ck_assert_int_eq(ws_cli_write_key(path, hex), WS_CLI_OK);
	ck_assert_int_eq(ws_cli_write_key(path, again), WS_CLI_REFUSED);
	ck_assert(ws_cli_read_key(path, &key));
	sodium_bin2hex(again, sizeof(again), key.public_key, 32);
	ck_assert_str_eq(hex, again);
	ck_assert(!ws_cli_read_key(pub, &key));
	unlink(path);
	unlink(pub);
	rmdir(folder);
}
END_TEST

static int run(const char *a, const char *b, const char *c)
{
	char *argv[] = { (char *)"wagtailshift", (char *)a, (char *)b,
			 (char *)c, NULL };
	int argc = c ? 4 : b ? 3 : a ? 2 : 1;

	return ws_cli_main(argc, argv);
}

/* After the loss of all instances this record is the only way on in time. */
START_TEST(recover_record_verifies_and_names_the_instances)
{
	static const char *const bad[] = {
		"",
		"12",
		"00000000000000AB",
		"0000000000000000",
		"00000000000000ab,",
		"00000000000000ab 0000000000000001"
	};
	uint8_t trusted[1][32];
	uint8_t secret[64];
	struct ws_codec_error why = { "" };
	struct ws_record rec;
	char *out;
	size_t i;

	crypto_sign_keypair(trusted[0], secret);
	ck_assert_int_eq(
		ws_cli_recover_record("00000000000000ab,ffffffffffffffff",
				      trusted[0], secret, &out, &why),
		0);
	ck_assert_int_eq(ws_codec_record_parse(out, &rec, &why), 0);
	ck_assert_int_eq(ws_codec_recover_open(&rec, trusted, 1, &why), 0);
	ck_assert_uint_eq(rec.n_gone, 2);
	ck_assert_uint_eq(rec.gone[0], 0xab);
	ck_assert_uint_eq(rec.gone[1], UINT64_MAX);
	ck_assert_uint_ne(rec.uid, 0);
	ws_record_clear(&rec);
	free(out);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_int_eq(ws_cli_recover_record(bad[i], trusted[0],
						       secret, &out, &why),
				 WS_ERR_SYNTAX);
}
END_TEST

/* Scripts rely on the documented exit codes. */
START_TEST(exit_codes_are_as_documented)
{
	ck_assert_int_eq(run(NULL, NULL, NULL), WS_CLI_USAGE);
	ck_assert_int_eq(run("bundle", "sing", "x"), WS_CLI_USAGE);
	ck_assert_int_eq(run("status", "--nonsense", NULL), WS_CLI_USAGE);
	ck_assert_int_eq(run("bundle", "check", "/dev/null"), WS_CLI_REFUSED);
	ck_assert_int_eq(run("--help", NULL, NULL), WS_CLI_OK);
	setenv("WAGTAILSHIFT_ADMIN", "http://127.0.0.1:1", 1);
	setenv("WAGTAILSHIFT_TOKEN_FILE", "/dev/null", 1);
	ck_assert_int_eq(run("status", NULL, NULL), WS_CLI_UNREACHABLE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("cli");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_test(tc, zone_change_builds_on_the_bundle_in_force);
	tcase_add_test(tc,
		       zone_change_refuses_unknown_zone_and_skips_no_change);
	tcase_add_test(tc, key_file_is_private_and_never_overwritten);
	tcase_add_test(tc, recover_record_verifies_and_names_the_instances);
	tcase_add_test(tc, exit_codes_are_as_documented);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
