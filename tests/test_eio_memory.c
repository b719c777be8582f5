#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ed_suite.h"
#include "edgeio/ws_eio.h"
#include "platform/wp_decode.h"

/*
 * Memory of an instance whose servers send bytes without end, or almost a
 * head, to hundreds of open calls. The instance is a process of its own, and so
 * are its servers; the store is down, and the instance is given configuration
 * and list. Its peak must stay below memory_mb, requests at other servers are
 * served meanwhile, and the memory is released afterwards.
 */

#define IP "127.19.28.1"
#define CALLERS_PORT 7100
#define FAULTY_PORT 7200
#define SOUND_PORT 7201
#define STORE_PORT 7000
#define MIB ((size_t)1024 * 1024)
#define MEMORY_MAX (128 * MIB)
/* Of a process that has nothing to do, above what it had at its start */
#define KEPT_MAX (24 * MIB)
#define CALLERS 600
#define SOUND_CALLERS 20
#define CONNECTIONS_MAX 1500
#define LOAD_TIME (4 * WS_SECOND)
#define DEADLINE_MS 1500
/*
 * Of uploads, and of requests at the sound server, which get little processor
 * time beside the others
 */
#define LONG_DEADLINE_MS 6000
#define CHUNK_BYTES 16384
#define UPLOAD_CHUNK_BYTES (128 * 1024)
/* Of a head that is never finished */
#define UNFINISHED_HEAD ((size_t)120 * 1024)
#define UNFINISHED_LINE ((size_t)90 * 1024)

static const char config_text[] =
	"{\"version\":\"00000001\",\"services\":[{\"name\":\"faulty\"},"
	"{\"name\":\"sound\"}],\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":4194304,\"header_timeout_s\":5,"
	"\"idle_timeout_s\":10},\"tenants\":[],"
	"\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
	"{\"name\":\"f\",\"path_prefix\":\"/f/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":1,\"service\":\"faulty\",\"max_attempts\":1},"
	"{\"name\":\"s\",\"path_prefix\":\"/s/\",\"kind\":\"idempotent\","
	"\"target_latency_s\":1,\"service\":\"sound\",\"max_attempts\":1}]}]}";

/* What the faulty server sends after it has read a request. */
enum fault {
	FAULT_LINE = 0, /* a header line that is not finished */
	FAULT_LINES, /* header lines, but not the end of the head */
	FAULT_SHORT_LINES, /* the same, of a few bytes each */
	FAULT_1XX, /* without end */
	FAULT_LENGTH, /* a body with a huge length */
	FAULT_NO_LENGTH, /* a body without a length */
	FAULT_CHUNKS,
	FAULT_EXTENSION, /* of a chunk, without end */
	FAULT_TRAILERS, /* without end */
	FAULT_NOISE, /* bytes that are no answer */
	FAULT_COUNT,
	FAULT_SILENCE = FAULT_COUNT, /* no answer at all */
	FAULT_LARGE, /* complete answers that callers do not read */
	FAULTS,
};

static const struct fault_bytes {
	const char *first;
	const char *repeated;
	size_t max; /* 0: without end */
} faults[FAULTS] = {
	[FAULT_LINE] = { "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx",
			 UNFINISHED_LINE },
	[FAULT_LINES] = { "HTTP/1.1 200 OK\r\n",
			  "X-Header-Of-The-Server: some value or other\r\n",
			  UNFINISHED_HEAD },
	[FAULT_SHORT_LINES] = { "HTTP/1.1 200 OK\r\n", "a:\r\n",
				UNFINISHED_HEAD },
	[FAULT_1XX] = { "", "HTTP/1.1 102 Processing\r\n\r\n", 0 },
	[FAULT_LENGTH] = { "HTTP/1.1 200 OK\r\nContent-Length: "
			   "99999999999\r\n\r\n",
			   "xxxxxxxxxxxxxxxx", 0 },
	[FAULT_NO_LENGTH] = { "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx",
			      0 },
	[FAULT_CHUNKS] = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
			   "chunked\r\n\r\n",
			   "4\r\nabcd\r\n", 0 },
	[FAULT_EXTENSION] = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
			      "chunked\r\n\r\n4;",
			      "extension", 0 },
	[FAULT_TRAILERS] = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
			     "chunked\r\n\r\n0\r\n",
			     "X-Trailer: value\r\n", 0 },
	[FAULT_NOISE] = { "", "no answer at all ", 0 },
	[FAULT_SILENCE] = { "", "x", 1 },
	[FAULT_LARGE] = { "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n",
			  "xxxxxxxxxxxxxxxx", 2000000 },
};

