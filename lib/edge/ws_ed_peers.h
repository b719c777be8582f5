#ifndef WS_ED_PEERS_H
#define WS_ED_PEERS_H

#include "common/ws_common.h"

/*
 * Who else runs: the members that the store names, and what their heartbeats
 * tell. Answers the pattern "instances come, go, freeze or lose each other":
 * shares of rates are divided over the members heard, and a member that falls
 * silent keeps its part until it is forgotten.
 */

/* Time between heartbeats; grows with the members, so that the load stays. */
#define WS_ED_BEAT_PERIOD (100 * WS_MS)
#define WS_ED_BEAT_MEMBERS 12
/* A member is alive if it was heard within this time, or some periods. */
#define WS_ED_ALIVE (1200 * WS_MS)
#define WS_ED_ALIVE_PERIODS 4
/* A silent member is dropped after this time; its rate shares are free then. */
#define WS_ED_FORGET (20 * WS_SECOND)

#define WS_ED_ADDRESS_MAX 48
/* Topics for which instances tell each other evidence: config and servers. */
#define WS_ED_TOLD_TOPICS 2

struct ws_ed_member {
	ws_id id; /* of the machine's name */
	uint64_t incarnation; /* drawn at process start */
	char address[WS_ED_ADDRESS_MAX]; /* ip:port of heartbeats */
	ws_us heard; /* 0: never */
	ws_us listed; /* when the store named it or it was first heard */
	bool leaving;
	bool store_sound; /* has recent evidence from the store */
	uint64_t map_end; /* how far it has read the map's topic */
	uint64_t epoch; /* highest leader epoch it knows */
	ws_us stamp; /* of its last heartbeat, on its own clock */
	ws_us echoed; /* newest own stamp that it has echoed */
	/* Its newest stamp when the own read of a topic began */
	ws_us stamp_at_start[WS_ED_TOLD_TOPICS]; /* of the read under way */
	ws_us stamp_at_read[WS_ED_TOLD_TOPICS]; /* of the last that came back */
};

struct ws_ed_peers {
	ws_id self;
	struct ws_ed_member *members; /* without self */
	size_t n;
	size_t cap;
};

void ws_ed_peers_free(struct ws_ed_peers *p);

/* Adds a member or changes its address; ignores self. */
struct ws_ed_member *ws_ed_peers_add(struct ws_ed_peers *p, ws_us now, ws_id id,
				     const char *address);

struct ws_ed_member *ws_ed_peers_find(const struct ws_ed_peers *p, ws_id id);

/* Time between two heartbeats of an instance. */
ws_us ws_ed_peers_period(const struct ws_ed_peers *p);

bool ws_ed_member_alive(const struct ws_ed_peers *p,
			const struct ws_ed_member *m, ws_us now);

/* Members that count for shares, self included. */
size_t ws_ed_peers_count(const struct ws_ed_peers *p);

/* Members that are alive and stay, self included. */
size_t ws_ed_peers_alive(const struct ws_ed_peers *p, ws_us now);

/*
 * Members that follow the store for all; the others are told by them, so that
 * the calls to the store do not grow with the number of instances.
 */
#define WS_ED_READERS 2

/* This instance is one of the readers. */
bool ws_ed_peers_reader(const struct ws_ed_peers *p, ws_us now);

/* Number of living members with the store whose id is below the own one. */
size_t ws_ed_peers_rank(const struct ws_ed_peers *p, ws_us now);

/*
 * Time of the oldest own stamp that a majority of all members has echoed while
 * knowing no epoch above the given one; 0 when there is none. The own
 * instance counts as having echoed now.
 */
ws_us ws_ed_peers_quorum(const struct ws_ed_peers *p, ws_us now,
			 uint64_t epoch);

void ws_ed_peers_tick(struct ws_ed_peers *p, ws_us now);

#endif
