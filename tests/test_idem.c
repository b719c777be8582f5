#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_idem.h"
#include "seed_range.h"

/*
 * Three homes share two partitions that are handed over, taken over or lost. A
 * model records every run of a request id and checks each answer against it.
 */

#define N_HOMES 3
#define N_PARTITIONS 2
#define N_IDS 16
#define N_STEPS 800
#define TABLE_SIZE 12
#define MAX_WAITERS 8
#define MAX_PAYLOADS (N_STEPS * 2 + 10)

enum run_state { NEVER, OPEN, RAN, LOST };

struct id {
	uint64_t uuid[2];
	enum run_state state;
	uint64_t fingerprint; /* of the request that ran */
	uint64_t run_id; /* id in HOME_RUN of its run */
	int home; /* home that ran it */
	bool moved; /* its partition moved while it ran */
	struct ws_answer answer; /* RAN */
};

struct request {
	uint64_t id;
	int home;
	int slot; /* in ids */
	bool waits;
	bool cancelled;
};

struct part {
	struct ws_assignment a;
	int holder;
	int64_t bound_ms; /* older ids may be answered "unknown" */
	bool table_known; /* the holder got the former table, or ran a request
			   */
};

struct world {
	struct ws_rand r;
	struct ws_idem *home[N_HOMES];
	struct part part[N_PARTITIONS];
	struct id id[N_IDS];
	struct request request[N_STEPS + 1];
	uint64_t n_requests;
	int refs[N_HOMES][MAX_PAYLOADS];
	ws_payload n_payloads;
	int64_t wall;
	ws_offset fence;
	struct ws_msg late;
	struct ws_fx fx;
	int at; /* home whose effects are being processed */
	uint64_t seed;
	struct {
		uint64_t events, lost, duplicated, late, takeovers, kills;
	} * stats;
};

/* ck_assert() writes to a pipe on each call, which is slow in loops. */
#define CHECK(w, cond)                                                    \
	do {                                                              \
		if (!(cond))                                              \
			ck_abort_msg("seed %" PRIu64 ", request %" PRIu64 \
				     ": " #cond,                          \
				     (w)->seed, (w)->n_requests);         \
	} while (0)

static int64_t created_ms_of(const struct id *id)
{
	return (int64_t)(id->uuid[0] >> 16);
}

static void new_id(struct world *w, struct id *id)
{
	int64_t created_ms = w->wall - (int64_t)ws_rand_below(&w->r, 3000);

	if (rand_percent(&w->r, 5))
		created_ms =
			w->wall + 1900 + (int64_t)ws_rand_below(&w->r, 200);
	if (rand_percent(&w->r, 5))
		created_ms =
			w->wall - 599900 - (int64_t)ws_rand_below(&w->r, 200);
	*id = (struct id){ .state = NEVER };
	id->uuid[0] = (uint64_t)created_ms << 16 | 0x7000;
	if (rand_percent(&w->r, 3))
		id->uuid[0] ^= 0x2000;
	id->uuid[1] = 2ULL << 62 | ws_rand_next(&w->r) >> 2;
}

static void assign_partition(struct world *w, int p, int home, bool released,
			     bool known)
{
	struct part *q = &w->part[p];
	ws_offset former = q->a.fence;

	q->holder = home;
	q->a.res.kind = WS_RES_PARTITION;
	q->a.res.item = (uint64_t)p;
	q->a.fence = ++w->fence;
	q->a.takeover_wall_ms = released ? 0 : w->wall;
	if (!known || !q->table_known)
		q->bound_ms = w->wall + WS_IDEM_TAKEOVER_MS;
	q->table_known = known;
	ws_idem_assigned(w->home[home], w->wall, (uint32_t)p, q->a.fence,
			 former);
}

/* ===== Checking answers ===== */

static int waiting_at(const struct world *w, int home)
{
	uint64_t i;
	int n = 0;

	for (i = 1; i < w->n_requests; i++)
		n += w->request[i].id && w->request[i].home == home;
	return n;
}

static void check_not_run(struct world *w, const struct id *id,
			  const struct request *a, uint64_t fp, int error)
{
	CHECK(w,
	      id->fingerprint != fp || (id->state != OPEN && id->state != RAN &&
					id->state != LOST));
	switch (error) {
	case WS_ERR_LIMIT:
		CHECK(w, ws_idem_count(w->home[a->home]) == TABLE_SIZE ||
				 waiting_at(w, a->home) >= MAX_WAITERS);
		break;
	case WS_ERR_ID_REUSED:
		CHECK(w, (id->state != NEVER || id->moved) &&
				 id->fingerprint != fp);
		break;
	case WS_ERR_REQUEST_ID:
		CHECK(w, (id->uuid[0] >> 12 & 15) != 7 ||
				 created_ms_of(id) >
					 w->wall + WS_IDEM_FUTURE_MAX_MS);
		break;
	default:
		CHECK(w, error == WS_ERR_PEER && a->waits);
	}
}

