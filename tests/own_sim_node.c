#include "own_sim_internal.h"

#include <stdlib.h>
#include <string.h>

/* ===== Nodes ===== */

static void update_member_list(struct sim *s, struct node *n)
{
	struct ws_list_entry list[SIM_NODES_MAX + SIM_TARGETS_MAX];
	struct ws_fx fx = { 0 };
	size_t k = 0;
	int i;

	memset(list, 0, sizeof(list));
	for (i = 0; i < s->n_nodes; i++) {
		if (!s->nodes[i].up)
			continue;
		list[k].id = s->nodes[i].id;
		list[k++].zone = (ws_id)s->nodes[i].zone + 1;
	}
	for (i = 0; i < s->n_targets; i++) {
		list[k].is_target = true;
		list[k].id = s->targets[i].id;
		list[k].zone = (ws_id)s->targets[i].zone + 1;
		list[k].service = s->services[s->targets[i].service].id;
		list[k++].leaving = s->targets[i].leaving;
	}
	ws_member_update_list(n->member, &fx, sim_node_clock(s, n), list, k);
	ws_fx_free(&fx);
}

void sim_node_start(struct sim *s, struct node *n)
{
	static const struct ws_name name;

	ws_own_free(n->own);
	ws_member_free(n->member);
	n->id = 1000 + ++s->next_id;
	n->own = ws_own_new(n->id, ws_rand_next(&s->rand));
	n->member = ws_member_new(n->id, (ws_id)n->zone + 1, &name, &name);
	ws_member_set_bundle(n->member, &s->bundle);
	n->up = true;
	n->draining = false;
	n->log_read_pending = false;
	n->paused_until = 0;
	n->n_watched = 0;
	n->offset = (ws_us)sim_random(s, 1000000) * WS_MS;
	n->ppm = (int64_t)sim_random(s, 8000) - 4000;
	n->next_tick = s->now + (ws_us)sim_random(s, 10) * WS_MS;
	n->next_heartbeat = n->next_tick;
	n->next_probe = n->next_tick;
	n->next_list = n->next_tick;
}

static void send_to_node(struct sim *s, const struct node *from,
			 const struct node *to, const struct ws_msg *msg)
{
	struct ev *e;

	if (!sim_zones_connected(s, from->zone, to->zone))
		return;
	if (sim_chance(s, 15)) {
		sim_fault(s, SIM_MSG_LOST);
		return;
	}
	e = sim_push_from(s, to, EV_MSG, sim_message_delay(s));
	e->from = from->id;
	ws_msg_copy(&e->msg, msg);
	if (!sim_chance(s, 10))
		return;
	sim_fault(s, SIM_MSG_DUPLICATE);
	e = sim_push_from(s, to, EV_MSG, sim_message_delay(s));
	e->from = from->id;
	ws_msg_copy(&e->msg, msg);
}

static void send_msg(struct sim *s, const struct node *from, ws_id to,
		     const struct ws_msg *msg)
{
	int i;

	for (i = 0; i < s->n_nodes; i++) {
		const struct node *n = &s->nodes[i];

		if (n->up && n != from && (!to || to == n->id))
			send_to_node(s, from, n, msg);
	}
}

/*
 * Sends an append. The record may reach the log late, and its reply may be
 * lost.
 */
static void send_append(struct sim *s, const struct node *n,
			struct ws_effect *fx)
{
	bool reach = sim_log_reachable(s, n->zone);
	bool late = sim_chance(s, 60);
	bool lost = sim_chance(s, 60);
	ws_us d = sim_message_delay(s) + 2 * WS_MS;
	struct ev *e;

	if (late) {
		sim_fault(s, SIM_APPEND_DELAYED);
		d += (ws_us)sim_random(s, 4000) * WS_MS;
	}
	e = sim_push_from(s, n, EV_APPENDED,
			  late || !reach ? 500 * WS_MS : d * 2);
	e->uid = fx->u.append->uid;
	e->ok = reach && !late && !lost;
	e->unknown = late || lost || sim_chance(s, 500);
	if (lost)
		sim_fault(s, SIM_REPLY_LOST);
	if (!reach && !late)
		return;
	e = sim_push(s, EV_APPEND, s->now + d);
	e->rec = fx->u.append;
	fx->u.append = NULL;
}

static void send_grant(struct sim *s, const struct node *n,
		       struct ws_effect *fx)
{
	struct target *t = sim_find_target(s, fx->u.grant.target);
	struct ev *e = sim_push_from(s, n, EV_GRANT, sim_message_delay(s));

	e->target = (int)(t - s->targets);
	e->grant = *fx;
	e->timeout_at = s->now + 400 * WS_MS;
	fx->u.grant.items = NULL;
}

