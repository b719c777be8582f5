#include "standin/ws_sopts.h"

#include <stdio.h>

bool ws_sopts_parse(struct ws_sopts *o, int *argc, char ***argv,
		    const char *command, const char *summary,
		    const GOptionEntry *entries)
{
	const GOptionEntry shared[] = {
		{ "listen", 'l', 0, G_OPTION_ARG_STRING, &o->listen,
		  "Loopback address; port 0 chooses a free one", "IP:PORT" },
		{ "fault", 'f', 0, G_OPTION_ARG_STRING_ARRAY, &o->faults,
		  "Fault from the start, as for POST /fault; may be repeated",
		  "JSON" },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_set_summary(context, summary);
	if (entries)
		g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_main_entries(context, shared, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (ok && *argc > 1) {
		fprintf(stderr, "%s: unexpected argument '%s'; see --help\n",
			command, (*argv)[1]);
		ok = false;
	} else if (!ok) {
		fprintf(stderr, "%s: %s; see --help\n", command,
			error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok;
}

bool ws_sopts_apply_faults(const struct ws_sopts *o, const char *command,
			   ws_us now, ws_sopts_set_faults_fn fn, void *server)
{
	struct ws_codec_error why = { "" };
	char **text;

	for (text = o->faults; text && *text; text++) {
		if (!fn(server, now, *text, &why))
			continue;
		fprintf(stderr, "%s: --fault: %s\n", command, why.text);
		return false;
	}
	return true;
}
