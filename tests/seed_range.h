#ifndef SEED_RANGE_H
#define SEED_RANGE_H

#include <stdint.h>

/*
 * Seeds of a randomized test: WS_SEEDS=a..b, or 1..default_last if it is not
 * set.
 */
struct seed_range {
	uint64_t first;
	uint64_t last;
};

struct seed_range seed_range_get(uint64_t default_last);

/* Returns 1 with a probability of percent / 100. */
struct ws_rand;
int rand_percent(struct ws_rand *r, unsigned percent);

#endif
