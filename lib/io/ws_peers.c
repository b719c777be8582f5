#define _GNU_SOURCE /* accept4 */
#include "io/ws_peers.h"

#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/ws_secret.h"
#include "io/ws_inbound.h"
#include "io/ws_logline.h"
#include "io/ws_metrics.h"
#include "io/ws_peers_impl.h"
#include "io/ws_trust.h"
#include "wire/ws_wire.h"

#define TICK_PERIOD (50 * WS_MS)
#define INBOUND_MAX 1024
#define BACKLOG 256

struct ws_peers {
	struct ws_shell *sh;
	struct ws_secrets secrets;
	GHashTable *links; /* peer id -> struct ws_link */
	GPtrArray *inbound;
	GPtrArray *dirty;
	int listen_fd;
	ev_io accept_io;
	ev_prepare flush;
	int timer;
	struct ws_wire_buf send_buffer;
	uint8_t *receive_buffer;
};

/* ===== Functions for links and inbound connections ===== */

struct ev_loop *ws_peers_loop(const struct ws_peers *p)
{
	return p->sh->loop;
}

const struct ws_secrets *ws_peers_secrets(const struct ws_peers *p)
{
	return &p->secrets;
}

ws_id ws_peers_self(const struct ws_peers *p)
{
	return p->sh->self;
}

void *ws_peers_receive_buffer(struct ws_peers *p, size_t *size)
{
	*size = WS_WIRE_MAX;
	return p->receive_buffer;
}

void ws_peers_report_down(struct ws_peers *p, ws_id peer)
{
	struct ws_event ev = { .kind = WS_EV_PEER_DOWN };

	ev.u.peer.from = peer;
	ws_shell_post_event(p->sh, &ev);
}

void ws_peers_count_bytes(struct ws_peers *p, struct ws_stream *s)
{
	ws_metrics_peer_bytes(p->sh->metrics, s->bytes_in, s->bytes_out);
	s->bytes_in = 0;
	s->bytes_out = 0;
}

void ws_peers_mark_dirty(struct ws_peers *p, struct ws_link *l)
{
	if (l->dirty)
		return;
	l->dirty = true;
	g_ptr_array_add(p->dirty, l);
}

void ws_peers_close_older_inbound(struct ws_peers *p, struct ws_inbound *in)
{
	guint i;

	for (i = 0; i < p->inbound->len; i++) {
		struct ws_inbound *other = g_ptr_array_index(p->inbound, i);

		if (other != in && other->authenticated &&
		    other->peer == in->peer)
			ws_inbound_close(other, 0);
	}
}

/* ===== Receiving ===== */

/*
 * Refuses a forwarded request that doesn't fit into the payload table, so that
 * its sender doesn't wait for an answer.
 */
static void refuse_forward(struct ws_peers *p, ws_id to, uint64_t ref)
{
	struct ws_msg msg = { .kind = WS_MSG_ANSWER };

	msg.u.answer.ref = ref;
	msg.u.answer.answer.outcome = WS_OUT_NOT_RUN;
	msg.u.answer.answer.error = WS_ERR_LIMIT;
	ws_peers_send(p, to, &msg);
}

static void reject_message(struct ws_peers *p, ws_id from, struct ws_msg *msg,
			   int error)
{
	if (error == WS_ERR_LIMIT && msg->kind == WS_MSG_FORWARD)
		refuse_forward(p, from, msg->u.forward.ref);
	else
		ws_logline(WS_LOG_PEER_REJECTED, from, msg->kind, error,
			   "message could not be decoded");
	ws_msg_clear(msg);
}

void ws_peers_receive(struct ws_peers *p, ws_id from, const void *data,
		      size_t len)
{
	struct ws_event ev = { .kind = WS_EV_PEER_MSG };
	struct ws_msg msg;
	int res = ws_wire_decode(data, len, p->sh->payloads, &msg,
				 ws_shell_now());

	if (ws_is_error(res)) {
		reject_message(p, from, &msg, res);
		return;
	}
	if (msg.kind == WS_MSG_TAIL)
		ws_trust_verify_records(msg.u.tail.records,
					msg.u.tail.n_records);
	ev.u.peer.from = from;
	ev.u.peer.msg = &msg;
	ws_shell_handle_event(p->sh, &ev);
	ws_msg_clear(&msg);
}

