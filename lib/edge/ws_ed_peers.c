#include "edge/ws_ed_peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ws_ed_peers_free(struct ws_ed_peers *p)
{
	free(p->members);
	memset(p, 0, sizeof(*p));
}

struct ws_ed_member *ws_ed_peers_find(const struct ws_ed_peers *p, ws_id id)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		if (p->members[i].id == id)
			return &p->members[i];
	return NULL;
}

struct ws_ed_member *ws_ed_peers_add(struct ws_ed_peers *p, ws_us now, ws_id id,
				     const char *address)
{
	struct ws_ed_member *m;

	if (id == p->self)
		return NULL;
	m = ws_ed_peers_find(p, id);
	if (!m) {
		ws_grow(&p->members, &p->cap, p->n + 1, sizeof(*p->members));
		m = &p->members[p->n++];
		memset(m, 0, sizeof(*m));
		m->id = id;
		m->listed = now;
	}
	snprintf(m->address, sizeof(m->address), "%s", address);
	return m;
}

ws_us ws_ed_peers_period(const struct ws_ed_peers *p)
{
	if (p->n <= WS_ED_BEAT_MEMBERS)
		return WS_ED_BEAT_PERIOD;
	return WS_ED_BEAT_PERIOD * (ws_us)p->n / WS_ED_BEAT_MEMBERS;
}

bool ws_ed_member_alive(const struct ws_ed_peers *p,
			const struct ws_ed_member *m, ws_us now)
{
	ws_us most = WS_ED_ALIVE_PERIODS * ws_ed_peers_period(p);

	return m->heard &&
	       now - m->heard < (most > WS_ED_ALIVE ? most : WS_ED_ALIVE);
}

size_t ws_ed_peers_count(const struct ws_ed_peers *p)
{
	size_t n = 1;
	size_t i;

	for (i = 0; i < p->n; i++)
		n += p->members[i].heard != 0;
	return n;
}

size_t ws_ed_peers_alive(const struct ws_ed_peers *p, ws_us now)
{
	size_t n = 1;
	size_t i;

	for (i = 0; i < p->n; i++)
		n += ws_ed_member_alive(p, &p->members[i], now) &&
		     !p->members[i].leaving;
	return n;
}

size_t ws_ed_peers_rank(const struct ws_ed_peers *p, ws_us now)
{
	size_t rank = 0;
	size_t i;

	for (i = 0; i < p->n; i++)
		rank += p->members[i].id < p->self && !p->members[i].leaving &&
			p->members[i].store_sound &&
			ws_ed_member_alive(p, &p->members[i], now);
	return rank;
}

bool ws_ed_peers_reader(const struct ws_ed_peers *p, ws_us now)
{
	return ws_ed_peers_rank(p, now) < WS_ED_READERS;
}

static int by_time_down(const void *a, const void *b)
{
	ws_us x = *(const ws_us *)a;
	ws_us y = *(const ws_us *)b;

	return (x < y) - (x > y);
}

ws_us ws_ed_peers_quorum(const struct ws_ed_peers *p, ws_us now, uint64_t epoch)
{
	ws_us *at = ws_alloc(p->n + 1, sizeof(*at));
	ws_us res;
	size_t i;

	at[0] = now;
	for (i = 0; i < p->n; i++)
		at[i + 1] = p->members[i].epoch > epoch ? 0 :
							  p->members[i].echoed;
	qsort(at, p->n + 1, sizeof(*at), by_time_down);
	res = at[(p->n + 1) / 2];
	free(at);
	return res;
}

void ws_ed_peers_tick(struct ws_ed_peers *p, ws_us now)
{
	size_t i = 0;

	while (i < p->n) {
		const struct ws_ed_member *m = &p->members[i];
		ws_us last = m->heard > m->listed ? m->heard : m->listed;

		if (now - last > WS_ED_FORGET)
			p->members[i] = p->members[--p->n];
		else
			i++;
	}
}
