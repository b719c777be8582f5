#ifndef WS_EDGE_H
#define WS_EDGE_H

#include "edge/ws_ed_conf.h"
#include "edge/ws_ed_fx.h"
#include "edge/ws_ed_heat.h"
#include "edge/ws_ed_lead.h"
#include "edge/ws_ed_link.h"
#include "edge/ws_ed_map.h"
#include "edge/ws_ed_peers.h"
#include "edge/ws_ed_pool.h"
#include "edge/ws_ed_quota.h"
#include "edge/ws_ed_refused.h"
#include "edge/ws_ed_suspect.h"

/*
 * The edge: an instance on a platform whose store holds the configuration, the
 * list of servers and the map of keys to servers. Each instance sends its
 * callers' requests to the servers itself. The edge is a single reducer: it
 * processes events one at a time and returns effects as data, without reading a
 * clock or doing I/O. The shell around it does both.
 */

struct ws_edge;

/* Limits set by the platform; see docs/design-edge.md. */
struct ws_ed_bounds {
	/* Age of the configuration from which on callers are refused */
	ws_us key_evidence_max;
	/* How long a configuration may be in force after it was replaced */
	ws_us config_delay_max;
	/* How long a server is used after an outage let its entry expire */
	ws_us linger;
	double retry_ratio; /* extra sends per request, all instances */
	double retry_slack; /* further extra sends, all instances */
	double rate_slack; /* requests above a rate, all instances */
	/* How long a server that states that it leaves may get requests */
	ws_us drain_time;
	/*
	 * No customer has a rate, so that only the servers' capacity bounds
	 * what callers send; see docs/design/README.md
	 */
	bool unmetered;
	double link_rate; /* of this machine, bytes/s; 0: unknown */
};

struct ws_ed_settings {
	ws_id self; /* id made from the machine's name */
	uint64_t incarnation; /* random */
	ws_id zone;
	uint32_t capacity; /* relative capacity of its machine */
	uint64_t seed;
	ws_us now;
	bool restarted; /* the system ran before this process started */
	size_t max_calls; /* most concurrent requests */
	struct ws_ed_bounds bounds;
};

struct ws_edge *ws_edge_new(const struct ws_ed_settings *set);
void ws_edge_free(struct ws_edge *e);

/* ===== Events ===== */

enum ws_ed_event_kind {
	WS_EDEV_TICK = 1,
	/* a configuration was read from the store; NULL: it is not valid */
	WS_EDEV_CONFIG,
	WS_EDEV_LISTED, /* a server's list entry was read */
	WS_EDEV_UNLISTED, /* a server's list entry was removed */
	WS_EDEV_ZONE, /* a zone is taken out of service or back */
	WS_EDEV_READ_STARTED, /* a read of a topic has begun */
	WS_EDEV_READ_DONE, /* a read of a topic has succeeded */
	WS_EDEV_STORE_FAILED, /* a call to the store has failed */
	WS_EDEV_MAP_READ_DONE, /* a read of the map's topic has succeeded */
	WS_EDEV_APPENDED, /* an append to the map's topic has ended */
	WS_EDEV_MEMBER, /* the store names an instance */
	WS_EDEV_MEMBERS_READ, /* it has named all that it knows */
	WS_EDEV_HEARTBEAT, /* a heartbeat has arrived */
	WS_EDEV_ARRIVAL, /* a request has been read completely */
	WS_EDEV_CALLER_GONE, /* the caller has disconnected */
	WS_EDEV_REQUEST_ENDED, /* a request at a server has ended */
	WS_EDEV_KEY_CALLED, /* a grant or release has ended */
	WS_EDEV_CHECK_REFUSED, /* a server has refused a checked connection */
	WS_EDEV_REFUSED_LIST, /* refused requests of another instance */
	WS_EDEV_DRAIN, /* the process is asked to terminate */
};

/* A request as read from the caller; strings are borrowed. */
struct ws_ed_arrival {
	uint64_t id; /* chosen by the shell */
	const char *host;
	const char *path;
	const char *caller_key; /* NULL: none */
	ws_us deadline; /* time the caller will wait; 0: not given */
	int32_t key; /* -1: none */
	uint64_t fingerprint; /* hash of method, path, caller and body */
	bool malformed; /* a header is invalid */
	ws_us started; /* when its first byte was read */
	size_t body_len;
};

