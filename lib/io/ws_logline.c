#include "io/ws_logline.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define G_LOG_USE_STRUCTURED
#include <glib.h>

static enum ws_log_level threshold = WS_LEVEL_NOTICE;
static char instance_name[64];

static GLogLevelFlags glib_level(uint8_t level)
{
	switch (level) {
	case WS_LEVEL_ERROR:
		return G_LOG_LEVEL_CRITICAL;
	case WS_LEVEL_WARNING:
		return G_LOG_LEVEL_WARNING;
	case WS_LEVEL_NOTICE:
		return G_LOG_LEVEL_MESSAGE;
	default:
		return G_LOG_LEVEL_DEBUG;
	}
}

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return "notice";
	return "debug";
}

static void format_time(char *buf, size_t size)
{
	struct timespec ts;
	struct tm tm;
	size_t n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(buf, size, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf + n, size - n, ".%03ldZ", ts.tv_nsec / 1000000);
}

/*
 * Replaces control characters and quotes, so that text from outside can't forge
 * fields or lines.
 */
static void append_field(GString *line, const char *key, const char *value)
{
	g_string_append_printf(line, " %s=\"", key);
	for (; *value; value++) {
		unsigned char c = (unsigned char)*value;

		g_string_append_c(
			line, c < 32 || c == '"' || c == 127 ? '?' : *value);
	}
	g_string_append_c(line, '"');
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer user)
{
	GString *line = g_string_new(NULL);
	char when[48];
	gsize i;

	(void)user;
	format_time(when, sizeof(when));
	g_string_append_printf(line, "%s %s instance=%s", when,
			       level_name(level), instance_name);
	for (i = 0; i < n; i++) {
		const char *key = fields[i].key;

		if (strncmp(key, "WS_", 3) != 0 && strcmp(key, "MESSAGE") != 0)
			continue;
		if (fields[i].length >= 0)
			continue;
		append_field(line, key[0] == 'W' ? key + 3 : key,
			     fields[i].value);
	}
	g_string_append_c(line, '\n');
	fputs(line->str, stderr);
	g_string_free(line, TRUE);
	return G_LOG_WRITER_HANDLED;
}

void ws_logline_init(enum ws_log_level min_level, const char *instance)
{
	threshold = min_level;
	snprintf(instance_name, sizeof(instance_name), "%s", instance);
	g_log_set_writer_func(write_line, NULL, NULL);
}

static GLogField text_field(const char *key, const char *value)
{
	return (GLogField){ .key = key, .value = value, .length = -1 };
}

void ws_logline(uint16_t number, ws_id subject, int64_t value, int error,
		const char *detail)
{
	const struct ws_log_entry *e = ws_log_find(number);
	char number_text[8];
	char subject_text[20];
	char value_text[24];

	if (!e || e->level > threshold)
		return;
	snprintf(number_text, sizeof(number_text), "%u", number);
	snprintf(subject_text, sizeof(subject_text), "%016llx",
		 (unsigned long long)subject);
	snprintf(value_text, sizeof(value_text), "%lld", (long long)value);
	const GLogField fields[] = {
		text_field("WS_NUMBER", number_text),
		text_field("WS_SYMBOL", e->symbol),
		text_field("MESSAGE", e->text),
		text_field("WS_SUBJECT", subject_text),
		text_field("WS_VALUE", value_text),
		text_field("WS_ERROR", ws_error_name(error)),
		text_field("WS_DETAIL", detail ? detail : ""),
	};
	g_log_structured_array(glib_level(e->level), fields,
			       G_N_ELEMENTS(fields));
}
