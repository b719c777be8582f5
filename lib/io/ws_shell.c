#include "io/ws_shell.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "codec/ws_codec.h"
#include "io/ws_admin.h"
#include "io/ws_front.h"
#include "io/ws_http.h"
#include "io/ws_list_client.h"
#include "io/ws_log_client.h"
#include "io/ws_logline.h"
#include "io/ws_metrics.h"
#include "io/ws_peers.h"
#include "io/ws_targets.h"

/*
 * The last instance cannot hand over. It waits for two readings of the list
 * before it takes itself for the last one.
 */
#define SUCCESSOR_WAIT (1 * WS_SECOND)

/* ===== Clocks ===== */

ws_us ws_shell_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (ws_us)ts.tv_sec * WS_SECOND + ts.tv_nsec / 1000;
}

int64_t ws_shell_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

ws_us ws_shell_uptime(const struct ws_shell *sh)
{
	return ws_shell_now() - sh->started_at;
}

/* ===== Events and effects ===== */

void ws_shell_handle_event(struct ws_shell *sh, struct ws_event *ev)
{
	size_t i;

	/* No part may report an event while effects are carried out. */
	WS_INVARIANT(!sh->in_step);
	sh->in_step = true;
	ev->now = ws_shell_now();
	ev->wall_ms = ws_shell_wall_ms();
	ws_core_step(sh->core, ev, &sh->fx);
	for (i = 0; i < sh->fx.n; i++)
		ws_exec_effect(sh, &sh->fx.items[i]);
	ws_fx_clear(&sh->fx);
	sh->in_step = false;
}

void ws_shell_post_event(struct ws_shell *sh, const struct ws_event *ev)
{
	ws_grow(&sh->queue, &sh->cap_queue, sh->n_queue + 1,
		sizeof(*sh->queue));
	sh->queue[sh->n_queue++] = *ev;
	if (!ev_is_active(&sh->queue_timer))
		ev_timer_start(sh->loop, &sh->queue_timer);
}

static void on_later(EV_P_ ev_timer *w, int revents)
{
	struct ws_shell *sh = w->data;
	struct ws_event *queue = sh->queue;
	size_t n = sh->n_queue;
	size_t i;

	(void)loop;
	(void)revents;
	sh->queue = NULL;
	sh->n_queue = 0;
	sh->cap_queue = 0;
	for (i = 0; i < n; i++)
		ws_shell_handle_event(sh, &queue[i]);
	free(queue);
}

/* ===== Time ===== */

/* Tells whether another instance could take over what this one holds. */
static bool has_successor(const struct ws_shell *sh)
{
	const struct ws_view *v = ws_core_view(sh->core);
	size_t i;

	for (i = 0; i < v->n_instances; i++)
		if (v->instances[i].id != sh->self &&
		    ws_view_eligible(v, &v->instances[i]))
			return true;
	return false;
}

/* The loop ends when the core is done and all answers have left. */
static void end_if_drained(struct ws_shell *sh, ws_us now)
{
	ws_us most = sh->conf->shutdown_time * WS_MS;
	ws_us spent = now - sh->drain_started_at;
	bool idle;

	if (!sh->draining)
		return;
	idle = !ws_front_open_requests(sh->front) &&
	       !ws_targets_open_attempts(sh->targets);
	if ((idle && sh->drained) || spent > most ||
	    (idle && spent > SUCCESSOR_WAIT && !has_successor(sh)))
		ev_break(sh->loop, EVBREAK_ALL);
}

static void on_tick(EV_P_ ev_timer *w, int revents)
{
	struct ws_shell *sh = w->data;
	struct ws_event ev = { .kind = WS_EV_TICK };
	ws_us now = ws_shell_now();

	(void)loop;
	(void)revents;
	ws_timer_run(sh->timers, now);
	ws_shell_handle_event(sh, &ev);
	end_if_drained(sh, now);
}

void ws_shell_drain(struct ws_shell *sh)
{
	struct ws_event ev = { .kind = WS_EV_DRAIN };

	if (sh->draining)
		return;
	sh->draining = true;
	sh->drain_started_at = ws_shell_now();
	ws_logline(WS_LOG_DRAINING, sh->self, 0, 0, NULL);
	ws_list_client_register(sh->list);
	ws_shell_handle_event(sh, &ev);
}

