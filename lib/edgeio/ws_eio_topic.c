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
		g_hash_table_add(f->seen, g_strdup(r->key));
	else if (f->ops->handed_on)
		ws_eio_records_add(f->store->io->records, f->ops->topic, r);
	f->ops->record(f, r);
}

void ws_eio_topic_restart(struct ws_eio_topic *f)
{
	f->following = false;
	f->first_page = true;
	f->after[0] = '\0';
	g_hash_table_remove_all(f->seen);
}

static void end_whole(struct ws_eio_topic *f)
{
	f->following = true;
	f->next = f->whole_end;
	ws_eio_records_set_end(f->store->io->records, f->ops->topic, f->next);
	if (f->ops->whole)
		f->ops->whole(f);
	f->ops->synced(f, f->whole_started, f->whole_end, true);
}

static void take_page(struct ws_eio_topic *f, const struct wp_reply *r)
{
	if (f->first_page) {
		f->whole_end = r->topic_end;
		f->whole_started = r->started;
		f->first_page = false;
	}
	if (r->more && strcmp(f->after, r->last_key) != 0)
		memcpy(f->after, r->last_key, sizeof(f->after));
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

	f->pause = f->pause > first / 2 ? 2 * f->pause : first;
	if (f->pause > max)
		f->pause = max;
	f->due = now + f->pause;
	if (!f->failed)
		ws_eio_log(WS_LOG_LOG_DOWN, 0, (int64_t)f->ops->topic, NULL);
	f->failed = true;
	ws_eio_handle_event(f->store->io, &ev);
}

static void note_success(struct ws_eio_topic *f)
{
	if (f->failed)
		ws_eio_log(WS_LOG_LOG_UP, 0, (int64_t)f->ops->topic, NULL);
	f->failed = false;
	f->pause = 0;
	f->due = 0;
}

static void start_call(struct ws_eio_topic *f);
static bool reads_itself(const struct ws_eio_topic *f);

/* An instance that is told by others pauses after each read. */
static void rest_if_told(struct ws_eio_topic *f)
{
	if (f->following && f->ops->refresh && !reads_itself(f))
		f->due = ws_eio_now() + f->ops->refresh;
}

/* @param started when the store was asked; 0: another instance was */
static void take_records(struct ws_eio_topic *f, const struct wp_reply *r,
			 ws_us started)
{
	f->next = r->next;
	ws_eio_records_set_end(f->store->io->records, f->ops->topic, f->next);
	f->ops->synced(f, started, r->topic_end, r->next >= r->topic_end);
}

/* What another instance does not have is asked of the store. */
static void on_members_reply(struct ws_eio_topic *f, const struct wp_reply *r)
{
	f->asks_member = false;
	f->ask_from = ws_eio_now() + ASK_REST;
	if (r->end == WP_DONE && r->next > f->next) {
		take_records(f, r, 0);
		return;
	}
	f->ask_from = ws_eio_now() + ASK_AGAIN;
	f->due = ws_eio_now();
}

static void take_reply(struct ws_eio_topic *f, const struct wp_reply *r)
{
	if (!f->following) {
		take_page(f, r);
		return;
	}
	if (r->next > f->next)
		f->due = ws_eio_now() + f->ops->rest;
	take_records(f, r, r->started);
}

static void on_reply(void *arg, const struct wp_reply *r)
{
	struct ws_eio_topic *f = arg;

	f->call = NULL;
	if (f->asks_member) {
		on_members_reply(f, r);
		return;
	}
	if (r->end == WP_TRUNCATED) {
		ws_eio_topic_restart(f);
	} else if (r->end != WP_DONE) {
		note_failure(f, ws_eio_now());
		return;
	} else {
		note_success(f);
		take_reply(f, r);
	}
	rest_if_told(f);
	if (!f->call && !f->due)
		start_call(f);
}

static bool reads_itself(const struct ws_eio_topic *f)
{
	return f->ops->id == WS_EDT_COUNT ||
	       ws_edge_should_read(f->store->io->edge, ws_eio_now(),
				   f->ops->id);
}

static void tell_reading(struct ws_eio_topic *f)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_STARTED };

	if (f->ops->id == WS_EDT_COUNT)
		return;
	ev.u.reading = f->ops->id;
	ws_eio_handle_event(f->store->io, &ev);
}

/* Others wait for this instance's evidence, as after a restart of all. */
static bool is_urgent(const struct ws_eio_topic *f)
{
	return f->ops->id < WS_ED_EVIDENCE_TOPICS &&
	       ws_edge_topic_age(f->store->io->edge, ws_eio_now(), f->ops->id) >
		       URGENT_AGE;
}

/* Only an instance that reads all the time waits for records. */
static ws_us spread_wait(struct ws_eio_topic *f)
{
	double part = (double)ws_rand_below(&f->store->rand, 1000) / 1000.0;

	if (!reads_itself(f) || is_urgent(f))
		return 0;
	return (ws_us)((double)f->ops->wait(f->store->io) *
		       (1.0 - WAIT_SPREAD * part));
}

/* Maps that were told need not be read. */
static void skip_told(struct ws_eio_topic *f)
{
	uint64_t end;

	if (f->ops->id != WS_EDT_MAP || !f->following)
		return;
	end = ws_edge_topic_end(f->store->io->edge, f->ops->id);
	if (end > f->next)
		f->next = end;
}

bool ws_eio_topic_ask_member(struct ws_eio_topic *f)
{
	const struct wp_store_callbacks reader = {
		.record = on_record,
		.done = on_reply,
		.arg = f,
	};
	const struct ws_ed_member *m;
	char address[2 * WS_ED_ADDRESS_MAX];

	if (!f->following || !f->ops->handed_on)
		return false;
	m = ws_edge_topic_source(f->store->io->edge, ws_eio_now(), f->ops->id);
	if (!m)
		return false;
	ws_eio_records_address(f->store->io, m, address, sizeof(address));
	f->started = ws_eio_now();
	f->asks_member = true;
	f->waits = false;
	f->call = wp_store_read(f->store->client, address, f->ops->topic,
				f->next, 0, &reader);
	return true;
}

static void start_call(struct ws_eio_topic *f)
{
	const struct wp_store_callbacks reader = {
		.record = on_record,
		.done = on_reply,
		.arg = f,
	};
	ws_us wait = f->following ? spread_wait(f) : 0;

	f->started = ws_eio_now();
	f->asks_member = false;
	f->waits = wait > 0;
	skip_told(f);
	tell_reading(f);
	if (f->following)
		f->call = wp_store_read(f->store->client, NULL, f->ops->topic,
					f->next, wait, &reader);
	else
		f->call = wp_store_read_newest(f->store->client, f->ops->topic,
					       f->after, &reader);
}

void ws_eio_topic_poll(struct ws_eio_topic *f, ws_us now)
{
	if (!f->failed && f->due > now + f->ops->rest && f->ops->refresh &&
	    reads_itself(f))
		f->due = now;
	if (!f->call && now >= f->due) {
		f->due = 0;
		start_call(f);
	}
}

void ws_eio_topic_init(struct ws_eio_topic *f, struct ws_eio_store *s,
		       const struct ws_eio_topic_ops *ops)
{
	f->ops = ops;
	f->store = s;
	f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ws_eio_topic_restart(f);
}

void ws_eio_topic_free(struct ws_eio_topic *f)
{
	if (f->call)
		wp_store_cancel(f->call);
	g_hash_table_destroy(f->seen);
}
