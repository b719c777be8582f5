#include "edge/ws_ed_throttle.h"

#include <stdio.h>

#include "common/ws_events.h"
#include "edge/ws_ed_fx.h"

/* Fraction of a cold server's request rate that all instances may use. */
#define COLD_FRACTION 0.9
/*
 * Instances among which the rate of a cold server is divided: each saves at
 * most one request, which counts against the bound of the platform.
 */
#define COLD_HOLDERS_MIN 5
#define COLD_HOLDERS_PER_RATE 0.6
/* The same for the limit of a server, with one more for each request/s. */
#define LIMIT_HOLDERS_MIN 3
/* Time over which the callers return whom a closed server kept out. */
#define RETURN_SPREAD (300 * WS_MS)
/* A server with a lower limit gets this rate, to learn when it lifts it. */
#define LIMIT_PER_S_MIN 0.25

static void note_warm_up(struct ws_ed_pool *p, struct ws_ed_server *s)
{
	s->warm_up_changed = true;
	p->warm_ups_changed = true;
}

static void share_cold(struct ws_ed_pool *p, ws_us now, struct ws_ed_server *s,
		       double per_s)
{
	const struct ws_ed_share before = s->cold_share;

	ws_ed_share_set(&s->cold_share, &p->group, s->id, per_s,
			COLD_HOLDERS_MIN +
				(size_t)(COLD_HOLDERS_PER_RATE * per_s),
			now, &p->rand);
	if (s->cold_share.per_s != before.per_s ||
	    s->cold_share.holders != before.holders ||
	    s->cold_share.is_holder != before.is_holder)
		note_warm_up(p, s);
}

/* End of the warm-up that a return of the server's zone has caused. */
static ws_us zone_warm_at(const struct ws_ed_pool *p,
			  const struct ws_ed_server *s,
			  const struct ws_ed_service *svc)
{
	ws_us back_at = ws_ed_pool_zone_back_at(p, s->zone);

	return back_at ? back_at + svc->warmup : 0;
}

/* End of the warm-up; without the service it is not known to be shorter. */
static ws_us warm_at(const struct ws_ed_pool *p, const struct ws_ed_server *s,
		     const struct ws_ed_service *svc)
{
	ws_us other = svc ? zone_warm_at(p, s, svc) : s->cold_until;

	return s->warm_at > other ? s->warm_at : other;
}

void ws_ed_throttle_update(struct ws_ed_pool *p, ws_us now,
			   struct ws_ed_server *s)
{
	const struct ws_ed_service *svc =
		ws_ed_conf_service(p->conf, s->service);
	bool was_cold = now < s->cold_until;

	s->cold_until = warm_at(p, s, svc);
	if (now >= s->cold_until)
		return;
	if (!was_cold) {
		s->cold_share = (struct ws_ed_share){ .per_s = 0.0 };
		note_warm_up(p, s);
	}
	if (!svc) {
		s->cold_rate = WS_ED_RATE_UNKNOWN;
	} else if (svc->warmup_per_s > 0.0) {
		s->cold_rate = WS_ED_RATE_LIMITED;
		share_cold(p, now, s, COLD_FRACTION * svc->warmup_per_s);
	} else {
		s->cold_rate = WS_ED_RATE_UNLIMITED;
		s->cold_share = (struct ws_ed_share){ .per_s = 0.0 };
	}
}

static bool is_throttled_as_cold(const struct ws_ed_server *s, ws_us now)
{
	return now < s->cold_until && s->cold_rate == WS_ED_RATE_LIMITED;
}

static bool has_unknown_rate(const struct ws_ed_server *s, ws_us now)
{
	return now < s->cold_until && s->cold_rate == WS_ED_RATE_UNKNOWN;
}

static void share_limit(struct ws_ed_pool *p, ws_us now, struct ws_ed_server *s)
{
	double per_s = s->stated.limit.per_s > LIMIT_PER_S_MIN ?
			       s->stated.limit.per_s :
			       LIMIT_PER_S_MIN;

	ws_ed_share_set(&s->limit_share, &p->group, s->id, per_s,
			LIMIT_HOLDERS_MIN + (size_t)per_s, now, &p->rand);
}

void ws_ed_pool_limit_changed(struct ws_ed_pool *p, ws_us now, uint32_t server)
{
	struct ws_ed_server *s = &p->servers[server];

	if (s->stated.limit.named)
		share_limit(p, now, s);
	else
		s->limit_share = (struct ws_ed_share){ .per_s = 0.0 };
}

