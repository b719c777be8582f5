#include "rig.h"

#include <arpa/inet.h>
#include <check.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "codec/ws_codec.h"

#define READY_TIMEOUT_MS 15000
#define POLL_INTERVAL_MS 50
#define MAX_ARGS 24

static char program_dir[256] = ".";

void rig_set_program_dir(const char *argv0)
{
	const char *slash = strrchr(argv0, '/');

	if (slash)
		snprintf(program_dir, sizeof(program_dir), "%.*s",
			 (int)(slash - argv0), argv0);
	curl_global_init(CURL_GLOBAL_NOTHING);
}

static void sleep_ms(int ms)
{
	struct timespec ts = { ms / 1000, (ms % 1000) * 1000000L };

	nanosleep(&ts, NULL);
}

/* ===== Processes ===== */

/* Starts a program; its output goes to a file in the rig's folder. */
static pid_t spawn(struct rig *r, const char *out, const char **argv)
{
	char path[512];
	char file[128];
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/%s", program_dir, argv[0]);
	snprintf(file, sizeof(file), "%s/%s", r->dir, out);
	pid = fork();
	ck_assert_int_ge(pid, 0);
	if (pid)
		return pid;
	/* Ends the child even if the test fails in its setup. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	execv(path, (char **)(void *)argv);
	_exit(127);
}

/* Waits for a stand-in to print the port that it chose. */
static int read_port(struct rig *r, const char *out)
{
	char file[128];
	char text[256];
	const char *address;
	int waited;
	FILE *in;
	size_t n;

	snprintf(file, sizeof(file), "%s/%s", r->dir, out);
	for (waited = 0; waited < READY_TIMEOUT_MS;
	     waited += POLL_INTERVAL_MS) {
		in = fopen(file, "re");
		n = in ? fread(text, 1, sizeof(text) - 1, in) : 0;
		if (in)
			fclose(in);
		text[n] = '\0';
		address = strstr(text, "127.0.0.1:");
		if (address && strchr(address, '\n'))
			return (int)strtol(address + 10, NULL, 10);
		sleep_ms(POLL_INTERVAL_MS);
	}
	ck_abort_msg("%s printed no port", out);
}

static int start_standin(struct rig *r, const char *out, const char **args)
{
	const char *argv[MAX_ARGS] = { "wagtailshift-standin" };
	size_t n;

	for (n = 1; args[n - 1]; n++)
		argv[n] = args[n - 1];
	argv[n++] = "--listen";
	argv[n] = "127.0.0.1:0";
	r->pids[r->n_pids++] = spawn(r, out, argv);
	return read_port(r, out);
}

static int free_port(void)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, len), 0);
	getsockname(fd, (struct sockaddr *)&a, &len);
	close(fd);
	return ntohs(a.sin_port);
}

/* ===== Files ===== */

static void write_file(struct rig *r, const char *name, const char *text)
{
	char file[128];
	FILE *out;

	snprintf(file, sizeof(file), "%s/%s", r->dir, name);
	out = fopen(file, "we");
	ck_assert_ptr_nonnull(out);
	fputs(text, out);
	fclose(out);
}

static void write_settings(struct rig *r, const char *operator_key)
{
	char text[2048];

	write_file(r, "secret", "0123456789abcdef0123456789abcdef\n");
	write_file(r, "token", RIG_TOKEN "\n");
	snprintf(text, sizeof(text),
		 "[instance]\nname = r1\nzone = z1\nseed_operator_key = %s\n"
		 "[listen]\ncallers = 127.0.0.1:%d\ninternal = 127.0.0.1:%d\n"
		 "peers = 127.0.0.1:%d\nadmin = 127.0.0.1:%d\n"
		 "[platform]\nlog = http://127.0.0.1:%d\n"
		 "list = http://127.0.0.1:%d\n[cluster]\nsecret_file = "
		 "%s/secret\n[admin]\ntoken_file = %s/token\n",
		 operator_key, r->callers_port, r->internal_port, r->peers_port,
		 r->admin_port, r->log_port, r->list_port, r->dir, r->dir);
	write_file(r, "ws.ini", text);
	snprintf(r->settings, sizeof(r->settings), "%s/ws.ini", r->dir);
}

/* ===== Bundle ===== */

