#ifndef WS_TYPES_H
#define WS_TYPES_H

#include "common/ws_common.h"

/*
 * Data types that the modules of the core exchange: resources, log records,
 * messages between instances, events and effects. They hold plain values only.
 * Arrays inside an event are borrowed for one call of ws_core_step(); arrays
 * inside an effect belong to the effect list and are freed by ws_fx_clear().
 */

/* ===== Names ===== */

#define WS_NAME_MAX 63

struct ws_name {
	char text[WS_NAME_MAX + 1];
};

/* ===== Resources and assignments ===== */

enum ws_res_kind {
	WS_RES_NONE = 0,
	WS_RES_PARTITION = 1, /* item: index */
	WS_RES_DISPATCH = 2, /* item: target id */
	WS_RES_SHARD = 3, /* scope: service id, item: shard index */
	WS_RES_HOT_KEY = 4, /* scope: service id, item: key hash */
};

struct ws_res {
	uint8_t kind;
	ws_id scope;
	uint64_t item;
};

/* An instance (incarnation 0) or a target with its incarnation. */
struct ws_holder {
	ws_id id;
	uint64_t incarnation;
};

struct ws_assignment {
	struct ws_res res;
	struct ws_holder holder;
	ws_offset fence; /* offset of the record that assigned it */
	bool active;
	/*
	 * Wall-clock ms when it became active without a release by the
	 * previous holder; 0 when handed over or first assigned.
	 */
	int64_t takeover_wall_ms;
};

/* ===== Log records ===== */

enum ws_record_kind {
	WS_REC_ASSIGN = 1,
	WS_REC_ACTIVATE = 2,
	WS_REC_BUNDLE = 3,
	WS_REC_SNAPSHOT = 4,
	WS_REC_RECOVER = 5, /* an operator declares these instances gone */
};

struct ws_assign_item {
	struct ws_res res;
	ws_offset expected_fence; /* 0: never assigned */
	struct ws_holder holder;
};

struct ws_record {
	uint8_t kind;
	ws_offset offset; /* set by the reader */
	uint64_t uid; /* chosen by the writer, unique */
	ws_id writer;
	int64_t wall_ms; /* writer's wall clock */
	bool released; /* ASSIGN: the former holder has released it */
	ws_offset target_offset; /* ACTIVATE: the ASSIGN; SNAPSHOT: covered */
	size_t n_items;
	struct ws_assign_item *items;
	size_t n_assignments; /* SNAPSHOT */
	struct ws_assignment *assignments;
	size_t n_gone; /* RECOVER */
	ws_id *gone;
	uint8_t signer[32]; /* RECOVER: key whose signature was verified */
	uint64_t bundle_version; /* BUNDLE, SNAPSHOT */
	uint64_t bundle_base; /* BUNDLE: version that it builds on */
	struct ws_bundle *bundle; /* parsed and verified; NULL: invalid */
	char *bundle_text; /* signed text, as published */
};

/* ===== Requests ===== */

/* The part of a request that the core uses; the payload holds the bytes. */
struct ws_call {
	ws_id service;
	ws_id customer;
	uint64_t key; /* hash of the key; 0 for open services */
	uint64_t request_id[2]; /* UUID version 7; zeros if none */
	uint64_t fingerprint; /* customer, service, method, path, body */
	bool idempotent;
	ws_us deadline; /* on the local clock; relative on the wire */
	ws_payload payload;
};

/* Whether a target executed a request. */
enum ws_outcome {
	WS_OUT_DONE = 1, /* executed, and the answer is complete */
	WS_OUT_NOT_RUN = 2, /* proven not to have been executed */
	WS_OUT_UNKNOWN = 3,
};

struct ws_answer {
	uint8_t outcome;
	int error; /* enum ws_error when outcome is not DONE */
	uint16_t status; /* HTTP status when outcome is DONE */
	ws_us retry_after;
	ws_payload payload;
};

