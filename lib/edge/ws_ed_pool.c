#include "edge/ws_ed_pool.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/ws_ed_pool_int.h"
#include "edge/ws_ed_throttle.h"

/* Time constant with which a load report decays to the mean. */
#define REPORT_TAU (250.0 * (double)WS_MS)
/*
 * If many instances choose by the same reports, each report sends all of them
 * to the same server (thundering herd). Above this number of instances a report
 * therefore decays faster, and each choice considers a random subset of the
 * servers; servers with an open connection are in the subset more often.
 */
#define HERD_INSTANCES 24.0
#define OPEN_SAMPLING_FACTOR 4.0
/*
 * Servers attach reports to responses, so that a busy server which gets no more
 * requests would look busy, and be avoided, for ever. Without a report for this
 * time its backlog is assumed to drain.
 */
#define SILENT_AFTER (500 * WS_MS)
#define SILENT_TAU (700.0 * (double)WS_MS)
/* The slowness of a machine changes several times a second. */
#define PACE_TAU (250.0 * (double)WS_MS)
/* Cost factor and constant cost of a server in another zone. */
#define REMOTE_ZONE_FACTOR 1.6
#define REMOTE_ZONE_COST (5.0 * (double)WS_MS)
/*
 * Cost factor of a server without an open connection: one instance among
 * hundreds sends to each server seldom, and would otherwise open a connection
 * for each request.
 */
#define CONNECT_FACTOR 1.3
/* Time for which a server that has joined is exempt from CONNECT_FACTOR. */
#define NEW_SERVER_TIME (15 * WS_SECOND)
/* Assumed idle timeout of a server that reports none. */
#define IDLE_TIMEOUT_DEFAULT (4 * WS_SECOND)
/* Fraction of the idle timeout for which a connection may be reused. */
#define IDLE_FRACTION 0.9
/* Relative increase in cost of a server that fails all requests. */
#define FAIL_FACTOR 8.0
/* Relative jitter of costs; keeps instances from picking the same server. */
#define JITTER 0.12
#define FAIL_GAIN 0.15
/*
 * Logarithm of the factor by which learned speeds differ by chance; choosing by
 * such differences would send all instances to the same servers.
 */
#define CHANCE_SLOWNESS 0.4
#define SERVICE_TIME_FACTOR_GAIN 0.08
#define SERVICE_TIME_GAIN 0.05
/* Samples from which on a service time is one to learn speeds by. */
#define SERVICE_TIME_SAMPLES 20
#define SERVICE_TIME_FACTOR_MIN 0.2
#define SERVICE_TIME_FACTOR_MAX 6.0
/* Service time assumed before the first response, in microseconds. */
#define SERVICE_TIME_INITIAL (80.0 * (double)WS_MS)
#define BACKOFF_INITIAL (200 * WS_MS)
#define BACKOFF_MAX (2 * WS_SECOND)
#define BACKOFFS_MAX 4
/* Added to the warm-up time, as list entries arrive with some delay. */
#define COLD_MARGIN (200 * WS_MS)
/* The last requests have to reach a leaving server within its time. */
#define LEAVING_MARGIN (300 * WS_MS)
/* Factor of the service time of a cold server. */
#define COLD_SLOWNESS 2.0
/* Relative slowdown of a server with all slots busy and no queue. */
#define BUSY_SLOWNESS 0.25

void ws_ed_pool_free(struct ws_ed_pool *p)
{
	free(p->servers);
	free(p->work_stats);
	free(p->zones);
	ws_ed_group_free(&p->group);
	memset(p, 0, sizeof(*p));
}

/* ===== List ===== */

int32_t ws_ed_pool_find(const struct ws_ed_pool *p, ws_id id)
{
	size_t i;

	for (i = 0; id && i < p->n; i++)
		if (p->servers[i].id == id)
			return (int32_t)i;
	return -1;
}

int32_t ws_ed_pool_find_again(const struct ws_ed_pool *p, ws_id id,
			      uint32_t *handle)
{
	int32_t h;

	if (id && *handle < p->n && p->servers[*handle].id == id)
		return (int32_t)*handle;
	h = ws_ed_pool_find(p, id);
	if (h >= 0)
		*handle = (uint32_t)h;
	return h;
}

