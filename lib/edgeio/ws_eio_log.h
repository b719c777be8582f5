#ifndef WS_EIO_LOG_H
#define WS_EIO_LOG_H

#include "common/ws_events.h"
#include "edge/ws_ed_fx.h"

/*
 * Log lines of the edge on standard output, one line of name=value fields
 * each. Writing never blocks; beyond a bound per second lines are dropped, and
 * the next line that is written tells how many.
 */

void ws_eio_log_init(const char *machine);

/* A numbered event of the catalogue; detail may be NULL. */
void ws_eio_log(uint16_t number, ws_id subject, int64_t value,
		const char *detail);

/* How a request was decided, and on what. */
struct ws_eio_request_log {
	const char *request_id;
	const char *customer;
	const char *path;
	const char *server; /* "" for none */
	int status; /* 0: not answered */
	enum ws_ed_reason reason;
	ws_us elapsed;
	ws_us retry_after;
	ws_us evidence_age; /* of the store's */
	uint64_t config_version; /* of the configuration */
	unsigned attempts;
	size_t waiting; /* requests that wait at this instance */
};

void ws_eio_log_request(const struct ws_eio_request_log *line);

/* Lines dropped since the start. */
uint64_t ws_eio_log_dropped(void);

#endif
