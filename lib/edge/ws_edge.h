#ifndef WS_EDGE_H
#define WS_EDGE_H

#include "edge/ws_ed_conf.h"
#include "edge/ws_ed_fx.h"
#include "edge/ws_ed_heat.h"
#include "edge/ws_ed_lead.h"
#include "edge/ws_ed_map.h"
#include "edge/ws_ed_peers.h"
#include "edge/ws_ed_pool.h"
#include "edge/ws_ed_quota.h"
#include "edge/ws_ed_suspect.h"

/*
 * The edge: an instance on a platform whose store keeps configuration, list of
 * servers and map of keys. One reducer over all events, with effects as data;
 * it reads no clock and does no I/O. Each instance sends its callers' requests
 * to the servers itself.
 */

struct ws_edge;

/* Bounds that the platform states; see docs/design-edge.md. */
struct ws_ed_bounds {
	ws_us key_evidence_max; /* caller keys are refused without evidence */
	ws_us linger; /* use of a server after the store has lost its entry */
	double retry_ratio; /* extra sendings per request, all instances */
	double retry_slack; /* extra sendings beside it, all instances */
	double rate_slack; /* requests beyond the customers' rates */
};

struct ws_ed_settings {
	ws_id self; /* of the machine's name */
	uint64_t incarnation; /* random */
	ws_id zone;
	uint32_t strength; /* of its machine, beside others' */
	uint64_t seed;
	ws_us now;
	bool restarted; /* the system ran before this process */
	size_t max_calls; /* requests held at once */
	struct ws_ed_bounds bounds;
};

struct ws_edge *ws_edge_new(const struct ws_ed_settings *set);
void ws_edge_free(struct ws_edge *e);

/* ===== Events ===== */

enum ws_ed_event_kind {
	WS_EDEV_TICK = 1,
	WS_EDEV_CONFIG, /* a configuration was read from the store */
	WS_EDEV_LISTED, /* a server's entry was read */
	WS_EDEV_UNLISTED, /* a server's entry is gone */
	WS_EDEV_ZONE, /* a zone is taken out of service or back */
	WS_EDEV_READ_STARTED, /* a read of one of the store's topics begins */
	WS_EDEV_READ_DONE, /* a read of one of the store's topics came back */
	WS_EDEV_STORE_FAILED, /* a call to the store has failed */
	WS_EDEV_MAP_READ_DONE, /* a read of the map's topic came back */
	WS_EDEV_APPENDED,
	WS_EDEV_MEMBER, /* the store names another instance */
	WS_EDEV_HEARTBEAT, /* a heartbeat has arrived */
	WS_EDEV_ARRIVAL, /* a request was read whole */
	WS_EDEV_CALLER_GONE, /* the caller has left */
	WS_EDEV_REQUEST_ENDED, /* a request at a server has ended */
	WS_EDEV_KEY_CALLED, /* a grant or release has ended */
	WS_EDEV_DRAIN,
};

/* A request as read from the caller; strings are borrowed. */
struct ws_ed_arrival {
	uint64_t id; /* chosen by the shell */
	const char *host;
	const char *path;
	const char *caller_key; /* NULL: none */
	ws_us deadline; /* time the caller will wait; 0: not told */
	int32_t key; /* -1: none */
	uint64_t fingerprint; /* hash of method, path, caller and body */
	bool malformed; /* a header of the request can't be read */
	ws_us started; /* when its first byte was read */
};

/* How a request at a server has ended. */
struct ws_ed_ending {
	uint64_t request;
	uint8_t lane; /* as in WS_EDFX_SEND */
	enum ws_ed_end end;
	int status; /* of the server's answer */
	bool not_owner; /* SHED: the server does not hold the key */
	ws_us latency;
	struct ws_ed_report report;
};

/*
 * A heartbeat must fit into one datagram that no link splits; what does not
 * fit waits for the next one.
 */
