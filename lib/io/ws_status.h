#ifndef WS_STATUS_H
#define WS_STATUS_H

#include <jansson.h>

#include "io/ws_shell.h"

/* The pages of the administration listener as JSON; new references. */

json_t *ws_status_page(const struct ws_shell *sh);
json_t *ws_status_owners(const struct ws_shell *sh);
json_t *ws_status_shares(const struct ws_shell *sh);
json_t *ws_status_targets(const struct ws_shell *sh);

/* Decisions on bundles, oldest first, refused ones included. */
json_t *ws_status_history(const struct ws_shell *sh);

/* Why a key is served where it is; the key is ignored in open services. */
json_t *ws_status_explain(const struct ws_shell *sh, const char *service,
			  const char *key);

#endif
