#include "edgeio/ws_eio_store.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_codec.h"
#include "edgeio/ws_eio_front.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_records.h"
#include "platform/wp_decode.h"

/* Waits of reads; each ends with evidence of what is in force. */
#define CONFIG_WAIT (1200 * WS_MS)
#define SERVERS_WAIT (1200 * WS_MS)
#define MAP_WAIT (900 * WS_MS)
/* Instances that are told by others read by themselves this often. */
#define TOLD_REFRESH (30 * WS_SECOND)
/* Each call to the store has a price; changes often come in bunches. */
#define CONFIG_REST (150 * WS_MS)
#define SERVERS_REST (300 * WS_MS)
/* Evidence of this age is renewed without a wait for news. */
#define URGENT_AGE (1500 * WS_MS)
/* Waits are cut by up to this part, so that instances do not poll together. */
#define WAIT_SPREAD 0.3
/* One that waits for records has missed them when others know them so long. */
#define WAITING_REREAD (400 * WS_MS)
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
#define MAP_BYTES_MAX ((size_t)256 * 1024)
/*
 * All start within a second. Those that read the list later than others tell
 * these; then relays read it again for all.
 */
#define MEMBERS_SECOND (WS_ED_MESH_TIME + 300 * WS_MS)
#define MEMBERS_PERIOD (20 * WS_SECOND)
#define MEMBERS_PERIOD_TOLD (60 * WS_SECOND)
#define CHECK_PERIOD (50 * WS_MS)
#define MEMBER_MAX 96

struct feed;

struct feed_ops {
	enum wp_topic topic;
	enum ws_ed_topic id; /* WS_EDT_COUNT: of no interest to the reducer */
	ws_us refresh; /* instances that are told by others read this often */
	bool handed_on; /* its records may be asked of other instances */
	ws_us rest; /* after records, so that others join the next reading */
	ws_us (*wait)(struct ws_eio *io);
	void (*record)(struct feed *f, const struct wp_record *r);
	/* All records of a call were given; caught_up: nothing is missing. */
	void (*synced)(struct feed *f, ws_us started, uint64_t end,
		       bool caught_up);
	/* A full reading is complete: what it did not name is gone. */
	void (*whole)(struct feed *f);
};

struct feed {
	const struct feed_ops *ops;
	struct ws_eio_store *store;
	struct wp_call *call;
	bool following; /* the newest records were read */
	uint64_t next;
	uint64_t whole_end; /* end when the full reading began */
	ws_us whole_started;
	bool first_page;
	char after[256];
	ws_us started; /* of the call under way */
	ws_us due; /* next call */
	ws_us pause;
	bool failed; /* the last call has failed */
	bool waits; /* the call under way waits for news */
	bool asks_member; /* it goes to another instance */
	ws_us ask_from; /* no earlier call to another instance */
	GHashTable *seen; /* keys of a full reading */
};

struct ws_eio_store {
	struct ws_eio *io;
	struct wp_store *client;
	struct ws_rand rand;
	struct feed config;
	struct feed servers;
	struct feed map;
	struct feed members;
	struct wp_call *append;
	uint64_t append_at;
	struct wp_call *own_entry;
	bool own_written;
	ws_us own_due;
	struct ws_ed_map decoded;
	bool decoded_new;
	unsigned char *map_bytes;
	GHashTable *zones_out; /* names of zones out of service */
	GHashTable *listed; /* names of servers */
	int timer;
};

/* ===== Feeds ===== */

static void on_record(void *arg, const struct wp_record *r)
{
	struct feed *f = arg;

	if (!f->following)
		g_hash_table_add(f->seen, g_strdup(r->key));
	else if (f->ops->handed_on)
		ws_eio_records_add(f->store->io->records, f->ops->topic, r);
	f->ops->record(f, r);
}

static void begin_whole(struct feed *f)
{
	f->following = false;
	f->first_page = true;
	f->after[0] = '\0';
	g_hash_table_remove_all(f->seen);
}

static void end_whole(struct feed *f)
{
	f->following = true;
	f->next = f->whole_end;
	ws_eio_records_settle(f->store->io->records, f->ops->topic, f->next);
	if (f->ops->whole)
		f->ops->whole(f);
	f->ops->synced(f, f->whole_started, f->whole_end, true);
}

static void take_page(struct feed *f, const struct wp_reply *r)
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
static bool has_reader(const struct feed *f, ws_us now)
{
	const struct ws_ed_peers *p = ws_edge_peers(f->store->io->edge);

	return p->relayed && !p->relay && !ws_ed_peers_reader(p, now);
}

