#include "config/ws_settings.h"

#include <ctype.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "core/ws_types.h"

#define AT(field) .offset = offsetof(struct ws_config, field)
#define KIB INT64_C(1024)
#define MIB (KIB * KIB)

/* ===== Table ===== */

static const struct ws_setting settings_table[] = {
	{ "instance", "name", WS_SET_NAME, AT(name),
	  .help = "name of the instance, unique in the system" },
	{ "instance", "zone", WS_SET_NAME, AT(zone),
	  .help = "availability zone that the instance runs in" },
	{ "instance", "seed_operator_key", WS_SET_PUBLIC_KEY,
	  AT(seed_operator_key),
	  .help = "operator key that signs the first bundle" },
	{ "listen", "callers", WS_SET_ADDRESS, AT(callers),
	  .help = "listener for public services" },
	{ "listen", "internal", WS_SET_ADDRESS, .default_value = "",
	  AT(internal),
	  .help = "listener for internal services; none if empty" },
	{ "listen", "peers", WS_SET_ADDRESS, AT(peers),
	  .help = "listener for other instances; also the address that they "
		  "are told" },
	{ "listen", "admin", WS_SET_ADDRESS, AT(admin),
	  .help = "listener for administration, health and metrics" },
	{ "platform", "log", WS_SET_URL, AT(log), .help = "log service" },
	{ "platform", "list", WS_SET_URL, AT(list),
	  .help = "list of instances and targets" },
	{ "cluster", "secret_file", WS_SET_FILE, AT(secret_file),
	  .help = "file with the cluster secret; a second line holds the "
		  "other secret during a rotation" },
	{ "admin", "token_file", WS_SET_FILE, AT(token_file),
	  .help = "file with the bearer token for administration" },
	{ "limits", "max_calls", WS_SET_COUNT, .default_value = "20000",
	  .min = 1, .max = 1000000, AT(max_calls),
	  .help = "requests held at once" },
	{ "limits", "max_request_ids", WS_SET_COUNT, .default_value = "200000",
	  .min = 1, .max = 10000000, AT(max_request_ids),
	  .help = "request ids remembered" },
	{ "limits", "max_queued", WS_SET_COUNT, .default_value = "200",
	  .min = 1, .max = 100000, AT(max_queued),
	  .help = "requests queued for one target" },
	{ "limits", "max_connections", WS_SET_COUNT, .default_value = "4000",
	  .min = 1, .max = 60000, AT(max_connections),
	  .help = "open connections of callers" },
	{ "limits", "max_memory", WS_SET_SIZE, .default_value = "256 MiB",
	  .min = MIB, .max = 16384 * MIB, AT(max_memory),
	  .help = "memory for the bytes of requests and answers" },
	{ "limits", "shutdown_time", WS_SET_TIME, .default_value = "60 s",
	  .min = 100, .max = 3600000, AT(shutdown_time),
	  .help = "longest graceful shutdown; then the process ends" },
	{ "routing", "pick", WS_SET_CHOICE, .default_value = "two-choices",
	  .choices = "two-choices|round-robin|least-in-flight", AT(pick),
	  .help = "how a target of an open service is picked" },
	{ "routing", "hedge", WS_SET_CHOICE, .default_value = "on",
	  .choices = "on|off", AT(hedge),
	  .help = "second attempt for slow idempotent requests" },
	{ "log", "level", WS_SET_CHOICE, .default_value = "notice",
	  .choices = "error|warning|notice|debug", AT(level),
	  .help = "least severe log lines that are written" },
};

#define N_SETTINGS (sizeof(settings_table) / sizeof(settings_table[0]))

size_t ws_config_settings(const struct ws_setting **rows)
{
	*rows = settings_table;
	return N_SETTINGS;
}

const struct ws_setting *ws_settings_find(const char *section, const char *key)
{
	size_t i;

	for (i = 0; i < N_SETTINGS; i++)
		if (!strcmp(settings_table[i].section, section) &&
		    !strcmp(settings_table[i].key, key))
			return &settings_table[i];
	return NULL;
}

bool ws_settings_has_section(const char *section)
{
	size_t i;

	for (i = 0; i < N_SETTINGS; i++)
		if (!strcmp(settings_table[i].section, section))
			return true;
	return false;
}

/* ===== Values ===== */

static bool is_name(const char *text)
{
	size_t n = strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-");

	return n > 0 && n <= WS_NAME_MAX && !text[n] && text[0] != '-';
}

static bool is_address(const char *text)
{
	struct sockaddr_storage addr;
	socklen_t len;

	return !ws_config_address(text, &addr, &len);
}

static bool is_url(const char *text)
{
	static const char scheme[] = "http://";

	if (strncmp(text, scheme, sizeof(scheme) - 1) != 0)
		return false;
	return is_address(text + sizeof(scheme) - 1);
}

/* An unspecified address could not be told to other instances. */
static bool is_unspecified(const char *text)
{
	return !strncmp(text, "0.0.0.0:", 8) || !strncmp(text, "[::]:", 5);
}

static int store_key(const char *value, struct ws_config *out)
{
	if (strlen(value) != 64)
		return WS_ERR_CONFIG;
	if (sodium_hex2bin(out->seed_key, 32, value, 64, NULL, NULL, NULL))
		return WS_ERR_CONFIG;
	return 0;
}

