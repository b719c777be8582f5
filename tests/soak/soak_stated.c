#include <stdio.h>
#include <string.h>

#include "soak.h"

/*
 * Servers that state in their answers that they leave, or for how long they
 * want no requests: series of such statements beside the other faults, and the
 * checks of what instances do with them.
 */

/* Time limits of the platform, and a margin for a slow test machine. */
#define DRAIN_MAX (2 * WS_SECOND)
#define SCHEDULING_MARGIN (500 * WS_MS)
/* A rejection binds after this time, but for some requests. */
#define REJECTION_BINDS_AFTER (500 * WS_MS)
#define REJECTION_SLACK 2
#define WINDOWS_MAX 64
/* Instances tell each other that a server leaves in this time. */
#define TOLD_MAX (1 * WS_SECOND)
/* Time after its start until an instance has heard the others. */
#define JOINED_MAX (3 * WS_SECOND)
/* A server that leaves gets nothing if so many others of its service are free.
 */
#define FREE_MIN 4
/* Each server that runs gets a request in this time, without faults. */
#define UNUSED_MAX (10 * WS_SECOND)

/* Time in which a server wants no requests. */
struct window {
	ws_us answered; /* 0: unused entry */
	ws_us until;
	unsigned n_requests;
};

/* What a server has told one instance. */
struct told {
	int64_t started_ms; /* start of the server that the rest is of */
	ws_us leaving; /* when an answer that says so was first passed on */
	struct window windows[WINDOWS_MAX]; /* ring buffer */
	unsigned n_windows;
};

struct way {
	bool disturbed;
	ws_us since; /* when that changed last */
};

/* Whether a start of a server is in use, after one that stated something. */
struct use {
	int64_t started_ms;
	ws_us started;
	ws_us leaving; /* when any instance first passed that on; 0: none */
	ws_us last_request; /* of this start; 0: none */
	bool has_stated; /* this start */
	bool former_stated; /* the start before it */
};

static struct told told[SOAK_SERVERS_MAX][SOAK_INSTANCES_MAX];
static struct way ways[SOAK_SERVERS_MAX];
static struct use uses[SOAK_SERVERS_MAX];
static unsigned n_series[2]; /* leaving, rejecting */
static unsigned n_passed_on; /* pairs of a start of a server and an instance */
static unsigned n_rejections;

/* Forgets what former starts of the server have told. */
static struct told *find_told(int server, int instance, int64_t started_ms)
{
	struct told *t = &told[server][instance];

	if (t->started_ms < started_ms) {
		memset(t, 0, sizeof(*t));
		t->started_ms = started_ms;
	}
	return t;
}

/* ===== What servers state ===== */

void soak_stated_format_start(int server, int64_t started_ms, bool leaving,
			      char *buf, size_t size)
{
	snprintf(buf, size, "%d %lld %d", server, (long long)started_ms,
		 leaving);
}

ws_us soak_stated_format_retry_after(enum soak_retry_after kind, char *buf,
				     size_t size)
{
	static const char *const fixed[] = {
		[SOAK_RETRY_ZERO] = "0",
		[SOAK_RETRY_NEGATIVE] = "-2.5",
		[SOAK_RETRY_MALFORMED] = "3s",
		[SOAK_RETRY_DATE] = "Fri, 31 Dec 2027 23:59:59 GMT",
		[SOAK_RETRY_HUGE] = "86400",
	};
	ws_us time = soak_random_between(200 * WS_MS, 4 * WS_SECOND);

	if (kind == SOAK_RETRY_TIME) {
		snprintf(buf, size, "%.3f", (double)time / 1e6);
		return time;
	}
	g_strlcpy(buf, fixed[kind], size);
	return kind == SOAK_RETRY_HUGE ? 86400 * WS_SECOND : 0;
}

void soak_stated_passed_on(int instance, const char *start)
{
	int server;
	long long started_ms;
	int leaving;
	struct told *t;

	if (!start ||
	    sscanf(start, "%d %lld %d", &server, &started_ms, &leaving) != 3 ||
	    server < 0 || server >= soak.opt.servers || !leaving)
		return;
	t = find_told(server, instance, started_ms);
	if (t->started_ms != started_ms ||
	    (t->leaving &&
	     t->leaving >= soak_process_undisturbed_since(instance)))
		return;
	t->leaving = soak_now();
	n_passed_on++;
	if (uses[server].started_ms == started_ms && !uses[server].leaving)
		uses[server].leaving = t->leaving;
}

void soak_stated_rejected(int server, const char *id, ws_us time)
{
	int instance;
	ws_us sent;
	struct told *t;

	uses[server].has_stated = true;
	if (!time || !id || !soak_check_find_sent(id, &instance, &sent))
		return;
	t = &told[server][instance];
	t->windows[t->n_windows++ % WINDOWS_MAX] = (struct window){
		.answered = soak_now(),
		.until = soak_now() + time,
	};
	n_rejections++;
}

/* ===== Checks ===== */

