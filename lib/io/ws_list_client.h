#ifndef WS_LIST_CLIENT_H
#define WS_LIST_CLIENT_H

#include "io/ws_shell.h"

/* Polls the platform's list and keeps this instance registered in it. */

struct ws_list_client;

struct ws_list_client *ws_list_client_new(struct ws_shell *sh);
void ws_list_client_free(struct ws_list_client *c);

/* Registers at once, for instance when a shutdown starts. */
void ws_list_client_register(struct ws_list_client *c);

#endif
