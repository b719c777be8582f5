#ifndef WS_PLACE_H
#define WS_PLACE_H

#include "common/ws_common.h"

/*
 * Placement: distributes weighted items over bins with few moves. An item stays
 * in its bin unless the bin is gone or overloaded.
 */

#define WS_PLACE_NONE UINT32_MAX

struct ws_place_item {
	uint64_t id; /* breaks ties, so that the result is deterministic */
	uint32_t weight; /* >= 1 */
	uint32_t from; /* current bin, or WS_PLACE_NONE */
	uint32_t to; /* result; WS_PLACE_NONE only without bins */
};

struct ws_place_bin {
	uint64_t id;
	uint64_t load; /* in: load besides the items; out: with its items */
};

/*
 * Sets the bin "to" of each item.
 * @param rebalance also moves items from full to less full bins
 * @return number of items whose "to" differs from "from"
 */
size_t ws_place(struct ws_place_item *items, size_t n_items,
		struct ws_place_bin *bins, size_t n_bins, bool rebalance);

#endif
