#include "edge/ws_ed_codec.h"

#include <math.h>
#include <rpc/types.h>
#include <rpc/xdr.h>
#include <string.h>

/* First word of a message: identifies the format and its version. */
#define BEAT_MAGIC 0x5753420dU
#define REFUSED_MAGIC 0x57535201U
#define MAP_MAGIC 0x57534d02U
/* Maps that name no voters, written by earlier versions. */
#define MAP_MAGIC_WITHOUT_VOTERS 0x57534d01U
#define MAP_ENTRIES_MAX 65536
#define STATEMENT_AGE_BITS 24
/* Higher limits of servers, in requests/s, are taken for malformed. */
#define LIMIT_MAX 1e9F
/* Of the word that holds the epoch, which is shorter. */
#define UNVERIFIED_BIT (UINT64_C(1) << 63)

static bool xdr_id(XDR *x, uint64_t *v)
{
	return xdr_uint64_t(x, v);
}

static bool xdr_magic(XDR *x, uint32_t wanted)
{
	uint32_t magic = wanted;

	return xdr_uint32_t(x, &magic) && magic == wanted;
}

static bool xdr_flag(XDR *x, bool *v)
{
	uint32_t word = *v;

	if (!xdr_uint32_t(x, &word) || word > 1)
		return false;
	*v = word;
	return true;
}

/* ===== Maps ===== */

static bool xdr_entry(XDR *x, struct ws_ed_map_entry *e)
{
	return xdr_id(x, &e->service) && xdr_uint32_t(x, &e->from) &&
	       xdr_uint32_t(x, &e->to) && xdr_id(x, &e->server);
}

static bool xdr_voters(XDR *x, struct ws_ed_voters *v)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &v->n) || v->n > WS_ED_VOTERS_MAX)
		return false;
	for (i = 0; i < v->n; i++)
		if (!xdr_id(x, &v->ids[i]))
			return false;
	return true;
}

static bool xdr_map_head(XDR *x, struct ws_ed_map *m, uint32_t *n)
{
	uint64_t word = m->epoch | (m->unverified ? UNVERIFIED_BIT : 0);
	uint32_t magic = MAP_MAGIC;

	if (!xdr_uint32_t(x, &magic) || !xdr_id(x, &word))
		return false;
	m->epoch = word & ~UNVERIFIED_BIT;
	m->unverified = word & UNVERIFIED_BIT;
	if (magic == MAP_MAGIC_WITHOUT_VOTERS)
		m->voters.n = 0;
	else if (magic != MAP_MAGIC || !xdr_voters(x, &m->voters))
		return false;
	return xdr_id(x, &m->leader) && xdr_uint32_t(x, n);
}

static bool encode_entries(XDR *x, const struct ws_ed_map *m)
{
	size_t i;

	for (i = 0; i < m->n; i++) {
		struct ws_ed_map_entry e = m->entries[i];

		if (!xdr_entry(x, &e))
			return false;
	}
	return true;
}

static bool decode_entries(XDR *x, struct ws_ed_map *m, uint32_t n)
{
	uint32_t i;

	m->n = 0;
	for (i = 0; i < n; i++) {
		struct ws_ed_map_entry e;

		if (!xdr_entry(x, &e) || e.from > e.to || e.to >= WS_ED_KEYS)
			return false;
		ws_ed_map_add(m, &e);
	}
	return true;
}

static bool xdr_map(XDR *x, struct ws_ed_map *m)
{
	uint32_t n = (uint32_t)m->n;

	if (!xdr_map_head(x, m, &n) || n > MAP_ENTRIES_MAX)
		return false;
	if (x->x_op == XDR_ENCODE)
		return encode_entries(x, m);
	return decode_entries(x, m, n);
}

/* ===== Heartbeats ===== */

