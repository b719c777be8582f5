#include "wire/ws_seal.h"

#include <string.h>

/* Protocol name and version; an incompatible handshake needs a new version. */
static const uint8_t magic[8] = { 'W', 'S', 'P', 'E', 'E', 'R', 0, 1 };

#define KEY_ID_LEN 8

enum direction {
	TO_ACCEPTOR = 1,
	TO_INITIATOR = 2,
};

/* Known to both sides after the hellos; the stream keys depend on all of it. */
struct handshake_data {
	uint8_t initiator_nonce[WS_SEAL_NONCE_LEN];
	uint8_t acceptor_nonce[WS_SEAL_NONCE_LEN];
	uint8_t initiator_id[8];
	uint8_t acceptor_id[8];
};

/* ===== Big-endian ids ===== */

static void store_id(uint8_t to[8], ws_id id)
{
	int i;

	for (i = 0; i < 8; i++)
		to[i] = (uint8_t)(id >> (56 - 8 * i));
}

static ws_id load_id(const uint8_t from[8])
{
	ws_id id = 0;
	int i;

	for (i = 0; i < 8; i++)
		id = id << 8 | from[i];
	return id;
}

/* ===== Secrets ===== */

void ws_secrets_add(struct ws_secrets *s, const char *text)
{
	WS_INVARIANT(s->n < WS_SECRETS_MAX);
	crypto_generichash(s->key[s->n], sizeof(s->key[s->n]),
			   (const uint8_t *)text, strlen(text), NULL, 0);
	s->n++;
}

/* Identifies a secret by a keyed hash, which reveals nothing about it. */
static void key_id(const uint8_t *secret, uint8_t out[KEY_ID_LEN])
{
	static const char label[] = "wagtailshift key id";
	uint8_t hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const uint8_t *)label,
			   sizeof(label), secret, crypto_generichash_KEYBYTES);
	memcpy(out, hash, KEY_ID_LEN);
}

static void derive_stream_key(const uint8_t *secret,
			      const struct handshake_data *a,
			      enum direction direction, uint8_t *out)
{
	static const char label[] = "wagtailshift peer stream";
	uint8_t direction_byte = (uint8_t)direction;
	crypto_generichash_state st;

	crypto_generichash_init(&st, secret, crypto_generichash_KEYBYTES,
				crypto_secretstream_xchacha20poly1305_KEYBYTES);
	crypto_generichash_update(&st, (const uint8_t *)label, sizeof(label));
	crypto_generichash_update(&st, &direction_byte, 1);
	crypto_generichash_update(&st, (const uint8_t *)a, sizeof(*a));
	crypto_generichash_final(
		&st, out, crypto_secretstream_xchacha20poly1305_KEYBYTES);
}

/* ===== Hello: magic, key id, instance id, nonce ===== */

static void write_hello(struct ws_seal *s, const uint8_t *secret,
			uint8_t hello[WS_SEAL_HELLO_LEN])
{
	randombytes_buf(s->nonce, sizeof(s->nonce));
	memcpy(hello, magic, sizeof(magic));
	key_id(secret, hello + 8);
	store_id(hello + 16, s->self);
	memcpy(hello + 24, s->nonce, WS_SEAL_NONCE_LEN);
}

/* @return the secret with the key id of the hello, or NULL */
static const uint8_t *find_secret(const struct ws_secrets *secrets,
				  const uint8_t *hello)
{
	uint8_t id[KEY_ID_LEN];
	size_t i;

	if (memcmp(hello, magic, sizeof(magic)) != 0)
		return NULL;
	for (i = 0; i < secrets->n; i++) {
		key_id(secrets->key[i], id);
		if (!sodium_memcmp(id, hello + 8, KEY_ID_LEN))
			return secrets->key[i];
	}
	return NULL;
}

static void collect_handshake_data(const struct ws_seal *s,
				   const uint8_t *hello, bool initiator,
				   struct handshake_data *a)
{
	const uint8_t *peer_nonce = hello + 24;

