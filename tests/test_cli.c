#include <check.h>
#include <curl/curl.h>
#include <ev.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cli/ws_cli.h"
#include "edgeio/ws_eio_metrics.h"
#include "platform/wp_decode.h"

#define OPERATOR \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static const char bundle_text[] =
	"{\"version\":7,\"base\":6,\"services\":[],\"customers\":[],"
	"\"keys\":[],\"zones\":[{\"name\":\"z1\",\"in_service\":true},"
	"{\"name\":\"z2\",\"in_service\":false}],"
	"\"operators\":[\"" OPERATOR "\"]}";

/* A change that does not increment the version would be rejected. */
START_TEST(zone_change_builds_on_the_bundle_in_force)
{
	struct ws_codec_error err = { "" };
	struct ws_bundle *b;
	char *changed;

	ck_assert_int_eq(ws_cli_change_zone(bundle_text, "z1", false, &changed,
					    &err),
			 0);
	ck_assert_int_eq(ws_codec_bundle_parse(changed, &b, &err), 0);
	ck_assert_uint_eq(b->version, 8);
	ck_assert_uint_eq(b->base, 7);
	ck_assert(!b->zones[0].in_service);
	ck_assert(!b->zones[1].in_service);
	ck_assert_uint_eq(b->n_operators, 1);
	ws_bundle_unref(b);
	free(changed);
}
END_TEST

/* A mistyped zone name must not be reported as taken out of service. */
START_TEST(zone_change_refuses_unknown_zone_and_skips_no_change)
{
	struct ws_codec_error err = { "" };
	char *changed;

	ck_assert_int_eq(ws_cli_change_zone(bundle_text, "z3", false, &changed,
					    &err),
			 WS_ERR_SYNTAX);
	ck_assert_ptr_nonnull(strstr(err.text, "z1, z2"));
	ck_assert_int_eq(ws_cli_change_zone(bundle_text, "z2", false, &changed,
					    &err),
			 1);
}
END_TEST

