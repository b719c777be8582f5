#include "edge/ws_ed_map.h"

#include <stdlib.h>
#include <string.h>

void ws_ed_map_free(struct ws_ed_map *m)
{
	free(m->entries);
	memset(m, 0, sizeof(*m));
}

void ws_ed_map_copy(struct ws_ed_map *to, const struct ws_ed_map *from)
{
	ws_grow(&to->entries, &to->cap, from->n + 1, sizeof(*to->entries));
	if (from->n)
		memcpy(to->entries, from->entries,
		       from->n * sizeof(*to->entries));
	to->n = from->n;
	to->epoch = from->epoch;
	to->leader = from->leader;
}

void ws_ed_map_add(struct ws_ed_map *m, const struct ws_ed_entry *e)
{
	ws_grow(&m->entries, &m->cap, m->n + 1, sizeof(*m->entries));
	m->entries[m->n++] = *e;
}

static int compare(const void *a, const void *b)
{
	const struct ws_ed_entry *x = a;
	const struct ws_ed_entry *y = b;

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
	qsort(m->entries, m->n, sizeof(*m->entries), compare);
	for (i = 1; i < m->n; i++) {
		struct ws_ed_entry *last = &m->entries[out];
		const struct ws_ed_entry *e = &m->entries[i];

		if (e->service == last->service && e->server == last->server &&
		    e->from == last->to + 1)
			last->to = e->to;
		else
			m->entries[++out] = *e;
	}
	m->n = out + 1;
}

ws_id ws_ed_map_owner(const struct ws_ed_map *m, ws_id service, uint32_t key)
{
	size_t low = 0;
	size_t high = m->n;

	while (low < high) {
		size_t mid = (low + high) / 2;
		const struct ws_ed_entry *e = &m->entries[mid];

		if (e->service < service ||
		    (e->service == service && e->to < key))
			low = mid + 1;
		else
			high = mid;
	}
	if (low == m->n || m->entries[low].service != service ||
	    m->entries[low].from > key)
		return 0;
	return m->entries[low].server;
}
