#include "edgeio/ws_eio_metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/ws_hist.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_store.h"
#include "io/ws_server.h"

#define STATUS_CLASSES 6
#define CONNECTIONS_MAX 4

struct ws_eio_metrics {
	struct ws_eio *io;
	struct ws_server *server;
};

/* Global, as a process runs only one edge. */
static uint64_t answers_by_class[STATUS_CLASSES];
static struct ws_hist latencies;

void ws_eio_metrics_answer(unsigned status, ws_us latency)
{
	answers_by_class[status / 100 < STATUS_CLASSES ? status / 100 : 0]++;
	if (status / 100 == 2)
		ws_hist_add(&latencies, latency);
}

static void add_counters(GString *s, const struct ws_ed_counters *c)
{
	int i;

	g_string_append_printf(
		s,
		"wagtailshift_requests_total %" PRIu64 "\n"
		"wagtailshift_sendings_total %" PRIu64 "\n"
		"wagtailshift_sendings_limited_total %" PRIu64 "\n"
		"wagtailshift_repeats_total %" PRIu64 "\n"
		"wagtailshift_outcome_unknown_total %" PRIu64 "\n"
		"wagtailshift_callers_gone_total %" PRIu64 "\n",
		c->arrivals, c->sent, c->sent_limited, c->repeats, c->lost,
		c->gone);
	for (i = 1; i < WS_EDR_COUNT; i++)
		g_string_append_printf(s,
				       "wagtailshift_refused_total{reason="
				       "\"%s\"} %" PRIu64 "\n",
				       ws_ed_reason_name((enum ws_ed_reason)i),
				       c->refused[i]);
	for (i = 1; i < STATUS_CLASSES; i++)
		g_string_append_printf(s,
				       "wagtailshift_answers_total{status="
				       "\"%dxx\"} %" PRIu64 "\n",
				       i, answers_by_class[i]);
}

static void add_latencies(GString *s)
{
	static const int bounds_ms[] = { 10,  25,  50,	 100,  200,
					 400, 800, 1600, 3200, 6400 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bounds_ms); i++)
		g_string_append_printf(
			s,
			"wagtailshift_latency_seconds_bucket{le=\"%.3f\"} "
			"%" PRIu64 "\n",
			bounds_ms[i] / 1000.0,
			ws_hist_at_most(&latencies, bounds_ms[i] * WS_MS));
	g_string_append_printf(
		s,
		"wagtailshift_latency_seconds_bucket{le=\"+Inf\"} %" PRIu64
		"\nwagtailshift_latency_seconds_sum %.6f\n"
		"wagtailshift_latency_seconds_count %" PRIu64 "\n",
		latencies.count, (double)latencies.sum / 1e6, latencies.count);
}

static void add_permits(GString *s, const struct ws_edge *e)
{
	const struct ws_ed_counters *c = ws_edge_counters(e);
	const struct ws_ed_issuers *is = ws_edge_issuers(e);

	g_string_append_printf(
		s,
		"wagtailshift_permits_asked_total %" PRIu64 "\n"
		"wagtailshift_permits_refused_total %" PRIu64 "\n"
		"wagtailshift_permits_unavailable_total %" PRIu64 "\n"
		"wagtailshift_issued_total{verdict=\"granted\"} %" PRIu64 "\n"
		"wagtailshift_issued_total{verdict=\"queued\"} %" PRIu64 "\n"
		"wagtailshift_issued_total{verdict=\"refused\"} %" PRIu64 "\n"
		"wagtailshift_issued_to_returning_callers_total %" PRIu64 "\n"
		"wagtailshift_issued_expired_total %" PRIu64 "\n",
		c->permits_asked, c->permits_refused, c->permits_unavailable,
		is->granted, is->queued, is->refused, is->kept, is->expired);
}

static void add_state(GString *s, struct ws_eio *io)
{
	ws_us now = ws_eio_now();
	const struct ws_ed_conf *conf = ws_edge_conf(io->edge);
	const struct ws_ed_lead *lead = ws_edge_lead(io->edge);

	g_string_append_printf(
		s,
		"wagtailshift_open_requests %zu\n"
		"wagtailshift_waiting_requests %zu\n"
		"wagtailshift_config_version %" PRIu64 "\n"
		"wagtailshift_evidence_age_seconds %.3f\n"
		"wagtailshift_instances_alive %zu\n"
		"wagtailshift_leader %d\n"
		"wagtailshift_key_ranges %zu\n"
		"wagtailshift_key_moves_total %" PRIu64 "\n"
		"wagtailshift_store_calls_total %" PRIu64 "\n"
		"wagtailshift_connections_total %" PRIu64 "\n"
		"wagtailshift_log_lines_dropped_total %" PRIu64 "\n"
		"wagtailshift_message_bytes %zu\n"
		"wagtailshift_message_bytes_refused_total %" PRIu64 "\n",
		ws_edge_open(io->edge), ws_edge_waiting(io->edge),
		conf ? conf->version : 0,
		(double)ws_edge_evidence_age(io->edge, now) / 1e6,
		ws_ed_peers_alive(ws_edge_peers(io->edge), now),
		ws_ed_lead_valid(lead, now), lead->n_ranges, lead->moves,
		ws_eio_store_calls(io->store),
		ws_http_connections_opened(io->http), ws_eio_log_dropped(),
		io->memory.used, io->memory.n_refused);
}

static void on_request(void *arg, struct ws_server_request *req)
{
	static const char type[] = "Content-Type: text/plain; version=0.0.4";
	struct ws_eio_metrics *m = arg;
	GString *s = g_string_new(NULL);
	struct ws_server_answer a = {
		.status = 200,
		.headers = type,
		.headers_len = sizeof(type),
	};

	add_counters(s, ws_edge_counters(m->io->edge));
	add_permits(s, m->io->edge);
	add_latencies(s);
	add_state(s, m->io);
	a.data = s->str;
	a.data_len = s->len;
	ws_server_answer(req, &a);
	g_string_free(s, TRUE);
}

static void on_disconnect(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static const struct ws_server_ops metrics_ops = {
	.on_request = on_request,
	.on_disconnect = on_disconnect,
};

struct ws_eio_metrics *ws_eio_metrics_new(struct ws_eio *io)
{
	struct ws_eio_metrics *m = ws_alloc(1, sizeof(*m));
	char address[WS_ED_ADDRESS_MAX];
	const struct ws_server_conf conf = {
		.ops = &metrics_ops,
		.arg = m,
		.address = address,
		.max_connections = CONNECTIONS_MAX,
		.memory = &io->memory,
		.timers = io->timers,
		.now = ws_eio_now,
	};

	snprintf(address, sizeof(address), "%.39s:%d", io->settings.ip,
		 WS_EIO_METRICS_PORT);
	m->io = io;
	m->server = ws_server_new(io->loop, &conf);
	if (m->server)
		return m;
	free(m);
	return NULL;
}

void ws_eio_metrics_free(struct ws_eio_metrics *m)
{
	if (!m)
		return;
	ws_server_free(m->server);
	free(m);
}
