#ifndef WS_ED_QUOTA_H
#define WS_ED_QUOTA_H

#include "edge/ws_ed_conf.h"

/*
 * Rates of customers over all instances. Answers the pattern "one customer
 * sends many times its rate, and arrivals are uneven over the instances":
 * each instance has a token bucket whose part of the rate follows its part of
 * the demand, as the heartbeats tell it. While the demand of all instances is
 * well below the rate, a bucket may go into debt, so that chance bunches at
 * one instance are not refused.
 */

struct ws_ed_demand {
	ws_id peer; /* 0: free */
	ws_us at;
	double per_s;
};

struct ws_ed_bucket {
	ws_id customer;
	double rate; /* requests/s over all instances; 0: no limit */
	double burst;
	double tokens;
	ws_us filled;
	double demand; /* own arrivals per second, smoothed */
	ws_us demand_at;
	struct ws_ed_demand *peers;
	size_t n_peers;
	size_t cap_peers;
	double global; /* demand of all instances, per tick */
	double share; /* own part of the rate, per tick */
};

struct ws_ed_quota {
	struct ws_ed_bucket *buckets;
	size_t n;
	size_t cap;
	size_t instances; /* that share the rates */
	double debt; /* in seconds of the rate, all instances together */
	double slack; /* requests that all instances may be over, together */
};

void ws_ed_quota_free(struct ws_ed_quota *q);

/* Takes over the rates of a configuration; keeps levels of those that stay. */
void ws_ed_quota_configure(struct ws_ed_quota *q, ws_us now,
			   const struct ws_ed_conf *conf);

/*
 * Counts an arrival and takes a token.
 * @return 0, or the time in which a token may be expected
 */
ws_us ws_ed_quota_take(struct ws_ed_quota *q, ws_us now, ws_id customer);

/* Notes what a peer has told of a customer's arrivals. */
void ws_ed_quota_told(struct ws_ed_quota *q, ws_us now, ws_id peer,
		      ws_id customer, double per_s);

/* A peer has told all its demands; those not told are zero. */
void ws_ed_quota_heard(struct ws_ed_quota *q, ws_us now, ws_id peer);

/* Own smoothed arrivals per second of a bucket, at this time. */
double ws_ed_quota_demand(const struct ws_ed_bucket *b, ws_us now);

/*
 * Recomputes the parts.
 * @param told_every how often instances tell each other their demand
 */
void ws_ed_quota_tick(struct ws_ed_quota *q, ws_us now, size_t instances,
		      ws_us told_every);

#endif
