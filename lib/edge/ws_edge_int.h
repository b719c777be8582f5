#ifndef WS_EDGE_INT_H
#define WS_EDGE_INT_H

#include "edge/ws_edge.h"

/* Private to ws_edge.c and to the files that the sections below name. */

#define KEY_PAUSE_BUCKETS 256
#define KEY_PAUSE_BUCKET(key) ((key) / (WS_ED_KEYS / KEY_PAUSE_BUCKETS))

enum call_state {
	CALL_FREE = 0,
	CALL_WAITING,
	CALL_SENT,
};

/*
 * Most servers that a request is at concurrently; the second send is a hedge.
 */
#define LANES 2

#define NO_SERVER_RETRY_AFTER (300 * WS_MS)
/* Short, as other instances serve: the caller only has to reconnect. */
#define DRAINING_RETRY_AFTER (20 * WS_MS)

#define STORE_RETRY_AFTER (500 * WS_MS)
/* Short, as other instances have other links: the caller has to reconnect. */
#define LINK_RETRY_AFTER (100 * WS_MS)
#define NO_CONFIG_RETRY_AFTER (500 * WS_MS)
/* Short, as other instances have a newer one: the caller has to reconnect. */
#define OLD_CONFIG_RETRY_AFTER (100 * WS_MS)
/* Of a request that states none. */
#define DEADLINE_DEFAULT (2 * WS_SECOND)
/*
 * Longest wait for a server whose rate is used up, as a fraction of the
 * objective.
 */
#define THROTTLE_WAIT_FRACTION 0.12

/* Most sends of one request, including those that did not run. */
#define SENDS_MAX 6

/* A send of a call that has not ended yet. */
struct ed_lane {
	bool active;
	uint32_t server;
	int64_t started_ms; /* start of the server then */
	double load; /* requests at the server per slot, this one included */
	ws_us sent_at;
	ws_us expected_latency; /* as estimated at sent_at */
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
	uint32_t attempts; /* sends that the server may have executed */
	uint32_t sends;
	uint64_t sent_to[SENDS_MAX]; /* hashes of the addresses */
	uint32_t sends_received; /* sends that reached a server */
	char customer[WS_ED_NAME_MAX];
	uint32_t key;
	uint64_t fingerprint;
	size_t body_len;
	size_t answer_len; /* of the last answer */
	ws_us end_at; /* the deadline or the route's timeout, if earlier */
	ws_us objective_at; /* when the latency objective ends */
	ws_us objective; /* time until objective_at on arrival */
	ws_us waiting_since; /* when it was queued; 0: it is not */
	ws_us not_before; /* earliest time of the next send */
	bool may_have_run;
	bool is_retry; /* the caller's earlier try was refused */
	bool on_trial; /* refused, but may be sent once */
	uint64_t trial; /* identifies the trial that has begun; 0: none has */
	struct ed_lane lanes[LANES]; /* CALL_SENT */
	size_t n_excluded;
	uint32_t excluded[WS_ED_EXCLUDED_MAX];
};

/* Demand and retry budget of a service. */
struct ed_budget {
	ws_id service;
	double tokens; /* extra sends that this instance may make */
	double recent_requests; /* at this instance, decaying count */
	ws_us counted_at;
	ws_id demand_id; /* of its demand in ws_edge.quota */
	double service_time; /* smoothed mean over its routes, us */
	double overload; /* global demand over capacity; 0: unknown */
};

