#include "capacity/ws_cap_internal.h"

#include <math.h>

/* Measures ownership by number of shards, members and partitions. */

#define WARMUP_TICKS 60
#define MEASURED_TICKS 20
#define MEASURED_ROUNDS 20
#define SQUARE(n) ((size_t)(n) * (n))

static double memory_bytes(size_t shards)
{
	struct ws_cap_fleet f;
	double before;
	double after;

	ws_cap_fleet_init(&f, CAP_INSTANCES, CAP_TARGETS, (uint32_t)shards,
			  CAP_PARTITIONS);
	before = ws_cap_allocated_bytes();
	ws_cap_fleet_assign(&f);
	ws_fx_free(&f.fx);
	after = ws_cap_allocated_bytes();
	ws_cap_fleet_free(&f);
	return after - before;
}

static double fold_us(size_t shards)
{
	struct ws_cap_fleet f;
	double start;

	ws_cap_fleet_init(&f, CAP_INSTANCES, CAP_TARGETS, (uint32_t)shards,
			  CAP_PARTITIONS);
	start = ws_cap_cpu_seconds();
	ws_cap_fleet_assign(&f);
	start = ws_cap_cpu_seconds() - start;
	ws_cap_fleet_free(&f);
	return start * 1e6;
}

/*
 * An empty ASSIGN record changes no assignment but makes each instance plan
 * again.
 */
static double plan_us(size_t shards)
{
	struct ws_record rec = { .kind = WS_REC_ASSIGN };
	struct ws_cap_fleet f;
	double start;
	size_t i;

	ws_cap_fleet_init(&f, CAP_INSTANCES, CAP_TARGETS, (uint32_t)shards,
			  CAP_PARTITIONS);
	ws_cap_fleet_assign(&f);
	for (i = 0; i < WARMUP_TICKS; i++)
		ws_cap_fleet_step(&f);
	rec.offset = f.head++;
	ws_own_apply_record(f.own, &f.fx, f.now, &rec);
	start = ws_cap_cpu_seconds();
	ws_cap_fleet_step(&f);
	start = ws_cap_cpu_seconds() - start;
	ws_cap_fleet_free(&f);
	return start * 1e6;
}

static double idle_tick_us(size_t instances, size_t targets, uint32_t shards)
{
	struct ws_cap_fleet f;
	double sum = 0;
	double start;
	size_t i;

	ws_cap_fleet_init(&f, instances, targets, shards, CAP_PARTITIONS);
	ws_cap_fleet_assign(&f);
	for (i = 0; i < WARMUP_TICKS; i++)
		ws_cap_fleet_step(&f);
	for (i = 0; i < MEASURED_TICKS; i++) {
		f.now += 50 * WS_MS;
		ws_own_log_read_done(f.own, &f.fx, f.now, f.now, f.head);
		start = ws_cap_cpu_seconds();
		ws_own_tick(f.own, &f.fx, f.now, f.now / WS_MS, &f.view);
		sum += ws_cap_cpu_seconds() - start;
	}
	ws_cap_fleet_free(&f);
	return sum * 1e6 / MEASURED_TICKS;
}

static double tick_us_by_members(size_t members)
{
	return idle_tick_us(members / 3, members / 3 * 2, 4096);
}

static double tick_us_by_shards(size_t shards)
{
	return idle_tick_us(CAP_INSTANCES, CAP_TARGETS, (uint32_t)shards);
}

/* ===== Freshness rounds ===== */

static uint64_t find_round(const struct ws_fx *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++)
		if (fx->items[i].kind == WS_FX_SEND &&
		    fx->items[i].u.send.msg.kind == WS_MSG_FRESH_ASK)
			return fx->items[i].u.send.msg.u.fresh.round;
	return 0;
}

/*
 * Starts a freshness round, because the log is silent, and handles its answers.
 */
static double answers_cpu_seconds(struct ws_cap_fleet *f)
{
	struct ws_msg msg = { .kind = WS_MSG_FRESH_ANSWER };
	double start;
	size_t i;

	f->now += WS_SECOND / 2;
	ws_own_tick(f->own, &f->fx, f->now, f->now / WS_MS, &f->view);
	msg.u.fresh.next_offset = f->head;
	msg.u.fresh.round = find_round(&f->fx);
	WS_INVARIANT(msg.u.fresh.round != 0);
	ws_fx_clear(&f->fx);
	start = ws_cap_cpu_seconds();
	for (i = 0; i < f->n_partitions; i++)
		ws_own_handle_message(f->own, &f->fx, f->now,
				      CAP_FIRST_INSTANCE_ID + i, &msg,
				      &f->view);
	return ws_cap_cpu_seconds() - start;
}

