#ifndef ROUTE_WORLD_H
#define ROUTE_WORLD_H

#include "core/ws_disp.h"
#include "core/ws_route.h"

/* Fake network and targets of tests/test_route_disp_random.c. */

#define N_INST 3
#define N_OPEN 6
#define N_TARGETS 9
#define N_KEYS 12
#define N_CALLS 4000
#define OPEN_SERVICE 3
#define SHARDED_SERVICE 4
#define SLOTS 4
#define COLD_LIMIT 1
/* A fake target is warm after this many requests served. */
#define COLD_SERVES 4
#define DEADLINE WS_SECOND
#define RUN_TIME (20 * WS_SECOND)
#define DRAIN_TIME (5 * WS_SECOND)
/* A lost dispatcher is replaced when its attempts are past their deadline. */
#define TAKEOVER_TIME (2 * WS_SECOND)

enum fault {
	FAULT_CRASH,
	FAULT_SLOW,
	FAULT_SILENT,
	FAULT_SHED,
	FAULT_COLLAPSE,
	FAULT_LEAVING,
	FAULT_ZONE,
	FAULT_MOVE,
	FAULT_LOST,
	FAULT_OWNER,
	N_FAULTS,
};

enum ev_kind {
	EV_TICK,
	EV_CALL,
	EV_FORWARD,
	EV_CANCEL,
	EV_ANSWER,
	EV_ARRIVE,
	EV_SERVED,
	EV_ABORT, /* a cancellation reaches the target */
	EV_RESULT,
	EV_PROBE,
	EV_PROBED,
	EV_FAULT,
	EV_FAULT_END,
	EV_OPEN, /* a dispatcher takes a target over */
};

struct ev {
	ws_us at;
	uint64_t seq;
	uint8_t kind;
	unsigned a; /* instance, target or fault */
	unsigned b;
	uint64_t ref;
	uint64_t life; /* of the instance or target meant */
	struct ws_call call;
	struct ws_answer answer;
	struct ws_load load;
	struct ws_attempt_result result;
};

struct fake_target {
	uint64_t incarnation;
	bool up;
	bool slow;
	bool silent;
	bool shedding;
	bool collapsed; /* cold again without a new incarnation */
	unsigned served;
	unsigned running;
	unsigned disp; /* instance that dispatches it */
	bool moving;
	ws_us move_from; /* earliest time at which another takes over */
};

/* One attempt that has reached a target. */
struct fake_run {
	unsigned target;
	uint64_t incarnation;
	uint64_t attempt;
	unsigned inst;
	uint64_t life;
	bool live;
};

struct forward {
	unsigned from;
	unsigned to;
	uint64_t ref;
	bool open;
};

struct call_record {
	bool idempotent;
	unsigned runs;
	unsigned answers;
	uint8_t outcome;
};

struct route_world {
	struct ws_rand rand;
	ws_us now;
	uint64_t seq;
	uint64_t digest;
	struct ev *heap;
	size_t n_heap;
	size_t cap_heap;
	struct ws_route *route[N_INST];
	struct ws_disp *disp[N_INST];
	uint64_t life[N_INST];
	struct fake_target target[N_TARGETS];
	unsigned owner[N_KEYS]; /* target number; N_TARGETS: unknown */
	struct fake_run *runs;
	size_t n_runs;
	size_t cap_runs;
	struct forward *forwards;
	size_t n_forwards;
	size_t cap_forwards;
	struct call_record call_records[N_CALLS + 1];
	uint64_t n_calls;
	uint64_t n_events;
	unsigned faults[N_FAULTS];
	unsigned duplicates;
};

extern struct route_world w;

extern struct ws_service rw_services[2];
extern struct ws_zone rw_zones[3];
extern struct ws_target rw_targets[N_TARGETS];

/* Random number below n. */
uint64_t rw_below(uint64_t n);

/* A random network delay. */
ws_us rw_network_delay(void);

/* Schedules an event; the next one in time. */
void rw_schedule(struct ev e, ws_us delay);
struct ev rw_next_event(void);

/* Events at targets: an attempt arrives, is served, is aborted. */
void rw_on_arrive(const struct ev *ev);
void rw_on_served(const struct ev *ev);
void rw_on_abort(const struct ev *ev);
void rw_crash(unsigned number);
void rw_restart(unsigned number);

#endif
