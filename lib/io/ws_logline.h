#ifndef WS_LOGLINE_H
#define WS_LOGLINE_H

#include "common/ws_events.h"

/*
 * Writes numbered events through GLib's structured logging, one line each:
 * time, level, number, symbol, text and name=value fields.
 */

/* Installs the writer; lines less severe than the level are dropped. */
void ws_logline_init(enum ws_log_level least, const char *instance);

/*
 * Writes an event of the catalogue.
 * @param error enum ws_error, or 0
 * @param detail further text, or NULL
 */
void ws_logline(uint16_t number, ws_id subject, int64_t value, int error,
		const char *detail);

#endif
