#ifndef WS_BENCH_POLICY_H
#define WS_BENCH_POLICY_H

#include "bench/ws_bench.h"
#include "core/ws_disp.h"
#include "core/ws_route.h"

/* Simulation of frontends, dispatchers and targets around the core modules. */

#define WS_BPOLICY_TARGETS_MAX 64
#define WS_BPOLICY_FRONTENDS_MAX 16

struct ws_bpolicy_conf {
	int targets;
	int frontends;
	int slots;
	int slowed_targets; /* targets that become slow */
	double slowdown_factor; /* how many times slower */
	double rate; /* requests a second over all frontends */
	double counted_seconds; /* counted, after the warm-up */
	double warmup_seconds;
	double service_ms; /* mean time at an unslowed target */
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
	uint64_t attempts; /* that reached targets */
	uint64_t extra_attempts; /* hedges and retries */
	uint64_t attempts_by_target[WS_BPOLICY_TARGETS_MAX];
};

/* Runs the simulation; the same configuration gives the same result. */
void ws_bpolicy_run(const struct ws_bpolicy_conf *conf,
		    struct ws_bpolicy_result *res);

#endif
