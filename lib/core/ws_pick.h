#ifndef WS_PICK_H
#define WS_PICK_H

#include "core/ws_route.h"

/*
 * Load balancing policies that pick one of several candidate targets. Part of
 * ws_route.
 */

struct ws_candidate {
	ws_id target;
	ws_us cost; /* expected time until the answer */
	uint32_t in_flight; /* maximum of local and reported */
	uint64_t last_pick; /* sequence number; 0: never picked */
	bool slow; /* much slower than the other targets */
	bool full; /* an additional call would have to wait */
};

struct ws_picker;

struct ws_pick_ops {
	const char *name;
	/* Returns the index of the chosen candidate; n is at least 1. */
	size_t (*choose)(struct ws_picker *p, const struct ws_candidate *c,
			 size_t n);
	void (*free)(struct ws_picker *p);
};

/* Base struct of every policy. */
struct ws_picker {
	const struct ws_pick_ops *ops;
};

struct ws_picker *ws_picker_new(enum ws_pick_policy kind, uint64_t seed);

/* Returns the name of a policy as used in settings; NULL if unknown. */
const char *ws_pick_name(enum ws_pick_policy kind);

#endif
