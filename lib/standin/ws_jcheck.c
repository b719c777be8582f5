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

/* ===== Creation and destruction ===== */

static void free_execution(gpointer p)
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
	c->runs = g_ptr_array_new_with_free_func(free_execution);
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

static const char *get_text(const json_t *o, const char *field)
{
	const char *text = json_string_value(json_object_get(o, field));

	return text ? text : "";
}

static int64_t get_int(const json_t *o, const char *field)
{
	return json_integer_value(json_object_get(o, field));
}

static bool get_flag(const json_t *o, const char *field)
{
	return json_is_true(json_object_get(o, field));
}

static char *describe_resource(const json_t *o)
{
	json_t *shard = json_object_get(o, "shard");
	const char *hot = get_text(o, "hot_key");

	if (hot[0])
		return g_strdup_printf("%s hot key %s", get_text(o, "service"),
				       hot);
	if (json_is_integer(shard))
		return g_strdup_printf("%s shard %lld", get_text(o, "service"),
				       (long long)json_integer_value(shard));
	return NULL;
}

static char *describe_key(const json_t *o)
{
	const char *key = get_text(o, "key");

	if (!key[0])
		return NULL;
	return g_strdup_printf("%s key %s", get_text(o, "service"), key);
}

/*
 * The caller's idempotency key if the target received one, else the router's
 * request id.
 */
static const char *get_request_id(const json_t *o)
{
	const char *id = get_text(o, "idempotency_key");

	return id[0] ? id : get_text(o, "request");
}

static struct ws_jcheck_execution *parse_execution(const json_t *o,
						   const char *source)
{
	struct ws_jcheck_execution *r = g_new0(struct ws_jcheck_execution, 1);

	r->source = g_strdup(source);
	r->owner = g_strdup_printf("%s/%s", get_text(o, "target"),
				   get_text(o, "incarnation"));
	r->resource = describe_resource(o);
	r->key = describe_key(o);
	r->has_id = get_request_id(o)[0] != '\0';
	r->id = g_strdup_printf("%s/%s/%s", get_text(o, "service"),
				get_text(o, "customer"), get_request_id(o));
	r->body = g_strdup_printf("%s/%s/%s", get_text(o, "service"),
				  get_text(o, "customer"), get_text(o, "body"));
	r->idempotent = get_flag(o, "idempotent");
	r->frozen = get_flag(o, "frozen");
	r->fence = get_int(o, "fence");
	r->start = get_int(o, "start_us");
	r->end = get_int(o, "end_us");
	return r;
}

static char *execution_key(const struct ws_jcheck_execution *r)
{
	return g_strdup_printf("%s %s %lld", r->owner, r->id,
			       (long long)r->start);
}

/* ===== Rules for single lines ===== */

static void check_load(struct ws_jcheck *c, const json_t *o, const char *source)
{
	if (get_int(o, "concurrency") > get_int(o, "limit"))
		ws_jcheck_add_violation(
			c, WS_JCHECK_ABOVE_LIMIT,
			"%s: %lld requests at once, %lld allowed", source,
			(long long)get_int(o, "concurrency"),
			(long long)get_int(o, "limit"));
	if (get_int(o, "leaving_us") > WS_JCHECK_LEAVING_GRACE)
		ws_jcheck_add_violation(
			c, WS_JCHECK_WORK_WHILE_LEAVING,
			"%s: new work %lld ms after leaving", source,
			(long long)(get_int(o, "leaving_us") / WS_MS));
}

/* Relies on the lines of one target being in order of time. */
static void on_zone_service_change(struct ws_jcheck *c, const json_t *o,
				   bool out)
{
	ws_us *since;

	if (!out) {
		g_hash_table_remove(c->zones_out, get_text(o, "target"));
		return;
	}
	since = g_new(ws_us, 1);
	*since = get_int(o, "start_us");
	g_hash_table_replace(c->zones_out, g_strdup(get_text(o, "target")),
			     since);
}

static void check_zone_in_service(struct ws_jcheck *c, const json_t *o,
				  const char *source)
{
	const ws_us *since =
		g_hash_table_lookup(c->zones_out, get_text(o, "target"));
	ws_us late;

	if (!since)
		return;
	late = get_int(o, "start_us") - *since;
	if (late > WS_JCHECK_LEAVING_GRACE)
		ws_jcheck_add_violation(
			c, WS_JCHECK_WORK_OUT_OF_SERVICE,
			"%s: new work %lld ms after zone %s left service",
			source, (long long)(late / WS_MS), get_text(o, "zone"));
}

static void check_authorization(struct ws_jcheck *c, const json_t *o,
				const char *source)
{
	if (get_flag(o, "authorization"))
		ws_jcheck_add_violation(
			c, WS_JCHECK_CALLER_KEY_SEEN,
			"%s: request %s had an Authorization header", source,
			get_text(o, "request"));
}

/* ===== Events ===== */

static void on_begin(struct ws_jcheck *c, const json_t *o, const char *source)
{
	struct ws_jcheck_execution *r = parse_execution(o, source);

	c->counts.started++;
	check_load(c, o, source);
	check_zone_in_service(c, o, source);
	check_authorization(c, o, source);
	g_ptr_array_add(c->runs, r);
	g_hash_table_replace(c->unfinished, execution_key(r), r);
}

/*
 * Ends the execution with the same owner, request id and start time. An aborted
 * one had no effect and is dropped.
 */
static void on_end(struct ws_jcheck *c, const json_t *o, const char *source,
		   bool ran)
{
	struct ws_jcheck_execution *end = parse_execution(o, source);
	char *name = execution_key(end);
	struct ws_jcheck_execution *r =
		g_hash_table_lookup(c->unfinished, name);

	g_hash_table_remove(c->unfinished, name);
	g_free(name);
	if (!r) {
		ws_jcheck_add_violation(
			c, WS_JCHECK_UNREADABLE,
			"%s: end of a request without a begin line", source);
		free_execution(end);
		return;
	}
	r->ended = true;
	r->end = end->end;
	r->frozen = end->frozen;
	free_execution(end);
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
				source, get_text(o, "target"));
}

static bool on_event(struct ws_jcheck *c, const json_t *o, const char *source)
{
	const char *event = get_text(o, "event");

	if (strcmp(event, "begin") == 0)
		on_begin(c, o, source);
	else if (strcmp(event, "run") == 0)
		on_end(c, o, source, true);
	else if (strcmp(event, "abort") == 0)
		on_end(c, o, source, false);
	else if (strcmp(event, "collapse") == 0)
		on_collapse(c, o, source);
	else if (strcmp(event, "zone_out") == 0)
		on_zone_service_change(c, o, true);
	else if (strcmp(event, "zone_in") == 0)
		on_zone_service_change(c, o, false);
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
					"%s: not a valid journal line", source);
	json_decref(o);
}

/* ===== Results ===== */

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
