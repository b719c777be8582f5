#include "core/ws_place.h"

#include <stdlib.h>

/*
 * Two heaps over the same bins give the least and the most loaded one in
 * logarithmic time. With 4,800 bins and 65,536 items, a scan per item would
 * take seconds.
 */
struct heap {
	const struct ws_place_bin *bins;
	uint32_t *slot; /* heap position -> bin */
	uint32_t *pos; /* bin -> heap position */
	size_t n;
	bool most;
};

struct plan {
	struct ws_place_item *items;
	struct ws_place_bin *bins;
	size_t n_bins;
	uint32_t *head; /* first item of each bin, as an item index */
	uint32_t *next; /* next item of the same bin */
	struct heap least;
	struct heap most;
};

/* ===== Heaps ===== */

static bool heap_before(const struct heap *h, uint32_t a, uint32_t b)
{
	const struct ws_place_bin *x = &h->bins[a];
	const struct ws_place_bin *y = &h->bins[b];

	if (x->load != y->load)
		return h->most ? x->load > y->load : x->load < y->load;
	return h->most ? x->id > y->id : x->id < y->id;
}

static void heap_set(struct heap *h, size_t i, uint32_t bin)
{
	h->slot[i] = bin;
	h->pos[bin] = (uint32_t)i;
}

