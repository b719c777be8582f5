#include "edge/ws_ed_quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constant of the demand: a few heartbeats. */
#define DEMAND_TAU (0.7 * (double)WS_SECOND)
/* Demand reports older than this are discarded. */
#define REPORT_AGE_MAX (20 * WS_SECOND)
/* Any demand above zero is reported at least once in this many heartbeats. */
#define REPORT_ROUNDS_MAX 8
/* An instance that reports nothing for this many rounds is silent. */
#define SILENT_ROUNDS 4
/*
 * If demands are reported at longer intervals than this, shares may add up to
 * more than 1 while a demand changes; a part of the rate is reserved for that.
 */
#define SLOW_REPORT_PERIOD (300 * WS_MS)
#define SLOW_REPORT_FRACTION 0.95
/* Time after a change of relay for which older reports count as well. */
#define RELAY_CHANGE_OVERLAP (2 * WS_SECOND)
/*
 * Debt is allowed while the global demand is below this fraction of the rate.
 */
#define DEBT_DEMAND_FRACTION 1.0
/* Debt that all instances together may run up, in seconds of the rate. */
#define DEBT_S 0.4
#define DEBT_REPORT_PERIOD (150 * WS_MS)
#define DEBT_MIN_S 0.25
/* Reports of peers are recent if a round began within this time. */
#define ROUND_AGE_MAX (1 * WS_SECOND)
/* Silent instances together keep at most this fraction of a rate. */
#define SILENT_FRACTION_MAX 0.95
/*
 * Fraction of the rate that is split evenly, so that the first requests at an
 * instance find tokens.
 */
#define EVEN_FRACTION 0.1
/* Fraction of the allowed slack that is used. */
#define SLACK_FRACTION 0.9
/* Fraction of the used slack that is split by demand. */
#define SLACK_BY_DEMAND 0.5
/*
 * Fraction of the burst that is given out after a restart. Two restarts may
 * fall into one window of the limit, which may be exceeded by a tenth. A bucket
 * whose share of the burst is below one token gets one token all the same, as
 * the requests of such a customer arrive at few instances.
 */
#define RESTART_BURST_FRACTION 0.15
#define RETRY_AFTER_MIN (50 * WS_MS)
/*
 * Local demand up to a few requests counts at once, without waiting until
 * reports of peers are as recent.
 */
#define SMALL_DEMAND (2.0 * (double)WS_SECOND / DEMAND_TAU)

void ws_ed_quota_free(struct ws_ed_quota *q)
{
	size_t i;

	for (i = 0; i < q->n; i++)
		free(q->buckets[i].peer_demands);
	free(q->buckets);
	memset(q, 0, sizeof(*q));
}

static struct ws_ed_bucket *find(const struct ws_ed_quota *q, ws_id customer)
{
	size_t i;

	for (i = 0; i < q->n; i++)
		if (q->buckets[i].customer == customer)
			return &q->buckets[i];
	return NULL;
}

static double capacity_of(const struct ws_ed_bucket *b)
{
	return b->burst * b->share > 1.0 ? b->burst * b->share : 1.0;
}

static struct ws_ed_bucket *find_or_add(struct ws_ed_quota *q, ws_us now,
					ws_id id)
{
	struct ws_ed_bucket *b = find(q, id);

	if (b)
		return b;
	ws_grow(&q->buckets, &q->cap, q->n + 1, sizeof(*q->buckets));
	b = &q->buckets[q->n++];
	memset(b, 0, sizeof(*b));
	b->customer = id;
	b->refilled_at = now;
	b->demand_at = now;
	return b;
}

void ws_ed_quota_track(struct ws_ed_quota *q, ws_us now, ws_id id)
{
	find_or_add(q, now, id)->tracked = true;
}

double ws_ed_quota_global_demand(const struct ws_ed_quota *q, ws_id id)
{
	const struct ws_ed_bucket *b = find(q, id);

	return b ? b->global_demand : 0.0;
}

