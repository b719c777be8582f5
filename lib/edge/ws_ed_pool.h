#ifndef WS_ED_POOL_H
#define WS_ED_POOL_H

#include "edge/ws_ed_conf.h"

/*
 * Servers (targets) and where the next request goes. Answers these load
 * patterns:
 *
 * - servers of unequal and changing speed, seen by many instances whose
 *   reports are old: the expected time counts own requests exactly and those
 *   of other instances by the last report, which decays to their mean;
 * - bytes between zones cost: another zone is used when the own one is
 *   expected to take a good deal longer;
 * - servers that fail or shed while they look idle: failures raise the cost,
 *   and refused connections bench a server for a growing time;
 * - cold servers that crash under load: a fixed pace per instance, with a
 *   random first moment, so that all instances together stay below the bound.
 */

#define WS_ED_NAME_MAX 64
#define WS_ED_EXCLUDED_MAX 4

/* Requests of one route at one service; their work differs from others'. */
struct ws_ed_work_stats {
	ws_id route;
	ws_id service;
	double service_time; /* us of a request at a server of speed 1, alone */
	uint32_t n_samples;
};

/* What a server told of itself in an answer. */
struct ws_ed_report {
	bool known;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	double pace; /* 0: not told */
	ws_us idle_timeout; /* 0: not told */
};

/* Whom a relay has still to tell of a report; others tell their relay. */
enum ws_ed_report_pending {
	WS_ED_PENDING_ZONE = 1, /* the own zone, or the relay */
	WS_ED_PENDING_RELAYS = 2, /* relays of other zones */
};

struct ws_ed_server {
	ws_id id; /* 0: free entry */
	char name[WS_ED_NAME_MAX];
	char address[WS_ED_NAME_MAX]; /* ip:port */
	ws_id service;
	ws_id zone;
	uint32_t slots;
	int64_t born_ms; /* wall clock of its start, as it says */
	int64_t sequence; /* of the newest entry taken */
	bool listed;
	ws_us known_since; /* when this life of it was first listed */
	bool draining;
	ws_us usable_until; /* not listed: no longer used from here on */
	ws_us cold_until;
	ws_us cold_next_at; /* cold: the next request may go */
	uint32_t in_flight; /* own requests */
	double other_requests; /* requests of other instances, as last reported
				*/
	double other_requests_mean;
	ws_us reported_at;
	struct ws_ed_report report; /* the last one to this instance */
	uint8_t report_pending; /* enum ws_ed_report_pending: who was not yet
				   told of it */
	double pace; /* slowness of its machine as reported; 1: usual */
	double pace_mean; /* lasting slowness of its machine */
	double inverse_pace_mean; /* mean of 1 / pace: what it gets done */
	uint32_t n_pace_samples; /* reports it is the mean of */
	double speed; /* smoothed; time of work relative to its unit */
	double failure_rate; /* smoothed share of failures */
	ws_us backoff_until;
	uint32_t n_backoffs;
	ws_us idle_timeout; /* idle connections are closed after it; 0: unknown
			     */
	uint32_t idle_connections; /* connections that may be used again */
	ws_us idle_until; /* they are closed by then */
	uint32_t max_connections; /* own share; 0: no bound */
	ws_us keys_refused_until; /* does not answer calls about its keys */
};

struct ws_ed_zone_out {
	ws_id zone;
	bool out;
};

struct ws_ed_pool {
	struct ws_ed_server *servers;
	size_t n;
	size_t cap;
	struct ws_ed_work_stats *work_stats;
	size_t n_work_stats;
	size_t cap_work_stats;
	struct ws_ed_zone_out *zones;
	size_t n_zones;
	size_t cap_zones;
	size_t instances; /* that share cold paces and connections */
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
	ws_us cold_for; /* how much longer it says it is cold */
	int64_t born_ms;
	int64_t sequence; /* counts what a life of the server has said */
};

enum ws_ed_end {
	WS_ED_END_OK = 1, /* an answer that is no failure */
	WS_ED_END_FAILED, /* the server's own failure */
	WS_ED_END_SHED, /* proved: not run */
	WS_ED_END_NOT_SENT, /* no byte was sent */
	WS_ED_END_CONNECTION_LOST, /* sent, no whole answer */
	WS_ED_END_TIMEOUT, /* sent, no whole answer in time */
	WS_ED_END_CANCELLED, /* given up here */
};

