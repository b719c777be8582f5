#include "own_sim_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const sim_fault_names[SIM_FAULTS] = {
	"message lost",	   "message doubled",	"message late",
	"zone cut",	   "platform cut",	"log outage",
	"reply lost",	   "append late",	"instance paused",
	"instance killed", "target frozen",	"target killed",
	"target leaving",  "instance draining", "log apart from peers",
};

/* ===== Small helpers ===== */

uint64_t sim_random(struct sim *s, uint64_t bound)
{
	return ws_rand_below(&s->rand, bound);
}

bool sim_chance(struct sim *s, unsigned per_mille)
{
	return s->chaos && sim_random(s, 1000) < per_mille;
}

void sim_fault(struct sim *s, enum sim_fault f)
{
	s->faults[f]++;
}

void sim_report_violation(struct sim *s, const char *what, uint64_t a,
			  uint64_t b)
{
	if (!s->violation[0])
		snprintf(s->violation, sizeof(s->violation),
			 "%s (%llx, %llx) at %lld ms", what,
			 (unsigned long long)a, (unsigned long long)b,
			 (long long)(s->now / WS_MS));
}

ws_us sim_node_clock(const struct sim *s, const struct node *n)
{
	return s->now + s->now * n->ppm / 1000000 + n->offset;
}

ws_us sim_target_clock(const struct sim *s, const struct target *t)
{
	return s->now + s->now * t->ppm / 1000000 + t->offset;
}

bool sim_node_running(const struct sim *s, const struct node *n)
{
	return n->up && s->now >= n->paused_until;
}

bool sim_target_running(const struct sim *s, const struct target *t)
{
	return t->up && s->now >= t->frozen_until;
}

bool sim_zones_connected(const struct sim *s, int a, int b)
{
	return s->now >= s->cut_until[a][b];
}

bool sim_log_reachable(const struct sim *s, int zone)
{
	return s->now >= s->platform_cut_until[zone] &&
	       s->now >= s->log_down_until;
}

struct target *sim_find_target(struct sim *s, ws_id id)
{
	int i;

	for (i = 0; i < s->n_targets; i++)
		if (s->targets[i].id == id)
			return &s->targets[i];
	return NULL;
}

ws_us sim_message_delay(struct sim *s)
{
	ws_us d = 300 + (ws_us)sim_random(s, 2500);

	if (!sim_chance(s, 20))
		return d;
	sim_fault(s, SIM_MSG_DELAYED);
	return d + (ws_us)sim_random(s, 900) * WS_MS;
}

/* ===== Event queue ===== */

static bool earlier(const struct ev *a, const struct ev *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

struct ev *sim_push(struct sim *s, uint8_t kind, ws_us at)
{
	struct ev *e = ws_alloc(1, sizeof(*e));
	size_t i = s->n_heap;

	e->kind = kind;
	e->at = at;
	e->seq = ++s->seq;
	ws_grow(&s->heap, &s->cap_heap, s->n_heap + 1, sizeof(void *));
	s->n_heap++;
	while (i && earlier(e, s->heap[(i - 1) / 2])) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
	return e;
}

struct ev *sim_pop(struct sim *s)
{
	struct ev *top = s->heap[0];
	struct ev *last = s->heap[--s->n_heap];
	size_t i = 0;
	size_t c;

	while ((c = 2 * i + 1) < s->n_heap) {
		if (c + 1 < s->n_heap && earlier(s->heap[c + 1], s->heap[c]))
			c++;
		if (!earlier(s->heap[c], last))
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	if (s->n_heap)
		s->heap[i] = last;
	return top;
}

void sim_event_free(struct ev *e)
{
	ws_msg_clear(&e->msg);
	if (e->rec) {
		ws_record_clear(e->rec);
		free(e->rec);
	}
	free(e->grant.u.grant.items);
	free(e);
}

/* The same event once more, as after a pause; takes the contents over. */
void sim_repush(struct sim *s, struct ev *e, ws_us at)
{
	struct ev *again = sim_push(s, e->kind, at);
	uint64_t seq = again->seq;

	*again = *e;
	again->at = at;
	again->seq = seq;
	free(e);
}

/* ===== Log ===== */

static uint64_t table_sum(const struct ws_own *o)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < ws_own_count(o); i++) {
		const struct ws_assignment *a = ws_own_at(o, i);
		uint64_t h = ws_mix(ws_res_hash(&a->res), a->fence);

		h = ws_mix(h, ws_mix(a->holder.id, a->holder.incarnation));
		sum += ws_mix(h, (uint64_t)a->takeover_wall_ms * 2 + a->active);
	}
	return sum;
}