void ws_ed_quota_configure(struct ws_ed_quota *q, ws_us now,
			   const struct ws_ed_conf *conf)
{
	size_t i;

	for (i = 0; i < conf->n_customers; i++) {
		const struct ws_ed_customer *c = &conf->customers[i];
		size_t known = q->n;
		struct ws_ed_bucket *b = find_or_add(q, now, c->id);

		if (q->n > known)
			b->restarted = q->restarted;
		b->rate = c->rate;
		b->burst = c->burst;
	}
}

double ws_ed_quota_own_demand(const struct ws_ed_bucket *b, ws_us now)
{
	return b->demand * exp(-(double)(now - b->demand_at) / DEMAND_TAU);
}

static void count_arrival(struct ws_ed_bucket *b, ws_us now)
{
	b->demand =
		ws_ed_quota_own_demand(b, now) + (double)WS_SECOND / DEMAND_TAU;
	b->demand_at = now;
}

static void refill(struct ws_ed_bucket *b, double usable_fraction, ws_us now)
{
	double cap = capacity_of(b);

	b->tokens += b->rate * usable_fraction * b->share *
		     (double)(now - b->refilled_at) / (double)WS_SECOND;
	b->refilled_at = now;
	if (b->tokens > cap)
		b->tokens = cap;
}

/*
 * Sets the first tokens of a bucket. If all instances restart at once, their
 * buckets must not give out the burst a second time; what was spent before has
 * been regained since the start, whenever the customer's configuration is read.
 */
static void fill_first(const struct ws_ed_quota *q, struct ws_ed_bucket *b,
		       ws_us now)
{
	double cap = capacity_of(b);

	b->tokens = cap;
	if (!b->restarted || cap <= 1.0)
		return;
	b->tokens = RESTART_BURST_FRACTION * cap;
	b->refilled_at = q->started;
	refill(b, q->usable_fraction, now);
}

/* Without recent reports the global demand may exceed the rate unnoticed. */
static bool has_recent_reports(const struct ws_ed_quota *q, ws_us now)
{
	return q->instances <= 1 || now - q->round_started < ROUND_AGE_MAX;
}

/*
 * This instance's part of the slack. Some of it is split by demand, as a
 * customer's requests arrive at few of hundreds of instances, and the rest
 * evenly, for instances with little demand so far.
 */
static double slack_of(const struct ws_ed_quota *q,
		       const struct ws_ed_bucket *b)
{
	double even = 1.0 / (double)q->instances;

	return q->slack * SLACK_FRACTION *
	       (SLACK_BY_DEMAND * b->share + (1.0 - SLACK_BY_DEMAND) * even);
}

ws_us ws_ed_quota_take(struct ws_ed_quota *q, ws_us now, ws_id customer)
{
	struct ws_ed_bucket *b = find(q, customer);
	double min_tokens = 1.0;
	double wait;

	if (!b)
		return 0;
	count_arrival(b, now);
	if (b->rate <= 0.0)
		return 0;
	refill(b, q->usable_fraction, now);
	if (b->global_demand < DEBT_DEMAND_FRACTION * b->rate &&
	    has_recent_reports(q, now))
		min_tokens -= q->debt_s * b->rate * b->share + slack_of(q, b);
	if (b->tokens >= min_tokens) {
		b->tokens -= 1.0;
		return 0;
	}
	wait = (min_tokens - b->tokens) / (b->rate * b->share + 1e-9);
	if (wait > 1.0)
		wait = 1.0;
	return RETRY_AFTER_MIN + (ws_us)(wait * (double)WS_SECOND);
}

static ws_id subject_of(const struct ws_ed_demand_reporter *from)
{
	switch (from->source) {
	case WS_EDD_INSTANCE:
		return from->instance;
	case WS_EDD_ZONE:
		return from->zone;
	default:
		return 0;
	}
}

/* Whether a new sum includes an older report, which would count twice. */
static bool covers(const struct ws_ed_demand_reporter *from,
		   const struct ws_ed_demand *d, ws_us now)
{
	if (from->source == WS_EDD_ZONE)
		return d->source == WS_EDD_INSTANCE && d->zone == from->zone;
	return from->source == WS_EDD_OTHERS && d->source != WS_EDD_OTHERS &&
	       now - d->at > RELAY_CHANGE_OVERLAP;
}

