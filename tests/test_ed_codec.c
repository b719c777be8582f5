#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_codec.h"

/* Codec of heartbeats and key maps: intact, truncated and corrupted input. */

static struct ws_ed_beat beat;
static struct ws_ed_beat back;
static unsigned char buf[16384];

static int encode_sample(void)
{
	struct ws_ed_map_entry e = {
		.service = 3, .from = 5, .to = 9, .server = 8
	};

	ws_ed_map_free(&beat.map);
	memset(&beat, 0, sizeof(beat));
	beat.from = 11;
	beat.zone = 12;
	snprintf(beat.address, sizeof(beat.address), "10.0.0.1:7340");
	beat.scope = WS_ED_SCOPE_FULL;
	beat.demands_of = WS_EDD_OTHERS;
	beat.n_members = 1;
	beat.members[0] = (struct ws_ed_beat_member){
		.id = 21, .zone = 22, .age_ms = 23, .address = "10.0.0.2:7340"
	};
	beat.timestamp = 77 * WS_SECOND;
	beat.topic_ends[WS_EDT_MAP] = 6;
	beat.echo = (struct ws_ed_echo){ .peer = 4, .timestamp = 5 };
	beat.n_demands = 1;
	beat.demands[0] =
		(struct ws_ed_beat_demand){ .customer = 9, .per_s = 1.5F };
	beat.n_counts = 1;
	beat.counts[0] = (struct ws_ed_count){ .service = 3, .count = 2 };
	beat.n_loads = 1;
	beat.loads[0] = (struct ws_ed_beat_load){
		.server = 8, .running = 3, .waiting = 200, .pace = 21, .age = 40
	};
	beat.n_statements = 1;
	beat.statements[0] = (struct ws_ed_beat_statement){
		.server = 8, .started = 31, .per_s = 2.5F, .age_ms = 900
	};
	beat.map_part = WS_ED_MAP_PART_SLICE;
	beat.map.epoch = 2;
	beat.map.voters = (struct ws_ed_voters){ .n = 1, .ids = { 31 } };
	ws_ed_map_add(&beat.map, &e);
	return ws_ed_beat_encode(&beat, buf, sizeof(buf));
}

START_TEST(beat_round_trips)
{
	int len = encode_sample();

	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(ws_ed_beat_decode(&back, buf, (size_t)len), 0);
	ck_assert_uint_eq(back.from, 11);
	ck_assert_int_eq(back.timestamp, 77 * WS_SECOND);
	ck_assert_uint_eq(back.topic_ends[WS_EDT_MAP], 6);
	ck_assert_int_eq(back.echo.timestamp, 5);
	ck_assert_uint_eq(back.loads[0].server, 8);
	ck_assert_uint_eq(back.loads[0].running, 3);
	ck_assert_uint_eq(back.loads[0].waiting, 200);
	ck_assert_uint_eq(back.loads[0].pace, 21);
	ck_assert_uint_eq(back.loads[0].age, 40);
	ck_assert_uint_eq(back.n_statements, 1);
	ck_assert_uint_eq(back.statements[0].server, 8);
	ck_assert_uint_eq(back.statements[0].started, 31);
	ck_assert_float_eq(back.statements[0].per_s, 2.5F);
	ck_assert_uint_eq(back.statements[0].age_ms, 900);
	ck_assert_str_eq(back.address, "10.0.0.1:7340");
	ck_assert_uint_eq(back.demands_of, WS_EDD_OTHERS);
	ck_assert_uint_eq(back.members[0].zone, 22);
	ck_assert_str_eq(back.members[0].address, "10.0.0.2:7340");
	ck_assert_uint_eq(back.map_part, WS_ED_MAP_PART_SLICE);
	ck_assert_uint_eq(ws_ed_map_owner(&back.map, 3, 7), 8);
	ck_assert_uint_eq(ws_ed_map_owner(&back.map, 3, 10), 0);
	ck_assert_uint_eq(ws_ed_map_owner(&back.map, 4, 7), 0);
}
END_TEST

