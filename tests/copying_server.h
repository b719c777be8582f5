#ifndef COPYING_SERVER_H
#define COPYING_SERVER_H

#include <ev.h>

#include "common/ws_common.h"

/*
 * A stand-in for a server that sends some of its answers twice: right behind
 * the answer, or later, when its connection may be in use again. It rejects
 * requests, runs others after a delay, and resets connections before, while and
 * after it runs one. What it does is drawn at random.
 */

/* What has happened to a request, at all servers. */
struct copying_request {
	unsigned n_received;
	unsigned n_rejected;
	unsigned n_runs; /* times that a server began to run it */
	char trace[400]; /* what the servers did, for messages */
};

struct copying_server;

struct copying_server_conf {
	struct ev_loop *loop;
	const char *ip;
	int port;
	struct ws_rand *rand;
	/* By the number that ends the id of a request ("r17") */
	struct copying_request *requests;
	size_t n_requests;
	unsigned *n_copies; /* copies sent late */
};

struct copying_server *
copying_server_new(const struct copying_server_conf *conf);

/* Number of answers, copies and runs that are still to come. */
unsigned copying_server_pending(const struct copying_server *s);

/* Nothing may be pending. */
void copying_server_free(struct copying_server *s);

#endif
