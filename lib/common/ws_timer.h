#ifndef WS_TIMER_H
#define WS_TIMER_H

#include "common/ws_common.h"

/*
 * Periodic timers. The owner of the event loop passes the current time to
 * ws_timer_run(); this module reads no clock itself.
 */

struct ws_timers;

typedef void (*ws_timer_fn)(void *arg, ws_us now);

struct ws_timers *ws_timer_new(void);
void ws_timer_free(struct ws_timers *t);

/*
 * Calls fn once per period, first one period from now. Functions that are due
 * together are called in order of their handles. Periods missed during a pause
 * of the process are skipped.
 * @return a handle >= 0 for ws_timer_cancel()
 */
int ws_timer_every(struct ws_timers *t, ws_us now, ws_us period, ws_timer_fn fn,
		   void *arg);

void ws_timer_cancel(struct ws_timers *t, int handle);

/*
 * Calls all functions that are due.
 * @return when the next one is due; INT64_MAX if there is none
 */
ws_us ws_timer_run(struct ws_timers *t, ws_us now);

#endif
