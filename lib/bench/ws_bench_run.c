#include "bench/ws_bench.h"
#include "bench/ws_bench_cmd.h"

#include <stdlib.h>

static bool write_files(const struct ws_bench_conf *conf,
			const struct ws_bench_result *res)
{
	bool ok = true;

	if (conf->csv_file)
		ok = ws_bench_write_csv(conf);
	if (conf->json_file)
		ok = ws_bench_write_json(conf, res) && ok;
	if (conf->svg_file)
		ok = ws_bench_write_svg(conf, res) && ok;
	return ok;
}

int ws_bench_run(int argc, char **argv)
{
	struct ws_bench_conf conf = { .n_customers = 0 };
	struct ws_bench_result *res = ws_alloc(1, sizeof(*res));
	bool ok = ws_bench_parse_options(argc, argv, &conf);

	ok = ok && ws_bench_run_load(&conf, res);
	if (ok && !conf.quiet)
		ws_bench_print_report(stdout, &conf, res);
	ok = ok && write_files(&conf, res);
	ws_bench_conf_clear(&conf);
	ws_bench_result_free(res);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
