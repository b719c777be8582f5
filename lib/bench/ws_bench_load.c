#include "bench/ws_bench_client.h"

#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

/* After the last arrival, answers are waited for this much past a timeout. */
#define DRAIN_SLACK 1.0

/* Requests sent in one go before answers are looked at again. */
#define SEND_BATCH 64

struct load {
	struct ws_bench_conf *conf;
	struct ws_bench_result *res;
	struct ev_loop *loop;
	struct ws_bclient *client;
	struct ws_rand rand;
	double *zipf;
	char *body;
	struct curl_slist **headers; /* of each customer */
	double *due; /* us after the start of each customer's next request */
	uint64_t n_sent;
	ws_us start;
	int timer_fd;
	ev_io timer;
	ev_timer stop;
};

static ws_us clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (ws_us)ts.tv_sec * WS_SECOND + ts.tv_nsec / 1000;
}

static ws_us elapsed(const struct load *l)
{
	return clock_us(CLOCK_MONOTONIC) - l->start;
}

/* ===== Answers ===== */

static void count_error(struct load *l, CURLcode code)
{
	const char *text = curl_easy_strerror(code);
	gpointer old = g_hash_table_lookup(l->res->errors, text);

	g_hash_table_insert(l->res->errors, g_strdup(text),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(old) + 1));
}

static struct ws_bench_slice *slice_of(struct load *l, ws_us scheduled)
{
	double part = (double)scheduled / 1e6 / l->conf->duration_seconds;
	int i = (int)(part * WS_BENCH_SLICES);

	if (i < 0)
		i = 0;
	if (i >= WS_BENCH_SLICES)
		i = WS_BENCH_SLICES - 1;
	return &l->res->slices[i];
}

static bool is_served(const struct ws_bexchange *x)
{
	return x->error == CURLE_OK && x->status >= 200 && x->status < 300;
}

static void count_exchange(struct load *l, struct ws_bexchange *x)
{
	struct ws_bench_stats *s = &l->conf->customers[x->customer].stats;
	struct ws_bench_slice *slice = slice_of(l, x->scheduled_at);
	ws_us latency = elapsed(l) - x->scheduled_at;

	if (!is_served(x))
		slice->not_served++;
	if (x->error != CURLE_OK) {
		s->failed++;
		count_error(l, x->error);
		return;
	}
	s->status[x->status < WS_BENCH_STATUS_MAX ? x->status : 0]++;
	s->outcome[x->outcome]++;
	ws_hist_add(&s->response_latency, latency);
	if (!is_served(x))
		return;
	ws_hist_add(&s->served_latency, latency);
	ws_hist_add(&slice->served_latency, latency);
}

static bool all_arrived(const struct load *l);

static void on_done(void *arg, struct ws_bexchange *x)
{
	struct load *l = arg;

	if (x->counted)
		count_exchange(l, x);
	/* This exchange is the last one out. */
	if (ws_bclient_in_flight(l->client) == 1 && all_arrived(l))
		ev_break(l->loop, EVBREAK_ALL);
}

/* ===== Requests ===== */

static char *build_url(struct load *l)
{
	unsigned key = ws_bench_pick_key(l->zipf, l->conf->n_keys, &l->rand);
	const char *base = ws_bench_pick_weighted(&l->conf->urls, &l->rand);
	const char *mark = strstr(l->conf->path, "{key}");

	if (!mark)
		return g_strconcat(base, l->conf->path, NULL);
	return g_strdup_printf("%s%.*sk%07u%s", base,
			       (int)(mark - l->conf->path), l->conf->path, key,
			       mark + 5);
}

static struct curl_slist *common_headers(const struct ws_bench_conf *conf,
					 const struct ws_bench_customer *cu)
{
	struct curl_slist *list = NULL;
	char line[4096];

	/* libcurl would wait for "100 Continue" otherwise. */
	list = curl_slist_append(list, "Expect:");
	if (cu->key) {
		g_snprintf(line, sizeof(line), "Authorization: Bearer %s",
			   cu->key);
		list = curl_slist_append(list, line);
	}
	if (conf->deadline_ms) {
		g_snprintf(line, sizeof(line), "X-Wagtailshift-Deadline-Ms: %d",
			   conf->deadline_ms);
		list = curl_slist_append(list, line);
	}
	return list;
}

static void add_request_id(struct load *l, struct ws_bexchange *x)
{
	char line[64] = "Idempotency-Key: ";
	size_t len = strlen(line);

	ws_bench_uuid7(&l->rand, clock_us(CLOCK_REALTIME) / 1000, line + len);
	x->headers = common_headers(l->conf, &l->conf->customers[x->customer]);
	x->headers = curl_slist_append(x->headers, line);
	x->owns_headers = true;
}

static void fill(struct load *l, struct ws_bexchange *x, size_t customer)
{
	x->customer = customer;
	x->scheduled_at = (ws_us)l->due[customer];
	x->counted = l->due[customer] >= l->conf->warmup_seconds * 1e6;
	x->method = ws_bench_pick_weighted(&l->conf->methods, &l->rand);
	x->url = build_url(l);
	x->headers = l->headers[customer];
	x->owns_headers = false;
	if (*x->method != 'P' && *x->method != 'D')
		return;
	add_request_id(l, x);
	if (*x->method == 'D')
		return;
	x->body = l->body;
	x->body_len = (size_t)l->conf->body_size;
}

/* ===== Arrivals ===== */

static void schedule_next(struct load *l, size_t customer)
{
	double gap = l->conf->even_arrivals ? 1 :
					      ws_bench_exponential(&l->rand);

	l->due[customer] += gap * 1e6 / l->conf->customers[customer].rate;
}

