#include "edge/ws_ed_call_permit.h"

#include <string.h>

#include "common/ws_events.h"

/*
 * Permits of requests: asks the issuer of a server before a request for one of
 * its keys is sent, and issues permits for other instances. An issuer that
 * does not answer costs a request this much time at most; after that it is
 * placed by what this instance knows, as are others for some time.
 */

/* Time after which an unanswered message is sent again; doubles each time. */
#define ASK_AGAIN_AFTER (30 * WS_MS)
#define ASKS_MAX 3
/* No answer is awaited for more than this fraction (1/N) of the time left. */
#define ANSWER_TIME_DIVISOR 4
/* A permit may have been lost on its way to a request that is queued. */
#define QUEUED_ASK_AFTER (150 * WS_MS)
/* Time for which an issuer that did not answer is not asked. */
#define SILENT_TIME (1 * WS_SECOND)
/*
 * Instances of at least this fraction (1/N) of the strongest one's capacity
 * share the issuing, so that no single link carries it all.
 */
#define ISSUER_CAPACITY_DIVISOR 2
/*
 * While answers take more than this fraction (1/N) of the objective, as on a
 * link that is full, most requests are placed without asking.
 */
#define PERMIT_TIME_DIVISOR 10
#define ASKS_SPARED_MAX 8
#define PERMIT_TIME_GAIN 0.1
/* Bits of a call's id that tell apart the calls of a process. */
#define CALL_BITS 32

/* ===== Issuers ===== */

static struct ed_issuer_contact *contact_of(struct ws_edge *e, ws_id issuer)
{
	struct ed_issuer_contact *t =
		&e->issuer_contacts[ws_mix(issuer, 0) % ISSUER_CONTACTS];

	if (t->id != issuer)
		*t = (struct ed_issuer_contact){ .id = issuer };
	return t;
}

static bool is_silent(struct ws_edge *e, ws_id issuer)
{
	return e->now < contact_of(e, issuer)->silent_until;
}

/*
 * Who is alive is judged by what relays report as well: an instance of another
 * zone hears few others itself, and all askers have to choose the same issuer.
 */
static bool may_issue(struct ws_edge *e, const struct ws_ed_member *m,
		      ws_id zone)
{
	return (!zone || m->zone == zone) && !m->leaving && m->address[0] &&
	       ws_ed_member_reported_alive(&e->peers, m, e->now) &&
	       !is_silent(e, m->id);
}

static uint32_t strongest_in_zone(struct ws_edge *e, ws_id zone)
{
	const struct ws_ed_peers *p = &e->peers;
	uint32_t best = 0;
	size_t i;

	if (!e->draining && (!zone || zone == e->set.zone))
		best = e->set.capacity;
	for (i = 0; i < p->n; i++)
		if (p->members[i].capacity > best &&
		    may_issue(e, &p->members[i], zone))
			best = p->members[i].capacity;
	return best;
}

/*
 * Among the stronger instances of a zone, or of all zones if it is 0: messages
 * to a machine with a narrow link may wait behind bodies.
 */
static ws_id issuer_in_zone(struct ws_edge *e, ws_id server, ws_id zone)
{
	const struct ws_ed_peers *p = &e->peers;
	uint32_t least = strongest_in_zone(e, zone) / ISSUER_CAPACITY_DIVISOR;
	uint64_t best_hash = UINT64_MAX;
	ws_id best = 0;
	size_t i;

	if (!e->draining && (!zone || zone == e->set.zone) &&
	    e->set.capacity >= least) {
		best = e->set.self;
		best_hash = ws_mix(server, best);
	}
	for (i = 0; i < p->n; i++) {
		const struct ws_ed_member *m = &p->members[i];
		uint64_t hash = ws_mix(server, m->id);

		if (m->capacity < least || hash >= best_hash ||
		    !may_issue(e, m, zone))
			continue;
		best = m->id;
		best_hash = hash;
	}
	return best;
}

/*
 * The instance that issues permits for a server: one of its zone, as who can
 * reach the server can reach its zone.
 */
static ws_id issuer_of(struct ws_edge *e, const struct ws_ed_server *s)
{
	ws_id issuer = issuer_in_zone(e, s->id, s->zone);

	if (!issuer)
		issuer = issuer_in_zone(e, s->id, 0);
	return issuer ? issuer : e->set.self;
}

