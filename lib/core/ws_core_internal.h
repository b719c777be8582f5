#ifndef WS_CORE_INTERNAL_H
#define WS_CORE_INTERNAL_H

#include "common/ws_events.h"
#include "common/ws_timer.h"
#include "core/ws_core.h"

/* Private to ws_core*.c: the state of the reducer and its parts. */

/* Marks the ref of a FORWARD to a home, apart from those of ws_route. */
#define HOME_REF_FLAG ((uint64_t)1 << 63)

/* How long a call waits for the holder of its home partition. */
#define HOME_WAIT_MAX (3 * WS_SECOND)

/* How long the answer of a home may come after the call's deadline. */
#define HOME_ANSWER_GRACE (200 * WS_MS)

/* ===== Calls ===== */

enum call_state {
	CALL_FREE = 0,
	CALL_ADMISSION, /* waits for a rate token */
	CALL_ROUTED, /* with ws_route here */
	CALL_HOME_WAIT, /* waits for a live holder of its partition */
	CALL_HOME_LOCAL, /* with ws_idem here */
	CALL_HOME_SENT, /* with a home on another instance */
};

/* A request that this instance handles as frontend or as home. */
struct core_call {
	uint8_t state;
	uint64_t id; /* key of the table */
	bool is_home; /* asked for by another instance, or routed for a home */
	uint64_t shell_id; /* frontend: id of the shell's request */
	ws_id origin; /* home: instance that asked */
	uint64_t origin_ref; /* home: its ref */
	ws_id sent_to; /* CALL_HOME_SENT */
	ws_us wait_until; /* CALL_HOME_WAIT */
	bool requester_gone; /* the asker has left */
	bool may_have_run; /* a former home may have run it */
	bool routing; /* ws_route works on it */
	bool answered;
	struct ws_call call;
};

/* A call that another instance forwarded to this dispatcher. */
struct core_forward {
	ws_id origin; /* 0: free entry */
	uint64_t ref;
	ws_payload payload;
};

/* An attempt of ws_route that is with another instance. */
struct core_remote_attempt {
	uint64_t ref; /* 0: free entry */
	ws_id to;
};

/* An answer that must not be fed back in the same step. */
struct core_deferred {
	uint64_t ref;
	struct ws_answer answer;
};

/* A target that was taken over and is opened after a wait. */
struct core_takeover {
	ws_id target;
	ws_offset fence;
	ws_us at;
};

/* ===== Bundles ===== */

/* A bundle that an operator submitted here and that is on its way. */
struct core_submission {
	uint64_t uid; /* 0: none */
	uint64_t ref;
	ws_us deadline;
};

/* An append held back until a dispatched target is idle. */
struct core_delayed_append {
	struct ws_record *record;
	ws_us until;
};

struct ws_core {
	struct ws_core_conf conf;
	ws_us now;
	int64_t wall_ms;
	struct ws_fx step_fx; /* effects of the step in progress */
	struct ws_fx *out;
	struct ws_timers *timers;
	struct ws_member *member;
	struct ws_own *own;
	struct ws_adm *adm;
	struct ws_idem *idem;
	struct ws_quar *quar;
	struct ws_route *route;
	struct ws_disp *disp;
	struct ws_bundle *bundle;
	struct ws_counters counters;
	uint64_t next_id;

	/* Calls: open addressing by id */
	struct core_call *calls;
	size_t cap_calls; /* power of two */
	size_t n_calls;
	uint64_t *home_calls; /* ids of calls that wait for a home */
	size_t n_home_calls;
	size_t cap_home_calls;

	struct core_forward *forwards;
	size_t n_forwards;
	size_t cap_forwards;
	struct core_remote_attempt *remote_attempts;
	size_t n_remote_attempts;
	size_t cap_remote_attempts;
	struct core_deferred *deferred;
	size_t n_deferred;
	size_t cap_deferred;

	/* Targets that this instance dispatches or is about to */
	ws_id *watched;
	size_t n_watched;
	size_t cap_watched;
	struct core_takeover *takeovers;
	size_t n_takeovers;
	size_t cap_takeovers;

