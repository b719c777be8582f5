#ifndef WS_ED_EXPLAIN_H
#define WS_ED_EXPLAIN_H

#include "edge/ws_edge.h"

/*
 * Tells where a request would go if it arrived now, and why, without sending
 * it. For operators whose callers are refused or slow while other requests are
 * served: the reason may be a key without an owner, a server that leaves, a
 * rate that is used up, or load.
 *
 * It changes nothing: random numbers are drawn from copies of the generators,
 * so the next request gets the same ones. It takes the caller's key for valid
 * and the caller's rate for not used up.
 */

struct ws_ed_explain_query {
	const char *host;
	const char *path;
	int32_t key; /* -1: none */
};

enum ws_ed_explain_decision {
	WS_EDX_SEND = 1,
	WS_EDX_WAIT, /* it is queued here for a short time */
	WS_EDX_REFUSE,
};

/* Why a server of the service is not the one that is chosen. */
enum ws_ed_left_out {
	WS_EDX_CHOSEN = 0,
	WS_EDX_NOT_OWNER, /* another server owns the key */
	WS_EDX_ZONE_OUT,
	WS_EDX_LEAVING,
	WS_EDX_NOT_LISTED,
	WS_EDX_CLOSED, /* it wants no requests for now */
	WS_EDX_RATE_USED,
	WS_EDX_BACKOFF, /* it refused connections */
	/* Slower, fuller, farther, or not in this request's random subset */
	WS_EDX_NOT_PREFERRED,
	WS_EDX_UNFIT, /* preferred, but the request isn't sent */
};

struct ws_ed_explained_server {
	const struct ws_ed_server *server; /* borrowed from the edge */
	ws_us expected_latency;
	double load; /* requests per slot, this one included */
	enum ws_ed_left_out left_out;
};

/* Pointers are valid until the next event of the edge. */
struct ws_ed_explanation {
	const struct ws_ed_route *route; /* NULL: none */
	const struct ws_ed_service *service; /* NULL: none */
	bool needs_caller_key;
	struct {
		bool owned;
		uint32_t from; /* the range with the key */
		uint32_t to; /* inclusive */
		ws_id owner;
		const struct ws_ed_server *server; /* NULL: not known here */
		uint64_t epoch; /* of the leader that wrote the map */
		bool moving;
		ws_us paused_for; /* its server has rejected requests for it */
		size_t open; /* requests for it at this instance */
	} key;
	struct ws_ed_explained_server *servers; /* of the service */
	size_t n_servers;
	size_t open; /* requests at this instance */
	size_t waiting; /* of these not at a server */
	enum ws_ed_explain_decision decision;
	const struct ws_ed_server *chosen; /* SEND */
	enum ws_ed_reason reason; /* WAIT and REFUSE */
	int status; /* REFUSE */
	ws_us retry_after; /* REFUSE; 0: none is told */
};

void ws_ed_explain(const struct ws_edge *e, ws_us now,
		   const struct ws_ed_explain_query *q,
		   struct ws_ed_explanation *x);

void ws_ed_explanation_free(struct ws_ed_explanation *x);

const char *ws_ed_explain_decision_name(enum ws_ed_explain_decision d);
const char *ws_ed_left_out_name(enum ws_ed_left_out reason);

#endif
