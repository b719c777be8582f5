#include "edge/ws_ed_stated.h"

static unsigned update_leaving(struct ws_ed_stated *s, ws_us since)
{
	bool known = s->leaving_since != 0;

	WS_INVARIANT(since > 0);
#ifdef WS_MUTANT_LEAVING_IGNORED
	return 0;
#endif
	/* The time for which it is still used runs from the first answer. */
	if (!known || since < s->leaving_since)
		s->leaving_since = since;
	if (known)
		return 0;
	s->leaving_rounds = WS_ED_NEWS_ROUNDS;
	return WS_ED_STATED_LEAVING;
}

static unsigned update_closed(struct ws_ed_stated *s, ws_us now, ws_us time)
{
	/* A shorter time in another answer does not end the longer one. */
	if (time <= 0 || now + time <= s->closed_until)
		return 0;
	s->closed_until = now + time;
	return WS_ED_STATED_CLOSED;
}

unsigned ws_ed_stated_on_answer(struct ws_ed_stated *s, ws_us now,
				ws_us sent_at, const struct ws_ed_report *r)
{
	unsigned changed = 0;

#ifndef WS_MUTANT_FOREIGN_STATEMENTS
	if (!r->from_server)
		return 0;
#endif
	if (r->leaving)
		changed |= update_leaving(s, now);
	changed |= update_closed(s, now, r->retry_after);
	if (ws_ed_limit_on_answer(&s->limit, now, sent_at, &r->limit))
		changed |= WS_ED_STATED_LIMIT;
	if (r->idle_timeout)
		s->idle_timeout = r->idle_timeout;
	if (!r->known)
		return changed;
	s->load = *r;
	s->load_at = now;
	s->load_pending = WS_ED_PENDING_ZONE | WS_ED_PENDING_RELAYS;
	return changed | WS_ED_STATED_LOAD;
}

unsigned ws_ed_stated_on_peer(struct ws_ed_stated *s, ws_us now,
			      const struct ws_ed_statement *t)
{
	if (t->kind == WS_ED_STATEMENT_LEAVING)
		return update_leaving(s, t->as_of);
	return ws_ed_limit_on_peer(&s->limit, now, t->as_of, t->per_s) ?
		       WS_ED_STATED_LIMIT :
		       0;
}

unsigned ws_ed_stated_on_kept(struct ws_ed_stated *s, ws_us now,
			      const struct ws_ed_statement *t)
{
	if (t->kind == WS_ED_STATEMENT_CLOSED)
		return update_closed(s, now, t->as_of - now);
	return ws_ed_stated_on_peer(s, now, t);
}

ws_us ws_ed_stated_closed_for(const struct ws_ed_stated *s, ws_us now)
{
	return s->closed_until > now ? s->closed_until - now : 0;
}

/* ===== Starts that are not listed ===== */

static bool is_of_start(const struct ws_ed_statement *t, uint32_t server,
			uint32_t started)
{
	return t->server == server && t->started == started;
}

void ws_ed_stated_keep(struct ws_ed_kept_statements *k,
		       const struct ws_ed_statement *t)
{
	size_t i;

	for (i = 0; i < WS_ED_STATEMENTS_KEPT; i++) {
		struct ws_ed_statement *known = &k->items[i];

		if (!is_of_start(known, t->server, t->started) ||
		    known->kind != t->kind)
			continue;
		if (t->kind == WS_ED_STATEMENT_LEAVING ?
			    t->as_of < known->as_of :
			    t->as_of > known->as_of)
			*known = *t;
		return;
	}
	k->items[k->n++ % WS_ED_STATEMENTS_KEPT] = *t;
}

void ws_ed_stated_keep_all(struct ws_ed_kept_statements *k, ws_us now,
			   uint32_t server, uint32_t started,
			   const struct ws_ed_stated *s)
{
	struct ws_ed_statement t = { .server = server, .started = started };

	if (s->leaving_since) {
		t.kind = WS_ED_STATEMENT_LEAVING;
		t.as_of = s->leaving_since;
		ws_ed_stated_keep(k, &t);
	}
	if (s->limit.named) {
		t.kind = WS_ED_STATEMENT_LIMIT;
		t.as_of = s->limit.as_of;
		t.per_s = s->limit.per_s;
		ws_ed_stated_keep(k, &t);
	}
	if (ws_ed_stated_closed_for(s, now)) {
		t.kind = WS_ED_STATEMENT_CLOSED;
		t.as_of = s->closed_until;
		ws_ed_stated_keep(k, &t);
	}
}

bool ws_ed_stated_take_kept(struct ws_ed_kept_statements *k, uint32_t server,
			    uint32_t started, struct ws_ed_statement *t)
{
	size_t i;

	for (i = 0; i < WS_ED_STATEMENTS_KEPT; i++) {
		if (!server || !is_of_start(&k->items[i], server, started))
			continue;
		*t = k->items[i];
		k->items[i] = (struct ws_ed_statement){ .server = 0 };
		return true;
	}
	return false;
}
