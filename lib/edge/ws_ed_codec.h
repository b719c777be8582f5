#ifndef WS_ED_CODEC_H
#define WS_ED_CODEC_H

#include "edge/ws_edge.h"

/*
 * XDR encoding (RFC 4506) of heartbeats, of lists of refused requests and of
 * key maps in the store. Sizes are bounded; malformed input is an error, never
 * a crash.
 */

/* @return length, or WS_ERR_LIMIT when size is too small */
int ws_ed_beat_encode(const struct ws_ed_beat *b, void *buf, size_t size);

/* @return 0 or WS_ERR_SYNTAX */
int ws_ed_beat_decode(struct ws_ed_beat *b, const void *buf, size_t len);

/* @return length, or WS_ERR_LIMIT when size is too small */
int ws_ed_refused_encode(const struct ws_ed_refused_list *l, void *buf,
			 size_t size);

/* @return 0 or WS_ERR_SYNTAX */
int ws_ed_refused_decode(struct ws_ed_refused_list *l, const void *buf,
			 size_t len);

/* @return length, or WS_ERR_LIMIT when size is too small */
int ws_ed_map_encode(const struct ws_ed_map *m, void *buf, size_t size);

/* @return 0 or WS_ERR_SYNTAX; m must be empty or from an earlier call */
int ws_ed_map_decode(struct ws_ed_map *m, const void *buf, size_t len);

#endif
