#include "capacity/ws_cap_internal.h"

#include "codec/ws_codec.h"

/* Appends to the log, and its snapshot, at the design scale. */

#define ASSIGNMENTS (CAP_SHARDS + CAP_TARGETS + CAP_PARTITIONS)
#define SNAPSHOT_PERIOD_SECONDS 300.0
/*
 * A starting instance receives its share in one record from each instance that
 * gives items away, at most one record per item.
 */
#define RECORDS_PER_JOIN 3.0

/*
 * Upper bound of the records of a loss, as each dispatcher writes those of its
 * own target.
 */
static double max_loss_records(const struct ws_cap_loss *l)
{
	double assigns = (double)(l->assign_records + l->targets);

	return 2 * assigns;
}

static double restart_records(const struct ws_cap_results *r)
{
	return (double)r->losses[WS_CAP_LOSS_DRAIN].assign_records +
	       RECORDS_PER_JOIN;
}

/* Each hot key is separated from its shard and later merged into it. */
static double hot_key_records(void)
{
	return 2 * CAP_HOT_KEYS / CAP_HOT_KEY_CHANGE_SECONDS * CAP_DAY_SECONDS;
}

double ws_cap_log_records_per_day(const struct ws_cap_results *r)
{
	const struct ws_cap_loss *one = &r->losses[WS_CAP_LOSS_INSTANCE];
	const struct ws_cap_loss *rack = &r->losses[WS_CAP_LOSS_RACK];

	return CAP_BUNDLES_PER_DAY + CAP_RESTARTS_PER_DAY * restart_records(r) +
	       CAP_FAILURES_PER_DAY * max_loss_records(one) +
	       max_loss_records(rack) / 7 + hot_key_records();
}

double ws_cap_log_bytes_per_day(const struct ws_cap_results *r)
{
	double bundle =
		ws_cap_fit_at(&r->series[WS_CAP_BUNDLE_BYTES], CAP_CALLER_KEYS);
	/* Items of the guard, the shard and the key. */
	double hot = ws_cap_fit_at(&r->series[WS_CAP_ASSIGN_BYTES], 3);
	double one = ws_cap_fit_at(&r->series[WS_CAP_ASSIGN_BYTES], 1);
	double other_records = ws_cap_log_records_per_day(r) -
			       CAP_BUNDLES_PER_DAY - hot_key_records();

	return CAP_BUNDLES_PER_DAY * bundle + hot_key_records() * hot +
	       other_records * one;
}

/* ===== Rows ===== */

static void write_event_row(struct ws_cap_text *out, const char *name,
			    double records, double seconds)
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

static void write_snapshot_text(const struct ws_cap_results *r,
				struct ws_cap_text *out)
{
	double bytes =
		ws_cap_fit_at(&r->series[WS_CAP_SNAPSHOT_BYTES], ASSIGNMENTS);
	double load =
		ws_cap_fit_at(&r->series[WS_CAP_SNAPSHOT_LOAD], ASSIGNMENTS);
	double max_assignments =
		(WS_RECORD_TEXT_MAX -
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
		      ASSIGNMENTS, bytes / 1e6, max_assignments,
		      bytes / (double)WS_RECORD_TEXT_MAX,
		      ASSIGNMENTS / max_assignments + 1,
		      bytes / SNAPSHOT_PERIOD_SECONDS / 1e3,
		      load / 1e6 / SNAPSHOT_PERIOD_SECONDS * 100, load / 1e6,
		      ws_cap_fit_at(&r->series[WS_CAP_SNAPSHOT_LOAD],
				    (double)ASSIGNMENTS / CAP_REGIONS) /
			      1e6,
		      bytes / 1e6 / CAP_REGIONS);
}

/*
 * Append and poll times come from the design, the others from the fitted lines.
 */
static void write_bundle_propagation_text(const struct ws_cap_results *r,
					  struct ws_cap_text *out)
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
	write_event_row(out, "ordinary day", ws_cap_log_records_per_day(r),
			CAP_DAY_SECONDS);
	write_event_row(out, "all hot keys change", 2 * CAP_HOT_KEYS,
			CAP_HOT_KEY_CHANGE_SECONDS);
	write_event_row(out, "490 restarts, all in one hour",
			CAP_RESTARTS_PER_DAY * restart_records(r), 3600);
	write_event_row(out, "loss of one instance, at most",
			max_loss_records(&r->losses[WS_CAP_LOSS_INSTANCE]), 3);
	write_event_row(out, "loss of a rack, at most",
			max_loss_records(&r->losses[WS_CAP_LOSS_RACK]), 3);
	write_event_row(out, "loss of a zone, at most",
			max_loss_records(&r->losses[WS_CAP_LOSS_ZONE]), 3);
	write_snapshot_text(r, out);
	write_bundle_propagation_text(r, out);
}
