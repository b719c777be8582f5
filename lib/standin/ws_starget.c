#include "standin/ws_starget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ===== Journal ===== */

static json_t *base_line(const struct ws_starget *t, const char *event,
			 uint64_t incarnation)
{
	json_t *o = json_object();

	json_object_set_new(o, "event", json_string(event));
	json_object_set_new(o, "target", json_string(t->conf.name.text));
	json_object_set_new(o, "service", json_string(t->conf.service.text));
	json_object_set_new(o, "zone", json_string(t->conf.zone.text));
	ws_json_set_hex(o, "incarnation", incarnation);
	return o;
}

static void set_int(json_t *o, const char *field, int64_t value)
{
	json_object_set_new(o, field, json_integer(value));
}

static void set_text(json_t *o, const char *field, const char *value)
{
	json_t *v = json_string(value);

	json_object_set_new(o, field, v ? v : json_string("(not UTF-8)"));
}

static bool is_idempotent(const struct ws_starget *t,
			  const struct ws_starget_req *req)
{
	return t->conf.idempotent || strcmp(req->method, "GET") == 0 ||
	       strcmp(req->method, "HEAD") == 0;
}

static void describe_request(json_t *o, const struct ws_starget *t,
			     const struct ws_starget_req *req)
{
	set_text(o, "request", req->request);
	set_text(o, "idempotency_key", req->idempotency_key);
	set_text(o, "customer", req->customer);
	set_text(o, "key", req->key);
	set_text(o, "method", req->method);
	set_text(o, "path", req->path);
	ws_json_set_hex(o, "body", req->body_hash);
	json_object_set_new(o, "idempotent",
			    json_boolean(is_idempotent(t, req)));
	json_object_set_new(o, "authorization",
			    json_boolean(req->has_authorization));
	set_int(o, "fence", (int64_t)req->fence);
	if (req->has_hot_key)
		ws_json_set_hex(o, "hot_key", req->hot_key);
	else if (req->shard >= 0)
		set_int(o, "shard", req->shard);
}

static void journal_request(struct ws_starget *t, ws_us now, const char *event,
			    const char *reason,
			    const struct ws_starget_req *req)
{
	json_t *o = base_line(t, event, req->incarnation);
	bool frozen = t->frozen_since && t->frozen_since >= req->start;

	describe_request(o, t, req);
	set_int(o, "start_us", req->start);
	set_int(o, "end_us", now);
	set_int(o, "concurrency", req->concurrency);
	set_int(o, "limit", req->limit);
	json_object_set_new(o, "cold", json_boolean(req->cold));
	json_object_set_new(o, "frozen", json_boolean(frozen));
	set_int(o, "leaving_us", req->leaving_for);
	if (reason)
		set_text(o, "reason", reason);
	t->journal(t->journal_arg, o);
}

void ws_starget_journal_event(struct ws_starget *t, ws_us now,
			      const char *event)
{
	json_t *o = base_line(t, event, t->incarnation);

	set_int(o, "start_us", now);
	t->journal(t->journal_arg, o);
}

/* ===== Life ===== */

static void turn_cold(struct ws_starget *t)
{
	t->cold = true;
	t->successes = 0;
}

static void start_incarnation(struct ws_starget *t, ws_us now)
{
	t->incarnation = ws_mix(t->incarnation, (uint64_t)now);
	if (!t->incarnation)
		t->incarnation = 1;
	free(t->items);
	t->items = NULL;
	t->n_items = 0;
	t->as_of = 0;
	t->not_after = 0;
	t->in_flight = 0;
	t->collapsed_until = 0;
	t->cold = false;
	if (t->conf.cold_start)
		turn_cold(t);
	ws_starget_journal_event(t, now, "start");
}

struct ws_starget *ws_starget_new(const struct ws_starget_conf *conf,
				  uint64_t seed, ws_us now,
				  ws_starget_journal_fn journal, void *arg)
{
	struct ws_starget *t = ws_alloc(1, sizeof(*t));

	WS_INVARIANT(conf->slots > 0 && conf->cold_limit > 0);
	t->conf = *conf;
	t->journal = journal;
	t->journal_arg = arg;
	t->incarnation = seed;
	t->checks_leases = true;
	t->ready = true;
	t->slow_factor = 1.0;
	t->cold_slow_factor = 1.0;
	t->false_load = -1;
	start_incarnation(t, now);
	return t;
}

void ws_starget_free(struct ws_starget *t)
{
	free(t->items);
	free(t);
}

void ws_starget_crash(struct ws_starget *t, ws_us now, ws_us down)
{
	ws_starget_journal_event(t, now, "crash");
	if (t->exit_requested)
		return;
	t->down_until = now + down;
	start_incarnation(t, now);
}

bool ws_starget_incarnation_ended(const struct ws_starget *t,
				  const struct ws_starget_req *req)
{
	return req->incarnation != t->incarnation;
}

/* ===== Capacity ===== */

