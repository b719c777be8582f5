#include "core/ws_own_internal.h"

#include <stdlib.h>

/* Creation, messages and the periodic work of ws_own. */

struct ws_own *ws_own_new(ws_id self, uint64_t seed)
{
	struct ws_own *o = ws_alloc(1, sizeof(*o));

	WS_INVARIANT(self != 0);
	o->self = self;
	o->next_offset = 1;
	o->tail = ws_alloc(OWN_TAIL_RECORDS, sizeof(*o->tail));
	o->outage_limit = OWN_OUTAGE_LIMIT;
	ws_rand_seed(&o->rand, ws_mix(seed, self));
	return o;
}

void ws_own_free(struct ws_own *o)
{
	if (!o)
		return;
	own_pending_free(o);
	own_lease_free(o);
	own_tail_free(o);
	free(o->entries);
	free(o->slots);
	free(o->partitions);
	free(o->relinquished);
	free(o->pending);
	free(o->gone);
	free(o->voters);
	free(o->tasks);
	free(o->appends);
	free(o->loads);
	free(o);
}

void ws_own_handle_message(struct ws_own *o, struct ws_fx *fx, ws_us now,
			   ws_id from, const struct ws_msg *msg,
			   const struct ws_view *view)
{
	switch (msg->kind) {
	case WS_MSG_FRESH_ASK:
	case WS_MSG_FRESH_ANSWER:
		own_fresh_msg(o, fx, now, from, msg);
		break;
	case WS_MSG_TAIL_ASK:
		own_tail_answer(o, fx, from, msg->u.tail.from, view);
		break;
	default:
		break;
	}
}

/* ===== Changes of the view ===== */

static uint64_t sum_instance(uint64_t sum, const struct ws_instance *x)
{
	sum = ws_mix(sum, x->id);
	sum = ws_mix(sum, x->zone);
	return ws_mix(sum, (uint64_t)x->listed | (uint64_t)x->leaving << 1 |
				   (uint64_t)x->alive << 2);
}

static uint64_t sum_target(uint64_t sum, const struct ws_target *t)
{
	sum = ws_mix(sum, t->id);
	sum = ws_mix(sum, t->incarnation);
	sum = ws_mix(sum, t->clock_incarnation);
	return ws_mix(sum, (uint64_t)t->listed | (uint64_t)t->leaving << 1 |
				   (uint64_t)t->state << 2);
}

static void note_view(struct ws_own *o, ws_us now, const struct ws_view *view)
{
	uint64_t sum = view->bundle ? view->bundle->version : 0;
	size_t i;

	for (i = 0; i < view->n_instances; i++)
		sum = sum_instance(sum, &view->instances[i]);
	for (i = 0; i < view->n_targets; i++)
		sum = sum_target(sum, &view->targets[i]);
	if (sum == o->view_hash && o->view_changed_at)
		return;
	o->view_hash = sum;
	o->view_changed_at = now;
}

/*
 * After a start or a pause everybody seems silent; losses are believed only
 * when heartbeats have had the time to arrive.
 */
static void note_pause(struct ws_own *o, ws_us now)
{
	if (!o->ticked || now - o->last_tick > OWN_PAUSE_THRESHOLD)
		o->resumed_at = now;
	o->ticked = true;
	o->last_tick = now;
}

void ws_own_tick(struct ws_own *o, struct ws_fx *fx, ws_us now, int64_t wall_ms,
		 const struct ws_view *view)
{
	o->wall_ms = wall_ms;
	note_pause(o, now);
	note_view(o, now, view);
	own_append_expire(o, now);
	own_fresh_tick(o, fx, now, view);
	own_activate_tick(o, fx, now, view);
	own_propose_tick(o, fx, now, view);
	own_hot_tick(o, fx, now, view);
	own_move_tick(o, fx, now, view);
	own_lease_tick(o, fx, now, view);
	own_snapshot_tick(o, fx, now, view);
}
