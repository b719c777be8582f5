#include "edge/ws_ed_calendar.h"

#include <string.h>

/* With less room than this, in slots, none is promised. */
#define FREE_SLOTS_MIN 0.15
/* A caller may come this much before its time. */
#define EARLY_MAX (30 * WS_MS)
/* A booking that was not used for this time lapses. */
#define LAPSE_AFTER (300 * WS_MS)

static void drop(struct ws_ed_calendar *c, size_t i)
{
	memmove(&c->items[i], &c->items[i + 1],
		(c->n - i - 1) * sizeof(c->items[0]));
	c->n--;
}

ws_us ws_ed_calendar_book(struct ws_ed_calendar *c, ws_us now, ws_us earliest,
			  double time, double slots, ws_us latest,
			  uint64_t fingerprint)
{
	ws_us at = earliest > now ? earliest : now;
	ws_us spacing;

	if (c->n == WS_ED_BOOKINGS_MAX || slots < FREE_SLOTS_MIN)
		return 0;
	spacing = (ws_us)(time / slots);
	/* Bookings are in the order of their times. */
	if (c->n && c->items[c->n - 1].at + spacing > at)
		at = c->items[c->n - 1].at + spacing;
	if (at > latest)
		return 0;
	c->items[c->n++] = (struct ws_ed_booking){
		.fingerprint = fingerprint,
		.at = at,
		.time = time,
	};
	return at;
}

bool ws_ed_calendar_take(struct ws_ed_calendar *c, ws_us now,
			 uint64_t fingerprint)
{
	size_t i;

	for (i = 0; i < c->n; i++) {
		const struct ws_ed_booking *b = &c->items[i];

		if (b->at - EARLY_MAX > now)
			return false;
		if (b->fingerprint == fingerprint &&
		    now <= b->at + LAPSE_AFTER) {
			drop(c, i);
			return true;
		}
	}
	return false;
}

double ws_ed_calendar_booked(const struct ws_ed_calendar *c, ws_us now,
			     ws_us until)
{
	double time = 0.0;
	size_t i;

	for (i = 0; i < c->n && c->items[i].at <= until; i++)
		if (now <= c->items[i].at + LAPSE_AFTER)
			time += c->items[i].time;
	return time;
}

void ws_ed_calendar_tick(struct ws_ed_calendar *c, ws_us now)
{
	size_t n = 0;

	while (n < c->n && c->items[n].at + LAPSE_AFTER < now)
		n++;
	if (!n)
		return;
	c->n -= n;
	memmove(c->items, &c->items[n], c->n * sizeof(c->items[0]));
}