static void check_unknown(struct world *w, const struct id *id, int error)
{
	uint32_t p = ws_idem_partition(1, id->uuid, N_PARTITIONS);

	switch (error) {
	case WS_ERR_ID_REUSED:
		CHECK(w, id->moved);
		break;
	case WS_ERR_IN_PROGRESS:
		CHECK(w, id->state == OPEN || id->moved);
		break;
	case WS_ERR_REQUEST_ID:
		CHECK(w, created_ms_of(id) < w->wall - WS_IDEM_RETENTION_MS);
		break;
	case WS_ERR_UNKNOWN_OUTCOME:
		CHECK(w, id->state == LOST ||
				 created_ms_of(id) < w->part[p].bound_ms);
		break;
	default:
		CHECK(w, !"error of an unknown outcome");
	}
}

static void check_done(struct world *w, const struct ws_effect *e, uint64_t fp)
{
	struct request *a = &w->request[e->u.reply.id];
	const struct ws_answer *ans = &e->u.reply.answer;
	struct id *id = &w->id[a->slot];

	CHECK(w, a->id == e->u.reply.id && !a->cancelled);
	a->id = 0;
	if (ans->outcome == WS_OUT_NOT_RUN) {
		check_not_run(w, id, a, fp, ans->error);
	} else if (ans->outcome == WS_OUT_UNKNOWN) {
		check_unknown(w, id, ans->error);
	} else {
		CHECK(w, id->state == RAN && id->fingerprint == fp);
		CHECK(w, ans->payload == id->answer.payload &&
				 ans->status == id->answer.status);
	}
}

static void check_run(struct world *w, uint64_t request, uint64_t fp)
{
	struct request *a = &w->request[request];
	struct id *id = &w->id[a->slot];

	CHECK(w, id->state == NEVER);
	CHECK(w, created_ms_of(id) <= w->wall + WS_IDEM_FUTURE_MAX_MS);
	CHECK(w, created_ms_of(id) >= w->wall - WS_IDEM_RETENTION_MS);
	w->part[ws_idem_partition(1, id->uuid, N_PARTITIONS)].table_known =
		true;
	id->state = OPEN;
	id->fingerprint = fp;
	id->run_id = request;
	id->home = a->home;
}

/* ===== Effects ===== */

static void adjust_refs(struct world *w, int home, ws_payload p, int by)
{
	if (!p)
		return;
	w->refs[home][p] += by;
	CHECK(w, w->refs[home][p] >= 0);
}

static void deliver(struct world *w, int to, const struct ws_msg *msg);

static void copy_msg(struct ws_msg *to, const struct ws_msg *from)
{
	size_t n = from->u.handover.n_entries;

	*to = *from;
	to->u.handover.entries = ws_alloc(n, sizeof(struct ws_idem_entry));
	memcpy(to->u.handover.entries, from->u.handover.entries,
	       n * sizeof(struct ws_idem_entry));
}

/*
 * Sends a message with random faults. Returns true if it arrived before the new
 * holder starts.
 */
static bool send_handover(struct world *w, struct ws_effect *e)
{
	struct ws_msg msg;
	size_t i;

	/* The message with a single result borrows its payload. */
	for (i = 0; i < e->u.send.msg.u.handover.n_entries &&
		    e->u.send.msg.u.handover.entries[0].request_id[1];
	     i++)
		adjust_refs(w, w->at,
			    e->u.send.msg.u.handover.entries[i].payload, -1);
	copy_msg(&msg, &e->u.send.msg);
	if (rand_percent(&w->r, 20)) {
		w->stats->late++;
		ws_msg_clear(&w->late);
		w->late = msg;
		return false;
	}
	if (rand_percent(&w->r, 20)) {
		w->stats->lost++;
		ws_msg_clear(&msg);
		return false;
	}
	deliver(w, (int)e->u.send.to, &msg);
	if (rand_percent(&w->r, 30)) {
		w->stats->duplicated++;
		deliver(w, (int)e->u.send.to, &msg);
	}
	ws_msg_clear(&msg);
	return true;
}

