#include <check.h>
#include <stdio.h>

#include "ed_fleet.h"
#include "ed_suite.h"

/*
 * What servers state of themselves in their answers, at fleets of instances
 * that exchange heartbeats.
 */

/* Requests too many that the users allow while a server is closed. */
#define CLOSED_REQUESTS_MAX 2
/* From a rejection until the instance must have stopped. */
#define CLOSED_GRACE (500 * WS_MS)
#define AT_ONCE 1

static const int sizes[] = { 1, 6, 85 };

static int count_arrivals(int server, int instance, ws_us from, ws_us to)
{
	const struct fleet_server *s = &fleet.servers[server];
	int n = 0;
	size_t k;

	for (k = 0; k < s->n_arrivals; k++)
		n += s->arrivals[k].instance == instance &&
		     s->arrivals[k].at > from && s->arrivals[k].at <= to;
	return n;
}

static int count_all(int server, ws_us from)
{
	int n = 0;
	int i;

	for (i = 0; i < fleet.n; i++)
		n += count_arrivals(server, i, from, fleet.now);
	return n;
}

static void start(int n, bool sharded)
{
	fleet_start(n, sharded);
	fleet_run(4 * WS_SECOND, 100.0);
}

static void leave(int server)
{
	fleet.servers[server].leaving_at = fleet.now;
}

/* Requests that arrived later than a time and were answered by a server. */
static int count_answered(size_t first)
{
	int n = 0;
	size_t k;

	for (k = first; k <= fleet.n_requests; k++)
		n += fleet.requests[k].answered;
	return n;
}

/* Guards against DRAIN: an instance sends on to a server that leaves. */
START_TEST(server_that_states_that_it_leaves_gets_nothing_more)
{
	size_t first;
	int i;

	start(sizes[_i], false);
	leave(1);
	first = fleet.n_requests + 1;
	fleet_run(4 * WS_SECOND, 200.0);
	for (i = 0; i < fleet.n; i++)
		if (fleet.servers[1].told_leaving_at[i])
			ck_assert_int_eq(
				count_arrivals(
					1, i,
					fleet.servers[1].told_leaving_at[i],
					fleet.now),
				0);
	/* The others hear of it. */
	ck_assert_int_eq(
		count_all(1, fleet.servers[1].leaving_at + 1500 * WS_MS), 0);
	/* No caller notices, but for those still on their way. */
	ck_assert_int_ge(count_answered(first), 770);
}
END_TEST

/* Requests that reach a server 1.5 s after one instance has read its entry. */
static int count_late_by_entry(bool unmetered)
{
	ws_us read_at;

	fleet.unmetered = unmetered;
	start(26, false);
	fleet_list_draining(0, 1);
	read_at = fleet.now;
	fleet_run(4 * WS_SECOND, 200.0);
	fleet.unmetered = false;
	return count_all(1, read_at + 1500 * WS_MS);
}

/*
 * Guards against DRAIN: the record that a server drains waits behind bodies in
 * the links of most instances, and heartbeats pass.
 */
START_TEST(entry_that_a_server_drains_is_told_in_heartbeats)
{
	int before = count_late_by_entry(false);
	int with = count_late_by_entry(true);

	printf("requests to a draining server: %d, told in heartbeats %d\n",
	       before, with);
	ck_assert_int_gt(before, 0);
	ck_assert_int_eq(with, 0);
}
END_TEST

/* Guards against refusals while the only server still serves. */
START_TEST(last_server_is_used_while_it_leaves)
{
	ws_us told = 0;
	size_t k;
	int i;

	fleet.n_servers = 1;
	start(6, _i);
	leave(0);
	fleet.store_down = true;
	fleet_run(1 * WS_SECOND, 100.0);
	ck_assert_int_ge(count_all(0, fleet.now - 500 * WS_MS), 30);
	fleet_run(3 * WS_SECOND, 100.0);
	for (i = 0; i < fleet.n; i++) {
		told = fleet.servers[0].told_leaving_at[i];
		ck_assert(told);
		ck_assert_int_eq(count_arrivals(0, i, told + FLEET_DRAIN_TIME,
						fleet.now),
				 0);
	}
	/* Then requests are refused at once. */
	for (k = fleet.n_requests - 50; k <= fleet.n_requests; k++) {
		ck_assert_int_eq(fleet.requests[k].refused_after, AT_ONCE);
		ck_assert(fleet.requests[k].retry_after > 0);
	}
	fleet.n_servers = 0;
}
END_TEST

