#ifndef WS_QUAR_H
#define WS_QUAR_H

#include "core/ws_types.h"

/* Quarantine of requests that were in flight when targets crashed. */

#define WS_QUAR_STRIKES 2
#define WS_QUAR_TIME (600 * WS_SECOND)

struct ws_quar;

struct ws_quar *ws_quar_new(size_t max_entries);
void ws_quar_free(struct ws_quar *q);

/*
 * Counts a strike; the same strike_id counts once. Strikes against a request
 * that is in quarantine already are ignored. At the bound the entry with the
 * fewest strikes, among these the oldest, is forgotten.
 */
void ws_quar_strike(struct ws_quar *q, ws_us now, uint64_t fingerprint,
		    uint64_t strike_id);

/* Forgets the strikes against a fingerprint. */
void ws_quar_clear(struct ws_quar *q, uint64_t fingerprint);

/* Strikes held against a fingerprint now. */
unsigned ws_quar_strikes(const struct ws_quar *q, ws_us now,
			 uint64_t fingerprint);

/* True when the request must be refused. */
bool ws_quar_is_quarantined(const struct ws_quar *q, ws_us now,
			    uint64_t fingerprint);

/* Forgets expired entries. */
void ws_quar_tick(struct ws_quar *q, ws_us now);

size_t ws_quar_count(const struct ws_quar *q);

#endif
