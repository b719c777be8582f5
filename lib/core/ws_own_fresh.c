#include "core/ws_own_internal.h"

#include <string.h>

/*
 * Freshness: whether every record that matters has been applied here. It is
 * shown by complete log reads or, if the log is unreachable, by rounds in which
 * the holders of a majority of partitions confirm that they know nothing newer.
 */

/* ===== Votes ===== */

static size_t voter_slot(const struct ws_own *o, ws_id id)
{
	size_t lo = 0;
	size_t hi = o->n_voters;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (o->voters[mid].id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static const struct own_voter *voter_find(const struct ws_own *o, ws_id id)
{
	size_t i = voter_slot(o, id);

	return i < o->n_voters && o->voters[i].id == id ? &o->voters[i] : NULL;
}

static struct own_voter *voter_get(struct ws_own *o, ws_id id)
{
	size_t i = voter_slot(o, id);

	if (i < o->n_voters && o->voters[i].id == id)
		return &o->voters[i];
	ws_grow(&o->voters, &o->cap_voters, o->n_voters + 1,
		sizeof(*o->voters));
	memmove(&o->voters[i + 1], &o->voters[i],
		(o->n_voters - i) * sizeof(*o->voters));
	o->n_voters++;
	memset(&o->voters[i], 0, sizeof(*o->voters));
	o->voters[i].id = id;
	return &o->voters[i];
}

/* Removes instances that are no longer in the view. */
static void prune_voters(struct ws_own *o, const struct ws_view *view)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < o->n_voters; i++)
		if (ws_view_instance(view, o->voters[i].id))
			o->voters[n++] = o->voters[i];
	o->n_voters = n;
}

bool own_is_gone(const struct ws_own *o, ws_id id)
{
	size_t i;

	for (i = 0; i < o->n_gone; i++)
		if (o->gone[i] == id)
			return true;
	return false;
}

/* Only the active holder of a partition has its vote in freshness rounds. */
static bool may_vote(const struct own_entry *e)
{
#ifdef WS_MUTANT_NON_HOLDER_VOTES
	return !own_relinquished(e);
#else
	return e->a.active && !own_relinquished(e);
#endif
}

/*
 * No instance has counted the next holder of a partition that waits for
 * activation yet. Until activation, records are confirmed by its last active
 * holder, which instances that lag still count.
 */
ws_id own_voter_of(const struct own_entry *e)
{
	return e->a.active ? e->a.holder.id : e->last_active_holder;
}

static bool has_applied(const struct ws_own *o, ws_id holder, ws_offset offset)
{
	const struct own_voter *v;

	if (holder == o->self)
		return o->next_offset > offset;
	if (own_is_gone(o, holder))
		return true;
	v = voter_find(o, holder);
	return v && v->next_offset > offset;
}

bool own_majority_applied(const struct ws_own *o, ws_offset offset)
{
	size_t votes = 0;
	size_t i;

#ifdef WS_MUTANT_ANSWERS_SKIPPED
	return true;
#endif
	for (i = 0; i < o->n_partitions; i++) {
		ws_id id = own_voter_of(&o->entries[o->partitions[i]]);

		if (id && has_applied(o, id, offset))
			votes++;
	}
	return votes * 2 > o->n_partitions;
}

/*
 * An answer counts for a round if it was given to this round or a later one and
 * the sender has applied no more than this instance.
 */
static bool has_answered(const struct ws_own *o, ws_id holder, uint64_t round)
{
	const struct own_voter *v;

	if (holder == o->self)
		return true;
	v = voter_find(o, holder);
#ifdef WS_MUTANT_AHEAD_COUNTED
	return v && v->round >= round;
#endif
	return v && v->round >= round && v->next_offset <= o->next_offset;
}

static bool round_complete(const struct ws_own *o, uint64_t round)
{
	size_t votes = 0;
	size_t i;

	for (i = 0; i < o->n_partitions; i++) {
		const struct own_entry *e = &o->entries[o->partitions[i]];

		if (may_vote(e) && has_answered(o, e->a.holder.id, round))
			votes++;
	}
	return votes * 2 > o->n_partitions;
}

static void evaluate_rounds(struct ws_own *o)
{
	uint64_t oldest =
		o->round > OWN_ROUNDS_KEPT ? o->round - OWN_ROUNDS_KEPT : 0;
	uint64_t r;

	if (!o->n_partitions)
		return;
	for (r = o->round; r > oldest; r--) {
		const struct own_round *x = &o->rounds[r % OWN_ROUNDS_KEPT];

		if (o->has_quorum_evidence && x->started <= o->quorum_evidence)
			return;
		if (!round_complete(o, r))
			continue;
		o->quorum_evidence = x->started;
		o->has_quorum_evidence = true;
		return;
	}
}

/* ===== Rounds ===== */

void own_start_round(struct ws_own *o, struct ws_fx *fx, ws_us now,
		     ws_us period)
{
	struct ws_effect *e;

	if (o->round && now - o->round_started_at < period)
		return;
	o->round++;
	o->round_started_at = now;
	o->rounds[o->round % OWN_ROUNDS_KEPT] =
		(struct own_round){ .id = o->round, .started = now };
	e = ws_fx_add(fx, WS_FX_SEND);
	e->u.send.msg.kind = WS_MSG_FRESH_ASK;
	e->u.send.msg.u.fresh.round = o->round;
	e->u.send.msg.u.fresh.next_offset = o->next_offset;
}

/*
 * An instance with a release in flight does not answer: an answer counts for
 * all partitions that the asking instance believes this one holds, including
 * the one being released.
 */
