#include "edgeio/ws_eio_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Lines per second for requests, and further ones reserved for events. */
#define LINES_PER_S 30
#define EVENT_LINES_PER_S 30
#define LINE_MAX_BYTES 800

static char machine_name[WS_ED_NAME_MAX];
static int64_t this_second;
static unsigned lines; /* written in this_second */
static uint64_t dropped;
static uint64_t dropped_reported;

void ws_eio_log_init(const char *machine)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	snprintf(machine_name, sizeof(machine_name), "%s", machine);
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

uint64_t ws_eio_log_dropped(void)
{
	return dropped;
}

static bool count_line(unsigned max_lines, int64_t second)
{
	if (second != this_second) {
		this_second = second;
		lines = 0;
	}
	if (lines >= max_lines) {
		dropped++;
		return false;
	}
	lines++;
	return true;
}

/*
 * Replaces control characters, blanks and quotes, so that text from outside
 * can't imitate fields of the log line.
 */
static void sanitize(char *to, size_t size, const char *from)
{
	size_t i;

	for (i = 0; i + 1 < size && from[i]; i++)
		to[i] = from[i] < 33 || from[i] == '"' || from[i] == 127 ?
				'_' :
				from[i];
	to[i] = '\0';
}

static void write_line(unsigned max_lines, const char *level, const char *text)
{
	char buf[LINE_MAX_BYTES];
	struct timespec ts;
	struct tm tm;
	char timestamp[32];
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (!count_line(max_lines, ts.tv_sec))
		return;
	gmtime_r(&ts.tv_sec, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(buf, sizeof(buf) - 1, "%s.%03ldZ %s machine=%s %s",
		     timestamp, ts.tv_nsec / 1000000, level, machine_name,
		     text);
	if (n >= (int)sizeof(buf) - 1)
		n = (int)sizeof(buf) - 2;
	if (dropped > dropped_reported && n < (int)sizeof(buf) - 40) {
		n += snprintf(buf + n, sizeof(buf) - 1 - (size_t)n,
			      " dropped=%" PRIu64, dropped - dropped_reported);
		dropped_reported = dropped;
	}
	buf[n++] = '\n';
	if (write(STDOUT_FILENO, buf, (size_t)n) != n)
		dropped++;
}

static const char *level_name(uint8_t level)
{
	switch (level) {
	case WS_LEVEL_ERROR:
		return "error";
	case WS_LEVEL_WARNING:
		return "warning";
	default:
		return "notice";
	}
}

void ws_eio_log(uint16_t number, ws_id subject, int64_t value,
		const char *detail)
{
	const struct ws_log_entry *e = ws_log_find(number);
	char text[400];
	char clean_detail[200];

	if (!e)
		return;
	sanitize(clean_detail, sizeof(clean_detail), detail ? detail : "");
	snprintf(text, sizeof(text),
		 "event=%u symbol=%s subject=%016" PRIx64 " value=%" PRId64
		 " detail=%s text=\"%s\"",
		 number, e->symbol, subject, value, clean_detail, e->text);
	write_line(LINES_PER_S + EVENT_LINES_PER_S, level_name(e->level), text);
}

void ws_eio_log_request(const struct ws_eio_request_log *l)
{
	char text[700];
	char id[48];
	char host[64];
	char path[96];

	sanitize(id, sizeof(id), l->request_id);
	sanitize(host, sizeof(host), l->host);
	sanitize(path, sizeof(path), l->path);
	snprintf(
		text, sizeof(text),
		"request=%s status=%d reason=%s customer=%s method=%s host=%s "
		"path=%s key=%" PRId32 " server=%s "
		"spent_ms=%.1f input_age_ms=%.0f sendings=%u sent_ms=%.1f "
		"servers_age_ms=%.0f leaving_ms=%.0f retry_after_ms=%.0f waiting=%zu "
		"config=%" PRIu64 " evidence_age_ms=%.0f "
		"fingerprint=%016" PRIx64,
		id, l->status, ws_ed_reason_name(l->reason), l->customer,
		l->method, host, path, l->shard_key, l->server,
		(double)l->elapsed / 1000.0, (double)l->input_age / 1000.0,
		l->attempts,
		l->sending.after < 0 ? -1.0 : (double)l->sending.after / 1000.0,
		(double)l->sending.servers_age / 1000.0,
		(double)l->sending.leaving_for / 1000.0,
		(double)l->retry_after / 1000.0, l->waiting, l->config_version,
		(double)l->evidence_age / 1000.0, l->fingerprint);
	write_line(LINES_PER_S, l->reason ? "warning" : "notice", text);
}
