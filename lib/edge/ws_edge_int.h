#ifndef WS_EDGE_INT_H
#define WS_EDGE_INT_H

#include "edge/ws_edge.h"

/* Private to ws_edge.c, ws_ed_beat.c and ws_ed_call.c. */

#define KEY_PAUSE_BUCKETS 256

enum call_state {
	CALL_FREE = 0,
	CALL_WAITING,
	CALL_SENT,
};

/* A request is at two servers at most: the second one is a hedge. */
#define LANES 2

/* One sending of a call that has not ended. */
struct ed_lane {
	bool active;
	uint32_t server;
	double load; /* at the server, over its slots, with this request */
	ws_us sent_at;
	ws_us expected_latency; /* time to the answer, as expected on sending */
};

struct ed_call {
	uint8_t state;
	uint64_t id;
	ws_id route;
	ws_id service;
	uint32_t work_stats;
	bool sharded;
	bool idempotent;
	uint32_t priority;
	uint32_t max_attempts;
	uint32_t attempts; /* sendings that may have run */
	uint32_t sends;
	uint32_t sends_received; /* sendings that reached a server */
	char customer[WS_ED_NAME_MAX];
	uint32_t key;
	uint64_t fingerprint;
	ws_us end_at; /* of the deadline and the route's timeout */
	ws_us objective_at;
	ws_us objective; /* what was left of it on arrival */
	ws_us waiting_since;
	ws_us not_before; /* no sending before this */
	bool may_have_run;
	bool is_retry; /* its caller was refused before */
	struct ed_lane lanes[LANES]; /* CALL_SENT */
	size_t n_excluded;
	uint32_t excluded[WS_ED_EXCLUDED_MAX];
};

/* Demand of a service, and extra sendings that this instance may make. */
struct ed_budget {
	ws_id service;
	double tokens;
	double recent_requests; /* of late, at this instance */
	ws_us counted_at;
	ws_id demand_id; /* of its demand over all instances */
	double service_time; /* work of its requests, as ws_ed_work_stats.unit,
				smoothed */
	double overload; /* demand over the servers' capacity; 0: unknown */
};

/* A waiting call in the order of its turn. */
struct ed_wait_entry {
	uint64_t id;
	uint32_t priority;
	ws_us objective_at;
};

struct ws_edge {
	struct ws_ed_settings set;
	ws_us now;
	struct ws_ed_conf *conf;
	struct ws_ed_pool pool;
	struct ws_ed_peers peers;
	struct ws_ed_heat heat;
	struct ws_ed_quota quota;
	struct ws_ed_lead lead;
	struct ws_ed_suspects suspects;
	struct ws_rand rand;
	ws_us evidence[WS_EDT_COUNT]; /* start of the last read */
	uint64_t ends[WS_EDT_COUNT]; /* of the topics, as read here */
	uint64_t peer_ends[WS_EDT_COUNT]; /* the highest that others told */
	/* Others have read more, and nothing was added since; 0: no */
	ws_us behind_since[WS_EDT_COUNT];
	uint64_t behind_at[WS_EDT_COUNT]; /* own end at that time */
	ws_us store_failed_at; /* last failure of the store */
	ws_us store_recovered_at; /* end of its last outage; 0: none */
	ws_us next_slow_tick;
	/* Slices of a map that the leader tells */
	struct ws_ed_map received_map;
	ws_us map_confirmed_at; /* when another instance knew no newer map */
	uint64_t received_map_end;
	size_t next_demand; /* customer to start with in the next heartbeat */
	size_t next_member; /* member to start with */
	size_t next_load; /* server to start with */
	/* The round of heartbeats under way */
	struct {
		uint64_t number;
		bool brief; /* the leader of the keys is told as well */
		uint32_t n_demands;
		uint32_t n_counts;
		uint32_t n_loads;
		uint32_t n_strikes;
		struct ws_ed_beat_demand demands[WS_ED_DEMANDS_MAX];
		size_t next_more; /* customer to go on with, to relays */
	} round;
	bool members_known; /* by the store's list of instances, or heard */
	bool draining;
	ws_us refuse_from; /* draining: no new requests from here on */
	/* Keys that their server did not hold are left alone until then. */
	ws_us key_pause[KEY_PAUSE_BUCKETS];
	struct ws_ed_counters counters;

	struct ed_call *calls; /* open addressing by id */
	size_t cap_calls; /* power of two */
	size_t n_calls;
	size_t n_waiting;
	ws_us next_hedge_check;
	struct ed_wait_entry *order; /* work space of ws_ed_call_tick() */
	size_t cap_order;
	struct ed_budget *budgets;
	size_t n_budgets;
	size_t cap_budgets;
};

/* ===== ws_edge.c ===== */

/* A server has crashed, or is taken for that. */
void ws_ed_server_crashed(struct ws_edge *e, ws_id server, struct ws_ed_fx *fx);

/* What a topic said at a time is known here. */
void ws_ed_evidence_update(struct ws_edge *e, int topic, ws_us at);

/* ===== ws_ed_beat.c ===== */

/* A heartbeat has arrived. */
void ws_ed_beat_receive(struct ws_edge *e, const struct ws_ed_beat *b,
			struct ws_ed_fx *fx);

/* ===== ws_ed_budget.c ===== */

/* What is kept of a service; adds it when it is new. */
struct ed_budget *ws_ed_budget_of(struct ws_edge *e, ws_id service);

/* Counts an arrival for a service. */
void ws_ed_budget_count_arrival(struct ws_edge *e, ws_id service);

/* Notes the work of a request that has arrived for a service. */
void ws_ed_budget_learn_work(struct ws_edge *e, ws_id service,
			     const struct ws_ed_work_stats *w);

/* Recomputes how far the demand of services is beyond their servers. */
void ws_ed_budget_update_overload(struct ws_edge *e);

/* ===== ws_ed_call.c ===== */

void ws_ed_call_arrive(struct ws_edge *e, const struct ws_ed_arrival *a,
		       struct ws_ed_fx *fx);
void ws_ed_call_gone(struct ws_edge *e, uint64_t id, struct ws_ed_fx *fx);
void ws_ed_call_ended(struct ws_edge *e, const struct ws_ed_ending *end,
		      struct ws_ed_fx *fx);

/* Places calls that wait, and ends those whose time is over. */
void ws_ed_call_tick(struct ws_edge *e, struct ws_ed_fx *fx);

/* ===== ws_ed_call_table.c ===== */

/* Finds a call by its id, or NULL. */
struct ed_call *ws_ed_call_find(const struct ws_edge *e, uint64_t id);

/* Adds a waiting call; the table must have room. */
struct ed_call *ws_ed_call_add(struct ws_edge *e, uint64_t id);

/* Removes a call; other calls may move, so no pointer to one stays valid. */
void ws_ed_call_remove(struct ws_edge *e, struct ed_call *c);

#endif
