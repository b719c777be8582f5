#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/ws_payload.h"
#include "soak.h"

/* Callers of all instances, over persistent connections. */

#define PORT 7100
#define DEADLINE (2 * WS_SECOND)
/* Of a few requests that take seconds. */
#define LONG_DEADLINE (9 * WS_SECOND)
#define REQUESTS_PER_LONG_ONE 60
/* After this time a process has read a request that was sent to it. */
#define READ_MAX (500 * WS_MS)
#define SECONDS_MAX 4000
#define CUSTOMERS 4
/* An instance still answers requests sent before or soon after SIGTERM. */
#define TERM_TAKES (3 * WS_SECOND)

struct call {
	struct ws_http_call *http;
	struct curl_slist *headers;
	char id[40];
	char url[160];
	int instance;
	bool at_most_once;
	bool keyed;
	bool takes_long;
	ws_us sent;
};

static struct {
	unsigned sent_count;
	unsigned served_count;
} per_second[2][SECONDS_MAX]; /* [1]: requests with a shard key */
/* 2xx, 4xx, 5xx, not sent, timed out, connection broken */
static unsigned by_outcome[6];
static GHashTable *open_calls;
static uint64_t next_id;
static double requests_due;
static int timer;

static void add_header(struct call *c, const char *format, const char *value)
{
	char line[120];

	snprintf(line, sizeof(line), format, value);
	c->headers = curl_slist_append(c->headers, line);
}

static int second_index(ws_us t)
{
	int s = (int)((t - soak.started) / WS_SECOND);

	return s < 0 || s >= SECONDS_MAX ? SECONDS_MAX - 1 : s;
}

/* Checks that an answer is complete, from a server and to this request. */
static void check_answer(const struct call *c, const struct ws_body *b)
{
	char wanted[256];
	const char *path = strchr(c->url + 7, '/');
	int n = snprintf(wanted, sizeof(wanted), "%s %s", c->id, path);

	if (b->data_len != (size_t)n ||
	    memcmp(b->data, wanted, (size_t)n) != 0 ||
	    !ws_body_header(b, "Wagtailshift-Server-Seal"))
		soak_violation("MIXED", "%s got %.*s", c->id, (int)b->data_len,
			       (const char *)b->data);
	if (!soak_check_has_run(c->id))
		soak_violation("MIXED", "%s was answered but has not run",
			       c->id);
}

static void count_outcome(struct call *c, const struct ws_http_result *res)
{
	int status = res->answer.status;
	int kind;

	if (res->outcome != WS_HTTP_DONE)
		kind = 1 + (int)res->outcome;
	else
		kind = status < 300 ? 0 : status < 500 ? 1 : 2;
	by_outcome[kind]++;
	/* Faults may end a server while it runs one that takes seconds. */
	if (!c->takes_long) {
		per_second[c->keyed][second_index(c->sent)].sent_count++;
		per_second[c->keyed][second_index(c->sent)].served_count +=
			!kind;
	}
	if (soak.opt.verbose && kind)
		soak_log("caller %s at %d: end %d status %d", c->id,
			 c->instance, res->outcome, status);
}

static void on_done(void *arg, const struct ws_http_result *res)
{
	struct call *c = arg;
	int status = res->outcome == WS_HTTP_DONE ? res->answer.status : 0;

	count_outcome(c, res);
	if (status)
		soak_stated_passed_on(c->instance,
				      ws_body_header(&res->answer,
						     SOAK_START_HEADER));
	if (status >= 200 && status < 300)
		check_answer(c, &res->answer);
	else if (status == 429 || status == 503 || status == 408 ||
		 status == 421)
		soak_check_not_run(c->id, status);
	else if (status == 400 || status == 404)
		soak_violation("DENIED", "%s was answered %d", c->id, status);
	/* Without faults, the answer of a request that ran must not be lost. */
	if (res->outcome == WS_HTTP_BROKEN && soak_check_has_run(c->id) &&
	    soak_process_undisturbed_since(c->instance) &&
	    c->sent > soak_process_undisturbed_since(c->instance) &&
	    soak_is_quiet(soak_now() - c->sent))
		soak_violation("LOST", "%s ran, and its connection to %d ended",
			       c->id, c->instance);
	/* A process that is asked to stop answers what it has read. */
	if (res->outcome == WS_HTTP_BROKEN &&
	    soak_process_stops_cleanly(c->instance) &&
	    soak_now() - c->sent > READ_MAX)
		soak_violation("LOST",
			       "%s got no answer from %d, which was asked to "
			       "stop, in %.1f s",
			       c->id, c->instance,
			       (double)(soak_now() - c->sent) / 1e6);
	g_hash_table_remove(open_calls, c);
	curl_slist_free_all(c->headers);
	free(c);
}

