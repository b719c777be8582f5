#ifndef SOAK_H
#define SOAK_H

#include <ev.h>
#include <glib.h>
#include <sys/types.h>

#include "common/ws_timer.h"
#include "edge/ws_edge.h"
#include "io/ws_http.h"
#include "io/ws_server.h"

/*
 * Randomised soak: real edge processes, a stand-in for the platform's store,
 * servers, callers, and faults from outside the processes. Everything but the
 * edge runs in this process on one loop. What callers and servers see is
 * checked while it runs.
 */

#define SOAK_INSTANCES_MAX 40
#define SOAK_SERVERS_MAX 50
#define SOAK_WATCHED_KEYS 64 /* keys of the divided service that are watched \
			      */
#define SOAK_KEY_SPACE 65536
#define SOAK_QUIET_TIME \
	(4 * WS_SECOND) /* without faults, before strict checks */

struct soak_options {
	uint64_t seed;
	int instances;
	int servers;
	int seconds;
	double requests_per_s;
	char edge[256]; /* path of the program */
	char dir[256]; /* logs and settings */
	char only[32]; /* kind of fault; "": all */
	gboolean verbose;
};

struct soak {
	struct soak_options opt;
	struct ev_loop *loop;
	struct ws_timers *timers;
	struct ws_http *http;
	struct ws_rand rand;
	ws_us started;
	ws_us last_fault; /* when the last fault ended, or now */
	int active_faults;
	char net[32]; /* first three bytes of the addresses used */
	bool failed;
};

extern struct soak soak;

ws_us soak_now(void);
ws_us soak_elapsed(void); /* since the start */
ws_us soak_random_between(ws_us low, ws_us high);
bool soak_chance(unsigned percent);

/* No fault is open and none has been for some time. */
bool soak_is_quiet(ws_us time);

/* A broken promise; the run goes on, and fails. */
void soak_violation(const char *promise, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

void soak_log(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* ===== soak_store.c ===== */

void soak_store_start(void);
void soak_store_stop(void);
void soak_store_write(const char *topic, const char *key, const char *value);

enum soak_store_fault {
	SOAK_STORE_HEALTHY = 0,
	SOAK_STORE_DOWN, /* answers 503 */
	SOAK_STORE_SLOW, /* answers late */
	SOAK_STORE_DROPS_REPLIES, /* carries out, does not answer */
};

void soak_store_fault(enum soak_store_fault fault);

/* Old records can no longer be read one by one. */
void soak_store_truncate(void);
uint64_t soak_store_calls(void);

/* ===== soak_server.c ===== */

void soak_servers_start(void);
void soak_servers_stop(void);
void soak_server_crash(int i, ws_us back);
void soak_server_drain(int i, ws_us back);
void soak_server_shed(int i, bool on);
void soak_server_slow(int i, int times);

/* ===== soak_proxy.c ===== */

struct soak_proxy;

enum soak_proxy_mode {
	SOAK_PROXY_PASS = 0,
	SOAK_PROXY_DELAY,
	SOAK_PROXY_BLACKHOLE, /* nothing passes */
	SOAK_PROXY_DROP_ANSWERS, /* what the server says is lost */
	SOAK_PROXY_RESET, /* connections are reset */
};

struct soak_proxy *soak_proxy_new(const char *listen, const char *to);
void soak_proxy_free(struct soak_proxy *p);
void soak_proxy_set(struct soak_proxy *p, enum soak_proxy_mode way,
		    ws_us delay);

/* Open connections go silent for good; new ones work. */
void soak_proxy_stall_open(struct soak_proxy *p);

/* ===== soak_process.c ===== */

void soak_processes_start(void);

/* Ends all processes that were started, by their ids. */
void soak_processes_stop(void);
void soak_process_kill(int i, ws_us back);
void soak_process_terminate(int i);
void soak_process_pause(int i, ws_us time);
void soak_process_reload(int i);
struct soak_proxy *soak_process_store_proxy(int i); /* its way to the store */
struct soak_proxy *soak_server_proxy(int i); /* the way to a server */

/* Since when the process has been running without a signal; 0: it is not. */
ws_us soak_process_undisturbed_since(int i);

/* ===== soak_caller.c ===== */

void soak_callers_start(void);
void soak_callers_stop(void);

/* Share of requests that were served in the last seconds, in percent. */
int soak_callers_served(ws_us time);
void soak_callers_print(void);

/* ===== soak_check.c ===== */

/* A server begins to run a request. */
void soak_check_run(const char *id, const char *server, bool once,
		    const char *customer, const char *path);

/* An instance has promised that a request has not run and never will. */
void soak_check_not_run(const char *id, int status);

/* The customer that a caller's key belongs to; "" for none. */
void soak_check_sent(const char *id, const char *customer, const char *path);

bool soak_check_has_run(const char *id);

/* A server reports that it leaves, or its entry is gone. */
void soak_check_server_leaving(const char *server);
void soak_check_server_up(const char *server);

/* A zone is emptied, or taken back (""). */
void soak_check_zone_out(const char *zone);
void soak_check_request_arrived(const char *server, const char *zone);

/* A customer's key was withdrawn, or given back. */
void soak_check_key_revoked(const char *customer, bool gone);

/* Which server holds a watched key, told by each server. */
void soak_check_held_keys(int server, const bool *points);
void soak_check_print(void);

#endif
