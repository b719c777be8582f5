#ifndef WS_ED_MAP_H
#define WS_ED_MAP_H

#include "common/ws_common.h"

/*
 * The map of keys to servers, as stored. An entry names the only server that
 * may own its keys. It is changed only after the previous owner has released
 * them or its lease has expired.
 */

struct ws_ed_map_entry {
	ws_id service;
	uint32_t from;
	uint32_t to; /* inclusive */
	ws_id server;
};

#define WS_ED_VOTERS_MAX 9

/* Instances whose majority can extend the lease of the leader. */
struct ws_ed_voters {
	uint32_t n; /* 0: none are named */
	ws_id ids[WS_ED_VOTERS_MAX];
};

struct ws_ed_map {
	uint64_t epoch; /* of the leader that wrote it; 0: no map yet */
	ws_id leader;
	/* Servers may have leases that it does not name; see ws_ed_lead.h */
	bool unverified;
	struct ws_ed_voters voters;
	struct ws_ed_map_entry *entries; /* sorted by service, then key */
	size_t n;
	size_t cap;
};

void ws_ed_map_free(struct ws_ed_map *m);
void ws_ed_map_copy(struct ws_ed_map *to, const struct ws_ed_map *from);

/* Copies everything but the entries. */
void ws_ed_map_copy_head(struct ws_ed_map *to, const struct ws_ed_map *from);

/* Appends an entry; ws_ed_map_sort() must follow. */
void ws_ed_map_add(struct ws_ed_map *m, const struct ws_ed_map_entry *e);

/* Sorts the entries and merges adjacent ranges of the same server. */
void ws_ed_map_sort(struct ws_ed_map *m);

/*
 * Computes the difference between two sorted maps: entries of the newer one,
 * and entries with server 0 for keys that no longer have an owner.
 */
void ws_ed_map_diff(const struct ws_ed_map *older,
		    const struct ws_ed_map *newer, struct ws_ed_map *changes);

/* Applies changes to the older map, in order; the result is sorted. */
void ws_ed_map_apply(struct ws_ed_map *m, const struct ws_ed_map *changes);

/* Server that owns a key; 0 when there is none. */
ws_id ws_ed_map_owner(const struct ws_ed_map *m, ws_id service, uint32_t key);

#endif
