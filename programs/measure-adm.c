#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/ws_adm.h"
#include "core/ws_idem.h"

/*
 * Measures rate limiting and the table of request ids, and prints CSV lines
 * "measure,scenario,parameter,value". A fleet of instances is simulated in
 * virtual time over a network with delays and without faults. The same arrivals
 * are counted for two ways to share a customer's rate: instances that ask each
 * other for tokens, and a static division of the rate by the number of
 * instances ("static_..."). A refusal is wrongful if a single token bucket for
 * the whole fleet would have admitted the request.
 */

#define PARTITIONS 24
#define MAX_NODES 200
#define CUSTOMERS 8
#define WARM_UP (2 * WS_SECOND)
#define RENEWAL_PERIOD (250 * WS_MS)
#define LEASE_TIME (1200 * WS_MS)
/* From the loss of an instance until others use its partitions. */
#define TAKEOVER_TIME (2300 * WS_MS)

static const uint32_t rates[CUSTOMERS] = {
	2000, 1000, 500, 200, 100, 50, 20, 10
};

/* ===== Events in virtual time ===== */

enum event_kind { ARRIVAL, MESSAGE, TICK, RENEW, REPLACE };

struct event {
	ws_us at;
	enum event_kind kind;
	size_t node; /* ARRIVAL: customer; REPLACE: phase of on_replace() */
	ws_id from;
	struct ws_msg msg;
};

struct heap {
	struct event *items;
	size_t n;
	size_t cap;
};

static void swap_events(struct event *a, struct event *b)
{
	struct event t = *a;

	*a = *b;
	*b = t;
}

static void push(struct heap *h, const struct event *e)
{
	size_t i = h->n;

	ws_grow(&h->items, &h->cap, h->n + 1, sizeof(*h->items));
	h->items[h->n++] = *e;
	for (; i && h->items[i].at < h->items[(i - 1) / 2].at; i = (i - 1) / 2)
		swap_events(&h->items[i], &h->items[(i - 1) / 2]);
}

static struct event pop(struct heap *h)
{
	struct event first = h->items[0];
	size_t i = 0;
	size_t k;

	h->items[0] = h->items[--h->n];
	while ((k = 2 * i + 1) < h->n) {
		if (k + 1 < h->n && h->items[k + 1].at < h->items[k].at)
			k++;
		if (h->items[i].at <= h->items[k].at)
			break;
		swap_events(&h->items[i], &h->items[k]);
		i = k;
	}
	return first;
}

/* ===== Fleet ===== */

struct bucket {
	double level;
	ws_us at;
};

struct counts {
	uint64_t requests, refused, wrongful, waited;
	uint64_t static_refused, static_wrongful;
};

struct request {
	bool admitted_globally;
	size_t customer;
	bool counted;
};

struct fleet {
	struct ws_rand r;
	struct heap heap;
	ws_us now;
	size_t n;
	struct ws_adm *adm[MAX_NODES];
	ws_id id[MAX_NODES];
	struct ws_instance inst[MAX_NODES];
	struct ws_view view;
	struct ws_bundle bundle;
	struct ws_customer customers[CUSTOMERS];
	struct bucket global[CUSTOMERS]; /* one for the whole fleet */
	struct bucket fixed[CUSTOMERS][MAX_NODES]; /* static division */
	struct counts counts[CUSTOMERS];
	struct request *requests;
	size_t n_requests;
	size_t cap_requests;
	size_t holder[PARTITIONS]; /* node; MAX_NODES: none */
	ws_offset fence[PARTITIONS];
	double load; /* arrivals as a share of the customers' rates */
	unsigned hot; /* percent of arrivals at node 0 */
	uint64_t messages;
};

static double uniform(struct fleet *f)
{
	return ((double)(ws_rand_next(&f->r) >> 11) + 0.5) / 9007199254740992.0;
}

static bool take_token(struct bucket *b, ws_us now, double rate, double burst)
{
	b->level += (double)(now - b->at) * rate / 1e6;
	b->at = now;
	if (b->level > burst)
		b->level = burst;
	if (b->level < 1)
		return false;
	b->level -= 1;
	return true;
}