static bool process_effects(struct world *w, int home, uint64_t fp)
{
	struct ws_fx fx = w->fx;
	bool arrived = true;
	size_t i;

	memset(&w->fx, 0, sizeof(w->fx));
	for (i = 0; i < fx.n; i++) {
		struct ws_effect *e = &fx.items[i];

		w->at = home;
		if (e->kind == WS_FX_RETAIN)
			adjust_refs(w, home, e->u.release.payload, 1);
		else if (e->kind == WS_FX_RELEASE)
			adjust_refs(w, home, e->u.release.payload, -1);
		else if (e->kind == WS_FX_HOME_RUN) {
			adjust_refs(w, home, e->u.call.call.payload, -1);
			check_run(w, e->u.call.id, fp);
		} else if (e->kind == WS_FX_HOME_DONE) {
			adjust_refs(w, home, e->u.reply.answer.payload, -1);
			check_done(w, e, fp);
		} else if (e->kind == WS_FX_SEND)
			arrived = send_handover(w, e) && arrived;
	}
	ws_fx_free(&fx);
	return arrived;
}

static void deliver(struct world *w, int to, const struct ws_msg *msg)
{
	size_t i;

	for (i = 0; i < msg->u.handover.n_entries; i++)
		adjust_refs(w, to, msg->u.handover.entries[i].payload, 1);
	ws_idem_msg(w->home[to], &w->fx, 0, 99, msg);
	process_effects(w, to, 0);
}

/* ===== Steps ===== */

static void step_begin(struct world *w)
{
	int slot = (int)ws_rand_below(&w->r, N_IDS);
	struct id *id = &w->id[slot];
	uint32_t p = ws_idem_partition(1, id->uuid, N_PARTITIONS);
	struct request *a = &w->request[++w->n_requests];
	struct ws_call call = { .customer = 1, .fingerprint = 5 };

	if (rand_percent(&w->r, 10))
		call.fingerprint = 6;
	memcpy(call.request_id, id->uuid, sizeof(id->uuid));
	call.payload = ++w->n_payloads;
	*a = (struct request){ w->n_requests, w->part[p].holder, slot, 0, 0 };
	adjust_refs(w, a->home, call.payload, 1);
	ws_idem_begin(w->home[a->home], &w->fx, 0, w->wall, a->id, &call,
		      &w->part[p].a);
	process_effects(w, a->home, call.fingerprint);
	a->waits = a->id != 0;
	CHECK(w, !a->waits || id->state == OPEN);
}

static void step_finish(struct world *w)
{
	struct id *id = &w->id[ws_rand_below(&w->r, N_IDS)];
	uint64_t kind = ws_rand_below(&w->r, 4);
	struct ws_answer ans = { .outcome = WS_OUT_DONE, .status = 200 };
	uint64_t i;

	if (id->state != OPEN)
		return;
	ans.payload = ++w->n_payloads;
	id->state = RAN;
	if (kind == 0) {
		ans = (struct ws_answer){ WS_OUT_UNKNOWN,
					  WS_ERR_UNKNOWN_OUTCOME, 0, 0, 0 };
		id->state = LOST;
	} else if (kind == 1) {
		ans = (struct ws_answer){ WS_OUT_NOT_RUN, WS_ERR_PEER, 0, 0,
					  0 };
		id->state = NEVER;
	}
	id->answer = ans;
	adjust_refs(w, id->home, ans.payload, 1);
	ws_idem_finish(w->home[id->home], &w->fx, 0, id->run_id, &ans);
	process_effects(w, id->home, id->fingerprint);
	for (i = 1; i <= w->n_requests; i++)
		CHECK(w, !w->request[i].id || w->request[i].cancelled ||
				 &w->id[w->request[i].slot] != id);
}

static void step_cancel(struct world *w)
{
	uint64_t i = ws_rand_below(&w->r, w->n_requests + 1);
	struct request *a = &w->request[i];

	if (!a->id || a->cancelled)
		return;
	a->cancelled = true;
	ws_idem_cancel(w->home[a->home], a->id);
}

static void kill_home(struct world *w, int home)
{
	uint64_t i;

	w->stats->kills++;
	ws_idem_free(w->home[home]);
	w->home[home] = ws_idem_new(TABLE_SIZE, MAX_WAITERS);
	memset(w->refs[home], 0, sizeof(w->refs[home]));
	for (i = 1; i <= w->n_requests; i++)
		if (w->request[i].home == home)
			w->request[i].id = 0;
	for (i = 0; i < N_IDS; i++)
		if (w->id[i].state == OPEN && w->id[i].home == home)
			w->id[i].state = LOST;
}