/* Checks DRAIN: a restart or freeze of the instance since then excuses it. */
static void check_leaving(const struct told *t, int server, int instance,
			  const char *id, ws_us sent)
{
	ws_us undisturbed = soak_process_undisturbed_since(instance);

	if (t->leaving && undisturbed && t->leaving >= undisturbed &&
	    sent - t->leaving > DRAIN_MAX + SCHEDULING_MARGIN)
		soak_violation("DRAIN",
			       "s%d got %s from instance %d, sent %.3f s after "
			       "the instance had passed on that s%d leaves",
			       server, id, instance,
			       (double)(sent - t->leaving) / 1e6, server);
}

/* Checks that an instance knows what another one has passed on. */
static void check_told(int server, int instance, const char *id, ws_us sent)
{
	const struct use *u = &uses[server];
	ws_us undisturbed = soak_process_undisturbed_since(instance);

	if (!u->leaving || server % 2 || sent - u->leaving < TOLD_MAX ||
	    !undisturbed || sent - undisturbed < JOINED_MAX ||
	    !soak_is_quiet(0) || soak_servers_free(false) < FREE_MIN)
		return;
	soak_violation("TOLD",
		       "s%d got %s from instance %d, sent %.3f s after an "
		       "instance had passed on that s%d leaves",
		       server, id, instance, (double)(sent - u->leaving) / 1e6,
		       server);
}

static bool is_binding(const struct window *w, const struct way *way,
		       ws_us undisturbed, ws_us now)
{
	return w->answered && undisturbed && w->answered >= undisturbed &&
	       w->answered >= soak.held_up && !way->disturbed &&
	       w->answered >= way->since &&
	       now >= w->answered + REJECTION_BINDS_AFTER && now <= w->until;
}

/*
 * Checks BUDGET: a restart, freeze or cut of the instance since the answer
 * excuses it. A cut from the store is none, as all answers arrive.
 */
static void check_rejections(struct told *t, int server, int instance,
			     const char *id)
{
	ws_us undisturbed = soak_process_undisturbed_since(instance);
	ws_us now = soak_now();
	const struct window *worst = NULL;
	unsigned i;

	for (i = 0; i < WINDOWS_MAX; i++) {
		struct window *w = &t->windows[i];

		if (!is_binding(w, &ways[server], undisturbed, now))
			continue;
		w->n_requests++;
		if (!worst || w->n_requests > worst->n_requests)
			worst = w;
	}
	if (worst && worst->n_requests > REJECTION_SLACK)
		soak_violation("BUDGET",
			       "s%d got %s from instance %d, the %u. request "
			       "%.3f s after it had rejected one for %.3f s",
			       server, id, instance, worst->n_requests,
			       (double)(now - worst->answered) / 1e6,
			       (double)(worst->until - worst->answered) / 1e6);
}

void soak_stated_request(int server, int64_t started_ms, const char *id,
			 bool misdirected)
{
	int instance;
	ws_us sent;
	struct told *t;

	uses[server].last_request = soak_now();
	if (!id || !soak_check_find_sent(id, &instance, &sent))
		return;
	t = find_told(server, instance, started_ms);
	if (!misdirected) {
		check_leaving(t, server, instance, id, sent);
		check_told(server, instance, id, sent);
	}
	check_rejections(t, server, instance, id);
}

void soak_stated_way_disturbed(int server, bool is_disturbed)
{
	ways[server].disturbed = is_disturbed;
	ways[server].since = soak_now();
}

void soak_stated_started(int server, int64_t started_ms)
{
	struct use *u = &uses[server];

	*u = (struct use){
		.started_ms = started_ms,
		.started = soak_now(),
		.former_stated = u->has_stated,
	};
}

/* What a former start has stated must not keep requests from the next one. */
static void check_used(int server)
{
	const struct use *u = &uses[server];
	ws_us since = u->last_request ? u->last_request : u->started;
	double unused = (double)(soak_now() - since) / 1e6;

	if (soak_now() - since < UNUSED_MAX)
		return;
	/* A server without keys serves nobody, and may get none in calm. */
	if (u->former_stated && !u->last_request &&
	    !soak_server_lacks_keys(server))
		soak_violation(
			"RECOVER",
			"s%d got no request in the %.1f s since its start",
			server, unused);
	else
		soak_log("s%d got no request in the last %.1f s", server,
			 unused);
}

void soak_stated_check_used(void)
{
	int i;

	for (i = 0; i < soak.opt.servers; i++)
		check_used(i);
}

void soak_stated_print(void)
{
	printf("statements: %u servers left by their answers, passed on by %u "
	       "instances; %u series of rejections, %u with a time\n",
	       n_series[0], n_passed_on, n_series[1], n_rejections);
}

/* ===== Series ===== */

static struct {
	ws_us at; /* 0: none */
	int server;
	bool limits; /* it states a limit as well */
	bool rejects; /* it rejects as well */
	struct soak_leave how;
} leave;

