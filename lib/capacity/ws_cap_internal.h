#ifndef WS_CAP_INTERNAL_H
#define WS_CAP_INTERNAL_H

#include "capacity/ws_capacity.h"
#include "core/ws_own.h"

/* Shared by the ws_cap_*.c files only. */

/* ===== The size to design for ===== */

/*
 * 16 million requests/s at 10,000 a second and instance, half of what one core
 * carries, need 1,600 instances. The rest of the 4,800 nodes are targets.
 */
#define CAP_NODES 4800
#define CAP_INSTANCES 1600
#define CAP_TARGETS 3200
#define CAP_ZONES 22
#define CAP_REGIONS 7
#define CAP_SERVICES 16
#define CAP_SHARDS 65536
#define CAP_PARTITIONS 1024
#define CAP_CUSTOMERS 64
/* Customers of one frontend when each is kept to a third of them. */
#define CAP_FRONTEND_CUSTOMERS 21
#define CAP_REQUESTS_PER_SECOND 16e6
/* Caller keys: 25 a customer; the text must stay below 256 KiB. */
#define CAP_CALLER_KEYS 1600
/* Part of the requests that are not idempotent: an assumption. */
#define CAP_NON_IDEMPOTENT_SHARE 0.1
#define CAP_BUNDLES_PER_DAY 2600.0
#define CAP_RESTARTS_PER_DAY 490.0
#define CAP_FAILURES_PER_DAY 12.0
/* "Within minutes" is taken as five. */
#define CAP_HOT_KEYS 180.0
#define CAP_HOT_KEY_CHANGE_SECONDS 300.0
#define CAP_DAY_SECONDS 86400.0
/* "Several hundred" appends a second. */
#define CAP_LIMIT_APPENDS_PER_SECOND 300.0
#define CAP_LIMIT_CPU_CORES 0.014
#define CAP_LIMIT_MEM_BYTES 32e6
#define CAP_LIMIT_NET_BYTES_PER_SECOND 17e3

/* Identifiers of made-up members; instances before targets. */
#define CAP_FIRST_INSTANCE_ID 1000
#define CAP_FIRST_TARGET_ID 1000000
#define CAP_FIRST_SERVICE_ID 7000
#define CAP_FIRST_ZONE_ID 9000
#define CAP_INCARNATION 77

/* ===== Clocks and memory ===== */

/* Processor time of this process in seconds. */
double ws_cap_cpu_seconds(void);

/* Bytes allocated by this process. */
double ws_cap_allocated_bytes(void);

/* ===== A fleet as one instance sees it ===== */

struct ws_cap_fleet {
	size_t n_instances;
	size_t n_targets;
	uint32_t n_shards; /* of all services together */
	uint32_t n_partitions;
	struct ws_instance *instances;
	struct ws_target *targets;
	struct ws_service services[CAP_SERVICES];
	struct ws_zone zones[CAP_ZONES];
	struct ws_bundle bundle;
	struct ws_view view;
	/* One instance of it */
	struct ws_own *own;
	struct ws_fx fx;
	ws_us now;
	ws_offset head;
	struct ws_cap_loss appended; /* what was appended */
};

void ws_cap_fleet_init(struct ws_cap_fleet *f, size_t instances, size_t targets,
		       uint32_t shards, uint32_t partitions);
void ws_cap_fleet_free(struct ws_cap_fleet *f);

/* Appends and folds the assignments of everything. */
void ws_cap_fleet_assign(struct ws_cap_fleet *f);

/*
 * One tick after 50 ms, with what the tick asked for: appended records are
 * folded, all live instances answer, targets accept grants.
 */
void ws_cap_fleet_step(struct ws_cap_fleet *f);

/* ===== Parts of ws_cap_measure() ===== */

typedef double (*ws_cap_sample_fn)(size_t size);

/* Samples fn at each size, WS_CAP_REPEATS times. */
void ws_cap_measure_series(struct ws_cap_results *r, enum ws_cap_series_id id,
			   const size_t *size, size_t n, ws_cap_sample_fn fn);

void ws_cap_measure_wire(struct ws_cap_results *r);
void ws_cap_measure_member(struct ws_cap_results *r);
void ws_cap_measure_own(struct ws_cap_results *r);
void ws_cap_measure_loss(struct ws_cap_results *r);
void ws_cap_measure_state(struct ws_cap_results *r);
void ws_cap_measure_codec(struct ws_cap_results *r);

/* ===== Parts of ws_cap_write_tables() ===== */

void ws_cap_write_roles(const struct ws_cap_results *r,
			struct ws_cap_text *out);
void ws_cap_write_remedies(const struct ws_cap_results *r,
			   struct ws_cap_text *out);
void ws_cap_write_log(const struct ws_cap_results *r, struct ws_cap_text *out);

/* Records appended on an ordinary day. */
double ws_cap_log_records_per_day(const struct ws_cap_results *r);

/* Bytes of them. */
double ws_cap_log_bytes_per_day(const struct ws_cap_results *r);

#endif
