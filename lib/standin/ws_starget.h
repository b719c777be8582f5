#ifndef WS_STARGET_H
#define WS_STARGET_H

#include "codec/ws_json.h"
#include "standin/ws_slog.h"

/*
 * Stand-in for a target: verifies grants and fences, bears a concurrency that
 * grows while it warms up, shows faults on request and journals what it ran
 * and rejected. Holds no socket and reads no clock; times are those of the
 * machine's monotonic clock.
 */

#define WS_STARGET_TEXT_MAX 200

struct ws_starget_conf {
	struct ws_name name;
	struct ws_name service;
	struct ws_name zone;
	bool sharded;
	bool idempotent; /* its POST requests are */
	bool cold_start; /* each incarnation begins cold */
	uint32_t slots;
	uint32_t
		cold_limit; /* concurrency borne at the start of a cold phase */
	uint32_t warm_step; /* successes for one more */
	ws_us service_time;
	ws_us collapse_time; /* all requests fail for so long */
	ws_us clock_offset; /* of the clock shown, against the machine's */
};

/* A request as read from HTTP, and its execution. */
struct ws_starget_req {
	char request[WS_STARGET_TEXT_MAX];
	char idempotency_key[WS_STARGET_TEXT_MAX];
	char customer[WS_STARGET_TEXT_MAX];
	char key[WS_STARGET_TEXT_MAX]; /* sharded services only */
	char method[16];
	char path[WS_STARGET_TEXT_MAX];
	uint64_t body_hash;
	uint64_t for_incarnation; /* 0: any */
	ws_us start_by; /* on the clock shown; 0: no bound */
	uint64_t fence; /* 0: none */
	int64_t shard; /* -1: none */
	uint64_t hot_key;
	bool has_hot_key;
	bool has_authorization;
	ws_us deadline; /* time allowed; 0: none */
	/* Execution */
	ws_us start;
	ws_us due; /* when ws_starget_end() is to be called */
	bool deadline_exceeded;
	bool cold;
	uint32_t concurrency; /* itself included */
	uint32_t limit;
	uint64_t incarnation;
	uint32_t collapses;
	ws_us leaving_for;
};

struct ws_starget_response {
	unsigned status;
	bool not_run;
	const char *error; /* NULL: the request ran */
};

struct ws_starget_item {
	bool is_hot_key;
	uint64_t id; /* shard index or key hash */
	ws_offset fence;
};

typedef void (*ws_starget_journal_fn)(void *arg, json_t *line);

struct ws_starget {
	struct ws_starget_conf conf;
	ws_starget_journal_fn journal; /* takes the line over */
	void *journal_arg;
	uint64_t incarnation;
	/* Lease */
	ws_offset as_of;
	ws_us not_after; /* on the clock shown */
	struct ws_starget_item *items;
	size_t n_items;
	/* Execution */
	uint32_t in_flight;
	uint32_t successes; /* since the cold phase began */
	bool cold;
	ws_us warning_until; /* excess is shed until then, not a collapse */
	ws_us collapsed_until;
	uint32_t collapses;
	/* Load as shown */
	ws_us load_sampled_at;
	uint32_t load_sample;
	/* Faults */
	bool checks_leases; /* verifies leases and fences */
	bool ready;
	ws_us leaving_since; /* 0: not leaving */
	bool out_of_service; /* noted in the journal only */
	ws_us frozen_until;
	ws_us frozen_since; /* start of the latest freeze */
	ws_us down_until;
	bool exit_requested;
	ws_us silent_before; /* connections opened before are silent */
	double slow_factor;
	double cold_slow_factor; /* further factor while cold */
	int64_t false_load; /* -1: none */
	ws_us load_lag;
	uint32_t lose_replies;
	uint32_t silent;
	uint32_t truncate;
	uint32_t wrong_id;
	uint32_t shed;
	char crash_word[64];
	bool crash_exits;
	ws_us crash_down;
};

/* Makes a target; the seed chooses its incarnations. */
struct ws_starget *ws_starget_new(const struct ws_starget_conf *conf,
				  uint64_t seed, ws_us now,
				  ws_starget_journal_fn journal, void *arg);
void ws_starget_free(struct ws_starget *t);

/*
 * Starts a request or rejects it.
 * @param body searched for the word that crashes the target
 * @return true when it runs until req->due; false: a holds the rejection, or
 *         the target has crashed (a->status 0)
 */
bool ws_starget_begin(struct ws_starget *t, ws_us now,
		      struct ws_starget_req *req, const char *body,
		      struct ws_starget_response *a);

/* Ends a request that ran until its due time. */
void ws_starget_end(struct ws_starget *t, ws_us now, struct ws_starget_req *req,
		    struct ws_starget_response *a);

/* Gives up a request whose caller has gone; it has no effect. */
void ws_starget_cancel(struct ws_starget *t, ws_us now,
		       struct ws_starget_req *req);

/* Tells whether the request's incarnation is no longer there. */
bool ws_starget_incarnation_ended(const struct ws_starget *t,
				  const struct ws_starget_req *req);

/* Processes the body of a grant; returns status, and the answer; malloc'ed. */
unsigned ws_starget_handle_grant(struct ws_starget *t, ws_us now,
				 const char *text, char **answer);

/* The lease covers the request at this time with this fence; else why not. */
const char *ws_starget_lease_error(const struct ws_starget *t, ws_us now,
				   const struct ws_starget_req *req);

/* Answer to a health probe; malloc'ed. */
char *ws_starget_health(struct ws_starget *t, ws_us now);

/* Concurrency that the target bears now. */
uint32_t ws_starget_capacity(const struct ws_starget *t);

/* Ends this incarnation: nothing in flight is answered. */
void ws_starget_crash(struct ws_starget *t, ws_us now, ws_us down);

int ws_starget_set_faults(struct ws_starget *t, ws_us now, const char *text,
			  struct ws_codec_error *why);

/* Writes a journal line about the target itself. */
void ws_starget_journal_event(struct ws_starget *t, ws_us now,
			      const char *event);

#endif
