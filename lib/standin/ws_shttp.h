#ifndef WS_SHTTP_H
#define WS_SHTTP_H

#include <microhttpd.h>

#include "common/ws_common.h"

/*
 * HTTP server of the stand-ins: one thread runs all handlers, a second one
 * wakes the calls that wait. A handler may be called several times for one
 * request; call->step is its own.
 */

#define WS_SHTTP_BODY_MAX ((size_t)4 * 1024 * 1024)
#define WS_SHTTP_HEADERS_MAX 4
#define WS_SHTTP_FOREVER INT64_MAX

enum ws_shttp_action {
	WS_SHTTP_RESPOND, /* send status and reply */
	WS_SHTTP_SUSPEND, /* call the handler again at call->due */
	WS_SHTTP_CLOSE, /* close the connection without an answer */
};

struct ws_shttp_call {
	struct MHD_Connection *connection;
	char *method;
	char *path;
	char *body; /* ends with a zero */
	size_t body_len;
	size_t body_cap;
	bool too_large;
	ws_us connected; /* when the connection was opened */
	/* The handler's own */
	unsigned step;
	ws_us delay_until; /* set by ws_shttp_delay() */
	ws_us resume_at;
	void *handler_data;
	void (*free_handler_data)(struct ws_shttp_call *call);
	void *server_arg;
	/* Answer */
	unsigned status;
	char *reply; /* malloc'ed */
	bool truncate; /* close after half of the reply */
	struct {
		const char *name;
		char value[256];
	} headers[WS_SHTTP_HEADERS_MAX];
	size_t n_headers;
	/* Server's own */
	struct ws_shttp *server;
	struct ws_shttp_call *next; /* waiting calls */
	struct ws_shttp_call *prev;
	bool waiting;
};

typedef enum ws_shttp_action (*ws_shttp_handler)(void *arg,
						 struct ws_shttp_call *call,
						 ws_us now);

struct ws_shttp;

/*
 * Serves on a loopback ip:port until SIGINT or SIGTERM. Port 0 chooses a free
 * one. Prints "listening on ip:port" when connections are taken.
 * @return exit code of the program
 */
int ws_shttp_serve(const char *listen, ws_shttp_handler fn, void *arg);

/* Calls the handlers of all waiting calls soon. */
void ws_shttp_resume_all(struct ws_shttp *s);

/* Machine's monotonic clock. */
ws_us ws_shttp_now(void);

/* Fills in an answer; takes the text over. */
enum ws_shttp_action ws_shttp_reply(struct ws_shttp_call *call, unsigned status,
				    char *text);

/* Answers {"error":"<text>"}. */
enum ws_shttp_action ws_shttp_error(struct ws_shttp_call *call, unsigned status,
				    const char *text);

void ws_shttp_add_header(struct ws_shttp_call *call, const char *name,
			 const char *value);

/* Request header or query value; NULL when it is absent. */
const char *ws_shttp_request_header(const struct ws_shttp_call *call,
				    const char *name);
const char *ws_shttp_query_param(const struct ws_shttp_call *call,
				 const char *name);

/*
 * Delays a call once.
 * @return true while the handler has to return WS_SHTTP_SUSPEND
 */
bool ws_shttp_delay(struct ws_shttp_call *call, ws_us now, ws_us delay);

/* Tells whether the caller has closed the connection. */
bool ws_shttp_client_disconnected(const struct ws_shttp_call *call);

/* Tells whether method and path are these. */
bool ws_shttp_matches(const struct ws_shttp_call *call, const char *method,
		      const char *path);

#endif