static void drop_covered(struct ws_ed_bucket *b,
			 const struct ws_ed_demand_reporter *from, ws_us now)
{
	size_t i = 0;

	while (i < b->n_peer_demands) {
		if (covers(from, &b->peer_demands[i], now))
			b->peer_demands[i] =
				b->peer_demands[--b->n_peer_demands];
		else
			i++;
	}
}

static struct ws_ed_demand *
find_demand(const struct ws_ed_bucket *b,
	    const struct ws_ed_demand_reporter *from)
{
	ws_id of = subject_of(from);
	size_t i;

	for (i = 0; i < b->n_peer_demands; i++)
		if (b->peer_demands[i].source == from->source &&
		    b->peer_demands[i].subject == of)
			return &b->peer_demands[i];
	return NULL;
}

void ws_ed_quota_peer_demand(struct ws_ed_quota *q, ws_us now,
			     const struct ws_ed_demand_reporter *from,
			     ws_id customer, double per_s)
{
	struct ws_ed_bucket *b = find(q, customer);
	struct ws_ed_demand *d;

	if (!b)
		return;
	drop_covered(b, from, now);
	d = find_demand(b, from);
	if (!d) {
		ws_grow(&b->peer_demands, &b->cap_peer_demands,
			b->n_peer_demands + 1, sizeof(*b->peer_demands));
		d = &b->peer_demands[b->n_peer_demands++];
	}
	*d = (struct ws_ed_demand){
		.source = from->source,
		.subject = subject_of(from),
		.zone = from->zone,
		.at = now,
		.per_s = per_s,
		.fraction = b->global_demand > per_s ?
				    per_s / b->global_demand :
				    1.0,
	};
}

/* Starts a heartbeat round and records the local demand at its start. */
static void begin_round(struct ws_ed_quota *q, ws_us now)
{
	size_t i;

	q->round_started = now;
	for (i = 0; i < q->n; i++) {
		struct ws_ed_bucket *b = &q->buckets[i];

		memmove(&b->round_demand[1], &b->round_demand[0],
			(WS_ED_DEMAND_ROUNDS - 1) * sizeof(b->round_demand[0]));
		b->round_demand[0] = ws_ed_quota_own_demand(b, now);
	}
}

/* Local demand of the same age as the reports of peers. */
static double aged_demand(const struct ws_ed_bucket *b, ws_us now)
{
	double own = ws_ed_quota_own_demand(b, now);
	double aged = b->round_demand[WS_ED_DEMAND_ROUNDS - 1];

	if (own > SMALL_DEMAND)
		own = SMALL_DEMAND;
	/* The smaller estimate would leave a part of the rate unused. */
	return own > aged ? own : aged;
}

void ws_ed_quota_peer_heard(struct ws_ed_quota *q, ws_us now,
			    const struct ws_ed_demand_reporter *from,
			    ws_us period)
{
	size_t i;

	if (now - q->round_started >= period - period / 8)
		begin_round(q, now);

	for (i = 0; i < q->n; i++) {
		struct ws_ed_demand *d = find_demand(&q->buckets[i], from);

		if (d && now - d->at > REPORT_ROUNDS_MAX * period) {
			d->per_s = 0.0;
			d->fraction = 0.0;
		}
	}
}

static void drop_old(struct ws_ed_bucket *b, ws_us now)
{
	size_t i = 0;

	while (i < b->n_peer_demands)
		if (now - b->peer_demands[i].at > REPORT_AGE_MAX)
			b->peer_demands[i] =
				b->peer_demands[--b->n_peer_demands];
		else
			i++;
}

/* Sum of demands, with silent instances kept apart. */
struct demand_sum {
	double recent;
	double silent; /* as last reported */
	double silent_fraction; /* of the global demand, as last reported */
};

