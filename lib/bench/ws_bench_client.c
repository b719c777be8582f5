#include "bench/ws_bench_client.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define OUTCOME_HEADER "X-Wagtailshift-Outcome:"

struct ws_bclient {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	struct ws_bexchange *all;
	size_t n_all;
	size_t n_out;
	struct ws_bexchange *free_list;
	ws_bclient_exchange_done_fn done;
	void *arg;
	long timeout_ms;
};

/* ===== Answers ===== */

static enum ws_bench_outcome parse_outcome(const char *value, size_t len)
{
	while (len && (*value == ' ' || *value == '\t')) {
		value++;
		len--;
	}
	if (len >= 7 && strncmp(value, "not-run", 7) == 0)
		return WS_BENCH_OUTCOME_NOT_RUN;
	if (len >= 7 && strncmp(value, "unknown", 7) == 0)
		return WS_BENCH_OUTCOME_UNKNOWN;
	return WS_BENCH_OUTCOME_OTHER;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct ws_bexchange *x = arg;
	size_t len = size * n;
	size_t name = sizeof(OUTCOME_HEADER) - 1;

	if (len > name && strncasecmp(data, OUTCOME_HEADER, name) == 0)
		x->outcome = parse_outcome(data + name, len - name);
	return len;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

static void recycle(struct ws_bclient *c, struct ws_bexchange *x)
{
	if (x->owns_headers)
		curl_slist_free_all(x->headers);
	x->headers = NULL;
	free(x->url);
	x->url = NULL;
	x->next_free = c->free_list;
	c->free_list = x;
	c->n_out--;
}

static void collect(struct ws_bclient *c)
{
	struct ws_bexchange *x;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &x);
		curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &x->status);
		x->error = msg->data.result;
		curl_multi_remove_handle(c->multi, x->easy);
		c->done(c->arg, x);
		recycle(c, x);
	}
}

/* ===== Event loop ===== */

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ws_bclient *c = w->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	collect(c);
}

static int set_timer(CURLM *multi, long ms, void *arg)
{
	struct ws_bclient *c = arg;

	(void)multi;
	ev_timer_stop(c->loop, &c->timer);
	if (ms < 0)
		return 0;
	ev_timer_set(&c->timer, (double)ms / 1000, 0);
	ev_timer_start(c->loop, &c->timer);
	return 0;
}

static void on_socket(struct ev_loop *loop, ev_io *w, int events)
{
	struct ws_bclient *c = w->data;
	int mask = 0;
	int running;

	(void)loop;
	if (events & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(c->multi, w->fd, mask, &running);
	collect(c);
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
			void *socket_arg)
{
	struct ws_bclient *c = arg;
	ev_io *w = socket_arg;
	int events = 0;

	(void)easy;
	if (w)
		ev_io_stop(c->loop, w);
	if (what == CURL_POLL_REMOVE) {
		free(w);
		curl_multi_assign(c->multi, fd, NULL);
		return 0;
	}
	if (!w) {
		w = ws_alloc(1, sizeof(*w));
		ev_init(w, on_socket);
		w->data = c;
		curl_multi_assign(c->multi, fd, w);
	}
	events |= what & CURL_POLL_IN ? EV_READ : 0;
	events |= what & CURL_POLL_OUT ? EV_WRITE : 0;
	ev_io_set(w, fd, events);
	ev_io_start(c->loop, w);
	return 0;
}

/* ===== Sending ===== */

static void prepare_easy(struct ws_bexchange *x, long timeout_ms)
{
	x->easy = curl_easy_init();
	curl_easy_setopt(x->easy, CURLOPT_PRIVATE, x);
	curl_easy_setopt(x->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(x->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(x->easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(x->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(x->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(x->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(x->easy, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_WRITEFUNCTION, on_body);
}

struct ws_bexchange *ws_bclient_acquire_exchange(struct ws_bclient *c)
{
	struct ws_bexchange *x = c->free_list;

	if (!x)
		return NULL;
	c->free_list = x->next_free;
	c->n_out++;
	if (!x->easy)
		prepare_easy(x, c->timeout_ms);
	x->outcome = WS_BENCH_OUTCOME_NONE;
	x->status = 0;
	x->body = NULL;
	x->body_len = 0;
	return x;
}

static void set_method(struct ws_bexchange *x)
{
	if (x->body) {
		curl_easy_setopt(x->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(x->easy, CURLOPT_POSTFIELDSIZE,
				 (long)x->body_len);
		curl_easy_setopt(x->easy, CURLOPT_POSTFIELDS, x->body);
	} else {
		curl_easy_setopt(x->easy, CURLOPT_HTTPGET, 1L);
	}
	curl_easy_setopt(x->easy, CURLOPT_NOBODY,
			 (long)(strcmp(x->method, "HEAD") == 0));
	curl_easy_setopt(x->easy, CURLOPT_CUSTOMREQUEST, x->method);
}

void ws_bclient_send(struct ws_bclient *c, struct ws_bexchange *x)
{
	curl_easy_setopt(x->easy, CURLOPT_URL, x->url);
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	set_method(x);
	curl_multi_add_handle(c->multi, x->easy);
}

size_t ws_bclient_in_flight(const struct ws_bclient *c)
{
	return c->n_out;
}

/* ===== Life ===== */

struct ws_bclient *ws_bclient_new(struct ev_loop *loop,
				  const struct ws_bench_conf *conf,
				  ws_bclient_exchange_done_fn done, void *arg)
{
	struct ws_bclient *c = ws_alloc(1, sizeof(*c));
	size_t i;

	c->loop = loop;
	c->done = done;
	c->arg = arg;
	c->timeout_ms = conf->timeout_ms;
	c->multi = curl_multi_init();
	ev_init(&c->timer, on_timer);
	c->timer.data = c;
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS,
			  (long)conf->max_in_flight + 16);
	curl_multi_setopt(c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)conf->max_connections);
	c->n_all = (size_t)conf->max_in_flight;
	c->all = ws_alloc(c->n_all, sizeof(*c->all));
	for (i = c->n_all; i > 0; i--) {
		c->all[i - 1].next_free = c->free_list;
		c->free_list = &c->all[i - 1];
	}
	return c;
}

void ws_bclient_free(struct ws_bclient *c)
{
	size_t i;

	for (i = 0; i < c->n_all; i++) {
		if (!c->all[i].easy)
			continue;
		curl_multi_remove_handle(c->multi, c->all[i].easy);
		curl_easy_cleanup(c->all[i].easy);
	}
	curl_multi_cleanup(c->multi);
	ev_timer_stop(c->loop, &c->timer);
	free(c->all);
	free(c);
}
