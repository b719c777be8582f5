#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/ws_payload.h"
#include "soak.h"

/*
 * Simulated servers, half of an unsharded service and half of a service that is
 * sharded by key. Each runs one request per slot, queues some more, and reports
 * its load with each answer.
 */

#define PORT 8000
#define SLOTS 4
#define QUEUE 16
#define HEARTBEAT (800 * WS_MS)
#define ENTRY_TTL (3 * HEARTBEAT)
#define DRAIN_TIME (3 * WS_SECOND)

struct server;

struct job {
	struct job *next;
	struct server *server;
	struct ws_server_request *req; /* NULL: the caller has disconnected */
	char id[64];
	ws_us end; /* when it completes; 0: waits for a slot */
	uint32_t key;
	bool keyed;
};

struct server {
	int i;
	char name[32];
	char zone[8];
	bool sharded;
	struct ws_server *http; /* NULL: down */
	struct soak_proxy *proxy;
	struct job *jobs; /* oldest first */
	int running;
	int64_t started_ms;
	int sequence;
	bool draining;
	bool listed;
	bool sheds;
	bool states_leaving; /* in all its answers */
	bool keeps_entry; /* does not remove it when it stops */
	ws_us entry_gone_at; /* 0: it stays */
	ws_us entry_back_at; /* 0: it is not written again */
	ws_us rejects_until;
	enum soak_retry_after retry_after;
	unsigned reject_percent;
	ws_us restart_after_reject; /* pause of the restart; 0: none */
	int slowdown; /* factor of run times; 0: none */
	double limit; /* requests/s that it states; 0: none */
	ws_us down_at; /* draining: when it will stop; down: when it stopped */
	ws_us restart_at;
	ws_us next_beat;
	struct ws_server_request *release; /* to answer after running jobs */
	/* By key, for sharded servers */
	ws_us *held_until;
	uint64_t *fence;
};

static struct server servers[SOAK_SERVERS_MAX];
static int timer;

static const char *header(const struct ws_server_request *req, const char *name)
{
	const struct ws_body b = {
		.headers = req->headers.text,
		.headers_len = req->headers.len,
	};

	return ws_body_header(&b, name);
}

/* ===== Server entries in the store ===== */

static void publish_entry(struct server *s)
{
	char text[400];
	char address[64];

	snprintf(address, sizeof(address), "%s.%d:%d", soak.net, 200 + s->i,
		 PORT);
	snprintf(text, sizeof(text),
		 "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
		 "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
		 "\"status\":{\"state\":\"%s\",\"sequence\":%d,"
		 "\"warmup_left_s\":0}}",
		 address, (long long)s->started_ms,
		 s->sharded ? "cal" : "stock", s->zone, SLOTS,
		 s->draining ? "draining" : "ready", ++s->sequence);
	soak_store_write("keyed.servers", s->name, text);
	s->listed = true;
}

static void remove_entry(struct server *s)
{
	if (!s->listed)
		return;
	s->listed = false;
	soak_store_write("keyed.servers", s->name, "");
	soak_check_server_leaving(s->name);
}

/* ===== Answers ===== */

struct extra {
	const char *handover;
	const char *retry_after;
};