static void add_demand(struct demand_sum *s, const struct ws_ed_quota *q,
		       const struct ws_ed_demand *d, ws_us now)
{
	if (now - d->at <= q->silent_after) {
		s->recent += d->per_s;
		return;
	}
	s->silent += d->per_s;
	s->silent_fraction += d->fraction;
}

/* Total demand in which silent instances keep their fraction. */
static double total_demand(const struct demand_sum *s)
{
	double silent_fraction = s->silent_fraction < SILENT_FRACTION_MAX ?
					 s->silent_fraction :
					 SILENT_FRACTION_MAX;
	double kept = s->recent * silent_fraction / (1.0 - silent_fraction);

	return s->recent + (kept > s->silent ? kept : s->silent);
}

/*
 * Global demand: the local one plus the reports of each instance and zone, or
 * plus a relay's report for all others, whichever is larger.
 */
static double global_demand_of(const struct ws_ed_quota *q,
			       const struct ws_ed_bucket *b, double own,
			       ws_us now)
{
	struct demand_sum each = { .recent = own };
	struct demand_sum others = { .recent = own };
	double sum;
	double relayed;
	size_t i;

	for (i = 0; i < b->n_peer_demands; i++) {
		const struct ws_ed_demand *d = &b->peer_demands[i];

		add_demand(d->source == WS_EDD_OTHERS ? &others : &each, q, d,
			   now);
	}
	sum = total_demand(&each);
	relayed = total_demand(&others);
	return sum > relayed ? sum : relayed;
}

double ws_ed_quota_demand_for_peer(const struct ws_ed_quota *q, ws_us now,
				   ws_id customer,
				   enum ws_ed_demand_source source, ws_id to,
				   ws_id zone)
{
	const struct ws_ed_bucket *b = find(q, customer);
	struct demand_sum sum;
	size_t i;

	if (!b)
		return 0.0;
	sum = (struct demand_sum){ .recent = ws_ed_quota_own_demand(b, now) };
	for (i = 0; source != WS_EDD_INSTANCE && i < b->n_peer_demands; i++) {
		const struct ws_ed_demand *d = &b->peer_demands[i];
		bool own_zone = d->source == WS_EDD_INSTANCE && d->zone == zone;

		if (d->source == WS_EDD_OTHERS || d->subject == to)
			continue;
		if (own_zone || source == WS_EDD_OTHERS)
			add_demand(&sum, q, d, now);
	}
	return total_demand(&sum);
}

void ws_ed_quota_tick(struct ws_ed_quota *q, ws_us now, size_t instances,
		      ws_us report_period)
{
	size_t i;

	q->instances = instances;
	q->silent_after = SILENT_ROUNDS * report_period;
	if (q->silent_after < ROUND_AGE_MAX)
		q->silent_after = ROUND_AGE_MAX;
	q->usable_fraction =
		report_period > SLOW_REPORT_PERIOD ? SLOW_REPORT_FRACTION : 1.0;
	/* The less often demands are reported, the later a surge is noticed. */
	q->debt_s = report_period > DEBT_REPORT_PERIOD ?
			    DEBT_S * (double)DEBT_REPORT_PERIOD /
				    (double)report_period :
			    DEBT_S;
	if (q->debt_s < DEBT_MIN_S)
		q->debt_s = DEBT_MIN_S;
	for (i = 0; i < q->n; i++) {
		struct ws_ed_bucket *b = &q->buckets[i];
		double own = aged_demand(b, now);
		double even = EVEN_FRACTION / (double)instances;
		double part;
		double sum;
		bool first = b->share <= 0.0;

		refill(b, q->usable_fraction, now);
		drop_old(b, now);
		sum = global_demand_of(q, b, own, now);
		/* Assume that the other instances have the same mean demand. */
		if (q->coverage > 0.0)
			sum /= q->coverage;
		/* Before the first report, assume equal demand everywhere. */
		part = sum > 0.01 && (q->round_started || instances == 1) ?
			       own / sum :
			       1.0 / (double)instances;
		b->global_demand = sum - own + ws_ed_quota_own_demand(b, now);
		b->share = (1.0 - EVEN_FRACTION) * part + even;
		if (first)
			fill_first(q, b, now);
	}
}
