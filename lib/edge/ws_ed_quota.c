#include "edge/ws_ed_quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constant of the demand: a few heartbeats. */
#define DEMAND_TAU (0.7 * (double)WS_SECOND)
/* Demand told longer ago than this counts as unknown. */
#define TOLD_MAX (20 * WS_SECOND)
/* Each demand above zero is told once in so many heartbeats at least. */
#define TOLD_ROUNDS 8
/* One that has told nothing for so many rounds is silent. */
#define SILENT_ROUNDS 4
/*
 * Where demands are told more rarely than this, a part of the rate is left for
 * parts that add up to more than one while a demand changes.
 */
#define RARE_TOLD (300 * WS_MS)
#define RARE_PART 0.95
/* After a change of relay, what others told before counts so long beside it. */
#define OVERLAP (2 * WS_SECOND)
/* Below this part of the rate the global demand leaves room for debt. */
#define CALM_PART 1.0
/* Debt that all instances may run up together, in seconds of the rate. */
#define DEBT_S 0.4
#define DEBT_TOLD (150 * WS_MS)
#define DEBT_MIN_S 0.25
/* Others were heard within this time. */
#define NEWS_MAX (1 * WS_SECOND)
/* Silent instances keep at most this part of a rate together. */
#define PARTS_MAX 0.95
/* Part of the rate that is split evenly, so that a new caller finds tokens. */
#define EVEN_PART 0.1
/* Part of the allowed slack that is used. */
#define SLACK_PART 0.9
/* Part of that which goes with the demand. */
#define SLACK_BY_DEMAND 0.5
/*
 * Part of the burst that is given out after a restart, of which two may come in
 * a window that may be over by a tenth; one token where the burst is
 * less than a request an instance, as such a customer's callers come to few.
 */
#define RESTART_PART 0.15
#define RETRY_MIN (50 * WS_MS)
/* A demand of a few requests counts at once, also when others were not heard.
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

static double cap_of(const struct ws_ed_bucket *b)
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
	q->restarted = false;
}

/*
 * Tokens to begin with. Where all instances restart at once, their buckets
 * must not give out the burst a second time.
 */
