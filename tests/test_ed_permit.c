#include <string.h>

#include "common/ws_common.h"
#include "ed_fleet.h"
#include "ed_suite.h"
#include "edge/ws_ed_permit.h"

/* Messages on permits: encoding, and bytes from outside. */

#define RANDOM_INPUTS 20000
#define INSTANCES 4
#define SOME_RATE 20.0
/* More than the owner of all keys bears at once */
#define CROWD 60

static unsigned char buf[WS_ED_PERMIT_BYTES];

static struct ws_ed_permit_message ask_message(void)
{
	return (struct ws_ed_permit_message){
		.kind = WS_ED_PERMIT_ASK,
		.from = 7,
		.server = 9,
		.call = UINT64_C(0x1122334455667788),
		.u.ask = { .fingerprint = 3,
			   .priority = 2,
			   .work = 94000.0,
			   .objective = 500 * WS_MS,
			   .objective_left = -20 * WS_MS,
			   .time_left = 1500 * WS_MS,
			   .is_retry = true },
	};
}

static struct ws_ed_permit_message answer_message(void)
{
	return (struct ws_ed_permit_message){
		.kind = WS_ED_PERMIT_ANSWER,
		.u.answer = { .verdict = WS_ED_PERMIT_REFUSED,
			      .retry_after = 120 * WS_MS,
			      .expected = 40 * WS_MS },
	};
}

static struct ws_ed_permit_message end_message(void)
{
	return (struct ws_ed_permit_message){
		.kind = WS_ED_PERMIT_END,
		.u.end = { .outcome = WS_ED_PERMIT_SERVED,
			   .has_report = true,
			   .running = 3,
			   .waiting = 12,
			   .pace = 3.0F,
			   .latency = 90 * WS_MS,
			   .work = 94000.0F,
			   .load = 4.0F },
	};
}

/* Guards against fields that are lost or change their unit on the way. */
START_TEST(messages_survive_the_way)
{
	struct ws_ed_permit_message m = ask_message();
	struct ws_ed_permit_message r;
	int len = ws_ed_permit_encode(&m, buf, sizeof(buf));

	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(ws_ed_permit_decode(&r, buf, (size_t)len), 0);
	ck_assert_int_eq(r.kind, WS_ED_PERMIT_ASK);
	ck_assert_uint_eq(r.from, 7);
	ck_assert_uint_eq(r.server, 9);
	ck_assert_uint_eq(r.call, m.call);
	ck_assert_uint_eq(r.u.ask.fingerprint, 3);
	ck_assert_uint_eq(r.u.ask.priority, 2);
	ck_assert_double_eq(r.u.ask.work, 94000.0);
	ck_assert_int_eq(r.u.ask.objective, 500 * WS_MS);
	ck_assert_int_eq(r.u.ask.objective_left, -20 * WS_MS);
	ck_assert_int_eq(r.u.ask.time_left, 1500 * WS_MS);
	ck_assert(r.u.ask.is_retry);

	m = answer_message();
	len = ws_ed_permit_encode(&m, buf, sizeof(buf));
	ck_assert_int_eq(ws_ed_permit_decode(&r, buf, (size_t)len), 0);
	ck_assert_int_eq(r.u.answer.verdict, WS_ED_PERMIT_REFUSED);
	ck_assert_int_eq(r.u.answer.retry_after, 120 * WS_MS);
	ck_assert_int_eq(r.u.answer.expected, 40 * WS_MS);

	m = end_message();
	len = ws_ed_permit_encode(&m, buf, sizeof(buf));
	ck_assert_int_eq(ws_ed_permit_decode(&r, buf, (size_t)len), 0);
	ck_assert_int_eq(r.u.end.outcome, WS_ED_PERMIT_SERVED);
	ck_assert_uint_eq(r.u.end.running, 3);
	ck_assert_uint_eq(r.u.end.waiting, 12);
	ck_assert_int_eq(r.u.end.latency, 90 * WS_MS);
	ck_assert(r.u.end.has_report);
}
END_TEST

