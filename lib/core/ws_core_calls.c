#include "core/ws_core_internal.h"

#include <string.h>

/*
 * Requests at the frontend and at the home: authentication, admission, choice
 * of the home, answers.
 */

/* ===== Table of calls ===== */

static size_t call_slot(const struct ws_core *c, uint64_t id)
{
	return ws_mix(id, 1) & (c->cap_calls - 1);
}

struct core_call *ws_core_find_call(struct ws_core *c, uint64_t id)
{
	size_t i = call_slot(c, id);

	while (c->calls[i].state != CALL_FREE) {
		if (c->calls[i].id == id)
			return &c->calls[i];
		i = (i + 1) & (c->cap_calls - 1);
	}
	return NULL;
}

/* Returns NULL if max_calls is reached. */
static struct core_call *add_call(struct ws_core *c, uint8_t state)
{
	uint64_t id = ++c->next_id;
	size_t i = call_slot(c, id);

	if (c->n_calls >= c->conf.max_calls)
		return NULL;
	while (c->calls[i].state != CALL_FREE)
		i = (i + 1) & (c->cap_calls - 1);
	memset(&c->calls[i], 0, sizeof(c->calls[i]));
	c->calls[i].state = state;
	c->calls[i].id = id;
	c->n_calls++;
	return &c->calls[i];
}

/* Removes an entry and shifts later ones so that no probe sequence breaks. */
static void remove_call(struct ws_core *c, struct core_call *call)
{
	size_t mask = c->cap_calls - 1;
	size_t gap = (size_t)(call - c->calls);
	size_t i = gap;

	c->n_calls--;
	for (;;) {
		size_t home;

		i = (i + 1) & mask;
		if (c->calls[i].state == CALL_FREE)
			break;
		home = call_slot(c, c->calls[i].id);
		if (((i - home) & mask) < ((i - gap) & mask))
			continue;
		c->calls[gap] = c->calls[i];
		gap = i;
	}
	c->calls[gap].state = CALL_FREE;
}

/* ===== Answers ===== */

static void count_answer(struct ws_core *c, const struct ws_answer *answer)
{
	if (answer->outcome == WS_OUT_DONE) {
		c->counters.answered++;
		return;
	}
	if (answer->outcome == WS_OUT_UNKNOWN)
		c->counters.unknown++;
	if (answer->error < 0 && answer->error >= WS_ERROR_LAST)
		c->counters.refused[-answer->error]++;
}

static void reply(struct ws_core *c, uint64_t shell_id,
		  const struct ws_answer *answer)
{
	struct ws_effect *e = ws_fx_add(c->out, WS_FX_REPLY);

	e->u.reply.id = shell_id;
	e->u.reply.answer = *answer;
	count_answer(c, answer);
}

/* A retry is suggested only for errors that are temporary. */
static ws_us retry_after(int error)
{
	int status = ws_error_http_status(error);

	return status == 429 || status == 503 ? WS_SECOND : 0;
}

static void refuse(struct ws_core *c, uint64_t shell_id, int error,
		   ws_payload payload)
{
	struct ws_answer answer = {
		.outcome = WS_OUT_NOT_RUN,
		.error = error,
		.retry_after = retry_after(error),
	};

	reply(c, shell_id, &answer);
	ws_core_release(c, payload);
}

/* Answers the client of a call; consumes the payload of the answer. */
static void answer_client(struct ws_core *c, struct core_call *call,
			  const struct ws_answer *answer)
{
	struct ws_msg *msg;

	if (call->answered || call->client_gone) {
		ws_core_release(c, answer->payload);
		return;
	}
	call->answered = true;
	if (!call->is_home) {
		reply(c, call->shell_id, answer);
		return;
	}
	msg = ws_core_send(c, call->origin, WS_MSG_ANSWER);
	msg->u.answer.ref = call->origin_ref;
	msg->u.answer.answer = *answer;
	ws_core_release(c, answer->payload);
}

/* Removes a call that no module is processing any more. */
static void free_call(struct ws_core *c, struct core_call *call)
{
	ws_core_release(c, call->call.payload);
	remove_call(c, call);
}

static void end_call(struct ws_core *c, struct core_call *call,
		     const struct ws_answer *answer)
{
	answer_client(c, call, answer);
	free_call(c, call);
}

static void end_not_run(struct ws_core *c, struct core_call *call, int error)
{
	struct ws_answer answer = {
		.outcome = WS_OUT_NOT_RUN,
		.error = error,
		.retry_after = retry_after(error),
	};

	end_call(c, call, &answer);
}

static void end_unknown(struct ws_core *c, struct core_call *call)
{
	struct ws_answer answer = {
		.outcome = WS_OUT_UNKNOWN,
		.error = WS_ERR_UNKNOWN_OUTCOME,
	};

	end_call(c, call, &answer);
}

