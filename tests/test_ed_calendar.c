#include <string.h>

#include "ed_suite.h"
#include "edge/ws_ed_calendar.h"

/* Bookings of a server's room: who gets one, when it counts, and its bounds. */

#define NOW (10 * WS_SECOND)
#define WORK ((double)(100 * WS_MS))
#define SLOTS 2.0
#define LATEST (NOW + 1 * WS_SECOND)
/* Returning this much later than told is too late. */
#define LAPSED (400 * WS_MS)
#define EARLY (100 * WS_MS)

static struct ws_ed_calendar calendar;

static ws_us book(uint64_t fingerprint)
{
	return ws_ed_calendar_book(&calendar, NOW, NOW + 200 * WS_MS, WORK,
				   SLOTS, LATEST, fingerprint);
}

static void clear(void)
{
	memset(&calendar, 0, sizeof(calendar));
}

/* Guards against promises of more room than there is. */
START_TEST(storm_gets_no_more_than_the_room)
{
	double room = SLOTS * (double)(LATEST - NOW);
	ws_us last = 0;
	size_t booked = 0;
	int i;

	clear();
	for (i = 1; i <= 1000; i++) {
		ws_us at = book((uint64_t)i);

		if (!at)
			continue;
		ck_assert_int_gt(at, last);
		ck_assert_int_le(at, LATEST);
		last = at;
		booked++;
	}
	ck_assert_uint_gt(booked, 0);
	ck_assert_double_le((double)booked * WORK, room);
	ck_assert_uint_le(calendar.n, WS_ED_BOOKINGS_MAX);
	ck_assert_double_le(ws_ed_calendar_booked(&calendar, NOW, LATEST),
			    room);
}
END_TEST

START_TEST(nothing_is_booked_without_room)
{
	clear();
	ck_assert_int_eq(ws_ed_calendar_book(&calendar, NOW, NOW, WORK, 0.0,
					     LATEST, 1),
			 0);
	ck_assert_int_eq(ws_ed_calendar_book(&calendar, NOW, LATEST + 1, WORK,
					     SLOTS, LATEST, 1),
			 0);
	ck_assert_uint_eq(calendar.n, 0);
}
END_TEST

/* Requests of different callers may be the same: each has its own booking. */
START_TEST(each_booking_is_taken_once)
{
	ws_us at;

	clear();
	book(7);
	at = book(7);
	ck_assert(ws_ed_calendar_take(&calendar, at, 7));
	ck_assert(!ws_ed_calendar_take(&calendar, at, 8));
	ck_assert(ws_ed_calendar_take(&calendar, at, 7));
	ck_assert(!ws_ed_calendar_take(&calendar, at, 7));
}
END_TEST

/* Guards against a gain for callers that do not wait as told. */
START_TEST(early_caller_has_no_booking)
{
	ws_us at;

	clear();
	at = book(7);
	ck_assert(!ws_ed_calendar_take(&calendar, at - EARLY, 7));
	ck_assert(ws_ed_calendar_take(&calendar, at, 7));
}
END_TEST

START_TEST(unused_booking_lapses)
{
	ws_us at;

	clear();
	at = book(7);
	ck_assert(!ws_ed_calendar_take(&calendar, at + LAPSED, 7));
	ck_assert_double_eq_tol(ws_ed_calendar_booked(&calendar, at + LAPSED,
						      at + LAPSED),
				0.0, 0.5);
	ws_ed_calendar_tick(&calendar, at + LAPSED);
	ck_assert_uint_eq(calendar.n, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		storm_gets_no_more_than_the_room,
		nothing_is_booked_without_room,
		each_booking_is_taken_once,
		early_caller_has_no_booking,
		unused_booking_lapses,
	};

	return ed_suite_run("ed_calendar", tests,
			    (int)(sizeof(tests) / sizeof(tests[0])));
}
