#ifndef OWN_SIM_INTERNAL_H
#define OWN_SIM_INTERNAL_H

#include "own_sim.h"

/* Shared by the own_sim*.c files only. */

#define PARTITIONS 12
#define STEP WS_MS
#define LOG_KEPT 300
#define SIM_DEAD_MAX 512
#define LOG_MAX 60000
#define PAGE 64
#define LEASE_ITEMS 256
#define RES_MAX (PARTITIONS + SIM_TARGETS_MAX + SIM_ALL_SHARDS)

enum ev_kind {
	EV_MSG,
	EV_LOG_READ, /* at the log */
	EV_LOG_PAGE, /* at the node */
	EV_APPEND,
	EV_APPENDED,
	EV_PROBE,
	EV_PROBED,
	EV_GRANT,
	EV_GRANTED,
};

struct ev {
	ws_us at;
	uint64_t seq;
	uint8_t kind;
	int node;
	ws_id node_id; /* events of a dead incarnation are dropped */
	int target;
	ws_id from;
	struct ws_msg msg;
	struct ws_record *rec;
	uint64_t uid;
	bool ok;
	bool unknown;
	ws_us started; /* on the node's clock */
	ws_us give_up; /* end of a long poll or of a request */
	ws_offset lo;
	ws_offset hi;
	ws_offset oldest;
	uint64_t incarnation;
	int64_t clock;
	struct ws_effect grant;
};

struct node {
	struct ws_own *own;
	struct ws_member *member;
	ws_id id;
	int zone;
	bool up;
	bool draining;
	bool reading;
	ws_us paused_until;
	ws_us offset;
	int64_t ppm;
	ws_us next_tick;
	ws_us next_heartbeat;
	ws_us next_probe;
	ws_us next_list;
	ws_id watched[SIM_TARGETS_MAX];
	size_t n_watched;
};

struct target {
	ws_id id;
	int zone;
	int service; /* 0 checks fences, 1 does not */
	bool up;
	bool leaving;
	ws_us frozen_until;
	ws_us restart_at;
	uint64_t incarnation;
	ws_us offset;
	int64_t ppm;
	ws_offset as_of;
	int64_t not_after;
	size_t n_items;
	struct ws_grant_item items[LEASE_ITEMS];
};

struct sim_hot {
	uint64_t key;
	ws_offset since;
};

struct sim {
	struct ws_rand rand;
	ws_us now;
	uint64_t seq;
	uint64_t hash;
	uint64_t next_id;
	int n_nodes;
	int n_targets;
	struct node nodes[SIM_NODES_MAX];
	struct target targets[SIM_TARGETS_MAX];
	struct ws_service services[2];
	struct ws_zone zones[SIM_ZONES];
	struct ws_bundle bundle;
	uint64_t shard_key[2][SIM_SHARDS];
	struct ev **heap;
	size_t n_heap;
	size_t cap_heap;
	struct ws_record *log;
	ws_offset head;
	ws_offset oldest;
	ws_us log_down_until;
	ws_id dead[SIM_DEAD_MAX]; /* instances that ended */
	size_t n_dead;
	ws_id voters[PARTITIONS];
	ws_us cut_until[SIM_ZONES][SIM_ZONES];
	ws_us platform_cut_until[SIM_ZONES];
	bool chaos;
	uint64_t faults[SIM_FAULTS];
	struct ws_own *oracle; /* folds the whole log */
	uint64_t *table_hash; /* of the oracle, at each offset */
	struct sim_hot hot[SIM_HOT_KEYS];
	size_t n_hot;
	uint64_t heated[2];
	ws_us served_at[RES_MAX];
	size_t served;
	size_t shard_moves;
	ws_us gap;
	char violation[160];
};

/* ===== own_sim.c ===== */

bool sim_chance(struct sim *s, unsigned per_mille);
void sim_fault(struct sim *s, enum sim_fault f);
void sim_report_violation(struct sim *s, const char *what, uint64_t a,
			  uint64_t b);
ws_us sim_node_clock(const struct sim *s, const struct node *n);
ws_us sim_target_clock(const struct sim *s, const struct target *t);
bool sim_node_running(const struct sim *s, const struct node *n);
bool sim_target_running(const struct sim *s, const struct target *t);
bool sim_zones_connected(const struct sim *s, int a, int b);
bool sim_log_reachable(const struct sim *s, int zone);
struct target *sim_find_target(struct sim *s, ws_id id);
ws_us sim_message_delay(struct sim *s);
struct ev *sim_push(struct sim *s, uint8_t kind, ws_us at);
struct ev *sim_push_from(struct sim *s, const struct node *n, uint8_t kind,
			 ws_us wait);
void sim_event_free(struct ev *e);
void sim_repush(struct sim *s, struct ev *e, ws_us at);
void sim_log_append(struct sim *s, struct ws_record *rec);
void sim_check_table(struct sim *s, const struct node *n);

/* ===== own_sim_node.c ===== */

void sim_node_start(struct sim *s, struct node *n);
void sim_node_tick(struct sim *s, struct node *n);
void sim_node_event(struct sim *s, struct ev *e);

/* ===== own_sim_target.c ===== */

void sim_run_event(struct sim *s, struct ev *e);

/* ===== own_sim_check.c ===== */

bool sim_may_send(struct sim *s, struct node *n, int svc, uint64_t key,
		  const struct target *t, ws_offset fence);
void sim_check_all(struct sim *s);

#endif
