#include "fake_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The event loop of the fake, instances and the network between them. */

#define LIST_PERIOD (500 * WS_MS)
#define LIST_LAG (700 * WS_MS)

/* Instances' clocks run at most this much too fast or too slow. */
#define CLOCK_DRIFT 0.005

/* ===== Events of the fake ===== */

static bool earlier(const struct fake_event *a, const struct fake_event *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->seq < b->seq;
}

static void swap(struct fake_event *a, struct fake_event *b)
{
	struct fake_event t = *a;

	*a = *b;
	*b = t;
}

static size_t sift_up(struct fake *f, size_t i)
{
	while (i && earlier(&f->heap[i], &f->heap[(i - 1) / 2])) {
		swap(&f->heap[i], &f->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	return i;
}

static void sift_down(struct fake *f)
{
	size_t i = 0;

	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= f->n_heap)
			return;
		if (k + 1 < f->n_heap && earlier(&f->heap[k + 1], &f->heap[k]))
			k++;
		if (!earlier(&f->heap[k], &f->heap[i]))
			return;
		swap(&f->heap[i], &f->heap[k]);
		i = k;
	}
}

struct fake_event *fake_push(struct fake *f, ws_us at, uint8_t kind, int who)
{
	struct fake_event *e;

	ws_grow(&f->heap, &f->cap_heap, f->n_heap + 1, sizeof(*f->heap));
	e = &f->heap[f->n_heap];
	memset(e, 0, sizeof(*e));
	e->at = at < f->now ? f->now : at;
	e->seq = ++f->seq;
	e->kind = kind;
	e->who = who;
	return &f->heap[sift_up(f, f->n_heap++)];
}

static struct fake_event pop(struct fake *f)
{
	struct fake_event e = f->heap[0];

	f->heap[0] = f->heap[--f->n_heap];
	sift_down(f);
	return e;
}

bool fake_chance(struct fake *f, double p)
{
	return (double)ws_rand_below(&f->rand, 1000000) < p * 1e6;
}

/* ===== Network ===== */

bool fake_zones_connected(const struct fake *f, int a, int b)
{
	return f->now >= f->zone_cut_until[a][b];
}

bool fake_platform_reachable(const struct fake *f, int z)
{
	return f->now >= f->platform_cut_until[z];
}

ws_us fake_delay(struct fake *f, int zone_a, int zone_b)
{
	ws_us base = zone_a == zone_b ? 150 : 1000;
	ws_us extra = (ws_us)ws_rand_below(&f->rand, 800);

	/* Now and then a message is held up. */
	if (fake_chance(f, 0.002))
		extra += (ws_us)ws_rand_below(&f->rand, 300 * WS_MS);
	return base + extra;
}

static ws_us local_time(const struct fake *f, const struct fake_instance *in)
{
	return in->clock_offset + (ws_us)((double)f->now * in->clock_rate);
}

ws_us fake_local_now(const struct fake *f, int i)
{
	return local_time(f, &f->instances[i]);
}

void fake_deliver(struct fake *f, int i, uint64_t life, ws_us at,
		  const struct ws_event *ev)
{
	struct fake_event *e = fake_push(f, at, FE_DELIVER, i);

	e->life = life;
	e->ev = *ev;
}

/* Deadlines travel as the time that is left. */
static ws_us *deadline_of(struct ws_msg *msg)
{
	return msg->kind == WS_MSG_FORWARD ? &msg->u.forward.call.deadline :
					     NULL;
}

static void send_copy(struct fake *f, int from, int to,
		      const struct ws_msg *msg)
{
	struct fake_instance *a = &f->instances[from];
	struct fake_instance *b = &f->instances[to];
	struct fake_event *e;
	ws_us *deadline;

	if (!fake_zones_connected(f, a->zone, b->zone) ||
	    fake_chance(f, f->conf.loss))
		return;
	e = fake_push(f, f->now + fake_delay(f, a->zone, b->zone), FE_DELIVER,
		      to);
	e->life = b->life;
	e->ev.kind = WS_EV_PEER_MSG;
	e->ev.u.peer.from = a->id;
	ws_msg_copy(&e->msg, msg);
	deadline = deadline_of(&e->msg);
	if (deadline)
		*deadline -= local_time(f, a);
}

