#ifndef WS_MEMBER_H
#define WS_MEMBER_H

#include "core/ws_bundle.h"
#include "core/ws_types.h"

/*
 * Who exists and who is alive: instances from the platform's list and from
 * heartbeats, targets from the list and from the probes of their dispatcher.
 */

#define WS_HEARTBEAT_PERIOD (250 * WS_MS)
#define WS_INSTANCE_SUSPECT (800 * WS_MS)
#define WS_PROBE_PERIOD (200 * WS_MS)
#define WS_TARGET_SUSPECT (800 * WS_MS)

struct ws_instance {
	ws_id id;
	ws_id zone;
	struct ws_name name;
	struct ws_name address;
	bool listed;
	bool leaving;
	bool alive; /* heard from within WS_INSTANCE_SUSPECT */
	bool ready;
	ws_us heard;
	ws_offset folded;
	uint64_t bundle_version;
	int64_t wall_offset_ms; /* its wall clock minus ours */
};

struct ws_target {
	ws_id id;
	ws_id service;
	ws_id zone;
	struct ws_name name;
	struct ws_name address;
	bool listed;
	bool leaving; /* by the list or by its own word */
	uint8_t state; /* enum ws_member_state */
	uint64_t incarnation; /* last seen; 0: never */
	ws_us probed; /* last good probe, own or told */
	/* Clock sample for leases; sampled by own probes only */
	ws_us clock_local; /* when the sample arrived here */
	int64_t clock_target_us;
	uint64_t clock_incarnation;
	struct ws_load load; /* as told by the dispatcher */
};

/* What the modules see of the membership; borrowed, rebuilt on change. */
struct ws_view {
	ws_id self;
	ws_id self_zone;
	const struct ws_bundle *bundle; /* NULL: none yet */
	size_t n_instances;
	const struct ws_instance *instances; /* self included, sorted by id */
	size_t n_targets;
	const struct ws_target *targets; /* sorted by id */
};

/* Lookups by binary search; NULL when unknown. */
const struct ws_instance *ws_view_instance(const struct ws_view *v, ws_id id);
const struct ws_target *ws_view_target(const struct ws_view *v, ws_id id);

/* A target that may get new work: live, not leaving, its zone in service. */
bool ws_view_usable(const struct ws_view *v, const struct ws_target *t);

/* An instance that may be given resources: alive, listed and not leaving. */
bool ws_view_eligible(const struct ws_view *v, const struct ws_instance *i);

#endif
