#include "edgeio/ws_eio_topic.h"

#include <inttypes.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_position.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_records.h"

/* Evidence older than this is renewed by a read that returns at once. */
#define URGENT_EVIDENCE_AGE (1500 * WS_MS)
/*
 * Long polls are shortened randomly by up to this fraction, so that instances
 * do not poll at the same time.
 */
#define WAIT_JITTER 0.3
/*
 * Many instances read from the same one, so each waits for the answer and then
 * for this time before it asks again.
 */
#define ASK_MEMBER_DELAY (150 * WS_MS)
/* The same after an answer without records, as from a restarted instance. */
#define ASK_MEMBER_RETRY_DELAY (1 * WS_SECOND)
/*
 * Records that a restore of the store has lost are written again within about
 * two seconds.
 */
#define SETTLE_TIME (1700 * WS_MS)
/* Exponential backoff after a failed call to the store. */
#define RETRY_DELAY_MIN (100 * WS_MS)
#define RETRY_DELAY_MAX (800 * WS_MS)
/*
 * The same while a relay retries for this instance: retries of hundreds of
 * instances would make an outage worse.
 */
#define RELAYED_RETRY_DELAY_MIN (1 * WS_SECOND)
#define RELAYED_RETRY_DELAY_MAX (4 * WS_SECOND)

static void on_record(void *arg, const struct wp_record *r)
{
	struct ws_eio_topic *t = arg;

	if (!t->following)
		g_hash_table_add(t->seen_keys, g_strdup(r->key));
	else if (t->ops->shared)
		ws_eio_records_add(t->store->io->records, t->ops->topic, r);
	t->ops->on_record(t, r);
}

void ws_eio_topic_restart(struct ws_eio_topic *t)
{
	t->following = false;
	t->first_page = true;
	t->after_key[0] = '\0';
	g_hash_table_remove_all(t->seen_keys);
}

bool ws_eio_topic_is_settling(const struct ws_eio_topic *t)
{
	return !t->following && t->call_started_at < t->settles_at;
}

static void finish_snapshot(struct ws_eio_topic *t)
{
	bool settled = !ws_eio_topic_is_settling(t);

	t->following = true;
	t->next = t->snapshot_end;
	t->next_snapshot_at = settled ? 0 : t->settles_at;
	ws_eio_records_set_end(t->store->io->records, t->ops->topic, t->next);
	if (t->ops->on_snapshot && settled)
		t->ops->on_snapshot(t);
	t->ops->on_synced(t, t->snapshot_started_at, t->snapshot_end, true);
}

static void handle_snapshot_page(struct ws_eio_topic *t,
				 const struct wp_reply *r)
{
	if (t->first_page) {
		t->snapshot_end = ws_ed_position(t->era, r->end_offset);
		t->snapshot_started_at = r->started_at;
		t->first_page = false;
	}
	if (r->has_more && strcmp(t->after_key, r->last_key) != 0)
		memcpy(t->after_key, r->last_key, sizeof(t->after_key));
	else
		finish_snapshot(t);
}

/* A relay reads the store for this instance and reports new records. */
static bool relay_reads_store(const struct ws_eio_topic *t, ws_us now)
{
	const struct ws_ed_peers *p = ws_edge_peers(t->store->io->edge);

	return p->uses_relays && !p->is_relay &&
	       !ws_ed_peers_reads_store(p, now);
}

static void handle_failure(struct ws_eio_topic *t, ws_us now)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_STORE_FAILED };

	bool relayed = t->following && relay_reads_store(t, now);
	ws_us min = relayed ? RELAYED_RETRY_DELAY_MIN : RETRY_DELAY_MIN;
	ws_us max = relayed ? RELAYED_RETRY_DELAY_MAX : RETRY_DELAY_MAX;

	t->retry_delay = t->retry_delay > min / 2 ? 2 * t->retry_delay : min;
	if (t->retry_delay > max)
		t->retry_delay = max;
	t->next_call_at = now + t->retry_delay;
	if (!t->last_call_failed)
		ws_eio_log(WS_LOG_LOG_DOWN, 0, (int64_t)t->ops->topic, NULL);
	t->last_call_failed = true;
	ws_eio_handle_event(t->store->io, &ev);
}

