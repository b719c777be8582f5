#include "fake_internal.h"

#include <stdlib.h>
#include <string.h>

/* Simulated log service, and the bundles that are published through it. */

#define PAGE_MAX 64

/* ===== Names and the first bundle ===== */

ws_id fake_service_id(int s)
{
	return ws_mix(11, (uint64_t)s) | 1;
}

ws_id fake_customer_id(int c)
{
	return ws_mix(12, (uint64_t)c) | 1;
}

ws_id fake_zone_id(int z)
{
	return ws_mix(13, (uint64_t)z) | 1;
}

void fake_caller_key(int customer, uint64_t key[4])
{
	int i;

	for (i = 0; i < 4; i++)
		key[i] = ws_mix(14 + (uint64_t)i, (uint64_t)customer) | 1;
}

static void fill_services(struct ws_bundle *b, const struct fake *f)
{
	int s;

	b->n_services = FAKE_SERVICES;
	b->services = ws_alloc(FAKE_SERVICES, sizeof(*b->services));
	for (s = 0; s < FAKE_SERVICES; s++) {
		bool sharded = s == FAKE_CALIBRATION || s == FAKE_WORKSHOP;

		b->services[s] = (struct ws_service){
			.id = fake_service_id(s),
			.access = s == FAKE_INTERNAL ? WS_ACCESS_INTERNAL :
						       WS_ACCESS_PUBLIC,
			.sharded = sharded,
			.shards = sharded ? f->conf.shards : 0,
			.idempotent = s != FAKE_ORDERS && s != FAKE_WORKSHOP,
			.checks_fences = s == FAKE_CALIBRATION,
			.slots = 4,
			.cold_limit = 1,
			.connections = 120,
			.deadline = 2 * WS_SECOND,
		};
	}
}

static void fill_customers(struct ws_bundle *b, const struct fake *f)
{
	int c;

	b->n_customers = FAKE_CUSTOMERS;
	b->customers = ws_alloc(FAKE_CUSTOMERS, sizeof(*b->customers));
	b->n_keys = FAKE_CUSTOMERS;
	b->keys = ws_alloc(FAKE_CUSTOMERS, sizeof(*b->keys));
	for (c = 0; c < FAKE_CUSTOMERS; c++) {
		b->customers[c].id = fake_customer_id(c);
		b->customers[c].rate = f->conf.rate;
		b->customers[c].burst = f->conf.burst;
		b->customers[c].weight = 1;
		fake_caller_key(c, b->keys[c].hash);
		b->keys[c].customer = fake_customer_id(c);
	}
}

struct ws_bundle *fake_first_bundle(const struct fake *f)
{
	struct ws_bundle *b = ws_bundle_new();
	int z;

	b->version = 1;
	b->partitions = f->conf.partitions;
	b->key_max_age = 10 * WS_SECOND;
	b->outage_limit = 600 * WS_SECOND;
	fill_services(b, f);
	fill_customers(b, f);
	b->n_zones = (size_t)f->conf.zones;
	b->zones = ws_alloc(b->n_zones, sizeof(*b->zones));
	for (z = 0; z < f->conf.zones; z++) {
		b->zones[z].id = fake_zone_id(z);
		b->zones[z].in_service = true;
	}
	b->n_operators = 1;
	b->operators = ws_alloc(1, 32);
	memset(b->operators[0], 7, 32);
	memset(b->signer, 7, 32);
	b->text = ws_alloc(2, 1);
	b->text[0] = '-';
	return b;
}

static void *copy(const void *from, size_t n, size_t size)
{
	void *p = ws_alloc(n, size);

	if (n)
		memcpy(p, from, n * size);
	return p;
}

static struct ws_bundle *next_bundle(const struct ws_bundle *from)
{
	struct ws_bundle *b = ws_bundle_new();

	*b = *from;
	b->refs = 1;
	b->version = from->version + 1;
	b->base = from->version;
	b->services =
		copy(from->services, from->n_services, sizeof(*from->services));
	b->customers = copy(from->customers, from->n_customers,
			    sizeof(*from->customers));
	b->keys = copy(from->keys, from->n_keys, sizeof(*from->keys));
	b->zones = copy(from->zones, from->n_zones, sizeof(*from->zones));
	b->operators = copy(from->operators, from->n_operators, 32);
	b->text = copy(from->text, strlen(from->text) + 1, 1);
	return b;
}