static void perform_effects(struct sim *s, struct node *n, struct ws_fx *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++) {
		struct ws_effect *e = &fx->items[i];

		if (e->kind == WS_FX_SEND)
			send_msg(s, n, e->u.send.to, &e->u.send.msg);
		else if (e->kind == WS_FX_APPEND)
			send_append(s, n, e);
		else if (e->kind == WS_FX_GRANT)
			send_grant(s, n, e);
	}
	ws_fx_free(fx);
}

static bool is_watched(const struct node *n, ws_id id)
{
	size_t i;

	for (i = 0; i < n->n_watched; i++)
		if (n->watched[i] == id)
			return true;
	return false;
}

/*
 * Updates the probed targets: a dispatcher probes a target from its assignment
 * on, even before activation.
 */
static void update_watched(struct sim *s, struct node *n)
{
	ws_id list[SIM_TARGETS_MAX];
	size_t k = 0;
	int i;

	for (i = 0; i < s->n_targets; i++) {
		struct ws_res res = { .kind = WS_RES_DISPATCH,
				      .item = s->targets[i].id };
		const struct ws_assignment *a = ws_own_find(n->own, &res);

		if (!a || a->holder.id != n->id)
			continue;
		if (!is_watched(n, res.item))
			ws_member_watch(n->member, sim_node_clock(s, n),
					res.item);
		list[k++] = res.item;
	}
	memcpy(n->watched, list, sizeof(list));
	n->n_watched = k;
}

static void probe_all(struct sim *s, struct node *n)
{
	size_t i;

	for (i = 0; i < n->n_watched; i++) {
		struct target *t = sim_find_target(s, n->watched[i]);
		struct ev *e =
			sim_push_from(s, n, EV_PROBE, sim_message_delay(s));

		e->target = (int)(t - s->targets);
		e->timeout_at = s->now + 400 * WS_MS;
	}
}

static void read_log(struct sim *s, struct node *n)
{
	struct ev *e = sim_push_from(s, n, EV_LOG_READ, sim_message_delay(s));

	n->log_read_pending = true;
	e->started = sim_node_clock(s, n);
	e->first_offset = ws_own_next_offset(n->own);
	e->timeout_at = e->at + 200 * WS_MS;
}

static void heartbeat(struct sim *s, struct node *n, struct ws_fx *fx)
{
	struct ws_member_self self = { .next_offset =
					       ws_own_next_offset(n->own),
				       .leaving = n->draining };

	ws_member_send_heartbeat(n->member, fx, sim_node_clock(s, n),
				 s->now / WS_MS, &self, n->watched,
				 n->n_watched);
}

/*
 * Adds work on a key if this node may send its requests to target t. Returns
 * the work in milliseconds.
 */
static unsigned add_key_work(struct sim *s, struct node *n, uint64_t key,
			     const struct target *t, ws_us work)
{
	const struct ws_service *svc = &s->services[0];
	const struct ws_assignment *a = ws_own_find_key_owner(n->own, svc, key);

	if (!a || a->holder.id != t->id ||
	    !sim_may_send(s, n, 0, key, t, a->fence))
		return 0;
	ws_own_add_work(n->own, svc->id, key, ws_bundle_shard(svc, key), work);
	return (unsigned)(work / WS_MS);
}

/*
 * Simulates the work of one target: each loaded key keeps nine requests in
 * flight, other keys cause one now and then.
 */
static void add_target_work(struct sim *s, struct node *n,
			    const struct target *t)
{
	struct ws_load load = { .target = t->id };
	unsigned sum = 0;
	int i;

	for (i = 0; i < 2; i++)
		if (s->loaded_keys[i])
			sum += add_key_work(s, n, s->loaded_keys[i], t,
					    90 * WS_MS);
	for (i = 0; i < 2 * SIM_SHARDS; i++)
		sum += add_key_work(s, n, 5000 + sim_random(s, 5000), t,
				    5 * WS_MS);
	load.in_flight = (uint16_t)((sum + 5) / 10);
	ws_member_set_load(n->member, &load);
}

void sim_node_tick(struct sim *s, struct node *n)
{
	struct ws_fx fx = { 0 };
	ws_us t = sim_node_clock(s, n);
	size_t i;

	n->next_tick = s->now + 10 * WS_MS;
	if (s->now >= n->next_list &&
	    s->now >= s->platform_cut_until[n->zone]) {
		n->next_list = s->now + 500 * WS_MS;
		update_member_list(s, n);
	}
	update_watched(s, n);
	if (s->now >= n->next_probe) {
		n->next_probe = s->now + WS_PROBE_PERIOD;
		probe_all(s, n);
	}
	if (s->now >= n->next_heartbeat) {
		n->next_heartbeat = s->now + WS_HEARTBEAT_PERIOD;
		heartbeat(s, n, &fx);
	}
	ws_member_tick(n->member, &fx, t, n->watched, n->n_watched);
	if (s->loaded_keys[0])
		for (i = 0; i < n->n_watched; i++)
			add_target_work(s, n,
					sim_find_target(s, n->watched[i]));
	ws_own_tick(n->own, &fx, t, s->now / WS_MS, ws_member_view(n->member));
	perform_effects(s, n, &fx);
	if (!n->log_read_pending)
		read_log(s, n);
}