static void answer(struct server *s, struct ws_server_request *req,
		   unsigned status, const char *id, bool not_run,
		   const struct extra *x)
{
	struct ws_headers h = { NULL, 0, 0 };
	char text[512];
	char start[48];
	char load[32];
	char limit[32];
	int waiting = 0;
	const struct job *w;
	struct ws_server_answer a = { .status = status, .data = text };

	for (w = s->jobs; w; w = w->next)
		waiting += !w->end;
	snprintf(load, sizeof(load), "%d,%d,%d,100", s->running, waiting,
		 SLOTS);
	if (id)
		ws_headers_add(&h, "Wagtailshift-Request-Id", 23, id,
			       strlen(id));
	if (status == 200)
		ws_headers_add(&h, "Wagtailshift-Server-Seal", 24, "seal", 4);
	if (not_run)
		ws_headers_add(&h, "Wagtailshift-Not-Executed", 25, "1", 1);
	if (x && x->handover)
		ws_headers_add(&h, "Wagtailshift-Handover", 21, x->handover,
			       strlen(x->handover));
	if (x && x->retry_after)
		ws_headers_add(&h, "Retry-After", 11, x->retry_after,
			       strlen(x->retry_after));
	if (s->states_leaving)
		ws_headers_add(&h, "Server-Leaving", 14, "1", 1);
	soak_stated_format_start(s->i, s->started_ms, s->states_leaving, start,
				 sizeof(start));
	ws_headers_add(&h, SOAK_START_HEADER, strlen(SOAK_START_HEADER), start,
		       strlen(start));
	ws_headers_add(&h, "Wagtailshift-Server-Load", 24, load, strlen(load));
	if (s->limit > 0.0) {
		snprintf(limit, sizeof(limit), "%.1f", s->limit);
		ws_headers_add(&h, "Server-Limit", 12, limit, strlen(limit));
	}
	a.data_len = (size_t)snprintf(text, sizeof(text), "%s %s", id ? id : "",
				      req->uri);
	a.headers = h.text;
	a.headers_len = h.len;
	ws_server_answer(req, &a);
	ws_headers_free(&h);
}

/* ===== Key leases ===== */

static bool holds_key(const struct server *s, uint32_t key)
{
	return s->http && s->held_until[key] > soak_now();
}

static bool is_running_keys(const struct server *s, uint32_t from, uint32_t to)
{
	const struct job *w;

	for (w = s->jobs; w; w = w->next)
		if (w->keyed && w->end && w->key >= from && w->key <= to)
			return true;
	return false;
}

static void grant(struct server *s, struct ws_server_request *req,
		  const json_t *o, uint32_t from, uint32_t to)
{
	uint64_t fence =
		(uint64_t)json_integer_value(json_object_get(o, "fence"));
	double hold = json_number_value(json_object_get(o, "hold_s"));
	uint32_t key;

	for (key = from; key <= to; key++)
		if (s->fence[key] > fence) {
			answer(s, req, 409, NULL, false, NULL);
			return;
		}
	for (key = from; key <= to; key++) {
		s->fence[key] = fence;
		s->held_until[key] = soak_now() + (ws_us)(hold * 1e6);
	}
	answer(s, req, 200, NULL, false, NULL);
}

static void finish_release(struct server *s)
{
	struct ws_server_request *req = s->release;

	s->release = NULL;
	req->user_data = NULL;
	answer(s, req, 200, NULL, false,
	       &(struct extra){ .handover = "token" });
}

static void release(struct server *s, struct ws_server_request *req,
		    uint32_t from, uint32_t to)
{
	uint32_t key;

	for (key = from; key <= to; key++)
		s->held_until[key] = 0;
	if (s->release || !is_running_keys(s, from, to)) {
		answer(s, req, 200, NULL, false,
		       &(struct extra){ .handover = "token" });
		return;
	}
	/* Answered when no request runs any more, see step(). */
	s->release = req;
	req->user_data = &s->release;
}

static void on_key_request(struct server *s, struct ws_server_request *req)
{
	json_t *o = json_loadb(req->body, req->body_len, 0, NULL);
	uint32_t from =
		(uint32_t)json_integer_value(json_object_get(o, "from"));
	uint32_t to = (uint32_t)json_integer_value(json_object_get(o, "to"));

	if (!s->sharded || to >= SOAK_KEY_SPACE)
		answer(s, req, 400, NULL, false, NULL);
	else if (!strcmp(req->uri, "/grant"))
		grant(s, req, o, from, to);
	else
		release(s, req, from, to);
	json_decref(o);
}

/* ===== Jobs ===== */

static ws_us run_time(const struct server *s,
		      const struct ws_server_request *req)
{
	if (!strncmp(req->uri, SOAK_LONG_PATH, strlen(SOAK_LONG_PATH)))
		return soak_random_between(1 * WS_SECOND, 8 * WS_SECOND);
	return soak_random_between(10 * WS_MS, 60 * WS_MS) *
	       (s->slowdown ? s->slowdown : 1);
}

