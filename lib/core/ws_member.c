#include "core/ws_member.h"

#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"

/* Members that are not listed are removed after this time of silence. */
#define REMOVE_AFTER (30 * WS_SECOND)

struct ws_member {
	struct ws_view view;
	struct ws_bundle *bundle;
	struct ws_instance *instances;
	size_t n_instances;
	size_t cap_instances;
	struct ws_target *targets;
	size_t n_targets;
	size_t cap_targets;
};

/* ===== Lookup ===== */

/* The id is the first field of the elements of both tables. */
static int compare_id(const void *key, const void *element)
{
	ws_id a = *(const ws_id *)key;
	ws_id b = *(const ws_id *)element;

	return a < b ? -1 : a > b;
}

const struct ws_instance *ws_view_instance(const struct ws_view *v, ws_id id)
{
	if (!v->n_instances)
		return NULL;
	return bsearch(&id, v->instances, v->n_instances, sizeof(*v->instances),
		       compare_id);
}

const struct ws_target *ws_view_target(const struct ws_view *v, ws_id id)
{
	if (!v->n_targets)
		return NULL;
	return bsearch(&id, v->targets, v->n_targets, sizeof(*v->targets),
		       compare_id);
}

bool ws_view_usable(const struct ws_view *v, const struct ws_target *t)
{
	const struct ws_zone *z = ws_bundle_zone(v->bundle, t->zone);

#ifdef WS_MUTANT_ZONE_IGNORED
	return t->state == WS_STATE_LIVE && !t->leaving && z;
#endif
	return t->state == WS_STATE_LIVE && !t->leaving && z && z->in_service;
}

bool ws_view_eligible(const struct ws_view *v, const struct ws_instance *i)
{
	(void)v;
	return i->alive && !i->leaving;
}

static void refresh_view(struct ws_member *m)
{
	m->view.bundle = m->bundle;
	m->view.instances = m->instances;
	m->view.n_instances = m->n_instances;
	m->view.targets = m->targets;
	m->view.n_targets = m->n_targets;
}

/* Returns the instance with this id; inserts it in order of ids if missing. */
static struct ws_instance *get_or_add_instance(struct ws_member *m, ws_id id)
{
	size_t i = 0;

	while (i < m->n_instances && m->instances[i].id < id)
		i++;
	if (i < m->n_instances && m->instances[i].id == id)
		return &m->instances[i];
	ws_grow(&m->instances, &m->cap_instances, m->n_instances + 1,
		sizeof(*m->instances));
	memmove(&m->instances[i + 1], &m->instances[i],
		(m->n_instances - i) * sizeof(*m->instances));
	memset(&m->instances[i], 0, sizeof(*m->instances));
	m->instances[i].id = id;
	m->n_instances++;
	refresh_view(m);
	return &m->instances[i];
}

static struct ws_target *get_or_add_target(struct ws_member *m, ws_id id)
{
	size_t i = 0;

	while (i < m->n_targets && m->targets[i].id < id)
		i++;
	if (i < m->n_targets && m->targets[i].id == id)
		return &m->targets[i];
	ws_grow(&m->targets, &m->cap_targets, m->n_targets + 1,
		sizeof(*m->targets));
	memmove(&m->targets[i + 1], &m->targets[i],
		(m->n_targets - i) * sizeof(*m->targets));
	memset(&m->targets[i], 0, sizeof(*m->targets));
	m->targets[i].id = id;
	m->targets[i].state = WS_STATE_LOST;
	m->n_targets++;
	refresh_view(m);
	return &m->targets[i];
}

static struct ws_target *find_target(struct ws_member *m, ws_id id)
{
	return (struct ws_target *)ws_view_target(&m->view, id);
}

/* ===== Lifecycle ===== */