/* An address is encoded as its length, then its characters. */
static bool xdr_address(XDR *x, char *address)
{
	uint32_t len = 0;

	if (x->x_op == XDR_ENCODE)
		len = (uint32_t)strnlen(address, WS_ED_ADDRESS_MAX - 1);
	if (!xdr_uint32_t(x, &len) || len >= WS_ED_ADDRESS_MAX ||
	    !xdr_opaque(x, address, len))
		return false;
	if (x->x_op == XDR_DECODE)
		address[len] = '\0';
	return true;
}

static bool xdr_members(XDR *x, struct ws_ed_beat *b)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &b->n_members) || b->n_members > WS_ED_MEMBERS_MAX)
		return false;
	for (i = 0; i < b->n_members; i++) {
		struct ws_ed_beat_member *m = &b->members[i];

		if (!xdr_id(x, &m->id) || !xdr_id(x, &m->zone) ||
		    !xdr_uint32_t(x, &m->capacity) ||
		    !xdr_uint32_t(x, &m->age_ms) || !xdr_address(x, m->address))
			return false;
	}
	return true;
}

static bool xdr_echo(XDR *x, struct ws_ed_echo *e)
{
	int i;

	if (!xdr_id(x, &e->peer) || !xdr_id(x, &e->incarnation) ||
	    !xdr_int64_t(x, &e->timestamp))
		return false;
	for (i = 0; i < WS_ED_EVIDENCE_TOPICS; i++)
		if (!xdr_int64_t(x, &e->read_timestamps[i]))
			return false;
	return true;
}

static bool xdr_demands(XDR *x, struct ws_ed_beat *b)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &b->demands_of) || b->demands_of >= WS_EDD_COUNT ||
	    !xdr_uint32_t(x, &b->n_demands) ||
	    b->n_demands > WS_ED_DEMANDS_CONTINUED)
		return false;
	for (i = 0; i < b->n_demands; i++)
		if (!xdr_id(x, &b->demands[i].customer) ||
		    !xdr_float(x, &b->demands[i].per_s))
			return false;
	return true;
}

static bool xdr_counts(XDR *x, struct ws_ed_beat *b)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &b->n_counts) || b->n_counts > WS_ED_COUNTS_MAX)
		return false;
	for (i = 0; i < b->n_counts; i++) {
		struct ws_ed_count *c = &b->counts[i];

		if (!xdr_id(x, &c->service) || !xdr_uint16_t(x, &c->bucket) ||
		    !xdr_uint16_t(x, &c->count))
			return false;
	}
	return true;
}

static bool xdr_loads(XDR *x, struct ws_ed_beat *b)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &b->n_loads) || b->n_loads > WS_ED_LOADS_CONTINUED)
		return false;
	for (i = 0; i < b->n_loads; i++) {
		struct ws_ed_beat_load *l = &b->loads[i];
		uint32_t word = (uint32_t)l->running << 24 |
				(uint32_t)l->waiting << 16 |
				(uint32_t)l->pace << 8 | l->age;

		if (!xdr_uint32_t(x, &l->server) || !xdr_uint32_t(x, &word))
			return false;
		l->running = (uint8_t)(word >> 24);
		l->waiting = (uint8_t)(word >> 16);
		l->pace = (uint8_t)(word >> 8);
		l->age = (uint8_t)word;
	}
	return true;
}

static bool xdr_statement(XDR *x, struct ws_ed_beat_statement *t)
{
	uint32_t word = (uint32_t)t->kind << STATEMENT_AGE_BITS |
			(t->age_ms & WS_ED_STATEMENT_AGE_MAX);

	if (!xdr_uint32_t(x, &t->server) || !xdr_uint32_t(x, &t->started) ||
	    !xdr_float(x, &t->per_s) || isnan(t->per_s) ||
	    t->per_s > LIMIT_MAX || !xdr_uint32_t(x, &word))
		return false;
	t->kind = (uint8_t)(word >> STATEMENT_AGE_BITS);
	t->age_ms = word & WS_ED_STATEMENT_AGE_MAX;
	return t->kind < WS_ED_STATEMENT_KINDS_TOLD;
}

