#ifndef WS_ED_LEAD_H
#define WS_ED_LEAD_H

#include "edge/ws_ed_fx.h"
#include "edge/ws_ed_heat.h"
#include "edge/ws_ed_map.h"
#include "edge/ws_ed_peers.h"
#include "edge/ws_ed_voters.h"

/*
 * Key ownership. One instance at a time, the leader, leases ranges of keys to
 * servers. It is elected by a conditional append to the topic of the key map.
 * Its epoch is above that of all earlier records: it begins with the era of the
 * store, so that this holds as well if a restore of the store has lost some of
 * them. Every fencing token consists of the epoch and a counter, so that it is
 * above all earlier tokens, whichever instance issued them.
 *
 * A key never has two owners because:
 * - the map in the store names the only server that may own a key, and is
 *   changed only after that server has released the key or its lease has
 *   expired;
 * - a leader acts only until WS_ED_LEADER_LEASE after its last evidence that no
 *   other leader has been elected. Evidence is a read of the topic, or its
 *   timestamps echoed by a majority of the voters that know no newer epoch, so
 *   that renewals go on during an outage of the store. A lease that has expired
 *   is not extended: the leader steps down and has to claim again;
 * - every record of the map names the voters. The first claim of all chooses
 *   them, every other one copies them from the record before it, so that a
 * leader and its successor count the same ones, however long they are cut off
 * from each other. The leader changes one voter at a time,
 * WS_ED_VOTER_CHANGE_INTERVAL apart, so that each majority meets one of the
 * record before, and of the record that a restore of the store brings back;
 * - a new leader renews the leases in the map at once, but moves keys to other
 *   servers only WS_ED_LEADER_LEASE after a majority of the voters knows its
 *   epoch, or, as voters may be lost for good, after WS_ED_STORELESS_MAX: no
 *   leader goes on for longer on echoes alone. Keys of a server that does not
 *   answer have to wait for their own lease as well;
 * - a voter that restarts reads the map before it echoes anything. If that map
 *   is older than a restore of the store, the epochs that the voter knew before
 *   may be lost, and it echoes nothing for WS_ED_FORGOTTEN_TIME;
 * - after a restore of the store the map there may name former owners, and the
 *   claim of a leader may be lost. A valid leader goes on renewing and claims
 *   again with the map that it knows, as soon as a majority has echoed that it
 *   knows no newer epoch since; until then reads are no evidence for it. Any
 *   other instance grants nothing until all leases of former leaders have
 *   expired.
 *
 * The placement handles adjacent hot keys, by splitting a range according to
 * its heat and moving the parts to the least loaded servers, and servers that
 * join, leave, fail or whose availability zone is taken out of service.
 */

#define WS_ED_LEADER_LEASE (2500 * WS_MS)
/* Longest time without evidence from the store in which echoes are enough. */
#define WS_ED_STORELESS_MAX (15 * WS_SECOND)
/* Longer than the age of the copies from which the store may be restored. */
#define WS_ED_VOTER_CHANGE_INTERVAL (30 * WS_SECOND)
/*
 * Covers the leases that the echoes before the restart may have extended: those
 * of a majority are at most one lease apart when they confirm a new leader.
 */
#define WS_ED_FORGOTTEN_TIME (2 * WS_ED_LEADER_LEASE)

enum ws_ed_range_state {
	WS_ED_RANGE_OWNED = 1, /* named in the map; granted and renewed */
	WS_ED_RANGE_RELEASING, /* a release by the server is requested */
	WS_ED_RANGE_FREE, /* no server may own the keys */
	WS_ED_RANGE_PROPOSED, /* assigned to a server, not yet in the store */
};

/* A range of keys as the leader tracks it. */
struct ws_ed_range {
	ws_id service;
	uint32_t from;
	uint32_t to; /* inclusive */
	ws_id server; /* if OWNED, RELEASING or PROPOSED */
	uint32_t handle; /* of the server when it was last found */
	char name[WS_ED_NAME_MAX];
	char address[WS_ED_NAME_MAX];
	int64_t started_ms; /* start of the server process that got the keys */
	uint8_t state;
	uint64_t fence;
	uint64_t ref; /* of the call in progress; 0: none */
	bool call_is_grant; /* the call is a grant, else a release */
	bool inherited; /* not granted by this leader yet */
	bool former_leases; /* leases from previous leaders may be left */
	ws_us next_call;
	ws_us lease_end; /* the server may own the keys until then */
	ws_us lease_end_before; /* the same without the grant in progress */
	ws_us unconfirmed_until; /* end of grants without an answer */
	uint32_t failures; /* consecutive failed calls */
	char handover[WS_ED_NAME_MAX]; /* from release to next grant */
	ws_us changed_at; /* of the last state change */
};

/* The difference between two versions of the key map. */
struct ws_ed_map_delta {
	uint64_t from; /* end offset of the topic for the older version */
	uint64_t to; /* and for the newer one */
	struct ws_ed_map changes;
};

/* Deltas kept, so that other instances rarely need the whole map. */
#define WS_ED_DELTAS_KEPT 16

enum ws_ed_role {
	WS_EDL_FOLLOWER = 0,
	WS_EDL_CLAIMING, /* the append of its claim is in progress */
	WS_EDL_LEADER,
};

struct ws_ed_lead {
	struct ws_ed_peers *peers;
	struct ws_ed_pool *pool;
	struct ws_ed_heat *heat;
	const struct ws_ed_conf *conf; /* NULL: not loaded yet */
	ws_id self;
	ws_us started;
	bool leaving;
	/* A map may have existed before this process knew one */
	bool restarted;

