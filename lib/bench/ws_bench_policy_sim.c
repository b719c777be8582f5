#include "bench/ws_bench_policy.h"

#include <stdlib.h>
#include <string.h>

#define SERVICE_ID 1
#define ZONE_ID 1
#define DEADLINE (2 * WS_SECOND)

/* One way between two instances, and between an instance and a target. */
#define HOP_US 150
#define HOP_JITTER_US 100

enum ev_kind {
	EV_ARRIVAL,
	EV_FORWARD,
	EV_CANCEL,
	EV_SERVED,
	EV_ANSWER,
	EV_TICK,
	EV_PROBE,
};

struct ev {
	ws_us at;
	uint64_t seq;
	uint8_t kind;
	int frontend;
	int target;
	uint64_t ref;
	struct ws_call call;
	struct ws_answer answer;
	struct ws_load load;
};

struct sim {
	const struct ws_bpolicy_conf *conf;
	struct ws_bpolicy_result *res;
	struct ws_rand rand;
	ws_us now;
	uint64_t seq;
	uint64_t next_call;
	struct ev *heap;
	size_t n_heap;
	size_t cap_heap;
	struct ws_fx fx;
	struct ws_route *route[WS_BPOLICY_FRONTENDS_MAX];
	struct ws_disp *disp[WS_BPOLICY_FRONTENDS_MAX];
	ws_us *started; /* of each call; 0: not counted */
	size_t cap_started;
	struct ws_service service;
	struct ws_zone zone;
	struct ws_bundle bundle;
	struct ws_target targets[WS_BPOLICY_TARGETS_MAX];
	struct ws_view view;
};

/* ===== Events ===== */

