#ifndef WS_ADM_PRIV_H
#define WS_ADM_PRIV_H

#include "core/ws_adm.h"
#include "core/ws_slots.h"

/*
 * Internals of ws_adm: buckets and pulled tokens (ws_adm_bucket.c), pulls
 * (ws_adm_pull.c), waiting calls (ws_adm_wait.c), the rest (ws_adm.c).
 *
 * Tokens are counted in units such that no division rounds: one token is
 * 1,000,000 * partitions units. A partition then mints `rate` units per
 * microsecond and has a capacity of burst * 1,000,000 units. Messages carry
 * 1/1000 tokens, called "milli".
 */

#define WS_ADM_MILLI 1000

/* The expiry of given tokens is rounded up to a multiple of this time. */
#define WS_ADM_EXPIRY_SLOT (10 * WS_MS)
#define WS_ADM_EXPIRY_SLOTS 22

/* Most batches of pulled tokens that are tracked for one customer. */
#define WS_ADM_MAX_PULLED 32

/* Token bucket of one partition for one customer. */
struct ws_adm_bucket {
	int64_t level; /* units */
	ws_us minted_until; /* may be in the future */
	int64_t outstanding; /* units given away that may still be spent */
	int64_t expired_slot; /* number of the last one that has passed */
	uint32_t given[WS_ADM_EXPIRY_SLOTS]; /* milli, by expiry slot */
};

struct ws_adm_pulled {
	int64_t units;
	ws_us expires;
};

/* Estimated balance of a customer at a peer. */
struct ws_adm_peer_state {
	int64_t balance; /* milli, as last reported */
	ws_us reported_at;
	uint32_t mint_left; /* 1/1000 of its minted tokens left */
	uint32_t expected; /* milli expected from the pull in progress */
	uint64_t ref; /* of the pull in progress; 0: none */
	ws_us sent;
	ws_us retry_at; /* after unanswered pulls: no pull before this time */
	uint8_t unanswered; /* consecutive pulls without an answer */
};

/* A peer that holds partitions. */
struct ws_adm_peer {
	ws_id id;
	uint32_t share; /* partitions held, in 1/1000 */
	bool alive;
};

/* Rate limit for messages, itself a token bucket. */
struct ws_adm_budget {
	int64_t level; /* 1/1,000,000 messages */
	ws_us refilled_at;
};

struct ws_adm_customer {
	ws_id id;
	uint32_t rate;
	uint32_t burst;
	bool listed; /* used while a new bundle is applied */
	struct ws_adm_bucket *buckets; /* by own_partitions */
	struct ws_adm_peer_state *peer_state; /* by ws_adm.peers */
	struct ws_adm_pulled *pulled; /* by expiry */
	size_t n_pulled;
	size_t cap_pulled;
	uint32_t arrivals; /* calls since demand_at */
	int64_t demand; /* milli per second, smoothed */
	ws_us demand_at;
	uint32_t first_wait;
	uint32_t last_wait;
	uint32_t n_wait;
	struct ws_adm_budget budget;
	uint64_t spent;
};

struct ws_adm_partition {
	uint32_t index;
	ws_offset fence;
};

/* A call that waits for a token, in the linked queue of its customer. */
struct ws_adm_wait {
	uint64_t id;
	struct ws_call call;
	ws_us until;
	uint32_t customer;
	uint32_t next;
	uint32_t prev;
};

struct ws_adm {
	ws_id self;
	uint64_t next_ref;
	ws_us last_tick;
	uint64_t bundle_version;
	bool has_bundle;
	int64_t partitions; /* of the bundle; 1 without a bundle */
	struct ws_adm_partition *own_partitions;
	size_t n_own_partitions;
	ws_us mint_until;
	struct ws_adm_peer *peers;
	size_t n_peers;
	bool holders_known;
	struct ws_slots customer_index;
	struct ws_adm_customer *customers;
	size_t customers_cap;
	struct ws_slots wait_index;
	struct ws_adm_wait *waits;
	size_t waits_cap;
	ws_payload *to_release; /* payloads of cancelled calls */
	size_t n_to_release;
	size_t cap_to_release;
	struct ws_adm_budget budget;
	struct ws_adm_stats stats;
};

