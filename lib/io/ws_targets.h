#ifndef WS_TARGETS_H
#define WS_TARGETS_H

#include "io/ws_shell.h"

/* Requests, health probes and grants to targets. */

struct ws_targets;

struct ws_targets *ws_targets_new(struct ws_shell *sh);
void ws_targets_free(struct ws_targets *t);

/* Each carries out an effect of the kind that its name says. */
void ws_targets_attempt(struct ws_targets *t, const struct ws_effect *e);
void ws_targets_cancel(struct ws_targets *t, uint64_t attempt);
void ws_targets_probe(struct ws_targets *t, ws_id target);
void ws_targets_grant(struct ws_targets *t, const struct ws_effect *e);

/* Exchanges open now. */
size_t ws_targets_open_attempts(const struct ws_targets *t);

#endif
