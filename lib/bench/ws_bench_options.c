#include "bench/ws_bench.h"

#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

static struct {
	char **urls;
	char **customers;
	char **methods;
	char *path;
	char *distribution;
	char *arrivals;
	char *csv;
	char *json;
	char *svg;
	int keys;
	double zipf;
	double duration;
	double warmup;
	int deadline_ms;
	int timeout_ms;
	int body;
	int connections;
	int in_flight;
	gint64 max_requests;
	gint64 seed;
	gboolean quiet;
} o;

static const GOptionEntry entries[] = {
	{ "url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, &o.urls,
	  "Base URL of an instance, loopback only, with its share of the "
	  "requests (default 1); may be repeated",
	  "URL[=SHARE]" },
	{ "customer", 'c', 0, G_OPTION_ARG_STRING_ARRAY, &o.customers,
	  "Customer with its rate in requests/s and its caller key, or @FILE "
	  "that holds the key; may be repeated",
	  "NAME:RATE[:KEY]" },
	{ "method", 'm', 0, G_OPTION_ARG_STRING_ARRAY, &o.methods,
	  "Method with its share (default GET); POST and PUT carry a body and "
	  "an Idempotency-Key; may be repeated",
	  "METHOD[=SHARE]" },
	{ "path", 'p', 0, G_OPTION_ARG_STRING, &o.path,
	  "Path; {key} stands for the key (default /s/stock/{key})", "PATH" },
	{ "keys", 'k', 0, G_OPTION_ARG_INT, &o.keys,
	  "Number of different keys (default 1000)", "N" },
	{ "distribution", 0, 0, G_OPTION_ARG_STRING, &o.distribution,
	  "Distribution of the keys: uniform (default) or zipf", "NAME" },
	{ "zipf-exponent", 0, 0, G_OPTION_ARG_DOUBLE, &o.zipf,
	  "Exponent of zipf (default 1.0)", "X" },
	{ "arrivals", 0, 0, G_OPTION_ARG_STRING, &o.arrivals,
	  "Spacing of arrivals: poisson (default) or even", "NAME" },
	{ "duration", 'd', 0, G_OPTION_ARG_DOUBLE, &o.duration,
	  "Seconds of arrivals, warm-up included (default 10)", "S" },
	{ "warmup", 0, 0, G_OPTION_ARG_DOUBLE, &o.warmup,
	  "Seconds at the start that are not counted (default 0)", "S" },
	{ "deadline-ms", 0, 0, G_OPTION_ARG_INT, &o.deadline_ms,
	  "Value of X-Wagtailshift-Deadline-Ms; 0 sends none (default)", "MS" },
	{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &o.timeout_ms,
	  "Requests without an answer for this long count as failed "
	  "(default 10000)",
	  "MS" },
	{ "body-size", 0, 0, G_OPTION_ARG_INT, &o.body,
	  "Bytes in the body of POST and PUT (default 64)", "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &o.connections,
	  "Most connections to one URL; 0 for no bound (default)", "N" },
	{ "max-in-flight", 0, 0, G_OPTION_ARG_INT, &o.in_flight,
	  "Requests out at once; more wait, their latency counts from their "
	  "scheduled time (default 1000)",
	  "N" },
	{ "max-requests", 0, 0, G_OPTION_ARG_INT64, &o.max_requests,
	  "Most requests of the run (default 10000000)", "N" },
	{ "seed", 0, 0, G_OPTION_ARG_INT64, &o.seed,
	  "Seed of arrivals, keys and choices (default 1)", "N" },
	{ "csv", 0, 0, G_OPTION_ARG_FILENAME, &o.csv,
	  "Write one line a customer and one for all", "FILE" },
	{ "json", 0, 0, G_OPTION_ARG_FILENAME, &o.json, "Write the report",
	  "FILE" },
	{ "svg", 0, 0, G_OPTION_ARG_FILENAME, &o.svg,
	  "Write a plot of latency over time and of quantiles", "FILE" },
	{ "quiet", 'q', 0, G_OPTION_ARG_NONE, &o.quiet, "Print no text report",
	  NULL },
	G_OPTION_ENTRY_NULL,
};

static const char description[] =
	"Requests are sent at their scheduled times whether or not earlier "
	"ones were\nanswered, and latency counts from the scheduled time. "
	"Only loopback URLs are\naccepted. docs/BENCH.md describes the "
	"reports.\n\nExample:\n  wagtailshift-bench run "
	"-u http://127.0.0.1:8080=80 -u http://127.0.0.1:8081=20 \\\n"
	"    -c big:500:@big.key -c small:20:@small.key -m GET=9 -m POST=1 "
	"-d 20 --svg run.svg\n";

/* ===== Loopback ===== */

static bool host_is_loopback(const char *host)
{
	unsigned part[4];
	char rest;

	if (strcmp(host, "[::1]") == 0)
		return true;
	if (sscanf(host, "%3u.%3u.%3u.%3u%c", &part[0], &part[1], &part[2],
		   &part[3], &rest) != 4)
		return false;
	return part[0] == 127 && part[1] < 256 && part[2] < 256 &&
	       part[3] < 256;
}

