#ifndef OWN_SIM_H
#define OWN_SIM_H

#include "core/ws_own.h"

/*
 * Deterministic simulator of ownership. It connects many ws_own instances and
 * ws_member tables through a simulated log, network, clocks and targets, and
 * checks from the outside every simulated millisecond that nothing has two
 * owners. A run depends only on its seed.
 */

#define SIM_ZONES 3
#define SIM_NODES_MAX 12
#define SIM_TARGETS_MAX 16
#define SIM_SHARDS 12
#define SIM_ALL_SHARDS ((size_t)2 * SIM_SHARDS)
#define SIM_HOT_KEYS 8

enum sim_fault {
	SIM_MSG_LOST,
	SIM_MSG_DUPLICATE,
	SIM_MSG_DELAYED,
	SIM_ZONE_CUT,
	SIM_PLATFORM_CUT,
	SIM_LOG_OUTAGE,
	SIM_REPLY_LOST,
	SIM_APPEND_DELAYED,
	SIM_PAUSE,
	SIM_KILL,
	SIM_FREEZE,
	SIM_TARGET_KILL,
	SIM_LEAVE,
	SIM_DRAIN,
	SIM_LOG_PEER_SPLIT,
	SIM_FAULTS,
};

extern const char *const sim_fault_names[SIM_FAULTS];

struct sim;

struct sim *sim_new(uint64_t seed, int nodes, int targets);
void sim_free(struct sim *s);

/*
 * Runs for the given simulated time. fault_rate is the mean number of faults
 * injected per 1000 ms; 0 also disables random message and append faults.
 */
void sim_run(struct sim *s, ws_us time, unsigned fault_rate);

/*
 * Ends all faults and restarts all instances and targets that are down or
 * draining.
 */
void sim_end_faults(struct sim *s);

/*
 * Runs until every resource is served. Returns the time taken, or -1 if it took
 * longer than max.
 */
ws_us sim_run_until_served(struct sim *s, ws_us max);

/* Single faults, for the tests of one scenario. */
void sim_kill_node(struct sim *s, int i);
void sim_start_node(struct sim *s, int i);
void sim_kill_target(struct sim *s, int i);
void sim_kill_zone(struct sim *s, int zone);
void sim_drain_node(struct sim *s, int i);
bool sim_drained(const struct sim *s, int i);
/* Drops all messages from one zone to another. */
void sim_cut_zones(struct sim *s, int from, int to);
void sim_cut_platform(struct sim *s, int zone);
void sim_leave_target(struct sim *s, int i, bool leaving);
void sim_load_hot_keys(struct sim *s, bool on);
/*
 * Returns whether enough voters are alive to confirm takeovers without an
 * operator.
 */
bool sim_majority_alive(const struct sim *s);

/* Appends the record by which an operator declares all ended instances gone. */
void sim_recover(struct sim *s);
void sim_log_down(struct sim *s, bool down);

/*
 * Returns the longest time since the last call that any resource was not
 * served.
 */
ws_us sim_longest_gap(struct sim *s);

uint64_t sim_random(struct sim *s, uint64_t bound);
uint64_t sim_events(const struct sim *s);
uint64_t sim_hash(const struct sim *s);
uint64_t sim_faults(const struct sim *s, enum sim_fault f);
/* Number of times that a shard got another owner since the start. */
size_t sim_shard_moves(const struct sim *s);
/* Owner of the first (0) or second (1) key that sim_load_hot_keys() loads. */
ws_id sim_loaded_key_owner(const struct sim *s, int i);
size_t sim_hot_keys(const struct sim *s);
const char *sim_violation(const struct sim *s);

#endif
