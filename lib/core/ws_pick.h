#ifndef WS_PICK_H
#define WS_PICK_H

#include "core/ws_route.h"

/* Policies that pick one of several candidate targets. Part of ws_route. */

struct ws_candidate {
	ws_id target;
	ws_us cost; /* expected time until the answer */
	uint32_t in_flight; /* own, or as the dispatcher told if more */
	uint64_t last_pick; /* grows with each pick; 0: never picked */
	bool slow; /* much slower than the other targets */
	bool full; /* a further call would have to wait */
};

struct ws_picker;

struct ws_pick_ops {
	const char *name;
	/* Index of the candidate to use; n is at least 1. */
	size_t (*choose)(struct ws_picker *p, const struct ws_candidate *c,
			 size_t n);
	void (*free)(struct ws_picker *p);
};

/* Base of each policy. */
struct ws_picker {
	const struct ws_pick_ops *ops;
};

struct ws_picker *ws_picker_new(enum ws_pick_policy kind, uint64_t seed);

/* Name of a policy as used in settings; NULL when there is none. */
const char *ws_pick_name(enum ws_pick_policy kind);

#endif