/* Keys that have left their shards, with the offset at which they did. */
static void note_hot_keys(struct sim *s)
{
	struct sim_hot old[SIM_HOT_KEYS];
	size_t n = s->n_hot;
	size_t i;
	size_t k;

	memcpy(old, s->hot, sizeof(old));
	s->n_hot = 0;
	for (i = 0; i < ws_own_count(s->oracle); i++) {
		const struct ws_assignment *a = ws_own_at(s->oracle, i);

		if (a->res.kind != WS_RES_HOT_KEY || s->n_hot == SIM_HOT_KEYS)
			continue;
		for (k = 0; k < n && old[k].key != a->res.item; k++)
			;
		s->hot[s->n_hot].key = a->res.item;
		s->hot[s->n_hot++].since = k < n ? old[k].since : a->fence;
	}
}

/* The vote of a partition stays with its last active holder. */
static void note_voters(struct sim *s)
{
	struct ws_res res = { .kind = WS_RES_PARTITION };

	for (res.item = 0; res.item < PARTITIONS; res.item++) {
		const struct ws_assignment *a = ws_own_find(s->oracle, &res);

		if (a && a->active)
			s->voters[res.item] = a->holder.id;
	}
}

/* Fence of the resource of each item; the model of what makes it valid. */
static void note_fences(struct sim *s, const struct ws_record *r,
			ws_offset *fences)
{
	size_t i;

	for (i = 0; i < r->n_items; i++) {
		const struct ws_assignment *a =
			ws_own_find(s->oracle, &r->items[i].res);

		fences[i] = a ? a->fence : 0;
	}
}

static void check_fences(struct sim *s, const struct ws_record *r,
			 const ws_offset *fences)
{
	size_t i;

	for (i = 0; i < r->n_items; i++) {
		const struct ws_assign_item *it = &r->items[i];
		const struct ws_assignment *a =
			ws_own_find(s->oracle, &it->res);
		ws_offset now = a ? a->fence : 0;

		if (it->expected_fence != fences[i] && now != fences[i])
			sim_report_violation(s, "void item folded", r->offset,
					     i);
		if (it->res.kind == WS_RES_SHARD && fences[i] &&
		    now != fences[i])
			s->shard_moves++;
	}
}

void sim_log_append(struct sim *s, struct ws_record *rec)
{
	ws_offset fences[2 * RES_MAX] = { 0 };
	struct ws_fx fx = { 0 };
	struct ws_record *r = &s->log[s->head];

	WS_INVARIANT(s->head < LOG_MAX);
	ws_record_copy(r, rec);
	r->offset = s->head++;
	if (s->head > LOG_KEPT)
		s->oldest = s->head - LOG_KEPT;
	note_fences(s, r, fences);
	ws_own_apply_record(s->oracle, &fx, s->now, r);
	check_fences(s, r, fences);
	ws_fx_free(&fx);
	s->table_hash[s->head] = table_sum(s->oracle);
	s->hash = ws_mix(s->hash, s->table_hash[s->head]);
	note_hot_keys(s);
	note_voters(s);
}

void sim_check_table(struct sim *s, const struct node *n)
{
	ws_offset next = ws_own_next_offset(n->own);

	if (table_sum(n->own) != s->table_hash[next])
		sim_report_violation(s, "table differs from the log", n->id,
				     next);
}

struct ev *sim_push_from(struct sim *s, const struct node *n, uint8_t kind,
			 ws_us wait)
{
	struct ev *e = sim_push(s, kind, s->now + wait);

	e->node = (int)(n - s->nodes);
	e->node_id = n->id;
	return e;
}