static bool may_answer(const struct ws_own *o)
{
	bool any = false;
	size_t i;

	for (i = 0; i < o->n_partitions; i++) {
		const struct own_entry *e = &o->entries[o->partitions[i]];

#ifndef WS_MUTANT_ANSWERS_AFTER_RELEASE
		if (e->a.holder.id == o->self && own_relinquished(e))
			return false;
#endif
		any = any || own_voter_of(e) == o->self;
	}
	return any;
}

static void send_answer(struct ws_own *o, struct ws_fx *fx, ws_id to,
			uint64_t round)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_SEND);

	e->u.send.to = to;
	e->u.send.msg.kind = WS_MSG_FRESH_ANSWER;
	e->u.send.msg.u.fresh.round = round;
	e->u.send.msg.u.fresh.next_offset = o->next_offset;
}

void own_fresh_msg(struct ws_own *o, struct ws_fx *fx, ws_us now, ws_id from,
		   const struct ws_msg *msg)
{
	struct own_voter *v;

	(void)now;
	if (msg->kind == WS_MSG_FRESH_ASK) {
		if (may_answer(o))
			send_answer(o, fx, from, msg->u.fresh.round);
		return;
	}
	if (msg->u.fresh.round > o->round)
		return;
	v = voter_get(o, from);
	if (msg->u.fresh.round > v->round)
		v->round = msg->u.fresh.round;
	if (msg->u.fresh.next_offset > v->next_offset)
		v->next_offset = msg->u.fresh.next_offset;
	evaluate_rounds(o);
}

/* ===== Log reads ===== */

void ws_own_log_read_done(struct ws_own *o, struct ws_fx *fx, ws_us now,
			  ws_us started, ws_offset next)
{
	(void)fx;
	(void)now;
	if (next > o->next_offset)
		return;
	if (!o->has_log_evidence || started > o->log_evidence)
		o->log_evidence = started;
	o->has_log_evidence = true;
}

/* ===== Catching up from peers ===== */

static ws_id find_peer_ahead(const struct ws_own *o, const struct ws_view *view)
{
	ws_offset best = o->next_offset;
	ws_id id = 0;
	size_t i;

	for (i = 0; i < view->n_instances; i++) {
		const struct ws_instance *x = &view->instances[i];

		if (x->id == o->self || !x->alive || x->next_offset <= best)
			continue;
		best = x->next_offset;
		id = x->id;
	}
	for (i = 0; i < o->n_voters; i++) {
		if (o->voters[i].next_offset <= best)
			continue;
		best = o->voters[i].next_offset;
		id = o->voters[i].id;
	}
	return id;
}

static void request_tail(struct ws_own *o, struct ws_fx *fx, ws_us now,
			 const struct ws_view *view)
{
	ws_id to = find_peer_ahead(o, view);
	struct ws_effect *e;

	if (!to || now - o->tail_asked_at < OWN_TAIL_ASK_PERIOD)
		return;
	o->tail_asked_at = now;
	e = ws_fx_add(fx, WS_FX_SEND);
	e->u.send.to = to;
	e->u.send.msg.kind = WS_MSG_TAIL_ASK;
	e->u.send.msg.u.tail.from = o->next_offset;
}

/* ===== Tick and queries ===== */

static bool log_silent(const struct ws_own *o, ws_us now)
{
	return !o->has_log_evidence || now - o->log_evidence > OWN_LOG_SILENCE;
}

bool own_log_recent(const struct ws_own *o, ws_us now)
{
	return o->has_log_evidence && now - o->log_evidence <= OWN_LOG_RECENT;
}

static void log_freshness_changes(struct ws_own *o, struct ws_fx *fx, ws_us now)
{
	bool fresh = own_fresh(o, now);
	bool quorum = fresh && now >= o->log_evidence + WS_LEASE_DURATION;

	if (fresh != o->was_fresh)
		ws_fx_log(fx, fresh ? WS_LOG_FRESH_AGAIN : WS_LOG_NOT_FRESH,
			  o->self, (int64_t)o->next_offset, 0);
	if (quorum && !o->fresh_by_quorum)
		ws_fx_log(fx, WS_LOG_QUORUM_EVIDENCE, o->self,
			  (int64_t)o->next_offset, 0);
	o->was_fresh = fresh;
	o->fresh_by_quorum = quorum;
}

void own_fresh_tick(struct ws_own *o, struct ws_fx *fx, ws_us now,
		    const struct ws_view *view)
{
	prune_voters(o, view);
	o->outage_limit = OWN_OUTAGE_LIMIT;
	if (view->bundle && view->bundle->outage_limit < OWN_OUTAGE_LIMIT)
		o->outage_limit = view->bundle->outage_limit;
	if (log_silent(o, now)) {
		own_start_round(o, fx, now, OWN_ROUND_PERIOD);
		request_tail(o, fx, now, view);
	}
	evaluate_rounds(o);
	log_freshness_changes(o, fx, now);
}

ws_us ws_own_fresh_until(const struct ws_own *o)
{
	ws_us until;
	ws_us quorum;

	if (!o->has_log_evidence)
		return 0;
	until = o->log_evidence + WS_LEASE_DURATION;
	if (!o->has_quorum_evidence)
		return until;
	quorum = o->quorum_evidence + WS_LEASE_DURATION;
#ifndef WS_MUTANT_OUTAGE_UNBOUNDED
	if (quorum > o->log_evidence + o->outage_limit)
		quorum = o->log_evidence + o->outage_limit;
#endif
	return quorum > until ? quorum : until;
}

ws_us ws_own_evidence_time(const struct ws_own *o)
{
	ws_us at = 0;

	if (o->has_log_evidence)
		at = o->log_evidence;
	if (o->has_quorum_evidence && o->quorum_evidence > at)
		at = o->quorum_evidence;
	return at;
}

bool own_fresh(const struct ws_own *o, ws_us now)
{
	return now < ws_own_fresh_until(o);
}
