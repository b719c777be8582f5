#include "edgeio/ws_eio_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/ws_server.h"

#define TOPICS (WP_TOPIC_MEMBERS + 1)
/* Records kept of each topic; instances that are further behind ask the store
 */
#define KEEP_BYTES ((size_t)1024 * 1024)
#define ANSWER_BYTES ((size_t)512 * 1024)
#define CONNECTIONS_MAX 256

struct kept {
	uint64_t first; /* offset of the oldest one */
	GQueue *records; /* of GBytes, oldest first */
	size_t bytes;
};

struct ws_eio_records {
	struct ws_server *server;
	struct kept topics[TOPICS];
};

/* ===== Keeping ===== */

static void drop_oldest(struct kept *k)
{
	GBytes *b = g_queue_pop_head(k->records);

	k->bytes -= g_bytes_get_size(b);
	k->first++;
	g_bytes_unref(b);
}

static uint64_t end_of(const struct kept *k)
{
	return k->first + g_queue_get_length(k->records);
}

void ws_eio_records_add(struct ws_eio_records *r, enum wp_topic topic,
			const struct wp_record *record)
{
	struct kept *k = &r->topics[topic];
	GBytes *b = wp_store_encode_record(record);

	k->bytes += g_bytes_get_size(b);
	g_queue_push_tail(k->records, b);
	while (k->bytes > KEEP_BYTES)
		drop_oldest(k);
}

void ws_eio_records_set_end(struct ws_eio_records *r, enum wp_topic topic,
			    uint64_t next)
{
	struct kept *k = &r->topics[topic];

	if (end_of(k) == next)
		return;
	while (!g_queue_is_empty(k->records))
		drop_oldest(k);
	k->first = next;
}

/* ===== Answering ===== */

static void fill_answer(const struct kept *k, uint64_t from, GByteArray *a)
{
	GList *i;

	wp_store_answer_begin(a, end_of(k), k->first);
	i = g_queue_peek_nth_link(k->records, (guint)(from - k->first));
	for (; i && a->len < ANSWER_BYTES; i = i->next) {
		gsize len;
		const void *data = g_bytes_get_data(i->data, &len);

		g_byte_array_append(a, data, (guint)len);
	}
}

static void on_arrived(void *arg, struct ws_server_request *req)
{
	struct ws_eio_records *r = arg;
	struct ws_server_answer answer = { .status = 404 };
	GByteArray *a = g_byte_array_new();
	enum wp_topic topic;
	uint64_t from;

	if (wp_store_parse_read(req->uri, &topic, &from)) {
		const struct kept *k = &r->topics[topic];

		/* The store may still have what is not kept here. */
		answer.status = 503;
		if (from >= k->first && from < end_of(k)) {
			fill_answer(k, from, a);
			answer.status = 200;
		}
	}
	answer.data = a->data;
	answer.data_len = a->len;
	ws_server_answer(req, &answer);
	g_byte_array_free(a, TRUE);
}

static void on_gone(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static const struct ws_server_ops ops = {
	.on_request = on_arrived,
	.on_disconnect = on_gone,
};

/* ===== Life ===== */

struct ws_eio_records *ws_eio_records_new(struct ws_eio *io)
{
	struct ws_eio_records *r = ws_alloc(1, sizeof(*r));
	const struct ws_server_conf conf = {
		.ops = &ops,
		.arg = r,
		.address = io->settings.records_address,
		.max_connections = CONNECTIONS_MAX,
		.timers = io->timers,
		.now = ws_eio_now,
	};
	int i;

	r->server = ws_server_new(io->loop, &conf);
	if (!r->server) {
		free(r);
		return NULL;
	}
	for (i = 0; i < TOPICS; i++)
		r->topics[i].records = g_queue_new();
	return r;
}

void ws_eio_records_free(struct ws_eio_records *r)
{
	int i;

	if (!r)
		return;
	ws_server_free(r->server);
	for (i = 0; i < TOPICS; i++)
		g_queue_free_full(r->topics[i].records,
				  (GDestroyNotify)g_bytes_unref);
	free(r);
}

void ws_eio_records_address(const struct ws_eio *io,
			    const struct ws_ed_member *m, char *buf,
			    size_t size)
{
	const char *colon = strrchr(m->address, ':');
	int ip = colon ? (int)(colon - m->address) : 0;

	/* Ports are the same at all instances. */
	snprintf(buf, size, "%.*s%s", ip, m->address,
		 strrchr(io->settings.records_address, ':'));
}
