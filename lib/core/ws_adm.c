#include "core/ws_adm_priv.h"

#include <stdlib.h>
#include <string.h>

/* ===== Life ===== */

struct ws_adm *ws_adm_new(ws_id self, uint64_t seed)
{
	struct ws_adm *a = ws_alloc(1, sizeof(*a));

	a->self = self;
	/* Refs have 56 bits for the number, which must not wrap. */
	a->next_ref = ws_mix(self, seed) >> 16;
	a->partitions = 1;
	ws_slots_init(&a->customer_index);
	ws_slots_init(&a->wait_index);
	return a;
}

static void free_customer(struct ws_adm_customer *c)
{
	free(c->buckets);
	free(c->peer_state);
	free(c->pulled);
	memset(c, 0, sizeof(*c));
}

void ws_adm_free(struct ws_adm *a)
{
	size_t i;

	if (!a)
		return;
	for (i = 0; i < a->customer_index.cap; i++)
		if (a->customer_index.slot[i].used)
			free_customer(&a->customers[i]);
	free(a->customers);
	free(a->own_partitions);
	free(a->peers);
	free(a->waits);
	free(a->to_release);
	ws_slots_free(&a->customer_index);
	ws_slots_free(&a->wait_index);
	free(a);
}

/* ===== Customers ===== */

static uint32_t find_customer(const struct ws_adm *a, ws_id id)
{
	uint32_t s = ws_slots_first(&a->customer_index, ws_mix(id, 3));

	while (s != WS_SLOT_NONE && a->customers[s].id != id)
		s = ws_slots_next(&a->customer_index, s);
	return s;
}

/*
 * An empty bucket. It mints when tokens that a former holder, or this instance
 * under a former state, has given away can no longer be spent.
 */
static void start_bucket(struct ws_adm_bucket *b, ws_us now, uint32_t burst)
{
	memset(b, 0, sizeof(*b));
	b->minted_until = now + WS_TOKEN_LIFETIME;
	b->expired_slot = now / WS_ADM_EXPIRY_SLOT;
#ifdef WS_MUTANT_NEW_HOLDER_FULL
	b->level = (int64_t)burst * 1000000;
#else
	(void)burst;
#endif
}

static void add_customer(struct ws_adm *a, const struct ws_customer *bc,
			 ws_us now)
{
	uint32_t s = ws_slots_alloc(&a->customer_index, ws_mix(bc->id, 3));
	struct ws_adm_customer *c;
	size_t i;

	ws_grow(&a->customers, &a->customers_cap, a->customer_index.cap,
		sizeof(*a->customers));
	c = &a->customers[s];
	memset(c, 0, sizeof(*c));
	c->id = bc->id;
	c->rate = bc->rate;
	c->burst = bc->burst;
	c->listed = true;
	c->demand_at = now;
	c->first_wait = WS_SLOT_NONE;
	c->last_wait = WS_SLOT_NONE;
	c->buckets = ws_alloc(a->n_own_partitions, sizeof(*c->buckets));
	c->peer_state = ws_alloc(a->n_peers, sizeof(*c->peer_state));
	for (i = 0; i < a->n_own_partitions; i++)
		start_bucket(&c->buckets[i], now, c->burst);
	for (i = 0; i < a->n_peers; i++)
		c->peer_state[i] =
			(struct ws_adm_peer_state){ .reported_at = now,
						    .mint_left = 1000 };
}

static void drop_unlisted(struct ws_adm *a, struct ws_fx *fx)
{
	struct ws_adm_customer *c;
	uint32_t s;

	for (s = 0; s < a->customer_index.cap; s++) {
		c = &a->customers[s];
		if (!a->customer_index.slot[s].used || c->listed)
			continue;
		ws_adm_refuse_all(a, fx, c);
		free_customer(c);
		ws_slots_release(&a->customer_index, s);
	}
}

/* Units depend on the number of partitions; all tokens are dropped. */
static void reset_tokens(struct ws_adm *a, ws_us now)
{
	struct ws_adm_customer *c;
	uint32_t s;
	size_t i;

	for (s = 0; s < a->customer_index.cap; s++) {
		c = &a->customers[s];
		if (!a->customer_index.slot[s].used)
			continue;
		c->n_pulled = 0;
		for (i = 0; i < a->n_own_partitions; i++)
			start_bucket(&c->buckets[i], now, 0);
	}
}

