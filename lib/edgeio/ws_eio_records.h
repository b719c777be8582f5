#ifndef WS_EIO_RECORDS_H
#define WS_EIO_RECORDS_H

#include "edgeio/ws_eio.h"

/*
 * Records of the store's topics for other instances. Calls to the store have a
 * price and a limit for all instances together, so that one reads and the
 * others of its zone ask it. An answer is no evidence of what is in force: that
 * comes with heartbeats.
 */

struct ws_eio_records;

/* @return NULL when the address can't be listened on */
struct ws_eio_records *ws_eio_records_new(struct ws_eio *io);
void ws_eio_records_free(struct ws_eio_records *r);

/* A record was read; records of a topic come without gaps. */
void ws_eio_records_add(struct ws_eio_records *r, enum wp_topic topic,
			const struct wp_record *record);

/*
 * All records before an offset are known. What is kept is dropped if it does
 * not end there.
 */
void ws_eio_records_set_end(struct ws_eio_records *r, enum wp_topic topic,
			    uint64_t next);

/* Address at which a member answers such reads. */
void ws_eio_records_address(const struct ws_eio *io,
			    const struct ws_ed_member *m, char *buf,
			    size_t size);

#endif
