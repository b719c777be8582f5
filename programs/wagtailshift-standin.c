#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/ws_standin.h"

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *text;
} commands[] = {
	{ "log", ws_standin_log, "append-only log with offsets" },
	{ "list", ws_standin_list, "list of instances and targets" },
	{ "target", ws_standin_target, "back-end server of a service" },
	{ "check-journals", ws_standin_check,
	  "decide from targets' journals whether the guarantees held" },
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void print_usage(FILE *to)
{
	size_t i;

	fprintf(to, "Usage: wagtailshift-standin COMMAND [OPTION...]\n\n"
		    "Stand-ins for the platform, for tests and the demo.\n\n"
		    "Commands:\n");
	for (i = 0; i < N_COMMANDS; i++)
		fprintf(to, "  %-16s%s\n", commands[i].name, commands[i].text);
	fprintf(to,
		"\n'wagtailshift-standin COMMAND --help' shows the options; "
		"docs/STANDINS.md describes the faults.\n");
}

int main(int argc, char **argv)
{
	size_t i;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	if (argc > 1 && strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return EXIT_SUCCESS;
	}
	for (i = 0; argc > 1 && i < N_COMMANDS; i++)
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	print_usage(stderr);
	return WS_STANDIN_USAGE;
}
