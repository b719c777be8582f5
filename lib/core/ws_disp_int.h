#ifndef WS_DISP_INT_H
#define WS_DISP_INT_H

#include "core/ws_disp.h"
#include "core/ws_handle.h"
#include "core/ws_limit.h"

/* Parts of ws_disp that its own files share. */

/*
 * After a cancellation the shell reports the end of the attempt. When it does
 * not, the slot is freed after this time and the target starts slowly.
 */
#define WS_DISP_CANCEL_GRACE (1 * WS_SECOND)

/*
 * A target learns of a cancelled exchange late, or runs the request to its
 * end. Freed at once, the slot's next request was shed by a full target, which
 * counted as a cold start. The slot stays counted until the request would be
 * old by this many latencies, within bounds.
 */
#define WS_DISP_LINGER_LATENCIES 3
#define WS_DISP_LINGER_MIN (5 * WS_MS)
#define WS_DISP_LINGER_MAX (200 * WS_MS)

/* Without an answer for this long, reported load and readiness count. */
#define WS_DISP_ANSWER_MAX_AGE (1 * WS_SECOND)

/* Without a latency estimate, a refusal names this time. */
#define WS_DISP_RETRY_AFTER_DEFAULT (100 * WS_MS)

enum ws_disp_entry_state {
	WS_ENTRY_QUEUED = 1,
	WS_ENTRY_IN_FLIGHT = 2,
	WS_ENTRY_ANSWERED = 3, /* asker answered, slot still counted */
	WS_ENTRY_LINGERING = 4, /* cancelled, the target may run it still */
};

struct ws_disp_entry {
	uint8_t state;
	uint16_t weight;
	uint32_t target; /* slot in targets */
	uint32_t epoch; /* of the limit when sent */
	ws_id origin;
	uint64_t ref;
	uint64_t incarnation;
	ws_offset fence;
	struct ws_call call;
	ws_us sent;
	ws_us cancelled; /* 0: not */
	ws_us linger_until;
	/* In the lane while queued, in the target's list while in flight */
	uint32_t prev;
	uint32_t next;
};

struct ws_disp_entry_list {
	uint32_t head;
	uint32_t tail;
	uint32_t n;
};

/* Queue of one customer at one target. */
struct ws_disp_flow {
	ws_id customer;
	uint32_t weight;
	uint32_t deficit; /* requests it may still send in this turn */
	struct ws_disp_entry_list list;
};

struct ws_disp_target {
	ws_id id;
	bool open;
	uint64_t incarnation;
	bool ready; /* as the last probe said */
	uint32_t reported_load; /* load as reported, in 1/1000 */
	struct ws_limit limit;
	struct ws_disp_entry_list in_flight;
	uint32_t n_queued;
	uint32_t total_weight; /* of the lanes */
	struct ws_disp_flow *flows; /* only those with entries */
	size_t n_flows;
	size_t cap_flows;
	size_t next_flow;
};

struct ws_disp {
	struct ws_disp_conf conf;
	ws_us now; /* time of the last call */
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

/* Takes the next entry by deficit round robin, or WS_SLOT_NONE. */
uint32_t ws_queue_pop(struct ws_disp *d, struct ws_disp_target *t);

/* Requests that would be served before a new one of the customer. */
uint32_t ws_queue_requests_ahead(const struct ws_disp_target *t, ws_id customer,
				 uint32_t weight);

/*
 * The newest entry of the lane that is longest for its weight, when that lane
 * is longer than the customer's own; else WS_SLOT_NONE.
 */
uint32_t ws_queue_find_victim(const struct ws_disp_target *t, ws_id customer,
			      uint32_t weight);

/* ===== Tables ===== */

uint64_t ws_disp_ref_key(ws_id origin, uint64_t ref);

/* The target, open or not; NULL when it never was open. */
struct ws_disp_target *ws_disp_find(const struct ws_disp *d, ws_id target);
struct ws_disp_target *ws_disp_find_open(const struct ws_disp *d, ws_id target);

/* ===== Estimates ===== */

/* Smoothed latency, or the age of a request that takes longer. */
ws_us ws_disp_latency(const struct ws_disp *d, const struct ws_disp_target *t,
		      ws_us now);

/* True when our own recent answers say more than the target's reports. */
bool ws_disp_has_recent_answers(const struct ws_disp_target *t, ws_us now);

/* ===== Answers ===== */

struct ws_answer ws_disp_make_not_run(const struct ws_disp_target *t,
				      int error);
struct ws_answer ws_disp_make_unknown(int error);
void ws_disp_emit_done(struct ws_disp *d, struct ws_fx *fx, ws_us now,
		       ws_id origin, uint64_t ref,
		       const struct ws_disp_target *t,
		       const struct ws_answer *answer);

/* Answers whoever asked for an entry; the entry itself may live on. */
void ws_disp_answer_entry(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			  uint32_t slot, const struct ws_answer *answer);

/* Answers a queued entry as not run and forgets it. */
void ws_disp_reject_queued(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			   uint32_t slot, int error);

/* ===== Sending ===== */

/* Sends queued entries as far as the limit allows. */
void ws_disp_send_queued(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			 struct ws_disp_target *t);
void ws_disp_emit_cancel(struct ws_disp *d, struct ws_fx *fx, ws_us now,
			 uint32_t slot);

/* ===== Cold starts ===== */

void ws_disp_mark_cold(struct ws_fx *fx, struct ws_disp_target *t);

/* A new incarnation is a cold start; the first one seen is not news. */
void ws_disp_update_incarnation(struct ws_fx *fx, struct ws_disp_target *t,
				uint64_t incarnation);
void ws_disp_add_latency_sample(struct ws_fx *fx, ws_us now,
				struct ws_disp_target *t, ws_us latency);

#endif
