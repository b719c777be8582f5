#ifndef FAKE_H
#define FAKE_H

#include "core/ws_core.h"

/*
 * One small fake of network, time, log, list and targets that joins many
 * cores in one process. All choices come from one seed, so that a run replays
 * exactly. Faults are caused by the caller of fake_run() through the
 * functions below or by fake_random_faults().
 */

#define FAKE_ZONES_MAX 4
#define FAKE_INSTANCES_MAX 16
#define FAKE_TARGETS_MAX 40
#define FAKE_CUSTOMERS 3

/* Services of the fake bundle. */
enum fake_service {
	FAKE_STOCK, /* open, idempotent */
	FAKE_ORDERS, /* open, not idempotent */
	FAKE_CALIBRATION, /* sharded, idempotent, targets check fences */
	FAKE_WORKSHOP, /* sharded, not idempotent, targets do not check */
	FAKE_INTERNAL, /* open, idempotent, internal */
	FAKE_SERVICES,
};

struct fake_conf {
	uint64_t seed;
	int zones;
	int instances; /* over all zones */
	int targets; /* of each service, over all zones */
	uint32_t partitions;
	uint32_t shards;
	uint32_t rate; /* of each customer */
	uint32_t burst;
	ws_us call_interval; /* mean time between calls of callers */
	double loss; /* share of messages lost */
	double duplicate; /* share of messages delivered twice */
	double reply_loss; /* share of target answers that vanish */
	bool resend; /* callers resend what failed, same request id */
};

/* What a run did and found. */
struct fake_report {
	uint64_t events;
	uint64_t calls;
	uint64_t done;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t unanswered;
	uint64_t runs; /* executions at targets */
	uint64_t rejected; /* by targets, fence or lease */
	uint64_t kills;
	uint64_t pauses;
	uint64_t disconnects;
	uint64_t log_outages;
	uint64_t target_kills;
	uint64_t target_freezes;
	uint64_t cold_resets;
	uint64_t bundles;
	uint64_t errors[-WS_ERROR_LAST + 1];
	uint64_t violations;
	char first_violation[200];
};

struct fake;

struct fake *fake_new(const struct fake_conf *conf);
void fake_free(struct fake *f);

/* Runs until the given time of the fake. */
void fake_run(struct fake *f, ws_us until);

ws_us fake_now(const struct fake *f);
const struct fake_report *fake_report(const struct fake *f);

/* ===== Faults ===== */

void fake_kill_instance(struct fake *f, int i);
void fake_start_instance(struct fake *f, int i);
void fake_pause_instance(struct fake *f, int i, ws_us duration);
void fake_drain_instance(struct fake *f, int i);
void fake_disconnect_zones(struct fake *f, int a, int b, ws_us duration);
void fake_disconnect_platform(struct fake *f, int z, ws_us duration);
void fake_log_outage(struct fake *f, ws_us duration);
void fake_kill_target(struct fake *f, int t);
void fake_start_target(struct fake *f, int t);
void fake_freeze_target(struct fake *f, int t, ws_us duration);
void fake_make_target_cold(struct fake *f, int t);
void fake_drain_target(struct fake *f, int t);
void fake_poison_calls(struct fake *f, double share);

/* Publishes the present bundle with a change, through instance i. */
void fake_set_zone(struct fake *f, int i, int zone, bool in_service);
void fake_revoke_key(struct fake *f, int i, int customer);
void fake_grant_key(struct fake *f, int i, int customer);

/* An operator states through instance i that all killed instances are gone. */
void fake_recover(struct fake *f, int i);

/* Lets the log drop all records but the last n. */
void fake_expire_log(struct fake *f, size_t n);

/* One fault of a random kind. */
void fake_random_fault(struct fake *f);

/* ===== Questions ===== */

bool fake_instance_alive(const struct fake *f, int i);
const struct ws_core *fake_core(const struct fake *f, int i);
ws_us fake_local_now(const struct fake *f, int i);
int fake_target_of(const struct fake *f, enum fake_service s, int n);
int fake_find_target(const struct fake *f, ws_id id); /* -1: none */

/*
 * Requests that instance i sent after a time under a fence below one under
 * which a request for the same key had been sent before.
 */
size_t fake_count_stale_fences(const struct fake *f, int i, ws_us after);

/* References that instance i holds to bodies of requests. */
size_t fake_count_request_refs(const struct fake *f, int i);

/* Sends one call now; returns its number. A resend keeps the request id. */
int fake_call(struct fake *f, enum fake_service s, uint64_t key, int customer,
	      int instance);
int fake_resend(struct fake *f, int call, int instance);

/* 0 while unanswered, else enum ws_outcome; error receives the reason. */
int fake_outcome(const struct fake *f, int call, int *error);

/* Runs of the call at targets so far, and the target of the last one. */
int fake_runs(const struct fake *f, int call, int *target);

/* Version of the bundle that the log says is in force. */
uint64_t fake_bundle_version(const struct fake *f);

/* Records a violation found by the caller. */
void fake_violation(struct fake *f, const char *what, uint64_t a, uint64_t b);

/* Most requests that ran at once at target t while it was cold. */
int fake_cold_peak(const struct fake *f, int t);

#endif