#define WS_ED_BEAT_BYTES 1400
#define WS_ED_DEMANDS_MAX 24
/* A heartbeat that goes on has room for more, as it carries little else. */
#define WS_ED_DEMANDS_CONTINUED 90
#define WS_ED_MEMBERS_MAX 4

/* Stamps are on the peer's clock, so that it can tell how old they are. */
struct ws_ed_echo {
	ws_id peer;
	ws_us stamp; /* newest that has arrived */
	/* Newest before the last read of each topic began */
	ws_us read_stamps[WS_ED_EVIDENCE_TOPICS];
};

struct ws_ed_beat_demand {
	ws_id customer;
	float per_s;
};

#define WS_ED_LOADS_MAX 30
#define WS_ED_LOADS_CONTINUED 130

/* A member that a relay has heard. */
struct ws_ed_beat_member {
	ws_id id;
	ws_id zone;
	uint32_t strength;
	uint32_t age_ms; /* since it was heard */
	char address[WS_ED_ADDRESS_MAX];
};

/* What a server told an instance of itself, in eight bytes on the wire. */
struct ws_ed_beat_load {
	uint32_t server; /* ws_ed_short_id() */
	uint8_t running;
	uint8_t waiting;
	uint8_t pace; /* in WS_ED_PACE_STEP; 0: not told */
	uint8_t age; /* in WS_ED_AGE_STEP */
};

#define WS_ED_PACE_STEP 0.05 /* of the usual time */
#define WS_ED_AGE_STEP (4 * WS_MS)

enum ws_ed_map_part {
	WS_ED_MAP_PART_NONE = 0,
	WS_ED_MAP_PART_SLICE,
	WS_ED_MAP_PART_CHANGES,
};

/* What instances tell each other. */
struct ws_ed_beat {
	ws_id from;
	ws_id zone;
	uint32_t strength;
	uint64_t incarnation;
	char address[WS_ED_ADDRESS_MAX];
	ws_us stamp; /* sender's clock */
	uint64_t epoch;
	uint64_t ends[WS_EDT_COUNT]; /* of the topics, as the sender knows */
	bool leaving;
	bool leads; /* the sender leads the keys */
	bool alone; /* it is a relay that hears no other one */
	bool store_sound;
	/* It goes on with what did not fit into the one of the same stamp. */
	bool continuation;
	struct ws_ed_echo echo; /* for the receiver */
	uint32_t told; /* enum ws_ed_beat_scope: what the rest covers */
	uint32_t demands_of; /* enum ws_ed_demand_source */
	uint32_t n_demands;
	struct ws_ed_beat_demand demands[WS_ED_DEMANDS_CONTINUED];
	uint32_t n_counts;
	struct ws_ed_count counts[WS_ED_COUNTS_MAX];
	uint32_t n_loads;
	struct ws_ed_beat_load loads[WS_ED_LOADS_CONTINUED];
	uint32_t n_strikes;
	struct ws_ed_strike strikes[WS_ED_STRIKES_MAX];
	uint32_t n_members;
	struct ws_ed_beat_member members[WS_ED_MEMBERS_MAX];
	/*
	 * From the leader or a relay, while the receiver has not read as far:
	 * a slice of the map whose end is ends[MAP], or what has changed since
	 * an earlier end. Nothing else is told then.
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
			ws_us started; /* 0: told by another instance */
			uint64_t end; /* offset after the newest record */
		} sync;
		struct {
			ws_us started;
			const struct ws_ed_map *map; /* NULL: nothing new */
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
		} key_called;
		ws_us drain_time; /* until the process ends */
	} u;
};

/* Processes one event; effects are appended to fx. */
void ws_edge_step(struct ws_edge *e, const struct ws_ed_event *ev,
		  struct ws_ed_fx *fx);

/* ===== Questions of the shell ===== */

/*
 * Begins a round of heartbeats: fills in what all members are told. Counts and
 * loads told in it are not told again.
 */
