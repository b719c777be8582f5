#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adm_sim.h"

#define BURST_LOAD 5000 /* load in percent of the rate */

/* ===== The bound over every window ===== */

/*
 * Returns the largest rate and burst of the bundle versions that can affect a
 * window.
 */
static struct ws_customer limits(const struct adm_sim *s, size_t c, ws_us from,
				 ws_us to)
{
	struct ws_customer k = { .rate = 0 };
	size_t i;

	for (i = 0; i < s->n_versions; i++) {
		const struct adm_sim_version *v = &s->version[i];

		if (v->first > to || v->last < from - WS_TOKEN_LIFETIME)
			continue;
		if (v->customers[c].rate > k.rate)
			k.rate = v->customers[c].rate;
		if (v->customers[c].burst > k.burst)
			k.burst = v->customers[c].burst;
	}
	return k;
}

static void check_windows(const struct adm_sim *s, size_t c)
{
	const ws_us *t = s->spent[c];
	struct ws_customer k;
	size_t i;
	size_t j;

	for (i = 0; i < s->n_spent[c]; i++)
		for (j = i; j < s->n_spent[c]; j++) {
			k = limits(s, c, t[i], t[j]);
			if ((int64_t)(j - i + 1) * 1000000 <=
			    (int64_t)k.burst * 1000000 + k.rate * (t[j] - t[i]))
				continue;
			ck_abort_msg("seed %" PRIu64 ": %zu tokens in %" PRId64
				     " us, rate %" PRIu32 ", burst %" PRIu32,
				     s->seed, j - i + 1, t[j] - t[i], k.rate,
				     k.burst);
		}
}

/*
 * Cycles through a steady load, sometimes no load, and a burst above all
 * tokens.
 */
static unsigned next_phase(struct adm_sim *s, unsigned load, ws_us *ends)
{
	if (load == BURST_LOAD) {
		*ends = s->now + (ws_us)ws_rand_below(&s->r, 800 * WS_MS);
		return 40 + (unsigned)ws_rand_below(&s->r, 100);
	}
	if (load && rand_percent(&s->r, 40)) {
		*ends = s->now + (ws_us)ws_rand_below(&s->r, 300 * WS_MS);
		return 0;
	}
	*ends = s->now + (ws_us)ws_rand_below(&s->r, 60 * WS_MS);
	return BURST_LOAD;
}

static void run_seed(uint64_t seed, struct adm_sim_stats *stats)
{
	struct adm_sim *s;
	struct ws_rand r;
	unsigned load = 100;
	ws_us phase_ends = 0;
	size_t c;

	ws_rand_seed(&r, seed);
	s = adm_sim_new(seed, stats, 2 + ws_rand_below(&r, 5),
			10 + (uint32_t)ws_rand_below(&r, 300),
			(uint32_t)ws_rand_below(&r, 80));
	s->faults = (unsigned)ws_rand_below(&r, 30);
	while (s->now < 5 * WS_SECOND) {
		if (s->now >= phase_ends)
			load = next_phase(s, load, &phase_ends);
		if (ws_rand_below(&s->r, 40000) < s->faults)
			adm_sim_fault(s);
		adm_sim_step(s, load, (unsigned)(seed % 5) * 20);
	}
	for (c = 0; c < ADM_SIM_CUSTOMERS; c++)
		check_windows(s, c);
	s->faults = 0;
	while (s->now < 7 * WS_SECOND)
		adm_sim_step(s, 0, 0);
	ck_assert_msg(!s->open, "seed %" PRIu64 ": %" PRIu64 " unanswered",
		      seed, s->open);
	adm_sim_free(s);
}

/*
 * Guards against extra tokens due to lost, delayed or duplicated messages,
 * pauses, restarts or moved partitions.
 */
START_TEST(rate_and_burst_hold_in_every_window)
{
	struct seed_range range = seed_range_get(400);
	struct adm_sim_stats st = { 0 };
	uint64_t seed;

	for (seed = range.first; seed <= range.last; seed++)
		run_seed(seed, &st);
	printf("admission: seeds %" PRIu64 "..%" PRIu64 ", %" PRIu64
	       " events, %" PRIu64 " tokens, messages lost %" PRIu64
	       " duplicated %" PRIu64 " late %" PRIu64 ", pauses %" PRIu64
	       ", cuts %" PRIu64 ", kills %" PRIu64 ", moves %" PRIu64
	       ", rates %" PRIu64 ", 0 violations\n",
	       range.first, range.last, st.events, st.spent, st.lost,
	       st.duplicated, st.late, st.pauses, st.cuts, st.kills, st.moves,
	       st.versions);
}
END_TEST