static uint32_t add_server(struct ws_ed_pool *p)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		if (!p->servers[i].id)
			break;
	if (i == p->n) {
		ws_grow(&p->servers, &p->cap, p->n + 1, sizeof(*p->servers));
		p->n++;
	}
	memset(&p->servers[i], 0, sizeof(p->servers[i]));
	return (uint32_t)i;
}

static void reset_estimates(struct ws_ed_server *s)
{
	s->other_requests = 0.0;
	s->other_requests_mean = 0.0;
	s->pace = 1.0;
	s->pace_mean = 1.0;
	s->inverse_pace_mean = 1.0;
	s->n_pace_samples = 0;
	s->service_time_factor = 1.0;
	s->learned = (struct ws_ed_learned){ .slots = 0 };
	s->learned_news = (struct ws_ed_learned_news){ .pending = 0 };
	s->failure_rate = 0.0;
	s->backoff_until = 0;
	s->n_backoffs = 0;
	s->warm_at = 0;
	s->cold_until = 0;
	s->cold_share = (struct ws_ed_share){ .per_s = 0.0 };
	s->idle_connections = 0;
	s->withdrawn_at = 0;
#ifndef WS_MUTANT_STATEMENTS_OF_FORMER_START
	s->stated = (struct ws_ed_stated){ .leaving_since = 0 };
#endif
	s->limit_share = (struct ws_ed_share){ .per_s = 0.0 };
}

static void set_max_connections(const struct ws_ed_pool *p,
				struct ws_ed_server *s)
{
	const struct ws_ed_service *svc =
		ws_ed_conf_service(p->conf, s->service);

	s->max_connections = svc ? svc->max_connections : 0;
}

uint32_t ws_ed_pool_connection_share(const struct ws_ed_pool *p,
				     const struct ws_ed_server *s)
{
	uint32_t share = s->max_connections / (uint32_t)p->instances;

	return s->max_connections && !share ? 1 : share;
}

static bool is_stale_listing(const struct ws_ed_listing *l,
			     const struct ws_ed_server *s)
{
	if (l->started_ms != s->started_ms)
		return l->started_ms < s->started_ms;
	return l->sequence < s->sequence;
}

static bool has_left(const struct ws_ed_pool *p, ws_id id,
		     const struct ws_ed_listing *l)
{
	size_t i;

	for (i = 0; i < WS_ED_LEFT_SERVERS && i < p->n_left; i++) {
		const struct ws_ed_left_server *s = &p->left[i];

		if (s->id == id && (s->started_ms > l->started_ms ||
				    (s->started_ms == l->started_ms &&
				     s->sequence >= l->sequence)))
			return true;
	}
	return false;
}

int32_t ws_ed_pool_listed(struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_listing *l)
{
	ws_id id = ws_ed_id(l->name);
	int32_t found = ws_ed_pool_find(p, id);
	struct ws_ed_server *s;
	bool is_repeated = false;
	uint32_t h;

	if (found >= 0 && is_stale_listing(l, &p->servers[found]))
		return found;
	if ((found < 0 || !p->servers[found].listed) && l->from_snapshot &&
	    has_left(p, id, l))
		return found;
	h = found >= 0 ? (uint32_t)found : add_server(p);
	s = &p->servers[h];
	if (found < 0 || s->started_ms != l->started_ms) {
		reset_estimates(s);
		s->known_since = now;
	} else {
		is_repeated = s->sequence == l->sequence;
	}
	s->sequence = l->sequence;
	s->id = id;
	snprintf(s->name, sizeof(s->name), "%s", l->name);
	snprintf(s->address, sizeof(s->address), "%s", l->address);
	s->service = l->service;
	s->zone = l->zone;
	s->slots = l->slots ? l->slots : 1;
	if (s->learned.slots != s->slots)
		ws_ed_learn_reset(&s->learned, s->slots);
	s->started_ms = l->started_ms;
	s->listed = true;
	s->draining = l->draining;
	if (!s->draining)
		s->withdrawn_at = 0;
	else if (!s->withdrawn_at)
		s->withdrawn_at = now;
	set_max_connections(p, s);
	/* What is left of the warm-up counts from when it was first read. */
	if (l->cold_for > 0 && !is_repeated)
		s->warm_at = now + l->cold_for + COLD_MARGIN;
	ws_ed_throttle_update(p, now, s);
	ws_ed_pool_apply_kept(p, now, s);
	if (p->unmetered && s->draining)
		ws_ed_pool_tell_leaving(now, s);
	return (int32_t)h;
}

