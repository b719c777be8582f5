#ifndef WS_HTTP_INT_H
#define WS_HTTP_INT_H

#include <curl/curl.h>

#include "io/ws_headers.h"
#include "io/ws_http.h"

/* Private to ws_http.c and ws_http_memory.c. */

struct ws_http_call {
	struct ws_http *http;
	struct ws_http_call *next; /* in its list */
	struct ws_http_call *prev; /* the same, not for free calls */
	bool listed; /* it is in a list other than that of free calls */
	CURL *easy;
	ws_http_send_fn before_send;
	ws_http_done_fn done;
	void *arg;
	unsigned n_sends; /* times that libcurl was about to send */
	bool active;
	bool withdrawn; /* by before_send */
	bool given_up; /* to make room in the account; ends soon */
	bool essential;
	size_t held; /* bytes in the account */
	size_t line_held; /* of these for a header line without an end */
	bool received; /* something was delivered in this read */
	size_t head_len; /* bytes of status lines and headers so far */
	unsigned n_head_lines;
	uint16_t status; /* of the newest status line; 0: none, or malformed */
	bool in_head; /* between a status line and the blank line */
	bool is_1_0; /* the version of that line is HTTP/1.0 */
	struct ws_header_scan framing; /* of that head */
	bool head_ended; /* the head of the final response is complete */
	bool is_head; /* the method is HEAD */
	bool allow_unframed;
	struct ws_headers headers;
	char *data;
	size_t data_len;
	size_t data_cap;
	size_t n_pieces; /* that the body was delivered in */
	size_t max_answer;
};

struct ws_http {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	struct ws_http_call *free_calls;
	size_t n_free;
	struct ws_http_call *active_calls;
	struct ws_http_call *given_up_calls; /* active, but to be ended */
	struct socket_watcher *free_watchers;
	uint64_t connections;
	struct ws_memory *memory; /* the account; own_memory if none is set */
	struct ws_memory own_memory;
};

/* ===== ws_http_memory.c ===== */

/* Adds a call to the list that it belongs to, or removes it from its list. */
void ws_http_link(struct ws_http_call *c);
void ws_http_unlink(struct ws_http_call *c);

/*
 * Gives up a call and frees its buffers. The caller's event ends it later, as
 * this may happen while libcurl works on another call.
 */
void ws_http_give_up(struct ws_http_call *c);

/*
 * Adds bytes of a call to the account. If there is no room, the calls that hold
 * most are given up, so that a target which sends without end does not keep
 * others from being answered.
 * @return false if the call itself has to end
 */
bool ws_http_hold(struct ws_http_call *c, size_t n);

/* Removes bytes of a call from the account. */
void ws_http_release(struct ws_http_call *c, size_t n);

/* Makes room in a buffer; its whole capacity is held. */
bool ws_http_grow(struct ws_http_call *c, char **buf, size_t *cap, size_t need);

/*
 * Records that libcurl has read from the socket of a call. It delivers a header
 * line when it is complete; what it reads without delivering anything is held
 * until the line ends.
 */
void ws_http_note_read(struct ws_http_call *c);

#endif
