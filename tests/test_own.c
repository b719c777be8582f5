#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_own.h"

/* Tests one instance (id 1) with records, votes and views made by hand. */

#define SELF 1
#define SVC 77
#define T1 101
#define T2 102
#define INC 9

static struct ws_own *own;
static struct ws_fx fx;
static struct ws_service service;
static struct ws_zone zone;
static struct ws_bundle bundle;
static struct ws_instance instances[3];
static struct ws_target targets[2];
static struct ws_view view;
static ws_offset head;
static ws_us now;

static void setup(void)
{
	size_t i;

	own = ws_own_new(SELF, 1);
	head = 1;
	now = 10 * WS_SECOND;
	service = (struct ws_service){
		.id = SVC, .sharded = true, .shards = 4, .checks_fences = true
	};
	zone = (struct ws_zone){ .id = 5, .in_service = true };
	bundle = (struct ws_bundle){ .refs = 1,
				     .version = 1,
				     .partitions = 3,
				     .outage_limit = 600 * WS_SECOND,
				     .n_services = 1,
				     .services = &service,
				     .n_zones = 1,
				     .zones = &zone };
	for (i = 0; i < 3; i++)
		instances[i] = (struct ws_instance){
			.id = SELF + i, .zone = 5, .listed = true, .alive = true
		};
	for (i = 0; i < 2; i++)
		targets[i] = (struct ws_target){ .id = T1 + i,
						 .service = SVC,
						 .zone = 5,
						 .listed = true,
						 .state = WS_STATE_LIVE,
						 .incarnation = INC };
	view = (struct ws_view){ .self = SELF,
				 .self_zone = 5,
				 .bundle = &bundle,
				 .n_instances = 3,
				 .instances = instances,
				 .n_targets = 2,
				 .targets = targets };
}

static void teardown(void)
{
	ws_own_free(own);
	ws_fx_free(&fx);
}

/* ===== Helpers ===== */

static ws_offset append_record(struct ws_record *rec)
{
	rec->offset = head++;
	ws_own_apply_record(own, &fx, now, rec);
	return rec->offset;
}

static ws_offset assign(ws_id writer, bool released, size_t n,
			struct ws_assign_item *items)
{
	struct ws_record rec = { .kind = WS_REC_ASSIGN,
				 .writer = writer,
				 .released = released,
				 .n_items = n,
				 .items = items };

	return append_record(&rec);
}

static struct ws_assign_item item(uint8_t kind, uint64_t id, ws_offset fence,
				  ws_id holder)
{
	struct ws_assign_item it = { .res = { .kind = kind, .item = id },
				     .expected_fence = fence,
				     .holder = { .id = holder } };

	if (kind >= WS_RES_SHARD) {
		it.res.scope = SVC;
		it.holder.incarnation = holder ? INC : 0;
	}
	return it;
}

static ws_offset assign_one(ws_id writer, bool released, uint8_t kind,
			    uint64_t id, ws_offset fence, ws_id holder)
{
	struct ws_assign_item it = item(kind, id, fence, holder);

	return assign(writer, released, 1, &it);
}

static const struct ws_assignment *find(uint8_t kind, uint64_t id)
{
	struct ws_assign_item it = item(kind, id, 0, 0);

	return ws_own_find(own, &it.res);
}

/* Each instance holds one of three partitions. */
static ws_offset assign_partitions(void)
{
	struct ws_assign_item it[3];
	size_t i;

	for (i = 0; i < 3; i++)
		it[i] = item(WS_RES_PARTITION, i, 0, SELF + i);
	return assign(SELF, false, 3, it);
}

static void answer_grants(size_t from)
{
	size_t n = fx.n;
	size_t i;

	for (i = from; i < n; i++)
		if (fx.items[i].kind == WS_FX_GRANT)
			ws_own_grant_done(own, &fx, now,
					  fx.items[i].u.grant.target,
					  fx.items[i].u.grant.as_of, true);
}

/* Ticks for the given time. Targets answer each grant at the next tick. */
static void tick_for(ws_us time, bool log_reachable)
{
	size_t seen = fx.n;
	ws_us end;

	for (end = now + time; now < end; now += 20 * WS_MS) {
		answer_grants(seen);
		seen = fx.n;
		if (log_reachable)
			ws_own_log_read_done(own, &fx, now, now, head);
		targets[0].clock_local = now;
		targets[0].clock_target_us = now + 7 * WS_SECOND;
		targets[0].clock_incarnation = INC;
		ws_own_tick(own, &fx, now, now / WS_MS, &view);
	}
}

