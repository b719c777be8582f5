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

int main(void)
{
	const TTest *const tests[] = {
		answer_belongs_to_the_request_it_names,
		rejection_without_id_proves_nothing,
		request_answer_is_no_key_answer,
		success_without_seal_is_no_answer,
	};

	return ed_suite_run("wp_wire", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