/* What a request that waits for an answer has to lose. */
static ws_us time_at_stake(const struct ws_edge *e, const struct ed_call *c)
{
	return c->objective_at > e->now ? c->objective : c->end_at - e->now;
}

static void note_permit_time(struct ws_edge *e, const struct ed_call *c)
{
	e->permit_time +=
		PERMIT_TIME_GAIN *
		((double)(e->now - c->permit.asked_at) - e->permit_time);
}

static bool is_slow_to_ask(struct ws_edge *e, const struct ed_call *c)
{
	double most = (double)time_at_stake(e, c) / PERMIT_TIME_DIVISOR;

	if (e->permit_time <= most || e->asks_spared >= ASKS_SPARED_MAX) {
		e->asks_spared = 0;
		return false;
	}
	e->asks_spared++;
	return true;
}

static void note_heard(struct ws_edge *e, ws_id issuer)
{
	struct ed_issuer_contact *t = contact_of(e, issuer);

	t->heard_at = e->now;
	t->silent_until = 0;
}

/* Notes that an issuer has not answered what was asked at a time. */
static void note_silent(struct ws_edge *e, ws_id issuer, ws_us asked_at,
			struct ws_ed_fx *fx)
{
	struct ed_issuer_contact *t = contact_of(e, issuer);

	if (t->heard_at > asked_at)
		return;
	if (e->now >= t->silent_until)
		ws_ed_fx_log(fx, WS_LOG_ISSUER_SILENT, issuer,
			     SILENT_TIME / WS_MS,
			     "requests are placed without its permits");
	t->silent_until = e->now + SILENT_TIME;
}

/* What the issuer knows of a server; slots is 0 if it is not listed. */
static void fill_server(const struct ws_edge *e, ws_id server,
			struct ws_ed_issuer_server *out)
{
	int32_t h = ws_ed_pool_find(&e->pool, server);

	memset(out, 0, sizeof(*out));
	if (h >= 0)
		ws_ed_pool_issuer_view(&e->pool, e->now, (uint32_t)h, out);
}

/* ===== Messages ===== */

static uint64_t call_number(const struct ws_edge *e, uint64_t call)
{
	return e->set.incarnation << CALL_BITS | (call & UINT32_MAX);
}

static struct ed_call *find_call(const struct ws_edge *e, uint64_t number)
{
	struct ed_call *c;

	if (number >> CALL_BITS != (e->set.incarnation & UINT32_MAX))
		return NULL;
	c = ws_ed_call_find(e, number & UINT32_MAX);
	return c && call_number(e, c->id) == number ? c : NULL;
}

static struct ws_ed_permit_message *add_message(struct ws_edge *e, ws_id to,
						enum ws_ed_permit_kind kind,
						ws_id server, uint64_t call,
						struct ws_ed_fx *fx)
{
	struct ws_ed_effect *x = ws_ed_fx_add(fx, WS_EDFX_PERMIT);

	x->u.permit.to = to;
	x->u.permit.message = (struct ws_ed_permit_message){
		.kind = kind,
		.from = e->set.self,
		.server = server,
		.call = call,
	};
	return &x->u.permit.message;
}

static void apply_answer(struct ws_edge *e, ws_id issuer,
			 const struct ws_ed_permit_answer *a,
			 struct ws_ed_fx *fx);

/*
 * Tells the askers what was decided. An answer to a request of this instance
 * may place it, which may bring about further answers.
 */
static void tell_answers(struct ws_edge *e, struct ws_ed_permit_answers *out,
			 struct ws_ed_fx *fx)
{
	size_t i;

	for (i = 0; i < out->n; i++) {
		struct ws_ed_permit_answer a = out->items[i];

		if (a.ref.asker == e->set.self) {
			apply_answer(e, e->set.self, &a, fx);
			continue;
		}
		add_message(e, a.ref.asker, WS_ED_PERMIT_ANSWER, a.server,
			    a.ref.call, fx)
			->u.answer = a;
	}
	ws_ed_permit_answers_free(out);
}

