#ifndef WS_ED_FX_H
#define WS_ED_FX_H

#include "edge/ws_ed_pool.h"

/*
 * Effects ("fx") of the edge's reducer: the I/O that the shell must perform,
 * in order.
 */

enum ws_ed_effect_kind {
	WS_EDFX_SEND = 1, /* send a request to a server */
	WS_EDFX_CANCEL, /* cancel a request at a server */
	WS_EDFX_FORWARD, /* forward the server's response to the caller */
	WS_EDFX_REPLY, /* send the caller a response of the instance itself */
	WS_EDFX_GRANT, /* lease a key range to a server */
	WS_EDFX_RELEASE, /* revoke a server's lease of a key range */
	WS_EDFX_APPEND, /* append ws_ed_lead_proposal() to the store */
	WS_EDFX_READ, /* read a topic that may have newer records */
	WS_EDFX_CHECK, /* find out whether a server accepts connections */
	WS_EDFX_HEARTBEAT, /* send a heartbeat now */
	WS_EDFX_REFUSED, /* send a member the list of refused requests */
	WS_EDFX_LOG, /* write a log line */
};

/* Topics of the store that every instance subscribes to. */
enum ws_ed_topic {
	WS_EDT_CONFIG = 0,
	WS_EDT_SERVERS,
	WS_EDT_MAP,
	WS_EDT_COUNT,
};

/* Why a request was not answered by a server; logged by name. */
enum ws_ed_reason {
	WS_EDR_NONE = 0,
	WS_EDR_NO_CONFIG,
	WS_EDR_STORE_UNREACHABLE, /* no recent read of the store */
	WS_EDR_NO_ROUTE,
	WS_EDR_BAD_CALLER_KEY,
	WS_EDR_BAD_REQUEST,
	WS_EDR_RATE_EXCEEDED,
	WS_EDR_QUARANTINED,
	WS_EDR_NO_SERVER,
	WS_EDR_NO_OWNER,
	WS_EDR_SERVER_LIMIT, /* the rate of all its servers is used up */
	WS_EDR_SERVER_CLOSED, /* its servers want no requests for now */
	WS_EDR_OVERLOAD,
	WS_EDR_TIMEOUT,
	WS_EDR_SERVER_SHED,
	WS_EDR_SERVER_FAILED,
	WS_EDR_CONNECTION_LOST,
	WS_EDR_CALLER_GONE,
	WS_EDR_INSTANCE_FULL,
	WS_EDR_DRAINING,
	WS_EDR_LINK_FULL, /* news waits in the full link */
	WS_EDR_OLD_CONFIG, /* a newer one may allow the request */
	WS_EDR_COUNT,
};

/* A grant or release call to a server. */
struct ws_ed_key_call {
	uint64_t ref;
	ws_id server;
	int64_t started_ms; /* start of the server */
	char name[WS_ED_NAME_MAX];
	char address[WS_ED_NAME_MAX];
	uint32_t from;
	uint32_t to; /* inclusive */
	uint64_t fence;
	ws_us lease_duration; /* GRANT: lease duration, from the arrival of the
				 call */
	/* GRANT: handover token of the previous holder, or "" */
	char handover[WS_ED_NAME_MAX];
};

struct ws_ed_effect {
	uint8_t kind;
	union {
		struct {
			uint64_t request;
			/* 0 or 1: which of two concurrent sends, see ed_lane */
			uint8_t lane;
			uint32_t server; /* handle */
			ws_us deadline; /* absolute */
			/* Its address may have been sent the request before */
			bool resent;
		} send; /* CANCEL uses request and lane only */
		struct {
			uint64_t request;
			int status;
			ws_us retry_after; /* 0: no Retry-After */
			enum ws_ed_reason reason;
			char customer[WS_ED_NAME_MAX]; /* "": unknown */
		} reply; /* FORWARD uses request and customer only */
		struct ws_ed_key_call call;
		enum ws_ed_topic topic; /* READ */
		uint32_t check; /* CHECK: handle of the server */
		ws_id member; /* REFUSED */
		struct {
			uint64_t at; /* position the record must get */
		} append;
		struct {
			uint16_t number; /* enum ws_log_number */
			ws_id subject;
			int64_t value;
			int error;
			char detail[120];
		} log;
	} u;
};

struct ws_ed_fx {
	struct ws_ed_effect *items;
	size_t n;
	size_t cap;
};

/*
 * Appends an effect whose other fields are zero. The pointer is valid until the
 * next call.
 */
struct ws_ed_effect *ws_ed_fx_add(struct ws_ed_fx *fx, uint8_t kind);

/* Appends WS_EDFX_READ for a topic. */
void ws_ed_fx_read(struct ws_ed_fx *fx, enum ws_ed_topic topic);

/* Appends WS_EDFX_LOG. */
void ws_ed_fx_log(struct ws_ed_fx *fx, uint16_t number, ws_id subject,
		  int64_t value, const char *detail);

void ws_ed_fx_free(struct ws_ed_fx *fx);

/* Name of a reason as written to the log; never NULL. */
const char *ws_ed_reason_name(enum ws_ed_reason reason);

#endif