/* Guards against accepting a truncated or corrupted datagram or overreading. */
START_TEST(damaged_beats_are_refused_or_bounded)
{
	int len = encode_sample();
	struct ws_rand r;
	int i;

	for (i = 0; i < len; i++)
		ck_assert_int_eq(ws_ed_beat_decode(&back, buf, (size_t)i),
				 WS_ERR_SYNTAX);
	ws_rand_seed(&r, 1);
	for (i = 0; i < 20000; i++) {
		unsigned char copy[sizeof(buf)];

		memcpy(copy, buf, (size_t)len);
		copy[ws_rand_below(&r, (uint64_t)len)] =
			(unsigned char)ws_rand_next(&r);
		if (ws_ed_beat_decode(&back, copy, (size_t)len))
			continue;
		ck_assert_uint_le(back.n_demands, WS_ED_DEMANDS_CONTINUED);
		ck_assert_uint_le(back.n_loads, WS_ED_LOADS_CONTINUED);
		ck_assert_uint_le(back.n_members, WS_ED_MEMBERS_MAX);
		ck_assert_uint_le(back.n_statements, WS_ED_STATEMENTS_OF_RELAY);
		ck_assert_uint_lt(strlen(back.address), WS_ED_ADDRESS_MAX);
	}
}
END_TEST

/*
 * What was learned follows all else: without it, a heartbeat is that of earlier
 * versions, which don't read the list.
 */
START_TEST(learned_capacities_follow_the_heartbeat)
{
	int plain = encode_sample();
	int len;
	int i;

	beat.n_learned = 2;
	beat.learned[1] = (struct ws_ed_beat_learned){
		.server = 8, .started = 7, .speed = 100, .limit = 200, .age = 9
	};
	len = ws_ed_beat_encode(&beat, buf, sizeof(buf));
	ck_assert_int_eq(len, plain + 4 + 2 * 8);
	ck_assert_int_eq(ws_ed_beat_decode(&back, buf, (size_t)len), 0);
	ck_assert_uint_eq(back.n_learned, 2);
	ck_assert_mem_eq(&back.learned[1], &beat.learned[1],
			 sizeof(beat.learned[1]));
	for (i = plain + 1; i < len; i++)
		ck_assert_int_eq(ws_ed_beat_decode(&back, buf, (size_t)i),
				 WS_ERR_SYNTAX);
	ck_assert_int_eq(ws_ed_beat_decode(&back, buf, (size_t)plain), 0);
	ck_assert_uint_eq(back.n_learned, 0);
	/* The number of items is the last byte of the word after the rest. */
	buf[plain + 3] = WS_ED_LEARNED_CONTINUED + 1;
	ck_assert_int_eq(ws_ed_beat_decode(&back, buf, sizeof(buf)),
			 WS_ERR_SYNTAX);
}
END_TEST

/* Guards against limits of servers that no share can be computed from. */
START_TEST(beats_with_impossible_limits_are_refused)
{
	static const float limits[] = { INFINITY, NAN, 2e9F };
	int len;
	size_t i;

	encode_sample();
	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		beat.statements[0].per_s = limits[i];
		len = ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES);
		ck_assert(len <= 0 ||
			  ws_ed_beat_decode(&back, buf, (size_t)len));
	}
}
END_TEST

static void fill_address(char *address)
{
	memset(address, '1', WS_ED_ADDRESS_MAX - 1);
	address[WS_ED_ADDRESS_MAX - 1] = '\0';
}

/* Guards against datagrams that are lost because they need fragmentation. */
START_TEST(full_beat_fits_one_datagram)
{
	int i;

	encode_sample();
	beat.map_part = WS_ED_MAP_PART_NONE;
	beat.n_demands = WS_ED_DEMANDS_MAX;
	beat.n_counts = WS_ED_COUNTS_MAX;
	beat.n_loads = WS_ED_LOADS_MAX;
	beat.n_statements = 0;
	beat.n_members = WS_ED_MEMBERS_MAX;
	beat.n_strikes = WS_ED_STRIKES_BESIDE_ALL;
	fill_address(beat.address);
	for (i = 0; i < WS_ED_MEMBERS_MAX; i++)
		fill_address(beat.members[i].address);
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	beat.n_learned = WS_ED_LEARNED_MAX;
	beat.n_loads = WS_ED_LOADS_MAX - beat.n_learned - 1;
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	beat.n_learned = 0;
	beat.n_statements = WS_ED_STATEMENTS_MAX;
	beat.n_loads =
		WS_ED_LOADS_MAX - WS_ED_LOADS_PER_STATEMENT * beat.n_statements;
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	beat.n_statements = WS_ED_STATEMENTS_OF_RELAY;
	beat.n_loads = 0;
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	/* Further strikes take the place of limits, or of loads. */
	beat.n_strikes = WS_ED_STRIKES_MAX;
	beat.n_statements = WS_ED_STATEMENTS_OF_RELAY -
			    (WS_ED_STRIKES_MAX - WS_ED_STRIKES_BESIDE_ALL);
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	beat.n_loads = WS_ED_LOADS_PER_STATEMENT * beat.n_statements;
	beat.n_statements = 0;
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
}
END_TEST