static void apply_effects(struct fleet *f, size_t node, struct ws_fx *fx)
{
	struct event e = { .kind = MESSAGE, .from = f->id[node] };
	const struct request *q;
	size_t i;
	size_t k;

	for (i = 0; i < fx->n; i++) {
		const struct ws_effect *x = &fx->items[i];

		if (x->kind == WS_FX_ADMIT_REFUSED) {
			q = &f->requests[x->u.reply.id];
			if (!q->counted)
				continue;
			f->counts[q->customer].refused++;
			f->counts[q->customer].wrongful += q->admitted_globally;
		} else if (x->kind == WS_FX_SEND) {
			for (k = 0; k < f->n && f->id[k] != x->u.send.to;)
				k++;
			f->messages++;
			if (k == f->n)
				continue;
			e.at = f->now + 500 + (ws_us)ws_rand_below(&f->r, 1500);
			e.node = k;
			e.msg = x->u.send.msg;
			push(&f->heap, &e);
		}
	}
	ws_fx_clear(fx);
}

static void renew_partitions(struct fleet *f, size_t node)
{
	uint32_t index[PARTITIONS];
	ws_offset fence[PARTITIONS];
	ws_id holder[PARTITIONS] = { 0 };
	size_t n = 0;
	uint32_t p;

	for (p = 0; p < PARTITIONS; p++) {
		if (f->holder[p] < MAX_NODES)
			holder[p] = f->id[f->holder[p]];
		if (f->holder[p] != node)
			continue;
		index[n] = p;
		fence[n++] = f->fence[p];
	}
	ws_adm_set_partitions(f->adm[node], f->now, index, fence, n,
			      f->now + LEASE_TIME);
	ws_adm_set_holders(f->adm[node], holder, PARTITIONS);
}

static void start_node(struct fleet *f, size_t node, ws_id id)
{
	struct event e = { .at = f->now, .node = node };

	f->id[node] = id;
	f->adm[node] = ws_adm_new(id, 1);
	f->inst[node] = (struct ws_instance){ .id = id, .alive = true };
	e.kind = RENEW;
	push(&f->heap, &e);
	e.kind = TICK;
	e.at += (ws_us)ws_rand_below(&f->r, 10 * WS_MS);
	push(&f->heap, &e);
}

static ws_us next_interarrival(struct fleet *f, size_t c)
{
	return (ws_us)(-log(uniform(f)) * 1e6 / (f->load * rates[c])) + 1;
}

static void start_fleet(struct fleet *f, size_t n, double load, unsigned hot,
			double burst_seconds)
{
	struct event e = { .kind = ARRIVAL };
	size_t i;

	memset(f, 0, sizeof(*f));
	ws_rand_seed(&f->r, 7);
	f->n = n;
	f->load = load;
	f->hot = hot;
	for (i = 0; i < CUSTOMERS; i++) {
		f->customers[i].id = i + 1;
		f->customers[i].rate = rates[i];
		f->customers[i].burst = (uint32_t)(rates[i] * burst_seconds);
		if (f->customers[i].burst < 2)
			f->customers[i].burst = 2;
		e.at = next_interarrival(f, i);
		e.node = i;
		push(&f->heap, &e);
	}
	f->bundle.version = 1;
	f->bundle.partitions = PARTITIONS;
	f->bundle.n_customers = CUSTOMERS;
	f->bundle.customers = f->customers;
	for (i = 0; i < PARTITIONS; i++) {
		f->holder[i] = i % n;
		f->fence[i] = 1;
	}
	f->view.bundle = &f->bundle;
	f->view.instances = f->inst;
	f->view.n_instances = n;
	for (i = 0; i < n; i++)
		start_node(f, i, 10 * (i + 1));
}

static void free_fleet(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		ws_adm_free(f->adm[i]);
	free(f->heap.items);
	free(f->requests);
}

