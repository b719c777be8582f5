#ifndef WS_ED_REFUSED_H
#define WS_ED_REFUSED_H

#include "edge/ws_ed_suspect.h"

/*
 * Exchange of the refused requests between instances, so that a process that
 * has just started, or was cut off, soon refuses what the others refuse.
 *
 * An instance that refuses requests regularly sends a digest of their set. A
 * receiver that has another set answers with its list, in as many messages as
 * it takes, or with its digest if it has none. Both sides then have the union.
 * Strikes in heartbeats spread single requests sooner.
 *
 * Clearances of strikes go to the same members as soon as they are known.
 */

#define WS_ED_REFUSED_DIGEST_PERIOD (1 * WS_SECOND)
/*
 * Least time between two lists for a member. It doubles while lists don't make
 * the sets equal, as when they exceed the table.
 */
#define WS_ED_REFUSED_LIST_INTERVAL (900 * WS_MS)
#define WS_ED_REFUSED_LIST_INTERVAL_MAX (30 * WS_SECOND)
/* Requests or clearances in one message, which must fit into a datagram. */
#define WS_ED_REFUSED_ITEMS 33
#define WS_ED_REFUSED_CLEARANCES 80

struct ws_ed_refused_item {
	uint64_t request;
	uint64_t crashes[WS_ED_STRIKES_KEPT];
	uint32_t n;
	uint32_t expires_in; /* seconds, at most WS_ED_REFUSED_TIME */
};

struct ws_ed_refused_list {
	ws_id from;
	uint64_t digest; /* of the sender's whole set */
	/* A message has items or clearances; without either, only a digest */
	uint32_t n;
	struct ws_ed_refused_item items[WS_ED_REFUSED_ITEMS];
	uint32_t n_clearances;
	struct ws_ed_strike clearances[WS_ED_REFUSED_CLEARANCES];
};

/* Digest of the refused requests; 0: there are none. */
uint64_t ws_ed_refused_digest(const struct ws_ed_struck_table *t, ws_us now);

/*
 * Fills in the items of a message.
 * @param first 0, or the return value of the last call
 * @return argument of the next call; 0: that was the last message
 */
uint32_t ws_ed_refused_fill(const struct ws_ed_struck_table *t, ws_us now,
			    uint32_t first, struct ws_ed_refused_list *l);

#endif
