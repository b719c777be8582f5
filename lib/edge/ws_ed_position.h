#ifndef WS_ED_POSITION_H
#define WS_ED_POSITION_H

#include <stdint.h>

/*
 * Positions in a topic of the store. A store that is restored from a copy gives
 * out offsets again, so an offset alone does not tell which of two states is
 * newer. A position consists of the era, which rises with each restore, and the
 * offset within it; positions of a topic are compared as numbers.
 */

#define WS_ED_OFFSET_BITS 40

static inline uint64_t ws_ed_position(uint64_t era, uint64_t offset)
{
	return era << WS_ED_OFFSET_BITS | offset;
}

static inline uint64_t ws_ed_position_era(uint64_t position)
{
	return position >> WS_ED_OFFSET_BITS;
}

static inline uint64_t ws_ed_position_offset(uint64_t position)
{
	return position & ((UINT64_C(1) << WS_ED_OFFSET_BITS) - 1);
}

#endif
