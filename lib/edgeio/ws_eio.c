#include "edgeio/ws_eio.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

#include "common/ws_events.h"
#include "edgeio/ws_eio_beats.h"
#include "edgeio/ws_eio_checks.h"
#include "edgeio/ws_eio_front.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_records.h"
#include "edgeio/ws_eio_store.h"
#include "edgeio/ws_eio_targets.h"

#define TICK_PERIOD (20 * WS_MS)
/* Concurrent requests per MiB of memory. */
#define REQUESTS_PER_MIB 8
/*
 * Fraction of the memory that heads, bodies and buffers of messages may take;
 * fragments of the heap and all else need the remainder.
 */
#define MESSAGES_MEMORY_FRACTION 0.4
/* Of that, a part (1/N) for requests only */
#define REQUESTS_RESERVE_DIVISOR 8
#define TRIM_PERIOD (1 * WS_SECOND)
#define MIB ((size_t)1024 * 1024)
/*
 * Strength is counted in steps of a tenth of a core or 20 Mbit/s, up to a
 * maximum above which machines relay equally well.
 */
#define STRENGTH_CORES 0.1
#define STRENGTH_MBPS 20.0
#define STRENGTH_MAX 5
/* The platform routes callers here until two readiness checks have failed. */
#define DRAIN_TIME_MIN (2500 * WS_MS)
/*
 * All requests are answered this long before the platform kills the process.
 * Then callers get some time to receive the answers and to close connections.
 */
#define ANSWERED_MARGIN (800 * WS_MS)
/* Closing some hundred connections takes a while on a tenth of a core. */
#define EXIT_MARGIN (300 * WS_MS)

ws_us ws_eio_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (ws_us)ts.tv_sec * WS_SECOND + ts.tv_nsec / 1000;
}

/* ===== Effects ===== */

static void execute_effect(struct ws_eio *io, const struct ws_ed_effect *x)
{
	switch (x->kind) {
	case WS_EDFX_SEND:
		ws_eio_front_send(io->front, x);
		break;
	case WS_EDFX_CANCEL:
		ws_eio_targets_cancel(io->targets, x->u.send.request,
				      x->u.send.lane);
		break;
	case WS_EDFX_FORWARD:
		ws_eio_front_forward(io->front, x->u.reply.request,
				     x->u.reply.customer);
		break;
	case WS_EDFX_REPLY:
		ws_eio_front_reply(io->front, x->u.reply.request,
				   x->u.reply.customer, x->u.reply.status,
				   x->u.reply.retry_after, x->u.reply.reason);
		break;
	case WS_EDFX_GRANT:
	case WS_EDFX_RELEASE:
		ws_eio_targets_start_key_call(io->targets, &x->u.call,
					      x->kind == WS_EDFX_GRANT);
		break;
	case WS_EDFX_APPEND:
		ws_eio_store_append_map(io->store, x->u.append.at);
		break;
	case WS_EDFX_READ:
		ws_eio_store_read(io->store, x->u.topic);
		break;
	case WS_EDFX_CHECK:
		ws_eio_checks_start(io->checks, x->u.check);
		break;
	case WS_EDFX_HEARTBEAT:
		ws_eio_beats_send(io->beats);
		break;
	case WS_EDFX_REFUSED:
		ws_eio_beats_send_refused(io->beats, x->u.member);
		break;
	case WS_EDFX_LOG:
		ws_eio_log(x->u.log.number, x->u.log.subject, x->u.log.value,
			   x->u.log.detail);
		break;
	default:
		WS_INVARIANT(false);
	}
}

void ws_eio_handle_event(struct ws_eio *io, struct ws_ed_event *ev)
{
	size_t i;

	/* Effects must not cause further events while they are executed. */
	WS_INVARIANT(!io->in_step);
	io->in_step = true;
	ev->now = ws_eio_now();
	io->fx.n = 0;
	ws_edge_step(io->edge, ev, &io->fx);
	for (i = 0; i < io->fx.n; i++)
		execute_effect(io, &io->fx.items[i]);
	io->in_step = false;
	ws_eio_turn_count(&io->turn, ev, ws_eio_now());
}

/* ===== Time ===== */

static bool is_drained(const struct ws_eio *io, ws_us spent)
{
	ws_us end = io->drain_grace - EXIT_MARGIN;
	bool idle = !ws_edge_open(io->edge) &&
		    !ws_eio_front_connections(io->front);

	return spent > end ||
	       (idle && (io->finishing || spent > DRAIN_TIME_MIN));
}

static void continue_draining(struct ws_eio *io, ws_us now)
{
	ws_us spent = now - io->drain_started_at;

	if (!io->drain_started_at)
		return;
	if (!io->finishing && spent > io->drain_grace - ANSWERED_MARGIN) {
		io->finishing = true;
		ws_eio_front_finish(io->front);
	}
	if (!is_drained(io, spent))
		return;
	io->stopped = true;
	ev_break(io->loop, EVBREAK_ALL);
}

