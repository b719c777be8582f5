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

/* Applies what is known of a server from before it was listed. */
void ws_ed_pool_apply_kept(struct ws_ed_pool *p, ws_us now,
			   struct ws_ed_server *s);

#endif