uint32_t ws_starget_capacity(const struct ws_starget *t)
{
	uint32_t grown;

	if (!t->cold)
		return t->conf.slots;
	grown = t->conf.cold_limit;
	if (t->conf.warm_step)
		grown += t->successes / t->conf.warm_step;
	return grown < t->conf.slots ? grown : t->conf.slots;
}

static void count_success(struct ws_starget *t)
{
	t->successes++;
	if (ws_starget_capacity(t) >= t->conf.slots)
		t->cold = false;
}

/* All requests in flight fail, and all that come for a while. */
static void collapse(struct ws_starget *t, ws_us now)
{
	t->collapses++;
	t->collapsed_until = now + t->conf.collapse_time;
	turn_cold(t);
	ws_starget_journal_event(t, now, "collapse");
}

/* ===== Requests ===== */

static bool reject(struct ws_starget *t, ws_us now, struct ws_starget_req *req,
		   struct ws_starget_response *a, unsigned status,
		   const char *error, bool not_run)
{
	a->status = status;
	a->not_run = not_run;
	a->error = error;
	journal_request(t, now, "reject", error, req);
	return false;
}

/* Rejections that have to do with the load. */
static bool check_load(struct ws_starget *t, ws_us now,
		       struct ws_starget_req *req,
		       struct ws_starget_response *a)
{
	if (now < t->collapsed_until)
		return reject(t, now, req, a, 503, "collapsed", false);
	if (ws_standin_consume_fault(&t->shed))
		return reject(t, now, req, a, 503, "shed", true);
	if (t->in_flight < ws_starget_capacity(t))
		return true;
	if (!t->cold || now < t->warning_until)
		return reject(t, now, req, a, 503, "shed", true);
	collapse(t, now);
	return reject(t, now, req, a, 503, "collapsed", false);
}

static void set_times(struct ws_starget *t, ws_us now,
		      struct ws_starget_req *req)
{
	double time = (double)t->conf.service_time * t->slow_factor;

	if (t->cold)
		time *= t->cold_slow_factor;
	req->due = now + (ws_us)time;
	req->deadline_exceeded = req->deadline &&
				 req->due > now + req->deadline;
	if (req->deadline_exceeded)
		req->due = now + req->deadline;
}

static bool crashes_on(const struct ws_starget *t, const char *body)
{
	return t->crash_word[0] && body && strstr(body, t->crash_word);
}

bool ws_starget_begin(struct ws_starget *t, ws_us now,
		      struct ws_starget_req *req, const char *body,
		      struct ws_starget_response *a)
{
	const char *error;

	memset(a, 0, sizeof(*a));
	req->start = now;
	req->incarnation = t->incarnation;
	req->collapses = t->collapses;
	req->limit = ws_starget_capacity(t);
	req->cold = t->cold;
	req->concurrency = t->in_flight + 1;
	req->leaving_for = t->leaving_since ? now - t->leaving_since : 0;
	if (req->for_incarnation && req->for_incarnation != t->incarnation)
		return reject(t, now, req, a, 409, "other_incarnation", true);
	if (req->start_by && now + t->conf.clock_offset > req->start_by)
		return reject(t, now, req, a, 409, "start_by_passed", true);
	error = ws_starget_lease_error(t, now, req);
	if (error)
		return reject(t, now, req, a, 409, error, true);
	if (!check_load(t, now, req, a))
		return false;
	t->in_flight++;
	set_times(t, now, req);
	journal_request(t, now, "begin", NULL, req);
	if (!crashes_on(t, body))
		return true;
	t->exit_requested = t->crash_exits;
	ws_starget_crash(t, now, t->crash_down);
	return false;
}

static void end_as(struct ws_starget *t, ws_us now, struct ws_starget_req *req,
		   struct ws_starget_response *a, unsigned status,
		   const char *error, bool not_run)
{
	a->status = status;
	a->not_run = not_run;
	a->error = error;
	journal_request(t, now, error ? "abort" : "run", error, req);
}

void ws_starget_end(struct ws_starget *t, ws_us now, struct ws_starget_req *req,
		    struct ws_starget_response *a)
{
	const char *lease;

	WS_INVARIANT(!ws_starget_incarnation_ended(t, req) && t->in_flight > 0);
	memset(a, 0, sizeof(*a));
	t->in_flight--;
	/* The effect is applied now, so the lease must still cover it. */
	lease = ws_starget_lease_error(t, now, req);
	if (req->collapses != t->collapses) {
		end_as(t, now, req, a, 500, "collapsed", false);
	} else if (req->deadline_exceeded) {
		end_as(t, now, req, a, 504, "deadline", true);
	} else if (lease) {
		end_as(t, now, req, a, 409, lease, true);
	} else {
		count_success(t);
		end_as(t, now, req, a, 200, NULL, false);
	}
}

void ws_starget_cancel(struct ws_starget *t, ws_us now,
		       struct ws_starget_req *req)
{
	WS_INVARIANT(!ws_starget_incarnation_ended(t, req) && t->in_flight > 0);
	t->in_flight--;
	journal_request(t, now, "abort", "cancelled", req);
}
