#ifndef WS_ED_SHARE_H
#define WS_ED_SHARE_H

#include "common/ws_common.h"

/*
 * Division of a server's rate of requests among instances that decide without
 * asking each other. A rate may be below one request an instance and window, so
 * dividing it evenly is not enough: with one request saved at each of hundreds
 * of instances, a burst exceeds any small rate. A share is therefore held by a
 * few instances only, chosen by a hash of server and instance, and each of them
 * saves at most one request. The hash keeps its choice while instances restart
 * or fall silent, and changes little when one joins.
 */

/* The instances that divide the rates. */
struct ws_ed_group {
	ws_id self;
	ws_id *others;
	size_t n; /* of others */
	size_t cap;
	/* Increases with each change; a share of another version is stale */
	uint32_t version;
	/* Until then it may lack instances and no share is used; 0: complete */
	ws_us settled_at;
};

void ws_ed_group_free(struct ws_ed_group *g);

/* Replaces the other instances, if they differ. */
void ws_ed_group_set(struct ws_ed_group *g, const ws_id *others, size_t n);

/* An instance's share of the rate of one server. */
struct ws_ed_share {
	double per_s; /* rate of all instances together */
	size_t holders; /* instances that the rate is divided among */
	bool is_holder; /* this instance is one of them */
	uint32_t version; /* of the group that is_holder was determined for */
	ws_us next_at; /* earliest time of the next request */
	ws_us return_at; /* time that the next refused request is given */
};

/*
 * Sets the rate. The first request is delayed by a random part of the interval
 * if the share is new, as all instances get it at about the same time.
 * @param holders_max at most so many instances hold a share
 */
void ws_ed_share_set(struct ws_ed_share *s, const struct ws_ed_group *g,
		     ws_id server, double per_s, size_t holders_max, ws_us now,
		     struct ws_rand *rand);

/* Records that a request is sent. */
void ws_ed_share_sent(struct ws_ed_share *s, ws_us now);

/*
 * Time until the next request may be sent here; 0: now.
 * @return a negative value if this instance holds no share
 */
ws_us ws_ed_share_wait(const struct ws_ed_share *s, const struct ws_ed_group *g,
		       ws_us now);

/*
 * Reserves a time at which a refused request may return, to any instance: those
 * given by all instances together are as far apart as the rate demands.
 * @return time from now
 */
ws_us ws_ed_share_retry_after(struct ws_ed_share *s,
			      const struct ws_ed_group *g, ws_us now);

#endif
