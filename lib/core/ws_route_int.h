#ifndef WS_ROUTE_INT_H
#define WS_ROUTE_INT_H

#include "core/ws_est.h"
#include "core/ws_handle.h"
#include "core/ws_pick.h"
#include "core/ws_route.h"

/* Private to ws_route*.c. */

/* Longest time that a call waits for an owner or a target. */
#define WS_ROUTE_WAIT_MAX (3 * WS_SECOND)

/* Initial and maximum backoff before a waiting call is sent again. */
#define WS_ROUTE_BACKOFF_MIN (10 * WS_MS)
#define WS_ROUTE_BACKOFF_MAX (50 * WS_MS)

/*
 * Time allowed for a dispatcher's answer after the deadline. The dispatcher
 * ends attempts at the deadline, and its answer may prove that the request did
 * not run.
 */
#define WS_ROUTE_ANSWER_GRACE (30 * WS_MS)

/* Dispatchers that may reject a call for load before the call fails. */
#define WS_ROUTE_REFUSALS_MAX 3

/* Retries of an idempotent call after an unknown outcome, e.g. a crash. */
#define WS_ROUTE_CRASH_RETRIES 1

/* Targets tried in sequence before a call waits. */
#define WS_ROUTE_TRIED_MAX 4

/* Concurrent attempts of a call: the original and one hedge. */
#define WS_ROUTE_ATTEMPTS_MAX 2

/*
 * Budget for extra requests in 1/1000 of a request; each call adds
 * WS_RETRY_BUDGET_PERCENT. Hedges never use the reserve, which is kept for
 * retries after failures: a lost target has at most as many requests in flight
 * as it has slots, counted over all instances.
 */
#define WS_ROUTE_BUDGET_PER_CALL (10 * WS_RETRY_BUDGET_PERCENT)
#define WS_ROUTE_BUDGET_RETRY_RESERVE 20000
#define WS_ROUTE_BUDGET_MAX 24000

/* Minimum age for a hedge; shorter delays may be jitter. */
#define WS_ROUTE_HEDGE_MIN (2 * WS_MS)

enum ws_route_state {
	WS_ROUTE_WAITING = 1, /* for an owner or a target */
	WS_ROUTE_RUNNING = 2, /* at least one attempt is in progress */
};

struct ws_route_call {
	uint8_t state;
	bool sharded;
	bool may_have_run; /* an attempt ended with an unknown outcome */
	uint8_t n_refusals;
	uint8_t n_unknown_retries;
	uint8_t n_attempts;
	uint8_t n_tried;
	uint64_t id;
	ws_id owner;
	struct ws_call call;
	ws_us wait_until; /* when waiting ends for good; 0: has not waited */
	ws_us retry_at;
	ws_us backoff;
	ws_us hedge_at; /* 0: no hedge */
	int last_error;
	uint32_t attempts[WS_ROUTE_ATTEMPTS_MAX];
	ws_id tried[WS_ROUTE_TRIED_MAX];
};

struct ws_route_attempt {
	uint32_t call;
	uint32_t est;
	ws_id target;
	ws_us sent;
};

struct ws_route {
	struct ws_route_conf conf;
	ws_us now; /* as last passed by the caller */
	struct ws_picker *picker;
	struct ws_ests ests;
	uint32_t budget;
	struct ws_route_stats stats;
	struct ws_handles slots;
	struct ws_route_call *calls;
	size_t cap_calls;
	struct ws_index by_id;
	struct ws_handles attempt_slots; /* handles are the refs of attempts */
	struct ws_route_attempt *attempts;
	size_t cap_attempts;
	/* Scratch space of ws_route_choose() */
	struct ws_candidate *candidates;
	uint32_t *candidate_ests;
	size_t cap_candidates;
	size_t cap_candidate_ests;
};

/* ===== Target selection ===== */

/* Selects a target for a call of an open service; 0 if there is none. */
ws_id ws_route_choose(struct ws_route *r, const struct ws_route_call *c,
		      const struct ws_view *view);

bool ws_route_is_usable(const struct ws_view *view, ws_id target);

/* ===== Calls ===== */

/* Ends a call with an answer and cancels its remaining attempts. */
void ws_route_finish(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		     const struct ws_answer *answer);

/* Ends a call with an error instead of a target's answer. */
void ws_route_fail(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		   int error);

/* Sends one attempt. */
void ws_route_send(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
		   ws_id target);

/* Sends a call that has no attempt in progress, or makes it wait. */
void ws_route_send_or_wait(struct ws_route *r, struct ws_fx *fx, uint32_t slot,
			   const struct ws_view *view);
void ws_route_schedule_retry(struct ws_route *r, uint32_t slot);

/* Spends the budget of one extra request if at least reserve remains. */
bool ws_route_spend_budget(struct ws_route *r, uint32_t reserve);

void ws_route_remove_attempt(struct ws_route *r, uint32_t attempt);
void ws_route_release(struct ws_fx *fx, ws_payload payload);

#endif
