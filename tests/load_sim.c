#include "load_sim.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/wp_decode.h"

/* One-way latencies */
#define CALLER_LATENCY (3 * WS_MS)
#define SAME_ZONE_LATENCY (100)
#define OTHER_ZONE_LATENCY (900)
#define TICK (20 * WS_MS)
#define QUEUE_MAX 16
/* Mean times for which a machine has its usual and its slow pace */
#define USUAL_PACE_TIME (500 * WS_MS)
#define SLOW_PACE_TIME (40 * WS_MS)
#define APPEND_TIME (8 * WS_MS)
#define LATE_SCORE 0.3
#define BASELINE_RETRY_AFTER (100 * WS_MS)
/* Time after the last arrival in which responses are still received. */
#define DRAIN_TIME (3 * WS_SECOND)
#define WARM_UP (4 * WS_SECOND)

enum kind {
	EV_TRY = 1, /* a caller's request arrives at an instance */
	EV_AT_SERVER, /* a request arrives at a server */
	EV_WORK_DONE, /* a server completes a request */
	EV_RESPONSE, /* a server's response arrives at an instance */
	EV_HEARTBEAT, /* a heartbeat arrives */
	EV_TICK,
	EV_HEARTBEAT_DUE, /* an instance sends its heartbeats */
	EV_PACE, /* a machine changes its pace */
	EV_NEXT_CALLER, /* the next caller makes its first try */
	EV_KEY_CALLED, /* a grant or release has ended */
	EV_APPENDED, /* an append to the store has ended */
};

struct event {
	ws_us at;
	uint64_t order;
	uint8_t kind;
	uint32_t a; /* instance, server or caller */
	uint32_t b;
	uint64_t ref;
	void *data;
};

struct caller {
	ws_us first; /* when its first try was made */
	unsigned tries;
	unsigned zone;
	uint32_t key;
	bool counted; /* its first try is in the measured time */
};

/* A caller's try, at an instance. */
struct
try {
	uint32_t caller;
	uint32_t instance;
	ws_us arrived;
	ws_us deadline;
	bool open;
};

/* A send of a request to a server. */
struct work {
	uint64_t try;
	uint8_t lane;
	uint32_t instance;
	uint32_t server;
	ws_us sent;
	ws_us end; /* deadline */
	bool cancelled;
	struct work *next; /* in the queue */
};

struct server {
	char name[16];
	unsigned zone;
	unsigned running;
	unsigned waiting;
	struct work *first;
	struct work *last;
	double speed;
	double pace;
};

struct sim {
	const struct load_sim *load;
	struct ws_rand rand;
	ws_us now;
	struct event *heap;
	size_t n_heap;
	size_t cap_heap;
	uint64_t order;
	struct ws_edge *edges[SIM_INSTANCES];
	struct server servers[SIM_SERVERS];
	struct caller *callers;
	size_t n_callers;
	size_t cap_callers;
	struct try *tries; /* by id - 1 */
	size_t n_tries;
	size_t cap_tries;
	struct work **works; /* active sends, by try and lane */
	size_t cap_works;
	uint8_t owner[WS_ED_KEYS]; /* server + 1 */
	uint64_t map_end;
	struct ws_ed_fx fx;
	struct load_result result;
	double refused_wait;
};

static ws_us start_of(const struct load_sim *l)
{
	return l->to ? l->from : WARM_UP;
}

static ws_us end_of(const struct load_sim *l)
{
	return l->to ? l->to : l->length;
}

/* ===== Events ===== */

static bool is_before(const struct event *x, const struct event *y)
{
	return x->at < y->at || (x->at == y->at && x->order < y->order);
}

static struct event *push(struct sim *s, ws_us at, uint8_t kind)
{
	size_t i = s->n_heap;

	ws_grow(&s->heap, &s->cap_heap, s->n_heap + 1, sizeof(*s->heap));
	s->n_heap++;
	s->heap[i] =
		(struct event){ .at = at, .order = ++s->order, .kind = kind };
	while (i && is_before(&s->heap[i], &s->heap[(i - 1) / 2])) {
		struct event e = s->heap[i];

		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
		s->heap[i] = e;
	}
	return &s->heap[i];
}