/* ===== Run ===== */

/* Keys that fall into given shards stand for these shards. */
static void find_shard_keys(struct sim *s, int svc)
{
	uint64_t key;

	for (key = 1; key < 1000; key++) {
		uint32_t shard = ws_bundle_shard(&s->services[svc], key);

		if (!s->shard_key[svc][shard])
			s->shard_key[svc][shard] = key;
	}
}

static void make_bundle(struct sim *s)
{
	int i;

	for (i = 0; i < 2; i++)
		s->services[i] = (struct ws_service){ .id = 7001 + (ws_id)i,
						      .sharded = true,
						      .shards = SIM_SHARDS,
						      .checks_fences = !i };
	for (i = 0; i < SIM_ZONES; i++)
		s->zones[i] = (struct ws_zone){ .id = (ws_id)i + 1,
						.in_service = true };
	s->bundle = (struct ws_bundle){ .refs = 1,
					.version = 1,
					.partitions = PARTITIONS,
					.outage_limit = 600 * WS_SECOND,
					.n_services = 2,
					.services = s->services,
					.n_zones = SIM_ZONES,
					.zones = s->zones };
	find_shard_keys(s, 0);
	find_shard_keys(s, 1);
}

static void target_start(struct sim *s, struct target *t)
{
	t->up = true;
	t->frozen_until = 0;
	t->incarnation = ++s->next_id;
	t->offset = (ws_us)sim_random(s, 1000000) * WS_MS;
	t->ppm = (int64_t)sim_random(s, 8000) - 4000;
	t->as_of = 0;
	t->not_after = 0;
	t->n_items = 0;
}

struct sim *sim_new(uint64_t seed, int nodes, int targets)
{
	struct sim *s = ws_alloc(1, sizeof(*s));
	int i;

	ws_rand_seed(&s->rand, seed);
	s->now = WS_SECOND;
	s->head = 1;
	s->oldest = 1;
	s->n_nodes = nodes;
	s->n_targets = targets;
	s->log = ws_alloc(LOG_MAX, sizeof(*s->log));
	s->table_hash = ws_alloc(LOG_MAX + 1, sizeof(*s->table_hash));
	s->oracle = ws_own_new(1, 1);
	make_bundle(s);
	for (i = 0; i < targets; i++) {
		s->targets[i].id = 500 + (ws_id)i;
		s->targets[i].zone = i % SIM_ZONES;
		s->targets[i].service = i % 2;
		target_start(s, &s->targets[i]);
	}
	for (i = 0; i < nodes; i++) {
		s->nodes[i].zone = i % SIM_ZONES;
		sim_node_start(s, &s->nodes[i]);
	}
	return s;
}

void sim_free(struct sim *s)
{
	ws_offset off;
	int i;

	while (s->n_heap)
		sim_event_free(sim_pop(s));
	for (i = 0; i < s->n_nodes; i++) {
		ws_own_free(s->nodes[i].own);
		ws_member_free(s->nodes[i].member);
	}
	for (off = 0; off < s->head; off++)
		ws_record_clear(&s->log[off]);
	ws_own_free(s->oracle);
	free(s->log);
	free(s->table_hash);
	free(s->heap);
	free(s);
}

static void restart_targets(struct sim *s)
{
	int i;

	for (i = 0; i < s->n_targets; i++) {
		struct target *t = &s->targets[i];

		if (!t->up && t->restart_at && s->now >= t->restart_at)
			target_start(s, t);
	}
}

static void step(struct sim *s)
{
	int i;

	s->now += STEP;
	while (s->n_heap && s->heap[0]->at <= s->now)
		sim_run_event(s, sim_pop(s));
	restart_targets(s);
	for (i = 0; i < s->n_nodes; i++)
		if (sim_node_running(s, &s->nodes[i]) &&
		    s->now >= s->nodes[i].next_tick)
			sim_node_tick(s, &s->nodes[i]);
	sim_check_all(s);
}

/* ===== Faults ===== */

