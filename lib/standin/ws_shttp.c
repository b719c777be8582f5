#include "standin/ws_shttp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define CONNECTIONS_MAX 4096
#define TIMER_IDLE G_USEC_PER_SEC
#define EXIT_USAGE 2

struct ws_shttp {
	struct MHD_Daemon *mhd;
	ws_shttp_handler fn;
	void *arg;
	GMutex lock; /* held while a handler runs */
	GCond wake;
	GThread *timer;
	struct ws_shttp_call *waiting;
	bool stopping;
};

ws_us ws_shttp_now(void)
{
	return g_get_monotonic_time();
}

/* ===== Waiting calls ===== */

static void add_waiting(struct ws_shttp *s, struct ws_shttp_call *call)
{
	call->waiting = true;
	call->prev = NULL;
	call->next = s->waiting;
	if (s->waiting)
		s->waiting->prev = call;
	s->waiting = call;
	MHD_suspend_connection(call->connection);
	g_cond_signal(&s->wake);
}

static void remove_waiting(struct ws_shttp *s, struct ws_shttp_call *call)
{
	if (call->prev)
		call->prev->next = call->next;
	else
		s->waiting = call->next;
	if (call->next)
		call->next->prev = call->prev;
	call->waiting = false;
}

/* Resumes what is due; returns the time of the next one. */
static ws_us resume_due(struct ws_shttp *s, ws_us now)
{
	ws_us next = now + TIMER_IDLE;
	struct ws_shttp_call *call = s->waiting;
	struct ws_shttp_call *after;

	for (; call; call = after) {
		after = call->next;
		if (call->resume_at <= now || s->stopping) {
			remove_waiting(s, call);
			MHD_resume_connection(call->connection);
		} else if (call->resume_at < next) {
			next = call->resume_at;
		}
	}
	return next;
}

static gpointer run_timer(gpointer arg)
{
	struct ws_shttp *s = arg;
	ws_us next;

	g_mutex_lock(&s->lock);
	while (!s->stopping) {
		next = resume_due(s, ws_shttp_now());
		g_cond_wait_until(&s->wake, &s->lock, next);
	}
	resume_due(s, ws_shttp_now());
	g_mutex_unlock(&s->lock);
	return NULL;
}

void ws_shttp_resume_all(struct ws_shttp *s)
{
	struct ws_shttp_call *call;

	for (call = s->waiting; call; call = call->next)
		call->resume_at = 0;
	g_cond_signal(&s->wake);
}

/* ===== Answers ===== */

enum ws_shttp_action ws_shttp_reply(struct ws_shttp_call *call, unsigned status,
				    char *text)
{
	free(call->reply);
	call->status = status;
	call->reply = text;
	return WS_SHTTP_RESPOND;
}

enum ws_shttp_action ws_shttp_error(struct ws_shttp_call *call, unsigned status,
				    const char *text)
{
	json_t *o = json_pack("{s:s}", "error", text);
	char *reply = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return ws_shttp_reply(call, status, reply);
}

void ws_shttp_add_header(struct ws_shttp_call *call, const char *name,
			 const char *value)
{
	WS_INVARIANT(call->n_headers < WS_SHTTP_HEADERS_MAX);
	call->headers[call->n_headers].name = name;
	snprintf(call->headers[call->n_headers].value,
		 sizeof(call->headers[0].value), "%s", value);
	call->n_headers++;
}

/* Gives half of the reply and then breaks the connection off. */
static ssize_t read_half(void *arg, uint64_t pos, char *buf, size_t max)
{
	const char *reply = arg;
	size_t half = strlen(reply) / 2;
	size_t n;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = half - pos < max ? half - pos : max;
	memcpy(buf, reply + pos, n);
	return (ssize_t)n;
}

static struct MHD_Response *make_response(struct ws_shttp_call *call)
{
	size_t len = call->reply ? strlen(call->reply) : 0;
	char *text = call->reply;

	call->reply = NULL;
	if (call->truncate && len)
		return MHD_create_response_from_callback(len, 4096, read_half,
							 text, free);
	return MHD_create_response_from_buffer(len, text,
					       MHD_RESPMEM_MUST_FREE);
}

static enum MHD_Result send_answer(struct ws_shttp_call *call)
{
	struct MHD_Response *r = make_response(call);
	enum MHD_Result res;
	size_t i;

	if (!r)
		return MHD_NO;
	MHD_add_response_header(r, "Content-Type", "application/json");
	for (i = 0; i < call->n_headers; i++)
		MHD_add_response_header(r, call->headers[i].name,
					call->headers[i].value);
	res = MHD_queue_response(call->connection, call->status, r);
	MHD_destroy_response(r);
	return res;
}

/* ===== Requests ===== */

const char *ws_shttp_request_header(const struct ws_shttp_call *call,
				    const char *name)
{
	return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
					   name);
}

