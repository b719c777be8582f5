#ifndef WS_QUAR_H
#define WS_QUAR_H

#include "core/ws_types.h"

/*
 * Quarantine for requests that were in flight when targets crashed. After
 * WS_QUAR_STRIKES crashes ("strikes") a request is refused for WS_QUAR_TIME.
 */

#define WS_QUAR_STRIKES 2
#define WS_QUAR_TIME (600 * WS_SECOND)

struct ws_quar;

struct ws_quar *ws_quar_new(size_t max_entries);
void ws_quar_free(struct ws_quar *q);

/*
 * Records a strike; the same strike_id counts once. Strikes against a request
 * that is already in quarantine are ignored. If the table is full, the entry
 * with the fewest strikes is removed, among these the oldest.
 */
void ws_quar_strike(struct ws_quar *q, ws_us now, uint64_t fingerprint,
		    uint64_t strike_id);

/* Current number of strikes against a fingerprint. */
unsigned ws_quar_strikes(const struct ws_quar *q, ws_us now,
			 uint64_t fingerprint);

/* True when the request must be refused. */
bool ws_quar_is_quarantined(const struct ws_quar *q, ws_us now,
			    uint64_t fingerprint);

/* Removes expired entries. */
void ws_quar_tick(struct ws_quar *q, ws_us now);

size_t ws_quar_count(const struct ws_quar *q);

#endif
