#ifndef ED_FLEET_H
#define ED_FLEET_H

#include "edge/ws_edge.h"

/*
 * Simulation of up to hundreds of instances, which are real reducers and
 * exchange encoded heartbeats, with servers that answer all requests after a
 * fixed time and may state a limit, that they leave, or that they want no
 * requests for a while. Instances restart, stop, stand still and
 * are cut off from each other. Servers crash under a request that the test
 * names, or when the test says so, and start again.
 */

#define FLEET_INSTANCES_MAX 295
#define FLEET_SERVERS 4
#define FLEET_SERVERS_MAX 64
/* Time from a crash of a server until it has started again. */
#define FLEET_DOWN_TIME (3 * WS_SECOND)
#define FLEET_STEP (10 * WS_MS)
#define FLEET_START (100 * WS_SECOND)
/* From here on servers state their limits. */
#define FLEET_LIMITED_FROM (FLEET_START + 3 * WS_SECOND)
#define FLEET_ARRIVALS_MAX 8192
#define FLEET_PENDING_MAX 4096
#define FLEET_REQUESTS_MAX 65536
#define FLEET_CRASH_SENDS_MAX 1024
#define FLEET_CHECKS_MAX 512
/* How long a server that leaves may get requests */
#define FLEET_DRAIN_TIME (2 * WS_SECOND)
/* Latency objective of all routes */
#define FLEET_OBJECTIVE (300 * WS_MS)
/* Limits of the customer, if there is one */
#define FLEET_CUSTOMER_RATE 10
#define FLEET_CUSTOMER_BURST 10

struct fleet_instance {
	struct ws_edge *edge; /* NULL: it is down */
	unsigned starts;
	uint64_t incarnation;
	ws_us up_at;
	ws_us frozen_until;
	ws_us cut_until; /* exchanges no messages with other instances */
	ws_us next_beat;
};

struct fleet_arrival {
	ws_us at;
	int instance;
};

struct fleet_server {
	double limit; /* < 0: none */
	ws_us limited_until;
	struct fleet_arrival arrivals[FLEET_ARRIVALS_MAX];
	size_t n_arrivals;
	int64_t started_ms;
	ws_us down_until; /* 0: it runs */
	ws_us unlisted_at; /* when the list drops it; 0: not due */
	ws_us told_at[FLEET_INSTANCES_MAX]; /* first answer with a limit; 0:
					       none */
	ws_us leaving_at; /* it states that it leaves; 0: it does not */
	ws_us told_leaving_at[FLEET_INSTANCES_MAX];
	ws_us released_at; /* from then on it owns no keys; 0: it does */
	ws_us told_released_at[FLEET_INSTANCES_MAX];
	/* It rejects requests with a time until then; 0: it does not */
	ws_us closed_until;
	ws_us told_closed_at[FLEET_INSTANCES_MAX];
};

/* A send whose answer is under way. */
struct fleet_pending {
	ws_us at; /* when the answer arrives; 0: free */
	ws_us sent;
	int instance;
	unsigned starts;
	uint64_t request;
	uint8_t lane;
	int server;
	enum ws_ed_end end;
};

/* A connection that an instance opens to check a server. */
struct fleet_check {
	ws_us at; /* when it is answered or refused; 0: free */
	int instance;
	unsigned starts;
	int server;
	int64_t started_ms;
};

struct fleet_request {
	ws_us arrived;
	ws_us refused_after; /* 0: not refused */
	ws_us retry_after;
	uint64_t fingerprint;
	int sends;
	bool sent;
	bool answered; /* with a server's answer */
	enum ws_ed_reason reason; /* of an answer of the instance itself */
};

/* The request that crashes servers reaches one that runs. */
struct fleet_crash_send {
	ws_us at;
	int instance;
	bool in_touch; /* set by the test: the instance was not disrupted */
};

struct fleet {
	int n;
	int zones;
	bool sharded;
	bool unmetered; /* set before the start */
	/* Of the only customer, set before the start; NULL: there is none */
	const char *caller_key;
	/* Servers listed, set before the start; 0: FLEET_SERVERS */
	int n_servers;
	/* Fingerprint of the request that crashes servers; 0: none */
	uint64_t crashing;
	/* From a crash until the list has dropped the server */
	ws_us list_delay;
	bool store_down; /* the list and the configuration can't be read */
	ws_us now;
	struct ws_rand rand;
	struct fleet_instance nodes[FLEET_INSTANCES_MAX];
	struct fleet_server servers[FLEET_SERVERS_MAX];
	struct fleet_pending pending[FLEET_PENDING_MAX];
	struct fleet_check checks[FLEET_CHECKS_MAX];
	struct fleet_request requests[FLEET_REQUESTS_MAX];
	size_t n_requests;
	struct fleet_crash_send crash_sends[FLEET_CRASH_SENDS_MAX];
	size_t n_crash_sends;
	/* When it has crashed servers */
	ws_us crashed_at[FLEET_CRASH_SENDS_MAX];
	size_t n_crashes;
	int n_reports; /* calls of fleet_report_strikes() in this step */
	double owed; /* fraction of an arrival */
};

extern struct fleet fleet;

/* One instance reads that a server is draining; the others do not yet. */
void fleet_list_draining(int instance, int server);

/* Starts n instances with a service that is sharded or not. */
void fleet_start(int n, bool sharded);

/* The first servers state a limit, the others none. */
void fleet_limit_servers(int n, double limit);

/* Simulates a time with this many requests a second at all instances. */
void fleet_run(ws_us time, double per_s);

/* @return index in fleet.requests */
size_t fleet_submit(int i);

/* The same for a request with a fingerprint of its own. */
size_t fleet_submit_as(int i, uint64_t fingerprint);

/* The list drops a server, or has it again under the same start. */
void fleet_unlist_server(int server);
void fleet_list_server(int server);

/* A server crashes, as it does under the request that crashes servers. */
void fleet_crash_server(int server);

/*
 * Instance i hears from instance j of strikes against a request, as many as
 * make instances refuse it.
 */
void fleet_report_strikes(int i, int j, uint64_t request);

/* Ends the process of an instance; it starts again after a time. */
void fleet_stop(int i, ws_us time);
void fleet_start_instance(int i);

/* Gives instance i the list of all that have started. */
void fleet_add_members(int i);

#endif