/* A key is lost if others can read its file or the file is overwritten. */
START_TEST(key_file_is_private_and_never_overwritten)
{
	char folder[] = "ws_cli_XXXXXX";
	char path[64];
	char pub[64];
	char hex[65];
	char second_hex[65];
	struct ws_cli_key key;

	ck_assert_ptr_nonnull(mkdtemp(folder));
	snprintf(path, sizeof(path), "%s/key", folder);
	snprintf(pub, sizeof(pub), "%s/key.pub", folder);
	ck_assert_int_eq(ws_cli_write_key(path, hex), WS_CLI_OK);
	ck_assert_int_eq(ws_cli_write_key(path, second_hex), WS_CLI_REFUSED);
	ck_assert(ws_cli_read_key(path, &key));
	sodium_bin2hex(second_hex, sizeof(second_hex), key.public_key, 32);
	ck_assert_str_eq(hex, second_hex);
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

/* After a loss of all instances, only this record restores service in time. */
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
	struct ws_codec_error err = { "" };
	struct ws_record rec;
	char *out;
	size_t i;

	crypto_sign_keypair(trusted[0], secret);
	ck_assert_int_eq(
		ws_cli_recover_record("00000000000000ab,ffffffffffffffff",
				      trusted[0], secret, &out, &err),
		0);
	ck_assert_int_eq(ws_codec_record_parse(out, &rec, &err), 0);
	ck_assert_int_eq(ws_codec_recover_open(&rec, trusted, 1, &err), 0);
	ck_assert_uint_eq(rec.n_gone, 2);
	ck_assert_uint_eq(rec.gone[0], 0xab);
	ck_assert_uint_eq(rec.gone[1], UINT64_MAX);
	ck_assert_uint_ne(rec.uid, 0);
	ws_record_clear(&rec);
	free(out);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_int_eq(ws_cli_recover_record(bad[i], trusted[0],
						       secret, &out, &err),
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

#define EDGE_IP "127.19.44.2"
#define EDGE_URL "http://127.19.44.2:9180"

/* An instance of wagtailshift-edge without store, servers or other members. */
static void run_edge(int ready)
{
	static const char config[] =
		"{\"version\":\"00000001\",\"services\":[{\"name\":\"open\"}],"
		"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
		"{\"name\":\"read\",\"path_prefix\":\"/r/\","
		"\"kind\":\"idempotent\",\"service\":\"open\"}]}]}";
	const struct wp_settings set = {
		.name = "n1",
		.zone = "z",
		.ip = EDGE_IP,
		.callers_address = EDGE_IP ":7100",
		.readiness_address = EDGE_IP ":7101",
		.heartbeat_address = EDGE_IP ":7110",
		.records_address = EDGE_IP ":7111",
		.store_address = EDGE_IP ":7000",
		.memory_max = (size_t)260 * 1024 * 1024,
		.max_fds = 1000,
		.cores = 0.2,
		.bounds = { .config_delay_max = 3600 * WS_SECOND },
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct ws_ed_event read = { .kind = WS_EDEV_READ_DONE };
	struct ev_loop *loop = ev_loop_new(0);
	struct wp_error err = { "" };
	struct ws_eio *io = ws_eio_new(loop, &set, &err);

	if (!io || !ws_eio_metrics_new(io))
		_exit(EXIT_FAILURE);
	ev.u.config = wp_decode_config(config, sizeof(config) - 1, NULL);
	ws_eio_handle_event(io, &ev);
	read.u.sync.topic = WS_EDT_CONFIG;
	read.u.sync.started = ws_eio_now();
	ws_eio_handle_event(io, &read);
	if (write(ready, "r", 1) != 1)
		_exit(EXIT_FAILURE);
	ev_run(loop, 0);
	_exit(EXIT_SUCCESS);
}

static const char *format = "--json";

static int explain(const char *host, const char *path, const char *key)
{
	char *argv[] = { (char *)"wagtailshift",
			 (char *)"explain",
			 (char *)"request",
			 (char *)"GET",
			 (char *)host,
			 (char *)path,
			 (char *)key,
			 (char *)format,
			 NULL };

	return ws_cli_main(format ? 8 : 7, argv);
}

/* What a call of explain() writes to standard output. */
static const char *explanation(const char *path, int *code)
{
	static char text[4096];
	FILE *file = tmpfile();
	int out = dup(STDOUT_FILENO);
	size_t n;

	ck_assert_ptr_nonnull(file);
	fflush(stdout);
	dup2(fileno(file), STDOUT_FILENO);
	*code = explain("h", path, "-");
	fflush(stdout);
	dup2(out, STDOUT_FILENO);
	close(out);
	rewind(file);
	n = fread(text, 1, sizeof(text) - 1, file);
	text[n] = '\0';
	fclose(file);
	return text;
}

/* Guards against an explanation that fails or misleads while callers wait. */
START_TEST(request_is_explained_by_a_running_edge)
{
	int ready[2];
	int code;
	char c;
	pid_t edge;
	const char *text;

	ck_assert_int_eq(pipe(ready), 0);
	edge = fork();
	if (!edge)
		run_edge(ready[1]);
	close(ready[1]);
	ck_assert_int_eq((int)read(ready[0], &c, 1), 1);
	unsetenv("WAGTAILSHIFT_EDGE");
	ck_assert_int_eq(explain("h", "/r/1", "-"), WS_CLI_USAGE);
	setenv("WAGTAILSHIFT_EDGE", EDGE_URL, 1);
	text = explanation("/r/1?q=a b", &code);
	ck_assert_int_eq(code, WS_CLI_OK);
	ck_assert_ptr_nonnull(strstr(text, "\"route\": \"read\""));
	ck_assert_ptr_nonnull(strstr(text, "\"decision\": \"refuse\""));
	ck_assert_ptr_nonnull(strstr(text, "\"status\": 503"));
	ck_assert_ptr_nonnull(strstr(text, "\"path\": \"/r/1?q=a b\""));
	text = explanation("/none", &code);
	ck_assert_int_eq(code, WS_CLI_OK);
	ck_assert_ptr_nonnull(strstr(text, "\"status\": 404"));
	format = NULL;
	text = explanation("/r/1", &code);
	ck_assert_int_eq(code, WS_CLI_OK);
	ck_assert_ptr_nonnull(strstr(text, "refuse"));
	ck_assert_ptr_nonnull(strstr(text, "no_server"));
	ck_assert_ptr_nonnull(strstr(text, "EXPECTED S"));
	ck_assert_int_eq(explain("h", "no-slash", "-"), WS_CLI_REFUSED);
	ck_assert_int_eq(explain("h", "/\xff", "-"), WS_CLI_REFUSED);
	ck_assert_int_eq(explain("", "/r/1", "-"), WS_CLI_REFUSED);
	ck_assert_int_eq(explain("h", "/r/1", "65536"), WS_CLI_REFUSED);
	ck_assert_int_eq(explain("h", "/r/1", ""), WS_CLI_REFUSED);
	ck_assert_int_eq(explain("h", "/r/1", "65535"), WS_CLI_OK);
	kill(edge, SIGKILL);
	waitpid(edge, NULL, 0);
	ck_assert_int_eq(explain("h", "/r/1", "-"), WS_CLI_UNREACHABLE);
	close(ready[0]);
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
	tcase_add_test(tc, request_is_explained_by_a_running_edge);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
