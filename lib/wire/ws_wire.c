#include "wire/ws_wire.h"

#include <stdlib.h>
#include <string.h>

#include "wire/ws_wire_conv.h"

#define BUFFER_SIZE_MIN ((size_t)16 * 1024)

/* A message in its XDR form, and the storage that it points to. */
struct outgoing {
	wsx_message x;
	wsx_payload payload; /* FORWARD, ANSWER */
	wsx_payload *entry_payloads; /* HANDOVER */
};

/* ===== Encoding ===== */

static void call_to_xdr(const struct ws_conv *c, const struct ws_call *in,
			wsx_call *out, wsx_payload *storage)
{
	out->service = in->service;
	out->customer = in->customer;
	out->key = in->key;
	out->request_id_high = in->request_id[0];
	out->request_id_low = in->request_id[1];
	out->fingerprint = in->fingerprint;
	out->idempotent = in->idempotent;
	out->time_left_us = in->deadline - c->now;
	out->payload = ws_conv_payload_to_xdr(c, in->payload, storage);
}

static void forward_to_xdr(const struct ws_conv *c, const struct ws_msg *msg,
			   struct outgoing *o)
{
	wsx_forward *f = &o->x.wsx_message_u.forward;

	f->ref = msg->u.forward.ref;
	f->stage = msg->u.forward.stage;
	f->target = msg->u.forward.target;
	f->incarnation = msg->u.forward.incarnation;
	f->fence = msg->u.forward.fence;
	call_to_xdr(c, &msg->u.forward.call, &f->call, &o->payload);
}

static void answer_to_xdr(const struct ws_conv *c, const struct ws_msg *msg,
			  struct outgoing *o)
{
	wsx_forward_answer *a = &o->x.wsx_message_u.forward_answer;
	const struct ws_answer *in = &msg->u.answer.answer;

	a->ref = msg->u.answer.ref;
	a->answer.outcome = in->outcome;
	a->answer.error = in->error;
	a->answer.status = in->status;
	a->answer.retry_after_us = in->retry_after;
	a->answer.payload = ws_conv_payload_to_xdr(c, in->payload, &o->payload);
	ws_conv_load_to_xdr(&msg->u.answer.load, &a->load);
}

static void heartbeat_to_xdr(const struct ws_msg *msg, struct outgoing *o)
{
	wsx_heartbeat *h = &o->x.wsx_message_u.heartbeat;

	h->zone = msg->u.heartbeat.zone;
	h->folded = msg->u.heartbeat.next_offset;
	h->bundle_version = msg->u.heartbeat.bundle_version;
	h->wall_ms = msg->u.heartbeat.wall_ms;
	h->ready = msg->u.heartbeat.ready;
	h->leaving = msg->u.heartbeat.leaving;
	h->health.health_len = (u_int)msg->u.heartbeat.n_health;
	h->health.health_val = ws_conv_health_to_xdr(msg);
	h->heard.heard_len = (u_int)msg->u.heartbeat.n_heard;
	h->heard.heard_val = ws_conv_heard_to_xdr(msg);
}

static void tail_to_xdr(struct ws_conv *c, const struct ws_msg *msg,
			struct outgoing *o)
{
	wsx_tail *t = &o->x.wsx_message_u.tail;

	t->from = msg->u.tail.from;
	if (msg->kind == WS_MSG_TAIL_ASK)
		return;
	t->records.records_len = (u_int)msg->u.tail.n_records;
	t->records.records_val = ws_conv_records_to_xdr(c, msg);
}

static void handover_to_xdr(const struct ws_conv *c, const struct ws_msg *msg,
			    struct outgoing *o)
{
	wsx_handover *h = &o->x.wsx_message_u.handover;

	h->partition = msg->u.handover.partition;
	h->fence = msg->u.handover.fence;
	h->last = msg->u.handover.last;
	h->entries.entries_len = (u_int)msg->u.handover.n_entries;
	h->entries.entries_val =
		ws_conv_entries_to_xdr(c, msg, &o->entry_payloads);
}

/* A request and its answer have the same layout, so one member serves both. */
static void message_to_xdr(struct ws_conv *c, const struct ws_msg *msg,
			   struct outgoing *o)
{
	wsx_message *x = &o->x;

