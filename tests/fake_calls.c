#include "fake_internal.h"

#include <string.h>

/* The fake callers: new calls, resends, and the checks on each answer. */

#define KEYS 40
#define RESENDS_MAX 3
#define WALL_START_MS 1700000000000LL

/* ===== Sending ===== */

static void new_request_id(struct fake *f, uint64_t id[2])
{
	uint64_t skew = ws_rand_below(&f->rand, 600);
	uint64_t ms = (uint64_t)(WALL_START_MS + f->now / 1000) + skew - 300;

	id[0] = ms << 16 | 0x7000 | ws_rand_below(&f->rand, 0x1000);
	id[1] = ws_rand_next(&f->rand) >> 2 | (uint64_t)2 << 62;
}

static void send_call(struct fake *f, int k, int instance)
{
	struct fake_call_entry *call = &f->calls[k];
	struct fake_call_entry *first = &f->calls[call->first];
	struct ws_event ev = { .kind = WS_EV_REQUEST };

	call->instance = instance;
	call->life = f->instances[instance].life;
	call->sent = f->now;
	f->report.calls++;
	ev.u.request.id = (uint64_t)k + 1;
	ev.u.request.internal = call->service == FAKE_INTERNAL;
	if (!ev.u.request.internal)
		fake_caller_key(call->customer, ev.u.request.caller_key);
	ev.u.request.call.service = fake_service_id(call->service);
	ev.u.request.call.key = call->key;
	ev.u.request.call.fingerprint = first->fingerprint;
	ev.u.request.call.payload = (ws_payload)k + 1;
	memcpy(ev.u.request.call.request_id, first->request_id,
	       sizeof(first->request_id));
	fake_deliver(f, instance, call->life, f->now + 500, &ev);
}

static int add_call(struct fake *f)
{
	ws_grow(&f->calls, &f->cap_calls, f->n_calls + 1, sizeof(*f->calls));
	memset(&f->calls[f->n_calls], 0, sizeof(*f->calls));
	return (int)f->n_calls++;
}

int fake_call(struct fake *f, enum fake_service s, uint64_t key, int customer,
	      int instance)
{
	int k = add_call(f);
	struct fake_call_entry *call = &f->calls[k];

	call->service = (uint8_t)s;
	call->customer = (uint8_t)customer;
	call->key = key;
	call->first = k;
	call->fingerprint = ws_mix(77, (uint64_t)k);
	new_request_id(f, call->request_id);
	if (f->poison_left && fake_chance(f, f->poison_share)) {
		call->poison = true;
		f->poison_left--;
	}
	send_call(f, k, instance);
	return k;
}

int fake_resend(struct fake *f, int call, int instance)
{
	int k = add_call(f);
	struct fake_call_entry *old = &f->calls[call];
	struct fake_call_entry *new = &f->calls[k];

	new->service = old->service;
	new->customer = old->customer;
	new->key = old->key;
	new->first = old->first;
	new->poison = old->poison;
	old->stopped = true;
	new->resends = old->resends + 1;
	send_call(f, k, instance);
	return k;
}

void fake_poison_calls(struct fake *f, double share)
{
	f->poison_share = share;
	f->poison_left = 1;
}

/* ===== Random callers ===== */

static int random_instance(struct fake *f)
{
	int tries = 20;
	int i;

	do {
		i = (int)ws_rand_below(&f->rand, (uint64_t)f->n_instances);
	} while (!f->instances[i].core && --tries);
	return f->instances[i].core ? i : -1;
}

/* A caller that got no answer, or none it can trust, asks again. */
static void resend_one(struct fake *f, int instance)
{
	size_t back = 1 + ws_rand_below(&f->rand, 60);
	struct fake_call_entry *c;

	if (!f->conf.resend || back > f->n_calls)
		return;
	c = &f->calls[f->n_calls - back];
	if (c->outcome == WS_OUT_DONE && !fake_chance(f, 0.1))
		return;
	if (!c->outcome && f->now < c->sent + WS_SECOND)
		return;
	if (c->stopped || c->resends >= RESENDS_MAX)
		return;
	fake_resend(f, (int)(f->n_calls - back), instance);
}

void fake_run_caller(struct fake *f)
{
	int i = random_instance(f);
	enum fake_service s = ws_rand_below(&f->rand, FAKE_SERVICES);
	uint64_t key = 1 + ws_rand_below(&f->rand, KEYS);
	int customer = (int)ws_rand_below(&f->rand, FAKE_CUSTOMERS);
	ws_us gap = (ws_us)ws_rand_below(&f->rand,
					 2 * (uint64_t)f->conf.call_interval);

	fake_push(f, f->now + gap, FE_CALLER, 0);
	if (i < 0)
		return;
	fake_call(f, s, key, customer, i);
	if (fake_chance(f, 0.3))
		resend_one(f, i);
}

/* ===== Answers ===== */

static void check_answer(struct fake *f, int k, const struct ws_answer *answer)
{
	const struct fake_call_entry *call = &f->calls[k];
	int of = (int)(answer->payload & 0x3fffffff) - 1;

	if (answer->outcome == WS_OUT_NOT_RUN && call->runs)
		fake_violation(f, "refused as not run, but ran", (uint64_t)k,
			       (uint64_t)-answer->error);
	if (answer->outcome != WS_OUT_DONE)
		return;
	if (of < 0 || of >= (int)f->n_calls ||
	    f->calls[of].first != call->first)
		fake_violation(f, "answer of another request", (uint64_t)k,
			       (uint64_t)of);
}

void fake_on_reply(struct fake *f, int k, const struct ws_answer *answer)
{
	struct fake_call_entry *call = &f->calls[k];

	if (call->outcome) {
		fake_violation(f, "answered twice", (uint64_t)k, 0);
		return;
	}
	call->outcome = answer->outcome;
	call->error = answer->error;
	call->answered = f->now;
	check_answer(f, k, answer);
	if (answer->outcome == WS_OUT_DONE)
		f->report.done++;
	else if (answer->outcome == WS_OUT_NOT_RUN)
		f->report.not_run++;
	else
		f->report.unknown++;
	if (answer->error < 0 && answer->error >= WS_ERROR_LAST)
		f->report.errors[-answer->error]++;
}

int fake_outcome(const struct fake *f, int call, int *error)
{
	if (error)
		*error = f->calls[call].error;
	return f->calls[call].outcome;
}

int fake_runs(const struct fake *f, int call, int *target)
{
	if (target)
		*target = f->calls[call].last_target;
	return f->calls[call].runs;
}

/* Has a request for the key of a run been sent under a higher fence before? */
static bool is_outdated(const struct fake *f, const struct fake_run_entry *r)
{
	const struct fake_call_entry *call = &f->calls[r->call];
	const struct fake_run_entry *q;

	for (q = f->runs; q < r; q++)
		if (q->fence > r->fence && f->calls[q->call].key == call->key &&
		    f->calls[q->call].service == call->service)
			return true;
	return false;
}

size_t fake_count_stale_fences(const struct fake *f, int i, ws_us after)
{
	size_t n = 0;
	size_t k;

	for (k = 0; k < f->n_runs; k++)
		if (f->runs[k].instance == i && f->runs[k].sent > after &&
		    f->runs[k].fence)
			n += is_outdated(f, &f->runs[k]);
	return n;
}
