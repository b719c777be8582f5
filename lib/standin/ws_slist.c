#include "standin/ws_slist.h"

#include <stdlib.h>
#include <string.h>

#include "standin/ws_slog.h"

#define LIST_TEXT_MAX ((size_t)4 * 1024 * 1024)
#define TTL_MS_MAX 86400000

/* ===== Copies ===== */

static char *write_list(const struct ws_slist *l)
{
	json_t *entries = json_array();
	json_t *o = json_pack("{s:o}", "entries", entries);
	char *text;
	size_t i;

	for (i = 0; i < l->n_entries; i++)
		json_array_append(entries, l->entries[i].node);
	text = json_dumps(o, JSON_COMPACT);
	WS_INVARIANT(text);
	json_decref(o);
	return text;
}

static void drop_oldest_copy(struct ws_slist *l)
{
	free(l->snapshots[0].text);
	l->n_snapshots--;
	memmove(l->snapshots, l->snapshots + 1,
		l->n_snapshots * sizeof(l->snapshots[0]));
}

static void keep_copy(struct ws_slist *l, ws_us now)
{
	struct ws_slist_snapshot *c;

	if (l->n_snapshots == WS_SLIST_SNAPSHOTS_MAX)
		drop_oldest_copy(l);
	c = &l->snapshots[l->n_snapshots++];
	c->since = now;
	c->text = write_list(l);
}

/* ===== Entries ===== */

static void remove_entry(struct ws_slist *l, size_t i)
{
	json_decref(l->entries[i].node);
	l->n_entries--;
	memmove(l->entries + i, l->entries + i + 1,
		(l->n_entries - i) * sizeof(*l->entries));
}

static void add_entry(struct ws_slist *l, json_t *node, ws_us expires)
{
	ws_grow(&l->entries, &l->cap, l->n_entries + 1, sizeof(*l->entries));
	l->entries[l->n_entries].node = json_incref(node);
	l->entries[l->n_entries].expires = expires;
	l->n_entries++;
}

/* Ids decide where both have one, else names. */
static bool same_entry(const json_t *a, const json_t *b)
{
	json_t *x = json_object_get(a, "id");
	json_t *y = json_object_get(b, "id");

	if (x && y)
		return json_equal(x, y);
	return !x && !y &&
	       json_equal(json_object_get(a, "name"),
			  json_object_get(b, "name"));
}

/* A restarted instance has a new id and is another entry. */
static void remove_same(struct ws_slist *l, const json_t *node)
{
	size_t i = 0;

	while (i < l->n_entries) {
		if (same_entry(l->entries[i].node, node))
			remove_entry(l, i);
		else
			i++;
	}
}

static void remove_permanent(struct ws_slist *l)
{
	size_t i = 0;

	while (i < l->n_entries) {
		if (!l->entries[i].expires)
			remove_entry(l, i);
		else
			i++;
	}
}

/* Index of the entry that expires first, or n when none has a limit. */
static size_t first_to_expire(const struct ws_slist *l)
{
	size_t first = l->n_entries;
	size_t i;

	for (i = 0; i < l->n_entries; i++) {
		if (!l->entries[i].expires)
			continue;
		if (first == l->n_entries ||
		    l->entries[i].expires < l->entries[first].expires)
			first = i;
	}
	return first;
}

/* Removes what has outlived its time, each at the time when it expired. */
static void expire(struct ws_slist *l, ws_us now)
{
	size_t i = first_to_expire(l);
	ws_us at;

	while (i < l->n_entries && l->entries[i].expires <= now) {
		at = l->entries[i].expires;
		remove_entry(l, i);
		keep_copy(l, at);
		i = first_to_expire(l);
	}
}

struct ws_slist *ws_slist_new(void)
{
	struct ws_slist *l = ws_alloc(1, sizeof(*l));

	keep_copy(l, INT64_MIN);
	return l;
}

void ws_slist_free(struct ws_slist *l)
{
	while (l->n_entries)
		remove_entry(l, l->n_entries - 1);
	while (l->n_snapshots)
		drop_oldest_copy(l);
	free(l->entries);
	free(l);
}

static int check_list(const char *text, struct ws_codec_error *why)
{
	struct ws_list_entry *entries;
	size_t n;
	int res = ws_codec_list_parse(text, &entries, &n, why);

	free(entries);
	return res;
}

static void set_entries(const struct ws_json *root, struct ws_slist *l,
			ws_us now)
{
	json_t *node;
	size_t i;

	expire(l, now);
	remove_permanent(l);
	json_array_foreach(json_object_get(root->node, "entries"), i, node)
	{
		remove_same(l, node);
		add_entry(l, node, 0);
	}
	keep_copy(l, now);
}

