#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

/*
 * Randomised runs of many cores in the simulation of fake.h. The cores assert
 * their invariants, and the simulation checks what its targets ran.
 * WS_SEEDS=a..b selects the seeds, WS_SECONDS the simulated time of each.
 */

#define DEFAULT_FIRST 1
#define DEFAULT_LAST 12
#define DEFAULT_SECONDS 40
#define FAULT_PERIOD (1500 * WS_MS)
#define QUIET_TIME (20 * WS_SECOND)

struct totals {
	struct fake_report r;
	uint64_t seeds;
	uint64_t failed_seeds;
};

static void add_counts(struct totals *t, const struct fake_report *r)
{
	int e;

	for (e = 0; e <= -WS_ERROR_LAST; e++)
		t->r.errors[e] += r->errors[e];
	t->r.events += r->events;
	t->r.calls += r->calls;
	t->r.done += r->done;
	t->r.not_run += r->not_run;
	t->r.unknown += r->unknown;
	t->r.runs += r->runs;
	t->r.rejected += r->rejected;
	t->r.kills += r->kills;
	t->r.pauses += r->pauses;
	t->r.disconnects += r->disconnects;
	t->r.log_outages += r->log_outages;
	t->r.target_kills += r->target_kills;
	t->r.target_freezes += r->target_freezes;
	t->r.cold_resets += r->cold_resets;
	t->r.bundles += r->bundles;
	t->r.violations += r->violations;
	t->seeds++;
}

static struct fake_conf conf_for_seed(uint64_t seed)
{
	struct fake_conf conf = {
		.seed = seed,
		.zones = 3 + (int)(seed % 2),
		.instances = 6 + (int)(seed % 5),
		.targets = 4,
		.partitions = 12,
		.shards = 16,
		.rate = 200,
		.burst = 100,
		.call_interval = 4 * WS_MS,
		.loss = seed % 3 ? 0.001 : 0.01,
		.duplicate = 0.01,
		.reply_loss = 0.005,
		.resend = true,
	};

	return conf;
}

/* Upper bound of calls in progress; more bodies in memory mean a leak. */
#define OPEN_CALLS_MAX 300

static void check_leaks(struct fake *f, int instances)
{
	int i;

	for (i = 0; i < instances; i++)
		if (fake_core(f, i) &&
		    fake_count_request_refs(f, i) > OPEN_CALLS_MAX)
			fake_violation(f, "bodies of requests are not freed",
				       (uint64_t)i,
				       fake_count_request_refs(f, i));
}

/* After QUIET_TIME every instance must have the bundle in force. */
static void check_bundles(struct fake *f, int instances)
{
	const struct ws_bundle *b;
	int i;

	for (i = 0; i < instances; i++) {
		if (!fake_core(f, i))
			continue;
		b = ws_core_view(fake_core(f, i))->bundle;
		if (!b || b->version != fake_bundle_version(f))
			fake_violation(f, "bundle not in force everywhere",
				       (uint64_t)i, fake_bundle_version(f));
	}
}

/* Injects random faults, then none for QUIET_TIME, so that all recovers. */
static void run_seed(uint64_t seed, ws_us duration, struct totals *t)
{
	struct fake_conf conf = conf_for_seed(seed);
	struct fake *f = fake_new(&conf);
	ws_us end = fake_now(f) + duration;
	const struct fake_report *r = fake_report(f);

	fake_run(f, fake_now(f) + 8 * WS_SECOND);
	while (fake_now(f) < end) {
		fake_random_fault(f);
		fake_run(f, fake_now(f) + FAULT_PERIOD);
	}
	fake_run(f, fake_now(f) + QUIET_TIME);
	check_leaks(f, conf.instances);
	check_bundles(f, conf.instances);
	add_counts(t, r);
	if (r->violations) {
		t->failed_seeds++;
		printf("seed %llu: %llu violations, first: %s\n",
		       (unsigned long long)seed,
		       (unsigned long long)r->violations, r->first_violation);
	}
	fake_free(f);
}

static void print_errors(const struct fake_report *r)
{
	int e;

	printf("errors:");
	for (e = 1; e <= -WS_ERROR_LAST; e++)
		if (r->errors[e])
			printf(" %s %llu", ws_error_name(-e),
			       (unsigned long long)r->errors[e]);
	printf("\n");
}

static void print_totals(const struct totals *t)
{
	const struct fake_report *r = &t->r;

	printf("seeds %llu, events %llu, calls %llu: done %llu, not run %llu, "
	       "unknown %llu\n",
	       (unsigned long long)t->seeds, (unsigned long long)r->events,
	       (unsigned long long)r->calls, (unsigned long long)r->done,
	       (unsigned long long)r->not_run, (unsigned long long)r->unknown);
	printf("runs %llu, rejected by targets %llu; faults: kills %llu, "
	       "pauses %llu, cuts %llu, log outages %llu, target kills %llu, "
	       "freezes %llu, cold turns %llu; bundles %llu\n",
	       (unsigned long long)r->runs, (unsigned long long)r->rejected,
	       (unsigned long long)r->kills, (unsigned long long)r->pauses,
	       (unsigned long long)r->disconnects,
	       (unsigned long long)r->log_outages,
	       (unsigned long long)r->target_kills,
	       (unsigned long long)r->target_freezes,
	       (unsigned long long)r->cold_resets,
	       (unsigned long long)r->bundles);
	print_errors(r);
	printf("violations %llu in %llu seeds\n",
	       (unsigned long long)r->violations,
	       (unsigned long long)t->failed_seeds);
}

static void read_seeds(uint64_t *first, uint64_t *last)
{
	const char *s = getenv("WS_SEEDS");
	unsigned long long a;
	unsigned long long b;
	int n;

	*first = DEFAULT_FIRST;
	*last = DEFAULT_LAST;
	n = s ? sscanf(s, "%llu..%llu", &a, &b) : 0;
	if (n >= 1) {
		*first = a;
		*last = n == 2 ? b : a;
	}
}

int main(void)
{
	struct totals t;
	const char *s = getenv("WS_SECONDS");
	ws_us duration = (s ? atoi(s) : DEFAULT_SECONDS) * WS_SECOND;
	uint64_t first;
	uint64_t last;
	uint64_t seed;

	memset(&t, 0, sizeof(t));
	setvbuf(stdout, NULL, _IOLBF, 0);
	read_seeds(&first, &last);
	for (seed = first; seed <= last; seed++)
		run_seed(seed, duration, &t);
	print_totals(&t);
	if (!t.r.done) {
		printf("no call was answered: the run shows nothing\n");
		return EXIT_FAILURE;
	}
	return t.r.violations ? EXIT_FAILURE : EXIT_SUCCESS;
}
