#include "config/ws_config.h"

#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <string.h>

#include "config/ws_settings.h"

#define LINE_MAX_LEN (INI_MAX_LINE - 2)
#define MAX_SETTINGS 64

struct reading {
	FILE *in;
	const char *name;
	int line;
	struct ws_config *out;
	struct ws_config_error *why;
	bool failed;
	int seen[MAX_SETTINGS]; /* line of each setting; 0: not seen */
};

/* ===== Errors ===== */

/* Only the first error is kept; later ones often follow from it. */
static void refuse(struct reading *r, int line, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void refuse(struct reading *r, int line, const char *fmt, ...)
{
	char text[768];
	va_list ap;

	if (r->failed)
		return;
	r->failed = true;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	snprintf(r->why->text, sizeof(r->why->text), "%s:%d: %s", r->name, line,
		 text);
}

/* ===== Lines ===== */

static void check_section(struct reading *r, const char *line)
{
	char section[INI_MAX_LINE];
	const char *start = line + strspn(line, " \t");
	size_t n;

	if (*start != '[')
		return;
	n = strcspn(start + 1, "]");
	memcpy(section, start + 1, n);
	section[n] = '\0';
	if (!ws_settings_has_section(section))
		refuse(r, r->line,
		       "unknown section [%s]; docs/CONFIG.md lists the "
		       "sections; correct the name or remove the section",
		       section);
}

/* Reader for inih that counts lines and refuses what inih would cut off. */
static char *read_line(char *buf, int size, void *stream)
{
	struct reading *r = stream;
	size_t len;

	if (!fgets(buf, size, r->in))
		return NULL;
	r->line++;
	len = strlen(buf);
	if (len > LINE_MAX_LEN && buf[len - 1] != '\n')
		refuse(r, r->line,
		       "line too long; expected at most %d characters; shorten "
		       "it, for instance with a shorter path",
		       LINE_MAX_LEN);
	check_section(r, buf);
	return buf;
}

static void refuse_value(struct reading *r, const struct ws_setting *s,
			 const char *value)
{
	char expected[256];

	ws_settings_describe(s, expected, sizeof(expected));
	refuse(r, r->line,
	       "[%s] %s = \"%s\" is not valid; expected %s; correct the value",
	       s->section, s->key, value, expected);
}

/* Handler for inih; a result of 0 marks the line as wrong. */
static int take_value(void *user, const char *section, const char *key,
		      const char *value)
{
	struct reading *r = user;
	const struct ws_setting *s = ws_settings_find(section, key);
	const struct ws_setting *all;
	size_t i;

	if (!s) {
		refuse(r, r->line,
		       "unknown setting \"%s\" in section [%s]; docs/CONFIG.md "
		       "lists the settings; correct the name or remove the line",
		       key, section);
		return 0;
	}
	ws_config_settings(&all);
	i = (size_t)(s - all);
	if (r->seen[i]) {
		refuse(r, r->line,
		       "[%s] %s is set twice, first in line %d; expected one "
		       "line; remove one of them",
		       section, key, r->seen[i]);
		return 0;
	}
	r->seen[i] = r->line;
	if (ws_settings_store(s, value, r->out)) {
		refuse_value(r, s, value);
		return 0;
	}
	return 1;
}

/* ===== Whole files ===== */

static void fill_absent(struct reading *r)
{
	const struct ws_setting *all;
	size_t n = ws_config_settings(&all);
	size_t i;

	WS_INVARIANT(n <= MAX_SETTINGS);
	for (i = 0; i < n; i++) {
		if (r->seen[i])
			continue;
		if (all[i].default_value) {
			ws_settings_store(&all[i], all[i].default_value,
					  r->out);
			continue;
		}
		refuse(r, r->line,
		       "[%s] %s is missing; it has no default; add it: %s",
		       all[i].section, all[i].key, all[i].help);
	}
}

static void check_distinct(struct reading *r)
{
	const char *addr[] = { r->out->callers, r->out->internal, r->out->peers,
			       r->out->admin };
	size_t i, j;

	for (i = 0; i < 4; i++)
		for (j = 0; j < i; j++)
			if (*addr[i] && !strcmp(addr[i], addr[j]))
				refuse(r, r->line,
				       "[listen] uses %s twice; expected an "
				       "address for each listener; change one",
				       addr[i]);
}

int ws_config_read(FILE *in, const char *name, struct ws_config *out,
		   struct ws_config_error *why)
{
	struct reading r = {
		.in = in,
		.name = name,
		.out = out,
		.why = why,
	};
	int bad_line;

	memset(out, 0, sizeof(*out));
	bad_line = ini_parse_stream(read_line, &r, take_value, &r);
	if (bad_line)
		refuse(&r, bad_line > 0 ? bad_line : r.line,
		       "line could not be read; expected \"[section]\" or "
		       "\"key = value\"; correct the line");
	fill_absent(&r);
	check_distinct(&r);
	return r.failed ? WS_ERR_CONFIG : 0;
}

int ws_config_load(const char *path, struct ws_config *out,
		   struct ws_config_error *why)
{
	FILE *in = fopen(path, "re");
	int res;

	if (!in) {
		snprintf(why->text, sizeof(why->text),
			 "%s:0: cannot be opened (%s); expected a settings "
			 "file; check the path and its permissions",
			 path, strerror(errno));
		return WS_ERR_CONFIG;
	}
	res = ws_config_read(in, path, out, why);
	fclose(in);
	return res;
}
