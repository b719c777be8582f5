#include "edge/ws_ed_learn.h"

#include <math.h>
#include <string.h>

/* Relative times outside of these bounds are taken for them. */
#define TIME_MIN 0.125
#define TIME_MAX 16.0
/* A sample counts as at most this multiple of the present estimate. */
#define OUTLIER_FACTOR 3.0
/* Weight of a sample once several are known. */
#define TIME_GAIN 0.1
/* Weight of the first sample: the prior of 1 counts as this many samples. */
#define PRIOR_SAMPLES 3.0
/*
 * Weight of a sample that continues a streak: at least so many in sequence,
 * over at least this time, that all differ from the estimate by a factor.
 */
#define STREAK_GAIN 0.4
#define STREAK_SAMPLES 3
#define STREAK_TIME (250 * WS_MS)
#define STREAK_SLOW_FACTOR 2.5
#define STREAK_FAST_FACTOR 3.0
/* Outside of streaks, the time grows by at most this factor per step. */
#define STEP_FACTOR 1.35
#define STEP_TIME (100 * WS_MS)
/* Without samples for SILENT_AFTER, the estimates decay to the prior. */
#define SILENT_AFTER (2 * WS_SECOND)
#define SILENT_TAU (4.0 * (double)WS_SECOND)
/* A window ends after this time if it has enough samples. */
#define WINDOW_TIME (400 * WS_MS)
#define WINDOW_SAMPLES 4
#define WINDOW_REJECTIONS 2
/* Multiplicative decrease of the limit on rejections by a busy server. */
#define REJECTED_FACTOR 0.7
/* Weight of an outcome in the part that is rejected with free slots. */
#define REJECTED_GAIN 0.2
#define REJECTED_FREE_MAX 0.15
/* Least decrease of the limit by latency in one window. */
#define GRADIENT_MIN 0.5
/* Latency may grow by this factor from an idle server to a busy one. */
#define GRADIENT_TOLERANCE 1.8
/* Additive increase per window, in requests. */
#define LIMIT_STEP 0.5
#define IDLE_GAIN 0.15
/* Above this part of the limit a server counts as busy. */
#define BUSY_PART 0.6
/* Relative slowdown of a server with all slots busy and no queue. */
#define BUSY_SLOWNESS 0.25
/* A newer value of another instance outweighs the own one. */
#define PEER_WEIGHT_NEWER 0.7
#define PEER_WEIGHT_OLDER 0.2
/* A value of another instance changes the estimate by at most this factor. */
#define PEER_FACTOR_MAX 2.0
/* Hysteresis of the log line, in requests below the slots. */
#define REDUCED_BELOW 0.75
#define RETURNED_ABOVE 0.25
/* Least time between two such lines on a server. */
#define CROSSED_INTERVAL (10 * WS_SECOND)
/* Codes: a step is a factor of 2^(1/16); unity is at the offset. */
#define CODE_STEPS 16.0
#define SPEED_CODE_UNITY 128.0
#define LIMIT_CODE_UNITY 1.0
#define CODE_MAX 255.0

static double clamp(double x, double low, double high)
{
	if (x < low)
		return low;
	return x > high ? high : x;
}

void ws_ed_learn_reset(struct ws_ed_learned *l, uint32_t slots)
{
	memset(l, 0, sizeof(*l));
	l->slots = slots ? slots : 1;
	l->time = 1.0;
	l->speed = 1.0;
	l->limit = (double)l->slots;
}

/* Latency by load, relative to an idle server that takes limit well. */
static double load_slowdown(double load, double limit)
{
	double part = load / limit;

	if (part <= 1.0)
		return 1.0 + BUSY_SLOWNESS * part * part;
	return part * (1.0 + BUSY_SLOWNESS);
}

/* Part of what was learned that still holds. */
static double trust(const struct ws_ed_learned *l, ws_us now)
{
	ws_us silent = now - l->at - SILENT_AFTER;

	return silent > 0 ? exp(-(double)silent / SILENT_TAU) : 1.0;
}

static void set_time(struct ws_ed_learned *l, double time)
{
	l->time = clamp(time, TIME_MIN, TIME_MAX);
	l->speed = 1.0 / l->time;
}

