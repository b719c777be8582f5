#ifndef WS_ROUTE_H
#define WS_ROUTE_H

#include "core/ws_member.h"

/*
 * Routing: chooses the target of a call, retries and hedges idempotent calls
 * within a budget. See docs/design.md, section 4.4.
 */

#define WS_RETRY_BUDGET_PERCENT 5

struct ws_route;

/* How a target is picked among the usable ones of an open service. */
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
 * Starts routing a call. Emits WS_FX_ROUTE_SEND for each attempt and in the
 * end exactly one WS_FX_ROUTE_DONE for id.
 * @param owner target that owns the key; 0 for open services
 */
void ws_route_start(struct ws_route *r, struct ws_fx *fx, ws_us now,
		    uint64_t id, const struct ws_call *call, ws_id owner,
		    const struct ws_view *view);

/*
 * The answer to an attempt, or its failure (e.g. the peer is gone). Late and
 * duplicated answers have no effect but to give back their payload with
 * WS_FX_RELEASE.
 * @param load state of the target as its dispatcher told, or NULL
 */
void ws_route_answer(struct ws_route *r, struct ws_fx *fx, ws_us now,
		     uint64_t ref, const struct ws_answer *answer,
		     const struct ws_load *load, const struct ws_view *view);

/*
 * The caller is gone. An idempotent call, or one that has no attempt out, ends
 * with its WS_FX_ROUTE_DONE at once, and its attempts are cancelled with
 * WS_FX_ROUTE_CANCEL. Any other call runs on.
 */
void ws_route_cancel(struct ws_route *r, struct ws_fx *fx, uint64_t id);

/* Load of a target as told by its dispatcher. */
void ws_route_update_load(struct ws_route *r, ws_us now,
			  const struct ws_load *load);

/* Retries that wait for an owner or a target, hedges, deadlines. */
void ws_route_tick(struct ws_route *r, struct ws_fx *fx, ws_us now,
		   const struct ws_view *view);

/* A waiting call whose owner is known now; see WS_ERR_NOT_HOLDER. */
void ws_route_set_owner(struct ws_route *r, uint64_t id, ws_id owner);

/*
 * Calls of sharded services that wait because their owner is not known or
 * cannot be used; fills ids and calls up to max. Ask each tick and give the
 * present owner with ws_route_set_owner() before ws_route_tick().
 */
size_t ws_route_calls_without_owner(const struct ws_route *r, uint64_t *ids,
				    struct ws_call *calls, size_t max);

size_t ws_route_count(const struct ws_route *r);

struct ws_route_stats {
	uint64_t calls;
	uint64_t sends; /* attempts of any kind */
	uint64_t resends; /* after a proved NOT_RUN */
	uint64_t retries; /* after an unknown outcome, idempotent calls */
	uint64_t hedges;
};

const struct ws_route_stats *ws_route_stats(const struct ws_route *r);

#endif
