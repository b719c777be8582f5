#ifndef WS_ED_QUOTA_H
#define WS_ED_QUOTA_H

#include "edge/ws_ed_conf.h"

/*
 * Distributed rate limits of customers. A customer may send many times its
 * rate, and its requests may arrive unevenly over the instances, so each
 * instance has a token bucket whose share of the rate follows its share of the
 * demand (arrivals per second), which instances report in heartbeats. While
 * the global demand is well below the rate, a bucket may go into debt, so that
 * random bursts at one instance are not refused.
 *
 * Reported demand is some heartbeats old, and older still at a partitioned
 * instance. It is compared to local demand of the same age, so that a surge at
 * all instances raises nobody's share. An instance that is no longer heard
 * keeps its share, as it goes on using it.
 */

/* Whose arrivals a demand report covers. */
enum ws_ed_demand_source {
	WS_EDD_INSTANCE = 0, /* those of the reporting instance */
	WS_EDD_ZONE, /* those of its zone, as it is the zone's relay */
	WS_EDD_OTHERS, /* those of all instances but the receiver */
	WS_EDD_COUNT,
};

/* The sender of a demand report. */
struct ws_ed_demand_reporter {
	enum ws_ed_demand_source source;
	ws_id instance;
	ws_id zone;
};

struct ws_ed_demand {
	enum ws_ed_demand_source source;
	ws_id subject; /* instance or zone; 0: all others */
	ws_id zone; /* of the reporting instance */
	ws_us at; /* when the report arrived */
	double per_s;
	double fraction; /* of the global demand at that time */
};

/* Heartbeat rounds after which peers' demand has usually arrived. */
#define WS_ED_DEMAND_ROUNDS 3

struct ws_ed_bucket {
	ws_id customer;
	double rate; /* requests/s over all instances; 0: no limit */
	double burst;
	bool restarted; /* tokens spent before a restart are unknown */
	bool tracked; /* its demand is reported although it has no limit */
	double tokens;
	ws_us refilled_at;
	double demand; /* local arrivals per second, smoothed */
	ws_us demand_at; /* time of the last update of demand */
	/* Local demand at the last heartbeat rounds, newest first */
	double round_demand[WS_ED_DEMAND_ROUNDS];
	struct ws_ed_demand *peer_demands;
	size_t n_peer_demands;
	size_t cap_peer_demands;
	double global_demand; /* of all instances; updated by each tick */
	double share; /* fraction of the rate; updated by each tick */
};

struct ws_ed_quota {
	struct ws_ed_bucket *buckets;
	size_t n;
	size_t cap;
	size_t instances; /* number of those that share the rates */
	ws_us silent_after; /* a peer with older reports counts as silent */
	double usable_fraction; /* fraction of the rates that is given out */
	/* First heartbeat of the current round; 0: none received yet */
	ws_us round_started;
	double debt_s; /* debt of all instances, in seconds of the rate */
	double slack; /* requests that all instances may exceed a rate by */
	/* Fraction of the instances whose demand is known; 0: all */
	double coverage;
	bool restarted; /* the system ran before this process */
	ws_us started; /* when this process started */
};

void ws_ed_quota_free(struct ws_ed_quota *q);

/* Applies the rates of a configuration; existing buckets keep their tokens. */
void ws_ed_quota_configure(struct ws_ed_quota *q, ws_us now,
			   const struct ws_ed_conf *conf);

/* Tracks the demand of something without a rate limit, such as a service. */
void ws_ed_quota_track(struct ws_ed_quota *q, ws_us now, ws_id id);

/* Demand of all instances as of the last tick; 0: not tracked. */
double ws_ed_quota_global_demand(const struct ws_ed_quota *q, ws_id id);

/*
 * Counts an arrival and takes a token.
 * @return 0 if admitted, else the time until a token is expected
 */
ws_us ws_ed_quota_take(struct ws_ed_quota *q, ws_us now, ws_id customer);

/* Stores another instance's demand report for a customer. */
void ws_ed_quota_peer_demand(struct ws_ed_quota *q, ws_us now,
			     const struct ws_ed_demand_reporter *from,
			     ws_id customer, double per_s);

/*
 * Processes the arrival of a heartbeat: demand that its sender has not reported
 * for some rounds counts as zero.
 * @param period time between its heartbeats
 */
void ws_ed_quota_peer_heard(struct ws_ed_quota *q, ws_us now,
			    const struct ws_ed_demand_reporter *from,
			    ws_us period);

/*
 * Arrivals per second of a customer to report to another instance.
 * @param source whose arrivals the report covers
 * @param to the receiving instance
 * @param zone this instance's zone
 */
double ws_ed_quota_demand_for_peer(const struct ws_ed_quota *q, ws_us now,
				   ws_id customer,
				   enum ws_ed_demand_source source, ws_id to,
				   ws_id zone);

/* Local arrivals per second of a bucket, decayed to this time. */
double ws_ed_quota_own_demand(const struct ws_ed_bucket *b, ws_us now);

/*
 * Recomputes the shares.
 * @param report_period time until a demand reaches all other instances
 */
void ws_ed_quota_tick(struct ws_ed_quota *q, ws_us now, size_t instances,
		      ws_us report_period);

#endif
