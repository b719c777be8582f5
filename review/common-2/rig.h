#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Stand-ins for the scripts of this review: the platform's store, a process of
 * the system for each machine, and helpers for servers and clients. Each
 * connection has a thread. All addresses are loopback addresses.
 */

#define RIG_MACHINES_MAX 8
#define RIG_HEAD_MAX (64 * 1024)
#define RIG_FRONT_PORT 7100

/* ===== Time and record ===== */

/* Seconds since the start of the case. */
double rig_now(void);
void rig_sleep(double seconds);

/* Writes a line with the time to record.txt and flushes it. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* ===== HTTP ===== */

struct rig_conn {
	int fd;
	char buf[RIG_HEAD_MAX];
	size_t len;
};

struct rig_message {
	char head[RIG_HEAD_MAX]; /* with its final empty line, NUL-terminated */
	char method[16]; /* of a request */
	char uri[1024];
	int status; /* of an answer */
	char *body; /* to be freed; NUL-terminated */
	size_t body_len;
};

/* Reads one message; @return false if the connection has ended. */
bool rig_read(struct rig_conn *c, struct rig_message *m);

/* Copies the value of a field; @return false if it is missing. */
bool rig_field(const struct rig_message *m, const char *name, char *value,
	       size_t size);
bool rig_send(int fd, const void *data, size_t len);
bool rig_sendf(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Calls fn with a new connection in a thread of its own, then closes it. */
void rig_listen(const char *ip, int port, void (*fn)(int fd, void *arg),
		void *arg);

/* @return a connected socket with a receive timeout, or -1 */
int rig_connect(const char *ip, int port, double timeout);

/* "127.A.100.", the network of this run. */
const char *rig_net(void);

/* ===== Store ===== */

void rig_put(const char *topic, const char *key, const char *value);

/* All calls are answered 503 and do nothing. */
void rig_store_away(bool away);

/* A write that is confirmed, and after which the store is away at once. */
void rig_put_last(const char *topic, const char *key, const char *value);

/*
 * The store comes back from a copy: what was written later is gone, and its era
 * rises by one.
 */
void rig_store_restore(double written_before);

/* Writes the entry of a server. */
void rig_put_server(const char *id, const char *service, const char *zone,
		    const char *ip, int port, int slots, const char *state);

/* ===== Machines ===== */

/*
 * Starts the store, for n machines in three zones.
 * @param folder where record.txt is written
 * @param config the first configuration; NULL: it is written later
 */
void rig_start(const char *folder, int n, const char *config);
void rig_start_machine(int i);
void rig_kill_machine(int i);
const char *rig_front_ip(int i);

/* Waits until a machine says that it is ready. */
bool rig_wait_ready(int i, double timeout);

/* Ends all processes; @return the code, for exit(). */
int rig_finish(int code);

#endif
