#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* Simulated platform store: logs of records; lists the newest of each key. */

#define TOPICS_MAX 8
#define PORT 7000
#define SLOW_DELAY (400 * WS_MS)
#define PENDING_MAX 1024

/* Time until records of other writers that a restore lost are written again */
#define REWRITE_DELAY (300 * WS_MS)

struct record {
	char *key;
	GBytes *value;
	ws_us at;
};

struct topic {
	char name[64];
	GArray *records; /* of struct record */
	GArray *lost; /* of struct record, to be written again */
	uint64_t first; /* offset of the oldest readable record */
};

/* A read that waits for records, or an answer that is delayed. */
struct pending {
	struct ws_server_request *req; /* NULL: unused entry */
	struct topic *topic;
	uint64_t from;
	ws_us until;
	GBytes *answer; /* delayed answer; NULL: a read */
	unsigned status;
};

static struct ws_server *server;
static struct topic topics[TOPICS_MAX];
static struct pending pending[PENDING_MAX];
static enum soak_store_fault active_fault;
static int timer;
static uint64_t calls;
static unsigned era = 1;
static ws_us rewrite_at; /* 0: nothing to write again */

static struct topic *find_topic(const char *name)
{
	int i;

	for (i = 0; i < TOPICS_MAX; i++) {
		if (!topics[i].records) {
			snprintf(topics[i].name, sizeof(topics[i].name), "%s",
				 name);
			topics[i].records = g_array_new(FALSE, FALSE,
							sizeof(struct record));
			topics[i].lost = g_array_new(FALSE, FALSE,
						     sizeof(struct record));
		}
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	abort();
}

static uint64_t end_offset(const struct topic *t)
{
	return t->records->len;
}

/* ===== Answers ===== */

static void answer_now(struct ws_server_request *req, unsigned status,
		       GBytes *body)
{
	char header[32] = { 0 };
	gsize len;
	const void *data = g_bytes_get_data(body, &len);
	struct ws_server_answer a = {
		.status = status,
		.headers = header,
		.headers_len = (size_t)snprintf(header, sizeof(header),
						"Store-Era: %u", era) +
			       1,
		.data = data,
		.data_len = len,
	};

	ws_server_answer(req, &a);
}

static struct pending *add_pending(struct ws_server_request *req)
{
	int i;

	for (i = 0; i < PENDING_MAX; i++) {
		if (pending[i].req)
			continue;
		memset(&pending[i], 0, sizeof(pending[i]));
		pending[i].req = req;
		req->user_data = &pending[i];
		return &pending[i];
	}
	abort();
}

static void answer(struct ws_server_request *req, unsigned status, GBytes *body)
{
	struct pending *h;

	if (active_fault != SOAK_STORE_SLOW) {
		answer_now(req, status, body);
		g_bytes_unref(body);
		return;
	}
	h = add_pending(req);
	h->until = soak_now() + SLOW_DELAY;
	h->answer = body;
	h->status = status;
}

static void answer_json(struct ws_server_request *req, unsigned status,
			json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	answer(req, status, g_bytes_new(text, strlen(text)));
	free(text);
	json_decref(o);
}

/* ===== Reads ===== */

static void append_u64(GByteArray *a, uint64_t v)
{
	uint64_t big = GUINT64_TO_BE(v);

	g_byte_array_append(a, (const guint8 *)&big, sizeof(big));
}

static void append_record(GByteArray *a, const struct record *r)
{
	gsize len;
	const void *value = g_bytes_get_data(r->value, &len);
	guint8 key_len = (guint8)strlen(r->key);
	uint32_t size = htonl((uint32_t)(1 + key_len + len));

	g_byte_array_append(a, (const guint8 *)&size, sizeof(size));
	g_byte_array_append(a, &key_len, 1);
	g_byte_array_append(a, (const guint8 *)r->key, key_len);
	g_byte_array_append(a, value, (guint)len);
}

static void answer_read(struct ws_server_request *req, const struct topic *t,
			uint64_t from)
{
	GByteArray *a = g_byte_array_new();
	uint64_t i;

	if (from < t->first || from > end_offset(t)) {
		g_byte_array_unref(a);
		answer_json(req, 410,
			    json_pack("{s:I}", "first", (json_int_t)t->first));
		return;
	}
	append_u64(a, end_offset(t));
	append_u64(a, t->first);
	for (i = from; i < end_offset(t); i++)
		append_record(a, &g_array_index(t->records, struct record, i));
	answer(req, 200, g_byte_array_free_to_bytes(a));
}

static bool is_newest(const struct topic *t, uint64_t i)
{
	const struct record *r = &g_array_index(t->records, struct record, i);
	uint64_t j;

	for (j = i + 1; j < end_offset(t); j++)
		if (!strcmp(g_array_index(t->records, struct record, j).key,
			    r->key))
			return false;
	return g_bytes_get_size(r->value) > 0;
}

static void answer_newest(struct ws_server_request *req, const struct topic *t)
{
	json_t *items = json_array();
	uint64_t i;

	for (i = 0; i < end_offset(t); i++) {
		const struct record *r =
			&g_array_index(t->records, struct record, i);
		gsize len;
		const void *value = g_bytes_get_data(r->value, &len);
		gchar *text;

		if (!is_newest(t, i))
			continue;
		text = g_base64_encode(value, len);
		json_array_append_new(items,
				      json_pack("{s:s,s:s,s:I}", "key", r->key,
						"value", text, "offset",
						(json_int_t)i));
		g_free(text);
	}
	answer_json(req, 200,
		    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
			      "end", (json_int_t)end_offset(t)));
}

