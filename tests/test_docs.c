#include <check.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"

/* Compares docs/EVENTS.md with the code; must run in the root of the tree. */

#define LINE_LEN_MAX 1000

static const char *level_name(int level)
{
	static const char *const names[] = { "", "error", "warning", "notice",
					     "debug" };

	return names[level];
}

/* Checks a line if it is a row of the table; returns 1 for a row, else 0. */
static int check_row(const char *line)
{
	const struct ws_log_entry *e;
	char symbol[64];
	char level[32];
	int number;

	if (sscanf(line, "| %d | %63s | %31s |", &number, symbol, level) != 3)
		return 0;
	e = ws_log_find((uint16_t)number);
	ck_assert_msg(e != NULL, "%d is documented but not in the code",
		      number);
	ck_assert_str_eq(symbol, e->symbol);
	ck_assert_str_eq(level, level_name(e->level));
	return 1;
}

/* Operators look up the number of a log line, its symbol and level there. */
START_TEST(events_page_lists_every_event)
{
	const struct ws_log_entry *entries;
	char line[LINE_LEN_MAX];
	FILE *page = fopen("docs/EVENTS.md", "r");
	size_t n = 0;

	ck_assert_ptr_nonnull(page);
	while (fgets(line, sizeof(line), page))
		n += (size_t)check_row(line);
	fclose(page);
	ck_assert_uint_eq(n, ws_log_all(&entries));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("docs");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, events_page_lists_every_event);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