void ws_ed_pool_unlisted(struct ws_ed_pool *p, ws_us now, ws_id id,
			 ws_us linger)
{
	int32_t h = ws_ed_pool_find(p, id);
	struct ws_ed_server *s;

	if (h < 0)
		return;
	s = &p->servers[h];
	if (s->listed) {
		s->usable_until = now + linger;
		p->left[p->n_left++ % WS_ED_LEFT_SERVERS] =
			(struct ws_ed_left_server){
				.id = id,
				.started_ms = s->started_ms,
				.sequence = s->sequence,
			};
	}
	if (!s->withdrawn_at)
		s->withdrawn_at = now;
	s->listed = false;
}

ws_us ws_ed_pool_leaving_for(const struct ws_ed_pool *p, ws_us now,
			     uint32_t server)
{
	const struct ws_ed_server *s = &p->servers[server];
	ws_us since = s->stated.leaving_since;

	if (s->withdrawn_at && (!since || s->withdrawn_at < since))
		since = s->withdrawn_at;
	return since ? now - since : 0;
}

void ws_ed_pool_configure(struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_conf *conf)
{
	size_t i;

	p->conf = conf;
	for (i = 0; i < p->n; i++) {
		struct ws_ed_server *s = &p->servers[i];

		set_max_connections(p, s);
#ifndef WS_MUTANT_RATE_OF_FIRST_CONFIG
		ws_ed_throttle_update(p, now, s);
#endif
	}
}

/* ===== Zones ===== */

static struct ws_ed_zone_out *find_zone(const struct ws_ed_pool *p, ws_id zone)
{
	size_t i;

	for (i = 0; i < p->n_zones; i++)
		if (p->zones[i].zone == zone)
			return &p->zones[i];
	return NULL;
}

void ws_ed_pool_set_zone(struct ws_ed_pool *p, ws_us now, ws_id zone, bool out)
{
	struct ws_ed_zone_out *z = find_zone(p, zone);
	size_t i;

	if (!z) {
		ws_grow(&p->zones, &p->cap_zones, p->n_zones + 1,
			sizeof(*p->zones));
		z = &p->zones[p->n_zones++];
		*z = (struct ws_ed_zone_out){ .zone = zone };
	}
	/* Without requests, the servers may have become cold. */
	if (z->out && !out)
		z->back_at = now;
	z->out = out;
	for (i = 0; i < p->n; i++)
		if (p->servers[i].id && p->servers[i].zone == zone)
			ws_ed_throttle_update(p, now, &p->servers[i]);
}

ws_us ws_ed_pool_zone_back_at(const struct ws_ed_pool *p, ws_id zone)
{
	const struct ws_ed_zone_out *z = find_zone(p, zone);

	return z ? z->back_at : 0;
}

bool ws_ed_pool_zone_out(const struct ws_ed_pool *p, ws_id zone)
{
	const struct ws_ed_zone_out *z = find_zone(p, zone);

	return z && z->out;
}

/* ===== Expectation ===== */

uint32_t ws_ed_pool_work_stats(struct ws_ed_pool *p, ws_id route, ws_id service)
{
	size_t i;

	for (i = 0; i < p->n_work_stats; i++)
		if (p->work_stats[i].route == route &&
		    p->work_stats[i].service == service)
			return (uint32_t)i;
	ws_grow(&p->work_stats, &p->cap_work_stats, p->n_work_stats + 1,
		sizeof(*p->work_stats));
	p->work_stats[p->n_work_stats] = (struct ws_ed_work_stats){
		.route = route,
		.service = service,
		.service_time = SERVICE_TIME_INITIAL,
	};
	return (uint32_t)p->n_work_stats++;
}

