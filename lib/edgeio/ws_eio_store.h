#ifndef WS_EIO_STORE_H
#define WS_EIO_STORE_H

#include "edgeio/ws_eio.h"

/*
 * Follows the store's topics: reads the newest record of each key first, then
 * new records by long polling. Also writes the map of keys and this instance's
 * entry in the list of instances.
 */

struct ws_eio_store *ws_eio_store_new(struct ws_eio *io);
void ws_eio_store_free(struct ws_eio_store *s);

/* Appends the leader's proposed map, on condition that it gets this offset. */
void ws_eio_store_append_map(struct ws_eio_store *s, uint64_t at);

/* Reads a topic again at once, as records may have been missed. */
void ws_eio_store_read(struct ws_eio_store *s, enum ws_ed_topic topic);

/* Removes this instance's entry from the list of instances. */
void ws_eio_store_leave(struct ws_eio_store *s);

/* Number of calls to the store since process start. */
uint64_t ws_eio_store_calls(const struct ws_eio_store *s);

#endif