	x->kind = msg->kind;
	switch (msg->kind) {
	case WS_MSG_HEARTBEAT:
		heartbeat_to_xdr(msg, o);
		break;
	case WS_MSG_FRESH_ASK:
	case WS_MSG_FRESH_ANSWER:
		x->wsx_message_u.fresh_ask.round = msg->u.fresh.round;
		x->wsx_message_u.fresh_ask.folded = msg->u.fresh.next_offset;
		break;
	case WS_MSG_TAIL_ASK:
	case WS_MSG_TAIL:
		tail_to_xdr(c, msg, o);
		break;
	case WS_MSG_TOKEN_ASK:
	case WS_MSG_TOKEN_GIVE:
		x->wsx_message_u.token_ask.ref = msg->u.token.ref;
		x->wsx_message_u.token_ask.customer = msg->u.token.customer;
		x->wsx_message_u.token_ask.tokens = msg->u.token.tokens;
		x->wsx_message_u.token_ask.balance = msg->u.token.balance;
		break;
	case WS_MSG_FORWARD:
		forward_to_xdr(c, msg, o);
		break;
	case WS_MSG_ANSWER:
		answer_to_xdr(c, msg, o);
		break;
	case WS_MSG_CANCEL:
		x->wsx_message_u.cancel = msg->u.cancel.ref;
		break;
	case WS_MSG_STRIKE:
		x->wsx_message_u.strike.fingerprint = msg->u.strike.fingerprint;
		x->wsx_message_u.strike.strike_id = msg->u.strike.strike_id;
		break;
	case WS_MSG_HANDOVER:
		handover_to_xdr(c, msg, o);
		break;
	default:
		WS_INVARIANT(!"message of unknown kind");
	}
}

static void free_outgoing(struct outgoing *o)
{
	switch (o->x.kind) {
	case WSX_HEARTBEAT:
		free(o->x.wsx_message_u.heartbeat.health.health_val);
		free(o->x.wsx_message_u.heartbeat.heard.heard_val);
		break;
	case WSX_TAIL:
		ws_conv_records_free(
			o->x.wsx_message_u.tail.records.records_val,
			o->x.wsx_message_u.tail.records.records_len);
		break;
	case WSX_HANDOVER:
		free(o->x.wsx_message_u.handover.entries.entries_val);
		free(o->entry_payloads);
		break;
	default:
		break;
	}
}

static bool try_encode(struct ws_wire_buf *buf, wsx_message *x)
{
	XDR xdrs;
	bool ok;

	xdrmem_create(&xdrs, buf->data, (u_int)buf->cap, XDR_ENCODE);
	ok = xdr_wsx_message(&xdrs, x);
	buf->len = ok ? xdr_getpos(&xdrs) : 0;
	xdr_destroy(&xdrs);
	return ok;
}

/* Grows the buffer until the message fits or the limit is reached. */
static int encode_growing(struct ws_wire_buf *buf, wsx_message *x)
{
	size_t need = buf->cap ? buf->cap : BUFFER_SIZE_MIN;

	for (;;) {
		ws_grow(&buf->data, &buf->cap, need, 1);
		if (try_encode(buf, x))
			return buf->len <= WS_WIRE_MAX ? 0 : WS_ERR_TOO_LARGE;
		if (buf->cap >= WS_WIRE_MAX)
			return WS_ERR_TOO_LARGE;
		need = buf->cap * 2;
	}
}

int ws_wire_encode(struct ws_wire_buf *buf, const struct ws_payloads *table,
		   const struct ws_msg *msg, ws_us now)
{
	struct ws_conv c = {
		.table = (struct ws_payloads *)(uintptr_t)table,
		.now = now,
	};
	struct outgoing o;
	int res;

	memset(&o, 0, sizeof(o));
	message_to_xdr(&c, msg, &o);
	res = c.error ? c.error : encode_growing(buf, &o.x);
	free_outgoing(&o);
	return res;
}

/* ===== Decoding ===== */

static void call_from_xdr(struct ws_conv *c, const wsx_call *in,
			  struct ws_call *out)
{
	out->service = in->service;
	out->customer = in->customer;
	out->key = in->key;
	out->request_id[0] = in->request_id_high;
	out->request_id[1] = in->request_id_low;
	out->fingerprint = in->fingerprint;
	out->idempotent = in->idempotent;
	out->deadline = c->now + in->time_left_us;
	if (in->time_left_us < -WS_SECOND ||
	    in->time_left_us > 86400 * WS_SECOND)
		c->error = WS_ERR_SYNTAX;
	out->payload = ws_conv_payload_from_xdr(c, in->payload);
}

static void forward_from_xdr(struct ws_conv *c, const wsx_forward *in,
			     struct ws_msg *out)
{
	out->u.forward.ref = in->ref;
	out->u.forward.stage = (uint8_t)in->stage;
	out->u.forward.target = in->target;
	out->u.forward.incarnation = in->incarnation;
	out->u.forward.fence = in->fence;
	if (in->stage != WS_STAGE_HOME && in->stage != WS_STAGE_DISPATCH)
		c->error = WS_ERR_SYNTAX;
	call_from_xdr(c, &in->call, &out->u.forward.call);
	if (!in->call.payload)
		c->error = WS_ERR_SYNTAX;
}

