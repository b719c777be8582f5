#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/ws_own_internal.h"

/*
 * Tests placement at the fleet sizes of users and of the design against the
 * bounds of docs/design.md, section 2: imbalance of sharded services and churn.
 */

#define IMBALANCE_MAX 1.25
#define CHURN_MAX 1.1

struct fleet {
	size_t n_items;
	size_t n_bins;
	struct ws_place_item *items;
	struct ws_place_bin *bins;
};

static const size_t sizes[][2] = { { 13, 64 },
				   { 15, 64 },
				   { 240, 4096 },
				   { 4800, 65536 } };

#define N_SIZES (sizeof(sizes) / sizeof(sizes[0]))

/* ===== Helpers ===== */

static void fleet_init(struct fleet *f, size_t bins, size_t items)
{
	size_t i;

	f->n_bins = bins;
	f->n_items = items;
	f->bins = ws_alloc(bins + 1, sizeof(*f->bins));
	f->items = ws_alloc(items, sizeof(*f->items));
	for (i = 0; i <= bins; i++)
		f->bins[i].id = ws_mix(1, i);
	for (i = 0; i < items; i++)
		f->items[i] = (struct ws_place_item){ .id = ws_mix(2, i),
						      .weight = 1,
						      .from = WS_PLACE_NONE };
}

static void fleet_free(struct fleet *f)
{
	free(f->bins);
	free(f->items);
}

static size_t run_placement(struct fleet *f, bool rebalance)
{
	size_t moved;
	size_t i;

	for (i = 0; i < f->n_bins; i++)
		f->bins[i].load = 0;
	moved = ws_place(f->items, f->n_items, f->bins, f->n_bins, rebalance);
	for (i = 0; i < f->n_items; i++)
		f->items[i].from = f->items[i].to;
	return moved;
}

static double imbalance(const struct fleet *f)
{
	uint64_t sum = 0;
	uint64_t max = 0;
	size_t i;

	for (i = 0; i < f->n_bins; i++) {
		sum += f->bins[i].load;
		if (f->bins[i].load > max)
			max = f->bins[i].load;
	}
	return (double)max * (double)f->n_bins / (double)sum;
}

static double cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* ===== Placement ===== */

/* A joining target must get its share of the shards, and no others may move. */
START_TEST(join_moves_the_unavoidable_share)
{
	double share;
	double start;
	size_t moved;
	struct fleet f;

	fleet_init(&f, sizes[_i][0], sizes[_i][1]);
	run_placement(&f, false);
	ck_assert_double_le(imbalance(&f), IMBALANCE_MAX);
	f.n_bins++;
	share = (double)f.n_items / (double)f.n_bins;
	start = cpu_seconds();
	moved = run_placement(&f, true);
	printf("%zu targets, %zu shards: join moves %zu (share %.1f), "
	       "imbalance %.3f, %.1f ms\n",
	       f.n_bins, f.n_items, moved, share, imbalance(&f),
	       (cpu_seconds() - start) * 1e3);
	ck_assert_double_le((double)moved, share * CHURN_MAX);
	ck_assert_double_ge((double)moved, share - 1);
	ck_assert_double_le(imbalance(&f), IMBALANCE_MAX);
	fleet_free(&f);
}
END_TEST

/* When a target leaves, only its shards may move. */
START_TEST(leave_moves_only_what_is_lost)
{
	size_t lost = 0;
	size_t moved;
	struct fleet f;
	size_t i;

	fleet_init(&f, sizes[_i][0], sizes[_i][1]);
	run_placement(&f, false);
	f.n_bins--;
	for (i = 0; i < f.n_items; i++) {
		if (f.items[i].from != f.n_bins)
			continue;
		f.items[i].from = WS_PLACE_NONE;
		lost++;
	}
	moved = run_placement(&f, false);
	printf("%zu targets, %zu shards: leave moves %zu of %zu, imbalance "
	       "%.3f\n",
	       f.n_bins, f.n_items, moved, lost, imbalance(&f));
	ck_assert_uint_eq(moved, lost);
	ck_assert_double_le(imbalance(&f), IMBALANCE_MAX);
	fleet_free(&f);
}
END_TEST

/* Shards of different weight must still load the targets evenly. */
START_TEST(weights_are_balanced)
{
	struct ws_rand r;
	struct fleet f;
	size_t i;

	ws_rand_seed(&r, 4);
	fleet_init(&f, sizes[_i][0], sizes[_i][1]);
	for (i = 0; i < f.n_items; i++)
		f.items[i].weight = 50 + (uint32_t)ws_rand_below(&r, 100);
	run_placement(&f, false);
	ck_assert_double_le(imbalance(&f), IMBALANCE_MAX);
	fleet_free(&f);
}
END_TEST

/* Equal inputs must give equal plans on every instance. */
START_TEST(plan_is_the_same_on_every_instance)
{
	struct fleet a;
	struct fleet b;
	size_t i;

	fleet_init(&a, 15, 64);
	fleet_init(&b, 15, 64);
	run_placement(&a, true);
	run_placement(&b, true);
	for (i = 0; i < a.n_items; i++)
		ck_assert_uint_eq(a.items[i].to, b.items[i].to);
	fleet_free(&a);
	fleet_free(&b);
}
END_TEST

