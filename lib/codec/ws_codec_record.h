#ifndef WS_CODEC_RECORD_H
#define WS_CODEC_RECORD_H

#include "codec/ws_json.h"

/* Shared by the reader and the writer of log records. */

#define WS_RECORD_ITEMS_MAX 8192

/* JSON names; the index is enum ws_record_kind or enum ws_res_kind minus 1. */
extern const char *const ws_codec_record_kinds[];
extern const char *const ws_codec_res_kinds[];

/* Hash of the state in a snapshot, for detecting damage. */
uint64_t ws_codec_state_hash(const json_t *state);

#endif
