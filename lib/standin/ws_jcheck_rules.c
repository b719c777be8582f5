#include "standin/ws_jcheck_parts.h"

#include <string.h>

/* ===== At most once ===== */

/* Reports a second execution with the same text. */
static void check_once(struct ws_jcheck *c, GHashTable *seen, unsigned kind,
		       const char *text, struct ws_jcheck_execution *r)
{
	struct ws_jcheck_execution *first = g_hash_table_lookup(seen, text);

	if (!first) {
		g_hash_table_insert(seen, (gpointer)text, r);
		return;
	}
	ws_jcheck_add_violation(c, kind, "%s ran at %s (%s) and at %s (%s)",
				text, first->owner, first->source, r->owner,
				r->source);
}

void ws_jcheck_check_request_ids(struct ws_jcheck *c)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *bodies = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < c->runs->len; i++) {
		struct ws_jcheck_execution *r = g_ptr_array_index(c->runs, i);

		if (r->idempotent)
			continue;
		if (r->has_id)
			check_once(c, ids, WS_JCHECK_RAN_TWICE, r->id, r);
		else
			ws_jcheck_add_violation(
				c, WS_JCHECK_NO_ID,
				"%s: a non-idempotent request ran "
				"without an id",
				r->source);
		if (c->unique_bodies)
			check_once(c, bodies, WS_JCHECK_BODY_RAN_TWICE, r->body,
				   r);
	}
	g_hash_table_destroy(ids);
	g_hash_table_destroy(bodies);
}

/* ===== One owner ===== */

static int compare_starts(gconstpointer a, gconstpointer b)
{
	const struct ws_jcheck_execution *x =
		*(struct ws_jcheck_execution *const *)a;
	const struct ws_jcheck_execution *y =
		*(struct ws_jcheck_execution *const *)b;

	if (x->start != y->start)
		return x->start < y->start ? -1 : 1;
	return strcmp(x->owner, y->owner);
}

/*
 * The execution that ends last, and the one that ends last at another owner;
 * together they tell whether a new one overlaps one of another owner.
 */
struct tail {
	const struct ws_jcheck_execution *last;
	const struct ws_jcheck_execution *other;
};

static const struct ws_jcheck_execution *
last_elsewhere(const struct tail *t, const struct ws_jcheck_execution *r)
{
	if (t->last && strcmp(t->last->owner, r->owner) != 0)
		return t->last;
	return t->other;
}

static void push_tail(struct tail *t, const struct ws_jcheck_execution *r)
{
	if (!t->last) {
		t->last = r;
	} else if (strcmp(t->last->owner, r->owner) == 0) {
		if (r->end > t->last->end)
			t->last = r;
	} else if (r->end > t->last->end) {
		t->other = t->last;
		t->last = r;
	} else if (!t->other || r->end > t->other->end) {
		t->other = r;
	}
}

static void check_overlap(struct ws_jcheck *c, const char *name,
			  const struct ws_jcheck_execution *before,
			  const struct ws_jcheck_execution *r)
{
	if (before->end <= r->start)
		return;
	if (before->frozen) {
		c->counts.frozen_overlaps++;
		return;
	}
	ws_jcheck_add_violation(
		c, WS_JCHECK_TWO_OWNERS,
		"%s: %s ran until %lld us (%s), %s from %lld us (%s)", name,
		before->owner, (long long)before->end, before->source, r->owner,
		(long long)r->start, r->source);
}

/* An execution under a lower fence after one under a higher fence. */
static void check_fence(struct ws_jcheck *c, const char *name,
			const struct ws_jcheck_execution *highest,
			const struct ws_jcheck_execution *r)
{
	if (!highest || r->fence >= highest->fence ||
	    strcmp(highest->owner, r->owner) == 0)
		return;
	ws_jcheck_add_violation(
		c, WS_JCHECK_FENCE_DECREASED,
		"%s: %s ran under fence %lld (%s) after %s under fence "
		"%lld (%s)",
		name, r->owner, (long long)r->fence, r->source, highest->owner,
		(long long)highest->fence, highest->source);
}

static void check_group(struct ws_jcheck *c, const char *name, GPtrArray *runs,
			bool fenced)
{
	const struct ws_jcheck_execution *highest = NULL;
	struct tail tail = { NULL, NULL };
	guint i;

	g_ptr_array_sort(runs, compare_starts);
	for (i = 0; i < runs->len; i++) {
		const struct ws_jcheck_execution *r =
			g_ptr_array_index(runs, i);
		const struct ws_jcheck_execution *before =
			last_elsewhere(&tail, r);

		if (before)
			check_overlap(c, name, before, r);
		if (fenced)
			check_fence(c, name, highest, r);
		if (!highest || r->fence > highest->fence)
			highest = r;
		push_tail(&tail, r);
	}
}

static void note_pause(struct ws_jcheck *c, const char *key, ws_us pause)
{
	if (pause > c->counts.longest_pause)
		c->counts.longest_pause = pause;
	if (!c->watched || strcmp(c->watched, key) != 0)
		return;
	c->counts.watched_changes++;
	if (pause > c->counts.watched_pause)
		c->counts.watched_pause = pause;
}

/* Counts changes of owner and the pauses that they made for callers. */
static void count_changes(struct ws_jcheck *c, const char *name,
			  GPtrArray *runs, bool keys)
{
	guint i;

	for (i = 1; i < runs->len; i++) {
		const struct ws_jcheck_execution *a =
			g_ptr_array_index(runs, i - 1);
		const struct ws_jcheck_execution *b =
			g_ptr_array_index(runs, i);

		if (strcmp(a->owner, b->owner) == 0)
			continue;
		if (keys)
			note_pause(c, name, b->start - a->end);
		else
			c->counts.owner_changes++;
	}
}

/* Groups the executions of sharded services by shard or by key. */
static GHashTable *group(const struct ws_jcheck *c, bool keys)
{
	GHashTable *groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	GPtrArray *list;
	char *name;
	guint i;

	for (i = 0; i < c->runs->len; i++) {
		struct ws_jcheck_execution *r = g_ptr_array_index(c->runs, i);

		name = keys ? r->key : r->resource;
		if (!name)
			continue;
		list = g_hash_table_lookup(groups, name);
		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(groups, name, list);
		}
		g_ptr_array_add(list, r);
	}
	return groups;
}

static void check_groups(struct ws_jcheck *c, bool keys)
{
	GHashTable *groups = group(c, keys);
	GHashTableIter it;
	gpointer name;
	gpointer runs;

	g_hash_table_iter_init(&it, groups);
	while (g_hash_table_iter_next(&it, &name, &runs)) {
		check_group(c, name, runs, !keys);
		count_changes(c, name, runs, keys);
	}
	if (!keys)
		c->counts.resources = g_hash_table_size(groups);
	g_hash_table_destroy(groups);
}

void ws_jcheck_check_ownership(struct ws_jcheck *c)
{
	guint i;

	/* An interrupted execution has no known end. */
	for (i = 0; i < c->runs->len; i++) {
		struct ws_jcheck_execution *r = g_ptr_array_index(c->runs, i);

		if (!r->ended)
			r->end = r->start;
	}
	check_groups(c, false);
	check_groups(c, true);
}