static struct event pop(struct sim *s)
{
	struct event top = s->heap[0];
	size_t i = 0;

	s->heap[0] = s->heap[--s->n_heap];
	for (;;) {
		size_t c = 2 * i + 1;
		struct event e;

		if (c + 1 < s->n_heap &&
		    is_before(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (c >= s->n_heap || !is_before(&s->heap[c], &s->heap[i]))
			return top;
		e = s->heap[i];
		s->heap[i] = s->heap[c];
		s->heap[c] = e;
		i = c;
	}
}

/* ===== Random numbers ===== */

static double uniform(struct sim *s)
{
	return ((double)ws_rand_below(&s->rand, 1000000) + 0.5) / 1e6;
}

static double exponential(struct sim *s)
{
	return -log(uniform(s));
}

static double normal(struct sim *s)
{
	return sqrt(2.0 * exponential(s)) * cos(6.283185307 * uniform(s));
}

/* Log-normal distribution with mean 1. */
static double lognormal(struct sim *s, double spread)
{
	return exp(spread * normal(s) - spread * spread / 2.0);
}

static bool in_pattern(const struct sim *s)
{
	return s->now >= s->load->from && s->now < s->load->to;
}

/* ===== Servers ===== */

static struct work **work_of(struct sim *s, uint64_t try, uint8_t lane)
{
	size_t i = 2 * (size_t)try + lane;

	ws_grow(&s->works, &s->cap_works, i + 1, sizeof(struct work *));
	return &s->works[i];
}

static ws_us network_latency(const struct sim *s, uint32_t instance,
			     uint32_t server)
{
	return instance % SIM_ZONES == s->servers[server].zone ?
		       SAME_ZONE_LATENCY :
		       OTHER_ZONE_LATENCY;
}

static void respond(struct sim *s, struct work *w, enum ws_ed_end end,
		    bool not_owner)
{
	struct event *e =
		push(s, s->now + network_latency(s, w->instance, w->server),
		     EV_RESPONSE);
	struct server *sv = &s->servers[w->server];

	e->a = (uint32_t)end | (not_owner ? 0x100U : 0U);
	/* The load report of the response, taken now. */
	e->b = sv->running << 16 | sv->waiting;
	e->ref = (uint64_t)(sv->pace * 1000.0);
	e->data = w;
}

static void begin_work(struct sim *s, struct work *w)
{
	const struct load_sim *l = s->load;
	struct server *sv = &s->servers[w->server];
	double ms =
		l->work_ms * lognormal(s, l->work_sigma) * sv->speed * sv->pace;

	if (in_pattern(s) && w->server < l->n_slow)
		ms *= l->slow_factor;
	sv->running++;
	push(s, s->now + (ws_us)(ms * (double)WS_MS), EV_WORK_DONE)->data = w;
}

static bool holds_key(const struct sim *s, const struct work *w)
{
	const struct try *t = &s->tries[w->try - 1];

	return !s->load->sharded ||
	       s->owner[s->callers[t->caller].key] == w->server + 1;
}

static void at_server(struct sim *s, struct work *w)
{
	struct server *sv = &s->servers[w->server];

	s->result.server_arrivals++;
	if (w->cancelled) {
		free(w);
	} else if (!holds_key(s, w)) {
		respond(s, w, WS_ED_END_SHED, true);
	} else if ((in_pattern(s) && uniform(s) < s->load->shed_share) ||
		   sv->waiting >= QUEUE_MAX) {
		s->result.shed++;
		respond(s, w, WS_ED_END_SHED, false);
	} else if (sv->running < s->load->slots) {
		begin_work(s, w);
	} else {
		if (sv->last)
			sv->last->next = w;
		else
			sv->first = w;
		sv->last = w;
		sv->waiting++;
	}
}

static void next_work(struct sim *s, struct server *sv)
{
	while (sv->first && sv->running < s->load->slots) {
		struct work *w = sv->first;

		sv->first = w->next;
		if (!sv->first)
			sv->last = NULL;
		w->next = NULL;
		sv->waiting--;
		if (w->cancelled)
			free(w);
		else if (s->now >= w->end)
			respond(s, w, WS_ED_END_SHED, false);
		else
			begin_work(s, w);
	}
}

static void work_done(struct sim *s, struct work *w)
{
	struct server *sv = &s->servers[w->server];

	sv->running--;
	if (w->cancelled)
		free(w);
	else
		respond(s, w, WS_ED_END_OK, false);
	next_work(s, sv);
}

/*
 * Machines differ by a factor of four in their usual pace. At times a noisy
 * neighbour makes a machine three times as slow for some 40 ms.
 */
static void change_pace(struct sim *s, uint32_t server)
{
	static const double usual[] = { 0.5, 0.5, 0.7, 0.7, 1.0, 1.0,
					1.0, 1.5, 0.7, 1.0, 0.5, 1.6 };
	struct server *sv = &s->servers[server];
	bool slow = sv->pace <= usual[server];
	double mean = slow ? (double)SLOW_PACE_TIME : (double)USUAL_PACE_TIME;

	sv->pace = slow ? 3.0 * usual[server] : usual[server];
	push(s, s->now + (ws_us)(exponential(s) * mean), EV_PACE)->a = server;
}

/* ===== Callers ===== */

static void count_end(struct sim *s, const struct try *t, int status,
		      bool refused)
{
	const struct caller *c = &s->callers[t->caller];
	ws_us latency = s->now + CALLER_LATENCY - c->first;

	if (!c->counted)
		return;
	if (status == 200 && latency <= s->load->objective)
		s->result.in_time++;
	else if (status == 200 && latency <= s->load->deadline)
		s->result.late++;
	else if (refused)
		s->result.refused++;
	else
		s->result.failed++;
}

static void submit(struct sim *s, uint32_t caller, ws_us delay)
{
	struct event *e = push(s, s->now + delay + CALLER_LATENCY, EV_TRY);

	e->a = caller;
	/* The platform's load balancer picks an instance in the same zone. */
	e->b = s->callers[caller].zone +
	       SIM_ZONES * (uint32_t)ws_rand_below(&s->rand,
						   SIM_INSTANCES / SIM_ZONES);
}

static void handle_refusal(struct sim *s, uint64_t id, int status,
			   ws_us retry_after)
{
	struct try *t = &s->tries[id - 1];
	struct caller *c = &s->callers[t->caller];
	ws_us left = c->first + s->load->deadline - s->now - CALLER_LATENCY;
	ws_us pause = retry_after < left / 3 ? retry_after : left / 3;

	t->open = false;
	s->result.refusals++;
	s->refused_wait += (double)(s->now - t->arrived) / 1000.0;
	if ((status == 503 || status == 429) && c->tries <= s->load->retries &&
	    left - pause > 20 * WS_MS)
		submit(s, t->caller, CALLER_LATENCY + pause);
	else
		count_end(s, t, status, status == 503 || status == 429);
}

static uint32_t draw_key(struct sim *s)
{
	/* Keys differ in their rate, and frequent keys are neighbours. */
	if (in_pattern(s) && uniform(s) < s->load->hot_share)
		return 20000 + (uint32_t)ws_rand_below(&s->rand, 60);
	return (uint32_t)(pow(uniform(s), 2.0) * (WS_ED_KEYS - 1));
}

static void next_caller(struct sim *s)
{
	const struct load_sim *l = s->load;
	double per_s = l->per_s * (in_pattern(s) && l->surge_factor > 0.0 ?
					   l->surge_factor :
					   1.0);
	struct caller *c;

	ws_grow(&s->callers, &s->cap_callers, s->n_callers + 1,
		sizeof(*s->callers));
	c = &s->callers[s->n_callers];
	*c = (struct caller){
		.first = s->now,
		.zone = (unsigned)ws_rand_below(&s->rand, SIM_ZONES),
		.key = draw_key(s),
		.counted = s->now >= start_of(l) && s->now < end_of(l),
	};
	s->result.requests += c->counted;
	submit(s, (uint32_t)s->n_callers++, 0);
	push(s, s->now + (ws_us)(exponential(s) / per_s * 1e6), EV_NEXT_CALLER);
}

/* ===== Instances ===== */

static void send(struct sim *s, uint32_t i, const struct ws_ed_effect *x)
{
	const struct ws_ed_server *to =
		&ws_edge_pool(s->edges[i])->servers[x->u.send.server];
	struct work *w = ws_alloc(1, sizeof(*w));

	w->try = x->u.send.request;
	w->lane = x->u.send.lane;
	w->instance = i;
	w->server = (uint32_t)strtoul(to->name + 1, NULL, 10);
	w->sent = s->now;
	w->end = x->u.send.deadline;
	*work_of(s, w->try, w->lane) = w;
	push(s, s->now + network_latency(s, i, w->server), EV_AT_SERVER)->data =
		w;
}

static void cancel(struct sim *s, uint64_t try, uint8_t lane)
{
	struct work **w = work_of(s, try, lane);

	if (*w)
		(*w)->cancelled = true;
	*w = NULL;
}

static void call_server(struct sim *s, uint32_t i, const struct ws_ed_effect *x)
{
	const struct ws_ed_key_call *c = &x->u.call;
	uint8_t server = (uint8_t)(strtoul(c->name + 1, NULL, 10) + 1);
	struct event *e = push(s, s->now + 2 * WS_MS, EV_KEY_CALLED);
	uint32_t k;

	for (k = c->from; k <= c->to; k++) {
		if (x->kind == WS_EDFX_GRANT)
			s->owner[k] = server;
		else if (s->owner[k] == server)
			s->owner[k] = 0;
	}
	e->a = i;
	e->ref = c->ref;
}

static void perform(struct sim *s, uint32_t i, const struct ws_ed_effect *x)
{
	struct event *e;

	switch (x->kind) {
	case WS_EDFX_SEND:
		send(s, i, x);
		break;
	case WS_EDFX_CANCEL:
		cancel(s, x->u.send.request, x->u.send.lane);
		break;
	case WS_EDFX_FORWARD:
		count_end(s, &s->tries[x->u.reply.request - 1], 200, false);
		s->tries[x->u.reply.request - 1].open = false;
		break;
	case WS_EDFX_REPLY:
		handle_refusal(s, x->u.reply.request, x->u.reply.status,
			       x->u.reply.retry_after);
		break;
	case WS_EDFX_GRANT:
	case WS_EDFX_RELEASE:
		call_server(s, i, x);
		break;
	case WS_EDFX_APPEND:
		e = push(s, s->now + APPEND_TIME, EV_APPENDED);
		e->a = i;
		e->ref = x->u.append.at;
		break;
	default:
		break;
	}
}

static void step(struct sim *s, uint32_t i, struct ws_ed_event *ev)
{
	struct ws_ed_fx fx = s->fx;
	size_t j;

	/* Performing an effect must not call step() itself. */
	fx.n = 0;
	ev->now = s->now;
	ws_edge_step(s->edges[i], ev, &fx);
	s->fx = fx;
	for (j = 0; j < fx.n; j++)
		perform(s, i, &fx.items[j]);
}

static void send_baseline(struct sim *s, uint64_t try, uint32_t i, ws_us end)
{
	struct work *w = ws_alloc(1, sizeof(*w));

	w->try = try;
	w->instance = i;
	w->server = (uint32_t)ws_rand_below(&s->rand, SIM_SERVERS);
	w->sent = s->now;
	w->end = end;
	push(s, s->now + network_latency(s, i, w->server), EV_AT_SERVER)->data =
		w;
}

static void arrive(struct sim *s, uint32_t caller, uint32_t instance)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ARRIVAL };
	struct caller *c = &s->callers[caller];
	struct ws_ed_arrival a = {
		.host = "h",
		.path = s->load->sharded ? "/k/1" : "/r/1",
		.deadline =
			c->first + s->load->deadline - s->now + CALLER_LATENCY,
		.key = (int32_t)c->key,
		.started = s->now,
	};

