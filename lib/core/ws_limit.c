#include "core/ws_limit.h"

static uint16_t at_least_one(uint16_t n)
{
	return n ? n : 1;
}

static uint16_t smaller(uint16_t a, uint16_t b)
{
	return a < b ? a : b;
}

void ws_limit_set_bounds(struct ws_limit *l, const struct ws_service *svc)
{
	l->slots = at_least_one(svc ? svc->slots : 1);
	l->cold = at_least_one(svc ? svc->cold_limit : 1);
	l->cold = smaller(l->cold, l->slots);
	l->limit = smaller(at_least_one(l->limit), l->slots);
}

void ws_limit_set_cold(struct ws_limit *l)
{
	l->limit = l->cold;
#ifdef WS_MUTANT_IGNORE_COLD_LIMIT
	l->limit = l->slots;
#endif
	l->successes = 0;
	l->slow_streak = 0;
	l->epoch++;
}

void ws_limit_set_warm(struct ws_limit *l)
{
	l->limit = l->slots;
	l->successes = 0;
}

uint16_t ws_limit_current(const struct ws_limit *l)
{
	uint16_t n = l->limit;

	/* One slow answer may be the only warning of a cold target. */
	if (l->slow_streak)
		n = smaller(n, l->cold);
#ifdef WS_MUTANT_LIMIT_ABOVE_SLOTS
	return (uint16_t)(n + 1);
#endif
	return l->cap ? smaller(n, l->cap) : n;
}

void ws_limit_on_success(struct ws_limit *l, uint32_t epoch)
{
	l->backoff = 0;
	/* Requests sent before the cold start say nothing about it. */
	if (epoch != l->epoch || l->limit >= l->slots)
		return;
	l->successes++;
	if (l->successes < (uint32_t)l->limit * WS_LIMIT_GROW_FACTOR)
		return;
	l->successes = 0;
	l->limit++;
	/* What is normal is learned anew once the target is warm. */
	if (l->limit == l->slots)
		l->relearn_left = WS_LIMIT_RELEARN;
}

void ws_limit_on_shed(struct ws_limit *l, ws_us now)
{
	l->backoff = l->backoff ? l->backoff * 2 : WS_LIMIT_BACKOFF_MIN;
	if (l->backoff > WS_LIMIT_BACKOFF_MAX)
		l->backoff = WS_LIMIT_BACKOFF_MAX;
	l->backoff_until = now + l->backoff;
}

static void learn_baseline(struct ws_limit *l, ws_us latency)
{
	/* Falls faster than it rises, so that a jump is not learned away. */
	if (latency < l->baseline)
		l->baseline += (latency - l->baseline) / 4;
	else
		l->baseline += (latency - l->baseline) / 16;
}

bool ws_limit_is_slow(const struct ws_limit *l, ws_us latency)
{
	ws_us bound = l->baseline * WS_LIMIT_JUMP_FACTOR + WS_LIMIT_JUMP_SLACK;

	return l->latency && latency > bound;
}

/*
 * A warm target is faster, but some of its first answers are of requests that
 * were sent before it was warm, so that one is not enough. Twice the fastest
 * leaves room for the usual spread.
 */
static void relearn(struct ws_limit *l, ws_us latency)
{
	if (!l->relearn_left)
		return;
	l->relearn_left--;
	if (2 * latency < l->baseline)
		l->baseline = 2 * latency;
}

bool ws_limit_add_sample(struct ws_limit *l, ws_us now, ws_us latency)
{
	if (latency < 1)
		latency = 1;
	l->answered = now;
	if (!l->latency) {
		l->latency = latency;
		l->baseline = latency;
		return false;
	}
	relearn(l, latency);
	l->latency += (latency - l->latency) / 4;
	if (!ws_limit_is_slow(l, latency)) {
		l->slow_streak = 0;
		learn_baseline(l, latency);
		return false;
	}
	l->slow_streak++;
	if (l->slow_streak < WS_LIMIT_JUMP_COUNT)
		return false;
	/* The new level is normal from now on; only the slow start differs. */
	l->slow_streak = 0;
	l->baseline = latency;
	return true;
}
