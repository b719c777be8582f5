#ifndef WS_EIO_RECORDS_H
#define WS_EIO_RECORDS_H

#include "edgeio/ws_eio.h"

/*
 * Serves recent records of the store's topics to other instances. Calls to the
 * store cost money and share one rate limit over all instances, so one instance
 * of a zone reads the store and the others fetch the records from it. Such an
 * answer does not prove that the records are up to date; heartbeats carry that
 * evidence.
 */

struct ws_eio_records;

/* @return NULL when the address can't be bound */
struct ws_eio_records *ws_eio_records_new(struct ws_eio *io);
void ws_eio_records_free(struct ws_eio_records *r);

/* Appends a record that was read; records of a topic must have no gaps. */
void ws_eio_records_add(struct ws_eio_records *r, enum wp_topic topic,
			const struct wp_record *record);

/*
 * Sets the offset up to which this instance has read a topic. If the buffered
 * records do not end there, they are dropped.
 */
void ws_eio_records_set_end(struct ws_eio_records *r, enum wp_topic topic,
			    uint64_t next);

/* Formats the address at which a member serves its records. */
void ws_eio_records_address(const struct ws_eio *io,
			    const struct ws_ed_member *m, char *buf,
			    size_t size);

#endif
