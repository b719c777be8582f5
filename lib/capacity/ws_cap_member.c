#include "capacity/ws_cap_internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec/ws_codec.h"

/* Membership by number of members, a third instances as in the fleet. */

#define LOOPS 200

static struct ws_list_entry entry_of(size_t i)
{
	struct ws_list_entry e = { .is_target = i % 3 != 0,
				   .zone = CAP_FIRST_ZONE_ID + i % CAP_ZONES };

	e.id = (e.is_target ? CAP_FIRST_TARGET_ID : CAP_FIRST_INSTANCE_ID) + i;
	e.service = e.is_target ? CAP_FIRST_SERVICE_ID + i % CAP_SERVICES : 0;
	(void)snprintf(e.name.text, sizeof(e.name.text), "member-%zu", i);
	(void)snprintf(e.address.text, sizeof(e.address.text),
		       "10.%zu.%zu.%zu:7000", i / 65536, i / 256 % 256,
		       i % 256);
	return e;
}

static struct ws_member *member_of(size_t members, struct ws_fx *fx)
{
	static const struct ws_name name = { "self" };
	struct ws_member *m = ws_member_new(1, CAP_FIRST_ZONE_ID, &name, &name);
	struct ws_list_entry *e = ws_alloc(members, sizeof(*e));
	struct ws_msg msg = { .kind = WS_MSG_HEARTBEAT };
	size_t i;

	for (i = 0; i < members; i++)
		e[i] = entry_of(i);
	ws_member_update_list(m, fx, 0, e, members);
	for (i = 0; i < members; i += 3)
		ws_member_on_heartbeat(m, fx, 0, 0, CAP_FIRST_INSTANCE_ID + i,
				       &msg);
	ws_fx_clear(fx);
	free(e);
	return m;
}

static double memory(size_t members)
{
	struct ws_fx fx = { .items = NULL };
	double before = ws_cap_allocated_bytes();
	struct ws_member *m = member_of(members, &fx);
	double after;

	ws_fx_free(&fx);
	after = ws_cap_allocated_bytes();
	ws_member_free(m);
	return after - before;
}

static double tick(size_t members)
{
	struct ws_fx fx = { .items = NULL };
	struct ws_member *m = member_of(members, &fx);
	double start = ws_cap_cpu_seconds();
	size_t i;

	for (i = 0; i < LOOPS; i++)
		ws_member_tick(m, &fx, (ws_us)i, NULL, 0);
	start = ws_cap_cpu_seconds() - start;
	ws_member_free(m);
	ws_fx_free(&fx);
	return start * 1e6 / LOOPS;
}

static double handle(size_t members)
{
	struct ws_target_health health[2] = {
		{ .target = CAP_FIRST_TARGET_ID + 1, .state = WS_STATE_LIVE },
		{ .target = CAP_FIRST_TARGET_ID + 2, .state = WS_STATE_LIVE },
	};
	struct ws_msg msg = { .kind = WS_MSG_HEARTBEAT };
	struct ws_fx fx = { .items = NULL };
	struct ws_member *m = member_of(members, &fx);
	double start = ws_cap_cpu_seconds();
	size_t rounds = 0;
	size_t i;

	msg.u.heartbeat.n_health = 2;
	msg.u.heartbeat.health = health;
	for (rounds = 0; rounds < LOOPS / 10; rounds++)
		for (i = 0; i < members; i += 3)
			ws_member_on_heartbeat(m, &fx, 0, 0,
					       CAP_FIRST_INSTANCE_ID + i, &msg);
	start = ws_cap_cpu_seconds() - start;
	ws_member_free(m);
	ws_fx_free(&fx);
	return start * 1e6 / (LOOPS / 10.0) / ((double)members / 3);
}

/* ===== The platform's list ===== */

static void entry_text(const struct ws_list_entry *e, size_t zone,
		       struct ws_cap_text *t)
{
	ws_cap_printf(t, "{\"role\":\"%s\",\"name\":\"%s\",",
		      e->is_target ? "target" : "instance", e->name.text);
	if (e->is_target)
		ws_cap_printf(t, "\"service\":\"service-1\",");
	else
		ws_cap_printf(t, "\"id\":\"%016llx\",",
			      (unsigned long long)e->id);
	ws_cap_printf(t,
		      "\"zone\":\"zone-%zu\",\"address\":\"%s\","
		      "\"state\":\"live\"}",
		      zone, e->address.text);
}

static void list_text(size_t members, struct ws_cap_text *t)
{
	size_t i;

	ws_cap_printf(t, "{\"entries\":[");
	for (i = 0; i < members; i++) {
		struct ws_list_entry e = entry_of(i);

		if (i)
			ws_cap_printf(t, ",");
		entry_text(&e, i % CAP_ZONES, t);
	}
	ws_cap_printf(t, "]}");
}

static double list_bytes(size_t members)
{
	struct ws_cap_text t = { .data = NULL };
	double n;

	list_text(members, &t);
	n = (double)t.len;
	ws_cap_text_free(&t);
	return n;
}

static double list_parse(size_t members)
{
	struct ws_cap_text t = { .data = NULL };
	struct ws_list_entry *entries;
	struct ws_codec_error why;
	double start;
	size_t n;

	list_text(members, &t);
	start = ws_cap_cpu_seconds();
	WS_INVARIANT(!ws_codec_list_parse(t.data, &entries, &n, &why));
	start = ws_cap_cpu_seconds() - start;
	WS_INVARIANT(n == members);
	free(entries);
	ws_cap_text_free(&t);
	return start * 1e6;
}

void ws_cap_measure_member(struct ws_cap_results *r)
{
	static const size_t sizes[] = { 600, 1200, 2400, 4800 };

	ws_cap_measure_series(r, WS_CAP_MEMBER_MEM, sizes, 4, memory);
	ws_cap_measure_series(r, WS_CAP_MEMBER_TICK, sizes, 4, tick);
	ws_cap_measure_series(r, WS_CAP_MEMBER_HEARTBEAT, sizes, 4, handle);
	ws_cap_measure_series(r, WS_CAP_LIST_BYTES, sizes, 4, list_bytes);
	ws_cap_measure_series(r, WS_CAP_LIST_PARSE, sizes, 4, list_parse);
}
