#ifndef WS_EIO_BEATS_H
#define WS_EIO_BEATS_H

#include "edgeio/ws_eio.h"

/* Heartbeats between instances: XDR in UDP datagrams. */

struct ws_eio_beats *ws_eio_beats_new(struct ws_eio *io, struct wp_error *err);
void ws_eio_beats_free(struct ws_eio_beats *b);

/* Sends a heartbeat to all members now. */
void ws_eio_beats_send(struct ws_eio_beats *b);

/* Sends a member the list of refused requests. */
void ws_eio_beats_send_refused(struct ws_eio_beats *b, ws_id member);

/* Sends a member a message on a permit. */
void ws_eio_beats_send_permit(struct ws_eio_beats *b, ws_id member,
			      const struct ws_ed_permit_message *p);

#endif
