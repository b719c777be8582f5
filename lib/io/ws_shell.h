#ifndef WS_SHELL_H
#define WS_SHELL_H

#include <ev.h>

#include "common/ws_timer.h"
#include "config/ws_config.h"
#include "core/ws_core.h"
#include "io/ws_payload.h"

/*
 * The shell around the core: it owns the loop and all I/O parts, feeds events
 * to the core and carries out the effects. Everything runs in one thread.
 */

struct ws_front;
struct ws_http;
struct ws_targets;
struct ws_log_client;
struct ws_list_client;
struct ws_peers;
struct ws_admin;
struct ws_metrics;
struct ws_secrets;

struct ws_shell {
	struct ev_loop *loop;
	const struct ws_config *conf;
	ws_id self;
	struct ws_core *core;
	struct ws_timers *timers;
	struct ws_payloads *payloads;
	struct ws_http *http;
	struct ws_targets *targets;
	struct ws_log_client *log;
	struct ws_list_client *list;
	struct ws_peers *peers;
	struct ws_front *front;
	struct ws_admin *admin;
	struct ws_metrics *metrics;
	struct ws_fx fx;
	ws_us started_at;
	bool in_step;
	bool draining;
	bool drained; /* the core has nothing left to do */
	ws_us drain_started_at;
	ev_timer tick;
	ev_timer queue_timer;
	struct ws_event *queue; /* events of failures inside effects */
	size_t n_queue;
	size_t cap_queue;
};

/*
 * Creates all parts and opens the listeners.
 * @return NULL with the reason filled in
 */
struct ws_shell *ws_shell_new(struct ev_loop *loop,
			      const struct ws_config *conf,
			      struct ws_config_error *why);
void ws_shell_free(struct ws_shell *sh);

/* Starts a graceful shutdown; the loop ends when it is complete. */
void ws_shell_drain(struct ws_shell *sh);

/* Gives an event to the core and carries out the effects. */
void ws_shell_handle_event(struct ws_shell *sh, struct ws_event *ev);

/* Queues an event without arrays for the next turn of the loop. */
void ws_shell_post_event(struct ws_shell *sh, const struct ws_event *ev);

/* Carries out one effect; part of ws_shell_handle_event(). */
void ws_exec_effect(struct ws_shell *sh, struct ws_effect *e);

ws_us ws_shell_now(void);
int64_t ws_shell_wall_ms(void);

/* Time since the start; for status pages. */
ws_us ws_shell_uptime(const struct ws_shell *sh);

#endif