struct ws_member *ws_member_new(ws_id self, ws_id zone,
				const struct ws_name *name,
				const struct ws_name *address)
{
	struct ws_member *m = ws_alloc(1, sizeof(*m));
	struct ws_instance *i;

	m->view.self = self;
	m->view.self_zone = zone;
	i = get_or_add_instance(m, self);
	i->zone = zone;
	i->name = *name;
	i->address = *address;
	i->alive = true;
	i->reachable = true;
	return m;
}

void ws_member_free(struct ws_member *m)
{
	if (!m)
		return;
	ws_bundle_unref(m->bundle);
	free(m->instances);
	free(m->targets);
	free(m);
}

void ws_member_set_bundle(struct ws_member *m, struct ws_bundle *b)
{
	ws_bundle_ref(b);
	ws_bundle_unref(m->bundle);
	m->bundle = b;
	refresh_view(m);
}

const struct ws_view *ws_member_view(const struct ws_member *m)
{
	return &m->view;
}

/* ===== Platform list ===== */

static void update_leaving(struct ws_target *t)
{
	t->leaving = t->list_leaving || t->reports_leaving;
}

/* Applies what a target reports about itself in its current incarnation. */
static void apply_target_report(struct ws_target *t, uint64_t incarnation,
				bool leaving)
{
	t->incarnation = incarnation;
	t->reports_leaving = leaving;
	update_leaving(t);
}

static void update_listed_instance(struct ws_member *m,
				   const struct ws_list_entry *e)
{
	struct ws_instance *i = get_or_add_instance(m, e->id);

	i->listed = true;
	if (e->id == m->view.self)
		return;
	i->zone = e->zone;
	i->name = e->name;
	i->address = e->address;
	i->leaving = i->leaving || e->leaving;
}

static void update_listed_target(struct ws_member *m,
				 const struct ws_list_entry *e)
{
	struct ws_target *t = get_or_add_target(m, e->id);

	t->listed = true;
	t->service = e->service;
	t->zone = e->zone;
	t->name = e->name;
	t->address = e->address;
	t->list_leaving = e->leaving;
}

void ws_member_update_list(struct ws_member *m, struct ws_fx *fx, ws_us now,
			   const struct ws_list_entry *entries, size_t n)
{
	size_t i;

	(void)fx;
	(void)now;
	for (i = 0; i < m->n_instances; i++)
		m->instances[i].listed = false;
	for (i = 0; i < m->n_targets; i++)
		m->targets[i].listed = false;
	for (i = 0; i < n; i++) {
		if (entries[i].is_target)
			update_listed_target(m, &entries[i]);
		else
			update_listed_instance(m, &entries[i]);
	}
	/* A target that is no longer listed gets no new requests. */
	for (i = 0; i < m->n_targets; i++) {
		if (!m->targets[i].listed)
			m->targets[i].list_leaving = true;
		update_leaving(&m->targets[i]);
	}
}

/* ===== Heartbeats ===== */

static void apply_health(struct ws_member *m, struct ws_fx *fx, ws_us now,
			 const struct ws_target_health *h)
{
	struct ws_target *t = find_target(m, h->target);
	uint8_t before;

	if (!t)
		return;
	before = t->state;
	t->state = h->state == WS_STATE_LOST ? WS_STATE_LOST : WS_STATE_LIVE;
	apply_target_report(t, h->incarnation, h->reports_leaving);
	t->load = h->load;
	if (t->state == WS_STATE_LIVE)
		t->last_probed = now;
	if (before != t->state)
		ws_fx_log(fx,
			  t->state == WS_STATE_LIVE ? WS_LOG_TARGET_LIVE :
						      WS_LOG_TARGET_LOST,
			  t->id, 0, 0);
}

/*
 * A peer still hears an instance that may be cut off from this one. The age of
 * its last heartbeat is included, so that its loss is noticed no later here
 * than by the peer.
 */
