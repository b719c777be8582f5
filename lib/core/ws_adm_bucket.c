#include "core/ws_adm_priv.h"

#include <string.h>

/* Longer times would overflow at the largest rate. */
#define MAX_STEP (1000 * WS_SECOND)

/* ===== Minting ===== */

static int64_t room(const struct ws_adm_customer *c,
		    const struct ws_adm_bucket *b)
{
	int64_t n = (int64_t)c->burst * 1000000 - b->outstanding;

	return n > 0 ? n : 0;
}

static void mint_until(const struct ws_adm_customer *c, struct ws_adm_bucket *b,
		       ws_us t)
{
	ws_us dt = t - b->minted_until;

	if (dt <= 0)
		return;
	if (dt > MAX_STEP)
		dt = MAX_STEP;
#ifdef WS_MUTANT_DOUBLE_SHARE
	dt *= 2;
#endif
	b->level += (int64_t)c->rate * dt;
	if (b->level > room(c, b))
		b->level = room(c, b);
	b->minted_until = t;
}

static void expire_slot(const struct ws_adm *a, struct ws_adm_bucket *b)
{
	uint32_t *given = &b->given[++b->expired_slot % WS_ADM_EXPIRY_SLOTS];

	b->outstanding -= (int64_t)*given * ws_adm_milli(a);
	*given = 0;
	WS_INVARIANT(b->outstanding >= 0);
}

/*
 * Steps through the expiries of given tokens, because the room of the bucket
 * changes at each of them.
 */
static void refill_one(const struct ws_adm *a, const struct ws_adm_customer *c,
		       struct ws_adm_bucket *b, ws_us now)
{
	int64_t last = now / WS_ADM_EXPIRY_SLOT;

	while (b->outstanding && b->expired_slot < last) {
		mint_until(c, b, (b->expired_slot + 1) * WS_ADM_EXPIRY_SLOT);
		expire_slot(a, b);
	}
	if (b->expired_slot < last)
		b->expired_slot = last;
	mint_until(c, b, now);
}

void ws_adm_refill(const struct ws_adm *a, struct ws_adm_customer *c, ws_us now)
{
	size_t i;

	for (i = 0; i < a->n_own_partitions; i++)
		refill_one(a, c, &c->buckets[i], now);
}

void ws_adm_set_rate(const struct ws_adm *a, struct ws_adm_customer *c,
		     ws_us now, uint32_t rate, uint32_t burst)
{
	struct ws_adm_bucket *b;
	size_t i;

	ws_adm_refill(a, c, now);
	c->rate = rate;
	c->burst = burst;
	for (i = 0; i < a->n_own_partitions; i++) {
		b = &c->buckets[i];
		if (b->level > room(c, b))
			b->level = room(c, b);
	}
}

/* ===== Sums ===== */

static bool fresh(const struct ws_adm *a, ws_us now)
{
#ifdef WS_MUTANT_MINT_STALE
	return true;
#endif
	return now < a->mint_until;
}

int64_t ws_adm_bucket_units(const struct ws_adm *a,
			    const struct ws_adm_customer *c, ws_us now)
{
	int64_t sum = 0;
	size_t i;

	if (!fresh(a, now))
		return 0;
	for (i = 0; i < a->n_own_partitions; i++)
		sum += c->buckets[i].level;
	return sum;
}

static bool usable(const struct ws_adm_pulled *p, ws_us now)
{
#ifdef WS_MUTANT_PULLED_NEVER_EXPIRES
	return true;
#endif
	return now < p->expires;
}

int64_t ws_adm_spendable_units(const struct ws_adm *a,
			       const struct ws_adm_customer *c, ws_us now)
{
	int64_t sum = ws_adm_bucket_units(a, c, now);
	size_t i;

	for (i = 0; i < c->n_pulled; i++)
		if (usable(&c->pulled[i], now))
			sum += c->pulled[i].units;
	return sum;
}

/* ===== Pulled tokens ===== */

static void drop_first_pulled(struct ws_adm_customer *c, size_t n)
{
	c->n_pulled -= n;
	memmove(c->pulled, c->pulled + n, c->n_pulled * sizeof(*c->pulled));
}

