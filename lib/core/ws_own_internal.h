#ifndef WS_OWN_INTERNAL_H
#define WS_OWN_INTERNAL_H

#include "common/ws_events.h"
#include "core/ws_own.h"
#include "core/ws_place.h"

/* Declarations shared by the ws_own_*.c files only. */

/* ===== Constants ===== */

/* Time without a complete log read after which quorum rounds start. */
#define OWN_LOG_SILENCE (350 * WS_MS)
/*
 * Time without a complete log read after which this instance stops making
 * proposals and planned moves.
 */
#define OWN_LOG_RECENT (700 * WS_MS)
#define OWN_ROUND_PERIOD (150 * WS_MS)
#define OWN_ACTIVATION_ROUND_PERIOD (40 * WS_MS)
#define OWN_TAIL_ASK_PERIOD (60 * WS_MS)
/*
 * How long quorum rounds alone, without the log, may keep state fresh. A
 * takeover that no majority confirms waits at least as long.
 */
#define OWN_OUTAGE_LIMIT (600 * WS_SECOND)
/*
 * Clock rates may differ by WS_DRIFT_MARGIN per lease, and the wait is extended
 * in the same proportion.
 */
#define OWN_OUTAGE_DRIFT (OWN_OUTAGE_LIMIT / 24)
/* Time that heartbeats need to arrive after a start or a pause. */
#define OWN_STARTUP_DELAY (900 * WS_MS)
#define OWN_PAUSE_THRESHOLD (300 * WS_MS)
/* Time that the probes of a new dispatcher need to succeed. */
#define OWN_PROBE_GRACE (300 * WS_MS)
/*
 * Time that a target has for its first answer after its dispatch was taken
 * over.
 */
#define OWN_FIRST_PROBE_TIMEOUT (500 * WS_MS)
/* A takeover that waits for activation is not repeated earlier than this. */
#define OWN_TAKEOVER_RETRY_DELAY (WS_LEASE_DURATION + 500 * WS_MS)
/*
 * Each rank waits this much longer than the one before it, and so acts only if
 * that one has not.
 */
#define OWN_RANK_DELAY (500 * WS_MS)
/*
 * Instances of higher rank do not wait longer; their duplicates are harmless.
 */
#define OWN_RANK_MAX 8
#define OWN_APPEND_TIMEOUT (600 * WS_MS)
#define OWN_APPEND_RETRY_DELAY (100 * WS_MS)
#define OWN_GRANT_PERIOD (300 * WS_MS)
#define OWN_GRANT_RETRY_DELAY (100 * WS_MS)
#define OWN_CLOCK_SAMPLE_MAX_AGE (1000 * WS_MS)
/*
 * Load is evened out only after view and table have not changed for this time.
 */
#define OWN_STABLE_TIME (1000 * WS_MS)
#define OWN_REPLAN_PERIOD (100 * WS_MS)
/*
 * Added to OWN_REPLAN_PERIOD for each table entry: planning costs about half a
 * microsecond per entry, and repeating it may take only a small share of a
 * core.
 */
#define OWN_REPLAN_PERIOD_PER_ENTRY ((ws_us)4)
/*
 * A bin that holds less than this share of the mean number of items gets more.
 */
#define OWN_UNEVEN_PERCENT 60
#define OWN_TASK_PARTITIONS 1001
#define OWN_TASK_DISPATCH 1002
/*
 * Items per record. An item takes about 150 bytes of JSON, so a record stays
 * below 1 MiB.
 */
#define OWN_RECORD_ITEMS_MAX 2048
#define OWN_TAIL_RECORDS 1024
#define OWN_TAIL_MESSAGE_RECORDS 64
#define OWN_ROUNDS_KEPT 8
#define OWN_SNAPSHOT_RECORDS 256
#define OWN_SNAPSHOT_PERIOD (300 * WS_SECOND)

/* Number of keys whose work is tracked to find hot keys. */
#define OWN_HOT_KEY_CANDIDATES 64
/*
 * A key is hot if it has at least this share of the work of its target and at
 * least this service time, in microseconds, as a decaying sum over about 2 s.
 */