static bool is_choice(const char *choices, const char *value)
{
	size_t len = strlen(value);
	const char *p = choices;

	while (*p) {
		size_t n = strcspn(p, "|");

		if (n == len && !memcmp(p, value, n))
			return true;
		p += n + (p[n] == '|');
	}
	return false;
}

/* Factor of a unit in bytes or milliseconds; 0 when it is not allowed. */
static int64_t unit_factor(enum ws_setting_type type, const char *unit)
{
	if (type == WS_SET_COUNT)
		return *unit ? 0 : 1;
	if (type == WS_SET_SIZE)
		return !strcmp(unit, "KiB") ? KIB :
		       !strcmp(unit, "MiB") ? MIB :
					      0;
	return !strcmp(unit, "ms") ? 1 : !strcmp(unit, "s") ? 1000 : 0;
}

static int store_number(const struct ws_setting *s, const char *value,
			struct ws_config *out)
{
	size_t digits = strspn(value, "0123456789");
	int64_t factor;
	int64_t v;

	if (digits < 1 || digits > 12)
		return WS_ERR_CONFIG;
	factor = unit_factor(s->type,
			     value + digits + strspn(value + digits, " "));
	v = strtoll(value, NULL, 10) * factor;
	if (!factor || v < s->min || v > s->max)
		return WS_ERR_CONFIG;
	memcpy((char *)out + s->offset, &v, sizeof(v));
	return 0;
}

static bool is_text_valid(const struct ws_setting *s, const char *value)
{
	switch (s->type) {
	case WS_SET_NAME:
		return is_name(value);
	case WS_SET_ADDRESS:
		if (!*value)
			return s->default_value && !*s->default_value;
		if (!strcmp(s->key, "peers") && is_unspecified(value))
			return false;
		return is_address(value);
	case WS_SET_URL:
		return is_url(value);
	case WS_SET_FILE:
		return value[0] == '/';
	case WS_SET_CHOICE:
		return is_choice(s->choices, value);
	default:
		return true;
	}
}

int ws_settings_store(const struct ws_setting *s, const char *value,
		      struct ws_config *out)
{
	if (s->type == WS_SET_COUNT || s->type == WS_SET_SIZE ||
	    s->type == WS_SET_TIME)
		return store_number(s, value, out);
	if (s->type == WS_SET_PUBLIC_KEY && store_key(value, out))
		return WS_ERR_CONFIG;
	if (strlen(value) >= WS_CONFIG_TEXT_MAX || !is_text_valid(s, value))
		return WS_ERR_CONFIG;
	memcpy((char *)out + s->offset, value, strlen(value) + 1);
	return 0;
}

/* ===== Descriptions ===== */

static void describe_range(const struct ws_setting *s, char *buf, size_t size)
{
	long long min = s->min;
	long long max = s->max;

	if (s->type == WS_SET_COUNT)
		snprintf(buf, size, "%lld to %lld", min, max);
	else if (s->type == WS_SET_SIZE)
		snprintf(buf, size, "%lld MiB to %lld MiB", min / MIB,
			 max / MIB);
	else if (s->type == WS_SET_TIME)
		snprintf(buf, size, "%lld ms to %lld s", min, max / 1000);
	else if (s->type == WS_SET_CHOICE)
		snprintf(buf, size, "%s", s->choices);
	else
		snprintf(buf, size, "-");
}

static const char *describe_type(const struct ws_setting *s)
{
	switch (s->type) {
	case WS_SET_NAME:
		return "a name of 1 to 63 characters a-z, 0-9 and '-'";
	case WS_SET_ADDRESS:
		return "ip:port, such as 10.0.0.1:8080";
	case WS_SET_URL:
		return "http://ip:port, such as http://10.0.0.1:9000";
	case WS_SET_FILE:
		return "an absolute path of a file";
	case WS_SET_PUBLIC_KEY:
		return "a public key of 64 hexadecimal digits";
	case WS_SET_COUNT:
		return "a whole number without unit";
	case WS_SET_SIZE:
		return "a whole number and KiB or MiB";
	case WS_SET_TIME:
		return "a whole number and ms or s";
	case WS_SET_CHOICE:
		return "one of these words";
	}
	return "";
}

void ws_settings_describe(const struct ws_setting *s, char *buf, size_t size)
{
	char range[128];

	describe_range(s, range, sizeof(range));
	if (!strcmp(range, "-"))
		snprintf(buf, size, "%s", describe_type(s));
	else
		snprintf(buf, size, "%s: %s", describe_type(s), range);
}

void ws_config_doc_row(const struct ws_setting *s, char *buf, size_t size)
{
	char range[128];
	char *p;

	describe_range(s, range, sizeof(range));
	for (p = range; *p; p++)
		if (*p == '|')
			*p = '/';
	snprintf(buf, size, "| `[%s]` | `%s` | %s | %s | %s | %s |", s->section,
		 s->key, describe_type(s), range,
		 !s->default_value  ? "required" :
		 !*s->default_value ? "empty" :
				      s->default_value,
		 s->help);
}
