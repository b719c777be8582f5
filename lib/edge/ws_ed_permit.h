#ifndef WS_ED_PERMIT_H
#define WS_ED_PERMIT_H

#include "edge/ws_ed_issuer.h"

/*
 * Messages between an instance that wants to send to the owner of a key and
 * the instance that issues permits for this server. Each is one datagram; any
 * of them may be lost. See docs/design/permits.md.
 */

enum ws_ed_permit_kind {
	WS_ED_PERMIT_ASK = 1,
	WS_ED_PERMIT_ANSWER,
	WS_ED_PERMIT_END,
	WS_ED_PERMIT_KINDS_END,
};

/* How a request that had a permit has ended. */
enum ws_ed_permit_outcome {
	WS_ED_PERMIT_WITHDRAWN = 0, /* it was not sent */
	WS_ED_PERMIT_SERVED,
	WS_ED_PERMIT_REJECTED, /* or its connection was reset */
	WS_ED_PERMIT_FAILED,
	WS_ED_PERMIT_OUTCOMES,
};

struct ws_ed_permit_message {
	enum ws_ed_permit_kind kind;
	ws_id from; /* the instance that sends it */
	ws_id server;
	uint64_t call; /* chosen by the asker */
	union {
		struct ws_ed_ask ask; /* ref is set by the receiver */
		struct ws_ed_permit_answer answer; /* the same */
		struct {
			enum ws_ed_permit_outcome outcome;
			bool has_report;
			uint32_t running;
			uint32_t waiting;
			float pace; /* by the report; 0: not stated */
			ws_us latency; /* since it was sent */
			float work; /* us, see struct ws_ed_learn_sample */
			float load; /* the same */
		} end;
	} u;
};

#define WS_ED_PERMIT_BYTES 128

/* @return length, or WS_ERR_LIMIT when size is too small */
int ws_ed_permit_encode(const struct ws_ed_permit_message *m, void *buf,
			size_t size);

/* @return 0 or WS_ERR_SYNTAX */
int ws_ed_permit_decode(struct ws_ed_permit_message *m, const void *buf,
			size_t len);

#endif
