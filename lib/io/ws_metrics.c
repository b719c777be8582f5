#include "io/ws_metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/ws_front.h"
#include "io/ws_http.h"
#include "io/ws_shell.h"
#include "io/ws_targets.h"

/* Upper bounds of the latency buckets in microseconds. */
static const ws_us bucket_bounds[] = {
	250,   500,   1000,   2000,   3000,   5000,    10000,
	20000, 50000, 100000, 250000, 500000, 1000000, 2000000,
};

#define N_BUCKETS (sizeof(bucket_bounds) / sizeof(bucket_bounds[0]))
#define N_CLASSES 6

struct ws_metrics {
	uint64_t by_class[N_CLASSES]; /* by first digit of the status */
	uint64_t refused[-WS_ERROR_LAST + 1];
	uint64_t bucket_counts[N_BUCKETS + 1];
	uint64_t latency_sum_us;
	uint64_t peer_in;
	uint64_t peer_out;
};

struct ws_metrics *ws_metrics_new(void)
{
	return ws_alloc(1, sizeof(struct ws_metrics));
}

void ws_metrics_free(struct ws_metrics *m)
{
	free(m);
}

void ws_metrics_request(struct ws_metrics *m, unsigned status, ws_us latency)
{
	unsigned class = status / 100;
	size_t i = 0;

	m->by_class[class < N_CLASSES ? class : 0]++;
	while (i < N_BUCKETS && latency > bucket_bounds[i])
		i++;
	m->bucket_counts[i]++;
	m->latency_sum_us += (uint64_t)latency;
}

void ws_metrics_refusal(struct ws_metrics *m, int error)
{
	if (error <= 0 && error >= WS_ERROR_LAST)
		m->refused[-error]++;
}

void ws_metrics_peer_bytes(struct ws_metrics *m, size_t in, size_t out)
{
	m->peer_in += in;
	m->peer_out += out;
}

/* ===== Text ===== */

static void write_one(GString *s, const char *name, const char *type,
		      const char *help, uint64_t value)
{
	g_string_append_printf(s,
			       "# HELP %s %s\n# TYPE %s %s\n%s %" PRIu64 "\n",
			       name, help, name, type, name, value);
}

static void write_classes(GString *s, const struct ws_metrics *m)
{
	unsigned i;

	g_string_append(s, "# HELP wagtailshift_requests_total requests of "
			   "callers by status class; 0xx: caller gone\n"
			   "# TYPE wagtailshift_requests_total counter\n");
	for (i = 0; i < N_CLASSES; i++)
		g_string_append_printf(
			s,
			"wagtailshift_requests_total{class=\"%uxx\"} %" PRIu64
			"\n",
			i, m->by_class[i]);
}

static void write_refusals(GString *s, const struct ws_metrics *m)
{
	int i;

	g_string_append(s, "# HELP wagtailshift_refusals_total refusals by "
			   "error\n"
			   "# TYPE wagtailshift_refusals_total counter\n");
	for (i = 1; i <= -WS_ERROR_LAST; i++)
		g_string_append_printf(
			s,
			"wagtailshift_refusals_total{error=\"%s\"} %" PRIu64
			"\n",
			ws_error_name(-i), m->refused[i]);
}

static void write_histogram(GString *s, const struct ws_metrics *m)
{
	const char *name = "wagtailshift_request_seconds";
	uint64_t total = 0;
	size_t i;

	g_string_append_printf(s,
			       "# HELP %s time from request to answer\n"
			       "# TYPE %s histogram\n",
			       name, name);
	for (i = 0; i < N_BUCKETS; i++) {
		total += m->bucket_counts[i];
		g_string_append_printf(
			s, "%s_bucket{le=\"%g\"} %" PRIu64 "\n", name,
			(double)bucket_bounds[i] / (double)WS_SECOND, total);
	}
	total += m->bucket_counts[N_BUCKETS];
	g_string_append_printf(s, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n", name,
			       total);
	g_string_append_printf(s, "%s_sum %.6f\n%s_count %" PRIu64 "\n", name,
			       (double)m->latency_sum_us / (double)WS_SECOND,
			       name, total);
}

static void write_core(GString *s, const struct ws_shell *sh)
{
	const struct ws_counters *c = ws_core_counters(sh->core);

	write_one(s, "wagtailshift_attempts_total", "counter",
		  "requests sent to targets", c->attempts);
	write_one(s, "wagtailshift_retries_total", "counter",
		  "further attempts for one request", c->retries);
	write_one(s, "wagtailshift_unknown_total", "counter",
		  "answers with unknown outcome", c->unknown);
	write_one(s, "wagtailshift_messages_in_total", "counter",
		  "messages from other instances", c->messages_in);
	write_one(s, "wagtailshift_messages_out_total", "counter",
		  "messages to other instances", c->messages_out);
	write_one(s, "wagtailshift_records_total", "counter",
		  "log records applied", c->records_applied);
	write_one(s, "wagtailshift_appends_total", "counter",
		  "log records written", c->appends);
	write_one(s, "wagtailshift_assignments_won_total", "counter",
		  "own assignments that took effect", c->assignments_won);
	write_one(s, "wagtailshift_assignments_lost_total", "counter",
		  "own assignments that lost", c->assignments_lost);
}

static void write_shell(GString *s, const struct ws_shell *sh)
{
	const struct ws_bundle *b = ws_core_view(sh->core)->bundle;

	write_one(s, "wagtailshift_requests_open", "gauge",
		  "requests of callers without a whole answer",
		  ws_front_open_requests(sh->front));
	write_one(s, "wagtailshift_connections", "gauge",
		  "open connections of callers",
		  ws_front_connections(sh->front));
	write_one(s, "wagtailshift_attempts_open", "gauge",
		  "requests open at targets",
		  ws_targets_open_attempts(sh->targets));
	write_one(s, "wagtailshift_target_connections_total", "counter",
		  "connections opened to targets and platform",
		  ws_http_connections_opened(sh->http));
	write_one(s, "wagtailshift_payload_bytes", "gauge",
		  "bytes of requests and answers held",
		  ws_payload_bytes(sh->payloads));
	write_one(s, "wagtailshift_peer_bytes_in_total", "counter",
		  "bytes received from other instances", sh->metrics->peer_in);
	write_one(s, "wagtailshift_peer_bytes_out_total", "counter",
		  "bytes sent to other instances", sh->metrics->peer_out);
	write_one(s, "wagtailshift_bundle_version", "gauge",
		  "version of the bundle in force; 0: none",
		  b ? b->version : 0);
	write_one(s, "wagtailshift_ready", "gauge", "1 when ready for callers",
		  ws_core_ready(sh->core, ws_shell_now()));
	write_one(s, "wagtailshift_uptime_seconds", "gauge",
		  "time since the start",
		  (uint64_t)(ws_shell_uptime(sh) / WS_SECOND));
}

char *ws_metrics_text(const struct ws_shell *sh)
{
	GString *s = g_string_new(NULL);

	write_classes(s, sh->metrics);
	write_refusals(s, sh->metrics);
	write_histogram(s, sh->metrics);
	write_core(s, sh);
	write_shell(s, sh);
	return g_string_free(s, FALSE);
}
