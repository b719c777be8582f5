#ifndef WS_ED_HEAT_H
#define WS_ED_HEAT_H

#include "common/ws_common.h"

/*
 * Heat: decayed request counts by key, for sharded services. Handles traffic in
 * which a few adjacent keys get most of the requests and the hot keys change
 * within seconds: arrivals are counted in narrow buckets, and the instances
 * send each other only the counts since the last heartbeat.
 */

#define WS_ED_KEYS 65536
#define WS_ED_BUCKET_KEYS 2
#define WS_ED_BUCKETS (WS_ED_KEYS / WS_ED_BUCKET_KEYS)
/* Added to the heat of each bucket, so that idle ranges have a weight. */
#define WS_ED_HEAT_FLOOR 0.001
/* Maximum number of counts in one heartbeat. */
#define WS_ED_COUNTS_MAX 17

struct ws_ed_count {
	ws_id service;
	uint16_t bucket;
	uint16_t count;
};

struct ws_ed_heat_service {
	ws_id service;
	float requests[WS_ED_BUCKETS]; /* decayed counts */
};

struct ws_ed_heat {
	struct ws_ed_heat_service **services;
	size_t n;
	size_t cap;
	ws_us decayed_at;
	struct ws_ed_count unsent[WS_ED_COUNTS_MAX]; /* not yet sent */
	size_t n_unsent;
};

void ws_ed_heat_free(struct ws_ed_heat *h);

/* Counts an arrival at this instance. */
void ws_ed_heat_count(struct ws_ed_heat *h, ws_id service, uint32_t key);

/* Adds a count received from another instance. */
void ws_ed_heat_add_remote(struct ws_ed_heat *h, const struct ws_ed_count *c);

/* Decayed number of requests for the keys of a range, both inclusive. */
double ws_ed_heat_range(const struct ws_ed_heat *h, ws_id service,
			uint32_t from, uint32_t to);

/*
 * Finds the last key of a first part of the range with about the wanted heat.
 * @return a key from .. to - 1; from < to is required
 */
uint32_t ws_ed_heat_split(const struct ws_ed_heat *h, ws_id service,
			  uint32_t from, uint32_t to, double wanted);

/* Decays the counts. */
void ws_ed_heat_tick(struct ws_ed_heat *h, ws_us now);

#endif
