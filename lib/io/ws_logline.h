#ifndef WS_LOGLINE_H
#define WS_LOGLINE_H

#include "common/ws_events.h"

/*
 * Logs the numbered events of common/ws_events.h through GLib's structured
 * logging to stderr. Each line has the time, the level, the instance and
 * name="value" fields.
 */

/* Installs the log writer; events less severe than min_level are dropped. */
void ws_logline_init(enum ws_log_level min_level, const char *instance);

/*
 * Logs an event.
 * @param number number of the event in WS_LOG_TABLE
 * @param error enum ws_error, or 0
 * @param detail additional text, or NULL
 */
void ws_logline(uint16_t number, ws_id subject, int64_t value, int error,
		const char *detail);

#endif
