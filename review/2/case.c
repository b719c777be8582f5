#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/rig.h"

/*
 * Servers that are full reject requests. With the disruption, some answers of
 * three of five servers have a late second copy, which is sent where the next
 * answer on the connection is due. A request that isn't idempotent must run at
 * most once, and must not run if it is answered 503.
 */

#define EDGES 10
#define SERVERS 5
#define RATE 330.0 /* requests a second */
#define DISTURBED 3 /* 0.6 of the servers */
#define COPIED_PER_MILLE 30
#define GARBLE_ON (5 * RIG_S)
#define GARBLE_PERIOD (5500 * RIG_MS)
#define TRAFFIC_FROM (8 * RIG_S)
#define TRAFFIC_UNTIL (98 * RIG_S)
#define LAST_ANSWERS (101 * RIG_S)
#define CALLS_MAX 60000
#define KEYS_USED 300

struct call {
	char id[24];
	bool once; /* isn't idempotent */
	int runs;
	int status;
};

struct copy {
	size_t len;
	char data[1024];
};

static struct call calls[CALLS_MAX];
static int n_calls;
static int copies;
static int broken;
static int rejections;
static int by_status[600];

static const char config[] =
	"{\"version\":\"0000000c\",\"services\":[{\"name\":\"calibra\","
	"\"health_path\":\"/health\",\"max_connections\":120,\"sharded\":true,"
	"\"warmup_s\":0,\"warmup_per_s\":0}],\"limits\":{\"max_header_bytes\":"
	"16384,\"max_body_bytes\":1048576,\"header_timeout_s\":3,"
	"\"idle_timeout_s\":15},\"tenants\":[{\"name\":\"sese880\","
	"\"rate_per_s\":0,\"burst\":0,\"api_keys\":[\"key-1\"]}],"
	"\"virtual_hosts\":[{\"host\":\"lab.example\",\"path_rules\":["
	"{\"name\":\"cert\",\"path_prefix\":\"/cert/\",\"kind\":"
	"\"non_idempotent\",\"timeout_s\":1,\"target_latency_s\":0.25,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"calibra\"},"
	"{\"name\":\"archive\",\"path_prefix\":\"/archive/\",\"kind\":"
	"\"idempotent\",\"timeout_s\":1.2,\"target_latency_s\":0.6,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"calibra\"}]}]}";

static struct call *find_call(const char *id)
{
	int i = id[0] ? atoi(id + 1) : -1;

	return i >= 0 && i < n_calls ? &calls[i] : NULL;
}

static void on_run(const struct rig_job *j)
{
	struct call *c = find_call(j->id);

	if (!c)
		return;
	c->runs++;
	if (c->once && c->runs > 1) {
		rig_record("TWICE: %s runs %s again",
			   rig_server_name(j->server), j->id);
		broken++;
	}
	if (c->once && (c->status == 503 || c->status == 429)) {
		rig_record("REFUSED: %s runs %s after it was answered %d",
			   rig_server_name(j->server), j->id, c->status);
		broken++;
	}
}

static bool is_garbled(const struct rig_server *s)
{
	rig_us t = rig_now() - TRAFFIC_FROM;

	return rig_trouble && t > 0 && t % GARBLE_PERIOD < GARBLE_ON &&
	       rig_server_name(s)[strlen(rig_server_name(s)) - 1] <
		       '0' + DISTURBED &&
	       rig_random(1000) < COPIED_PER_MILLE;
}

static void send_answer(struct rig_server *s, struct rig_con *c, const char *id,
			int status, bool not_run, const char *text, size_t len)
{
	rejections += not_run;
	rig_write(c, text, len);
	if (is_garbled(s) && len <= sizeof(((struct copy *)0)->data)) {
		struct copy *k = calloc(1, sizeof(*k));

		k->len = len;
		memcpy(k->data, text, len);
		free(*rig_con_data(c));
		*rig_con_data(c) = k;
		rig_record("%s: will send a second copy of the answer %d to %s",
			   rig_server_name(s), status, id);
	}
	rig_end(c);
}

/* The second copy comes where the next answer is expected. */
static void on_arrival(struct rig_server *s, struct rig_con *c, const char *id)
{
	struct copy *k = *rig_con_data(c);

	if (!k)
		return;
	*rig_con_data(c) = NULL;
	rig_record("%s: sends the second copy before its answer to %s",
		   rig_server_name(s), id);
	copies++;
	rig_write(c, k->data, k->len);
	free(k);
}

static void on_answer(void *arg, const struct rig_answer *a)
{
	struct call *c = arg;

	c->status = a->complete ? a->status : 0;
	by_status[c->status < 600 ? c->status : 0]++;
	rig_record("client: %s is answered %d", c->id, c->status);
	if (c->once && c->runs && (c->status == 503 || c->status == 429)) {
		rig_record("REFUSED: %s is answered %d and has run", c->id,
			   c->status);
		broken++;
	}
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
		       "Wagtailshift-Deadline-Ms: %d\r\nApi-Key: key-1\r\n"
		       "Wagtailshift-Shard-Key: %u\r\n\r\n",
		       c->once ? "DELETE" : "GET", c->once ? "cert" : "archive",
		       rig_random(1000), c->id, c->once ? 1000 : 2500,
		       rig_random(KEYS_USED) * (65536 / KEYS_USED));
	rig_edge_ip((int)rig_random(EDGES), ip, sizeof(ip));
	rig_record("client: sends %s", c->id);
	rig_call(ip, RIG_FRONT_PORT, text, (size_t)len, 3 * RIG_S, on_answer,
		 c);
	rig_after((rig_us)(2e6 / RATE * rig_random(1000) / 1000.0), send_call,
		  NULL);
}

int main(int argc, char **argv)
{
	static const char *const zones[] = { "riga-a", "riga-b", "jelgava",
					     "liepaja" };
	static const char *const names[] = { "i-40", "i-41", "i-42", "i-43",
					     "i-44" };
	int i;

	rig_init(argc > 1 ? argv[1] : "record.txt");
	rig_hooks.on_run = on_run;
	rig_hooks.send_answer = send_answer;
	rig_hooks.on_arrival = on_arrival;
	rig_store_start();
	rig_store_write("keyed.op", "config", config);
	for (i = 0; i < SERVERS; i++) {
		const struct rig_server_conf conf = {
			.name = names[i],
			.service = "calibra",
			.zone = zones[i % 4],
			.host = 100 + i,
			.slots = 4,
			.queue = 4,
			.sharded = true,
			.work_mean = 72 * RIG_MS,
			.body_len = 400,
		};

		rig_server_start(&conf);
	}
	for (i = 0; i < EDGES; i++)
		rig_edge_start(i, zones[i % 4], true);
	rig_edges_wait_ready(EDGES, TRAFFIC_FROM);
	rig_run_until(TRAFFIC_FROM);
	send_call(NULL);
	rig_run_until(LAST_ANSWERS);
	printf("%d requests, %d answered 200, %d 502, %d 503, %d 504, %d "
	       "rejections by servers, %d second copies, %d breaches\n",
	       n_calls, by_status[200], by_status[502], by_status[503],
	       by_status[504], rejections, copies, broken);
	if (by_status[200] < n_calls / 4)
		rig_fail("too few requests were served");
	rig_finish(broken ? 1 : 0);
}
