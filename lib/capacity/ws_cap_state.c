#include "capacity/ws_cap_internal.h"

#include <stdlib.h>

#include "core/ws_adm.h"
#include "core/ws_idem.h"

/* Admission by instances and customers, request ids by number. */

#define TICK (10 * WS_MS)
#define TICKS 200
#define MEMORY_TICKS 30
/* Requests at one instance in one tick: 10,000 a second. */
#define ARRIVALS 100
#define CUSTOMER_ID 5000

/* ===== Admission ===== */

struct frontend {
	struct ws_cap_fleet fleet;
	struct ws_customer *customers;
	size_t n_customers;
	struct ws_adm *adm;
	struct ws_fx fx;
	uint64_t next;
};

/* An instance without partitions, which pulls each token that it spends. */
static void frontend_init(struct frontend *x, size_t instances,
			  size_t customers)
{
	ws_id *holder = ws_alloc(CAP_PARTITIONS, sizeof(*holder));
	size_t i;

	*x = (struct frontend){ .n_customers = customers };
	ws_cap_fleet_init(&x->fleet, instances, 16, 16, CAP_PARTITIONS);
	x->customers = ws_alloc(customers, sizeof(*x->customers));
	for (i = 0; i < customers; i++)
		x->customers[i] = (struct ws_customer){
			.id = CUSTOMER_ID + i,
			.rate = (uint32_t)(CAP_REQUESTS_PER_SECOND /
					   (double)customers),
			.burst = (uint32_t)(CAP_REQUESTS_PER_SECOND /
					    (double)customers),
			.weight = 1,
		};
	x->fleet.bundle.customers = x->customers;
	x->fleet.bundle.n_customers = customers;
	for (i = 0; i < CAP_PARTITIONS; i++)
		holder[i] = CAP_FIRST_INSTANCE_ID + 2 + i % (instances - 2);
	x->adm = ws_adm_new(x->fleet.view.self, 1);
	ws_adm_set_holders(x->adm, holder, CAP_PARTITIONS);
	free(holder);
}

static void frontend_free(struct frontend *x)
{
	ws_adm_free(x->adm);
	ws_cap_fleet_free(&x->fleet);
	ws_fx_free(&x->fx);
	free(x->customers);
}

static void give(struct frontend *x, const struct ws_effect *e)
{
	struct ws_msg msg = { .kind = WS_MSG_TOKEN_GIVE };

	if (e->kind != WS_FX_SEND || e->u.send.msg.kind != WS_MSG_TOKEN_ASK)
		return;
	msg.u.token = e->u.send.msg.u.token;
	msg.u.token.balance = 100000;
	ws_adm_msg(x->adm, &x->fx, x->fleet.now, e->u.send.to, &msg,
		   &x->fleet.view);
}

static void frontend_tick(struct frontend *x)
{
	struct ws_call call = { .deadline = x->fleet.now + WS_SECOND };
	struct ws_fx done;
	size_t i;

	x->fleet.now += TICK;
	for (i = 0; i < ARRIVALS; i++) {
		call.customer = CUSTOMER_ID + x->next % x->n_customers;
		ws_adm_request(x->adm, &x->fx, x->fleet.now, ++x->next, &call,
			       &x->fleet.view);
	}
	ws_adm_tick(x->adm, &x->fx, x->fleet.now, &x->fleet.view);
	done = x->fx;
	x->fx = (struct ws_fx){ .items = NULL };
	for (i = 0; i < done.n; i++)
		give(x, &done.items[i]);
	ws_fx_free(&done);
}

static double admission_memory(size_t instances)
{
	struct frontend x;
	double before;
	double used;
	size_t i;

	frontend_init(&x, instances, CAP_CUSTOMERS);
	before = ws_cap_allocated_bytes();
	for (i = 0; i < MEMORY_TICKS; i++)
		frontend_tick(&x);
	ws_fx_free(&x.fx);
	used = ws_cap_allocated_bytes() - before;
	frontend_free(&x);
	return used;
}

static double admission_asks(size_t customers)
{
	struct frontend x;
	uint64_t asks;
	size_t i;

	frontend_init(&x, CAP_INSTANCES, customers);
	for (i = 0; i < TICKS; i++)
		frontend_tick(&x);
	asks = ws_adm_stats(x.adm)->asks;
	frontend_free(&x);
	return (double)asks * 1e6 / (TICKS * TICK);
}

static double one_second(size_t instances, size_t customers)
{
	struct frontend x;
	double start;
	size_t i;

	frontend_init(&x, instances, customers);
	start = ws_cap_cpu_seconds();
	for (i = 0; i < TICKS; i++)
		frontend_tick(&x);
	start = ws_cap_cpu_seconds() - start;
	frontend_free(&x);
	return start * 1e12 / (TICKS * TICK);
}

static double admission_cpu(size_t customers)
{
	return one_second(CAP_INSTANCES, customers);
}

static double admission_peers(size_t instances)
{
	return one_second(instances, CAP_FRONTEND_CUSTOMERS);
}

/* ===== Request ids ===== */

#define WALL_MS 1700000000000

static double idem_memory(size_t ids)
{
	struct ws_assignment part = { .res = { .kind = WS_RES_PARTITION },
				      .holder = { .id = 1 },
				      .fence = 1,
				      .active = true };
	struct ws_call call = { .deadline = WS_SECOND, .customer = 3 };
	struct ws_answer answer = { .outcome = WS_OUT_DONE, .status = 200 };
	struct ws_fx fx = { .items = NULL };
	double before = ws_cap_allocated_bytes();
	struct ws_idem *d = ws_idem_new(ids, ids);
	double used;
	size_t i;

	ws_idem_assigned(d, WALL_MS - 60000, 0, 1, 0);
	for (i = 0; i < ids; i++) {
		call.request_id[0] = (uint64_t)WALL_MS << 16 | 0x7000;
		call.request_id[1] = (uint64_t)2 << 62 | i;
		ws_idem_begin(d, &fx, 0, WALL_MS, i + 1, &call, &part);
		ws_idem_finish(d, &fx, 0, i + 1, &answer);
		ws_fx_clear(&fx);
	}
	WS_INVARIANT(ws_idem_count(d) == ids);
	ws_fx_free(&fx);
	used = ws_cap_allocated_bytes() - before;
	ws_idem_free(d);
	return used;
}

void ws_cap_measure_state(struct ws_cap_results *r)
{
	static const size_t instances[] = { 100, 400, 1600 };
	static const size_t peers[] = { 50, 200, 1600 };
	static const size_t customers[] = { 8, 16, 32, 64 };
	/* Above about 24 customers the bound of pulls a second decides. */
	static const size_t few[] = { 2, 4, 8, 16 };
	static const size_t ids[] = { 16384, 131072, 1048576 };

	ws_cap_measure_series(r, WS_CAP_ADM_MEM, instances, 3,
			      admission_memory);
	ws_cap_measure_series(r, WS_CAP_ADM_PULLS, few, 4, admission_asks);
	ws_cap_measure_series(r, WS_CAP_ADM_CPU_BY_CUSTOMERS, customers, 4,
			      admission_cpu);
	ws_cap_measure_series(r, WS_CAP_ADM_CPU_BY_INSTANCES, peers, 3,
			      admission_peers);
	ws_cap_measure_series(r, WS_CAP_IDEM_MEM, ids, 3, idem_memory);
}
