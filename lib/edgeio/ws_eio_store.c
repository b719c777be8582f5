#include "edgeio/ws_eio_store.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ws_events.h"
#include "edgeio/ws_eio_front.h"
#include "edgeio/ws_eio_log.h"
#include "edgeio/ws_eio_topic.h"
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
/* One that waits for records has missed them when others know them so long. */
#define WAITING_REREAD (400 * WS_MS)
/* Pause before the own entry is written again. */
#define ENTRY_PAUSE (800 * WS_MS)
#define MAP_BYTES_MAX ((size_t)256 * 1024)
/*
 * All start within a second. Those that read the list later than others tell
 * these; then relays read it again for all.
 */
#define MEMBERS_SECOND (WS_ED_FULL_MESH_TIME + 300 * WS_MS)
#define MEMBERS_PERIOD (20 * WS_SECOND)
#define MEMBERS_PERIOD_TOLD (60 * WS_SECOND)
#define CHECK_PERIOD (50 * WS_MS)
#define MEMBER_MAX 96

static void sync_topic(struct ws_eio_topic *f, enum ws_ed_topic topic,
		       ws_us started, uint64_t end, bool caught_up)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_READ_DONE };

	if (!caught_up)
		return;
	ev.u.sync.topic = topic;
	ev.u.sync.started = started;
	ev.u.sync.end = end;
	ws_eio_handle_event(f->store->io, &ev);
}

static void log_bad_record(const struct wp_record *r,
			   const struct wp_error *why)
{
	char *detail = g_strdup_printf("%s, %s", r->key, why->text);

	ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, detail);
	g_free(detail);
}

/* ===== Operator ===== */

static void set_zone(struct ws_eio_topic *f, const char *zone, bool out)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_ZONE };

	if (out)
		g_hash_table_add(f->store->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(f->store->zones_out, zone);
	ev.u.zone.zone = ws_ed_id(zone);
	ev.u.zone.out = out;
	ws_eio_handle_event(f->store->io, &ev);
	ws_eio_log(out ? WS_LOG_ZONE_OUT : WS_LOG_ZONE_BACK, ev.u.zone.zone, 0,
		   zone);
}

static void operator_record(struct ws_eio_topic *f, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_CONFIG };
	const char *zone = wp_decode_zone_out(r->key);
	struct wp_error why;

	if (zone) {
		bool out = r->value_len > 0;

		if (out != !!g_hash_table_contains(f->store->zones_out, zone))
			set_zone(f, zone, out);
		return;
	}
	if (strcmp(r->key, wp_decode_config_key()) != 0 || !r->value_len)
		return;
	ev.u.config = wp_decode_config(r->value, r->value_len, &why);
	if (!ev.u.config) {
		log_bad_record(r, &why);
		return;
	}
	ws_eio_handle_event(f->store->io, &ev);
	ws_eio_front_apply_config(f->store->io->front);
}

static void operator_whole(struct ws_eio_topic *f)
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

		g_hash_table_iter_init(&it, f->seen_keys);
		while (g_hash_table_iter_next(&it, &key, NULL)) {
			const char *zone = wp_decode_zone_out(key);

			named |= zone && !strcmp(zone, i->data);
		}
		if (!named)
			set_zone(f, i->data, false);
	}
	g_list_free_full(zones, g_free);
}

static void operator_synced(struct ws_eio_topic *f, ws_us started, uint64_t end,
			    bool caught_up)
{
	sync_topic(f, WS_EDT_CONFIG, started, end, caught_up);
}

static ws_us operator_wait(struct ws_eio *io)
{
	(void)io;
	return CONFIG_WAIT;
}

static const struct ws_eio_topic_ops operator_ops = {
	.topic = WP_TOPIC_OPERATOR,
	.edge_topic = WS_EDT_CONFIG,
	.relayed_refresh = TOLD_REFRESH,
	.shared = true,
	.batch_delay = CONFIG_REST,
	.max_wait = operator_wait,
	.on_record = operator_record,
	.on_synced = operator_synced,
	.on_snapshot = operator_whole,
};

/* ===== Servers ===== */

static void unlist(struct ws_eio_topic *f, const char *name)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_UNLISTED };

	if (!g_hash_table_remove(f->store->listed_servers, name))
		return;
	ev.u.unlisted = ws_ed_id(name);
	ws_eio_handle_event(f->store->io, &ev);
	ws_eio_log(WS_LOG_TARGET_LOST, ev.u.unlisted, 0, name);
}

