#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "io/ws_signals.h"
#include "soak.h"

/* Starts the instances as child processes and sends them signals. */

#define TERM_GRACE (6 * WS_SECOND)
#define STORE_PORT 7000

enum state {
	RUNNING = 1,
	PAUSED,
	TERMINATING, /* SIGTERM was sent */
	STOPPED,
};

struct process {
	pid_t pid;
	enum state state;
	ws_us since; /* in this state */
	ws_us resume_at; /* STOPPED: next start; PAUSED: SIGCONT */
	ws_us undisturbed_since; /* last start or SIGCONT; 0: signal sent */
	bool stops_cleanly; /* of all signals, only SIGTERM ends it */
	struct soak_proxy *store_proxy;
	int starts;
};

static struct process processes[SOAK_INSTANCES_MAX];
static int timer;

static void format_path(int i, const char *what, char *buf, size_t size)
{
	snprintf(buf, size, "%s/%d.%s", soak.opt.dir, i, what);
}

static void write_settings(int i)
{
	char path[300];
	char temporary[300];
	FILE *f;

	format_path(i, "json", path, sizeof(path));
	format_path(i, "json.new", temporary, sizeof(temporary));
	f = fopen(temporary, "w");
	if (!f) {
		perror(temporary);
		exit(2);
	}
	fprintf(f,
		"{\"local_node\":{\"node\":\"edge-%d\",\"zone\":\"z%d\","
		"\"bootstrap\":%s,\"ip\":\"%s.%d\",\"limits\":{\"memory_mb\":260,"
		"\"max_fds\":4096,\"cpu_share\":1,\"cores\":1,"
		"\"link_mbps\":1000}},\"network\":{\"listen\":{\"front\":"
		"\"%s.%d:7100\",\"ready\":\"%s.%d:7101\"},"
		"\"internal_ports\":[7110,7120]},\"platform\":{\"platform\":"
		"{\"address\":\"%s.%d:%d\"}},\"terms\":{\"bounds\":{"
		"\"revoke_s\":5,\"grace_s\":6,\"budget_ratio\":0.2,"
		"\"budget_slack\":60,\"quota_slack\":20}}}\n",
		i, i % 3, processes[i].starts > 1 ? "false" : "true", soak.net,
		10 + i, soak.net, 10 + i, soak.net, 10 + i, soak.net, 100 + i,
		STORE_PORT);
	fclose(f);
	/* A process that starts may read the file at this moment. */
	rename(temporary, path);
}

static void start_process(int i)
{
	struct process *p = &processes[i];
	static const int signals[] = { SIGTERM, SIGHUP };
	char settings[300];
	char log[300];

	format_path(i, "json", settings, sizeof(settings));
	format_path(i, "log", log, sizeof(log));
	p->starts++;
	write_settings(i);
	p->state = RUNNING;
	p->since = soak_now();
	p->undisturbed_since = p->since;
	p->stops_cleanly = false;
	/* Signals may come at any time; the program lets them through. */
	ws_signals_hold(signals, G_N_ELEMENTS(signals));
	p->pid = fork();
	if (!p->pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(soak.opt.edge, soak.opt.edge, "--settings", settings,
		      (char *)NULL);
		_exit(127);
	}
	ws_signals_release(signals, G_N_ELEMENTS(signals));
}

static void reap_process(int i, ws_us now)
{
	struct process *p = &processes[i];
	int status;

	if (waitpid(p->pid, &status, WNOHANG) != p->pid)
		return;
	if (p->state == RUNNING || p->state == PAUSED)
		soak_violation("EXIT", "instance %d ended by itself (%s %d)", i,
			       WIFEXITED(status) ? "status" : "signal",
			       WIFEXITED(status) ? WEXITSTATUS(status) :
						   WTERMSIG(status));
	else if (p->state == TERMINATING && !WIFEXITED(status))
		soak_violation("EXIT", "instance %d was killed by signal %d", i,
			       WTERMSIG(status));
	if (p->state != STOPPED)
		p->resume_at = now + 300 * WS_MS;
	p->state = STOPPED;
	p->pid = 0;
}

static void tick(void *arg, ws_us now)
{
	int i;

	(void)arg;
	for (i = 0; i < soak.opt.instances; i++) {
		struct process *p = &processes[i];

		if (p->pid)
			reap_process(i, now);
		if (p->state == STOPPED && !p->pid && now >= p->resume_at)
			start_process(i);
		if (p->state == PAUSED && now >= p->resume_at) {
			kill(p->pid, SIGCONT);
			p->state = RUNNING;
			p->undisturbed_since = now;
		}
		if (p->state == TERMINATING && now - p->since > TERM_GRACE) {
			soak_violation(
				"DRAIN",
				"instance %d still runs %.1f s after SIGTERM",
				i, (double)(now - p->since) / 1e6);
			kill(p->pid, SIGKILL);
			p->stops_cleanly = false;
			p->state = STOPPED;
			p->resume_at = now + WS_SECOND;
		}
	}
}

void soak_process_kill(int i, ws_us down_time)
{
	struct process *p = &processes[i];

	if (!p->pid || p->state == STOPPED)
		return;
	kill(p->pid, SIGKILL);
	p->state = STOPPED;
	p->resume_at = soak_now() + down_time;
	p->undisturbed_since = 0;
	p->stops_cleanly = false;
}

void soak_process_terminate(int i)
{
	struct process *p = &processes[i];

	if (p->state != RUNNING)
		return;
	kill(p->pid, SIGTERM);
	p->state = TERMINATING;
	p->since = soak_now();
	p->undisturbed_since = 0;
	p->stops_cleanly = true;
}

void soak_process_pause(int i, ws_us time)
{
	struct process *p = &processes[i];

	if (p->state != RUNNING)
		return;
	kill(p->pid, SIGSTOP);
	p->state = PAUSED;
	p->resume_at = soak_now() + time;
	p->undisturbed_since = 0;
}

void soak_process_reload(int i)
{
	write_settings(i);
	if (processes[i].state == RUNNING)
		kill(processes[i].pid, SIGHUP);
}

bool soak_processes_all_run(void)
{
	int i;

	for (i = 0; i < soak.opt.instances; i++)
		if (processes[i].state != RUNNING)
			return false;
	return true;
}

struct soak_proxy *soak_process_store_proxy(int i)
{
	return processes[i].store_proxy;
}

ws_us soak_process_undisturbed_since(int i)
{
	return processes[i].state == RUNNING ? processes[i].undisturbed_since :
					       0;
}

bool soak_process_stops_cleanly(int i)
{
	return processes[i].stops_cleanly;
}

void soak_processes_start(void)
{
	int i;

	for (i = 0; i < soak.opt.instances; i++) {
		char from[64];
		char to[64];

		snprintf(from, sizeof(from), "%s.%d:%d", soak.net, 100 + i,
			 STORE_PORT);
		snprintf(to, sizeof(to), "%s.1:%d", soak.net, STORE_PORT);
		processes[i].store_proxy = soak_proxy_new(from, to);
		write_settings(i);
		start_process(i);
	}
	timer = ws_timer_every(soak.timers, soak_now(), 20 * WS_MS, tick, NULL);
}

void soak_processes_stop(void)
{
	int i;

	ws_timer_cancel(soak.timers, timer);
	for (i = 0; i < soak.opt.instances; i++) {
		struct process *p = &processes[i];

		if (p->pid) {
			kill(p->pid, SIGKILL);
			waitpid(p->pid, NULL, 0);
		}
		soak_proxy_free(p->store_proxy);
	}
}
