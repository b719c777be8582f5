#include "wire/ws_wire_conv.h"

#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"

/* ===== Payloads ===== */

/* Generated structs have no const pointers; encoding does not write to them. */
static char *cast_away_const(const void *p)
{
	return (char *)(uintptr_t)p;
}

wsx_payload *ws_conv_payload_to_xdr(const struct ws_conv *c, ws_payload h,
				    wsx_payload *out)
{
	const struct ws_body *b = ws_payload_get(c->table, h);

	if (!b)
		return NULL;
	out->status = b->status;
	out->method = cast_away_const(b->method);
	out->path = cast_away_const(b->path);
	out->headers.headers_val = cast_away_const(b->headers);
	out->headers.headers_len = (u_int)b->headers_len;
	out->data.data_val = cast_away_const(b->data);
	out->data.data_len = (u_int)b->data_len;
	return out;
}

/* A header block consists of NUL-terminated strings "Name: value". */
static bool is_header_block(const char *text, size_t len)
{
	const char *p = text;
	const char *end = text + len;

	if (len && end[-1])
		return false;
	while (p < end) {
		const char *colon = strchr(p, ':');

		if (!colon || colon == p || colon[1] != ' ')
			return false;
		p += strlen(p) + 1;
	}
	return true;
}

ws_payload ws_conv_payload_from_xdr(struct ws_conv *c, const wsx_payload *in)
{
	struct ws_body b;
	ws_payload h;

	if (!in)
		return 0;
	if (in->status > UINT16_MAX ||
	    !is_header_block(in->headers.headers_val,
			     in->headers.headers_len)) {
		c->error = WS_ERR_SYNTAX;
		return 0;
	}
	b = (struct ws_body){
		.method = in->method,
		.path = in->path,
		.status = (uint16_t)in->status,
		.headers = in->headers.headers_val,
		.headers_len = in->headers.headers_len,
		.data = in->data.data_val,
		.data_len = in->data.data_len,
	};
	h = ws_payload_add(c->table, &b);
	if (!h && !c->error)
		c->error = WS_ERR_LIMIT;
	return h;
}

/* ===== Load and health ===== */

void ws_conv_load_to_xdr(const struct ws_load *in, wsx_load *out)
{
	out->target = in->target;
	out->limit = in->limit;
	out->in_flight = in->in_flight;
	out->queued = in->queued;
	out->latency_us = in->latency;
}

void ws_conv_load_from_xdr(const wsx_load *in, struct ws_load *out)
{
	out->target = in->target;
	out->limit = (uint16_t)in->limit;
	out->in_flight = (uint16_t)in->in_flight;
	out->queued = (uint16_t)in->queued;
	out->latency = in->latency_us;
}

wsx_health *ws_conv_health_to_xdr(const struct ws_msg *msg)
{
	size_t n = msg->u.heartbeat.n_health;
	wsx_health *out = ws_alloc(n + 1, sizeof(*out));
	size_t i;

	for (i = 0; i < n; i++) {
		const struct ws_target_health *h = &msg->u.heartbeat.health[i];

		out[i].target = h->target;
		out[i].incarnation = h->incarnation;
		out[i].state = h->state;
		out[i].told_leaving = h->reports_leaving;
		ws_conv_load_to_xdr(&h->load, &out[i].load);
	}
	return out;
}

wsx_heard *ws_conv_heard_to_xdr(const struct ws_msg *msg)
{
	size_t n = msg->u.heartbeat.n_heard;
	wsx_heard *out = ws_alloc(n + 1, sizeof(*out));
	size_t i;

	for (i = 0; i < n; i++) {
		out[i].instance = msg->u.heartbeat.heard[i].id;
		out[i].age_ms = msg->u.heartbeat.heard[i].age_ms;
	}
	return out;
}

static void heard_from_xdr(const wsx_heartbeat *in, struct ws_msg *out)
{
	size_t n = in->heard.heard_len;
	struct ws_heard *h = ws_alloc(n + 1, sizeof(*h));
	size_t i;

	for (i = 0; i < n; i++) {
		h[i].id = in->heard.heard_val[i].instance;
		h[i].age_ms = in->heard.heard_val[i].age_ms;
	}
	out->u.heartbeat.n_heard = n;
	out->u.heartbeat.heard = h;
}