	/* State of the store */
	bool known; /* the map has been read */
	struct ws_ed_map map;
	/*
	 * Read from a restored store and not known before: its epoch may be
	 * that of a claim which was carried out after the restore only, and is
	 * not stated to other instances.
	 */
	bool map_from_copy;
	uint64_t map_end; /* position after the newest record of the topic */
	/*
	 * The map is not that of the newest record, as there was none, or it
	 * was ignored. So map_end doesn't say which map this is.
	 */
	bool map_off_record;
	struct ws_ed_map_delta deltas[WS_ED_DELTAS_KEPT]; /* ring buffer */
	uint64_t n_deltas; /* added so far */
	ws_us read_evidence; /* start of the last completed read */
	ws_us store_reached_at; /* start of the last successful store call */
	ws_us next_store_check; /* when the map may be read to find out */

	enum ws_ed_role role;
	uint64_t epoch; /* of this instance as leader or candidate */
	uint64_t peer_epoch; /* highest stated by other instances */
	uint64_t counter; /* of fencing tokens */
	ws_us claimed_at; /* when the store acknowledged the claim */
	/* When no former leader could extend its lease any more; 0: unknown */
	ws_us confirmed_at;
	ws_us valid_until; /* last evidence plus WS_ED_LEADER_LEASE */
	ws_us leaderless_since; /* no working leader since; 0: there is one */
	ws_us era_since; /* when the era of the store was first seen */
	bool reclaims; /* the leader has to claim again after a restore */
	/* Its claim is based on a map that may have been out of date */
	bool map_unverified;
	ws_us next_voter_change;
	bool rewrites; /* the newest record is that of a former leader */
	ws_us next_claim;
	ws_us next_append;
	bool appending;
	uint64_t append_position; /* required of the append in progress */
	struct ws_ed_map proposal; /* record of the append in progress */
	struct ws_ed_range *ranges;
	size_t n_ranges;
	size_t cap_ranges;
	size_t first_call; /* range whose call is considered first */
	size_t renewals_left; /* calls that this tick may start */
	size_t moves_left; /* the same, for keys that have no lease */
	bool calls_deferred; /* to the next tick */
	size_t next_merge; /* range that is tried next to be merged */
	uint64_t next_ref;
	ws_us next_balance;
	uint64_t moves; /* ranges assigned to a server so far */
};

void ws_ed_lead_free(struct ws_ed_lead *l);

/* Whether this instance is the leader and its leader lease is valid. */
bool ws_ed_lead_valid(const struct ws_ed_lead *l, ws_us now);

/* Whether the store was reached recently. */
bool ws_ed_lead_store_reachable(const struct ws_ed_lead *l, ws_us now);

/* Highest epoch known to this instance. */
uint64_t ws_ed_lead_epoch(const struct ws_ed_lead *l);

/* Handles the epoch that a heartbeat of another instance states. */
void ws_ed_lead_on_epoch(struct ws_ed_lead *l, uint64_t epoch);

/* Whether heartbeats of other instances may be echoed as evidence for them. */
bool ws_ed_lead_may_echo(const struct ws_ed_lead *l, ws_us now);

/* Whether the leader should read the map as evidence from the store. */
bool ws_ed_lead_needs_read(const struct ws_ed_lead *l, ws_us now);

/*
 * Handles a completed read of the map's topic.
 * @param started when the read was sent
 * @param map newest record, or NULL when nothing is new
 * @param end offset after the newest record
 */
void ws_ed_lead_on_read(struct ws_ed_lead *l, ws_us now, ws_us started,
			const struct ws_ed_map *map, uint64_t end,
			struct ws_ed_fx *fx);

/* Handles a map received from the leader instead of read from the store. */
void ws_ed_lead_on_map(struct ws_ed_lead *l, ws_us now,
		       const struct ws_ed_map *map, uint64_t end,
		       struct ws_ed_fx *fx);

/*
 * Collects the changes from an earlier end offset of the topic to the current
 * map.
 * @return false when there are more than max, or they are no longer kept
 */
bool ws_ed_lead_changes_since(const struct ws_ed_lead *l, uint64_t from,
			      struct ws_ed_map *changes, size_t max);

/* Whether this instance is the valid leader and wrote the current map. */
bool ws_ed_lead_sends_map(const struct ws_ed_lead *l, ws_us now);

/* Time of the last evidence that there is no other leader. */
ws_us ws_ed_lead_evidence_time(const struct ws_ed_lead *l);

/* The record that WS_EDFX_APPEND writes. */
const struct ws_ed_map *ws_ed_lead_proposal(const struct ws_ed_lead *l);

enum ws_ed_append_result {
	WS_EDA_DONE = 1,
	WS_EDA_CONFLICT, /* the topic has a different end offset */
	WS_EDA_FAILED, /* not written, or unknown */
};

void ws_ed_lead_on_append(struct ws_ed_lead *l, ws_us now, uint64_t at,
			  ws_us started, enum ws_ed_append_result end,
			  struct ws_ed_fx *fx);

enum ws_ed_call_result {
	WS_EDC_DONE = 1,
	WS_EDC_FENCED, /* the server has seen a higher fencing token */
	WS_EDC_NOT_SENT, /* no byte of the request was sent */
	WS_EDC_MISDIRECTED, /* another server has the address; not executed */
	WS_EDC_FAILED, /* no answer, or an unexpected one */
};

/* Handles the result of a grant or release; handover is "" if there is none. */
void ws_ed_lead_on_call_result(struct ws_ed_lead *l, ws_us now, uint64_t ref,
			       enum ws_ed_call_result end, const char *handover,
			       struct ws_ed_fx *fx);

void ws_ed_lead_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx);

/* Whether the key is being moved, so that its requests should wait. */
bool ws_ed_lead_moving(const struct ws_ed_lead *l, ws_id service, uint32_t key);

#endif
