#ifndef WS_STANDIN_OPTIONS_H
#define WS_STANDIN_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

/* Options that all servers share. */
struct ws_sopts {
	char *listen;
	char **faults; /* NULL-terminated; NULL: none */
};

/*
 * Parses arguments; the summary and the entries of the subcommand come in.
 * @return false after a message on stderr
 */
bool ws_sopts_parse(struct ws_sopts *o, int *argc, char ***argv,
		    const char *command, const char *summary,
		    const GOptionEntry *entries);

#endif