/* ===== Appends ===== */

static void wake_readers(const struct topic *t)
{
	int i;

	for (i = 0; i < PENDING_MAX; i++) {
		struct pending *h = &pending[i];
		struct ws_server_request *req = h->req;

		if (!req || h->answer || h->topic != t)
			continue;
		h->req = NULL;
		req->user_data = NULL;
		answer_read(req, t, h->from);
	}
}

static void add_record(struct topic *t, const char *key, size_t key_len,
		       const void *value, size_t len)
{
	struct record r = {
		.key = g_strndup(key, key_len),
		.value = g_bytes_new(value, len),
		.at = soak_now(),
	};

	g_array_append_val(t->records, r);
}

static void append(struct ws_server_request *req, struct topic *t,
		   const char *at)
{
	const unsigned char *p = (const unsigned char *)req->body;
	size_t left = req->body_len;
	uint64_t offset = end_offset(t);

	if (at && strtoull(at, NULL, 10) != end_offset(t)) {
		answer_json(req, 412,
			    json_pack("{s:I}", "end",
				      (json_int_t)end_offset(t)));
		return;
	}
	while (left > 5) {
		uint32_t size;

		memcpy(&size, p, sizeof(size));
		size = ntohl(size);
		if (size + 4 > left)
			break;
		add_record(t, (const char *)p + 5, p[4], p + 5 + p[4],
			   size - 1 - p[4]);
		p += 4 + size;
		left -= 4 + size;
	}
	if (active_fault != SOAK_STORE_DROPS_REPLIES)
		answer_json(req, 200,
			    json_pack("{s:I,s:I}", "offset", (json_int_t)offset,
				      "end", (json_int_t)end_offset(t)));
	wake_readers(t);
}

/* ===== Restore ===== */

/* The operator and the servers write again what they have written before. */
static void rewrite_lost(void)
{
	int i;

	rewrite_at = 0;
	for (i = 0; i < TOPICS_MAX && topics[i].records; i++) {
		g_array_append_vals(topics[i].records, topics[i].lost->data,
				    topics[i].lost->len);
		g_array_set_size(topics[i].lost, 0);
		wake_readers(&topics[i]);
	}
}

static bool is_of_other_writers(const struct topic *t)
{
	return !strcmp(t->name, "keyed.op") ||
	       !strcmp(t->name, "keyed.servers");
}

static void lose_records(struct topic *t, ws_us since)
{
	guint n = t->records->len;

	while (n && g_array_index(t->records, struct record, n - 1).at > since)
		n--;
	if (is_of_other_writers(t))
		g_array_append_vals(
			t->lost, &g_array_index(t->records, struct record, n),
			t->records->len - n);
	g_array_set_size(t->records, n);
	if (t->first > n)
		t->first = n;
}

void soak_store_restore(ws_us age)
{
	int i;

	if (rewrite_at)
		rewrite_lost();
	era++;
	for (i = 0; i < TOPICS_MAX && topics[i].records; i++) {
		lose_records(&topics[i], soak_now() - age);
		wake_readers(&topics[i]);
	}
	rewrite_at = soak_now() + REWRITE_DELAY;
}

/* ===== Requests ===== */

