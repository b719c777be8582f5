#include "core/ws_types.h"

#include <stdlib.h>
#include <string.h>

#include "core/ws_bundle.h"

/* ===== Resources and holders ===== */

bool ws_res_equal(const struct ws_res *a, const struct ws_res *b)
{
	return a->kind == b->kind && a->scope == b->scope && a->item == b->item;
}

uint64_t ws_res_hash(const struct ws_res *res)
{
	return ws_mix(ws_mix(res->kind, res->scope), res->item);
}

bool ws_holder_equal(const struct ws_holder *a, const struct ws_holder *b)
{
	return a->id == b->id && a->incarnation == b->incarnation;
}

/* ===== Records ===== */

void ws_record_clear(struct ws_record *rec)
{
	free(rec->items);
	free(rec->assignments);
	free(rec->gone);
	free(rec->bundle_text);
	ws_bundle_unref(rec->bundle);
	memset(rec, 0, sizeof(*rec));
}

static void *copy_array(const void *from, size_t n, size_t size)
{
	void *p;

	if (!n)
		return NULL;
	p = ws_alloc(n, size);
	memcpy(p, from, n * size);
	return p;
}

void ws_record_copy(struct ws_record *to, const struct ws_record *from)
{
	*to = *from;
	to->items =
		copy_array(from->items, from->n_items, sizeof(*from->items));
	to->assignments = copy_array(from->assignments, from->n_assignments,
				     sizeof(*from->assignments));
	to->gone = copy_array(from->gone, from->n_gone, sizeof(*from->gone));
	to->bundle = ws_bundle_ref(from->bundle);
	to->bundle_text = NULL;
	if (from->bundle_text)
		to->bundle_text = copy_array(from->bundle_text,
					     strlen(from->bundle_text) + 1, 1);
}

/* ===== Messages ===== */

static void clear_tail(struct ws_msg *msg)
{
	size_t i;

	for (i = 0; i < msg->u.tail.n_records; i++)
		ws_record_clear(&msg->u.tail.records[i]);
	free(msg->u.tail.records);
}

void ws_msg_clear(struct ws_msg *msg)
{
	switch (msg->kind) {
	case WS_MSG_HEARTBEAT:
		free(msg->u.heartbeat.health);
		free(msg->u.heartbeat.heard);
		break;
	case WS_MSG_TAIL:
		clear_tail(msg);
		break;
	case WS_MSG_HANDOVER:
		free(msg->u.handover.entries);
		break;
	default:
		break;
	}
	memset(msg, 0, sizeof(*msg));
}

static void copy_tail(struct ws_msg *to, const struct ws_msg *from)
{
	size_t n = from->u.tail.n_records;
	size_t i;

	to->u.tail.records = ws_alloc(n, sizeof(struct ws_record));
	for (i = 0; i < n; i++)
		ws_record_copy(&to->u.tail.records[i],
			       &from->u.tail.records[i]);
}

void ws_msg_copy(struct ws_msg *to, const struct ws_msg *from)
{
	*to = *from;
	if (from->kind == WS_MSG_TAIL)
		copy_tail(to, from);
	if (from->kind == WS_MSG_HANDOVER)
		to->u.handover.entries = copy_array(
			from->u.handover.entries, from->u.handover.n_entries,
			sizeof(*from->u.handover.entries));
	if (from->kind != WS_MSG_HEARTBEAT)
		return;
	to->u.heartbeat.health = copy_array(from->u.heartbeat.health,
					    from->u.heartbeat.n_health,
					    sizeof(*from->u.heartbeat.health));
	to->u.heartbeat.heard = copy_array(from->u.heartbeat.heard,
					   from->u.heartbeat.n_heard,
					   sizeof(*from->u.heartbeat.heard));
}

/* ===== Effects ===== */

struct ws_effect *ws_fx_add(struct ws_fx *fx, uint8_t kind)
{
	struct ws_effect *e;

	ws_grow(&fx->items, &fx->cap, fx->n + 1, sizeof(*fx->items));
	e = &fx->items[fx->n++];
	memset(e, 0, sizeof(*e));
	e->kind = kind;
	return e;
}

void ws_fx_log(struct ws_fx *fx, uint16_t number, ws_id subject, int64_t value,
	       int error)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_LOG);

	e->u.log.number = number;
	e->u.log.subject = subject;
	e->u.log.value = value;
	e->u.log.error = error;
}

static void clear_effect(struct ws_effect *e)
{
	switch (e->kind) {
	case WS_FX_APPEND:
		if (e->u.append)
			ws_record_clear(e->u.append);
		free(e->u.append);
		break;
	case WS_FX_SEND:
		ws_msg_clear(&e->u.send.msg);
		break;
	case WS_FX_GRANT:
		free(e->u.grant.items);
		break;
	default:
		break;
	}
}

void ws_fx_clear(struct ws_fx *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++)
		clear_effect(&fx->items[i]);
	fx->n = 0;
}

void ws_fx_free(struct ws_fx *fx)
{
	ws_fx_clear(fx);
	free(fx->items);
	memset(fx, 0, sizeof(*fx));
}