/* Load of a target as its dispatcher sees it; sent along with answers. */
struct ws_load {
	ws_id target;
	uint16_t limit; /* current concurrency limit */
	uint16_t in_flight;
	uint16_t queued;
	ws_us latency; /* smoothed service time */
};

/* ===== Members ===== */

enum ws_member_state {
	WS_STATE_LIVE = 1,
	WS_STATE_LEAVING = 2,
	WS_STATE_LOST = 3,
};

/* One entry of the platform's list of instances and targets. */
struct ws_list_entry {
	bool is_target;
	ws_id id; /* instance: its random id; target: hash of the name */
	ws_id zone;
	ws_id service; /* targets only */
	bool leaving;
	struct ws_name name;
	struct ws_name address; /* ip:port */
};

/* Health of a target as its dispatcher sees it. */
struct ws_target_health {
	ws_id target;
	uint64_t incarnation;
	uint8_t state; /* enum ws_member_state */
	bool reports_leaving; /* the target itself reports that it is leaving */
	struct ws_load load;
};

/*
 * An instance whose heartbeats reach the sender directly, and the age of the
 * last one.
 */
struct ws_heard {
	ws_id id;
	uint32_t age_ms;
};

/* ===== Messages between instances ===== */

enum ws_msg_kind {
	WS_MSG_HEARTBEAT = 1,
	WS_MSG_FRESH_ASK = 2,
	WS_MSG_FRESH_ANSWER = 3,
	WS_MSG_TAIL_ASK = 4,
	WS_MSG_TAIL = 5,
	WS_MSG_TOKEN_ASK = 6,
	WS_MSG_TOKEN_GIVE = 7,
	WS_MSG_FORWARD = 8,
	WS_MSG_ANSWER = 9,
	WS_MSG_CANCEL = 10,
	WS_MSG_STRIKE = 11,
	WS_MSG_HANDOVER = 12,
};

enum ws_stage {
	WS_STAGE_HOME = 1, /* to the home of a non-idempotent request */
	WS_STAGE_DISPATCH = 2, /* to the dispatcher of a target */
};

/* One remembered request id, as sent in HANDOVER. */
struct ws_idem_entry {
	uint64_t request_id[2];
	ws_id customer;
	uint64_t fingerprint;
	uint8_t state;
	int64_t stamp_ms;
	uint16_t status;
	ws_payload payload;
};

struct ws_msg {
	uint8_t kind;
	union {
		struct {
			ws_id zone;
			ws_offset next_offset;
			uint64_t bundle_version;
			int64_t wall_ms;
			bool ready;
			bool leaving;
			size_t n_health;
			struct ws_target_health *health;
			size_t n_heard;
			struct ws_heard *heard;
		} heartbeat;
		struct {
			uint64_t round;
			ws_offset next_offset;
		} fresh; /* FRESH_ASK, FRESH_ANSWER */
		struct {
			ws_offset from; /* first offset wanted or contained */
			size_t n_records;
			struct ws_record *records; /* TAIL only */
		} tail;
		struct {
			uint64_t ref;
			ws_id customer;
			uint32_t tokens; /* wanted or given, in 1/1000 */
			uint32_t balance; /* of the sender, in 1/1000 */
		} token;
		struct {
			uint64_t ref;
			uint8_t stage;
			ws_id target; /* DISPATCH stage */
			uint64_t incarnation;
			ws_offset fence; /* of the shard or hot key; 0: none */
			struct ws_call call;
		} forward;
		struct {
			uint64_t ref;
			struct ws_answer answer;
			struct ws_load load;
		} answer;
		struct {
			uint64_t ref;
		} cancel;
		struct {
			uint64_t fingerprint;
			uint64_t strike_id; /* one per crash, counted once */
		} strike;
		struct {
			uint32_t partition;
			ws_offset fence; /* under which the sender held it */
			bool last;
			size_t n_entries;
			struct ws_idem_entry *entries;
		} handover;
	} u;
};

