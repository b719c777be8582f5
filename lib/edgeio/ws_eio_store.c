#include "edgeio/ws_eio_store.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edge/ws_ed_position.h"
#include "edgeio/ws_eio_front.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_topic.h"
#include "platform/wp_decode.h"

/*
 * Maximum times of long polls. Each completed poll proves that the records are
 * up to date.
 */
#define CONFIG_WAIT (1200 * WS_MS)
#define SERVERS_WAIT (1200 * WS_MS)
#define MAP_WAIT (900 * WS_MS)
/* Read period of instances that get the records through others. */
#define RELAYED_REFRESH (30 * WS_SECOND)
/* Each call to the store costs money, and changes often come in bursts. */
#define CONFIG_BATCH_DELAY (150 * WS_MS)
#define SERVERS_BATCH_DELAY (300 * WS_MS)
/*
 * A long poll younger than this is not repeated when another instance reports
 * newer records, as it may still return them.
 */
#define LONG_POLL_MIN (400 * WS_MS)
/* Delay before a failed write of this instance's entry is retried. */
#define OWN_ENTRY_RETRY_DELAY (800 * WS_MS)
/* Own entries that a restore may have lost are written within this time. */
#define OWN_ENTRY_SPREAD (2 * WS_SECOND)
#define MAP_BYTES_MAX ((size_t)256 * 1024)
/*
 * After a start of the whole system, all instances start within a second. Those
 * that read the list later report the new members to the earlier ones; then
 * only relays read it again, for all.
 */
#define MEMBERS_SECOND_READ (WS_ED_FULL_MESH_TIME + 300 * WS_MS)
#define MEMBERS_PERIOD (20 * WS_SECOND)
#define MEMBERS_PERIOD_RELAYED (60 * WS_SECOND)
#define POLL_PERIOD (50 * WS_MS)
#define MEMBER_ENTRY_MAX 96

static void report_read_done(struct ws_eio_topic *t, enum ws_ed_topic topic,
			     ws_us started, uint64_t end, bool caught_up)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	if (!caught_up)
		return;
	ev.u.sync.topic = topic;
	ev.u.sync.started = started;
	ev.u.sync.end = end;
	ws_eio_handle_event(t->store->io, &ev);
}

static void log_bad_record(const struct wp_record *r,
			   const struct wp_error *err)
{
	char *detail = g_strdup_printf("%s, %s", r->key, err->text);

	ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, detail);
	g_free(detail);
}

/* ===== Operator's topic: configuration and zones out of service ===== */

static void set_zone_out(struct ws_eio_topic *t, const char *zone, bool out)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ZONE };

	if (out)
		g_hash_table_add(t->store->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(t->store->zones_out, zone);
	ev.u.zone.zone = ws_ed_id(zone);
	ev.u.zone.out = out;
	ws_eio_handle_event(t->store->io, &ev);
	ws_eio_log(out ? WS_LOG_ZONE_OUT : WS_LOG_ZONE_BACK, ev.u.zone.zone, 0,
		   zone);
}

static void operator_on_record(struct ws_eio_topic *t,
			       const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	const char *zone = wp_decode_zone_out(r->key);
	struct wp_error err;

	if (zone && ws_eio_topic_is_settling(t))
		return;
	if (zone) {
		bool out = r->value_len > 0;

		if (out != !!g_hash_table_contains(t->store->zones_out, zone))
			set_zone_out(t, zone, out);
		return;
	}
	if (strcmp(r->key, wp_decode_config_key()) != 0 || !r->value_len)
		return;
	ev.u.config = wp_decode_config(r->value, r->value_len, &err);
	if (!ev.u.config)
		log_bad_record(r, &err);
	ws_eio_handle_event(t->store->io, &ev);
	ws_eio_front_apply_config(t->store->io->front);
}

static void operator_on_snapshot(struct ws_eio_topic *t)
{
	GList *zones = g_hash_table_get_keys(t->store->zones_out);
	GList *i;

	/* Copies the names, as set_zone_out() removes entries of the table. */
	for (i = zones; i; i = i->next)
		i->data = g_strdup(i->data);
	for (i = zones; i; i = i->next) {
		GHashTableIter it;
		gpointer key;
		bool found = false;

		g_hash_table_iter_init(&it, t->seen_keys);
		while (g_hash_table_iter_next(&it, &key, NULL)) {
			const char *zone = wp_decode_zone_out(key);

			found |= zone && !strcmp(zone, i->data);
		}
		if (!found)
			set_zone_out(t, i->data, false);
	}
	g_list_free_full(zones, g_free);
}

