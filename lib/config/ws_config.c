#include "config/ws_config.h"

#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <string.h>

#include "config/ws_settings.h"

#define LINE_LEN_MAX (INI_MAX_LINE - 2)
#define SETTINGS_MAX 64

struct parser {
	FILE *in;
	const char *name;
	int line;
	struct ws_config *out;
	struct ws_config_error *err;
	bool failed;
	int first_line[SETTINGS_MAX]; /* of each setting; 0: not set */
};

/* ===== Errors ===== */

/* Keeps only the first error; later ones are often caused by it. */
static void report_error(struct parser *p, int line, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void report_error(struct parser *p, int line, const char *fmt, ...)
{
	char text[768];
	va_list ap;

	if (p->failed)
		return;
	p->failed = true;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	snprintf(p->err->text, sizeof(p->err->text), "%s:%d: %s", p->name, line,
		 text);
}

/* ===== Lines ===== */

static void check_section(struct parser *p, const char *line)
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
		report_error(p, p->line,
			     "unknown section [%s]; docs/CONFIG.md lists the "
			     "sections; correct the name or remove the section",
			     section);
}

/* Line reader for inih; counts lines and rejects those that inih truncates. */
static char *read_line(char *buf, int size, void *stream)
{
	struct parser *p = stream;
	size_t len;

	if (!fgets(buf, size, p->in))
		return NULL;
	p->line++;
	len = strlen(buf);
	if (len > LINE_LEN_MAX && buf[len - 1] != '\n')
		report_error(
			p, p->line,
			"line too long; expected at most %d characters; shorten "
			"it, for instance with a shorter path",
			LINE_LEN_MAX);
	check_section(p, buf);
	return buf;
}

static void report_invalid_value(struct parser *p, const struct ws_setting *s,
				 const char *value)
{
	char expected[256];

	ws_settings_describe(s, expected, sizeof(expected));
	report_error(
		p, p->line,
		"[%s] %s = \"%s\" is not valid; expected %s; correct the value",
		s->section, s->key, value, expected);
}

/* Handler for inih; returns 0 if the line is invalid. */
static int on_setting(void *user, const char *section, const char *key,
		      const char *value)
{
	struct parser *p = user;
	const struct ws_setting *s = ws_settings_find(section, key);
	const struct ws_setting *all;
	size_t i;

	if (!s) {
		report_error(
			p, p->line,
			"unknown setting \"%s\" in section [%s]; docs/CONFIG.md "
			"lists the settings; correct the name or remove the line",
			key, section);
		return 0;
	}
	ws_config_settings(&all);
	i = (size_t)(s - all);
	if (p->first_line[i]) {
		report_error(
			p, p->line,
			"[%s] %s is set twice, first in line %d; expected one "
			"line; remove one of them",
			section, key, p->first_line[i]);
		return 0;
	}
	p->first_line[i] = p->line;
	if (ws_settings_store(s, value, p->out)) {
		report_invalid_value(p, s, value);
		return 0;
	}
	return 1;
}

/* ===== Files ===== */

static void apply_defaults(struct parser *p)
{
	const struct ws_setting *all;
	size_t n = ws_config_settings(&all);
	size_t i;

	WS_INVARIANT(n <= SETTINGS_MAX);
	for (i = 0; i < n; i++) {
		if (p->first_line[i])
			continue;
		if (all[i].default_value) {
			ws_settings_store(&all[i], all[i].default_value,
					  p->out);
			continue;
		}
		report_error(
			p, p->line,
			"[%s] %s is missing; it has no default; add it: %s",
			all[i].section, all[i].key, all[i].help);
	}
}

static void check_distinct_listeners(struct parser *p)
{
	const char *addr[] = { p->out->callers, p->out->internal, p->out->peers,
			       p->out->admin };
	size_t i, j;

	for (i = 0; i < 4; i++)
		for (j = 0; j < i; j++)
			if (*addr[i] && !strcmp(addr[i], addr[j]))
				report_error(
					p, p->line,
					"[listen] uses %s twice; expected an "
					"address for each listener; change one",
					addr[i]);
}

int ws_config_read(FILE *in, const char *name, struct ws_config *out,
		   struct ws_config_error *err)
{
	struct parser p = {
		.in = in,
		.name = name,
		.out = out,
		.err = err,
	};
	int bad_line;

	memset(out, 0, sizeof(*out));
	bad_line = ini_parse_stream(read_line, &p, on_setting, &p);
	if (bad_line)
		report_error(
			&p, bad_line > 0 ? bad_line : p.line,
			"line could not be read; expected \"[section]\" or "
			"\"key = value\"; correct the line");
	apply_defaults(&p);
	check_distinct_listeners(&p);
	return p.failed ? WS_ERR_CONFIG : 0;
}

int ws_config_load(const char *path, struct ws_config *out,
		   struct ws_config_error *err)
{
	FILE *in = fopen(path, "re");
	int res;

	if (!in) {
		snprintf(err->text, sizeof(err->text),
			 "%s:0: cannot be opened (%s); expected a settings "
			 "file; check the path and its permissions",
			 path, strerror(errno));
		return WS_ERR_CONFIG;
	}
	res = ws_config_read(in, path, out, err);
	fclose(in);
	return res;
}
