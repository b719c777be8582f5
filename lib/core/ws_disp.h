#ifndef WS_DISP_H
#define WS_DISP_H

#include "core/ws_member.h"

/*
 * Dispatch: concurrency limit, slow start and fair queue for each target whose
 * dispatcher is this instance. See docs/design.md, section 4.4.
 */

struct ws_disp;

struct ws_disp_conf {
	ws_id self;
	size_t max_queued; /* per target */
};

struct ws_disp *ws_disp_new(const struct ws_disp_conf *conf);
void ws_disp_free(struct ws_disp *d);

/*
 * Starts or stops dispatching a target. A target starts at its cold limit,
 * because the state known to a former dispatcher may be outdated; warm is for
 * simulations that need a target at its full limit. Closing answers queued
 * requests as not run; requests in flight continue.
 */
void ws_disp_open(struct ws_disp *d, ws_us now, ws_id target, bool warm,
		  const struct ws_service *svc);
void ws_disp_close(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		   ws_id target);
bool ws_disp_is_open(const struct ws_disp *d, ws_id target);

/*
 * Queues a call for a target. Emits WS_FX_DISP_SEND when the limits allow it to
 * be sent, and exactly one WS_FX_DISP_DONE for (origin, ref) when it ends.
 */
void ws_disp_submit(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		    ws_id origin, uint64_t ref, ws_id target,
		    uint64_t incarnation, ws_offset fence, uint16_t weight,
		    const struct ws_call *call);

/*
 * Handles the loss of the client: a queued call is dropped, an idempotent
 * call in flight is cancelled, any other call continues. A call that is dropped
 * or cancelled ends with WS_FX_DISP_DONE at once.
 */
void ws_disp_cancel(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		    ws_id origin, uint64_t ref);

/*
 * Processes the end of an attempt announced with WS_FX_DISP_SEND. The shell
 * reports the end of cancelled attempts too. Until then, and while the target
 * may not have noticed the cancellation, their slots stay in use. A payload
 * without a client is released with WS_FX_RELEASE.
 */
void ws_disp_attempt_done(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  uint64_t attempt,
			  const struct ws_attempt_result *result);

/* Processes the result of a health probe of an open target. */
void ws_disp_probe_result(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  ws_id target, bool ok, uint64_t incarnation,
			  bool ready, uint32_t load);

/* Restarts the slow start: the target is cold or its zone is back. */
void ws_disp_slow_start(struct ws_disp *d, ws_us now, ws_id target);

/* Caps the limit below the bundle's slots while isolated; 0: no cap. */
void ws_disp_set_limit_cap(struct ws_disp *d, ws_id target, uint16_t cap);

/* Enforces deadlines and sends as many queued calls as the limits allow. */
void ws_disp_tick(struct ws_disp *d, struct ws_fx *fx, ws_us now);

/* Gets the current load of a target; false if it is not open here. */
bool ws_disp_get_load(const struct ws_disp *d, ws_id target,
		      struct ws_load *load);

/* A target without answers for this long does not count as warm. */
#define WS_DISP_WARM_MAX_AGE WS_SECOND

/*
 * Returns whether the target has finished its slow start and its last answer
 * was not slow and is at most WS_DISP_WARM_MAX_AGE old.
 */
bool ws_disp_is_warm(const struct ws_disp *d, ws_us now, ws_id target);

/* Number of unfinished attempts at a target, also after ws_disp_close(). */
size_t ws_disp_in_flight(const struct ws_disp *d, ws_id target);

/* Number of requests queued or in flight over all targets. */
size_t ws_disp_count(const struct ws_disp *d);

#endif
