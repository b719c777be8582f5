#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/ws_bench_cmd.h"

static const char usage[] =
	"Usage: wagtailshift-bench COMMAND [OPTION...]\n\n"
	"Load and experiments for wagtailshift.\n\n"
	"Commands:\n"
	"  run      send load to instances on this machine over HTTP\n"
	"  policy   compare the pick policies with slowed targets, "
	"simulated\n\n"
	"'wagtailshift-bench COMMAND --help' shows the options;\n"
	"docs/BENCH.md describes the reports.\n";

int main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "run") == 0)
		return ws_bench_run(argc - 1, argv + 1);
	if (argc > 1 && strcmp(argv[1], "policy") == 0)
		return ws_bench_policy(argc - 1, argv + 1);
	if (argc > 1 && strcmp(argv[1], "--help") == 0) {
		fputs(usage, stdout);
		return EXIT_SUCCESS;
	}
	fputs(usage, stderr);
	return EXIT_FAILURE;
}
