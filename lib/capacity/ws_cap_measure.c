#include "capacity/ws_cap_internal.h"

#include <time.h>

/* Runs the measurements. */

static const struct {
	const char *name;
	const char *x;
	const char *y;
} series[WS_CAP_N_SERIES] = {
	[WS_CAP_HEARTBEAT_BYTES] = { "heartbeat, sealed", "targets told", "B" },
	[WS_CAP_HEARTBEAT_SEND] = { "heartbeat, encode and seal",
				    "targets told", "us" },
	[WS_CAP_HEARTBEAT_RECEIVE] = { "heartbeat, open, decode, handle",
				       "targets told", "us" },
	[WS_CAP_MEMBER_HEARTBEAT] = { "heartbeat of 2 targets, handle",
				      "members", "us" },
	[WS_CAP_MEMBER_MEM] = { "ws_member, memory", "members", "B" },
	[WS_CAP_MEMBER_TICK] = { "ws_member, tick", "members", "us" },
	[WS_CAP_LIST_BYTES] = { "platform list, JSON", "members", "B" },
	[WS_CAP_LIST_PARSE] = { "platform list, parse", "members", "us" },
	[WS_CAP_OWN_MEM] = { "ws_own, memory", "shards", "B" },
	[WS_CAP_OWN_FOLD] = { "ws_own, fold of all", "shards", "us" },
	[WS_CAP_OWN_PLAN] = { "ws_own, tick after a change", "shards", "us" },
	[WS_CAP_OWN_TICK] = { "ws_own, idle tick", "members", "us" },
	[WS_CAP_OWN_TICK_SHARDS] = { "ws_own, idle tick", "shards", "us" },
	[WS_CAP_FRESHNESS_ROUND] = { "freshness round, all answers",
				     "partitions squared", "us" },
	[WS_CAP_ADM_MEM] = { "ws_adm, memory, 64 customers", "instances", "B" },
	[WS_CAP_ADM_PULLS] = { "ws_adm, pulls a second", "customers", "1/s" },
	[WS_CAP_ADM_CPU_BY_CUSTOMERS] = { "ws_adm, pulls and ticks of 1 s",
					  "customers", "us" },
	[WS_CAP_ADM_CPU_BY_INSTANCES] = { "ws_adm, pulls and ticks of 1 s, 21 customers",
					  "instances", "us" },
	[WS_CAP_IDEM_MEM] = { "ws_idem, memory without answers", "ids", "B" },
	[WS_CAP_ASSIGN_BYTES] = { "ASSIGN record", "items", "B" },
	[WS_CAP_SNAPSHOT_BYTES] = { "SNAPSHOT record", "assignments", "B" },
	[WS_CAP_SNAPSHOT_LOAD] = { "snapshot, parse and load", "assignments",
				   "us" },
	[WS_CAP_GRANT_BYTES] = { "grant, JSON body", "shards", "B" },
	[WS_CAP_BUNDLE_BYTES] = { "BUNDLE record", "caller keys", "B" },
	[WS_CAP_BUNDLE_OPEN] = { "bundle, parse and verify", "caller keys",
				 "us" },
};

void ws_cap_measure_series(struct ws_cap_results *r, enum ws_cap_series_id id,
			   const size_t *size, size_t n, ws_cap_sample_fn fn)
{
	struct ws_cap_series *s = &r->series[id];
	double samples[WS_CAP_REPEATS];
	size_t i;
	size_t k;

	s->name = series[id].name;
	s->x_unit = series[id].x;
	s->y_unit = series[id].y;
	for (i = 0; i < n; i++) {
		for (k = 0; k < WS_CAP_REPEATS; k++)
			samples[k] = fn(size[i]);
		ws_cap_add_point(s, (double)size[i], samples, WS_CAP_REPEATS);
	}
	WS_INVARIANT(!ws_is_error(ws_cap_fit(s->points, s->n, &s->fit)));
}

void ws_cap_measure(struct ws_cap_results *r)
{
	struct timespec start;
	struct timespec end;

	clock_gettime(CLOCK_MONOTONIC, &start);
	ws_cap_measure_wire(r);
	ws_cap_measure_member(r);
	ws_cap_measure_own(r);
	ws_cap_measure_loss(r);
	ws_cap_measure_state(r);
	ws_cap_measure_codec(r);
	clock_gettime(CLOCK_MONOTONIC, &end);
	r->seconds = (double)(end.tv_sec - start.tv_sec) +
		     (double)(end.tv_nsec - start.tv_nsec) / 1e9;
}
