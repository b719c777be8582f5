#ifndef WS_DISP_INT_H
#define WS_DISP_INT_H

#include "core/ws_disp.h"
#include "core/ws_handle.h"
#include "core/ws_limit.h"

/* Private to ws_disp*.c. */

/*
 * The shell reports the end of a cancelled attempt. If it fails to, the slot is
 * freed after this time and the target goes through a slow start.
 */
#define WS_DISP_CANCEL_GRACE (1 * WS_SECOND)

/*
 * A target notices a cancelled exchange late, or completes the request anyway.
 * When the slot was freed at once, a full target shed the next request, which
 * counted as a cold start. The slot therefore stays in use until the request is
 * this many latencies old, within the bounds below.
 */
#define WS_DISP_LINGER_LATENCIES 3
#define WS_DISP_LINGER_MIN (5 * WS_MS)
#define WS_DISP_LINGER_MAX (200 * WS_MS)

/* Load and readiness from probes are ignored this long after an answer. */
#define WS_DISP_ANSWER_MAX_AGE (1 * WS_SECOND)

/* Retry-after of a rejection when the latency of the target is unknown. */
#define WS_DISP_RETRY_AFTER_DEFAULT (100 * WS_MS)

enum ws_disp_entry_state {
	WS_ENTRY_QUEUED = 1,
	WS_ENTRY_IN_FLIGHT = 2,
	WS_ENTRY_ANSWERED = 3, /* client answered, slot still in use */
	WS_ENTRY_LINGERING = 4, /* cancelled, the target may still run it */
};

struct ws_disp_entry {
	uint8_t state;
	uint16_t weight;
	uint32_t target; /* index in targets */
	uint32_t epoch; /* of the limit when sent */
	ws_id origin;
	uint64_t ref;
	uint64_t incarnation;
	ws_offset fence;
	struct ws_call call;
	ws_us sent;
	ws_us cancelled; /* 0: not */
	ws_us linger_until;
	/* Links in the flow if queued, in the target's list if in flight */
	uint32_t prev;
	uint32_t next;
};

struct ws_disp_entry_list {
	uint32_t head;
	uint32_t tail;
	uint32_t n;
};

/* Queue of one customer at one target; a flow of deficit round robin. */
struct ws_disp_flow {
	ws_id customer;
	uint32_t weight;
	uint32_t deficit; /* requests it may still send in this round */
	struct ws_disp_entry_list list;
};

struct ws_disp_target {
	ws_id id;
	bool open;
	uint64_t incarnation;
	bool ready; /* according to the last probe */
	uint32_t reported_load; /* by the last probe, in 1/1000 of the slots */
	struct ws_limit limit;
	struct ws_disp_entry_list in_flight;
	uint32_t n_queued;
	uint32_t total_weight; /* of all flows */
	struct ws_disp_flow *flows; /* flows without entries are removed */
	size_t n_flows;
	size_t cap_flows;
	size_t next_flow; /* index of the flow served next */
};

struct ws_disp {
	struct ws_disp_conf conf;
	ws_us now; /* as last passed by the caller */
	struct ws_handles slots; /* handles are the attempt numbers */
	struct ws_disp_entry *entries;
	size_t cap_entries;
	struct ws_index by_ref;
	struct ws_disp_target *targets;
	size_t n_targets;
	size_t cap_targets;
	struct ws_index by_target;
};

/* ===== Lists of entries ===== */

void ws_disp_list_init(struct ws_disp_entry_list *list);
void ws_disp_list_append(struct ws_disp *d, struct ws_disp_entry_list *list,
			 uint32_t slot);
void ws_disp_list_remove(struct ws_disp *d, struct ws_disp_entry_list *list,
			 uint32_t slot);

/* ===== Fair queue ===== */

void ws_queue_push(struct ws_disp *d, struct ws_disp_target *t, uint32_t slot);
void ws_queue_remove(struct ws_disp *d, struct ws_disp_target *t,
		     uint32_t slot);

/* Removes the next entry by deficit round robin; WS_SLOT_NONE if empty. */
uint32_t ws_queue_pop(struct ws_disp *d, struct ws_disp_target *t);

/* Estimates how many requests precede a new one of the customer. */
uint32_t ws_queue_requests_ahead(const struct ws_disp_target *t, ws_id customer,
				 uint32_t weight);

/*
 * Finds the entry to drop for a new one of the customer: the newest entry of
 * the flow that is longest for its weight. Returns WS_SLOT_NONE if the
 * customer's own flow would be at least as long.
 */
uint32_t ws_queue_find_victim(const struct ws_disp_target *t, ws_id customer,
			      uint32_t weight);

/* ===== Tables ===== */

uint64_t ws_disp_ref_key(ws_id origin, uint64_t ref);

/* Finds a target, open or closed; NULL if it never was open. */
struct ws_disp_target *ws_disp_find(const struct ws_disp *d, ws_id target);
struct ws_disp_target *ws_disp_find_open(const struct ws_disp *d, ws_id target);

/* ===== Estimates ===== */

/* Smoothed latency, or the age of the oldest request if that is greater. */
ws_us ws_disp_latency(const struct ws_disp *d, const struct ws_disp_target *t,
		      ws_us now);

/* True if answers are recent enough to replace the load that probes report. */
bool ws_disp_has_recent_answers(const struct ws_disp_target *t, ws_us now);

/* ===== Answers ===== */

struct ws_answer ws_disp_make_not_run(const struct ws_disp_target *t,
				      int error);
struct ws_answer ws_disp_make_unknown(int error);
void ws_disp_emit_done(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		       ws_id origin, uint64_t ref,
		       const struct ws_disp_target *t,
		       const struct ws_answer *answer);

/* Answers the client of an entry; the entry may keep its slot. */
void ws_disp_answer_entry(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  uint32_t slot, const struct ws_answer *answer);

/* Answers a queued entry as not run and frees it. */
void ws_disp_reject_queued(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			   uint32_t slot, int error);

/* ===== Sending ===== */

/* Sends as many queued entries as the limit allows. */
void ws_disp_send_queued(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			 struct ws_disp_target *t);
void ws_disp_emit_cancel(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			 uint32_t slot);

/* ===== Cold starts ===== */

void ws_disp_mark_cold(struct ws_fx *fx, struct ws_disp_target *t);

/* A changed incarnation is a cold start, except for the first one seen. */
void ws_disp_update_incarnation(struct ws_fx *fx, struct ws_disp_target *t,
				uint64_t incarnation);
void ws_disp_add_latency_sample(struct ws_fx *fx, ws_us now,
				struct ws_disp_target *t, ws_us latency);

#endif
