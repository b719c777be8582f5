#ifndef WS_ED_THROTTLE_H
#define WS_ED_THROTTLE_H

#include "edge/ws_ed_pool.h"

struct ws_ed_fx;

/*
 * Request rates of single servers: cold ones, those that state a limit, and
 * those that want no requests for some time. Used by the pool for each server;
 * see ws_ed_share.h for how a rate is divided.
 */

/*
 * Derives a server's warm-up and its share of the rate from what has been read:
 * its list entry, the return of its zone, the configuration and the group. To
 * be called after a change of any of them, in any order. While the service is
 * not configured, a cold server gets nothing.
 */
void ws_ed_throttle_update(struct ws_ed_pool *p, ws_us now,
			   struct ws_ed_server *s);

/*
 * Time until this instance may send to a server; 0: now, WS_ED_NO_SHARE:
 * only others may.
 */
ws_us ws_ed_throttle_time(const struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_server *s);

/* Records that a request is sent. */
void ws_ed_throttle_sent(struct ws_ed_server *s, ws_us now);

/* Recomputes the shares after a change of the group, drops limits too old. */
void ws_ed_throttle_refresh(struct ws_ed_pool *p, ws_us now,
			    struct ws_ed_server *s);

/* Appends WS_EDFX_LOG for warm-ups that have begun or whose share changed. */
void ws_ed_throttle_log(struct ws_ed_pool *p, ws_us now, struct ws_ed_fx *fx);

#endif
