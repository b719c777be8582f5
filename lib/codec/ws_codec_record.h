#ifndef WS_CODEC_RECORD_H
#define WS_CODEC_RECORD_H

#include "codec/ws_json.h"

/* Parts shared by the reader and the writer of log records. */

#define WS_RECORD_ITEMS_MAX 8192

/* Texts by enum ws_record_kind and enum ws_res_kind, minus one. */
extern const char *const ws_codec_record_kinds[];
extern const char *const ws_codec_res_kinds[];

/* Hash over the folded state of a snapshot. */
uint64_t ws_codec_state_hash(const json_t *state);

#endif
