#ifndef WS_SLIST_H
#define WS_SLIST_H

#include "codec/ws_json.h"

/*
 * Stand-in for the platform's list of instances and targets. It keeps earlier
 * versions, so that it can respond as the list was some time ago.
 */

#define WS_SLIST_SNAPSHOTS_MAX 256

struct ws_slist_snapshot {
	ws_us since;
	char *text;
};

/*
 * An entry of the list. It lasts until it expires, or with 0 until it is
 * replaced.
 */
struct ws_slist_entry {
	json_t *node;
	ws_us expires;
};

struct ws_slist {
	struct ws_slist_entry *entries;
	size_t n_entries;
	size_t cap;
	/* Oldest first */
	struct ws_slist_snapshot snapshots[WS_SLIST_SNAPSHOTS_MAX];
	size_t n_snapshots;
	/* Faults */
	ws_us down_until;
	ws_us silent_until;
	ws_us response_delay;
	ws_us lag; /* responses are this old */
	ws_us stuck_since; /* responses stay as of this time; 0: off */
};

struct ws_slist *ws_slist_new(void);
void ws_slist_free(struct ws_slist *l);

/* Replaces all entries that do not expire by those of {"entries":[...]}. */
int ws_slist_set(struct ws_slist *l, ws_us now, const char *text,
		 struct ws_codec_error *why);

/*
 * Adds or replaces one entry. The text has its time to live in the additional
 * field "ttl_ms"; 0 removes the entry.
 */
int ws_slist_register(struct ws_slist *l, ws_us now, const char *text,
		      struct ws_codec_error *why);

/*
 * Body of POST /list: a whole list if it has the field "entries", else a single
 * entry.
 */
int ws_slist_post(struct ws_slist *l, ws_us now, const char *text,
		  struct ws_codec_error *why);

/* Response to GET /list; valid until the next call. */
const char *ws_slist_response(struct ws_slist *l, ws_us now);

int ws_slist_set_faults(struct ws_slist *l, ws_us now, const char *text,
			struct ws_codec_error *why);

#endif
