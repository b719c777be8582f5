#ifndef WS_SLOG_H
#define WS_SLOG_H

#include "codec/ws_json.h"

/*
 * Stand-in for the platform's append-only log. Offsets start at 1, retention is
 * by number of records, and faults can be injected. Does no I/O and reads no
 * clock.
 */

#define WS_SLOG_FOREVER INT64_MAX

struct ws_slog_record {
	char *data;
	size_t len;
};

struct ws_slog {
	struct ws_slog_record *records; /* [0] is at oldest_offset */
	size_t n_records;
	size_t cap;
	ws_offset oldest_offset;
	/* Faults */
	ws_us down_until; /* connections are closed without a response */
	ws_us silent_until; /* connections stay open without a response */
	ws_us response_delay; /* of each request */
	uint32_t lose_replies; /* appends that succeed without a response */
	uint32_t refuse_appends; /* number of next appends refused with 503 */
	uint64_t retain; /* records kept; 0: all */
};

struct ws_slog *ws_slog_new(void);
void ws_slog_free(struct ws_slog *l);

/* Appends a record and returns its offset. */
ws_offset ws_slog_append(struct ws_slog *l, const char *data, size_t len);

/* Offset of the next record. */
ws_offset ws_slog_head(const struct ws_slog *l);

/* Page of at most max records from an offset on, as JSON text from malloc. */
char *ws_slog_read(const struct ws_slog *l, ws_offset from, size_t max);

/*
 * Sets the faults named in a JSON object and leaves the others as they are.
 * @return 0, or WS_ERR_SYNTAX with the reason filled in
 */
int ws_slog_set_faults(struct ws_slog *l, ws_us now, const char *text,
		       struct ws_codec_error *why);

/* Decrements a counted fault; returns true if the fault applies now. */
bool ws_standin_consume_fault(uint32_t *count);

/*
 * Reads an optional duration in ms as the time at which a fault ends; negative:
 * never, 0: now.
 */
int ws_standin_read_end_time(const struct ws_json *j, const char *field,
			     ws_us now, ws_us *out);

/* Reads an optional unsigned number. */
int ws_standin_read_count(const struct ws_json *j, const char *field,
			  uint32_t *out);

#endif
