#ifndef WS_EIO_CHECKS_H
#define WS_EIO_CHECKS_H

#include "edgeio/ws_eio.h"

/*
 * Checks whether a server still accepts connections, by opening one that
 * carries no request. Only a refused connection is reported to the reducer: it
 * shows that no process listens there. A connection that is reset or not
 * answered in time shows nothing.
 */

struct ws_eio_checks;

struct ws_eio_checks *ws_eio_checks_new(struct ws_eio *io);

/* Ends all checks. */
void ws_eio_checks_free(struct ws_eio_checks *c);

/* @param server handle of the server */
void ws_eio_checks_start(struct ws_eio_checks *c, uint32_t server);

#endif
