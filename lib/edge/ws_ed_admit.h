#ifndef WS_ED_ADMIT_H
#define WS_ED_ADMIT_H

#include "common/ws_common.h"

/*
 * Admission control: decides whether a request is sent, queued or refused when
 * more requests arrive than the servers can answer in time. A request is sent
 * while it is expected to meet its latency objective. Otherwise it is queued
 * here briefly, until a slot becomes free. After that it is sent late only if
 * this delays few other requests, and else refused with a Retry-After.
 *
 * With hundreds of instances, each one's view of server load is stale, and all
 * of them would refuse and then send at the same time. Each instance therefore
 * first refuses a random share of the requests, in proportion to how far the
 * demand of all instances exceeds the capacity of all servers.
 */

struct ws_ed_admit_input {
	ws_us time_left; /* until the deadline */
	ws_us objective_left; /* until the latency objective; < 0: missed */
	ws_us objective; /* objective_left on arrival */
	ws_us waited; /* time in this instance's queue */
	ws_us expected_latency; /* at the best server */
	double load; /* requests at that server, this one included, per slot */
	double overload; /* global demand over capacity; 0: unknown */
	double random; /* uniform, 0 to 1 */
	bool is_retry; /* the caller's earlier try was refused */
};

enum ws_ed_admit_decision {
	WS_ED_ADMIT_SEND = 1,
	WS_ED_ADMIT_WAIT,
	WS_ED_ADMIT_REFUSE,
};

enum ws_ed_admit_decision ws_ed_admit(const struct ws_ed_admit_input *in);

/*
 * Retry-After of a refused request: about the time in which the server drains
 * its queue, with jitter so that refused requests do not return together.
 * @param jitter uniform, 0 to 1
 */
ws_us ws_ed_admit_retry_after(const struct ws_ed_admit_input *in,
			      double jitter);

/*
 * Input for the decision to hedge: to send a request that is still at a server
 * to a second one as well, because the first server has become slow or the
 * connection has stalled.
 */
struct ws_ed_hedge {
	ws_us elapsed; /* since the first send */
	ws_us first_expected; /* latency expected at the first send */
	ws_us objective_left;
	ws_us time_left; /* until the deadline */
	ws_us expected_latency; /* at the second server */
	double load; /* of the second server, this request included, per slot */
	double budget; /* retry budget: extra sends allowed now */
};

bool ws_ed_hedge(const struct ws_ed_hedge *h);

#endif