static void apply_heard(struct ws_member *m, ws_us now,
			const struct ws_heard *h)
{
	struct ws_instance *i =
		(struct ws_instance *)ws_view_instance(&m->view, h->id);
	ws_us when = now - (ws_us)h->age_ms * WS_MS;

	if (!i || h->id == m->view.self || when <= i->last_heard)
		return;
	i->last_heard = when;
	if (now - when <= WS_INSTANCE_SUSPECT_AFTER)
		i->alive = true;
}

void ws_member_on_heartbeat(struct ws_member *m, struct ws_fx *fx, ws_us now,
			    int64_t wall_ms, ws_id from,
			    const struct ws_msg *msg)
{
	struct ws_instance *i;
	size_t k;

	if (from == m->view.self)
		return;
	i = get_or_add_instance(m, from);
	if (!i->alive)
		ws_fx_log(fx, WS_LOG_INSTANCE_SEEN, from, 0, 0);
	i->alive = true;
	i->reachable = true;
	i->last_heard = now;
	i->last_heard_direct = now;
	i->zone = msg->u.heartbeat.zone;
	i->next_offset = msg->u.heartbeat.next_offset;
	i->bundle_version = msg->u.heartbeat.bundle_version;
	i->ready = msg->u.heartbeat.ready;
	i->leaving = i->leaving || msg->u.heartbeat.leaving;
	i->wall_offset_ms = msg->u.heartbeat.wall_ms - wall_ms;
	for (k = 0; k < msg->u.heartbeat.n_heard; k++)
		apply_heard(m, now, &msg->u.heartbeat.heard[k]);
	for (k = 0; k < msg->u.heartbeat.n_health; k++)
		apply_health(m, fx, now, &msg->u.heartbeat.health[k]);
}

static struct ws_target_health health_of(const struct ws_target *t)
{
	struct ws_target_health h = {
		.target = t->id,
		.incarnation = t->incarnation,
		.state = t->state,
		.reports_leaving = t->reports_leaving,
		.load = t->load,
	};

	return h;
}

/* Lists the instances heard directly; reports of peers are not forwarded. */
static void fill_heard(const struct ws_member *m, ws_us now, struct ws_msg *msg)
{
	struct ws_heard *h = ws_alloc(m->n_instances, sizeof(*h));
	size_t i;

	msg->u.heartbeat.heard = h;
	for (i = 0; i < m->n_instances; i++) {
		const struct ws_instance *in = &m->instances[i];

		if (in->id == m->view.self || !in->reachable)
			continue;
		h[msg->u.heartbeat.n_heard++] = (struct ws_heard){
			.id = in->id,
			.age_ms = (uint32_t)((now - in->last_heard_direct) /
					     WS_MS),
		};
	}
}

void ws_member_send_heartbeat(struct ws_member *m, struct ws_fx *fx, ws_us now,
			      int64_t wall_ms,
			      const struct ws_member_self *self,
			      const ws_id *watched, size_t n_watched)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_SEND);
	struct ws_msg *msg = &e->u.send.msg;
	size_t i;

	msg->kind = WS_MSG_HEARTBEAT;
	msg->u.heartbeat.zone = m->view.self_zone;
	msg->u.heartbeat.next_offset = self->next_offset;
	msg->u.heartbeat.bundle_version = self->bundle_version;
	msg->u.heartbeat.wall_ms = wall_ms;
	msg->u.heartbeat.ready = self->ready;
	msg->u.heartbeat.leaving = self->leaving;
	fill_heard(m, now, msg);
	msg->u.heartbeat.health =
		ws_alloc(n_watched, sizeof(*msg->u.heartbeat.health));
	for (i = 0; i < n_watched; i++) {
		const struct ws_target *t =
			ws_view_target(&m->view, watched[i]);

		if (t && (t->state == WS_STATE_LIVE || t->incarnation))
			msg->u.heartbeat.health[msg->u.heartbeat.n_health++] =
				health_of(t);
	}
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

