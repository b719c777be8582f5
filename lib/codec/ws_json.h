#ifndef WS_JSON_H
#define WS_JSON_H

#include <jansson.h>

#include "codec/ws_codec.h"

/*
 * Strict reading of JSON: each function checks one field and refuses with a
 * reason that names the place, what was expected and the remedy. All return 0
 * or WS_ERR_SYNTAX.
 */

#define WS_JSON_PATH_MAX 96
#define WS_JSON_DEPTH_MAX 12
#define WS_JSON_HEX64_LEN 16

/* An object being read, and its place in the document. */
struct ws_json {
	json_t *node;
	struct ws_codec_error *err; /* may be NULL */
	char path[WS_JSON_PATH_MAX];
};

/*
 * Parses a document whose root must be an object. Refuses duplicate names,
 * texts longer than max bytes and nesting deeper than WS_JSON_DEPTH_MAX.
 * @param what name of the document in reasons
 * @return 0 and a root to be given back with ws_json_close()
 */
int ws_json_open(const char *text, size_t max, const char *what,
		 struct ws_json *root, struct ws_codec_error *why);
void ws_json_close(struct ws_json *root);

/* Fills in the reason "<path>.<field>: <text>"; returns WS_ERR_SYNTAX. */
int ws_json_error(const struct ws_json *j, const char *field, const char *fmt,
		  ...) __attribute__((format(printf, 3, 4)));

/* Refuses fields that are not in the NULL-terminated list. */
int ws_json_check_fields(const struct ws_json *j, const char *const *fields);

bool ws_json_has(const struct ws_json *j, const char *field);

int ws_json_uint(const struct ws_json *j, const char *field, uint64_t min,
		 uint64_t max, uint64_t *out);
int ws_json_bool(const struct ws_json *j, const char *field, bool *out);

/* Borrowed text of at most max bytes. */
int ws_json_string(const struct ws_json *j, const char *field, size_t max,
		   const char **out);

/* 1 to WS_NAME_MAX letters, digits, dots, underscores and hyphens. */
int ws_json_name(const struct ws_json *j, const char *field,
		 struct ws_name *out);

/* Exactly 16 hexadecimal digits. */
int ws_json_hex(const struct ws_json *j, const char *field, uint64_t *out);

/* Exactly 2 * len hexadecimal digits. */
int ws_json_bytes(const struct ws_json *j, const char *field, uint8_t *out,
		  size_t len);

/* Index of the text in a NULL-terminated list of choices. */
int ws_json_choice(const struct ws_json *j, const char *field,
		   const char *const *choices, size_t *out);

int ws_json_object(const struct ws_json *j, const char *field,
		   struct ws_json *out);

/* Array of at most max elements. */
int ws_json_array(const struct ws_json *j, const char *field, size_t max,
		  size_t *n);

/* Element of such an array, which must be an object. */
int ws_json_elem(const struct ws_json *j, const char *field, size_t i,
		 struct ws_json *out);

/* Element of such an array, which must be 16 hexadecimal digits. */
int ws_json_elem_hex(const struct ws_json *j, const char *field, size_t i,
		     uint64_t *out);

/* Sets a field to 16 hexadecimal digits. */
void ws_json_set_hex(json_t *o, const char *field, uint64_t value);

/* Returns whether a text is hexadecimal, and its bytes. */
bool ws_json_decode_hex(const char *text, uint8_t *out, size_t len);

#endif
