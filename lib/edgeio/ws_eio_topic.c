#include "edgeio/ws_eio_topic.h"

#include <string.h>

#include "common/ws_events.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_records.h"

/* Evidence of this age is renewed without a wait for news. */
#define URGENT_AGE (1500 * WS_MS)
/* Waits are cut by up to this part, so that instances do not poll together. */
#define WAIT_SPREAD 0.3
/* Many ask the same instance: its answer is waited for, and then it rests. */
#define ASK_REST (150 * WS_MS)
/* Pause after an instance that had started anew did not have the records. */
#define ASK_AGAIN (1 * WS_SECOND)
/* A failed call is repeated after a growing pause. */
#define PAUSE_FIRST (100 * WS_MS)
#define PAUSE_MAX (800 * WS_MS)
/* The same where a relay tries as well; hundreds would add to the outage. */
#define PAUSE_TOLD_FIRST (1 * WS_SECOND)
#define PAUSE_TOLD_MAX (4 * WS_SECOND)

static void on_record(void *arg, const struct wp_record *r)
{
	struct ws_eio_topic *f = arg;

	if (!f->following)
		g_hash_table_add(f->seen_keys, g_strdup(r->key));
	else if (f->ops->shared)
		ws_eio_records_add(f->store->io->records, f->ops->topic, r);
	f->ops->on_record(f, r);
}

void ws_eio_topic_restart(struct ws_eio_topic *f)
{
	f->following = false;
	f->first_page = true;
	f->after_key[0] = '\0';
	g_hash_table_remove_all(f->seen_keys);
}

static void end_whole(struct ws_eio_topic *f)
{
	f->following = true;
	f->next_offset = f->snapshot_end;
	ws_eio_records_set_end(f->store->io->records, f->ops->topic,
			       f->next_offset);
	if (f->ops->on_snapshot)
		f->ops->on_snapshot(f);
	f->ops->on_synced(f, f->snapshot_started_at, f->snapshot_end, true);
}

static void take_page(struct ws_eio_topic *f, const struct wp_reply *r)
{
	if (f->first_page) {
		f->snapshot_end = r->end_offset;
		f->snapshot_started_at = r->started_at;
		f->first_page = false;
	}
	if (r->has_more && strcmp(f->after_key, r->last_key) != 0)
		memcpy(f->after_key, r->last_key, sizeof(f->after_key));
	else
		end_whole(f);
}

/* Another instance tries for this one, and tells when it has succeeded. */
static bool has_reader(const struct ws_eio_topic *f, ws_us now)
{
	const struct ws_ed_peers *p = ws_edge_peers(f->store->io->edge);

	return p->uses_relays && !p->is_relay &&
	       !ws_ed_peers_reads_store(p, now);
}

static void note_failure(struct ws_eio_topic *f, ws_us now)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_STORE_FAILED };

	bool told = f->following && has_reader(f, now);
	ws_us first = told ? PAUSE_TOLD_FIRST : PAUSE_FIRST;
	ws_us max = told ? PAUSE_TOLD_MAX : PAUSE_MAX;

	f->retry_delay = f->retry_delay > first / 2 ? 2 * f->retry_delay :
						      first;
	if (f->retry_delay > max)
		f->retry_delay = max;
	f->next_call_at = now + f->retry_delay;
	if (!f->last_call_failed)
		ws_eio_log(WS_LOG_LOG_DOWN, 0, (int64_t)f->ops->topic, NULL);
	f->last_call_failed = true;
	ws_eio_handle_event(f->store->io, &ev);
}

static void note_success(struct ws_eio_topic *f)
{
	if (f->last_call_failed)
		ws_eio_log(WS_LOG_LOG_UP, 0, (int64_t)f->ops->topic, NULL);
	f->last_call_failed = false;
	f->retry_delay = 0;
	f->next_call_at = 0;
}

static void start_call(struct ws_eio_topic *f);
static bool reads_itself(const struct ws_eio_topic *f);

/* An instance that is told by others pauses after each read. */
static void rest_if_told(struct ws_eio_topic *f)
{
	if (f->following && f->ops->relayed_refresh && !reads_itself(f))
		f->next_call_at = ws_eio_now() + f->ops->relayed_refresh;
}

/* @param started when the store was asked; 0: another instance was */
static void take_records(struct ws_eio_topic *f, const struct wp_reply *r,
			 ws_us started)
{
	f->next_offset = r->next_offset;
	ws_eio_records_set_end(f->store->io->records, f->ops->topic,
			       f->next_offset);
	f->ops->on_synced(f, started, r->end_offset,
			  r->next_offset >= r->end_offset);
}

/* What another instance does not have is asked of the store. */
static void on_members_reply(struct ws_eio_topic *f, const struct wp_reply *r)
{
	f->asks_member = false;
	f->ask_member_at = ws_eio_now() + ASK_REST;
	if (r->outcome == WP_DONE && r->next_offset > f->next_offset) {
		take_records(f, r, 0);
		return;
	}
	f->ask_member_at = ws_eio_now() + ASK_AGAIN;
	f->next_call_at = ws_eio_now();
}

