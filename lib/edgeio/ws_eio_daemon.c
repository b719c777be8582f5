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

#define EXIT_SETTINGS 2

struct options {
	char *settings;
	gboolean check;
};

static int read_options(int argc, char **argv, struct options *o)
{
	GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings,
		  "settings file; the platform names it in the environment",
		  "FILE" },
		{ "check-settings", 0, 0, G_OPTION_ARG_NONE, &o->check,
		  "check the settings and end", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx = g_option_context_new(
		"- a wagtailshift router on the users' platform");
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

struct signals {
	ev_signal stop[2];
	ev_signal reload;
	struct ws_eio *io;
	const char *settings;
};

static void on_stop(EV_P_ ev_signal *w, int revents)
{
	struct signals *s = w->data;

	(void)loop;
	(void)revents;
	ws_eio_drain(s->io);
}

static void on_reload(EV_P_ ev_signal *w, int revents)
{
	struct signals *s = w->data;
	struct wp_settings set;
	struct wp_error why = { "" };

	(void)loop;
	(void)revents;
	if (wp_settings_load(s->settings, &set, &why))
		ws_eio_log(WS_LOG_BAD_SETTINGS, 0, 0, why.text);
	else
		ws_eio_reload(s->io, &set);
}

static void watch_signals(struct ev_loop *loop, struct signals *s)
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
}

/* ===== Main ===== */

static int run(const struct wp_settings *set, const char *path)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct signals signals = { .settings = path };
	struct wp_error why = { "" };
	struct ws_eio_metrics *metrics;

	signals.io = ws_eio_new(loop, set, &why);
	if (!signals.io) {
		fprintf(stderr, "wagtailshift-edge: %s\n", why.text);
		return EXIT_FAILURE;
	}
	watch_signals(loop, &signals);
	metrics = ws_eio_metrics_new(signals.io);
	if (!metrics)
		ws_eio_log(WS_LOG_NO_METRICS, 0, WS_EIO_METRICS_PORT, set->ip);
	ws_eio_log(WS_LOG_STARTED, signals.io->incarnation, 0, set->zone);
	ev_run(loop, 0);
	ws_eio_log(WS_LOG_STOPPED, signals.io->incarnation, 0, NULL);
	ws_eio_metrics_free(metrics);
	ws_eio_free(signals.io);
	return EXIT_SUCCESS;
}

int ws_eio_daemon_main(int argc, char **argv)
{
	struct options o = { NULL, FALSE };
	struct wp_settings set;
	struct wp_error why = { "" };
	int res;

	if (read_options(argc, argv, &o))
		return EXIT_SETTINGS;
	if (wp_settings_load(o.settings, &set, &why)) {
		fprintf(stderr, "wagtailshift-edge: %s\n", why.text);
		return EXIT_SETTINGS;
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
