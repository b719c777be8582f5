#ifndef OWN_SIM_H
#define OWN_SIM_H

#include "core/ws_own.h"

/*
 * Joins many ws_own instances and ws_member tables by a fake of log, network,
 * clocks and targets, and checks ownership from the outside every
 * millisecond. A run depends on its seed only.
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

/* Runs for the given time; chaos is the mean number of faults in 1000 ms. */
void sim_run(struct sim *s, ws_us time, unsigned chaos);

/* Ends all faults; what is down is restarted. */
void sim_end_faults(struct sim *s);

/* Runs until everything is served; returns the time taken, -1: not by max. */
ws_us sim_run_until_served(struct sim *s, ws_us max);

/* Single faults, used by the scenarios. */
void sim_kill_node(struct sim *s, int i);
void sim_start_node(struct sim *s, int i);
void sim_kill_target(struct sim *s, int i);
void sim_kill_zone(struct sim *s, int zone);
void sim_drain_node(struct sim *s, int i);
bool sim_drained(const struct sim *s, int i);
/* Loses all messages from one zone to another one. */
void sim_cut_zones(struct sim *s, int from, int to);
void sim_cut_platform(struct sim *s, int zone);
void sim_leave_target(struct sim *s, int i, bool leaving);
void sim_load_hot_keys(struct sim *s, bool on);
/* Whether enough voters live to confirm takeovers without an operator. */
bool sim_majority_alive(const struct sim *s);

/* The operator's statement that all instances that ended are gone. */
void sim_recover(struct sim *s);
void sim_log_down(struct sim *s, bool down);

/* Longest time without service of any resource since the last call. */
ws_us sim_longest_gap(struct sim *s);

uint64_t sim_random(struct sim *s, uint64_t bound);
uint64_t sim_events(const struct sim *s);
uint64_t sim_hash(const struct sim *s);
uint64_t sim_faults(const struct sim *s, enum sim_fault f);
/* Shards that got another owner, since the start. */
size_t sim_shard_moves(const struct sim *s);
/* Target that owns the first (0) or second (1) heated key. */
ws_id sim_loaded_key_owner(const struct sim *s, int i);
size_t sim_hot_keys(const struct sim *s);
const char *sim_violation(const struct sim *s);

#endif
