#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/ws_standin.h"
#include "standin/ws_jcheck.h"

#define EXIT_VIOLATION 1

struct options {
	gboolean json;
	gboolean unique_bodies;
	char *key;
};

/* ===== Reading ===== */

/* Adds all lines of a file; the last one may lack its end. */
static bool read_file(struct ws_jcheck *c, const char *path)
{
	FILE *f = fopen(path, "re");
	char *line = NULL;
	size_t cap = 0;
	unsigned n = 0;
	char *source;
	ssize_t len;

	if (!f) {
		fprintf(stderr,
			"check-journals: cannot read %s; name journals "
			"that exist\n",
			path);
		return false;
	}
	while ((len = getline(&line, &cap, f)) > 0) {
		source = g_strdup_printf("%s:%u", path, ++n);
		ws_jcheck_add_line(c, source, line, line[len - 1] == '\n');
		g_free(source);
	}
	free(line);
	fclose(f);
	return true;
}

/* ===== Printing ===== */

static void print_text(const struct options *o, const struct ws_jcheck *c)
{
	const struct ws_jcheck_counts *n = ws_jcheck_counts(c);
	const char *text;
	size_t i;

	printf("journal lines          %llu\n", (unsigned long long)n->lines);
	printf("target incarnations    %llu (%llu crashes)\n",
	       (unsigned long long)n->incarnations,
	       (unsigned long long)n->crashes);
	printf("requests run           %llu (%llu non-idempotent)\n",
	       (unsigned long long)n->ran,
	       (unsigned long long)n->non_idempotent);
	printf("without effect         %llu aborted, %llu rejected\n",
	       (unsigned long long)n->aborted, (unsigned long long)n->rejected);
	printf("interrupted by crashes %llu\n",
	       (unsigned long long)n->interrupted);
	printf("shards and hot keys    %llu (%llu changes of owner)\n",
	       (unsigned long long)n->resources,
	       (unsigned long long)n->owner_changes);
	if (o->key)
		printf("key %-18s %llu changes of owner, longest pause "
		       "%.1f ms\n",
		       o->key, (unsigned long long)n->watched_changes,
		       (double)n->watched_pause / (double)WS_MS);
	printf("overlaps while frozen  %llu\n",
	       (unsigned long long)n->frozen_overlaps);
	printf("violations             %llu\n",
	       (unsigned long long)ws_jcheck_violations_total(c));
	for (i = 0; (text = ws_jcheck_violation_text(c, i)); i++)
		printf("  %s\n", text);
}

static void print_json(const struct ws_jcheck *c)
{
	json_t *report = ws_jcheck_report(c);

	json_dumpf(report, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(report);
}

/* ===== Command ===== */

static bool parse(struct options *o, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &o->json,
		  "Print the report as JSON", NULL },
		{ "unique-bodies", 0, 0, G_OPTION_ARG_NONE, &o->unique_bodies,
		  "Non-idempotent requests never have equal bodies", NULL },
		{ "key", 'k', 0, G_OPTION_ARG_STRING, &o->key,
		  "Key whose changes of owner are reported", "SERVICE/KEY" },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *context = g_option_context_new("FILE...");
	GError *error = NULL;
	bool ok;

	g_option_context_set_summary(
		context,
		"Decides from the journals of targets whether each "
		"request ran at most once,\neach key had one owner and "
		"no target was overloaded. Exit code 1 on a\n"
		"violation.");
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "check-journals: %s; see --help\n",
			error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok;
}

static bool watch(const struct options *o, struct ws_jcheck *c)
{
	const char *slash = o->key ? strchr(o->key, '/') : NULL;
	char *service;

	if (!o->key)
		return true;
	if (!slash) {
		fprintf(stderr, "check-journals: --key: expected SERVICE/KEY; "
				"see --help\n");
		return false;
	}
	service = g_strndup(o->key, (gsize)(slash - o->key));
	ws_jcheck_watch_key(c, service, slash + 1);
	g_free(service);
	return true;
}

static int check(const struct options *o, char **files)
{
	struct ws_jcheck *c = ws_jcheck_new(o->unique_bodies);
	int code = watch(o, c) ? EXIT_SUCCESS : WS_STANDIN_USAGE;

	for (; *files && code == EXIT_SUCCESS; files++)
		if (!read_file(c, *files))
			code = WS_STANDIN_USAGE;
	if (code == EXIT_SUCCESS) {
		ws_jcheck_finish(c);
		if (o->json)
			print_json(c);
		else
			print_text(o, c);
		if (ws_jcheck_violations_total(c))
			code = EXIT_VIOLATION;
	}
	ws_jcheck_free(c);
	return code;
}

int ws_standin_check(int argc, char **argv)
{
	struct options o = { FALSE, FALSE, NULL };
	int code;

	if (!parse(&o, &argc, &argv))
		return WS_STANDIN_USAGE;
	if (argc < 2) {
		fprintf(stderr, "check-journals: name at least one journal; "
				"see --help\n");
		return WS_STANDIN_USAGE;
	}
	code = check(&o, argv + 1);
	g_free(o.key);
	return code;
}
