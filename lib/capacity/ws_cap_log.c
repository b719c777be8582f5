#include "capacity/ws_cap_internal.h"

#include "codec/ws_codec.h"

/* Appends to the log and the snapshot, at the size to design for. */

#define ASSIGNMENTS (CAP_SHARDS + CAP_TARGETS + CAP_PARTITIONS)
#define SNAPSHOT_PERIOD 300.0
/* A newcomer gets its share by one record of each giver, at most one an item.
 */
#define JOIN_RECORDS 3.0

/* Most records of a loss: each dispatcher writes those of its own target. */
static double most_records(const struct ws_cap_loss *l)
{
	double assigns = (double)(l->assign_records + l->targets);

	return 2 * assigns;
}

static double restart_records(const struct ws_cap_results *r)
{
	return (double)r->losses[WS_CAP_LOSS_DRAIN].assign_records +
	       JOIN_RECORDS;
}

/* A hot key leaves its shard and rejoins it. */
static double hot_records(void)
{
	return 2 * CAP_HOT_KEYS / CAP_HOT_KEY_CHANGE_SECONDS * CAP_DAY_SECONDS;
}

double ws_cap_log_records_per_day(const struct ws_cap_results *r)
{
	const struct ws_cap_loss *one = &r->losses[WS_CAP_LOSS_INSTANCE];
	const struct ws_cap_loss *rack = &r->losses[WS_CAP_LOSS_RACK];

	return CAP_BUNDLES_PER_DAY + CAP_RESTARTS_PER_DAY * restart_records(r) +
	       CAP_FAILURES_PER_DAY * most_records(one) +
	       most_records(rack) / 7 + hot_records();
}

double ws_cap_log_bytes_per_day(const struct ws_cap_results *r)
{
	double bundle =
		ws_cap_fit_at(&r->series[WS_CAP_BUNDLE_BYTES], CAP_CALLER_KEYS);
	/* A guard, the shard and the key. */
	double hot = ws_cap_fit_at(&r->series[WS_CAP_ASSIGN_BYTES], 3);
	double one = ws_cap_fit_at(&r->series[WS_CAP_ASSIGN_BYTES], 1);
	double others = ws_cap_log_records_per_day(r) - CAP_BUNDLES_PER_DAY -
			hot_records();

	return CAP_BUNDLES_PER_DAY * bundle + hot_records() * hot +
	       others * one;
}

/* ===== Rows ===== */

static void event(struct ws_cap_text *out, const char *name, double records,
		  double seconds)
{
	double rate = records / seconds;

	ws_cap_printf(out, "| %s | %.0f | %.3g s | %.2g | ", name, records,
		      seconds, rate);
	if (rate > CAP_LIMIT_APPENDS_PER_SECOND)
		ws_cap_printf(out, "misses by %.2g |\n",
			      rate / CAP_LIMIT_APPENDS_PER_SECOND);
	else
		ws_cap_printf(out, "%.2g of 300/s |\n",
			      rate / CAP_LIMIT_APPENDS_PER_SECOND);
}

static void snapshot(const struct ws_cap_results *r, struct ws_cap_text *out)
{
	double bytes =
		ws_cap_fit_at(&r->series[WS_CAP_SNAPSHOT_BYTES], ASSIGNMENTS);
	double load =
		ws_cap_fit_at(&r->series[WS_CAP_SNAPSHOT_LOAD], ASSIGNMENTS);
	double fits = (WS_RECORD_TEXT_MAX -
		       r->series[WS_CAP_SNAPSHOT_BYTES].fit.intercept) /
		      r->series[WS_CAP_SNAPSHOT_BYTES].fit.slope;

	ws_cap_printf(out,
		      "\nSnapshot of all %d assignments: %.1f MB of text "
		      "against 1 MiB for one record, which holds %.0f: misses "
		      "by %.0f. Written each 300 s in %.0f parts of a record "
		      "each, it would cost each instance %.1f KB/s of reading "
		      "and %.2f %% of a core of parsing. "
		      "A new instance loads it in %.2f s; a regional one "
		      "(a seventh) in %.2f s, from %.1f MB.\n",
		      ASSIGNMENTS, bytes / 1e6, fits,
		      bytes / (double)WS_RECORD_TEXT_MAX,
		      ASSIGNMENTS / fits + 1, bytes / SNAPSHOT_PERIOD / 1e3,
		      load / 1e6 / SNAPSHOT_PERIOD * 100, load / 1e6,
		      ws_cap_fit_at(&r->series[WS_CAP_SNAPSHOT_LOAD],
				    (double)ASSIGNMENTS / CAP_REGIONS) /
			      1e6,
		      bytes / 1e6 / CAP_REGIONS);
}

/* Poll and append as designed; the rest from the fitted lines. */
static void spreading(const struct ws_cap_results *r, struct ws_cap_text *out)
{
	double open =
		ws_cap_fit_at(&r->series[WS_CAP_BUNDLE_OPEN], CAP_CALLER_KEYS) /
		1e3;
	double plan =
		ws_cap_fit_at(&r->series[WS_CAP_OWN_PLAN], CAP_SHARDS) / 1e3;
	double bytes =
		ws_cap_fit_at(&r->series[WS_CAP_BUNDLE_BYTES], CAP_CALLER_KEYS);

	ws_cap_printf(out,
		      "\nTime for a bundle to reach all: append 50 ms and long "
		      "poll at most 200 ms (design), parse and verify %.0f ms, "
		      "tick 50 ms with a plan of %.0f ms: %.0f ms of 6,000. "
		      "The log must then send %.0f MB to %d readers.\n",
		      open, plan, 50 + 200 + open + 50 + plan,
		      bytes * CAP_INSTANCES / 1e6, CAP_INSTANCES);
}

void ws_cap_write_log(const struct ws_cap_results *r, struct ws_cap_text *out)
{
	ws_cap_printf(out, "| event | records | within | appends/s | verdict "
			   "|\n|---|---|---|---|---|\n");
	event(out, "ordinary day", ws_cap_log_records_per_day(r),
	      CAP_DAY_SECONDS);
	event(out, "all hot keys change", 2 * CAP_HOT_KEYS,
	      CAP_HOT_KEY_CHANGE_SECONDS);
	event(out, "490 restarts, all in one hour",
	      CAP_RESTARTS_PER_DAY * restart_records(r), 3600);
	event(out, "loss of one instance, at most",
	      most_records(&r->losses[WS_CAP_LOSS_INSTANCE]), 3);
	event(out, "loss of a rack, at most",
	      most_records(&r->losses[WS_CAP_LOSS_RACK]), 3);
	event(out, "loss of a zone, at most",
	      most_records(&r->losses[WS_CAP_LOSS_ZONE]), 3);
	snapshot(r, out);
	spreading(r, out);
}
