#ifndef WS_EIO_H
#define WS_EIO_H

#include <ev.h>

#include "common/ws_timer.h"
#include "edge/ws_edge.h"
#include "io/ws_http.h"
#include "platform/wp_settings.h"
#include "platform/wp_store.h"

/*
 * Shell of the edge: sockets, clocks and the store around the reducer. Each
 * part hands events to ws_eio_handle_event(), which carries out the effects.
 */

struct ws_eio_front;
struct ws_eio_beats;
struct ws_eio_records;
struct ws_eio_store;
struct ws_eio_targets;

struct ws_eio {
	struct ev_loop *loop;
	struct wp_settings settings;
	struct ws_timers *timers;
	struct ws_http *http;
	struct ws_edge *edge;
	struct ws_ed_fx fx;
	struct ws_eio_store *store;
	struct ws_eio_records *records;
	struct ws_eio_front *front;
	struct ws_eio_beats *beats;
	struct ws_eio_targets *targets;
	ev_timer tick;
	uint64_t incarnation;
	ws_us started_at;
	ws_us drain_started_at; /* 0: not draining */
	bool in_step;
};

/*
 * Time that also passes while the machine is suspended, so that evidence and
 * leases are old after a freeze.
 */
ws_us ws_eio_now(void);

/* Hands an event to the reducer and carries out its effects. */
void ws_eio_handle_event(struct ws_eio *io, struct ws_ed_event *ev);

/*
 * How well a machine can serve others, beside other machines: steps of its
 * processor and of its link, whichever is less.
 */
uint32_t ws_eio_strength(const struct wp_settings *set);

/* @return NULL when an address can't be listened on; why tells */
struct ws_eio *ws_eio_new(struct ev_loop *loop, const struct wp_settings *set,
			  struct wp_error *why);
void ws_eio_free(struct ws_eio *io);

/* Starts a graceful shutdown; the loop ends when it is complete. */
void ws_eio_drain(struct ws_eio *io);

/* Takes over the bounds of changed settings. */
void ws_eio_reload(struct ws_eio *io, const struct wp_settings *set);

#endif