static struct ws_effect *last_effect(uint8_t kind)
{
	size_t i;

	for (i = fx.n; i-- > 0;)
		if (fx.items[i].kind == kind)
			return &fx.items[i];
	return NULL;
}

static struct ws_record *last_append(uint8_t kind)
{
	size_t i;

	for (i = fx.n; i-- > 0;)
		if (fx.items[i].kind == WS_FX_APPEND &&
		    fx.items[i].u.append->kind == kind)
			return fx.items[i].u.append;
	return NULL;
}

/*
 * Returns whether a record takes something from its holder without a release.
 */
static bool takes_over(const struct ws_record *r)
{
	return r && !r->released && r->items[0].expected_fence;
}

static uint64_t last_round(void)
{
	size_t i;

	for (i = fx.n; i-- > 0;)
		if (fx.items[i].kind == WS_FX_SEND &&
		    fx.items[i].u.send.msg.kind == WS_MSG_FRESH_ASK)
			return fx.items[i].u.send.msg.u.fresh.round;
	return 0;
}

static void answer_round(ws_id from, ws_offset next)
{
	struct ws_msg m = { .kind = WS_MSG_FRESH_ANSWER };

	m.u.fresh.round = last_round();
	m.u.fresh.next_offset = next;
	ws_own_handle_message(own, &fx, now, from, &m, &view);
}

/* Assigns the dispatch of T1 to this instance, and shard 0 to T1. */
static ws_offset assign_t1(void)
{
	ws_own_log_read_done(own, &fx, now, now, head);
	assign_partitions();
	assign_one(SELF, false, WS_RES_DISPATCH, T1, 0, SELF);
	return assign_one(SELF, false, WS_RES_SHARD, 0, 0, T1);
}

/* ===== Applying records ===== */

/*
 * When two proposers race, only the first record may count: otherwise the
 * resource would have two holders.
 */
START_TEST(first_record_in_the_log_wins)
{
	ws_offset a = assign_one(2, false, WS_RES_DISPATCH, T1, 0, 2);

	assign_one(3, false, WS_RES_DISPATCH, T1, 0, 3);
	ck_assert_uint_eq(find(WS_RES_DISPATCH, T1)->holder.id, 2);
	ck_assert_uint_eq(find(WS_RES_DISPATCH, T1)->fence, a);
	ck_assert(find(WS_RES_DISPATCH, T1)->active);
}
END_TEST

/*
 * A takeover that is active at once would overlap with the lease of the former
 * holder.
 */
START_TEST(takeover_is_inactive_until_activated)
{
	ws_offset a = assign_one(2, false, WS_RES_DISPATCH, T1, 0, 2);
	ws_offset b = assign_one(3, false, WS_RES_DISPATCH, T1, a, 3);
	struct ws_record rec = { .kind = WS_REC_ACTIVATE,
				 .target_offset = b,
				 .wall_ms = 1234 };

	ck_assert(!find(WS_RES_DISPATCH, T1)->active);
	append_record(&rec);
	ck_assert(find(WS_RES_DISPATCH, T1)->active);
	ck_assert_int_eq(find(WS_RES_DISPATCH, T1)->takeover_wall_ms, 1234);
}
END_TEST

/*
 * Only the active holder of a resource knows that it has stopped using it, so a
 * release by another instance is void.
 */
START_TEST(release_counts_only_from_the_active_holder)
{
	ws_offset a = assign_one(2, false, WS_RES_DISPATCH, T1, 0, 2);
	ws_offset b;

	assign_one(3, true, WS_RES_DISPATCH, T1, a, 3);
	ck_assert_uint_eq(find(WS_RES_DISPATCH, T1)->holder.id, 2);
	b = assign_one(3, false, WS_RES_DISPATCH, T1, a, 3);
	assign_one(3, true, WS_RES_DISPATCH, T1, b, SELF);
	ck_assert_uint_eq(find(WS_RES_DISPATCH, T1)->holder.id, 3);
	ck_assert(!find(WS_RES_DISPATCH, T1)->active);
}
END_TEST

/*
 * A release that the log delays must not count once the same dispatcher holds
 * the dispatch under a later fence.
 */