static void on_arrival(struct fleet *f, size_t c)
{
	const struct ws_customer *k = &f->customers[c];
	struct ws_call call = { .customer = c + 1 };
	struct event e = { .at = f->now + next_interarrival(f, c), .node = c };
	struct ws_fx fx = { 0 };
	struct request *q;
	size_t node = 0;
	bool fixed;

	push(&f->heap, &e);
	if (ws_rand_below(&f->r, 100) >= f->hot)
		node = f->hot ? 1 + ws_rand_below(&f->r, f->n - 1) :
				ws_rand_below(&f->r, f->n);
	ws_grow(&f->requests, &f->cap_requests, f->n_requests + 1,
		sizeof(*f->requests));
	q = &f->requests[f->n_requests];
	q->customer = c;
	q->counted = f->now >= WARM_UP;
	q->admitted_globally =
		take_token(&f->global[c], f->now, k->rate, k->burst);
	fixed = take_token(&f->fixed[c][node], f->now,
			   (double)k->rate / (double)f->n,
			   (double)k->burst / (double)f->n);
	if (q->counted) {
		f->counts[c].requests++;
		f->counts[c].static_refused += !fixed;
		f->counts[c].static_wrongful += !fixed && q->admitted_globally;
	}
	ws_adm_request(f->adm[node], &fx, f->now, f->n_requests++, &call,
		       &f->view);
	if (q->counted && (!fx.n || fx.items[0].kind == WS_FX_SEND))
		f->counts[c].waited++;
	apply_effects(f, node, &fx);
	ws_fx_free(&fx);
}

/*
 * Phase 0: node 1 is lost and a new instance without partitions starts in its
 * place. Phase 1: the others learn of the new instance. Phase 2: the lost
 * instance's partitions get new holders.
 */
static void on_replace(struct fleet *f, size_t phase)
{
	size_t node = 1;
	size_t p;

	if (phase == 1) {
		f->inst[node].id = f->id[node];
		return;
	}
	if (phase == 2) {
		for (p = 0; p < PARTITIONS; p++)
			if (f->holder[p] == MAX_NODES) {
				f->holder[p] = p % f->n;
				f->fence[p]++;
			}
		for (p = 0; p < f->n; p++)
			renew_partitions(f, p);
		return;
	}
	for (p = 0; p < PARTITIONS; p++)
		if (f->holder[p] == node)
			f->holder[p] = MAX_NODES;
	ws_adm_free(f->adm[node]);
	f->id[node] += 5; /* still below the next node's: ids stay sorted */
	f->adm[node] = ws_adm_new(f->id[node], 1);
}

static void run_fleet(struct fleet *f, ws_us end, ws_us replace_at)
{
	struct event e = { .kind = REPLACE };
	struct ws_fx fx = { 0 };

	if (replace_at) {
		e.at = replace_at;
		push(&f->heap, &e);
		e.at = replace_at + WS_INSTANCE_SUSPECT_AFTER;
		e.node = 1;
		push(&f->heap, &e);
		e.at = replace_at + TAKEOVER_TIME;
		e.node = 2;
		push(&f->heap, &e);
	}
	while (f->heap.items[0].at < end) {
		e = pop(&f->heap);
		f->now = e.at;
		switch (e.kind) {
		case ARRIVAL:
			on_arrival(f, e.node);
			break;
		case MESSAGE:
			ws_adm_msg(f->adm[e.node], &fx, f->now, e.from, &e.msg,
				   &f->view);
			apply_effects(f, e.node, &fx);
			break;
		case TICK:
			ws_adm_tick(f->adm[e.node], &fx, f->now, &f->view);
			apply_effects(f, e.node, &fx);
			e.at += 10 * WS_MS;
			push(&f->heap, &e);
			break;
		case RENEW:
			renew_partitions(f, e.node);
			e.at += RENEWAL_PERIOD;
			push(&f->heap, &e);
			break;
		case REPLACE:
			on_replace(f, e.node);
			break;
		}
	}
	ws_fx_free(&fx);
}

/* ===== Reports ===== */

