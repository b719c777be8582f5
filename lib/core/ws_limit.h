#ifndef WS_LIMIT_H
#define WS_LIMIT_H

#include "core/ws_bundle.h"

/*
 * Concurrency limit of one target: slow start from the cold limit, growing
 * with successes, and detection of a latency jump. Part of ws_disp.
 */

/* Successes per unit of the limit before it grows by one. */
#define WS_LIMIT_GROW_FACTOR 4

/* A jump is this many answers in a row above factor * baseline + slack. */
#define WS_LIMIT_JUMP_COUNT 3
#define WS_LIMIT_JUMP_FACTOR 4
#define WS_LIMIT_JUMP_SLACK (2 * WS_MS)

/* Answers after a slow start from which normal latency is learned anew. */
#define WS_LIMIT_RELEARN 4

/* Pause after a shed answer; doubles up to the maximum. */
#define WS_LIMIT_BACKOFF_MIN (10 * WS_MS)
#define WS_LIMIT_BACKOFF_MAX (160 * WS_MS)

struct ws_limit {
	uint16_t slots; /* most that a warm target bears */
	uint16_t cold; /* most that a cold target bears */
	uint16_t cap; /* further bound; 0: none */
	uint16_t limit; /* reached by slow start; 1..slots */
	uint32_t successes; /* at the present limit */
	uint32_t epoch; /* grows at each cold start */
	uint32_t slow_streak; /* slow answers in a row */
	ws_us latency; /* smoothed; 0: unknown */
	ws_us baseline; /* what counts as normal */
	uint8_t relearn_left; /* answers from which normal is learned anew */
	ws_us answered; /* time of the last answer; 0: none */
	ws_us backoff_until; /* nothing is sent before */
	ws_us backoff;
};

/* Sets the bounds; an unknown service (svc NULL) bears one request. */
void ws_limit_set_bounds(struct ws_limit *l, const struct ws_service *svc);

void ws_limit_set_cold(struct ws_limit *l);
void ws_limit_set_warm(struct ws_limit *l);

/* Concurrency allowed now. */
uint16_t ws_limit_current(const struct ws_limit *l);

/* A request sent in the given epoch was served. */
void ws_limit_on_success(struct ws_limit *l, uint32_t epoch);

/* A shed answer: pauses, longer each time until a success. */
void ws_limit_on_shed(struct ws_limit *l, ws_us now);

/* Is a service time far above what is normal for the target? */
bool ws_limit_is_slow(const struct ws_limit *l, ws_us latency);

/*
 * Notes a service time.
 * @return true when it is the last of a latency jump
 */
bool ws_limit_add_sample(struct ws_limit *l, ws_us now, ws_us latency);

#endif