/* The same for a part of the map. */
START_TEST(full_map_part_fits_one_datagram)
{
	const struct ws_ed_map_entry e = { .service = 1, .server = 3 };

	memset(&beat, 0, sizeof(beat));
	fill_address(beat.address);
	beat.map_part = WS_ED_MAP_PART_SLICE;
	beat.map.voters.n = WS_ED_VOTERS_MAX;
	while (beat.map.n < WS_ED_MAP_PART_ENTRIES)
		ws_ed_map_add(&beat.map, &e);
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	ws_ed_map_free(&beat.map);
}
END_TEST

/* The same for continuation heartbeats of relays. */
START_TEST(full_continuation_fits_one_datagram)
{
	memset(&beat, 0, sizeof(beat));
	beat.continuation = true;
	fill_address(beat.address);
	beat.n_demands = WS_ED_DEMANDS_CONTINUED;
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	beat.n_demands = 0;
	beat.n_loads = WS_ED_LOADS_CONTINUED;
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
	beat.n_learned = WS_ED_LEARNED_CONTINUED;
	beat.n_loads = WS_ED_LOADS_CONTINUED - beat.n_learned - 1;
	ck_assert_int_gt(ws_ed_beat_encode(&beat, buf, WS_ED_BEAT_BYTES), 0);
}
END_TEST

static int encode_refused(uint32_t n)
{
	static struct ws_ed_refused_list list;
	uint32_t i;

	list.from = 7;
	list.digest = 99;
	list.n = n;
	for (i = 0; i < n; i++)
		list.items[i] = (struct ws_ed_refused_item){
			.request = 100 + i,
			.crashes = { i, i + 1, i + 2 },
			.n = WS_ED_STRIKES_KEPT,
			.expires_in = WS_ED_REFUSED_TIME / WS_SECOND,
		};
	return ws_ed_refused_encode(&list, buf, WS_ED_BEAT_BYTES);
}

static int encode_clearances(void)
{
	static struct ws_ed_refused_list list;
	uint32_t i;

	for (i = 0; i < WS_ED_REFUSED_CLEARANCES; i++)
		list.clearances[list.n_clearances++] = (struct ws_ed_strike){
			.request = i,
			.crash = 100 + i,
		};
	return ws_ed_refused_encode(&list, buf, WS_ED_BEAT_BYTES);
}

/* The same for lists of refused requests. */
START_TEST(full_list_of_refused_requests_fits_one_datagram)
{
	struct ws_ed_refused_list l;
	int len = encode_refused(WS_ED_REFUSED_ITEMS);

	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(ws_ed_refused_decode(&l, buf, (size_t)len), 0);
	ck_assert_uint_eq(l.from, 7);
	ck_assert_uint_eq(l.digest, 99);
	ck_assert_uint_eq(l.n, WS_ED_REFUSED_ITEMS);
	ck_assert_uint_eq(l.items[32].request, 132);
	ck_assert_uint_eq(l.items[32].crashes[2], 34);
	/* Heartbeats and lists are told apart. */
	ck_assert_int_eq(ws_ed_beat_decode(&back, buf, (size_t)len),
			 WS_ERR_SYNTAX);
	ck_assert_uint_eq(l.n_clearances, 0);
	len = encode_clearances();
	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(ws_ed_refused_decode(&l, buf, (size_t)len), 0);
	ck_assert_uint_eq(l.n_clearances, WS_ED_REFUSED_CLEARANCES);
	ck_assert_uint_eq(l.clearances[79].crash, 179);
	len = encode_sample();
	ck_assert_int_eq(ws_ed_refused_decode(&l, buf, (size_t)len),
			 WS_ERR_SYNTAX);
}
END_TEST