void fake_send_message(struct fake *f, int from, const struct ws_effect *fx)
{
	int i;

	for (i = 0; i < f->n_instances; i++) {
		if (!f->instances[i].core || i == from)
			continue;
		if (fx->u.send.to && f->instances[i].id != fx->u.send.to)
			continue;
		send_copy(f, from, i, &fx->u.send.msg);
		/* Requests and answers come over connections: never twice. */
		if (fx->u.send.msg.kind != WS_MSG_FORWARD &&
		    fake_chance(f, f->conf.duplicate))
			send_copy(f, from, i, &fx->u.send.msg);
	}
}

/* ===== Instances ===== */

static void check_version(struct fake *f, struct fake_instance *in)
{
	uint64_t v = 0;

	if (ws_core_view(in->core)->bundle)
		v = ws_core_view(in->core)->bundle->version;
	if (v < in->bundle_seen)
		fake_violation(f, "bundle went back", in->bundle_seen, v);
	if (v > in->bundle_seen) {
		in->bundle_seen = v;
		in->bundle_seen_at = f->now;
	}
}

static void step(struct fake *f, int i, struct ws_event *ev)
{
	struct fake_instance *in = &f->instances[i];
	struct ws_fx fx = { 0 };
	size_t k;

	ev->now = local_time(f, in);
	ev->wall_ms = f->now / 1000 + in->wall_offset_ms + 1700000000000LL;
	f->report.events++;
	fake_count_event_refs(f, i, ev);
	ws_core_step(in->core, ev, &fx);
	check_version(f, in);
	for (k = 0; k < fx.n && in->core; k++)
		fake_apply_effect(f, i, &fx.items[k]);
	ws_fx_free(&fx);
}

static void start_timers(struct fake *f, int i)
{
	struct fake_instance *in = &f->instances[i];

	fake_push(f, f->now + (ws_us)ws_rand_below(&f->rand, WS_TICK_PERIOD),
		  FE_TICK, i)
		->life = in->life;
	fake_push(f, f->now + (ws_us)ws_rand_below(&f->rand, LIST_PERIOD),
		  FE_LIST, i)
		->life = in->life;
}

void fake_start_instance(struct fake *f, int i)
{
	struct fake_instance *in = &f->instances[i];
	struct ws_core_conf conf = {
		.zone = fake_zone_id(i % f->conf.zones),
		.hedge = true,
		.max_calls = 4096,
		.max_idem = 20000,
		.max_queued = 64,
	};

	if (in->core)
		return;
	free(in->refs);
	memset(in, 0, sizeof(*in));
	in->life = ++f->seq;
	in->id = ws_mix(f->conf.seed + 17, in->life) | 1;
	in->zone = i % f->conf.zones;
	in->clock_rate =
		1 + CLOCK_DRIFT *
			    ((double)ws_rand_below(&f->rand, 2001) - 1000) /
			    1000;
	in->clock_offset = (ws_us)ws_rand_below(&f->rand, 1000 * WS_SECOND);
	in->wall_offset_ms = (int64_t)ws_rand_below(&f->rand, 400) - 200;
	conf.self = in->id;
	conf.seed = ws_mix(f->conf.seed, in->life);
	memset(conf.seed_operator, 7, sizeof(conf.seed_operator));
	in->core = ws_core_new(&conf);
	start_timers(f, i);
}

void fake_kill_instance(struct fake *f, int i)
{
	struct fake_instance *in = &f->instances[i];
	size_t k;

	if (!in->core)
		return;
	ws_core_free(in->core);
	in->core = NULL;
	ws_grow(&f->gone, &f->cap_gone, f->n_gone + 1, sizeof(*f->gone));
	f->gone[f->n_gone++] = in->id;
	fake_cancel_runs(f, i);
	f->report.kills++;
	/* Callers of a dead instance see a closed connection. */
	for (k = 0; k < f->n_calls; k++)
		if (!f->calls[k].outcome && f->calls[k].instance == i &&
		    f->calls[k].life == in->life)
			f->calls[k].outcome = WS_OUT_UNKNOWN;
}

