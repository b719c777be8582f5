#ifndef ED_FLEET_H
#define ED_FLEET_H

#include "edge/ws_edge.h"

/*
 * Simulation of up to hundreds of instances, which are real reducers and
 * exchange encoded heartbeats, with servers that answer all requests after a
 * fixed time and may state a limit. Instances restart, stop and stand still.
 */

#define FLEET_INSTANCES_MAX 295
#define FLEET_SERVERS 4
#define FLEET_STEP (10 * WS_MS)
#define FLEET_START (100 * WS_SECOND)
/* From here on servers state their limits. */
#define FLEET_LIMITED_FROM (FLEET_START + 3 * WS_SECOND)
#define FLEET_ARRIVALS_MAX 8192
#define FLEET_PENDING_MAX 4096
#define FLEET_REQUESTS_MAX 65536
/* Latency objective of all routes */
#define FLEET_OBJECTIVE (300 * WS_MS)
/* Limits of the customer, if there is one */
#define FLEET_CUSTOMER_RATE 10
#define FLEET_CUSTOMER_BURST 10

struct fleet_instance {
	struct ws_edge *edge; /* NULL: it is down */
	unsigned starts;
	ws_us up_at;
	ws_us frozen_until;
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
	ws_us told_at[FLEET_INSTANCES_MAX]; /* first answer with a limit; 0:
					       none */
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
	struct ws_ed_limit_news limit;
};

struct fleet_request {
	ws_us arrived;
	ws_us refused_after; /* 0: not refused */
	ws_us retry_after;
	bool sent;
};

struct fleet {
	int n;
	int zones;
	bool sharded;
	/* Of the only customer, set before the start; NULL: there is none */
	const char *caller_key;
	ws_us now;
	struct ws_rand rand;
	struct fleet_instance nodes[FLEET_INSTANCES_MAX];
	struct fleet_server servers[FLEET_SERVERS];
	struct fleet_pending pending[FLEET_PENDING_MAX];
	struct fleet_request requests[FLEET_REQUESTS_MAX];
	size_t n_requests;
	double owed; /* fraction of an arrival */
};

extern struct fleet fleet;

/* Starts n instances with a service that is sharded or not. */
void fleet_start(int n, bool sharded);

/* The first servers state a limit, the others none. */
void fleet_limit_servers(int n, double limit);

/* Simulates a time with this many requests a second at all instances. */
void fleet_run(ws_us time, double per_s);

/* @return index in fleet.requests */
size_t fleet_submit(int i);

/* Ends the process of an instance; it starts again after a time. */
void fleet_stop(int i, ws_us time);
void fleet_start_instance(int i);

/* Gives instance i the list of all that have started. */
void fleet_add_members(int i);

#endif
