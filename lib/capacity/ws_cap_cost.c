#include "capacity/ws_cap_cost.h"

#include <math.h>

/* Rows of the tables of roles. */

double ws_cap_cost_at(const struct ws_cap_results *r, enum ws_cap_series_id id,
		      double x)
{
	return ws_cap_fit_at(&r->series[id], x);
}

double ws_cap_cost_at_largest(const struct ws_cap_results *r,
			      enum ws_cap_series_id id)
{
	const struct ws_cap_series *s = &r->series[id];

	return s->points[s->n - 1].y;
}

double ws_cap_doubled_capacity(double n)
{
	double cap = 8;

	while (cap < n)
		cap *= 2;
	return cap;
}

void ws_cap_cost_add(struct ws_cap_cost *sum, const struct ws_cap_cost *c)
{
	sum->messages += c->messages;
	sum->net += c->net;
	sum->cpu += c->cpu;
	sum->mem += c->mem;
}

static double worst_factor(const struct ws_cap_cost *c)
{
	double f = c->net / CAP_LIMIT_NET_BYTES_PER_SECOND;

	f = fmax(f, c->cpu / CAP_LIMIT_CPU_CORES);
	return fmax(f, c->mem / CAP_LIMIT_MEM_BYTES);
}

void ws_cap_cost_table_header(struct ws_cap_text *out)
{
	ws_cap_printf(out, "| role | state and messages | mechanism | "
			   "messages/s | KB/s | core %% | MB | verdict |\n"
			   "|---|---|---|---|---|---|---|---|\n");
}

void ws_cap_cost_table_row(struct ws_cap_text *out, const char *role,
			   const char *what, const char *mechanism,
			   const struct ws_cap_cost *c)
{
	double f = worst_factor(c);

	ws_cap_printf(out, "| %s | %s | %s | %.1f | %.1f | %.2f | %.1f | ",
		      role, what, mechanism, c->messages, c->net / 1e3,
		      c->cpu * 100, c->mem / 1e6);
	if (f > 1)
		ws_cap_printf(out, "misses by %.1f |\n", f);
	else
		ws_cap_printf(out, "%.2f of the limit |\n", f);
}
