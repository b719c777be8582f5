#ifndef WS_TIMER_H
#define WS_TIMER_H

#include "common/ws_common.h"

/*
 * Timer service: parts subscribe with a period, one owner runs it with the
 * time. It reads no clock itself.
 */

struct ws_timers;

typedef void (*ws_timer_fn)(void *arg, ws_us now);

struct ws_timers *ws_timer_new(void);
void ws_timer_free(struct ws_timers *t);

/*
 * Calls fn each period from now on, in the order of subscription when several
 * are due. A period missed during a pause is not made up for.
 * @return a handle >= 0 for ws_timer_cancel()
 */
int ws_timer_every(struct ws_timers *t, ws_us now, ws_us period, ws_timer_fn fn,
		   void *arg);

void ws_timer_cancel(struct ws_timers *t, int handle);

/* Runs all subscriptions that are due; returns the time of the next one. */
ws_us ws_timer_run(struct ws_timers *t, ws_us now);

#endif