static void handle_success(struct ws_eio_topic *t)
{
	if (t->last_call_failed)
		ws_eio_log(WS_LOG_LOG_UP, 0, (int64_t)t->ops->topic, NULL);
	t->last_call_failed = false;
	t->retry_delay = 0;
	t->next_call_at = 0;
}

static void start_call(struct ws_eio_topic *t);
static bool reads_store(const struct ws_eio_topic *t);

/* An instance that gets the records through others reads the store rarely. */
static void delay_if_relayed(struct ws_eio_topic *t)
{
	if (t->following && t->ops->relayed_refresh && !reads_store(t))
		t->next_call_at = ws_eio_now() + t->ops->relayed_refresh;
}

/*
 * @param next position after the last record read
 * @param end position after the newest record of the topic
 * @param started start of the call to the store; 0: to another instance
 */
static void finish_read(struct ws_eio_topic *t, uint64_t next, uint64_t end,
			ws_us started)
{
	t->next = next;
	ws_eio_records_set_end(t->store->io->records, t->ops->topic, next);
	t->ops->on_synced(t, started, end, next >= end);
}

/*
 * Instances exchange positions in place of offsets. Falls back to the store if
 * the other one did not have the records.
 */
static void handle_member_reply(struct ws_eio_topic *t,
				const struct wp_reply *r)
{
	t->asks_member = false;
	t->ask_member_at = ws_eio_now() + ASK_MEMBER_DELAY;
	if (r->outcome == WP_DONE && r->next_offset > t->next) {
		finish_read(t, r->next_offset, r->end_offset, 0);
		return;
	}
	t->ask_member_at = ws_eio_now() + ASK_MEMBER_RETRY_DELAY;
	t->next_call_at = ws_eio_now();
}

static void handle_store_reply(struct ws_eio_topic *t, const struct wp_reply *r)
{
	uint64_t next = ws_ed_position(t->era, r->next_offset);

	if (!t->following) {
		handle_snapshot_page(t, r);
		return;
	}
	if (next > t->next)
		t->next_call_at = ws_eio_now() + t->ops->batch_delay;
	finish_read(t, next, ws_ed_position(t->era, r->end_offset),
		    r->started_at);
}

/*
 * Notices that the store was restored from a copy. Records after a known offset
 * are then not those that follow the ones read before.
 * @return whether it was restored since the last answer
 */
static bool note_era(struct ws_eio_topic *t, const struct wp_reply *r)
{
	bool restored = t->era && r->era > t->era;
	char *detail;

	ws_eio_store_note_era(t->store, r->era);
	if (r->era > t->era)
		t->era = r->era;
	if (!restored)
		return false;
	detail = g_strdup_printf("topic %d was read up to %" PRIu64,
				 (int)t->ops->topic,
				 ws_ed_position_offset(t->next));
	ws_eio_log(WS_LOG_LOG_RESTORED, 0, (int64_t)r->era, detail);
	g_free(detail);
	t->settles_at = ws_eio_now() + SETTLE_TIME;
	ws_eio_topic_restart(t);
	return true;
}

static void on_reply(void *arg, const struct wp_reply *r)
{
	struct ws_eio_topic *t = arg;
	bool restored;

	t->call = NULL;
	if (t->asks_member) {
		handle_member_reply(t, r);
		return;
	}
	restored = note_era(t, r);
	if (r->outcome == WP_TRUNCATED) {
		ws_eio_topic_restart(t);
	} else if (r->outcome != WP_DONE) {
		handle_failure(t, ws_eio_now());
		return;
	} else {
		handle_success(t);
		if (!restored)
			handle_store_reply(t, r);
	}
	delay_if_relayed(t);
	if (!t->call && !t->next_call_at)
		start_call(t);
}

static bool reads_store(const struct ws_eio_topic *t)
{
	return t->ops->edge_topic == WS_EDT_COUNT ||
	       ws_edge_should_read(t->store->io->edge, ws_eio_now(),
				   t->ops->edge_topic);
}

static void report_read_started(struct ws_eio_topic *t)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_STARTED };

	if (t->ops->edge_topic == WS_EDT_COUNT)
		return;
	ev.u.reading = t->ops->edge_topic;
	ws_eio_handle_event(t->store->io, &ev);
}

