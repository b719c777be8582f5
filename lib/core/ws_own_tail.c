#include "core/ws_own_internal.h"

#include <stdlib.h>
#include <string.h>

/* Recent records for peers that lag, and snapshots of the table. */

/* ===== Ring of recent records ===== */

static struct ws_record *tail_slot(const struct ws_own *o, ws_offset off)
{
	return &o->tail[off % OWN_TAIL_RECORDS];
}

/* Folding a snapshot needs no more than what it covers; its table is large. */
static struct ws_record without_table(const struct ws_record *rec)
{
	struct ws_record r = {
		.kind = rec->kind,
		.offset = rec->offset,
		.uid = rec->uid,
		.writer = rec->writer,
		.wall_ms = rec->wall_ms,
		.target_offset = rec->target_offset,
	};

	return rec->kind == WS_REC_SNAPSHOT ? r : *rec;
}

void own_tail_add(struct ws_own *o, const struct ws_record *rec)
{
	struct ws_record *slot = tail_slot(o, rec->offset);
	struct ws_record kept = without_table(rec);

	ws_record_clear(slot);
	ws_record_copy(slot, &kept);
	if (!o->tail_start)
		o->tail_start = rec->offset;
	if (rec->offset - o->tail_start >= OWN_TAIL_RECORDS)
		o->tail_start = rec->offset - OWN_TAIL_RECORDS + 1;
}

void own_tail_clear(struct ws_own *o)
{
	size_t i;

	for (i = 0; i < OWN_TAIL_RECORDS; i++)
		ws_record_clear(&o->tail[i]);
	o->tail_start = 0;
}

void own_tail_free(struct ws_own *o)
{
	own_tail_clear(o);
	free(o->tail);
}

/* ===== Loading a snapshot ===== */

/* Fences that this process gave up stay given up. */
static void restore_given(struct ws_own *o)
{
	size_t i;

	for (i = 0; i < o->n_relinquished; i++) {
		struct own_entry *e =
			own_find_entry(o, &o->relinquished[i].res);

		if (e && e->a.fence == o->relinquished[i].fence)
			own_relinquish(o, e);
	}
}

static void load_table(struct ws_own *o, ws_us now, const struct ws_record *rec)
{
	size_t i;

	own_clear_table(o);
	for (i = 0; i < rec->n_assignments; i++) {
		const struct ws_assignment *a = &rec->assignments[i];
		struct own_entry *e = own_find_entry(o, &a->res);

		if (!e)
			e = own_add_entry(o, &a->res);
		e->a = *a;
		e->applied_at = now;
	}
	own_pending_rebuild(o, now);
	restore_given(o);
}

static void load_gone(struct ws_own *o, ws_us now, const struct ws_record *rec)
{
	struct ws_record recover = { .kind = WS_REC_RECOVER,
				     .n_gone = rec->n_gone,
				     .gone = rec->gone };

	if (rec->n_gone)
		own_apply(o, NULL, now, &recover);
}

void ws_own_load_snapshot(struct ws_own *o, struct ws_fx *fx, ws_us now,
			  const struct ws_record *rec)
{
	(void)fx;
	WS_INVARIANT(rec->kind == WS_REC_SNAPSHOT);
	if (rec->target_offset <= o->next_offset)
		return;
	load_table(o, now, rec);
	load_gone(o, now, rec);
	own_tail_clear(o);
	o->next_offset = rec->target_offset;
	o->snapshot_next = o->next_offset;
	o->snapshot_at = now;
}

/* ===== Writing a snapshot ===== */

static char *copy_text(const char *text)
{
	size_t n = strlen(text) + 1;
	char *copy = ws_alloc(n, 1);

	memcpy(copy, text, n);
	return copy;
}

static void snapshot_fill(const struct ws_own *o, const struct ws_view *view,
			  struct ws_record *rec)
{
	size_t i;

