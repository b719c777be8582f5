#include "standin/ws_starget.h"

#include <stdio.h>
#include <string.h>

#define FAULT_TEXT_MAX ((size_t)64 * 1024)

/* ===== Values ===== */

static int read_factor(const struct ws_json *j, const char *field, double *out)
{
	json_t *v = json_object_get(j->node, field);

	if (!v)
		return 0;
	if (!json_is_number(v) || json_number_value(v) < 0.01 ||
	    json_number_value(v) > 10000)
		return ws_json_error(j, field,
				     "expected a factor from 0.01 to 10000; "
				     "correct the value");
	*out = json_number_value(v);
	return 0;
}

static int read_flag(const struct ws_json *j, const char *field, bool *out)
{
	return ws_json_has(j, field) ? ws_json_bool(j, field, out) : 0;
}

/* ===== Groups of faults ===== */

static int read_presence(const struct ws_json *j, struct ws_starget *t,
			 ws_us now)
{
	ws_us frozen = t->frozen_until;
	bool leaving = t->leaving_since != 0;
	bool silence = false;
	bool out = t->out_of_service;

	if (ws_standin_read_end_time(j, "frozen_ms", now, &frozen) ||
	    ws_standin_read_end_time(j, "down_ms", now, &t->down_until) ||
	    read_flag(j, "leaving", &leaving) ||
	    read_flag(j, "ready", &t->ready) ||
	    read_flag(j, "out_of_service", &out) ||
	    read_flag(j, "silence_connections", &silence))
		return WS_ERR_SYNTAX;
	if (frozen != t->frozen_until)
		t->frozen_since = now;
	t->frozen_until = frozen;
	if (out != t->out_of_service)
		ws_starget_journal_event(t, now, out ? "zone_out" : "zone_in");
	t->out_of_service = out;
	if (silence)
		t->silent_before = now;
	if (!leaving)
		t->leaving_since = 0;
	else if (!t->leaving_since)
		t->leaving_since = now;
	return 0;
}

static int read_load(const struct ws_json *j, struct ws_starget *t)
{
	json_t *load = json_object_get(j->node, "false_load");
	uint32_t lag = (uint32_t)(t->load_lag / WS_MS);

	if (ws_standin_read_count(j, "load_lag_ms", &lag) ||
	    read_factor(j, "slow", &t->slow_factor) ||
	    read_factor(j, "cold_slow", &t->cold_slow_factor) ||
	    ws_standin_read_count(j, "shed", &t->shed))
		return WS_ERR_SYNTAX;
	if (load && (!json_is_integer(load) || json_integer_value(load) < -1))
		return ws_json_error(j, "false_load",
				     "expected 1/1000 of the slots, or -1 to "
				     "tell the truth; correct the value");
	if (load)
		t->false_load = json_integer_value(load);
	t->load_lag = lag * WS_MS;
	return 0;
}

static int read_cold(const struct ws_json *j, struct ws_starget *t, ws_us now)
{
	bool cold = t->cold;
	uint32_t limit = t->conf.cold_limit;
	uint32_t warning = 0;

	if (read_flag(j, "cold", &cold) ||
	    ws_standin_read_count(j, "cold_limit", &limit) ||
	    ws_standin_read_count(j, "warm_step", &t->conf.warm_step) ||
	    ws_standin_read_count(j, "warning_ms", &warning))
		return WS_ERR_SYNTAX;
	if (!limit)
		return ws_json_error(j, "cold_limit",
				     "expected at least 1; correct the value");
	t->conf.cold_limit = limit;
	if (cold && ws_json_has(j, "cold")) {
		t->successes = 0;
		t->warning_until = now + warning * WS_MS;
		ws_starget_journal_event(t, now, "cold");
	}
	t->cold = cold;
	return 0;
}

static int read_answers(const struct ws_json *j, struct ws_starget *t)
{
	if (ws_standin_read_count(j, "lose_replies", &t->lose_replies) ||
	    ws_standin_read_count(j, "silent", &t->silent) ||
	    ws_standin_read_count(j, "truncate", &t->truncate) ||
	    ws_standin_read_count(j, "wrong_id", &t->wrong_id) ||
	    read_flag(j, "checks", &t->checks_leases))
		return WS_ERR_SYNTAX;
	return 0;
}

/* ===== Crashes ===== */

static int read_crash(const struct ws_json *j, struct ws_starget *t, ws_us now)
{
	static const char *const modes[] = { "restart", "exit", NULL };
	uint32_t down = (uint32_t)(t->crash_down / WS_MS);
	const char *word = t->crash_word;
	size_t mode = t->crash_exits;

	if (ws_standin_read_count(j, "crash_down_ms", &down))
		return WS_ERR_SYNTAX;
	if (ws_json_has(j, "crash_mode") &&
	    ws_json_choice(j, "crash_mode", modes, &mode))
		return WS_ERR_SYNTAX;
	if (ws_json_has(j, "crash_word") &&
	    ws_json_string(j, "crash_word", sizeof(t->crash_word) - 1, &word))
		return WS_ERR_SYNTAX;
	t->crash_down = down * WS_MS;
	t->crash_exits = mode == 1;
	if (word != t->crash_word)
		snprintf(t->crash_word, sizeof(t->crash_word), "%s", word);
	if (!ws_json_has(j, "crash"))
		return 0;
	if (ws_json_choice(j, "crash", modes, &mode))
		return WS_ERR_SYNTAX;
	t->exit_requested = mode == 1;
	ws_starget_crash(t, now, t->crash_down);
	return 0;
}

/* ===== All ===== */

static int read_faults(const struct ws_json *j, struct ws_starget *t, ws_us now)
{
	static const char *const fields[] = {
		"frozen_ms",  "down_ms",
		"leaving",    "out_of_service",
		"ready",      "silence_connections",
		"false_load", "load_lag_ms",
		"slow",	      "cold_slow",
		"shed",	      "cold",
		"cold_limit", "warm_step",
		"warning_ms", "lose_replies",
		"silent",     "truncate",
		"wrong_id",   "checks",
		"crash",      "crash_mode",
		"crash_word", "crash_down_ms",
		NULL
	};

	if (ws_json_check_fields(j, fields) || read_presence(j, t, now) ||
	    read_load(j, t) || read_cold(j, t, now) || read_answers(j, t) ||
	    read_crash(j, t, now))
		return WS_ERR_SYNTAX;
	return 0;
}

int ws_starget_set_faults(struct ws_starget *t, ws_us now, const char *text,
			  struct ws_codec_error *why)
{
	struct ws_json root;
	int res = ws_json_open(text, FAULT_TEXT_MAX, "fault", &root, why);

	if (ws_is_error(res))
		return res;
	res = read_faults(&root, t, now);
	ws_json_close(&root);
	return res;
}