/* ===== Checks of a new request ===== */

static bool has_caller_key(const uint64_t key[4])
{
	return key[0] | key[1] | key[2] | key[3];
}

/* Finds the customer by the caller key, for public services. */
static int authenticate(struct ws_core *c, const uint64_t key[4],
			ws_id *customer)
{
	if (!has_caller_key(key))
		return WS_ERR_NO_KEY;
	if (c->now - ws_own_evidence_time(c->own) > c->bundle->key_max_age)
		return WS_ERR_STALE;
	*customer = ws_bundle_key_customer(c->bundle, key);
	return *customer ? WS_OK : WS_ERR_BAD_KEY;
}

static int check_key_and_id(const struct ws_service *svc,
			    const struct ws_call *call)
{
	if (svc->sharded && !call->key)
		return WS_ERR_BAD_REQUEST;
	if (!call->idempotent && !call->request_id[0])
		return WS_ERR_REQUEST_ID;
	return WS_OK;
}

static void apply_service_rules(const struct ws_service *svc, ws_us now,
				struct ws_call *call)
{
	ws_us latest = now + svc->deadline;

	if (!call->deadline || call->deadline > latest)
		call->deadline = latest;
	if (!svc->sharded)
		call->key = 0;
	if (svc->idempotent)
		call->idempotent = true;
}

static int check_request(struct ws_core *c, const struct ws_event *ev,
			 struct ws_call *call)
{
	const struct ws_service *svc;
	int res = WS_OK;

	if (c->drained)
		return WS_ERR_SHUTDOWN;
	if (!c->bundle)
		return WS_ERR_NO_BUNDLE;
	svc = ws_bundle_service(c->bundle, call->service);
	if (!svc)
		return WS_ERR_NO_SERVICE;
	if (svc->access == WS_ACCESS_INTERNAL && !ev->u.request.internal)
		return WS_ERR_NO_SERVICE;
	if (svc->access == WS_ACCESS_PUBLIC)
		res = authenticate(c, ev->u.request.caller_key,
				   &call->customer);
	if (ws_is_error(res))
		return res;
	apply_service_rules(svc, c->now, call);
	res = check_key_and_id(svc, call);
	if (ws_is_error(res))
		return res;
	call->fingerprint = ws_mix(call->fingerprint, call->customer);
	if (ws_quar_is_quarantined(c->quar, c->now, call->fingerprint))
		return WS_ERR_QUARANTINED;
	return WS_OK;
}

/* ===== Homes ===== */

static const struct ws_assignment *home_of(struct ws_core *c,
					   const struct ws_call *call)
{
	struct ws_res res = { .kind = WS_RES_PARTITION };

	res.item = ws_idem_partition(call->customer, call->request_id,
				     c->bundle->partitions);
	return ws_own_find(c->own, &res);
}

static bool is_home_here(struct ws_core *c, const struct ws_assignment *a)
{
	return a && a->active && !c->clock_off &&
	       ws_own_holds(c->own, c->now, &a->res) &&
	       !ws_idem_awaits_handover(c->idem, a, c->wall_ms);
}

static void begin_home(struct ws_core *c, struct core_call *call,
		       const struct ws_assignment *a)
{
	struct ws_call copy = call->call;
	uint64_t id = call->id;

	call->state = CALL_HOME_LOCAL;
	/* ws_idem takes over one reference; this call keeps its own. */
	ws_core_retain(c, copy.payload);
	ws_idem_begin(c->idem, ws_core_fx(c), c->now, c->wall_ms, id, &copy, a);
}

static void send_home(struct ws_core *c, struct core_call *call, ws_id to)
{
	struct ws_msg *msg = ws_core_send(c, to, WS_MSG_FORWARD);

	call->state = CALL_HOME_SENT;
	call->sent_to = to;
	msg->u.forward.ref = call->id | HOME_REF_FLAG;
	msg->u.forward.stage = WS_STAGE_HOME;
	msg->u.forward.call = call->call;
}

/* Passes a non-idempotent call to its home, or makes it wait for one. */
static void find_home(struct ws_core *c, struct core_call *call)
{
	const struct ws_assignment *a = home_of(c, &call->call);
	const struct ws_instance *i;

	if (is_home_here(c, a)) {
		begin_home(c, call, a);
		return;
	}
	call->state = CALL_HOME_WAIT;
	if (!a || !a->active || a->holder.id == c->conf.self)
		return;
	i = ws_view_instance(ws_core_member_view(c), a->holder.id);
	if (i && i->reachable)
		send_home(c, call, a->holder.id);
}

/* ===== Routing ===== */