void ws_conv_heartbeat_from_xdr(const wsx_heartbeat *in, struct ws_msg *out)
{
	size_t n = in->health.health_len;
	struct ws_target_health *h = ws_alloc(n + 1, sizeof(*h));
	size_t i;

	for (i = 0; i < n; i++) {
		const wsx_health *x = &in->health.health_val[i];

		h[i].target = x->target;
		h[i].incarnation = x->incarnation;
		h[i].state = (uint8_t)x->state;
		h[i].reports_leaving = x->told_leaving;
		ws_conv_load_from_xdr(&x->load, &h[i].load);
	}
	out->u.heartbeat.zone = in->zone;
	out->u.heartbeat.next_offset = in->folded;
	out->u.heartbeat.bundle_version = in->bundle_version;
	out->u.heartbeat.wall_ms = in->wall_ms;
	out->u.heartbeat.ready = in->ready;
	out->u.heartbeat.leaving = in->leaving;
	out->u.heartbeat.n_health = n;
	out->u.heartbeat.health = h;
	heard_from_xdr(in, out);
}

/* ===== Records ===== */

wsx_record *ws_conv_records_to_xdr(struct ws_conv *c, const struct ws_msg *msg)
{
	size_t n = msg->u.tail.n_records;
	wsx_record *out = ws_alloc(n + 1, sizeof(*out));
	size_t i;

	for (i = 0; i < n; i++) {
		const struct ws_record *rec = &msg->u.tail.records[i];
		char *text = NULL;

		out[i].offset = rec->offset;
		if (rec->kind && ws_codec_record_write(rec, &text))
			c->error = WS_ERR_TOO_LARGE;
		out[i].text.text_val = text;
		out[i].text.text_len = text ? (u_int)strlen(text) : 0;
	}
	return out;
}

void ws_conv_records_free(wsx_record *recs, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		free(recs[i].text.text_val);
	free(recs);
}

static void record_from_xdr(struct ws_conv *c, const wsx_record *in,
			    struct ws_record *out)
{
	struct ws_codec_error err;
	char *text;

	if (in->text.text_len) {
		text = ws_alloc(in->text.text_len + (size_t)1, 1);
		memcpy(text, in->text.text_val, in->text.text_len);
		if (ws_codec_record_parse(text, out, &err))
			c->error = WS_ERR_SYNTAX;
		free(text);
	}
	out->offset = in->offset;
}

void ws_conv_tail_from_xdr(struct ws_conv *c, const wsx_tail *in,
			   struct ws_msg *out)
{
	size_t n = in->records.records_len;
	struct ws_record *recs = ws_alloc(n + 1, sizeof(*recs));
	size_t i;

	for (i = 0; i < n; i++)
		record_from_xdr(c, &in->records.records_val[i], &recs[i]);
	out->u.tail.from = in->from;
	out->u.tail.n_records = n;
	out->u.tail.records = recs;
}

/* ===== Handover ===== */

wsx_entry *ws_conv_entries_to_xdr(const struct ws_conv *c,
				  const struct ws_msg *msg,
				  wsx_payload **payloads)
{
	size_t n = msg->u.handover.n_entries;
	wsx_entry *out = ws_alloc(n + 1, sizeof(*out));
	size_t i;

	*payloads = ws_alloc(n + 1, sizeof(**payloads));
	for (i = 0; i < n; i++) {
		const struct ws_idem_entry *e = &msg->u.handover.entries[i];

		out[i].request_id_high = e->request_id[0];
		out[i].request_id_low = e->request_id[1];
		out[i].customer = e->customer;
		out[i].fingerprint = e->fingerprint;
		out[i].state = e->state;
		out[i].stamp_ms = e->stamp_ms;
		out[i].status = e->status;
		out[i].payload =
			ws_conv_payload_to_xdr(c, e->payload, &(*payloads)[i]);
	}
	return out;
}

void ws_conv_handover_from_xdr(struct ws_conv *c, const wsx_handover *in,
			       struct ws_msg *out)
{
	size_t n = in->entries.entries_len;
	struct ws_idem_entry *e = ws_alloc(n + 1, sizeof(*e));
	size_t i;

	for (i = 0; i < n; i++) {
		const wsx_entry *x = &in->entries.entries_val[i];

		e[i].request_id[0] = x->request_id_high;
		e[i].request_id[1] = x->request_id_low;
		e[i].customer = x->customer;
		e[i].fingerprint = x->fingerprint;
		e[i].state = (uint8_t)x->state;
		e[i].stamp_ms = x->stamp_ms;
		e[i].status = (uint16_t)x->status;
		e[i].payload = ws_conv_payload_from_xdr(c, x->payload);
	}
	out->u.handover.partition = in->partition;
	out->u.handover.fence = in->fence;
	out->u.handover.last = in->last;
	out->u.handover.n_entries = n;
	out->u.handover.entries = e;
}