/* Evidence is old, as after a restart of all instances, and others need it. */
static bool is_urgent(const struct ws_eio_topic *t)
{
	return t->ops->edge_topic < WS_ED_EVIDENCE_TOPICS &&
	       ws_edge_topic_age(t->store->io->edge, ws_eio_now(),
				 t->ops->edge_topic) > URGENT_EVIDENCE_AGE;
}

/* Long polls are used only by an instance that reads the store regularly. */
static ws_us jittered_wait(struct ws_eio_topic *t)
{
	double part = (double)ws_rand_below(&t->store->rand, 1000) / 1000.0;

	if (!reads_store(t) || is_urgent(t))
		return 0;
	return (ws_us)((double)t->ops->max_wait(t->store->io) *
		       (1.0 - WAIT_JITTER * part));
}

/* Skips versions of the map that were received through heartbeats. */
static void skip_known_map(struct ws_eio_topic *t)
{
	uint64_t end;

	if (t->ops->edge_topic != WS_EDT_MAP || !t->following)
		return;
	end = ws_edge_topic_end(t->store->io->edge, t->ops->edge_topic);
	if (end <= t->next)
		return;
	t->next = end;
	t->era = ws_ed_position_era(end);
}

bool ws_eio_topic_ask_member(struct ws_eio_topic *t)
{
	const struct wp_store_callbacks callbacks = {
		.on_record = on_record,
		.on_done = on_reply,
		.arg = t,
	};
	const struct ws_ed_member *m;
	char address[2 * WS_ED_ADDRESS_MAX];

	if (!t->following || !t->ops->shared)
		return false;
	m = ws_edge_topic_source(t->store->io->edge, ws_eio_now(),
				 t->ops->edge_topic);
	if (!m)
		return false;
	ws_eio_records_address(t->store->io, m, address, sizeof(address));
	t->call_started_at = ws_eio_now();
	t->asks_member = true;
	t->long_poll = false;
	t->call = wp_store_read(t->store->client, address, t->ops->topic,
				t->next, 0, &callbacks);
	return true;
}

static void start_call(struct ws_eio_topic *t)
{
	const struct wp_store_callbacks callbacks = {
		.on_record = on_record,
		.on_done = on_reply,
		.arg = t,
	};
	ws_us wait = t->following ? jittered_wait(t) : 0;

	t->call_started_at = ws_eio_now();
	t->asks_member = false;
	t->long_poll = wait > 0;
	skip_known_map(t);
	report_read_started(t);
	if (t->following)
		t->call = wp_store_read(t->store->client, NULL, t->ops->topic,
					ws_ed_position_offset(t->next), wait,
					&callbacks);
	else
		t->call = wp_store_read_newest(t->store->client, t->ops->topic,
					       t->after_key, &callbacks);
}

/* Reads the settled state after a restore of the store. */
static void start_due_snapshot(struct ws_eio_topic *t, ws_us now)
{
	if (!t->next_snapshot_at || now < t->next_snapshot_at ||
	    (t->call && !t->long_poll))
		return;
	t->next_snapshot_at = 0;
	if (t->call)
		wp_store_cancel(t->call);
	t->call = NULL;
	ws_eio_topic_restart(t);
	t->next_call_at = now;
}

void ws_eio_topic_poll(struct ws_eio_topic *t, ws_us now)
{
	start_due_snapshot(t, now);
	if (!t->last_call_failed &&
	    t->next_call_at > now + t->ops->batch_delay &&
	    t->ops->relayed_refresh && reads_store(t))
		t->next_call_at = now;
	if (!t->call && now >= t->next_call_at) {
		t->next_call_at = 0;
		start_call(t);
	}
}

void ws_eio_topic_init(struct ws_eio_topic *t, struct ws_eio_store *s,
		       const struct ws_eio_topic_ops *ops)
{
	t->ops = ops;
	t->store = s;
	t->seen_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ws_eio_topic_restart(t);
}

void ws_eio_topic_free(struct ws_eio_topic *t)
{
	if (t->call)
		wp_store_cancel(t->call);
	g_hash_table_destroy(t->seen_keys);
}
