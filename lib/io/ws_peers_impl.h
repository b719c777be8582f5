#ifndef WS_PEERS_IMPL_H
#define WS_PEERS_IMPL_H

#include "io/ws_link.h"
#include "io/ws_shell.h"
#include "wire/ws_seal.h"

/* What links and guests need of their owner. */

struct ws_inbound;

struct ev_loop *ws_peers_loop(const struct ws_peers *p);
const struct ws_secrets *ws_peers_secrets(const struct ws_peers *p);
ws_id ws_peers_self(const struct ws_peers *p);

/* Room for one message that is being received. */
void *ws_peers_receive_buffer(struct ws_peers *p, size_t *size);

/* Decodes a message and gives it to the core. */
void ws_peers_receive(struct ws_peers *p, ws_id from, const void *data,
		      size_t len);

/* Tells the core that messages to or from a peer may be lost. */
void ws_peers_report_down(struct ws_peers *p, ws_id peer);

/* Closes an older connection of the same peer. */
void ws_peers_close_older_inbound(struct ws_peers *p, struct ws_inbound *g);

/* The link is flushed before the loop sleeps. */
void ws_peers_mark_dirty(struct ws_peers *p, struct ws_link *l);

/* Adds a stream's bytes to the metrics. */
void ws_peers_count_bytes(struct ws_peers *p, struct ws_stream *s);

#endif
