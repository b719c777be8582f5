#include "bench/ws_bench.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
static const char *const quantile_names[] = { "p50", "p90", "p99", "p999" };

#define N_QUANTILES (sizeof(quantiles) / sizeof(quantiles[0]))

static const char *const outcome_names[WS_BENCH_N_OUTCOMES] = {
	"none", "not-run", "unknown", "other"
};

/* ===== Sums ===== */

static void add_stats(struct ws_bench_stats *to,
		      const struct ws_bench_stats *from)
{
	size_t i;

	to->scheduled += from->scheduled;
	to->sent += from->sent;
	to->unsent += from->unsent;
	to->failed += from->failed;
	for (i = 0; i < WS_BENCH_STATUS_MAX; i++)
		to->status[i] += from->status[i];
	for (i = 0; i < WS_BENCH_N_OUTCOMES; i++)
		to->outcome[i] += from->outcome[i];
	ws_hist_merge(&to->served_latency, &from->served_latency);
	ws_hist_merge(&to->response_latency, &from->response_latency);
}

void ws_bench_total_stats(const struct ws_bench_conf *conf,
			  struct ws_bench_stats *total)
{
	size_t i;

	memset(total, 0, sizeof(*total));
	for (i = 0; i < conf->n_customers; i++)
		add_stats(total, &conf->customers[i].stats);
}

/* Calls fn for all customers and for their sum. */
static void each_row(const struct ws_bench_conf *conf,
		     void (*fn)(void *arg, const char *name, double rate,
				const struct ws_bench_stats *s),
		     void *arg)
{
	struct ws_bench_stats *total = ws_alloc(1, sizeof(*total));
	double rate = 0;
	size_t i;

	for (i = 0; i < conf->n_customers; i++) {
		const struct ws_bench_customer *cu = &conf->customers[i];

		fn(arg, cu->name, cu->rate, &cu->stats);
		rate += cu->rate;
	}
	ws_bench_total_stats(conf, total);
	fn(arg, "all", rate, total);
	free(total);
}

/* ===== Text ===== */

static void print_row(void *arg, const char *name, double rate,
		      const struct ws_bench_stats *s)
{
	FILE *to = arg;
	size_t i;

	fprintf(to, "%-16s rate %.6g/s: due %llu, served %llu", name, rate,
		(unsigned long long)s->scheduled,
		(unsigned long long)s->served_latency.count);
	fprintf(to, ", failed %llu, unsent %llu\n",
		(unsigned long long)s->failed, (unsigned long long)s->unsent);
	fprintf(to, "  latency of served, ms:");
	for (i = 0; i < N_QUANTILES; i++)
		fprintf(to, " %s %.3f", quantile_names[i],
			(double)ws_hist_quantile(&s->served_latency,
						 quantiles[i]) /
				1e3);
	fprintf(to,
		" max %.3f\n  status:", (double)s->served_latency.max / 1e3);
	for (i = 0; i < WS_BENCH_STATUS_MAX; i++)
		if (s->status[i])
			fprintf(to, " %zu=%llu", i,
				(unsigned long long)s->status[i]);
	fprintf(to, "; outcome:");
	for (i = 0; i < WS_BENCH_N_OUTCOMES; i++)
		if (s->outcome[i])
			fprintf(to, " %s=%llu", outcome_names[i],
				(unsigned long long)s->outcome[i]);
	fprintf(to, "\n");
}

static void print_error(gpointer text, gpointer count, gpointer to)
{
	fprintf(to, "  failed %u times: %s\n", GPOINTER_TO_UINT(count),
		(const char *)text);
}

void ws_bench_print_report(FILE *to, const struct ws_bench_conf *conf,
			   const struct ws_bench_result *res)
{
	each_row(conf, print_row, to);
	g_hash_table_foreach(res->errors, print_error, to);
	fprintf(to, "sending lag, ms: p50 %.3f p99 %.3f max %.3f\n",
		(double)ws_hist_quantile(&res->send_lag, 0.5) / 1e3,
		(double)ws_hist_quantile(&res->send_lag, 0.99) / 1e3,
		(double)res->send_lag.max / 1e3);
	fprintf(to, "run time: %.2f s\n", res->elapsed_seconds);
}

/* ===== CSV ===== */

static uint64_t status_class(const struct ws_bench_stats *s, int hundreds)
{
	uint64_t n = 0;
	int i;

	for (i = hundreds * 100; i < (hundreds + 1) * 100; i++)
		n += s->status[i];
	return n;
}

/* Writes text as a quoted field, quotes doubled. */
static void csv_text(FILE *to, const char *text)
{
	putc('"', to);
	for (; *text; text++) {
		if (*text == '"')
			putc('"', to);
		putc(*text, to);
	}
	putc('"', to);
}

static void csv_count(FILE *to, uint64_t n)
{
	fprintf(to, ",%llu", (unsigned long long)n);
}