/*
 * Guards against sends that the former owner of keys rejects one after the
 * other, while its keys are on their way to other servers.
 */
START_TEST(keys_that_a_leaving_server_gave_up_wait_for_their_owner)
{
	const struct fleet_server *s = &fleet.servers[0];
	int i;

	start(6, true);
	leave(0);
	fleet_run(500 * WS_MS, 100.0);
	fleet.servers[0].released_at = fleet.now;
	fleet_run(600 * WS_MS, 100.0);
	for (i = 0; i < fleet.n; i++)
		if (s->told_released_at[i])
			ck_assert_int_eq(count_arrivals(0, i,
							s->told_released_at[i],
							fleet.now),
					 0);
}
END_TEST

/*
 * Guards against refusals for as long as a server leaves, since it has rejected
 * one request while its lease was late or a map was old.
 */
START_TEST(one_rejection_of_a_leaving_owner_does_not_end_its_use)
{
	size_t first;

	start(6, true);
	fleet.store_down = true;
	leave(0);
	fleet_run(200 * WS_MS, 100.0);
	fleet.servers[0].released_at = fleet.now;
	fleet_run(100 * WS_MS, 100.0);
	fleet.servers[0].released_at = 0;
	fleet_run(700 * WS_MS, 100.0);
	first = fleet.n_requests + 1;
	fleet_run(500 * WS_MS, 100.0);
	ck_assert_int_ge(count_answered(first), 40);
}
END_TEST

/* Guards against a server that stays excluded after it has started again. */
START_TEST(new_start_of_a_server_is_not_leaving)
{
	start(6, false);
	/* With and without a time in which it is not listed */
	fleet.list_delay = _i ? 0 : 10 * WS_SECOND;
	leave(1);
	fleet_run(1 * WS_SECOND, 200.0);
	fleet.servers[1].leaving_at = 0;
	fleet_crash_server(1);
	fleet_run(FLEET_DOWN_TIME + 2 * WS_SECOND, 200.0);
	ck_assert_int_ge(count_all(1, fleet.now - 1 * WS_SECOND), 20);
}
END_TEST

/*
 * Guards against DRAIN after an outage of the store: the entry of a server that
 * leaves lapses, and is written again under the same start.
 */
START_TEST(entry_that_returns_does_not_revoke_that_its_server_leaves)
{
	start(6, false);
	leave(1);
	fleet_run(1 * WS_SECOND, 200.0);
	fleet_unlist_server(1);
	fleet_run(1 * WS_SECOND, 200.0);
	fleet_list_server(1);
	fleet_run(3 * WS_SECOND, 200.0);
	ck_assert_int_eq(
		count_all(1, fleet.servers[1].leaving_at + 1500 * WS_MS), 0);
}
END_TEST

/* Guards against DRAIN at an instance that starts after the statement. */
START_TEST(instance_that_starts_hears_that_a_server_leaves)
{
	start(6, false);
	leave(1);
	fleet_run(1 * WS_SECOND, 200.0);
	fleet_stop(2, 500 * WS_MS);
	fleet_run(1500 * WS_MS, 200.0);
	fleet_run(2 * WS_SECOND, 200.0);
	ck_assert_int_eq(
		count_arrivals(1, 2, fleet.now - 2 * WS_SECOND, fleet.now), 0);
}
END_TEST

