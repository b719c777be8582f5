#include "core/ws_adm_priv.h"

#include <stdlib.h>

/* Tokens are prefetched for this time at the observed demand. */
#define PREFETCH_TIME (40 * WS_MS)

/*
 * Nothing is prefetched if fewer calls than this are expected during the
 * lifetime of the tokens, because many tokens would expire unused.
 */
#define PREFETCH_MIN_USES_MILLI 4000

/* Time constant of the smoothed demand. */
#define DEMAND_TIME_CONSTANT (250 * WS_MS)

/* A giver keeps tokens for this time at its own demand. */
#define RESERVE_TIME (10 * WS_MS)

#define PULL_TIMEOUT (100 * WS_MS)

/*
 * Delay before the next pull from a peer that did not answer; doubles each
 * time.
 */
#define RETRY_DELAY_MIN (100 * WS_MS)
#define RETRY_DELAY_DOUBLINGS 4

/*
 * The lifetime of pulled tokens is a quarter of the time in which the burst
 * refills, within these limits.
 */
#define LIFETIME_MIN_MS 20
#define LIFETIME_MAX_MS (WS_TOKEN_LIFETIME / WS_MS)

/*
 * Smallest expected yield of a pull: for a waiting call, unless the peer cannot
 * have much more, and for a prefetch.
 */
#define MIN_YIELD_WAITING_MILLI 250
#define MIN_YIELD_PREFETCH_MILLI 1000

/* Tokens are prefetched when less than this share of the goal is left. */
#define PREFETCH_BELOW_PERCENT 60

#define PULLS_PER_CUSTOMER_SECOND 100
#define BUDGET_BURST_DIVISOR 4 /* a burst is the budget of a quarter second */

#define MESSAGE_COST 1000000

/* ===== Peers ===== */

static const struct ws_adm_peer *find_peer(const struct ws_adm_peer *peers,
					   size_t n, ws_id id)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (peers[i].id == id)
			return &peers[i];
	return NULL;
}

static struct ws_adm_peer_state *
rebuild_peer_state(struct ws_adm *a, struct ws_adm_customer *c,
		   const struct ws_adm_peer *peers, size_t n, ws_us now)
{
	struct ws_adm_peer_state *state = ws_alloc(n, sizeof(*state));
	const struct ws_adm_peer *old;
	size_t i;

	for (i = 0; i < n; i++) {
		old = find_peer(a->peers, a->n_peers, peers[i].id);
		if (old)
			state[i] = c->peer_state[old - a->peers];
		else
			state[i] =
				(struct ws_adm_peer_state){ .reported_at = now,
							    .mint_left = 1000 };
	}
	return state;
}

/* Replaces the array of peers and takes ownership of the new one. */
static void replace_peers(struct ws_adm *a, struct ws_adm_peer *peers, size_t n,
			  ws_us now)
{
	struct ws_adm_peer_state *state;
	size_t i;

	for (i = 0; i < a->customer_index.cap; i++) {
		if (!a->customer_index.slot[i].used)
			continue;
		state = rebuild_peer_state(a, &a->customers[i], peers, n, now);
		free(a->customers[i].peer_state);
		a->customers[i].peer_state = state;
	}
	free(a->peers);
	a->peers = peers;
	a->n_peers = n;
}

static bool same_peers(const struct ws_adm *a, const struct ws_adm_peer *peers,
		       size_t n)
{
	size_t i;

	if (n != a->n_peers)
		return false;
	for (i = 0; i < n; i++)
		if (peers[i].id != a->peers[i].id ||
		    peers[i].share != a->peers[i].share)
			return false;
	return true;
}

void ws_adm_set_holders(struct ws_adm *a, const ws_id *holder, size_t n)
{
	struct ws_adm_peer *peers = ws_alloc(n, sizeof(*peers));
	size_t count = 0;
	size_t i;
	size_t j;

	for (i = 0; i < n; i++) {
		if (!holder[i] || holder[i] == a->self)
			continue;
		for (j = 0; j < count && peers[j].id != holder[i];)
			j++;
		if (j == count)
			peers[count++] = (struct ws_adm_peer){ .id = holder[i],
							       .alive = true };
		peers[j].share += 1000;
	}
	a->holders_known = true;
	if (same_peers(a, peers, count))
		free(peers);
	else
		replace_peers(a, peers, count, a->last_tick);
}

static size_t count_alive(const struct ws_view *view)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < view->n_instances; i++)
		n += view->instances[i].alive;
	return n;
}

