#ifndef WS_HIST_H
#define WS_HIST_H

#include "common/ws_common.h"

/*
 * Log-linear histogram of durations in microseconds: one bucket per value
 * below 32, then 32 buckets per power of two, so that a quantile is at most
 * 1/32 too high. Values of 2^36 us (19 hours) and above share the last bucket.
 */

#define WS_HIST_SUB_BITS 5
#define WS_HIST_SUB ((size_t)1 << WS_HIST_SUB_BITS)
#define WS_HIST_MAX_BITS 36
#define WS_HIST_BUCKETS \
	(WS_HIST_SUB * (WS_HIST_MAX_BITS - WS_HIST_SUB_BITS + 1))

struct ws_hist {
	uint64_t count;
	uint64_t sum;
	ws_us max;
	uint64_t bucket[WS_HIST_BUCKETS];
};

/* Counts a value; a negative value counts as 0. */
void ws_hist_add(struct ws_hist *h, ws_us value);

/* Adds all counts of from to h. */
void ws_hist_merge(struct ws_hist *h, const struct ws_hist *from);

/*
 * Estimates a quantile by the upper bound of its bucket.
 * @param q 0 to 1
 * @return 0 if the histogram is empty
 */
ws_us ws_hist_quantile(const struct ws_hist *h, double q);

/* Counts the values in buckets that lie wholly at or below a bound. */
uint64_t ws_hist_at_most(const struct ws_hist *h, ws_us bound);

ws_us ws_hist_mean(const struct ws_hist *h);

#endif