/* ===== Life ===== */

static enum ws_pick_policy read_pick(const char *text)
{
	if (!strcmp(text, "round-robin"))
		return WS_PICK_ROUND_ROBIN;
	if (!strcmp(text, "least-in-flight"))
		return WS_PICK_LEAST_IN_FLIGHT;
	return WS_PICK_TWO_CHOICES;
}

static struct ws_name make_name(const char *text)
{
	struct ws_name n;

	snprintf(n.text, sizeof(n.text), "%.*s", WS_NAME_MAX, text);
	return n;
}

static struct ws_core *new_core(struct ws_shell *sh)
{
	const struct ws_config *conf = sh->conf;
	struct ws_core_conf cc = {
		.self = sh->self,
		.zone = ws_codec_id(conf->zone),
		.name = make_name(conf->name),
		.address = make_name(conf->peers),
		.pick = read_pick(conf->pick),
		.hedge = !strcmp(conf->hedge, "on"),
		.max_calls = (size_t)conf->max_calls,
		.max_idem = (size_t)conf->max_request_ids,
		.max_queued = (size_t)conf->max_queued,
	};

	memcpy(cc.seed_operator, conf->seed_key, sizeof(cc.seed_operator));
	randombytes_buf(&cc.seed, sizeof(cc.seed));
	return ws_core_new(&cc);
}

static void start_timers(struct ws_shell *sh)
{
	const double period = (double)WS_TICK_PERIOD / (double)WS_SECOND;

	ev_timer_init(&sh->tick, on_tick, 0., period);
	ev_timer_init(&sh->queue_timer, on_later, 0., 0.);
	sh->tick.data = sh;
	sh->queue_timer.data = sh;
	ev_timer_start(sh->loop, &sh->tick);
}

static int open_listeners(struct ws_shell *sh, struct ws_config_error *why)
{
	sh->peers = ws_peers_new(sh, why);
	if (!sh->peers)
		return WS_ERR_CONFIG;
	sh->admin = ws_admin_new(sh, why);
	if (!sh->admin)
		return WS_ERR_CONFIG;
	sh->front = ws_front_new(sh, why);
	return sh->front ? 0 : WS_ERR_CONFIG;
}

struct ws_shell *ws_shell_new(struct ev_loop *loop,
			      const struct ws_config *conf,
			      struct ws_config_error *why)
{
	struct ws_shell *sh = ws_alloc(1, sizeof(*sh));

	sh->loop = loop;
	sh->conf = conf;
	sh->started_at = ws_shell_now();
	while (!sh->self)
		randombytes_buf(&sh->self, sizeof(sh->self));
	sh->timers = ws_timer_new();
	sh->payloads = ws_payloads_new((size_t)conf->max_memory);
	sh->metrics = ws_metrics_new();
	sh->http = ws_http_new(loop);
	sh->core = new_core(sh);
	sh->targets = ws_targets_new(sh);
	sh->log = ws_log_client_new(sh);
	start_timers(sh);
	if (open_listeners(sh, why)) {
		ws_shell_free(sh);
		return NULL;
	}
	sh->list = ws_list_client_new(sh);
	return sh;
}

/* Listeners first: ending them may still report events to the core. */
void ws_shell_free(struct ws_shell *sh)
{
	ws_front_free(sh->front);
	ws_admin_free(sh->admin);
	ws_peers_free(sh->peers);
	ws_list_client_free(sh->list);
	ws_log_client_free(sh->log);
	ws_targets_free(sh->targets);
	ws_core_free(sh->core);
	ws_http_free(sh->http);
	ws_metrics_free(sh->metrics);
	ws_payloads_free(sh->payloads);
	ws_timer_free(sh->timers);
	ev_timer_stop(sh->loop, &sh->tick);
	ev_timer_stop(sh->loop, &sh->queue_timer);
	ws_fx_free(&sh->fx);
	free(sh->queue);
	free(sh);
}
