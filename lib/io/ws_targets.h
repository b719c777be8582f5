#ifndef WS_TARGETS_H
#define WS_TARGETS_H

#include "io/ws_shell.h"

/* Sends requests, health probes and lease grants to targets. */

struct ws_targets;

struct ws_targets *ws_targets_new(struct ws_shell *sh);
void ws_targets_free(struct ws_targets *t);

/* Execute WS_FX_ATTEMPT, _ATTEMPT_CANCEL, _PROBE and _GRANT. */
void ws_targets_attempt(struct ws_targets *t, const struct ws_effect *e);
void ws_targets_cancel(struct ws_targets *t, uint64_t attempt);
void ws_targets_probe(struct ws_targets *t, ws_id target);
void ws_targets_grant(struct ws_targets *t, const struct ws_effect *e);

/* Number of open attempts. */
size_t ws_targets_open_attempts(const struct ws_targets *t);

#endif
