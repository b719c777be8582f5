#include "core/ws_core_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Entry point of the core: passes each event to its module and processes the
 * effects that modules address to one another.
 */

/* Period of proposals, freshness rounds and lease renewal. */
#define OWN_PERIOD (50 * WS_MS)

/* Period of checks for silent members. */
#define MEMBER_PERIOD (50 * WS_MS)

/* Period at which expired request ids and strikes are removed. */
#define EXPIRY_PERIOD WS_SECOND

/* Longer than the delay of a message between instances. */
#define DRAIN_LINGER (500 * WS_MS)

/* Exceeded only if modules trigger each other's effects in a cycle. */
#define STEP_EFFECTS_MAX 1000000

/* ===== Helpers for all ws_core*.c ===== */

struct ws_msg *ws_core_send(struct ws_core *c, ws_id to, uint8_t kind)
{
	struct ws_effect *e = ws_fx_add(c->out, WS_FX_SEND);

	e->u.send.to = to;
	e->u.send.msg.kind = kind;
	c->counters.messages_out++;
	return &e->u.send.msg;
}

void ws_core_release(struct ws_core *c, ws_payload payload)
{
	struct ws_effect *e;

	if (!payload)
		return;
	e = ws_fx_add(c->out, WS_FX_RELEASE);
	e->u.release.payload = payload;
}

void ws_core_retain(struct ws_core *c, ws_payload payload)
{
	struct ws_effect *e;

	if (!payload)
		return;
	e = ws_fx_add(c->out, WS_FX_RETAIN);
	e->u.release.payload = payload;
}

/* ===== Partitions ===== */

/* Updates the holders from which ws_adm requests tokens. */
static void update_holders(struct ws_core *c)
{
	ws_id holder[WS_PARTITIONS_MAX];
	struct ws_res res = { .kind = WS_RES_PARTITION };
	const struct ws_instance *in;
	size_t n = c->bundle ? c->bundle->partitions : 0;
	size_t i;

	c->n_live_partitions = 0;
	for (i = 0; i < n; i++) {
		const struct ws_assignment *a;

		res.item = i;
		a = ws_own_find(c->own, &res);
		holder[i] = a && a->active ? a->holder.id : 0;
		in = ws_view_instance(ws_core_member_view(c), holder[i]);
		c->n_live_partitions += in && in->alive;
	}
	ws_adm_set_holders(c->adm, holder, n);
}

static void update_partitions(struct ws_core *c)
{
	uint32_t index[WS_PARTITIONS_MAX];
	ws_offset fence[WS_PARTITIONS_MAX];
	struct ws_res res = { .kind = WS_RES_PARTITION };
	size_t n;
	size_t i;

	update_holders(c);
	n = ws_own_held_partitions(c->own, index, WS_PARTITIONS_MAX);
	for (i = 0; i < n; i++) {
		res.item = index[i];
		fence[i] = ws_own_find(c->own, &res)->fence;
	}
	ws_adm_set_partitions(c->adm, c->now, index, fence, n,
			      ws_own_fresh_until(c->own));
}

/* ===== Periodic work ===== */

static void own_timer(void *arg, ws_us now)
{
	struct ws_core *c = arg;

	ws_own_tick(c->own, ws_core_fx(c), now, c->wall_ms,
		    ws_core_member_view(c));
	ws_core_update_dispatched(c);
	update_partitions(c);
}

/* Logs when the error of the wall clock exceeds its bound. */
static void check_clock(struct ws_core *c)
{
	int64_t error_ms = ws_member_clock_error_ms(c->member);
	bool off = error_ms > WS_CLOCK_ERROR_MAX_MS ||
		   error_ms < -WS_CLOCK_ERROR_MAX_MS;

	if (off && !c->clock_off)
		ws_fx_log(c->out, WS_LOG_CLOCK_OFF, c->conf.self, error_ms, 0);
	c->clock_off = off;
}

static void member_timer(void *arg, ws_us now)
{
	struct ws_core *c = arg;

	check_clock(c);
	ws_member_tick(c->member, c->out, now, c->watched, c->n_watched);
}

static void heartbeat_timer(void *arg, ws_us now)
{
	struct ws_core *c = arg;
	struct ws_member_self self = {
		.next_offset = ws_own_next_offset(c->own),
		.bundle_version = c->bundle ? c->bundle->version : 0,
		.ready = ws_core_ready(c, now),
		.leaving = c->draining,
	};

	ws_member_send_heartbeat(c->member, c->out, now, c->wall_ms, &self,
				 c->watched, c->n_watched);
}

static void probe_timer(void *arg, ws_us now)
{
	struct ws_core *c = arg;
	size_t i;

	(void)now;
	for (i = 0; i < c->n_watched; i++) {
		struct ws_effect *e = ws_fx_add(c->out, WS_FX_PROBE);

		e->u.probe.target = c->watched[i];
	}
}

