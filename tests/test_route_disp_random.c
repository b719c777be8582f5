#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route_world.h"

/*
 * Randomised runs of ws_route and ws_disp over a simulated network, with
 * targets that crash, turn cold, slow down, shed load and stop answering.
 * WS_SEEDS=a..b selects the seeds; the same seed always gives the same run.
 */

static const char *const fault_names[N_FAULTS] = {
	"crash",   "slow", "silent", "shed", "collapse",
	"leaving", "zone", "move",   "lost", "owner",
};

static struct ws_bundle bundle;
static struct ws_view view;

/* ===== Effects ===== */

static void run_effects(unsigned inst, struct ws_fx *fx);

static void fx_route_send(unsigned inst, const struct ws_effect *e)
{
	struct ev ev = { .kind = EV_FORWARD };
	unsigned t = (unsigned)e->u.route_send.target - 1;

	ck_assert_msg(ws_view_usable(&view, &rw_targets[t]),
		      "target %u is not usable but was chosen", t);
	ev.a = w.target[t].disp;
	ev.b = t;
	ev.ref = e->u.route_send.ref;
	ev.call = e->u.route_send.call;
	ev.generation = inst;
	ws_grow(&w.forwards, &w.cap_forwards, w.n_forwards + 1,
		sizeof(*w.forwards));
	w.forwards[w.n_forwards++] = (struct forward){
		.from = inst, .to = ev.a, .ref = ev.ref, .open = true
	};
	rw_schedule(ev, rw_network_delay());
}

static void fx_route_cancel(unsigned inst, const struct ws_effect *e)
{
	struct ev ev = { .kind = EV_CANCEL };

	ev.a = w.target[e->u.route_send.target - 1].disp;
	ev.b = inst;
	ev.ref = e->u.route_send.ref;
	rw_schedule(ev, rw_network_delay());
}

static void fx_route_done(const struct ws_effect *e)
{
	struct call_record *rec = &w.call_records[e->u.reply.id];

	rec->answers++;
	rec->outcome = e->u.reply.answer.outcome;
	ck_assert_msg(rec->answers == 1, "call %" PRIu64 " was answered twice",
		      e->u.reply.id);
}

static void send_answer(unsigned to, uint64_t ref, const struct ws_answer *a,
			const struct ws_load *load)
{
	struct ev ev = { .kind = EV_ANSWER, .a = to, .ref = ref, .answer = *a };

	if (load)
		ev.load = *load;
	rw_schedule(ev, rw_network_delay());
	if (rw_below(20))
		return;
	w.duplicates++;
	rw_schedule(ev, (ws_us)rw_below(300 * WS_MS));
}

static void fx_disp_done(const struct ws_effect *e)
{
	send_answer((unsigned)e->u.disp_done.origin - 1, e->u.disp_done.ref,
		    &e->u.disp_done.answer, &e->u.disp_done.load);
}

/* In place of the core's lease check, rejects one attempt in a hundred. */
static void fx_disp_send(unsigned inst, const struct ws_effect *e,
			 struct ws_fx *fx)
{
	struct ws_attempt_result no = { .outcome = WS_OUT_NOT_RUN,
					.error = WS_ERR_NOT_HOLDER };
	struct ev ev = { .kind = EV_ARRIVE, .a = inst };

	if (!rw_below(100)) {
		ws_disp_attempt_done(w.disp[inst], fx, w.now,
				     e->u.attempt.attempt, &no);
		return;
	}
	ev.b = (unsigned)e->u.attempt.target - 1;
	ev.ref = e->u.attempt.attempt;
	ev.generation = w.generation[inst];
	ev.call = e->u.attempt.call;
	ev.result.incarnation = e->u.attempt.incarnation;
	rw_schedule(ev, rw_network_delay());
}

static void fx_attempt_cancel(unsigned inst, const struct ws_effect *e)
{
	struct ev ev = { .kind = EV_ABORT,
			 .a = inst,
			 .generation = w.generation[inst] };

	ev.ref = e->u.attempt.attempt;
	rw_schedule(ev, 3 * WS_MS);
}

