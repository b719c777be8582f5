#ifndef WS_ED_HEAT_H
#define WS_ED_HEAT_H

#include "common/ws_common.h"

/*
 * Request rates by key of services that are divided by key. Answers the
 * pattern "a few keys beside each other get much of the traffic, and which
 * ones changes within seconds": arrivals are counted in narrow buckets, and
 * the instances tell each other only what was counted since the last time.
 */

#define WS_ED_KEYS 65536
#define WS_ED_BUCKET_KEYS 2
#define WS_ED_BUCKETS (WS_ED_KEYS / WS_ED_BUCKET_KEYS)
/* Most counts that one heartbeat carries. */
#define WS_ED_COUNTS_MAX 17

struct ws_ed_count {
	ws_id service;
	uint16_t bucket;
	uint16_t count;
};

struct ws_ed_heat_service {
	ws_id service;
	float requests[WS_ED_BUCKETS]; /* requests, decayed */
};

struct ws_ed_heat {
	struct ws_ed_heat_service **services;
	size_t n;
	size_t cap;
	ws_us decayed_at;
	struct ws_ed_count unsent[WS_ED_COUNTS_MAX]; /* counted, not yet told */
	size_t n_unsent;
};

void ws_ed_heat_free(struct ws_ed_heat *h);

/* Counts an arrival here. */
void ws_ed_heat_count(struct ws_ed_heat *h, ws_id service, uint32_t key);

/* Adds what another instance has counted. */
void ws_ed_heat_add_remote(struct ws_ed_heat *h, const struct ws_ed_count *c);

/* Decayed number of requests for the keys of a range, both inclusive. */
double ws_ed_heat_range(const struct ws_ed_heat *h, ws_id service,
			uint32_t from, uint32_t to);

/*
 * Last key of the part of a range that has about the given heat.
 * @return a key from .. to - 1; from < to is required
 */
uint32_t ws_ed_heat_split(const struct ws_ed_heat *h, ws_id service,
			  uint32_t from, uint32_t to, double wanted);

/* Lets old counts decay. */
void ws_ed_heat_tick(struct ws_ed_heat *h, ws_us now);

#endif
