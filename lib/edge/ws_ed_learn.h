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
	double time; /* smoothed relative time, without queueing; 1 / speed */
	double idle_time; /* the same of samples with free slots; 0: none */
	ws_us window_since;
	uint32_t n_window; /* timed samples of a busy server in the window */
	double window_time; /* sum of their relative times */
	double window_load; /* sum of their loads */
	uint32_t n_full; /* rejections and resets in the window, when busy */
	double rejected_free; /* part of requests rejected with free slots */
	ws_us step_since; /* the bound on the growth of time counts from then */
	double step_time; /* time as of then */
	ws_us streak_since; /* of samples that all differ the same way */
	uint32_t n_streak;
	bool is_slow_streak;
	bool is_reduced; /* the limit is below the slots, as last logged */
	ws_us crossed_at; /* when that was logged; 0: never */
};

/* One answer, or the loss of one. */
struct ws_ed_learn_sample {
	ws_us now;
	ws_us latency;
	/* Expected time of such a request at an idle server of speed 1, us */
	double work;
	double load; /* requests at the server when it was sent, included */
	/*
	 * A complete answer, not a failure. If neither this nor rejected, the
	 * latency is a lower bound.
	 */
	bool ok;
	bool rejected; /* or its connection reset */
	/* Slowness of its machine as it reports it; 0: unknown */
	double pace;
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

/*
 * Whether the limit has fallen below the slots, or returned, since the last
 * call; with hysteresis, and not again for some seconds.
 */
bool ws_ed_learn_has_crossed(struct ws_ed_learned *l, ws_us now);

/* Codes of one byte each, logarithmic; 0: unknown. */
uint8_t ws_ed_learn_encode_speed(double speed);
uint8_t ws_ed_learn_encode_limit(double limit);
double ws_ed_learn_decode_speed(uint8_t code);
double ws_ed_learn_decode_limit(uint8_t code);

#endif
