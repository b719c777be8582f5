#ifndef WS_ED_LEARN_H
#define WS_ED_LEARN_H

#include "common/ws_common.h"

/*
 * Learned capacity of a server: its speed and how many requests in progress it
 * takes well, from the times and outcomes of its own answers. For servers of
 * one service that differ in speed, and of which some slow down long before
 * they are full; see docs/design/learned-capacity.md.
 */

/* What is learned of one start of a server. */
struct ws_ed_learned {
	uint32_t slots; /* by its entry; 0: nothing is known of it yet */
	double speed; /* relative to the mean of its service; 2: twice as fast
		       */
	double limit; /* requests in progress that it takes well */
	ws_us at; /* of the newest sample */
	uint32_t n_samples;
	/* Further private state */
	double window_time; /* mean relative time of the current window */
	double idle_time; /* relative time with free slots */
	ws_us window_since;
	uint32_t n_window;
	uint32_t n_full; /* rejections and resets in the window, when busy */
};

/* One answer, or the loss of one. */
struct ws_ed_learn_sample {
	ws_us now;
	ws_us latency;
	/* Expected time of such a request at an idle server of speed 1, us */
	double work;
	double load; /* requests at the server when it was sent, included */
	bool ok; /* a complete answer, not a failure */
	bool rejected; /* or its connection reset */
	double pace; /* slowness of its machine as it reports it; 0: unknown */
	bool has_report;
	uint32_t running; /* by its report */
	uint32_t waiting;
};

/* Forgets everything; for a new start of the server. */
void ws_ed_learn_reset(struct ws_ed_learned *l, uint32_t slots);

void ws_ed_learn_sample(struct ws_ed_learned *l,
			const struct ws_ed_learn_sample *s);

/* Applies what another instance has learned, which is as old as age. */
void ws_ed_learn_peer(struct ws_ed_learned *l, ws_us now, ws_us age,
		      double speed, double limit);

/* Relative speed; 1 if nothing is known. */
double ws_ed_learn_speed(const struct ws_ed_learned *l, ws_us now);

/* Limit of requests in progress, at least 1; the slots if nothing is known. */
double ws_ed_learn_limit(const struct ws_ed_learned *l, ws_us now);

#endif
