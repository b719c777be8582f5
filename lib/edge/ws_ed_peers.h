#ifndef WS_ED_PEERS_H
#define WS_ED_PEERS_H

#include "common/ws_common.h"
#include "edge/ws_ed_map.h"

/*
 * Cluster membership: the members listed in the store and the state reported
 * by their heartbeats. Handles instances that start, stop, freeze or lose
 * contact with each other: rate limits are divided among the known members, and
 * a silent member keeps its share until WS_ED_MEMBER_TIMEOUT.
 *
 * A full mesh of heartbeats would grow with the square of the number of
 * instances, and most datagrams would cross availability zones, which costs
 * money. Therefore one instance of each zone, the relay, exchanges heartbeats
 * with all instances of its zone and with the relays of the other zones. The
 * relay is chosen by a fixed order, so that no agreement is needed: instances
 * that can reach the store first, then by capacity, then by lowest id. Two
 * relays at the same time only cost some extra datagrams. For
 * WS_ED_FULL_MESH_TIME after its start an instance sends to every member, so
 * that the relays get to know it.
 */

/*
 * Heartbeat period for up to WS_ED_HEARTBEAT_RECEIVERS receivers; beyond, it
 * grows with their number so that the send rate stays constant.
 */
#define WS_ED_HEARTBEAT_PERIOD (100 * WS_MS)
#define WS_ED_HEARTBEAT_RECEIVERS 28
/*
 * With relays, the key leader and all members still exchange brief heartbeats
 * directly, every Nth round.
 */
#define WS_ED_BRIEF_EVERY_ROUNDS 3
/* A member is alive if heard within this time or this many periods. */
#define WS_ED_ALIVE_TIMEOUT (1200 * WS_MS)
#define WS_ED_ALIVE_PERIODS 4
/* A silent member is removed after this time, which frees its rate share. */
#define WS_ED_MEMBER_TIMEOUT (20 * WS_SECOND)
/*
 * Time for which a relay's report keeps a member alive. A relay takes some
 * seconds to report all members, a part of them in each heartbeat.
 */
#define WS_ED_RELAYED_ALIVE_TIMEOUT (6 * WS_SECOND)
/* Time after its start in which an instance sends to every member. */
#define WS_ED_FULL_MESH_TIME (2 * WS_SECOND)
/* With more members, a starting instance sends to its zone and to relays. */
#define WS_ED_FULL_MESH_MEMBERS_MAX 40
/* Relays are used from this number of other members on. */
#define WS_ED_RELAY_MEMBERS_MIN 4
/* Members treated as relays of a zone whose relay has not been heard. */
#define WS_ED_RELAY_CANDIDATES 2
/*
 * Delay between the candidates that replace a lost relay. Members of a zone do
 * not hear each other, so each waits for the candidates ranked before it.
 */
#define WS_ED_RELAY_TAKEOVER_STEP (250 * WS_MS)

#define WS_ED_ADDRESS_MAX 48
/* Customers that a relay records for each member. */
#define WS_ED_MEMBER_CUSTOMERS_MAX 24
/* Topics whose reads heartbeats vouch for: configuration and servers. */
#define WS_ED_EVIDENCE_TOPICS 2
/* All topics that instances read; see enum ws_ed_topic. */
#define WS_ED_TOPICS 3

struct ws_ed_member {
	ws_id id; /* hash of the machine's name */
	ws_id zone; /* 0: unknown */
	uint64_t incarnation; /* random, drawn at process start */
	char address[WS_ED_ADDRESS_MAX]; /* ip:port for heartbeats */
	ws_us heard_at; /* last own heartbeat; 0: never */
	ws_us relayed_at; /* last heard by a relay; 0: never */
	ws_us listed_at; /* when it was added to the members */
	uint32_t capacity; /* of its machine: CPU and network link */
	bool leaving; /* shutting down */
	bool is_leader; /* reports that it is the key leader */
	bool is_relay; /* relay of its zone, or assumed to be */
	bool isolated; /* reports that it is a relay and hears no other relay */
	bool store_reachable; /* reports that it has reached the store lately */
	uint64_t topic_ends[WS_ED_TOPICS]; /* known ends of topics, positions */
	uint64_t epoch; /* highest leader epoch that it knows */
	ws_us map_sent_at; /* when the whole key map was last sent to it */
	ws_us refused_sent_at; /* when the refused requests were; 0: never */
	ws_us refused_interval; /* least time until they are sent again */
	/* Customers it serves, from its last full heartbeat */
	uint32_t n_customers;
	ws_id customers[WS_ED_MEMBER_CUSTOMERS_MAX];
	ws_us timestamp; /* send time of its last heartbeat, on its own clock */
	ws_us echoed_timestamp; /* newest of this instance that it has echoed */
	/* Its newest timestamp when this instance started a read */
	ws_us timestamp_at_read_start[WS_ED_EVIDENCE_TOPICS];
	/* The same for the last completed read */
	ws_us timestamp_at_read[WS_ED_EVIDENCE_TOPICS];
};

