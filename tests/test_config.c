#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "config/ws_config.h"
#include "config/ws_secret.h"

#define KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* A complete file, one setting a line; line numbers are used below. */
static const char *const good[] = {
	"[instance]", /* 1 */
	"name = router-1",
	"zone = riga-1",
	("seed_operator_key = " KEY),
	"[listen]", /* 5 */
	"callers = 127.0.0.1:8080",
	"peers = 127.0.0.1:8081",
	"admin = [::1]:8082",
	"[platform]", /* 9 */
	"log = http://127.0.0.1:9000",
	"list = http://127.0.0.1:9001",
	"[cluster]", /* 12 */
	"secret_file = /etc/wagtailshift/secret",
	"[admin]", /* 14 */
	"token_file = /etc/wagtailshift/token",
	"[limits]", /* 16 */
	"max_memory = 64 MiB",
};

#define N_GOOD (sizeof(good) / sizeof(good[0]))

/* Reads the complete file with one line replaced and one line added. */
static int read_with(size_t line, const char *text, const char *added,
		     struct ws_config *c, struct ws_config_error *why)
{
	char buf[8192] = "";
	size_t i;
	FILE *in;
	int res;

	for (i = 0; i < N_GOOD; i++) {
		strcat(buf, i + 1 == line ? text : good[i]);
		strcat(buf, "\n");
	}
	strcat(buf, added);
	in = fmemopen(buf, strlen(buf), "r");
	why->text[0] = '\0';
	res = ws_config_read(in, "ws.ini", c, why);
	fclose(in);
	return res;
}

START_TEST(complete_file_is_read_with_defaults)
{
	struct ws_config c;
	struct ws_config_error why;

	ck_assert_int_eq(read_with(0, "", "", &c, &why), 0);
	ck_assert_str_eq(c.zone, "riga-1");
	ck_assert_str_eq(c.admin, "[::1]:8082");
	ck_assert_str_eq(c.internal, "");
	ck_assert_int_eq(c.max_memory, INT64_C(67108864));
	ck_assert_int_eq(c.max_queued, 200);
	ck_assert_int_eq(c.shutdown_time, 60000);
	ck_assert_str_eq(c.pick, "two-choices");
	ck_assert_int_eq(c.seed_key[1], 0x11);
}
END_TEST

struct bad {
	size_t line; /* replaced line; 0: text is added at the end */
	const char *text;
	const char *place;
	const char *part; /* of the message */
};

static const struct bad bads[] = {
	{ 2, "name = Router_1", "ws.ini:2: ", "a name of 1 to 63" },
	{ 3, "zone = ", "ws.ini:3: ", "[instance] zone" },
	{ 3, "zone = riga 1", "ws.ini:3: ", "[instance] zone" },
	{ 4, "seed_operator_key = 0011", "ws.ini:4: ", "64 hexadecimal" },
	{ 4, "seed_operator_key = " KEY "0", "ws.ini:4: ", "64 hexadecimal" },
	{ 6, "callers = 127.0.0.1", "ws.ini:6: ", "ip:port" },
	{ 6, "callers = 127.0.0.1:0", "ws.ini:6: ", "ip:port" },
	{ 6, "callers = 127.0.0.1:65536", "ws.ini:6: ", "ip:port" },
	{ 6, "callers = localhost:80", "ws.ini:6: ", "ip:port" },
	{ 6, "callers = [::1:80", "ws.ini:6: ", "ip:port" },
	{ 7, "peers = 0.0.0.0:8081", "ws.ini:7: ", "peers" },
	{ 7, "peers = 127.0.0.1:8080", "ws.ini:17: ", "twice" },
	{ 10, "log = https://127.0.0.1:1", "ws.ini:10: ", "http://" },
	{ 10, "log = http://127.0.0.1", "ws.ini:10: ", "http://" },
	{ 10, "log = http://127.0.0.1:9/x", "ws.ini:10: ", "http://" },
	{ 13, "secret_file = secret", "ws.ini:13: ", "absolute path" },
	{ 15, "", "ws.ini:17: ", "[admin] token_file is missing" },
	{ 17, "max_memory = 64", "ws.ini:17: ", "KiB or MiB" },
	{ 17, "max_memory = 64 MB", "ws.ini:17: ", "KiB or MiB" },
	{ 17, "max_memory = 1 KiB", "ws.ini:17: ", "1 MiB to" },
	{ 17, "max_queued = -1", "ws.ini:17: ", "1 to 100000" },
	{ 17, "max_queued = 1x", "ws.ini:17: ", "whole number" },
	{ 17, "max_queued = 99999999999999999999", "ws.ini:17: ", "1 to" },
	{ 17, "max_ids = 1", "ws.ini:17: ", "unknown setting" },
	{ 17, "no equals sign", "ws.ini:17: ", "could not be read" },
	{ 0, "[limit]\n", "ws.ini:18: ", "unknown section [limit]" },
	{ 0, "max_memory = 32 MiB\n", "ws.ini:18: ", "first in line 17" },
	{ 0, "[routing]\npick = best\n", "ws.ini:19: ", "round-robin" },
	{ 0, "shutdown_time = 5\n", "ws.ini:18: ", "ms or s" },
};

