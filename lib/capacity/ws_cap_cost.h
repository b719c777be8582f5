#ifndef WS_CAP_COST_H
#define WS_CAP_COST_H

#include "capacity/ws_cap_internal.h"
#include "core/ws_adm.h"
#include "core/ws_idem.h"

/* Rows of the role tables, shared by ws_cap_roles.c and ws_cap_remedy.c. */

#define PER_SECOND(period) ((double)WS_SECOND / (double)(period))
#define HEARTBEATS_PER_SECOND PER_SECOND(WS_HEARTBEAT_PERIOD)
#define PROBES_PER_SECOND PER_SECOND(WS_PROBE_PERIOD)
/*
 * These periods are private to ws_core, ws_own and lib/io, so they are repeated
 * here.
 */
#define TICKS_PER_SECOND 20.0
#define FRESHNESS_ROUNDS_PER_SECOND PER_SECOND(150 * WS_MS)
#define GRANTS_PER_SECOND PER_SECOND(300 * WS_MS)
#define LIST_READS_PER_SECOND 2.0
#define LOG_READS_PER_SECOND 5.0

#define PEERS (CAP_INSTANCES - 1.0)
#define TARGETS_PER_INSTANCE ((double)CAP_TARGETS / CAP_INSTANCES)
#define SHARDS_PER_TARGET ((double)CAP_SHARDS / CAP_TARGETS)
#define INSTANCES_PER_ZONE ((double)CAP_INSTANCES / CAP_ZONES)
#define TARGETS_PER_ZONE ((double)CAP_TARGETS / CAP_ZONES)

/* Cost of a row for one instance; 0 where there is none. */
struct ws_cap_cost {
	double messages; /* per second, both directions */
	double net; /* bytes per second, both directions */
	double cpu; /* cores */
	double mem; /* bytes */
};

double ws_cap_cost_at(const struct ws_cap_results *r, enum ws_cap_series_id id,
		      double x);
/*
 * Value at the largest measured size, for series measured up to the design
 * scale.
 */
double ws_cap_cost_at_largest(const struct ws_cap_results *r,
			      enum ws_cap_series_id id);

void ws_cap_cost_add(struct ws_cap_cost *sum, const struct ws_cap_cost *c);
void ws_cap_cost_table_header(struct ws_cap_text *out);

/* Writes a row. The verdict is the largest ratio of a cost to its limit. */
void ws_cap_cost_table_row(struct ws_cap_text *out, const char *role,
			   const char *what, const char *mechanism,
			   const struct ws_cap_cost *c);

/*
 * Costs that are the same in the current design and with the planned
 * mechanisms.
 */
struct ws_cap_cost ws_cap_cost_member_table(const struct ws_cap_results *r);
double ws_cap_plans_per_day(const struct ws_cap_results *r);
double ws_cap_ids_retained(void);

/* Capacity of an array that holds n elements and grows by doubling. */
double ws_cap_doubled_capacity(double n);

#endif
