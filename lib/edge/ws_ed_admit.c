#include "edge/ws_ed_admit.h"

/* Part of what is left of the objective that the expectation may fill. */
#define IN_TIME_PART 0.9
/* Part of the objective that a request may wait here for a free place. */
#define WAIT_PART 0.12
/* A late request is sent up to this load, and below this part of its time. */
#define LATE_LOAD 2.2
#define LATE_PART 0.7
/* Beyond this part of its time a request can't be expected to be answered. */
#define HOPELESS_PART 1.1
/* A request is late when it takes this many times the expectation. */
#define HEDGE_FACTOR 1.7
#define HEDGE_MIN (20 * WS_MS)
/* Long after that it is taken for lost, also when the objective is missed. */
#define HEDGE_LOST_FACTOR 5.0
#define HEDGE_LOST_MIN (400 * WS_MS)
/* Only free servers take hedges, and failures keep a part of the budget. */
#define HEDGE_LOAD 0.85
#define HEDGE_BUDGET 2.0
/* Demand that is admitted, over the capacity; a little waits at servers. */
#define ADMITTED 1.05
/* A server that was as free as this some time ago still is. */
#define IDLE_LOAD 0.5
/* One that comes back is refused so many times less often. */
#define RETURNED_FACTOR 1.5
#define RETRY_MIN (40 * WS_MS)
#define RETRY_MAX (1 * WS_SECOND)

/* Tells whether a request is among those that do not fit. */
static bool is_beyond_capacity(const struct ws_ed_admit_input *o)
{
	double part;

	if (o->overload <= ADMITTED)
		return false;
	part = ADMITTED / o->overload;
	return o->random > (o->is_retry ? RETURNED_FACTOR * part : part);
}

enum ws_ed_admit_decision ws_ed_admit(const struct ws_ed_admit_input *o)
{
	if ((double)o->expected_latency >
		    HOPELESS_PART * (double)o->time_left &&
	    o->load > 1.0)
		return WS_ED_ADMIT_REFUSE;
	/* Once; what waits here was admitted. */
	if (!o->waited && o->load > IDLE_LOAD && is_beyond_capacity(o))
		return WS_ED_ADMIT_REFUSE;
	if (o->load <= 1.0)
		return WS_ED_ADMIT_SEND;
	if ((double)o->expected_latency <=
	    IN_TIME_PART * (double)o->objective_left)
		return WS_ED_ADMIT_SEND;
	if ((double)o->waited < WAIT_PART * (double)o->objective)
		return WS_ED_ADMIT_WAIT;
	if (o->load <= LATE_LOAD &&
	    (double)o->expected_latency <= LATE_PART * (double)o->time_left)
		return WS_ED_ADMIT_SEND;
	return WS_ED_ADMIT_REFUSE;
}

ws_us ws_ed_admit_retry_after(const struct ws_ed_admit_input *o, double spread)
{
	double ahead = o->load > 1.0 ? (double)o->expected_latency *
					       (o->load - 1.0) / o->load :
				       0.0;
	ws_us time = (ws_us)(ahead * (0.6 + 0.8 * spread));

	if (time < RETRY_MIN)
		time = RETRY_MIN + (ws_us)(spread * (double)RETRY_MIN);
	return time < RETRY_MAX ? time : RETRY_MAX;
}

bool ws_ed_hedge(const struct ws_ed_hedge *h)
{
	ws_us late = (ws_us)(HEDGE_FACTOR * (double)h->first_expected);
	ws_us lost = (ws_us)(HEDGE_LOST_FACTOR * (double)h->first_expected);

	if (late < HEDGE_MIN)
		late = HEDGE_MIN;
	if (lost < HEDGE_LOST_MIN)
		lost = HEDGE_LOST_MIN;
	if (h->elapsed < late || h->budget < HEDGE_BUDGET ||
	    h->load > HEDGE_LOAD)
		return false;
	if (h->expected_latency < h->objective_left)
		return true;
	return h->elapsed >= lost && h->expected_latency < h->time_left;
}