START_TEST(shard_release_needs_the_current_dispatch_fence)
{
	ws_offset d = assign_one(2, false, WS_RES_DISPATCH, T1, 0, 2);
	ws_offset s = assign_one(2, false, WS_RES_SHARD, 0, 0, T1);
	struct ws_assign_item it[2] = {
		item(WS_RES_DISPATCH, T1, d, 2),
		item(WS_RES_SHARD, 0, s, T2),
	};
	ws_offset d2 = assign_one(2, true, WS_RES_DISPATCH, T1, d, 3);

	d2 = assign_one(3, true, WS_RES_DISPATCH, T1, d2, 2);
	assign(2, true, 2, it);
	ck_assert_uint_eq(find(WS_RES_SHARD, 0)->holder.id, T1);
	it[0].expected_fence = d2;
	assign(2, true, 2, it);
	ck_assert_uint_eq(find(WS_RES_SHARD, 0)->holder.id, T2);
	ck_assert(find(WS_RES_SHARD, 0)->active);
	ck_assert_uint_eq(find(WS_RES_DISPATCH, T1)->fence, d2);
}
END_TEST

/*
 * A key that left its shard without a new fence of the shard would have two
 * owners.
 */
START_TEST(hot_key_starts_only_with_a_new_fence_of_its_shard)
{
	ws_offset d = assign_one(2, false, WS_RES_DISPATCH, T1, 0, 2);
	ws_offset s = assign_one(2, false, WS_RES_SHARD, 0, 0, T1);
	struct ws_assign_item it[3] = {
		item(WS_RES_DISPATCH, T1, d, 2),
		item(WS_RES_SHARD, 0, s, T1),
		item(WS_RES_HOT_KEY, 500, 0, T1),
	};

	assign_one(2, false, WS_RES_HOT_KEY, 500, 0, T2);
	ck_assert_ptr_null(find(WS_RES_HOT_KEY, 500));
	s = assign(2, true, 3, it);
	ck_assert_uint_eq(find(WS_RES_HOT_KEY, 500)->holder.id, T1);
	ck_assert_uint_eq(find(WS_RES_SHARD, 0)->fence, s);
	it[1].expected_fence = s;
	it[2].expected_fence = s;
	it[2].holder = (struct ws_holder){ 0 };
	assign(2, true, 3, it);
	ck_assert_ptr_null(find(WS_RES_HOT_KEY, 500));
}
END_TEST

/* ===== Freshness ===== */

/*
 * A log read shows freshness as of its start, not as of the arrival of its
 * result.
 */
START_TEST(log_evidence_lasts_one_lease_from_its_start)
{
	struct ws_assign_item d = item(WS_RES_DISPATCH, T1, 0, SELF);

	assign_t1();
	ck_assert(ws_own_holds(own, now + WS_LEASE_DURATION - 1, &d.res));
	ck_assert(!ws_own_holds(own, now + WS_LEASE_DURATION, &d.res));
	ws_own_log_read_done(own, &fx, now + WS_SECOND, now + 5, head);
	ck_assert_int_eq(ws_own_fresh_until(own), now + 5 + WS_LEASE_DURATION);
	ws_own_log_read_done(own, &fx, now + WS_SECOND, now + 500, head + 1);
	ck_assert_int_eq(ws_own_fresh_until(own), now + 5 + WS_LEASE_DURATION);
}
END_TEST

/*
 * During a log outage, state stays fresh only if holders of a majority of
 * partitions answer that they know nothing newer.
 */
START_TEST(quorum_needs_a_majority_that_is_not_ahead)
{
	ws_us base;

	assign_t1();
	base = ws_own_fresh_until(own);
	tick_for(900 * WS_MS, false);
	ck_assert_int_eq(ws_own_fresh_until(own), base);
	answer_round(9, head);
	answer_round(2, head + 1);
	ck_assert_int_eq(ws_own_fresh_until(own), base);
	answer_round(3, head);
	ck_assert_int_gt(ws_own_fresh_until(own), base);
}
END_TEST

/* While a partition is being taken over, nobody has its vote. */
START_TEST(inactive_holder_has_no_vote)
{
	ws_offset p = assign_t1() - 2;
	ws_us base = ws_own_fresh_until(own);

	assign_one(3, false, WS_RES_PARTITION, 1, p, 3);
	assign_one(3, false, WS_RES_PARTITION, 2, p, 2);
	tick_for(900 * WS_MS, false);
	answer_round(2, head);
	answer_round(3, head);
	ck_assert_int_eq(ws_own_fresh_until(own), base);
}
END_TEST