#define OWN_HOT_KEY_PERCENT 25
#define OWN_HOT_KEY_MIN_WORK ((uint64_t)(200 * WS_MS))
/* The largest size that the design covers has 180 hot keys. */
#define OWN_HOT_KEYS_MAX 256
#define OWN_HOT_KEY_COOLDOWN (30 * WS_SECOND)
#define OWN_LOAD_SAMPLE_PERIOD (250 * WS_MS)
/*
 * A target whose load exceeds this share of the mean moves a shard or hot key
 * away.
 */
#define OWN_BALANCE_PERCENT 120
#define OWN_BALANCE_MIN_GAP_MILLI 300
/* The smoothed load takes this long to show the effect of a move. */
#define OWN_BALANCE_MOVE_INTERVAL (3 * WS_SECOND)

/* ===== State ===== */

struct own_entry {
	struct ws_assignment a;
	ws_us applied_at; /* when this instance applied the assignment */
	/*
	 * For partitions that wait for activation: the last active holder, or 0
	 * if it is unknown because a snapshot was loaded.
	 */
	ws_id last_active_holder;
	/*
	 * Fence under which this process has stopped using the resource. It
	 * never uses the resource under that fence again.
	 */
	ws_offset relinquished_fence;
	struct ws_holder move_to; /* next holder once released */
	bool unassign; /* release without a next holder: target is gone */
	ws_us release_appended_at; /* latest append of the release; 0: none */
	ws_offset drop_dispatch_fence; /* dispatch fence under which
					  drop_grant_seq counts */
	uint64_t drop_grant_seq; /* first grant that omits the resource */
	ws_us drop_expiry; /* end of all grants that contain it */
	uint64_t work; /* decaying sum of service time */
	ws_us low_work_since; /* hot keys only; 0: work is not low */
};

struct own_relinquished_fence {
	struct ws_res res;
	ws_offset fence;
};

/* An ASSIGN record with items that wait for activation. */
struct own_pending {
	ws_offset offset;
	ws_id writer;
	ws_us applied_at;
	ws_us majority_applied_at; /* 0: not yet */
	ws_us appended_at;
	size_t n_inactive; /* items that are still inactive under this fence */
	size_t n;
	size_t cap;
	struct ws_res *res;
};

/* Latest answer of an instance to a freshness round. */
struct own_voter {
	ws_id id;
	uint64_t round;
	ws_offset next_offset;
};

struct own_round {
	uint64_t id;
	ws_us started;
};

/*
 * A kind of append that one instance at a time should make. Instances are
 * ranked for each task by a hash of task and instance (rendezvous hashing).
 */
struct own_task {
	uint64_t id;
	ws_us needed_since; /* when an append was first needed; 0: none */
	unsigned appends_in_flight;
	ws_us busy_until;
};

struct own_append {
	uint64_t uid;
	uint64_t task;
	ws_us appended_at;
};

/* Grants to one target while its dispatch is held under one fence. */
struct own_target_lease {
	ws_id target;
	uint64_t incarnation;
	uint64_t sent_incarnation;
	ws_offset dispatch_fence; /* fence of the assignment of the dispatch */
	bool verifies_grants;
	bool dirty; /* the items have changed since the last grant */
	bool in_flight;
	bool seen; /* mark in sync_leases() to remove the others */
	size_t n_new_items;
	ws_us retry_at;
	uint64_t seq; /* sequence number of the last grant sent */
	uint64_t acked_seq;
	ws_offset sent_as_of;
	ws_us sent_at;
	ws_us granted_until; /* latest end of all grants, on the local clock */
	ws_us unconfirmed_until; /* latest end of grants with unknown result */
	ws_us in_flight_until; /* end of the grant in flight */
	size_t n_items;
	size_t cap_items;
	struct ws_grant_item *items;
};

/* Work on a key that has no assignment of its own (space-saving sketch). */
struct own_key_work {
	ws_id service;
	uint64_t key;
	uint64_t work; /* decaying sum of service time */
	uint64_t overestimate; /* part of work that may belong to other keys */
};

struct own_target_load {
	ws_id target;
	int64_t in_flight_milli; /* in flight and queued, smoothed, in 1/1000 */
	uint64_t work; /* of its shards and hot keys, as seen here */
	size_t n_shards;
	ws_us moved_at;
};

