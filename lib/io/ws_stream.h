#ifndef WS_STREAM_H
#define WS_STREAM_H

#include <ev.h>

#include "common/ws_common.h"
#include "wire/ws_seal.h"

/*
 * A TCP socket with bounded buffers that carries handshake bytes and then
 * sealed records, each marked by its length as in ONC RPC.
 */

/* The most that may wait to be written; beyond it the connection is lost. */
#define WS_STREAM_OUT_MAX ((size_t)16 * 1024 * 1024)

struct ws_stream;

typedef void (*ws_stream_callback)(void *arg);

struct ws_stream {
	struct ev_loop *loop;
	ev_io read_io;
	ev_io write_io;
	int fd; /* -1: closed */
	bool connecting;
	bool broken; /* closed by the other side or overfull */
	uint8_t *in;
	size_t in_pos;
	size_t in_len;
	size_t in_cap;
	uint8_t *out;
	size_t out_pos;
	size_t out_len;
	size_t out_cap;
	uint64_t bytes_in;
	uint64_t bytes_out;
	ws_stream_callback on_data;
	ws_stream_callback on_broken;
	void *arg;
};

/*
 * Takes over a connected or connecting non-blocking socket. The callbacks run
 * from the loop only.
 */
void ws_stream_start(struct ws_stream *s, struct ev_loop *loop, int fd,
		     bool connecting);

/* Closes the socket and empties the buffers. */
void ws_stream_stop(struct ws_stream *s);

/* Frees the buffers of a stopped stream. */
void ws_stream_free(struct ws_stream *s);

/* Queues bytes; they are written by the next ws_stream_flush(). */
void ws_stream_write(struct ws_stream *s, const void *data, size_t len);

/* Seals and queues a record. */
void ws_stream_write_record(struct ws_stream *s, struct ws_seal *seal,
			    const void *data, size_t len);

/* Writes what the socket takes now. */
void ws_stream_flush(struct ws_stream *s);

/* Takes exactly len received bytes; false if there are fewer. */
bool ws_stream_read_exact(struct ws_stream *s, void *to, size_t len);

/*
 * Takes and opens the next record.
 * @param to room of at least max bytes
 * @return length, 0 if there is none yet, or WS_ERR_PEER
 */
int ws_stream_read_record(struct ws_stream *s, struct ws_seal *seal, void *to,
			  size_t max);

#endif
