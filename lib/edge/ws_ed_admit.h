#ifndef WS_ED_ADMIT_H
#define WS_ED_ADMIT_H

#include "common/ws_common.h"

/*
 * Whether a request is sent, waits or is refused. Answers the pattern "more
 * arrives than the servers can answer in time": a request is sent while it is
 * expected to meet its latency objective; beyond that a short wait here lets
 * places become free; after that it is sent late only where this delays few
 * others, and else refused at once, with the time when it may come back.
 *
 * Where hundreds of instances share the servers, what one knows of their load
 * is old: all would refuse and all would send at the same time. So an instance
 * refuses a part of the requests beforehand, by chance, as far as the demand
 * of all instances is beyond the capacity of all servers.
 */

struct ws_ed_admit_input {
	ws_us time_left; /* until the deadline */
	ws_us objective_left; /* until the objective; negative: missed */
	ws_us objective; /* what was left of it on arrival */
	ws_us waited;
	ws_us expected_latency; /* time to the answer at the best server */
	double load; /* of that server with this request, over its slots */
	double overload; /* demand of all over the servers' capacity; 0: unknown
			  */
	double random; /* a random number from 0 to 1 */
	bool is_retry; /* it was refused before */
};

enum ws_ed_admit_decision {
	WS_ED_ADMIT_SEND = 1,
	WS_ED_ADMIT_WAIT,
	WS_ED_ADMIT_REFUSE,
};

enum ws_ed_admit_decision ws_ed_admit(const struct ws_ed_admit_input *o);

/*
 * When a refused request may come back: about when the server has worked off
 * what is ahead, spread so that refused requests do not return together.
 * @param spread a random number from 0 to 1
 */
ws_us ws_ed_admit_retry_after(const struct ws_ed_admit_input *o, double spread);

/*
 * Whether a request that is still at a server should be sent to a second one.
 * Answers the pattern "a machine turns slow, or a connection goes silent,
 * while a request is on it".
 */
struct ws_ed_hedge {
	ws_us elapsed; /* since it was sent */
	ws_us first_expected; /* time to the answer, on sending */
	ws_us objective_left;
	ws_us time_left; /* until the deadline */
	ws_us expected_latency; /* time to the answer at the second server */
	double load; /* of the second server with this request, over slots */
	double budget; /* extra sendings that may be made now */
};

bool ws_ed_hedge(const struct ws_ed_hedge *h);

#endif
