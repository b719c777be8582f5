#include "edgeio/ws_eio_daemon.h"

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/ws_events.h"
#include "edgeio/ws_eio.h"
#include "edgeio/ws_eio_crash.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_metrics.h"
#include "io/ws_signals.h"

#define EXIT_BAD_SETTINGS 2

struct options {
	char *settings;
	gboolean check;
};

static int read_options(int argc, char **argv, struct options *o)
{
	GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings,
		  "settings file (default: $WAGTAILSHIFT_SETTINGS)", "FILE" },
		{ "check-settings", 0, 0, G_OPTION_ARG_NONE, &o->check,
		  "check the settings and exit", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx = g_option_context_new(
		"- wagtailshift router for the users' platform");
	GError *error = NULL;
	gboolean ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &error);
	g_option_context_free(ctx);
	if (!o->settings)
		o->settings = g_strdup(getenv(wp_settings_env_name()));
	if (ok && o->settings && argc == 1)
		return 0;
	fprintf(stderr, "wagtailshift-edge: %s; use --help\n",
		error ? error->message : "expected --settings FILE");
	g_clear_error(&error);
	return -1;
}

/* ===== Signals ===== */

static const int handled_signals[] = { SIGTERM, SIGINT, SIGHUP };

struct signal_watchers {
	ev_signal stop[2];
	ev_signal reload;
	struct ws_eio *io;
	const char *settings;
};

static void on_stop(EV_P_ ev_signal *w, int revents)
{
	struct signal_watchers *s = w->data;

	(void)loop;
	(void)revents;
	ws_eio_drain(s->io);
}

static void on_reload(EV_P_ ev_signal *w, int revents)
{
	struct signal_watchers *s = w->data;
	struct wp_settings set;
	struct wp_error err = { "" };

	(void)loop;
	(void)revents;
	if (wp_settings_load(s->settings, &set, &err))
		ws_eio_log(WS_LOG_BAD_SETTINGS, 0, 0, err.text);
	else
		ws_eio_reload(s->io, &set);
}

static void watch_signals(struct ev_loop *loop, struct signal_watchers *s)
{
	ev_signal_init(&s->stop[0], on_stop, SIGTERM);
	ev_signal_init(&s->stop[1], on_stop, SIGINT);
	ev_signal_init(&s->reload, on_reload, SIGHUP);
	s->stop[0].data = s;
	s->stop[1].data = s;
	s->reload.data = s;
	ev_signal_start(loop, &s->stop[0]);
	ev_signal_start(loop, &s->stop[1]);
	ev_signal_start(loop, &s->reload);
	ws_signals_release(handled_signals, G_N_ELEMENTS(handled_signals));
}

/* ===== Main ===== */

static int run(const struct wp_settings *set, const char *path)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct signal_watchers signal_watchers = { .settings = path };
	struct wp_error err = { "" };
	struct ws_eio_metrics *metrics;

	signal_watchers.io = ws_eio_new(loop, set, &err);
	if (!signal_watchers.io) {
		fprintf(stderr, "wagtailshift-edge: %s\n", err.text);
		return EXIT_FAILURE;
	}
	watch_signals(loop, &signal_watchers);
	metrics = ws_eio_metrics_new(signal_watchers.io);
	if (!metrics)
		ws_eio_log(WS_LOG_NO_METRICS, 0, WS_EIO_METRICS_PORT, set->ip);
	ws_eio_log(WS_LOG_STARTED, signal_watchers.io->incarnation, 0,
		   set->zone);
	ev_run(loop, 0);
	ws_eio_log(WS_LOG_STOPPED, signal_watchers.io->incarnation, 0, NULL);
	ws_eio_metrics_free(metrics);
	ws_eio_free(signal_watchers.io);
	return EXIT_SUCCESS;
}

int ws_eio_daemon_main(int argc, char **argv)
{
	struct options o = { NULL, FALSE };
	struct wp_settings set;
	struct wp_error err = { "" };
	int res;

	ws_signals_hold(handled_signals, G_N_ELEMENTS(handled_signals));
	if (read_options(argc, argv, &o))
		return EXIT_BAD_SETTINGS;
	if (wp_settings_load(o.settings, &set, &err)) {
		fprintf(stderr, "wagtailshift-edge: %s\n", err.text);
		return EXIT_BAD_SETTINGS;
	}
	if (o.check) {
		puts("settings are valid");
		return EXIT_SUCCESS;
	}
	if (curl_global_init(CURL_GLOBAL_NOTHING))
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	ws_eio_crash_init();
	ws_eio_log_init(set.name);
	res = run(&set, o.settings);
	g_free(o.settings);
	return res;
}