	c->tries++;
	ws_grow(&s->tries, &s->cap_tries, s->n_tries + 1, sizeof(*s->tries));
	s->tries[s->n_tries++] = (struct try){
		.caller = caller,
		.instance = instance,
		.arrived = s->now,
		.deadline = a.deadline,
		.open = true,
	};
	a.id = s->n_tries;
	ev.u.arrival = &a;
	if (s->load->baseline)
		send_baseline(s, a.id, instance, s->now + a.deadline);
	else
		step(s, instance, &ev);
}

static void handle_baseline_response(struct sim *s, const struct event *e)
{
	struct work *w = e->data;

	if ((e->a & 0xffU) == WS_ED_END_OK)
		count_end(s, &s->tries[w->try - 1], 200, false);
	else
		handle_refusal(s, w->try, 503, BASELINE_RETRY_AFTER);
	free(w);
}

static void handle_response(struct sim *s, const struct event *e)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_REQUEST_ENDED };
	struct work *w = e->data;

	if (!w->cancelled) {
		*work_of(s, w->try, w->lane) = NULL;
		ev.u.ending = (struct ws_ed_ending){
			.request = w->try,
			.lane = w->lane,
			.end = (enum ws_ed_end)(e->a & 0xffU),
			.not_owner = (e->a & 0x100U) != 0,
			.status = 200,
			.latency = s->now - w->sent,
			.report = { .from_server = true,
				    .known = true,
				    .running = e->b >> 16,
				    .waiting = e->b & 0xffffU,
				    .slots = s->load->slots,
				    .pace = (double)e->ref / 1000.0 },
		};
		step(s, w->instance, &ev);
	}
	free(w);
}

