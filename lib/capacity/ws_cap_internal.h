#ifndef WS_CAP_INTERNAL_H
#define WS_CAP_INTERNAL_H

#include "capacity/ws_capacity.h"
#include "core/ws_own.h"

/* Internals shared by the ws_cap_*.c files. */

/* ===== Design scale ===== */

/*
 * 16 million requests/s need 1,600 instances at 10,000 requests/s each, half of
 * what one core can process. The rest of the 4,800 nodes are targets.
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
/*
 * Customers of one frontend if each customer is restricted to a third of the
 * frontends.
 */
#define CAP_FRONTEND_CUSTOMERS 21
#define CAP_REQUESTS_PER_SECOND 16e6
/* 25 per customer; the text of the bundle must stay below 256 KiB. */
#define CAP_CALLER_KEYS 1600
/* Share of requests that are not idempotent; assumed. */
#define CAP_NON_IDEMPOTENT_SHARE 0.1
#define CAP_BUNDLES_PER_DAY 2600.0
#define CAP_RESTARTS_PER_DAY 490.0
#define CAP_FAILURES_PER_DAY 12.0
/* The requirement "within minutes" is taken as five minutes. */
#define CAP_HOT_KEYS 180.0
#define CAP_HOT_KEY_CHANGE_SECONDS 300.0
#define CAP_DAY_SECONDS 86400.0
/* The log's limit of "several hundred" appends per second. */
#define CAP_LIMIT_APPENDS_PER_SECOND 300.0
#define CAP_LIMIT_CPU_CORES 0.014
#define CAP_LIMIT_MEM_BYTES 32e6
#define CAP_LIMIT_NET_BYTES_PER_SECOND 17e3

/*
 * First ids of the synthetic members. Instance ids are lower than target ids.
 */
#define CAP_FIRST_INSTANCE_ID 1000
#define CAP_FIRST_TARGET_ID 1000000
#define CAP_FIRST_SERVICE_ID 7000
#define CAP_FIRST_ZONE_ID 9000
#define CAP_INCARNATION 77

/* ===== Clocks and memory ===== */

/* CPU time of this process. */
double ws_cap_cpu_seconds(void);

/* Heap memory allocated by this process. */
double ws_cap_allocated_bytes(void);

/* ===== Simulated fleet ===== */

struct ws_cap_fleet {
	size_t n_instances;
	size_t n_targets;
	uint32_t n_shards; /* of all services */
	uint32_t n_partitions;
	struct ws_instance *instances;
	struct ws_target *targets;
	struct ws_service services[CAP_SERVICES];
	struct ws_zone zones[CAP_ZONES];
	struct ws_bundle bundle;
	struct ws_view view;
	/* The instance that is measured */
	struct ws_own *own;
	struct ws_fx fx;
	ws_us now;
	ws_offset head;
	struct ws_cap_loss appended; /* records appended so far */
};

void ws_cap_fleet_init(struct ws_cap_fleet *f, size_t instances, size_t targets,
		       uint32_t shards, uint32_t partitions);
void ws_cap_fleet_free(struct ws_cap_fleet *f);

/* Applies assignments of all partitions, dispatchers and shards. */
void ws_cap_fleet_assign(struct ws_cap_fleet *f);

/*
 * Advances by 50 ms and runs one tick and its effects: appended records are
 * applied, all live instances answer, targets accept grants.
 */
void ws_cap_fleet_step(struct ws_cap_fleet *f);

/* ===== Parts of ws_cap_measure() ===== */

typedef double (*ws_cap_sample_fn)(size_t size);

/* Measures fn at each size, WS_CAP_REPEATS times, and fits the line. */
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

/* Records appended to the log on an ordinary day. */
double ws_cap_log_records_per_day(const struct ws_cap_results *r);

/* Size of these records. */
double ws_cap_log_bytes_per_day(const struct ws_cap_results *r);

#endif
