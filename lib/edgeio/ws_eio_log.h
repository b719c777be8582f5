#ifndef WS_EIO_LOG_H
#define WS_EIO_LOG_H

#include "common/ws_events.h"
#include "edge/ws_ed_fx.h"

/*
 * Log of the edge on standard output, one line of name=value fields per entry.
 * Writing never blocks. Lines beyond a limit per second are dropped, and the
 * next line written states how many.
 */

void ws_eio_log_init(const char *machine);

/* Logs a numbered event of the event table; detail may be NULL. */
void ws_eio_log(uint16_t number, ws_id subject, int64_t value,
		const char *detail);

/* The last time that bytes of a request went out to a server. */
struct ws_eio_sending_log {
	ws_us after; /* since its first byte was read; -1: none has */
	ws_us servers_age; /* age of the evidence of servers then */
	ws_us leaving_for; /* since it is known that the server leaves */
};

/* Outcome of a request and the state on which it was decided. */
struct ws_eio_request_log {
	const char *request_id;
	const char *customer;
	const char *method;
	const char *host;
	const char *path;
	int32_t shard_key; /* -1: none or not valid */
	const char *server; /* "" for none */
	int status; /* 0: not answered */
	enum ws_ed_reason reason;
	ws_us elapsed;
	ws_us input_age; /* longest time for which it waited to be read */
	struct ws_eio_sending_log sending;
	ws_us retry_after;
	ws_us evidence_age; /* age of the evidence from the store */
	uint64_t config_version;
	unsigned attempts;
	uint64_t fingerprint; /* as in QUARANTINE; 0: not computed */
	size_t waiting; /* requests queued at this instance */
};

void ws_eio_log_request(const struct ws_eio_request_log *line);

/* Number of lines dropped since process start. */
uint64_t ws_eio_log_dropped(void);

#endif