	memcpy(initiator ? a->initiator_nonce : a->acceptor_nonce, s->nonce,
	       WS_SEAL_NONCE_LEN);
	memcpy(initiator ? a->acceptor_nonce : a->initiator_nonce, peer_nonce,
	       WS_SEAL_NONCE_LEN);
	store_id(initiator ? a->initiator_id : a->acceptor_id, s->self);
	store_id(initiator ? a->acceptor_id : a->initiator_id, s->peer);
}

/* ===== Handshake ===== */

void ws_seal_initiator_start(struct ws_seal *s,
			     const struct ws_secrets *secrets, ws_id self,
			     uint8_t hello[WS_SEAL_HELLO_LEN])
{
	memset(s, 0, sizeof(*s));
	s->self = self;
	write_hello(s, secrets->key[0], hello);
}

int ws_seal_acceptor_start(struct ws_seal *s, const struct ws_secrets *secrets,
			   ws_id self, const uint8_t hello[WS_SEAL_HELLO_LEN],
			   uint8_t reply[WS_SEAL_REPLY_LEN])
{
	const uint8_t *secret = find_secret(secrets, hello);
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	struct handshake_data a;

	memset(s, 0, sizeof(*s));
	if (!secret)
		return WS_ERR_PEER;
	s->self = self;
	s->peer = load_id(hello + 16);
	write_hello(s, secret, reply);
	collect_handshake_data(s, hello, false, &a);
	derive_stream_key(secret, &a, TO_INITIATOR, key);
	crypto_secretstream_xchacha20poly1305_init_push(
		&s->encrypt_state, reply + WS_SEAL_HELLO_LEN, key);
	/* Keeps the decryption key until ws_seal_acceptor_finish(). */
	derive_stream_key(secret, &a, TO_ACCEPTOR, key);
	memcpy(s->decrypt_state.k, key, sizeof(key));
	sodium_memzero(key, sizeof(key));
	return 0;
}

int ws_seal_initiator_finish(struct ws_seal *s,
			     const struct ws_secrets *secrets,
			     const uint8_t reply[WS_SEAL_REPLY_LEN],
			     uint8_t header[WS_SEAL_HEADER_LEN])
{
	const uint8_t *secret = find_secret(secrets, reply);
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	struct handshake_data a;
	int res;

	/* The acceptor must reply with the secret that the initiator used. */
	if (secret != secrets->key[0])
		return WS_ERR_PEER;
	s->peer = load_id(reply + 16);
	collect_handshake_data(s, reply, true, &a);
	derive_stream_key(secret, &a, TO_ACCEPTOR, key);
	crypto_secretstream_xchacha20poly1305_init_push(&s->encrypt_state,
							header, key);
	derive_stream_key(secret, &a, TO_INITIATOR, key);
	res = crypto_secretstream_xchacha20poly1305_init_pull(
		&s->decrypt_state, reply + WS_SEAL_HELLO_LEN, key);
	sodium_memzero(key, sizeof(key));
	return res ? WS_ERR_PEER : 0;
}

int ws_seal_acceptor_finish(struct ws_seal *s,
			    const uint8_t header[WS_SEAL_HEADER_LEN])
{
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	int res;

	memcpy(key, s->decrypt_state.k, sizeof(key));
	res = crypto_secretstream_xchacha20poly1305_init_pull(&s->decrypt_state,
							      header, key);
	sodium_memzero(key, sizeof(key));
	return res ? WS_ERR_PEER : 0;
}

/* ===== Records ===== */

void ws_seal_encrypt(struct ws_seal *s, const void *in, size_t len,
		     uint8_t *out)
{
	crypto_secretstream_xchacha20poly1305_push(
		&s->encrypt_state, out, NULL, in, len, NULL, 0,
		crypto_secretstream_xchacha20poly1305_TAG_MESSAGE);
}

int ws_seal_decrypt(struct ws_seal *s, const uint8_t *in, size_t len, void *out)
{
	uint8_t tag;

	if (s->broken)
		return WS_ERR_PEER;
	if (len < WS_SEAL_OVERHEAD ||
	    crypto_secretstream_xchacha20poly1305_pull(
		    &s->decrypt_state, out, NULL, &tag, in, len, NULL, 0))
		s->broken = true;
	return s->broken ? WS_ERR_PEER : 0;
}