/* The asker may know a server that isn't listed here yet. */
static void tell_unknown(struct ws_edge *e, ws_id server, ws_id asker,
			 uint64_t call, struct ws_ed_fx *fx)
{
	if (asker == e->set.self)
		return;
	add_message(e, asker, WS_ED_PERMIT_ANSWER, server, call, fx)
		->u.answer.verdict = WS_ED_PERMIT_UNKNOWN;
}

static void ask_here(struct ws_edge *e, ws_id server,
		     const struct ws_ed_ask *ask, struct ws_ed_fx *fx)
{
	struct ws_ed_permit_answers out = { NULL, 0, 0 };
	struct ws_ed_issuer_server s;

	fill_server(e, server, &s);
	if (!s.slots) {
		tell_unknown(e, server, ask->ref.asker, ask->ref.call, fx);
		return;
	}
	ws_ed_issuer_ask(&e->issuers, e->now, server, &s, ask, &out);
	tell_answers(e, &out, fx);
}

static void end_here(struct ws_edge *e, ws_id server,
		     const struct ws_ed_permit_end *end, struct ws_ed_fx *fx)
{
	struct ws_ed_permit_answers out = { NULL, 0, 0 };
	struct ws_ed_issuer_server s;

	fill_server(e, server, &s);
	if (!s.slots)
		return;
	ws_ed_issuer_ended(&e->issuers, e->now, server, &s, end, &out);
	tell_answers(e, &out, fx);
}

/* ===== Asker ===== */

static void ask(struct ws_edge *e, struct ed_call *c, struct ws_ed_fx *fx)
{
	const struct ws_ed_ask a = {
		.ref = { .asker = e->set.self, .call = call_number(e, c->id) },
		.fingerprint = c->fingerprint,
		.priority = c->priority,
		.work = e->pool.work_stats[c->work_stats].service_time,
		.objective = c->objective,
		.objective_left = c->objective_at - e->now,
		.time_left = c->end_at - e->now,
		.is_retry = c->is_retry,
	};
	ws_id server = c->permit.server;

	c->permit.asks++;
	c->permit.ask_again_at =
		e->now + (ASK_AGAIN_AFTER << (c->permit.asks - 1));
	e->counters.permits_asked++;
	if (c->permit.issuer == e->set.self) {
		ask_here(e, server, &a, fx);
		return;
	}
	add_message(e, c->permit.issuer, WS_ED_PERMIT_ASK, server, a.ref.call,
		    fx)
		->u.ask = a;
}

static void end_permit(struct ws_edge *e, struct ed_call *c,
		       const struct ws_ed_permit_message *end,
		       struct ws_ed_fx *fx)
{
	uint64_t number = call_number(e, c->id);
	ws_id issuer = c->permit.issuer;
	ws_id server = c->permit.server;

	c->permit.state = PERMIT_NONE;
	c->permit.asks = 0;
	if (issuer == e->set.self) {
		const struct ws_ed_permit_end here = {
			.ref = { .asker = issuer, .call = number },
			.sent = end->u.end.outcome != WS_ED_PERMIT_WITHDRAWN,
			.served = end->u.end.outcome == WS_ED_PERMIT_SERVED,
			.has_report = end->u.end.has_report,
			.running = end->u.end.running,
			.waiting = end->u.end.waiting,
		};

		end_here(e, server, &here, fx);
		return;
	}
	add_message(e, issuer, WS_ED_PERMIT_END, server, number, fx)->u.end =
		end->u.end;
}

void ws_ed_call_withdraw_permit(struct ws_edge *e, struct ed_call *c,
				struct ws_ed_fx *fx)
{
	struct ws_ed_permit_message end = { .kind = WS_ED_PERMIT_END };

	if (c->permit.state == PERMIT_NONE)
		return;
	end.u.end.outcome = WS_ED_PERMIT_WITHDRAWN;
	end_permit(e, c, &end, fx);
}

static enum ws_ed_permit_outcome outcome_of(enum ws_ed_end end)
{
	switch (end) {
	case WS_ED_END_OK:
		return WS_ED_PERMIT_SERVED;
	case WS_ED_END_SHED:
	case WS_ED_END_CONNECTION_LOST:
		return WS_ED_PERMIT_REJECTED;
	default:
		return WS_ED_PERMIT_FAILED;
	}
}

