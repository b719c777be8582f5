#include "bench/ws_bench_policy.h"

#include <stdlib.h>
#include <string.h>

#define SERVICE_ID 1
#define ZONE_ID 1
#define DEADLINE (2 * WS_SECOND)

/* One-way network delay between two instances, or an instance and a target. */
#define NETWORK_DELAY_US 150
#define NETWORK_JITTER_US 100

enum event_kind {
	EVENT_ARRIVAL,
	EVENT_FORWARD,
	EVENT_CANCEL,
	EVENT_SERVED,
	EVENT_RESPONSE,
	EVENT_TICK,
	EVENT_PROBE,
};

struct event {
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
	struct event *heap;
	size_t n_heap;
	size_t cap_heap;
	struct ws_fx fx;
	struct ws_route *route[WS_BPOLICY_FRONTENDS_MAX];
	struct ws_disp *disp[WS_BPOLICY_FRONTENDS_MAX];
	ws_us *started; /* by call; 0: not counted */
	size_t cap_started;
	struct ws_service service;
	struct ws_zone zone;
	struct ws_bundle bundle;
	struct ws_target targets[WS_BPOLICY_TARGETS_MAX];
	struct ws_view view;
};

/* ===== Events ===== */

static bool is_before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void swap(struct sim *s, size_t i, size_t j)
{
	struct event e = s->heap[i];

	s->heap[i] = s->heap[j];
	s->heap[j] = e;
}