static void send_heartbeats(struct sim *s, uint32_t i)
{
	const struct ws_ed_peers *p = ws_edge_peers(s->edges[i]);
	struct ws_ed_beat beat = { .from = 0 };
	size_t j;

	ws_edge_beat(s->edges[i], s->now, &beat);
	snprintf(beat.address, sizeof(beat.address), "%u", i);
	for (j = 0; j < p->n; j++) {
		struct event *e;

		if (!ws_edge_beat_for(s->edges[i], &p->members[j], &beat))
			continue;
		e = push(s, s->now + WS_MS, EV_HEARTBEAT);
		e->a = (uint32_t)strtoul(p->members[j].address, NULL, 10);
		e->data = ws_alloc(1, sizeof(beat));
		memcpy(e->data, &beat, sizeof(beat));
		((struct ws_ed_beat *)e->data)->map =
			(struct ws_ed_map){ .n = 0 };
		if (ws_edge_should_send_map(s->edges[i], s->now,
					    &p->members[j]) &&
		    !ws_edge_beat_map(s->edges[i], &p->members[j], 0, &beat) &&
		    beat.map_part) {
			struct ws_ed_beat *copy = ws_alloc(1, sizeof(beat));

			e = push(s, s->now + WS_MS, EV_HEARTBEAT);
			e->a = (uint32_t)strtoul(p->members[j].address, NULL,
						 10);
			memcpy(copy, &beat, sizeof(beat));
			copy->map = (struct ws_ed_map){ .n = 0 };
			ws_ed_map_copy(&copy->map, &beat.map);
			e->data = copy;
		}
	}
	ws_ed_map_free(&beat.map);
	push(s, s->now + ws_ed_peers_period(p), EV_HEARTBEAT_DUE)->a = i;
}