static bool xdr_statements(XDR *x, struct ws_ed_beat *b)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &b->n_statements) ||
	    b->n_statements > WS_ED_STATEMENTS_OF_RELAY)
		return false;
	for (i = 0; i < b->n_statements; i++)
		if (!xdr_statement(x, &b->statements[i]))
			return false;
	return true;
}

static bool xdr_strikes(XDR *x, struct ws_ed_beat *b)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &b->n_strikes) || b->n_strikes > WS_ED_STRIKES_MAX)
		return false;
	for (i = 0; i < b->n_strikes; i++)
		if (!xdr_id(x, &b->strikes[i].request) ||
		    !xdr_id(x, &b->strikes[i].crash))
			return false;
	return true;
}

/*
 * The list follows all else and is left out when empty: instances of earlier
 * versions don't read it, and get the same heartbeats as before.
 */
static bool xdr_learned(XDR *x, struct ws_ed_beat *b)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &b->n_learned) ||
	    b->n_learned > WS_ED_LEARNED_CONTINUED)
		return false;
	for (i = 0; i < b->n_learned; i++) {
		struct ws_ed_beat_learned *l = &b->learned[i];
		uint32_t word = (uint32_t)l->started << 24 |
				(uint32_t)l->speed << 16 |
				(uint32_t)l->limit << 8 | l->age;

		if (!xdr_uint32_t(x, &l->server) || !xdr_uint32_t(x, &word))
			return false;
		l->started = (uint8_t)(word >> 24);
		l->speed = (uint8_t)(word >> 16);
		l->limit = (uint8_t)(word >> 8);
		l->age = (uint8_t)word;
	}
	return true;
}

static bool xdr_ends(XDR *x, struct ws_ed_beat *b)
{
	int i;

	for (i = 0; i < WS_EDT_COUNT; i++)
		if (!xdr_id(x, &b->topic_ends[i]))
			return false;
	return true;
}

static bool xdr_map_part(XDR *x, struct ws_ed_beat *b)
{
	if (!xdr_uint32_t(x, &b->map_part) ||
	    b->map_part > WS_ED_MAP_PART_CHANGES)
		return false;
	if (b->map_part == WS_ED_MAP_PART_NONE)
		return true;
	return xdr_id(x, &b->map_base) && xdr_uint32_t(x, &b->map_total) &&
	       xdr_uint32_t(x, &b->map_first) && xdr_map(x, &b->map);
}

static bool xdr_beat(XDR *x, struct ws_ed_beat *b)
{
	return xdr_magic(x, BEAT_MAGIC) && xdr_id(x, &b->from) &&
	       xdr_id(x, &b->zone) && xdr_uint32_t(x, &b->capacity) &&
	       xdr_id(x, &b->incarnation) && xdr_address(x, b->address) &&
	       xdr_int64_t(x, &b->timestamp) && xdr_id(x, &b->epoch) &&
	       xdr_ends(x, b) && xdr_flag(x, &b->leaving) &&
	       xdr_flag(x, &b->is_leader) && xdr_flag(x, &b->isolated) &&
	       xdr_flag(x, &b->store_reachable) &&
	       xdr_flag(x, &b->continuation) && xdr_echo(x, &b->echo) &&
	       xdr_uint32_t(x, &b->scope) && b->scope <= WS_ED_SCOPE_FULL &&
	       xdr_demands(x, b) && xdr_counts(x, b) && xdr_loads(x, b) &&
	       xdr_statements(x, b) && xdr_strikes(x, b) && xdr_members(x, b) &&
	       xdr_map_part(x, b);
}

