#ifndef WS_ED_CALL_PERMIT_H
#define WS_ED_CALL_PERMIT_H

#include "edge/ws_edge_int.h"

/*
 * Permits of the requests at this instance, and those that it issues; private
 * to the reducer. See ws_ed_issuer.h for what is decided and why.
 */

enum ws_ed_permit_progress {
	WS_ED_PERMIT_MAY_SEND = 1, /* it has one and has to be sent now */
	WS_ED_PERMIT_PENDING, /* it has to wait for one */
	WS_ED_PERMIT_UNAVAILABLE, /* the issuer is silent; place it without */
	WS_ED_PERMIT_DONE, /* it was sent or ended meanwhile */
};

/*
 * Gets a permit to send a call to a server. After DONE the call may not exist
 * any more.
 */
enum ws_ed_permit_progress ws_ed_call_permit(struct ws_edge *e,
					     struct ed_call *c, uint32_t server,
					     struct ws_ed_fx *fx);

/* Gives back a permit, or the wish for one, of a call that is not sent. */
void ws_ed_call_withdraw_permit(struct ws_edge *e, struct ed_call *c,
				struct ws_ed_fx *fx);

/* Tells the issuer how a send has ended. */
void ws_ed_call_permit_ended(struct ws_edge *e, struct ed_call *c,
			     const struct ed_lane *l, enum ws_ed_end end,
			     ws_us latency, const struct ws_ed_report *r,
			     struct ws_ed_fx *fx);

/* Processes a message of another instance. */
void ws_ed_call_on_permit(struct ws_edge *e,
			  const struct ws_ed_permit_message *m,
			  struct ws_ed_fx *fx);

/* Decides on what is queued here for permits. */
void ws_ed_call_permit_tick(struct ws_edge *e, struct ws_ed_fx *fx);

#endif
