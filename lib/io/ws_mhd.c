#include "io/ws_mhd.h"

#include <stdlib.h>
#include <unistd.h>

#include "config/ws_config.h"

/*
 * Memory for the headers of a request and its response. libmicrohttpd clears it
 * twice per request, which took 4 % of the time with 32 KiB.
 */
#define CONNECTION_MEMORY ((size_t)16 * 1024)
/* Time after which idle connections are closed. */
#define IDLE_TIMEOUT_S 75U
/* Longest time between runs: only MHD_run() checks libmicrohttpd's timeouts. */
#define SLEEP_MAX_S 0.5
#define RUNS_PER_ITERATION 4

struct ws_mhd {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	ev_prepare prepare;
	bool needs_run; /* a connection was resumed */
	bool quiesced;
	bool running; /* inside MHD_run() */
	unsigned connections; /* number after the last MHD_run() */
};

/* ===== Event loop ===== */

/*
 * Must not be called inside MHD_run(): this query makes libmicrohttpd free
 * closed connections, which MHD_run() may still access.
 */
static unsigned count_connections(const struct ws_mhd *m)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		m->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info ? info->num_connections : 0;
}

static void run_daemon(struct ws_mhd *m)
{
	m->needs_run = false;
	m->running = true;
	MHD_run(m->daemon);
	m->running = false;
	m->connections = count_connections(m);
}

static void on_ready(EV_P_ ev_io *w, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(w->data);
}

static void on_timer(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(w->data);
}

static void arm_timer(struct ws_mhd *m, double after)
{
	ev_timer_stop(m->loop, &m->timer);
	ev_timer_set(&m->timer, after, 0.);
	ev_timer_start(m->loop, &m->timer);
}

/* Handles resumed connections, then sets the timer for the sleep. */
static void before_sleep(EV_P_ ev_prepare *w, int revents)
{
	struct ws_mhd *m = w->data;
	MHD_UNSIGNED_LONG_LONG ms = 0;
	int i;

	(void)loop;
	(void)revents;
	for (i = 0; i < RUNS_PER_ITERATION && m->needs_run; i++)
		run_daemon(m);
	if (m->needs_run || (MHD_get_timeout(m->daemon, &ms) == MHD_YES && !ms))
		arm_timer(m, 0.);
	else if (!ev_is_active(&m->timer))
		arm_timer(m, SLEEP_MAX_S);
}

/* ===== Lifecycle ===== */

static void start_watchers(struct ws_mhd *m)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(m->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_init(&m->io, on_ready, info->epoll_fd, EV_READ);
	ev_timer_init(&m->timer, on_timer, SLEEP_MAX_S, 0.);
	ev_prepare_init(&m->prepare, before_sleep);
	m->io.data = m;
	m->timer.data = m;
	m->prepare.data = m;
	ev_io_start(m->loop, &m->io);
	ev_timer_start(m->loop, &m->timer);
	ev_prepare_start(m->loop, &m->prepare);
}

static struct MHD_Daemon *start_daemon(const struct ws_mhd_conf *conf,
				       struct sockaddr_storage *addr)
{
	unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;

	if (addr->ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(
		flags, 0, NULL, NULL, conf->handler, conf->arg,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)addr,
		MHD_OPTION_CONNECTION_LIMIT, conf->max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		conf->connection_memory ? conf->connection_memory :
					  CONNECTION_MEMORY,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
		conf->begin, conf->arg, MHD_OPTION_NOTIFY_COMPLETED,
		conf->completed, conf->arg, MHD_OPTION_END);
}

struct ws_mhd *ws_mhd_new(struct ev_loop *loop, const struct ws_mhd_conf *conf)
{
	struct sockaddr_storage addr;
	socklen_t len;
	struct MHD_Daemon *daemon;
	struct ws_mhd *m;

	if (ws_config_address(conf->address, &addr, &len))
		return NULL;
	daemon = start_daemon(conf, &addr);
	if (!daemon)
		return NULL;
	m = ws_alloc(1, sizeof(*m));
	m->loop = loop;
	m->daemon = daemon;
	start_watchers(m);
	return m;
}

void ws_mhd_free(struct ws_mhd *m)
{
	if (!m)
		return;
	ev_io_stop(m->loop, &m->io);
	ev_timer_stop(m->loop, &m->timer);
	ev_prepare_stop(m->loop, &m->prepare);
	MHD_stop_daemon(m->daemon);
	free(m);
}

void ws_mhd_quiesce(struct ws_mhd *m)
{
	MHD_socket fd;

	if (m->quiesced)
		return;
	m->quiesced = true;
	fd = MHD_quiesce_daemon(m->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void ws_mhd_resume(struct ws_mhd *m, struct MHD_Connection *con)
{
	MHD_resume_connection(con);
	m->needs_run = true;
}

unsigned ws_mhd_connections(const struct ws_mhd *m)
{
	return m->running ? m->connections : count_connections(m);
}