static void start_jobs(struct server *s)
{
	struct job *w;

	for (w = s->jobs; w && s->running < SLOTS; w = w->next) {
		const char *customer;

		if (w->end || !w->req)
			continue;
		customer = header(w->req, "Wagtailshift-Tenant");
		soak_check_run(w->id, s->name,
			       strcmp(w->req->method, "GET") != 0,
			       customer ? customer : "", w->req->uri);
		w->end = soak_now() + run_time(s, w->req);
		s->running++;
	}
}

static void finish_job(struct server *s, struct job *w)
{
	struct job **at = &s->jobs;

	while (*at != w)
		at = &(*at)->next;
	*at = w->next;
	s->running -= w->end != 0;
	if (w->req) {
		w->req->user_data = NULL;
		answer(s, w->req, 200, w->id, false, NULL);
	}
	free(w);
}

static void reject(struct server *s, struct ws_server_request *req,
		   const char *id)
{
	char text[48];
	ws_us time = soak_stated_format_retry_after(s->retry_after, text,
						    sizeof(text));

	/* The id is freed with the request when that is answered. */
	soak_stated_rejected(s->i, id, time);
	answer(s, req, 503, id, true, &(struct extra){ .retry_after = text });
}

/*
 * Returns the status of a request that is not taken, without an answer to it;
 * 0: it is taken.
 */
static unsigned refusal(const struct server *s,
			const struct ws_server_request *req, uint32_t key)
{
	const char *target = header(req, "Wagtailshift-Target-Instance");
	int n = 0;
	const struct job *w;

	for (w = s->jobs; w; w = w->next)
		n++;
	if ((target && strcmp(target, s->name) != 0) ||
	    (s->sharded && !holds_key(s, key)))
		return 421;
	if (n >= SLOTS + QUEUE || (s->sheds && soak_chance(50)))
		return 503;
	return 0;
}

static bool refuse_request(struct server *s, struct ws_server_request *req,
			   const char *id, uint32_t key)
{
	unsigned status = refusal(s, req, key);

	soak_stated_request(s->i, s->started_ms, id, status == 421);
	if (status != 421 && soak_now() < s->rejects_until &&
	    soak_chance(s->reject_percent)) {
		reject(s, req, id);
		return true;
	}
	if (status)
		answer(s, req, status, id, true, NULL);
	return status != 0;
}

static void on_request(void *arg, struct ws_server_request *req)
{
	struct server *s = arg;
	const char *id = header(req, "Wagtailshift-Request-Id");
	const char *key = header(req, "Wagtailshift-Shard-Key");
	uint32_t number = key ? (uint32_t)strtoul(key, NULL, 10) : 0;
	struct job **at = &s->jobs;
	struct job *w;

	req->user_data = NULL;
	if (!strcmp(req->uri, "/grant") || !strcmp(req->uri, "/release")) {
		on_key_request(s, req);
		return;
	}
	soak_check_request_arrived(s->name, s->zone);
	if (s->limit > 0.0)
		soak_check_limited_request(s->i);
	if (!id || header(req, "Api-Key"))
		soak_violation("UNASKED",
			       "%s got a request without id or with an API key",
			       s->name);
	if (refuse_request(s, req, id, number))
		return;
	w = calloc(1, sizeof(*w));
	w->server = s;
	w->req = req;
	w->key = number;
	w->keyed = s->sharded;
	g_strlcpy(w->id, id ? id : "", sizeof(w->id));
	req->user_data = w;
	while (*at)
		at = &(*at)->next;
	*at = w;
	start_jobs(s);
}

/* A running job continues to its end; a waiting one is dropped. */
static void on_caller_gone(void *arg, struct ws_server_request *req)
{
	struct server *s = arg;
	struct job *w = req->user_data;

	if (s->release == req) {
		s->release = NULL;
	} else if (w) {
		w->req = NULL;
		if (!w->end)
			finish_job(s, w);
	}
}