/* Units per token and per 1/1000 token. */
static inline int64_t ws_adm_token(const struct ws_adm *a)
{
	return 1000000 * a->partitions;
}

static inline int64_t ws_adm_milli(const struct ws_adm *a)
{
	return 1000 * a->partitions;
}

/* ===== Buckets and pulled tokens (ws_adm_bucket.c) ===== */

/* Mints the tokens of the time up to now. */
void ws_adm_refill(const struct ws_adm *a, struct ws_adm_customer *c,
		   ws_us now);

/* Changes the rate and burst of a customer. */
void ws_adm_set_rate(const struct ws_adm *a, struct ws_adm_customer *c,
		     ws_us now, uint32_t rate, uint32_t burst);

/* Units that may be spent here now: from buckets only, and with pulled ones. */
int64_t ws_adm_bucket_units(const struct ws_adm *a,
			    const struct ws_adm_customer *c, ws_us now);
int64_t ws_adm_spendable_units(const struct ws_adm *a,
			       const struct ws_adm_customer *c, ws_us now);

/* Spends one token; returns false if there is none. */
bool ws_adm_spend(const struct ws_adm *a, struct ws_adm_customer *c, ws_us now);

/* Takes up to milli out of the buckets for a peer; returns the amount taken. */
uint32_t ws_adm_take_for_peer(const struct ws_adm *a, struct ws_adm_customer *c,
			      ws_us now, uint32_t milli, ws_us expires);

void ws_adm_add_pulled(struct ws_adm_customer *c, int64_t units, ws_us expires);
void ws_adm_expire_pulled(struct ws_adm *a, struct ws_adm_customer *c,
			  ws_us now);

/* ===== Pulls (ws_adm_pull.c) ===== */

/*
 * Updates which peers are alive; derives the peers from the view if the holders
 * are not known.
 */
void ws_adm_update_peers(struct ws_adm *a, const struct ws_view *view,
			 ws_us now);

/* Pulls tokens for waiting calls and for the expected demand. */
void ws_adm_pull(struct ws_adm *a, struct ws_fx *fx, struct ws_adm_customer *c,
		 ws_us now);

/* Upper estimate of the milli that all live instances have together. */
int64_t ws_adm_max_reachable(const struct ws_adm *a,
			     const struct ws_adm_customer *c, ws_us now);

/* Gives up pulls that were not answered in time. */
void ws_adm_expire_asks(struct ws_adm *a, struct ws_adm_customer *c, ws_us now);

/* Updates the smoothed demand with the arrivals since the last update. */
void ws_adm_update_demand(struct ws_adm_customer *c, ws_us now);

void ws_adm_on_ask(struct ws_adm *a, struct ws_fx *fx,
		   struct ws_adm_customer *c, ws_us now, ws_id from,
		   const struct ws_msg *msg);
void ws_adm_on_give(struct ws_adm *a, struct ws_adm_customer *c, ws_us now,
		    ws_id from, const struct ws_msg *msg);

/* ===== Waiting calls (ws_adm_wait.c) ===== */

void ws_adm_admit(struct ws_adm *a, struct ws_fx *fx, uint64_t id,
		  const struct ws_call *call);
void ws_adm_refuse(struct ws_adm *a, struct ws_fx *fx, uint64_t id,
		   const struct ws_call *call, int error, ws_us retry_after);

/* Time after which a refused call may get a token. */
ws_us ws_adm_retry_after(const struct ws_adm_customer *c);

/* Queues a call; returns false if too many calls wait. */
bool ws_adm_wait(struct ws_adm *a, uint32_t customer, uint64_t id,
		 const struct ws_call *call, ws_us now);

/* Admits waiting calls in order while there are tokens. */
void ws_adm_serve(struct ws_adm *a, struct ws_fx *fx, struct ws_adm_customer *c,
		  ws_us now);

/* Refuses calls that have waited for too long. */
void ws_adm_expire_waits(struct ws_adm *a, struct ws_fx *fx,
			 struct ws_adm_customer *c, ws_us now);

/* Refuses all waiting calls of a customer that was removed from the bundle. */
void ws_adm_refuse_all(struct ws_adm *a, struct ws_fx *fx,
		       struct ws_adm_customer *c);

#endif