static void answer_from_xdr(struct ws_conv *c, const wsx_forward_answer *in,
			    struct ws_msg *out)
{
	struct ws_answer *a = &out->u.answer.answer;

	out->u.answer.ref = in->ref;
	a->outcome = (uint8_t)in->answer.outcome;
	a->error = in->answer.error;
	a->status = (uint16_t)in->answer.status;
	a->retry_after = in->answer.retry_after_us;
	a->payload = ws_conv_payload_from_xdr(c, in->answer.payload);
	ws_conv_load_from_xdr(&in->load, &out->u.answer.load);
	if (in->answer.outcome < WS_OUT_DONE ||
	    in->answer.outcome > WS_OUT_UNKNOWN || a->error > 0 ||
	    a->error < WS_ERROR_LAST)
		c->error = WS_ERR_SYNTAX;
	if (a->outcome == WS_OUT_DONE && !in->answer.payload)
		c->error = WS_ERR_SYNTAX;
}

static void message_from_xdr(struct ws_conv *c, const wsx_message *x,
			     struct ws_msg *msg)
{
	msg->kind = (uint8_t)x->kind;
	switch (x->kind) {
	case WSX_HEARTBEAT:
		ws_conv_heartbeat_from_xdr(&x->wsx_message_u.heartbeat, msg);
		break;
	case WSX_FRESH_ASK:
	case WSX_FRESH_ANSWER:
		msg->u.fresh.round = x->wsx_message_u.fresh_ask.round;
		msg->u.fresh.next_offset = x->wsx_message_u.fresh_ask.folded;
		break;
	case WSX_TAIL_ASK:
		msg->u.tail.from = x->wsx_message_u.tail_ask.from;
		break;
	case WSX_TAIL:
		ws_conv_tail_from_xdr(c, &x->wsx_message_u.tail, msg);
		break;
	case WSX_TOKEN_ASK:
	case WSX_TOKEN_GIVE:
		msg->u.token.ref = x->wsx_message_u.token_ask.ref;
		msg->u.token.customer = x->wsx_message_u.token_ask.customer;
		msg->u.token.tokens = x->wsx_message_u.token_ask.tokens;
		msg->u.token.balance = x->wsx_message_u.token_ask.balance;
		break;
	case WSX_FORWARD:
		forward_from_xdr(c, &x->wsx_message_u.forward, msg);
		break;
	case WSX_ANSWER:
		answer_from_xdr(c, &x->wsx_message_u.forward_answer, msg);
		break;
	case WSX_CANCEL:
		msg->u.cancel.ref = x->wsx_message_u.cancel;
		break;
	case WSX_STRIKE:
		msg->u.strike.fingerprint = x->wsx_message_u.strike.fingerprint;
		msg->u.strike.strike_id = x->wsx_message_u.strike.strike_id;
		break;
	case WSX_HANDOVER:
		ws_conv_handover_from_xdr(c, &x->wsx_message_u.handover, msg);
		break;
	}
}

int ws_wire_decode(const char *data, size_t len, struct ws_payloads *table,
		   struct ws_msg *msg, ws_us now)
{
	struct ws_conv c = { .table = table, .now = now };
	wsx_message x;
	XDR xdrs;
	bool ok;

	memset(msg, 0, sizeof(*msg));
	memset(&x, 0, sizeof(x));
	if (len > WS_WIRE_MAX)
		return WS_ERR_SYNTAX;
	xdrmem_create(&xdrs, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
	ok = xdr_wsx_message(&xdrs, &x) && xdr_getpos(&xdrs) == len;
	xdr_destroy(&xdrs);
	if (ok)
		message_from_xdr(&c, &x, msg);
	else
		c.error = WS_ERR_SYNTAX;
	xdr_free((xdrproc_t)xdr_wsx_message, (char *)&x);
	if (!c.error)
		return 0;
	ws_wire_release_payloads(table, msg);
	if (c.error != WS_ERR_LIMIT)
		ws_msg_clear(msg);
	return c.error;
}

static void release_payload(struct ws_payloads *table, ws_payload *h)
{
	if (*h)
		ws_payload_unref(table, *h);
	*h = 0;
}

void ws_wire_release_payloads(struct ws_payloads *table, struct ws_msg *msg)
{
	size_t i;

	if (msg->kind == WS_MSG_FORWARD)
		release_payload(table, &msg->u.forward.call.payload);
	if (msg->kind == WS_MSG_ANSWER)
		release_payload(table, &msg->u.answer.answer.payload);
	if (msg->kind == WS_MSG_HANDOVER)
		for (i = 0; i < msg->u.handover.n_entries; i++)
			release_payload(table,
					&msg->u.handover.entries[i].payload);
}