/* The sanitizer's own memory says nothing about the instance's. */
#ifdef __SANITIZE_ADDRESS__
static const bool checks_memory = false;
#else
static const bool checks_memory = true;
#endif

static bool faulty_store;
static pid_t instance;
static pid_t server;

/* ===== Sockets ===== */

static struct sockaddr_in address_of(int port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = inet_addr(IP),
	};
}

static int listen_at(int port)
{
	struct sockaddr_in at = address_of(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(listen(fd, CONNECTIONS_MAX), 0);
	return fd;
}

static int connect_to(int port)
{
	struct sockaddr_in to = address_of(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	ck_assert_int_ge(fd, 0);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS)
		ck_abort_msg("cannot connect: %s", strerror(errno));
	return fd;
}

/* ===== Servers ===== */

struct server_con {
	int fd; /* 0: free */
	bool faulty;
	bool reading; /* a request is awaited */
	size_t sent;
	size_t tail; /* bytes of the last repetition that were sent */
	char request[4096];
	size_t len;
};

static struct server_con cons[CONNECTIONS_MAX];

static void close_con(struct server_con *c)
{
	close(c->fd);
	*c = (struct server_con){ .fd = 0 };
}

static void accept_cons(int listener, bool faulty)
{
	int fd;
	int i;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		fcntl(fd, F_SETFL, O_NONBLOCK);
		for (i = 0; i < CONNECTIONS_MAX && cons[i].fd; i++)
			;
		if (i == CONNECTIONS_MAX) {
			close(fd);
			return;
		}
		cons[i] = (struct server_con){ .fd = fd,
					       .faulty = faulty,
					       .reading = true };
	}
}

static void answer_soundly(struct server_con *c)
{
	const char *id = strstr(c->request, "Wagtailshift-Request-Id:");
	char text[512];
	int n;

	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 200 OK\r\nWagtailshift-Server-Seal: s\r\n"
		     "%.*s\r\nContent-Length: 4\r\n\r\ndone",
		     id ? (int)strcspn(id, "\r") : 0, id ? id : "");
	if (send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		close_con(c);
	else
		c->len = 0;
}

static void read_request(struct server_con *c)
{
	ssize_t n = recv(c->fd, c->request + c->len,
			 sizeof(c->request) - 1 - c->len, 0);

	if (n <= 0) {
		close_con(c);
		return;
	}
	c->len += (size_t)n;
	c->request[c->len] = '\0';
	if (!strstr(c->request, "\r\n\r\n"))
		return;
	if (c->faulty)
		c->reading = false;
	else
		answer_soundly(c);
}

static void send_fault(struct server_con *c, const struct fault_bytes *f)
{
	char chunk[CHUNK_BYTES];
	size_t first = strlen(f->first);
	size_t len = strlen(f->repeated);
	size_t n = 0;
	ssize_t sent;

	if (c->sent < first) {
		sent = send(c->fd, f->first, first, MSG_NOSIGNAL);
		if (sent != (ssize_t)first) {
			close_con(c);
			return;
		}
		c->sent = first;
	}
	while (n < sizeof(chunk)) {
		chunk[n] = f->repeated[(c->tail + n) % len];
		n++;
	}
	if (f->max && c->sent + n > f->max)
		n = f->max > c->sent ? f->max - c->sent : 0;
	sent = n ? send(c->fd, chunk, n, MSG_NOSIGNAL) : 0;
	if (sent < 0 && errno != EAGAIN) {
		close_con(c);
		return;
	}
	if (sent > 0) {
		c->sent += (size_t)sent;
		c->tail = (c->tail + (size_t)sent) % len;
	}
}

/* A server that has nothing left to send reads nothing more either. */
static short events_at_server(const struct server_con *c,
			      const struct fault_bytes *f)
{
	if (c->reading)
		return POLLIN;
	return !f->max || c->sent < f->max ? POLLOUT : 0;
}

