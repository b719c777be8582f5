#include "standin/ws_starget.h"

#include <stdlib.h>
#include <string.h>

#define GRANT_TEXT_MAX ((size_t)1024 * 1024)
#define GRANT_ITEMS_MAX 65536

/* ===== Grants ===== */

static int read_item(const struct ws_json *j, const struct ws_starget *t,
		     struct ws_starget_item *item)
{
	static const char *const fields[] = { "service", "shard", "hot_key",
					      "fence", NULL };
	struct ws_name service;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_name(j, "service", &service) ||
	    ws_json_uint(j, "fence", 1, INT64_MAX, &item->fence))
		return WS_ERR_SYNTAX;
	if (strcmp(service.text, t->conf.service.text) != 0)
		return ws_json_error(j, "service",
				     "this target serves '%s'; grant only "
				     "that",
				     t->conf.service.text);
	item->is_hot_key = ws_json_has(j, "hot_key");
	if (item->is_hot_key)
		return ws_json_hex(j, "hot_key", &item->id);
	return ws_json_uint(j, "shard", 0, UINT32_MAX, &item->id);
}

struct grant {
	uint64_t incarnation;
	ws_offset as_of;
	uint64_t not_after;
	struct ws_starget_item *items;
	size_t n;
};

static int read_grant(const struct ws_json *j, const struct ws_starget *t,
		      struct grant *g)
{
	static const char *const fields[] = { "incarnation", "as_of",
					      "not_after_us", "items", NULL };
	struct ws_json e;
	size_t i;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_hex(j, "incarnation", &g->incarnation) ||
	    ws_json_uint(j, "as_of", 0, INT64_MAX, &g->as_of) ||
	    ws_json_uint(j, "not_after_us", 0, INT64_MAX, &g->not_after) ||
	    ws_json_array(j, "items", GRANT_ITEMS_MAX, &g->n))
		return WS_ERR_SYNTAX;
	g->items = ws_alloc(g->n + 1, sizeof(*g->items));
	for (i = 0; i < g->n; i++)
		if (ws_json_elem(j, "items", i, &e) ||
		    read_item(&e, t, &g->items[i]))
			return WS_ERR_SYNTAX;
	return 0;
}

/* Takes a grant over. A shard missing from it is no longer held. */
static void apply(struct ws_starget *t, struct grant *g)
{
	t->not_after = (ws_us)g->not_after;
	t->as_of = g->as_of;
	free(t->items);
	t->items = g->items;
	t->n_items = g->n;
	g->items = NULL;
}

static char *grant_answer(const struct ws_starget *t, ws_us now,
			  const char *error)
{
	json_t *o = json_object();
	char *text;

	if (error)
		json_object_set_new(o, "error", json_string(error));
	ws_json_set_hex(o, "incarnation", t->incarnation);
	json_object_set_new(o, "now_us",
			    json_integer(now + t->conf.clock_offset));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static const char *check_grant(const struct ws_starget *t,
			       const struct grant *g)
{
	if (g->incarnation != t->incarnation)
		return "other_incarnation";
	if (g->as_of < t->as_of)
		return "older_as_of";
	return NULL;
}

unsigned ws_starget_handle_grant(struct ws_starget *t, ws_us now,
				 const char *text, char **answer)
{
	struct ws_codec_error why = { "" };
	struct grant g = { 0 };
	struct ws_json root;
	const char *error;

	if (ws_json_open(text, GRANT_TEXT_MAX, "grant", &root, &why)) {
		*answer = grant_answer(t, now, why.text);
		return 400;
	}
	if (read_grant(&root, t, &g)) {
		ws_json_close(&root);
		free(g.items);
		*answer = grant_answer(t, now, why.text);
		return 400;
	}
	ws_json_close(&root);
	error = check_grant(t, &g);
	if (!error)
		apply(t, &g);
	free(g.items);
	*answer = grant_answer(t, now, error);
	return error ? 409 : 200;
}

/* ===== Requests ===== */

static const struct ws_starget_item *find_item(const struct ws_starget *t,
					       const struct ws_starget_req *req)
{
	uint64_t item = req->has_hot_key ? req->hot_key : (uint64_t)req->shard;
	size_t i;

	for (i = 0; i < t->n_items; i++)
		if (t->items[i].is_hot_key == req->has_hot_key &&
		    t->items[i].id == item)
			return &t->items[i];
	return NULL;
}

const char *ws_starget_lease_error(const struct ws_starget *t, ws_us now,
				   const struct ws_starget_req *req)
{
	const struct ws_starget_item *item;

	if (!t->conf.sharded || !t->checks_leases)
		return NULL;
	if (!req->fence || (!req->has_hot_key && req->shard < 0))
		return "no_fence";
	if (now + t->conf.clock_offset >= t->not_after)
		return "lease_expired";
	item = find_item(t, req);
	if (!item)
		return "not_granted";
	return item->fence == req->fence ? NULL : "other_fence";
}

/* ===== Health ===== */

/* Load now, or as it was when it was last sampled. */
static uint32_t shown_load(struct ws_starget *t, ws_us now)
{
	uint32_t load = t->in_flight * 1000 / t->conf.slots;

	if (t->false_load >= 0)
		return (uint32_t)t->false_load;
	if (!t->load_lag)
		return load;
	if (now - t->load_sampled_at >= t->load_lag) {
		t->load_sampled_at = now;
		t->load_sample = load;
	}
	return t->load_sample;
}

char *ws_starget_health(struct ws_starget *t, ws_us now)
{
	json_t *o = json_object();
	char *text;

	ws_json_set_hex(o, "incarnation", t->incarnation);
	json_object_set_new(o, "now_us",
			    json_integer(now + t->conf.clock_offset));
	json_object_set_new(o, "ready", json_boolean(t->ready));
	json_object_set_new(o, "leaving", json_boolean(t->leaving_since != 0));
	json_object_set_new(o, "load", json_integer(shown_load(t, now)));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}
