/*
 * Messages between instances in the XDR language (RFC 4506); see
 * docs/design.md, section 6. Clocks of instances differ, so a deadline is sent
 * as the time left when the message was encoded. The suffix of a field is its
 * unit.
 * After a change run in this folder:
 *   rpcgen -h ws_peer.x >ws_peer_xdr.h
 *   rpcgen -c ws_peer.x | sed s/ws_peer.h/ws_peer_xdr.h/ >ws_peer_xdr.c
 */

const WSX_METHOD_MAX = 32;
const WSX_PATH_MAX = 8192;
const WSX_HEADERS_MAX = 65536;
const WSX_DATA_MAX = 4194304;
const WSX_RECORD_MAX = 1048576;
const WSX_RECORDS_MAX = 1024;
const WSX_HEALTH_MAX = 4096;
const WSX_HEARD_MAX = 8192;
const WSX_ENTRIES_MAX = 65536;

struct wsx_payload {
	unsigned int status;
	string method<WSX_METHOD_MAX>;
	string path<WSX_PATH_MAX>;
	opaque headers<WSX_HEADERS_MAX>;
	opaque data<WSX_DATA_MAX>;
};

struct wsx_call {
	unsigned hyper service;
	unsigned hyper customer;
	unsigned hyper key;
	unsigned hyper request_id_high;
	unsigned hyper request_id_low;
	unsigned hyper fingerprint;
	bool idempotent;
	hyper time_left_us;
	wsx_payload *payload;
};

struct wsx_load {
	unsigned hyper target;
	unsigned int limit;
	unsigned int in_flight;
	unsigned int queued;
	hyper latency_us;
};

struct wsx_answer {
	unsigned int outcome;
	int error;
	unsigned int status;
	hyper retry_after_us;
	wsx_payload *payload;
};

struct wsx_health {
	unsigned hyper target;
	unsigned hyper incarnation;
	unsigned int state;
	bool told_leaving;
	wsx_load load;
};

struct wsx_heard {
	unsigned hyper instance;
	unsigned int age_ms;
};

struct wsx_heartbeat {
	unsigned hyper zone;
	unsigned hyper folded;
	unsigned hyper bundle_version;
	hyper wall_ms;
	bool ready;
	bool leaving;
	wsx_health health<WSX_HEALTH_MAX>;
	wsx_heard heard<WSX_HEARD_MAX>;
};

struct wsx_fresh {
	unsigned hyper round;
	unsigned hyper folded;
};

/* text: JSON as in the log; empty if the sender could not parse the record. */
struct wsx_record {
	unsigned hyper offset;
	opaque text<WSX_RECORD_MAX>;
};

struct wsx_tail {
	unsigned hyper from;
	wsx_record records<WSX_RECORDS_MAX>;
};

struct wsx_token {
	unsigned hyper ref;
	unsigned hyper customer;
	unsigned int tokens;
	unsigned int balance;
};

struct wsx_forward {
	unsigned hyper ref;
	unsigned int stage;
	unsigned hyper target;
	unsigned hyper incarnation;
	unsigned hyper fence;
	wsx_call call;
};

struct wsx_forward_answer {
	unsigned hyper ref;
	wsx_answer answer;
	wsx_load load;
};

struct wsx_strike {
	unsigned hyper fingerprint;
	unsigned hyper strike_id;
};

struct wsx_entry {
	unsigned hyper request_id_high;
	unsigned hyper request_id_low;
	unsigned hyper customer;
	unsigned hyper fingerprint;
	unsigned int state;
	hyper stamp_ms;
	unsigned int status;
	wsx_payload *payload;
};

struct wsx_handover {
	unsigned int partition;
	unsigned hyper fence;
	bool last;
	wsx_entry entries<WSX_ENTRIES_MAX>;
};

enum wsx_kind {
	WSX_HEARTBEAT = 1,
	WSX_FRESH_ASK = 2,
	WSX_FRESH_ANSWER = 3,
	WSX_TAIL_ASK = 4,
	WSX_TAIL = 5,
	WSX_TOKEN_ASK = 6,
	WSX_TOKEN_GIVE = 7,
	WSX_FORWARD = 8,
	WSX_ANSWER = 9,
	WSX_CANCEL = 10,
	WSX_STRIKE = 11,
	WSX_HANDOVER = 12
};

union wsx_message switch (wsx_kind kind) {
case WSX_HEARTBEAT:
	wsx_heartbeat heartbeat;
case WSX_FRESH_ASK:
	wsx_fresh fresh_ask;
case WSX_FRESH_ANSWER:
	wsx_fresh fresh_answer;
case WSX_TAIL_ASK:
	wsx_tail tail_ask;
case WSX_TAIL:
	wsx_tail tail;
case WSX_TOKEN_ASK:
	wsx_token token_ask;
case WSX_TOKEN_GIVE:
	wsx_token token_give;
case WSX_FORWARD:
	wsx_forward forward;
case WSX_ANSWER:
	wsx_forward_answer forward_answer;
case WSX_CANCEL:
	unsigned hyper cancel;
case WSX_STRIKE:
	wsx_strike strike;
case WSX_HANDOVER:
	wsx_handover handover;
};
