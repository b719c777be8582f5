#ifndef WS_CAP_COST_H
#define WS_CAP_COST_H

#include "capacity/ws_cap_internal.h"
#include "core/ws_adm.h"
#include "core/ws_idem.h"

/* Rows of the tables of roles; used by ws_cap_write_roles.c and
 * ws_cap_remedy.c. */

#define PER_SECOND(period) ((double)WS_SECOND / (double)(period))
#define HEARTBEATS PER_SECOND(WS_HEARTBEAT_PERIOD)
#define PROBES PER_SECOND(WS_PROBE_PERIOD)
/* Periods that are private to ws_core, ws_own and lib/io. */
#define TICKS 20.0
#define ROUNDS PER_SECOND(150 * WS_MS)
#define GRANTS PER_SECOND(300 * WS_MS)
#define LIST_READS 2.0
#define LOG_READS 5.0

#define PEERS (CAP_INSTANCES - 1.0)
#define OWN_TARGETS ((double)CAP_TARGETS / CAP_INSTANCES)
#define TARGET_SHARDS ((double)CAP_SHARDS / CAP_TARGETS)
#define ZONE_INSTANCES ((double)CAP_INSTANCES / CAP_ZONES)
#define ZONE_TARGETS ((double)CAP_TARGETS / CAP_ZONES)

/* What a row costs one instance; 0 where it costs nothing. */
struct ws_cap_cost {
	double messages; /* a second, both directions */
	double net; /* bytes a second, both directions */
	double cpu; /* part of a core */
	double mem; /* bytes */
};

double ws_cap_cost_at(const struct ws_cap_results *r, enum ws_cap_series_id id,
		      double x);
/* The largest point, where it was measured at the size to design for. */
double ws_cap_cost_at_largest(const struct ws_cap_results *r,
			      enum ws_cap_series_id id);

void ws_cap_cost_add(struct ws_cap_cost *sum, const struct ws_cap_cost *c);
void ws_cap_cost_table_header(struct ws_cap_text *out);

/* Writes a row with the factor to the limit that is closest or exceeded. */
void ws_cap_cost_table_row(struct ws_cap_text *out, const char *role,
			   const char *what, const char *mechanism,
			   const struct ws_cap_cost *c);

/* Costs that are the same today and with the mechanisms to come. */
struct ws_cap_cost ws_cap_cost_member_table(const struct ws_cap_results *r);
double ws_cap_plans_per_day(const struct ws_cap_results *r);
double ws_cap_ids_retained(void);

/* Elements of an array that has grown by doubling to hold n. */
double ws_cap_doubled_capacity(double n);

#endif
