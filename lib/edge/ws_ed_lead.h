#ifndef WS_ED_LEAD_H
#define WS_ED_LEAD_H

#include "edge/ws_ed_fx.h"
#include "edge/ws_ed_heat.h"
#include "edge/ws_ed_map.h"
#include "edge/ws_ed_peers.h"

/*
 * Ownership of keys. One instance at a time, the leader, leases keys to
 * servers. It is elected by a conditional append to the topic of the map: the
 * offset of its first record is its epoch, and every fencing token is
 * (epoch, counter), so that it is above all that came before, whoever was lost.
 *
 * Why a key never has two owners:
 * - the map in the store names the only server that may hold a key, and is
 *   changed only after that server released the key or its lease ran out;
 * - a leader acts until WS_ED_LEADER_LEASE after its last evidence that no
 * other one has been elected: a read of the topic, or stamps echoed by a
 * majority of the members that know of no newer epoch (so an outage of the
 * store does not stop renewals);
 * - a new leader renews what the map says at once, but gives keys to other
 *   servers only WS_ED_LEADER_LEASE after a majority knew of it, and those of a
 * server that does not answer only after the lease of the keys as well.
 *
 * Load patterns answered by the placement: hot neighbouring keys (the range is
 * split where its heat is, and the parts go to the least loaded servers),
 * servers that join, leave, are lost, or whose zone is taken out of service.
 */

#define WS_ED_LEADER_LEASE (2500 * WS_MS)

enum ws_ed_range_state {
	WS_EDR_OWNED = 1, /* the server has or is being given the keys */
	WS_EDR_RELEASING, /* being taken back from the server */
	WS_EDR_FREE, /* nobody holds them */
	WS_EDR_PROPOSED, /* a server is chosen; to be written to the store */
};

/* A range of keys in the hands of the leader. */
struct ws_ed_range {
	ws_id service;
	uint32_t from;
	uint32_t to;
	ws_id server; /* OWNED, RELEASING, CHOSEN */
	char name[WS_ED_NAME_MAX];
	char address[WS_ED_NAME_MAX];
	int64_t born_ms; /* life of the server that was given the keys */
	uint8_t state;
	uint64_t fence;
	uint64_t ref; /* of the call under way; 0: none */
	bool call_is_grant; /* the call under way is a grant */
	bool inherited; /* a former leader may still renew it */
	ws_us next_call;
	ws_us lease_end; /* the server may hold the keys until then */
	ws_us unconfirmed_until; /* by grants that got no answer */
	uint32_t failures; /* calls failed in a row */
	char handover[WS_ED_NAME_MAX];
	ws_us changed_at; /* entered its state */
};

/* A step from one version of the map to a later one. */
struct ws_ed_map_delta {
	uint64_t from; /* end of the topic before */
	uint64_t to;
	struct ws_ed_map changes;
};

/* Steps that are kept, so that others need not be told the whole map. */
#define WS_ED_DELTAS_KEPT 16

enum ws_ed_role {
	WS_EDL_FOLLOWER = 0,
	WS_EDL_CLAIMING, /* the append of the claim is under way */
	WS_EDL_LEADER,
};

struct ws_ed_lead {
	struct ws_ed_peers *peers;
	struct ws_ed_pool *pool;
	struct ws_ed_heat *heat;
	const struct ws_ed_conf *conf; /* NULL: none yet */
	ws_id self;
	ws_us started;
	bool leaving;

	/* What the store says */
	bool known;
	struct ws_ed_map map;
	uint64_t map_end; /* offset after the newest record */
	struct ws_ed_map_delta deltas[WS_ED_DELTAS_KEPT]; /* a ring */
	uint64_t n_deltas; /* taken so far */
	ws_us read_evidence; /* start of the last read that came back */
	ws_us store_reached_at; /* start of the last good call of any topic */

	enum ws_ed_role role;
	uint64_t epoch; /* own */
	uint64_t counter; /* of fencing tokens */
	ws_us claimed_at; /* when the claim was confirmed by the store */
	ws_us confirmed_at; /* when a majority knew the epoch; 0: not yet */
	ws_us valid_until; /* evidence plus WS_ED_LEADER_LEASE */
	ws_us leaderless_since; /* nobody leads; 0: somebody does */
	ws_us next_claim;
	ws_us next_append;
	bool appending;
	uint64_t append_offset; /* offset that the append under way must get */
	struct ws_ed_map proposal; /* of the append under way */
	struct ws_ed_range *ranges;
	size_t n_ranges;
	size_t cap_ranges;
	uint64_t next_ref;
	ws_us next_balance;
	uint64_t moves; /* ranges given to another server */
};

void ws_ed_lead_free(struct ws_ed_lead *l);

/* True while this instance leads and has evidence that it still does. */
bool ws_ed_lead_valid(const struct ws_ed_lead *l, ws_us now);

/* Tells whether the store was reachable lately. */
bool ws_ed_lead_store_reachable(const struct ws_ed_lead *l, ws_us now);

/* Highest epoch that this instance knows of. */
uint64_t ws_ed_lead_epoch(const struct ws_ed_lead *l);

/*
 * A read of the map's topic came back.
 * @param started when the read was sent
 * @param map newest record, or NULL when nothing is new
 * @param end offset after the newest record
 */
void ws_ed_lead_on_read(struct ws_ed_lead *l, ws_us now, ws_us started,
			const struct ws_ed_map *map, uint64_t end,
			struct ws_ed_fx *fx);

/* The leader tells of a map that it has written, without a read here. */
void ws_ed_lead_on_map(struct ws_ed_lead *l, ws_us now,
		       const struct ws_ed_map *map, uint64_t end,
		       struct ws_ed_fx *fx);

/*
 * Changes that lead from an earlier end of the topic to the map known here.
 * @return false when they are too many, or no longer kept
 */
bool ws_ed_lead_changes_since(const struct ws_ed_lead *l, uint64_t from,
			      struct ws_ed_map *changes, size_t max);

/* This instance leads and the map is its own: it tells others of it. */
bool ws_ed_lead_sends_map(const struct ws_ed_lead *l, ws_us now);

/* Time of the last evidence that no other instance leads. */
ws_us ws_ed_lead_evidence_time(const struct ws_ed_lead *l);

/* What WS_EDFX_APPEND is to write. */
const struct ws_ed_map *ws_ed_lead_proposal(const struct ws_ed_lead *l);

enum ws_ed_append_result {
	WS_EDA_DONE = 1,
	WS_EDA_CONFLICT, /* the topic does not end there */
	WS_EDA_FAILED, /* not written, or not known */
};

void ws_ed_lead_on_append(struct ws_ed_lead *l, ws_us now, uint64_t at,
			  ws_us started, enum ws_ed_append_result end,
			  struct ws_ed_fx *fx);

enum ws_ed_call_result {
	WS_EDC_DONE = 1,
	WS_EDC_FENCED, /* the server has seen a higher fencing token */
	WS_EDC_NOT_SENT, /* no byte was sent */
	WS_EDC_FAILED, /* no answer, or none that was expected */
};

/* A grant or release has ended; handover is "" if there is none. */
void ws_ed_lead_on_call_result(struct ws_ed_lead *l, ws_us now, uint64_t ref,
			       enum ws_ed_call_result end, const char *handover,
			       struct ws_ed_fx *fx);

void ws_ed_lead_tick(struct ws_ed_lead *l, ws_us now, struct ws_ed_fx *fx);

/* Range that is being moved and holds the key: its requests should wait. */
bool ws_ed_lead_moving(const struct ws_ed_lead *l, ws_id service, uint32_t key);

#endif