static size_t next_customer(const struct load *l)
{
	size_t best = 0;
	size_t i;

	for (i = 1; i < l->conf->n_customers; i++)
		if (l->due[i] < l->due[best])
			best = i;
	return best;
}

static bool all_arrived(const struct load *l)
{
	return l->due[next_customer(l)] >= l->conf->duration_seconds * 1e6 ||
	       l->n_sent >= l->conf->max_requests;
}

static void set_alarm(struct load *l, ws_us at)
{
	struct itimerspec when = { .it_value.tv_nsec = 1 };
	ws_us t = l->start + at;

	when.it_value.tv_sec = t / WS_SECOND;
	when.it_value.tv_nsec = t % WS_SECOND * 1000 + 1;
	timerfd_settime(l->timer_fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static void send_one(struct load *l, struct ws_bexchange *x, size_t customer)
{
	struct ws_bench_stats *s = &l->conf->customers[customer].stats;

	fill(l, x, customer);
	if (x->counted) {
		s->scheduled++;
		s->sent++;
	}
	x->sent_at = elapsed(l);
	if (x->counted)
		ws_hist_add(&l->res->send_lag, x->sent_at - x->scheduled_at);
	l->n_sent++;
	schedule_next(l, customer);
	ws_bclient_send(l->client, x);
}

/* Sends what is due; sets the alarm for what comes next. */
static void send_due(struct load *l)
{
	struct ws_bexchange *x;
	size_t customer;
	int batch;

	for (batch = 0; batch < SEND_BATCH; batch++) {
		if (all_arrived(l))
			break;
		customer = next_customer(l);
		if (l->due[customer] > (double)elapsed(l))
			break;
		x = ws_bclient_acquire_exchange(l->client);
		if (!x) {
			/* As many as allowed are out; look again in 0.2 ms. */
			set_alarm(l, elapsed(l) + 200);
			return;
		}
		send_one(l, x, customer);
	}
	if (!all_arrived(l))
		set_alarm(l, (ws_us)l->due[next_customer(l)]);
	else if (!ws_bclient_in_flight(l->client))
		ev_break(l->loop, EVBREAK_ALL);
}

static void on_alarm(struct ev_loop *loop, ev_io *w, int events)
{
	struct load *l = w->data;
	uint64_t expirations;

	(void)loop;
	(void)events;
	if (read(l->timer_fd, &expirations, sizeof(expirations)) > 0)
		send_due(l);
}

static void on_stop(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* ===== The run ===== */

static void start_headers(struct load *l)
{
	size_t i;

	l->headers =
		ws_alloc(l->conf->n_customers, sizeof(struct curl_slist *));
	l->due = ws_alloc(l->conf->n_customers, sizeof(*l->due));
	for (i = 0; i < l->conf->n_customers; i++) {
		l->headers[i] = common_headers(l->conf, &l->conf->customers[i]);
		schedule_next(l, i);
	}
	l->body = ws_alloc((size_t)l->conf->body_size + 1, 1);
	memset(l->body, 'x', (size_t)l->conf->body_size);
}

static void start_timers(struct load *l)
{
	double limit = l->conf->duration_seconds + l->conf->timeout_ms / 1e3;

	ev_io_init(&l->timer, on_alarm, l->timer_fd, EV_READ);
	l->timer.data = l;
	ev_io_start(l->loop, &l->timer);
	ev_timer_init(&l->stop, on_stop, limit + DRAIN_SLACK, 0);
	ev_timer_start(l->loop, &l->stop);
	l->start = clock_us(CLOCK_MONOTONIC);
	set_alarm(l, (ws_us)l->due[next_customer(l)]);
}

/* Counts what was due in the time of the run but never went out. */
static void count_unsent(struct load *l)
{
	size_t i;

	for (i = 0; i < l->conf->n_customers; i++) {
		struct ws_bench_stats *s = &l->conf->customers[i].stats;

		while (l->due[i] < l->conf->duration_seconds * 1e6) {
			if (l->due[i] >= l->conf->warmup_seconds * 1e6) {
				s->scheduled++;
				s->unsent++;
			}
			schedule_next(l, i);
		}
	}
}

static void stop_load(struct load *l)
{
	size_t i;

	ws_bclient_free(l->client);
	ev_io_stop(l->loop, &l->timer);
	ev_timer_stop(l->loop, &l->stop);
	for (i = 0; i < l->conf->n_customers; i++)
		curl_slist_free_all(l->headers[i]);
	free(l->headers);
	free(l->due);
	free(l->body);
	free(l->zipf);
	close(l->timer_fd);
	ev_loop_destroy(l->loop);
}

bool ws_bench_run_load(struct ws_bench_conf *conf, struct ws_bench_result *res)
{
	struct load l = { .conf = conf, .res = res };

	l.timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
	l.loop = ev_loop_new(EVFLAG_AUTO);
	if (l.timer_fd < 0 || !l.loop) {
		perror("wagtailshift-bench: timer or event loop");
		return false;
	}
	curl_global_init(CURL_GLOBAL_NOTHING);
	ws_rand_seed(&l.rand, conf->seed);
	l.zipf_exponent =
		ws_bench_zipf_table(conf->n_keys, conf->zipf_exponent);
	res->errors =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	res->counted_seconds = conf->duration_seconds - conf->warmup_seconds;
	l.client = ws_bclient_new(l.loop, conf, on_done, &l);
	start_headers(&l);
	start_timers(&l);
	ev_run(l.loop, 0);
	res->elapsed_seconds = (double)elapsed(&l) / 1e6;
	count_unsent(&l);
	stop_load(&l);
	curl_global_cleanup();
	return true;
}

void ws_bench_result_free(struct ws_bench_result *res)
{
	if (res->errors)
		g_hash_table_destroy(res->errors);
	free(res);
}
