#ifndef WS_DISP_H
#define WS_DISP_H

#include "core/ws_member.h"

/*
 * Dispatch: concurrency limit, slow start and fair queue of each target that
 * this instance dispatches. See docs/design.md, section 4.4.
 */

struct ws_disp;

struct ws_disp_conf {
	ws_id self;
	size_t max_queued; /* per target */
};

struct ws_disp *ws_disp_new(const struct ws_disp_conf *conf);
void ws_disp_free(struct ws_disp *d);

/*
 * This instance starts or stops being the dispatcher of a target. Starting
 * begins at the cold limit; warm is for simulations that need a target at its
 * full limit, since what a former dispatcher knew may be outdated. Stopping
 * answers what is queued as not run; what is in flight goes on.
 */
void ws_disp_open(struct ws_disp *d, ws_us now, ws_id target, bool warm,
		  const struct ws_service *svc);
void ws_disp_close(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		   ws_id target);
bool ws_disp_is_open(const struct ws_disp *d, ws_id target);

/*
 * Queues a call for a target. Ends in exactly one WS_FX_DISP_DONE for
 * (origin, ref). Emits WS_FX_DISP_SEND when it may go to the target.
 */
void ws_disp_submit(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		    ws_id origin, uint64_t ref, ws_id target,
		    uint64_t incarnation, ws_offset fence, uint16_t weight,
		    const struct ws_call *call);

/*
 * The asker is gone: drops it if queued, cancels it if idempotent. What is
 * dropped or cancelled also ends in its WS_FX_DISP_DONE, at once.
 */
void ws_disp_cancel(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		    ws_id origin, uint64_t ref);

/*
 * An attempt named in WS_FX_DISP_SEND has ended. The shell reports the end of
 * cancelled attempts too; until then, and while the target may not have noticed
 * the cancellation, their slots stay counted. A payload that
 * nobody waits for any more is given back with WS_FX_RELEASE.
 */
void ws_disp_attempt_done(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  uint64_t attempt,
			  const struct ws_attempt_result *result);

/* A probe of an open target has ended. */
void ws_disp_probe_result(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  ws_id target, bool ok, uint64_t incarnation,
			  bool ready, uint32_t load);

/* The target is cold again or its zone is back: slow start from the bottom. */
void ws_disp_slow_start(struct ws_disp *d, ws_us now, ws_id target);

/* A cap below the bundle's slots, used while isolated; 0 lifts it. */
void ws_disp_set_limit_cap(struct ws_disp *d, ws_id target, uint16_t cap);

/* Deadlines of queued calls; sends what the limits allow. */
void ws_disp_tick(struct ws_disp *d, struct ws_fx *fx, ws_us now);

/* Present state of a target; false when it is not open here. */
bool ws_disp_get_load(const struct ws_disp *d, ws_id target,
		      struct ws_load *load);

/* What is known of a target's warmth counts for this long. */
#define WS_DISP_WARM_MAX_AGE WS_SECOND

/*
 * Has the target finished its slow start, with no slow answer since and a
 * normal one within WS_DISP_WARM_MAX_AGE?
 */
bool ws_disp_is_warm(const struct ws_disp *d, ws_us now, ws_id target);

/* Attempts at a target that are not over, also after ws_disp_close(). */
size_t ws_disp_in_flight(const struct ws_disp *d, ws_id target);

/* Requests queued or in flight over all targets. */
size_t ws_disp_count(const struct ws_disp *d);

#endif
