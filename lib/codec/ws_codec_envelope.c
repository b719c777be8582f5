#include "codec/ws_json.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The signature covers a context line before the text, so that a signature
 * over a bundle is no signature over a recover statement or the reverse.
 */
#define CONTEXT_BUNDLE "wagtailshift bundle 1\n"
#define CONTEXT_RECOVER "wagtailshift recover 1\n"

#define GONE_MAX 8192

/* ===== Signatures ===== */

/* Joins context and text; malloc'ed. */
static uint8_t *signed_bytes(const char *context, const char *text, size_t *len)
{
	size_t size = strlen(context) + strlen(text) + 1;
	char *bytes = ws_alloc(size, 1);

	snprintf(bytes, size, "%s%s", context, text);
	*len = size - 1;
	return (uint8_t *)bytes;
}

static bool verify(const char *context, const char *text, const uint8_t key[32],
		   const uint8_t signature[64])
{
	size_t len;
	uint8_t *bytes = signed_bytes(context, text, &len);
	int res = crypto_sign_verify_detached(signature, bytes, len, key);

	free(bytes);
	return res == 0;
}

static bool is_trusted(const uint8_t key[32], const uint8_t (*trusted)[32],
		       size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!memcmp(trusted[i], key, 32))
			return true;
	return false;
}

static int refuse_signature(const struct ws_json *j, const char *field,
			    const char *text)
{
	ws_json_error(j, field, "%s", text);
	return WS_ERR_SIGNATURE;
}

/* ===== Envelopes of any content ===== */

/* Checks an open envelope and finds the signed text in it. */
static int check_envelope(const struct ws_json *j, const char *context,
			  const char *field, const uint8_t (*trusted)[32],
			  size_t n_trusted, const char **text, uint8_t key[32])
{
	const char *const fields[] = { field, "key", "signature", NULL };
	uint8_t signature[64];

	if (ws_json_check_fields(j, fields) ||
	    ws_json_string(j, field, WS_BUNDLE_TEXT_MAX, text) ||
	    ws_json_bytes(j, "key", key, 32) ||
	    ws_json_bytes(j, "signature", signature, sizeof(signature)))
		return WS_ERR_SYNTAX;
	if (trusted && !is_trusted(key, trusted, n_trusted))
		return refuse_signature(j, "key",
					"not an operator key in force; sign "
					"with a key that the bundle in force "
					"lists");
	if (!verify(context, *text, key, signature))
		return refuse_signature(j, "signature",
					"does not match the text; sign the "
					"text again");
	return 0;
}

static char *sign(const char *context, const char *field, const char *text,
		  const uint8_t public_key[32], const uint8_t secret_key[64])
{
	char key_hex[65];
	char sig_hex[129];
	uint8_t signature[64];
	size_t len;
	uint8_t *bytes = signed_bytes(context, text, &len);
	json_t *o;
	char *out;

	crypto_sign_detached(signature, NULL, bytes, len, secret_key);
	free(bytes);
	sodium_bin2hex(key_hex, sizeof(key_hex), public_key, 32);
	sodium_bin2hex(sig_hex, sizeof(sig_hex), signature, sizeof(signature));
	o = json_pack("{s:s, s:s, s:s}", field, text, "key", key_hex,
		      "signature", sig_hex);
	WS_INVARIANT(o);
	out = json_dumps(o, JSON_COMPACT);
	WS_INVARIANT(out);
	json_decref(o);
	return out;
}

/* Refuses a secret key that belongs to another public key. */
static int check_pair(const uint8_t public_key[32],
		      const uint8_t secret_key[64], struct ws_codec_error *why)
{
	struct ws_json j = { .err = why, .path = "secret key" };
	uint8_t derived[32];

	crypto_sign_ed25519_sk_to_pk(derived, secret_key);
	if (memcmp(derived, public_key, sizeof(derived)) != 0)
		return refuse_signature(&j, NULL,
					"does not belong to the public key; "
					"use both files of one key pair");
	return 0;
}

/* ===== Bundles ===== */

int ws_codec_envelope_open(const char *envelope, const uint8_t (*trusted)[32],
			   size_t n_trusted, struct ws_bundle **out,
			   struct ws_codec_error *why)
{
	struct ws_json root;
	const char *text;
	uint8_t key[32];
	int res;

