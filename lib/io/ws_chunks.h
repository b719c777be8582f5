#ifndef WS_CHUNKS_H
#define WS_CHUNKS_H

#include "common/ws_common.h"

/*
 * Reads the chunked coding of a body (RFC 9112, section 7.1) as strictly as it
 * is defined: sizes are hexadecimal digits, lines end with CR LF, and trailer
 * lines are fields. Extensions and trailers are checked and dropped.
 */

enum ws_chunks_state {
	WS_CHUNKS_START = 0, /* before the first digit of a size */
	WS_CHUNKS_SIZE,
	WS_CHUNKS_BLANK, /* blanks behind a size */
	WS_CHUNKS_EXTENSION,
	WS_CHUNKS_SIZE_LF,
	WS_CHUNKS_DATA,
	WS_CHUNKS_DATA_CR,
	WS_CHUNKS_DATA_LF,
	WS_CHUNKS_TRAILERS, /* at the start of a line */
	WS_CHUNKS_NAME,
	WS_CHUNKS_VALUE,
	WS_CHUNKS_VALUE_LF,
	WS_CHUNKS_LAST_LF,
	WS_CHUNKS_COMPLETE,
	WS_CHUNKS_MALFORMED,
};

struct ws_chunks {
	enum ws_chunks_state state;
	uint64_t left; /* bytes of the chunk */
	unsigned digits; /* of its size */
	size_t overhead; /* bytes of extensions and trailers so far */
};

/*
 * Reads up to the next piece of the body, and that piece.
 * @param piece set to it, within p
 * @param piece_len 0 if there is none in these bytes
 * @return number of bytes read; less than len only behind a piece, or if the
 *         body is complete or malformed
 */
size_t ws_chunks_read(struct ws_chunks *c, const char *p, size_t len,
		      const char **piece, size_t *piece_len);

#endif