/* Carries out effects, including those that this adds. */
static void run_effects(unsigned inst, struct ws_fx *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++) {
		struct ws_effect e = fx->items[i];

		w.digest = ws_mix(w.digest, e.kind + (uint64_t)w.now);
		switch (e.kind) {
		case WS_FX_ROUTE_SEND:
			fx_route_send(inst, &e);
			break;
		case WS_FX_ROUTE_CANCEL:
			fx_route_cancel(inst, &e);
			break;
		case WS_FX_ROUTE_DONE:
			fx_route_done(&e);
			break;
		case WS_FX_DISP_SEND:
			fx_disp_send(inst, &e, fx);
			break;
		case WS_FX_DISP_DONE:
			fx_disp_done(&e);
			break;
		case WS_FX_ATTEMPT_CANCEL:
			fx_attempt_cancel(inst, &e);
			break;
		default:
			break;
		}
	}
	ws_fx_clear(fx);
}

/* ===== Instances ===== */

static void lose_instance(unsigned inst)
{
	struct ws_answer gone = { .outcome = WS_OUT_UNKNOWN,
				  .error = WS_ERR_PEER };
	struct ws_disp_conf conf = { .self = inst + 1, .max_queued = 20 };
	size_t i;

	for (i = 0; i < w.n_forwards; i++) {
		struct forward *f = &w.forwards[i];

		if (f->open && f->to == inst)
			send_answer(f->from, f->ref, &gone, NULL);
		if (f->to == inst)
			f->open = false;
	}
	ws_disp_free(w.disp[inst]);
	w.disp[inst] = ws_disp_new(&conf);
	w.generation[inst]++;
	for (i = 0; i < N_TARGETS; i++) {
		struct ev ev = { .kind = EV_OPEN, .a = (unsigned)i };

		if (w.target[i].disp != inst)
			continue;
		w.target[i].moving = true;
		w.target[i].move_from = w.now + TAKEOVER_TIME;
		rw_schedule(ev, TAKEOVER_TIME);
	}
}

/* Ends a move once the former dispatcher has nothing in flight. */
static void on_open(const struct ev *ev)
{
	struct fake_target *t = &w.target[ev->a];
	struct ev again = *ev;

	if (!t->moving)
		return;
	if (w.now < t->move_from ||
	    ws_disp_in_flight(w.disp[t->disp], ev->a + 1)) {
		rw_schedule(again, 10 * WS_MS);
		return;
	}
	t->disp = (unsigned)rw_below(N_INST);
	t->moving = false;
	ws_disp_open(w.disp[t->disp], w.now, ev->a + 1, false,
		     &rw_services[ev->a >= N_OPEN]);
}

static void move_target(unsigned number)
{
	struct fake_target *t = &w.target[number];
	struct ev ev = { .kind = EV_OPEN, .a = number };
	struct ws_fx fx = { .n = 0 };

	if (t->moving)
		return;
	t->moving = true;
	ws_disp_close(w.disp[t->disp], &fx, w.now, number + 1);
	run_effects(t->disp, &fx);
	ws_fx_free(&fx);
	rw_schedule(ev, 20 * WS_MS);
}

static void on_forward(const struct ev *ev, struct ws_fx *fx)
{
	ws_disp_submit(w.disp[ev->a], fx, w.now, ev->generation + 1, ev->ref,
		       ev->b + 1, 0, ev->call.key,
		       (uint16_t)(1 + ev->call.customer % 3), &ev->call);
}

static void on_call(struct ws_fx *fx, unsigned inst)
{
	struct ws_call call = { .customer = 1 + rw_below(8) };
	uint64_t id = ++w.n_calls;
	uint64_t key = rw_below(N_KEYS);
	ws_id owner = 0;

	call.idempotent = rw_below(10) < 6;
	call.deadline = w.now + DEADLINE;
	call.payload = (ws_payload)id;
	call.service = rw_below(3) ? OPEN_SERVICE : SHARDED_SERVICE;
	if (call.service == SHARDED_SERVICE) {
		call.key = key + 1;
		if (w.owner[key] < N_TARGETS)
			owner = w.owner[key] + 1;
	}
	w.call_records[id].idempotent = call.idempotent;
	ws_route_start(w.route[inst], fx, w.now, id, &call, owner, &view);
}