/* A setting that is silently ignored or guessed shows only in production. */
START_TEST(wrong_setting_is_refused_with_place_and_remedy)
{
	const struct bad *b = &bads[_i];
	struct ws_config c;
	struct ws_config_error why;
	int res = read_with(b->line, b->text, b->line ? "" : b->text, &c, &why);

	ck_assert_int_eq(res, WS_ERR_CONFIG);
	ck_assert_msg(!strncmp(why.text, b->place, strlen(b->place)), "%s",
		      why.text);
	ck_assert_msg(strstr(why.text, b->part) != NULL, "%s", why.text);
}
END_TEST

/* inih cuts long lines, so that a path could lose its end unnoticed. */
START_TEST(overlong_line_is_refused)
{
	char line[400] = "secret_file = /";
	struct ws_config c;
	struct ws_config_error why;

	memset(line + strlen(line), 'a', 300);
	ck_assert_int_eq(read_with(13, line, "", &c, &why), WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(why.text, "ws.ini:13: line too long"));
}
END_TEST

START_TEST(absent_file_is_refused)
{
	struct ws_config c;
	struct ws_config_error why;

	ck_assert_int_eq(ws_config_load("/nonexistent/ws.ini", &c, &why),
			 WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(why.text, "/nonexistent/ws.ini"));
}
END_TEST

static char *read_doc(void)
{
	char *text = calloc(1, 65536);
	FILE *in = fopen("docs/CONFIG.md", "r");

	ck_assert_ptr_nonnull(in);
	ck_assert_uint_lt(fread(text, 1, 65535, in), 65535);
	fclose(in);
	return text;
}

static size_t count_rows(const char *text)
{
	size_t n = 0;

	while ((text = strstr(text, "\n| `["))) {
		text++;
		n++;
	}
	return n;
}

/* The page must name every setting as the program takes it, and no other. */
START_TEST(page_lists_every_setting_exactly)
{
	const struct ws_setting *all;
	size_t n = ws_config_settings(&all);
	char *doc = read_doc();
	char row[512];
	size_t i;

	for (i = 0; i < n; i++) {
		ws_config_doc_row(&all[i], row, sizeof(row));
		ck_assert_msg(strstr(doc, row) != NULL, "missing row: %s", row);
	}
	ck_assert_uint_eq(count_rows(doc), n);
	free(doc);
}
END_TEST

static int read_secret(const char *text, struct ws_config_error *why)
{
	struct ws_secret_lines lines;
	char path[] = "/tmp/ws_secret_XXXXXX";
	int fd = mkstemp(path);
	int res;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (int)strlen(text));
	close(fd);
	res = ws_secret_read(path, WS_SECRET_LINES_MAX, &lines, why);
	unlink(path);
	return res;
}

/* A weak, empty or missing secret must not start an instance unprotected. */
START_TEST(secret_files_are_checked_and_name_the_remedy)
{
	struct ws_config_error why;
	struct ws_secret_lines lines;

	ck_assert_int_eq(
		read_secret("0123456789abcdef0123456789abcdef\n", &why), 0);
	ck_assert_int_eq(read_secret("short\n", &why), WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(why.text, "expected 32 to 256"));
	ck_assert_int_eq(read_secret("", &why), WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(why.text, "the file is empty"));
	ck_assert_int_eq(ws_secret_read("/nonexistent", 1, &lines, &why),
			 WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(why.text, "secret_file"));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, complete_file_is_read_with_defaults);
	tcase_add_loop_test(tc, wrong_setting_is_refused_with_place_and_remedy,
			    0, sizeof(bads) / sizeof(bads[0]));
	tcase_add_test(tc, overlong_line_is_refused);
	tcase_add_test(tc, absent_file_is_refused);
	tcase_add_test(tc, secret_files_are_checked_and_name_the_remedy);
	tcase_add_test(tc, page_lists_every_setting_exactly);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
