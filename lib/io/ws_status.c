#include "io/ws_status.h"

#include <string.h>

#include "codec/ws_codec.h"

/* ===== Names ===== */

static json_t *hex(uint64_t value)
{
	char text[17];

	ws_codec_hex(value, text);
	return json_string(text);
}

static json_t *integer(int64_t value)
{
	return json_integer((json_int_t)value);
}

static json_t *zone_name(const struct ws_view *v, ws_id zone)
{
	const struct ws_zone *z = ws_bundle_zone(v->bundle, zone);

	return z ? json_string(z->name.text) : hex(zone);
}

static json_t *service_name(const struct ws_view *v, ws_id service)
{
	const struct ws_service *s = ws_bundle_service(v->bundle, service);

	return s ? json_string(s->name.text) : hex(service);
}

/* Returns the name of an instance or a target. */
static json_t *member_name(const struct ws_view *v, ws_id id)
{
	const struct ws_instance *i = ws_view_instance(v, id);
	const struct ws_target *t = ws_view_target(v, id);

	if (i && *i->name.text)
		return json_string(i->name.text);
	return t ? json_string(t->name.text) : hex(id);
}

/* ===== Status ===== */

/*
 * The view only knows the state of other instances, from their heartbeats. This
 * fills in the state of this instance.
 */
static struct ws_instance with_own_state(const struct ws_shell *sh,
					 const struct ws_instance *i)
{
	const struct ws_bundle *b = ws_core_view(sh->core)->bundle;
	struct ws_instance x = *i;

	if (i->id != sh->self)
		return x;
	x.ready = ws_core_ready(sh->core, ws_shell_now());
	x.leaving = sh->draining;
	x.next_offset = ws_own_next_offset(ws_core_own(sh->core));
	x.bundle_version = b ? b->version : 0;
	return x;
}

static json_t *instance_json(const struct ws_view *v,
			     const struct ws_instance *i)
{
	return json_pack("{s:o, s:s, s:o, s:s, s:b, s:b, s:b, s:b, s:I, s:I, "
			 "s:I}",
			 "id", hex(i->id), "name", i->name.text, "zone",
			 zone_name(v, i->zone), "address", i->address.text,
			 "listed", i->listed, "alive", i->alive, "leaving",
			 i->leaving, "ready", i->ready, "applied",
			 (json_int_t)i->next_offset, "bundle_version",
			 (json_int_t)i->bundle_version, "clock_offset_ms",
			 (json_int_t)i->wall_offset_ms);
}

static json_t *counters_json(const struct ws_core *core)
{
	const struct ws_counters *c = ws_core_counters(core);

	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "requests",
			 (json_int_t)c->requests, "answered",
			 (json_int_t)c->answered, "unknown",
			 (json_int_t)c->unknown, "attempts",
			 (json_int_t)c->attempts, "retries",
			 (json_int_t)c->retries, "records_applied",
			 (json_int_t)c->records_applied, "assignments_won",
			 (json_int_t)c->assignments_won, "assignments_lost",
			 (json_int_t)c->assignments_lost);
}

json_t *ws_status_page(const struct ws_shell *sh)
{
	const struct ws_view *v = ws_core_view(sh->core);
	const struct ws_own *own = ws_core_own(sh->core);
	ws_us now = ws_shell_now();
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < v->n_instances; i++) {
		struct ws_instance x = with_own_state(sh, &v->instances[i]);

		json_array_append_new(list, instance_json(v, &x));
	}
	return json_pack(
		"{s:o, s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:I, s:o, s:o}", "id",
		hex(sh->self), "name", sh->conf->name, "zone", sh->conf->zone,
		"ready", ws_core_ready(sh->core, now), "draining", sh->draining,
		"bundle_version",
		(json_int_t)(v->bundle ? v->bundle->version : 0), "applied",
		(json_int_t)ws_own_next_offset(own), "fresh_for_ms",
		(json_int_t)((ws_own_fresh_until(own) - now) / WS_MS),
		"uptime_ms", (json_int_t)(ws_shell_uptime(sh) / WS_MS),
		"instances", list, "counters", counters_json(sh->core));
}

/* ===== Owners ===== */

static const char *kind_name(uint8_t kind)
{
	switch (kind) {
	case WS_RES_PARTITION:
		return "partition";
	case WS_RES_DISPATCH:
		return "dispatch";
	case WS_RES_SHARD:
		return "shard";
	case WS_RES_HOT_KEY:
		return "hot_key";
	default:
		return "none";
	}
}

static json_t *item_json(const struct ws_view *v, const struct ws_res *res)
{
	if (res->kind == WS_RES_DISPATCH)
		return member_name(v, res->item);
	if (res->kind == WS_RES_HOT_KEY)
		return hex(res->item);
	return integer((int64_t)res->item);
}

static json_t *assignment_json(const struct ws_view *v,
			       const struct ws_assignment *a)
{
	json_t *o = json_pack("{s:s, s:o, s:o, s:o, s:I, s:b}", "kind",
			      kind_name(a->res.kind), "item",
			      item_json(v, &a->res), "holder",
			      member_name(v, a->holder.id), "holder_id",
			      hex(a->holder.id), "fence", (json_int_t)a->fence,
			      "active", a->active);

	if (a->res.scope)
		json_object_set_new(o, "service",
				    service_name(v, a->res.scope));
	if (a->holder.incarnation)
		json_object_set_new(o, "incarnation",
				    hex(a->holder.incarnation));
	return o;
}

