#include "core/ws_adm_priv.h"

#include <stdlib.h>

/* Time that the tokens kept ready last at the observed demand. */
#define AHEAD (40 * WS_MS)

/*
 * Nothing is pulled ahead if fewer calls than this are to be expected during
 * the life of the tokens, because many would expire.
 */
#define AHEAD_USES 4000 /* milli */

/* Time constant of the smoothed demand. */
#define DEMAND_TIME (250 * WS_MS)

/* Time that a giver keeps tokens for at its own demand. */
#define RESERVE (10 * WS_MS)

/* A pull without answer after this time is given up. */
#define ASK_TIMEOUT (100 * WS_MS)

/* After a pull without answer a peer is left alone, twice as long each time. */
#define SILENT_FIRST (100 * WS_MS)
#define SILENT_DOUBLINGS 4

/* Life of pulled tokens: a quarter of the time in which the burst refills. */
#define LIFE_MIN_MS 20
#define LIFE_MAX_MS (WS_TOKEN_LIFETIME / WS_MS)

/*
 * Smallest expected yield of a pull, in milli: for a waiting call, unless the
 * peer cannot have much more; ahead of the demand.
 */
#define YIELD_WAITING 250
#define YIELD_AHEAD 1000

/* Tokens are pulled ahead when less than this share of the aim is left. */
#define REFILL_BELOW_PERCENT 60

#define ASKS_PER_CUSTOMER_SECOND 100
#define BUDGET_BURST_PARTS 4 /* a quarter second's budget at once */

#define MESSAGE 1000000

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

static struct ws_adm_peer_state *move_known(struct ws_adm *a,
					    struct ws_adm_customer *c,
					    const struct ws_adm_peer *peers,
					    size_t n, ws_us now)
{
	struct ws_adm_peer_state *known = ws_alloc(n, sizeof(*known));
	const struct ws_adm_peer *old;
	size_t i;

	for (i = 0; i < n; i++) {
		old = find_peer(a->peers, a->n_peers, peers[i].id);
		if (old)
			known[i] = c->peer_state[old - a->peers];
		else
			known[i] =
				(struct ws_adm_peer_state){ .reported_at = now,
							    .mint_left = 1000 };
	}
	return known;
}