void sim_kill_node(struct sim *s, int i)
{
	WS_INVARIANT(s->n_dead < SIM_DEAD_MAX);
	if (s->nodes[i].up)
		s->dead[s->n_dead++] = s->nodes[i].id;
	s->nodes[i].up = false;
}

bool sim_majority_alive(const struct sim *s)
{
	size_t votes = 0;
	size_t p;
	int i;

	for (p = 0; p < PARTITIONS; p++)
		for (i = 0; i < s->n_nodes; i++)
			votes += s->nodes[i].up &&
				 s->nodes[i].id == s->voters[p];
	return votes * 2 > PARTITIONS;
}

void sim_recover(struct sim *s)
{
	struct ws_record rec = { .kind = WS_REC_RECOVER,
				 .uid = ++s->next_id,
				 .n_gone = s->n_dead,
				 .gone = s->dead };

	sim_log_append(s, &rec);
}

void sim_start_node(struct sim *s, int i)
{
	sim_node_start(s, &s->nodes[i]);
}

void sim_kill_target(struct sim *s, int i)
{
	s->targets[i].up = false;
	s->targets[i].restart_at = 0;
}

void sim_kill_zone(struct sim *s, int zone)
{
	int i;

	for (i = 0; i < s->n_nodes; i++)
		if (s->nodes[i].zone == zone)
			sim_kill_node(s, i);
	for (i = 0; i < s->n_targets; i++)
		if (s->targets[i].zone == zone)
			sim_kill_target(s, i);
}

void sim_drain_node(struct sim *s, int i)
{
	s->nodes[i].draining = true;
	ws_own_start_drain(s->nodes[i].own);
}

bool sim_drained(const struct sim *s, int i)
{
	return ws_own_drained(s->nodes[i].own);
}

void sim_leave_target(struct sim *s, int i, bool leaving)
{
	s->targets[i].leaving = leaving;
}

void sim_log_down(struct sim *s, bool down)
{
	s->log_down_until = down ? INT64_MAX : 0;
}

void sim_load_hot_keys(struct sim *s, bool on)
{
	uint64_t key = 1000;

	memset(s->heated, 0, sizeof(s->heated));
	if (!on)
		return;
	s->heated[0] = key;
	while (ws_bundle_shard(&s->services[0], ++key) !=
	       ws_bundle_shard(&s->services[0], s->heated[0]))
		;
	s->heated[1] = key;
}

void sim_cut_zones(struct sim *s, int from, int to)
{
	s->cut_until[from][to] = INT64_MAX;
}

void sim_cut_platform(struct sim *s, int zone)
{
	s->platform_cut_until[zone] = INT64_MAX;
}

static ws_us some_time(struct sim *s, ws_us max)
{
	return s->now + 50 * WS_MS + (ws_us)sim_random(s, (uint64_t)max);
}

static void cut_zones(struct sim *s)
{
	int a = (int)sim_random(s, SIM_ZONES);
	int b = (int)sim_random(s, SIM_ZONES);

	s->cut_until[a][b] = some_time(s, 6 * WS_SECOND);
	if (sim_random(s, 4))
		s->cut_until[b][a] = s->cut_until[a][b];
}

/*
 * One zone keeps the log and loses the peers, the others keep each other and
 * lose the log: whoever takes over without the answers of a majority meets an
 * owner that a majority still confirms.
 */
static void part_log_from_peers(struct sim *s)
{
	ws_us until = some_time(s, 8 * WS_SECOND);
	int zone = (int)sim_random(s, SIM_ZONES);
	int z;

	for (z = 0; z < SIM_ZONES; z++) {
		if (z == zone)
			continue;
		s->platform_cut_until[z] = until;
		s->cut_until[z][zone] = until;
		s->cut_until[zone][z] = until;
	}
}

static void fault_at_node(struct sim *s, enum sim_fault f)
{
	struct node *n = &s->nodes[sim_random(s, (uint64_t)s->n_nodes)];

	if (f == SIM_DRAIN && n->up)
		sim_drain_node(s, (int)(n - s->nodes));
	else if (f == SIM_PAUSE)
		n->paused_until = some_time(s, 4 * WS_SECOND);
	else if (n->up && sim_random(s, 2))
		sim_kill_node(s, (int)(n - s->nodes));
	else if (!n->up)
		sim_node_start(s, n);
}