static void servers_record(struct ws_eio_topic *f, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_LISTED };
	struct ws_ed_listing l;
	struct wp_error why;

	if (!r->value_len) {
		unlist(f, r->key);
		return;
	}
	if (wp_decode_server(r->key, r->value, r->value_len, &l, &why)) {
		log_bad_record(r, &why);
		unlist(f, r->key);
		return;
	}
	if (g_hash_table_add(f->store->listed_servers, g_strdup(r->key)))
		ws_eio_log(WS_LOG_TARGET_LIVE, ws_ed_id(r->key), l.started_ms,
			   r->key);
	ev.u.listing = &l;
	ws_eio_handle_event(f->store->io, &ev);
}

static void servers_whole(struct ws_eio_topic *f)
{
	GList *names = g_hash_table_get_keys(f->store->listed_servers);
	GList *i;

	for (i = names; i; i = i->next)
		i->data = g_strdup(i->data);
	for (i = names; i; i = i->next)
		if (!g_hash_table_contains(f->seen_keys, i->data))
			unlist(f, i->data);
	g_list_free_full(names, g_free);
}

static void servers_synced(struct ws_eio_topic *f, ws_us started, uint64_t end,
			   bool caught_up)
{
	sync_topic(f, WS_EDT_SERVERS, started, end, caught_up);
}

static ws_us servers_wait(struct ws_eio *io)
{
	(void)io;
	return SERVERS_WAIT;
}

static const struct ws_eio_topic_ops servers_ops = {
	.topic = WP_TOPIC_SERVERS,
	.edge_topic = WS_EDT_SERVERS,
	.relayed_refresh = TOLD_REFRESH,
	.shared = true,
	.batch_delay = SERVERS_REST,
	.max_wait = servers_wait,
	.on_record = servers_record,
	.on_synced = servers_synced,
	.on_snapshot = servers_whole,
};

/* ===== Map of keys ===== */

static const char map_key[] = "map";

static void map_record(struct ws_eio_topic *f, const struct wp_record *r)
{
	struct ws_eio_store *s = f->store;

	if (strcmp(r->key, map_key) != 0)
		return;
	if (ws_ed_map_decode(&s->decoded_map, r->value, r->value_len))
		ws_eio_log(WS_LOG_BAD_RECORD, 0, 0, r->key);
	else
		s->decoded_map_new = true;
}

static void map_synced(struct ws_eio_topic *f, ws_us started, uint64_t end,
		       bool caught_up)
{
	struct ws_eio_store *s = f->store;
	struct ws_ed_event ev = { .kind = WS_EDEV_MAP_READ_DONE };

	if (!caught_up)
		return;
	ev.u.map.started = started;
	ev.u.map.map = s->decoded_map_new ? &s->decoded_map : NULL;
	ev.u.map.end = end;
	s->decoded_map_new = false;
	ws_eio_handle_event(s->io, &ev);
}

static ws_us map_wait(struct ws_eio *io)
{
	(void)io;
	return MAP_WAIT;
}

static const struct ws_eio_topic_ops map_ops = {
	.topic = WP_TOPIC_MAP,
	.edge_topic = WS_EDT_MAP,
	.relayed_refresh = TOLD_REFRESH,
	.max_wait = map_wait,
	.on_record = map_record,
	.on_synced = map_synced,
};

static void on_appended(void *arg, const struct wp_reply *r)
{
	struct ws_eio_store *s = arg;
	struct ws_ed_event ev = { .kind = WS_EDEV_APPENDED };

	s->append_call = NULL;
	ev.u.appended.at = s->append_offset;
	ev.u.appended.started_at = r->started_at;
	if (r->outcome == WP_DONE)
		ev.u.appended.end = WS_EDA_DONE;
	else if (r->outcome == WP_CONFLICT)
		ev.u.appended.end = WS_EDA_CONFLICT;
	else
		ev.u.appended.end = WS_EDA_FAILED;
	ws_eio_log(WS_LOG_MAP_WRITTEN, 0, (int64_t)s->append_offset,
		   r->outcome == WP_DONE ? "done" : "not_known_to_be_written");
	ws_eio_handle_event(s->io, &ev);
}