/* Guards against refusals without end or without cause by a damaged list. */
START_TEST(damaged_list_of_refused_requests_is_refused_or_bounded)
{
	struct ws_ed_refused_list l;
	int len = encode_refused(3);
	struct ws_rand r;
	uint32_t j;
	int i;

	for (i = 0; i < len; i++)
		ck_assert_int_eq(ws_ed_refused_decode(&l, buf, (size_t)i),
				 WS_ERR_SYNTAX);
	ws_rand_seed(&r, 1);
	for (i = 0; i < 20000; i++) {
		unsigned char copy[sizeof(buf)];

		memcpy(copy, buf, (size_t)len);
		copy[ws_rand_below(&r, (uint64_t)len)] =
			(unsigned char)ws_rand_next(&r);
		if (ws_ed_refused_decode(&l, copy, (size_t)len))
			continue;
		ck_assert_uint_le(l.n, WS_ED_REFUSED_ITEMS);
		ck_assert_uint_le(l.n_clearances, WS_ED_REFUSED_CLEARANCES);
		for (j = 0; j < l.n; j++) {
			ck_assert_uint_ge(l.items[j].n,
					  WS_ED_STRIKES_TO_REFUSE);
			ck_assert_uint_le(l.items[j].n, WS_ED_STRIKES_KEPT);
			ck_assert_int_le((ws_us)l.items[j].expires_in *
						 WS_SECOND,
					 WS_ED_REFUSED_TIME);
		}
	}
}
END_TEST

START_TEST(too_small_buffer_is_an_error)
{
	encode_sample();
	ck_assert_int_eq(ws_ed_beat_encode(&beat, buf, 100), WS_ERR_LIMIT);
}
END_TEST

/* Guards against wrong owners after adjacent ranges are merged. */
START_TEST(adjacent_ranges_of_one_server_are_merged)
{
	static const struct ws_ed_map_entry parts[] = {
		{ .service = 1, .from = 10, .to = 19, .server = 7 },
		{ .service = 1, .from = 0, .to = 9, .server = 7 },
		{ .service = 1, .from = 20, .to = 29, .server = 8 },
		{ .service = 2, .from = 30, .to = 39, .server = 8 },
	};
	struct ws_ed_map m = { .n = 0 };
	size_t i;

	for (i = 0; i < 4; i++)
		ws_ed_map_add(&m, &parts[i]);
	ws_ed_map_sort(&m);
	ck_assert_uint_eq(m.n, 3);
	ck_assert_uint_eq(ws_ed_map_owner(&m, 1, 19), 7);
	ck_assert_uint_eq(ws_ed_map_owner(&m, 1, 20), 8);
	ck_assert_uint_eq(ws_ed_map_owner(&m, 1, 30), 0);
	ws_ed_map_free(&m);
}
END_TEST

static void random_map(struct ws_rand *r, struct ws_ed_map *m)
{
	ws_id service;

	m->n = 0;
	m->epoch = 1 + ws_rand_below(r, 9);
	for (service = 1; service <= 2; service++) {
		uint32_t key = (uint32_t)ws_rand_below(r, 3);

		while (key < 40) {
			struct ws_ed_map_entry e = {
				.service = service,
				.from = key,
				.to = key + (uint32_t)ws_rand_below(r, 9),
				.server = 1 + ws_rand_below(r, 4),
			};

			ws_ed_map_add(m, &e);
			/* Some keys have no server. */
			key = e.to + 1 + (uint32_t)ws_rand_below(r, 2);
		}
	}
	ws_ed_map_sort(m);
}

/* Guards against an instance whose map differs from that of the store. */
START_TEST(diff_turns_one_map_into_the_other)
{
	struct ws_ed_map a = { .n = 0 };
	struct ws_ed_map b = { .n = 0 };
	struct ws_ed_map changes = { .n = 0 };
	struct ws_rand r;
	int i;

	ws_rand_seed(&r, 3);
	for (i = 0; i < 3000; i++) {
		random_map(&r, &a);
		random_map(&r, &b);
		ws_ed_map_diff(&a, &b, &changes);
		ws_ed_map_apply(&a, &changes);
		ck_assert_uint_eq(a.n, b.n);
		ck_assert_uint_eq(a.epoch, b.epoch);
		ck_assert_int_eq(memcmp(a.entries, b.entries,
					a.n * sizeof(*a.entries)),
				 0);
		ws_ed_map_diff(&a, &b, &changes);
		ck_assert_uint_eq(changes.n, 0);
	}
	ws_ed_map_free(&a);
	ws_ed_map_free(&b);
	ws_ed_map_free(&changes);
}
END_TEST

