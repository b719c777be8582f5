#include "bench/ws_bench_policy.h"

#include <stdlib.h>

#include <glib.h>

#include "bench/ws_bench_cmd.h"
#include "core/ws_pick.h"

/* One line of the result table. */
struct cell {
	struct ws_bpolicy_result plain; /* no target slowed */
	struct ws_bpolicy_result slowed;
};

static struct ws_bpolicy_conf base;
static char *csv_file;
static gint64 seed = 1;

static const GOptionEntry entries[] = {
	{ "targets", 0, 0, G_OPTION_ARG_INT, &base.targets,
	  "Targets of the service (default 10)", "N" },
	{ "frontends", 0, 0, G_OPTION_ARG_INT, &base.frontends,
	  "Instances (default 10)", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &base.slots,
	  "Requests that a target bears at once (default 4)", "N" },
	{ "slowed", 0, 0, G_OPTION_ARG_INT, &base.slowed_targets,
	  "Targets that become slow (default 2)", "N" },
	{ "factor", 0, 0, G_OPTION_ARG_DOUBLE, &base.slowdown_factor,
	  "How many times slower (default 10)", "X" },
	{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &base.rate,
	  "Requests/s over all instances (default 4000)", "R" },
	{ "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &base.counted_seconds,
	  "Simulated seconds that are counted (default 20)", "S" },
	{ "warmup", 0, 0, G_OPTION_ARG_DOUBLE, &base.warmup_seconds,
	  "Simulated seconds before; the slowing starts at their end "
	  "(default 3)",
	  "S" },
	{ "service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &base.service_ms,
	  "Mean service time of an unslowed target (default 4)", "MS" },
	{ "idempotent", 0, 0, G_OPTION_ARG_DOUBLE, &base.idempotent_share,
	  "Share of idempotent requests (default 1)", "X" },
	{ "tick-us", 0, 0, G_OPTION_ARG_INT, &base.tick_us,
	  "Period of the core's tick (default 10000)", "US" },
	{ "seed", 0, 0, G_OPTION_ARG_INT64, &seed,
	  "The same seed gives the same output (default 1)", "N" },
	{ "csv", 0, 0, G_OPTION_ARG_FILENAME, &csv_file,
	  "Write the table there instead of standard output", "FILE" },
	G_OPTION_ENTRY_NULL,
};

static const char description[] =
	"Simulates instances and targets around the router's own routing and "
	"dispatch\nmodules. At the end of the warm-up some targets become slow "
	"while their load\nreports keep saying that they are idle. Prints CSV: "
	"one line for each policy\nwith and without hedging.\n";

/* ===== Table ===== */

/* Largest over mean number of attempts at the targets that stay fast. */
static double imbalance(const struct ws_bpolicy_result *r, int from)
{
	uint64_t sum = 0;
	uint64_t max = 0;
	int i;

	for (i = from; i < base.targets; i++) {
		sum += r->attempts_by_target[i];
		if (r->attempts_by_target[i] > max)
			max = r->attempts_by_target[i];
	}
	if (!sum)
		return 0;
	return (double)max * (base.targets - from) / (double)sum;
}

static double percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}

static uint64_t at_slowed(const struct ws_bpolicy_result *r)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < base.slowed_targets; i++)
		n += r->attempts_by_target[i];
	return n;
}

static void print_head(FILE *to)
{
	fprintf(to, "policy,hedge,requests,refused,p50_us,p99_us,"
		    "unslowed_p50_us,unslowed_p99_us,p99_ratio,extra_percent,"
		    "unslowed_extra_percent,slowed_share_percent,imbalance,"
		    "unslowed_imbalance\n");
}