/* Assumes that every live instance holds an equal share. */
static void peers_from_view(struct ws_adm *a, const struct ws_view *view,
			    ws_us now)
{
	size_t alive = count_alive(view);
	struct ws_adm_peer *peers = ws_alloc(alive, sizeof(*peers));
	size_t n = 0;
	size_t i;

	for (i = 0; i < view->n_instances; i++) {
		if (!view->instances[i].alive ||
		    view->instances[i].id == a->self)
			continue;
		peers[n].id = view->instances[i].id;
		peers[n].share =
			(uint32_t)(a->partitions * 1000 / (int64_t)alive);
		peers[n].alive = true;
		n++;
	}
	if (same_peers(a, peers, n))
		free(peers);
	else
		replace_peers(a, peers, n, now);
}

static bool is_alive(const struct ws_view *view, ws_id id)
{
	size_t low = 0;
	size_t high = view->n_instances;
	size_t mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (view->instances[mid].id < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low < view->n_instances && view->instances[low].id == id &&
	       view->instances[low].alive;
}

void ws_adm_update_peers(struct ws_adm *a, const struct ws_view *view,
			 ws_us now)
{
	size_t i;

	if (!a->holders_known) {
		peers_from_view(a, view, now);
		return;
	}
	for (i = 0; i < a->n_peers; i++)
		a->peers[i].alive = is_alive(view, a->peers[i].id);
}

/* ===== Budgets of messages ===== */

static void refill_budget(struct ws_adm_budget *b, ws_us now, int64_t rate)
{
	int64_t most = rate * MESSAGE_COST / BUDGET_BURST_DIVISOR;
	ws_us dt = now - b->refilled_at;

	if (dt > WS_SECOND)
		dt = WS_SECOND;
	b->level += dt * rate;
	if (b->level > most)
		b->level = most;
	b->refilled_at = now;
}

static bool may_send_pull(struct ws_adm *a, struct ws_adm_customer *c,
			  ws_us now)
{
	refill_budget(&a->budget, now, WS_ADM_ASKS_PER_SECOND);
	refill_budget(&c->budget, now, PULLS_PER_CUSTOMER_SECOND);
	return a->budget.level >= MESSAGE_COST &&
	       c->budget.level >= MESSAGE_COST;
}

static void charge_message(struct ws_adm *a, struct ws_adm_customer *c)
{
	a->budget.level -= MESSAGE_COST;
	c->budget.level -= MESSAGE_COST;
}

/* ===== Demand ===== */

void ws_adm_update_demand(struct ws_adm_customer *c, ws_us now)
{
	ws_us dt = now - c->demand_at;
	int64_t seen;

	if (dt <= 0)
		return;
	seen = (int64_t)c->arrivals * WS_ADM_MILLI * WS_SECOND / dt;
	if (dt > DEMAND_TIME_CONSTANT)
		dt = DEMAND_TIME_CONSTANT;
	c->demand += (seen - c->demand) * dt / DEMAND_TIME_CONSTANT;
	c->arrivals = 0;
	c->demand_at = now;
}

static ws_us pulled_lifetime(const struct ws_adm_customer *c)
{
	int64_t ms = LIFETIME_MAX_MS;

	if (c->rate)
		ms = (int64_t)c->burst * 1000 / (4 * (int64_t)c->rate);
	if (ms < LIFETIME_MIN_MS)
		ms = LIFETIME_MIN_MS;
	if (ms > LIFETIME_MAX_MS)
		ms = LIFETIME_MAX_MS;
	return ms * WS_MS;
}

/* Milli that should be available for expected calls. */
static int64_t prefetch_amount(const struct ws_adm_customer *c)
{
	int64_t demand = c->demand;
	ws_us time = pulled_lifetime(c) / 2;
	int64_t milli;

	if (demand > (int64_t)c->rate * WS_ADM_MILLI)
		demand = (int64_t)c->rate * WS_ADM_MILLI;
	if (time > PREFETCH_TIME)
		time = PREFETCH_TIME;
	if (demand * pulled_lifetime(c) / WS_SECOND < PREFETCH_MIN_USES_MILLI)
		return 0;
	milli = demand * time / WS_SECOND;
	return milli + milli / 4 + WS_ADM_MILLI;
}

/* ===== Asking ===== */

static int64_t max_at_peer(const struct ws_adm *a,
			   const struct ws_adm_customer *c, size_t peer)
{
	return (int64_t)c->burst * a->peers[peer].share / a->partitions;
}

static int64_t minted_at_peer(const struct ws_adm *a,
			      const struct ws_adm_customer *c, size_t peer,
			      ws_us dt)
{
	int64_t most = max_at_peer(a, c, peer);
	int64_t n;

	if (dt > 10 * WS_SECOND)
		return most;
	n = (int64_t)c->rate * dt / 1000 * a->peers[peer].share / 1000 /
	    a->partitions;
	return n < most ? n : most;
}

/*
 * Milli that a peer is expected to be able to give now. For waiting calls, all
 * that the peer may have minted is counted, because without a pull they would
 * be refused.
 */
static int64_t estimate_balance(const struct ws_adm *a,
				const struct ws_adm_customer *c, size_t peer,
				ws_us now)
{
	const struct ws_adm_peer_state *k = &c->peer_state[peer];
	int64_t minted = minted_at_peer(a, c, peer, now - k->reported_at);
	int64_t most = max_at_peer(a, c, peer);

	if (!c->n_wait)
		minted = minted * k->mint_left / 1000;
	return k->balance + minted < most ? k->balance + minted : most;
}

int64_t ws_adm_max_reachable(const struct ws_adm *a,
			     const struct ws_adm_customer *c, ws_us now)
{
	int64_t sum = ws_adm_spendable_units(a, c, now) / ws_adm_milli(a);
	size_t i;

	for (i = 0; i < a->n_peers; i++)
		if (a->peers[i].alive)
			sum += estimate_balance(a, c, i, now);
	return sum;
}

static int64_t min_yield(const struct ws_adm *a,
			 const struct ws_adm_customer *c, size_t peer)
{
	int64_t most = max_at_peer(a, c, peer);

	if (!c->n_wait)
		return MIN_YIELD_PREFETCH_MILLI;
	return most / 2 < MIN_YIELD_WAITING_MILLI ? most / 2 + 1 :
						    MIN_YIELD_WAITING_MILLI;
}

/*
 * Returns the peer with the highest estimate that is worth a message, or
 * n_peers.
 */
static size_t best_peer(const struct ws_adm *a, const struct ws_adm_customer *c,
			ws_us now, int64_t *yield)
{
	size_t best = a->n_peers;
	size_t i;
	int64_t n;

	*yield = -1;
	for (i = 0; i < a->n_peers; i++) {
		if (!a->peers[i].alive || c->peer_state[i].ref ||
		    now < c->peer_state[i].retry_at)
			continue;
		n = estimate_balance(a, c, i, now);
		if (n > *yield && n >= min_yield(a, c, i)) {
			best = i;
			*yield = n;
		}
	}
	return best;
}

static uint32_t clamp_u32(int64_t n)
{
	if (n < 0)
		return 0;
	return n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

/*
 * Requests no more than the estimate, so that concurrent pulls do not exceed
 * the need.
 */
static void send_pull(struct ws_adm *a, struct ws_fx *fx,
		      struct ws_adm_customer *c, size_t peer, ws_us now,
		      int64_t want, int64_t yield)
{
	struct ws_adm_peer_state *k = &c->peer_state[peer];
	struct ws_effect *e = ws_fx_add(fx, WS_FX_SEND);
	struct ws_msg *m = &e->u.send.msg;

	k->ref = ++a->next_ref << 8 | (uint64_t)(pulled_lifetime(c) / WS_MS);
	k->sent = now;
	k->expected = clamp_u32(want < yield ? want : yield);
	e->u.send.to = a->peers[peer].id;
	m->kind = WS_MSG_TOKEN_ASK;
	m->u.token.ref = k->ref;
	m->u.token.customer = c->id;
	m->u.token.tokens = k->expected;
	m->u.token.balance =
		clamp_u32(ws_adm_spendable_units(a, c, now) / ws_adm_milli(a));
	a->stats.asks++;
}

static int64_t pending_milli(const struct ws_adm *a,
			     const struct ws_adm_customer *c)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < a->n_peers; i++)
		if (c->peer_state[i].ref)
			sum += c->peer_state[i].expected;
	return sum;
}