/* ===== Cost of applying records and of a tick ===== */

struct world {
	struct ws_service service;
	struct ws_zone zone;
	struct ws_bundle bundle;
	struct ws_instance *instances;
	struct ws_target *targets;
	struct ws_view view;
};

static void world_init(struct world *w, size_t targets, size_t shards,
		       size_t instances)
{
	size_t i;

	w->service = (struct ws_service){ .id = 7,
					  .sharded = true,
					  .shards = (uint32_t)shards,
					  .checks_fences = true };
	w->zone = (struct ws_zone){ .id = 5, .in_service = true };
	w->bundle = (struct ws_bundle){ .refs = 1,
					.version = 1,
					.partitions = 24,
					.outage_limit = 600 * WS_SECOND,
					.n_services = 1,
					.services = &w->service,
					.n_zones = 1,
					.zones = &w->zone };
	w->instances = ws_alloc(instances, sizeof(*w->instances));
	w->targets = ws_alloc(targets, sizeof(*w->targets));
	for (i = 0; i < instances; i++)
		w->instances[i] = (struct ws_instance){
			.id = i + 1, .zone = 5, .listed = true, .alive = true
		};
	for (i = 0; i < targets; i++)
		w->targets[i] = (struct ws_target){ .id = 1000 + i,
						    .service = 7,
						    .zone = 5,
						    .listed = true,
						    .state = WS_STATE_LIVE,
						    .incarnation = 1 };
	w->view = (struct ws_view){ .self = 1,
				    .self_zone = 5,
				    .bundle = &w->bundle,
				    .n_instances = instances,
				    .instances = w->instances,
				    .n_targets = targets,
				    .targets = w->targets };
}

/* Applies one record that assigns n resources to m holders in turn. */
static void assign(struct ws_own *o, struct ws_fx *fx, uint8_t kind,
		   ws_id scope, ws_id first_item, size_t n, ws_id first_holder,
		   size_t m)
{
	struct ws_record rec = { .kind = WS_REC_ASSIGN,
				 .offset = ws_own_next_offset(o),
				 .n_items = n };
	size_t i;

	WS_INVARIANT(m > 0);
	rec.items = ws_alloc(n, sizeof(*rec.items));
	for (i = 0; i < n; i++) {
		rec.items[i].res = (struct ws_res){ .kind = kind,
						    .scope = scope,
						    .item = first_item + i };
		rec.items[i].holder.id = first_holder + i % m;
		rec.items[i].holder.incarnation = kind == WS_RES_SHARD;
	}
	ws_own_apply_record(o, fx, 0, &rec);
	ws_record_clear(&rec);
}

static double run_ticks(struct ws_own *o, struct ws_fx *fx, ws_us *now,
			const struct world *w, int n)
{
	double start = cpu_seconds();

	while (n-- > 0) {
		*now += 50 * WS_MS;
		ws_own_log_read_done(o, fx, *now, *now, ws_own_next_offset(o));
		ws_own_tick(o, fx, *now, 0, &w->view);
		ws_fx_clear(fx);
	}
	return cpu_seconds() - start;
}

/*
 * Without changes, the ticks of an instance must use at most 1.4 % of a core.
 */
START_TEST(cost_of_apply_and_tick)
{
	size_t targets = sizes[_i][0];
	size_t shards = sizes[_i][1];
	size_t instances = 1 + targets / 20;
	struct ws_own *o = ws_own_new(1, 1);
	struct ws_fx fx = { 0 };
	ws_us now = WS_SECOND;
	struct world w;
	double apply;
	double tick;
	double lost;

	world_init(&w, targets, shards, instances);
	apply = cpu_seconds();
	assign(o, &fx, WS_RES_PARTITION, 0, 0, 24, 1, instances);
	assign(o, &fx, WS_RES_DISPATCH, 0, 1000, targets, 1, instances);
	assign(o, &fx, WS_RES_SHARD, 7, 0, shards, 1000, targets);
	apply = cpu_seconds() - apply;
	run_ticks(o, &fx, &now, &w, 60);
	tick = run_ticks(o, &fx, &now, &w, 400) / 20;
	w.targets[1].state = WS_STATE_LOST;
	lost = run_ticks(o, &fx, &now, &w, 20);
	printf("%zu targets, %zu shards: apply %.2f us an item, steady ticks "
	       "%.2f %% of a core, %.2f %% while a target is lost\n",
	       targets, shards, apply * 1e6 / (double)(targets + shards),
	       tick * 100, lost * 100);
	/* Twice the design value, to allow for a busy machine. */
	ck_assert_double_le(tick * 100, 2.8);
	ws_fx_free(&fx);
	ws_own_free(o);
	free(w.instances);
	free(w.targets);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("place");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, join_moves_the_unavoidable_share, 0, N_SIZES);
	tcase_add_loop_test(tc, leave_moves_only_what_is_lost, 0, N_SIZES);
	tcase_add_loop_test(tc, weights_are_balanced, 0, N_SIZES);
	tcase_add_test(tc, plan_is_the_same_on_every_instance);
	tcase_add_loop_test(tc, cost_of_apply_and_tick, 1, N_SIZES);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