/* ===== Publishing ===== */

static void publish(struct fake *f, int i, struct ws_bundle *b)
{
	struct ws_event ev = { .kind = WS_EV_PUBLISH };
	struct ws_record *rec = ws_alloc(1, sizeof(*rec));

	rec->kind = WS_REC_BUNDLE;
	rec->bundle = b;
	rec->bundle_version = b->version;
	rec->bundle_base = b->base;
	rec->bundle_text = copy(b->text, strlen(b->text) + 1, 1);
	ev.u.publish.record = rec;
	ev.u.publish.ref = 1;
	fake_deliver(f, i, f->instances[i].generation, f->now, &ev);
}

void fake_set_zone(struct fake *f, int i, int zone, bool in_service)
{
	struct ws_bundle *b = next_bundle(f->bundle);

	b->zones[zone].in_service = in_service;
	publish(f, i, b);
}

void fake_revoke_key(struct fake *f, int i, int customer)
{
	struct ws_bundle *b = next_bundle(f->bundle);
	size_t k;

	for (k = 0; k < b->n_keys; k++)
		if (b->keys[k].customer == fake_customer_id(customer))
			b->keys[k--] = b->keys[--b->n_keys];
	publish(f, i, b);
}

void fake_grant_key(struct fake *f, int i, int customer)
{
	struct ws_bundle *b = next_bundle(f->bundle);

	free(b->keys);
	b->keys = ws_alloc(f->bundle->n_keys + 1, sizeof(*b->keys));
	memcpy(b->keys, f->bundle->keys, f->bundle->n_keys * sizeof(*b->keys));
	fake_caller_key(customer, b->keys[b->n_keys].hash);
	b->keys[b->n_keys++].customer = fake_customer_id(customer);
	publish(f, i, b);
}

void fake_recover(struct fake *f, int i)
{
	struct ws_event ev = { .kind = WS_EV_PUBLISH };
	struct ws_record *rec = ws_alloc(1, sizeof(*rec));

	rec->kind = WS_REC_RECOVER;
	rec->n_gone = f->n_killed;
	rec->gone = copy(f->killed, f->n_killed, sizeof(*f->killed));
	memcpy(rec->signer, f->bundle->operators[0], sizeof(rec->signer));
	ev.u.publish.record = rec;
	ev.u.publish.ref = 1;
	fake_deliver(f, i, f->instances[i].generation, f->now, &ev);
}

static bool has_key(const struct ws_bundle *b, int customer)
{
	size_t k;

	for (k = 0; k < b->n_keys; k++)
		if (b->keys[k].customer == fake_customer_id(customer))
			return true;
	return false;
}

/*
 * Puts a bundle in force if it is based on the previous one. The rule is
 * implemented here anew, so that the checks do not rely on the core's code.
 */
static void apply_bundle(struct fake *f, const struct ws_record *rec)
{
	struct ws_bundle *b = rec->bundle;
	bool first = f->bundle_at == 0 && b && b->version == 1;
	int i;

	if (!first && (!b || b->base != f->bundle->version))
		return;
	for (i = 0; i < f->conf.zones; i++)
		f->zone_out_at[i] = b->zones[i].in_service ? 0 :
				    f->zone_out_at[i]	   ? f->zone_out_at[i] :
							     f->now;
	for (i = 0; i < FAKE_CUSTOMERS; i++)
		f->revoked_at[i] = has_key(b, i)    ? 0 :
				   f->revoked_at[i] ? f->revoked_at[i] :
						      f->now;
	ws_bundle_ref(b);
	ws_bundle_unref(f->bundle);
	f->bundle = b;
	f->bundle_at = f->now;
	f->report.bundles++;
}

uint64_t fake_bundle_version(const struct fake *f)
{
	return f->bundle->version;
}

/* ===== The log ===== */

void fake_log_outage(struct fake *f, ws_us duration)
{
	f->log_down_until = f->now + duration;
	if (f->log_down_until > f->faults_until)
		f->faults_until = f->log_down_until;
	f->report.log_outages++;
}

