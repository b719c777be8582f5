#ifndef WS_CODEC_H
#define WS_CODEC_H

#include "core/ws_bundle.h"
#include "core/ws_types.h"

/*
 * JSON forms of log records, bundles, grants and list entries, and the
 * signature of bundles. Formats: docs/design.md, section 7.
 */

#define WS_BUNDLE_TEXT_MAX ((size_t)256 * 1024)
#define WS_RECORD_TEXT_MAX ((size_t)1024 * 1024)
#define WS_CODEC_ERROR_MAX 256

/* Explanation of a refusal: what was wrong, where, and what was expected. */
struct ws_codec_error {
	char text[WS_CODEC_ERROR_MAX];
};

/* ===== Names ===== */

/* Identifier of a name, and hash of a key. */
ws_id ws_codec_id(const char *name);
uint64_t ws_codec_hash(const void *data, size_t len);

/* BLAKE2b-256 of a caller key. */
void ws_codec_caller_key_hash(const char *key, uint64_t hash[4]);

/* Four numbers from 32 bytes; the first byte is the most significant. */
void ws_codec_bytes_to_words(const uint8_t bytes[32], uint64_t words[4]);

/* Writes 16 hexadecimal digits and a terminating zero. */
void ws_codec_hex(uint64_t value, char hex[17]);

/* ===== Bundles ===== */

/*
 * Parses and checks the text of a bundle.
 * @param out a new bundle, to be given back with ws_bundle_unref()
 * @return 0, or WS_ERR_SYNTAX with the reason filled in
 */
int ws_codec_bundle_parse(const char *text, struct ws_bundle **out,
			  struct ws_codec_error *why);

/*
 * Verifies an envelope and parses its bundle. The key must be one of trusted;
 * with trusted NULL any key will do, and whoever uses the bundle must check
 * its signer, which is what the core does with records of the log.
 * The text of the bundle becomes the envelope, so that it can be passed on.
 * @return 0, WS_ERR_SYNTAX or WS_ERR_SIGNATURE
 */
int ws_codec_envelope_open(const char *envelope, const uint8_t (*trusted)[32],
			   size_t n_trusted, struct ws_bundle **out,
			   struct ws_codec_error *why);

/* Signs a bundle text; the envelope is malloc'ed. */
int ws_codec_envelope_sign(const char *text, const uint8_t public_key[32],
			   const uint8_t secret_key[64], char **envelope,
			   struct ws_codec_error *why);

/* The bundle text inside an envelope, not verified; malloc'ed. */
int ws_codec_envelope_text(const char *envelope, char **text,
			   struct ws_codec_error *why);

/* ===== Log records ===== */

/*
 * Parses the data of a log entry. A BUNDLE record keeps its envelope in
 * bundle_text; the caller opens it with ws_codec_envelope_open().
 */
int ws_codec_record_parse(const char *text, struct ws_record *out,
			  struct ws_codec_error *why);

/*
 * Verifies the signed statement of a parsed RECOVER record and fills in which
 * instances are gone; before that the record names none. trusted as above.
 * @return 0, WS_ERR_SYNTAX or WS_ERR_SIGNATURE
 */
int ws_codec_recover_open(struct ws_record *rec, const uint8_t (*trusted)[32],
			  size_t n_trusted, struct ws_codec_error *why);

/* Signs the list of gone instances of a RECOVER record. */
int ws_codec_recover_sign(struct ws_record *rec, const uint8_t public_key[32],
			  const uint8_t secret_key[64],
			  struct ws_codec_error *why);

/*
 * Writes a record; the text is malloc'ed. A BUNDLE or SNAPSHOT without
 * bundle_text takes the envelope from the text of its bundle.
 * @return 0, WS_ERR_SYNTAX when the envelope is missing or unreadable, or
 *         WS_ERR_TOO_LARGE
 */
int ws_codec_record_write(const struct ws_record *rec, char **text);

/* ===== Platform ===== */

/* Parses the platform's list; entries are malloc'ed. */
int ws_codec_list_parse(const char *text, struct ws_list_entry **entries,
			size_t *n, struct ws_codec_error *why);

struct ws_log_page {
	ws_offset oldest;
	ws_offset head;
	size_t n_records;
	struct ws_record *records; /* in offset order */
};

/*
 * Parses the answer of /log/read. An entry that is not a valid record becomes
 * a record of kind 0 at its offset, so that readers skip it alike.
 */
int ws_codec_log_page_parse(const char *text, struct ws_log_page *page,
			    struct ws_codec_error *why);
void ws_codec_log_page_clear(struct ws_log_page *page);

/* Writes the body of POST /wagtailshift/grant; malloc'ed. */
int ws_codec_grant_write(const struct ws_effect *grant,
			 const struct ws_bundle *bundle, char **text);

struct ws_health {
	uint64_t incarnation;
	int64_t now_us;
	bool ready;
	bool leaving;
	uint32_t load;
};

/* Parses the answer to a health probe or to a grant. */
int ws_codec_health_parse(const char *text, struct ws_health *out);

#endif