static void fault_at_target(struct sim *s, enum sim_fault f)
{
	struct target *t = &s->targets[sim_random(s, (uint64_t)s->n_targets)];

	if (f == SIM_LEAVE) {
		t->leaving = !t->leaving;
		return;
	}
	if (f == SIM_FREEZE) {
		t->frozen_until = some_time(s, 4 * WS_SECOND);
		return;
	}
	t->up = false;
	t->restart_at = some_time(s, 5 * WS_SECOND);
}

static void cause_fault(struct sim *s)
{
	enum sim_fault f =
		SIM_ZONE_CUT + sim_random(s, SIM_FAULTS - SIM_ZONE_CUT);

	if (f == SIM_REPLY_LOST || f == SIM_APPEND_DELAYED)
		return;
	sim_fault(s, f);
	if (f == SIM_ZONE_CUT)
		cut_zones(s);
	else if (f == SIM_LOG_PEER_SPLIT)
		part_log_from_peers(s);
	else if (f == SIM_PLATFORM_CUT)
		s->platform_cut_until[sim_random(s, SIM_ZONES)] =
			some_time(s, 6 * WS_SECOND);
	else if (f == SIM_LOG_OUTAGE)
		s->log_down_until = some_time(s, 5 * WS_SECOND);
	else if (f == SIM_PAUSE || f == SIM_KILL || f == SIM_DRAIN)
		fault_at_node(s, f);
	else
		fault_at_target(s, f);
}

void sim_run(struct sim *s, ws_us time, unsigned chaos)
{
	ws_us end = s->now + time;

	s->chaos = chaos > 0;
	while (s->now < end && !s->violation[0]) {
		if (sim_random(s, 1000) < chaos)
			cause_fault(s);
		step(s);
	}
	s->chaos = false;
}

void sim_end_faults(struct sim *s)
{
	int i;

	memset(s->cut_until, 0, sizeof(s->cut_until));
	memset(s->platform_cut_until, 0, sizeof(s->platform_cut_until));
	s->log_down_until = 0;
	for (i = 0; i < s->n_nodes; i++) {
		s->nodes[i].paused_until = 0;
		if (s->nodes[i].draining)
			sim_kill_node(s, i);
		if (!s->nodes[i].up)
			sim_node_start(s, &s->nodes[i]);
	}
	for (i = 0; i < s->n_targets; i++) {
		s->targets[i].frozen_until = 0;
		s->targets[i].leaving = false;
		if (!s->targets[i].up)
			target_start(s, &s->targets[i]);
	}
}

ws_us sim_run_until_served(struct sim *s, ws_us max)
{
	size_t all = PARTITIONS + (size_t)s->n_targets + SIM_ALL_SHARDS;
	ws_us start = s->now;

	while (s->now - start < max && !s->violation[0]) {
		step(s);
		if (s->served == all)
			return s->now - start;
	}
	return -1;
}

/* ===== Results ===== */

ws_us sim_longest_gap(struct sim *s)
{
	ws_us gap = s->gap;

	s->gap = 0;
	return gap;
}

uint64_t sim_events(const struct sim *s)
{
	return s->seq;
}

uint64_t sim_hash(const struct sim *s)
{
	return s->hash;
}

uint64_t sim_faults(const struct sim *s, enum sim_fault f)
{
	return s->faults[f];
}

size_t sim_shard_moves(const struct sim *s)
{
	return s->shard_moves;
}

ws_id sim_loaded_key_owner(const struct sim *s, int i)
{
	const struct ws_assignment *a =
		ws_own_find_key_owner(s->oracle, &s->services[0], s->heated[i]);

	return a ? a->holder.id : 0;
}

size_t sim_hot_keys(const struct sim *s)
{
	return s->n_hot;
}

const char *sim_violation(const struct sim *s)
{
	return s->violation;
}