static void expiry_timer(void *arg, ws_us now)
{
	struct ws_core *c = arg;

	ws_idem_tick(c->idem, ws_core_fx(c), now, c->wall_ms);
	ws_quar_tick(c->quar, now);
}

/* True if no resource is held and no request is in progress. */
static bool is_idle(const struct ws_core *c)
{
	return !c->n_calls && !c->n_delayed_appends &&
	       !ws_disp_count(c->disp) && ws_own_drained(c->own);
}

/*
 * Peers may have sent requests before they learned of the handover. These are
 * answered as not run during DRAIN_LINGER, before the shutdown completes.
 */
static void check_drained(struct ws_core *c)
{
	if (!c->draining || c->drained)
		return;
	if (!is_idle(c)) {
		c->idle_since = 0;
		return;
	}
	if (!c->idle_since)
		c->idle_since = c->now;
	if (c->now - c->idle_since < DRAIN_LINGER)
		return;
	c->drained = true;
	ws_fx_add(c->out, WS_FX_DRAINED);
}

static void tick(struct ws_core *c)
{
	ws_timer_run(c->timers, c->now);
	if (c->member_dirty) {
		c->member_dirty = false;
		own_timer(c, c->now);
	}
	ws_adm_tick(c->adm, ws_core_fx(c), c->now, ws_core_member_view(c));
	ws_core_dispatch_tick(c);
	ws_core_calls_tick(c);
	ws_core_log_tick(c);
	check_drained(c);
}

/* ===== Lifecycle ===== */

static size_t power_of_two_above(size_t n)
{
	size_t p = 16;

	while (p < n)
		p *= 2;
	return p;
}

static void new_modules(struct ws_core *c)
{
	const struct ws_core_conf *conf = &c->conf;
	struct ws_route_conf route = {
		.self = conf->self,
		.seed = ws_mix(conf->seed, 2),
		.pick = conf->pick,
		.hedge = conf->hedge,
		.max_calls = conf->max_calls,
	};
	struct ws_disp_conf disp = {
		.self = conf->self,
		.max_queued = conf->max_queued,
	};

	c->member = ws_member_new(conf->self, conf->zone, &conf->name,
				  &conf->address);
	c->own = ws_own_new(conf->self, ws_mix(conf->seed, 1));
	c->adm = ws_adm_new(conf->self, ws_mix(conf->seed, 3));
	c->idem = ws_idem_new(conf->max_idem, conf->max_calls);
	c->quar = ws_quar_new(conf->max_idem);
	c->route = ws_route_new(&route);
	c->disp = ws_disp_new(&disp);
}

static void start_timers(struct ws_core *c)
{
	ws_timer_every(c->timers, 0, MEMBER_PERIOD, member_timer, c);
	ws_timer_every(c->timers, 0, OWN_PERIOD, own_timer, c);
	ws_timer_every(c->timers, 0, WS_HEARTBEAT_PERIOD, heartbeat_timer, c);
	ws_timer_every(c->timers, 0, WS_PROBE_PERIOD, probe_timer, c);
	ws_timer_every(c->timers, 0, EXPIRY_PERIOD, expiry_timer, c);
}

struct ws_core *ws_core_new(const struct ws_core_conf *conf)
{
	struct ws_core *c = ws_alloc(1, sizeof(*c));

	c->conf = *conf;
	c->cap_calls = power_of_two_above(conf->max_calls * 2);
	c->calls = ws_alloc(c->cap_calls, sizeof(*c->calls));
	c->timers = ws_timer_new();
	new_modules(c);
	start_timers(c);
	return c;
}

static void free_modules(struct ws_core *c)
{
	ws_member_free(c->member);
	ws_own_free(c->own);
	ws_adm_free(c->adm);
	ws_idem_free(c->idem);
	ws_quar_free(c->quar);
	ws_route_free(c->route);
	ws_disp_free(c->disp);
	ws_timer_free(c->timers);
}

void ws_core_free(struct ws_core *c)
{
	size_t i;

	if (!c)
		return;
	free_modules(c);
	for (i = 0; i < c->n_pending_records; i++)
		ws_record_clear(&c->pending_records[i]);
	for (i = 0; i < c->n_delayed_appends; i++) {
		ws_record_clear(c->delayed_appends[i].record);
		free(c->delayed_appends[i].record);
	}
	ws_fx_free(&c->step_fx);
	ws_bundle_unref(c->bundle);
	free(c->pending_records);
	free(c->delayed_appends);
	free(c->calls);
	free(c->home_calls);
	free(c->forwards);
	free(c->remote_attempts);
	free(c->deferred);
	free(c->watched);
	free(c->takeovers);
	free(c);
}

