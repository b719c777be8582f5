#include "common/ws_timer.h"

#include <stdlib.h>

struct subscription {
	ws_us due;
	ws_us period; /* 0: unused entry */
	ws_timer_fn fn;
	void *arg;
};

struct ws_timers {
	struct subscription *subs;
	size_t n;
	size_t cap;
};

struct ws_timers *ws_timer_new(void)
{
	return ws_alloc(1, sizeof(struct ws_timers));
}

void ws_timer_free(struct ws_timers *t)
{
	if (!t)
		return;
	free(t->subs);
	free(t);
}

static size_t alloc_subscription(struct ws_timers *t)
{
	size_t i;

	for (i = 0; i < t->n; i++)
		if (!t->subs[i].period)
			return i;
	ws_grow(&t->subs, &t->cap, t->n + 1, sizeof(*t->subs));
	return t->n++;
}

int ws_timer_every(struct ws_timers *t, ws_us now, ws_us period, ws_timer_fn fn,
		   void *arg)
{
	size_t i = alloc_subscription(t);

	WS_INVARIANT(period > 0);
	t->subs[i] = (struct subscription){
		.due = now + period,
		.period = period,
		.fn = fn,
		.arg = arg,
	};
	return (int)i;
}

void ws_timer_cancel(struct ws_timers *t, int handle)
{
	WS_INVARIANT(handle >= 0 && (size_t)handle < t->n);
	t->subs[handle].period = 0;
}

/*
 * Calls a subscription's function if it is due. Works on a copy, since the
 * function may add or cancel subscriptions.
 */
static void run_if_due(struct ws_timers *t, size_t i, ws_us now)
{
	struct subscription s = t->subs[i];

	if (!s.period || s.due > now)
		return;
	t->subs[i].due = s.due + s.period;
	if (t->subs[i].due <= now)
		t->subs[i].due = now + s.period;
	s.fn(s.arg, now);
}

ws_us ws_timer_run(struct ws_timers *t, ws_us now)
{
	ws_us next = INT64_MAX;
	size_t i;

	for (i = 0; i < t->n; i++)
		run_if_due(t, i, now);
	for (i = 0; i < t->n; i++)
		if (t->subs[i].period && t->subs[i].due < next)
			next = t->subs[i].due;
	return next;
}