const char *ws_shttp_query_param(const struct ws_shttp_call *call,
				 const char *name)
{
	return MHD_lookup_connection_value(call->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

bool ws_shttp_matches(const struct ws_shttp_call *call, const char *method,
		      const char *path)
{
	return strcmp(call->method, method) == 0 &&
	       strcmp(call->path, path) == 0;
}

bool ws_shttp_delay(struct ws_shttp_call *call, ws_us now, ws_us delay)
{
	if (!call->delay_until)
		call->delay_until = now + delay;
	call->resume_at = call->delay_until;
	return now < call->delay_until;
}

bool ws_shttp_client_disconnected(const struct ws_shttp_call *call)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t n;

	if (!info)
		return true;
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static struct ws_shttp_call *new_call(struct ws_shttp *s,
				      struct MHD_Connection *con,
				      const char *url, const char *method)
{
	struct ws_shttp_call *call = ws_alloc(1, sizeof(*call));
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		con, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	call->server = s;
	call->connection = con;
	call->path = strdup(url);
	call->method = strdup(method);
	WS_INVARIANT(call->path && call->method);
	ws_grow(&call->body, &call->body_cap, 1, 1);
	call->body[0] = '\0';
	if (info && info->socket_context)
		call->connected = *(ws_us *)info->socket_context;
	return call;
}

static void add_body(struct ws_shttp_call *call, const char *data, size_t len)
{
	if (call->body_len + len > WS_SHTTP_BODY_MAX) {
		call->too_large = true;
		return;
	}
	ws_grow(&call->body, &call->body_cap, call->body_len + len + 1, 1);
	memcpy(call->body + call->body_len, data, len);
	call->body_len += len;
	call->body[call->body_len] = '\0';
}

static enum MHD_Result run_handler(struct ws_shttp *s,
				   struct ws_shttp_call *call)
{
	enum ws_shttp_action next = WS_SHTTP_CLOSE;

	g_mutex_lock(&s->lock);
	if (call->too_large)
		next = ws_shttp_error(call, 413, "too_large");
	else if (!s->stopping)
		next = s->fn(s->arg, call, ws_shttp_now());
	if (next == WS_SHTTP_SUSPEND)
		add_waiting(s, call);
	g_mutex_unlock(&s->lock);
	if (next == WS_SHTTP_SUSPEND)
		return MHD_YES;
	return next == WS_SHTTP_CLOSE ? MHD_NO : send_answer(call);
}

static enum MHD_Result on_access(void *arg, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **slot)
{
	struct ws_shttp *s = arg;
	struct ws_shttp_call *call = *slot;

	(void)version;
	if (!call) {
		*slot = new_call(s, con, url, method);
		return MHD_YES;
	}
	if (*len) {
		add_body(call, data, *len);
		*len = 0;
		return MHD_YES;
	}
	return run_handler(s, call);
}

static void on_completed(void *arg, struct MHD_Connection *con, void **slot,
			 enum MHD_RequestTerminationCode code)
{
	struct ws_shttp *s = arg;
	struct ws_shttp_call *call = *slot;

	(void)con;
	(void)code;
	if (!call)
		return;
	g_mutex_lock(&s->lock);
	if (call->waiting)
		remove_waiting(s, call);
	if (call->free_handler_data)
		call->free_handler_data(call);
	g_mutex_unlock(&s->lock);
	free(call->method);
	free(call->path);
	free(call->body);
	free(call->reply);
	free(call);
	*slot = NULL;
}

static void on_connection(void *arg, struct MHD_Connection *con, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	ws_us *opened;

	(void)arg;
	(void)con;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		free(*context);
		*context = NULL;
		return;
	}
	opened = ws_alloc(1, sizeof(*opened));
	*opened = ws_shttp_now();
	*context = opened;
}

/* ===== Server ===== */

/* Reads 127.x.x.x:port; other addresses are refused. */
static bool read_address(const char *listen, struct sockaddr_in *out)
{
	const char *colon = strrchr(listen, ':');
	char host[32];
	char *end;
	long port;

	if (!colon || (size_t)(colon - listen) >= sizeof(host))
		return false;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - listen), listen);
	port = strtol(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	if (*end || end == colon + 1 || port < 0 || port > 65535)
		return false;
	if (inet_pton(AF_INET, host, &out->sin_addr) != 1)
		return false;
	return ntohl(out->sin_addr.s_addr) >> 24 == 127;
}

static bool start_server(struct ws_shttp *s, const struct sockaddr_in *addr)
{
	const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			       MHD_ALLOW_SUSPEND_RESUME;

	s->mhd = MHD_start_daemon(
		flags, 0, NULL, NULL, on_access, s, MHD_OPTION_SOCK_ADDR, addr,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, s, MHD_OPTION_END);
	if (!s->mhd)
		return false;
	s->timer = g_thread_new("timer", run_timer, s);
	return true;
}

static void stop_server(struct ws_shttp *s)
{
	g_mutex_lock(&s->lock);
	s->stopping = true;
	g_cond_signal(&s->wake);
	g_mutex_unlock(&s->lock);
	g_thread_join(s->timer);
	MHD_stop_daemon(s->mhd);
}

static void announce(struct ws_shttp *s, const struct sockaddr_in *addr)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(s->mhd, MHD_DAEMON_INFO_BIND_PORT);
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &addr->sin_addr, host, sizeof(host));
	printf("listening on %s:%u\n", host, info ? info->port : 0U);
	fflush(stdout);
}

int ws_shttp_serve(const char *listen, ws_shttp_handler fn, void *arg)
{
	struct ws_shttp s = { .fn = fn, .arg = arg };
	struct sockaddr_in addr;
	sigset_t set;
	int sig;

	if (!listen || !read_address(listen, &addr)) {
		fprintf(stderr, "--listen: expected 127.x.x.x:port; stand-ins "
				"serve on loopback only\n");
		return EXIT_USAGE;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_mutex_init(&s.lock);
	g_cond_init(&s.wake);
	if (!start_server(&s, &addr)) {
		fprintf(stderr, "cannot listen on %s; choose a free port\n",
			listen);
		return EXIT_FAILURE;
	}
	announce(&s, &addr);
	sigwait(&set, &sig);
	stop_server(&s);
	return EXIT_SUCCESS;
}
