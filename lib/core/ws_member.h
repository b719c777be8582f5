#ifndef WS_MEMBER_H
#define WS_MEMBER_H

#include "core/ws_bundle.h"
#include "core/ws_types.h"

/*
 * Membership: which instances and targets exist and which are alive. Instances
 * are known from the platform's list and from heartbeats, targets from the list
 * and from the probes of their dispatcher.
 */

#define WS_HEARTBEAT_PERIOD (250 * WS_MS)
#define WS_INSTANCE_SUSPECT_AFTER (800 * WS_MS)
#define WS_PROBE_PERIOD (200 * WS_MS)
#define WS_TARGET_SUSPECT_AFTER (800 * WS_MS)

/*
 * With a larger wall clock difference, an instance stops acting as home of
 * requests.
 */
#define WS_CLOCK_ERROR_MAX_MS 500

struct ws_instance {
	ws_id id;
	ws_id zone;
	struct ws_name name;
	struct ws_name address;
	bool listed;
	bool leaving;
	bool alive; /* heard from within the suspect time, here or by a peer */
	bool reachable; /* heard from directly within the suspect time */
	bool ready;
	ws_us last_heard; /* last heartbeat received, here or by a peer */
	ws_us last_heard_direct;
	ws_offset next_offset;
	uint64_t bundle_version;
	int64_t wall_offset_ms; /* its wall clock minus the local one */
};

struct ws_target {
	ws_id id;
	ws_id service;
	ws_id zone;
	struct ws_name name;
	struct ws_name address;
	bool listed;
	bool leaving; /* according to the list or to the target itself */
	bool list_leaving;
	bool reports_leaving;
	uint8_t state; /* enum ws_member_state */
	uint64_t incarnation; /* last seen; 0: never */
	ws_us last_probed; /* last successful probe, local or reported */
	/* Clock sample for leases; taken from local probes only */
	ws_us clock_local; /* when the sample arrived here */
	int64_t clock_target_us;
	uint64_t clock_incarnation;
	struct ws_load load; /* as reported by the dispatcher */
};

/*
 * Read-only view of the membership for other modules. Its arrays are borrowed
 * and change with each update.
 */
struct ws_view {
	ws_id self;
	ws_id self_zone;
	const struct ws_bundle *bundle; /* NULL: none yet */
	size_t n_instances;
	const struct ws_instance *instances; /* self included, sorted by id */
	size_t n_targets;
	const struct ws_target *targets; /* sorted by id */
};

/* Lookups by binary search; return NULL if the id is unknown. */
const struct ws_instance *ws_view_instance(const struct ws_view *v, ws_id id);
const struct ws_target *ws_view_target(const struct ws_view *v, ws_id id);

/*
 * True if a target may get new requests: live, not leaving, its zone in
 * service.
 */
bool ws_view_usable(const struct ws_view *v, const struct ws_target *t);

/* True if an instance may be assigned resources: alive and not leaving. */
bool ws_view_eligible(const struct ws_view *v, const struct ws_instance *i);

/* ===== The membership table ===== */

struct ws_member;

/* What this instance reports about itself in heartbeats. */
struct ws_member_self {
	ws_offset next_offset;
	uint64_t bundle_version;
	bool ready;
	bool leaving;
};

struct ws_member *ws_member_new(ws_id self, ws_id zone,
				const struct ws_name *name,
				const struct ws_name *address);
void ws_member_free(struct ws_member *m);

/* Takes a reference to the bundle in force. */
void ws_member_set_bundle(struct ws_member *m, struct ws_bundle *b);

/* Applies a new copy of the platform's list. */
void ws_member_update_list(struct ws_member *m, struct ws_fx *fx, ws_us now,
			   const struct ws_list_entry *entries, size_t n);

/*
 * Applies a HEARTBEAT, with the health of the targets that the sender
 * dispatches to.
 */
void ws_member_on_heartbeat(struct ws_member *m, struct ws_fx *fx, ws_us now,
			    int64_t wall_ms, ws_id from,
			    const struct ws_msg *msg);

/* Applies the result of a local probe. */
void ws_member_on_probe(struct ws_member *m, struct ws_fx *fx, ws_us now,
			const struct ws_event *ev);

/*
 * Called when this instance becomes the dispatcher of a target: the time
 * without a successful probe counts from now.
 */
void ws_member_watch(struct ws_member *m, ws_us now, ws_id target);

/* Sets the load of a dispatched target, which heartbeats report. */
void ws_member_set_load(struct ws_member *m, const struct ws_load *load);

/*
 * Marks silent instances as suspect and silent watched targets as lost. Removes
 * members that are not listed and have been silent for long.
 */
void ws_member_tick(struct ws_member *m, struct ws_fx *fx, ws_us now,
		    const ws_id *watched, size_t n_watched);

/*
 * Sends a heartbeat to all live instances. It lists the instances heard
 * directly, so that a peer cut off from some of them does not consider them
 * lost.
 */
void ws_member_send_heartbeat(struct ws_member *m, struct ws_fx *fx, ws_us now,
			      int64_t wall_ms,
			      const struct ws_member_self *self,
			      const ws_id *watched, size_t n_watched);

/* Local wall clock minus the median of all live instances, in ms. */
int64_t ws_member_clock_error_ms(const struct ws_member *m);

const struct ws_view *ws_member_view(const struct ws_member *m);

#endif