/* ===== Start and stop ===== */

static void start_server(struct server *s)
{
	static const struct ws_server_ops ops = {
		.on_request = on_request,
		.on_disconnect = on_caller_gone,
	};
	char address[64];
	struct ws_server_conf conf = {
		.ops = &ops,
		.arg = s,
		.address = address,
		.max_connections = 400,
		.max_receiving = (size_t)1024 * 1024,
		.timers = soak.timers,
		.now = soak_now,
	};

	snprintf(address, sizeof(address), "%s.%d:%d", soak.net, 150 + s->i,
		 PORT);
	s->http = ws_server_new(soak.loop, &conf);
	if (!s->http) {
		fprintf(stderr, "soak: cannot listen on %s\n", address);
		exit(2);
	}
	s->started_ms = soak_now() / WS_MS;
	s->sequence = 0;
	s->draining = false;
	s->states_leaving = false;
	s->entry_gone_at = 0;
	s->entry_back_at = 0;
	s->rejects_until = 0;
	s->restart_after_reject = 0;
	/* A restarted server has lost its leases and fences. */
	memset(s->held_until, 0, SOAK_KEY_SPACE * sizeof(*s->held_until));
	memset(s->fence, 0, SOAK_KEY_SPACE * sizeof(*s->fence));
	soak_check_server_up(s->name);
	soak_stated_started(s->i, s->started_ms);
	publish_entry(s);
}

static void stop_server(struct server *s, ws_us now)
{
	ws_server_free(s->http);
	s->http = NULL;
	while (s->jobs) {
		struct job *w = s->jobs;

		s->jobs = w->next;
		free(w);
	}
	s->running = 0;
	s->down_at = now;
}

/* Removes the entry of a server that still runs, and writes it again. */
static void step_entry(struct server *s, ws_us now)
{
	if (s->entry_gone_at && now >= s->entry_gone_at) {
		s->entry_gone_at = 0;
		remove_entry(s);
	}
	if (!s->entry_gone_at && s->entry_back_at && now >= s->entry_back_at &&
	    !soak_store_is_down()) {
		s->entry_back_at = 0;
		soak_check_server_up(s->name);
		publish_entry(s);
	}
}

static void step(struct server *s, ws_us now)
{
	struct job *w = s->jobs;

	if (!s->http) {
		if (s->listed && now - s->down_at > ENTRY_TTL)
			remove_entry(s);
		if (now >= s->restart_at)
			start_server(s);
		return;
	}
	while (w) {
		struct job *next = w->next;

		if (w->end && now >= w->end)
			finish_job(s, w);
		w = next;
	}
	start_jobs(s);
	if (s->release && !is_running_keys(s, 0, SOAK_KEY_SPACE - 1))
		finish_release(s);
	step_entry(s, now);
	if ((s->draining || s->states_leaving) && now >= s->down_at) {
		if (!s->keeps_entry)
			remove_entry(s);
		stop_server(s, now);
	} else if (s->restart_after_reject && now >= s->rejects_until) {
		s->restart_at = now + s->restart_after_reject;
		stop_server(s, now);
	}
}

static void tick(void *arg, ws_us now)
{
	int i;
	uint32_t p;

	(void)arg;
	for (i = 0; i < soak.opt.servers; i++) {
		struct server *s = &servers[i];
		bool keys[SOAK_WATCHED_KEYS];

		step(s, now);
		for (p = 0; p < SOAK_WATCHED_KEYS; p++)
			keys[p] = s->sharded &&
				  holds_key(s, p * (SOAK_KEY_SPACE /
						    SOAK_WATCHED_KEYS));
		soak_check_held_keys(i, keys);
	}
}

void soak_server_crash(int i, ws_us down_time)
{
	struct server *s = &servers[i];

	if (!s->http)
		return;
	s->restart_at = soak_now() + down_time;
	stop_server(s, soak_now());
}