/* As far as the list says. */
static bool is_in_service(const struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_server *s)
{
	if (!s->id || s->draining || ws_ed_pool_zone_out(p, s->zone))
		return false;
	return s->listed || now < s->usable_until;
}

bool ws_ed_pool_usable(const struct ws_ed_pool *p, ws_us now, uint32_t server)
{
	const struct ws_ed_server *s = &p->servers[server];

#ifdef WS_MUTANT_LEAVING_IS_USABLE
	return is_in_service(p, now, s);
#endif
	return is_in_service(p, now, s) && !s->stated.leaving_since;
}

bool ws_ed_pool_usable_last(const struct ws_ed_pool *p, ws_us now,
			    uint32_t server)
{
	const struct ws_ed_server *s = &p->servers[server];

	return is_in_service(p, now, s) && s->stated.leaving_since &&
	       now < s->stated.leaving_since + p->drain_time - LEAVING_MARGIN;
}

bool ws_ed_pool_may_send(const struct ws_ed_pool *p, ws_us now, uint32_t server)
{
	return (ws_ed_pool_usable(p, now, server) ||
		ws_ed_pool_usable_last(p, now, server)) &&
	       !ws_ed_stated_closed_for(&p->servers[server].stated, now);
}

static double load_of(const struct ws_ed_server *s, ws_us now, double tau)
{
	double d = ws_ed_pool_decay(now - s->stated.load_at, tau);
	double others =
		s->other_requests * d + s->other_requests_mean * (1.0 - d);

	if (now - s->stated.load_at > SILENT_AFTER)
		others *= ws_ed_pool_decay(
			now - s->stated.load_at - SILENT_AFTER, SILENT_TAU);
	return (double)s->in_flight + others;
}

static double pace_of(const struct ws_ed_server *s, ws_us now)
{
	double d = ws_ed_pool_decay(now - s->stated.load_at, PACE_TAU);
	double pace = 1.0 + (s->pace - 1.0) * d;

	return now < s->cold_until ? pace * COLD_SLOWNESS : pace;
}

/*
 * Slowdown by load: latency relative to that at an idle server.
 * @param load requests at the server, this one included
 */
static double load_slowdown(double load, double slots)
{
	double part = load / slots;

	if (part <= 1.0)
		return 1.0 + BUSY_SLOWNESS * part * part;
	return part * (1.0 + BUSY_SLOWNESS);
}

/* Service time relative to the mean of the service. */
static double time_factor(const struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_server *s)
{
	return p->unmetered ? 1.0 / ws_ed_learn_speed(&s->learned, now) :
			      s->service_time_factor;
}

/* The part of time_factor() that may be due to chance. */
static double chance_factor(const struct ws_ed_pool *p, ws_us now,
			    const struct ws_ed_server *s)
{
	double slowness;

	if (!p->unmetered)
		return 1.0;
	slowness = -log(ws_ed_learn_speed(&s->learned, now));
	return exp(fmin(fmax(slowness, -CHANCE_SLOWNESS), CHANCE_SLOWNESS));
}

/* Requests that a server takes at once. */
static double effective_slots(const struct ws_ed_pool *p, ws_us now,
			      const struct ws_ed_server *s)
{
	return p->unmetered ? ws_ed_learn_limit(&s->learned, now) :
			      (double)s->slots;
}

/* @param tau time constant of the decay of load reports */
static void estimate(const struct ws_ed_pool *p, ws_us now, uint32_t server,
		     uint32_t work_stats, double tau, struct ws_ed_choice *out)
{
	const struct ws_ed_server *s = &p->servers[server];
	double load = load_of(s, now, tau) + 1.0;
	double time = p->work_stats[work_stats].service_time *
		      time_factor(p, now, s) * pace_of(s, now) *
		      load_slowdown(load, effective_slots(p, now, s));

	out->server = (int32_t)server;
	out->load = load / (double)s->slots;
	out->expected_latency = (ws_us)time;
	out->throttled_for = ws_ed_throttle_time(p, now, s);
	out->throttled = out->throttled_for ? (int32_t)server : -1;
}