int ws_slist_set(struct ws_slist *l, ws_us now, const char *text,
		 struct ws_codec_error *why)
{
	struct ws_json root;
	int res = check_list(text, why);

	if (ws_is_error(res))
		return res;
	res = ws_json_open(text, LIST_TEXT_MAX, "list", &root, why);
	if (ws_is_error(res))
		return res;
	set_entries(&root, l, now);
	ws_json_close(&root);
	return 0;
}

/* Checks one entry by the rules for whole lists. */
static int check_entry(json_t *node, struct ws_codec_error *why)
{
	json_t *o = json_pack("{s:[O]}", "entries", node);
	char *text = json_dumps(o, JSON_COMPACT);
	int res = check_list(text, why);

	free(text);
	json_decref(o);
	return res;
}

static int read_register(const struct ws_json *j, struct ws_slist *l, ws_us now)
{
	uint64_t ttl;
	int res;

	if (ws_json_uint(j, "ttl_ms", 0, TTL_MS_MAX, &ttl))
		return WS_ERR_SYNTAX;
	json_object_del(j->node, "ttl_ms");
	res = check_entry(j->node, j->err);
	if (ws_is_error(res))
		return res;
	expire(l, now);
	remove_same(l, j->node);
	if (ttl)
		add_entry(l, j->node, now + (ws_us)ttl * WS_MS);
	keep_copy(l, now);
	return 0;
}

int ws_slist_register(struct ws_slist *l, ws_us now, const char *text,
		      struct ws_codec_error *why)
{
	struct ws_json root;
	int res = ws_json_open(text, LIST_TEXT_MAX, "registration", &root, why);

	if (ws_is_error(res))
		return res;
	res = read_register(&root, l, now);
	ws_json_close(&root);
	return res;
}

int ws_slist_post(struct ws_slist *l, ws_us now, const char *text,
		  struct ws_codec_error *why)
{
	struct ws_json root;
	bool whole;
	int res = ws_json_open(text, LIST_TEXT_MAX, "list", &root, why);

	if (ws_is_error(res))
		return res;
	whole = ws_json_has(&root, "entries");
	ws_json_close(&root);
	return whole ? ws_slist_set(l, now, text, why) :
		       ws_slist_register(l, now, text, why);
}

/* ===== Answers ===== */

const char *ws_slist_response(struct ws_slist *l, ws_us now)
{
	ws_us as_of = now - l->lag;
	size_t i;

	expire(l, now);
	if (l->stuck_since && l->stuck_since < as_of)
		as_of = l->stuck_since;
	for (i = l->n_snapshots; i-- > 1;)
		if (l->snapshots[i].since <= as_of)
			return l->snapshots[i].text;
	return l->snapshots[0].text;
}

/* ===== Faults ===== */

static int read_faults(const struct ws_json *j, struct ws_slist *l, ws_us now)
{
	static const char *const fields[] = { "down_ms", "silent_ms", "slow_ms",
					      "lag_ms",	 "stuck",     NULL };
	uint32_t slow = (uint32_t)(l->response_delay / WS_MS);
	uint32_t lag = (uint32_t)(l->lag / WS_MS);
	bool stuck = l->stuck_since != 0;

	if (ws_json_check_fields(j, fields) ||
	    ws_standin_read_end_time(j, "down_ms", now, &l->down_until) ||
	    ws_standin_read_end_time(j, "silent_ms", now, &l->silent_until) ||
	    ws_standin_read_count(j, "slow_ms", &slow) ||
	    ws_standin_read_count(j, "lag_ms", &lag))
		return WS_ERR_SYNTAX;
	if (ws_json_has(j, "stuck") && ws_json_bool(j, "stuck", &stuck))
		return WS_ERR_SYNTAX;
	l->response_delay = slow * WS_MS;
	l->lag = lag * WS_MS;
	if (!stuck)
		l->stuck_since = 0;
	else if (!l->stuck_since)
		l->stuck_since = now;
	return 0;
}

int ws_slist_set_faults(struct ws_slist *l, ws_us now, const char *text,
			struct ws_codec_error *why)
{
	struct ws_json root;
	int res = ws_json_open(text, LIST_TEXT_MAX, "fault", &root, why);

	if (ws_is_error(res))
		return res;
	res = read_faults(&root, l, now);
	ws_json_close(&root);
	return res;
}