static ws_id owner_of(struct ws_core *c, const struct ws_call *call)
{
	const struct ws_service *svc =
		ws_bundle_service(c->bundle, call->service);
	const struct ws_assignment *a;

	if (!svc || !svc->sharded)
		return 0;
	a = ws_own_find_key_owner(c->own, svc, call->key);
	return a && a->active ? a->holder.id : 0;
}

static void start_routing(struct ws_core *c, struct core_call *call)
{
	struct ws_call copy = call->call;
	uint64_t id = call->id;

	call->routing = true;
	ws_route_start(c->route, ws_core_fx(c), c->now, id, &copy,
		       owner_of(c, &copy), ws_core_member_view(c));
}

static void add_home_call(struct ws_core *c, uint64_t id)
{
	ws_grow(&c->home_calls, &c->cap_home_calls, c->n_home_calls + 1,
		sizeof(*c->home_calls));
	c->home_calls[c->n_home_calls++] = id;
}

/* Routes an admitted call, or passes it to its home. */
static void start_call(struct ws_core *c, struct core_call *call)
{
	if (call->call.idempotent) {
		call->state = CALL_ROUTED;
		start_routing(c, call);
		return;
	}
	add_home_call(c, call->id);
	call->wait_until = c->now + HOME_WAIT_MAX;
	if (call->wait_until > call->call.deadline)
		call->wait_until = call->call.deadline;
	find_home(c, call);
}

/* ===== Events ===== */

void ws_core_request(struct ws_core *c, const struct ws_event *ev)
{
	struct ws_call call = ev->u.request.call;
	int res = check_request(c, ev, &call);
	struct core_call *entry;
	uint64_t id;

	c->counters.requests++;
	if (ws_is_error(res)) {
		refuse(c, ev->u.request.id, res, call.payload);
		return;
	}
	entry = add_call(c, CALL_ADMISSION);
	if (!entry) {
		refuse(c, ev->u.request.id, WS_ERR_LIMIT, call.payload);
		return;
	}
	entry->shell_id = ev->u.request.id;
	entry->call = call;
	id = entry->id;
	/* ws_adm holds the payload until it admits or refuses the call. */
	if (call.customer)
		entry->call.payload = 0;
	if (call.customer)
		ws_adm_request(c->adm, ws_core_fx(c), c->now, id, &call,
			       ws_core_member_view(c));
	else
		start_call(c, entry);
}

void ws_core_request_gone(struct ws_core *c, uint64_t shell_id)
{
	struct core_call *call = NULL;
	size_t i;

	for (i = 0; i < c->cap_calls && !call; i++)
		if (c->calls[i].state != CALL_FREE && !c->calls[i].is_home &&
		    c->calls[i].shell_id == shell_id)
			call = &c->calls[i];
	if (!call)
		return;
	call->client_gone = true;
	if (call->state == CALL_ADMISSION) {
		ws_adm_cancel(c->adm, call->id);
		free_call(c, call);
	} else if (call->state == CALL_HOME_WAIT) {
		free_call(c, call);
	} else if (call->state == CALL_ROUTED) {
		ws_route_cancel(c->route, ws_core_fx(c), call->id);
	}
}

void ws_core_admitted(struct ws_core *c, const struct ws_effect *e)
{
	struct core_call *call = ws_core_find_call(c, e->u.call.id);

	if (!call || call->state != CALL_ADMISSION)
		return;
	call->call.payload = e->u.call.call.payload;
	start_call(c, call);
}

void ws_core_admit_refused(struct ws_core *c, const struct ws_effect *e)
{
	struct core_call *call = ws_core_find_call(c, e->u.reply.id);

	struct ws_answer answer = e->u.reply.answer;

	if (!call || call->state != CALL_ADMISSION)
		return;
	/* Without a valid lease or live holders, the rate is not the cause. */
	if (answer.error == WS_ERR_RATE &&
	    !(ws_core_is_fresh(c) && ws_core_has_partition_majority(c)))
		answer.error = WS_ERR_STALE;
	end_call(c, call, &answer);
}

void ws_core_home_run(struct ws_core *c, const struct ws_effect *e)
{
	struct core_call *call = ws_core_find_call(c, e->u.call.id);

	WS_INVARIANT(call);
	ws_core_release(c, e->u.call.call.payload);
	start_routing(c, call);
}

/*
 * An instance that is not the home, or has just handed it over, sent nothing
 * for this client. The call then goes to the current home.
 */
static bool try_next_home(struct ws_core *c, struct core_call *call,
			  const struct ws_answer *answer)
{
	if (answer->error != WS_ERR_NOT_HOLDER || c->now >= call->wait_until)
		return false;
	if (answer->outcome == WS_OUT_UNKNOWN)
		call->may_have_run = true;
	if (call->state == CALL_HOME_LOCAL)
		add_home_call(c, call->id);
	call->state = CALL_HOME_WAIT;
	return true;
}