static void operator_on_synced(struct ws_eio_topic *t, ws_us started,
			       uint64_t end, bool caught_up)
{
	report_read_done(t, WS_EDT_CONFIG, started, end, caught_up);
}

static ws_us operator_max_wait(struct ws_eio *io)
{
	(void)io;
	return CONFIG_WAIT;
}

static const struct ws_eio_topic_ops operator_ops = {
	.topic = WP_TOPIC_OPERATOR,
	.edge_topic = WS_EDT_CONFIG,
	.relayed_refresh = RELAYED_REFRESH,
	.shared = true,
	.batch_delay = CONFIG_BATCH_DELAY,
	.max_wait = operator_max_wait,
	.on_record = operator_on_record,
	.on_synced = operator_on_synced,
	.on_snapshot = operator_on_snapshot,
};

/* ===== Servers ===== */

static void remove_server(struct ws_eio_topic *t, const char *name)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };

	if (!g_hash_table_remove(t->store->listed_servers, name))
		return;
	ev.u.unlisted = ws_ed_id(name);
	ws_eio_handle_event(t->store->io, &ev);
	ws_eio_log(WS_LOG_TARGET_LOST, ev.u.unlisted, 0, name);
}

static void servers_on_record(struct ws_eio_topic *t, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l;
	struct wp_error err;

	if (!r->value_len) {
		remove_server(t, r->key);
		return;
	}
	if (wp_decode_server(r->key, r->value, r->value_len, &l, &err)) {
		log_bad_record(r, &err);
		remove_server(t, r->key);
		return;
	}
	l.from_snapshot = !t->following;
	/* It may have left since the copy was made. */
	if (ws_eio_topic_is_settling(t) &&
	    !g_hash_table_contains(t->store->listed_servers, r->key))
		return;
	if (g_hash_table_add(t->store->listed_servers, g_strdup(r->key)))
		ws_eio_log(WS_LOG_TARGET_LIVE, ws_ed_id(r->key), l.started_ms,
			   r->key);
	ev.u.listing = &l;
	ws_eio_handle_event(t->store->io, &ev);
}

static void servers_on_snapshot(struct ws_eio_topic *t)
{
	GList *names = g_hash_table_get_keys(t->store->listed_servers);
	GList *i;

	for (i = names; i; i = i->next)
		i->data = g_strdup(i->data);
	for (i = names; i; i = i->next)
		if (!g_hash_table_contains(t->seen_keys, i->data))
			remove_server(t, i->data);
	g_list_free_full(names, g_free);
}

static void servers_on_synced(struct ws_eio_topic *t, ws_us started,
			      uint64_t end, bool caught_up)
{
	report_read_done(t, WS_EDT_SERVERS, started, end, caught_up);
}

static ws_us servers_max_wait(struct ws_eio *io)
{
	(void)io;
	return SERVERS_WAIT;
}

static const struct ws_eio_topic_ops servers_ops = {
	.topic = WP_TOPIC_SERVERS,
	.edge_topic = WS_EDT_SERVERS,
	.relayed_refresh = RELAYED_REFRESH,
	.shared = true,
	.batch_delay = SERVERS_BATCH_DELAY,
	.max_wait = servers_max_wait,
	.on_record = servers_on_record,
	.on_synced = servers_on_synced,
	.on_snapshot = servers_on_snapshot,
};

/* ===== Map of keys ===== */

static const char map_key[] = "map";

static void map_on_record(struct ws_eio_topic *t, const struct wp_record *r)
{
	struct ws_eio_store *s = t->store;

	if (strcmp(r->key, map_key) != 0)
		return;
	if (ws_ed_map_decode(&s->decoded_map, r->value, r->value_len))
		ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, r->key);
	else
		s->decoded_map_new = true;
}

static void map_on_synced(struct ws_eio_topic *t, ws_us started, uint64_t end,
			  bool caught_up)
{
	struct ws_eio_store *s = t->store;
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };

	if (!caught_up)
		return;
	ev.u.map.started = started;
	ev.u.map.map = s->decoded_map_new ? &s->decoded_map : NULL;
	ev.u.map.end = end;
	s->decoded_map_new = false;
	ws_eio_handle_event(s->io, &ev);
}

static ws_us map_max_wait(struct ws_eio *io)
{
	(void)io;
	return MAP_WAIT;
}

static const struct ws_eio_topic_ops map_ops = {
	.topic = WP_TOPIC_MAP,
	.edge_topic = WS_EDT_MAP,
	.relayed_refresh = RELAYED_REFRESH,
	.max_wait = map_max_wait,
	.on_record = map_on_record,
	.on_synced = map_on_synced,
};

