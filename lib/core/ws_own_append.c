#include "core/ws_own_internal.h"

/* Appends under way, and which instance makes a proposal. */

/* ===== Topics ===== */

struct own_task *own_task(struct ws_own *o, uint64_t id)
{
	size_t i;

	for (i = 0; i < o->n_tasks; i++)
		if (o->tasks[i].id == id)
			return &o->tasks[i];
	ws_grow(&o->tasks, &o->cap_tasks, o->n_tasks + 1, sizeof(*o->tasks));
	o->tasks[o->n_tasks] = (struct own_task){ .id = id };
	return &o->tasks[o->n_tasks++];
}

static void topic_done(struct ws_own *o, uint64_t id)
{
	size_t i;

	for (i = 0; i < o->n_tasks; i++)
		if (o->tasks[i].id == id && o->tasks[i].appends_in_flight)
			o->tasks[i].appends_in_flight--;
}

static uint64_t weight(uint64_t topic, ws_id instance)
{
	return ws_mix(topic, instance);
}

unsigned own_task_rank(const struct ws_own *o, const struct ws_view *view,
		       uint64_t topic)
{
	uint64_t mine = weight(topic, o->self);
	unsigned rank = 0;
	size_t i;

	for (i = 0; i < view->n_instances; i++) {
		const struct ws_instance *x = &view->instances[i];

		if (x->id != o->self && ws_view_eligible(view, x) &&
		    weight(topic, x->id) > mine)
			rank++;
	}
	return rank < OWN_RANK_MAX ? rank : OWN_RANK_MAX;
}

/* ===== Appends ===== */

uint64_t own_append(struct ws_own *o, struct ws_fx *fx, struct ws_record *rec)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_APPEND);

	rec->uid = ws_rand_next(&o->rand);
	rec->writer = o->self;
	rec->wall_ms = o->wall_ms;
	e->u.append = ws_alloc(1, sizeof(*rec));
	*e->u.append = *rec;
	return rec->uid;
}

void own_append_for_task(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 struct own_task *t, struct ws_record *rec)
{
	ws_grow(&o->appends, &o->cap_appends, o->n_appends + 1,
		sizeof(*o->appends));
	o->appends[o->n_appends++] = (struct own_append){
		.uid = own_append(o, fx, rec),
		.topic = t->id,
		.appended_at = now,
	};
	t->appends_in_flight++;
}

static void append_forget(struct ws_own *o, size_t i)
{
	topic_done(o, o->appends[i].topic);
	o->appends[i] = o->appends[--o->n_appends];
}

void own_append_applied(struct ws_own *o, uint64_t uid)
{
	size_t i;

	for (i = 0; uid && i < o->n_appends; i++) {
		if (o->appends[i].uid != uid)
			continue;
		append_forget(o, i);
		return;
	}
}

void own_append_expire(struct ws_own *o, ws_us now)
{
	size_t i;

	for (i = o->n_appends; i-- > 0;)
		if (now - o->appends[i].appended_at >= OWN_APPEND_TIMEOUT)
			append_forget(o, i);
}

/*
 * A success is taken from the log when the record is folded. An append of
 * unknown outcome is repeated after OWN_APPEND_TIMEOUT, a failed one earlier;
 * the expected fences make a second record harmless.
 */
void ws_own_append_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
			uint64_t uid, int error, bool unknown)
{
	size_t i;

	(void)fx;
	if (!ws_is_error(error) || unknown)
		return;
	for (i = 0; i < o->n_appends; i++)
		if (o->appends[i].uid == uid)
			o->appends[i].appended_at = now - OWN_APPEND_TIMEOUT +
						    OWN_APPEND_RETRY_DELAY;
}
