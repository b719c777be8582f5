#include "edge/ws_ed_permit.h"

#include <math.h>
#include <rpc/types.h>
#include <rpc/xdr.h>
#include <string.h>

/* First word of a message: identifies the format and its version. */
#define PERMIT_MAGIC 0x57535001U
/* Longer times are malformed; they fit into 32 bits as milliseconds. */
#define TIME_MAX_MS 86400000
/* More requests at a server, or a longer time in us, are malformed. */
#define COUNT_MAX 1000000U
#define WORK_MAX 1e12F

static bool xdr_flag(XDR *x, bool *v)
{
	uint32_t word = *v;

	if (!xdr_uint32_t(x, &word) || word > 1)
		return false;
	*v = word;
	return true;
}

/* Times are sent in milliseconds, and may be negative. */
static bool xdr_time(XDR *x, ws_us *v)
{
	int32_t ms = 0;

	if (x->x_op == XDR_ENCODE) {
		ws_us t = *v / WS_MS;

		if (t > TIME_MAX_MS)
			t = TIME_MAX_MS;
		if (t < -TIME_MAX_MS)
			t = -TIME_MAX_MS;
		ms = (int32_t)t;
	}
	if (!xdr_int32_t(x, &ms) || ms > TIME_MAX_MS || ms < -TIME_MAX_MS)
		return false;
	if (x->x_op == XDR_DECODE)
		*v = ms * WS_MS;
	return true;
}

static bool xdr_amount(XDR *x, float *v)
{
	return xdr_float(x, v) && isfinite(*v) && *v >= 0.0F && *v <= WORK_MAX;
}

static bool xdr_count(XDR *x, uint32_t *v)
{
	return xdr_uint32_t(x, v) && *v <= COUNT_MAX;
}

static bool xdr_ask(XDR *x, struct ws_ed_ask *a)
{
	float work = (float)a->work;

	if (!xdr_uint64_t(x, &a->fingerprint) ||
	    !xdr_uint32_t(x, &a->priority) || !xdr_amount(x, &work) ||
	    !xdr_time(x, &a->objective) || !xdr_time(x, &a->objective_left) ||
	    !xdr_time(x, &a->time_left) || !xdr_flag(x, &a->is_retry))
		return false;
	a->work = (double)work;
	return a->objective >= 0;
}

static bool xdr_answer(XDR *x, struct ws_ed_permit_answer *a)
{
	uint32_t verdict = a->verdict;

	if (!xdr_uint32_t(x, &verdict) || verdict < WS_ED_PERMIT_GRANTED ||
	    verdict > WS_ED_PERMIT_UNKNOWN)
		return false;
	a->verdict = (enum ws_ed_permit_verdict)verdict;
	return xdr_time(x, &a->retry_after) && a->retry_after >= 0 &&
	       xdr_time(x, &a->expected);
}

static bool xdr_end(XDR *x, struct ws_ed_permit_message *m)
{
	uint32_t outcome = m->u.end.outcome;

	if (!xdr_uint32_t(x, &outcome) || outcome >= WS_ED_PERMIT_OUTCOMES ||
	    !xdr_flag(x, &m->u.end.has_report) ||
	    !xdr_count(x, &m->u.end.running) ||
	    !xdr_count(x, &m->u.end.waiting) ||
	    !xdr_amount(x, &m->u.end.pace) || !xdr_time(x, &m->u.end.latency) ||
	    !xdr_amount(x, &m->u.end.work) || !xdr_amount(x, &m->u.end.load))
		return false;
	m->u.end.outcome = (enum ws_ed_permit_outcome)outcome;
	return m->u.end.latency >= 0;
}

static bool xdr_message(XDR *x, struct ws_ed_permit_message *m)
{
	uint32_t magic = PERMIT_MAGIC;
	uint32_t kind = m->kind;

	if (!xdr_uint32_t(x, &magic) || magic != PERMIT_MAGIC ||
	    !xdr_uint32_t(x, &kind) || kind < WS_ED_PERMIT_ASK ||
	    kind >= WS_ED_PERMIT_KINDS_END || !xdr_uint64_t(x, &m->from) ||
	    !xdr_uint64_t(x, &m->server) || !xdr_uint64_t(x, &m->call))
		return false;
	m->kind = (enum ws_ed_permit_kind)kind;
	switch (m->kind) {
	case WS_ED_PERMIT_ASK:
		return xdr_ask(x, &m->u.ask);
	case WS_ED_PERMIT_ANSWER:
		return xdr_answer(x, &m->u.answer);
	default:
		return xdr_end(x, m);
	}
}

int ws_ed_permit_encode(const struct ws_ed_permit_message *m, void *buf,
			size_t size)
{
	struct ws_ed_permit_message copy = *m;
	XDR x;

	xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
	if (!xdr_message(&x, &copy))
		return WS_ERR_LIMIT;
	return (int)xdr_getpos(&x);
}

int ws_ed_permit_decode(struct ws_ed_permit_message *m, const void *buf,
			size_t len)
{
	XDR x;

	memset(m, 0, sizeof(*m));
	xdrmem_create(&x, (char *)(uintptr_t)buf, (u_int)len, XDR_DECODE);
	return xdr_message(&x, m) ? 0 : WS_ERR_SYNTAX;
}
