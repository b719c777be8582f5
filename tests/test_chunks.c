#include <string.h>

#include "ed_suite.h"
#include "io/ws_chunks.h"

/* The reader of the chunked coding; test_http has the malformed texts. */

#define BODY_MAX 64

static char body[BODY_MAX];
static size_t body_len;

/* Reads a part of a text; returns how much of it was read. */
static size_t read_part(struct ws_chunks *c, const char *p, size_t len)
{
	size_t done = 0;

	while (done < len && c->state < WS_CHUNKS_COMPLETE) {
		const char *piece;
		size_t piece_len;

		done += ws_chunks_read(c, p + done, len - done, &piece,
				       &piece_len);
		ck_assert_uint_le(body_len + piece_len, sizeof(body));
		if (piece_len)
			memcpy(body + body_len, piece, piece_len);
		body_len += piece_len;
	}
	return done;
}

/* Guards against a body that depends on how its bytes were split on the way. */
START_TEST(pieces_do_not_matter)
{
	static const char text[] = "5;a=1\r\nhello\r\n00B \r\n, chunked 0\r\n"
				   "0\r\nX-Sum: 3\r\n\r\n";
	static const char expected[] = "hello, chunked 0";
	size_t len = sizeof(text) - 1;
	size_t first;
	size_t second;

	for (first = 0; first <= len; first++) {
		for (second = first; second <= len; second++) {
			struct ws_chunks c = { .state = WS_CHUNKS_START };

			body_len = 0;
			ck_assert_uint_eq(read_part(&c, text, first), first);
			ck_assert_uint_eq(read_part(&c, text + first,
						    second - first),
					  second - first);
			ck_assert_int_eq(c.state == WS_CHUNKS_COMPLETE,
					 second == len);
			read_part(&c, text + second, len - second);
			ck_assert_int_eq(c.state, WS_CHUNKS_COMPLETE);
			ck_assert_uint_eq(body_len, sizeof(expected) - 1);
			ck_assert_int_eq(memcmp(body, expected, body_len), 0);
		}
	}
}
END_TEST

/* Guards against bytes behind a body that are taken for a part of it. */
START_TEST(body_ends_at_its_last_line)
{
	static const char text[] = "1\r\na\r\n0\r\n\r\n1\r\nb\r\n";
	struct ws_chunks c = { .state = WS_CHUNKS_START };

	body_len = 0;
	ck_assert_uint_eq(read_part(&c, text, sizeof(text) - 1), 11);
	ck_assert_int_eq(c.state, WS_CHUNKS_COMPLETE);
	ck_assert_uint_eq(body_len, 1);
}
END_TEST

/* Guards against extensions and trailers without end. */
START_TEST(what_is_dropped_is_bounded)
{
	static const char *const starts[] = { "1;", "1 ", "0\r\nX", "0\r\nX:" };
	struct ws_chunks c = { .state = WS_CHUNKS_START };
	const char *piece;
	size_t piece_len;
	size_t n = 0;

	ws_chunks_read(&c, starts[_i], strlen(starts[_i]), &piece, &piece_len);
	while (c.state != WS_CHUNKS_MALFORMED && n++ < (size_t)1 << 20)
		ws_chunks_read(&c, _i == 1 ? " " : "a", 1, &piece, &piece_len);
	ck_assert_int_eq(c.state, WS_CHUNKS_MALFORMED);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		pieces_do_not_matter,
		body_ends_at_its_last_line,
	};
	const TTest *const bounds[] = { what_is_dropped_is_bounded };
	int res = ed_suite_run_each("chunks", bounds, 1, 4);

	return ed_suite_run("chunks", tests, 2) || res;
}
