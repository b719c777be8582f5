#ifndef WS_BENCH_POLICY_H
#define WS_BENCH_POLICY_H

#include "bench/ws_bench.h"
#include "core/ws_disp.h"
#include "core/ws_route.h"

/*
 * Simulates frontends, dispatchers and targets that run the router's core
 * modules.
 */

#define WS_BPOLICY_TARGETS_MAX 64
#define WS_BPOLICY_FRONTENDS_MAX 16

struct ws_bpolicy_conf {
	int targets;
	int frontends;
	int slots;
	int slowed_targets; /* targets that become slow */
	double slowdown_factor; /* factor on their service time */
	double rate; /* requests/s over all frontends */
	double counted_seconds; /* after the warm-up */
	double warmup_seconds;
	double service_ms; /* mean service time of an unslowed target */
	double idempotent_share; /* share of the requests */
	int tick_us;
	uint64_t seed;
	enum ws_pick_policy pick;
	bool hedge;
};

struct ws_bpolicy_result {
	struct ws_hist latency; /* of served requests */
	uint64_t requests;
	uint64_t refused;
	uint64_t attempts; /* requests sent to targets */
	uint64_t extra_attempts; /* hedges and retries */
	uint64_t attempts_by_target[WS_BPOLICY_TARGETS_MAX];
};

/* Runs the simulation. It is deterministic for a configuration. */
void ws_bpolicy_run(const struct ws_bpolicy_conf *conf,
		    struct ws_bpolicy_result *res);

#endif
