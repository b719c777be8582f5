#ifndef WS_STREAM_H
#define WS_STREAM_H

#include <ev.h>

#include "common/ws_common.h"
#include "wire/ws_seal.h"

/*
 * A buffered TCP connection that carries the handshake and then encrypted
 * records. A record mark with the length precedes each record, as in ONC RPC.
 */

/* Most bytes that may wait to be sent; the connection fails beyond that. */
#define WS_STREAM_OUT_MAX ((size_t)16 * 1024 * 1024)

struct ws_stream;

typedef void (*ws_stream_callback)(void *arg);

struct ws_stream {
	struct ev_loop *loop;
	ev_io read_io;
	ev_io write_io;
	int fd; /* -1: closed */
	bool connecting;
	bool broken; /* closed, failed, or the output buffer is full */
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
 * Takes ownership of a connected or connecting non-blocking socket. Callbacks
 * are called by the event loop only.
 */
void ws_stream_start(struct ws_stream *s, struct ev_loop *loop, int fd,
		     bool connecting);

/* Closes the socket and empties the buffers. */
void ws_stream_stop(struct ws_stream *s);

/* Frees the buffers of a stopped stream. */
void ws_stream_free(struct ws_stream *s);

/* Buffers bytes for the next ws_stream_flush(). */
void ws_stream_write(struct ws_stream *s, const void *data, size_t len);

/* Encrypts a record and buffers it for the next ws_stream_flush(). */
void ws_stream_write_record(struct ws_stream *s, struct ws_seal *seal,
			    const void *data, size_t len);

/* Sends as much as the socket accepts now. */
void ws_stream_flush(struct ws_stream *s);

/* Reads exactly len bytes; returns false if fewer have been received. */
bool ws_stream_read_exact(struct ws_stream *s, void *to, size_t len);

/*
 * Reads and decrypts the next record.
 * @param to buffer of at least max bytes
 * @return length, 0 if none is complete yet, or WS_ERR_PEER
 */
int ws_stream_read_record(struct ws_stream *s, struct ws_seal *seal, void *to,
			  size_t max);

#endif
