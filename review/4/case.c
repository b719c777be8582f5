#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/rig.h"

/*
 * With the disruption, one of three servers breaks off some of its answers: it
 * sends a part of the bytes and closes the connection. A client must get a
 * success only with the server's whole body.
 */

#define EDGES 3
#define SERVERS 3
#define BROKEN_OFF_PER_MILLE 20
#define GARBLE_ON (5500 * RIG_MS)
#define GARBLE_PERIOD (6 * RIG_S)
#define TRAFFIC_FROM (8 * RIG_S)
#define TRAFFIC_UNTIL (98 * RIG_S)
#define LAST_ANSWERS (102 * RIG_S)
#define CALLS_MAX 60000
#define RATE 120.0 /* requests a second */
#define BODY_LEN 400

struct call {
	char id[24];
	bool once; /* isn't idempotent */
	size_t cut_at; /* bytes of its last broken-off answer; 0: none */
};

static struct call calls[CALLS_MAX];
static int n_calls;
static int broken_off;
static int broken;
static int by_status[600];

static const char config[] =
	"{\"version\":\"0000000c\",\"services\":[{\"name\":\"orderbook\","
	"\"health_path\":\"/health\",\"max_connections\":120,\"sharded\":false,"
	"\"warmup_s\":0,\"warmup_per_s\":0}],\"limits\":{\"max_header_bytes\":"
	"16384,\"max_body_bytes\":1048576,\"header_timeout_s\":3,"
	"\"idle_timeout_s\":15},\"tenants\":[{\"name\":\"sese880\","
	"\"rate_per_s\":0,\"burst\":0,\"api_keys\":[\"key-1\"]}],"
	"\"virtual_hosts\":[{\"host\":\"lab.example\",\"path_rules\":["
	"{\"name\":\"order\",\"path_prefix\":\"/order/\",\"kind\":"
	"\"non_idempotent\",\"timeout_s\":1,\"target_latency_s\":0.4,"
	"\"priority\":1,\"max_attempts\":2,\"service\":\"orderbook\"},"
	"{\"name\":\"stock\",\"path_prefix\":\"/stock/\",\"kind\":"
	"\"idempotent\",\"timeout_s\":1.2,\"target_latency_s\":0.3,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"orderbook\"}]}]}";

static void send_answer(struct rig_server *s, struct rig_con *c, const char *id,
			int status, bool not_run, const char *text, size_t len)
{
	struct call *k = &calls[atoi(id + 1)];
	rig_us t = rig_now() - TRAFFIC_FROM;
	size_t part;

	(void)not_run;
	if (!rig_trouble || strcmp(rig_server_name(s), "i-40") != 0 ||
	    t % GARBLE_PERIOD >= GARBLE_ON ||
	    rig_random(1000) >= BROKEN_OFF_PER_MILLE) {
		rig_write(c, text, len);
		rig_end(c);
		return;
	}
	part = 1 + rig_random((uint32_t)len - 1);
	rig_record("%s: breaks off its answer %d to %s after %zu of %zu bytes",
		   rig_server_name(s), status, id, part, len);
	broken_off++;
	k->cut_at = part;
	rig_write(c, text, part);
	rig_close_after_write(c);
}

static void on_answer(void *arg, const struct rig_answer *a)
{
	struct call *c = arg;
	char seal[64] = "none";

	by_status[a->status < 600 ? a->status : 0]++;
	if (a->head)
		rig_header(a->head, "Wagtailshift-Server-Seal", seal,
			   sizeof(seal));
	rig_record("client: %s is answered %d, %s, body of %zu bytes, seal %s",
		   c->id, a->status, a->complete ? "complete" : "not complete",
		   a->body_len, seal);
	if (a->status < 200 || a->status > 299 || !a->complete ||
	    (a->body_len == BODY_LEN && strcmp(seal, "none") != 0))
		return;
	rig_record("MIXED: %s got %d with %zu of the %d bytes of the body; the "
		   "server broke off its answer after %zu bytes",
		   c->id, a->status, a->body_len, BODY_LEN, c->cut_at);
	broken++;
}

static void send_call(void *arg)
{
	struct call *c = &calls[n_calls];
	char text[500];
	char ip[32];
	int len;

	(void)arg;
	if (rig_now() > TRAFFIC_UNTIL || n_calls == CALLS_MAX)
		return;
	c->once = rig_random(2);
	snprintf(c->id, sizeof(c->id), "r%d", n_calls++);
	len = snprintf(text, sizeof(text),
		       "%s /%s/%u HTTP/1.1\r\nHost: lab.example\r\n"
		       "Wagtailshift-Request-Id: %s\r\n"
		       "Wagtailshift-Deadline-Ms: %d\r\nApi-Key: key-1\r\n%s"
		       "\r\n%s",
		       c->once ? "POST" : "GET", c->once ? "order" : "stock",
		       rig_random(1000), c->id, c->once ? 1500 : 1200,
		       c->once ? "Content-Length: 7\r\n" : "",
		       c->once ? "{\"n\":1}" : "");
	rig_edge_ip((int)rig_random(EDGES), ip, sizeof(ip));
	rig_record("client: sends %s", c->id);
	rig_call(ip, RIG_FRONT_PORT, text, (size_t)len, 3 * RIG_S, on_answer,
		 c);
	rig_after((rig_us)(2e6 / RATE * rig_random(1000) / 1000.0), send_call,
		  NULL);
}

int main(int argc, char **argv)
{
	static const char *const zones[] = { "riga-a", "riga-b", "jelgava" };
	static const char *const names[] = { "i-40", "i-41", "i-42" };
	int i;

	rig_init(argc > 1 ? argv[1] : "record.txt");
	rig_hooks.send_answer = send_answer;
	rig_store_start();
	rig_store_write("keyed.op", "config", config);
	for (i = 0; i < SERVERS; i++) {
		const struct rig_server_conf conf = {
			.name = names[i],
			.service = "orderbook",
			.zone = zones[i],
			.host = 100 + i,
			.slots = 4,
			.queue = 16,
			.work_mean = 40 * RIG_MS,
			.body_len = BODY_LEN,
		};

		rig_server_start(&conf);
	}
	for (i = 0; i < EDGES; i++)
		rig_edge_start(i, zones[i], true);
	rig_edges_wait_ready(EDGES, TRAFFIC_FROM);
	rig_run_until(TRAFFIC_FROM);
	send_call(NULL);
	rig_run_until(LAST_ANSWERS);
	printf("%d requests, %d answered 200, %d 502, %d 503, %d 504, %d answers "
	       "broken off, %d breaches\n",
	       n_calls, by_status[200], by_status[502], by_status[503],
	       by_status[504], broken_off, broken);
	if (by_status[200] < n_calls / 4)
		rig_fail("too few requests were served");
	rig_finish(broken ? 1 : 0);
}