static void step_move(struct world *w)
{
	int p = (int)ws_rand_below(&w->r, N_PARTITIONS);
	int old = w->part[p].holder;
	int to = (old + 1 + (int)ws_rand_below(&w->r, N_HOMES - 1)) % N_HOMES;
	bool arrived = false;
	int q;

	for (q = 0; q < N_IDS; q++)
		w->id[q].moved = w->id[q].moved || w->id[q].state == OPEN;
	if (rand_percent(&w->r, 70)) {
		ws_idem_handover(w->home[old], &w->fx, w->wall, (uint32_t)p,
				 N_PARTITIONS, w->part[p].a.fence, (ws_id)to);
		arrived = process_effects(w, old, 0);
		arrived = arrived && ws_idem_count(w->home[to]) < TABLE_SIZE;
		assign_partition(w, p, to, true, arrived);
		return;
	}
	w->stats->takeovers++;
	if (rand_percent(&w->r, 50)) {
		kill_home(w, old);
		for (q = 0; q < N_PARTITIONS; q++)
			if (q != p && w->part[q].holder == old)
				assign_partition(w, q, to, false, false);
	}
	assign_partition(w, p, to, false, false);
}

static void step_time(struct world *w)
{
	int h;
	int i;

	w->wall += (int64_t)ws_rand_below(&w->r, 1500);
	if (rand_percent(&w->r, 3))
		w->wall += 598000 + (int64_t)ws_rand_below(&w->r, 9000);
	for (i = 0; i < N_IDS; i++)
		if (created_ms_of(&w->id[i]) < w->wall - 603000 &&
		    w->id[i].state != OPEN)
			new_id(w, &w->id[i]);
	for (h = 0; h < N_HOMES; h++) {
		ws_idem_tick(w->home[h], &w->fx, 0, w->wall);
		process_effects(w, h, 0);
	}
}

static void step(struct world *w)
{
	uint64_t kind = ws_rand_below(&w->r, 100);

	w->stats->events++;
	if (kind < 50)
		step_begin(w);
	else if (kind < 70)
		step_finish(w);
	else if (kind < 75)
		step_cancel(w);
	else if (kind < 80)
		step_move(w);
	else if (kind < 85 && w->late.kind)
		deliver(w, (int)ws_rand_below(&w->r, N_HOMES), &w->late);
	else
		step_time(w);
}

static void end_world(struct world *w)
{
	ws_payload p;
	int h;
	int i;

	for (i = 0; i < 4000 && w->n_payloads + 1 < MAX_PAYLOADS; i++)
		step_finish(w);
	w->wall += 700000;
	for (h = 0; h < N_HOMES; h++) {
		for (i = 0; i < 4; i++)
			ws_idem_tick(w->home[h], &w->fx, 0, w->wall);
		process_effects(w, h, 0);
		CHECK(w, ws_idem_count(w->home[h]) == 0);
		for (p = 1; p <= w->n_payloads; p++)
			CHECK(w, w->refs[h][p] == 0);
		ws_idem_free(w->home[h]);
	}
	ws_msg_clear(&w->late);
	ws_fx_free(&w->fx);
	free(w);
}

static void run_seed(uint64_t seed, void *stats)
{
	struct world *w = ws_alloc(1, sizeof(*w));
	int i;

	w->seed = seed;
	w->stats = stats;
	w->wall = 1700000000000;
	ws_rand_seed(&w->r, seed);
	for (i = 0; i < N_HOMES; i++)
		w->home[i] = ws_idem_new(TABLE_SIZE, MAX_WAITERS);
	for (i = 0; i < N_IDS; i++)
		new_id(w, &w->id[i]);
	for (i = 0; i < N_PARTITIONS; i++) {
		w->part[i].table_known = true;
		assign_partition(w, i, i, true, true);
	}
	for (i = 0; i < N_STEPS; i++)
		step(w);
	end_world(w);
}

/*
 * Guards against a second run of an id, a false "not run", a wrong or lost
 * answer, unnecessary refusals and leaked payloads.
 */
START_TEST(answers_match_a_model_of_all_runs)
{
	struct seed_range s = seed_range_get(10000);
	uint64_t n[6] = { 0 };
	uint64_t seed;

	for (seed = s.first; seed <= s.last; seed++)
		run_seed(seed, n);
	printf("request ids: seeds %" PRIu64 "..%" PRIu64 ", %" PRIu64
	       " events, messages lost %" PRIu64 " duplicated %" PRIu64
	       " late %" PRIu64 ", takeovers %" PRIu64 ", kills %" PRIu64
	       ", 0 violations\n",
	       s.first, s.last, n[0], n[1], n[2], n[3], n[4], n[5]);
}
END_TEST