/* Takes over the array of peers. */
static void replace_peers(struct ws_adm *a, struct ws_adm_peer *peers, size_t n,
			  ws_us now)
{
	struct ws_adm_peer_state *known;
	size_t i;

	for (i = 0; i < a->customer_index.cap; i++) {
		if (!a->customer_index.slot[i].used)
			continue;
		known = move_known(a, &a->customers[i], peers, n, now);
		free(a->customers[i].peer_state);
		a->customers[i].peer_state = known;
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

/* Every live instance is taken to hold an equal share. */
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
	int64_t most = rate * MESSAGE / BUDGET_BURST_PARTS;
	ws_us dt = now - b->refilled_at;

	if (dt > WS_SECOND)
		dt = WS_SECOND;
	b->level += dt * rate;
	if (b->level > most)
		b->level = most;
	b->refilled_at = now;
}

static bool can_pay(struct ws_adm *a, struct ws_adm_customer *c, ws_us now)
{
	refill_budget(&a->budget, now, WS_ADM_ASKS_PER_SECOND);
	refill_budget(&c->budget, now, ASKS_PER_CUSTOMER_SECOND);
	return a->budget.level >= MESSAGE && c->budget.level >= MESSAGE;
}

static void pay_message(struct ws_adm *a, struct ws_adm_customer *c)
{
	a->budget.level -= MESSAGE;
	c->budget.level -= MESSAGE;
}

/* ===== Demand ===== */

void ws_adm_update_demand(struct ws_adm_customer *c, ws_us now)
{
	ws_us dt = now - c->demand_at;
	int64_t seen;

	if (dt <= 0)
		return;
	seen = (int64_t)c->arrivals * WS_ADM_MILLI * WS_SECOND / dt;
	if (dt > DEMAND_TIME)
		dt = DEMAND_TIME;
	c->demand += (seen - c->demand) * dt / DEMAND_TIME;
	c->arrivals = 0;
	c->demand_at = now;
}

static ws_us life_of(const struct ws_adm_customer *c)
{
	int64_t ms = LIFE_MAX_MS;

	if (c->rate)
		ms = (int64_t)c->burst * 1000 / (4 * (int64_t)c->rate);
	if (ms < LIFE_MIN_MS)
		ms = LIFE_MIN_MS;
	if (ms > LIFE_MAX_MS)
		ms = LIFE_MAX_MS;
	return ms * WS_MS;
}

/* Milli that should be ready for calls to come. */
static int64_t ahead(const struct ws_adm_customer *c)
{
	int64_t demand = c->demand;
	ws_us time = life_of(c) / 2;
	int64_t milli;

	if (demand > (int64_t)c->rate * WS_ADM_MILLI)
		demand = (int64_t)c->rate * WS_ADM_MILLI;
	if (time > AHEAD)
		time = AHEAD;
	if (demand * life_of(c) / WS_SECOND < AHEAD_USES)
		return 0;
	milli = demand * time / WS_SECOND;
	return milli + milli / 4 + WS_ADM_MILLI;
}

/* ===== Asking ===== */

static int64_t most_at(const struct ws_adm *a, const struct ws_adm_customer *c,
		       size_t peer)
{
	return (int64_t)c->burst * a->peers[peer].share / a->partitions;
}

static int64_t inflow(const struct ws_adm *a, const struct ws_adm_customer *c,
		      size_t peer, ws_us dt)
{
	int64_t most = most_at(a, c, peer);
	int64_t n;

	if (dt > 10 * WS_SECOND)
		return most;
	n = (int64_t)c->rate * dt / 1000 * a->peers[peer].share / 1000 /
	    a->partitions;
	return n < most ? n : most;
}

/*
 * Milli that a peer is expected to have to give now. A waiting call counts on
 * all that the peer may have minted, because not to ask would refuse it.
 */
static int64_t estimate(const struct ws_adm *a, const struct ws_adm_customer *c,
			size_t peer, ws_us now)
{
	const struct ws_adm_peer_state *k = &c->peer_state[peer];
	int64_t minted = inflow(a, c, peer, now - k->reported_at);
	int64_t most = most_at(a, c, peer);

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
			sum += estimate(a, c, i, now);
	return sum;
}

static int64_t least_yield(const struct ws_adm *a,
			   const struct ws_adm_customer *c, size_t peer)
{
	int64_t most = most_at(a, c, peer);

	if (!c->n_wait)
		return YIELD_AHEAD;
	return most / 2 < YIELD_WAITING ? most / 2 + 1 : YIELD_WAITING;
}

/* The peer with the highest estimate that is worth a message, or n_peers. */
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
		n = estimate(a, c, i, now);
		if (n > *yield && n >= least_yield(a, c, i)) {
			best = i;
			*yield = n;
		}
	}
	return best;
}

static uint32_t clip32(int64_t n)
{
	if (n < 0)
		return 0;
	return n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

/* No more than expected, so that pulls sent together do not exceed the need. */
static void ask(struct ws_adm *a, struct ws_fx *fx, struct ws_adm_customer *c,
		size_t peer, ws_us now, int64_t want, int64_t yield)
{
	struct ws_adm_peer_state *k = &c->peer_state[peer];
	struct ws_effect *e = ws_fx_add(fx, WS_FX_SEND);
	struct ws_msg *m = &e->u.send.msg;

	k->ref = ++a->next_ref << 8 | (uint64_t)(life_of(c) / WS_MS);
	k->sent = now;
	k->expected = clip32(want < yield ? want : yield);
	e->u.send.to = a->peers[peer].id;
	m->kind = WS_MSG_TOKEN_ASK;
	m->u.token.ref = k->ref;
	m->u.token.customer = c->id;
	m->u.token.tokens = k->expected;
	m->u.token.balance =
		clip32(ws_adm_spendable_units(a, c, now) / ws_adm_milli(a));
	a->stats.asks++;
}

static int64_t pending(const struct ws_adm *a, const struct ws_adm_customer *c)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < a->n_peers; i++)
		if (c->peer_state[i].ref)
			sum += c->peer_state[i].expected;
	return sum;
}

