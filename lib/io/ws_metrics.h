#ifndef WS_METRICS_H
#define WS_METRICS_H

#include "common/ws_common.h"

struct ws_shell;

/* Own counters and the latency histogram of this instance's callers. */

struct ws_metrics;

struct ws_metrics *ws_metrics_new(void);
void ws_metrics_free(struct ws_metrics *m);

/* A request at a caller listener has ended; status 0: caller gone. */
void ws_metrics_request(struct ws_metrics *m, unsigned status, ws_us latency);

/* A request was refused with an enum ws_error. */
void ws_metrics_refusal(struct ws_metrics *m, int error);

/* Bytes sent or received between instances. */
void ws_metrics_peer_bytes(struct ws_metrics *m, size_t in, size_t out);

/* Text exposition format; malloc'ed. */
char *ws_metrics_text(const struct ws_shell *sh);

#endif
