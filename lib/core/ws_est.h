#ifndef WS_EST_H
#define WS_EST_H

#include "core/ws_handle.h"
#include "core/ws_member.h"

/*
 * Estimates of a frontend about targets and services. Own measurements come
 * first; what dispatchers tell counts only where they are missing. Part of
 * ws_route.
 */

/* An estimate without a new sample for this long is forgotten. */
#define WS_EST_MAX_AGE (10 * WS_SECOND)

/* Loads told longer ago than this are ignored. */
#define WS_EST_LOAD_AGE (1 * WS_SECOND)

/* A target is slow above factor * median of its service + slack. */
#define WS_EST_SLOW_FACTOR 3
#define WS_EST_SLOW_SLACK (1 * WS_MS)

/* A slow target is tried again after this time at the earliest ... */
#define WS_EST_PROBE_PERIOD (500 * WS_MS)
/* ... and with at most one of this many calls of the service. */
#define WS_EST_PROBE_CALLS 200

/* An attempt that was given up counts as this many times its age. */
#define WS_EST_CENSORED_FACTOR 2

#define WS_EST_MEDIAN_PERIOD (50 * WS_MS)

struct ws_est {
	ws_id target;
	ws_id service;
	ws_us latency; /* smoothed, own measurements; 0: none */
	ws_us sampled;
	uint32_t in_flight; /* own attempts */
	ws_us oldest; /* sending time of the oldest of them, per tick */
	uint64_t last_pick;
	struct ws_load load; /* as told */
	ws_us load_at; /* 0: never */
	uint32_t utilization; /* smoothed load over limit as told, in 1/1000 */
};

struct ws_svc_est {
	ws_id service;
	ws_us median; /* of the targets' latencies */
	ws_us tail; /* 95th percentile of the latency */
	uint32_t probe_credit; /* in calls; see WS_EST_PROBE_CALLS */
};

struct ws_ests {
	struct ws_handles slots;
	struct ws_est *targets;
	size_t cap_targets;
	struct ws_index by_target;
	struct ws_svc_est *services;
	size_t n_services;
	size_t cap_services;
	ws_us next_median;
	uint64_t n_picks;
};

void ws_ests_init(struct ws_ests *e);
void ws_ests_free(struct ws_ests *e);

/* Slot of a target's estimate, which is added when missing. */
uint32_t ws_ests_target(struct ws_ests *e, ws_id target, ws_id service);
struct ws_svc_est *ws_ests_service(struct ws_ests *e, ws_id service);

void ws_ests_note_load(struct ws_ests *e, ws_us now,
		       const struct ws_load *load);

/* An answer took this long. */
void ws_ests_add_sample(struct ws_ests *e, ws_us now, uint32_t slot,
			ws_us latency);

/* An attempt was given up after this time without an answer. */
void ws_ests_add_lower_bound(struct ws_ests *e, ws_us now, uint32_t slot,
			     ws_us age);

/* Latency to expect; 0 when nothing is known. */
ws_us ws_ests_latency(const struct ws_est *t, ws_us now);
bool ws_ests_slow(const struct ws_est *t, const struct ws_svc_est *s,
		  ws_us now);

/* True when a slow target should get one call to see how it is now. */
bool ws_ests_probe_due(const struct ws_est *t, const struct ws_svc_est *s,
		       ws_us now);

/* Expected time until the answer to a further call. */
ws_us ws_ests_cost(const struct ws_est *t, const struct ws_svc_est *s,
		   ws_us now, uint16_t slots);

/* Concurrency limit of a target as told, else its slots; at least 1. */
uint16_t ws_ests_limit(const struct ws_est *t, ws_us now, uint16_t slots);

/* In flight and queued at a target, from whichever source says more. */
uint32_t ws_ests_load(const struct ws_est *t, ws_us now);

/* Recomputes medians; forgets targets that are in no view any more. */
void ws_ests_tick(struct ws_ests *e, ws_us now, const struct ws_view *view);

#endif