/* Milli to pull now. */
static int64_t shortage(const struct ws_adm *a, const struct ws_adm_customer *c,
			ws_us now)
{
	int64_t aim = ahead(c);
	int64_t have;

	if (!aim && !c->n_wait)
		return 0;
	have = ws_adm_spendable_units(a, c, now) / ws_adm_milli(a) +
	       pending(a, c);
	if (!c->n_wait && have * 100 >= aim * REFILL_BELOW_PERCENT)
		return 0;
	return aim + (int64_t)c->n_wait * WS_ADM_MILLI - have;
}

void ws_adm_pull(struct ws_adm *a, struct ws_fx *fx, struct ws_adm_customer *c,
		 ws_us now)
{
	int64_t need = shortage(a, c, now);
	int64_t yield;
	size_t peer;

	while (need > 0 && can_pay(a, c, now)) {
		peer = best_peer(a, c, now, &yield);
		if (peer == a->n_peers)
			return;
		pay_message(a, c);
		ask(a, fx, c, peer, now, need, yield);
		need -= yield;
	}
}

void ws_adm_expire_asks(struct ws_adm *a, struct ws_adm_customer *c, ws_us now)
{
	struct ws_adm_peer_state *k;
	size_t i;

	for (i = 0; i < a->n_peers; i++) {
		k = &c->peer_state[i];
		if (!k->ref || now < k->sent + ASK_TIMEOUT)
			continue;
		k->ref = 0;
		k->balance = 0;
		k->reported_at = now;
		k->retry_at = now + (SILENT_FIRST << k->unanswered);
		if (k->unanswered < SILENT_DOUBLINGS)
			k->unanswered++;
	}
}

/* ===== Answering ===== */

/* Milli that this instance can spare. */
static int64_t spare(const struct ws_adm *a, const struct ws_adm_customer *c,
		     ws_us now, const struct ws_msg *msg, ws_id from)
{
	int64_t own = ws_adm_bucket_units(a, c, now) / ws_adm_milli(a);
	int64_t all = ws_adm_spendable_units(a, c, now) / ws_adm_milli(a);
	int64_t theirs = msg->u.token.balance;

	if (!c->n_wait && theirs < WS_ADM_MILLI)
		return own;
	if (!c->n_wait)
		return own - c->demand * RESERVE / WS_SECOND;
	/*
	 * Both have waiting calls and less than a token each: the one that
	 * has more gets the rest, else neither call would be served.
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
	int64_t can = spare(a, c, now, msg, from);
	ws_us life = (ws_us)(msg->u.token.ref & 255) * WS_MS;
	uint32_t want = msg->u.token.tokens;
	struct ws_effect *e;

	if (!life || life > WS_TOKEN_LIFETIME)
		return;
	if (can < want)
		want = clip32(can);
	want = ws_adm_take_for_peer(a, c, now, want, now + life);
	e = ws_fx_add(fx, WS_FX_SEND);
	e->u.send.to = from;
	e->u.send.msg.kind = WS_MSG_TOKEN_GIVE;
	e->u.send.msg.u.token.ref = msg->u.token.ref;
	e->u.send.msg.u.token.customer = c->id;
	e->u.send.msg.u.token.tokens = want;
	e->u.send.msg.u.token.balance = clip32(can - want);
	a->stats.gives++;
}

/* Learns how much of what the peer mints is left for others. */
static void learn(struct ws_adm *a, struct ws_adm_customer *c, size_t peer,
		  ws_us now, const struct ws_msg *msg)
{
	struct ws_adm_peer_state *k = &c->peer_state[peer];
	int64_t minted = inflow(a, c, peer, now - k->reported_at);
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
	learn(a, c, (size_t)(p - a->peers), now, msg);
	if (msg->u.token.tokens && now < expires)
		ws_adm_add_pulled(c, msg->u.token.tokens * ws_adm_milli(a),
				  expires);
}
