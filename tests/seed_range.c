#include "seed_range.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/ws_common.h"

struct seed_range seed_range_get(uint64_t default_last)
{
	struct seed_range r = { .first = 1, .last = default_last };
	const char *text = getenv("WS_SEEDS");
	char *end;

	if (!text)
		return r;
	r.first = strtoull(text, &end, 10);
	r.last = r.first;
	if (end[0] == '.' && end[1] == '.')
		r.last = strtoull(end + 2, NULL, 10);
	return r;
}

int rand_percent(struct ws_rand *r, unsigned percent)
{
	return ws_rand_below(r, 100) < percent;
}
