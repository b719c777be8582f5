#include "edge/ws_ed_struck.h"

#include <stdlib.h>
#include <string.h>

void ws_ed_struck_init(struct ws_ed_struck_table *t, size_t max)
{
	memset(t, 0, sizeof(*t));
	ws_slots_init(&t->slots);
	t->max = max;
}

void ws_ed_struck_free(struct ws_ed_struck_table *t)
{
	ws_slots_free(&t->slots);
	free(t->items);
	memset(t, 0, sizeof(*t));
}

/* ===== Entries ===== */

static uint64_t hash_of(uint64_t request)
{
	return ws_mix(request, 1);
}

static uint32_t slot_of(const struct ws_ed_struck_table *t, uint64_t request)
{
	uint32_t s = ws_slots_first(&t->slots, hash_of(request));

	while (s != WS_SLOT_NONE && t->items[s].request != request)
		s = ws_slots_next(&t->slots, s);
	return s;
}

static void remove_expired(struct ws_ed_struck_table *t, ws_us now)
{
	uint32_t s;

	for (s = 0; s < t->slots.cap; s++)
		if (t->slots.slot[s].used && t->items[s].until <= now)
			ws_slots_release(&t->slots, s);
}

/* Eviction order: fewer strikes first, then the earlier expiry. */
static bool evict_before(const struct ws_ed_struck *a,
			 const struct ws_ed_struck *b)
{
	return a->n != b->n ? a->n < b->n : a->until < b->until;
}

static void evict_one(struct ws_ed_struck_table *t)
{
	uint32_t least = WS_SLOT_NONE;
	uint32_t s;

	for (s = 0; s < t->slots.cap; s++) {
		if (!t->slots.slot[s].used)
			continue;
		if (least == WS_SLOT_NONE ||
		    evict_before(&t->items[s], &t->items[least]))
			least = s;
	}
	if (least != WS_SLOT_NONE)
		ws_slots_release(&t->slots, least);
}

static struct ws_ed_struck *add_entry(struct ws_ed_struck_table *t, ws_us now,
				      uint64_t request)
{
	uint32_t s;

	if (t->slots.count >= t->max)
		remove_expired(t, now);
	if (t->slots.count >= t->max)
		evict_one(t);
	s = ws_slots_alloc(&t->slots, hash_of(request));
	ws_grow(&t->items, &t->cap, t->slots.cap, sizeof(*t->items));
	t->items[s] = (struct ws_ed_struck){ .request = request };
	return &t->items[s];
}

struct ws_ed_struck *ws_ed_struck_find(const struct ws_ed_struck_table *t,
				       ws_us now, uint64_t request)
{
	uint32_t s = slot_of(t, request);

	return s == WS_SLOT_NONE || t->items[s].until <= now ? NULL :
							       &t->items[s];
}

/* ===== Strikes ===== */

static bool contains(const uint64_t *crashes, uint32_t n, uint64_t crash)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (crashes[i] == crash)
			return true;
	return false;
}

static void remove_crash(uint64_t *crashes, uint32_t *n, uint32_t i)
{
	--*n;
	memmove(&crashes[i], &crashes[i + 1], (*n - i) * sizeof(crashes[0]));
}

/* Finds or adds the entry of a request, without what has expired. */
static struct ws_ed_struck *entry_of(struct ws_ed_struck_table *t, ws_us now,
				     uint64_t request)
{
	uint32_t slot = slot_of(t, request);
	struct ws_ed_struck *s;

	if (slot == WS_SLOT_NONE)
		return add_entry(t, now, request);
	s = &t->items[slot];
	if (s->until <= now)
		*s = (struct ws_ed_struck){ .request = request };
	return s;
}

static void extend(struct ws_ed_struck *s, ws_us until)
{
	if (s->until < until)
		s->until = until;
}

static void update_refused(struct ws_ed_struck *s, ws_us now)
{
	if (ws_ed_struck_refused(s)) {
		if (!s->refused_since)
			s->refused_since = now;
		return;
	}
	s->refused_since = 0;
	s->asked_for = false;
}

enum ws_ed_strike_result ws_ed_struck_add(struct ws_ed_struck_table *t,
					  ws_us now,
					  const struct ws_ed_strike *k,
					  ws_us expires_in)
{
	struct ws_ed_struck *s = entry_of(t, now, k->request);

	WS_INVARIANT(expires_in <= WS_ED_REFUSED_TIME);
	if (contains(s->cleared, s->n_cleared, k->crash))
		return WS_ED_STRIKE_CLEARED;
	if (s->n == WS_ED_STRIKES_KEPT || contains(s->crashes, s->n, k->crash))
		return WS_ED_STRIKE_KNOWN;
	s->crashes[s->n++] = k->crash;
	extend(s, now + expires_in);
	update_refused(s, now);
	return WS_ED_STRIKE_ADDED;
}

bool ws_ed_struck_clear(struct ws_ed_struck_table *t, ws_us now,
			const struct ws_ed_strike *k)
{
	struct ws_ed_struck *s = entry_of(t, now, k->request);
	uint32_t i;

	if (contains(s->cleared, s->n_cleared, k->crash))
		return false;
	for (i = 0; i < s->n; i++)
		if (s->crashes[i] == k->crash)
			remove_crash(s->crashes, &s->n, i--);
	if (s->n_cleared == WS_ED_CLEARED_KEPT)
		remove_crash(s->cleared, &s->n_cleared, 0);
	s->cleared[s->n_cleared++] = k->crash;
	extend(s, now + WS_ED_REFUSED_TIME);
	update_refused(s, now);
	return true;
}

bool ws_ed_struck_refused(const struct ws_ed_struck *s)
{
	return s && s->n >= WS_ED_STRIKES_TO_REFUSE;
}

uint32_t ws_ed_struck_next(const struct ws_ed_struck_table *t, ws_us now,
			   uint32_t slot)
{
	for (; slot < t->slots.cap; slot++)
		if (t->slots.slot[slot].used && t->items[slot].until > now &&
		    ws_ed_struck_refused(&t->items[slot]))
			return slot;
	return WS_SLOT_NONE;
}