void ws_ed_call_permit_ended(struct ws_edge *e, struct ed_call *c,
			     const struct ed_lane *l, enum ws_ed_end end,
			     ws_us latency, const struct ws_ed_report *r,
			     struct ws_ed_fx *fx)
{
	struct ws_ed_permit_message m = { .kind = WS_ED_PERMIT_END };
	bool known = r && r->from_server && r->known;

	if (c->permit.state != PERMIT_USED)
		return;
	m.u.end.outcome = outcome_of(end);
	m.u.end.latency = latency;
	m.u.end.has_report = known;
	m.u.end.running = known ? r->running : 0;
	m.u.end.waiting = known ? r->waiting : 0;
	m.u.end.pace = known ? (float)r->pace : 0.0F;
	m.u.end.work = (float)e->pool.work_stats[c->work_stats].service_time;
	m.u.end.load = (float)(l->load * e->pool.servers[l->server].slots);
	end_permit(e, c, &m, fx);
}

/* Begins to ask for a permit to send to a server. */
static void start_asking(struct ws_edge *e, struct ed_call *c, uint32_t server,
			 struct ws_ed_fx *fx)
{
	const struct ws_ed_server *s = &e->pool.servers[server];

	c->permit = (struct ed_permit){
		.state = PERMIT_ASKED,
		.server = s->id,
		.issuer = issuer_of(e, s),
		.asked_at = e->now,
	};
	ask(e, c, fx);
}

/*
 * Repeats a message that may have been lost.
 * @return false if the issuer has not answered several times
 */
static bool ask_again(struct ws_edge *e, struct ed_call *c, struct ws_ed_fx *fx)
{
	if (c->permit.state == PERMIT_QUEUED) {
		c->permit.state = PERMIT_ASKED;
		c->permit.asks = 0;
		c->permit.asked_at = e->now;
	}
	if (c->permit.asks < ASKS_MAX &&
	    e->now - c->permit.asked_at <
		    time_at_stake(e, c) / ANSWER_TIME_DIVISOR) {
		ask(e, c, fx);
		return true;
	}
	note_permit_time(e, c);
	note_silent(e, c->permit.issuer, c->permit.asked_at, fx);
	ws_ed_call_withdraw_permit(e, c, fx);
	return false;
}

enum ws_ed_permit_progress ws_ed_call_permit(struct ws_edge *e,
					     struct ed_call *c, uint32_t server,
					     struct ws_ed_fx *fx)
{
	uint64_t id = c->id;

	if (c->permit.state != PERMIT_NONE &&
	    c->permit.server != e->pool.servers[server].id)
		ws_ed_call_withdraw_permit(e, c, fx);
	if (c->permit.state == PERMIT_GRANTED)
		return WS_ED_PERMIT_MAY_SEND;
	if (c->permit.state == PERMIT_NONE) {
		if (is_slow_to_ask(e, c))
			return WS_ED_PERMIT_UNAVAILABLE;
		start_asking(e, c, server, fx);
	} else if (e->now >= c->permit.ask_again_at && !ask_again(e, c, fx)) {
		return WS_ED_PERMIT_UNAVAILABLE;
	}
	/* An answer of this instance itself may have sent or ended it. */
	c = ws_ed_call_find(e, id);
	if (!c || c->state != CALL_WAITING)
		return WS_ED_PERMIT_DONE;
	return WS_ED_PERMIT_PENDING;
}

static void apply_answer(struct ws_edge *e, ws_id issuer,
			 const struct ws_ed_permit_answer *a,
			 struct ws_ed_fx *fx)
{
	struct ed_call *c = find_call(e, a->ref.call);
	struct ws_ed_permit_message *m;