static void take_bundle(struct ws_adm *a, struct ws_fx *fx, ws_us now,
			const struct ws_bundle *b)
{
	uint32_t s;
	size_t i;

	WS_INVARIANT(b->partitions > 0);
	if (a->partitions != b->partitions) {
		a->partitions = b->partitions;
		reset_tokens(a, now);
	}
	for (s = 0; s < a->customer_index.cap; s++)
		a->customers[s].listed = false;
	for (i = 0; i < b->n_customers; i++) {
		s = find_customer(a, b->customers[i].id);
		if (s == WS_SLOT_NONE) {
			add_customer(a, &b->customers[i], now);
			continue;
		}
		a->customers[s].listed = true;
		ws_adm_set_rate(a, &a->customers[s], now, b->customers[i].rate,
				b->customers[i].burst);
	}
	drop_unlisted(a, fx);
	a->bundle_version = b->version;
	a->has_bundle = true;
}

static void follow_bundle(struct ws_adm *a, struct ws_fx *fx, ws_us now,
			  const struct ws_view *view)
{
	const struct ws_bundle *b = view->bundle;

	if (b && (!a->has_bundle || b->version != a->bundle_version))
		take_bundle(a, fx, now, b);
}

/* ===== Partitions ===== */

static const struct ws_adm_partition *find_part(const struct ws_adm *a,
						uint32_t index, ws_offset fence)
{
	size_t i;

	for (i = 0; i < a->n_own_partitions; i++)
		if (a->own_partitions[i].index == index &&
		    a->own_partitions[i].fence == fence)
			return &a->own_partitions[i];
	return NULL;
}

static bool same_parts(const struct ws_adm *a, const uint32_t *index,
		       const ws_offset *fence, size_t n)
{
	size_t i;

	if (n != a->n_own_partitions)
		return false;
	for (i = 0; i < n; i++)
		if (a->own_partitions[i].index != index[i] ||
		    a->own_partitions[i].fence != fence[i])
			return false;
	return true;
}

static void move_buckets(struct ws_adm *a, struct ws_adm_customer *c,
			 const struct ws_adm_partition *parts, size_t n,
			 ws_us now)
{
	struct ws_adm_bucket *buckets = ws_alloc(n, sizeof(*buckets));
	const struct ws_adm_partition *old;
	size_t i;

	for (i = 0; i < n; i++) {
		old = find_part(a, parts[i].index, parts[i].fence);
		if (old)
			buckets[i] = c->buckets[old - a->own_partitions];
		else
			start_bucket(&buckets[i], now, c->burst);
	}
	free(c->buckets);
	c->buckets = buckets;
}

static void replace_parts(struct ws_adm *a, ws_us now, const uint32_t *index,
			  const ws_offset *fence, size_t n)
{
	struct ws_adm_partition *parts = ws_alloc(n, sizeof(*parts));
	size_t i;

	for (i = 0; i < n; i++) {
		parts[i].index = index[i];
		parts[i].fence = fence[i];
	}
	for (i = 0; i < a->customer_index.cap; i++)
		if (a->customer_index.slot[i].used)
			move_buckets(a, &a->customers[i], parts, n, now);
	free(a->own_partitions);
	a->own_partitions = parts;
	a->n_own_partitions = n;
}

void ws_adm_set_partitions(struct ws_adm *a, ws_us now, const uint32_t *index,
			   const ws_offset *fence, size_t n, ws_us mint_until)
{
	if (!same_parts(a, index, fence, n))
		replace_parts(a, now, index, fence, n);
	a->mint_until = mint_until;
}

/* ===== Requests ===== */

static void request_of(struct ws_adm *a, struct ws_fx *fx, ws_us now,
		       uint64_t id, const struct ws_call *call, uint32_t s)
{
	struct ws_adm_customer *c = &a->customers[s];
	int error = WS_ERR_RATE;

	c->arrivals++;
	ws_adm_refill(a, c, now);
	if (!c->n_wait && ws_adm_spend(a, c, now)) {
		ws_adm_admit(a, fx, id, call);
		return;
	}
	if (!ws_adm_wait(a, s, id, call, now)) {
		if (a->wait_index.count >= WS_ADM_MAX_WAITING)
			error = WS_ERR_LIMIT;
		ws_adm_refuse(a, fx, id, call, error, ws_adm_retry_after(c));
		return;
	}
	a->stats.waited++;
	ws_adm_pull(a, fx, c, now);
}

