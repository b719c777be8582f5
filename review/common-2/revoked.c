#include "revoked.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define MACHINES 3
#define RESTARTED 1 /* the machine that is restarted */
#define SERVERS 2
#define SERVER_PORT 8000
#define HOST "shop.example"
#define KEY_TAKEN "fqasnmgkcuyj8pjbvk9m"
#define KEY_KEPT "ctnfzs989anu6wsjnban"
#define REVOKE_S 5.0 /* bound of the site */
#define REQUESTS_MAX 20000

/* Times from the confirmation of the configuration without the key. */
#define STORE_AWAY_AT 3.0 /* with REVOKED_LOST at once */
#define KILLED_AT 3.1
#define STORE_BACK_AT 3.5
#define COPY_OF -1.0
#define RESTARTED_AT 3.6
/* The operator writes again two seconds after the store is back. */
#define WRITTEN_AGAIN_AT 5.5
#define END_AT 8.0

struct request {
	double sent;
	int machine;
	bool has_run;
};

static struct request requests[REQUESTS_MAX];
static unsigned n_requests;
static unsigned n_run;
static unsigned n_kept_run;
static double confirmed; /* 0: not yet */
static volatile bool stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* ===== Servers ===== */

static void serve(int fd, void *arg)
{
	const char *name = arg;
	struct rig_conn *c = calloc(1, sizeof(*c));
	struct rig_message *m = malloc(sizeof(*m));

	c->fd = fd;
	while (rig_read(c, m)) {
		char id[64] = "";
		unsigned n;

		free(m->body);
		rig_field(m, "Wagtailshift-Request-Id", id, sizeof(id));
		pthread_mutex_lock(&lock);
		/* Those with the key that is taken away have a number. */
		if (sscanf(id, "t%x", &n) == 1 && n < REQUESTS_MAX) {
			requests[n].has_run = true;
			n_run++;
			rig_record("%s runs %s", name, id);
		} else {
			n_kept_run++;
		}
		pthread_mutex_unlock(&lock);
		if (!rig_sendf(fd,
			       "HTTP/1.1 200 OK\r\n"
			       "Wagtailshift-Request-Id: %s\r\n"
			       "Wagtailshift-Server-Seal: 3e1b.07\r\n"
			       "Wagtailshift-Server-Load: 0,0,8\r\n"
			       "Content-Length: 4\r\n\r\ndone",
			       id))
			break;
	}
	free(c);
	free(m);
}

/* ===== Requesters ===== */

static int send_request(int machine, const char *id, const char *key)
{
	struct rig_conn *c = calloc(1, sizeof(*c));
	struct rig_message *m = malloc(sizeof(*m));
	int status = 0;

	c->fd = rig_connect(rig_front_ip(machine), RIG_FRONT_PORT, 2);
	if (c->fd >= 0) {
		if (rig_sendf(c->fd,
			      "POST /orders/1 HTTP/1.1\r\nHost: " HOST "\r\n"
			      "Wagtailshift-Request-Id: %s\r\n"
			      "Wagtailshift-Deadline-Ms: 1500\r\n"
			      "Api-Key: %s\r\nContent-Length: 5\r\n\r\nsieve",
			      id, key) &&
		    rig_read(c, m)) {
			status = m->status;
			free(m->body);
		}
		close(c->fd);
	}
	free(c);
	free(m);
	return status;
}

/* Goes on using the key, and now and then the other one, at one machine. */
static void *run_requester(void *arg)
{
	int machine = (int)(intptr_t)arg;
	unsigned i = 0;

	while (!stopping) {
		char id[32];
		unsigned n;
		int status;

		rig_sleep(0.02);
		if (++i % 10 == 0) {
			snprintf(id, sizeof(id), "k%d-%u", machine, i);
			send_request(machine, id, KEY_KEPT);
			continue;
		}
		pthread_mutex_lock(&lock);
		n = n_requests++;
		if (n >= REQUESTS_MAX) {
			pthread_mutex_unlock(&lock);
			return NULL;
		}
		requests[n].machine = machine;
		requests[n].sent = rig_now();
		pthread_mutex_unlock(&lock);
		snprintf(id, sizeof(id), "t%x", n);
		status = send_request(machine, id, KEY_TAKEN);
		if (confirmed > 0)
			rig_record("machine %d answers %d to %s, sent %.3f s "
				   "after the confirmation",
				   machine, status, id,
				   requests[n].sent - confirmed);
	}
	return NULL;
}

/* ===== Operator ===== */

