#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_struck.h"
#include "seed_range.h"

/* The table of requests with strikes, beside a list of all that happened. */

#define REQUESTS 5
/* Not more than clearances are kept of. */
#define CRASHES WS_ED_CLEARED_KEPT
#define STEPS 400

struct model {
	uint64_t crashes[REQUESTS][CRASHES];
	uint32_t n[REQUESTS];
	bool cleared[REQUESTS][CRASHES];
	ws_us until[REQUESTS];
};

static void model_expire(struct model *m, ws_us now, uint64_t r)
{
	if (m->until[r] > now)
		return;
	m->n[r] = 0;
	memset(m->cleared[r], 0, sizeof(m->cleared[r]));
}

static void model_clear(struct model *m, ws_us now, uint64_t r, uint64_t crash)
{
	uint32_t i;

	model_expire(m, now, r);
	if (m->cleared[r][crash])
		return;
	m->cleared[r][crash] = true;
	for (i = 0; i < m->n[r]; i++) {
		if (m->crashes[r][i] != crash)
			continue;
		m->n[r]--;
		memmove(&m->crashes[r][i], &m->crashes[r][i + 1],
			(m->n[r] - i) * sizeof(m->crashes[r][i]));
		break;
	}
	if (m->until[r] < now + WS_ED_REFUSED_TIME)
		m->until[r] = now + WS_ED_REFUSED_TIME;
}

static void model_add(struct model *m, ws_us now, uint64_t r, uint64_t crash,
		      ws_us expires_in)
{
	uint32_t i;

	model_expire(m, now, r);
	if (m->cleared[r][crash])
		return;
	for (i = 0; i < m->n[r]; i++)
		if (m->crashes[r][i] == crash)
			return;
	if (m->n[r] == WS_ED_STRIKES_KEPT)
		return;
	m->crashes[r][m->n[r]++] = crash;
	if (m->until[r] < now + expires_in)
		m->until[r] = now + expires_in;
}

static void play(uint64_t seed)
{
	struct ws_ed_struck_table t;
	struct model m = { .n = { 0 } };
	struct ws_rand rand;
	ws_us now = 1;
	uint64_t r;
	int i;

	ws_rand_seed(&rand, seed);
	ws_ed_struck_init(&t, 64);
	for (i = 0; i < STEPS; i++) {
		const struct ws_ed_strike k = {
			.request = ws_rand_below(&rand, REQUESTS),
			.crash = ws_rand_below(&rand, CRASHES),
		};
		ws_us left = (ws_us)ws_rand_below(&rand, 601) * WS_SECOND;

		now += (ws_us)ws_rand_below(&rand, 100) * WS_SECOND;
		if (ws_rand_below(&rand, 10)) {
			ws_ed_struck_add(&t, now, &k, left);
			model_add(&m, now, k.request, k.crash, left);
		} else {
			ws_ed_struck_clear(&t, now, &k);
			model_clear(&m, now, k.request, k.crash);
		}
		for (r = 0; r < REQUESTS; r++) {
			const struct ws_ed_struck *s =
				ws_ed_struck_find(&t, now, r);
			uint32_t n = m.until[r] > now ? m.n[r] : 0;

			ck_assert_msg((s ? s->n : 0) == n,
				      "seed %" PRIu64 " step %d", seed, i);
		}
	}
	ws_ed_struck_free(&t);
}

/* A strike that counts twice refuses a request early, a lost one never. */
START_TEST(strikes_match_a_list_of_all_strikes)
{
	struct seed_range s = seed_range_get(300);
	uint64_t seed;

	for (seed = s.first; seed <= s.last; seed++)
		play(seed);
}
END_TEST

static void strike(struct ws_ed_struck_table *t, ws_us now, uint64_t request,
		   uint64_t crash)
{
	const struct ws_ed_strike k = { .request = request, .crash = crash };

	ws_ed_struck_add(t, now, &k, WS_ED_REFUSED_TIME);
}

/*
 * Guards against requests that are refused or cleared by the order in which
 * instances hear of strikes and clearances.
 */
START_TEST(order_of_strikes_and_clearances_does_not_matter)
{
	const struct ws_ed_strike k[3] = { { 7, 1 }, { 7, 2 }, { 7, 3 } };
	struct ws_rand r;
	int round;
	int i;

	ws_rand_seed(&r, 1);
	for (round = 0; round < 200; round++) {
		struct ws_ed_struck_table t;
		const struct ws_ed_struck *s;

		/* Crashes 1 and 2 are cleared, crash 3 is not. */
		ws_ed_struck_init(&t, 8);
		for (i = 0; i < 40; i++) {
			uint64_t j = ws_rand_below(&r, 3);

			if (j == 2 || ws_rand_below(&r, 2))
				ws_ed_struck_add(&t, 1, &k[j],
						 WS_ED_REFUSED_TIME);
			else
				ws_ed_struck_clear(&t, 1, &k[j]);
		}
		for (i = 0; i < 2; i++)
			ws_ed_struck_clear(&t, 1, &k[i]);
		ck_assert_int_eq(ws_ed_struck_add(&t, 2, &k[0],
						  WS_ED_REFUSED_TIME),
				 WS_ED_STRIKE_CLEARED);
		s = ws_ed_struck_find(&t, 2, 7);
		ck_assert_ptr_nonnull(s);
		ck_assert_uint_eq(s->n, 1);
		ck_assert_uint_eq(s->crashes[0], 3);
		ws_ed_struck_free(&t);
	}
}
END_TEST

/* Many strikes must neither exceed the table nor end a refusal. */
START_TEST(table_is_bounded_and_keeps_refused_requests)
{
	struct ws_ed_struck_table t;
	uint64_t i;

	ws_ed_struck_init(&t, 8);
	strike(&t, 1, 77, 1);
	strike(&t, 2, 77, 2);
	for (i = 100; i < 200; i++)
		strike(&t, 3, i, i);
	ck_assert_uint_eq(t.slots.count, 8);
	ck_assert(ws_ed_struck_refused(ws_ed_struck_find(&t, 4, 77)));
	ck_assert(!ws_ed_struck_refused(ws_ed_struck_find(&t, 4, 199)));
	ws_ed_struck_free(&t);
}
END_TEST

/* Guards against refused requests that are never passed on. */
START_TEST(each_refused_request_is_found_once)
{
	struct ws_ed_struck_table t;
	uint32_t slot;
	uint64_t sum = 0;
	uint64_t i;

	ws_ed_struck_init(&t, 64);
	for (i = 1; i <= 20; i++) {
		strike(&t, 1, i, 1);
		if (i % 2)
			strike(&t, 1, i, 2);
	}
	for (slot = ws_ed_struck_next(&t, 2, 0); slot != WS_SLOT_NONE;
	     slot = ws_ed_struck_next(&t, 2, slot + 1))
		sum += t.items[slot].request;
	ck_assert_uint_eq(sum, 100);
	ck_assert_uint_eq(ws_ed_struck_next(&t, 2 * WS_ED_REFUSED_TIME, 0),
			  WS_SLOT_NONE);
	ws_ed_struck_free(&t);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		strikes_match_a_list_of_all_strikes,
		table_is_bounded_and_keeps_refused_requests,
		each_refused_request_is_found_once,
		order_of_strikes_and_clearances_does_not_matter,
	};

	return ed_suite_run("ed_struck", tests, 4);
}