static void on_tick(EV_P_ ev_timer *w, int revents)
{
	struct ws_eio *io = w->data;
	struct ws_ed_event ev = { .kind = WS_EDEV_TICK };
	ws_us now = ws_eio_now();

	(void)loop;
	(void)revents;
	ws_timer_run(io->timers, now);
	ws_eio_handle_event(io, &ev);
	continue_draining(io, now);
}

void ws_eio_drain(struct ws_eio *io)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_DRAIN };

	if (io->drain_started_at)
		return;
	io->drain_started_at = ws_eio_now();
	io->drain_grace = io->settings.grace_period;
	ev.u.drain_time = io->drain_grace - ANSWERED_MARGIN;
	ws_eio_log(WS_LOG_DRAINING, io->incarnation, 0, NULL);
	ws_eio_handle_event(io, &ev);
	ws_eio_store_leave(io->store);
	ws_eio_beats_send(io->beats);
}

bool ws_eio_stopped(const struct ws_eio *io)
{
	return io->stopped;
}

void ws_eio_reload(struct ws_eio *io, const struct wp_settings *set)
{
	io->settings.bounds = set->bounds;
	io->settings.grace_period = set->grace_period;
	ws_edge_set_bounds(io->edge, &set->bounds);
	ws_eio_log(WS_LOG_RELOADED, io->incarnation, 0, NULL);
}

/* ===== Lifecycle ===== */

uint32_t ws_eio_strength(const struct wp_settings *set)
{
	double cores = set->cores / STRENGTH_CORES;
	double link = set->link_mbps / STRENGTH_MBPS;
	double least = cores < link ? cores : link;

	return least < STRENGTH_MAX ? (uint32_t)least : STRENGTH_MAX;
}

static struct ws_edge *new_edge(const struct ws_eio *io)
{
	struct ws_ed_settings s = {
		.self = ws_ed_id(io->settings.name),
		.incarnation = io->incarnation,
		.zone = ws_ed_id(io->settings.zone),
		.capacity = ws_eio_strength(&io->settings),
		.seed = ws_mix(io->incarnation, 1),
		.now = io->started_at,
		.restarted = !io->settings.first_start,
		.max_calls = io->settings.memory_max / MIB * REQUESTS_PER_MIB,
		.bounds = io->settings.bounds,
	};

	return ws_edge_new(&s);
}

static void trim_memory(void *arg, ws_us now)
{
	(void)now;
	ws_memory_trim(arg);
}

struct ws_eio *ws_eio_new(struct ev_loop *loop, const struct wp_settings *set,
			  struct wp_error *err)
{
	struct ws_eio *io = ws_alloc(1, sizeof(*io));

	io->loop = loop;
	io->settings = *set;
	io->started_at = ws_eio_now();
	while (!io->incarnation)
		if (getrandom(&io->incarnation, sizeof(io->incarnation), 0) < 0)
			io->incarnation = (uint64_t)io->started_at;
	ws_eio_turn_init(&io->turn, loop);
	io->timers = ws_timer_new();
	io->memory.max =
		(size_t)(MESSAGES_MEMORY_FRACTION * (double)set->memory_max);
	io->memory.reserve = io->memory.max / REQUESTS_RESERVE_DIVISOR;
	ws_timer_every(io->timers, io->started_at, TRIM_PERIOD, trim_memory,
		       &io->memory);
	io->http = ws_http_new(loop);
	ws_http_set_memory(io->http, &io->memory);
	io->edge = new_edge(io);
	io->targets = ws_eio_targets_new(io);
	io->checks = ws_eio_checks_new(io);
	ev_timer_init(&io->tick, on_tick, 0.,
		      (double)TICK_PERIOD / (double)WS_SECOND);
	io->tick.data = io;
	io->beats = ws_eio_beats_new(io, err);
	if (io->beats)
		io->front = ws_eio_front_new(io, err);
	if (!io->front) {
		ws_eio_free(io);
		return NULL;
	}
	io->records = ws_eio_records_new(io);
	if (!io->records) {
		snprintf(err->text, sizeof(err->text),
			 "cannot listen on %s; choose a free address of this "
			 "machine",
			 io->settings.records_address);
		ws_eio_free(io);
		return NULL;
	}
	io->store = ws_eio_store_new(io);
	ev_timer_start(loop, &io->tick);
	return io;
}

/* Frees the listeners first, as closing them may still report events. */
void ws_eio_free(struct ws_eio *io)
{
	ws_eio_front_free(io->front);
	ws_eio_store_free(io->store);
	ws_eio_records_free(io->records);
	ws_eio_beats_free(io->beats);
	ws_eio_checks_free(io->checks);
	ws_eio_targets_free(io->targets);
	ws_edge_free(io->edge);
	ws_http_free(io->http);
	ws_timer_free(io->timers);
	ev_timer_stop(io->loop, &io->tick);
	ws_eio_turn_stop(&io->turn);
	ws_ed_fx_free(&io->fx);
	free(io);
}
