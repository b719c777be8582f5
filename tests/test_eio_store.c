#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_position.h"
#include "edgeio/ws_eio.h"
#include "io/ws_server.h"

/*
 * Reads of the store's topics by a complete instance on loopback. Stand-ins
 * replace the store, which answers after store_latency, and another instance
 * that is asked for records.
 */

#define IP "127.19.19."
#define PENDING_MAX 64

struct pending_read {
	struct ws_server_request *req; /* NULL: free */
	ws_us at;
	uint64_t from;
	bool config;
};

static struct ev_loop *loop;
static struct ws_timers *timers;
static struct ws_server *store;
static struct ws_server *member;
static struct ws_eio *io;
static struct pending_read pending_reads[PENDING_MAX];
static ws_us store_latency;
static uint64_t config_end;
static uint64_t config_first; /* records before it have expired */
static int store_reads; /* reads of the configuration's topic */
static int cancelled;
static bool odd_entries;
static bool server_listed; /* in the snapshot of the list of servers */
static bool zone_out; /* in the snapshot of the operator's topic */
static bool store_fails;
static bool no_evidence; /* heartbeats of other instances carry no evidence */
static int member_reads; /* reads sent to the other instance */

static int snapshots; /* of the configuration's topic */
static unsigned era; /* of the store; rises when it is restored from a copy */
/* Newest configuration in the operator's topic; 0: none */
static unsigned config_version;

static void answer(struct ws_server_request *req, unsigned status,
		   const void *data, size_t len)
{
	char header[32] = { 0 };
	const struct ws_server_answer a = {
		.status = status,
		.headers = header,
		.headers_len = (size_t)snprintf(header, sizeof(header),
						"Store-Era: %u", era) +
			       1,
		.data = data,
		.data_len = len,
	};

	ws_server_answer(req, &a);
}

static int write_config(char *buf, size_t size)
{
	return snprintf(buf, size,
			"{\"version\":\"%08x\",\"services\":[],"
			"\"virtual_hosts\":[]}",
			config_version);
}

static void add_item(GString *s, const char *key, const char *value)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(s,
			       "%s{\"key\":\"%s\",\"value\":\"%s\","
			       "\"offset\":0}",
			       s->str[s->len - 1] == '[' ? "" : ",", key, text);
	g_free(text);
}

/* Entries of another writer, which name no server to use. */
static void add_odd_items(GString *s)
{
	GString *deep = g_string_new(NULL);
	int i;

	for (i = 0; i < 100000; i++)
		g_string_append(deep, "{\"a\":");
	add_item(s, "deep", deep->str);
	add_item(s, "list", "[[[[");
	add_item(s, "bytes", "\xff\xfe");
	add_item(s, "large", "{\"born\":99999999999999999999}");
	add_item(s, "i-1\\u0000", "{}");
	add_item(s, "line\\r\\nbreak", "{}");
	g_string_append(s, ",7,null,{\"key\":7},{\"key\":\"bare\"}");
	g_string_free(deep, TRUE);
}

/* The newest record of each key. */
static void answer_snapshot(struct ws_server_request *req, bool config,
			    bool servers)
{
	GString *s = g_string_new("{\"items\":[");
	char text[256];

	write_config(text, sizeof(text));
	if (config && config_version)
		add_item(s, "config", text);
	if (config && zone_out)
		add_item(s, "evacuate/far", "{}");
	if (odd_entries)
		add_odd_items(s);
	if (servers && server_listed)
		add_item(s, "i-1",
			 "{\"address\":\"127.0.0.1:9\",\"born\":5,\"info\":{"
			 "\"service\":\"s\",\"zone\":\"z\","
			 "\"version\":\"v1\",\"slots\":4},"
			 "\"status\":{\"state\":\"ready\",\"sequence\":4,"
			 "\"warmup_left_s\":0}}");
	g_string_append_printf(s, "],\"has_more\":false,\"end\":%u}",
			       config ? (unsigned)config_end : 1U);
	answer(req, 200, s->str, s->len);
	g_string_free(s, TRUE);
}

static size_t write_config_record(unsigned char *p, size_t size)
{
	static const unsigned char key[] = { 6, 'c', 'o', 'n', 'f', 'i', 'g' };
	size_t head = 4 + sizeof(key);
	int len = write_config((char *)p + head, size - head);

	memset(p, 0, 4);
	p[3] = (unsigned char)(sizeof(key) + (size_t)len);
	memcpy(p + 4, key, sizeof(key));
	return head + (size_t)len;
}

