#include "standin/ws_jcheck_parts.h"

#include <string.h>

/* ===== Violations ===== */

const char *ws_jcheck_kind_name(unsigned kind)
{
	static const char *const names[WS_JCHECK_KINDS] = {
		[WS_JCHECK_UNREADABLE] = "unreadable_line",
		[WS_JCHECK_RAN_TWICE] = "ran_twice",
		[WS_JCHECK_NO_ID] = "no_request_id",
		[WS_JCHECK_BODY_RAN_TWICE] = "body_ran_twice",
		[WS_JCHECK_FENCE_DECREASED] = "fence_went_back",
		[WS_JCHECK_TWO_OWNERS] = "two_owners",
		[WS_JCHECK_CALLER_KEY_SEEN] = "caller_key_seen",
		[WS_JCHECK_ABOVE_LIMIT] = "above_limit",
		[WS_JCHECK_COLLAPSE] = "collapse",
		[WS_JCHECK_WORK_WHILE_LEAVING] = "work_while_leaving",
		[WS_JCHECK_WORK_OUT_OF_SERVICE] = "work_out_of_service",
	};

	WS_INVARIANT(kind < WS_JCHECK_KINDS);
	return names[kind];
}

void ws_jcheck_add_violation(struct ws_jcheck *c, unsigned kind,
			     const char *fmt, ...)
{
	va_list args;
	char *text;

	c->violations[kind]++;
	if (c->texts->len >= WS_JCHECK_TEXTS_MAX)
		return;
	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	g_ptr_array_add(c->texts,
			g_strdup_printf("%s: %s", ws_jcheck_kind_name(kind),
					text));
	g_free(text);
}

/* ===== Life ===== */

static void free_run(gpointer p)
{
	struct ws_jcheck_execution *r = p;

	g_free(r->source);
	g_free(r->owner);
	g_free(r->resource);
	g_free(r->key);
	g_free(r->id);
	g_free(r->body);
	g_free(r);
}

struct ws_jcheck *ws_jcheck_new(bool unique_bodies)
{
	struct ws_jcheck *c = g_new0(struct ws_jcheck, 1);

	c->unique_bodies = unique_bodies;
	c->texts = g_ptr_array_new_with_free_func(g_free);
	c->runs = g_ptr_array_new_with_free_func(free_run);
	c->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->unfinished =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

void ws_jcheck_free(struct ws_jcheck *c)
{
	g_hash_table_destroy(c->unfinished);
	g_hash_table_destroy(c->zones_out);
	g_ptr_array_unref(c->runs);
	g_ptr_array_unref(c->texts);
	g_free(c->watched);
	g_free(c);
}

/* ===== Lines ===== */

static const char *text_of(const json_t *o, const char *field)
{
	const char *text = json_string_value(json_object_get(o, field));

	return text ? text : "";
}

static int64_t int_of(const json_t *o, const char *field)
{
	return json_integer_value(json_object_get(o, field));
}

static bool flag_of(const json_t *o, const char *field)
{
	return json_is_true(json_object_get(o, field));
}

static char *resource_of(const json_t *o)
{
	json_t *shard = json_object_get(o, "shard");
	const char *hot = text_of(o, "hot_key");

	if (hot[0])
		return g_strdup_printf("%s hot key %s", text_of(o, "service"),
				       hot);
	if (json_is_integer(shard))
		return g_strdup_printf("%s shard %lld", text_of(o, "service"),
				       (long long)json_integer_value(shard));
	return NULL;
}

static char *key_of(const json_t *o)
{
	const char *key = text_of(o, "key");

	if (!key[0])
		return NULL;
	return g_strdup_printf("%s key %s", text_of(o, "service"), key);
}

/* The caller's id where the target saw one, else the router's. */
static const char *id_of(const json_t *o)
{
	const char *id = text_of(o, "idempotency_key");

	return id[0] ? id : text_of(o, "request");
}

static struct ws_jcheck_execution *read_run(const json_t *o, const char *source)
{
	struct ws_jcheck_execution *r = g_new0(struct ws_jcheck_execution, 1);