/* If a message of a handover is missing, its ids must not run again. */
START_TEST(handover_counts_only_when_complete)
{
	struct ws_idem *from = ws_idem_new(1000, 1000);
	struct ws_idem *to = ws_idem_new(1000, 1000);
	struct ws_answer ans = { .outcome = WS_OUT_DONE, .status = 201 };
	struct ws_assignment part = { .res = { .kind = WS_RES_PARTITION },
				      .fence = 1 };
	struct ws_call call = { .customer = 1 };
	struct ws_fx fx = { 0 };
	struct ws_fx out = { 0 };
	uint64_t i;

	ws_idem_assigned(from, 1000000, 0, 1, 0);
	for (i = 1; i <= 600; i++) {
		call.request_id[0] = (uint64_t)1000000 << 16 | 0x7000;
		call.request_id[1] = 2ULL << 62 | i;
		ws_idem_begin(from, &fx, 0, 1000000, i, &call, &part);
		ws_idem_finish(from, &fx, 0, i, &ans);
	}
	ws_fx_clear(&fx);
	ws_idem_handover(from, &fx, 1000000, 0, 1, 1, 9);
	ck_assert_uint_eq(fx.n, 3);
	ck_assert_uint_eq(ws_idem_count(from), 0);
	ws_idem_msg(to, &out, 0, 8, &fx.items[2].u.send.msg);
	ws_idem_msg(to, &out, 0, 8, &fx.items[0].u.send.msg);
	ws_idem_assigned(to, 1000000, 0, 2, 1);
	part.fence = 2;
	call.request_id[1] = 2ULL << 62 | 9999;
	ws_idem_begin(to, &out, 0, 1000001, 1, &call, &part);
	ck_assert_uint_eq(out.items[out.n - 1].kind, WS_FX_HOME_DONE);
	ck_assert_int_eq(out.items[out.n - 1].u.reply.answer.error,
			 WS_ERR_UNKNOWN_OUTCOME);
	ws_idem_msg(to, &out, 0, 8, &fx.items[1].u.send.msg);
	ws_idem_begin(to, &out, 0, 1000001, 2, &call, &part);
	ck_assert_uint_eq(out.items[out.n - 1].kind, WS_FX_HOME_RUN);
	call.request_id[1] = 2ULL << 62 | 300;
	ws_idem_begin(to, &out, 0, 1000001, 3, &call, &part);
	ck_assert_uint_eq(out.items[out.n - 1].u.reply.answer.status, 201);
	ws_fx_free(&fx);
	ws_fx_free(&out);
	ws_idem_free(from);
	ws_idem_free(to);
}
END_TEST

/* A retry at the new home must get the answer of the run at the old one. */
START_TEST(result_of_a_run_during_the_handover_is_sent_on)
{
	struct ws_idem *from = ws_idem_new(10, 10);
	struct ws_idem *to = ws_idem_new(10, 10);
	struct ws_answer ans = { .outcome = WS_OUT_DONE, .status = 201 };
	struct ws_assignment part = { .res = { .kind = WS_RES_PARTITION },
				      .fence = 1 };
	struct ws_call call = { .customer = 1 };
	struct ws_fx fx = { 0 };
	struct ws_fx out = { 0 };

	call.request_id[0] = (uint64_t)1000000 << 16 | 0x7000;
	call.request_id[1] = 2ULL << 62;
	ws_idem_assigned(from, 1000000, 0, 1, 0);
	ws_idem_begin(from, &fx, 0, 1000000, 1, &call, &part);
	ws_fx_clear(&fx);
	ws_idem_handover(from, &fx, 1000000, 0, 1, 1, 9);
	ws_idem_finish(from, &fx, 0, 1, &ans);
	ck_assert_uint_eq(fx.n, 3);
	ws_idem_msg(to, &out, 0, 8, &fx.items[0].u.send.msg);
	ws_idem_msg(to, &out, 0, 8, &fx.items[2].u.send.msg);
	ws_idem_assigned(to, 1000000, 0, 2, 1);
	part.fence = 2;
	ws_idem_begin(to, &out, 0, 1000001, 1, &call, &part);
	ck_assert_uint_eq(out.n, 1);
	ck_assert_uint_eq(out.items[0].u.reply.answer.status, 201);
	ws_fx_free(&fx);
	ws_fx_free(&out);
	ws_idem_free(from);
	ws_idem_free(to);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("idem");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, answers_match_a_model_of_all_runs);
	tcase_add_test(tc, handover_counts_only_when_complete);
	tcase_add_test(tc, result_of_a_run_during_the_handover_is_sent_on);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
