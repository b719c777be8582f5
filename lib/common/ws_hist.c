#include "common/ws_hist.h"

static size_t bucket_index(uint64_t v)
{
	unsigned exp;
	unsigned shift;

	if (v < WS_HIST_SUB)
		return (size_t)v;
	exp = 63 - (unsigned)__builtin_clzll(v);
	if (exp >= WS_HIST_MAX_BITS)
		return WS_HIST_BUCKETS - 1;
	shift = exp - WS_HIST_SUB_BITS;
	return (size_t)shift * WS_HIST_SUB + (size_t)(v >> shift);
}

/* Returns the largest value that a bucket counts. */
static ws_us bucket_max_value(size_t bucket)
{
	size_t shift;
	uint64_t sub;

	if (bucket < WS_HIST_SUB)
		return (ws_us)bucket;
	shift = bucket / WS_HIST_SUB - 1;
	sub = bucket % WS_HIST_SUB + WS_HIST_SUB;
	return (ws_us)(((sub + 1) << shift) - 1);
}

void ws_hist_add(struct ws_hist *h, ws_us value)
{
	if (value < 0)
		value = 0;
	h->count++;
	h->sum += (uint64_t)value;
	if (value > h->max)
		h->max = value;
	h->bucket[bucket_index((uint64_t)value)]++;
}

void ws_hist_merge(struct ws_hist *h, const struct ws_hist *from)
{
	size_t i;

	h->count += from->count;
	h->sum += from->sum;
	if (from->max > h->max)
		h->max = from->max;
	for (i = 0; i < WS_HIST_BUCKETS; i++)
		h->bucket[i] += from->bucket[i];
}

ws_us ws_hist_quantile(const struct ws_hist *h, double q)
{
	uint64_t rank = (uint64_t)(q * (double)h->count + 0.5);
	uint64_t cumulative = 0;
	size_t i;

	if (!h->count)
		return 0;
	if (!rank)
		rank = 1;
	for (i = 0; i < WS_HIST_BUCKETS; i++) {
		cumulative += h->bucket[i];
		if (cumulative >= rank)
			break;
	}
	/* The last bucket has no upper bound. */
	if (i >= WS_HIST_BUCKETS - 1 || bucket_max_value(i) > h->max)
		return h->max;
	return bucket_max_value(i);
}

uint64_t ws_hist_at_most(const struct ws_hist *h, ws_us bound)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < WS_HIST_BUCKETS && bucket_max_value(i) <= bound; i++)
		n += h->bucket[i];
	return n;
}

ws_us ws_hist_mean(const struct ws_hist *h)
{
	return h->count ? (ws_us)(h->sum / h->count) : 0;
}
