#ifndef WS_ADM_H
#define WS_ADM_H

#include "core/ws_member.h"

/*
 * Admission control: enforces the rate and burst of each customer over all
 * instances together, by token buckets whose tokens move between instances. See
 * docs/design.md, 4.2.
 */

/* Longest lifetime of a pulled token, counted from when the pull was sent. */
#define WS_TOKEN_LIFETIME (200 * WS_MS)
#define WS_TOKEN_WAIT_MAX (50 * WS_MS)

/* Most calls of all customers that wait for a token at the same time. */
#define WS_ADM_MAX_WAITING 65536

/* Most TOKEN_ASK messages that an instance sends per second. */
#define WS_ADM_ASKS_PER_SECOND 1000

/*
 * Retry-After for a customer whose rate or burst is 0 or who is not in the
 * bundle.
 */
#define WS_ADM_NO_RATE_RETRY_AFTER (3600 * WS_SECOND)

/*
 * Bound: in every time window, all instances together spend at most burst +
 * rate * window tokens. Each partition keeps
 *
 *	level + tokens given away that may still be spent <= burst / partitions
 *
 * and mints rate / partitions tokens per second. The pulling instance states
 * the lifetime of the tokens in the low eight bits of the ref of TOKEN_ASK, in
 * ms. The giver counts the tokens as spendable for that time from the arrival
 * of the message, which is later than its sending. While a new bundle spreads,
 * the bound holds with the larger of the two rates and bursts. The number of
 * partitions must not change while instances run.
 *
 * Payload handles: ws_adm_request() takes ownership of the call's handle, which
 * is passed on with WS_FX_ADMITTED. When the call is refused or cancelled, the
 * handle is returned with WS_FX_RELEASE, after ws_adm_cancel() by the next
 * tick.
 */

struct ws_adm;

struct ws_adm *ws_adm_new(ws_id self, uint64_t seed);
void ws_adm_free(struct ws_adm *a);

/*
 * Requests one token for a call of the customer. The result is WS_FX_ADMITTED
 * or WS_FX_ADMIT_REFUSED (error, retry_after) for id, at once or later.
 * ADMITTED returns the payload and all of call unchanged.
 *
 * The outcome of a refusal is always "not run". Its error is WS_ERR_RATE,
 * WS_ERR_DEADLINE if the call's deadline ends its wait, WS_ERR_BAD_KEY for a
 * customer that the bundle does not list (0 included: calls without a customer
 * must not be passed to this module), WS_ERR_NO_BUNDLE or WS_ERR_LIMIT.
 */
void ws_adm_request(struct ws_adm *a, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_call *call, const struct ws_view *view);

/* Removes a waiting call whose caller is gone; it gets no result. */
void ws_adm_cancel(struct ws_adm *a, uint64_t id);

/* Handles TOKEN_ASK and TOKEN_GIVE messages. */
void ws_adm_msg(struct ws_adm *a, struct ws_fx *fx, ws_us now, ws_id from,
		const struct ws_msg *msg, const struct ws_view *view);

/*
 * Sets the partitions that this instance actively holds and may mint tokens
 * for, with the fence of each. mint_until is the time until which its state of
 * the log counts as fresh. A partition with a new fence starts with an empty
 * bucket and mints after WS_TOKEN_LIFETIME, when the tokens that its former
 * holder gave away have expired.
 */
void ws_adm_set_partitions(struct ws_adm *a, ws_us now, const uint32_t *index,
			   const ws_offset *fence, size_t n, ws_us mint_until);

/*
 * Sets the holder of each partition, by index; 0: none. Before the first call,
 * every live instance is assumed to hold an equal share, which costs more
 * messages.
 */
void ws_adm_set_holders(struct ws_adm *a, const ws_id *holder, size_t n);

/*
 * Expires pulled tokens, pulls tokens for the expected demand, admits or
 * refuses waiting calls. Called once per WS_TICK_PERIOD.
 */
void ws_adm_tick(struct ws_adm *a, struct ws_fx *fx, ws_us now,
		 const struct ws_view *view);

/* Tokens of a customer that this instance can spend, in 1/1000 tokens. */
int64_t ws_adm_balance(const struct ws_adm *a, ws_id customer);

/* Counters since the start, for status pages and measurements. */
struct ws_adm_stats {
	uint64_t requests;
	uint64_t admitted;
	uint64_t refused;
	uint64_t waited; /* requests that had to wait for a token */
	uint64_t asks; /* TOKEN_ASK sent */
	uint64_t gives; /* TOKEN_GIVE sent */
	uint64_t expired_milli; /* pulled but not spent in time, milli */
};

const struct ws_adm_stats *ws_adm_stats(const struct ws_adm *a);

/* Tokens that this instance has spent for a customer since the start. */
uint64_t ws_adm_spent(const struct ws_adm *a, ws_id customer);

#endif