void ws_adm_request(struct ws_adm *a, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_call *call, const struct ws_view *view)
{
	uint32_t s;

	a->stats.requests++;
	follow_bundle(a, fx, now, view);
	s = find_customer(a, call->customer);
	if (!a->has_bundle)
		ws_adm_refuse(a, fx, id, call, WS_ERR_NO_BUNDLE, WS_SECOND);
	else if (s == WS_SLOT_NONE)
		ws_adm_refuse(a, fx, id, call, WS_ERR_BAD_KEY,
			      WS_ADM_NO_RATE_RETRY_AFTER);
	else
		request_of(a, fx, now, id, call, s);
}

/* ===== Messages and time ===== */

void ws_adm_msg(struct ws_adm *a, struct ws_fx *fx, ws_us now, ws_id from,
		const struct ws_msg *msg, const struct ws_view *view)
{
	struct ws_adm_customer *c;
	uint32_t s;

	follow_bundle(a, fx, now, view);
	s = find_customer(a, msg->u.token.customer);
	if (s == WS_SLOT_NONE)
		return;
	c = &a->customers[s];
	ws_adm_refill(a, c, now);
	if (msg->kind == WS_MSG_TOKEN_ASK) {
		ws_adm_on_ask(a, fx, c, now, from, msg);
	} else if (msg->kind == WS_MSG_TOKEN_GIVE) {
		ws_adm_on_give(a, c, now, from, msg);
		ws_adm_expire_waits(a, fx, c, now);
		ws_adm_serve(a, fx, c, now);
		ws_adm_pull(a, fx, c, now);
	}
}

static bool idle(const struct ws_adm_customer *c)
{
	return !c->arrivals && !c->n_wait && !c->n_pulled &&
	       c->demand < WS_ADM_MILLI / 10;
}

static void tick_customer(struct ws_adm *a, struct ws_fx *fx, ws_us now,
			  struct ws_adm_customer *c)
{
	if (idle(c)) {
		c->demand = 0;
		c->demand_at = now;
		return;
	}
	ws_adm_refill(a, c, now);
	ws_adm_update_demand(c, now);
	ws_adm_expire_pulled(a, c, now);
	ws_adm_expire_asks(a, c, now);
	ws_adm_expire_waits(a, fx, c, now);
	ws_adm_serve(a, fx, c, now);
	ws_adm_pull(a, fx, c, now);
}

static void release_dropped(struct ws_adm *a, struct ws_fx *fx)
{
	size_t i;

	for (i = 0; i < a->n_to_release; i++)
		if (a->to_release[i])
			ws_fx_add(fx, WS_FX_RELEASE)->u.release.payload =
				a->to_release[i];
	a->n_to_release = 0;
}

void ws_adm_tick(struct ws_adm *a, struct ws_fx *fx, ws_us now,
		 const struct ws_view *view)
{
	size_t i;

	a->last_tick = now;
	release_dropped(a, fx);
	follow_bundle(a, fx, now, view);
	ws_adm_update_peers(a, view, now);
	for (i = 0; i < a->customer_index.cap; i++)
		if (a->customer_index.slot[i].used)
			tick_customer(a, fx, now, &a->customers[i]);
}

/* ===== Questions ===== */

int64_t ws_adm_balance(const struct ws_adm *a, ws_id customer)
{
	uint32_t s = find_customer(a, customer);

	if (s == WS_SLOT_NONE)
		return 0;
	return ws_adm_spendable_units(a, &a->customers[s], a->last_tick) /
	       ws_adm_milli(a);
}

uint64_t ws_adm_spent(const struct ws_adm *a, ws_id customer)
{
	uint32_t s = find_customer(a, customer);

	return s == WS_SLOT_NONE ? 0 : a->customers[s].spent;
}

const struct ws_adm_stats *ws_adm_stats(const struct ws_adm *a)
{
	return &a->stats;
}
