#ifndef WS_ED_LINK_H
#define WS_ED_LINK_H

#include <stddef.h>
#include <stdint.h>

#include "common/ws_common.h"

/*
 * The network link of this machine as a resource that its requests share.
 *
 * It answers requests that together exceed what a narrow link carries while
 * wider ones are hardly used, as the platform spreads connections without
 * regard to links. Messages then queue in the link, and heartbeats and news of
 * the store with them. Requests that have arrived have already used the link,
 * so the instance closes connections instead; callers open the next one at any
 * instance, and connections gather at wide links, which close none.
 */

enum ws_ed_link_way {
	WS_ED_LINK_IN = 0,
	WS_ED_LINK_OUT,
	WS_ED_LINK_WAYS,
};

struct ws_ed_link {
	double rate; /* bytes/s each way; 0: not considered */
	double bytes[WS_ED_LINK_WAYS]; /* decaying sums */
	ws_us counted_at; /* when they were last decayed */
	double shed_part; /* connections to close that are not whole yet */
	uint64_t shed; /* connections closed */
	uint64_t refused; /* requests refused since news is late */
};

/* Counts a message with a body of that size. */
void ws_ed_link_count(struct ws_ed_link *l, ws_us now, enum ws_ed_link_way way,
		      size_t bytes);

/* Rate of the messages relative to the link's, of the busier way. */
double ws_ed_link_load(const struct ws_ed_link *l, ws_us now);

/*
 * Whether messages queue in the link, so that what this instance knows of
 * others may be late.
 */
bool ws_ed_link_is_full(const struct ws_ed_link *l, ws_us now);

/*
 * Whether to close the connection of the answer that is sent now. The share of
 * connections that are closed grows with the load.
 */
bool ws_ed_link_sheds(struct ws_ed_link *l, ws_us now);

#endif