static void note_failure(struct feed *f, ws_us now)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_STORE_LOST };

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
	ws_eio_feed(f->store->io, &ev);
}

static void note_success(struct feed *f)
{
	if (f->failed)
		ws_eio_log(WS_LOG_LOG_UP, 0, (int64_t)f->ops->topic, NULL);
	f->failed = false;
	f->pause = 0;
	f->due = 0;
}

static void start_call(struct feed *f);
static bool reads_itself(const struct feed *f);

/* An instance that is told by others pauses after each read. */
static void rest_if_told(struct feed *f)
{
	if (f->following && f->ops->refresh && !reads_itself(f))
		f->due = ws_eio_now() + f->ops->refresh;
}

/* @param started when the store was asked; 0: another instance was */
static void take_records(struct feed *f, const struct wp_reply *r,
			 ws_us started)
{
	f->next = r->next;
	ws_eio_records_settle(f->store->io->records, f->ops->topic, f->next);
	f->ops->synced(f, started, r->topic_end, r->next >= r->topic_end);
}

/* What another instance does not have is asked of the store. */
static void on_members_reply(struct feed *f, const struct wp_reply *r)
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

static void take_reply(struct feed *f, const struct wp_reply *r)
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
	struct feed *f = arg;

	f->call = NULL;
	if (f->asks_member) {
		on_members_reply(f, r);
		return;
	}
	if (r->end == WP_LOST) {
		begin_whole(f);
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

static bool reads_itself(const struct feed *f)
{
	return f->ops->id == WS_EDT_COUNT ||
	       ws_edge_should_read(f->store->io->edge, ws_eio_now(),
				   f->ops->id);
}

static void tell_reading(struct feed *f)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READING };

	if (f->ops->id == WS_EDT_COUNT)
		return;
	ev.u.reading = f->ops->id;
	ws_eio_feed(f->store->io, &ev);
}

/* Others wait for this instance's evidence, as after a restart of all. */
static bool is_urgent(const struct feed *f)
{
	return f->ops->id < WS_ED_TOLD_TOPICS &&
	       ws_edge_topic_age(f->store->io->edge, ws_eio_now(), f->ops->id) >
		       URGENT_AGE;
}

/* Only an instance that reads all the time waits for records. */
static ws_us spread_wait(struct feed *f)
{
	double part = (double)ws_rand_below(&f->store->rand, 1000) / 1000.0;

	if (!reads_itself(f) || is_urgent(f))
		return 0;
	return (ws_us)((double)f->ops->wait(f->store->io) *
		       (1.0 - WAIT_SPREAD * part));
}

/* Maps that were told need not be read. */
static void skip_told(struct feed *f)
{
	uint64_t end;

	if (f->ops->id != WS_EDT_MAP || !f->following)
		return;
	end = ws_edge_end(f->store->io->edge, f->ops->id);
	if (end > f->next)
		f->next = end;
}

/* @return false when no other instance has the records */
static bool ask_member(struct feed *f)
{
	const struct wp_reader reader = {
		.record = on_record,
		.done = on_reply,
		.arg = f,
	};
	const struct ws_ed_member *m;
	char address[2 * WS_ED_ADDRESS_MAX];

	if (!f->following || !f->ops->handed_on)
		return false;
	m = ws_edge_source(f->store->io->edge, ws_eio_now(), f->ops->id);
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

static void start_call(struct feed *f)
{
	const struct wp_reader reader = {
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
		f->call = wp_store_newest(f->store->client, f->ops->topic,
					  f->after, &reader);
}

static void check_feed(struct feed *f, ws_us now)
{
	if (!f->failed && f->due > now + f->ops->rest && f->ops->refresh &&
	    reads_itself(f))
		f->due = now;
	if (!f->call && now >= f->due) {
		f->due = 0;
		start_call(f);
	}
}

static void init_feed(struct feed *f, struct ws_eio_store *s,
		      const struct feed_ops *ops)
{
	f->ops = ops;
	f->store = s;
	f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	begin_whole(f);
}

static void free_feed(struct feed *f)
{
	if (f->call)
		wp_store_cancel(f->call);
	g_hash_table_destroy(f->seen);
}

static void sync_topic(struct feed *f, enum ws_ed_topic topic, ws_us started,
		       uint64_t end, bool caught_up)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_SYNC };

	if (!caught_up)
		return;
	ev.u.sync.topic = topic;
	ev.u.sync.started = started;
	ev.u.sync.end = end;
	ws_eio_feed(f->store->io, &ev);
}

