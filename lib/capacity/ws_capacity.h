#ifndef WS_CAPACITY_H
#define WS_CAPACITY_H

#include <stddef.h>
#include <stdint.h>

/*
 * Measures what state, messages and work cost in the real modules at several
 * sizes, fits lines, and works out the cost of each role at the size to design
 * for. The results are CSV and the tables of docs/CAPACITY.md.
 */

/* ===== Lines through measured points ===== */

#define WS_CAP_POINTS 6
#define WS_CAP_REPEATS 5

struct ws_cap_point {
	double x;
	double y; /* median of the repeats */
};

struct ws_cap_fit {
	double slope;
	double intercept;
	double max_deviation; /* largest deviation of a point, part of the point
			       */
};

/*
 * Least squares of relative deviations, so that small sizes count as much as
 * large ones.
 * @return 0, or WS_ERR_LIMIT with fewer than three different x or a y <= 0
 */
int ws_cap_fit(const struct ws_cap_point *p, size_t n, struct ws_cap_fit *fit);

struct ws_cap_series {
	const char *name;
	const char *x_unit;
	const char *y_unit;
	size_t n;
	struct ws_cap_point points[WS_CAP_POINTS];
	double spread; /* largest (max - min) / median over repeats */
	struct ws_cap_fit fit;
};

/* Adds a point: the median of n samples, which are sorted. */
void ws_cap_add_point(struct ws_cap_series *s, double x, double *samples,
		      size_t n);

/* Value of the fitted line at x. */
double ws_cap_fit_at(const struct ws_cap_series *s, double x);

/* ===== Growing text ===== */

struct ws_cap_text {
	char *data;
	size_t len;
	size_t cap;
};

void ws_cap_printf(struct ws_cap_text *t, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void ws_cap_text_free(struct ws_cap_text *t);

/* ===== The page ===== */

#define WS_CAP_MARKER_BEGIN "<!-- tables of scripts/capacity.sh: begin -->\n"
#define WS_CAP_MARKER_END "<!-- tables of scripts/capacity.sh: end -->\n"

/*
 * Replaces what stands between the two marker lines.
 * @return 0, or WS_ERR_SYNTAX when the markers are not there once, in order
 */
int ws_cap_replace_tables(const char *page, const char *tables,
			  struct ws_cap_text *out);

/* ===== Measurements ===== */

enum ws_cap_series_id {
	WS_CAP_HEARTBEAT_BYTES, /* heartbeat on the wire, by targets told */
	WS_CAP_HEARTBEAT_SEND, /* encode and seal, by targets told */
	WS_CAP_HEARTBEAT_RECEIVE, /* open, decode and handle, by targets told */
	WS_CAP_MEMBER_HEARTBEAT, /* handling alone, by members */
	WS_CAP_MEMBER_MEM,
	WS_CAP_MEMBER_TICK,
	WS_CAP_LIST_BYTES,
	WS_CAP_LIST_PARSE,
	WS_CAP_OWN_MEM, /* by shards */
	WS_CAP_OWN_FOLD,
	WS_CAP_OWN_PLAN,
	WS_CAP_OWN_TICK, /* by members */
	WS_CAP_OWN_TICK_SHARDS,
	WS_CAP_FRESHNESS_ROUND, /* freshness round, by partitions squared */
	WS_CAP_ADM_MEM, /* by instances */
	WS_CAP_ADM_PULLS, /* by customers */
	WS_CAP_ADM_CPU_BY_CUSTOMERS,
	WS_CAP_ADM_CPU_BY_INSTANCES, /* as before, by instances */
	WS_CAP_IDEM_MEM, /* by ids */
	WS_CAP_ASSIGN_BYTES, /* by items */
	WS_CAP_SNAPSHOT_BYTES, /* by assignments */
	WS_CAP_SNAPSHOT_LOAD,
	WS_CAP_GRANT_BYTES, /* by shards */
	WS_CAP_BUNDLE_BYTES, /* record with the bundle, by caller keys */
	WS_CAP_BUNDLE_OPEN,
	WS_CAP_N_SERIES,
};

/* What the loss of some members appends to the log. */
struct ws_cap_loss {
	const char *name;
	size_t instances;
	size_t targets;
	size_t assign_records;
	size_t items;
	size_t activate_records;
	size_t other_records;
	size_t bytes;
	double cpu_seconds; /* of one instance, seconds */
};

enum ws_cap_loss_id {
	WS_CAP_LOSS_INSTANCE,
	WS_CAP_LOSS_RACK,
	WS_CAP_LOSS_ZONE,
	WS_CAP_LOSS_DRAIN,
	WS_CAP_N_LOSSES,
};

struct ws_cap_results {
	struct ws_cap_series series[WS_CAP_N_SERIES];
	struct ws_cap_loss losses[WS_CAP_N_LOSSES];
	size_t fresh_message_bytes; /* FRESH_ASK and FRESH_ANSWER on the wire */
	size_t token_message_bytes; /* TOKEN_ASK and TOKEN_GIVE on the wire */
	size_t activate_record_bytes;
	size_t health_response_bytes; /* body of a health answer */
	double seconds; /* run time */
};

void ws_cap_measure(struct ws_cap_results *r);

/* ===== Reports ===== */

void ws_cap_write_csv(const struct ws_cap_results *r, struct ws_cap_text *out);

/* The tables of docs/CAPACITY.md. */
void ws_cap_write_tables(const struct ws_cap_results *r,
			 struct ws_cap_text *out);

#endif
