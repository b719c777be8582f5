#ifndef WS_ED_STRUCK_H
#define WS_ED_STRUCK_H

#include "core/ws_slots.h"

/*
 * Requests that were in flight when servers crashed. Each crash is a strike;
 * requests with strikes from WS_ED_STRIKES_TO_REFUSE crashes are refused for
 * WS_ED_REFUSED_TIME after the last one.
 *
 * A strike that has been cleared never counts again, in whatever order and how
 * often instances hear of it and of its clearance.
 */

#define WS_ED_STRIKES_TO_REFUSE 2
/* Further ones are not recorded. */
#define WS_ED_STRIKES_KEPT 3
/* Beyond, the oldest clearance is forgotten. */
#define WS_ED_CLEARED_KEPT 6
#define WS_ED_REFUSED_TIME (600 * WS_SECOND)

struct ws_ed_strike {
	uint64_t request;
	uint64_t crash; /* identifies the server process that crashed */
};

struct ws_ed_struck {
	uint64_t request; /* hash of its method, path, caller and body */
	uint64_t crashes[WS_ED_STRIKES_KEPT];
	uint32_t n;
	uint64_t cleared[WS_ED_CLEARED_KEPT]; /* crashes, oldest first */
	uint32_t n_cleared;
	ws_us until; /* when its strikes and clearances expire */
	ws_us refused_since; /* at this instance; 0: it is not refused */
	bool asked_for; /* it has arrived here since */
};

enum ws_ed_strike_result {
	WS_ED_STRIKE_KNOWN = 0, /* nothing has changed */
	WS_ED_STRIKE_ADDED,
	WS_ED_STRIKE_CLEARED, /* it has been cleared before */
};

struct ws_ed_struck_table {
	struct ws_slots slots;
	struct ws_ed_struck *items;
	size_t cap;
	size_t max; /* entries */
};

void ws_ed_struck_init(struct ws_ed_struck_table *t, size_t max);
void ws_ed_struck_free(struct ws_ed_struck_table *t);

/*
 * Records a strike; the same crash counts once. If the table is full, the entry
 * with the fewest strikes is removed, among these the oldest.
 * @param expires_in how long it counts
 */
enum ws_ed_strike_result ws_ed_struck_add(struct ws_ed_struck_table *t,
					  ws_us now,
					  const struct ws_ed_strike *k,
					  ws_us expires_in);

/*
 * Clears a strike, which need not be known yet.
 * @return false if it has been cleared before
 */
bool ws_ed_struck_clear(struct ws_ed_struck_table *t, ws_us now,
			const struct ws_ed_strike *k);

/* @return NULL if nothing is known of the request */
struct ws_ed_struck *ws_ed_struck_find(const struct ws_ed_struck_table *t,
				       ws_us now, uint64_t request);

/* Whether an entry, which may be NULL, is refused. */
bool ws_ed_struck_refused(const struct ws_ed_struck *s);

/*
 * Iterates over the refused requests in the order of their slots.
 * @param slot the first one to consider
 * @return its slot; WS_SLOT_NONE: there is none from there on
 */
uint32_t ws_ed_struck_next(const struct ws_ed_struck_table *t, ws_us now,
			   uint32_t slot);

#endif
