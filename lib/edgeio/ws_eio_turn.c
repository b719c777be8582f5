#include "edgeio/ws_eio_turn.h"

#include <stdio.h>

#include "common/ws_events.h"
#include "edgeio/ws_eio.h"
#include "edgeio/ws_eio_log.h"

/* Longer turns are logged. */
#define LONG_TURN (200 * WS_MS)

static const char *const work_names[WS_EIO_WORKS] = {
	[WS_EIO_WORK_ARRIVALS] = "arrivals", [WS_EIO_WORK_ENDINGS] = "endings",
	[WS_EIO_WORK_TICKS] = "ticks",	     [WS_EIO_WORK_BEATS] = "heartbeats",
	[WS_EIO_WORK_STORE] = "store",	     [WS_EIO_WORK_KEYS] = "keys",
};

static enum ws_eio_work work_of(enum ws_ed_event_kind kind)
{
	switch (kind) {
	case WS_EDEV_ARRIVAL:
	case WS_EDEV_CALLER_GONE:
		return WS_EIO_WORK_ARRIVALS;
	case WS_EDEV_REQUEST_ENDED:
	case WS_EDEV_CHECK_REFUSED:
		return WS_EIO_WORK_ENDINGS;
	case WS_EDEV_TICK:
	case WS_EDEV_DRAIN:
		return WS_EIO_WORK_TICKS;
	case WS_EDEV_HEARTBEAT:
	case WS_EDEV_REFUSED_LIST:
		return WS_EIO_WORK_BEATS;
	case WS_EDEV_KEY_CALLED:
		return WS_EIO_WORK_KEYS;
	default:
		return WS_EIO_WORK_STORE;
	}
}

void ws_eio_turn_count(struct ws_eio_turn *t, const struct ws_ed_event *ev,
		       ws_us now)
{
	enum ws_eio_work work = work_of(ev->kind);

	t->spent[work] += now - ev->now;
	t->n_events[work]++;
}

ws_us ws_eio_turn_input_age(const struct ws_eio_turn *t, ws_us now)
{
	return t->polled_before ? now - t->polled_before : 0;
}

/* What exceeds the parts was spent on sockets and parsing. */
static void log_long_turn(const struct ws_eio_turn *t, ws_us length)
{
	char detail[200];
	int n = 0;
	int i;

	for (i = 0; i < WS_EIO_WORKS; i++)
		n += snprintf(detail + n, sizeof(detail) - (size_t)n,
			      "%s%s=%.0fms/%u", i ? "," : "", work_names[i],
			      (double)t->spent[i] / 1000.0, t->n_events[i]);
	ws_eio_log(WS_LOG_TURN_LONG, 0, length / WS_MS, detail);
}

static void on_before_poll(EV_P_ ev_prepare *w, int revents)
{
	struct ws_eio_turn *t = w->data;
	ws_us length = ws_eio_now() - t->polled_at;
	int i;

	(void)loop;
	(void)revents;
	if (!t->polled_at)
		return;
	ws_hist_add(&t->lengths, length);
	if (length > LONG_TURN)
		log_long_turn(t, length);
	for (i = 0; i < WS_EIO_WORKS; i++) {
		t->spent[i] = 0;
		t->n_events[i] = 0;
	}
}

static void on_after_poll(EV_P_ ev_check *w, int revents)
{
	struct ws_eio_turn *t = w->data;

	(void)loop;
	(void)revents;
	t->polled_before = t->polled_at;
	t->polled_at = ws_eio_now();
}

void ws_eio_turn_init(struct ws_eio_turn *t, struct ev_loop *loop)
{
	t->loop = loop;
	ev_check_init(&t->after_poll, on_after_poll);
	ev_set_priority(&t->after_poll, EV_MAXPRI);
	t->after_poll.data = t;
	ev_prepare_init(&t->before_poll, on_before_poll);
	t->before_poll.data = t;
	ev_check_start(loop, &t->after_poll);
	ev_prepare_start(loop, &t->before_poll);
}

void ws_eio_turn_stop(struct ws_eio_turn *t)
{
	ev_check_stop(t->loop, &t->after_poll);
	ev_prepare_stop(t->loop, &t->before_poll);
}
