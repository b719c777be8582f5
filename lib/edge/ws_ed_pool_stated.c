#include "common/ws_events.h"
#include "edge/ws_ed_fx.h"
#include "edge/ws_ed_pool_int.h"

/* What servers state of themselves, applied to the pool; see ws_ed_stated.h. */

/* Time constant of the mean of other instances' requests. */
#define MEAN_TAU (500.0 * (double)WS_MS)
/*
 * A report that this instance sent returns through a relay with a slightly
 * later time, and is ignored within this margin.
 */
#define PEER_REPORT_MARGIN (20 * WS_MS)
/* Most reports that the long-term mean of the pace covers. */
#define PACE_SAMPLES_MAX 100

/*
 * Derives estimates from a load that a server has stated.
 * @param before when it stated the one before
 */
static void apply_load(struct ws_ed_server *s, ws_us now, ws_us before,
		       const struct ws_ed_report *r)
{
	double others =
		(double)(r->running + r->waiting) - (double)s->in_flight;

	s->other_requests = others > 0.0 ? others : 0.0;
	s->other_requests_mean +=
		(1.0 - ws_ed_pool_decay(now - before, MEAN_TAU)) *
		(s->other_requests - s->other_requests_mean);
	s->pace = r->pace > 0.0 ? r->pace : 1.0;
	if (s->n_pace_samples < PACE_SAMPLES_MAX)
		s->n_pace_samples++;
	s->pace_mean += (s->pace - s->pace_mean) / (double)s->n_pace_samples;
	s->inverse_pace_mean += (1.0 / s->pace - s->inverse_pace_mean) /
				(double)s->n_pace_samples;
}

static void apply_changes(struct ws_ed_pool *p, ws_us now,
			  struct ws_ed_server *s, ws_us load_before,
			  unsigned changed)
{
	if (changed & WS_ED_STATED_LOAD)
		apply_load(s, now, load_before, &s->stated.load);
	if (changed & WS_ED_STATED_LIMIT)
		ws_ed_pool_limit_changed(p, now, (uint32_t)(s - p->servers));
}

unsigned ws_ed_pool_apply_answer(struct ws_ed_pool *p, ws_us now,
				 struct ws_ed_server *s,
				 const struct ws_ed_sending *x,
				 const struct ws_ed_report *report)
{
	ws_us load_before = s->stated.load_at;
	unsigned changed;

	/* An earlier start of it may have answered. */
	if (!report || x->started_ms != s->started_ms)
		return 0;
	changed = ws_ed_stated_on_answer(&s->stated, now, x->sent_at, report);
	apply_changes(p, now, s, load_before, changed);
	return changed;
}

void ws_ed_pool_peer_report(struct ws_ed_pool *p, ws_us at, uint32_t server,
			    const struct ws_ed_report *report, uint8_t pending)
{
	int32_t h = ws_ed_pool_find_short(p, server);
	struct ws_ed_server *s = h >= 0 ? &p->servers[h] : NULL;
	ws_us before;

	/* A load says nothing of its start, so it must be of this one. */
	if (!s || at < s->known_since ||
	    at <= s->stated.load_at + PEER_REPORT_MARGIN)
		return;
	before = s->stated.load_at;
	s->stated.load = *report;
	s->stated.load_at = at;
	s->stated.load_pending = pending;
	apply_load(s, at, before, report);
}

int32_t ws_ed_pool_peer_stated(struct ws_ed_pool *p, ws_us now,
			       const struct ws_ed_statement *t,
			       unsigned *changed)
{
	int32_t h = ws_ed_pool_find_short(p, t->server);
	struct ws_ed_server *s = h >= 0 ? &p->servers[h] : NULL;

	*changed = 0;
	if (!s || (uint32_t)s->started_ms != t->started) {
		ws_ed_stated_keep(&p->kept, t);
		return -1;
	}
	*changed = ws_ed_stated_on_peer(&s->stated, now, t);
	apply_changes(p, now, s, 0, *changed);
	return *changed ? h : -1;
}

unsigned ws_ed_pool_key_answer_leaving(struct ws_ed_pool *p, ws_us now,
				       ws_id server, int64_t started_ms)
{
	const struct ws_ed_statement t = {
		.kind = WS_ED_STATEMENT_LEAVING,
		.as_of = now,
	};
	int32_t h = ws_ed_pool_find(p, server);

	if (h < 0 || p->servers[h].started_ms != started_ms)
		return 0;
	return ws_ed_stated_on_peer(&p->servers[h].stated, now, &t);
}

void ws_ed_pool_tell_leaving(ws_us now, struct ws_ed_server *s)
{
	const struct ws_ed_statement t = {
		.kind = WS_ED_STATEMENT_LEAVING,
		.as_of = now,
	};

#ifdef WS_MUTANT_LEAVING_ENTRY_NOT_TOLD
	return;
#endif
	if (!s->stated.leaving_since)
		ws_ed_stated_on_peer(&s->stated, now, &t);
}

void ws_ed_pool_apply_kept(struct ws_ed_pool *p, ws_us now,
			   struct ws_ed_server *s)
{
	struct ws_ed_statement t;

	while (ws_ed_stated_take_kept(&p->kept, ws_ed_short_id(s->id),
				      (uint32_t)s->started_ms, &t))
		apply_changes(p, now, s, 0,
			      ws_ed_stated_on_kept(&s->stated, now, &t));
}

void ws_ed_pool_log_stated(const struct ws_ed_pool *p, ws_us now,
			   uint32_t server, unsigned changed,
			   const char *source, struct ws_ed_fx *fx)
{
	const struct ws_ed_server *s = &p->servers[server];

	if (changed & WS_ED_STATED_LEAVING)
		ws_ed_fx_log(fx, WS_LOG_TARGET_LEAVING, s->id,
			     (now - s->stated.leaving_since) / WS_MS, source);
	if (changed & WS_ED_STATED_CLOSED)
		ws_ed_fx_log(fx, WS_LOG_TARGET_CLOSED, s->id,
			     ws_ed_stated_closed_for(&s->stated, now) / WS_MS,
			     source);
	if (changed & WS_ED_STATED_LIMIT)
		ws_ed_limit_log(&s->stated.limit, s->id, source, fx);
	if (changed & WS_ED_STATED_CAPACITY)
		ws_ed_pool_log_learned(s, now, fx);
}
