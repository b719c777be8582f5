#include "io/ws_daemon.h"

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "config/ws_config.h"
#include "config/ws_secret.h"
#include "io/ws_logline.h"
#include "io/ws_shell.h"
#include "io/ws_signals.h"

#define EXIT_CONFIG 2

struct options {
	char *config;
	gboolean check;
};

static int parse_options(int argc, char **argv, struct options *o)
{
	GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &o->config,
		  "settings file", "FILE" },
		{ "check-config", 0, 0, G_OPTION_ARG_NONE, &o->check,
		  "check the settings and end", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx = g_option_context_new("- one wagtailshift router");
	GError *error = NULL;
	gboolean ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &error);
	g_option_context_free(ctx);
	if (ok && o->config && argc == 1)
		return 0;
	fprintf(stderr, "wagtailshiftd: %s; use --help\n",
		error ? error->message :
			"expected --config FILE and no other arguments");
	g_clear_error(&error);
	return -1;
}

static int check_files(const struct ws_config *conf,
		       struct ws_config_error *why)
{
	struct ws_secret_lines lines;
	int res = ws_secret_read(conf->secret_file, WS_SECRET_LINES_MAX, &lines,
				 why);

	if (!res)
		res = ws_secret_read(conf->token_file, 1, &lines, why);
	sodium_memzero(&lines, sizeof(lines));
	return res;
}

static enum ws_log_level parse_log_level(const char *text)
{
	if (!strcmp(text, "error"))
		return WS_LEVEL_ERROR;
	if (!strcmp(text, "warning"))
		return WS_LEVEL_WARNING;
	if (!strcmp(text, "debug"))
		return WS_LEVEL_DEBUG;
	return WS_LEVEL_NOTICE;
}

static const int stop_signals[] = { SIGTERM, SIGINT };

static void on_stop_signal(EV_P_ ev_signal *w, int revents)
{
	(void)loop;
	(void)revents;
	ws_shell_drain(w->data);
}

static void watch_signals(struct ev_loop *loop, struct ws_shell *sh,
			  ev_signal watchers[2])
{
	ev_signal_init(&watchers[0], on_stop_signal, SIGTERM);
	ev_signal_init(&watchers[1], on_stop_signal, SIGINT);
	watchers[0].data = sh;
	watchers[1].data = sh;
	ev_signal_start(loop, &watchers[0]);
	ev_signal_start(loop, &watchers[1]);
	ws_signals_release(stop_signals, G_N_ELEMENTS(stop_signals));
}

/*
 * The usual soft limit of 1,024 descriptors is below max_connections. When the
 * descriptors run out, new connections are refused; open ones continue.
 */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run(const struct ws_config *conf)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct ws_config_error why = { "" };
	ev_signal watchers[2];
	struct ws_shell *sh;

	sh = ws_shell_new(loop, conf, &why);
	if (!sh) {
		fprintf(stderr, "wagtailshiftd: %s\n", why.text);
		return EXIT_CONFIG;
	}
	watch_signals(loop, sh, watchers);
	ws_logline(WS_LOG_STARTED, sh->self, 0, 0, conf->zone);
	ev_run(loop, 0);
	ws_logline(WS_LOG_STOPPED, sh->self, sh->drained, 0, NULL);
	ws_shell_free(sh);
	return EXIT_SUCCESS;
}

int ws_daemon_main(int argc, char **argv)
{
	struct options o = { NULL, FALSE };
	struct ws_config conf;
	struct ws_config_error why = { "" };

	ws_signals_hold(stop_signals, G_N_ELEMENTS(stop_signals));
	if (parse_options(argc, argv, &o))
		return EXIT_CONFIG;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_NOTHING))
		return EXIT_FAILURE;
	if (ws_config_load(o.config, &conf, &why) || check_files(&conf, &why)) {
		fprintf(stderr, "wagtailshiftd: %s\n", why.text);
		return EXIT_CONFIG;
	}
	g_free(o.config);
	if (o.check) {
		puts("settings are valid");
		return EXIT_SUCCESS;
	}
	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	ws_logline_init(parse_log_level(conf.level), conf.name);
	return run(&conf);
}