struct ws_ed_choose_input {
	ws_id service;
	uint32_t work_stats; /* from ws_ed_pool_work_stats() */
	ws_id zone; /* own */
	size_t n_excluded;
	uint32_t excluded[WS_ED_EXCLUDED_MAX]; /* handles tried before */
};

struct ws_ed_choice {
	int32_t server; /* handle; -1: none may be used now */
	ws_us expected_latency; /* time to the answer */
	double load; /* requests at the server over its slots */
	bool throttled; /* a cold server could be used a little later */
};

void ws_ed_pool_free(struct ws_ed_pool *p);

/*
 * Takes over what the list says of a server; returns its handle. Entries may
 * arrive late: one that is older than what is known changes nothing.
 */
uint32_t ws_ed_pool_listed(struct ws_ed_pool *p, ws_us now,
			   const struct ws_ed_listing *l,
			   const struct ws_ed_service *svc);

/* The list no longer names a server; it is used for linger at most. */
void ws_ed_pool_unlisted(struct ws_ed_pool *p, ws_us now, ws_id id,
			 ws_us linger);

/* Bounds of a service have changed. */
void ws_ed_pool_configure(struct ws_ed_pool *p, const struct ws_ed_conf *conf);

/* Takes a zone out of service or back. */
void ws_ed_pool_set_zone(struct ws_ed_pool *p, ws_us now, ws_id zone, bool out,
			 const struct ws_ed_conf *conf);

bool ws_ed_pool_zone_out(const struct ws_ed_pool *p, ws_id zone);

/* Handle of a server, or -1. */
int32_t ws_ed_pool_find(const struct ws_ed_pool *p, ws_id id);

/* Handle of the statistics of a route's requests at a service. */
uint32_t ws_ed_pool_work_stats(struct ws_ed_pool *p, ws_id route,
			       ws_id service);

/* May be given requests: listed, not leaving, its zone in service. */
bool ws_ed_pool_usable(const struct ws_ed_pool *p, ws_us now, uint32_t server);

/* Expected time and load at one server; paced is set while it must wait. */
void ws_ed_pool_expect(const struct ws_ed_pool *p, ws_us now, uint32_t server,
		       uint32_t work, struct ws_ed_choice *out);

/* All servers of a service that may be used, taken together. */
struct ws_ed_capacity {
	double slots; /* counted by lasting speed: of servers of speed 1 */
	double load; /* requests at the servers over their slots */
};

void ws_ed_pool_capacity(const struct ws_ed_pool *p, ws_us now, ws_id service,
			 struct ws_ed_capacity *c);

/* Picks a server of an open service. */
void ws_ed_pool_choose(struct ws_ed_pool *p, ws_us now,
		       const struct ws_ed_choose_input *need,
		       struct ws_ed_choice *out);

/* A request goes to a server now. */
void ws_ed_pool_sent(struct ws_ed_pool *p, ws_us now, uint32_t server,
		     const struct ws_ed_service *svc);

/* A request at a server has ended; latency counts from its sending. */
void ws_ed_pool_ended(struct ws_ed_pool *p, ws_us now, uint32_t server,
		      uint32_t work, enum ws_ed_end end, ws_us latency,
		      double load, const struct ws_ed_report *report);

/*
 * Another instance tells what a server reported to it.
 * @param at when it was reported
 * @param hand_on enum ws_ed_report_pending: who is to be told
 */
void ws_ed_pool_peer_report(struct ws_ed_pool *p, ws_us at, uint32_t server,
			    const struct ws_ed_report *report, uint8_t hand_on);

/* Names a server in few bytes; the list of servers is short beside it. */
uint32_t ws_ed_short_id(ws_id server);

/* Time after which an idle connection to a server is left alone. */
ws_us ws_ed_pool_idle_limit(const struct ws_ed_server *s);

/* Forgets servers that are gone and idle. */
void ws_ed_pool_tick(struct ws_ed_pool *p, ws_us now);

#endif
