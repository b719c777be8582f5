#ifndef WS_SLIST_H
#define WS_SLIST_H

#include "codec/ws_json.h"

/*
 * Stand-in for the platform's list of instances and targets. It keeps earlier
 * copies, so that it can answer as the list was some time ago.
 */

#define WS_SLIST_SNAPSHOTS_MAX 256

struct ws_slist_snapshot {
	ws_us since;
	char *text;
};

/* An entry that stays until its time to live ends; 0: until replaced. */
struct ws_slist_entry {
	json_t *node;
	ws_us expires;
};

struct ws_slist {
	struct ws_slist_entry *entries;
	size_t n_entries;
	size_t cap;
	struct ws_slist_snapshot
		snapshots[WS_SLIST_SNAPSHOTS_MAX]; /* oldest first */
	size_t n_snapshots;
	/* Faults */
	ws_us down_until;
	ws_us silent_until;
	ws_us response_delay;
	ws_us lag; /* answers are this old */
	ws_us stuck_since; /* answers as of this time; 0: off */
};

struct ws_slist *ws_slist_new(void);
void ws_slist_free(struct ws_slist *l);

/* Replaces all entries without time to live by those of {"entries":[...]}. */
int ws_slist_set(struct ws_slist *l, ws_us now, const char *text,
		 struct ws_codec_error *why);

/*
 * Adds or replaces one entry, given with a further field "ttl_ms". A time to
 * live of 0 removes the entry.
 */
int ws_slist_register(struct ws_slist *l, ws_us now, const char *text,
		      struct ws_codec_error *why);

/* Either of the two: a text with the field "entries" is a whole list. */
int ws_slist_post(struct ws_slist *l, ws_us now, const char *text,
		  struct ws_codec_error *why);

/* Text of the answer to GET /list; borrowed until the next call. */
const char *ws_slist_response(struct ws_slist *l, ws_us now);

int ws_slist_set_faults(struct ws_slist *l, ws_us now, const char *text,
			struct ws_codec_error *why);

#endif