	r->source = g_strdup(source);
	r->owner = g_strdup_printf("%s/%s", text_of(o, "target"),
				   text_of(o, "incarnation"));
	r->resource = resource_of(o);
	r->key = key_of(o);
	r->has_id = id_of(o)[0] != '\0';
	r->id = g_strdup_printf("%s/%s/%s", text_of(o, "service"),
				text_of(o, "customer"), id_of(o));
	r->body = g_strdup_printf("%s/%s/%s", text_of(o, "service"),
				  text_of(o, "customer"), text_of(o, "body"));
	r->idempotent = flag_of(o, "idempotent");
	r->frozen = flag_of(o, "frozen");
	r->fence = int_of(o, "fence");
	r->start = int_of(o, "start_us");
	r->end = int_of(o, "end_us");
	return r;
}

static char *open_name(const struct ws_jcheck_execution *r)
{
	return g_strdup_printf("%s %s %lld", r->owner, r->id,
			       (long long)r->start);
}

/* ===== Rules over single lines ===== */

static void check_start(struct ws_jcheck *c, const json_t *o,
			const char *source)
{
	if (int_of(o, "concurrency") > int_of(o, "limit"))
		ws_jcheck_add_violation(
			c, WS_JCHECK_ABOVE_LIMIT,
			"%s: %lld requests at once, %lld allowed", source,
			(long long)int_of(o, "concurrency"),
			(long long)int_of(o, "limit"));
	if (int_of(o, "leaving_us") > WS_JCHECK_LEAVING_GRACE)
		ws_jcheck_add_violation(
			c, WS_JCHECK_WORK_WHILE_LEAVING,
			"%s: new work %lld ms after leaving", source,
			(long long)(int_of(o, "leaving_us") / WS_MS));
}

/* Lines of one target are in the order of time. */
static void on_zone(struct ws_jcheck *c, const json_t *o, bool out)
{
	ws_us *since;

	if (!out) {
		g_hash_table_remove(c->zones_out, text_of(o, "target"));
		return;
	}
	since = g_new(ws_us, 1);
	*since = int_of(o, "start_us");
	g_hash_table_replace(c->zones_out, g_strdup(text_of(o, "target")),
			     since);
}

static void check_zone(struct ws_jcheck *c, const json_t *o, const char *source)
{
	const ws_us *since =
		g_hash_table_lookup(c->zones_out, text_of(o, "target"));
	ws_us late;

	if (!since)
		return;
	late = int_of(o, "start_us") - *since;
	if (late > WS_JCHECK_LEAVING_GRACE)
		ws_jcheck_add_violation(
			c, WS_JCHECK_WORK_OUT_OF_SERVICE,
			"%s: new work %lld ms after zone %s left service",
			source, (long long)(late / WS_MS), text_of(o, "zone"));
}

static void check_authorization(struct ws_jcheck *c, const json_t *o,
				const char *source)
{
	if (flag_of(o, "authorization"))
		ws_jcheck_add_violation(
			c, WS_JCHECK_CALLER_KEY_SEEN,
			"%s: request %s had an Authorization header", source,
			text_of(o, "request"));
}

/* ===== Events ===== */

static void on_begin(struct ws_jcheck *c, const json_t *o, const char *source)
{
	struct ws_jcheck_execution *r = read_run(o, source);

	c->counts.started++;
	check_start(c, o, source);
	check_zone(c, o, source);
	check_authorization(c, o, source);
	g_ptr_array_add(c->runs, r);
	g_hash_table_replace(c->unfinished, open_name(r), r);
}

/* Ends the execution that began with the same request and start. */
static void on_end(struct ws_jcheck *c, const json_t *o, const char *source,
		   bool ran)
{
	struct ws_jcheck_execution *end = read_run(o, source);
	char *name = open_name(end);
	struct ws_jcheck_execution *r =
		g_hash_table_lookup(c->unfinished, name);

	g_hash_table_remove(c->unfinished, name);
	g_free(name);
	if (!r) {
		ws_jcheck_add_violation(
			c, WS_JCHECK_UNREADABLE,
			"%s: the end of a request that did not begin", source);
		free_run(end);
		return;
	}
	r->ended = true;
	r->end = end->end;
	r->frozen = end->frozen;
	free_run(end);
	if (ran) {
		c->counts.ran++;
		c->counts.non_idempotent += !r->idempotent;
	} else {
		c->counts.aborted++;
		g_ptr_array_remove_fast(c->runs, r);
	}
}

static void on_collapse(struct ws_jcheck *c, const json_t *o,
			const char *source)
{
	ws_jcheck_add_violation(c, WS_JCHECK_COLLAPSE,
				"%s: target %s collapsed under its load",
				source, text_of(o, "target"));
}

static bool on_event(struct ws_jcheck *c, const json_t *o, const char *source)
{
	const char *event = text_of(o, "event");

	if (strcmp(event, "begin") == 0)
		on_begin(c, o, source);
	else if (strcmp(event, "run") == 0)
		on_end(c, o, source, true);
	else if (strcmp(event, "abort") == 0)
		on_end(c, o, source, false);
	else if (strcmp(event, "collapse") == 0)
		on_collapse(c, o, source);
	else if (strcmp(event, "zone_out") == 0)
		on_zone(c, o, true);
	else if (strcmp(event, "zone_in") == 0)
		on_zone(c, o, false);
	else if (strcmp(event, "start") == 0)
		c->counts.incarnations++;
	else if (strcmp(event, "crash") == 0)
		c->counts.crashes++;
	else if (strcmp(event, "reject") == 0)
		c->counts.rejected++;
	else
		return strcmp(event, "cold") == 0;
	if (strcmp(event, "reject") == 0)
		check_authorization(c, o, source);
	return true;
}

void ws_jcheck_add_line(struct ws_jcheck *c, const char *source,
			const char *line, bool whole)
{
	json_t *o = json_loads(line, JSON_REJECT_DUPLICATES, NULL);

	if (!o && !whole) {
		c->counts.truncated_lines++;
		return;
	}
	c->counts.lines++;
	if (!on_event(c, o, source))
		ws_jcheck_add_violation(c, WS_JCHECK_UNREADABLE,
					"%s: not a line of a journal", source);
	json_decref(o);
}

/* ===== Conclusions ===== */

void ws_jcheck_watch_key(struct ws_jcheck *c, const char *service,
			 const char *key)
{
	g_free(c->watched);
	c->watched = g_strdup_printf("%s key %s", service, key);
}

void ws_jcheck_finish(struct ws_jcheck *c)
{
	c->counts.interrupted = g_hash_table_size(c->unfinished);
	ws_jcheck_check_request_ids(c);
	ws_jcheck_check_ownership(c);
}

const struct ws_jcheck_counts *ws_jcheck_counts(const struct ws_jcheck *c)
{
	return &c->counts;
}

uint64_t ws_jcheck_violations(const struct ws_jcheck *c, unsigned kind)
{
	WS_INVARIANT(kind < WS_JCHECK_KINDS);
	return c->violations[kind];
}

uint64_t ws_jcheck_violations_total(const struct ws_jcheck *c)
{
	uint64_t n = 0;
	unsigned i;

	for (i = 0; i < WS_JCHECK_KINDS; i++)
		n += c->violations[i];
	return n;
}

const char *ws_jcheck_violation_text(const struct ws_jcheck *c, size_t i)
{
	return i < c->texts->len ? g_ptr_array_index(c->texts, i) : NULL;
}

static json_t *report_counts(const struct ws_jcheck_counts *n)
{
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
		"s:f,s:I,s:I,s:f}",
		"lines", (json_int_t)n->lines, "torn",
		(json_int_t)n->truncated_lines, "incarnations",
		(json_int_t)n->incarnations, "crashes", (json_int_t)n->crashes,
		"begun", (json_int_t)n->started, "ran", (json_int_t)n->ran,
		"aborted", (json_int_t)n->aborted, "interrupted",
		(json_int_t)n->interrupted, "rejected", (json_int_t)n->rejected,
		"non_idempotent", (json_int_t)n->non_idempotent, "resources",
		(json_int_t)n->resources, "owner_changes",
		(json_int_t)n->owner_changes, "longest_pause_ms",
		(double)n->longest_pause / (double)WS_MS, "frozen_overlaps",
		(json_int_t)n->frozen_overlaps, "watched_changes",
		(json_int_t)n->watched_changes, "watched_pause_ms",
		(double)n->watched_pause / (double)WS_MS);
}

json_t *ws_jcheck_report(const struct ws_jcheck *c)
{
	json_t *kinds = json_object();
	json_t *texts = json_array();
	unsigned i;

	for (i = 0; i < WS_JCHECK_KINDS; i++)
		json_object_set_new(kinds, ws_jcheck_kind_name(i),
				    json_integer((json_int_t)c->violations[i]));
	for (i = 0; i < c->texts->len; i++)
		json_array_append_new(
			texts, json_string(ws_jcheck_violation_text(c, i)));
	return json_pack("{s:o, s:o, s:o, s:I}", "counts",
			 report_counts(&c->counts), "violations", kinds,
			 "texts", texts, "violations_total",
			 (json_int_t)ws_jcheck_violations_total(c));
}