/* ===== Events ===== */

enum ws_event_kind {
	WS_EV_TICK = 1,
	WS_EV_LOG_READ,
	WS_EV_LOG_FAILED,
	WS_EV_APPENDED,
	WS_EV_APPEND_FAILED,
	WS_EV_LIST,
	WS_EV_PEER_MSG,
	WS_EV_PEER_DOWN,
	WS_EV_PROBED,
	WS_EV_GRANTED,
	WS_EV_REQUEST,
	WS_EV_REQUEST_GONE,
	WS_EV_ATTEMPT_DONE,
	WS_EV_PUBLISH, /* an operator submits a bundle */
	WS_EV_DRAIN, /* start a graceful shutdown */
};

/* How an HTTP exchange with a target ended. */
struct ws_attempt_result {
	uint8_t outcome; /* enum ws_outcome */
	int error;
	uint16_t status;
	uint64_t incarnation; /* reported with the answer; 0: none */
	bool shed; /* the target rejected it without running it */
	bool crashed; /* connection closed or reset while in flight */
	ws_us latency;
	ws_payload payload;
};

struct ws_event {
	uint8_t kind;
	ws_us now;
	int64_t wall_ms;
	union {
		struct {
			ws_us started;
			ws_offset from;
			ws_offset oldest; /* oldest offset the log still has */
			ws_offset head; /* next offset the log will assign */
			size_t n_records;
			struct ws_record *records;
		} log_read;
		struct {
			uint64_t uid;
			ws_offset offset;
		} appended;
		struct {
			uint64_t uid;
			bool unknown; /* it may have been applied */
		} append_failed;
		struct {
			size_t n_entries;
			struct ws_list_entry *entries;
		} list;
		struct {
			ws_id from;
			struct ws_msg *msg;
		} peer;
		struct {
			ws_id target;
			ws_us sent;
			bool ok;
			uint64_t incarnation;
			int64_t target_us; /* target's monotonic clock */
			bool leaving;
			bool ready;
			uint32_t load; /* as reported, in 1/1000 of its slots */
		} probed;
		struct {
			ws_id target;
			ws_offset as_of;
			bool ok;
			uint64_t incarnation;
			int64_t target_us;
		} granted;
		struct {
			uint64_t id; /* chosen by the shell */
			uint64_t caller_key[4]; /* hash; zeros: none */
			bool internal; /* arrived on the internal listener */
			struct ws_call call;
		} request;
		struct {
			uint64_t attempt;
			struct ws_attempt_result result;
		} attempt;
		struct {
			uint64_t ref;
			struct ws_record *record; /* kind BUNDLE */
		} publish;
	} u;
};

/* ===== Effects ===== */

enum ws_effect_kind {
	/* Executed by the shell, the part of the process around the core */
	WS_FX_APPEND = 1,
	WS_FX_LOG_READ,
	WS_FX_SEND,
	WS_FX_PROBE,
	WS_FX_GRANT,
	WS_FX_ATTEMPT,
	WS_FX_ATTEMPT_CANCEL,
	WS_FX_REPLY,
	WS_FX_RELEASE, /* the core no longer needs a payload */
	WS_FX_LOG, /* numbered log event */
	WS_FX_PUBLISHED, /* result of WS_EV_PUBLISH */
	WS_FX_DRAINED, /* graceful shutdown is complete */
	WS_FX_RETAIN, /* one more reference to a payload; uses u.release */
	/* Passed between modules; consumed inside ws_core_step() */
	WS_FX_ADMITTED = 64, /* ws_adm: a token was spent for the call */
	WS_FX_ADMIT_REFUSED,
	WS_FX_HOME_RUN, /* ws_idem: route this call now */
	WS_FX_HOME_DONE, /* ws_idem: answer for one waiting request */
	WS_FX_ROUTE_SEND, /* ws_route: hand the call to a dispatcher */
	WS_FX_ROUTE_CANCEL,
	WS_FX_ROUTE_DONE, /* ws_route: final answer of a routed call */
	WS_FX_DISP_SEND, /* ws_disp: send to the target if permitted */
	WS_FX_DISP_DONE, /* ws_disp: answer for the forwarding instance */
	WS_FX_STRIKE, /* ws_disp: a request may have crashed a target */
	WS_FX_TARGET_COLD, /* ws_disp: a target has become cold */
};

