#ifndef WS_STANDIN_TARGET_H
#define WS_STANDIN_TARGET_H

#include <stdio.h>

#include "standin/ws_shttp.h"
#include "standin/ws_starget.h"

/* A target with what only its server needs. */
struct ws_standin_target {
	struct ws_starget *t;
	FILE *journal;
	char *padding; /* added to each answer; NULL: none */
};

/* Handles one HTTP request; arg is the struct ws_standin_target. */
enum ws_shttp_action
ws_standin_target_call(void *arg, struct ws_shttp_call *call, ws_us now);

#endif