/* How a request at a server has ended. */
struct ws_ed_ending {
	uint64_t request;
	uint8_t lane; /* as in WS_EDFX_SEND */
	enum ws_ed_end end;
	int status; /* of the server's response */
	bool not_owner; /* SHED: the server has no lease of the key */
	ws_us latency;
	struct ws_ed_report report;
	size_t answer_len; /* bytes of the body */
};

/*
 * A heartbeat must fit into one datagram that no link fragments; what does not
 * fit is left for the next one.
 */
#define WS_ED_BEAT_BYTES 1400
#define WS_ED_DEMANDS_MAX 24
/* A continuation has room for more, as it carries little else. */
#define WS_ED_DEMANDS_CONTINUED 90
#define WS_ED_MEMBERS_MAX 4

/*
 * Returns a peer its own timestamps. They are on the peer's clock, so that it
 * knows their age without synchronised clocks.
 */
struct ws_ed_echo {
	ws_id peer;
	/* Of the peer's process: another one may have had another clock. */
	uint64_t incarnation;
	ws_us timestamp; /* of the newest heartbeat received from the peer */
	/* Newest one received before the last read of each topic began */
	ws_us read_timestamps[WS_ED_EVIDENCE_TOPICS];
};

struct ws_ed_beat_demand {
	ws_id customer;
	float per_s;
};

#define WS_ED_LOADS_MAX 30
#define WS_ED_LOADS_CONTINUED 130

/* A member from which a relay has received heartbeats. */
struct ws_ed_beat_member {
	ws_id id;
	ws_id zone;
	uint32_t capacity;
	uint32_t age_ms; /* of its last heartbeat */
	char address[WS_ED_ADDRESS_MAX];
};

/* A server's load report, in eight bytes on the wire. */
struct ws_ed_beat_load {
	uint32_t server; /* ws_ed_short_id() */
	uint8_t running;
	uint8_t waiting;
	uint8_t pace; /* in units of WS_ED_PACE_STEP; 0: not reported */
	uint8_t age; /* in units of WS_ED_AGE_STEP */
};

/*
 * What the sender has learned of a server, in eight bytes on the wire, in place
 * of a load report each; the list takes the place of one more.
 */
struct ws_ed_beat_learned {
	uint32_t server; /* ws_ed_short_id() */
	uint8_t started; /* lowest bits of its start */
	uint8_t speed; /* ws_ed_learn_encode_speed() */
	uint8_t limit;
	uint8_t age; /* in units of WS_ED_AGE_STEP */
};

#define WS_ED_LEARNED_MAX 8
#define WS_ED_LEARNED_CONTINUED 40

/* A relay has more room, as it sends loads in continuations. */
#define WS_ED_STATEMENTS_MAX 8
#define WS_ED_STATEMENTS_OF_RELAY 15
/* Load reports that take as much room as a statement. */
#define WS_ED_LOADS_PER_STATEMENT 2
/* Ages of statements are sent in 24 bits; older ones are as old as this. */
#define WS_ED_STATEMENT_AGE_MAX 0xffffffU

/* What an instance knows of a server; see struct ws_ed_statement. */
struct ws_ed_beat_statement {
	uint32_t server; /* ws_ed_short_id() */
	uint32_t started; /* tells processes of the server apart */
	float per_s; /* LIMIT; < 0: it states none any more */
	uint8_t kind; /* enum ws_ed_statement_kind */
	uint32_t age_ms; /* of the answer that this is known from */
};

#define WS_ED_PACE_STEP 0.05 /* relative to the usual service time */
#define WS_ED_AGE_STEP (4 * WS_MS)

enum ws_ed_map_part {
	WS_ED_MAP_PART_NONE = 0,
	WS_ED_MAP_PART_SLICE,
	WS_ED_MAP_PART_CHANGES,
};

/* A heartbeat: the state that instances send each other periodically. */
/* Key map entries in one heartbeat. */
#define WS_ED_MAP_PART_ENTRIES 41

