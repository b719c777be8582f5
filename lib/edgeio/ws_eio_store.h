#ifndef WS_EIO_STORE_H
#define WS_EIO_STORE_H

#include "edgeio/ws_eio.h"

/*
 * Follows the store's topics: the newest record of each key first, then what
 * is added, by reads that wait. Also writes the map of keys and the own entry
 * in the list of instances.
 */

struct ws_eio_store *ws_eio_store_new(struct ws_eio *io);
void ws_eio_store_free(struct ws_eio_store *s);

/* Writes the leader's proposal so that it lies at an offset. */
void ws_eio_store_append_map(struct ws_eio_store *s, uint64_t at);

/* Reads a topic anew, as records may have been missed. */
void ws_eio_store_read(struct ws_eio_store *s, enum ws_ed_topic topic);

/* Takes the own entry off the list of instances. */
void ws_eio_store_leave(struct ws_eio_store *s);

/* Calls to the store since the start. */
uint64_t ws_eio_store_calls(const struct ws_eio_store *s);

#endif