static void csv_row(void *arg, const char *name, double rate,
		    const struct ws_bench_stats *s)
{
	FILE *to = arg;
	size_t i;

	csv_text(to, name);
	fprintf(to, ",%.6g", rate);
	csv_count(to, s->scheduled);
	csv_count(to, s->served_latency.count);
	csv_count(to, s->failed);
	csv_count(to, s->unsent);
	for (i = 3; i <= 5; i++)
		csv_count(to, status_class(s, (int)i));
	csv_count(to, s->status[429]);
	csv_count(to, s->status[503]);
	csv_count(to, s->outcome[WS_BENCH_OUTCOME_NOT_RUN]);
	csv_count(to, s->outcome[WS_BENCH_OUTCOME_UNKNOWN]);
	for (i = 0; i < N_QUANTILES; i++)
		csv_count(to, (uint64_t)ws_hist_quantile(&s->served_latency,
							 quantiles[i]));
	csv_count(to, (uint64_t)s->served_latency.max);
	putc('\n', to);
}

static FILE *open_file(const char *name)
{
	FILE *f = fopen(name, "w");

	if (!f)
		perror(name);
	return f;
}

static bool close_file(const char *name, FILE *f)
{
	bool ok = !ferror(f);

	if (fclose(f) == 0 && ok)
		return true;
	perror(name);
	return false;
}

bool ws_bench_write_csv(const struct ws_bench_conf *conf)
{
	FILE *f = open_file(conf->csv_file);

	if (!f)
		return false;
	fprintf(f, "customer,rate,due,served,failed,unsent,status_3xx,"
		   "status_4xx,status_5xx,status_429,status_503,not_run,"
		   "unknown,p50_us,p90_us,p99_us,p999_us,max_us\n");
	each_row(conf, csv_row, f);
	return close_file(conf->csv_file, f);
}

/* ===== JSON ===== */

static json_t *json_latency(const struct ws_hist *h)
{
	json_t *o = json_object();
	size_t i;

	json_object_set_new(o, "count", json_integer((json_int_t)h->count));
	json_object_set_new(o, "mean_us", json_integer(ws_hist_mean(h)));
	for (i = 0; i < N_QUANTILES; i++) {
		g_autofree char *name =
			g_strconcat(quantile_names[i], "_us", NULL);

		json_object_set_new(
			o, name,
			json_integer(ws_hist_quantile(h, quantiles[i])));
	}
	json_object_set_new(o, "max_us", json_integer(h->max));
	return o;
}

static json_t *json_counts(const struct ws_bench_stats *s)
{
	json_t *o = json_object();
	char name[16];
	size_t i;

	for (i = 0; i < WS_BENCH_STATUS_MAX; i++) {
		if (!s->status[i])
			continue;
		g_snprintf(name, sizeof(name), "%zu", i);
		json_object_set_new(o, name,
				    json_integer((json_int_t)s->status[i]));
	}
	return o;
}

static json_t *json_outcomes(const struct ws_bench_stats *s)
{
	json_t *o = json_object();
	size_t i;

	for (i = 0; i < WS_BENCH_N_OUTCOMES; i++)
		json_object_set_new(o, outcome_names[i],
				    json_integer((json_int_t)s->outcome[i]));
	return o;
}

static void json_row(void *arg, const char *name, double rate,
		     const struct ws_bench_stats *s)
{
	json_t *row = json_object();

	json_object_set_new(row, "customer", json_string(name));
	json_object_set_new(row, "rate", json_real(rate));
	json_object_set_new(row, "due", json_integer((json_int_t)s->scheduled));
	json_object_set_new(row, "failed", json_integer((json_int_t)s->failed));
	json_object_set_new(row, "unsent", json_integer((json_int_t)s->unsent));
	json_object_set_new(row, "status", json_counts(s));
	json_object_set_new(row, "outcome", json_outcomes(s));
	json_object_set_new(row, "served", json_latency(&s->served_latency));
	json_object_set_new(row, "answered",
			    json_latency(&s->response_latency));
	json_array_append_new(arg, row);
}

static void json_error(gpointer text, gpointer count, gpointer arg)
{
	json_object_set_new(arg, text, json_integer(GPOINTER_TO_UINT(count)));
}

static json_t *json_slices(const struct ws_bench_conf *conf,
			   const struct ws_bench_result *res)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < WS_BENCH_SLICES; i++) {
		const struct ws_bench_slice *s = &res->slices[i];
		json_t *o = json_latency(&s->served_latency);

		json_object_set_new(o, "from_s",
				    json_real((double)i *
					      conf->duration_seconds /
					      WS_BENCH_SLICES));
		json_object_set_new(o, "refused",
				    json_integer((json_int_t)s->not_served));
		json_array_append_new(list, o);
	}
	return list;
}

bool ws_bench_write_json(const struct ws_bench_conf *conf,
			 const struct ws_bench_result *res)
{
	json_t *top = json_object();
	json_t *rows = json_array();
	json_t *errors = json_object();
	int err;

	each_row(conf, json_row, rows);
	g_hash_table_foreach(res->errors, json_error, errors);
	json_object_set_new(top, "seed", json_integer((json_int_t)conf->seed));
	json_object_set_new(top, "counted_s", json_real(res->counted_seconds));
	json_object_set_new(top, "elapsed_s", json_real(res->elapsed_seconds));
	json_object_set_new(top, "customers", rows);
	json_object_set_new(top, "errors", errors);
	json_object_set_new(top, "lag", json_latency(&res->send_lag));
	json_object_set_new(top, "slices", json_slices(conf, res));
	err = json_dump_file(top, conf->json_file, JSON_INDENT(2));
	json_decref(top);
	if (err)
		fprintf(stderr, "wagtailshift-bench: %s: cannot be written\n",
			conf->json_file);
	return !err;
}
