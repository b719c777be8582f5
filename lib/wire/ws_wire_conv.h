#ifndef WS_WIRE_CONV_H
#define WS_WIRE_CONV_H

#include "core/ws_types.h"
#include "io/ws_payload.h"
#include "wire/ws_peer_xdr.h"

/* Conversion of the parts that have nested data; used by ws_wire.c only. */

struct ws_conv {
	struct ws_payloads *table;
	ws_us now;
	int error; /* first error met */
};

/*
 * Fills the generated form from a payload; what it points to is borrowed.
 * @return out, or NULL for the handle 0
 */
wsx_payload *ws_conv_payload_to_xdr(const struct ws_conv *c, ws_payload h,
				    wsx_payload *out);

/* Adds received bytes to the table; 0 for none. */
ws_payload ws_conv_payload_from_xdr(struct ws_conv *c, const wsx_payload *in);

void ws_conv_load_to_xdr(const struct ws_load *in, wsx_load *out);
void ws_conv_load_from_xdr(const wsx_load *in, struct ws_load *out);

/* Arrays; those going out are malloc'ed, with the element count returned. */
wsx_health *ws_conv_health_to_xdr(const struct ws_msg *msg);
wsx_heard *ws_conv_heard_to_xdr(const struct ws_msg *msg);
void ws_conv_heartbeat_from_xdr(const wsx_heartbeat *in, struct ws_msg *out);
wsx_record *ws_conv_records_to_xdr(struct ws_conv *c, const struct ws_msg *msg);
void ws_conv_records_free(wsx_record *recs, size_t n);
void ws_conv_tail_from_xdr(struct ws_conv *c, const wsx_tail *in,
			   struct ws_msg *out);
wsx_entry *ws_conv_entries_to_xdr(const struct ws_conv *c,
				  const struct ws_msg *msg,
				  wsx_payload **spare);
void ws_conv_handover_from_xdr(struct ws_conv *c, const wsx_handover *in,
			       struct ws_msg *out);

#endif