/*
 * Guards against discarding changes when the receiver has a newer map than the
 * sender knows of: each discarded change makes all instances of a zone read the
 * store (large deployment, quiet-1: 1,193 reads).
 */
START_TEST(changes_may_be_applied_again)
{
	struct ws_ed_map maps[3] = { { .n = 0 } };
	struct ws_ed_map steps = { .n = 0 };
	struct ws_ed_map second = { .n = 0 };
	struct ws_rand r;
	size_t j;
	int i;

	ws_rand_seed(&r, 4);
	for (i = 0; i < 3000; i++) {
		for (j = 0; j < 3; j++)
			random_map(&r, &maps[j]);
		ws_ed_map_diff(&maps[0], &maps[1], &steps);
		ws_ed_map_diff(&maps[1], &maps[2], &second);
		for (j = 0; j < second.n; j++)
			ws_ed_map_add(&steps, &second.entries[j]);
		steps.epoch = maps[2].epoch;
		steps.leader = maps[2].leader;
		/* The receiver already has the map after the first change. */
		ws_ed_map_apply(&maps[1], &steps);
		ck_assert_uint_eq(maps[1].n, maps[2].n);
		ck_assert_int_eq(memcmp(maps[1].entries, maps[2].entries,
					maps[1].n * sizeof(*steps.entries)),
				 0);
	}
	for (j = 0; j < 3; j++)
		ws_ed_map_free(&maps[j]);
	ws_ed_map_free(&steps);
	ws_ed_map_free(&second);
}
END_TEST

/*
 * Guards against leaders that count different voters because these are lost on
 * the way, and against a map of an earlier version that can't be read.
 */
START_TEST(voters_are_kept_and_may_be_missing)
{
	/* Version 1: magic, epoch, leader, number of entries */
	static const unsigned char earlier[] = {
		0x57, 0x53, 0x4d, 0x01, 0, 0, 0, 0, 0, 0, 0, 7,
		0,    0,    0,	  0,	0, 0, 0, 9, 0, 0, 0, 0,
	};
	struct ws_ed_map m = { .epoch = 5,
			       .voters = { .n = 2, .ids = { 31, 32 } } };
	struct ws_ed_map read = { .n = 0 };
	struct ws_ed_map changes = { .n = 0 };
	int len = ws_ed_map_encode(&m, buf, sizeof(buf));

	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(ws_ed_map_decode(&read, buf, (size_t)len), 0);
	ck_assert_uint_eq(read.voters.n, 2);
	ck_assert_uint_eq(read.voters.ids[1], 32);
	ck_assert_int_eq(ws_ed_map_decode(&read, earlier, sizeof(earlier)), 0);
	ck_assert_uint_eq(read.epoch, 7);
	ck_assert_uint_eq(read.leader, 9);
	ck_assert_uint_eq(read.voters.n, 0);
	/* Changes of a map carry its voters as well. */
	ws_ed_map_diff(&read, &m, &changes);
	ws_ed_map_apply(&read, &changes);
	ck_assert_uint_eq(read.voters.n, 2);
	ws_ed_map_free(&read);
	ws_ed_map_free(&changes);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		beat_round_trips,
		damaged_beats_are_refused_or_bounded,
		beats_with_impossible_limits_are_refused,
		learned_capacities_follow_the_heartbeat,
		full_beat_fits_one_datagram,
		full_map_part_fits_one_datagram,
		full_continuation_fits_one_datagram,
		full_list_of_refused_requests_fits_one_datagram,
		damaged_list_of_refused_requests_is_refused_or_bounded,
		too_small_buffer_is_an_error,
		adjacent_ranges_of_one_server_are_merged,
		diff_turns_one_map_into_the_other,
		changes_may_be_applied_again,
		voters_are_kept_and_may_be_missing,
	};

	return ed_suite_run("ed_codec", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