/* Answers with end and first offset and with records that have no value. */
static void answer_pending_read(struct pending_read *h)
{
	static const unsigned char record[] = { 0, 0, 0, 2, 1, 'x' };
	struct ws_server_request *req = h->req;
	unsigned char buf[512] = { 0 };
	uint64_t end = h->config ? config_end : 1;
	size_t n = 16;
	uint64_t i;

	buf[7] = (unsigned char)end;
	for (i = h->from; i < end; i++) {
		memcpy(buf + n, record, sizeof(record));
		n += sizeof(record);
	}
	h->req = NULL;
	req->user_data = NULL;
	if (h->from > end || (h->config && h->from < config_first)) {
		answer(req, 410, "{\"first\":0}", 11);
		return;
	}
	/* The newest record is a configuration, if there is one. */
	if (h->config && config_version && h->from < end) {
		n -= sizeof(record);
		n += write_config_record(buf + n, sizeof(buf) - n);
	}
	answer(req, 200, buf, n);
}

static void on_store_request(void *arg, struct ws_server_request *req)
{
	const char *from = strstr(req->uri, "&from=");
	bool config = strstr(req->uri, "keyed.op") != NULL;
	int i;

	(void)arg;
	req->user_data = NULL;
	if (strstr(req->uri, "/log-newest")) {
		snapshots += config;
		answer_snapshot(req, config,
				strstr(req->uri, "keyed.servers") != NULL);
		return;
	}
	if (!from) {
		answer(req, 200, "{\"end\":1}", 9);
		return;
	}
	store_reads += config;
	if (store_fails) {
		answer(req, 503, "", 0);
		return;
	}
	for (i = 0; pending_reads[i].req; i++)
		ck_assert_int_lt(i, PENDING_MAX - 1);
	pending_reads[i] = (struct pending_read){
		.req = req,
		.at = ws_eio_now() + store_latency,
		.from = strtoull(from + 6, NULL, 10),
		.config = config,
	};
	req->user_data = &pending_reads[i];
}

static void on_store_disconnect(void *arg, struct ws_server_request *req)
{
	struct pending_read *h = req->user_data;

	(void)arg;
	if (!h)
		return;
	cancelled += h->config;
	h->req = NULL;
}

static void on_member_request(void *arg, struct ws_server_request *req)
{
	(void)arg;
	member_reads++;
	/* As after a restart: this instance has no records. */
	answer(req, 503, "", 0);
}

