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
 * Randomised soak test of real edge processes. The platform's store, the
 * servers, the callers and the TCP proxies that inject network faults all run
 * in this process on one event loop. While it runs, the test checks the
 * guarantees that callers and servers can observe.
 */

#define SOAK_INSTANCES_MAX 40
#define SOAK_SERVERS_MAX 50
#define SOAK_WATCHED_KEYS 64 /* keys that are checked for two owners */
#define SOAK_KEY_SPACE 65536
/* Time without faults after which the strict checks apply. */
#define SOAK_QUIET_TIME (4 * WS_SECOND)
/* The outcome of a request is known after this time. */
#define SOAK_PENDING_MAX (3 * WS_SECOND)
/* Requests with this prefix take seconds. */
#define SOAK_LONG_PATH "/long/"
/* Shares of requests served are judged over this many whole seconds. */
#define SOAK_JUDGED_SECONDS 4

struct soak_options {
	uint64_t seed;
	int instances;
	int servers;
	int seconds; /* in which faults begin */
	double requests_per_s;
	char edge[256]; /* path of the edge program */
	char dir[256]; /* folder of logs and settings */
	char only[32]; /* the only kind of fault to inject; "": all kinds */
	gboolean verbose;
};

struct soak {
	struct soak_options opt;
	struct ev_loop *loop;
	struct ws_timers *timers;
	struct ws_http *http;
	struct ws_rand rand;
	ws_us started;
	ws_us last_fault; /* when the last fault ended; at first the start */
	int active_faults;
	ws_us calm_since; /* all faults have ended, all processes run */
	ws_us held_up; /* when this process last went on after a pause */
	bool keys_stopped; /* majority of the processes or records were lost */
	char net[32]; /* first three bytes of all addresses, as text */
	bool failed;
};

extern struct soak soak;

ws_us soak_now(void);
ws_us soak_elapsed(void); /* since the start */
ws_us soak_random_between(ws_us low, ws_us high);
bool soak_chance(unsigned percent);

/* Returns whether no fault was active for SOAK_QUIET_TIME plus time. */
bool soak_is_quiet(ws_us time);