/* Instance 0 hears from instance 1 what all servers state. */
static void tell_all(enum ws_ed_statement_kind kind)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_HEARTBEAT };
	static struct ws_ed_beat beat;
	struct ws_ed_fx fx = { NULL, 0, 0 };
	char name[16];
	int i = 0;

	beat = (struct ws_ed_beat){
		.from = ws_ed_id("n1"),
		.zone = 501,
		.incarnation = fleet.nodes[1].incarnation,
		.address = "1",
		.timestamp = fleet.now,
		.scope = WS_ED_SCOPE_FULL,
	};
	ev.now = fleet.now;
	ev.u.beat = &beat;
	while (i < fleet.n_servers) {
		beat.timestamp++;
		beat.n_statements = 0;
		for (; beat.n_statements < WS_ED_STATEMENTS_OF_RELAY &&
		       i < fleet.n_servers;
		     i++) {
			snprintf(name, sizeof(name), "s%d", i);
			beat.statements[beat.n_statements++] =
				(struct ws_ed_beat_statement){
					.server =
						ws_ed_short_id(ws_ed_id(name)),
					.started = 1,
					.per_s = 50.0F,
					.kind = (uint8_t)kind,
				};
		}
		ws_edge_step(fleet.nodes[0].edge, &ev, &fx);
	}
	ws_ed_fx_free(&fx);
}

static int count_known(int instance, enum ws_ed_statement_kind kind)
{
	const struct ws_ed_pool *p = ws_edge_pool(fleet.nodes[instance].edge);
	int n = 0;
	size_t i;

	for (i = 0; i < p->n; i++)
		n += kind == WS_ED_STATEMENT_LEAVING ?
			     p->servers[i].stated.leaving_since != 0 :
			     p->servers[i].stated.limit.named;
	return n;
}

/*
 * Guards against instances that send to servers until these have ended, as a
 * whole service leaves at once and each statement waits for the repetitions of
 * others. The same for limits.
 */
START_TEST(statements_of_many_servers_are_known_in_time)
{
	enum ws_ed_statement_kind kind = (enum ws_ed_statement_kind)_i;
	int i;

	fleet.n_servers = FLEET_SERVERS_MAX;
	start(85, false);
	tell_all(kind);
	ck_assert_int_eq(count_known(0, kind), FLEET_SERVERS_MAX);
	fleet_run(FLEET_DRAIN_TIME, 0.0);
	for (i = 0; i < fleet.n; i++)
		ck_assert_int_eq(count_known(i, kind), FLEET_SERVERS_MAX);
	fleet.n_servers = 0;
}
END_TEST

/*
 * Guards against BUDGET: requests to a server within the time that it has
 * rejected one with.
 */
static void check_closed(int server, ws_us end)
{
	const struct fleet_server *s = &fleet.servers[server];
	int i;

	for (i = 0; i < fleet.n; i++) {
		ws_us told = s->told_closed_at[i];

		if (told)
			ck_assert_int_le(count_arrivals(server, i,
							told + CLOSED_GRACE,
							end),
					 CLOSED_REQUESTS_MAX);
	}
}

START_TEST(closed_servers_get_no_requests)
{
	int n_closed = _i ? 1 : FLEET_SERVERS;
	ws_us end;
	size_t k;
	int i;

	start(6, _i);
	end = fleet.now + 3 * WS_SECOND;
	for (i = 0; i < n_closed; i++)
		fleet.servers[i].closed_until = end;
	fleet_run(1 * WS_SECOND, 100.0);
	k = fleet.n_requests;
	fleet_run(1900 * WS_MS, 100.0);
	for (i = 0; i < n_closed; i++)
		check_closed(i, end - 100 * WS_MS);
	/* Requests are refused at once, with a time after the end. */
	for (; k <= fleet.n_requests; k++) {
		const struct fleet_request *r = &fleet.requests[k];

		ck_assert_int_eq(r->refused_after, AT_ONCE);
		ck_assert_int_eq(r->reason, WS_EDR_SERVER_CLOSED);
		ck_assert_int_ge(r->arrived + r->retry_after, end);
		ck_assert_int_le(r->arrived + r->retry_after,
				 end + 500 * WS_MS);
	}
	k = fleet.n_requests + 1;
	fleet_run(2 * WS_SECOND, 100.0);
	ck_assert_int_ge(count_answered(k), 160);
}
END_TEST

