#ifndef RIG_H
#define RIG_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins for the review cases: the platform's store, servers, clients and
 * the start of edge processes. All run in one process on one libev loop and use
 * loopback addresses only.
 */

typedef int64_t rig_us;
#define RIG_MS 1000
#define RIG_S 1000000

extern struct ev_loop *rig_loop;
extern char rig_net[16]; /* first three bytes of all addresses, as text */
extern bool rig_trouble; /* false with TROUBLE=0 */

/* Opens the record and chooses addresses. */
void rig_init(const char *record_path);
rig_us rig_now(void); /* since rig_init() */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
uint32_t rig_random(uint32_t below);

/* Runs the loop until a time; exits with 2 when an edge process has ended. */
void rig_run_until(rig_us at);

/* Ends all processes, prints the verdict and exits with 0, 1 or 2. */
void rig_finish(int status) __attribute__((noreturn));

/* Exits with 2 after ending all processes. */
void rig_fail(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));

void rig_after(rig_us delay, void (*fn)(void *), void *arg);

/* ===== HTTP server ===== */

struct rig_con;

struct rig_req {
	const char *method;
	const char *uri;
	const char *head; /* all header lines */
	const char *body;
	size_t body_len;
};

struct rig_http_ops {
	/* Called for each complete request; the next waits for rig_end(). */
	void (*on_request)(void *arg, struct rig_con *c,
			   const struct rig_req *r);
	void (*on_close)(void *arg, struct rig_con *c);
};

struct rig_http;

struct rig_http *rig_listen(const char *ip, int port,
			    const struct rig_http_ops *ops, void *arg);
void rig_unlisten(struct rig_http *h); /* closes its connections as well */

/* Copies the value of a header; false if there is none. */
bool rig_header(const char *head, const char *name, char *buf, size_t size);

void rig_write(struct rig_con *c, const void *data, size_t len);
void rig_end(struct rig_con *c); /* the answer is complete */
void rig_close_after_write(struct rig_con *c); /* closes with a FIN */

/* Data that a case attaches to a connection; freed with it. */
void **rig_con_data(struct rig_con *c);

/* ===== Client ===== */

struct rig_answer {
	int status; /* 0: none */
	bool complete; /* by its length or, without one, by its end */
	const char *head;
	const char *body;
	size_t body_len;
};

typedef void (*rig_answer_fn)(void *arg, const struct rig_answer *a);

/* Sends on a new connection; done is called once, at the latest at timeout. */
void rig_call(const char *ip, int port, const char *data, size_t len,
	      rig_us timeout, rig_answer_fn done, void *arg);

/* ===== Store ===== */

void rig_store_start(void);
void rig_store_write(const char *topic, const char *key, const char *value);
void rig_store_down(void);

/*
 * The store is back with the records that it had at a time; what the operator
 * and servers wrote since is written again after rewrite_delay.
 */
void rig_store_restore(rig_us copy_from, rig_us rewrite_delay);

/* ===== Edge processes ===== */

#define RIG_FRONT_PORT 8782

void rig_edge_ip(int i, char *buf, size_t size);
void rig_edge_start(int i, const char *zone, bool first_start);
void rig_edge_terminate(int i); /* SIGTERM */
void rig_edge_kill(int i); /* SIGKILL */
pid_t rig_edge_pid(int i);
bool rig_edge_ready(int i); /* as of the last check, once a second */
void rig_edges_wait_ready(int n, rig_us until);

/* ===== Servers ===== */

struct rig_server;

struct rig_job {
	struct rig_server *server;
	struct rig_con *con; /* NULL: the caller has left */
	struct rig_job *next;
	char id[64];
	char uri[160];
	char method[12];
	char tenant[64];
	long key; /* -1: none */
	bool running;
};

/* What a case decides about the bytes of an answer. */
struct rig_server_hooks {
	void (*on_run)(const struct rig_job *j);
	/* Sends an answer; default: all of it. */
	void (*send_answer)(struct rig_server *s, struct rig_con *c,
			    const char *id, int status, bool not_run,
			    const char *text, size_t len);
	/* Called with the header lines of each request. */
	void (*on_head)(struct rig_server *s, const char *id, const char *head);
	/* Called when a request has arrived on a connection. */
	void (*on_arrival)(struct rig_server *s, struct rig_con *c,
			   const char *id);
};

struct rig_server_conf {
	const char *name;
	const char *service;
	const char *zone;
	int host; /* last byte of its address */
	int slots;
	int queue;
	bool sharded;
	rig_us work_mean;
	size_t body_len;
};

extern struct rig_server_hooks rig_hooks;

struct rig_server *rig_server_start(const struct rig_server_conf *conf);
const char *rig_server_name(const struct rig_server *s);

/* Sets the mean time that requests take from now on. */
void rig_server_set_work(struct rig_server *s, rig_us mean);

#endif
