#ifndef WS_ED_VOTERS_H
#define WS_ED_VOTERS_H

#include "edge/ws_ed_peers.h"

/*
 * The voters of the key leader, which each record of the key map names. They
 * are agreed on because the records of the topic are written one at a time, and
 * they do not depend on which instances hear each other.
 */

/* Names this instance and live members, spread over availability zones. */
void ws_ed_voters_init(struct ws_ed_voters *v, const struct ws_ed_peers *p,
		       ws_us now);

/*
 * Removes a voter that has left or is silent for long, or else adds an
 * instance; if there are no voters, names them. A single change at a time keeps
 * each majority of the old voters and each of the new ones from being disjoint.
 * @return false when there is nothing to change
 */
bool ws_ed_voters_change(struct ws_ed_voters *v, const struct ws_ed_peers *p,
			 ws_us now);

#endif