void ws_eio_store_append_map(struct ws_eio_store *s, uint64_t at)
{
	const struct ws_ed_map *m =
		ws_ed_lead_proposal(ws_edge_lead(s->io->edge));
	const struct wp_store_callbacks reader = { .on_done = on_appended,
						   .arg = s };
	int len = ws_ed_map_encode(m, s->map_bytes, MAP_BYTES_MAX);

	WS_INVARIANT(len > 0);
	if (s->append_call)
		wp_store_cancel(s->append_call);
	s->append_offset = at;
	s->append_call = wp_store_append(s->client, WP_TOPIC_MAP, map_key,
					 s->map_bytes, (size_t)len, at,
					 &reader);
}

/* ===== Instances ===== */

/* Address of heartbeats, the zone's id in hex and the machine's strength. */
static void members_record(struct ws_eio_topic *f, const struct wp_record *r)
{
	struct ws_ed_event ev = { .kind = WS_EDEV_MEMBER };
	char text[MEMBER_MAX];
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
	ws_eio_handle_event(f->store->io, &ev);
}

/* The list is read as a whole now and then; heartbeats tell the rest. */
static void members_synced(struct ws_eio_topic *f, ws_us started, uint64_t end,
			   bool caught_up)
{
	struct ws_eio *io = f->store->io;
	ws_us now = ws_eio_now();

	(void)started;
	(void)end;
	(void)caught_up;
	ws_eio_topic_restart(f);
	f->next_call_at = now - io->started_at < MEMBERS_SECOND ?
				  now + MEMBERS_SECOND :
				  now + MEMBERS_PERIOD;
}

static const struct ws_eio_topic_ops members_ops = {
	.topic = WP_TOPIC_MEMBERS,
	.edge_topic = WS_EDT_COUNT,
	.max_wait = servers_wait,
	.on_record = members_record,
	.on_synced = members_synced,
};

static void on_own_written(void *arg, const struct wp_reply *r)
{
	struct ws_eio_store *s = arg;

	s->own_entry_call = NULL;
	s->own_entry_written = r->outcome == WP_DONE;
	s->own_entry_due = ws_eio_now() + ENTRY_PAUSE;
}

/* An empty entry tells that this instance has left. */
static void write_own_entry(struct ws_eio_store *s, const char *entry)
{
	const struct wp_store_callbacks reader = { .on_done = on_own_written,
						   .arg = s };

	s->own_entry_call = wp_store_append(s->client, WP_TOPIC_MEMBERS,
					    s->io->settings.name, entry,
					    strlen(entry), WP_ANY_OFFSET,
					    &reader);
}

static void enter(struct ws_eio_store *s)
{
	char entry[MEMBER_MAX];

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

/* ===== Life ===== */

void ws_eio_store_read(struct ws_eio_store *s, enum ws_ed_topic topic)
{
	struct ws_eio_topic *const feeds[WS_EDT_COUNT] = {
		[WS_EDT_CONFIG] = &s->config,
		[WS_EDT_SERVERS] = &s->servers,
		[WS_EDT_MAP] = &s->map,
	};
	struct ws_eio_topic *f = feeds[topic];

	ws_us now = ws_eio_now();

	/*
	 * Only a read that waits for news may have missed them. Others are on
	 * their way; to cancel and repeat them would add to what keeps them.
	 */
	if (f->call &&
	    (!f->long_poll || now - f->call_started_at < WAITING_REREAD))
		return;
	if (!f->call && now < f->ask_member_at)
		return;
	if (f->call)
		wp_store_cancel(f->call);
	f->call = NULL;
	if (!ws_eio_topic_ask_member(f))
		f->next_call_at = now;
}

/* Relays tell the others of instances. */
static void postpone_members(struct ws_eio_store *s, ws_us now)
{
	struct ws_eio_topic *f = &s->members;
	bool first = now - s->io->started_at < MEMBERS_SECOND;

	if (!first && !f->call && now >= f->next_call_at &&
	    !ws_ed_peers_reads_store(ws_edge_peers(s->io->edge), now))
		f->next_call_at = now + MEMBERS_PERIOD_TOLD;
}

static void check(void *arg, ws_us now)
{
	struct ws_eio_store *s = arg;

	ws_eio_topic_poll(&s->config, now);
	ws_eio_topic_poll(&s->servers, now);
	ws_eio_topic_poll(&s->map, now);
	postpone_members(s, now);
	ws_eio_topic_poll(&s->members, now);
	if (!s->own_entry_written && !s->own_entry_call &&
	    now >= s->own_entry_due)
		enter(s);
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