	memset(rec, 0, sizeof(*rec));
	rec->kind = WS_REC_SNAPSHOT;
	rec->writer = o->self;
	rec->wall_ms = o->wall_ms;
	rec->target_offset = o->next_offset;
	rec->n_assignments = o->n_entries;
	rec->assignments = ws_alloc(o->n_entries, sizeof(*rec->assignments));
	for (i = 0; i < o->n_entries; i++)
		rec->assignments[i] = o->entries[i].a;
	rec->n_gone = o->n_gone;
	rec->gone = ws_alloc(o->n_gone, sizeof(*rec->gone));
	if (o->n_gone)
		memcpy(rec->gone, o->gone, o->n_gone * sizeof(*rec->gone));
	if (!view->bundle)
		return;
	rec->bundle_version = view->bundle->version;
	rec->bundle = ws_bundle_ref((struct ws_bundle *)view->bundle);
	if (view->bundle->text)
		rec->bundle_text = copy_text(view->bundle->text);
}

static bool snapshot_due(const struct ws_own *o, ws_us now)
{
	if (o->next_offset - o->snapshot_next >= OWN_SNAPSHOT_RECORDS)
		return true;
	return o->n_entries && now - o->snapshot_at >= OWN_SNAPSHOT_PERIOD;
}

void own_snapshot_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		       const struct ws_view *view)
{
	struct own_task *t = own_task(o, WS_REC_SNAPSHOT);
	struct ws_record rec;

	if (!o->snapshot_wanted && !snapshot_due(o, now)) {
		t->needed_since = 0;
		return;
	}
	if (!t->needed_since)
		t->needed_since = now;
	if (!own_log_recent(o, now) || t->appends_in_flight)
		return;
	if (!o->snapshot_wanted &&
	    now - t->needed_since <
		    own_task_rank(o, view, t->id) * OWN_RANK_DELAY)
		return;
	snapshot_fill(o, view, &rec);
	o->snapshot_wanted = false;
	own_append_for_task(o, fx, now, t, &rec);
	ws_fx_log(fx, WS_LOG_SNAPSHOT_WRITTEN, o->self, (int64_t)o->next_offset,
		  0);
}

void ws_own_request_snapshot(struct ws_own *o)
{
	o->snapshot_wanted = true;
}

/* ===== TAIL ===== */

static struct ws_msg *send_tail(struct ws_fx *fx, ws_id to, ws_offset from,
				size_t n)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_SEND);

	e->u.send.to = to;
	e->u.send.msg.kind = WS_MSG_TAIL;
	e->u.send.msg.u.tail.from = from;
	e->u.send.msg.u.tail.n_records = n;
	e->u.send.msg.u.tail.records = ws_alloc(n, sizeof(struct ws_record));
	return &e->u.send.msg;
}

static void send_snapshot(struct ws_own *o, struct ws_fx *fx, ws_id to,
			  const struct ws_view *view)
{
	struct ws_msg *m = send_tail(fx, to, o->next_offset - 1, 1);

	snapshot_fill(o, view, m->u.tail.records);
	m->u.tail.records->offset = o->next_offset - 1;
}

static void send_records(struct ws_own *o, struct ws_fx *fx, ws_id to,
			 ws_offset from)
{
	size_t n = o->next_offset - from;
	struct ws_msg *m;
	size_t i;

	if (n > OWN_TAIL_MESSAGE_RECORDS)
		n = OWN_TAIL_MESSAGE_RECORDS;
	m = send_tail(fx, to, from, n);
	for (i = 0; i < n; i++)
		ws_record_copy(&m->u.tail.records[i], tail_slot(o, from + i));
}

void own_tail_answer(struct ws_own *o, struct ws_fx *fx, ws_id to,
		     ws_offset from, const struct ws_view *view)
{
	if (from >= o->next_offset)
		return;
	if (!o->tail_start || from < o->tail_start)
		send_snapshot(o, fx, to, view);
	else
		send_records(o, fx, to, from);
}
