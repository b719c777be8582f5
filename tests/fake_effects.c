#include "fake_internal.h"

#include <string.h>

/* Effects of the cores: to platform, targets and peers; payloads. */

#define LOG_READ_WAIT (20 * WS_MS)

/* ===== References to payloads ===== */

void fake_count_payload_ref(struct fake *f, int i, ws_payload payload,
			    int delta)
{
	struct fake_instance *in = &f->instances[i];
	size_t k = 2 * (size_t)(payload & ~ANSWER_PAYLOAD) +
		   (payload & ANSWER_PAYLOAD ? 1 : 0);

	if (!payload)
		return;
	ws_grow(&in->refs, &in->cap_refs, k + 1, sizeof(*in->refs));
	in->refs[k] += delta;
	if (in->refs[k] < 0)
		fake_violation(f, "payload given back twice", payload,
			       (uint64_t)i);
}

/* A core takes over the references that come with an event. */
void fake_count_event_refs(struct fake *f, int i, const struct ws_event *ev)
{
	const struct ws_msg *m = ev->u.peer.msg;
	size_t k;

	if (ev->kind == WS_EV_REQUEST)
		fake_count_payload_ref(f, i, ev->u.request.call.payload, 1);
	else if (ev->kind == WS_EV_ATTEMPT_DONE)
		fake_count_payload_ref(f, i, ev->u.attempt.result.payload, 1);
	if (ev->kind != WS_EV_PEER_MSG)
		return;
	if (m->kind == WS_MSG_FORWARD)
		fake_count_payload_ref(f, i, m->u.forward.call.payload, 1);
	else if (m->kind == WS_MSG_ANSWER)
		fake_count_payload_ref(f, i, m->u.answer.answer.payload, 1);
	else if (m->kind == WS_MSG_HANDOVER)
		for (k = 0; k < m->u.handover.n_entries; k++)
			fake_count_payload_ref(
				f, i, m->u.handover.entries[k].payload, 1);
}

static void count_effect(struct fake *f, int i, const struct ws_effect *fx)
{
	if (fx->kind == WS_FX_RELEASE)
		fake_count_payload_ref(f, i, fx->u.release.payload, -1);
	else if (fx->kind == WS_FX_RETAIN)
		fake_count_payload_ref(f, i, fx->u.release.payload, 1);
	else if (fx->kind == WS_FX_REPLY)
		fake_count_payload_ref(f, i, fx->u.reply.answer.payload, -1);
}

size_t fake_count_request_refs(const struct fake *f, int i)
{
	const struct fake_instance *in = &f->instances[i];
	size_t held = 0;
	size_t k;

	for (k = 0; k < in->cap_refs; k += 2)
		held += (size_t)in->refs[k];
	return held;
}

/* ===== Effects ===== */

static struct fake_event *to_platform(struct fake *f, int i, uint8_t kind,
				      ws_us delay)
{
	struct fake_instance *in = &f->instances[i];
	ws_us jitter = 500 + (ws_us)ws_rand_below(&f->rand, 3 * WS_MS);
	struct fake_event *e = fake_push(f, f->now + delay + jitter, kind, i);

	e->life = in->life;
	e->sent = fake_local_now(f, i);
	return e;
}

static void to_target(struct fake *f, int i, uint8_t kind, ws_id target,
		      const struct ws_effect *fx)
{
	struct fake_instance *in = &f->instances[i];
	int t = fake_find_target(f, target);
	struct fake_event *e;

	if (t < 0)
		return;
	e = fake_push(f, f->now + fake_delay(f, in->zone, f->targets[t].zone),
		      kind, i);
	e->life = in->life;
	e->other = t;
	e->sent = fake_local_now(f, i);
	e->fx = *fx;
	if (kind != FE_GRANT)
		return;
	e->fx.u.grant.items =
		ws_alloc(fx->u.grant.n_items, sizeof(*fx->u.grant.items));
	memcpy(e->fx.u.grant.items, fx->u.grant.items,
	       fx->u.grant.n_items * sizeof(*fx->u.grant.items));
}

static int add_run(struct fake *f, int i, const struct ws_effect *fx,
		   ws_us deadline)
{
	struct fake_run_entry *r;

	ws_grow(&f->runs, &f->cap_runs, f->n_runs + 1, sizeof(*f->runs));
	r = &f->runs[f->n_runs];
	r->call = (int)fx->u.attempt.call.payload - 1;
	r->target = fake_find_target(f, fx->u.attempt.target);
	r->incarnation = fx->u.attempt.incarnation;
	r->fence = fx->u.attempt.fence;
	r->sent = f->now;
	r->deadline = deadline;
	r->start_by_us = fx->u.attempt.start_by_us;
	r->instance = i;
	r->life = f->instances[i].life;
	r->attempt = fx->u.attempt.attempt;
	return (int)f->n_runs++;
}

static void attempt(struct fake *f, int i, const struct ws_effect *fx)
{
	ws_us left = fx->u.attempt.call.deadline - fake_local_now(f, i);
	ws_us deadline = f->now + (left > 0 ? left : 0);
	int run = add_run(f, i, fx, deadline);
	int zone = f->targets[f->runs[run].target].zone;
	ws_us delay = fake_delay(f, f->instances[i].zone, zone);

	fake_push(f, f->now + delay, FE_ATTEMPT, i)->run = run;
	fake_push(f, deadline, FE_ATTEMPT_DEADLINE, i)->run = run;
}

void fake_apply_effect(struct fake *f, int i, struct ws_effect *fx)
{
	struct fake_event *e;

	count_effect(f, i, fx);
	switch (fx->kind) {
	case WS_FX_SEND:
		fake_send_message(f, i, fx);
		break;
	case WS_FX_APPEND:
		e = to_platform(f, i, FE_APPEND, 0);
		e->record = fx->u.append;
		fx->u.append = NULL;
		break;
	case WS_FX_LOG_READ:
		e = to_platform(f, i, FE_LOG_READ, LOG_READ_WAIT);
		e->a = fx->u.log_read.from;
		break;
	case WS_FX_PROBE:
		to_target(f, i, FE_PROBE, fx->u.probe.target, fx);
		break;
	case WS_FX_GRANT:
		to_target(f, i, FE_GRANT, fx->u.grant.target, fx);
		break;
	case WS_FX_ATTEMPT:
		attempt(f, i, fx);
		break;
	case WS_FX_REPLY:
		fake_on_reply(f, (int)fx->u.reply.id - 1, &fx->u.reply.answer);
		break;
	case WS_FX_DRAINED:
		fake_kill_instance(f, i);
		fake_push(f, f->now + 2 * WS_SECOND, FE_START_INSTANCE, i);
		break;
	default:
		break;
	}
}
