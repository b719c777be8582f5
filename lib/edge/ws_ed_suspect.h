#ifndef WS_ED_SUSPECT_H
#define WS_ED_SUSPECT_H

#include "core/ws_quar.h"

/*
 * Requests that crash the servers that run them. Answers the pattern "now and
 * then a request takes down each server that begins it, and its caller sends
 * it again, to any instance".
 *
 * A request whose connection to its server broke is a suspect until it is known
 * whether the server has crashed: then it gets a strike, which instances tell
 * each other. Requests with strikes from two servers are refused everywhere. An
 * answer of a server clears a request: many callers may ask for one thing while
 * servers crash for other reasons.
 */

/* Suspects held at once; beyond, the oldest is forgotten. */
#define WS_ED_SUSPECTS_MAX 128
/* Strikes told at the same time, and the heartbeats that carry each. */
#define WS_ED_STRIKES_MAX 4
#define WS_ED_STRIKE_ROUNDS 12
/* Requests with strikes that are remembered. */
#define WS_ED_STRUCK_REQUESTS_MAX 1024

struct ws_ed_suspect {
	uint64_t request; /* hash of its method, path, caller and body */
	ws_id server;
	int64_t born_ms; /* the server's life */
	ws_us broken_at; /* when its connection broke */
};

struct ws_ed_strike {
	uint64_t request;
	uint64_t crash; /* names the server's life */
};

struct ws_ed_suspects {
	struct ws_quar *quar;
	struct ws_ed_suspect items[WS_ED_SUSPECTS_MAX]; /* oldest first */
	size_t n;
	struct ws_ed_strike outgoing[WS_ED_STRIKES_MAX]; /* being told */
	unsigned rounds_left[WS_ED_STRIKES_MAX]; /* left for each; 0: free */
};

void ws_ed_suspects_init(struct ws_ed_suspects *s);
void ws_ed_suspects_free(struct ws_ed_suspects *s);

/* The connection of a request to its server broke before an answer. */
void ws_ed_suspects_add(struct ws_ed_suspects *s, ws_us now, uint64_t request,
			ws_id server, int64_t born_ms);

/*
 * A server does not answer any more, or lives anew: what was at it has a
 * strike.
 * @return the number of requests that are refused from now on
 */
size_t ws_ed_suspects_on_crash(struct ws_ed_suspects *s, ws_us now,
			       ws_id server);

/*
 * Another instance tells a strike.
 * @return true when its request is refused from now on
 */
bool ws_ed_suspects_on_strike(struct ws_ed_suspects *s, ws_us now,
			      const struct ws_ed_strike *strike);

/* A server has answered the request. */
void ws_ed_suspects_clear(struct ws_ed_suspects *s, ws_us now,
			  uint64_t request);

bool ws_ed_suspects_refuses(const struct ws_ed_suspects *s, ws_us now,
			    uint64_t request);

/* Strikes for the next heartbeats; @return their number. */
uint32_t ws_ed_suspects_next_strikes(struct ws_ed_suspects *s,
				     struct ws_ed_strike *strikes);

/* Forgets suspects whose servers go on living. */
void ws_ed_suspects_tick(struct ws_ed_suspects *s, ws_us now);

#endif