/* @param store listener of a store that fails in the same way; -1: none */
static void serve_forever(const struct fault_bytes *f, int faulty, int sound,
			  int store)
{
	static struct pollfd polled[CONNECTIONS_MAX + 2];
	int i;

	for (;;) {
		polled[0] = (struct pollfd){ .fd = faulty, .events = POLLIN };
		polled[1] = (struct pollfd){ .fd = sound, .events = POLLIN };
		for (i = 0; i < CONNECTIONS_MAX; i++)
			polled[i + 2] = (struct pollfd){
				.fd = cons[i].fd ? cons[i].fd : -1,
				.events = events_at_server(&cons[i], f),
			};
		poll(polled, CONNECTIONS_MAX + 2, 100);
		for (i = 0; i < CONNECTIONS_MAX; i++) {
			short got = polled[i + 2].revents;

			if (!cons[i].fd || !got)
				continue;
			if (got & POLLOUT)
				send_fault(&cons[i], f);
			else if (cons[i].reading)
				read_request(&cons[i]);
			else
				close_con(&cons[i]);
		}
		accept_cons(faulty, true);
		if (store >= 0)
			accept_cons(store, true);
		accept_cons(sound, false);
	}
}

static void start_servers(enum fault kind)
{
	int faulty = listen_at(FAULTY_PORT);
	int sound = listen_at(SOUND_PORT);
	int store = faulty_store ? listen_at(STORE_PORT) : -1;

	server = fork();
	ck_assert_int_ge(server, 0);
	if (!server) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		serve_forever(&faults[kind], faulty, sound, store);
	}
	close(faulty);
	close(sound);
	if (store >= 0)
		close(store);
}

/* ===== The instance ===== */

static void list_server(struct ws_eio *io, const char *service, int port)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l = {
		.service = ws_ed_id(service),
		.zone = ws_ed_id("z"),
		.slots = 4000,
	};

	snprintf(l.name, sizeof(l.name), "%s", service);
	snprintf(l.address, sizeof(l.address), "%s:%d", IP, port);
	ev.u.listing = &l;
	ws_eio_handle_event(io, &ev);
}

static void run_instance(int ready)
{
	struct wp_settings set = {
		.name = "n1",
		.zone = "z",
		.ip = IP,
		.callers_address = IP ":7100",
		.readiness_address = IP ":7101",
		.heartbeat_address = IP ":7110",
		.records_address = IP ":7111",
		.store_address = IP ":7000",
		.memory_max = MEMORY_MAX,
		.max_fds = 4000,
		.cores = 1.0,
		.grace_period = 2 * WS_SECOND,
	};
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	struct wp_error err = { "" };
	struct ev_loop *loop;
	struct ws_eio *io;

	curl_global_init(CURL_GLOBAL_NOTHING);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_loop_new(0);
	io = ws_eio_new(loop, &set, &err);
	if (!io) {
		fprintf(stderr, "%s\n", err.text);
		_exit(1);
	}
	ev.u.config =
		wp_decode_config(config_text, sizeof(config_text) - 1, NULL);
	ws_eio_handle_event(io, &ev);
	list_server(io, "faulty", FAULTY_PORT);
	list_server(io, "sound", SOUND_PORT);
	ck_assert_int_eq((int)write(ready, "r", 1), 1);
	ev_run(loop, 0);
	_exit(0);
}

static void start_instance(void)
{
	int ready[2];
	char c;

	ck_assert_int_eq(pipe(ready), 0);
	instance = fork();
	ck_assert_int_ge(instance, 0);
	if (!instance) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		run_instance(ready[1]);
	}
	close(ready[1]);
	ck_assert_int_eq((int)read(ready[0], &c, 1), 1);
	close(ready[0]);
}

/* A line of /proc/PID/status, in bytes: VmHWM or VmRSS */
static size_t memory_of(pid_t pid, const char *name)
{
	char path[64];
	char line[256];
	size_t kib = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	ck_assert_ptr_nonnull(f);
	while (fgets(line, sizeof(line), f))
		if (!strncmp(line, name, strlen(name)))
			kib = strtoul(line + strlen(name) + 1, NULL, 10);
	fclose(f);
	return kib * 1024;
}

static void expect_alive(void)
{
	int status;

	ck_assert_msg(!waitpid(instance, &status, WNOHANG),
		      "the instance has ended");
}

static void stop_all(void)
{
	kill(instance, SIGKILL);
	kill(server, SIGKILL);
	waitpid(instance, NULL, 0);
	waitpid(server, NULL, 0);
}

/* ===== Callers ===== */

struct caller {
	int fd;
	bool sound;
	char text[4096];
	size_t len;
	ws_us sent_at;
	size_t body_left;
	size_t tail; /* bytes of the last repetition that were sent */
};