struct ws_ed_beat {
	ws_id from;
	ws_id zone;
	uint32_t capacity;
	uint64_t incarnation;
	char address[WS_ED_ADDRESS_MAX];
	ws_us timestamp; /* sender's clock */
	uint64_t epoch;
	uint64_t topic_ends[WS_EDT_COUNT]; /* positions known to the sender */
	bool leaving; /* the sender is draining */
	bool is_leader; /* the sender is the leader of the map of keys */
	bool isolated; /* it is a relay that receives from no other relay */
	bool store_reachable; /* its calls to the store succeed */
	/* Carries what did not fit into the heartbeat with this timestamp */
	bool continuation;
	struct ws_ed_echo echo; /* for the receiver */
	/* enum ws_ed_beat_scope: which of the fields below are set */
	uint32_t scope;
	uint32_t demands_of; /* enum ws_ed_demand_source */
	uint32_t n_demands;
	struct ws_ed_beat_demand demands[WS_ED_DEMANDS_CONTINUED];
	uint32_t n_counts;
	struct ws_ed_count counts[WS_ED_COUNTS_MAX];
	uint32_t n_loads;
	struct ws_ed_beat_load loads[WS_ED_LOADS_CONTINUED];
	uint32_t n_statements;
	struct ws_ed_beat_statement statements[WS_ED_STATEMENTS_OF_RELAY];
	uint32_t n_strikes;
	struct ws_ed_strike strikes[WS_ED_STRIKES_MAX];
	uint32_t n_learned; /* 0 if customers have rates */
	struct ws_ed_beat_learned learned[WS_ED_LEARNED_CONTINUED];
	uint32_t n_members;
	struct ws_ed_beat_member members[WS_ED_MEMBERS_MAX];
	/*
	 * From the leader or a relay, if the receiver's map is older: a slice
	 * of the map as of topic_ends[MAP], or the changes since an earlier
	 * end. Such a heartbeat carries nothing else.
	 */
	uint32_t map_part; /* enum ws_ed_map_part */
	uint64_t map_base; /* CHANGES: the earlier end */
	uint32_t map_total; /* SLICE: entries of the whole map */
	uint32_t map_first; /* SLICE: index of its first entry */
	struct ws_ed_map map;
};

struct ws_ed_event {
	uint8_t kind;
	ws_us now;
	union {
		struct ws_ed_conf *config; /* ownership passes */
		const struct ws_ed_listing *listing;
		ws_id unlisted;
		struct {
			ws_id zone;
			bool out;
		} zone;
		enum ws_ed_topic reading;
		struct {
			enum ws_ed_topic topic;
			ws_us started; /* 0: reported by another instance */
			uint64_t end; /* position after the newest record */
		} sync;
		struct {
			ws_us started;
			const struct ws_ed_map *map; /* NULL: no change */
			uint64_t end;
		} map;
		struct {
			uint64_t at;
			ws_us started;
			enum ws_ed_append_result end;
		} appended;
		struct ws_ed_member_entry member;
		const struct ws_ed_beat *beat;
		const struct ws_ed_arrival *arrival;
		uint64_t gone;
		struct ws_ed_ending ending;
		struct {
			uint64_t ref;
			enum ws_ed_call_result end;
			const char *handover;
			/* The answer states that the server leaves */
			bool leaving;
			ws_id server;
			int64_t started_ms; /* when the call began */
		} key_called;
		struct {
			ws_id server;
			int64_t started_ms; /* when the check began */
		} check_refused;
		const struct ws_ed_refused_list *refused_list;
		ws_us drain_time; /* until all requests must be answered */
	} u;
};

/* Processes one event; effects are appended to fx. */
void ws_edge_step(struct ws_edge *e, const struct ws_ed_event *ev,
		  struct ws_ed_fx *fx);

/*
 * Whether the connection of a request that is answered now is to be closed, so
 * that its caller opens the next one at an instance with a wider link.
 */
bool ws_edge_sheds_connection(struct ws_edge *e, ws_us now);

/* ===== Queries by the shell ===== */

/*
 * Begins a round of heartbeats: fills in what is the same for all receivers.
 * Counts and loads sent in it are not sent again.
 */
void ws_edge_beat(struct ws_edge *e, ws_us now, struct ws_ed_beat *beat);

/*
 * Fills in what is specific to one receiver.
 * @return false if it gets no heartbeat in this round
 */
bool ws_edge_beat_for(const struct ws_edge *e, const struct ws_ed_member *m,
		      struct ws_ed_beat *beat);

/* Receivers of a relay's continuation heartbeats. */
enum ws_ed_receiver_group {
	WS_ED_TO_ZONE = 0, /* the relay's own zone */
	WS_ED_TO_RELAYS, /* relays of other zones */
	WS_ED_RECEIVER_GROUPS,
};