static void send_request(void)
{
	struct call *c = calloc(1, sizeof(*c));
	unsigned kind = (unsigned)ws_rand_below(&soak.rand, 10);
	unsigned customer = (unsigned)ws_rand_below(&soak.rand, CUSTOMERS);
	static const char body[] = "{\"n\":1}";
	char text[24];
	struct ws_http_request req = {
		.url = c->url,
		.method = "GET",
		.timeout = DEADLINE + WS_SECOND,
		.max_answer = 65536,
		.done = on_done,
		.arg = c,
	};

	c->instance =
		(int)ws_rand_below(&soak.rand, (uint64_t)soak.opt.instances);
	c->at_most_once = kind < 3;
	c->keyed = !c->at_most_once && kind < 6;
	/* Not drawn, so that the draws of a seed stay what they were. */
	c->takes_long =
		!c->at_most_once && !c->keyed &&
		ws_mix(soak.opt.seed, next_id) % REQUESTS_PER_LONG_ONE == 0;
	if (c->takes_long)
		req.timeout = LONG_DEADLINE + WS_SECOND;
	c->sent = soak_now();
	/* First letter, for soak_check.c: o, at most once; r, repeatable. */
	snprintf(c->id, sizeof(c->id), "%c%llu-%llu",
		 c->at_most_once ? 'o' : 'r', (unsigned long long)soak.opt.seed,
		 (unsigned long long)++next_id);
	snprintf(c->url, sizeof(c->url), "http://%s.%d:%d/%s/%llu?a=%%20b",
		 soak.net, 10 + c->instance, PORT,
		 c->at_most_once ? "order" :
		 c->keyed	 ? "cal" :
		 c->takes_long	 ? "long" :
				   "stock",
		 (unsigned long long)next_id);
	add_header(c, "Wagtailshift-Request-Id: %s", c->id);
	add_header(c, "Wagtailshift-Deadline-Ms: %s",
		   c->takes_long ? "9000" : "2000");
	snprintf(text, sizeof(text), "key-c%u", customer);
	add_header(c, "Api-Key: %s", text);
	if (c->keyed) {
		snprintf(text, sizeof(text), "%u",
			 (unsigned)ws_rand_below(&soak.rand, SOAK_KEY_SPACE));
		add_header(c, "Wagtailshift-Shard-Key: %s", text);
	}
	if (c->at_most_once) {
		req.method = "POST";
		req.data = body;
		req.data_len = sizeof(body) - 1;
	}
	req.headers = c->headers;
	snprintf(text, sizeof(text), "c%u", customer);
	soak_check_sent(c->id, text, c->instance);
	g_hash_table_add(open_calls, c);
	c->http = ws_http_start(soak.http, &req);
}

static void tick(void *arg, ws_us now)
{
	(void)arg;
	(void)now;
	requests_due += soak.opt.requests_per_s * 0.01;
	while (requests_due >= 1.0) {
		requests_due -= 1.0;
		send_request();
	}
}

static int served_percent(bool keyed, int first)
{
	unsigned sent_count = 0;
	unsigned served_count = 0;
	int i;

	for (i = first; i < first + SOAK_JUDGED_SECONDS; i++) {
		sent_count += per_second[keyed][i].sent_count;
		served_count += per_second[keyed][i].served_count;
	}
	return sent_count ? (int)(100 * served_count / sent_count) : 0;
}

int soak_callers_served(bool keyed, ws_us since)
{
	int end = second_index(soak_now() - SOAK_PENDING_MAX);
	int first = second_index(since) + 1;
	int worst = served_percent(keyed, first);

	while (++first + SOAK_JUDGED_SECONDS <= end) {
		int percent = served_percent(keyed, first);

		worst = percent < worst ? percent : worst;
	}
	return worst;
}

int soak_callers_recovery(bool keyed, ws_us since)
{
	int first = second_index(since) + 1;
	int i = second_index(soak_now() - SOAK_PENDING_MAX) - 1;

	while (i >= first && per_second[keyed][i].served_count * 100 >=
				     per_second[keyed][i].sent_count * 95)
		i--;
	return i + 1 - first;
}

void soak_callers_print(void)
{
	printf("callers: %u 2xx, %u 4xx, %u 5xx, %u not sent, %u timed out, "
	       "%u broken\n",
	       by_outcome[0], by_outcome[1], by_outcome[2], by_outcome[3],
	       by_outcome[4], by_outcome[5]);
}

void soak_callers_start(void)
{
	open_calls = g_hash_table_new(NULL, NULL);
	timer = ws_timer_every(soak.timers, soak_now(), 10 * WS_MS, tick, NULL);
}

void soak_callers_stop(void)
{
	GList *all = g_hash_table_get_keys(open_calls);
	GList *i;

	ws_timer_cancel(soak.timers, timer);
	for (i = all; i; i = i->next) {
		struct call *c = i->data;

		ws_http_cancel(c->http);
		curl_slist_free_all(c->headers);
		free(c);
	}
	g_list_free(all);
	g_hash_table_destroy(open_calls);
}
