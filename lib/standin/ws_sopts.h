#ifndef WS_STANDIN_OPTIONS_H
#define WS_STANDIN_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

#include "codec/ws_codec.h"

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

/* Sets one fault, as POST /fault does; negative on failure. */
typedef int (*ws_sopts_set_faults_fn)(void *server, ws_us now, const char *text,
				      struct ws_codec_error *why);

/*
 * Sets the faults of the --fault options.
 * @return false after a message on stderr
 */
bool ws_sopts_apply_faults(const struct ws_sopts *o, const char *command,
			   ws_us now, ws_sopts_set_faults_fn fn, void *server);

#endif
