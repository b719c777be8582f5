#include "codec/ws_json.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* ===== Reasons ===== */

int ws_json_error(const struct ws_json *j, const char *field, const char *fmt,
		  ...)
{
	const char *dot = field && j->path[0] ? "." : "";
	struct ws_codec_error *why = j->err;
	va_list args;
	size_t used;

	if (!why)
		return WS_ERR_SYNTAX;
	snprintf(why->text, sizeof(why->text), "%s%s%s%s", j->path, dot,
		 field ? field : "", field || j->path[0] ? ": " : "");
	used = strlen(why->text);
	va_start(args, fmt);
	vsnprintf(why->text + used, sizeof(why->text) - used, fmt, args);
	va_end(args);
	return WS_ERR_SYNTAX;
}

/* ===== Documents ===== */

static bool too_deep(const json_t *node, unsigned left)
{
	const char *key;
	json_t *child;
	size_t i;

	if (!json_is_object(node) && !json_is_array(node))
		return false;
	if (!left)
		return true;
	json_array_foreach(node, i,
			   child) if (too_deep(child, left - 1)) return true;
	json_object_foreach((json_t *)node, key,
			    child) if (too_deep(child, left - 1)) return true;
	return false;
}

static int check_root(const struct ws_json *root)
{
	if (!json_is_object(root->node))
		return ws_json_error(root, NULL,
				     "expected an object; use { ... }");
	if (too_deep(root->node, WS_JSON_DEPTH_MAX))
		return ws_json_error(root, NULL,
				     "nested deeper than %d levels; "
				     "use the documented format",
				     WS_JSON_DEPTH_MAX);
	return 0;
}

int ws_json_open(const char *text, size_t max, const char *what,
		 struct ws_json *root, struct ws_codec_error *why)
{
	size_t len = strnlen(text, max + 1);
	json_error_t err;
	int res;

	memset(root, 0, sizeof(*root));
	root->err = why;
	snprintf(root->path, sizeof(root->path), "%s", what);
	if (len > max)
		return ws_json_error(root, NULL,
				     "longer than %zu bytes; shorten it", max);
	root->node = json_loadb(text, len, JSON_REJECT_DUPLICATES, &err);
	if (!root->node)
		return ws_json_error(root, NULL,
				     "not valid JSON at line %d column %d "
				     "(%.80s); correct it there",
				     err.line, err.column, err.text);
	res = check_root(root);
	if (ws_is_error(res))
		ws_json_close(root);
	else
		root->path[0] = '\0';
	return res;
}

void ws_json_close(struct ws_json *root)
{
	json_decref(root->node);
	root->node = NULL;
}

/* ===== Fields ===== */

int ws_json_check_fields(const struct ws_json *j, const char *const *fields)
{
	const char *const *f;
	const char *key;
	json_t *value;

	json_object_foreach(j->node, key, value)
	{
		for (f = fields; *f && strcmp(*f, key) != 0; f++)
			;
		if (!*f)
			return ws_json_error(j, NULL,
					     "unknown field '%.40s'; remove "
					     "it or correct its name",
					     key);
	}
	return 0;
}

bool ws_json_has(const struct ws_json *j, const char *field)
{
	return json_object_get(j->node, field) != NULL;
}

static json_t *get(const struct ws_json *j, const char *field,
		   const char *expected)
{
	json_t *v = json_object_get(j->node, field);

	if (!v)
		ws_json_error(j, field, "missing, expected %s; add the field",
			      expected);
	return v;
}

int ws_json_uint(const struct ws_json *j, const char *field, uint64_t min,
		 uint64_t max, uint64_t *out)
{
	json_t *v = get(j, field, "an integer");
	json_int_t n;

	if (!v)
		return WS_ERR_SYNTAX;
	n = json_integer_value(v);
	if (!json_is_integer(v) || n < 0 || (uint64_t)n < min ||
	    (uint64_t)n > max)
		return ws_json_error(j, field,
				     "expected an integer from %llu to %llu; "
				     "correct the value",
				     (unsigned long long)min,
				     (unsigned long long)max);
	*out = (uint64_t)n;
	return 0;
}

int ws_json_bool(const struct ws_json *j, const char *field, bool *out)
{
	json_t *v = get(j, field, "true or false");

	if (!v)
		return WS_ERR_SYNTAX;
	if (!json_is_boolean(v))
		return ws_json_error(j, field,
				     "expected true or false; write it "
				     "without quotes");
	*out = json_is_true(v);
	return 0;
}

int ws_json_string(const struct ws_json *j, const char *field, size_t max,
		   const char **out)
{
	json_t *v = get(j, field, "a string");

	*out = "";
	if (!v)
		return WS_ERR_SYNTAX;
	if (!json_is_string(v) || json_string_length(v) > max)
		return ws_json_error(j, field,
				     "expected a string of at most %zu bytes; "
				     "correct the value",
				     max);
	*out = json_string_value(v);
	return 0;
}