void fake_expire_log(struct fake *f, size_t n)
{
	if (f->n_log > n && f->n_log - n + 1 > f->log_oldest)
		f->log_oldest = f->n_log - n + 1;
}

static bool log_reachable(const struct fake *f, int i)
{
	return f->now >= f->log_down_until &&
	       fake_platform_reachable(f, f->instances[i].zone);
}

static ws_us reply_delay(struct fake *f)
{
	return 500 + (ws_us)ws_rand_below(&f->rand, 3 * WS_MS);
}

static void read_log(struct fake *f, struct fake_event *e)
{
	struct ws_event ev = { .kind = WS_EV_LOG_READ };
	ws_offset from = e->from_offset < f->log_oldest ? f->log_oldest :
							  e->from_offset;
	size_t n = 0;
	size_t i;

	if (!log_reachable(f, e->node)) {
		ev.kind = WS_EV_LOG_FAILED;
		fake_deliver(f, e->node, e->generation, f->now + 200 * WS_MS,
			     &ev);
		return;
	}
	if (from <= f->n_log)
		n = f->n_log - from + 1;
	if (n > PAGE_MAX)
		n = PAGE_MAX;
	ev.u.log_read.started = e->sent;
	ev.u.log_read.from = from;
	ev.u.log_read.oldest = f->log_oldest;
	ev.u.log_read.head = f->n_log + 1;
	ev.u.log_read.n_records = n;
	ev.u.log_read.records = ws_alloc(n, sizeof(struct ws_record));
	for (i = 0; i < n; i++)
		ws_record_copy(&ev.u.log_read.records[i],
			       &f->log[from - 1 + i]);
	fake_deliver(f, e->node, e->generation, f->now + reply_delay(f), &ev);
}

/* Appends a copy of a record to the log and returns it. */
static struct ws_record *add_record(struct fake *f,
				    const struct ws_record *from)
{
	struct ws_record *rec;

	ws_grow(&f->log, &f->cap_log, f->n_log + 1, sizeof(*f->log));
	rec = &f->log[f->n_log++];
	ws_record_copy(rec, from);
	rec->offset = f->n_log;
	if (rec->kind == WS_REC_BUNDLE)
		apply_bundle(f, rec);
	return rec;
}

void fake_publish_first(struct fake *f)
{
	struct ws_record rec = {
		.kind = WS_REC_BUNDLE,
		.uid = 1,
		.bundle = f->bundle,
		.bundle_text = f->bundle->text,
		.bundle_version = f->bundle->version,
	};

	add_record(f, &rec);
}

static void append(struct fake *f, struct fake_event *e)
{
	struct ws_event ev = { .kind = WS_EV_APPENDED };
	uint64_t uid = e->record->uid;
	bool lost = fake_chance(f, f->conf.loss);
	struct ws_record *rec;

	if (!log_reachable(f, e->node)) {
		ev.kind = WS_EV_APPEND_FAILED;
		ev.u.append_failed.uid = uid;
		ev.u.append_failed.unknown = fake_chance(f, 0.5);
		fake_deliver(f, e->node, e->generation, f->now + 200 * WS_MS,
			     &ev);
		return;
	}
	/* An append may be delayed and take effect up to a second later. */
	if (fake_chance(f, f->conf.loss)) {
		struct fake_event *late = fake_push(
			f, f->now + (ws_us)ws_rand_below(&f->rand, WS_SECOND),
			FE_APPEND, e->node);

		late->generation = e->generation;
		late->record = e->record;
		e->record = NULL;
		return;
	}
	rec = add_record(f, e->record);
	if (lost) {
		ev.kind = WS_EV_APPEND_FAILED;
		ev.u.append_failed.uid = uid;
		ev.u.append_failed.unknown = true;
	} else {
		ev.u.appended.uid = uid;
		ev.u.appended.offset = rec->offset;
	}
	fake_deliver(f, e->node, e->generation, f->now + reply_delay(f), &ev);
}

void fake_log_event(struct fake *f, struct fake_event *e)
{
	if (e->kind == FE_LOG_READ)
		read_log(f, e);
	else
		append(f, e);
}
