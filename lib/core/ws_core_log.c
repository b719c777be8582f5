#include "core/ws_core_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Log records: folding them in order, bundles and their audit trail, appends.
 */

/* Delay after a failed read, so that a failing log is not flooded. */
#define READ_RETRY_DELAY (100 * WS_MS)

/* A submission not read back by then is reported as of unknown outcome. */
#define SUBMISSION_TIMEOUT (5 * WS_SECOND)

/* Longest delay of a release of dispatched targets with requests in flight. */
#define APPEND_DELAY_MAX (5 * WS_SECOND)

/* ===== Audit trail of bundles ===== */

static void add_audit_entry(struct ws_core *c, const struct ws_record *rec,
			    int error)
{
	struct ws_audit_entry *a =
		&c->audit[c->n_audited % WS_AUDIT_ENTRIES_MAX];

	memset(a, 0, sizeof(*a));
	a->offset = rec->offset;
	a->wall_ms = c->wall_ms;
	a->writer = rec->writer;
	a->error = error;
	a->version = rec->bundle_version;
	a->base = rec->bundle_base;
	if (rec->bundle)
		memcpy(a->signer, rec->bundle->signer, sizeof(a->signer));
	c->n_audited++;
}

size_t ws_core_audit_count(const struct ws_core *c)
{
	return c->n_audited < WS_AUDIT_ENTRIES_MAX ? c->n_audited :
						     WS_AUDIT_ENTRIES_MAX;
}

const struct ws_audit_entry *ws_core_audit_entry(const struct ws_core *c,
						 size_t i)
{
	size_t first = c->n_audited - ws_core_audit_count(c);

	WS_INVARIANT(i < ws_core_audit_count(c));
	return &c->audit[(first + i) % WS_AUDIT_ENTRIES_MAX];
}

/* ===== Bundles ===== */

static uint64_t version_in_force(const struct ws_core *c)
{
	return c->bundle ? c->bundle->version : 0;
}

static bool is_trusted(const struct ws_core *c, const uint8_t key[32])
{
	size_t i;

	if (!c->bundle)
		return !memcmp(c->conf.seed_operator, key, 32);
	for (i = 0; i < c->bundle->n_operators; i++)
		if (!memcmp(c->bundle->operators[i], key, 32))
			return true;
	return false;
}

/*
 * Partitions divide request ids and rates, shards divide keys. If their number
 * changed, keys and ids would get a second owner.
 */
static int check_fixed(const struct ws_bundle *current,
		       const struct ws_bundle *next)
{
	size_t i;

	if (!current)
		return WS_OK;
	if (next->partitions != current->partitions)
		return WS_ERR_FIXED;
	for (i = 0; i < current->n_services; i++) {
		const struct ws_service *old_svc = &current->services[i];
		const struct ws_service *new_svc =
			ws_bundle_service(next, old_svc->id);

		if (new_svc && (new_svc->sharded != old_svc->sharded ||
				new_svc->shards != old_svc->shards))
			return WS_ERR_FIXED;
	}
	return WS_OK;
}

/* Checks whether a bundle can follow the one in force. */
static int check_bundle(const struct ws_core *c, const struct ws_bundle *b)
{
	if (!b)
		return WS_ERR_SYNTAX;
	if (!is_trusted(c, b->signer))
		return WS_ERR_SIGNATURE;
#ifndef WS_MUTANT_BUNDLE_ANY_BASE
	if (b->base != version_in_force(c) || b->version != b->base + 1)
		return WS_ERR_VERSION;
#endif
	return check_fixed(c->bundle, b);
}

/* Restarts the slow start for targets of zones that are in service again. */
static void slow_start_returned_zones(struct ws_core *c,
				      const struct ws_bundle *before)
{
	const struct ws_view *v = ws_core_member_view(c);
	size_t i;

	for (i = 0; i < v->n_targets; i++) {
		const struct ws_target *t = &v->targets[i];
		const struct ws_zone *old_zone =
			ws_bundle_zone(before, t->zone);
		const struct ws_zone *new_zone =
			ws_bundle_zone(c->bundle, t->zone);

		if (old_zone && new_zone && !old_zone->in_service &&
		    new_zone->in_service && ws_disp_is_open(c->disp, t->id))
			ws_disp_slow_start(c->disp, c->now, t->id);
	}
}

