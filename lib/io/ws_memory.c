#include "io/ws_memory.h"

#include <malloc.h>

/* Smaller peaks leave little behind. */
#define TRIM_PEAK_MIN ((size_t)8 * 1024 * 1024)

void ws_memory_force(struct ws_memory *m, size_t n)
{
	m->used += n;
	if (m->used > m->peak)
		m->peak = m->used;
}

static bool take_below(struct ws_memory *m, size_t max, size_t n)
{
	if (m->max && (n > max || m->used > max - n)) {
		m->n_refused++;
		return false;
	}
	ws_memory_force(m, n);
	return true;
}

bool ws_memory_take(struct ws_memory *m, size_t n)
{
	return take_below(m, m->max, n);
}

bool ws_memory_take_for_answer(struct ws_memory *m, size_t n)
{
#ifdef WS_MUTANT_NO_MEMORY_FOR_REQUESTS
	return ws_memory_take(m, n);
#endif
	return take_below(m, m->max - m->reserve, n);
}

void ws_memory_give(struct ws_memory *m, size_t n)
{
	WS_INVARIANT(n <= m->used);
	m->used -= n;
}

void ws_memory_trim(struct ws_memory *m)
{
	if (m->peak < TRIM_PEAK_MIN || m->used > m->peak / 2)
		return;
	m->peak = m->used;
	malloc_trim(0);
}
