#include <math.h>

#include "edge/ws_edge_int.h"

/*
 * State per service: the retry budget (a token bucket for extra sends: retries
 * and hedges) and the overload (demand of all instances over the capacity of
 * all servers).
 */

/* Fraction of the bound on extra sends that is used. */
#define SLACK_FRACTION 0.75
/* Fraction of the retry ratio that a request adds to the tokens. */
#define EARNED_FRACTION 0.75
/* Fraction of the retry ratio by which a recent request raises the cap. */
#define SAVED_FRACTION 0.15
/* Time constant of the count of recent requests. */
#define BUDGET_WINDOW (8 * WS_SECOND)
/* Makes the id of a service's demand, which no customer has. */
#define DEMAND_ID_SEED 0x57a7c4
/* Samples from which on the service time of a route is used. */
#define SAMPLES_MIN 4
#define SERVICE_TIME_GAIN 0.02
/* Load per slot of all servers above which their backlog counts as overload. */
#define BACKLOG_LOAD 1.5
/*
 * Numbers of instances between which the weight of the overload estimate grows
 * from 0 to 1.
 */
#define ESTIMATE_FROM_INSTANCES 24.0
#define ESTIMATE_FULL_INSTANCES 120.0

/*
 * Most tokens that a budget may hold. With hundreds of instances the share of
 * the slack is about one send each, so recent requests raise the cap as well.
 */
static double budget_cap(const struct ws_edge *e, const struct ed_budget *b)
{
	double slack = e->set.bounds.retry_slack * SLACK_FRACTION /
		       (double)e->pool.instances;
	double saved =
		e->set.bounds.retry_ratio * SAVED_FRACTION * b->recent_requests;

	return slack + saved;
}

struct ed_budget *ws_ed_budget_of(struct ws_edge *e, ws_id service)
{
	struct ed_budget *b;
	size_t i;

	for (i = 0; i < e->n_budgets; i++)
		if (e->budgets[i].service == service)
			return &e->budgets[i];
	ws_grow(&e->budgets, &e->cap_budgets, e->n_budgets + 1,
		sizeof(*e->budgets));
	b = &e->budgets[e->n_budgets++];
	*b = (struct ed_budget){
		.service = service,
		.counted_at = e->now,
		.demand_id = ws_mix(service, DEMAND_ID_SEED),
	};
	b->tokens = budget_cap(e, b);
	ws_ed_quota_track(&e->quota, e->now, b->demand_id);
	return b;
}

void ws_ed_budget_learn_work(struct ws_edge *e, ws_id service,
			     const struct ws_ed_work_stats *w)
{
	struct ed_budget *b = ws_ed_budget_of(e, service);

	if (w->n_samples < SAMPLES_MIN)
		return;
	if (b->service_time <= 0.0)
		b->service_time = w->service_time;
	b->service_time +=
		SERVICE_TIME_GAIN * (w->service_time - b->service_time);
}

/*
 * Weight of the overload estimate, from 0 to 1. With few instances the load
 * reports of the servers are fresh enough to decide without it.
 */
static double estimate_weight(const struct ws_edge *e)
{
	double n = (double)e->pool.instances;

	if (n <= ESTIMATE_FROM_INSTANCES)
		return 0.0;
	return n >= ESTIMATE_FULL_INSTANCES ? 1.0 :
					      (n - ESTIMATE_FROM_INSTANCES) /
						      (ESTIMATE_FULL_INSTANCES -
						       ESTIMATE_FROM_INSTANCES);
}

/*
 * Demand over capacity, raised by the backlog at the servers, which has to be
 * served first. The backlog also shows an overload while the service time of
 * requests is still unknown.
 */
static double overload_of(const struct ws_edge *e, const struct ed_budget *b)
{
	double demand = ws_ed_quota_global_demand(&e->quota, b->demand_id);
	struct ws_ed_capacity c;
	double ratio = 1.0;

	ws_ed_pool_capacity(&e->pool, e->now, b->service, &c);
	if (c.slots <= 0.0)
		return 0.0;
	if (b->service_time > 0.0)
		ratio = demand * b->service_time /
			(c.slots * (double)WS_SECOND);
	return c.load > BACKLOG_LOAD ? ratio * c.load / BACKLOG_LOAD : ratio;
}

void ws_ed_budget_update_overload(struct ws_edge *e)
{
	double weight = estimate_weight(e);
	size_t i;

	for (i = 0; i < e->n_budgets; i++) {
		double ratio = overload_of(e, &e->budgets[i]);

		e->budgets[i].overload =
			ratio > 1.0 ? 1.0 + weight * (ratio - 1.0) : ratio;
	}
}

void ws_ed_budget_count_arrival(struct ws_edge *e, ws_id service)
{
	struct ed_budget *b = ws_ed_budget_of(e, service);
	double cap;

	ws_ed_quota_take(&e->quota, e->now, b->demand_id);

	b->recent_requests =
		1.0 +
		b->recent_requests * exp(-(double)(e->now - b->counted_at) /
					 (double)BUDGET_WINDOW);
	b->counted_at = e->now;
	cap = budget_cap(e, b);
	b->tokens += e->set.bounds.retry_ratio * EARNED_FRACTION;
	if (b->tokens > cap)
		b->tokens = cap;
}