static void print_cell(FILE *to, const struct ws_bpolicy_conf *conf,
		       const struct cell *c)
{
	ws_us p99 = ws_hist_quantile(&c->slowed.latency, 0.99);
	ws_us plain = ws_hist_quantile(&c->plain.latency, 0.99);

	fprintf(to, "%s,%s,%llu,%llu", ws_pick_name(conf->pick),
		conf->hedge ? "on" : "off",
		(unsigned long long)c->slowed.requests,
		(unsigned long long)c->slowed.refused);
	fprintf(to, ",%lld,%lld,%lld,%lld,%.2f",
		(long long)ws_hist_quantile(&c->slowed.latency, 0.5),
		(long long)p99,
		(long long)ws_hist_quantile(&c->plain.latency, 0.5),
		(long long)plain, plain ? (double)p99 / (double)plain : 0);
	fprintf(to, ",%.2f,%.2f,%.2f,%.3f,%.3f\n",
		percent(c->slowed.extra_attempts, c->slowed.requests),
		percent(c->plain.extra_attempts, c->plain.requests),
		percent(at_slowed(&c->slowed), c->slowed.attempts),
		imbalance(&c->slowed_targets, base.slowed_targets),
		imbalance(&c->plain, 0));
}

static void run_cell(FILE *to, struct cell *c, enum ws_pick_policy pick,
		     bool hedge)
{
	struct ws_bpolicy_conf conf = base;

	conf.pick = pick;
	conf.hedge = hedge;
	ws_bpolicy_run(&conf, &c->slowed);
	conf.slowed_targets = 0;
	ws_bpolicy_run(&conf, &c->plain);
	print_cell(to, &conf, c);
}

static void run_all(FILE *to)
{
	struct cell *c = ws_alloc(1, sizeof(*c));
	int pick;

	print_head(to);
	for (pick = WS_PICK_TWO_CHOICES; pick <= WS_PICK_LEAST_IN_FLIGHT;
	     pick++) {
		run_cell(to, c, (enum ws_pick_policy)pick, false);
		run_cell(to, c, (enum ws_pick_policy)pick, true);
	}
	free(c);
}

/* ===== Options ===== */

static void set_defaults(void)
{
	base = (struct ws_bpolicy_conf){ .targets = 10,
					 .frontends = 10,
					 .slots = 4,
					 .slowed_targets = 2,
					 .slowdown_factor = 10,
					 .rate = 4000,
					 .counted_seconds = 20,
					 .warmup_seconds = 3,
					 .service_ms = 4,
					 .idempotent_share = 1,
					 .tick_us = (int)(10 * WS_MS) };
}

static bool is_valid(void)
{
	return base.targets >= 1 && base.targets <= WS_BPOLICY_TARGETS_MAX &&
	       base.frontends >= 1 &&
	       base.frontends <= WS_BPOLICY_FRONTENDS_MAX && base.slots >= 1 &&
	       base.slots <= 1000 && base.slowed_targets >= 0 &&
	       base.slowed_targets < base.targets &&
	       base.slowdown_factor >= 1 && base.slowdown_factor <= 1000 &&
	       base.rate >= 1 && base.rate <= WS_BENCH_RATE_MAX &&
	       base.counted_seconds > 0 && base.counted_seconds <= 600 &&
	       base.warmup_seconds >= 0 && base.warmup_seconds <= 60 &&
	       base.service_ms > 0 && base.service_ms <= 1000 &&
	       base.idempotent_share >= 0 && base.idempotent_share <= 1 &&
	       base.tick_us >= 100;
}

static bool parse(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new("- compare pick policies");
	GError *err = NULL;
	bool ok;

	g_set_prgname("wagtailshift-bench policy");
	g_option_context_add_main_entries(ctx, entries, NULL);
	g_option_context_set_description(ctx, description);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	if (!ok) {
		fprintf(stderr, "wagtailshift-bench: %s\n", err->message);
		g_error_free(err);
	} else if (argc > 1 || !is_valid()) {
		fprintf(stderr, "wagtailshift-bench: a value is out of range; "
				"see 'wagtailshift-bench policy --help'\n");
		ok = false;
	}
	g_option_context_free(ctx);
	return ok;
}

int ws_bench_policy(int argc, char **argv)
{
	FILE *to = stdout;
	bool ok;

	set_defaults();
	if (!parse(argc, argv))
		return EXIT_FAILURE;
	base.seed = (uint64_t)seed;
	if (csv_file)
		to = fopen(csv_file, "w");
	if (!to) {
		perror(csv_file);
		return EXIT_FAILURE;
	}
	run_all(to);
	ok = !ferror(to);
	if (csv_file)
		ok = fclose(to) == 0 && ok;
	g_free(csv_file);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
