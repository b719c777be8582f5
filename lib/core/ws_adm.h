#ifndef WS_ADM_H
#define WS_ADM_H

#include "core/ws_member.h"

/*
 * Admission: customers' rate and burst counted over all instances by token
 * buckets whose tokens move between instances. See docs/design.md, 4.2.
 */

/* Longest life of a pulled token, counted from the sending of the pull. */
#define WS_TOKEN_LIFETIME (200 * WS_MS)
#define WS_TOKEN_WAIT_MAX (50 * WS_MS)

/* Calls that wait for a token at once, over all customers. */
#define WS_ADM_MAX_WAITING 65536

/* Token messages that one instance sends of its own accord. */
#define WS_ADM_ASKS_PER_SECOND 1000

/* Retry-After of a customer whose rate is 0 or who has left the bundle. */
#define WS_ADM_NO_RATE_RETRY_AFTER (3600 * WS_SECOND)

/*
 * Bound: over every window the tokens spent in all instances are at most
 * burst + rate * window. Each partition keeps
 *
 *	level + tokens given away that may still be spent <= burst / partitions
 *
 * and mints rate / partitions. The asker states the life of the tokens in the
 * low eight bits of the ref of TOKEN_ASK, in ms; the giver counts them as
 * spendable for that time from the arrival of the ask, which is later than
 * its sending. While a new bundle spreads, the bound holds with the larger of
 * the two rates and bursts. The number of partitions must not change while
 * instances run.
 *
 * Payload handles: request() takes over the handle of the call, it leaves with
 * WS_FX_ADMITTED. When the call is refused, or after ws_adm_cancel(), it is
 * given back by WS_FX_RELEASE, in the latter case by the next tick.
 */

struct ws_adm;

struct ws_adm *ws_adm_new(ws_id self, uint64_t seed);
void ws_adm_free(struct ws_adm *a);

/*
 * Asks for one token for a call of the customer. Answers at once or later
 * with WS_FX_ADMITTED or WS_FX_ADMIT_REFUSED (error, retry_after) for id.
 * The payload and all of call are handed back unchanged in ADMITTED.
 * A refusal is always "not run": WS_ERR_RATE, WS_ERR_DEADLINE when the call's
 * deadline ends its wait, WS_ERR_BAD_KEY for a customer that the bundle does
 * not list (0 included: calls without a customer are not for this module),
 * WS_ERR_NO_BUNDLE, WS_ERR_LIMIT.
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
 * a fence not seen before starts at zero, and mints after WS_TOKEN_LIFETIME,
 * when the tokens that its former holder gave away have expired.
 */
void ws_adm_set_partitions(struct ws_adm *a, ws_us now, const uint32_t *index,
			   const ws_offset *fence, size_t n, ws_us mint_until);

/*
 * Tells who holds each partition, by index; 0: nobody. Without it every live
 * instance is taken to hold an equal share, which costs more messages.
 */
void ws_adm_set_holders(struct ws_adm *a, const ws_id *holder, size_t n);

/*
 * Expires pulled tokens, pulls ahead of the demand, serves or refuses waiting
 * calls. Called each WS_TICK_PERIOD.
 */
void ws_adm_tick(struct ws_adm *a, struct ws_fx *fx, ws_us now,
		 const struct ws_view *view);

/* Balance of a customer here, in 1/1000 tokens. */
int64_t ws_adm_balance(const struct ws_adm *a, ws_id customer);

/* What has happened since the start; for status and measurements. */
struct ws_adm_stats {
	uint64_t requests;
	uint64_t admitted;
	uint64_t refused;
	uint64_t waited; /* requests that did not find a token at once */
	uint64_t asks; /* TOKEN_ASK sent */
	uint64_t gives; /* TOKEN_GIVE sent */
	uint64_t expired_milli; /* pulled and not spent, in 1/1000 tokens */
};

const struct ws_adm_stats *ws_adm_stats(const struct ws_adm *a);

/* Tokens spent here for a customer since the start, in whole tokens. */
uint64_t ws_adm_spent(const struct ws_adm *a, ws_id customer);

#endif
