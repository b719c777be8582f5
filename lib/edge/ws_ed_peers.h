#ifndef WS_ED_PEERS_H
#define WS_ED_PEERS_H

#include "common/ws_common.h"

/*
 * Who else runs: the members that the store names, and what their heartbeats
 * tell. Answers the pattern "instances come, go, freeze or lose each other":
 * shares of rates are divided over the members heard, and a member that falls
 * silent keeps its part until it is forgotten.
 *
 * Heartbeats between all would grow with the square of the instances, and most
 * would cross zones, which costs. One instance of each zone, the relay, hears
 * and tells all others of its zone and the relays of other zones. It is the
 * strongest living one with a sound way to the store, and of these the lowest
 * id, so that no agreement is needed; two relays at the same time only cost
 * some datagrams. For a moment
 * after its start an instance tells everybody, so that relays are known.
 */

/* Time between heartbeats; grows with the receivers, so that the load stays. */
#define WS_ED_HEARTBEAT_PERIOD (100 * WS_MS)
#define WS_ED_HEARTBEAT_RECEIVERS 28
/* The leader of the keys and the members hear each other each so many. */
#define WS_ED_BRIEF_EVERY_ROUNDS 3
/* A member is alive if it was heard within this time, or some periods. */
#define WS_ED_ALIVE_TIMEOUT (1200 * WS_MS)
#define WS_ED_ALIVE_PERIODS 4
/* A silent member is dropped after this time; its rate shares are free then. */
#define WS_ED_MEMBER_TIMEOUT (20 * WS_SECOND)
/* Told by a relay as alive; a relay names each member within some seconds. */
#define WS_ED_RELAYED_ALIVE_TIMEOUT (6 * WS_SECOND)
/* Time from its start in which an instance tells everybody. */
#define WS_ED_FULL_MESH_TIME (2 * WS_SECOND)
/* Of more members only the own zone and likely relays are told then. */
#define WS_ED_FULL_MESH_MEMBERS_MAX 40
/* Fewer members than this need no relays. */
#define WS_ED_RELAY_MEMBERS_MIN 4
/* A zone whose relay is not heard is told through so many of its members. */
#define WS_ED_RELAY_CANDIDATES 2
/*
 * When a relay is lost, those who may follow it act one after the other, in
 * order of their ids: they do not hear each other.
 */
#define WS_ED_RELAY_TAKEOVER_STEP (250 * WS_MS)

#define WS_ED_ADDRESS_MAX 48
/* Customers of a member that a relay keeps in mind. */
#define WS_ED_MEMBER_CUSTOMERS_MAX 24
/* Topics for which instances tell each other evidence: config and servers. */
#define WS_ED_EVIDENCE_TOPICS 2
/* All topics that instances follow; see enum ws_ed_topic. */
#define WS_ED_TOPICS 3

struct ws_ed_member {
	ws_id id; /* of the machine's name */
	ws_id zone; /* 0: not known yet */
	uint64_t incarnation; /* drawn at process start */
	char address[WS_ED_ADDRESS_MAX]; /* ip:port of heartbeats */
	ws_us heard_at; /* 0: never */
	ws_us relayed_at; /* when a relay last heard it, as told; 0: never */
	ws_us listed_at; /* when the store named it or it was first heard */
	uint32_t strength; /* of its machine: processor and link */
	bool leaving;
	bool leads; /* it leads the keys, as it says */
	bool is_relay; /* it is, or may be, the relay of its zone */
	bool alone; /* it is a relay that hears no other one, as it says */
	bool store_sound; /* has recent evidence from the store */
	uint64_t ends[WS_ED_TOPICS]; /* how far it has read the topics */
	uint64_t epoch; /* highest leader epoch it knows */
	ws_us map_sent_at; /* when it was last told the whole map of keys */
	/* Customers that came to it, as it told last */
	uint32_t n_customers;
	ws_id customers[WS_ED_MEMBER_CUSTOMERS_MAX];
	ws_us stamp; /* of its last heartbeat, on its own clock */
	ws_us echoed_stamp; /* newest own stamp that it has echoed */
	/* Its newest stamp when the own read of a topic began */
	ws_us stamp_at_start[WS_ED_EVIDENCE_TOPICS]; /* of the read under way */
	ws_us stamp_at_read[WS_ED_EVIDENCE_TOPICS]; /* of the last that came
						       back */
};

