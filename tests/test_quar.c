#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/ws_quar.h"
#include "seed_range.h"

/* Naive model: a list of all strikes that were counted. */
struct strike {
	uint64_t fingerprint;
	uint64_t id;
	ws_us at;
};

struct model {
	struct strike strikes[400];
	size_t n;
};

/* Returns the number of current strikes; a gap of WS_QUAR_TIME resets it. */
static unsigned model_strikes(const struct model *m, ws_us now, uint64_t fp)
{
	unsigned n = 0;
	ws_us last = 0;
	size_t i;

	for (i = 0; i < m->n; i++) {
		if (m->strikes[i].fingerprint != fp)
			continue;
		if (n && m->strikes[i].at >= last + WS_QUAR_TIME)
			n = 0;
		n++;
		last = m->strikes[i].at;
	}
	return n && now < last + WS_QUAR_TIME ? n : 0;
}

static void model_strike(struct model *m, ws_us now, uint64_t fp, uint64_t id)
{
	size_t i;

	if (model_strikes(m, now, fp) >= WS_QUAR_STRIKES)
		return;
	for (i = 0; i < m->n; i++)
		if (m->strikes[i].fingerprint == fp && m->strikes[i].id == id &&
		    model_strikes(m, now, fp))
			return;
	m->strikes[m->n++] = (struct strike){ fp, id, now };
}

static void run_seed(uint64_t seed, uint64_t *events)
{
	struct ws_quar *q = ws_quar_new(64);
	struct model m = { .n = 0 };
	struct ws_rand r;
	ws_us now = 1;
	uint64_t fp;
	int i;

	ws_rand_seed(&r, seed);
	for (i = 0; i < 400; i++) {
		fp = ws_rand_below(&r, 5);
		now += (ws_us)ws_rand_below(&r, 200) * WS_SECOND / 2;
		if (rand_percent(&r, 60)) {
			uint64_t id = fp * 1000 + (uint64_t)i / 8;

			ws_quar_strike(q, now, fp, id);
			model_strike(&m, now, fp, id);
		} else {
			ws_quar_tick(q, now);
		}
		fp = ws_rand_below(&r, 5);
		ck_assert_msg(ws_quar_strikes(q, now, fp) ==
				      model_strikes(&m, now, fp),
			      "seed %" PRIu64 " step %d", seed, i);
		(*events)++;
	}
	ws_quar_free(q);
}

/*
 * A strike counted twice would quarantine a request too early, a missed one
 * never.
 */
START_TEST(strikes_match_a_model_of_all_strikes)
{
	struct seed_range s = seed_range_get(500);
	uint64_t events = 0;
	uint64_t seed;

	for (seed = s.first; seed <= s.last; seed++)
		run_seed(seed, &events);
	printf("quarantine: seeds %" PRIu64 "..%" PRIu64 ", %" PRIu64
	       " events, 0 violations\n",
	       s.first, s.last, events);
}
END_TEST

/* Many strikes must neither exceed the table size nor end a quarantine. */
START_TEST(table_is_bounded_and_keeps_quarantined_requests)
{
	struct ws_quar *q = ws_quar_new(8);
	uint64_t i;

	ws_quar_strike(q, 1, 77, 1);
	ws_quar_strike(q, 2, 77, 2);
	for (i = 100; i < 200; i++)
		ws_quar_strike(q, 3, i, i);
	ck_assert_uint_eq(ws_quar_count(q), 8);
	ck_assert(ws_quar_is_quarantined(q, 4, 77));
	ck_assert(!ws_quar_is_quarantined(q, 4, 199));
	ws_quar_free(q);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quar");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, strikes_match_a_model_of_all_strikes);
	tcase_add_test(tc, table_is_bounded_and_keeps_quarantined_requests);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
