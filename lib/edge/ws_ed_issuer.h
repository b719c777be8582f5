#ifndef WS_ED_ISSUER_H
#define WS_ED_ISSUER_H

#include "edge/ws_ed_calendar.h"

/*
 * Permits to send a request to a server, issued by one instance for all, so
 * that together they have no more at the server than it takes well. Answers
 * the load in which many instances send to the one owner of hot keys: each
 * knows only what it sends itself and old reports of the rest, so that the
 * server's queue fills up and all of it is answered late. See
 * docs/design/permits.md.
 *
 * The issuer knows exactly what it has permitted and what has ended since, and
 * corrects this by the server's reports: permits of instances that have ended
 * return, and requests sent without a permit count.
 */

/* Identifies a request: its instance and the instance's id of it. */
struct ws_ed_permit_ref {
	ws_id asker;
	uint64_t call;
};

/* A request that asks for a permit. */
struct ws_ed_ask {
	struct ws_ed_permit_ref ref;
	uint64_t fingerprint; /* the same when the caller tries again */
	uint32_t priority; /* 0 is the highest */
	double work; /* expected time at an idle server of speed 1, us */
	ws_us objective; /* latency objective of the request in total */
	ws_us objective_left; /* < 0: missed */
	ws_us time_left; /* until its deadline or time-out */
	bool is_retry; /* the caller's earlier try was refused */
};

/* What the issuer knows of the server, from the pool. */
struct ws_ed_issuer_server {
	uint32_t slots;
	double limit; /* learned, requests in progress */
	double speed; /* learned */
	double pace; /* slowness of its machine now; 1: usual */
	double mean_pace; /* in the long term */
};

enum ws_ed_permit_verdict {
	WS_ED_PERMIT_GRANTED = 1,
	WS_ED_PERMIT_QUEUED, /* it will be granted or refused later */
	WS_ED_PERMIT_REFUSED,
	WS_ED_PERMIT_UNKNOWN, /* this instance can't issue for the server */
};

/* A decision to be told to the asker. */
struct ws_ed_permit_answer {
	struct ws_ed_permit_ref ref;
	ws_id server;
	enum ws_ed_permit_verdict verdict;
	ws_us retry_after; /* REFUSED: when the caller may return */
	bool booked; /* REFUSED: there will be room then; not sent */
	ws_us expected; /* GRANTED, QUEUED: time until it is answered */
};

struct ws_ed_permit_answers {
	struct ws_ed_permit_answer *items;
	size_t n;
	size_t cap;
};

/* How a permitted request has ended. */
struct ws_ed_permit_end {
	struct ws_ed_permit_ref ref;
	bool sent; /* false: withdrawn before it was sent */
	bool served; /* its report counts the request itself as running */
	bool has_report;
	uint32_t running; /* requests at the server by its report */
	uint32_t waiting;
};

struct ws_ed_issuers {
	struct ws_ed_issuer *items; /* one a server that was asked for */
	size_t n;
	size_t cap;
	/* Since the start, for metrics */
	uint64_t granted;
	uint64_t queued;
	uint64_t refused;
	uint64_t broken; /* refused though they returned when told */
	uint64_t kept; /* granted to callers that returned when told */
	uint64_t expired; /* permits whose end was never told */
};

void ws_ed_issuers_free(struct ws_ed_issuers *is);
void ws_ed_permit_answers_free(struct ws_ed_permit_answers *a);

/*
 * Decides on a request; exactly one answer is appended for it, and perhaps
 * some for requests that were queued. To ask again for the same one gets the
 * same answer, as answers may be lost on the way.
 */
void ws_ed_issuer_ask(struct ws_ed_issuers *is, ws_us now, ws_id server,
		      const struct ws_ed_issuer_server *s,
		      const struct ws_ed_ask *ask,
		      struct ws_ed_permit_answers *out);

/* Records an end, and grants what was waiting for it. */
void ws_ed_issuer_ended(struct ws_ed_issuers *is, ws_us now, ws_id server,
			const struct ws_ed_issuer_server *s,
			const struct ws_ed_permit_end *end,
			struct ws_ed_permit_answers *out);

/*
 * Grants and refuses what was queued and takes back permits whose end was
 * never told; to be called for each server every 20 ms at least. What was not
 * asked for lately is dropped.
 */
void ws_ed_issuer_tick(struct ws_ed_issuers *is, ws_us now, ws_id server,
		       const struct ws_ed_issuer_server *s,
		       struct ws_ed_permit_answers *out);

/* Takes back all permits of an instance that has ended. */
void ws_ed_issuer_asker_lost(struct ws_ed_issuers *is, ws_us now, ws_id asker);

/* Server of the i-th issuer, i < n; a tick may remove it. */
ws_id ws_ed_issuers_server(const struct ws_ed_issuers *is, size_t i);

/* Drops all that is kept of a server that has ended; nobody is answered. */
void ws_ed_issuer_forget(struct ws_ed_issuers *is, ws_id server);

/* Requests at the server now, as the issuer reckons. */
double ws_ed_issuer_busy(const struct ws_ed_issuers *is, ws_us now,
			 ws_id server);

#endif
