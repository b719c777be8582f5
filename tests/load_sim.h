#ifndef LOAD_SIM_H
#define LOAD_SIM_H

#include "edge/ws_edge.h"

/*
 * Instances of the edge, servers and callers in simulated time: replays of
 * load patterns through the real reducers, heartbeats included. Servers have
 * slots, a queue, a speed, and a pace that changes several times a second.
 */

#define SIM_ZONES 3
#define SIM_INSTANCES 9
#define SIM_SERVERS 12

struct load_sim {
	uint64_t seed;
	bool baseline; /* baseline: any server, at once, whatever its load */
	bool sharded; /* the service is divided by key; not with naive */
	uint32_t slots;
	double per_s; /* first tries */
	double work_ms; /* mean */
	double work_sigma; /* of the work: deviation of its logarithm */
	ws_us objective;
	ws_us deadline;
	unsigned retries; /* of a caller, after a refusal */
	ws_us length;
	/* Between from and to, the pattern that is replayed: */
	ws_us from;
	ws_us to;
	double surge_factor; /* times the usual arrivals; 0: as usual */
	double shed_share; /* share of requests that servers reject, idle or not
			    */
	unsigned n_slow; /* servers whose work takes slow_by times as long */
	double slow_factor;
	double hot_share; /* share of the requests that is for some 60 keys */
};

/* What callers got, of first tries made in the time measured. */
struct load_result {
	unsigned requests;
	unsigned in_time; /* answered within the objective */
	unsigned late;
	unsigned refused;
	unsigned failed;
	unsigned shed; /* arrivals that servers rejected */
	unsigned server_arrivals;
	double score; /* in time 1, late 0.3, beside what was asked */
	unsigned refusals; /* of all tries */
	double refused_wait_ms; /* mean time until a refusal was told */
};

/* Replays a pattern; the result covers from..to, or all after a second. */
struct load_result load_sim_run(const struct load_sim *load);

/* Prints a line, for those who change a decision. */
void load_sim_print(const char *name, const struct load_result *r);

#endif
