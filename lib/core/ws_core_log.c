#include "core/ws_core_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Records of the log: folding them in order, bundles and their audit trail,
 * appends.
 */

/* Pause after a failed read, so that a log that is down is not flooded. */
#define READ_RETRY (100 * WS_MS)

/* A submitted bundle that is not seen in the log by then is in doubt. */
#define PUBLISH_WAIT (5 * WS_SECOND)

/* A released dispatch waits this long for requests in flight. */
#define HOLD_MAX (5 * WS_SECOND)

/* ===== Verdicts on bundles ===== */

static void note_verdict(struct ws_core *c, const struct ws_record *rec,
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
 * Partitions divide ids and rates, shards divide keys: a change would give
 * keys and ids a second owner.
 */
static int check_fixed(const struct ws_bundle *now, const struct ws_bundle *b)
{
	size_t i;

	if (!now)
		return WS_OK;
	if (b->partitions != now->partitions)
		return WS_ERR_FIXED;
	for (i = 0; i < now->n_services; i++) {
		const struct ws_service *was = &now->services[i];
		const struct ws_service *is = ws_bundle_service(b, was->id);

		if (is &&
		    (is->sharded != was->sharded || is->shards != was->shards))
			return WS_ERR_FIXED;
	}
	return WS_OK;
}

/* Would this bundle be accepted as the next one? */
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

/* Targets of a zone that returns start slowly. */
static void restart_zones(struct ws_core *c, const struct ws_bundle *before)
{
	const struct ws_view *v = ws_core_member_view(c);
	size_t i;

	for (i = 0; i < v->n_targets; i++) {
		const struct ws_target *t = &v->targets[i];
		const struct ws_zone *was = ws_bundle_zone(before, t->zone);
		const struct ws_zone *is = ws_bundle_zone(c->bundle, t->zone);

		if (was && is && !was->in_service && is->in_service &&
		    ws_disp_is_open(c->disp, t->id))
			ws_disp_slow_start(c->disp, c->now, t->id);
	}
}

static void adopt_bundle(struct ws_core *c, struct ws_bundle *b)
{
	struct ws_bundle *before = c->bundle;

	WS_INVARIANT(b->version > version_in_force(c));
	c->bundle = ws_bundle_ref(b);
	ws_member_set_bundle(c->member, b);
	c->member_dirty = true;
	if (before)
		restart_zones(c, before);
	ws_bundle_unref(before);
	ws_fx_log(c->out, WS_LOG_BUNDLE_IN_FORCE, 0, (int64_t)b->version, 0);
}

static void publish_result(struct ws_core *c, uint64_t ref, int error)
{
	struct ws_effect *e = ws_fx_add(c->out, WS_FX_PUBLISHED);

	e->u.published.ref = ref;
	e->u.published.error = error;
	e->u.published.version = version_in_force(c);
}

/* Tells the submitter of a record what became of it. */
static void settle_publish(struct ws_core *c, const struct ws_record *rec,
			   int res)
{
	if (!c->publish.uid || c->publish.uid != rec->uid)
		return;
	c->publish.uid = 0;
	publish_result(c, c->publish.ref, res);
}

static void fold_bundle(struct ws_core *c, const struct ws_record *rec)
{
	int res = check_bundle(c, rec->bundle);

	if (!res)
		adopt_bundle(c, rec->bundle);
	else
		ws_fx_log(c->out, WS_LOG_BUNDLE_REFUSED, rec->writer,
			  (int64_t)rec->bundle_version, res);
	note_verdict(c, rec, res);
	settle_publish(c, rec, res);
}

/* A statement that instances are gone, or a bundle. */
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

	if (!res && c->publish.uid)
		res = WS_ERR_IN_PROGRESS;
	if (res) {
		note_verdict(c, ev->u.publish.record, res);
		publish_result(c, ev->u.publish.ref, res);
		return;
	}
	rec = ws_alloc(1, sizeof(*rec));
	ws_record_copy(rec, ev->u.publish.record);
	rec->uid = ws_mix(c->conf.self, ++c->next_id) | 1;
	if (rec->bundle) {
		rec->bundle_version = rec->bundle->version;
		rec->bundle_base = rec->bundle->base;
	}
	c->publish.uid = rec->uid;
	c->publish.ref = ev->u.publish.ref;
	c->publish.deadline = c->now + PUBLISH_WAIT;
	ws_core_append(c, rec);
}

/* ===== Folding ===== */

/* A statement that instances are gone counts only from an operator. */
static struct ws_record checked(struct ws_core *c, const struct ws_record *rec)
{
	struct ws_record r = *rec;

	if (rec->kind == WS_REC_RECOVER && !is_trusted(c, rec->signer))
		r.n_gone = 0;
	return r;
}

/* Tells ws_idem whose table it needs for partitions assigned to it. */
static void note_partitions(struct ws_core *c, const struct ws_record *rec)
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

static void fold(struct ws_core *c, const struct ws_record *rec)
{
	struct ws_record r = checked(c, rec);

	WS_INVARIANT(rec->offset == ws_own_next_offset(c->own));
	c->counters.records_folded++;
	if (rec->kind == WS_REC_BUNDLE)
		fold_bundle(c, rec);
	else if (rec->kind == WS_REC_ASSIGN)
		note_partitions(c, rec);
	ws_own_apply_record(c->own, ws_core_fx(c), c->now, &r);
	if (rec->kind == WS_REC_RECOVER)
		settle_publish(c, rec, r.n_gone ? WS_OK : WS_ERR_SIGNATURE);
	c->member_dirty = true;
}

/* ===== Snapshots ===== */

