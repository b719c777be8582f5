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
 * The reducer: one entry point for every event. It owns all modules; effects
 * between modules are consumed inside a step.
 */

struct ws_core;

struct ws_core_conf {
	ws_id self; /* random, new at each start */
	ws_id zone;
	uint64_t seed;
	struct ws_name name;
	struct ws_name address; /* of the peer listener */
	uint8_t seed_operator[32]; /* trusted for the first bundle */
	enum ws_pick_policy pick;
	bool hedge;
	size_t max_calls; /* requests held at once */
	size_t max_idem; /* request ids remembered */
	size_t max_queued; /* per target */
};

/* Period at which the shell must send WS_EV_TICK. */
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

/* ===== Questions for status pages and tests ===== */

struct ws_counters {
	uint64_t requests;
	uint64_t answered;
	uint64_t refused[32]; /* by -error */
	uint64_t unknown;
	uint64_t attempts;
	uint64_t retries;
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t records_folded;
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

/* What this instance decided on one bundle; a part of the audit trail. */
struct ws_audit_entry {
	ws_offset offset; /* of its record; 0: refused before the log */
	int64_t wall_ms; /* when this instance decided */
	ws_id writer; /* instance that submitted it */
	uint8_t signer[32];
	uint64_t version;
	uint64_t base;
	int error; /* 0: in force */
};

/* Entries that an instance keeps in memory; the log has the older ones. */
#define WS_AUDIT_ENTRIES_MAX 256

/* Number of entries kept, and the i-th in order of time. */
size_t ws_core_audit_count(const struct ws_core *c);
const struct ws_audit_entry *ws_core_audit_entry(const struct ws_core *c,
						 size_t i);

/* Ready to take callers: has a bundle, is fresh, not draining, zone in. */
bool ws_core_ready(const struct ws_core *c, ws_us now);

#endif