void fake_pause_instance(struct fake *f, int i, ws_us duration)
{
	if (f->now + duration > f->instances[i].paused_until)
		f->instances[i].paused_until = f->now + duration;
	if (f->now + duration > f->faults_until)
		f->faults_until = f->now + duration;
	f->report.pauses++;
}

void fake_disconnect_zones(struct fake *f, int a, int b, ws_us duration)
{
	f->zone_cut_until[a][b] = f->now + duration;
	f->zone_cut_until[b][a] = f->now + duration;
	if (f->now + duration > f->faults_until)
		f->faults_until = f->now + duration;
	f->report.disconnects++;
}

void fake_disconnect_platform(struct fake *f, int z, ws_us duration)
{
	f->platform_cut_until[z] = f->now + duration;
	if (f->now + duration > f->faults_until)
		f->faults_until = f->now + duration;
	f->report.disconnects++;
}

void fake_drain_instance(struct fake *f, int i)
{
	struct ws_event ev = { .kind = WS_EV_DRAIN };

	if (!f->instances[i].core || f->instances[i].draining)
		return;
	f->instances[i].draining = true;
	fake_deliver(f, i, f->instances[i].life, f->now, &ev);
}

bool fake_instance_alive(const struct fake *f, int i)
{
	return f->instances[i].core && f->now >= f->instances[i].paused_until;
}

const struct ws_core *fake_core(const struct fake *f, int i)
{
	return f->instances[i].core;
}

/* ===== The platform's list ===== */

static void fill_instance(struct ws_list_entry *e,
			  const struct fake_instance *in)
{
	e->id = in->id;
	e->zone = fake_zone_id(in->zone);
	e->leaving = in->draining;
}

static void fill_target(struct ws_list_entry *e, const struct fake_target *t)
{
	e->is_target = true;
	e->id = t->id;
	e->zone = fake_zone_id(t->zone);
	e->service = fake_service_id(t->service);
	e->leaving = t->leaving;
}

static void deliver_list(struct fake *f, int i)
{
	struct ws_list_entry entries[FAKE_INSTANCES_MAX + FAKE_TARGETS_MAX];
	struct ws_event ev = { .kind = WS_EV_LIST };
	size_t n = 0;
	int k;

	memset(entries, 0, sizeof(entries));
	for (k = 0; k < f->n_instances; k++)
		if (f->instances[k].core)
			fill_instance(&entries[n++], &f->instances[k]);
	for (k = 0; k < f->n_targets; k++)
		fill_target(&entries[n++], &f->targets[k]);
	ev.u.list.n_entries = n;
	ev.u.list.entries = entries;
	step(f, i, &ev);
}

/* ===== The loop ===== */

static void free_event(struct fake_event *e)
{
	ws_msg_clear(&e->msg);
	if (e->kind == FE_GRANT)
		free(e->fx.u.grant.items);
	if (e->record) {
		ws_record_clear(e->record);
		free(e->record);
	}
	if (e->kind == FE_DELIVER && e->ev.kind == WS_EV_LOG_READ) {
		size_t i;

		for (i = 0; i < e->ev.u.log_read.n_records; i++)
			ws_record_clear(&e->ev.u.log_read.records[i]);
		free(e->ev.u.log_read.records);
	}
	if (e->kind == FE_DELIVER && e->ev.kind == WS_EV_PUBLISH) {
		ws_record_clear(e->ev.u.publish.record);
		free(e->ev.u.publish.record);
	}
}

static bool is_for_instance(const struct fake_event *e)
{
	return e->kind == FE_TICK || e->kind == FE_LIST ||
	       e->kind == FE_DELIVER;
}

static void run_for_instance(struct fake *f, struct fake_event *e)
{
	struct ws_event ev = { .kind = WS_EV_TICK };
	ws_us *deadline;

	if (e->kind == FE_TICK) {
		fake_push(f, f->now + WS_TICK_PERIOD, FE_TICK, e->who)->life =
			e->life;
		step(f, e->who, &ev);
	} else if (e->kind == FE_LIST) {
		fake_push(f, f->now + LIST_PERIOD, FE_LIST, e->who)->life =
			e->life;
		if (fake_platform_reachable(f, f->instances[e->who].zone))
			deliver_list(f, e->who);
	} else {
		if (e->ev.kind == WS_EV_PEER_MSG)
			e->ev.u.peer.msg = &e->msg;
		deadline = deadline_of(&e->msg);
		if (deadline)
			*deadline += fake_local_now(f, e->who);
		step(f, e->who, &e->ev);
	}
}

