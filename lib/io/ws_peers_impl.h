#ifndef WS_PEERS_IMPL_H
#define WS_PEERS_IMPL_H

#include "io/ws_link.h"
#include "io/ws_shell.h"
#include "wire/ws_seal.h"

/* Functions of the owner that outbound links and inbound connections use. */

struct ws_inbound;

struct ev_loop *ws_peers_loop(const struct ws_peers *p);
const struct ws_secrets *ws_peers_secrets(const struct ws_peers *p);
ws_id ws_peers_self(const struct ws_peers *p);

/* Buffer for one received message, shared by all inbound connections. */
void *ws_peers_receive_buffer(struct ws_peers *p, size_t *size);

/* Decodes a message and passes it to the core. */
void ws_peers_receive(struct ws_peers *p, ws_id from, const void *data,
		      size_t len);

/* Reports to the core that messages to or from a peer may be lost. */
void ws_peers_report_down(struct ws_peers *p, ws_id peer);

/* Closes an older inbound connection of the same peer. */
void ws_peers_close_older_inbound(struct ws_peers *p, struct ws_inbound *in);

/* Schedules a flush of the link before the event loop sleeps. */
void ws_peers_mark_dirty(struct ws_peers *p, struct ws_link *l);

/* Moves a stream's byte counts to the metrics. */
void ws_peers_count_bytes(struct ws_peers *p, struct ws_stream *s);

#endif
