#ifndef WS_CORE_INTERNAL_H
#define WS_CORE_INTERNAL_H

#include "common/ws_events.h"
#include "common/ws_timer.h"
#include "core/ws_core.h"

/* Private to ws_core*.c: state of the core and functions of its parts. */

/* Set in the ref of a FORWARD to a home; refs of ws_route do not have it. */
#define HOME_REF_FLAG ((uint64_t)1 << 63)

/* Longest time that a call waits for a live holder of its home partition. */
#define HOME_WAIT_MAX (3 * WS_SECOND)

/* Time allowed for the answer of a home after the call's deadline. */
#define HOME_ANSWER_GRACE (200 * WS_MS)

/* ===== Calls ===== */

enum call_state {
	CALL_FREE = 0,
	CALL_ADMISSION, /* in ws_adm, waiting for a rate token */
	CALL_ROUTED, /* in ws_route of this instance */
	CALL_HOME_WAIT, /* waits for a live holder of its partition */
	CALL_HOME_LOCAL, /* in ws_idem of this instance */
	CALL_HOME_SENT, /* forwarded to a home on another instance */
};

/*
 * A request that this instance handles as frontend (from a caller) or as home
 * (from another instance, for the partition that its request id belongs to).
 */
struct core_call {
	uint8_t state;
	uint64_t id; /* key of the table */
	bool is_home; /* handled as home for another instance */
	uint64_t shell_id; /* frontend: id of the shell's request */
	ws_id origin; /* home: instance that forwarded it */
	uint64_t origin_ref; /* home: its ref */
	ws_id sent_to; /* CALL_HOME_SENT */
	ws_us wait_until; /* CALL_HOME_WAIT */
	bool client_gone; /* no answer is needed */
	bool may_have_run; /* an earlier home may have run it */
	bool routing; /* in ws_route */
	bool answered;
	struct ws_call call;
};

/* A call that another instance forwarded to this dispatcher. */
struct core_forward {
	ws_id origin; /* 0: free entry */
	uint64_t ref;
	ws_payload payload;
};

/* An attempt of ws_route that was forwarded to another instance. */
struct core_remote_attempt {
	uint64_t ref; /* 0: free entry */
	ws_id to;
};

/* A failed attempt that is reported to ws_route on the next tick. */
struct core_deferred {
	uint64_t ref;
	struct ws_answer answer;
};

/* Assignment of a target to this instance, and when to open the target. */
struct core_takeover {
	ws_id target;
	ws_offset fence;
	ws_us at;
};

/* ===== Bundles ===== */

/* A bundle or recovery of an operator that is not yet read from the log. */
struct core_submission {
	uint64_t uid; /* 0: none */
	uint64_t ref;
	ws_us deadline;
};

/* A release of dispatched targets, delayed until they are idle. */
struct core_delayed_append {
	struct ws_record *record;
	ws_us until;
};

struct ws_core {
	struct ws_core_conf conf;
	ws_us now;
	int64_t wall_ms;
	struct ws_fx step_fx; /* effects of modules in the current step */
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
	/* Ids of calls that wait for a home, or for its answer */
	uint64_t *home_calls;
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

	/* Targets that are probed: dispatched here, or about to be */
	ws_id *watched;
	size_t n_watched;
	size_t cap_watched;
	struct core_takeover *takeovers;
	size_t n_takeovers;
	size_t cap_takeovers;

	/* Log */
	bool reading;
	ws_us next_read;
	struct ws_record *pending_records; /* read after a gap in the log */
	size_t n_pending_records;
	size_t cap_pending_records;

	struct core_submission submission;
	struct core_delayed_append *delayed_appends;
	size_t n_delayed_appends;
	size_t cap_delayed_appends;

	size_t n_live_partitions; /* whose holder is alive */
	bool draining;
	bool drained;
	ws_us idle_since; /* while draining; 0: not idle */
	bool member_dirty; /* records were applied; update dispatched targets */
	bool clock_off; /* the wall clock deviates too much from the peers' */

	struct ws_audit_entry audit[WS_AUDIT_ENTRIES_MAX];
	size_t n_audited; /* since the start, including overwritten ones */
};

/* ===== ws_core_calls.c: requests at the frontend and at the home ===== */

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

/*
 * Adds a message to one instance, or to all live ones if to is 0.
 * @return the message to fill in; valid until the next effect is added
 */
struct ws_msg *ws_core_send(struct ws_core *c, ws_id to, uint8_t kind);

/* Returns a reference to a payload to the shell. */
void ws_core_release(struct ws_core *c, ws_payload payload);

/* Takes one more reference to a payload. */
void ws_core_retain(struct ws_core *c, ws_payload payload);

/* List to which modules add effects; it is processed within the step. */
static inline struct ws_fx *ws_core_fx(struct ws_core *c)
{
	return &c->step_fx;
}

static inline const struct ws_view *ws_core_member_view(const struct ws_core *c)
{
	return ws_member_view(c->member);
}

/* Without live holders of most partitions, rates cannot be enforced. */
static inline bool ws_core_has_partition_majority(const struct ws_core *c)
{
	return c->bundle && 2 * c->n_live_partitions > c->bundle->partitions;
}

static inline bool ws_core_is_fresh(const struct ws_core *c)
{
	return c->now < ws_own_fresh_until(c->own);
}

#endif
