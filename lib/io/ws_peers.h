#ifndef WS_PEERS_H
#define WS_PEERS_H

#include "io/ws_shell.h"

/*
 * Connections between instances. Each instance opens one connection to every
 * other live instance and sends on it; on those that others opened it only
 * receives and acknowledges.
 */

struct ws_peers;

/* @return NULL with the reason filled in */
struct ws_peers *ws_peers_new(struct ws_shell *sh, struct ws_config_error *why);
void ws_peers_free(struct ws_peers *p);

/* Sends a message; to 0 means all live instances. */
void ws_peers_send(struct ws_peers *p, ws_id to, const struct ws_msg *msg);

#endif