void ws_ed_pool_expect(const struct ws_ed_pool *p, ws_us now, uint32_t server,
		       uint32_t work_stats, struct ws_ed_choice *out)
{
	estimate(p, now, server, work_stats, REPORT_TAU, out);
}

static double choice_tau(const struct ws_ed_pool *p)
{
	double n = (double)p->instances;

	return n > HERD_INSTANCES ? REPORT_TAU * HERD_INSTANCES / n :
				    REPORT_TAU;
}

void ws_ed_pool_capacity(const struct ws_ed_pool *p, ws_us now, ws_id service,
			 struct ws_ed_capacity *c)
{
	double slots = 0.0;
	double load = 0.0;
	size_t i;

	c->slots = 0.0;
	for (i = 0; i < p->n; i++) {
		const struct ws_ed_server *s = &p->servers[i];
		double taken;
		double part;

		if (s->service != service ||
		    !ws_ed_pool_usable(p, now, (uint32_t)i))
			continue;
		taken = effective_slots(p, now, s);
		part = taken * s->inverse_pace_mean / time_factor(p, now, s);
		c->slots += now < s->cold_until ? part / COLD_SLOWNESS : part;
		slots += taken;
		load += load_of(s, now, REPORT_TAU);
	}
	c->slots /= 1.0 + BUSY_SLOWNESS;
	c->load = slots > 0.0 ? load / slots : 0.0;
}

/* ===== Choice ===== */

static bool is_excluded(const struct ws_ed_choose_input *in, uint32_t h)
{
	size_t i;

	for (i = 0; i < in->n_excluded; i++)
		if (in->excluded[i] == h)
			return true;
	return false;
}

ws_us ws_ed_pool_idle_limit(const struct ws_ed_server *s)
{
	ws_us max = IDLE_TIMEOUT_DEFAULT;

	if (s->stated.idle_timeout)
		max = (ws_us)(IDLE_FRACTION * (double)s->stated.idle_timeout);
	return max > WS_SECOND ? max : WS_SECOND;
}

static bool has_idle(const struct ws_ed_server *s, ws_us now)
{
	return s->idle_connections && now < s->idle_until;
}

static bool has_full_share(const struct ws_ed_pool *p,
			   const struct ws_ed_server *s)
{
	return s->max_connections &&
	       s->in_flight >= ws_ed_pool_connection_share(p, s);
}

static double cost_of(struct ws_ed_pool *p, ws_us now,
		      const struct ws_ed_choose_input *in,
		      const struct ws_ed_server *s,
		      const struct ws_ed_choice *c)
{
	double cost = (double)c->expected_latency / chance_factor(p, now, s) *
		      (1.0 + FAIL_FACTOR * s->failure_rate);

	if (s->zone != in->zone)
		cost = cost * REMOTE_ZONE_FACTOR + REMOTE_ZONE_COST;
	if (!has_idle(s, now) && now - s->known_since > NEW_SERVER_TIME)
		cost *= CONNECT_FACTOR;
	if (now < s->backoff_until || has_full_share(p, s))
		cost += 1e9;
	return cost *
	       (1.0 + JITTER * (double)ws_rand_below(&p->rand, 1000) / 1000.0);
}

/* Draws whether a choice considers a server. */
static bool is_sampled(struct ws_ed_pool *p, ws_us now,
		       const struct ws_ed_server *s)
{
	double part = HERD_INSTANCES / (double)p->instances;

	if (has_idle(s, now))
		part *= OPEN_SAMPLING_FACTOR;
	return part >= 1.0 ||
	       (double)ws_rand_below(&p->rand, 1000) < 1000.0 * part;
}

/* Keeps the server that will be permitted first. */
static void note_throttled(struct ws_ed_choice *out,
			   const struct ws_ed_choice *c)
{
	if (out->throttled >= 0 && out->throttled_for <= c->throttled_for)
		return;
	out->throttled = c->throttled;
	out->throttled_for = c->throttled_for;
}

/* Servers that a choice considers. */
enum candidates {
	CANDIDATES_SAMPLE, /* a random subset of the usable ones */
	CANDIDATES_ALL,
	CANDIDATES_LAST, /* those that leave */
};

