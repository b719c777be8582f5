#include "codec/ws_json.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LIST_TEXT_MAX ((size_t)4 * 1024 * 1024)
#define LIST_ENTRIES_MAX 16384

/* ===== Addresses ===== */

static bool is_port(const char *text)
{
	char *end;
	long port;

	if (text[0] < '1' || text[0] > '9')
		return false;
	port = strtol(text, &end, 10);
	return *end == '\0' && port <= 65535;
}

/* Accepts 192.0.2.1:80 and [2001:db8::1]:80. */
static bool is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char host[WS_NAME_MAX + 1];
	uint8_t bin[16];
	size_t len;

	if (!colon || !is_port(colon + 1))
		return false;
	len = (size_t)(colon - text);
	if (len > WS_NAME_MAX)
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	if (host[0] != '[')
		return inet_pton(AF_INET, host, bin) == 1;
	if (host[len - 1] != ']')
		return false;
	host[len - 1] = '\0';
	return inet_pton(AF_INET6, host + 1, bin) == 1;
}

static int read_address(const struct ws_json *j, struct ws_name *out)
{
	const char *text;

	if (ws_json_string(j, "address", WS_NAME_MAX, &text))
		return WS_ERR_SYNTAX;
	if (!is_address(text))
		return ws_json_error(j, "address",
				     "expected ip:port; correct the entry in "
				     "the platform's list");
	snprintf(out->text, sizeof(out->text), "%s", text);
	return 0;
}

/* ===== Entries ===== */

/* The id of a target is the hash of its name; giving it is optional. */
static int read_target(const struct ws_json *j, struct ws_list_entry *e)
{
	struct ws_name service;

	if (ws_json_name(j, "service", &service))
		return WS_ERR_SYNTAX;
	e->service = ws_codec_id(service.text);
	e->id = ws_codec_id(e->name.text);
	if (!ws_json_has(j, "id"))
		return 0;
	if (ws_json_hex(j, "id", &e->id))
		return WS_ERR_SYNTAX;
	if (e->id != ws_codec_id(e->name.text))
		return ws_json_error(j, "id",
				     "expected the hash of the target's name; "
				     "leave the field out");
	return 0;
}

static int read_instance(const struct ws_json *j, struct ws_list_entry *e)
{
	if (ws_json_hex(j, "id", &e->id))
		return WS_ERR_SYNTAX;
	if (!e->id)
		return ws_json_error(j, "id",
				     "expected a number other than 0; "
				     "restart the instance");
	if (ws_json_has(j, "service"))
		return ws_json_error(j, "service",
				     "instances have no service; remove it");
	return 0;
}

static int read_entry(const struct ws_json *j, struct ws_list_entry *e)
{
	static const char *const fields[] = { "role",  "name",	  "id",
					      "zone",  "address", "service",
					      "state", NULL };
	static const char *const roles[] = { "instance", "target", NULL };
	static const char *const states[] = { "live", "leaving", NULL };
	struct ws_name zone;
	size_t role;
	size_t state;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_choice(j, "role", roles, &role) ||
	    ws_json_name(j, "name", &e->name) ||
	    ws_json_name(j, "zone", &zone) || read_address(j, &e->address) ||
	    ws_json_choice(j, "state", states, &state))
		return WS_ERR_SYNTAX;
	e->is_target = role == 1;
	e->leaving = state == 1;
	e->zone = ws_codec_id(zone.text);
	return e->is_target ? read_target(j, e) : read_instance(j, e);
}

/* ===== Twins ===== */

static int compare_ids(const void *a, const void *b)
{
	const struct ws_list_entry *x = a;
	const struct ws_list_entry *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

static int refuse_twins(const struct ws_json *root,
			const struct ws_list_entry *entries, size_t n)
{
	struct ws_list_entry *sorted = ws_alloc(n + 1, sizeof(*sorted));
	int res = 0;
	size_t i;

	memcpy(sorted, entries, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_ids);
	for (i = 1; i < n && !res; i++)
		if (sorted[i - 1].id == sorted[i].id)
			res = ws_json_error(root, "entries",
					    "'%s' is listed twice; remove one",
					    sorted[i].name.text);
	free(sorted);
	return res;
}

/* ===== List ===== */

static int read_list(const struct ws_json *root, struct ws_list_entry **out,
		     size_t *n)
{
	static const char *const fields[] = { "entries", NULL };
	struct ws_json j;
	size_t i;

	if (ws_json_check_fields(root, fields) ||
	    ws_json_array(root, "entries", LIST_ENTRIES_MAX, n))
		return WS_ERR_SYNTAX;
	*out = ws_alloc(*n + 1, sizeof(**out));
	for (i = 0; i < *n; i++)
		if (ws_json_elem(root, "entries", i, &j) ||
		    read_entry(&j, &(*out)[i]))
			return WS_ERR_SYNTAX;
	return refuse_twins(root, *out, *n);
}

int ws_codec_list_parse(const char *text, struct ws_list_entry **entries,
			size_t *n, struct ws_codec_error *why)
{
	struct ws_json root;
	int res;

	*entries = NULL;
	*n = 0;
	res = ws_json_open(text, LIST_TEXT_MAX, "list", &root, why);
	if (ws_is_error(res))
		return res;
	res = read_list(&root, entries, n);
	ws_json_close(&root);
	if (ws_is_error(res)) {
		free(*entries);
		*entries = NULL;
		*n = 0;
	}
	return res;
}
