#include "capacity/ws_cap_internal.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/ws_codec.h"

/* Records of the log, grants and bundles as text. */

/* A wall clock and a fence with as many digits as after two years. */
#define WALL_MS 1800000000000
#define FENCE 2000000

static double written(const struct ws_record *rec)
{
	double n = 0;
	char *text;

	if (ws_is_error(ws_codec_record_write(rec, &text)))
		return 0;
	n = (double)strlen(text);
	free(text);
	return n;
}

static double assign_bytes(size_t items)
{
	struct ws_record rec = { .kind = WS_REC_ASSIGN,
				 .uid = UINT64_MAX,
				 .wall_ms = WALL_MS,
				 .n_items = items };
	double n;
	size_t i;

	rec.items = ws_alloc(items, sizeof(*rec.items));
	for (i = 0; i < items; i++)
		rec.items[i] = (struct ws_assign_item){
			.res = { .kind = WS_RES_SHARD,
				 .scope = CAP_FIRST_SERVICE_ID,
				 .item = 1000 + i },
			.expected_fence = FENCE,
			.holder = { CAP_FIRST_TARGET_ID, CAP_INCARNATION },
		};
	n = written(&rec);
	free(rec.items);
	return n;
}

/* ===== Snapshots ===== */

static char *snapshot_text(size_t n)
{
	struct ws_record rec = { .kind = WS_REC_SNAPSHOT,
				 .wall_ms = WALL_MS,
				 .target_offset = FENCE,
				 .n_assignments = n };
	char *text = NULL;
	size_t i;

	rec.assignments = ws_alloc(n, sizeof(*rec.assignments));
	for (i = 0; i < n; i++)
		rec.assignments[i] = (struct ws_assignment){
			.res = { .kind = WS_RES_SHARD,
				 .scope = CAP_FIRST_SERVICE_ID,
				 .item = 1000 + i },
			.holder = { CAP_FIRST_TARGET_ID, CAP_INCARNATION },
			.fence = FENCE,
			.active = true,
		};
	WS_INVARIANT(!ws_codec_record_write(&rec, &text));
	free(rec.assignments);
	return text;
}

static double snapshot_bytes(size_t assignments)
{
	char *text = snapshot_text(assignments);
	double n = (double)strlen(text);

	free(text);
	return n;
}

static double snapshot_load(size_t assignments)
{
	char *text = snapshot_text(assignments);
	struct ws_own *own = ws_own_new(1, 1);
	struct ws_fx fx = { .items = NULL };
	double start = ws_cap_cpu_seconds();
	struct ws_codec_error why;
	struct ws_record rec;

	WS_INVARIANT(!ws_codec_record_parse(text, &rec, &why));
	ws_own_load_snapshot(own, &fx, 0, &rec);
	start = ws_cap_cpu_seconds() - start;
	WS_INVARIANT(ws_own_count(own) == assignments);
	ws_record_clear(&rec);
	ws_own_free(own);
	ws_fx_free(&fx);
	free(text);
	return start * 1e6;
}

/* ===== Grants ===== */

static double grant_bytes(size_t shards)
{
	struct ws_service svc = { .id = CAP_FIRST_SERVICE_ID,
				  .name = { "service-1" },
				  .sharded = true };
	struct ws_bundle bundle = { .n_services = 1, .services = &svc };
	struct ws_effect e = { .kind = WS_FX_GRANT };
	double n;
	char *text;
	size_t i;

	e.u.grant.incarnation = CAP_INCARNATION;
	e.u.grant.as_of = FENCE;
	e.u.grant.not_after_us = WALL_MS;
	e.u.grant.n_items = shards;
	e.u.grant.items = ws_alloc(shards, sizeof(*e.u.grant.items));
	for (i = 0; i < shards; i++)
		e.u.grant.items[i] = (struct ws_grant_item){
			.res = { .kind = WS_RES_SHARD,
				 .scope = CAP_FIRST_SERVICE_ID,
				 .item = 1000 + i },
			.fence = FENCE
		};
	WS_INVARIANT(!ws_codec_grant_write(&e, &bundle, &text));
	n = (double)strlen(text);
	free(text);
	free(e.u.grant.items);
	return n;
}

/* ===== Bundles ===== */