static void apply_bundle(struct ws_core *c, struct ws_bundle *b)
{
	struct ws_bundle *before = c->bundle;

	WS_INVARIANT(b->version > version_in_force(c));
	c->bundle = ws_bundle_ref(b);
	ws_member_set_bundle(c->member, b);
	c->member_dirty = true;
	if (before)
		slow_start_returned_zones(c, before);
	ws_bundle_unref(before);
	ws_fx_log(c->out, WS_LOG_BUNDLE_IN_FORCE, 0, (int64_t)b->version, 0);
}

static void emit_published(struct ws_core *c, uint64_t ref, int error)
{
	struct ws_effect *e = ws_fx_add(c->out, WS_FX_PUBLISHED);

	e->u.published.ref = ref;
	e->u.published.error = error;
	e->u.published.version = version_in_force(c);
}

/* Reports the result to the operator if the record was submitted here. */
static void finish_submission(struct ws_core *c, const struct ws_record *rec,
			      int res)
{
	if (!c->submission.uid || c->submission.uid != rec->uid)
		return;
	c->submission.uid = 0;
	emit_published(c, c->submission.ref, res);
}

static void apply_bundle_record(struct ws_core *c, const struct ws_record *rec)
{
	int res = check_bundle(c, rec->bundle);

	if (!res)
		apply_bundle(c, rec->bundle);
	else
		ws_fx_log(c->out, WS_LOG_BUNDLE_REFUSED, rec->writer,
			  (int64_t)rec->bundle_version, res);
	add_audit_entry(c, rec, res);
	finish_submission(c, rec, res);
}

/* Checks a submission: a bundle, or a RECOVER that lists lost instances. */
static int check_submitted(const struct ws_core *c, const struct ws_record *rec)
{
	if (rec->kind != WS_REC_RECOVER)
		return check_bundle(c, rec->bundle);
	return is_trusted(c, rec->signer) ? WS_OK : WS_ERR_SIGNATURE;
}

void ws_core_publish(struct ws_core *c, const struct ws_event *ev)
{
	struct ws_record *rec;
	int res = check_submitted(c, ev->u.publish.record);

	if (!res && c->submission.uid)
		res = WS_ERR_IN_PROGRESS;
	if (res) {
		add_audit_entry(c, ev->u.publish.record, res);
		emit_published(c, ev->u.publish.ref, res);
		return;
	}
	rec = ws_alloc(1, sizeof(*rec));
	ws_record_copy(rec, ev->u.publish.record);
	rec->uid = ws_mix(c->conf.self, ++c->next_id) | 1;
	if (rec->bundle) {
		rec->bundle_version = rec->bundle->version;
		rec->bundle_base = rec->bundle->base;
	}
	c->submission.uid = rec->uid;
	c->submission.ref = ev->u.publish.ref;
	c->submission.deadline = c->now + SUBMISSION_TIMEOUT;
	ws_core_append(c, rec);
}

/* ===== Folding ===== */

/* Copies a record, without the instances of an untrusted RECOVER. */
static struct ws_record without_untrusted_recover(struct ws_core *c,
						  const struct ws_record *rec)
{
	struct ws_record r = *rec;

	if (rec->kind == WS_REC_RECOVER && !is_trusted(c, rec->signer))
		r.n_gone = 0;
	return r;
}

/*
 * Reports to ws_idem the partitions assigned to this instance, with the fence
 * of the former holder, whose table it needs.
 */
static void announce_partitions(struct ws_core *c, const struct ws_record *rec)
{
	size_t i;

	for (i = 0; i < rec->n_items; i++) {
		const struct ws_assign_item *it = &rec->items[i];

		if (it->res.kind == WS_RES_PARTITION &&
		    it->holder.id == c->conf.self)
			ws_idem_assigned(c->idem, c->wall_ms,
					 (uint32_t)it->res.item, rec->offset,
					 it->expected_fence);
	}
}

static void apply_record(struct ws_core *c, const struct ws_record *rec)
{
	struct ws_record r = without_untrusted_recover(c, rec);

	WS_INVARIANT(rec->offset == ws_own_next_offset(c->own));
	c->counters.records_applied++;
	if (rec->kind == WS_REC_BUNDLE)
		apply_bundle_record(c, rec);
	else if (rec->kind == WS_REC_ASSIGN)
		announce_partitions(c, rec);
	ws_own_apply_record(c->own, ws_core_fx(c), c->now, &r);
	if (rec->kind == WS_REC_RECOVER)
		finish_submission(c, rec, r.n_gone ? WS_OK : WS_ERR_SIGNATURE);
	c->member_dirty = true;
}