/* A queued call, for sorting by priority and latency objective. */
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
	struct ws_ed_link link;
	struct ws_ed_suspects suspects;
	struct ws_rand rand;
	/*
	 * Per topic: time for which its content is known, which is the start of
	 * the last read, here or at an instance that reports it
	 */
	ws_us evidence[WS_EDT_COUNT];
	/* Positions up to which topics were read; see ws_ed_position.h */
	uint64_t topic_ends[WS_EDT_COUNT];
	uint64_t peer_topic_ends[WS_EDT_COUNT]; /* highest reported by a peer */
	ws_us peer_ends_heard_at[WS_EDT_COUNT]; /* when they were first heard */
	bool config_unreadable; /* the newest one could not be decoded */
	/* Since when a peer is ahead and topic_ends has not grown; 0: not */
	ws_us behind_since[WS_EDT_COUNT];
	uint64_t behind_at[WS_EDT_COUNT]; /* value of topic_ends then */
	/* When a heartbeat with statements on servers was last heard; 0: never
	 */
	ws_us statements_heard_at;
	ws_us store_failed_at; /* last failure of the store */
	ws_us store_recovered_at; /* end of its last outage; 0: none */
	ws_us next_slow_tick;
	/*
	 * A grant or release has ended, or calls were deferred. The leader
	 * examines all ranges at the next tick, not after each result, of which
	 * hundreds may be due.
	 */
	bool lead_due;
	/* The map as received so far, in slices in the leader's heartbeats */
	struct ws_ed_map received_map;
	ws_us map_confirmed_at; /* when a peer last knew no newer map */
	uint64_t received_map_end;
	size_t next_demand; /* customer to start with in the next heartbeat */
	size_t next_member; /* member to start with */
	size_t next_load; /* server to start with */
	size_t next_learned; /* server to start with */
	size_t next_statement; /* server to start with */
	ws_us next_digest; /* of the refused requests */
	/* The current round of heartbeats */
	struct {
		uint64_t number;
		/* Key counts are sent, and brief heartbeats to the leader */
		bool sends_brief;
		uint32_t n_demands;
		uint32_t n_counts;
		uint32_t n_loads;
		uint32_t n_learned;
		uint32_t n_statements;
		uint32_t n_strikes;
		struct ws_ed_beat_demand demands[WS_ED_DEMANDS_MAX];
		size_t next_more; /* next customer for a continuation */
	} round;
	bool members_known; /* from the store's list or from heartbeats */
	bool self_named; /* the list names this instance */
	/* A list that names this instance was read completely */
	bool members_complete;
	bool draining;
	ws_us refuse_from; /* if draining: when new requests are refused */
	ws_us drained_at; /* if draining: when all are answered */
	/* No sends for these keys until then: their server rejected them. */
	ws_us key_pause[KEY_PAUSE_BUCKETS];
	struct ws_ed_counters counters;

	struct ed_call *calls; /* open addressing by id */
	size_t cap_calls; /* power of two */
	size_t n_calls;
	size_t n_waiting;
	ws_us next_hedge_check;
	struct ed_wait_entry *order; /* scratch buffer of ws_ed_call_tick() */
	size_t cap_order;
	ws_id *group_ids; /* scratch buffer of slow_tick() */
	size_t cap_group_ids;
	struct ed_budget *budgets;
	size_t n_budgets;
	size_t cap_budgets;
};

/* ===== ws_edge.c ===== */

/* Records that a server has crashed or appears to have crashed. */
void ws_ed_server_crashed(struct ws_edge *e, ws_id server, struct ws_ed_fx *fx);

/* Logs a decision about a request, which the line names by fingerprint. */
void ws_ed_log_request(struct ws_ed_fx *fx, uint16_t number, ws_id subject,
		       uint64_t request, const char *detail);

/* Records that a topic's content as of a time is known. */
void ws_ed_evidence_update(struct ws_edge *e, int topic, ws_us at);

/* ===== ws_ed_beat.c ===== */

/* Processes a heartbeat of another instance. */
void ws_ed_beat_receive(struct ws_edge *e, const struct ws_ed_beat *b,
			struct ws_ed_fx *fx);

/* ===== ws_ed_budget.c ===== */

/* Finds or adds the state of a service. */
struct ed_budget *ws_ed_budget_of(struct ws_edge *e, ws_id service);

/* Counts an arrival for a service and adds tokens to its retry budget. */
void ws_ed_budget_count_arrival(struct ws_edge *e, ws_id service);