void ws_core_home_done(struct ws_core *c, const struct ws_effect *e)
{
	struct core_call *call = ws_core_find_call(c, e->u.reply.id);

	if (!call) {
		ws_core_release(c, e->u.reply.answer.payload);
		return;
	}
	if (!call->is_home && !call->routing &&
	    try_next_home(c, call, &e->u.reply.answer))
		return;
	answer_client(c, call, &e->u.reply.answer);
	if (!call->routing)
		free_call(c, call);
}

void ws_core_route_done(struct ws_core *c, const struct ws_effect *e)
{
	struct core_call *call = ws_core_find_call(c, e->u.reply.id);
	bool at_home;

	WS_INVARIANT(call);
	call->routing = false;
	at_home = call->state == CALL_HOME_LOCAL;
	if (!at_home) {
		end_call(c, call, &e->u.reply.answer);
		return;
	}
	ws_idem_finish(c->idem, ws_core_fx(c), c->now, call->id,
		       &e->u.reply.answer);
	/* No HOME_DONE follows if the client has disconnected. */
	if (call->client_gone || call->answered)
		free_call(c, call);
}

static void answer_not_run(struct ws_core *c, ws_id to, uint64_t ref, int error)
{
	struct ws_msg *msg = ws_core_send(c, to, WS_MSG_ANSWER);

	msg->u.answer.ref = ref;
	msg->u.answer.answer.outcome = WS_OUT_NOT_RUN;
	msg->u.answer.answer.error = error;
	msg->u.answer.answer.retry_after = retry_after(error);
}

static int check_home(struct ws_core *c, const struct ws_call *call)
{
	if (!c->bundle || !ws_bundle_service(c->bundle, call->service))
		return WS_ERR_NO_SERVICE;
	if (!is_home_here(c, home_of(c, call)))
		return WS_ERR_NOT_HOLDER;
	if (ws_quar_is_quarantined(c->quar, c->now, call->fingerprint))
		return WS_ERR_QUARANTINED;
	return WS_OK;
}

void ws_core_forward_home(struct ws_core *c, ws_id from,
			  const struct ws_msg *msg)
{
	const struct ws_call *forwarded = &msg->u.forward.call;
	int res = check_home(c, forwarded);
	struct core_call *call = NULL;

	if (!ws_is_error(res)) {
		call = add_call(c, CALL_HOME_LOCAL);
		res = call ? WS_OK : WS_ERR_LIMIT;
	}
	if (ws_is_error(res)) {
		answer_not_run(c, from, msg->u.forward.ref, res);
		ws_core_release(c, forwarded->payload);
		return;
	}
	call->is_home = true;
	call->origin = from;
	call->origin_ref = msg->u.forward.ref;
	call->call = *forwarded;
	begin_home(c, call, home_of(c, forwarded));
}

void ws_core_home_answer(struct ws_core *c, uint64_t ref,
			 const struct ws_answer *answer)
{
	struct core_call *call = ws_core_find_call(c, ref & ~HOME_REF_FLAG);

	if (!call || call->state != CALL_HOME_SENT) {
		ws_core_release(c, answer->payload);
		return;
	}
	if (!try_next_home(c, call, answer))
		end_call(c, call, answer);
}

/* ===== Periodic work ===== */

static void tick_home_call(struct ws_core *c, struct core_call *call)
{
	if (call->state == CALL_HOME_WAIT) {
		if (c->now >= call->wait_until && call->may_have_run)
			end_unknown(c, call);
		else if (c->now >= call->wait_until)
			end_not_run(c, call, WS_ERR_NO_TARGET);
		else
			find_home(c, call);
	} else if (call->state == CALL_HOME_SENT &&
		   c->now > call->call.deadline + HOME_ANSWER_GRACE) {
		end_unknown(c, call);
	}
}

/* True if a call stays in home_calls. */
static bool waits_for_home(const struct core_call *call)
{
	return call &&
	       (call->state == CALL_HOME_WAIT || call->state == CALL_HOME_SENT);
}

void ws_core_calls_tick(struct ws_core *c)
{
	size_t kept = 0;
	size_t n = c->n_home_calls;
	size_t i;

	for (i = 0; i < n; i++) {
		uint64_t id = c->home_calls[i];
		struct core_call *call = ws_core_find_call(c, id);

		if (waits_for_home(call))
			tick_home_call(c, call);
		if (waits_for_home(ws_core_find_call(c, id)))
			c->home_calls[kept++] = id;
	}
	c->n_home_calls = kept;
}

void ws_core_calls_peer_down(struct ws_core *c, ws_id peer)
{
	size_t i;

	for (i = 0; i < c->n_home_calls; i++) {
		struct core_call *call = ws_core_find_call(c, c->home_calls[i]);

		if (call && call->state == CALL_HOME_SENT &&
		    call->sent_to == peer)
			end_unknown(c, call);
	}
}
