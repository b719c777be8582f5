#include <string.h>

#include "ed_suite.h"
#include "platform/wp_wire.h"

/* Matching of servers' answers with requests and key calls. */

static const char plain[] = "Content-Length: 0";
static const char with_id[] = "Wagtailshift-Request-Id: r1\0"
			      "Wagtailshift-Server-Seal: s";
static const char sealed[] = "Wagtailshift-Server-Seal: s";
static const char rejected[] = "Wagtailshift-Request-Id: r1\0"
			       "Wagtailshift-Not-Executed: full";
static const char rejected_without_id[] = "Wagtailshift-Not-Executed: full";

static struct ws_body make_body(unsigned status, const char *headers,
				size_t len)
{
	return (struct ws_body){
		.status = (uint16_t)status,
		.headers = headers,
		.headers_len = len,
	};
}

static const char moved[] = "Wagtailshift-Request-Id: r1";
static const char handover[] = "Content-Length: 0\0"
			       "Wagtailshift-Handover: 5c0e7a21d94b36f8";
static const char quoted_handover[] = "Wagtailshift-Handover: a\"b";

#define BODY(status, headers) make_body(status, headers, sizeof(headers))

/* Guards against forwarding the late answer to another request. */
START_TEST(answer_belongs_to_the_request_it_names)
{
	struct ws_body b = BODY(200, with_id);

	ck_assert(wp_wire_answers_request(&b, "r1"));
	ck_assert(!wp_wire_answers_request(&b, "r2"));
	b = BODY(200, plain);
	ck_assert(!wp_wire_answers_request(&b, "r1"));
}
END_TEST

/*
 * Guards against a rejection that belongs to another request: a request that
 * has run would be sent again.
 */
START_TEST(rejection_without_id_proves_nothing)
{
	struct ws_body b = BODY(503, rejected);

	ck_assert(wp_wire_answers_request(&b, "r1"));
	ck_assert(!wp_wire_answers_request(&b, "r2"));
	b = BODY(503, rejected_without_id);
	ck_assert(!wp_wire_answers_request(&b, "r1"));
}
END_TEST

/* Guards against a success that no server has proved to be its own (MIXED). */
START_TEST(success_without_seal_is_no_answer)
{
	static const char unsealed[] = "Wagtailshift-Request-Id: r1";
	struct ws_body b = BODY(200, unsealed);

	ck_assert(!wp_wire_answers_request(&b, "r1"));
	b = BODY(500, unsealed);
	ck_assert(wp_wire_answers_request(&b, "r1"));
}
END_TEST

/*
 * Guards against a redirection or refusal that no server has proved to be its
 * own: callers take it for the last word (DENIED). Statements that the request
 * has not run need no seal.
 */
START_TEST(refusal_without_seal_is_no_answer)
{
	static const unsigned final[] = { 300, 301, 304, 400, 401,
					  403, 404, 413, 431, 499 };
	static const unsigned stated[] = { 400, 408, 429, 503 };
	static const char unsealed[] =
		"Wagtailshift-Request-Id: r1\0Server-Leaving: 1\0"
		"Wagtailshift-Server-Load: 1,0,4";
	static const char proved[] =
		"Wagtailshift-Request-Id: r1\0Server-Leaving: 1\0"
		"Wagtailshift-Server-Seal: s";
	struct ws_ed_report report;
	struct ws_body b;
	size_t i;

	for (i = 0; i < sizeof(final) / sizeof(final[0]); i++) {
		b = BODY(final[i], unsealed);
		ck_assert(!wp_wire_answers_request(&b, "r1"));
		wp_wire_parse_report(&b, "r1", &report);
		ck_assert(!report.from_server && !report.leaving);
		b = BODY(final[i], proved);
		ck_assert(wp_wire_answers_request(&b, "r1"));
		ck_assert(!wp_wire_answers_request(&b, "r2"));
		wp_wire_parse_report(&b, "r1", &report);
		ck_assert(report.from_server && report.leaving);
	}
	for (i = 0; i < sizeof(stated) / sizeof(stated[0]); i++) {
		b = BODY(stated[i], rejected);
		ck_assert(wp_wire_answers_request(&b, "r1"));
		ck_assert(wp_wire_not_run(&b));
	}
}
END_TEST

/*
 * Guards against a success whose body is encoded, which callers have not asked
 * for and do not take for the server's (MIXED).
 */
START_TEST(encoded_success_is_no_answer)
{
	static const char encoded[] = "Wagtailshift-Request-Id: r1\0"
				      "Wagtailshift-Server-Seal: s\0"
				      "Content-Encoding: gzip";
	struct ws_body b = BODY(200, encoded);

	ck_assert(!wp_wire_answers_request(&b, "r1"));
	b = BODY(500, encoded);
	ck_assert(wp_wire_answers_request(&b, "r1"));
}
END_TEST

/* Guards against taking a request's late answer for that to a release. */
START_TEST(request_answer_is_no_key_answer)
{
	struct ws_body b = BODY(200, with_id);

	ck_assert(!wp_wire_is_key_answer(&b));
	b = BODY(200, plain);
	ck_assert(wp_wire_is_key_answer(&b));
	/* A server may seal all its answers (soak seed 2 beside load). */
	b = BODY(200, sealed);
	ck_assert(wp_wire_is_key_answer(&b));
}
END_TEST

/* Guards against a request that is lost because another server has the address.
 */
START_TEST(misdirected_request_has_not_run)
{
	struct ws_body b = BODY(421, moved);

	ck_assert(wp_wire_answers_request(&b, "r1"));
	ck_assert(wp_wire_not_run(&b));
	b = BODY(500, moved);
	ck_assert(!wp_wire_not_run(&b));
}
END_TEST

/* Guards against keys that are slow because the handover was not passed on. */
START_TEST(handover_of_a_release_is_read)
{
	struct ws_body b = BODY(200, handover);

	ck_assert_str_eq(wp_wire_handover_token(&b), "5c0e7a21d94b36f8");
	b = BODY(200, plain);
	ck_assert_str_eq(wp_wire_handover_token(&b), "");
	b = BODY(200, quoted_handover);
	ck_assert_str_eq(wp_wire_handover_token(&b), "");
}
END_TEST

/* Guards against OWNER: a release of other keys than those that move. */
START_TEST(release_names_its_keys)
{
	const struct ws_ed_key_call c = { .from = 1, .to = 9, .fence = 12 };
	char buf[160];

	wp_wire_release_body(&c, buf, sizeof(buf));
	ck_assert_str_eq(buf, "{\"from\":1,\"to\":9,\"fence\":12}");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		answer_belongs_to_the_request_it_names,
		rejection_without_id_proves_nothing,
		request_answer_is_no_key_answer,
		success_without_seal_is_no_answer,
		refusal_without_seal_is_no_answer,
		encoded_success_is_no_answer,
		misdirected_request_has_not_run,
		handover_of_a_release_is_read,
		release_names_its_keys,
	};

	return ed_suite_run("wp_wire", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
