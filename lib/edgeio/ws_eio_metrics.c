#include "edgeio/ws_eio_metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_hist.h"
#include "edgeio/ws_eio_explain.h"
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
static uint64_t forwarded_by_class[STATUS_CLASSES];
static struct ws_hist latencies;
static uint64_t callers_gone_unread;
/* Requests that could not be read, by the status of the answer */
static struct {
	unsigned status;
	uint64_t n;
} rejections[] = { { 400, 0 }, { 408, 0 }, { 413, 0 }, { 431, 0 }, { 503, 0 } };

static unsigned status_class(unsigned status)
{
	return status / 100 < STATUS_CLASSES ? status / 100 : 0;
}

void ws_eio_metrics_answer(unsigned status, ws_us latency)
{
	answers_by_class[status_class(status)]++;
	if (status / 100 == 2)
		ws_hist_add(&latencies, latency);
}

void ws_eio_metrics_caller_gone_unread(void)
{
	callers_gone_unread++;
}

void ws_eio_metrics_forwarded(unsigned status)
{
	forwarded_by_class[status_class(status)]++;
}

void ws_eio_metrics_rejection(unsigned status)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rejections); i++)
		if (rejections[i].status == status)
			rejections[i].n++;
}

static void add_status_classes(GString *s, const char *name,
			       const uint64_t *by_class)
{
	int i;

	for (i = 1; i < STATUS_CLASSES; i++)
		g_string_append_printf(s, "%s{status=\"%dxx\"} %" PRIu64 "\n",
				       name, i, by_class[i]);
}

static void add_answers(GString *s)
{
	size_t i;

	add_status_classes(s, "wagtailshift_answers_total", answers_by_class);
	add_status_classes(s, "wagtailshift_answers_forwarded_total",
			   forwarded_by_class);
	for (i = 0; i < G_N_ELEMENTS(rejections); i++)
		g_string_append_printf(s,
				       "wagtailshift_requests_rejected_total"
				       "{status=\"%u\"} %" PRIu64 "\n",
				       rejections[i].status, rejections[i].n);
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
		"wagtailshift_callers_gone_total %" PRIu64 "\n"
		"wagtailshift_callers_gone_unread_total %" PRIu64 "\n",
		c->arrivals, c->sent, c->sent_limited, c->repeats, c->lost,
		c->gone, callers_gone_unread);
	for (i = 1; i < WS_EDR_COUNT; i++)
		g_string_append_printf(s,
				       "wagtailshift_refused_total{reason="
				       "\"%s\"} %" PRIu64 "\n",
				       ws_ed_reason_name((enum ws_ed_reason)i),
				       c->refused[i]);
}

/* @param name without the suffixes of its lines */
static void add_histogram(GString *s, const char *name, const struct ws_hist *h)
{
	static const int bounds_ms[] = { 10,  25,  50,	 100,  200,
					 400, 800, 1600, 3200, 6400 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bounds_ms); i++)
		g_string_append_printf(
			s, "%s_bucket{le=\"%.3f\"} %" PRIu64 "\n", name,
			bounds_ms[i] / 1000.0,
			ws_hist_at_most(h, bounds_ms[i] * WS_MS));
	g_string_append_printf(s,
			       "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
			       "%s_sum %.6f\n%s_count %" PRIu64 "\n",
			       name, h->count, name, (double)h->sum / 1e6, name,
			       h->count);
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

/* Targets have their ids as in the log, since their names are not escaped. */
static void add_learned(GString *s, const struct ws_ed_pool *p, ws_us now)
{
	size_t i;

	for (i = 0; p->unmetered && i < p->n; i++) {
		const struct ws_ed_server *t = &p->servers[i];

		if (!t->id)
			continue;
		g_string_append_printf(
			s,
			"wagtailshift_target_speed{target=\"%016" PRIx64
			"\"} %.3f\n"
			"wagtailshift_target_limit{target=\"%016" PRIx64
			"\"} %.2f\n",
			t->id, ws_ed_learn_speed(&t->learned, now), t->id,
			ws_ed_learn_limit(&t->learned, now));
	}
}

static void add_link(GString *s, struct ws_eio *io)
{
	const struct ws_ed_link *l = ws_edge_link(io->edge);

	if (l->rate <= 0.0)
		return;
	g_string_append_printf(
		s,
		"wagtailshift_link_load %.3f\n"
		"wagtailshift_link_connections_shed_total %" PRIu64 "\n"
		"wagtailshift_link_refused_total %" PRIu64 "\n",
		ws_ed_link_load(l, ws_eio_now()), l->shed, l->refused);
}

static void answer_explain(const struct ws_eio *io,
			   struct ws_server_request *req)
{
	static const char type[] = "Content-Type: application/json";
	struct ws_server_answer a = {
		.headers = type,
		.headers_len = sizeof(type),
	};
	char *text = ws_eio_explain(io, req->uri, &a.status);

	a.data = text;
	a.data_len = strlen(text);
	ws_server_answer(req, &a);
	free(text);
}

static void on_request(void *arg, struct ws_server_request *req)
{
	static const char type[] = "Content-Type: text/plain; version=0.0.4";
	struct ws_eio_metrics *m = arg;
	GString *s;
	struct ws_server_answer a = {
		.status = 200,
		.headers = type,
		.headers_len = sizeof(type),
	};

	if (ws_eio_explain_is_asked(req->uri)) {
		answer_explain(m->io, req);
		return;
	}
	s = g_string_new(NULL);
	add_counters(s, ws_edge_counters(m->io->edge));
	add_answers(s);
	add_histogram(s, "wagtailshift_latency_seconds", &latencies);
	add_histogram(s, "wagtailshift_turn_seconds", &m->io->turn.lengths);
	add_state(s, m->io);
	add_learned(s, ws_edge_pool(m->io->edge), ws_eio_now());
	add_link(s, m->io);
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