/* One (resource, fence) pair of a grant to a target. */
struct ws_grant_item {
	struct ws_res res;
	ws_offset fence;
};

struct ws_effect {
	uint8_t kind;
	union {
		struct ws_record *append;
		struct {
			ws_offset from;
		} log_read;
		struct {
			ws_id to; /* 0: all live instances */
			struct ws_msg msg;
		} send;
		struct {
			ws_id target;
		} probe;
		struct {
			ws_id target;
			uint64_t incarnation;
			ws_offset as_of;
			int64_t not_after_us; /* on the target's clock */
			size_t n_items;
			struct ws_grant_item *items;
		} grant;
		struct {
			uint64_t attempt;
			ws_id target;
			uint64_t incarnation;
			ws_offset fence;
			/*
			 * Sharded services: the target must not start the
			 * request after this time on its own clock; 0: no
			 * bound. Without it, a target that was frozen could run
			 * the request under a former fence.
			 */
			int64_t start_by_us;
			struct ws_call call;
		} attempt; /* ATTEMPT, DISP_SEND; CANCEL uses attempt only */
		struct {
			uint64_t id;
			struct ws_answer answer;
		} reply; /* also ADMIT_REFUSED, HOME_DONE, ROUTE_DONE */
		struct {
			ws_payload payload;
		} release;
		struct {
			uint16_t number; /* enum ws_log_number */
			ws_id subject;
			int64_t value;
			int error;
		} log;
		struct {
			uint64_t ref;
			int error;
			uint64_t version; /* in force now */
		} published;
		struct {
			uint64_t id;
			struct ws_call call;
		} call; /* ADMITTED, HOME_RUN */
		struct {
			uint64_t ref; /* chosen by ws_route, unique */
			ws_id target;
			struct ws_call call;
		} route_send; /* CANCEL uses ref only */
		struct {
			ws_id origin; /* instance that forwarded it */
			uint64_t ref;
			struct ws_answer answer;
			struct ws_load load;
		} disp_done;
		struct {
			uint64_t fingerprint;
			uint64_t strike_id;
			ws_id target;
		} strike;
	} u;
};

/* A growable list of effects. */
struct ws_fx {
	struct ws_effect *items;
	size_t n;
	size_t cap;
};

/*
 * Appends an effect of the given kind with all other fields zero.
 * @return the effect to fill in; valid until the next ws_fx_add()
 */
struct ws_effect *ws_fx_add(struct ws_fx *fx, uint8_t kind);

/* Adds a WS_FX_LOG effect. */
void ws_fx_log(struct ws_fx *fx, uint16_t number, ws_id subject, int64_t value,
	       int error);

/* Frees what the effects own and empties the list; keeps its capacity. */
void ws_fx_clear(struct ws_fx *fx);

/* Frees the list itself. */
void ws_fx_free(struct ws_fx *fx);

/*
 * Free the memory that a record or a message owns, but not the struct itself.
 */
void ws_record_clear(struct ws_record *rec);
void ws_msg_clear(struct ws_msg *msg);

/* Deep copies; bundles are shared by reference count. */
void ws_record_copy(struct ws_record *to, const struct ws_record *from);
void ws_msg_copy(struct ws_msg *to, const struct ws_msg *from);

bool ws_res_equal(const struct ws_res *a, const struct ws_res *b);
uint64_t ws_res_hash(const struct ws_res *res);
bool ws_holder_equal(const struct ws_holder *a, const struct ws_holder *b);

#endif
