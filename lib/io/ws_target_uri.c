#include "io/ws_target_uri.h"

#include <ctype.h>
#include <string.h>

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/*
 * Decodes a segment that ends at '/', '?' or the end of the text.
 * @return bytes written, or an error
 */
static int decode_segment(const char *p, size_t len, char *out, size_t size)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		int c = (unsigned char)p[i];

		if (c <= ' ' || c == 127 || c == '#' || c == '\\')
			return WS_ERR_BAD_REQUEST;
		if (c == '%') {
			int hi = i + 2 < len ? hex_digit(p[i + 1]) : -1;
			int lo = i + 2 < len ? hex_digit(p[i + 2]) : -1;

			if (hi < 0 || lo < 0)
				return WS_ERR_BAD_REQUEST;
			c = hi << 4 | lo;
			i += 2;
		}
		if (n + 1 >= size || !c)
			return WS_ERR_BAD_REQUEST;
		out[n++] = (char)c;
	}
	out[n] = '\0';
	return (int)n;
}

static int check_segments(const char *path)
{
	char segment[WS_URI_MAX];
	const char *p = path;

	while (*p == '/') {
		size_t len = strcspn(p + 1, "/?");
		int n = decode_segment(p + 1, len, segment, sizeof(segment));

		if (ws_is_error(n))
			return n;
		if (!strcmp(segment, ".") || !strcmp(segment, "..") ||
		    memchr(segment, '/', (size_t)n))
			return WS_ERR_BAD_REQUEST;
		p += len + 1;
	}
	return 0;
}

int ws_target_uri_parse(const char *uri, struct ws_target_uri *out)
{
	const char *p = uri + 3;
	size_t len;
	int n;

	if (strlen(uri) >= WS_URI_MAX)
		return WS_ERR_BAD_REQUEST;
	if (strncmp(uri, "/s/", 3) != 0)
		return WS_ERR_NO_SERVICE;
	len = strcspn(p, "/?");
	if (!len || len >= sizeof(out->service))
		return WS_ERR_NO_SERVICE;
	memcpy(out->service, p, len);
	out->service[len] = '\0';
	if (p[len] != '/')
		return WS_ERR_BAD_REQUEST;
	out->path = p + len;
	n = check_segments(out->path);
	if (ws_is_error(n))
		return n;
	len = strcspn(out->path + 1, "/?");
	n = decode_segment(out->path + 1, len, out->key, sizeof(out->key));
	out->key_len = n > 0 ? (size_t)n : 0;
	return n < 0 ? n : 0;
}

bool ws_uuid7_parse(const char *text, uint64_t id[2])
{
	size_t i;

	if (strlen(text) != 36 || text[14] != '7')
		return false;
	id[0] = 0;
	id[1] = 0;
	for (i = 0; i < 36; i++) {
		int digit = hex_digit(text[i]);
		uint64_t *word = i < 18 ? &id[0] : &id[1];

		if (i == 8 || i == 13 || i == 18 || i == 23) {
			if (text[i] != '-')
				return false;
			continue;
		}
		if (digit < 0)
			return false;
		*word = *word << 4 | (uint64_t)digit;
	}
	/* The two highest bits of the second half are the variant, 10. */
	return id[1] >> 62 == 2;
}
