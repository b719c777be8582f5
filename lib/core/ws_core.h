#ifndef WS_CORE_H
#define WS_CORE_H

#include "core/ws_adm.h"
#include "core/ws_bundle.h"
#include "core/ws_disp.h"
#include "core/ws_idem.h"
#include "core/ws_member.h"
#include "core/ws_own.h"
#include "core/ws_quar.h"
#include "core/ws_route.h"
#include "core/ws_types.h"

/*
 * The core: a reducer with one entry point for all events. It owns all modules.
 * Effects from module to module are consumed within a step; the shell carries
 * out the others.
 */

struct ws_core;

struct ws_core_conf {
	ws_id self; /* random, new on each start */
	ws_id zone;
	uint64_t seed;
	struct ws_name name;
	struct ws_name address; /* of the peer listener */
	uint8_t seed_operator[32]; /* key trusted for the first bundle */
	enum ws_pick_policy pick;
	bool hedge;
	size_t max_calls; /* concurrent requests, as frontend and as home */
	size_t max_idem; /* request ids remembered */
	size_t max_queued; /* per target */
};

/* Period at which the shell sends WS_EV_TICK. */
#define WS_TICK_PERIOD (10 * WS_MS)

struct ws_core *ws_core_new(const struct ws_core_conf *conf);
void ws_core_free(struct ws_core *c);

/*
 * Processes one event.
 * @param ev borrowed, except that payload handles pass to the core
 * @param fx receives the effects that the shell must carry out, in order
 */
void ws_core_step(struct ws_core *c, const struct ws_event *ev,
		  struct ws_fx *fx);

/* ===== Accessors for status pages and tests ===== */

struct ws_counters {
	uint64_t requests;
	uint64_t answered;
	uint64_t refused[32]; /* by -error */
	uint64_t unknown;
	uint64_t attempts;
	uint64_t retries;
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t records_applied;
	uint64_t appends;
	uint64_t assignments_won;
	uint64_t assignments_lost;
};

const struct ws_counters *ws_core_counters(const struct ws_core *c);
const struct ws_view *ws_core_view(const struct ws_core *c);
const struct ws_own *ws_core_own(const struct ws_core *c);
const struct ws_adm *ws_core_adm(const struct ws_core *c);
const struct ws_disp *ws_core_disp(const struct ws_core *c);
const struct ws_idem *ws_core_idem(const struct ws_core *c);

/* Entry of the audit trail: decision of this instance on one bundle. */
struct ws_audit_entry {
	ws_offset offset; /* of its record; 0: rejected, not appended */
	int64_t wall_ms; /* when this instance decided */
	ws_id writer; /* instance that submitted it */
	uint8_t signer[32];
	uint64_t version;
	uint64_t base;
	int error; /* 0: accepted */
};

/* Audit entries kept in memory; older ones are only in the log. */
#define WS_AUDIT_ENTRIES_MAX 256

/* Number of audit entries in memory, and the i-th, oldest first. */
size_t ws_core_audit_count(const struct ws_core *c);
const struct ws_audit_entry *ws_core_audit_entry(const struct ws_core *c,
						 size_t i);

/*
 * Returns whether the instance can serve callers: its zone is in service by the
 * bundle, its lease is valid, most partitions have a live holder and it is not
 * draining.
 */
bool ws_core_ready(const struct ws_core *c, ws_us now);

#endif
