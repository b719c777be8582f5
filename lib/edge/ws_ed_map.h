#ifndef WS_ED_MAP_H
#define WS_ED_MAP_H

#include "common/ws_common.h"

/*
 * The map of keys to servers as it lies in the store. An entry names the only
 * server that may hold its keys: it is changed only after the former holder
 * has given them up or its grant has run out.
 */

struct ws_ed_map_entry {
	ws_id service;
	uint32_t from;
	uint32_t to; /* inclusive */
	ws_id server;
};

struct ws_ed_map {
	uint64_t epoch; /* of the leader that wrote it; 0: none yet */
	ws_id leader;
	struct ws_ed_map_entry *entries; /* by service, then keys */
	size_t n;
	size_t cap;
};

void ws_ed_map_free(struct ws_ed_map *m);
void ws_ed_map_copy(struct ws_ed_map *to, const struct ws_ed_map *from);

/* Appends an entry; ws_ed_map_sort() must follow. */
void ws_ed_map_add(struct ws_ed_map *m, const struct ws_ed_map_entry *e);

/* Sorts the entries and joins neighbours of one server. */
void ws_ed_map_sort(struct ws_ed_map *m);

/*
 * What differs between two sorted maps: entries of the newer one, and entries
 * with server 0 for keys that nobody holds any more.
 */
void ws_ed_map_diff(const struct ws_ed_map *older,
		    const struct ws_ed_map *newer, struct ws_ed_map *changes);

/* Applies such changes, in order, to the older map; the result is sorted. */
void ws_ed_map_apply(struct ws_ed_map *m, const struct ws_ed_map *changes);

/* Server that holds a key; 0 when none does. */
ws_id ws_ed_map_owner(const struct ws_ed_map *m, ws_id service, uint32_t key);

#endif
