#ifndef WS_EIO_H
#define WS_EIO_H

#include <ev.h>

#include "common/ws_timer.h"
#include "edge/ws_edge.h"
#include "edgeio/ws_eio_turn.h"
#include "io/ws_http.h"
#include "platform/wp_settings.h"
#include "platform/wp_store.h"

/*
 * I/O shell of the edge: sockets, clocks and the store client around the
 * reducer (ws_edge). Each part passes events to ws_eio_handle_event(), which
 * executes the resulting effects.
 */

struct ws_eio_front;
struct ws_eio_beats;
struct ws_eio_checks;
struct ws_eio_records;
struct ws_eio_store;
struct ws_eio_targets;

struct ws_eio {
	struct ev_loop *loop;
	struct wp_settings settings;
	struct ws_timers *timers;
	struct ws_memory memory; /* of all messages */
	struct ws_http *http;
	struct ws_edge *edge;
	struct ws_ed_fx fx;
	struct ws_eio_store *store;
	struct ws_eio_records *records;
	struct ws_eio_front *front;
	struct ws_eio_beats *beats;
	struct ws_eio_targets *targets;
	struct ws_eio_checks *checks;
	ev_timer tick;
	struct ws_eio_turn turn;
	uint64_t incarnation;
	ws_us started_at;
	ws_us drain_started_at; /* 0: not draining */
	ws_us drain_grace; /* the grace period when draining started */
	bool finishing; /* all requests are answered; no more are taken */
	bool stopped; /* the shutdown is complete */
	bool in_step;
};

/*
 * Monotonic time that includes suspend, so that evidence and leases have
 * expired after the machine was suspended.
 */
ws_us ws_eio_now(void);

/* Passes an event to the reducer and executes the resulting effects. */
void ws_eio_handle_event(struct ws_eio *io, struct ws_ed_event *ev);

/*
 * Capacity of a machine to relay for others, relative to other machines: the
 * smaller of its CPU and network steps.
 */
uint32_t ws_eio_strength(const struct wp_settings *set);

/* @return NULL with a message in err when an address can't be bound */
struct ws_eio *ws_eio_new(struct ev_loop *loop, const struct wp_settings *set,
			  struct wp_error *err);
void ws_eio_free(struct ws_eio *io);

/* Starts a graceful shutdown; the loop ends when it is complete. */
void ws_eio_drain(struct ws_eio *io);

/* Whether the shutdown is complete. */
bool ws_eio_stopped(const struct ws_eio *io);

/* Applies the bounds and the grace period of reloaded settings. */
void ws_eio_reload(struct ws_eio *io, const struct wp_settings *set);

#endif