static void set_owners(unsigned inst)
{
	uint64_t ids[64];
	struct ws_call calls[64];
	size_t n = ws_route_calls_without_owner(w.route[inst], ids, calls, 64);

	while (n--) {
		unsigned owner = w.owner[calls[n].key - 1];

		ws_route_set_owner(w.route[inst], ids[n],
				   owner < N_TARGETS ? owner + 1 : 0);
	}
}

static void on_tick(unsigned inst, struct ws_fx *fx)
{
	set_owners(inst);
	ws_route_tick(w.route[inst], fx, w.now, &view);
	ws_disp_tick(w.disp[inst], fx, w.now);
}

static void on_probe(unsigned number)
{
	const struct fake_target *t = &w.target[number];
	struct ev ev = { .kind = EV_PROBED, .a = number };

	if (t->silent || !t->up)
		return;
	ev.result.incarnation = t->incarnation;
	/* The answer is delayed and its load is random. */
	rw_schedule(ev, (ws_us)rw_below(100 * WS_MS));
}

/* ===== Faults ===== */

static void start_fault(unsigned fault, unsigned t)
{
	w.faults[fault]++;
	switch (fault) {
	case FAULT_CRASH:
		rw_crash(t);
		break;
	case FAULT_SLOW:
		w.target[t].slow = true;
		break;
	case FAULT_SILENT:
		w.target[t].silent = true;
		break;
	case FAULT_SHED:
		w.target[t].shedding = true;
		break;
	case FAULT_COLLAPSE:
		w.target[t].collapsed = true;
		break;
	case FAULT_LEAVING:
		rw_targets[t].leaving = true;
		break;
	case FAULT_ZONE:
		rw_zones[t % 3].in_service = false;
		break;
	case FAULT_MOVE:
		move_target(t);
		break;
	case FAULT_LOST:
		lose_instance(t % N_INST);
		break;
	default:
		w.owner[t] = N_TARGETS;
		break;
	}
}

static void end_fault(unsigned fault, unsigned t)
{
	struct fake_target *f = &w.target[t];

	if (fault == FAULT_CRASH && !f->up)
		rw_restart(t);
	f->slow = f->slow && fault != FAULT_SLOW;
	f->silent = f->silent && fault != FAULT_SILENT;
	f->shedding = f->shedding && fault != FAULT_SHED;
	f->collapsed = f->collapsed && fault != FAULT_COLLAPSE;
	rw_targets[t].leaving = rw_targets[t].leaving && fault != FAULT_LEAVING;
	if (fault == FAULT_ZONE)
		rw_zones[t % 3].in_service = true;
	if (fault == FAULT_OWNER)
		w.owner[t] = N_OPEN + (unsigned)rw_below(N_TARGETS - N_OPEN);
}

static void on_fault(void)
{
	struct ev ev = { .kind = EV_FAULT_END };

	if (w.now > RUN_TIME)
		return;
	ev.a = (unsigned)rw_below(N_FAULTS);
	ev.b = (unsigned)rw_below(N_TARGETS);
	/* Fewer instances are lost: a takeover must end before the next. */
	if (ev.a != FAULT_LOST || !rw_below(4))
		start_fault(ev.a, ev.b);
	rw_schedule(ev, 50 * WS_MS + (ws_us)rw_below(WS_SECOND));
	rw_schedule((struct ev){ .kind = EV_FAULT },
		    (ws_us)rw_below(200 * WS_MS));
}

/* ===== Simulation ===== */

