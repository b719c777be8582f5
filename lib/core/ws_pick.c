#include "core/ws_pick.h"

#include <stdlib.h>

/* ===== Two random choices by expected latency ===== */

struct two_choices {
	struct ws_picker base;
	struct ws_rand rand;
};

/* Returns the index of the k-th candidate that is not slow. */
static size_t kth_not_slow(const struct ws_candidate *c, size_t n, size_t k)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!c[i].slow && k-- == 0)
			return i;
	return n;
}

static size_t count_not_slow(const struct ws_candidate *c, size_t n)
{
	size_t good = 0;
	size_t i;

	for (i = 0; i < n; i++)
		good += !c[i].slow;
	return good;
}

/* Two distinct random numbers below n, n >= 2. */
static void draw_two(struct ws_rand *rand, size_t n, size_t *a, size_t *b)
{
	*a = ws_rand_below(rand, n);
	*b = ws_rand_below(rand, n - 1);
	if (*b >= *a)
		(*b)++;
}

static size_t choose_two(struct ws_picker *p, const struct ws_candidate *c,
			 size_t n)
{
	struct two_choices *t = (struct two_choices *)p;
	size_t good = count_not_slow(c, n);
	size_t a;
	size_t b;

	if (n == 1)
		return 0;
	if (good == 1)
		return kth_not_slow(c, n, 0);
	draw_two(&t->rand, good ? good : n, &a, &b);
	if (good) {
		a = kth_not_slow(c, n, a);
		b = kth_not_slow(c, n, b);
	}
	return c[b].cost < c[a].cost ? b : a;
}

static void free_two(struct ws_picker *p)
{
	free(p);
}

static const struct ws_pick_ops two_choices_ops = {
	.name = "two-choices",
	.choose = choose_two,
	.free = free_two,
};

static struct ws_picker *new_two(uint64_t seed)
{
	struct two_choices *t = ws_alloc(1, sizeof(*t));

	t->base.ops = &two_choices_ops;
	ws_rand_seed(&t->rand, seed);
	return &t->base;
}

/* ===== Round robin ===== */

/*
 * Picks the least recently used target, so that the order survives joins and
 * leaves.
 */
static size_t choose_round_robin(struct ws_picker *p,
				 const struct ws_candidate *c, size_t n)
{
	size_t best = 0;
	size_t i;

	(void)p;
	for (i = 1; i < n; i++)
		if (c[i].last_pick < c[best].last_pick)
			best = i;
	return best;
}

static void free_picker(struct ws_picker *p)
{
	free(p);
}

static const struct ws_pick_ops round_robin_ops = {
	.name = "round-robin",
	.choose = choose_round_robin,
	.free = free_picker,
};

/* ===== Least in flight ===== */

static size_t choose_least_in_flight(struct ws_picker *p,
				     const struct ws_candidate *c, size_t n)
{
	size_t best = 0;
	size_t i;

	(void)p;
	for (i = 1; i < n; i++) {
		if (c[i].in_flight > c[best].in_flight)
			continue;
		if (c[i].in_flight == c[best].in_flight &&
		    c[i].last_pick >= c[best].last_pick)
			continue;
		best = i;
	}
	return best;
}

static const struct ws_pick_ops least_ops = {
	.name = "least-in-flight",
	.choose = choose_least_in_flight,
	.free = free_picker,
};

/* ===== Choice of the policy ===== */

static struct ws_picker *new_picker(const struct ws_pick_ops *ops)
{
	struct ws_picker *p = ws_alloc(1, sizeof(*p));

	p->ops = ops;
	return p;
}

struct ws_picker *ws_picker_new(enum ws_pick_policy kind, uint64_t seed)
{
	switch (kind) {
	case WS_PICK_ROUND_ROBIN:
		return new_picker(&round_robin_ops);
	case WS_PICK_LEAST_IN_FLIGHT:
		return new_picker(&least_ops);
	default:
		return new_two(seed);
	}
}

const char *ws_pick_name(enum ws_pick_policy kind)
{
	static const struct ws_pick_ops *const all[] = {
		[WS_PICK_TWO_CHOICES] = &two_choices_ops,
		[WS_PICK_ROUND_ROBIN] = &round_robin_ops,
		[WS_PICK_LEAST_IN_FLIGHT] = &least_ops,
	};

	if ((size_t)kind >= sizeof(all) / sizeof(all[0]))
		return NULL;
	return all[kind]->name;
}