/* ===== Snapshots ===== */

/* The signer must be trusted by the bundle in force or by the settings. */
static bool snapshot_trusted(const struct ws_core *c, const struct ws_bundle *b)
{
	return !b || is_trusted(c, b->signer) ||
	       !memcmp(c->conf.seed_operator, b->signer, 32);
}

/* Loads a snapshot that covers records not yet applied here. */
static bool load_snapshot(struct ws_core *c, const struct ws_record *rec)
{
	if (rec->target_offset <= ws_own_next_offset(c->own) ||
	    !snapshot_trusted(c, rec->bundle))
		return false;
	if (rec->bundle && rec->bundle->version > version_in_force(c))
		apply_bundle(c, rec->bundle);
	ws_own_load_snapshot(c->own, ws_core_fx(c), c->now, rec);
	c->member_dirty = true;
	return true;
}

/* ===== Records after a gap ===== */

/*
 * The log may have dropped records that were never applied here. Records after
 * the gap are kept until a snapshot or records of a peer cover it.
 */
static void drop_pending(struct ws_core *c)
{
	size_t i;

	for (i = 0; i < c->n_pending_records; i++)
		ws_record_clear(&c->pending_records[i]);
	c->n_pending_records = 0;
}

static ws_offset next_read_offset(struct ws_core *c)
{
	if (c->n_pending_records)
		return c->pending_records[c->n_pending_records - 1].offset + 1;
	return ws_own_next_offset(c->own);
}

static void apply_pending(struct ws_core *c)
{
	size_t i;

	for (i = 0; i < c->n_pending_records; i++)
		if (c->pending_records[i].offset == ws_own_next_offset(c->own))
			apply_record(c, &c->pending_records[i]);
	drop_pending(c);
}

/* Applies the pending records if peers have filled the gap before them. */
static void close_gap(struct ws_core *c)
{
	if (c->n_pending_records &&
	    c->pending_records[0].offset <= ws_own_next_offset(c->own))
		apply_pending(c);
}

static void keep_pending(struct ws_core *c, const struct ws_record *rec)
{
	if (rec->offset != next_read_offset(c))
		drop_pending(c);
	ws_grow(&c->pending_records, &c->cap_pending_records,
		c->n_pending_records + 1, sizeof(*c->pending_records));
	ws_record_copy(&c->pending_records[c->n_pending_records++], rec);
	if (rec->kind == WS_REC_SNAPSHOT &&
	    rec->target_offset >= c->pending_records[0].offset &&
	    load_snapshot(c, rec))
		apply_pending(c);
}

static void process_record(struct ws_core *c, const struct ws_record *rec)
{
	ws_offset next = ws_own_next_offset(c->own);

	if (rec->offset < next)
		return;
	if (rec->offset > next) {
		keep_pending(c, rec);
		return;
	}
	/* This record may fill the gap before the pending ones. */
	apply_record(c, rec);
	close_gap(c);
}

void ws_core_log_read(struct ws_core *c, const struct ws_event *ev)
{
	size_t i;

	c->reading = false;
	c->next_read = c->now;
	for (i = 0; i < ev->u.log_read.n_records; i++)
		process_record(c, &ev->u.log_read.records[i]);
	if (ws_own_next_offset(c->own) >= ev->u.log_read.head)
		ws_own_log_read_done(c->own, ws_core_fx(c), c->now,
				     ev->u.log_read.started,
				     ev->u.log_read.head);
}

void ws_core_log_failed(struct ws_core *c)
{
	c->reading = false;
	c->next_read = c->now + READ_RETRY_DELAY;
}

/*
 * Applies records that a peer has applied, in the same order. A snapshot that
 * covers its own offset replaces all records up to that offset.
 */
void ws_core_log_tail(struct ws_core *c, const struct ws_msg *msg)
{
	size_t i;

	for (i = 0; i < msg->u.tail.n_records; i++) {
		const struct ws_record *rec = &msg->u.tail.records[i];

		if (rec->kind == WS_REC_SNAPSHOT &&
		    rec->target_offset > rec->offset)
			load_snapshot(c, rec);
		else if (rec->offset == ws_own_next_offset(c->own))
			apply_record(c, rec);
	}
	close_gap(c);
}