/* ===== Messages ===== */

static void handle_strike(struct ws_core *c, uint64_t fingerprint,
			  uint64_t strike_id)
{
	bool was_quarantined =
		ws_quar_is_quarantined(c->quar, c->now, fingerprint);

	ws_quar_strike(c->quar, c->now, fingerprint, strike_id);
	if (!was_quarantined &&
	    ws_quar_is_quarantined(c->quar, c->now, fingerprint))
		ws_fx_log(c->out, WS_LOG_QUARANTINE, fingerprint, 0, 0);
}

static void handle_forward(struct ws_core *c, ws_id from,
			   const struct ws_msg *msg)
{
	if (msg->u.forward.stage == WS_STAGE_HOME)
		ws_core_forward_home(c, from, msg);
	else
		ws_core_forward_dispatch(c, from, msg);
}

static void handle_message(struct ws_core *c, ws_id from,
			   const struct ws_msg *msg)
{
	struct ws_fx *fx = ws_core_fx(c);
	const struct ws_view *v = ws_core_member_view(c);

	c->counters.messages_in++;
	switch (msg->kind) {
	case WS_MSG_HEARTBEAT:
		ws_member_on_heartbeat(c->member, c->out, c->now, c->wall_ms,
				       from, msg);
		break;
	case WS_MSG_TAIL:
		ws_core_log_tail(c, msg);
		break;
	case WS_MSG_FRESH_ASK:
	case WS_MSG_FRESH_ANSWER:
	case WS_MSG_TAIL_ASK:
		ws_own_handle_message(c->own, fx, c->now, from, msg, v);
		break;
	case WS_MSG_TOKEN_ASK:
	case WS_MSG_TOKEN_GIVE:
		ws_adm_msg(c->adm, fx, c->now, from, msg, v);
		break;
	case WS_MSG_FORWARD:
		handle_forward(c, from, msg);
		break;
	case WS_MSG_ANSWER:
		ws_core_answer(c, msg);
		break;
	case WS_MSG_CANCEL:
		ws_disp_cancel(c->disp, fx, c->now, from, msg->u.cancel.ref);
		break;
	case WS_MSG_STRIKE:
		handle_strike(c, msg->u.strike.fingerprint,
			      msg->u.strike.strike_id);
		break;
	case WS_MSG_HANDOVER:
		ws_idem_msg(c->idem, fx, c->now, from, msg);
		break;
	default:
		break;
	}
}

static void peer_down(struct ws_core *c, ws_id peer)
{
	ws_core_dispatch_peer_down(c, peer);
	ws_core_calls_peer_down(c, peer);
}

/* ===== Effects between modules ===== */

static void broadcast_strike(struct ws_core *c, const struct ws_effect *e)
{
	struct ws_msg *msg;

	handle_strike(c, e->u.strike.fingerprint, e->u.strike.strike_id);
	msg = ws_core_send(c, 0, WS_MSG_STRIKE);
	msg->u.strike.fingerprint = e->u.strike.fingerprint;
	msg->u.strike.strike_id = e->u.strike.strike_id;
}

/* Moves an effect to the shell's list, with the memory that it owns. */
static void move_to_shell(struct ws_core *c, struct ws_effect *e)
{
	struct ws_effect *out = ws_fx_add(c->out, e->kind);

	if (e->kind == WS_FX_SEND)
		c->counters.messages_out++;
	*out = *e;
	e->kind = 0;
}

static void handle_module_effect(struct ws_core *c, const struct ws_effect *e)
{
	switch (e->kind) {
	case WS_FX_ADMITTED:
		ws_core_admitted(c, e);
		break;
	case WS_FX_ADMIT_REFUSED:
		ws_core_admit_refused(c, e);
		break;
	case WS_FX_HOME_RUN:
		ws_core_home_run(c, e);
		break;
	case WS_FX_HOME_DONE:
		ws_core_home_done(c, e);
		break;
	case WS_FX_ROUTE_SEND:
		ws_core_route_send(c, e);
		break;
	case WS_FX_ROUTE_CANCEL:
		ws_core_route_cancel(c, e);
		break;
	case WS_FX_ROUTE_DONE:
		ws_core_route_done(c, e);
		break;
	case WS_FX_DISP_SEND:
		ws_core_disp_send(c, e);
		break;
	case WS_FX_DISP_DONE:
		ws_core_disp_done(c, e);
		break;
	case WS_FX_STRIKE:
		broadcast_strike(c, e);
		break;
	default:
		break;
	}
}