/*
 * Without the outage limit, a majority that is cut off from the log would keep
 * its leases indefinitely.
 */
START_TEST(quorum_evidence_ends_at_the_outage_limit)
{
	ws_us start = now;

	assign_t1();
	while (now < start + 605 * WS_SECOND) {
		tick_for(200 * WS_MS, false);
		answer_round(2, head);
		ws_fx_clear(&fx);
	}
	ck_assert_int_eq(ws_own_fresh_until(own), start + 600 * WS_SECOND);
}
END_TEST

/*
 * The asking instance counts an answer for every partition that it believes the
 * sender to hold, so a holder must not answer while one of its releases is in
 * flight.
 */
START_TEST(holder_with_a_release_in_flight_does_not_answer)
{
	struct ws_msg ask = { .kind = WS_MSG_FRESH_ASK };

	assign_t1();
	ws_own_handle_message(own, &fx, now, 2, &ask, &view);
	ck_assert_ptr_nonnull(last_effect(WS_FX_SEND));
	ws_own_start_drain(own);
	tick_for(1500 * WS_MS, true);
	ws_fx_clear(&fx);
	ws_own_handle_message(own, &fx, now, 2, &ask, &view);
	ck_assert_ptr_null(last_effect(WS_FX_SEND));
	ck_assert_uint_eq(ws_own_held_partitions(own, NULL, 0), 0);
}
END_TEST

/* ===== Activation ===== */

/* Activation needs the answers of a majority and then the time of a lease. */
START_TEST(activation_waits_for_answers_and_a_lease)
{
	ws_offset d;

	assign_t1();
	d = assign_one(2, false, WS_RES_DISPATCH, T2, 0, 2);
	d = assign_one(SELF, false, WS_RES_DISPATCH, T2, d, 3);
	tick_for(3 * WS_SECOND, true);
	ck_assert_ptr_null(last_append(WS_REC_ACTIVATE));
	answer_round(3, d + 1);
	tick_for(WS_LEASE_DURATION, true);
	ck_assert_ptr_null(last_append(WS_REC_ACTIVATE));
	tick_for(WS_DRIFT_MARGIN + 100 * WS_MS, true);
	ck_assert_ptr_nonnull(last_append(WS_REC_ACTIVATE));
	ck_assert_uint_eq(last_append(WS_REC_ACTIVATE)->target_offset, d);
}
END_TEST

/*
 * An operator's RECOVER record replaces the answers of instances that are gone.
 */
START_TEST(recover_replaces_answers_of_gone_instances)
{
	ws_id gone[2] = { 2, 3 };
	struct ws_record rec = { .kind = WS_REC_RECOVER,
				 .n_gone = 2,
				 .gone = gone };
	ws_offset d;

	assign_t1();
	d = assign_one(2, false, WS_RES_DISPATCH, T2, 0, 2);
	assign_one(SELF, false, WS_RES_DISPATCH, T2, d, SELF);
	tick_for(3 * WS_SECOND, true);
	ck_assert_ptr_null(last_append(WS_REC_ACTIVATE));
	append_record(&rec);
	tick_for(WS_LEASE_DURATION + WS_DRIFT_MARGIN + 100 * WS_MS, true);
	ck_assert_ptr_nonnull(last_append(WS_REC_ACTIVATE));
}
END_TEST

/* If a majority never answers, activation happens after the outage limit. */
START_TEST(activation_without_answers_waits_for_the_outage_limit)
{
	ws_us start = now;
	ws_offset d;

	assign_t1();
	d = assign_one(2, false, WS_RES_DISPATCH, T2, 0, 2);
	assign_one(SELF, false, WS_RES_DISPATCH, T2, d, SELF);
	while (!last_append(WS_REC_ACTIVATE) && now < start + 700 * WS_SECOND) {
		ws_fx_clear(&fx);
		tick_for(WS_SECOND, true);
	}
	ck_assert_int_gt(now, start + 600 * WS_SECOND + WS_LEASE_DURATION);
	ck_assert_int_lt(now, start + 650 * WS_SECOND);
}
END_TEST

