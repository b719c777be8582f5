#include "route_world.h"

#include <check.h>

struct route_world w;

struct ws_service rw_services[2] = {
	{ .id = OPEN_SERVICE, .slots = SLOTS, .cold_limit = COLD_LIMIT },
	{ .id = SHARDED_SERVICE,
	  .slots = SLOTS,
	  .cold_limit = COLD_LIMIT,
	  .sharded = true },
};
struct ws_zone rw_zones[3];
struct ws_target rw_targets[N_TARGETS];

/* ===== Events ===== */

uint64_t rw_below(uint64_t n)
{
	return ws_rand_below(&w.rand, n);
}

static bool before(const struct ev *a, const struct ev *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void swap(size_t i, size_t j)
{
	struct ev e = w.heap[i];

	w.heap[i] = w.heap[j];
	w.heap[j] = e;
}

void rw_schedule(struct ev e, ws_us delay)
{
	size_t i = w.n_heap++;

	ws_grow(&w.heap, &w.cap_heap, w.n_heap, sizeof(*w.heap));
	e.at = w.now + delay;
	e.seq = ++w.seq;
	w.heap[i] = e;
	for (; i && before(&w.heap[i], &w.heap[(i - 1) / 2]); i = (i - 1) / 2)
		swap(i, (i - 1) / 2);
}

struct ev rw_next_event(void)
{
	struct ev top = w.heap[0];
	size_t i = 0;
	size_t c;

	w.heap[0] = w.heap[--w.n_heap];
	while ((c = 2 * i + 1) < w.n_heap) {
		if (c + 1 < w.n_heap && before(&w.heap[c + 1], &w.heap[c]))
			c++;
		if (!before(&w.heap[c], &w.heap[i]))
			break;
		swap(i, c);
		i = c;
	}
	return top;
}

ws_us rw_network_delay(void)
{
	return 100 + (ws_us)rw_below(2 * WS_MS);
}

/* ===== Fake targets ===== */

static void give_result(unsigned inst, uint64_t life, uint64_t attempt,
			struct ws_attempt_result r)
{
	struct ev ev = { .kind = EV_RESULT, .a = inst, .life = life };

	ev.ref = attempt;
	ev.result = r;
	rw_schedule(ev, rw_network_delay());
}

static void refuse(const struct ev *ev, uint16_t status, uint64_t incarnation)
{
	struct ws_attempt_result r = { .outcome = WS_OUT_NOT_RUN,
				       .status = status,
				       .shed = status != 0,
				       .incarnation = incarnation };

	if (!status)
		r.error = WS_ERR_TARGET_FAILED;
	give_result(ev->a, ev->life, ev->ref, r);
}

static void check_concurrency(const struct fake_target *t, unsigned number)
{
	bool cold = t->served < COLD_SERVES;

	ck_assert_msg(t->running <= (cold ? COLD_LIMIT : SLOTS),
		      "target %u runs %u requests, cold: %d", number,
		      t->running, cold);
}

static ws_us service_time(const struct fake_target *t)
{
	ws_us time = 2 * WS_MS + (ws_us)rw_below(6 * WS_MS);

	return t->slow ? time * 10 : time;
}

static void start_run(const struct ev *ev, struct fake_target *t)
{
	struct ev done = { .kind = EV_SERVED, .a = (unsigned)w.n_runs };
	ws_us left = ev->call.deadline - w.now;
	ws_us time = service_time(t);

	ws_grow(&w.runs, &w.cap_runs, w.n_runs + 1, sizeof(*w.runs));
	w.runs[w.n_runs++] = (struct fake_run){ .target = ev->b,
						.incarnation = t->incarnation,
						.attempt = ev->ref,
						.inst = ev->a,
						.life = ev->life,
						.live = true };
	t->running++;
	w.call_records[ev->call.payload].runs++;
	check_concurrency(t, ev->b);
	done.b = !t->silent && time < left;
	rw_schedule(done, done.b ? time : left > 0 ? left : 0);
}

void rw_on_arrive(const struct ev *ev)
{
	struct fake_target *t = &w.target[ev->b];

	if (!t->up)
		refuse(ev, 0, 0);
	else if (ev->result.incarnation &&
		 ev->result.incarnation != t->incarnation)
		refuse(ev, 409, t->incarnation);
	else if (t->shedding || (t->collapsed && t->running >= COLD_LIMIT))
		refuse(ev, 503, t->incarnation);
	else
		start_run(ev, t);
}

/* The end of a run; without an answer when b is not set. */
void rw_on_served(const struct ev *ev)
{
	struct fake_run *run = &w.runs[ev->a];
	struct ws_attempt_result r = { .outcome = WS_OUT_DONE,
				       .status = 200,
				       .incarnation = run->incarnation };

	if (!run->live)
		return;
	run->live = false;
	w.target[run->target].running--;
	if (!ev->b)
		return;
	w.target[run->target].served++;
	give_result(run->inst, run->life, run->attempt, r);
}

void rw_on_abort(const struct ev *ev)
{
	struct ws_attempt_result r = { .outcome = WS_OUT_UNKNOWN,
				       .error = WS_ERR_DEADLINE };
	size_t i;

	for (i = 0; i < w.n_runs; i++) {
		struct fake_run *run = &w.runs[i];

		if (!run->live || run->attempt != ev->ref ||
		    run->inst != ev->a || run->life != ev->life)
			continue;
		run->live = false;
		w.target[run->target].running--;
	}
	give_result(ev->a, ev->life, ev->ref, r);
}

void rw_crash(unsigned number)
{
	struct ws_attempt_result r = { .outcome = WS_OUT_UNKNOWN,
				       .crashed = true };
	size_t i;

	for (i = 0; i < w.n_runs; i++) {
		struct fake_run *run = &w.runs[i];

		if (!run->live || run->target != number)
			continue;
		run->live = false;
		give_result(run->inst, run->life, run->attempt, r);
	}
	w.target[number].up = false;
	w.target[number].running = 0;
}

void rw_restart(unsigned number)
{
	struct fake_target *t = &w.target[number];

	t->up = true;
	t->served = 0;
	t->incarnation = ws_rand_next(&w.rand) | 1;
}
