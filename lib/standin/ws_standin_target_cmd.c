#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "standin/ws_standin.h"
#include "standin/ws_sopts.h"
#include "standin/ws_standin_target.h"

#define ANSWER_BYTES_MAX (1024 * 1024)
/* Clocks of targets differ by up to this, as those of machines do. */
#define CLOCK_OFFSET_MAX 3600

struct options {
	struct ws_sopts shared;
	char *name;
	char *service;
	char *zone;
	char *journal;
	int slots;
	int service_us;
	int cold_limit;
	int warm_step;
	int collapse_ms;
	int answer_bytes;
	gboolean sharded;
	gboolean idempotent;
	gboolean cold_start;
};

/* ===== Journal ===== */

/* Each line goes to the file at once, so that a crash loses none. */
static void write_line(void *arg, json_t *line)
{
	struct ws_standin_target *st = arg;
	char *text = json_dumps(line, JSON_COMPACT);

	json_decref(line);
	if (st->journal && text) {
		fprintf(st->journal, "%s\n", text);
		fflush(st->journal);
	}
	free(text);
}

/* ===== Options ===== */

static bool parse(struct options *o, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "name", 'n', 0, G_OPTION_ARG_STRING, &o->name,
		  "Name of the target", "NAME" },
		{ "service", 's', 0, G_OPTION_ARG_STRING, &o->service,
		  "Service that it belongs to", "NAME" },
		{ "zone", 'z', 0, G_OPTION_ARG_STRING, &o->zone,
		  "Availability zone", "NAME" },
		{ "journal", 'j', 0, G_OPTION_ARG_FILENAME, &o->journal,
		  "File to which the journal is appended", "FILE" },
		{ "sharded", 0, 0, G_OPTION_ARG_NONE, &o->sharded,
		  "Require leases and fences", NULL },
		{ "idempotent", 0, 0, G_OPTION_ARG_NONE, &o->idempotent,
		  "POST requests of the service are idempotent", NULL },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &o->slots,
		  "Concurrency borne when warm (4)", "N" },
		{ "service-us", 0, 0, G_OPTION_ARG_INT, &o->service_us,
		  "Time that a request takes, in us (1000)", "N" },
		{ "cold-start", 0, 0, G_OPTION_ARG_NONE, &o->cold_start,
		  "Begin cold after each start", NULL },
		{ "cold-limit", 0, 0, G_OPTION_ARG_INT, &o->cold_limit,
		  "Concurrency borne at first when cold (1)", "N" },
		{ "warm-step", 0, 0, G_OPTION_ARG_INT, &o->warm_step,
		  "Successes for one more when cold (2)", "N" },
		{ "collapse-ms", 0, 0, G_OPTION_ARG_INT, &o->collapse_ms,
		  "Time for which a collapsed target fails (1000)", "N" },
		{ "answer-bytes", 0, 0, G_OPTION_ARG_INT, &o->answer_bytes,
		  "Padding in each answer (0)", "N" },
		G_OPTION_ENTRY_NULL
	};

	return ws_sopts_parse(&o->shared, &argc, &argv, "target",
			      "Serves requests as a target of a service.",
			      entries);
}

static bool within(const char *name, int value, int min, int max)
{
	if (value >= min && value <= max)
		return true;
	fprintf(stderr, "target: --%s: expected a number from %d to %d\n", name,
		min, max);
	return false;
}

static bool check(const struct options *o)
{
	if (!o->name || !o->service || !o->zone) {
		fprintf(stderr, "target: --name, --service and --zone are "
				"needed; see --help\n");
		return false;
	}
	return within("slots", o->slots, 1, 10000) &&
	       within("service-us", o->service_us, 0, 60000000) &&
	       within("cold-limit", o->cold_limit, 1, 10000) &&
	       within("warm-step", o->warm_step, 0, 1000000) &&
	       within("collapse-ms", o->collapse_ms, 0, 60000) &&
	       within("answer-bytes", o->answer_bytes, 0, ANSWER_BYTES_MAX);
}

static void configure(const struct options *o, struct ws_starget_conf *conf)
{
	memset(conf, 0, sizeof(*conf));
	g_strlcpy(conf->name.text, o->name, sizeof(conf->name.text));
	g_strlcpy(conf->service.text, o->service, sizeof(conf->service.text));
	g_strlcpy(conf->zone.text, o->zone, sizeof(conf->zone.text));
	conf->sharded = o->sharded;
	conf->idempotent = o->idempotent;
	conf->cold_start = o->cold_start;
	conf->slots = (uint32_t)o->slots;
	conf->cold_limit = (uint32_t)o->cold_limit;
	conf->warm_step = (uint32_t)o->warm_step;
	conf->service_time = o->service_us;
	conf->collapse_time = o->collapse_ms * WS_MS;
	conf->clock_offset =
		(ws_us)randombytes_uniform(CLOCK_OFFSET_MAX) * WS_SECOND;
}

/* ===== Command ===== */

static int set_fault(void *server, ws_us now, const char *text,
		     struct ws_codec_error *why)
{
	return ws_starget_set_faults(server, now, text, why);
}

static bool open_journal(struct ws_standin_target *st, const char *path)
{
	if (!path)
		return true;
	st->journal = fopen(path, "ae");
	if (!st->journal)
		fprintf(stderr,
			"target: cannot write %s; choose a file in a "
			"folder that exists\n",
			path);
	return st->journal != NULL;
}

static int serve(const struct options *o)
{
	struct ws_standin_target st = { NULL, NULL, NULL };
	struct ws_starget_conf conf;
	uint64_t seed;
	int code = WS_STANDIN_USAGE;

	if (!open_journal(&st, o->journal))
		return WS_STANDIN_USAGE;
	randombytes_buf(&seed, sizeof(seed));
	configure(o, &conf);
	if (o->answer_bytes)
		st.padding = g_strnfill((gsize)o->answer_bytes, 'x');
	st.t = ws_starget_new(&conf, seed, ws_shttp_now(), write_line, &st);
	if (ws_sopts_apply_faults(&o->shared, "target", ws_shttp_now(),
				  set_fault, st.t))
		code = ws_shttp_serve(o->shared.listen, ws_standin_target_call,
				      &st);
	ws_starget_free(st.t);
	g_free(st.padding);
	if (st.journal)
		fclose(st.journal);
	return code;
}

int ws_standin_target(int argc, char **argv)
{
	struct options o = { .slots = 4,
			     .service_us = 1000,
			     .cold_limit = 1,
			     .warm_step = 2,
			     .collapse_ms = 1000 };
	int code = WS_STANDIN_USAGE;

	if (parse(&o, argc, argv) && check(&o))
		code = serve(&o);
	g_free(o.name);
	g_free(o.service);
	g_free(o.zone);
	g_free(o.journal);
	g_strfreev(o.shared.faults);
	g_free(o.shared.listen);
	return code;
}