static bool is_candidate(struct ws_ed_pool *p, ws_us now, enum candidates among,
			 uint32_t h)
{
	if (among == CANDIDATES_LAST)
		return ws_ed_pool_usable_last(p, now, h);
	return ws_ed_pool_usable(p, now, h) &&
	       (among == CANDIDATES_ALL || is_sampled(p, now, &p->servers[h]));
}

static void choose(struct ws_ed_pool *p, ws_us now,
		   const struct ws_ed_choose_input *in, enum candidates among,
		   struct ws_ed_choice *out)
{
	double tau = choice_tau(p);
	double best = 0.0;
	size_t i;

	*out = (struct ws_ed_choice){ .server = -1, .throttled = -1 };
	for (i = 0; i < p->n; i++) {
		struct ws_ed_server *s = &p->servers[i];
		struct ws_ed_choice c;
		double cost;

		if (s->service != in->service || is_excluded(in, (uint32_t)i) ||
		    !is_candidate(p, now, among, (uint32_t)i))
			continue;
		estimate(p, now, (uint32_t)i, in->work_stats, tau, &c);
		if (c.throttled >= 0) {
			note_throttled(out, &c);
			continue;
		}
		cost = cost_of(p, now, in, s, &c);
		if (out->server >= 0 && cost >= best)
			continue;
		best = cost;
		c.throttled = out->throttled;
		c.throttled_for = out->throttled_for;
		*out = c;
	}
}

/* Whether a server that leaves still gets requests when it is permitted to. */
static bool is_used_then(const struct ws_ed_pool *p, ws_us now,
			 const struct ws_ed_choice *c)
{
	return c->throttled_for == WS_ED_NO_SHARE ||
	       ws_ed_pool_usable_last(p, now + c->throttled_for,
				      (uint32_t)c->throttled);
}

void ws_ed_pool_choose(struct ws_ed_pool *p, ws_us now,
		       const struct ws_ed_choose_input *in,
		       struct ws_ed_choice *out)
{
	struct ws_ed_choice last;

	choose(p, now, in, CANDIDATES_SAMPLE, out);
	/* No usable server was in the subset. */
	if (out->server < 0)
		choose(p, now, in, CANDIDATES_ALL, out);
	if (out->server >= 0)
		return;
	choose(p, now, in, CANDIDATES_LAST, &last);
	if (last.server >= 0)
		*out = last;
	else if (last.throttled >= 0 && is_used_then(p, now, &last))
		note_throttled(out, &last);
}

/* ===== Observations ===== */

void ws_ed_pool_sent(struct ws_ed_pool *p, ws_us now, uint32_t server)
{
	struct ws_ed_server *s = &p->servers[server];

	s->in_flight++;
	if (!has_idle(s, now))
		s->idle_connections = 0;
	else
		s->idle_connections--;
	ws_ed_throttle_sent(s, now);
}

static double clamp(double x, double low, double high)
{
	if (x < low)
		return low;
	return x > high ? high : x;
}

static void update_service_times(struct ws_ed_pool *p, struct ws_ed_server *s,
				 uint32_t work_stats, ws_us latency,
				 double load, ws_us now)
{
	struct ws_ed_work_stats *w = &p->work_stats[work_stats];
	double slots = effective_slots(p, now, s);
	double idle_time = (double)latency /
			   load_slowdown(load * s->slots, slots) /
			   pace_of(s, now);
	double gain = w->n_samples < SERVICE_TIME_SAMPLES ? 0.2 :
							    SERVICE_TIME_GAIN;

	w->n_samples++;
	w->service_time +=
		gain * (idle_time / time_factor(p, now, s) - w->service_time);
	s->service_time_factor +=
		SERVICE_TIME_FACTOR_GAIN *
		(idle_time / w->service_time - s->service_time_factor);
	s->service_time_factor = clamp(s->service_time_factor,
				       SERVICE_TIME_FACTOR_MIN,
				       SERVICE_TIME_FACTOR_MAX);
}

/* Whether the outcome says anything of the server's capacity. */
static bool is_capacity_sample(enum ws_ed_end end)
{
	return end != WS_ED_END_NOT_SENT && end != WS_ED_END_WITHDRAWN;
}