/* Guards against a datagram cut short, or longer figures, being believed. */
START_TEST(malformed_messages_are_refused)
{
	struct ws_ed_permit_message m = ask_message();
	struct ws_ed_permit_message r;
	int len = ws_ed_permit_encode(&m, buf, sizeof(buf));
	int i;

	for (i = 0; i < len; i++)
		ck_assert_int_ne(ws_ed_permit_decode(&r, buf, (size_t)i), 0);
	buf[3] ^= 1; /* magic */
	ck_assert_int_ne(ws_ed_permit_decode(&r, buf, (size_t)len), 0);

	m = answer_message();
	m.u.answer.verdict =
		(enum ws_ed_permit_verdict)(WS_ED_PERMIT_UNKNOWN + 1);
	ck_assert_int_lt(ws_ed_permit_encode(&m, buf, sizeof(buf)), 0);
	m.u.answer.verdict = (enum ws_ed_permit_verdict)0;
	ck_assert_int_lt(ws_ed_permit_encode(&m, buf, sizeof(buf)), 0);
	m = answer_message();
	m.u.answer.retry_after = -1 * WS_SECOND;
	ck_assert_int_lt(ws_ed_permit_encode(&m, buf, sizeof(buf)), 0);
	m = end_message();
	m.u.end.running = 2000000;
	ck_assert_int_lt(ws_ed_permit_encode(&m, buf, sizeof(buf)), 0);
	m = end_message();
	m.u.end.load = -1.0F;
	ck_assert_int_lt(ws_ed_permit_encode(&m, buf, sizeof(buf)), 0);
	m = ask_message();
	ck_assert_int_lt(ws_ed_permit_encode(&m, buf, 20), 0);
}
END_TEST

/* Guards against a crash, or a negative time, by bytes of any kind. */
START_TEST(random_bytes_do_no_harm)
{
	struct ws_ed_permit_message m;
	struct ws_rand rand;
	int i;

	ws_rand_seed(&rand, 46);
	for (i = 0; i < RANDOM_INPUTS; i++) {
		struct ws_ed_permit_message sent =
			i % 3 == 0 ? ask_message() :
			i % 3 == 1 ? answer_message() :
				     end_message();
		int len = ws_ed_permit_encode(&sent, buf, sizeof(buf));
		int n = (int)ws_rand_below(&rand, 4);

		while (n-- > 0)
			buf[ws_rand_below(&rand, (uint32_t)len)] =
				(unsigned char)ws_rand_below(&rand, 256);
		if (ws_ed_permit_decode(&m, buf, (size_t)len))
			continue;
		if (m.kind == WS_ED_PERMIT_ANSWER)
			ck_assert_int_ge(m.u.answer.retry_after, 0);
		if (m.kind == WS_ED_PERMIT_ASK)
			ck_assert_int_ge(m.u.ask.objective, 0);
	}
}
END_TEST

/* ===== Reducers of several instances, joined ===== */

static void start_fleet(void)
{
	fleet.unmetered = true;
	fleet_start(INSTANCES, true);
	fleet_run(3 * WS_SECOND, SOME_RATE);
}

/* Permits that were taken back because their end was never told. */
static uint64_t expired(void)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < INSTANCES; i++)
		n += ws_edge_issuers(fleet.nodes[i].edge)->expired;
	return n;
}

static uint64_t granted(void)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < INSTANCES; i++)
		n += ws_edge_issuers(fleet.nodes[i].edge)->granted;
	return n;
}

/* The only one that issues for the owner of all keys. */
static int find_issuer(void)
{
	int issuer = -1;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		if (!ws_edge_issuers(fleet.nodes[i].edge)->granted)
			continue;
		ck_assert_int_eq(issuer, -1);
		issuer = i;
	}
	ck_assert_int_ge(issuer, 0);
	return issuer;
}