	res = ws_json_open(envelope, WS_RECORD_TEXT_MAX, "envelope", &root,
			   why);
	if (ws_is_error(res))
		return res;
	res = check_envelope(&root, CONTEXT_BUNDLE, "bundle", trusted,
			     n_trusted, &text, key);
	if (!ws_is_error(res))
		res = ws_codec_bundle_parse(text, out, why);
	ws_json_close(&root);
	if (ws_is_error(res))
		return res;
	memcpy((*out)->signer, key, sizeof(key));
	free((*out)->text);
	(*out)->text = strdup(envelope);
	WS_INVARIANT((*out)->text);
	return 0;
}

int ws_codec_envelope_text(const char *envelope, char **text,
			   struct ws_codec_error *why)
{
	struct ws_json root;
	const char *inner;
	int res;

	res = ws_json_open(envelope, WS_RECORD_TEXT_MAX, "envelope", &root,
			   why);
	if (ws_is_error(res))
		return res;
	res = ws_json_string(&root, "bundle", WS_BUNDLE_TEXT_MAX, &inner);
	if (!ws_is_error(res)) {
		*text = strdup(inner);
		WS_INVARIANT(*text);
	}
	ws_json_close(&root);
	return res;
}

int ws_codec_envelope_sign(const char *text, const uint8_t public_key[32],
			   const uint8_t secret_key[64], char **envelope,
			   struct ws_codec_error *why)
{
	struct ws_bundle *b;
	int res = ws_codec_bundle_parse(text, &b, why);

	if (ws_is_error(res))
		return res;
	ws_bundle_unref(b);
	res = check_pair(public_key, secret_key, why);
	if (ws_is_error(res))
		return res;
	*envelope =
		sign(CONTEXT_BUNDLE, "bundle", text, public_key, secret_key);
	return 0;
}

/* ===== Recover statements ===== */

static int read_gone(const struct ws_json *j, struct ws_record *rec)
{
	static const char *const fields[] = { "gone", NULL };
	size_t n;
	size_t i;

	if (ws_json_check_fields(j, fields) ||
	    ws_json_array(j, "gone", GONE_MAX, &n))
		return WS_ERR_SYNTAX;
	free(rec->gone);
	rec->gone = ws_alloc(n + 1, sizeof(*rec->gone));
	rec->n_gone = 0;
	for (i = 0; i < n; i++)
		if (ws_json_elem_hex(j, "gone", i, &rec->gone[i]))
			return WS_ERR_SYNTAX;
	rec->n_gone = n;
	return 0;
}

static int parse_gone(const char *text, struct ws_record *rec,
		      struct ws_codec_error *why)
{
	struct ws_json j;
	int res = ws_json_open(text, WS_BUNDLE_TEXT_MAX, "recover", &j, why);

	if (ws_is_error(res))
		return res;
	res = read_gone(&j, rec);
	ws_json_close(&j);
	return res;
}

int ws_codec_recover_open(struct ws_record *rec, const uint8_t (*trusted)[32],
			  size_t n_trusted, struct ws_codec_error *why)
{
	struct ws_json root;
	const char *text;
	int res;

	WS_INVARIANT(rec->kind == WS_REC_RECOVER);
	res = ws_json_open(rec->bundle_text ? rec->bundle_text : "",
			   WS_RECORD_TEXT_MAX, "envelope", &root, why);
	if (ws_is_error(res))
		return res;
	res = check_envelope(&root, CONTEXT_RECOVER, "recover", trusted,
			     n_trusted, &text, rec->signer);
	if (!ws_is_error(res))
		res = parse_gone(text, rec, why);
	ws_json_close(&root);
	return res;
}

int ws_codec_recover_sign(struct ws_record *rec, const uint8_t public_key[32],
			  const uint8_t secret_key[64],
			  struct ws_codec_error *why)
{
	json_t *gone = json_array();
	char hex[17];
	char *text;
	size_t i;
	int res = check_pair(public_key, secret_key, why);

	if (ws_is_error(res)) {
		json_decref(gone);
		return res;
	}
	for (i = 0; i < rec->n_gone; i++) {
		ws_codec_hex(rec->gone[i], hex);
		json_array_append_new(gone, json_string(hex));
	}
	gone = json_pack("{s:o}", "gone", gone);
	text = json_dumps(gone, JSON_COMPACT);
	WS_INVARIANT(text);
	json_decref(gone);
	free(rec->bundle_text);
	rec->bundle_text =
		sign(CONTEXT_RECOVER, "recover", text, public_key, secret_key);
	free(text);
	return 0;
}