static unsigned handle_at_instance(struct ev *ev, struct ws_fx *fx)
{
	switch (ev->kind) {
	case EV_TICK:
		on_tick(ev->a, fx);
		rw_schedule(*ev, 10 * WS_MS);
		break;
	case EV_CALL:
		on_call(fx, ev->a = (unsigned)rw_below(N_INST));
		if (w.n_calls < N_CALLS)
			rw_schedule((struct ev){ .kind = EV_CALL },
				    (ws_us)rw_below(2 * RUN_TIME / N_CALLS));
		break;
	case EV_FORWARD:
		on_forward(ev, fx);
		break;
	case EV_CANCEL:
		ws_disp_cancel(w.disp[ev->a], fx, w.now, ev->b + 1, ev->ref);
		break;
	case EV_ANSWER:
		ws_route_answer(w.route[ev->a], fx, w.now, ev->ref, &ev->answer,
				&ev->load, &view);
		break;
	case EV_RESULT:
		if (w.generation[ev->a] == ev->generation)
			ws_disp_attempt_done(w.disp[ev->a], fx, w.now, ev->ref,
					     &ev->result);
		break;
	case EV_PROBED:
		ws_disp_probe_result(w.disp[w.target[ev->a].disp], fx, w.now,
				     ev->a + 1, true, ev->result.incarnation,
				     rw_below(2), (uint32_t)rw_below(2000));
		return w.target[ev->a].disp;
	default:
		break;
	}
	return ev->a;
}

static void handle_at_targets(const struct ev *ev)
{
	switch (ev->kind) {
	case EV_ARRIVE:
		rw_on_arrive(ev);
		break;
	case EV_SERVED:
		rw_on_served(ev);
		break;
	case EV_ABORT:
		rw_on_abort(ev);
		break;
	case EV_PROBE:
		on_probe(ev->a);
		rw_schedule(*ev, WS_PROBE_PERIOD);
		break;
	case EV_FAULT:
		on_fault();
		break;
	case EV_FAULT_END:
		end_fault(ev->a, ev->b);
		break;
	case EV_OPEN:
		on_open(ev);
		break;
	default:
		break;
	}
}

static void start_instances(uint64_t seed)
{
	unsigned i;

	for (i = 0; i < N_INST; i++) {
		struct ws_route_conf rc = { .self = i + 1,
					    .seed = seed + i,
					    .pick = (enum ws_pick_policy)(seed %
									  3),
					    .hedge = true,
					    .max_calls = 1000 };
		struct ws_disp_conf dc = { .self = i + 1, .max_queued = 20 };

		w.route[i] = ws_route_new(&rc);
		w.disp[i] = ws_disp_new(&dc);
		rw_schedule((struct ev){ .kind = EV_TICK, .a = i }, i);
	}
}

static void start_world(uint64_t seed)
{
	unsigned i;

	memset(&w, 0, sizeof(w));
	memset(rw_targets, 0, sizeof(rw_targets));
	ws_rand_seed(&w.rand, seed);
	start_instances(seed);
	for (i = 0; i < 3; i++)
		rw_zones[i] =
			(struct ws_zone){ .id = i + 1, .in_service = true };
	for (i = 0; i < N_TARGETS; i++) {
		rw_targets[i] = (struct ws_target){
			.id = i + 1,
			.service = i < N_OPEN ? OPEN_SERVICE : SHARDED_SERVICE,
			.zone = i % 3 + 1,
			.state = WS_STATE_LIVE
		};
		rw_restart(i);
		w.target[i].disp = i % N_INST;
		ws_disp_open(w.disp[i % N_INST], 0, i + 1, false,
			     &rw_services[i >= N_OPEN]);
		rw_schedule((struct ev){ .kind = EV_PROBE, .a = i }, 0);
	}
	for (i = 0; i < N_KEYS; i++)
		w.owner[i] = N_OPEN + i % (N_TARGETS - N_OPEN);
	bundle = (struct ws_bundle){ .services = rw_services,
				     .n_services = 2,
				     .zones = rw_zones,
				     .n_zones = 3 };
	view = (struct ws_view){ .self_zone = 1,
				 .bundle = &bundle,
				 .targets = rw_targets,
				 .n_targets = N_TARGETS };
	rw_schedule((struct ev){ .kind = EV_CALL }, 0);
	rw_schedule((struct ev){ .kind = EV_FAULT }, WS_SECOND);
}

