#include "edgeio/ws_eio_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/ws_server.h"

#define TOPICS (WP_TOPIC_MEMBERS + 1)
/* Records buffered per topic; instances further behind read the store. */
#define TOPIC_BYTES_MAX ((size_t)1024 * 1024)
#define ANSWER_BYTES_MAX ((size_t)512 * 1024)
#define CONNECTIONS_MAX 256

struct topic_buffer {
	uint64_t first; /* offset of the oldest record */
	GQueue *records; /* of GBytes, oldest first */
	size_t bytes;
};

struct ws_eio_records {
	struct ws_server *server;
	struct topic_buffer topics[TOPICS];
};

/* ===== Buffering ===== */

static void drop_oldest(struct topic_buffer *b)
{
	GBytes *oldest = g_queue_pop_head(b->records);

	b->bytes -= g_bytes_get_size(oldest);
	b->first++;
	g_bytes_unref(oldest);
}

static uint64_t end_offset(const struct topic_buffer *b)
{
	return b->first + g_queue_get_length(b->records);
}

void ws_eio_records_add(struct ws_eio_records *r, enum wp_topic topic,
			const struct wp_record *record)
{
	struct topic_buffer *b = &r->topics[topic];
	GBytes *encoded = wp_store_encode_record(record);

	b->bytes += g_bytes_get_size(encoded);
	g_queue_push_tail(b->records, encoded);
	while (b->bytes > TOPIC_BYTES_MAX)
		drop_oldest(b);
}

void ws_eio_records_set_end(struct ws_eio_records *r, enum wp_topic topic,
			    uint64_t next)
{
	struct topic_buffer *b = &r->topics[topic];

	if (end_offset(b) == next)
		return;
	while (!g_queue_is_empty(b->records))
		drop_oldest(b);
	b->first = next;
}

/* ===== Answering ===== */

static void fill_answer(const struct topic_buffer *b, uint64_t from,
			GByteArray *a)
{
	GList *i;

	wp_store_answer_begin(a, end_offset(b), b->first);
	i = g_queue_peek_nth_link(b->records, (guint)(from - b->first));
	for (; i && a->len < ANSWER_BYTES_MAX; i = i->next) {
		gsize len;
		const void *data = g_bytes_get_data(i->data, &len);

		g_byte_array_append(a, data, (guint)len);
	}
}

static void on_request(void *arg, struct ws_server_request *req)
{
	struct ws_eio_records *r = arg;
	struct ws_server_answer answer = { .status = 404 };
	GByteArray *a = g_byte_array_new();
	enum wp_topic topic;
	uint64_t from;

	if (wp_store_parse_read(req->uri, &topic, &from)) {
		const struct topic_buffer *b = &r->topics[topic];

		/* The store may still have records that are not buffered. */
		answer.status = 503;
		if (from >= b->first && from < end_offset(b)) {
			fill_answer(b, from, a);
			answer.status = 200;
		}
	}
	answer.data = a->data;
	answer.data_len = a->len;
	ws_server_answer(req, &answer);
	g_byte_array_free(a, TRUE);
}

static void on_disconnect(void *arg, struct ws_server_request *req)
{
	(void)arg;
	(void)req;
}

static const struct ws_server_ops records_ops = {
	.on_request = on_request,
	.on_disconnect = on_disconnect,
};

/* ===== Lifecycle ===== */

struct ws_eio_records *ws_eio_records_new(struct ws_eio *io)
{
	struct ws_eio_records *r = ws_alloc(1, sizeof(*r));
	const struct ws_server_conf conf = {
		.ops = &records_ops,
		.arg = r,
		.address = io->settings.records_address,
		.max_connections = CONNECTIONS_MAX,
		.memory = &io->memory,
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

	/* All instances use the same port. */
	snprintf(buf, size, "%.*s%s", ip, m->address,
		 strrchr(io->settings.records_address, ':'));
}
