#include <string.h>

#include "ed_suite.h"
#include "platform/wp_wire.h"

/* Which answers of servers count for what was sent. */

static const char plain[] = "Content-Length: 0";
static const char with_id[] = "Wagtailshift-Request-Id: r1\0"
			      "Wagtailshift-Server-Seal: s";
static const char sealed[] = "Wagtailshift-Server-Seal: s";
static const char rejected[] = "Wagtailshift-Request-Id: r1\0"
			       "Wagtailshift-Not-Executed: full";
static const char rejected_without_id[] = "Wagtailshift-Not-Executed: full";

static struct ws_body body(unsigned status, const char *headers, size_t len)
{
	return (struct ws_body){
		.status = (uint16_t)status,
		.headers = headers,
		.headers_len = len,
	};
}

#define BODY(status, headers) body(status, headers, sizeof(headers))

/* Guards against a caller that gets the late answer to another request. */
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
 * Guards against "not run" that is told of another request: an order that has
 * run would be sent again.
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

/* Guards against keys that count as released by a request's late answer. */
START_TEST(answer_to_a_request_is_none_about_keys)
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
		answer_to_a_request_is_none_about_keys,
	};

	return ed_suite_run("wp_wire", tests, 3);
}
