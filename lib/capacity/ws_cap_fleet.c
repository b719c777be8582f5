#include "capacity/ws_cap_internal.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "codec/ws_codec.h"

/* Simulated fleet around the ownership module of one instance. */

/* Most items of one ASSIGN record, as in ws_own. */
#define ASSIGN_ITEMS_MAX 2048
#define TICK_PERIOD (50 * WS_MS)

double ws_cap_cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double ws_cap_allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)m.uordblks + (double)m.hblkhd;
}

/* ===== Members ===== */

static void init_instances(struct ws_cap_fleet *f)
{
	size_t i;

	f->instances = ws_alloc(f->n_instances, sizeof(*f->instances));
	for (i = 0; i < f->n_instances; i++)
		f->instances[i] =
			(struct ws_instance){ .id = CAP_FIRST_INSTANCE_ID + i,
					      .zone = CAP_FIRST_ZONE_ID +
						      i % CAP_ZONES,
					      .listed = true,
					      .alive = true,
					      .ready = true };
}

static void init_targets(struct ws_cap_fleet *f)
{
	size_t i;

	f->targets = ws_alloc(f->n_targets, sizeof(*f->targets));
	for (i = 0; i < f->n_targets; i++)
		f->targets[i] = (struct ws_target){
			.id = CAP_FIRST_TARGET_ID + i,
			.service = CAP_FIRST_SERVICE_ID + i % CAP_SERVICES,
			.zone = CAP_FIRST_ZONE_ID + i % CAP_ZONES,
			.listed = true,
			.state = WS_STATE_LIVE,
			.incarnation = CAP_INCARNATION,
			.clock_incarnation = CAP_INCARNATION,
		};
}

static void init_bundle(struct ws_cap_fleet *f)
{
	size_t i;

	for (i = 0; i < CAP_SERVICES; i++)
		f->services[i] =
			(struct ws_service){ .id = CAP_FIRST_SERVICE_ID + i,
					     .sharded = true,
					     .checks_fences = true,
					     .shards =
						     f->n_shards / CAP_SERVICES,
					     .slots = 4,
					     .cold_limit = 1 };
	for (i = 0; i < CAP_ZONES; i++)
		f->zones[i] = (struct ws_zone){ .id = CAP_FIRST_ZONE_ID + i,
						.in_service = true };
	f->bundle = (struct ws_bundle){ .refs = 1,
					.version = 1,
					.partitions = f->n_partitions,
					.outage_limit = 600 * WS_SECOND,
					.n_services = CAP_SERVICES,
					.services = f->services,
					.n_zones = CAP_ZONES,
					.zones = f->zones };
}

void ws_cap_fleet_init(struct ws_cap_fleet *f, size_t instances, size_t targets,
		       uint32_t shards, uint32_t partitions)
{
	*f = (struct ws_cap_fleet){ .n_instances = instances,
				    .n_targets = targets,
				    .n_shards = shards,
				    .n_partitions = partitions,
				    .now = 10 * WS_SECOND,
				    .head = 1 };
	init_instances(f);
	init_targets(f);
	init_bundle(f);
	/*
	 * The measured instance is outside zone 0, the zone that the loss
	 * measurements remove.
	 */
	f->view = (struct ws_view){ .self = CAP_FIRST_INSTANCE_ID + 1,
				    .self_zone = CAP_FIRST_ZONE_ID + 1,
				    .bundle = &f->bundle,
				    .n_instances = instances,
				    .instances = f->instances,
				    .n_targets = targets,
				    .targets = f->targets };
	f->own = ws_own_new(f->view.self, 1);
}

void ws_cap_fleet_free(struct ws_cap_fleet *f)
{
	ws_own_free(f->own);
	ws_fx_free(&f->fx);
	free(f->instances);
	free(f->targets);
}

/* ===== Assignments ===== */