static void take_reply(struct ws_eio_topic *f, const struct wp_reply *r)
{
	if (!f->following) {
		take_page(f, r);
		return;
	}
	if (r->next_offset > f->next_offset)
		f->next_call_at = ws_eio_now() + f->ops->batch_delay;
	take_records(f, r, r->started_at);
}

static void on_reply(void *arg, const struct wp_reply *r)
{
	struct ws_eio_topic *f = arg;

	f->call = NULL;
	if (f->asks_member) {
		on_members_reply(f, r);
		return;
	}
	if (r->outcome == WP_TRUNCATED) {
		ws_eio_topic_restart(f);
	} else if (r->outcome != WP_DONE) {
		note_failure(f, ws_eio_now());
		return;
	} else {
		note_success(f);
		take_reply(f, r);
	}
	rest_if_told(f);
	if (!f->call && !f->next_call_at)
		start_call(f);
}

static bool reads_itself(const struct ws_eio_topic *f)
{
	return f->ops->edge_topic == WS_EDT_COUNT ||
	       ws_edge_should_read(f->store->io->edge, ws_eio_now(),
				   f->ops->edge_topic);
}

static void tell_reading(struct ws_eio_topic *f)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_STARTED };

	if (f->ops->edge_topic == WS_EDT_COUNT)
		return;
	ev.u.reading = f->ops->edge_topic;
	ws_eio_handle_event(f->store->io, &ev);
}

/* Others wait for this instance's evidence, as after a restart of all. */
static bool is_urgent(const struct ws_eio_topic *f)
{
	return f->ops->edge_topic < WS_ED_EVIDENCE_TOPICS &&
	       ws_edge_topic_age(f->store->io->edge, ws_eio_now(),
				 f->ops->edge_topic) > URGENT_AGE;
}

/* Only an instance that reads all the time waits for records. */
static ws_us spread_wait(struct ws_eio_topic *f)
{
	double part = (double)ws_rand_below(&f->store->rand, 1000) / 1000.0;

	if (!reads_itself(f) || is_urgent(f))
		return 0;
	return (ws_us)((double)f->ops->max_wait(f->store->io) *
		       (1.0 - WAIT_SPREAD * part));
}

/* Maps that were told need not be read. */
static void skip_told(struct ws_eio_topic *f)
{
	uint64_t end;

	if (f->ops->edge_topic != WS_EDT_MAP || !f->following)
		return;
	end = ws_edge_topic_end(f->store->io->edge, f->ops->edge_topic);
	if (end > f->next_offset)
		f->next_offset = end;
}

bool ws_eio_topic_ask_member(struct ws_eio_topic *f)
{
	const struct wp_store_callbacks reader = {
		.on_record = on_record,
		.on_done = on_reply,
		.arg = f,
	};
	const struct ws_ed_member *m;
	char address[2 * WS_ED_ADDRESS_MAX];

	if (!f->following || !f->ops->shared)
		return false;
	m = ws_edge_topic_source(f->store->io->edge, ws_eio_now(),
				 f->ops->edge_topic);
	if (!m)
		return false;
	ws_eio_records_address(f->store->io, m, address, sizeof(address));
	f->call_started_at = ws_eio_now();
	f->asks_member = true;
	f->long_poll = false;
	f->call = wp_store_read(f->store->client, address, f->ops->topic,
				f->next_offset, 0, &reader);
	return true;
}

static void start_call(struct ws_eio_topic *f)
{
	const struct wp_store_callbacks reader = {
		.on_record = on_record,
		.on_done = on_reply,
		.arg = f,
	};
	ws_us wait = f->following ? spread_wait(f) : 0;

	f->call_started_at = ws_eio_now();
	f->asks_member = false;
	f->long_poll = wait > 0;
	skip_told(f);
	tell_reading(f);
	if (f->following)
		f->call = wp_store_read(f->store->client, NULL, f->ops->topic,
					f->next_offset, wait, &reader);
	else
		f->call = wp_store_read_newest(f->store->client, f->ops->topic,
					       f->after_key, &reader);
}

void ws_eio_topic_poll(struct ws_eio_topic *f, ws_us now)
{
	if (!f->last_call_failed &&
	    f->next_call_at > now + f->ops->batch_delay &&
	    f->ops->relayed_refresh && reads_itself(f))
		f->next_call_at = now;
	if (!f->call && now >= f->next_call_at) {
		f->next_call_at = 0;
		start_call(f);
	}
}

void ws_eio_topic_init(struct ws_eio_topic *f, struct ws_eio_store *s,
		       const struct ws_eio_topic_ops *ops)
{
	f->ops = ops;
	f->store = s;
	f->seen_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ws_eio_topic_restart(f);
}

void ws_eio_topic_free(struct ws_eio_topic *f)
{
	if (f->call)
		wp_store_cancel(f->call);
	g_hash_table_destroy(f->seen_keys);
}
