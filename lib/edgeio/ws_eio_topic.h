#ifndef WS_EIO_TOPIC_H
#define WS_EIO_TOPIC_H

#include <glib.h>

#include "edge/ws_ed_codec.h"
#include "edgeio/ws_eio.h"

/*
 * One topic of the store as it is followed: read as a whole once, then from
 * the last record on, from the store or from an instance that has the records.
 * Private to ws_eio_store.c and ws_eio_topic.c.
 */

struct ws_eio_topic;

struct ws_eio_topic_ops {
	enum wp_topic topic;
	enum ws_ed_topic
		edge_topic; /* WS_EDT_COUNT: of no interest to the reducer */
	ws_us relayed_refresh; /* instances that are told by others read this
				  often */
	bool shared; /* its records may be asked of other instances */
	ws_us batch_delay; /* after records, so that others join the next
			      reading */
	ws_us (*max_wait)(struct ws_eio *io);
	void (*on_record)(struct ws_eio_topic *f, const struct wp_record *r);
	/* All records of a call were given; caught_up: nothing is missing. */
	void (*on_synced)(struct ws_eio_topic *f, ws_us started, uint64_t end,
			  bool caught_up);
	/* A full reading is complete: what it did not name is gone. */
	void (*on_snapshot)(struct ws_eio_topic *f);
};

struct ws_eio_topic {
	const struct ws_eio_topic_ops *ops;
	struct ws_eio_store *store;
	struct wp_call *call;
	bool following; /* the newest records were read */
	uint64_t next_offset;
	uint64_t snapshot_end; /* end when the full reading began */
	ws_us snapshot_started_at;
	bool first_page;
	char after_key[256];
	ws_us call_started_at; /* of the call under way */
	ws_us next_call_at; /* next call */
	ws_us retry_delay;
	bool last_call_failed; /* the last call has failed */
	bool long_poll; /* the call under way waits for news */
	bool asks_member; /* it goes to another instance */
	ws_us ask_member_at; /* no earlier call to another instance */
	GHashTable *seen_keys; /* keys of a full reading */
};

struct ws_eio_store {
	struct ws_eio *io;
	struct wp_store *client;
	struct ws_rand rand;
	struct ws_eio_topic config;
	struct ws_eio_topic servers;
	struct ws_eio_topic map;
	struct ws_eio_topic members;
	struct wp_call *append_call;
	uint64_t append_offset;
	struct wp_call *own_entry_call;
	bool own_entry_written;
	ws_us own_entry_due;
	struct ws_ed_map decoded_map;
	bool decoded_map_new;
	unsigned char *map_bytes;
	GHashTable *zones_out; /* names of zones out of service */
	GHashTable *listed_servers; /* names of servers */
	int timer;
};

void ws_eio_topic_init(struct ws_eio_topic *f, struct ws_eio_store *s,
		       const struct ws_eio_topic_ops *ops);
void ws_eio_topic_free(struct ws_eio_topic *f);

/* Starts a call when one is due. */
void ws_eio_topic_poll(struct ws_eio_topic *f, ws_us now);

/* The next call reads the topic as a whole. */
void ws_eio_topic_restart(struct ws_eio_topic *f);

/* @return false when no other instance has the records */
bool ws_eio_topic_ask_member(struct ws_eio_topic *f);

#endif