/*
 * Fills in the next continuation of a round: loads of servers, and for relays
 * also the demand of this zone. It is the same for all receivers.
 * @return false if nothing is left to send
 */
bool ws_edge_beat_continue(struct ws_edge *e, enum ws_ed_receiver_group to,
			   struct ws_ed_beat *beat);

/* Whether a member is in a receiver group. */
bool ws_edge_is_receiver(const struct ws_edge *e, const struct ws_ed_member *m,
			 enum ws_ed_receiver_group to);

/* Whether this instance has to send a member a newer map. */
bool ws_edge_should_send_map(const struct ws_edge *e, ws_us now,
			     const struct ws_ed_member *m);

/*
 * Turns a heartbeat into one that carries a part of the map for a member.
 * @param first 0, or the return value of the last call
 * @return argument of the next call; 0: that was the last part
 */
uint32_t ws_edge_beat_map(struct ws_edge *e, const struct ws_ed_member *m,
			  uint32_t first, struct ws_ed_beat *beat);

/*
 * Fills in a message with the digest of the refused requests.
 * @return false if none is due
 */
bool ws_edge_refused_digest(struct ws_edge *e, ws_us now,
			    struct ws_ed_refused_list *l);

/* Whether a member gets that message. */
bool ws_edge_gets_digest(const struct ws_edge *e, const struct ws_ed_member *m);

/*
 * Fills in a message with refused requests, or with the digest alone if there
 * are none.
 * @param first 0, or the return value of the last call
 * @return argument of the next call; 0: that was the last message
 */
uint32_t ws_edge_refused_list(const struct ws_edge *e, ws_us now,
			      uint32_t first, struct ws_ed_refused_list *l);

/* Ready for callers: configuration and list of servers are recent. */
bool ws_edge_ready(const struct ws_edge *e, ws_us now);

/*
 * A live member that has read further in a topic than this instance, to fetch
 * the records from; NULL if there is none.
 */
const struct ws_ed_member *ws_edge_topic_source(const struct ws_edge *e,
						ws_us now,
						enum ws_ed_topic topic);

/* Whether this instance should read a topic from the store now. */
bool ws_edge_should_read(const struct ws_edge *e, ws_us now,
			 enum ws_ed_topic topic);

/* Position up to which a topic is known here. */
uint64_t ws_edge_topic_end(const struct ws_edge *e, enum ws_ed_topic topic);

/* Time since a topic was last known completely, here or at a peer. */
ws_us ws_edge_topic_age(const struct ws_edge *e, ws_us now,
			enum ws_ed_topic topic);

/* Age of the newest evidence that the configuration is current. */
ws_us ws_edge_evidence_age(const struct ws_edge *e, ws_us now);

/* Whether a configuration is in force and no newer one may bind the instance.
 */
bool ws_edge_config_is_current(const struct ws_edge *e, ws_us now);

/* Replaces the bounds with immediate effect. */
void ws_edge_set_bounds(struct ws_edge *e, const struct ws_ed_bounds *bounds);

const struct ws_ed_conf *ws_edge_conf(const struct ws_edge *e);
const struct ws_ed_pool *ws_edge_pool(const struct ws_edge *e);
const struct ws_ed_peers *ws_edge_peers(const struct ws_edge *e);
const struct ws_ed_quota *ws_edge_quota(const struct ws_edge *e);
const struct ws_ed_lead *ws_edge_lead(const struct ws_edge *e);
const struct ws_ed_link *ws_edge_link(const struct ws_edge *e);

/* Name of the customer that a request belongs to; "" for none. */
const char *ws_edge_customer(const struct ws_edge *e, uint64_t request);

struct ws_ed_counters {
	uint64_t arrivals;
	uint64_t sent;
	uint64_t sent_limited; /* of these to servers that state a limit */
	uint64_t forwarded;
	uint64_t repeats; /* extra sends: retries and hedges */
	uint64_t hedges; /* those of them sent while the first was active */
	uint64_t refused[WS_EDR_COUNT];
	uint64_t lost; /* ended with status 502 or 504 */
	uint64_t gone; /* the caller disconnected */
};

const struct ws_ed_counters *ws_edge_counters(const struct ws_edge *e);

/* Current number of requests, and of those queued for a server. */
size_t ws_edge_open(const struct ws_edge *e);
size_t ws_edge_waiting(const struct ws_edge *e);

#endif