static void on_member_disconnect(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static void answer_pending_reads(void *arg, ws_us now)
{
	int i;

	(void)arg;
	for (i = 0; i < PENDING_MAX; i++)
		if (pending_reads[i].req && now >= pending_reads[i].at)
			answer_pending_read(&pending_reads[i]);
}

static struct ws_server *listen_on(const char *address,
				   const struct ws_server_ops *ops)
{
	const struct ws_server_conf conf = {
		.ops = ops,
		.address = address,
		.max_connections = 50,
		.max_receiving = 100000,
		.timers = timers,
		.now = ws_eio_now,
	};
	struct ws_server *s = ws_server_new(loop, &conf);

	ck_assert_ptr_nonnull(s);
	return s;
}

static void start(void)
{
	static const struct ws_server_ops store_ops = {
		.on_request = on_store_request,
		.on_disconnect = on_store_disconnect,
	};
	static const struct ws_server_ops member_ops = {
		.on_request = on_member_request,
		.on_disconnect = on_member_disconnect,
	};
	const struct wp_settings set = {
		.name = "edge",
		.zone = "z",
		.ip = IP "1",
		.callers_address = IP "1:7100",
		.readiness_address = IP "1:7101",
		.heartbeat_address = IP "1:7110",
		.records_address = IP "1:7111",
		.store_address = IP "2:7000",
		.memory_max = (size_t)100 * 1024 * 1024,
		.max_fds = 1000,
		.cores = 1.0,
		.link_mbps = 1000.0,
		.grace_period = 6 * WS_SECOND,
	};
	struct wp_error err = { "" };

	curl_global_init(CURL_GLOBAL_NOTHING);
	loop = ev_loop_new(0);
	timers = ws_timer_new();
	config_end = 1;
	config_first = 0;
	config_version = 0;
	server_listed = false;
	zone_out = false;
	era = 1;
	snapshots = 0;
	store_latency = 5 * WS_MS;
	store = listen_on(IP "2:7000", &store_ops);
	member = listen_on(IP "3:7111", &member_ops);
	ws_timer_every(timers, ws_eio_now(), 2 * WS_MS, answer_pending_reads,
		       NULL);
	io = ws_eio_new(loop, &set, &err);
	ck_assert_msg(io != NULL, "%s", err.text);
}

static void stop(void)
{
	ws_eio_free(io);
	ws_server_free(store);
	ws_server_free(member);
	ws_timer_free(timers);
	ev_loop_destroy(loop);
}

static void run_timers(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	ws_timer_run(timers, ws_eio_now());
}

/*
 * Where other instances report the end of a topic of the store, as of its
 * current state.
 */
static uint64_t reported_end(uint64_t offset)
{
	return ws_ed_position(era, offset);
}

/*
 * Delivers heartbeats of six other instances of the zone, which report the end
 * of a topic. The first of them is the zone's relay.
 */
static void send_heartbeats(uint64_t end)
{
	static struct ws_ed_beat heartbeat;
	static ws_us stamp;
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	int i;

	for (i = 0; i < 6; i++) {
		heartbeat.from = 2 + (ws_id)i;
		heartbeat.zone = ws_ed_id("z");
		heartbeat.capacity = i ? 0 : 5;
		heartbeat.timestamp = ++stamp;
		heartbeat.store_reachable = true;
		heartbeat.topic_ends[WS_EDT_CONFIG] = reported_end(end);
		heartbeat.topic_ends[WS_EDT_SERVERS] = reported_end(1);
		/* The sender's reads are evidence for this instance as well. */
		heartbeat.echo.peer = ws_ed_id("edge");
		heartbeat.echo.incarnation = io->incarnation;
		heartbeat.echo.read_timestamps[WS_EDT_CONFIG] =
			ws_eio_now() - 100 * WS_MS;
		heartbeat.echo.read_timestamps[WS_EDT_SERVERS] =
			ws_eio_now() - 100 * WS_MS;
		if (no_evidence)
			memset(&heartbeat.echo, 0, sizeof(heartbeat.echo));
		snprintf(heartbeat.address, sizeof(heartbeat.address),
			 IP "3:7110");
		ev.u.beat = &heartbeat;
		ws_eio_handle_event(io, &ev);
	}
}

static void run_for(ws_us time, uint64_t end)
{
	ws_us until = ws_eio_now() + time;
	ws_us next = 0;
	ev_timer timer;

	ev_timer_init(&timer, run_timers, 0., 0.002);
	ev_timer_start(loop, &timer);
	while (ws_eio_now() < until) {
		ev_run(loop, EVRUN_ONCE);
		if (ws_eio_now() < next)
			continue;
		next = ws_eio_now() + 100 * WS_MS;
		send_heartbeats(end);
	}
	ev_timer_stop(loop, &timer);
}

/*
 * Guards against an instance that never receives a new configuration. The
 * instance that it asks has restarted and has no records, and each new check of
 * the topic cancelled the read of the store that was sent instead (CONFIG in
 * scale-1 of sietmeistars-gw-grown).
 */
START_TEST(read_under_way_is_not_cancelled)
{
	start();
	run_for(2500 * WS_MS, 1);
	ck_assert(ws_edge_peers(io->edge)->uses_relays);
	ck_assert(!ws_edge_peers(io->edge)->reads_store);
	store_reads = 0;
	cancelled = 0;
	member_reads = 0;
	config_end = 4;
	store_latency = 180 * WS_MS;
	run_for(700 * WS_MS, 4);
	ck_assert_uint_eq(ws_edge_topic_end(io->edge, WS_EDT_CONFIG),
			  reported_end(4));
	ck_assert_int_eq(cancelled, 0);
	ck_assert_int_le(store_reads, 2);
	stop();
}
END_TEST

/*
 * Guards against a configuration that is never received since each read of it
 * ends before the answer has come through a full link (CONFIG on
 * adcr-wire-grown).
 */
START_TEST(read_through_a_full_link_is_waited_for)
{
	start();
	run_for(2500 * WS_MS, 1);
	config_end = 4;
	store_latency = 800 * WS_MS;
	run_for(1500 * WS_MS, 4);
	ck_assert_uint_eq(ws_edge_topic_end(io->edge, WS_EDT_CONFIG),
			  reported_end(4));
	stop();
}
END_TEST

/* Guards against overloading a relay by repeated calls of other instances. */
START_TEST(member_without_records_is_not_asked_again_at_once)
{
	start();
	run_for(2500 * WS_MS, 1);
	member_reads = 0;
	/* The store does not have the reported records either. */
	run_for(900 * WS_MS, 4);
	ck_assert_int_ge(member_reads, 1);
	ck_assert_int_le(member_reads, 2);
	stop();
}
END_TEST

/*
 * Guards against hundreds of instances that make an outage of the store worse
 * by their retries: 295 instances each made a refused call within 0.8 s, 3,000
 * calls in 4.5 s (large deployment, trouble-3).
 */
START_TEST(outage_is_left_to_the_relay)
{
	start();
	run_for(2500 * WS_MS, 1);
	ck_assert(!ws_edge_peers(io->edge)->reads_store);
	store_fails = true;
	no_evidence = true;
	run_for(3 * WS_SECOND, 1);
	store_reads = 0;
	run_for(4 * WS_SECOND, 1);
	ck_assert_int_ge(store_reads, 1);
	/* Retries follow after 1 s, 2 s and then every 4 s. */
	ck_assert_int_le(store_reads, 3);
	store_fails = false;
	no_evidence = false;
	stop();
}
END_TEST

static uint64_t version_in_force(void)
{
	const struct ws_ed_conf *c = ws_edge_conf(io->edge);

	return c ? c->version : 0;
}

/*
 * Guards against a configuration that never comes into force: the store was
 * restored from a copy, so that its topic ends before the offset that this
 * instance has read up to (recorded day "restored").
 */
START_TEST(change_after_a_restore_is_read)
{
	start();
	config_end = 4;
	config_version = 14;
	run_for(2500 * WS_MS, 4);
	ck_assert(!ws_edge_peers(io->edge)->reads_store);
	ck_assert_uint_eq(version_in_force(), 14);
	/* The copy lacks two changes; the newest one is written again. */
	era = 2;
	config_end = 2;
	run_for(1500 * WS_MS, 2);
	ck_assert_uint_eq(version_in_force(), 14);
	config_end = 3;
	config_version = 17;
	run_for(1 * WS_SECOND, 3);
	ck_assert_uint_eq(version_in_force(), 17);
	stop();
}
END_TEST

/*
 * Guards against an instance that reads from an expired offset for ever, and
 * never has a newer configuration.
 */
START_TEST(change_beyond_expired_records_is_read)
{
	start();
	config_end = 4;
	config_version = 14;
	run_for(2500 * WS_MS, 4);
	ck_assert_uint_eq(version_in_force(), 14);
	config_first = 10;
	config_end = 12;
	config_version = 17;
	run_for(1500 * WS_MS, 12);
	ck_assert_uint_eq(version_in_force(), 17);
	stop();
}
END_TEST

static bool knows_server(void)
{
	const struct ws_ed_pool *p = ws_edge_pool(io->edge);
	int32_t h = ws_ed_pool_find(p, ws_ed_id("i-1"));

	return h >= 0 && p->servers[h].listed;
}

static bool knows_zone_out(void)
{
	return ws_ed_pool_zone_out(ws_edge_pool(io->edge), ws_ed_id("far"));
}

/*
 * Guards against a server that is given up, and a zone out of service that is
 * used again, because a restored store lacks records that are written again.
 */
START_TEST(gaps_of_a_restored_copy_are_not_applied_at_once)
{
	start();
	server_listed = true;
	zone_out = true;
	run_for(2500 * WS_MS, 1);
	ck_assert(knows_server());
	ck_assert(knows_zone_out());
	era = 2;
	server_listed = false;
	zone_out = false;
	config_end = 0;
	run_for(1000 * WS_MS, 1);
	ck_assert(knows_server());
	ck_assert(knows_zone_out());
	/* What is still missing later is gone. */
	run_for(3 * WS_SECOND, 1);
	ck_assert(!knows_server());
	ck_assert(!knows_zone_out());
	/* And what an old copy still names has left. */
	era = 3;
	server_listed = true;
	zone_out = true;
	run_for(1000 * WS_MS, 1);
	ck_assert(!knows_server());
	ck_assert(!knows_zone_out());
	run_for(2500 * WS_MS, 1);
	ck_assert(!knows_server());
	ck_assert(knows_zone_out());
	stop();
}
END_TEST

/*
 * Guards against odd entries that end the process that reads the list, or keep
 * it from following the others (reported by other operators).
 */
START_TEST(odd_entries_leave_the_others_alone)
{
	start();
	server_listed = true;
	odd_entries = true;
	run_for(2500 * WS_MS, 1);
	ck_assert(knows_server());
	ck_assert_uint_eq(ws_edge_pool(io->edge)->n, 1);
	stop();
	odd_entries = false;
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		read_under_way_is_not_cancelled,
		read_through_a_full_link_is_waited_for,
		member_without_records_is_not_asked_again_at_once,
		outage_is_left_to_the_relay,
		change_after_a_restore_is_read,
		change_beyond_expired_records_is_read,
		gaps_of_a_restored_copy_are_not_applied_at_once,
		odd_entries_leave_the_others_alone,
	};

	return ed_suite_run("eio_store", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
