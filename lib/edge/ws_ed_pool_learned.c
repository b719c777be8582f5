#include <stdlib.h>

#include "common/ws_events.h"
#include "edge/ws_ed_fx.h"
#include "edge/ws_ed_pool_int.h"

/* What instances tell each other of learned capacities; see ws_ed_learn.h. */

/* Least change that is told, in steps of the codes. */
#define SPEED_STEPS_TOLD 2
#define LIMIT_STEPS_TOLD 4
/* What was learned before is not told any more. */
#define TOLD_AGE_MAX (1 * WS_SECOND)
#define LOGGED_PARTS 1000.0 /* of a request */

static void set_told(struct ws_ed_server *s, uint8_t pending)
{
	s->learned_news = (struct ws_ed_learned_news){
		.speed = ws_ed_learn_encode_speed(s->learned.speed),
		.limit = ws_ed_learn_encode_limit(s->learned.limit),
		.pending = pending,
	};
}

void ws_ed_pool_note_learned(struct ws_ed_server *s)
{
	const struct ws_ed_learned *l = &s->learned;
	const struct ws_ed_learned_news *told = &s->learned_news;
	/* Before anything is told, others assume the prior. */
	int speed = told->speed ? told->speed : ws_ed_learn_encode_speed(1.0);
	int limit = told->limit ? told->limit :
				  ws_ed_learn_encode_limit((double)l->slots);

	if (abs(ws_ed_learn_encode_speed(l->speed) - speed) >=
		    SPEED_STEPS_TOLD ||
	    abs(ws_ed_learn_encode_limit(l->limit) - limit) >= LIMIT_STEPS_TOLD)
		set_told(s, WS_ED_PENDING_ZONE | WS_ED_PENDING_RELAYS);
}

void ws_ed_pool_peer_learned(struct ws_ed_pool *p, ws_us now,
			     const struct ws_ed_peer_learned *t,
			     uint8_t pending)
{
	int32_t h = ws_ed_pool_find_short(p, t->server);
	struct ws_ed_server *s = h >= 0 ? &p->servers[h] : NULL;

	if (!p->unmetered || !s || (uint8_t)s->started_ms != t->started)
		return;
	ws_ed_learn_peer(&s->learned, now, t->age,
			 ws_ed_learn_decode_speed(t->speed),
			 ws_ed_learn_decode_limit(t->limit));
	/* What this instance adds to it is told once it is a change again. */
	set_told(s, s->learned_news.pending | pending);
}

size_t ws_ed_pool_next_learned(struct ws_ed_pool *p, ws_us now, size_t first,
			       uint8_t pending, struct ws_ed_peer_learned *t)
{
	size_t i;

	for (i = first; p->unmetered && i < p->n; i++) {
		struct ws_ed_server *s = &p->servers[i];
		ws_us age = now - s->learned.at;

		if (!s->id || !(s->learned_news.pending & pending))
			continue;
		s->learned_news.pending &= (uint8_t)~pending;
		if (age > TOLD_AGE_MAX)
			continue;
		*t = (struct ws_ed_peer_learned){
			.server = ws_ed_short_id(s->id),
			.started = (uint8_t)s->started_ms,
			.speed = s->learned_news.speed,
			.limit = s->learned_news.limit,
			.age = age,
		};
		return i;
	}
	return p->n;
}

void ws_ed_pool_log_learned(const struct ws_ed_server *s, ws_us now,
			    struct ws_ed_fx *fx)
{
	double limit = ws_ed_learn_limit(&s->learned, now);

	ws_ed_fx_log(fx,
		     s->learned.is_reduced ? WS_LOG_TARGET_REDUCED :
					     WS_LOG_TARGET_RESTORED,
		     s->id, (int64_t)(limit * LOGGED_PARTS),
		     "learned from its answers");
}
