#include "edge/ws_ed_map.h"

#include <stdlib.h>
#include <string.h>

void ws_ed_map_free(struct ws_ed_map *m)
{
	free(m->entries);
	memset(m, 0, sizeof(*m));
}

void ws_ed_map_copy_head(struct ws_ed_map *to, const struct ws_ed_map *from)
{
	to->epoch = from->epoch;
	to->leader = from->leader;
	to->unverified = from->unverified;
	to->voters = from->voters;
}

void ws_ed_map_copy(struct ws_ed_map *to, const struct ws_ed_map *from)
{
	ws_grow(&to->entries, &to->cap, from->n + 1, sizeof(*to->entries));
	if (from->n)
		memcpy(to->entries, from->entries,
		       from->n * sizeof(*to->entries));
	to->n = from->n;
	ws_ed_map_copy_head(to, from);
}

void ws_ed_map_add(struct ws_ed_map *m, const struct ws_ed_map_entry *e)
{
	ws_grow(&m->entries, &m->cap, m->n + 1, sizeof(*m->entries));
	m->entries[m->n++] = *e;
}

static int compare_entries(const void *a, const void *b)
{
	const struct ws_ed_map_entry *x = a;
	const struct ws_ed_map_entry *y = b;

	if (x->service != y->service)
		return x->service < y->service ? -1 : 1;
	return (x->from > y->from) - (x->from < y->from);
}

void ws_ed_map_sort(struct ws_ed_map *m)
{
	size_t out = 0;
	size_t i;

	if (!m->n)
		return;
	qsort(m->entries, m->n, sizeof(*m->entries), compare_entries);
	for (i = 1; i < m->n; i++) {
		struct ws_ed_map_entry *last = &m->entries[out];
		const struct ws_ed_map_entry *e = &m->entries[i];

		if (e->service == last->service && e->server == last->server &&
		    e->from == last->to + 1)
			last->to = e->to;
		else
			m->entries[++out] = *e;
	}
	m->n = out + 1;
}

/* Index of the first entry of a sorted map that ends at or after a key. */
static size_t find_entry(const struct ws_ed_map *m, ws_id service, uint32_t key)
{
	size_t low = 0;
	size_t high = m->n;

	while (low < high) {
		size_t mid = (low + high) / 2;
		const struct ws_ed_map_entry *e = &m->entries[mid];

		if (e->service < service ||
		    (e->service == service && e->to < key))
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

ws_id ws_ed_map_owner(const struct ws_ed_map *m, ws_id service, uint32_t key)
{
	size_t i = find_entry(m, service, key);

	if (i == m->n || m->entries[i].service != service ||
	    m->entries[i].from > key)
		return 0;
	return m->entries[i].server;
}

/* ===== Changes ===== */

/* Owner of a key; sets last to the last key up to to with the same owner. */
static ws_id owner_run(const struct ws_ed_map *m, ws_id service, uint32_t key,
		       uint32_t to, uint32_t *last)
{
	size_t i = find_entry(m, service, key);
	const struct ws_ed_map_entry *e;

	*last = to;
	if (i == m->n || m->entries[i].service != service)
		return 0;
	e = &m->entries[i];
	if (e->from > key) {
		if (e->from <= to)
			*last = e->from - 1;
		return 0;
	}
	if (e->to < to)
		*last = e->to;
	return e->server;
}

static void add_changed(const struct ws_ed_map *older,
			const struct ws_ed_map_entry *e,
			struct ws_ed_map *changes)
{
	struct ws_ed_map_entry part = *e;
	uint32_t key = e->from;

	while (key <= e->to) {
		ws_id was = owner_run(older, e->service, key, e->to, &part.to);

		part.from = key;
		if (was != e->server)
			ws_ed_map_add(changes, &part);
		key = part.to + 1;
	}
}

static void add_dropped(const struct ws_ed_map *newer,
			const struct ws_ed_map_entry *e,
			struct ws_ed_map *changes)
{
	struct ws_ed_map_entry part = { .service = e->service };
	uint32_t key = e->from;

	while (key <= e->to) {
		ws_id is = owner_run(newer, e->service, key, e->to, &part.to);

		part.from = key;
		if (!is)
			ws_ed_map_add(changes, &part);
		key = part.to + 1;
	}
}

void ws_ed_map_diff(const struct ws_ed_map *older,
		    const struct ws_ed_map *newer, struct ws_ed_map *changes)
{
	size_t i;

	changes->n = 0;
	ws_ed_map_copy_head(changes, newer);
	for (i = 0; i < older->n; i++)
		add_dropped(newer, &older->entries[i], changes);
	for (i = 0; i < newer->n; i++)
		add_changed(older, &newer->entries[i], changes);
}

/* Removes the keys of a range from the map; may split entries. */
static void remove_range(struct ws_ed_map *m,
			 const struct ws_ed_map_entry *range)
{
	size_t n = m->n;
	size_t i;

	for (i = 0; i < n; i++) {
		struct ws_ed_map_entry e = m->entries[i];
		struct ws_ed_map_entry tail = e;

		if (e.service != range->service || e.to < range->from ||
		    e.from > range->to)
			continue;
		if (e.to > range->to) {
			tail.from = range->to + 1;
			ws_ed_map_add(m, &tail);
		}
		/* An entry left without keys is removed by remove_empty(). */
		if (e.from < range->from)
			m->entries[i].to = range->from - 1;
		else
			m->entries[i].server = 0;
	}
}

static void remove_empty(struct ws_ed_map *m)
{
	size_t out = 0;
	size_t i;

	for (i = 0; i < m->n; i++)
		if (m->entries[i].server)
			m->entries[out++] = m->entries[i];
	m->n = out;
}

void ws_ed_map_apply(struct ws_ed_map *m, const struct ws_ed_map *changes)
{
	size_t i;

	for (i = 0; i < changes->n; i++) {
		remove_range(m, &changes->entries[i]);
		remove_empty(m);
		if (changes->entries[i].server)
			ws_ed_map_add(m, &changes->entries[i]);
	}
	ws_ed_map_sort(m);
	ws_ed_map_copy_head(m, changes);
}