static void report(const struct fleet *f, const char *name, ws_us end)
{
	double seconds = (double)end / 1e6;
	struct counts sum = { 0 };
	uint64_t asks = 0;
	uint64_t most = 0;
	uint64_t expired = 0;
	size_t i;

	for (i = 0; i < CUSTOMERS; i++) {
		const struct counts *c = &f->counts[i];

		printf("wrongful_percent,%s,rate_%u_burst_%u,%.4f\n", name,
		       f->customers[i].rate, f->customers[i].burst,
		       100.0 * (double)c->wrongful / (double)c->requests);
		printf("waited_percent,%s,rate_%u_burst_%u,%.3f\n", name,
		       f->customers[i].rate, f->customers[i].burst,
		       100.0 * (double)c->waited / (double)c->requests);
		sum.requests += c->requests;
		sum.refused += c->refused;
		sum.wrongful += c->wrongful;
		sum.waited += c->waited;
		sum.static_refused += c->static_refused;
		sum.static_wrongful += c->static_wrongful;
	}
	for (i = 0; i < f->n; i++) {
		const struct ws_adm_stats *s = ws_adm_stats(f->adm[i]);

		asks += s->asks;
		expired += s->expired_milli;
		if (s->asks + s->gives > most)
			most = s->asks + s->gives;
	}
	printf("requests,%s,all,%llu\n", name,
	       (unsigned long long)sum.requests);
	printf("refused_percent,%s,all,%.4f\n", name,
	       100.0 * (double)sum.refused / (double)sum.requests);
	printf("wrongful_percent,%s,all,%.4f\n", name,
	       100.0 * (double)sum.wrongful / (double)sum.requests);
	printf("waited_percent,%s,all,%.3f\n", name,
	       100.0 * (double)sum.waited / (double)sum.requests);
	printf("static_refused_percent,%s,all,%.4f\n", name,
	       100.0 * (double)sum.static_refused / (double)sum.requests);
	printf("static_wrongful_percent,%s,all,%.4f\n", name,
	       100.0 * (double)sum.static_wrongful / (double)sum.requests);
	printf("messages_per_second,%s,mean_of_instances,%.1f\n", name,
	       (double)f->messages / seconds / (double)f->n);
	printf("messages_per_second,%s,busiest_instance,%.1f\n", name,
	       (double)most / seconds);
	printf("asks_per_second,%s,fleet,%.1f\n", name, (double)asks / seconds);
	printf("expired_tokens_per_second,%s,fleet,%.2f\n", name,
	       (double)expired / 1000 / seconds);
}

static void fleet_scenario(const char *name, size_t n, double load,
			   unsigned hot, double burst_seconds, ws_us replace_at)
{
	struct fleet *f = ws_alloc(1, sizeof(*f));
	ws_us end = 32 * WS_SECOND;

	start_fleet(f, n, load, hot, burst_seconds);
	run_fleet(f, end, replace_at);
	report(f, name, end);
	free_fleet(f);
	free(f);
}

static double seconds_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Measures the throughput of ws_adm_request() with tokens available. */
static void request_speed(size_t parts)
{
	struct fleet *f = ws_alloc(1, sizeof(*f));
	struct ws_fx fx = { 0 };
	struct ws_call call = { 0 };
	uint64_t n = 2000000;
	double start;
	uint64_t i;

	start_fleet(f, PARTITIONS / parts, 0.9, 0, 0.5);
	for (i = 0; i < CUSTOMERS; i++) {
		f->customers[i].rate = 4000000;
		f->customers[i].burst = 4000000;
	}
	renew_partitions(f, 0);
	ws_adm_tick(f->adm[0], &fx, 0, &f->view);
	start = seconds_now();
	for (i = 0; i < n; i++) {
		f->now = WS_SECOND + (ws_us)i / 2;
		call.customer = 1 + i % CUSTOMERS;
		if (i % 20000 == 0)
			renew_partitions(f, 0);
		ws_adm_request(f->adm[0], &fx, f->now, i, &call, &f->view);
		ws_fx_clear(&fx);
	}
	printf("requests_per_second,one_core,partitions_held_%zu,%.0f\n", parts,
	       (double)n / (seconds_now() - start));
	printf("admitted_percent,one_core,partitions_held_%zu,%.2f\n", parts,
	       100.0 * (double)ws_adm_stats(f->adm[0])->admitted / (double)n);
	ws_fx_free(&fx);
	free_fleet(f);
	free(f);
}