/* ===== Sending ===== */

static void send_bytes(struct ws_peers *p, ws_id to)
{
	ws_us now = ws_shell_now();
	GHashTableIter it;
	gpointer value;
	struct ws_link *l;

	if (to) {
		l = g_hash_table_lookup(p->links, &to);
		if (l)
			ws_link_send(l, p->send_buffer.data, p->send_buffer.len,
				     now);
		else
			ws_peers_report_down(p, to);
		return;
	}
	g_hash_table_iter_init(&it, p->links);
	while (g_hash_table_iter_next(&it, NULL, &value))
		ws_link_send(value, p->send_buffer.data, p->send_buffer.len,
			     now);
}

/* Sends a handover that is too long for one message in two parts. */
static bool send_split_handover(struct ws_peers *p, ws_id to,
				const struct ws_msg *msg)
{
	struct ws_msg half = *msg;
	size_t n = msg->u.handover.n_entries;

	if (msg->kind != WS_MSG_HANDOVER || n < 2)
		return false;
	half.u.handover.n_entries = n / 2;
	half.u.handover.last = false;
	ws_peers_send(p, to, &half);
	half.u.handover.entries += n / 2;
	half.u.handover.n_entries = n - n / 2;
	half.u.handover.last = msg->u.handover.last;
	ws_peers_send(p, to, &half);
	return true;
}

/* Sends the first half of a log tail; the receiver requests the rest. */
static bool send_shortened_tail(struct ws_peers *p, ws_id to,
				const struct ws_msg *msg)
{
	struct ws_msg half = *msg;

	if (msg->kind != WS_MSG_TAIL || msg->u.tail.n_records < 2)
		return false;
	half.u.tail.n_records /= 2;
	ws_peers_send(p, to, &half);
	return true;
}

void ws_peers_send(struct ws_peers *p, ws_id to, const struct ws_msg *msg)
{
	int res = ws_wire_encode(&p->send_buffer, p->sh->payloads, msg,
				 ws_shell_now());

	if (!res) {
		send_bytes(p, to);
		return;
	}
	if (send_split_handover(p, to, msg) || send_shortened_tail(p, to, msg))
		return;
	ws_logline(WS_LOG_PEER_REJECTED, to, msg->kind, res,
		   "message could not be encoded");
}

static void flush_dirty(EV_P_ ev_prepare *w, int revents)
{
	struct ws_peers *p = w->data;
	guint i;

	(void)loop;
	(void)revents;
	for (i = 0; i < p->dirty->len; i++) {
		struct ws_link *l = g_ptr_array_index(p->dirty, i);

		l->dirty = false;
		if (l->state == WS_LINK_UP)
			ws_stream_flush(&l->stream);
	}
	g_ptr_array_set_size(p->dirty, 0);
}

/* ===== Connection management ===== */

static void ensure_link(struct ws_peers *p, const struct ws_instance *i)
{
	struct ws_link *l = g_hash_table_lookup(p->links, &i->id);

	if (!l) {
		l = ws_link_new(p, i->id, i->address.text);
		g_hash_table_insert(p->links, &l->peer, l);
	}
	l->wanted = true;
}

static gboolean remove_unwanted(gpointer key, gpointer value, gpointer user)
{
	struct ws_link *l = value;
	struct ws_peers *p = user;

	(void)key;
	if (l->wanted)
		return FALSE;
	g_ptr_array_remove(p->dirty, l);
	ws_link_free(l);
	return TRUE;
}

static void sync_links(struct ws_peers *p)
{
	const struct ws_view *v = ws_core_view(p->sh->core);
	GHashTableIter it;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&it, p->links);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct ws_link *)value)->wanted = false;
	for (i = 0; i < v->n_instances; i++) {
		const struct ws_instance *in = &v->instances[i];

		if (in->id != p->sh->self && *in->address.text &&
		    (in->listed || in->alive))
			ensure_link(p, in);
	}
	g_hash_table_foreach_remove(p->links, remove_unwanted, p);
}