static void bundle_text(size_t keys, struct ws_cap_text *t)
{
	size_t i;

	ws_cap_printf(t, "{\"version\":2,\"base\":1,\"settings\":"
			 "{\"partitions\":1024,\"key_max_age_ms\":10000,"
			 "\"outage_limit_ms\":600000},\"services\":[{\"name\":"
			 "\"stock\",\"access\":\"public\",\"sharded\":true,"
			 "\"shards\":4096,\"idempotent\":false,"
			 "\"checks_fences\":true,\"slots\":4,\"cold_limit\":1,"
			 "\"connections\":120,\"deadline_ms\":2000}],"
			 "\"customers\":[{\"name\":\"big\",\"rate\":1000,"
			 "\"burst\":2000,\"weight\":1}],\"keys\":[");
	for (i = 0; i < keys; i++)
		ws_cap_printf(t, "%s{\"customer\":\"big\",\"hash\":\"%064zx\"}",
			      i ? "," : "", i + 1);
	ws_cap_printf(t,
		      "],\"zones\":[{\"name\":\"zone-1\",\"in_service\":"
		      "true}],\"operators\":[\"%064x\"]}",
		      1);
}

static char *bundle_record(size_t keys)
{
	struct ws_record rec = { .kind = WS_REC_BUNDLE,
				 .wall_ms = WALL_MS,
				 .bundle_version = 2,
				 .bundle_base = 1 };
	struct ws_cap_text t = { .data = NULL };
	uint8_t public[32];
	uint8_t secret[64];
	struct ws_codec_error why;
	char *out = NULL;

	bundle_text(keys, &t);
	crypto_sign_keypair(public, secret);
	WS_INVARIANT(!ws_codec_envelope_sign(t.data, public, secret,
					     &rec.bundle_text, &why));
	WS_INVARIANT(!ws_codec_record_write(&rec, &out));
	free(rec.bundle_text);
	ws_cap_text_free(&t);
	return out;
}

static double bundle_bytes(size_t keys)
{
	char *text = bundle_record(keys);
	double n = (double)strlen(text);

	free(text);
	return n;
}

static double bundle_open(size_t keys)
{
	char *text = bundle_record(keys);
	double start = ws_cap_cpu_seconds();
	struct ws_bundle *b;
	struct ws_record rec;
	struct ws_codec_error why;

	WS_INVARIANT(!ws_codec_record_parse(text, &rec, &why));
	WS_INVARIANT(
		!ws_codec_envelope_open(rec.bundle_text, NULL, 0, &b, &why));
	start = ws_cap_cpu_seconds() - start;
	ws_bundle_unref(b);
	ws_record_clear(&rec);
	free(text);
	return start * 1e6;
}

void ws_cap_measure_codec(struct ws_cap_results *r)
{
	static const size_t items[] = { 1, 16, 256, 2048 };
	static const size_t assignments[] = { 500, 1000, 2000, 4000 };
	static const size_t shards[] = { 5, 20, 100, 400 };
	static const size_t keys[] = { 100, 400, 1600 };
	struct ws_record rec = { .kind = WS_REC_ACTIVATE,
				 .uid = UINT64_MAX,
				 .wall_ms = WALL_MS,
				 .target_offset = FENCE };

	ws_cap_measure_series(r, WS_CAP_ASSIGN_BYTES, items, 4, assign_bytes);
	ws_cap_measure_series(r, WS_CAP_SNAPSHOT_BYTES, assignments, 4,
			      snapshot_bytes);
	ws_cap_measure_series(r, WS_CAP_SNAPSHOT_LOAD, assignments, 4,
			      snapshot_load);
	ws_cap_measure_series(r, WS_CAP_GRANT_BYTES, shards, 4, grant_bytes);
	ws_cap_measure_series(r, WS_CAP_BUNDLE_BYTES, keys, 3, bundle_bytes);
	ws_cap_measure_series(r, WS_CAP_BUNDLE_OPEN, keys, 3, bundle_open);
	r->activate_record_bytes = (size_t)written(&rec);
	r->health_response_bytes = (size_t)snprintf(
		NULL, 0,
		"{\"incarnation\":\"%016x\",\"now_us\":%lld,\"ready\":true,"
		"\"leaving\":false,\"load\":1000}",
		CAP_INCARNATION, (long long)WALL_MS);
}