	if (!c || c->permit.server != a->server || c->permit.issuer != issuer ||
	    (c->permit.state != PERMIT_ASKED &&
	     c->permit.state != PERMIT_QUEUED)) {
		/* A permit that nobody uses goes back. */
		if (a->verdict != WS_ED_PERMIT_GRANTED ||
		    issuer == e->set.self ||
		    (c && c->permit.server == a->server &&
		     c->permit.state != PERMIT_NONE))
			return;
		m = add_message(e, issuer, WS_ED_PERMIT_END, a->server,
				a->ref.call, fx);
		m->u.end.outcome = WS_ED_PERMIT_WITHDRAWN;
		return;
	}
	if (c->permit.state == PERMIT_ASKED && issuer != e->set.self)
		note_permit_time(e, c);
	switch (a->verdict) {
	case WS_ED_PERMIT_GRANTED:
		c->permit.state = PERMIT_GRANTED;
		c->not_before = e->now;
		ws_ed_call_place(e, c, fx);
		break;
	case WS_ED_PERMIT_QUEUED:
		c->permit.state = PERMIT_QUEUED;
		c->permit.ask_again_at = e->now + QUEUED_ASK_AFTER;
		break;
	case WS_ED_PERMIT_UNKNOWN:
		c->permit.state = PERMIT_NONE;
		ws_ed_call_place_without_permit(e, c, fx);
		break;
	default:
		c->permit.state = PERMIT_NONE;
		e->counters.permits_refused++;
		ws_ed_call_refused_permit(e, c, a->retry_after, fx);
		break;
	}
}

/* ===== Issuer ===== */

static void on_ask(struct ws_edge *e, const struct ws_ed_permit_message *m,
		   struct ws_ed_fx *fx)
{
	struct ws_ed_ask a = m->u.ask;

	a.ref = (struct ws_ed_permit_ref){ .asker = m->from, .call = m->call };
	ask_here(e, m->server, &a, fx);
}

/* The report also tells this instance's own estimates of the server. */
static void learn_from_end(struct ws_edge *e,
			   const struct ws_ed_permit_message *m)
{
	int32_t h = ws_ed_pool_find(&e->pool, m->server);
	const struct ws_ed_report r = {
		.known = true,
		.running = m->u.end.running,
		.waiting = m->u.end.waiting,
		.pace = (double)m->u.end.pace,
	};

	if (h < 0 || m->u.end.outcome == WS_ED_PERMIT_WITHDRAWN)
		return;
	if (m->u.end.has_report)
		ws_ed_pool_peer_report(&e->pool, e->now,
				       ws_ed_short_id(m->server), &r, 0);
}

static void on_end(struct ws_edge *e, const struct ws_ed_permit_message *m,
		   struct ws_ed_fx *fx)
{
	const struct ws_ed_permit_end end = {
		.ref = { .asker = m->from, .call = m->call },
		.sent = m->u.end.outcome != WS_ED_PERMIT_WITHDRAWN,
		.served = m->u.end.outcome == WS_ED_PERMIT_SERVED,
		.has_report = m->u.end.has_report,
		.running = m->u.end.running,
		.waiting = m->u.end.waiting,
	};

	learn_from_end(e, m);
	end_here(e, m->server, &end, fx);
}

void ws_ed_call_on_permit(struct ws_edge *e,
			  const struct ws_ed_permit_message *m,
			  struct ws_ed_fx *fx)
{
	struct ws_ed_permit_answer a;

	/* Without a need for permits, an instance issues none. */
	if (!e->pool.unmetered || m->from == e->set.self)
		return;
	switch (m->kind) {
	case WS_ED_PERMIT_ASK:
		on_ask(e, m, fx);
		break;
	case WS_ED_PERMIT_ANSWER:
		note_heard(e, m->from);
		a = m->u.answer;
		a.server = m->server;
		a.ref = (struct ws_ed_permit_ref){ .asker = e->set.self,
						   .call = m->call };
		apply_answer(e, m->from, &a, fx);
		break;
	default:
		on_end(e, m, fx);
		break;
	}
}

void ws_ed_call_permit_tick(struct ws_edge *e, struct ws_ed_fx *fx)
{
	struct ws_ed_permit_answers out = { NULL, 0, 0 };
	size_t i = 0;

	while (i < e->issuers.n) {
		size_t n = e->issuers.n;
		ws_id server = ws_ed_issuers_server(&e->issuers, i);
		struct ws_ed_issuer_server s;

		fill_server(e, server, &s);
		if (s.slots)
			ws_ed_issuer_tick(&e->issuers, e->now, server, &s,
					  &out);
		else
			ws_ed_issuer_forget(&e->issuers, server);
		i += e->issuers.n == n;
	}
	tell_answers(e, &out, fx);
}
