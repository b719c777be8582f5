#include "io/ws_chunks.h"

#include <glib.h>

#include "io/ws_headers.h"

#define SIZE_DIGITS_MAX 16
/* Bytes of all extensions and trailers. */
#define OVERHEAD_MAX ((size_t)128 * 1024)

static bool is_blank(char ch)
{
	return ch == ' ' || ch == '\t';
}

static bool is_text(char ch)
{
	return !g_ascii_iscntrl(ch) || ch == '\t';
}

static enum ws_chunks_state expect(char ch, char expected,
				   enum ws_chunks_state next)
{
	return ch == expected ? next : WS_CHUNKS_MALFORMED;
}

static enum ws_chunks_state on_size(struct ws_chunks *c, char ch)
{
	if (!g_ascii_isxdigit(ch) || ++c->digits > SIZE_DIGITS_MAX)
		return WS_CHUNKS_MALFORMED;
	c->left = c->left << 4 | (uint64_t)g_ascii_xdigit_value(ch);
	return WS_CHUNKS_SIZE;
}

/* Behind the digits of a size. */
static enum ws_chunks_state on_size_end(char ch)
{
	if (is_blank(ch))
		return WS_CHUNKS_BLANK;
	if (ch == ';')
		return WS_CHUNKS_EXTENSION;
	return expect(ch, '\r', WS_CHUNKS_SIZE_LF);
}

/* In a line that ends with CR LF. */
static enum ws_chunks_state on_text(struct ws_chunks *c, char ch,
				    enum ws_chunks_state line_feed)
{
	if (ch == '\r')
		return line_feed;
	return is_text(ch) && ++c->overhead <= OVERHEAD_MAX ?
		       c->state :
		       WS_CHUNKS_MALFORMED;
}

static enum ws_chunks_state on_name(struct ws_chunks *c, char ch)
{
	if (ch == ':' && c->state == WS_CHUNKS_NAME)
		return WS_CHUNKS_VALUE;
	return ws_headers_is_token(&ch, 1) && ++c->overhead <= OVERHEAD_MAX ?
		       WS_CHUNKS_NAME :
		       WS_CHUNKS_MALFORMED;
}

/* The state behind a byte that is none of the body. */
static enum ws_chunks_state next_state(struct ws_chunks *c, char ch)
{
	switch (c->state) {
	case WS_CHUNKS_START:
		c->left = 0;
		c->digits = 0;
		return on_size(c, ch);
	case WS_CHUNKS_SIZE:
		return g_ascii_isxdigit(ch) ? on_size(c, ch) : on_size_end(ch);
	case WS_CHUNKS_BLANK:
		return ++c->overhead <= OVERHEAD_MAX ? on_size_end(ch) :
						       WS_CHUNKS_MALFORMED;
	case WS_CHUNKS_EXTENSION:
		return on_text(c, ch, WS_CHUNKS_SIZE_LF);
	case WS_CHUNKS_SIZE_LF:
		return expect(ch, '\n',
			      c->left ? WS_CHUNKS_DATA : WS_CHUNKS_TRAILERS);
	case WS_CHUNKS_DATA_CR:
		return expect(ch, '\r', WS_CHUNKS_DATA_LF);
	case WS_CHUNKS_DATA_LF:
		return expect(ch, '\n', WS_CHUNKS_START);
	case WS_CHUNKS_TRAILERS:
		return ch == '\r' ? WS_CHUNKS_LAST_LF : on_name(c, ch);
	case WS_CHUNKS_NAME:
		return on_name(c, ch);
	case WS_CHUNKS_VALUE:
		return on_text(c, ch, WS_CHUNKS_VALUE_LF);
	case WS_CHUNKS_VALUE_LF:
		return expect(ch, '\n', WS_CHUNKS_TRAILERS);
	case WS_CHUNKS_LAST_LF:
		return expect(ch, '\n', WS_CHUNKS_COMPLETE);
	default:
		return c->state;
	}
}

size_t ws_chunks_read(struct ws_chunks *c, const char *p, size_t len,
		      const char **piece, size_t *piece_len)
{
	size_t i;

	*piece_len = 0;
	for (i = 0; i < len && c->state != WS_CHUNKS_DATA; i++) {
		if (c->state >= WS_CHUNKS_COMPLETE)
			return i;
		c->state = next_state(c, p[i]);
	}
	if (i == len)
		return i;
	*piece = p + i;
	*piece_len = len - i < c->left ? len - i : (size_t)c->left;
	c->left -= *piece_len;
	if (!c->left)
		c->state = WS_CHUNKS_DATA_CR;
	return i + *piece_len;
}