bool ws_bench_url_is_loopback(const char *url)
{
	CURLU *u = curl_url();
	char *scheme = NULL;
	char *host = NULL;
	bool ok;

	ok = curl_url_set(u, CURLUPART_URL, url, 0) == CURLUE_OK &&
	     curl_url_get(u, CURLUPART_SCHEME, &scheme, 0) == CURLUE_OK &&
	     curl_url_get(u, CURLUPART_HOST, &host, 0) == CURLUE_OK &&
	     strcmp(scheme, "http") == 0 && host_is_loopback(host);
	curl_free(scheme);
	curl_free(host);
	curl_url_cleanup(u);
	return ok;
}

/* ===== Parsing ===== */

static bool fail(const char *what, const char *value, const char *remedy)
{
	fprintf(stderr, "wagtailshift-bench: %s '%s': %s\n", what, value,
		remedy);
	return false;
}

/* Splits "TEXT=SHARE" at the last "=" that a number follows. */
static bool parse_share(const char *text, struct ws_bench_share *s)
{
	const char *eq = strrchr(text, '=');
	char *end;

	s->share = 1;
	s->text = g_strdup(text);
	if (!eq)
		return true;
	s->share = g_ascii_strtod(eq + 1, &end);
	if (end == eq + 1 || *end || s->share <= 0)
		return fail("share", text, "give a positive number after '='");
	s->text[eq - text] = 0;
	return true;
}

static bool parse_shares(char **texts, struct ws_bench_shares *out)
{
	size_t n = g_strv_length(texts);
	size_t i;

	out->items = ws_alloc(n, sizeof(*out->items));
	out->n = n;
	for (i = 0; i < n; i++) {
		if (!parse_share(texts[i], &out->items[i]))
			return false;
		out->total += out->items[i].share;
	}
	return true;
}

static bool parse_urls(struct ws_bench_conf *conf)
{
	size_t i;
	size_t len;
	char *url;

	if (!o.urls)
		return fail("--url", "", "name at least one instance");
	if (!parse_shares(o.urls, &conf->urls))
		return false;
	for (i = 0; i < conf->urls.n; i++) {
		url = conf->urls.items[i].text;
		if (!ws_bench_url_is_loopback(url))
			return fail("--url", url,
				    "only http URLs with a loopback address "
				    "(127.x.x.x or [::1]) are accepted");
		len = strlen(url);
		if (url[len - 1] == '/')
			url[len - 1] = 0;
	}
	return true;
}

static bool parse_methods(struct ws_bench_conf *conf)
{
	static char *only_get[] = { (char *)"GET", NULL };
	static const char *const known[] = { "GET", "HEAD",   "POST",
					     "PUT", "DELETE", NULL };
	size_t i;

	if (!parse_shares(o.methods ? o.methods : only_get, &conf->methods))
		return false;
	for (i = 0; i < conf->methods.n; i++)
		if (!g_strv_contains(known, conf->methods.items[i].text))
			return fail("--method", conf->methods.items[i].text,
				    "use GET, HEAD, POST, PUT or DELETE");
	return true;
}

static bool read_key(struct ws_bench_customer *c, const char *text)
{
	GError *err = NULL;

	if (text[0] != '@') {
		c->key = g_strdup(text);
		return true;
	}
	if (!g_file_get_contents(text + 1, &c->key, NULL, &err)) {
		fail("key file", text + 1, err->message);
		g_error_free(err);
		return false;
	}
	g_strstrip(c->key);
	return true;
}

static bool parse_customer(const char *text, struct ws_bench_customer *c)
{
	char **parts = g_strsplit(text, ":", 3);
	size_t n = g_strv_length(parts);
	char *end = NULL;
	bool ok = n >= 2;

	if (ok) {
		c->name = g_strdup(parts[0]);
		c->rate = g_ascii_strtod(parts[1], &end);
		ok = end != parts[1] && !*end && c->rate > 0;
	}
	if (!ok)
		fail("--customer", text, "use NAME:RATE[:KEY] with RATE > 0");
	else if (n == 3)
		ok = read_key(c, parts[2]);
	g_strfreev(parts);
	return ok;
}

static bool parse_customers(struct ws_bench_conf *conf)
{
	double rate = 0;
	size_t i;

	if (!o.customers)
		return fail("--customer", "", "name at least one customer");
	conf->n_customers = g_strv_length(o.customers);
	conf->customers = ws_alloc(conf->n_customers, sizeof(*conf->customers));
	for (i = 0; i < conf->n_customers; i++) {
		if (!parse_customer(o.customers[i], &conf->customers[i]))
			return false;
		rate += conf->customers[i].rate;
	}
	if (rate > WS_BENCH_RATE_MAX)
		return fail("--customer", "", "the rates add up to too much");
	return true;
}

