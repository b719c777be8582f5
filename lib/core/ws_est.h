#ifndef WS_EST_H
#define WS_EST_H

#include "core/ws_handle.h"
#include "core/ws_member.h"

/*
 * A frontend's estimates of the latency and load of targets and services. Local
 * measurements take precedence; reports of dispatchers are used only where
 * there are none. Part of ws_route.
 */

/* An estimate without a new sample for this time is ignored. */
#define WS_EST_MAX_AGE (10 * WS_SECOND)

/* Older load reports are ignored. */
#define WS_EST_LOAD_AGE (1 * WS_SECOND)

/*
 * A target is slow if its latency exceeds factor * median of its service +
 * slack.
 */
#define WS_EST_SLOW_FACTOR 3
#define WS_EST_SLOW_SLACK (1 * WS_MS)

/* A slow target is probed with a call after this time at the earliest ... */
#define WS_EST_PROBE_PERIOD (500 * WS_MS)
/* ... and with at most one in this many calls of the service. */
#define WS_EST_PROBE_CALLS 200

/* An abandoned attempt counts as a sample of this many times its age. */
#define WS_EST_CENSORED_FACTOR 2

#define WS_EST_MEDIAN_PERIOD (50 * WS_MS)

struct ws_est {
	ws_id target;
	ws_id service;
	ws_us latency; /* smoothed, from local measurements; 0: none */
	ws_us sampled;
	uint32_t in_flight; /* attempts of this frontend */
	ws_us oldest; /* sending time of the oldest of them, updated by ticks */
	uint64_t last_pick;
	struct ws_load load; /* as last reported */
	ws_us load_at; /* 0: never */
	uint32_t utilization; /* smoothed reported load / limit, in 1/1000 */
};

struct ws_svc_est {
	ws_id service;
	ws_us median; /* of the targets' latencies */
	ws_us tail; /* 95th percentile of the latency */
	uint32_t probe_credit; /* in calls; a probe takes WS_EST_PROBE_CALLS */
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

/* Returns the slot of a target's estimate; adds it if missing. */
uint32_t ws_ests_target(struct ws_ests *e, ws_id target, ws_id service);
struct ws_svc_est *ws_ests_service(struct ws_ests *e, ws_id service);

void ws_ests_note_load(struct ws_ests *e, ws_us now,
		       const struct ws_load *load);

/* Records the latency of an answer. */
void ws_ests_add_sample(struct ws_ests *e, ws_us now, uint32_t slot,
			ws_us latency);

/*
 * Records an attempt that was abandoned at this age, a lower bound of its
 * latency.
 */
void ws_ests_add_lower_bound(struct ws_ests *e, ws_us now, uint32_t slot,
			     ws_us age);

/* Expected latency; 0 if unknown. */
ws_us ws_ests_latency(const struct ws_est *t, ws_us now);
bool ws_ests_slow(const struct ws_est *t, const struct ws_svc_est *s,
		  ws_us now);

/* True if a slow target should get one call to measure it again. */
bool ws_ests_probe_due(const struct ws_est *t, const struct ws_svc_est *s,
		       ws_us now);

/* Expected time until an additional call is answered. */
ws_us ws_ests_cost(const struct ws_est *t, const struct ws_svc_est *s,
		   ws_us now, uint16_t slots);

/* Reported concurrency limit of a target, else its slots; at least 1. */
uint16_t ws_ests_limit(const struct ws_est *t, ws_us now, uint16_t slots);

/*
 * Calls in flight and queued at a target: the larger of the reported and the
 * local number.
 */
uint32_t ws_ests_load(const struct ws_est *t, ws_us now);

/* Recomputes medians; removes targets that are no longer in the view. */
void ws_ests_tick(struct ws_ests *e, ws_us now, const struct ws_view *view);

#endif
