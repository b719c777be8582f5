#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity/ws_capacity.h"
#include "common/ws_common.h"

/*
 * Prints the measurements as CSV. With the name of a page, also replaces the
 * tables between the markers of that page.
 */

static int read_file(const char *path, struct ws_cap_text *t)
{
	char part[4096];
	FILE *f = fopen(path, "r");
	size_t n;

	if (!f)
		return -1;
	while ((n = fread(part, 1, sizeof(part), f)) > 0)
		ws_cap_printf(t, "%.*s", (int)n, part);
	(void)fclose(f);
	return 0;
}

static int write_file(const char *path, const struct ws_cap_text *t)
{
	FILE *f = fopen(path, "w");
	size_t n;

	if (!f)
		return -1;
	n = fwrite(t->data, 1, t->len, f);
	return fclose(f) || n != t->len ? -1 : 0;
}

static int update_page(const char *path, const char *tables)
{
	struct ws_cap_text page = { .data = NULL };
	struct ws_cap_text out = { .data = NULL };
	int res = 1;

	if (read_file(path, &page) || !page.data)
		fprintf(stderr, "%s: cannot be read\n", path);
	else if (ws_is_error(ws_cap_replace_tables(page.data, tables, &out)))
		fprintf(stderr, "%s: the two marker lines are missing\n", path);
	else if (write_file(path, &out))
		fprintf(stderr, "%s: cannot be written\n", path);
	else
		res = 0;
	ws_cap_text_free(&page);
	ws_cap_text_free(&out);
	return res;
}

int main(int argc, char **argv)
{
	struct ws_cap_results *r = ws_alloc(1, sizeof(*r));
	struct ws_cap_text csv = { .data = NULL };
	struct ws_cap_text tables = { .data = NULL };
	int res = 0;

	if (argc > 2 || (argc == 2 && argv[1][0] == '-')) {
		fprintf(stderr, "usage: wagtailshift-capacity [PAGE]\n");
		free(r);
		return 2;
	}
	ws_cap_measure(r);
	ws_cap_write_csv(r, &csv);
	ws_cap_write_tables(r, &tables);
	fputs(csv.data, stdout);
	if (argc == 2)
		res = update_page(argv[1], tables.data);
	ws_cap_text_free(&csv);
	ws_cap_text_free(&tables);
	free(r);
	return res;
}
