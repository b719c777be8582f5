#include "core/ws_quar.h"

#include <stdlib.h>
#include <string.h>

#include "core/ws_slots.h"

struct entry {
	uint64_t fingerprint;
	uint64_t strike_id[WS_QUAR_STRIKES];
	unsigned strikes;
	ws_us until; /* WS_QUAR_TIME after the last counted strike */
};

struct ws_quar {
	struct ws_slots slots;
	struct entry *entries;
	size_t cap;
	size_t max_entries;
};

/* ===== Lifecycle ===== */

struct ws_quar *ws_quar_new(size_t max_entries)
{
	struct ws_quar *q = ws_alloc(1, sizeof(*q));

	ws_slots_init(&q->slots);
	q->max_entries = max_entries;
	return q;
}

void ws_quar_free(struct ws_quar *q)
{
	if (!q)
		return;
	ws_slots_free(&q->slots);
	free(q->entries);
	free(q);
}

/* ===== Entries ===== */

static uint64_t hash_of(uint64_t fingerprint)
{
	return ws_mix(fingerprint, 1);
}

static uint32_t find(const struct ws_quar *q, uint64_t fingerprint)
{
	uint32_t s = ws_slots_first(&q->slots, hash_of(fingerprint));

	while (s != WS_SLOT_NONE && q->entries[s].fingerprint != fingerprint)
		s = ws_slots_next(&q->slots, s);
	return s;
}

static void remove_expired(struct ws_quar *q, ws_us now)
{
	uint32_t s;

	for (s = 0; s < q->slots.cap; s++)
		if (q->slots.slot[s].used && q->entries[s].until <= now)
			ws_slots_release(&q->slots, s);
}

/* Eviction order: fewer strikes first, then the earlier expiry. */
static bool evict_before(const struct entry *a, const struct entry *b)
{
	if (a->strikes != b->strikes)
		return a->strikes < b->strikes;
	return a->until < b->until;
}

static void evict_one(struct ws_quar *q)
{
	uint32_t least = WS_SLOT_NONE;
	uint32_t s;

	for (s = 0; s < q->slots.cap; s++) {
		if (!q->slots.slot[s].used)
			continue;
		if (least == WS_SLOT_NONE ||
		    evict_before(&q->entries[s], &q->entries[least]))
			least = s;
	}
	if (least != WS_SLOT_NONE)
		ws_slots_release(&q->slots, least);
}

static struct entry *add(struct ws_quar *q, ws_us now, uint64_t fingerprint)
{
	uint32_t s;

	if (q->slots.count >= q->max_entries)
		remove_expired(q, now);
	if (q->slots.count >= q->max_entries)
		evict_one(q);
	s = ws_slots_alloc(&q->slots, hash_of(fingerprint));
	ws_grow(&q->entries, &q->cap, q->slots.cap, sizeof(*q->entries));
	q->entries[s] = (struct entry){ .fingerprint = fingerprint };
	return &q->entries[s];
}

/* ===== Strikes ===== */

static bool is_counted(const struct entry *e, uint64_t strike_id)
{
	unsigned i;

#ifdef WS_MUTANT_STRIKE_TWICE
	return false;
#endif
	for (i = 0; i < e->strikes; i++)
		if (e->strike_id[i] == strike_id)
			return true;
	return false;
}

void ws_quar_strike(struct ws_quar *q, ws_us now, uint64_t fingerprint,
		    uint64_t strike_id)
{
	uint32_t s = find(q, fingerprint);
	struct entry *e;

#ifdef WS_MUTANT_STRIKE_NEVER
	return;
#endif
	if (!q->max_entries)
		return;
	e = s == WS_SLOT_NONE ? add(q, now, fingerprint) : &q->entries[s];
	if (e->until <= now)
		e->strikes = 0;
	if (e->strikes >= WS_QUAR_STRIKES || is_counted(e, strike_id))
		return;
	e->strike_id[e->strikes++] = strike_id;
	e->until = now + WS_QUAR_TIME;
}

unsigned ws_quar_strikes(const struct ws_quar *q, ws_us now,
			 uint64_t fingerprint)
{
	uint32_t s = find(q, fingerprint);

	if (s == WS_SLOT_NONE || q->entries[s].until <= now)
		return 0;
	return q->entries[s].strikes;
}

bool ws_quar_is_quarantined(const struct ws_quar *q, ws_us now,
			    uint64_t fingerprint)
{
	return ws_quar_strikes(q, now, fingerprint) >= WS_QUAR_STRIKES;
}

void ws_quar_tick(struct ws_quar *q, ws_us now)
{
	remove_expired(q, now);
}

size_t ws_quar_count(const struct ws_quar *q)
{
	return q->slots.count;
}