/* Prints the violation of a guarantee; the run continues and will fail. */
void soak_violation(const char *guarantee, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

void soak_log(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Begins a kind of fault at a time, beside those that are drawn. */
void soak_schedule_fault(const char *name, ws_us at);

/* ===== soak_store.c ===== */

void soak_store_start(void);
void soak_store_stop(void);
void soak_store_write(const char *topic, const char *key, const char *value);

enum soak_store_fault {
	SOAK_STORE_HEALTHY = 0,
	SOAK_STORE_DOWN, /* answers 503 */
	SOAK_STORE_SLOW, /* answers late */
	SOAK_STORE_DROPS_REPLIES, /* appends, but does not answer */
};

void soak_store_fault(enum soak_store_fault fault);
bool soak_store_is_down(void);

/* Makes all current records unreadable by offset, as after log retention. */
void soak_store_truncate(void);

/*
 * Brings the store back from a copy of this age: newer records are lost, and
 * offsets are given out again.
 */
void soak_store_restore(ws_us age);
uint64_t soak_store_calls(void);

/* ===== soak_server.c ===== */

void soak_servers_start(void);
void soak_servers_stop(void);
void soak_server_crash(int i, ws_us down_time);
void soak_server_drain(int i, ws_us down_time);
void soak_server_shed(int i, bool on);
void soak_server_slow(int i, int factor);

/* How a server leaves that says so in its answers; its entry stays ready. */
struct soak_leave {
	ws_us serves; /* until it stops; the times below count from the start */
	ws_us entry_gone; /* when its entry is removed; 0: it is not */
	ws_us entry_back; /* when it is written again; 0: it is not */
	bool keeps_entry; /* does not remove it when it stops */
	ws_us down; /* until it starts again */
};

/* Returns false if the server is down or leaves already. */
bool soak_server_leave(int i, const struct soak_leave *l);

enum soak_retry_after {
	SOAK_RETRY_TIME = 0, /* 0.2 to 4 s */
	SOAK_RETRY_ZERO,
	SOAK_RETRY_NEGATIVE,
	SOAK_RETRY_MALFORMED,
	SOAK_RETRY_DATE,
	SOAK_RETRY_HUGE,
};

/* How a server rejects requests with Retry-After. */
struct soak_reject {
	enum soak_retry_after retry_after;
	unsigned percent; /* of its requests */
	ws_us time;
	ws_us restart; /* it starts again after this pause; 0: it does not */
};

/* Returns false if the server is down or rejects already. */
bool soak_server_reject(int i, const struct soak_reject *r);

/* Whether all servers run, and none leaves or rejects. */
bool soak_servers_are_calm(void);

/* Servers of a service that are in use, without limits, at their usual speed */
int soak_servers_free(bool sharded);

/* The server states how many requests/s it takes; < 0: no limit. */
void soak_server_limit(int i, double per_s);

/* ===== soak_proxy.c ===== */

struct soak_proxy;

enum soak_proxy_mode {
	SOAK_PROXY_PASS = 0,
	SOAK_PROXY_DELAY,
	SOAK_PROXY_BLACKHOLE, /* holds back all data */
	SOAK_PROXY_DROP_ANSWERS, /* discards data from the server */
	SOAK_PROXY_RESET, /* resets connections */
};

struct soak_proxy *soak_proxy_new(const char *listen, const char *to);
void soak_proxy_free(struct soak_proxy *p);
void soak_proxy_set(struct soak_proxy *p, enum soak_proxy_mode mode,
		    ws_us delay);

/* Blocks all open connections for good; new ones work. */
void soak_proxy_stall_open(struct soak_proxy *p);

/* ===== soak_process.c ===== */

void soak_processes_start(void);

/* Kills all processes that were started, by their process ids. */
void soak_processes_stop(void);
void soak_process_kill(int i, ws_us down_time);
void soak_process_terminate(int i);
void soak_process_pause(int i, ws_us time);
void soak_process_reload(int i);
bool soak_processes_all_run(void);

/* The proxies from an instance to the store, and from all to a server. */
struct soak_proxy *soak_process_store_proxy(int i);
/* Whether a server of the sharded service owns no key at all. */
bool soak_server_lacks_keys(int i);

struct soak_proxy *soak_server_proxy(int i);

/* Since when the process runs without a disturbing signal; 0: it does not. */
ws_us soak_process_undisturbed_since(int i);

/*
 * Whether an instance is ending, or has ended, after SIGTERM, and nothing else
 * has happened to it.
 */
bool soak_process_stops_cleanly(int i);

/* ===== soak_caller.c ===== */

void soak_callers_start(void);
void soak_callers_stop(void);

/*
 * Percentage of requests served, with a shard key or without, of those sent in
 * the worst SOAK_JUDGED_SECONDS between since and SOAK_PENDING_MAX ago.
 */
int soak_callers_served(bool keyed, ws_us since);

/* Whole seconds after since until 95 % were served in each later second. */
int soak_callers_recovery(bool keyed, ws_us since);
void soak_callers_print(void);

/* ===== soak_check.c ===== */

/* A server starts to run a request. */
void soak_check_run(const char *id, const char *server, bool at_most_once,
		    const char *customer, const char *path);

/* An instance answered that a request has not run and never will. */
void soak_check_not_run(const char *id, int status);

/* A caller sends a request with the key of a customer to an instance. */
void soak_check_sent(const char *id, const char *customer, int instance);

/*
 * Looks up to which instance a request was sent, and when.
 * @return false if no caller sent it
 */
bool soak_check_find_sent(const char *id, int *instance, ws_us *sent);

bool soak_check_has_run(const char *id);

/* A server announces that it leaves, or its entry was removed. */
void soak_check_server_leaving(const char *server);
void soak_check_server_up(const char *server);

/* A zone is taken out of service; "": it is in service again. */
void soak_check_zone_out(const char *zone);
/* A server states a limit of requests, or none any more (< 0). */
void soak_check_limit(int server, double per_s);
void soak_check_limited_request(int server);
void soak_check_request_arrived(const char *server, const char *zone);

/* A customer's key was revoked, or is valid again. */
void soak_check_key_revoked(const char *customer, bool is_revoked);

/* A server reports which of the watched keys it holds. */
void soak_check_held_keys(int server, const bool *keys);
void soak_check_print(void);

/* ===== soak_stated.c ===== */

/* Names the server and its start in its answers, for the checks. */
#define SOAK_START_HEADER "Soak-Start"

void soak_stated_format_start(int server, int64_t started_ms, bool leaving,
			      char *buf, size_t size);

/* Returns how long no requests are wanted by this value; 0: no time. */
ws_us soak_stated_format_retry_after(enum soak_retry_after kind, char *buf,
				     size_t size);

/* A caller got an answer of a server; start: the value of SOAK_START_HEADER. */
void soak_stated_passed_on(int instance, const char *start);

void soak_stated_started(int server, int64_t started_ms);

/* A server has answered 503 with Retry-After. */
void soak_stated_rejected(int server, const char *id, ws_us time);

/* A request reaches a server, which answers 421 if it is misdirected. */
void soak_stated_request(int server, int64_t started_ms, const char *id,
			 bool misdirected);

/* The way from the instances to a server is disturbed, or not any more. */
void soak_stated_way_disturbed(int server, bool is_disturbed);

/* Begins series of statements; to be called often. */
void soak_stated_inject(ws_us now, bool may_begin);

/* Whether no series is under way or about to begin. */
bool soak_stated_is_calm(void);

/* Checks at the end of the run that servers are in use again. */
void soak_stated_check_used(void);
void soak_stated_print(void);

#endif
