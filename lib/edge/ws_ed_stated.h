#ifndef WS_ED_STATED_H
#define WS_ED_STATED_H

#include "edge/ws_ed_limit.h"

/*
 * What servers state of themselves in their answers: that they leave, for how
 * long they want no requests from this instance, how many requests a second
 * they take, how busy they are and when they close idle connections.
 *
 * - A statement holds for the start of the server that made it. Another start
 *   under the same id is known nothing of.
 * - A server that leaves does not return under the same start, so an answer
 *   that doesn't say so, and overtook the first one that did, revokes nothing.
 * - That a server leaves, its limit and its load concern all instances, which
 *   tell each other. The time of a rejection and the idle time of connections
 *   concern the instance that got the answer.
 * - What is known of a start that is not listed, or not any more, is kept for
 *   when it is.
 */

/* What one answer states. */
struct ws_ed_report {
	/*
	 * The answer is the server's own, to this request. Otherwise it says
	 * nothing: it may be a late copy, or come from another server that now
	 * has the address.
	 */
	bool from_server;
	bool leaving;
	/* It wants no requests from this instance for this time; 0: it does */
	ws_us retry_after;
	struct ws_ed_limit_news limit;
	ws_us idle_timeout; /* of its connections; 0: not stated */
	bool known; /* the load below is stated */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	double pace; /* slowness of its machine; 0: not stated */
};

/*
 * Receivers that a load report still has to be passed on to. A relay sends it
 * to both groups, other instances only to their relay.
 */
enum ws_ed_report_pending {
	WS_ED_PENDING_ZONE = 1, /* instances of this zone, or its relay */
	WS_ED_PENDING_RELAYS = 2, /* relays of other zones */
};

/* What is known of one start of a server. */
struct ws_ed_stated {
	ws_us leaving_since; /* when it was first stated; 0: it was not */
	unsigned leaving_rounds; /* heartbeats that send it before others */
	/*
	 * It leaves, and has rejected a request for a key that it owned: its
	 * keys are expected to have other owners by then.
	 */
	ws_us gives_up_keys_until;
	ws_us closed_until; /* no requests from this instance until then */
	struct ws_ed_limit limit;
	ws_us idle_timeout; /* 0: not known */
	struct ws_ed_report load; /* with the newest load */
	ws_us load_at; /* when it was stated */
	uint8_t load_pending; /* enum ws_ed_report_pending */
};

/* What has changed by a statement. */
enum ws_ed_stated_change {
	WS_ED_STATED_LEAVING = 1, /* it leaves, and was not known to */
	WS_ED_STATED_CLOSED = 2, /* it wants no requests, for longer */
	WS_ED_STATED_LIMIT = 4,
	WS_ED_STATED_LOAD = 8,
	WS_ED_STATED_CAPACITY = 16, /* learned, see ws_ed_learn.h */
};

enum ws_ed_statement_kind {
	WS_ED_STATEMENT_LIMIT = 0,
	WS_ED_STATEMENT_LEAVING,
	WS_ED_STATEMENT_KINDS_TOLD,
	/* Concerns this instance only */
	WS_ED_STATEMENT_CLOSED = WS_ED_STATEMENT_KINDS_TOLD,
};

/* What instances tell each other of a server that one of them got an answer of.
 */
struct ws_ed_statement {
	uint32_t server; /* ws_ed_short_id(); 0: none */
	uint32_t started; /* low bits of its start, on its clock */
	enum ws_ed_statement_kind kind;
	/*
	 * LIMIT: time of the answer that it is known from, LEAVING: of the
	 * first one that said so, CLOSED: end of the time without requests; on
	 * the clock of this instance
	 */
	ws_us as_of;
	double per_s; /* LIMIT; < 0: it states none any more */
};

/*
 * Applies an answer of the server.
 * @param sent_at when its request was sent
 * @return enum ws_ed_stated_change
 */
unsigned ws_ed_stated_on_answer(struct ws_ed_stated *s, ws_us now,
				ws_us sent_at, const struct ws_ed_report *r);

/*
 * Applies what another instance knows.
 * @return enum ws_ed_stated_change
 */
unsigned ws_ed_stated_on_peer(struct ws_ed_stated *s, ws_us now,
			      const struct ws_ed_statement *t);

/* Applies what was kept of this start while it was not listed. */
unsigned ws_ed_stated_on_kept(struct ws_ed_stated *s, ws_us now,
			      const struct ws_ed_statement *t);

/* Time until the server may get requests of this instance; 0: now. */
ws_us ws_ed_stated_closed_for(const struct ws_ed_stated *s, ws_us now);

/* Statements on starts of servers that are not listed, the oldest is lost. */
#define WS_ED_STATEMENTS_KEPT 256

struct ws_ed_kept_statements {
	struct ws_ed_statement items[WS_ED_STATEMENTS_KEPT]; /* ring buffer */
	size_t n; /* added so far */
};

/* Keeps a statement, in place of an older one of the same kind. */
void ws_ed_stated_keep(struct ws_ed_kept_statements *k,
		       const struct ws_ed_statement *t);

/* Keeps what has to be known of a server that is no longer listed. */
void ws_ed_stated_keep_all(struct ws_ed_kept_statements *k, ws_us now,
			   uint32_t server, uint32_t started,
			   const struct ws_ed_stated *s);

/*
 * Takes out a kept statement on this start of a server.
 * @return false if there is none
 */
bool ws_ed_stated_take_kept(struct ws_ed_kept_statements *k, uint32_t server,
			    uint32_t started, struct ws_ed_statement *t);

#endif
