#ifndef WS_EIO_TOPIC_H
#define WS_EIO_TOPIC_H

#include <glib.h>

#include "edge/ws_ed_codec.h"
#include "edgeio/ws_eio.h"

/*
 * Follows one topic of the store: reads a snapshot first, then the records
 * after it, from the store or from an instance that has them. Private to
 * ws_eio_store.c and ws_eio_topic.c.
 */

struct ws_eio_topic;

struct ws_eio_topic_ops {
	enum wp_topic topic;
	/* The reducer's name of the topic; WS_EDT_COUNT: not passed to it. */
	enum ws_ed_topic edge_topic;
	/* Read period of instances that get the records through others. */
	ws_us relayed_refresh;
	bool shared; /* instances serve its records to each other */
	/* Delay after new records, so that one read returns several. */
	ws_us batch_delay;
	ws_us (*max_wait)(struct ws_eio *io); /* of a long poll */
	void (*on_record)(struct ws_eio_topic *t, const struct wp_record *r);
	/* After the last record of a call; caught_up: no record is missing. */
	void (*on_synced)(struct ws_eio_topic *t, ws_us started, uint64_t end,
			  bool caught_up);
	/*
	 * A snapshot of a settled state is complete; keys not in seen_keys no
	 * longer exist.
	 */
	void (*on_snapshot)(struct ws_eio_topic *t);
};

struct ws_eio_topic {
	const struct ws_eio_topic_ops *ops;
	struct ws_eio_store *store;
	struct wp_call *call;
	bool following; /* the snapshot is complete */
	/* Of the store's state that the positions below are in; 0: unknown */
	uint64_t era;
	uint64_t next; /* position after the last record read */
	uint64_t snapshot_end; /* end of the topic when the snapshot began */
	/*
	 * Until then a snapshot may lack records that are written again after a
	 * restore of the store, or contain ones that are removed again.
	 */
	ws_us settles_at;
	ws_us next_snapshot_at; /* of the settled state; 0: none is due */
	ws_us snapshot_started_at;
	bool first_page;
	char after_key[256]; /* last key of the previous snapshot page */
	ws_us call_started_at;
	ws_us next_call_at;
	ws_us retry_delay;
	bool last_call_failed;
	bool long_poll; /* the current call waits for new records */
	bool asks_member; /* the current call goes to another instance */
	ws_us ask_member_at; /* earliest next call to another instance */
	GHashTable *seen_keys; /* keys in the snapshot */
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
	uint64_t append_position;
	struct wp_call *own_entry_call;
	bool own_entry_written;
	uint64_t era; /* highest seen in an answer */
	ws_us own_entry_due;
	struct ws_ed_map decoded_map;
	bool decoded_map_new;
	unsigned char *map_bytes;
	GHashTable *zones_out; /* names of zones out of service */
	GHashTable *listed_servers; /* names */
	int timer;
};

/* Records the era of an answer; in a new one the own entry may be lost. */
void ws_eio_store_note_era(struct ws_eio_store *s, uint64_t era);

void ws_eio_topic_init(struct ws_eio_topic *t, struct ws_eio_store *s,
		       const struct ws_eio_topic_ops *ops);
void ws_eio_topic_free(struct ws_eio_topic *t);

/* Starts a call when one is due. */
void ws_eio_topic_poll(struct ws_eio_topic *t, ws_us now);

/* Whether records of the current snapshot may be out of date. */
bool ws_eio_topic_is_settling(const struct ws_eio_topic *t);

/* Makes the next call begin a new snapshot. */
void ws_eio_topic_restart(struct ws_eio_topic *t);

/*
 * Requests the records after the last one read from another instance.
 * @return false when no other instance has them
 */
bool ws_eio_topic_ask_member(struct ws_eio_topic *t);

#endif
