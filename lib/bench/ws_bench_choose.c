#include "bench/ws_bench.h"

#include <math.h>
#include <string.h>

double ws_bench_random(struct ws_rand *rand)
{
	return (double)(ws_rand_next(rand) >> 11) * 0x1.0p-53;
}

double ws_bench_exponential(struct ws_rand *rand)
{
	return -log(1.0 - ws_bench_random(rand));
}

const char *ws_bench_pick_weighted(const struct ws_bench_shares *s,
				   struct ws_rand *rand)
{
	double x = ws_bench_random(rand) * s->total;
	size_t i;

	for (i = 0; i + 1 < s->n; i++) {
		x -= s->items[i].share;
		if (x < 0)
			break;
	}
	return s->items[i].text;
}

double *ws_bench_zipf_table(unsigned n, double exponent)
{
	double *table;
	double sum = 0;
	unsigned i;

	if (exponent <= 0)
		return NULL;
	table = ws_alloc(n, sizeof(*table));
	for (i = 0; i < n; i++) {
		sum += pow(i + 1, -exponent);
		table[i] = sum;
	}
	return table;
}

unsigned ws_bench_pick_key(const double *table, unsigned n,
			   struct ws_rand *rand)
{
	unsigned low = 0;
	unsigned high = n - 1;
	unsigned mid;
	double x;

	if (!table)
		return (unsigned)ws_rand_below(rand, n);
	x = ws_bench_random(rand) * table[n - 1];
	while (low < high) {
		mid = low + (high - low) / 2;
		if (table[mid] <= x)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

void ws_bench_uuid7(struct ws_rand *rand, int64_t wall_ms, char *out)
{
	uint64_t a = ws_rand_next(rand);
	uint64_t b = ws_rand_next(rand);
	uint64_t ms = (uint64_t)wall_ms & 0xffffffffffffULL;

	snprintf(out, 37, "%08x-%04x-7%03x-%04x-%012llx", (unsigned)(ms >> 16),
		 (unsigned)(ms & 0xffff), (unsigned)(a & 0xfff),
		 (unsigned)(0x8000 | ((a >> 12) & 0x3fff)),
		 (unsigned long long)(b & 0xffffffffffffULL));
}