void ws_adm_add_pulled(struct ws_adm_customer *c, int64_t units, ws_us expires)
{
	size_t i = c->n_pulled;

	if (c->n_pulled == WS_ADM_MAX_PULLED) {
		/* An earlier expiry than the true one is safe. */
		c->pulled[0].units += units;
		if (expires < c->pulled[0].expires)
			c->pulled[0].expires = expires;
		return;
	}
	ws_grow(&c->pulled, &c->cap_pulled, c->n_pulled + 1,
		sizeof(*c->pulled));
	for (; i && c->pulled[i - 1].expires > expires; i--)
		c->pulled[i] = c->pulled[i - 1];
	c->pulled[i] = (struct ws_adm_pulled){ units, expires };
	c->n_pulled++;
}

void ws_adm_expire_pulled(struct ws_adm *a, struct ws_adm_customer *c,
			  ws_us now)
{
	size_t n = 0;

	for (; n < c->n_pulled && !usable(&c->pulled[n], now); n++)
		a->stats.expired_milli +=
			(uint64_t)(c->pulled[n].units / ws_adm_milli(a));
	if (n)
		drop_first_pulled(c, n);
}

/* ===== Spending ===== */

/*
 * The bucket that is nearest to its bound among those with tokens, or NULL.
 * Taking from it first wastes the least of what is minted.
 */
static struct ws_adm_bucket *
fullest(const struct ws_adm *a, const struct ws_adm_customer *c, int64_t least)
{
	struct ws_adm_bucket *best = NULL;
	struct ws_adm_bucket *b;
	size_t i;

	for (i = 0; i < a->n_own_partitions; i++) {
		b = &c->buckets[i];
		if (b->level < least)
			continue;
		if (!best ||
		    b->level + b->outstanding > best->level + best->outstanding)
			best = b;
	}
	return best;
}

static int64_t take(int64_t *from, int64_t want)
{
	int64_t n = *from < want ? *from : want;

	*from -= n;
	return n;
}

/* Pulled tokens go first, because they expire. */
static int64_t spend_pulled(struct ws_adm_customer *c, ws_us now, int64_t want)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < c->n_pulled && want; i++)
		if (usable(&c->pulled[i], now))
			want -= take(&c->pulled[i].units, want);
	while (n < c->n_pulled && !c->pulled[n].units)
		n++;
	if (n)
		drop_first_pulled(c, n);
	return want;
}

bool ws_adm_spend(const struct ws_adm *a, struct ws_adm_customer *c, ws_us now)
{
	int64_t want = ws_adm_token(a);

	if (ws_adm_spendable_units(a, c, now) < want)
		return false;
	want = spend_pulled(c, now, want);
	while (want)
		want -= take(&fullest(a, c, 1)->level, want);
	c->spent++;
	return true;
}

/* ===== Giving ===== */

static uint32_t give_from(const struct ws_adm *a, struct ws_adm_bucket *b,
			  uint32_t milli, ws_us expires)
{
	int64_t n = b->level / ws_adm_milli(a);
	int64_t slot = (expires + WS_ADM_EXPIRY_SLOT - 1) / WS_ADM_EXPIRY_SLOT;

	WS_INVARIANT(slot > b->expired_slot &&
		     slot <= b->expired_slot + WS_ADM_EXPIRY_SLOTS);
	if (n > milli)
		n = milli;
#ifndef WS_MUTANT_GIVER_NOT_DEBITED
	b->level -= n * ws_adm_milli(a);
#endif
#ifndef WS_MUTANT_GIVEN_NOT_COUNTED
	b->given[slot % WS_ADM_EXPIRY_SLOTS] += (uint32_t)n;
	b->outstanding += n * ws_adm_milli(a);
#endif
	return (uint32_t)n;
}

uint32_t ws_adm_take_for_peer(const struct ws_adm *a, struct ws_adm_customer *c,
			      ws_us now, uint32_t milli, ws_us expires)
{
	struct ws_adm_bucket *b;
	uint32_t sum = 0;

	if (!fresh(a, now))
		return 0;
	while (sum < milli && (b = fullest(a, c, ws_adm_milli(a))))
		sum += give_from(a, b, milli - sum, expires);
	return sum;
}