void ws_edge_beat(struct ws_edge *e, ws_us now, struct ws_ed_beat *beat);

/*
 * Adds what one member is told in this round.
 * @return false when it is told nothing
 */
bool ws_edge_beat_for(const struct ws_edge *e, const struct ws_ed_member *m,
		      struct ws_ed_beat *beat);

/* Receivers of the heartbeats with which a relay goes on. */
enum ws_ed_audience {
	WS_ED_TO_ZONE = 0, /* the relay's own zone */
	WS_ED_TO_RELAYS, /* relays of other zones */
	WS_ED_AUDIENCES,
};

/*
 * Goes on with a round of heartbeats: loads of servers, and to relays also the
 * demand of the own zone. All receivers are told the same.
 * @return false when there is nothing more
 */
bool ws_edge_beat_continue(struct ws_edge *e, enum ws_ed_audience to,
			   struct ws_ed_beat *beat);

/* Tells whether a member is among the receivers. */
bool ws_edge_in_audience(const struct ws_edge *e, const struct ws_ed_member *m,
			 enum ws_ed_audience to);

/* Tells whether a member must be told of the map by this instance. */
bool ws_edge_tells_map(const struct ws_edge *e, ws_us now,
		       const struct ws_ed_member *m);

/*
 * Turns a heartbeat into one that carries a part of the map for a member.
 * @param first 0, or what the last call returned
 * @return what to go on with; 0: that was the last part
 */
uint32_t ws_edge_beat_map(struct ws_edge *e, const struct ws_ed_member *m,
			  uint32_t first, struct ws_ed_beat *beat);

/* Takes callers: has a configuration, servers and recent evidence. */
bool ws_edge_ready(const struct ws_edge *e, ws_us now);

/*
 * A member that has read a topic further than this instance and can be asked
 * for the records; NULL when there is none.
 */
const struct ws_ed_member *ws_edge_topic_source(const struct ws_edge *e,
						ws_us now,
						enum ws_ed_topic topic);

/* Whether this instance should read a topic by itself now. */
bool ws_edge_should_read(const struct ws_edge *e, ws_us now,
			 enum ws_ed_topic topic);

/* Offset up to which a topic is known here, read or told. */
uint64_t ws_edge_topic_end(const struct ws_edge *e, enum ws_ed_topic topic);

/* Time since a topic was last known to be read whole, here or as told. */
ws_us ws_edge_topic_age(const struct ws_edge *e, ws_us now,
			enum ws_ed_topic topic);

/* Time since the store last told what is in force. */
ws_us ws_edge_evidence_age(const struct ws_edge *e, ws_us now);

/* Changed bounds take effect at once. */
void ws_edge_set_bounds(struct ws_edge *e, const struct ws_ed_bounds *bounds);

const struct ws_ed_conf *ws_edge_conf(const struct ws_edge *e);
const struct ws_ed_pool *ws_edge_pool(const struct ws_edge *e);
const struct ws_ed_peers *ws_edge_peers(const struct ws_edge *e);
const struct ws_ed_quota *ws_edge_quota(const struct ws_edge *e);
const struct ws_ed_lead *ws_edge_lead(const struct ws_edge *e);

/* Customer for which a request runs; "" for none. */
const char *ws_edge_customer(const struct ws_edge *e, uint64_t request);

struct ws_ed_counters {
	uint64_t arrivals;
	uint64_t sent;
	uint64_t forwarded;
	uint64_t repeats; /* sent once more */
	uint64_t hedges; /* of these, while the first was still open */
	uint64_t refused[WS_EDR_COUNT];
	uint64_t lost; /* ended with 502 or 504 */
	uint64_t gone;
};

const struct ws_ed_counters *ws_edge_counters(const struct ws_edge *e);

/* Requests held now, and those that wait for a server. */
size_t ws_edge_open(const struct ws_edge *e);
size_t ws_edge_waiting(const struct ws_edge *e);

#endif
