#include "edge/ws_ed_link.h"

#include <math.h>

/* Time constant with which counted bytes decay. */
#define LOAD_TIME (300 * WS_MS)
/* Head of an HTTP message and the headers of its packets. */
#define OVERHEAD_BYTES 600.0
/*
 * Loads from which on connections are shed, and at which all are. They leave
 * room for bursts shorter than LOAD_TIME, heartbeats and the store.
 */
#define SHED_LOAD_MIN 0.25
#define SHED_LOAD_ALL 0.6

static double decay(const struct ws_ed_link *l, ws_us now)
{
	if (now <= l->counted_at)
		return 1.0;
	return exp(-(double)(now - l->counted_at) / (double)LOAD_TIME);
}

void ws_ed_link_count(struct ws_ed_link *l, ws_us now, enum ws_ed_link_way way,
		      size_t bytes)
{
	double d = decay(l, now);
	int i;

	if (l->rate <= 0.0)
		return;
	for (i = 0; i < WS_ED_LINK_WAYS; i++)
		l->bytes[i] *= d;
	l->counted_at = now > l->counted_at ? now : l->counted_at;
	l->bytes[way] += (double)bytes + OVERHEAD_BYTES;
}

double ws_ed_link_load(const struct ws_ed_link *l, ws_us now)
{
	double most = fmax(l->bytes[WS_ED_LINK_IN], l->bytes[WS_ED_LINK_OUT]);

	if (l->rate <= 0.0)
		return 0.0;
	return most * decay(l, now) * ((double)WS_SECOND / (double)LOAD_TIME) /
	       l->rate;
}

bool ws_ed_link_is_full(const struct ws_ed_link *l, ws_us now)
{
	return ws_ed_link_load(l, now) >= SHED_LOAD_ALL;
}

bool ws_ed_link_sheds(struct ws_ed_link *l, ws_us now)
{
	double part = (ws_ed_link_load(l, now) - SHED_LOAD_MIN) /
		      (SHED_LOAD_ALL - SHED_LOAD_MIN);

	if (part <= 0.0)
		return false;
	l->shed_part += fmin(part, 1.0);
	if (l->shed_part < 1.0)
		return false;
	l->shed_part -= 1.0;
	l->shed++;
	return true;
}