json_t *ws_status_owners(const struct ws_shell *sh)
{
	const struct ws_own *own = ws_core_own(sh->core);
	const struct ws_view *v = ws_core_view(sh->core);
	size_t n = ws_own_count(own);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(list,
				      assignment_json(v, ws_own_at(own, i)));
	return json_pack("{s:o}", "owners", list);
}

/* ===== Shares ===== */

json_t *ws_status_shares(const struct ws_shell *sh)
{
	const struct ws_bundle *b = ws_core_view(sh->core)->bundle;
	const struct ws_adm *adm = ws_core_adm(sh->core);
	json_t *list = json_array();
	size_t i;

	for (i = 0; b && i < b->n_customers; i++) {
		const struct ws_customer *c = &b->customers[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:i, s:i, s:i, s:I, s:I}", "customer",
				  c->name.text, "rate", (int)c->rate, "burst",
				  (int)c->burst, "weight", (int)c->weight,
				  "balance_milli",
				  (json_int_t)ws_adm_balance(adm, c->id),
				  "spent",
				  (json_int_t)ws_adm_spent(adm, c->id)));
	}
	return json_pack("{s:o}", "shares", list);
}

/* ===== Targets ===== */

static const char *state_name(uint8_t state)
{
	switch (state) {
	case WS_STATE_LIVE:
		return "live";
	case WS_STATE_LEAVING:
		return "leaving";
	case WS_STATE_LOST:
		return "lost";
	default:
		return "unknown";
	}
}

static json_t *target_json(const struct ws_shell *sh, const struct ws_target *t)
{
	const struct ws_view *v = ws_core_view(sh->core);
	const struct ws_disp *disp = ws_core_disp(sh->core);
	struct ws_load load = t->load;

	ws_disp_get_load(disp, t->id, &load);
	return json_pack("{s:s, s:o, s:o, s:s, s:s, s:b, s:b, s:b, s:o, s:i, "
			 "s:i, s:i, s:I}",
			 "name", t->name.text, "service",
			 service_name(v, t->service), "zone",
			 zone_name(v, t->zone), "address", t->address.text,
			 "state", state_name(t->state), "leaving", t->leaving,
			 "usable", ws_view_usable(v, t), "dispatched_here",
			 ws_disp_is_open(disp, t->id), "incarnation",
			 hex(t->incarnation), "limit", (int)load.limit,
			 "in_flight", (int)load.in_flight, "queued",
			 (int)load.queued, "latency_us",
			 (json_int_t)load.latency);
}

json_t *ws_status_targets(const struct ws_shell *sh)
{
	const struct ws_view *v = ws_core_view(sh->core);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < v->n_targets; i++)
		json_array_append_new(list, target_json(sh, &v->targets[i]));
	return json_pack("{s:o}", "targets", list);
}

/* ===== History of bundles ===== */

static json_t *bundle_decision_json(const struct ws_audit_entry *v)
{
	return json_pack("{s:s, s:I, s:I, s:o, s:I, s:I, s:s}", "what",
			 "bundle", "wall_ms", (json_int_t)v->wall_ms, "offset",
			 (json_int_t)v->offset, "writer", hex(v->writer),
			 "version", (json_int_t)v->version, "base",
			 (json_int_t)v->base, "error", ws_error_name(v->error));
}

json_t *ws_status_history(const struct ws_shell *sh)
{
	size_t n = ws_core_audit_count(sh->core);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(
			list,
			bundle_decision_json(ws_core_audit_entry(sh->core, i)));
	return json_pack("{s:o}", "history", list);
}

/* ===== Explanation of a key ===== */

static void explain_dispatcher(const struct ws_shell *sh, json_t *o,
			       ws_id target)
{
	const struct ws_view *v = ws_core_view(sh->core);
	struct ws_res res = { .kind = WS_RES_DISPATCH, .item = target };
	const struct ws_assignment *a =
		ws_own_find(ws_core_own(sh->core), &res);

	json_object_set_new(o, "dispatcher",
			    a ? assignment_json(v, a) : json_null());
}

static void explain_owner(const struct ws_shell *sh, json_t *o,
			  const struct ws_service *svc, const char *key)
{
	const struct ws_view *v = ws_core_view(sh->core);
	uint64_t hash = ws_codec_hash(key, strlen(key));
	const struct ws_assignment *a =
		ws_own_find_key_owner(ws_core_own(sh->core), svc, hash);
	const struct ws_target *t = a ? ws_view_target(v, a->holder.id) : NULL;

	json_object_set_new(o, "key_hash", hex(hash));
	json_object_set_new(o, "shard", integer(ws_bundle_shard(svc, hash)));
	json_object_set_new(o, "owner",
			    a ? assignment_json(v, a) : json_null());
	json_object_set_new(o, "target", t ? target_json(sh, t) : json_null());
	if (a)
		explain_dispatcher(sh, o, a->holder.id);
}

json_t *ws_status_explain(const struct ws_shell *sh, const char *service,
			  const char *key)
{
	const struct ws_bundle *b = ws_core_view(sh->core)->bundle;
	const struct ws_service *svc =
		ws_bundle_service(b, ws_codec_id(service));
	json_t *o;

	if (!svc)
		return NULL;
	o = json_pack("{s:s, s:s, s:b}", "service", svc->name.text, "key", key,
		      "sharded", svc->sharded);
	if (svc->sharded)
		explain_owner(sh, o, svc, key);
	return o;
}