/* What callers of the faulty server do */
static const struct caller_bytes {
	const char *first;
	const char *repeated; /* without end, until the instance closes */
} * endless; /* sent in place of requests; NULL: requests are sent */
static const struct caller_bytes caller_faults[] = {
	{ "GET /f/1 HTTP/1.1\r\nHost: h\r\nX: ", "xxxxxxxxxxxxxxxx" },
	{ "GET /f/1 HTTP/1.1\r\nHost: h\r\n", "a:\r\n" },
	{ "GET /", "xxxxxxxxxxxxxxxx" },
	{ "POST /f/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	  "\r\n4;",
	  "extension" },
	{ "POST /f/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	  "\r\n0\r\n",
	  "X-Trailer: value\r\n" },
	{ "POST /f/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	  "\r\n",
	  "4\r\nabcd\r\n" },
};

#define CALLER_FAULTS (sizeof(caller_faults) / sizeof(caller_faults[0]))

static size_t body_bytes; /* of their requests */
static bool reads_answers;
static struct caller callers[CALLERS + SOUND_CALLERS];
static int n_served;
static int n_refused;

static void open_caller(struct caller *c, bool sound)
{
	*c = (struct caller){ .fd = connect_to(CALLERS_PORT), .sound = sound };
}

static void send_body(struct caller *c)
{
	static const char bytes[UPLOAD_CHUNK_BYTES];
	size_t n = c->body_left < sizeof(bytes) ? c->body_left : sizeof(bytes);
	ssize_t sent = send(c->fd, bytes, n, MSG_NOSIGNAL);

	if (sent > 0)
		c->body_left -= (size_t)sent;
}

static void send_endless(struct caller *c)
{
	char bytes[CHUNK_BYTES];
	size_t len = strlen(endless->repeated);
	size_t i;
	ssize_t sent;

	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = endless->repeated[(c->tail + i) % len];
	sent = send(c->fd, bytes, sizeof(bytes), MSG_NOSIGNAL);
	if (sent > 0)
		c->tail = (c->tail + (size_t)sent) % len;
}

static void begin_endless(struct caller *c)
{
	size_t len = strlen(endless->first);

	if (send(c->fd, endless->first, len, MSG_NOSIGNAL) == (ssize_t)len)
		c->sent_at = ws_eio_now();
}