static void log_bad_record(const struct wp_record *r,
			   const struct wp_error *why)
{
	char *detail = g_strdup_printf("%s, %s", r->key, why->text);

	ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, detail);
	g_free(detail);
}

/* ===== Operator ===== */

static void set_zone(struct feed *f, const char *zone, bool out)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ZONE };

	if (out)
		g_hash_table_add(f->store->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(f->store->zones_out, zone);
	ev.u.zone.zone = ws_ed_id(zone);
	ev.u.zone.out = out;
	ws_eio_feed(f->store->io, &ev);
	ws_eio_log(out ? WS_LOG_ZONE_OUT : WS_LOG_ZONE_BACK, ev.u.zone.zone, 0,
		   zone);
}

static void operator_record(struct feed *f, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	const char *zone = wp_decode_zone_out(r->key);
	struct wp_error why;

	if (zone) {
		bool out = r->len > 0;

		if (out != !!g_hash_table_contains(f->store->zones_out, zone))
			set_zone(f, zone, out);
		return;
	}
	if (strcmp(r->key, wp_decode_config_key()) != 0 || !r->len)
		return;
	ev.u.config = wp_decode_config(r->value, r->len, &why);
	if (!ev.u.config) {
		log_bad_record(r, &why);
		return;
	}
	ws_eio_feed(f->store->io, &ev);
	ws_eio_front_configured(f->store->io->front);
}

static void operator_whole(struct feed *f)
{
	GList *zones = g_hash_table_get_keys(f->store->zones_out);
	GList *i;

	/* Copies, as set_zone() removes entries. */
	for (i = zones; i; i = i->next)
		i->data = g_strdup(i->data);
	for (i = zones; i; i = i->next) {
		GHashTableIter it;
		gpointer key;
		bool named = false;

		g_hash_table_iter_init(&it, f->seen);
		while (g_hash_table_iter_next(&it, &key, NULL)) {
			const char *zone = wp_decode_zone_out(key);

			named |= zone && !strcmp(zone, i->data);
		}
		if (!named)
			set_zone(f, i->data, false);
	}
	g_list_free_full(zones, g_free);
}

static void operator_synced(struct feed *f, ws_us started, uint64_t end,
			    bool caught_up)
{
	sync_topic(f, WS_EDT_CONFIG, started, end, caught_up);
}

static ws_us operator_wait(struct ws_eio *io)
{
	(void)io;
	return CONFIG_WAIT;
}

static const struct feed_ops operator_ops = {
	.topic = WP_TOPIC_OPERATOR,
	.id = WS_EDT_CONFIG,
	.refresh = TOLD_REFRESH,
	.handed_on = true,
	.rest = CONFIG_REST,
	.wait = operator_wait,
	.record = operator_record,
	.synced = operator_synced,
	.whole = operator_whole,
};

/* ===== Servers ===== */

static void unlist(struct feed *f, const char *name)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };

	if (!g_hash_table_remove(f->store->listed, name))
		return;
	ev.u.unlisted = ws_ed_id(name);
	ws_eio_feed(f->store->io, &ev);
	ws_eio_log(WS_LOG_TARGET_LOST, ev.u.unlisted, 0, name);
}

static void servers_record(struct feed *f, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l;
	struct wp_error why;

	if (!r->len) {
		unlist(f, r->key);
		return;
	}
	if (wp_decode_server(r->key, r->value, r->len, &l, &why)) {
		log_bad_record(r, &why);
		unlist(f, r->key);
		return;
	}
	if (g_hash_table_add(f->store->listed, g_strdup(r->key)))
		ws_eio_log(WS_LOG_TARGET_LIVE, ws_ed_id(r->key), l.born_ms,
			   r->key);
	ev.u.listing = &l;
	ws_eio_feed(f->store->io, &ev);
}

static void servers_whole(struct feed *f)
{
	GList *names = g_hash_table_get_keys(f->store->listed);
	GList *i;

	for (i = names; i; i = i->next)
		i->data = g_strdup(i->data);
	for (i = names; i; i = i->next)
		if (!g_hash_table_contains(f->seen, i->data))
			unlist(f, i->data);
	g_list_free_full(names, g_free);
}

static void servers_synced(struct feed *f, ws_us started, uint64_t end,
			   bool caught_up)
{
	sync_topic(f, WS_EDT_SERVERS, started, end, caught_up);
}

