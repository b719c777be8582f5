#ifndef WS_ED_LEAD_INT_H
#define WS_ED_LEAD_INT_H

#include "edge/ws_ed_lead.h"

/* Private to the parts of ws_ed_lead. */

/* Lease time of keys; a new owner waits for it when the old one is lost. */
#define WS_ED_KEY_LEASE (3 * WS_SECOND)
/* The clock of a server may run 2 % slow; the rest is the way of the call. */
#define WS_ED_KEY_LEASE_BOUND (WS_ED_KEY_LEASE * 102 / 100 + 100 * WS_MS)

/*
 * Whether keys may be given to other servers. A former leader may renew what
 * the map says until WS_ED_LEADER_LEASE after a majority knew of this one; a
 * server that restarted has forgotten the fencing tokens that would stop it.
 */
bool ws_ed_lead_may_move(const struct ws_ed_lead *l, ws_us now);

/* Fencing token for the next grant of a changed range. */
uint64_t ws_ed_lead_next_fence(struct ws_ed_lead *l);

/* Appends a hold; the pointer is valid until the next one. */
struct ws_ed_range *ws_ed_range_add(struct ws_ed_lead *l);

/* Cuts a hold in two behind a key; the second part is appended. */
void ws_ed_range_split(struct ws_ed_lead *l, size_t index, uint32_t last);

/* Starts to take a hold back from its server. */
void ws_ed_range_start_release(struct ws_ed_range *h, ws_us now);

void ws_ed_range_set_server(struct ws_ed_range *h,
			    const struct ws_ed_server *s);

/* Calls and state changes of all holds. */
void ws_ed_ranges_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx);

/* Chooses servers for free ranges and evens out the load. */
void ws_ed_balance_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx);

#endif