/* ===== Single properties ===== */

/*
 * Skewed arrivals must not be refused if a single global bucket would admit
 * them.
 */
START_TEST(skewed_arrivals_below_the_rate_are_admitted)
{
	struct adm_sim_stats st = { 0 };
	struct adm_sim *s = adm_sim_new(1, &st, ADM_SIM_NODES, 800, 800);
	uint64_t requests = 0;
	uint64_t waited = 0;
	uint64_t asks = 0;
	size_t i;

	while (s->now < 11 * WS_SECOND)
		adm_sim_step(s, s->now < WS_SECOND ? 0 : 90, 80);
	for (i = 0; i < ADM_SIM_NODES; i++) {
		requests += ws_adm_stats(s->node[i].adm)->requests;
		waited += ws_adm_stats(s->node[i].adm)->waited;
		asks += ws_adm_stats(s->node[i].adm)->asks;
	}
	printf("skew: %" PRIu64 " requests, %" PRIu64 " refused, %" PRIu64
	       " wrongfully, %" PRIu64 " waited, %" PRIu64 " pulls\n",
	       requests, st.refused, st.wrongful, waited, asks);
	ck_assert_uint_gt(requests, 12000);
	ck_assert_uint_le(st.wrongful * 1000, requests);
	ck_assert_uint_le(waited * 100, requests);
	ck_assert_uint_le(asks, UINT64_C(11) * ADM_SIM_CUSTOMERS * 100);
	adm_sim_free(s);
}
END_TEST

struct single {
	struct ws_adm *adm;
	struct ws_fx fx;
	struct ws_customer customer;
	struct ws_bundle bundle;
	struct ws_view view;
};

/*
 * Starts one instance that holds all partitions; its buckets are full at 10 s.
 */
static void start_single(struct single *x, uint32_t rate, uint32_t burst)
{
	uint32_t index[ADM_SIM_PARTITIONS];
	ws_offset fence[ADM_SIM_PARTITIONS];
	uint32_t i;

	memset(x, 0, sizeof(*x));
	for (i = 0; i < ADM_SIM_PARTITIONS; i++) {
		index[i] = i;
		fence[i] = 1;
	}
	x->adm = ws_adm_new(1, 1);
	x->customer =
		(struct ws_customer){ .id = 1, .rate = rate, .burst = burst };
	x->bundle.version = 1;
	x->bundle.partitions = ADM_SIM_PARTITIONS;
	x->bundle.n_customers = 1;
	x->bundle.customers = &x->customer;
	x->view.bundle = &x->bundle;
	ws_adm_set_partitions(x->adm, 0, index, fence, ADM_SIM_PARTITIONS,
			      100 * WS_SECOND);
	ws_adm_tick(x->adm, &x->fx, 0, &x->view);
}

static void end_single(struct single *x)
{
	ws_adm_free(x->adm);
	ws_fx_free(&x->fx);
}

/*
 * Sends requests until one is not admitted at once; returns the number
 * admitted.
 */
static unsigned drain(struct single *x, ws_us now)
{
	struct ws_call call = { .customer = 1, .payload = 9 };
	unsigned n;

	for (n = 0;; n++) {
		ws_fx_clear(&x->fx);
		ws_adm_request(x->adm, &x->fx, now, n, &call, &x->view);
		if (!x->fx.n)
			return n;
		ck_assert_uint_eq(x->fx.items[0].kind, WS_FX_ADMITTED);
	}
}

