#include "edge/ws_ed_refused.h"

#include "common/ws_events.h"
#include "edge/ws_edge_int.h"

/* ===== Sets of refused requests ===== */

static uint32_t seconds_left(const struct ws_ed_struck *s, ws_us now)
{
	return (uint32_t)((s->until - now) / WS_SECOND);
}

/*
 * Next refused request that others can still learn of: an entry that expires
 * within a second is not passed on.
 */
static uint32_t next_lasting(const struct ws_ed_struck_table *t, ws_us now,
			     uint32_t slot)
{
	for (;; slot++) {
		slot = ws_ed_struck_next(t, now, slot);
		if (slot == WS_SLOT_NONE || seconds_left(&t->items[slot], now))
			return slot;
	}
}

uint64_t ws_ed_refused_digest(const struct ws_ed_struck_table *t, ws_us now)
{
	uint64_t sum = 0;
	uint32_t slot;

	for (slot = next_lasting(t, now, 0); slot != WS_SLOT_NONE;
	     slot = next_lasting(t, now, slot + 1))
		sum += ws_mix(t->items[slot].request, t->items[slot].n);
	return sum;
}

uint32_t ws_ed_refused_fill(const struct ws_ed_struck_table *t, ws_us now,
			    uint32_t first, struct ws_ed_refused_list *l)
{
	uint32_t slot = next_lasting(t, now, first);

	l->n = 0;
	l->n_clearances = 0;
	while (slot != WS_SLOT_NONE) {
		const struct ws_ed_struck *s = &t->items[slot];
		struct ws_ed_refused_item *item;
		uint32_t i;

		if (l->n == WS_ED_REFUSED_ITEMS)
			return slot;
		item = &l->items[l->n++];
		item->request = s->request;
		item->n = s->n;
		for (i = 0; i < s->n; i++)
			item->crashes[i] = s->crashes[i];
		item->expires_in = seconds_left(s, now);
		slot = next_lasting(t, now, slot + 1);
	}
	return 0;
}

/* ===== Exchange ===== */

bool ws_edge_refused_digest(struct ws_edge *e, ws_us now,
			    struct ws_ed_refused_list *l)
{
	l->from = e->set.self;
	l->digest = ws_ed_refused_digest(&e->suspects.struck, now);
	l->n = 0;
	l->n_clearances = ws_ed_suspects_next_clearances(
		&e->suspects, WS_ED_REFUSED_CLEARANCES, l->clearances);
	if (l->n_clearances)
		return true;
	if (now < e->next_digest)
		return false;
	e->next_digest = now + WS_ED_REFUSED_DIGEST_PERIOD;
	return l->digest;
}

bool ws_edge_gets_digest(const struct ws_edge *e, const struct ws_ed_member *m)
{
	return ws_ed_peers_scope(&e->peers, m) == WS_ED_SCOPE_FULL;
}

uint32_t ws_edge_refused_list(const struct ws_edge *e, ws_us now,
			      uint32_t first, struct ws_ed_refused_list *l)
{
	l->from = e->set.self;
	l->digest = ws_ed_refused_digest(&e->suspects.struck, now);
	return ws_ed_refused_fill(&e->suspects.struck, now, first, l);
}

/* Sends a member the own list, as its digest differs. */
static void send_refused(struct ws_edge *e, struct ws_ed_member *m,
			 struct ws_ed_fx *fx)
{
	if (m->refused_sent_at &&
	    e->now - m->refused_sent_at < m->refused_interval)
		return;
	m->refused_interval = m->refused_interval ? 2 * m->refused_interval :
						    WS_ED_REFUSED_LIST_INTERVAL;
	if (m->refused_interval > WS_ED_REFUSED_LIST_INTERVAL_MAX)
		m->refused_interval = WS_ED_REFUSED_LIST_INTERVAL_MAX;
	m->refused_sent_at = e->now;
	ws_ed_fx_add(fx, WS_EDFX_REFUSED)->u.member = m->id;
}

static void process_clearances(struct ws_edge *e,
			       const struct ws_ed_refused_list *l,
			       struct ws_ed_fx *fx)
{
	uint32_t i;

	for (i = 0; i < l->n_clearances; i++)
		if (ws_ed_suspects_on_clearance(&e->suspects, e->now,
						&l->clearances[i],
						e->peers.is_relay))
			ws_ed_log_request(fx, WS_LOG_REQUEST_CLEARED, l->from,
					  l->clearances[i].request,
					  "reported by another instance");
}

void ws_ed_refused_receive(struct ws_edge *e,
			   const struct ws_ed_refused_list *l,
			   struct ws_ed_fx *fx)
{
	struct ws_ed_member *m = ws_ed_peers_find(&e->peers, l->from);
	int64_t n = 0;
	uint32_t i;

	for (i = 0; i < l->n; i++)
		n += ws_ed_suspects_on_refused(&e->suspects, e->now,
					       &l->items[i]);
	if (n)
		ws_ed_fx_log(fx, WS_LOG_QUARANTINE, l->from, n,
			     "in the list of another instance");
	process_clearances(e, l, fx);
	if (!m)
		return;
	if (ws_ed_refused_digest(&e->suspects.struck, e->now) == l->digest)
		m->refused_interval = 0;
	else if (!l->n && !l->n_clearances)
		send_refused(e, m, fx);
}