/* Updates a service's mean service time with that of an arrived request. */
void ws_ed_budget_learn_work(struct ws_edge *e, ws_id service,
			     const struct ws_ed_work_stats *w);

/* Recomputes the overload of all services. */
void ws_ed_budget_update_overload(struct ws_edge *e);

/* ===== ws_ed_call.c ===== */

/* Sends a call, queues it, or ends it if no server can take it in time. */
void ws_ed_call_place(struct ws_edge *e, struct ed_call *c,
		      struct ws_ed_fx *fx);

/* Answers a request that is or becomes no call. */
void ws_ed_call_reply(struct ws_edge *e, uint64_t id, const char *customer,
		      int status, ws_us retry_after, enum ws_ed_reason reason,
		      struct ws_ed_fx *fx);

void ws_ed_call_gone(struct ws_edge *e, uint64_t id, struct ws_ed_fx *fx);
void ws_ed_call_ended(struct ws_edge *e, const struct ws_ed_ending *end,
		      struct ws_ed_fx *fx);

/* Sends hedges, sends queued calls and ends those out of time. */
void ws_ed_call_tick(struct ws_edge *e, struct ws_ed_fx *fx);

/* The owner of a key serves it while it leaves, until it has another owner. */
bool ws_ed_call_may_serve_keys(const struct ws_edge *e, uint32_t server);

/*
 * Whether the keys of a server that can't serve them may soon have another
 * owner. Without the store, those of a server that left get none.
 */
bool ws_ed_call_may_keys_move(const struct ws_edge *e, uint32_t server);

/* Limits the time of all calls to drained_at. */
void ws_ed_call_drain(struct ws_edge *e);

/* ===== ws_ed_refused.c ===== */

/* Processes refused requests of another instance. */
void ws_ed_refused_receive(struct ws_edge *e,
			   const struct ws_ed_refused_list *l,
			   struct ws_ed_fx *fx);

/* ===== ws_ed_call_arrive.c ===== */

/*
 * Whether what is known of leaving servers, by the list or by heartbeats, is
 * older than these may get requests and this instance's own link is the reason.
 * Without the store alone, servers are used as they were last listed.
 */
bool ws_ed_call_is_news_late(const struct ws_edge *e, ws_us now);

/*
 * How long a caller should wait whose request the configuration does not allow,
 * as a newer one may bind this instance: a peer has read more of the operator's
 * topic, the newest one can't be decoded, or this one was last known to be
 * current too long ago. No final status may be given then.
 * @return 0 if the configuration is current
 */
ws_us ws_ed_call_config_retry_after(const struct ws_edge *e, ws_us now);

void ws_ed_call_arrive(struct ws_edge *e, const struct ws_ed_arrival *a,
		       struct ws_ed_fx *fx);

/* ===== ws_ed_call_quar.c ===== */

/* Whether a call must not be sent; it may become so at any time. */
bool ws_ed_call_is_quarantined(const struct ws_edge *e,
			       const struct ed_call *c);

/* Whether a request that is refused may be tried now; to be asked once. */
bool ws_ed_call_may_try(struct ws_edge *e, uint64_t request);

/* Records that a call on trial is sent. */
void ws_ed_call_start_trial(struct ws_edge *e, struct ed_call *c,
			    struct ws_ed_fx *fx);

/* Records what the end of a send says about a call and its server. */
void ws_ed_call_update_suspects(struct ws_edge *e, struct ed_call *c,
				uint32_t server, enum ws_ed_end end,
				struct ws_ed_fx *fx);

/* ===== ws_ed_call_table.c ===== */

/* Finds a call by its id; NULL if there is none. */
struct ed_call *ws_ed_call_find(const struct ws_edge *e, uint64_t id);

/* Adds a queued call; the table must have room. */
struct ed_call *ws_ed_call_add(struct ws_edge *e, uint64_t id);

/* Removes a call. Others may move, which invalidates pointers to calls. */
void ws_ed_call_remove(struct ws_edge *e, struct ed_call *c);

#endif