/* Time until one share permits a request, at least as long as another one. */
static ws_us longer_wait(ws_us wait, ws_us other)
{
	if (wait == WS_ED_NO_SHARE || other < 0)
		return WS_ED_NO_SHARE;
	return wait > other ? wait : other;
}

ws_us ws_ed_throttle_time(const struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_server *s)
{
	ws_us wait = ws_ed_stated_closed_for(&s->stated, now);

#ifdef WS_MUTANT_RETRY_AFTER_IGNORED
	wait = 0;
#endif
#ifndef WS_MUTANT_UNKNOWN_RATE_IGNORED
	if (has_unknown_rate(s, now))
		return WS_ED_NO_SHARE;
#endif
	if (is_throttled_as_cold(s, now))
		wait = longer_wait(wait, ws_ed_share_wait(&s->cold_share,
							  &p->group, now));
	if (s->stated.limit.named)
		wait = longer_wait(wait, ws_ed_share_wait(&s->limit_share,
							  &p->group, now));
	return wait;
}

/* Time until the server may get requests at the rate that is its due. */
static ws_us rate_retry_after(struct ws_ed_pool *p, ws_us now,
			      struct ws_ed_server *s)
{
	ws_us time = 0;
	ws_us cold;

	if (s->stated.limit.named)
		time = ws_ed_share_retry_after(&s->limit_share, &p->group, now);
	if (has_unknown_rate(s, now))
		return s->cold_until - now;
	if (!is_throttled_as_cold(s, now))
		return time;
	cold = ws_ed_share_retry_after(&s->cold_share, &p->group, now);
	/* After its warm-up it takes any rate. */
	if (cold > s->cold_until - now)
		cold = s->cold_until - now;
	return cold > time ? cold : time;
}

ws_us ws_ed_pool_retry_after(struct ws_ed_pool *p, ws_us now, uint32_t server)
{
	struct ws_ed_server *s = &p->servers[server];
	ws_us time = rate_retry_after(p, now, s);
	ws_us closed = ws_ed_stated_closed_for(&s->stated, now);

	if (!closed)
		return time;
	/* Callers that were refused meanwhile must not all return at once. */
	closed += (ws_us)ws_rand_below(&p->rand, RETURN_SPREAD);
	return closed > time ? closed : time;
}

void ws_ed_throttle_sent(struct ws_ed_server *s, ws_us now)
{
	if (is_throttled_as_cold(s, now))
		ws_ed_share_sent(&s->cold_share, now);
	if (s->stated.limit.named)
		ws_ed_share_sent(&s->limit_share, now);
}

void ws_ed_throttle_refresh(struct ws_ed_pool *p, ws_us now,
			    struct ws_ed_server *s)
{
	if (is_throttled_as_cold(s, now) &&
	    s->cold_share.version != p->group.version)
		ws_ed_throttle_update(p, now, s);
	if (!s->stated.limit.named)
		return;
	if (s->limit_share.version != p->group.version)
		share_limit(p, now, s);
	if (!s->limit_share.is_holder &&
	    ws_ed_limit_is_old(&s->stated.limit, now)) {
		s->stated.limit = (struct ws_ed_limit){ .named = false };
		ws_ed_pool_limit_changed(p, now, (uint32_t)(s - p->servers));
	}
}

static void log_warm_up(const struct ws_ed_server *s, ws_us now,
			struct ws_ed_fx *fx)
{
	const struct ws_ed_share *sh = &s->cold_share;
	char detail[112];

	if (sh->per_s > 0.0)
		snprintf(detail, sizeof(detail),
			 "%.40s, %.1f/s among %zu instances, %s", s->name,
			 sh->per_s, sh->holders,
			 sh->is_holder ? "holds a share" : "holds none");
	else
		snprintf(detail, sizeof(detail), "%.40s, %s", s->name,
			 s->cold_rate == WS_ED_RATE_UNLIMITED ?
				 "without a limit" :
				 "its rate is not known yet, gets nothing");
	ws_ed_fx_log(fx, WS_LOG_TARGET_COLD, s->id,
		     (s->cold_until - now) / WS_MS, detail);
}

void ws_ed_throttle_log(struct ws_ed_pool *p, ws_us now, struct ws_ed_fx *fx)
{
	size_t i;

	if (!p->warm_ups_changed)
		return;
	p->warm_ups_changed = false;
	for (i = 0; i < p->n; i++) {
		struct ws_ed_server *s = &p->servers[i];

		if (!s->warm_up_changed)
			continue;
		s->warm_up_changed = false;
		if (s->id && now < s->cold_until)
			log_warm_up(s, now, fx);
	}
}
