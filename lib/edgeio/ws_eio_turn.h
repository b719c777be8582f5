#ifndef WS_EIO_TURN_H
#define WS_EIO_TURN_H

#include <ev.h>

#include "common/ws_hist.h"
#include "edge/ws_edge.h"

/*
 * Turns of the event loop: from the return of one poll to the next one. Input
 * that comes during a turn is not noticed before its end, so the length of
 * turns tells how far the process is behind.
 */

/* What the time of a turn goes to, by the event that is handled. */
enum ws_eio_work {
	WS_EIO_WORK_ARRIVALS = 0, /* requests that arrive, callers that leave */
	WS_EIO_WORK_ENDINGS, /* answers of servers */
	WS_EIO_WORK_TICKS,
	WS_EIO_WORK_BEATS, /* messages of other instances */
	WS_EIO_WORK_STORE, /* records and answers of the store */
	WS_EIO_WORK_KEYS, /* grants and releases of keys */
	WS_EIO_WORKS,
};

struct ws_eio_turn {
	struct ev_loop *loop;
	ev_check after_poll;
	ev_prepare before_poll;
	ws_us polled_at; /* when the last poll returned; 0: none has */
	ws_us polled_before; /* when the poll before that returned */
	ws_us spent[WS_EIO_WORKS]; /* in this turn */
	unsigned n_events[WS_EIO_WORKS];
	struct ws_hist lengths;
};

void ws_eio_turn_init(struct ws_eio_turn *t, struct ev_loop *loop);
void ws_eio_turn_stop(struct ws_eio_turn *t);

/* Counts an event that was handled from its time until now. */
void ws_eio_turn_count(struct ws_eio_turn *t, const struct ws_ed_event *ev,
		       ws_us now);

/* Longest time for which input that is read now may have waited. */
ws_us ws_eio_turn_input_age(const struct ws_eio_turn *t, ws_us now);

#endif