struct ws_own {
	ws_id self;
	struct ws_rand rand;
	/* Table */
	ws_offset next_offset; /* offset of the next record to apply */
	size_t n_entries;
	size_t cap_entries;
	struct own_entry *entries;
	uint32_t *slots; /* hash index: entry number + 1 */
	size_t n_slots;
	size_t n_partitions;
	size_t cap_partitions;
	uint32_t *partitions; /* entry of each partition */
	size_t n_hot_keys; /* entries of kind HOT_KEY */
	uint64_t table_version; /* incremented by each change of the table */
	size_t n_relinquished;
	size_t cap_relinquished;
	struct own_relinquished_fence
		*relinquished; /* kept while a snapshot replaces the table */
	size_t n_pending;
	size_t cap_pending;
	struct own_pending *pending;
	size_t n_gone;
	size_t cap_gone;
	ws_id *gone; /* instances that an operator declared permanently gone */
	ws_us gone_at;
	/* Tail */
	struct ws_record *tail; /* ring of recent records, by offset */
	ws_offset tail_start;
	ws_offset snapshot_next; /* target_offset of the latest snapshot */
	ws_us snapshot_at;
	bool snapshot_wanted;
	/* Freshness */
	ws_us log_evidence; /* start of the latest complete log read */
	bool has_log_evidence;
	ws_us quorum_evidence;
	bool has_quorum_evidence;
	ws_us outage_limit;
	uint64_t round;
	struct own_round rounds[OWN_ROUNDS_KEPT];
	ws_us round_started_at;
	ws_us tail_asked_at;
	size_t n_voters;
	size_t cap_voters;
	struct own_voter *voters; /* sorted by id */
	bool was_fresh;
	bool fresh_by_quorum;
	/* Proposals */
	ws_us resumed_at;
	ws_us last_tick;
	bool ticked;
	int64_t wall_ms;
	uint64_t view_hash;
	ws_us view_changed_at;
	ws_us last_assign_at; /* when the last ASSIGN record was applied */
	uint64_t planned_table_version;
	uint64_t planned_view_hash;
	ws_us planned_at;
	bool takeover_allowed; /* a live majority can confirm takeovers */
	bool proposals_left;
	uint64_t moves_table_version;
	uint64_t moves_view_hash;
	bool moves_rebalanced;
	ws_us moves_planned_at;
	ws_us no_majority_since;
	size_t n_tasks;
	size_t cap_tasks;
	struct own_task *tasks;
	size_t n_appends;
	size_t cap_appends;
	struct own_append *appends;
	bool draining;
	/* Leases */
	uint64_t leases_table_version;
	uint64_t leases_view_hash;
	size_t n_leases;
	size_t cap_leases;
	struct own_target_lease *leases; /* sorted by target */
	/* Work */
	ws_us loads_sampled_at;
	ws_us decayed_at;
	uint64_t loads_view_hash;
	size_t n_loads;
	struct own_target_load
		*loads; /* same order as the targets of the view */
	struct own_key_work key_work[OWN_HOT_KEY_CANDIDATES];
	bool releases_left; /* some relinquished resource awaits release */
};

/* ===== ws_own_table.c ===== */

struct own_entry *own_find_entry(const struct ws_own *o,
				 const struct ws_res *res);
struct own_entry *own_add_entry(struct ws_own *o, const struct ws_res *res);
void own_delete_entry(struct ws_own *o, struct own_entry *e);
void own_clear_table(struct ws_own *o);
void own_relinquish(struct ws_own *o, struct own_entry *e);
bool own_relinquished(const struct own_entry *e);
const struct own_entry *own_find_dispatch(const struct ws_own *o, ws_id target);

/* ===== ws_own_apply.c ===== */

void own_apply(struct ws_own *o, struct ws_fx *fx, ws_us now,
	       const struct ws_record *rec);
void own_pending_free(struct ws_own *o);
void own_pending_rebuild(struct ws_own *o, ws_us now);

/* ===== ws_own_tail.c ===== */

void own_tail_add(struct ws_own *o, const struct ws_record *rec);
void own_tail_clear(struct ws_own *o);
void own_tail_free(struct ws_own *o);
void own_tail_answer(struct ws_own *o, struct ws_fx *fx, ws_id to,
		     ws_offset from, const struct ws_view *view);
void own_snapshot_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       const struct ws_view *view);

/* ===== ws_own_fresh.c ===== */

bool own_fresh(const struct ws_own *o, ws_us now);
bool own_log_recent(const struct ws_own *o, ws_us now);
void own_fresh_msg(struct ws_own *o, struct ws_fx *fx, ws_us now, ws_id from,
		   const struct ws_msg *msg);