	/* Log */
	bool reading;
	ws_us next_read;
	struct ws_record *pending_records; /* records after a gap */
	size_t n_pending_records;
	size_t cap_pending_records;

	struct core_submission publish;
	struct core_delayed_append *delayed_appends;
	size_t n_delayed_appends;
	size_t cap_delayed_appends;

	size_t n_live_partitions; /* held by instances that are alive */
	bool draining;
	bool drained;
	ws_us idle_since; /* while draining; 0: not idle */
	bool member_dirty;
	bool clock_off; /* the wall clock differs too much from the peers' */

	struct ws_audit_entry audit[WS_AUDIT_ENTRIES_MAX];
	size_t n_audited; /* ever added */
};

/* ===== ws_core_calls.c: requests at the frontend and at home ===== */

void ws_core_request(struct ws_core *c, const struct ws_event *ev);
void ws_core_request_gone(struct ws_core *c, uint64_t shell_id);
void ws_core_admitted(struct ws_core *c, const struct ws_effect *e);
void ws_core_admit_refused(struct ws_core *c, const struct ws_effect *e);
void ws_core_home_run(struct ws_core *c, const struct ws_effect *e);
void ws_core_home_done(struct ws_core *c, const struct ws_effect *e);
void ws_core_route_done(struct ws_core *c, const struct ws_effect *e);
void ws_core_forward_home(struct ws_core *c, ws_id from,
			  const struct ws_msg *msg);
void ws_core_home_answer(struct ws_core *c, uint64_t ref,
			 const struct ws_answer *answer);
void ws_core_calls_tick(struct ws_core *c);
void ws_core_calls_peer_down(struct ws_core *c, ws_id peer);
struct core_call *ws_core_find_call(struct ws_core *c, uint64_t id);

/* ===== ws_core_dispatch.c: attempts between frontend and dispatcher ===== */

void ws_core_route_send(struct ws_core *c, const struct ws_effect *e);
void ws_core_route_cancel(struct ws_core *c, const struct ws_effect *e);
void ws_core_forward_dispatch(struct ws_core *c, ws_id from,
			      const struct ws_msg *msg);
void ws_core_disp_send(struct ws_core *c, const struct ws_effect *e);
void ws_core_disp_done(struct ws_core *c, const struct ws_effect *e);
void ws_core_answer(struct ws_core *c, const struct ws_msg *msg);
void ws_core_dispatch_tick(struct ws_core *c);
void ws_core_dispatch_peer_down(struct ws_core *c, ws_id peer);
void ws_core_update_dispatched(struct ws_core *c);

/* ===== ws_core_log.c: records, bundles, appends ===== */

void ws_core_log_read(struct ws_core *c, const struct ws_event *ev);
void ws_core_log_failed(struct ws_core *c);
void ws_core_log_tail(struct ws_core *c, const struct ws_msg *msg);
void ws_core_append(struct ws_core *c, struct ws_record *rec);
void ws_core_appended(struct ws_core *c, uint64_t uid, ws_offset offset,
		      int error, bool unknown);
void ws_core_publish(struct ws_core *c, const struct ws_event *ev);
void ws_core_log_tick(struct ws_core *c);

/* ===== ws_core.c ===== */

/* Sends a message to one instance; returns it to be filled in. */
struct ws_msg *ws_core_send(struct ws_core *c, ws_id to, uint8_t kind);

/* Gives a reference to a payload back to the shell. */
void ws_core_release(struct ws_core *c, ws_payload payload);

/* Takes one more reference to a payload. */
void ws_core_retain(struct ws_core *c, ws_payload payload);

/* Effects of modules are added here and worked off within the step. */
static inline struct ws_fx *ws_core_fx(struct ws_core *c)
{
	return &c->step_fx;
}

static inline const struct ws_view *ws_core_member_view(const struct ws_core *c)
{
	return ws_member_view(c->member);
}

/* With most partitions lost there are no rates to count requests against. */
static inline bool ws_core_has_partition_majority(const struct ws_core *c)
{
	return c->bundle && 2 * c->n_live_partitions > c->bundle->partitions;
}

static inline bool ws_core_is_fresh(const struct ws_core *c)
{
	return c->now < ws_own_fresh_until(c->own);
}

#endif