static const char bundle_format[] =
	"{\"version\":1,\"base\":0,\"settings\":{\"partitions\":24,"
	"\"key_max_age_ms\":10000,\"outage_limit_ms\":600000},\"services\":["
	"{\"name\":\"workshop\",\"access\":\"public\",\"sharded\":true,"
	"\"shards\":8,\"idempotent\":false,\"checks_fences\":true,\"slots\":6,"
	"\"cold_limit\":2,\"connections\":60,\"deadline_ms\":4000},"
	"{\"name\":\"pages\",\"access\":\"internal\",\"sharded\":false,"
	"\"idempotent\":true,\"checks_fences\":false,\"slots\":6,"
	"\"cold_limit\":2,\"connections\":60,\"deadline_ms\":4000}],"
	"\"customers\":[{\"name\":\"acme\",\"rate\":2400,\"burst\":2400,"
	"\"weight\":1},{\"name\":\"nobody\",\"rate\":1,\"burst\":1,"
	"\"weight\":1}],\"keys\":[{\"customer\":\"acme\",\"hash\":\"%s\"},"
	"{\"customer\":\"nobody\",\"hash\":\"%s\"}],"
	"\"zones\":[{\"name\":\"z1\",\"in_service\":true}],"
	"\"operators\":[\"%s\"]}";

static void key_hash(const char *key, char hex[65])
{
	uint64_t hash[4];
	int i;

	ws_codec_caller_key_hash(key, hash);
	for (i = 0; i < 4; i++)
		ws_codec_hex(hash[i], hex + 16 * (size_t)i);
}

static char *make_envelope(char public_hex[65], uint8_t public_key[32],
			   uint8_t secret_key[64])
{
	struct ws_codec_error why;
	char acme[65];
	char nobody[65];
	char text[4096];
	char *envelope;

	key_hash(RIG_CALLER_KEY, acme);
	key_hash(RIG_CALLER_KEY "-2", nobody);
	snprintf(text, sizeof(text), bundle_format, acme, nobody, public_hex);
	ck_assert_msg(!ws_codec_envelope_sign(text, public_key, secret_key,
					      &envelope, &why),
		      "%s", why.text);
	return envelope;
}

/* ===== HTTP ===== */

struct text_buffer {
	char *text;
	size_t size;
	size_t len;
};

static size_t append_data(char *data, size_t size, size_t n, void *arg)
{
	struct text_buffer *s = arg;
	size_t len = size * n;
	size_t room = s->size - 1 - s->len;

	memcpy(s->text + s->len, data, len < room ? len : room);
	s->len += len < room ? len : room;
	s->text[s->len] = '\0';
	return len;
}

void rig_http(int port, const char *method, const char *path,
	      const char *const *headers, const void *data, size_t len,
	      struct rig_answer *out)
{
	struct text_buffer head = { out->headers, sizeof(out->headers), 0 };
	struct text_buffer body = { out->body, sizeof(out->body), 0 };
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	CURL *e = curl_easy_init();
	char url[512];

	memset(out, 0, sizeof(*out));
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	for (; headers && *headers; headers++)
		list = curl_slist_append(list, *headers);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 10000L);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_data);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, &body);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, append_data);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, &head);
	if (data) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, data);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)len);
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, method);
	if (curl_easy_perform(e) == CURLE_OK)
		curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &out->status);
	curl_slist_free_all(list);
	curl_easy_cleanup(e);
}

int rig_connect_and_send(int port, const char *bytes)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	size_t len = strlen(bytes);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(send(fd, bytes, len, MSG_NOSIGNAL), (ssize_t)len);
	return fd;
}

