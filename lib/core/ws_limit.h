#ifndef WS_LIMIT_H
#define WS_LIMIT_H

#include "core/ws_bundle.h"

/*
 * Concurrency limit of one target: slow start from the cold limit, growth with
 * successful answers, and detection of latency jumps. Part of ws_disp.
 */

/* Successes per unit of the limit before it grows by one. */
#define WS_LIMIT_GROW_FACTOR 4

/*
 * A latency jump is this many consecutive answers above factor * baseline +
 * slack.
 */
#define WS_LIMIT_JUMP_COUNT 3
#define WS_LIMIT_JUMP_FACTOR 4
#define WS_LIMIT_JUMP_SLACK (2 * WS_MS)

/*
 * Number of answers after a slow start from which the baseline is determined
 * again.
 */
#define WS_LIMIT_RELEARN 4

/* Pause after the target shed a request; doubles up to the maximum. */
#define WS_LIMIT_BACKOFF_MIN (10 * WS_MS)
#define WS_LIMIT_BACKOFF_MAX (160 * WS_MS)

struct ws_limit {
	uint16_t slots; /* most concurrent requests of a warm target */
	uint16_t cold; /* most concurrent requests of a cold target */
	uint16_t cap; /* additional bound; 0: none */
	uint16_t limit; /* reached by slow start; 1..slots */
	uint32_t successes; /* at the current limit */
	uint32_t epoch; /* incremented at each cold start */
	uint32_t slow_streak; /* consecutive slow answers */
	ws_us latency; /* smoothed; 0: unknown */
	ws_us baseline; /* normal latency */
	uint8_t relearn_left; /* samples left for the new baseline */
	ws_us answered; /* time of the last answer; 0: none */
	ws_us backoff_until; /* no request is sent before this time */
	ws_us backoff;
};

/* Sets the bounds; one request for an unknown service (svc NULL). */
void ws_limit_set_bounds(struct ws_limit *l, const struct ws_service *svc);

void ws_limit_set_cold(struct ws_limit *l);
void ws_limit_set_warm(struct ws_limit *l);

/* Returns the current concurrency limit. */
uint16_t ws_limit_current(const struct ws_limit *l);

/* Records the success of a request that was sent in the given epoch. */
void ws_limit_on_success(struct ws_limit *l, uint32_t epoch);

/*
 * Records that the target shed a request: pauses, longer each time until a
 * success.
 */
void ws_limit_on_shed(struct ws_limit *l, ws_us now);

/* Returns true if a service time is far above the target's baseline. */
bool ws_limit_is_slow(const struct ws_limit *l, ws_us latency);

/*
 * Records a service time.
 * @return true if it completes a latency jump
 */
bool ws_limit_add_sample(struct ws_limit *l, ws_us now, ws_us latency);

#endif
