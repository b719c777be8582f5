#include "core/ws_est.h"

#include <stdlib.h>
#include <string.h>

/* ===== Tables ===== */

void ws_ests_init(struct ws_ests *e)
{
	memset(e, 0, sizeof(*e));
	ws_handles_init(&e->slots);
}

void ws_ests_free(struct ws_ests *e)
{
	ws_handles_free(&e->slots);
	ws_index_free(&e->by_target);
	free(e->targets);
	free(e->services);
}

uint32_t ws_ests_target(struct ws_ests *e, ws_id target, ws_id service)
{
	uint32_t slot = ws_index_get(&e->by_target, target);

	if (slot == WS_SLOT_NONE) {
		slot = ws_handles_alloc(&e->slots);
		ws_grow(&e->targets, &e->cap_targets, e->slots.n,
			sizeof(*e->targets));
		memset(&e->targets[slot], 0, sizeof(*e->targets));
		e->targets[slot].target = target;
		ws_index_put(&e->by_target, target, slot);
	}
	if (service)
		e->targets[slot].service = service;
	return slot;
}

struct ws_svc_est *ws_ests_service(struct ws_ests *e, ws_id service)
{
	struct ws_svc_est *s;
	size_t i;

	for (i = 0; i < e->n_services; i++)
		if (e->services[i].service == service)
			return &e->services[i];
	ws_grow(&e->services, &e->cap_services, e->n_services + 1,
		sizeof(*e->services));
	s = &e->services[e->n_services++];
	memset(s, 0, sizeof(*s));
	s->service = service;
	return s;
}

/* ===== Samples ===== */

void ws_ests_note_load(struct ws_ests *e, ws_us now, const struct ws_load *load)
{
	struct ws_est *t;
	uint32_t slot;
	int64_t util;

	if (!load->target || !load->limit)
		return;
	/* Adding may move the table, so it comes first. */
	slot = ws_ests_target(e, load->target, 0);
	t = &e->targets[slot];
	util = ((int64_t)load->in_flight + load->queued) * 1000 / load->limit;
	if (!t->load_at)
		t->utilization = (uint32_t)util;
	t->utilization = (uint32_t)(t->utilization +
				    (util - (int64_t)t->utilization) / 8);
	t->load = *load;
	t->load_at = now;
}

/*
 * Moves the tail estimate up by 19 parts or down by one, so that it rests
 * where 5 % of the samples are above it.
 */
static void note_tail(struct ws_svc_est *s, ws_us latency)
{
	ws_us step = s->tail / 400 + 1;

	if (!s->tail)
		s->tail = latency * 2;
	else if (latency > s->tail)
		s->tail += step * 19;
	else
		s->tail -= step;
}

void ws_ests_add_sample(struct ws_ests *e, ws_us now, uint32_t slot,
			ws_us latency)
{
	struct ws_est *t = &e->targets[slot];

	if (latency < 1)
		latency = 1;
	t->sampled = now;
	note_tail(ws_ests_service(e, t->service), latency);
	if (!t->latency)
		t->latency = latency;
	else if (latency < t->latency / 2)
		t->latency -= (t->latency - latency) / 2;
	else
		t->latency += (latency - t->latency) / 4;
}

void ws_ests_add_lower_bound(struct ws_ests *e, ws_us now, uint32_t slot,
			     ws_us age)
{
	struct ws_est *t = &e->targets[slot];

	/*
	 * The answer was still to come. Without the factor, hedged calls to a
	 * slow target would teach the hedging delay as its latency, which is
	 * too low to call it slow.
	 */
	age *= WS_EST_CENSORED_FACTOR;
	if (age > t->latency)
		ws_ests_add_sample(e, now, slot, age);
}

/* ===== Judgement ===== */

ws_us ws_ests_latency(const struct ws_est *t, ws_us now)
{
	ws_us own = t->latency;
	ws_us age = t->in_flight && t->oldest ? now - t->oldest : 0;

	if (own && now - t->sampled > WS_EST_MAX_AGE)
		own = 0;
	return age > own ? age : own;
}

bool ws_ests_slow(const struct ws_est *t, const struct ws_svc_est *s, ws_us now)
{
	ws_us bound = s->median * WS_EST_SLOW_FACTOR + WS_EST_SLOW_SLACK;

	return s->median && ws_ests_latency(t, now) > bound;
}

bool ws_ests_probe_due(const struct ws_est *t, const struct ws_svc_est *s,
		       ws_us now)
{
	return !t->in_flight && now - t->sampled >= WS_EST_PROBE_PERIOD &&
	       ws_ests_slow(t, s, now);
}

static bool told(const struct ws_est *t, ws_us now)
{
	return t->load_at && now - t->load_at <= WS_EST_LOAD_AGE;
}

uint16_t ws_ests_limit(const struct ws_est *t, ws_us now, uint16_t slots)
{
	uint16_t limit = told(t, now) ? t->load.limit : slots;

	return limit ? limit : 1;
}

uint32_t ws_ests_load(const struct ws_est *t, ws_us now)
{
	uint32_t n = 0;

	if (told(t, now))
		n = (uint32_t)t->load.in_flight + t->load.queued;
	return n > t->in_flight ? n : t->in_flight;
}

/* Stands in for a latency of which there is no own sample. */
static ws_us assumed_latency(const struct ws_est *t, const struct ws_svc_est *s,
			     ws_us now)
{
	if (told(t, now) && t->load.latency)
		return t->load.latency;
	return s->median ? s->median : WS_MS;
}

ws_us ws_ests_cost(const struct ws_est *t, const struct ws_svc_est *s,
		   ws_us now, uint16_t slots)
{
	ws_us latency = ws_ests_latency(t, now);

	if (!t->latency && latency < assumed_latency(t, s, now))
		latency = assumed_latency(t, s, now);
	return latency * ((ws_us)ws_ests_load(t, now) + 1) /
	       ws_ests_limit(t, now, slots);
}

/* ===== Medians ===== */

static int compare_us(const void *a, const void *b)
{
	ws_us x = *(const ws_us *)a;
	ws_us y = *(const ws_us *)b;

	return (x > y) - (x < y);
}

static void update_median(struct ws_ests *e, struct ws_svc_est *s, ws_us now,
			  ws_us *buf)
{
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < e->slots.n; i++) {
		const struct ws_est *t = &e->targets[i];

		if (!ws_handles_used(&e->slots, i) || t->service != s->service)
			continue;
		if (!t->latency || now - t->sampled > WS_EST_MAX_AGE)
			continue;
		buf[n++] = t->latency;
	}
	if (!n)
		return;
	qsort(buf, n, sizeof(*buf), compare_us);
	s->median = buf[(n - 1) / 2];
}

static void forget_gone(struct ws_ests *e, const struct ws_view *view)
{
	uint32_t i;

	for (i = 0; i < e->slots.n; i++) {
		if (!ws_handles_used(&e->slots, i) || e->targets[i].in_flight)
			continue;
		if (ws_view_target(view, e->targets[i].target))
			continue;
		ws_index_del(&e->by_target, e->targets[i].target);
		ws_handles_release(&e->slots, i);
	}
}

void ws_ests_tick(struct ws_ests *e, ws_us now, const struct ws_view *view)
{
	ws_us *buf;
	size_t i;

	if (now < e->next_median)
		return;
	e->next_median = now + WS_EST_MEDIAN_PERIOD;
	forget_gone(e, view);
	buf = ws_alloc(e->slots.n, sizeof(*buf));
	for (i = 0; i < e->n_services; i++)
		update_median(e, &e->services[i], now, buf);
	free(buf);
}
