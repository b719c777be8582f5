#include <stdio.h>
#include <stdlib.h>

#include "ed_suite.h"
#include "edge/ws_ed_link.h"

/*
 * Connections at machines with narrow and wide links, which are spread without
 * regard to links, replayed with connections that stay and with those that are
 * closed by the load.
 */

#define MACHINES 7
#define WIDE 2 /* the first ones */
#define NARROW_RATE 1.5e6 /* bytes/s */
#define WIDE_RATE 25e6
#define CONNECTIONS 420
#define REQUEST_PERIOD (100 * WS_MS) /* of each connection */
#define BODY 2400
#define HEAD 600 /* as the module assumes */
#define DURATION (10 * WS_SECOND)
#define SETTLED_AFTER (3 * WS_SECOND)
/* Heartbeats and small answers may wait for this long in the link. */
#define DELAY_MAX (50 * WS_MS)

struct machine {
	struct ws_ed_link link;
	double rate;
	ws_us free_at; /* when its link has carried all messages */
};

struct replay {
	struct machine machines[MACHINES];
	int at[CONNECTIONS]; /* machine of each connection */
	struct ws_rand rand;
	int messages;
	int late; /* waited longer than DELAY_MAX */
	ws_us longest;
};

static void open_connection(struct replay *r, int con)
{
	r->at[con] = (int)ws_rand_below(&r->rand, MACHINES);
}

static void request(struct replay *r, int con, ws_us now, bool sheds)
{
	struct machine *m = &r->machines[r->at[con]];
	ws_us start = m->free_at > now ? m->free_at : now;

	m->free_at = start + (ws_us)((BODY + HEAD) / m->rate * WS_SECOND);
	ws_ed_link_count(&m->link, m->free_at, WS_ED_LINK_IN, BODY);
	if (sheds && ws_ed_link_sheds(&m->link, m->free_at))
		open_connection(r, con);
	if (now < SETTLED_AFTER)
		return;
	r->messages++;
	r->late += start - now > DELAY_MAX;
	if (start - now > r->longest)
		r->longest = start - now;
}

/* @return the share of messages that waited for too long */
static double run(bool sheds)
{
	struct replay r = { .messages = 0 };
	ws_us now;
	int i;

	ws_rand_seed(&r.rand, 1);
	for (i = 0; i < MACHINES; i++) {
		r.machines[i].rate = i < WIDE ? WIDE_RATE : NARROW_RATE;
		r.machines[i].link.rate = r.machines[i].rate;
	}
	for (i = 0; i < CONNECTIONS; i++)
		r.at[i] = i % MACHINES;
	for (now = 0; now < DURATION; now += WS_MS)
		for (i = 0; i < CONNECTIONS; i++)
			if ((now / WS_MS + i) % (REQUEST_PERIOD / WS_MS) == 0)
				request(&r, i, now, sheds);
	printf("ed_link: connections %s: %.1f%% of messages waited over %d ms, "
	       "longest %.0f ms\n",
	       sheds ? "shed" : "kept", 100.0 * r.late / r.messages,
	       (int)(DELAY_MAX / WS_MS), (double)r.longest / WS_MS);
	return (double)r.late / r.messages;
}

START_TEST(connections_gather_at_wide_links)
{
	double kept = run(false);

	ck_assert_double_gt(kept, 0.5);
	ck_assert_double_eq(run(true), 0.0);
}
END_TEST

START_TEST(idle_and_unknown_links_shed_nothing)
{
	struct ws_ed_link idle = { .rate = NARROW_RATE };
	struct ws_ed_link unknown = { .rate = 0.0 };
	ws_us now = WS_SECOND;
	int i;

	for (i = 0; i < 1000; i++) {
		now += 10 * WS_MS;
		ws_ed_link_count(&idle, now, WS_ED_LINK_OUT, BODY);
		ws_ed_link_count(&unknown, now, WS_ED_LINK_OUT,
				 (size_t)BODY * 1000);
		ck_assert(!ws_ed_link_sheds(&idle, now));
		ck_assert(!ws_ed_link_sheds(&unknown, now));
		ck_assert(!ws_ed_link_is_full(&unknown, now));
	}
}
END_TEST

START_TEST(each_way_can_fill_the_link_and_empties)
{
	int way;

	for (way = 0; way < WS_ED_LINK_WAYS; way++) {
		struct ws_ed_link l = { .rate = NARROW_RATE };
		size_t second = (size_t)NARROW_RATE;

		ws_ed_link_count(&l, WS_SECOND, (enum ws_ed_link_way)way,
				 second);
		ck_assert(ws_ed_link_is_full(&l, WS_SECOND));
		ck_assert(ws_ed_link_sheds(&l, WS_SECOND));
		ck_assert(!ws_ed_link_is_full(&l, 3 * WS_SECOND));
		ck_assert(!ws_ed_link_sheds(&l, 3 * WS_SECOND));
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		connections_gather_at_wide_links,
		idle_and_unknown_links_shed_nothing,
		each_way_can_fill_the_link_and_empties,
	};

	return ed_suite_run("ed_link", tests, 3);
}
