#include "edge/ws_ed_admit.h"

/*
 * A request is in time if the expected latency is within this fraction of the
 * time left until the objective.
 */
#define IN_TIME_FRACTION 0.9
/* Fraction of the objective that a request may be queued for a free slot. */
#define WAIT_FRACTION 0.12
/*
 * A late request is sent only up to this load, and only if the expected latency
 * is within this fraction of the time left until the deadline.
 */
#define LATE_LOAD_MAX 2.2
#define LATE_FRACTION 0.7
/*
 * A request is refused if the expected latency exceeds the time left until the
 * deadline by this factor.
 */
#define DEADLINE_MISS_FACTOR 1.1
/* A request is hedged after this multiple of its expected latency. */
#define HEDGE_FACTOR 1.7
#define HEDGE_MIN (20 * WS_MS)
/*
 * After this multiple it counts as lost, and is hedged even if the objective
 * can't be met any more.
 */
#define HEDGE_LOST_FACTOR 5.0
#define HEDGE_LOST_MIN (400 * WS_MS)
/* Hedges go to servers with free slots only. */
#define HEDGE_LOAD_MAX 0.85
/* Hedges leave a part of the retry budget for retries after failures. */
#define HEDGE_BUDGET_MIN 2.0
/* Admitted demand over capacity; above 1, as a little may queue at servers. */
#define ADMITTED_RATIO 1.05
/* A load report below this is trusted although it is stale. */
#define IDLE_LOAD 0.5
/* Retries of callers are admitted this many times as often. */
#define CALLER_RETRY_FACTOR 1.5
#define RETRY_AFTER_MIN (40 * WS_MS)
#define RETRY_AFTER_MAX (1 * WS_SECOND)

/* Draws whether a request is in the share that exceeds the capacity. */
static bool is_beyond_capacity(const struct ws_ed_admit_input *in)
{
	double admitted;

	if (in->overload <= ADMITTED_RATIO)
		return false;
	admitted = ADMITTED_RATIO / in->overload;
	return in->random >
	       (in->is_retry ? CALLER_RETRY_FACTOR * admitted : admitted);
}

enum ws_ed_admit_decision ws_ed_admit(const struct ws_ed_admit_input *in)
{
	if ((double)in->expected_latency >
		    DEADLINE_MISS_FACTOR * (double)in->time_left &&
	    in->load > 1.0)
		return WS_ED_ADMIT_REFUSE;
	/* Drawn once only: a queued request has already been admitted. */
	if (!in->waited && in->load > IDLE_LOAD && is_beyond_capacity(in))
		return WS_ED_ADMIT_REFUSE;
	if (in->load <= 1.0)
		return WS_ED_ADMIT_SEND;
	if ((double)in->expected_latency <=
	    IN_TIME_FRACTION * (double)in->objective_left)
		return WS_ED_ADMIT_SEND;
	if ((double)in->waited < WAIT_FRACTION * (double)in->objective)
		return WS_ED_ADMIT_WAIT;
	if (in->load <= LATE_LOAD_MAX &&
	    (double)in->expected_latency <=
		    LATE_FRACTION * (double)in->time_left)
		return WS_ED_ADMIT_SEND;
	return WS_ED_ADMIT_REFUSE;
}

ws_us ws_ed_admit_retry_after(const struct ws_ed_admit_input *in, double jitter)
{
	double queue_time = in->load > 1.0 ?
				    (double)in->expected_latency *
					    (in->load - 1.0) / in->load :
				    0.0;
	ws_us time = (ws_us)(queue_time * (0.6 + 0.8 * jitter));

	if (time < RETRY_AFTER_MIN)
		time = RETRY_AFTER_MIN +
		       (ws_us)(jitter * (double)RETRY_AFTER_MIN);
	return time < RETRY_AFTER_MAX ? time : RETRY_AFTER_MAX;
}

bool ws_ed_hedge(const struct ws_ed_hedge *h)
{
	ws_us late = (ws_us)(HEDGE_FACTOR * (double)h->first_expected);
	ws_us lost = (ws_us)(HEDGE_LOST_FACTOR * (double)h->first_expected);

	if (late < HEDGE_MIN)
		late = HEDGE_MIN;
	if (lost < HEDGE_LOST_MIN)
		lost = HEDGE_LOST_MIN;
	if (h->elapsed < late || h->budget < HEDGE_BUDGET_MIN ||
	    h->load > HEDGE_LOAD_MAX)
		return false;
	if (h->expected_latency < h->objective_left)
		return true;
	return h->elapsed >= lost && h->expected_latency < h->time_left;
}