/* Processes effects in order, including those that this adds. */
static void process_effects(struct ws_core *c)
{
	size_t i;

	for (i = 0; i < c->step_fx.n; i++) {
		struct ws_effect e = c->step_fx.items[i];

		WS_INVARIANT(i < STEP_EFFECTS_MAX);
		if (e.kind == WS_FX_APPEND) {
			c->step_fx.items[i].kind = 0;
			ws_core_append(c, e.u.append);
		} else if (e.kind < WS_FX_ADMITTED) {
			move_to_shell(c, &c->step_fx.items[i]);
		} else {
			handle_module_effect(c, &e);
		}
	}
	ws_fx_clear(&c->step_fx);
}

/* ===== Events ===== */

static void handle_probe_result(struct ws_core *c, const struct ws_event *ev)
{
	ws_member_on_probe(c->member, c->out, c->now, ev);
	ws_disp_probe_result(c->disp, ws_core_fx(c), c->now,
			     ev->u.probed.target, ev->u.probed.ok,
			     ev->u.probed.incarnation, ev->u.probed.ready,
			     ev->u.probed.load);
}

static void drain(struct ws_core *c)
{
	if (c->draining)
		return;
	c->draining = true;
	ws_own_start_drain(c->own);
	ws_fx_log(c->out, WS_LOG_DRAINING, c->conf.self, 0, 0);
	heartbeat_timer(c, c->now);
}

static void handle_event(struct ws_core *c, const struct ws_event *ev)
{
	struct ws_fx *fx = ws_core_fx(c);

	switch (ev->kind) {
	case WS_EV_TICK:
		tick(c);
		break;
	case WS_EV_LOG_READ:
		ws_core_log_read(c, ev);
		break;
	case WS_EV_LOG_FAILED:
		ws_core_log_failed(c);
		break;
	case WS_EV_APPENDED:
		ws_core_appended(c, ev->u.appended.uid, ev->u.appended.offset,
				 WS_OK, false);
		break;
	case WS_EV_APPEND_FAILED:
		ws_core_appended(c, ev->u.append_failed.uid, 0, WS_ERR_LOG,
				 ev->u.append_failed.unknown);
		break;
	case WS_EV_LIST:
		ws_member_update_list(c->member, c->out, c->now,
				      ev->u.list.entries, ev->u.list.n_entries);
		break;
	case WS_EV_PEER_MSG:
		handle_message(c, ev->u.peer.from, ev->u.peer.msg);
		break;
	case WS_EV_PEER_DOWN:
		peer_down(c, ev->u.peer.from);
		break;
	case WS_EV_PROBED:
		handle_probe_result(c, ev);
		break;
	case WS_EV_GRANTED:
		ws_own_grant_done(c->own, fx, c->now, ev->u.granted.target,
				  ev->u.granted.as_of, ev->u.granted.ok);
		break;
	case WS_EV_REQUEST:
		ws_core_request(c, ev);
		break;
	case WS_EV_REQUEST_GONE:
		ws_core_request_gone(c, ev->u.request.id);
		break;
	case WS_EV_ATTEMPT_DONE:
		ws_disp_attempt_done(c->disp, fx, c->now, ev->u.attempt.attempt,
				     &ev->u.attempt.result);
		break;
	case WS_EV_PUBLISH:
		ws_core_publish(c, ev);
		break;
	case WS_EV_DRAIN:
		drain(c);
		break;
	default:
		break;
	}
}

void ws_core_step(struct ws_core *c, const struct ws_event *ev,
		  struct ws_fx *fx)
{
	WS_INVARIANT(ev->now >= c->now);
	c->now = ev->now;
	c->wall_ms = ev->wall_ms;
	c->out = fx;
	handle_event(c, ev);
	process_effects(c);
	/* Applied records may change the dispatchers; apply that at once. */
	if (c->member_dirty && ev->kind != WS_EV_TICK) {
		c->member_dirty = false;
		own_timer(c, c->now);
		process_effects(c);
	}
	c->out = NULL;
}

/* ===== Accessors ===== */

const struct ws_counters *ws_core_counters(const struct ws_core *c)
{
	return &c->counters;
}

const struct ws_view *ws_core_view(const struct ws_core *c)
{
	return ws_core_member_view(c);
}

const struct ws_own *ws_core_own(const struct ws_core *c)
{
	return c->own;
}

const struct ws_adm *ws_core_adm(const struct ws_core *c)
{
	return c->adm;
}

const struct ws_disp *ws_core_disp(const struct ws_core *c)
{
	return c->disp;
}

const struct ws_idem *ws_core_idem(const struct ws_core *c)
{
	return c->idem;
}

bool ws_core_ready(const struct ws_core *c, ws_us now)
{
	const struct ws_zone *z = ws_bundle_zone(c->bundle, c->conf.zone);

	return z && z->in_service && !c->draining &&
	       ws_core_has_partition_majority(c) &&
	       now < ws_own_fresh_until(c->own);
}
