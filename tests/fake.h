#ifndef FAKE_H
#define FAKE_H

#include "core/ws_core.h"

/*
 * Deterministic simulation of many cores in one process, with fakes of the
 * network, clocks, log service, instance list, targets and callers. All random
 * choices come from one seed, so that a run can be replayed exactly. The caller
 * of fake_run() injects faults between its calls, by the functions below or by
 * fake_random_fault(). The simulation checks the guarantees as it runs and
 * counts violations in its report.
 */

#define FAKE_ZONES_MAX 4
#define FAKE_INSTANCES_MAX 16
#define FAKE_TARGETS_MAX 40
#define FAKE_CUSTOMERS 3

/* Services of the simulated bundle. */
enum fake_service {
	FAKE_STOCK, /* unsharded, idempotent */
	FAKE_ORDERS, /* unsharded, not idempotent */
	FAKE_CALIBRATION, /* sharded, idempotent, targets check fences */
	FAKE_WORKSHOP, /* sharded, not idempotent, targets ignore fences */
	FAKE_INTERNAL, /* unsharded, idempotent, internal access only */
	FAKE_SERVICES,
};

struct fake_conf {
	uint64_t seed;
	int zones;
	int instances; /* in all zones */
	int targets; /* per service, in all zones */
	uint32_t partitions;
	uint32_t shards;
	uint32_t rate; /* per customer, in requests/s */
	uint32_t burst;
	ws_us call_interval; /* mean time between calls; 0: no random calls */
	double loss; /* share of messages lost */
	double duplicate; /* share of messages delivered twice */
	double reply_loss; /* share of answers of targets lost */
	bool resend; /* callers resend failed calls with the same request id */
};

/* Counters and violations of a simulation. */
struct fake_report {
	uint64_t events;
	uint64_t calls;
	uint64_t done;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t unanswered;
	uint64_t runs; /* requests that targets began to run */
	uint64_t rejected; /* requests that targets refused to run */
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

/* Runs the simulation until the given simulated time. */
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

/* Publish the current bundle with one change, through instance i. */
void fake_set_zone(struct fake *f, int i, int zone, bool in_service);
void fake_revoke_key(struct fake *f, int i, int customer);
void fake_grant_key(struct fake *f, int i, int customer);

/* Publishes through instance i that all killed instances are gone for good. */
void fake_recover(struct fake *f, int i);

/* Drops all records of the log but the last n. */
void fake_expire_log(struct fake *f, size_t n);

/* Injects one fault of a random kind. */
void fake_random_fault(struct fake *f);

/* ===== Queries ===== */

bool fake_instance_alive(const struct fake *f, int i);
const struct ws_core *fake_core(const struct fake *f, int i);
ws_us fake_local_now(const struct fake *f, int i);
int fake_target_of(const struct fake *f, enum fake_service s, int n);
int fake_find_target(const struct fake *f, ws_id id); /* -1: none */

/*
 * Counts the requests that instance i sent to targets after a time with a stale
 * fence: some instance had already sent a request for the same key with a
 * higher fence.
 */
size_t fake_count_stale_fences(const struct fake *f, int i, ws_us after);

/* Counts the references to request payloads that instance i holds. */
size_t fake_count_request_refs(const struct fake *f, int i);

/* Send one call now and return its number. A resend keeps the request id. */
int fake_call(struct fake *f, enum fake_service s, uint64_t key, int customer,
	      int instance);
int fake_resend(struct fake *f, int call, int instance);

/* Returns an enum ws_outcome, or 0 while unanswered; error may be NULL. */
int fake_outcome(const struct fake *f, int call, int *error);

/* Returns how often targets ran the call, and the target of the last run. */
int fake_runs(const struct fake *f, int call, int *target);

/* Returns the version of the newest valid bundle in the log. */
uint64_t fake_bundle_version(const struct fake *f);

/* Records a violation found by the caller. */
void fake_violation(struct fake *f, const char *what, uint64_t a, uint64_t b);

/* Returns the most requests that target t ran concurrently while cold. */
int fake_cold_peak(const struct fake *f, int t);

#endif