/* Makes the decay of the time without samples permanent. */
static void apply_silence(struct ws_ed_learned *l, ws_us now)
{
	double part = trust(l, now);

	if (part >= 1.0)
		return;
	set_time(l, pow(l->time, part));
	l->limit += ((double)l->slots - l->limit) * (1.0 - part);
	l->idle_time = 0.0;
	l->n_streak = 0;
}

/* Whether several samples in sequence, over some time, differ the same way. */
static bool continues_streak(struct ws_ed_learned *l, ws_us now, double time)
{
	bool is_slow = time > STREAK_SLOW_FACTOR * l->time;
	bool is_fast = time * STREAK_FAST_FACTOR < l->time;

	if (!is_slow && !is_fast) {
		l->n_streak = 0;
		return false;
	}
	if (!l->n_streak || l->is_slow_streak != is_slow) {
		l->n_streak = 0;
		l->is_slow_streak = is_slow;
		l->streak_since = now;
	}
	l->n_streak++;
	return l->n_streak >= STREAK_SAMPLES &&
	       now - l->streak_since >= STREAK_TIME;
}

static void update_time(struct ws_ed_learned *l, ws_us now, double time)
{
	double gain = 1.0 / (PRIOR_SAMPLES + (double)l->n_samples);
	bool in_streak = continues_streak(l, now, time);
	double used = fmin(time, OUTLIER_FACTOR * l->time);

	if (gain < TIME_GAIN)
		gain = TIME_GAIN;
	if (in_streak)
		gain = STREAK_GAIN;
	if (!l->n_samples || now - l->step_since >= STEP_TIME) {
		l->step_since = now;
		l->step_time = l->time;
	}
	/* Much faster answers mean more than their share of a mean shows. */
	if (time * STREAK_FAST_FACTOR < l->time)
		time = l->time * pow(fmax(time, TIME_MIN) / l->time, gain);
	else
		time = l->time + gain * (used - l->time);
	/* All requests of one slow moment are one sample. */
	if (!in_streak && time > l->step_time * STEP_FACTOR)
		time = fmax(l->time, l->step_time * STEP_FACTOR);
	set_time(l, time);
}

/* ===== Limit ===== */

/*
 * A server that also rejects requests while it has free slots does so for
 * another reason; its rejections when busy tell nothing.
 */
static void count_outcome(struct ws_ed_learned *l,
			  const struct ws_ed_learn_sample *s)
{
	/* The request itself has ended and is not in the report. */
	double load = s->has_report ? (double)(s->running + s->waiting) :
				      s->load - 1.0;
	double rejected = s->rejected ? 1.0 : 0.0;

	if (load < l->limit)
		l->rejected_free +=
			REJECTED_GAIN * (rejected - l->rejected_free);
	else if (s->rejected && l->rejected_free < REJECTED_FREE_MAX)
		l->n_full++;
}

static void add_to_window(struct ws_ed_learned *l,
			  const struct ws_ed_learn_sample *s, double time)
{
	double cap = OUTLIER_FACTOR * (l->idle_time > 0.0 ? l->idle_time : 1.0);

	if (s->load > BUSY_PART * l->limit && s->load > 1.0) {
		l->n_window++;
		l->window_time += fmin(time, cap);
		l->window_load += s->load;
	} else if (l->idle_time > 0.0) {
		l->idle_time += IDLE_GAIN * (fmin(time, cap) - l->idle_time);
	} else {
		l->idle_time = fmin(time, cap);
	}
}

static double limit_by_latency(const struct ws_ed_learned *l)
{
	double time = l->window_time / l->n_window;
	double load = l->window_load / l->n_window;
	double gradient;

	if (l->idle_time <= 0.0)
		return l->limit;
	gradient = GRADIENT_TOLERANCE * l->idle_time / time;
	if (gradient >= 1.0)
		return l->limit + LIMIT_STEP;
	return fmin(l->limit, load) * fmax(gradient, GRADIENT_MIN);
}

