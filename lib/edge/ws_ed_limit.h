#ifndef WS_ED_LIMIT_H
#define WS_ED_LIMIT_H

#include "common/ws_common.h"

struct ws_ed_fx;

/* Heartbeats that send news before what others may know already. */
#define WS_ED_NEWS_ROUNDS 3

/*
 * Limits that servers state in their answers: the requests per second that a
 * server takes from all instances together, for as long as its answers say so.
 */

enum ws_ed_limit_kind {
	WS_ED_LIMIT_NONE = 0, /* the answer states no limit */
	WS_ED_LIMIT_NAMED,
	WS_ED_LIMIT_UNKNOWN, /* it states one that can't be read */
};

/* What an answer states about the limit of its server. */
struct ws_ed_limit_news {
	enum ws_ed_limit_kind kind;
	double per_s; /* NAMED */
};

/* What this instance knows of a server's limit. */
struct ws_ed_limit {
	bool named;
	double per_s; /* if named */
	ws_us as_of; /* time of the answer that this is known from; 0: none */
	unsigned rounds_left; /* heartbeats that send it before others */
};

/*
 * Applies an answer of the server. An answer without a limit lifts the limit
 * only if its request was sent after the limit had last been stated, as answers
 * on different connections may overtake each other.
 * @return whether the limit has changed
 */
bool ws_ed_limit_on_answer(struct ws_ed_limit *l, ws_us now, ws_us sent_at,
			   const struct ws_ed_limit_news *news);

/*
 * Applies what another instance knows.
 * @param as_of when the server answered, on the clock of this instance
 * @param per_s < 0: the server states no limit any more
 * @return whether the limit has changed
 */
bool ws_ed_limit_on_peer(struct ws_ed_limit *l, ws_us now, ws_us as_of,
			 double per_s);

/*
 * Whether a limit is too old to be used by an instance that may not send to the
 * server and so can't learn of its end.
 */
bool ws_ed_limit_is_old(const struct ws_ed_limit *l, ws_us now);

/* Whether other instances have to be informed of it. */
bool ws_ed_limit_is_sent(const struct ws_ed_limit *l, ws_us now);

/* Appends WS_EDFX_LOG for a limit that has changed. */
void ws_ed_limit_log(const struct ws_ed_limit *l, ws_id server,
		     const char *source, struct ws_ed_fx *fx);

#endif
