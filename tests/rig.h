#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/*
 * Real processes on loopback: the stand-ins for the platform, targets and one
 * instance of the daemon.
 */

#define RIG_CALLER_KEY "caller-key-of-acme"
#define RIG_TOKEN "token-0123456789abcdef0123456789abcdef"

struct rig {
	char dir[64];
	pid_t pids[8];
	size_t n_pids;
	pid_t daemon;
	int log_port;
	int list_port;
	int target_port; /* of the sharded service */
	char journal[128]; /* of that target */
	int callers_port;
	int internal_port;
	int peers_port;
	int admin_port;
	char settings[128];
};

struct rig_answer {
	long status; /* 0: no answer */
	char headers[4096];
	char body[8192];
};

/* Tells where the programs are, from the path of the test program. */
void rig_set_program_dir(const char *argv0);

/* Starts everything and waits until requests are served. */
void rig_start(struct rig *r, int service_us);
void rig_stop(struct rig *r);

/*
 * Sends a request and waits for its answer.
 * @param headers further header lines, ended by a NULL
 */
void rig_http(int port, const char *method, const char *path,
	      const char *const *headers, const void *data, size_t len,
	      struct rig_answer *out);

/* Connects and sends bytes; returns the socket. */
int rig_connect_and_send(int port, const char *bytes);

/* Reads until the other side closes or time is over; returns the length. */
size_t rig_read(int fd, char *buf, size_t size, int timeout_ms);

/* Waits for the daemon to end; returns its exit status, -1 on a signal. */
int rig_wait_daemon(struct rig *r, int timeout_ms);

#endif