/* Without this, the table would keep every target that has ever existed. */
START_TEST(dispatch_of_an_unlisted_target_is_removed)
{
	struct ws_record *r;

	assign_t1();
	assign_one(SELF, false, WS_RES_DISPATCH, T2, 0, SELF);
	view.n_targets = 1;
	tick_for(1500 * WS_MS, true);
	r = last_append(WS_REC_ASSIGN);
	ck_assert(r && r->released);
	ck_assert_uint_eq(r->items[0].res.item, T2);
	append_record(r);
	ck_assert_ptr_null(find(WS_RES_DISPATCH, T2));
	ck_assert_ptr_nonnull(find(WS_RES_DISPATCH, T1));
}
END_TEST

/* ===== Leases and sending ===== */

/*
 * A grant that runs longer than the state behind it is fresh would overlap with
 * a takeover.
 */
START_TEST(grant_ends_before_the_evidence)
{
	size_t grants = 0;
	size_t i;
	ws_us at;

	assign_t1();
	at = now;
	tick_for(900 * WS_MS, false);
	for (i = 0; i < fx.n; i++) {
		if (fx.items[i].kind != WS_FX_GRANT)
			continue;
		grants++;
		ck_assert_uint_eq(fx.items[i].u.grant.n_items, 1);
		ck_assert_int_le(fx.items[i].u.grant.not_after_us,
				 at + WS_LEASE_DURATION + 7 * WS_SECOND -
					 WS_DRIFT_MARGIN);
	}
	ck_assert_uint_ge(grants, 3);
}
END_TEST

/*
 * The check before each sending covers target, incarnation, fence and
 * freshness.
 */
START_TEST(may_send_checks_everything)
{
	uint64_t key = 0;
	ws_offset s = assign_t1();

	while (ws_bundle_shard(&service, key) != 0)
		key++;
	ck_assert(ws_own_may_send(own, now, &view, T1, INC, SVC, key, s));
	ck_assert(!ws_own_may_send(own, now, &view, T1, 8, SVC, key, s));
	ck_assert(!ws_own_may_send(own, now, &view, T2, INC, SVC, key, s));
	ck_assert(!ws_own_may_send(own, now, &view, T1, INC, SVC, key, s - 1));
	ck_assert(!ws_own_may_send(own, now + WS_LEASE_DURATION, &view, T1, INC,
				   SVC, key, s));
}
END_TEST

/*
 * The shard of a leaving target moves only after the target has confirmed a
 * grant without it.
 */
START_TEST(leaving_target_releases_after_its_answer)
{
	ws_offset s = assign_t1();
	struct ws_effect *g;
	struct ws_record *r;
	uint64_t key = 0;

	while (ws_bundle_shard(&service, key) != 0)
		key++;
	tick_for(1500 * WS_MS, true);
	targets[0].leaving = true;
	ws_fx_clear(&fx);
	tick_for(20 * WS_MS, true);
	ck_assert(!ws_own_may_send(own, now, &view, T1, INC, SVC, key, s));
	r = last_append(WS_REC_ASSIGN);
	ck_assert(!r || !r->released);
	g = last_effect(WS_FX_GRANT);
	ck_assert_uint_eq(g->u.grant.n_items, 0);
	ws_own_grant_done(own, &fx, now, T1, g->u.grant.as_of, true);
	tick_for(40 * WS_MS, true);
	r = last_append(WS_REC_ASSIGN);
	ck_assert(r && r->released);
	ck_assert_uint_eq(r->n_items, 2);
	ck_assert_uint_eq(r->items[1].holder.id, T2);
}
END_TEST

/* ===== Proposals and snapshots ===== */

/* A single instance must be able to start a cluster from an empty log. */
START_TEST(first_instance_assigns_everything)
{
	size_t i;

	view.n_instances = 1;
	tick_for(1200 * WS_MS, true);
	for (i = 0; i < fx.n; i++)
		if (fx.items[i].kind == WS_FX_APPEND)
			append_record(fx.items[i].u.append);
	ck_assert_uint_eq(ws_own_held_partitions(own, NULL, 0), 3);
	ck_assert_uint_eq(ws_own_count(own), 3 + 2 + 4);
}
END_TEST

/* An instance that is cut off from all others must not take their resources. */
START_TEST(no_takeover_without_a_live_majority)
{
	size_t i;

	assign_t1();
	tick_for(1500 * WS_MS, true);
	ws_fx_clear(&fx);
	instances[1].alive = false;
	instances[2].alive = false;
	tick_for(2 * WS_SECOND, true);
	for (i = 0; i < fx.n; i++)
		ck_assert(fx.items[i].kind != WS_FX_APPEND ||
			  !takes_over(fx.items[i].u.append));
}
END_TEST