static bool in_range(const char *name, double value, double min, double max)
{
	if (value >= min && value <= max)
		return true;
	fprintf(stderr,
		"wagtailshift-bench: %s is %g: use a value from %g to %g\n",
		name, value, min, max);
	return false;
}

static bool check_ranges(void)
{
	return in_range("--keys", o.keys, 1, WS_BENCH_KEYS_MAX) &&
	       in_range("--zipf-exponent", o.zipf, 0, 10) &&
	       in_range("--duration", o.duration, 0.01,
			WS_BENCH_DURATION_SECONDS_MAX) &&
	       in_range("--warmup", o.warmup, 0, o.duration) &&
	       in_range("--deadline-ms", o.deadline_ms, 0, 3600000) &&
	       in_range("--timeout-ms", o.timeout_ms, 1, 3600000) &&
	       in_range("--body-size", o.body, 0, 16 << 20) &&
	       in_range("--connections", o.connections, 0, 100000) &&
	       in_range("--max-in-flight", o.in_flight, 1,
			WS_BENCH_IN_FLIGHT_MAX) &&
	       in_range("--max-requests", (double)o.max_requests, 1,
			(double)WS_BENCH_REQUESTS_MAX);
}

static bool parse_choices(struct ws_bench_conf *conf)
{
	bool zipf = g_strcmp0(o.distribution, "zipf") == 0;

	if (o.distribution && !zipf && strcmp(o.distribution, "uniform") != 0)
		return fail("--distribution", o.distribution,
			    "use uniform or zipf");
	conf->zipf_exponent = zipf ? o.zipf_exponent : 0;
	conf->even_arrivals = g_strcmp0(o.arrivals, "even") == 0;
	if (o.arrivals && !conf->even_arrivals &&
	    strcmp(o.arrivals, "poisson") != 0)
		return fail("--arrivals", o.arrivals, "use poisson or even");
	return true;
}

static void copy_numbers(struct ws_bench_conf *conf)
{
	conf->path = g_strdup(o.path ? o.path : "/s/stock/{key}");
	conf->n_keys = (unsigned)o.n_keys;
	conf->duration_seconds = o.duration;
	conf->warmup_seconds = o.warmup_seconds;
	conf->deadline_ms = o.deadline_ms;
	conf->timeout_ms = o.timeout_ms;
	conf->body_size = o.body;
	conf->max_connections = o.max_connections;
	conf->max_in_flight = o.max_in_flight;
	conf->max_requests = (uint64_t)o.max_requests;
	conf->seed = (uint64_t)o.seed;
	conf->csv_file = g_strdup(o.csv);
	conf->json_file = g_strdup(o.json);
	conf->svg_file = g_strdup(o.svg);
	conf->quiet = o.quiet;
}

static void set_defaults(void)
{
	memset(&o, 0, sizeof(o));
	o.keys = 1000;
	o.zipf = 1.0;
	o.duration = 10;
	o.timeout_ms = 10000;
	o.body = 64;
	o.in_flight = 1000;
	o.max_requests = 10000000;
	o.seed = 1;
}

static void free_options(void)
{
	g_strfreev(o.urls);
	g_strfreev(o.customers);
	g_strfreev(o.methods);
	g_free(o.path);
	g_free(o.distribution);
	g_free(o.arrivals);
	g_free(o.csv);
	g_free(o.json);
	g_free(o.svg);
}

static bool convert(struct ws_bench_conf *conf)
{
	if (!check_ranges() || !parse_choices(conf))
		return false;
	copy_numbers(conf);
	return parse_urls(conf) && parse_methods(conf) && parse_customers(conf);
}

bool ws_bench_parse_options(int argc, char **argv, struct ws_bench_conf *conf)
{
	GOptionContext *ctx = g_option_context_new("- send load over HTTP");
	GError *err = NULL;
	bool ok;

	set_defaults();
	g_set_prgname("wagtailshift-bench run");
	g_option_context_add_main_entries(ctx, entries, NULL);
	g_option_context_set_description(ctx, description);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	if (!ok) {
		fail("option", "", err->message);
		g_error_free(err);
	} else if (argc > 1) {
		ok = fail("argument", argv[1], "run takes options only");
	} else {
		ok = convert(conf);
	}
	g_option_context_free(ctx);
	free_options();
	return ok;
}

static void clear_shares(struct ws_bench_shares *s)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		g_free(s->items[i].text);
	free(s->items);
}

void ws_bench_conf_clear(struct ws_bench_conf *conf)
{
	size_t i;

	for (i = 0; i < conf->n_customers; i++) {
		g_free(conf->customers[i].name);
		g_free(conf->customers[i].key);
	}
	free(conf->customers);
	clear_shares(&conf->urls);
	clear_shares(&conf->methods);
	g_free(conf->path);
	g_free(conf->csv_file);
	g_free(conf->json_file);
	g_free(conf->svg_file);
}
