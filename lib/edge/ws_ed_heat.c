#include "edge/ws_ed_heat.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Time constant of the decay: long enough to count some hundred requests, short
 * enough to follow hot keys that change.
 */
#define HEAT_TAU (2.5 * (double)WS_SECOND)
#define DECAY_PERIOD (250 * WS_MS)

void ws_ed_heat_free(struct ws_ed_heat *h)
{
	size_t i;

	for (i = 0; i < h->n; i++)
		free(h->services[i]);
	free(h->services);
	memset(h, 0, sizeof(*h));
}

static struct ws_ed_heat_service *find(const struct ws_ed_heat *h,
				       ws_id service)
{
	size_t i;

	for (i = 0; i < h->n; i++)
		if (h->services[i]->service == service)
			return h->services[i];
	return NULL;
}

static struct ws_ed_heat_service *find_or_add(struct ws_ed_heat *h,
					      ws_id service)
{
	struct ws_ed_heat_service *s = find(h, service);

	if (s)
		return s;
	ws_grow(&h->services, &h->cap, h->n + 1,
		sizeof(struct ws_ed_heat_service *));
	s = ws_alloc(1, sizeof(*s));
	s->service = service;
	h->services[h->n++] = s;
	return s;
}

static void add_unsent(struct ws_ed_heat *h, ws_id service, uint16_t bucket)
{
	size_t i;

	for (i = 0; i < h->n_unsent; i++) {
		struct ws_ed_count *c = &h->unsent[i];

		if (c->bucket == bucket && c->service == service) {
			if (c->count < UINT16_MAX)
				c->count++;
			return;
		}
	}
	/* When full, the count is not sent; heat is only an estimate. */
	if (h->n_unsent < WS_ED_COUNTS_MAX)
		h->unsent[h->n_unsent++] = (struct ws_ed_count){
			.service = service,
			.bucket = bucket,
			.count = 1,
		};
}

void ws_ed_heat_count(struct ws_ed_heat *h, ws_id service, uint32_t key)
{
	uint32_t bucket = key / WS_ED_BUCKET_KEYS;

	WS_INVARIANT(bucket < WS_ED_BUCKETS);
	find_or_add(h, service)->requests[bucket] += 1.0F;
	add_unsent(h, service, (uint16_t)bucket);
}

void ws_ed_heat_add_remote(struct ws_ed_heat *h, const struct ws_ed_count *c)
{
	if (c->bucket < WS_ED_BUCKETS)
		find_or_add(h, c->service)->requests[c->bucket] +=
			(float)c->count;
}

/* Heat of the part of a bucket that lies in a range. */
static double bucket_heat(const struct ws_ed_heat_service *s, uint32_t bucket,
			  uint32_t from, uint32_t to)
{
	uint32_t first = bucket * WS_ED_BUCKET_KEYS;
	uint32_t last = first + WS_ED_BUCKET_KEYS - 1;
	uint32_t low = from > first ? from : first;
	uint32_t high = to < last ? to : last;
	double heat =
		WS_ED_HEAT_FLOOR + (s ? (double)s->requests[bucket] : 0.0);

	return heat * (double)(high - low + 1) / WS_ED_BUCKET_KEYS;
}

double ws_ed_heat_range(const struct ws_ed_heat *h, ws_id service,
			uint32_t from, uint32_t to)
{
	const struct ws_ed_heat_service *s = find(h, service);
	double sum = 0.0;
	uint32_t b;

	for (b = from / WS_ED_BUCKET_KEYS; b <= to / WS_ED_BUCKET_KEYS; b++)
		sum += bucket_heat(s, b, from, to);
	return sum;
}

uint32_t ws_ed_heat_split(const struct ws_ed_heat *h, ws_id service,
			  uint32_t from, uint32_t to, double wanted)
{
	const struct ws_ed_heat_service *s = find(h, service);
	double sum = 0.0;
	uint32_t b;

	WS_INVARIANT(from < to);
	for (b = from / WS_ED_BUCKET_KEYS; b <= to / WS_ED_BUCKET_KEYS; b++) {
		uint32_t first = b * WS_ED_BUCKET_KEYS;
		uint32_t low = first > from ? first : from;
		uint32_t high = first + WS_ED_BUCKET_KEYS - 1;
		double part = bucket_heat(s, b, from, to);
		uint32_t keys;

		if (high > to)
			high = to;
		if (sum + part < wanted) {
			sum += part;
			continue;
		}
		keys = (uint32_t)ceil((wanted - sum) / part *
				      (double)(high - low + 1));
		if (keys < 1)
			keys = 1;
		low += keys - 1;
		return low < to ? low : to - 1;
	}
	return to - 1;
}

void ws_ed_heat_tick(struct ws_ed_heat *h, ws_us now)
{
	float factor;
	size_t i;
	size_t b;

	if (now - h->decayed_at < DECAY_PERIOD)
		return;
	factor = (float)exp(-(double)(now - h->decayed_at) / HEAT_TAU);
	h->decayed_at = now;
	for (i = 0; i < h->n; i++)
		for (b = 0; b < WS_ED_BUCKETS; b++)
			h->services[i]->requests[b] *= factor;
}