static bool get_parameter(const char *uri, const char *name, char *buf,
			  size_t size)
{
	char wanted[32];
	const char *p;

	snprintf(wanted, sizeof(wanted), "%s=", name);
	for (p = strchr(uri, '?'); p; p = strchr(p, '&')) {
		p++;
		if (strncmp(p, wanted, strlen(wanted)) != 0)
			continue;
		snprintf(buf, size, "%s", p + strlen(wanted));
		buf[strcspn(buf, "&")] = '\0';
		return true;
	}
	return false;
}

static void wait_or_answer(struct ws_server_request *req, struct topic *t,
			   uint64_t from, ws_us wait)
{
	struct pending *h;

	if (from != end_offset(t) || from < t->first || !wait) {
		answer_read(req, t, from);
		return;
	}
	h = add_pending(req);
	h->topic = t;
	h->from = from;
	h->until = soak_now() + wait;
}

static void on_request(void *arg, struct ws_server_request *req)
{
	char name[64];
	char number[32];
	char wait[32] = "0";
	struct topic *t;

	(void)arg;
	req->user_data = NULL;
	calls++;
	if (!get_parameter(req->uri, "topic", name, sizeof(name)) ||
	    active_fault == SOAK_STORE_DOWN) {
		answer_json(req, 503, json_object());
		return;
	}
	t = find_topic(name);
	if (!strncmp(req->uri, "/log-newest", 11)) {
		answer_newest(req, t);
	} else if (!strncmp(req->uri, "/log-append", 11)) {
		append(req, t,
		       get_parameter(req->uri, "at", number, sizeof(number)) ?
			       number :
			       NULL);
	} else {
		get_parameter(req->uri, "from", number, sizeof(number));
		get_parameter(req->uri, "wait_ms", wait, sizeof(wait));
		wait_or_answer(req, t, strtoull(number, NULL, 10),
			       strtoll(wait, NULL, 10) * WS_MS);
	}
}

static void on_caller_gone(void *arg, struct ws_server_request *req)
{
	struct pending *h = req->user_data;

	(void)arg;
	if (!h)
		return;
	h->req = NULL;
	if (h->answer)
		g_bytes_unref(h->answer);
	h->answer = NULL;
}

static void answer_pending(void *arg, ws_us now)
{
	int i;

	(void)arg;
	if (rewrite_at && now >= rewrite_at)
		rewrite_lost();
	for (i = 0; i < PENDING_MAX; i++) {
		struct pending *h = &pending[i];
		struct ws_server_request *req = h->req;

		if (!req || now < h->until)
			continue;
		h->req = NULL;
		req->user_data = NULL;
		if (h->answer) {
			answer_now(req, h->status, h->answer);
			g_bytes_unref(h->answer);
			h->answer = NULL;
		} else {
			answer_read(req, h->topic, h->from);
		}
	}
}

void soak_store_write(const char *topic, const char *key, const char *value)
{
	struct topic *t = find_topic(topic);

	/* A newer record must not be followed by an older one of its writer. */
	if (rewrite_at)
		rewrite_lost();
	add_record(t, key, strlen(key), value, strlen(value));
	wake_readers(t);
}

void soak_store_fault(enum soak_store_fault f)
{
	active_fault = f;
}

bool soak_store_is_down(void)
{
	return active_fault == SOAK_STORE_DOWN;
}

void soak_store_truncate(void)
{
	int i;

	for (i = 0; i < TOPICS_MAX && topics[i].records; i++)
		topics[i].first = end_offset(&topics[i]);
}

uint64_t soak_store_calls(void)
{
	return calls;
}

void soak_store_start(void)
{
	static const struct ws_server_ops ops = {
		.on_request = on_request,
		.on_disconnect = on_caller_gone,
	};
	char address[64];
	struct ws_server_conf conf = {
		.ops = &ops,
		.address = address,
		.max_connections = 2000,
		.max_receiving = (size_t)16 * 1024 * 1024,
		.timers = soak.timers,
		.now = soak_now,
	};

	snprintf(address, sizeof(address), "%s.1:%d", soak.net, PORT);
	server = ws_server_new(soak.loop, &conf);
	if (!server) {
		fprintf(stderr, "soak: cannot listen on %s\n", address);
		exit(2);
	}
	timer = ws_timer_every(soak.timers, soak_now(), 20 * WS_MS,
			       answer_pending, NULL);
}

void soak_store_stop(void)
{
	ws_timer_cancel(soak.timers, timer);
	ws_server_free(server);
}
