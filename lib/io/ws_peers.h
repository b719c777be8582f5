#ifndef WS_PEERS_H
#define WS_PEERS_H

#include "io/ws_shell.h"

/*
 * Connections between instances. Each instance opens a connection to every
 * other live instance and sends its messages on it. On the inbound connections
 * that others opened, it only receives messages and acknowledges them.
 */

struct ws_peers;

/* @return NULL with the reason filled in */
struct ws_peers *ws_peers_new(struct ws_shell *sh, struct ws_config_error *why);
void ws_peers_free(struct ws_peers *p);

/* Sends a message to an instance, or to all linked ones if to is 0. */
void ws_peers_send(struct ws_peers *p, ws_id to, const struct ws_msg *msg);

#endif