static int64_t missing_milli(const struct ws_adm *a,
			     const struct ws_adm_customer *c, ws_us now)
{
	int64_t aim = prefetch_amount(c);
	int64_t have;

	if (!aim && !c->n_wait)
		return 0;
	have = ws_adm_spendable_units(a, c, now) / ws_adm_milli(a) +
	       pending_milli(a, c);
	if (!c->n_wait && have * 100 >= aim * PREFETCH_BELOW_PERCENT)
		return 0;
	return aim + (int64_t)c->n_wait * WS_ADM_MILLI - have;
}

void ws_adm_pull(struct ws_adm *a, struct ws_fx *fx, struct ws_adm_customer *c,
		 ws_us now)
{
	int64_t need = missing_milli(a, c, now);
	int64_t yield;
	size_t peer;

	while (need > 0 && may_send_pull(a, c, now)) {
		peer = best_peer(a, c, now, &yield);
		if (peer == a->n_peers)
			return;
		charge_message(a, c);
		send_pull(a, fx, c, peer, now, need, yield);
		need -= yield;
	}
}

void ws_adm_expire_asks(struct ws_adm *a, struct ws_adm_customer *c, ws_us now)
{
	struct ws_adm_peer_state *k;
	size_t i;

	for (i = 0; i < a->n_peers; i++) {
		k = &c->peer_state[i];
		if (!k->ref || now < k->sent + PULL_TIMEOUT)
			continue;
		k->ref = 0;
		k->balance = 0;
		k->reported_at = now;
		k->retry_at = now + (RETRY_DELAY_MIN << k->unanswered);
		if (k->unanswered < RETRY_DELAY_DOUBLINGS)
			k->unanswered++;
	}
}

