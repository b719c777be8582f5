#include "edge/ws_ed_refused.h"

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