int64_t ws_member_clock_error_ms(const struct ws_member *m)
{
	int64_t *offsets = ws_alloc(m->n_instances, sizeof(*offsets));
	int64_t median;
	size_t n = 0;
	size_t i;

	/* The local clock takes part with offset 0. */
	for (i = 0; i < m->n_instances; i++)
		if (m->instances[i].alive)
			offsets[n++] = m->instances[i].wall_offset_ms;
	qsort(offsets, n, sizeof(*offsets), compare_ms);
	median = n ? offsets[n / 2] : 0;
	free(offsets);
	return -median;
}

/* ===== Probes ===== */

static void set_target_state(struct ws_fx *fx, struct ws_target *t,
			     uint8_t state)
{
	if (t->state == state)
		return;
	t->state = state;
	ws_fx_log(fx,
		  state == WS_STATE_LIVE ? WS_LOG_TARGET_LIVE :
					   WS_LOG_TARGET_LOST,
		  t->id, 0, 0);
}

void ws_member_on_probe(struct ws_member *m, struct ws_fx *fx, ws_us now,
			const struct ws_event *ev)
{
	struct ws_target *t = find_target(m, ev->u.probed.target);

	if (!t || !ev->u.probed.ok)
		return;
	t->last_probed = now;
	apply_target_report(t, ev->u.probed.incarnation, ev->u.probed.leaving);
	t->clock_local = now;
	t->clock_target_us = ev->u.probed.target_us;
	t->clock_incarnation = ev->u.probed.incarnation;
	set_target_state(fx, t, WS_STATE_LIVE);
}

void ws_member_watch(struct ws_member *m, ws_us now, ws_id target)
{
	struct ws_target *t = find_target(m, target);

	if (t)
		t->last_probed = now;
}

void ws_member_set_load(struct ws_member *m, const struct ws_load *load)
{
	struct ws_target *t = find_target(m, load->target);

	if (t)
		t->load = *load;
}

/* ===== Periodic work ===== */

static void mark_suspect_instances(struct ws_member *m, struct ws_fx *fx,
				   ws_us now)
{
	size_t i;

	for (i = 0; i < m->n_instances; i++) {
		struct ws_instance *in = &m->instances[i];

		if (in->id == m->view.self || !in->alive)
			continue;
		if (now - in->last_heard_direct > WS_INSTANCE_SUSPECT_AFTER)
			in->reachable = false;
		if (now - in->last_heard <= WS_INSTANCE_SUSPECT_AFTER)
			continue;
		in->alive = false;
		ws_fx_log(fx, WS_LOG_INSTANCE_SUSPECT, in->id, 0, 0);
	}
}

static void mark_lost_targets(struct ws_member *m, struct ws_fx *fx, ws_us now,
			      const ws_id *watched, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		struct ws_target *t = find_target(m, watched[i]);

		if (t && now - t->last_probed > WS_TARGET_SUSPECT_AFTER)
			set_target_state(fx, t, WS_STATE_LOST);
	}
}

static void remove_old_instances(struct ws_member *m, ws_us now)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < m->n_instances; i++) {
		struct ws_instance *in = &m->instances[i];
		bool gone = in->id != m->view.self && !in->listed &&
			    now - in->last_heard > REMOVE_AFTER;

		if (!gone)
			m->instances[kept++] = *in;
	}
	m->n_instances = kept;
}

static void remove_old_targets(struct ws_member *m, ws_us now)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < m->n_targets; i++) {
		struct ws_target *t = &m->targets[i];

		if (t->listed || now - t->last_probed <= REMOVE_AFTER)
			m->targets[kept++] = *t;
	}
	m->n_targets = kept;
}

void ws_member_tick(struct ws_member *m, struct ws_fx *fx, ws_us now,
		    const ws_id *watched, size_t n_watched)
{
	mark_suspect_instances(m, fx, now);
	mark_lost_targets(m, fx, now, watched, n_watched);
	remove_old_instances(m, now);
	remove_old_targets(m, now);
	refresh_view(m);
}
