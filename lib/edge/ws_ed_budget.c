#include <math.h>

#include "edge/ws_edge_int.h"

/*
 * Services as a whole: extra sendings that this instance may make, and demand
 * of all instances over the capacity of all servers.
 */

/* Part of the bound on extra sendings that is used. */
#define BUDGET_PART 0.75
/* Parts of the allowed ratio that a request earns at once, and for later. */
#define EARNED_PART 0.75
#define SAVED_PART 0.15
/* Time in which requests are counted for what may be saved. */
#define BUDGET_WINDOW (8 * WS_SECOND)
/* Makes the id of a service's demand, which no customer has. */
#define WATCH_SEED 0x57a7c4
/* Answers after which the work of a route's requests is known. */
#define WORK_KNOWN 4
#define WORK_GAIN 0.02
/* Load of all servers over their slots beyond which it is worked off. */
#define PILED_UP 1.5
/* Instances from which on the demand of all counts, and counts in full. */
#define SURVEY_FROM 24.0
#define SURVEY_WHOLE 120.0

/*
 * Of hundreds of instances each has about one sending of the slack. What the
 * requests of a window add beyond what is earned at once may be saved.
 */
static double budget_cap(const struct ws_edge *e, const struct ed_budget *b)
{
	double slack = e->set.bounds.retry_slack * BUDGET_PART /
		       (double)e->pool.instances;
	double saved =
		e->set.bounds.retry_ratio * SAVED_PART * b->recent_requests;

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
		.demand_id = ws_mix(service, WATCH_SEED),
	};
	b->tokens = budget_cap(e, b);
	ws_ed_quota_track(&e->quota, e->now, b->demand_id);
	return b;
}

void ws_ed_budget_learn_work(struct ws_edge *e, ws_id service,
			     const struct ws_ed_work_stats *w)
{
	struct ed_budget *b = ws_ed_budget_of(e, service);

	if (w->n_samples < WORK_KNOWN)
		return;
	if (b->service_time <= 0.0)
		b->service_time = w->service_time;
	b->service_time += WORK_GAIN * (w->service_time - b->service_time);
}

/*
 * Few instances know the servers' load well and need no estimate of it.
 * @return part from 0 to 1 by which the estimate counts
 */
static double survey_weight(const struct ws_edge *e)
{
	double n = (double)e->pool.instances;

	if (n <= SURVEY_FROM)
		return 0.0;
	return n >= SURVEY_WHOLE ?
		       1.0 :
		       (n - SURVEY_FROM) / (SURVEY_WHOLE - SURVEY_FROM);
}

/*
 * Demand over capacity. What has piled up at the servers is worked off first;
 * it also shows an overload while the work of requests is not known yet.
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
	return c.load > PILED_UP ? ratio * c.load / PILED_UP : ratio;
}

void ws_ed_budget_update_overload(struct ws_edge *e)
{
	double weight = survey_weight(e);
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
	b->tokens += e->set.bounds.retry_ratio * EARNED_PART;
	if (b->tokens > cap)
		b->tokens = cap;
}
