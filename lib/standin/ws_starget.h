#ifndef WS_STARGET_H
#define WS_STARGET_H

#include "codec/ws_json.h"
#include "standin/ws_slog.h"

/*
 * Stand-in for a target. It checks leases and fences, accepts a concurrency
 * that grows while it warms up, injects faults on request, and journals what it
 * ran and rejected. Does no I/O and reads no clock; times are those of the
 * machine's monotonic clock.
 */

#define WS_STARGET_TEXT_MAX 200

struct ws_starget_conf {
	struct ws_name name;
	struct ws_name service;
	struct ws_name zone;
	bool sharded;
	bool idempotent; /* also POST and other unsafe methods */
	bool cold_start; /* each incarnation starts cold */
	uint32_t slots;
	uint32_t cold_limit; /* concurrency limit when it becomes cold */
	uint32_t warm_step; /* successes per step of the limit; 0: none */
	ws_us service_time;
	ws_us collapse_time; /* requests fail so long after a collapse */
	ws_us clock_offset; /* reported clock minus machine's clock */
};

/* A request as read from HTTP, and the state of its execution. */
struct ws_starget_req {
	char request[WS_STARGET_TEXT_MAX];
	char idempotency_key[WS_STARGET_TEXT_MAX];
	char customer[WS_STARGET_TEXT_MAX];
	char key[WS_STARGET_TEXT_MAX]; /* sharded services only */
	char method[16];
	char path[WS_STARGET_TEXT_MAX];
	uint64_t body_hash;
	uint64_t for_incarnation; /* 0: any */
	ws_us start_by; /* by the target's reported clock; 0: no bound */
	uint64_t fence; /* 0: none */
	int64_t shard; /* -1: none */
	uint64_t hot_key;
	bool has_hot_key;
	bool has_authorization;
	ws_us deadline; /* time allowed; 0: none */
	/* Execution */
	ws_us start;
	ws_us due; /* time to call ws_starget_end() */
	bool deadline_exceeded;
	bool cold;
	uint32_t concurrency; /* this request included */
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
	ws_starget_journal_fn journal; /* takes ownership of the line */
	void *journal_arg;
	uint64_t incarnation;
	/* Lease */
	ws_offset as_of;
	ws_us not_after; /* by the target's reported clock */
	struct ws_starget_item *items;
	size_t n_items;
	/* Execution */
	uint32_t in_flight;
	uint32_t successes; /* since the cold phase began */
	bool cold;
	ws_us warning_until; /* until then, excess requests are shed instead of
				causing a collapse */
	ws_us collapsed_until;
	uint32_t collapses;
	/* Reported load */
	ws_us load_sampled_at;
	uint32_t load_sample;
	/* Faults */
	bool checks_leases; /* verifies leases and fences */
	bool ready;
	ws_us leaving_since; /* 0: not leaving */
	bool out_of_service; /* recorded in the journal, no other effect */
	ws_us frozen_until;
	ws_us frozen_since; /* start of the latest freeze */
	ws_us down_until;
	bool exit_requested;
	ws_us silent_before; /* connections opened earlier get no responses */
	double slow_factor;
	double cold_slow_factor; /* additional factor while cold */
	int64_t false_load; /* -1: none */
	ws_us load_lag;
	/* Faults of the next so many requests */
	uint32_t lose_replies;
	uint32_t silent;
	uint32_t truncate;
	uint32_t wrong_id;
	uint32_t shed;
	/* Crashes */
	char crash_word[64];
	bool crash_exits;
	ws_us crash_down;
};

/* Creates a target; its incarnations derive from the seed. */
struct ws_starget *ws_starget_new(const struct ws_starget_conf *conf,
				  uint64_t seed, ws_us now,
				  ws_starget_journal_fn journal, void *arg);
void ws_starget_free(struct ws_starget *t);

/*
 * Starts a request or rejects it.
 * @param body a target with a crash word crashes if the body contains it
 * @return true when the request runs until req->due; false: a holds the
 *         rejection, or the target has crashed (a->status 0)
 */
bool ws_starget_begin(struct ws_starget *t, ws_us now,
		      struct ws_starget_req *req, const char *body,
		      struct ws_starget_response *a);

/* Ends a request that ran until its due time. */
void ws_starget_end(struct ws_starget *t, ws_us now, struct ws_starget_req *req,
		    struct ws_starget_response *a);

/* Cancels a request whose client has disconnected; it has no effect. */
void ws_starget_cancel(struct ws_starget *t, ws_us now,
		       struct ws_starget_req *req);

/* True if the incarnation that started the request has ended. */
bool ws_starget_incarnation_ended(const struct ws_starget *t,
				  const struct ws_starget_req *req);

/*
 * Handles the body of a grant.
 * @param answer set to the response body, from malloc
 * @return HTTP status
 */
unsigned ws_starget_handle_grant(struct ws_starget *t, ws_us now,
				 const char *text, char **answer);

/*
 * Checks that the lease covers the request now, with its fence.
 * @return NULL, or the error code of the response
 */
const char *ws_starget_lease_error(const struct ws_starget *t, ws_us now,
				   const struct ws_starget_req *req);

/* Response body of a health probe, from malloc. */
char *ws_starget_health(struct ws_starget *t, ws_us now);

/* Current concurrency limit. */
uint32_t ws_starget_capacity(const struct ws_starget *t);

/* Ends this incarnation: requests in flight get no response. */
void ws_starget_crash(struct ws_starget *t, ws_us now, ws_us down);

int ws_starget_set_faults(struct ws_starget *t, ws_us now, const char *text,
			  struct ws_codec_error *why);

/* Journals an event of the target itself. */
void ws_starget_journal_event(struct ws_starget *t, ws_us now,
			      const char *event);

#endif