static ws_us servers_wait(struct ws_eio *io)
{
	(void)io;
	return SERVERS_WAIT;
}

static const struct feed_ops servers_ops = {
	.topic = WP_TOPIC_SERVERS,
	.id = WS_EDT_SERVERS,
	.refresh = TOLD_REFRESH,
	.handed_on = true,
	.rest = SERVERS_REST,
	.wait = servers_wait,
	.record = servers_record,
	.synced = servers_synced,
	.whole = servers_whole,
};

/* ===== Map of keys ===== */

static const char map_key[] = "map";

static void map_record(struct feed *f, const struct wp_record *r)
{
	struct ws_eio_store *s = f->store;

	if (strcmp(r->key, map_key) != 0)
		return;
	if (ws_ed_map_decode(&s->decoded, r->value, r->len))
		ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, r->key);
	else
		s->decoded_new = true;
}

static void map_synced(struct feed *f, ws_us started, uint64_t end,
		       bool caught_up)
{
	struct ws_eio_store *s = f->store;
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP };

	if (!caught_up)
		return;
	ev.u.map.started = started;
	ev.u.map.map = s->decoded_new ? &s->decoded : NULL;
	ev.u.map.end = end;
	s->decoded_new = false;
	ws_eio_feed(s->io, &ev);
}

static ws_us map_wait(struct ws_eio *io)
{
	(void)io;
	return MAP_WAIT;
}

static const struct feed_ops map_ops = {
	.topic = WP_TOPIC_MAP,
	.id = WS_EDT_MAP,
	.refresh = TOLD_REFRESH,
	.wait = map_wait,
	.record = map_record,
	.synced = map_synced,
};

static void on_appended(void *arg, const struct wp_reply *r)
{
	struct ws_eio_store *s = arg;
	struct ws_ed_event ev = { .kind = WS_EDEV_APPENDED };

	s->append = NULL;
	ev.u.appended.at = s->append_at;
	ev.u.appended.started = r->started;
	if (r->end == WP_DONE)
		ev.u.appended.end = WS_EDA_DONE;
	else if (r->end == WP_CONFLICT)
		ev.u.appended.end = WS_EDA_CONFLICT;
	else
		ev.u.appended.end = WS_EDA_FAILED;
	ws_eio_log(WS_LOG_MAP_WRITTEN, 0, (int64_t)s->append_at,
		   r->end == WP_DONE ? "done" : "not_known_to_be_written");
	ws_eio_feed(s->io, &ev);
}

void ws_eio_store_append(struct ws_eio_store *s, uint64_t at)
{
	const struct ws_ed_map *m =
		ws_ed_lead_proposal(ws_edge_lead(s->io->edge));
	const struct wp_reader reader = { .done = on_appended, .arg = s };
	int len = ws_ed_map_encode(m, s->map_bytes, MAP_BYTES_MAX);

	WS_INVARIANT(len > 0);
	if (s->append)
		wp_store_cancel(s->append);
	s->append_at = at;
	s->append = wp_store_append(s->client, WP_TOPIC_MAP, map_key,
				    s->map_bytes, (size_t)len, at, &reader);
}

/* ===== Instances ===== */

/* Address of heartbeats, the zone's id in hex and the machine's strength. */
static void members_record(struct feed *f, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };
	char text[MEMBER_MAX];
	char address[WS_ED_ADDRESS_MAX];
	uint32_t strength;
	uint64_t zone;

	if (!r->len)
		return;
	snprintf(text, sizeof(text), "%.*s", (int)r->len,
		 (const char *)r->value);
	if (sscanf(text, "%47s %" SCNx64 " %" SCNu32, address, &zone,
		   &strength) != 3) {
		ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, r->key);
		return;
	}
	ev.u.member.id = ws_ed_id(r->key);
	ev.u.member.zone = zone;
	ev.u.member.strength = strength;
	ev.u.member.address = address;
	ws_eio_feed(f->store->io, &ev);
}

/* The list is read as a whole now and then; heartbeats tell the rest. */
static void members_synced(struct feed *f, ws_us started, uint64_t end,
			   bool caught_up)
{
	struct ws_eio *io = f->store->io;
	ws_us now = ws_eio_now();

	(void)started;
	(void)end;
	(void)caught_up;
	begin_whole(f);
	f->due = now - io->started < MEMBERS_SECOND ? now + MEMBERS_SECOND :
						      now + MEMBERS_PERIOD;
}

static const struct feed_ops members_ops = {
	.topic = WP_TOPIC_MEMBERS,
	.id = WS_EDT_COUNT,
	.wait = servers_wait,
	.record = members_record,
	.synced = members_synced,
};