static void handle_heartbeat(struct sim *s, const struct event *e)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	struct ws_ed_beat *beat = e->data;

	ev.u.beat = beat;
	step(s, e->a, &ev);
	ws_ed_map_free(&beat->map);
	free(beat);
}

/* Reads of the store succeed at once. */
static void read_topics(struct sim *s, uint32_t i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	ev.u.sync.started = s->now;
	ev.u.sync.end = 1;
	ev.u.sync.topic = WS_EDT_CONFIG;
	step(s, i, &ev);
	ev.u.sync.topic = WS_EDT_SERVERS;
	step(s, i, &ev);
}

static void tick(struct sim *s, uint32_t i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_TICK };

	step(s, i, &ev);
	if (s->now / TICK % 10 == 0)
		read_topics(s, i);
	push(s, s->now + TICK, EV_TICK)->a = i;
}

static void key_called(struct sim *s, const struct event *e)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_KEY_CALLED };

	ev.u.key_called.ref = e->ref;
	ev.u.key_called.end = WS_EDC_DONE;
	ev.u.key_called.handover = "t";
	step(s, e->a, &ev);
}

static void appended(struct sim *s, const struct event *e)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_APPENDED };

	ev.u.appended.at = e->ref;
	ev.u.appended.started = s->now - APPEND_TIME;
	ev.u.appended.end = e->ref == s->map_end ? WS_EDA_DONE :
						   WS_EDA_CONFLICT;
	s->map_end += e->ref == s->map_end;
	step(s, e->a, &ev);
}