int ws_ed_beat_encode(const struct ws_ed_beat *b, void *buf, size_t size)
{
	struct ws_ed_beat *in = (struct ws_ed_beat *)(uintptr_t)b;
	XDR x;

	xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
	if (!xdr_beat(&x, in) || (b->n_learned && !xdr_learned(&x, in)))
		return WS_ERR_LIMIT;
	return (int)xdr_getpos(&x);
}

int ws_ed_beat_decode(struct ws_ed_beat *b, const void *buf, size_t len)
{
	XDR x;

	xdrmem_create(&x, (char *)(uintptr_t)buf, (u_int)len, XDR_DECODE);
	if (!xdr_beat(&x, b))
		return WS_ERR_SYNTAX;
	b->n_learned = 0;
	if (xdr_getpos(&x) == len)
		return 0;
	return xdr_learned(&x, b) ? 0 : WS_ERR_SYNTAX;
}

/* ===== Refused requests ===== */

static bool xdr_refused_item(XDR *x, struct ws_ed_refused_item *r)
{
	uint32_t i;

	if (!xdr_id(x, &r->request) || !xdr_uint32_t(x, &r->expires_in) ||
	    (ws_us)r->expires_in * WS_SECOND > WS_ED_REFUSED_TIME ||
	    !xdr_uint32_t(x, &r->n) || r->n < WS_ED_STRIKES_TO_REFUSE ||
	    r->n > WS_ED_STRIKES_KEPT)
		return false;
	for (i = 0; i < r->n; i++)
		if (!xdr_id(x, &r->crashes[i]))
			return false;
	return true;
}

static bool xdr_clearances(XDR *x, struct ws_ed_refused_list *l)
{
	uint32_t i;

	if (!xdr_uint32_t(x, &l->n_clearances) ||
	    l->n_clearances > WS_ED_REFUSED_CLEARANCES)
		return false;
	for (i = 0; i < l->n_clearances; i++)
		if (!xdr_id(x, &l->clearances[i].request) ||
		    !xdr_id(x, &l->clearances[i].crash))
			return false;
	return true;
}

static bool xdr_refused_list(XDR *x, struct ws_ed_refused_list *l)
{
	uint32_t i;

	if (!xdr_magic(x, REFUSED_MAGIC) || !xdr_id(x, &l->from) ||
	    !xdr_id(x, &l->digest) || !xdr_uint32_t(x, &l->n) ||
	    l->n > WS_ED_REFUSED_ITEMS)
		return false;
	for (i = 0; i < l->n; i++)
		if (!xdr_refused_item(x, &l->items[i]))
			return false;
	return xdr_clearances(x, l);
}

int ws_ed_refused_encode(const struct ws_ed_refused_list *l, void *buf,
			 size_t size)
{
	XDR x;

	xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
	if (!xdr_refused_list(&x, (struct ws_ed_refused_list *)(uintptr_t)l))
		return WS_ERR_LIMIT;
	return (int)xdr_getpos(&x);
}

int ws_ed_refused_decode(struct ws_ed_refused_list *l, const void *buf,
			 size_t len)
{
	XDR x;

	xdrmem_create(&x, (char *)(uintptr_t)buf, (u_int)len, XDR_DECODE);
	return xdr_refused_list(&x, l) ? 0 : WS_ERR_SYNTAX;
}

/* ===== Maps in the store ===== */

int ws_ed_map_encode(const struct ws_ed_map *m, void *buf, size_t size)
{
	XDR x;

	xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
	if (!xdr_map(&x, (struct ws_ed_map *)(uintptr_t)m))
		return WS_ERR_LIMIT;
	return (int)xdr_getpos(&x);
}

int ws_ed_map_decode(struct ws_ed_map *m, const void *buf, size_t len)
{
	XDR x;

	xdrmem_create(&x, (char *)(uintptr_t)buf, (u_int)len, XDR_DECODE);
	if (!xdr_map(&x, m))
		return WS_ERR_SYNTAX;
	ws_ed_map_sort(m);
	return 0;
}