/*
 * Guards against BUDGET when the entry of a closed server lapses, as in an
 * outage of the store, and is written again under the same start.
 */
START_TEST(entry_that_returns_does_not_open_its_server)
{
	start(2, false);
	fleet.servers[1].closed_until = fleet.now + 5 * WS_SECOND;
	fleet_run(1 * WS_SECOND, 600.0);
	fleet_unlist_server(1);
	fleet_run(500 * WS_MS, 600.0);
	fleet_list_server(1);
	fleet_run(3 * WS_SECOND, 600.0);
	check_closed(1, fleet.now);
}
END_TEST

/*
 * Guards against refusals of requests that could wait for the rate of the last
 * server, or that are told to come back before it is open again.
 */
START_TEST(last_server_keeps_its_rate_while_it_leaves)
{
	ws_us end = 0;
	size_t k;

	fleet.n_servers = 1;
	start(1, false);
	if (_i)
		fleet_limit_servers(1, 20.0);
	else
		fleet.servers[0].closed_until = end = fleet.now + 1500 * WS_MS;
	leave(0);
	fleet_run(300 * WS_MS, 30.0);
	k = fleet.n_requests + 1;
	fleet_run(1 * WS_SECOND, 30.0);
	for (; k <= fleet.n_requests; k++) {
		const struct fleet_request *r = &fleet.requests[k];

		if (!r->refused_after)
			continue;
		ck_assert_int_eq(r->reason, _i ? WS_EDR_SERVER_LIMIT :
						 WS_EDR_SERVER_CLOSED);
		ck_assert_int_ge(r->arrived + r->retry_after, end);
	}
	fleet.n_servers = 0;
}
END_TEST

/* Guards against refusals while another server takes the requests. */
START_TEST(others_serve_while_one_is_closed)
{
	size_t first;

	start(6, false);
	fleet.servers[1].closed_until = fleet.now + 3 * WS_SECOND;
	first = fleet.n_requests + 1;
	fleet_run(3 * WS_SECOND, 100.0);
	check_closed(1, fleet.servers[1].closed_until);
	ck_assert_int_ge(count_answered(first), 280);
}
END_TEST

/* ===== One server ===== */

static const struct ws_ed_report leaving_answer = {
	.from_server = true,
	.leaving = true,
};

/* Guards against a shorter time that ends a longer one. */
START_TEST(longest_time_of_a_rejection_counts)
{
	struct ws_ed_stated s = { .leaving_since = 0 };
	struct ws_ed_report r = {
		.from_server = true,
		.retry_after = 3 * WS_SECOND,
	};
	ws_us now = 100 * WS_SECOND;

	ck_assert_uint_eq(ws_ed_stated_on_answer(&s, now, now, &r),
			  WS_ED_STATED_CLOSED);
	r.retry_after = 1 * WS_SECOND;
	ck_assert_uint_eq(ws_ed_stated_on_answer(&s, now, now, &r), 0);
	r.retry_after = 0;
	ck_assert_uint_eq(ws_ed_stated_on_answer(&s, now, now, &r), 0);
	ck_assert_int_eq(ws_ed_stated_closed_for(&s, now + 2 * WS_SECOND),
			 1 * WS_SECOND);
	ck_assert_int_eq(ws_ed_stated_closed_for(&s, now + 3 * WS_SECOND), 0);
}
END_TEST

/* Guards against statements of answers that are not the server's own. */
START_TEST(foreign_answer_states_nothing)
{
	struct ws_ed_stated s = { .leaving_since = 0 };
	struct ws_ed_report r = {
		.leaving = true,
		.retry_after = 3 * WS_SECOND,
		.limit = { .kind = WS_ED_LIMIT_NAMED, .per_s = 1.0 },
		.idle_timeout = WS_SECOND,
		.known = true,
	};

	ck_assert_uint_eq(ws_ed_stated_on_answer(&s, 100, 50, &r), 0);
	ck_assert(!s.leaving_since && !s.limit.named && !s.idle_timeout);
	ck_assert(!s.closed_until && !s.load.known);
}
END_TEST