static void tick_inbound(struct ws_peers *p, ws_us now)
{
	guint i = 0;

	while (i < p->inbound->len) {
		struct ws_inbound *in = g_ptr_array_index(p->inbound, i);

		ws_inbound_tick(in, now);
		ws_peers_count_bytes(p, &in->stream);
		if (in->closed) {
			g_ptr_array_remove_index_fast(p->inbound, i);
			ws_inbound_free(in);
		} else {
			i++;
		}
	}
}

static void on_tick(void *arg, ws_us now)
{
	struct ws_peers *p = arg;
	GHashTableIter it;
	gpointer value;

	sync_links(p);
	g_hash_table_iter_init(&it, p->links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		ws_link_tick(value, now);
		ws_peers_count_bytes(p, &((struct ws_link *)value)->stream);
	}
	tick_inbound(p, now);
}

/* ===== Listening ===== */

static void on_accept(EV_P_ ev_io *w, int revents)
{
	struct ws_peers *p = w->data;
	int one = 1;
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)revents;
	if (fd < 0)
		return;
	if (p->inbound->len >= INBOUND_MAX) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	g_ptr_array_add(p->inbound, ws_inbound_new(p, fd, ws_shell_now()));
}

static int listen_on(const char *address)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int one = 1;
	int fd;

	if (ws_config_address(address, &addr, &len))
		return -1;
	fd = socket(addr.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&addr, len) && !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

/* ===== Lifecycle ===== */

static int load_secrets(struct ws_peers *p, struct ws_config_error *why)
{
	struct ws_secret_lines lines;
	size_t i;

	if (ws_secret_read(p->sh->conf->secret_file, WS_SECRETS_MAX, &lines,
			   why))
		return WS_ERR_CONFIG;
	for (i = 0; i < lines.n; i++)
		ws_secrets_add(&p->secrets, lines.line[i]);
	sodium_memzero(&lines, sizeof(lines));
	return 0;
}

static int open_listener(struct ws_peers *p, struct ws_config_error *why)
{
	p->listen_fd = listen_on(p->sh->conf->peers);
	if (p->listen_fd >= 0)
		return 0;
	snprintf(why->text, sizeof(why->text),
		 "cannot listen on %s for peers (%s); choose a free address of "
		 "this machine",
		 p->sh->conf->peers, strerror(errno));
	return WS_ERR_CONFIG;
}

struct ws_peers *ws_peers_new(struct ws_shell *sh, struct ws_config_error *why)
{
	struct ws_peers *p = ws_alloc(1, sizeof(*p));

	p->sh = sh;
	p->listen_fd = -1;
	p->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->inbound = g_ptr_array_new();
	p->dirty = g_ptr_array_new();
	p->receive_buffer = ws_alloc(1, WS_WIRE_MAX);
	p->timer = ws_timer_every(sh->timers, ws_shell_now(), TICK_PERIOD,
				  on_tick, p);
	ev_prepare_init(&p->flush, flush_dirty);
	p->flush.data = p;
	ev_prepare_start(sh->loop, &p->flush);
	if (load_secrets(p, why) || open_listener(p, why)) {
		ws_peers_free(p);
		return NULL;
	}
	ev_io_init(&p->accept_io, on_accept, p->listen_fd, EV_READ);
	p->accept_io.data = p;
	ev_io_start(sh->loop, &p->accept_io);
	return p;
}

static void free_links(struct ws_peers *p)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->links);
	while (g_hash_table_iter_next(&it, NULL, &value))
		ws_link_free(value);
	g_hash_table_destroy(p->links);
}

void ws_peers_free(struct ws_peers *p)
{
	guint i;

	if (!p)
		return;
	ws_timer_cancel(p->sh->timers, p->timer);
	ev_prepare_stop(p->sh->loop, &p->flush);
	if (p->listen_fd >= 0) {
		ev_io_stop(p->sh->loop, &p->accept_io);
		close(p->listen_fd);
	}
	free_links(p);
	for (i = 0; i < p->inbound->len; i++)
		ws_inbound_free(g_ptr_array_index(p->inbound, i));
	g_ptr_array_free(p->inbound, TRUE);
	g_ptr_array_free(p->dirty, TRUE);
	sodium_memzero(&p->secrets, sizeof(p->secrets));
	free(p->send_buffer.data);
	free(p->receive_buffer);
	free(p);
}