void soak_server_drain(int i, ws_us down_time)
{
	struct server *s = &servers[i];

	if (!s->http || s->draining)
		return;
	s->draining = true;
	s->states_leaving = s->states_leaving || soak_chance(50);
	s->keeps_entry = false;
	s->entry_gone_at = 0;
	s->entry_back_at = 0;
	s->down_at = soak_now() + DRAIN_TIME;
	s->restart_at = s->down_at + down_time;
	publish_entry(s);
	soak_check_server_leaving(s->name);
}

bool soak_server_leave(int i, const struct soak_leave *l)
{
	struct server *s = &servers[i];
	ws_us now = soak_now();

	if (!s->http || s->draining || s->states_leaving)
		return false;
	s->states_leaving = true;
	s->keeps_entry = l->keeps_entry;
	s->down_at = now + l->serves;
	s->restart_at = s->down_at + l->down;
	s->entry_gone_at = l->entry_gone ? now + l->entry_gone : 0;
	s->entry_back_at = l->entry_back ? now + l->entry_back : 0;
	return true;
}

bool soak_server_reject(int i, const struct soak_reject *r)
{
	struct server *s = &servers[i];

	if (!s->http || soak_now() < s->rejects_until)
		return false;
	s->rejects_until = soak_now() + r->time;
	s->retry_after = r->retry_after;
	s->reject_percent = r->percent;
	s->restart_after_reject = r->restart;
	return true;
}

static bool is_calm(const struct server *s)
{
	return s->http && !s->draining && !s->states_leaving &&
	       soak_now() >= s->rejects_until;
}

bool soak_servers_are_calm(void)
{
	int i;

	for (i = 0; i < soak.opt.servers; i++)
		if (!is_calm(&servers[i]))
			return false;
	return true;
}

bool soak_server_lacks_keys(int i)
{
	const struct server *s = &servers[i];
	uint32_t key;

	for (key = 0; s->sharded && key < SOAK_KEY_SPACE; key++)
		if (holds_key(s, key))
			return false;
	return s->sharded;
}

int soak_servers_free(bool sharded)
{
	int i;
	int n = 0;

	for (i = 0; i < soak.opt.servers; i++) {
		const struct server *s = &servers[i];

		n += is_calm(s) && s->sharded == sharded && s->listed &&
		     !s->sheds && !s->slowdown && s->limit <= 0.0;
	}
	return n;
}

void soak_server_shed(int i, bool on)
{
	servers[i].sheds = on;
}

void soak_server_limit(int i, double per_s)
{
	servers[i].limit = per_s > 0.0 ? per_s : 0.0;
	soak_check_limit(i, per_s);
}

void soak_server_slow(int i, int factor)
{
	servers[i].slowdown = factor;
}

struct soak_proxy *soak_server_proxy(int i)
{
	return servers[i].proxy;
}

void soak_servers_start(void)
{
	int i;

	for (i = 0; i < soak.opt.servers; i++) {
		struct server *s = &servers[i];
		char from[64];
		char to[64];

		s->i = i;
		s->sharded = i % 2;
		s->held_until = calloc(SOAK_KEY_SPACE, sizeof(*s->held_until));
		s->fence = calloc(SOAK_KEY_SPACE, sizeof(*s->fence));
		snprintf(s->name, sizeof(s->name), "s%d", i);
		snprintf(s->zone, sizeof(s->zone), "z%d", i / 2 % 3);
		snprintf(from, sizeof(from), "%s.%d:%d", soak.net, 200 + i,
			 PORT);
		snprintf(to, sizeof(to), "%s.%d:%d", soak.net, 150 + i, PORT);
		s->proxy = soak_proxy_new(from, to);
		start_server(s);
	}
	timer = ws_timer_every(soak.timers, soak_now(), 5 * WS_MS, tick, NULL);
}

void soak_servers_stop(void)
{
	int i;

	ws_timer_cancel(soak.timers, timer);
	for (i = 0; i < soak.opt.servers; i++) {
		if (servers[i].http)
			stop_server(&servers[i], soak_now());
		soak_proxy_free(servers[i].proxy);
		free(servers[i].held_until);
		free(servers[i].fence);
	}
}
