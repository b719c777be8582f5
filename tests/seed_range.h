#ifndef SEED_RANGE_H
#define SEED_RANGE_H

#include <stdint.h>

/* Seeds of a randomised test: WS_SEEDS=a..b, or 1..def if it is not set. */
struct seed_range {
	uint64_t first;
	uint64_t last;
};

struct seed_range seed_range_get(uint64_t def);

/* One bit with a chance of percent in 100. */
struct ws_rand;
int rand_percent(struct ws_rand *r, unsigned percent);

#endif