size_t rig_read(int fd, char *buf, size_t size, int timeout_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	size_t len = 0;
	ssize_t n;

	while (len + 1 < size && poll(&p, 1, timeout_ms) > 0) {
		n = recv(fd, buf + len, size - 1 - len, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	buf[len] = '\0';
	return len;
}

/* ===== Start and stop ===== */

static void start_platform(struct rig *r, int service_us)
{
	const char *log[] = { "log", NULL };
	const char *list[] = { "list", NULL };
	char us[24];
	char entries[1024];
	struct rig_answer a;
	int sharded, open;

	snprintf(us, sizeof(us), "%d", service_us);
	snprintf(r->journal, sizeof(r->journal), "%s/t1.journal", r->dir);
	r->log_port = start_standin(r, "log.out", log);
	r->list_port = start_standin(r, "list.out", list);
	sharded = start_standin(
		r, "t1.out",
		(const char *[]){ "target", "--name", "t1", "--service",
				  "workshop", "--zone", "z1", "--sharded",
				  "--slots", "6", "--service-us", us,
				  "--journal", r->journal, NULL });
	r->target_port = sharded;
	open = start_standin(r, "t2.out",
			     (const char *[]){ "target", "--name", "t2",
					       "--service", "pages", "--zone",
					       "z1", "--slots", "6",
					       "--service-us", us, NULL });
	snprintf(entries, sizeof(entries),
		 "{\"entries\":[{\"role\":\"target\",\"name\":\"t1\",\"zone\":"
		 "\"z1\",\"address\":\"127.0.0.1:%d\",\"service\":\"workshop\","
		 "\"state\":\"live\"},{\"role\":\"target\",\"name\":\"t2\","
		 "\"zone\":\"z1\",\"address\":\"127.0.0.1:%d\",\"service\":"
		 "\"pages\",\"state\":\"live\"}]}",
		 sharded, open);
	rig_http(r->list_port, "POST", "/list", NULL, entries, strlen(entries),
		 &a);
	ck_assert_int_eq(a.status, 200);
}

static void wait_for_status(int port, const char *method, const char *path,
			    const char *const *headers, const char *data,
			    long status)
{
	struct rig_answer a;
	int waited;

	for (waited = 0; waited < READY_TIMEOUT_MS;
	     waited += POLL_INTERVAL_MS) {
		rig_http(port, method, path, headers, data,
			 data ? strlen(data) : 0, &a);
		if (a.status == status)
			return;
		sleep_ms(POLL_INTERVAL_MS);
	}
	ck_abort_msg("%s %s: status %ld, body %s", method, path, a.status,
		     a.body);
}

static void wait_for_service(struct rig *r)
{
	const char *const headers[] = {
		"Authorization: Bearer " RIG_CALLER_KEY,
		NULL,
	};

	wait_for_status(r->callers_port, "GET", "/s/workshop/warm", headers,
			NULL, 200);
	wait_for_status(r->internal_port, "GET", "/s/pages/warm", NULL, NULL,
			200);
}

void rig_start(struct rig *r, int service_us)
{
	const char *const admin[] = { "Authorization: Bearer " RIG_TOKEN,
				      NULL };
	uint8_t public_key[32];
	uint8_t secret_key[64];
	char public_hex[65];
	char *envelope;

	memset(r, 0, sizeof(*r));
	snprintf(r->dir, sizeof(r->dir), "/tmp/wagtailshift-test-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(r->dir));
	crypto_sign_keypair(public_key, secret_key);
	sodium_bin2hex(public_hex, sizeof(public_hex), public_key, 32);
	start_platform(r, service_us);
	r->callers_port = free_port();
	r->internal_port = free_port();
	r->peers_port = free_port();
	r->admin_port = free_port();
	write_settings(r, public_hex);
	r->daemon = spawn(r, "daemon.out",
			  (const char *[]){ "wagtailshiftd", "--config",
					    r->settings, NULL });
	envelope = make_envelope(public_hex, public_key, secret_key);
	wait_for_status(r->admin_port, "POST", "/admin/v1/bundle", admin,
			envelope, 200);
	free(envelope);
	wait_for_service(r);
}

int rig_wait_daemon(struct rig *r, int timeout_ms)
{
	int waited;
	int status;

	for (waited = 0; waited < timeout_ms; waited += POLL_INTERVAL_MS) {
		if (waitpid(r->daemon, &status, WNOHANG) == r->daemon) {
			r->daemon = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		}
		sleep_ms(POLL_INTERVAL_MS);
	}
	return -1;
}

static void kill_process(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

static void remove_files(struct rig *r)
{
	static const char *const names[] = {
		"secret", "token",  "ws.ini",	  "log.out",   "list.out",
		"t1.out", "t2.out", "daemon.out", "t1.journal"
	};
	char file[128];
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		snprintf(file, sizeof(file), "%s/%s", r->dir, names[i]);
		unlink(file);
	}
	rmdir(r->dir);
}

void rig_stop(struct rig *r)
{
	size_t i;

	kill_process(r->daemon);
	for (i = 0; i < r->n_pids; i++)
		kill_process(r->pids[i]);
	remove_files(r);
}
