#ifndef WS_ED_LEAD_INT_H
#define WS_ED_LEAD_INT_H

#include "edge/ws_ed_lead.h"

/* Shared by ws_ed_lead.c, ws_ed_range.c and ws_ed_balance.c. */

/* Lease of a range of keys. When the owner fails, the next one waits for it. */
#define WS_ED_KEY_LEASE (3 * WS_SECOND)
/*
 * Upper bound of the lease as seen by the leader: the clock of a server may run
 * 2 % slow, and the rest covers the transit time of the call.
 */
#define WS_ED_KEY_LEASE_BOUND (WS_ED_KEY_LEASE * 102 / 100 + 100 * WS_MS)

/*
 * Whether keys may be moved to other servers. A previous leader may renew the
 * leases in the map until WS_ED_LEADER_LEASE after a majority knows the epoch
 * of this one. Fencing tokens do not prevent that at a server that has
 * restarted, since it has forgotten them.
 */
bool ws_ed_lead_may_move(const struct ws_ed_lead *l, ws_us now);

/* Returns the next fencing token, for a range with changed keys or owner. */
uint64_t ws_ed_lead_next_fence(struct ws_ed_lead *l);

/* Appends a range; the pointer is valid until the next call. */
struct ws_ed_range *ws_ed_range_add(struct ws_ed_lead *l);

/* Splits a range after the key last; the second part is appended. */
void ws_ed_range_split(struct ws_ed_lead *l, size_t index, uint32_t last);

/* Starts the release of a range by its server. */
void ws_ed_range_start_release(struct ws_ed_range *r, ws_us now);

void ws_ed_range_set_server(struct ws_ed_range *r,
			    const struct ws_ed_server *s);

/* Sends due calls and advances the state of all ranges. */
void ws_ed_ranges_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx);

/* Whether a service has a server that may get keys. */
bool ws_ed_balance_has_candidate(const struct ws_ed_lead *l, ws_us now,
				 ws_id service);

/* Assigns free ranges to servers and rebalances the load. */
void ws_ed_balance_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx);

#endif