static void learn(struct ws_ed_pool *p, ws_us now, struct ws_ed_server *s,
		  const struct ws_ed_sending *x, enum ws_ed_end end,
		  ws_us latency, const struct ws_ed_report *report)
{
	const struct ws_ed_work_stats *w = &p->work_stats[x->work_stats];
	bool known = report && report->from_server && report->known;
	struct ws_ed_learn_sample sample = {
		.now = now,
		.latency = latency,
		.work = w->n_samples >= SERVICE_TIME_SAMPLES ? w->service_time :
							       0.0,
		.load = x->load * (double)s->slots,
		.ok = end == WS_ED_END_OK,
		.rejected = end == WS_ED_END_SHED ||
			    end == WS_ED_END_CONNECTION_LOST,
		.pace = pace_of(s, now),
		.has_report = known,
		.running = known ? report->running : 0,
		.waiting = known ? report->waiting : 0,
	};

	ws_ed_learn_sample(&s->learned, &sample);
}

static void back_off(struct ws_ed_server *s, ws_us now)
{
	ws_us time = BACKOFF_INITIAL << s->n_backoffs;

	s->backoff_until = now + (time < BACKOFF_MAX ? time : BACKOFF_MAX);
	if (s->n_backoffs < BACKOFFS_MAX)
		s->n_backoffs++;
}

void ws_ed_pool_refused(struct ws_ed_pool *p, ws_us now, uint32_t server)
{
	back_off(&p->servers[server], now);
}

unsigned ws_ed_pool_ended(struct ws_ed_pool *p, ws_us now,
			  const struct ws_ed_sending *x, enum ws_ed_end end,
			  ws_us latency, const struct ws_ed_report *report)
{
	struct ws_ed_server *s = &p->servers[x->server];
	double failed = 0.0;
	unsigned changed;

	WS_INVARIANT(s->in_flight > 0);
	s->in_flight--;
	changed = ws_ed_pool_apply_answer(p, now, s, x, report);
	if (p->unmetered && x->started_ms == s->started_ms &&
	    is_capacity_sample(end)) {
		learn(p, now, s, x, end, latency, report);
		ws_ed_pool_note_learned(s);
		if (ws_ed_learn_has_crossed(&s->learned, now))
			changed |= WS_ED_STATED_CAPACITY;
	}
	if (end == WS_ED_END_OK || end == WS_ED_END_FAILED ||
	    end == WS_ED_END_SHED) {
		s->idle_connections++;
		s->idle_until = now + ws_ed_pool_idle_limit(s);
	}
	switch (end) {
	case WS_ED_END_OK:
		update_service_times(p, s, x->work_stats, latency, x->load,
				     now);
		s->n_backoffs = 0;
		break;
	case WS_ED_END_CANCELLED:
	case WS_ED_END_WITHDRAWN:
		return changed;
	case WS_ED_END_NOT_SENT:
		failed = 1.0;
		back_off(s, now);
		break;
	default:
		failed = 1.0;
		break;
	}
	s->failure_rate += FAIL_GAIN * (failed - s->failure_rate);
	return changed;
}

uint32_t ws_ed_short_id(ws_id server)
{
	return (uint32_t)(server >> 32);
}

int32_t ws_ed_pool_find_short(const struct ws_ed_pool *p, uint32_t id)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		if (p->servers[i].id && ws_ed_short_id(p->servers[i].id) == id)
			return (int32_t)i;
	return -1;
}

void ws_ed_pool_tick(struct ws_ed_pool *p, ws_us now)
{
	size_t i;

	for (i = 0; i < p->n; i++) {
		struct ws_ed_server *s = &p->servers[i];

		/* Decays, so that a server that failed is tried again. */
		s->failure_rate *= 0.995;
		ws_ed_throttle_refresh(p, now, s);
		if (s->id && !s->listed && now >= s->usable_until &&
		    !s->in_flight) {
#ifndef WS_MUTANT_STATEMENTS_FORGOTTEN
			ws_ed_stated_keep_all(&p->kept, now,
					      ws_ed_short_id(s->id),
					      (uint32_t)s->started_ms,
					      &s->stated);
#endif
			s->id = 0;
		}
	}
}
