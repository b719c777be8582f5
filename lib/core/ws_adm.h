#ifndef WS_ADM_H
#define WS_ADM_H

#include "core/ws_member.h"

/*
 * Admission: customers' rate and burst counted over all instances by token
 * buckets whose tokens move between instances. See docs/design.md, 4.2.
 */

#define WS_TOKEN_AGE (200 * WS_MS)
#define WS_TOKEN_WAIT (50 * WS_MS)

struct ws_adm;

struct ws_adm *ws_adm_new(ws_id self, uint64_t seed);
void ws_adm_free(struct ws_adm *a);

/*
 * Asks for one token for a call of the customer. Answers at once or later
 * with WS_FX_ADMITTED or WS_FX_ADMIT_REFUSED (error, retry_after) for id.
 * The payload and all of call are handed back unchanged in ADMITTED.
 */
void ws_adm_request(struct ws_adm *a, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_call *call, const struct ws_view *view);

/* The caller of a waiting call is gone; nothing is emitted for it. */
void ws_adm_cancel(struct ws_adm *a, uint64_t id);

/* TOKEN_ASK and TOKEN_GIVE. */
void ws_adm_msg(struct ws_adm *a, struct ws_fx *fx, ws_us now, ws_id from,
		const struct ws_msg *msg, const struct ws_view *view);

/*
 * Tells which partitions this instance actively holds and may mint for, with
 * the fence of each; mint_until is the end of its freshness. A partition with
 * a fence not seen before starts at zero.
 */
void ws_adm_set_partitions(struct ws_adm *a, ws_us now, const uint32_t *index,
			   const ws_offset *fence, size_t n, ws_us mint_until);

/* Mints, expires pulled tokens, serves or refuses waiting calls. */
void ws_adm_tick(struct ws_adm *a, struct ws_fx *fx, ws_us now,
		 const struct ws_view *view);

/* Balance of a customer here, in 1/1000 tokens. */
int64_t ws_adm_balance(const struct ws_adm *a, ws_id customer);

/* Tokens spent here for a customer since the start, in whole tokens. */
uint64_t ws_adm_spent(const struct ws_adm *a, ws_id customer);

#endif