static void run_instance_event(struct fake *f, struct fake_event *e)
{
	struct fake_instance *in = &f->instances[e->who];

	if (!in->core || in->life != e->life) {
		free_event(e);
		return;
	}
	if (f->now < in->paused_until) {
		struct fake_event *later =
			fake_push(f, in->paused_until, e->kind, e->who);
		uint64_t seq = later->seq;
		ws_us at = later->at;

		/* The place in the heap depends on these two. */
		*later = *e;
		later->seq = seq;
		later->at = at;
		return;
	}
	run_for_instance(f, e);
	free_event(e);
}

static void run_other(struct fake *f, struct fake_event *e)
{
	switch (e->kind) {
	case FE_LOG_READ:
	case FE_APPEND:
		fake_log_event(f, e);
		break;
	case FE_CALLER:
		fake_run_caller(f);
		break;
	case FE_START_INSTANCE:
		fake_start_instance(f, e->who);
		break;
	default:
		fake_target_event(f, e);
		break;
	}
	free_event(e);
}

void fake_run(struct fake *f, ws_us until)
{
	while (f->n_heap && f->heap[0].at <= until) {
		struct fake_event e = pop(f);

		f->now = e.at;
		if (is_for_instance(&e))
			run_instance_event(f, &e);
		else
			run_other(f, &e);
	}
	f->now = until;
}

/* ===== Life ===== */

static void add_targets(struct fake *f)
{
	int s;
	int k;

	for (s = 0; s < FAKE_SERVICES; s++) {
		for (k = 0; k < f->conf.targets; k++) {
			struct fake_target *t = &f->targets[f->n_targets++];

			t->id = ws_mix(1000 + (uint64_t)s, (uint64_t)k) | 1;
			t->service = s;
			t->zone = k % f->conf.zones;
			fake_start_target(f, f->n_targets - 1);
		}
	}
}

struct fake *fake_new(const struct fake_conf *conf)
{
	struct fake *f = ws_alloc(1, sizeof(*f));
	int i;

	f->conf = *conf;
	f->now = WS_SECOND;
	f->log_oldest = 1;
	f->n_instances = conf->instances;
	ws_rand_seed(&f->rand, conf->seed);
	f->bundle = fake_first_bundle(f);
	fake_publish_first(f);
	WS_INVARIANT(conf->targets * FAKE_SERVICES <= FAKE_TARGETS_MAX);
	add_targets(f);
	for (i = 0; i < f->n_instances; i++)
		fake_start_instance(f, i);
	if (conf->call_interval)
		fake_push(f, f->now + 5 * WS_SECOND, FE_CALLER, 0);
	return f;
}

void fake_free(struct fake *f)
{
	size_t k;
	int i;

	for (i = 0; i < f->n_instances; i++) {
		ws_core_free(f->instances[i].core);
		free(f->instances[i].refs);
	}
	for (k = 0; k < f->n_heap; k++)
		free_event(&f->heap[k]);
	for (k = 0; k < f->n_log; k++)
		ws_record_clear(&f->log[k]);
	ws_bundle_unref(f->bundle);
	free(f->heap);
	free(f->log);
	free(f->calls);
	free(f->runs);
	free(f->owners);
	free(f->gone);
	free(f);
}

ws_us fake_now(const struct fake *f)
{
	return f->now;
}

const struct fake_report *fake_report(const struct fake *f)
{
	return &f->report;
}

void fake_violation(struct fake *f, const char *what, uint64_t a, uint64_t b)
{
	if (getenv("WS_VERBOSE"))
		printf("  %.6f %s (%llu, %llu)\n", (double)f->now / 1e6, what,
		       (unsigned long long)a, (unsigned long long)b);
	if (!f->report.violations++)
		snprintf(f->report.first_violation,
			 sizeof(f->report.first_violation),
			 "%s (%llu, %llu) at %.6f s", what,
			 (unsigned long long)a, (unsigned long long)b,
			 (double)f->now / 1e6);
}
