#ifndef WS_EIO_METRICS_H
#define WS_EIO_METRICS_H

#include "edgeio/ws_eio.h"

/*
 * Counters and latency histograms of the edge, in Prometheus text format; and
 * explanations of requests (ws_eio_explain.h) at /explain.
 */

/* Port on the machine's own address. */
#define WS_EIO_METRICS_PORT 9180

struct ws_eio_metrics;

/* Counts an answer to a caller; latency from the request's first byte. */
void ws_eio_metrics_answer(unsigned status, ws_us latency);

/* Counts a request whose caller had left before it was read. */
void ws_eio_metrics_caller_gone_unread(void);

/* Counts an answer that a server gave. */
void ws_eio_metrics_forwarded(unsigned status);

/* Counts a request that could not be read, by the status of its answer. */
void ws_eio_metrics_rejection(unsigned status);

/* @return NULL when the port is in use */
struct ws_eio_metrics *ws_eio_metrics_new(struct ws_eio *io);
void ws_eio_metrics_free(struct ws_eio_metrics *m);

#endif