/* ===== Appends ===== */

/* Releases answers that were sent with a handover; they are not kept here. */
static void release_handed_over(struct ws_core *c, size_t from)
{
	size_t n = c->out->n;
	size_t i;
	size_t k;

	for (i = from; i < n; i++) {
		struct ws_msg m = c->out->items[i].u.send.msg;

		if (c->out->items[i].kind != WS_FX_SEND ||
		    m.kind != WS_MSG_HANDOVER)
			continue;
		for (k = 0; k < m.u.handover.n_entries; k++)
			ws_core_release(c, m.u.handover.entries[k].payload);
	}
}

/*
 * Sends the tables of request ids to the next holders of the partitions before
 * the release of these partitions is appended.
 */
static void send_handovers(struct ws_core *c, const struct ws_record *rec)
{
	size_t from = c->out->n;
	size_t i;

	for (i = 0; i < rec->n_items; i++) {
		const struct ws_assign_item *it = &rec->items[i];

		if (it->res.kind != WS_RES_PARTITION)
			continue;
		ws_idem_handover(c->idem, c->out, c->wall_ms,
				 (uint32_t)it->res.item, c->bundle->partitions,
				 it->expected_fence, it->holder.id);
	}
	release_handed_over(c, from);
}

/* True if a target whose dispatch is released has requests in flight. */
static bool is_busy(struct ws_core *c, const struct ws_record *rec)
{
	size_t i;

	for (i = 0; i < rec->n_items; i++)
		if (rec->items[i].res.kind == WS_RES_DISPATCH &&
		    ws_disp_in_flight(c->disp, rec->items[i].res.item))
			return true;
	return false;
}

static void emit_append(struct ws_core *c, struct ws_record *rec)
{
	struct ws_effect *e;

	if (rec->released && c->bundle)
		send_handovers(c, rec);
	e = ws_fx_add(c->out, WS_FX_APPEND);
	e->u.append = rec;
	c->counters.appends++;
}

/* Appends a record, or delays it while is_busy(). Takes ownership of it. */
void ws_core_append(struct ws_core *c, struct ws_record *rec)
{
	rec->writer = c->conf.self;
	rec->wall_ms = c->wall_ms;
	if (rec->released && is_busy(c, rec)) {
		ws_grow(&c->delayed_appends, &c->cap_delayed_appends,
			c->n_delayed_appends + 1, sizeof(*c->delayed_appends));
		c->delayed_appends[c->n_delayed_appends].record = rec;
		c->delayed_appends[c->n_delayed_appends].until =
			c->now + APPEND_DELAY_MAX;
		c->n_delayed_appends++;
		return;
	}
	emit_append(c, rec);
}

/* Appends delayed records whose targets are idle or whose time is up. */
static void append_delayed(struct ws_core *c)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < c->n_delayed_appends; i++) {
		struct core_delayed_append *h = &c->delayed_appends[i];

		if (c->now < h->until && is_busy(c, h->record))
			c->delayed_appends[kept++] = *h;
		else
			emit_append(c, h->record);
	}
	c->n_delayed_appends = kept;
}

void ws_core_appended(struct ws_core *c, uint64_t uid, ws_offset offset,
		      int error, bool unknown)
{
	(void)offset;
	if (c->submission.uid != uid) {
		ws_own_append_done(c->own, ws_core_fx(c), c->now, uid, error,
				   unknown);
		return;
	}
	/* An unknown result is resolved by reading it back, or times out. */
	if (!error || unknown)
		return;
	c->submission.uid = 0;
	emit_published(c, c->submission.ref, error);
}

/* ===== Periodic work ===== */

static void read_log(struct ws_core *c)
{
	struct ws_effect *e;

	if (c->reading || c->now < c->next_read)
		return;
	c->reading = true;
	e = ws_fx_add(c->out, WS_FX_LOG_READ);
	e->u.log_read.from = next_read_offset(c);
}

void ws_core_log_tick(struct ws_core *c)
{
	append_delayed(c);
	read_log(c);
	if (!c->submission.uid || c->now < c->submission.deadline)
		return;
	c->submission.uid = 0;
	emit_published(c, c->submission.ref, WS_ERR_UNKNOWN_OUTCOME);
}
