#ifndef WS_PLACE_H
#define WS_PLACE_H

#include "common/ws_common.h"

/*
 * Placement: distributes weighted items over bins with minimal movement.
 * An item stays where it is unless its bin is gone or overfull.
 */

#define WS_PLACE_NONE UINT32_MAX

struct ws_place_item {
	uint64_t id; /* breaks ties, so that equal inputs give equal plans */
	uint32_t weight; /* >= 1 */
	uint32_t from; /* present bin, or WS_PLACE_NONE */
	uint32_t to; /* result; WS_PLACE_NONE only without bins */
};

struct ws_place_bin {
	uint64_t id;
	uint64_t load; /* in: load besides the items; out: with its items */
};

/*
 * Fills in the to of each item.
 * @param level also moves items from full to less full bins
 * @return number of items whose to differs from from
 */
size_t ws_place(struct ws_place_item *items, size_t n_items,
		struct ws_place_bin *bins, size_t n_bins, bool level);

#endif