void own_fresh_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		    const struct ws_view *view);
/* Starts a freshness round unless one started within the last period. */
void own_start_round(struct ws_own *o, struct ws_fx *fx, ws_us now,
		     ws_us period);
/*
 * Returns whether holders of a majority of partitions are known to have applied
 * offset.
 */
bool own_majority_applied(const struct ws_own *o, ws_offset offset);
/*
 * Returns the instance whose vote for this partition confirms that a record is
 * applied; 0: none.
 */
ws_id own_voter_of(const struct own_entry *e);
bool own_is_gone(const struct ws_own *o, ws_id id);

/* ===== ws_own_append.c ===== */

/* Emits an append effect for the record and takes ownership of its arrays. */
uint64_t own_append(struct ws_own *o, struct ws_fx *fx, struct ws_record *rec);
struct own_task *own_task(struct ws_own *o, uint64_t id);
void own_append_for_task(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 struct own_task *t, struct ws_record *rec);
void own_append_applied(struct ws_own *o, uint64_t uid);
void own_append_expire(struct ws_own *o, ws_us now);
/*
 * Returns the rank of this instance among those eligible for a task: 0 is
 * first, OWN_RANK_MAX is the maximum.
 */
unsigned own_task_rank(const struct ws_own *o, const struct ws_view *view,
		       uint64_t task);

/* ===== ws_own_propose.c ===== */

void own_propose_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		      const struct ws_view *view);
void own_activate_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       const struct ws_view *view);
bool own_instance_lost(const struct ws_view *view, ws_id id);
bool own_target_lost(const struct ws_own *o, ws_us now,
		     const struct ws_view *view, const struct ws_holder *h);

/* ===== ws_own_place.c ===== */

/* Candidate holders of the resources of a group, in the order of the view. */
struct own_bins {
	size_t n;
	size_t cap;
	struct ws_place_bin *bins;
	struct ws_holder *holders;
};

enum own_holder_status {
	OWN_UNASSIGNED, /* never assigned */
	OWN_KEPT, /* its holder is one of the bins and keeps it */
	OWN_LOST, /* its holder is lost */
	OWN_DISPLACED, /* its holder is alive but may not keep it */
};

/* A group of resources and the holders computed for them. */
struct own_plan {
	struct own_bins bins;
	size_t n;
	size_t cap;
	struct ws_place_item *items;
	struct ws_res *res;
	uint8_t *status;
	bool incomplete; /* some resource of the group is not OWN_KEPT */
};

uint32_t own_bins_find(const struct own_bins *b, const struct ws_holder *h);

typedef void (*own_plan_fn)(struct ws_own *o, struct ws_fx *fx, ws_us now,
			    const struct ws_view *view, struct own_plan *p,
			    uint64_t task);

/*
 * Computes the plan of each group (all partitions, the dispatches of a zone,
 * the shards and hot keys of a service) and passes it to fn.
 * @param moves include displaced resources, which are otherwise left out of the
 *          plan
 * @param rebalance also even out the load
 */
void own_plan_all(struct ws_own *o, struct ws_fx *fx, ws_us now,
		  const struct ws_view *view, bool moves, bool rebalance,
		  own_plan_fn fn);

/* ===== ws_own_move.c ===== */

void own_move_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		   const struct ws_view *view);

/* Returns whether this instance may start planned moves now. */
bool own_may_plan(const struct ws_own *o, ws_us now,
		  const struct ws_view *view);
/*
 * Returns the time between two plans while nothing has changed but work is
 * left.
 */
ws_us own_replan_period(const struct ws_own *o);
/*
 * Starts to move a shard or hot key of a target dispatched here to another
 * target.
 */
void own_start_move(struct ws_own *o, struct own_entry *e,
		    const struct ws_holder *to);

/* ===== ws_own_hot.c ===== */

void own_hot_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		  const struct ws_view *view);

/* ===== ws_own_lease.c ===== */

void own_lease_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		    const struct ws_view *view);
struct own_target_lease *own_lease_find(const struct ws_own *o, ws_id target);
/* Makes the next grant to the holder of e omit it. */
void own_lease_drop(const struct ws_own *o, struct own_entry *e);
/* Returns whether no grant that contains e can still be in use. */
bool own_lease_dropped(const struct ws_own *o, ws_us now, struct own_entry *e);
void own_lease_free(struct ws_own *o);

#endif
