#ifndef LOAD_SIM_H
#define LOAD_SIM_H

#include "edge/ws_edge.h"

/*
 * Simulation of load patterns in simulated time: callers, instances and
 * servers. The instances are the real reducers and exchange heartbeats. Servers
 * have slots, a queue, a speed, and a pace (slowness) that changes several
 * times a second.
 */

#define SIM_ZONES 3
#define SIM_INSTANCES 9
#define SIM_SERVERS 12

struct load_sim {
	uint64_t seed;
	bool baseline; /* send to a random server at once, whatever its load */
	bool sharded; /* the service is sharded by key; not with baseline */
	uint32_t slots;
	double per_s; /* first tries of callers per second */
	double work_ms; /* mean service time */
	double work_sigma; /* standard deviation of log(service time) */
	ws_us objective;
	ws_us deadline;
	unsigned retries; /* most retries of a caller after refusals */
	ws_us length;
	/* Between from and to, these changes apply: */
	ws_us from;
	ws_us to;
	double surge_factor; /* of the arrivals; 0: no change */
	double shed_share; /* fraction that servers reject, idle or not */
	unsigned n_slow; /* servers with slow_factor times the service time */
	double slow_factor;
	double hot_share; /* fraction of the requests for 60 hot keys */
};

/* Results of the requests whose first try was made in the measured time. */
struct load_result {
	unsigned requests;
	unsigned in_time; /* answered within the objective */
	unsigned late;
	unsigned refused;
	unsigned failed;
	unsigned shed; /* requests that servers rejected */
	unsigned server_arrivals;
	double score; /* mean per request: 1 in time, 0.3 late, else 0 */
	unsigned refusals; /* of all tries */
	double refused_wait_ms; /* mean time until a refusal was sent */
};

/*
 * Simulates a pattern. The result covers from..to, or all after the warm-up if
 * to is 0.
 */
struct load_result load_sim_run(const struct load_sim *load);

/* Prints a result, to compare versions of an algorithm. */
void load_sim_print(const char *name, const struct load_result *r);

#endif