static void on_own_written(void *arg, const struct wp_reply *r)
{
	struct ws_eio_store *s = arg;

	s->own_entry = NULL;
	s->own_written = r->end == WP_DONE;
	s->own_due = ws_eio_now() + PAUSE_MAX;
}

/* An empty entry tells that this instance has left. */
static void write_own_entry(struct ws_eio_store *s, const char *entry)
{
	const struct wp_reader reader = { .done = on_own_written, .arg = s };

	s->own_entry = wp_store_append(s->client, WP_TOPIC_MEMBERS,
				       s->io->set.name, entry, strlen(entry),
				       WP_ANY_OFFSET, &reader);
}

static void enter(struct ws_eio_store *s)
{
	char entry[MEMBER_MAX];

	snprintf(entry, sizeof(entry), "%s %016" PRIx64 " %" PRIu32,
		 s->io->set.peers, ws_ed_id(s->io->set.zone),
		 ws_eio_strength(&s->io->set));
	write_own_entry(s, entry);
}

void ws_eio_store_leave(struct ws_eio_store *s)
{
	if (s->own_entry)
		wp_store_cancel(s->own_entry);
	write_own_entry(s, "");
	s->own_written = true;
}

/* ===== Life ===== */

void ws_eio_store_read(struct ws_eio_store *s, enum ws_ed_topic topic)
{
	struct feed *const feeds[WS_EDT_COUNT] = {
		[WS_EDT_CONFIG] = &s->config,
		[WS_EDT_SERVERS] = &s->servers,
		[WS_EDT_MAP] = &s->map,
	};
	struct feed *f = feeds[topic];

	ws_us now = ws_eio_now();

	/*
	 * Only a read that waits for news may have missed them. Others are on
	 * their way; to cancel and repeat them would add to what keeps them.
	 */
	if (f->call && (!f->waits || now - f->started < WAITING_REREAD))
		return;
	if (!f->call && now < f->ask_from)
		return;
	if (f->call)
		wp_store_cancel(f->call);
	f->call = NULL;
	if (!ask_member(f))
		f->due = now;
}

/* Relays tell the others of instances. */
static void postpone_members(struct ws_eio_store *s, ws_us now)
{
	struct feed *f = &s->members;
	bool first = now - s->io->started < MEMBERS_SECOND;

	if (!first && !f->call && now >= f->due &&
	    !ws_ed_peers_reader(ws_edge_peers(s->io->edge), now))
		f->due = now + MEMBERS_PERIOD_TOLD;
}

static void check(void *arg, ws_us now)
{
	struct ws_eio_store *s = arg;

	check_feed(&s->config, now);
	check_feed(&s->servers, now);
	check_feed(&s->map, now);
	postpone_members(s, now);
	check_feed(&s->members, now);
	if (!s->own_written && !s->own_entry && now >= s->own_due)
		enter(s);
}

struct ws_eio_store *ws_eio_store_new(struct ws_eio *io)
{
	struct ws_eio_store *s = ws_alloc(1, sizeof(*s));

	s->io = io;
	ws_rand_seed(&s->rand, io->incarnation);
	s->client = wp_store_new(io->http, io->set.store, ws_eio_now);
	s->map_bytes = ws_alloc(MAP_BYTES_MAX, 1);
	s->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	init_feed(&s->config, s, &operator_ops);
	init_feed(&s->servers, s, &servers_ops);
	init_feed(&s->map, s, &map_ops);
	init_feed(&s->members, s, &members_ops);
	s->timer = ws_timer_every(io->timers, ws_eio_now(), CHECK_PERIOD, check,
				  s);
	check(s, ws_eio_now());
	return s;
}

void ws_eio_store_free(struct ws_eio_store *s)
{
	if (!s)
		return;
	ws_timer_cancel(s->io->timers, s->timer);
	free_feed(&s->config);
	free_feed(&s->servers);
	free_feed(&s->map);
	free_feed(&s->members);
	if (s->append)
		wp_store_cancel(s->append);
	if (s->own_entry)
		wp_store_cancel(s->own_entry);
	wp_store_free(s->client);
	ws_ed_map_free(&s->decoded);
	g_hash_table_destroy(s->zones_out);
	g_hash_table_destroy(s->listed);
	free(s->map_bytes);
	free(s);
}

uint64_t ws_eio_store_calls(const struct ws_eio_store *s)
{
	return wp_store_calls(s->client);
}