static void stop_world(void)
{
	unsigned i;

	for (i = 0; i < N_INST; i++) {
		ws_route_free(w.route[i]);
		ws_disp_free(w.disp[i]);
	}
	free(w.heap);
	free(w.runs);
	free(w.forwards);
}

static void check_calls(unsigned n[4])
{
	uint64_t id;

	for (id = 1; id <= w.n_calls; id++) {
		const struct call_record *rec = &w.call_records[id];

		ck_assert_msg(rec->answers == 1,
			      "call %" PRIu64 " has %u answers", id,
			      rec->answers);
		ck_assert_msg(rec->idempotent || rec->runs <= 1,
			      "call %" PRIu64 " ran %u times", id, rec->runs);
		ck_assert_msg(rec->outcome != WS_OUT_NOT_RUN || !rec->runs,
			      "call %" PRIu64
			      " ran but was reported as not run",
			      id);
		ck_assert_msg(rec->outcome != WS_OUT_DONE || rec->runs,
			      "call %" PRIu64 " is done but not run", id);
		n[rec->outcome]++;
	}
}

static void check_retry_budget(void)
{
	uint64_t extra = 0;
	unsigned i;

	for (i = 0; i < N_INST; i++) {
		const struct ws_route_stats *s = ws_route_stats(w.route[i]);

		extra += s->retries + s->hedges;
		/* The reserve for retries is 20 requests per instance. */
		ck_assert_uint_le((s->retries + s->hedges) * 100,
				  s->calls * WS_RETRY_BUDGET_PERCENT + 2100);
		ck_assert_uint_eq(ws_route_count(w.route[i]), 0);
		ck_assert_uint_eq(ws_disp_count(w.disp[i]), 0);
	}
	printf(" extra=%" PRIu64, extra);
}

static uint64_t run_seed(uint64_t seed)
{
	struct ws_fx fx = { .n = 0 };
	unsigned n[4] = { 0 };
	unsigned inst;
	unsigned i;

	start_world(seed);
	while (w.n_heap && w.heap[0].at < RUN_TIME + DRAIN_TIME) {
		struct ev ev = rw_next_event();

		w.now = ev.at;
		w.n_events++;
		handle_at_targets(&ev);
		inst = handle_at_instance(&ev, &fx);
		run_effects(inst % N_INST, &fx);
	}
	printf("seed=%" PRIu64 " events=%" PRIu64 " digest=%016" PRIx64, seed,
	       w.n_events, w.digest);
	check_calls(n);
	printf(" done=%u not-run=%u unknown=%u", n[WS_OUT_DONE],
	       n[WS_OUT_NOT_RUN], n[WS_OUT_UNKNOWN]);
	check_retry_budget();
	printf(" duplicates=%u faults:", w.duplicates);
	for (i = 0; i < N_FAULTS; i++)
		printf(" %s=%u", fault_names[i], w.faults[i]);
	printf("\n");
	ws_fx_free(&fx);
	stop_world();
	return w.digest;
}

/* Guards guarantees 3, 7, 8 and 9 against combinations of failures. */
START_TEST(guarantees_hold_under_random_failures)
{
	run_seed((uint64_t)_i);
}
END_TEST

/* A failing run must be repeatable from its seed. */
START_TEST(same_seed_gives_the_same_run)
{
	ck_assert_uint_eq(run_seed((uint64_t)_i), run_seed((uint64_t)_i));
}
END_TEST

int main(void)
{
	const char *seeds = getenv("WS_SEEDS");
	Suite *s = suite_create("route_disp_random");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int from = 1;
	int to = 12;
	int failed;

	if (seeds && sscanf(seeds, "%d..%d", &from, &to) == 1)
		to = from;
	setvbuf(stdout, NULL, _IOLBF, 0);
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, guarantees_hold_under_random_failures, from,
			    to + 1);
	tcase_add_loop_test(tc, same_seed_gives_the_same_run, from, from + 1);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
