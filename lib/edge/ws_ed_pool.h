#ifndef WS_ED_POOL_H
#define WS_ED_POOL_H

#include "edge/ws_ed_conf.h"
#include "edge/ws_ed_learn.h"
#include "edge/ws_ed_share.h"
#include "edge/ws_ed_stated.h"

/*
 * The servers (targets) and the load balancing over them. It handles:
 *
 * - servers of different and changing speed, of which each of many instances
 *   has stale load reports: the expected latency counts this instance's own
 *   requests exactly, and those of other instances by the last report, which
 *   decays to their mean;
 * - the cost of traffic between zones: another zone is used only if the
 *   instance's own zone is expected to take considerably longer;
 * - servers that fail or shed requests and therefore look idle: failures raise
 *   the cost, and refused connections exclude a server with exponential
 *   backoff;
 * - cold servers that crash under load, and servers that state a limit: their
 *   rate is divided among few instances (ws_ed_share.h), so that all instances
 *   together stay below the bound.
 */

#define WS_ED_NAME_MAX 64
#define WS_ED_EXCLUDED_MAX 4

struct ws_ed_fx;

/* Statistics of a route's requests at a service. */
struct ws_ed_work_stats {
	ws_id route;
	ws_id service;
	double service_time; /* us, at an idle server without slowdown */
	uint32_t n_samples;
};

/* What the configuration says of the request rate of a cold server. */
enum ws_ed_cold_rate {
	WS_ED_RATE_UNKNOWN = 0, /* its service is not configured here */
	WS_ED_RATE_LIMITED,
	WS_ED_RATE_UNLIMITED,
};

/* Learned capacity as last exchanged with other instances. */
struct ws_ed_learned_news {
	uint8_t speed; /* ws_ed_learn_encode_speed() */
	uint8_t limit;
	uint8_t pending; /* enum ws_ed_report_pending */
};

struct ws_ed_server {
	ws_id id; /* 0: free entry */
	char name[WS_ED_NAME_MAX];
	char address[WS_ED_NAME_MAX]; /* ip:port */
	ws_id service;
	ws_id zone;
	uint32_t slots;
	int64_t started_ms; /* wall clock time of its start, as it reports it */
	int64_t sequence; /* of the newest list entry applied */
	bool listed;
	ws_us known_since; /* when this incarnation was first listed */
	bool draining;
	ws_us usable_until; /* if no longer listed */
	ws_us withdrawn_at; /* when the list withdrew it; 0: it has not */
	ws_us warm_at; /* by its list entry; 0: it was warm */
	ws_us cold_until; /* derived, see ws_ed_throttle_update() */
	enum ws_ed_cold_rate cold_rate; /* derived */
	struct ws_ed_share cold_share; /* of its request rate while cold */
	bool warm_up_changed; /* to be logged */
	uint32_t in_flight; /* requests of this instance */
	double other_requests; /* of other instances, as last reported */
	double other_requests_mean;
	double pace; /* current slowness of its machine; 1: usual */
	double pace_mean; /* long-term slowness of its machine */
	double inverse_pace_mean; /* mean of 1 / pace: relative throughput */
	uint32_t n_pace_samples; /* number of reports in both means */
	double service_time_factor; /* smoothed; above 1: slow */
	struct ws_ed_learned learned; /* if unmetered, instead of the factor */
	struct ws_ed_learned_news learned_news;
	double failure_rate; /* smoothed fraction of failed requests */
	ws_us backoff_until;
	uint32_t n_backoffs;
	uint32_t idle_connections; /* open connections that may be reused */
	ws_us idle_until; /* when they will have been closed */
	uint32_t max_connections; /* of all instances; 0: no bound known */
	ws_us keys_refused_until; /* until then it gets no grant or release */
	struct ws_ed_stated stated; /* by this start of it */
	struct ws_ed_share limit_share; /* of the limit that it states */
};

struct ws_ed_zone_out {
	ws_id zone;
	bool out;
	ws_us back_at; /* when it was last taken back; 0: never */
};

/* The last entry of a server that has left. */
struct ws_ed_left_server {
	ws_id id;
	int64_t started_ms;
	int64_t sequence;
};

#define WS_ED_LEFT_SERVERS 256

struct ws_ed_pool {
	const struct ws_ed_conf *conf; /* in force; borrowed; NULL: none */
	struct ws_ed_server *servers;
	size_t n;
	size_t cap;
	struct ws_ed_work_stats *work_stats;
	size_t n_work_stats;
	size_t cap_work_stats;
	struct ws_ed_zone_out *zones;
	size_t n_zones;
	size_t cap_zones;
	/* Ring buffer, so that an old copy of the list brings none back */
	struct ws_ed_left_server left[WS_ED_LEFT_SERVERS];
	size_t n_left; /* added so far */
	/* On starts of servers that are not listed yet, or not any more */
	struct ws_ed_kept_statements kept;
	size_t instances; /* number of those that share connections */
	/* How long a server that states that it leaves may get requests */
	ws_us drain_time;
	bool unmetered; /* see struct ws_ed_bounds */
	struct ws_ed_group group; /* those that share request rates */
	bool warm_ups_changed; /* of any server */
	struct ws_rand rand;
};