/* ===== Events at nodes ===== */

static void apply_tail(struct node *n, struct ws_fx *fx, ws_us t,
		       const struct ws_msg *msg)
{
	size_t i;

	for (i = 0; i < msg->u.tail.n_records; i++) {
		const struct ws_record *r = &msg->u.tail.records[i];

		if (r->kind == WS_REC_SNAPSHOT && !i &&
		    r->target_offset > ws_own_next_offset(n->own))
			ws_own_load_snapshot(n->own, fx, t, r);
		else if (r->offset == ws_own_next_offset(n->own))
			ws_own_apply_record(n->own, fx, t, r);
	}
}

static void handle_message(struct sim *s, struct node *n, struct ev *e,
			   struct ws_fx *fx)
{
	ws_us t = sim_node_clock(s, n);

	if (e->msg.kind == WS_MSG_HEARTBEAT)
		ws_member_on_heartbeat(n->member, fx, t, s->now / WS_MS,
				       e->from, &e->msg);
	else if (e->msg.kind == WS_MSG_TAIL)
		apply_tail(n, fx, t, &e->msg);
	else
		ws_own_handle_message(n->own, fx, t, e->from, &e->msg,
				      ws_member_view(n->member));
}

/*
 * Loads the newest usable snapshot when the log has dropped records that are
 * not applied here, as the core does.
 */
static void load_newest_snapshot(struct sim *s, struct node *n, struct ev *e,
				 struct ws_fx *fx)
{
	ws_offset off;

	for (off = e->end_offset; off-- > e->first_offset;)
		if (s->log[off].kind == WS_REC_SNAPSHOT &&
		    s->log[off].target_offset >= e->oldest &&
		    s->log[off].target_offset > ws_own_next_offset(n->own)) {
			ws_own_load_snapshot(n->own, fx, sim_node_clock(s, n),
					     &s->log[off]);
			return;
		}
}

static void handle_log_page(struct sim *s, struct node *n, struct ev *e,
			    struct ws_fx *fx)
{
	ws_us t = sim_node_clock(s, n);
	ws_offset off;

	n->log_read_pending = false;
	if (!e->ok)
		return;
	if (e->oldest > ws_own_next_offset(n->own))
		load_newest_snapshot(s, n, e, fx);
	for (off = e->first_offset; off < e->end_offset; off++)
		if (off == ws_own_next_offset(n->own))
			ws_own_apply_record(n->own, fx, t, &s->log[off]);
	if (e->unknown && ws_own_next_offset(n->own) >= e->end_offset)
		ws_own_log_read_done(n->own, fx, t, e->started, e->end_offset);
}

static void handle_probe_result(struct sim *s, struct node *n, struct ev *e,
				struct ws_fx *fx)
{
	struct ws_event ev = { .kind = WS_EV_PROBED };

	ev.u.probed.target = s->targets[e->target].id;
	ev.u.probed.ok = e->ok;
	ev.u.probed.incarnation = e->incarnation;
	ev.u.probed.target_us = e->clock;
	ev.u.probed.leaving = s->targets[e->target].leaving;
	ev.u.probed.ready = true;
	ws_member_on_probe(n->member, fx, sim_node_clock(s, n), &ev);
}

void sim_node_event(struct sim *s, struct ev *e)
{
	struct node *n = &s->nodes[e->node];
	struct ws_fx fx = { 0 };
	ws_us t = sim_node_clock(s, n);

	if (e->kind == EV_MSG)
		handle_message(s, n, e, &fx);
	else if (e->kind == EV_LOG_PAGE)
		handle_log_page(s, n, e, &fx);
	else if (e->kind == EV_APPENDED)
		ws_own_append_done(n->own, &fx, t, e->uid,
				   e->ok ? WS_OK : WS_ERR_LOG, e->unknown);
	else if (e->kind == EV_PROBED)
		handle_probe_result(s, n, e, &fx);
	else if (e->kind == EV_GRANTED)
		ws_own_grant_done(n->own, &fx, t, s->targets[e->target].id,
				  e->end_offset, e->ok);
	sim_check_table(s, n);
	perform_effects(s, n, &fx);
}
