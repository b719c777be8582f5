#ifndef WS_ROUTE_H
#define WS_ROUTE_H

#include "core/ws_member.h"

/*
 * Routing: chooses the target of a call, retries and hedges idempotent calls
 * within a budget. See docs/design.md, section 4.4.
 */

/* Upper bound of retries and hedges, in percent of the calls. */
#define WS_RETRY_BUDGET_PERCENT 5

struct ws_route;

/* Load-balancing policy among the usable targets of an open service. */
enum ws_pick_policy {
	WS_PICK_TWO_CHOICES = 0,
	WS_PICK_ROUND_ROBIN = 1,
	WS_PICK_LEAST_IN_FLIGHT = 2,
};

struct ws_route_conf {
	ws_id self;
	uint64_t seed;
	enum ws_pick_policy pick;
	bool hedge;
	size_t max_calls;
};

struct ws_route *ws_route_new(const struct ws_route_conf *conf);
void ws_route_free(struct ws_route *r);

/*
 * Starts routing a call. Emits WS_FX_ROUTE_SEND for each attempt and exactly
 * one WS_FX_ROUTE_DONE for id when the call ends.
 * @param owner target that owns the key; 0 for open services
 */
void ws_route_start(struct ws_route *r, struct ws_fx *fx, ws_us now,
		    uint64_t id, const struct ws_call *call, ws_id owner,
		    const struct ws_view *view);

/*
 * Processes the answer to an attempt or its failure, e.g. a lost peer
 * connection. Late and duplicate answers are ignored, apart from releasing
 * their payload with WS_FX_RELEASE.
 * @param load state of the target as reported by its dispatcher, or NULL
 */
void ws_route_answer(struct ws_route *r, struct ws_fx *fx, ws_us now,
		     uint64_t ref, const struct ws_answer *answer,
		     const struct ws_load *load, const struct ws_view *view);

/*
 * Handles the disconnect of a caller. An idempotent call, or a call without an
 * attempt in progress, ends at once with WS_FX_ROUTE_DONE, and its attempts
 * are cancelled with WS_FX_ROUTE_CANCEL. Any other call continues.
 */
void ws_route_cancel(struct ws_route *r, struct ws_fx *fx, uint64_t id);

/* Updates the load of a target as reported by its dispatcher. */
void ws_route_update_load(struct ws_route *r, ws_us now,
			  const struct ws_load *load);

/*
 * Retries calls that wait for an owner or a target, sends hedges and enforces
 * deadlines.
 */
void ws_route_tick(struct ws_route *r, struct ws_fx *fx, ws_us now,
		   const struct ws_view *view);

/* Sets the owner of a waiting call; see WS_ERR_NOT_HOLDER. */
void ws_route_set_owner(struct ws_route *r, uint64_t id, ws_id owner);

/*
 * Lists calls of sharded services that wait because their owner is unknown or
 * unusable. Writes up to max entries to ids and calls and returns their number.
 * On each tick, before ws_route_tick(), the caller sets the current owner of
 * each with ws_route_set_owner().
 */
size_t ws_route_calls_without_owner(const struct ws_route *r, uint64_t *ids,
				    struct ws_call *calls, size_t max);

size_t ws_route_count(const struct ws_route *r);

struct ws_route_stats {
	uint64_t calls;
	uint64_t sends; /* attempts of any kind */
	uint64_t resends; /* after a proven NOT_RUN */
	uint64_t retries; /* of idempotent calls, after an unknown outcome */
	uint64_t hedges;
};

const struct ws_route_stats *ws_route_stats(const struct ws_route *r);

#endif
