#ifndef WS_ED_SUSPECT_H
#define WS_ED_SUSPECT_H

#include "edge/ws_ed_struck.h"

struct ws_ed_refused_item; /* see ws_ed_refused.h */

/*
 * Quarantine of requests that crash the servers that run them, and that the
 * caller retries at any instance.
 *
 * A request whose connection to its server broke is a suspect. The instance
 * then checks whether the server still accepts connections: the list may show a
 * crash seconds later, and another request may not go there for long. If the
 * server turns out to have crashed, the request gets a strike, which the
 * instances send each other. Requests with strikes from enough crashes are
 * refused by all instances.
 *
 * A server's answer, if it is no failure, clears the strikes that are known,
 * and the instances send each other that too: many callers may send the same
 * request while servers crash for other reasons.
 *
 * A refused request gets no answers, though it may only have been at servers
 * that crashed for another reason. One with no more strikes than it takes is
 * therefore sent once more after WS_ED_TRIAL_AFTER. The trial counts as a
 * strike until it is answered, so that there is no second one. Any instance may
 * make it: if few callers send the request, the one where it arrives does; if
 * many do, so that several would send it at once, only the preferred one.
 *
 * When several servers crash, most strikes are against requests that just were
 * at them, and there may be too many to be sent soon. Therefore each heartbeat
 * also carries the strikes against one request that is refused, in turn.
 */

/* Maximum number of suspects; beyond, the oldest is dropped. */
#define WS_ED_SUSPECTS_MAX 128
/* Maximum number of servers that wait for a check; beyond, none is made. */
#define WS_ED_CHECKS_MAX 64
/* Strikes in one heartbeat; those beyond the first ones displace other parts.
 */
#define WS_ED_STRIKES_MAX 12
#define WS_ED_STRIKES_BESIDE_ALL 4
/* Strikes, and clearances, that wait to be sent; the oldest are dropped. */
#define WS_ED_STRIKE_QUEUE_MAX 256
/* Heartbeats that repeat a new strike or clearance. */
#define WS_ED_STRIKE_ROUNDS 4
#define WS_ED_TRIAL_AFTER (30 * WS_SECOND)
/* Maximum number of requests whose strikes are recorded. */
#define WS_ED_STRUCK_REQUESTS_MAX 1024

struct ws_ed_suspect {
	uint64_t request; /* hash of its method, path, caller and body */
	ws_id server;
	int64_t started_ms; /* start of the server process */
	ws_us broken_at; /* when its connection broke */
};

/* A server process whose connections broke. */
struct ws_ed_check {
	ws_id server;
	int64_t started_ms;
	ws_us due_at;
};

struct ws_ed_strike_queue {
	struct ws_ed_queued_strike {
		struct ws_ed_strike strike;
		unsigned rounds_left; /* heartbeats that it is still sent in */
	} items[WS_ED_STRIKE_QUEUE_MAX]; /* oldest first */
	size_t n;
};

struct ws_ed_suspects {
	struct ws_ed_struck_table struck;
	struct ws_ed_suspect items[WS_ED_SUSPECTS_MAX]; /* oldest first */
	size_t n;
	struct ws_ed_check checks[WS_ED_CHECKS_MAX]; /* earliest first */
	size_t n_checks;
	struct ws_ed_strike_queue strikes;
	struct ws_ed_strike_queue clearances;
	uint32_t next_refused; /* slot to continue with */
};

void ws_ed_suspects_init(struct ws_ed_suspects *s);
void ws_ed_suspects_free(struct ws_ed_suspects *s);

/* Handles a server connection that broke before the answer to a request. */
void ws_ed_suspects_add(struct ws_ed_suspects *s, ws_us now, uint64_t request,
			ws_id server, int64_t started_ms);

/*
 * Gets the next server to check.
 * @return false if none is due
 */
bool ws_ed_suspects_next_check(struct ws_ed_suspects *s, ws_us now,
			       ws_id *server, int64_t *started_ms);

/* What a crash has led to. */
struct ws_ed_crash {
	size_t n_struck; /* suspects that got a strike */
	size_t n_refused;
	uint64_t refused[WS_ED_SUSPECTS_MAX]; /* refused from now on */
};

/*
 * Handles a server that no longer answers or has restarted: its suspects get a
 * strike.
 */
void ws_ed_suspects_on_crash(struct ws_ed_suspects *s, ws_us now, ws_id server,
			     struct ws_ed_crash *out);

/*
 * Handles a strike received from another instance.
 * @param forwards whether this instance sends it to others, as relays do
 * @return true if its request is refused from now on
 */
bool ws_ed_suspects_on_strike(struct ws_ed_suspects *s, ws_us now,
			      const struct ws_ed_strike *strike, bool forwards);

/*
 * Handles a request that another instance refuses.
 * @return true if it is refused from now on
 */
bool ws_ed_suspects_on_refused(struct ws_ed_suspects *s, ws_us now,
			       const struct ws_ed_refused_item *item);

/*
 * Clears a request that a server has answered.
 * @return the number of its strikes
 */
unsigned ws_ed_suspects_clear(struct ws_ed_suspects *s, ws_us now,
			      uint64_t request);

/*
 * Handles a clearance received from another instance.
 * @return true if its request is no longer refused
 */
bool ws_ed_suspects_on_clearance(struct ws_ed_suspects *s, ws_us now,
				 const struct ws_ed_strike *strike,
				 bool forwards);

bool ws_ed_suspects_refuses(const struct ws_ed_suspects *s, ws_us now,
			    uint64_t request);

/* Number of strikes against a request. */
uint32_t ws_ed_suspects_strikes(const struct ws_ed_suspects *s, ws_us now,
				uint64_t request);

/*
 * Handles the arrival of a refused request.
 * @param preferred this is the instance to try requests that arrive often
 * @return true if it may be tried now
 */
bool ws_ed_suspects_may_try(struct ws_ed_suspects *s, ws_us now,
			    uint64_t request, bool preferred);

/* A trial begins; it is identified like a crash. */
void ws_ed_suspects_try(struct ws_ed_suspects *s, ws_us now,
			const struct ws_ed_strike *trial);

/* A trial has not reached a server; another one may be made. */
void ws_ed_suspects_undo_trial(struct ws_ed_suspects *s, ws_us now,
			       const struct ws_ed_strike *trial);

/* Gets the strikes for the next heartbeat; @return their number. */
uint32_t ws_ed_suspects_next_strikes(struct ws_ed_suspects *s, ws_us now,
				     struct ws_ed_strike *strikes);

/* The same for clearances, at most max. */
uint32_t ws_ed_suspects_next_clearances(struct ws_ed_suspects *s, uint32_t max,
					struct ws_ed_strike *strikes);

/*
 * Drops the next suspect whose server is not known to have crashed after some
 * time.
 * @return false if there is none
 */
bool ws_ed_suspects_expire(struct ws_ed_suspects *s, ws_us now,
			   struct ws_ed_suspect *dropped);

#endif
