#ifndef WS_SHTTP_H
#define WS_SHTTP_H

#include <microhttpd.h>

#include "common/ws_common.h"

/*
 * HTTP server of the stand-ins. One thread runs all handlers; a second one
 * resumes suspended calls. A handler may run several times for one request and
 * keeps its progress in call->step.
 */

#define WS_SHTTP_BODY_MAX ((size_t)4 * 1024 * 1024)
#define WS_SHTTP_HEADERS_MAX 4
#define WS_SHTTP_FOREVER INT64_MAX

enum ws_shttp_action {
	WS_SHTTP_RESPOND, /* send call->status and call->reply */
	WS_SHTTP_SUSPEND, /* run the handler again at call->resume_at */
	WS_SHTTP_CLOSE, /* close the connection without a response */
};

struct ws_shttp_call {
	struct MHD_Connection *connection;
	char *method;
	char *path;
	char *body; /* NUL-terminated */
	size_t body_len;
	size_t body_cap;
	bool too_large;
	ws_us connected; /* when the connection was opened */
	/* Owned by the handler */
	unsigned step;
	ws_us delay_until; /* set by ws_shttp_delay() */
	ws_us resume_at;
	void *handler_data;
	void (*free_handler_data)(struct ws_shttp_call *call);
	void *server_arg;
	/* Response */
	unsigned status;
	char *reply; /* malloc'ed */
	bool truncate; /* close the connection after half of the reply */
	struct {
		const char *name;
		char value[256];
	} headers[WS_SHTTP_HEADERS_MAX];
	size_t n_headers;
	/* Owned by the server */
	struct ws_shttp *server;
	struct ws_shttp_call *next; /* list of suspended calls */
	struct ws_shttp_call *prev;
	bool waiting;
};

typedef enum ws_shttp_action (*ws_shttp_handler)(void *arg,
						 struct ws_shttp_call *call,
						 ws_us now);

struct ws_shttp;

/*
 * Serves on a loopback ip:port until SIGINT or SIGTERM. Port 0 chooses a free
 * port. Prints "listening on ip:port" once it accepts connections.
 * @return exit code of the program
 */
int ws_shttp_serve(const char *listen, ws_shttp_handler fn, void *arg);

/* Makes all suspended calls due, so that their handlers run again at once. */
void ws_shttp_resume_all(struct ws_shttp *s);

/* Time of the machine's monotonic clock. */
ws_us ws_shttp_now(void);

/* Fills in the response; takes ownership of the text. */
enum ws_shttp_action ws_shttp_reply(struct ws_shttp_call *call, unsigned status,
				    char *text);

/* Responds with {"error":"<text>"}. */
enum ws_shttp_action ws_shttp_error(struct ws_shttp_call *call, unsigned status,
				    const char *text);

void ws_shttp_add_header(struct ws_shttp_call *call, const char *name,
			 const char *value);

/* Value of a request header or query parameter; NULL when absent. */
const char *ws_shttp_request_header(const struct ws_shttp_call *call,
				    const char *name);
const char *ws_shttp_query_param(const struct ws_shttp_call *call,
				 const char *name);

/*
 * Delays a call once; later calls with the same request keep the first delay.
 * @return true while the handler must return WS_SHTTP_SUSPEND
 */
bool ws_shttp_delay(struct ws_shttp_call *call, ws_us now, ws_us delay);

/* True if the client has closed the connection. */
bool ws_shttp_client_disconnected(const struct ws_shttp_call *call);

/* True if the request has this method and path. */
bool ws_shttp_matches(const struct ws_shttp_call *call, const char *method,
		      const char *path);

#endif