static bool before(const struct ev *a, const struct ev *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void swap(struct sim *s, size_t i, size_t j)
{
	struct ev e = s->heap[i];

	s->heap[i] = s->heap[j];
	s->heap[j] = e;
}

static void push(struct sim *s, struct ev *e, ws_us delay)
{
	size_t i = s->n_heap++;

	ws_grow(&s->heap, &s->cap_heap, s->n_heap, sizeof(*s->heap));
	e->at = s->now + delay;
	e->seq = ++s->seq;
	s->heap[i] = *e;
	while (i && before(&s->heap[i], &s->heap[(i - 1) / 2])) {
		swap(s, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct ev pop(struct sim *s)
{
	struct ev top = s->heap[0];
	size_t i = 0;
	size_t c = 1;

	s->heap[0] = s->heap[--s->n_heap];
	while (c < s->n_heap) {
		if (c + 1 < s->n_heap && before(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (!before(&s->heap[c], &s->heap[i]))
			break;
		swap(s, i, c);
		i = c;
		c = 2 * i + 1;
	}
	return top;
}

static ws_us hop(struct sim *s)
{
	return HOP_US + (ws_us)ws_rand_below(&s->rand, HOP_JITTER_US);
}

/* ===== Targets ===== */

static bool is_slow(const struct sim *s, int target)
{
	return target < s->conf->slowed_targets &&
	       s->now >= s->conf->warmup_seconds * 1e6;
}

/* Half of the mean is fixed, the other half exponentially distributed. */
static ws_us service_time(struct sim *s, int target)
{
	double t = s->conf->service_ms * 500;

	t += t * ws_bench_exponential(&s->rand);
	if (is_slow(s, target))
		t *= s->conf->slowdown_factor;
	return (ws_us)t;
}

static int dispatcher_of(const struct sim *s, int target)
{
	return target % s->conf->frontends;
}

static void to_target(struct sim *s, const struct ws_effect *e)
{
	struct ev ev = { .kind = EV_SERVED };

	ev.target = (int)e->u.attempt.target - 1;
	ev.ref = e->u.attempt.attempt;
	if (s->now >= s->conf->warmup_seconds * 1e6) {
		s->res->attempts_by_target[ev.target]++;
		s->res->attempts++;
	}
	push(s, &ev, 2 * hop(s) + service_time(s, ev.target));
}

static void on_served(struct sim *s, const struct ev *ev)
{
	struct ws_attempt_result r = { .outcome = WS_OUT_DONE, .status = 200 };

	ws_disp_attempt_done(s->disp[dispatcher_of(s, ev->target)], &s->fx,
			     s->now, ev->ref, &r);
}

/* The report claims an idle target whatever its state. */
static void on_probe(struct sim *s, const struct ev *ev)
{
	struct ev again = *ev;

	ws_disp_probe_result(s->disp[dispatcher_of(s, ev->target)], &s->fx,
			     s->now, (ws_id)ev->target + 1, true, 1, true, 0);
	push(s, &again, WS_PROBE_PERIOD);
}

/* ===== Effects ===== */

static void route_send(struct sim *s, int frontend, const struct ws_effect *e)
{
	struct ev ev = { .kind = EV_FORWARD, .frontend = frontend };

	ev.target = (int)e->u.route_send.target - 1;
	ev.ref = e->u.route_send.ref;
	ev.call = e->u.route_send.call;
	push(s, &ev, hop(s));
}

static void route_cancel(struct sim *s, int frontend, const struct ws_effect *e)
{
	struct ev ev = { .kind = EV_CANCEL, .frontend = frontend };

	ev.target = (int)e->u.route_send.target - 1;
	ev.ref = e->u.route_send.ref;
	push(s, &ev, hop(s));
}

static void route_done(struct sim *s, const struct ws_effect *e)
{
	ws_us started = s->started[e->u.reply.id];

	if (!started)
		return;
	if (e->u.reply.answer.outcome == WS_OUT_DONE)
		ws_hist_add(&s->res->latency, s->now - started);
	else
		s->res->refused++;
}

static void disp_done(struct sim *s, const struct ws_effect *e)
{
	struct ev ev = { .kind = EV_ANSWER };

	ev.frontend = (int)e->u.disp_done.origin - 1;
	ev.ref = e->u.disp_done.ref;
	ev.answer = e->u.disp_done.answer;
	ev.load = e->u.disp_done.load;
	push(s, &ev, hop(s));
}

/* The target honours cancellation after one hop. */
static void attempt_cancel(struct sim *s, int frontend,
			   const struct ws_effect *e)
{
	struct ws_attempt_result r = { .outcome = WS_OUT_UNKNOWN };

	ws_disp_attempt_done(s->disp[frontend], &s->fx, s->now,
			     e->u.attempt.attempt, &r);
}

static void run_effects(struct sim *s, int frontend)
{
	size_t i;

	for (i = 0; i < s->fx.n; i++) {
		struct ws_effect e = s->fx.items[i];

		switch (e.kind) {
		case WS_FX_ROUTE_SEND:
			route_send(s, frontend, &e);
			break;
		case WS_FX_ROUTE_CANCEL:
			route_cancel(s, frontend, &e);
			break;
		case WS_FX_ROUTE_DONE:
			route_done(s, &e);
			break;
		case WS_FX_DISP_SEND:
			to_target(s, &e);
			break;
		case WS_FX_DISP_DONE:
			disp_done(s, &e);
			break;
		case WS_FX_ATTEMPT_CANCEL:
			attempt_cancel(s, frontend, &e);
			break;
		default:
			break;
		}
	}
	ws_fx_clear(&s->fx);
}

/* ===== Requests ===== */

static void on_arrival(struct sim *s, const struct ev *ev)
{
	struct ev next = *ev;
	struct ws_call call = { .service = SERVICE_ID, .customer = 1 };
	uint64_t id = ++s->next_call;
	double gap = ws_bench_exponential(&s->rand) * s->conf->frontends;

	push(s, &next, (ws_us)(gap * 1e6 / s->conf->rate));
	if (s->now > (s->conf->warmup_seconds + s->conf->counted_seconds) * 1e6)
		return;
	call.idempotent_share = ws_bench_random(&s->rand) <
				s->conf->idempotent_share;
	call.deadline = s->now + DEADLINE;
	ws_grow(&s->started, &s->cap_started, id + 1, sizeof(*s->started));
	s->started[id] = s->now >= s->conf->warmup_seconds * 1e6 ? s->now : 0;
	s->res->requests += s->started[id] != 0;
	ws_route_start(s->route[ev->frontend], &s->fx, s->now, id, &call, 0,
		       &s->view);
}

static void on_tick(struct sim *s, const struct ev *ev)
{
	struct ev again = *ev;

	ws_disp_tick(s->disp[ev->frontend], &s->fx, s->now);
	ws_route_tick(s->route[ev->frontend], &s->fx, s->now, &s->view);
	push(s, &again, s->conf->tick_us);
}

/* Returns the instance at which the event takes place. */
static int handle(struct sim *s, const struct ev *ev)
{
	int d = dispatcher_of(s, ev->target);

	switch (ev->kind) {
	case EV_ARRIVAL:
		on_arrival(s, ev);
		return ev->frontend;
	case EV_FORWARD:
		ws_disp_submit(s->disp[d], &s->fx, s->now,
			       (ws_id)ev->frontend + 1, ev->ref,
			       (ws_id)ev->target + 1, 0, 0, 1, &ev->call);
		return d;
	case EV_CANCEL:
		ws_disp_cancel(s->disp[d], &s->fx, s->now,
			       (ws_id)ev->frontend + 1, ev->ref);
		return d;
	case EV_SERVED:
		on_served(s, ev);
		return d;
	case EV_ANSWER:
		ws_route_answer(s->route[ev->frontend], &s->fx, s->now, ev->ref,
				&ev->answer, &ev->load, &s->view);
		return ev->frontend;
	case EV_TICK:
		on_tick(s, ev);
		return ev->frontend;
	default:
		on_probe(s, ev);
		return d;
	}
}

/* ===== The run ===== */

static void start_view(struct sim *s)
{
	int i;

	s->service = (struct ws_service){ .id = SERVICE_ID,
					  .slots = (uint16_t)s->conf->slots,
					  .cold_limit = 1 };
	s->zone = (struct ws_zone){ .id = ZONE_ID, .in_service = true };
	s->bundle.services = &s->service;
	s->bundle.n_services = 1;
	s->bundle.zones = &s->zone;
	s->bundle.n_zones = 1;
	for (i = 0; i < s->conf->targets; i++)
		s->targets[i] = (struct ws_target){ .id = (ws_id)i + 1,
						    .service = SERVICE_ID,
						    .zone = ZONE_ID,
						    .state = WS_STATE_LIVE };
	s->view.self_zone = ZONE_ID;
	s->view.bundle = &s->bundle;
	s->view.targets = s->targets;
	s->view.n_targets = (size_t)s->conf->targets;
}

static void start_instance(struct sim *s, int i)
{
	struct ws_route_conf rc = { .self = (ws_id)i + 1,
				    .seed = s->conf->seed * 1000 + (uint64_t)i,
				    .pick = s->conf->pick,
				    .hedge = s->conf->hedge,
				    .max_calls = 100000 };
	struct ws_disp_conf dc = { .self = (ws_id)i + 1, .max_queued = 1000 };
	struct ev tick = { .kind = EV_TICK, .frontend = i };
	struct ev arrival = { .kind = EV_ARRIVAL, .frontend = i };

	s->route[i] = ws_route_new(&rc);
	s->disp[i] = ws_disp_new(&dc);
	push(s, &tick, (ws_us)i * s->conf->tick_us / s->conf->frontends);
	push(s, &arrival, (ws_us)ws_rand_below(&s->rand, WS_MS));
}

static void start_targets(struct sim *s)
{
	int i;

	for (i = 0; i < s->conf->targets; i++) {
		struct ev probe = { .kind = EV_PROBE, .target = i };

		ws_disp_open(s->disp[dispatcher_of(s, i)], 0, (ws_id)i + 1,
			     false, &s->service);
		push(s, &probe, (ws_us)ws_rand_below(&s->rand, WS_SECOND / 5));
	}
}

static void stop(struct sim *s)
{
	int i;

	for (i = 0; i < s->conf->frontends; i++) {
		const struct ws_route_stats *st = ws_route_stats(s->route[i]);

		s->res->extra_attempts += st->hedges + st->retries;
		ws_route_free(s->route[i]);
		ws_disp_free(s->disp[i]);
	}
	free(s->heap);
	free(s->started);
	ws_fx_free(&s->fx);
	free(s);
}

void ws_bpolicy_run(const struct ws_bpolicy_conf *conf,
		    struct ws_bpolicy_result *res)
{
	struct sim *s = ws_alloc(1, sizeof(*s));
	double end = (conf->warmup_seconds + conf->counted_seconds) * 1e6 +
		     2 * DEADLINE;
	int i;

	memset(res, 0, sizeof(*res));
	s->conf = conf;
	s->res = res;
	ws_rand_seed(&s->rand, conf->seed);
	start_view(s);
	for (i = 0; i < conf->frontends; i++)
		start_instance(s, i);
	start_targets(s);
	while (s->n_heap && (double)s->heap[0].at < end) {
		struct ev ev = pop(s);

		s->now = ev.at;
		run_effects(s, handle(s, &ev));
	}
	stop(s);
}
