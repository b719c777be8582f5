#ifndef WS_EVENTS_H
#define WS_EVENTS_H

#include "common/ws_common.h"

/*
 * Numbered log events, documented in docs/EVENTS.md. A test checks that both
 * list the same numbers, symbols and levels. Ranges: 100 ownership, 300 request
 * ids and quarantine, 400 routing and dispatch, 500 network and platform, 600
 * settings and process, 700 bundles, 800 membership.
 */

enum ws_log_level {
	WS_LEVEL_ERROR = 1,
	WS_LEVEL_WARNING = 2,
	WS_LEVEL_NOTICE = 3,
	WS_LEVEL_DEBUG = 4,
};

/* X(number, symbol, level, text); a log line adds a subject and a value. */
#define WS_LOG_TABLE(X)                                                     \
	X(101, ASSIGN_PROPOSED, NOTICE, "assignment proposed")              \
	X(102, ASSIGN_WON, NOTICE, "assignment took effect in the log")     \
	X(103, ASSIGN_LOST, NOTICE, "assignment lost to an earlier record") \
	X(104, ACTIVATED, NOTICE, "assignment activated")                   \
	X(105, NOT_FRESH, WARNING, "no evidence that state is current")     \
	X(106, FRESH_AGAIN, NOTICE, "state is confirmed as current")        \
	X(107, QUORUM_EVIDENCE, WARNING, "log down, relying on quorum")     \
	X(108, GRANT_REFUSED, WARNING, "target refused a grant")            \
	X(109, SNAPSHOT_WRITTEN, NOTICE, "snapshot appended")               \
	X(110, HOT_KEY, NOTICE, "hot key assigned separately")              \
	X(111, LEADER, NOTICE, "this instance leads the servers' keys")     \
	X(112, LEADER_LOST, NOTICE, "this instance no longer leads")        \
	X(113, KEYS_LOST, WARNING, "a server's lease of keys has expired")  \
	X(114, MAP_WRITTEN, NOTICE, "map of keys written to the store")     \
	X(115, LEADER_CONFIRMED, NOTICE, "no former leader grants keys")    \
	X(301, ID_TAKEOVER, WARNING, "request id predates the takeover")    \
	X(302, QUARANTINE, WARNING, "request quarantined")                  \
	X(303, ID_TABLE_FULL, ERROR, "request id table is full")            \
	X(304, SUSPECT_DROPPED, NOTICE, "request is no longer suspected")   \
	X(305, REQUEST_CLEARED, NOTICE, "request cleared by an answer")     \
	X(306, QUARANTINE_TRIAL, NOTICE, "quarantined request is tried")    \
	X(401, TARGET_COLD, NOTICE, "target is cold, slow start")           \
	X(402, TARGET_CRASHED, WARNING, "target closed mid-request")        \
	X(403, TARGET_SHED, NOTICE, "target refused to run a request")      \
	X(404, TARGET_LIMIT, NOTICE, "target limits its requests")          \
	X(405, TARGET_UNLIMITED, NOTICE, "target has lifted its limit")     \
	X(406, TARGET_LEAVING, NOTICE, "target states that it leaves")      \
	X(407, TARGET_CLOSED, NOTICE, "target wants no requests for now")   \
	X(408, TARGET_REDUCED, NOTICE, "target takes less than its slots")  \
	X(409, TARGET_RESTORED, NOTICE, "target takes its slots again")     \
	X(501, PEER_UP, NOTICE, "peer connection established")              \
	X(502, PEER_DOWN, WARNING, "peer connection closed")                \
	X(503, PEER_REJECTED, WARNING, "peer failed authentication")        \
	X(504, LOG_DOWN, WARNING, "log service does not answer")            \
	X(505, LOG_UP, NOTICE, "log service answers again")                 \
	X(506, LIST_DOWN, WARNING, "instance list does not answer")         \
	X(507, BAD_RECORD, ERROR, "log record could not be read")           \
	X(508, LOG_RESTORED, WARNING, "log service came back from a copy")  \
	X(509, REQUEST_REJECTED, WARNING, "request can not be read")        \
	X(601, STARTED, NOTICE, "instance started")                         \
	X(602, DRAINING, NOTICE, "graceful shutdown started")               \
	X(603, STOPPED, NOTICE, "instance stopped")                         \
	X(604, ADMIN_DENIED, WARNING, "administration request denied")      \
	X(605, RELOADED, NOTICE, "settings read again")                     \
	X(606, NO_METRICS, WARNING, "metrics address is in use")            \
	X(607, BAD_SETTINGS, ERROR, "changed settings are not valid")       \
	X(608, TURN_LONG, WARNING, "event loop was busy for long")          \
	X(701, BUNDLE_IN_FORCE, NOTICE, "bundle in force")                  \
	X(702, BUNDLE_REFUSED, WARNING, "bundle refused")                   \
	X(801, INSTANCE_SEEN, NOTICE, "instance is alive")                  \
	X(802, INSTANCE_SUSPECT, WARNING, "instance is silent")             \
	X(803, TARGET_LIVE, NOTICE, "target is live")                       \
	X(804, TARGET_LOST, WARNING, "target is lost")                      \
	X(805, CLOCK_OFF, ERROR, "wall clock differs from the peers")       \
	X(806, ZONE_OUT, NOTICE, "zone is out of service")                  \
	X(807, ZONE_BACK, NOTICE, "zone is back in service")

enum ws_log_number {
#define WS_LOG_ENUM(number, symbol, level, text) WS_LOG_##symbol = (number),
	WS_LOG_TABLE(WS_LOG_ENUM)
#undef WS_LOG_ENUM
};

struct ws_log_entry {
	uint16_t number;
	uint8_t level;
	const char *symbol;
	const char *text;
};

/* Returns the event with a number, or NULL. */
const struct ws_log_entry *ws_log_find(uint16_t number);

/* Sets entries to all events in order of number and returns their count. */
size_t ws_log_all(const struct ws_log_entry **entries);

#endif
