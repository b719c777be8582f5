#ifndef WS_SLOG_H
#define WS_SLOG_H

#include "codec/ws_json.h"

/*
 * Stand-in for the platform's append-only log: offsets from 1, retention by
 * count, and faults on request. Holds no socket and reads no clock.
 */

#define WS_SLOG_FOREVER INT64_MAX

struct ws_slog_record {
	char *data;
	size_t len;
};

struct ws_slog {
	struct ws_slog_record *records; /* [0] has offset oldest */
	size_t n_records;
	size_t cap;
	ws_offset oldest_offset;
	/* Faults */
	ws_us down_until; /* connections are closed without an answer */
	ws_us silent_until; /* connections are held without an answer */
	ws_us response_delay; /* delay of each answer */
	uint32_t lose_replies; /* of the next appends, after the effect */
	uint32_t refuse_appends; /* the next appends answer 503, no effect */
	uint64_t retain; /* records kept; 0: all */
};

struct ws_slog *ws_slog_new(void);
void ws_slog_free(struct ws_slog *l);

/* Appends a record; returns its offset. */
ws_offset ws_slog_append(struct ws_slog *l, const char *data, size_t len);

/* Offset that the next record will get. */
ws_offset ws_slog_head(const struct ws_slog *l);

/* Page of at most max records from an offset on, as JSON text; malloc'ed. */
char *ws_slog_read(const struct ws_slog *l, ws_offset from, size_t max);

/*
 * Sets the faults named in a JSON object and leaves the others as they are.
 * @return 0, or WS_ERR_SYNTAX with the reason filled in
 */
int ws_slog_set_faults(struct ws_slog *l, ws_us now, const char *text,
		       struct ws_codec_error *why);

/* Takes one from a counted fault; tells whether there was one left. */
bool ws_standin_consume_fault(uint32_t *count);

/* Reads "<field>" in ms into a point in time; negative: for ever, 0: off. */
int ws_standin_read_end_time(const struct ws_json *j, const char *field,
			     ws_us now, ws_us *out);

/* Reads an optional count. */
int ws_standin_read_count(const struct ws_json *j, const char *field,
			  uint32_t *out);

#endif