/* An entry of the list of servers. */
struct ws_ed_listing {
	char name[WS_ED_NAME_MAX];
	char address[WS_ED_NAME_MAX];
	ws_id service;
	ws_id zone;
	uint32_t slots;
	bool draining;
	ws_us cold_for; /* remaining warm-up time, as it reports it */
	int64_t started_ms;
	int64_t sequence; /* counts the entries of one incarnation */
	bool from_snapshot; /* it is not known to have been written lately */
};

enum ws_ed_end {
	WS_ED_END_OK = 1, /* a response that reports no failure */
	WS_ED_END_FAILED, /* the server responded with its own failure */
	WS_ED_END_SHED, /* rejected; certainly not executed */
	WS_ED_END_NOT_SENT, /* no connection: not a byte was sent */
	WS_ED_END_CONNECTION_LOST, /* sent, no complete response */
	WS_ED_END_TIMEOUT, /* sent, no complete response in time */
	WS_ED_END_CANCELLED, /* cancelled by this instance */
	/* No byte was sent, since the server may not get requests any more */
	WS_ED_END_WITHDRAWN,
};

struct ws_ed_choose_input {
	ws_id service;
	uint32_t work_stats; /* from ws_ed_pool_work_stats() */
	ws_id zone; /* of this instance */
	size_t n_excluded;
	uint32_t excluded[WS_ED_EXCLUDED_MAX]; /* handles tried before */
};

/* This instance holds no share of the rate; only others may send. */
#define WS_ED_NO_SHARE ((ws_us)INT64_MAX)

struct ws_ed_choice {
	int32_t server; /* handle; -1: none may be used now */
	ws_us expected_latency;
	double load; /* requests at the server per slot */
	/* A server whose rate is used up, so that it gets no request; or -1 */
	int32_t throttled;
	ws_us throttled_for; /* until it may get one, or WS_ED_NO_SHARE */
};

void ws_ed_pool_free(struct ws_ed_pool *p);

/*
 * Applies a server's entry of the list. Entries may arrive out of order: one
 * that is older than the last one applied is ignored. So is one of a snapshot
 * that is not newer than the last one of a server that has left, as the store
 * may have been restored from a copy.
 * @return the server's handle, or -1
 */
int32_t ws_ed_pool_listed(struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_listing *l);

/* Marks a server as no longer listed; it may be used for linger at most. */
void ws_ed_pool_unlisted(struct ws_ed_pool *p, ws_us now, ws_id id,
			 ws_us linger);

/*
 * Time for which it is known that a server leaves, by the list or its own
 * statement; 0: it is not known to.
 */
ws_us ws_ed_pool_leaving_for(const struct ws_ed_pool *p, ws_us now,
			     uint32_t server);

/*
 * Whether a request that was sent to a server may still go out now. Connecting
 * takes up to a second, in which the server may turn out to leave.
 */
bool ws_ed_pool_may_send(const struct ws_ed_pool *p, ws_us now,
			 uint32_t server);

/* Applies a configuration, which must stay valid until the next one. */
void ws_ed_pool_configure(struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_conf *conf);

/* Takes a zone out of service or back. */
void ws_ed_pool_set_zone(struct ws_ed_pool *p, ws_us now, ws_id zone, bool out);

bool ws_ed_pool_zone_out(const struct ws_ed_pool *p, ws_id zone);

/* When a zone was last taken back into service; 0: never. */
ws_us ws_ed_pool_zone_back_at(const struct ws_ed_pool *p, ws_id zone);

/* Connections to a server that this instance may use; 0: no bound. */
uint32_t ws_ed_pool_connection_share(const struct ws_ed_pool *p,
				     const struct ws_ed_server *s);

/* Handle of a server, or -1. */
int32_t ws_ed_pool_find(const struct ws_ed_pool *p, ws_id id);

/* The same, at once if the server still has the handle, which is updated. */
int32_t ws_ed_pool_find_again(const struct ws_ed_pool *p, ws_id id,
			      uint32_t *handle);

/* Handle of a route's statistics at a service; adds them if needed. */
uint32_t ws_ed_pool_work_stats(struct ws_ed_pool *p, ws_id route,
			       ws_id service);

/*
 * Whether a server is listed, its zone in service, and neither its list entry
 * nor its answers say that it leaves.
 */
bool ws_ed_pool_usable(const struct ws_ed_pool *p, ws_us now, uint32_t server);

