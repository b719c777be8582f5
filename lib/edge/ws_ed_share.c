#include "edge/ws_ed_share.h"

#include <stdlib.h>
#include <string.h>

/* Longest time after which a refused request is asked to return. */
#define RETURN_MAX (60 * WS_SECOND)

/* ===== Group ===== */

void ws_ed_group_free(struct ws_ed_group *g)
{
	free(g->others);
	memset(g, 0, sizeof(*g));
}

void ws_ed_group_set(struct ws_ed_group *g, const ws_id *others, size_t n)
{
	if (n == g->n &&
	    (!n || !memcmp(g->others, others, n * sizeof(*others))))
		return;
	ws_grow(&g->others, &g->cap, n, sizeof(*g->others));
	if (n)
		memcpy(g->others, others, n * sizeof(*others));
	g->n = n;
	g->version++;
}

/* Whether fewer than max instances come before this one for a server. */
static bool is_among_first(const struct ws_ed_group *g, ws_id server,
			   size_t max)
{
	ws_id own = ws_mix(g->self, server);
	size_t before = 0;
	size_t i;

	for (i = 0; i < g->n && before < max; i++)
		before += ws_mix(g->others[i], server) < own;
	return before < max;
}

/* ===== Share ===== */

/* Time between two requests that one of n instances may send. */
static ws_us interval(const struct ws_ed_share *s, size_t n)
{
	return (ws_us)((double)n * (double)WS_SECOND / s->per_s);
}

static ws_us random_part(ws_us time, struct ws_rand *rand)
{
	return (ws_us)((double)ws_rand_below(rand, 1000) / 1000.0 *
		       (double)time);
}

void ws_ed_share_set(struct ws_ed_share *s, const struct ws_ed_group *g,
		     ws_id server, double per_s, size_t holders_max, ws_us now,
		     struct ws_rand *rand)
{
	bool is_new = s->per_s <= 0.0;
	ws_us longest;

	if (!is_new && s->per_s == per_s && s->version == g->version)
		return;
	s->per_s = per_s;
	s->holders = g->n + 1 < holders_max ? g->n + 1 : holders_max;
	s->is_holder = is_among_first(g, server, s->holders);
	s->version = g->version;
	longest = interval(s, s->holders);
	if (is_new) {
		s->next_at = now + random_part(longest, rand);
		s->return_at = now + random_part(interval(s, g->n + 1), rand);
	} else if (s->next_at > now + longest) {
		s->next_at = now + longest;
	}
}

void ws_ed_share_sent(struct ws_ed_share *s, ws_us now)
{
	s->next_at = now + interval(s, s->holders);
}

ws_us ws_ed_share_wait(const struct ws_ed_share *s, const struct ws_ed_group *g,
		       ws_us now)
{
	ws_us at = s->next_at > g->settled_at ? s->next_at : g->settled_at;

	if (!s->is_holder)
		return -1;
	return at > now ? at - now : 0;
}

ws_us ws_ed_share_retry_after(struct ws_ed_share *s,
			      const struct ws_ed_group *g, ws_us now)
{
	ws_us wait = ws_ed_share_wait(s, g, now);
	ws_us pause = interval(s, g->n + 1);

	if (wait > 0 && s->return_at < now + wait)
		s->return_at = now + wait;
	else if (s->return_at <= now)
		s->return_at = now + pause;
	wait = s->return_at - now;
	s->return_at += pause;
	return wait < RETURN_MAX ? wait : RETURN_MAX;
}
