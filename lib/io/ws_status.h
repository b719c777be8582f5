#ifndef WS_STATUS_H
#define WS_STATUS_H

#include <jansson.h>

#include "io/ws_shell.h"

/* JSON pages of the administration listener. All return new references. */

json_t *ws_status_page(const struct ws_shell *sh);
json_t *ws_status_owners(const struct ws_shell *sh);
json_t *ws_status_shares(const struct ws_shell *sh);
json_t *ws_status_targets(const struct ws_shell *sh);

/* Accepted and refused bundles, oldest first. */
json_t *ws_status_history(const struct ws_shell *sh);

/*
 * Explains which target owns a key and who dispatches to it; NULL if there is
 * no such service. The key only matters in sharded services.
 */
json_t *ws_status_explain(const struct ws_shell *sh, const char *service,
			  const char *key);

#endif