struct ws_ed_peers {
	ws_id self;
	ws_id zone; /* 0: no relays are used */
	ws_us full_mesh_until; /* everybody is told until then */
	uint32_t strength; /* of this instance's machine */
	bool leaving; /* this instance is */
	bool store_sound; /* this instance has recent evidence from the store */
	bool uses_relays; /* relays are in use */
	bool is_relay; /* this instance is its zone's */
	ws_us best_since; /* no better one is heard; 0: one is */
	bool alone; /* this instance is a relay that hears no other one */
	bool reads_store; /* this instance follows the store for others */
	ws_us period;
	struct ws_ed_member *members; /* without self */
	size_t n;
	size_t cap;
};

/* What a member is told with a heartbeat. */
enum ws_ed_beat_scope {
	WS_ED_SCOPE_NONE = 0,
	WS_ED_SCOPE_BRIEF, /* what the leader of the keys needs */
	WS_ED_SCOPE_FULL,
};

void ws_ed_peers_free(struct ws_ed_peers *p);

/* What the store or another instance says of a member. */
struct ws_ed_member_entry {
	ws_id id;
	ws_id zone; /* 0: not known */
	uint32_t strength;
	const char *address;
};

/* Adds a member or changes its entry; ignores self. */
struct ws_ed_member *ws_ed_peers_add(struct ws_ed_peers *p, ws_us now,
				     const struct ws_ed_member_entry *e);

/* A relay tells when it last heard a member. */
void ws_ed_peers_on_report(struct ws_ed_peers *p, ws_us now,
			   const struct ws_ed_member_entry *e, ws_us heard);

struct ws_ed_member *ws_ed_peers_find(const struct ws_ed_peers *p, ws_id id);

/* Time between two heartbeats of an instance. */
ws_us ws_ed_peers_period(const struct ws_ed_peers *p);

bool ws_ed_member_alive(const struct ws_ed_peers *p,
			const struct ws_ed_member *m, ws_us now);

/* Members that count for shares, self included. */
size_t ws_ed_peers_known(const struct ws_ed_peers *p);

/* Members that are alive and stay, self included. */
size_t ws_ed_peers_alive(const struct ws_ed_peers *p, ws_us now);

/* What a member is told; the leader of the keys is told apart. */
enum ws_ed_beat_scope ws_ed_peers_scope(const struct ws_ed_peers *p,
					const struct ws_ed_member *m);

/*
 * This instance follows the store for others, so that the calls to the store
 * do not grow with the number of instances: the relays, but two at least, as
 * one alone may miss news while its way to the store is silent.
 */
#define WS_ED_STORE_READERS 2

bool ws_ed_peers_reads_store(const struct ws_ed_peers *p, ws_us now);

/*
 * Place of this instance among those that may take over a duty: living ones
 * with the store whose id is below the own one. Relays come first, as they
 * hear of a loss before others do.
 */
#define WS_ED_RELAY_RANKS 16

size_t ws_ed_peers_rank(const struct ws_ed_peers *p, ws_us now);

/*
 * Time of the oldest own stamp that a majority of all members has echoed while
 * knowing no epoch above the given one; 0 when there is none. The own
 * instance counts as having echoed now.
 */
ws_us ws_ed_peers_quorum_time(const struct ws_ed_peers *p, ws_us now,
			      uint64_t epoch);

/* Forgets silent members and finds the relays. */
void ws_ed_peers_tick(struct ws_ed_peers *p, ws_us now);

#endif