/* Given tokens that may still be spent must count against the burst. */
START_TEST(given_tokens_count_against_the_burst_until_they_expire)
{
	struct single x;
	struct ws_msg m = { .kind = WS_MSG_TOKEN_ASK };
	unsigned given;

	start_single(&x, 100, 20);
	m.u.token.ref = 1 << 8 | 200;
	m.u.token.customer = 1;
	m.u.token.tokens = 20000;
	ws_adm_msg(x.adm, &x.fx, 10 * WS_SECOND, 2, &m, &x.view);
	given = x.fx.items[0].u.send.msg.u.token.tokens;
	ck_assert_uint_gt(given, 19900);
	ck_assert_uint_eq(drain(&x, 10 * WS_SECOND + 199 * WS_MS), 0);
	end_single(&x);
}
END_TEST

/* A caller that retries after Retry-After must get a token. */
START_TEST(caller_is_admitted_after_retry_after)
{
	struct single x;
	const struct ws_effect *e;
	ws_us now = 10 * WS_SECOND;

	start_single(&x, 5, 3);
	ck_assert_uint_eq(drain(&x, now), 3);
	now += WS_TOKEN_WAIT_MAX;
	ws_fx_clear(&x.fx);
	ws_adm_tick(x.adm, &x.fx, now, &x.view);
	ck_assert_uint_eq(x.fx.n, 2);
	ck_assert_uint_eq(x.fx.items[0].kind, WS_FX_RELEASE);
	e = &x.fx.items[1];
	ck_assert_uint_eq(e->kind, WS_FX_ADMIT_REFUSED);
	ck_assert_int_eq(e->u.reply.answer.error, WS_ERR_RATE);
	ck_assert_uint_eq(e->u.reply.answer.outcome, WS_OUT_NOT_RUN);
	ck_assert_int_le(e->u.reply.answer.retry_after, WS_SECOND);
	now += e->u.reply.answer.retry_after;
	ck_assert_uint_eq(drain(&x, now), 1);
	end_single(&x);
}
END_TEST

/* A cancelled call must neither spend a token nor leak its payload. */
START_TEST(cancelled_call_spends_nothing)
{
	struct single x;

	start_single(&x, 10, 1);
	ck_assert_uint_eq(drain(&x, 10 * WS_SECOND), 1);
	ws_adm_cancel(x.adm, 1);
	ws_fx_clear(&x.fx);
	ws_adm_tick(x.adm, &x.fx, 10 * WS_SECOND + WS_MS, &x.view);
	ck_assert_uint_eq(x.fx.n, 1);
	ck_assert_uint_eq(x.fx.items[0].kind, WS_FX_RELEASE);
	ck_assert_uint_eq(x.fx.items[0].u.release.payload, 9);
	ck_assert_uint_eq(ws_adm_spent(x.adm, 1), 1);
	ck_assert_uint_eq(drain(&x, 11 * WS_SECOND), 1);
	end_single(&x);
}
END_TEST

/* A customer removed by a new bundle must not be admitted with old tokens. */
START_TEST(customer_removed_from_the_bundle_is_refused)
{
	struct single x;
	const struct ws_effect *e;

	start_single(&x, 10, 1);
	ck_assert_uint_eq(drain(&x, 10 * WS_SECOND), 1);
	ws_fx_clear(&x.fx);
	x.bundle.version = 2;
	x.bundle.n_customers = 0;
	ws_adm_tick(x.adm, &x.fx, 11 * WS_SECOND, &x.view);
	ck_assert_uint_eq(x.fx.n, 2);
	e = &x.fx.items[1];
	ck_assert_uint_eq(e->kind, WS_FX_ADMIT_REFUSED);
	ck_assert_int_eq(e->u.reply.answer.error, WS_ERR_BAD_KEY);
	ws_adm_request(x.adm, &x.fx, 12 * WS_SECOND, 5,
		       &(struct ws_call){ .customer = 1 }, &x.view);
	ck_assert_int_eq(x.fx.items[2].u.reply.answer.error, WS_ERR_BAD_KEY);
	end_single(&x);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("adm");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, rate_and_burst_hold_in_every_window);
	tcase_add_test(tc, skewed_arrivals_below_the_rate_are_admitted);
	tcase_add_test(tc,
		       given_tokens_count_against_the_burst_until_they_expire);
	tcase_add_test(tc, caller_is_admitted_after_retry_after);
	tcase_add_test(tc, cancelled_call_spends_nothing);
	tcase_add_test(tc, customer_removed_from_the_bundle_is_refused);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