static bool is_name(const char *text)
{
	const char *allowed = "abcdefghijklmnopqrstuvwxyz"
			      "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

	return text[0] && text[strspn(text, allowed)] == '\0';
}

int ws_json_name(const struct ws_json *j, const char *field,
		 struct ws_name *out)
{
	const char *text;
	int res = ws_json_string(j, field, WS_NAME_MAX, &text);

	if (ws_is_error(res))
		return res;
	if (!is_name(text))
		return ws_json_error(j, field,
				     "expected 1 to %d letters, digits, dots, "
				     "underscores or hyphens; rename it",
				     WS_NAME_MAX);
	snprintf(out->text, sizeof(out->text), "%s", text);
	return 0;
}

bool ws_json_decode_hex(const char *text, uint8_t *out, size_t len)
{
	size_t n = strlen(text);
	size_t done;

	if (n != 2 * len)
		return false;
	if (sodium_hex2bin(out, len, text, n, NULL, &done, NULL) != 0)
		return false;
	return done == len;
}

int ws_json_bytes(const struct ws_json *j, const char *field, uint8_t *out,
		  size_t len)
{
	const char *text;
	int res = ws_json_string(j, field, 2 * len, &text);

	if (ws_is_error(res))
		return res;
	if (!ws_json_decode_hex(text, out, len))
		return ws_json_error(j, field,
				     "expected %zu hexadecimal digits; "
				     "copy the value again",
				     2 * len);
	return 0;
}

static uint64_t from_big_endian(const uint8_t b[8])
{
	uint64_t v = 0;
	int i;

	for (i = 0; i < 8; i++)
		v = v << 8 | b[i];
	return v;
}

int ws_json_hex(const struct ws_json *j, const char *field, uint64_t *out)
{
	uint8_t b[8];
	int res = ws_json_bytes(j, field, b, sizeof(b));

	if (!ws_is_error(res))
		*out = from_big_endian(b);
	return res;
}

int ws_json_choice(const struct ws_json *j, const char *field,
		   const char *const *choices, size_t *out)
{
	char list[120] = "";
	const char *text;
	size_t used = 0;
	size_t i;
	int res = ws_json_string(j, field, WS_NAME_MAX, &text);

	if (ws_is_error(res))
		return res;
	for (i = 0; choices[i]; i++) {
		if (strcmp(choices[i], text) == 0) {
			*out = i;
			return 0;
		}
		used += (size_t)snprintf(list + used, sizeof(list) - used,
					 "%s%s", i ? ", " : "", choices[i]);
	}
	return ws_json_error(j, field, "expected one of %s; correct the value",
			     list);
}

/* ===== Objects and arrays ===== */

int ws_json_object(const struct ws_json *j, const char *field,
		   struct ws_json *out)
{
	json_t *v = get(j, field, "an object");

	if (!v)
		return WS_ERR_SYNTAX;
	if (!json_is_object(v))
		return ws_json_error(j, field,
				     "expected an object; use { ... }");
	out->node = v;
	out->err = j->err;
	snprintf(out->path, sizeof(out->path), "%.40s%s%.50s", j->path,
		 j->path[0] ? "." : "", field);
	return 0;
}

int ws_json_array(const struct ws_json *j, const char *field, size_t max,
		  size_t *n)
{
	json_t *v = get(j, field, "an array");

	if (!v)
		return WS_ERR_SYNTAX;
	if (!json_is_array(v) || json_array_size(v) > max)
		return ws_json_error(j, field,
				     "expected an array of at most %zu "
				     "elements; correct it",
				     max);
	*n = json_array_size(v);
	return 0;
}

int ws_json_elem(const struct ws_json *j, const char *field, size_t i,
		 struct ws_json *out)
{
	out->node = json_array_get(json_object_get(j->node, field), i);
	out->err = j->err;
	snprintf(out->path, sizeof(out->path), "%.40s%s%.30s[%zu]", j->path,
		 j->path[0] ? "." : "", field, i);
	if (!json_is_object(out->node))
		return ws_json_error(out, NULL,
				     "expected an object; use { ... }");
	return 0;
}

int ws_json_elem_hex(const struct ws_json *j, const char *field, size_t i,
		     uint64_t *out)
{
	json_t *v = json_array_get(json_object_get(j->node, field), i);
	uint8_t b[8];

	if (!json_is_string(v) ||
	    !ws_json_decode_hex(json_string_value(v), b, sizeof(b)))
		return ws_json_error(j, field,
				     "element %zu: expected 16 hexadecimal "
				     "digits; correct the value",
				     i);
	*out = from_big_endian(b);
	return 0;
}

void ws_json_set_hex(json_t *o, const char *field, uint64_t value)
{
	char hex[WS_JSON_HEX64_LEN + 1];

	ws_codec_hex(value, hex);
	json_object_set_new(o, field, json_string(hex));
}
