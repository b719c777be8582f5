#include "capacity/ws_capacity.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_common.h"

/* Growing text and the marked part of the page. */

void ws_cap_printf(struct ws_cap_text *t, const char *format, ...)
{
	va_list args;
	int n;

	va_start(args, format);
	n = vsnprintf(NULL, 0, format, args);
	va_end(args);
	WS_INVARIANT(n >= 0);
	ws_grow(&t->data, &t->cap, t->len + (size_t)n + 1, 1);
	va_start(args, format);
	(void)vsnprintf(t->data + t->len, (size_t)n + 1, format, args);
	va_end(args);
	t->len += (size_t)n;
}

void ws_cap_text_free(struct ws_cap_text *t)
{
	free(t->data);
	*t = (struct ws_cap_text){ .data = NULL };
}

/* The only place of a line in the page, or NULL. */
static const char *find_once(const char *page, const char *line)
{
	const char *at = strstr(page, line);

	return at && !strstr(at + 1, line) ? at : NULL;
}

int ws_cap_replace_tables(const char *page, const char *tables,
			  struct ws_cap_text *out)
{
	const char *begin = find_once(page, WS_CAP_MARKER_BEGIN);
	const char *end = find_once(page, WS_CAP_MARKER_END);

	if (!begin || !end || end < begin)
		return WS_ERR_SYNTAX;
	begin += strlen(WS_CAP_MARKER_BEGIN);
	ws_cap_printf(out, "%.*s", (int)(begin - page), page);
	ws_cap_printf(out, "%s%s", tables, end);
	return 0;
}
