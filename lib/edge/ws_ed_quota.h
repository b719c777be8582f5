#ifndef WS_ED_QUOTA_H
#define WS_ED_QUOTA_H

#include "edge/ws_ed_conf.h"

/*
 * Rates of customers over all instances. Answers the pattern "one customer
 * sends many times its rate, and arrivals are uneven over the instances":
 * each instance has a token bucket whose part of the rate follows its part of
 * the demand, as the heartbeats tell it. While the demand of all instances is
 * well below the rate, a bucket may go into debt, so that chance bunches at
 * one instance are not refused. What others told is some heartbeats old, or
 * older at an instance that is cut off; the own demand that is set against it
 * is as old, so that a surge at all instances raises no part. One that falls
 * silent keeps the part that it had, as it goes on using it.
 */

/* Whose arrivals a heartbeat tells. */
enum ws_ed_demand_source {
	WS_EDD_INSTANCE = 0, /* of the instance that tells */
	WS_EDD_ZONE, /* of its zone, which it relays */
	WS_EDD_OTHERS, /* of all but the receiver */
	WS_EDD_COUNT,
};

/* Who tells demands. */
struct ws_ed_demand_reporter {
	enum ws_ed_demand_source source;
	ws_id instance;
	ws_id zone;
};

struct ws_ed_demand {
	enum ws_ed_demand_source source;
	ws_id subject; /* instance or zone; 0: all others */
	ws_id zone; /* of an instance */
	ws_us at;
	double per_s;
	double fraction; /* of all demand, when it was told */
};

/* Rounds of heartbeats until others' demand is known here, mostly. */
#define WS_ED_HEARD_ROUNDS 3

struct ws_ed_bucket {
	ws_id customer;
	double rate; /* requests/s over all instances; 0: no limit */
	double burst;
	bool restarted; /* what it gave out before its restart is unknown */
	bool tracked; /* its demand is told, though it has no limit */
	double tokens;
	ws_us refilled_at;
	double demand; /* own arrivals per second, smoothed */
	ws_us demand_at;
	/* Own demand when others were last heard, newest first */
	double heard_demand[WS_ED_HEARD_ROUNDS];
	struct ws_ed_demand *peer_demands;
	size_t n_peer_demands;
	size_t cap_peer_demands;
	double global_demand; /* demand of all instances, per tick */
	double share; /* own part of the rate, per tick */
};

struct ws_ed_quota {
	struct ws_ed_bucket *buckets;
	size_t n;
	size_t cap;
	size_t instances; /* that share the rates */
	ws_us silent_after; /* what was told longer ago is of one that is silent
			     */
	double usable_fraction; /* part of the rates that is given out */
	ws_us round_started; /* start of the round of heartbeats being heard */
	double debt_s; /* in seconds of the rate, all instances together */
	double slack; /* requests that all instances may be over, together */
	/* Part of the instances whose demand is heard, by some way; 0: all */
	double coverage;
	bool restarted; /* this instance is, and has no configuration yet */
};

void ws_ed_quota_free(struct ws_ed_quota *q);

/* Takes over the rates of a configuration; keeps levels of those that stay. */
void ws_ed_quota_configure(struct ws_ed_quota *q, ws_us now,
			   const struct ws_ed_conf *conf);

/* Follows the demand of something that has no rate, by an id of its own. */
void ws_ed_quota_track(struct ws_ed_quota *q, ws_us now, ws_id id);

/* Demand of all instances, as last recomputed; 0: not followed. */
double ws_ed_quota_global_demand(const struct ws_ed_quota *q, ws_id id);

/*
 * Counts an arrival and takes a token.
 * @return 0, or the time in which a token may be expected
 */
ws_us ws_ed_quota_take(struct ws_ed_quota *q, ws_us now, ws_id customer);

/* Notes what another instance has told of a customer's arrivals. */
void ws_ed_quota_peer_demand(struct ws_ed_quota *q, ws_us now,
			     const struct ws_ed_demand_reporter *t,
			     ws_id customer, double per_s);

/*
 * Another instance was heard: what it has not told for some rounds is zero.
 * @param period time between its heartbeats
 */
void ws_ed_quota_peer_heard(struct ws_ed_quota *q, ws_us now,
			    const struct ws_ed_demand_reporter *t,
			    ws_us period);

/*
 * Arrivals per second of a customer as another instance is told them.
 * @param source whose arrivals they are to be
 * @param to the instance that is told
 * @param zone own zone
 */
double ws_ed_quota_demand_for_peer(const struct ws_ed_quota *q, ws_us now,
				   ws_id customer,
				   enum ws_ed_demand_source source, ws_id to,
				   ws_id zone);

/* Own smoothed arrivals per second of a bucket, at this time. */
double ws_ed_quota_own_demand(const struct ws_ed_bucket *b, ws_us now);

/*
 * Recomputes the parts.
 * @param told_every how often instances tell each other their demand
 */
void ws_ed_quota_tick(struct ws_ed_quota *q, ws_us now, size_t instances,
		      ws_us told_every);

#endif