/* A restarted instance has only a snapshot and the records after it. */
START_TEST(starts_from_a_snapshot_in_the_log)
{
	struct ws_own *other = ws_own_new(4, 2);
	struct ws_record snap = { 0 };
	size_t i;

	assign_t1();
	assign_one(3, false, WS_RES_DISPATCH, T2, 0, 3);
	ws_own_request_snapshot(own);
	tick_for(40 * WS_MS, true);
	ws_record_copy(&snap, last_append(WS_REC_SNAPSHOT));
	ws_own_load_snapshot(other, &fx, now, &snap);
	ck_assert_uint_eq(ws_own_next_offset(other), head);
	ck_assert_uint_eq(ws_own_count(other), ws_own_count(own));
	for (i = 0; i < ws_own_count(own); i++)
		ck_assert_mem_eq(ws_own_at(own, i), ws_own_at(other, i),
				 sizeof(struct ws_assignment));
	ws_record_clear(&snap);
	ws_own_free(other);
}
END_TEST

/* During a log outage, an instance that lags catches up from a peer. */
START_TEST(peer_copies_records_or_a_snapshot)
{
	struct ws_own *other = ws_own_new(4, 2);
	struct ws_msg ask = { .kind = WS_MSG_TAIL_ASK, .u.tail.from = 1 };
	struct ws_record none = { 0 };
	struct ws_effect *e;
	size_t i;

	assign_t1();
	for (i = 0; i < 1100; i++)
		append_record(&none);
	ws_own_handle_message(own, &fx, now, 4, &ask, &view);
	e = last_effect(WS_FX_SEND);
	ck_assert_uint_eq(e->u.send.msg.u.tail.n_records, 1);
	ws_own_load_snapshot(other, &fx, now, e->u.send.msg.u.tail.records);
	ck_assert_uint_eq(ws_own_next_offset(other), head);
	ck_assert_uint_eq(ws_own_count(other), ws_own_count(own));
	assign_one(3, false, WS_RES_DISPATCH, T2, 0, 3);
	ask.u.tail.from = ws_own_next_offset(other);
	ws_own_handle_message(own, &fx, now, 4, &ask, &view);
	e = last_effect(WS_FX_SEND);
	for (i = 0; i < e->u.send.msg.u.tail.n_records; i++)
		ws_own_apply_record(other, &fx, now,
				    &e->u.send.msg.u.tail.records[i]);
	ck_assert_uint_eq(ws_own_count(other), ws_own_count(own));
	ws_own_free(other);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("own");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, first_record_in_the_log_wins);
	tcase_add_test(tc, takeover_is_inactive_until_activated);
	tcase_add_test(tc, release_counts_only_from_the_active_holder);
	tcase_add_test(tc, shard_release_needs_the_current_dispatch_fence);
	tcase_add_test(tc, hot_key_starts_only_with_a_new_fence_of_its_shard);
	tcase_add_test(tc, log_evidence_lasts_one_lease_from_its_start);
	tcase_add_test(tc, quorum_needs_a_majority_that_is_not_ahead);
	tcase_add_test(tc, inactive_holder_has_no_vote);
	tcase_add_test(tc, quorum_evidence_ends_at_the_outage_limit);
	tcase_add_test(tc, holder_with_a_release_in_flight_does_not_answer);
	tcase_add_test(tc, activation_waits_for_answers_and_a_lease);
	tcase_add_test(tc, recover_replaces_answers_of_gone_instances);
	tcase_add_test(tc,
		       activation_without_answers_waits_for_the_outage_limit);
	tcase_add_test(tc, dispatch_of_an_unlisted_target_is_removed);
	tcase_add_test(tc, grant_ends_before_the_evidence);
	tcase_add_test(tc, may_send_checks_everything);
	tcase_add_test(tc, leaving_target_releases_after_its_answer);
	tcase_add_test(tc, first_instance_assigns_everything);
	tcase_add_test(tc, no_takeover_without_a_live_majority);
	tcase_add_test(tc, starts_from_a_snapshot_in_the_log);
	tcase_add_test(tc, peer_copies_records_or_a_snapshot);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