/* ===== Answering ===== */

/* Milli that this instance can give to a peer. */
static int64_t spare_milli(const struct ws_adm *a,
			   const struct ws_adm_customer *c, ws_us now,
			   const struct ws_msg *msg, ws_id from)
{
	int64_t own = ws_adm_bucket_units(a, c, now) / ws_adm_milli(a);
	int64_t all = ws_adm_spendable_units(a, c, now) / ws_adm_milli(a);
	int64_t theirs = msg->u.token.balance;

	if (!c->n_wait && theirs < WS_ADM_MILLI)
		return own;
	if (!c->n_wait)
		return own - c->demand * RESERVE_TIME / WS_SECOND;
	/*
	 * Both instances have waiting calls and less than one token: the one
	 * that has more gets the rest, otherwise neither call could be served.
	 */
	if (theirs >= WS_ADM_MILLI || all >= WS_ADM_MILLI || theirs < all ||
	    (theirs == all && from > a->self))
		return 0;
	return own;
}

void ws_adm_on_ask(struct ws_adm *a, struct ws_fx *fx,
		   struct ws_adm_customer *c, ws_us now, ws_id from,
		   const struct ws_msg *msg)
{
	int64_t can = spare_milli(a, c, now, msg, from);
	ws_us life = (ws_us)(msg->u.token.ref & 255) * WS_MS;
	uint32_t want = msg->u.token.tokens;
	struct ws_effect *e;

	if (!life || life > WS_TOKEN_LIFETIME)
		return;
	if (can < want)
		want = clamp_u32(can);
	want = ws_adm_take_for_peer(a, c, now, want, now + life);
	e = ws_fx_add(fx, WS_FX_SEND);
	e->u.send.to = from;
	e->u.send.msg.kind = WS_MSG_TOKEN_GIVE;
	e->u.send.msg.u.token.ref = msg->u.token.ref;
	e->u.send.msg.u.token.customer = c->id;
	e->u.send.msg.u.token.tokens = want;
	e->u.send.msg.u.token.balance = clamp_u32(can - want);
	a->stats.gives++;
}

/* Updates the share of what the peer mints that is left for others. */
static void update_peer_state(struct ws_adm *a, struct ws_adm_customer *c,
			      size_t peer, ws_us now, const struct ws_msg *msg)
{
	struct ws_adm_peer_state *k = &c->peer_state[peer];
	int64_t minted = minted_at_peer(a, c, peer, now - k->reported_at);
	int64_t had = (int64_t)msg->u.token.tokens + msg->u.token.balance;
	int64_t share = 1000;

	if (minted > 0)
		share = (had - k->balance) * 1000 / minted;
	if (share < 50)
		share = 50;
	if (share > 1000)
		share = 1000;
	k->mint_left = (uint32_t)(((int64_t)k->mint_left * 3 + share) / 4);
	k->balance = msg->u.token.balance;
	k->reported_at = now;
}

void ws_adm_on_give(struct ws_adm *a, struct ws_adm_customer *c, ws_us now,
		    ws_id from, const struct ws_msg *msg)
{
	const struct ws_adm_peer *p = find_peer(a->peers, a->n_peers, from);
	struct ws_adm_peer_state *k;
	ws_us expires;

	if (!p)
		return;
	k = &c->peer_state[p - a->peers];
	if (!k->ref || k->ref != msg->u.token.ref)
		return;
	expires = k->sent + (ws_us)(k->ref & 255) * WS_MS;
#ifndef WS_MUTANT_GIVE_TAKEN_TWICE
	k->ref = 0;
#endif
	k->unanswered = 0;
	k->retry_at = 0;
	update_peer_state(a, c, (size_t)(p - a->peers), now, msg);
	if (msg->u.token.tokens && now < expires)
		ws_adm_add_pulled(c, msg->u.token.tokens * ws_adm_milli(a),
				  expires);
}