static void check_all_ended(size_t from)
{
	size_t i;

	for (i = from; i <= fleet.n_requests; i++)
		ck_assert(fleet.requests[i].answered ||
			  fleet.requests[i].refused_after);
}

/* Guards against instances that choose different issuers for a server. */
START_TEST(one_instance_issues_for_a_server)
{
	start_fleet();
	find_issuer();
	ck_assert_uint_ge(granted(), fleet.n_requests * 9 / 10);
	fleet_run(5 * WS_SECOND, 0.0);
	check_all_ended(1);
	ck_assert_uint_eq(expired(), 0);
}
END_TEST

/* Guards against a request, or a permit, that hangs after a lost message. */
START_TEST(lost_message_costs_no_request)
{
	size_t from;

	start_fleet();
	from = fleet.n_requests + 1;
	fleet.lost_permits[_i] = _i != 0;
	fleet_run(1 * WS_SECOND, SOME_RATE);
	ck_assert_int_eq(fleet.lost_permits[_i], 0);
	fleet_run(5 * WS_SECOND, 0.0);
	check_all_ended(from);
	for (; from <= fleet.n_requests; from++)
		ck_assert(fleet.requests[from].answered);
	ck_assert_uint_le(expired(), _i == WS_ED_PERMIT_END);
}
END_TEST

/* Guards against requests that wait for an instance that has ended. */
START_TEST(silent_issuer_is_replaced)
{
	size_t from;
	int issuer;

	start_fleet();
	issuer = find_issuer();
	from = fleet.n_requests + 1;
	fleet.nodes[issuer].cut_until = fleet.now + 1 * WS_SECOND;
	fleet_run(1 * WS_SECOND, SOME_RATE);
	fleet_run(5 * WS_SECOND, 0.0);
	for (; from <= fleet.n_requests; from++)
		ck_assert(fleet.requests[from].answered);
	check_all_ended(1);
}
END_TEST

/* Guards against permits of callers that left, granted or queued. */
START_TEST(caller_that_leaves_returns_its_permit)
{
	size_t from;
	size_t i;

	start_fleet();
	from = fleet.n_requests + 1;
	for (i = 0; i < CROWD; i++)
		fleet_submit((int)(i % INSTANCES));
	fleet_run(50 * WS_MS, 0.0);
	for (i = from; i <= fleet.n_requests; i++)
		if (!fleet.requests[i].answered &&
		    !fleet.requests[i].refused_after)
			fleet_leave((int)((i - from) % INSTANCES), i);
	fleet_run(5 * WS_SECOND, 0.0);
	ck_assert_uint_eq(expired(), 0);
	i = fleet_submit(0);
	fleet_run(1 * WS_SECOND, 0.0);
	ck_assert(fleet.requests[i].answered);
}
END_TEST

/* Guards against state that is kept of a server that has ended. */
START_TEST(owner_that_ends_is_forgotten)
{
	int i;

	start_fleet();
	for (i = 0; i < CROWD; i++)
		fleet_submit(i % INSTANCES);
	fleet_run(50 * WS_MS, 0.0);
	fleet_unlist_server(0);
	fleet_run(5 * WS_SECOND, 0.0);
	check_all_ended(1);
	for (i = 0; i < INSTANCES; i++)
		ck_assert_uint_eq(ws_edge_issuers(fleet.nodes[i].edge)->n, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		messages_survive_the_way,
		malformed_messages_are_refused,
		random_bytes_do_no_harm,
		one_instance_issues_for_a_server,
		silent_issuer_is_replaced,
		caller_that_leaves_returns_its_permit,
		owner_that_ends_is_forgotten,
	};
	const TTest *const losses[] = { lost_message_costs_no_request };
	int failed = ed_suite_run_each("ed_permit_losses", losses, 1,
				       WS_ED_PERMIT_KINDS_END);

	return failed | ed_suite_run("ed_permit", tests,
				     (int)(sizeof(tests) / sizeof(tests[0])));
}