static struct ws_assign_item make_item(const struct ws_cap_fleet *f,
				       uint8_t kind, size_t i)
{
	struct ws_assign_item it = { .res = { .kind = kind, .item = i } };
	size_t row = i / CAP_ZONES % (f->n_instances / CAP_ZONES);
	size_t targets_per_service = f->n_targets / CAP_SERVICES;

	WS_INVARIANT(targets_per_service > 0);
	if (kind == WS_RES_PARTITION)
		it.holder.id = CAP_FIRST_INSTANCE_ID + i % f->n_instances;
	if (kind == WS_RES_DISPATCH) {
		it.res.item = CAP_FIRST_TARGET_ID + i;
		it.holder.id =
			CAP_FIRST_INSTANCE_ID + row * CAP_ZONES + i % CAP_ZONES;
	}
	if (kind == WS_RES_SHARD) {
		it.res.scope = CAP_FIRST_SERVICE_ID + i % CAP_SERVICES;
		it.res.item = i / CAP_SERVICES;
		it.holder.id =
			CAP_FIRST_TARGET_ID + i % CAP_SERVICES +
			CAP_SERVICES * (i / CAP_SERVICES % targets_per_service);
		it.holder.incarnation = CAP_INCARNATION;
	}
	return it;
}

static void apply_record(struct ws_cap_fleet *f, struct ws_record *rec)
{
	rec->offset = f->head++;
	ws_own_apply_record(f->own, &f->fx, f->now, rec);
}

static void assign_kind(struct ws_cap_fleet *f, uint8_t kind, size_t n)
{
	struct ws_assign_item *items =
		ws_alloc(ASSIGN_ITEMS_MAX, sizeof(*items));
	struct ws_record rec = { .kind = WS_REC_ASSIGN, .items = items };
	size_t i;

	for (i = 0; i < n; i++) {
		items[rec.n_items++] = make_item(f, kind, i);
		if (rec.n_items < ASSIGN_ITEMS_MAX && i + 1 < n)
			continue;
		apply_record(f, &rec);
		rec.n_items = 0;
	}
	free(items);
}

void ws_cap_fleet_assign(struct ws_cap_fleet *f)
{
	assign_kind(f, WS_RES_PARTITION, f->n_partitions);
	assign_kind(f, WS_RES_DISPATCH, f->n_targets);
	assign_kind(f, WS_RES_SHARD, f->n_shards);
	ws_fx_clear(&f->fx);
}

/* ===== Steps ===== */

static void count_record(struct ws_cap_fleet *f, const struct ws_record *rec)
{
	char *text;

	if (rec->kind == WS_REC_ASSIGN) {
		f->appended.assign_records++;
		f->appended.items += rec->n_items;
	} else if (rec->kind == WS_REC_ACTIVATE) {
		f->appended.activate_records++;
	} else {
		f->appended.other_records++;
		return;
	}
	if (ws_is_error(ws_codec_record_write(rec, &text)))
		return;
	f->appended.bytes += strlen(text);
	free(text);
}

static void answer_freshness_round(struct ws_cap_fleet *f, uint64_t round)
{
	struct ws_msg msg = { .kind = WS_MSG_FRESH_ANSWER };
	size_t i;

	msg.u.fresh.round = round;
	msg.u.fresh.next_offset = f->head;
	for (i = 0; i < f->n_instances; i++)
		if (f->instances[i].alive && f->instances[i].id != f->view.self)
			ws_own_handle_message(f->own, &f->fx, f->now,
					      f->instances[i].id, &msg,
					      &f->view);
}

static void run_effect(struct ws_cap_fleet *f, struct ws_effect *e)
{
	if (e->kind == WS_FX_APPEND) {
		count_record(f, e->u.append);
		apply_record(f, e->u.append);
	}
	if (e->kind == WS_FX_SEND && e->u.send.msg.kind == WS_MSG_FRESH_ASK)
		answer_freshness_round(f, e->u.send.msg.u.fresh.round);
	if (e->kind == WS_FX_GRANT)
		ws_own_grant_done(f->own, &f->fx, f->now, e->u.grant.target,
				  e->u.grant.as_of, true);
}

void ws_cap_fleet_step(struct ws_cap_fleet *f)
{
	struct ws_fx done;
	size_t i;

	f->now += TICK_PERIOD;
	for (i = 0; i < f->n_targets; i++)
		if (f->targets[i].state == WS_STATE_LIVE)
			f->targets[i].clock_local = f->now;
	ws_own_log_read_done(f->own, &f->fx, f->now, f->now, f->head);
	ws_own_tick(f->own, &f->fx, f->now, f->now / WS_MS, &f->view);
	done = f->fx;
	f->fx = (struct ws_fx){ .items = NULL };
	for (i = 0; i < done.n; i++)
		run_effect(f, &done.items[i]);
	ws_fx_free(&done);
}