static void on_appended(void *arg, const struct wp_reply *r)
{
	struct ws_eio_store *s = arg;
	struct ws_ed_event ev = { .kind = WS_EDEV_APPENDED };

	s->append_call = NULL;
	ev.u.appended.at = s->append_position;
	ev.u.appended.started = r->started_at;
	ws_eio_store_note_era(s, r->era);
	/* In another era the offset says nothing about earlier records. */
	if (r->outcome == WP_DONE &&
	    (!r->era || r->era == ws_ed_position_era(s->append_position)))
		ev.u.appended.end = WS_EDA_DONE;
	else if (r->outcome == WP_CONFLICT || r->outcome == WP_DONE)
		ev.u.appended.end = WS_EDA_CONFLICT;
	else
		ev.u.appended.end = WS_EDA_FAILED;
	ws_eio_log(WS_LOG_MAP_WRITTEN, 0,
		   (int64_t)ws_ed_position_offset(s->append_position),
		   ev.u.appended.end == WS_EDA_DONE ?
			   "done" :
			   "not_known_to_be_written");
	ws_eio_handle_event(s->io, &ev);
}

void ws_eio_store_append_map(struct ws_eio_store *s, uint64_t at)
{
	const struct ws_ed_map *m =
		ws_ed_lead_proposal(ws_edge_lead(s->io->edge));
	const struct wp_store_callbacks callbacks = { .on_done = on_appended,
						      .arg = s };
	int len = ws_ed_map_encode(m, s->map_bytes, MAP_BYTES_MAX);

	WS_INVARIANT(len > 0);
	if (s->append_call)
		wp_store_cancel(s->append_call);
	s->append_position = at;
	s->append_call = wp_store_append(s->client, WP_TOPIC_MAP, map_key,
					 s->map_bytes, (size_t)len,
					 ws_ed_position_offset(at), &callbacks);
}

/* ===== Instances ===== */

/* Entry: heartbeat address, id of the zone in hex, strength of the machine. */
static void members_on_record(struct ws_eio_topic *t, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };
	char text[MEMBER_ENTRY_MAX];
	char address[WS_ED_ADDRESS_MAX];
	uint32_t strength;
	uint64_t zone;

	if (!r->value_len)
		return;
	snprintf(text, sizeof(text), "%.*s", (int)r->value_len,
		 (const char *)r->value);
	if (sscanf(text, "%47s %" SCNx64 " %" SCNu32, address, &zone,
		   &strength) != 3) {
		ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, r->key);
		return;
	}
	ev.u.member.id = ws_ed_id(r->key);
	ev.u.member.zone = zone;
	ev.u.member.capacity = strength;
	ev.u.member.address = address;
	ws_eio_handle_event(t->store->io, &ev);
}

/*
 * The list is read as a snapshot from time to time; heartbeats report members
 * that join in between.
 */
static void members_on_synced(struct ws_eio_topic *t, ws_us started,
			      uint64_t end, bool caught_up)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBERS_READ };
	struct ws_eio *io = t->store->io;
	ws_us now = ws_eio_now();

	(void)started;
	(void)end;
	(void)caught_up;
	ws_eio_handle_event(io, &ev);
	ws_eio_topic_restart(t);
	t->next_call_at = now - io->started_at < MEMBERS_SECOND_READ ?
				  now + MEMBERS_SECOND_READ :
				  now + MEMBERS_PERIOD;
}

static const struct ws_eio_topic_ops members_ops = {
	.topic = WP_TOPIC_MEMBERS,
	.edge_topic = WS_EDT_COUNT,
	.max_wait = servers_max_wait,
	.on_record = members_on_record,
	.on_synced = members_on_synced,
};

static void on_own_entry_written(void *arg, const struct wp_reply *r)
{
	struct ws_eio_store *s = arg;

	s->own_entry_call = NULL;
	s->own_entry_written = r->outcome == WP_DONE;
	s->own_entry_due = ws_eio_now() + OWN_ENTRY_RETRY_DELAY;
}

/* An empty entry removes this instance from the list. */
static void write_own_entry(struct ws_eio_store *s, const char *entry)
{
	const struct wp_store_callbacks callbacks = {
		.on_done = on_own_entry_written, .arg = s
	};

	s->own_entry_call = wp_store_append(s->client, WP_TOPIC_MEMBERS,
					    s->io->settings.name, entry,
					    strlen(entry), WP_ANY_OFFSET,
					    &callbacks);
}

