#include "cli/ws_cli_int.h"

#include <stdio.h>
#include <string.h>

/* ===== Cells ===== */

static char *cell_text(const json_t *v)
{
	if (json_is_string(v))
		return g_strdup(json_string_value(v));
	if (json_is_integer(v))
		return g_strdup_printf("%lld",
				       (long long)json_integer_value(v));
	if (json_is_real(v))
		return g_strdup_printf("%.3f", json_real_value(v));
	if (json_is_boolean(v))
		return g_strdup(json_is_true(v) ? "yes" : "no");
	return g_strdup("-");
}

static size_t column_width(const json_t *rows, const struct ws_cli_column *c)
{
	size_t width = strlen(c->title);
	json_t *row;
	char *text;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		text = cell_text(json_object_get(row, c->field));
		if (strlen(text) > width)
			width = strlen(text);
		g_free(text);
	}
	return width;
}

/* The last column is not padded. */
static void print_cell(const char *text, size_t width, bool last)
{
	if (last)
		printf("%s\n", text);
	else
		printf("%-*s  ", (int)width, text);
}

/* ===== Tables ===== */

static void print_row(const json_t *row, const struct ws_cli_column *columns,
		      const size_t *widths)
{
	const struct ws_cli_column *c;
	char *text;

	for (c = columns; c->title; c++) {
		text = cell_text(json_object_get(row, c->field));
		print_cell(text, widths[c - columns], !c[1].title);
		g_free(text);
	}
}

void ws_cli_table(const json_t *rows, const struct ws_cli_column *columns)
{
	size_t n = 0;
	size_t *widths;
	json_t *row;
	size_t i;

	while (columns[n].title)
		n++;
	widths = g_new0(size_t, n + 1);
	for (i = 0; i < n; i++)
		widths[i] = column_width(rows, &columns[i]);
	for (i = 0; i < n; i++)
		print_cell(columns[i].title, widths[i], i + 1 == n);
	json_array_foreach(rows, i, row) print_row(row, columns, widths);
	g_free(widths);
}

void ws_cli_fields(const json_t *o, const struct ws_cli_column *columns)
{
	size_t width = 0;
	const struct ws_cli_column *c;
	char *text;

	for (c = columns; c->title; c++)
		if (strlen(c->title) > width)
			width = strlen(c->title);
	for (c = columns; c->title; c++) {
		text = cell_text(json_object_get(o, c->field));
		printf("%-*s  %s\n", (int)width, c->title, text);
		g_free(text);
	}
}

void ws_cli_print_json(const json_t *o)
{
	json_dumpf(o, stdout, JSON_INDENT(2));
	printf("\n");
}