/*
 * Whether a server that is not usable may still get requests, as only its
 * answers say that it leaves, and did so shortly ago. For requests that no
 * other server can take.
 */
bool ws_ed_pool_usable_last(const struct ws_ed_pool *p, ws_us now,
			    uint32_t server);

/* Estimates latency and load at one server. */
void ws_ed_pool_expect(const struct ws_ed_pool *p, ws_us now, uint32_t server,
		       uint32_t work_stats, struct ws_ed_choice *out);

/* Totals of the usable servers of a service. */
struct ws_ed_capacity {
	double slots; /* weighted by long-term throughput */
	double load; /* requests at the servers per slot */
};

void ws_ed_pool_capacity(const struct ws_ed_pool *p, ws_us now, ws_id service,
			 struct ws_ed_capacity *c);

/* Picks a server of a service that is not sharded. */
void ws_ed_pool_choose(struct ws_ed_pool *p, ws_us now,
		       const struct ws_ed_choose_input *in,
		       struct ws_ed_choice *out);

/*
 * Time after which a request may return that was refused because a server is
 * throttled; each is given another one.
 */
ws_us ws_ed_pool_retry_after(struct ws_ed_pool *p, ws_us now, uint32_t server);

/*
 * Applies what another instance knows of a server. A start of it that is not
 * listed yet gets it when it is.
 * @param changed gets enum ws_ed_stated_change
 * @return the server's handle if something has changed, else -1
 */
int32_t ws_ed_pool_peer_stated(struct ws_ed_pool *p, ws_us now,
			       const struct ws_ed_statement *t,
			       unsigned *changed);

/* Records that an answer to a key call states that its server leaves. */
unsigned ws_ed_pool_key_answer_leaving(struct ws_ed_pool *p, ws_us now,
				       ws_id server, int64_t started_ms);

/* Appends WS_EDFX_LOG for what a server has stated. */
void ws_ed_pool_log_stated(const struct ws_ed_pool *p, ws_us now,
			   uint32_t server, unsigned changed,
			   const char *source, struct ws_ed_fx *fx);

/* Applies a change of a server's limit. */
void ws_ed_pool_limit_changed(struct ws_ed_pool *p, ws_us now, uint32_t server);

/* Records that a request is sent to a server. */
void ws_ed_pool_sent(struct ws_ed_pool *p, ws_us now, uint32_t server);

/* Records that a server has refused a connection. */
void ws_ed_pool_refused(struct ws_ed_pool *p, ws_us now, uint32_t server);

/* A request that was sent to a server. */
struct ws_ed_sending {
	uint32_t server;
	int64_t started_ms; /* start of the server then */
	uint32_t work_stats;
	ws_us sent_at;
	double load; /* as estimated then */
};

/*
 * Records that a request at a server has ended.
 * @param latency time since it was sent
 * @param report what the answer states; NULL: there is none
 * @return enum ws_ed_stated_change
 */
unsigned ws_ed_pool_ended(struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_sending *x, enum ws_ed_end end,
			  ws_us latency, const struct ws_ed_report *report);

/*
 * Applies a server's report that another instance has received.
 * @param at when the server sent it
 * @param pending enum ws_ed_report_pending: whom to pass it on to
 */
void ws_ed_pool_peer_report(struct ws_ed_pool *p, ws_us at, uint32_t server,
			    const struct ws_ed_report *report, uint8_t pending);

/* What another instance has learned of a start of a server. */
struct ws_ed_peer_learned {
	uint32_t server; /* ws_ed_short_id() */
	uint8_t started; /* lowest bits of its start */
	uint8_t speed; /* ws_ed_learn_encode_speed() */
	uint8_t limit;
	ws_us age;
};

/*
 * Applies it if unmetered.
 * @param pending enum ws_ed_report_pending: whom to pass it on to
 */
void ws_ed_pool_peer_learned(struct ws_ed_pool *p, ws_us now,
			     const struct ws_ed_peer_learned *t,
			     uint8_t pending);

/*
 * Takes out what is to be told to receivers, of servers from first on.
 * @param pending enum ws_ed_report_pending: the receivers
 * @return index of the server it is of; p->n: there is no more
 */
size_t ws_ed_pool_next_learned(struct ws_ed_pool *p, ws_us now, size_t first,
			       uint8_t pending, struct ws_ed_peer_learned *t);

/* Finds a server by the short form of its id; -1: none. */
int32_t ws_ed_pool_find_short(const struct ws_ed_pool *p, uint32_t id);

/* Short form of a server's id; 32 bits suffice for the few servers listed. */
uint32_t ws_ed_short_id(ws_id server);

/* Time after which an idle connection to a server is not reused. */
ws_us ws_ed_pool_idle_limit(const struct ws_ed_server *s);

/* Decays failure rates and removes servers that are unlisted and idle. */
void ws_ed_pool_tick(struct ws_ed_pool *p, ws_us now);

#endif