static ws_us limited_until[SOAK_SERVERS_MAX]; /* 0: not by a series */

static void plan_limit(int server)
{
	soak_server_limit(server, (double)soak_random_between(1, 12));
	limited_until[server] =
		soak_now() + soak_random_between(1 * WS_SECOND, 8 * WS_SECOND);
}

/* Draws other faults that begin about the same time. */
static void plan_company(ws_us now)
{
	static const char *const names[] = { "store",	  "restore", "kill",
					     "terminate", "pause",   "cut" };
	unsigned n = (unsigned)ws_rand_below(&soak.rand, 3);

	while (n--) {
		size_t i =
			(size_t)ws_rand_below(&soak.rand, G_N_ELEMENTS(names));

		soak_schedule_fault(
			names[i], now + soak_random_between(1, 4 * WS_SECOND));
	}
}

static void plan_leave(ws_us now)
{
	struct soak_leave *l = &leave.how;

	leave.server =
		(int)ws_rand_below(&soak.rand, (uint64_t)soak.opt.servers);
	leave.at = now + soak_random_between(1, 2 * WS_SECOND);
	leave.limits = soak_chance(25);
	leave.rejects = soak_chance(25);
	memset(l, 0, sizeof(*l));
	l->serves = DRAIN_MAX + soak_random_between(500 * WS_MS, 6 * WS_SECOND);
	l->down = soak_random_between(200 * WS_MS, 5 * WS_SECOND);
	l->keeps_entry = soak_chance(50);
	if (soak_chance(60))
		l->entry_gone = soak_random_between(1, l->serves);
	if (l->entry_gone && soak_chance(50))
		l->entry_back = l->entry_gone +
				soak_random_between(200 * WS_MS, 3 * WS_SECOND);
	plan_company(now);
}

static struct soak_reject draw_reject(void)
{
	struct soak_reject r = {
		.percent = soak_chance(70) ? 100 : 50,
		.time = soak_random_between(300 * WS_MS, 4 * WS_SECOND),
	};

	if (soak_chance(35))
		r.retry_after = (enum soak_retry_after)soak_random_between(
			SOAK_RETRY_ZERO, SOAK_RETRY_HUGE);
	if (r.retry_after == SOAK_RETRY_HUGE || soak_chance(20))
		r.restart = soak_random_between(200 * WS_MS, 3 * WS_SECOND);
	return r;
}

static void begin_leave(void)
{
	const struct soak_leave *l = &leave.how;

	leave.at = 0;
	if (!soak_server_leave(leave.server, l))
		return;
	uses[leave.server].has_stated = true;
	n_series[0]++;
	soak_log("leave: server %d for %.1f s, its entry is gone after %.1f s, "
		 "back after %.1f s%s%s%s",
		 leave.server, (double)l->serves / 1e6,
		 (double)l->entry_gone / 1e6, (double)l->entry_back / 1e6,
		 l->keeps_entry ? "; keeps its entry" : "",
		 leave.limits ? "; limits" : "",
		 leave.rejects ? "; rejects" : "");
	if (leave.limits)
		plan_limit(leave.server);
	if (leave.rejects) {
		const struct soak_reject r = draw_reject();

		soak_server_reject(leave.server, &r);
	}
}

/* Of one server, or of all of its service. */
static void begin_reject(void)
{
	const struct soak_reject r = draw_reject();
	int first = (int)ws_rand_below(&soak.rand, (uint64_t)soak.opt.servers);
	bool all = soak_chance(40);
	int i;

	n_series[1]++;
	soak_log("reject: %s %d for %.1f s, %u %%, kind %d, restart %.1f s",
		 all ? "all servers like" : "server", first,
		 (double)r.time / 1e6, r.percent, (int)r.retry_after,
		 (double)r.restart / 1e6);
	for (i = all ? first % 2 : first; i < soak.opt.servers; i += 2) {
		soak_server_reject(i, &r);
		if (!all)
			break;
	}
	if (soak_chance(25))
		plan_limit(first);
	if (soak_chance(50))
		plan_company(soak_now());
}

void soak_stated_inject(ws_us now, bool may_begin)
{
	static ws_us next;
	const char *only = soak.opt.only;
	int i;

	for (i = 0; i < soak.opt.servers; i++)
		if (limited_until[i] && now >= limited_until[i]) {
			limited_until[i] = 0;
			soak_server_limit(i, -1.0);
		}
	if (leave.at && now >= leave.at)
		begin_leave();
	if (!may_begin || now < next || leave.at)
		return;
	next = now + soak_random_between(500 * WS_MS, 4 * WS_SECOND);
	if ((!only[0] && soak_chance(60)) || !strcmp(only, "leave"))
		plan_leave(now);
	else if (!only[0] || !strcmp(only, "reject"))
		begin_reject();
}

bool soak_stated_is_calm(void)
{
	int i;

	for (i = 0; i < soak.opt.servers; i++)
		if (limited_until[i])
			return false;
	return !leave.at && soak_servers_are_calm();
}