/* @param last the store goes away at once when it has confirmed this */
static void write_config(bool with_key, bool last)
{
	char text[2048];

	snprintf(text, sizeof(text),
		 "{\"version\":\"%s\",\"services\":[{\"name\":\"orderbook\","
		 "\"health_path\":\"/health\",\"max_connections\":120}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		 "1048576,\"header_timeout_s\":5,\"idle_timeout_s\":15},"
		 "\"tenants\":[{\"name\":\"sese880\",\"api_keys\":[\"" KEY_KEPT
		 "\"%s]}],\"virtual_hosts\":[{\"host\":\"" HOST
		 "\",\"path_rules\":[{\"name\":\"order-place\","
		 "\"path_prefix\":\"/orders/\",\"kind\":\"non_idempotent\","
		 "\"service\":\"orderbook\",\"timeout_s\":0.8,"
		 "\"target_latency_s\":0.4,\"priority\":1,\"max_attempts\":2}"
		 "]}]}",
		 with_key ? "0000000c" : "0000000f",
		 with_key ? ",\"" KEY_TAKEN "\"" : "");
	if (last)
		rig_put_last("keyed.op", "config", text);
	else
		rig_put("keyed.op", "config", text);
	rig_record("the operator writes the configuration %s the key%s",
		   with_key ? "with" : "without",
		   last ? "; the store is away" : "");
}

/* ===== Run ===== */

static void wait_until(double after_confirmation)
{
	rig_sleep(confirmed + after_confirmation - rig_now());
}

static void restart(bool down)
{
	if (down)
		rig_kill_machine(RESTARTED);
	else
		rig_start_machine(RESTARTED);
}

static void disturb(enum revoked_event event, bool trouble)
{
	bool restarts = event == REVOKED_RESTART;

	if (trouble && restarts) {
		wait_until(STORE_AWAY_AT);
		rig_store_away(true);
		rig_record("the store is away");
	}
	wait_until(KILLED_AT);
	if (restarts)
		restart(true);
	wait_until(STORE_BACK_AT);
	if (trouble) {
		rig_store_restore(confirmed + COPY_OF);
		rig_store_away(false);
		rig_record("the store is back from a copy of %.1f s before "
			   "the confirmation",
			   -COPY_OF);
	}
	wait_until(RESTARTED_AT);
	if (restarts)
		restart(false);
	wait_until(WRITTEN_AGAIN_AT);
	if (trouble)
		write_config(false, false);
	wait_until(END_AT);
}

static unsigned count_breaks(void)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < n_requests && i < REQUESTS_MAX; i++) {
		const struct request *r = &requests[i];

		if (!r->has_run || r->sent <= confirmed + REVOKE_S)
			continue;
		n++;
		rig_record("BROKEN t%x, sent to machine %d %.3f s after the "
			   "confirmation, has run",
			   i, r->machine, r->sent - confirmed);
	}
	return n;
}

int revoked_run(const char *folder, enum revoked_event event)
{
	const char *t = getenv("TROUBLE");
	bool trouble = !t || strcmp(t, "0") != 0;
	static const char *const names[] = { "i-7f3a91c2", "i-7f3a91c3" };
	pthread_t thread;
	unsigned breaks;
	intptr_t i;

	rig_start(folder, MACHINES, NULL);
	write_config(true, false);
	for (i = 0; i < SERVERS; i++) {
		char ip[48];

		snprintf(ip, sizeof(ip), "%s%d", rig_net(), 70 + (int)i);
		rig_listen(ip, SERVER_PORT, serve, (void *)(uintptr_t)names[i]);
		rig_put_server(names[i], "orderbook", "zone-0", ip, SERVER_PORT,
			       8, "ready");
	}
	for (i = 0; i < MACHINES; i++)
		rig_start_machine((int)i);
	for (i = 0; i < MACHINES; i++)
		if (!rig_wait_ready((int)i, 20))
			return rig_finish(2);
	rig_sleep(3);
	for (i = 0; i < MACHINES; i++)
		pthread_create(&thread, NULL, run_requester, (void *)i);
	rig_sleep(3);
	pthread_mutex_lock(&lock);
	breaks = n_run;
	pthread_mutex_unlock(&lock);
	write_config(false, trouble && event == REVOKED_LOST);
	confirmed = rig_now();
	disturb(event, trouble);
	stopping = true;
	rig_sleep(0.5);
	rig_record("%u requests with the key ran before it was taken away, %u "
		   "in all, %u with the other key",
		   breaks, n_run, n_kept_run);
	if (!breaks || !n_kept_run)
		return rig_finish(2);
	breaks = count_breaks();
	rig_record("%u times the rule was broken", breaks);
	return rig_finish(breaks ? 1 : 0);
}