struct ws_ed_peers {
	ws_id self;
	ws_id zone; /* 0: relays are not used */
	ws_us full_mesh_until; /* end of WS_ED_FULL_MESH_TIME */
	uint32_t capacity; /* of this instance's machine */
	bool leaving; /* this instance is shutting down */
	bool store_reachable; /* this instance has reached the store lately */
	bool uses_relays;
	bool is_relay; /* this instance is the relay of its zone */
	ws_us best_since; /* best relay candidate since; 0: it is not */
	bool isolated; /* this instance is a relay that hears no other relay */
	bool reads_store; /* this instance reads the store for others */
	ws_us period; /* of heartbeats; 0: not computed yet */
	struct ws_ed_member *members; /* without this instance */
	size_t n;
	size_t cap;
};

/* Contents of a heartbeat to a member. */
enum ws_ed_beat_scope {
	WS_ED_SCOPE_NONE = 0,
	WS_ED_SCOPE_BRIEF, /* only what the key leader needs */
	WS_ED_SCOPE_FULL,
};

void ws_ed_peers_free(struct ws_ed_peers *p);

/* A member as listed in the store or reported by another instance. */
struct ws_ed_member_entry {
	ws_id id;
	ws_id zone; /* 0: unknown */
	uint32_t capacity;
	const char *address;
};

/*
 * Adds or updates a member.
 * @return NULL for this instance itself
 */
struct ws_ed_member *ws_ed_peers_add(struct ws_ed_peers *p, ws_us now,
				     const struct ws_ed_member_entry *e);

/* Handles the report of a relay on when it last heard a member. */
void ws_ed_peers_on_report(struct ws_ed_peers *p, ws_us now,
			   const struct ws_ed_member_entry *e, ws_us heard);

struct ws_ed_member *ws_ed_peers_find(const struct ws_ed_peers *p, ws_id id);

ws_us ws_ed_peers_period(const struct ws_ed_peers *p);

bool ws_ed_member_alive(const struct ws_ed_peers *p,
			const struct ws_ed_member *m, ws_us now);

/* Heard recently by this instance or by a relay. */
bool ws_ed_member_reported_alive(const struct ws_ed_peers *p,
				 const struct ws_ed_member *m, ws_us now);

/* Members among which rate limits are divided, including this instance. */
size_t ws_ed_peers_known(const struct ws_ed_peers *p);

/* Members alive and not shutting down, including this instance. */
size_t ws_ed_peers_alive(const struct ws_ed_peers *p, ws_us now);

/* Scope of heartbeats to a member, apart from those the key leader needs. */
enum ws_ed_beat_scope ws_ed_peers_scope(const struct ws_ed_peers *p,
					const struct ws_ed_member *m);

/*
 * Number of instances that read the store when no relays are used. Only some
 * instances read it for all, so that store calls do not grow with the number of
 * instances. With relays these are the relays; there are at least two readers,
 * because a single one misses updates while its connection to the store is
 * silent.
 */
#define WS_ED_STORE_READERS 2

/* Whether this instance reads the store for others. */
bool ws_ed_peers_reads_store(const struct ws_ed_peers *p, ws_us now);

/*
 * Whether this instance is the one, of those that are alive, that an item is
 * assigned to by a hash. Instances may disagree after one has started or ended.
 */
bool ws_ed_peers_is_assigned(const struct ws_ed_peers *p, ws_us now,
			     uint64_t item);

/*
 * Rank added to instances that are not relays: relays take over a role first,
 * as they detect the loss of a member before others do.
 */
#define WS_ED_RELAY_RANKS 16

/*
 * Rank of this instance among the candidates for a role: the number of live
 * members that reach the store and are stronger, or as strong with a lower id.
 * A relay counts only relays, another instance only instances that are not
 * relays.
 */
size_t ws_ed_peers_rank(const struct ws_ed_peers *p, ws_us now);

/*
 * Newest time that a majority of the voters has confirmed: each has echoed a
 * timestamp of this instance at least as new and knows no epoch above the given
 * one. 0 when there is no majority. This instance, if it is a voter, counts as
 * having echoed now.
 */
ws_us ws_ed_peers_quorum_time(const struct ws_ed_peers *p, ws_us now,
			      uint64_t epoch,
			      const struct ws_ed_voters *voters);

/* Removes silent members and determines the relays. */
void ws_ed_peers_tick(struct ws_ed_peers *p, ws_us now);

#endif