static double freshness_round_us(size_t squared)
{
	struct ws_cap_fleet f;
	double sum = 0;
	size_t i;

	ws_cap_fleet_init(&f, CAP_INSTANCES, CAP_TARGETS, 4096,
			  (uint32_t)lround(sqrt((double)squared)));
	ws_cap_fleet_assign(&f);
	for (i = 0; i < WARMUP_TICKS; i++)
		ws_cap_fleet_step(&f);
	for (i = 0; i < MEASURED_ROUNDS; i++)
		sum += answers_cpu_seconds(&f);
	ws_cap_fleet_free(&f);
	return sum * 1e6 / MEASURED_ROUNDS;
}

/* ===== Losses ===== */

/*
 * Ticks until all changes are complete: 20 s of simulated time, because the
 * only running instance waits for its turn before each proposal.
 */
#define SETTLE_TICKS 400

static void remove_members(struct ws_cap_fleet *f, size_t instances,
			   size_t targets)
{
	size_t i;

	for (i = 0; i < instances; i++)
		f->instances[i * CAP_ZONES].alive = false;
	for (i = 0; i < targets; i++)
		f->targets[i * CAP_ZONES].state = WS_STATE_LOST;
}

static void measure_loss(struct ws_cap_results *r, enum ws_cap_loss_id id,
			 const char *name, size_t instances, size_t targets)
{
	struct ws_cap_fleet f;
	double start;
	size_t i;

	ws_cap_fleet_init(&f, CAP_INSTANCES, CAP_TARGETS, CAP_SHARDS,
			  CAP_PARTITIONS);
	ws_cap_fleet_assign(&f);
	for (i = 0; i < WARMUP_TICKS; i++)
		ws_cap_fleet_step(&f);
	f.appended = (struct ws_cap_loss){ .name = name,
					   .instances = instances,
					   .targets = targets };
	start = ws_cap_cpu_seconds();
	if (id == WS_CAP_LOSS_DRAIN)
		ws_own_start_drain(f.own);
	remove_members(&f, instances, targets);
	for (i = 0; i < SETTLE_TICKS; i++)
		ws_cap_fleet_step(&f);
	f.appended.cpu_seconds = ws_cap_cpu_seconds() - start;
	r->losses[id] = f.appended;
	ws_cap_fleet_free(&f);
}

void ws_cap_measure_loss(struct ws_cap_results *r)
{
	measure_loss(r, WS_CAP_LOSS_INSTANCE, "one instance", 1, 0);
	measure_loss(r, WS_CAP_LOSS_RACK, "rack of 40 nodes", 13, 27);
	measure_loss(r, WS_CAP_LOSS_ZONE, "zone", CAP_INSTANCES / CAP_ZONES + 1,
		     CAP_TARGETS / CAP_ZONES + 1);
	measure_loss(r, WS_CAP_LOSS_DRAIN, "graceful shutdown of one instance",
		     0, 0);
}

void ws_cap_measure_own(struct ws_cap_results *r)
{
	static const size_t shards[] = { 4096, 16384, 32768, 65536 };
	static const size_t members[] = { 600, 1200, 2400, 4800 };
	/*
	 * Handling each answer counts the votes of all partitions, so the cost
	 * is quadratic in partitions.
	 */
	static const size_t partitions[] = { SQUARE(256), SQUARE(512),
					     SQUARE(768), SQUARE(1024) };

	ws_cap_measure_series(r, WS_CAP_OWN_MEM, shards, 4, memory_bytes);
	ws_cap_measure_series(r, WS_CAP_OWN_FOLD, shards, 4, fold_us);
	ws_cap_measure_series(r, WS_CAP_OWN_PLAN, shards, 4, plan_us);
	ws_cap_measure_series(r, WS_CAP_OWN_TICK, members, 4,
			      tick_us_by_members);
	ws_cap_measure_series(r, WS_CAP_OWN_TICK_SHARDS, shards, 4,
			      tick_us_by_shards);
	ws_cap_measure_series(r, WS_CAP_FRESHNESS_ROUND, partitions, 4,
			      freshness_round_us);
}