/* ===== Run ===== */

static ws_id instance_id(uint32_t i)
{
	return 100 + i;
}

static void add_members(struct sim *s, uint32_t i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };
	char address[16];
	uint32_t j;

	for (j = 0; j < SIM_INSTANCES; j++) {
		snprintf(address, sizeof(address), "%u", j);
		ev.u.member = (struct ws_ed_member_entry){
			.id = instance_id(j),
			.zone = 1 + j % SIM_ZONES,
			.address = address,
		};
		step(s, i, &ev);
	}
	ev.kind = WS_EDEV_MEMBERS_READ;
	step(s, i, &ev);
}

static void list_servers(struct sim *s, uint32_t i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	uint32_t j;

	for (j = 0; j < SIM_SERVERS; j++) {
		struct ws_ed_listing l = {
			.service = ws_ed_id("svc"),
			.zone = 1 + s->servers[j].zone,
			.slots = s->load->slots,
		};

		memcpy(l.name, s->servers[j].name, sizeof(s->servers[j].name));
		memcpy(l.address, l.name, sizeof(l.address));
		ev.u.listing = &l;
		step(s, i, &ev);
	}
}

static void start_edge(struct sim *s, uint32_t i)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct ws_ed_event map = { .kind = WS_EDEV_MAP_READ_DONE };
	const struct ws_ed_settings set = {
		.self = instance_id(i),
		.incarnation = 1 + i,
		.zone = 1 + i % SIM_ZONES,
		.seed = s->load->seed * 100 + i,
		.now = s->now,
		.max_calls = 2000,
		.bounds = { .key_evidence_max = 4600 * WS_MS,
			    .retry_ratio = 0.2,
			    .retry_slack = 60.0,
			    .rate_slack = 20.0 },
	};
	char text[600];
	int n = snprintf(
		text, sizeof(text),
		"{\"version\":\"00000001\",\"services\":[{\"name\":\"svc\","
		"\"max_connections\":500%s}],\"virtual_hosts\":[{\"host\":"
		"\"h\",\"path_rules\":[{\"name\":\"r\",\"path_prefix\":\"%s\","
		"\"kind\":\"idempotent\",\"timeout_s\":%.3f,"
		"\"target_latency_s\":%.3f,\"service\":\"svc\","
		"\"max_attempts\":2}]}]}",
		s->load->sharded ? ",\"sharded\":true" : "",
		s->load->sharded ? "/k/" : "/r/",
		(double)s->load->deadline / 1e6,
		(double)s->load->objective / 1e6);

	s->edges[i] = ws_edge_new(&set);
	ev.u.config = wp_decode_config(text, (size_t)n, NULL);
	ck_assert_ptr_nonnull(ev.u.config);
	step(s, i, &ev);
	map.u.map.started = s->now;
	step(s, i, &map);
	read_topics(s, i);
	add_members(s, i);
	list_servers(s, i);
	push(s, s->now + TICK + (ws_us)i * 100, EV_TICK)->a = i;
	push(s, s->now + (ws_us)i * 7 * WS_MS, EV_HEARTBEAT_DUE)->a = i;
}