static double first_tokens(const struct ws_ed_bucket *b)
{
	double cap = cap_of(b);

	return b->restarted && cap > 1.0 ? RESTART_PART * cap : cap;
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

static void refill(struct ws_ed_bucket *b, double used, ws_us now)
{
	double cap = cap_of(b);

	b->tokens += b->rate * used * b->share *
		     (double)(now - b->refilled_at) / (double)WS_SECOND;
	b->refilled_at = now;
	if (b->tokens > cap)
		b->tokens = cap;
}

/* Without news of others there is no telling that their demand is calm. */
static bool hears_others(const struct ws_ed_quota *q, ws_us now)
{
	return q->instances <= 1 || now - q->round_started < NEWS_MAX;
}

/*
 * Own part of the slack: one part goes with the demand, as the callers of a
 * customer come to few of hundreds of instances, the other is even, for those
 * that have little demand yet.
 */
static double slack_of(const struct ws_ed_quota *q,
		       const struct ws_ed_bucket *b)
{
	double even = 1.0 / (double)q->instances;

	return q->slack * SLACK_PART *
	       (SLACK_BY_DEMAND * b->share + (1.0 - SLACK_BY_DEMAND) * even);
}

ws_us ws_ed_quota_take(struct ws_ed_quota *q, ws_us now, ws_id customer)
{
	struct ws_ed_bucket *b = find(q, customer);
	double floor = 1.0;
	double wait;

	if (!b)
		return 0;
	count_arrival(b, now);
	if (b->rate <= 0.0)
		return 0;
	refill(b, q->usable_fraction, now);
	if (b->global_demand < CALM_PART * b->rate && hears_others(q, now))
		floor -= q->debt_s * b->rate * b->share + slack_of(q, b);
	if (b->tokens >= floor) {
		b->tokens -= 1.0;
		return 0;
	}
	wait = (floor - b->tokens) / (b->rate * b->share + 1e-9);
	if (wait > 1.0)
		wait = 1.0;
	return RETRY_MIN + (ws_us)(wait * (double)WS_SECOND);
}

static ws_id subject_of(const struct ws_ed_demand_reporter *t)
{
	switch (t->source) {
	case WS_EDD_INSTANCE:
		return t->instance;
	case WS_EDD_ZONE:
		return t->zone;
	default:
		return 0;
	}
}

/* Tells whether a new sum covers an entry, which must not count twice. */
static bool covers(const struct ws_ed_demand_reporter *t,
		   const struct ws_ed_demand *d, ws_us now)
{
	if (t->source == WS_EDD_ZONE)
		return d->source == WS_EDD_INSTANCE && d->zone == t->zone;
	return t->source == WS_EDD_OTHERS && d->source != WS_EDD_OTHERS &&
	       now - d->at > OVERLAP;
}

static void drop_covered(struct ws_ed_bucket *b,
			 const struct ws_ed_demand_reporter *t, ws_us now)
{
	size_t i = 0;

	while (i < b->n_peer_demands) {
		if (covers(t, &b->peer_demands[i], now))
			b->peer_demands[i] =
				b->peer_demands[--b->n_peer_demands];
		else
			i++;
	}
}

static struct ws_ed_demand *find_demand(const struct ws_ed_bucket *b,
					const struct ws_ed_demand_reporter *t)
{
	ws_id of = subject_of(t);
	size_t i;

	for (i = 0; i < b->n_peer_demands; i++)
		if (b->peer_demands[i].source == t->source &&
		    b->peer_demands[i].subject == of)
			return &b->peer_demands[i];
	return NULL;
}

void ws_ed_quota_peer_demand(struct ws_ed_quota *q, ws_us now,
			     const struct ws_ed_demand_reporter *t,
			     ws_id customer, double per_s)
{
	struct ws_ed_bucket *b = find(q, customer);
	struct ws_ed_demand *d;

	if (!b)
		return;
	drop_covered(b, t, now);
	d = find_demand(b, t);
	if (!d) {
		ws_grow(&b->peer_demands, &b->cap_peer_demands,
			b->n_peer_demands + 1, sizeof(*b->peer_demands));
		d = &b->peer_demands[b->n_peer_demands++];
	}
	*d = (struct ws_ed_demand){
		.source = t->source,
		.subject = subject_of(t),
		.zone = t->zone,
		.at = now,
		.per_s = per_s,
		.fraction = b->global_demand > per_s ?
				    per_s / b->global_demand :
				    1.0,
	};
}

/* A new round of heartbeats is heard: what others tell is news again. */
static void begin_round(struct ws_ed_quota *q, ws_us now)
{
	size_t i;

	q->round_started = now;
	for (i = 0; i < q->n; i++) {
		struct ws_ed_bucket *b = &q->buckets[i];

		memmove(&b->heard_demand[1], &b->heard_demand[0],
			(WS_ED_HEARD_ROUNDS - 1) * sizeof(b->heard_demand[0]));
		b->heard_demand[0] = ws_ed_quota_own_demand(b, now);
	}
}

/* Own demand that is as old as what others have told. */
static double settled_demand(const struct ws_ed_bucket *b, ws_us now)
{
	double own = ws_ed_quota_own_demand(b, now);
	double heard = b->heard_demand[WS_ED_HEARD_ROUNDS - 1];

	if (own > SMALL_DEMAND)
		own = SMALL_DEMAND;
	/* The lesser of two estimates would leave a part of the rate unused. */
	return own > heard ? own : heard;
}

void ws_ed_quota_peer_heard(struct ws_ed_quota *q, ws_us now,
			    const struct ws_ed_demand_reporter *t, ws_us period)
{
	size_t i;

	if (now - q->round_started >= period - period / 8)
		begin_round(q, now);

	for (i = 0; i < q->n; i++) {
		struct ws_ed_demand *d = find_demand(&q->buckets[i], t);

		if (d && now - d->at > TOLD_ROUNDS * period) {
			d->per_s = 0.0;
			d->fraction = 0.0;
		}
	}
}

static void drop_old(struct ws_ed_bucket *b, ws_us now)
{
	size_t i = 0;

	while (i < b->n_peer_demands)
		if (now - b->peer_demands[i].at > TOLD_MAX)
			b->peer_demands[i] =
				b->peer_demands[--b->n_peer_demands];
		else
			i++;
}

/* A sum of demands, of those heard and of those that are silent. */
struct demand_sum {
	double heard;
	double silent; /* as it was told */
	double parts; /* of all demand, that the silent ones had */
};

static void add_demand(struct demand_sum *s, const struct ws_ed_quota *q,
		       const struct ws_ed_demand *d, ws_us now)
{
	if (now - d->at <= q->silent_after) {
		s->heard += d->per_s;
		return;
	}
	s->silent += d->per_s;
	s->parts += d->fraction;
}

/* Demand at which the silent ones keep their parts, beside what is heard. */
static double whole_sum(const struct demand_sum *s)
{
	double parts = s->parts < PARTS_MAX ? s->parts : PARTS_MAX;
	double kept = s->heard * parts / (1.0 - parts);

	return s->heard + (kept > s->silent ? kept : s->silent);
}

/* Demand of all: own and what each other told, or what a relay told of all. */
static double all_demand(const struct ws_ed_quota *q,
			 const struct ws_ed_bucket *b, double own, ws_us now)
{
	struct demand_sum each = { .heard = own };
	struct demand_sum rest = { .heard = own };
	double sum;
	double relayed;
	size_t i;

	for (i = 0; i < b->n_peer_demands; i++) {
		const struct ws_ed_demand *d = &b->peer_demands[i];

		add_demand(d->source == WS_EDD_OTHERS ? &rest : &each, q, d,
			   now);
	}
	sum = whole_sum(&each);
	relayed = whole_sum(&rest);
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
	sum = (struct demand_sum){ .heard = ws_ed_quota_own_demand(b, now) };
	for (i = 0; source != WS_EDD_INSTANCE && i < b->n_peer_demands; i++) {
		const struct ws_ed_demand *d = &b->peer_demands[i];
		bool near = d->source == WS_EDD_INSTANCE && d->zone == zone;

		if (d->source == WS_EDD_OTHERS || d->subject == to)
			continue;
		if (near || source == WS_EDD_OTHERS)
			add_demand(&sum, q, d, now);
	}
	return whole_sum(&sum);
}

void ws_ed_quota_tick(struct ws_ed_quota *q, ws_us now, size_t instances,
		      ws_us told_every)
{
	size_t i;

	q->instances = instances;
	q->silent_after = SILENT_ROUNDS * told_every;
	if (q->silent_after < NEWS_MAX)
		q->silent_after = NEWS_MAX;
	q->usable_fraction = told_every > RARE_TOLD ? RARE_PART : 1.0;
	/* A surge is noticed late where demands are told seldom. */
	q->debt_s = told_every > DEBT_TOLD ?
			    DEBT_S * (double)DEBT_TOLD / (double)told_every :
			    DEBT_S;
	if (q->debt_s < DEBT_MIN_S)
		q->debt_s = DEBT_MIN_S;
	for (i = 0; i < q->n; i++) {
		struct ws_ed_bucket *b = &q->buckets[i];
		double own = settled_demand(b, now);
		double even = EVEN_PART / (double)instances;
		double part;
		double sum;
		bool first = b->share <= 0.0;

		refill(b, q->usable_fraction, now);
		drop_old(b, now);
		sum = all_demand(q, b, own, now);
		/* Those not heard yet have as much as those that are. */
		if (q->coverage > 0.0)
			sum /= q->coverage;
		/* Before others were heard, theirs may be as much as this. */
		part = sum > 0.01 && (q->round_started || instances == 1) ?
			       own / sum :
			       1.0 / (double)instances;
		b->global_demand = sum - own + ws_ed_quota_own_demand(b, now);
		b->share = (1.0 - EVEN_PART) * part + even;
		if (first)
			b->tokens = first_tokens(b);
	}
}