static void end_window(struct ws_ed_learned *l, ws_us now)
{
	double limit = l->limit;

	if (l->n_full >= WINDOW_REJECTIONS)
		limit *= REJECTED_FACTOR;
	else if (l->n_window >= WINDOW_SAMPLES)
		limit = limit_by_latency(l);
	else if (!l->n_full)
		/* It gets few requests, perhaps because of its limit. */
		limit += LIMIT_STEP / 2.0;
	l->limit = clamp(limit, 1.0, (double)l->slots);
	l->window_since = now;
	l->n_window = 0;
	l->n_full = 0;
	l->window_time = 0.0;
	l->window_load = 0.0;
}

void ws_ed_learn_sample(struct ws_ed_learned *l,
			const struct ws_ed_learn_sample *s)
{
	double pace = s->pace > 0.0 ? s->pace : 1.0;
	double slowdown = load_slowdown(s->load, l->limit);
	double time;

	if (!l->slots || (!s->rejected && s->work <= 0.0))
		return;
	apply_silence(l, s->now);
	if (s->rejected || s->ok)
		count_outcome(l, s);
	if (!s->rejected) {
		time = (double)s->latency / (s->work * pace);
		/* Without an answer, only what exceeds the estimate counts. */
		if (!s->ok && time <= l->time * slowdown)
			return;
		update_time(l, s->now, time / slowdown);
		add_to_window(l, s,
			      time / load_slowdown(s->load, (double)l->slots));
	}
	if (!l->n_samples)
		l->window_since = s->now;
	l->n_samples++;
	l->at = s->now;
	if (s->now - l->window_since >= WINDOW_TIME)
		end_window(l, s->now);
}

void ws_ed_learn_peer(struct ws_ed_learned *l, ws_us now, ws_us age,
		      double speed, double limit)
{
	ws_us at = now - age;
	double weight = at > l->at ? PEER_WEIGHT_NEWER : PEER_WEIGHT_OLDER;
	double factor;

	if (!l->slots || speed <= 0.0 || limit <= 0.0 || age > SILENT_AFTER)
		return;
	apply_silence(l, now);
	factor = clamp(1.0 / (speed * l->time), 1.0 / PEER_FACTOR_MAX,
		       PEER_FACTOR_MAX);
	set_time(l, l->time * pow(factor, weight));
	l->limit += weight * (clamp(limit, 1.0, (double)l->slots) - l->limit);
	if (at > l->at)
		l->at = at;
}

double ws_ed_learn_speed(const struct ws_ed_learned *l, ws_us now)
{
	if (!l->slots)
		return 1.0;
	return pow(l->speed, trust(l, now));
}

double ws_ed_learn_limit(const struct ws_ed_learned *l, ws_us now)
{
	double slots = (double)l->slots;

	if (!l->slots)
		return 1.0;
	return slots + (l->limit - slots) * trust(l, now);
}

bool ws_ed_learn_has_crossed(struct ws_ed_learned *l, ws_us now)
{
	double below = (double)l->slots - ws_ed_learn_limit(l, now);
	bool is_reduced = l->is_reduced ? below > RETURNED_ABOVE :
					  below > REDUCED_BELOW;

	if (is_reduced == l->is_reduced ||
	    (l->crossed_at && now - l->crossed_at < CROSSED_INTERVAL))
		return false;
	l->is_reduced = is_reduced;
	l->crossed_at = now;
	return true;
}

/* ===== Codes ===== */

static uint8_t encode(double value, double unity)
{
	double code = value > 0.0 ? unity + CODE_STEPS * log2(value) : 0.0;

	return (uint8_t)lround(clamp(code, 1.0, CODE_MAX));
}

static double decode(uint8_t code, double unity)
{
	return code ? exp2(((double)code - unity) / CODE_STEPS) : 0.0;
}

uint8_t ws_ed_learn_encode_speed(double speed)
{
	return encode(speed, SPEED_CODE_UNITY);
}

uint8_t ws_ed_learn_encode_limit(double limit)
{
	return encode(limit, LIMIT_CODE_UNITY);
}

double ws_ed_learn_decode_speed(uint8_t code)
{
	return decode(code, SPEED_CODE_UNITY);
}

double ws_ed_learn_decode_limit(uint8_t code)
{
	return decode(code, LIMIT_CODE_UNITY);
}