static void start(struct sim *s, const struct load_sim *load)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->load = load;
	ws_rand_seed(&s->rand, load->seed);
	for (i = 0; i < SIM_SERVERS; i++) {
		struct server *sv = &s->servers[i];

		snprintf(sv->name, sizeof(sv->name), "s%u", i);
		sv->zone = i % SIM_ZONES;
		sv->speed = 0.85 + 0.3 * uniform(s);
		change_pace(s, i);
	}
	for (i = 0; i < SIM_INSTANCES; i++)
		start_edge(s, i);
	push(s, s->now + 3 * WS_SECOND, EV_NEXT_CALLER);
}

static void handle(struct sim *s, const struct event *e)
{
	switch (e->kind) {
	case EV_TRY:
		arrive(s, e->a, e->b);
		break;
	case EV_AT_SERVER:
		at_server(s, e->data);
		break;
	case EV_WORK_DONE:
		work_done(s, e->data);
		break;
	case EV_RESPONSE:
		if (s->load->baseline)
			handle_baseline_response(s, e);
		else
			handle_response(s, e);
		break;
	case EV_HEARTBEAT:
		handle_heartbeat(s, e);
		break;
	case EV_TICK:
		tick(s, e->a);
		break;
	case EV_HEARTBEAT_DUE:
		send_heartbeats(s, e->a);
		break;
	case EV_PACE:
		change_pace(s, e->a);
		break;
	case EV_NEXT_CALLER:
		next_caller(s);
		break;
	case EV_KEY_CALLED:
		key_called(s, e);
		break;
	default:
		appended(s, e);
		break;
	}
}

/* Frees what an event holds that is still due at the end. */
static void free_event(const struct event *e)
{
	if (e->kind == EV_HEARTBEAT)
		ws_ed_map_free(&((struct ws_ed_beat *)e->data)->map);
	free(e->data);
}

static void free_queue(struct server *sv)
{
	while (sv->first) {
		struct work *w = sv->first;

		sv->first = w->next;
		free(w);
	}
}

static void stop(struct sim *s)
{
	size_t i;

	for (i = 0; i < s->n_heap; i++)
		free_event(&s->heap[i]);
	for (i = 0; i < SIM_SERVERS; i++)
		free_queue(&s->servers[i]);
	for (i = 0; i < SIM_INSTANCES; i++)
		ws_edge_free(s->edges[i]);
	free(s->heap);
	free(s->callers);
	free(s->tries);
	free(s->works);
	ws_ed_fx_free(&s->fx);
}

struct load_result load_sim_run(const struct load_sim *load)
{
	static struct sim s;
	struct load_result r;

	start(&s, load);
	while (s.n_heap && s.heap[0].at < load->length + DRAIN_TIME) {
		struct event e = pop(&s);

		s.now = e.at;
		if (e.kind == EV_NEXT_CALLER && s.now >= load->length)
			continue;
		handle(&s, &e);
	}
	r = s.result;
	r.score = ((double)r.in_time + LATE_SCORE * r.late) / r.requests;
	r.refused_wait_ms = s.refused_wait / (r.refusals + 1.0);
	stop(&s);
	return r;
}

void load_sim_print(const char *name, const struct load_result *r)
{
	printf("%s: requests %u, in time %.1f %%, late %.1f %%, refused %.1f %%, "
	       "failed %.1f %%, score %.3f; servers rejected %.1f %% of %u\n",
	       name, r->requests, 100.0 * r->in_time / r->requests,
	       100.0 * r->late / r->requests, 100.0 * r->refused / r->requests,
	       100.0 * r->failed / r->requests, r->score,
	       100.0 * r->shed / (r->server_arrivals + 1.0),
	       r->server_arrivals);
}
