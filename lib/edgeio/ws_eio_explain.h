#ifndef WS_EIO_EXPLAIN_H
#define WS_EIO_EXPLAIN_H

#include "edgeio/ws_eio.h"

/*
 * Serves ws_ed_explain() to operators, on the listener of the metrics, which
 * callers don't reach. It answers
 * GET /explain?method=METHOD&host=HOST&path=PATH[&key=KEY].
 */

/* Whether a URI asks for an explanation. */
bool ws_eio_explain_is_asked(const char *uri);

/*
 * Explains a request, or names the field of the query that is wrong.
 * @return JSON text, which the caller frees with free()
 */
char *ws_eio_explain(const struct ws_eio *io, const char *uri,
		     unsigned *status);

#endif