/* A signer is trusted by the bundle in force here, or by the settings. */
static bool snapshot_trusted(const struct ws_core *c, const struct ws_bundle *b)
{
	return !b || is_trusted(c, b->signer) ||
	       !memcmp(c->conf.seed_operator, b->signer, 32);
}

/* Loads a snapshot that covers more than was folded here. */
static bool load_snapshot(struct ws_core *c, const struct ws_record *rec)
{
	if (rec->target_offset <= ws_own_next_offset(c->own) ||
	    !snapshot_trusted(c, rec->bundle))
		return false;
	if (rec->bundle && rec->bundle->version > version_in_force(c))
		adopt_bundle(c, rec->bundle);
	ws_own_load_snapshot(c->own, ws_core_fx(c), c->now, rec);
	c->member_dirty = true;
	return true;
}

/* ===== Records after a gap ===== */

/*
 * The log may have dropped records that were never folded here. What comes
 * after the gap is kept until a snapshot covers the gap.
 */
static void drop_backlog(struct ws_core *c)
{
	size_t i;

	for (i = 0; i < c->n_pending_records; i++)
		ws_record_clear(&c->pending_records[i]);
	c->n_pending_records = 0;
}

static ws_offset next_wanted(struct ws_core *c)
{
	if (c->n_pending_records)
		return c->pending_records[c->n_pending_records - 1].offset + 1;
	return ws_own_next_offset(c->own);
}

static void fold_backlog(struct ws_core *c)
{
	size_t i;

	for (i = 0; i < c->n_pending_records; i++)
		if (c->pending_records[i].offset == ws_own_next_offset(c->own))
			fold(c, &c->pending_records[i]);
	drop_backlog(c);
}

/* Records from elsewhere may have reached the start of the backlog. */
static void close_gap(struct ws_core *c)
{
	if (c->n_pending_records &&
	    c->pending_records[0].offset <= ws_own_next_offset(c->own))
		fold_backlog(c);
}

static void keep_backlog(struct ws_core *c, const struct ws_record *rec)
{
	if (rec->offset != next_wanted(c))
		drop_backlog(c);
	ws_grow(&c->pending_records, &c->cap_pending_records,
		c->n_pending_records + 1, sizeof(*c->pending_records));
	ws_record_copy(&c->pending_records[c->n_pending_records++], rec);
	if (rec->kind == WS_REC_SNAPSHOT &&
	    rec->target_offset >= c->pending_records[0].offset &&
	    load_snapshot(c, rec))
		fold_backlog(c);
}

static void take_record(struct ws_core *c, const struct ws_record *rec)
{
	ws_offset next = ws_own_next_offset(c->own);

	if (rec->offset < next)
		return;
	if (rec->offset > next) {
		keep_backlog(c, rec);
		return;
	}
	/* A peer may have filled the gap meanwhile. */
	fold(c, rec);
	close_gap(c);
}

void ws_core_log_read(struct ws_core *c, const struct ws_event *ev)
{
	size_t i;

	c->reading = false;
	c->next_read = c->now;
	for (i = 0; i < ev->u.log_read.n_records; i++)
		take_record(c, &ev->u.log_read.records[i]);
	if (ws_own_next_offset(c->own) >= ev->u.log_read.head)
		ws_own_log_read_done(c->own, ws_core_fx(c), c->now,
				     ev->u.log_read.started,
				     ev->u.log_read.head);
}

void ws_core_log_failed(struct ws_core *c)
{
	c->reading = false;
	c->next_read = c->now + READ_RETRY;
}

/*
 * Records that a peer has folded; folded here in the same order. A snapshot
 * that covers its own offset stands for all records up to it.
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
			fold(c, rec);
	}
	close_gap(c);
}

/* ===== Appends ===== */

/* Answers that went along with a handover are not kept here any more. */
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

/* Passes the memory of request ids on before a partition changes hands. */
static void hand_over(struct ws_core *c, const struct ws_record *rec)
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

/* Does a released dispatch still have requests at its target? */
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
		hand_over(c, rec);
	e = ws_fx_add(c->out, WS_FX_APPEND);
	e->u.append = rec;
	c->counters.appends++;
}

/* Takes over the record. */
void ws_core_append(struct ws_core *c, struct ws_record *rec)
{
	rec->writer = c->conf.self;
	rec->wall_ms = c->wall_ms;
	if (rec->released && is_busy(c, rec)) {
		ws_grow(&c->delayed_appends, &c->cap_delayed_appends,
			c->n_delayed_appends + 1, sizeof(*c->delayed_appends));
		c->delayed_appends[c->n_delayed_appends].record = rec;
		c->delayed_appends[c->n_delayed_appends].until =
			c->now + HOLD_MAX;
		c->n_delayed_appends++;
		return;
	}
	emit_append(c, rec);
}

static void release_held(struct ws_core *c)
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
	if (c->publish.uid != uid) {
		ws_own_append_done(c->own, ws_core_fx(c), c->now, uid, error,
				   unknown);
		return;
	}
	/* An append in doubt is settled by reading it back, or times out. */
	if (!error || unknown)
		return;
	c->publish.uid = 0;
	publish_result(c, c->publish.ref, error);
}

/* ===== Periodic work ===== */

static void read_log(struct ws_core *c)
{
	struct ws_effect *e;

	if (c->reading || c->now < c->next_read)
		return;
	c->reading = true;
	e = ws_fx_add(c->out, WS_FX_LOG_READ);
	e->u.log_read.from = next_wanted(c);
}

void ws_core_log_tick(struct ws_core *c)
{
	release_held(c);
	read_log(c);
	if (!c->publish.uid || c->now < c->publish.deadline)
		return;
	c->publish.uid = 0;
	publish_result(c, c->publish.ref, WS_ERR_UNKNOWN_OUTCOME);
}