static void customer_memory(size_t parts)
{
	struct ws_customer *customers = ws_alloc(10000, sizeof(*customers));
	struct ws_bundle bundle = { .partitions = PARTITIONS };
	struct ws_view view = { .bundle = &bundle };
	struct ws_adm *a = ws_adm_new(1, 1);
	ws_id holder[PARTITIONS] = { 0 };
	uint32_t index[PARTITIONS];
	ws_offset fence[PARTITIONS];
	struct ws_fx fx = { 0 };
	size_t before;
	size_t i;

	for (i = 0; i < 10000; i++)
		customers[i].id = i + 1;
	for (i = 0; i < PARTITIONS; i++) {
		index[i] = (uint32_t)i;
		fence[i] = 1;
		holder[i] = 1 + i / parts;
	}
	bundle.customers = customers;
	bundle.n_customers = 10000;
	before = heap_bytes();
	ws_adm_set_partitions(a, 0, index, fence, parts, 0);
	ws_adm_set_holders(a, holder, PARTITIONS);
	ws_adm_tick(a, &fx, 0, &view);
	printf("bytes_per_customer,memory,partitions_held_%zu_of_24,%.0f\n",
	       parts, (double)(heap_bytes() - before) / 10000);
	ws_fx_free(&fx);
	ws_adm_free(a);
	free(customers);
}

static void id_memory_and_speed(void)
{
	struct ws_idem *d = ws_idem_new(200000, 1000);
	struct ws_assignment part = { .res = { .kind = WS_RES_PARTITION },
				      .fence = 1 };
	struct ws_answer answer = { .outcome = WS_OUT_DONE, .status = 200 };
	struct ws_call call = { .customer = 1 };
	struct ws_fx fx = { 0 };
	size_t before = heap_bytes();
	double start = seconds_now();
	uint64_t i;

	ws_idem_assigned(d, 1000000, 0, 1, 0);
	call.request_id[0] = (uint64_t)1000000 << 16 | 0x7000;
	for (i = 0; i < 200000; i++) {
		call.request_id[1] = 2ULL << 62 | i;
		ws_idem_begin(d, &fx, 0, 1000000, i, &call, &part);
		ws_idem_finish(d, &fx, 0, i, &answer);
		ws_fx_clear(&fx);
	}
	printf("ids_per_second,one_core,begin_and_finish,%.0f\n",
	       200000 / (seconds_now() - start));
	printf("bytes_per_id,memory,200000_ids,%.0f\n",
	       (double)(heap_bytes() - before) / 200000);
	ws_fx_free(&fx);
	ws_idem_free(d);
}

int main(void)
{
	printf("measure,scenario,parameter,value\n");
	request_speed(2);
	request_speed(24);
	customer_memory(2);
	customer_memory(24);
	id_memory_and_speed();
	fleet_scenario("skew80_load90_10_burst1s", 10, 0.9, 80, 1, 0);
	fleet_scenario("skew80_load90_10_burst250ms", 10, 0.9, 80, 0.25, 0);
	fleet_scenario("skew80_load90_10_burst100ms", 10, 0.9, 80, 0.1, 0);
	fleet_scenario("skew80_load90_10_burst1s_replaced", 10, 0.9, 80, 1,
		       12 * WS_SECOND);
	fleet_scenario("skew80_load90_50_burst1s", 50, 0.9, 80, 1, 0);
	fleet_scenario("skew80_load90_200_burst1s", 200, 0.9, 80, 1, 0);
	fleet_scenario("even_load90_10_burst1s", 10, 0.9, 0, 1, 0);
	fleet_scenario("skew80_load500_10_burst1s", 10, 5, 80, 1, 0);
	return 0;
}
