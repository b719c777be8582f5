#ifndef WS_ED_POOL_INT_H
#define WS_ED_POOL_INT_H

#include <math.h>

#include "edge/ws_ed_pool.h"

/* Private to ws_ed_pool.c and ws_ed_pool_stated.c. */

/* Weight of an old value; tau is the time constant of its decay. */
static inline double ws_ed_pool_decay(ws_us age, double tau)
{
	return exp(-(double)age / tau);
}

/*
 * Applies what the answer to a request states.
 * @param report NULL: there is none
 * @return enum ws_ed_stated_change
 */
unsigned ws_ed_pool_apply_answer(struct ws_ed_pool *p, ws_us now,
				 struct ws_ed_server *s,
				 const struct ws_ed_sending *x,
				 const struct ws_ed_report *report);

/* Decides whether to tell others what an answer to this instance has changed.
 */
void ws_ed_pool_note_learned(struct ws_ed_server *s);

/* Appends WS_EDFX_LOG for a learned limit that has fallen or returned. */
void ws_ed_pool_log_learned(const struct ws_ed_server *s, ws_us now,
			    struct ws_ed_fx *fx);

/*
 * Has others told that a server leaves, as its list entry says so. For links
 * that are full: a heartbeat passes them in a fraction of the time that the
 * record of the entry takes.
 */
void ws_ed_pool_tell_leaving(ws_us now, struct ws_ed_server *s);

/* Applies what is known of a server from before it was listed. */
void ws_ed_pool_apply_kept(struct ws_ed_pool *p, ws_us now,
			   struct ws_ed_server *s);

#endif