static void register_self(struct ws_eio_store *s)
{
	char entry[MEMBER_ENTRY_MAX];

	snprintf(entry, sizeof(entry), "%s %016" PRIx64 " %" PRIu32,
		 s->io->settings.heartbeat_address,
		 ws_ed_id(s->io->settings.zone),
		 ws_eio_strength(&s->io->settings));
	write_own_entry(s, entry);
}

void ws_eio_store_leave(struct ws_eio_store *s)
{
	if (s->own_entry_call)
		wp_store_cancel(s->own_entry_call);
	write_own_entry(s, "");
	s->own_entry_written = true;
}

void ws_eio_store_note_era(struct ws_eio_store *s, uint64_t era)
{
	ws_us now = ws_eio_now();

	if (era <= s->era)
		return;
	if (s->era && s->own_entry_written && !s->io->drain_started_at) {
		s->own_entry_written = false;
		s->own_entry_due =
			now + (ws_us)ws_rand_below(&s->rand, OWN_ENTRY_SPREAD);
	}
	s->era = era;
}

/* ===== Reads and lifecycle ===== */

void ws_eio_store_read(struct ws_eio_store *s, enum ws_ed_topic topic)
{
	struct ws_eio_topic *const topics[WS_EDT_COUNT] = {
		[WS_EDT_CONFIG] = &s->config,
		[WS_EDT_SERVERS] = &s->servers,
		[WS_EDT_MAP] = &s->map,
	};
	struct ws_eio_topic *t = topics[topic];

	ws_us now = ws_eio_now();

	/*
	 * Only a long poll can have missed the records. Other reads will return
	 * them; cancelling and repeating these would add to the load that slows
	 * them down.
	 */
	if (t->call &&
	    (!t->long_poll || now - t->call_started_at < LONG_POLL_MIN))
		return;
	if (!t->call && now < t->ask_member_at)
		return;
	if (t->call)
		wp_store_cancel(t->call);
	t->call = NULL;
	if (!ws_eio_topic_ask_member(t))
		t->next_call_at = now;
}

/* An instance that does not read the store hears of members from its relay. */
static void postpone_members(struct ws_eio_store *s, ws_us now)
{
	struct ws_eio_topic *t = &s->members;
	bool first = now - s->io->started_at < MEMBERS_SECOND_READ;

	if (!first && !t->call && now >= t->next_call_at &&
	    !ws_ed_peers_reads_store(ws_edge_peers(s->io->edge), now))
		t->next_call_at = now + MEMBERS_PERIOD_RELAYED;
}

static void poll_topics(void *arg, ws_us now)
{
	struct ws_eio_store *s = arg;

	ws_eio_topic_poll(&s->config, now);
	ws_eio_topic_poll(&s->servers, now);
	ws_eio_topic_poll(&s->map, now);
	postpone_members(s, now);
	ws_eio_topic_poll(&s->members, now);
	if (!s->own_entry_written && !s->own_entry_call &&
	    now >= s->own_entry_due)
		register_self(s);
}

struct ws_eio_store *ws_eio_store_new(struct ws_eio *io)
{
	struct ws_eio_store *s = ws_alloc(1, sizeof(*s));

	s->io = io;
	ws_rand_seed(&s->rand, io->incarnation);
	s->client =
		wp_store_new(io->http, io->settings.store_address, ws_eio_now);
	s->map_bytes = ws_alloc(MAP_BYTES_MAX, 1);
	s->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->listed_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ws_eio_topic_init(&s->config, s, &operator_ops);
	ws_eio_topic_init(&s->servers, s, &servers_ops);
	ws_eio_topic_init(&s->map, s, &map_ops);
	ws_eio_topic_init(&s->members, s, &members_ops);
	s->timer = ws_timer_every(io->timers, ws_eio_now(), POLL_PERIOD,
				  poll_topics, s);
	poll_topics(s, ws_eio_now());
	return s;
}

void ws_eio_store_free(struct ws_eio_store *s)
{
	if (!s)
		return;
	ws_timer_cancel(s->io->timers, s->timer);
	ws_eio_topic_free(&s->config);
	ws_eio_topic_free(&s->servers);
	ws_eio_topic_free(&s->map);
	ws_eio_topic_free(&s->members);
	if (s->append_call)
		wp_store_cancel(s->append_call);
	if (s->own_entry_call)
		wp_store_cancel(s->own_entry_call);
	wp_store_free(s->client);
	ws_ed_map_free(&s->decoded_map);
	g_hash_table_destroy(s->zones_out);
	g_hash_table_destroy(s->listed_servers);
	free(s->map_bytes);
	free(s);
}

uint64_t ws_eio_store_calls(const struct ws_eio_store *s)
{
	return wp_store_calls(s->client);
}