static void sift_up(struct heap *h, size_t i)
{
	uint32_t bin = h->slot[i];

	while (i && heap_before(h, bin, h->slot[(i - 1) / 2])) {
		heap_set(h, i, h->slot[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_set(h, i, bin);
}

static void sift_down(struct heap *h, size_t i)
{
	uint32_t bin = h->slot[i];
	size_t c;

	while ((c = 2 * i + 1) < h->n) {
		if (c + 1 < h->n && heap_before(h, h->slot[c + 1], h->slot[c]))
			c++;
		if (!heap_before(h, h->slot[c], bin))
			break;
		heap_set(h, i, h->slot[c]);
		i = c;
	}
	heap_set(h, i, bin);
}

static void heap_update(struct heap *h, uint32_t bin)
{
	sift_up(h, h->pos[bin]);
	sift_down(h, h->pos[bin]);
}

static void heap_init(struct heap *h, const struct ws_place_bin *bins, size_t n,
		      bool most)
{
	size_t i;

	h->bins = bins;
	h->n = n;
	h->most = most;
	h->slot = ws_alloc(n, sizeof(*h->slot));
	h->pos = ws_alloc(n, sizeof(*h->pos));
	for (i = 0; i < n; i++)
		heap_set(h, i, (uint32_t)i);
	for (i = n; i-- > 0;)
		sift_down(h, i);
}

static void heap_free(struct heap *h)
{
	free(h->slot);
	free(h->pos);
}

/* ===== Moves ===== */

static void update_heaps(struct plan *p, uint32_t bin)
{
	heap_update(&p->least, bin);
	heap_update(&p->most, bin);
}

static void add_item(struct plan *p, uint32_t item, uint32_t bin)
{
	p->items[item].to = bin;
	p->next[item] = p->head[bin];
	p->head[bin] = item;
}

static void remove_item(struct plan *p, uint32_t item)
{
	uint32_t *at = &p->head[p->items[item].to];

	while (*at != item)
		at = &p->next[*at];
	*at = p->next[item];
}

static void place_on_least(struct plan *p, uint32_t item)
{
	uint32_t bin = p->least.slot[0];

	add_item(p, item, bin);
	p->bins[bin].load += p->items[item].weight;
	update_heaps(p, bin);
}

static int compare_weight(const void *a, const void *b)
{
	const struct ws_place_item *const *x = a;
	const struct ws_place_item *const *y = b;

	if ((*x)->weight != (*y)->weight)
		return (*x)->weight > (*y)->weight ? -1 : 1;
	if ((*x)->id != (*y)->id)
		return (*x)->id < (*y)->id ? -1 : 1;
	return 0;
}

/*
 * Places the heaviest items first, so that the lightest ones, placed last, even
 * out the remaining differences.
 */
static void place_unassigned(struct plan *p, size_t n_items)
{
	struct ws_place_item **order =
		ws_alloc(n_items, sizeof(struct ws_place_item *));
	size_t n = 0;
	size_t i;

	for (i = 0; i < n_items; i++)
		if (p->items[i].to == WS_PLACE_NONE)
			order[n++] = &p->items[i];
	qsort(order, n, sizeof(struct ws_place_item *), compare_weight);
	for (i = 0; i < n; i++)
		place_on_least(p, (uint32_t)(order[i] - p->items));
	free(order);
}

/* Returns the heaviest item of a bin whose weight is at most limit. */
static uint32_t find_item(const struct plan *p, uint32_t bin, uint64_t limit)
{
	uint32_t best = WS_PLACE_NONE;
	uint32_t i;

	for (i = p->head[bin]; i != WS_PLACE_NONE; i = p->next[i]) {
		const struct ws_place_item *it = &p->items[i];

		if (it->weight > limit)
			continue;
		if (best == WS_PLACE_NONE ||
		    it->weight > p->items[best].weight ||
		    (it->weight == p->items[best].weight &&
		     it->id < p->items[best].id))
			best = i;
	}
	return best;
}

/*
 * Moves one item from the most to the least loaded bin. Its weight is at most
 * half of the difference, otherwise the two bins would only swap roles.
 */
static bool rebalance_once(struct plan *p)
{
	uint32_t full = p->most.slot[0];
	uint32_t low = p->least.slot[0];
	uint64_t gap = p->bins[full].load - p->bins[low].load;
	uint32_t item = find_item(p, full, gap / 2);

	/*
	 * A gap of up to a tenth does not justify interrupting the service of a
	 * key.
	 */
	if (item == WS_PLACE_NONE || gap * 10 <= p->bins[full].load)
		return false;
	remove_item(p, item);
	add_item(p, item, low);
	p->bins[full].load -= p->items[item].weight;
	p->bins[low].load += p->items[item].weight;
	update_heaps(p, full);
	update_heaps(p, low);
	return true;
}

/* ===== Entry point ===== */

static void plan_init(struct plan *p, struct ws_place_item *items,
		      size_t n_items, struct ws_place_bin *bins, size_t n_bins)
{
	uint32_t i;

	p->items = items;
	p->bins = bins;
	p->n_bins = n_bins;
	p->head = ws_alloc(n_bins, sizeof(*p->head));
	p->next = ws_alloc(n_items, sizeof(*p->next));
	for (i = 0; i < n_bins; i++)
		p->head[i] = WS_PLACE_NONE;
	for (i = 0; i < n_items; i++) {
		items[i].to = WS_PLACE_NONE;
		if (items[i].from >= n_bins)
			continue;
		add_item(p, i, items[i].from);
		bins[items[i].from].load += items[i].weight;
	}
	heap_init(&p->least, bins, n_bins, false);
	heap_init(&p->most, bins, n_bins, true);
}

static void plan_free(struct plan *p)
{
	free(p->head);
	free(p->next);
	heap_free(&p->least);
	heap_free(&p->most);
}

size_t ws_place(struct ws_place_item *items, size_t n_items,
		struct ws_place_bin *bins, size_t n_bins, bool rebalance)
{
	struct plan p;
	size_t moved = 0;
	size_t steps = n_items;
	size_t i;

	if (!n_bins) {
		for (i = 0; i < n_items; i++)
			items[i].to = WS_PLACE_NONE;
		return 0;
	}
	plan_init(&p, items, n_items, bins, n_bins);
	place_unassigned(&p, n_items);
	while (rebalance && steps-- > 0 && rebalance_once(&p))
		;
	plan_free(&p);
	for (i = 0; i < n_items; i++)
		moved += items[i].to != items[i].from;
	return moved;
}
