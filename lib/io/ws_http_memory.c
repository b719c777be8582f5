#include "io/ws_http_int.h"

#include <stdlib.h>

/*
 * Memory that calls hold, and which of them end when the account is full.
 */

/* libcurl reads at most this from a socket at once. */
#define READ_BYTES ((size_t)16 * 1024)
/* Of a header line without an end; libcurl ends calls with longer ones. */
#define LINE_MAX_BYTES ((size_t)100 * 1024)

/* A call that holds no more has a short answer, with its own structures. */
#define SHORT_CALL_BYTES ((size_t)64 * 1024)

/* ===== Lists of calls ===== */

static struct ws_http_call **list_of(const struct ws_http_call *c)
{
	return c->given_up ? &c->http->given_up_calls : &c->http->active_calls;
}

void ws_http_link(struct ws_http_call *c)
{
	struct ws_http_call **first = list_of(c);

	c->listed = true;
	c->prev = NULL;
	c->next = *first;
	if (c->next)
		c->next->prev = c;
	*first = c;
}

void ws_http_unlink(struct ws_http_call *c)
{
	if (!c->listed)
		return;
	c->listed = false;
	if (c->prev)
		c->prev->next = c->next;
	else
		*list_of(c) = c->next;
	if (c->next)
		c->next->prev = c->prev;
}

/* ===== The account of memory ===== */

/* The call that holds most, or NULL. */
static struct ws_http_call *largest_call(const struct ws_http *h)
{
	struct ws_http_call *best = NULL;
	struct ws_http_call *c;

	for (c = h->active_calls; c; c = c->next)
		if (!c->essential && (!best || c->held > best->held))
			best = c;
	return best;
}

void ws_http_give_up(struct ws_http_call *c)
{
	ws_http_unlink(c);
	c->given_up = true;
	ws_http_link(c);
	ws_memory_give(c->http->memory, c->held);
	c->held = 0;
	c->line_held = 0;
	free(c->data);
	c->data = NULL;
	c->data_len = 0;
	c->data_cap = 0;
	ws_headers_free(&c->headers);
}

/* Long answers leave the reserve to requests and to short ones. */
static bool take(struct ws_http_call *c, size_t n)
{
	struct ws_memory *m = c->http->memory;

	return c->held + n > SHORT_CALL_BYTES ?
		       ws_memory_take_for_answer(m, n) :
		       ws_memory_take(m, n);
}

bool ws_http_hold(struct ws_http_call *c, size_t n)
{
	struct ws_http *h = c->http;

	if (c->given_up)
		return false;
	while (!take(c, n)) {
		struct ws_http_call *largest = largest_call(h);

		if (c->essential && !largest) {
			ws_memory_force(h->memory, n);
			break;
		}
		if (!largest || largest == c ||
		    (!c->essential && largest->held < c->held + n))
			return false;
		ws_http_give_up(largest);
	}
	c->held += n;
	return true;
}

void ws_http_release(struct ws_http_call *c, size_t n)
{
	if (c->given_up)
		return;
	ws_memory_give(c->http->memory, n);
	c->held -= n;
}

bool ws_http_grow(struct ws_http_call *c, char **buf, size_t *cap, size_t need)
{
	size_t before = *cap;
	size_t after = before ? before : 64;

	if (need <= before)
		return true;
	while (after < need)
		after *= 2;
	if (!ws_http_hold(c, after - before))
		return false;
	ws_grow(buf, cap, after, 1);
	WS_INVARIANT(*cap == after);
	return true;
}

void ws_http_note_read(struct ws_http_call *c)
{
	size_t n = LINE_MAX_BYTES - c->line_held;

	if (c->received || c->head_ended)
		return;
	if (n > READ_BYTES)
		n = READ_BYTES;
	if (!ws_http_hold(c, n)) {
		if (!c->given_up)
			ws_http_give_up(c);
		return;
	}
	c->line_held += n;
}