static void send_request(struct caller *c)
{
	size_t body = c->sound ? 0 : body_bytes;
	char text[256];
	int n = snprintf(text, sizeof(text),
			 "%s /%s/1 HTTP/1.1\r\nHost: h\r\n"
			 "Wagtailshift-Request-Id: r%d-%ld\r\n"
			 "Content-Length: %zu\r\n"
			 "Wagtailshift-Deadline-Ms: %d\r\n\r\n",
			 body ? "POST" : "GET", c->sound ? "s" : "f",
			 (int)(c - callers), (long)ws_eio_now(), body,
			 c->sound || body ? LONG_DEADLINE_MS : DEADLINE_MS);

	if (send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		return;
	c->sent_at = ws_eio_now();
	c->body_left = body;
}

static void reopen(struct caller *c)
{
	bool sound = c->sound;

	close(c->fd);
	open_caller(c, sound);
}

static void receive(struct caller *c)
{
	ssize_t n =
		recv(c->fd, c->text + c->len, sizeof(c->text) - 1 - c->len, 0);

	if (n <= 0) {
		n_refused += c->sound && c->sent_at;
		reopen(c);
		return;
	}
	c->len += (size_t)n;
	c->text[c->len] = '\0';
	if (!strstr(c->text, "\r\n\r\n") && c->len < sizeof(c->text) - 1)
		return;
	if (c->sound && !strncmp(c->text, "HTTP/1.1 200", 12))
		n_served++;
	else if (c->sound)
		n_refused++;
	reopen(c);
}

static short events_of(const struct caller *c)
{
	if (!c->sent_at || c->body_left)
		return POLLOUT;
	if (!c->sound && endless)
		return POLLIN | POLLOUT;
	return c->sound || reads_answers ? POLLIN : 0;
}

/* Each caller sends a request, and another one when it was answered. */
static void load(ws_us time)
{
	static struct pollfd polled[CALLERS + SOUND_CALLERS];
	ws_us end = ws_eio_now() + time;
	int n = CALLERS + SOUND_CALLERS;
	int i;

	for (i = 0; i < n; i++)
		open_caller(&callers[i], i >= CALLERS);
	while (ws_eio_now() < end) {
		for (i = 0; i < n; i++)
			polled[i] = (struct pollfd){
				.fd = callers[i].fd,
				.events = events_of(&callers[i]),
			};
		poll(polled, (nfds_t)n, 50);
		for (i = 0; i < n; i++) {
			if (polled[i].revents & (POLLIN | POLLHUP | POLLERR))
				receive(&callers[i]);
			else if (!(polled[i].revents & POLLOUT))
				continue;
			else if (endless && !callers[i].sound)
				callers[i].sent_at ? send_endless(&callers[i]) :
						     begin_endless(&callers[i]);
			else if (callers[i].sent_at)
				send_body(&callers[i]);
			else
				send_request(&callers[i]);
		}
		expect_alive();
	}
	for (i = 0; i < n; i++)
		close(callers[i].fd);
}

static void expect_bounded_memory(enum fault kind)
{
	size_t before;
	size_t peak;
	size_t after;
	int total;

	n_served = 0;
	n_refused = 0;
	start_servers(kind);
	start_instance();
	before = memory_of(instance, "VmRSS:");
	load(LOAD_TIME);
	peak = memory_of(instance, "VmHWM:");
	/* Its reads go on without requests. */
	if (faulty_store)
		kill(server, SIGKILL);
	usleep(2 * DEADLINE_MS * 1000);
	expect_alive();
	after = memory_of(instance, "VmRSS:");
	total = n_served + n_refused;
	printf("fault %d: %zu MiB before, peak %zu, after %zu; sound requests: "
	       "%d of %d served\n",
	       (int)kind, before / MIB, peak / MIB, after / MIB, n_served,
	       total);
	fflush(stdout);
	stop_all();
	ck_assert_msg(!checks_memory || peak < MEMORY_MAX,
		      "fault %d: peak of %zu MiB", (int)kind, peak / MIB);
	ck_assert_msg(!checks_memory || after < before + KEPT_MAX,
		      "fault %d: %zu MiB afterwards, %zu before", (int)kind,
		      after / MIB, before / MIB);
	ck_assert_int_gt(total, SOUND_CALLERS);
	ck_assert_msg(n_served * 100 >= total * 95,
		      "fault %d: %d of %d sound requests served", (int)kind,
		      n_served, total);
}

START_TEST(endless_bytes_of_servers_stay_below_the_memory_limit)
{
	reads_answers = true;
	expect_bounded_memory((enum fault)_i);
}
END_TEST

/*
 * Guards against bodies of requests that wait for their servers and count
 * nowhere: some uploads a second and slow servers ended a process (LOST).
 */
START_TEST(uploads_to_silent_servers_stay_below_the_memory_limit)
{
	reads_answers = true;
	body_bytes = MIB / 2;
	expect_bounded_memory(FAULT_SILENCE);
}
END_TEST

/* Guards against answers that are buffered for callers that do not read. */
START_TEST(unread_answers_stay_below_the_memory_limit)
{
	reads_answers = false;
	body_bytes = 0;
	expect_bounded_memory(FAULT_LARGE);
}
END_TEST

/* The same as from servers, sent by a store to each read of it. */
START_TEST(endless_bytes_of_the_store_stay_below_the_memory_limit)
{
	faulty_store = true;
	reads_answers = true;
	expect_bounded_memory((enum fault)_i);
}
END_TEST

START_TEST(endless_bytes_of_callers_stay_below_the_memory_limit)
{
	endless = &caller_faults[_i];
	reads_answers = true;
	expect_bounded_memory(FAULT_SILENCE);
}
END_TEST

int main(void)
{
	const TTest *const store_tests[] = {
		endless_bytes_of_the_store_stay_below_the_memory_limit,
	};
	const TTest *const endless_caller_tests[] = {
		endless_bytes_of_callers_stay_below_the_memory_limit,
	};
	const TTest *const server_tests[] = {
		endless_bytes_of_servers_stay_below_the_memory_limit,
	};
	const TTest *const caller_tests[] = {
		uploads_to_silent_servers_stay_below_the_memory_limit,
		unread_answers_stay_below_the_memory_limit,
	};
	int res = ed_suite_run("eio memory, callers", caller_tests, 2);

	res |= ed_suite_run_each("eio memory, endless callers",
				 endless_caller_tests, 1, CALLER_FAULTS);
	res |= ed_suite_run_each("eio memory, store", store_tests, 1,
				 FAULT_COUNT);

	return ed_suite_run_each("eio memory, servers", server_tests, 1,
				 FAULT_COUNT) ||
	       res;
}