static void push_event(struct sim *s, struct event *e, ws_us delay)
{
	size_t i = s->n_heap++;

	ws_grow(&s->heap, &s->cap_heap, s->n_heap, sizeof(*s->heap));
	e->at = s->now + delay;
	e->seq = ++s->seq;
	s->heap[i] = *e;
	while (i && is_before(&s->heap[i], &s->heap[(i - 1) / 2])) {
		swap(s, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event pop_event(struct sim *s)
{
	struct event top = s->heap[0];
	size_t i = 0;
	size_t c = 1;

	s->heap[0] = s->heap[--s->n_heap];
	while (c < s->n_heap) {
		if (c + 1 < s->n_heap &&
		    is_before(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (!is_before(&s->heap[c], &s->heap[i]))
			break;
		swap(s, i, c);
		i = c;
		c = 2 * i + 1;
	}
	return top;
}

static ws_us network_delay(struct sim *s)
{
	return NETWORK_DELAY_US +
	       (ws_us)ws_rand_below(&s->rand, NETWORK_JITTER_US);
}

/* ===== Targets ===== */

static bool is_slow(const struct sim *s, int target)
{
	return target < s->conf->slowed_targets &&
	       s->now >= s->conf->warmup_seconds * 1e6;
}

/*
 * Half of the mean service time is fixed, the other half is exponentially
 * distributed.
 */
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

static void send_to_target(struct sim *s, const struct ws_effect *e)
{
	struct event event = { .kind = EVENT_SERVED };

	event.target = (int)e->u.attempt.target - 1;
	event.ref = e->u.attempt.attempt;
	if (s->now >= s->conf->warmup_seconds * 1e6) {
		s->res->attempts_by_target[event.target]++;
		s->res->attempts++;
	}
	push_event(s, &event,
		   2 * network_delay(s) + service_time(s, event.target));
}

static void on_served(struct sim *s, const struct event *event)
{
	struct ws_attempt_result r = { .outcome = WS_OUT_DONE, .status = 200 };

	ws_disp_attempt_done(s->disp[dispatcher_of(s, event->target)], &s->fx,
			     s->now, event->ref, &r);
}

/* Reports the target as idle, whatever its real load. */
static void on_probe(struct sim *s, const struct event *event)
{
	struct event next = *event;

	ws_disp_probe_result(s->disp[dispatcher_of(s, event->target)], &s->fx,
			     s->now, (ws_id)event->target + 1, true, 1, true,
			     0);
	push_event(s, &next, WS_PROBE_PERIOD);
}

/* ===== Effects ===== */

static void route_send(struct sim *s, int frontend, const struct ws_effect *e)
{
	struct event event = { .kind = EVENT_FORWARD, .frontend = frontend };

	event.target = (int)e->u.route_send.target - 1;
	event.ref = e->u.route_send.ref;
	event.call = e->u.route_send.call;
	push_event(s, &event, network_delay(s));
}

static void route_cancel(struct sim *s, int frontend, const struct ws_effect *e)
{
	struct event event = { .kind = EVENT_CANCEL, .frontend = frontend };

	event.target = (int)e->u.route_send.target - 1;
	event.ref = e->u.route_send.ref;
	push_event(s, &event, network_delay(s));
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
	struct event event = { .kind = EVENT_RESPONSE };

	event.frontend = (int)e->u.disp_done.origin - 1;
	event.ref = e->u.disp_done.ref;
	event.answer = e->u.disp_done.answer;
	event.load = e->u.disp_done.load;
	push_event(s, &event, network_delay(s));
}

/*
 * The cancellation has already travelled for one network delay, so the target
 * ends the attempt at once.
 */
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
			send_to_target(s, &e);
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

static void on_arrival(struct sim *s, const struct event *event)
{
	struct event next = *event;
	struct ws_call call = { .service = SERVICE_ID, .customer = 1 };
	uint64_t id = ++s->next_call;
	double gap = ws_bench_exponential(&s->rand) * s->conf->frontends;

	push_event(s, &next, (ws_us)(gap * 1e6 / s->conf->rate));
	if (s->now > (s->conf->warmup_seconds + s->conf->counted_seconds) * 1e6)
		return;
	call.idempotent = ws_bench_random(&s->rand) < s->conf->idempotent_share;
	call.deadline = s->now + DEADLINE;
	ws_grow(&s->started, &s->cap_started, id + 1, sizeof(*s->started));
	s->started[id] = s->now >= s->conf->warmup_seconds * 1e6 ? s->now : 0;
	s->res->requests += s->started[id] != 0;
	ws_route_start(s->route[event->frontend], &s->fx, s->now, id, &call, 0,
		       &s->view);
}

static void on_tick(struct sim *s, const struct event *event)
{
	struct event next = *event;

	ws_disp_tick(s->disp[event->frontend], &s->fx, s->now);
	ws_route_tick(s->route[event->frontend], &s->fx, s->now, &s->view);
	push_event(s, &next, s->conf->tick_us);
}

/* Handles an event; returns the instance at which it takes place. */
static int handle_event(struct sim *s, const struct event *event)
{
	int d = dispatcher_of(s, event->target);

	switch (event->kind) {
	case EVENT_ARRIVAL:
		on_arrival(s, event);
		return event->frontend;
	case EVENT_FORWARD:
		ws_disp_submit(s->disp[d], &s->fx, s->now,
			       (ws_id)event->frontend + 1, event->ref,
			       (ws_id)event->target + 1, 0, 0, 1, &event->call);
		return d;
	case EVENT_CANCEL:
		ws_disp_cancel(s->disp[d], &s->fx, s->now,
			       (ws_id)event->frontend + 1, event->ref);
		return d;
	case EVENT_SERVED:
		on_served(s, event);
		return d;
	case EVENT_RESPONSE:
		ws_route_answer(s->route[event->frontend], &s->fx, s->now,
				event->ref, &event->answer, &event->load,
				&s->view);
		return event->frontend;
	case EVENT_TICK:
		on_tick(s, event);
		return event->frontend;
	default:
		on_probe(s, event);
		return d;
	}
}

/* ===== Run ===== */

static void init_view(struct sim *s)
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

static void init_instance(struct sim *s, int i)
{
	struct ws_route_conf rc = { .self = (ws_id)i + 1,
				    .seed = s->conf->seed * 1000 + (uint64_t)i,
				    .pick = s->conf->pick,
				    .hedge = s->conf->hedge,
				    .max_calls = 100000 };
	struct ws_disp_conf dc = { .self = (ws_id)i + 1, .max_queued = 1000 };
	struct event tick = { .kind = EVENT_TICK, .frontend = i };
	struct event arrival = { .kind = EVENT_ARRIVAL, .frontend = i };

	s->route[i] = ws_route_new(&rc);
	s->disp[i] = ws_disp_new(&dc);
	push_event(s, &tick, (ws_us)i * s->conf->tick_us / s->conf->frontends);
	push_event(s, &arrival, (ws_us)ws_rand_below(&s->rand, WS_MS));
}

static void init_targets(struct sim *s)
{
	int i;

	for (i = 0; i < s->conf->targets; i++) {
		struct event probe = { .kind = EVENT_PROBE, .target = i };

		ws_disp_open(s->disp[dispatcher_of(s, i)], 0, (ws_id)i + 1,
			     false, &s->service);
		push_event(s, &probe,
			   (ws_us)ws_rand_below(&s->rand, WS_SECOND / 5));
	}
}

static void free_sim(struct sim *s)
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
	init_view(s);
	for (i = 0; i < conf->frontends; i++)
		init_instance(s, i);
	init_targets(s);
	while (s->n_heap && (double)s->heap[0].at < end) {
		struct event event = pop_event(s);

		s->now = event.at;
		run_effects(s, handle_event(s, &event));
	}
	free_sim(s);
}
