#ifndef WS_METRICS_H
#define WS_METRICS_H

#include "common/ws_common.h"

struct ws_shell;

/* Counters of this instance and the latency histogram of its callers. */

struct ws_metrics;

struct ws_metrics *ws_metrics_new(void);
void ws_metrics_free(struct ws_metrics *m);

/*
 * Counts a request of a caller that has ended.
 * @param status 0 if the caller disconnected before the response
 */
void ws_metrics_request(struct ws_metrics *m, unsigned status, ws_us latency);

/* Counts a request that was refused with an enum ws_error. */
void ws_metrics_refusal(struct ws_metrics *m, int error);

/* Counts bytes received from and sent to other instances. */
void ws_metrics_peer_bytes(struct ws_metrics *m, size_t in, size_t out);

/*
 * Returns all metrics in the Prometheus text format; the caller frees the
 * string.
 */
char *ws_metrics_text(const struct ws_shell *sh);

#endif
