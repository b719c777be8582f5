#ifndef WS_ED_CALENDAR_H
#define WS_ED_CALENDAR_H

#include "common/ws_common.h"

/*
 * Calendar of a server's room in the next seconds. A request that is refused
 * books room and gets the time of it as its Retry-After; when its caller
 * returns at that time it goes before new requests. Answers the load in which
 * callers return as told and are refused again. A booking that isn't used
 * lapses; who returns early, or many times at once, gains nothing.
 */

#define WS_ED_BOOKINGS_MAX 256

struct ws_ed_booking {
	uint64_t fingerprint; /* 0: free */
	ws_us at; /* when its room begins */
	double time; /* of the server's room that it takes, us */
};

struct ws_ed_calendar {
	struct ws_ed_booking items[WS_ED_BOOKINGS_MAX];
	size_t n;
};

/*
 * Books room.
 * @param earliest when the work that is there already will be done
 * @param time that the request takes of one slot, us
 * @param slots of the server that are free for bookings on average
 * @param latest no room after this time is of use to the caller
 * @return when to return, or 0 if there is no room until then
 */
ws_us ws_ed_calendar_book(struct ws_ed_calendar *c, ws_us now, ws_us earliest,
			  double time, double slots, ws_us latest,
			  uint64_t fingerprint);

/*
 * Takes the booking of a caller that returns.
 * @return whether it had one and comes at its time
 */
bool ws_ed_calendar_take(struct ws_ed_calendar *c, ws_us now,
			 uint64_t fingerprint);

/* Room that is booked until a time and not taken yet, us of one slot. */
double ws_ed_calendar_booked(const struct ws_ed_calendar *c, ws_us now,
			     ws_us until);

/* Drops bookings that have lapsed. */
void ws_ed_calendar_tick(struct ws_ed_calendar *c, ws_us now);

#endif