/* Guards against a longer use because of an answer that came later. */
START_TEST(first_statement_that_it_leaves_counts)
{
	struct ws_ed_stated s = { .leaving_since = 0 };
	const struct ws_ed_statement earlier = {
		.kind = WS_ED_STATEMENT_LEAVING,
		.as_of = 500,
	};
	const struct ws_ed_report silent = { .from_server = true };

	ws_ed_stated_on_answer(&s, 1000, 900, &leaving_answer);
	ws_ed_stated_on_answer(&s, 2000, 1900, &leaving_answer);
	ck_assert_int_eq(s.leaving_since, 1000);
	ws_ed_stated_on_answer(&s, 3000, 2900, &silent);
	ck_assert_int_eq(s.leaving_since, 1000);
	ws_ed_stated_on_peer(&s, 3000, &earlier);
	ck_assert_int_eq(s.leaving_since, 500);
}
END_TEST

/* Guards against statements of a former start that count for the next one. */
START_TEST(kept_statements_belong_to_one_start)
{
	struct ws_ed_kept_statements k = { .n = 0 };
	struct ws_ed_statement t = {
		.server = 7,
		.started = 1,
		.kind = WS_ED_STATEMENT_LEAVING,
		.as_of = 100,
	};
	struct ws_ed_statement got;

	ws_ed_stated_keep(&k, &t);
	t.as_of = 200;
	ws_ed_stated_keep(&k, &t);
	ck_assert(!ws_ed_stated_take_kept(&k, 7, 2, &got));
	ck_assert(ws_ed_stated_take_kept(&k, 7, 1, &got));
	ck_assert_int_eq(got.as_of, 100);
	ck_assert(!ws_ed_stated_take_kept(&k, 7, 1, &got));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ed_stated");
	TCase *fleets = tcase_create("fleets");
	TCase *one = tcase_create("one");
	SRunner *r;
	int failed;

	tcase_set_timeout(fleets, 300);
	tcase_add_loop_test(fleets,
			    server_that_states_that_it_leaves_gets_nothing_more,
			    0, sizeof(sizes) / sizeof(sizes[0]));
	tcase_add_loop_test(fleets, last_server_is_used_while_it_leaves, 0, 2);
	tcase_add_test(fleets,
		       keys_that_a_leaving_server_gave_up_wait_for_their_owner);
	tcase_add_test(fleets,
		       one_rejection_of_a_leaving_owner_does_not_end_its_use);
	tcase_add_loop_test(fleets, new_start_of_a_server_is_not_leaving, 0, 2);
	tcase_add_test(
		fleets,
		entry_that_returns_does_not_revoke_that_its_server_leaves);
	tcase_add_test(fleets, instance_that_starts_hears_that_a_server_leaves);
	tcase_add_loop_test(fleets,
			    statements_of_many_servers_are_known_in_time, 0,
			    WS_ED_STATEMENT_KINDS_TOLD);
	tcase_add_loop_test(fleets, closed_servers_get_no_requests, 0, 2);
	tcase_add_test(fleets, entry_that_returns_does_not_open_its_server);
	tcase_add_loop_test(fleets, last_server_keeps_its_rate_while_it_leaves,
			    0, 2);
	tcase_add_test(fleets, others_serve_while_one_is_closed);
	tcase_add_test(fleets,
		       entry_that_a_server_drains_is_told_in_heartbeats);
	tcase_add_test(one, longest_time_of_a_rejection_counts);
	tcase_add_test(one, foreign_answer_states_nothing);
	tcase_add_test(one, first_statement_that_it_leaves_counts);
	tcase_add_test(one, kept_statements_belong_to_one_start);
	suite_add_tcase(s, fleets);
	suite_add_tcase(s, one);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
